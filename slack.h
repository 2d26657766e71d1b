/*
 * slack - how much of the work has less time to spare than a job
 *
 * Tasks are not interrupted.  When long ones find free cores they hold them
 * for long, and short jobs that come meanwhile, and cannot wait, find none
 * though they are few.  So a job that can wait leaves some cores free, the
 * more of the usual work is tighter than it.
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

/* Each holds times up to twice as long as the one before; the last, all. */
#define SL_BUCKETS 20U

/* Work that came lately, by the time that it had to spare. */
struct sl_histogram {
    double work[SL_BUCKETS];
    uint64_t decayed_ms; /* until when old work has been faded */
};

/* A job came that can wait for slack_ms and takes so much work (in any
 * unit). */
void sl_record(
    struct sl_histogram *m, uint64_t now, uint32_t slack_ms, double work);

/* The part of the work, 0 to 1, that can wait for half of slack_ms at most. */
double sl_more_urgent_share(const struct sl_histogram *m, uint32_t slack_ms);

#ifdef __cplusplus
}
#endif

#endif
