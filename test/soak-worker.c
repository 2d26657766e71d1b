/* A stand-in for a worker, as the platform's documentation describes it: all
 * runs are under one lease, outcomes are listed until acknowledged, orders
 * with an old fencing number are refused, and a crash begins a new
 * incarnation.  Every second worker has a new id then; orders that name
 * another id are refused. */
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "num.h"
#include "soak.h"

#define RUNS_MAX 64
#define OUTCOMES_MAX 512
#define PAST_MAX 1024
#define POLLS_MAX 16
#define DELAYED_MAX 64
#define WORKER_MILLICORES 16000
#define LEASE_MAX_MS 1000U
#define STOP_MAX_MS 50U

struct task {
    uint64_t job;
    uint32_t index;
};

struct run {
    struct task task;
    uint64_t run; /* run number; rises with each run of the task */
    uint32_t millicores;
    uint64_t ends_ms;
    uint64_t started_ms;
    bool fails;
    bool stopping; /* a stop was ordered; ends at ends_ms */
};

/* How a run ended: "done", "failed", "stopped" or "lapsed". */
struct outcome {
    uint64_t number; /* compared with ack_cursor */
    struct task task;
    uint64_t run;
    const char *outcome_name;
};

/* A long poll that has no answer yet. */
struct pending_poll {
    struct web_req *r;
    uint64_t until_ms;
};

/* An order that is carried out late. */
struct delayed_order {
    uint64_t at_ms;
    bool is_stop;
    char *id; /* of the worker that it names; NULL: any */
    char *body;
};

struct fake_worker {
    struct soak *s;
    char host[32]; /* see fw_new() */
    char id[64];
    bool renews_id; /* a new id with each incarnation */
    const struct fw_events *events;
    void *ctx;
    uint64_t now;
    uint64_t drain_ms;       /* see fw_drain_ms() */
    uint64_t exit_ms;        /* end of the time that is left then */
    uint64_t down_until_ms;  /* no request is answered before */
    uint64_t started_ms;     /* identifies the incarnation to the agent */
    uint64_t incarnation_ms; /* when it began, clock of the test */
    uint64_t until_ms;       /* end of the lease, clock of the worker */
    uint64_t fence;          /* highest fencing number seen */
    uint64_t seq;            /* of the last heartbeat */
    uint64_t next_outcome;
    uint32_t lost_permille;
    uint32_t late_permille;
    uint32_t refused_permille;
    bool late_stops;   /* see fw_set_late_stops() */
    uint32_t slowdown; /* factor on run times */
    struct run runs[RUNS_MAX];
    size_t run_count;
    struct outcome outcomes[OUTCOMES_MAX];
    size_t outcome_count;
    struct outcome
        past[PAST_MAX]; /* ended or stopped; runs up to these are refused */
    size_t past_count;
    struct pending_poll polls[POLLS_MAX];
    size_t poll_count;
    struct delayed_order delayed[DELAYED_MAX];
    size_t delayed_count;
    struct web_req *unanswered[DELAYED_MAX]; /* never to be answered */
    size_t unanswered_count;
};

struct fw_server {
    struct web *web;
    struct fake_worker *workers[SOAK_AGENTS_MAX];
    size_t count;
};

static uint64_t
worker_clock_ms(const struct fake_worker *w)
{
    /* 2 % slow, the most that is allowed. */
    return 1 + (w->now - w->incarnation_ms) * 98 / 100;
}

static bool
same_task(const struct task *a, const struct task *b)
{
    return a->job == b->job && a->index == b->index;
}

static struct run *
find_run(struct fake_worker *w, const struct task *t)
{
    for (size_t i = 0; i < w->run_count; i++) {
        if (same_task(&w->runs[i].task, t)) {
            return &w->runs[i];
        }
    }
    return NULL;
}

static void
record_past(struct fake_worker *w, const struct task *t, uint64_t run)
{
    struct outcome *record = &w->past[w->past_count++ % PAST_MAX];

    record->task = *t;
    record->run = run;
}

static uint64_t
highest_past_run(const struct fake_worker *w, const struct task *t)
{
    uint64_t run = 0;

    for (size_t i = 0; i < PAST_MAX; i++) {
        if (same_task(&w->past[i].task, t)) {
            run = num_max(run, w->past[i].run);
        }
    }
    return run;
}

