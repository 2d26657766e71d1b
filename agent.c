#include "agent.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "num.h"

static struct ag_entry *
find_entry(struct agent *a, uint64_t id, bool add)
{
    struct ag_entry *e;

    HASH_FIND(hh, a->entries, &id, sizeof(id), e);
    if (e == NULL && add) {
        e = dw_zero(1, sizeof(*e));
        e->id = id;
        sess_init(&e->sess);
        HASH_ADD(hh, a->entries, id, sizeof(e->id), e);
    }
    return e;
}

static void
free_entry(struct agent *a, struct ag_entry *e)
{
    msg_free(e->batch);
    sess_end(&e->sess);
    assert(a->entries != NULL);
    HASH_DEL(a->entries, e);
    free(e);
}

static void
collect_outcome(
    void *ctx, const struct rn_run *run, dw_end outcome, uint32_t ran_ms)
{
    struct agent *a = ctx;
    struct ag_entry *e = find_entry(a, run->entry, false);
    dw_report *r;
    dw_run_end *end;

    a->ops->run_ended(a->ctx, run, outcome, ran_ms);
    if (e == NULL || !e->open || e->sess.number != run->session) {
        return;
    }
    if (e->batch == NULL) {
        e->batch = dw_zero(1, sizeof(*e->batch));
        e->batch->type = DW_REPORT;
    }
    r = &e->batch->dw_msg_u.report;
    r->ends.ends_val =
        dw_grow(r->ends.ends_val, (r->ends.ends_len + 1) * sizeof(*end));
    end = &r->ends.ends_val[r->ends.ends_len++];
    end->ref.job = run->key.job;
    end->ref.index = (u_int)run->key.index;
    end->ref.run = run->key.run;
    end->how = outcome;
    end->ran_ms = ran_ms;
}

/* --- distribution of free capacity --- */

/* The entry had capacity on offer and has not used it in time: its tasks may
 * not fit, or may have been placed elsewhere or given up. */
static bool
is_offer_unused(const struct ag_entry *e, uint64_t now)
{
    return e->offered_ms != 0 && now - e->offered_ms > AG_OFFER_MS;
}

/* Capacity is offered to entry x before e, both with demand or e without. */
static bool
precedes(const struct ag_entry *x, const struct ag_entry *e, uint64_t now)
{
    bool urgent = x->demand.urgent > 0;
    uint32_t rank = dm_source_rank(&x->source, now);
    uint32_t other_rank = dm_source_rank(&e->source, now);
    uint64_t wanted = urgent ? x->demand.urgent : x->demand.late;
    uint64_t other_wanted = urgent ? e->demand.urgent : e->demand.late;

    if (urgent != (e->demand.urgent > 0)) {
        return urgent;
    }
    if (rank != other_rank && other_wanted > 0) {
        return rank < other_rank;
    }
    return wanted > other_wanted || (wanted == other_wanted && x->id < e->id);
}

/* Millicores of demand of x that are served before entry e, 0 if none. */
static uint64_t
claim_ahead(const struct ag_entry *x, const struct ag_entry *e, uint64_t now,
    int64_t free_millicores)
{
    if (x == e || !x->open || is_offer_unused(x, now) ||
        free_millicores < (int64_t)x->demand.least || !precedes(x, e, now)) {
        return 0;
    }
    return x->demand.urgent > 0 ? x->demand.urgent : x->demand.late;
}

/* The part of the free capacity that entry e may use. */
static int64_t
capacity_share(const struct agent *a, const struct ag_entry *e, uint64_t now,
    int64_t free_millicores)
{
    const struct ag_entry *x;
    uint64_t claimed = 0;

    for (x = a->entries; x != NULL; x = x->hh.next) {
        claimed += claim_ahead(x, e, now, free_millicores);
    }
    if (free_millicores <= 0 || claimed == 0) {
        return free_millicores;
    }
    return (int64_t)num_sub_sat((uint64_t)free_millicores, claimed);
}

static bool
has_demand(const struct ag_entry *e)
{
    return e->demand.urgent > 0 || e->demand.late > 0;
}

static int64_t
current_free(const struct agent *a, uint64_t now)
{
    dw_room capacity;

    rn_get_capacity(&a->runner, now, &capacity);
    return capacity.serving ? capacity.free_millicores : 0;
}

/* The entry has demand, and capacity for it is free that has not been reported
 * to it. */
