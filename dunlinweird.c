#include <errno.h>
#include <inttypes.h>
#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <sys/resource.h>
#include <time.h>

#include <curl/curl.h>

#include "daemon.h"
#include "log.h"
#include "serve.h"

#define TICK_S 0.01
/* A loop that stood still for longer is worth a line in the log. */
#define PAUSE_MS 500
#define STORE_CONNECTIONS 8

/* Where the platform says the settings are; -f goes first. */
#define BOOT_VARIABLE "DUNLINWEIR_BOOT"

enum exit_code { EXIT_OK = 0, EXIT_BAD_START = 1, EXIT_BAD_USAGE = 2 };

static uint64_t
clock_in_ms(clockid_t id)
{
    struct timespec ts;

    clock_gettime(id, &ts);
    return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

uint64_t
daemon_now(void)
{
    return clock_in_ms(CLOCK_BOOTTIME);
}

uint64_t
daemon_wall(void)
{
    return clock_in_ms(CLOCK_REALTIME);
}

/* --- carrying out actions --- */

/* A store call on its way, and when it left. */
struct store_call {
    struct daemon *d;
    uint64_t asked_ms;
    uint64_t ref;
};

static struct store_call *
new_store_call(struct daemon *d, uint64_t ref)
{
    struct store_call *c = dw_zero(1, sizeof(*c));

    c->d = d;
    c->asked_ms = daemon_now();
    c->ref = ref;
    return c;
}

static void
on_checked(void *ctx, enum store_status st, uint64_t rev)
{
    struct store_call *c = ctx;
    struct daemon *d = c->d;

    if (st == STORE_OK) {
        node_checked(&d->node, daemon_now(), c->asked_ms, rev, &d->acts);
    }
    else {
        node_read_failed(&d->node);
    }
    free(c);
    daemon_carry_out(d);
}

static void
on_read(void *ctx, enum store_status st, const dw_state *all)
{
    struct store_call *c = ctx;
    struct daemon *d = c->d;

    if (st == STORE_OK) {
        node_read(&d->node, daemon_now(), c->asked_ms, all, &d->acts);
    }
    else {
        node_read_failed(&d->node);
    }
    free(c);
    daemon_carry_out(d);
}

static void
on_txn(void *ctx, enum store_status st, uint64_t rev)
{
    static const enum txn_status meaning[] = {
        [STORE_OK] = TXN_OK,
        [STORE_CONFLICT] = TXN_CONFLICT,
        [STORE_DOWN] = TXN_UNKNOWN,
        [STORE_UNKNOWN] = TXN_UNKNOWN,
    };
    struct store_call *c = ctx;
    struct daemon *d = c->d;

    (void)rev;
    node_txn_done(&d->node, daemon_now(), c->ref, meaning[st], &d->acts);
    free(c);
    daemon_carry_out(d);
}

static void
do_send(struct daemon *d, struct act *a)
{
    if (a->to == d->node.self) {
        node_message(&d->node, daemon_now(), a->to, a->msg, &d->acts);
        return;
    }
    link_send(d->link, a->to, a->msg);
}

static void
do_start(struct daemon *d, struct act *a)
{
    const struct host_run *r = host_find(&d->node.host, a->ref);

    if (r != NULL) {
        back_run(d->back, r);
    }
}

static void
do_stop(struct daemon *d, struct act *a)
{
    back_stop(d->back, a->ref);
}

static void
do_answer(struct daemon *d, struct act *a)
{
    api_answer(d, a->ref, &a->msg->dw_msg_u.answer);
}

static void
do_txn(struct daemon *d, struct act *a)
{
    d->store->ops->txn(d->store, a->txn, on_txn, new_store_call(d, a->ref));
}

static void
do_read(struct daemon *d, struct act *a)
{
    struct store_call *c = new_store_call(d, a->ref);

    if (a->ref == ACT_READ_CHECK) {
        d->store->ops->check(d->store, on_checked, c);
    }
    else {
        d->store->ops->read(d->store, VIEW_PREFIX, on_read, c);
    }
}

static void
do_note(struct daemon *d, struct act *a)
{
    if (a->customer[0] == '\0') {
        log_event(LOG_LEVEL_INFO, "fleet", "%s", a->text);
        return;
    }
    trail_add(d->trail, daemon_wall(), str_of(a->customer), str_of(a->key),
        str_of(a->text));
    log_event(LOG_LEVEL_DEBUG, "note", "customer=%s key=%s text=\"%s\"",
        a->customer, a->key, a->text);
}

static void (*const doers[])(struct daemon *d, struct act *a) = {
    [ACT_SEND] = do_send,
    [ACT_START] = do_start,
    [ACT_STOP] = do_stop,
    [ACT_ANSWER] = do_answer,
    [ACT_TXN] = do_txn,
    [ACT_READ] = do_read,
    [ACT_NOTE] = do_note,
};

void
daemon_carry_out(struct daemon *d)
{
    struct act *a;

    if (d->carrying_out) {
        return;
    }
    d->carrying_out = true;
    while ((a = acts_take(&d->acts)) != NULL) {
        doers[a->kind](d, a);
        act_free(a);
    }
    d->carrying_out = false;
}

/* --- events --- */

static void
on_message(void *ctx, uint64_t from, dw_msg *msg)
{
    struct daemon *d = ctx;

    node_message(&d->node, daemon_now(), from, msg, &d->acts);
    daemon_carry_out(d);
}

static void
on_refused(void *ctx, uint64_t id)
{
    struct daemon *d = ctx;

    node_refused(&d->node, daemon_now(), id, &d->acts);
    daemon_carry_out(d);
}

static bool
resolve(void *ctx, uint64_t id, struct link_addr *out)
{
    struct daemon *d = ctx;
    const struct view_member *m = view_member(&d->node.view, id);

    if (m == NULL) {
        return false;
    }
    out->addr = m->addr;
    out->port = m->port;
    return true;
}

static const struct link_events link_events = {
    on_message, on_refused, resolve};

static bool
back_may_start(void *ctx, uint64_t ref)
{
    struct daemon *d = ctx;

    (void)ref;
    return node_may_start(&d->node, daemon_now());
}

static void
back_ended(
    void *ctx, uint64_t ref, dw_tstate state, uint32_t code, struct str body)
{
    struct daemon *d = ctx;

    node_task_ended(&d->node, daemon_now(), ref, state, code, body, &d->acts);
    daemon_carry_out(d);
}

static void
back_usage(void *ctx, struct str kind, uint32_t millicores, uint32_t memory_mb)
{
    struct daemon *d = ctx;

    node_usage(&d->node, kind, millicores, memory_mb);
}

static const struct back_events back_events = {
    back_may_start, back_ended, back_usage};

static void
on_store_hint(void *ctx)
{
    struct daemon *d = ctx;

    node_store_hint(&d->node, daemon_now(), &d->acts);
    daemon_carry_out(d);
}

/* Only readers watch: the store counts a waiting watch as a call. */
static void
follow_readers(struct daemon *d)
{
    if (sync_is_reader(&d->node.sync)) {
        d->store->ops->watch(d->store, VIEW_PREFIX, on_store_hint, d);
    }
    else {
        d->store->ops->unwatch(d->store);
    }
}

/* A backend server that stopped announcing itself may be gone. */
static void
check_announcement(struct daemon *d, uint64_t now)
{
    uint64_t last = d->node.host.announced_ms;

    if (last != 0 && d->node.host.serving &&
        now - last > d->conf.announce_ms) {
        log_event(LOG_LEVEL_WARN, "backend_silent", "ms=%" PRIu64, now - last);
        node_backend(&d->node, now, false, 0, &d->acts);
    }
}

static void
check_leaving(struct daemon *d, uint64_t now)
{
    bool late;

    if (!d->leaving) {
        return;
    }
    late = now - d->leave_ms >= d->conf.leave_max_ms;
    if (late || (node_done(&d->node) && d->waiters == NULL &&
                    web_open_requests(d->web) == 0)) {
        log_event(late ? LOG_LEVEL_WARN : LOG_LEVEL_INFO, "left",
            "ms=%" PRIu64 " complete=%d", now - d->leave_ms, !late);
        ev_break(d->loop, EVBREAK_ALL);
    }
}

static void
on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct daemon *d = w->data;
    uint64_t now = daemon_now();

    (void)loop;
    (void)revents;
    if (d->ticked_ms != 0 && now - d->ticked_ms > PAUSE_MS) {
        d->pauses++;
        log_event(LOG_LEVEL_WARN, "paused", "ms=%" PRIu64, now - d->ticked_ms);
    }
    d->ticked_ms = now;
    node_tick(&d->node, now, daemon_wall(), &d->acts);
    daemon_carry_out(d);
    ops_tick(d, now);
    check_announcement(d, now);
    follow_readers(d);
    check_leaving(d, now);
    daemon_carry_out(d);
}

