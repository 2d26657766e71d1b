#include "qpolicy.h"

#include <math.h>
#include <string.h>
#include <utlist.h>

#include "coord-int.h"
#include "num.h"

/* Fraction of the cores that a job leaves free if all other work is more
 * urgent: enough for the tasks of some short jobs that arrive together. */
#define RESERVE_FRACTION 0.05
/* Least fraction of the cores that an entry's jobs are assumed to get, even
 * where runs of other entries hold all cores. */
#define MIN_CORE_FRACTION 0.05
/* Iterations of the wait estimate: work that arrives during the wait makes it
 * longer, and so more work arrives. */
#define WAIT_ITERATIONS 8
/* Bounds, in ms, on the retry time of refused callers, before jitter. */
#define RETRY_MIN_MS 500U
#define RETRY_MAX_MS 10000U
/* Least ms between two reports of demand to an agent: if demand appeared or
 * disappeared, and if only its amount changed. */
#define DEMAND_CHANGE_MS 2U
#define DEMAND_AMOUNT_MS 10U

/* --- order --- */

/*
 * With more work than cores, ordering by objective alone makes every job late:
 * the oldest jobs, which have missed their objective, are placed before those
 * that could still meet it.
 */
enum qp_class
qp_class_of(const struct co_job *j, uint64_t now)
{
    if (j->started) {
        return QP_STARTED;
    }
    if (now + j->longest_task_ms <= j->objective_ms) {
        return QP_ON_TIME;
    }
    return now + co_fastest_ms(j) < j->useful_until_ms ? QP_LATE : QP_STALE;
}

/* --- reserved capacity --- */

void
qp_update_capacity(struct qp_capacity *capacity, const struct coord *c,
    uint64_t now, const struct co_job *j)
{
    uint32_t task = j->tasks[0].spec.millicores;

    if (capacity->load != j->load || capacity->task_millicores != task) {
        capacity->load = j->load;
        capacity->task_millicores = task;
        capacity->sum = fl_total(&c->fleet, now, j->load->service, task);
    }
}

/* Millicores that the job leaves free. */
static double
reserve_millicores(
    const struct fl_totals *sum, uint64_t now, const struct co_job *j)
{
    enum qp_class cls = qp_class_of(j, now);

    if (cls == QP_STARTED) {
        return 0;
    }
    return RESERVE_FRACTION * (double)sum->capacity *
           (cls == QP_ON_TIME
                   ? sl_more_urgent_share(&j->load->slack, j->slack_ms)
                   : 1);
}

bool
qp_must_hold_back(
    const struct qp_capacity *capacity, uint64_t now, const struct co_job *j)
{
    return (double)capacity->sum.free <
           reserve_millicores(&capacity->sum, now, j);
}

/* The waiting tasks of a job. */
struct waiting {
    double work; /* millicores x ms */
    double millicores;
    uint32_t smallest; /* millicores of the smallest one; 0: none waits */
};

static struct waiting
waiting_tasks(const struct co_job *j)
{
    struct waiting w = {0, 0, 0};

    for (uint32_t i = 0; i < j->task_count; i++) {
        const struct co_task *t = &j->tasks[i];

        if (t->state == CO_WAITING) {
            w.work += (double)co_task_work(t);
            w.millicores += t->spec.millicores;
            w.smallest = w.smallest == 0 ? t->spec.millicores
                                         : (uint32_t)num_min(
                                               w.smallest, t->spec.millicores);
        }
    }
    return w;
}

void
qp_record_job(uint64_t now, struct co_job *j, const struct es_estimate *est)
{
    j->slack_ms = (uint32_t)num_sub_sat(est->objective_ms, est->run_ms);
    if (j->slack_ms == 0) {
        return; /* late already: it delays no job that is on time */
    }
    sl_record(&j->load->slack, now, j->slack_ms, waiting_tasks(j).work);
}

void
qp_record_inflow(uint64_t now, struct co_job *j, const struct es_estimate *est)
{
    if (j->slack_ms != 0) {
        in_record(
            &j->load->inflow, now, est->objective_ms, waiting_tasks(j).work);
    }
}

/* --- load shedding --- */

/* The cores that jobs of one service can expect, and the work ahead of the job
 * that is considered. */
struct backlog {
    struct fl_totals sum;
    double cores;      /* expected millicores, scaled to usual speed */
    double work;       /* ahead, in millicores x ms */
    double millicores; /* of the tasks ahead */
};

/* Expected cores are those that this entry's runs hold now, the free ones and
 * those of workers that may be back soon. */
