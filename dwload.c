#include "dwload.h"

#include <curl/curl.h>
#include <errno.h>
#include <jansson.h>
#include <popt.h>
#include <signal.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>

#include "conf.h"

#define TICK_S 0.001
#define CONNECTIONS 4000
/* After the last deadline the answers must have come. */
#define SLACK_MS 5000

struct load {
    struct ld_experiment *x;
    struct ld_trace trace;
    struct ld_fleet fleet;
    struct ev_loop *loop;
    struct httpc *http;
    ev_timer tick;
    double began_ms;
    uint64_t epoch_ms; /* boot clock at the beginning */
    size_t next_call;
    size_t next_again;
    size_t *again; /* calls to resubmit, by time */
    size_t again_count;
    size_t *cancel;
    size_t cancel_count;
    size_t next_cancel;
    bool struck[LD_FAULTS_MAX];
    bool healed[LD_FAULTS_MAX];
    size_t open;
};

struct answer_ctx {
    struct load *l;
    struct ld_call *c;
    struct ld_try *t;
};

static double
clock_ms(clockid_t id)
{
    struct timespec ts;

    clock_gettime(id, &ts);
    return (double)ts.tv_sec * 1e3 + (double)ts.tv_nsec / 1e6;
}

static double
elapsed(const struct load *l)
{
    return clock_ms(CLOCK_BOOTTIME) - l->began_ms;
}

/* --- settings --- */

struct key {
    const char *name;
    size_t offset;
    uint32_t fallback;
};

#define KEY(name, field, fallback)                                            \
    {                                                                         \
        name, offsetof(struct ld_experiment, field), fallback                 \
    }

static const struct key keys[] = {
    KEY("seed", seed, 1),
    KEY("fleet.base_port", base_port, 17000),
    KEY("fleet.entries", entries, 3),
    KEY("fleet.agents", agents, 10),
    KEY("fleet.slots", slots, 8),
    KEY("fleet.customers", customers, 3),
    KEY("load.idle_calls", idle_calls, 0),
    KEY("load.calls", calls, 0),
    KEY("load.seconds", seconds, 20),
    KEY("load.load_permille", load_permille, 700),
    KEY("load.single_permille", single_permille, 700),
    KEY("load.job_min", job_min, 2),
    KEY("load.job_max", job_max, 60),
    KEY("load.run_min_ms", run_min_ms, 50),
    KEY("load.run_median_ms", run_median_ms, 150),
    KEY("load.run_max_ms", run_max_ms, 3000),
    KEY("load.burst_every_ms", burst_every_ms, 0),
    KEY("load.burst_calls", burst_calls, 0),
    KEY("load.resubmit_permille", resubmit_permille, 50),
    KEY("load.resubmit_ms", resubmit_ms, 0),
    KEY("load.cancel_permille", cancel_permille, 0),
    KEY("load.misdeclared_permille", misdeclared_permille, 0),
    KEY("load.deadline_ms", deadline_ms, 20000),
};

#define KEY_COUNT (sizeof(keys) / sizeof(keys[0]))

static const char *const fault_names[LD_FAULT_KINDS] = {
    [LD_KILL] = "kill",
    [LD_PAUSE] = "pause",
    [LD_STOP] = "stop",
    [LD_DOMAIN_OUT] = "domain_out",
    [LD_STORE_DOWN] = "store_down",
    [LD_STORE_SLOW] = "store_slow",
    [LD_STORE_LOSE] = "store_lose",
    [LD_WORKER_FAILS] = "worker_fails",
    [LD_CANCEL_WAVE] = "cancel_wave",
};

static enum conf_status
bad(const struct toml_value *v, struct err *e, const char *want)
{
    err_set(e, "line %u: key '%s': want %s", v->line, v->key, want);
    return CONF_BAD_VALUE;
}