static void
on_term(struct ev_loop *loop, ev_signal *w, int revents)
{
    struct daemon *d = w->data;

    (void)loop;
    (void)revents;
    if (d->leaving) {
        return;
    }
    log_event(LOG_LEVEL_INFO, "leaving", "requests=%zu",
        front_waiting(&d->node.front));
    d->leaving = true;
    d->leave_ms = daemon_now();
    node_leave(&d->node, d->leave_ms, &d->acts);
    daemon_carry_out(d);
}

/* Settings that may change while the process runs: the log. */
static void
on_hup(struct ev_loop *loop, ev_signal *w, int revents)
{
    struct daemon *d = w->data;
    struct conf *fresh = dw_zero(1, sizeof(*fresh));
    struct err e = {""};

    (void)loop;
    (void)revents;
    if (conf_read(fresh, d->conf_path, &e) != CONF_OK) {
        log_event(LOG_LEVEL_ERROR, "settings_refused", "error=\"%s\"", e.msg);
    }
    else {
        d->conf.log_level = fresh->log_level;
    }
    if (log_reopen((enum log_level)d->conf.log_level, &e) != LOG_OK) {
        fprintf(stderr, "dunlinweird: %s\n", e.msg);
    }
    log_event(LOG_LEVEL_INFO, "reopened", "level=%u", d->conf.log_level);
    free(fresh);
}

