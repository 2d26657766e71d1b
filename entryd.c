/*
 * entryd - the entry on the users' platform: carries out what coord decides
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "coord.h"
#include "hist.h"
#include "intake.h"
#include "lag.h"
#include "log.h"
#include "news.h"
#include "num.h"
#include "platform/follow.h"
#include "platform/wire.h"
#include "proc.h"
#include "rank.h"
#include "relay.h"
#include "route.h"
#include "serve.h"

/* ms a watch of the operators' part waits: a connection may fall silent for
 * good, and changes must be in force within two seconds. */
#define WATCH_OPERATORS_MS 800U
/* ms a watch of the members waits; sessions show who lives, so this only
 * delays newcomers. */
#define WATCH_MEMBERS_MS 2000U
/* ms after SIGTERM in which new connections may still be sent here, as the
 * balancer needs two missed looks of a second each. */
#define ACCEPT_MS 2600U
/* ms a request may have waited unread while the machine stood still, after
 * which its caller has tried elsewhere. */
#define STALE_MS CO_PAUSE_MS
#define STALE_WINDOW_MS 40U
/* ms before the platform's kill from which on a job is no longer taken: the
 * longest seen take two seconds. */
#define TAKE_MS 2400U
/* Part of the time busy below which requests of others are welcome, and above
 * which others may soon be needed. */
#define WILLING_BUSY 0.5
#define NEED_BUSY 0.5
#define CALLERS_MAX 3000U
#define BODY_MAX (1U << 20)
#define IDLE_S 30U
/* ms after which a request that was refused as the entry is behind may come
 * back: another entry takes it. */
#define BEHIND_RETRY_MS 1000U
/* Callers that say no deadline. */
#define LEFT_MS 10000U

/* Who waits for a job: a caller here, or another entry for one there. */
struct caller {
    struct web_req *req; /* NULL: the other */
    struct rl_taken *taken;
};

struct entry {
    struct serve *s;
    struct coord coord;
    struct rk_table ranks;
    struct rt_table routes;
    struct web *callers;
    struct web *ready;
    struct follow *operators;
    struct follow *members;
    struct relay relay;
    double give_credit; /* requests due to be given away */
    uint64_t given;
    uint64_t taken;
    struct news news;
    struct hist answer_ms; /* from a request to its answer */
    uint64_t asked_last;   /* the entry asked for news last */
    uint64_t load_line_ms;
    bool accepting;
    struct intake intake;
    struct lag lag;
    bool was_out;          /* of rotation, as logged last */
    uint32_t missed_looks; /* of the balancer since it is out */
    uint64_t turned_away;
    ev_check pass_check;
    ev_timer more;     /* requests are left over for the next pass */
    uint64_t stale_ms; /* requests read before this time waited too long */
};

/* --- carrying out --- */

static void
send_message(void *ctx, uint64_t to, const dw_msg *m)
{
    struct entry *e = ctx;

    link_send(e->s->link, to, m);
}

static void
note_job(void *ctx, const struct co_job *j, const char *why)
{
    struct entry *e = ctx;
    uint64_t now = proc_now();
    bool done = strcmp(why, "done") == 0;

    hist_add(&e->answer_ms, now - j->come_ms);
    log_event(done ? LOG_LEVEL_INFO : LOG_LEVEL_WARN,
        done ? "job_done" : "job_ended",
        "job=%016" PRIx64 " why=%s tasks=%u done=%u begun=%d ms=%" PRIu64
        " objective_ms=%" PRIu64 " left_ms=%" PRIu64 " speed=%u",
        j->id, why, j->count, j->done, j->begun, now - j->come_ms,
        j->objective_ms - j->come_ms, num_minus(j->deadline_ms, now),
        e->coord.fleet.speed);
}

static void
note_refusal(void *ctx, const struct co_submit *s, const struct gs_guess *g,
    const char *why, uint64_t waiting_ms)
{
    struct entry *e = ctx;
    struct fl_sum sum = fl_sum_up(&e->coord.fleet, proc_now(), s->service,
        s->count > 0 ? s->tasks[0].millicores : 1);

    log_event(LOG_LEVEL_WARN, "job_refused",
        "job=%016" PRIx64 " why=%s tasks=%zu run_ms=%u left_ms=%u"
        " use_ms=%u waiting_ms=%" PRIu64 " capacity=%" PRId64 " free=%" PRId64,
        s->id, why, s->count, g->run_ms, s->left_ms, g->use_ms, waiting_ms,
        sum.capacity, sum.free);
}

