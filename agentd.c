/*
 * agentd - the agent on the users' platform: carries out what runner decides
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "num.h"
#include "platform/wire.h"
#include "runner.h"
#include "serve.h"
#include "sess.h"

/* ms between reports to one entry that only tell a changed room, for each
 * entry there is: what all entries cost stays the same. */
#define ROOM_MS_PER_ENTRY 5U
/* To the worker for starts and stops; more wait their turn, a start takes
 * some 2 ms.  Each new connection costs. */
#define WORKER_CONNECTIONS 6U
#define IDLE_S 30U
#define BEAT_BODY_MAX 65536U

/* One entry's session. */
struct customer {
    uint64_t id;
    struct sess sess;
    uint64_t newest; /* session number; an ended one is not begun again */
    bool open;
    bool room_told; /* nothing has changed since the last report */
    dw_msg *batch;  /* ends collected since the last flush */
    UT_hash_handle hh;
};

struct agent {
    struct serve *s;
    struct runner runner;
    struct httpc *http;
    struct httpc *look_http;
    struct web *announce;
    char url[300];
    struct customer *customers;
    uint64_t beat_seq;
    uint64_t beat_born_ms;
    bool draining_told;
};

/* --- calls to the worker --- */

struct run_call {
    struct agent *a;
    struct rn_key key;
    uint64_t asked_ms;
    bool quick;
};

static struct run_call *
post(struct agent *a, struct httpc *http, const char *path, struct str body,
    uint32_t timeout_ms, httpc_done_fn done, const struct rn_key *key)
{
    static const char *const headers[] = {
        "Content-Type: application/json", NULL};
    struct run_call *c = dw_zero(1, sizeof(*c));
    struct httpc_call h = {0};
    char url[400];

    c->a = a;
    c->asked_ms = sv_now();
    if (key != NULL) {
        c->key = *key;
    }
    snprintf(url, sizeof(url), "%s/dunlinweir/%s", a->url, path);
    h.method = "POST";
    h.url = url;
    h.headers = headers;
    h.body = body;
    h.timeout_ms = timeout_ms;
    h.connect_timeout_ms = timeout_ms;
    h.done = done;
    h.ctx = c;
    httpc_start(http, &h);
    return c;
}

static enum rn_start_result
start_result(const struct httpc_done *d)
{
    if (d->status == HTTPC_NOT_SENT) {
        return RN_START_UNREACHED;
    }
    if (d->status != HTTPC_OK) {
        return RN_START_LOST;
    }
    switch (d->code) {
    case 200:
        return RN_START_OK;
    case 400:
    case 409:
    case 421:
    case 429:
    case 503:
        return RN_START_REFUSED;
    default:
        return RN_START_LOST;
    }
}

static void
on_started(void *ctx, const struct httpc_done *d)
{
    struct run_call *c = ctx;
    enum rn_start_result result = start_result(d);

    if (result != RN_START_OK) {
        log_event(LOG_LEVEL_INFO, "start_failed",
            "job=%016" PRIx64 " task=%" PRIu64 " run=%" PRIu64
            " code=%ld ms=%" PRIu64 " lost=%d body=\"%.*s\"",
            c->key.job, c->key.index, c->key.run, d->code,
            sv_now() - c->asked_ms, result == RN_START_LOST,
            (int)num_min(d->body.n, 100), d->body.n > 0 ? d->body.p : "");
    }
    rn_started(&c->a->runner, sv_now(), &c->key, result,
        d->status == HTTPC_OK ? wire_clock(d->body) : 0);
    free(c);
}

static void
do_start(void *ctx, const struct rn_run *run, uint64_t until_ms)
{
    struct agent *a = ctx;
    struct buf b = {0};

    wire_put_start(&b, run, until_ms);
    post(a, a->http, "run-start", buf_str(&b), RN_ANSWER_MS, on_started,
        &run->key);
    buf_free(&b);
}

