/* The deployment of rig-2.h: processes, store, runners, clients, links. */
#include "rig-2.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <jansson.h>
#include <nettle/base64.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "num.h"

/* Ports, the same on all machines; the templates set that of the metrics. */
static int first_port;
#define PORT_LINK (first_port)
#define PORT_FRONT (first_port + 1)
#define PORT_CONTROL (first_port + 2)
#define PORT_READY (first_port + 3)
#define PORT_APP (first_port + 4)
#define PORT_STORE (first_port + 5)
#define PORT_COUNT 6
#define PORT_METRICS 9464

#define TICK_S 0.002
#define SERVICE "orderbook"

struct rig rig;
static ev_timer tick_timer;

/* --- time and record --- */

static uint64_t
steady_ms(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

static uint64_t
wall_ms(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_REALTIME, &ts);
    return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

static void
update_now(void)
{
    rig.now = steady_ms() - rig.epoch_ms;
}

static void
vnote(const char *fmt, va_list ap)
{
    fprintf(rig.record, "%7" PRIu64 " ", rig.now);
    vfprintf(rig.record, fmt, ap);
    fputc('\n', rig.record);
    fflush(rig.record);
}

void
note(const char *fmt, ...)
{
    va_list ap;

    va_start(ap, fmt);
    vnote(fmt, ap);
    va_end(ap);
}

static void
kill_all(void)
{
    for (int i = 0; i < rig.entries + rig.agents; i++) {
        struct machine *m = &rig.machines[i];

        if (m->pid > 0) {
            kill(m->pid, SIGCONT);
            kill(m->pid, SIGKILL);
            waitpid(m->pid, NULL, 0);
            m->pid = 0;
        }
    }
}

void
finish(int status, const char *fmt, ...)
{
    static const char *const words[] = {"held", "broken", "could not run"};
    va_list ap;

    kill_all();
    va_start(ap, fmt);
    vnote(fmt, ap);
    va_end(ap);
    note("result: %s", words[status]);
    va_start(ap, fmt);
    printf("%s: ", words[status]);
    vprintf(fmt, ap);
    printf("\n");
    va_end(ap);
    fclose(rig.record);
    exit(status);
}

/* --- links between entries while one is cut off --- */

/* The way from one entry to another: passes bytes and datagrams on, or loses
 * them while a cut separates the two. */
struct relay_port {
    ev_io tcp;
    ev_io udp;
    struct machine *from;
    struct machine *to;
};

struct relay_conn {
    struct relay_port *port;
    ev_io io[2];
    int fd[2];
    bool lost[2]; /* bytes of this direction were dropped: all are from now */
};

static bool
is_cut(const struct relay_port *p)
{
    return rig.cut_off == p->from->index || rig.cut_off == p->to->index;
}

static void
free_conn(struct relay_conn *c)
{
    for (int i = 0; i < 2; i++) {
        ev_io_stop(rig.loop, &c->io[i]);
        close(c->fd[i]);
    }
    free(c);
}

static void
on_conn(struct ev_loop *loop, ev_io *io, int revents)
{
    struct relay_conn *c = io->data;
    int side = io == &c->io[1];
    char bytes[65536];
    ssize_t n = recv(io->fd, bytes, sizeof(bytes), MSG_DONTWAIT);

    (void)loop;
    (void)revents;
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n <= 0) {
        free_conn(c);
        return;
    }
    c->lost[side] |= is_cut(c->port);
    if (!c->lost[side] &&
        send(c->fd[!side], bytes, (size_t)n, MSG_NOSIGNAL) != n) {
        free_conn(c);
    }
}

static struct sockaddr_in
address(const char *ip, int port)
{
    struct sockaddr_in sa = {0};

    sa.sin_family = AF_INET;
    sa.sin_port = htons((uint16_t)port);
    inet_pton(AF_INET, ip, &sa.sin_addr);
    return sa;
}

static void
on_relay_accept(struct ev_loop *loop, ev_io *io, int revents)
{
    struct relay_port *p = io->data;
    int fd = accept4(io->fd, NULL, NULL, SOCK_CLOEXEC);
    struct sockaddr_in sa = address(p->to->ip, PORT_LINK);
    struct relay_conn *c;

    (void)revents;
    if (fd < 0) {
        return;
    }
    c = dw_zero(1, sizeof(*c));
    c->port = p;
    c->fd[0] = fd;
    c->fd[1] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    /* On loopback this does not block: accepted, or refused. */
    if (connect(c->fd[1], (struct sockaddr *)&sa, sizeof(sa)) != 0) {
        struct linger abort_on_close = {1, 0};

        setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort_on_close,
            sizeof(abort_on_close));
        close(c->fd[0]);
        close(c->fd[1]);
        free(c);
        return;
    }
    for (int i = 0; i < 2; i++) {
        ev_io_init(&c->io[i], on_conn, c->fd[i], EV_READ);
        c->io[i].data = c;
        ev_io_start(loop, &c->io[i]);
    }
}

static void
on_relay_datagram(struct ev_loop *loop, ev_io *io, int revents)
{
    struct relay_port *p = io->data;
    struct sockaddr_in sa = address(p->to->ip, PORT_LINK);
    char bytes[65536];
    ssize_t n = recv(io->fd, bytes, sizeof(bytes), MSG_DONTWAIT);

    (void)loop;
    (void)revents;
    if (n > 0 && !is_cut(p)) {
        sendto(
            io->fd, bytes, (size_t)n, 0, (struct sockaddr *)&sa, sizeof(sa));
    }
}

