/*
 * sim-int - what the parts of the simulation share
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

typedef void (*sim_fn)(struct sim *s, void *data);

/* At equal times in the order of their making. */
struct sim_event {
    uint64_t at_us;
    uint64_t order;
    sim_fn fn;
    void *data;
};

struct sim_run {
    struct rn_key key;
    uint32_t millicores;
    double total_us; /* of work at speed 1 */
    double left_us;
    uint64_t seen_us; /* when left_us held */
    uint64_t ends_us;
    dw_end how;
    bool stopping;
};

/* The highest run of a task that was stopped or ended on a worker. */
struct sim_past {
    uint64_t task;
    uint64_t run;
    UT_hash_handle hh;
};

/* A call of an agent to its worker, or its answer. */
struct sim_call {
    struct sim_agent *agent;
    uint64_t agent_id;
    struct rn_key key;
    struct rn_terms terms;
    struct rn_poll_request ask;
    uint32_t millicores;
    enum rn_start_result result;
    uint64_t clock_ms;
    uint64_t asked_ms;
    bool lost;
    bool answered;
    uint32_t holders;
    struct rn_poll_run *running;
    size_t running_count;
    struct rn_outcome *ends;
    size_t end_count;
    uint64_t born_ms;
};

struct sim_worker {
    uint32_t index;
    bool up;
    uint64_t born_ms;
    uint64_t until_ms; /* in its own clock */
    uint64_t fence;
    uint64_t next_end;
    struct sim_run *runs;
    size_t run_count;
    struct rn_outcome *ends;
    size_t end_count;
    struct sim_past *past;
    struct sim_call *look; /* waits for an end */
    double slow;           /* times as long */
    double late;           /* share of orders carried out late */
    bool fails;
};

struct sim_agent {
    struct sim *s;
    uint32_t index;
    uint64_t id; /* of the process; 0: none lives */
    struct agent a;
};

/* Who waits for a job at an entry: a caller, or another entry. */
struct sim_caller {
    struct sim_job *job;
    uint32_t try;
    struct rl_accepted *taken; /* NULL: a caller */
    struct sim_caller *prev;
    struct sim_caller *next;
};

/* What waits to be read by an entry. */
struct sim_input {
    struct sim_input *next;
    uint64_t from;
    dw_msg *msg;  /* NULL: a request */
    uint64_t job; /* of that */
    uint32_t try;
};

struct sim_answer {
    struct sim_answer *next;
    struct sim_job *job;
    uint32_t try;
    enum co_outcome how;
    uint32_t retry_ms;
};

struct sim_entry {
    struct sim *s;
    uint32_t index;
    uint64_t id;
    struct coord c;
    struct sim_answer *answers; /* newest first */
    struct sim_caller *callers;
    struct relay relay;
    /* With a processor. */
    double slow; /* times */
    struct lag lag;
    struct intake intake;
    struct sim_input *inputs;
    struct sim_input **inputs_tail;
    bool working;          /* a pass is due or under way */
    uint64_t tick_us;      /* when it is due next */
    double spent_us;       /* of this pass, so far */
    uint32_t missed_looks; /* of the balancer */
};

enum sim_end {
    SIM_OPEN,
    SIM_SERVED,
    SIM_REFUSED,
    SIM_LOST,
    SIM_LEFT /* by its own will: nothing is owed */
};

struct sim_job {
    uint64_t id;
    uint32_t kind;
    uint32_t domain;
    uint32_t count;
    uint32_t declared_ms;
    uint32_t *task_us;
    uint8_t *running; /* on workers, for each task */
    uint64_t first_us;
    uint64_t come_us; /* of the last try at its entry */
    uint64_t leave_us;
    uint64_t deadline_us;
    uint64_t objective_us; /* length */
    double worth;
    uint32_t try;
    bool open;                 /* the last try waits for its answer */
    struct sim_caller *caller; /* at that entry, if it has read it */
    uint64_t entry_id;
    bool hopeless;
    bool started;
    enum sim_end end;
    uint64_t end_us;
    UT_hash_handle hh;
};

