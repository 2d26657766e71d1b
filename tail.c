#include "tail.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "str.h"

/* The prior: log-normal, as declared run times are off by 40 % and more, and a
 * share of long runs with a Pareto tail of exponent 1. */
#define PRIOR_SIGMA 0.5
#define PRIOR_TAIL_SHARE 0.06
/* Limits of what a single run contributes to the evidence: one run that was
 * drawn from outside the distribution must not decide. */
#define RUN_EVIDENCE_MAX 3.5
#define RUN_EVIDENCE_MIN (-2.5)
/* Limits of the sum over ended runs.  By the upper one, a worker that has
 * recovered is cleared after three or four runs.  The lower one keeps a worker
 * from appearing slow that gets no new runs, and of whose runs only the long
 * ones are left. */
#define PAST_EVIDENCE_MIN (-1.5)
#define PAST_EVIDENCE_MAX 10.0
/* Limit of the report's part. */
#define REPORT_EVIDENCE_MAX 12.0
/* Runs that a report counts for at most: it averages the last 100 ms of each
 * run, and long tasks are in it for seven such times and more. */
#define REPORT_RUNS_MAX 9.0
/* Limits of the sum over runs in progress.  Those that are young when their
 * worker becomes slow must not hide it. */
#define RUNNING_EVIDENCE_MIN (-1.0)
#define RUNNING_EVIDENCE_MAX 8.0
/* ms until a reported pace includes runs that have been started since. */
#define REPORT_SETTLE_MS 300.0
/* Share of the runs on a slow worker that appear as long ones. */
#define SLOW_LONG_SHARE 0.9
/* Bounds of the share of long runs that a sound worker is assumed to have. */
#define LONG_SHARE_MIN 0.03
#define LONG_SHARE_MAX 0.5
/* ms after which the evidence of ended runs counts half. */
#define EVIDENCE_HALF_MS 1000.0
/* Moved runs that the prior counts for, by whether the second run is as long,
 * and ms after which the counts of outcomes are halved. */
#define PRIOR_OF_USE 8.0
#define PRIOR_AS_LONG 1.0
#define OUTCOME_HALF_MS 10000.0

/* Jobs after which the size of a large task has mostly lost its weight. */
#define SIZE_MEMORY_JOBS 64

/* --- distributions --- */

static double
bucket_start(uint32_t i)
{
    return TL_RATIO_MIN * exp2((double)i / TL_BUCKETS_PER_OCTAVE);
}

static double
bucket_mid(uint32_t i)
{
    return TL_RATIO_MIN * exp2((i + 0.5) / TL_BUCKETS_PER_OCTAVE);
}

static uint32_t
bucket_of(double ratio)
{
    double at =
        log2(fmax(ratio, TL_RATIO_MIN) / TL_RATIO_MIN) * TL_BUCKETS_PER_OCTAVE;

    return at >= TL_BUCKETS ? TL_BUCKETS - 1 : (uint32_t)at;
}

/* Share of the prior below a ratio. */
static double
prior_below(double ratio)
{
    double normal = 0.5 * erfc(-log(ratio) / PRIOR_SIGMA / sqrt(2));
    double tail = ratio > 1 ? 1 - 1 / ratio : 0;

    return (1 - PRIOR_TAIL_SHARE) * normal + PRIOR_TAIL_SHARE * tail;
}

/* Runs in a bucket by the prior. */
static double
prior_count(uint32_t i)
{
    double below = i > 0 ? prior_below(bucket_start(i)) : 0;
    double end = i + 1 < TL_BUCKETS ? prior_below(bucket_start(i + 1)) : 1;

    return TL_PRIOR_RUNS * (end - below);
}

static void
dist_init(struct tl_dist *d)
{
    d->runs = 0;
    for (uint32_t i = 0; i < TL_BUCKETS; i++) {
        d->count[i] = prior_count(i);
    }
}

static void
add_ratio(struct tl_dist *d, double ratio)
{
    d->count[bucket_of(ratio)]++;
    d->runs++;
    if (d->runs < TL_RUNS_MAX) {
        return;
    }
    d->runs /= 2;
    for (uint32_t i = 0; i < TL_BUCKETS; i++) {
        d->count[i] = (d->count[i] + prior_count(i)) / 2;
    }
}

/* Weight and sum of ratios above a ratio. */
struct above {
    double weight;
    double sum;
};

static struct above
sum_above(const struct tl_dist *d, double ratio)
{
    uint32_t first = bucket_of(ratio);
    struct above a = {0, 0};

    for (uint32_t i = first; i < TL_BUCKETS; i++) {
        double weight = d->count[i];
        double mid = bucket_mid(i);

        if (i == first && ratio > bucket_start(i)) {
            double end = bucket_start(i + 1);
            double part = fmax(end - ratio, 0) / (end - bucket_start(i));

            weight *= part;
            mid = (ratio + end) / 2;
        }
        a.weight += weight;
        a.sum += weight * mid;
    }
    return a;
}

