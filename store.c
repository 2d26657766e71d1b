#include "store.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base64.h"
#include "log.h"
#include "view.h"

#define URL_MAX 256
/* Delays in seconds before a failed watch is opened again; the delay doubles
 * with each failure. */
#define WATCH_RETRY_MIN_S 0.2
#define WATCH_RETRY_MAX_S 5.0

struct etcd {
    struct store base;
    struct ev_loop *loop;
    struct httpc *http;
    char url[URL_MAX];
    uint32_t timeout_ms;
    char prefix[128];
    struct httpc_req *watch;
    struct buf watch_line; /* received part of the current line */
    store_change_fn on_change;
    void *on_change_ctx;
    ev_timer retry_timer;
    ev_timer notify_timer; /* runs on_change; see on_watch_line() */
    double retry_s;        /* delay before the next watch */
};

/* A call in progress; one of rev, all and txn is set. */
struct etcd_call {
    struct etcd *s;
    store_check_fn rev;
    store_read_fn all;
    store_txn_fn txn;
    void *ctx;
};

/* --- responses --- */

/* The gateway writes 64-bit numbers as strings, some proxies as numbers. */
static uint64_t
get_number(json_t *o, const char *name)
{
    json_t *v = json_object_get(o, name);

    if (json_is_string(v)) {
        return strtoull(json_string_value(v), NULL, 10);
    }
    return (uint64_t)json_integer_value(v);
}

/* NULL if there is none.  Every response of the gateway has a header, whereas
 * empty lists and false values are omitted: without a header, no response
 * would pass for an empty state or a failed comparison. */
static json_t *
parse_body(const struct httpc_result *result)
{
    json_t *o;

    if (result->status != HTTPC_OK || result->http_status != 200) {
        return NULL;
    }
    o = json_loadb(result->body.p, result->body.n, 0, NULL);
    if (!json_is_object(json_object_get(o, "header"))) {
        json_decref(o);
        return NULL;
    }
    return o;
}

static bool
read_kv(json_t *row, dw_kv *kv)
{
    const char *key = json_string_value(json_object_get(row, "key"));
    const char *value = json_string_value(json_object_get(row, "value"));
    size_t n;

    if (key == NULL) {
        return false;
    }
    kv->key.dw_bytes_val = base64_read(key, &n);
    kv->key.dw_bytes_len = (u_int)n;
    if (kv->key.dw_bytes_val == NULL) {
        kv->key.dw_bytes_len = 0;
        return false;
    }
    kv->value.dw_value_val = base64_read(value != NULL ? value : "", &n);
    kv->value.dw_value_len = kv->value.dw_value_val != NULL ? (u_int)n : 0;
    kv->mod = get_number(row, "mod_revision");
    return kv->value.dw_value_val != NULL;
}

/* False if any row is malformed: a partial state must not pass for the
 * complete one. */
static bool
read_state(json_t *o, dw_state *st)
{
    json_t *rows = json_object_get(o, "kvs");
    size_t n = json_array_size(rows);
    bool ok = true;
    size_t i;
    json_t *row;

    memset(st, 0, sizeof(*st));
    st->whole = true;
    st->kvs.kvs_val = dw_zero(n, sizeof(dw_kv));
    st->kvs.kvs_len = (u_int)n;
    json_array_foreach (rows, i, row) {
        dw_kv *kv = &st->kvs.kvs_val[i];

        ok = ok && read_kv(row, kv);
        if (ok && str_is(str_bytes(&kv->key), VIEW_LAST)) {
            st->rev = kv->mod;
        }
    }
    return ok;
}

static enum store_status
record_failure(
    struct etcd *s, const char *what, const struct httpc_result *result)
{
    s->base.stats.failures++;
    log_event(LOG_LEVEL_DEBUG, "store_failed", "call=%s code=%ld error=\"%s\"",
        what, result->http_status, result->error);
    return result->status == HTTPC_NOT_SENT ? STORE_UNREACHABLE
                                            : STORE_UNKNOWN;
}

static void
on_check(void *ctx, const struct httpc_result *result)
{
    struct etcd_call *c = ctx;
    json_t *o = parse_body(result);
    json_t *rows = json_object_get(o, "kvs");

    if (o == NULL) {
        record_failure(c->s, "check", result);
        c->rev(c->ctx, STORE_UNREACHABLE, 0);
    }
    else {
        c->rev(c->ctx, STORE_OK,
            get_number(json_array_get(rows, 0), "mod_revision"));
    }
    json_decref(o);
    free(c);
}

static void
on_read(void *ctx, const struct httpc_result *result)
{
    struct etcd_call *c = ctx;
    json_t *o = parse_body(result);
    dw_state st = {0};

    if (o == NULL || !read_state(o, &st)) {
        record_failure(c->s, "read", result);
        c->all(c->ctx, STORE_UNREACHABLE, NULL);
    }
    else {
        c->all(c->ctx, STORE_OK, &st);
    }
    xdr_free((xdrproc_t)xdr_dw_state, &st);
    json_decref(o);
    free(c);
}

