/*
 * The HTTP interface of a process: jobs of callers, announcements of the
 * backend server, metrics and probes.
 */
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "daemon.h"
#include "proc.h"
#include "log.h"

#define JOBS_PATH "/v1/jobs"
#define BACKEND_PATH "/v1/backend"
#define KIND_MAX_BYTES 63
#define PAYLOAD_MAX_BYTES 65536
#define JSON_DEPTH_MAX 32
#define DEADLINE_MAX_MS 3600000

/* A caller's HTTP request whose answer is pending. */
struct waiter {
    uint64_t request_id; /* key of daemon.waiters */
    struct web_req *r;
    struct subkey sk;
    bool is_cancel; /* a cancellation: not_run and failed are successes */
    UT_hash_handle hh;
};

/* A submission's state as callers see it. */
static const char *const state_names[] = {
    [DW_A_COMPLETE] = "complete",
    [DW_A_FAILED] = "failed",
    [DW_A_NOT_RUN] = "not_run",
    [DW_A_UNKNOWN] = "unknown",
    [DW_A_MISMATCH] = "mismatch",
    [DW_A_MOVED] = "unknown",
    [DW_A_RUNNING] = "running",
};

/* A task's state as callers see it. */
static const char *const task_names[] = {
    [DW_T_WAITING] = "not_started",
    [DW_T_OFFERED] = "unknown",
    [DW_T_QUEUED] = "unknown",
    [DW_T_RUNNING] = "unknown",
    [DW_T_DONE] = "done",
    [DW_T_ERROR] = "error",
    [DW_T_NOT_STARTED] = "not_started",
    [DW_T_UNKNOWN] = "unknown",
    [DW_T_STOPPED] = "stopped",
};

/* --- answers --- */

/* HTTP status and problem detail for each reason of a refusal. */
static const struct {
    const char *reason;
    unsigned status;
    const char *detail;
} refusals[] = {
    {"over_limit", 429, "a limit of the contract is reached; nothing was run"},
    {"limits_settling", 503,
        "the customer's limits are being rebuilt after a change of the "
        "agent that lends them; nothing was run"},
    {"too_old", 503,
        "the request was delayed too long to be started safely; "
        "nothing was run"},
    {"never_fits", 422,
        "one of the tasks exceeds the capacity of every worker in service; "
        "nothing was run"},
    {"overloaded", 503, "too much work is queued; nothing was run"},
    {"deadline_cannot_be_met", 503,
        "the work could not start before the deadline; nothing was run"},
    {"deadline", 503, "the deadline passed before anything was started"},
    {"cancelled", 409, "the submission was cancelled before it was run"},
};

static unsigned
refusal_status(const char *reason, const char **detail)
{
    for (size_t i = 0; i < sizeof(refusals) / sizeof(refusals[0]); i++) {
        if (strcmp(refusals[i].reason, reason) == 0) {
            *detail = refusals[i].detail;
            return refusals[i].status;
        }
    }
    *detail = "nothing was run";
    return 503;
}

static unsigned
answer_status(const struct waiter *w, const dw_answer *a, const char *reason,
    const char **detail)
{
    *detail = "";
    switch (a->state) {
    case DW_A_COMPLETE:
        return 200;
    case DW_A_RUNNING:
        return 202;
    case DW_A_FAILED:
        *detail = "not every task succeeded; see tasks for what ran";
        return w->is_cancel ? 200 : 500;
    case DW_A_NOT_RUN:
        if (w->is_cancel) {
            return 200;
        }
        return refusal_status(reason, detail);
    case DW_A_MISMATCH:
        *detail = "this key was used with another body; nothing was started";
        return 422;
    default:
        break;
    }
    if (strcmp(reason, "not_found") == 0) {
        *detail = "no submission is known under this key";
        return 404;
    }
    *detail = "it is not known whether this submission was run; retry with "
              "the same key";
    return 504;
}

