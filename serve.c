#include "serve.h"

#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "log.h"
#include "num.h"
#include "proc.h"

#define TICK_S 0.02
/* Priority of the tick in a pass of the loop: after peers' messages are read,
 * before callers' requests are. */
#define SV_TICK_PRIORITY (-1)
/* A longer pass of the loop, in ms, counts as a pause of the machine. */
#define PAUSE_MS 300U
/* Enough for two watches, one or two reads, and requests that are resent. */
#define STORE_CONNECTIONS 16
/* Timeout in ms of a call to the store, including all resends. */
#define STORE_TIMEOUT_MS 1300U
/* ms that a registration outlives its last renewal. */
#define REGISTRATION_TTL_MS 6000U
#define REGISTRATION_RENEW_MS 2000U
/* ms between reads of the own registration: the store may drop it without
 * notice. */
#define REGISTRATION_VERIFY_MS 3000U
/* ms before the platform's kill at which a planned stop ends at the latest. */
#define LEAVE_MARGIN_MS 200U

/* --- peers --- */

struct sv_peer *
sv_peer(struct serve *s, uint64_t id, bool add)
{
    struct sv_peer *p;

    HASH_FIND(hh, s->peers, &id, sizeof(id), p);
    if (p == NULL && add) {
        p = dw_zero(1, sizeof(*p));
        p->id = id;
        HASH_ADD(hh, s->peers, id, sizeof(p->id), p);
    }
    return p;
}

static void
drop_peers(struct serve *s)
{
    struct sv_peer *p;
    struct sv_peer *tmp;

    HASH_ITER (hh, s->peers, p, tmp) {
        HASH_DEL(s->peers, p);
        free(p);
    }
}

/* --- registration in the store --- */

#define REGISTRATION_FORMAT "1 %016" PRIx64 " %s %u %s %s %s"

static void
registration_key(const struct serve *s, char *out, size_t cap)
{
    snprintf(out, cap, SV_KEY_PREFIX "%s", s->conf->node.me.name);
}

static void
registration_value(const struct serve *s, char *out, size_t cap)
{
    const struct view_member *me = &s->conf->node.me;
    const char *service = s->conf->platform.service;

    snprintf(out, cap, REGISTRATION_FORMAT, s->id, me->addr, me->port,
        me->domain, s->role->name, service[0] != '\0' ? service : "-");
}

void
sv_set_address(struct sv_peer *p, const dw_bytes *address, uint32_t port)
{
    str_copy(p->addr, sizeof(p->addr), str_bytes(address));
    p->port = (uint16_t)port;
}

bool
sv_read_peer(struct sv_peer *out, const char *key, struct str value)
{
    char text[512];
    char role[16];
    unsigned port;

    memset(out, 0, sizeof(*out));
    str_copy(text, sizeof(text), value);
    if (strncmp(key, SV_KEY_PREFIX, sizeof(SV_KEY_PREFIX) - 1) != 0 ||
        sscanf(text, "1 %" SCNx64 " %63s %u %63s %15s %63s", &out->id,
            out->addr, &port, out->domain, role, out->service) != 6 ||
        port == 0 || port > 65535 || out->id == 0) {
        return false;
    }
    str_copy(
        out->name, sizeof(out->name), str_of(key + sizeof(SV_KEY_PREFIX) - 1));
    out->port = (uint16_t)port;
    out->is_agent = strcmp(role, sv_agent.name) == 0;
    out->registered = true;
    return true;
}

static void
registration_failed(
    struct serve *s, const char *what, const struct kv_response *r)
{
    s->registering = false;
    log_event(LOG_LEVEL_WARN, "own_entry_failed", "call=%s error=\"%s\"", what,
        r->message);
}

static void
on_put(void *ctx, const struct kv_response *r)
{
    struct serve *s = ctx;

    if (r->status == KV_NOT_FOUND) {
        s->lease = 0;
    }
    if (r->status != KV_OK) {
        /* The write is idempotent: repeating it is harmless even if it took
         * effect. */
        registration_failed(s, "put", r);
        return;
    }
    s->registering = false;
    s->registered = true;
    s->verified_ms = proc_now();
    log_event(LOG_LEVEL_INFO, "entered", "lease=%" PRIu64, s->lease);
}

static void
put_registration(struct serve *s)
{
    char key[128];
    char value[512];

    registration_key(s, key, sizeof(key));
    registration_value(s, value, sizeof(value));
    s->registering = true;
    kv_put(s->kv, key, str_of(value), s->lease, on_put, s);
}

