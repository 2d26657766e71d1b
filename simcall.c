/* Callers: what they ask, how long they wait, what an answer is worth. */
#include <gsl/gsl_randist.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "num.h"
#include "sim-int.h"

/* An answer is late, but of use, for so many objectives. */
#define LATE_OBJECTIVES 3U
/* The worth of a late answer, and what of a request's worth does not grow
 * with its work. */
#define LATE_WORTH 0.2
#define FLAT_WORTH 0.3
#define WORK_WORTH_MAX 4.0
/* Leaving callers leave within this part of their time. */
#define LEAVE_PART 0.3

struct sim_job *
sim_job_of(struct sim *s, uint64_t id)
{
    struct sim_job *j;

    HASH_FIND(hh, s->jobs, &id, sizeof(id), j);
    return j;
}

/* --- what is asked --- */

static uint32_t
draw_width(struct sim *s, uint32_t kind)
{
    const struct sim_kind *k = &s->d->kind[kind];
    double sigma = 0.4;
    double n = gsl_ran_lognormal(s->rng, log(k->width), sigma);

    n *= s->width_x[kind];
    return (uint32_t)num_max(1, num_min((uint64_t)(n + 0.5), k->width_max));
}

static uint32_t
longest_us(const struct sim_job *j)
{
    uint32_t us = 0;

    for (uint32_t i = 0; i < j->count; i++) {
        us = (uint32_t)num_max(us, j->task_us[i]);
    }
    return us;
}

static uint64_t
patience_us(struct sim *s, const struct sim_kind *k, uint64_t objective_us)
{
    uint64_t timeout_us = 1000ULL * k->timeout_ms;
    double loose;

    switch (s->d->patience) {
    case SIM_PATIENCE_FIXED:
        return timeout_us +
               LATE_OBJECTIVES * 1000 * (uint64_t)(k->run_ms * 2 + k->slo_ms);
    case SIM_PATIENCE_LOOSE:
        loose = gsl_ran_lognormal(s->rng, 0, 0.6);
        return (uint64_t)(loose * (double)(timeout_us + 2 * objective_us));
    case SIM_PATIENCE_OF_WORK:
    case SIM_PATIENCE_COUNT:
        break;
    }
    return timeout_us + LATE_OBJECTIVES * objective_us;
}

/* A request's worth grows with its work against the mean of its kind. */
static double
worth_of(const struct sim_kind *k, const struct sim_job *j)
{
    double mean_us =
        1000 * k->run_ms * exp(k->run_sigma * k->run_sigma / 2) * k->width;
    double work_us = 0;

    for (uint32_t i = 0; i < j->count; i++) {
        work_us += j->task_us[i];
    }
    return k->worth * fmin(FLAT_WORTH + (1 - FLAT_WORTH) * work_us / mean_us,
                          WORK_WORTH_MAX);
}

static struct sim_job *
new_job(struct sim *s, uint32_t kind, uint32_t domain)
{
    const struct sim_kind *k = &s->d->kind[kind];
    struct sim_job *j = dw_zero(1, sizeof(*j));
    double run_us =
        1000 * gsl_ran_lognormal(s->rng, log(k->run_ms), k->run_sigma);
    double declared;

    j->id = ++s->next_job << 20;
    j->kind = kind;
    j->domain = domain;
    j->count = draw_width(s, kind);
    j->task_us = dw_zero(j->count, sizeof(*j->task_us));
    j->running = dw_zero(j->count, 1);
    for (uint32_t i = 0; i < j->count; i++) {
        j->task_us[i] =
            (uint32_t)(run_us * gsl_ran_lognormal(s->rng, 0, s->d->uneven)) +
            1000;
    }
    declared = run_us / 1000 * k->declared *
               gsl_ran_lognormal(s->rng, 0, k->declared_sigma);
    j->declared_ms = (uint32_t)fmax(declared, 1);
    j->first_us = s->now_us;
    j->objective_us = (uint64_t)longest_us(j) * k->stretch_milli / 1000 +
                      1000ULL * k->slo_ms;
    j->deadline_us = s->now_us + patience_us(s, k, j->objective_us);
    j->worth = worth_of(k, j);
    j->hopeless = sim_chance(s) < s->hopeless_share;
    HASH_ADD(hh, s->jobs, id, sizeof(j->id), j);
    return j;
}