static enum conf_status
set_fault(struct ld_experiment *x, const struct toml_value *v, struct err *e)
{
    char *rest;
    unsigned long i = strtoul(v->key + strlen("fault."), &rest, 10);
    struct ld_fault *f;

    if (*rest != '.' || i < 1 || i > LD_FAULTS_MAX) {
        return bad(v, e, "[fault.N], N from 1 to 64");
    }
    f = &x->faults[i - 1];
    x->fault_count = i > x->fault_count ? i : x->fault_count;
    if (strcmp(rest, ".kind") == 0 && v->kind == TOML_TEXT) {
        for (f->kind = 0; f->kind < LD_FAULT_KINDS; f->kind++) {
            if (strcmp(fault_names[f->kind], v->text) == 0) {
                return CONF_OK;
            }
        }
        return bad(v, e,
            "kill, pause, stop, domain_out, store_down, "
            "store_slow, store_lose, worker_fails or "
            "cancel_wave");
    }
    if (strcmp(rest, ".target") == 0 && v->kind == TOML_TEXT) {
        str_copy(f->target, sizeof(f->target), str_of(v->text));
        return CONF_OK;
    }
    if (strcmp(rest, ".at_ms") == 0 && v->kind == TOML_NUMBER) {
        f->at_ms = (uint32_t)v->number;
        return CONF_OK;
    }
    if (strcmp(rest, ".ms") == 0 && v->kind == TOML_NUMBER) {
        f->ms = (uint32_t)v->number;
        return CONF_OK;
    }
    return bad(v, e, "kind, target, at_ms or ms");
}

static enum conf_status
set_value(void *ctx, const struct toml_value *v, struct err *e)
{
    struct ld_experiment *x = ctx;

    if (strncmp(v->key, "fault.", 6) == 0) {
        return set_fault(x, v, e);
    }
    if (strcmp(v->key, "fleet.extra") == 0 && v->kind == TOML_TEXT) {
        str_copy(x->extra, sizeof(x->extra), str_of(v->text));
        return CONF_OK;
    }
    for (size_t i = 0; i < KEY_COUNT; i++) {
        if (strcmp(keys[i].name, v->key) != 0) {
            continue;
        }
        if (v->kind != TOML_NUMBER || v->number < 0 || v->number > 100000000) {
            return bad(v, e, "a whole number");
        }
        *(uint32_t *)((char *)x + keys[i].offset) = (uint32_t)v->number;
        return CONF_OK;
    }
    return bad(v, e, "a known key; see dwload(1)");
}

static bool
read_experiment(struct ld_experiment *x, const char *path, struct err *e)
{
    const char *slash = strrchr(path, '/');

    memset(x, 0, sizeof(*x));
    for (size_t i = 0; i < KEY_COUNT; i++) {
        *(uint32_t *)((char *)x + keys[i].offset) = keys[i].fallback;
    }
    str_copy(
        x->name, sizeof(x->name), str_of(slash != NULL ? slash + 1 : path));
    if (strrchr(x->name, '.') != NULL) {
        *strrchr(x->name, '.') = '\0';
    }
    if (toml_each(path, set_value, x, e) != CONF_OK) {
        err_prefix(e, "%s", path);
        return false;
    }
    if (x->agents * 2 + x->entries + 1 > LD_PROCS_MAX || x->entries == 0 ||
        x->agents == 0 || x->customers == 0 || x->job_min == 0 ||
        x->job_max > DW_MAX_TASKS || x->job_min > x->job_max) {
        err_set(e, "%s: fleet or job sizes out of range", path);
        return false;
    }
    return true;
}

/* --- calls --- */

/* Does the answer hold every result, and only this call's? */
static bool
is_whole(const struct ld_call *c, json_t *o)
{
    json_t *tasks = json_object_get(o, "tasks");
    size_t i;
    json_t *t;

    if (json_array_size(tasks) != c->count) {
        return false;
    }
    json_array_foreach (tasks, i, t) {
        const char *body = json_string_value(json_object_get(t, "body"));
        char want[128];

        snprintf(want, sizeof(want), "ran customer%u %s %zu", c->customer,
            c->key, i);
        if (body == NULL || strcmp(body, want) != 0) {
            return false;
        }
    }
    return true;
}

