#include "runner.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "num.h"

/*
 * Two moving averages of speed are computed from the progress of runs.  The
 * short-term pace shows within a tenth of a second that a worker has become
 * slow or has stalled: after PACE_HALF_MS of each active run (at most
 * PACE_RUNS_MAX of them) new observations make up half of it.  The long-term
 * speed distinguishes fast machines from slow ones; as estimates are off by
 * 40 %, it averages over some hundred runs, and leaves out times in which the
 * worker is slow.
 */
#define PACE_HALF_MS 100U
#define PACE_RUNS_MAX 6U
#define SPEED_HALF_MS 8000U
/* Added to the fence when the worker has seen a higher one, as happens when
 * its time of day was set back or the agent's machine was started again; in
 * ms, more than clocks are set back by.  Doubled with each further refusal, as
 * an earlier agent may have taken a time in another unit for the start of the
 * worker. */
#define FENCE_STEP 86400000U
/* Highest integer that every reader of JSON represents exactly. */
#define FENCE_MAX ((1ULL << 53) - 1)
#define SPEED_MIN_PERMILLE 50U
#define SPEED_MAX_PERMILLE 4000U

void
rn_init(struct runner *r, uint64_t now, const struct rn_ops *ops, void *ctx)
{
    *r = (struct runner){0};
    r->ops = ops;
    r->ctx = ctx;
    r->started_ms = now;
    r->speed_permille = 1000;
    r->pace_permille = 1000;
}

/* Remembers an end.  `reported`: the entry learns of it now. */
static void
record_end(
    struct runner *r, uint64_t now, const struct rn_run *run, bool reported)
{
    r->ends[r->ends_next++ % RN_ENDS_MAX] =
        (struct rn_end){run->key, run->outcome, run->evidence, now, !reported};
}

/* The run holds no resources any more. */
static void
detach_run(struct runner *r, uint64_t now, struct rn_run *run)
{
    r->capacity_changed_ms = now;
    if (run->state != RN_QUEUED) {
        r->used_millicores -= run->millicores;
        r->used_memory_mb -= run->memory_mb;
        r->used_gpus -= run->gpus;
    }
    assert(r->runs != NULL);
    HASH_DEL(r->runs, run);
}

static void
free_run(struct rn_run *run)
{
    free(run->spec);
    free(run);
}

static void
remove_run(struct runner *r, uint64_t now, struct rn_run *run)
{
    record_end(r, now, run, true);
    detach_run(r, now, run);
    free_run(run);
}

void
rn_free(struct runner *r)
{
    struct rn_run *run;
    struct rn_run *tmp;

    HASH_ITER (hh, r->runs, run, tmp) {
        remove_run(r, 0, run);
    }
    DL_FOREACH_SAFE (r->held, run, tmp) {
        DL_DELETE(r->held, run);
        free_run(run);
    }
}

/* Accounts for a run's progress since its last report. */
static void
note_progress(
    struct runner *r, uint64_t now, struct rn_run *run, uint32_t percent)
{
    if (percent < run->progress_percent) {
        return;
    }
    r->work_est_us +=
        (uint64_t)run->est_ms * (percent - run->progress_percent) * 10;
    r->work_elapsed_ms += now - run->progress_ms;
    run->progress_percent = percent;
    run->progress_ms = now;
}

/* The average after a value was observed for `ms`; an observation of half_ms
 * makes up half of the result. */
static uint32_t
moving_average(
    uint32_t value, uint64_t observed, uint64_t ms, uint64_t half_ms)
{
    return (uint32_t)((value * half_ms + observed * ms) / (half_ms + ms));
}

/* Speed is estimated work done over the time it took. */
static void
update_speed(struct runner *r)
{
    uint64_t runs = num_min(num_max(rn_active_count(r), 1), PACE_RUNS_MAX);
    uint64_t observed;

    if (r->work_elapsed_ms == 0) {
        return;
    }
    observed = num_max(
        num_min(r->work_est_us / r->work_elapsed_ms, SPEED_MAX_PERMILLE),
        SPEED_MIN_PERMILLE);
    r->pace_permille = moving_average(
        r->pace_permille, observed, r->work_elapsed_ms, runs * PACE_HALF_MS);
    if (2 * r->pace_permille > r->speed_permille) {
        r->speed_permille = moving_average(
            r->speed_permille, observed, r->work_elapsed_ms, SPEED_HALF_MS);
    }
    r->work_est_us = 0;
    r->work_elapsed_ms = 0;
}

static void
report_end(struct runner *r, uint64_t now, struct rn_run *run, dw_end outcome)
{
    uint32_t ran_ms =
        run->started_ms != 0 ? (uint32_t)num_sub_sat(now, run->started_ms) : 0;

    if (outcome == DW_END_DONE) {
        r->stats.done++;
        note_progress(r, now, run, 100);
    }
    else if (outcome == DW_END_FAILED) {
        r->stats.failed++;
    }
    else if (outcome == DW_END_NOT_RUN) {
        r->stats.not_run[run->evidence]++;
    }
    if (outcome == DW_END_DONE || outcome == DW_END_FAILED) {
        r->fail_permille =
            rn_fail_average(r->fail_permille, outcome == DW_END_FAILED);
    }
    run->outcome = outcome;
    r->ops->ended(r->ctx, run, outcome, ran_ms);
}

