/* Moves runs from slow workers to others. */
#include "coord-int.h"
#include "num.h"

/*
 * A run on a worker that has become slow or stalled would end far too late.
 * It is stopped and restarted on another worker if that one has free capacity
 * and is expected to finish earlier by more than the error of estimates.
 */
/* Remaining time on the slow worker, in percent of the time elsewhere. */
#define MOVE_MIN_GAIN_PERCENT 130U
/* ms to stop a run and start it elsewhere. */
#define MOVE_COST_MS 40U
/* An entry moves runs into 1 / MOVE_CAPACITY_DIVISOR of the free capacity per
 * tick, as other entries see the same free capacity. */
#define MOVE_CAPACITY_DIVISOR 4

void
co_set_move_budget(struct coord *c, const struct fl_totals *sum)
{
    c->move_budget = sum->free / MOVE_CAPACITY_DIVISOR;
}

static bool
faster_elsewhere(const struct co_task *t, const struct fl_agent *a,
    uint32_t speed_permille, uint64_t now)
{
    uint64_t slow_ms =
        (uint64_t)t->spec.est_ms * 1000 / num_max(a->status.pace_permille, 1);
    uint64_t remaining_ms = num_sub_sat(slow_ms, now - t->sent_ms);
    uint64_t elsewhere_ms =
        (uint64_t)t->spec.est_ms * 1000 / num_max(speed_permille, 1);

    return remaining_ms * 100 >
           (elsewhere_ms + MOVE_COST_MS) * MOVE_MIN_GAIN_PERCENT;
}

/* By the settings' rule, the run would end sooner on another worker. */
static bool
should_move(struct coord *c, uint64_t now, struct co_job *j, struct co_task *t,
    struct fl_agent *a)
{
    if (c->settings.moves == SC_MOVES_DISTRIBUTION) {
        return co_tail_should_move(c, now, j, t, a);
    }
    return fl_is_slow(&c->fleet, a) &&
           faster_elsewhere(t, a, c->fleet.median_speed_permille, now);
}

void
co_move_runs(struct coord *c, uint64_t now, struct co_job *j)
{
    for (uint32_t i = 0; i < j->task_count; i++) {
        struct co_task *t = &j->tasks[i];
        struct fl_agent *a = fl_find(&c->fleet, t->agent);
        struct fl_requirements req = co_task_requirements(j, t);

        req.fast_only = true;
        req.avoid_agent = t->agent;
        if (t->state != CO_DISPATCHED || t->moving || a == NULL ||
            a->sess.number != t->session || !should_move(c, now, j, t, a) ||
            c->move_budget < (int64_t)req.millicores ||
            fl_pick(&c->fleet, now, &req) == NULL ||
            !co_tail_take_move(c, now, j, t, a)) {
            continue;
        }
        t->moving = true;
        t->avoid_agent = t->agent;
        c->move_budget -= req.millicores;
        c->stats.moved++;
        c->ops->log_run(c->ctx, j, i, "run_moved", NULL);
        co_add_stop(a, j->id, i, t->run);
    }
}
