/* Requests of callers to the entry daemon: each is started here or forwarded
 * to another entry, and answered. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "entryd-int.h"
#include "log.h"
#include "num.h"
#include "platform/wire.h"
#include "proc.h"

/* ms before the platform's kill during which no job is accepted: the longest
 * jobs take two seconds. */
#define JOB_MARGIN_MS 2400U
/* ms after which a request counts as read late, or a run that outlives its job
 * as over late: other entries may have the job 1,300 ms after its caller
 * disconnected. */
#define LATE_MS 500U
/* Retry-After in ms for a request refused because of overload; another entry
 * may serve the retry. */
#define OVERLOAD_RETRY_MS 1000U
/* ms; applies to requests without a valid Deadline-Remaining header. */
#define DEFAULT_DEADLINE_MS 10000U

/* --- operations of coord --- */

static void
send_message(void *ctx, uint64_t to, const dw_msg *m)
{
    struct entry *e = ctx;

    link_send(e->s->link, to, m);
}

static void
log_job(void *ctx, const struct co_job *j, const char *why)
{
    struct entry *e = ctx;
    uint64_t now = proc_now();
    bool done = strcmp(why, "done") == 0;

    hist_add(&e->answer_ms, now - j->arrived_ms);
    log_event(done ? LOG_LEVEL_INFO : LOG_LEVEL_WARN,
        done ? "job_done" : "job_ended",
        "job=%016" PRIx64 " why=%s tasks=%u done=%u begun=%d ms=%" PRIu64
        " objective_ms=%" PRIu64 " left_ms=%" PRIu64
        " speed=%u predicted_ms=%.0f corrected_ms=%.0f quantile=%u"
        " estimate_age_ms=%d",
        j->id, why, j->task_count, j->done_count, j->started,
        now - j->arrived_ms, j->objective_ms - j->arrived_ms,
        num_sub_sat(j->deadline_ms, now), e->coord.fleet.median_speed_permille,
        j->prediction.wait_ms, j->prediction.corrected_ms,
        AM_QUANTILE_PERMILLE,
        j->prediction.estimated ? (int)j->prediction.age_ms : -1);
}

static void
log_refusal(void *ctx, const struct co_submit *s,
    const struct es_estimate *est, const char *why, uint64_t waiting_ms)
{
    struct entry *e = ctx;
    struct fl_totals sum = fl_total(&e->coord.fleet, proc_now(), s->service,
        s->task_count > 0 ? s->tasks[0].millicores : 1);

    log_event(LOG_LEVEL_WARN, "job_refused",
        "job=%016" PRIx64 " why=%s tasks=%zu run_ms=%u left_ms=%u"
        " use_ms=%u waiting_ms=%" PRIu64 " capacity=%" PRId64 " free=%" PRId64,
        s->id, why, s->task_count, est->run_ms, s->timeout_ms, est->useful_ms,
        waiting_ms, sum.capacity, sum.free);
}

static void
job_failed(void *ctx, uint64_t job)
{
    struct entry *e = ctx;

    tb_add(&e->tombs, proc_now(), job);
}

static void
log_run(void *ctx, const struct co_job *j, uint32_t index, const char *what,
    const char *how)
{
    struct entry *e = ctx;
    const struct co_task *t = &j->tasks[index];
    const struct fl_agent *a = fl_find(&e->coord.fleet, t->agent);

    log_event(LOG_LEVEL_WARN, what,
        "job=%016" PRIx64 " task=%u run=%" PRIu64
        " agent=%s failed=%u ms=%" PRIu64 " pace=%u room_age_ms=%" PRIu64
        " evidence=%.1f%s%s",
        j->id, index, t->run, a != NULL ? a->name : "gone", t->failures,
        proc_now() - t->sent_ms, a != NULL ? a->status.pace_permille : 0,
        a != NULL ? proc_now() - a->sess.peer_clock_at_ms : 0,
        a != NULL ? tl_evidence(&a->tail, proc_now()) : 0,
        how != NULL ? " how=" : "", how != NULL ? how : "");
}

static void
log_agent(void *ctx, const struct fl_agent *a, const char *what)
{
    bool lost =
        strcmp(what, "agent_silent") == 0 || strcmp(what, "agent_dead") == 0;

    (void)ctx;
    log_event(lost ? LOG_LEVEL_WARN : LOG_LEVEL_INFO, what,
        "agent=%s id=%016" PRIx64 " heard_ms=%" PRIu64 " runs=%u", a->name,
        a->id, proc_now() - a->sess.peer_clock_at_ms, a->active_runs);
}

