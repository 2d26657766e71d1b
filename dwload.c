/* Runs an experiment: submits the jobs, injects the faults, collects the
 * answers. */
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
#define CONNECTIONS_MAX 4000
/* How long after the last deadline the answers are awaited. */
#define ANSWER_GRACE_MS 5000

struct load_run {
    struct ld_experiment *x;
    struct ld_trace trace;
    struct ld_fleet fleet;
    struct ev_loop *loop;
    struct httpc *http;
    ev_timer tick;
    double start_ms;        /* boot clock when the experiment started */
    uint64_t start_boot_ms; /* the same in whole ms, for the report */
    size_t next_job;
    size_t next_resubmit;
    size_t *resubmits; /* indices of jobs to resubmit, by time */
    size_t resubmit_count;
    size_t *cancels; /* indices of jobs to cancel, by time */
    size_t cancel_count;
    size_t next_cancel;
    bool injected[LD_FAULTS_MAX]; /* by index in the experiment */
    bool cleared[LD_FAULTS_MAX];
    size_t pending; /* requests without an answer */
};

struct submission_ctx {
    struct load_run *load_run;
    struct ld_job *job;
    struct ld_submission *submission;
};

static double
clock_ms(clockid_t id)
{
    struct timespec ts;

    clock_gettime(id, &ts);
    return (double)ts.tv_sec * 1e3 + (double)ts.tv_nsec / 1e6;
}

static double
elapsed(const struct load_run *l)
{
    return clock_ms(CLOCK_BOOTTIME) - l->start_ms;
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
    [LD_FAULT_KILL] = "kill",
    [LD_FAULT_PAUSE] = "pause",
    [LD_FAULT_STOP] = "stop",
    [LD_FAULT_DOMAIN_OUT] = "domain_out",
    [LD_FAULT_STORE_DOWN] = "store_down",
    [LD_FAULT_STORE_SLOW] = "store_slow",
    [LD_FAULT_STORE_LOSE] = "store_lose",
    [LD_FAULT_WORKER_FAILS] = "worker_fails",
    [LD_FAULT_CANCEL_WAVE] = "cancel_wave",
};

static enum conf_status
bad_value(const struct toml_value *v, struct err *e, const char *expected)
{
    err_set(e, "line %u: key '%s': expected %s", v->line, v->key, expected);
    return CONF_BAD_VALUE;
}

static enum conf_status
set_fault(struct ld_experiment *x, const struct toml_value *v, struct err *e)
{
    char *rest;
    unsigned long i = strtoul(v->key + strlen("fault."), &rest, 10);
    struct ld_fault *f;

    if (*rest != '.' || i < 1 || i > LD_FAULTS_MAX) {
        return bad_value(v, e, "[fault.N], N from 1 to 64");
    }
    f = &x->faults[i - 1];
    x->fault_count = i > x->fault_count ? i : x->fault_count;
    if (strcmp(rest, ".kind") == 0 && v->kind == TOML_TEXT) {
        for (f->kind = 0; f->kind < LD_FAULT_KINDS; f->kind++) {
            if (strcmp(fault_names[f->kind], v->text) == 0) {
                return CONF_OK;
            }
        }
        return bad_value(v, e,
            "kill, pause, stop, domain_out, store_down, "
            "store_slow, store_lose, worker_fails or "
            "cancel_wave");
    }
    if (strcmp(rest, ".target") == 0 && v->kind == TOML_TEXT) {
        str_copy(f->target, sizeof(f->target), str_of(v->text));
        return CONF_OK;
    }
    if (strcmp(rest, ".at_ms") == 0 && v->kind == TOML_NUMBER) {
        f->start_ms = (uint32_t)v->number;
        return CONF_OK;
    }
    if (strcmp(rest, ".ms") == 0 && v->kind == TOML_NUMBER) {
        f->duration_ms = (uint32_t)v->number;
        return CONF_OK;
    }
    return bad_value(v, e, "kind, target, at_ms or ms");
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
            return bad_value(v, e, "a whole number");
        }
        *(uint32_t *)((char *)x + keys[i].offset) = (uint32_t)v->number;
        return CONF_OK;
    }
    return bad_value(v, e, "a known key; see dwload(1)");
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

