#include "coord.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "coord-int.h"
#include "num.h"
#include "turn.h"

/* ms that an order may wait at the agent for cores that another entry's run
 * still holds. */
#define AGENT_WAIT_MS 40U
/* A run number that the worker calls old is raised by this: more than what
 * the clocks of two entries differ by in ms. */
#define RUN_LEAP 5000U
/* Jobs looked at in vain before placing ends: sizes are much alike, so what
 * does not fit now will hardly fit for the next. */
#define MISSES_MAX 4U
/* ms that ended jobs are remembered for late copies of a request. */
#define ENDED_MS 20000U
/* ms without any worker, after a start or a loss, in which jobs are held: a
 * fleet that comes back from a loss of power is there within half a second,
 * and a late answer is worth more than a refusal. */
#define HOLD_MS 800U

void
co_init(struct coord *c, const struct co_ops *ops, void *ctx, uint64_t seed,
    const char *domain, const char *address, uint16_t port)
{
    *c = (struct coord){0};
    c->ops = ops;
    c->ctx = ctx;
    fl_init(&c->fleet, seed, domain);
    str_copy(c->address, sizeof(c->address), str_of(address));
    c->port = port;
}

/* --- the queue of jobs with waiting tasks --- */

static int
by_objective(struct co_job *a, struct co_job *b)
{
    return a->objective_ms < b->objective_ms ? -1 : 1;
}

