/* Callers: their requests, deadlines and retries, and the value of answers. */
#include <gsl/gsl_randist.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "num.h"
#include "sim-int.h"

/* A late answer is of use for this many times the objective. */
#define LATE_OBJECTIVES 3U
/* Value of a late answer, relative to one in time. */
#define LATE_VALUE 0.2
/* Part of a request's value that does not grow with its work. */
#define FLAT_VALUE 0.3
/* Most value of a request, relative to the mean of its kind. */
#define VALUE_FACTOR_MAX 4.0
/* Callers that leave early do so within this part of their deadline. */
#define LEAVE_SHARE_MAX 0.3

struct sim_job *
sim_job_by_id(struct sim *s, uint64_t id)
{
    struct sim_job *j;

    HASH_FIND(hh, s->jobs, &id, sizeof(id), j);
    return j;
}

/* --- requests --- */

/* Without tails, nothing is drawn: the day is the same as before. */
static double
draw_tail_factor(struct sim *s)
{
    return s->d->tail_share > 0 &&
                   gsl_rng_uniform(s->request_rng) < s->d->tail_share
               ? s->d->tail_factor
               : 1;
}

static uint32_t
draw_task_count(struct sim *s, uint32_t kind)
{
    const struct sim_kind *k = &s->d->kind[kind];
    double sigma = 0.4;
    double tasks =
        gsl_ran_lognormal(s->request_rng, log(k->tasks_mean), sigma);

    tasks *= s->width_factor[kind];
    return (uint32_t)num_max(
        1, num_min((uint64_t)(tasks + 0.5), k->tasks_max));
}

static uint32_t
longest_us(const struct sim_job *j)
{
    uint32_t us = 0;

    for (uint32_t i = 0; i < j->task_count; i++) {
        us = (uint32_t)num_max(us, j->task_us[i]);
    }
    return us;
}

static uint64_t
draw_patience_us(
    struct sim *s, const struct sim_kind *k, uint64_t objective_us)
{
    uint64_t timeout_us = 1000ULL * k->timeout_ms;
    double factor;

    switch (s->d->patience) {
    case SIM_PATIENCE_FIXED:
        return timeout_us + LATE_OBJECTIVES * 1000 *
                                (uint64_t)(k->run_median_ms * 2 + k->slo_ms);
    case SIM_PATIENCE_LOOSE:
        factor = gsl_ran_lognormal(s->request_rng, 0, 0.6);
        return (uint64_t)(factor * (double)(timeout_us + 2 * objective_us));
    case SIM_PATIENCE_OF_WORK:
    case SIM_PATIENCE_COUNT:
        break;
    }
    return timeout_us + LATE_OBJECTIVES * objective_us;
}

/* A request's value grows with its work, relative to the mean of its kind. */
static double
value_of(const struct sim_kind *k, const struct sim_job *j)
{
    double mean_us = 1000 * k->run_median_ms *
                     exp(k->run_log_sigma * k->run_log_sigma / 2) *
                     k->tasks_mean;
    double work_us = 0;

    for (uint32_t i = 0; i < j->task_count; i++) {
        work_us += j->task_us[i];
    }
    return k->value * fmin(FLAT_VALUE + (1 - FLAT_VALUE) * work_us / mean_us,
                          VALUE_FACTOR_MAX);
}

static struct sim_job *
new_job(struct sim *s, uint32_t kind, uint32_t domain)
{
    const struct sim_kind *k = &s->d->kind[kind];
    struct sim_job *j = dw_zero(1, sizeof(*j));
    double run_us = 1000 * gsl_ran_lognormal(s->request_rng,
                               log(k->run_median_ms), k->run_log_sigma);
    double declared;

    j->id = ++s->next_job << 20;
    j->kind = kind;
    j->domain = domain;
    j->task_count = draw_task_count(s, kind);
    j->task_us = dw_zero(j->task_count, sizeof(*j->task_us));
    j->running = dw_zero(j->task_count, 1);
    for (uint32_t i = 0; i < j->task_count; i++) {
        j->task_us[i] = (uint32_t)(run_us * gsl_ran_lognormal(s->request_rng,
                                                0, s->d->task_log_sigma)) +
                        1000;
        j->task_us[i] = (uint32_t)(j->task_us[i] * draw_tail_factor(s));
    }
    declared = run_us / 1000 * k->declared_ratio *
               gsl_ran_lognormal(s->request_rng, 0, k->declared_log_sigma);
    j->declared_ms = (uint32_t)fmax(declared, 1);
    j->sent_us = s->now_us;
    j->objective_us = (uint64_t)longest_us(j) * k->stretch_milli / 1000 +
                      1000ULL * k->slo_ms;
    j->deadline_us = s->now_us + draw_patience_us(s, k, j->objective_us);
    j->value = value_of(k, j);
    j->always_fails = gsl_rng_uniform(s->request_rng) < s->failing_job_share;
    HASH_ADD(hh, s->jobs, id, sizeof(j->id), j);
    return j;
}

