#include "runner.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "num.h"

/*
 * Two speeds are learned from the progress of runs.  The present one tells
 * within a tenth of a second that a worker has turned slow or stands still:
 * after PACE_MS of each run under way (at most PACE_RUNS of them) half of it
 * is new.  The usual one tells fast machines from slower ones; estimates are
 * off by 40 %, so it takes some hundred runs, and none from times in which the
 * worker is slow.
 */
#define PACE_MS 100U
#define PACE_RUNS 6U
#define USUAL_MS 8000U
/* Added to the fence when the worker has seen a higher one, as after the
 * time of day was set back: more than clocks are set back by, in ms. */
#define FENCE_LEAP 86400000U
#define SPEED_MIN 50U
#define SPEED_MAX 4000U

void
rn_init(struct runner *r, uint64_t now, const struct rn_ops *ops, void *ctx)
{
    *r = (struct runner){0};
    r->ops = ops;
    r->ctx = ctx;
    r->begun_ms = now;
    r->speed_permille = 1000;
    r->pace_permille = 1000;
}

static void
drop(struct runner *r, uint64_t now, struct rn_run *run)
{
    r->room_changed_ms = now;
    r->recent[r->recent_at++ % RN_RECENT] = run->key;
    if (run->state != RN_QUEUED) {
        r->used_millicores -= run->millicores;
        r->used_memory_mb -= run->memory_mb;
        r->used_gpus -= run->gpus;
    }
    assert(r->runs != NULL);
    HASH_DEL(r->runs, run);
    free(run->spec);
    free(run);
}

void
rn_free(struct runner *r)
{
    struct rn_run *run;
    struct rn_run *tmp;

    HASH_ITER (hh, r->runs, run, tmp) {
        drop(r, 0, run);
    }
}

/* A run has come so far since it was last seen. */
static void
note_progress(
    struct runner *r, uint64_t now, struct rn_run *run, uint32_t percent)
{
    if (percent < run->percent) {
        return;
    }
    r->work_us += (uint64_t)run->est_ms * (percent - run->percent) * 10;
    r->work_ms += now - run->percent_ms;
    run->percent = percent;
    run->percent_ms = now;
}

/* Half of the value is new after so many ms. */
static uint32_t
follow(uint32_t value, uint64_t seen, uint64_t ms, uint64_t half_ms)
{
    return (uint32_t)((value * half_ms + seen * ms) / (half_ms + ms));
}

/* Speed is work done, as estimated, over the time it took. */
static void
learn_speed(struct runner *r)
{
    uint64_t runs = num_min(num_max(rn_active(r), 1), PACE_RUNS);
    uint64_t seen;

    if (r->work_ms == 0) {
        return;
    }
    seen = num_max(num_min(r->work_us / r->work_ms, SPEED_MAX), SPEED_MIN);
    r->pace_permille =
        follow(r->pace_permille, seen, r->work_ms, runs * PACE_MS);
    if (2 * r->pace_permille > r->speed_permille) {
        r->speed_permille =
            follow(r->speed_permille, seen, r->work_ms, USUAL_MS);
    }
    r->work_us = 0;
    r->work_ms = 0;
}

static void
finish(struct runner *r, uint64_t now, struct rn_run *run, dw_end how)
{
    uint32_t ran_ms =
        run->started_ms != 0 ? (uint32_t)num_sub_sat(now, run->started_ms) : 0;

    if (how == DW_END_DONE) {
        r->stats.done++;
        note_progress(r, now, run, 100);
    }
    else if (how == DW_END_FAILED) {
        r->stats.failed++;
    }
    if (how == DW_END_DONE || how == DW_END_FAILED) {
        r->fail_permille =
            rn_fail_share(r->fail_permille, how == DW_END_FAILED);
    }
    r->ops->ended(r->ctx, run, how, ran_ms);
    drop(r, now, run);
}

