/*
 * hist - histogram of durations in ms
 *
 * Each octave has eight buckets, so a quantile is at most 12.5 % too high.
 * Implemented here because Debian packages no library for it; the program
 * formats its own metrics.
 */
#ifndef HIST_H
#define HIST_H

#include <stdint.h>

#include "str.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Covers up to 2^20 ms, about 17 minutes; longer durations count in the last
 * bucket. */
#define HIST_BUCKETS 152U

struct hist {
    uint64_t count;
    uint64_t sum_ms;
    uint32_t buckets[HIST_BUCKETS];
};

void hist_add(struct hist *h, uint64_t ms);
/* The upper bound in ms of the bucket that contains the given quantile; 0 if
 * there are no values. */
uint64_t hist_quantile(const struct hist *h, uint32_t permille);
/* Append the lines NAME_count, NAME_sum_ms and NAME_ms{quantile="..."}. */
void hist_format(const struct hist *h, const char *name, struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