static enum ld_answer_state
state_of(const char *name)
{
    static const char *const names[] = {
        [LD_GOT_COMPLETE] = "complete",
        [LD_GOT_FAILED] = "failed",
        [LD_GOT_NOT_RUN] = "not_run",
        [LD_GOT_UNKNOWN] = "unknown",
    };

    for (size_t i = LD_GOT_COMPLETE; i <= LD_GOT_UNKNOWN; i++) {
        if (name != NULL && strcmp(names[i], name) == 0) {
            return (enum ld_answer_state)i;
        }
    }
    return LD_GOT_REFUSED;
}

static void
on_answer(void *ctx, const struct httpc_result *d)
{
    struct answer_ctx *a = ctx;
    json_t *o = json_loadb(d->body.p, d->body.n, 0, NULL);
    const char *reason = json_string_value(json_object_get(o, "reason"));

    a->l->open--;
    a->t->answered_ms = elapsed(a->l);
    a->t->state = state_of(json_string_value(json_object_get(o, "state")));
    if (d->status != HTTPC_OK) {
        a->t->state = LD_GOT_UNKNOWN;
        reason = "connection";
    }
    str_copy(a->t->reason, sizeof(a->t->reason), str_of(reason));
    a->t->whole = is_whole(a->c, o);
    json_decref(o);
    free(a);
}

static void
add_body(const struct load *l, const struct ld_call *c, struct buf *b)
{
    buf_addf(b, "{\"deadline_ms\":%u,\"tasks\":[", l->x->deadline_ms);
    for (uint32_t i = 0; i < c->count; i++) {
        buf_addf(b,
            "%s{\"kind\":\"%s\",\"payload\":\"%u\",\"run_ms\":%u,"
            "\"millicores\":%u,\"memory_mb\":%u}",
            i > 0 ? "," : "", c->big ? "big-report" : "grade", c->run_ms[i],
            c->run_ms[i], 500, 64);
    }
    buf_add(b, STR("]}"));
}

static void
send_call(struct load *l, const char *method, const char *path,
    struct ld_call *c, uint32_t entry, struct str body, httpc_done_fn done,
    void *ctx)
{
    char url[128];
    char auth[64];
    char key[64];
    const char *headers[] = {auth, key, NULL};
    struct httpc_call call = {0};

    snprintf(url, sizeof(url), "http://127.0.0.1:%u%s",
        l->x->base_port + 200 + entry, path);
    snprintf(auth, sizeof(auth), "Authorization: Bearer customer-token-%u",
        c->customer);
    snprintf(key, sizeof(key), "Idempotency-Key: %s", c->key);
    call.method = method;
    call.url = url;
    call.headers = headers;
    call.body = body;
    call.timeout_ms = l->x->deadline_ms + 30000;
    call.done = done;
    call.ctx = ctx;
    httpc_start(l->http, &call);
}

static void
submit(struct load *l, struct ld_call *c, struct ld_try *t)
{
    struct answer_ctx *a = dw_zero(1, sizeof(*a));
    struct buf b = {0};

    a->l = l;
    a->c = c;
    a->t = t;
    t->sent_ms = elapsed(l);
    if (c->key[0] == '\0') {
        ld_key(c->key, (uint64_t)clock_ms(CLOCK_REALTIME),
            mix64(l->x->seed, (uint64_t)(c - l->trace.calls)),
            mix64(l->x->seed + 1, (uint64_t)(c - l->trace.calls)));
    }
    l->open++;
    add_body(l, c, &b);
    send_call(l, "POST", "/v1/jobs", c, t->entry, buf_str(&b), on_answer, a);
    buf_free(&b);
}

static void
ignore(void *ctx, const struct httpc_result *d)
{
    struct load *l = ctx;

    (void)d;
    l->open--;
}

static void
cancel(struct load *l, struct ld_call *c)
{
    char path[64];

    if (c->key[0] == '\0' || c->cancelled) {
        return;
    }
    c->cancelled = true;
    l->open++;
    snprintf(path, sizeof(path), "/v1/jobs/%s", c->key);
    send_call(l, "DELETE", path, c, c->tries[1].entry, STR(""), ignore, l);
}

/* --- faults --- */