static void
on_lease(void *ctx, const struct kv_response *r)
{
    struct serve *s = ctx;

    if (r->status != KV_OK || r->lease == 0) {
        registration_failed(s, "lease", r);
        return;
    }
    s->lease = r->lease;
    s->renewed_ms = proc_now();
    put_registration(s);
}

static void
on_renewed(void *ctx, const struct kv_response *r)
{
    struct serve *s = ctx;

    if (r->status == KV_NOT_FOUND) {
        log_event(
            LOG_LEVEL_WARN, "own_entry_lapsed", "lease=%" PRIu64, s->lease);
        s->lease = 0;
        s->registered = false;
        s->renewed_ms = 0;
    }
}

static void
on_verified(void *ctx, const struct kv_response *r)
{
    struct serve *s = ctx;
    char value[512];

    registration_value(s, value, sizeof(value));
    if (r->status == KV_NOT_FOUND || (r->status == KV_OK && r->count == 1 &&
                                         !str_is(r->items[0].value, value))) {
        log_event(
            LOG_LEVEL_WARN, "own_entry_gone", "lease=%" PRIu64, s->lease);
        s->registered = false;
        s->renewed_ms = 0;
    }
}

/* ms between attempts to register while the store fails. */
#define REGISTER_RETRY_MS 300U

static void
maintain_registration(struct serve *s, uint64_t now)
{
    char key[128];

    if (s->registering || s->stop.begun) {
        return;
    }
    if (!s->registered && now - s->renewed_ms >= REGISTER_RETRY_MS) {
        s->renewed_ms = now;
        s->registering = true;
        if (s->lease == 0) {
            kv_lease_grant(s->kv, REGISTRATION_TTL_MS, on_lease, s);
        }
        else {
            put_registration(s);
        }
        return;
    }
    if (s->registered && now - s->renewed_ms >= REGISTRATION_RENEW_MS) {
        s->renewed_ms = now;
        kv_lease_renew(s->kv, s->lease, on_renewed, s);
    }
    if (s->registered && now - s->verified_ms >= REGISTRATION_VERIFY_MS) {
        s->verified_ms = now;
        registration_key(s, key, sizeof(key));
        kv_get(s->kv, key, true, on_verified, s);
    }
}

/* --- link --- */

static void
on_message(void *ctx, uint64_t from, dw_msg *m)
{
    struct serve *s = ctx;

    s->role->message(s, proc_now(), from, m);
}

static void
on_refused(void *ctx, uint64_t id)
{
    struct serve *s = ctx;

    s->role->refused(s, proc_now(), id);
}

static bool
resolve(void *ctx, uint64_t id, struct link_addr *out)
{
    struct serve *s = ctx;
    const struct sv_peer *p = sv_peer(s, id, false);

    if (p == NULL || p->port == 0) {
        return false;
    }
    out->addr = p->addr;
    out->port = p->port;
    return true;
}

static const struct link_events link_events = {
    on_message, on_refused, resolve};

/* --- the loop --- */

static void
check_leaving(struct serve *s, uint64_t now)
{
    bool done = s->stop.begun && s->role->done(s, now);

    switch (lv_next(&s->stop, now, done)) {
    case LV_WAIT:
        break;
    case LV_GIVE_UP:
        log_event(LOG_LEVEL_WARN, "leave_gives_up", "ms=%" PRIu64,
            now - s->stop.begun_ms);
        s->role->give_up(s, now);
        break;
    case LV_EXIT:
        log_event(s->stop.gave_up ? LOG_LEVEL_WARN : LOG_LEVEL_INFO, "left",
            "ms=%" PRIu64 " complete=%d answered=%d", now - s->stop.begun_ms,
            !s->stop.gave_up, done);
        ev_break(s->loop, EVBREAK_ALL);
        break;
    }
}

static void
on_prepare(struct ev_loop *loop, ev_prepare *w, int revents)
{
    struct serve *s = w->data;

    (void)loop;
    (void)revents;
    s->role->flush(s, proc_now());
    log_flush();
}

/* Called first in each pass of the loop. */
static void
on_check(struct ev_loop *loop, ev_check *w, int revents)
{
    struct serve *s = w->data;
    uint64_t now = proc_now();

    (void)loop;
    (void)revents;
    if (s->last_pass_ms != 0 && now - s->last_pass_ms > PAUSE_MS) {
        s->pauses++;
        log_event(
            LOG_LEVEL_WARN, "paused", "ms=%" PRIu64, now - s->last_pass_ms);
        s->role->resumed(s, now, now - s->last_pass_ms);
    }
    s->last_pass_ms = now;
}