static void
report_end(struct fake_worker *w, const struct run *r, const char *outcome)
{
    struct fw_run report = {r->task.job, r->task.index, r->run, false};

    w->events->end(w->ctx, w, &report, outcome);
}

static void
end_run(struct fake_worker *w, struct run *r, const char *outcome_name)
{
    struct outcome *listed =
        &w->outcomes[w->outcome_count < OUTCOMES_MAX ? w->outcome_count++ : 0];

    listed->number = w->next_outcome++;
    listed->task = r->task;
    listed->run = r->run;
    listed->outcome_name = outcome_name;
    record_past(w, &r->task, r->run);
    report_end(w, r, outcome_name);
    *r = w->runs[--w->run_count];
}

static void
extend_lease(struct fake_worker *w, uint64_t until)
{
    until = num_min(until, worker_clock_ms(w) + LEASE_MAX_MS);
    w->until_ms = num_max(w->until_ms, until);
}

/* --- decoding --- */

struct order {
    struct task task;
    uint64_t run;
    uint64_t until_ms;
    uint64_t fence;
    bool unanswered;
    uint64_t ack;
    uint64_t wait_ms;
};

static uint64_t
get_number(const json_t *o, const char *name)
{
    return (uint64_t)json_integer_value(json_object_get(o, name));
}

static bool
read_order(struct order *out, struct str text)
{
    json_t *o = json_loadb(text.p, text.n, 0, NULL);
    const char *task = json_string_value(json_object_get(o, "task"));

    memset(out, 0, sizeof(*out));
    if (o == NULL) {
        return false;
    }
    if (task != NULL) {
        str_hex64(str_make(task, 16), &out->task.job);
        out->task.index = (uint32_t)strtoul(task + 21, NULL, 10);
    }
    out->run = get_number(o, "run_id");
    out->until_ms = get_number(o, "until_ms");
    out->fence = get_number(o, "fencing_token");
    out->ack = get_number(o, "ack_cursor");
    out->wait_ms = get_number(o, "wait_ms");
    json_decref(o);
    return true;
}

/* Remembers the highest fencing number; true if this one is lower. */
static bool
fenced(struct fake_worker *w, const struct order *o)
{
    if (o->fence < w->fence) {
        return true;
    }
    w->fence = o->fence;
    return false;
}

/* --- orders --- */

static void
check_capacity(struct fake_worker *w, uint32_t added_millicores)
{
    uint32_t used_millicores = added_millicores;

    for (size_t i = 0; i < w->run_count; i++) {
        used_millicores += w->runs[i].millicores;
    }
    if (used_millicores > WORKER_MILLICORES) {
        w->events->violation(w->ctx, "a worker is over its capacity");
    }
}

#define TASK_MILLICORES 2000U

/* Returns the reason of a refusal, or NULL if the task is running. */
static const char *
start_run(struct fake_worker *w, const struct order *o)
{
    struct run *r = find_run(w, &o->task);

    if (fenced(w, o)) {
        return "fence";
    }
    if (o->until_ms < worker_clock_ms(w)) {
        return "late";
    }
    extend_lease(w, o->until_ms);
    if (r != NULL) {
        return r->run == o->run ? NULL : "old";
    }
    if (o->run <= highest_past_run(w, &o->task)) {
        return "old";
    }
    if (w->run_count == RUNS_MAX) {
        return "room";
    }
    check_capacity(w, TASK_MILLICORES);
    r = &w->runs[w->run_count++];
    memset(r, 0, sizeof(*r));
    r->task = o->task;
    r->run = o->run;
    r->millicores = TASK_MILLICORES;
    r->started_ms = w->now;
    r->fails = w->events->fails(w->ctx, o->task.job);
    r->ends_ms =
        w->now + (uint64_t)w->slowdown *
                     w->events->run_ms(w->ctx, o->task.job, o->task.index);
    w->events->start(w->ctx, w,
        &(struct fw_run){o->task.job, o->task.index, o->run, o->unanswered});
    return NULL;
}

static void
stop_run(struct fake_worker *w, const struct order *o)
{
    struct run *r = find_run(w, &o->task);

    if (fenced(w, o)) {
        return;
    }
    record_past(w, &o->task, o->run);
    if (r != NULL && r->run <= o->run && !r->stopping) {
        r->stopping = true;
        r->ends_ms = w->now + soak_random(w->s, STOP_MAX_MS);
    }
}

