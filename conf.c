#include "conf.h"

#include <arpa/inet.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coord.h"
#include "link.h"
#include "resend.h"

enum kind { KIND_U16, KIND_U32, KIND_SECONDS, KIND_TEXT, KIND_CHOICE };

/* When a setting must be present. */
enum requirement {
    REQ_OPTIONAL,
    REQ_ALWAYS,
    REQ_STANDALONE /* if platform.store is not set */
};

typedef bool (*check_fn)(const char *text);

/* A key of the file, its field in struct conf and its allowed values. */
struct setting {
    const char *key;
    enum kind kind;
    size_t offset; /* of the field in struct conf */
    int64_t min;   /* KIND_TEXT: max is the longest length in bytes */
    int64_t max;
    enum requirement required;
    const char *const *choices; /* KIND_CHOICE: stored as the index */
    check_fn check;             /* KIND_TEXT; may be NULL */
    const char *allowed;        /* KIND_TEXT: for the error message */
};

/* Context of set_value(). */
struct parse_ctx {
    struct conf *c;
    const char *path;
    bool *seen; /* by index of the setting: the file has it */
};

static const char *const role_names[] = {"entry", "agent", NULL};
static const char *const placement_names[] = {"free", "random", "round", NULL};
static const char *const log_levels[] = {
    "error", "warn", "info", "debug", NULL};

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

static bool
is_empty_or_endpoint(const char *text)
{
    struct conf_endpoint at;

    return text[0] == '\0' || conf_endpoint(&at, text);
}

static bool
is_token(const char *text)
{
    return strlen(text) >= 8;
}

/* One record of the largest size, in a buffer that doubles as it grows. */
#define LINK_MEMORY_MIN_MB (2 * (LINK_RECORD_MAX_BYTES >> 20) + 1)
#define OFFSET(field) offsetof(struct conf, field)
#define NAME_ALLOWED "1 to 63 of a-z 0-9 '-' '_' '.'"

#define TEXT(k, field, req, fn, allowed_text)                                 \
    {                                                                         \
        k, KIND_TEXT, OFFSET(field), 0,                                       \
            sizeof(((struct conf *)0)->field) - 1, req, NULL, fn,             \
            allowed_text                                                      \
    }
#define NUMBER(k, field, lo, hi)                                              \
    {                                                                         \
        k, KIND_U32, OFFSET(field), lo, hi, REQ_OPTIONAL, NULL, NULL, NULL    \
    }
#define PORT(k, field, req)                                                   \
    {                                                                         \
        k, KIND_U16, OFFSET(field), 1, 65535, req, NULL, NULL, NULL           \
    }
#define SECONDS(k, field, lo, hi)                                             \
    {                                                                         \
        k, KIND_SECONDS, OFFSET(field), lo, hi, REQ_OPTIONAL, NULL, NULL,     \
            NULL                                                              \
    }

#define CHOICE(k, field, names)                                               \
    {                                                                         \
        k, KIND_CHOICE, OFFSET(field), 0, 0, REQ_OPTIONAL, names, NULL, NULL  \
    }

