/* Applies admission on arrival (admit.h) to the jobs of an entry. */
#include <math.h>
#include <string.h>

#include "coord-int.h"
#include "num.h"
#include "qpolicy.h"

static bool
is_on(const struct coord *c)
{
    return c->settings.admission == SC_ADMIT_ARRIVAL;
}

/* The unplaced work of all entries; unknown unless demand is "fleet". */
static struct dm_estimate
get_estimate(const struct coord *c, uint64_t now, const char *service)
{
    return dm_estimate(&c->demand, now, service);
}

static const char *
route_of(const struct co_job *j)
{
    return j->model != NULL ? j->model->route : "";
}

/* --- the queue as the job finds it --- */

struct unplaced {
    double work; /* millicores x ms */
    double millicores;
};

static void
add_unplaced(struct unplaced *u, const struct co_job *j)
{
    for (uint32_t i = 0; i < j->task_count; i++) {
        const struct co_task *t = &j->tasks[i];

        if (t->state == CO_WAITING) {
            u->work += (double)co_task_work(t);
            u->millicores += t->spec.millicores;
        }
    }
}

static bool
goes_first(const struct co_job *k, const struct co_job *j, uint64_t now)
{
    enum qp_class k_class = qp_class_of(k, now);
    enum qp_class j_class = qp_class_of(j, now);

    return k_class != j_class ? k_class < j_class
                              : k->objective_ms <= j->objective_ms;
}

static struct am_job
times_of(const struct co_job *j, uint64_t now)
{
    double fastest_end = (double)now + (double)co_fastest_ms(j);
    struct unplaced own = {0, 0};
    struct am_job times = {
        (double)j->objective_ms - (double)(now + j->longest_task_ms),
        (double)num_min(j->useful_until_ms, j->deadline_ms) - fastest_end,
        (double)j->objective_ms - (double)now, 0, 0};

    add_unplaced(&own, j);
    times.work = own.work;
    times.millicores = own.millicores;
    return times;
}

/* False if the job need not wait. */
static bool
fill_queue(const struct coord *c, uint64_t now, const struct co_job *j,
    struct am_queue *q)
{
    struct unplaced ahead = {0, 0};
    struct unplaced on_time = {0, 0};
    double left_ms = num_sub_sat(j->objective_ms, now);
    double span_ms = fmax(times_of(j, now).on_time_ms, 1);
    double free_millicores;
    const struct co_job *k;

    q->cores = qp_expected_cores(c, now, j->load, &free_millicores);
    for (k = c->queue; k != NULL; k = k->next) {
        if (k->load != j->load) {
            continue;
        }
        if (k == j || goes_first(k, j, now)) {
            add_unplaced(&ahead, k);
        }
        if (qp_class_of(k, now) <= QP_ON_TIME) {
            add_unplaced(&on_time, k);
        }
    }
    if (ahead.millicores <= free_millicores) {
        return false;
    }
    q->ahead = ahead.work * (1 - free_millicores / ahead.millicores);
    q->on_time = on_time.work;
    q->urgent_rate =
        in_work_before(&j->load->inflow, now, left_ms, span_ms) / span_ms;
    q->total_rate = in_work_before(&j->load->inflow, now, UINT32_MAX, 1);
    return true;
}

/* --- free cores --- */

/* The requirements of the job's largest task in each dimension. */
static struct co_task_spec
largest_task(const struct co_job *j)
{
    struct co_task_spec max = j->tasks[0].spec;

    for (uint32_t i = 1; i < j->task_count; i++) {
        const struct co_task_spec *s = &j->tasks[i].spec;

        max.millicores = (uint32_t)num_max(max.millicores, s->millicores);
        max.memory_mb = (uint32_t)num_max(max.memory_mb, s->memory_mb);
        max.gpus = (uint32_t)num_max(max.gpus, s->gpus);
    }
    return max;
}

static uint64_t
quotient(int64_t free, uint32_t needed)
{
    return needed == 0 ? UINT32_MAX : (uint64_t)(free > 0 ? free : 0) / needed;
}

/* Tasks that the agent could start now and end while the answer is of use,
 * also if its worker is slow. */
static uint64_t
tasks_fitting(const struct coord *c, uint64_t now, const struct fl_agent *a,
    const struct co_job *j, const struct co_task_spec *spec)
{
    uint64_t run_ms = j->longest_task_ms;
    uint64_t start_ms = now;

    if (!fl_is_usable(a, now) || strcmp(a->service, j->load->service) != 0) {
        return 0;
    }
    if (fl_is_slow(&c->fleet, a)) {
        run_ms = run_ms * c->fleet.median_speed_permille /
                 num_max(a->status.pace_permille, 1);
        /* fl_pick() first lets it wait for a worker of usual speed. */
        start_ms = num_max(now, j->arrived_ms + run_ms - j->longest_task_ms);
    }
    if (start_ms + run_ms >= num_min(j->useful_until_ms, j->deadline_ms)) {
        return 0;
    }
    return num_min(quotient(a->free_millicores, spec->millicores),
        num_min(quotient(a->free_memory_mb, spec->memory_mb),
            quotient(a->free_gpus, spec->gpus)));
}