struct sim {
    const struct sim_deployment *d;
    struct sim_result *out;
    gsl_rng *rng;
    uint64_t now_us;
    bool over; /* nobody starts any more */
    uint64_t order;
    struct sim_event *events; /* a binary heap */
    size_t event_count;
    size_t event_cap;
    struct sim_worker workers[SIM_WORKERS_MAX];
    struct sim_agent agents[SIM_WORKERS_MAX];
    struct sim_entry entries[SIM_ENTRIES_MAX];
    uint64_t entered[SIM_WORKERS_MAX]; /* ids in the store, by agent */
    struct buf times[SIM_ENTRIES_MAX]; /* there as well, by entry */
    bool withdrawn[SIM_DOMAINS_MAX];
    uint64_t next_life;
    struct sim_job *jobs;
    uint64_t next_job;
    double rate_x[SIM_KINDS_MAX];
    double width_x[SIM_KINDS_MAX];
    double leave_share;
    double hopeless_share;
    double error_sum;
};

#define SIM_TICK_US 20000U
#define SIM_ENTRY_BIT 0x8000U

/* What an event of a process is for; it may have died since. */
struct sim_alive {
    uint64_t id;
};

/* Requests begin then; what is before is for the fleet to start. */
#define SIM_LEAD_US 2000000U
#define SIM_SERVICE "s"

static inline uint64_t
sim_ms(const struct sim *s)
{
    return s->now_us / 1000;
}

static inline uint32_t
sim_domain(const struct sim *s, uint32_t index)
{
    return index % s->d->domains;
}

/* --- sim.c --- */
void sim_at(struct sim *s, uint64_t in_us, sim_fn fn, void *data);
double sim_chance(struct sim *s);
/* An agent that still is the process that asked. */
bool sim_same(const struct sim_call *c);
/* For an event of a process; whoever handles it frees it. */
struct sim_alive *sim_alive(uint64_t id);
uint64_t sim_new_id(struct sim *s, uint32_t place);
void sim_domain_name(char *out, size_t cap, uint32_t domain);
/* It leaves after_us from now. */
void sim_send(struct sim *s, uint64_t after_us, uint64_t from, uint64_t to,
    const dw_msg *msg);
struct sim_entry *sim_entry_of(struct sim *s, uint64_t id);
void sim_broken(struct sim *s, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* --- simentry.c: entries and their processors --- */
void sim_entry_start(struct sim *s, struct sim_entry *e);
void sim_entry_end(struct sim *s, struct sim_entry *e);
/* A message has come, which the entry frees. */
void sim_entry_message(struct sim_entry *e, uint64_t from, dw_msg *msg);
/* A request has come. */
void sim_entry_request(struct sim_entry *e, struct sim_job *j);
/* A caller has left. */
void sim_entry_left(struct sim_entry *e, struct sim_job *j);
/* The balancer sends it callers. */
bool sim_entry_in_rotation(const struct sim_entry *e);
void sim_read_store(struct sim *s, void *alive);

/* --- simwork.c: workers and the calls of their agents --- */
extern const struct rn_ops sim_worker_ops;
void sim_worker_start(struct sim *s, struct sim_worker *w);
void sim_worker_crash(struct sim *s, struct sim_worker *w);
void sim_worker_pace(struct sim *s, struct sim_worker *w, double slow);
void sim_worker_tick(struct sim *s, struct sim_worker *w);
void sim_worker_free(struct sim_worker *w);
uint64_t sim_worker_clock(const struct sim *s, const struct sim_worker *w);

/* --- simcall.c: callers --- */
void sim_note_estimate(struct sim *s, uint32_t estimated_ms, uint32_t true_ms);
struct sim_job *sim_job_of(struct sim *s, uint64_t id);
void sim_callers_start(struct sim *s);
/* The job if this try of it still waits. */
struct sim_job *sim_open_try(struct sim *s, uint64_t job, uint32_t try);
/* What the job asks of an entry; free(3) its tasks. */
struct co_submit sim_submission(const struct sim *s, const struct sim_job *j);
void sim_answered(struct sim *s, const struct sim_answer *a);
/* Every open try at the entry ends without an answer. */
void sim_cut(struct sim *s, uint64_t entry_id);
void sim_count(struct sim *s);
void sim_callers_free(struct sim *s);

#endif