static void
note_run(void *ctx, const struct co_job *j, uint32_t index, const char *what)
{
    struct entry *e = ctx;
    const struct co_task *t = &j->tasks[index];
    const struct fl_agent *a = fl_find(&e->coord.fleet, t->agent);

    log_event(LOG_LEVEL_WARN, what,
        "job=%016" PRIx64 " task=%u run=%" PRIu64
        " agent=%s failed=%u ms=%" PRIu64 " pace=%u room_age_ms=%" PRIu64,
        j->id, index, t->run, a != NULL ? a->name : "gone", t->failed,
        proc_now() - t->sent_ms, a != NULL ? a->room.pace_permille : 0,
        a != NULL ? proc_now() - a->sess.heard_ms : 0);
}

static void
note_agent(void *ctx, const struct fl_agent *a, const char *what)
{
    bool lost =
        strcmp(what, "agent_silent") == 0 || strcmp(what, "agent_dead") == 0;

    (void)ctx;
    log_event(lost ? LOG_LEVEL_WARN : LOG_LEVEL_INFO, what,
        "agent=%s id=%016" PRIx64 " heard_ms=%" PRIu64 " runs=%u", a->name,
        a->id, proc_now() - a->sess.heard_ms, a->out);
}

static void
reply_text(struct web_req *r, unsigned status, const char *text)
{
    web_reply(r, status, "application/json", str_of(text), 0);
}

static void
reply_not_run(struct web_req *r, const char *reason, uint32_t retry_ms)
{
    struct buf b = {0};

    buf_addf(&b, "{\"error\":\"%s\"}", reason);
    web_reply(r, 503, "application/json", buf_str(&b),
        (uint32_t)num_max(1, (retry_ms + 999) / 1000));
    buf_free(&b);
}

static void
reply_to(struct web_req *r, dw_how how, const char *reason, uint32_t retry_ms)
{
    static const struct {
        unsigned status;
        const char *text;
    } replies[] = {
        [DW_HOW_COMPLETED] = {200, "{\"state\":\"completed\"}"},
        [DW_HOW_FAILED] = {200, "{\"state\":\"failed\"}"},
        [DW_HOW_GAVE_UP] = {504, "{\"error\":\"gave_up\"}"},
    };

    if (how == DW_HOW_NOT_RUN) {
        reply_not_run(r, reason, retry_ms);
    }
    else {
        reply_text(r, replies[how].status, replies[how].text);
    }
}

static void
answer(struct entry *e, struct caller *c, dw_how how, const char *reason,
    uint32_t retry_ms)
{
    if (c->req != NULL) {
        web_set_ctx(c->req, NULL);
        reply_to(c->req, how, reason, retry_ms);
    }
    else {
        rl_reply(&e->relay, c->taken, how, reason, retry_ms);
    }
    free(c);
}

static void
answer_job(void *ctx, void *handle, enum co_outcome outcome,
    const char *reason, uint32_t retry_ms)
{
    static const dw_how hows[] = {
        [CO_COMPLETED] = DW_HOW_COMPLETED,
        [CO_FAILED] = DW_HOW_FAILED,
        [CO_GAVE_UP] = DW_HOW_GAVE_UP,
        [CO_NOT_RUN] = DW_HOW_NOT_RUN,
    };

    answer(ctx, handle, hows[outcome], reason, retry_ms);
}

static const struct co_ops co_ops = {
    send_message, answer_job, note_job, note_refusal, note_run, note_agent};

/* --- callers --- */

static uint32_t
left_ms(const struct web_req *r)
{
    const char *z = web_header(r, "Deadline-Remaining");
    char *end;
    double ms;

    if (z == NULL) {
        return LEFT_MS;
    }
    ms = strtod(z, &end);
    return end == z || ms < 0 || ms > 86400000.0 ? LEFT_MS : (uint32_t)ms;
}

static struct str
path_of(const struct caller *c)
{
    return str_of(c->req != NULL ? web_path(c->req) : c->taken->path);
}

static struct str
host_of(const struct caller *c)
{
    return str_of(
        c->req != NULL ? web_header(c->req, "Host") : c->taken->host);
}

static struct str
body_of(const struct caller *c)
{
    return c->req != NULL ? web_body(c->req) : buf_str(&c->taken->body);
}

static void
answer_bad(struct entry *e, struct caller *c, const char *why)
{
    struct web_req *r = c->req;

    if (r == NULL) {
        answer(e, c, DW_HOW_NOT_RUN, "bad_job", 0);
        return;
    }
    web_set_ctx(r, NULL);
    free(c);
    web_problem(r, 400, "bad_job", why, 0);
}