static int
bound_socket(int type, const char *ip, int port)
{
    struct sockaddr_in sa = address(ip, port);
    int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    int one = 1;

    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/* The address at which `from` finds `to`. */
static void
link_ip(char *out, size_t cap, const struct machine *from,
    const struct machine *to)
{
    snprintf(
        out, cap, "127.%d.%d.%d", rig.net, 1 + from->index, 10 + to->index);
}

static void
open_relay(struct machine *from, struct machine *to)
{
    struct relay_port *p = dw_zero(1, sizeof(*p));
    char ip[48];
    int tcp;
    int udp;

    link_ip(ip, sizeof(ip), from, to);
    tcp = bound_socket(SOCK_STREAM, ip, PORT_LINK);
    udp = bound_socket(SOCK_DGRAM, ip, PORT_LINK);
    if (tcp < 0 || udp < 0 || listen(tcp, 128) != 0) {
        finish(2, "no address for the links of %s", to->name);
    }
    p->from = from;
    p->to = to;
    ev_io_init(&p->tcp, on_relay_accept, tcp, EV_READ);
    p->tcp.data = p;
    ev_io_start(rig.loop, &p->tcp);
    ev_io_init(&p->udp, on_relay_datagram, udp, EV_READ);
    p->udp.data = p;
    ev_io_start(rig.loop, &p->udp);
}

/* --- the store --- */

#define ITEMS_MAX 256
#define EVENTS_MAX 4096
#define LEASES_MAX 256
#define WATCHES_MAX 128
#define HISTORY_FROM 1

struct item {
    char key[128];
    char *value; /* base64; NULL: deleted */
    uint64_t rev;
    uint64_t create_rev;
    uint64_t lease;
};

struct lease {
    uint64_t id;
    uint64_t ttl_ms;
    uint64_t ends_ms;
};

struct watch {
    struct web_req *req;
    struct machine *reader;
    char prefix[128];
    uint64_t after;
    uint64_t until_ms;
};

static struct {
    uint64_t rev;
    struct item items[ITEMS_MAX];
    size_t item_count;
    struct item events[EVENTS_MAX];
    size_t event_count;
    struct lease leases[LEASES_MAX];
    size_t lease_count;
    struct watch watches[WATCHES_MAX];
    size_t watch_count;
} store = {.rev = 1};

static void
reply_json(struct web_req *r, unsigned status, json_t *o)
{
    char *text = json_dumps(o, JSON_COMPACT);

    web_reply(r, status, "application/json", str_of(text), 0);
    free(text);
    json_decref(o);
}

static struct item *
find_item(const char *key)
{
    for (size_t i = 0; i < store.item_count; i++) {
        if (strcmp(store.items[i].key, key) == 0) {
            return &store.items[i];
        }
    }
    return NULL;
}

static void
change_item(const char *key, const char *base64, uint64_t lease)
{
    struct item *it = find_item(key);
    struct item *event = &store.events[store.event_count++ % EVENTS_MAX];

    if (it == NULL) {
        if (store.item_count == ITEMS_MAX) {
            finish(2, "the store is full");
        }
        it = &store.items[store.item_count++];
        str_copy(it->key, sizeof(it->key), str_of(key));
    }
    if (it->value == NULL) {
        it->create_rev = store.rev;
    }
    free(it->value);
    it->value = base64 != NULL ? str_dup(str_of(base64)) : NULL;
    it->rev = store.rev;
    it->lease = lease;
    free(event->value);
    *event = *it;
    event->value = base64 != NULL ? str_dup(str_of(base64)) : NULL;
}

void
store_put(const char *key, const char *value)
{
    size_t n = strlen(value);
    char *text = dw_zero(1, BASE64_ENCODE_RAW_LENGTH(n) + 1);

    base64_encode_raw(text, n, (const uint8_t *)value);
    store.rev++;
    change_item(key, text, 0);
    free(text);
    note("operator puts %s: %.120s", key, value);
}

void
store_remove(const char *key)
{
    store.rev++;
    change_item(key, NULL, 0);
    note("operator removes %s", key);
}

bool
store_has(const char *key)
{
    struct item *it = find_item(key);

    return it != NULL && it->value != NULL;
}

/* As the owner wrote it, but with the address at which the reader finds it. */
static char *
value_for(const struct machine *reader, const struct item *it)
{
    struct machine *owner = NULL;
    char text[512] = "";
    char out[600];
    char encoded[900] = "";
    char id[32];
    char ip[64];
    char rest[256];
    struct base64_decode_ctx ctx;
    size_t n = 0;

    for (int i = 0; i < rig.entries; i++) {
        char key[64];

        snprintf(key, sizeof(key), "dunlinweir/%s", entry(i)->name);
        owner = strcmp(it->key, key) == 0 ? entry(i) : owner;
    }
    if (owner == NULL || owner == reader || reader->is_agent ||
        strlen(it->value) > 600) {
        return str_dup(str_of(it->value));
    }
    base64_decode_init(&ctx);
    base64_decode_update(
        &ctx, &n, (uint8_t *)text, strlen(it->value), it->value);
    text[n] = '\0';
    if (sscanf(text, "1 %31s %63s %255[^\n]", id, ip, rest) != 3) {
        return str_dup(str_of(it->value));
    }
    link_ip(ip, sizeof(ip), reader, owner);
    snprintf(out, sizeof(out), "1 %s %s %s", id, ip, rest);
    base64_encode_raw(encoded, strlen(out), (const uint8_t *)out);
    return str_dup(str_of(encoded));
}

static json_t *
item_json(const struct machine *reader, const struct item *it)
{
    json_t *o = json_object();
    char *value;

    json_object_set_new(o, "key", json_string(it->key));
    json_object_set_new(o, "revision", json_integer((json_int_t)it->rev));
    if (it->value == NULL) {
        json_object_set_new(o, "tombstone", json_true());
        return o;
    }
    value = value_for(reader, it);
    json_object_set_new(o, "value", json_string(value));
    free(value);
    json_object_set_new(
        o, "create_rev", json_integer((json_int_t)it->create_rev));
    json_object_set_new(o, "lease", json_integer((json_int_t)it->lease));
    return o;
}

static bool
has_prefix(const char *text, const char *prefix)
{
    return strncmp(text, prefix, strlen(prefix)) == 0;
}

static void
get_key(struct machine *m, struct web_req *r)
{
    const char *key = web_query(r, "key");
    struct item *it = key != NULL ? find_item(key) : NULL;
    json_t *o;

    if (it == NULL || it->value == NULL) {
        reply_json(r, 404, json_object());
        return;
    }
    o = item_json(m, it);
    json_object_set_new(o, "current_rev", json_integer((json_int_t)store.rev));
    reply_json(r, 200, o);
}

static int
compare_items(const void *a, const void *b)
{
    const struct item *const *x = a;
    const struct item *const *y = b;

    return strcmp((*x)->key, (*y)->key);
}

static void
get_range(struct machine *m, struct web_req *r)
{
    const char *prefix = web_query(r, "prefix");
    const char *after = web_query(r, "after");
    const struct item *sorted[ITEMS_MAX];
    json_t *rows = json_array();
    size_t n = 0;

    for (size_t i = 0; i < store.item_count; i++) {
        struct item *it = &store.items[i];

        if (it->value != NULL && has_prefix(it->key, prefix) &&
            (after == NULL || strcmp(it->key, after) > 0)) {
            sorted[n++] = it;
        }
    }
    qsort(sorted, n, sizeof(sorted[0]), compare_items);
    for (size_t i = 0; i < n; i++) {
        json_array_append_new(rows, item_json(m, sorted[i]));
    }
    reply_json(r, 200,
        json_pack("{s:o, s:b, s:I}", "items", rows, "more_pages", 0,
            "current_rev", (json_int_t)store.rev));
}

static bool
answer_watch(const struct watch *w, bool even_if_empty)
{
    json_t *rows = json_array();
    size_t first =
        store.event_count > EVENTS_MAX ? store.event_count - EVENTS_MAX : 0;

    for (size_t i = first; i < store.event_count; i++) {
        const struct item *e = &store.events[i % EVENTS_MAX];

        if (e->rev > w->after && has_prefix(e->key, w->prefix)) {
            json_array_append_new(rows, item_json(w->reader, e));
        }
    }
    if (json_array_size(rows) == 0 && !even_if_empty) {
        json_decref(rows);
        return false;
    }
    reply_json(w->req, 200,
        json_pack("{s:o, s:I}", "events", rows, "current_rev",
            (json_int_t)store.rev));
    return true;
}

static void
start_watch(struct machine *m, struct web_req *r)
{
    struct watch w = {.req = r, .reader = m};

    str_copy(w.prefix, sizeof(w.prefix), str_of(web_query(r, "prefix")));
    w.after = strtoull(web_query(r, "after"), NULL, 10);
    w.until_ms = rig.now + strtoull(web_query(r, "wait_ms"), NULL, 10);
    if (answer_watch(&w, false)) {
        return;
    }
    if (store.watch_count == WATCHES_MAX) {
        reply_json(r, 429, json_object());
        return;
    }
    store.watches[store.watch_count++] = w;
}

static struct lease *
find_lease(uint64_t id)
{
    for (size_t i = 0; i < LEASES_MAX; i++) {
        if (id != 0 && store.leases[i].id == id) {
            return &store.leases[i];
        }
    }
    return NULL;
}

static uint64_t
uint_of(const json_t *o, const char *name)
{
    return (uint64_t)json_integer_value(json_object_get(o, name));
}

static void
run_txn(struct machine *m, struct web_req *r)
{
    struct str body = web_body(r);
    json_t *o = json_loadb(body.p, body.n, 0, NULL);
    json_t *states = json_array();
    bool holds = true;
    size_t i;
    json_t *row;

    json_array_foreach (json_object_get(o, "precondition"), i, row) {
        struct item *it =
            find_item(json_string_value(json_object_get(row, "key")));
        bool there = it != NULL && it->value != NULL;

        holds &= uint_of(row, "revision") == (there ? it->rev : 0);
        if (there) {
            json_array_append_new(states, item_json(m, it));
        }
    }
    if (!holds) {
        reply_json(r, 412, json_pack("{s:o}", "items", states));
        json_decref(o);
        return;
    }
    json_decref(states);
    json_array_foreach (json_object_get(o, "puts"), i, row) {
        uint64_t lease = uint_of(row, "lease");
        const char *key = json_string_value(json_object_get(row, "key"));

        if (has_prefix(key, "op/") || has_prefix(key, "servers/") ||
            (lease != 0 && find_lease(lease) == NULL)) {
            reply_json(r, lease != 0 ? 404 : 403, json_object());
            json_decref(o);
            return;
        }
    }
    store.rev++;
    json_array_foreach (json_object_get(o, "puts"), i, row) {
        change_item(json_string_value(json_object_get(row, "key")),
            json_string_value(json_object_get(row, "value")),
            uint_of(row, "lease"));
    }
    json_array_foreach (json_object_get(o, "remove"), i, row) {
        change_item(json_string_value(row), NULL, 0);
    }
    json_decref(o);
    reply_json(r, 200, json_pack("{s:I}", "revision", (json_int_t)store.rev));
}

static void
grant_lease(struct web_req *r)
{
    struct str body = web_body(r);
    json_t *o = json_loadb(body.p, body.n, 0, NULL);
    struct lease *l = &store.leases[store.lease_count % LEASES_MAX];

    l->id = ++store.lease_count;
    l->ttl_ms = uint_of(o, "ttl_ms");
    l->ends_ms = rig.now + l->ttl_ms;
    json_decref(o);
    reply_json(r, 200,
        json_pack("{s:I, s:I}", "lease", (json_int_t)l->id, "ttl_ms",
            (json_int_t)l->ttl_ms));
}

static void
end_lease(struct lease *l)
{
    store.rev++;
    for (size_t i = 0; i < store.item_count; i++) {
        struct item *it = &store.items[i];

        if (it->value != NULL && it->lease == l->id) {
            note("store: lease of %s ends", it->key);
            change_item(it->key, NULL, 0);
        }
    }
    l->id = 0;
}

#define KV "/dunlinweir/kv-"

static void
on_store_request(void *ctx, struct web_req *r)
{
    struct machine *m = ctx;
    const char *path = web_path(r);
    struct lease *l;

    if (rig.cut_off == m->index) {
        return; /* lost on its way: never answered */
    }
    if (strcmp(path, KV "key") == 0) {
        get_key(m, r);
    }
    else if (strcmp(path, KV "range") == 0) {
        get_range(m, r);
    }
    else if (strcmp(path, KV "watch") == 0) {
        start_watch(m, r);
    }
    else if (strcmp(path, KV "txn") == 0) {
        run_txn(m, r);
    }
    else if (strcmp(path, KV "lease") == 0) {
        grant_lease(r);
    }
    else if (has_prefix(path, KV "keep/")) {
        l = find_lease(strtoull(path + sizeof(KV "keep/") - 1, NULL, 10));
        if (l != NULL) {
            l->ends_ms = rig.now + l->ttl_ms;
        }
        reply_json(r, l != NULL ? 200 : 404, json_object());
    }
    else {
        reply_json(r, 404, json_object());
    }
}

static void
on_store_left(void *ctx, struct web_req *r)
{
    (void)ctx;
    for (size_t i = 0; i < store.watch_count; i++) {
        if (store.watches[i].req == r) {
            store.watches[i] = store.watches[--store.watch_count];
            return;
        }
    }
}

static struct web *
open_server(const char *ip, int port, web_handle_fn handle,
    web_disconnect_fn left, void *ctx)
{
    struct web_cfg cfg = {ip, (uint16_t)port, 1000, 1 << 20, 120};
    struct web *w = NULL;
    struct err e = {""};

    if (web_open(&w, rig.loop, &cfg, handle, left, ctx, &e) != WEB_OK) {
        finish(2, "%s", e.msg);
    }
    return w;
}

void
store_open(struct machine *m)
{
    m->store =
        open_server(m->ip, PORT_STORE, on_store_request, on_store_left, m);
}

void
store_tick(void)
{
    for (size_t i = 0; i < LEASES_MAX; i++) {
        if (store.leases[i].id != 0 && rig.now >= store.leases[i].ends_ms) {
            end_lease(&store.leases[i]);
        }
    }
    for (size_t i = 0; i < store.watch_count;) {
        struct watch w = store.watches[i];

        if (rig.cut_off != w.reader->index &&
            answer_watch(&w, rig.now >= w.until_ms)) {
            on_store_left(NULL, w.req);
            i = 0;
            continue;
        }
        i++;
    }
}

/* --- runners --- */

#define PAST_MAX 8192
#define POLLS_MAX 16

struct end {
    uint64_t number;
    char task[64];
    int64_t run_id;
    const char *how;
};

struct poll_wait {
    struct web_req *req;
    uint64_t until_ms;
};

/* A start or a stop that is carried out late. */
struct late_order {
    uint64_t at_ms;
    bool is_stop;
    char id[32]; /* that it names; empty: any */
    char *body;
};

#define LATE_MAX 256

struct worker {
    struct machine *m;
    struct web *web;
    char id[32];
    uint64_t born_wall_ms;
    uint64_t born_ms;
    int64_t cpu;
    bool gone;
    bool draining;
    uint64_t exit_ms;
    uint64_t drain_ack_ms;
    uint64_t seq;
    uint64_t next_heartbeat_ms;
    uint64_t until_ms; /* of the lease, by its clock */
    int64_t fence;
    uint64_t next_end;
    struct run runs[RIG_RUNS];
    size_t run_count;
    struct end ends[PAST_MAX]; /* not acknowledged */
    size_t end_count;
    struct end past[PAST_MAX]; /* ended or stopped */
    size_t past_count;
    char started[PAST_MAX][64]; /* tasks, one row a start */
    size_t start_count;
    struct poll_wait polls[POLLS_MAX];
    size_t poll_count;
    int late_permille;
    uint64_t down_until_ms; /* 0: it has power */
    struct late_order late[LATE_MAX];
    size_t late_count;
};

static uint64_t
clock_of(const struct worker *w)
{
    return 1 + rig.now - w->born_ms;
}

static struct run *
find_run(struct worker *w, const char *task)
{
    for (size_t i = 0; i < w->run_count; i++) {
        if (strcmp(w->runs[i].task, task) == 0) {
            return &w->runs[i];
        }
    }
    return NULL;
}

static void
remember(struct worker *w, const char *task, int64_t run_id)
{
    struct end *p = &w->past[w->past_count++ % PAST_MAX];

    str_copy(p->task, sizeof(p->task), str_of(task));
    p->run_id = run_id;
}

static bool
is_old(const struct worker *w, const char *task, int64_t run_id)
{
    for (size_t i = 0; i < num_min(w->past_count, PAST_MAX); i++) {
        if (strcmp(w->past[i].task, task) == 0 &&
            run_id <= w->past[i].run_id) {
            return true;
        }
    }
    return false;
}

static void
end_run(struct worker *w, struct run *run, const char *how)
{
    struct end *e;

    if (w->end_count == PAST_MAX) {
        finish(2, "too many ends at %s", w->m->name);
    }
    e = &w->ends[w->end_count++];
    e->number = ++w->next_end;
    str_copy(e->task, sizeof(e->task), str_of(run->task));
    e->run_id = run->run_id;
    e->how = how;
    remember(w, run->task, run->run_id);
    note("%s: %s ends %s", w->m->name, run->task, how);
    *run = w->runs[--w->run_count];
}

static void
answer_order(struct worker *w, struct web_req *r, const char *reason)
{
    json_t *o = json_pack("{s:I}", "clock_ms", (json_int_t)clock_of(w));

    if (reason != NULL) {
        json_object_set_new(o, "reason", json_string(reason));
    }
    reply_json(r, reason != NULL ? 409 : 200, o);
}

static bool
is_fenced(struct worker *w, const json_t *o)
{
    int64_t fence = json_integer_value(json_object_get(o, "fencing_token"));

    if (fence < w->fence) {
        return true;
    }
    w->fence = fence;
    return false;
}

static void
extend_lease(struct worker *w, const json_t *o)
{
    uint64_t until =
        num_min(uint_of(o, "until_ms"), clock_of(w) + MAX_HOLD_MS);

    w->until_ms = num_max(w->until_ms, until);
}

/* The task_spec says how long the task works: "ms=N". */
static const char *
start_run(struct worker *w, const json_t *o)
{
    const char *task = json_string_value(json_object_get(o, "task"));
    const char *spec = json_string_value(json_object_get(o, "task_spec"));
    int64_t run_id = json_integer_value(json_object_get(o, "run_id"));
    struct run *run = find_run(w, task);

    if (is_fenced(w, o)) {
        return "fence";
    }
    if (uint_of(o, "until_ms") < clock_of(w)) {
        return "late";
    }
    extend_lease(w, o);
    if (run != NULL) {
        return run->run_id == run_id ? NULL : "old";
    }
    if (is_old(w, task, run_id)) {
        return "old";
    }
    if (w->run_count == RIG_RUNS || w->start_count == PAST_MAX) {
        finish(2, "too many runs at %s", w->m->name);
    }
    run = &w->runs[w->run_count++];
    memset(run, 0, sizeof(*run));
    str_copy(run->task, sizeof(run->task), str_of(task));
    run->run_id = run_id;
    run->started_ms = rig.now;
    run->ends_ms = rig.now + strtoull(spec + 3, NULL, 10);
    str_copy(
        w->started[w->start_count++], sizeof(w->started[0]), str_of(task));
    note("%s: %s starts, run %" PRId64, w->m->name, task, run_id);
    if (rig.on_start != NULL) {
        rig.on_start(&rig, w, run);
    }
    return NULL;
}

static const char *
stop_run(struct worker *w, const json_t *o)
{
    const char *task = json_string_value(json_object_get(o, "task"));
    int64_t run_id = json_integer_value(json_object_get(o, "run_id"));
    struct run *run = find_run(w, task);

    if (is_fenced(w, o)) {
        return "fence";
    }
    remember(w, task, run_id);
    if (run != NULL && run->run_id <= run_id && !run->stopping) {
        run->stopping = true;
        run->ends_ms = rig.now + STOP_MS / 2;
    }
    return NULL;
}

static void
answer_poll(struct worker *w, struct web_req *r)
{
    json_t *running = json_array();
    json_t *finished = json_array();

    for (size_t i = 0; i < w->run_count; i++) {
        const struct run *run = &w->runs[i];
        uint64_t total = num_max(run->ends_ms - run->started_ms, 1);

        json_array_append_new(
            running, json_pack("[s, I, s, I, I]", run->task,
                         (json_int_t)run->run_id, "",
                         (json_int_t)num_min(
                             99, (rig.now - run->started_ms) * 100 / total),
                         (json_int_t)1000));
    }
    for (size_t i = 0; i < num_min(w->end_count, 500); i++) {
        json_array_append_new(
            finished, json_pack("[I, s, I, s, s]",
                          (json_int_t)w->ends[i].number, w->ends[i].task,
                          (json_int_t)w->ends[i].run_id, w->ends[i].how, ""));
    }
    reply_json(r, 200,
        json_pack("{s:I, s:I, s:o, s:o}", "clock_ms", (json_int_t)clock_of(w),
            "born", (json_int_t)w->born_wall_ms, "running", running,
            "finished", finished));
}

static void
hold(struct worker *w, struct web_req *r, const json_t *o)
{
    uint64_t wait_ms = uint_of(o, "wait_ms");
    uint64_t ack = uint_of(o, "ack_cursor");
    size_t kept = 0;

    if (is_fenced(w, o)) {
        answer_order(w, r, "fence");
        return;
    }
    if (json_object_get(o, "until_ms") != NULL) {
        extend_lease(w, o);
    }
    for (size_t i = 0; i < w->end_count; i++) {
        if (w->ends[i].number > ack) {
            w->ends[kept++] = w->ends[i];
        }
    }
    w->end_count = kept;
    if (wait_ms == 0 || kept > 0 || w->poll_count == POLLS_MAX) {
        answer_poll(w, r);
        return;
    }
    w->polls[w->poll_count++] = (struct poll_wait){r, rig.now + wait_ms};
}

static bool
comes_late(struct worker *w, struct web_req *r, const char *expected)
{
    const char *path = web_path(r);
    bool is_stop = strcmp(path, "/dunlinweir/run-stop") == 0;
    struct late_order *o = &w->late[w->late_count];

    if ((!is_stop && strcmp(path, "/dunlinweir/run-start") != 0) ||
        random() % 1000 >= w->late_permille || w->late_count == LATE_MAX) {
        return false;
    }
    w->late_count++;
    o->at_ms = rig.now + 2000 + (uint64_t)random() % 10000;
    o->is_stop = is_stop;
    o->body = str_dup(web_body(r));
    str_copy(o->id, sizeof(o->id), str_of(expected));
    return true;
}

static void
carry_out_late(struct worker *w)
{
    for (size_t i = 0; i < w->late_count;) {
        struct late_order o = w->late[i];
        json_t *json;

        if (rig.now < o.at_ms) {
            i++;
            continue;
        }
        w->late[i] = w->late[--w->late_count];
        if (o.id[0] == '\0' || strcmp(o.id, w->id) == 0) {
            const char *reason;

            json = json_loads(o.body, 0, NULL);
            reason = o.is_stop ? stop_run(w, json) : start_run(w, json);
            note("%s: a %s carried out late: %s", w->m->name,
                o.is_stop ? "stop" : "start", reason != NULL ? reason : "ok");
            json_decref(json);
        }
        free(o.body);
    }
}

static void
on_order(void *ctx, struct web_req *r)
{
    struct worker *w = ctx;
    const char *path = web_path(r);
    const char *expected = web_header(r, "Expect-Instance");
    struct str body = web_body(r);
    json_t *o;

    if (w->gone || w->down_until_ms != 0 || comes_late(w, r, expected)) {
        return;
    }
    if (expected != NULL && strcmp(expected, w->id) != 0) {
        reply_json(r, 421, json_object());
        return;
    }
    o = json_loadb(body.p, body.n, 0, NULL);
    if (o == NULL) {
        reply_json(r, 400, json_object());
    }
    else if (strcmp(path, "/dunlinweir/hold") == 0) {
        hold(w, r, o);
    }
    else if (strcmp(path, "/dunlinweir/run-start") == 0) {
        answer_order(w, r, start_run(w, o));
    }
    else if (strcmp(path, "/dunlinweir/run-stop") == 0) {
        answer_order(w, r, stop_run(w, o));
    }
    else {
        reply_json(r, 404, json_object());
    }
    json_decref(o);
}

static void
on_order_left(void *ctx, struct web_req *r)
{
    struct worker *w = ctx;

    for (size_t i = 0; i < w->poll_count; i++) {
        if (w->polls[i].req == r) {
            w->polls[i] = w->polls[--w->poll_count];
            return;
        }
    }
}

/* It holds and knows nothing of before, and its counts start anew. */
static void
begin_life(struct worker *w)
{
    w->born_ms = rig.now;
    w->born_wall_ms = wall_ms();
    w->draining = false;
    w->seq = 0;
    w->next_heartbeat_ms = rig.now;
    w->until_ms = 0;
    w->fence = 0;
    w->next_end = 0;
    w->run_count = 0;
    w->end_count = 0;
    w->past_count = 0;
    w->poll_count = 0;
    w->down_until_ms = 0;
}

void
worker_lose_power(struct worker *w, uint32_t ms)
{
    note("%s: the runner loses power, %zu tasks at work", w->m->name,
        w->run_count);
    begin_life(w);
    w->down_until_ms = rig.now + ms;
}

void
worker_set_late(struct worker *w, int permille)
{
    w->late_permille = permille;
}

bool
worker_has_run(const struct worker *w, const char *task)
{
    return w->down_until_ms == 0 && find_run((struct worker *)w, task) != NULL;
}

struct worker *
worker_new(struct machine *m, int64_t cpu)
{
    struct worker *w = dw_zero(1, sizeof(*w));

    w->m = m;
    w->cpu = cpu;
    begin_life(w);
    snprintf(w->id, sizeof(w->id), "i-%08x",
        (unsigned)(w->born_wall_ms * 8 + (uint64_t)m->index));
    w->web = open_server(m->ip, PORT_APP, on_order, on_order_left, w);
    m->worker = w;
    return w;
}

const char *
worker_id(const struct worker *w)
{
    return w->id;
}

void
worker_heartbeat_body(struct worker *w, struct buf *out, const char *left_out,
    const char *state, uint64_t seq_no)
{
    int64_t used = 0;
    json_t *o;
    char *text;
    char at[64];

    for (size_t i = 0; i < w->run_count; i++) {
        used += w->runs[i].cpu;
    }
    snprintf(at, sizeof(at), "%s:%d", w->m->ip, PORT_APP);
    o = json_pack("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:{s:I, s:i, s:i},"
                  " s:[s, s], s:I, s:I, s:I}",
        "service", SERVICE, "address", at, "zone", w->m->zone, "version", "v1",
        "capacity", 8, "state", state, "cold_left_ms", 0, "free_capacity",
        "cpu", (json_int_t)(w->cpu - used), "mem_mb", 32768, "gpus", 0,
        "labels", "a", "r1-3", "clock_ms", (json_int_t)clock_of(w), "seq_no",
        (json_int_t)seq_no, "born", (json_int_t)w->born_wall_ms);
    if (w->draining) {
        json_object_set_new(o, "remaining_ms",
            json_integer((json_int_t)num_sub_sat(w->exit_ms, rig.now)));
    }
    if (left_out != NULL) {
        json_object_del(o, left_out);
    }
    text = json_dumps(o, JSON_COMPACT);
    buf_add(out, str_of(text));
    free(text);
    json_decref(o);
}

struct control_call {
    struct worker *w;
    bool tells_drain;
    char what[48];
};

static void
on_control_answer(void *ctx, const struct httpc_result *d)
{
    struct control_call *c = ctx;
    bool acked = d->status == HTTPC_OK && d->http_status / 100 == 2;

    if (c->tells_drain && acked && c->w->drain_ack_ms == 0) {
        c->w->drain_ack_ms = rig.now;
    }
    if (c->what[0] != '\0') {
        note("%s: %s answered %ld", c->w->m->name, c->what, d->http_status);
    }
    free(c);
}

/* logged: names the call in the record; it is not one of the runner's. */
static void
post_control(
    struct worker *w, const char *call, struct str body, const char *logged)
{
    static const char *const headers[] = {
        "Content-Type: application/json", NULL};
    struct control_call *c = dw_zero(1, sizeof(*c));
    struct httpc_call h = {0};
    char url[200];

    c->w = w;
    c->tells_drain = w->draining && logged == NULL;
    str_copy(c->what, sizeof(c->what), str_of(logged));
    snprintf(url, sizeof(url), "http://%s:%d/dunlinweir/Instances.%s/%s",
        w->m->ip, PORT_CONTROL, call, w->id);
    h.method = "POST";
    h.url = url;
    h.headers = headers;
    h.body = body;
    h.timeout_ms = 1000;
    h.done = on_control_answer;
    h.ctx = c;
    httpc_start(rig.http, &h);
}

void
worker_post_control(
    struct worker *w, const char *call, struct str body, bool counts)
{
    post_control(w, call, body, counts ? NULL : "foreign heartbeat");
}

static void
send_heartbeat(struct worker *w)
{
    struct buf b = {0};

    w->next_heartbeat_ms = rig.now + HEARTBEAT_MS;
    worker_heartbeat_body(
        w, &b, NULL, w->draining ? "draining" : "ready", ++w->seq);
    post_control(w, "Heartbeat", buf_str(&b), NULL);
    buf_free(&b);
}

void
worker_drain(struct worker *w, uint32_t left_ms)
{
    w->draining = true;
    w->exit_ms = rig.now + left_ms;
    note("%s: the runner drains, %u ms left", w->m->name, left_ms);
    send_heartbeat(w);
}

uint64_t
worker_drain_ack_ms(const struct worker *w)
{
    return w->drain_ack_ms;
}

void
worker_leave(struct worker *w)
{
    struct buf b = {0};

    worker_heartbeat_body(w, &b, NULL, "draining", ++w->seq);
    post_control(w, "Deregister", buf_str(&b), NULL);
    buf_free(&b);
    while (w->run_count > 0) {
        note("%s: %s ends with its runner", w->m->name,
            w->runs[--w->run_count].task);
    }
    w->gone = true;
    note("%s: the runner has left", w->m->name);
}

void
worker_tick(struct worker *w)
{
    bool lapsed;

    if (w->down_until_ms != 0 && rig.now >= w->down_until_ms) {
        begin_life(w);
        note("%s: the runner is back", w->m->name);
    }
    if (w->gone || w->down_until_ms != 0) {
        return;
    }
    carry_out_late(w);
    lapsed = clock_of(w) > w->until_ms;
    for (size_t i = 0; i < w->run_count;) {
        struct run *run = &w->runs[i];

        if (lapsed) {
            end_run(w, run, "lapsed");
        }
        else if (rig.now >= run->ends_ms) {
            end_run(w, run, run->stopping ? "stopped" : "done");
        }
        else {
            i++;
        }
    }
    for (size_t i = 0; i < w->poll_count;) {
        struct poll_wait p = w->polls[i];

        if (w->end_count > 0 || rig.now >= p.until_ms) {
            w->polls[i] = w->polls[--w->poll_count];
            answer_poll(w, p.req);
            i = 0;
            continue;
        }
        i++;
    }
    if (rig.now >= w->next_heartbeat_ms) {
        send_heartbeat(w);
    }
}

int
worker_runs_of(const struct worker *w, const char *job)
{
    int n = 0;

    for (size_t i = 0; i < w->run_count; i++) {
        n += has_prefix(w->runs[i].task, job);
    }
    return n;
}

int
worker_run_count(const struct worker *w)
{
    return (int)w->run_count;
}

int
worker_starts_of(const struct worker *w, const char *job)
{
    int n = 0;

    for (size_t i = 0; i < w->start_count; i++) {
        n += has_prefix(w->started[i], job);
    }
    return n;
}

/* --- processes --- */

struct machine *
entry(int i)
{
    return &rig.machines[i];
}

struct machine *
agent(int i)
{
    return &rig.machines[rig.entries + i];
}

/* The value of a placeholder of the templates. */
static void
add_value(struct buf *b, const struct machine *m, struct str name)
{
    const struct {
        const char *name;
        const char *ip; /* NULL: number is the value */
        int number;
        const char *text;
    } values[] = {
        {"node_name", NULL, 0, m->name},
        {"zone", NULL, 0, m->zone},
        {"ip", NULL, 0, m->ip},
        {"service", NULL, 0, SERVICE},
        {"port_range.0", NULL, PORT_LINK, NULL},
        {"bounds.grace_s", NULL, GRACE_S, NULL},
        {"bounds.retransmit_ms", NULL, 1300, NULL},
        {"platform.address", m->ip, PORT_STORE, NULL},
        {"listen.front", m->ip, PORT_FRONT, NULL},
        {"listen.ready", m->ip, PORT_READY, NULL},
        {"listen.control", m->ip, PORT_CONTROL, NULL},
        {"app", m->ip, PORT_APP, NULL},
    };

    for (size_t i = 0; i < sizeof(values) / sizeof(values[0]); i++) {
        if (!str_is(name, values[i].name)) {
            continue;
        }
        if (values[i].text != NULL) {
            buf_addf(b, "%s", values[i].text);
        }
        else if (values[i].ip != NULL) {
            buf_addf(b, "%s:%d", values[i].ip, values[i].number);
        }
        else {
            buf_addf(b, "%d", values[i].number);
        }
        return;
    }
    finish(2, "the template wants %.*s", (int)name.n, name.p);
}

static void
fill_template(const struct machine *m, const char *path)
{
    FILE *in =
        fopen(m->is_agent ? "deploy/agent.toml" : "deploy/entry.toml", "re");
    FILE *out = fopen(path, "we");
    char line[512];

    if (in == NULL || out == NULL) {
        finish(2, "no template, or no settings at %s", path);
    }
    while (fgets(line, sizeof(line), in) != NULL) {
        struct buf b = {0};
        char *at = line;
        char *open;

        while ((open = strstr(at, "{{")) != NULL) {
            char *close_at = strstr(open, "}}");

            buf_add(&b, str_make(at, (size_t)(open - at)));
            add_value(
                &b, m, str_make(open + 2, (size_t)(close_at - open - 2)));
            at = close_at + 2;
        }
        buf_add(&b, str_of(at));
        fwrite(b.p, 1, b.n, out);
        buf_free(&b);
    }
    fclose(in);
    fclose(out);
}

void
start_machine(struct machine *m)
{
    char path[300];
    char log[300];
    char variable[320];
    char *argv[] = {(char *)rig.daemon, NULL};
    char *env[] = {
        variable, (char *)"PATH=/usr/bin:/bin", (char *)"LANG=C", NULL};

    snprintf(path, sizeof(path), "%s/%s.toml", rig.dir, m->name);
    snprintf(log, sizeof(log), "%s/%s.log", rig.dir, m->name);
    snprintf(variable, sizeof(variable), "DUNLINWEIR_BOOT=%s", path);
    fill_template(m, path);
    m->started_ms = rig.now;
    m->start_ms = 0;
    m->kill_ms = 0;
    m->pid = fork();
    if (m->pid == 0) {
        int fd = open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);

        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
        close_range(STDERR_FILENO + 1, ~0U, 0);
        execve(rig.daemon, argv, env);
        _exit(127);
    }
    note("%s starts", m->name);
}

