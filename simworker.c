/* Workers as the platform specifies them, and their agents' calls to them. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "num.h"
#include "sim-int.h"

/* Longest lease; longer ones are cut to this length. */
#define LEASE_MAX_MS 1000U
/* Late orders are carried out after 2 to 12 s. */
#define LATE_ORDER_MIN_US 2000000U
#define LATE_ORDER_SPAN_US 10000000U
/* Time from a stop until the run has ended. */
#define STOP_US 20000U

uint64_t
sim_worker_clock(const struct sim *s, const struct sim_worker *w)
{
    return 1 + sim_now_ms(s) - w->started_ms;
}

static double
speed_of(const struct sim *s, const struct sim_worker *w)
{
    return s->d->speed[w->index] / w->slowdown;
}

/* --- runs --- */

/* Data of the event that ends a run. */
struct run_end {
    struct sim_worker *w;
    uint64_t worker_started_ms;
    struct rn_key key;
    uint64_t end_us; /* differs from that of the run if it was rescheduled */
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

static struct sim_run_record *
run_record_of(struct sim_worker *w, const struct rn_key *key, bool add)
{
    uint64_t task = key->job | key->index; /* job ids are multiples of 2^20 */
    struct sim_run_record *record;

    HASH_FIND(hh, w->run_records, &task, sizeof(task), record);
    if (record == NULL && add) {
        record = dw_zero(1, sizeof(*record));
        record->task = task;
        HASH_ADD(hh, w->run_records, task, sizeof(record->task), record);
    }
    return record;
}

static void
record_run(struct sim_worker *w, const struct rn_key *key)
{
    struct sim_run_record *record = run_record_of(w, key, true);

    record->highest_run = num_max(record->highest_run, key->run);
}

static void
count_running(struct sim *s, const struct rn_key *key, int change)
{
    struct sim_job *j = sim_job_by_id(s, key->job);

    if (j == NULL || key->index >= j->task_count) {
        return;
    }
    j->running[key->index] = (uint8_t)(j->running[key->index] + change);
    if (j->running[key->index] > 1) {
        sim_violation(s, "task %llu.%llu runs twice",
            (unsigned long long)key->job, (unsigned long long)key->index);
    }
}

static void answer_poll(struct sim *s, struct sim_call *c);

static void
end_run(
    struct sim *s, struct sim_worker *w, struct sim_run *run, dw_end outcome)
{
    struct rn_outcome *listed;

