/*
 * hist - a histogram of times in ms
 *
 * Buckets grow by an eighth: a value read back is off by 12.5 % at most.
 * Debian has no library for this; the product's counters are its own.
 */
#ifndef HIST_H
#define HIST_H

#include <stdint.h>

#include "str.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Up to 2^20 ms, some 17 minutes; longer ones count there. */
#define HIST_BUCKETS 152U

struct hist {
    uint64_t count;
    uint64_t sum_ms;
    uint32_t buckets[HIST_BUCKETS];
};

void hist_add(struct hist *h, uint64_t ms);
/* The upper bound of the bucket that holds so many permille of all. */
uint64_t hist_quantile(const struct hist *h, uint32_t permille);
/* Lines NAME_count, NAME_sum_ms, NAME_ms{quantile="..."}. */
void hist_format(const struct hist *h, const char *name, struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
