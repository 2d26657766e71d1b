/* Workers as the platform describes them, and the calls of their agents. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "num.h"
#include "sim-int.h"

/* A lease is cut to this length, in ms. */
#define LEASE_MAX_MS 1000U
/* An order that is carried out late is so by 2 to 12 s. */
#define LATE_MIN_US 2000000U
#define LATE_SPAN_US 10000000U
/* us until a stopped run has ended. */
#define STOP_US 20000U

uint64_t
sim_worker_clock(const struct sim *s, const struct sim_worker *w)
{
    return 1 + sim_ms(s) - w->born_ms;
}

static double
rate_of(const struct sim *s, const struct sim_worker *w)
{
    return s->d->speed[w->index] / w->slow;
}

/* --- runs --- */

struct run_end {
    struct sim_worker *w;
    uint64_t born_ms;
    struct rn_key key;
    uint64_t ends_us;
};

static struct sim_run *
find_run(struct sim_worker *w, const struct rn_key *key)
{
    for (size_t i = 0; i < w->run_count; i++) {
        if (memcmp(&w->runs[i].key, key, sizeof(*key)) == 0) {
            return &w->runs[i];
        }
    }
    return NULL;
}

static struct sim_run *
find_task(struct sim_worker *w, const struct rn_key *key)
{
    for (size_t i = 0; i < w->run_count; i++) {
        if (w->runs[i].key.job == key->job &&
            w->runs[i].key.index == key->index) {
            return &w->runs[i];
        }
    }
    return NULL;
}

static struct sim_past *
past_of(struct sim_worker *w, const struct rn_key *key, bool add)
{
    uint64_t task = key->job | key->index; /* jobs are 2^20 apart */
    struct sim_past *p;

    HASH_FIND(hh, w->past, &task, sizeof(task), p);
    if (p == NULL && add) {
        p = dw_zero(1, sizeof(*p));
        p->task = task;
        HASH_ADD(hh, w->past, task, sizeof(p->task), p);
    }
    return p;
}

static void
note_past(struct sim_worker *w, const struct rn_key *key)
{
    struct sim_past *p = past_of(w, key, true);

    p->run = num_max(p->run, key->run);
}

static void
count_running(struct sim *s, const struct rn_key *key, int by)
{
    struct sim_job *j = sim_job_of(s, key->job);

    if (j == NULL || key->index >= j->count) {
        return;
    }
    j->running[key->index] = (uint8_t)(j->running[key->index] + by);
    if (j->running[key->index] > 1) {
        sim_broken(s, "task %llu.%llu runs twice",
            (unsigned long long)key->job, (unsigned long long)key->index);
    }
}

static void answer_look(struct sim *s, struct sim_call *c);

static void
end_run(struct sim *s, struct sim_worker *w, struct sim_run *run, dw_end how)
{
    struct rn_outcome *e;

    w->ends = dw_grow(w->ends, (w->end_count + 1) * sizeof(*w->ends));
    e = &w->ends[w->end_count++];
    *e = (struct rn_outcome){w->next_end++, run->key, how};
    note_past(w, &run->key);
    count_running(s, &run->key, -1);
    *run = w->runs[--w->run_count];
    if (w->look != NULL) {
        struct sim_call *c = w->look;

        w->look = NULL;
        answer_look(s, c);
    }
}

static void
on_run_end(struct sim *s, void *data)
{
    struct run_end *e = data;
    struct sim_run *run = find_run(e->w, &e->key);

    if (e->w->up && e->w->born_ms == e->born_ms && run != NULL &&
        run->ends_us == e->ends_us) {
        end_run(s, e->w, run, run->how);
    }
    free(e);
}

static void
plan_end(struct sim *s, struct sim_worker *w, struct sim_run *run)
{
    struct run_end *e = dw_zero(1, sizeof(*e));
    double in_us =
        run->stopping ? STOP_US : ceil(run->left_us / rate_of(s, w));

    run->ends_us = s->now_us + (uint64_t)in_us;
    *e = (struct run_end){w, w->born_ms, run->key, run->ends_us};
    sim_at(s, (uint64_t)in_us, on_run_end, e);
}

