/* Draws deployments and their faults within bounds. */
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <math.h>
#include <string.h>

#include "num.h"
#include "sim.h"

/* Faults begin after the first two windows, and early enough for their
 * after-effects to show before the end of the day. */
#define FIRST_FAULT_MS 4000U
#define FAULT_TAIL_MS 8000U

void
sim_ranges_init(struct sim_ranges *r)
{
    *r = (struct sim_ranges){0};
    r->length_ms = 30000;
    r->domains_max = 4;
    r->workers_min = 6;
    r->workers_max = 16;
    r->entries_min = 1;
    r->entries_max = 2;
    r->load_min = 0.3;
    r->load_max = 0.9;
    r->requests_per_s_max = 500;
    r->task_millicores_min = 500;
    r->task_millicores_max = 8000;
    r->tail_factor = 1;
    r->weights = (struct sim_weights){0.35, 0.5, 0.15, 0};
    r->burst_factor_max = 1.8;
    r->faults_min = 1;
    r->faults_max = 3;
    for (size_t i = 0; i < SIM_FAULT_KINDS; i++) {
        r->fault_drawn[i] = true;
    }
    r->fault_drawn[SIM_ENTRY_SLOW] = false;
    for (size_t i = 0; i < SIM_PATIENCE_COUNT; i++) {
        r->patience_drawn[i] = true;
    }
}

static double
uniform_between(gsl_rng *rng, double min, double max)
{
    return min + (max - min) * gsl_rng_uniform(rng);
}

/* Log-uniform: as likely between 1 and 2 as between 100 and 200. */
static double
log_uniform_between(gsl_rng *rng, double min, double max)
{
    return exp(uniform_between(rng, log(min), log(max)));
}

static uint32_t
integer_between(gsl_rng *rng, uint32_t min, uint32_t max)
{
    return min + (uint32_t)gsl_rng_uniform_int(rng, max - min + 1);
}

static size_t
one_of(gsl_rng *rng, const bool *allowed, size_t n)
{
    size_t i;

    do {
        i = gsl_rng_uniform_int(rng, n);
    } while (!allowed[i]);
    return i;
}

static void
draw_machines(
    struct sim_deployment *d, gsl_rng *rng, const struct sim_ranges *r)
{
    uint32_t cores = (uint32_t)log_uniform_between(rng, 16, 96);
    double unevenness = uniform_between(rng, 0, 1);

    d->domain_count = integer_between(rng, 2, r->domains_max);
    d->entry_count =
        d->domain_count * integer_between(rng, r->entries_min, r->entries_max);
    d->entry_count = (uint32_t)num_min(d->entry_count, SIM_ENTRIES_MAX);
    d->worker_count = integer_between(rng, r->workers_min, r->workers_max);
    for (uint32_t i = 0; i < d->entry_count; i++) {
        d->entry_weight[i] = uniform_between(rng, 0.3, 1);
    }
    for (uint32_t i = 0; i < d->worker_count; i++) {
        bool larger = gsl_rng_uniform(rng) < 0.33;

        d->speed[i] = larger ? 1 + 0.4 * unevenness : 1;
        d->millicores[i] =
            cores * 1000 * (larger && unevenness > 0.5 ? 3 : 2) / 2;
        if (r->speed_max > 0) {
            d->speed[i] = uniform_between(rng, r->speed_min, r->speed_max);
        }
    }
    d->local_latency_us = 200;
    d->cross_domain_latency_us = (uint32_t)log_uniform_between(rng, 500, 3000);
    d->caller_latency_us = 1000;
    d->worker_latency_us = 300;
    d->restart_max_ms = integer_between(rng, 150, 600);
}

static double
total_cores(const struct sim_deployment *d)
{
    double sum = 0;

    for (uint32_t i = 0; i < d->worker_count; i++) {
        sum += d->millicores[i] * d->speed[i] / 1000;
    }
    return sum;
}

/* Core-seconds of one request. */
static double
core_seconds_of(const struct sim_kind *k)
{
    return k->run_median_ms / 1000 *
           exp(k->run_log_sigma * k->run_log_sigma / 2) * k->tasks_mean *
           k->millicores / 1000;
}