void
term_machine(struct machine *m)
{
    note("%s gets SIGTERM", m->name);
    kill(m->pid, SIGTERM);
    m->kill_ms = rig.now + GRACE_S * 1000;
}

static void
update_machine(struct machine *m)
{
    int status;

    if (m->pid > 0 && m->kill_ms != 0 && rig.now >= m->kill_ms) {
        note("%s gets SIGKILL at the end of its grace", m->name);
        kill(m->pid, SIGKILL);
        m->kill_ms = 0;
    }
    if (m->pid > 0 && waitpid(m->pid, &status, WNOHANG) == m->pid) {
        m->pid = 0;
        m->start_ms = rig.now + m->down_ms;
        note("%s has ended, status %x", m->name, (unsigned)status);
    }
    if (m->pid == 0 && m->start_ms != 0 && rig.now >= m->start_ms) {
        start_machine(m);
    }
}

/* --- clients --- */

static void
on_answer(void *ctx, const struct httpc_result *d)
{
    struct call *c = ctx;

    c->req = NULL;
    c->ended = true;
    c->ended_ms = rig.now;
    c->complete = d->status == HTTPC_OK;
    c->status = c->complete ? d->http_status : 0;
    str_copy(c->body, sizeof(c->body), d->body);
    note("client: %s answered %ld %s after %" PRIu64 " ms", c->what, c->status,
        c->complete ? c->body : d->error, c->ended_ms - c->sent_ms);
}