/* --- attempts --- */

/* Names one attempt of a caller, for an event. */
struct attempt_ref {
    uint64_t job;
    uint32_t number;
};

static struct attempt_ref *
new_attempt_ref(const struct sim_job *j)
{
    struct attempt_ref *ref = dw_zero(1, sizeof(*ref));

    *ref = (struct attempt_ref){j->id, j->attempt};
    return ref;
}

struct sim_job *
sim_job_awaiting(struct sim *s, uint64_t job, uint32_t attempt)
{
    struct sim_job *j = sim_job_by_id(s, job);

    return j != NULL && j->awaiting_answer && j->attempt == attempt ? j : NULL;
}

static void
close_job(struct sim *s, struct sim_job *j, enum sim_job_outcome outcome)
{
    j->awaiting_answer = false;
    j->outcome = outcome;
    j->ended_us = s->now_us;
}

/* Where the balancer sends the callers of a domain: to the entries of that
 * domain that are in rotation; to all entries of that domain while fewer than
 * half of them are in rotation; to other domains while none is. */
static bool
accepts_callers(
    const struct sim *s, uint32_t i, uint32_t domain, bool own_domain)
{
    const struct sim_entry *e = &s->entries[i];
    uint32_t in_domain = 0;
    uint32_t in_rotation = 0;

    if (e->id == 0 || (own_domain && sim_domain_of(s, i) != domain)) {
        return false;
    }
    if (!own_domain || s->d->entry_cores[i] <= 0) {
        return true;
    }
    for (uint32_t k = domain; k < s->d->entry_count; k += s->d->domain_count) {
        in_domain++;
        in_rotation += sim_entry_in_rotation(&s->entries[k]);
    }
    return in_rotation > 0 &&
           (2 * in_rotation < in_domain || sim_entry_in_rotation(e));
}

