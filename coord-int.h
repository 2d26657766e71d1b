/*
 * coord-int - what turn needs of coord beyond its interface
 */
#ifndef COORD_INT_H
#define COORD_INT_H

#include "coord.h"

/* The fastest workers take this part of the usual time.  A job whose tasks
 * could not end in time even there is hopeless. */
#define CO_FASTEST_PERCENT 75U

/* The job ends without its outcome: not run if nothing of it was sent. */
void co_give_up(
    struct coord *c, uint64_t now, struct co_job *j, const char *reason);

/* ms that its longest task takes on the fastest workers. */
static inline uint64_t
co_fastest_ms(const struct co_job *j)
{
    return j->longest_task_ms * CO_FASTEST_PERCENT / 100;
}

/* Estimated millicores x ms. */
static inline uint64_t
co_task_work(const struct co_task *t)
{
    return (uint64_t)t->spec.millicores * t->spec.est_ms;
}

#endif