static void
enqueue(struct coord *c, struct co_job *j)
{
    if (!j->queued) {
        DL_INSERT_INORDER(c->queue, j, by_objective);
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

static void
set_state(struct coord *c, struct co_job *j, struct co_task *t,
    enum co_task_state state)
{
    if (t->state == CO_WAITING) {
        j->waiting--;
        j->load->waiting_work -= co_task_work(t);
    }
    else if (t->state == CO_OUT) {
        j->load->out_millicores -= t->spec.millicores;
    }
    t->state = state;
    if (state == CO_OUT) {
        j->load->out_millicores += t->spec.millicores;
    }
    if (state == CO_WAITING) {
        j->waiting++;
        j->load->waiting_work += co_task_work(t);
        enqueue(c, j);
    }
    else if (j->waiting == 0) {
        dequeue(c, j);
    }
}

/* --- messages to agents --- */

static dw_orders *
batch_of(struct fl_agent *a)
{
    if (a->batch == NULL) {
        a->batch = dw_zero(1, sizeof(*a->batch));
        a->batch->type = DW_ORDERS;
    }
    return &a->batch->dw_msg_u.orders;
}

static void
add_stop(struct fl_agent *a, uint64_t job, uint32_t index, uint64_t run)
{
    dw_orders *o = batch_of(a);
    dw_run_ref *ref;

    o->stops.stops_val = dw_grow(o->stops.stops_val,
        (o->stops.stops_len + 1) * sizeof(*o->stops.stops_val));
    ref = &o->stops.stops_val[o->stops.stops_len++];
    ref->job = job;
    ref->index = index;
    ref->run = run;
}

static dw_run_group *
group_of(dw_orders *o, const struct co_job *j)
{
    dw_run_group *g;

    if (o->groups.groups_len > 0) {
        g = &o->groups.groups_val[o->groups.groups_len - 1];
        if (g->job == j->id) {
            return g;
        }
    }
    o->groups.groups_val = dw_grow(o->groups.groups_val,
        (o->groups.groups_len + 1) * sizeof(*o->groups.groups_val));
    g = &o->groups.groups_val[o->groups.groups_len++];
    memset(g, 0, sizeof(*g));
    g->job = j->id;
    g->priority = j->priority;
    g->spec = str_to_bytes(str_make(j->spec, j->spec_n));
    return g;
}

static void
add_run(struct fl_agent *a, const struct co_job *j, uint32_t index)
{
    const struct co_task *t = &j->tasks[index];
    dw_run_group *g = group_of(batch_of(a), j);
    dw_run *run;

    g->runs.runs_val =
        dw_grow(g->runs.runs_val, (g->runs.runs_len + 1) * sizeof(*run));
    run = &g->runs.runs_val[g->runs.runs_len++];
    run->index = index;
    run->run = t->run;
    run->millicores = t->spec.millicores;
    run->memory_mb = t->spec.memory_mb;
    run->gpus = t->spec.gpus;
    run->est_ms = t->spec.est_ms;
    run->wait_ms = AGENT_WAIT_MS;
}

static void
send_beat(struct coord *c, uint64_t now, struct fl_agent *a)
{
    dw_msg m;

    memset(&m, 0, sizeof(m));
    m.type = DW_ORDERS;
    m.dw_msg_u.orders.address.dw_bytes_val = c->address;
    m.dw_msg_u.orders.address.dw_bytes_len = (u_int)strlen(c->address);
    m.dw_msg_u.orders.port = c->port;
    m.dw_msg_u.orders.want = a->want;
    sess_stamp(&a->sess, now, &m);
    c->ops->send(c->ctx, a->id, &m);
}

static void
send_batch(struct coord *c, uint64_t now, struct fl_agent *a)
{
    dw_msg *m = a->batch;

    a->batch = NULL;
    m->dw_msg_u.orders.want = a->want;
    sess_keep(&a->sess, now, m);
    c->ops->send(c->ctx, a->id, m);
    fl_sent(a, a->sess.out_seq);
}

/* --- the end of a job --- */

static void
stop_runs(struct coord *c, const struct co_job *j)
{
    for (uint32_t i = 0; i < j->count; i++) {
        const struct co_task *t = &j->tasks[i];
        struct fl_agent *a = fl_find(&c->fleet, t->agent);

        if (t->state == CO_OUT && a != NULL && a->live &&
            a->sess.number == t->session) {
            add_stop(a, j->id, i, t->run);
        }
    }
}

static void
remember(struct coord *c, uint64_t now, uint64_t id, enum co_outcome how)
{
    struct co_ended *e = NULL;

    HASH_FIND(hh, c->ended, &id, sizeof(id), e);
    if (e == NULL) {
        e = dw_zero(1, sizeof(*e));
        e->id = id;
        HASH_ADD(hh, c->ended, id, sizeof(e->id), e);
    }
    e->at_ms = now;
    e->how = how;
}

static void
free_job(struct coord *c, struct co_job *j)
{
    for (uint32_t i = 0; i < j->count; i++) {
        set_state(c, j, &j->tasks[i], CO_DONE);
    }
    dequeue(c, j);
    HASH_DEL(c->jobs, j);
    free(j->tasks);
    free(j->spec);
    free(j);
}

static void
end_job(struct coord *c, uint64_t now, struct co_job *j, enum co_outcome how,
    const char *reason)
{
    uint64_t *counts[] = {
        [CO_COMPLETED] = &c->stats.completed,
        [CO_FAILED] = &c->stats.failed,
        [CO_GAVE_UP] = &c->stats.gave_up,
        [CO_NOT_RUN] = &c->stats.not_run,
    };
    uint32_t retry_ms;

    ++*counts[how];
    retry_ms = how == CO_NOT_RUN ? tn_retry_ms(c, now, j->load) : 0;
    stop_runs(c, j);
    c->ops->note(c->ctx, j, reason);
    while (j->waiters != NULL) {
        struct co_waiter *w = j->waiters;

        j->waiters = w->next;
        c->ops->answer(c->ctx, w->handle, how, reason, retry_ms);
        free(w);
    }
    if (how == CO_COMPLETED) {
        remember(c, now, j->id, how);
    }
    free_job(c, j);
}

/* Time is up.  It must not be called failed: no task of it has. */
void
co_give_up(struct coord *c, uint64_t now, struct co_job *j, const char *reason)
{
    end_job(c, now, j, j->begun ? CO_GAVE_UP : CO_NOT_RUN, reason);
}

/* --- callers --- */

static struct co_job *
find_job(const struct coord *c, uint64_t id)
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
longest(const struct co_submit *s)
{
    uint32_t ms = 0;

    for (size_t i = 0; i < s->count; i++) {
        ms = (uint32_t)num_max(ms, s->tasks[i].est_ms);
    }
    return ms;
}

/* Why a job is turned away on arrival; NULL if it is taken. */
static const char *
refusal(struct coord *c, uint64_t now, const struct co_submit *s,
    const struct gs_guess *g)
{
    struct fl_sum sum = fl_sum_up(&c->fleet, now, s->service, 1);

    if ((uint64_t)g->run_ms * CO_LEAST_PERCENT / 100 >= s->left_ms) {
        return "too_late";
    }
    if (sum.capacity <= 0 && now - c->capable_ms > HOLD_MS) {
        return "no_workers";
    }
    for (size_t i = 0; i < s->count; i++) {
        struct fl_need need = {s->service, s->tasks[i].millicores,
            s->tasks[i].memory_mb, s->tasks[i].gpus, g->run_ms, 0, false,
            false, 0};

        if (!fl_never_fits(&c->fleet, now, &need)) {
            continue;
        }
        if (!fl_widen(&c->fleet, now)) {
            return "never_fits";
        }
        c->stats.widened++;
    }
    return NULL;
}

static struct co_load *
load_of(struct coord *c, const char *service)
{
    struct co_load *l;

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
    const struct gs_guess *g, void *handle)
{
    struct co_job *j = dw_zero(1, sizeof(*j));

    j->id = s->id;
    j->spec = str_dup(s->spec);
    j->spec_n = s->spec.n;
    j->load = load_of(c, s->service);
    j->priority = s->priority;
    j->attempts = (uint32_t)num_max(s->attempts, 1);
    j->come_ms = now;
    j->objective_ms = now + g->objective_ms;
    j->use_ms = now + g->use_ms;
    j->deadline_ms = now + s->left_ms;
    j->longest_ms = g->run_ms;
    j->count = (uint32_t)s->count;
    j->tasks = dw_zero(s->count, sizeof(*j->tasks));
    attach(j, handle);
    HASH_ADD(hh, c->jobs, id, sizeof(j->id), j);
    for (uint32_t i = 0; i < j->count; i++) {
        j->tasks[i].spec = s->tasks[i];
        /* One time for all tasks of a job: they are much alike. */
        j->tasks[i].spec.est_ms = g->run_ms;
        j->tasks[i].run = s->wall_ms;
        j->tasks[i].state = CO_DONE;
        set_state(c, j, &j->tasks[i], CO_WAITING);
    }
    return j;
}

void
co_submit(
    struct coord *c, uint64_t now, const struct co_submit *s, void *handle)
{
    struct co_job *j = find_job(c, s->id);
    struct co_ended *e = NULL;
    struct gs_seen seen = {longest(s), s->left_ms};
    struct gs_model *model;
    struct gs_guess g;
    const char *why;

    c->stats.submitted++;
    if (j != NULL) {
        c->stats.attached++;
        attach(j, handle);
        return;
    }
    HASH_FIND(hh, c->ended, &s->id, sizeof(s->id), e);
    if (e != NULL) {
        c->stats.attached++;
        c->ops->answer(c->ctx, handle, e->how, "ended", 0);
        return;
    }
    model = gs_model_of(&c->times, s->route_name);
    g = gs_times(model, &s->route, &seen);
    why = refusal(c, now, s, &g);
    if (why != NULL) {
        c->stats.not_run++;
        c->ops->note_refusal(c->ctx, s, &g, why, co_waiting_ms(c, now));
        c->ops->answer(c->ctx, handle, CO_NOT_RUN, why,
            tn_retry_ms(c, now, load_of(c, s->service)));
        return;
    }
    j = admit(c, now, s, &g, handle);
    tn_note_job(now, j, &g);
    j->model = model;
    j->seen = seen;
    c->admitted = true;
}

static bool
detach(struct co_job *j, const void *handle)
{
    struct co_waiter **at;

    for (at = &j->waiters; *at != NULL; at = &(*at)->next) {
        if ((*at)->handle == handle) {
            struct co_waiter *w = *at;

            *at = w->next;
            free(w);
            return true;
        }
    }
    return false;
}

void
co_leave(struct coord *c, uint64_t now, const void *handle)
{
    struct co_job *j;

    for (j = c->jobs; j != NULL; j = j->hh.next) {
        if (detach(j, handle)) {
            break;
        }
    }
    if (j != NULL && j->waiters == NULL) {
        c->stats.gone++;
        co_give_up(c, now, j, "caller_gone");
    }
}

bool
co_cancel(struct coord *c, uint64_t now, uint64_t id)
{
    struct co_job *j = find_job(c, id);

    if (j == NULL) {
        return false;
    }
    end_job(c, now, j, CO_FAILED, "cancelled");
    return true;
}

/* --- what agents say --- */

static void
run_failed(struct coord *c, uint64_t now, struct co_job *j, struct co_task *t)
{
    t->failed++;
    t->avoid = t->agent;
    if (t->failed >= j->attempts) {
        end_job(c, now, j, CO_FAILED, "task_failed");
        return;
    }
    c->stats.retried++;
    c->ops->note_run(c->ctx, j, (uint32_t)(t - j->tasks), "run_failed");
    set_state(c, j, t, CO_WAITING);
}

static void
run_done(struct coord *c, uint64_t now, struct co_job *j, struct co_task *t)
{
    set_state(c, j, t, CO_DONE);
    j->done++;
    if (j->done == j->count) {
        if (j->model != NULL && !j->odd) {
            gs_learn(&c->times, j->model, &j->seen, j->took_ms);
        }
        end_job(c, now, j, CO_COMPLETED, "done");
    }
}

/* The run has ended without an outcome, and certainly so. */
static void
run_lost(struct coord *c, uint64_t now, struct co_job *j, struct co_task *t)
{
    (void)now;
    c->stats.lost++;
    c->ops->note_run(c->ctx, j, (uint32_t)(t - j->tasks), "run_again");
    set_state(c, j, t, CO_WAITING);
}

static void
run_not_started(
    struct coord *c, uint64_t now, struct co_job *j, struct co_task *t)
{
    t->run += RUN_LEAP;
    run_lost(c, now, j, t);
}

static void
run_bounced(struct coord *c, uint64_t now, struct co_job *j, struct co_task *t)
{
    (void)now;
    c->stats.bounced++;
    set_state(c, j, t, CO_WAITING);
}

typedef void (*end_fn)(
    struct coord *c, uint64_t now, struct co_job *j, struct co_task *t);

static const end_fn end_fns[] = {
    [DW_END_DONE] = run_done,
    [DW_END_FAILED] = run_failed,
    [DW_END_STOPPED] = run_lost,
    [DW_END_LOST] = run_lost,
    [DW_END_NOT_RUN] = run_not_started,
    [DW_END_FULL] = run_bounced,
};

/* What the run took, at the speed that workers usually have. */
static void
note_time(const struct coord *c, const struct fl_agent *a, struct co_job *j,
    uint32_t ran_ms)
{
    uint64_t usual =
        (uint64_t)ran_ms * a->room.speed_permille / num_max(c->fleet.speed, 1);

    j->odd |= fl_slow(&c->fleet, a);
    j->took_ms = (uint32_t)num_max(j->took_ms, usual);
}

static void
take_end(
    struct coord *c, uint64_t now, struct fl_agent *a, const dw_run_end *end)
{
    struct co_job *j = find_job(c, end->ref.job);
    struct co_task *t;

    fl_note_end(a, now, end->how);
    if (j == NULL || end->ref.index >= j->count) {
        return;
    }
    t = &j->tasks[end->ref.index];
    if (t->state == CO_OUT && t->run == end->ref.run && t->agent == a->id) {
        if (end->how == DW_END_DONE) {
            note_time(c, a, j, end->ran_ms);
        }
        end_fns[end->how](c, now, j, t);
    }
}

/* --- lost sessions --- */

/* Runs of a session that is over may start again from again_ms on. */
static void
lose_runs(struct coord *c, const struct fl_agent *a, uint64_t again_ms)
{
    struct co_job *j;

    for (j = c->jobs; j != NULL; j = j->hh.next) {
        for (uint32_t i = 0; i < j->count; i++) {
            struct co_task *t = &j->tasks[i];

            if (t->state == CO_OUT && t->agent == a->id) {
                set_state(c, j, t, CO_LOST);
                t->again_ms = again_ms;
            }
        }
    }
}

/* An agent, or its successor on the same worker, has nothing of ours left. */
static void
runs_are_over(struct coord *c, uint64_t now, const struct fl_agent *a)
{
    struct co_job *j;

    for (j = c->jobs; j != NULL; j = j->hh.next) {
        for (uint32_t i = 0; i < j->count; i++) {
            struct co_task *t = &j->tasks[i];

            if (t->state == CO_LOST && t->agent == a->id &&
                t->again_ms > now) {
                t->again_ms = now;
            }
        }
    }
}

/* The session fell silent: its agent goes on for a lease at most, then the
 * worker's own lease runs out. */
static void
session_over(struct coord *c, uint64_t now, struct fl_agent *a)
{
    uint64_t over = sess_over_at(&a->sess) + RN_STOP_MS + RN_LAPSE_MS;

    c->ops->note_agent(c->ctx, a, "agent_silent");
    lose_runs(c, a, num_max(over, now));
    fl_close(a);
}

void
co_refused(struct coord *c, uint64_t now, uint64_t id)
{
    struct fl_agent *a = fl_find(&c->fleet, id);

    if (a == NULL || !a->live) {
        return;
    }
    c->ops->note_agent(c->ctx, a, "agent_dead");
    lose_runs(c, a, now + RN_LAPSE_MS);
    fl_close(a);
}

void
co_report(struct coord *c, uint64_t now, uint64_t from, const dw_report *r)
{
    struct fl_agent *a = fl_find(&c->fleet, from);
    enum sess_verdict v;

    if (a == NULL) {
        return;
    }
    v = sess_take(&a->sess, now, &r->head);
    if (v == SESS_DROP) {
        return;
    }
    if (!a->live) {
        a->live = true;
        c->ops->note_agent(c->ctx, a, "agent_live");
    }
    fl_room(a, r->head.ack, &r->room);
    if (r->clean) {
        runs_are_over(c, now, a);
    }
    for (u_int i = 0; v == SESS_TAKE && i < r->ends.ends_len; i++) {
        take_end(c, now, a, &r->ends.ends_val[i]);
    }
}

/* --- placing --- */

static struct fl_need
need_of(const struct co_job *j, const struct co_task *t)
{
    struct fl_need need = {j->load->service, t->spec.millicores,
        t->spec.memory_mb, t->spec.gpus, t->spec.est_ms, 0, t->failed > 0,
        false, t->avoid};

    return need;
}

/* Send one task out; false if no worker has room for it. */
static bool
place_task(struct coord *c, uint64_t now, struct co_job *j, uint32_t index)
{
    struct co_task *t = &j->tasks[index];
    struct fl_need need = need_of(j, t);
    struct fl_agent *a;

    need.waited_ms = (uint32_t)(now - j->come_ms);
    a = fl_pick(&c->fleet, now, &need);

    if (a == NULL) {
        return false;
    }
    t->run++;
    t->agent = a->id;
    t->session = a->sess.number;
    t->sent_ms = now;
    t->moving = false;
    j->begun = true;
    c->stats.runs++;
    add_run(a, j, index);
    fl_reserve(a, now, &need);
    set_state(c, j, t, CO_OUT);
    return true;
}

static bool
place_job(struct coord *c, uint64_t now, struct co_job *j)
{
    for (uint32_t i = 0; i < j->count; i++) {
        if (j->tasks[i].state == CO_WAITING && !place_task(c, now, j, i)) {
            return false;
        }
    }
    return true;
}

static void
place_all(struct coord *c, uint64_t now)
{
    struct tn_room room = {0};
    struct co_job *j;
    struct co_job *tmp;
    uint32_t misses = 0;

    for (int turn = 0; turn < TURN_COUNT; turn++) {
        DL_FOREACH_SAFE (c->queue, j, tmp) {
            if (tn_of(j, now) != (enum turn)turn) {
                continue;
            }
            tn_look(&room, c, now, j);
            if (tn_leaves_room(&room, now, j)) {
                continue;
            }
            if (!place_job(c, now, j) && ++misses >= MISSES_MAX) {
                return;
            }
            room.load = NULL; /* changed */
        }
    }
}

void
co_flush(struct coord *c, uint64_t now)
{
    struct fl_agent *a;
    const char *service = NULL;
    dw_want w = {0, 0, 0, 0};

    if (c->admitted) {
        c->admitted = false;
        tn_shed(c, now);
    }
    if (c->queue != NULL) {
        place_all(c, now);
    }
    for (a = c->fleet.agents; a != NULL; a = a->hh.next) {
        bool tell;

        /* Agents of one service mostly stand together. */
        if (service == NULL || strcmp(service, a->service) != 0) {
            service = a->service;
            w = tn_want(c, now, service);
        }
        tell = tn_must_tell(a, now, &w);
        if (tell || a->batch != NULL) {
            a->want = w;
            a->want_ms = now;
        }
        if (a->batch != NULL) {
            send_batch(c, now, a);
        }
        else if (tell) {
            send_beat(c, now, a);
        }
    }
}

/* --- runs on slow workers --- */

/*
 * A worker turned slow, or its tasks stand still: what runs there would end
 * far too late.  A run is stopped and begun again elsewhere if that ends it
 * clearly sooner, by as much as estimates are off, and there is room now.
 */
#define MOVE_GAIN_PERCENT 130U
#define MOVE_COST_MS 40U
/* The part of the free room that one entry moves runs into at a time. */
#define MOVE_SHARE 4

static bool
better_elsewhere(const struct co_task *t, const struct fl_agent *a,
    uint32_t speed, uint64_t now)
{
    uint64_t there =
        (uint64_t)t->spec.est_ms * 1000 / num_max(a->room.pace_permille, 1);
    uint64_t left = num_sub_sat(there, now - t->sent_ms);
    uint64_t again = (uint64_t)t->spec.est_ms * 1000 / num_max(speed, 1);

    return left * 100 > (again + MOVE_COST_MS) * MOVE_GAIN_PERCENT;
}

static void
move_runs(struct coord *c, uint64_t now, struct co_job *j)
{
    for (uint32_t i = 0; i < j->count; i++) {
        struct co_task *t = &j->tasks[i];
        struct fl_agent *a = fl_find(&c->fleet, t->agent);
        struct fl_need need = need_of(j, t);

        need.quick = true;
        need.avoid = t->agent;
        if (t->state != CO_OUT || t->moving || a == NULL ||
            a->sess.number != t->session || !fl_slow(&c->fleet, a) ||
            !better_elsewhere(t, a, c->fleet.speed, now) ||
            c->move_room < (int64_t)need.millicores ||
            fl_pick(&c->fleet, now, &need) == NULL) {
            continue;
        }
        t->moving = true;
        t->avoid = t->agent;
        c->move_room -= need.millicores;
        c->stats.moved++;
        c->ops->note_run(c->ctx, j, i, "run_moved");
        add_stop(a, j->id, i, t->run);
    }
}

/* --- time --- */

static void
tend_session(struct coord *c, uint64_t now, struct fl_agent *a)
{
    if (a->live && !sess_live(&a->sess, now)) {
        session_over(c, now, a);
    }
    if (a->live) {
        a->silent_ms = 0;
    }
    else if (a->silent_ms == 0) {
        a->silent_ms = now;
    }
    if (!a->chosen && (!a->live || fl_idle(a))) {
        if (a->live) {
            c->ops->note_agent(c->ctx, a, "agent_left_out");
        }
        if (a->sess.number != 0) {
            fl_leave_out(a, now);
        }
        return;
    }
    if (!a->live &&
        (a->sess.number == 0 || now - a->opened_ms > FL_STALE_MS)) {
        fl_open(&c->fleet, now, a);
        a->tried_ms = 0;
    }
    if (!a->live && now - a->tried_ms >= FL_OPEN_MS) {
        a->tried_ms = now;
        send_beat(c, now, a);
    }
    else if (a->live && sess_beat_due(&a->sess, now)) {
        send_beat(c, now, a);
    }
}

/* False if the job has ended. */
static bool
tend_job(struct coord *c, uint64_t now, struct co_job *j)
{
    if (now >= j->deadline_ms) {
        co_give_up(c, now, j, "deadline");
        return false;
    }
    if (!j->begun && now + co_least_ms(j) >= j->deadline_ms) {
        co_give_up(c, now, j, "too_late");
        return false;
    }
    for (uint32_t i = 0; i < j->count; i++) {
        struct co_task *t = &j->tasks[i];

        if (t->state == CO_LOST && now >= t->again_ms) {
            run_lost(c, now, j, t);
        }
    }
    return true;
}

static void
forget_ended(struct coord *c, uint64_t now)
{
    struct co_ended *e;
    struct co_ended *tmp;

    HASH_ITER (hh, c->ended, e, tmp) {
        if (now - e->at_ms < ENDED_MS) {
            break; /* in the order of their ends */
        }
        HASH_DEL(c->ended, e);
        free(e);
    }
}

void
co_tick(struct coord *c, uint64_t now)
{
    /*
     * After a freeze the callers have sent their jobs elsewhere, where they
     * run by now.  Starting lost runs again would make two at a time.
     */
    bool paused = c->ticked_ms != 0 && now - c->ticked_ms > CO_PAUSE_MS;
    struct fl_agent *a;
    struct fl_agent *a_tmp;
    struct co_job *j;
    struct co_job *j_tmp;
    struct fl_sum sum;

    c->ticked_ms = now;
    fl_choose(&c->fleet, now);
    fl_learn(&c->fleet, now);
    /* Other entries see the same room. */
    sum = fl_sum_up(&c->fleet, now, NULL, 1);
    c->move_room = sum.free / MOVE_SHARE;
    if (c->capable_ms == 0 || sum.capacity > 0) {
        c->capable_ms = now;
    }
    HASH_ITER (hh, c->fleet.agents, a, a_tmp) {
        tend_session(c, now, a);
        sess_resend(&a->sess, now, a->id, c->ops->send, c->ctx);
        if (!a->member && !a->live) {
            fl_remove(&c->fleet, a);
        }
    }
    tn_shed(c, now);
    HASH_ITER (hh, c->jobs, j, j_tmp) {
        if (paused) {
            co_give_up(c, now, j, "paused");
        }
        else if (tend_job(c, now, j)) {
            move_runs(c, now, j);
        }
    }
    forget_ended(c, now);
}

/* --- the rest --- */

void
co_free(struct coord *c)
{
    struct co_job *j;
    struct co_job *j_tmp;
    struct co_ended *e;
    struct co_ended *e_tmp;
    struct co_load *l;
    struct co_load *l_tmp;

    HASH_ITER (hh, c->jobs, j, j_tmp) {
        while (j->waiters != NULL) {
            struct co_waiter *w = j->waiters;

            j->waiters = w->next;
            free(w);
        }
        free_job(c, j);
    }
    HASH_ITER (hh, c->ended, e, e_tmp) {
        HASH_DEL(c->ended, e);
        free(e);
    }
    HASH_ITER (hh, c->loads, l, l_tmp) {
        HASH_DEL(c->loads, l);
        free(l->service);
        free(l);
    }
    gs_free(&c->times);
    fl_free(&c->fleet);
}

bool
co_known(const struct coord *c, uint64_t id)
{
    return find_job(c, id) != NULL;
}

size_t
co_running(const struct coord *c)
{
    return HASH_COUNT(c->jobs);
}

uint64_t
co_waiting_ms(const struct coord *c, uint64_t now)
{
    struct fl_sum sum = fl_sum_up(&c->fleet, now, NULL, 1);
    const struct co_load *l;
    uint64_t work = 0;

    for (l = c->loads; l != NULL; l = l->hh.next) {
        work += l->waiting_work;
    }
    return sum.capacity > 0 ? work / (uint64_t)sum.capacity : 0;
}

size_t
co_pending(const struct coord *c)
{
    const struct co_job *j;
    size_t n = 0;

    for (j = c->queue; j != NULL; j = j->next) {
        n += !j->begun;
    }
    return n;
}