static void
answer(struct fake_worker *w, struct web_req *r, const char *reason)
{
    struct buf b = {0};

    buf_addf(&b, "{\"clock_ms\":%" PRIu64 "%s%s%s}", worker_clock_ms(w),
        reason != NULL ? ",\"reason\":\"" : "", reason != NULL ? reason : "",
        reason != NULL ? "\"" : "");
    web_reply(
        r, reason != NULL ? 409 : 200, "application/json", buf_str(&b), 0);
    buf_free(&b);
}

static json_t *
task_name(const struct task *t)
{
    char text[64];

    snprintf(text, sizeof(text), "%016" PRIx64 ".0.0.%u", t->job, t->index);
    return json_string(text);
}

static uint32_t
progress_percent(const struct fake_worker *w, const struct run *r)
{
    uint64_t total_ms = num_max(r->ends_ms - r->started_ms, 1);

    return (uint32_t)num_min(99, (w->now - r->started_ms) * 100 / total_ms);
}

static void
answer_poll(struct fake_worker *w, struct web_req *r)
{
    json_t *running = json_array();
    json_t *finished = json_array();
    json_t *o;
    char *text;

    for (size_t i = 0; i < w->run_count; i++) {
        json_array_append_new(
            running, json_pack("[o, I, s, i]", task_name(&w->runs[i].task),
                         (json_int_t)w->runs[i].run, "",
                         (int)progress_percent(w, &w->runs[i])));
    }
    for (size_t i = 0; i < w->outcome_count; i++) {
        const struct outcome *e = &w->outcomes[i];

        json_array_append_new(finished,
            json_pack("[I, o, I, s, s]", (json_int_t)e->number,
                task_name(&e->task), (json_int_t)e->run, e->outcome_name, ""));
    }
    o = json_pack("{s:I, s:I, s:o, s:o}", "clock_ms",
        (json_int_t)worker_clock_ms(w), "born", (json_int_t)w->started_ms,
        "running", running, "finished", finished);
    text = json_dumps(o, JSON_COMPACT);
    web_reply(r, 200, "application/json", str_of(text), 0);
    free(text);
    json_decref(o);
}

static void
poll(struct fake_worker *w, struct web_req *r, const struct order *o)
{
    size_t kept = 0;

    if (fenced(w, o)) {
        answer(w, r, "fence");
        return;
    }
    if (o->until_ms != 0) {
        extend_lease(w, o->until_ms);
    }
    for (size_t i = 0; i < w->outcome_count; i++) {
        if (w->outcomes[i].number > o->ack) {
            w->outcomes[kept++] = w->outcomes[i];
        }
    }
    w->outcome_count = kept;
    if (o->wait_ms == 0 || w->outcome_count > 0 ||
        w->poll_count == POLLS_MAX) {
        answer_poll(w, r);
        return;
    }
    w->polls[w->poll_count].r = r;
    w->polls[w->poll_count++].until_ms = w->now + o->wait_ms;
}

static bool
ends_with(const char *text, const char *suffix)
{
    size_t text_n = strlen(text);
    size_t suffix_n = strlen(suffix);

    return text_n >= suffix_n && strcmp(text + text_n - suffix_n, suffix) == 0;
}

static void
carry_out(
    struct fake_worker *w, struct web_req *r, struct str body, bool is_stop)
{
    struct order o;
    const char *reason = NULL;

    if (!read_order(&o, body)) {
        if (r != NULL) {
            web_reply(r, 400, "application/json", STR("{}"), 0);
        }
        return;
    }
    o.unanswered = r == NULL;
    if (is_stop) {
        stop_run(w, &o);
    }
    else {
        reason = start_run(w, &o);
    }
    if (r != NULL) {
        answer(w, r, reason);
    }
}

/* id is the worker that an order names; NULL: any. */
static bool
is_meant_for(const struct fake_worker *w, const char *id)
{
    return id == NULL || strcmp(id, w->id) == 0;
}

/* Leaves the request without an answer, so that it times out at the sender. */
static void
leave_unanswered(struct fake_worker *w, struct web_req *r)
{
    if (w->unanswered_count < DELAYED_MAX) {
        w->unanswered[w->unanswered_count++] = r;
    }
    else {
        web_reply(r, 503, "application/json", STR("{}"), 0);
    }
}