    w->outcomes =
        dw_grow(w->outcomes, (w->outcome_count + 1) * sizeof(*w->outcomes));
    listed = &w->outcomes[w->outcome_count++];
    *listed = (struct rn_outcome){w->next_outcome++, run->key, outcome};
    record_run(w, &run->key);
    count_running(s, &run->key, -1);
    *run = w->runs[--w->run_count];
    if (w->poll != NULL) {
        struct sim_call *c = w->poll;

        w->poll = NULL;
        answer_poll(s, c);
    }
}

static void
on_run_end(struct sim *s, void *data)
{
    struct run_end *e = data;
    struct sim_run *run = find_run(e->w, &e->key);

    if (e->w->up && e->w->started_ms == e->worker_started_ms && run != NULL &&
        run->end_us == e->end_us) {
        end_run(s, e->w, run, run->outcome);
    }
    free(e);
}

static void
schedule_end(struct sim *s, struct sim_worker *w, struct sim_run *run)
{
    struct run_end *e = dw_zero(1, sizeof(*e));
    double in_us =
        run->stopping ? STOP_US : ceil(run->work_left_us / speed_of(s, w));

    run->end_us = s->now_us + (uint64_t)in_us;
    *e = (struct run_end){w, w->started_ms, run->key, run->end_us};
    sim_schedule(s, (uint64_t)in_us, on_run_end, e);
}

static void
update_work(
    const struct sim *s, const struct sim_worker *w, struct sim_run *run)
{
    double done_us = (double)(s->now_us - run->updated_us) * speed_of(s, w);

    run->work_left_us =
        run->work_left_us > done_us ? run->work_left_us - done_us : 0;
    run->updated_us = s->now_us;
}

void
sim_worker_set_slowdown(struct sim *s, struct sim_worker *w, double slowdown)
{
    for (size_t i = 0; i < w->run_count; i++) {
        update_work(s, w, &w->runs[i]);
    }
    w->slowdown = slowdown;
    for (size_t i = 0; i < w->run_count; i++) {
        if (!w->runs[i].stopping) {
            schedule_end(s, w, &w->runs[i]);
        }
    }
}

/* --- orders to a worker --- */

/* Remembers the highest fencing number; true if this one is lower. */
static bool
fenced(struct sim_worker *w, uint64_t fence)
{
    w->fence = num_max(w->fence, fence);
    return fence < w->fence;
}

static void
renew_lease(const struct sim *s, struct sim_worker *w, uint64_t until_ms)
{
    uint64_t latest_ms = sim_worker_clock(s, w) + LEASE_MAX_MS;

    w->lease_until_ms =
        num_max(w->lease_until_ms, num_min(until_ms, latest_ms));
}

static void
check_capacity(struct sim *s, const struct sim_worker *w)
{
    uint64_t used_millicores = 0;

    for (size_t i = 0; i < w->run_count; i++) {
        used_millicores += w->runs[i].millicores;
    }
    if (used_millicores > s->d->millicores[w->index]) {
        sim_violation(s, "worker %u is over its capacity", w->index);
    }
}

static void
add_run(struct sim *s, struct sim_worker *w, const struct sim_call *c)
{
    struct sim_job *j = sim_job_by_id(s, c->key.job);
    struct sim_run *run;

    w->runs = dw_grow(w->runs, (w->run_count + 1) * sizeof(*w->runs));
    run = &w->runs[w->run_count++];
    *run = (struct sim_run){0};
    run->key = c->key;
    run->millicores = c->millicores;
    run->work_us = j != NULL ? j->task_us[c->key.index] : 1000;
    run->work_left_us = run->work_us;
    run->updated_us = s->now_us;
    run->outcome = w->fails_runs || (j != NULL && j->always_fails) ||
                           sim_random(s) < s->d->run_failure_share
                       ? DW_END_FAILED
                       : DW_END_DONE;
    if (j != NULL) {
        j->started = true;
    }
    count_running(s, &c->key, 1);
    check_capacity(s, w);
    schedule_end(s, w, run);
}

static enum rn_start_result
start_run(struct sim *s, struct sim_worker *w, const struct sim_call *c)
{
    struct sim_run *running;
    struct sim_run_record *record;

    if (!w->up) {
        return RN_START_UNREACHABLE;
    }
    if (fenced(w, c->terms.fence)) {
        return RN_START_FENCED;
    }
    running = find_task(w, &c->key);
    record = run_record_of(w, &c->key, false);
    if (c->terms.lease_until_ms < sim_worker_clock(s, w) ||
        (running != NULL && running->key.run != c->key.run) ||
        (record != NULL && c->key.run <= record->highest_run)) {
        return RN_START_REFUSED;
    }
    renew_lease(s, w, c->terms.lease_until_ms);
    if (running == NULL) {
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
    record_run(w, &c->key);
    if (run != NULL && run->key.run <= c->key.run && !run->stopping) {
        run->stopping = true;
        run->outcome = DW_END_STOPPED;
        schedule_end(s, w, run);
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
    c->sent_ms = sim_now_ms(a->s);
    c->refs = 1;
    return c;
}

static void
unref_call(struct sim_call *c)
{
    if (--c->refs == 0) {
        free(c->running);
        free(c->outcomes);
        free(c);
    }
}

static void
start_done(struct sim *s, void *data)
{
    struct sim_call *c = data;

    if (sim_agent_is_current(c)) {
        rn_start_answered(&c->agent->agent.runner, sim_now_ms(s), &c->key,
            c->result, c->clock_ms);
        ag_flush(&c->agent->agent, sim_now_ms(s));
    }
    unref_call(c);
}

static void
start_arrives(struct sim *s, void *data)
{
    struct sim_call *c = data;
    struct sim_worker *w = worker_of(c);

    c->result = start_run(s, w, c);
    c->clock_ms = w->up ? sim_worker_clock(s, w) : 0;
    if (c->lost) {
        unref_call(c);
        return;
    }
    sim_schedule(s, s->d->worker_latency_us, start_done, c);
}

static uint64_t
late_us(struct sim *s)
{
    return LATE_ORDER_MIN_US + (uint64_t)(sim_random(s) * LATE_ORDER_SPAN_US);
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
    c->lost = sim_random(s) < s->workers[a->index].late_order_share;
    if (!c->lost) {
        sim_schedule(s, s->d->worker_latency_us, start_arrives, c);
        return;
    }
    sim_schedule(s, late_us(s), start_arrives, c);
    c = new_call(a);
    c->key = run->key;
    c->result = RN_START_LOST;
    sim_schedule(s, RN_ANSWER_TIMEOUT_MS * 1000, start_done, c);
}

static void
stop_done(struct sim *s, void *data)
{
    struct sim_call *c = data;

    if (sim_agent_is_current(c)) {
        rn_stop_answered(&c->agent->agent.runner, sim_now_ms(s), &c->key,
            c->result == RN_START_OK);
        ag_flush(&c->agent->agent, sim_now_ms(s));
    }
    unref_call(c);
}

static void
stop_arrives(struct sim *s, void *data)
{
    struct sim_call *c = data;

    stop_run(s, worker_of(c), c);
    if (c->lost) {
        unref_call(c);
        return;
    }
    c->result = worker_of(c)->up ? RN_START_OK : RN_START_LOST;
    sim_schedule(s, s->d->worker_latency_us, stop_done, c);
}

static void
do_stop(void *ctx, const struct rn_key *key, const struct rn_terms *terms)
{
    struct sim_agent *a = ctx;
    struct sim *s = a->s;
    struct sim_call *c = new_call(a);

    c->key = *key;
    c->terms = *terms;
    c->lost = sim_random(s) < s->workers[a->index].late_order_share;
    if (!c->lost) {
        sim_schedule(s, s->d->worker_latency_us, stop_arrives, c);
        return;
    }
    sim_schedule(s, late_us(s), stop_arrives, c);
    c = new_call(a);
    c->key = *key;
    c->result = RN_START_LOST;
    sim_schedule(s, RN_ANSWER_TIMEOUT_MS * 1000, stop_done, c);
}

/* The answer has arrived or the poll has timed out. */
static void
poll_done(struct sim *s, void *data)
{
    struct sim_call *c = data;
    struct rn_poll answer = {0};

    if (!c->answered && sim_agent_is_current(c)) {
        c->answered = true;
        answer.sent_ms = c->sent_ms;
        answer.immediate = c->poll.immediate;
        answer.ok = c->running != NULL;
        answer.unreachable = !worker_of(c)->up;
        answer.worker_clock_ms = c->clock_ms;
        answer.incarnation = c->worker_started_ms;
        answer.running = c->running;
        answer.running_count = c->running_count;
        answer.outcomes = c->outcomes;
        answer.outcome_count = c->outcome_count;
        rn_poll_answered(&c->agent->agent.runner, sim_now_ms(s), &answer);
        ag_flush(&c->agent->agent, sim_now_ms(s));
    }
    unref_call(c);
}

static void
answer_poll(struct sim *s, struct sim_call *c)
{
    struct sim_worker *w = worker_of(c);

    c->running = dw_zero(w->run_count + 1, sizeof(*c->running));
    c->running_count = w->run_count;
    for (size_t i = 0; i < w->run_count; i++) {
        struct sim_run *run = &w->runs[i];
        double left_part;

        update_work(s, w, run);
        left_part = run->work_left_us / run->work_us;
        c->running[i] = (struct rn_poll_run){
            run->key, (uint32_t)(100.0 * (1.0 - left_part))};
    }
    c->outcomes = dw_zero(w->outcome_count + 1, sizeof(*c->outcomes));
    c->outcome_count = w->outcome_count;
    for (size_t i = 0; i < w->outcome_count; i++) {
        c->outcomes[i] = w->outcomes[i];
    }
    c->clock_ms = sim_worker_clock(s, w);
    c->worker_started_ms = w->started_ms;
    sim_schedule(s, s->d->worker_latency_us, poll_done, c);
}

static void
poll_wait_expired(struct sim *s, void *data)
{
    struct sim_call *c = data;
    struct sim_worker *w = worker_of(c);

    if (w->poll == c) {
        w->poll = NULL;
        answer_poll(s, c);
    }
    unref_call(c);
}

static void
poll_arrives(struct sim *s, void *data)
{
    struct sim_call *c = data;
    struct sim_worker *w = worker_of(c);
    size_t kept = 0;

    if (!w->up || c->lost || fenced(w, c->terms.fence)) {
        unref_call(c);
        return;
    }
    renew_lease(s, w, c->terms.lease_until_ms);
    for (size_t i = 0; i < w->outcome_count; i++) {
        if (w->outcomes[i].seq > c->poll.ack) {
            w->outcomes[kept++] = w->outcomes[i];
        }
    }
    w->outcome_count = kept;
    if (w->outcome_count > 0 || c->poll.wait_ms == 0) {
        answer_poll(s, c);
        return;
    }
    if (w->poll != NULL) {
        unref_call(w->poll); /* of an earlier agent process */
    }
    w->poll = c;
    c->refs++;
    sim_schedule(s, c->poll.wait_ms * 1000ULL, poll_wait_expired, c);
}

static void
do_poll(void *ctx, const struct rn_poll_request *request,
    const struct rn_terms *terms)
{
    struct sim_agent *a = ctx;
    struct sim *s = a->s;
    struct sim_call *c = new_call(a);

    c->poll = *request;
    c->terms = *terms;
    c->lost = sim_random(s) < s->workers[a->index].late_order_share;
    c->refs = 2;
    sim_schedule(s, s->d->worker_latency_us, poll_arrives, c);
    sim_schedule(
        s, (request->wait_ms + RN_POLL_MARGIN_MS) * 1000ULL, poll_done, c);
}

static void
ignore_event(void *ctx, const struct rn_event *e)
{
    (void)ctx;
    (void)e;
}

const struct rn_ops sim_worker_ops = {
    do_start, do_stop, do_poll, NULL, ignore_event, NULL};

/* --- start and crash --- */

void
sim_worker_start(struct sim *s, struct sim_worker *w)
{
    w->up = true;
    w->started_ms = sim_now_ms(s);
    w->next_outcome = 1;
}

void
sim_worker_free(struct sim_worker *w)
{
    struct sim_run_record *record;
    struct sim_run_record *tmp;

    HASH_ITER (hh, w->run_records, record, tmp) {
        HASH_DEL(w->run_records, record);
        free(record);
    }
    if (w->poll != NULL) {
        unref_call(w->poll);
        w->poll = NULL;
    }
    free(w->runs);
    free(w->outcomes);
    w->runs = NULL;
    w->outcomes = NULL;
    w->run_count = w->outcome_count = 0;
}

void
sim_worker_crash(struct sim *s, struct sim_worker *w)
{
    for (size_t i = 0; i < w->run_count; i++) {
        count_running(s, &w->runs[i].key, -1);
    }
    sim_worker_free(w);
    w->up = false;
    w->lease_until_ms = 0;
    w->fence = 0;
}

void
sim_worker_tick(struct sim *s, struct sim_worker *w)
{
    if (!w->up || sim_worker_clock(s, w) <= w->lease_until_ms) {
        return;
    }
    while (w->run_count > 0) {
        end_run(s, w, &w->runs[w->run_count - 1], DW_END_LOST);
    }
}