static bool
must_notify(const struct agent *a, const struct ag_entry *e, uint64_t now,
    int64_t free_millicores)
{
    int64_t share;

    if (!has_demand(e) || free_millicores < (int64_t)e->demand.least) {
        return false;
    }
    share = capacity_share(a, e, now, free_millicores);
    return share >= (int64_t)e->demand.least && share > e->reported_millicores;
}

static void
record_offer(struct ag_entry *e, uint64_t now, int64_t free_millicores)
{
    bool enough = has_demand(e) &&
                  free_millicores >= (int64_t)num_max(e->demand.least, 1);

    if (!enough) {
        e->offered_ms = 0;
    }
    else if (e->offered_ms == 0 || free_millicores > e->reported_millicores) {
        e->offered_ms = now;
    }
    e->reported_millicores = free_millicores;
}

/* To be sent before each report: with one that comes alone, no start is open.
 */
static void
send_open_runs(struct agent *a, uint64_t now, const struct ag_entry *e)
{
    dw_run_ref open[AG_OPEN_MAX];
    size_t n =
        rn_open_runs(&a->runner, now, e->sess.number, open, AG_OPEN_MAX);
    dw_msg m;

    if (n == 0) {
        return;
    }
    memset(&m, 0, sizeof(m));
    m.type = DW_OPEN;
    m.dw_msg_u.open.session = e->sess.number;
    m.dw_msg_u.open.clock_ms = now;
    m.dw_msg_u.open.runs.runs_val = open;
    m.dw_msg_u.open.runs.runs_len = (u_int)n;
    a->ops->send(a->ctx, e->id, &m);
}

static void
fill_report(struct agent *a, uint64_t now, struct ag_entry *e, dw_report *r)
{
    r->clean = rn_leftover_count(&a->runner, e->id, e->sess.number) == 0;
    rn_get_capacity(&a->runner, now, &r->room);
    r->room.free_millicores =
        (int)capacity_share(a, e, now, r->room.free_millicores);
    record_offer(e, now, r->room.free_millicores);
    if (a->leaving) {
        r->room.serving = false;
    }
}

static void
send_report(struct agent *a, uint64_t now, struct ag_entry *e, const dw_msg *m)
{
    send_open_runs(a, now, e);
    a->ops->send(a->ctx, e->id, m);
}

static void
send_heartbeat(struct agent *a, uint64_t now, struct ag_entry *e)
{
    dw_msg m;

    memset(&m, 0, sizeof(m));
    m.type = DW_REPORT;
    fill_report(a, now, e, &m.dw_msg_u.report);
    sess_fill_head(&e->sess, now, &m);
    send_report(a, now, e, &m);
}

static void
send_outcomes(struct agent *a, uint64_t now, struct ag_entry *e)
{
    dw_msg *m = e->batch;

    e->batch = NULL;
    fill_report(a, now, e, &m->dw_msg_u.report);
    sess_enqueue(&e->sess, now, m);
    send_report(a, now, e, m);
}

static void
resend(struct agent *a, uint64_t now, struct ag_entry *e)
{
    dw_msg *m;

    for (m = sess_next_resend(&e->sess, now, NULL); m != NULL;
         m = sess_next_resend(&e->sess, now, m)) {
        /* The capacity must match the acknowledgement in the same message. */
        fill_report(a, now, e, &m->dw_msg_u.report);
        send_report(a, now, e, m);
    }
}

/* --- requests of the runner, passed to ag_ops --- */

static void
worker_start(void *ctx, const struct rn_run *run, const struct rn_terms *terms)
{
    struct agent *a = ctx;

    a->ops->worker.start(a->ctx, run, terms);
}

static void
worker_stop(void *ctx, const struct rn_key *key, const struct rn_terms *terms)
{
    struct agent *a = ctx;

    a->ops->worker.stop(a->ctx, key, terms);
}

static void
worker_poll(void *ctx, const struct rn_poll_request *request,
    const struct rn_terms *terms)
{
    struct agent *a = ctx;

    a->ops->worker.poll(a->ctx, request, terms);
}

/* The latest time at which the entry was certainly alive. */
static uint64_t
last_alive(const struct ag_entry *e)
{
    return e->sess.own_clock_echo_ms != 0 ? e->sess.own_clock_echo_ms
                                          : e->opened_ms;
}

static bool
sessions_checked(void *ctx, uint64_t now)
{
    const struct agent *a = ctx;
    const struct ag_entry *e;

    for (e = a->entries; e != NULL; e = e->hh.next) {
        if (e->open &&
            now - last_alive(e) > SESS_LEASE_MS + RN_STOP_LIMIT_MS) {
            return false;
        }
    }
    return true;
}

