/*
 * coord - coordinates an entry's best-effort jobs, from request to answer
 *
 * The entry that accepts a best-effort job coordinates it.  The state of such
 * a job is not kept beyond its caller's connection.  The entry sends each task
 * to an agent with free capacity.  When a run is lost, it sends the task to an
 * agent again, but never before the earlier run has certainly ended.
 *
 * All times named now or ..._ms without a span are ms of one steady clock.
 */
#ifndef COORD_H
#define COORD_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "admit.h"
#include "demand.h"
#include "fleet.h"
#include "estimate.h"
#include "inflow.h"
#include "proto.h"
#include "runner.h"
#include "schedconf.h"
#include "shares.h"
#include "slack.h"
#include "str.h"
#include "tail.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Maximum number of tasks of a job. */
#define CO_TASKS_MAX 1024U
/* ms between ticks above which an entry gives up all its jobs, as their
 * callers may have sent them to other entries (resend.h).  Its agents have
 * ended their sessions by then and stop its runs. */
#define CO_MAX_PAUSE_MS SESS_LEASE_MS

/* ms for which nothing is placed once workers are usable again after none was:
 * this entry may have been cut off, and hears first which of its jobs others
 * have meanwhile.  An exchange of claims takes a tick at each end. */
#define CO_REGAIN_HOLD_MS 60U

enum co_outcome {
    CO_COMPLETED, /* every task succeeded */
    CO_FAILED,    /* a task failed max_attempts times, or cancelled */
    CO_GAVE_UP,   /* ended without a result; tasks of it may have run */
    CO_NOT_RUN    /* no task of it has run or will run */
};

/* What a task needs. */
struct co_task_spec {
    uint32_t millicores;
    uint32_t memory_mb;
    uint32_t gpus;
    uint32_t est_ms; /* estimated run time */
};

/* A caller's request to run a job. */
struct co_submit {
    uint64_t id;
    uint64_t wall_ms;    /* wall-clock ms; run numbers start here, so that they
                          * rise across entries */
    struct str spec;     /* what to run, for the worker */
    const char *service; /* only its workers may run the job */
    uint32_t priority;
    uint32_t max_attempts;  /* failed runs of a task that fail the job */
    const char *route_name; /* jobs of one route have similar run times */
    struct es_objective route;
    uint32_t timeout_ms;              /* until the caller's deadline */
    const struct co_task_spec *tasks; /* est_ms as declared by the caller */
    size_t task_count;
    bool may_have_run; /* another entry had the job */
};

enum co_task_state {
    CO_WAITING,    /* to be placed */
    CO_DISPATCHED, /* sent to an agent; may be running */
    CO_LOST,       /* its session has ended; the run may not have */
    CO_DONE
};

struct co_task {
    struct co_task_spec spec;
    enum co_task_state state;
    uint64_t run;         /* number of the last run; rises with each */
    uint64_t agent;       /* of the last run */
    uint64_t session;     /* of the last run */
    uint64_t retry_at_ms; /* CO_LOST: when the last run has certainly ended */
    uint64_t sent_ms;     /* when the last run was sent */
    uint64_t open_clock_ms; /* newest report, by the agent's clock, by which a
                             * start of the last run was open; 0: none */
    uint64_t late_worker;   /* CO_LOST: hash of the name of the agent whose
                             * worker may execute that start; 0: none */
    uint32_t failures;
    uint64_t avoid_agent;   /* where it failed or ran too slowly; 0: none */
    bool moving;            /* being stopped, to run on another worker */
    uint64_t moved_ms;      /* when it was last moved, with moves =
                             * "distribution"; 0: never */
    uint32_t moved_rest_ms; /* expected then, had it not been moved */
    double moved_est_ms;    /* estimate then, the longest run included */
    double moved_ratio;     /* of its time to that estimate */
};

/* A caller that waits for a job's answer. */
struct co_waiter {
    struct co_waiter *next;
    void *handle;
};

/* The load of all jobs of one service. */
struct co_service_load {
    char *service;
    uint64_t queued_work; /* estimated millicores x ms of waiting tasks */
    uint64_t dispatched_millicores; /* of dispatched tasks */
    struct sl_histogram slack;      /* recent work by slack */
    struct in_flow inflow;          /* arriving work, in millicores x ms */
    struct sh_shares *shares;       /* of its routes; NULL: not in use */
    UT_hash_handle hh;
};

