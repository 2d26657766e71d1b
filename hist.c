#include "hist.h"

#include <inttypes.h>

#define BUCKETS_PER_OCTAVE 8U

/* Each value below 8 has its own bucket. */
static uint32_t
bucket_of(uint64_t ms)
{
    uint32_t octave;
    uint32_t b;

    if (ms < BUCKETS_PER_OCTAVE) {
        return (uint32_t)ms;
    }
    octave = 63U - (uint32_t)__builtin_clzll(ms);
    b = (octave - 2) * BUCKETS_PER_OCTAVE +
        (uint32_t)((ms >> (octave - 3)) & (BUCKETS_PER_OCTAVE - 1));
    return b < HIST_BUCKETS ? b : HIST_BUCKETS - 1;
}

static uint64_t
upper_bound(uint32_t bucket)
{
    uint32_t octave = bucket / BUCKETS_PER_OCTAVE + 2;

    if (bucket < BUCKETS_PER_OCTAVE) {
        return bucket;
    }
    return (((uint64_t)BUCKETS_PER_OCTAVE + bucket % BUCKETS_PER_OCTAVE + 1)
               << (octave - 3)) -
           1;
}

void
hist_add(struct hist *h, uint64_t ms)
{
    h->count++;
    h->sum_ms += ms;
    h->buckets[bucket_of(ms)]++;
}

uint64_t
hist_quantile(const struct hist *h, uint32_t permille)
{
    uint64_t target = (h->count * permille + 999) / 1000;
    uint64_t cumulative = 0;

    for (uint32_t i = 0; i < HIST_BUCKETS; i++) {
        cumulative += h->buckets[i];
        if (cumulative >= target && cumulative > 0) {
            return upper_bound(i);
        }
    }
    return 0;
}

void
hist_format(const struct hist *h, const char *name, struct buf *out)
{
    static const uint32_t quantiles[] = {500, 900, 990, 999};

    buf_addf(out, "%s_count %" PRIu64 "\n%s_sum_ms %" PRIu64 "\n", name,
        h->count, name, h->sum_ms);
    for (size_t i = 0; i < sizeof(quantiles) / sizeof(quantiles[0]); i++) {
        buf_addf(out, "%s_ms{quantile=\"0.%03u\"} %" PRIu64 "\n", name,
            quantiles[i], hist_quantile(h, quantiles[i]));
    }
}
