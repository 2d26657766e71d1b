#include "backend.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "log.h"

#define URL_MAX 256
#define HEADER_MAX 320
#define RESULT_MAX 65536U
#define USAGE_INTERVAL_S 1.0
/* ms after a task's deadline at which its HTTP request times out; no response
 * is expected after that. */
#define RESPONSE_MARGIN_MS 5000U

enum { STATUS_OK = 200, STATUS_GONE = 410 };

struct run {
    uint64_t ref;
    struct backend *b;
    UT_hash_handle hh;
};

struct backend {
    struct ev_loop *loop;
    struct httpc *http;
    struct backend_cfg cfg;
    const struct backend_events *events;
    void *ctx;
    const struct backend_server_ops *server;
    const struct backend_worker_ops *worker;
    char server_url[URL_MAX];
    char worker_url[URL_MAX];
    ev_timer lease;
    ev_timer poll;
    struct run *runs;
    bool polling;        /* a usage request is pending */
    uint64_t usage_next; /* cursor of the next usage request */
};

/* --- the backend server --- */

static dw_tstate
state_of(const struct httpc_result *d)
{
    switch (d->status) {
    case HTTPC_NOT_SENT:
        return DW_T_NOT_STARTED;
    case HTTPC_FAILED_AFTER_SEND:
    case HTTPC_TIMEOUT:
        return DW_T_UNKNOWN;
    case HTTPC_OK:
        break;
    }
    if (d->http_status == STATUS_OK) {
        return DW_T_DONE;
    }
    return d->http_status == STATUS_GONE ? DW_T_STOPPED : DW_T_ERROR;
}

static void
on_run_done(void *ctx, const struct httpc_result *d)
{
    struct run *r = ctx;
    struct backend *b = r->b;
    uint64_t ref = r->ref;

    if (d->status != HTTPC_OK) {
        log_event(LOG_LEVEL_DEBUG, "backend_failed",
            "ref=%016" PRIx64 " error=\"%s\"", ref, d->error);
    }
    HASH_DEL(b->runs, r);
    free(r);
    b->events->ended(
        b->ctx, ref, state_of(d), (uint32_t)d->http_status, d->body);
}

static bool
on_before_send(void *ctx)
{
    struct run *r = ctx;

    return r->b->events->may_start(r->b->ctx, r->ref);
}

static void
http_run(struct backend *b, const struct host_run *hr)
{
    struct run *r = dw_zero(1, sizeof(*r));
    struct str customer = sk_customer(&hr->rec->sk);
    struct str key = sk_key(&hr->rec->sk);
    char lines[6][HEADER_MAX];
    const char *headers[7] = {0};
    struct httpc_call call = {0};
    char url[URL_MAX + 8];

    snprintf(url, sizeof(url), "%s/run", b->server_url);
    snprintf(lines[0], HEADER_MAX, "Task-Ref: %016" PRIx64, hr->ref);
    snprintf(lines[1], HEADER_MAX, "Task-Kind: %.*s",
        (int)hr->task.kind.dw_bytes_len, hr->task.kind.dw_bytes_val);
    snprintf(lines[2], HEADER_MAX, "Task-Customer: %.*s", (int)customer.n,
        customer.p);
    snprintf(lines[3], HEADER_MAX, "Task-Key: %.*s", (int)key.n, key.p);
    snprintf(lines[4], HEADER_MAX, "Task-Index: %u", hr->task.index);
    snprintf(lines[5], HEADER_MAX, "Lease-Ms: %u", b->cfg.lease_ms);
    for (size_t i = 0; i < 6; i++) {
        headers[i] = lines[i];
    }
    r->ref = hr->ref;
    r->b = b;
    HASH_ADD(hh, b->runs, ref, sizeof(r->ref), r);
    call.method = "POST";
    call.url = url;
    call.headers = headers;
    call.body = str_bytes(&hr->task.payload);
    call.timeout_ms =
        (uint32_t)(hr->deadline_ms - hr->started_ms) + RESPONSE_MARGIN_MS;
    call.connect_timeout_ms = 1000;
    call.body_max = RESULT_MAX;
    call.done = on_run_done;
    call.before_send = on_before_send;
    call.ctx = r;
    httpc_start(b->http, &call);
}

static const struct backend_server_ops http_server = {http_run};

/* --- the worker --- */

static void
log_failure(void *ctx, const struct httpc_result *d)
{
    (void)ctx;
    if (d->status != HTTPC_OK) {
        log_event(LOG_LEVEL_DEBUG, "worker_failed", "error=\"%s\"", d->error);
    }
}

static void
worker_call(struct backend *b, const char *method, const char *path,
    struct str body, httpc_done_fn done)
{
    struct httpc_call call = {0};
    char url[URL_MAX + 64];

