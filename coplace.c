/* Places waiting tasks on agents and sends orders and demand to them. */
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "coord-int.h"
#include "num.h"
#include "qpolicy.h"

/* ms that a run may wait at the agent for cores that another entry's run still
 * holds. */
#define AGENT_QUEUE_MS 40U
/* Jobs that cannot be placed before a placement pass ends: job sizes are
 * similar, so the following jobs are unlikely to fit either. */
#define MAX_PLACEMENT_FAILURES 4U

/* --- messages to agents --- */

static dw_orders *
get_batch(struct fl_agent *a)
{
    if (a->batch == NULL) {
        a->batch = dw_zero(1, sizeof(*a->batch));
        a->batch->type = DW_ORDERS;
    }
    return &a->batch->dw_msg_u.orders;
}

void
co_add_stop(struct fl_agent *a, uint64_t job, uint32_t index, uint64_t run)
{
    dw_orders *o = get_batch(a);
    dw_run_ref *ref;

    o->stops.stops_val = dw_grow(o->stops.stops_val,
        (o->stops.stops_len + 1) * sizeof(*o->stops.stops_val));
    ref = &o->stops.stops_val[o->stops.stops_len++];
    ref->job = job;
    ref->index = index;
    ref->run = run;
}

static dw_run_group *
get_run_group(dw_orders *o, const struct co_job *j)
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
    g->spec = str_to_bytes(str_make(j->spec, j->spec_len));
    return g;
}

static void
add_run(struct fl_agent *a, const struct co_job *j, uint32_t index)
{
    const struct co_task *t = &j->tasks[index];
    dw_run_group *g = get_run_group(get_batch(a), j);
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
    run->wait_ms = AGENT_QUEUE_MS;
}

void
co_send_heartbeat(struct coord *c, uint64_t now, struct fl_agent *a)
{
    dw_msg m;

    memset(&m, 0, sizeof(m));
    m.type = DW_ORDERS;
    m.dw_msg_u.orders.address.dw_bytes_val = c->address;
    m.dw_msg_u.orders.address.dw_bytes_len = (u_int)strlen(c->address);
    m.dw_msg_u.orders.port = c->port;
    m.dw_msg_u.orders.want = a->demand;
    sess_fill_head(&a->sess, now, &m);
    c->ops->send(c->ctx, a->id, &m);
}

static void
send_batch(struct coord *c, uint64_t now, struct fl_agent *a)
{
    dw_msg *m = a->batch;

    a->batch = NULL;
    m->dw_msg_u.orders.want = a->demand;
    sess_enqueue(&a->sess, now, m);
    c->ops->send(c->ctx, a->id, m);
    fl_batch_sent(a, a->sess.send_seq);
}

/* --- placement --- */

struct fl_requirements
co_task_requirements(const struct co_job *j, const struct co_task *t)
{
    struct fl_requirements req = {j->load->service, t->spec.millicores,
        t->spec.memory_mb, t->spec.gpus, t->spec.est_ms, 0, t->failures > 0,
        false, t->avoid_agent};

    return req;
}

/* Orders a run of a task; false if no worker has free capacity for it. */
static bool
place_task(struct coord *c, uint64_t now, struct co_job *j, uint32_t index)
{
    struct co_task *t = &j->tasks[index];
    struct fl_requirements req = co_task_requirements(j, t);
    struct fl_agent *a;

    req.waited_ms = (uint32_t)(now - j->arrived_ms);
    a = fl_pick(&c->fleet, now, &req);

    if (a == NULL) {
        return false;
    }
    t->run++;
    t->agent = a->id;
    t->session = a->sess.number;
    t->sent_ms = now;
    t->open_clock_ms = 0;
    t->late_worker = 0;
    t->moving = false;
    j->started = true;
    c->stats.runs++;
    add_run(a, j, index);
    fl_reserve(a, now, &req);
    co_set_state(c, j, t, CO_DISPATCHED);
    return true;
}

/* Places the job's waiting tasks; false if one finds no capacity. */
static bool
place_job(struct coord *c, uint64_t now, struct co_job *j)
{
    for (uint32_t i = 0; i < j->task_count; i++) {
        if (j->tasks[i].state == CO_WAITING && !place_task(c, now, j, i)) {
            return false;
        }
    }
    co_admit_placed(c, now, j);
    return true;
}

static void
place_all(struct coord *c, uint64_t now)
{
    struct qp_capacity capacity = {0};
    struct co_job *j;
    struct co_job *tmp;
    uint32_t failures = 0;

    for (int cls = 0; cls < QP_COUNT; cls++) {
        DL_FOREACH_SAFE (c->queue, j, tmp) {
            if (qp_class_of(j, now) != (enum qp_class)cls) {
                continue;
            }
            qp_update_capacity(&capacity, c, now, j);
            if (qp_must_hold_back(&capacity, now, j)) {
                continue;
            }
            if (!place_job(c, now, j) &&
                ++failures >= MAX_PLACEMENT_FAILURES) {
                return;
            }
            capacity.load = NULL; /* outdated by the placement */
        }
    }
}

void
co_flush(struct coord *c, uint64_t now)
{
    struct fl_agent *a;
    const char *service = NULL;
    dw_want demand = {0, 0, 0, 0};

    if (c->has_new_jobs) {
        c->has_new_jobs = false;
        co_shed(c, now);
    }
    if (c->queue != NULL && !c->cut_off) {
        place_all(c, now);
    }
    dm_flush(c, now);
    co_update_sharing(c, now);
    for (a = c->fleet.agents; a != NULL; a = a->hh.next) {
        bool report;

        /* Agents of one service are mostly adjacent in the list. */
        if (service == NULL || strcmp(service, a->service) != 0) {
            service = a->service;
            demand = qp_demand(c, now, service);
        }
        report = qp_must_report_demand(a, now, &demand);
        if (report || a->batch != NULL) {
            a->demand = demand;
            a->demand_sent_ms = now;
        }
        if (a->batch != NULL) {
            send_batch(c, now, a);
        }
        else if (report) {
            co_send_heartbeat(c, now, a);
        }
    }
}