/* A start that has no answer may still be executed.  An agent that leaves
 * cannot wait for it. */
static bool
has_open_start(const struct runner *r, uint64_t now, const struct rn_run *run)
{
    return run->open_starts > 0 && now < run->late_until_ms && !r->leaving;
}

static void
hold_run(struct runner *r, uint64_t now, struct rn_run *run, dw_end outcome)
{
    struct rn_event e = {.kind = RN_EVENT_HELD,
        .active = rn_active_count(r),
        .key = run->key,
        .open_starts = run->open_starts,
        .hold_ms = run->late_until_ms - now,
        .outcome = outcome};

    run->outcome = outcome;
    record_end(r, now, run, false);
    detach_run(r, now, run);
    run->state = RN_HELD;
    DL_APPEND(r->held, run);
    r->stats.held++;
    r->ops->event(r->ctx, &e);
}

/* The run is over.  A task that is done is not repeated, so nothing runs
 * beside a late start of it. */
static void
finish_run(struct runner *r, uint64_t now, struct rn_run *run, dw_end outcome)
{
    if (outcome != DW_END_DONE && has_open_start(r, now, run)) {
        hold_run(r, now, run, outcome);
        return;
    }
    report_end(r, now, run, outcome);
    remove_run(r, now, run);
}

static void
release_held_runs(struct runner *r, uint64_t now)
{
    struct rn_run *run;
    struct rn_run *tmp;

    DL_FOREACH_SAFE (r->held, run, tmp) {
        if (!has_open_start(r, now, run)) {
            DL_DELETE(r->held, run);
            report_end(r, now, run, run->outcome);
            record_end(r, now, run, true);
            free_run(run);
        }
    }
}

static struct rn_run *
find_run(struct runner *r, const struct rn_key *key)
{
    struct rn_run *run;

    HASH_FIND(hh, r->runs, key, sizeof(*key), run);
    return run;
}

/* --- worker's clock and lease --- */

/* Upper bound of what the worker's clock shows, in ms. */
static uint64_t
worker_clock(const struct runner *r, uint64_t now)
{
    return r->worker_clock_ms + (now - r->worker_clock_at_ms);
}

static void
note_clock(struct runner *r, uint64_t now, uint64_t clock_ms)
{
    if (clock_ms != 0) {
        r->worker_clock_ms = clock_ms;
        r->worker_clock_at_ms = now;
    }
}

/* Returns the new end of the lease by the worker's clock; until then the
 * worker may keep our runs. */
static uint64_t
extend_lease(struct runner *r, uint64_t now)
{
    uint64_t elapsed = now - r->worker_clock_at_ms;
    uint64_t drift = elapsed * RN_DRIFT_PERCENT / 100;

    r->lease_expiry_ms =
        num_max(r->lease_expiry_ms, now + RN_LEASE_EXPIRY_MS + drift);
    return worker_clock(r, now) + RN_LEASE_MS;
}

/*
 * One lease covers all runs.  An entry treats the runs of an ended session as
 * over after RN_STOP_LIMIT_MS and one lease; if a stop gets lost, renewing
 * the lease for other runs would keep such a run alive beside its successor.
 * The same holds for a run that its entry has stopped, as the job's caller may
 * submit the job to another entry.
 * A worker that did not answer the last poll may have restarted: a time by
 * its former clock could be far in the future by its new one.
 */
static bool
may_renew(const struct runner *r, uint64_t now)
{
    const struct rn_run *run;

    for (run = r->runs; run != NULL; run = run->hh.next) {
        if (run->gone_by_ms != 0 && now > run->gone_by_ms) {
            return false;
        }
    }
    return r->worker_clock_ms != 0 && r->polls_failed == 0 &&
           r->ops->sessions_checked(r->ctx, now);
}

/* A start or a renewal is sent: nothing else prolongs a lease. */
static struct str
name_worker(struct runner *r, uint64_t now)
{
    if (r->worker_id[0] == '\0') {
        r->unnamed_ms = now;
    }
    return str_of(r->worker_id);
}

static void
send_poll(struct runner *r, uint64_t now, uint64_t until_ms, uint32_t wait_ms,
    bool immediate)
{
    struct rn_terms terms = {
        until_ms, r->fence, until_ms != 0 ? name_worker(r, now) : STR("")};
    struct rn_poll_request request = {r->ack, wait_ms, immediate};

    r->ops->poll(r->ctx, &request, &terms);
}

static void
send_stop(struct runner *r, const struct rn_key *key)
{
    struct rn_terms terms = {0, r->fence, STR("")};

    r->ops->stop(r->ctx, key, &terms);
}

static void
start_poll(struct runner *r, uint64_t now, uint32_t wait_ms)
{
    uint64_t until =
        may_renew(r, now) && rn_active_count(r) > 0 ? extend_lease(r, now) : 0;

    r->poll_ms = now;
    r->last_poll_ms = now;
    r->ack_sent = r->ack;
    send_poll(r, now, until, wait_ms, false);
}

/* Finds out at once whether an unanswered start took effect; sent beside the
 * poll that waits for an outcome. */