static struct backlog
get_backlog(
    const struct coord *c, uint64_t now, const struct co_service_load *l)
{
    struct backlog backlog = {{0, 0, 0, 0, 0}, 0, 0, 0};
    uint32_t smallest_task = 0;
    const struct co_job *j;

    for (j = c->queue; j != NULL; j = j->next) {
        uint32_t smallest = j->load == l ? waiting_tasks(j).smallest : 0;

        if (smallest != 0 &&
            (smallest_task == 0 || smallest < smallest_task)) {
            smallest_task = smallest;
        }
    }
    backlog.sum = fl_total(&c->fleet, now, l->service, smallest_task);
    backlog.cores = (double)l->dispatched_millicores * backlog.sum.mean_pace +
                    (double)backlog.sum.free + (double)backlog.sum.recovering;
    backlog.cores =
        fmax(backlog.cores, MIN_CORE_FRACTION * (double)backlog.sum.capacity);
    return backlog;
}

double
qp_expected_cores(const struct coord *c, uint64_t now,
    const struct co_service_load *l, double *free_millicores)
{
    struct backlog backlog = get_backlog(c, now, l);

    *free_millicores = (double)(backlog.sum.free + backlog.sum.recovering);
    return backlog.cores;
}

/*
 * Estimated ms until the job is placed.  Work that arrives meanwhile with an
 * earlier objective is placed before it, too.
 */
static double
wait_ms(const struct backlog *backlog, uint64_t now, const struct co_job *j)
{
    double capacity = (double)(backlog->sum.free + backlog->sum.recovering);
    double ahead = backlog->millicores + waiting_tasks(j).millicores;
    double objective = (double)j->objective_ms - (double)now;
    double work;
    double wait;

    if (ahead <= capacity) {
        return 0;
    }
    work = backlog->work *
           fmin(1, (ahead - capacity) / fmax(backlog->millicores, 1));
    wait = work / backlog->cores;
    for (int i = 0; i < WAIT_ITERATIONS && wait < objective; i++) {
        wait =
            (work + in_work_before(&j->load->inflow, now, objective, wait)) /
            backlog->cores;
    }
    return wait;
}

/* The job fits now and leaves free what more urgent jobs need. */
static bool
fits_with_reserve(
    const struct backlog *backlog, uint64_t now, const struct co_job *j)
{
    double capacity = (double)(backlog->sum.free + backlog->sum.recovering);

    return capacity - backlog->millicores - waiting_tasks(j).millicores >=
           reserve_millicores(&backlog->sum, now, j);
}

static bool
cannot_be_served(
    const struct backlog *backlog, uint64_t now, const struct co_job *j)
{
    double wait = wait_ms(backlog, now, j);
    double end_ms = (double)(now + co_fastest_ms(j)) + wait;

    switch (qp_class_of(j, now)) {
    case QP_STARTED:
        return false;
    case QP_STALE:
        return end_ms > (double)j->deadline_ms ||
               !fits_with_reserve(backlog, now, j);
    case QP_ON_TIME:
    case QP_LATE:
    case QP_COUNT:
        break;
    }
    return end_ms > (double)num_min(j->deadline_ms, j->useful_until_ms);
}

/* Refuses jobs of one service and adds the others to the work ahead. */
static void
shed_service(struct coord *c, uint64_t now, const struct co_service_load *l,
    struct backlog *backlog, qp_refuse_fn refuse)
{
    size_t count;
    const struct sh_item *order = co_order(c, now, l, &count);

    for (size_t i = 0; i < count; i++) {
        struct co_job *j = order[i].job;
        struct waiting w;

        if (cannot_be_served(backlog, now, j)) {
            const char *reason =
                co_admit_shed_reason(c, now, j, backlog->sum.paced_capacity);

            if (reason != NULL) {
                refuse(c, now, j, reason);
                continue;
            }
        }
        w = waiting_tasks(j);
        backlog->work += w.work;
        backlog->millicores += w.millicores;
    }
}

/*
 * Under overload the last jobs in the queue, and their callers, would wait
 * until their time has run out.  A job's wait is estimated from the work ahead
 * of it, the more urgent work that arrives meanwhile, and the cores.  A job
 * that cannot end while its answer is of use is refused at once, so that its
 * caller can do something else.
 */
void
qp_shed(struct coord *c, uint64_t now, qp_refuse_fn refuse)
{
    const struct co_service_load *l;

    for (l = c->loads; l != NULL; l = l->hh.next) {
        struct backlog backlog;

        if (l->queued_work == 0) {
            continue;
        }
        backlog = get_backlog(c, now, l);
        if (backlog.cores > 0) {
            shed_service(c, now, l, &backlog, refuse);
        }
    }
}