/* A job from its acceptance to its answer. */
struct co_job {
    uint64_t id;
    struct co_waiter *waiters; /* newest first */
    char *spec;
    size_t spec_len;
    struct co_service_load *load; /* of the job's service */
    uint32_t priority;
    uint32_t max_attempts;
    uint64_t arrived_ms;
    uint64_t objective_ms;    /* when its answer is due */
    uint64_t useful_until_ms; /* a later answer is of no use */
    uint64_t deadline_ms;     /* when its caller stops waiting */
    uint64_t longest_task_ms; /* estimated run time of its longest task */
    struct es_model *model;   /* run times of its route; NULL: none */
    struct tl_route *ratios;  /* of run times to estimates; NULL: none */
    struct es_input input;    /* what the estimate was made from */
    uint32_t slack_ms;        /* how long it could wait on arrival */
    uint32_t longest_run_ms;  /* longest run so far, scaled to usual speed */
    bool ran_slow;            /* a run was on a slow worker: learn nothing */
    bool started;             /* a run of it has been ordered, here or at
                               * another entry */
    bool queued;              /* in coord.queue */
    struct sh_route *share;   /* of its route; NULL: shares are not in use */
    bool large;               /* one of the largest of its route */
    enum sh_turn turn;        /* floor that decided its place */
    struct am_prediction prediction; /* wait_ms 0: no wait was expected */
    bool wait_ended;          /* its wait was compared with the prediction */
    double admitted_capacity; /* fl_totals.paced_capacity when it arrived */
    bool kept_for_free_cores; /* would have been refused otherwise */
    struct co_task *tasks;
    uint32_t task_count;
    uint32_t done_count;
    uint32_t waiting_count;
    struct co_job *prev; /* in coord.queue, by objective */
    struct co_job *next;
    UT_hash_handle hh;
};

/* A run that is being stopped, or may still be at work, after its job was
 * given up; kept until it has certainly ended, as the job may be submitted
 * again. */
struct co_outliving {
    uint64_t key; /* hash of the run; table coord.outliving */
    uint64_t job;
    uint32_t index;
    uint64_t since_ms;   /* when the job was given up */
    struct co_task task; /* CO_DISPATCHED or CO_LOST */
    UT_hash_handle hh;
};

/* A job that completed, failed or was cancelled, kept to answer late copies of
 * its request. */
struct co_ended {
    uint64_t id;
    uint64_t ended_ms;
    enum co_outcome outcome;
    UT_hash_handle hh;
};

struct co_ops {
    /* Sends a message to the agent `to`. */
    void (*send)(void *ctx, uint64_t to, const dw_msg *msg);
    /* Answers a caller; its handle is not used again.  reason is one word;
     * retry_ms: ms after which to retry a job that was not run. */
    void (*answer)(void *ctx, void *handle, enum co_outcome outcome,
        const char *reason, uint32_t retry_ms);
    /* A task of the job has failed max_attempts times. */
    void (*job_failed)(void *ctx, uint64_t job);
    /* Log what happens to a job, a run or an agent.  how is how the run ended
     * without a result; NULL if it is not over or has failed. */
    void (*log_job)(void *ctx, const struct co_job *job, const char *reason);
    void (*log_refusal)(void *ctx, const struct co_submit *s,
        const struct es_estimate *est, const char *reason, uint64_t queued_ms);
    void (*log_run)(void *ctx, const struct co_job *job, uint32_t index,
        const char *event, const char *how);
    void (*log_agent)(void *ctx, const struct fl_agent *a, const char *event);
    /* A run that outlived its job is over, ms after the job was given up. */
    void (*log_outlived)(
        void *ctx, const struct co_outliving *o, uint64_t ms, const char *how);
};

/* Counts of jobs up to caller_left, then of runs, since the start. */
struct co_stats {
    uint64_t submitted;
    uint64_t attached; /* requests for a job that was known already */
    uint64_t completed;
    uint64_t failed;
    uint64_t gave_up;
    uint64_t not_run;
    uint64_t caller_left;
    uint64_t runs;     /* ordered */
    uint64_t lost;     /* ended without a result */
    uint64_t rejected; /* returned by an agent without free capacity */
    uint64_t retried;  /* after a failure */
    uint64_t moved;    /* stopped on a slow worker to run on another */
    /* With moves = "distribution": */
    uint64_t moved_report;  /* of moved: the agent's report sufficed */
    uint64_t moved_runs;    /* of moved: this entry's runs were needed */
    uint64_t moved_run_ms;  /* run time that was thrown away */
    uint64_t moves_of_use;  /* ended before the first run was expected to */
    uint64_t moves_as_long; /* the second run took as long as the first */
    uint64_t moves_wanted;  /* not made: cores wanted by jobs in time */
    uint64_t moves_budget;  /* not made: budget exhausted */
    uint64_t widened; /* times that no selected agent could hold a task */
};

