/*
 * agentd - the agent on the users' platform: carries out what agent and runner
 * decide
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "agent.h"
#include "hist.h"
#include "log.h"
#include "num.h"
#include "platform/wire.h"
#include "proc.h"
#include "serve.h"

/* To the worker for starts and stops; more wait their turn, a start takes
 * some 2 ms.  Each new connection costs. */
#define WORKER_CONNECTIONS 6U
#define IDLE_S 30U
#define BEAT_BODY_MAX 65536U

struct worker {
    struct serve *s;
    struct agent agent;
    struct httpc *http;
    struct httpc *look_http;
    struct web *announce;
    char url[300];
    uint64_t beat_seq;
    uint64_t beat_born_ms;
    bool draining_told;
    struct hist run_ms; /* of runs that ended done */
};

/* --- calls to the worker --- */

struct run_call {
    struct worker *w;
    struct rn_key key;
    uint64_t asked_ms;
    bool quick;
};

static struct run_call *
post(struct worker *w, struct httpc *http, const char *path, struct str body,
    uint32_t timeout_ms, httpc_done_fn done, const struct rn_key *key)
{
    static const char *const headers[] = {
        "Content-Type: application/json", NULL};
    struct run_call *c = dw_zero(1, sizeof(*c));
    struct httpc_call h = {0};
    char url[400];

    c->w = w;
    c->asked_ms = proc_now();
    if (key != NULL) {
        c->key = *key;
    }
    snprintf(url, sizeof(url), "%s/dunlinweir/%s", w->url, path);
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
    case 409:
        return wire_is_fenced(d->body) ? RN_START_FENCED : RN_START_REFUSED;
    case 400:
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
            proc_now() - c->asked_ms, result == RN_START_LOST,
            (int)num_min(d->body.n, 100), d->body.n > 0 ? d->body.p : "");
    }
    rn_started(&c->w->agent.runner, proc_now(), &c->key, result,
        d->status == HTTPC_OK ? wire_clock(d->body) : 0);
    free(c);
}

static void
do_start(void *ctx, const struct rn_run *run, const struct rn_terms *terms)
{
    struct worker *w = ctx;
    struct buf b = {0};

    wire_put_start(&b, run, terms);
    post(w, w->http, "run-start", buf_str(&b), RN_ANSWER_MS, on_started,
        &run->key);
    buf_free(&b);
}

static void
on_stopped(void *ctx, const struct httpc_done *d)
{
    struct run_call *c = ctx;

    rn_stopped(&c->w->agent.runner, proc_now(), &c->key,
        d->status == HTTPC_OK && d->code == 200);
    free(c);
}

static void
do_stop(void *ctx, const struct rn_key *key, const struct rn_terms *terms)
{
    struct worker *w = ctx;
    struct buf b = {0};

    wire_put_stop(&b, key, terms);
    post(w, w->http, "run-stop", buf_str(&b), RN_ANSWER_MS, on_stopped, key);
    buf_free(&b);
}

static void
on_looked(void *ctx, const struct httpc_done *d)
{
    struct run_call *c = ctx;
    struct wire_look l = {0};
    struct err e = {""};

    if (d->status == HTTPC_OK && d->code == 200 &&
        wire_read_look(&l, d->body, &e) != WIRE_OK) {
        log_event(LOG_LEVEL_WARN, "look_unreadable", "error=\"%s\"", e.msg);
    }
    l.look.asked_ms = c->asked_ms;
    l.look.quick = c->quick;
    l.look.unreached = d->status == HTTPC_NOT_SENT;
    rn_looked(&c->w->agent.runner, proc_now(), &l.look);
    wire_look_free(&l);
    free(c);
}