/* Adds the jobs of one class to the work ahead; a job like one of them that
 * arrives now is placed after it. */
static void
predict_class(const struct coord *c, uint64_t now, enum qp_class cls,
    struct backlog *backlog, const struct co_service_load *l, qp_wait_fn fn,
    void *ctx)
{
    const struct co_job *j;

    for (j = c->queue; j != NULL; j = j->next) {
        struct waiting w;

        if (j->load != l || qp_class_of(j, now) != cls) {
            continue;
        }
        w = waiting_tasks(j);
        backlog->work += w.work;
        backlog->millicores += w.millicores;
        if (cls != QP_STARTED) {
            fn(ctx, l->service, j->priority, wait_ms(backlog, now, j));
        }
    }
}

bool
qp_report_no_workers(const struct coord *c, uint64_t now, const char *service,
    qp_wait_fn fn, void *ctx)
{
    struct fl_totals sum = fl_total(&c->fleet, now, service, 1);
    bool none = sum.capacity + sum.recovering <= 0;

    if (none) {
        fn(ctx, service, BL_ANY_PRIORITY, BL_NO_WORKERS_MS);
    }
    return none;
}

void
qp_predict_waits(const struct coord *c, uint64_t now, qp_wait_fn fn, void *ctx)
{
    const struct co_service_load *l;

    for (l = c->loads; l != NULL; l = l->hh.next) {
        struct backlog backlog = get_backlog(c, now, l);

        qp_report_no_workers(c, now, l->service, fn, ctx);
        for (int cls = 0; cls < QP_STALE && backlog.cores > 0; cls++) {
            predict_class(c, now, (enum qp_class)cls, &backlog, l, fn, ctx);
        }
    }
}

/*
 * The retry time is the time until the work that waits now is done, plus up to
 * as much jitter: callers that are refused together would otherwise retry
 * together and be refused again.
 */
uint32_t
qp_retry_after_ms(
    struct coord *c, uint64_t now, const struct co_service_load *load)
{
    struct backlog backlog = get_backlog(c, now, load);
    double wait =
        backlog.cores > 0 ? (double)load->queued_work / backlog.cores : 0;
    double jitter;

    c->fleet.seed = mix64(c->fleet.seed, now);
    jitter = (double)(c->fleet.seed & 0xff) / 256.0;
    wait = fmin(fmax(wait, RETRY_MIN_MS), RETRY_MAX_MS);
    return (uint32_t)(wait * (1 + jitter));
}

/* --- demand reported to agents --- */

static void
add_demand(dw_want *demand, const struct co_job *j, bool urgent)
{
    for (uint32_t i = 0; i < j->task_count; i++) {
        const struct co_task *t = &j->tasks[i];

        if (t->state != CO_WAITING) {
            continue;
        }
        demand->least = demand->least == 0 ? t->spec.millicores
                                           : (uint32_t)num_min(demand->least,
                                                 t->spec.millicores);
        if (urgent) {
            demand->urgent += t->spec.millicores;
        }
        else {
            demand->late += t->spec.millicores;
        }
    }
}

dw_want
qp_demand(struct coord *c, uint64_t now, const char *service)
{
    dw_want demand = {0, 0, 0, c->report_interval_ms};
    struct qp_capacity capacity = {0};
    const struct co_job *j;

    for (j = c->queue; j != NULL; j = j->next) {
        if (strcmp(j->load->service, service) != 0) {
            continue;
        }
        qp_update_capacity(&capacity, c, now, j);
        if (!qp_must_hold_back(&capacity, now, j)) {
            add_demand(&demand, j, qp_class_of(j, now) <= QP_ON_TIME);
        }
    }
    return demand;
}

/* One is more than twice the other. */
static bool
differs_twofold(uint32_t a, uint32_t b)
{
    return a > 2 * (uint64_t)b || b > 2 * (uint64_t)a;
}

/* Agents must learn soon that demand appears or disappears, and less urgently
 * how much it is. */
bool
qp_must_report_demand(
    const struct fl_agent *a, uint64_t now, const dw_want *demand)
{
    if (!a->session_open) {
        return false;
    }
    if ((a->demand.urgent == 0) != (demand->urgent == 0) ||
        (a->demand.late == 0) != (demand->late == 0)) {
        return now - a->demand_sent_ms >= DEMAND_CHANGE_MS;
    }
    return now - a->demand_sent_ms >= DEMAND_AMOUNT_MS &&
           (differs_twofold(a->demand.urgent, demand->urgent) ||
               differs_twofold(a->demand.pause_ms, demand->pause_ms) ||
               differs_twofold(a->demand.late, demand->late) ||
               a->demand.least != demand->least);
}