static void
note_work(const struct sim *s, const struct sim_worker *w, struct sim_run *run)
{
    double done = (double)(s->now_us - run->seen_us) * rate_of(s, w);

    run->left_us = run->left_us > done ? run->left_us - done : 0;
    run->seen_us = s->now_us;
}

void
sim_worker_pace(struct sim *s, struct sim_worker *w, double slow)
{
    for (size_t i = 0; i < w->run_count; i++) {
        note_work(s, w, &w->runs[i]);
    }
    w->slow = slow;
    for (size_t i = 0; i < w->run_count; i++) {
        if (!w->runs[i].stopping) {
            plan_end(s, w, &w->runs[i]);
        }
    }
}

/* --- what a worker is told --- */

/* Remembers the highest fence; true if this one is lower. */
static bool
fenced(struct sim_worker *w, uint64_t fence)
{
    w->fence = num_max(w->fence, fence);
    return fence < w->fence;
}

static void
renew(const struct sim *s, struct sim_worker *w, uint64_t until_ms)
{
    uint64_t most = sim_worker_clock(s, w) + LEASE_MAX_MS;

    w->until_ms = num_max(w->until_ms, num_min(until_ms, most));
}

static void
check_capacity(struct sim *s, const struct sim_worker *w)
{
    uint64_t used = 0;

    for (size_t i = 0; i < w->run_count; i++) {
        used += w->runs[i].millicores;
    }
    if (used > s->d->millicores[w->index]) {
        sim_broken(s, "worker %u is over its capacity", w->index);
    }
}

static void
add_run(struct sim *s, struct sim_worker *w, const struct sim_call *c)
{
    struct sim_job *j = sim_job_of(s, c->key.job);
    struct sim_run *run;

    w->runs = dw_grow(w->runs, (w->run_count + 1) * sizeof(*w->runs));
    run = &w->runs[w->run_count++];
    *run = (struct sim_run){0};
    run->key = c->key;
    run->millicores = c->millicores;
    run->total_us = j != NULL ? j->task_us[c->key.index] : 1000;
    run->left_us = run->total_us;
    run->seen_us = s->now_us;
    run->how =
        w->fails || (j != NULL && j->hopeless) || sim_chance(s) < s->d->fails
            ? DW_END_FAILED
            : DW_END_DONE;
    if (j != NULL) {
        j->started = true;
    }
    count_running(s, &c->key, 1);
    check_capacity(s, w);
    plan_end(s, w, run);
}

static enum rn_start_result
start_run(struct sim *s, struct sim_worker *w, const struct sim_call *c)
{
    struct sim_run *there;
    struct sim_past *p;

    if (!w->up) {
        return RN_START_UNREACHABLE;
    }
    if (fenced(w, c->terms.fence)) {
        return RN_START_FENCED;
    }
    there = find_task(w, &c->key);
    p = past_of(w, &c->key, false);
    if (c->terms.lease_until_ms < sim_worker_clock(s, w) ||
        (there != NULL && there->key.run != c->key.run) ||
        (p != NULL && c->key.run <= p->run)) {
        return RN_START_REFUSED;
    }
    renew(s, w, c->terms.lease_until_ms);
    if (there == NULL) {
        add_run(s, w, c);
    }
    return RN_START_OK;
}

static void
stop_run(struct sim *s, struct sim_worker *w, const struct sim_call *c)
{
    struct sim_run *run = find_task(w, &c->key);

    if (!w->up || fenced(w, c->terms.fence)) {
        return;
    }
    note_past(w, &c->key);
    if (run != NULL && run->key.run <= c->key.run && !run->stopping) {
        run->stopping = true;
        run->how = DW_END_STOPPED;
        plan_end(s, w, run);
    }
}

/* --- calls of agents --- */

static struct sim_worker *
worker_of(const struct sim_call *c)
{
    return &c->agent->s->workers[c->agent->index];
}

static struct sim_call *
new_call(struct sim_agent *a)
{
    struct sim_call *c = dw_zero(1, sizeof(*c));

    c->agent = a;
    c->agent_id = a->id;
    c->asked_ms = sim_ms(a->s);
    c->holders = 1;
    return c;
}