static void
do_look(void *ctx, const struct rn_ask *ask, const struct rn_terms *terms)
{
    struct worker *w = ctx;
    struct buf b = {0};
    struct run_call *c;

    wire_put_look(&b, ask, terms);
    c = post(w, ask->quick ? w->http : w->look_http, "hold", buf_str(&b),
        ask->quick ? RN_ANSWER_MS : ask->wait_ms + RN_LOOK_MARGIN_MS,
        on_looked, NULL);
    c->quick = ask->quick;
    buf_free(&b);
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
note_end(void *ctx, const struct rn_run *run, dw_end how, uint32_t ran_ms)
{
    struct worker *w = ctx;
    bool done = how == DW_END_DONE;

    if (done) {
        hist_add(&w->run_ms, ran_ms);
    }
    log_event(done ? LOG_LEVEL_INFO : LOG_LEVEL_WARN,
        done                 ? "run_done"
        : how == DW_END_FULL ? "run_full"
                             : "run_ended",
        "job=%016" PRIx64 " task=%" PRIu64 " run=%" PRIu64
        " how=%s state=%s waited_ms=%" PRIu64 " ran_ms=%u est_ms=%u pace=%u",
        run->key.job, run->key.index, run->key.run, end_names[how],
        state_names[run->state], run->sent_ms - run->come_ms, ran_ms,
        run->est_ms, w->agent.runner.pace_permille);
}

/* --- entries --- */

static void
do_send(void *ctx, uint64_t to, const dw_msg *m)
{
    struct worker *w = ctx;

    link_send(w->s->link, to, m);
}

static void
do_reconnect(void *ctx, uint64_t to)
{
    struct worker *w = ctx;

    link_drop(w->s->link, to);
}

static void
note_session(void *ctx, uint64_t entry, const char *what, uint64_t silent_ms)
{
    (void)ctx;
    log_event(LOG_LEVEL_INFO, what, "entry=%016" PRIx64 " silent_ms=%" PRIu64,
        entry, silent_ms);
}

static const struct ag_ops ag_ops = {{do_start, do_stop, do_look, NULL},
    do_send, do_reconnect, note_end, note_session};

static void
note_address(struct worker *w, uint64_t from, const dw_orders *o)
{
    struct sv_peer *p;

    if (o->address.dw_bytes_len == 0) {
        return;
    }
    p = sv_peer(w->s, from, true);
    str_copy(p->addr, sizeof(p->addr), str_bytes(&o->address));
    p->port = (uint16_t)o->port;
}

static void
agent_message(struct serve *s, uint64_t now, uint64_t from, const dw_msg *m)
{
    struct worker *w = s->state;

    if (m->type == DW_ORDERS) {
        note_address(w, from, &m->dw_msg_u.orders);
        ag_orders(&w->agent, now, from, &m->dw_msg_u.orders);
    }
}

static void
agent_refused(struct serve *s, uint64_t now, uint64_t id)
{
    struct worker *w = s->state;

    ag_refused(&w->agent, now, id);
}

/* --- what the worker says of itself --- */

static void
take_beat(struct worker *w, uint64_t now, const struct wire_beat *b)
{
    if (b->born_ms < w->agent.runner.born_ms ||
        (b->born_ms == w->beat_born_ms && b->seq <= w->beat_seq)) {
        return; /* held up on its way, perhaps of a life before */
    }
    w->beat_born_ms = b->born_ms;
    w->beat_seq = b->seq;
    if (!w->agent.runner.have_room || b->born_ms != w->agent.runner.born_ms) {
        log_event(LOG_LEVEL_INFO, "worker_room",
            "millicores=%u memory_mb=%u gpus=%u born=%" PRIu64, b->millicores,
            b->memory_mb, b->gpus, b->born_ms);
    }
    rn_room(&w->agent.runner, now, b->millicores, b->memory_mb, b->gpus,
        b->born_ms);
    rn_draining(&w->agent.runner, now, b->draining, b->leaves, b->left_ms);
    if (b->draining != w->draining_told) {
        w->draining_told = b->draining;
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
    struct worker *w = ctx;
    struct wire_beat b;
    struct err e = {""};

    if (begins(web_path(r), LEAVE_PATH)) {
        log_event(LOG_LEVEL_INFO, "worker_left", "path=%s", web_path(r));
        rn_draining(&w->agent.runner, proc_now(), true, true, 0);
        web_reply(r, 200, "application/json", STR("{}"), 0);
    }
    else if (!begins(web_path(r), BEAT_PATH)) {
        web_reply(r, 404, "application/json", STR("{}"), 0);
    }
    else if (wire_read_beat(&b, web_body(r), &e) != WIRE_OK) {
        log_event(
            LOG_LEVEL_WARN, "announcement_unreadable", "error=\"%s\"", e.msg);
        web_reply(r, 400, "application/json", STR("{}"), 0);
    }
    else {
        take_beat(w, proc_now(), &b);
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
    struct worker *w = dw_zero(1, sizeof(*w));
    struct conf_endpoint at;
    struct web_cfg cfg = {at.addr, 0, 64, BEAT_BODY_MAX, IDLE_S};

    s->state = w;
    w->s = s;
    snprintf(w->url, sizeof(w->url), "http://%s",
        s->conf->platform.worker_endpoint);
    w->http = httpc_new(s->loop, WORKER_CONNECTIONS);
    w->look_http = httpc_new(s->loop, 1);
    ag_init(&w->agent, proc_now(), &ag_ops, w);
    conf_endpoint(&at, s->conf->platform.announce_listen);
    cfg.port = at.port;
    return web_open(&w->announce, s->loop, &cfg, on_announce, on_announce_gone,
               w, e) == WEB_OK
               ? 0
               : -1;
}

static void
agent_close(struct serve *s)
{
    struct worker *w = s->state;

    if (w == NULL) {
        return;
    }
    if (w->announce != NULL) {
        web_close(w->announce);
    }
    httpc_free(w->http);
    httpc_free(w->look_http);
    ag_free(&w->agent);
    free(w);
}

static void
agent_tick(struct serve *s, uint64_t now)
{
    struct worker *w = s->state;

    ag_tick(&w->agent, now);
}

static void
agent_flush(struct serve *s, uint64_t now)
{
    struct worker *w = s->state;

    ag_flush(&w->agent, now);
}

static void
agent_leave(struct serve *s, uint64_t now)
{
    struct worker *w = s->state;

    ag_leave(&w->agent, now);
}

static bool
agent_done(struct serve *s, uint64_t now)
{
    struct worker *w = s->state;

    return ag_done(&w->agent, now);
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
    const struct worker *w = s->state;
    const struct rn_stats *st = &w->agent.runner.stats;
    const struct sv_row rows[] = {
        {"dw_runs_started", st->started},
        {"dw_runs_done", st->done},
        {"dw_runs_failed", st->failed},
        {"dw_runs_lost_starts", st->lost_starts},
        {"dw_runs_lapsed", st->lapsed},
        {"dw_runs_orphans", st->orphans},
        {"dw_runs_full", st->full},
        {"dw_runs_active", rn_active(&w->agent.runner)},
        {"dw_worker_reborn", st->reborn},
        {"dw_worker_speed_permille", w->agent.runner.speed_permille},
    };

    sv_add_rows(b, rows, sizeof(rows) / sizeof(rows[0]));
    hist_format(&w->run_ms, "dw_run", b);
}

const struct sv_role sv_agent = {"agent", agent_open, agent_close, agent_tick,
    agent_flush, agent_message, agent_refused, agent_leave, agent_done,
    agent_woke, agent_metrics};
