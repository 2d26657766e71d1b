/* The deployment, its clients and the checks; see stage.h. */
#include "stage.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <errno.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "../num.h"

#define TICK_S 0.005
/* From the start of the machines to the start of the traffic. */
#define STARTUP_MS 10000U
#define HEARTBEAT_MS 1500U
/* The usual load: one job of two tasks of 200 ms each. */
#define ORDINARY_INTERVAL_MS 60U
#define ORDINARY_TASKS 2
#define ORDINARY_RUN_MS 200U
#define ORDINARY_DEADLINE_MS 2300U
/* After a loss of power: "machines and servers come back within 1.5 s". */
#define RUNNER_BACK_MS 200U
#define PROCESS_BACK_MS 1000U
/* No new job so long before the end. */
#define SETTLE_MS 3000U

/* Ports, the same on all machines. */
enum {
    PORT_LINK = 7720,
    PORT_FRONT = 8161,
    PORT_APP = 8165,
    PORT_CONTROL = 8166,
    PORT_READY = 8167,
    PORT_METRICS = 9464
};

/* The stand-in carries an unanswered order out 2,000 ms and up to LATE_DELAYS
 * later; "2 to 12 s later". */
#define LATE_DELAYS 6000U
#define LATE_DELAY_MS 2700U

static const char *const zones[] = {"lautoka-a", "nadi-b", "ba-c"};