static struct rn_run *
find(struct runner *r, const struct rn_key *key)
{
    struct rn_run *run;

    HASH_FIND(hh, r->runs, key, sizeof(*key), run);
    return run;
}

/* --- the worker's clock and lease --- */

/* What the worker's clock shows at most. */
static uint64_t
worker_clock(const struct runner *r, uint64_t now)
{
    return r->clock_ms + (now - r->clock_at_ms);
}

static void
note_clock(struct runner *r, uint64_t now, uint64_t clock_ms)
{
    if (clock_ms != 0) {
        r->clock_ms = clock_ms;
        r->clock_at_ms = now;
    }
}

/* The time to renew until, in the worker's clock; from now on it may hold
 * our runs for that long. */
static uint64_t
renewal(struct runner *r, uint64_t now)
{
    uint64_t since = now - r->clock_at_ms;
    uint64_t slow = since * RN_DRIFT_PERCENT / 100;

    r->lapse_ms = num_max(r->lapse_ms, now + RN_LAPSE_MS + slow);
    return worker_clock(r, now) + RN_LEASE_MS;
}

/*
 * The lease holds for all runs together.  An entry counts the runs of an
 * ended session as over after RN_STOP_MS and one lease; if a stop gets lost,
 * renewing for the others would keep such a run alive beside its successor.
 * A worker that did not answer the last look may have started anew: a time
 * on its earlier clock could lie far ahead on the new one.
 */
static bool
may_renew(const struct runner *r, uint64_t now)
{
    const struct rn_run *run;

    for (run = r->runs; run != NULL; run = run->hh.next) {
        if (run->forced && now - run->forced_ms > RN_STOP_MS) {
            return false;
        }
    }
    return r->clock_ms != 0 && r->looks_failed == 0;
}

static void
send_look(struct runner *r, uint64_t until_ms, uint32_t wait_ms, bool quick)
{
    struct rn_terms terms = {until_ms, r->fence};
    struct rn_ask ask = {r->ack, wait_ms, quick};

    r->ops->look(r->ctx, &ask, &terms);
}

static void
send_stop(struct runner *r, const struct rn_key *key)
{
    struct rn_terms terms = {0, r->fence};

    r->ops->stop(r->ctx, key, &terms);
}

static void
look(struct runner *r, uint64_t now, uint32_t wait_ms)
{
    uint64_t until =
        may_renew(r, now) && rn_active(r) > 0 ? renewal(r, now) : 0;

    r->look_ms = now;
    r->asked_ms = now;
    r->ack_asked = r->ack;
    send_look(r, until, wait_ms, false);
}

/* What became of a start that was not answered is asked at once, beside the
 * look that waits for an end. */
static void
look_quick(struct runner *r)
{
    if (!r->quick_out) {
        r->quick_out = true;
        send_look(r, 0, 0, true);
    }
}

/*
 * A worker that cannot be reached refuses faster than any other works: taken
 * for free, it would draw all tasks.  It gets none until a look succeeds.
 */
static void
set_silent(struct runner *r, uint64_t now)
{
    r->silent = true;
    r->room_changed_ms = now;
}

/* --- starting --- */

static bool
fits(const struct runner *r, const struct rn_run *run)
{
    return r->used_millicores + run->millicores <= r->millicores &&
           r->used_memory_mb + run->memory_mb <= r->memory_mb &&
           r->used_gpus + run->gpus <= r->gpus;
}

/* Another run of the same task is here and not certainly over. */
static bool
twin_active(const struct runner *r, const struct rn_run *run)
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
start(struct runner *r, uint64_t now, struct rn_run *run)
{
    struct rn_terms terms = {0, r->fence};

    run->state = RN_STARTING;
    run->sent_ms = now;
    run->percent_ms = now;
    r->used_millicores += run->millicores;
    r->used_memory_mb += run->memory_mb;
    r->used_gpus += run->gpus;
    r->stats.started++;
    terms.until_ms = renewal(r, now);
    r->ops->start(r->ctx, run, &terms);
}

