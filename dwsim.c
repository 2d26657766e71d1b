/* dwsim: simulates many drawn deployments and compares their results. */
#include <errno.h>
#include <math.h>
#include <popt.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "conf.h"
#include "num.h"
#include "sim.h"

#define PROCESSES_MAX 64
#define DAYS_MAX 100000
#define PATH_CAP 512
#define CSV_HEAD                                                              \
    "seed,worth,in_time,late,refused,lost,held_in_vain,refused_at_once,"      \
    "runs,bounced,moved,messages,run_error,broken,given,sessions_lost,"       \
    "longest_pass_us,worst_entry"
#define CSV_COLUMNS 18

/* The contents of an experiment file. */
struct experiment {
    struct sim_ranges ranges;
    uint64_t days;
    uint64_t seed;
};

/* Result of one day, as kept for the tables.  Shares are of all requests. */
struct day {
    uint64_t seed;
    double score;   /* column "worth" */
    double in_time; /* share; likewise the next three */
    double late;
    double refused;
    double lost;
    uint64_t refused_late;
    uint64_t refused_early;
    uint64_t runs;
    uint64_t rejected_full;
    uint64_t moved;
    uint64_t messages;
    double estimate_error;
    uint64_t violations;
    uint64_t forwarded;
    uint64_t sessions_lost;
    uint64_t longest_pass_us;
    double worst_entry; /* refused fraction over that of all entries */
};

/* --- experiment files --- */

enum key_kind { KEY_U32, KEY_U64, KEY_REAL, KEY_BOOL, KEY_CHOICE };

/* A key of experiment files. */
struct key {
    const char *name;
    size_t offset; /* in struct experiment */
    enum key_kind kind;
    double min;
    double max;
    const char *const *choices; /* KEY_CHOICE: stored as the index */
};

#define RANGES_OFFSET(field) offsetof(struct experiment, ranges.field)