static void
submit(struct entry *e, uint64_t now, struct caller *c,
    const struct rt_route *route, uint64_t id)
{
    struct wire_job job;
    struct err why = {""};
    struct co_submit s = {0};
    enum wire_status st = wire_read_job(&job, body_of(c), &why);

    if (st != WIRE_OK) {
        log_event(LOG_LEVEL_WARN, "job_refused",
            "job=%016" PRIx64 " route=%s why=\"%s\"", id, route->name,
            why.msg);
        if (st == WIRE_UNSUPPORTED) {
            answer(e, c, DW_HOW_NOT_RUN, "not_served", 5000);
        }
        else {
            answer_bad(e, c, why.msg);
        }
        return;
    }
    s.id = id;
    s.wall_ms = proc_wall();
    s.spec = job.spec;
    s.service = route->service;
    s.priority = route->priority;
    s.attempts = route->attempts;
    s.route_name = route->name;
    s.route = (struct gs_route){route->stretch_milli, route->slo_ms};
    s.left_ms = c->req != NULL ? left_ms(c->req) : c->taken->left_ms;
    s.tasks = job.tasks;
    s.count = job.count;
    co_submit(&e->coord, now, &s, c);
    wire_job_free(&job);
}

static void
reply_pending(struct entry *e, struct web_req *r)
{
    struct buf b = {0};

    buf_addf(&b, "{\"pending\":%zu}", co_pending(&e->coord));
    web_reply(r, 200, "application/json", buf_str(&b), 0);
    buf_free(&b);
}

/* NULL if nothing is served there; the job's id, or 0 for the queue itself. */
static const struct rt_route *
find_route(struct entry *e, struct str host, struct str path, uint64_t *id)
{
    const struct rt_route *route = rt_match(&e->routes, host, path);

    *id = 0;
    if (route != NULL && path.n > route->prefix_n &&
        !wire_job_id(
            str_make(path.p + route->prefix_n, path.n - route->prefix_n),
            id)) {
        return NULL;
    }
    return route;
}

/* Why no job is begun now; NULL if one is. */
static const char *
closed_for(const struct entry *e, uint64_t now)
{
    if (e->routes.version == 0) {
        return "no_configuration";
    }
    if (e->s->leaving &&
        now + TAKE_MS > e->s->leave_ms + e->s->conf->platform.grace_ms) {
        return "leaving";
    }
    return now < e->stale_ms ? "paused" : NULL;
}

static void
begin_job(struct entry *e, uint64_t now, struct caller *c)
{
    const char *why = closed_for(e, now);
    const struct rt_route *route;
    struct str path = path_of(c);
    uint64_t id;

    if (why != NULL) {
        log_event(LOG_LEVEL_WARN, "request_refused", "path=%.*s why=%s",
            (int)path.n, path.p, why);
        answer(e, c, DW_HOW_NOT_RUN, why, 1000);
        return;
    }
    route = find_route(e, host_of(c), path, &id);
    if (route != NULL && id != 0) {
        submit(e, now, c, route, id);
    }
    else if (c->req == NULL) {
        answer(e, c, DW_HOW_NOT_RUN, "no_route", 1000);
    }
    else {
        web_set_ctx(c->req, NULL);
        reply_text(c->req, 404, "{\"error\":\"no_route\"}");
        free(c);
    }
}

static void
cancel(struct entry *e, uint64_t now, struct web_req *r, uint64_t id)
{
    struct caller *given = rl_find(&e->relay, str_of(web_path(r)));

    if (given != NULL) {
        rl_drop(&e->relay, given);
        answer(e, given, DW_HOW_FAILED, "cancelled", 0);
        reply_text(r, 200, "{}");
        return;
    }
    reply_text(r, co_cancel(&e->coord, now, id) ? 200 : 410, "{}");
}

static void
tell_state(struct entry *e, struct web_req *r, uint64_t id)
{
    if (co_known(&e->coord, id) ||
        rl_find(&e->relay, str_of(web_path(r))) != NULL) {
        reply_text(r, 200, "{\"state\":\"running\"}");
    }
    else {
        reply_text(r, 410, "{}");
    }
}

/* Whatever is no job to be begun. */
static void
serve_other(struct entry *e, uint64_t now, struct web_req *r)
{
    const char *method = web_method(r);
    const struct rt_route *route;
    uint64_t id;

    if (e->routes.version == 0) {
        reply_not_run(r, "no_configuration", 1000);
        return;
    }
    route =
        find_route(e, str_of(web_header(r, "Host")), str_of(web_path(r)), &id);
    if (route == NULL) {
        reply_text(r, 404, "{\"error\":\"no_route\"}");
    }
    else if (id == 0) {
        reply_pending(e, r);
    }
    else if (strcmp(method, "GET") == 0) {
        tell_state(e, r, id);
    }
    else if (strcmp(method, "DELETE") == 0) {
        cancel(e, now, r, id);
    }
    else {
        web_problem(r, 405, "bad_method", "want POST, GET or DELETE", 0);
    }
}

/* --- requests that others had better begin --- */

