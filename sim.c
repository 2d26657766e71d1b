/* Event queue, network, agents, store and faults of the simulation. */
#include "sim.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "num.h"
#include "sim-int.h"

/* Seeds of the generators: each draws its own sequence. */
#define REQUEST_SEQUENCE 1U
/* Interval at which a worker reports its capacity to its agent. */
#define HEARTBEAT_US 1500000U
/* Time from an agent's start until it is registered in the store. */
#define REGISTER_US 30000U
/* Of a worker; never the bottleneck. */
#define MEMORY_MB 1000000U
/* Shortest time until a dead process runs again. */
#define RESTART_MIN_MS 50U
/* Time after the last request in which answers still count. */
#define DRAIN_MS 12000U
/* Slowdown of tasks that hang. */
#define HANG_SLOWDOWN 1e6

const char *const sim_fault_names[SIM_FAULT_KINDS] = {
    [SIM_BURST] = "burst",
    [SIM_POWER_LOSS] = "dark",
    [SIM_WITHDRAWN] = "withdrawn",
    [SIM_SLOW] = "slow",
    [SIM_HANG] = "hang",
    [SIM_FAIL] = "fail",
    [SIM_CRASH] = "crash",
    [SIM_LATE_ORDERS] = "late_orders",
    [SIM_LEAVE] = "leave",
    [SIM_WIDE_JOBS] = "large",
    [SIM_FAILING_JOBS] = "hopeless",
    [SIM_ENTRY_KILL] = "entry_kill",
    [SIM_ENTRY_SLOW] = "entry_slow",
};

/* --- event queue --- */

static bool
is_before(const struct sim_event *a, const struct sim_event *b)
{
    return a->at_us != b->at_us ? a->at_us < b->at_us
                                : a->sequence < b->sequence;
}

void
sim_schedule(struct sim *s, uint64_t in_us, sim_fn fn, void *data)
{
    struct sim_event e = {s->now_us + in_us, s->next_sequence++, fn, data};
    size_t i = s->event_count++;

    if (s->event_count > s->event_cap) {
        s->event_cap = s->event_cap == 0 ? 1024 : 2 * s->event_cap;
        s->events = dw_grow(s->events, s->event_cap * sizeof(*s->events));
    }
    while (i > 0 && is_before(&e, &s->events[(i - 1) / 2])) {
        s->events[i] = s->events[(i - 1) / 2];
        i = (i - 1) / 2;
    }
    s->events[i] = e;
}

static struct sim_event
pop_event(struct sim *s)
{
    struct sim_event first = s->events[0];
    struct sim_event last = s->events[--s->event_count];
    size_t i = 0;

    for (;;) {
        size_t child = 2 * i + 1;

        if (child >= s->event_count) {
            break;
        }
        if (child + 1 < s->event_count &&
            is_before(&s->events[child + 1], &s->events[child])) {
            child++;
        }
        if (!is_before(&s->events[child], &last)) {
            break;
        }
        s->events[i] = s->events[child];
        i = child;
    }
    s->events[i] = last;
    return first;
}

double
sim_random(struct sim *s)
{
    return gsl_rng_uniform(s->rng);
}

/* Further violations of a day are not recorded. */
#define VIOLATIONS_MAX_BYTES 2000U

void
sim_violation(struct sim *s, const char *fmt, ...)
{
    char text[200];
    va_list ap;

    va_start(ap, fmt);
    vsnprintf(text, sizeof(text), fmt, ap);
    va_end(ap);
    if (s->result->violations.n < VIOLATIONS_MAX_BYTES) {
        buf_addf(&s->result->violations, "at %llu ms: %s\n",
            (unsigned long long)(sim_now_ms(s) - SIM_WARMUP_US / 1000), text);
    }
}

/* --- the network --- */

struct message {
    uint64_t from;
    uint64_t to;
    dw_msg *msg;
};

/* A process id holds a process number, unique within a day, above the index of
 * the agent or the entry and SIM_ENTRY_BIT. */
#define INDEX_MASK 0x7fffU
#define PROCESS_SHIFT 16U

uint64_t
sim_new_id(struct sim *s, uint32_t index)
{
    return ++s->next_process << PROCESS_SHIFT | index;
}

