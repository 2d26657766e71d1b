/*
 * inflow - the work that comes, by the time within which it is wanted
 *
 * Jobs are placed in the order of their objectives, so one that comes later
 * goes before one that waits if its objective is earlier.  How much will is
 * told from what came lately.
 */
#ifndef INFLOW_H
#define INFLOW_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Four to each doubling of the objective. */
#define IN_BUCKETS 96U
/* ms in which half of what came is forgotten: about as long as jobs wait. */
#define IN_HALF_LIFE_MS 1000.0

struct in_flow {
    double rate[IN_BUCKETS]; /* work a ms, in any unit */
    uint64_t decayed_ms;     /* until when old work has been faded */
};

/* Work came that is wanted within objective_ms. */
void in_record(
    struct in_flow *f, uint64_t now, uint32_t objective_ms, double work);

/* The work expected within the next span_ms whose objective is before
 * objective_ms from now. */
double in_work_before(const struct in_flow *f, uint64_t now,
    double objective_ms, double span_ms);

#ifdef __cplusplus
}
#endif

#endif