static uint64_t
clock_ms(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

static int64_t
traffic_ms(const struct stage *s)
{
    return (int64_t)s->now - (int64_t)s->epoch_ms;
}

void
st_record(struct stage *s, const char *format, ...)
{
    va_list ap;

    fprintf(s->record, "%8" PRId64 " ", traffic_ms(s));
    va_start(ap, format);
    vfprintf(s->record, format, ap);
    va_end(ap);
    fputc('\n', s->record);
}

/* The stand-in for runners uses it for stops that take a while, for the delay
 * of late orders and for chances. */
uint64_t
soak_random(struct soak *soak, uint64_t below)
{
    struct stage *s = (struct stage *)soak;

    if (below == LATE_DELAYS) {
        return LATE_DELAY_MS - 2000;
    }
    s->random = mix64(s->random, 0x9e3779b97f4a7c15U);
    return below > 0 ? s->random % below : 0;
}

/* --- processes --- */

static void
put_name(const struct machine *m, FILE *out, const char *name)
{
    const struct stage *s = m->s;

    if (strcmp(name, "node_name") == 0) {
        fputs(m->name, out);
    }
    else if (strcmp(name, "zone") == 0) {
        fputs(m->zone, out);
    }
    else if (strcmp(name, "ip") == 0) {
        fputs(m->ip, out);
    }
    else if (strcmp(name, "port_range.0") == 0) {
        fprintf(out, "%d", PORT_LINK);
    }
    else if (strcmp(name, "platform.address") == 0) {
        fprintf(out, "127.0.0.1:%u", s->store_port);
    }
    else if (strcmp(name, "listen.front") == 0) {
        fprintf(out, "%s:%d", m->ip, PORT_FRONT);
    }
    else if (strcmp(name, "listen.ready") == 0) {
        fprintf(out, "%s:%d", m->ip, PORT_READY);
    }
    else if (strcmp(name, "listen.control") == 0) {
        fprintf(out, "%s:%d", m->ip, PORT_CONTROL);
    }
    else if (strcmp(name, "app") == 0) {
        fprintf(out, "%s:%d", m->ip, PORT_APP);
    }
    else if (strcmp(name, "service") == 0) {
        fputs("s", out);
    }
    else if (strcmp(name, "bounds.grace_s") == 0) {
        fprintf(out, "%u", GRACE_MS / 1000);
    }
    else if (strcmp(name, "bounds.retransmit_ms") == 0) {
        fprintf(out, "%u", RETRANSMIT_MS);
    }
    else {
        fprintf(stderr, "stage: no value for {{%s}}\n", name);
        exit(2);
    }
}

/* Fills in a template of deploy/, as the platform does. */
static void
write_settings(const struct machine *m, const char *path)
{
    const char *template =
        m->is_agent ? "deploy/agent.toml" : "deploy/entry.toml";
    FILE *in = fopen(template, "re");
    FILE *out = fopen(path, "we");
    char line[512];

    if (in == NULL || out == NULL) {
        fprintf(stderr, "stage: %s: %s\n", in == NULL ? template : path,
            strerror(errno));
        exit(2);
    }
    while (fgets(line, sizeof(line), in) != NULL) {
        char *at = line;
        char *open;

        while ((open = strstr(at, "{{")) != NULL) {
            char *close = strstr(open, "}}");

            if (close == NULL) {
                break;
            }
            *open = *close = '\0';
            fputs(at, out);
            put_name(m, out, open + 2);
            at = close + 2;
        }
        fputs(at, out);
    }
    fclose(in);
    fclose(out);
}

static void
start_machine(struct machine *m)
{
    struct stage *s = m->s;
    char path[512];
    char log[512];

    snprintf(path, sizeof(path), "%s/%s.toml", s->dir, m->name);
    snprintf(log, sizeof(log), "%s/%s.log", s->dir, m->name);
    write_settings(m, path);
    m->restart_ms = 0;
    m->pid = fork();
    if (m->pid == 0) {
        /* Also if this process fails or is killed. */
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (freopen(log, "ae", stdout) == NULL ||
            dup2(STDOUT_FILENO, STDERR_FILENO) < 0) {
            _exit(127);
        }
        setenv("DUNLINWEIR_BOOT", path, 1);
        execl(s->bin, s->bin, (char *)NULL);
        _exit(127);
    }
}

static void
update_machine(struct machine *m)
{
    int status;

    if (m->pid > 0 && waitpid(m->pid, &status, WNOHANG) == m->pid) {
        st_record(
            m->s, "process %s ended by itself, status %d", m->name, status);
        m->s->crashed = true;
        m->pid = 0;
        m->restart_ms = m->s->now + 500;
    }
    if (m->pid == 0 && m->restart_ms != 0 && m->s->now >= m->restart_ms) {
        st_record(m->s, "process %s is started again", m->name);
        start_machine(m);
    }
}

void
st_kill(struct stage *s, struct machine *m, uint32_t down_ms)
{
    st_record(s, "process %s is killed, down for %u ms", m->name, down_ms);
    kill(m->pid, SIGKILL);
    waitpid(m->pid, NULL, 0);
    m->pid = 0;
    m->restart_ms = s->now + down_ms;
}

void
st_zone_loss(struct stage *s, int zone, uint32_t for_ms)
{
    st_record(s, "zone %s loses power for %u ms", zones[zone], for_ms);
    for (int i = 0; i < STAGE_ENTRIES; i++) {
        if (st_zone_of(i) == zone) {
            st_kill(s, &s->entries[i], for_ms + PROCESS_BACK_MS);
        }
    }
    for (int i = 0; i < STAGE_AGENTS; i++) {
        if (st_zone_of(i) == zone) {
            st_kill(s, &s->agents[i], for_ms + PROCESS_BACK_MS);
            px_reset(s->worker_proxies[i]);
            fw_crash(s->workers[i], s->now, for_ms + RUNNER_BACK_MS);
        }
    }
}

/* --- jobs --- */

struct job *
st_add_job(
    struct stage *s, uint32_t tasks, uint32_t run_ms, uint32_t deadline_ms)
{
    struct job *j = &s->jobs[s->job_count];

    if (s->job_count == STAGE_JOBS_MAX) {
        fprintf(stderr, "stage: too many jobs\n");
        exit(2);
    }
    j->s = s;
    j->id = ((soak_random((struct soak *)s, 0xffffffff) + 1) << 32) |
            s->job_count++;
    j->tasks = tasks;
    j->run_ms = run_ms;
    j->deadline_ms = deadline_ms;
    return j;
}

static struct job *
find_job(struct stage *s, uint64_t id)
{
    uint64_t i = id & 0xffffffff;

    return i < s->job_count && s->jobs[i].id == id ? &s->jobs[i] : NULL;
}

static void
on_post_answer(void *ctx, const struct httpc_result *d)
{
    struct job *j = ctx;

    j->request = NULL;
    j->answers++;
    j->answered_ms = j->s->now;
    j->status = d->status == HTTPC_OK ? d->http_status : 0;
    if (j->status == 200 && d->body.p != NULL &&
        strstr(d->body.p, "\"completed\"") != NULL) {
        j->completed = true;
    }
    if (!j->ordinary || j->status != 200) {
        st_record(j->s, "POST %016" PRIx64 " answered: %ld %.*s", j->id,
            j->status, (int)d->body.n, d->body.n > 0 ? d->body.p : "");
    }
}

static void
on_delete_answer(void *ctx, const struct httpc_result *d)
{
    struct job *j = ctx;
    long status = d->status == HTTPC_OK ? d->http_status : 0;

    st_record(j->s, "DELETE %016" PRIx64 " answered: %ld", j->id, status);
    j->cancel_status = status;
    if (j->cancel_ack_ms == 0 &&
        ((status >= 200 && status < 300) || status == 410)) {
        j->cancel_ack_ms = j->s->now;
    }
}

static struct httpc_req *
send_request(struct stage *s, struct job *j, int entry, const char *method,
    struct str body, httpc_done_fn done)
{
    char url[160];
    char deadline[64];
    const char *headers[] = {"Host: orders.example",
        "Content-Type: application/json", deadline, NULL};
    struct httpc_call h = {0};

    snprintf(url, sizeof(url), "http://%s:%d/q/%016" PRIx64,
        s->entries[entry].ip, PORT_FRONT, j->id);
    snprintf(
        deadline, sizeof(deadline), "Deadline-Remaining: %u", j->deadline_ms);
    h.method = method;
    h.url = url;
    h.headers = headers;
    h.body = body;
    h.timeout_ms = j->deadline_ms;
    h.connect_timeout_ms = 1000;
    h.done = done;
    h.ctx = j;
    return httpc_start(s->http, &h);
}

void
st_post(struct stage *s, struct job *j, int entry)
{
    char body[256];

    snprintf(body, sizeof(body),
        "{\"task_spec\":\"x\",\"best_effort\":true,\"steps\":[{\"count\":%u,"
        "\"cpu\":2000,\"mem_mb\":10,\"est_runtime_ms\":%u}]}",
        j->tasks, j->run_ms);
    j->sent_ms = j->posts == 0 ? s->now : j->sent_ms;
    j->posts++;
    if (!j->ordinary) {
        st_record(s, "POST %016" PRIx64 " sent to %s (%u. time)", j->id,
            s->entries[entry].name, j->posts);
    }
    j->request =
        send_request(s, j, entry, "POST", str_of(body), on_post_answer);
}

void
st_delete(struct stage *s, struct job *j, int entry)
{
    st_record(
        s, "DELETE %016" PRIx64 " sent to %s", j->id, s->entries[entry].name);
    j->cancel_sent_ms = s->now;
    send_request(s, j, entry, "DELETE", STR(""), on_delete_answer);
}

void
st_leave(struct stage *s, struct job *j)
{
    if (j->request != NULL) {
        st_record(s, "the connection of POST %016" PRIx64 " is closed", j->id);
        httpc_cancel(j->request);
        j->request = NULL;
    }
}

static void
send_ordinary(struct stage *s)
{
    struct job *j;

    if (s->now < s->next_ordinary_ms ||
        s->now + SETTLE_MS > s->epoch_ms + s->scenario->length_ms) {
        return;
    }
    s->next_ordinary_ms = s->now + ORDINARY_INTERVAL_MS;
    /* The platform forwards nothing to a daemon that is down. */
    s->turn = (s->turn + 1) % STAGE_ENTRIES;
    for (int i = 0; i < STAGE_ENTRIES && s->entries[s->turn].pid == 0; i++) {
        s->turn = (s->turn + 1) % STAGE_ENTRIES;
    }
    j = st_add_job(s, ORDINARY_TASKS, ORDINARY_RUN_MS, ORDINARY_DEADLINE_MS);
    j->ordinary = true;
    st_post(s, j, s->turn);
}

/* --- what the runners see --- */

static int
index_of(const struct stage *s, const struct fake_worker *w)
{
    int i = 0;

    while (s->workers[i] != w) {
        i++;
    }
    return i;
}

static void
on_start(void *ctx, struct fake_worker *w, const struct fw_run *r)
{
    struct stage *s = ctx;
    struct job *j = find_job(s, r->job);
    int me = index_of(s, w);

    if (j == NULL) {
        st_record(s, "BROKEN: a task of an unknown job starts");
        s->not_run_but_started++;
        return;
    }
    j->starts++;
    if (j->first_start_ms == 0) {
        j->first_start_ms = s->now;
    }
    if (!j->ordinary) {
        st_record(s,
            "task %016" PRIx64 ".0.0.%u run %" PRIu64 " starts on runner %d%s",
            r->job, r->index, r->run, me,
            r->unanswered ? " (an order without an answer)" : "");
    }
    for (int i = 0; i < STAGE_AGENTS; i++) {
        if (i != me && fw_is_running(s->workers[i], r->job, r->index)) {
            s->twice++;
            st_record(s,
                "BROKEN: task %016" PRIx64
                ".0.0.%u is at work on runner %d as well",
                r->job, r->index, i);
        }
    }
    if (j->cancel_ack_ms != 0 && s->now > j->cancel_ack_ms + CANCEL_MS) {
        j->starts_after_cancel++;
        j->on[r->index % STAGE_TASKS_MAX] = true; /* counted here */
        st_record(s,
            "BROKEN: task %016" PRIx64 ".0.0.%u starts %" PRIu64
            " ms after its job's cancelling was acknowledged",
            r->job, r->index, s->now - j->cancel_ack_ms);
    }
    if (s->scenario->started != NULL) {
        s->scenario->started(s, j, me, r);
    }
}

static void
on_end(void *ctx, struct fake_worker *w, const struct fw_run *r,
    const char *outcome)
{
    struct stage *s = ctx;
    const struct job *j = find_job(s, r->job);

    if (j == NULL || !j->ordinary) {
        st_record(s,
            "task %016" PRIx64 ".0.0.%u run %" PRIu64 " ends on runner %d: %s",
            r->job, r->index, r->run, index_of(s, w), outcome);
    }
}

static uint32_t
run_time_ms(void *ctx, uint64_t job, uint32_t index)
{
    const struct job *j = find_job(ctx, job);

    (void)index;
    return j != NULL ? j->run_ms : ORDINARY_RUN_MS;
}

static bool
run_fails(void *ctx, uint64_t job)
{
    (void)ctx;
    (void)job;
    return false;
}

static void
on_violation(void *ctx, const char *what)
{
    st_record(ctx, "note: %s", what);
}

static const struct fw_events worker_events = {
    on_start, on_end, run_time_ms, run_fails, on_violation};

static bool
at_work(const struct stage *s, const struct job *j, uint32_t index)
{
    for (int i = 0; i < STAGE_AGENTS; i++) {
        if (fw_is_running(s->workers[i], j->id, index)) {
            return true;
        }
    }
    return false;
}

/* UNASKED: no task runs on stop_ms after cancel_ms after the
 * acknowledgement. */
static void
check_cancelled(struct stage *s, struct job *j)
{
    uint64_t over_ms = j->cancel_ack_ms + CANCEL_MS + STOP_MS;

    if (j->cancel_ack_ms == 0 || s->now <= over_ms) {
        return;
    }
    for (uint32_t i = 0; i < j->tasks; i++) {
        if (!j->on[i] && at_work(s, j, i)) {
            j->on[i] = true;
            j->runs_on++;
            st_record(s,
                "BROKEN: task %016" PRIx64 ".0.0.%u is at work %" PRIu64
                " ms after its job's cancelling was acknowledged",
                j->id, i, s->now - j->cancel_ack_ms);
        }
    }
}

/* --- heartbeats --- */

static void
on_beat_answer(void *ctx, const struct httpc_result *d)
{
    (void)ctx;
    (void)d;
}

void
st_send_heartbeat(struct stage *s, int agent, const char *id, struct str body)
{
    static const char *const headers[] = {
        "Content-Type: application/json", NULL};
    char url[200];
    struct httpc_call h = {0};

    snprintf(url, sizeof(url),
        "http://%s:%d/dunlinweir/Instances.Heartbeat/%s", s->agents[agent].ip,
        PORT_CONTROL, id);
    h.method = "POST";
    h.url = url;
    h.headers = headers;
    h.body = body;
    h.timeout_ms = 1000;
    h.done = on_beat_answer;
    httpc_start(s->http, &h);
}

static void
send_beat(struct stage *s, int i)
{
    struct buf b = {0};

    fw_announce(s->workers[i], &b);
    if (b.n > 0) {
        st_send_heartbeat(s, i, fw_id(s->workers[i]), buf_str(&b));
    }
    buf_free(&b);
}

/* --- the loop --- */

static void
on_tick(struct ev_loop *loop, ev_timer *t, int revents)
{
    struct stage *s = t->data;

    (void)revents;
    s->now = clock_ms();
    fs_tick(s->store, s->now);
    for (int i = 0; i < STAGE_AGENTS; i++) {
        fw_tick(s->workers[i], s->now);
        update_machine(&s->agents[i]);
    }
    for (int i = 0; i < STAGE_ENTRIES; i++) {
        update_machine(&s->entries[i]);
    }
    if (s->now >= s->next_beat_ms) {
        s->next_beat_ms = s->now + HEARTBEAT_MS;
        for (int i = 0; i < STAGE_AGENTS; i++) {
            send_beat(s, i);
        }
    }
    if (s->now >= s->epoch_ms) {
        send_ordinary(s);
        s->scenario->tick(s, s->now - s->epoch_ms);
        for (size_t i = 0; i < s->job_count; i++) {
            check_cancelled(s, &s->jobs[i]);
        }
    }
    if (s->now >= s->epoch_ms + s->scenario->length_ms) {
        ev_break(loop, EVBREAK_ALL);
    }
}

static bool
can_bind(const char *ip, uint16_t port, uint16_t *chosen)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    struct sockaddr_in sa = {0};
    socklen_t n = sizeof(sa);
    bool ok;

    sa.sin_family = AF_INET;
    sa.sin_port = htons(port);
    inet_pton(AF_INET, ip, &sa.sin_addr);
    ok = fd >= 0 && bind(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0 &&
         getsockname(fd, (struct sockaddr *)&sa, &n) == 0;
    if (ok && chosen != NULL) {
        *chosen = ntohs(sa.sin_port);
    }
    if (fd >= 0) {
        close(fd);
    }
    return ok;
}

/* All machines of the network 127.NET.0.0 have their ports free. */
static bool
is_free(unsigned net)
{
    static const uint16_t ports[] = {PORT_LINK, PORT_FRONT, PORT_APP,
        PORT_CONTROL, PORT_READY, PORT_METRICS};
    char ip[20];

    for (unsigned zone = 1; zone <= 3; zone++) {
        for (unsigned i = 1; i <= 1 + STAGE_AGENTS; i++) {
            snprintf(ip, sizeof(ip), "127.%u.%u.%u", net, zone, i);
            for (size_t k = 0; k < sizeof(ports) / sizeof(ports[0]); k++) {
                if (!can_bind(ip, ports[k], NULL)) {
                    return false;
                }
            }
        }
    }
    return true;
}

static void
init_machine(
    struct stage *s, struct machine *m, unsigned net, bool is_agent, int i)
{
    m->s = s;
    m->is_agent = is_agent;
    m->zone = zones[i % 3];
    snprintf(m->ip, sizeof(m->ip), "127.%u.%d.%d", net, 1 + i % 3,
        is_agent ? 2 + i / 3 : 1);
    snprintf(m->name, sizeof(m->name), "%s-%s-%d", is_agent ? "side" : "edge",
        m->zone, 1 + i / 3);
}

static void
write_config(struct stage *s)
{
    fs_put(s->store, "op/config",
        "{\"version\":1,\"routes\":[{\"name\":\"r\",\"hostname\":"
        "\"orders.example\",\"prefix\":\"/q/\",\"service\":\"s\","
        "\"timeout_ms\":15000,\"slo_ms\":60,\"stretch\":1.6,\"priority\":0,"
        "\"attempts\":3}],\"services\":[],\"limits\":{}}");
}

static void
set_up(struct stage *s)
{
    unsigned net = 0;

    for (unsigned i = 0; i < 200 && net == 0; i++) {
        unsigned candidate = 10 + ((unsigned)getpid() + i * 7) % 240;

        net = is_free(candidate) ? candidate : 0;
    }
    if (net == 0 || !can_bind("127.0.0.1", 0, &s->store_port) ||
        !can_bind("127.0.0.1", 0, &s->workers_port)) {
        fprintf(stderr, "stage: no free addresses\n");
        exit(2);
    }
    s->loop = ev_loop_new(0);
    s->http = httpc_new(s->loop, 200);
    s->now = clock_ms();
    s->epoch_ms = s->now + STARTUP_MS;
    s->store = fs_new(s->loop, s->store_port, 0);
    write_config(s);
    s->worker_server = fw_server_new(s->loop, s->workers_port);
    for (int i = 0; i < STAGE_AGENTS; i++) {
        char host[48];

        init_machine(s, &s->agents[i], net, true, i);
        snprintf(host, sizeof(host), "%s:%d", s->agents[i].ip, PORT_APP);
        s->workers[i] = fw_new(
            (struct soak *)s, s->worker_server, host, &worker_events, s);
        fw_tick(s->workers[i], s->now);
        s->worker_proxies[i] =
            px_new(s->loop, s->agents[i].ip, PORT_APP, s->workers_port, false);
        start_machine(&s->agents[i]);
    }
    for (int i = 0; i < STAGE_ENTRIES; i++) {
        init_machine(s, &s->entries[i], net, false, i);
        start_machine(&s->entries[i]);
    }
    ev_timer_init(&s->tick, on_tick, TICK_S, TICK_S);
    s->tick.data = s;
    ev_timer_start(s->loop, &s->tick);
}

static void
stop_machine(struct machine *m)
{
    if (m->pid > 0) {
        kill(m->pid, SIGCONT);
        kill(m->pid, SIGKILL);
        waitpid(m->pid, NULL, 0);
    }
}

/* RECOVER: less than a quarter of the usual load is served later than
 * recovery_s after the processes are back, and a quarter or more was before.
 */
static bool
check_recovery(struct stage *s)
{
    size_t sent[2] = {0, 0}; /* before the fault; after the recovery */
    size_t served[2] = {0, 0};

    for (size_t i = 0; s->back_ms != 0 && i < s->job_count; i++) {
        const struct job *j = &s->jobs[i];
        bool after = j->sent_ms > s->back_ms + RECOVERY_MS;

        if (j->ordinary && (after || j->sent_ms < s->back_ms)) {
            sent[after]++;
            served[after] += j->completed;
        }
    }
    if (s->back_ms != 0) {
        st_record(s,
            "served before the final fault: %zu of %zu, later than "
            "%u ms after it: %zu of %zu",
            served[0], sent[0], RECOVERY_MS, served[1], sent[1]);
        printf("served before the final fault: %zu of %zu, later than %u ms "
               "after it: %zu of %zu\n",
            served[0], sent[0], RECOVERY_MS, served[1], sent[1]);
    }
    return s->back_ms == 0 || served[0] * 4 < sent[0] ||
           served[1] * 4 >= sent[1];
}

/* 1: a rule was broken, 0: it held, 2: the case could not run. */
static int
judge(struct stage *s)
{
    size_t ordinary = 0;
    size_t completed = 0;
    uint64_t unasked = 0;
    bool recovered = check_recovery(s);

    for (size_t i = 0; i < s->job_count; i++) {
        const struct job *j = &s->jobs[i];

        ordinary += j->ordinary;
        completed += j->ordinary && j->completed;
        unasked += j->starts_after_cancel + j->runs_on;
    }
    st_record(s, "usual load: %zu of %zu jobs completed", completed, ordinary);
    st_record(s,
        "UNASKED broken %" PRIu64 " times, TWICE %" PRIu64
        " times, unknown jobs %" PRIu64,
        unasked, s->twice, s->not_run_but_started);
    printf("%s, TROUBLE=%d: UNASKED broken %" PRIu64 " times, TWICE %" PRIu64
           " times; usual load: %zu of %zu jobs completed%s\n",
        s->scenario->name, s->trouble, unasked, s->twice, completed, ordinary,
        s->crashed ? "; a process ended by itself" : "");
    if (unasked + s->twice + s->not_run_but_started > 0 || !recovered) {
        return 1;
    }
    return completed * 10 < ordinary * 9 || s->crashed ? 2 : 0;
}

int
st_main(int argc, char **argv, const struct scenario *scenarios, size_t n)
{
    struct stage *s = dw_zero(1, sizeof(*s));
    const char *trouble = getenv("TROUBLE");
    int code;

    if (argc != 5) {
        fprintf(stderr, "usage: stage SCENARIO PROGRAM RECORD DIR\n");
        return 2;
    }
    for (size_t i = 0; i < n; i++) {
        if (strcmp(scenarios[i].name, argv[1]) == 0) {
            s->scenario = &scenarios[i];
        }
    }
    s->trouble = trouble == NULL || strcmp(trouble, "0") != 0;
    s->bin = argv[2];
    s->record = fopen(argv[3], "we");
    snprintf(s->dir, sizeof(s->dir), "%s", argv[4]);
    if (s->scenario == NULL || s->record == NULL) {
        fprintf(stderr, "stage: no such scenario, or no record\n");
        return 2;
    }
    setvbuf(s->record, NULL, _IOLBF, 0);
    signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    s->random = mix64((uint64_t)getpid(), clock_ms());
    set_up(s);
    ev_run(s->loop, 0);
    for (int i = 0; i < STAGE_AGENTS; i++) {
        stop_machine(&s->agents[i]);
    }
    for (int i = 0; i < STAGE_ENTRIES; i++) {
        stop_machine(&s->entries[i]);
    }
    code = judge(s);
    fclose(s->record);
    return code;
}