static bool
ends_in_time(const struct runner *r, uint64_t now, const struct rn_run *run)
{
    return r->leaves_ms == 0 || now + run->est_ms < r->leaves_ms;
}

static void
pump(struct runner *r, uint64_t now)
{
    bool may_start = rn_serving(r) && may_renew(r, now);
    struct rn_run *run;
    struct rn_run *tmp;

    HASH_ITER (hh, r->runs, run, tmp) {
        if (run->state != RN_QUEUED) {
            continue;
        }
        if (now >= run->give_up_ms || !rn_serving(r) ||
            !ends_in_time(r, now, run)) {
            r->stats.full++;
            finish(r, now, run, DW_END_FULL);
        }
        else if (may_start && fits(r, run) && !twin_active(r, run)) {
            start(r, now, run);
        }
    }
    /* What was started is looked after at once, not when idle. */
    if (r->look_ms == 0 && r->looks_failed == 0 && rn_active(r) > 0) {
        look(r, now, RN_LOOK_MS);
    }
}

/* How long after the last look the next is due. */
static uint32_t
look_pause(const struct runner *r)
{
    return rn_active(r) > 0 || !r->clean || !r->looked || r->silent ||
                   !rn_quiet(r)
               ? RN_RETRY_MS
               : RN_IDLE_MS;
}

/*
 * Entries that saw the same free cores send more than there is room for.
 * Those runs are better off elsewhere at once than waiting here for cores
 * that come free later.  One that only waits for its own predecessor stays.
 */