static void
add_outcomes(json_t *o, const dw_answer *a)
{
    json_t *list = json_array();

    for (u_int i = 0; i < a->tasks.tasks_len; i++) {
        const dw_outcome *t = &a->tasks.tasks_val[i];
        json_t *row = json_pack("{s:i, s:s, s:i, s:i}", "index", (int)t->index,
            "state", task_names[t->state], "code", (int)t->code, "ran_ms",
            (int)t->ran_ms);

        if (a->state == DW_A_COMPLETE) {
            json_t *body = json_stringn(
                t->body.dw_bytes_val != NULL ? t->body.dw_bytes_val : "",
                t->body.dw_bytes_len);

            /* A result that is not UTF-8 is sent as hexadecimal. */
            if (body != NULL) {
                json_object_set_new(row, "body", body);
            }
            else {
                struct buf hex = {0};

                for (u_int k = 0; k < t->body.dw_bytes_len; k++) {
                    buf_addf(
                        &hex, "%02x", (unsigned char)t->body.dw_bytes_val[k]);
                }
                json_object_set_new(row, "body_hex", json_string(hex.p));
                buf_free(&hex);
            }
        }
        json_array_append_new(list, row);
    }
    json_object_set_new(o, "tasks", list);
}

static void
reply_answer(const struct waiter *w, const dw_answer *a)
{
    char reason[64];
    const char *detail;
    unsigned status;
    json_t *o = json_object();
    char *text;

    str_copy(reason, sizeof(reason), str_bytes(&a->reason));
    status = answer_status(w, a, reason, &detail);
    if (status >= 400) {
        json_object_set_new(o, "type",
            json_sprintf("urn:dunlinweir:%s",
                reason[0] != '\0' ? reason : state_names[a->state]));
        json_object_set_new(o, "title", json_string(state_names[a->state]));
        json_object_set_new(o, "status", json_integer(status));
        json_object_set_new(o, "detail", json_string(detail));
    }
    json_object_set_new(o, "state", json_string(state_names[a->state]));
    json_object_set_new(
        o, "key", json_stringn(sk_key(&w->sk).p, sk_key(&w->sk).n));
    if (reason[0] != '\0') {
        json_object_set_new(o, "reason", json_string(reason));
    }
    if (a->retry_ms > 0) {
        json_object_set_new(o, "retry_ms", json_integer(a->retry_ms));
    }
    if (a->tasks.tasks_len > 0) {
        add_outcomes(o, a);
    }
    text = json_dumps(o, JSON_COMPACT);
    web_reply(w->r, status,
        status >= 400 ? "application/problem+json" : "application/json",
        str_of(text), (a->retry_ms + 999) / 1000);
    free(text);
    json_decref(o);
}

void
api_answer(struct daemon *d, uint64_t request, const dw_answer *a)
{
    struct waiter *w;

    HASH_FIND(hh, d->waiters, &request, sizeof(request), w);
    if (w == NULL) {
        return;
    }
    HASH_DEL(d->waiters, w);
    web_set_ctx(w->r, NULL);
    reply_answer(w, a);
    free(w);
}

void
api_caller_left(void *ctx, struct web_req *r)
{
    struct daemon *d = ctx;
    struct waiter *w = web_ctx(r);

    ops_caller_left(d, r);
    if (w == NULL || ops_is_path(web_path(r))) {
        return;
    }
    HASH_DEL(d->waiters, w);
    node_caller_disconnected(&d->node, proc_now(), w->request_id);
    free(w);
}

/* --- parsing a job --- */

static int
json_depth(const json_t *v)
{
    int deepest = 0;
    const char *name;
    json_t *child;
    size_t i;

    json_object_foreach ((json_t *)v, name, child) {
        int n = json_depth(child);

        deepest = n > deepest ? n : deepest;
    }
    json_array_foreach (v, i, child) {
        int n = json_depth(child);

        deepest = n > deepest ? n : deepest;
    }
    return deepest + 1;
}

static bool
read_number(json_t *o, const char *name, uint32_t max, uint32_t *out,
    size_t index, struct err *e)
{
    json_t *v = json_object_get(o, name);

    if (v == NULL) {
        return true;
    }
    if (!json_is_integer(v) || json_integer_value(v) < 0 ||
        json_integer_value(v) > max) {
        err_set(e, "tasks[%zu].%s: want a whole number from 0 to %u", index,
            name, max);
        return false;
    }
    *out = (uint32_t)json_integer_value(v);
    return true;
}

static bool
read_payload(json_t *v, dw_task *t, size_t index, struct err *e)
{
    char *text = NULL;
    struct str s = STR("");

    if (json_is_string(v)) {
        s = str_make(json_string_value(v), json_string_length(v));
    }
    else if (v != NULL) {
        text = json_dumps(v, JSON_COMPACT | JSON_ENCODE_ANY);
        s = str_of(text);
    }
    if (s.n > PAYLOAD_MAX_BYTES) {
        err_set(e, "tasks[%zu].payload: %zu bytes, at most %d are allowed",
            index, s.n, PAYLOAD_MAX_BYTES);
        free(text);
        return false;
    }
    t->payload = str_to_bytes(s);
    free(text);
    return true;
}