static void
log_outlived(
    void *ctx, const struct co_outliving *o, uint64_t ms, const char *how)
{
    struct entry *e = ctx;
    const struct fl_agent *a = fl_find(&e->coord.fleet, o->task.agent);

    hist_add(&e->outlived_ms, ms);
    log_event(ms < LATE_MS ? LOG_LEVEL_INFO : LOG_LEVEL_WARN, "run_outlived",
        "job=%016" PRIx64 " task=%u run=%" PRIu64 " agent=%s ms=%" PRIu64
        " how=%s",
        o->job, o->index, o->task.run, a != NULL ? a->name : "gone", ms, how);
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
reply_outcome(struct web_req *r, enum co_outcome outcome, const char *reason,
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

    if (outcome == CO_NOT_RUN) {
        reply_not_run(r, reason, retry_ms);
    }
    else {
        ec_reply(r, replies[outcome].status, replies[outcome].text);
    }
}

static struct str
path_of(const struct caller *c)
{
    return str_of(c->req != NULL ? web_path(c->req) : c->forwarded->path);
}

static bool
has_path(const void *caller, const void *path)
{
    return str_eq(path_of(caller), *(const struct str *)path);
}

/* Another request for this path waits in the intake. */
static bool
is_queued(const struct entry *e, struct str path)
{
    return it_find(&e->intake, has_path, &path) != NULL;
}

/* The last component of a job's path: its id as the caller wrote it. */
static struct str
job_id_text(struct str path)
{
    size_t at = path.n;

    while (at > 0 && path.p[at - 1] != '/') {
        at--;
    }
    return str_make(path.p + at, path.n - at);
}

/* Another entry has the job, or a request for it waits until that is over. */
static bool
is_claimed(const struct entry *e, struct str path)
{
    uint64_t id;

    return wire_job_id(job_id_text(path), &id) && cl_may_run(&e->claims, id);
}

/* This entry has just started and does not know which jobs others have. */
static bool
knows_no_claims(const struct entry *e)
{
    return e->routes.version != 0 && !cu_is_ready(&e->catchup);
}

/* A request that is not in the intake.  It is not answered as not run if a
 * copy of it may run. */
static void
answer(void *ctx, void *handle, enum co_outcome outcome, const char *reason,
    uint32_t retry_ms)
{
    struct entry *e = ctx;
    struct caller *c = handle;

    if (outcome == CO_NOT_RUN &&
        (c->waits_since_ms != 0 || knows_no_claims(e) ||
            is_queued(e, path_of(c)) || is_claimed(e, path_of(c)) ||
            rl_may_run_elsewhere(&e->relay, proc_now(), path_of(c)))) {
        outcome = CO_GAVE_UP;
    }
    if (c->req != NULL) {
        web_set_ctx(c->req, NULL);
        reply_outcome(c->req, outcome, reason, retry_ms);
    }
    else {
        rl_reply(c->forwarded, outcome, reason, retry_ms);
    }
    free(c);
}

const struct co_ops ec_co_ops = {send_message, answer, job_failed, log_job,
    log_refusal, log_run, log_agent, log_outlived};

/* --- callers --- */

static uint32_t
left_ms(const struct web_req *r)
{
    const char *z = web_header(r, "Deadline-Remaining");
    char *end;
    double ms;

    if (z == NULL) {
        return DEFAULT_DEADLINE_MS;
    }
    ms = strtod(z, &end);
    return end == z || ms < 0 || ms > 86400000.0 ? DEFAULT_DEADLINE_MS
                                                 : (uint32_t)ms;
}

static struct str
host_of(const struct caller *c)
{
    return str_of(
        c->req != NULL ? web_header(c->req, "Host") : c->forwarded->host);
}

static struct str
body_of(const struct caller *c)
{
    return c->req != NULL ? web_body(c->req) : buf_str(&c->forwarded->body);
}

static void
reject_bad_job(struct entry *e, struct caller *c, const char *why)
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

/* The request has been parsed, or copied to be sent to another entry. */
static void
release_body(struct caller *c)
{
    if (c->req != NULL) {
        web_release_body(c->req);
    }
    else {
        buf_free(&c->forwarded->body);
    }
}

/* True: another entry has the job; the request starts again when that is over.
 * Else s is set to what is left after an earlier wait. */
static bool
wait_for_claimant(struct entry *e, uint64_t now, struct caller *c, uint64_t id,
    struct co_submit *s)
{
    if (c->waits_since_ms != 0) {
        s->may_have_run = true;
        s->timeout_ms =
            (uint32_t)num_sub_sat(s->timeout_ms, now - c->waits_since_ms);
    }
    if (!cl_wait(&e->claims, now, id, c, now + s->timeout_ms)) {
        return false;
    }
    if (c->waits_since_ms == 0) {
        c->waits_since_ms = now;
    }
    return true;
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
            reject_bad_job(e, c, why.msg);
        }
        return;
    }
    s.id = id;
    s.wall_ms = proc_wall();
    s.spec = job.spec;
    s.service = route->service;
    s.priority = route->priority;
    s.max_attempts = route->attempts;
    s.route_name = route->name;
    s.route = (struct es_objective){route->stretch_milli, route->slo_ms};
    s.timeout_ms =
        c->req != NULL ? left_ms(c->req) : c->forwarded->remaining_ms;
    s.tasks = job.tasks;
    s.task_count = job.count;
    if (co_has_job(&e->coord, id)) {
        log_event(LOG_LEVEL_INFO, "request_joined", "job=%016" PRIx64, id);
    }
    else if (!co_has_ended(&e->coord, id) &&
             wait_for_claimant(e, now, c, id, &s)) {
        wire_job_free(&job);
        return;
    }
    release_body(c);
    co_submit(&e->coord, now, &s, c);
    wire_job_free(&job);
}

