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
do_ended(void *ctx, const struct rn_run *run, dw_end how, uint32_t ran_ms)
{
    struct agent *a = ctx;
    struct ag_entry *e = find_entry(a, run->entry, false);
    dw_report *r;
    dw_run_end *end;

    a->ops->note_end(a->ctx, run, how, ran_ms);
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
    end->how = how;
    end->ran_ms = ran_ms;
}

/* --- whom the room is for --- */

/* It was shown room that it wanted and has not used it: its tasks may not fit
 * or be gone. */
static bool
is_idle(const struct ag_entry *e, uint64_t now)
{
    return e->shown_ms != 0 && now - e->shown_ms > AG_SHOWN_MS;
}

/* Whether x is to have room before e, and how much. */
static uint64_t
claim_before(const struct ag_entry *x, const struct ag_entry *e, uint64_t now,
    int64_t free_millicores)
{
    bool first;

    if (x == e || !x->open || is_idle(x, now) ||
        free_millicores < (int64_t)x->want.least) {
        return 0;
    }
    if (x->want.urgent > 0) {
        first = x->want.urgent > e->want.urgent ||
                (x->want.urgent == e->want.urgent && x->id < e->id);
        return first ? x->want.urgent : 0;
    }
    first = e->want.urgent == 0 &&
            (x->want.late > e->want.late ||
                (x->want.late == e->want.late && x->id < e->id));
    return first ? x->want.late : 0;
}

/* What of the free cores entry e may use. */
static int64_t
share_of(const struct agent *a, const struct ag_entry *e, uint64_t now,
    int64_t free_millicores)
{
    const struct ag_entry *x;
    uint64_t before = 0;

    for (x = a->entries; x != NULL; x = x->hh.next) {
        before += claim_before(x, e, now, free_millicores);
    }
    if (free_millicores <= 0 || before == 0) {
        return free_millicores;
    }
    return (int64_t)num_sub_sat((uint64_t)free_millicores, before);
}

static bool
wants(const struct ag_entry *e)
{
    return e->want.urgent > 0 || e->want.late > 0;
}

static int64_t
free_now(const struct agent *a, uint64_t now)
{
    dw_room room;

    rn_tell_room(&a->runner, now, &room);
    return room.serving ? room.free_millicores : 0;
}

/* It wants room, and there now is some for it that it has not been told of. */
static bool
must_hear(const struct agent *a, const struct ag_entry *e, uint64_t now,
    int64_t free_millicores)
{
    int64_t share;

    if (!wants(e) || free_millicores < (int64_t)e->want.least) {
        return false;
    }
    share = share_of(a, e, now, free_millicores);
    return share >= (int64_t)e->want.least && share > e->told_millicores;
}

static void
note_shown(struct ag_entry *e, uint64_t now, int64_t free_millicores)
{
    bool enough =
        wants(e) && free_millicores >= (int64_t)num_max(e->want.least, 1);

    if (!enough) {
        e->shown_ms = 0;
    }
    else if (e->shown_ms == 0 || free_millicores > e->told_millicores) {
        e->shown_ms = now;
    }
    e->told_millicores = free_millicores;
}

static void
fill_report(struct agent *a, uint64_t now, struct ag_entry *e, dw_report *r)
{
    r->clean =
        a->runner.clean && rn_leftover(&a->runner, e->id, e->sess.number) == 0;
    rn_tell_room(&a->runner, now, &r->room);
    r->room.free_millicores =
        (int)share_of(a, e, now, r->room.free_millicores);
    note_shown(e, now, r->room.free_millicores);
    if (a->leaving) {
        r->room.serving = false;
    }
}

static void
send_beat(struct agent *a, uint64_t now, struct ag_entry *e)
{
    dw_msg m;

    memset(&m, 0, sizeof(m));
    m.type = DW_REPORT;
    fill_report(a, now, e, &m.dw_msg_u.report);
    sess_stamp(&e->sess, now, &m);
    a->ops->send(a->ctx, e->id, &m);
}

static void
send_batch(struct agent *a, uint64_t now, struct ag_entry *e)
{
    dw_msg *m = e->batch;

    e->batch = NULL;
    fill_report(a, now, e, &m->dw_msg_u.report);
    sess_keep(&e->sess, now, m);
    a->ops->send(a->ctx, e->id, m);
}

static void
resend(struct agent *a, uint64_t now, struct ag_entry *e)
{
    dw_msg *m;

    for (m = sess_again(&e->sess, now, NULL); m != NULL;
         m = sess_again(&e->sess, now, m)) {
        /* The room belongs to the acknowledgement that goes with it. */
        fill_report(a, now, e, &m->dw_msg_u.report);
        a->ops->send(a->ctx, e->id, m);
    }
}

/* --- the worker's calls go on to whoever carries them out --- */

static void
do_start(void *ctx, const struct rn_run *run, const struct rn_terms *terms)
{
    struct agent *a = ctx;

    a->ops->worker.start(a->ctx, run, terms);
}

static void
do_stop(void *ctx, const struct rn_key *key, const struct rn_terms *terms)
{
    struct agent *a = ctx;

    a->ops->worker.stop(a->ctx, key, terms);
}