static void
operators_put(struct load *l, const char *domain, bool in)
{
    static const char *const headers[] = {
        "Authorization: Bearer operators-secret", "Dunlinweir-Who: dwload",
        NULL};
    struct httpc_call call = {0};
    char url[128];

    snprintf(url, sizeof(url), "http://127.0.0.1:%u/v1/domains/%s",
        l->x->base_port + 200, domain);
    call.method = "PUT";
    call.url = url;
    call.headers = headers;
    call.body = in ? STR("{\"in\":true}") : STR("{\"in\":false}");
    call.timeout_ms = 20000;
    call.done = ignore;
    call.ctx = l;
    l->open++;
    httpc_start(l->http, &call);
}

static void
control(struct load *l, uint32_t port, const char *query)
{
    struct httpc_call call = {0};
    char url[128];

    snprintf(url, sizeof(url), "http://127.0.0.1:%u/control?%s", port, query);
    call.method = "POST";
    call.url = url;
    call.body = STR("");
    call.timeout_ms = 5000;
    call.done = ignore;
    call.ctx = l;
    l->open++;
    httpc_start(l->http, &call);
}

static void
signal_proc(struct load *l, const char *name, int signum)
{
    struct ld_proc *p = ld_fleet_find(&l->fleet, name);

    if (p != NULL && p->pid > 0) {
        kill(p->pid, signum);
    }
}

static void
run_again(struct load *l, const char *name)
{
    struct ld_proc *p = ld_fleet_find(&l->fleet, name);

    if (p != NULL && p->pid > 0) {
        kill(p->pid, SIGKILL);
        waitpid(p->pid, NULL, 0);
        ld_fleet_run(&l->fleet, p);
    }
}

static uint32_t
backend_port(const struct load *l, const char *name)
{
    return l->x->base_port + 500 + (uint32_t)strtoul(name + 1, NULL, 10) - 1;
}

static void
strike(struct load *l, const struct ld_fault *f)
{
    switch (f->kind) {
    case LD_KILL:
        signal_proc(l, f->target, SIGKILL);
        break;
    case LD_PAUSE:
        signal_proc(l, f->target, SIGSTOP);
        break;
    case LD_STOP:
        signal_proc(l, f->target, SIGTERM);
        break;
    case LD_DOMAIN_OUT:
        operators_put(l, f->target, false);
        break;
    case LD_STORE_DOWN:
        control(l, l->x->base_port, "down=1");
        break;
    case LD_STORE_SLOW:
        control(l, l->x->base_port, "slow_ms=800");
        break;
    case LD_STORE_LOSE:
        control(l, l->x->base_port, "lose=500");
        break;
    case LD_WORKER_FAILS:
        control(l, backend_port(l, f->target), "fail=1");
        break;
    case LD_CANCEL_WAVE:
        for (size_t i = 0; i < l->next_call; i++) {
            if (l->trace.calls[i].tries[0].state == LD_GOT_NOTHING) {
                cancel(l, &l->trace.calls[i]);
            }
        }
        break;
    default:
        break;
    }
}

static void
heal(struct load *l, const struct ld_fault *f)
{
    switch (f->kind) {
    case LD_KILL:
    case LD_STOP:
        run_again(l, f->target);
        break;
    case LD_PAUSE:
        signal_proc(l, f->target, SIGCONT);
        break;
    case LD_DOMAIN_OUT:
        operators_put(l, f->target, true);
        break;
    case LD_STORE_DOWN:
        control(l, l->x->base_port, "down=0");
        break;
    case LD_STORE_SLOW:
        control(l, l->x->base_port, "slow_ms=0");
        break;
    case LD_STORE_LOSE:
        control(l, l->x->base_port, "lose=0");
        break;
    case LD_WORKER_FAILS:
        control(l, backend_port(l, f->target), "fail=0");
        break;
    default:
        break;
    }
}

static void
tend_faults(struct load *l, double now)
{
    for (size_t i = 0; i < l->x->fault_count; i++) {
        const struct ld_fault *f = &l->x->faults[i];

        if (!l->struck[i] && now >= f->at_ms) {
            l->struck[i] = true;
            strike(l, f);
        }
        if (l->struck[i] && !l->healed[i] && f->ms > 0 &&
            now >= (double)f->at_ms + f->ms) {
            l->healed[i] = true;
            heal(l, f);
        }
    }
}