static const struct setting settings[] = {
    {"process.role", KIND_CHOICE, OFFSET(node.me.role), 0, 0, REQ_ALWAYS,
        role_names, NULL, NULL},
    TEXT("process.name", node.me.name, REQ_ALWAYS, is_name, NAME_ALLOWED),
    TEXT("process.domain", node.me.domain, REQ_ALWAYS, is_name, NAME_ALLOWED),
    TEXT("process.rack", node.me.rack, REQ_OPTIONAL, is_name, NAME_ALLOWED),
    TEXT("process.address", node.me.addr, REQ_ALWAYS, is_address,
        "a numeric IPv4 address"),
    PORT("process.port", node.me.port, REQ_ALWAYS),
    PORT("process.http_port", node.me.http, REQ_STANDALONE),
    NUMBER("process.leave_max_ms", leave_max_ms, 1000, 3600000),
    TEXT("store.url", store_url, REQ_STANDALONE, is_url,
        "an http:// or https:// URL"),
    NUMBER("store.timeout_ms", store_timeout_ms, 50, 60000),
    TEXT("operators.token", operator_token, REQ_OPTIONAL, is_token,
        "8 bytes or more"),
    NUMBER("operators.audit_kept", audit_entries_max, 10, 100000),
    TEXT("log.file", log_file, REQ_OPTIONAL, NULL, "a path"),
    {"log.level", KIND_CHOICE, OFFSET(log_level), 0, 0, REQ_OPTIONAL,
        log_levels, NULL, NULL},
    NUMBER("log.trail", trail_events_max, 1, 10000000),
    NUMBER("worker.runs", runs_max, 1, 1000000),
    NUMBER("worker.slots", node.host.slots, 1, 10000),
    NUMBER("worker.millicores", node.host.millicores, 1, 1024000),
    NUMBER("worker.memory_mb", node.host.memory_mb, 1, 4194304),
    NUMBER("worker.queue", node.host.queue_max, 0, 100000),
    NUMBER("worker.lease_ms", task_lease_ms, 500, 600000),
    TEXT("worker.url", worker_url, REQ_OPTIONAL, is_url,
        "an http:// or https:// URL"),
    TEXT("backend.url", backend_url, REQ_OPTIONAL, is_url,
        "an http:// or https:// URL"),
    NUMBER("backend.connections", backend_connections_max, 1, 10000),
    NUMBER("backend.announce_ms", announce_timeout_ms, 500, 600000),
    NUMBER("callers.body_max", callers.body_max, 1024, 16777216),
    NUMBER("callers.connections", callers.connections_max, 1, 1000000),
    NUMBER("callers.idle_s", callers.idle_s, 1, 3600),
    NUMBER("callers.header_s", callers.header_s, 1, 3600),
    NUMBER("callers.request_s", callers.request_s, 1, 3600),
    NUMBER("callers.memory_mb", callers.memory_mb, 1, 1048576),
    NUMBER("callers.tasks", tasks_max, CO_TASKS_MAX, 100000000),
    NUMBER("callers.deadline_ms", default_deadline_ms, 10, 3600000),
    NUMBER("callers.waiting", node.front.requests_max, 1, 1000000),
    NUMBER("callers.hold_ms", node.front.owner_timeout_ms, 100, 600000),
    NUMBER("link.connections", link.connections_max, 1, 100000),
    NUMBER("link.memory_mb", link.memory_mb, LINK_MEMORY_MIN_MB, 1048576),
    NUMBER("link.record_s", link.request_s, 1, 3600),
    NUMBER("ports.connections", ports.connections_max, 1, 10000),
    NUMBER("ports.memory_mb", ports.memory_mb, 1, 1048576),
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
    {"jobs.placement", KIND_CHOICE, OFFSET(node.place.policy), 0, 0,
        REQ_OPTIONAL, placement_names, NULL, NULL},
    NUMBER("jobs.scan_max", node.place.scan_max, 0, 10000),
    NUMBER("jobs.sample", node.place.sample, 1, 64),
    NUMBER("jobs.load_hints", node.place.hints, 0, 8),
    NUMBER("loans.valid_ms", node.quota.valid_ms, 2000, 600000),
    NUMBER("loans.hold_ms", node.quota.slot_hold_ms, 1000, 3600000),
    NUMBER("loans.wait_ms", node.quota.wait_ms, 0, 60000),
    TEXT("platform.store", platform.store_url, REQ_OPTIONAL, is_url,
        "an http:// or https:// URL"),
    TEXT("platform.callers", platform.callers_listen, REQ_OPTIONAL,
        is_empty_or_endpoint, "ADDRESS:PORT"),
    TEXT("platform.readiness", platform.readiness_listen, REQ_OPTIONAL,
        is_empty_or_endpoint, "ADDRESS:PORT"),
    TEXT("platform.announce", platform.announce_listen, REQ_OPTIONAL,
        is_empty_or_endpoint, "ADDRESS:PORT"),
    TEXT("platform.worker", platform.worker_endpoint, REQ_OPTIONAL,
        is_empty_or_endpoint, "ADDRESS:PORT"),
    TEXT("platform.metrics", platform.metrics_listen, REQ_OPTIONAL,
        is_empty_or_endpoint, "ADDRESS:PORT"),
    TEXT("platform.service", platform.service, REQ_OPTIONAL, NULL, "a text"),
    SECONDS("platform.grace_s", platform.grace_ms, 1, 3600),
    NUMBER("platform.resend_ms", platform.caller_resend_ms, 1, 3600000),
    CHOICE("scheduling.demand", sched.demand, sc_demand_names),
    CHOICE("scheduling.admission", sched.admission, sc_admission_names),
    CHOICE("scheduling.shares", sched.shares, sc_shares_names),
    CHOICE("scheduling.balance", sched.balance, sc_balance_names),
    CHOICE("scheduling.reach", sched.reach, sc_reach_names),
    CHOICE("scheduling.moves", sched.moves, sc_moves_names),
    CHOICE("scheduling.placement", sched.placement, sc_placement_names),
};