/* ms that a taker's loop may be late with ending the jobs of a giver. */
#define GIVE_LATE_MS 150U
/* A caller sends again so long after an answer that was lost.  Until then a
 * taker that no longer hears this entry has ended its job, and the taker's
 * agents what they run of it, though they no longer hear the taker. */
#define GIVE_RESEND_MS                                                        \
    (SESS_LEASE_MS + SESS_LEASE_MS + RN_STOP_MS + RN_LAPSE_MS + GIVE_LATE_MS)

static bool
give_away(struct entry *e, uint64_t now, struct caller *c)
{
    if (e->s->conf->platform.resend_ms < GIVE_RESEND_MS ||
        closed_for(e, now) != NULL ||
        !rl_give(&e->relay, now, c, host_of(c), path_of(c), body_of(c),
            left_ms(c->req))) {
        return false;
    }
    e->given++;
    return true;
}

/* As many of those that come as lag says. */
static bool
is_to_be_given(struct entry *e)
{
    e->give_credit = e->give_credit >= 1 ? e->give_credit - 1 : e->give_credit;
    e->give_credit += lg_give_part(&e->lag);
    return e->give_credit >= 1;
}

static void
begin_taken(void *ctx, struct rl_taken *t)
{
    struct entry *e = ctx;
    struct caller *c = dw_zero(1, sizeof(*c));

    e->taken++;
    c->taken = t;
    t->data = c;
    if (!it_add(&e->intake, proc_now_us(), c)) {
        answer(e, c, DW_HOW_NOT_RUN, "behind", BEHIND_RETRY_MS);
    }
}

static void
leave_taken(void *ctx, struct rl_taken *t)
{
    struct entry *e = ctx;

    if (!it_drop(&e->intake, t->data)) {
        co_leave(&e->coord, proc_now(), t->data);
    }
    free(t->data);
}

static void
answer_given(
    void *ctx, void *handle, dw_how how, struct str reason, uint32_t retry_ms)
{
    char text[64];

    str_copy(text, sizeof(text), reason);
    answer(ctx, handle, how, text, retry_ms);
}

static void
note_relay(void *ctx, uint64_t entry, const char *what, uint64_t ms)
{
    (void)ctx;
    log_event(LOG_LEVEL_INFO, what, "entry=%016" PRIx64 " heard_ms=%" PRIu64,
        entry, ms);
}

static const struct rl_ops rl_ops = {
    send_message, begin_taken, leave_taken, answer_given, note_relay};

/* The loop is not to wait before its next pass. */
static void
want_pass(struct entry *e)
{
    if (!ev_is_active(&e->more)) {
        ev_timer_set(&e->more, 0.0, 0.0);
        ev_timer_start(e->s->loop, &e->more);
    }
}

static void
turn_away(struct entry *e, struct caller *c, const char *why)
{
    struct str path = path_of(c);

    e->turned_away++;
    log_event(LOG_LEVEL_WARN, "request_refused",
        "path=%.*s why=%s waiting=%zu wait_us=%.0f", (int)path.n, path.p, why,
        it_count(&e->intake), it_wait_us(&e->intake));
    answer(e, c, DW_HOW_NOT_RUN, "behind", BEHIND_RETRY_MS);
}

/* All but jobs is answered at once. */
static void
on_caller(void *ctx, struct web_req *r)
{
    struct entry *e = ctx;
    uint64_t now = proc_now();
    struct caller *c;

    if (strcmp(web_method(r), "POST") != 0) {
        serve_other(e, now, r);
        return;
    }
    c = dw_zero(1, sizeof(*c));
    c->req = r;
    web_set_ctx(r, c);
    if (is_to_be_given(e) && give_away(e, now, c)) {
        return;
    }
    if (it_add(&e->intake, proc_now_us(), c)) {
        want_pass(e);
    }
    else if (!give_away(e, now, c)) {
        turn_away(e, c, "would_wait");
    }
}

/* After a start callers are there at once, the configuration some ms later:
 * they wait for it as they would for their turn. */
static void
begin_requests(struct entry *e, uint64_t now)
{
    enum it_turn turn;
    void *c;

    while (e->routes.version == 0) {
        c = it_late(&e->intake, proc_now_us());
        if (c == NULL) {
            return;
        }
        begin_job(e, now, c);
    }
    for (;;) {
        turn = it_next(&e->intake, proc_now_us(), &c);
        if (turn == IT_NONE) {
            break;
        }
        if (turn == IT_REFUSE) {
            turn_away(e, c, "waited");
        }
        else {
            begin_job(e, now, c);
        }
    }
    if (it_count(&e->intake) == 0) {
        ev_timer_stop(e->s->loop, &e->more);
    }
    else {
        want_pass(e);
    }
}