void
rn_order(struct runner *r, uint64_t now, uint64_t entry, uint64_t session,
    const dw_run_group *group, const dw_run *order)
{
    struct rn_key key = {group->job, order->run, order->index};
    struct rn_run *run;

    if (find(r, &key) != NULL) {
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
    run->come_ms = now;
    run->sent_ms = now;
    run->give_up_ms = now + order->wait_ms;
    HASH_ADD(hh, r->runs, key, sizeof(run->key), run);
    r->room_changed_ms = now;
    pump(r, now);
    run = find(r, &key);
    if (run != NULL && run->state == RN_QUEUED && !twin_active(r, run)) {
        r->stats.full++;
        finish(r, now, run, DW_END_FULL);
    }
}

/* --- stopping --- */

static void
stop_run(struct runner *r, uint64_t now, struct rn_run *run)
{
    if (run->state != RN_STOPPING) {
        run->state = RN_STOPPING;
        run->settle_ms = UINT64_MAX;
    }
    run->sent_ms = now;
    send_stop(r, &run->key);
}

void
rn_stop(struct runner *r, uint64_t now, const dw_run_ref *ref)
{
    struct rn_key key = {ref->job, ref->run, ref->index};
    struct rn_run *run = find(r, &key);

    if (run == NULL || run->state == RN_STOPPING) {
        return;
    }
    if (run->state == RN_QUEUED) {
        finish(r, now, run, DW_END_STOPPED);
        return;
    }
    stop_run(r, now, run);
}

void
rn_session_over(struct runner *r, uint64_t now, uint64_t session)
{
    struct rn_run *run;
    struct rn_run *tmp;

    HASH_ITER (hh, r->runs, run, tmp) {
        if (run->session != session) {
            continue;
        }
        if (run->state == RN_QUEUED) {
            drop(r, now, run);
            continue;
        }
        if (!run->forced) {
            run->forced = true;
            run->forced_ms = now;
            stop_run(r, now, run);
        }
    }
    pump(r, now);
}

/* --- what the worker said --- */

/*
 * An order may be carried out seconds late, by a worker that started anew
 * meanwhile: its lease then lies far ahead on the new clock, and the task has
 * long run elsewhere.  A fence that rises with each life makes the worker
 * refuse it.
 */
static void
set_born(struct runner *r, uint64_t born_ms)
{
    r->born_ms = born_ms;
    r->fence = num_max(r->fence + 1, born_ms);
}

/*
 * The worker started anew.  Which runs were of the life before is not known:
 * an order on its way may have reached the new one.  The look that showed it,
 * or the next, tells for each whether it is there.
 */
static void
reborn(struct runner *r, uint64_t now, uint64_t born_ms)
{
    r->fail_permille = 0;
    r->stats.reborn++;
    r->clock_ms = 0;
    r->looked = false;
    set_born(r, born_ms);
    r->born_at_ms = now;
    r->have_room = false;
    r->draining = false;
    r->leaves_ms = 0;
    r->ack = 0;
    r->ack_told = 0;
    r->ack_asked = 0;
    r->room_changed_ms = now;
}

void
rn_room(struct runner *r, uint64_t now, uint32_t millicores,
    uint32_t memory_mb, uint32_t gpus, uint64_t born_ms)
{
    if (r->born_ms == 0) {
        set_born(r, born_ms);
    }
    if (born_ms > r->born_ms) {
        reborn(r, now, born_ms);
    }
    if (!r->have_room) {
        r->millicores = 0;
        r->memory_mb = 0;
        r->gpus = 0;
    }
    if (born_ms == r->born_ms) {
        /* What is free is never more than the whole. */
        r->millicores = (uint32_t)num_max(r->millicores, millicores);
        r->memory_mb = (uint32_t)num_max(r->memory_mb, memory_mb);
        r->gpus = (uint32_t)num_max(r->gpus, gpus);
        r->have_room = true;
    }
    pump(r, now);
}

void
rn_draining(struct runner *r, uint64_t now, bool draining, bool leaves,
    uint64_t left_ms)
{
    if (r->draining != draining) {
        r->room_changed_ms = now;
    }
    r->draining = draining;
    r->leaves_ms = draining && leaves ? now + left_ms : 0;
    pump(r, now);
}

void
rn_leave(struct runner *r, uint64_t now)
{
    r->leaving = true;
    pump(r, now);
}

void
rn_started(struct runner *r, uint64_t now, const struct rn_key *key,
    enum rn_start_result result, uint64_t clock_ms)
{
    struct rn_run *run = find(r, key);

    note_clock(r, now, clock_ms);
    if (run == NULL || run->state == RN_RUNNING || run->state == RN_STOPPING) {
        return;
    }
    if (result == RN_START_FENCED) {
        r->fence += FENCE_LEAP;
        finish(r, now, run, DW_END_NOT_RUN);
        pump(r, now);
    }
    else if (result == RN_START_OK) {
        run->state = RN_RUNNING;
        run->started_ms = run->sent_ms;
        run->settle_ms = now;
    }
    else if (result == RN_START_REFUSED || result == RN_START_UNREACHED) {
        if (result == RN_START_UNREACHED) {
            set_silent(r, now);
        }
        finish(r, now, run, DW_END_NOT_RUN);
        pump(r, now);
    }
    else {
        r->stats.lost_starts++;
        run->state = RN_UNSURE;
        run->settle_ms = now;
        look_quick(r);
    }
}

void
rn_stopped(
    struct runner *r, uint64_t now, const struct rn_key *key, bool answered)
{
    struct rn_run *run = find(r, key);

    if (run == NULL || run->settle_ms != UINT64_MAX) {
        return;
    }
    if (!answered) {
        return; /* rn_tick() asks again */
    }
    /* Later arrivals of the start are refused from now on; whether it runs
     * or has ended, the next look tells. */
    run->settle_ms = now;
    if (!run->seen) {
        look_quick(r);
    }
}

static void
take_ends(struct runner *r, uint64_t now, const struct rn_look *l)
{
    for (size_t i = 0; i < l->end_count; i++) {
        const struct rn_end *e = &l->ends[i];
        struct rn_run *run = find(r, &e->key);

        if (e->number <= r->ack) {
            continue;
        }
        r->ack = e->number;
        if (run != NULL && run->state != RN_QUEUED) {
            finish(r, now, run, e->how);
        }
    }
}

static bool
ended_lately(const struct runner *r, const struct rn_key *key)
{
    for (size_t i = 0; i < RN_RECENT; i++) {
        if (memcmp(&r->recent[i], key, sizeof(*key)) == 0) {
            return true;
        }
    }
    return false;
}

static void
take_running(struct runner *r, uint64_t now, const struct rn_look *l)
{
    r->orphans = 0;
    for (size_t i = 0; i < l->running_count; i++) {
        const struct rn_shown *s = &l->running[i];
        struct rn_run *run = find(r, &s->key);

        if (run == NULL && ended_lately(r, &s->key)) {
            continue;
        }
        if (run == NULL) {
            /* Of an agent that was here before, or carried out late: its
             * size is not known, so nothing starts beside it. */
            r->orphans++;
            r->stats.orphans++;
            send_stop(r, &s->key);
            continue;
        }
        run->seen = true;
        note_progress(r, now, run, s->percent);
        if (run->state == RN_UNSURE || run->state == RN_STARTING) {
            run->state = RN_RUNNING;
            run->started_ms = run->sent_ms;
            run->settle_ms = now;
        }
    }
}

static bool
shown(const struct rn_look *l, const struct rn_key *key)
{
    for (size_t i = 0; i < l->running_count; i++) {
        if (memcmp(&l->running[i].key, key, sizeof(*key)) == 0) {
            return true;
        }
    }
    return false;
}

/* Runs that a look neither showed running nor ended. */
static void
settle_absent(struct runner *r, uint64_t now, const struct rn_look *l)
{
    struct rn_run *run;
    struct rn_run *tmp;

    HASH_ITER (hh, r->runs, run, tmp) {
        if (run->state == RN_QUEUED || run->state == RN_STARTING ||
            l->asked_ms <= run->settle_ms || shown(l, &run->key)) {
            continue;
        }
        if (run->state == RN_UNSURE) {
            /* It may still arrive: a stop makes the worker refuse it. */
            stop_run(r, now, run);
        }
        else {
            finish(r, now, run,
                run->state == RN_STOPPING && !run->seen ? DW_END_NOT_RUN
                                                        : DW_END_LOST);
        }
    }
}

/*
 * The first look that carried this life's fence: later arrivals of orders to
 * the life before are refused.  One that came earlier may have renewed the
 * lease with a time on the earlier clock, cut to the longest lease only.
 * Entries count on RN_LAPSE_MS, should this agent die: nothing starts before
 * that lease has run out.
 */
static void
first_look(struct runner *r, uint64_t now)
{
    r->looked = true;
    if (r->stats.reborn > 0) {
        r->wild_ms = now + RN_LONGEST_MS;
    }
}

static void
take_look(struct runner *r, uint64_t now, const struct rn_look *l)
{
    if (r->born_ms != 0 && l->born_ms != r->born_ms) {
        reborn(r, now, l->born_ms);
    }
    note_clock(r, now, l->clock_ms);
    if (r->born_ms == 0) {
        set_born(r, l->born_ms);
    }
    r->silent = false;
    if (!r->looked && l->asked_ms > r->born_at_ms) {
        first_look(r, now);
    }
    take_ends(r, now, l);
    take_running(r, now, l);
    settle_absent(r, now, l);
    learn_speed(r);
    if (r->orphans == 0 && now - r->begun_ms > RN_LAPSE_MS) {
        r->clean = true;
    }
}

static void
look_failed(struct runner *r, uint64_t now, const struct rn_look *l)
{
    if (l->unreached || r->looks_failed >= RN_SILENT_LOOKS) {
        set_silent(r, now);
    }
    else {
        look(r, now, 0);
    }
}

void
rn_looked(struct runner *r, uint64_t now, const struct rn_look *l)
{
    /* Of a life before the one that is known since. */
    bool old = r->born_ms != 0 && l->born_ms != r->born_ms &&
               l->asked_ms <= r->born_at_ms;

    if (l->quick) {
        r->quick_out = false;
    }
    else {
        r->look_ms = 0;
        r->looks_failed += !l->ok;
        r->ack_told = l->ok && !old ? r->ack_asked : r->ack_told;
    }
    if (l->ok && !old) {
        take_look(r, now, l);
        r->looks_failed = 0;
    }
    else if (!l->ok && !l->quick) {
        look_failed(r, now, l);
    }
    pump(r, now);
}

/* The worker could not be reached for a whole lease: all has ended there. */
static void
lapse(struct runner *r, uint64_t now)
{
    struct rn_run *run;
    struct rn_run *tmp;

    if (now <= r->lapse_ms) {
        return;
    }
    HASH_ITER (hh, r->runs, run, tmp) {
        if (run->state != RN_QUEUED) {
            r->stats.lapsed++;
            finish(r, now, run, DW_END_LOST);
        }
    }
}

void
rn_tick(struct runner *r, uint64_t now)
{
    struct rn_run *run;
    struct rn_run *tmp;

    if (r->wild_ms != 0 && now > r->wild_ms) {
        r->wild_ms = 0;
        r->room_changed_ms = now;
    }
    lapse(r, now);
    HASH_ITER (hh, r->runs, run, tmp) {
        if (run->state == RN_STOPPING && run->settle_ms == UINT64_MAX &&
            now - run->sent_ms > RN_ANSWER_MS + 5) {
            stop_run(r, now, run);
        }
        else if (run->state == RN_UNSURE) {
            look_quick(r);
        }
    }
    if (r->look_ms == 0 && now - r->asked_ms >= look_pause(r)) {
        look(r, now, rn_active(r) > 0 ? RN_LOOK_MS : 0);
    }
    pump(r, now);
}

/* --- queries --- */

bool
rn_serving(const struct runner *r)
{
    return r->have_room && r->looked && r->wild_ms == 0 && !r->silent &&
           r->orphans == 0 && !r->draining && !r->leaving;
}

bool
rn_quiet(const struct runner *r)
{
    return r->ack_told == r->ack;
}

size_t
rn_active(const struct runner *r)
{
    const struct rn_run *run;
    size_t n = 0;

    for (run = r->runs; run != NULL; run = run->hh.next) {
        n += run->state != RN_QUEUED;
    }
    return n;
}

size_t
rn_leftover(const struct runner *r, uint64_t entry, uint64_t session)
{
    const struct rn_run *run;
    size_t n = 0;

    for (run = r->runs; run != NULL; run = run->hh.next) {
        n += run->entry == entry && run->session != session;
    }
    return n;
}

void
rn_tell_room(const struct runner *r, uint64_t now, dw_room *room)
{
    const struct rn_run *run;

    memset(room, 0, sizeof(*room));
    room->serving = rn_serving(r);
    room->draining = r->draining;
    room->left_ms =
        r->leaves_ms != 0 ? num_remaining_ms(r->leaves_ms, now) : UINT32_MAX;
    room->millicores = r->millicores;
    room->memory_mb = r->memory_mb;
    room->gpus = r->gpus;
    room->speed_permille = r->speed_permille;
    room->pace_permille = r->pace_permille;
    room->fail_permille = r->fail_permille;
    room->free_millicores = (int)(r->millicores - r->used_millicores);
    room->free_memory_mb = (int)(r->memory_mb - r->used_memory_mb);
    room->free_gpus = (int)(r->gpus - r->used_gpus);
    for (run = r->runs; run != NULL; run = run->hh.next) {
        if (run->state == RN_QUEUED) {
            room->waiting++;
            room->free_millicores -= (int)run->millicores;
            room->free_memory_mb -= (int)run->memory_mb;
            room->free_gpus -= (int)run->gpus;
        }
    }
}