static void
poll_immediately(struct runner *r)
{
    if (!r->immediate_pending) {
        r->immediate_pending = true;
        send_poll(r, 0, 0, 0, true);
    }
}

/* When the worker last answered; before its first answer, our start. */
static uint64_t
heard_ms(const struct runner *r)
{
    return num_max(r->worker_clock_at_ms, r->started_ms);
}

static void
note_silent(struct runner *r, uint64_t now)
{
    struct rn_event e = {.kind = RN_EVENT_SILENT,
        .active = rn_active_count(r),
        .polls_failed = r->polls_failed};

    r->silent_from_ms = heard_ms(r);
    e.unheard_ms = num_sub_sat(now, r->silent_from_ms);
    r->ops->event(r->ctx, &e);
}

static void
note_answer(struct runner *r, uint64_t now, const struct rn_poll *p)
{
    struct rn_event e = {.kind = RN_EVENT_ANSWERS,
        .active = rn_active_count(r),
        .unheard_ms = num_sub_sat(now, r->silent_from_ms),
        .polls_failed = r->polls_failed};

    for (size_t i = 0; i < p->outcome_count; i++) {
        e.outcomes += p->outcomes[i].seq > r->ack;
    }
    r->ops->event(r->ctx, &e);
}

/*
 * An unreachable worker fails starts faster than any other worker completes
 * them: if it counted as free, it would attract all tasks.  It gets none
 * until a poll succeeds.
 */
static void
set_silent(struct runner *r, uint64_t now)
{
    if (!r->silent) {
        note_silent(r, now);
    }
    r->silent = true;
    r->capacity_changed_ms = now;
}

/* --- starting --- */

static bool
fits(const struct runner *r, const struct rn_run *run)
{
    return r->used_millicores + run->millicores <= r->millicores &&
           r->used_memory_mb + run->memory_mb <= r->memory_mb &&
           r->used_gpus + run->gpus <= r->gpus;
}

/* Another run of the same task is active here. */
static bool
task_active(const struct runner *r, const struct rn_run *run)
{
    const struct rn_run *o;

    for (o = r->runs; o != NULL; o = o->hh.next) {
        if (o != run && o->state != RN_QUEUED && o->key.job == run->key.job &&
            o->key.index == run->key.index) {
            return true;
        }
    }
    return false;
}

static void
send_start(struct runner *r, uint64_t now, struct rn_run *run)
{
    struct rn_terms terms = {0, r->fence, name_worker(r, now)};

    run->state = RN_STARTING;
    run->sent_ms = now;
    run->progress_ms = now;
    run->starts++;
    run->open_starts++;
    run->unnamed |= terms.worker_id.n == 0;
    run->late_until_ms = now + RN_LATE_START_MS;
    terms.lease_until_ms = extend_lease(r, now);
    r->ops->start(r->ctx, run, &terms);
}

static void
start_run(struct runner *r, uint64_t now, struct rn_run *run)
{
    r->used_millicores += run->millicores;
    r->used_memory_mb += run->memory_mb;
    r->used_gpus += run->gpus;
    r->stats.started++;
    send_start(r, now, run);
}

static bool
ends_before_exit(
    const struct runner *r, uint64_t now, const struct rn_run *run)
{
    return r->worker_exit_ms == 0 || now + run->est_ms < r->worker_exit_ms;
}

static void
start_queued(struct runner *r, uint64_t now)
{
    bool may_start = rn_serving(r) && may_renew(r, now);
    struct rn_run *run;
    struct rn_run *tmp;

    HASH_ITER (hh, r->runs, run, tmp) {
        if (run->state != RN_QUEUED) {
            continue;
        }
        if (now >= run->wait_until_ms || !rn_serving(r) ||
            !ends_before_exit(r, now, run)) {
            r->stats.no_capacity++;
            run->evidence = RN_EVIDENCE_NOT_SENT;
            finish_run(r, now, run, DW_END_FULL);
        }
        else if (may_start && fits(r, run) && !task_active(r, run)) {
            start_run(r, now, run);
        }
    }
    /* The first poll after a start does not wait for the idle interval. */
    if (r->poll_ms == 0 && r->polls_failed == 0 && rn_active_count(r) > 0) {
        start_poll(r, now, r->polled ? RN_POLL_MS : 0);
    }
}

/* ms from the last poll until the next is due. */
static uint32_t
poll_pause(const struct runner *r)
{
    return rn_active_count(r) > 0 || !r->clean || !r->polled || r->silent ||
                   !rn_outcomes_acked(r)
               ? RN_RETRY_POLL_MS
               : RN_IDLE_POLL_MS;
}

/* With the run that was added last there are too many. */
static bool
is_over_limit(const struct runner *r)
{
    return r->runs_max != 0 && HASH_COUNT(r->runs) > r->runs_max;
}

/*
 * Entries that were reported the same free cores may order more than fits.
 * The excess is refused at once, so that it can be placed elsewhere instead
 * of waiting here.  A run that only waits for an earlier run of its own task
 * stays queued.
 */