static void
drop_call(struct sim_call *c)
{
    if (--c->holders == 0) {
        free(c->running);
        free(c->ends);
        free(c);
    }
}

static void
start_done(struct sim *s, void *data)
{
    struct sim_call *c = data;

    if (sim_same(c)) {
        rn_start_answered(
            &c->agent->a.runner, sim_ms(s), &c->key, c->result, c->clock_ms);
        ag_flush(&c->agent->a, sim_ms(s));
    }
    drop_call(c);
}

static void
start_arrives(struct sim *s, void *data)
{
    struct sim_call *c = data;
    struct sim_worker *w = worker_of(c);

    c->result = start_run(s, w, c);
    c->clock_ms = w->up ? sim_worker_clock(s, w) : 0;
    if (c->lost) {
        drop_call(c);
        return;
    }
    sim_at(s, s->d->call_us, start_done, c);
}

static uint64_t
late_us(struct sim *s)
{
    return LATE_MIN_US + (uint64_t)(sim_chance(s) * LATE_SPAN_US);
}

static void
do_start(void *ctx, const struct rn_run *run, const struct rn_terms *terms)
{
    struct sim_agent *a = ctx;
    struct sim *s = a->s;
    struct sim_call *c = new_call(a);

    c->key = run->key;
    c->terms = *terms;
    c->millicores = run->millicores;
    c->lost = sim_chance(s) < s->workers[a->index].late;
    if (!c->lost) {
        sim_at(s, s->d->call_us, start_arrives, c);
        return;
    }
    sim_at(s, late_us(s), start_arrives, c);
    c = new_call(a);
    c->key = run->key;
    c->result = RN_START_LOST;
    sim_at(s, RN_ANSWER_TIMEOUT_MS * 1000, start_done, c);
}

static void
stop_done(struct sim *s, void *data)
{
    struct sim_call *c = data;

    if (sim_same(c)) {
        rn_stop_answered(
            &c->agent->a.runner, sim_ms(s), &c->key, c->result == RN_START_OK);
        ag_flush(&c->agent->a, sim_ms(s));
    }
    drop_call(c);
}

static void
stop_arrives(struct sim *s, void *data)
{
    struct sim_call *c = data;

    stop_run(s, worker_of(c), c);
    if (c->lost) {
        drop_call(c);
        return;
    }
    c->result = worker_of(c)->up ? RN_START_OK : RN_START_LOST;
    sim_at(s, s->d->call_us, stop_done, c);
}

static void
do_stop(void *ctx, const struct rn_key *key, const struct rn_terms *terms)
{
    struct sim_agent *a = ctx;
    struct sim *s = a->s;
    struct sim_call *c = new_call(a);

    c->key = *key;
    c->terms = *terms;
    c->lost = sim_chance(s) < s->workers[a->index].late;
    if (!c->lost) {
        sim_at(s, s->d->call_us, stop_arrives, c);
        return;
    }
    sim_at(s, late_us(s), stop_arrives, c);
    c = new_call(a);
    c->key = *key;
    c->result = RN_START_LOST;
    sim_at(s, RN_ANSWER_TIMEOUT_MS * 1000, stop_done, c);
}

/* The answer has come, or the time for it is over. */
static void
look_done(struct sim *s, void *data)
{
    struct sim_call *c = data;
    struct rn_poll l = {0};

    if (!c->answered && sim_same(c)) {
        c->answered = true;
        l.sent_ms = c->asked_ms;
        l.immediate = c->ask.immediate;
        l.ok = c->running != NULL;
        l.unreachable = !worker_of(c)->up;
        l.worker_clock_ms = c->clock_ms;
        l.incarnation = c->born_ms;
        l.running = c->running;
        l.running_count = c->running_count;
        l.outcomes = c->ends;
        l.outcome_count = c->end_count;
        rn_poll_answered(&c->agent->a.runner, sim_ms(s), &l);
        ag_flush(&c->agent->a, sim_ms(s));
    }
    drop_call(c);
}