struct call *
send_call(struct machine *m, const char *method, const char *path,
    const char *body, uint32_t deadline_ms)
{
    struct call *c = &rig.calls[rig.call_count++];
    char deadline[64];
    char url[200];
    const char *headers[] = {"Host: nony24.example",
        "Content-Type: application/json", deadline, NULL};
    struct httpc_call h = {0};

    if (rig.call_count > RIG_CALLS) {
        finish(2, "too many calls");
    }
    memset(c, 0, sizeof(*c));
    snprintf(c->what, sizeof(c->what), "%s %s at %s", method, path, m->name);
    snprintf(
        deadline, sizeof(deadline), "Deadline-Remaining: %u", deadline_ms);
    snprintf(url, sizeof(url), "http://%s:%d%s", m->ip, PORT_FRONT, path);
    note("client: %s%s%s", c->what, body[0] != '\0' ? " " : "", body);
    c->sent_ms = rig.now;
    h.method = method;
    h.url = url;
    h.headers = headers;
    h.body = str_of(body);
    h.timeout_ms = deadline_ms;
    h.connect_timeout_ms = 1000;
    h.done = on_answer;
    h.ctx = c;
    c->req = httpc_start(rig.http, &h);
    return c;
}

bool
call_ended(void *call)
{
    return ((struct call *)call)->ended;
}