static void
reply_pending(struct entry *e, struct web_req *r)
{
    struct buf b = {0};

    buf_addf(&b, "{\"pending\":%zu}", co_unstarted_count(&e->coord));
    web_reply(r, 200, "application/json", buf_str(&b), 0);
    buf_free(&b);
}

/* NULL if no route matches.  *id is the job's id, or 0 if the path is the
 * route's prefix, which stands for its queue. */
static const struct rt_route *
find_route(struct entry *e, struct str host, struct str path, uint64_t *id)
{
    const struct rt_route *route = rt_match(&e->routes, host, path);

    *id = 0;
    if (route != NULL && path.n > route->prefix_len &&
        !wire_job_id(
            str_make(path.p + route->prefix_len, path.n - route->prefix_len),
            id)) {
        return NULL;
    }
    return route;
}

/* The reason for which no job is accepted now; NULL if jobs are accepted. */
static const char *
refusal_reason(const struct entry *e, uint64_t now)
{
    if (e->routes.version == 0) {
        return "no_configuration";
    }
    if (e->s->stop.begun &&
        now + JOB_MARGIN_MS >
            e->s->stop.begun_ms + e->s->conf->platform.grace_ms) {
        return "leaving";
    }
    return NULL;
}

static void
log_request_refused(const struct entry *e, struct str path, const char *why)
{
    struct str job = job_id_text(path);

    log_event(LOG_LEVEL_WARN, "request_refused",
        "job=%.*s why=%s waiting=%zu wait_us=%.0f busy=%.2f", (int)job.n,
        job.p, why, it_count(&e->intake), it_expected_wait_us(&e->intake),
        e->lag.utilization);
}

/* The route of a request whose job is in progress here, or ended here so
 * recently that a copy gets the same answer; NULL if there is none. */
static const struct rt_route *
route_of_known_job(struct entry *e, const struct caller *c, uint64_t *id)
{
    const struct rt_route *route = find_route(e, host_of(c), path_of(c), id);

    return route != NULL && *id != 0 && co_knows_job(&e->coord, *id) ? route
                                                                     : NULL;
}

/* Refuses a request that is not in the intake; a copy of a known job gets the
 * job's answer instead, as it would not be true that nothing has run. */
static void
refuse(struct entry *e, struct caller *c, const char *logged,
    const char *reason, uint32_t retry_ms)
{
    uint64_t id;

    if (route_of_known_job(e, c, &id) != NULL &&
        co_answer_copy(&e->coord, id, c, reason)) {
        return;
    }
    log_request_refused(e, path_of(c), logged);
    answer(e, c, CO_NOT_RUN, reason, retry_ms);
}