static void
worker_event(void *ctx, const struct rn_event *e)
{
    struct agent *a = ctx;

    a->ops->worker.event(a->ctx, e);
}

static const struct rn_ops worker_ops = {worker_start, worker_stop,
    worker_poll, collect_outcome, worker_event, sessions_checked};

/* --- sessions --- */

/* The entry counts from the end of the lease, also if this process stood still
 * then and notices it later. */
static void
end_session(struct agent *a, uint64_t now, struct ag_entry *e)
{
    uint64_t number = e->sess.number;
    uint64_t over_ms = num_min(now, last_alive(e) + SESS_LEASE_MS);

    if (e->open) {
        a->open_count--;
    }
    e->open = false;
    e->closed_ms = now;
    e->source = (struct dm_source){0};
    msg_free(e->batch);
    e->batch = NULL;
    sess_end(&e->sess);
    rn_session_ended(&a->runner, now, number, over_ms);
}

static void
begin_session(
    struct agent *a, uint64_t now, struct ag_entry *e, const dw_head *head)
{
    if (e->sess.number != 0) {
        end_session(a, now, e);
    }
    sess_begin(&e->sess, head->session);
    e->newest_session = head->session;
    e->demand = (dw_want){0, 0, 0, 0};
    e->reported_millicores = 0;
    e->offered_ms = 0;
    e->opened_ms = now;
    e->open = true;
    a->open_count++;
}

static void
execute_orders(
    struct agent *a, uint64_t now, struct ag_entry *e, const dw_orders *o)
{
    for (u_int i = 0; i < o->stops.stops_len; i++) {
        rn_stop(&a->runner, now, &o->stops.stops_val[i]);
    }
    for (u_int i = 0; i < o->groups.groups_len; i++) {
        const dw_run_group *g = &o->groups.groups_val[i];

        for (u_int k = 0; k < g->runs.runs_len; k++) {
            rn_order(&a->runner, now, e->id, e->sess.number, g,
                &g->runs.runs_val[k]);
        }
    }
}

void
ag_handle_orders(
    struct agent *a, uint64_t now, uint64_t from, const dw_orders *o)
{
    struct ag_entry *e = find_entry(a, from, true);
    enum sess_verdict v;

    if (o->head.session > e->newest_session) {
        begin_session(a, now, e, &o->head);
    }
    v = sess_receive(&e->sess, now, &o->head);
    if (v != SESS_DROP) {
        e->demand = o->want;
    }
    if (v == SESS_DELIVER) {
        if (o->groups.groups_len > 0) {
            e->offered_ms = 0;
        }
        execute_orders(a, now, e, o);
        a->runner.capacity_changed_ms = now;
    }
    else if (e->open && e->sess.own_clock_echo_ms == 0) {
        send_heartbeat(a, now, e); /* so that the entry learns our clock */
    }
}

void
ag_handle_demand(
    struct agent *a, uint64_t now, uint64_t from, const dw_demand *d)
{
    struct ag_entry *e = find_entry(a, from, false);

    if (e != NULL && e->open && e->sess.number == d->session &&
        dm_source_receive(&e->source, now, d)) {
        a->demand_received++;
    }
    else {
        a->demand_ignored++;
    }
}

bool
ag_handle_withdrawn(struct agent *a, uint64_t now, const dw_withdrawn *w)
{
    bool changed =
        wd_update(&a->domain, now, w->as_of, w->age_ms, w->withdrawn);

    if (changed) {
        rn_set_withdrawn(&a->runner, now, a->domain.withdrawn);
    }
    return changed;
}

/* Without a session nobody orders runs. */
bool
ag_must_read_domain(struct agent *a, uint64_t now)
{
    return a->open_count > 0 && wd_read_due(&a->domain, now);
}

void
ag_entry_dead(struct agent *a, uint64_t now, uint64_t id)
{
    struct ag_entry *e = find_entry(a, id, false);

    if (e != NULL && e->open) {
        a->ops->session_event(a->ctx, id, "entry_dead", 0);
        end_session(a, now, e);
    }
}

static void
check_entry(struct agent *a, uint64_t now, struct ag_entry *e)
{
    if (!e->open) {
        return;
    }
    if (now - last_alive(e) >= SESS_LEASE_MS) {
        a->ops->session_event(
            a->ctx, e->id, "session_over", now - last_alive(e));
        end_session(a, now, e);
        a->ops->reconnect(a->ctx, e->id);
        return;
    }
    resend(a, now, e);
    if (sess_heartbeat_due(&e->sess, now)) {
        send_heartbeat(a, now, e);
    }
}