/* --- the loop --- */

static void
on_tick(struct ev_loop *loop, ev_timer *t, int revents)
{
    (void)loop;
    (void)t;
    (void)revents;
    update_now();
    store_tick();
    for (int i = 0; i < rig.entries + rig.agents; i++) {
        update_machine(&rig.machines[i]);
        if (rig.machines[i].worker != NULL) {
            worker_tick(rig.machines[i].worker);
        }
    }
}

bool
pump_until(bool (*holds)(void *ctx), void *ctx, uint64_t ms)
{
    uint64_t end_ms = rig.now + ms;

    while (rig.now < end_ms) {
        if (holds != NULL && holds(ctx)) {
            return true;
        }
        ev_run(rig.loop, EVRUN_ONCE);
        update_now();
    }
    return holds != NULL && holds(ctx);
}

void
pump(uint64_t ms)
{
    pump_until(NULL, NULL, ms);
}

struct probe {
    bool ended;
    bool ready;
};

static void
on_probe(void *ctx, const struct httpc_result *d)
{
    struct probe *p = ctx;

    p->ended = true;
    p->ready = d->status == HTTPC_OK && d->http_status == 200;
}

static bool
probe_ended(void *ctx)
{
    return ((struct probe *)ctx)->ended;
}

static bool
is_ready(const struct machine *m)
{
    struct probe p = {0};
    struct httpc_call h = {0};
    char url[100];

    snprintf(url, sizeof(url), "http://%s:%d/dunlinweir/readiness", m->ip,
        PORT_READY);
    h.method = "GET";
    h.url = url;
    h.timeout_ms = 800;
    h.done = on_probe;
    h.ctx = &p;
    httpc_start(rig.http, &h);
    pump_until(probe_ended, &p, 1000);
    return p.ready;
}

