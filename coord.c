#include "coord.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "coord-int.h"
#include "num.h"
#include "qpolicy.h"

/* Added to a run number that the worker rejects as outdated.  Run numbers
 * start at wall-clock ms, so this exceeds the difference of two entries'
 * clocks. */
#define RUN_NUMBER_SKIP 5000U
#define WORKER_HASH_SEED 0x6c617465U
/* ms for which ended jobs are kept to answer late copies of a request. */
#define ENDED_RETENTION_MS 20000U
/* ms without any worker, after a start or a loss, for which jobs are accepted
 * and held: a fleet that lost power is back within half a second, and a late
 * answer is worth more than a refusal. */
#define NO_WORKER_HOLD_MS 800U

void
co_init(struct coord *c, const struct co_ops *ops, void *ctx, uint64_t seed,
    const char *domain, const char *address, uint16_t port)
{
    *c = (struct coord){0};
    c->ops = ops;
    c->ctx = ctx;
    fl_init(&c->fleet, seed, domain);
    tl_init(&c->tail);
    str_copy(c->address, sizeof(c->address), str_of(address));
    c->port = port;
}

/* --- the queue of jobs with waiting tasks --- */

static int
compare_objectives(struct co_job *a, struct co_job *b)
{
    return a->objective_ms < b->objective_ms ? -1 : 1;
}

static void
enqueue(struct coord *c, struct co_job *j)
{
    if (!j->queued) {
        DL_INSERT_INORDER(c->queue, j, compare_objectives);
        j->queued = true;
    }
}

static void
dequeue(struct coord *c, struct co_job *j)
{
    if (j->queued) {
        DL_DELETE(c->queue, j);
        j->queued = false;
    }
}

void
co_set_state(struct coord *c, struct co_job *j, struct co_task *t,
    enum co_task_state state)
{
    if (t->state == CO_WAITING) {
        j->waiting_count--;
        j->load->queued_work -= co_task_work(t);
    }
    else if (t->state == CO_DISPATCHED) {
        j->load->dispatched_millicores -= t->spec.millicores;
    }
    t->state = state;
    if (state == CO_DISPATCHED) {
        j->load->dispatched_millicores += t->spec.millicores;
    }
    if (state == CO_WAITING) {
        j->waiting_count++;
        j->load->queued_work += co_task_work(t);
        enqueue(c, j);
    }
    else if (j->waiting_count == 0) {
        dequeue(c, j);
    }
}

/* --- runs that outlive their job --- */

static uint64_t
run_key(uint64_t job, uint32_t index, uint64_t run)
{
    return mix64(mix64(job, index), run);
}

static void
keep_outliving_runs(struct coord *c, uint64_t now, const struct co_job *j)
{
    for (uint32_t i = 0; i < j->task_count; i++) {
        const struct co_task *t = &j->tasks[i];
        struct co_outliving *o;

        if (t->state == CO_DISPATCHED || t->state == CO_LOST) {
            o = dw_zero(1, sizeof(*o));
            o->key = run_key(j->id, i, t->run);
            o->job = j->id;
            o->index = i;
            o->since_ms = now;
            o->task = *t;
            HASH_ADD(hh, c->outliving, key, sizeof(o->key), o);
            c->task_count++;
        }
    }
}

/* NULL if there is none. */
static struct co_outliving *
find_outliving_run(const struct coord *c, const dw_run_ref *ref)
{
    uint64_t key = run_key(ref->job, ref->index, ref->run);
    struct co_outliving *o;

    HASH_FIND(hh, c->outliving, &key, sizeof(key), o);
    return o != NULL && o->job == ref->job && o->index == ref->index &&
                   o->task.run == ref->run
               ? o
               : NULL;
}

static bool
has_outliving_run(const struct coord *c, uint64_t job)
{
    const struct co_outliving *o;

    for (o = c->outliving; o != NULL; o = o->hh.next) {
        if (o->job == job) {
            return true;
        }
    }
    return false;
}

static void
forget_outliving_run(struct coord *c, struct co_outliving *o)
{
    HASH_DEL(c->outliving, o);
    c->task_count--;
    free(o);
}

static void
outliving_run_over(
    struct coord *c, uint64_t now, struct co_outliving *o, const char *how)
{
    c->ops->log_outlived(c->ctx, o, now - o->since_ms, how);
    forget_outliving_run(c, o);
}