static void
start_request(struct entry *e, uint64_t now, struct caller *c)
{
    const char *why = refusal_reason(e, now);
    const struct rt_route *route;
    struct str path = path_of(c);
    uint64_t id;

    if (why != NULL) {
        refuse(e, c, why, why, 1000);
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

static bool
has_job_id(const void *caller, const void *id)
{
    uint64_t own;

    return wire_job_id(job_id_text(path_of(caller)), &own) &&
           own == *(const uint64_t *)id;
}

/* Ends the job and requests for it that wait; false if there was nothing. */
static bool
cancel_here(struct entry *e, uint64_t now, uint64_t id)
{
    bool found = co_cancel(&e->coord, now, id);
    struct caller *c;

    while ((c = it_find(&e->intake, has_job_id, &id)) != NULL) {
        it_remove(&e->intake, c);
        answer(e, c, CO_FAILED, "cancelled", 0);
        found = true;
    }
    while ((c = cl_take(&e->claims, id)) != NULL) {
        answer(e, c, CO_FAILED, "cancelled", 0);
        found = true;
    }
    co_record_cancelled(&e->coord, now, id);
    return found;
}

/* The peer runs a job until all copies of its request are cancelled. */
static bool
cancel_forwarded(struct entry *e, uint64_t now, struct str path)
{
    struct caller *c;
    bool found = false;

    while ((c = rl_find(&e->relay, path)) != NULL) {
        rl_cancel(&e->relay, now, c);
        answer(e, c, CO_FAILED, "cancelled", 0);
        found = true;
    }
    return found;
}

/* The job may be at any entry, also one that has not heard of it yet. */
static void
cancel(struct entry *e, uint64_t now, struct web_req *r, uint64_t id)
{
    struct caller *c = dw_zero(1, sizeof(*c));
    bool found = cancel_forwarded(e, now, str_of(web_path(r)));

    found = cancel_here(e, now, id) || found;
    c->req = r;
    c->read_ms = now;
    web_set_ctx(r, c);
    tb_add(&e->tombs, now, id);
    tb_settle(&e->tombs, now, id, c, found);
}

static void
reply_state(struct entry *e, struct web_req *r, uint64_t id)
{
    if (co_has_job(&e->coord, id) || cl_is_waiting(&e->claims, id) ||
        rl_find(&e->relay, str_of(web_path(r))) != NULL) {
        ec_reply(r, 200, "{\"state\":\"running\"}");
    }
    else {
        ec_reply(r, 410, "{}");
    }
}

/* Requests other than job submissions. */
static void
handle_other(struct entry *e, uint64_t now, struct web_req *r)
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
        reply_state(e, r, id);
    }
    else if (strcmp(method, "DELETE") == 0) {
        cancel(e, now, r, id);
    }
    else {
        web_problem(r, 405, "bad_method", "expected POST, GET or DELETE", 0);
    }
}

/* --- forwarded requests --- */

static void
shed(struct entry *e, struct caller *c, const char *why)
{
    e->shed_requests++;
    refuse(e, c, why, "behind", OVERLOAD_RETRY_MS);
}

static void
note_forwarded(struct entry *e, struct caller *c)
{
    struct str job = job_id_text(path_of(c));

    release_body(c);
    e->forwarded_out++;
    log_event(LOG_LEVEL_INFO, "request_given", "job=%.*s", (int)job.n, job.p);
}

/* Queues a request that must not be forwarded. */
static void
queue_here(struct entry *e, struct caller *c)
{
    if (!it_add(&e->intake, proc_now_us(), c)) {
        shed(e, c, "would_wait");
    }
}

/* Keeps one owner per request.  A copy of a request that waits, runs or has
 * just ended here is queued here; a copy of a forwarded one goes to the same
 * peer; one whose job another entry claims waits here.  False: the request is
 * not known to be a copy. */
static bool
handle_copy(struct entry *e, uint64_t now, struct caller *c)
{
    uint64_t id;

    if (is_queued(e, path_of(c)) || route_of_known_job(e, c, &id) != NULL) {
        queue_here(e, c);
        return true;
    }
    switch (rl_forward_copy(&e->relay, now, c, host_of(c), path_of(c),
        body_of(c), left_ms(c->req))) {
    case RL_NO_COPY:
        if (!is_claimed(e, path_of(c))) {
            return false;
        }
        queue_here(e, c);
        break;
    case RL_COPY_SENT:
        note_forwarded(e, c);
        break;
    case RL_COPY_LOST:
        log_request_refused(e, path_of(c), "taker_lost");
        answer(e, c, CO_GAVE_UP, "taker_lost", 0);
        break;
    }
    return true;
}