/* Weighted, because the balancer's hash is uneven. */
static struct sim_entry *
draw_entry(struct sim *s, uint32_t domain)
{
    for (int own_domain = 1; own_domain >= 0; own_domain--) {
        double weight_sum = 0;
        double point;

        for (uint32_t i = 0; i < s->d->entry_count; i++) {
            if (accepts_callers(s, i, domain, own_domain)) {
                weight_sum += s->d->entry_weight[i];
            }
        }
        point = sim_random(s) * weight_sum;
        for (uint32_t i = 0; weight_sum > 0 && i < s->d->entry_count; i++) {
            if (accepts_callers(s, i, domain, own_domain)) {
                point -= s->d->entry_weight[i];
                if (point <= 0) {
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
    struct co_task_spec *tasks = dw_zero(j->task_count, sizeof(*tasks));
    struct co_submit sub = {0};

    for (uint32_t i = 0; i < j->task_count; i++) {
        tasks[i] = (struct co_task_spec){k->millicores, 64, 0, j->declared_ms};
    }
    sub.id = j->id;
    sub.wall_ms = sim_now_ms(s);
    sub.spec = STR("spec");
    sub.service = SIM_SERVICE;
    sub.priority = k->priority;
    sub.max_attempts = k->attempts;
    snprintf(routes[j->kind], sizeof(routes[j->kind]), "kind-%u", j->kind);
    sub.route_name = routes[j->kind];
    sub.route = (struct es_objective){k->stretch_milli, k->slo_ms};
    sub.timeout_ms = (uint32_t)(num_sub_sat(j->deadline_us, s->now_us) / 1000);
    sub.tasks = tasks;
    sub.task_count = j->task_count;
    return sub;
}

static void resend_request(struct sim *s, void *data);

static void
retry_later(struct sim *s, struct sim_job *j, uint64_t in_us)
{
    j->awaiting_answer = false;
    if (s->now_us + in_us >= num_min(j->deadline_us, j->leave_us)) {
        close_job(s, j, SIM_LOST);
        return;
    }
    sim_schedule(s, in_us, resend_request, new_attempt_ref(j));
}

static void
request_arrives(struct sim *s, void *data)
{
    struct attempt_ref *ref = data;
    struct sim_job *j = sim_job_awaiting(s, ref->job, ref->number);

    if (j != NULL) {
        struct sim_entry *e = sim_entry_by_id(s, j->entry_id);

        if (e != NULL) {
            j->arrived_us = s->now_us;
            sim_entry_request(e, j);
        }
        else {
            retry_later(s, j, 1000ULL * s->d->resend_ms);
        }
    }
    free(ref);
}

static void
caller_leaves(struct sim *s, void *data)
{
    struct attempt_ref *ref = data;
    struct sim_job *j = sim_job_by_id(s, ref->job);

    if (j != NULL && j->outcome == SIM_PENDING && j->attempt == ref->number) {
        struct sim_entry *e = sim_entry_by_id(s, j->entry_id);
        bool early = j->leave_us < j->deadline_us;

        if (j->awaiting_answer && e != NULL) {
            sim_entry_cancel(e, j);
        }
        close_job(s, j, early ? SIM_LEFT : SIM_LOST);
    }
    free(ref);
}

static void
send_request(struct sim *s, struct sim_job *j)
{
    struct sim_entry *e = draw_entry(s, j->domain);

    j->attempt++;
    if (e == NULL) {
        retry_later(s, j, 1000ULL * s->d->resend_ms);
        return;
    }
    j->awaiting_answer = true;
    j->entry_id = e->id;
    sim_schedule(
        s, s->d->caller_latency_us, request_arrives, new_attempt_ref(j));
    sim_schedule(s, num_min(j->deadline_us, j->leave_us) - s->now_us,
        caller_leaves, new_attempt_ref(j));
}

static void
resend_request(struct sim *s, void *data)
{
    struct attempt_ref *ref = data;
    struct sim_job *j = sim_job_by_id(s, ref->job);

    if (j != NULL && j->outcome == SIM_PENDING && j->attempt == ref->number) {
        send_request(s, j);
    }
    free(ref);
}

void
sim_disconnect_callers(struct sim *s, uint64_t entry_id)
{
    struct sim_job *j;

    for (j = s->jobs; j != NULL; j = j->hh.next) {
        if (j->awaiting_answer && j->entry_id == entry_id) {
            retry_later(s, j, 1000ULL * s->d->resend_ms);
        }
    }
}

static void
refused(struct sim *s, struct sim_job *j, uint32_t retry_ms)
{
    uint64_t held_us = s->now_us - j->arrived_us;

    if (j->started && j->attempt == 1) {
        sim_violation(s, "job %llu is reported as not run, but was started",
            (unsigned long long)(j->id >> 20));
    }
    if (held_us * 4 > j->objective_us) {
        s->result->refused_late++;
    }
    else {
        s->result->refused_early++;
    }
    if (sim_random(s) < s->d->retry_share) {
        retry_later(s, j, 1000ULL * retry_ms);
        if (j->outcome == SIM_LOST) {
            j->outcome = SIM_REFUSED;
        }
        return;
    }
    close_job(s, j, SIM_REFUSED);
}

void
sim_answered(struct sim *s, const struct sim_answer *a)
{
    struct sim_job *j = a->job;

    if (!j->awaiting_answer || j->attempt != a->attempt) {
        return;
    }
    switch (a->outcome) {
    case CO_COMPLETED:
        close_job(s, j, SIM_SERVED);
        break;
    case CO_FAILED:
        /* For a job that always fails, failure is the right answer. */
        close_job(s, j, j->always_fails ? SIM_SERVED : SIM_LOST);
        break;
    case CO_GAVE_UP:
        retry_later(s, j, 1000ULL * s->d->resend_ms);
        break;
    case CO_NOT_RUN:
        refused(s, j, a->retry_ms);
        break;
    }
}

/* --- arrivals --- */

/* Data of the event that creates the next request of a kind. */
struct arrivals {
    uint32_t kind;
};

static double
draw_interarrival_us(struct sim *s, uint32_t kind)
{
    double requests_per_s =
        s->d->requests_per_s * s->d->kind[kind].share * s->rate_factor[kind];

    return gsl_ran_exponential(s->request_rng, 1e6 / requests_per_s);
}

static void
next_request(struct sim *s, void *data)
{
    struct arrivals *arrivals = data;
    uint64_t last_us = 1000000 + SIM_WARMUP_US + 1000ULL * s->d->length_ms;
    struct sim_job *j;

    if (s->now_us >= last_us) {
        free(arrivals);
        return;
    }
    j = new_job(s, arrivals->kind,
        (uint32_t)gsl_rng_uniform_int(s->request_rng, s->d->domain_count));
    j->leave_us = j->deadline_us;
    if (gsl_rng_uniform(s->request_rng) < s->leave_share) {
        j->leave_us =
            s->now_us +
            (uint64_t)(LEAVE_SHARE_MAX * gsl_rng_uniform(s->request_rng) *
                       (double)(j->deadline_us - s->now_us));
    }
    send_request(s, j);
    sim_schedule(s, (uint64_t)draw_interarrival_us(s, arrivals->kind),
        next_request, arrivals);
}

void
sim_callers_start(struct sim *s)
{
    for (uint32_t k = 0; k < s->d->kind_count; k++) {
        struct arrivals *arrivals = dw_zero(1, sizeof(*arrivals));

        arrivals->kind = k;
        sim_schedule(s, SIM_WARMUP_US + (uint64_t)draw_interarrival_us(s, k),
            next_request, arrivals);
    }
}

/* --- results --- */

void
sim_record_estimate(struct sim *s, uint32_t estimated_ms, uint32_t true_ms)
{
    s->result->estimates++;
    s->estimate_error_sum +=
        fabs(log((double)num_max(estimated_ms, 1) / (double)true_ms));
}

static void
add_job(struct sim_totals *totals, const struct sim_job *j)
{
    uint64_t answer_us = j->ended_us - j->sent_us;

    totals->requests++;
    if (j->outcome == SIM_LEFT) {
        return;
    }
    totals->value_offered += j->value;
    if (j->outcome == SIM_REFUSED) {
        totals->refused++;
    }
    else if (j->outcome != SIM_SERVED ||
             answer_us > LATE_OBJECTIVES * j->objective_us) {
        totals->lost++;
    }
    else if (answer_us > j->objective_us) {
        totals->late++;
        totals->value_earned += LATE_VALUE * j->value;
    }
    else {
        totals->in_time++;
        totals->value_earned += j->value;
    }
}

static double
earned_share(const struct sim_totals *totals)
{
    return totals->value_offered > 0
               ? totals->value_earned / totals->value_offered
               : 1;
}

/* Mean share of the two worst windows. */
static double
worst_windows(const struct sim_result *r)
{
    double worst = 1;
    double second = 1;

    for (size_t i = 0; i < r->window_count; i++) {
        double share = earned_share(&r->window[i]);

        if (share < worst) {
            second = worst;
            worst = share;
        }
        else if (share < second) {
            second = share;
        }
    }
    return (worst + second) / 2;
}

/* Shares of unserved requests below this count as this. */
#define UNSERVED_MIN 0.001

/* The share of served requests in nines, scaled: 1 if UNSERVED_MIN or less are
 * not served, 0 if none is served. */
static double
served_nines(const struct sim_totals *totals)
{
    double not_served = (double)(totals->refused + totals->lost) /
                        (double)num_max(totals->requests, 1);

    return log(fmax(not_served, UNSERVED_MIN)) / log(UNSERVED_MIN);
}

/* Requests count at the entry of their last attempt. */
static double
worst_entry(const struct sim *s)
{
    struct sim_totals of[SIM_ENTRIES_MAX] = {{0}};
    struct sim_totals all = {0};
    double worst = 0;
    const struct sim_job *j;

    for (j = s->jobs; j != NULL; j = j->hh.next) {
        if (j->entry_id != 0) {
            add_job(&of[j->entry_id & (SIM_ENTRY_BIT - 1)], j);
            add_job(&all, j);
        }
    }
    for (uint32_t i = 0; i < s->d->entry_count; i++) {
        worst = fmax(
            worst, (double)of[i].refused / (double)num_max(of[i].requests, 1));
    }
    return all.refused > 0 ? worst * (double)all.requests / (double)all.refused
                           : 0;
}

void
sim_compute_result(struct sim *s)
{
    struct sim_result *r = s->result;
    const struct sim_weights *weights = &s->d->weights;
    double worst_kind = 1;
    struct sim_job *j;

    r->window_count = s->d->length_ms / SIM_WINDOW_MS;
    r->window = dw_zero(r->window_count + 1, sizeof(*r->window));
    for (j = s->jobs; j != NULL; j = j->hh.next) {
        uint64_t at_ms = (j->sent_us - 1000000 - SIM_WARMUP_US) / 1000;

        add_job(&r->total, j);
        add_job(&r->kind[j->kind], j);
        add_job(
            &r->window[num_min(at_ms / SIM_WINDOW_MS, r->window_count)], j);
    }
    r->worst_entry = worst_entry(s);
    for (uint32_t k = 0; k < s->d->kind_count; k++) {
        worst_kind = fmin(worst_kind, earned_share(&r->kind[k]));
    }
    r->score = weights->day * earned_share(&r->total) +
               weights->windows * worst_windows(r) +
               weights->kind * worst_kind +
               weights->served_nines * served_nines(&r->total);
    if (r->estimates > 0) {
        r->estimate_error = s->estimate_error_sum / (double)r->estimates;
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