/* A job that is submitted again takes over the runs that are being stopped:
 * its tasks are placed only when those have ended. */
static void
take_over_runs(struct coord *c, struct co_job *j)
{
    struct co_outliving *o;
    struct co_outliving *tmp;

    HASH_ITER (hh, c->outliving, o, tmp) {
        struct co_task *t;

        if (o->job != j->id || o->index >= j->task_count) {
            continue;
        }
        t = &j->tasks[o->index];
        t->run = o->task.run;
        t->agent = o->task.agent;
        t->session = o->task.session;
        t->sent_ms = o->task.sent_ms;
        t->retry_at_ms = o->task.retry_at_ms;
        t->open_clock_ms = o->task.open_clock_ms;
        t->late_worker = o->task.late_worker;
        t->moving = true; /* its stop has been sent */
        j->started = true;
        co_set_state(c, j, t, o->task.state);
        forget_outliving_run(c, o);
    }
}

static void
outliving_run_ended(struct coord *c, uint64_t now, const struct fl_agent *a,
    const dw_run_ref *ref)
{
    struct co_outliving *o = find_outliving_run(c, ref);

    if (o != NULL && o->task.agent == a->id) {
        outliving_run_over(c, now, o, "reported");
    }
}

/* --- ending a job --- */

static void
stop_runs(struct coord *c, const struct co_job *j)
{
    for (uint32_t i = 0; i < j->task_count; i++) {
        const struct co_task *t = &j->tasks[i];
        struct fl_agent *a = fl_find(&c->fleet, t->agent);

        if (t->state == CO_DISPATCHED && a != NULL && a->session_open &&
            a->sess.number == t->session) {
            co_add_stop(a, j->id, i, t->run);
        }
    }
}

static struct co_ended *
find_ended(const struct coord *c, uint64_t id)
{
    struct co_ended *e;

    HASH_FIND(hh, c->ended, &id, sizeof(id), e);
    return e;
}

static void
record_ended(
    struct coord *c, uint64_t now, uint64_t id, enum co_outcome outcome)
{
    struct co_ended *e = find_ended(c, id);

    if (e == NULL) {
        e = dw_zero(1, sizeof(*e));
        e->id = id;
        HASH_ADD(hh, c->ended, id, sizeof(e->id), e);
    }
    e->ended_ms = now;
    e->outcome = outcome;
}

static void
free_job(struct coord *c, struct co_job *j)
{
    for (uint32_t i = 0; i < j->task_count; i++) {
        co_set_state(c, j, &j->tasks[i], CO_DONE);
    }
    dequeue(c, j);
    HASH_DEL(c->jobs, j);
    c->task_count -= j->task_count;
    free(j->tasks);
    free(j->spec);
    free(j);
}

static void
end_job_retry(struct coord *c, uint64_t now, struct co_job *j,
    enum co_outcome outcome, const char *reason, uint32_t retry_ms)
{
    uint64_t *counts[] = {
        [CO_COMPLETED] = &c->stats.completed,
        [CO_FAILED] = &c->stats.failed,
        [CO_GAVE_UP] = &c->stats.gave_up,
        [CO_NOT_RUN] = &c->stats.not_run,
    };

    ++*counts[outcome];
    co_share_ended(j, outcome);
    co_admit_given_up(c, now, j, reason);
    stop_runs(c, j);
    if (outcome != CO_COMPLETED) {
        keep_outliving_runs(c, now, j);
    }
    c->ops->log_job(c->ctx, j, reason);
    while (j->waiters != NULL) {
        struct co_waiter *w = j->waiters;

        j->waiters = w->next;
        c->ops->answer(c->ctx, w->handle, outcome, reason, retry_ms);
        free(w);
    }
    if (outcome == CO_COMPLETED || outcome == CO_FAILED) {
        record_ended(c, now, j->id, outcome);
    }
    free_job(c, j);
}

static void
end_job(struct coord *c, uint64_t now, struct co_job *j,
    enum co_outcome outcome, const char *reason)
{
    end_job_retry(c, now, j, outcome, reason,
        outcome == CO_NOT_RUN ? qp_retry_after_ms(c, now, j->load) : 0);
}

/* Ends a job without a result: CO_NOT_RUN if no run of it was ordered, else
 * CO_GAVE_UP.  Not CO_FAILED: no task of it has failed max_attempts times. */