static const struct key keys[] = {
    {"days", offsetof(struct experiment, days), KEY_U64, 1, DAYS_MAX, NULL},
    {"seed", offsetof(struct experiment, seed), KEY_U64, 0, 1e9, NULL},
    {"length_ms", RANGES_OFFSET(length_ms), KEY_U32, 14000, 600000, NULL},
    {"machines.workers_min", RANGES_OFFSET(workers_min), KEY_U32, 1,
        SIM_WORKERS_MAX, NULL},
    {"machines.workers_max", RANGES_OFFSET(workers_max), KEY_U32, 1,
        SIM_WORKERS_MAX, NULL},
    {"machines.domains_max", RANGES_OFFSET(domains_max), KEY_U32, 2,
        SIM_DOMAINS_MAX, NULL},
    {"machines.entries_min", RANGES_OFFSET(entries_min), KEY_U32, 1, 12, NULL},
    {"machines.entries_max", RANGES_OFFSET(entries_max), KEY_U32, 1, 12, NULL},
    {"machines.cores_least", RANGES_OFFSET(entry_cores_min), KEY_REAL, 0.001,
        64, NULL},
    {"machines.cores_most", RANGES_OFFSET(entry_cores_max), KEY_REAL, 0.001,
        64, NULL},
    {"ways.entries_keep", RANGES_OFFSET(no_forwarding), KEY_BOOL, 0, 1, NULL},
    {"ways.entries_stay", RANGES_OFFSET(always_in_rotation), KEY_BOOL, 0, 1,
        NULL},
    {"ways.demand", RANGES_OFFSET(settings.demand), KEY_CHOICE, 0, 0,
        sc_demand_names},
    {"ways.admission", RANGES_OFFSET(settings.admission), KEY_CHOICE, 0, 0,
        sc_admission_names},
    {"ways.shares", RANGES_OFFSET(settings.shares), KEY_CHOICE, 0, 0,
        sc_shares_names},
    {"ways.balance", RANGES_OFFSET(settings.balance), KEY_CHOICE, 0, 0,
        sc_balance_names},
    {"ways.reach", RANGES_OFFSET(settings.reach), KEY_CHOICE, 0, 0,
        sc_reach_names},
    {"ways.moves", RANGES_OFFSET(settings.moves), KEY_CHOICE, 0, 0,
        sc_moves_names},
    {"ways.placement", RANGES_OFFSET(settings.placement), KEY_CHOICE, 0, 0,
        sc_placement_names},
    {"load.least", RANGES_OFFSET(load_min), KEY_REAL, 0.01, 3, NULL},
    {"load.most", RANGES_OFFSET(load_max), KEY_REAL, 0.01, 3, NULL},
    {"load.burst_most", RANGES_OFFSET(burst_factor_max), KEY_REAL, 1.2, 10,
        NULL},
    {"load.requests_most", RANGES_OFFSET(requests_per_s_max), KEY_REAL, 1,
        10000, NULL},
    {"load.task_millicores_least", RANGES_OFFSET(task_millicores_min), KEY_U32,
        1, 16000, NULL},
    {"load.task_millicores_most", RANGES_OFFSET(task_millicores_max), KEY_U32,
        1, 16000, NULL},
    {"machines.speed_least", RANGES_OFFSET(speed_min), KEY_REAL, 0.1, 10,
        NULL},
    {"machines.speed_most", RANGES_OFFSET(speed_max), KEY_REAL, 0.1, 10, NULL},
    {"load.tail_share", RANGES_OFFSET(tail_share), KEY_REAL, 0, 1, NULL},
    {"load.tail_factor", RANGES_OFFSET(tail_factor), KEY_REAL, 1, 100, NULL},
    {"goal.whole", RANGES_OFFSET(weights.day), KEY_REAL, 0, 1, NULL},
    {"goal.windows", RANGES_OFFSET(weights.windows), KEY_REAL, 0, 1, NULL},
    {"goal.kind", RANGES_OFFSET(weights.kind), KEY_REAL, 0, 1, NULL},
    {"goal.served_nines", RANGES_OFFSET(weights.served_nines), KEY_REAL, 0, 1,
        NULL},
    {"troubles.least", RANGES_OFFSET(faults_min), KEY_U32, 0, 5, NULL},
    {"troubles.most", RANGES_OFFSET(faults_max), KEY_U32, 0, 5, NULL},
    {"patience.of_work", RANGES_OFFSET(patience_drawn[SIM_PATIENCE_OF_WORK]),
        KEY_BOOL, 0, 1, NULL},
    {"patience.fixed", RANGES_OFFSET(patience_drawn[SIM_PATIENCE_FIXED]),
        KEY_BOOL, 0, 1, NULL},
    {"patience.loose", RANGES_OFFSET(patience_drawn[SIM_PATIENCE_LOOSE]),
        KEY_BOOL, 0, 1, NULL},
};

#define KEY_COUNT (sizeof(keys) / sizeof(keys[0]))
#define FAULT_PREFIX "trouble."

static enum conf_status
bad_value(const struct toml_value *v, struct err *e, const char *expected)
{
    err_set(e, "line %u: key '%s': want %s", v->line, v->key, expected);
    return CONF_BAD_VALUE;
}

static enum conf_status
set_fault(struct experiment *x, const struct toml_value *v, struct err *e)
{
    const char *name = v->key + sizeof(FAULT_PREFIX) - 1;

    for (size_t i = 0; i < SIM_FAULT_KINDS; i++) {
        if (strcmp(sim_fault_names[i], name) != 0) {
            continue;
        }
        if (v->kind != TOML_TEXT ||
            (strcmp(v->text, "always") != 0 && strcmp(v->text, "drawn") != 0 &&
                strcmp(v->text, "never") != 0)) {
            return bad_value(v, e, "\"always\", \"drawn\" or \"never\"");
        }
        x->ranges.fault_always[i] = strcmp(v->text, "always") == 0;
        x->ranges.fault_drawn[i] = strcmp(v->text, "drawn") == 0;
        return CONF_OK;
    }
    return bad_value(v, e, "a kind of trouble; see dwsim(1)");
}

