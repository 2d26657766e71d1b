/* Time, agents, the network and the troubles of a day. */
#include "sim.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "num.h"
#include "sim-int.h"

/* us between a worker's reports about itself. */
#define BEAT_US 1500000U
/* us from an agent's start until it stands in the store. */
#define ENTER_US 30000U
#define MEMORY_MB 1000000U
/* The soonest a dead process runs again, in ms. */
#define START_MIN_MS 50U
/* ms after the last request in which answers are awaited. */
#define AFTER_MS 12000U
/* Times as long that a task takes that stands still. */
#define STANDSTILL 1e6

const char *const sim_trouble_names[SIM_TROUBLE_KINDS] = {
    [SIM_BURST] = "burst",
    [SIM_DARK] = "dark",
    [SIM_WITHDRAWN] = "withdrawn",
    [SIM_SLOW] = "slow",
    [SIM_HANG] = "hang",
    [SIM_FAIL] = "fail",
    [SIM_CRASH] = "crash",
    [SIM_LATE_ORDERS] = "late_orders",
    [SIM_LEAVE] = "leave",
    [SIM_LARGE] = "large",
    [SIM_HOPELESS] = "hopeless",
    [SIM_ENTRY_KILL] = "entry_kill",
    [SIM_ENTRY_SLOW] = "entry_slow",
};

/* --- time --- */