static void
give_up(struct coord *c, uint64_t now, struct co_job *j, const char *reason)
{
    end_job(c, now, j, j->started ? CO_GAVE_UP : CO_NOT_RUN, reason);
}

void
co_shed(struct coord *c, uint64_t now)
{
    qp_shed(c, now, give_up);
}

/* --- callers --- */

struct co_job *
co_find_job(const struct coord *c, uint64_t id)
{
    struct co_job *j;

    HASH_FIND(hh, c->jobs, &id, sizeof(id), j);
    return j;
}

static void
attach(struct co_job *j, void *handle)
{
    struct co_waiter *w = dw_zero(1, sizeof(*w));

    w->handle = handle;
    w->next = j->waiters;
    j->waiters = w;
}

static uint32_t
longest_declared_ms(const struct co_submit *s)
{
    uint32_t ms = 0;

    for (size_t i = 0; i < s->task_count; i++) {
        ms = (uint32_t)num_max(ms, s->tasks[i].est_ms);
    }
    return ms;
}

/* Why a job is refused on arrival; NULL if it is accepted. */
static const char *
refusal_reason(struct coord *c, uint64_t now, const struct co_submit *s,
    const struct es_estimate *est)
{
    struct fl_totals sum = fl_total(&c->fleet, now, s->service, 1);

    if ((uint64_t)est->run_ms * CO_FASTEST_PERCENT / 100 >= s->timeout_ms) {
        return "too_late";
    }
    if (c->tasks_max != 0 && c->task_count + s->task_count > c->tasks_max) {
        return "too_many_tasks";
    }
    if (sum.capacity <= 0 && now - c->last_capacity_ms > NO_WORKER_HOLD_MS) {
        return "no_workers";
    }
    for (size_t i = 0; i < s->task_count; i++) {
        struct fl_requirements req = {s->service, s->tasks[i].millicores,
            s->tasks[i].memory_mb, s->tasks[i].gpus, est->run_ms, 0, false,
            false, 0};

        if (!fl_never_fits(&c->fleet, now, &req)) {
            continue;
        }
        if (!fl_select_all(&c->fleet, now)) {
            return "never_fits";
        }
        c->stats.widened++;
    }
    return NULL;
}

static struct co_service_load *
get_service_load(struct coord *c, const char *service)
{
    struct co_service_load *l;

    HASH_FIND_STR(c->loads, service, l);
    if (l == NULL) {
        l = dw_zero(1, sizeof(*l));
        l->service = str_dup(str_of(service));
        HASH_ADD_KEYPTR(hh, c->loads, l->service, strlen(l->service), l);
    }
    return l;
}

static struct co_job *
admit(struct coord *c, uint64_t now, const struct co_submit *s,
    const struct es_estimate *est, void *handle)
{
    struct co_job *j = dw_zero(1, sizeof(*j));

    j->id = s->id;
    j->spec = str_dup(s->spec);
    j->spec_len = s->spec.n;
    j->load = get_service_load(c, s->service);
    j->priority = s->priority;
    j->max_attempts = (uint32_t)num_max(s->max_attempts, 1);
    j->arrived_ms = now;
    j->objective_ms = now + est->objective_ms;
    j->useful_until_ms = now + est->useful_ms;
    j->deadline_ms = now + s->timeout_ms;
    j->longest_task_ms = est->run_ms;
    j->task_count = (uint32_t)s->task_count;
    j->tasks = dw_zero(s->task_count, sizeof(*j->tasks));
    attach(j, handle);
    HASH_ADD(hh, c->jobs, id, sizeof(j->id), j);
    c->task_count += j->task_count;
    for (uint32_t i = 0; i < j->task_count; i++) {
        j->tasks[i].spec = s->tasks[i];
        /* Tasks of one job are similar: one estimate serves all. */
        j->tasks[i].spec.est_ms = est->run_ms;
        j->tasks[i].run = s->wall_ms;
        j->tasks[i].state = CO_DONE;
        co_set_state(c, j, &j->tasks[i], CO_WAITING);
    }
    return j;
}

/* False if no job with this id is in progress or has just ended here. */
static bool
join_job(struct coord *c, uint64_t id, void *handle)
{
    struct co_job *j = co_find_job(c, id);
    const struct co_ended *e = find_ended(c, id);

    if (j != NULL) {
        attach(j, handle);
    }
    else if (e != NULL) {
        c->ops->answer(c->ctx, handle, e->outcome, "ended", 0);
    }
    c->stats.attached += j != NULL || e != NULL;
    return j != NULL || e != NULL;
}