static void
set_key(struct experiment *x, const struct key *k, double value)
{
    char *field = (char *)x + k->offset;

    switch (k->kind) {
    case KEY_U32:
        *(uint32_t *)field = (uint32_t)value;
        break;
    case KEY_U64:
        *(uint64_t *)field = (uint64_t)value;
        break;
    case KEY_REAL:
        *(double *)field = value;
        break;
    case KEY_BOOL:
        *(bool *)field = value != 0;
        break;
    case KEY_CHOICE:
        *(uint32_t *)field = (uint32_t)value;
        break;
    }
}

static enum conf_status
set_choice(struct experiment *x, const struct key *k,
    const struct toml_value *v, struct err *e)
{
    struct buf expected = {0};
    enum conf_status st;

    for (uint32_t i = 0; k->choices[i] != NULL; i++) {
        if (v->kind == TOML_TEXT && strcmp(v->text, k->choices[i]) == 0) {
            set_key(x, k, i);
            buf_free(&expected);
            return CONF_OK;
        }
        buf_addf(&expected, "%s\"%s\"", i > 0 ? " or " : "", k->choices[i]);
    }
    st = bad_value(v, e, expected.p);
    buf_free(&expected);
    return st;
}

static bool
has_kind(const struct key *k, const struct toml_value *v)
{
    if (k->kind == KEY_BOOL) {
        return v->kind == TOML_BOOL;
    }
    return v->kind == TOML_NUMBER ||
           (k->kind == KEY_REAL && v->kind == TOML_REAL);
}

static enum conf_status
set_value(void *ctx, const struct toml_value *v, struct err *e)
{
    static const char *const expected[] = {[KEY_U32] = "a whole number",
        [KEY_U64] = "a whole number",
        [KEY_REAL] = "a number",
        [KEY_BOOL] = "true or false"};
    struct experiment *x = ctx;
    double value = v->kind == TOML_REAL ? v->real : (double)v->number;
    char expected_range[120];

    if (strncmp(v->key, FAULT_PREFIX, sizeof(FAULT_PREFIX) - 1) == 0) {
        return set_fault(x, v, e);
    }
    for (size_t i = 0; i < KEY_COUNT; i++) {
        const struct key *k = &keys[i];

        if (strcmp(k->name, v->key) != 0) {
            continue;
        }
        if (k->kind == KEY_CHOICE) {
            return set_choice(x, k, v, e);
        }
        if (!has_kind(k, v)) {
            return bad_value(v, e, expected[k->kind]);
        }
        if (value < k->min || value > k->max) {
            snprintf(expected_range, sizeof(expected_range),
                "%s from %g to %g", expected[k->kind], k->min, k->max);
            return bad_value(v, e, expected_range);
        }
        set_key(x, k, value);
        return CONF_OK;
    }
    return bad_value(v, e, "a known key; see dwsim(1)");
}

static bool
any_set(const bool *list, size_t n)
{
    for (size_t i = 0; i < n; i++) {
        if (list[i]) {
            return true;
        }
    }
    return false;
}

/* Two keys, of which the first must not be above the second. */
struct bounds {
    const char *min;
    const char *max;
};

static const struct bounds bounds_keys[] = {
    {"machines.workers_min", "machines.workers_max"},
    {"machines.entries_min", "machines.entries_max"},
    {"machines.cores_least", "machines.cores_most"},
    {"machines.speed_least", "machines.speed_most"},
    {"load.least", "load.most"},
    {"load.task_millicores_least", "load.task_millicores_most"},
    {"troubles.least", "troubles.most"},
};

static double
value_of(const struct experiment *x, const char *name)
{
    for (size_t i = 0; i < KEY_COUNT; i++) {
        const char *field = (const char *)x + keys[i].offset;

        if (strcmp(keys[i].name, name) == 0) {
            return keys[i].kind == KEY_U32 ? *(const uint32_t *)field
                                           : *(const double *)field;
        }
    }
    return 0;
}