/* Sums over all entries but `except` (NULL: over all). */
static struct dm_sums
sum_demand(const struct agent *a, uint64_t now, const struct ag_entry *except)
{
    struct dm_sums sums = {0};
    const struct ag_entry *e;

    for (e = a->entries; e != NULL; e = e->hh.next) {
        if (e != except) {
            dm_sums_add(&sums, &e->source, now);
        }
    }
    return sums;
}

static void
send_supplies(struct agent *a, uint64_t now)
{
    struct dm_sums sums = {0};
    bool summed = false;
    struct ag_entry *e;

    for (e = a->entries; e != NULL; e = e->hh.next) {
        dw_msg *m;

        if (!dm_supply_possible(&e->source, now)) {
            continue;
        }
        if (!summed) {
            sums = sum_demand(a, now, NULL);
            summed = true;
        }
        if (dm_supply_due(&e->source, now, &sums)) {
            struct dm_sums others = sum_demand(a, now, e);

            m = dm_make_supply(
                &e->source, now, e->sess.number, &sums, &others, &a->runner);
            a->ops->send(a->ctx, e->id, m);
            a->supply_sent++;
            msg_free(m);
        }
    }
}

void
ag_tick(struct agent *a, uint64_t now)
{
    struct ag_entry *e;
    struct ag_entry *tmp;

    HASH_ITER (hh, a->entries, e, tmp) {
        check_entry(a, now, e);
        if (!e->open && now - e->closed_ms > AG_FORGET_MS) {
            free_entry(a, e);
        }
    }
    send_supplies(a, now);
    rn_tick(&a->runner, now);
}

/* An overloaded entry gets the outcomes of some ms in one report; single
 * reports would not be read any sooner. */
static bool
outcomes_due(const struct ag_entry *e, uint64_t now)
{
    return now - e->sess.last_sent_ms >=
           e->demand.pause_ms / AG_OUTCOMES_DIVISOR;
}

/* While much capacity is free, its changes hardly affect placement. */
static bool
is_scarce(const struct agent *a, int64_t free_millicores)
{
    return free_millicores * AG_AMPLE_DIVISOR < (int64_t)a->runner.millicores;
}

void
ag_flush(struct agent *a, uint64_t now)
{
    int64_t free_millicores = current_free(a, now);
    uint32_t pause = is_scarce(a, free_millicores)
                         ? AG_CAPACITY_MS_PER_ENTRY * a->open_count
                         : SESS_HEARTBEAT_MS;
    struct ag_entry *e;

    for (e = a->entries; e != NULL; e = e->hh.next) {
        if (!e->open) {
            continue;
        }
        if (e->batch != NULL) {
            if (outcomes_due(e, now)) {
                send_outcomes(a, now, e);
            }
        }
        else if (must_notify(a, e, now, free_millicores) ||
                 (a->runner.capacity_changed_ms >= e->sess.last_sent_ms &&
                     now - e->sess.last_sent_ms >=
                         num_max(pause, e->demand.pause_ms))) {
            send_heartbeat(a, now, e);
        }
    }
}

void
ag_leave(struct agent *a, uint64_t now)
{
    struct ag_entry *e;

    a->leaving = true;
    rn_leave(&a->runner, now);
    for (e = a->entries; e != NULL; e = e->hh.next) {
        if (e->open) {
            send_heartbeat(a, now, e);
        }
    }
}

bool
ag_done(const struct agent *a, uint64_t now)
{
    const struct ag_entry *e;

    if (rn_active_count(&a->runner) > 0 || !rn_outcomes_acked(&a->runner)) {
        return false;
    }
    for (e = a->entries; e != NULL; e = e->hh.next) {
        if (e->open && sess_live(&e->sess, now) &&
            (e->batch != NULL || e->sess.head != NULL)) {
            return false;
        }
    }
    return true;
}

size_t
ag_entry_count(const struct agent *a)
{
    return HASH_COUNT(a->entries);
}

void
ag_init(struct agent *a, uint64_t now, const struct ag_ops *ops, void *ctx)
{
    *a = (struct agent){0};
    a->ops = ops;
    a->ctx = ctx;
    wd_init(&a->domain, now);
    rn_init(&a->runner, now, &worker_ops, a);
}

void
ag_free(struct agent *a)
{
    struct ag_entry *e;
    struct ag_entry *tmp;

    HASH_ITER (hh, a->entries, e, tmp) {
        free_entry(a, e);
    }
    rn_free(&a->runner);
}