bool
co_answer_copy(struct coord *c, uint64_t id, void *handle, const char *reason)
{
    if (!co_knows_job(c, id)) {
        return false;
    }
    c->stats.submitted++;
    if (!join_job(c, id, handle)) {
        c->ops->answer(c->ctx, handle, CO_GAVE_UP, reason, 0);
    }
    return true;
}

void
co_submit(
    struct coord *c, uint64_t now, const struct co_submit *s, void *handle)
{
    struct co_job *j;
    struct es_input input = {longest_declared_ms(s), s->timeout_ms};
    struct es_model *model;
    struct es_estimate est;
    const char *reason;
    uint32_t retry_ms;

    c->stats.submitted++;
    if (join_job(c, s->id, handle)) {
        return;
    }
    model = es_model_of(&c->run_times, s->route_name);
    est = es_estimate_job(model, &s->route, &input);
    reason = refusal_reason(c, now, s, &est);
    if (reason != NULL) {
        c->stats.not_run++;
        c->ops->log_refusal(c->ctx, s, &est, reason, co_queued_ms(c, now));
        c->ops->answer(c->ctx, handle,
            s->may_have_run || has_outliving_run(c, s->id) ? CO_GAVE_UP
                                                           : CO_NOT_RUN,
            reason,
            qp_retry_after_ms(c, now, get_service_load(c, s->service)));
        return;
    }
    j = admit(c, now, s, &est, handle);
    j->started = s->may_have_run;
    take_over_runs(c, j);
    co_share_arrived(c, now, j, s);
    qp_record_job(now, j, &est);
    j->model = model;
    co_tail_admit(c, j, s->route_name);
    j->input = input;
    retry_ms = co_admit_arrival(c, now, j);
    if (retry_ms != 0) {
        end_job_retry(c, now, j, j->started ? CO_GAVE_UP : CO_NOT_RUN,
            "admission", retry_ms);
        return;
    }
    qp_record_inflow(now, j, &est);
    c->has_new_jobs = true;
}

/* False if the handle does not wait for this job. */
static bool
detach(struct co_job *j, const void *handle, bool *newest)
{
    struct co_waiter **at;

    for (at = &j->waiters; *at != NULL; at = &(*at)->next) {
        if ((*at)->handle == handle) {
            struct co_waiter *w = *at;

            *newest = at == &j->waiters;
            *at = w->next;
            free(w);
            return true;
        }
    }
    return false;
}

/*
 * A caller sends a request again only after the earlier connection broke,
 * whether or not that is known here, and entries forward a request within less
 * than that time: only the newest waiter can have a caller behind it.
 */
void
co_caller_left(struct coord *c, uint64_t now, const void *handle)
{
    bool newest = false;
    struct co_job *j;

    for (j = c->jobs; j != NULL; j = j->hh.next) {
        if (detach(j, handle, &newest)) {
            break;
        }
    }
    if (j != NULL && newest) {
        c->stats.caller_left++;
        give_up(c, now, j, "caller_gone");
    }
}

/* False if the job is not in progress here. */
static bool
end_job_by_id(struct coord *c, uint64_t now, uint64_t id,
    enum co_outcome outcome, const char *reason)
{
    struct co_job *j = co_find_job(c, id);

    if (j != NULL) {
        end_job(c, now, j, outcome, reason);
    }
    return j != NULL;
}

bool
co_cancel(struct coord *c, uint64_t now, uint64_t id)
{
    return end_job_by_id(c, now, id, CO_FAILED, "cancelled");
}

bool
co_give_up_job(struct coord *c, uint64_t now, uint64_t id, const char *reason)
{
    return end_job_by_id(c, now, id, CO_GAVE_UP, reason);
}

void
co_record_cancelled(struct coord *c, uint64_t now, uint64_t id)
{
    const struct co_ended *e = find_ended(c, id);

    record_ended(c, now, id, e != NULL ? e->outcome : CO_FAILED);
}

void
co_give_up_all(struct coord *c, uint64_t now, const char *reason)
{
    struct co_job *j;
    struct co_job *tmp;

    HASH_ITER (hh, c->jobs, j, tmp) {
        give_up(c, now, j, reason);
    }
}

/* --- reports of agents --- */

