/* Checks the answers of an experiment and writes its report. */
#include "dwload.h"

#include <inttypes.h>
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* How long after the order to withdraw a failure domain its processes may
 * still start tasks. */
#define LD_WITHDRAWAL_BOUND_MS 3500
#define LD_VIOLATIONS_SHOWN 20

/* All starts of one task, over all backend servers. */
struct task_starts {
    char *name; /* "customer key index" */
    unsigned count;
    double first_ms; /* since the start of the experiment */
    uint32_t domain; /* of the first start seen */
    UT_hash_handle hh;
};

struct totals {
    uint64_t cpu_us;
    uint64_t messages;
    uint64_t bytes;
    uint64_t refused_epoch;
};

struct report {
    const struct ld_experiment *x;
    struct ld_trace *trace;
    struct ld_fleet *fleet;
    FILE *md;
    struct task_starts *starts; /* by name */
    uint64_t start_count;
    size_t violations;
    uint64_t disconnects; /* requests closed before their answer */
    uint64_t lapsed;      /* tasks stopped as their lease lapsed */
    double start_boot_ms;
};

static void
report_violation(struct report *r, const char *what, const char *subject)
{
    r->violations++;
    if (r->violations <= LD_VIOLATIONS_SHOWN) {
        fprintf(stderr, "VIOLATION %s: %s\n", what, subject);
        fprintf(r->md, "- violation: %s: %s\n", what, subject);
    }
}

/* --- counts of the stand-in backend servers --- */

static void
add_start(struct report *r, char *line, uint32_t domain)
{
    char *first = strrchr(line, ' ');
    char *count;
    struct task_starts *s;

    if (first == NULL) {
        return;
    }
    *first++ = '\0';
    count = strrchr(line, ' ');
    if (count == NULL) {
        return;
    }
    *count++ = '\0';
    HASH_FIND_STR(r->starts, line, s);
    if (s == NULL) {
        s = dw_zero(1, sizeof(*s));
        s->name = str_dup(str_of(line));
        s->first_ms = strtod(first, NULL) - r->start_boot_ms;
        s->domain = domain;
        HASH_ADD_KEYPTR(hh, r->starts, s->name, strlen(s->name), s);
    }
    s->count += (unsigned)strtoul(count, NULL, 10);
    r->start_count += strtoul(count, NULL, 10);
}

static void
read_starts(struct report *r, const struct ld_proc *p)
{
    struct buf b = {0};
    char url[96];
    char *save = NULL;

    snprintf(url, sizeof(url), "http://127.0.0.1:%u/starts", p->http_port);
    if (ld_http_request("GET", url, NULL, STR(""), &b) != 200) {
        report_violation(r, "the stand-in does not list its starts", p->name);
    }
    for (char *line = strtok_r(b.p, "\n", &save); line != NULL;
         line = strtok_r(NULL, "\n", &save)) {
        add_start(r, line, p->domain);
    }
    buf_free(&b);
}

static void
read_control(struct report *r, const struct ld_proc *p)
{
    struct buf b = {0};
    char url[96];
    json_t *o;

    snprintf(url, sizeof(url), "http://127.0.0.1:%u/control", p->http_port);
    ld_http_request("GET", url, NULL, STR(""), &b);
    o = json_loadb(b.p != NULL ? b.p : "", b.n, 0, NULL);
    r->disconnects += (uint64_t)json_integer_value(json_object_get(o, "cut"));
    r->lapsed += (uint64_t)json_integer_value(json_object_get(o, "lapsed"));
    json_decref(o);
    buf_free(&b);
}

static struct task_starts *
find_starts(struct report *r, const struct ld_job *job, uint32_t index)
{
    char name[128];
    struct task_starts *s;

    snprintf(name, sizeof(name), "customer%u %s %u", job->customer, job->key,
        index);
    HASH_FIND_STR(r->starts, name, s);
    return s;
}

/* --- checks --- */

static void
check_job(struct report *r, const struct ld_job *job)
{
    uint32_t started = 0;

    for (uint32_t i = 0; i < job->task_count; i++) {
        started += find_starts(r, job, i) != NULL;
    }
    for (int i = 0; i < 2; i++) {
        const struct ld_submission *submission = &job->submissions[i];

        if (submission->state == LD_ANSWER_COMPLETE &&
            !submission->results_match) {
            report_violation(r,
                "complete, but results are missing or of another job",
                job->key);
        }
        if (submission->state == LD_ANSWER_COMPLETE &&
            started < job->task_count) {
            report_violation(
                r, "complete, but not all tasks were started", job->key);
        }
        if (submission->state == LD_ANSWER_NOT_RUN && started > 0) {
            report_violation(r, "not_run, but tasks were started", job->key);
        }
        if (submission->sent_ms > 0 && submission->state == LD_ANSWER_NONE) {
            report_violation(r, "never answered", job->key);
        }
    }
}

