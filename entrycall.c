/* Callers of the entry on the users' platform: what they ask is begun here or
 * given to another entry, and answered. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "entryd-int.h"
#include "log.h"
#include "num.h"
#include "platform/wire.h"
#include "proc.h"

/* ms before the platform's kill from which on a job is no longer taken: the
 * longest seen take two seconds. */
#define TAKE_MS 2400U
/* ms after which a request that was refused as the entry is behind may come
 * back: another entry takes it. */
#define BEHIND_RETRY_MS 1000U
/* Callers that say no deadline. */
#define LEFT_MS 10000U

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
        j->objective_ms - j->come_ms, num_sub_sat(j->deadline_ms, now),
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

void
ec_reply(struct web_req *r, unsigned status, const char *text)
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
reply_to(struct web_req *r, enum co_outcome how, const char *reason,
    uint32_t retry_ms)
{
    static const struct {
        unsigned status;
        const char *text;
    } replies[] = {
        [CO_COMPLETED] = {200, "{\"state\":\"completed\"}"},
        [CO_FAILED] = {200, "{\"state\":\"failed\"}"},
        [CO_GAVE_UP] = {504, "{\"error\":\"gave_up\"}"},
    };

    if (how == CO_NOT_RUN) {
        reply_not_run(r, reason, retry_ms);
    }
    else {
        ec_reply(r, replies[how].status, replies[how].text);
    }
}

static void
answer(void *ctx, void *handle, enum co_outcome how, const char *reason,
    uint32_t retry_ms)
{
    struct caller *c = handle;

    (void)ctx;
    if (c->req != NULL) {
        web_set_ctx(c->req, NULL);
        reply_to(c->req, how, reason, retry_ms);
    }
    else {
        rl_reply(c->taken, how, reason, retry_ms);
    }
    free(c);
}

const struct co_ops ec_co_ops = {
    send_message, answer, note_job, note_refusal, note_run, note_agent};

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
        answer(e, c, CO_NOT_RUN, "bad_job", 0);
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
            answer(e, c, CO_NOT_RUN, "not_served", 5000);
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
    return NULL;
}

/* The id, as it was written at the end of a job's path. */
static struct str
job_of(struct str path)
{
    size_t at = path.n;

    while (at > 0 && path.p[at - 1] != '/') {
        at--;
    }
    return str_make(path.p + at, path.n - at);
}

static void
note_refused(const struct entry *e, struct str path, const char *why)
{
    struct str job = job_of(path);

    log_event(LOG_LEVEL_WARN, "request_refused",
        "job=%.*s why=%s waiting=%zu wait_us=%.0f busy=%.2f", (int)job.n,
        job.p, why, it_count(&e->intake), it_wait_us(&e->intake), e->lag.busy);
}

static void
begin_job(struct entry *e, uint64_t now, struct caller *c)
{
    const char *why = closed_for(e, now);
    const struct rt_route *route;
    struct str path = path_of(c);
    uint64_t id;

    if (why != NULL) {
        note_refused(e, path, why);
        answer(e, c, CO_NOT_RUN, why, 1000);
        return;
    }
    route = find_route(e, host_of(c), path, &id);
    if (route != NULL && id != 0) {
        submit(e, now, c, route, id);
    }
    else if (c->req == NULL) {
        answer(e, c, CO_NOT_RUN, "no_route", 1000);
    }
    else {
        web_set_ctx(c->req, NULL);
        ec_reply(c->req, 404, "{\"error\":\"no_route\"}");
        free(c);
    }
}

static void
cancel(struct entry *e, uint64_t now, struct web_req *r, uint64_t id)
{
    struct caller *given = rl_find(&e->relay, str_of(web_path(r)));

    if (given != NULL) {
        rl_drop(&e->relay, given);
        answer(e, given, CO_FAILED, "cancelled", 0);
        ec_reply(r, 200, "{}");
        return;
    }
    ec_reply(r, co_cancel(&e->coord, now, id) ? 200 : 410, "{}");
}

static void
tell_state(struct entry *e, struct web_req *r, uint64_t id)
{
    if (co_known(&e->coord, id) ||
        rl_find(&e->relay, str_of(web_path(r))) != NULL) {
        ec_reply(r, 200, "{\"state\":\"running\"}");
    }
    else {
        ec_reply(r, 410, "{}");
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
        ec_reply(r, 404, "{\"error\":\"no_route\"}");
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
    struct str job = job_of(path_of(c));

    if (e->s->conf->platform.caller_resend_ms < GIVE_RESEND_MS ||
        closed_for(e, now) != NULL ||
        !rl_give(&e->relay, now, c, host_of(c), path_of(c), body_of(c),
            left_ms(c->req))) {
        return false;
    }
    e->given++;
    log_event(LOG_LEVEL_INFO, "request_given", "job=%.*s", (int)job.n, job.p);
    return true;
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
        answer(e, c, CO_NOT_RUN, "behind", BEHIND_RETRY_MS);
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
answer_given(void *ctx, void *handle, enum co_outcome how, const char *reason,
    uint32_t retry_ms)
{
    struct str job = job_of(path_of(handle));

    if (how == CO_GAVE_UP) {
        log_event(LOG_LEVEL_WARN, "request_ended", "job=%.*s why=%s",
            (int)job.n, job.p, reason);
    }
    answer(ctx, handle, how, reason, retry_ms);
}

static void
note_relay(void *ctx, uint64_t entry, const char *what, uint64_t ms)
{
    (void)ctx;
    log_event(LOG_LEVEL_INFO, what, "entry=%016" PRIx64 " heard_ms=%" PRIu64,
        entry, ms);
}

const struct rl_ops ec_rl_ops = {
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
    e->turned_away++;
    note_refused(e, path_of(c), why);
    answer(e, c, CO_NOT_RUN, "behind", BEHIND_RETRY_MS);
}

/* What is read first after the machine stood still has waited through it. */
static bool
is_stale(const struct entry *e, uint64_t now)
{
    return now < e->stale_ms || e->stale_runs > 0;
}

void
ec_run(struct entry *e)
{
    web_flush(e->callers);
    e->stale_runs -= e->stale_runs > 0;
}

/* All but jobs is answered at once. */
void
ec_request(void *ctx, struct web_req *r)
{
    struct entry *e = ctx;
    uint64_t now = proc_now();
    struct caller *c;

    if (strcmp(web_method(r), "POST") != 0) {
        serve_other(e, now, r);
        return;
    }
    if (is_stale(e, now)) {
        note_refused(e, str_of(web_path(r)), "paused");
        reply_not_run(r, "paused", 1000);
        return;
    }
    c = dw_zero(1, sizeof(*c));
    c->req = r;
    web_set_ctx(r, c);
    /* It is read at the end of a pass: the next begins it or sends it on. */
    want_pass(e);
    if (lg_gives(&e->lag) && give_away(e, now, c)) {
        return;
    }
    if (!it_add(&e->intake, proc_now_us(), c) && !give_away(e, now, c)) {
        turn_away(e, c, "would_wait");
    }
}

/* After a start callers are there at once, the configuration some ms later:
 * they wait for it as they would for their turn. */
void
ec_begin(struct entry *e, uint64_t now)
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

void
ec_gone(void *ctx, struct web_req *r)
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

void
ec_open(struct entry *e)
{
    ev_init(&e->more, on_more);
    rl_init(&e->relay, &ec_rl_ops, e, e->s->id);
}