static bool
is_valid_kind(const char *kind)
{
    return kind != NULL && kind[0] != '\0' && strlen(kind) <= KIND_MAX_BYTES &&
           sk_key_ok(str_of(kind));
}

static bool
read_task(const struct contract *c, json_t *o, dw_task *t, size_t index,
    struct err *e)
{
    const char *kind = json_string_value(json_object_get(o, "kind"));
    const char *name;
    json_t *v;

    if (!json_is_object(o)) {
        err_set(e, "tasks[%zu]: want an object", index);
        return false;
    }
    json_object_foreach (o, name, v) {
        if (strcmp(name, "kind") != 0 && strcmp(name, "payload") != 0 &&
            strcmp(name, "millicores") != 0 &&
            strcmp(name, "memory_mb") != 0 && strcmp(name, "run_ms") != 0) {
            err_set(e, "tasks[%zu].%s is not known", index, name);
            return false;
        }
    }
    if (!is_valid_kind(kind)) {
        err_set(e,
            "tasks[%zu].kind: want 1 to %d printable bytes without "
            "spaces or quotes",
            index, KIND_MAX_BYTES);
        return false;
    }
    t->index = (u_int)index;
    t->kind = str_to_bytes(str_of(kind));
    t->run_ms = 0;
    t->millicores = 0;
    t->memory_mb = 0;
    return read_number(
               o, "millicores", c->max_millicores, &t->millicores, index, e) &&
           read_number(
               o, "memory_mb", c->max_memory_mb, &t->memory_mb, index, e) &&
           read_number(o, "run_ms", c->max_runtime_ms, &t->run_ms, index, e) &&
           read_payload(json_object_get(o, "payload"), t, index, e);
}

static bool
read_tasks(const struct contract *c, json_t *list, dw_submit *s, struct err *e)
{
    size_t n = json_array_size(list);

    if (!json_is_array(list) || n == 0 || n > c->max_tasks) {
        err_set(e, "tasks: want a list of 1 to %u tasks", c->max_tasks);
        return false;
    }
    s->tasks.tasks_val = dw_zero(n, sizeof(dw_task));
    s->tasks.tasks_len = (u_int)n;
    for (size_t i = 0; i < n; i++) {
        if (!read_task(
                c, json_array_get(list, i), &s->tasks.tasks_val[i], i, e)) {
            return false;
        }
    }
    return true;
}

static bool
read_deadline(json_t *o, uint32_t *ms, struct err *e)
{
    json_t *v = json_object_get(o, "deadline_ms");

    if (v == NULL) {
        return true;
    }
    if (!json_is_integer(v) || json_integer_value(v) < 1 ||
        json_integer_value(v) > DEADLINE_MAX_MS) {
        err_set(e, "deadline_ms: want a whole number from 1 to %d",
            DEADLINE_MAX_MS);
        return false;
    }
    *ms = (uint32_t)json_integer_value(v);
    return true;
}

static bool
check_members(json_t *o, struct err *e)
{
    const char *name;
    json_t *v;

    json_object_foreach (o, name, v) {
        if (strcmp(name, "tasks") != 0 && strcmp(name, "deadline_ms") != 0) {
            err_set(e, "%s is not known", name);
            return false;
        }
    }
    return true;
}

static bool
read_job(const struct contract *c, struct str body, dw_submit *s,
    uint32_t *deadline_ms, struct err *e)
{
    json_error_t je;
    json_t *o = json_loadb(body.p, body.n, JSON_REJECT_DUPLICATES, &je);
    bool ok = false;

    if (o == NULL) {
        err_set(e, "line %d column %d: %s", je.line, je.column, je.text);
    }
    else if (!json_is_object(o)) {
        err_set(e, "want an object with a list 'tasks'");
    }
    else if (json_depth(o) > JSON_DEPTH_MAX) {
        err_set(e, "more than %d levels deep", JSON_DEPTH_MAX);
    }
    else {
        ok = check_members(o, e) && read_deadline(o, deadline_ms, e) &&
             read_tasks(c, json_object_get(o, "tasks"), s, e);
    }
    json_decref(o);
    return ok;
}

