/*
 * schedconf - settings of the scheduling policies of an entry
 *
 * Section [scheduling] of the settings selects a policy for each decision; the
 * defaults are the first values.  A policy other than the default also needs
 * the load that it answers: without it, it decides as the default does.
 */
#ifndef SCHEDCONF_H
#define SCHEDCONF_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* What an entry knows of unplaced work: only its own, or that of all entries,
 * estimated from agents' reports. */
enum sc_demand { SC_DEMAND_OWN, SC_DEMAND_FLEET };

/* When jobs that cannot be served are refused: while they wait in the queue,
 * or also on arrival, by their predicted wait. */
enum sc_admission { SC_ADMIT_QUEUE, SC_ADMIT_ARRIVAL };

/* The order in which routes get scarce cores: by objective alone, or by
 * weighted shares. */
enum sc_shares { SC_SHARES_NONE, SC_SHARES_ROUTES };

/* Which entry queues a request: the one that received it, or one with a
 * shorter predicted wait. */
enum sc_balance { SC_BALANCE_NONE, SC_BALANCE_WAIT };

/* How an entry uses agents that it keeps no session with: not at all, by
 * reservations that it binds late, or by leases of a share of their cores. */
enum sc_reach { SC_REACH_SELECTED, SC_REACH_RESERVE, SC_REACH_LEASE };

/* When a run is moved to another worker: if its worker is slow by its pace, or
 * by the distribution of run times and the worker's other runs. */
enum sc_moves { SC_MOVES_PACE, SC_MOVES_DISTRIBUTION };

/* How the worker of a task is chosen: by a score of speed and free share, by
 * the earliest expected end, or by the least capacity left idle. */
enum sc_placement { SC_PLACE_SCORE, SC_PLACE_FINISH, SC_PLACE_FIT };

/* Each field is a value of the enum of its name. */
struct sc_settings {
    uint32_t demand;
    uint32_t admission;
    uint32_t shares;
    uint32_t balance;
    uint32_t reach;
    uint32_t moves;
    uint32_t placement;
};

/* Names of the values in settings files, ended by NULL. */
extern const char *const sc_demand_names[];
extern const char *const sc_admission_names[];
extern const char *const sc_shares_names[];
extern const char *const sc_balance_names[];
extern const char *const sc_reach_names[];
extern const char *const sc_moves_names[];
extern const char *const sc_placement_names[];

#ifdef __cplusplus
}
#endif

#endif