static bool
is_before(const struct sim_event *a, const struct sim_event *b)
{
    return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

void
sim_at(struct sim *s, uint64_t in_us, sim_fn fn, void *data)
{
    struct sim_event e = {s->now_us + in_us, s->order++, fn, data};
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
take_event(struct sim *s)
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
sim_chance(struct sim *s)
{
    return gsl_rng_uniform(s->rng);
}

/* A day with so many breaches needs no more of them. */
#define BROKEN_MAX 2000U

void
sim_broken(struct sim *s, const char *fmt, ...)
{
    char text[200];
    va_list ap;

    va_start(ap, fmt);
    vsnprintf(text, sizeof(text), fmt, ap);
    va_end(ap);
    if (s->out->broken.n < BROKEN_MAX) {
        buf_addf(&s->out->broken, "at %llu ms: %s\n",
            (unsigned long long)(sim_ms(s) - SIM_LEAD_US / 1000), text);
    }
}

/* --- the network --- */

struct message {
    uint64_t from;
    uint64_t to;
    dw_msg *msg;
};

/* An id tells where a process is: its life above, then its place. */
#define PLACE_MASK 0x7fffU
#define LIFE_SHIFT 16U

uint64_t
sim_new_id(struct sim *s, uint32_t place)
{
    return ++s->next_life << LIFE_SHIFT | place;
}

struct sim_entry *
sim_entry_of(struct sim *s, uint64_t id)
{
    struct sim_entry *e = &s->entries[id & PLACE_MASK];

    return (id & SIM_ENTRY_BIT) != 0 && e->id == id ? e : NULL;
}

static struct sim_agent *
agent_of(struct sim *s, uint64_t id)
{
    struct sim_agent *a = &s->agents[id & PLACE_MASK];

    return (id & SIM_ENTRY_BIT) == 0 && a->id == id ? a : NULL;
}

bool
sim_same(const struct sim_call *c)
{
    return c->agent->id == c->agent_id;
}

static void
arrives(struct sim *s, void *data)
{
    struct message *m = data;
    struct sim_entry *e = sim_entry_of(s, m->to);
    struct sim_agent *a = agent_of(s, m->to);

    if (e != NULL) {
        sim_entry_message(e, m->from, m->msg);
        free(m);
        return;
    }
    if (a != NULL && m->msg->type == DW_ORDERS) {
        ag_orders(&a->a, sim_ms(s), m->from, &m->msg->dw_msg_u.orders);
        ag_flush(&a->a, sim_ms(s));
    }
    msg_free(m->msg);
    free(m);
}

static uint32_t
way_us(const struct sim *s, uint64_t from, uint64_t to)
{
    return sim_domain(s, from & PLACE_MASK) == sim_domain(s, to & PLACE_MASK)
               ? s->d->near_us
               : s->d->far_us;
}

void
sim_send(struct sim *s, uint64_t after_us, uint64_t from, uint64_t to,
    const dw_msg *msg)
{
    struct message *m = dw_zero(1, sizeof(*m));

    *m = (struct message){from, to, msg_clone(msg)};
    s->out->messages++;
    sim_at(s, after_us + way_us(s, from, to), arrives, m);
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
agent_note_end(
    void *ctx, const struct rn_run *run, dw_end how, uint32_t ran_ms)
{
    struct sim_agent *a = ctx;

    (void)run;
    (void)ran_ms;
    a->s->out->bounced += how == DW_END_FULL;
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
    {0}, agent_send, agent_reconnect, agent_note_end, agent_note_session};

struct sim_alive *
sim_alive(uint64_t id)
{
    struct sim_alive *p = dw_zero(1, sizeof(*p));

    p->id = id;
    return p;
}

static void
tick_agent(struct sim *s, void *data)
{
    struct sim_alive *p = data;
    struct sim_agent *a = agent_of(s, p->id);

    if (a == NULL) {
        free(p);
        return;
    }
    ag_tick(&a->a, sim_ms(s));
    ag_flush(&a->a, sim_ms(s));
    sim_at(s, SIM_TICK_US, tick_agent, p);
}

static void
tell_worker(struct sim *s, struct sim_agent *a)
{
    const struct sim_worker *w = &s->workers[a->index];

    if (w->up) {
        rn_room(&a->a.runner, sim_ms(s), s->d->millicores[a->index], MEMORY_MB,
            0, w->born_ms);
        ag_flush(&a->a, sim_ms(s));
    }
}

static void
beat_worker(struct sim *s, void *data)
{
    struct sim_alive *p = data;
    struct sim_agent *a = agent_of(s, p->id);

    if (a == NULL) {
        free(p);
        return;
    }
    tell_worker(s, a);
    sim_at(s, BEAT_US, beat_worker, p);
}

/* --- the store --- */

void
sim_domain_name(char *out, size_t cap, uint32_t domain)
{
    snprintf(out, cap, "d%u", domain);
}

/* The store's watches tell everybody. */
static void
store_changed(struct sim *s)
{
    for (uint32_t i = 0; i < s->d->entries; i++) {
        if (s->entries[i].id != 0) {
            sim_at(
                s, s->d->far_us, sim_read_store, sim_alive(s->entries[i].id));
        }
    }
}

static void
enter_agent(struct sim *s, void *data)
{
    struct sim_alive *p = data;
    struct sim_agent *a = agent_of(s, p->id);

    if (a != NULL) {
        s->entered[a->index] = a->id;
        store_changed(s);
    }
    free(p);
}

/* --- lives --- */

static void
start_agent(struct sim *s, struct sim_agent *a)
{
    a->id = sim_new_id(s, a->index);
    ag_init(&a->a, sim_ms(s), &agent_ops, a);
    tell_worker(s, a);
    sim_at(s, (uint64_t)(sim_chance(s) * SIM_TICK_US), tick_agent,
        sim_alive(a->id));
    sim_at(s, BEAT_US, beat_worker, sim_alive(a->id));
    sim_at(s, ENTER_US, enter_agent, sim_alive(a->id));
}

static void
end_agent(struct sim_agent *a)
{
    if (a->id != 0) {
        a->id = 0;
        ag_free(&a->a);
    }
}

static uint64_t
start_delay_us(struct sim *s)
{
    uint64_t span = num_sub_sat(s->d->start_ms, START_MIN_MS);

    return (START_MIN_MS + (uint64_t)(sim_chance(s) * (double)span)) * 1000;
}

static void
entry_back(struct sim *s, void *data)
{
    if (!s->over) {
        sim_entry_start(s, data);
    }
}

static void
agent_back(struct sim *s, void *data)
{
    struct sim_agent *a = data;

    if (s->over) {
        return;
    }
    sim_worker_start(s, &s->workers[a->index]);
    start_agent(s, a);
}

static void
worker_back(struct sim *s, void *data)
{
    struct sim_worker *w = data;

    if (!w->up) {
        sim_worker_start(s, w);
        if (s->agents[w->index].id != 0) {
            tell_worker(s, &s->agents[w->index]);
        }
    }
}

/* --- troubles --- */

/* The workers that a trouble is about: the same while it lasts. */
static bool
is_hit(const struct sim *s, const struct sim_trouble *t, uint32_t worker)
{
    uint64_t h = mix64(s->d->seed + t->at_ms, worker);

    return (double)(h % 1000) < t->share * 1000;
}

static void
for_kinds(
    const struct sim *s, const struct sim_trouble *t, double *rates, double x)
{
    for (uint32_t k = 0; k < s->d->kinds; k++) {
        if (t->all || k == t->target) {
            rates[k] = x;
        }
    }
}

static void
burst(struct sim *s, const struct sim_trouble *t, bool begins)
{
    for_kinds(s, t, s->rate_x, begins ? t->x : 1);
}

static void
large(struct sim *s, const struct sim_trouble *t, bool begins)
{
    for_kinds(s, t, s->width_x, begins ? t->x : 1);
}

static void
dark(struct sim *s, const struct sim_trouble *t, bool begins)
{
    (void)t;
    for (uint32_t i = 0; i < s->d->entries; i++) {
        if (begins) {
            sim_entry_end(s, &s->entries[i]);
        }
        else {
            sim_at(s, start_delay_us(s), entry_back, &s->entries[i]);
        }
    }
    for (uint32_t i = 0; i < s->d->workers; i++) {
        if (begins) {
            end_agent(&s->agents[i]);
            sim_worker_crash(s, &s->workers[i]);
        }
        else {
            sim_at(s, start_delay_us(s), agent_back, &s->agents[i]);
        }
    }
}

static void
withdrawn(struct sim *s, const struct sim_trouble *t, bool begins)
{
    s->withdrawn[t->target % s->d->domains] = begins;
    store_changed(s);
}

static void
pace(struct sim *s, const struct sim_trouble *t, double slow)
{
    for (uint32_t i = 0; i < s->d->workers; i++) {
        if (is_hit(s, t, i)) {
            sim_worker_pace(s, &s->workers[i], slow);
        }
    }
}

static void
slow(struct sim *s, const struct sim_trouble *t, bool begins)
{
    pace(s, t, begins ? t->x : 1);
}

static void
hang(struct sim *s, const struct sim_trouble *t, bool begins)
{
    pace(s, t, begins ? STANDSTILL : 1);
}

static void
fail(struct sim *s, const struct sim_trouble *t, bool begins)
{
    for (uint32_t i = 0; i < s->d->workers; i++) {
        if (is_hit(s, t, i)) {
            s->workers[i].fails = begins;
        }
    }
}

static void
crash(struct sim *s, const struct sim_trouble *t, bool begins)
{
    for (uint32_t i = 0; i < s->d->workers; i++) {
        if (is_hit(s, t, i) && begins) {
            sim_worker_crash(s, &s->workers[i]);
        }
        else if (is_hit(s, t, i)) {
            worker_back(s, &s->workers[i]);
        }
    }
}

static void
late_orders(struct sim *s, const struct sim_trouble *t, bool begins)
{
    for (uint32_t i = 0; i < s->d->workers; i++) {
        s->workers[i].late = begins ? t->share : 0;
    }
}

static void
leave(struct sim *s, const struct sim_trouble *t, bool begins)
{
    s->leave_share = begins ? t->share : 0;
}

static void
hopeless(struct sim *s, const struct sim_trouble *t, bool begins)
{
    s->hopeless_share = begins ? t->share : 0;
}

static void
entry_slow(struct sim *s, const struct sim_trouble *t, bool begins)
{
    s->entries[t->target % s->d->entries].slow = begins ? t->x : 1;
}

static void
entry_kill(struct sim *s, const struct sim_trouble *t, bool begins)
{
    struct sim_entry *e = &s->entries[t->target % s->d->entries];
    uint64_t id = e->id;

    if (!begins) {
        if (id == 0) {
            sim_entry_start(s, e);
        }
        return;
    }
    sim_entry_end(s, e);
    for (uint32_t i = 0; id != 0 && i < s->d->workers; i++) {
        if (s->agents[i].id != 0) {
            ag_refused(&s->agents[i].a, sim_ms(s), id);
        }
    }
}

typedef void (*trouble_fn)(
    struct sim *s, const struct sim_trouble *t, bool begins);

static const trouble_fn trouble_fns[SIM_TROUBLE_KINDS] = {
    [SIM_BURST] = burst,
    [SIM_DARK] = dark,
    [SIM_WITHDRAWN] = withdrawn,
    [SIM_SLOW] = slow,
    [SIM_HANG] = hang,
    [SIM_FAIL] = fail,
    [SIM_CRASH] = crash,
    [SIM_LATE_ORDERS] = late_orders,
    [SIM_LEAVE] = leave,
    [SIM_LARGE] = large,
    [SIM_HOPELESS] = hopeless,
    [SIM_ENTRY_KILL] = entry_kill,
    [SIM_ENTRY_SLOW] = entry_slow,
};

static void
trouble_begins(struct sim *s, void *data)
{
    const struct sim_trouble *t = data;

    trouble_fns[t->kind](s, t, true);
}

static void
trouble_ends(struct sim *s, void *data)
{
    const struct sim_trouble *t = data;

    if (!s->over) {
        trouble_fns[t->kind](s, t, false);
    }
}

/* --- a day --- */

static void
tick_workers(struct sim *s, void *data)
{
    (void)data;
    for (uint32_t i = 0; i < s->d->workers; i++) {
        sim_worker_tick(s, &s->workers[i]);
    }
    if (!s->over) {
        sim_at(s, SIM_TICK_US, tick_workers, NULL);
    }
}

static void
begin(struct sim *s)
{
    const struct sim_deployment *d = s->d;

    agent_ops.worker = sim_worker_ops;
    s->now_us = 1000000; /* no module meets a time of 0 */
    for (uint32_t i = 0; i < d->workers; i++) {
        s->workers[i].index = i;
        s->workers[i].slow = 1;
        s->agents[i].s = s;
        s->agents[i].index = i;
        sim_at(s, start_delay_us(s), agent_back, &s->agents[i]);
    }
    for (uint32_t i = 0; i < d->entries; i++) {
        s->entries[i].s = s;
        s->entries[i].index = i;
        s->entries[i].slow = 1;
        sim_at(s, start_delay_us(s), entry_back, &s->entries[i]);
    }
    for (uint32_t k = 0; k < d->kinds; k++) {
        s->rate_x[k] = s->width_x[k] = 1;
    }
    for (uint32_t i = 0; i < d->troubles; i++) {
        const struct sim_trouble *t = &d->trouble[i];
        uint64_t at_us = SIM_LEAD_US + 1000ULL * t->at_ms;

        sim_at(s, at_us, trouble_begins, (void *)t);
        sim_at(s, at_us + 1000ULL * t->for_ms, trouble_ends, (void *)t);
    }
    sim_at(s, 0, tick_workers, NULL);
    sim_callers_start(s);
}

/* Each event frees what it carries: let those that are left find everybody
 * gone. */
static void
wind_down(struct sim *s)
{
    s->over = true;
    for (uint32_t i = 0; i < s->d->entries; i++) {
        sim_entry_end(s, &s->entries[i]);
    }
    for (uint32_t i = 0; i < s->d->workers; i++) {
        end_agent(&s->agents[i]);
        sim_worker_crash(s, &s->workers[i]);
    }
}

static void
play_until(struct sim *s, uint64_t end_us)
{
    while (s->event_count > 0 && s->events[0].at_us < end_us) {
        struct sim_event e = take_event(s);

        s->now_us = e.at_us;
        e.fn(s, e.data);
    }
}

void
sim_play(const struct sim_deployment *d, struct sim_result *out)
{
    struct sim *s = dw_zero(1, sizeof(*s));
    uint64_t end_us;

    memset(out, 0, sizeof(*out));
    s->d = d;
    s->out = out;
    s->rng = gsl_rng_alloc(gsl_rng_mt19937);
    gsl_rng_set(s->rng, (unsigned long)d->seed);
    begin(s);
    end_us = s->now_us + SIM_LEAD_US + 1000ULL * (d->length_ms + AFTER_MS);
    play_until(s, end_us);
    sim_count(s);
    wind_down(s);
    play_until(s, UINT64_MAX);
    sim_callers_free(s);
    for (uint32_t i = 0; i < d->entries; i++) {
        buf_free(&s->times[i]);
    }
    gsl_rng_free(s->rng);
    free(s->events);
    free(s);
}

void
sim_result_free(struct sim_result *r)
{
    free(r->window);
    buf_free(&r->broken);
}
