/*
 * fake-store - a stand-in for the platform's key-value store
 *
 * Speaks the part of the etcd v3 JSON gateway that dunlinweir uses: range,
 * txn with compare on mod_revision, watch.  POST /control?down=1&slow_ms=50
 * &lose=300 sets switches: down drops all requests, slow_ms delays the
 * replies, and lose is the share in permille of transactions that take effect
 * but whose reply is dropped.  GET /control returns the switches and the
 * request counts.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <inttypes.h>
#include <jansson.h>
#include <microhttpd.h>
#include <nettle/base64.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "../str.h"

#define KEYS_MAX 100000
#define EVENTS_MAX 65536

struct kv {
    char *key;        /* base64, as the gateway sends it */
    char *value;      /* base64 */
    uint64_t mod;     /* revision of the last change */
    uint64_t created; /* revision of the creation */
};

/* A change of a key, for watches. */
struct event {
    uint64_t rev;
    char *key; /* base64 */
};

/* The body of a request, as far as received. */
struct body {
    struct buf b;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static struct kv *items[KEYS_MAX];
static size_t kv_count;
static struct event events[EVENTS_MAX];
static size_t event_count;
static uint64_t revision = 1;
static unsigned down;
static unsigned slow_ms;
static unsigned lose_permille;
static unsigned random_state = 1;
static uint64_t range_count;
static uint64_t txn_count;
static uint64_t watch_count;
static uint64_t lost_answers;

static struct str
decode(const char *text, char *out, size_t cap)
{
    struct base64_decode_ctx ctx;
    size_t n = cap;

    base64_decode_init(&ctx);
    if (text == NULL || strlen(text) / 4 * 3 + 3 > cap ||
        !base64_decode_update(&ctx, &n, (uint8_t *)out, strlen(text), text)) {
        n = 0;
    }
    return str_make(out, n);
}

static struct kv *
find(const char *key)
{
    for (size_t i = 0; i < kv_count; i++) {
        if (strcmp(items[i]->key, key) == 0) {
            return items[i];
        }
    }
    return NULL;
}

static void
add_event(const char *key)
{
    if (event_count == EVENTS_MAX) {
        fprintf(stderr, "fake-store: too many events\n");
        exit(1);
    }
    events[event_count].rev = revision;
    events[event_count].key = str_dup(str_of(key));
    event_count++;
}

static void
put(const char *key, const char *value)
{
    struct kv *kv = find(key);

    if (kv == NULL) {
        if (kv_count == KEYS_MAX) {
            fprintf(stderr, "fake-store: too many keys\n");
            exit(1);
        }
        kv = dw_zero(1, sizeof(*kv));
        kv->key = str_dup(str_of(key));
        kv->created = revision;
        items[kv_count++] = kv;
    }
    free(kv->value);
    kv->value = str_dup(str_of(value));
    kv->mod = revision;
    add_event(key);
}

static void
delete_key(const char *key)
{
    for (size_t i = 0; i < kv_count; i++) {
        if (strcmp(items[i]->key, key) == 0) {
            add_event(key);
            free(items[i]->key);
            free(items[i]->value);
            free(items[i]);
            items[i] = items[--kv_count];
            return;
        }
    }
}

/* --- requests --- */

static json_t *
header(void)
{
    return json_pack("{s:o}", "revision", json_sprintf("%" PRIu64, revision));
}

static json_t *
kv_json(const struct kv *kv)
{
    return json_pack("{s:s, s:s, s:o, s:o}", "key", kv->key, "value",
        kv->value, "mod_revision", json_sprintf("%" PRIu64, kv->mod),
        "create_revision", json_sprintf("%" PRIu64, kv->created));
}

static bool
in_range(const char *key64, struct str from, struct str to)
{
    char key[512];
    struct str k = decode(key64, key, sizeof(key));
    size_t n;

    if (to.n == 0) {
        return str_eq(k, from);
    }
    n = k.n < from.n ? k.n : from.n;
    if (memcmp(k.p, from.p, n) < 0 || k.n < from.n) {
        return false;
    }
    n = k.n < to.n ? k.n : to.n;
    return memcmp(k.p, to.p, n) < 0;
}

static json_t *
range(json_t *in)
{
    char from_bytes[512];
    char to_bytes[512];
    const char *key = json_string_value(json_object_get(in, "key"));
    const char *end = json_string_value(json_object_get(in, "range_end"));
    struct str from = decode(key, from_bytes, sizeof(from_bytes));
    struct str to = decode(end, to_bytes, sizeof(to_bytes));
    json_t *list = json_array();

    range_count++;
    for (size_t i = 0; i < kv_count; i++) {
        if (in_range(items[i]->key, from, to)) {
            json_array_append_new(list, kv_json(items[i]));
        }
    }
    return json_pack("{s:o, s:o}", "header", header(), "kvs", list);
}

static bool
conditions_hold(json_t *list)
{
    size_t i;
    json_t *c;

    json_array_foreach (list, i, c) {
        const char *key = json_string_value(json_object_get(c, "key"));
        const char *mod =
            json_string_value(json_object_get(c, "mod_revision"));
        const struct kv *kv = find(key);

        if ((kv != NULL ? kv->mod : 0) != strtoull(mod, NULL, 10)) {
            return false;
        }
    }
    return true;
}

static void
apply(json_t *list)
{
    size_t i;
    json_t *op;

    revision++;
    json_array_foreach (list, i, op) {
        json_t *p = json_object_get(op, "request_put");
        json_t *d = json_object_get(op, "request_delete_range");

        if (p != NULL) {
            put(json_string_value(json_object_get(p, "key")),
                json_string_value(json_object_get(p, "value")));
        }
        if (d != NULL) {
            delete_key(json_string_value(json_object_get(d, "key")));
        }
    }
    pthread_cond_broadcast(&changed);
}

static json_t *
txn(json_t *in)
{
    bool ok = conditions_hold(json_object_get(in, "compare"));

    txn_count++;
    if (ok) {
        apply(json_object_get(in, "success"));
    }
    return json_pack("{s:o, s:b}", "header", header(), "succeeded", ok);
}

/* --- watches --- */

struct watcher {
    uint64_t seen; /* revision up to which events are in pending */
    char from_bytes[512];
    char to_bytes[512];
    struct str from;
    struct str to;
    struct buf pending;
    size_t done; /* bytes of pending already sent */
};

static void
add_events(struct watcher *w)
{
    json_t *list = json_array();
    char *text;

    for (size_t i = event_count; i > 0 && events[i - 1].rev > w->seen; i--) {
        if (in_range(events[i - 1].key, w->from, w->to)) {
            json_array_append_new(
                list, json_pack("{s:{s:s}}", "kv", "key", events[i - 1].key));
        }
    }
    w->seen = revision;
    if (json_array_size(list) > 0) {
        json_t *o = json_pack(
            "{s:{s:o, s:o}}", "result", "header", header(), "events", list);

        text = json_dumps(o, JSON_COMPACT);
        buf_addf(&w->pending, "%s\n", text);
        free(text);
        json_decref(o);
    }
    else {
        json_decref(list);
    }
}

static ssize_t
read_watch(void *ctx, uint64_t pos, char *out, size_t max)
{
    struct watcher *w = ctx;
    struct timespec until;
    size_t n;

    (void)pos;
    pthread_mutex_lock(&lock);
    while (w->done == w->pending.n && down == 0) {
        w->done = 0;
        w->pending.n = 0;
        add_events(w);
        if (w->pending.n > 0) {
            break;
        }
        clock_gettime(CLOCK_REALTIME, &until);
        until.tv_sec += 1;
        pthread_cond_timedwait(&changed, &lock, &until);
    }
    if (down != 0) {
        pthread_mutex_unlock(&lock);
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    n = w->pending.n - w->done;
    n = n < max ? n : max;
    memcpy(out, w->pending.p + w->done, n);
    w->done += n;
    pthread_mutex_unlock(&lock);
    return (ssize_t)n;
}

static void
free_watcher(void *ctx)
{
    struct watcher *w = ctx;

    buf_free(&w->pending);
    free(w);
}

static enum MHD_Result
watch(struct MHD_Connection *conn, json_t *in)
{
    json_t *create = json_object_get(in, "create_request");
    struct watcher *w = dw_zero(1, sizeof(*w));
    struct MHD_Response *r;
    enum MHD_Result res;

    w->from = decode(json_string_value(json_object_get(create, "key")),
        w->from_bytes, sizeof(w->from_bytes));
    w->to = decode(json_string_value(json_object_get(create, "range_end")),
        w->to_bytes, sizeof(w->to_bytes));
    pthread_mutex_lock(&lock);
    watch_count++;
    w->seen = revision;
    pthread_mutex_unlock(&lock);
    buf_add(&w->pending, STR("{\"result\":{\"created\":true}}\n"));
    r = MHD_create_response_from_callback(
        MHD_SIZE_UNKNOWN, 65536, read_watch, w, free_watcher);
    res = MHD_queue_response(conn, 200, r);
    MHD_destroy_response(r);
    return res;
}

/* --- HTTP --- */

static enum MHD_Result
reply(struct MHD_Connection *conn, json_t *o)
{
    char *text = json_dumps(o, JSON_COMPACT);
    struct MHD_Response *r = MHD_create_response_from_buffer(
        strlen(text), text, MHD_RESPMEM_MUST_FREE);
    enum MHD_Result res;

    MHD_add_response_header(r, "Content-Type", "application/json");
    res = MHD_queue_response(conn, 200, r);
    MHD_destroy_response(r);
    json_decref(o);
    return res;
}

static void
set_switch(struct MHD_Connection *conn, const char *name, unsigned *value)
{
    const char *text =
        MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, name);

    if (text != NULL) {
        *value = (unsigned)strtoul(text, NULL, 10);
    }
}

static enum MHD_Result
control(struct MHD_Connection *conn, const char *method)
{
    json_t *o;

    pthread_mutex_lock(&lock);
    if (strcmp(method, "POST") == 0) {
        set_switch(conn, "down", &down);
        set_switch(conn, "slow_ms", &slow_ms);
        set_switch(conn, "lose", &lose_permille);
        pthread_cond_broadcast(&changed);
    }
    o = json_pack("{s:i,s:i,s:i,s:I,s:I,s:I,s:I,s:I}", "down", (int)down,
        "slow_ms", (int)slow_ms, "lose", (int)lose_permille, "reads",
        (json_int_t)range_count, "txns", (json_int_t)txn_count, "watches",
        (json_int_t)watch_count, "lost", (json_int_t)lost_answers, "revision",
        (json_int_t)revision);
    pthread_mutex_unlock(&lock);
    return reply(conn, o);
}

static enum MHD_Result
call(struct MHD_Connection *conn, const char *url, json_t *in)
{
    json_t *o = NULL;
    bool lose_answer = false;
    unsigned delay;

    pthread_mutex_lock(&lock);
    if (down != 0) {
        pthread_mutex_unlock(&lock);
        return MHD_NO;
    }
    if (strcmp(url, "/v3/kv/range") == 0) {
        o = range(in);
    }
    else if (strcmp(url, "/v3/kv/txn") == 0) {
        o = txn(in);
        lose_answer = (unsigned)rand_r(&random_state) % 1000 < lose_permille;
        lost_answers += lose_answer;
    }
    delay = slow_ms;
    pthread_mutex_unlock(&lock);
    if (delay > 0) {
        usleep(delay * 1000);
    }
    if (o == NULL || lose_answer) {
        json_decref(o);
        return MHD_NO;
    }
    return reply(conn, o);
}

static enum MHD_Result
on_access(void *ctx, struct MHD_Connection *conn, const char *url,
    const char *method, const char *version, const char *data, size_t *size,
    void **req)
{
    struct body *b = *req;
    json_t *in;
    enum MHD_Result res;

    (void)ctx;
    (void)version;
    if (b == NULL) {
        *req = dw_zero(1, sizeof(*b));
        return MHD_YES;
    }
    if (*size > 0) {
        buf_add(&b->b, str_make(data, *size));
        *size = 0;
        return MHD_YES;
    }
    if (strcmp(url, "/control") == 0) {
        return control(conn, method);
    }
    in = json_loadb(b->b.p != NULL ? b->b.p : "", b->b.n, 0, NULL);
    res = strcmp(url, "/v3/watch") == 0 && down == 0 ? watch(conn, in)
                                                     : call(conn, url, in);
    json_decref(in);
    return res;
}

static void
on_request_end(void *ctx, struct MHD_Connection *conn, void **req,
    enum MHD_RequestTerminationCode reason)
{
    struct body *b = *req;

    (void)ctx;
    (void)conn;
    (void)reason;
    if (b != NULL) {
        buf_free(&b->b);
        free(b);
    }
}

int
main(int argc, char **argv)
{
    unsigned port = argc > 1 ? (unsigned)strtoul(argv[1], NULL, 10) : 0;
    struct MHD_Daemon *d;
    struct sockaddr_in sa = {0};
    sigset_t set;
    int signum;

    if (port == 0 || port > 65535) {
        fprintf(stderr, "usage: fake-store PORT\n");
        return 2;
    }
    sa.sin_family = AF_INET;
    sa.sin_port = htons((uint16_t)port);
    sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
    signal(SIGPIPE, SIG_IGN);
    d = MHD_start_daemon(
        MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION,
        (uint16_t)port, NULL, NULL, on_access, NULL, MHD_OPTION_SOCK_ADDR,
        (struct sockaddr *)&sa, MHD_OPTION_NOTIFY_COMPLETED, on_request_end,
        NULL, MHD_OPTION_CONNECTION_LIMIT, 2000U,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
    if (d == NULL) {
        fprintf(stderr, "fake-store: port %u: %s\n", port, strerror(errno));
        return 1;
    }
    sigwait(&set, &signum);
    _exit(0);
}
