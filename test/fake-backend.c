/*
 * fake-backend - a stand-in for a backend server and its worker
 *
 * usage: fake-backend PORT AGENT_HTTP_PORT [SLOTS]
 *
 * Announces itself to the agent and runs tasks by waiting: the payload's
 * first number is the run time in ms ("120", "120 fail", "120 size 5000").
 * It counts every start by customer, key and index; GET /starts lists them.
 * POST /control?fail=1&leave=1&hang=1&no_lease=1 sets switches: fail all
 * tasks, deregister from the agent, never finish a task, ignore leases.  As
 * the worker it enforces leases (a task whose lease lapsed is stopped with
 * status 410), stops tasks and reports resource use with a delay.
 */
#include <ev.h>
#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <uthash.h>

#include "../httpc.h"
#include "../web.h"

#define ANNOUNCE_S 0.5
#define USAGE_LAG_MS 500
#define USAGE_MAX 100000

/* All starts of one task. */
struct start {
    char *name; /* "customer key index" */
    unsigned count;
    uint64_t first_ms; /* boot clock */
    UT_hash_handle hh;
};

/* A running task. */
struct task {
    char ref[20];
    struct web_req *r; /* NULL after the caller disconnected */
    ev_timer timer;
    char *name;
    char kind[64];
    uint64_t lease_until; /* ms, boot clock */
    unsigned ms;          /* run time */
    size_t size;          /* least size of the answer in bytes */
    bool fail;
    UT_hash_handle hh;
};

/* The resource use of a task that ended. */
struct usage {
    uint64_t ms; /* end of the task, boot clock */
    char kind[64];
    unsigned millicores;
    unsigned memory_mb;
};

static struct ev_loop *loop;
static struct httpc *http;
static struct start *starts;
static struct task *tasks;
static struct usage usages[USAGE_MAX]; /* ring buffer */
static size_t usage_count;
static unsigned port;
static unsigned agent_port;
static unsigned slots = 8;
static bool fail_tasks;
static bool leaving;
static bool hang_tasks;
static bool ignore_leases;
static uint64_t start_total;
static uint64_t repeated_starts;
static uint64_t ended_total;
static uint64_t disconnects; /* callers that closed before their answer */
static uint64_t lapsed_total;
static size_t running_max;

static uint64_t
now_ms(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_BOOTTIME, &ts);
    return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

static void
count_start(const char *name)
{
    struct start *s;

    HASH_FIND_STR(starts, name, s);
    if (s == NULL) {
        s = dw_zero(1, sizeof(*s));
        s->name = str_dup(str_of(name));
        s->first_ms = now_ms();
        HASH_ADD_KEYPTR(hh, starts, s->name, strlen(s->name), s);
    }
    s->count++;
    start_total++;
    repeated_starts += s->count > 1;
}

static void
end_task(struct task *t, unsigned status, const char *body)
{
    struct buf b = {0};

    HASH_DEL(tasks, t);
    ev_timer_stop(loop, &t->timer);
    buf_add(&b, str_of(body));
    while (status == 200 && b.n < t->size) {
        buf_add(&b, STR("."));
    }
    if (t->r != NULL) {
        web_set_ctx(t->r, NULL);
        web_reply(t->r, status, "text/plain", buf_str(&b), 0);
    }
    ended_total++;
    buf_free(&b);
    free(t->name);
    free(t);
}

static void
record_usage(const struct task *t)
{
    struct usage *u = &usages[usage_count % USAGE_MAX];

    u->ms = now_ms();
    str_copy(u->kind, sizeof(u->kind), str_of(t->kind));
    /* Kinds named big-* use more than they declare. */
    u->millicores = strncmp(t->kind, "big", 3) == 0 ? 16000 : 500;
    u->memory_mb = strncmp(t->kind, "big", 3) == 0 ? 32768 : 64;
    usage_count++;
}

static void
on_task_timer(struct ev_loop *l, ev_timer *w, int revents)
{
    struct task *t = w->data;
    char body[512];

    (void)l;
    (void)revents;
    if (hang_tasks) {
        return;
    }
    record_usage(t);
    snprintf(body, sizeof(body), "ran %s", t->name);
    end_task(t, t->fail || fail_tasks ? 500 : 200, body);
}

