/* Finds slow workers and the runs to move off them, by the distribution of run
 * times. */
#include <math.h>

#include "coord-int.h"
#include "num.h"

/* ms from sending a run until it has certainly started or been returned: its
 * wait for cores at the agent and the latencies. */
#define START_MS 40U
/* ms to stop a run and start it elsewhere. */
#define MOVE_COST_MS 40U
/* Remaining time where it is, in percent of the time elsewhere. */
#define MOVE_MIN_GAIN_PERCENT 130
/* A run is young up to this part of its estimate. */
#define RUNNING_MIN_RATIO 0.5
/* Ratio of a first run from which the second one's shows which was the cause:
 * below, a usual second run is as long, too. */
#define OUTCOME_MIN_RATIO 1.5
/* Logarithm of the odds that a worker is sound, before any evidence. */
#define SOUND_LOG_ODDS 5.0
/* Least speed of a slow worker that forecasts use, relative to the median:
 * one that makes no progress may resume. */
#define SLOW_SPEED_MIN 0.05
/* Least part of the usual pace by which reports are corrected: if most workers
 * are slower, they are slow. */
#define USUAL_PACE_MIN 0.5

static bool
in_effect(const struct coord *c)
{
    return c->settings.moves == SC_MOVES_DISTRIBUTION;
}

/* Usual speed of the worker; 1: the median. */
static double
speed_of(const struct coord *c, const struct fl_agent *a)
{
    return (double)num_max(a->status.speed_permille, 1) /
           (double)num_max(c->fleet.median_speed_permille, 1);
}

/* Estimated run time of the job's tasks; more if one has already taken
 * longer, as tasks of a job are similar. */
static double
estimate_of(const struct co_job *j, const struct co_task *t)
{
    uint64_t seen_ms = j->ran_slow ? 0 : j->longest_run_ms;

    return (double)num_max(num_max(t->spec.est_ms, seen_ms), 1);
}

static bool
runs_on(const struct co_task *t, const struct fl_agent *a)
{
    return t->state == CO_DISPATCHED && t->agent == a->id &&
           t->session == a->sess.number;
}

/* Time of a run in progress, relative to its estimate. */
static double
running_ratio(const struct coord *c, uint64_t now, const struct fl_agent *a,
    const struct co_job *j, const struct co_task *t)
{
    double elapsed_ms = (double)num_sub_sat(now, t->sent_ms + START_MS);

    return elapsed_ms * speed_of(c, a) / estimate_of(j, t);
}

static double
running_evidence(const struct coord *c, uint64_t now, const struct fl_agent *a,
    const struct co_job *j, const struct co_task *t)
{
    double ratio = running_ratio(c, now, a, j, t);

    /* All but independent of the distribution for a young run. */
    return ratio < RUNNING_MIN_RATIO
               ? -log(TL_SLOW_FACTOR)
               : tl_evidence_running(tl_dist_of(&c->tail, j->ratios), ratio);
}

/* Pace of the worker, relative to its usual speed, or to the median of the
 * fleet if that is lower: a fast worker that has become as slow as most others
 * is no reason to move runs. */
static double
relative_pace(const struct coord *c, const struct fl_agent *a)
{
    uint64_t usual =
        num_min(a->status.speed_permille, c->fleet.median_speed_permille);

    return (double)a->status.pace_permille / (double)num_max(usual, 1);
}

/* Evidence of the agent's report, without some of the runs there. */
static double
report_evidence(
    const struct coord *c, const struct fl_agent *a, uint32_t excluded)
{
    const struct tl_worker *w = &a->tail;
    struct tl_report r = {fmin(relative_pace(c, a) / c->tail.usual_pace, 1),
        tl_independent_runs(w, w->reported_runs),
        tl_independent_runs(w, excluded)};

    return tl_evidence_report(&c->tail.all, &r);
}

/* --- learning --- */

void
co_tail_admit(struct coord *c, struct co_job *j, const char *route)
{
    if (in_effect(c) && j->task_count > 0) {
        j->ratios = tl_route_of(&c->tail, route);
        tl_learn_size(&c->tail, j->tasks[0].spec.millicores);
    }
}

