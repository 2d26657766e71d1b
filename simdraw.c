/* Deployments and their troubles, drawn within bounds. */
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <math.h>
#include <string.h>

#include "num.h"
#include "sim.h"

/* A trouble begins after the first two windows and ends in time for what it
 * leaves behind to be seen. */
#define FIRST_MS 4000U
#define LAST_MS 8000U

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
    r->per_s_max = 500;
    r->task_millicores_min = 500;
    r->task_millicores_max = 8000;
    r->goal = (struct sim_goal){0.35, 0.5, 0.15, 0};
    r->burst_max = 1.8;
    r->troubles_min = 1;
    r->troubles_max = 3;
    for (size_t i = 0; i < SIM_TROUBLE_KINDS; i++) {
        r->trouble[i] = true;
    }
    r->trouble[SIM_ENTRY_SLOW] = false;
    for (size_t i = 0; i < SIM_PATIENCE_COUNT; i++) {
        r->patience[i] = true;
    }
}

static double
between(gsl_rng *rng, double least, double most)
{
    return least + (most - least) * gsl_rng_uniform(rng);
}

/* As likely between 1 and 2 as between 100 and 200. */
static double
scale_between(gsl_rng *rng, double least, double most)
{
    return exp(between(rng, log(least), log(most)));
}

static uint32_t
whole_between(gsl_rng *rng, uint32_t least, uint32_t most)
{
    return least + (uint32_t)gsl_rng_uniform_int(rng, most - least + 1);
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
    uint32_t cores = (uint32_t)scale_between(rng, 16, 96);
    double uneven_share = between(rng, 0, 1);

    d->domains = whole_between(rng, 2, r->domains_max);
    d->entries =
        d->domains * whole_between(rng, r->entries_min, r->entries_max);
    d->entries = (uint32_t)num_min(d->entries, SIM_ENTRIES_MAX);
    d->workers = whole_between(rng, r->workers_min, r->workers_max);
    for (uint32_t i = 0; i < d->entries; i++) {
        d->entry_share[i] = between(rng, 0.3, 1);
    }
    for (uint32_t i = 0; i < d->workers; i++) {
        bool other = gsl_rng_uniform(rng) < 0.33;

        d->speed[i] = other ? 1 + 0.4 * uneven_share : 1;
        d->millicores[i] =
            cores * 1000 * (other && uneven_share > 0.5 ? 3 : 2) / 2;
    }
    d->near_us = 200;
    d->far_us = (uint32_t)scale_between(rng, 500, 3000);
    d->client_us = 1000;
    d->call_us = 300;
    d->start_ms = whole_between(rng, 150, 600);
}

static double
total_cores(const struct sim_deployment *d)
{
    double sum = 0;

    for (uint32_t i = 0; i < d->workers; i++) {
        sum += d->millicores[i] * d->speed[i] / 1000;
    }
    return sum;
}

/* Core-seconds of one request. */
static double
work_of(const struct sim_kind *k)
{
    return k->run_ms / 1000 * exp(k->run_sigma * k->run_sigma / 2) * k->width *
           k->millicores / 1000;
}

static void
draw_kind(struct sim_kind *k, gsl_rng *rng, const struct sim_ranges *r,
    double declared_sigma)
{
    k->run_ms = scale_between(rng, 40, 1000);
    k->run_sigma = between(rng, 0.2, 0.6);
    k->width = scale_between(rng, 1, 10);
    k->width_max = (uint32_t)(4 * k->width) + 1;
    k->millicores = (uint32_t)scale_between(
        rng, r->task_millicores_min, r->task_millicores_max);
    k->declared = scale_between(rng, 0.5, 2);
    k->declared_sigma = declared_sigma;
    k->stretch_milli = whole_between(rng, 1200, 2500);
    k->slo_ms = whole_between(rng, 20, 150);
    k->timeout_ms = whole_between(rng, 500, 4000);
    k->attempts = whole_between(rng, 2, 4);
}

#define LONGER 1.1

/* Each kind has a like part of the cores, give or take, and of the worth.
 * Run times are longer rather than more than per_s_max requests a second, as
 * what a day takes to play is by its requests. */
static void
share_out(
    struct sim_deployment *d, gsl_rng *rng, double cores, double per_s_max)
{
    double parts[SIM_KINDS_MAX];
    double sum = 0;

    for (uint32_t i = 0; i < d->kinds; i++) {
        parts[i] = between(rng, 0.5, 1.5);
        sum += parts[i];
    }
    do {
        d->per_s = 0;
        for (uint32_t i = 0; i < d->kinds; i++) {
            struct sim_kind *k = &d->kind[i];

            k->run_ms *= LONGER;
            k->share = parts[i] / sum * cores / work_of(k);
            d->per_s += k->share;
        }
    } while (d->per_s > per_s_max);
    for (uint32_t i = 0; i < d->kinds; i++) {
        d->kind[i].worth = between(rng, 0.5, 2) / d->kind[i].share;
        d->kind[i].share /= d->per_s;
    }
}