static void
on_stopped(void *ctx, const struct httpc_done *d)
{
    struct run_call *c = ctx;

    rn_stopped(&c->a->runner, sv_now(), &c->key,
        d->status == HTTPC_OK && d->code == 200);
    free(c);
}

static void
do_stop(void *ctx, const struct rn_key *key)
{
    struct agent *a = ctx;
    struct buf b = {0};

    wire_put_stop(&b, key);
    post(a, a->http, "run-stop", buf_str(&b), RN_ANSWER_MS, on_stopped, key);
    buf_free(&b);
}

static void
on_looked(void *ctx, const struct httpc_done *d)
{
    struct run_call *c = ctx;
    struct wire_look l = {0};
    struct err e = {""};

    if (d->status == HTTPC_OK && d->code == 200 &&
        wire_look(&l, d->body, &e) != WIRE_OK) {
        log_event(LOG_LEVEL_WARN, "look_unreadable", "error=\"%s\"", e.msg);
    }
    l.look.asked_ms = c->asked_ms;
    l.look.quick = c->quick;
    l.look.unreached = d->status == HTTPC_NOT_SENT;
    rn_looked(&c->a->runner, sv_now(), &l.look);
    wire_look_free(&l);
    free(c);
}

static void
do_look(
    void *ctx, uint64_t until_ms, uint64_t ack, uint32_t wait_ms, bool quick)
{
    struct agent *a = ctx;
    struct buf b = {0};
    struct run_call *c;

    wire_put_look(&b, until_ms, ack, wait_ms);
    c = post(a, quick ? a->http : a->look_http, "hold", buf_str(&b),
        quick ? RN_ANSWER_MS : wait_ms + RN_LOOK_MARGIN_MS, on_looked, NULL);
    c->quick = quick;
    buf_free(&b);
}

/* --- reports to entries --- */

static struct customer *
find_customer(struct agent *a, uint64_t id, bool add)
{
    struct customer *c;

    HASH_FIND(hh, a->customers, &id, sizeof(id), c);
    if (c == NULL && add) {
        c = dw_zero(1, sizeof(*c));
        c->id = id;
        sess_init(&c->sess);
        HASH_ADD(hh, a->customers, id, sizeof(c->id), c);
    }
    return c;
}

static const char *const end_names[] = {
    [DW_END_DONE] = "done",
    [DW_END_FAILED] = "failed",
    [DW_END_STOPPED] = "stopped",
    [DW_END_LOST] = "lost",
    [DW_END_NOT_RUN] = "not_run",
    [DW_END_FULL] = "full",
};

static const char *const state_names[] = {
    [RN_QUEUED] = "queued",
    [RN_STARTING] = "starting",
    [RN_UNSURE] = "unsure",
    [RN_RUNNING] = "running",
    [RN_STOPPING] = "stopping",
};

static void
do_ended(void *ctx, const struct rn_run *run, dw_end how, uint32_t ran_ms)
{
    struct agent *a = ctx;
    struct customer *c = find_customer(a, run->entry, false);
    dw_report *r;
    dw_run_end *end;

    log_event(how == DW_END_DONE ? LOG_LEVEL_DEBUG : LOG_LEVEL_INFO,
        "run_ended",
        "job=%016" PRIx64 " task=%" PRIu64 " run=%" PRIu64
        " how=%s state=%s waited_ms=%" PRIu64 " ran_ms=%u est_ms=%u",
        run->key.job, run->key.index, run->key.run, end_names[how],
        state_names[run->state], run->sent_ms - run->come_ms, ran_ms,
        run->est_ms);
    if (c == NULL || !c->open || c->sess.number != run->session) {
        return;
    }
    if (c->batch == NULL) {
        c->batch = dw_zero(1, sizeof(*c->batch));
        c->batch->type = DW_REPORT;
    }
    r = &c->batch->dw_msg_u.report;
    r->ends.ends_val =
        dw_grow(r->ends.ends_val, (r->ends.ends_len + 1) * sizeof(*end));
    end = &r->ends.ends_val[r->ends.ends_len++];
    end->ref.job = run->key.job;
    end->ref.index = (u_int)run->key.index;
    end->ref.run = run->key.run;
    end->how = how;
    end->ran_ms = ran_ms;
}