/* --- callers --- */

static struct str
bearer_token(const struct web_req *r)
{
    const char *h = web_header(r, "Authorization");

    if (h == NULL || strncmp(h, "Bearer ", 7) != 0) {
        return STR("");
    }
    return str_of(h + 7);
}

static const struct contract *
authenticate(struct daemon *d, const struct web_req *r)
{
    struct str token = bearer_token(r);
    const struct view_contract *vc;
    char hash[CT_HASH_HEX + 1];

    if (token.n == 0) {
        return NULL;
    }
    ct_token_hash(token, hash);
    for (vc = d->node.view.contracts; vc != NULL; vc = vc->hh.next) {
        if (strcmp(vc->c.token_sha256, hash) == 0) {
            return &vc->c;
        }
    }
    return NULL;
}

/* Upper bound of the ms that a request waited in the kernel before it was
 * read: the time since the loop last ran, which is long if the process was
 * suspended. */
static uint32_t
max_unread_ms(const struct daemon *d)
{
    uint64_t now = proc_now();

    return now > d->last_tick_ms ? (uint32_t)(now - d->last_tick_ms) : 0;
}

static void
start_request(struct daemon *d, struct web_req *r, const struct contract *c,
    struct str key, enum front_kind kind, dw_msg *msg, uint32_t deadline_ms)
{
    struct waiter *w = dw_zero(1, sizeof(*w));
    dw_submit *s = &msg->dw_msg_u.submit;

    w->request_id = ++d->next_request;
    w->r = r;
    w->is_cancel = kind == FRONT_CANCEL;
    sk_make(&w->sk, str_of(c->customer), key);
    s->customer = str_to_bytes(str_of(c->customer));
    s->key = str_to_bytes(key);
    HASH_ADD(hh, d->waiters, request_id, sizeof(w->request_id), w);
    web_set_ctx(r, w);
    if (node_request(&d->node, proc_now(), w->request_id, kind, msg,
            max_unread_ms(d), deadline_ms, &d->acts) != FRONT_OK) {
        HASH_DEL(d->waiters, w);
        web_set_ctx(r, NULL);
        free(w);
        /* The key may belong to a running job, so the reply must not be "not
         * run". */
        web_problem(r, 503, "entry_full",
            "too many requests are pending here; it is not known whether this "
            "submission was run before",
            1);
        return;
    }
    carry_out(d);
}

static dw_msg *
new_submit(void)
{
    dw_msg *m = dw_zero(1, sizeof(*m));

    m->type = DW_SUBMIT;
    return m;
}

static void
submit(struct daemon *d, struct web_req *r, const struct contract *c)
{
    const char *key = web_header(r, "Idempotency-Key");
    uint32_t deadline_ms = d->conf.default_deadline_ms;
    dw_msg *m = new_submit();
    dw_submit *s = &m->dw_msg_u.submit;
    struct err e = {""};

    if (key == NULL || !sk_key_ok(str_of(key))) {
        web_problem(r, 400, "bad_key",
            "header Idempotency-Key: want 1 to 200 printable bytes without "
            "spaces or quotes",
            0);
        msg_free(m);
        return;
    }
    if (!read_job(c, web_body(r), s, &deadline_ms, &e)) {
        web_problem(r, 400, "bad_job", e.msg, 0);
        msg_free(m);
        return;
    }
    s->body_hash = str_hash(web_body(r), 1) | 1;
    web_release_body(r);
    start_request(d, r, c, str_of(key), FRONT_SUBMIT, m, deadline_ms);
}

static void
handle_job_by_key(struct daemon *d, struct web_req *r,
    const struct contract *c, const char *key)
{
    enum front_kind kind = FRONT_POLL;

    if (!sk_key_ok(str_of(key))) {
        web_problem(r, 400, "bad_key", "the key in the path is malformed", 0);
        return;
    }
    if (strcmp(web_method(r), "DELETE") == 0) {
        kind = FRONT_CANCEL;
    }
    else if (strcmp(web_method(r), "GET") != 0) {
        web_problem(r, 405, "bad_method", "want GET or DELETE", 0);
        return;
    }
    start_request(
        d, r, c, str_of(key), kind, new_submit(), d->conf.default_deadline_ms);
}

