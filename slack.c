#include "slack.h"

#include <math.h>

#include "num.h"

/* ms in which half of what came has faded: long enough for a steady part,
 * short enough for another hour of the day. */
#define HALF_MS 10000.0

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
sl_record(struct sl_histogram *m, uint64_t now, uint32_t slack_ms, double work)
{
    double kept = exp2(-(double)(now - m->decayed_ms) / HALF_MS);

    for (uint32_t b = 0; b < SL_BUCKETS; b++) {
        m->work[b] *= kept;
    }
    m->decayed_ms = now;
    m->work[bucket_of(slack_ms)] += work;
}

double
sl_more_urgent_share(const struct sl_histogram *m, uint32_t slack_ms)
{
    uint32_t own = bucket_of(slack_ms);
    double tighter = 0;
    double all = 0;

    for (uint32_t b = 0; b < SL_BUCKETS; b++) {
        all += m->work[b];
        tighter += b < own ? m->work[b] : 0;
    }
    return all > 0 ? tighter / all : 0;
}