static const struct rn_ops rn_ops = {do_start, do_stop, do_look, do_ended};

static void
fill_report(struct agent *a, uint64_t now, struct customer *c, dw_report *r)
{
    r->clean =
        a->runner.clean && rn_leftover(&a->runner, c->id, c->sess.number) == 0;
    rn_tell_room(&a->runner, now, &r->room);
    if (a->s->leaving) {
        r->room.serving = false;
    }
    c->room_told = true;
}

static void
send_beat(struct agent *a, uint64_t now, struct customer *c)
{
    dw_msg m;

    memset(&m, 0, sizeof(m));
    m.type = DW_REPORT;
    fill_report(a, now, c, &m.dw_msg_u.report);
    sess_stamp(&c->sess, now, &m);
    link_send(a->s->link, c->id, &m);
}

static void
send_batch(struct agent *a, uint64_t now, struct customer *c)
{
    dw_msg *m = c->batch;

    c->batch = NULL;
    fill_report(a, now, c, &m->dw_msg_u.report);
    sess_keep(&c->sess, now, m);
    link_send(a->s->link, c->id, m);
}

static void
resend(struct agent *a, uint64_t now, struct customer *c)
{
    dw_msg *m;

    for (m = sess_again(&c->sess, now, NULL); m != NULL;
         m = sess_again(&c->sess, now, m)) {
        /* The room belongs to the acknowledgement that goes with it. */
        fill_report(a, now, c, &m->dw_msg_u.report);
        link_send(a->s->link, c->id, m);
    }
}

/* --- sessions --- */

static void
end_session(struct agent *a, uint64_t now, struct customer *c)
{
    uint64_t number = c->sess.number;

    c->open = false;
    msg_free(c->batch);
    c->batch = NULL;
    sess_end(&c->sess);
    rn_session_over(&a->runner, now, number);
}

static void
begin_session(
    struct agent *a, uint64_t now, struct customer *c, const dw_head *head)
{
    if (c->sess.number != 0) {
        end_session(a, now, c);
    }
    sess_begin(&c->sess, head->session);
    c->newest = head->session;
    c->open = true;
}

static void
note_address(struct agent *a, uint64_t from, const dw_orders *o)
{
    struct sv_peer *p;

    if (o->address.dw_bytes_len == 0) {
        return;
    }
    p = sv_peer(a->s, from, true);
    str_copy(p->addr, sizeof(p->addr), str_bytes(&o->address));
    p->port = (uint16_t)o->port;
}

static void
take_orders(
    struct agent *a, uint64_t now, struct customer *c, const dw_orders *o)
{
    for (u_int i = 0; i < o->stops.stops_len; i++) {
        rn_stop(&a->runner, now, &o->stops.stops_val[i]);
    }
    for (u_int i = 0; i < o->groups.groups_len; i++) {
        const dw_run_group *g = &o->groups.groups_val[i];

        for (u_int k = 0; k < g->runs.runs_len; k++) {
            rn_order(&a->runner, now, c->id, c->sess.number, g,
                &g->runs.runs_val[k]);
        }
    }
}

static void
agent_message(struct serve *s, uint64_t now, uint64_t from, const dw_msg *m)
{
    struct agent *a = s->state;
    const dw_orders *o = &m->dw_msg_u.orders;
    struct customer *c;

    if (m->type != DW_ORDERS) {
        return;
    }
    note_address(a, from, o);
    c = find_customer(a, from, true);
    if (o->head.session > c->newest) {
        begin_session(a, now, c, &o->head);
    }
    if (sess_take(&c->sess, now, &o->head) == SESS_TAKE) {
        take_orders(a, now, c, o);
        c->room_told = false;
    }
    else if (c->open && c->sess.fresh_ms == 0) {
        send_beat(a, now, c); /* so that the other learns our clock */
    }
}