/* --- tries --- */

struct
try {
    uint64_t job;
    uint32_t number;
};

static struct try *
new_try(const struct sim_job *j)
{
    struct try *t = dw_zero(1, sizeof(*t));

    *t = (struct try){j->id, j->try};
    return t;
}

struct sim_job *
sim_open_try(struct sim *s, uint64_t job, uint32_t try)
{
    struct sim_job *j = sim_job_of(s, job);

    return j != NULL && j->open && j->try == try ? j : NULL;
}

static void
end(struct sim *s, struct sim_job *j, enum sim_end how)
{
    j->open = false;
    j->end = how;
    j->end_us = s->now_us;
}

/* The balancer sends callers to entries of their own domain while half of them
 * are in rotation, to all of that domain while fewer are, and to others while
 * none is. */
static bool
serves(const struct sim *s, uint32_t i, uint32_t domain, bool own)
{
    const struct sim_entry *e = &s->entries[i];
    uint32_t all = 0;
    uint32_t in = 0;

    if (e->id == 0 || (own && sim_domain(s, i) != domain)) {
        return false;
    }
    if (!own || s->d->entry_cpu[i] <= 0) {
        return true;
    }
    for (uint32_t k = domain; k < s->d->entries; k += s->d->domains) {
        all++;
        in += sim_entry_in_rotation(&s->entries[k]);
    }
    return in > 0 && (2 * in < all || sim_entry_in_rotation(e));
}

/* By chance as the balancer's hash is uneven. */
static struct sim_entry *
draw_entry(struct sim *s, uint32_t domain)
{
    for (int own = 1; own >= 0; own--) {
        double sum = 0;
        double at;

        for (uint32_t i = 0; i < s->d->entries; i++) {
            if (serves(s, i, domain, own)) {
                sum += s->d->entry_share[i];
            }
        }
        at = sim_chance(s) * sum;
        for (uint32_t i = 0; sum > 0 && i < s->d->entries; i++) {
            if (serves(s, i, domain, own)) {
                at -= s->d->entry_share[i];
                if (at <= 0) {
                    return &s->entries[i];
                }
            }
        }
    }
    return NULL;
}

struct co_submit
sim_submission(const struct sim *s, const struct sim_job *j)
{
    static char routes[SIM_KINDS_MAX][16];
    const struct sim_kind *k = &s->d->kind[j->kind];
    struct co_task_spec *tasks = dw_zero(j->count, sizeof(*tasks));
    struct co_submit sub = {0};

    for (uint32_t i = 0; i < j->count; i++) {
        tasks[i] = (struct co_task_spec){k->millicores, 64, 0, j->declared_ms};
    }
    sub.id = j->id;
    sub.wall_ms = sim_ms(s);
    sub.spec = STR("spec");
    sub.service = SIM_SERVICE;
    sub.priority = k->priority;
    sub.attempts = k->attempts;
    snprintf(routes[j->kind], sizeof(routes[j->kind]), "kind-%u", j->kind);
    sub.route_name = routes[j->kind];
    sub.route = (struct gs_route){k->stretch_milli, k->slo_ms};
    sub.left_ms = (uint32_t)(num_sub_sat(j->deadline_us, s->now_us) / 1000);
    sub.tasks = tasks;
    sub.count = j->count;
    return sub;
}

static void send_again(struct sim *s, void *data);

static void
try_later(struct sim *s, struct sim_job *j, uint64_t in_us)
{
    j->open = false;
    if (s->now_us + in_us >= num_min(j->deadline_us, j->leave_us)) {
        end(s, j, SIM_LOST);
        return;
    }
    sim_at(s, in_us, send_again, new_try(j));
}

