/*
 * Orders waiting jobs for load shedding, by the shares of their routes while
 * their service lacks cores.
 *
 * Jobs are placed by objective all the same: shares decide which jobs are
 * refused, and so which work is served.  Placing by shares, too, makes jobs
 * late that could all have been in time.
 */
#include <stdlib.h>
#include <utlist.h>

#include "coord-int.h"
#include "qpolicy.h"

static const enum sh_class class_of[] = {
    [QP_STARTED] = SH_FIRST,
    [QP_ON_TIME] = SH_ON_TIME,
    [QP_LATE] = SH_LATE,
    [QP_STALE] = SH_LAST,
};

static double
waiting_work(const struct co_job *j)
{
    double work = 0;

    for (uint32_t i = 0; i < j->task_count; i++) {
        if (j->tasks[i].state == CO_WAITING) {
            work += (double)co_task_work(&j->tasks[i]);
        }
    }
    return work;
}

void
co_share_arrived(
    struct coord *c, uint64_t now, struct co_job *j, const struct co_submit *s)
{
    if (c->settings.shares != SC_SHARES_ROUTES) {
        return;
    }
    if (j->load->shares == NULL) {
        j->load->shares = dw_zero(1, sizeof(*j->load->shares));
    }
    j->share = sh_job_arrived(j->load->shares, now, s->route_name, s->priority,
        &s->route, waiting_work(j), &j->large);
}

void
co_share_ended(struct co_job *j, enum co_outcome outcome)
{
    if (j->share != NULL) {
        sh_job_ended(j->load->shares, j->share, j->large,
            outcome == CO_COMPLETED || outcome == CO_FAILED);
    }
}

/* Counts a job the first time that a floor decides its place. */
static void
set_turn(struct sh_shares *s, struct co_job *j, enum sh_turn turn)
{
    if (j->turn == SH_BY_SHARE) {
        s->stats.floor_jobs += turn == SH_BY_FLOOR;
        s->stats.large_jobs += turn == SH_BY_LARGE_FLOOR;
        j->turn = turn;
    }
}

void
co_update_sharing(struct coord *c, uint64_t now)
{
    const struct co_service_load *l;

    for (l = c->loads; l != NULL; l = l->hh.next) {
        if (l->shares != NULL) {
            sh_update(l->shares, now, l->queued_work > 0);
        }
    }
}

/* --- order --- */

static void
reserve_order(struct coord *c, size_t count)
{
    if (count > c->order_size) {
        c->order_size = 2 * count;
        c->order = dw_grow(c->order, c->order_size * sizeof(*c->order));
    }
}

/* Lists the jobs by class and objective. */
static size_t
list_jobs(struct coord *c, uint64_t now, const struct co_service_load *l)
{
    size_t n = 0;
    struct co_job *j;

    DL_COUNT(c->queue, j, n);
    reserve_order(c, n);
    n = 0;
    for (int cls = 0; cls < QP_COUNT; cls++) {
        DL_FOREACH (c->queue, j) {
            if (j->load == l && qp_class_of(j, now) == (enum qp_class)cls) {
                c->order[n++] = (struct sh_item){
                    j, j->share, 0, class_of[cls], j->large, SH_BY_SHARE};
            }
        }
    }
    return n;
}

const struct sh_item *
co_order(struct coord *c, uint64_t now, const struct co_service_load *l,
    size_t *count)
{
    *count = list_jobs(c, now, l);
    if (l->shares == NULL || !sh_applies(l->shares, now)) {
        return c->order;
    }
    for (size_t i = 0; i < *count; i++) {
        c->order[i].work = waiting_work(c->order[i].job);
    }
    sh_order(l->shares, c->order, *count);
    for (size_t i = 0; i < *count; i++) {
        set_turn(l->shares, c->order[i].job, c->order[i].turn);
    }
    return c->order;
}

/* --- configuration and statistics --- */

void
co_remove_routes(struct coord *c, sh_keep_fn keep, void *ctx)
{
    const struct co_service_load *l;

    for (l = c->loads; l != NULL; l = l->hh.next) {
        if (l->shares != NULL) {
            sh_remove_routes(l->shares, keep, ctx);
        }
    }
}

struct sh_stats
co_share_stats(const struct coord *c)
{
    struct sh_stats sum = {0, 0, 0};
    const struct co_service_load *l;

    for (l = c->loads; l != NULL; l = l->hh.next) {
        if (l->shares != NULL) {
            sum.switches += l->shares->stats.switches;
            sum.floor_jobs += l->shares->stats.floor_jobs;
            sum.large_jobs += l->shares->stats.large_jobs;
        }
    }
    return sum;
}