/* --- starting --- */

static void
watch_signal(struct daemon *d, ev_signal *w, int signum,
    void (*fn)(struct ev_loop *, ev_signal *, int))
{
    ev_signal_init(w, fn, signum);
    w->data = d;
    ev_signal_start(d->loop, w);
}

static void
start_loop(struct daemon *d)
{
    watch_signal(d, &d->term, SIGTERM, on_term);
    watch_signal(d, &d->intr, SIGINT, on_term);
    watch_signal(d, &d->hup, SIGHUP, on_hup);
    ev_timer_init(&d->tick, on_tick, TICK_S, TICK_S);
    d->tick.data = d;
    ev_timer_start(d->loop, &d->tick);
}

static int
open_sides(struct daemon *d, struct err *e)
{
    const struct view_member *me = &d->conf.node.me;
    struct web_cfg web = {me->addr, me->http, d->conf.callers_max,
        d->conf.body_max, d->conf.idle_s};
    struct back_cfg back = {d->conf.lease_ms, 2000};

    if (link_open(&d->link, d->loop, me->id, me->addr, me->port, &link_events,
            d, e) != LINK_OK) {
        return -1;
    }
    if (web_open(&d->web, d->loop, &web, api_handle, api_gone, d, e) !=
        WEB_OK) {
        return -1;
    }
    d->http = httpc_new(d->loop, STORE_CONNECTIONS);
    d->back_http = httpc_new(d->loop, d->conf.connections);
    d->store = store_etcd(
        d->loop, d->http, d->conf.store_url, d->conf.store_timeout_ms);
    d->back = back_new(d->loop, d->back_http, &back, &back_events, d);
    if (d->conf.backend_url[0] != '\0') {
        back_set_urls(d->back, d->conf.backend_url, d->conf.worker_url);
        node_backend(&d->node, daemon_now(), true, 0, &d->acts);
    }
    return 0;
}

static void
close_sides(struct daemon *d)
{
    if (d->store != NULL) {
        d->store->ops->free(d->store);
    }
    if (d->back != NULL) {
        back_free(d->back);
    }
    if (d->http != NULL) {
        httpc_free(d->http);
    }
    if (d->back_http != NULL) {
        httpc_free(d->back_http);
    }
    if (d->web != NULL) {
        web_close(d->web);
    }
    if (d->link != NULL) {
        link_close(d->link);
    }
}