static uint64_t
ceil_quotient(uint32_t needed, uint32_t unit)
{
    return unit == 0 ? 0 : ((uint64_t)needed + unit - 1) / unit;
}

/* The waiting tasks of jobs that go first, in tasks of this size. */
static uint64_t
tasks_ahead(const struct coord *c, uint64_t now, const struct co_job *j,
    const struct co_task_spec *spec)
{
    uint64_t ahead = 0;
    const struct co_job *k;

    for (k = c->queue; k != NULL; k = k->next) {
        struct co_task_spec s;

        if (k == j || k->load != j->load || !goes_first(k, j, now)) {
            continue;
        }
        s = largest_task(k);
        ahead += k->waiting_count *
                 num_max(num_max(ceil_quotient(s.millicores, spec->millicores),
                             ceil_quotient(s.memory_mb, spec->memory_mb)),
                     num_max(ceil_quotient(s.gpus, spec->gpus), 1));
    }
    return ahead;
}

/* A job that would be refused is kept where free cores suffice for all its
 * tasks after those that go first.  Cores that are reserved for more urgent
 * work count as not free. */
static bool
keep_for_free_cores(struct coord *c, uint64_t now, struct co_job *j)
{
    struct qp_capacity capacity = {0};
    struct co_task_spec spec = largest_task(j);
    uint64_t fitting = 0;
    const struct fl_agent *a;

    qp_update_capacity(&capacity, c, now, j);
    if (qp_must_hold_back(&capacity, now, j)) {
        return false;
    }
    for (a = c->fleet.agents; a != NULL; a = a->hh.next) {
        fitting += tasks_fitting(c, now, a, j, &spec);
    }
    if (fitting < j->waiting_count + tasks_ahead(c, now, j, &spec)) {
        return false;
    }
    c->admission.kept_for_free_cores += !j->kept_for_free_cores;
    j->kept_for_free_cores = true;
    return true;
}

/* --- decisions --- */

static uint32_t
retry_ms(struct coord *c, uint64_t now, const struct am_prediction *p,
    const struct am_job *times)
{
    c->fleet.seed = mix64(c->fleet.seed, now);
    return am_retry_after_ms(p, times, (double)(c->fleet.seed & 0xff) / 256.0);
}

uint32_t
co_admit_arrival(struct coord *c, uint64_t now, struct co_job *j)
{
    struct am_queue q = {0};
    struct dm_estimate e;
    struct am_job times;

    if (!is_on(c)) {
        return 0;
    }
    j->admitted_capacity =
        fl_total(&c->fleet, now, j->load->service, 1).paced_capacity;
    /* Without workers, jobs are held until some return (NO_WORKER_HOLD_MS). */
    if (!fill_queue(c, now, j, &q) || q.cores <= 0) {
        return 0;
    }
    e = get_estimate(c, now, j->load->service);
    times = times_of(j, now);
    j->prediction = am_decide(&c->admission, now, route_of(j), &q, &e, &times);
    if (!j->prediction.refuse || keep_for_free_cores(c, now, j)) {
        return 0;
    }
    return retry_ms(c, now, &j->prediction, &times);
}

/*
 * An admitted job keeps its place while it can meet its objective.  One that
 * has missed it is behind all others; if the present prediction says that it
 * will be of no use, its caller is told now, instead of when its time is over.
 */
const char *
co_admit_shed_reason(
    struct coord *c, uint64_t now, struct co_job *j, double capacity)
{
    if (!is_on(c)) {
        return "no_turn";
    }
    if (keep_for_free_cores(c, now, j)) {
        return NULL;
    }
    if (am_capacity_lost(j->admitted_capacity, capacity)) {
        return am_reason_names[AM_CAPACITY_LOST];
    }
    return qp_class_of(j, now) >= QP_LATE ? am_reason_names[AM_NO_TURN] : NULL;
}

void
co_admit_placed(struct coord *c, uint64_t now, struct co_job *j)
{
    if (j->prediction.wait_ms > 0 && !j->wait_ended) {
        j->wait_ended = true;
        am_placed(&c->admission, now, route_of(j), j->prediction.wait_ms,
            (double)(now - j->arrived_ms));
    }
}

void
co_admit_given_up(
    struct coord *c, uint64_t now, struct co_job *j, const char *reason)
{
    if (!is_on(c)) {
        return;
    }
    for (uint32_t r = 0; r < AM_REASONS; r++) {
        c->admission.refused[r] += strcmp(reason, am_reason_names[r]) == 0;
    }
    if (j->prediction.wait_ms > 0 && !j->wait_ended && !j->prediction.refuse) {
        am_given_up(&c->admission, now, route_of(j), j->prediction.wait_ms,
            (double)(now - j->arrived_ms));
    }
}
