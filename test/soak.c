/* Callers, faults and checks of the soak; see soak.h. */
#include <curl/curl.h>
#include <inttypes.h>
#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "num.h"
#include "soak.h"

#define TICK_S 0.005
#define CALLS_MAX 20000
/* Delay before a caller sends a failed request again, to any entry. */
#define RESEND_DELAY_MS 1300U
/* From the submission of a call to its deadline. */
#define CALL_TIMEOUT_MS 3000U
#define SUBMIT_INTERVAL_MS 40U
/* Time before the first call and the first fault. */
#define STARTUP_MS 4000U
/* How long calls are sent after the last fault. */
#define FAULT_FREE_MS 6000U
/* Time for the last calls to complete. */
#define SETTLE_MS 3000U

/* Ports, as offsets from the base. */
enum {
    PORT_STORE = 0,
    PORT_ENTRY_CALLERS = 10,
    PORT_ENTRY_READY = 20,
    PORT_ENTRY_LINK = 30,
    PORT_STORE_PROXY = 40, /* one for each process */
    PORT_AGENT_LINK = 120,
    PORT_AGENT_ANNOUNCE = 200,
    PORT_WORKER = 300,
    PORT_AGENT_PROXY = 400,
    PORT_WORKER_PROXY = 470
};

struct daemon_proc {
    struct soak *s;
    char name[16];
    bool is_agent;
    int number;
    int index; /* in soak.procs */
    pid_t pid;
    uint64_t start_ms;  /* when to start it again; 0: is running */
    uint64_t resume_ms; /* when to send SIGCONT; 0: is not stopped */
};

/* A job submitted by a caller, with all its requests. */
struct call {
    struct soak *s;
    uint64_t id; /* job id; the low 32 bits are the index in soak.calls */
    uint32_t tasks;
    uint32_t ms[SOAK_TASKS_MAX]; /* run time of each task */
    bool done[SOAK_TASKS_MAX];   /* the task ran to its end */
    uint32_t started;            /* task starts */
    uint32_t sends;              /* requests sent */
    uint32_t rejects;            /* requests refused */
    int entry;                   /* of the last request */
    uint64_t arrival_ms;
    uint64_t deadline_ms;
    uint64_t resend_at_ms; /* 0: not to be sent again */
    bool answered;
    bool completed;
};

struct soak {
    struct ev_loop *loop;
    struct httpc *http;
    uint64_t random;   /* state of the generator */
    uint64_t epoch_ms; /* monotonic clock at the start of the test */
    uint64_t now;      /* ms, monotonic clock */
    int base;          /* first port */
    int entries;
    int agents;
    char dir[256];
    const char *bin;
    struct fake_store *store;
    struct fake_worker *workers[SOAK_AGENTS_MAX];
    struct proxy *proxies[SOAK_AGENTS_MAX]; /* before the agents */
    struct proxy *worker_proxies[SOAK_AGENTS_MAX];
    struct proxy *store_proxies[SOAK_AGENTS_MAX + SOAK_ENTRIES_MAX];
    struct daemon_proc procs[SOAK_AGENTS_MAX + SOAK_ENTRIES_MAX];
    int proc_count;
    struct call calls[CALLS_MAX];
    size_t call_count;
    uint64_t next_submit_ms;
    uint64_t next_fault_ms;
    uint64_t next_heartbeat_ms;
    uint64_t faults_end_ms;
    uint64_t end_ms;
    uint64_t version; /* of the configuration */
    uint64_t faults;
    uint64_t starts;
    uint64_t violations;
    struct { /* faults to be cleared */
        uint64_t at_ms;
        void (*fn)(struct soak *s, int i);
        int i;
    } undo[64];
    size_t undo_count;
    bool verbose;
    bool worker_mode; /* most faults are on workers */
    ev_timer tick;
};