struct sim_entry *
sim_entry_by_id(struct sim *s, uint64_t id)
{
    struct sim_entry *e;

    /* There are more agents than entries: their index may be out of bounds. */
    if ((id & SIM_ENTRY_BIT) == 0) {
        return NULL;
    }
    e = &s->entries[id & INDEX_MASK];
    return e->id == id ? e : NULL;
}

static struct sim_agent *
agent_by_id(struct sim *s, uint64_t id)
{
    struct sim_agent *a;

    if ((id & SIM_ENTRY_BIT) != 0) {
        return NULL;
    }
    a = &s->agents[id & INDEX_MASK];
    return a->id == id ? a : NULL;
}

bool
sim_agent_is_current(const struct sim_call *c)
{
    return c->agent->id == c->agent_id;
}

static void
deliver(struct sim *s, void *data)
{
    struct message *m = data;
    struct sim_entry *e = sim_entry_by_id(s, m->to);
    struct sim_agent *a = agent_by_id(s, m->to);

    if (e != NULL) {
        sim_entry_message(e, m->from, m->msg);
        free(m);
        return;
    }
    if (a != NULL && m->msg->type == DW_ORDERS) {
        ag_handle_orders(
            &a->agent, sim_now_ms(s), m->from, &m->msg->dw_msg_u.orders);
        ag_flush(&a->agent, sim_now_ms(s));
    }
    else if (a != NULL && m->msg->type == DW_DEMAND) {
        ag_handle_demand(
            &a->agent, sim_now_ms(s), m->from, &m->msg->dw_msg_u.demand);
    }
    msg_free(m->msg);
    free(m);
}

static uint32_t
latency_us(const struct sim *s, uint64_t from, uint64_t to)
{
    return sim_domain_of(s, from & INDEX_MASK) ==
                   sim_domain_of(s, to & INDEX_MASK)
               ? s->d->local_latency_us
               : s->d->cross_domain_latency_us;
}

void
sim_send(struct sim *s, uint64_t after_us, uint64_t from, uint64_t to,
    const dw_msg *msg)
{
    struct message *m = dw_zero(1, sizeof(*m));

    *m = (struct message){from, to, msg_clone(msg)};
    s->result->messages++;
    sim_schedule(s, after_us + latency_us(s, from, to), deliver, m);
}

/* --- agents --- */

static void
agent_send(void *ctx, uint64_t to, const dw_msg *msg)
{
    struct sim_agent *a = ctx;

    sim_send(a->s, 0, a->id, to, msg);
}

static void
agent_reconnect(void *ctx, uint64_t to)
{
    (void)ctx;
    (void)to;
}

static void
agent_note_outcome(
    void *ctx, const struct rn_run *run, dw_end outcome, uint32_t ran_ms)
{
    struct sim_agent *a = ctx;

    (void)run;
    (void)ran_ms;
    a->s->result->rejected_full += outcome == DW_END_FULL;
}

static void
agent_note_session(
    void *ctx, uint64_t entry, const char *what, uint64_t silent_ms)
{
    (void)ctx;
    (void)entry;
    (void)what;
    (void)silent_ms;
}

static struct ag_ops agent_ops = {
    {0}, agent_send, agent_reconnect, agent_note_outcome, agent_note_session};

struct sim_process_ref *
sim_process_ref(uint64_t id)
{
    struct sim_process_ref *p = dw_zero(1, sizeof(*p));

    p->id = id;
    return p;
}

static void
tick_agent(struct sim *s, void *data)
{
    struct sim_process_ref *p = data;
    struct sim_agent *a = agent_by_id(s, p->id);

    if (a == NULL) {
        free(p);
        return;
    }
    ag_tick(&a->agent, sim_now_ms(s));
    ag_flush(&a->agent, sim_now_ms(s));
    sim_schedule(s, SIM_TICK_US, tick_agent, p);
}

static void
report_capacity(struct sim *s, struct sim_agent *a)
{
    const struct sim_worker *w = &s->workers[a->index];

    if (w->up) {
        rn_set_capacity(&a->agent.runner, sim_now_ms(s),
            s->d->millicores[a->index], MEMORY_MB, 0, w->started_ms);
        ag_flush(&a->agent, sim_now_ms(s));
    }
}