void
rn_order(struct runner *r, uint64_t now, uint64_t entry, uint64_t session,
    const dw_run_group *group, const dw_run *order)
{
    struct rn_key key = {group->job, order->run, order->index};
    struct rn_run *run;

    if (find_run(r, &key) != NULL) {
        return;
    }
    run = dw_zero(1, sizeof(*run));
    run->key = key;
    run->entry = entry;
    run->session = session;
    run->millicores = order->millicores;
    run->memory_mb = order->memory_mb;
    run->gpus = order->gpus;
    run->est_ms = order->est_ms;
    run->priority = group->priority;
    run->spec = str_dup(str_bytes(&group->spec));
    run->received_ms = now;
    run->sent_ms = now;
    run->wait_until_ms = now + order->wait_ms;
    HASH_ADD(hh, r->runs, key, sizeof(run->key), run);
    r->capacity_changed_ms = now;
    if (!is_over_limit(r)) {
        start_queued(r, now);
    }
    run = find_run(r, &key);
    if (run != NULL && run->state == RN_QUEUED &&
        (is_over_limit(r) || !task_active(r, run))) {
        r->stats.no_capacity++;
        run->evidence = RN_EVIDENCE_NOT_SENT;
        finish_run(r, now, run, DW_END_FULL);
    }
}

/* --- stopping --- */

static void
stop_run(struct runner *r, uint64_t now, struct rn_run *run)
{
    if (run->state != RN_STOPPING) {
        run->state = RN_STOPPING;
        run->conclusive_ms = UINT64_MAX;
    }
    run->sent_ms = now;
    send_stop(r, &run->key);
}

/* Its entry does not want the run any more.  False: known already. */
static bool
must_be_gone_by(struct rn_run *run, uint64_t ms)
{
    bool earlier = !run->unwanted || ms < run->gone_by_ms;

    run->unwanted = true;
    if (earlier) {
        run->gone_by_ms = ms;
    }
    return earlier;
}

void
rn_stop(struct runner *r, uint64_t now, const dw_run_ref *ref)
{
    struct rn_key key = {ref->job, ref->run, ref->index};
    struct rn_run *run = find_run(r, &key);

    if (run == NULL) {
        return;
    }
    if (run->state == RN_QUEUED) {
        run->evidence = RN_EVIDENCE_DROPPED;
        finish_run(r, now, run, DW_END_STOPPED);
        return;
    }
    must_be_gone_by(run, now + RN_ORDERED_STOP_LIMIT_MS);
    if (run->state != RN_STOPPING) {
        stop_run(r, now, run);
    }
}

void
rn_session_ended(
    struct runner *r, uint64_t now, uint64_t session, uint64_t over_ms)
{
    struct rn_run *run;
    struct rn_run *tmp;

    HASH_ITER (hh, r->runs, run, tmp) {
        if (run->session != session) {
            continue;
        }
        if (run->state == RN_QUEUED) {
            run->evidence = RN_EVIDENCE_DROPPED;
            run->outcome = DW_END_STOPPED;
            remove_run(r, now, run);
            continue;
        }
        if (must_be_gone_by(run, over_ms + RN_STOP_LIMIT_MS)) {
            stop_run(r, now, run);
        }
    }
    start_queued(r, now);
}

/* --- reports of the worker --- */

/*
 * A start may arrive seconds late at a worker that has restarted meanwhile:
 * its lease would then end far in the future by the new clock, while the task
 * has run elsewhere.  The fence increases with each incarnation, so that the
 * worker refuses such a start.  It also increases with each agent, as
 * started_ms does on one machine, so that the worker refuses late starts of an
 * earlier agent, of which this one does not know the sizes.
 */
static void
set_incarnation(struct runner *r, uint64_t incarnation)
{
    r->incarnation = incarnation;
    r->fence = num_max(r->fence + 1, incarnation + r->started_ms);
}

static void
raise_fence(struct runner *r)
{
    r->fence_step = num_max(2 * r->fence_step, FENCE_STEP);
    r->fence = num_max(r->fence, num_min(r->fence + r->fence_step, FENCE_MAX));
}

/*
 * Which runs belonged to the former incarnation is not known: a start in
 * transit may have reached the new one.  The first poll with the new fence
 * shows for each run whether it exists.  Calls with a time by the former clock
 * may have given the new incarnation its longest lease.
 */
static void
worker_restarted(struct runner *r, uint64_t now, uint64_t incarnation)
{
    struct rn_event e = {.kind = RN_EVENT_RESTARTED,
        .active = rn_active_count(r),
        .unheard_ms = num_sub_sat(now, heard_ms(r)),
        .former = r->incarnation,
        .incarnation = incarnation};

    r->ops->event(r->ctx, &e);
    r->fail_permille = 0;
    r->stats.worker_restarts++;
    r->worker_clock_ms = 0;
    r->polled = false;
    r->former_refused = false;
    set_incarnation(r, incarnation);
    r->incarnation_seen_ms = now;
    r->lease_expiry_ms = num_max(r->lease_expiry_ms, now + RN_LEASE_MAX_MS);
    r->capacity_known = false;
    r->draining = false;
    r->worker_exit_ms = 0;
    r->ack = 0;
    r->ack_confirmed = 0;
    r->ack_sent = 0;
    r->capacity_changed_ms = now;
}

/* A heartbeat names the incarnation that sent it. */
static void
note_incarnation(struct runner *r, uint64_t now, uint64_t incarnation)
{
    if (r->incarnation == 0) {
        set_incarnation(r, incarnation);
    }
    if (incarnation > r->incarnation) {
        worker_restarted(r, now, incarnation);
    }
}