static const char *
header_of(struct web_req *r, const char *name)
{
    const char *v = web_header(r, name);

    return v != NULL ? v : "-";
}

static void
read_payload(struct task *t, struct str body)
{
    char text[128];
    const char *size;

    str_copy(text, sizeof(text), body);
    t->ms = (unsigned)strtoul(text, NULL, 10);
    t->fail = strstr(text, "fail") != NULL;
    size = strstr(text, "size ");
    t->size = size != NULL ? strtoul(size + 5, NULL, 10) : 0;
}

static void
start_task(struct web_req *r)
{
    struct task *t = dw_zero(1, sizeof(*t));
    struct buf name = {0};

    buf_addf(&name, "%s %s %s", header_of(r, "Task-Customer"),
        header_of(r, "Task-Key"), header_of(r, "Task-Index"));
    t->name = name.p;
    t->r = r;
    str_copy(t->ref, sizeof(t->ref), str_of(header_of(r, "Task-Ref")));
    str_copy(t->kind, sizeof(t->kind), str_of(header_of(r, "Task-Kind")));
    t->lease_until = now_ms() + strtoul(header_of(r, "Lease-Ms"), NULL, 10);
    read_payload(t, web_body(r));
    count_start(t->name);
    HASH_ADD_STR(tasks, ref, t);
    if (HASH_COUNT(tasks) > running_max) {
        running_max = HASH_COUNT(tasks);
    }
    web_set_ctx(r, t);
    ev_timer_init(&t->timer, on_task_timer, t->ms / 1000.0, 0.0);
    t->timer.data = t;
    ev_timer_start(loop, &t->timer);
}

/* --- worker interface --- */

static void
renew_leases(struct web_req *r)
{
    struct str body = web_body(r);
    json_t *o = json_loadb(body.p, body.n, 0, NULL);
    uint64_t until = now_ms() + (uint64_t)json_integer_value(
                                    json_object_get(o, "lease_ms"));
    size_t i;
    json_t *ref;

    json_array_foreach (json_object_get(o, "refs"), i, ref) {
        struct task *t;

        HASH_FIND_STR(tasks, json_string_value(ref), t);
        if (t != NULL) {
            t->lease_until = until;
        }
    }
    json_decref(o);
    web_reply(r, 200, "application/json", STR("{}"), 0);
}

static void
stop_task(struct web_req *r, const char *ref)
{
    struct task *t;

    HASH_FIND_STR(tasks, ref, t);
    if (t != NULL) {
        end_task(t, 410, "stopped");
    }
    web_reply(r, 200, "application/json", STR("{}"), 0);
}

static void
report_usage(struct web_req *r)
{
    const char *since = web_query(r, "since");
    size_t i = since != NULL ? strtoul(since, NULL, 10) : 0;
    struct buf b = {0};
    uint64_t reportable_until = now_ms() - USAGE_LAG_MS;
    bool first = true;

    buf_add(&b, STR("{\"usage\":["));
    for (; i < usage_count && usages[i % USAGE_MAX].ms <= reportable_until;
         i++) {
        const struct usage *u = &usages[i % USAGE_MAX];

        buf_addf(&b, "%s{\"kind\":\"%s\",\"millicores\":%u,\"memory_mb\":%u}",
            first ? "" : ",", u->kind, u->millicores, u->memory_mb);
        first = false;
    }
    buf_addf(&b, "],\"next\":%zu}", i);
    web_reply(r, 200, "application/json", buf_str(&b), 0);
    buf_free(&b);
}

static void
expire_leases(void)
{
    struct task *t;
    struct task *tmp;

    HASH_ITER (hh, tasks, t, tmp) {
        if (!ignore_leases && now_ms() > t->lease_until) {
            lapsed_total++;
            end_task(t, 410, "lease lapsed");
        }
    }
}

/* --- control --- */