#define SETTING_COUNT (sizeof(settings) / sizeof(settings[0]))

/* Defaults of the limits of servers, in bytes, s and MB. */
#define HEADER_S 10U
#define REQUEST_S 60U
/* Peers close a connection that they have not used for a minute. */
#define LINK_IDLE_S 120U
#define LINK_RECORD_S 10U
#define LINK_MEMORY_MB 36U
#define PORT_BODY_MAX 65536U
#define PORT_IDLE_S 30U
#define PORT_REQUEST_S 10U
#define PORT_MEMORY_MB 4U

static void
set_defaults(struct conf *c)
{
    memset(c, 0, sizeof(*c));
    node_defaults(&c->node);
    c->store_timeout_ms = 1000;
    c->log_level = LOG_LEVEL_INFO;
    c->backend_connections_max = 60;
    c->task_lease_ms = 10000;
    c->announce_timeout_ms = 3000;
    c->callers = (struct sd_limits){
        .body_max = 1U << 20, .header_s = HEADER_S, .request_s = REQUEST_S};
    c->tasks_max = 100000;
    c->runs_max = 4096;
    c->link = (struct sd_limits){.body_max = LINK_RECORD_MAX_BYTES,
        .idle_s = LINK_IDLE_S,
        .request_s = LINK_RECORD_S,
        .memory_mb = LINK_MEMORY_MB};
    c->ports = (struct sd_limits){.connections_max = 64,
        .body_max = PORT_BODY_MAX,
        .idle_s = PORT_IDLE_S,
        .header_s = HEADER_S,
        .request_s = PORT_REQUEST_S,
        .memory_mb = PORT_MEMORY_MB};
    c->default_deadline_ms = 30000;
    c->leave_max_ms = 60000;
    c->trail_events_max = 20000;
    c->audit_entries_max = 2000;
    c->platform.grace_ms = 6000;
    c->platform.caller_resend_ms = RS_RESEND_MS;
}

static enum conf_status
bad_value(const struct parse_ctx *parse, const struct toml_value *v,
    const char *allowed, struct err *e)
{
    err_set(
        e, "%s:%u: key '%s': want %s", parse->path, v->line, v->key, allowed);
    return CONF_BAD_VALUE;
}

static enum conf_status
set_number(const struct parse_ctx *parse, const struct setting *s,
    const struct toml_value *v, struct err *e)
{
    char allowed[96];
    char *field = (char *)parse->c + s->offset;

    if (v->kind != TOML_NUMBER || v->number < s->min || v->number > s->max) {
        snprintf(allowed, sizeof(allowed), "a whole number from %lld to %lld",
            (long long)s->min, (long long)s->max);
        return bad_value(parse, v, allowed, e);
    }
    if (s->kind == KIND_U16) {
        *(uint16_t *)field = (uint16_t)v->number;
    }
    else {
        *(uint32_t *)field = (uint32_t)v->number;
    }
    return CONF_OK;
}

/* Seconds in the file, stored as ms. */
static enum conf_status
set_seconds(const struct parse_ctx *parse, const struct setting *s,
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
        return bad_value(parse, v, allowed, e);
    }
    *(uint32_t *)((char *)parse->c + s->offset) = (uint32_t)(n * 1000.0);
    return CONF_OK;
}

static enum conf_status
set_text(const struct parse_ctx *parse, const struct setting *s,
    const struct toml_value *v, struct err *e)
{
    if (v->kind != TOML_TEXT || (int64_t)strlen(v->text) > s->max ||
        (s->check != NULL && !s->check(v->text))) {
        return bad_value(parse, v, s->allowed, e);
    }
    str_copy(
        (char *)parse->c + s->offset, (size_t)s->max + 1, str_of(v->text));
    return CONF_OK;
}

static enum conf_status
set_choice(const struct parse_ctx *parse, const struct setting *s,
    const struct toml_value *v, struct err *e)
{
    struct buf allowed = {0};
    enum conf_status st;

    for (uint32_t i = 0; s->choices[i] != NULL; i++) {
        if (v->kind == TOML_TEXT && strcmp(v->text, s->choices[i]) == 0) {
            *(uint32_t *)((char *)parse->c + s->offset) = i;
            buf_free(&allowed);
            return CONF_OK;
        }
        buf_addf(&allowed, "%s\"%s\"", i > 0 ? " or " : "", s->choices[i]);
    }
    st = bad_value(parse, v, allowed.p, e);
    buf_free(&allowed);
    return st;
}