void
await_ready(void)
{
    for (int i = 0; i < rig.entries; i++) {
        int n = 0;

        while (!is_ready(entry(i))) {
            pump(100);
            if (++n == 100) {
                finish(2, "%s is not ready", entry(i)->name);
            }
        }
    }
    pump(2500); /* heartbeats and sessions of all */
}

/* --- opening --- */

static bool
port_is_free(int type, const char *ip, int port)
{
    int fd = bound_socket(type, ip, port);

    if (fd >= 0) {
        close(fd);
    }
    return fd >= 0;
}

/* The addresses 127.N are not used yet, nor are the ports by a server that
 * listens at all addresses. */
static bool
is_free(void)
{
    char ip[24];
    bool ok;

    snprintf(ip, sizeof(ip), "127.%d.0.10", rig.net);
    ok = port_is_free(SOCK_STREAM, ip, PORT_METRICS) &&
         port_is_free(SOCK_DGRAM, ip, PORT_LINK);
    for (int i = 0; i < PORT_COUNT; i++) {
        ok = ok && port_is_free(SOCK_STREAM, ip, first_port + i);
    }
    return ok;
}

/* Below the ports that the system gives to outgoing connections. */
static void
take_addresses(void)
{
    unsigned seed = (unsigned)getpid() + (unsigned)time(NULL);

    for (int n = 0; n < 200; n++) {
        rig.net = 20 + (int)((seed + (unsigned)n) % 200);
        first_port = 12000 + 20 * (int)((seed + 7 * (unsigned)n) % 500);
        if (is_free()) {
            return;
        }
    }
    finish(2, "no free addresses and ports");
}