static void
on_txn(void *ctx, const struct httpc_result *result)
{
    struct etcd_call *c = ctx;
    json_t *o = parse_body(result);

    if (o == NULL) {
        c->txn(c->ctx, record_failure(c->s, "txn", result), 0);
    }
    else if (json_is_true(json_object_get(o, "succeeded"))) {
        c->txn(c->ctx, STORE_OK,
            get_number(json_object_get(o, "header"), "revision"));
    }
    else {
        c->txn(c->ctx, STORE_CONFLICT, 0);
    }
    json_decref(o);
    free(c);
}

/* --- calls --- */

/* A transaction is not idempotent: it changes the revisions that it compares,
 * so the response to a copy would be that the comparison failed. */
static struct httpc_req *
post(struct etcd *s, const char *path, bool idempotent, struct str body,
    uint32_t timeout_ms, httpc_done_fn done, httpc_data_fn data, void *ctx)
{
    static const char *const headers[] = {
        "Content-Type: application/json", NULL};
    struct httpc_call call = {0};
    char url[URL_MAX + 32];

    snprintf(url, sizeof(url), "%s%s", s->url, path);
    call.method = "POST";
    call.url = url;
    call.headers = headers;
    call.body = body;
    call.timeout_ms = timeout_ms;
    call.connect_timeout_ms = s->timeout_ms;
    call.body_max = 64U << 20;
    call.idempotent = idempotent;
    call.done = done;
    call.data = data;
    call.ctx = ctx;
    return httpc_start(s->http, &call);
}

static struct etcd_call *
new_call(struct store *base, void *ctx)
{
    struct etcd_call *c = dw_zero(1, sizeof(*c));

    c->s = (struct etcd *)base;
    c->ctx = ctx;
    return c;
}

static void
add_field(struct buf *b, const char *name, struct str value)
{
    buf_addf(b, "\"%s\":\"", name);
    base64_add(b, value);
    buf_add(b, STR("\""));
}

/* The range of a prefix ends at the prefix with its last byte incremented. */
static void
add_range(struct buf *b, const char *prefix)
{
    size_t n = strlen(prefix);
    char end[128];

    str_copy(end, sizeof(end), str_of(prefix));
    end[n - 1]++;
    add_field(b, "key", str_of(prefix));
    buf_add(b, STR(","));
    add_field(b, "range_end", str_of(end));
}

static void
etcd_check(struct store *base, store_check_fn fn, void *ctx)
{
    struct etcd_call *c = new_call(base, ctx);
    struct buf b = {0};

    c->rev = fn;
    base->stats.reads++;
    buf_add(&b, STR("{"));
    add_field(&b, "key", STR(VIEW_LAST));
    buf_add(&b, STR("}"));
    post(c->s, "/v3/kv/range", true, buf_str(&b), c->s->timeout_ms, on_check,
        NULL, c);
    buf_free(&b);
}

static void
etcd_read(struct store *base, const char *prefix, store_read_fn fn, void *ctx)
{
    struct etcd_call *c = new_call(base, ctx);
    struct buf b = {0};

    c->all = fn;
    base->stats.reads++;
    buf_add(&b, STR("{"));
    add_range(&b, prefix);
    buf_add(&b, STR("}"));
    post(c->s, "/v3/kv/range", true, buf_str(&b), c->s->timeout_ms, on_read,
        NULL, c);
    buf_free(&b);
}

static void
add_put(struct buf *b, const struct txn_put *p)
{
    if (p->value == NULL) {
        buf_add(b, STR("{\"request_delete_range\":{"));
        add_field(b, "key", str_of(p->key));
    }
    else {
        buf_add(b, STR("{\"request_put\":{"));
        add_field(b, "key", str_of(p->key));
        buf_add(b, STR(","));
        add_field(b, "value", str_of(p->value));
    }
    buf_add(b, STR("}}"));
}

static void
add_txn(struct buf *b, const struct txn *t)
{
    struct txn_put last = {VIEW_LAST, "."};

    buf_add(b, STR("{\"compare\":["));
    for (size_t i = 0; i < t->cmp_count; i++) {
        buf_addf(b, "%s{\"target\":\"MOD\",\"result\":\"EQUAL\",",
            i > 0 ? "," : "");
        add_field(b, "key", str_of(t->cmps[i].key));
        buf_addf(b, ",\"mod_revision\":\"%" PRIu64 "\"}", t->cmps[i].mod);
    }
    buf_add(b, STR("],\"success\":["));
    for (size_t i = 0; i < t->put_count; i++) {
        add_put(b, &t->puts[i]);
        buf_add(b, STR(","));
    }
    /* Every write changes the revision of this key, which check() reads. */
    add_put(b, &last);
    buf_add(b, STR("],\"failure\":[]}"));
}