static bool
check_experiment(const struct experiment *x, const char *path, struct err *e)
{
    const struct sim_ranges *r = &x->ranges;

    for (size_t i = 0; i < sizeof(bounds_keys) / sizeof(bounds_keys[0]); i++) {
        if (value_of(x, bounds_keys[i].min) >
            value_of(x, bounds_keys[i].max)) {
            err_set(e, "%s: %s is above %s", path, bounds_keys[i].min,
                bounds_keys[i].max);
            return false;
        }
    }
    if (!any_set(r->patience_drawn, SIM_PATIENCE_COUNT)) {
        err_set(e, "%s: [patience]: want one of them true", path);
        return false;
    }
    if (r->faults_max > 0 && !any_set(r->fault_drawn, SIM_FAULT_KINDS)) {
        err_set(e,
            "%s: [trouble]: want one of them \"drawn\", or "
            "troubles.most = 0",
            path);
        return false;
    }
    return true;
}

static bool
read_experiment(struct experiment *x, const char *path, struct err *e)
{
    *x = (struct experiment){0};
    sim_ranges_init(&x->ranges);
    x->days = 100;
    x->seed = 1;
    if (toml_each(path, set_value, x, e) != CONF_OK) {
        err_prefix(e, "%s", path);
        return false;
    }
    return check_experiment(x, path, e);
}

/* --- days --- */

static struct day
day_from_result(uint64_t seed, const struct sim_result *r)
{
    double requests = (double)num_max(r->total.requests, 1);
    struct day d = {.seed = seed,
        .score = r->score,
        .in_time = (double)r->total.in_time / requests,
        .late = (double)r->total.late / requests,
        .refused = (double)r->total.refused / requests,
        .lost = (double)r->total.lost / requests,
        .refused_late = r->refused_late,
        .refused_early = r->refused_early,
        .runs = r->runs,
        .rejected_full = r->rejected_full,
        .moved = r->moved,
        .messages = r->messages,
        .estimate_error = r->estimate_error,
        .forwarded = r->forwarded,
        .sessions_lost = r->sessions_lost,
        .longest_pass_us = r->longest_pass_us,
        .worst_entry = r->worst_entry};

    for (size_t i = 0; i < r->violations.n; i++) {
        d.violations += r->violations.p[i] == '\n';
    }
    return d;
}

static void
run_days(const struct experiment *x, uint64_t first, uint64_t step, FILE *out)
{
    for (uint64_t i = first; i < x->days; i += step) {
        struct sim_deployment *d = dw_zero(1, sizeof(*d));
        struct sim_result r;
        struct day day;

        sim_draw(d, x->seed + i, &x->ranges);
        sim_run_day(d, &r);
        day = day_from_result(d->seed, &r);
        if (day.violations > 0) {
            fprintf(stderr, "seed %llu:\n%s", (unsigned long long)d->seed,
                r.violations.p);
        }
        fwrite(&day, sizeof(day), 1, out);
        sim_result_free(&r);
        free(d);
    }
    fflush(out);
}

/* Simulates all days in that many processes; false if one of them failed. */
static bool
run_all_days(const struct experiment *x, int processes, struct day *days)
{
    FILE *outputs[PROCESSES_MAX] = {NULL};
    pid_t children[PROCESSES_MAX] = {0};
    bool ok = true;

    for (int k = 0; k < processes; k++) {
        outputs[k] = tmpfile();
        children[k] = outputs[k] != NULL ? fork() : -1;
        if (children[k] == 0) {
            run_days(x, (uint64_t)k, (uint64_t)processes, outputs[k]);
            _exit(0);
        }
        ok &= children[k] > 0;
    }
    for (int k = 0; k < processes; k++) {
        struct day day;
        int status;

        if (children[k] > 0) {
            ok &= waitpid(children[k], &status, 0) > 0 && status == 0;
        }
        if (outputs[k] == NULL) {
            continue;
        }
        rewind(outputs[k]);
        while (fread(&day, sizeof(day), 1, outputs[k]) == 1) {
            days[day.seed - x->seed] = day;
        }
        fclose(outputs[k]);
    }
    return ok;
}