static void
draw_requests(
    struct sim_deployment *d, gsl_rng *rng, const struct sim_ranges *r)
{
    double declared_sigma = between(rng, 0.1, 0.7);
    double load = between(rng, r->load_min, r->load_max);

    d->kinds = whole_between(rng, 2, SIM_KINDS_MAX);
    for (uint32_t i = 0; i < d->kinds; i++) {
        draw_kind(&d->kind[i], rng, r, declared_sigma);
        d->kind[i].priority = i;
    }
    share_out(d, rng, load * total_cores(d), r->per_s_max);
    d->uneven = between(rng, 0.05, 0.25);
    d->fails = between(rng, 0, 0.005);
    d->resend_ms = whole_between(rng, 1000, 2000);
    d->returns = between(rng, 0, 1);
    d->patience =
        (enum sim_patience)one_of(rng, r->patience, SIM_PATIENCE_COUNT);
}

/* How much, by kind of trouble. */
static const struct {
    double least;
    double most;
    double share_least;
    double share_most;
    uint32_t ms_least;
    uint32_t ms_most;
} sizes[SIM_TROUBLE_KINDS] = {
    [SIM_BURST] = {1.2, 0, 0, 0, 2000, 6000},
    [SIM_DARK] = {0, 0, 0, 0, 300, 2000},
    [SIM_WITHDRAWN] = {0, 0, 0, 0, 4000, 20000},
    [SIM_SLOW] = {3, 8, 0.08, 0.25, 3000, 8000},
    [SIM_HANG] = {0, 0, 0.05, 0.15, 3000, 7000},
    [SIM_FAIL] = {0, 0, 0.05, 0.2, 3000, 7000},
    [SIM_CRASH] = {0, 0, 0.05, 0.2, 2000, 6000},
    [SIM_LATE_ORDERS] = {0, 0, 0.02, 0.08, 3000, 8000},
    [SIM_LEAVE] = {0, 0, 0.2, 0.5, 3000, 10000},
    [SIM_LARGE] = {2, 4, 0, 0, 2000, 5000},
    [SIM_HOPELESS] = {0, 0, 0.03, 0.1, 2000, 5000},
    [SIM_ENTRY_KILL] = {0, 0, 0, 0, 500, 3000},
    [SIM_ENTRY_SLOW] = {4, 8, 0, 0, 4000, 8000},
};

static void
draw_trouble(struct sim_deployment *d, gsl_rng *rng,
    enum sim_trouble_kind kind, const struct sim_ranges *r)
{
    struct sim_trouble *t = &d->trouble[d->troubles++];
    uint32_t last =
        (uint32_t)num_max(FIRST_MS + 1, num_sub_sat(d->length_ms, LAST_MS));

    t->kind = kind;
    t->at_ms = whole_between(rng, FIRST_MS, last);
    t->for_ms = whole_between(rng, sizes[kind].ms_least, sizes[kind].ms_most);
    t->share = between(rng, sizes[kind].share_least, sizes[kind].share_most);
    t->x = between(rng, sizes[kind].least,
        kind == SIM_BURST ? r->burst_max : sizes[kind].most);
    t->target = (uint32_t)gsl_rng_uniform_int(
        rng, kind == SIM_WITHDRAWN    ? d->domains
             : kind >= SIM_ENTRY_KILL ? d->entries
                                      : d->kinds);
    t->all = kind == SIM_BURST && gsl_rng_uniform(rng) < 0.5;
}

static void
draw_troubles(
    struct sim_deployment *d, gsl_rng *rng, const struct sim_ranges *r)
{
    uint32_t n = whole_between(rng, r->troubles_min, r->troubles_max);
    bool had[SIM_TROUBLE_KINDS] = {false};
    size_t kinds;

    for (size_t i = 0; i < SIM_TROUBLE_KINDS; i++) {
        if (r->every[i] && d->troubles < SIM_TROUBLES_MAX) {
            had[i] = true;
            draw_trouble(d, rng, (enum sim_trouble_kind)i, r);
        }
    }
    /* Days without processors stay as they were drawn before. */
    kinds = r->trouble[SIM_ENTRY_SLOW] ? SIM_TROUBLE_KINDS : SIM_ENTRY_SLOW;
    for (uint32_t k = 0; k < n && d->troubles < SIM_TROUBLES_MAX; k++) {
        size_t i = one_of(rng, r->trouble, kinds);

        if (!had[i]) {
            had[i] = true;
            draw_trouble(d, rng, (enum sim_trouble_kind)i, r);
        }
    }
}

static void
draw_processors(
    struct sim_deployment *d, gsl_rng *rng, const struct sim_ranges *r)
{
    d->entries_keep = r->keep;
    d->entries_stay = r->stay;
    for (uint32_t i = 0; r->cpu_max > 0 && i < d->entries; i++) {
        d->entry_cpu[i] = scale_between(rng, r->cpu_min, r->cpu_max);
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
    d->goal = r->goal;
    draw_machines(d, rng, r);
    draw_requests(d, rng, r);
    draw_troubles(d, rng, r);
    draw_processors(d, rng, r);
    gsl_rng_free(rng);
}