static void
on_term(struct ev_loop *loop, ev_signal *w, int revents)
{
    struct serve *s = w->data;

    (void)loop;
    (void)revents;
    if (s->stop.begun) {
        return;
    }
    lv_begin(&s->stop, proc_now(),
        num_sub_sat(s->conf->platform.grace_ms, LEAVE_MARGIN_MS));
    log_event(
        LOG_LEVEL_INFO, "leaving", "grace_ms=%u", s->conf->platform.grace_ms);
    s->role->leave(s, s->stop.begun_ms);
}

/* Reloads the settings that may change at run time: the log level. */
static void
reload(struct serve *s)
{
    struct conf *loaded = dw_zero(1, sizeof(*loaded));
    struct err e = {""};

    if (conf_read(loaded, s->conf_path, &e) != CONF_OK) {
        log_event(LOG_LEVEL_ERROR, "settings_refused", "error=\"%s\"", e.msg);
    }
    else {
        s->conf->log_level = loaded->log_level;
        log_reopen((enum log_level)s->conf->log_level, &e);
        log_event(
            LOG_LEVEL_INFO, "reloaded", "log_level=%u", s->conf->log_level);
    }
    free(loaded);
}

static void
on_hup(struct ev_loop *loop, ev_signal *w, int revents)
{
    (void)loop;
    (void)revents;
    reload(w->data);
}

/* ms between checks of the settings file, which may change without SIGHUP. */
#define CONF_CHECK_MS 2000U

static void
check_conf_file(struct serve *s, uint64_t now)
{
    struct stat st;
    uint64_t mtime_ns;

    if (now - s->conf_checked_ms < CONF_CHECK_MS) {
        return;
    }
    s->conf_checked_ms = now;
    if (stat(s->conf_path, &st) != 0) {
        return;
    }
    mtime_ns = (uint64_t)st.st_mtim.tv_sec * 1000000000U +
               (uint64_t)st.st_mtim.tv_nsec;
    if (s->conf_mtime_ns != 0 && s->conf_mtime_ns != mtime_ns) {
        reload(s);
    }
    s->conf_mtime_ns = mtime_ns;
}

static void
on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct serve *s = w->data;
    uint64_t now = proc_now();

    (void)loop;
    (void)revents;
    s->role->tick(s, now);
    if (s->metrics_web != NULL) {
        wl_tick(&s->metrics_log, now, "metrics", s->metrics_web);
    }
    maintain_registration(s, now);
    check_conf_file(s, now);
    check_leaving(s, now);
}

static void
start_loop(struct serve *s)
{
    proc_watch_signal(s->loop, &s->term, SIGTERM, on_term, s);
    proc_watch_signal(s->loop, &s->intr, SIGINT, on_term, s);
    proc_watch_signal(s->loop, &s->hup, SIGHUP, on_hup, s);
    ev_timer_init(&s->tick, on_tick, 0.0, TICK_S);
    /* Messages first, so that a peer whose messages are read late does not
     * count as silent. */
    ev_set_priority(&s->tick, SV_TICK_PRIORITY);
    s->tick.data = s;
    ev_timer_start(s->loop, &s->tick);
    ev_prepare_init(&s->prepare, on_prepare);
    s->prepare.data = s;
    ev_prepare_start(s->loop, &s->prepare);
    ev_check_init(&s->check, on_check);
    ev_set_priority(&s->check, EV_MAXPRI);
    s->check.data = s;
    ev_check_start(s->loop, &s->check);
}

/* --- metrics --- */

void
sv_add_metrics(struct buf *b, const struct sv_metric *rows, size_t n)
{
    for (size_t i = 0; i < n; i++) {
        buf_addf(b, "%s %" PRIu64 "\n", rows[i].name, rows[i].value);
    }
}

/* Where sv_add_web_metrics() adds to. */
struct web_metrics {
    struct buf *b;
    const char *port;
};

static void
add_web_metric(void *ctx, const char *name, uint64_t value)
{
    const struct web_metrics *m = ctx;

    buf_addf(m->b, "dw_%s_%s %" PRIu64 "\n", m->port, name, value);
}

void
sv_add_web_metrics(struct buf *b, const char *port, const struct web *w)
{
    struct web_metrics m = {b, port};

    wl_each(w, add_web_metric, &m);
}

static void
add_line(void *ctx, const char *text)
{
    buf_add(ctx, str_of(text));
}