/* --- tables --- */

/* Sums for a mean and its standard error. */
struct mean {
    double n;
    double sum;
    double squares;
};

static void
mean_add(struct mean *m, double v)
{
    m->n++;
    m->sum += v;
    m->squares += v * v;
}

static double
mean_of(const struct mean *m)
{
    return m->n > 0 ? m->sum / m->n : 0;
}

static double
mean_error(const struct mean *m)
{
    double mean = mean_of(m);

    return m->n > 1
               ? sqrt(fmax(m->squares / m->n - mean * mean, 0) / (m->n - 1))
               : 0;
}

static void
print_csv(FILE *out, const struct day *d, uint64_t n)
{
    fprintf(out, "%s\n", CSV_HEAD);
    for (uint64_t i = 0; i < n; i++) {
        fprintf(out,
            "%llu,%.6f,%.6f,%.6f,%.6f,%.6f,%llu,%llu,%llu,%llu,%llu,%llu,"
            "%.6f,%llu,%llu,%llu,%llu,%.6f\n",
            (unsigned long long)d[i].seed, d[i].score, d[i].in_time, d[i].late,
            d[i].refused, d[i].lost, (unsigned long long)d[i].refused_late,
            (unsigned long long)d[i].refused_early,
            (unsigned long long)d[i].runs,
            (unsigned long long)d[i].rejected_full,
            (unsigned long long)d[i].moved, (unsigned long long)d[i].messages,
            d[i].estimate_error, (unsigned long long)d[i].violations,
            (unsigned long long)d[i].forwarded,
            (unsigned long long)d[i].sessions_lost,
            (unsigned long long)d[i].longest_pass_us, d[i].worst_entry);
    }
}

static bool
read_csv(const char *path, struct day **out, size_t *n, struct err *e)
{
    FILE *f = fopen(path, "r");
    char line[1024];
    size_t line_number = 0;
    bool ok = false;

    *out = NULL;
    *n = 0;
    if (f == NULL) {
        err_set(e, "%s: %s", path, strerror(errno));
        return false;
    }
    while (fgets(line, sizeof(line), f) != NULL) {
        struct day d = {0};

        line_number++;
        line[strcspn(line, "\n")] = '\0';
        if (line_number == 1) {
            if (strcmp(line, CSV_HEAD) != 0) {
                err_set(e,
                    "%s:1: the header is not that of a days.csv of this dwsim",
                    path);
                goto out;
            }
            continue;
        }
        if (sscanf(line,
                "%lu,%lf,%lf,%lf,%lf,%lf,%lu,%lu,%lu,%lu,%lu,%lu,%lf,%lu,%lu,"
                "%lu,%lu,%lf",
                &d.seed, &d.score, &d.in_time, &d.late, &d.refused, &d.lost,
                &d.refused_late, &d.refused_early, &d.runs, &d.rejected_full,
                &d.moved, &d.messages, &d.estimate_error, &d.violations,
                &d.forwarded, &d.sessions_lost, &d.longest_pass_us,
                &d.worst_entry) != CSV_COLUMNS) {
            err_set(
                e, "%s:%zu: want %d numbers", path, line_number, CSV_COLUMNS);
            goto out;
        }
        *out = dw_grow(*out, (*n + 1) * sizeof(**out));
        (*out)[(*n)++] = d;
    }
    ok = true;
out:
    fclose(f);
    return ok;
}

/* A row of the printed tables: a value of each day. */
struct column {
    const char *name;
    double (*of)(const struct day *d);
};

static double
score_of(const struct day *d)
{
    return d->score;
}

static double
in_time_of(const struct day *d)
{
    return d->in_time;
}

static double
late_of(const struct day *d)
{
    return d->late;
}

static double
refused_of(const struct day *d)
{
    return d->refused;
}

static double
lost_of(const struct day *d)
{
    return d->lost;
}