static void
run_failed(struct coord *c, uint64_t now, struct co_job *j, struct co_task *t)
{
    uint64_t id = j->id;

    t->failures++;
    t->avoid_agent = t->agent;
    if (t->failures >= j->max_attempts) {
        end_job(c, now, j, CO_FAILED, "task_failed");
        c->ops->job_failed(c->ctx, id);
        return;
    }
    c->stats.retried++;
    c->ops->log_run(c->ctx, j, (uint32_t)(t - j->tasks), "run_failed", NULL);
    co_set_state(c, j, t, CO_WAITING);
}

static void
run_done(struct coord *c, uint64_t now, struct co_job *j, struct co_task *t)
{
    co_set_state(c, j, t, CO_DONE);
    j->done_count++;
    if (j->done_count == j->task_count) {
        if (j->model != NULL && !j->ran_slow) {
            es_learn(&c->run_times, j->model, &j->input, j->longest_run_ms);
        }
        end_job(c, now, j, CO_COMPLETED, "done");
    }
}

/* The run has certainly ended, without a result. */
static void
run_again(
    struct coord *c, struct co_job *j, struct co_task *t, const char *how)
{
    c->stats.lost++;
    c->ops->log_run(c->ctx, j, (uint32_t)(t - j->tasks), "run_again", how);
    co_set_state(c, j, t, CO_WAITING);
}

static void
run_lost(struct coord *c, uint64_t now, struct co_job *j, struct co_task *t)
{
    (void)now;
    run_again(c, j, t, "lost");
}

static void
run_stopped(struct coord *c, uint64_t now, struct co_job *j, struct co_task *t)
{
    (void)now;
    run_again(c, j, t, "stopped");
}

static void
run_not_started(
    struct coord *c, uint64_t now, struct co_job *j, struct co_task *t)
{
    (void)now;
    run_again(c, j, t, "not_run");
    t->run += RUN_NUMBER_SKIP;
}

static void
run_rejected(
    struct coord *c, uint64_t now, struct co_job *j, struct co_task *t)
{
    (void)now;
    c->stats.rejected++;
    co_set_state(c, j, t, CO_WAITING);
}

typedef void (*outcome_fn)(
    struct coord *c, uint64_t now, struct co_job *j, struct co_task *t);

static const outcome_fn outcome_handlers[] = {
    [DW_END_DONE] = run_done,
    [DW_END_FAILED] = run_failed,
    [DW_END_STOPPED] = run_stopped,
    [DW_END_LOST] = run_lost,
    [DW_END_NOT_RUN] = run_not_started,
    [DW_END_FULL] = run_rejected,
};

/* Records a run's time, scaled to the usual speed of workers. */
static void
record_run_time(const struct coord *c, const struct fl_agent *a,
    struct co_job *j, uint32_t ran_ms)
{
    uint64_t usual_ms = (uint64_t)ran_ms * a->status.speed_permille /
                        num_max(c->fleet.median_speed_permille, 1);

    j->ran_slow |= fl_is_slow(&c->fleet, a);
    j->longest_run_ms = (uint32_t)num_max(j->longest_run_ms, usual_ms);
}

static void
handle_run_end(
    struct coord *c, uint64_t now, struct fl_agent *a, const dw_run_end *end)
{
    struct co_job *j = co_find_job(c, end->ref.job);
    struct co_task *t;

    fl_run_ended(a, now, end->how);
    outliving_run_ended(c, now, a, &end->ref);
    if (j == NULL || end->ref.index >= j->task_count) {
        return;
    }
    t = &j->tasks[end->ref.index];
    if (t->state == CO_DISPATCHED && t->run == end->ref.run &&
        t->agent == a->id) {
        if (end->how == DW_END_DONE) {
            co_tail_run_done(c, now, a, j, t, end->ran_ms);
            record_run_time(c, a, j, end->ran_ms);
        }
        outcome_handlers[end->how](c, now, j, t);
    }
}

/* --- lost sessions --- */

static uint64_t
worker_hash(const struct fl_agent *a)
{
    return num_max(str_hash(str_of(a->name), WORKER_HASH_SEED), 1);
}

/* Nobody else knows of a start that was open when its agent was heard last: a
 * worker that restarts under its id may execute it much later. */
static void
mark_run_lost(const struct fl_agent *a, struct co_task *t, uint64_t now,
    uint64_t retry_at_ms)
{
    bool open =
        t->open_clock_ms != 0 && t->open_clock_ms >= a->sess.peer_clock_ms;

    t->late_worker = open ? worker_hash(a) : 0;
    t->retry_at_ms = open ? now + RN_LATE_START_MS : retry_at_ms;
}

