/* Callers, faults and checks of the soak; see soak.h. */
#include <curl/curl.h>
#include <errno.h>
#include <inttypes.h>
#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "num.h"
#include "soak.h"

#define TICK_S 0.005
#define TICKS_PER_S 200
#define CALLS_MAX 20000
/* Delay before a caller sends a failed request again, to any entry. */
#define RESEND_DELAY_MS 1300U
/* From the submission of a call to its deadline. */
#define CALL_TIMEOUT_MS 3000U
#define SUBMIT_INTERVAL_MS 40U /* with up to AGENTS_DEFAULT agents */
#define AGENTS_DEFAULT 5
/* With callers_mode: one call in LONG_EVERY has tasks that run much longer
 * than RESEND_DELAY_MS, and callers wait for them. */
#define LONG_EVERY 8
#define LONG_TASKS_MAX 3
#define LONG_MIN_MS 1000
#define LONG_MAX_MS 5000
/* After the faults: a job of which a run is repeated once must complete. */
#define LONG_MAX_FAULT_FREE_MS 3000
#define LONG_CALL_TIMEOUT_MS 9000U
#define LONG_SUBMIT_INTERVAL_MS 80U /* instead of SUBMIT_INTERVAL_MS */
/* With cancel_mode: one call in CANCEL_EVERY is cancelled at some entry, and a
 * copy of its request arrives at some entry seconds after that. */
#define CANCEL_EVERY 4
#define CANCEL_RETRY_MS 300U
#define COPY_MIN_MS 500U
#define COPY_MAX_MS 7000U
/* Bounds after the acknowledgement: no task starts, none is at work. */
#define CANCEL_MS 3000U
#define CANCEL_STOP_MS 50U
/* Calls that may still be open: one each tick, some more while an entry is
 * paused. */
#define RECENT_CALLS (LONG_CALL_TIMEOUT_MS * TICKS_PER_S / 1000 + 300)
/* Failed runs of a task after which its job has failed. */
#define ATTEMPTS 3U
/* Time before the first call and the first fault. */
#define STARTUP_MS 4000U
/* How long calls are sent after the last fault. */
#define FAULT_FREE_MS 6000U
/* How long single faults, and pauses of processes, may outlast the last one:
 * calls must complete again soon after. */
#define FAULT_OVERRUN_MS 3500U
#define PAUSE_OVERRUN_MS 2500U

/* Bounds of the checks that hold only for processes in touch, in ms: no fault
 * on them or on the store for CONTACT_MS. */
#define CONTACT_MS 2000U
#define EVACUATE_MS 3000U
#define DRAIN_MS 2000U
#define CONFIG_MS 3000U
/* A stopped process is killed after its grace_s. */
#define GRACE_MS 4000U
/* Time of the last SIGTERM before the end of the faults: grace and restart
 * take up to GRACE_MS + 1000 ms, and all calls must complete from
 * FAULT_FREE_MS - 2000 after the end of the faults on. */
#define STOP_BEFORE_END_MS 1500U
/* A slow entry runs for SLOW_RUN_MS of each period, the longer of which is
 * just below the 500 ms after which an entry gives its jobs up. */
#define SLOW_RUN_MS 10U
#define SLOW_PERIOD_MS 100U
#define SLOW_LONG_PERIOD_MS 460U
/* Sessions of a paused entry end after 350 ms. */
#define SESSION_PAUSE_MS 340U
#define LATE_STOP_MS 1500U
/* A request that a stopping process has had for this long must be answered. */
#define LOSS_SLACK_MS 300U
#define DOMAINS 3

/* Ports, as offsets from the base.  Agents are in groups of AGENT_GROUP, each
 * with the same ports on a loopback address of its own. */
#define AGENT_GROUP 64
enum {
    PORT_STORE = 0,
    PORT_WORKERS = 1, /* the server of all workers */
    PORT_ENTRY_CALLERS = 2,
    PORT_ENTRY_READY = PORT_ENTRY_CALLERS + SOAK_ENTRIES_MAX,
    PORT_ENTRY_LINK = PORT_ENTRY_READY + SOAK_ENTRIES_MAX,
    PORT_ENTRY_STORE = PORT_ENTRY_LINK + SOAK_ENTRIES_MAX,
    PORT_AGENT_LINK = PORT_ENTRY_STORE + SOAK_ENTRIES_MAX,
    PORT_AGENT_ANNOUNCE = PORT_AGENT_LINK + AGENT_GROUP,
    PORT_AGENT_PROXY = PORT_AGENT_ANNOUNCE + AGENT_GROUP,
    PORT_AGENT_STORE = PORT_AGENT_PROXY + AGENT_GROUP,
    PORT_WORKER_PROXY = PORT_AGENT_STORE + AGENT_GROUP,
    PORT_CALLER_PROXY = PORT_WORKER_PROXY + AGENT_GROUP,
    PORTS = PORT_CALLER_PROXY + SOAK_ENTRIES_MAX
};

struct daemon_proc {
    struct soak *s;
    char name[16];
    bool is_agent;
    int number;
    int index; /* in soak.procs */
    char addr[24];
    pid_t pid;
    uint64_t start_ms;     /* when to start it again; 0: is running */
    uint64_t resume_ms;    /* when to send SIGCONT; 0: is not paused */
    uint64_t slow_from_ms; /* runs a part of each period, see update_slow() */
    uint32_t slow_period_ms;
    uint64_t slow_end_ms;
    bool slow_stopped;     /* in the other part */
    uint64_t term_ms;      /* when SIGTERM was sent; 0: not */
    uint64_t fault_end_ms; /* of the faults on the process and its links */
};

/* How a request of a caller ended without its answer. */
enum caller_fault {
    FAULT_RESET,
    FAULT_UNSEEN_CLOSE,
    FAULT_LATE_CLOSE,
    FAULT_CUT_TO_ENTRY,  /* the entry does not see that the caller closes */
    FAULT_CUT_TO_CALLER, /* the caller closes without having the answer */
    FAULT_PIPELINED,     /* it closes behind bytes that followed the request */
    FAULT_CLOSE,
    FAULT_CLOSE_IN_PAUSE, /* while the entry stands still */
    FAULT_CLOSE_AT_SLOW,
    FAULT_LATE_STOP, /* a reset; stops of its runs are carried out late */
    /* Not by a fault on the connection. */
    FAULT_BROKEN,
    FAULT_504,
    FAULT_KINDS
};

struct caller_fault_kind {
    const char *name;
    bool unseen;        /* the entry may not learn that the caller has gone */
    bool on_connection; /* by the proxy, as conn_fault */
    enum conn_fault conn_fault;
    uint32_t close_ms; /* the caller closes up to this much later; 0: not */
};

static const struct caller_fault_kind fault_kinds[FAULT_KINDS] = {
    [FAULT_RESET] = {"reset", false, true, CONN_RESET, 0},
    [FAULT_UNSEEN_CLOSE] = {"unseen_close", true, true, CONN_UNSEEN_CLOSE, 0},
    [FAULT_LATE_CLOSE] = {"late_close", true, true, CONN_LATE_CLOSE, 0},
    [FAULT_CUT_TO_ENTRY] = {"cut_to_entry", true, true, CONN_CUT_TO_SERVER,
        500},
    [FAULT_CUT_TO_CALLER] = {"cut_to_caller", false, true, CONN_CUT_TO_CLIENT,
        1500},
    [FAULT_PIPELINED] = {"pipelined", true, true, CONN_PIPELINED, 500},
    [FAULT_CLOSE] = {"close", false, false, CONN_RESET, 1},
    [FAULT_CLOSE_IN_PAUSE] = {"close_in_pause", false, false, CONN_RESET, 1},
    [FAULT_CLOSE_AT_SLOW] = {"close_at_slow", false, false, CONN_RESET, 1},
    [FAULT_LATE_STOP] = {"late_stop", false, true, CONN_RESET, 0},
    [FAULT_BROKEN] = {"broken", false, false, CONN_RESET, 0},
    [FAULT_504] = {"504", false, false, CONN_RESET, 0},
};

