#include "conf.h"

#include <arpa/inet.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coord.h"

enum kind { KIND_U16, KIND_U32, KIND_SECONDS, KIND_TEXT, KIND_CHOICE };

/* Whether a setting must be there. */
enum need {
    NEED_NOT,
    NEED_ALWAYS,
    NEED_ALONE /* unless the process runs on the users' platform */
};

typedef bool (*check_fn)(const char *text);

struct setting {
    const char *key;
    enum kind kind;
    size_t offset;
    int64_t min; /* for text: the most bytes is max */
    int64_t max;
    enum need need;
    const char *const *choices;
    check_fn check;
    const char *allowed;
};

/* What the reading carries along. */
struct reading {
    struct conf *c;
    const char *path;
    bool *seen;
};

static const char *const roles[] = {"entry", "agent", NULL};
static const char *const placements[] = {"free", "random", "round", NULL};
static const char *const levels[] = {"error", "warn", "info", "debug", NULL};

static bool
is_address(const char *text)
{
    struct in_addr a;

    return inet_pton(AF_INET, text, &a) == 1;
}

static bool
is_name(const char *text)
{
    return ct_name_valid(str_of(text));
}

static bool
is_url(const char *text)
{
    return strncmp(text, "http://", 7) == 0 ||
           strncmp(text, "https://", 8) == 0;
}

/* Empty, or ADDRESS:PORT. */
static bool
is_endpoint(const char *text)
{
    struct conf_endpoint at;

    return text[0] == '\0' || conf_endpoint(&at, text);
}

static bool
is_token(const char *text)
{
    return strlen(text) >= 8;
}

#define AT(field) offsetof(struct conf, field)
#define NAME_ALLOWED "1 to 63 of a-z 0-9 '-' '_' '.'"

#define TEXT(k, field, req, fn, words)                                        \
    {                                                                         \
        k, KIND_TEXT, AT(field), 0, sizeof(((struct conf *)0)->field) - 1,    \
            req, NULL, fn, words                                              \
    }
#define NUMBER(k, field, lo, hi)                                              \
    {                                                                         \
        k, KIND_U32, AT(field), lo, hi, NEED_NOT, NULL, NULL, NULL            \
    }
#define PORT(k, field, req)                                                   \
    {                                                                         \
        k, KIND_U16, AT(field), 1, 65535, req, NULL, NULL, NULL               \
    }
#define SECONDS(k, field, lo, hi)                                             \
    {                                                                         \
        k, KIND_SECONDS, AT(field), lo, hi, NEED_NOT, NULL, NULL, NULL        \
    }