static uint64_t
random_id(void)
{
    uint64_t id = 0;

    while (id == 0) {
        if (getrandom(&id, sizeof(id), 0) != (ssize_t)sizeof(id)) {
            id = 0;
        }
    }
    return id;
}

/* Many peers and callers each hold a file descriptor. */
static void
raise_limits(void)
{
    struct rlimit r;

    if (getrlimit(RLIMIT_NOFILE, &r) == 0) {
        r.rlim_cur = r.rlim_max;
        setrlimit(RLIMIT_NOFILE, &r);
    }
    signal(SIGPIPE, SIG_IGN);
}

static int
run(struct daemon *d)
{
    struct err e = {""};
    int code = EXIT_OK;

    d->conf.node.me.id = random_id();
    d->conf.node.seed = random_id();
    d->loop = ev_default_loop(0);
    d->started_ms = daemon_now();
    d->next_request = random_id() >> 1;
    acts_init(&d->acts);
    d->trail = trail_new(d->conf.trail_max);
    node_init(&d->node, &d->conf.node);
    if (open_sides(d, &e) == 0) {
        log_event(LOG_LEVEL_INFO, "started",
            "name=%s id=%016" PRIx64 " domain=%s port=%u http=%u",
            d->conf.node.me.name, d->conf.node.me.id, d->conf.node.me.domain,
            d->conf.node.me.port, d->conf.node.me.http);
        start_loop(d);
        ev_run(d->loop, 0);
    }
    else {
        fprintf(stderr, "dunlinweird: %s\n", e.msg);
        code = EXIT_BAD_START;
    }
    close_sides(d);
    acts_clear(&d->acts);
    node_free(&d->node);
    trail_free(d->trail);
    return code;
}

/* On the users' platform. */
static int
run_served(struct daemon *d)
{
    static const struct sv_role *const roles[] = {
        [VIEW_ENTRY] = &sv_entry,
        [VIEW_AGENT] = &sv_agent,
    };

    return sv_run(&d->conf, d->conf_path, roles[d->conf.node.me.role]);
}

int
main(int argc, char **argv)
{
    char *path = NULL;
    int check = 0;
    const struct poptOption options[] = {
        {"file", 'f', POPT_ARG_STRING, &path, 0, "settings", "FILE"},
        {"check", 'c', POPT_ARG_NONE, &check, 0, "check the settings and exit",
            NULL},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext ctx =
        poptGetContext("dunlinweird", argc, (const char **)argv, options, 0);
    struct daemon *d = dw_zero(1, sizeof(*d));
    struct err e = {""};
    int opt = poptGetNextOpt(ctx);
    int code = EXIT_BAD_USAGE;
    const char *where = getenv(BOOT_VARIABLE);

    if (path == NULL && where != NULL) {
        path = str_dup(str_of(where));
    }

    if (opt < -1) {
        fprintf(stderr, "dunlinweird: %s: %s\n",
            poptBadOption(ctx, POPT_BADOPTION_NOALIAS), poptStrerror(opt));
    }
    else if (path == NULL || poptPeekArg(ctx) != NULL) {
        poptPrintUsage(ctx, stderr, 0);
    }
    else if (conf_read(&d->conf, path, &e) != CONF_OK) {
        fprintf(stderr, "dunlinweird: %s\n", e.msg);
    }
    else if (check) {
        printf("%s: settings are good\n", path);
        code = EXIT_OK;
    }
    else if (log_open(d->conf.log_file, (enum log_level)d->conf.log_level,
                 &e) != LOG_OK) {
        fprintf(stderr, "dunlinweird: %s\n", e.msg);
        code = EXIT_BAD_START;
    }
    else {
        raise_limits();
        curl_global_init(CURL_GLOBAL_DEFAULT);
        d->conf_path = path;
        code = d->conf.platform.store[0] == '\0' ? run(d) : run_served(d);
        curl_global_cleanup();
        log_close();
    }
    poptFreeContext(ctx);
    free(path);
    free(d);
    return code;
}