/* An entry's coordinator. */
struct coord {
    const struct co_ops *ops;
    void *ctx;
    struct sc_settings settings; /* all default after co_init() */
    uint32_t tasks_max;  /* of all jobs; more are refused; 0: no limit */
    uint32_t task_count; /* of all jobs, with runs that outlive theirs */
    struct fleet fleet;
    struct dm_view demand; /* unplaced work of all entries */
    struct co_job *jobs;
    struct co_job *queue; /* jobs with waiting tasks, by objective */
    struct co_ended *ended;
    struct co_outliving *outliving; /* in the order of their jobs' ends */
    struct am_state admission;      /* corrections and counters */
    struct es_table run_times;      /* learned run times, by route */
    struct co_service_load *loads;  /* by service */
    struct sh_item *order;          /* buffer of co_order() */
    size_t order_size;
    bool has_new_jobs;           /* since the last flush */
    uint32_t report_interval_ms; /* between an agent's capacity reports */
    struct tl_state tail;
    int64_t move_budget; /* millicores that may be moved in this tick */
    uint64_t last_tick_ms;
    uint64_t last_capacity_ms; /* when a worker was last usable; at first, the
                                * start */
    bool had_capacity;         /* a worker has been usable since the start */
    bool cut_off; /* had_capacity, and no worker is usable or has been for
                   * CO_REGAIN_HOLD_MS: nothing is placed */
    uint64_t regained_ms; /* since when one is again; 0: none is */
    char address[64];     /* at which agents reach this entry */
    uint16_t port;
    struct co_stats stats;
};

void co_init(struct coord *c, const struct co_ops *ops, void *ctx,
    uint64_t seed, const char *domain, const char *address, uint16_t port);
void co_free(struct coord *c);

/* Accepts or refuses a job.  ops->answer gets the answer, possibly before this
 * returns.  A request for a known job attaches to it. */
void co_submit(
    struct coord *c, uint64_t now, const struct co_submit *s, void *handle);
/* Answers a request that is not to be admitted, if it is a copy of a known
 * job; see co_knows_job().  False: it is none. */
bool co_answer_copy(
    struct coord *c, uint64_t id, void *handle, const char *reason);
/* A caller has disconnected.  A job whose newest request it sent ends at once;
 * others that wait for the job get that answer, too. */
void co_caller_left(struct coord *c, uint64_t now, const void *handle);
/* Cancels a job; false if it is not in progress here. */
bool co_cancel(struct coord *c, uint64_t now, uint64_t id);
/* A job that is not in progress here was cancelled, or has failed at another
 * entry: a late copy of its request starts nothing.  The outcome of a job that
 * has ended here stays. */
void co_record_cancelled(struct coord *c, uint64_t now, uint64_t id);
/* Ends a job without a result; tasks of it may run elsewhere.  False if it is
 * not in progress here. */
bool co_give_up_job(
    struct coord *c, uint64_t now, uint64_t id, const char *reason);
/* Ends all jobs, as this entry leaves. */
void co_give_up_all(struct coord *c, uint64_t now, const char *reason);
/* Handles a report of agent from. */
void co_report(
    struct coord *c, uint64_t now, uint64_t from, const dw_report *r);
/* Runs of agent from of which a start may still be executed. */
void co_open_starts(struct coord *c, uint64_t from, const dw_open *m);
/* An agent's process has died: its port refuses connections. */
void co_agent_dead(struct coord *c, uint64_t now, uint64_t id);
/* Handles timeouts, slow workers and overload; to be called regularly. */
void co_tick(struct coord *c, uint64_t now);
/* Places waiting tasks, sends the collected orders and reports demand. */
void co_flush(struct coord *c, uint64_t now);

/* The configuration has changed: drops the shares of routes for which keep()
 * is false. */
void co_remove_routes(struct coord *c, sh_keep_fn keep, void *ctx);

/* Queries. */
/* The job is in progress here. */
bool co_has_job(const struct coord *c, uint64_t id);
/* The job ended so recently that a copy of its request gets the same answer.
 */
bool co_has_ended(const struct coord *c, uint64_t id);
/* The job is in progress here, ended here so recently that a copy of its
 * request gets the same answer, or was given up and a run of it may be at
 * work. */
bool co_knows_job(const struct coord *c, uint64_t id);
/* The jobs that are known to be cancelled or failed: allocates *rows. */
void co_list_failed(
    const struct coord *c, uint64_t now, dw_tomb **rows, u_int *count);
/* Since when workers are usable again after none was; 0: that is not so. */
uint64_t co_regained_ms(const struct coord *c);
/* Jobs in progress here. */
size_t co_job_count(const struct coord *c);
/* Jobs with waiting tasks of which no run has been ordered. */
size_t co_unstarted_count(const struct coord *c);
/* Waiting work in ms of the whole fleet's capacity. */
uint64_t co_queued_ms(const struct coord *c, uint64_t now);
/* Sums over the services. */
struct sh_stats co_share_stats(const struct coord *c);

#ifdef __cplusplus
}
#endif

#endif