/* Not to be called for copies; see handle_copy(). */
static bool
forward_request(struct entry *e, uint64_t now, struct caller *c)
{
    if (e->s->conf->platform.caller_resend_ms < RL_RESEND_MS ||
        refusal_reason(e, now) != NULL ||
        !rl_forward(&e->relay, now, c, host_of(c), path_of(c), body_of(c),
            left_ms(c->req))) {
        return false;
    }
    note_forwarded(e, c);
    return true;
}

/* Forwards a request that has just arrived to an entry with a shorter wait. */
static bool
forward_by_wait(struct entry *e, uint64_t now, struct caller *c)
{
    uint64_t id;
    const struct rt_route *route;

    if (e->coord.settings.balance != SC_BALANCE_WAIT ||
        e->s->conf->platform.caller_resend_ms < RL_RESEND_MS ||
        refusal_reason(e, now) != NULL) {
        return false;
    }
    route = find_route(e, host_of(c), path_of(c), &id);
    if (route == NULL || id == 0 ||
        !rl_forward_by_wait(&e->relay, now, c, str_of(route->service),
            route->priority, host_of(c), path_of(c), body_of(c),
            left_ms(c->req))) {
        return false;
    }
    note_forwarded(e, c);
    return true;
}

static void
start_forwarded(void *ctx, struct rl_accepted *request)
{
    struct entry *e = ctx;
    uint64_t now = proc_now();
    struct caller *c = dw_zero(1, sizeof(*c));

    e->forwarded_in++;
    c->forwarded = request;
    request->data = c;
    if (rl_may_run_elsewhere(&e->relay, now, path_of(c))) {
        answer(e, c, CO_GAVE_UP, "forwarded", 0);
    }
    else if (!it_add(&e->intake, proc_now_us(), c)) {
        refuse(e, c, "would_wait", "behind", OVERLOAD_RETRY_MS);
    }
}

static void
abandon_forwarded(void *ctx, struct rl_accepted *request)
{
    struct entry *e = ctx;

    if (!it_remove(&e->intake, request->data) &&
        !cl_caller_left(&e->claims, request->data)) {
        co_caller_left(&e->coord, proc_now(), request->data);
    }
    free(request->data);
}

static void
answer_from_peer(void *ctx, void *handle, enum co_outcome outcome,
    const char *reason, uint32_t retry_ms)
{
    struct str job = job_id_text(path_of(handle));

    if (outcome == CO_GAVE_UP) {
        log_event(LOG_LEVEL_WARN, "request_ended", "job=%.*s why=%s",
            (int)job.n, job.p, reason);
    }
    answer(ctx, handle, outcome, reason, retry_ms);
}

static void
log_relay(void *ctx, uint64_t entry, const char *what, uint64_t ms)
{
    (void)ctx;
    log_event(LOG_LEVEL_INFO, what, "entry=%016" PRIx64 " heard_ms=%" PRIu64,
        entry, ms);
}

const struct rl_ops ec_rl_ops = {send_message, start_forwarded,
    abandon_forwarded, answer_from_peer, log_relay};

/* --- operations of claim --- */

/* ms for which an entry that is missing in the store still gets claims: it may
 * live and serve callers, but be unable to renew its registration. */
#define ABSENT_ENTRY_MS 60000U

static void
broadcast(void *ctx, const dw_msg *m)
{
    struct entry *e = ctx;
    uint64_t now = proc_now();
    const struct sv_peer *p;

    rl_broadcast(&e->relay, m);
    for (p = e->s->peers; p != NULL; p = p->hh.next) {
        if (!p->is_agent && !p->registered &&
            now - p->absent_ms < ABSENT_ENTRY_MS) {
            send_message(e, p->id, m);
        }
    }
}

static void
hold_jobs(void *ctx, struct claims *claims)
{
    struct entry *e = ctx;

    cl_hold_jobs(claims, &e->coord);
}