static void
close_starts(struct rn_run *run)
{
    if (!run->unnamed) {
        run->open_starts = 0;
    }
}

/* A worker refuses starts and renewals that name another one. */
void
rn_set_worker_id(
    struct runner *r, uint64_t now, uint64_t incarnation, struct str id)
{
    struct rn_run *run;

    note_incarnation(r, now, incarnation);
    if (incarnation != r->incarnation || str_is(id, r->worker_id)) {
        return;
    }
    for (run = r->runs; run != NULL; run = run->hh.next) {
        close_starts(run);
    }
    DL_FOREACH (r->held, run) {
        close_starts(run);
    }
    if (r->worker_id[0] != '\0' &&
        (r->unnamed_ms == 0 || now - r->unnamed_ms > RN_LATE_START_MS)) {
        r->former_refused = true;
        r->unknown_lease_until_ms = 0;
        r->capacity_changed_ms = now;
    }
    str_copy(r->worker_id, sizeof(r->worker_id), id);
}

void
rn_set_capacity(struct runner *r, uint64_t now, uint32_t millicores,
    uint32_t memory_mb, uint32_t gpus, uint64_t incarnation)
{
    note_incarnation(r, now, incarnation);
    if (!r->capacity_known) {
        r->millicores = 0;
        r->memory_mb = 0;
        r->gpus = 0;
    }
    if (incarnation == r->incarnation) {
        /* Free capacity never exceeds the total. */
        r->millicores = (uint32_t)num_max(r->millicores, millicores);
        r->memory_mb = (uint32_t)num_max(r->memory_mb, memory_mb);
        r->gpus = (uint32_t)num_max(r->gpus, gpus);
        r->capacity_known = true;
    }
    start_queued(r, now);
}

void
rn_set_draining(struct runner *r, uint64_t now, bool draining, bool leaves,
    uint64_t left_ms)
{
    if (r->draining != draining) {
        r->capacity_changed_ms = now;
    }
    r->draining = draining;
    r->worker_exit_ms = draining && leaves ? now + left_ms : 0;
    start_queued(r, now);
}

void
rn_set_withdrawn(struct runner *r, uint64_t now, bool withdrawn)
{
    r->withdrawn = withdrawn;
    r->capacity_changed_ms = now;
    start_queued(r, now);
}

void
rn_leave(struct runner *r, uint64_t now)
{
    r->leaving = true;
    start_queued(r, now);
}

/* Polls decide whether the run exists. */
static void
become_unsure(struct runner *r, uint64_t now, struct rn_run *run)
{
    run->state = RN_UNSURE;
    run->conclusive_ms = now;
    poll_immediately(r);
}

static const enum rn_evidence refusal_evidence[] = {
    [RN_START_REFUSED] = RN_EVIDENCE_REFUSED,
    [RN_START_UNREACHABLE] = RN_EVIDENCE_UNREACHABLE,
    [RN_START_FENCED] = RN_EVIDENCE_FENCED,
};

void
rn_start_answered(struct runner *r, uint64_t now, const struct rn_key *key,
    enum rn_start_result result, uint64_t clock_ms)
{
    struct rn_run *run = find_run(r, key);

    if (run == NULL) {
        return;
    }
    if (result == RN_START_FENCED) {
        raise_fence(r);
    }
    else if (result == RN_START_UNREACHABLE) {
        set_silent(r, now);
    }
    else if (result == RN_START_LOST) {
        r->stats.lost_starts++;
    }
    if (result != RN_START_LOST && run->open_starts > 0) {
        run->open_starts--;
    }
    /* Answers to starts do not name the incarnation: one to a start that was
     * sent before a restart was noticed may have the former one's clock. */
    if (run->state == RN_STARTING && run->sent_ms > r->incarnation_seen_ms) {
        note_clock(r, now, clock_ms);
    }
    if (run->state == RN_STOPPING && run->started_ms == 0 &&
        result == RN_START_OK) {
        run->started_ms = now; /* at the latest */
    }
    if (run->state == RN_RUNNING || run->state == RN_STOPPING) {
        return;
    }
    if (result == RN_START_OK) {
        run->state = RN_RUNNING;
        run->started_ms = run->sent_ms;
        run->conclusive_ms = now;
    }
    else if (result == RN_START_LOST || run->open_starts > 0) {
        /* A refusal speaks for one of several starts only. */
        become_unsure(r, now, run);
    }
    else {
        run->evidence = refusal_evidence[result];
        finish_run(r, now, run, DW_END_NOT_RUN);
        start_queued(r, now);
    }
}

void
rn_stop_answered(
    struct runner *r, uint64_t now, const struct rn_key *key, bool answered)
{
    struct rn_run *run = find_run(r, key);

    if (run == NULL || run->conclusive_ms != UINT64_MAX) {
        return;
    }
    if (!answered) {
        return; /* rn_tick() sends it again */
    }
    /* From now on the worker refuses a late start of this run; the next poll
     * shows whether it runs or has ended. */
    run->conclusive_ms = now;
    if (!run->reported) {
        poll_immediately(r);
    }
}