static void
list_starts(struct web_req *r)
{
    struct buf b = {0};
    struct start *s;

    for (s = starts; s != NULL; s = s->hh.next) {
        buf_addf(&b, "%s %u %" PRIu64 "\n", s->name, s->count, s->first_ms);
    }
    web_reply(r, 200, "text/plain", buf_str(&b), 0);
    buf_free(&b);
}

static void
set_switch(struct web_req *r, const char *name, bool *value)
{
    const char *text = web_query(r, name);

    if (text != NULL) {
        *value = strcmp(text, "0") != 0;
    }
}

static void
control(struct web_req *r)
{
    struct buf b = {0};

    set_switch(r, "fail", &fail_tasks);
    set_switch(r, "leave", &leaving);
    set_switch(r, "hang", &hang_tasks);
    set_switch(r, "no_lease", &ignore_leases);
    buf_addf(&b,
        "{\"total\":%" PRIu64 ",\"doubles\":%" PRIu64 ",\"ended\":%" PRIu64
        ",\"cut\":%" PRIu64 ",\"lapsed\":%" PRIu64
        ",\"running\":%u,\"running_max\":%zu}",
        start_total, repeated_starts, ended_total, disconnects, lapsed_total,
        HASH_COUNT(tasks), running_max);
    web_reply(r, 200, "application/json", buf_str(&b), 0);
    buf_free(&b);
}

static void
handle(void *ctx, struct web_req *r)
{
    const char *path = web_path(r);

    (void)ctx;
    if (strcmp(path, "/run") == 0) {
        start_task(r);
    }
    else if (strcmp(path, "/leases") == 0) {
        renew_leases(r);
    }
    else if (strncmp(path, "/stop/", 6) == 0) {
        stop_task(r, path + 6);
    }
    else if (strcmp(path, "/usage") == 0) {
        report_usage(r);
    }
    else if (strcmp(path, "/starts") == 0) {
        list_starts(r);
    }
    else {
        control(r);
    }
}

static void
on_disconnect(void *ctx, struct web_req *r)
{
    struct task *t = web_ctx(r);

    (void)ctx;
    disconnects++;
    if (t != NULL) {
        t->r = NULL;
    }
}

static void
ignore_reply(void *ctx, const struct httpc_result *d)
{
    (void)ctx;
    (void)d;
}

static void
announce(struct ev_loop *l, ev_timer *w, int revents)
{
    struct httpc_call call = {0};
    struct buf url = {0};
    struct buf body = {0};

    (void)l;
    (void)w;
    (void)revents;
    expire_leases();
    buf_addf(&url, "http://127.0.0.1:%u/v1/backend", agent_port);
    buf_addf(
        &body, "{\"url\":\"http://127.0.0.1:%u\",\"slots\":%u}", port, slots);
    call.method = leaving ? "DELETE" : "POST";
    call.url = url.p;
    call.body = buf_str(&body);
    call.timeout_ms = 2000;
    call.idempotent = true; /* states what is so */
    call.done = ignore_reply;
    httpc_start(http, &call);
    buf_free(&url);
    buf_free(&body);
}

int
main(int argc, char **argv)
{
    struct web_cfg cfg = {"127.0.0.1", 0, {2000, 1U << 20, 600, 0, 0, 0}};
    struct err e = {""};
    struct web *w;
    ev_timer timer;

    if (argc < 3) {
        fprintf(stderr, "usage: fake-backend PORT AGENT_HTTP_PORT [SLOTS]\n");
        return 2;
    }
    port = (unsigned)strtoul(argv[1], NULL, 10);
    agent_port = (unsigned)strtoul(argv[2], NULL, 10);
    slots = argc > 3 ? (unsigned)strtoul(argv[3], NULL, 10) : slots;
    signal(SIGPIPE, SIG_IGN);
    cfg.port = (uint16_t)port;
    loop = ev_default_loop(0);
    http = httpc_new(loop, 4);
    if (web_open(&w, loop, &cfg, handle, on_disconnect, NULL, &e) != WEB_OK) {
        fprintf(stderr, "fake-backend: %s\n", e.msg);
        return 1;
    }
    ev_timer_init(&timer, announce, 0.05, ANNOUNCE_S);
    ev_timer_start(loop, &timer);
    ev_run(loop, 0);
    return 0;
}