static void
on_more(struct ev_loop *loop, ev_timer *t, int revents)
{
    (void)loop;
    (void)t;
    (void)revents;
}

static void
on_caller_gone(void *ctx, struct web_req *r)
{
    struct entry *e = ctx;
    struct caller *c = web_ctx(r);

    if (c == NULL) {
        return;
    }
    if (!it_drop(&e->intake, c) && !rl_drop(&e->relay, c)) {
        co_leave(&e->coord, proc_now(), c);
    }
    free(c);
}

static bool
is_ready(const struct entry *e)
{
    return !e->s->leaving && e->routes.version != 0 && !lg_is_out(&e->lag) &&
           fl_sum_up(&e->coord.fleet, proc_now(), NULL, 1).capacity > 0;
}

/* Looks of the balancer that find an entry not ready until it gets no new
 * connections. */
#define LOOKS_TO_LEAVE 2U

static void
on_ready(void *ctx, struct web_req *r)
{
    struct entry *e = ctx;

    /* Callers that connect anew sooner would come back here. */
    if (lg_is_out(&e->lag) && ++e->missed_looks == LOOKS_TO_LEAVE) {
        web_send_elsewhere(e->callers, true);
    }
    reply_text(r, is_ready(e) ? 200 : 503, "{}");
}

static void
on_ready_gone(void *ctx, struct web_req *r)
{
    (void)ctx;
    (void)r;
}

/* --- what operators want --- */

#define CONFIG_KEY "op/config"
#define EVACUATE_PREFIX "op/evacuate/"

static void
take_config(struct entry *e, struct str text)
{
    struct rt_table fresh;
    struct err why = {""};
    size_t left_out;
    uint64_t version;

    if (wire_read_config(&fresh, text, &left_out, &why) != WIRE_OK) {
        log_event(LOG_LEVEL_ERROR, "config_refused", "error=\"%s\"", why.msg);
        return;
    }
    if (left_out > 0) {
        log_event(LOG_LEVEL_WARN, "config_routes_left_out",
            "count=%zu last=\"%s\"", left_out, why.msg);
    }
    version = fresh.version;
    if (rt_adopt(&e->routes, &fresh)) {
        log_event(LOG_LEVEL_INFO, "config_in_force",
            "version=%" PRIu64 " routes=%zu", version, e->routes.count);
    }
}

static void
tell_withdrawn(struct entry *e)
{
    fl_withdraw(&e->coord.fleet, (const char *const *)e->news.withdrawn,
        e->news.withdrawn_count);
}

static void
operators_item(struct entry *e, const struct kv_item *it)
{
    const char *domain = it->key + sizeof(EVACUATE_PREFIX) - 1;

    if (strcmp(it->key, CONFIG_KEY) == 0 && !it->deleted) {
        nw_config(&e->news, it->value, it->rev);
        take_config(e, it->value);
    }
    else if (strncmp(it->key, EVACUATE_PREFIX, sizeof(EVACUATE_PREFIX) - 1) ==
             0) {
        nw_domain(&e->news, domain, !it->deleted, it->rev);
        log_event(LOG_LEVEL_INFO, it->deleted ? "domain_back" : "domain_out",
            "domain=%s rev=%" PRIu64, domain, it->rev);
    }
}

static void
operators_whole(void *ctx, const struct kv_item *items, size_t n, uint64_t rev)
{
    struct entry *e = ctx;

    nw_clear_domains(&e->news);
    for (size_t i = 0; i < n; i++) {
        operators_item(e, &items[i]);
    }
    nw_seen(&e->news, rev);
    tell_withdrawn(e);
}

static void
operators_change(void *ctx, const struct kv_item *it)
{
    struct entry *e = ctx;

    operators_item(e, it);
    nw_seen(&e->news, it->rev);
    tell_withdrawn(e);
}

static void
note_store(bool answers, const char *message)
{
    log_event(answers ? LOG_LEVEL_INFO : LOG_LEVEL_WARN,
        answers ? "store_regained" : "store_lost", "message=\"%s\"", message);
}

static void
operators_state(void *ctx, bool answers, const char *message)
{
    struct entry *e = ctx;

    nw_store(&e->news, proc_now(), answers);
    note_store(answers, message);
}

/* Entries other than this one, in the order of their ids after ours, so that
 * not all ask the same. */
#define ASKED_MAX 2U

static void
ask_others(struct entry *e)
{
    struct sv_peer *p;
    uint32_t asked = 0;
    dw_msg m;

    nw_question(&e->news, &m);
    for (p = e->s->peers; p != NULL && asked < ASKED_MAX; p = p->hh.next) {
        if (!p->is_agent && p->entered && p->id != e->s->id &&
            p->id != e->asked_last) {
            link_send(e->s->link, p->id, &m);
            e->asked_last = p->id;
            asked++;
        }
    }
}