static void
reaches(struct sim *s, void *data)
{
    struct try *t = data;
    struct sim_job *j = sim_open_try(s, t->job, t->number);

    if (j != NULL) {
        struct sim_entry *e = sim_entry_of(s, j->entry_id);

        if (e != NULL) {
            j->come_us = s->now_us;
            sim_entry_request(e, j);
        }
        else {
            try_later(s, j, 1000ULL * s->d->resend_ms);
        }
    }
    free(t);
}

static void
caller_leaves(struct sim *s, void *data)
{
    struct try *t = data;
    struct sim_job *j = sim_job_of(s, t->job);

    if (j != NULL && j->end == SIM_OPEN && j->try == t->number) {
        struct sim_entry *e = sim_entry_of(s, j->entry_id);
        bool early = j->leave_us < j->deadline_us;

        if (j->open && e != NULL) {
            sim_entry_left(e, j);
        }
        end(s, j, early ? SIM_LEFT : SIM_LOST);
    }
    free(t);
}

static void
send_try(struct sim *s, struct sim_job *j)
{
    struct sim_entry *e = draw_entry(s, j->domain);

    j->try++;
    if (e == NULL) {
        try_later(s, j, 1000ULL * s->d->resend_ms);
        return;
    }
    j->open = true;
    j->entry_id = e->id;
    sim_at(s, s->d->client_us, reaches, new_try(j));
    sim_at(s, num_min(j->deadline_us, j->leave_us) - s->now_us, caller_leaves,
        new_try(j));
}

static void
send_again(struct sim *s, void *data)
{
    struct try *t = data;
    struct sim_job *j = sim_job_of(s, t->job);

    if (j != NULL && j->end == SIM_OPEN && j->try == t->number) {
        send_try(s, j);
    }
    free(t);
}

void
sim_cut(struct sim *s, uint64_t entry_id)
{
    struct sim_job *j;

    for (j = s->jobs; j != NULL; j = j->hh.next) {
        if (j->open && j->entry_id == entry_id) {
            try_later(s, j, 1000ULL * s->d->resend_ms);
        }
    }
}

static void
refused(struct sim *s, struct sim_job *j, uint32_t retry_ms)
{
    uint64_t held_us = s->now_us - j->come_us;

    if (j->started && j->try == 1) {
        sim_broken(s, "job %llu is said not to have run",
            (unsigned long long)(j->id >> 20));
    }
    if (held_us * 4 > j->objective_us) {
        s->out->held_in_vain++;
    }
    else {
        s->out->refused_at_once++;
    }
    if (sim_chance(s) < s->d->returns) {
        try_later(s, j, 1000ULL * retry_ms);
        if (j->end == SIM_LOST) {
            j->end = SIM_REFUSED;
        }
        return;
    }
    end(s, j, SIM_REFUSED);
}

void
sim_answered(struct sim *s, const struct sim_answer *a)
{
    struct sim_job *j = a->job;

    if (!j->open || j->try != a->try) {
        return;
    }
    switch (a->how) {
    case CO_COMPLETED:
        end(s, j, SIM_SERVED);
        break;
    case CO_FAILED:
        /* What can never be done is served by saying so. */
        end(s, j, j->hopeless ? SIM_SERVED : SIM_LOST);
        break;
    case CO_GAVE_UP:
        try_later(s, j, 1000ULL * s->d->resend_ms);
        break;
    case CO_NOT_RUN:
        refused(s, j, a->retry_ms);
        break;
    }
}

/* --- arrivals --- */

struct source {
    uint32_t kind;
};

static double
pause_us(struct sim *s, uint32_t kind)
{
    double per_s = s->d->per_s * s->d->kind[kind].share * s->rate_x[kind];

    return gsl_ran_exponential(s->rng, 1e6 / per_s);
}

