/*
 * sim-int - types and functions shared by the parts of the simulation
 */
#ifndef SIM_INT_H
#define SIM_INT_H

#include <gsl/gsl_rng.h>
#include <uthash.h>

#include "agent.h"
#include "coord.h"
#include "intake.h"
#include "lag.h"
#include "relay.h"
#include "sim.h"

struct sim;

/* Handler of an event. */
typedef void (*sim_fn)(struct sim *s, void *data);

/* Events at the same time run in the order in which they were scheduled. */
struct sim_event {
    uint64_t at_us;
    uint64_t sequence; /* order of scheduling */
    sim_fn fn;
    void *data;
};

/* A run on a worker. */
struct sim_run {
    struct rn_key key;
    uint32_t millicores;
    double work_us; /* run time at speed 1 */
    double work_left_us;
    uint64_t updated_us; /* when work_left_us was computed */
    uint64_t end_us;     /* planned */
    dw_end outcome;      /* at that time */
    bool stopping;
};

/* What a worker remembers of a task whose runs ended or were stopped: it
 * refuses starts of runs up to the highest. */
struct sim_run_record {
    uint64_t task; /* job id | task index */
    uint64_t highest_run;
    UT_hash_handle hh;
};

/* A call of an agent to its worker (start, stop or poll), and its answer. */
struct sim_call {
    struct sim_agent *agent;
    uint64_t agent_id; /* process that sent the call; see sim_process_ref */
    struct rn_key key;
    struct rn_terms terms;
    struct rn_poll_request poll;
    uint32_t millicores;
    enum rn_start_result result;
    uint64_t clock_ms; /* of the worker, when it answered */
    uint64_t sent_ms;
    bool lost;     /* no answer reaches the agent */
    bool answered; /* or given up by the agent */
    uint32_t refs; /* freed at 0 */
    struct rn_poll_run *running;
    size_t running_count;
    struct rn_outcome *outcomes;
    size_t outcome_count;
    uint64_t worker_started_ms;
};

struct sim_worker {
    uint32_t index;
    bool up;
    uint64_t started_ms;     /* identifies the incarnation */
    uint64_t lease_until_ms; /* in the worker's clock */
    uint64_t fence;          /* highest fencing number seen */
    uint64_t next_outcome;   /* number of the next outcome */
    struct sim_run *runs;
    size_t run_count;
    struct rn_outcome *outcomes; /* not acknowledged by the agent yet */
    size_t outcome_count;
    struct sim_run_record *run_records;
    struct sim_call *poll;   /* long poll that waits for an outcome */
    double slowdown;         /* tasks take this many times as long */
    double late_order_share; /* of orders, carried out seconds late */
    bool fails_runs;
};

struct sim_agent {
    struct sim *s;
    uint32_t index;
    uint64_t id; /* of the process; 0: not running */
    struct agent agent;
};

/* Waits for the answer to a job at an entry: a caller, or the origin entry of
 * a forwarded request. */
struct sim_waiter {
    struct sim_job *job;
    uint32_t attempt;              /* of the caller; see sim_job */
    struct rl_accepted *forwarded; /* NULL: a caller */
    struct sim_waiter *prev;
    struct sim_waiter *next;
};

/* A message or request that an entry has not read yet. */
struct sim_input {
    struct sim_input *next;
    uint64_t from;    /* process id, of a message */
    dw_msg *msg;      /* NULL: a request */
    uint64_t job;     /* id, of a request */
    uint32_t attempt; /* of a request */
};

/* An answer to a caller. */
struct sim_answer {
    struct sim_answer *next;
    struct sim_job *job;
    uint32_t attempt;
    enum co_outcome outcome;
    uint32_t retry_ms;
};

struct sim_entry {
    struct sim *s;
    uint32_t index;
    uint64_t id; /* of the process; 0: not running */
    struct coord coord;
    struct sim_answer *answers; /* newest first */
    struct sim_waiter *waiters;
    struct relay relay;
    /* Used only if processing takes time (sim_deployment.entry_cores). */
    double slowdown; /* processing takes this many times as long */
    struct lag lag;
    struct intake intake;
    struct sim_input *inputs;
    struct sim_input **inputs_tail;
    bool pass_scheduled;    /* a pass of the event loop is due or under way */
    uint64_t tick_us;       /* when the next tick is due */
    double spent_us;        /* of this pass, so far */
    uint32_t failed_checks; /* consecutive, of the balancer's health check */
};

enum sim_job_outcome {
    SIM_PENDING,
    SIM_SERVED,  /* completed, or failed if it always fails */
    SIM_REFUSED, /* not run, and not retried */
    SIM_LOST,    /* no answer before the deadline, or failed */
    SIM_LEFT     /* the caller left early: no value is offered */
};

/* A caller's request and the job that it submits. */
struct sim_job {
    uint64_t id;
    uint32_t kind;
    uint32_t domain; /* of the caller */
    uint32_t task_count;
    uint32_t declared_ms;
    uint32_t *task_us;   /* true run time of each task at speed 1 */
    uint8_t *running;    /* runs on workers at present, for each task */
    uint64_t sent_us;    /* first attempt */
    uint64_t arrived_us; /* of the last attempt at its entry */
    uint64_t leave_us;   /* when the caller leaves; at most deadline_us */
    uint64_t deadline_us;
    uint64_t objective_us; /* duration */
    double value;
    uint32_t attempt;     /* times that the caller has sent it */
    bool awaiting_answer; /* to the last attempt */
    /* At the entry of the last attempt, once it has read the request. */
    struct sim_waiter *waiter;
    uint64_t entry_id; /* process that got the last attempt */
    bool always_fails;
    bool started; /* a task has been started */
    enum sim_job_outcome outcome;
    uint64_t ended_us;
    UT_hash_handle hh;
};

