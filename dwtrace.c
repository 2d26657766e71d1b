/* Generates the jobs of an experiment and their ideal schedule. */
#include "dwload.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct rng {
    uint64_t state;
};

static const char *const domain_names[LD_DOMAINS] = {
    "kolding", "aarhus", "herning"};

const char *
ld_domain_name(uint32_t domain)
{
    return domain_names[domain % LD_DOMAINS];
}

static uint64_t
next_random(struct rng *r)
{
    r->state = mix64(r->state, 11);
    return r->state;
}

static double
uniform(struct rng *r)
{
    return ((double)(next_random(r) >> 11) + 0.5) / 9007199254740992.0;
}

static bool
chance(struct rng *r, uint32_t permille)
{
    return next_random(r) % 1000 < permille;
}

/* A log-normal distribution around the median, limited at both ends. */
static uint32_t
random_run_ms(struct rng *r, const struct ld_experiment *x)
{
    double u = uniform(r);
    double v = uniform(r);
    double normal = sqrt(-2.0 * log(u)) * cos(6.283185307179586 * v);
    double ms = x->run_median_ms * exp(0.8 * normal);

    if (ms < x->run_min_ms) {
        ms = x->run_min_ms;
    }
    return (uint32_t)(ms > x->run_max_ms ? x->run_max_ms : ms);
}

void
ld_format_key(
    char out[40], uint64_t wall_ms, uint64_t random_a, uint64_t random_b)
{
    snprintf(out, 40, "%08x-%04x-7%03x-%04x-%012llx",
        (unsigned)(wall_ms >> 16 & 0xffffffffU), (unsigned)(wall_ms & 0xffffU),
        (unsigned)(random_a & 0xfffU),
        (unsigned)(0x8000U | (random_a >> 16 & 0x3fffU)),
        (unsigned long long)(random_b & 0xffffffffffffULL));
}

static uint32_t
random_job_size(struct rng *r, const struct ld_experiment *x)
{
    double span = log((double)x->job_max / x->job_min);

    if (chance(r, x->single_permille)) {
        return 1;
    }
    /* The product of two uniform numbers makes small jobs common and the
     * largest rare. */
    return (uint32_t)(x->job_min * exp(span * uniform(r) * uniform(r)));
}

static void
add_job(struct ld_trace *t, struct rng *r, const struct ld_experiment *x,
    double at_ms)
{
    struct ld_job *job;

    t->jobs = dw_grow(t->jobs, (t->job_count + 1) * sizeof(t->jobs[0]));
    job = &t->jobs[t->job_count++];
    memset(job, 0, sizeof(*job));
    job->arrival_ms = at_ms;
    job->customer = (uint32_t)(next_random(r) % x->customers);
    job->task_count = random_job_size(r, x);
    job->run_ms = dw_zero(job->task_count, sizeof(uint32_t));
    for (uint32_t i = 0; i < job->task_count; i++) {
        job->run_ms[i] = random_run_ms(r, x);
    }
    job->misdeclared = chance(r, x->misdeclared_permille);
    job->submissions[0].entry = (uint32_t)(next_random(r) % x->entries);
    job->submissions[1].entry = (job->submissions[0].entry + 1) % x->entries;
    if (chance(r, x->resubmit_permille)) {
        job->resubmit_at_ms = at_ms + 1 + uniform(r) * x->resubmit_ms;
    }
    if (chance(r, x->cancel_permille)) {
        job->cancel_at_ms = at_ms + 20 + uniform(r) * 200;
    }
    t->task_count += job->task_count;
}

/* The mean run time of all tasks of a job, estimated from 20000 random jobs.
 */
static double
mean_work_ms(const struct ld_experiment *x)
{
    struct rng r = {12345};
    double work = 0;

    for (int i = 0; i < 20000; i++) {
        work += (double)random_job_size(&r, x) * random_run_ms(&r, x);
    }
    return work / 20000;
}

static int
by_arrival(const void *a, const void *b)
{
    const struct ld_job *x = a;
    const struct ld_job *y = b;

    return x->arrival_ms < y->arrival_ms ? -1 : x->arrival_ms > y->arrival_ms;
}

/* Poisson arrivals at the rate that gives the requested load, plus bursts. */
void
ld_trace_generate(struct ld_trace *t, const struct ld_experiment *x)
{
    struct rng r = {x->seed};
    double slots = (double)x->agents * x->slots;
    double jobs_per_ms = slots * x->load_permille / 1000.0 / mean_work_ms(x);
    double end_ms = x->seconds * 1000.0;
    double at_ms = 0;

    memset(t, 0, sizeof(*t));
    while (x->calls == 0 || t->job_count < x->calls) {
        at_ms += -log(uniform(&r)) / jobs_per_ms;
        if (at_ms > end_ms && x->calls == 0) {
            break;
        }
        add_job(t, &r, x, at_ms);
    }
    for (double burst_ms = x->burst_every_ms;
         x->burst_every_ms > 0 && burst_ms < end_ms;
         burst_ms += x->burst_every_ms) {
        for (uint32_t i = 0; i < x->burst_calls; i++) {
            add_job(t, &r, x, burst_ms);
        }
    }
    qsort(t->jobs, t->job_count, sizeof(t->jobs[0]), by_arrival);
}

void
ld_trace_free(struct ld_trace *t)
{
    for (size_t i = 0; i < t->job_count; i++) {
        free(t->jobs[i].run_ms);
    }
    free(t->jobs);
}

/* --- the ideal schedule --- */

/* The earliest time from `at` on at which the domain is not withdrawn. */
static double
available_from(const struct ld_experiment *x, uint32_t domain, double at)
{
    for (size_t i = 0; i < x->fault_count; i++) {
        const struct ld_fault *f = &x->faults[i];

        if (f->kind == LD_FAULT_DOMAIN_OUT &&
            strcmp(f->target, ld_domain_name(domain)) == 0 &&
            at >= f->start_ms && at < f->start_ms + f->duration_ms) {
            return f->start_ms + f->duration_ms;
        }
    }
    return at;
}

void
ld_trace_schedule_ideal(struct ld_trace *t, const struct ld_experiment *x)
{
    size_t slots = (size_t)x->agents * x->slots;
    double *free_at = dw_zero(slots, sizeof(double));

    for (size_t i = 0; i < t->job_count; i++) {
        struct ld_job *job = &t->jobs[i];
        double end = job->arrival_ms;

        for (uint32_t k = 0; k < job->task_count; k++) {
            size_t best = 0;
            double best_at = INFINITY;

            for (size_t s = 0; s < slots; s++) {
                uint32_t domain = (uint32_t)(s / x->slots) % LD_DOMAINS;
                double at = free_at[s] > job->arrival_ms ? free_at[s]
                                                         : job->arrival_ms;

                at = available_from(x, domain, at);
                if (at < best_at) {
                    best = s;
                    best_at = at;
                }
            }
            free_at[best] = best_at + job->run_ms[k];
            end = free_at[best] > end ? free_at[best] : end;
        }
        job->ideal_response_ms = end - job->arrival_ms;
    }
    free(free_at);
}