/* Runs of an ended session may be retried from retry_at_ms on. */
static void
mark_runs_lost(struct coord *c, uint64_t now, const struct fl_agent *a,
    uint64_t retry_at_ms)
{
    struct co_outliving *o;
    struct co_job *j;

    for (o = c->outliving; o != NULL; o = o->hh.next) {
        if (o->task.state == CO_DISPATCHED && o->task.agent == a->id) {
            o->task.state = CO_LOST;
            mark_run_lost(a, &o->task, now, retry_at_ms);
        }
    }
    for (j = c->jobs; j != NULL; j = j->hh.next) {
        for (uint32_t i = 0; i < j->task_count; i++) {
            struct co_task *t = &j->tasks[i];

            if (t->state == CO_DISPATCHED && t->agent == a->id) {
                co_set_state(c, j, t, CO_LOST);
                mark_run_lost(a, t, now, retry_at_ms);
            }
        }
    }
}

/* The agent holds no runs of this entry's earlier sessions any more: lost runs
 * may be retried now. */
static void
release_lost_runs(struct coord *c, uint64_t now, const struct fl_agent *a)
{
    struct co_outliving *o;
    struct co_outliving *tmp;
    struct co_job *j;

    HASH_ITER (hh, c->outliving, o, tmp) {
        if (o->task.state == CO_LOST && o->task.agent == a->id) {
            outliving_run_over(c, now, o, "agent_clean");
        }
    }
    for (j = c->jobs; j != NULL; j = j->hh.next) {
        for (uint32_t i = 0; i < j->task_count; i++) {
            struct co_task *t = &j->tasks[i];

            if (t->state == CO_LOST && t->agent == a->id &&
                t->retry_at_ms > now) {
                t->retry_at_ms = now;
            }
        }
    }
}

/* The agent acts on the session for at most its lease; then it stops the runs,
 * or the worker's own lease expires. */
static void
close_session(
    struct coord *c, uint64_t now, struct fl_agent *a, const char *event)
{
    uint64_t ended_ms =
        sess_peer_expiry_ms(&a->sess) + RN_STOP_LIMIT_MS + RN_LEASE_EXPIRY_MS;

    c->ops->log_agent(c->ctx, a, event);
    mark_runs_lost(c, now, a, num_max(ended_ms, now));
    fl_close(a);
}

void
co_agent_dead(struct coord *c, uint64_t now, uint64_t id)
{
    struct fl_agent *a = fl_find(&c->fleet, id);

    if (a == NULL || !a->session_open) {
        return;
    }
    /* No proof of its death: a packet filter refuses connections, too. */
    close_session(c, now, a, "agent_dead");
}

static void
note_open(struct co_task *t, const struct fl_agent *a, const dw_run_ref *ref,
    uint64_t clock_ms)
{
    if (t->run == ref->run && t->agent == a->id) {
        t->open_clock_ms = num_max(t->open_clock_ms, clock_ms);
    }
}

void
co_open_starts(struct coord *c, uint64_t from, const dw_open *m)
{
    const struct fl_agent *a = fl_find(&c->fleet, from);

    if (a == NULL || m->session != a->sess.number) {
        return;
    }
    for (u_int i = 0; i < m->runs.runs_len; i++) {
        const dw_run_ref *ref = &m->runs.runs_val[i];
        struct co_job *j = co_find_job(c, ref->job);
        struct co_outliving *o = find_outliving_run(c, ref);

        if (j != NULL && ref->index < j->task_count) {
            note_open(&j->tasks[ref->index], a, ref, m->clock_ms);
        }
        if (o != NULL) {
            note_open(&o->task, a, ref, m->clock_ms);
        }
    }
}

void
co_report(struct coord *c, uint64_t now, uint64_t from, const dw_report *r)
{
    struct fl_agent *a = fl_find(&c->fleet, from);
    enum sess_verdict v;

    if (a == NULL) {
        return;
    }
    v = sess_receive(&a->sess, now, &r->head);
    if (v == SESS_DROP) {
        return;
    }
    if (!a->session_open) {
        a->session_open = true;
        c->ops->log_agent(c->ctx, a, "agent_live");
    }
    fl_update_status(a, r->head.ack, &r->room);
    a->leftover = !r->clean;
    if (r->clean) {
        release_lost_runs(c, now, a);
    }
    for (u_int i = 0; v == SESS_DELIVER && i < r->ends.ends_len; i++) {
        handle_run_end(c, now, a, &r->ends.ends_val[i]);
    }
}