struct sim {
    const struct sim_deployment *d;
    struct sim_result *result;
    gsl_rng *rng;
    /* For requests alone, so that the same ones come whatever the settings
     * make of them. */
    gsl_rng *request_rng;
    uint64_t now_us;
    bool shutting_down;       /* processes are no longer restarted */
    uint64_t next_sequence;   /* of events */
    struct sim_event *events; /* a binary heap */
    size_t event_count;
    size_t event_cap;
    struct sim_worker workers[SIM_WORKERS_MAX];
    struct sim_agent agents[SIM_WORKERS_MAX];
    struct sim_entry entries[SIM_ENTRIES_MAX];
    /* Contents of the store; withdrawn is by failure domain. */
    uint64_t registered[SIM_WORKERS_MAX];        /* process ids, by agent */
    struct buf saved_estimates[SIM_ENTRIES_MAX]; /* of run times, by entry */
    bool withdrawn[SIM_DOMAINS_MAX];
    uint64_t next_process;
    struct sim_job *jobs;
    uint64_t next_job;
    /* Effects of the faults in force. */
    double rate_factor[SIM_KINDS_MAX];
    double width_factor[SIM_KINDS_MAX];
    double leave_share;
    double failing_job_share;
    double estimate_error_sum;
};

/* Interval between the ticks of entries, agents and workers. */
#define SIM_TICK_US 20000U
/* Set in the process ids of entries. */
#define SIM_ENTRY_BIT 0x8000U

/* Names the process that an event is for, as it may have died since. */
struct sim_process_ref {
    uint64_t id;
};

/* Time for the processes to start, before the first request. */
#define SIM_WARMUP_US 2000000U
#define SIM_SERVICE "s"

static inline uint64_t
sim_now_ms(const struct sim *s)
{
    return s->now_us / 1000;
}

static inline uint32_t
sim_domain_of(const struct sim *s, uint32_t index)
{
    return index % s->d->domain_count;
}

/* --- sim.c --- */
/* Runs fn in in_us from now. */
void sim_schedule(struct sim *s, uint64_t in_us, sim_fn fn, void *data);
/* Uniformly distributed in [0, 1). */
double sim_random(struct sim *s);
/* True if the agent process that sent the call is still running. */
bool sim_agent_is_current(const struct sim_call *c);
/* Allocates the reference; the event handler frees it. */
struct sim_process_ref *sim_process_ref(uint64_t id);
/* A new process id; index is that of the agent or entry, with SIM_ENTRY_BIT
 * for entries. */
uint64_t sim_new_id(struct sim *s, uint32_t index);
void sim_domain_name(char *out, size_t cap, uint32_t domain);
/* Sends a copy of msg, after_us from now. */
void sim_send(struct sim *s, uint64_t after_us, uint64_t from, uint64_t to,
    const dw_msg *msg);
/* The entry with that process id; NULL if it is not running. */
struct sim_entry *sim_entry_by_id(struct sim *s, uint64_t id);
/* Records that a guarantee of the scheduler was broken. */
void sim_violation(struct sim *s, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* --- simentry.c: entries and their processors --- */
void sim_entry_start(struct sim *s, struct sim_entry *e);
void sim_entry_stop(struct sim *s, struct sim_entry *e);
/* Delivers a message; the entry frees it. */
void sim_entry_message(struct sim_entry *e, uint64_t from, dw_msg *msg);
/* Delivers a request of a caller. */
void sim_entry_request(struct sim_entry *e, struct sim_job *j);
/* The caller has closed its connection. */
void sim_entry_cancel(struct sim_entry *e, struct sim_job *j);
/* True if the balancer sends callers to it. */
bool sim_entry_in_rotation(const struct sim_entry *e);
/* Event: an entry reads the agents, entries, withdrawn domains and estimates
 * that the store holds; ref is a struct sim_process_ref. */
void sim_read_store(struct sim *s, void *ref);

/* --- simworker.c: workers and the calls of their agents --- */
extern const struct rn_ops sim_worker_ops;
void sim_worker_start(struct sim *s, struct sim_worker *w);
/* The worker dies with all its runs. */
void sim_worker_crash(struct sim *s, struct sim_worker *w);
/* Changes the slowdown; runs keep the work done so far. */
void sim_worker_set_slowdown(
    struct sim *s, struct sim_worker *w, double slowdown);
/* Ends all runs if the lease has expired. */
void sim_worker_tick(struct sim *s, struct sim_worker *w);
void sim_worker_free(struct sim_worker *w);
/* ms since the worker started, plus 1. */
uint64_t sim_worker_clock(const struct sim *s, const struct sim_worker *w);

/* --- simcaller.c: callers --- */
/* Adds the estimate of a longest task to the mean error of the day. */
void sim_record_estimate(
    struct sim *s, uint32_t estimated_ms, uint32_t true_ms);
/* NULL if there is no such job. */
struct sim_job *sim_job_by_id(struct sim *s, uint64_t id);
/* Schedules the first request of each kind. */
void sim_callers_start(struct sim *s);
/* The job, if that attempt of its caller still waits for its answer. */
struct sim_job *sim_job_awaiting(
    struct sim *s, uint64_t job, uint32_t attempt);
/* The submission of the job to an entry; free(3) its tasks. */
struct co_submit sim_submission(const struct sim *s, const struct sim_job *j);
/* Delivers an answer, unless the attempt no longer waits for it. */
void sim_answered(struct sim *s, const struct sim_answer *a);
/* Closes the connections of all callers that wait at the entry. */
void sim_disconnect_callers(struct sim *s, uint64_t entry_id);
/* Computes the totals and the score from all jobs. */
void sim_compute_result(struct sim *s);
void sim_callers_free(struct sim *s);

#endif