/* --- submissions --- */

/* Whether the answer has the result of every task, and of no other job. */
static bool
results_match(const struct ld_job *job, json_t *o)
{
    json_t *tasks = json_object_get(o, "tasks");
    size_t i;
    json_t *t;

    if (json_array_size(tasks) != job->task_count) {
        return false;
    }
    json_array_foreach (tasks, i, t) {
        const char *body = json_string_value(json_object_get(t, "body"));
        char expected[128];

        snprintf(expected, sizeof(expected), "ran customer%u %s %zu",
            job->customer, job->key, i);
        if (body == NULL || strcmp(body, expected) != 0) {
            return false;
        }
    }
    return true;
}

static enum ld_answer_state
parse_state(const char *name)
{
    static const char *const names[] = {
        [LD_ANSWER_COMPLETE] = "complete",
        [LD_ANSWER_FAILED] = "failed",
        [LD_ANSWER_NOT_RUN] = "not_run",
        [LD_ANSWER_UNKNOWN] = "unknown",
    };

    for (size_t i = LD_ANSWER_COMPLETE; i <= LD_ANSWER_UNKNOWN; i++) {
        if (name != NULL && strcmp(names[i], name) == 0) {
            return (enum ld_answer_state)i;
        }
    }
    return LD_ANSWER_REFUSED;
}

static void
on_answer(void *ctx, const struct httpc_result *d)
{
    struct submission_ctx *sub = ctx;
    json_t *o = json_loadb(d->body.p, d->body.n, 0, NULL);
    const char *reason = json_string_value(json_object_get(o, "reason"));

    sub->load_run->pending--;
    sub->submission->answered_ms = elapsed(sub->load_run);
    sub->submission->state =
        parse_state(json_string_value(json_object_get(o, "state")));
    if (d->status != HTTPC_OK) {
        sub->submission->state = LD_ANSWER_UNKNOWN;
        reason = "connection";
    }
    str_copy(sub->submission->reason, sizeof(sub->submission->reason),
        str_of(reason));
    sub->submission->results_match = results_match(sub->job, o);
    json_decref(o);
    free(sub);
}

static void
add_body(const struct load_run *l, const struct ld_job *job, struct buf *b)
{
    buf_addf(b, "{\"deadline_ms\":%u,\"tasks\":[", l->x->deadline_ms);
    for (uint32_t i = 0; i < job->task_count; i++) {
        buf_addf(b,
            "%s{\"kind\":\"%s\",\"payload\":\"%u\",\"run_ms\":%u,"
            "\"millicores\":%u,\"memory_mb\":%u}",
            i > 0 ? "," : "", job->misdeclared ? "big-report" : "grade",
            job->run_ms[i], job->run_ms[i], 500, 64);
    }
    buf_add(b, STR("]}"));
}

static void
send_call(struct load_run *l, const char *method, const char *path,
    struct ld_job *job, uint32_t entry, struct str body, httpc_done_fn done,
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
        job->customer);
    snprintf(key, sizeof(key), "Idempotency-Key: %s", job->key);
    call.method = method;
    call.url = url;
    call.headers = headers;
    call.body = body;
    call.timeout_ms = l->x->deadline_ms + 30000;
    /* Whatever is sent again under its key remains one job. */
    call.idempotent = true;
    call.done = done;
    call.ctx = ctx;
    httpc_start(l->http, &call);
}

static void
submit(
    struct load_run *l, struct ld_job *job, struct ld_submission *submission)
{
    struct submission_ctx *sub = dw_zero(1, sizeof(*sub));
    struct buf b = {0};