static void
draw_kind(struct sim_kind *k, gsl_rng *rng, const struct sim_ranges *r,
    double declared_sigma)
{
    k->run_median_ms = log_uniform_between(rng, 40, 1000);
    k->run_log_sigma = uniform_between(rng, 0.2, 0.6);
    k->tasks_mean = log_uniform_between(rng, 1, 10);
    k->tasks_max = (uint32_t)(4 * k->tasks_mean) + 1;
    k->millicores = (uint32_t)log_uniform_between(
        rng, r->task_millicores_min, r->task_millicores_max);
    k->declared_ratio = log_uniform_between(rng, 0.5, 2);
    k->declared_log_sigma = declared_sigma;
    k->stretch_milli = integer_between(rng, 1200, 2500);
    k->slo_ms = integer_between(rng, 20, 150);
    k->timeout_ms = integer_between(rng, 500, 4000);
    k->attempts = integer_between(rng, 2, 4);
}

/* Factor by which run times grow until the request rate is low enough. */
#define RUN_TIME_STEP 1.1

/* Gives each kind a similar part of the cores and of the value.  Run times are
 * lengthened to keep the rate below requests_per_s_max, because the time to
 * simulate a day grows with its number of requests. */
static void
set_rates_and_values(struct sim_deployment *d, gsl_rng *rng, double cores,
    double requests_per_s_max)
{
    double weights[SIM_KINDS_MAX];
    double weight_sum = 0;

    for (uint32_t i = 0; i < d->kind_count; i++) {
        weights[i] = uniform_between(rng, 0.5, 1.5);
        weight_sum += weights[i];
    }
    do {
        d->requests_per_s = 0;
        for (uint32_t i = 0; i < d->kind_count; i++) {
            struct sim_kind *k = &d->kind[i];

            k->run_median_ms *= RUN_TIME_STEP;
            k->share = weights[i] / weight_sum * cores / core_seconds_of(k);
            d->requests_per_s += k->share;
        }
    } while (d->requests_per_s > requests_per_s_max);
    for (uint32_t i = 0; i < d->kind_count; i++) {
        d->kind[i].value = uniform_between(rng, 0.5, 2) / d->kind[i].share;
        d->kind[i].share /= d->requests_per_s;
    }
}

static void
draw_requests(
    struct sim_deployment *d, gsl_rng *rng, const struct sim_ranges *r)
{
    double declared_sigma = uniform_between(rng, 0.1, 0.7);
    double load = uniform_between(rng, r->load_min, r->load_max);

    d->kind_count = integer_between(rng, 2, SIM_KINDS_MAX);
    for (uint32_t i = 0; i < d->kind_count; i++) {
        draw_kind(&d->kind[i], rng, r, declared_sigma);
        d->kind[i].priority = i;
    }
    d->tail_share = r->tail_share;
    d->tail_factor = r->tail_factor;
    load /= 1 + r->tail_share * (r->tail_factor - 1);
    set_rates_and_values(d, rng, load * total_cores(d), r->requests_per_s_max);
    d->task_log_sigma = uniform_between(rng, 0.05, 0.25);
    d->run_failure_share = uniform_between(rng, 0, 0.005);
    d->resend_ms = integer_between(rng, 1000, 2000);
    d->retry_share = uniform_between(rng, 0, 1);
    d->patience =
        (enum sim_patience)one_of(rng, r->patience_drawn, SIM_PATIENCE_COUNT);
}

/* Ranges of the effect, share and duration of each fault; the largest factor
 * of a burst is in struct sim_ranges. */
