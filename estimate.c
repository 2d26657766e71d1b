#include "estimate.h"

#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "num.h"

/* Routes with a model; for all others the declared times are used. */
#define MODELS_MAX 512U
/* Jobs before lines are first fitted, and jobs between fits. */
#define MIN_JOBS 12U
#define REFIT_JOBS 8U
/* Errors are means over about this many of the latest jobs. */
#define ERROR_JOBS 32.0
/* Limit of a single error, so that a few outliers do not dominate. */
#define ERROR_MAX 1.0
/* Factors from a mean and from a median absolute deviation to a standard
 * deviation, for a normal distribution. */
#define MEAN_TO_SIGMA 1.25
#define MEDIAN_TO_SIGMA 1.48
/* Standard deviations beyond which a job is an outlier of a line. */
#define OUTLIER_SIGMAS 3.0
/* The same for the remaining time, if the deadline is already an outlier. */
#define SHORT_DEADLINE_SIGMAS 1.0
/* ms by which transit may change the remaining time. */
#define TRANSIT_MS 30.0

void
es_free(struct es_table *t)
{
    struct es_model *m;
    struct es_model *tmp;

    HASH_ITER (hh, t->models, m, tmp) {
        HASH_DEL(t->models, m);
        free(m->route);
        free(m);
    }
}

struct es_model *
es_model_of(struct es_table *t, const char *route)
{
    struct es_model *m;

    HASH_FIND_STR(t->models, route, m);
    if (m == NULL && HASH_COUNT(t->models) < MODELS_MAX) {
        m = dw_zero(1, sizeof(*m));
        m->route = str_dup(str_of(route));
        HASH_ADD_KEYPTR(hh, t->models, m->route, strlen(m->route), m);
    }
    return m;
}

/* --- lines --- */

static void
swap(double *a, double *b)
{
    double tmp = *a;

    *a = *b;
    *b = tmp;
}

/* Hoare's selection: the k-th smallest of v, which it reorders.  Every few
 * jobs a median of some thousand slopes is needed; sorting them would cost the
 * entry more than all other decisions about a job. */
static double
select_kth(double *v, size_t n, size_t k)
{
    size_t low = 0;
    size_t high = n - 1;

    while (low < high) {
        double pivot = v[low + (high - low) / 2];
        size_t i = low;
        size_t j = high;

        for (;;) {
            while (i < high && v[i] < pivot) {
                i++;
            }
            while (j > low && v[j] > pivot) {
                j--;
            }
            if (i >= j) {
                break;
            }
            swap(&v[i++], &v[j--]);
        }
        if (k <= j) {
            high = j;
        }
        else {
            low = j + 1;
        }
    }
    return v[k];
}

static double
median(double *v, size_t n)
{
    return n == 0 ? 0 : select_kth(v, n, n / 2);
}

struct point {
    double x;
    double y;
};

static double
value_at(const struct es_line *l, double x)
{
    return l->intercept + l->slope * x;
}

/* Theil-Sen: the median of the slopes between all pairs of points, and the
 * median of the intercepts with that slope. */
static struct es_line
fit_line(const struct point *p, size_t n)
{
    double v[ES_SAMPLES_MAX * (ES_SAMPLES_MAX - 1) / 2] = {0};
    struct es_line l = {0, 0};
    size_t pairs = 0;

    for (size_t i = 0; i < n; i++) {
        for (size_t k = i + 1; k < n; k++) {
            if (p[i].x != p[k].x) {
                v[pairs++] = (p[k].y - p[i].y) / (p[k].x - p[i].x);
            }
        }
    }
    l.slope = median(v, pairs);
    for (size_t i = 0; i < n; i++) {
        v[i] = p[i].y - l.slope * p[i].x;
    }
    l.intercept = median(v, n);
    return l;
}

static double
spread_around(const struct es_line *l, const struct point *p, size_t n)
{
    double v[ES_SAMPLES_MAX] = {0};

    for (size_t i = 0; i < n; i++) {
        v[i] = fabs(p[i].y - value_at(l, p[i].x));
    }
    return median(v, n);
}

static double
ln_ms(uint32_t ms)
{
    return log((double)num_max(ms, 1));
}

static void
refit(struct es_model *m)
{
    size_t n = num_min(m->own_jobs, ES_SAMPLES_MAX);
    struct point p[ES_SAMPLES_MAX] = {{0, 0}};

    for (size_t i = 0; i < n; i++) {
        const struct es_sample *s = &m->samples[i];

        p[i] = (struct point){ln_ms(s->input.declared_ms), ln_ms(s->run_ms)};
    }
    m->run_by_declared = fit_line(p, n);
    for (size_t i = 0; i < n; i++) {
        const struct es_sample *s = &m->samples[i];

        p[i] = (struct point){s->input.remaining_ms, s->run_ms};
    }
    m->run_by_remaining = fit_line(p, n);
    for (size_t i = 0; i < n; i++) {
        const struct es_sample *s = &m->samples[i];

        p[i] = (struct point){s->input.declared_ms, s->input.remaining_ms};
    }
    m->remaining_by_declared = fit_line(p, n);
    m->remaining_spread_ms = spread_around(&m->remaining_by_declared, p, n);
}