/* --- timeouts --- */

static void
tick_session(struct coord *c, uint64_t now, struct fl_agent *a)
{
    if (a->session_open && !sess_live(&a->sess, now)) {
        close_session(c, now, a, "agent_silent");
    }
    if (a->session_open) {
        a->closed_ms = 0;
    }
    else if (a->closed_ms == 0) {
        a->closed_ms = now;
    }
    if (!a->selected && (!a->session_open || fl_is_idle(a))) {
        if (a->session_open) {
            c->ops->log_agent(c->ctx, a, "agent_left_out");
        }
        if (a->sess.number != 0) {
            fl_deselect(a, now);
        }
        return;
    }
    if (!a->session_open &&
        (a->sess.number == 0 || now - a->opened_ms > FL_OPEN_TIMEOUT_MS)) {
        fl_open(&c->fleet, now, a);
        a->open_sent_ms = 0;
    }
    if (!a->session_open && now - a->open_sent_ms >= FL_OPEN_RETRY_MS) {
        a->open_sent_ms = now;
        co_send_heartbeat(c, now, a);
    }
    else if (a->session_open && sess_heartbeat_due(&a->sess, now)) {
        co_send_heartbeat(c, now, a);
    }
}

/* A later agent of the worker serves: the worker has seen its fence, which
 * refuses open starts of the former one, and nothing of those is left. */
static bool
late_start_refused(struct coord *c, const struct co_task *t)
{
    const struct fl_agent *a;

    for (a = c->fleet.agents; a != NULL && t->late_worker != 0;
         a = a->hh.next) {
        if (a->id != t->agent && a->session_open && a->status.serving &&
            worker_hash(a) == t->late_worker) {
            return true;
        }
    }
    return false;
}

/* The time has come at which the lost run is over by all rules.  The agent
 * knows better: a connection may have been refused while it was alive. */
static bool
is_over(struct coord *c, uint64_t now, const struct co_task *t)
{
    const struct fl_agent *a = fl_find(&c->fleet, t->agent);

    return (now >= t->retry_at_ms || late_start_refused(c, t)) &&
           !(a != NULL && a->session_open && a->leftover);
}

/* False if it ended the job. */
static bool
tick_job(struct coord *c, uint64_t now, struct co_job *j)
{
    if (now >= j->deadline_ms) {
        give_up(c, now, j, "deadline");
        return false;
    }
    if (!j->started && now + co_fastest_ms(j) >= j->deadline_ms) {
        give_up(c, now, j, "too_late");
        return false;
    }
    for (uint32_t i = 0; i < j->task_count; i++) {
        struct co_task *t = &j->tasks[i];

        if (t->state == CO_LOST && is_over(c, now, t)) {
            run_again(c, j, t, "session_over");
        }
    }
    return true;
}

static void
expire_outliving_runs(struct coord *c, uint64_t now)
{
    struct co_outliving *o;
    struct co_outliving *tmp;

    HASH_ITER (hh, c->outliving, o, tmp) {
        if (o->task.state == CO_LOST && is_over(c, now, &o->task)) {
            outliving_run_over(c, now, o, "session_over");
        }
    }
}

static void
expire_ended(struct coord *c, uint64_t now)
{
    struct co_ended *e;
    struct co_ended *tmp;

    HASH_ITER (hh, c->ended, e, tmp) {
        if (now - e->ended_ms < ENDED_RETENTION_MS) {
            break; /* the rest ended later */
        }
        HASH_DEL(c->ended, e);
        free(e);
    }
}

static void
note_capacity(struct coord *c, uint64_t now, bool usable)
{
    if (c->last_capacity_ms == 0 || usable) {
        c->last_capacity_ms = now;
    }
    if (!usable) {
        c->cut_off = c->had_capacity;
        c->regained_ms = 0;
        return;
    }
    c->had_capacity = true;
    if (c->cut_off && c->regained_ms == 0) {
        c->regained_ms = now;
    }
    if (now - c->regained_ms >= CO_REGAIN_HOLD_MS) {
        c->cut_off = false;
    }
}