/* The second run of a moved task has ended. */
static void
move_ended(struct coord *c, uint64_t now, struct co_task *t, double usual_ms)
{
    double ratio = usual_ms / t->moved_est_ms;
    bool informative = t->moved_ratio >= OUTCOME_MIN_RATIO;
    bool as_long = informative && ratio >= t->moved_ratio;

    c->stats.moves_as_long += as_long;
    c->stats.moves_of_use += !as_long && now - t->moved_ms < t->moved_rest_ms;
    if (informative) {
        tl_move_ended(&c->tail, now, as_long);
    }
    t->moved_ms = 0;
}

void
co_tail_run_done(struct coord *c, uint64_t now, struct fl_agent *a,
    struct co_job *j, struct co_task *t, uint32_t ran_ms)
{
    double usual_ms = ran_ms * speed_of(c, a);
    double ratio = usual_ms / (double)num_max(t->spec.est_ms, 1);

    if (!in_effect(c)) {
        return;
    }
    if (t->moved_ms != 0 && !t->moving) {
        move_ended(c, now, t, usual_ms);
    }
    if (!a->tail.suspect) {
        tl_learn(&c->tail, j->ratios, ratio);
    }
    tl_run_ended(&a->tail, tl_dist_of(&c->tail, j->ratios), now, j->id,
        usual_ms / estimate_of(j, t));
}

/* --- slow workers --- */

static void
add_running(struct coord *c, uint64_t now, const struct co_job *j)
{
    for (uint32_t i = 0; i < j->task_count; i++) {
        const struct co_task *t = &j->tasks[i];
        struct fl_agent *a =
            t->state == CO_DISPATCHED ? fl_find(&c->fleet, t->agent) : NULL;

        if (a != NULL && runs_on(t, a)) {
            tl_add_running(&a->tail, j->id, running_evidence(c, now, a, j, t));
        }
    }
}

static void
update_usual_pace(struct coord *c, uint64_t now)
{
    const struct fl_agent *a;
    double sum = 0;
    uint32_t n = 0;

    for (a = c->fleet.agents; a != NULL; a = a->hh.next) {
        if (fl_is_usable(a, now)) {
            sum += fmin(relative_pace(c, a), 1);
            n++;
        }
    }
    c->tail.usual_pace = n > 0 ? fmax(sum / n, USUAL_PACE_MIN) : 1;
}

/* Runs on a worker are counted by its used cores, as those of other entries
 * are not known.  Where tasks differ in size, the largest ones give too few:
 * this entry's own runs are a lower bound. */
static void
judge_worker(struct coord *c, uint64_t now, struct fl_agent *a)
{
    int64_t used = (int64_t)a->status.millicores - a->status.free_millicores;

    tl_count_reported(&a->tail, now,
        fmax((double)used / fmax(c->tail.task_millicores, 1),
            a->tail.running_count));
    a->tail.report = report_evidence(c, a, 0);
    /* Without runs, nothing can refute that it is slow; see should_wait() in
     * fleet.c for how it is probed. */
    if (a->tail.reported_runs >= 1) {
        tl_judge(&a->tail, now, tl_evidence(&a->tail, now));
    }
}

void
co_tail_judge(struct coord *c, uint64_t now)
{
    struct fl_agent *a;
    const struct co_job *j;

    c->fleet.slow_by_evidence = in_effect(c);
    if (!in_effect(c)) {
        return;
    }
    for (a = c->fleet.agents; a != NULL; a = a->hh.next) {
        tl_begin_running(&a->tail);
    }
    update_usual_pace(c, now);
    for (j = c->jobs; j != NULL; j = j->hh.next) {
        add_running(c, now, j);
    }
    for (a = c->fleet.agents; a != NULL; a = a->hh.next) {
        judge_worker(c, now, a);
    }
}

/* --- moves --- */

/* Evidence against the worker without the job's own runs there. */
static double
evidence_without(struct coord *c, uint64_t now, const struct co_job *j,
    const struct fl_agent *a)
{
    struct tl_worker own = {0};
    uint32_t n = 0;

    for (uint32_t i = 0; i < j->task_count; i++) {
        if (runs_on(&j->tasks[i], a)) {
            n++;
            tl_add_running(
                &own, j->id, running_evidence(c, now, a, j, &j->tasks[i]));
        }
    }
    return tl_evidence_past(&a->tail, now) +
           tl_evidence_of_running(a->tail.running - own.running) +
           report_evidence(c, a, n);
}