static double
refused_late_of(const struct day *d)
{
    double all = (double)(d->refused_late + d->refused_early);

    return all > 0 ? (double)d->refused_late / all : 0;
}

static double
rejected_full_of(const struct day *d)
{
    return (double)d->rejected_full / (double)num_max(d->runs, 1);
}

static double
moved_of(const struct day *d)
{
    return (double)d->moved / (double)num_max(d->runs, 1);
}

static double
messages_of(const struct day *d)
{
    return (double)d->messages / (double)num_max(d->runs, 1);
}

static double
estimate_error_of(const struct day *d)
{
    return d->estimate_error;
}

static double
forwarded_of(const struct day *d)
{
    return (double)d->forwarded;
}

static double
sessions_lost_of(const struct day *d)
{
    return (double)d->sessions_lost;
}

static double
longest_pass_of(const struct day *d)
{
    return (double)d->longest_pass_us / 1000;
}

static double
worst_entry_of(const struct day *d)
{
    return d->worst_entry;
}

static const struct column *
columns_of(size_t *n)
{
    static const struct column columns[] = {
        {"worth", score_of},
        {"in time", in_time_of},
        {"late", late_of},
        {"refused", refused_of},
        {"lost", lost_of},
        {"late, of refused", refused_late_of},
        {"rejected full, of runs", rejected_full_of},
        {"moved, of runs", moved_of},
        {"messages per run", messages_of},
        {"error of run times, ln", estimate_error_of},
        {"forwarded requests", forwarded_of},
        {"sessions lost", sessions_lost_of},
        {"longest pass, ms", longest_pass_of},
        {"refused, worst entry/all", worst_entry_of},
    };

    *n = sizeof(columns) / sizeof(columns[0]);
    return columns;
}

static void
print_table(const struct day *days, uint64_t n)
{
    size_t count;
    const struct column *columns = columns_of(&count);

    printf("%llu days\n%-26s %9s %9s\n", (unsigned long long)n, "", "mean",
        "error");
    for (size_t c = 0; c < count; c++) {
        struct mean m = {0};

        for (uint64_t i = 0; i < n; i++) {
            mean_add(&m, columns[c].of(&days[i]));
        }
        printf("%-26s %9.4f %9.4f\n", columns[c].name, mean_of(&m),
            mean_error(&m));
    }
}

/* Compares the results of the same seeds under two builds or settings. */
static int
compare(const char *before_path, const char *after_path)
{
    struct err e = {""};
    struct day *before = NULL;
    struct day *after = NULL;
    size_t before_n;
    size_t after_n;
    size_t count;
    const struct column *columns = columns_of(&count);
    int rc = 2;

    if (!read_csv(before_path, &before, &before_n, &e) ||
        !read_csv(after_path, &after, &after_n, &e)) {
        fprintf(stderr, "dwsim: %s\n", e.msg);
        goto out;
    }
    printf("%-26s %9s %9s %10s %9s\n", "", "before", "after", "difference",
        "error");
    for (size_t c = 0; c < count; c++) {
        struct mean m[3] = {{0}};
        size_t k = 0;

        for (size_t i = 0; i < before_n; i++) {
            while (k < after_n && after[k].seed < before[i].seed) {
                k++;
            }
            if (k < after_n && after[k].seed == before[i].seed) {
                double b = columns[c].of(&before[i]);
                double a = columns[c].of(&after[k]);

                mean_add(&m[0], b);
                mean_add(&m[1], a);
                mean_add(&m[2], a - b);
            }
        }
        if (c == 0 && m[0].n == 0) {
            fprintf(stderr, "dwsim: no seed is in both tables\n");
            goto out;
        }
        printf("%-26s %9.4f %9.4f %+10.4f %9.4f\n", columns[c].name,
            mean_of(&m[0]), mean_of(&m[1]), mean_of(&m[2]), mean_error(&m[2]));
    }
    rc = 0;
out:
    free(before);
    free(after);
    return rc;
}