    sub->load_run = l;
    sub->job = job;
    sub->submission = submission;
    submission->sent_ms = elapsed(l);
    if (job->key[0] == '\0') {
        ld_format_key(job->key, (uint64_t)clock_ms(CLOCK_REALTIME),
            mix64(l->x->seed, (uint64_t)(job - l->trace.jobs)),
            mix64(l->x->seed + 1, (uint64_t)(job - l->trace.jobs)));
    }
    l->pending++;
    add_body(l, job, &b);
    send_call(l, "POST", "/v1/jobs", job, submission->entry, buf_str(&b),
        on_answer, sub);
    buf_free(&b);
}

static void
ignore_reply(void *ctx, const struct httpc_result *d)
{
    struct load_run *l = ctx;

    (void)d;
    l->pending--;
}

static void
cancel(struct load_run *l, struct ld_job *job)
{
    char path[64];

    if (job->key[0] == '\0' || job->cancel_sent) {
        return;
    }
    job->cancel_sent = true;
    l->pending++;
    snprintf(path, sizeof(path), "/v1/jobs/%s", job->key);
    send_call(l, "DELETE", path, job, job->submissions[1].entry, STR(""),
        ignore_reply, l);
}

/* --- faults --- */

static void
set_domain(struct load_run *l, const char *domain, bool in)
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
    call.idempotent = true; /* sets a value */
    call.done = ignore_reply;
    call.ctx = l;
    l->pending++;
    httpc_start(l->http, &call);
}

static void
post_control(struct load_run *l, uint32_t port, const char *query)
{
    struct httpc_call call = {0};
    char url[128];

    snprintf(url, sizeof(url), "http://127.0.0.1:%u/control?%s", port, query);
    call.method = "POST";
    call.url = url;
    call.body = STR("");
    call.timeout_ms = 5000;
    call.idempotent = true; /* sets switches */
    call.done = ignore_reply;
    call.ctx = l;
    l->pending++;
    httpc_start(l->http, &call);
}

static void
signal_proc(struct load_run *l, const char *name, int signum)
{
    struct ld_proc *p = ld_fleet_find(&l->fleet, name);

    if (p != NULL && p->pid > 0) {
        kill(p->pid, signum);
    }
}

static void
restart_proc(struct load_run *l, const char *name)
{
    struct ld_proc *p = ld_fleet_find(&l->fleet, name);

    if (p != NULL && p->pid > 0) {
        kill(p->pid, SIGKILL);
        waitpid(p->pid, NULL, 0);
        ld_fleet_spawn(&l->fleet, p);
    }
}

static uint32_t
backend_port(const struct load_run *l, const char *name)
{
    return l->x->base_port + 500 + (uint32_t)strtoul(name + 1, NULL, 10) - 1;
}

static void
inject_fault(struct load_run *l, const struct ld_fault *f)
{
    switch (f->kind) {
    case LD_FAULT_KILL:
        signal_proc(l, f->target, SIGKILL);
        break;
    case LD_FAULT_PAUSE:
        signal_proc(l, f->target, SIGSTOP);
        break;
    case LD_FAULT_STOP:
        signal_proc(l, f->target, SIGTERM);
        break;
    case LD_FAULT_DOMAIN_OUT:
        set_domain(l, f->target, false);
        break;
    case LD_FAULT_STORE_DOWN:
        post_control(l, l->x->base_port, "down=1");
        break;
    case LD_FAULT_STORE_SLOW:
        post_control(l, l->x->base_port, "slow_ms=800");
        break;
    case LD_FAULT_STORE_LOSE:
        post_control(l, l->x->base_port, "lose=500");
        break;
    case LD_FAULT_WORKER_FAILS:
        post_control(l, backend_port(l, f->target), "fail=1");
        break;
    case LD_FAULT_CANCEL_WAVE:
        for (size_t i = 0; i < l->next_job; i++) {
            if (l->trace.jobs[i].submissions[0].state == LD_ANSWER_NONE) {
                cancel(l, &l->trace.jobs[i]);
            }
        }
        break;
    default:
        break;
    }
}