static void
handle_request(struct fake_worker *w, struct web_req *r)
{
    struct order o;
    bool is_stop = ends_with(web_path(r), "/run-stop");
    const char *id = web_header(r, "Expect-Instance");
    uint32_t chance = (uint32_t)soak_random(w->s, 1000);

    if (w->now < w->down_until_ms) {
        leave_unanswered(w, r);
    }
    else if (ends_with(web_path(r), "/hold")) {
        if (chance < w->lost_permille + w->late_permille) {
            leave_unanswered(w, r);
        }
        else if (!is_meant_for(w, id)) {
            web_reply(r, 421, "application/json", STR("{}"), 0);
        }
        else if (read_order(&o, web_body(r))) {
            poll(w, r, &o);
        }
    }
    else if (!is_stop && soak_random(w->s, 1000) < w->refused_permille) {
        web_reply(r, chance % 2 ? 429 : 503, "application/json", STR("{}"), 0);
    }
    else if ((chance < w->late_permille || (is_stop && w->late_stops)) &&
             w->delayed_count < DELAYED_MAX) {
        struct delayed_order *delayed = &w->delayed[w->delayed_count++];

        delayed->at_ms = w->now + 2000 + soak_random(w->s, 6000);
        delayed->is_stop = is_stop;
        delayed->id = id != NULL ? str_dup(str_of(id)) : NULL;
        delayed->body = str_dup(web_body(r));
        leave_unanswered(w, r);
    }
    else if (!is_meant_for(w, id)) {
        web_reply(r, 421, "application/json", STR("{}"), 0);
    }
    else if (chance < w->late_permille + w->lost_permille) {
        carry_out(w, NULL, web_body(r), is_stop);
        leave_unanswered(w, r);
    }
    else {
        carry_out(w, r, web_body(r), is_stop);
    }
}

static void
on_request(void *ctx, struct web_req *r)
{
    struct fw_server *server = ctx;
    const char *host = web_header(r, "Host");

    for (size_t i = 0; host != NULL && i < server->count; i++) {
        if (strcmp(server->workers[i]->host, host) == 0) {
            web_set_ctx(r, server->workers[i]);
            handle_request(server->workers[i], r);
            return;
        }
    }
    web_reply(r, 400, "application/json", STR("{}"), 0);
}

static void
on_disconnect(void *ctx, struct web_req *r)
{
    struct fake_worker *w = web_ctx(r);

    (void)ctx;
    if (w == NULL) {
        return;
    }

    for (size_t i = 0; i < w->poll_count; i++) {
        if (w->polls[i].r == r) {
            w->polls[i] = w->polls[--w->poll_count];
            return;
        }
    }
    for (size_t i = 0; i < w->unanswered_count; i++) {
        if (w->unanswered[i] == r) {
            w->unanswered[i] = w->unanswered[--w->unanswered_count];
            return;
        }
    }
}

/* --- time --- */

static void
tick_runs(struct fake_worker *w)
{
    bool lapsed = w->run_count > 0 && worker_clock_ms(w) > w->until_ms;

    for (size_t i = 0; i < w->run_count;) {
        struct run *r = &w->runs[i];

        if (lapsed) {
            end_run(w, r, "lapsed");
        }
        else if (w->now >= r->ends_ms) {
            end_run(w, r,
                r->stopping ? "stopped"
                : r->fails  ? "failed"
                            : "done");
        }
        else {
            i++;
        }
    }
}

static void
tick_polls(struct fake_worker *w)
{
    for (size_t i = 0; i < w->poll_count;) {
        struct pending_poll pending = w->polls[i];

        if (w->outcome_count > 0 || w->now >= pending.until_ms) {
            w->polls[i] = w->polls[--w->poll_count];
            answer_poll(w, pending.r);
            i = 0;
            continue;
        }
        i++;
    }
}

static void
tick_delayed(struct fake_worker *w)
{
    for (size_t i = 0; i < w->delayed_count;) {
        struct delayed_order order = w->delayed[i];

        if (w->now >= order.at_ms) {
            w->delayed[i] = w->delayed[--w->delayed_count];
            if (is_meant_for(w, order.id)) {
                carry_out(w, NULL, str_of(order.body), order.is_stop);
            }
            free(order.id);
            free(order.body);
            continue;
        }
        i++;
    }
}

void
fw_tick(struct fake_worker *w, uint64_t now)
{
    w->now = now;
    if (now < w->down_until_ms) {
        return;
    }
    tick_runs(w);
    tick_polls(w);
    tick_delayed(w);
}

/* --- control --- */