static void
handle_jobs(struct daemon *d, struct web_req *r)
{
    const char *rest = web_path(r) + strlen(JOBS_PATH);
    const struct contract *c = authenticate(d, r);

    if (d->stop.begun) {
        web_problem(r, 503, "leaving",
            "this entry is stopping; retry at another entry with the same key",
            1);
        return;
    }
    if (d->node.view.rev == 0) {
        web_problem(r, 503, "starting",
            "this entry has not received its state yet", 1);
        return;
    }
    if (c == NULL) {
        web_problem(r, 401, "bad_credentials",
            "want the bearer token of a contract", 0);
        return;
    }
    if (rest[0] == '/') {
        handle_job_by_key(d, r, c, rest + 1);
    }
    else if (strcmp(web_method(r), "POST") != 0) {
        web_problem(r, 405, "bad_method", "want POST", 0);
    }
    else {
        submit(d, r, c);
    }
}

/* --- the backend server's announcements --- */

static void
announce(struct daemon *d, struct web_req *r)
{
    json_error_t je;
    struct str body = web_body(r);
    json_t *o = json_loadb(body.p, body.n, 0, &je);
    const char *url = json_string_value(json_object_get(o, "url"));
    const char *worker = json_string_value(json_object_get(o, "worker"));
    json_int_t slots = json_integer_value(json_object_get(o, "slots"));

    if (url == NULL || strncmp(url, "http", 4) != 0 || slots < 0 ||
        slots > 10000) {
        web_problem(r, 400, "bad_announcement",
            "want {\"url\":\"http://...\",\"slots\":N}, N from 1 to 10000", 0);
    }
    else {
        backend_set_urls(d->backend, url, worker != NULL ? worker : url);
        d->node.host.announced_ms = proc_now();
        node_backend_status(
            &d->node, proc_now(), true, (uint32_t)slots, &d->acts);
        web_reply(r, 200, "application/json", STR("{\"announced\":true}"), 0);
    }
    json_decref(o);
}

static void
handle_backend(struct daemon *d, struct web_req *r)
{
    if (!web_is_local(r) || !d->node.agent) {
        web_problem(r, 403, "not_here",
            "a backend server announces itself to the agent on its machine",
            0);
        return;
    }
    if (strcmp(web_method(r), "POST") == 0) {
        announce(d, r);
    }
    else if (strcmp(web_method(r), "DELETE") == 0) {
        node_backend_status(&d->node, proc_now(), false, 0, &d->acts);
        web_reply(r, 200, "application/json", STR("{\"leaving\":true}"), 0);
    }
    else {
        web_problem(r, 405, "bad_method", "want POST or DELETE", 0);
    }
    carry_out(d);
}

/* --- metrics and probes --- */

static void
handle_metrics(struct daemon *d, struct web_req *r)
{
    struct buf b = {0};

    metric_format(d, proc_now(), &b);
    web_reply(r, 200, "text/plain; version=0.0.4", buf_str(&b), 0);
    buf_free(&b);
}

static void
handle_health(struct daemon *d, struct web_req *r)
{
    (void)d;
    web_reply(r, 200, "text/plain", STR("ok\n"), 0);
}

static void
handle_ready(struct daemon *d, struct web_req *r)
{
    bool ready = !d->stop.begun && node_fresh(&d->node, proc_now()) &&
                 d->node.view.have_map;

    if (ready) {
        web_reply(r, 200, "text/plain", STR("ready\n"), 0);
    }
    else {
        web_reply(r, 503, "text/plain",
            d->stop.begun ? STR("leaving\n") : STR("not ready\n"), 1);
    }
}

static const struct {
    const char *prefix;
    bool exact;
    void (*handle)(struct daemon *d, struct web_req *r);
} routes[] = {
    {JOBS_PATH, false, handle_jobs},
    {BACKEND_PATH, true, handle_backend},
    {"/metrics", true, handle_metrics},
    {"/healthz", true, handle_health},
    {"/readyz", true, handle_ready},
};

void
api_handle(void *ctx, struct web_req *r)
{
    struct daemon *d = ctx;
    const char *path = web_path(r);

    if (ops_is_path(path)) {
        ops_handle(d, r);
        return;
    }
    for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
        size_t n = strlen(routes[i].prefix);

        if (routes[i].exact ? strcmp(path, routes[i].prefix) == 0
                            : strncmp(path, routes[i].prefix, n) == 0) {
            routes[i].handle(d, r);
            return;
        }
    }
    web_problem(r, 404, "no_such_path", path, 0);
}