static void
worker_heartbeat(struct sim *s, void *data)
{
    struct sim_process_ref *p = data;
    struct sim_agent *a = agent_by_id(s, p->id);

    if (a == NULL) {
        free(p);
        return;
    }
    report_capacity(s, a);
    sim_schedule(s, HEARTBEAT_US, worker_heartbeat, p);
}

/* --- the store --- */

void
sim_domain_name(char *out, size_t cap, uint32_t domain)
{
    snprintf(out, cap, "d%u", domain);
}

/* The store's watches notify all entries. */
static void
notify_entries(struct sim *s)
{
    for (uint32_t i = 0; i < s->d->entry_count; i++) {
        if (s->entries[i].id != 0) {
            sim_schedule(s, s->d->cross_domain_latency_us, sim_read_store,
                sim_process_ref(s->entries[i].id));
        }
    }
}

static void
register_agent(struct sim *s, void *data)
{
    struct sim_process_ref *p = data;
    struct sim_agent *a = agent_by_id(s, p->id);

    if (a != NULL) {
        s->registered[a->index] = a->id;
        notify_entries(s);
    }
    free(p);
}

/* --- starts and restarts --- */

static void
start_agent(struct sim *s, struct sim_agent *a)
{
    a->id = sim_new_id(s, a->index);
    ag_init(&a->agent, sim_now_ms(s), &agent_ops, a);
    report_capacity(s, a);
    sim_schedule(s, (uint64_t)(sim_random(s) * SIM_TICK_US), tick_agent,
        sim_process_ref(a->id));
    sim_schedule(s, HEARTBEAT_US, worker_heartbeat, sim_process_ref(a->id));
    sim_schedule(s, REGISTER_US, register_agent, sim_process_ref(a->id));
}

static void
stop_agent(struct sim_agent *a)
{
    if (a->id != 0) {
        a->id = 0;
        ag_free(&a->agent);
    }
}

static uint64_t
restart_delay_us(struct sim *s)
{
    uint64_t span = num_sub_sat(s->d->restart_max_ms, RESTART_MIN_MS);

    return (RESTART_MIN_MS + (uint64_t)(sim_random(s) * (double)span)) * 1000;
}

static void
restart_entry(struct sim *s, void *data)
{
    if (!s->shutting_down) {
        sim_entry_start(s, data);
    }
}

static void
restart_agent(struct sim *s, void *data)
{
    struct sim_agent *a = data;

    if (s->shutting_down) {
        return;
    }
    sim_worker_start(s, &s->workers[a->index]);
    start_agent(s, a);
}

static void
restart_worker(struct sim *s, void *data)
{
    struct sim_worker *w = data;

    if (!w->up) {
        sim_worker_start(s, w);
        if (s->agents[w->index].id != 0) {
            report_capacity(s, &s->agents[w->index]);
        }
    }
}

/* --- faults --- */

/* Selects the same workers when the fault begins and when it ends. */
static bool
is_affected(
    const struct sim *s, const struct sim_fault *fault, uint32_t worker)
{
    uint64_t h = mix64(s->d->seed + fault->start_ms, worker);

    return (double)(h % 1000) < fault->share * 1000;
}

static void
set_kind_factors(const struct sim *s, const struct sim_fault *fault,
    double *factors, double factor)
{
    for (uint32_t k = 0; k < s->d->kind_count; k++) {
        if (fault->all_kinds || k == fault->target) {
            factors[k] = factor;
        }
    }
}

static void
apply_burst(struct sim *s, const struct sim_fault *fault, bool starts)
{
    set_kind_factors(s, fault, s->rate_factor, starts ? fault->factor : 1);
}

static void
apply_wide_jobs(struct sim *s, const struct sim_fault *fault, bool starts)
{
    set_kind_factors(s, fault, s->width_factor, starts ? fault->factor : 1);
}