static void
begin_incarnation(struct fake_worker *w, uint64_t at_ms)
{
    w->started_ms = 1700000000000U + at_ms;
    snprintf(w->id, sizeof(w->id), "%s-%" PRIu64, w->host,
        w->renews_id ? w->started_ms : 0);
    w->incarnation_ms = at_ms;
    w->until_ms = 0;
    w->fence = 0;
    w->drain_ms = 0;
    w->seq = 0;
    w->next_outcome = 1;
    w->run_count = 0;
    w->outcome_count = 0;
    w->past_count = 0;
    memset(w->past, 0, sizeof(w->past));
}

void
fw_crash(struct fake_worker *w, uint64_t now, uint32_t for_ms)
{
    if (now < w->down_until_ms) {
        return;
    }
    for (size_t i = 0; i < w->run_count; i++) {
        report_end(w, &w->runs[i], "lost");
    }
    begin_incarnation(w, now + for_ms);
    w->down_until_ms = now + for_ms;
}

void
fw_set_loss(
    struct fake_worker *w, uint32_t lost_permille, uint32_t late_permille)
{
    w->lost_permille = lost_permille;
    w->late_permille = late_permille;
}

void
fw_set_late_stops(struct fake_worker *w, bool on)
{
    w->late_stops = on;
}

void
fw_set_refusals(struct fake_worker *w, uint32_t permille)
{
    w->refused_permille = permille;
}

void
fw_set_slowdown(struct fake_worker *w, uint32_t factor)
{
    w->slowdown = factor;
}

bool
fw_is_running(const struct fake_worker *w, uint64_t job, uint32_t index)
{
    struct task t = {job, index};

    return find_run((struct fake_worker *)w, &t) != NULL;
}

void
fw_drain(struct fake_worker *w, uint32_t left_ms)
{
    w->drain_ms = w->now;
    w->exit_ms = w->now + left_ms;
}

uint64_t
fw_drain_ms(const struct fake_worker *w)
{
    return w->drain_ms;
}

const char *
fw_id(const struct fake_worker *w)
{
    return w->id;
}

void
fw_announce(struct fake_worker *w, struct buf *out)
{
    if (w->now < w->down_until_ms) {
        return;
    }
    buf_addf(out,
        "{\"service\":\"s\",\"state\":\"%s\",\"seq_no\":%" PRIu64
        ",\"born\":%" PRIu64 ",\"free_capacity\":{\"cpu\":%d,"
        "\"mem_mb\":1000,\"gpus\":0}",
        w->drain_ms != 0 ? "draining" : "ready", ++w->seq, w->started_ms,
        WORKER_MILLICORES);
    if (w->drain_ms != 0) {
        buf_addf(out, ",\"remaining_ms\":%" PRIu64,
            num_sub_sat(w->exit_ms, w->now));
    }
    buf_addf(out, "}");
}

struct fw_server *
fw_server_new(struct ev_loop *loop, uint16_t port)
{
    struct fw_server *server = dw_zero(1, sizeof(*server));
    struct web_cfg cfg = {"127.0.0.1", port, {4000, 1 << 16, 120, 0, 0, 0}};
    struct err e = {""};

    if (web_open(&server->web, loop, &cfg, on_request, on_disconnect, server,
            &e) != WEB_OK) {
        fprintf(stderr, "soak: %s\n", e.msg);
        exit(2);
    }
    return server;
}

struct fake_worker *
fw_new(struct soak *s, struct fw_server *server, const char *host,
    const struct fw_events *events, void *ctx)
{
    struct fake_worker *w = dw_zero(1, sizeof(*w));

    w->s = s;
    w->events = events;
    w->ctx = ctx;
    w->slowdown = 1;
    str_copy(w->host, sizeof(w->host), str_of(host));
    w->renews_id = server->count % 2 != 0;
    begin_incarnation(w, 0);
    server->workers[server->count++] = w;
    return w;
}

void
fw_free(struct fake_worker *w)
{
    while (w->poll_count > 0) {
        web_reply(w->polls[--w->poll_count].r, 503, "application/json",
            STR("{}"), 0);
    }
    while (w->unanswered_count > 0) {
        web_reply(w->unanswered[--w->unanswered_count], 503,
            "application/json", STR("{}"), 0);
    }
    for (size_t i = 0; i < w->delayed_count; i++) {
        free(w->delayed[i].id);
        free(w->delayed[i].body);
    }
    free(w);
}