/* --- estimates --- */

/* The run time by one method, in ms; at least 1. */
static double
estimate_by(const struct es_model *m, enum es_method method,
    const struct es_input *input)
{
    switch (method) {
    case ES_FROM_DECLARED:
        return fmax(
            exp(value_at(&m->run_by_declared, ln_ms(input->declared_ms))), 1);
    case ES_FROM_DEADLINE:
        return fmax(value_at(&m->run_by_remaining, input->remaining_ms), 1);
    case ES_DECLARED:
    case ES_METHODS:
        break;
    }
    return (double)num_max(input->declared_ms, 1);
}

enum es_method
es_best_method(const struct es_model *m)
{
    enum es_method best = ES_DECLARED;

    /* Errors of lines are measured on jobs that arrive after the fit. */
    if (m == NULL || m->jobs < 2 * MIN_JOBS) {
        return ES_DECLARED;
    }
    for (int method = ES_FROM_DECLARED; method < ES_METHODS; method++) {
        if (m->error[method] < m->error[best]) {
            best = (enum es_method)method;
        }
    }
    return best;
}

/* The better of the two methods that use the declared time. */
static enum es_method
best_by_declared(const struct es_model *m)
{
    return m->error[ES_FROM_DECLARED] < m->error[ES_DECLARED]
               ? ES_FROM_DECLARED
               : ES_DECLARED;
}

/*
 * The deadline of a caller that sets it differently from others, or that has
 * sent the request before, does not predict the run time: the estimates by
 * deadline and by declared time then differ by more than the usual error of
 * declared times.
 */
static bool
is_outlier(const struct es_model *m, const struct es_input *input)
{
    enum es_method other = best_by_declared(m);
    double difference = log(estimate_by(m, ES_FROM_DEADLINE, input) /
                            estimate_by(m, other, input));

    return fabs(difference) > OUTLIER_SIGMAS * MEAN_TO_SIGMA * m->error[other];
}

static double
estimate_run(const struct es_model *m, const struct es_input *input)
{
    enum es_method method = es_best_method(m);

    if (method == ES_FROM_DEADLINE && is_outlier(m, input)) {
        method = best_by_declared(m);
    }
    return estimate_by(m, method, input);
}

/*
 * Estimated ms since the caller first sent the request; 0 if this is the
 * first.  Where callers set deadlines by the work requested, a short deadline
 * may also belong to a short job that was declared too long; so it must be an
 * outlier for the declared time as well.
 */
static double
elapsed_ms(const struct es_model *m, const struct es_input *input)
{
    double sigmas = OUTLIER_SIGMAS;
    double missing;

    if (m == NULL || m->jobs < MIN_JOBS) {
        return 0;
    }
    if (es_best_method(m) == ES_FROM_DEADLINE) {
        if (!is_outlier(m, input)) {
            return 0;
        }
        sigmas = SHORT_DEADLINE_SIGMAS;
    }
    missing = value_at(&m->remaining_by_declared, input->declared_ms) -
              input->remaining_ms;
    return missing > sigmas * MEDIAN_TO_SIGMA * m->remaining_spread_ms +
                         TRANSIT_MS
               ? missing
               : 0;
}

static uint32_t
to_ms(double ms)
{
    return (uint32_t)fmin(fmax(ms, 0), (double)UINT32_MAX);
}

struct es_estimate
es_estimate_job(const struct es_model *m, const struct es_objective *o,
    const struct es_input *input)
{
    enum es_method method = es_best_method(m);
    double elapsed = elapsed_ms(m, input);
    struct es_estimate e;
    double objective;
    double useful;

    e.run_ms = to_ms(estimate_run(m, input));
    objective = (double)e.run_ms * o->stretch_milli / 1000 + o->slo_ms;
    e.objective_ms = to_ms(objective - elapsed);
    /* Without a better estimate than the declared time, an answer counts as
     * useful for as long as the caller waits. */
    useful = method == ES_DECLARED
                 ? input->remaining_ms
                 : ES_USEFUL_OBJECTIVES * objective *
                           exp(MEAN_TO_SIGMA * m->error[method]) -
                       elapsed;
    e.useful_ms = (uint32_t)num_min(to_ms(useful), input->remaining_ms);
    return e;
}

/* --- learning --- */

/* Compares the estimate of each method with a job's measured time, before the
 * job is learned from. */
static void
update_errors(
    struct es_model *m, const struct es_input *input, uint32_t run_ms)
{
    double weight = fmax(1 / ERROR_JOBS, 1 / (double)(m->jobs + 1));

    for (int method = 0; method < ES_METHODS; method++) {
        double error = fabs(log(estimate_by(m, (enum es_method)method, input) /
                                (double)num_max(run_ms, 1)));

        if (method == ES_DECLARED || m->jobs >= MIN_JOBS) {
            m->error[method] +=
                weight * (fmin(error, ERROR_MAX) - m->error[method]);
        }
    }
}