/* NULL if the run is none of those that ended last. */
static struct rn_end *
find_end(struct runner *r, const struct rn_key *key)
{
    size_t kept = num_min(r->ends_next, RN_ENDS_MAX);

    for (size_t i = 1; i <= kept; i++) {
        struct rn_end *end = &r->ends[(r->ends_next - i) % RN_ENDS_MAX];

        if (memcmp(&end->key, key, sizeof(*key)) == 0) {
            return end;
        }
    }
    return NULL;
}

/* A run reported as lost has ended with an unknown outcome: that one comes
 * late is no contradiction, but the task may have been repeated for nothing.
 */
static void
note_contradiction(
    struct runner *r, uint64_t now, struct rn_end *end, struct rn_event *e)
{
    end->contradicted = true;
    r->stats.contradicted +=
        e->kind == RN_EVENT_ALIVE || end->outcome != DW_END_LOST;
    e->active = rn_active_count(r);
    e->end = *end;
    e->since_ms = num_sub_sat(now, end->ended_ms);
    r->ops->event(r->ctx, e);
}

/* The worker lists the end of a run whose end was reported before.  However
 * old the poll is, the run had that outcome. */
static void
check_listed_end(struct runner *r, uint64_t now, const struct rn_outcome *o)
{
    struct rn_end *end = find_end(r, &o->key);
    struct rn_event e = {
        .kind = RN_EVENT_END_CONTRADICTED, .outcome = o->outcome};

    if (end != NULL && !end->contradicted && end->outcome != o->outcome) {
        note_contradiction(r, now, end, &e);
    }
}

/* A poll shows a run whose end was reported before.  Responses of polls may
 * overtake each other: one to a poll sent before that end proves nothing. */
static void
check_alive(struct runner *r, uint64_t now, const struct rn_poll *p,
    const struct rn_poll_run *alive)
{
    struct rn_end *end = find_end(r, &alive->key);
    struct rn_event e = {.kind = RN_EVENT_ALIVE, .percent = alive->percent};

    if (end != NULL && !end->contradicted && p->sent_ms > end->ended_ms) {
        note_contradiction(r, now, end, &e);
    }
}

/* With several starts it is not known which of them was executed. */
static void
note_executed(struct rn_run *run)
{
    if (run->starts == 1) {
        run->open_starts = 0;
    }
}

static void
process_outcomes(struct runner *r, uint64_t now, const struct rn_poll *p)
{
    for (size_t i = 0; i < p->outcome_count; i++) {
        const struct rn_outcome *o = &p->outcomes[i];
        struct rn_run *run = find_run(r, &o->key);

        if (o->seq <= r->ack) {
            continue;
        }
        r->ack = o->seq;
        if (run != NULL && run->state != RN_QUEUED) {
            note_executed(run);
            run->evidence = RN_EVIDENCE_LISTED;
            finish_run(r, now, run, o->outcome);
        }
        else if (run == NULL) {
            check_listed_end(r, now, o);
        }
    }
}

/* The end of the run became known after a poll was sent. */
static bool
ended_since(struct runner *r, const struct rn_key *key, uint64_t sent_ms)
{
    const struct rn_end *end = find_end(r, key);

    return end != NULL && end->ended_ms >= sent_ms;
}

/* Tells when the first orphan appears and when the last one is gone. */
static void
note_orphans(struct runner *r, size_t before, const struct rn_key *first)
{
    struct rn_event e = {
        .kind = r->orphans > 0 ? RN_EVENT_ORPHANS : RN_EVENT_NO_ORPHANS,
        .active = rn_active_count(r),
        .orphans = r->orphans,
        .key = *first};

    if ((before > 0) == (r->orphans > 0)) {
        return;
    }
    r->ops->event(r->ctx, &e);
}

static void
process_running(struct runner *r, uint64_t now, const struct rn_poll *p)
{
    size_t before = r->orphans;
    struct rn_key first = {0};

    r->orphans = 0;
    for (size_t i = 0; i < p->running_count; i++) {
        const struct rn_poll_run *reported = &p->running[i];
        struct rn_run *run = find_run(r, &reported->key);

        if (run == NULL && ended_since(r, &reported->key, p->sent_ms)) {
            continue;
        }
        if (run == NULL) {
            /* Started by an earlier agent, or by a late request: its size is
             * unknown, so nothing is started beside it. */
            check_alive(r, now, p, reported);
            first = r->orphans == 0 ? reported->key : first;
            r->orphans++;
            r->stats.orphans++;
            send_stop(r, &reported->key);
            continue;
        }
        run->reported = true;
        note_executed(run);
        note_progress(r, now, run, reported->percent);
        if (run->state == RN_UNSURE || run->state == RN_STARTING) {
            run->state = RN_RUNNING;
            run->started_ms = run->sent_ms;
            run->conclusive_ms = now;
        }
    }
    note_orphans(r, before, &first);
}

static bool
is_reported(const struct rn_poll *p, const struct rn_key *key)
{
    for (size_t i = 0; i < p->running_count; i++) {
        if (memcmp(&p->running[i].key, key, sizeof(*key)) == 0) {
            return true;
        }
    }
    return false;
}

