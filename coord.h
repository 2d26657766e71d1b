/*
 * coord - an entry's best-effort jobs, from the caller's request to its answer
 *
 * The entry that took a best-effort job coordinates it: such a job needs no
 * memory beyond its caller's connection.  It sends each task to an agent with
 * room, and again elsewhere when a run was lost, but never before the earlier
 * run is certainly over.
 */
#ifndef COORD_H
#define COORD_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "fleet.h"
#include "guess.h"
#include "inflow.h"
#include "proto.h"
#include "runner.h"
#include "slack.h"
#include "str.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CO_TASKS_MAX 1024U
/* ms a frozen entry's jobs are good for; callers have tried elsewhere. */
#define CO_MAX_PAUSE_MS 900U
/* ms for which runs may go on that an entry ordered before it died or froze:
 * a session's lease, the stop, the worker's lease; or, of an entry that woke
 * just in time, until it gives them up.  Callers may send a job to another
 * entry after that. */
#define CO_ORPHAN_RUNS_MS                                                     \
    (SESS_LEASE_MS + RN_STOP_MS + RN_LAPSE_MS > CO_MAX_PAUSE_MS               \
            ? SESS_LEASE_MS + RN_STOP_MS + RN_LAPSE_MS                        \
            : CO_MAX_PAUSE_MS)

enum co_outcome {
    CO_COMPLETED, /* every task ended done */
    CO_FAILED,    /* a task failed as often as it may, or it was cancelled */
    CO_GAVE_UP,   /* time ran out; parts of it may have run */
    CO_NOT_RUN    /* nothing of it has run or will */
};

struct co_task_spec {
    uint32_t millicores;
    uint32_t memory_mb;
    uint32_t gpus;
    uint32_t est_ms;
};

struct co_submit {
    uint64_t id;
    uint64_t wall_ms; /* makes run numbers rise over all entries */
    struct str spec;
    const char *service; /* whose workers may run it */
    uint32_t priority;
    uint32_t max_attempts;  /* runs of a task that may fail */
    const char *route_name; /* what jobs are alike */
    struct gs_route route;
    uint32_t timeout_ms;              /* until the caller leaves */
    const struct co_task_spec *tasks; /* run times as declared */
    size_t task_count;
};

enum co_task_state { CO_WAITING, CO_DISPATCHED, CO_LOST, CO_DONE };

struct co_task {
    struct co_task_spec spec;
    enum co_task_state state;
    uint64_t run;
    uint64_t agent; /* of the last run */
    uint64_t session;
    uint64_t retry_at_ms; /* CO_LOST: when the last run is certainly over */
    uint64_t sent_ms;
    uint32_t failures;
    uint64_t avoid_agent; /* an agent that failed or held it up; 0: none */
    bool moving;          /* being stopped, to run elsewhere */
};

struct co_waiter {
    struct co_waiter *next;
    void *handle;
};

/* The jobs of one service together. */
struct co_service_load {
    char *service;
    uint64_t queued_work; /* estimated millicores x ms of waiting tasks */
    uint64_t dispatched_millicores; /* of runs under way */
    struct sl_histogram slack;      /* what waits how long */
    struct in_flow inflow;          /* millicores x ms that come in time */
    UT_hash_handle hh;
};

struct co_job {
    uint64_t id;
    struct co_waiter *waiters;
    char *spec;
    size_t spec_len;
    struct co_service_load *load; /* of its service */
    uint32_t priority;
    uint32_t max_attempts;
    uint64_t arrived_ms;
    uint64_t objective_ms;
    uint64_t useful_until_ms; /* an answer later is of no use */
    uint64_t deadline_ms;
    uint64_t longest_task_ms; /* estimate of its longest task */
    struct gs_model *model;   /* of its route; NULL: none */
    struct gs_seen seen;
    uint32_t slack_ms;       /* that it could wait when it came */
    uint32_t longest_run_ms; /* its longest task so far, at usual speed */
    bool ran_slow;           /* a run was on a slow worker: it tells nothing */
    bool started;            /* an order of it went out */
    bool queued;
    struct co_task *tasks;
    uint32_t task_count;
    uint32_t done_count;
    uint32_t waiting_count;
    struct co_job *prev; /* jobs with waiting tasks, most urgent first */
    struct co_job *next;
    UT_hash_handle hh;
};

