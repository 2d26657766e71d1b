/*
 * dunlinweird - the daemon: settings, event loop and shutdown
 *
 * Runs a standalone node, or a role on the users' platform (serve.h) if the
 * settings name the platform's store.
 */
#include <inttypes.h>
#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#include "daemon.h"
#include "log.h"
#include "proc.h"
#include "serve.h"

#define TICK_S 0.01
/* Pauses of the loop longer than this many ms are logged and counted. */
#define PAUSE_MS 500
#define STORE_CONNECTIONS 8

/* Environment variable with the path of the settings; -f takes precedence. */
#define SETTINGS_VARIABLE "DUNLINWEIR_BOOT"

enum exit_code { EXIT_OK = 0, EXIT_BAD_START = 1, EXIT_BAD_USAGE = 2 };

/* --- events --- */

static void
on_message(void *ctx, uint64_t from, dw_msg *msg)
{
    struct daemon *d = ctx;

    node_message(&d->node, proc_now(), from, msg, &d->acts);
    carry_out(d);
}

static void
on_refused(void *ctx, uint64_t id)
{
    struct daemon *d = ctx;

    node_connection_refused(&d->node, proc_now(), id, &d->acts);
    carry_out(d);
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
on_may_start(void *ctx, uint64_t ref)
{
    struct daemon *d = ctx;

    (void)ref;
    return node_may_start(&d->node, proc_now());
}

static void
on_task_ended(
    void *ctx, uint64_t ref, dw_tstate state, uint32_t code, struct str body)
{
    struct daemon *d = ctx;

    node_task_ended(&d->node, proc_now(), ref, state, code, body, &d->acts);
    carry_out(d);
}

static void
on_usage(void *ctx, struct str kind, uint32_t millicores, uint32_t memory_mb)
{
    struct daemon *d = ctx;

    node_task_usage(&d->node, kind, millicores, memory_mb);
}

static const struct backend_events backend_callbacks = {
    on_may_start, on_task_ended, on_usage};

static void
on_store_hint(void *ctx)
{
    struct daemon *d = ctx;

    node_store_hint(&d->node, proc_now(), &d->acts);
    carry_out(d);
}

/* Only readers watch the store, as a pending watch counts against its rate. */
static void
update_watch(struct daemon *d)
{
    if (sync_is_reader(&d->node.sync)) {
        d->store->ops->watch(d->store, VIEW_PREFIX, on_store_hint, d);
    }
    else {
        d->store->ops->unwatch(d->store);
    }
}

/* A backend server that stopped sending announcements may be down. */
static void
check_announcement(struct daemon *d, uint64_t now)
{
    uint64_t last = d->node.host.announced_ms;

    if (last != 0 && d->node.host.serving &&
        now - last > d->conf.announce_timeout_ms) {
        log_event(LOG_LEVEL_WARN, "backend_silent", "ms=%" PRIu64, now - last);
        node_backend_status(&d->node, now, false, 0, &d->acts);
    }
}

static void
check_leaving(struct daemon *d, uint64_t now)
{
    bool done = node_done(&d->node) && d->waiters == NULL &&
                web_open_requests(d->web) == 0;

    switch (lv_next(&d->stop, now, done)) {
    case LV_WAIT:
        break;
    case LV_GIVE_UP:
        log_event(LOG_LEVEL_WARN, "leave_gives_up",
            "ms=%" PRIu64 " requests=%zu", now - d->stop.begun_ms,
            front_waiting(&d->node.front));
        front_give_up_all(&d->node.front, now, &d->acts);
        break;
    case LV_EXIT:
        log_event(d->stop.gave_up ? LOG_LEVEL_WARN : LOG_LEVEL_INFO, "left",
            "ms=%" PRIu64 " complete=%d answered=%d", now - d->stop.begun_ms,
            !d->stop.gave_up, done);
        ev_break(d->loop, EVBREAK_ALL);
        break;
    }
}

static void
on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct daemon *d = w->data;
    uint64_t now = proc_now();

    (void)loop;
    (void)revents;
    if (d->last_tick_ms != 0 && now - d->last_tick_ms > PAUSE_MS) {
        d->pauses++;
        log_event(
            LOG_LEVEL_WARN, "paused", "ms=%" PRIu64, now - d->last_tick_ms);
    }
    d->last_tick_ms = now;
    node_tick(&d->node, now, proc_wall(), &d->acts);
    carry_out(d);
    ops_tick(d, now);
    wl_tick(&d->web_log, now, "callers", d->web);
    check_announcement(d, now);
    update_watch(d);
    check_leaving(d, now);
    carry_out(d);
}