static void
repeat_start(struct runner *r, uint64_t now, struct rn_run *run)
{
    struct rn_event e = {.kind = RN_EVENT_START_REPEATED,
        .active = rn_active_count(r),
        .key = run->key,
        .open_starts = run->open_starts};

    r->stats.repeated++;
    r->ops->event(r->ctx, &e);
    send_start(r, now, run);
}

/*
 * The worker does not run it, but a start of it may still be executed.  The
 * worker executes one of several starts of a run, so that another one does no
 * harm; until one can be sent, the run waits.
 */
static void
resolve_unsure(struct runner *r, uint64_t now, struct rn_run *run)
{
    if (run->unwanted || r->draining || r->withdrawn ||
        !has_open_start(r, now, run)) {
        /* After a stop a late start is refused. */
        stop_run(r, now, run);
    }
    else if (rn_serving(r) && may_renew(r, now) &&
             ends_before_exit(r, now, run) &&
             now - run->sent_ms >= RN_ANSWER_TIMEOUT_MS) {
        repeat_start(r, now, run);
    }
}

/* Decides on runs that a poll showed neither as running nor as ended. */
static void
resolve_absent(struct runner *r, uint64_t now, const struct rn_poll *p)
{
    struct rn_run *run;
    struct rn_run *tmp;

    HASH_ITER (hh, r->runs, run, tmp) {
        if (run->state == RN_QUEUED || run->state == RN_STARTING ||
            p->sent_ms <= run->conclusive_ms || is_reported(p, &run->key)) {
            continue;
        }
        if (run->state == RN_UNSURE) {
            resolve_unsure(r, now, run);
        }
        else if (run->state == RN_RUNNING && !run->unwanted &&
                 has_open_start(r, now, run)) {
            become_unsure(r, now, run);
        }
        else {
            run->evidence = run->state == RN_STOPPING
                                ? RN_EVIDENCE_ABSENT_STOPPED
                                : RN_EVIDENCE_ABSENT;
            finish_run(r, now, run,
                run->reported || run->started_ms != 0 ? DW_END_LOST
                                                      : DW_END_NOT_RUN);
        }
    }
}

/*
 * The first poll that carried the fence of this incarnation: from now on the
 * worker refuses late requests meant for the former one.  A late request that
 * arrived before may have renewed the lease with a time by the former clock,
 * limited only by the longest lease.  If this agent dies, entries rely on
 * RN_LEASE_EXPIRY_MS, so nothing is started until that lease has run out,
 * unless the worker refuses such requests as they name another id.
 */
static void
first_poll(struct runner *r, uint64_t now)
{
    r->polled = true;
    if (r->stats.worker_restarts > 0 && !r->former_refused) {
        r->unknown_lease_until_ms = now + RN_LEASE_MAX_MS;
    }
}

static void
process_poll(struct runner *r, uint64_t now, const struct rn_poll *p)
{
    if (r->incarnation != 0 && p->incarnation != r->incarnation) {
        worker_restarted(r, now, p->incarnation);
    }
    if (r->silent) {
        note_answer(r, now, p);
    }
    note_clock(r, now, p->worker_clock_ms);
    if (r->incarnation == 0) {
        set_incarnation(r, p->incarnation);
    }
    r->silent = false;
    if (!r->polled && p->sent_ms > r->incarnation_seen_ms) {
        first_poll(r, now);
    }
    process_outcomes(r, now, p);
    process_running(r, now, p);
    /* Until the worker has seen the new fence it executes late starts. */
    if (r->polled && !p->partial) {
        resolve_absent(r, now, p);
    }
    update_speed(r);
    /* Until then a late start of an earlier agent may still be executed. */
    if (r->orphans == 0 && p->sent_ms > r->started_ms + RN_LEASE_EXPIRY_MS) {
        r->clean = true;
    }
}

static void
poll_failed(struct runner *r, uint64_t now, const struct rn_poll *p)
{
    if (p->unreachable || r->polls_failed >= RN_SILENT_POLLS) {
        set_silent(r, now);
    }
    else {
        start_poll(r, now, 0);
    }
}

void
rn_poll_answered(struct runner *r, uint64_t now, const struct rn_poll *p)
{
    /* Sent before a restart and answered by the former incarnation. */
    bool outdated = r->incarnation != 0 && p->incarnation != r->incarnation &&
                    p->sent_ms <= r->incarnation_seen_ms;

    if (p->immediate) {
        r->immediate_pending = false;
    }
    else {
        r->poll_ms = 0;
        r->polls_failed += !p->ok;
        r->ack_confirmed = p->ok && !outdated ? r->ack_sent : r->ack_confirmed;
    }
    if (p->ok && !outdated) {
        r->fence_step = 0;
        process_poll(r, now, p);
        r->polls_failed = 0;
    }
    else if (p->fenced) {
        raise_fence(r);
    }
    else if (!p->ok && !p->immediate) {
        poll_failed(r, now, p);
    }
    start_queued(r, now);
}

/* After a lease without renewal the worker has ended all runs. */
static void
expire_lease(struct runner *r, uint64_t now)
{
    struct rn_run *run;
    struct rn_run *tmp;

    if (now <= r->lease_expiry_ms) {
        return;
    }
    HASH_ITER (hh, r->runs, run, tmp) {
        bool waits = !run->unwanted && has_open_start(r, now, run);

        if (run->state == RN_QUEUED || (waits && run->state == RN_UNSURE)) {
            continue;
        }
        r->stats.lease_expired++;
        if (waits) {
            become_unsure(r, now, run);
            continue;
        }
        run->evidence = RN_EVIDENCE_LEASE;
        finish_run(r, now, run, DW_END_LOST);
    }
}