static void
clear_fault(struct load_run *l, const struct ld_fault *f)
{
    switch (f->kind) {
    case LD_FAULT_KILL:
    case LD_FAULT_STOP:
        restart_proc(l, f->target);
        break;
    case LD_FAULT_PAUSE:
        signal_proc(l, f->target, SIGCONT);
        break;
    case LD_FAULT_DOMAIN_OUT:
        set_domain(l, f->target, true);
        break;
    case LD_FAULT_STORE_DOWN:
        post_control(l, l->x->base_port, "down=0");
        break;
    case LD_FAULT_STORE_SLOW:
        post_control(l, l->x->base_port, "slow_ms=0");
        break;
    case LD_FAULT_STORE_LOSE:
        post_control(l, l->x->base_port, "lose=0");
        break;
    case LD_FAULT_WORKER_FAILS:
        post_control(l, backend_port(l, f->target), "fail=0");
        break;
    default:
        break;
    }
}

static void
update_faults(struct load_run *l, double now)
{
    for (size_t i = 0; i < l->x->fault_count; i++) {
        const struct ld_fault *f = &l->x->faults[i];

        if (!l->injected[i] && now >= f->start_ms) {
            l->injected[i] = true;
            inject_fault(l, f);
        }
        if (l->injected[i] && !l->cleared[i] && f->duration_ms > 0 &&
            now >= (double)f->start_ms + f->duration_ms) {
            l->cleared[i] = true;
            clear_fault(l, f);
        }
    }
}

/* --- running --- */

static void
on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct load_run *l = w->data;
    double now = elapsed(l);
    bool all_sent;

    (void)revents;
    update_faults(l, now);
    while (l->next_job < l->trace.job_count &&
           l->trace.jobs[l->next_job].arrival_ms <= now) {
        struct ld_job *job = &l->trace.jobs[l->next_job++];

        submit(l, job, &job->submissions[0]);
    }
    while (
        l->next_resubmit < l->resubmit_count &&
        l->trace.jobs[l->resubmits[l->next_resubmit]].resubmit_at_ms <= now) {
        struct ld_job *job = &l->trace.jobs[l->resubmits[l->next_resubmit++]];

        submit(l, job, &job->submissions[1]);
    }
    while (l->next_cancel < l->cancel_count &&
           l->trace.jobs[l->cancels[l->next_cancel]].cancel_at_ms <= now) {
        cancel(l, &l->trace.jobs[l->cancels[l->next_cancel++]]);
    }
    all_sent = l->next_job == l->trace.job_count &&
               l->next_resubmit == l->resubmit_count &&
               l->next_cancel == l->cancel_count;
    if (all_sent &&
        (l->pending == 0 ||
            now > l->trace.jobs[l->trace.job_count - 1].arrival_ms +
                      l->x->deadline_ms + ANSWER_GRACE_MS)) {
        ev_break(loop, EVBREAK_ALL);
    }
}

/* For the comparison functions, as qsort(3) passes no context. */
static struct ld_trace *sorted_trace;

static int
by_resubmit_time(const void *a, const void *b)
{
    double x = sorted_trace->jobs[*(const size_t *)a].resubmit_at_ms;
    double y = sorted_trace->jobs[*(const size_t *)b].resubmit_at_ms;

    return x < y ? -1 : x > y;
}

static int
by_cancel_time(const void *a, const void *b)
{
    double x = sorted_trace->jobs[*(const size_t *)a].cancel_at_ms;
    double y = sorted_trace->jobs[*(const size_t *)b].cancel_at_ms;

    return x < y ? -1 : x > y;
}