double
tl_survival(const struct tl_dist *d, double ratio)
{
    return sum_above(d, ratio).weight / (d->runs + TL_PRIOR_RUNS);
}

double
tl_mean_above(const struct tl_dist *d, double ratio)
{
    struct above a = sum_above(d, ratio);

    return a.weight > 0 ? fmax(a.sum / a.weight, ratio) : ratio;
}

static double
mean_ratio(const struct tl_dist *d)
{
    return tl_mean_above(d, 0);
}

/* --- routes --- */

void
tl_init(struct tl_state *s)
{
    *s = (struct tl_state){0};
    dist_init(&s->all);
    s->usual_pace = 1;
}

struct tl_route *
tl_route_of(struct tl_state *s, const char *name)
{
    struct tl_route *r;

    HASH_FIND_STR(s->routes, name, r);
    if (r == NULL && HASH_COUNT(s->routes) < TL_ROUTES_MAX) {
        r = dw_zero(1, sizeof(*r));
        r->name = str_dup(str_of(name));
        dist_init(&r->dist);
        HASH_ADD_KEYPTR(hh, s->routes, r->name, strlen(r->name), r);
    }
    return r;
}

const struct tl_dist *
tl_dist_of(const struct tl_state *s, const struct tl_route *r)
{
    return r != NULL ? &r->dist : &s->all;
}

void
tl_learn(struct tl_state *s, struct tl_route *r, double ratio)
{
    add_ratio(&s->all, ratio);
    if (r != NULL) {
        add_ratio(&r->dist, ratio);
    }
}

void
tl_learn_size(struct tl_state *s, uint32_t millicores)
{
    if (millicores > s->task_millicores) {
        s->task_millicores = millicores;
    }
    else {
        s->task_millicores -=
            (s->task_millicores - millicores) / SIZE_MEMORY_JOBS;
    }
}

void
tl_free(struct tl_state *s)
{
    struct tl_route *r;
    struct tl_route *tmp;

    HASH_ITER (hh, s->routes, r, tmp) {
        HASH_DEL(s->routes, r);
        free(r->name);
        free(r);
    }
}

/* --- evidence --- */

static double
limit(double value, double min, double max)
{
    return fmin(fmax(value, min), max);
}

/* The density by the logarithm of the ratio, smoothed over a bucket on either
 * side. */
static double
density(const struct tl_dist *d, double ratio)
{
    uint32_t at = bucket_of(ratio);
    double sum = 2 * d->count[at];

    sum += at > 0 ? d->count[at - 1] : 0;
    sum += at + 1 < TL_BUCKETS ? d->count[at + 1] : 0;
    return sum;
}

double
tl_evidence_ended(const struct tl_dist *d, double ratio)
{
    double slow = density(d, ratio / TL_SLOW_FACTOR);

    return limit(
        log(slow / density(d, ratio)), RUN_EVIDENCE_MIN, RUN_EVIDENCE_MAX);
}

double
tl_evidence_running(const struct tl_dist *d, double ratio)
{
    double slow = tl_survival(d, ratio / TL_SLOW_FACTOR) / TL_SLOW_FACTOR;
    double usual = tl_survival(d, ratio);

    return usual > 0 ? fmin(log(slow / usual), RUN_EVIDENCE_MAX)
                     : RUN_EVIDENCE_MAX;
}

/* Share of the running runs that are long.  Long runs are seen more often than
 * others, in proportion to their time. */
static double
long_share(const struct tl_dist *d)
{
    double all = sum_above(d, 0).sum;

    return limit(
        sum_above(d, TL_LONG_RATIO).sum / all, LONG_SHARE_MIN, LONG_SHARE_MAX);
}

double
tl_evidence_report(const struct tl_dist *d, const struct tl_report *r)
{
    double others = r->runs - r->excluded;
    double usual = long_share(d);
    double pace;
    double share;
    double per_run;

    if (others < 1) {
        return 0;
    }
    /* The excluded runs count as without any progress, which makes the pace
     * of the others as high as it can be. */
    pace = fmin(r->pace * r->runs / others, 1);
    share = (1 - pace) * TL_SLOW_FACTOR / (TL_SLOW_FACTOR - 1);
    share = fmin(share, 1);
    per_run = share * log(SLOW_LONG_SHARE / usual) +
              (1 - share) * log((1 - SLOW_LONG_SHARE) / (1 - usual));
    return fmin(per_run * fmin(others, REPORT_RUNS_MAX), REPORT_EVIDENCE_MAX);
}

