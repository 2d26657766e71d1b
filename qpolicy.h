/*
 * qpolicy - queue policy: order, reserved capacity, load shedding, demand
 *
 * The decisions of an entry while there is more work than cores:
 *
 * - the order in which jobs are placed: qp_class_of();
 * - which jobs leave free cores to more urgent ones that are likely to arrive:
 *   qp_must_hold_back();
 * - which jobs cannot be served in time and are refused at once: qp_shed();
 * - what demand is reported to agents: qp_demand(), qp_must_report_demand().
 *
 * The worker on which a task runs is chosen in fleet.
 */
#ifndef QPOLICY_H
#define QPOLICY_H

#include "balance.h"
#include "coord.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Placement classes, in the order in which their jobs are placed; within a
 * class, jobs are placed by objective. */
enum qp_class {
    QP_STARTED, /* a run of it has been ordered already */
    QP_ON_TIME, /* it can still meet its objective */
    QP_LATE,    /* it cannot, but its answer is still of use */
    QP_STALE, /* its answer is likely of no use, but its caller still waits */
    QP_COUNT
};

enum qp_class qp_class_of(const struct co_job *j, uint64_t now);

/* The fleet's capacity for tasks of one size of one service. */
struct qp_capacity {
    const struct co_service_load *load; /* NULL: not computed */
    uint32_t task_millicores;
    struct fl_totals sum;
};

/* Computes the capacity for the job's tasks, unless it is known. */
void qp_update_capacity(struct qp_capacity *capacity, const struct coord *c,
    uint64_t now, const struct co_job *j);
/* The job waits until more cores are free, as more urgent jobs are likely to
 * arrive. */
bool qp_must_hold_back(
    const struct qp_capacity *capacity, uint64_t now, const struct co_job *j);

/* Records the slack and work of a job with estimate est, to predict what will
 * arrive. */
void qp_record_job(
    uint64_t now, struct co_job *j, const struct es_estimate *est);
/* Records what it will take of the cores, unless it is refused on arrival. */
void qp_record_inflow(
    uint64_t now, struct co_job *j, const struct es_estimate *est);

/* Ends a job that has not started; its caller is told that it has not run. */
typedef void (*qp_refuse_fn)(
    struct coord *c, uint64_t now, struct co_job *j, const char *reason);
/* Calls refuse for each job that cannot be served in time. */
void qp_shed(struct coord *c, uint64_t now, qp_refuse_fn refuse);

/* Millicores that jobs of the service can expect, and free ones of these. */
double qp_expected_cores(const struct coord *c, uint64_t now,
    const struct co_service_load *l, double *free_millicores);
/* Calls fn for each unstarted job that is still of use, with the wait of a job
 * like it that arrives now; for a service without workers, once with
 * BL_ANY_PRIORITY and BL_NO_WORKERS_MS. */
typedef void (*qp_wait_fn)(
    void *ctx, const char *service, uint32_t priority, double wait_ms);
void qp_predict_waits(
    const struct coord *c, uint64_t now, qp_wait_fn fn, void *ctx);
/* The same for a service without workers of which no job waits.  Returns true
 * if it has no workers. */
bool qp_report_no_workers(const struct coord *c, uint64_t now,
    const char *service, qp_wait_fn fn, void *ctx);

/* ms after which a caller that is refused now should retry. */
uint32_t qp_retry_after_ms(
    struct coord *c, uint64_t now, const struct co_service_load *load);

/* The unplaced work of one service, without jobs that are held back. */
dw_want qp_demand(struct coord *c, uint64_t now, const char *service);
/* The demand must be reported to the agent now. */
bool qp_must_report_demand(
    const struct fl_agent *a, uint64_t now, const dw_want *demand);

#ifdef __cplusplus
}
#endif

#endif