static struct tl_forecast
forecast(const struct coord *c, uint64_t now, const struct co_job *j,
    const struct co_task *t, const struct fl_agent *a, double evidence)
{
    double est_ms = estimate_of(j, t);
    double speed = speed_of(c, a);
    double pace = (double)a->status.pace_permille /
                  (double)num_max(c->fleet.median_speed_permille, 1);
    uint64_t since_ms = num_max(a->tail.suspect_ms, t->sent_ms);
    struct tl_run run = {(double)(now - t->sent_ms) / est_ms,
        (double)num_sub_sat(now, since_ms) / est_ms, speed,
        fmin(fmax(pace, SLOW_SPEED_MIN), speed / TL_LONG_RATIO),
        MOVE_COST_MS / est_ms};
    double slow = 1 / (1 + exp(SOUND_LOG_ODDS - evidence));
    struct tl_forecast f = tl_expect(tl_dist_of(&c->tail, j->ratios), &run,
        slow * tl_move_trust(&c->tail, now));

    f.remaining *= est_ms;
    f.elsewhere *= est_ms;
    return f;
}

/* How well the job's callers are served if it ends in in_ms. */
static int
service_of(const struct co_job *j, uint64_t now, double in_ms)
{
    double end_ms = (double)now + in_ms;

    return (end_ms <= (double)j->objective_ms) +
           (end_ms <= (double)j->useful_until_ms) +
           (end_ms <= (double)j->deadline_ms);
}

/* Free cores are wanted by waiting jobs that can still end in time. */
static bool
cores_wanted(const struct coord *c, uint64_t now, const struct co_job *j,
    const struct co_task *t)
{
    struct fl_totals sum =
        fl_total(&c->fleet, now, j->load->service, t->spec.millicores);
    int64_t wanted = t->spec.millicores;
    const struct co_job *other;

    for (other = c->queue; other != NULL; other = other->next) {
        if (other->load != j->load ||
            now + other->longest_task_ms > other->objective_ms) {
            continue;
        }
        for (uint32_t i = 0; i < other->task_count; i++) {
            if (other->tasks[i].state == CO_WAITING) {
                wanted += other->tasks[i].spec.millicores;
            }
        }
    }
    return wanted > (int64_t)t->spec.millicores && wanted > sum.free;
}

bool
co_tail_should_move(struct coord *c, uint64_t now, const struct co_job *j,
    struct co_task *t, const struct fl_agent *a)
{
    double evidence = tl_evidence(&a->tail, now);
    struct tl_forecast f;

    if (evidence < TL_SUSPECT) {
        return false;
    }
    evidence = evidence_without(c, now, j, a);
    if (evidence < TL_SLOW) {
        return false;
    }
    f = forecast(c, now, j, t, a, evidence);
    if (f.remaining * 100 <= f.elsewhere * MOVE_MIN_GAIN_PERCENT ||
        service_of(j, now, f.elsewhere) <= service_of(j, now, f.remaining)) {
        return false;
    }
    if (cores_wanted(c, now, j, t)) {
        c->stats.moves_wanted++;
        return false;
    }
    t->moved_rest_ms = (uint32_t)fmin(f.remaining, UINT32_MAX);
    return true;
}

bool
co_tail_take_move(struct coord *c, uint64_t now, const struct co_job *j,
    struct co_task *t, const struct fl_agent *a)
{
    if (!in_effect(c)) {
        return true;
    }
    if (!tl_take_move(&c->tail, now)) {
        c->stats.moves_budget++;
        return false;
    }
    if (a->tail.report >= TL_SLOW) {
        c->stats.moved_report++;
    }
    else {
        c->stats.moved_runs++;
    }
    c->stats.moved_run_ms += now - t->sent_ms;
    t->moved_ms = now;
    t->moved_est_ms = estimate_of(j, t);
    t->moved_ratio = running_ratio(c, now, a, j, t);
    return true;
}