static void
schedule_followups(struct load_run *l)
{
    l->resubmits = dw_zero(l->trace.job_count, sizeof(size_t));
    l->cancels = dw_zero(l->trace.job_count, sizeof(size_t));
    for (size_t i = 0; i < l->trace.job_count; i++) {
        if (l->trace.jobs[i].resubmit_at_ms > 0) {
            l->resubmits[l->resubmit_count++] = i;
        }
        if (l->trace.jobs[i].cancel_at_ms > 0) {
            l->cancels[l->cancel_count++] = i;
        }
    }
    sorted_trace = &l->trace;
    qsort(l->resubmits, l->resubmit_count, sizeof(size_t), by_resubmit_time);
    qsort(l->cancels, l->cancel_count, sizeof(size_t), by_cancel_time);
}

static void
run_load(struct load_run *l)
{
    ld_trace_generate(&l->trace, l->x);
    schedule_followups(l);
    l->loop = ev_default_loop(0);
    l->http = httpc_new(l->loop, CONNECTIONS_MAX);
    l->start_ms = clock_ms(CLOCK_BOOTTIME);
    l->start_boot_ms = (uint64_t)l->start_ms;
    ev_timer_init(&l->tick, on_tick, TICK_S, TICK_S);
    l->tick.data = l;
    ev_timer_start(l->loop, &l->tick);
    ev_run(l->loop, 0);
    ev_timer_stop(l->loop, &l->tick);
    httpc_free(l->http);
    free(l->resubmits);
    free(l->cancels);
}

/* --- requests to an idle fleet --- */

static size_t
discard(char *p, size_t size, size_t n, void *ctx)
{
    (void)p;
    (void)ctx;
    return size * n;
}

/* Sends one request on a persistent connection and returns its time in ms, or
 * -1 if it failed.  Blocking is fine: there is one request at a time. */
static double
timed_call(CURL *c, const char *url, const char *body, const char *key)
{
    struct curl_slist *headers = curl_slist_append(NULL, "Expect:");
    char line[96];
    double start_ms;
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
    start_ms = clock_ms(CLOCK_MONOTONIC);
    ms = curl_easy_perform(c) == CURLE_OK
             ? clock_ms(CLOCK_MONOTONIC) - start_ms
             : -1;
    curl_slist_free_all(headers);
    return ms;
}

static size_t
run_idle(struct load_run *l, const char *dir)
{
    size_t n = l->x->idle_calls;
    double *direct = dw_zero(n, sizeof(double));
    double *through = dw_zero(n, sizeof(double));
    CURL *direct_curl = curl_easy_init();
    CURL *through_curl = curl_easy_init();
    char direct_url[64];
    char through_url[64];
    size_t failed_count;

    snprintf(direct_url, sizeof(direct_url), "http://127.0.0.1:%u/run",
        l->x->base_port + 500);
    snprintf(through_url, sizeof(through_url), "http://127.0.0.1:%u/v1/jobs",
        l->x->base_port + 200);
    for (size_t i = 0; i < n; i++) {
        struct timespec pause = {0, 10000000};
        char key[40];

        ld_format_key(key, (uint64_t)clock_ms(CLOCK_REALTIME), i, mix64(i, 1));
        direct[i] = timed_call(direct_curl, direct_url, "0", key);
        through[i] = timed_call(through_curl, through_url,
            "{\"tasks\":[{\"kind\":\"grade\",\"payload\":\"0\"}]}", key);
        nanosleep(&pause, NULL);
    }
    curl_easy_cleanup(direct_curl);
    curl_easy_cleanup(through_curl);
    failed_count = ld_report_idle(l->x, direct, through, n, dir);
    free(direct);
    free(through);
    return failed_count;
}

static int
run_experiment(struct ld_experiment *x, const char *dir)
{
    struct load_run *l = dw_zero(1, sizeof(*l));
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
        ld_trace_schedule_ideal(&l->trace, x);
        violations = ld_report_load(
            x, &l->trace, &l->fleet, dir, elapsed(l), l->start_boot_ms);
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
    const struct poptOption options[] = {{"out", 'o', POPT_ARG_STRING, &dir, 0,
                                             "directory of the report", "DIR"},
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