static void
apply_power_loss(struct sim *s, const struct sim_fault *fault, bool starts)
{
    (void)fault;
    for (uint32_t i = 0; i < s->d->entry_count; i++) {
        if (starts) {
            sim_entry_stop(s, &s->entries[i]);
        }
        else {
            sim_schedule(
                s, restart_delay_us(s), restart_entry, &s->entries[i]);
        }
    }
    for (uint32_t i = 0; i < s->d->worker_count; i++) {
        if (starts) {
            stop_agent(&s->agents[i]);
            sim_worker_crash(s, &s->workers[i]);
        }
        else {
            sim_schedule(s, restart_delay_us(s), restart_agent, &s->agents[i]);
        }
    }
}

static void
apply_withdrawn(struct sim *s, const struct sim_fault *fault, bool starts)
{
    s->withdrawn[fault->target % s->d->domain_count] = starts;
    notify_entries(s);
}

static void
set_slowdown(struct sim *s, const struct sim_fault *fault, double slowdown)
{
    for (uint32_t i = 0; i < s->d->worker_count; i++) {
        if (is_affected(s, fault, i)) {
            sim_worker_set_slowdown(s, &s->workers[i], slowdown);
        }
    }
}

static void
apply_slow(struct sim *s, const struct sim_fault *fault, bool starts)
{
    set_slowdown(s, fault, starts ? fault->factor : 1);
}

static void
apply_hang(struct sim *s, const struct sim_fault *fault, bool starts)
{
    set_slowdown(s, fault, starts ? HANG_SLOWDOWN : 1);
}

static void
apply_fail(struct sim *s, const struct sim_fault *fault, bool starts)
{
    for (uint32_t i = 0; i < s->d->worker_count; i++) {
        if (is_affected(s, fault, i)) {
            s->workers[i].fails_runs = starts;
        }
    }
}

static void
apply_crash(struct sim *s, const struct sim_fault *fault, bool starts)
{
    for (uint32_t i = 0; i < s->d->worker_count; i++) {
        if (is_affected(s, fault, i) && starts) {
            sim_worker_crash(s, &s->workers[i]);
        }
        else if (is_affected(s, fault, i)) {
            restart_worker(s, &s->workers[i]);
        }
    }
}

static void
apply_late_orders(struct sim *s, const struct sim_fault *fault, bool starts)
{
    for (uint32_t i = 0; i < s->d->worker_count; i++) {
        s->workers[i].late_order_share = starts ? fault->share : 0;
    }
}

static void
apply_leave(struct sim *s, const struct sim_fault *fault, bool starts)
{
    s->leave_share = starts ? fault->share : 0;
}

static void
apply_failing_jobs(struct sim *s, const struct sim_fault *fault, bool starts)
{
    s->failing_job_share = starts ? fault->share : 0;
}

static void
apply_entry_slow(struct sim *s, const struct sim_fault *fault, bool starts)
{
    s->entries[fault->target % s->d->entry_count].slowdown =
        starts ? fault->factor : 1;
}

static void
apply_entry_kill(struct sim *s, const struct sim_fault *fault, bool starts)
{
    struct sim_entry *e = &s->entries[fault->target % s->d->entry_count];
    uint64_t id = e->id;

    if (!starts) {
        if (id == 0) {
            sim_entry_start(s, e);
        }
        return;
    }
    sim_entry_stop(s, e);
    for (uint32_t i = 0; id != 0 && i < s->d->worker_count; i++) {
        if (s->agents[i].id != 0) {
            ag_entry_dead(&s->agents[i].agent, sim_now_ms(s), id);
        }
    }
}

typedef void (*fault_fn)(
    struct sim *s, const struct sim_fault *fault, bool starts);

static const fault_fn fault_fns[SIM_FAULT_KINDS] = {
    [SIM_BURST] = apply_burst,
    [SIM_POWER_LOSS] = apply_power_loss,
    [SIM_WITHDRAWN] = apply_withdrawn,
    [SIM_SLOW] = apply_slow,
    [SIM_HANG] = apply_hang,
    [SIM_FAIL] = apply_fail,
    [SIM_CRASH] = apply_crash,
    [SIM_LATE_ORDERS] = apply_late_orders,
    [SIM_LEAVE] = apply_leave,
    [SIM_WIDE_JOBS] = apply_wide_jobs,
    [SIM_FAILING_JOBS] = apply_failing_jobs,
    [SIM_ENTRY_KILL] = apply_entry_kill,
    [SIM_ENTRY_SLOW] = apply_entry_slow,
};

