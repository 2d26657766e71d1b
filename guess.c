#include "guess.h"

#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "num.h"

/* Routes that models are kept of; of any beyond, declared times count. */
#define MODELS_MAX 512U
/* Jobs that must have been seen before a line is drawn, and between redrawing
 * it. */
#define LEAST_JOBS 12U
#define REDRAW_JOBS 8U
/* Errors are means over about so many of the newest jobs. */
#define ERROR_JOBS 32.0
/* An error counts as this at most, so that few odd jobs do not decide. */
#define ERROR_MAX 1.0
/* A mean distance times this is a standard deviation, where chance is
 * normal; a median distance times the other. */
#define MEAN_TO_SIGMA 1.25
#define MEDIAN_TO_SIGMA 1.48
/* Standard deviations beyond which a job is not one of those that a line was
 * drawn through. */
#define ODD_SIGMAS 3.0
/* The same for the time left, where the deadline is odd already. */
#define SHORT_SIGMAS 1.0
/* ms by which the time left differs on the way here, whatever the caller
 * meant. */
#define WAY_MS 30.0

void
gs_free(struct gs_table *t)
{
    struct gs_model *m;
    struct gs_model *tmp;

    HASH_ITER (hh, t->models, m, tmp) {
        HASH_DEL(t->models, m);
        free(m->route);
        free(m);
    }
}

struct gs_model *
gs_model_of(struct gs_table *t, const char *route)
{
    struct gs_model *m;

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
    double kept = *a;

    *a = *b;
    *b = kept;
}

/* Hoare's selection: the k-th smallest of v, which it reorders.  A median is
 * wanted of some thousand slopes each few jobs; sorting them all costs the
 * entry more than the rest of a job's decisions. */
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
value_at(const struct gs_line *l, double x)
{
    return l->at_zero + l->slope * x;
}

/* The median of the slopes between all pairs, at the median height. */
static struct gs_line
draw_line(const struct point *p, size_t n)
{
    double v[GS_SAMPLES * (GS_SAMPLES - 1) / 2] = {0};
    struct gs_line l = {0, 0};
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
    l.at_zero = median(v, n);
    return l;
}