static void
agent_refused(struct serve *s, uint64_t now, uint64_t id)
{
    struct agent *a = s->state;
    struct customer *c = find_customer(a, id, false);

    if (c != NULL) {
        log_event(LOG_LEVEL_INFO, "entry_dead", "entry=%016" PRIx64, id);
        end_session(a, now, c);
    }
}

static void
tend_customer(struct agent *a, uint64_t now, struct customer *c)
{
    if (c->open && c->sess.fresh_ms != 0 && !sess_live(&c->sess, now)) {
        log_event(LOG_LEVEL_INFO, "session_over",
            "entry=%016" PRIx64 " silent_ms=%" PRIu64, c->id,
            now - c->sess.fresh_ms);
        end_session(a, now, c);
        link_drop(a->s->link, c->id);
    }
    if (!c->open) {
        return;
    }
    resend(a, now, c);
    if (sess_beat_due(&c->sess, now)) {
        send_beat(a, now, c);
    }
}

/* --- what the worker says of itself --- */

static void
take_beat(struct agent *a, uint64_t now, const struct wire_beat *b)
{
    if (b->born_ms < a->runner.born_ms ||
        (b->born_ms == a->beat_born_ms && b->seq <= a->beat_seq)) {
        return; /* held up on its way, perhaps of a life before */
    }
    a->beat_born_ms = b->born_ms;
    a->beat_seq = b->seq;
    if (!a->runner.have_room || b->born_ms != a->runner.born_ms) {
        log_event(LOG_LEVEL_INFO, "worker_room",
            "millicores=%u memory_mb=%u gpus=%u born=%" PRIu64, b->millicores,
            b->memory_mb, b->gpus, b->born_ms);
    }
    rn_room(&a->runner, now, b->millicores, b->memory_mb, b->gpus, b->born_ms);
    rn_draining(&a->runner, now, b->draining, b->leaves, b->left_ms);
    if (b->draining != a->draining_told) {
        a->draining_told = b->draining;
        log_event(LOG_LEVEL_INFO,
            b->draining ? "worker_draining" : "worker_ready",
            "left_ms=%" PRIu64, b->left_ms);
    }
}

#define BEAT_PATH "/dunlinweir/Instances.Heartbeat/"
#define LEAVE_PATH "/dunlinweir/Instances.Deregister/"

static bool
begins(const char *z, const char *prefix)
{
    return strncmp(z, prefix, strlen(prefix)) == 0;
}

static void
on_announce(void *ctx, struct web_req *r)
{
    struct agent *a = ctx;
    struct wire_beat b;
    struct err e = {""};

    if (begins(web_path(r), LEAVE_PATH)) {
        log_event(LOG_LEVEL_INFO, "worker_left", "path=%s", web_path(r));
        rn_draining(&a->runner, sv_now(), true, true, 0);
        web_reply(r, 200, "application/json", STR("{}"), 0);
    }
    else if (!begins(web_path(r), BEAT_PATH)) {
        web_reply(r, 404, "application/json", STR("{}"), 0);
    }
    else if (wire_beat(&b, web_body(r), &e) != WIRE_OK) {
        log_event(
            LOG_LEVEL_WARN, "announcement_unreadable", "error=\"%s\"", e.msg);
        web_reply(r, 400, "application/json", STR("{}"), 0);
    }
    else {
        take_beat(a, sv_now(), &b);
        web_reply(r, 200, "application/json", STR("{}"), 0);
    }
}

static void
on_announce_gone(void *ctx, struct web_req *r)
{
    (void)ctx;
    (void)r;
}

/* --- the role --- */