static void
start_waited(void *ctx, void *handle)
{
    start_request(ctx, proc_now(), handle);
}

static void
refuse_waited(void *ctx, void *handle, const char *reason)
{
    struct caller *c = handle;

    log_request_refused(ctx, path_of(c), reason);
    answer(ctx, c, CO_GAVE_UP, reason, 0);
}

static void
give_up_job(void *ctx, uint64_t job, const char *reason)
{
    struct entry *e = ctx;

    co_give_up_job(&e->coord, proc_now(), job, reason);
}

static void
log_claim(
    void *ctx, const char *event, uint64_t job, uint64_t entry, uint64_t ms)
{
    (void)ctx;
    log_event(
        strcmp(event, "claim_conflict") == 0 ? LOG_LEVEL_WARN : LOG_LEVEL_INFO,
        event, "job=%016" PRIx64 " entry=%016" PRIx64 " ms=%" PRIu64, job,
        entry, ms);
}

const struct cl_ops ec_cl_ops = {broadcast, send_message, hold_jobs,
    start_waited, refuse_waited, give_up_job, log_claim};

/* --- operations of tomb --- */

bool
ec_end_job(struct entry *e, uint64_t job, uint64_t ms)
{
    if (!cancel_here(e, proc_now(), job)) {
        return false;
    }
    log_event(LOG_LEVEL_INFO, "job_cancelled_elsewhere",
        "job=%016" PRIx64 " told_ms=%" PRIu64, job, ms);
    return true;
}

static bool
end_job(void *ctx, uint64_t job, uint64_t ms)
{
    return ec_end_job(ctx, job, ms);
}

static void
answer_cancel(void *ctx, void *handle, uint64_t job, enum tb_result result)
{
    static const struct {
        unsigned status;
        const char *text;
        const char *logged;
    } replies[] = {
        [TB_STOPPED] = {200, "{}", "stopped"},
        [TB_ABSENT] = {410, "{}", "absent"},
        [TB_UNHEARD] = {504, "{\"error\":\"entries_unheard\"}", "unheard"},
    };
    struct caller *c = handle;

    (void)ctx;
    log_event(result == TB_UNHEARD ? LOG_LEVEL_WARN : LOG_LEVEL_INFO,
        "cancel_answered", "job=%016" PRIx64 " result=%s ms=%" PRIu64, job,
        replies[result].logged, proc_now() - c->read_ms);
    web_set_ctx(c->req, NULL);
    ec_reply(c->req, replies[result].status, replies[result].text);
    free(c);
}

const struct tb_ops ec_tb_ops = {send_message, end_job, answer_cancel};

/* --- the loop --- */

/* Make the loop start its next pass without waiting for events. */
static void
request_pass(struct entry *e)
{
    if (!ev_is_active(&e->resume_timer)) {
        ev_timer_set(&e->resume_timer, 0.0, 0.0);
        ev_timer_start(e->s->loop, &e->resume_timer);
    }
}

/* Requests read first after a pause of the machine waited throughout it.  This
 * serves systems that do not tell how long a request was unread. */
static bool
is_stale(const struct entry *e, uint64_t now)
{
    return now < e->stale_until_ms || e->stale_passes > 0;
}

void
ec_flush(struct entry *e)
{
    web_flush(e->callers);
    e->stale_passes -= e->stale_passes > 0;
}

/* How long the request waited in the socket, in ms, 0 if that is not known. */
static uint32_t
note_unread(struct entry *e, const struct web_req *r, bool closed)
{
    uint32_t unread_ms = 0;
    struct str job = job_id_text(str_of(web_path(r)));

    if (web_unread_ms(r, &unread_ms)) {
        hist_add(&e->unread_ms, unread_ms);
    }
    e->read_after_close += closed;
    if (unread_ms >= LATE_MS || closed) {
        log_event(LOG_LEVEL_WARN, "request_read_late",
            "job=%.*s unread_ms=%u closed=%d", (int)job.n, job.p, unread_ms,
            closed);
    }
    return unread_ms;
}