static void
take_news(struct entry *e, uint64_t from, const dw_news *told)
{
    dw_msg answer;

    if (told->question) {
        nw_seen(&e->news, e->news.answers ? follow_rev(e->operators) : 0);
        if (nw_answer(&e->news, told, &answer)) {
            link_send(e->s->link, from, &answer);
            xdr_free((xdrproc_t)xdr_dw_msg, &answer);
        }
    }
    else if (nw_take(&e->news, told)) {
        log_event(LOG_LEVEL_INFO, "news_from_entry",
            "entry=%016" PRIx64 " as_of=%" PRIu64, from,
            (uint64_t)told->as_of);
        take_config(e, buf_str(&e->news.config));
        tell_withdrawn(e);
    }
}

static const struct follow_events operators_events = {
    operators_whole, operators_change, operators_state};

/* --- members --- */

static void
find_rank(struct entry *e)
{
    const struct view_member *me = &e->s->conf->node.me;
    struct rk_place place =
        rk_find(&e->ranks, proc_now(), me->name, me->domain);

    fl_set_rank(&e->coord.fleet, place.near, place.all);
}

static void
member_in(struct entry *e, const struct sv_peer *told)
{
    struct sv_peer *p = sv_peer(e->s, told->id, true);
    UT_hash_handle hh = p->hh;
    struct fl_agent *a;

    *p = *told;
    p->hh = hh;
    if (!p->is_agent) {
        rk_in(&e->ranks, p->name, p->domain);
        find_rank(e);
        rl_entry_in(&e->relay, p->id);
        return;
    }
    a = fl_add(&e->coord.fleet, p->id, p->name, p->domain, p->service);
    a->member = true;
}

/* --- what jobs take, kept for whoever starts next --- */

#define TIMES_PREFIX SV_PREFIX "times/"

static void
on_times_kept(void *ctx, const struct kv_answer *a)
{
    (void)ctx;
    if (a->status != KV_OK) {
        log_event(
            LOG_LEVEL_WARN, "times_not_kept", "error=\"%s\"", a->message);
    }
}

static void
on_times_lease(void *ctx, const struct kv_answer *a)
{
    struct entry *e = ctx;
    struct buf key = {0};
    struct buf value = {0};

    if (a->status != KV_OK || a->lease == 0) {
        on_times_kept(ctx, a);
        return;
    }
    buf_addf(&key, TIMES_PREFIX "%s", e->s->conf->node.me.name);
    gs_save(&e->coord.times, &value);
    if (value.n > 0) {
        kv_put(e->s->kv, key.p, buf_str(&value), a->lease, on_times_kept, e);
    }
    buf_free(&key);
    buf_free(&value);
}

static void
keep_times(struct entry *e, uint64_t now)
{
    if (gs_keep_due(&e->coord.times, now)) {
        kv_lease(e->s->kv, GS_KEEP_MS, on_times_lease, e);
    }
}

static void
times_change(struct entry *e, const struct kv_item *it)
{
    if (!it->deleted && !gs_load(&e->coord.times, it->value)) {
        log_event(LOG_LEVEL_WARN, "times_unreadable", "key=%s", it->key);
    }
}

/* A key that vanished says little: a session shows better who lives. */
static void
member_out(struct entry *e, const char *key)
{
    const char *name = key + sizeof(SV_PREFIX) - 1;
    struct sv_peer *p;
    struct sv_peer *tmp;

    HASH_ITER (hh, e->s->peers, p, tmp) {
        struct fl_agent *a = fl_find(&e->coord.fleet, p->id);

        if (strcmp(p->name, name) != 0) {
            continue;
        }
        p->entered = false;
        if (!p->is_agent) {
            rl_entry_out(&e->relay, p->id);
        }
        if (a != NULL) {
            a->member = false;
        }
    }
    rk_out(&e->ranks, proc_now(), name);
}

static void
members_change(void *ctx, const struct kv_item *it)
{
    struct entry *e = ctx;
    struct sv_peer told;

    if (strncmp(it->key, SV_PREFIX, sizeof(SV_PREFIX) - 1) != 0) {
        return;
    }
    if (strncmp(it->key, TIMES_PREFIX, sizeof(TIMES_PREFIX) - 1) == 0) {
        times_change(e, it);
        return;
    }
    member_out(e, it->key);
    if (it->deleted) {
        return;
    }
    if (!sv_read_peer(&told, it->key, it->value)) {
        log_event(LOG_LEVEL_WARN, "member_unreadable", "key=%s", it->key);
        return;
    }
    member_in(e, &told);
    tell_withdrawn(e);
}

