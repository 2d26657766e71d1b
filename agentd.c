/*
 * agentd - the agent daemon on the users' platform
 *
 * Performs the I/O for agent and runner, which make the decisions: calls to
 * the worker beside this agent, its heartbeats, and messages to entries.
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

/* Connections to the worker for starts and stops; further calls are queued, as
 * a start takes about 2 ms and new connections are expensive. */
#define WORKER_CONNECTIONS 6U

/* State of the agent daemon. */
struct agentd {
    struct serve *s;
    struct agent agent;
    struct httpc *http;      /* starts, stops and immediate polls */
    struct httpc *poll_http; /* long polls */
    struct web *announce;    /* HTTP server for the worker's heartbeats */
    struct wl_log announce_log;
    char url[300];                 /* of the worker */
    uint64_t heartbeat_seq;        /* of the last heartbeat */
    uint64_t heartbeat_started_ms; /* start time of the worker that sent it */
    bool draining_logged;
    /* Response to a start while the runner decides on it; otherwise NULL. */
    const struct httpc_result *start_response;
    struct hist run_ms; /* of runs that succeeded */
    /* Key of the store that exists while the failure domain is withdrawn. */
    char domain_key[CT_NAME_MAX + sizeof(SV_EVACUATE_PREFIX)];
};

/* --- calls to the worker --- */

struct run_call {
    struct agentd *ad;
    struct rn_key key;
    uint64_t sent_ms;
    bool immediate; /* an immediate poll; see struct rn_poll */
};

/* A kind of call to the worker. */
struct run_call_type {
    const char *path;
    bool idempotent; /* see struct httpc_call */
    httpc_done_fn done;
};

/* key and header may be NULL. */
static struct run_call *
post(struct agentd *ad, struct httpc *http, const struct run_call_type *type,
    struct str body, uint32_t timeout_ms, const struct rn_key *key,
    const char *header)
{
    const char *const headers[] = {
        "Content-Type: application/json", header, NULL};
    struct run_call *c = dw_zero(1, sizeof(*c));
    struct httpc_call h = {0};
    char url[400];

    c->ad = ad;
    c->sent_ms = proc_now();
    if (key != NULL) {
        c->key = *key;
    }
    snprintf(url, sizeof(url), "%s/dunlinweir/%s", ad->url, type->path);
    h.method = "POST";
    h.url = url;
    h.headers = headers;
    h.body = body;
    h.timeout_ms = timeout_ms;
    h.connect_timeout_ms = timeout_ms;
    h.idempotent = type->idempotent;
    h.done = type->done;
    h.ctx = c;
    httpc_start(http, &h);
    return c;
}