static void
init_machine(int i)
{
    static const char *const zones[] = {"lautoka-a", "nadi-b", "ba-c"};
    struct machine *m = &rig.machines[i];
    int k = i < rig.entries ? i : i - rig.entries;

    m->index = i;
    m->is_agent = i >= rig.entries;
    m->down_ms = 500;
    snprintf(m->name, sizeof(m->name), "%s-%d", m->is_agent ? "side" : "edge",
        k + 1);
    str_copy(m->zone, sizeof(m->zone), str_of(zones[k % 3]));
    snprintf(m->ip, sizeof(m->ip), "127.%d.0.%d", rig.net, 10 + i);
}

void
rig_open(int entries, int agents)
{
    const char *trouble = getenv("TROUBLE");
    const char *dir = getenv("RIG_DIR");
    const char *record = getenv("RIG_RECORD");

    rig.trouble = trouble == NULL || strcmp(trouble, "0") != 0;
    rig.dir = dir;
    rig.daemon = "target/dunlinweird";
    rig.entries = entries;
    rig.agents = agents;
    rig.cut_off = -1;
    rig.epoch_ms = steady_ms();
    rig.record = record != NULL ? fopen(record, "we") : NULL;
    if (dir == NULL || rig.record == NULL) {
        fprintf(stderr, "rig-2: set RIG_DIR and RIG_RECORD\n");
        exit(2);
    }
    signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    /* Not the default loop, which collects the processes that end. */
    rig.loop = ev_loop_new(EVFLAG_AUTO);
    rig.http = httpc_new(rig.loop, 32);
    take_addresses();
    ev_timer_init(&tick_timer, on_tick, 0, TICK_S);
    ev_timer_start(rig.loop, &tick_timer);
    for (int i = 0; i < entries + agents; i++) {
        init_machine(i);
        store_open(&rig.machines[i]);
    }
    for (int i = 0; i < entries * entries; i++) {
        if (i / entries != i % entries) {
            open_relay(entry(i / entries), entry(i % entries));
        }
    }
}