/* --- one day in full --- */

static void
print_totals(const char *name, size_t number, const struct sim_totals *totals)
{
    printf("%s %-6zu %7llu %7llu %6llu %7llu %6llu %7.3f\n", name, number,
        (unsigned long long)totals->requests,
        (unsigned long long)totals->in_time, (unsigned long long)totals->late,
        (unsigned long long)totals->refused, (unsigned long long)totals->lost,
        totals->value_offered > 0
            ? totals->value_earned / totals->value_offered
            : 1.0);
}

static void
print_deployment(const struct sim_deployment *d)
{
    printf("seed %llu: %u domains, %u entries, %u workers, %.0f requests/s\n",
        (unsigned long long)d->seed, d->domain_count, d->entry_count,
        d->worker_count, d->requests_per_s);
    for (uint32_t i = 0; i < d->kind_count; i++) {
        const struct sim_kind *k = &d->kind[i];

        printf("kind %u: %.1f/s, %.1f tasks of %.0f ms on %.1f cores, "
               "objective %.1f times and %u ms, declared %.2f (%.2f)\n",
            i, d->requests_per_s * k->share, k->tasks_mean, k->run_median_ms,
            k->millicores / 1e3, k->stretch_milli / 1e3, k->slo_ms,
            k->declared_ratio, k->declared_log_sigma);
    }
    for (uint32_t i = 0; i < d->fault_count; i++) {
        const struct sim_fault *fault = &d->fault[i];

        printf("fault: %s from %.1f s for %.1f s, share %.2f, factor %.1f%s\n",
            sim_fault_names[fault->kind], fault->start_ms / 1e3,
            fault->duration_ms / 1e3, fault->share, fault->factor,
            fault->all_kinds ? ", all kinds" : "");
    }
}

static int
show_day(const struct experiment *x, uint64_t seed)
{
    struct sim_deployment *d = dw_zero(1, sizeof(*d));
    struct sim_result r;

    sim_draw(d, seed, &x->ranges);
    sim_run_day(d, &r);
    print_deployment(d);
    printf("worth %.4f, refused late %llu, refused early %llu, runs %llu, "
           "rejected by full agents %llu\n",
        r.score, (unsigned long long)r.refused_late,
        (unsigned long long)r.refused_early, (unsigned long long)r.runs,
        (unsigned long long)r.rejected_full);
    printf("%13s %7s %7s %6s %7s %6s %7s\n", "", "asked", "in time", "late",
        "refused", "lost", "worth");
    for (size_t i = 0; i < r.window_count; i++) {
        print_totals("from s", i * SIM_WINDOW_MS / 1000, &r.window[i]);
    }
    for (uint32_t k = 0; k < d->kind_count; k++) {
        print_totals("kind  ", k, &r.kind[k]);
    }
    fputs(r.violations.n > 0 ? r.violations.p : "", stdout);
    sim_result_free(&r);
    free(d);
    return 0;
}

/* --- report files --- */

static void
make_directories(const char *dir)
{
    char path[PATH_CAP];

    str_copy(path, sizeof(path), str_of(dir));
    for (char *p = strchr(path + 1, '/'); p != NULL; p = strchr(p + 1, '/')) {
        *p = '\0';
        mkdir(path, 0777);
        *p = '/';
    }
    mkdir(path, 0777);
}

static bool
write_reports(const char *dir, const struct day *days, uint64_t n)
{
    char path[PATH_CAP];
    FILE *f;

    make_directories(dir);
    snprintf(path, sizeof(path), "%s/days.csv", dir);
    f = fopen(path, "w");
    if (f == NULL) {
        fprintf(stderr, "dwsim: %s: %s\n", path, strerror(errno));
        return false;
    }
    print_csv(f, days, n);
    fclose(f);
    snprintf(path, sizeof(path), "%s/plot.gp", dir);
    f = fopen(path, "w");
    if (f == NULL) {
        fprintf(stderr, "dwsim: %s: %s\n", path, strerror(errno));
        return false;
    }
    fprintf(f,
        "set terminal svg size 900,500\nset output '%s/days.svg'\n"
        "set datafile separator ','\nset key autotitle columnhead\n"
        "set xlabel 'refused and lost'\nset ylabel 'worth'\n"
        "plot '%s/days.csv' using ($5+$6):2 with points title 'one point per "
        "day'\n",
        dir, dir);
    fclose(f);
    return true;
}