/* --- running --- */

static void
on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct load *l = w->data;
    double now = elapsed(l);
    bool sent;

    (void)revents;
    tend_faults(l, now);
    while (l->next_call < l->trace.count &&
           l->trace.calls[l->next_call].at_ms <= now) {
        struct ld_call *c = &l->trace.calls[l->next_call++];

        submit(l, c, &c->tries[0]);
    }
    while (l->next_again < l->again_count &&
           l->trace.calls[l->again[l->next_again]].again_ms <= now) {
        struct ld_call *c = &l->trace.calls[l->again[l->next_again++]];

        submit(l, c, &c->tries[1]);
    }
    while (l->next_cancel < l->cancel_count &&
           l->trace.calls[l->cancel[l->next_cancel]].cancel_ms <= now) {
        cancel(l, &l->trace.calls[l->cancel[l->next_cancel++]]);
    }
    sent = l->next_call == l->trace.count && l->next_again == l->again_count &&
           l->next_cancel == l->cancel_count;
    if (sent &&
        (l->open == 0 || now > l->trace.calls[l->trace.count - 1].at_ms +
                                   l->x->deadline_ms + SLACK_MS)) {
        ev_break(loop, EVBREAK_ALL);
    }
}

static struct ld_trace *sorting;

static int
by_again(const void *a, const void *b)
{
    double x = sorting->calls[*(const size_t *)a].again_ms;
    double y = sorting->calls[*(const size_t *)b].again_ms;

    return x < y ? -1 : x > y;
}

static int
by_cancel(const void *a, const void *b)
{
    double x = sorting->calls[*(const size_t *)a].cancel_ms;
    double y = sorting->calls[*(const size_t *)b].cancel_ms;

    return x < y ? -1 : x > y;
}

static void
list_seconds(struct load *l)
{
    l->again = dw_zero(l->trace.count, sizeof(size_t));
    l->cancel = dw_zero(l->trace.count, sizeof(size_t));
    for (size_t i = 0; i < l->trace.count; i++) {
        if (l->trace.calls[i].again_ms > 0) {
            l->again[l->again_count++] = i;
        }
        if (l->trace.calls[i].cancel_ms > 0) {
            l->cancel[l->cancel_count++] = i;
        }
    }
    sorting = &l->trace;
    qsort(l->again, l->again_count, sizeof(size_t), by_again);
    qsort(l->cancel, l->cancel_count, sizeof(size_t), by_cancel);
}

static void
run_load(struct load *l)
{
    ld_trace_make(&l->trace, l->x);
    list_seconds(l);
    l->loop = ev_default_loop(0);
    l->http = httpc_new(l->loop, CONNECTIONS);
    l->began_ms = clock_ms(CLOCK_BOOTTIME);
    l->epoch_ms = (uint64_t)l->began_ms;
    ev_timer_init(&l->tick, on_tick, TICK_S, TICK_S);
    l->tick.data = l;
    ev_timer_start(l->loop, &l->tick);
    ev_run(l->loop, 0);
    ev_timer_stop(l->loop, &l->tick);
    httpc_free(l->http);
    free(l->again);
    free(l->cancel);
}

/* --- an idle fleet --- */

static size_t
discard(char *p, size_t size, size_t n, void *ctx)
{
    (void)p;
    (void)ctx;
    return size * n;
}

