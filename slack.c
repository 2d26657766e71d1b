#include "slack.h"

#include <math.h>

#include "num.h"

/* Half-life of recorded work in ms: long enough for a steady share, short
 * enough to follow the load over a day. */
#define HALF_LIFE_MS 10000.0

static uint32_t
bucket_of(uint32_t slack_ms)
{
    uint32_t b = 0;

    for (; slack_ms > 0 && b < SL_BUCKETS - 1; slack_ms /= 2) {
        b++;
    }
    return b;
}

void
sl_record(struct sl_histogram *h, uint64_t now, uint32_t slack_ms, double work)
{
    double decay_factor = exp2(-(double)(now - h->decayed_ms) / HALF_LIFE_MS);

    for (uint32_t b = 0; b < SL_BUCKETS; b++) {
        h->work[b] *= decay_factor;
    }
    h->decayed_ms = now;
    h->work[bucket_of(slack_ms)] += work;
}

double
sl_more_urgent_share(const struct sl_histogram *h, uint32_t slack_ms)
{
    uint32_t own = bucket_of(slack_ms);
    double more_urgent = 0;
    double total = 0;

    for (uint32_t b = 0; b < SL_BUCKETS; b++) {
        total += h->work[b];
        more_urgent += b < own ? h->work[b] : 0;
    }
    return total > 0 ? more_urgent / total : 0;
}