static const struct setting settings[] = {
    {"process.role", KIND_CHOICE, AT(node.me.role), 0, 0, NEED_ALWAYS, roles,
        NULL, NULL},
    TEXT("process.name", node.me.name, NEED_ALWAYS, is_name, NAME_ALLOWED),
    TEXT("process.domain", node.me.domain, NEED_ALWAYS, is_name, NAME_ALLOWED),
    TEXT("process.rack", node.me.rack, NEED_NOT, is_name, NAME_ALLOWED),
    TEXT("process.address", node.me.addr, NEED_ALWAYS, is_address,
        "a numeric IPv4 address"),
    PORT("process.port", node.me.port, NEED_ALWAYS),
    PORT("process.http_port", node.me.http, NEED_ALONE),
    NUMBER("process.leave_max_ms", leave_max_ms, 1000, 3600000),
    TEXT("store.url", store_url, NEED_ALONE, is_url,
        "an http:// or https:// URL"),
    NUMBER("store.timeout_ms", store_timeout_ms, 50, 60000),
    TEXT("operators.token", operator_token, NEED_NOT, is_token,
        "8 bytes or more"),
    NUMBER("operators.audit_kept", audit_kept, 10, 100000),
    TEXT("log.file", log_file, NEED_NOT, NULL, "a path"),
    {"log.level", KIND_CHOICE, AT(log_level), 0, 0, NEED_NOT, levels, NULL,
        NULL},
    NUMBER("log.trail", trail_max, 1, 10000000),
    NUMBER("worker.slots", node.host.slots, 1, 10000),
    NUMBER("worker.millicores", node.host.millicores, 1, 1024000),
    NUMBER("worker.memory_mb", node.host.memory_mb, 1, 4194304),
    NUMBER("worker.queue", node.host.queue_max, 0, 100000),
    NUMBER("worker.lease_ms", lease_ms, 500, 600000),
    TEXT("worker.url", worker_url, NEED_NOT, is_url,
        "an http:// or https:// URL"),
    TEXT("backend.url", backend_url, NEED_NOT, is_url,
        "an http:// or https:// URL"),
    NUMBER("backend.connections", connections, 1, 10000),
    NUMBER("backend.announce_ms", announce_ms, 500, 600000),
    NUMBER("callers.body_max", body_max, 1024, 16777216),
    NUMBER("callers.connections", callers_max, 1, 1000000),
    NUMBER("callers.idle_s", idle_s, 1, 3600),
    NUMBER("callers.deadline_ms", default_deadline_ms, 10, 3600000),
    NUMBER("callers.waiting", node.front.requests_max, 1, 1000000),
    NUMBER("callers.hold_ms", node.front.owner_timeout_ms, 100, 600000),
    NUMBER("state.fresh_ms", node.sync.fresh_ms, 500, 60000),
    NUMBER("state.pull_ms", node.sync.pull_ms, 50, 10000),
    NUMBER("state.read_ms", node.sync.read_ms, 100, 10000),
    NUMBER("state.per_reader", node.sync.per_reader, 1, 1000),
    NUMBER("members.period_ms", node.mbr.period_ms, 50, 60000),
    NUMBER("members.timeout_ms", node.mbr.timeout_ms, 10, 60000),
    NUMBER("members.suspect_ms", node.mbr.suspect_ms, 100, 600000),
    NUMBER("jobs.window_ms", node.job.retention_ms, 1000, 86400000),
    NUMBER("jobs.refuse_ms", node.job.refuse_ms, 1000, 600000),
    NUMBER("jobs.max_age_ms", node.job.max_age_ms, 100, 600000),
    NUMBER("jobs.waiting", node.job.waiting_max, 1, 10000000),
    NUMBER("jobs.move_ms", node.job.move_ms, 10, 600000),
    NUMBER("jobs.queue_allow", node.place.queue_allow, 0, 1000),
    {"jobs.placement", KIND_CHOICE, AT(node.place.policy), 0, 0, NEED_NOT,
        placements, NULL, NULL},
    NUMBER("jobs.scan_max", node.place.scan_max, 0, 10000),
    NUMBER("jobs.sample", node.place.sample, 1, 64),
    NUMBER("jobs.load_hints", node.place.hints, 0, 8),
    NUMBER("loans.valid_ms", node.quota.valid_ms, 2000, 600000),
    NUMBER("loans.hold_ms", node.quota.slot_hold_ms, 1000, 3600000),
    NUMBER("loans.wait_ms", node.quota.wait_ms, 0, 60000),
    TEXT("platform.store", platform.store, NEED_NOT, is_url,
        "an http:// or https:// URL"),
    TEXT("platform.callers", platform.callers, NEED_NOT, is_endpoint,
        "ADDRESS:PORT"),
    TEXT("platform.readiness", platform.readiness, NEED_NOT, is_endpoint,
        "ADDRESS:PORT"),
    TEXT("platform.announce", platform.announce, NEED_NOT, is_endpoint,
        "ADDRESS:PORT"),
    TEXT("platform.worker", platform.worker, NEED_NOT, is_endpoint,
        "ADDRESS:PORT"),
    TEXT("platform.metrics", platform.metrics, NEED_NOT, is_endpoint,
        "ADDRESS:PORT"),
    TEXT("platform.service", platform.service, NEED_NOT, NULL, "a text"),
    SECONDS("platform.grace_s", platform.grace_ms, 1, 3600),
    NUMBER("platform.resend_ms", platform.resend_ms, 1, 3600000),
};