static const struct {
    double factor_min;
    double factor_max;
    double share_min;
    double share_max;
    uint32_t duration_min_ms;
    uint32_t duration_max_ms;
} fault_sizes[SIM_FAULT_KINDS] = {
    [SIM_BURST] = {1.2, 0, 0, 0, 2000, 6000},
    [SIM_POWER_LOSS] = {0, 0, 0, 0, 300, 2000},
    [SIM_WITHDRAWN] = {0, 0, 0, 0, 4000, 20000},
    [SIM_SLOW] = {3, 8, 0.08, 0.25, 3000, 8000},
    [SIM_HANG] = {0, 0, 0.05, 0.15, 3000, 7000},
    [SIM_FAIL] = {0, 0, 0.05, 0.2, 3000, 7000},
    [SIM_CRASH] = {0, 0, 0.05, 0.2, 2000, 6000},
    [SIM_LATE_ORDERS] = {0, 0, 0.02, 0.08, 3000, 8000},
    [SIM_LEAVE] = {0, 0, 0.2, 0.5, 3000, 10000},
    [SIM_WIDE_JOBS] = {2, 4, 0, 0, 2000, 5000},
    [SIM_FAILING_JOBS] = {0, 0, 0.03, 0.1, 2000, 5000},
    [SIM_ENTRY_KILL] = {0, 0, 0, 0, 500, 3000},
    [SIM_ENTRY_SLOW] = {4, 8, 0, 0, 4000, 8000},
};

static void
draw_fault(struct sim_deployment *d, gsl_rng *rng, enum sim_fault_kind kind,
    const struct sim_ranges *r)
{
    struct sim_fault *fault = &d->fault[d->fault_count++];
    uint32_t latest_ms = (uint32_t)num_max(
        FIRST_FAULT_MS + 1, num_sub_sat(d->length_ms, FAULT_TAIL_MS));

    fault->kind = kind;
    fault->start_ms = integer_between(rng, FIRST_FAULT_MS, latest_ms);
    fault->duration_ms = integer_between(rng,
        fault_sizes[kind].duration_min_ms, fault_sizes[kind].duration_max_ms);
    fault->share = uniform_between(
        rng, fault_sizes[kind].share_min, fault_sizes[kind].share_max);
    fault->factor = uniform_between(rng, fault_sizes[kind].factor_min,
        kind == SIM_BURST ? r->burst_factor_max
                          : fault_sizes[kind].factor_max);
    fault->target = (uint32_t)gsl_rng_uniform_int(
        rng, kind == SIM_WITHDRAWN    ? d->domain_count
             : kind >= SIM_ENTRY_KILL ? d->entry_count
                                      : d->kind_count);
    fault->all_kinds = kind == SIM_BURST && gsl_rng_uniform(rng) < 0.5;
}

static void
draw_faults(struct sim_deployment *d, gsl_rng *rng, const struct sim_ranges *r)
{
    uint32_t n = integer_between(rng, r->faults_min, r->faults_max);
    bool drawn[SIM_FAULT_KINDS] = {false};
    size_t kinds;

    for (size_t i = 0; i < SIM_FAULT_KINDS; i++) {
        if (r->fault_always[i] && d->fault_count < SIM_FAULTS_MAX) {
            drawn[i] = true;
            draw_fault(d, rng, (enum sim_fault_kind)i, r);
        }
    }
    /* The number of kinds to choose from changes the random sequence: days
     * without slow entries do not depend on the existence of that fault. */
    kinds = r->fault_drawn[SIM_ENTRY_SLOW] ? SIM_FAULT_KINDS : SIM_ENTRY_SLOW;
    for (uint32_t k = 0; k < n && d->fault_count < SIM_FAULTS_MAX; k++) {
        size_t i = one_of(rng, r->fault_drawn, kinds);

        if (!drawn[i]) {
            drawn[i] = true;
            draw_fault(d, rng, (enum sim_fault_kind)i, r);
        }
    }
}

static void
draw_processors(
    struct sim_deployment *d, gsl_rng *rng, const struct sim_ranges *r)
{
    d->no_forwarding = r->no_forwarding;
    d->always_in_rotation = r->always_in_rotation;
    d->settings = r->settings;
    for (uint32_t i = 0; r->entry_cores_max > 0 && i < d->entry_count; i++) {
        d->entry_cores[i] =
            log_uniform_between(rng, r->entry_cores_min, r->entry_cores_max);
    }
}

void
sim_draw(struct sim_deployment *d, uint64_t seed, const struct sim_ranges *r)
{
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);

    memset(d, 0, sizeof(*d));
    gsl_rng_set(rng, (unsigned long)seed);
    d->seed = seed;
    d->length_ms = r->length_ms;
    d->weights = r->weights;
    draw_machines(d, rng, r);
    draw_requests(d, rng, r);
    draw_faults(d, rng, r);
    draw_processors(d, rng, r);
    gsl_rng_free(rng);
}