static void
answer_look(struct sim *s, struct sim_call *c)
{
    struct sim_worker *w = worker_of(c);

    c->running = dw_zero(w->run_count + 1, sizeof(*c->running));
    c->running_count = w->run_count;
    for (size_t i = 0; i < w->run_count; i++) {
        struct sim_run *run = &w->runs[i];
        double left;

        note_work(s, w, run);
        left = run->left_us / run->total_us;
        c->running[i] =
            (struct rn_poll_run){run->key, (uint32_t)(100.0 * (1.0 - left))};
    }
    c->ends = dw_zero(w->end_count + 1, sizeof(*c->ends));
    c->end_count = w->end_count;
    for (size_t i = 0; i < w->end_count; i++) {
        c->ends[i] = w->ends[i];
    }
    c->clock_ms = sim_worker_clock(s, w);
    c->born_ms = w->born_ms;
    sim_at(s, s->d->call_us, look_done, c);
}

static void
look_waited(struct sim *s, void *data)
{
    struct sim_call *c = data;
    struct sim_worker *w = worker_of(c);

    if (w->look == c) {
        w->look = NULL;
        answer_look(s, c);
    }
    drop_call(c);
}

static void
look_arrives(struct sim *s, void *data)
{
    struct sim_call *c = data;
    struct sim_worker *w = worker_of(c);
    size_t kept = 0;

    if (!w->up || c->lost || fenced(w, c->terms.fence)) {
        drop_call(c);
        return;
    }
    renew(s, w, c->terms.lease_until_ms);
    for (size_t i = 0; i < w->end_count; i++) {
        if (w->ends[i].seq > c->ask.ack) {
            w->ends[kept++] = w->ends[i];
        }
    }
    w->end_count = kept;
    if (w->end_count > 0 || c->ask.wait_ms == 0) {
        answer_look(s, c);
        return;
    }
    if (w->look != NULL) {
        drop_call(w->look); /* of an agent that is gone */
    }
    w->look = c;
    c->holders++;
    sim_at(s, c->ask.wait_ms * 1000ULL, look_waited, c);
}

static void
do_look(
    void *ctx, const struct rn_poll_request *ask, const struct rn_terms *terms)
{
    struct sim_agent *a = ctx;
    struct sim *s = a->s;
    struct sim_call *c = new_call(a);

    c->ask = *ask;
    c->terms = *terms;
    c->lost = sim_chance(s) < s->workers[a->index].late;
    c->holders = 2;
    sim_at(s, s->d->call_us, look_arrives, c);
    sim_at(s, (ask->wait_ms + RN_POLL_MARGIN_MS) * 1000ULL, look_done, c);
}

const struct rn_ops sim_worker_ops = {do_start, do_stop, do_look, NULL};

/* --- lives --- */

void
sim_worker_start(struct sim *s, struct sim_worker *w)
{
    w->up = true;
    w->born_ms = sim_ms(s);
    w->next_end = 1;
}

void
sim_worker_free(struct sim_worker *w)
{
    struct sim_past *p;
    struct sim_past *tmp;

    HASH_ITER (hh, w->past, p, tmp) {
        HASH_DEL(w->past, p);
        free(p);
    }
    if (w->look != NULL) {
        drop_call(w->look);
        w->look = NULL;
    }
    free(w->runs);
    free(w->ends);
    w->runs = NULL;
    w->ends = NULL;
    w->run_count = w->end_count = 0;
}

void
sim_worker_crash(struct sim *s, struct sim_worker *w)
{
    for (size_t i = 0; i < w->run_count; i++) {
        count_running(s, &w->runs[i].key, -1);
    }
    sim_worker_free(w);
    w->up = false;
    w->until_ms = 0;
    w->fence = 0;
}

void
sim_worker_tick(struct sim *s, struct sim_worker *w)
{
    if (!w->up || sim_worker_clock(s, w) <= w->until_ms) {
        return;
    }
    while (w->run_count > 0) {
        end_run(s, w, &w->runs[w->run_count - 1], DW_END_LOST);
    }
}