void
es_learn(struct es_table *t, struct es_model *m, const struct es_input *input,
    uint32_t run_ms)
{
    struct es_sample *s = &m->samples[m->own_jobs % ES_SAMPLES_MAX];

    update_errors(m, input, run_ms);
    s->input = *input;
    s->run_ms = run_ms;
    m->own_jobs++;
    m->jobs++;
    t->jobs_learned++;
    if (m->jobs == MIN_JOBS) {
        m->error[ES_FROM_DECLARED] = m->error[ES_DECLARED];
        m->error[ES_FROM_DEADLINE] = m->error[ES_DECLARED];
    }
    if (m->own_jobs >= MIN_JOBS &&
        m->own_jobs % REFIT_JOBS == MIN_JOBS % REFIT_JOBS) {
        refit(m);
    }
}

/* --- saving and loading --- */

/* ms until models are first saved, and the longest interval between saves. */
#define FIRST_SAVE_MS 4000U
#define SAVE_INTERVAL_MAX_MS (ES_SAVED_TTL_MS / 2)

bool
es_save_due(struct es_table *t, uint64_t now)
{
    if (t->saved_ms == 0) {
        t->saved_ms = now;
        t->save_interval_ms = FIRST_SAVE_MS;
    }
    if (now - t->saved_ms < t->save_interval_ms ||
        t->jobs_learned == t->jobs_saved) {
        return false;
    }
    t->saved_ms = now;
    t->jobs_saved = t->jobs_learned;
    t->save_interval_ms =
        num_min(2 * t->save_interval_ms, SAVE_INTERVAL_MAX_MS);
    return true;
}

#define LINE_FORMAT "%.6g %.6g "
/* Bytes of a route name in a saved line, with its NUL; see load_line(). */
#define ROUTE_MAX 200

void
es_save(const struct es_table *t, struct buf *out)
{
    const struct es_model *m;

    for (m = t->models; m != NULL; m = m->hh.next) {
        if (m->jobs < MIN_JOBS || strlen(m->route) >= ROUTE_MAX) {
            continue;
        }
        buf_addf(out, "1 %llu " LINE_FORMAT LINE_FORMAT LINE_FORMAT "%.6g",
            (unsigned long long)m->jobs, m->run_by_declared.intercept,
            m->run_by_declared.slope, m->run_by_remaining.intercept,
            m->run_by_remaining.slope, m->remaining_by_declared.intercept,
            m->remaining_by_declared.slope, m->remaining_spread_ms);
        for (int method = 0; method < ES_METHODS; method++) {
            buf_addf(out, " %.4f", m->error[method]);
        }
        buf_addf(out, " %s\n", m->route);
    }
}

/* Stored models are untrusted input. */
static bool
is_valid_model(const struct es_model *m)
{
    double sum = m->run_by_declared.intercept + m->run_by_declared.slope +
                 m->run_by_remaining.intercept + m->run_by_remaining.slope +
                 m->remaining_by_declared.intercept +
                 m->remaining_by_declared.slope + m->remaining_spread_ms;

    for (int method = 0; method < ES_METHODS; method++) {
        if (!(m->error[method] >= 0)) {
            return false;
        }
        sum += m->error[method];
    }
    return isfinite(sum);
}

static bool
load_line(struct es_table *t, const char *line)
{
    struct es_model parsed = {0};
    unsigned long long jobs;
    char route[ROUTE_MAX];
    struct es_model *m;

    if (sscanf(line,
            "1 %llu %lf %lf %lf %lf %lf %lf %lf %lf %lf %lf %199[^\n]", &jobs,
            &parsed.run_by_declared.intercept, &parsed.run_by_declared.slope,
            &parsed.run_by_remaining.intercept, &parsed.run_by_remaining.slope,
            &parsed.remaining_by_declared.intercept,
            &parsed.remaining_by_declared.slope, &parsed.remaining_spread_ms,
            &parsed.error[ES_DECLARED], &parsed.error[ES_FROM_DECLARED],
            &parsed.error[ES_FROM_DEADLINE], route) != 12) {
        return false;
    }
    if (!is_valid_model(&parsed)) {
        return false;
    }
    m = es_model_of(t, route);
    if (m == NULL || m->jobs >= jobs) {
        return true;
    }
    m->jobs = jobs;
    m->run_by_declared = parsed.run_by_declared;
    m->run_by_remaining = parsed.run_by_remaining;
    m->remaining_by_declared = parsed.remaining_by_declared;
    m->remaining_spread_ms = parsed.remaining_spread_ms;
    memcpy(m->error, parsed.error, sizeof(m->error));
    return true;
}

bool
es_load(struct es_table *t, struct str text)
{
    char *copy = str_dup(text);
    char *save = NULL;
    char *line;
    bool ok = true;

    for (line = strtok_r(copy, "\n", &save); line != NULL;
         line = strtok_r(NULL, "\n", &save)) {
        ok = load_line(t, line) && ok;
    }
    free(copy);
    return ok;
}