static enum conf_status
set_value(void *ctx, const struct toml_value *v, struct err *e)
{
    const struct parse_ctx *parse = ctx;

    for (size_t i = 0; i < SETTING_COUNT; i++) {
        const struct setting *s = &settings[i];

        if (strcmp(s->key, v->key) != 0) {
            continue;
        }
        parse->seen[i] = true;
        switch (s->kind) {
        case KIND_U16:
        case KIND_U32:
            return set_number(parse, s, v, e);
        case KIND_SECONDS:
            return set_seconds(parse, s, v, e);
        case KIND_TEXT:
            return set_text(parse, s, v, e);
        case KIND_CHOICE:
            return set_choice(parse, s, v, e);
        }
    }
    err_set(e, "%s:%u: key '%s' is not known; see dunlinweir.toml(5)",
        parse->path, v->line, v->key);
    return CONF_BAD_VALUE;
}

/* Defaults that depend on where the process runs. */
static void
set_derived_defaults(struct conf *c)
{
    bool on_platform = c->platform.store_url[0] != '\0';
    struct sd_limits *l = &c->callers;

    if (l->connections_max == 0) {
        l->connections_max = on_platform ? 3000 : 10000;
    }
    if (l->memory_mb == 0) {
        l->memory_mb = on_platform ? 48 : 128;
    }
    if (l->idle_s == 0) {
        l->idle_s = on_platform ? 30 : 60;
    }
    if (c->link.connections_max == 0) {
        c->link.connections_max = on_platform ? 512 : 2048;
    }
}

/* Check settings that depend on each other, and set the derived ones. */
static enum conf_status
check_combinations(struct conf *c, const char *path, struct err *e)
{
    struct node_cfg *n = &c->node;

    set_derived_defaults(c);
    /* A single request must fit into the half that is for requests which are
     * handled, in a buffer that doubles as it grows. */
    if ((uint64_t)c->callers.memory_mb << 20 <
        4 * (uint64_t)c->callers.body_max) {
        err_set(e,
            "%s: key 'callers.memory_mb': want at least four times "
            "callers.body_max",
            path);
        return CONF_BAD_VALUE;
    }
    /* An attempt in transit must be older than max_age_ms before the refusal
     * of its key expires, or it could still be admitted.  The longest time in
     * transit is 3000 ms (LINK_TRANSIT_MAX_MS). */
    if (n->job.refuse_ms < n->job.max_age_ms + 4000) {
        err_set(e,
            "%s: key 'jobs.refuse_ms': want at least jobs.max_age_ms "
            "+ 4000, which is %u",
            path, n->job.max_age_ms + 4000);
        return CONF_BAD_VALUE;
    }
    if (c->platform.store_url[0] != '\0' && n->me.role == VIEW_ENTRY &&
        (c->platform.callers_listen[0] == '\0' ||
            c->platform.readiness_listen[0] == '\0')) {
        err_set(e,
            "%s: an entry with 'platform.store' wants "
            "'platform.callers' and 'platform.readiness'",
            path);
        return CONF_BAD_VALUE;
    }
    if (c->platform.store_url[0] != '\0' && n->me.role == VIEW_AGENT &&
        (c->platform.announce_listen[0] == '\0' ||
            c->platform.worker_endpoint[0] == '\0')) {
        err_set(e,
            "%s: an agent with 'platform.store' wants "
            "'platform.announce' and 'platform.worker'",
            path);
        return CONF_BAD_VALUE;
    }
    if (c->platform.store_url[0] != '\0' &&
        c->platform.caller_resend_ms <= RS_RUNS_OVER_MS) {
        err_set(e,
            "%s: key 'platform.resend_ms': want more than %u, as runs whose "
            "caller has left may go on for so long",
            path, RS_RUNS_OVER_MS);
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
is_required(const struct conf *c, const struct setting *s)
{
    return s->required == REQ_ALWAYS ||
           (s->required == REQ_STANDALONE && c->platform.store_url[0] == '\0');
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
    struct parse_ctx parse = {c, path, seen};
    enum conf_status st;

    set_defaults(c);
    st = toml_each(path, set_value, &parse, e);
    for (size_t i = 0; i < SETTING_COUNT && st == CONF_OK; i++) {
        if (is_required(c, &settings[i]) && !seen[i]) {
            err_set(e, "%s: key '%s' is missing", path, settings[i].key);
            st = CONF_BAD_VALUE;
        }
    }
    return st == CONF_OK ? check_combinations(c, path, e) : st;
}
