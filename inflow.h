/*
 * inflow - arrival rate of work, by objective
 *
 * Jobs are placed in the order of their objectives, so a job that arrives
 * later is placed before a waiting one if its objective is earlier.  How much
 * such work will arrive is predicted from recent arrivals.
 */
#ifndef INFLOW_H
#define INFLOW_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Buckets of objectives, four for each doubling; the last holds all longer
 * ones. */
#define IN_BUCKETS 96U
/* Half-life of arrivals in ms: about as long as jobs wait. */
#define IN_HALF_LIFE_MS 1000.0

/* Recent arrivals: an exponentially decaying rate for each bucket. */
struct in_flow {
    double rate[IN_BUCKETS]; /* work per ms as of decayed_ms, in any unit */
    uint64_t decayed_ms;     /* time up to which the rates have been decayed */
};

/* Records the arrival of work whose objective is objective_ms from now. */
void in_record(
    struct in_flow *f, uint64_t now, uint32_t objective_ms, double work);

/* The work expected to arrive within the next span_ms with an objective that
 * is less than objective_ms from now. */
double in_work_before(const struct in_flow *f, uint64_t now,
    double objective_ms, double span_ms);

#ifdef __cplusplus
}
#endif

#endif