void
co_tick(struct coord *c, uint64_t now)
{
    /*
     * During a freeze the callers have sent their jobs to other entries,
     * where they run by now.  Retrying lost runs would run a task twice.
     */
    bool paused =
        c->last_tick_ms != 0 && now - c->last_tick_ms > CO_MAX_PAUSE_MS;
    struct fl_agent *a;
    struct fl_agent *a_tmp;
    struct co_job *j;
    struct co_job *j_tmp;
    struct fl_totals sum;

    c->last_tick_ms = now;
    fl_select(&c->fleet, now);
    fl_update_stats(&c->fleet, now);
    /* Other entries see the same free capacity. */
    sum = fl_total(&c->fleet, now, NULL, 1);
    co_set_move_budget(c, &sum);
    co_tail_judge(c, now);
    note_capacity(c, now, sum.capacity > 0);
    HASH_ITER (hh, c->fleet.agents, a, a_tmp) {
        tick_session(c, now, a);
        sess_resend(&a->sess, now, a->id, c->ops->send, c->ctx);
        if (!a->member && !a->session_open) {
            fl_remove(&c->fleet, a);
        }
    }
    co_shed(c, now);
    HASH_ITER (hh, c->jobs, j, j_tmp) {
        if (paused) {
            give_up(c, now, j, "paused");
        }
        else if (tick_job(c, now, j)) {
            co_move_runs(c, now, j);
        }
    }
    expire_outliving_runs(c, now);
    expire_ended(c, now);
}

/* --- release and queries --- */

void
co_free(struct coord *c)
{
    struct co_job *j;
    struct co_job *j_tmp;
    struct co_ended *e;
    struct co_ended *e_tmp;
    struct co_service_load *l;
    struct co_service_load *l_tmp;

    HASH_ITER (hh, c->jobs, j, j_tmp) {
        while (j->waiters != NULL) {
            struct co_waiter *w = j->waiters;

            j->waiters = w->next;
            free(w);
        }
        free_job(c, j);
    }
    while (c->outliving != NULL) {
        forget_outliving_run(c, c->outliving);
    }
    HASH_ITER (hh, c->ended, e, e_tmp) {
        HASH_DEL(c->ended, e);
        free(e);
    }
    HASH_ITER (hh, c->loads, l, l_tmp) {
        HASH_DEL(c->loads, l);
        free(l->service);
        free(l->shares);
        free(l);
    }
    dm_view_free(&c->demand);
    free(c->order);
    am_free(&c->admission);
    es_free(&c->run_times);
    tl_free(&c->tail);
    fl_free(&c->fleet);
}

bool
co_has_job(const struct coord *c, uint64_t id)
{
    return co_find_job(c, id) != NULL;
}

bool
co_has_ended(const struct coord *c, uint64_t id)
{
    return find_ended(c, id) != NULL;
}

bool
co_knows_job(const struct coord *c, uint64_t id)
{
    return co_has_ended(c, id) || co_has_job(c, id) ||
           has_outliving_run(c, id);
}

void
co_list_failed(
    const struct coord *c, uint64_t now, dw_tomb **rows, u_int *count)
{
    const struct co_ended *e;

    *rows = dw_zero(HASH_COUNT(c->ended), sizeof(**rows));
    *count = 0;
    for (e = c->ended; e != NULL; e = e->hh.next) {
        if (e->outcome == CO_FAILED) {
            (*rows)[(*count)++] =
                (dw_tomb){e->id, (u_int)num_sub_sat(now, e->ended_ms)};
        }
    }
}

uint64_t
co_regained_ms(const struct coord *c)
{
    return c->cut_off ? c->regained_ms : 0;
}

size_t
co_job_count(const struct coord *c)
{
    return HASH_COUNT(c->jobs);
}

uint64_t
co_queued_ms(const struct coord *c, uint64_t now)
{
    struct fl_totals sum = fl_total(&c->fleet, now, NULL, 1);
    const struct co_service_load *l;
    uint64_t work = 0;

    for (l = c->loads; l != NULL; l = l->hh.next) {
        work += l->queued_work;
    }
    return sum.capacity > 0 ? work / (uint64_t)sum.capacity : 0;
}

size_t
co_unstarted_count(const struct coord *c)
{
    const struct co_job *j;
    size_t n = 0;

    for (j = c->queue; j != NULL; j = j->next) {
        n += !j->started;
    }
    return n;
}