static double
spread_around(const struct gs_line *l, const struct point *p, size_t n)
{
    double v[GS_SAMPLES] = {0};

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
redraw(struct gs_model *m)
{
    size_t n = num_min(m->fresh, GS_SAMPLES);
    struct point p[GS_SAMPLES] = {{0, 0}};

    for (size_t i = 0; i < n; i++) {
        const struct gs_sample *s = &m->samples[i];

        p[i] = (struct point){ln_ms(s->seen.declared_ms), ln_ms(s->run_ms)};
    }
    m->run = draw_line(p, n);
    for (size_t i = 0; i < n; i++) {
        const struct gs_sample *s = &m->samples[i];

        p[i] = (struct point){s->seen.left_ms, s->run_ms};
    }
    m->wait = draw_line(p, n);
    for (size_t i = 0; i < n; i++) {
        const struct gs_sample *s = &m->samples[i];

        p[i] = (struct point){s->seen.declared_ms, s->seen.left_ms};
    }
    m->left = draw_line(p, n);
    m->left_spread_ms = spread_around(&m->left, p, n);
}

/* --- telling run times --- */

/* By each way, in ms; at least 1. */
static double
told(const struct gs_model *m, enum gs_way way, const struct gs_seen *seen)
{
    switch (way) {
    case GS_BY_DECLARED:
        return fmax(exp(value_at(&m->run, ln_ms(seen->declared_ms))), 1);
    case GS_BY_PATIENCE:
        return fmax(value_at(&m->wait, seen->left_ms), 1);
    case GS_DECLARED:
    case GS_WAYS:
        break;
    }
    return (double)num_max(seen->declared_ms, 1);
}

enum gs_way
gs_best(const struct gs_model *m)
{
    enum gs_way best = GS_DECLARED;

    /* Lines are checked on jobs that came after they were drawn. */
    if (m == NULL || m->jobs < 2 * LEAST_JOBS) {
        return GS_DECLARED;
    }
    for (int way = GS_BY_DECLARED; way < GS_WAYS; way++) {
        if (m->error[way] < m->error[best]) {
            best = (enum gs_way)way;
        }
    }
    return best;
}

/* What the declared time tells, by the better of the two ways. */
static enum gs_way
best_by_declared(const struct gs_model *m)
{
    return m->error[GS_BY_DECLARED] < m->error[GS_DECLARED] ? GS_BY_DECLARED
                                                            : GS_DECLARED;
}

/*
 * A caller that waits in its own way, or has sent before, has a deadline that
 * tells nothing: the run time by it and that by the declared time then lie
 * further apart than declared times are off.
 */
static bool
is_odd(const struct gs_model *m, const struct gs_seen *seen)
{
    enum gs_way other = best_by_declared(m);
    double far = log(told(m, GS_BY_PATIENCE, seen) / told(m, other, seen));

    return fabs(far) > ODD_SIGMAS * MEAN_TO_SIGMA * m->error[other];
}

static double
run_of(const struct gs_model *m, const struct gs_seen *seen)
{
    enum gs_way way = gs_best(m);

    if (way == GS_BY_PATIENCE && is_odd(m, seen)) {
        way = best_by_declared(m);
    }
    return told(m, way, seen);
}

/*
 * ms since its caller sent the request first.  Where callers set deadlines by
 * what they ask for, a short one may only tell of a short job that was
 * declared too long; so it has to be odd for its declared time as well.
 */
static double
elapsed(const struct gs_model *m, const struct gs_seen *seen)
{
    double sigmas = ODD_SIGMAS;
    double missing;

    if (m == NULL || m->jobs < LEAST_JOBS) {
        return 0;
    }
    if (gs_best(m) == GS_BY_PATIENCE) {
        if (!is_odd(m, seen)) {
            return 0;
        }
        sigmas = SHORT_SIGMAS;
    }
    missing = value_at(&m->left, seen->declared_ms) - seen->left_ms;
    return missing > sigmas * MEDIAN_TO_SIGMA * m->left_spread_ms + WAY_MS
               ? missing
               : 0;
}

static uint32_t
to_ms(double ms)
{
    return (uint32_t)fmin(fmax(ms, 0), (double)UINT32_MAX);
}

struct gs_guess
gs_times(const struct gs_model *m, const struct gs_route *r,
    const struct gs_seen *seen)
{
    enum gs_way way = gs_best(m);
    double gone = elapsed(m, seen);
    struct gs_guess g;
    double objective;
    double use;

    g.run_ms = to_ms(run_of(m, seen));
    objective = (double)g.run_ms * r->stretch_milli / 1000 + r->slo_ms;
    g.objective_ms = to_ms(objective - gone);
    /* Where run times are hardly known, the caller knows best until when an
     * answer is of use. */
    use = way == GS_DECLARED ? seen->left_ms
                             : GS_USE_OBJECTIVES * objective *
                                       exp(MEAN_TO_SIGMA * m->error[way]) -
                                   gone;
    g.use_ms = (uint32_t)num_min(to_ms(use), seen->left_ms);
    return g;
}

/* --- learning --- */

/* Before a job's time is learned from, each way is held against it. */
static void
note_errors(struct gs_model *m, const struct gs_seen *seen, uint32_t run_ms)
{
    double weight = fmax(1 / ERROR_JOBS, 1 / (double)(m->jobs + 1));

    for (int way = 0; way < GS_WAYS; way++) {
        double off = fabs(
            log(told(m, (enum gs_way)way, seen) / (double)num_max(run_ms, 1)));

        if (way == GS_DECLARED || m->jobs >= LEAST_JOBS) {
            m->error[way] += weight * (fmin(off, ERROR_MAX) - m->error[way]);
        }
    }
}

void
gs_learn(struct gs_table *t, struct gs_model *m, const struct gs_seen *seen,
    uint32_t run_ms)
{
    struct gs_sample *s = &m->samples[m->fresh % GS_SAMPLES];

    note_errors(m, seen, run_ms);
    s->seen = *seen;
    s->run_ms = run_ms;
    m->fresh++;
    m->jobs++;
    t->learned++;
    if (m->jobs == LEAST_JOBS) {
        m->error[GS_BY_DECLARED] = m->error[GS_DECLARED];
        m->error[GS_BY_PATIENCE] = m->error[GS_DECLARED];
    }
    if (m->fresh >= LEAST_JOBS &&
        m->fresh % REDRAW_JOBS == LEAST_JOBS % REDRAW_JOBS) {
        redraw(m);
    }
}

/* --- keeping --- */

/* ms until what was learned is kept first, and between keeping it at most. */
#define KEEP_FIRST_MS 4000U
#define KEEP_PAUSE_MAX_MS (GS_KEEP_MS / 2)

bool
gs_keep_due(struct gs_table *t, uint64_t now)
{
    if (t->kept_ms == 0) {
        t->kept_ms = now;
        t->pause_ms = KEEP_FIRST_MS;
    }
    if (now - t->kept_ms < t->pause_ms || t->learned == t->kept) {
        return false;
    }
    t->kept_ms = now;
    t->kept = t->learned;
    t->pause_ms = num_min(2 * t->pause_ms, KEEP_PAUSE_MAX_MS);
    return true;
}

#define LINE_FORMAT "%.6g %.6g "
#define ROUTE_MAX 200

void
gs_save(const struct gs_table *t, struct buf *out)
{
    const struct gs_model *m;

    for (m = t->models; m != NULL; m = m->hh.next) {
        if (m->jobs < LEAST_JOBS || strlen(m->route) >= ROUTE_MAX) {
            continue;
        }
        buf_addf(out, "1 %llu " LINE_FORMAT LINE_FORMAT LINE_FORMAT "%.6g",
            (unsigned long long)m->jobs, m->run.at_zero, m->run.slope,
            m->wait.at_zero, m->wait.slope, m->left.at_zero, m->left.slope,
            m->left_spread_ms);
        for (int way = 0; way < GS_WAYS; way++) {
            buf_addf(out, " %.4f", m->error[way]);
        }
        buf_addf(out, " %s\n", m->route);
    }
}

/* What is read may have been written by anybody. */
static bool
is_usable(const struct gs_model *m)
{
    double sum = m->run.at_zero + m->run.slope + m->wait.at_zero +
                 m->wait.slope + m->left.at_zero + m->left.slope +
                 m->left_spread_ms;

    for (int way = 0; way < GS_WAYS; way++) {
        if (!(m->error[way] >= 0)) {
            return false;
        }
        sum += m->error[way];
    }
    return isfinite(sum);
}

static bool
load_line(struct gs_table *t, const char *line)
{
    struct gs_model n = {0};
    unsigned long long jobs;
    char route[ROUTE_MAX];
    struct gs_model *m;

    if (sscanf(line,
            "1 %llu %lf %lf %lf %lf %lf %lf %lf %lf %lf %lf %199[^\n]", &jobs,
            &n.run.at_zero, &n.run.slope, &n.wait.at_zero, &n.wait.slope,
            &n.left.at_zero, &n.left.slope, &n.left_spread_ms,
            &n.error[GS_DECLARED], &n.error[GS_BY_DECLARED],
            &n.error[GS_BY_PATIENCE], route) != 12) {
        return false;
    }
    if (!is_usable(&n)) {
        return false;
    }
    m = gs_model_of(t, route);
    if (m == NULL || m->jobs >= jobs) {
        return true;
    }
    m->jobs = jobs;
    m->run = n.run;
    m->wait = n.wait;
    m->left = n.left;
    m->left_spread_ms = n.left_spread_ms;
    memcpy(m->error, n.error, sizeof(m->error));
    return true;
}

bool
gs_load(struct gs_table *t, struct str text)
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
