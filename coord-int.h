/*
 * coord-int - parts of coord that qpolicy shares
 */
#ifndef COORD_INT_H
#define COORD_INT_H

#include "coord.h"

/* Run time on the fastest workers, in percent of the usual one.  A job whose
 * tasks could not end in time even there cannot be served. */
#define CO_FASTEST_PERCENT 75U

/* Ends a job without a result: CO_NOT_RUN if no run of it was ordered, else
 * CO_GAVE_UP. */
void co_give_up(
    struct coord *c, uint64_t now, struct co_job *j, const char *reason);

/* Estimated ms of the job's longest task on the fastest workers. */
static inline uint64_t
co_fastest_ms(const struct co_job *j)
{
    return j->longest_task_ms * CO_FASTEST_PERCENT / 100;
}

/* Estimated work of a task in millicores x ms. */
static inline uint64_t
co_task_work(const struct co_task *t)
{
    return (uint64_t)t->spec.millicores * t->spec.est_ms;
}

#endif
