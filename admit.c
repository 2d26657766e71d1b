#include "admit.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "num.h"
#include "str.h"

/* Half-life, in ms, of outcomes: some times as long as jobs wait, and shorter
 * than a burst, so that refusals do not outlast it. */
#define HALF_LIFE_MS 3000.0
/* Weight of the prior, in outcomes, and its standard deviation in octaves. */
#define PRIOR_WEIGHT 4.0
#define PRIOR_OCTAVES 1.5
/* Added, in ms, to both waits of a ratio: orders and reports take as long, so
 * ratios of shorter waits say nothing. */
#define RATIO_OFFSET_MS 10.0
/* Fraction of the capacity at admission below which capacity is lost: reports
 * vary by less from one to the next. */
#define LOST_FRACTION 0.9
/* Least fraction of the cores that drains the work of late jobs.  With 0.2,
 * fewer jobs were served in time. */
#define MIN_DRAIN_FRACTION 0.02
/* Bounds, in ms, on the retry time, before jitter. */
#define RETRY_MIN_MS 500.0
#define RETRY_MAX_MS 10000.0

const char *const am_reason_names[] = {
    "admission", "capacity_lost", "no_turn", NULL};

/* --- ratios --- */

static double
bucket_ratio(uint32_t bucket)
{
    return exp2(((double)bucket - (AM_BUCKETS - 1) / 2.0) / 2);
}

static uint32_t
bucket_of(double predicted_ms, double actual_ms)
{
    double ratio =
        (actual_ms + RATIO_OFFSET_MS) / (predicted_ms + RATIO_OFFSET_MS);
    double b = 2 * log2(ratio) + (AM_BUCKETS - 1) / 2.0;

    return (uint32_t)fmin(fmax(round(b), 0), AM_BUCKETS - 1);
}

static double
prior_weight(uint32_t bucket)
{
    double x = log2(bucket_ratio(bucket)) / PRIOR_OCTAVES;

    return PRIOR_WEIGHT * exp(-x * x / 2) /
           (2 * PRIOR_OCTAVES * sqrt(2 * M_PI));
}

static double
decay_factor(const struct am_ratios *r, uint64_t now)
{
    return exp2(-(double)num_sub_sat(now, r->decayed_ms) / HALF_LIFE_MS);
}

static void
decay(struct am_ratios *r, uint64_t now)
{
    double k = decay_factor(r, now);

    for (uint32_t b = 0; b < AM_BUCKETS; b++) {
        r->weight[b] *= k;
    }
    r->decayed_ms = num_max(now, r->decayed_ms);
}

double
am_ratio_quantile(const struct am_ratios *r, uint64_t now, uint32_t permille)
{
    double k = decay_factor(r, now);
    double total = 0;
    double below = 0;
    uint32_t b;

    for (b = 0; b < AM_BUCKETS; b++) {
        total += prior_weight(b) + k * r->weight[b];
    }
    for (b = 0; b < AM_BUCKETS - 1; b++) {
        below += prior_weight(b) + k * r->weight[b];
        if (below * 1000 >= total * permille) {
            break;
        }
    }
    return bucket_ratio(b);
}

/* The ratio is above that of the bucket. */
static void
add_censored(struct am_ratios *r, uint32_t bucket)
{
    double above = 0;
    double share[AM_BUCKETS];
    uint32_t b;

    if (bucket == AM_BUCKETS - 1) {
        r->weight[bucket] += 1;
        return;
    }
    for (b = bucket + 1; b < AM_BUCKETS; b++) {
        share[b] = prior_weight(b) + r->weight[b];
        above += share[b];
    }
    for (b = bucket + 1; b < AM_BUCKETS; b++) {
        r->weight[b] += share[b] / above;
    }
}

static struct am_ratios *
ratios_of(struct am_state *s, const char *route)
{
    struct am_route *r;

    HASH_FIND_STR(s->routes, route, r);
    if (r == NULL && HASH_COUNT(s->routes) >= AM_ROUTES_MAX) {
        return &s->others;
    }
    if (r == NULL) {
        r = dw_zero(1, sizeof(*r));
        r->name = str_dup(str_of(route));
        HASH_ADD_KEYPTR(hh, s->routes, r->name, strlen(r->name), r);
    }
    return &r->ratios;
}

void
am_placed(struct am_state *s, uint64_t now, const char *route,
    double predicted_ms, double actual_ms)
{
    struct am_ratios *r = ratios_of(s, route);

    decay(r, now);
    r->weight[bucket_of(predicted_ms, actual_ms)] += 1;
    hist_add(&s->actual, (uint64_t)actual_ms);
}