static void
on_term(struct ev_loop *loop, ev_signal *w, int revents)
{
    struct daemon *d = w->data;

    (void)loop;
    (void)revents;
    if (d->stop.begun) {
        return;
    }
    log_event(LOG_LEVEL_INFO, "leaving", "requests=%zu",
        front_waiting(&d->node.front));
    lv_begin(&d->stop, proc_now(), d->conf.leave_max_ms);
    node_leave(&d->node, d->stop.begun_ms, &d->acts);
    carry_out(d);
}

/* Reloads the settings that may change at run time: the log. */
static void
on_hup(struct ev_loop *loop, ev_signal *w, int revents)
{
    struct daemon *d = w->data;
    struct conf *loaded = dw_zero(1, sizeof(*loaded));
    struct err e = {""};

    (void)loop;
    (void)revents;
    if (conf_read(loaded, d->conf_path, &e) != CONF_OK) {
        log_event(LOG_LEVEL_ERROR, "settings_refused", "error=\"%s\"", e.msg);
    }
    else {
        d->conf.log_level = loaded->log_level;
    }
    if (log_reopen((enum log_level)d->conf.log_level, &e) != LOG_OK) {
        fprintf(stderr, "dunlinweird: %s\n", e.msg);
    }
    log_event(LOG_LEVEL_INFO, "reopened", "level=%u", d->conf.log_level);
    free(loaded);
}

/* --- starting --- */

static void
start_loop(struct daemon *d)
{
    proc_watch_signal(d->loop, &d->term, SIGTERM, on_term, d);
    proc_watch_signal(d->loop, &d->intr, SIGINT, on_term, d);
    proc_watch_signal(d->loop, &d->hup, SIGHUP, on_hup, d);
    ev_timer_init(&d->tick, on_tick, TICK_S, TICK_S);
    d->tick.data = d;
    ev_timer_start(d->loop, &d->tick);
}

static int
open_components(struct daemon *d, struct err *e)
{
    const struct view_member *me = &d->conf.node.me;
    struct link_addr at = {me->addr, me->port};
    struct web_cfg web = {me->addr, me->http, d->conf.callers};
    struct backend_cfg back = {d->conf.task_lease_ms, 2000};

    if (link_open(&d->link, d->loop, me->id, &at, &d->conf.link, &link_events,
            d, e) != LINK_OK) {
        return -1;
    }
    if (web_open(&d->web, d->loop, &web, api_handle, api_caller_left, d, e) !=
        WEB_OK) {
        return -1;
    }
    d->http = httpc_new(d->loop, STORE_CONNECTIONS);
    d->backend_http = httpc_new(d->loop, d->conf.backend_connections_max);
    d->store = store_etcd(
        d->loop, d->http, d->conf.store_url, d->conf.store_timeout_ms);
    d->backend =
        backend_new(d->loop, d->backend_http, &back, &backend_callbacks, d);
    if (d->conf.backend_url[0] != '\0') {
        backend_set_urls(d->backend, d->conf.backend_url, d->conf.worker_url);
        node_backend_status(&d->node, proc_now(), true, 0, &d->acts);
    }
    return 0;
}

static void
close_components(struct daemon *d)
{
    if (d->store != NULL) {
        d->store->ops->free(d->store);
    }
    if (d->backend != NULL) {
        backend_free(d->backend);
    }
    if (d->http != NULL) {
        httpc_free(d->http);
    }
    if (d->backend_http != NULL) {
        httpc_free(d->backend_http);
    }
    if (d->web != NULL) {
        web_close(d->web);
    }
    if (d->link != NULL) {
        link_close(d->link);
    }
}

static int
run(struct daemon *d)
{
    struct err e = {""};
    int code = EXIT_OK;

    d->conf.node.me.id = proc_random_id();
    d->conf.node.seed = proc_random_id();
    d->loop = ev_default_loop(0);
    d->started_ms = proc_now();
    d->next_request = proc_random_id() >> 1;
    acts_init(&d->acts);
    d->answer = api_answer;
    d->trail = trail_new(d->conf.trail_events_max);
    node_init(&d->node, &d->conf.node);
    if (open_components(d, &e) == 0) {
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
    close_components(d);
    acts_clear(&d->acts);
    node_free(&d->node);
    trail_free(d->trail);
    return code;
}

/* Run a role on the users' platform. */
static int
run_on_platform(struct daemon *d)
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
    const char *env_path = getenv(SETTINGS_VARIABLE);

    proc_close_inherited_sockets();
    if (path == NULL && env_path != NULL) {
        path = str_dup(str_of(env_path));
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
        proc_raise_limits();
        curl_global_init(CURL_GLOBAL_DEFAULT);
        d->conf_path = path;
        code = d->conf.platform.store_url[0] == '\0' ? run(d)
                                                     : run_on_platform(d);
        curl_global_cleanup();
        log_close();
    }
    poptFreeContext(ctx);
    free(path);
    free(d);
    return code;
}
