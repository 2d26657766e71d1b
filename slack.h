/*
 * slack - share of recent work that is more urgent (has less slack) than a job
 *
 * Tasks are not preempted.  Long tasks that take all free cores hold them for
 * long, and short jobs that arrive meanwhile and cannot wait find none, even
 * if they are few.  So a job with slack leaves some cores free: the more, the
 * larger the share of recent work that is more urgent.
 *
 * Source: Delgado et al.: Hawk: Hybrid Datacenter Scheduling, USENIX ATC 2015
 * (a part of the cores for short tasks).
 */
#ifndef SLACK_H
#define SLACK_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Each bucket holds slacks up to twice as long as the one before; the last
 * holds all longer ones. */
#define SL_BUCKETS 20U

/* Recent work by slack, decaying exponentially. */
struct sl_histogram {
    double work[SL_BUCKETS];
    uint64_t decayed_ms; /* time up to which the work has been decayed */
};

/* Records the arrival of a job that can wait for slack_ms and takes work (in
 * any unit). */
void sl_record(
    struct sl_histogram *h, uint64_t now, uint32_t slack_ms, double work);

/* The share, 0 to 1, of recent work with less slack than slack_ms: that in the
 * buckets below its own. */
double sl_more_urgent_share(const struct sl_histogram *h, uint32_t slack_ms);

#ifdef __cplusplus
}
#endif

#endif