#define CALL_FAULTS_MAX 8

/* A job submitted by a caller, with all its requests. */
struct call {
    struct soak *s;
    uint64_t id; /* job id; the low 32 bits are the index in soak.calls */
    uint32_t tasks;
    uint32_t ms[SOAK_TASKS_MAX]; /* run time of each task */
    bool done[SOAK_TASKS_MAX];   /* the task ran to its end */
    uint32_t fail_permille;      /* of 1000 runs, how many fail */
    uint32_t failures[SOAK_TASKS_MAX];
    uint32_t started;   /* task starts */
    uint32_t sends;     /* requests sent */
    uint32_t rejects;   /* requests refused */
    int entry;          /* of the last request */
    const char *prefix; /* of the route */
    uint64_t sent_ms;   /* the last request */
    uint64_t arrival_ms;
    uint64_t deadline_ms;
    uint64_t resend_at_ms; /* 0: not to be sent again */
    struct httpc_req *req; /* the open request; NULL: none */
    enum caller_fault drawn;
    uint64_t fault_at_ms; /* of the drawn fault; 0: none */
    uint64_t close_at_ms; /* when the caller closes; 0: not */
    struct {
        enum caller_fault kind;
        int entry;
        uint32_t send; /* number of the request */
        uint64_t ms;
    } faults[CALL_FAULTS_MAX];
    uint32_t fault_count;
    uint64_t cancel_at_ms; /* 0: it is not cancelled, or it has been */
    bool cancel_sent;
    uint64_t cancel_ack_ms; /* 0: not acknowledged */
    uint64_t copy_at_ms;    /* 0: no copy, or it has been sent */
    uint64_t gone_at_ms;    /* when its runs are looked for; 0: not */
    uint64_t twice_ms[SOAK_TASKS_MAX]; /* second run at a time; 0: none */
    bool answered;
    bool completed;
    bool failed;
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
    struct fw_server *worker_server;
    struct fake_worker *workers[SOAK_AGENTS_MAX];
    struct proxy *proxies[SOAK_AGENTS_MAX]; /* before the agents */
    struct proxy *worker_proxies[SOAK_AGENTS_MAX];
    struct proxy *store_proxies[SOAK_AGENTS_MAX + SOAK_ENTRIES_MAX];
    struct proxy *caller_proxies[SOAK_ENTRIES_MAX]; /* with callers_mode */
    struct daemon_proc procs[SOAK_AGENTS_MAX + SOAK_ENTRIES_MAX];
    int proc_count;
    struct call calls[CALLS_MAX];
    size_t call_count;
    uint64_t next_submit_ms;
    uint64_t next_fault_ms;
    uint32_t fault_rate; /* 1: as without a mode */
    uint64_t next_heartbeat_ms;
    uint64_t faults_end_ms;
    uint64_t end_ms;
    uint64_t version;               /* of the configuration */
    bool has_route;                 /* ROUTE_2 is in the configuration */
    uint64_t route_ms;              /* when has_route changed */
    uint64_t withdrawn_ms[DOMAINS]; /* when it was withdrawn; 0: not */
    uint64_t store_fault_end_ms;
    struct buf old_heartbeats[SOAK_AGENTS_MAX]; /* of former incarnations */
    struct { /* heartbeats that reported draining and were acknowledged */
        uint64_t drain_ms; /* see fw_drain_ms() */
        uint64_t ms;
    } drain_acks[SOAK_AGENTS_MAX];
    uint64_t faults;
    uint64_t starts;
    uint64_t violations;
    uint64_t call_faults[FAULT_KINDS];
    /* Jobs with a task that ran twice at a time, by their only fault. */
    uint64_t jobs_twice[FAULT_KINDS];
    uint64_t jobs_twice_other; /* after several faults, or none */
    uint64_t jobs_twice_seen;  /* of all, after no unseen fault */
    uint64_t runs_left;        /* jobs sent again while they ran, neither */
    struct {                   /* faults to be cleared */
        uint64_t at_ms;
        void (*fn)(struct soak *s, int i);
        int i;
    } undo[256];
    size_t undo_count;
    bool verbose;
    bool worker_mode;  /* most faults are on workers */
    bool stop_mode;    /* the faults are planned stops while no agent serves */
    bool callers_mode; /* most faults are on callers and entries */
    bool seen_only;    /* no unseen faults of callers */
    bool withdraw_mode; /* the faults are withdrawals that no entry hears of */
    bool cancel_mode;   /* some calls are cancelled */
    uint64_t cancels;   /* acknowledged */
    uint32_t call_timeout_ms;
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

/* A port of the process; offset is one of the PORT_ constants. */
static int
port_of(const struct daemon_proc *p, int offset)
{
    return p->s->base + offset +
           (p->is_agent ? p->number % AGENT_GROUP : p->number);
}

/* The port of the proxy between the process and the store. */
static int
store_port(const struct daemon_proc *p)
{
    return port_of(p, p->is_agent ? PORT_AGENT_STORE : PORT_ENTRY_STORE);
}

/* Records a fault on the process or its links that lasts for ms. */
static void
note_fault(struct daemon_proc *p, uint64_t ms)
{
    p->fault_end_ms = num_max(p->fault_end_ms, p->s->now + ms);
}

/* No fault touched the process or the store for CONTACT_MS before at_ms. */
static bool
in_touch(const struct daemon_proc *p, uint64_t at_ms)
{
    return at_ms > p->fault_end_ms + CONTACT_MS &&
           at_ms > p->s->store_fault_end_ms + CONTACT_MS;
}

static void
write_settings(const struct daemon_proc *p, const char *path)
{
    const struct soak *s = p->s;
    FILE *f = fopen(path, "we");

    if (f == NULL) {
        fprintf(stderr, "soak: %s: %s\n", path, strerror(errno));
        exit(2);
    }
    fprintf(f,
        "[process]\nrole = \"%s\"\nname = \"%s\"\ndomain = \"d%d\"\n"
        "address = \"%s\"\nport = %d\n[log]\nfile = \"%s/%s.log\"\n"
        "[platform]\nstore = \"http://%s:%d\"\ngrace_s = %u\n",
        p->is_agent ? "agent" : "entry", p->name, p->number % DOMAINS, p->addr,
        port_of(p, p->is_agent ? PORT_AGENT_LINK : PORT_ENTRY_LINK), s->dir,
        p->name, p->addr, store_port(p), GRACE_MS / 1000);
    if (p->is_agent) {
        fprintf(f,
            "announce = \"%s:%d\"\nworker = \"%s:%d\"\n"
            "service = \"s\"\n",
            p->addr, port_of(p, PORT_AGENT_ANNOUNCE), p->addr,
            port_of(p, PORT_WORKER_PROXY));
    }
    else {
        fprintf(f,
            "callers = \"127.0.0.1:%d\"\nreadiness = \"127.0.0.1:%d\"\n",
            port_of(p, PORT_ENTRY_CALLERS), port_of(p, PORT_ENTRY_READY));
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
    p->term_ms = 0;
    note_fault(p, 0);
    p->pid = fork();
    if (p->pid == 0) {
        /* Also if the test itself fails or is killed. */
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        /* Connections that a daemon inherits stay open when they are closed
         * here. */
        close_range(STDERR_FILENO + 1, ~0U, 0);
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
        p->slow_stopped = false;
        p->start_ms = s->now + 300 + soak_random(s, 700);
    }
}

/* An entry with a small share of a processor. */
static void
update_slow(struct daemon_proc *p)
{
    bool stop =
        p->s->now < p->slow_end_ms &&
        (p->s->now - p->slow_from_ms) % p->slow_period_ms >= SLOW_RUN_MS;

    if (p->pid > 0 && p->resume_ms == 0 && stop != p->slow_stopped) {
        p->slow_stopped = stop;
        kill(p->pid, stop ? SIGSTOP : SIGCONT);
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
            p->slow_stopped = false;
            kill(p->pid, SIGCONT);
        }
        update_slow(p);
        if (p->pid > 0 && p->term_ms != 0 && s->now >= p->term_ms + GRACE_MS) {
            kill(p->pid, SIGKILL);
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
report_run(struct soak *s, int i, const struct fw_run *r, const char *event)
{
    char text[200];

    snprintf(text, sizeof(text),
        "task %016" PRIx64 ".%u run=%" PRIu64 " was %s, a%d", r->job, r->index,
        r->run, event, i);
    report_violation(s, text);
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

/* All entries that may have started runs of the call. */
static bool
entries_in_touch(const struct call *c)
{
    const struct daemon_proc *entries = &c->s->procs[c->s->agents];

    for (uint32_t i = 0; i < c->fault_count; i++) {
        if (!in_touch(&entries[c->faults[i].entry], c->s->now)) {
            return false;
        }
    }
    return in_touch(&entries[c->entry], c->s->now);
}

/* No starts on workers in withdrawn domains or that drain. */
static void
check_bounds(
    struct soak *s, int i, const struct fw_run *r, const struct call *c)
{
    uint64_t withdrawn_ms = s->withdrawn_ms[i % DOMAINS];
    uint64_t drain_ms = fw_drain_ms(s->workers[i]);

    if (r->unanswered || !in_touch(&s->procs[i], s->now) ||
        (s->callers_mode && !entries_in_touch(c))) {
        return;
    }
    if (withdrawn_ms != 0 && s->now > withdrawn_ms + EVACUATE_MS) {
        report_run(s, i, r, "started in a withdrawn domain");
    }
    if (drain_ms != 0 && s->drain_acks[i].drain_ms == drain_ms &&
        s->now > s->drain_acks[i].ms + DRAIN_MS) {
        report_run(s, i, r, "started on a draining worker");
    }
}

static bool
met_unseen(const struct call *c)
{
    bool unseen = false;

    for (uint32_t i = 0; i < c->fault_count; i++) {
        unseen = unseen || fault_kinds[c->faults[i].kind].unseen;
    }
    return unseen;
}

static void
count_twice(struct soak *s, struct call *c, uint32_t index)
{
    bool counted = false;

    for (uint32_t i = 0; i < c->tasks; i++) {
        counted = counted || c->twice_ms[i] != 0;
    }
    c->twice_ms[index] = s->now;
    if (counted) {
        return;
    }
    s->jobs_twice_seen += !met_unseen(c);
    if (c->fault_count == 1) {
        s->jobs_twice[c->faults[0].kind]++;
    }
    else {
        s->jobs_twice_other++;
    }
}

static void
print_call_faults(const struct call *c)
{
    printf("  job %016" PRIx64 " is at e%d, sent %" PRIu64 " ms ago; before:",
        c->id, c->entry, c->s->now - c->sent_ms);
    for (uint32_t i = 0; i < c->fault_count; i++) {
        printf(" %s at e%d %" PRIu64 " ms ago,",
            fault_kinds[c->faults[i].kind].name, c->faults[i].entry,
            c->s->now - c->faults[i].ms);
    }
    printf(" %u requests, %u refused\n", c->sends, c->rejects);
}

static void
check_single_run(struct soak *s, struct call *c, struct fake_worker *w,
    const struct fw_run *r)
{
    char text[200];

    for (int i = 0; i < s->agents; i++) {
        if (s->workers[i] == w ||
            !fw_is_running(s->workers[i], r->job, r->index)) {
            continue;
        }
        snprintf(text, sizeof(text),
            "task %016" PRIx64 ".%u runs twice at a time, on the workers "
            "of a%d and a%d",
            r->job, r->index, i, worker_index(s, w));
        report_violation(s, text);
        if (c != NULL) {
            print_call_faults(c);
            count_twice(s, c, r->index);
        }
    }
}

static void
check_cancelled(
    struct soak *s, int i, const struct fw_run *r, const struct call *c)
{
    if (c->cancel_ack_ms != 0 && s->now > c->cancel_ack_ms + CANCEL_MS &&
        !r->unanswered && in_touch(&s->procs[i], s->now)) {
        report_run(s, i, r, "started after its job was cancelled");
    }
}

static void
on_start(void *ctx, struct fake_worker *w, const struct fw_run *r)
{
    struct soak *s = ctx;
    struct call *c = find_call(s, r->job);
    char text[200];

    s->starts++;
    log_run(s, w, r, "started");
    check_single_run(s, c, w, r);
    if (c == NULL) {
        report_violation(s, "a task was started that no caller sent");
        return;
    }
    check_bounds(s, worker_index(s, w), r, c);
    check_cancelled(s, worker_index(s, w), r, c);
    c->started++;
    if (c->sends > 0 && c->rejects == c->sends) {
        snprintf(text, sizeof(text),
            "task of job %016" PRIx64
            " started after all its requests were refused",
            r->job);
        report_violation(s, text);
    }
}

static void
on_outcome(void *ctx, struct fake_worker *w, const struct fw_run *r,
    const char *outcome)
{
    struct soak *s = ctx;
    struct call *c = find_call(s, r->job);

    log_run(s, w, r, outcome);
    if (c != NULL && c->twice_ms[r->index] != 0) {
        printf("  task %016" PRIx64 ".%u: run=%" PRIu64
               " on the worker of a%d "
               "%s %" PRIu64 " ms after the second start\n",
            r->job, r->index, r->run, worker_index(s, w), outcome,
            s->now - c->twice_ms[r->index]);
    }
    if (c != NULL && strcmp(outcome, "done") == 0) {
        c->done[r->index] = true;
    }
    if (c != NULL && strcmp(outcome, "failed") == 0) {
        c->failures[r->index]++;
    }
}

static uint32_t
run_time_ms(void *ctx, uint64_t job, uint32_t index)
{
    struct call *c = find_call(ctx, job);

    return c != NULL ? c->ms[index] : 50;
}

static bool
run_fails(void *ctx, uint64_t job)
{
    struct call *c = find_call(ctx, job);

    return c != NULL && c->fail_permille != 0 &&
           soak_random(ctx, 1000) < c->fail_permille;
}

static const struct fw_events worker_events = {
    on_start, on_outcome, run_time_ms, run_fails, report_violation};

/* --- callers --- */

static int
any_entry(struct soak *s)
{
    return (int)soak_random(s, (uint64_t)s->entries);
}

#define ROUTE_1 "/q/" /* in all configurations */
#define ROUTE_2 "/t/" /* added and removed */

static void
report_call(struct call *c, const char *event)
{
    char text[200];

    snprintf(text, sizeof(text), "job %016" PRIx64 " was %s, by e%d", c->id,
        event, c->entry);
    report_violation(c->s, text);
}

/* Requests for a route that was removed are not executed, nor are others
 * answered as if their route were not there. */
static void
check_route(struct call *c, bool not_found)
{
    struct soak *s = c->s;

    if (strcmp(c->prefix, ROUTE_1) == 0) {
        if (not_found) {
            report_call(c, "not found, but its route was always there");
        }
        return;
    }
    if (c->sent_ms > s->route_ms + CONFIG_MS &&
        in_touch(&s->procs[s->agents + c->entry], c->sent_ms) &&
        not_found == s->has_route) {
        report_call(c, not_found ? "not found, but its route is there"
                                 : "executed, but its route is not there");
    }
}

static void
check_failed(struct call *c)
{
    c->failed = true;
    if (c->cancel_sent) {
        return;
    }
    for (uint32_t i = 0; i < c->tasks; i++) {
        if (c->failures[i] >= ATTEMPTS) {
            return;
        }
    }
    report_call(c, "answered as failed, but no task had its attempts");
}

static bool
has_run_active(const struct call *c)
{
    for (int i = 0; i < c->s->agents; i++) {
        for (uint32_t k = 0; k < c->tasks; k++) {
            if (fw_is_running(c->s->workers[i], c->id, k)) {
                return true;
            }
        }
    }
    return false;
}

/* The open request has met a fault. */
static bool
has_fault(const struct call *c)
{
    return c->fault_count > 0 &&
           c->faults[c->fault_count - 1].send == c->sends;
}

static void
add_call_fault(struct call *c, enum caller_fault kind)
{
    uint32_t i = c->fault_count;

    if (i == CALL_FAULTS_MAX) {
        return;
    }
    c->fault_count++;
    c->faults[i].kind = kind;
    c->faults[i].entry = c->entry;
    c->faults[i].send = c->sends;
    c->faults[i].ms = c->s->now;
    c->s->call_faults[kind]++;
}

/* A stopping process may not break off requests that it has read, except for
 * those whose tasks run until its grace is nearly over. */
static void
check_broken_off(struct call *c, const struct httpc_result *d)
{
    struct soak *s = c->s;
    const struct daemon_proc *p = &s->procs[s->agents + c->entry];

    if (d->status == HTTPC_FAILED_AFTER_SEND && !has_fault(c) &&
        p->term_ms != 0 && in_touch(p, c->sent_ms) &&
        p->fault_end_ms < c->sent_ms && s->now > c->sent_ms + LOSS_SLACK_MS &&
        !has_run_active(c)) {
        report_call(c, "broken off by a stopping process");
    }
}

static void
check_answer(struct call *c, const struct httpc_result *d)
{
    struct soak *s = c->s;
    char text[200];

    if (d->http_status == 404) {
        check_route(c, true);
        return;
    }
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
    check_route(c, false);
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
        check_failed(c);
    }
}

/* The clock is read: s->now may be old, and an entry relies on the delay. */
static void
resend_later(struct call *c)
{
    uint64_t at_ms = clock_ms() + RESEND_DELAY_MS;

    if (at_ms < c->deadline_ms && !c->cancel_sent) {
        c->resend_at_ms = at_ms;
    }
}

static void
on_answer(void *ctx, const struct httpc_result *d)
{
    struct call *c = ctx;

    c->req = NULL;
    check_broken_off(c, d);
    if (d->status == HTTPC_OK && d->http_status != 504) {
        c->answered = true;
        check_answer(c, d);
        return;
    }
    if (!has_fault(c)) {
        add_call_fault(c, d->status == HTTPC_OK ? FAULT_504 : FAULT_BROKEN);
    }
    resend_later(c);
}

/* In callers_mode another entry than before. */
static int
next_entry(const struct call *c)
{
    struct soak *s = c->s;
    int entry;

    do {
        entry = (int)soak_random(s, (uint64_t)s->entries);
    } while (s->callers_mode && c->sends > 0 && s->entries > 1 &&
             entry == c->entry);
    return entry;
}

static enum caller_fault
any_call_fault(struct soak *s, const enum caller_fault *from, size_t n)
{
    enum caller_fault kind;

    do {
        kind = from[soak_random(s, n)];
    } while (s->seen_only && fault_kinds[kind].unseen);
    return kind;
}

/* Draws a fault for half of the long calls and a tenth of the others. */
static void
draw_call_fault(struct call *c)
{
    static const enum caller_fault kinds[] = {FAULT_RESET, FAULT_UNSEEN_CLOSE,
        FAULT_LATE_CLOSE, FAULT_CUT_TO_ENTRY, FAULT_CUT_TO_CALLER,
        FAULT_PIPELINED, FAULT_CLOSE};
    struct soak *s = c->s;
    bool is_long = c->ms[0] >= LONG_MIN_MS;

    c->close_at_ms = 0;
    c->fault_at_ms = 0;
    if (s->callers_mode && soak_random(s, is_long ? 2 : 10) == 0) {
        c->drawn = any_call_fault(s, kinds, sizeof(kinds) / sizeof(kinds[0]));
        c->fault_at_ms = s->now + (is_long ? 50 + soak_random(s, 1500)
                                           : soak_random(s, 50));
    }
}

/* Sends a request for the call to an entry: a POST, or a DELETE. */
static struct httpc_req *
send_request(struct call *c, int entry, const char *method,
    uint64_t remaining_ms, httpc_done_fn done)
{
    struct soak *s = c->s;
    int offset = s->callers_mode ? PORT_CALLER_PROXY : PORT_ENTRY_CALLERS;
    char url[128];
    char deadline[64];
    char body[256];
    const char *headers[] = {
        "Host: h.example", "Content-Type: application/json", deadline, NULL};
    struct httpc_call h = {0};

    snprintf(url, sizeof(url), "http://127.0.0.1:%d%s%016" PRIx64,
        s->base + offset + entry, c->prefix, c->id);
    snprintf(deadline, sizeof(deadline), "Deadline-Remaining: %" PRIu64,
        remaining_ms);
    snprintf(body, sizeof(body),
        "{\"task_spec\":\"x\",\"best_effort\":true,\"steps\":[{\"count\":%u,"
        "\"cpu\":2000,\"mem_mb\":10,\"est_runtime_ms\":%u}]}",
        c->tasks, c->ms[0]);
    h.method = method;
    h.url = url;
    h.headers = headers;
    h.body = str_of(strcmp(method, "POST") == 0 ? body : "");
    h.timeout_ms = (uint32_t)remaining_ms;
    h.connect_timeout_ms = 1000;
    h.done = done;
    h.ctx = c;
    return httpc_start(s->http, &h);
}

static void
send_call(struct call *c, int entry)
{
    struct soak *s = c->s;

    c->resend_at_ms = 0;
    c->sent_ms = s->now;
    c->sends++;
    c->entry = entry;
    draw_call_fault(c);
    c->req = send_request(
        c, entry, "POST", num_sub_sat(c->deadline_ms, s->now), on_answer);
}

/* --- cancelled calls --- */

static void
on_cancelled(void *ctx, const struct httpc_result *d)
{
    struct call *c = ctx;
    struct soak *s = c->s;

    if (d->status != HTTPC_OK ||
        (d->http_status != 200 && d->http_status != 410)) {
        c->cancel_at_ms = s->now + CANCEL_RETRY_MS;
        return;
    }
    c->cancel_ack_ms = s->now;
    c->gone_at_ms = s->now + CANCEL_MS + CANCEL_STOP_MS;
    c->copy_at_ms =
        s->now + COPY_MIN_MS + soak_random(s, COPY_MAX_MS - COPY_MIN_MS);
    s->cancels++;
}

static void
on_copy_answered(void *ctx, const struct httpc_result *d)
{
    (void)ctx;
    (void)d;
}

static void
check_gone(const struct call *c)
{
    if (has_run_active(c) && entries_in_touch(c)) {
        report_violation(c->s, "a task of a cancelled job is at work");
    }
}

static bool
take_time(uint64_t *at_ms, uint64_t now)
{
    bool due = *at_ms != 0 && now >= *at_ms;

    if (due) {
        *at_ms = 0;
    }
    return due;
}

static void
update_cancel(struct call *c)
{
    struct soak *s = c->s;

    if (take_time(&c->cancel_at_ms, s->now)) {
        c->cancel_sent = true;
        c->resend_at_ms = 0;
        send_request(
            c, any_entry(s), "DELETE", s->call_timeout_ms, on_cancelled);
    }
    if (take_time(&c->copy_at_ms, s->now)) {
        send_request(
            c, any_entry(s), "POST", s->call_timeout_ms, on_copy_answered);
    }
    if (take_time(&c->gone_at_ms, s->now)) {
        check_gone(c);
    }
}

static void
draw_long_tasks(struct call *c)
{
    struct soak *s = c->s;
    uint64_t max_ms =
        s->now < s->faults_end_ms ? LONG_MAX_MS : LONG_MAX_FAULT_FREE_MS;

    c->tasks = 1 + (uint32_t)soak_random(s, LONG_TASKS_MAX);
    for (uint32_t i = 0; i < c->tasks; i++) {
        c->ms[i] =
            LONG_MIN_MS + (uint32_t)soak_random(s, max_ms - LONG_MIN_MS);
    }
}

/* NULL if there are too many. */
static struct call *
new_call(struct soak *s)
{
    struct call *c = &s->calls[s->call_count];

    if (s->call_count == CALLS_MAX) {
        return NULL;
    }
    c->s = s;
    c->id = ((soak_random(s, 0xffffffff) + 1) << 32) | s->call_count;
    s->call_count++;
    c->tasks = 1 + (uint32_t)soak_random(s, SOAK_TASKS_MAX);
    for (uint32_t i = 0; i < c->tasks; i++) {
        c->ms[i] = 20 + (uint32_t)soak_random(s, i == 0 ? 300 : 120);
    }
    if (soak_random(s, 6) == 0) {
        c->fail_permille = 100 + (uint32_t)soak_random(s, 901);
    }
    c->prefix = soak_random(s, 20) == 0 ? ROUTE_2 : ROUTE_1;
    if (s->callers_mode && soak_random(s, LONG_EVERY) == 0) {
        draw_long_tasks(c);
        c->fail_permille = 0;
        c->prefix = ROUTE_1;
    }
    c->arrival_ms = s->now;
    c->deadline_ms = s->now + s->call_timeout_ms;
    if (s->cancel_mode && soak_random(s, CANCEL_EVERY) == 0) {
        c->cancel_at_ms = s->now + soak_random(s, c->ms[0] + 100);
    }
    return c;
}

static void
submit(struct soak *s)
{
    struct call *c = new_call(s);

    if (c != NULL) {
        send_call(c, next_entry(c));
    }
}

/* Does nothing to a request that has met a fault, or that the proxy does not
 * have. */
static void
break_call(struct call *c, enum caller_fault kind)
{
    struct soak *s = c->s;
    const struct caller_fault_kind *k = &fault_kinds[kind];
    char path[64];

    snprintf(path, sizeof(path), "%s%016" PRIx64, c->prefix, c->id);
    if (has_fault(c) ||
        (k->on_connection &&
            !px_break(s->caller_proxies[c->entry], path, k->conn_fault,
                300 + (uint32_t)soak_random(s, 2700)))) {
        return;
    }
    log_fault(s, k->name, path, 0);
    add_call_fault(c, kind);
    c->fault_at_ms = 0;
    if (k->close_ms > 0) {
        c->close_at_ms = s->now + soak_random(s, k->close_ms);
    }
}

static void
close_call(struct call *c)
{
    httpc_cancel(c->req);
    c->req = NULL;
    c->close_at_ms = 0;
    c->faults[c->fault_count - 1].ms = c->s->now;
    resend_later(c);
}

static void
update_call(struct call *c)
{
    struct soak *s = c->s;

    if (c->req != NULL && c->fault_at_ms != 0 && s->now >= c->fault_at_ms &&
        s->now < s->faults_end_ms) {
        break_call(c, c->drawn);
    }
    if (c->req != NULL && c->close_at_ms != 0 && s->now >= c->close_at_ms) {
        close_call(c);
    }
    if (s->cancel_mode) {
        update_cancel(c);
    }
    if (c->resend_at_ms != 0 && s->now >= c->resend_at_ms) {
        s->runs_left += s->callers_mode && !met_unseen(c) && has_run_active(c);
        send_call(c, next_entry(c));
    }
}

static struct call *
oldest_recent(struct soak *s)
{
    return &s->calls[num_sub_sat(s->call_count, RECENT_CALLS)];
}

static void
update_callers(struct soak *s)
{
    uint64_t interval_ms = s->callers_mode ? LONG_SUBMIT_INTERVAL_MS
                                           : (uint64_t)SUBMIT_INTERVAL_MS;

    if (s->now >= s->next_submit_ms &&
        s->now + s->call_timeout_ms < s->end_ms) {
        s->next_submit_ms =
            s->now + num_min(interval_ms,
                         interval_ms * AGENTS_DEFAULT / (uint64_t)s->agents);
        submit(s);
    }
    for (struct call *c = oldest_recent(s); c < &s->calls[s->call_count];
         c++) {
        update_call(c);
    }
}

/* --- heartbeats of the workers --- */

struct announcement {
    struct soak *s;
    int i;             /* of the agent */
    uint64_t drain_ms; /* reported as draining; 0: not */
};

static void
on_announced(void *ctx, const struct httpc_result *d)
{
    struct announcement *a = ctx;

    if (d->status == HTTPC_OK && d->http_status == 200 && a->drain_ms != 0 &&
        a->s->drain_acks[a->i].drain_ms != a->drain_ms) {
        a->s->drain_acks[a->i].drain_ms = a->drain_ms;
        a->s->drain_acks[a->i].ms = a->s->now;
    }
    free(a);
}

static void
post_to_agent(struct soak *s, int i, const char *call, struct str body)
{
    static const char *const headers[] = {
        "Content-Type: application/json", NULL};
    struct announcement *a = dw_zero(1, sizeof(*a));
    char url[128];
    struct httpc_call h = {0};

    a->s = s;
    a->i = i;
    a->drain_ms = fw_drain_ms(s->workers[i]);
    snprintf(url, sizeof(url), "http://%s:%d/dunlinweir/Instances.%s/%s",
        s->procs[i].addr, port_of(&s->procs[i], PORT_AGENT_ANNOUNCE), call,
        fw_id(s->workers[i]));
    h.method = "POST";
    h.url = url;
    h.headers = headers;
    h.body = body;
    h.timeout_ms = 1000;
    h.done = on_announced;
    h.ctx = a;
    httpc_start(s->http, &h);
}

static void
announce(struct soak *s, int i)
{
    struct buf b = {0};

    fw_announce(s->workers[i], &b);
    if (b.n > 0) {
        post_to_agent(s, i, "Heartbeat", buf_str(&b));
    }
    buf_free(&b);
}

/* --- operators --- */

#define ROUTE_JSON                                                            \
    "{\"name\":\"%s\",\"hostname\":\"h.example\",\"prefix\":\"%s\","          \
    "\"service\":\"s\",\"timeout_ms\":1500,\"slo_ms\":60,\"stretch\":1.6,"    \
    "\"priority\":0,\"attempts\":%u}"

static void
write_config(struct soak *s)
{
    struct buf b = {0};

    buf_addf(&b, "{\"version\":%" PRIu64 ",\"routes\":[" ROUTE_JSON,
        ++s->version, "r", ROUTE_1, ATTEMPTS);
    if (s->has_route) {
        buf_addf(&b, "," ROUTE_JSON, "t", ROUTE_2, ATTEMPTS);
    }
    buf_addf(&b, "],\"services\":[],\"limits\":{}}");
    fs_put(s->store, "op/config", b.p);
    buf_free(&b);
}

static void
toggle_route(struct soak *s)
{
    s->has_route = !s->has_route;
    s->route_ms = s->now;
    write_config(s);
}

static void
set_withdrawn(struct soak *s, int domain, bool on)
{
    char key[32];

    snprintf(key, sizeof(key), "op/evacuate/d%d", domain);
    if (on) {
        fs_put(s->store, key, "{}");
    }
    else {
        fs_remove(s->store, key);
    }
    s->withdrawn_ms[domain] = on ? s->now : 0;
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
    s->undo[s->undo_count].at_ms =
        num_min(s->now + ms, s->faults_end_ms + FAULT_OVERRUN_MS);
    s->undo[s->undo_count].fn = fn;
    s->undo[s->undo_count++].i = i;
}

static const char *const domain_names[DOMAINS] = {"d0", "d1", "d2"};

static void
log_agent_fault(struct soak *s, const char *event, int i, uint64_t ms)
{
    log_fault(s, event, s->procs[i].name, ms);
    note_fault(&s->procs[i], ms);
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
kill_proc(struct daemon_proc *p)
{
    log_fault(p->s, "kill", p->name, 0);
    note_fault(p, 0);
    kill(p->pid, SIGKILL);
}

static void
kill_one(struct soak *s)
{
    struct daemon_proc *p = any_proc(s);

    if (p->pid > 0) {
        kill_proc(p);
    }
}

/* SIGTERM is a planned stop and no fault on the process.  Paused processes
 * receive it when they are resumed.  An entry that stops refuses jobs, so the
 * last ones are early enough to be over when all calls must complete. */
static void
term(struct daemon_proc *p)
{
    if (p->pid > 0 && p->term_ms == 0 &&
        p->s->now + STOP_BEFORE_END_MS < p->s->faults_end_ms) {
        log_fault(p->s, "term", p->name, 0);
        kill(p->pid, SIGTERM);
        p->term_ms = p->s->now;
    }
}

static void
term_one(struct soak *s)
{
    term(any_proc(s));
}

static void
pause_proc(struct daemon_proc *p, uint64_t ms)
{
    if (p->pid > 0 && p->resume_ms == 0) {
        log_fault(p->s, "pause", p->name, ms);
        note_fault(p, ms);
        kill(p->pid, SIGSTOP);
        p->resume_ms =
            num_min(p->s->now + ms, p->s->faults_end_ms + PAUSE_OVERRUN_MS);
    }
}

static uint64_t
any_pause_ms(struct soak *s)
{
    static const uint64_t longest_ms[] = {600, 600, 2500, 5000};

    return 50 + soak_random(s, longest_ms[soak_random(s, 4)]);
}

static void
pause_one(struct soak *s)
{
    pause_proc(any_proc(s), any_pause_ms(s));
}

/* Pauses several processes together, for the same time or not. */
static void
pause_group(struct soak *s)
{
    uint64_t ms = any_pause_ms(s);
    uint64_t n = 2 + soak_random(s, 3);

    for (uint64_t i = 0; i < n; i++) {
        pause_proc(any_proc(s), soak_random(s, 2) ? ms : any_pause_ms(s));
    }
}

static void
kill_later(struct soak *s, int i)
{
    if (s->procs[i].pid > 0) {
        kill_proc(&s->procs[i]);
    }
}

static void
term_later(struct soak *s, int i)
{
    term(&s->procs[i]);
}

/* Pauses a process, and kills or stops it during or right after the pause. */
static void
pause_and_stop(struct soak *s)
{
    struct daemon_proc *p = any_proc(s);
    uint64_t ms = any_pause_ms(s);
    uint64_t delay_ms =
        soak_random(s, 2) ? ms + soak_random(s, 20) : soak_random(s, ms);

    pause_proc(p, ms);
    undo_later(
        s, delay_ms, soak_random(s, 2) ? kill_later : term_later, p->index);
}

static void
undo_withdrawn(struct soak *s, int domain)
{
    if (s->now < s->faults_end_ms) {
        set_withdrawn(s, domain, false);
    }
}

/* Withdraws a domain unless another one is withdrawn, after the faults until
 * the end of the test. */
static void
withdraw_domain(struct soak *s)
{
    int domain = (int)soak_random(s, DOMAINS);
    uint64_t ms = 1000 + soak_random(s, 7000);

    for (int i = 0; i < DOMAINS; i++) {
        if (s->withdrawn_ms[i] != 0 || s->agents < DOMAINS) {
            return;
        }
    }
    log_fault(s, "withdraw", domain_names[domain], ms);
    set_withdrawn(s, domain, true);
    undo_later(s, ms, undo_withdrawn, domain);
}

static void
reload_one(struct soak *s)
{
    struct daemon_proc *p = any_proc(s);

    if (p->pid > 0) {
        kill(p->pid, SIGHUP);
    }
}

/* Configuration changes in a row, with or without a signal. */
static void
change_configs(struct soak *s)
{
    uint64_t n = 1 + soak_random(s, 4);

    log_fault(s, "configs", "", n);
    for (uint64_t i = 0; i < n; i++) {
        toggle_route(s);
        reload_one(s);
    }
    if (soak_random(s, 3) == 0) {
        term_one(s);
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
    s->store_fault_end_ms = num_max(s->store_fault_end_ms, s->now + ms);
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

    log_agent_fault(s, mode_names[mode], i, ms);
    px_set_mode(s->proxies[i], mode);
    undo_later(s, ms, undo_proxy, i);
}

static void
link_reset(struct soak *s)
{
    int i = any_agent(s);

    log_agent_fault(s, "reset", i, 0);
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
    note_fault(p, ms);
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
        kill_proc(p);
    }
}

static void
replay_heartbeat(struct soak *s, int i)
{
    post_to_agent(s, i, "Heartbeat", buf_str(&s->old_heartbeats[i]));
}

/* The worker restarts under its id, at times almost at once; a delayed
 * heartbeat of the former incarnation arrives later. */
static void
restart_worker(struct soak *s, int i)
{
    bool quick = soak_random(s, 2) != 0 || s->now > s->faults_end_ms;
    uint32_t ms = 1 + (uint32_t)soak_random(s, quick ? 20 : 1500);

    log_agent_fault(s, "worker_crash", i, ms);
    buf_free(&s->old_heartbeats[i]);
    fw_announce(s->workers[i], &s->old_heartbeats[i]);
    if (s->old_heartbeats[i].n > 0) {
        undo_later(s, ms + soak_random(s, 1000), replay_heartbeat, i);
    }
    px_reset(s->worker_proxies[i]);
    fw_crash(s->workers[i], s->now, ms);
}

static void
worker_crash(struct soak *s)
{
    restart_worker(s, any_agent(s));
}

static void
leave_worker(struct soak *s, int i)
{
    if (fw_drain_ms(s->workers[i]) != 0) {
        post_to_agent(s, i, "Deregister", STR("{}"));
        restart_worker(s, i);
    }
}

static void
worker_drain(struct soak *s)
{
    int i = any_agent(s);
    uint32_t ms = (uint32_t)num_min(1000 + soak_random(s, 5000),
        s->faults_end_ms + PAUSE_OVERRUN_MS - s->now);

    if (fw_drain_ms(s->workers[i]) == 0) {
        log_fault(s, "worker_drain", s->procs[i].name, ms);
        fw_drain(s->workers[i], ms);
        undo_later(s, ms, leave_worker, i);
    }
}

static void
undo_worker(struct soak *s, int i)
{
    fw_set_loss(s->workers[i], 0, 0);
    fw_set_late_stops(s->workers[i], false);
    fw_set_refusals(s->workers[i], 0);
    fw_set_slowdown(s->workers[i], 1);
    px_set_cut(s->worker_proxies[i], 0);
}

static void
worker_lossy(struct soak *s)
{
    int i = any_agent(s);
    uint64_t ms = 500 + soak_random(s, 3000);

    log_agent_fault(s, "worker_lossy", i, ms);
    fw_set_loss(s->workers[i], (uint32_t)soak_random(s, 150),
        (uint32_t)soak_random(s, 100));
    undo_later(s, ms, undo_worker, i);
}

static void
worker_slow(struct soak *s)
{
    int i = any_agent(s);
    uint64_t ms = 500 + soak_random(s, 3000);

    log_agent_fault(s, "worker_slow", i, ms);
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

    log_agent_fault(s, "worker_unhealthy", i, ms);
    fw_set_refusals(s->workers[i], (uint32_t)soak_random(s, 700));
    px_set_cut(s->worker_proxies[i], (uint32_t)soak_random(s, 8));
    undo_later(s, ms, undo_worker, i);
}

static void
worker_reset(struct soak *s)
{
    int i = any_agent(s);

    log_agent_fault(s, "worker_reset", i, 0);
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

    log_agent_fault(s, "worker_cut", i, ms);
    px_set_mode(s->worker_proxies[i], mode);
    if (soak_random(s, 2)) {
        px_reset(s->worker_proxies[i]);
    }
    undo_later(s, ms, undo_worker_proxy, i);
}

static void
pause_agents(struct soak *s, int i)
{
    (void)i;
    for (int k = 0; k < s->agents; k++) {
        pause_proc(&s->procs[k], GRACE_MS);
    }
}

/* Stops an entry, and pauses all agents while it still accepts jobs: some of
 * these have begun and wait when the grace ends. */
static void
stop_without_agents(struct soak *s)
{
    term(&s->procs[s->agents + (int)soak_random(s, (uint64_t)s->entries)]);
    undo_later(s, 500 + soak_random(s, 1000), pause_agents, 0);
    s->next_fault_ms = s->now + GRACE_MS + STOP_BEFORE_END_MS;
}

/* All callers of an entry lose their connections. */
static void
break_callers(struct soak *s)
{
    static const enum caller_fault kinds[] = {
        FAULT_RESET, FAULT_UNSEEN_CLOSE, FAULT_LATE_CLOSE};
    enum caller_fault kind = any_call_fault(s, kinds, 3);
    int entry = any_entry(s);

    log_fault(s, "break_callers", s->procs[s->agents + entry].name, 0);
    for (struct call *c = oldest_recent(s); c < &s->calls[s->call_count];
         c++) {
        if (c->req != NULL && c->entry == entry) {
            break_call(c, kind);
        }
    }
}

/* Callers submit long jobs to an entry, and close within ms. */
static void
submit_and_close(
    struct soak *s, int entry, uint64_t ms, enum caller_fault kind)
{
    uint64_t n = 2 + soak_random(s, 5);

    for (uint64_t i = 0; i < n; i++) {
        struct call *c = new_call(s);

        if (c == NULL) {
            return;
        }
        draw_long_tasks(c);
        send_call(c, entry);
        c->drawn = kind;
        c->fault_at_ms = s->now + 10 + soak_random(s, ms - 10);
    }
}

/* An entry reads requests after their callers have left. */
static void
close_in_pause(struct soak *s)
{
    int entry = any_entry(s);
    uint64_t ms = 300 + soak_random(s, 2700);

    pause_proc(&s->procs[s->agents + entry], ms);
    submit_and_close(s, entry, ms, FAULT_CLOSE_IN_PAUSE);
}

/* For some seconds an entry gets a tenth of a processor, or less. */
static void
slow_entry(struct soak *s)
{
    int entry = any_entry(s);
    struct daemon_proc *p = &s->procs[s->agents + entry];
    uint64_t ms = 500 + soak_random(s, 4500);

    log_fault(s, "slow", p->name, ms);
    note_fault(p, ms);
    p->slow_period_ms =
        soak_random(s, 2) ? SLOW_PERIOD_MS : SLOW_LONG_PERIOD_MS;
    p->slow_from_ms = s->now;
    p->slow_end_ms = num_min(s->now + ms, s->faults_end_ms + PAUSE_OVERRUN_MS);
    submit_and_close(s, entry, ms, FAULT_CLOSE_AT_SLOW);
}

static struct call *
any_running_long_call(struct soak *s)
{
    struct call *found = NULL;
    uint64_t n = 0;

    for (struct call *c = oldest_recent(s); c < &s->calls[s->call_count];
         c++) {
        if (c->req != NULL && c->ms[0] >= LONG_MIN_MS && has_run_active(c) &&
            soak_random(s, ++n) == 0) {
            found = c;
        }
    }
    return found;
}

/* A caller loses its connection, and all that ends its runs takes as long as
 * it may: the entry is paused, but its sessions with the agents last, and the
 * workers carry stops out late, so that their lease has to run out. */
static void
late_stop(struct soak *s)
{
    struct call *c = any_running_long_call(s);

    if (c == NULL) {
        return;
    }
    pause_proc(&s->procs[s->agents + c->entry],
        SESSION_PAUSE_MS - soak_random(s, 150));
    for (int i = 0; i < s->agents; i++) {
        for (uint32_t k = 0; k < c->tasks; k++) {
            if (fw_is_running(s->workers[i], c->id, k)) {
                log_agent_fault(s, "late_stop", i, LATE_STOP_MS);
                fw_set_late_stops(s->workers[i], true);
                undo_later(s, LATE_STOP_MS, undo_worker, i);
            }
        }
    }
    break_call(c, FAULT_LATE_STOP);
}

static void
kill_entry(struct soak *s)
{
    struct daemon_proc *p = &s->procs[s->agents + any_entry(s)];

    if (p->pid > 0) {
        kill_proc(p);
    }
}

static void
pause_entry(struct soak *s)
{
    pause_proc(&s->procs[s->agents + any_entry(s)], any_pause_ms(s));
}

typedef void (*fault_fn)(struct soak *s);

static const fault_fn caller_faults[] = {break_callers, close_in_pause,
    close_in_pause, slow_entry, slow_entry, late_stop, late_stop, pause_entry,
    kill_entry};

static const fault_fn worker_faults[] = {worker_crash, worker_drain,
    worker_lossy, worker_slow, worker_unhealthy, worker_unhealthy,
    worker_reset, worker_cut};

static const fault_fn faults[] = {kill_one, term_one, pause_one, pause_one,
    pause_group, pause_and_stop, withdraw_domain, change_configs, worker_drain,
    reload_one, store_unreachable, link_fault, link_fault, link_reset,
    store_cut, start_without_store, worker_crash, worker_lossy, worker_slow,
    worker_unhealthy, worker_unhealthy, worker_reset, worker_cut};

/* A domain is withdrawn while no entry reaches the store; the agents do. */
static void
withdraw_unheard(struct soak *s)
{
    uint64_t ms = 4000 + soak_random(s, 3000);

    for (int i = 0; i < s->entries; i++) {
        struct daemon_proc *p = &s->procs[s->agents + i];

        note_fault(p, ms);
        px_set_mode(s->store_proxies[p->index], PROXY_SILENT);
        px_reset(s->store_proxies[p->index]);
        undo_later(s, ms, undo_store_proxy, p->index);
    }
    withdraw_domain(s);
    s->next_fault_ms = s->now + ms + CONTACT_MS;
}

static void
inject_fault(struct soak *s)
{
    if (s->withdraw_mode) {
        withdraw_unheard(s);
        return;
    }
    if (s->stop_mode) {
        stop_without_agents(s);
        return;
    }
    if (s->worker_mode && soak_random(s, 8) != 0) {
        worker_faults[soak_random(
            s, sizeof(worker_faults) / sizeof(worker_faults[0]))](s);
        return;
    }
    if (s->seen_only && soak_random(s, 2) != 0) {
        late_stop(s);
        return;
    }
    if (s->callers_mode && soak_random(s, 2) != 0) {
        caller_faults[soak_random(
            s, sizeof(caller_faults) / sizeof(caller_faults[0]))](s);
        return;
    }
    faults[soak_random(s, sizeof(faults) / sizeof(faults[0]))](s);
}

/* Injects a fault every 0.2 to 1 s, or more often with worker_mode (four
 * times) and callers_mode (twice), so that faults overlap, and clears those
 * whose time is up. */
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
    if (s->now >= s->faults_end_ms) {
        withdraw_domain(s);
    }
    else if (s->now >= s->next_fault_ms) {
        s->next_fault_ms =
            s->now + (200 + soak_random(s, 800)) / s->fault_rate;
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
    p->is_agent = is_agent;
    p->number = number;
    snprintf(p->addr, sizeof(p->addr), "127.0.0.%d",
        1 + (is_agent ? number / AGENT_GROUP : 0));
    s->store_proxies[p->index] = px_new(s->loop, p->addr,
        (uint16_t)store_port(p), (uint16_t)(s->base + PORT_STORE), false);
    snprintf(p->name, sizeof(p->name), "%c%d", is_agent ? 'a' : 'e', number);
    start_proc(p);
}

static void
add_agent(struct soak *s, int i)
{
    struct daemon_proc *p = &s->procs[i];
    char host[48];

    add_proc(s, true, i);
    snprintf(
        host, sizeof(host), "%s:%d", p->addr, port_of(p, PORT_WORKER_PROXY));
    s->workers[i] = fw_new(s, s->worker_server, host, &worker_events, s);
    s->worker_proxies[i] =
        px_new(s->loop, p->addr, (uint16_t)port_of(p, PORT_WORKER_PROXY),
            (uint16_t)(s->base + PORT_WORKERS), false);
    s->proxies[i] =
        px_new(s->loop, p->addr, (uint16_t)port_of(p, PORT_AGENT_PROXY),
            (uint16_t)port_of(p, PORT_AGENT_LINK), true);
}

static void
set_up(struct soak *s)
{
    /* The default loop reaps child processes itself. */
    s->loop = ev_loop_new(0);
    s->http = httpc_new(s->loop, 100 + (uint32_t)s->agents);
    s->store = fs_new(s->loop, (uint16_t)(s->base + PORT_STORE),
        PORT_AGENT_PROXY - PORT_AGENT_LINK);
    write_config(s);
    s->worker_server =
        fw_server_new(s->loop, (uint16_t)(s->base + PORT_WORKERS));
    for (int i = 0; i < s->agents; i++) {
        add_agent(s, i);
    }
    for (int i = 0; i < s->entries; i++) {
        add_proc(s, false, i);
    }
    for (int i = 0; s->callers_mode && i < s->entries; i++) {
        s->caller_proxies[i] = px_new(s->loop, "127.0.0.1",
            (uint16_t)(s->base + PORT_CALLER_PROXY + i),
            (uint16_t)(s->base + PORT_ENTRY_CALLERS + i), false);
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
check_fault_free(struct soak *s, size_t *completed, size_t *failed)
{
    uint64_t fault_free_from = s->faults_end_ms + FAULT_FREE_MS - 2000;

    for (size_t i = 0; i < s->call_count; i++) {
        const struct call *c = &s->calls[i];

        *completed += c->completed;
        *failed += c->failed;
        if (c->arrival_ms >= fault_free_from && !c->completed && !c->failed &&
            !c->cancel_sent && strcmp(c->prefix, ROUTE_1) == 0) {
            char text[120];

            snprintf(text, sizeof(text),
                "job %016" PRIx64 " did not complete after the faults", c->id);
            report_violation(s, text);
        }
    }
}

/* What callers met, and how many jobs had a task run twice at a time after
 * this and nothing else. */
static void
print_call_fault_counts(const struct soak *s)
{
    for (int i = 0; i < FAULT_KINDS; i++) {
        printf("%s: %" PRIu64 ", %" PRIu64 " jobs ran twice\n",
            fault_kinds[i].name, s->call_faults[i], s->jobs_twice[i]);
    }
    printf("several or none: %" PRIu64 " jobs ran twice\n"
           "of all, after no unseen close: %" PRIu64 " jobs ran twice\n"
           "after no unseen close: %" PRIu64 " still ran when sent again\n",
        s->jobs_twice_other, s->jobs_twice_seen, s->runs_left);
}

int
main(int argc, char **argv)
{
    struct soak *s = dw_zero(1, sizeof(*s));
    int seed = 1;
    int seconds = 10;
    int worker_mode = 0;
    int stop_mode = 0;
    int callers_mode = 0;
    int seen_only = 0;
    int cancel_mode = 0;
    int withdraw_mode = 0;
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
        {"base", 'p', POPT_ARG_INT, &s->base, 0, "first of 600 ports", "N"},
        {"dir", 'd', POPT_ARG_STRING, &dir, 0,
            "directory of settings and logs", "DIR"},
        {"bin", 'b', POPT_ARG_STRING, &bin, 0, "dunlinweird program", "FILE"},
        {"workers", 'w', POPT_ARG_NONE, &worker_mode, 0,
            "most faults are on workers", NULL},
        {"stops", 'x', POPT_ARG_NONE, &stop_mode, 0,
            "stop entries while no agent serves", NULL},
        {"callers", 'c', POPT_ARG_NONE, &callers_mode, 0,
            "long tasks; most faults are on callers and entries", NULL},
        {"seen", 'n', POPT_ARG_NONE, &seen_only, 0,
            "with -c: entries see each close of a caller", NULL},
        {"cancels", 'k', POPT_ARG_NONE, &cancel_mode, 0,
            "cancel some calls, at any entry", NULL},
        {"withdrawals", 'o', POPT_ARG_NONE, &withdraw_mode, 0,
            "withdraw domains while no entry reaches the store", NULL},
        {"verbose", 'v', POPT_ARG_NONE, &verbose, 0, "print the faults", NULL},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext ctx =
        poptGetContext("soak", argc, (const char **)argv, options, 0);
    size_t completed = 0;
    size_t failed = 0;

    s->entries = 2;
    s->agents = AGENTS_DEFAULT;
    s->base = 24000;
    if (poptGetNextOpt(ctx) < -1 || dir == NULL || bin == NULL ||
        s->agents < 1 || s->agents > SOAK_AGENTS_MAX || s->entries < 1 ||
        s->entries > SOAK_ENTRIES_MAX) {
        poptPrintUsage(ctx, stderr, 0);
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    s->random = mix64((uint64_t)seed, 1);
    s->verbose = verbose != 0;
    s->worker_mode = worker_mode != 0;
    s->stop_mode = stop_mode != 0;
    s->callers_mode = callers_mode != 0;
    s->seen_only = seen_only != 0;
    s->cancel_mode = cancel_mode != 0;
    s->withdraw_mode = withdraw_mode != 0;
    s->fault_rate = s->worker_mode ? 4 : s->callers_mode ? 2 : 1;
    s->call_timeout_ms =
        s->callers_mode ? LONG_CALL_TIMEOUT_MS : CALL_TIMEOUT_MS;
    s->bin = bin;
    snprintf(s->dir, sizeof(s->dir), "%s", dir);
    s->epoch_ms = s->now = clock_ms();
    s->faults_end_ms = s->now + STARTUP_MS + (uint64_t)seconds * 1000;
    s->end_ms = s->faults_end_ms + FAULT_FREE_MS + s->call_timeout_ms;
    set_up(s);
    ev_run(s->loop, 0);
    stop_all(s);
    check_fault_free(s, &completed, &failed);
    if (s->callers_mode) {
        print_call_fault_counts(s);
    }
    if (s->cancel_mode) {
        printf("%" PRIu64 " cancels acknowledged\n", s->cancels);
    }
    printf("seed %d: %" PRIu64
           " faults, %zu calls, %zu completed, %zu failed, "
           "%" PRIu64 " starts, %" PRIu64 " violations\n",
        seed, s->faults, s->call_count, completed, failed, s->starts,
        s->violations);
    return s->violations == 0 ? 0 : 1;
}