#define SETTING_COUNT (sizeof(settings) / sizeof(settings[0]))

static void
set_defaults(struct conf *c)
{
    memset(c, 0, sizeof(*c));
    node_defaults(&c->node);
    c->store_timeout_ms = 1000;
    c->log_level = LOG_LEVEL_INFO;
    c->connections = 60;
    c->lease_ms = 10000;
    c->announce_ms = 3000;
    c->body_max = 1U << 20;
    c->callers_max = 10000;
    c->idle_s = 60;
    c->default_deadline_ms = 30000;
    c->leave_max_ms = 60000;
    c->trail_max = 20000;
    c->audit_kept = 2000;
    c->platform.grace_ms = 6000;
    c->platform.resend_ms = 1300;
}

static enum conf_status
refuse(const struct reading *r, const struct toml_value *v,
    const char *allowed, struct err *e)
{
    err_set(e, "%s:%u: key '%s': want %s", r->path, v->line, v->key, allowed);
    return CONF_BAD_VALUE;
}

static enum conf_status
set_number(const struct reading *r, const struct setting *s,
    const struct toml_value *v, struct err *e)
{
    char allowed[96];
    char *at = (char *)r->c + s->offset;

    if (v->kind != TOML_NUMBER || v->number < s->min || v->number > s->max) {
        snprintf(allowed, sizeof(allowed), "a whole number from %lld to %lld",
            (long long)s->min, (long long)s->max);
        return refuse(r, v, allowed, e);
    }
    if (s->kind == KIND_U16) {
        *(uint16_t *)at = (uint16_t)v->number;
    }
    else {
        *(uint32_t *)at = (uint32_t)v->number;
    }
    return CONF_OK;
}

/* Kept as ms. */
static enum conf_status
set_seconds(const struct reading *r, const struct setting *s,
    const struct toml_value *v, struct err *e)
{
    char allowed[96];
    double n = v->kind == TOML_REAL ? v->real : (double)v->number;

    if ((v->kind != TOML_NUMBER && v->kind != TOML_REAL) ||
        n < (double)s->min || n > (double)s->max) {
        snprintf(allowed, sizeof(allowed),
            "a number of seconds from %lld to "
            "%lld",
            (long long)s->min, (long long)s->max);
        return refuse(r, v, allowed, e);
    }
    *(uint32_t *)((char *)r->c + s->offset) = (uint32_t)(n * 1000.0);
    return CONF_OK;
}

static enum conf_status
set_text(const struct reading *r, const struct setting *s,
    const struct toml_value *v, struct err *e)
{
    if (v->kind != TOML_TEXT || (int64_t)strlen(v->text) > s->max ||
        (s->check != NULL && !s->check(v->text))) {
        return refuse(r, v, s->allowed, e);
    }
    str_copy((char *)r->c + s->offset, (size_t)s->max + 1, str_of(v->text));
    return CONF_OK;
}

static enum conf_status
set_choice(const struct reading *r, const struct setting *s,
    const struct toml_value *v, struct err *e)
{
    struct buf allowed = {0};
    enum conf_status st;

    for (uint32_t i = 0; s->choices[i] != NULL; i++) {
        if (v->kind == TOML_TEXT && strcmp(v->text, s->choices[i]) == 0) {
            *(uint32_t *)((char *)r->c + s->offset) = i;
            buf_free(&allowed);
            return CONF_OK;
        }
        buf_addf(&allowed, "%s\"%s\"", i > 0 ? " or " : "", s->choices[i]);
    }
    st = refuse(r, v, allowed.p, e);
    buf_free(&allowed);
    return st;
}