static void
etcd_txn(struct store *base, const struct txn *t, store_txn_fn fn, void *ctx)
{
    struct etcd_call *c = new_call(base, ctx);
    struct buf b = {0};

    c->txn = fn;
    base->stats.txns++;
    add_txn(&b, t);
    post(c->s, "/v3/kv/txn", false, buf_str(&b), c->s->timeout_ms, on_txn,
        NULL, c);
    buf_free(&b);
}

/* --- watching --- */

static void open_watch(struct etcd *s);

static void
on_watch_line(struct etcd *s, struct str text)
{
    json_t *o = json_loadb(text.p, text.n, 0, NULL);
    json_t *result = json_object_get(o, "result");

    if (result != NULL) {
        s->retry_s = WATCH_RETRY_MIN_S;
    }
    if (json_array_size(json_object_get(result, "events")) > 0) {
        /* libcurl accepts no new call inside its own callback: httpc_start()
         * would abort there, and on_change usually starts a read.  It
         * therefore runs from a timer. */
        ev_timer_start(s->loop, &s->notify_timer);
    }
    json_decref(o);
}

static void
on_notify(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct etcd *s = w->data;

    (void)loop;
    (void)revents;
    if (s->on_change != NULL) {
        s->on_change(s->on_change_ctx);
    }
}

static void
on_watch_data(void *ctx, struct str piece)
{
    struct etcd *s = ctx;

    for (size_t i = 0; i < piece.n; i++) {
        if (piece.p[i] != '\n') {
            buf_add(&s->watch_line, str_make(&piece.p[i], 1));
            continue;
        }
        on_watch_line(s, buf_str(&s->watch_line));
        s->watch_line.n = 0;
    }
}

static void
on_watch_done(void *ctx, const struct httpc_result *result)
{
    struct etcd *s = ctx;

    log_event(LOG_LEVEL_DEBUG, "watch_ended", "error=\"%s\"", result->error);
    s->watch = NULL;
    s->watch_line.n = 0;
    ev_timer_set(&s->retry_timer, s->retry_s, 0.0);
    ev_timer_start(s->loop, &s->retry_timer);
    s->retry_s = s->retry_s * 2 > WATCH_RETRY_MAX_S ? WATCH_RETRY_MAX_S
                                                    : s->retry_s * 2;
}

static void
on_retry(struct ev_loop *loop, ev_timer *w, int revents)
{
    (void)loop;
    (void)revents;
    open_watch(w->data);
}

static void
open_watch(struct etcd *s)
{
    struct buf b = {0};

    s->base.stats.watches++;
    buf_add(&b, STR("{\"create_request\":{"));
    add_range(&b, s->prefix);
    buf_add(&b, STR("}}"));
    s->watch = post(
        s, "/v3/watch", true, buf_str(&b), 0, on_watch_done, on_watch_data, s);
    buf_free(&b);
}

static void
etcd_watch(
    struct store *base, const char *prefix, store_change_fn fn, void *ctx)
{
    struct etcd *s = (struct etcd *)base;

    if (s->on_change != NULL) {
        return;
    }
    s->on_change = fn;
    s->on_change_ctx = ctx;
    s->retry_s = WATCH_RETRY_MIN_S;
    str_copy(s->prefix, sizeof(s->prefix), str_of(prefix));
    open_watch(s);
}

static void
etcd_unwatch(struct store *base)
{
    struct etcd *s = (struct etcd *)base;

    ev_timer_stop(s->loop, &s->retry_timer);
    ev_timer_stop(s->loop, &s->notify_timer);
    if (s->watch != NULL) {
        httpc_cancel(s->watch);
        s->watch = NULL;
    }
    s->on_change = NULL;
}

static void
etcd_free(struct store *base)
{
    struct etcd *s = (struct etcd *)base;

    etcd_unwatch(base);
    buf_free(&s->watch_line);
    free(s);
}

static const struct store_ops etcd_ops = {
    etcd_check,
    etcd_read,
    etcd_txn,
    etcd_watch,
    etcd_unwatch,
    etcd_free,
};

struct store *
store_etcd(struct ev_loop *loop, struct httpc *http, const char *url,
    uint32_t timeout_ms)
{
    struct etcd *s = dw_zero(1, sizeof(*s));

    s->base.ops = &etcd_ops;
    s->loop = loop;
    s->http = http;
    s->timeout_ms = timeout_ms;
    str_copy(s->url, sizeof(s->url), str_of(url));
    ev_init(&s->retry_timer, on_retry);
    s->retry_timer.data = s;
    ev_timer_init(&s->notify_timer, on_notify, 0.0, 0.0);
    s->notify_timer.data = s;
    return &s->base;
}
