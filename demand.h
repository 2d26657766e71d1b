/*
 * demand - unplaced work of all entries, as seen by one entry
 *
 * An entry reports its unplaced work to the agents that it selected, divided
 * by their number; each agent returns the sums over its entries.  Scaled by
 * the agents of the service over the agents that reported, these sums estimate
 * the unplaced work of the whole service.
 */
#ifndef DEMAND_H
#define DEMAND_H

#include <stdbool.h>
#include <stdint.h>

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

/* Unplaced work of a service.  Work is in millicores x ms. */
struct dm_estimate {
    bool known;      /* false: too few or too old reports; the rest is 0 */
    uint32_t age_ms; /* of the oldest report that it rests on */
    double work[DM_URGENCIES][DM_PRIORITIES];
    double millicores[DM_URGENCIES][DM_PRIORITIES]; /* of the tasks */
    double cores;           /* millicores of the workers in service */
    double held;            /* millicores of dispatched tasks */
    double free;            /* free millicores */
    double soon_free;       /* millicores that come free within 100 ms */
    double waiting_entries; /* entries that have unplaced work */
    double own_part; /* this entry's part of the unplaced work, 0 to 1 */
};

/* The urgency of a job whose objective is left_ms away; not positive: late. */
uint32_t dm_urgency(int64_t left_ms);

#ifdef __cplusplus
}
#endif

#endif