static int
agent_open(struct serve *s, struct err *e)
{
    struct agent *a = dw_zero(1, sizeof(*a));
    struct conf_endpoint at;
    struct web_cfg cfg = {at.addr, 0, 64, BEAT_BODY_MAX, IDLE_S};

    s->state = a;
    a->s = s;
    snprintf(a->url, sizeof(a->url), "http://%s", s->conf->platform.worker);
    a->http = httpc_new(s->loop, WORKER_CONNECTIONS);
    a->look_http = httpc_new(s->loop, 1);
    rn_init(&a->runner, sv_now(), &rn_ops, a);
    conf_endpoint(&at, s->conf->platform.announce);
    cfg.port = at.port;
    return web_open(&a->announce, s->loop, &cfg, on_announce, on_announce_gone,
               a, e) == WEB_OK
               ? 0
               : -1;
}

static void
agent_close(struct serve *s)
{
    struct agent *a = s->state;
    struct customer *c;
    struct customer *tmp;

    if (a == NULL) {
        return;
    }
    HASH_ITER (hh, a->customers, c, tmp) {
        msg_free(c->batch);
        sess_end(&c->sess);
        HASH_DEL(a->customers, c);
        free(c);
    }
    if (a->announce != NULL) {
        web_close(a->announce);
    }
    httpc_free(a->http);
    httpc_free(a->look_http);
    rn_free(&a->runner);
    free(a);
}

static void
agent_tick(struct serve *s, uint64_t now)
{
    struct agent *a = s->state;
    struct customer *c;
    struct customer *tmp;

    HASH_ITER (hh, a->customers, c, tmp) {
        tend_customer(a, now, c);
    }
    rn_tick(&a->runner, now);
}

static void
agent_flush(struct serve *s, uint64_t now)
{
    struct agent *a = s->state;
    uint32_t pause = ROOM_MS_PER_ENTRY * HASH_COUNT(a->customers);
    struct customer *c;

    for (c = a->customers; c != NULL; c = c->hh.next) {
        if (!c->open) {
            continue;
        }
        if (c->batch != NULL) {
            send_batch(a, now, c);
        }
        else if (a->runner.room_changed_ms > c->sess.sent_ms &&
                 now - c->sess.sent_ms >= pause) {
            send_beat(a, now, c);
        }
    }
}

static void
agent_leave(struct serve *s, uint64_t now)
{
    struct agent *a = s->state;
    struct customer *c;

    rn_leave(&a->runner, now);
    for (c = a->customers; c != NULL; c = c->hh.next) {
        if (c->open) {
            send_beat(a, now, c);
        }
    }
}

static bool
agent_done(struct serve *s, uint64_t now)
{
    struct agent *a = s->state;
    struct customer *c;

    if (rn_active(&a->runner) > 0 || !rn_quiet(&a->runner)) {
        return false;
    }
    for (c = a->customers; c != NULL; c = c->hh.next) {
        if (c->open && sess_live(&c->sess, now) &&
            (c->batch != NULL || c->sess.head != NULL)) {
            return false;
        }
    }
    return true;
}

static void
agent_woke(struct serve *s, uint64_t now, uint64_t slept_ms)
{
    /* Before anything that waits unread: the sessions' leases ran out. */
    (void)slept_ms;
    agent_tick(s, now);
}

static void
agent_metrics(struct serve *s, struct buf *b)
{
    const struct agent *a = s->state;
    const struct rn_stats *st = &a->runner.stats;
    const struct {
        const char *name;
        uint64_t value;
    } rows[] = {
        {"dw_runs_started", st->started},
        {"dw_runs_done", st->done},
        {"dw_runs_failed", st->failed},
        {"dw_runs_lost_starts", st->lost_starts},
        {"dw_runs_lapsed", st->lapsed},
        {"dw_runs_orphans", st->orphans},
        {"dw_runs_full", st->full},
        {"dw_runs_active", rn_active(&a->runner)},
        {"dw_worker_reborn", st->reborn},
        {"dw_worker_speed_permille", a->runner.speed_permille},
    };

    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        buf_addf(b, "%s %" PRIu64 "\n", rows[i].name, rows[i].value);
    }
}

const struct sv_role sv_agent = {"agent", agent_open, agent_close, agent_tick,
    agent_flush, agent_message, agent_refused, agent_leave, agent_done,
    agent_woke, agent_metrics};