/* Recent log lines of a job: GET /lines?job=ID */
static void
reply_log_lines(struct web_req *r)
{
    const char *id = web_query(r, "job");
    struct buf field = {0};
    struct buf b = {0};

    if (id == NULL) {
        web_problem(r, 400, "no_job", "expected /lines?job=ID", 0);
        return;
    }
    buf_addf(&field, "job=%s", id);
    log_recent(field.p, add_line, &b);
    web_reply(r, 200, "text/plain", buf_str(&b), 0);
    buf_free(&field);
    buf_free(&b);
}

static void
on_metrics(void *ctx, struct web_req *r)
{
    struct serve *s = ctx;
    const struct kv_stats *kv = kv_stats(s->kv);
    const struct link_stats *link = link_stats(s->link);
    const struct sv_metric rows[] = {
        {"dw_uptime_ms", proc_now() - s->started_ms},
        {"dw_pauses", s->pauses},
        {"dw_store_reads", kv->reads},
        {"dw_store_cheap_reads", kv->cheap_reads},
        {"dw_store_writes", kv->writes},
        {"dw_store_failures", kv->failures},
        {"dw_store_sent_again", kv->resent},
        {"dw_store_copies", httpc_copies(s->http)},
        {"dw_log_lines_lost", log_lines_lost()},
        {"dw_link_closed_late", link->closed_late},
        {"dw_link_closed_crowded", link->closed_crowded},
        {"dw_link_closed_memory", link->closed_memory},
    };
    struct buf b = {0};

    if (strcmp(web_path(r), "/lines") == 0) {
        reply_log_lines(r);
        return;
    }
    sv_add_metrics(&b, rows, sizeof(rows) / sizeof(rows[0]));
    sv_add_web_metrics(&b, "metrics", s->metrics_web);
    s->role->metrics(s, &b);
    web_reply(r, 200, "text/plain", buf_str(&b), 0);
    buf_free(&b);
}

static void
on_metrics_disconnected(void *ctx, struct web_req *r)
{
    (void)ctx;
    (void)r;
}

static int
open_metrics(struct serve *s, struct err *e)
{
    struct conf_endpoint at;
    struct web_cfg cfg = {at.addr, 0, s->conf->ports};

    if (s->conf->platform.metrics_listen[0] == '\0') {
        return 0;
    }
    conf_endpoint(&at, s->conf->platform.metrics_listen);
    cfg.port = at.port;
    return web_open(&s->metrics_web, s->loop, &cfg, on_metrics,
               on_metrics_disconnected, s, e) == WEB_OK
               ? 0
               : -1;
}

/* --- start and stop --- */

static int
open_all(struct serve *s, struct err *e)
{
    const struct view_member *me = &s->conf->node.me;
    struct link_addr at = {me->addr, me->port};

    if (link_open(&s->link, s->loop, s->id, &at, &s->conf->link, &link_events,
            s, e) != LINK_OK) {
        return -1;
    }
    s->http = httpc_new(s->loop, STORE_CONNECTIONS);
    s->kv = kv_new(
        s->loop, s->http, s->conf->platform.store_url, STORE_TIMEOUT_MS);
    if (open_metrics(s, e) != 0) {
        return -1;
    }
    return s->role->open(s, e);
}

static void
close_all(struct serve *s)
{
    s->role->close(s);
    if (s->metrics_web != NULL) {
        web_close(s->metrics_web);
    }
    if (s->kv != NULL) {
        kv_free(s->kv);
    }
    if (s->http != NULL) {
        httpc_free(s->http);
    }
    if (s->link != NULL) {
        link_close(s->link);
    }
    drop_peers(s);
}

int
sv_run(struct conf *c, const char *path, const struct sv_role *role)
{
    struct serve *s = dw_zero(1, sizeof(*s));
    struct err e = {""};
    int code = EXIT_SUCCESS;

    s->conf = c;
    s->conf_path = path;
    s->role = role;
    s->id = proc_random_id();
    s->seed = proc_random_id();
    s->loop = ev_default_loop(0);
    s->started_ms = proc_now();
    if (open_all(s, &e) == 0) {
        log_event(LOG_LEVEL_INFO, "started",
            "role=%s name=%s id=%016" PRIx64 " domain=%s port=%u", role->name,
            c->node.me.name, s->id, c->node.me.domain, c->node.me.port);
        start_loop(s);
        ev_run(s->loop, 0);
    }
    else {
        fprintf(stderr, "dunlinweird: %s\n", e.msg);
        code = EXIT_FAILURE;
    }
    close_all(s);
    free(s);
    return code;
}