/* A job that ended, for a late copy of its request. */
struct co_ended {
    uint64_t id;
    uint64_t ended_ms;
    enum co_outcome outcome;
    UT_hash_handle hh;
};

struct co_ops {
    void (*send)(void *ctx, uint64_t to, const dw_msg *msg);
    /* The handle must not be used after.  reason is one word. */
    void (*answer)(void *ctx, void *handle, enum co_outcome how,
        const char *reason, uint32_t retry_ms);
    /* Lines for whoever asks later what became of a job or a run. */
    void (*log_job)(void *ctx, const struct co_job *job, const char *text);
    void (*log_refusal)(void *ctx, const struct co_submit *s,
        const struct gs_guess *g, const char *why, uint64_t waiting_ms);
    void (*log_run)(
        void *ctx, const struct co_job *job, uint32_t index, const char *what);
    void (*log_agent)(void *ctx, const struct fl_agent *a, const char *what);
};

struct co_stats {
    uint64_t submitted;
    uint64_t attached;
    uint64_t completed;
    uint64_t failed;
    uint64_t gave_up;
    uint64_t not_run;
    uint64_t caller_left;
    uint64_t runs;
    uint64_t lost;
    uint64_t rejected; /* sent to an agent that had no room after all */
    uint64_t retried;  /* after a failure */
    uint64_t moved;    /* stopped on a slow worker */
    uint64_t widened;  /* jobs that none of the chosen agents could hold */
};

struct coord {
    const struct co_ops *ops;
    void *ctx;
    struct fleet fleet;
    struct co_job *jobs;
    struct co_job *queue;
    struct co_ended *ended;
    struct gs_table run_times;     /* what jobs of each route take */
    struct co_service_load *loads; /* by service */
    bool has_new_jobs;             /* a job since the last flush */
    uint32_t report_interval_ms;   /* between an agent's reports on its room */
    int64_t move_budget;           /* millicores that may be moved this tick */
    uint64_t last_tick_ms;
    uint64_t last_capacity_ms; /* when there last was a worker; at first, the
                                  start */
    char address[64];          /* where agents reach this entry */
    uint16_t port;
    struct co_stats stats;
};

void co_init(struct coord *c, const struct co_ops *ops, void *ctx,
    uint64_t seed, const char *domain, const char *address, uint16_t port);
void co_free(struct coord *c);

/* A caller's request.  The answer comes by ops->answer, perhaps at once. */
void co_submit(
    struct coord *c, uint64_t now, const struct co_submit *s, void *handle);
/* A caller has left; a job that nobody waits for ends at once. */
void co_caller_left(struct coord *c, uint64_t now, const void *handle);
/* False if no such job is under way here. */
bool co_cancel(struct coord *c, uint64_t now, uint64_t id);
void co_report(
    struct coord *c, uint64_t now, uint64_t from, const dw_report *r);
/* The process is dead, as its port refuses. */
void co_agent_dead(struct coord *c, uint64_t now, uint64_t id);
void co_tick(struct coord *c, uint64_t now);
/* Place what waits and send what was collected. */
void co_flush(struct coord *c, uint64_t now);

/* Queries. */
bool co_has_job(const struct coord *c, uint64_t id);
size_t co_job_count(const struct coord *c);
/* Jobs of which nothing has been sent to a worker. */
size_t co_unstarted_count(const struct coord *c);
/* Waiting work as time of the whole fleet, in ms. */
uint64_t co_queued_ms(const struct coord *c, uint64_t now);

#ifdef __cplusplus
}
#endif

#endif
