/*
 * turn - which waiting job is served next, which leaves room, which is refused
 *
 * What an entry decides while there is more work than cores, apart from
 * sending and answering:
 *
 * - the order of jobs: qp_class_of();
 * - which of them leaves free cores to others that are likely to come:
 *   qp_must_hold_back();
 * - which will not get its turn in time and is refused at once: qp_shed();
 * - what is told to agents of what waits: qp_demand(),
 * qp_must_report_demand().
 *
 * Where a job runs is fleet's to say.
 */
#ifndef QPOLICY_H
#define QPOLICY_H

#include "coord.h"

#ifdef __cplusplus
extern "C" {
#endif

/* In what order jobs are placed while not all can be. */
enum qp_class {
    QP_STARTED, /* parts of it hold cores already */
    QP_ON_TIME,
    QP_LATE,  /* its objective cannot be met any more */
    QP_STALE, /* by the estimate its answer is of no use; its caller waits */
    QP_COUNT
};

enum qp_class qp_class_of(const struct co_job *j, uint64_t now);

/* The fleet's room, for tasks of one size of one service. */
struct qp_capacity {
    const struct co_service_load *load; /* NULL: not known */
    uint32_t task_millicores;
    struct fl_sum sum;
};

/* Make it the room for this job's tasks. */
void qp_update_capacity(struct qp_capacity *room, const struct coord *c,
    uint64_t now, const struct co_job *j);
/* It waits until more cores are free, as tighter jobs are likely to come. */
bool qp_must_hold_back(
    const struct qp_capacity *room, uint64_t now, const struct co_job *j);

/* A job was admitted with this guess: what comes, and how long it can wait. */
void qp_record_job(uint64_t now, struct co_job *j, const struct gs_guess *g);

/* Refuse the jobs that will not get their turn in time. */
void qp_shed(struct coord *c, uint64_t now);

/* ms after which a caller that is refused now had better come back. */
uint32_t qp_retry_after_ms(
    struct coord *c, uint64_t now, const struct co_service_load *load);

/* What could not be placed, of one service. */
dw_want qp_demand(struct coord *c, uint64_t now, const char *service);
/* The agent has to hear of it now. */
bool qp_must_report_demand(
    const struct fl_agent *a, uint64_t now, const dw_want *w);

#ifdef __cplusplus
}
#endif

#endif
