/*
 * demand - unplaced work of all entries, as seen by one entry
 *
 * An entry reports its unplaced work to the agents that it selected, divided
 * by their number; each agent returns the sums over its other entries.  Scaled
 * by the agents of the service over the agents that reported, and with the
 * entry's own work, these sums estimate the unplaced work of the whole
 * service.
 *
 * The agent leaves the entry's own rows out: the entry cannot subtract them,
 * as it does not know from which of its reports the sums were made.  Its own
 * work is not scaled, because it is reported to exactly the agents whose sums
 * are received.
 *
 * Limits: an entry without unplaced work reports nothing.  What it holds
 * dispatched is then missing from the estimate's `held`; and as agents answer
 * only entries that report, its estimate becomes unknown DM_VALID_MS after its
 * queue became empty.
 *
 * The entry's side acts only with scheduling.demand = "fleet"; the agent's
 * side only on messages that it receives.  Both sides may be lost, duplicated
 * or late: a message counts only if its number is higher than that of the last
 * one of the session, and only for DM_VALID_MS.
 */
#ifndef DEMAND_H
#define DEMAND_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "proto.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Urgencies: the time left until a job's objective, in buckets that double
 * from DM_URGENCY_FIRST_MS; then all longer times; then late. */
#define DM_URGENCIES 9U
#define DM_URGENCY_FIRST_MS 50U
#define DM_URGENCY_LATE (DM_URGENCIES - 1)
/* Priorities that are told apart; the last holds all lower ones. */
#define DM_PRIORITIES 4U

/* ms for which a report of an entry or an agent counts. */
#define DM_VALID_MS 1000U
/* Reports of agents that an estimate needs at least. */
#define DM_REPORTS_MIN 3U
/* ms between checks whether DW_DEMAND must be sent; bounds the cost of walking
 * the queue. */
#define DM_CHECK_MS 20U
/* Least ms between two DW_DEMAND to an agent, and most ms while there is
 * unplaced work. */
#define DM_DEMAND_MIN_MS 100U
#define DM_DEMAND_MAX_MS 500U
/* A row below this part of the entry's unplaced cores is not sent because of
 * its change alone: small rows change all the time. */
#define DM_ROW_DIVISOR 4U
/* Messages with orders to an agent since the last DW_DEMAND, below which a
 * change of rows alone sends none: an agent with little traffic would get more
 * reports than orders. */
#define DM_ORDERS_MIN 2U
/* Least ms between two DW_SUPPLY to an entry: the first or, with more entries,
 * the second for each entry that reports, which bounds the agent's cost; but
 * at most half of DM_VALID_MS, so that the loss of one message does no harm.
 */
#define DM_SUPPLY_MS 200U
#define DM_SUPPLY_MS_PER_ENTRY 80U
/* ms within which cores count as soon free. */
#define DM_SOON_MS 100U

struct coord;
struct runner;

/* Unplaced work by urgency and priority. */
struct dm_rows {
    uint64_t work[DM_URGENCIES][DM_PRIORITIES]; /* millicores x ms */
    uint64_t millicores[DM_URGENCIES][DM_PRIORITIES];
};

/* Unplaced work of a service.  Work is in millicores x ms. */
struct dm_estimate {
    bool known;      /* false: too few or too old reports; the rest is 0 */
    uint32_t age_ms; /* of the oldest report that it rests on */
    double work[DM_URGENCIES][DM_PRIORITIES];
    double millicores[DM_URGENCIES][DM_PRIORITIES]; /* of the tasks */
    double cores;           /* millicores of the workers in service */
    double held;            /* millicores of dispatched tasks, of this entry
                             * and of those that wait */
    double free;            /* free millicores */
    double soon_free;       /* millicores that come free within 100 ms */
    double waiting_entries; /* entries that have unplaced work */
    double own_part; /* this entry's part of the unplaced work, 0 to 1 */
};

/* --- the entry's side --- */

/* A service as this entry knows it; updated by dm_flush(). */
struct dm_service {
    char *name;
    struct dm_rows own;   /* this entry's unplaced work */
    uint64_t held;        /* millicores of its dispatched tasks */
    uint32_t agents;      /* members in service */
    uint32_t reported_to; /* agents in service that get DW_DEMAND */
    /* Work that the division by reported_to has left over. */
    uint64_t carry[DM_URGENCIES][DM_PRIORITIES];
    UT_hash_handle hh;
};