static void
next_request(struct sim *s, void *data)
{
    struct source *from = data;
    uint64_t over_us = 1000000 + SIM_LEAD_US + 1000ULL * s->d->length_ms;
    struct sim_job *j;

    if (s->now_us >= over_us) {
        free(from);
        return;
    }
    j = new_job(
        s, from->kind, (uint32_t)gsl_rng_uniform_int(s->rng, s->d->domains));
    j->leave_us = j->deadline_us;
    if (sim_chance(s) < s->leave_share) {
        j->leave_us =
            s->now_us + (uint64_t)(LEAVE_PART * sim_chance(s) *
                                   (double)(j->deadline_us - s->now_us));
    }
    send_try(s, j);
    sim_at(s, (uint64_t)pause_us(s, from->kind), next_request, from);
}

void
sim_callers_start(struct sim *s)
{
    for (uint32_t k = 0; k < s->d->kinds; k++) {
        struct source *from = dw_zero(1, sizeof(*from));

        from->kind = k;
        sim_at(s, SIM_LEAD_US + (uint64_t)pause_us(s, k), next_request, from);
    }
}

/* --- accounts --- */

void
sim_note_estimate(struct sim *s, uint32_t estimated_ms, uint32_t true_ms)
{
    s->out->estimates++;
    s->error_sum +=
        fabs(log((double)num_max(estimated_ms, 1) / (double)true_ms));
}

static void
add(struct sim_sum *sum, const struct sim_job *j)
{
    uint64_t took_us = j->end_us - j->first_us;

    sum->asked++;
    if (j->end == SIM_LEFT) {
        return;
    }
    sum->owed += j->worth;
    if (j->end == SIM_REFUSED) {
        sum->refused++;
    }
    else if (j->end != SIM_SERVED ||
             took_us > LATE_OBJECTIVES * j->objective_us) {
        sum->lost++;
    }
    else if (took_us > j->objective_us) {
        sum->late++;
        sum->earned += LATE_WORTH * j->worth;
    }
    else {
        sum->in_time++;
        sum->earned += j->worth;
    }
}

static double
part(const struct sim_sum *s)
{
    return s->owed > 0 ? s->earned / s->owed : 1;
}

/* The mean of the two worst. */
static double
worst_windows(const struct sim_result *r)
{
    double worst = 1;
    double second = 1;

    for (size_t i = 0; i < r->windows; i++) {
        double p = part(&r->window[i]);

        if (p < worst) {
            second = worst;
            worst = p;
        }
        else if (p < second) {
            second = p;
        }
    }
    return (worst + second) / 2;
}

/* The share that is not served counts as this at least. */
#define NINES_BEST 0.001

/* The share that is served, counted in nines: 1 for NINES_BEST or less that
 * is not, 0 for all. */
static double
served_nines(const struct sim_sum *s)
{
    double not_served =
        (double)(s->refused + s->lost) / (double)num_max(s->asked, 1);

    return log(fmax(not_served, NINES_BEST)) / log(NINES_BEST);
}

void
sim_count(struct sim *s)
{
    struct sim_result *r = s->out;
    const struct sim_goal *goal = &s->d->goal;
    double worst_kind = 1;
    struct sim_job *j;

    r->windows = s->d->length_ms / SIM_WINDOW_MS;
    r->window = dw_zero(r->windows + 1, sizeof(*r->window));
    for (j = s->jobs; j != NULL; j = j->hh.next) {
        uint64_t at_ms = (j->first_us - 1000000 - SIM_LEAD_US) / 1000;

        add(&r->whole, j);
        add(&r->kind[j->kind], j);
        add(&r->window[num_min(at_ms / SIM_WINDOW_MS, r->windows)], j);
    }
    for (uint32_t k = 0; k < s->d->kinds; k++) {
        worst_kind = fmin(worst_kind, part(&r->kind[k]));
    }
    r->worth = goal->whole * part(&r->whole) +
               goal->windows * worst_windows(r) + goal->kind * worst_kind +
               goal->served_nines * served_nines(&r->whole);
    if (r->estimates > 0) {
        r->run_error = s->error_sum / (double)r->estimates;
    }
}

void
sim_callers_free(struct sim *s)
{
    struct sim_job *j;
    struct sim_job *tmp;

    HASH_ITER (hh, s->jobs, j, tmp) {
        HASH_DEL(s->jobs, j);
        free(j->task_us);
        free(j->running);
        free(j);
    }
}