static void
members_whole(void *ctx, const struct kv_item *items, size_t n, uint64_t rev)
{
    struct entry *e = ctx;
    struct fl_agent *a;

    (void)rev;
    for (a = e->coord.fleet.agents; a != NULL; a = a->hh.next) {
        a->member = false;
    }
    rk_out(&e->ranks, proc_now(), NULL);
    for (size_t i = 0; i < n; i++) {
        members_change(e, &items[i]);
    }
}

static void
members_state(void *ctx, bool answers, const char *message)
{
    (void)ctx;
    note_store(answers, message);
}

static const struct follow_events members_events = {
    members_whole, members_change, members_state};

/* --- the role --- */

static int
open_web(struct entry *e, struct web **out, const char *endpoint,
    web_handle_fn handle, web_gone_fn gone, struct err *err)
{
    struct conf_endpoint at;
    struct web_cfg cfg = {at.addr, 0, CALLERS_MAX, BODY_MAX, IDLE_S};

    conf_endpoint(&at, endpoint);
    cfg.port = at.port;
    return web_open(out, e->s->loop, &cfg, handle, gone, e, err) == WEB_OK
               ? 0
               : -1;
}

static void
on_pass(struct ev_loop *loop, ev_check *w, int revents)
{
    struct entry *e = w->data;

    (void)loop;
    (void)revents;
    lg_pass_begins(&e->lag, proc_now_us());
}

static int
entry_open(struct serve *s, struct err *err)
{
    struct entry *e = dw_zero(1, sizeof(*e));
    const struct conf_platform *p = &s->conf->platform;

    s->state = e;
    e->s = s;
    e->accepting = true;
    e->news.answers = true;
    rl_init(&e->relay, &rl_ops, e, s->id);
    co_init(&e->coord, &co_ops, e, s->seed, s->conf->node.me.domain,
        s->conf->node.me.addr, s->conf->node.me.port);
    if (open_web(e, &e->callers, p->callers, on_caller, on_caller_gone, err) !=
            0 ||
        open_web(e, &e->ready, p->readiness, on_ready, on_ready_gone, err) !=
            0) {
        return -1;
    }
    ev_init(&e->more, on_more);
    ev_check_init(&e->pass_check, on_pass);
    ev_set_priority(&e->pass_check, EV_MAXPRI);
    e->pass_check.data = e;
    ev_check_start(s->loop, &e->pass_check);
    e->operators = follow_new(
        s->loop, s->kv, "op/", WATCH_OPERATORS_MS, &operators_events, e);
    e->members = follow_new(
        s->loop, s->kv, SV_PREFIX, WATCH_MEMBERS_MS, &members_events, e);
    return 0;
}

static void
entry_close(struct serve *s)
{
    struct entry *e = s->state;

    if (e == NULL) {
        return;
    }
    if (e->operators != NULL) {
        follow_free(e->operators);
        follow_free(e->members);
    }
    ev_check_stop(s->loop, &e->pass_check);
    ev_timer_stop(s->loop, &e->more);
    it_free(&e->intake);
    rl_free(&e->relay);
    co_free(&e->coord);
    rk_free(&e->ranks);
    if (e->callers != NULL) {
        web_close(e->callers);
    }
    if (e->ready != NULL) {
        web_close(e->ready);
    }
    rt_free(&e->routes);
    nw_free(&e->news);
    free(e);
}

/* ms between lines that tell what the entry takes the fleet's load to be. */
#define LOAD_LINE_MS 1000U

/* What decided on a request afterwards: the room that was seen then. */
static void
note_load(struct entry *e, uint64_t now)
{
    const struct coord *c = &e->coord;
    size_t jobs = co_running(c);

    if (now - e->load_line_ms < LOAD_LINE_MS) {
        return;
    }
    e->load_line_ms = now;
    if (jobs > 0) {
        struct fl_sum sum = fl_sum_up(&c->fleet, now, NULL, 1);

        log_event(LOG_LEVEL_INFO, "load",
            "jobs=%zu pending=%zu waiting_ms=%" PRIu64 " capacity=%" PRId64
            " free=%" PRId64,
            jobs, co_pending(c), co_waiting_ms(c, now), sum.capacity,
            sum.free);
    }
}

static void
note_rotation(struct entry *e)
{
    bool out = lg_is_out(&e->lag);

    if (out == e->was_out) {
        return;
    }
    e->was_out = out;
    e->missed_looks = 0;
    web_send_elsewhere(e->callers, false);
    log_event(out ? LOG_LEVEL_WARN : LOG_LEVEL_INFO,
        out ? "behind" : "caught_up",
        "busy=%.2f tick_us=%.0f usual_us=%.0f waiting=%zu", e->lag.busy,
        e->lag.probe_us, e->lag.usual_us, it_count(&e->intake));
}