static void
begin_fault(struct sim *s, void *data)
{
    const struct sim_fault *fault = data;

    fault_fns[fault->kind](s, fault, true);
}

static void
end_fault(struct sim *s, void *data)
{
    const struct sim_fault *fault = data;

    if (!s->shutting_down) {
        fault_fns[fault->kind](s, fault, false);
    }
}

/* --- a day --- */

static void
tick_workers(struct sim *s, void *data)
{
    (void)data;
    for (uint32_t i = 0; i < s->d->worker_count; i++) {
        sim_worker_tick(s, &s->workers[i]);
    }
    if (!s->shutting_down) {
        sim_schedule(s, SIM_TICK_US, tick_workers, NULL);
    }
}

static void
start_day(struct sim *s)
{
    const struct sim_deployment *d = s->d;

    agent_ops.worker = sim_worker_ops;
    s->now_us = 1000000; /* the decision modules never see a time of 0 */
    for (uint32_t i = 0; i < d->worker_count; i++) {
        s->workers[i].index = i;
        s->workers[i].slowdown = 1;
        s->agents[i].s = s;
        s->agents[i].index = i;
        sim_schedule(s, restart_delay_us(s), restart_agent, &s->agents[i]);
    }
    for (uint32_t i = 0; i < d->entry_count; i++) {
        s->entries[i].s = s;
        s->entries[i].index = i;
        s->entries[i].slowdown = 1;
        sim_schedule(s, restart_delay_us(s), restart_entry, &s->entries[i]);
    }
    for (uint32_t k = 0; k < d->kind_count; k++) {
        s->rate_factor[k] = s->width_factor[k] = 1;
    }
    for (uint32_t i = 0; i < d->fault_count; i++) {
        const struct sim_fault *fault = &d->fault[i];
        uint64_t at_us = SIM_WARMUP_US + 1000ULL * fault->start_ms;

        sim_schedule(s, at_us, begin_fault, (void *)fault);
        sim_schedule(
            s, at_us + 1000ULL * fault->duration_ms, end_fault, (void *)fault);
    }
    sim_schedule(s, 0, tick_workers, NULL);
    sim_callers_start(s);
}

/* Event handlers free their data: stop all processes, so that the events left
 * over can still run but have no effect. */
static void
shut_down(struct sim *s)
{
    s->shutting_down = true;
    for (uint32_t i = 0; i < s->d->entry_count; i++) {
        sim_entry_stop(s, &s->entries[i]);
    }
    for (uint32_t i = 0; i < s->d->worker_count; i++) {
        stop_agent(&s->agents[i]);
        sim_worker_crash(s, &s->workers[i]);
    }
}

static void
run_events(struct sim *s, uint64_t end_us)
{
    while (s->event_count > 0 && s->events[0].at_us < end_us) {
        struct sim_event e = pop_event(s);

        s->now_us = e.at_us;
        e.fn(s, e.data);
    }
}

void
sim_run_day(const struct sim_deployment *d, struct sim_result *out)
{
    struct sim *s = dw_zero(1, sizeof(*s));
    uint64_t end_us;

    memset(out, 0, sizeof(*out));
    s->d = d;
    s->result = out;
    s->rng = gsl_rng_alloc(gsl_rng_mt19937);
    gsl_rng_set(s->rng, (unsigned long)d->seed);
    s->request_rng = gsl_rng_alloc(gsl_rng_mt19937);
    gsl_rng_set(
        s->request_rng, (unsigned long)mix64(d->seed, REQUEST_SEQUENCE));
    start_day(s);
    end_us = s->now_us + SIM_WARMUP_US + 1000ULL * (d->length_ms + DRAIN_MS);
    run_events(s, end_us);
    sim_compute_result(s);
    shut_down(s);
    run_events(s, UINT64_MAX);
    sim_callers_free(s);
    for (uint32_t i = 0; i < d->entry_count; i++) {
        buf_free(&s->saved_estimates[i]);
    }
    gsl_rng_free(s->rng);
    gsl_rng_free(s->request_rng);
    free(s->events);
    free(s);
}

void
sim_result_free(struct sim_result *r)
{
    free(r->window);
    buf_free(&r->violations);
}