/* Queues or forwards job submissions; answers all others at once. */
void
ec_request(void *ctx, struct web_req *r)
{
    struct entry *e = ctx;
    uint64_t now = proc_now();
    struct caller *c;
    uint32_t unread_ms;
    bool closed;

    if (strcmp(web_method(r), "POST") != 0) {
        handle_other(e, now, r);
        return;
    }
    closed = web_drop_if_left(r);
    unread_ms = note_unread(e, r, closed);
    if (closed) {
        return;
    }
    c = dw_zero(1, sizeof(*c));
    c->req = r;
    c->read_ms = now;
    web_set_ctx(r, c);
    if (is_stale(e, now) || unread_ms > CO_MAX_PAUSE_MS) {
        refuse(e, c, "paused", "paused", 1000);
        return;
    }
    /* Requests are read at the end of a pass; the next pass starts them or
     * sends them to a peer. */
    request_pass(e);
    if (handle_copy(e, now, c) ||
        (lg_should_forward(&e->lag) && forward_request(e, now, c)) ||
        forward_by_wait(e, now, c)) {
        return;
    }
    if (!it_add(&e->intake, proc_now_us(), c) && !forward_request(e, now, c)) {
        shed(e, c, "would_wait");
    }
}

static void
log_caller_left(const struct caller *c)
{
    static const char *const ends[] = {
        [WEB_END_NONE] = "none",
        [WEB_END_CLOSED] = "closed",
        [WEB_END_RESET] = "reset",
        [WEB_END_TIMED_OUT] = "timed_out",
        [WEB_END_LIBRARY] = "library",
    };
    struct str job = job_id_text(path_of(c));

    log_event(LOG_LEVEL_INFO, "caller_left",
        "job=%.*s how=%s held_ms=%" PRIu64, (int)job.n, job.p,
        ends[web_end(c->req)], proc_now() - c->read_ms);
}

/* A close that arrived during this pass of the loop is not known yet. */
static bool
drop_if_left(struct caller *c)
{
    if (c->req == NULL || !web_drop_if_left(c->req)) {
        return false;
    }
    log_caller_left(c);
    free(c);
    return true;
}

/* After startup, callers connect some ms before the configuration is loaded
 * and the other entries have told what they know.  Their requests stay queued
 * until then and are refused only when they have waited too long. */
void
ec_start_queued(struct entry *e, uint64_t now)
{
    enum it_action decision;
    void *c;

    while (e->routes.version == 0 || !cu_is_ready(&e->catchup)) {
        c = it_pop_expired(&e->intake, proc_now_us());
        if (c == NULL) {
            return;
        }
        if (e->routes.version == 0) {
            start_request(e, now, c);
        }
        else {
            refuse(e, c, "starting", "starting", OVERLOAD_RETRY_MS);
        }
    }
    for (;;) {
        decision = it_next(&e->intake, proc_now_us(), &c);
        if (decision == IT_NONE) {
            break;
        }
        if (decision == IT_REFUSE) {
            shed(e, c, "waited");
        }
        else if (!drop_if_left(c)) {
            start_request(e, now, c);
        }
    }
    if (it_count(&e->intake) == 0) {
        ev_timer_stop(e->s->loop, &e->resume_timer);
    }
    else {
        request_pass(e);
    }
}

void
ec_give_up(struct entry *e, uint64_t now)
{
    void *c;

    while ((c = it_pop(&e->intake)) != NULL) {
        refuse(e, c, "leaving", "leaving", OVERLOAD_RETRY_MS);
    }
    cl_refuse_all(&e->claims, "leaving");
    rl_give_up(&e->relay, now, "leaving");
    co_give_up_all(&e->coord, now, "leaving");
}

static void
on_resume(struct ev_loop *loop, ev_timer *t, int revents)
{
    (void)loop;
    (void)t;
    (void)revents;
}

void
ec_caller_left(void *ctx, struct web_req *r)
{
    struct entry *e = ctx;
    struct caller *c = web_ctx(r);

    if (c == NULL) {
        return;
    }
    log_caller_left(c);
    if (!tb_caller_left(&e->tombs, c) && !it_remove(&e->intake, c) &&
        !cl_caller_left(&e->claims, c) &&
        !rl_cancel(&e->relay, proc_now(), c)) {
        co_caller_left(&e->coord, proc_now(), c);
    }
    free(c);
}

void
ec_open(struct entry *e)
{
    ev_init(&e->resume_timer, on_resume);
    rl_init(&e->relay, &ec_rl_ops, e, e->s->id);
    cl_init(&e->claims, &ec_cl_ops, e, e->s->id);
    tb_init(&e->tombs, &ec_tb_ops, e);
}