static enum rn_start_result
start_result(const struct httpc_result *d)
{
    if (d->status == HTTPC_NOT_SENT) {
        return RN_START_UNREACHABLE;
    }
    if (d->status != HTTPC_OK) {
        return RN_START_LOST;
    }
    switch (d->http_status) {
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
on_started(void *ctx, const struct httpc_result *d)
{
    struct run_call *c = ctx;
    enum rn_start_result result = start_result(d);

    if (result != RN_START_OK) {
        log_event(LOG_LEVEL_INFO, "start_failed",
            "job=%016" PRIx64 " task=%" PRIu64 " run=%" PRIu64
            " code=%ld ms=%" PRIu64 " lost=%d sends=%u body=\"%.*s\"",
            c->key.job, c->key.index, c->key.run, d->http_status,
            proc_now() - c->sent_ms, result == RN_START_LOST, d->sends,
            (int)num_min(d->body.n, 100), d->body.n > 0 ? d->body.p : "");
    }
    c->ad->start_response = d;
    rn_start_answered(&c->ad->agent.runner, proc_now(), &c->key, result,
        d->status == HTTPC_OK ? wire_clock_ms(d->body) : 0);
    c->ad->start_response = NULL;
    free(c);
}

/* The worker may refuse a second copy of a start while the first one runs. */
static const struct run_call_type start_type = {
    "run-start", false, on_started};

static void
do_start(void *ctx, const struct rn_run *run, const struct rn_terms *terms)
{
    struct agentd *ad = ctx;
    struct buf b = {0};
    struct buf header = {0};

    wire_put_start(&b, run, terms);
    wire_put_worker_header(&header, terms);
    post(ad, ad->http, &start_type, buf_str(&b), RN_ANSWER_TIMEOUT_MS,
        &run->key, header.p);
    buf_free(&b);
    buf_free(&header);
}

static void
on_stopped(void *ctx, const struct httpc_result *d)
{
    struct run_call *c = ctx;

    rn_stop_answered(&c->ad->agent.runner, proc_now(), &c->key,
        d->status == HTTPC_OK && d->http_status == 200);
    free(c);
}

static const struct run_call_type stop_type = {"run-stop", true, on_stopped};

static void
do_stop(void *ctx, const struct rn_key *key, const struct rn_terms *terms)
{
    struct agentd *ad = ctx;
    struct buf b = {0};

    wire_put_stop(&b, key, terms);
    post(ad, ad->http, &stop_type, buf_str(&b), RN_ANSWER_TIMEOUT_MS, key,
        NULL);
    buf_free(&b);
}

static void
on_polled(void *ctx, const struct httpc_result *d)
{
    struct run_call *c = ctx;
    struct wire_poll poll = {0};
    struct err e = {""};

    if (d->status == HTTPC_OK && d->http_status == 200 &&
        wire_read_poll(&poll, d->body, &e) != WIRE_OK) {
        log_event(LOG_LEVEL_WARN, "look_unreadable", "error=\"%s\"", e.msg);
    }
    poll.result.sent_ms = c->sent_ms;
    poll.result.immediate = c->immediate;
    poll.result.unreachable = d->status == HTTPC_NOT_SENT;
    poll.result.fenced = d->status == HTTPC_OK && d->http_status == 409 &&
                         wire_is_fenced(d->body);
    rn_poll_answered(&c->ad->agent.runner, proc_now(), &poll.result);
    wire_poll_free(&poll);
    free(c);
}

static const struct run_call_type poll_type = {"hold", true, on_polled};

static void
do_poll(void *ctx, const struct rn_poll_request *request,
    const struct rn_terms *terms)
{
    struct agentd *ad = ctx;
    struct buf b = {0};
    struct buf header = {0};
    struct run_call *c;

    wire_put_poll(&b, request, terms);
    wire_put_worker_header(&header, terms);
    c = post(ad, request->immediate ? ad->http : ad->poll_http, &poll_type,
        buf_str(&b),
        request->immediate ? RN_ANSWER_TIMEOUT_MS
                           : request->wait_ms + RN_POLL_MARGIN_MS,
        NULL, header.p);
    c->immediate = request->immediate;
    buf_free(&b);
    buf_free(&header);
}

static const char *const outcome_names[] = {
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
    [RN_HELD] = "held",
};

static const char *const evidence_names[] = {
    [RN_EVIDENCE_NONE] = "unknown",
    [RN_EVIDENCE_LISTED] = "listed",
    [RN_EVIDENCE_REFUSED] = "refused",
    [RN_EVIDENCE_FENCED] = "fenced",
    [RN_EVIDENCE_UNREACHABLE] = "unreachable",
    [RN_EVIDENCE_ABSENT_STOPPED] = "absent_after_stop",
    [RN_EVIDENCE_ABSENT] = "absent",
    [RN_EVIDENCE_LEASE] = "lease_expired",
    [RN_EVIDENCE_NOT_SENT] = "not_sent",
    [RN_EVIDENCE_DROPPED] = "stopped_while_queued",
};

/* Appends the response to the start that shows that a run did not start. */
static void
add_start_response(
    struct buf *b, const struct agentd *ad, enum rn_evidence evidence)
{
    const struct httpc_result *d = ad->start_response;

    if (d == NULL ||
        (evidence != RN_EVIDENCE_REFUSED && evidence != RN_EVIDENCE_FENCED &&
            evidence != RN_EVIDENCE_UNREACHABLE)) {
        return;
    }
    buf_addf(b, " code=%ld sends=%u", d->http_status, d->sends);
    if (evidence == RN_EVIDENCE_UNREACHABLE) {
        buf_addf(b, " error=\"%s\"", d->error);
    }
    else {
        buf_addf(b, " body=\"%.*s\"", (int)num_min(d->body.n, 100),
            d->body.n > 0 ? d->body.p : "");
    }
}

static void
log_run_end(
    void *ctx, const struct rn_run *run, dw_end outcome, uint32_t ran_ms)
{
    struct agentd *ad = ctx;
    bool done = outcome == DW_END_DONE;
    struct buf response = {0};

    add_start_response(&response, ad, run->evidence);
    if (done) {
        hist_add(&ad->run_ms, ran_ms);
    }
    log_event(done ? LOG_LEVEL_INFO : LOG_LEVEL_WARN,
        done                     ? "run_done"
        : outcome == DW_END_FULL ? "run_full"
                                 : "run_ended",
        "job=%016" PRIx64 " task=%" PRIu64 " run=%" PRIu64 " entry=%016" PRIx64
        " how=%s why=%s state=%s waited_ms=%" PRIu64
        " ran_ms=%u est_ms=%u pace=%u%s",
        run->key.job, run->key.index, run->key.run, run->entry,
        outcome_names[outcome], evidence_names[run->evidence],
        state_names[run->state], run->sent_ms - run->received_ms, ran_ms,
        run->est_ms, ad->agent.runner.pace_permille,
        response.p != NULL ? response.p : "");
    buf_free(&response);
}

/* --- changes of the worker --- */

static void
log_worker_silent(const struct rn_event *e)
{
    log_event(LOG_LEVEL_WARN, "worker_silent",
        "polls_failed=%u unheard_ms=%" PRIu64 " active=%zu", e->polls_failed,
        e->unheard_ms, e->active);
}

static void
log_worker_answers(const struct rn_event *e)
{
    log_event(LOG_LEVEL_WARN, "worker_answers",
        "polls_failed=%u unheard_ms=%" PRIu64 " active=%zu outcomes=%zu",
        e->polls_failed, e->unheard_ms, e->active, e->outcomes);
}

static void
log_worker_restarted(const struct rn_event *e)
{
    log_event(LOG_LEVEL_WARN, "worker_reborn",
        "was_born=%" PRIu64 " born=%" PRIu64 " unheard_ms=%" PRIu64
        " active=%zu",
        e->former, e->incarnation, e->unheard_ms, e->active);
}

static void
log_worker_orphans(const struct rn_event *e)
{
    log_event(LOG_LEVEL_WARN, "worker_orphans",
        "job=%016" PRIx64 " task=%" PRIu64 " run=%" PRIu64
        " orphans=%zu active=%zu",
        e->key.job, e->key.index, e->key.run, e->orphans, e->active);
}

static void
log_no_orphans(const struct rn_event *e)
{
    log_event(LOG_LEVEL_INFO, "worker_orphans_gone", "active=%zu", e->active);
}

/* Logs proof that the reported end of a run was untrue. */
static void
log_contradiction(
    const struct rn_event *e, const char *event, const char *shown)
{
    log_event(LOG_LEVEL_WARN, event,
        "job=%016" PRIx64 " task=%" PRIu64 " run=%" PRIu64
        " %s reported=%s why=%s since_ms=%" PRIu64,
        e->end.key.job, e->end.key.index, e->end.key.run, shown,
        outcome_names[e->end.outcome], evidence_names[e->end.evidence],
        e->since_ms);
}

static void
log_end_contradicted(const struct rn_event *e)
{
    char shown[32];

    snprintf(shown, sizeof(shown), "how=%s", outcome_names[e->outcome]);
    log_contradiction(e, "run_ended_after_report", shown);
}

static void
log_alive(const struct rn_event *e)
{
    char shown[32];

    snprintf(shown, sizeof(shown), "percent=%u", e->percent);
    log_contradiction(e, "run_alive_after_report", shown);
}

static void
log_start_repeated(const struct rn_event *e)
{
    log_event(LOG_LEVEL_INFO, "start_repeated",
        "job=%016" PRIx64 " task=%" PRIu64 " run=%" PRIu64 " open=%u",
        e->key.job, e->key.index, e->key.run, e->open_starts);
}

static void
log_held(const struct rn_event *e)
{
    log_event(LOG_LEVEL_WARN, "run_held",
        "job=%016" PRIx64 " task=%" PRIu64 " run=%" PRIu64
        " how=%s open=%u hold_ms=%" PRIu64,
        e->key.job, e->key.index, e->key.run, outcome_names[e->outcome],
        e->open_starts, e->hold_ms);
}

static void
log_worker_event(void *ctx, const struct rn_event *e)
{
    static void (*const writers[])(const struct rn_event *e) = {
        [RN_EVENT_SILENT] = log_worker_silent,
        [RN_EVENT_ANSWERS] = log_worker_answers,
        [RN_EVENT_RESTARTED] = log_worker_restarted,
        [RN_EVENT_ORPHANS] = log_worker_orphans,
        [RN_EVENT_NO_ORPHANS] = log_no_orphans,
        [RN_EVENT_END_CONTRADICTED] = log_end_contradicted,
        [RN_EVENT_ALIVE] = log_alive,
        [RN_EVENT_START_REPEATED] = log_start_repeated,
        [RN_EVENT_HELD] = log_held,
    };

    (void)ctx;
    writers[e->kind](e);
}

/* --- entries --- */

static void
do_send(void *ctx, uint64_t to, const dw_msg *m)
{
    struct agentd *ad = ctx;

    link_send(ad->s->link, to, m);
}

static void
do_reconnect(void *ctx, uint64_t to)
{
    struct agentd *ad = ctx;

    link_disconnect(ad->s->link, to);
}

static void
log_session(void *ctx, uint64_t entry, const char *what, uint64_t silent_ms)
{
    (void)ctx;
    log_event(LOG_LEVEL_INFO, what, "entry=%016" PRIx64 " silent_ms=%" PRIu64,
        entry, silent_ms);
}

static const struct ag_ops ag_ops = {
    {do_start, do_stop, do_poll, NULL, log_worker_event, NULL}, do_send,
    do_reconnect, log_run_end, log_session};

static void
update_peer_address(struct agentd *ad, uint64_t from, const dw_orders *o)
{
    if (o->address.dw_bytes_len > 0) {
        sv_set_address(sv_peer(ad->s, from, true), &o->address, o->port);
    }
}

/* from is 0 if the store said so. */
static void
update_domain(
    struct agentd *ad, uint64_t now, uint64_t from, const dw_withdrawn *w)
{
    if (ag_handle_withdrawn(&ad->agent, now, w)) {
        log_event(LOG_LEVEL_INFO, w->withdrawn ? "domain_out" : "domain_back",
            "domain=%s rev=%" PRIu64 " age_ms=%u entry=%016" PRIx64,
            ad->s->conf->node.me.domain, (uint64_t)w->as_of, w->age_ms, from);
    }
}

static void
on_domain_read(void *ctx, const struct kv_response *r)
{
    struct agentd *ad = ctx;
    dw_withdrawn w = {r->rev, 0, false};
    struct str key = str_of(ad->domain_key);

    if (r->status != KV_OK) {
        log_event(LOG_LEVEL_WARN, "domain_unknown",
            "error=\"%s\" confirmed_ms=%" PRIu64, r->message,
            proc_now() - ad->agent.domain.confirmed_ms);
        return;
    }
    for (size_t i = 0; i < r->count; i++) {
        w.withdrawn |= str_eq(str_of(r->items[i].key), key);
    }
    update_domain(ad, proc_now(), 0, &w);
}

static void
agent_message(struct serve *s, uint64_t now, uint64_t from, const dw_msg *m)
{
    struct agentd *ad = s->state;

    if (m->type == DW_ORDERS) {
        update_peer_address(ad, from, &m->dw_msg_u.orders);
        ag_handle_orders(&ad->agent, now, from, &m->dw_msg_u.orders);
    }
    else if (m->type == DW_DEMAND) {
        ag_handle_demand(&ad->agent, now, from, &m->dw_msg_u.demand);
    }
    else if (m->type == DW_WITHDRAWN) {
        update_domain(ad, now, from, &m->dw_msg_u.withdrawn);
    }
}

static void
agent_refused(struct serve *s, uint64_t now, uint64_t id)
{
    struct agentd *ad = s->state;

    ag_entry_dead(&ad->agent, now, id);
}

/* --- heartbeats of the worker --- */

static void
handle_heartbeat(struct agentd *ad, uint64_t now,
    const struct wire_heartbeat *hb, struct str worker_id)
{
    if (hb->started_ms < ad->agent.runner.incarnation ||
        (hb->started_ms == ad->heartbeat_started_ms &&
            hb->seq <= ad->heartbeat_seq)) {
        return; /* delayed, or from an earlier incarnation of the worker */
    }
    ad->heartbeat_started_ms = hb->started_ms;
    ad->heartbeat_seq = hb->seq;
    if (!ad->agent.runner.capacity_known ||
        hb->started_ms != ad->agent.runner.incarnation) {
        log_event(LOG_LEVEL_INFO, "worker_room",
            "worker=%.*s millicores=%u memory_mb=%u gpus=%u born=%" PRIu64,
            (int)worker_id.n, worker_id.p, hb->millicores, hb->memory_mb,
            hb->gpus, hb->started_ms);
    }
    rn_set_worker_id(&ad->agent.runner, now, hb->started_ms, worker_id);
    rn_set_capacity(&ad->agent.runner, now, hb->millicores, hb->memory_mb,
        hb->gpus, hb->started_ms);
    rn_set_draining(
        &ad->agent.runner, now, hb->draining, hb->has_left_ms, hb->left_ms);
    if (hb->draining != ad->draining_logged) {
        ad->draining_logged = hb->draining;
        log_event(LOG_LEVEL_INFO,
            hb->draining ? "worker_draining" : "worker_ready",
            "left_ms=%" PRIu64, hb->left_ms);
    }
}

#define HEARTBEAT_PATH "/dunlinweir/Instances.Heartbeat/"
#define DEREGISTER_PATH "/dunlinweir/Instances.Deregister/"

static bool
has_prefix(const char *z, const char *prefix)
{
    return strncmp(z, prefix, strlen(prefix)) == 0;
}

static void
on_heartbeat(struct agentd *ad, struct web_req *r)
{
    struct str id = wire_worker_id(str_of(web_path(r)), STR(HEARTBEAT_PATH));
    struct wire_heartbeat hb;
    struct err e = {""};

    if (wire_read_heartbeat(&hb, web_body(r), &e) != WIRE_OK) {
        log_event(
            LOG_LEVEL_WARN, "announcement_unreadable", "error=\"%s\"", e.msg);
        web_reply(r, 400, "application/json", STR("{}"), 0);
    }
    else if (wire_check_heartbeat(&hb, id, ad->s->conf->platform.service,
                 proc_wall(), &e) != WIRE_OK) {
        log_event(LOG_LEVEL_WARN, "announcement_foreign",
            "worker=%.*s error=\"%s\"", (int)id.n, id.p, e.msg);
        web_reply(r, 400, "application/json", STR("{}"), 0);
    }
    else {
        handle_heartbeat(ad, proc_now(), &hb, id);
        web_reply(r, 200, "application/json", STR("{}"), 0);
    }
}

static void
on_deregistration(struct agentd *ad, struct web_req *r)
{
    struct str id = wire_worker_id(str_of(web_path(r)), STR(DEREGISTER_PATH));
    const char *worker_id = ad->agent.runner.worker_id;

    log_event(LOG_LEVEL_INFO, "worker_left", "path=%s", web_path(r));
    if (worker_id[0] == '\0' || str_is(id, worker_id)) {
        rn_set_draining(&ad->agent.runner, proc_now(), true, true, 0);
    }
    web_reply(r, 200, "application/json", STR("{}"), 0);
}

static void
on_announce(void *ctx, struct web_req *r)
{
    struct agentd *ad = ctx;

    if (has_prefix(web_path(r), DEREGISTER_PATH)) {
        on_deregistration(ad, r);
    }
    else if (has_prefix(web_path(r), HEARTBEAT_PATH)) {
        on_heartbeat(ad, r);
    }
    else {
        web_reply(r, 404, "application/json", STR("{}"), 0);
    }
}

static void
on_announce_disconnected(void *ctx, struct web_req *r)
{
    (void)ctx;
    (void)r;
}

/* --- the role --- */

static int
agent_open(struct serve *s, struct err *e)
{
    struct agentd *ad = dw_zero(1, sizeof(*ad));
    struct conf_endpoint at;
    struct web_cfg cfg = {at.addr, 0, s->conf->ports};

    s->state = ad;
    ad->s = s;
    snprintf(ad->url, sizeof(ad->url), "http://%s",
        s->conf->platform.worker_endpoint);
    snprintf(ad->domain_key, sizeof(ad->domain_key), SV_EVACUATE_PREFIX "%s",
        s->conf->node.me.domain);
    ad->http = httpc_new(s->loop, WORKER_CONNECTIONS);
    ad->poll_http = httpc_new(s->loop, 1);
    ag_init(&ad->agent, proc_now(), &ag_ops, ad);
    ad->agent.runner.runs_max = s->conf->runs_max;
    conf_endpoint(&at, s->conf->platform.announce_listen);
    cfg.port = at.port;
    return web_open(&ad->announce, s->loop, &cfg, on_announce,
               on_announce_disconnected, ad, e) == WEB_OK
               ? 0
               : -1;
}

static void
agent_close(struct serve *s)
{
    struct agentd *ad = s->state;

    if (ad == NULL) {
        return;
    }
    if (ad->announce != NULL) {
        web_close(ad->announce);
    }
    httpc_free(ad->http);
    httpc_free(ad->poll_http);
    ag_free(&ad->agent);
    free(ad);
}

static void
agent_tick(struct serve *s, uint64_t now)
{
    struct agentd *ad = s->state;

    ag_tick(&ad->agent, now);
    wl_tick(&ad->announce_log, now, "announce", ad->announce);
    if (ag_must_read_domain(&ad->agent, now)) {
        kv_range(ad->s->kv, ad->domain_key, NULL, on_domain_read, ad);
    }
}

static void
agent_flush(struct serve *s, uint64_t now)
{
    struct agentd *ad = s->state;

    ag_flush(&ad->agent, now);
}

static void
agent_leave(struct serve *s, uint64_t now)
{
    struct agentd *ad = s->state;

    ag_leave(&ad->agent, now);
}

/* Nobody waits for an answer of an agent: its entries repeat what is lost. */
static void
agent_give_up(struct serve *s, uint64_t now)
{
    (void)s;
    (void)now;
}

static bool
agent_done(struct serve *s, uint64_t now)
{
    struct agentd *ad = s->state;

    return ag_done(&ad->agent, now);
}

static void
agent_resumed(struct serve *s, uint64_t now, uint64_t paused_ms)
{
    /* Expire the sessions' leases before pending messages are read. */
    (void)paused_ms;
    agent_tick(s, now);
}

static void
agent_metrics(struct serve *s, struct buf *b)
{
    const struct agentd *ad = s->state;
    const struct rn_stats *st = &ad->agent.runner.stats;
    const struct sv_metric rows[] = {
        {"dw_runs_started", st->started},
        {"dw_runs_done", st->done},
        {"dw_runs_failed", st->failed},
        {"dw_runs_lost_starts", st->lost_starts},
        {"dw_runs_starts_repeated", st->repeated},
        {"dw_runs_held", rn_held_count(&ad->agent.runner)},
        {"dw_runs_held_total", st->held},
        {"dw_runs_lapsed", st->lease_expired},
        {"dw_runs_contradicted", st->contradicted},
        {"dw_runs_not_run", rn_not_run_count(st)},
        {"dw_runs_not_run_refused", st->not_run[RN_EVIDENCE_REFUSED]},
        {"dw_runs_not_run_fenced", st->not_run[RN_EVIDENCE_FENCED]},
        {"dw_runs_not_run_unreachable", st->not_run[RN_EVIDENCE_UNREACHABLE]},
        {"dw_runs_not_run_by_stop", st->not_run[RN_EVIDENCE_ABSENT_STOPPED]},
        {"dw_runs_orphans", st->orphans},
        {"dw_runs_full", st->no_capacity},
        {"dw_runs_active", rn_active_count(&ad->agent.runner)},
        {"dw_demand_received", ad->agent.demand_received},
        {"dw_demand_ignored", ad->agent.demand_ignored},
        {"dw_supply_sent", ad->agent.supply_sent},
        {"dw_domain_withdrawn", ad->agent.domain.withdrawn},
        {"dw_domain_reads", ad->agent.domain.reads},
        {"dw_worker_reborn", st->worker_restarts},
        {"dw_worker_speed_permille", ad->agent.runner.speed_permille},
        {"dw_worker_copies",
            httpc_copies(ad->http) + httpc_copies(ad->poll_http)},
    };

    sv_add_metrics(b, rows, sizeof(rows) / sizeof(rows[0]));
    sv_add_web_metrics(b, "announce", ad->announce);
    hist_format(&ad->run_ms, "dw_run", b);
}

const struct sv_role sv_agent = {"agent", agent_open, agent_close, agent_tick,
    agent_flush, agent_message, agent_refused, agent_leave, agent_give_up,
    agent_done, agent_resumed, agent_metrics};