    if (b->worker_url[0] == '\0') {
        return;
    }
    snprintf(url, sizeof(url), "%s%s", b->worker_url, path);
    call.method = method;
    call.url = url;
    call.body = body;
    call.timeout_ms = b->cfg.timeout_ms;
    /* Renewals, stops and reads of the usage from a cursor. */
    call.idempotent = true;
    call.done = done;
    call.ctx = b;
    httpc_start(b->http, &call);
}

static void
http_renew(struct backend *b)
{
    struct buf body = {0};
    struct run *r;

    if (b->runs == NULL) {
        return;
    }
    buf_addf(&body, "{\"lease_ms\":%u,\"refs\":[", b->cfg.lease_ms);
    for (r = b->runs; r != NULL; r = r->hh.next) {
        buf_addf(
            &body, "%s\"%016" PRIx64 "\"", r == b->runs ? "" : ",", r->ref);
    }
    buf_add(&body, STR("]}"));
    worker_call(b, "POST", "/leases", buf_str(&body), log_failure);
    buf_free(&body);
}

static void
http_stop(struct backend *b, uint64_t ref)
{
    char path[48];

    snprintf(path, sizeof(path), "/stop/%016" PRIx64, ref);
    worker_call(b, "POST", path, STR(""), log_failure);
}

static void
on_usage(void *ctx, const struct httpc_result *d)
{
    struct backend *b = ctx;
    json_t *o = NULL;
    size_t i;
    json_t *row;

    b->polling = false;
    if (d->status == HTTPC_OK && d->http_status == STATUS_OK) {
        o = json_loadb(d->body.p, d->body.n, 0, NULL);
    }
    if (o != NULL) {
        b->usage_next =
            (uint64_t)json_integer_value(json_object_get(o, "next"));
    }
    json_array_foreach (json_object_get(o, "usage"), i, row) {
        const char *kind = json_string_value(json_object_get(row, "kind"));

        if (kind != NULL) {
            b->events->usage(b->ctx, str_of(kind),
                (uint32_t)json_integer_value(
                    json_object_get(row, "millicores")),
                (uint32_t)json_integer_value(
                    json_object_get(row, "memory_mb")));
        }
    }
    json_decref(o);
}

static void
http_usage(struct backend *b)
{
    char path[64];

    if (b->polling || b->worker_url[0] == '\0') {
        return;
    }
    b->polling = true;
    snprintf(path, sizeof(path), "/usage?since=%" PRIu64, b->usage_next);
    worker_call(b, "GET", path, STR(""), on_usage);
}

static const struct backend_worker_ops http_worker = {
    http_renew, http_stop, http_usage};

/* --- timers and interface --- */

static void
on_lease_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct backend *b = w->data;

    (void)loop;
    (void)revents;
    b->worker->renew(b);
}

static void
on_usage_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct backend *b = w->data;

    (void)loop;
    (void)revents;
    b->worker->usage(b);
}

struct backend *
backend_new(struct ev_loop *loop, struct httpc *http,
    const struct backend_cfg *cfg, const struct backend_events *events,
    void *ctx)
{
    struct backend *b = dw_zero(1, sizeof(*b));
    double renew_s = cfg->lease_ms / 3000.0;

    b->loop = loop;
    b->http = http;
    b->cfg = *cfg;
    b->events = events;
    b->ctx = ctx;
    b->server = &http_server;
    b->worker = &http_worker;
    ev_timer_init(&b->lease, on_lease_timer, renew_s, renew_s);
    b->lease.data = b;
    ev_timer_start(loop, &b->lease);
    ev_timer_init(
        &b->poll, on_usage_timer, USAGE_INTERVAL_S, USAGE_INTERVAL_S);
    b->poll.data = b;
    ev_timer_start(loop, &b->poll);
    return b;
}

void
backend_free(struct backend *b)
{
    struct run *r;
    struct run *tmp;

    ev_timer_stop(b->loop, &b->lease);
    ev_timer_stop(b->loop, &b->poll);
    HASH_ITER (hh, b->runs, r, tmp) {
        HASH_DEL(b->runs, r);
        free(r);
    }
    free(b);
}

void
backend_set_urls(struct backend *b, const char *server, const char *worker)
{
    str_copy(b->server_url, sizeof(b->server_url), str_of(server));
    if (strcmp(b->worker_url, worker) != 0) {
        b->usage_next = 0;
    }
    str_copy(b->worker_url, sizeof(b->worker_url), str_of(worker));
}

void
backend_run(struct backend *b, const struct host_run *r)
{
    b->server->run(b, r);
}

void
backend_stop(struct backend *b, uint64_t ref)
{
    b->worker->stop(b, ref);
}