static uint64_t
clock_ms(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

uint64_t
soak_random(struct soak *s, uint64_t below)
{
    s->random = mix64(s->random, 0x9e3779b97f4a7c15U);
    return below > 0 ? s->random % below : 0;
}

static void
report_violation(void *ctx, const char *event)
{
    struct soak *s = ctx;

    s->violations++;
    printf("VIOLATION at %" PRIu64 " ms: %s\n", s->now - s->epoch_ms, event);
}

static void
log_fault(struct soak *s, const char *event, const char *target, uint64_t ms)
{
    if (s->verbose) {
        printf("%" PRIu64 " %s %s %" PRIu64 "\n", s->now - s->epoch_ms, event,
            target, ms);
    }
}

/* --- processes --- */

static void
write_settings(const struct daemon_proc *p, const char *path)
{
    const struct soak *s = p->s;
    FILE *f = fopen(path, "we");
    int i = p->number;

    if (f == NULL) {
        fprintf(stderr, "soak: %s cannot be written\n", path);
        exit(2);
    }
    fprintf(f,
        "[process]\nrole = \"%s\"\nname = \"%s\"\ndomain = \"d%d\"\n"
        "address = \"127.0.0.1\"\nport = %d\n[log]\nfile = \"%s/%s.log\"\n"
        "[platform]\nstore = \"http://127.0.0.1:%d\"\ngrace_s = 4\n",
        p->is_agent ? "agent" : "entry", p->name, i % 3,
        s->base + (p->is_agent ? PORT_AGENT_LINK : PORT_ENTRY_LINK) + i,
        s->dir, p->name, s->base + PORT_STORE_PROXY + p->index);
    if (p->is_agent) {
        fprintf(f,
            "announce = \"127.0.0.1:%d\"\nworker = \"127.0.0.1:%d\"\n"
            "service = \"s\"\n",
            s->base + PORT_AGENT_ANNOUNCE + i,
            s->base + PORT_WORKER_PROXY + i);
    }
    else {
        fprintf(f,
            "callers = \"127.0.0.1:%d\"\nreadiness = \"127.0.0.1:%d\"\n",
            s->base + PORT_ENTRY_CALLERS + i, s->base + PORT_ENTRY_READY + i);
    }
    fclose(f);
}

static void
start_proc(struct daemon_proc *p)
{
    char path[512];

    snprintf(path, sizeof(path), "%s/%s.toml", p->s->dir, p->name);
    write_settings(p, path);
    p->start_ms = 0;
    p->resume_ms = 0;
    p->pid = fork();
    if (p->pid == 0) {
        execl(p->s->bin, p->s->bin, "-f", path, (char *)NULL);
        _exit(127);
    }
}

/* Collects processes that exited, by a signal of this test or on their own,
 * and schedules their restart. */
static void
reap(struct soak *s)
{
    for (int i = 0; i < s->proc_count; i++) {
        struct daemon_proc *p = &s->procs[i];
        int status;

        if (p->pid <= 0 || waitpid(p->pid, &status, WNOHANG) != p->pid) {
            continue;
        }
        if (WIFSIGNALED(status) && WTERMSIG(status) != SIGKILL) {
            report_violation(s, "a process crashed");
        }
        p->pid = 0;
        p->resume_ms = 0;
        p->start_ms = s->now + 300 + soak_random(s, 700);
    }
}

static void
update_procs(struct soak *s)
{
    reap(s);
    for (int i = 0; i < s->proc_count; i++) {
        struct daemon_proc *p = &s->procs[i];

        if (p->resume_ms != 0 && s->now >= p->resume_ms) {
            p->resume_ms = 0;
            kill(p->pid, SIGCONT);
        }
        if (p->start_ms != 0 && s->now >= p->start_ms) {
            start_proc(p);
        }
    }
}

/* --- checks --- */

static struct call *
find_call(struct soak *s, uint64_t id)
{
    uint64_t i = id & 0xffffffff;

    return i < s->call_count && s->calls[i].id == id ? &s->calls[i] : NULL;
}

static int
worker_index(const struct soak *s, const struct fake_worker *w)
{
    int i = 0;

    while (s->workers[i] != w) {
        i++;
    }
    return i;
}

static void
log_run(struct soak *s, struct fake_worker *w, const struct fw_run *r,
    const char *event)
{
    if (s->verbose) {
        printf("%" PRIu64 " run %016" PRIx64 ".%u run=%" PRIu64 " a%d %s\n",
            s->now - s->epoch_ms, r->job, r->index, r->run, worker_index(s, w),
            event);
    }
}

static void
on_start(void *ctx, struct fake_worker *w, const struct fw_run *r)
{
    struct soak *s = ctx;
    uint64_t job = r->job;
    struct call *c = find_call(s, job);
    char text[200];

    s->starts++;
    log_run(s, w, r, "started");
    for (int i = 0; i < s->agents; i++) {
        if (s->workers[i] != w &&
            fw_is_running(s->workers[i], job, r->index)) {
            snprintf(text, sizeof(text),
                "task %016" PRIx64 ".%u runs twice at a time, on the workers "
                "of a%d and a%d",
                job, r->index, i, worker_index(s, w));
            report_violation(s, text);
        }
    }
    if (c == NULL) {
        report_violation(s, "a task was started that no caller sent");
        return;
    }
    c->started++;
    if (c->sends > 0 && c->rejects == c->sends) {
        snprintf(text, sizeof(text),
            "task of job %016" PRIx64
            " started after all its requests were refused",
            job);
        report_violation(s, text);
    }
}

static void
on_outcome(void *ctx, struct fake_worker *w, const struct fw_run *r,
    const char *outcome)
{
    struct call *c = find_call(ctx, r->job);

    log_run(ctx, w, r, outcome);
    if (c != NULL && strcmp(outcome, "done") == 0) {
        c->done[r->index] = true;
    }
}

static uint32_t
run_time_ms(void *ctx, uint64_t job, uint32_t index)
{
    struct call *c = find_call(ctx, job);

    return c != NULL ? c->ms[index] : 50;
}

static const struct fw_events worker_events = {
    on_start, on_outcome, run_time_ms, report_violation};

/* --- callers --- */

static void send_call(struct call *c);

static void
check_answer(struct call *c, const struct httpc_result *d)
{
    struct soak *s = c->s;
    char text[200];

    if (d->http_status == 503 || d->http_status == 429) {
        c->rejects++;
        if (c->started > 0 && c->rejects == c->sends) {
            snprintf(text, sizeof(text),
                "job %016" PRIx64
                " was answered as not run, but a task was started",
                c->id);
            report_violation(s, text);
        }
        return;
    }
    if (d->http_status == 200 && strstr(d->body.p, "\"completed\"") != NULL) {
        c->completed = true;
        for (uint32_t i = 0; i < c->tasks; i++) {
            if (!c->done[i]) {
                snprintf(text, sizeof(text),
                    "job %016" PRIx64
                    " was answered as complete, but a task is not done",
                    c->id);
                report_violation(s, text);
            }
        }
        return;
    }
    if (d->http_status == 200) {
        snprintf(text, sizeof(text),
            "job %016" PRIx64 " was answered as failed", c->id);
        report_violation(s, text);
    }
}

static void
on_answer(void *ctx, const struct httpc_result *d)
{
    struct call *c = ctx;
    uint64_t now = c->s->now;

    if (d->status == HTTPC_OK && d->http_status != 504) {
        c->answered = true;
        check_answer(c, d);
    }
    else if (now + RESEND_DELAY_MS < c->deadline_ms) {
        c->resend_at_ms = now + RESEND_DELAY_MS;
    }
}

static void
send_call(struct call *c)
{
    struct soak *s = c->s;
    uint64_t remaining_ms = num_sub_sat(c->deadline_ms, s->now);
    char url[128];
    char deadline[64];
    char body[256];
    const char *headers[] = {
        "Host: h.example", "Content-Type: application/json", deadline, NULL};
    struct httpc_call h = {0};

    c->resend_at_ms = 0;
    c->sends++;
    c->entry = (int)soak_random(s, (uint64_t)s->entries);
    snprintf(url, sizeof(url), "http://127.0.0.1:%d/q/%016" PRIx64,
        s->base + PORT_ENTRY_CALLERS + c->entry, c->id);
    snprintf(deadline, sizeof(deadline), "Deadline-Remaining: %" PRIu64,
        remaining_ms);
    snprintf(body, sizeof(body),
        "{\"task_spec\":\"x\",\"best_effort\":true,\"steps\":[{\"count\":%u,"
        "\"cpu\":2000,\"mem_mb\":10,\"est_runtime_ms\":%u}]}",
        c->tasks, c->ms[0]);
    h.method = "POST";
    h.url = url;
    h.headers = headers;
    h.body = str_of(body);
    h.timeout_ms = (uint32_t)remaining_ms;
    h.connect_timeout_ms = 1000;
    h.done = on_answer;
    h.ctx = c;
    httpc_start(s->http, &h);
}

static void
submit(struct soak *s)
{
    struct call *c = &s->calls[s->call_count];

    if (s->call_count == CALLS_MAX) {
        return;
    }
    c->s = s;
    c->id = ((soak_random(s, 0xffffffff) + 1) << 32) | s->call_count;
    s->call_count++;
    c->tasks = 1 + (uint32_t)soak_random(s, SOAK_TASKS_MAX);
    for (uint32_t i = 0; i < c->tasks; i++) {
        c->ms[i] = 20 + (uint32_t)soak_random(s, i == 0 ? 300 : 120);
    }
    c->arrival_ms = s->now;
    c->deadline_ms = s->now + CALL_TIMEOUT_MS;
    send_call(c);
}

static void
update_callers(struct soak *s)
{
    if (s->now >= s->next_submit_ms && s->now + SETTLE_MS < s->end_ms) {
        s->next_submit_ms = s->now + SUBMIT_INTERVAL_MS;
        submit(s);
    }
    for (size_t i = num_sub_sat(s->call_count, 200); i < s->call_count; i++) {
        struct call *c = &s->calls[i];

        if (c->resend_at_ms != 0 && s->now >= c->resend_at_ms) {
            send_call(c);
        }
    }
}

/* --- heartbeats of the workers --- */

static void
on_announced(void *ctx, const struct httpc_result *d)
{
    (void)ctx;
    (void)d;
}

static void
announce(struct soak *s, int i)
{
    static const char *const headers[] = {
        "Content-Type: application/json", NULL};
    struct buf b = {0};
    char url[128];
    struct httpc_call h = {0};

    fw_announce(s->workers[i], &b);
    if (b.n > 0) {
        snprintf(url, sizeof(url),
            "http://127.0.0.1:%d/dunlinweir/Instances.Heartbeat/i-%d",
            s->base + PORT_AGENT_ANNOUNCE + i, i);
        h.method = "POST";
        h.url = url;
        h.headers = headers;
        h.body = buf_str(&b);
        h.timeout_ms = 1000;
        h.done = on_announced;
        httpc_start(s->http, &h);
    }
    buf_free(&b);
}

/* --- operators --- */

static void
write_config(struct soak *s)
{
    char text[600];

    snprintf(text, sizeof(text),
        "{\"version\":%" PRIu64 ",\"routes\":[{\"name\":\"r\",\"hostname\":"
        "\"h.example\",\"prefix\":\"/q/\",\"service\":\"s\",\"timeout_ms\":"
        "1500,\"slo_ms\":60,\"stretch\":1.6,\"priority\":0,\"attempts\":3}],"
        "\"services\":[],\"limits\":{}}",
        ++s->version);
    fs_put(s->store, "op/config", text);
}

/* --- faults --- */

static void
undo_later(
    struct soak *s, uint64_t ms, void (*fn)(struct soak *s, int i), int i)
{
    size_t n = sizeof(s->undo) / sizeof(s->undo[0]);

    if (s->undo_count == n) {
        fn(s, i);
        return;
    }
    s->undo[s->undo_count].at_ms = s->now + ms;
    s->undo[s->undo_count].fn = fn;
    s->undo[s->undo_count++].i = i;
}

static struct daemon_proc *
any_proc(struct soak *s)
{
    return &s->procs[soak_random(s, (uint64_t)s->proc_count)];
}

static int
any_agent(struct soak *s)
{
    return (int)soak_random(s, (uint64_t)s->agents);
}

static void
kill_one(struct soak *s)
{
    struct daemon_proc *p = any_proc(s);

    if (p->pid > 0) {
        log_fault(s, "kill", p->name, 0);
        kill(p->pid, SIGKILL);
    }
}

static void
term_one(struct soak *s)
{
    struct daemon_proc *p = any_proc(s);

    if (p->pid > 0 && p->resume_ms == 0) {
        log_fault(s, "term", p->name, 0);
        kill(p->pid, SIGTERM);
    }
}

static void
pause_one(struct soak *s)
{
    struct daemon_proc *p = any_proc(s);
    uint64_t ms = 50 + soak_random(s, soak_random(s, 2) ? 600 : 2500);

    if (p->pid > 0 && p->resume_ms == 0) {
        log_fault(s, "pause", p->name, ms);
        kill(p->pid, SIGSTOP);
        p->resume_ms = s->now + ms;
    }
}

static void
reload_one(struct soak *s)
{
    struct daemon_proc *p = any_proc(s);

    if (p->pid > 0) {
        kill(p->pid, SIGHUP);
    }
}

static void
undo_store(struct soak *s, int i)
{
    (void)i;
    fs_set_mode(s->store, STORE_SERVES);
}

static void
store_unreachable(struct soak *s)
{
    uint64_t ms = 500 + soak_random(s, 3000);

    log_fault(s, "store", "unreachable", ms);
    fs_set_mode(s->store, soak_random(s, 2) ? STORE_REFUSES : STORE_SILENT);
    undo_later(s, ms, undo_store, 0);
}

static void
undo_proxy(struct soak *s, int i)
{
    px_set_mode(s->proxies[i], PROXY_PASS);
}

static void
link_fault(struct soak *s)
{
    static const char *const mode_names[] = {
        "pass", "silent", "one_way", "slow"};
    int i = any_agent(s);
    enum proxy_mode mode = 1 + (enum proxy_mode)soak_random(s, 3);
    uint64_t ms = 100 + soak_random(s, 2500);

    log_fault(s, mode_names[mode], s->procs[i].name, ms);
    px_set_mode(s->proxies[i], mode);
    undo_later(s, ms, undo_proxy, i);
}

static void
link_reset(struct soak *s)
{
    int i = any_agent(s);

    log_fault(s, "reset", s->procs[i].name, 0);
    px_reset(s->proxies[i]);
}

static void
undo_store_proxy(struct soak *s, int i)
{
    px_set_mode(s->store_proxies[i], PROXY_PASS);
}

/* Makes the store unreachable for one process only. */
static void
cut_from_store(struct soak *s, struct daemon_proc *p, uint64_t ms)
{
    enum proxy_mode mode = 1 + (enum proxy_mode)soak_random(s, 3);

    log_fault(s, "store_cut", p->name, ms);
    px_set_mode(s->store_proxies[p->index], mode);
    px_reset(s->store_proxies[p->index]);
    undo_later(s, ms, undo_store_proxy, p->index);
}

static void
store_cut(struct soak *s)
{
    struct daemon_proc *p = any_proc(s);

    cut_from_store(s, p, 500 + soak_random(s, 2500));
}

/* Restarts a process while the store is unreachable for it. */
static void
start_without_store(struct soak *s)
{
    struct daemon_proc *p = any_proc(s);

    cut_from_store(s, p, 1500 + soak_random(s, 1500));
    if (p->pid > 0) {
        log_fault(s, "kill", p->name, 0);
        kill(p->pid, SIGKILL);
    }
}

static void
worker_crash(struct soak *s)
{
    int i = any_agent(s);
    uint32_t ms = 20 + (uint32_t)soak_random(s, 1500);

    log_fault(s, "worker_crash", s->procs[i].name, ms);
    fw_crash(s->workers[i], s->now, ms);
}

static void
undo_worker(struct soak *s, int i)
{
    fw_set_loss(s->workers[i], 0, 0);
    fw_set_refusals(s->workers[i], 0);
    fw_set_slowdown(s->workers[i], 1);
    px_set_cut(s->worker_proxies[i], 0);
}

static void
worker_lossy(struct soak *s)
{
    int i = any_agent(s);
    uint64_t ms = 500 + soak_random(s, 3000);

    log_fault(s, "worker_lossy", s->procs[i].name, ms);
    fw_set_loss(s->workers[i], (uint32_t)soak_random(s, 150),
        (uint32_t)soak_random(s, 100));
    undo_later(s, ms, undo_worker, i);
}

static void
worker_slow(struct soak *s)
{
    int i = any_agent(s);
    uint64_t ms = 500 + soak_random(s, 3000);

    log_fault(s, "worker_slow", s->procs[i].name, ms);
    fw_set_slowdown(s->workers[i], 2 + (uint32_t)soak_random(s, 6));
    undo_later(s, ms, undo_worker, i);
}

/* A worker that refuses part of the starts while connections to it break
 * before or after it has carried out an order. */
static void
worker_unhealthy(struct soak *s)
{
    int i = any_agent(s);
    uint64_t ms = 500 + soak_random(s, 3000);

    log_fault(s, "worker_unhealthy", s->procs[i].name, ms);
    fw_set_refusals(s->workers[i], (uint32_t)soak_random(s, 700));
    px_set_cut(s->worker_proxies[i], (uint32_t)soak_random(s, 8));
    undo_later(s, ms, undo_worker, i);
}

static void
worker_reset(struct soak *s)
{
    int i = any_agent(s);

    log_fault(s, "worker_reset", s->procs[i].name, 0);
    px_reset(s->worker_proxies[i]);
}

static void
undo_worker_proxy(struct soak *s, int i)
{
    px_set_mode(s->worker_proxies[i], PROXY_PASS);
}

/* Cuts a worker, which runs on, off from its agent. */
static void
worker_cut(struct soak *s)
{
    static const enum proxy_mode modes[] = {
        PROXY_SILENT, PROXY_ONE_WAY, PROXY_SLOW, PROXY_REFUSE};
    int i = any_agent(s);
    uint64_t ms = soak_random(s, 2) ? 20 + soak_random(s, 1000)
                                    : 1000 + soak_random(s, 6000);
    enum proxy_mode mode = modes[soak_random(s, 4)];

    log_fault(s, "worker_cut", s->procs[i].name, ms);
    px_set_mode(s->worker_proxies[i], mode);
    if (soak_random(s, 2)) {
        px_reset(s->worker_proxies[i]);
    }
    undo_later(s, ms, undo_worker_proxy, i);
}

typedef void (*fault_fn)(struct soak *s);

static const fault_fn worker_faults[] = {worker_crash, worker_lossy,
    worker_slow, worker_unhealthy, worker_unhealthy, worker_reset, worker_cut};

static const fault_fn faults[] = {kill_one, term_one, pause_one, pause_one,
    reload_one, store_unreachable, link_fault, link_fault, link_reset,
    store_cut, start_without_store, worker_crash, worker_lossy, worker_slow,
    worker_unhealthy, worker_unhealthy, worker_reset, worker_cut};

static void
inject_fault(struct soak *s)
{
    if (s->worker_mode && soak_random(s, 8) != 0) {
        worker_faults[soak_random(
            s, sizeof(worker_faults) / sizeof(worker_faults[0]))](s);
        return;
    }
    faults[soak_random(s, sizeof(faults) / sizeof(faults[0]))](s);
}

/* Injects a fault every 0.2 to 1 s, or four times as often with worker_mode,
 * so that faults overlap, and clears those whose time is up. */
static void
update_faults(struct soak *s)
{
    for (size_t i = 0; i < s->undo_count;) {
        if (s->now >= s->undo[i].at_ms) {
            void (*fn)(struct soak *, int) = s->undo[i].fn;
            int target = s->undo[i].i;

            s->undo[i] = s->undo[--s->undo_count];
            fn(s, target);
            continue;
        }
        i++;
    }
    if (s->now >= s->next_fault_ms && s->now < s->faults_end_ms) {
        s->next_fault_ms =
            s->now + (200 + soak_random(s, 800)) / (s->worker_mode ? 4 : 1);
        s->faults++;
        inject_fault(s);
        if (soak_random(s, 5) == 0) {
            write_config(s);
        }
    }
}

/* --- the loop --- */

static void
on_tick(struct ev_loop *loop, ev_timer *t, int revents)
{
    struct soak *s = t->data;

    (void)revents;
    s->now = clock_ms();
    fs_tick(s->store, s->now);
    for (int i = 0; i < s->agents; i++) {
        fw_tick(s->workers[i], s->now);
    }
    update_procs(s);
    if (s->now >= s->next_heartbeat_ms) {
        s->next_heartbeat_ms = s->now + 500;
        for (int i = 0; i < s->agents; i++) {
            announce(s, i);
        }
    }
    if (s->now - s->epoch_ms > STARTUP_MS) {
        update_callers(s);
        update_faults(s);
    }
    if (s->now >= s->end_ms) {
        ev_break(loop, EVBREAK_ALL);
    }
}

static void
add_proc(struct soak *s, bool is_agent, int number)
{
    struct daemon_proc *p = &s->procs[s->proc_count];

    p->s = s;
    p->index = s->proc_count++;
    s->store_proxies[p->index] =
        px_new(s->loop, (uint16_t)(s->base + PORT_STORE_PROXY + p->index),
            (uint16_t)(s->base + PORT_STORE));
    p->is_agent = is_agent;
    p->number = number;
    snprintf(p->name, sizeof(p->name), "%c%d", is_agent ? 'a' : 'e', number);
    start_proc(p);
}

static void
set_up(struct soak *s)
{
    /* The default loop reaps child processes itself. */
    s->loop = ev_loop_new(0);
    s->http = httpc_new(s->loop, 100);
    s->store = fs_new(s->loop, (uint16_t)(s->base + PORT_STORE),
        PORT_AGENT_PROXY - PORT_AGENT_LINK);
    write_config(s);
    for (int i = 0; i < s->agents; i++) {
        s->workers[i] = fw_new(s, s->loop,
            (uint16_t)(s->base + PORT_WORKER + i), &worker_events, s);
        s->worker_proxies[i] =
            px_new(s->loop, (uint16_t)(s->base + PORT_WORKER_PROXY + i),
                (uint16_t)(s->base + PORT_WORKER + i));
        s->proxies[i] =
            px_new(s->loop, (uint16_t)(s->base + PORT_AGENT_PROXY + i),
                (uint16_t)(s->base + PORT_AGENT_LINK + i));
        add_proc(s, true, i);
    }
    for (int i = 0; i < s->entries; i++) {
        add_proc(s, false, i);
    }
    ev_timer_init(&s->tick, on_tick, TICK_S, TICK_S);
    s->tick.data = s;
    ev_timer_start(s->loop, &s->tick);
}

/* Kills the processes started here, each by its process id. */
static void
stop_all(struct soak *s)
{
    for (int i = 0; i < s->proc_count; i++) {
        struct daemon_proc *p = &s->procs[i];

        if (p->pid > 0) {
            kill(p->pid, SIGCONT);
            kill(p->pid, SIGKILL);
            waitpid(p->pid, NULL, 0);
        }
    }
}

/* Calls sent from 2 s before the end of FAULT_FREE_MS on must all complete. */
static void
check_fault_free(struct soak *s, size_t *completed)
{
    uint64_t fault_free_from = s->faults_end_ms + FAULT_FREE_MS - 2000;

    for (size_t i = 0; i < s->call_count; i++) {
        const struct call *c = &s->calls[i];

        *completed += c->completed;
        if (c->arrival_ms >= fault_free_from && !c->completed) {
            char text[120];

            snprintf(text, sizeof(text),
                "job %016" PRIx64 " did not complete after the faults", c->id);
            report_violation(s, text);
        }
    }
}

int
main(int argc, char **argv)
{
    struct soak *s = dw_zero(1, sizeof(*s));
    int seed = 1;
    int seconds = 10;
    int worker_mode = 0;
    int verbose = 0;
    char *dir = NULL;
    char *bin = NULL;
    const struct poptOption options[] = {
        {"seed", 's', POPT_ARG_INT, &seed, 0, "seed of the random numbers",
            "N"},
        {"seconds", 't', POPT_ARG_INT, &seconds, 0, "duration of the faults",
            "N"},
        {"entries", 'e', POPT_ARG_INT, &s->entries, 0, "entries", "N"},
        {"agents", 'a', POPT_ARG_INT, &s->agents, 0, "agents", "N"},
        {"base", 'p', POPT_ARG_INT, &s->base, 0, "first of 500 ports", "N"},
        {"dir", 'd', POPT_ARG_STRING, &dir, 0,
            "directory of settings and logs", "DIR"},
        {"bin", 'b', POPT_ARG_STRING, &bin, 0, "dunlinweird program", "FILE"},
        {"workers", 'w', POPT_ARG_NONE, &worker_mode, 0,
            "most faults are on workers", NULL},
        {"verbose", 'v', POPT_ARG_NONE, &verbose, 0, "print the faults", NULL},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext ctx =
        poptGetContext("soak", argc, (const char **)argv, options, 0);
    size_t completed = 0;

    s->entries = 2;
    s->agents = 5;
    s->base = 24000;
    if (poptGetNextOpt(ctx) < -1 || dir == NULL || bin == NULL ||
        s->agents > SOAK_AGENTS_MAX || s->entries > SOAK_ENTRIES_MAX) {
        poptPrintUsage(ctx, stderr, 0);
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    s->random = mix64((uint64_t)seed, 1);
    s->verbose = verbose != 0;
    s->worker_mode = worker_mode != 0;
    s->bin = bin;
    snprintf(s->dir, sizeof(s->dir), "%s", dir);
    s->epoch_ms = s->now = clock_ms();
    s->faults_end_ms = s->now + STARTUP_MS + (uint64_t)seconds * 1000;
    s->end_ms = s->faults_end_ms + FAULT_FREE_MS + SETTLE_MS;
    set_up(s);
    ev_run(s->loop, 0);
    stop_all(s);
    check_fault_free(s, &completed);
    printf("seed %d: %" PRIu64 " faults, %zu calls, %zu completed, %" PRIu64
           " starts, %" PRIu64 " violations\n",
        seed, s->faults, s->call_count, completed, s->starts, s->violations);
    return s->violations == 0 ? 0 : 1;
}