/* An agent: what was reported to it, and its last report. */
struct dm_peer {
    uint64_t id;
    struct dm_service *service;
    bool reported_to;    /* selected, and its worker is in service */
    uint64_t session;    /* that seq and supply_seq belong to */
    uint32_t seq;        /* of the last DW_DEMAND; 0: none */
    uint64_t sent_ms;    /* when it was sent */
    uint64_t sent_order; /* the session's last order by then */
    struct dm_rows sent; /* whole rows on which it was based */
    uint32_t supply_seq; /* of the last DW_SUPPLY; 0: none */
    uint64_t supply_ms;  /* when it was received */
    struct dm_rows sums; /* its contents */
    uint32_t sums_age_ms;
    uint32_t waiting;
    uint32_t held;
    uint32_t free_millicores;
    uint32_t soon_millicores;
    uint32_t capacity; /* millicores of its worker */
    UT_hash_handle hh;
};

/* Counts since the start. */
struct dm_stats {
    uint64_t sent;     /* DW_DEMAND */
    uint64_t received; /* DW_SUPPLY that counted */
    uint64_t ignored;  /* DW_SUPPLY that were duplicate, late or unexpected */
};

/* What an entry knows of the fleet's demand; starts as {0}. */
struct dm_view {
    struct dm_service *services;
    struct dm_peer *peers;
    uint64_t checked_ms;
    struct dm_stats stats;
};

void dm_view_free(struct dm_view *v);
/* Updates the view from the coordinator's queue and fleet and sends DW_DEMAND
 * where due; call after jobs were placed. */
void dm_flush(struct coord *c, uint64_t now);
/* Handles a DW_SUPPLY of agent from. */
void dm_handle_supply(
    struct coord *c, uint64_t now, uint64_t from, const dw_supply *s);
/* The unplaced work of a service. */
struct dm_estimate dm_estimate(
    const struct dm_view *v, uint64_t now, const char *service);

/* --- the agent's side --- */

/* The last DW_DEMAND of an entry in its session; starts as {0}. */
struct dm_source {
    uint32_t seq;         /* 0: none */
    uint64_t received_ms; /* when it was received */
    struct dm_rows rows;
    uint32_t held;
    bool waits;           /* a row is not zero */
    uint32_t rank;        /* of its most urgent row */
    uint32_t supply_seq;  /* of the last DW_SUPPLY to it; 0: none */
    uint64_t supplied_ms; /* when it was sent */
    bool supplied_waits;  /* its sums were not zero */
};

/* Sums over the entries of an agent; starts as {0}. */
struct dm_sums {
    struct dm_rows rows;
    uint64_t held;
    uint32_t age_ms; /* of the oldest report */
    uint32_t entries;
    uint32_t waiting;
};

/* Rank of an entry whose rows are not known: less urgent than work that is due
 * within 200 ms, more urgent than the rest. */
#define DM_RANK_UNKNOWN (3U * DM_PRIORITIES)

/* Stores a report; false if it is not newer than the last one. */
bool dm_source_receive(
    struct dm_source *s, uint64_t now, const dw_demand *demand);
/* The entry's place among those that wait for cores: by the urgency of its
 * most urgent row that can still meet its objective, then by priority.  The
 * lowest rank comes first. */
uint32_t dm_source_rank(const struct dm_source *s, uint64_t now);
/* Adds the entry's report, unless it is too old. */
void dm_sums_add(
    struct dm_sums *sums, const struct dm_source *s, uint64_t now);
/* DW_SUPPLY may be sent to the entry now, if the sums call for it. */
bool dm_supply_possible(const struct dm_source *s, uint64_t now);
/* The sums must be sent to the entry now. */
bool dm_supply_due(
    const struct dm_source *s, uint64_t now, const struct dm_sums *sums);
/* Makes the message to the entry and records it as sent; msg_free() it.  It
 * holds the sums over the other entries; whether it was due was decided by
 * those over all. */
dw_msg *dm_make_supply(struct dm_source *s, uint64_t now, uint64_t session,
    const struct dm_sums *sums, const struct dm_sums *others,
    const struct runner *r);
/* Millicores of the worker's runs that are expected to end within
 * DM_SOON_MS. */
uint64_t dm_soon_millicores(const struct runner *r, uint64_t now);

/* The urgency of a job whose objective is left_ms away; not positive: late. */
uint32_t dm_urgency(int64_t left_ms);

#ifdef __cplusplus
}
#endif

#endif
