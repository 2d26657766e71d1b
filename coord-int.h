/*
 * coord-int - internal interface of the coordinator
 *
 * coord.c keeps the jobs, coplace.c places their tasks and sends messages to
 * agents, comove.c moves runs from slow workers, cotail.c finds them with
 * moves = "distribution", coshare.c orders waiting jobs.
 */
#ifndef COORD_INT_H
#define COORD_INT_H

#include "coord.h"

/* Run time on the fastest workers, in percent of the usual one.  A job whose
 * tasks could not end in time even there cannot be served. */
#define CO_FASTEST_PERCENT 75U

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

/* --- coord.c --- */
/* The job with this id, or NULL. */
struct co_job *co_find_job(const struct coord *c, uint64_t id);
/* Changes a task's state and the counts and the queue that depend on it. */
void co_set_state(struct coord *c, struct co_job *j, struct co_task *t,
    enum co_task_state state);
/* Refuses the jobs that cannot be served in time. */
void co_shed(struct coord *c, uint64_t now);

/* --- coplace.c --- */
/* Adds an order to stop a run to the agent's batch. */
void co_add_stop(
    struct fl_agent *a, uint64_t job, uint32_t index, uint64_t run);
/* Sends a message without orders: the demand, and this entry's address. */
void co_send_heartbeat(struct coord *c, uint64_t now, struct fl_agent *a);
/* What a run of the task requires of a worker. */
struct fl_requirements co_task_requirements(
    const struct co_job *j, const struct co_task *t);

/* --- coshare.c --- */
/* Adds a job to its route, or removes it. */
void co_share_arrived(struct coord *c, uint64_t now, struct co_job *j,
    const struct co_submit *s);
void co_share_ended(struct co_job *j, enum co_outcome outcome);
/* Whether each service lacks cores; to be called after placement. */
void co_update_sharing(struct coord *c, uint64_t now);
/* The jobs of a service with waiting tasks, the last to be refused first.
 * Valid until the next call. */
const struct sh_item *co_order(struct coord *c, uint64_t now,
    const struct co_service_load *l, size_t *count);

/* --- coadmit.c: all without effect unless admission is "arrival" --- */
/* Decides on a job that has just arrived: 0 if it is admitted, else ms after
 * which its caller should retry. */
uint32_t co_admit_arrival(struct coord *c, uint64_t now, struct co_job *j);
/* Why a job that cannot be served in time is refused; NULL: it is kept.
 * The capacity is that of usable workers, weighted by pace. */
const char *co_admit_shed_reason(
    struct coord *c, uint64_t now, struct co_job *j, double capacity);
/* All tasks of the job have been placed, or it was given up before. */
void co_admit_placed(struct coord *c, uint64_t now, struct co_job *j);
void co_admit_given_up(
    struct coord *c, uint64_t now, struct co_job *j, const char *reason);

/* --- comove.c --- */
/* Sets what may be moved in this tick, given the fleet's totals. */
void co_set_move_budget(struct coord *c, const struct fl_totals *sum);
/* Stops runs of the job that would end sooner on another worker. */
void co_move_runs(struct coord *c, uint64_t now, struct co_job *j);

/* --- cotail.c; without effect unless moves = "distribution" --- */
/* Finds the distribution of run times of the job's route. */
void co_tail_admit(struct coord *c, struct co_job *j, const char *route);
/* Learns from a run that succeeded. */
void co_tail_run_done(struct coord *c, uint64_t now, struct fl_agent *a,
    struct co_job *j, struct co_task *t, uint32_t ran_ms);
/* Judges which workers are slow. */
void co_tail_judge(struct coord *c, uint64_t now);
/* A second run on another worker would serve the job's callers better, and no
 * job in time wants the cores.  Stores the forecast in the task. */
bool co_tail_should_move(struct coord *c, uint64_t now, const struct co_job *j,
    struct co_task *t, const struct fl_agent *a);
/* Counts the move; false if the budget is exhausted. */
bool co_tail_take_move(struct coord *c, uint64_t now, const struct co_job *j,
    struct co_task *t, const struct fl_agent *a);

#endif