static void
tend_relay(struct entry *e, uint64_t now)
{
    struct rl_state state = {is_ready(e) && e->lag.busy < WILLING_BUSY,
        (uint32_t)(e->lag.busy * 1000), e->routes.version};

    rl_tell(&e->relay, &state);
    if (e->lag.busy > NEED_BUSY) {
        rl_need(&e->relay, now);
    }
    rl_tick(&e->relay, now);
}

static void
entry_tick(struct serve *s, uint64_t now)
{
    struct entry *e = s->state;
    uint64_t began_us;

    tend_relay(e, now);
    began_us = proc_now_us();
    co_tick(&e->coord, now);
    lg_probe(&e->lag, proc_now_us(), proc_now_us() - began_us);
    keep_times(e, now);
    note_load(e, now);
    if (nw_must_ask(&e->news, now)) {
        ask_others(e);
    }
    if (s->leaving && e->accepting && now - s->leave_ms > ACCEPT_MS) {
        e->accepting = false;
        web_stop_accepting(e->callers);
    }
}

static void
entry_flush(struct serve *s, uint64_t now)
{
    struct entry *e = s->state;

    /* A request that comes while there is time is begun in this pass. */
    if (e->lag.busy < NEED_BUSY) {
        web_flush(e->callers);
    }
    begin_requests(e, now);
    e->coord.room_pause_ms = lg_pause_ms(&e->lag);
    co_flush(&e->coord, now);
    rl_flush(&e->relay, now);
    web_flush(e->callers);
    lg_pass_ends(&e->lag, proc_now_us());
    note_rotation(e);
}

static void
entry_message(struct serve *s, uint64_t now, uint64_t from, const dw_msg *m)
{
    struct entry *e = s->state;

    if (m->type == DW_REPORT) {
        co_report(&e->coord, now, from, &m->dw_msg_u.report);
    }
    else if (m->type == DW_RELAY) {
        rl_take(&e->relay, now, from, &m->dw_msg_u.relay);
    }
    else if (m->type == DW_RELAYED) {
        rl_replies(&e->relay, now, from, &m->dw_msg_u.relayed);
    }
    else if (m->type == DW_NEWS) {
        take_news(e, from, &m->dw_msg_u.news);
    }
}

static void
entry_refused(struct serve *s, uint64_t now, uint64_t id)
{
    struct entry *e = s->state;

    co_refused(&e->coord, now, id);
    rl_refused(&e->relay, now, id);
}

static void
entry_leave(struct serve *s, uint64_t now)
{
    struct entry *e = s->state;

    (void)now;
    web_drain(e->callers);
}

static bool
entry_done(struct serve *s, uint64_t now)
{
    struct entry *e = s->state;

    (void)now;
    return !e->accepting && co_running(&e->coord) == 0 && rl_done(&e->relay) &&
           web_open_requests(e->callers) == 0;
}

static void
entry_woke(struct serve *s, uint64_t now, uint64_t slept_ms)
{
    struct entry *e = s->state;

    if (slept_ms >= STALE_MS) {
        e->stale_ms = now + STALE_WINDOW_MS;
    }
}

static void
entry_metrics(struct serve *s, struct buf *b)
{
    const struct entry *e = s->state;
    const struct co_stats *st = &e->coord.stats;
    const struct sv_row rows[] = {
        {"dw_jobs_submitted", st->submitted},
        {"dw_jobs_attached", st->attached},
        {"dw_jobs_completed", st->completed},
        {"dw_jobs_failed", st->failed},
        {"dw_jobs_gave_up", st->gave_up},
        {"dw_jobs_not_run", st->not_run},
        {"dw_jobs_caller_gone", st->gone},
        {"dw_jobs_running", co_running(&e->coord)},
        {"dw_runs_sent", st->runs},
        {"dw_runs_lost", st->lost},
        {"dw_runs_bounced", st->bounced},
        {"dw_runs_retried", st->retried},
        {"dw_runs_moved", st->moved},
        {"dw_choice_widened", st->widened},
        {"dw_config_version", e->routes.version},
        {"dw_requests_waiting", it_count(&e->intake)},
        {"dw_requests_turned_away", e->turned_away},
        {"dw_requests_given", e->given},
        {"dw_requests_taken", e->taken},
        {"dw_busy_permille", (uint64_t)(e->lag.busy * 1000)},
        {"dw_behind", lg_is_out(&e->lag)},
    };

    sv_add_rows(b, rows, sizeof(rows) / sizeof(rows[0]));
    hist_format(&e->answer_ms, "dw_answer", b);
}

const struct sv_role sv_entry = {"entry", entry_open, entry_close, entry_tick,
    entry_flush, entry_message, entry_refused, entry_leave, entry_done,
    entry_woke, entry_metrics};