void
am_given_up(struct am_state *s, uint64_t now, const char *route,
    double predicted_ms, double waited_ms)
{
    struct am_ratios *r = ratios_of(s, route);

    decay(r, now);
    add_censored(r, bucket_of(predicted_ms, waited_ms));
}

/* --- prediction --- */

/* The sum of the rows that are more urgent, and half of the job's bucket. */
static double
sum_ahead(const double rows[DM_URGENCIES][DM_PRIORITIES], uint32_t urgency)
{
    double sum = 0;

    for (uint32_t u = 0; u <= urgency; u++) {
        for (uint32_t p = 0; p < DM_PRIORITIES; p++) {
            sum += u < urgency ? rows[u][p] : rows[u][p] / 2;
        }
    }
    return sum;
}

static double
on_time_work(const struct dm_estimate *e)
{
    double work = 0;

    for (uint32_t u = 0; u < DM_URGENCY_LATE; u++) {
        for (uint32_t p = 0; p < DM_PRIORITIES; p++) {
            work += e->work[u][p];
        }
    }
    return work;
}

/* The queue with the work of all entries, scaled to this entry's cores. */
static struct am_queue
fleet_queue(const struct am_queue *q, const struct dm_estimate *e,
    const struct am_job *j)
{
    struct am_queue all = *q;
    double scale = q->cores / e->cores;
    uint32_t urgency = dm_urgency((int64_t)j->objective_ms);
    double millicores = sum_ahead(e->millicores, urgency) + j->millicores;
    /* Free cores start part of the work at once, as in fill_queue(). */
    double queued = fmax(1 - e->free / fmax(millicores, 1), 0);

    all.ahead = scale * queued * (sum_ahead(e->work, urgency) + j->work);
    all.on_time = scale * on_time_work(e);
    return all;
}

/* Time until the work is done by what arrivals leave of the cores. */
static double
drain_ms(double work, double cores, double rate)
{
    return work / fmax(cores - rate, MIN_DRAIN_FRACTION * cores);
}

static double
queue_wait_ms(const struct am_queue *q, const struct am_job *j)
{
    double wait = drain_ms(q->ahead, q->cores, q->urgent_rate);
    double on_time = fmax(j->on_time_ms, 0);
    double left;

    if (wait <= on_time) {
        return wait;
    }
    left = fmax(q->ahead, q->on_time) + (q->total_rate - q->cores) * on_time;
    return on_time + drain_ms(fmax(left, 0), q->cores, q->total_rate);
}

double
am_wait_ms(const struct am_queue *q, const struct dm_estimate *e,
    const struct am_job *j)
{
    struct am_queue all = *q;

    if (q->cores <= 0) {
        return AM_WAIT_MAX_MS;
    }
    if (e->known && e->cores > 0) {
        all = fleet_queue(q, e, j);
    }
    return fmin(queue_wait_ms(&all, j), AM_WAIT_MAX_MS);
}

struct am_prediction
am_decide(struct am_state *s, uint64_t now, const char *route,
    const struct am_queue *q, const struct dm_estimate *e,
    const struct am_job *j)
{
    struct am_prediction p = {0, 0, e->known, e->age_ms, false};
    double ratio =
        am_ratio_quantile(ratios_of(s, route), now, AM_QUANTILE_PERMILLE);

    p.wait_ms = am_wait_ms(q, e, j);
    p.corrected_ms = fmin(ratio * p.wait_ms, AM_WAIT_MAX_MS);
    p.refuse = p.corrected_ms > j->useful_ms;
    if (!p.refuse) {
        hist_add(&s->predicted, (uint64_t)p.corrected_ms);
    }
    return p;
}

bool
am_capacity_lost(double admitted_capacity, double capacity)
{
    return capacity < LOST_FRACTION * admitted_capacity;
}

uint32_t
am_retry_after_ms(
    const struct am_prediction *p, const struct am_job *j, double jitter)
{
    double ms = p->corrected_ms - j->useful_ms;

    return (
        uint32_t)(fmin(fmax(ms, RETRY_MIN_MS), RETRY_MAX_MS) * (1 + jitter));
}

void
am_free(struct am_state *s)
{
    struct am_route *r;
    struct am_route *tmp;

    HASH_ITER (hh, s->routes, r, tmp) {
        HASH_DEL(s->routes, r);
        free(r->name);
        free(r);
    }
}