/* One request at a time on a kept connection; blocking is fine here. */
static double
timed_call(CURL *c, const char *url, const char *body, const char *key)
{
    struct curl_slist *headers = curl_slist_append(NULL, "Expect:");
    char line[96];
    double began;
    double ms;

    snprintf(line, sizeof(line), "Idempotency-Key: %s", key);
    headers = curl_slist_append(headers, line);
    headers =
        curl_slist_append(headers, "Authorization: Bearer customer-token-0");
    headers = curl_slist_append(headers, "Task-Customer: direct");
    snprintf(line, sizeof(line), "Task-Key: %s", key);
    headers = curl_slist_append(headers, line);
    headers = curl_slist_append(headers, "Lease-Ms: 10000");
    snprintf(line, sizeof(line), "Task-Ref: %s", key);
    headers = curl_slist_append(headers, line);
    curl_easy_setopt(c, CURLOPT_URL, url);
    curl_easy_setopt(c, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(c, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(c, CURLOPT_POSTFIELDS, body);
    curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, discard);
    began = clock_ms(CLOCK_MONOTONIC);
    ms = curl_easy_perform(c) == CURLE_OK ? clock_ms(CLOCK_MONOTONIC) - began
                                          : -1;
    curl_slist_free_all(headers);
    return ms;
}

static size_t
run_idle(struct load *l, const char *dir)
{
    size_t n = l->x->idle_calls;
    double *direct = dw_zero(n, sizeof(double));
    double *through = dw_zero(n, sizeof(double));
    CURL *a = curl_easy_init();
    CURL *b = curl_easy_init();
    char url_a[64];
    char url_b[64];
    size_t bad_count;

    snprintf(url_a, sizeof(url_a), "http://127.0.0.1:%u/run",
        l->x->base_port + 500);
    snprintf(url_b, sizeof(url_b), "http://127.0.0.1:%u/v1/jobs",
        l->x->base_port + 200);
    for (size_t i = 0; i < n; i++) {
        struct timespec pause = {0, 10000000};
        char key[40];

        ld_key(key, (uint64_t)clock_ms(CLOCK_REALTIME), i, mix64(i, 1));
        direct[i] = timed_call(a, url_a, "0", key);
        through[i] = timed_call(b, url_b,
            "{\"tasks\":[{\"kind\":\"grade\",\"payload\":\"0\"}]}", key);
        nanosleep(&pause, NULL);
    }
    curl_easy_cleanup(a);
    curl_easy_cleanup(b);
    bad_count = ld_report_idle(l->x, direct, through, n, dir);
    free(direct);
    free(through);
    return bad_count;
}

static int
run_experiment(struct ld_experiment *x, const char *dir)
{
    struct load *l = dw_zero(1, sizeof(*l));
    struct err e = {""};
    size_t violations = 1;

    l->x = x;
    if (ld_fleet_start(&l->fleet, x, dir, &e) != 0) {
        fprintf(stderr, "dwload: %s\n", e.msg);
    }
    else if (x->idle_calls > 0) {
        violations = run_idle(l, dir);
    }
    else {
        run_load(l);
        ld_trace_ideal(&l->trace, x);
        violations =
            ld_report(x, &l->trace, &l->fleet, dir, elapsed(l), l->epoch_ms);
        ld_trace_free(&l->trace);
    }
    ld_fleet_stop(&l->fleet);
    free(l);
    return violations == 0 ? 0 : 1;
}

int
main(int argc, char **argv)
{
    char *dir = NULL;
    const struct poptOption options[] = {
        {"out", 'o', POPT_ARG_STRING, &dir, 0, "where the report goes", "DIR"},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext ctx =
        poptGetContext("dwload", argc, (const char **)argv, options, 0);
    struct ld_experiment *x = dw_zero(1, sizeof(*x));
    struct err e = {""};
    const char *path;
    struct rlimit files;
    int code = 2;

    poptSetOtherOptionHelp(ctx, "[options] EXPERIMENT.toml");
    if (poptGetNextOpt(ctx) < -1 || (path = poptGetArg(ctx)) == NULL) {
        poptPrintUsage(ctx, stderr, 0);
    }
    else if (!read_experiment(x, path, &e)) {
        fprintf(stderr, "dwload: %s\n", e.msg);
    }
    else {
        getrlimit(RLIMIT_NOFILE, &files);
        files.rlim_cur = files.rlim_max;
        setrlimit(RLIMIT_NOFILE, &files);
        signal(SIGPIPE, SIG_IGN);
        if (dir == NULL) {
            struct buf b = {0};

            buf_addf(&b, "out/%s", x->name);
            mkdir("out", 0755);
            dir = b.p;
        }
        mkdir(dir, 0755);
        curl_global_init(CURL_GLOBAL_DEFAULT);
        code = run_experiment(x, dir);
        curl_global_cleanup();
    }
    poptFreeContext(ctx);
    free(dir);
    free(x);
    return code;
}