double
tl_evidence_past(const struct tl_worker *w, uint64_t now)
{
    return w->ended * exp2(-(double)(now - w->ended_ms) / EVIDENCE_HALF_MS);
}

void
tl_run_ended(struct tl_worker *w, const struct tl_dist *d, uint64_t now,
    uint64_t job, double ratio)
{
    double sum;

    if (w->ended_job == job && w->ended_ms != 0) {
        return;
    }
    sum = tl_evidence_past(w, now) + tl_evidence_ended(d, ratio);
    w->ended = limit(sum, PAST_EVIDENCE_MIN, PAST_EVIDENCE_MAX);
    w->ended_job = job;
    w->ended_ms = now;
}

void
tl_count_reported(struct tl_worker *w, uint64_t now, double runs)
{
    double part = fmin((double)(now - w->reported_ms) / REPORT_SETTLE_MS, 1);

    w->reported_runs += (runs - w->reported_runs) * part;
    w->reported_runs = fmin(w->reported_runs, runs);
    w->reported_ms = now;
}

double
tl_evidence_of_running(double sum)
{
    return limit(sum, RUNNING_EVIDENCE_MIN, RUNNING_EVIDENCE_MAX);
}

double
tl_independent_runs(const struct tl_worker *w, double runs)
{
    /* Without runs of its own there, an entry assumes two of a job. */
    double jobs_per_run = w->running_count > 0
                              ? (double)w->running_jobs / w->running_count
                              : 0.5;

    /* Only part of the deviation of a run from its estimate is its job's. */
    return runs * (1 + jobs_per_run) / 2;
}

double
tl_evidence(const struct tl_worker *w, uint64_t now)
{
    return tl_evidence_past(w, now) + tl_evidence_of_running(w->running) +
           w->report;
}

void
tl_judge(struct tl_worker *w, uint64_t now, double evidence)
{
    if (evidence < 0) {
        w->suspect = false;
        w->suspect_ms = 0;
        return;
    }
    w->suspect |= evidence >= TL_SUSPECT;
    if (evidence > 0 && w->suspect_ms == 0) {
        w->suspect_ms = now;
    }
}

void
tl_begin_running(struct tl_worker *w)
{
    w->running = 0;
    w->running_count = 0;
    w->running_jobs = 0;
    w->running_job = 0;
}

void
tl_add_running(struct tl_worker *w, uint64_t job, double evidence)
{
    w->running_count++;
    if (w->running_job != job) {
        w->running_jobs++;
        w->running_job = job;
        w->running_job_min = evidence;
        w->running += evidence;
    }
    else if (evidence < w->running_job_min) {
        w->running -= w->running_job_min - evidence;
        w->running_job_min = evidence;
    }
}

/* --- moves --- */

static double
outcome_weight(const struct tl_state *s, uint64_t now)
{
    return exp2(-(double)(now - s->outcome_ms) / OUTCOME_HALF_MS);
}

void
tl_move_ended(struct tl_state *s, uint64_t now, bool as_long)
{
    double weight = outcome_weight(s, now);

    s->moves_of_use = s->moves_of_use * weight + !as_long;
    s->moves_as_long = s->moves_as_long * weight + as_long;
    s->outcome_ms = now;
}

double
tl_move_trust(const struct tl_state *s, uint64_t now)
{
    double weight = outcome_weight(s, now);
    double of_use = PRIOR_OF_USE + weight * s->moves_of_use;
    double as_long = PRIOR_AS_LONG + weight * s->moves_as_long;

    return of_use / (of_use + as_long);
}

bool
tl_take_move(struct tl_state *s, uint64_t now)
{
    s->budget = s->budget_ms == 0
                    ? TL_MOVES_BURST
                    : fmin(TL_MOVES_BURST,
                          s->budget + TL_MOVES_PER_S / 1000 *
                                          (double)(now - s->budget_ms));
    s->budget_ms = now;
    if (s->budget < 1) {
        return false;
    }
    s->budget--;
    return true;
}

struct tl_forecast
tl_expect(const struct tl_dist *d, const struct tl_run *run, double trust)
{
    double done_usual = run->elapsed * run->speed;
    double done_slow = (run->elapsed - run->suspect) * run->speed +
                       run->suspect * run->slow_speed;
    double total_usual = tl_mean_above(d, done_usual);
    double total_slow =
        done_slow > 0 ? tl_mean_above(d, done_slow) : mean_ratio(d);
    struct tl_forecast f;

    f.remaining = trust * (total_slow - done_slow) / run->slow_speed +
                  (1 - trust) * (total_usual - done_usual) / run->speed;
    f.elsewhere = trust * total_slow + (1 - trust) * total_usual + run->start;
    return f;
}