static void
check_starts(struct report *r)
{
    struct task_starts *s;

    for (s = r->starts; s != NULL; s = s->hh.next) {
        if (s->count > 1) {
            report_violation(r, "started more than once", s->name);
        }
        for (size_t i = 0; i < r->x->fault_count; i++) {
            const struct ld_fault *f = &r->x->faults[i];

            if (f->kind == LD_FAULT_DOMAIN_OUT &&
                strcmp(f->target, ld_domain_name(s->domain)) == 0 &&
                s->first_ms > (double)f->start_ms + LD_WITHDRAWAL_BOUND_MS &&
                s->first_ms < (double)f->start_ms + f->duration_ms) {
                report_violation(
                    r, "started in a withdrawn failure domain", s->name);
            }
        }
    }
}

/* --- measurements --- */

static int
by_double(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return x < y ? -1 : x > y;
}

/* Sorts the values. */
static double
quantile(double *values, size_t n, double q)
{
    size_t i = (size_t)(q * (double)n);

    if (n == 0) {
        return 0;
    }
    qsort(values, n, sizeof(*values), by_double);
    return values[i < n ? i : n - 1];
}

static void write_line(struct report *r, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

static void
write_line(struct report *r, const char *fmt, ...)
{
    va_list ap;

    va_start(ap, fmt);
    vfprintf(r->md, fmt, ap);
    va_end(ap);
    va_start(ap, fmt);
    vprintf(fmt, ap);
    va_end(ap);
}

static void
write_response(struct report *r)
{
    double *ratios = dw_zero(r->trace->job_count, sizeof(double));
    double *added = dw_zero(r->trace->job_count, sizeof(double));
    size_t n = 0;

    for (size_t i = 0; i < r->trace->job_count; i++) {
        const struct ld_job *job = &r->trace->jobs[i];

        if (job->submissions[0].state == LD_ANSWER_COMPLETE &&
            job->ideal_response_ms > 0) {
            /* From the planned arrival, so that the delay of a late submission
             * counts. */
            double ms = job->submissions[0].answered_ms - job->arrival_ms;

            ratios[n] = ms / job->ideal_response_ms;
            added[n++] = ms - job->ideal_response_ms;
        }
    }
    write_line(r,
        "- response over the ideal: median %.3f, p90 %.3f, p99 %.3f; "
        "added ms: median %.1f, p99 %.1f (%zu complete)\n",
        quantile(ratios, n, 0.5), quantile(ratios, n, 0.9),
        quantile(ratios, n, 0.99), quantile(added, n, 0.5),
        quantile(added, n, 0.99), n);
    free(ratios);
    free(added);
}

static void
write_answers(struct report *r)
{
    static const char *const names[LD_ANSWER_STATES] = {
        "none", "complete", "failed", "not_run", "unknown", "refused"};
    size_t n[LD_ANSWER_STATES] = {0};

    for (size_t i = 0; i < r->trace->job_count; i++) {
        for (int k = 0; k < 2; k++) {
            const struct ld_submission *submission =
                &r->trace->jobs[i].submissions[k];

            if (submission->sent_ms > 0) {
                n[submission->state]++;
            }
        }
    }
    write_line(r, "- answers:");
    for (size_t i = 0; i < LD_ANSWER_STATES; i++) {
        write_line(r, " %s %zu%s", names[i], n[i],
            i + 1 < LD_ANSWER_STATES ? "," : "\n");
    }
}

/* Answers that are not complete, by state and reason. */
struct refusal {
    char name[64];
    size_t count;
    UT_hash_handle hh;
};

static void
write_refusals(struct report *r)
{
    struct refusal *all = NULL;
    struct refusal *refusal;

    for (size_t i = 0; i < r->trace->job_count * 2; i++) {
        const struct ld_submission *submission =
            &r->trace->jobs[i / 2].submissions[i % 2];
        char name[64];

        if (submission->sent_ms == 0 ||
            submission->state == LD_ANSWER_COMPLETE) {
            continue;
        }
        snprintf(name, sizeof(name), "%d/%s", (int)submission->state,
            submission->reason);
        HASH_FIND_STR(all, name, refusal);
        if (refusal == NULL) {
            refusal = dw_zero(1, sizeof(*refusal));
            str_copy(refusal->name, sizeof(refusal->name), str_of(name));
            HASH_ADD_STR(all, name, refusal);
        }
        refusal->count++;
    }
    while (all != NULL) {
        refusal = all;
        write_line(r, "  - %s: %zu\n", refusal->name, refusal->count);
        HASH_DEL(all, refusal);
        free(refusal);
    }
}

static uint64_t
parse_metric(const char *text, const char *name)
{
    const char *at = text;
    size_t n = strlen(name);

    while ((at = strstr(at, name)) != NULL) {
        if ((at == text || at[-1] == '\n') && at[n] == ' ') {
            return strtoull(at + n, NULL, 10);
        }
        at += n;
    }
    return 0;
}

static uint64_t
sum_metric(struct buf *texts, size_t n, const char *name)
{
    uint64_t sum = 0;

    for (size_t i = 0; i < n; i++) {
        sum += texts[i].p != NULL ? parse_metric(texts[i].p, name) : 0;
    }
    return sum;
}

static void
write_messages(struct report *r, struct buf *texts, size_t n)
{
    static const char *const types[] = {"submit", "answer", "offer", "offered",
        "result", "result_ack", "revoke", "revoked", "borrow", "lent", "pull",
        "state", "ping", "ping_ack", "handover", "records"};

    write_line(r, "- messages per task:");
    for (size_t i = 0; i < sizeof(types) / sizeof(types[0]); i++) {
        char name[96];

        snprintf(
            name, sizeof(name), "dunlinweir_messages{type=\"%s\"}", types[i]);
        write_line(r, " %s %.3f", types[i],
            (double)sum_metric(texts, n, name) /
                (double)(r->trace->task_count > 0 ? r->trace->task_count : 1));
    }
    write_line(r,
        "\n- wasted: offers refused again %" PRIu64 ", full %" PRIu64
        ", old epoch %" PRIu64 "; offers repeated %" PRIu64
        "; tasks moved %" PRIu64 "; results resent %" PRIu64 ", late %" PRIu64
        "; requests resent %" PRIu64 "\n",
        sum_metric(texts, n, "dunlinweir_offers_refused_again_total"),
        sum_metric(texts, n, "dunlinweir_offers_refused_full_total"),
        sum_metric(texts, n, "dunlinweir_offers_refused_epoch_total"),
        sum_metric(texts, n, "dunlinweir_reoffers_total"),
        sum_metric(texts, n, "dunlinweir_moves_total"),
        sum_metric(texts, n, "dunlinweir_results_resent_total"),
        sum_metric(texts, n, "dunlinweir_late_results_total"),
        sum_metric(texts, n, "dunlinweir_request_resends_total"));
}

/* Reads the metrics of every daemon of one role ('a' or 'e', the first letter
 * of its name).  Returns the number of daemons that answered. */
static size_t
read_metrics(struct report *r, char role, struct buf *texts)
{
    size_t n = 0;

    for (size_t i = 0; i < r->fleet->count; i++) {
        const struct ld_proc *p = &r->fleet->procs[i];
        char url[96];

        if (p->name[0] != role) {
            continue;
        }
        snprintf(
            url, sizeof(url), "http://127.0.0.1:%u/metrics", p->http_port);
        ld_http_request("GET", url, NULL, STR(""), &texts[n]);
        n += texts[n].n > 0;
    }
    return n;
}

static void
write_role(struct report *r, const char *name, struct buf *texts, size_t n,
    double seconds)
{
    double cpu = (double)sum_metric(texts, n, "dunlinweir_cpu_us_total");

    write_line(r,
        "- per %s, mean of %zu: %.2f %% of a core, %.1f KB/s sent, %.1f MB; "
        "%.1f us of processor a task\n",
        name, n, cpu / 1e4 / seconds / (double)n,
        (double)sum_metric(texts, n, "dunlinweir_bytes_sent_total") / 1e3 /
            seconds / (double)n,
        (double)sum_metric(texts, n, "dunlinweir_resident_kb") / 1e3 /
            (double)n,
        cpu / (double)(r->trace->task_count > 0 ? r->trace->task_count : 1));
}

static void
write_processes(struct report *r, double elapsed_ms)
{
    struct buf texts[LD_PROCS_MAX];
    double seconds = elapsed_ms / 1000;
    uint64_t store_calls;
    size_t agents;
    size_t n;

    memset(texts, 0, sizeof(texts));
    agents = read_metrics(r, 'a', texts);
    n = agents + read_metrics(r, 'e', texts + agents);
    write_messages(r, texts, n);
    write_role(r, "agent", texts, agents, seconds);
    write_role(r, "entry", texts + agents, n - agents, seconds);
    store_calls = sum_metric(texts, n, "dunlinweir_store_reads_total") +
                  sum_metric(texts, n, "dunlinweir_store_txns_total") +
                  sum_metric(texts, n, "dunlinweir_store_watches_total");
    write_line(r, "- %.1f store calls/s, %" PRIu64 " takeovers\n",
        (double)store_calls / seconds,
        sum_metric(texts, n, "dunlinweir_takeovers_total"));
    for (size_t i = 0; i < n; i++) {
        buf_free(&texts[i]);
    }
}

/* Writes seconds.csv: for each second the tasks that arrived and the starts in
 * each failure domain. */
static void
write_seconds(struct report *r, const char *dir)
{
    char path[192];
    size_t n = r->x->seconds + 40;
    uint32_t(*counts)[LD_DOMAINS] = dw_zero(n, sizeof(*counts));
    uint32_t *arrived = dw_zero(n, sizeof(*arrived));
    struct task_starts *s;
    FILE *out;

    for (s = r->starts; s != NULL; s = s->hh.next) {
        if (s->first_ms >= 0 && s->first_ms / 1000 < (double)n) {
            counts[(size_t)(s->first_ms / 1000)][s->domain % LD_DOMAINS]++;
        }
    }
    for (size_t i = 0; i < r->trace->job_count; i++) {
        if (r->trace->jobs[i].arrival_ms / 1000 < (double)n) {
            arrived[(size_t)(r->trace->jobs[i].arrival_ms / 1000)] +=
                r->trace->jobs[i].task_count;
        }
    }
    snprintf(path, sizeof(path), "%s/seconds.csv", dir);
    out = fopen(path, "we");
    if (out != NULL) {
        fprintf(out, "second,asked,%s,%s,%s\n", ld_domain_name(0),
            ld_domain_name(1), ld_domain_name(2));
        for (size_t i = 0; i < n; i++) {
            fprintf(out, "%zu,%u,%u,%u,%u\n", i, arrived[i], counts[i][0],
                counts[i][1], counts[i][2]);
        }
        fclose(out);
    }
    free(counts);
    free(arrived);
}

static void
write_jobs(struct report *r, const char *dir)
{
    char path[192];
    FILE *out;

    snprintf(path, sizeof(path), "%s/calls.csv", dir);
    out = fopen(path, "we");
    if (out == NULL) {
        return;
    }
    fprintf(out, "at_ms,tasks,ideal_ms,response_ms,state,reason\n");
    for (size_t i = 0; i < r->trace->job_count; i++) {
        const struct ld_job *job = &r->trace->jobs[i];

        fprintf(out, "%.1f,%u,%.1f,%.1f,%d,%s\n", job->arrival_ms,
            job->task_count, job->ideal_response_ms,
            job->submissions[0].answered_ms - job->arrival_ms,
            (int)job->submissions[0].state, job->submissions[0].reason);
    }
    fclose(out);
}

static void
write_plot(const char *dir)
{
    char path[192];
    FILE *out;

    snprintf(path, sizeof(path), "%s/plot.gp", dir);
    out = fopen(path, "we");
    if (out == NULL) {
        return;
    }
    fprintf(out,
        "set datafile separator ','\nset terminal png size 900,500\n"
        "set key autotitle columnhead\nset output '%s/seconds.png'\n"
        "set xlabel 'second'\nset ylabel 'task starts per second'\n"
        "plot for [i=2:5] '%s/seconds.csv' using 1:i with lines lw 2\n"
        "set output '%s/response.png'\nset ylabel 'response over ideal'\n"
        "set logscale y\nset xlabel 'arrival, ms'\n"
        "plot '%s/calls.csv' using 1:($5==1 ? $4/$3 : 1/0) with dots "
        "title 'complete'\n",
        dir, dir, dir, dir);
    fclose(out);
}

/* Work completed during the experiment compared with the ideal schedule. */
static void
write_goodput(struct report *r, double elapsed_ms)
{
    uint64_t done = 0;
    double ideal_end = 0;
    double end = 0;

    for (size_t i = 0; i < r->trace->job_count; i++) {
        const struct ld_job *job = &r->trace->jobs[i];

        if (job->arrival_ms + job->ideal_response_ms > ideal_end) {
            ideal_end = job->arrival_ms + job->ideal_response_ms;
        }
        if (job->submissions[0].state == LD_ANSWER_COMPLETE ||
            job->submissions[1].state == LD_ANSWER_COMPLETE) {
            double at = job->submissions[0].state == LD_ANSWER_COMPLETE
                            ? job->submissions[0].answered_ms
                            : job->submissions[1].answered_ms;

            done += job->task_count;
            end = at > end ? at : end;
        }
    }
    write_line(r,
        "- work done: %" PRIu64 " of %" PRIu64 " tasks in complete answers "
        "(%.2f %%); last answer at %.1f s, the ideal's at %.1f s; run %.1f "
        "s\n",
        done, r->trace->task_count,
        100.0 * (double)done / (double)r->trace->task_count, end / 1000,
        ideal_end / 1000, elapsed_ms / 1000);
}

static void
free_starts(struct report *r)
{
    struct task_starts *s;
    struct task_starts *tmp;

    HASH_ITER (hh, r->starts, s, tmp) {
        HASH_DEL(r->starts, s);
        free(s->name);
        free(s);
    }
}

size_t
ld_report_load(const struct ld_experiment *x, struct ld_trace *t,
    struct ld_fleet *f, const char *dir, double elapsed_ms,
    uint64_t start_boot_ms)
{
    struct report r = {.x = x,
        .trace = t,
        .fleet = f,
        .start_boot_ms = (double)start_boot_ms};
    char path[192];

    snprintf(path, sizeof(path), "%s/report.md", dir);
    r.md = fopen(path, "we");
    if (r.md == NULL) {
        perror(path);
        return 1;
    }
    write_line(&r,
        "# %s\n\n- %zu calls, %" PRIu64 " tasks, %u entries, %u agents of "
        "%u slots, load %.0f %%, seed %u\n",
        x->name, t->job_count, t->task_count, x->entries, x->agents, x->slots,
        x->load_permille / 10.0, x->seed);
    for (size_t i = 0; i < f->count; i++) {
        if (f->procs[i].name[0] == 'b') {
            read_starts(&r, &f->procs[i]);
            read_control(&r, &f->procs[i]);
        }
    }
    for (size_t i = 0; i < t->job_count; i++) {
        check_job(&r, &t->jobs[i]);
    }
    check_starts(&r);
    write_response(&r);
    write_goodput(&r, elapsed_ms);
    write_answers(&r);
    write_refusals(&r);
    write_processes(&r, elapsed_ms);
    write_seconds(&r, dir);
    write_jobs(&r, dir);
    write_plot(dir);
    write_line(&r,
        "- check: %" PRIu64 " starts counted by the stand-ins, %u tasks, "
        "%" PRIu64 " leases lapsed, %zu violations\n",
        r.start_count, HASH_COUNT(r.starts), r.lapsed, r.violations);
    fclose(r.md);
    free_starts(&r);
    return r.violations;
}

size_t
ld_report_idle(const struct ld_experiment *x, const double *direct,
    const double *through, size_t n, const char *dir)
{
    struct report r = {.x = x};
    double *added = dw_zero(n, sizeof(double));
    double *sorted_direct = dw_zero(n, sizeof(double));
    double *sorted_through = dw_zero(n, sizeof(double));
    char path[192];
    size_t failed = 0;

    for (size_t i = 0; i < n; i++) {
        sorted_direct[i] = direct[i];
        sorted_through[i] = through[i];
        added[i] = through[i] - direct[i];
        failed += direct[i] < 0 || through[i] < 0;
    }
    snprintf(path, sizeof(path), "%s/report.md", dir);
    r.md = fopen(path, "we");
    if (r.md != NULL) {
        write_line(&r,
            "# %s\n\n- %zu single calls one after another, each beside a "
            "direct call to a backend server\n"
            "- direct ms: median %.3f, p99 %.3f\n"
            "- through dunlinweir ms: median %.3f, p99 %.3f\n"
            "- added ms: median %.3f, p99 %.3f; failed %zu\n",
            x->name, n, quantile(sorted_direct, n, 0.5),
            quantile(sorted_direct, n, 0.99), quantile(sorted_through, n, 0.5),
            quantile(sorted_through, n, 0.99), quantile(added, n, 0.5),
            quantile(added, n, 0.99), failed);
        fclose(r.md);
    }
    free(added);
    free(sorted_direct);
    free(sorted_through);
    return failed;
}
