#include "inflow.h"

#include <math.h>

#define BUCKETS_PER_DOUBLING 4.0

static uint32_t
bucket_of(uint32_t objective_ms)
{
    double b = BUCKETS_PER_DOUBLING * log2(fmax(objective_ms, 1));

    return (uint32_t)fmin(b, IN_BUCKETS - 1);
}

static double
bucket_middle_ms(uint32_t bucket)
{
    return exp2((bucket + 0.5) / BUCKETS_PER_DOUBLING);
}

static double
decay_factor(const struct in_flow *f, uint64_t now)
{
    return exp2(-(double)(now - f->decayed_ms) / IN_HALF_LIFE_MS);
}

void
in_record(struct in_flow *f, uint64_t now, uint32_t objective_ms, double work)
{
    double k = decay_factor(f, now);

    for (uint32_t b = 0; b < IN_BUCKETS; b++) {
        f->rate[b] *= k;
    }
    f->decayed_ms = now;
    /* A sum with this half-life settles at rate x half-life / ln 2. */
    f->rate[bucket_of(objective_ms)] += work * log(2) / IN_HALF_LIFE_MS;
}

double
in_work_before(
    const struct in_flow *f, uint64_t now, double objective_ms, double span_ms)
{
    double sum = 0;

    for (uint32_t b = 0; b < IN_BUCKETS; b++) {
        double window = objective_ms - bucket_middle_ms(b);

        if (window <= 0) {
            break;
        }
        sum += f->rate[b] * fmin(span_ms, window);
    }
    return sum * decay_factor(f, now);
}