static void
do_look(void *ctx, const struct rn_ask *ask, const struct rn_terms *terms)
{
    struct agent *a = ctx;

    a->ops->worker.look(a->ctx, ask, terms);
}

static const struct rn_ops worker_ops = {do_start, do_stop, do_look, do_ended};

/* --- sessions --- */

static void
end_session(struct agent *a, uint64_t now, struct ag_entry *e)
{
    uint64_t number = e->sess.number;

    if (e->open) {
        a->open_count--;
    }
    e->open = false;
    e->ended_ms = now;
    msg_free(e->batch);
    e->batch = NULL;
    sess_end(&e->sess);
    rn_session_over(&a->runner, now, number);
}

static void
begin_session(
    struct agent *a, uint64_t now, struct ag_entry *e, const dw_head *head)
{
    if (e->sess.number != 0) {
        end_session(a, now, e);
    }
    sess_begin(&e->sess, head->session);
    e->newest = head->session;
    e->want = (dw_want){0, 0, 0, 0};
    e->told_millicores = 0;
    e->shown_ms = 0;
    e->begun_ms = now;
    e->open = true;
    a->open_count++;
}

static void
take_orders(
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
ag_orders(struct agent *a, uint64_t now, uint64_t from, const dw_orders *o)
{
    struct ag_entry *e = find_entry(a, from, true);
    enum sess_verdict v;

    if (o->head.session > e->newest) {
        begin_session(a, now, e, &o->head);
    }
    v = sess_take(&e->sess, now, &o->head);
    if (v != SESS_DROP) {
        e->want = o->want;
    }
    if (v == SESS_TAKE) {
        if (o->groups.groups_len > 0) {
            e->shown_ms = 0;
        }
        take_orders(a, now, e, o);
        a->runner.room_changed_ms = now;
    }
    else if (e->open && e->sess.fresh_ms == 0) {
        send_beat(a, now, e); /* so that the other learns our clock */
    }
}

void
ag_refused(struct agent *a, uint64_t now, uint64_t id)
{
    struct ag_entry *e = find_entry(a, id, false);

    if (e != NULL && e->open) {
        a->ops->note_session(a->ctx, id, "entry_dead", 0);
        end_session(a, now, e);
    }
}

/* When the entry was certainly alive last. */
static uint64_t
heard(const struct ag_entry *e)
{
    return e->sess.fresh_ms != 0 ? e->sess.fresh_ms : e->begun_ms;
}

static void
tend_entry(struct agent *a, uint64_t now, struct ag_entry *e)
{
    if (!e->open) {
        return;
    }
    if (now - heard(e) >= SESS_LEASE_MS) {
        a->ops->note_session(a->ctx, e->id, "session_over", now - heard(e));
        end_session(a, now, e);
        a->ops->reconnect(a->ctx, e->id);
        return;
    }
    resend(a, now, e);
    if (sess_beat_due(&e->sess, now)) {
        send_beat(a, now, e);
    }
}

void
ag_tick(struct agent *a, uint64_t now)
{
    struct ag_entry *e;
    struct ag_entry *tmp;

    HASH_ITER (hh, a->entries, e, tmp) {
        tend_entry(a, now, e);
        if (!e->open && now - e->ended_ms > AG_FORGET_MS) {
            free_entry(a, e);
        }
    }
    rn_tick(&a->runner, now);
}

/* An entry that is behind gets the ends of some ms in one report, as it would
 * not read them sooner one by one. */
static bool
may_report(const struct ag_entry *e, uint64_t now)
{
    return now - e->sess.sent_ms >= e->want.pause_ms / AG_ENDS_PART;
}

/* Where much is free, changes of it decide little. */
static bool
is_scarce(const struct agent *a, int64_t free_millicores)
{
    return free_millicores * AG_AMPLE_PART < (int64_t)a->runner.millicores;
}

void
ag_flush(struct agent *a, uint64_t now)
{
    int64_t free_millicores = free_now(a, now);
    uint32_t pause = is_scarce(a, free_millicores)
                         ? AG_ROOM_MS_PER_ENTRY * a->open_count
                         : SESS_BEAT_MS;
    struct ag_entry *e;

    for (e = a->entries; e != NULL; e = e->hh.next) {
        if (!e->open) {
            continue;
        }
        if (e->batch != NULL) {
            if (may_report(e, now)) {
                send_batch(a, now, e);
            }
        }
        else if (must_hear(a, e, now, free_millicores) ||
                 (a->runner.room_changed_ms >= e->sess.sent_ms &&
                     now - e->sess.sent_ms >=
                         num_max(pause, e->want.pause_ms))) {
            send_beat(a, now, e);
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
            send_beat(a, now, e);
        }
    }
}

bool
ag_done(const struct agent *a, uint64_t now)
{
    const struct ag_entry *e;

    if (rn_active(&a->runner) > 0 || !rn_quiet(&a->runner)) {
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
ag_entries(const struct agent *a)
{
    return HASH_COUNT(a->entries);
}

void
ag_init(struct agent *a, uint64_t now, const struct ag_ops *ops, void *ctx)
{
    *a = (struct agent){0};
    a->ops = ops;
    a->ctx = ctx;
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