static int
run_experiment(const struct experiment *x, const char *dir, int processes)
{
    struct day *days = dw_zero(x->days, sizeof(*days));
    struct timespec begin;
    struct timespec end;
    double seconds;
    uint64_t violations = 0;
    int rc = 1;

    clock_gettime(CLOCK_MONOTONIC, &begin);
    if (!run_all_days(x, processes, days)) {
        fprintf(stderr, "dwsim: some days were not simulated\n");
        goto out;
    }
    clock_gettime(CLOCK_MONOTONIC, &end);
    seconds = (double)(end.tv_sec - begin.tv_sec) +
              (double)(end.tv_nsec - begin.tv_nsec) / 1e9;
    print_table(days, x->days);
    printf("%.0f days per minute\n", 60.0 * (double)x->days / seconds);
    for (uint64_t i = 0; i < x->days; i++) {
        violations += days[i].violations;
    }
    printf("violated guarantees: %llu\n", (unsigned long long)violations);
    rc = write_reports(dir, days, x->days) && violations == 0 ? 0 : 1;
out:
    free(days);
    return rc;
}

int
main(int argc, const char **argv)
{
    const char *dir = NULL;
    int jobs = 1;
    long long days = 0;
    long long seed = -1;
    long long show = -1;
    int comparing = 0;
    struct poptOption options[] = {{"output", 'o', POPT_ARG_STRING, &dir, 0,
                                       "directory for the reports", "DIR"},
        {"jobs", 'j', POPT_ARG_INT, &jobs, 0,
            "number of days to simulate in parallel", "N"},
        {"days", 'n', POPT_ARG_LONGLONG, &days, 0,
            "number of days, overrides the file", "N"},
        {"seed", 's', POPT_ARG_LONGLONG, &seed, 0,
            "seed of the first day, overrides the file", "N"},
        {"show", 0, POPT_ARG_LONGLONG, &show, 0,
            "simulate one day and print it in full", "SEED"},
        {"compare", 0, POPT_ARG_NONE, &comparing, 0,
            "compare two days.csv files, seed by seed", NULL},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext ctx = poptGetContext("dwsim", argc, argv, options, 0);
    struct experiment x;
    struct err e = {""};
    const char *path;
    const char *other_path;
    int rc = poptGetNextOpt(ctx);

    poptSetOtherOptionHelp(ctx, "EXPERIMENT.toml | --compare OLD.csv NEW.csv");
    if (rc < -1) {
        fprintf(stderr, "dwsim: %s: %s\n", poptBadOption(ctx, 0),
            poptStrerror(rc));
        rc = 2;
        goto out;
    }
    path = poptGetArg(ctx);
    other_path = poptGetArg(ctx);
    rc = 2;
    if (path == NULL || (comparing != 0) != (other_path != NULL) || jobs < 1 ||
        jobs > PROCESSES_MAX || days < 0 || days > DAYS_MAX) {
        poptPrintUsage(ctx, stderr, 0);
        goto out;
    }
    if (comparing) {
        rc = compare(path, other_path);
        goto out;
    }
    if (!read_experiment(&x, path, &e)) {
        fprintf(stderr, "dwsim: %s\n", e.msg);
        goto out;
    }
    x.days = days > 0 ? (uint64_t)days : x.days;
    x.seed = seed >= 0 ? (uint64_t)seed : x.seed;
    rc = show >= 0 ? show_day(&x, (uint64_t)show)
                   : run_experiment(&x, dir != NULL ? dir : "out/dwsim", jobs);
out:
    poptFreeContext(ctx);
    return rc;
}