static enum conf_status
set_value(void *ctx, const struct toml_value *v, struct err *e)
{
    const struct reading *r = ctx;

    for (size_t i = 0; i < SETTING_COUNT; i++) {
        const struct setting *s = &settings[i];

        if (strcmp(s->key, v->key) != 0) {
            continue;
        }
        r->seen[i] = true;
        switch (s->kind) {
        case KIND_U16:
        case KIND_U32:
            return set_number(r, s, v, e);
        case KIND_SECONDS:
            return set_seconds(r, s, v, e);
        case KIND_TEXT:
            return set_text(r, s, v, e);
        case KIND_CHOICE:
            return set_choice(r, s, v, e);
        }
    }
    err_set(e, "%s:%u: key '%s' is not known; see dunlinweir.toml(5)", r->path,
        v->line, v->key);
    return CONF_BAD_VALUE;
}

/* Settings that only hold together. */
static enum conf_status
check_whole(struct conf *c, const char *path, struct err *e)
{
    struct node_cfg *n = &c->node;

    /* An attempt on its way must be older than max_age before the refusal
     * of its key lapses; 3000 ms is the longest time in transit. */
    if (n->job.refuse_ms < n->job.max_age_ms + 4000) {
        err_set(e,
            "%s: key 'jobs.refuse_ms': want at least jobs.max_age_ms "
            "+ 4000, which is %u",
            path, n->job.max_age_ms + 4000);
        return CONF_BAD_VALUE;
    }
    if (c->platform.store[0] != '\0' && n->me.role == VIEW_ENTRY &&
        (c->platform.callers[0] == '\0' || c->platform.readiness[0] == '\0')) {
        err_set(e,
            "%s: an entry with 'platform.store' wants "
            "'platform.callers' and 'platform.readiness'",
            path);
        return CONF_BAD_VALUE;
    }
    if (c->platform.store[0] != '\0' && n->me.role == VIEW_AGENT &&
        (c->platform.announce[0] == '\0' || c->platform.worker[0] == '\0')) {
        err_set(e,
            "%s: an agent with 'platform.store' wants "
            "'platform.announce' and 'platform.worker'",
            path);
        return CONF_BAD_VALUE;
    }
    if (c->platform.store[0] != '\0' &&
        c->platform.resend_ms <= CO_ORPHAN_RUNS_MS) {
        err_set(e,
            "%s: key 'platform.resend_ms': want more than %u, as runs of an "
            "entry that died may go on for so long",
            path, CO_ORPHAN_RUNS_MS);
        return CONF_BAD_VALUE;
    }
    if (n->me.rack[0] == '\0') {
        memcpy(n->me.rack, n->me.name, sizeof(n->me.rack));
    }
    n->host.retention_ms = n->job.retention_ms;
    n->own.retention_ms = n->job.retention_ms;
    n->own.quiet_ms = n->sync.fresh_ms + 500;
    n->quota.settle_ms = n->sync.fresh_ms + 500;
    n->me.slots = n->host.slots;
    return CONF_OK;
}

static bool
is_needed(const struct conf *c, const struct setting *s)
{
    return s->need == NEED_ALWAYS ||
           (s->need == NEED_ALONE && c->platform.store[0] == '\0');
}

bool
conf_endpoint(struct conf_endpoint *at, const char *text)
{
    const char *colon = strrchr(text, ':');
    char *end;
    unsigned long port;

    if (colon == NULL) {
        return false;
    }
    str_copy(
        at->addr, sizeof(at->addr), str_make(text, (size_t)(colon - text)));
    port = strtoul(colon + 1, &end, 10);
    at->port = (uint16_t)port;
    return is_address(at->addr) && *end == '\0' && port > 0 && port < 65536;
}

enum conf_status
conf_read(struct conf *c, const char *path, struct err *e)
{
    bool seen[SETTING_COUNT] = {false};
    struct reading r = {c, path, seen};
    enum conf_status st;

    set_defaults(c);
    st = toml_each(path, set_value, &r, e);
    for (size_t i = 0; i < SETTING_COUNT && st == CONF_OK; i++) {
        if (is_needed(c, &settings[i]) && !seen[i]) {
            err_set(e, "%s: key '%s' is missing", path, settings[i].key);
            st = CONF_BAD_VALUE;
        }
    }
    return st == CONF_OK ? check_whole(c, path, e) : st;
}