void
rn_tick(struct runner *r, uint64_t now)
{
    struct rn_run *run;
    struct rn_run *tmp;

    if (r->unknown_lease_until_ms != 0 && now > r->unknown_lease_until_ms) {
        r->unknown_lease_until_ms = 0;
        r->capacity_changed_ms = now;
    }
    expire_lease(r, now);
    release_held_runs(r, now);
    HASH_ITER (hh, r->runs, run, tmp) {
        if (run->state == RN_STOPPING && run->conclusive_ms == UINT64_MAX &&
            now - run->sent_ms > RN_ANSWER_TIMEOUT_MS + 5) {
            stop_run(r, now, run);
        }
        else if (run->state == RN_UNSURE) {
            poll_immediately(r);
        }
    }
    if (r->poll_ms == 0 && now - r->last_poll_ms >= poll_pause(r)) {
        start_poll(r, now, rn_active_count(r) > 0 ? RN_POLL_MS : 0);
    }
    start_queued(r, now);
}

/* --- queries --- */

bool
rn_serving(const struct runner *r)
{
    return r->capacity_known && r->polled && r->unknown_lease_until_ms == 0 &&
           !r->silent && r->orphans == 0 && !r->draining && !r->withdrawn &&
           !r->leaving;
}

bool
rn_outcomes_acked(const struct runner *r)
{
    return r->ack_confirmed == r->ack;
}

size_t
rn_active_count(const struct runner *r)
{
    const struct rn_run *run;
    size_t n = 0;

    for (run = r->runs; run != NULL; run = run->hh.next) {
        n += run->state != RN_QUEUED;
    }
    return n;
}

uint64_t
rn_not_run_count(const struct rn_stats *st)
{
    uint64_t n = 0;

    for (size_t i = 0; i < RN_EVIDENCE_COUNT; i++) {
        n += st->not_run[i];
    }
    return n;
}

size_t
rn_leftover_count(const struct runner *r, uint64_t entry, uint64_t session)
{
    const struct rn_run *run;
    size_t n = 0;

    for (run = r->runs; run != NULL; run = run->hh.next) {
        n += run->entry == entry && run->session != session;
    }
    DL_FOREACH (r->held, run) {
        n += run->entry == entry && run->session != session;
    }
    return n;
}

/* A start that was sent just now usually gets its answer. */
static bool
has_lost_start(const struct runner *r, uint64_t now, const struct rn_run *run)
{
    return has_open_start(r, now, run) &&
           (run->starts > 1 || run->state != RN_STARTING);
}

static size_t
add_ref(dw_run_ref *out, size_t at, size_t n, const struct rn_run *run)
{
    if (at < n) {
        out[at].job = run->key.job;
        out[at].index = (u_int)run->key.index;
        out[at].run = run->key.run;
    }
    return num_min(at + 1, n);
}

size_t
rn_open_runs(const struct runner *r, uint64_t now, uint64_t session,
    dw_run_ref *out, size_t n)
{
    const struct rn_run *run;
    size_t count = 0;

    for (run = r->runs; run != NULL; run = run->hh.next) {
        if (run->session == session && has_lost_start(r, now, run)) {
            count = add_ref(out, count, n, run);
        }
    }
    DL_FOREACH (r->held, run) {
        if (run->session == session && has_lost_start(r, now, run)) {
            count = add_ref(out, count, n, run);
        }
    }
    return count;
}

size_t
rn_held_count(const struct runner *r)
{
    const struct rn_run *run;
    size_t n = 0;

    DL_COUNT(r->held, run, n);
    return n;
}

void
rn_get_capacity(const struct runner *r, uint64_t now, dw_room *capacity)
{
    const struct rn_run *run;

    memset(capacity, 0, sizeof(*capacity));
    capacity->serving = rn_serving(r);
    capacity->draining = r->draining;
    capacity->left_ms = r->worker_exit_ms != 0
                            ? num_remaining_ms(r->worker_exit_ms, now)
                            : UINT32_MAX;
    capacity->millicores = r->millicores;
    capacity->memory_mb = r->memory_mb;
    capacity->gpus = r->gpus;
    capacity->speed_permille = r->speed_permille;
    capacity->pace_permille = r->pace_permille;
    capacity->fail_permille = r->fail_permille;
    capacity->free_millicores = (int)(r->millicores - r->used_millicores);
    capacity->free_memory_mb = (int)(r->memory_mb - r->used_memory_mb);
    capacity->free_gpus = (int)(r->gpus - r->used_gpus);
    if (r->runs_max != 0 && HASH_COUNT(r->runs) >= r->runs_max) {
        capacity->free_millicores = 0;
    }
    for (run = r->runs; run != NULL; run = run->hh.next) {
        if (run->state == RN_QUEUED) {
            capacity->waiting++;
            capacity->free_millicores -= (int)run->millicores;
            capacity->free_memory_mb -= (int)run->memory_mb;
            capacity->free_gpus -= (int)run->gpus;
        }
    }
}
