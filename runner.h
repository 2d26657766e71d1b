/*
 * runner - an agent's exact account of the runs on its worker
 *
 * Only this agent gives the worker orders, so what it reserves is exact: a
 * run counts from before its start is sent until its end is certain, what is
 * being stopped included.  All runs live by one lease on the worker, which is
 * renewed a short time ahead: if this process freezes or dies, the worker
 * ends everything within RN_LEASE_MS.
 *
 * Source: Gray and Cheriton: Leases, SOSP 1989.
 */
#ifndef RUNNER_H
#define RUNNER_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "proto.h"
#include "str.h"

#ifdef __cplusplus
extern "C" {
#endif

/* ms the worker's lease is renewed ahead; several times RN_POLL_MS. */
#define RN_LEASE_MS 300U
/* ms that a look waits for an end, which is how often the lease is renewed
 * at least.  Ends are learned by looks only: while one in some is lost,
 * longer ones hold answers back. */
#define RN_POLL_MS 40U
/* ms beyond that until a look counts as lost; answers take 1 to 5. */
#define RN_POLL_MARGIN_MS 15U
/* Looks lost in a row after which the worker counts as silent. */
#define RN_SILENT_POLLS 3U
/* ms between looks while nothing runs. */
#define RN_IDLE_POLL_MS 500U
/* ms between looks at a worker that did not answer the last, or whose earlier
 * runs are waited for. */
#define RN_RETRY_POLL_MS 25U
/* ms without an answer until a start or stop counts as lost; answers take 1
 * to 5.  A lost start costs a task of 60 ms this, a look, a stop and a second
 * start, and still meets an aim of 180 ms. */
#define RN_ANSWER_TIMEOUT_MS 20U
/* ms in which runs of an ended session must be gone; after that the lease is
 * not renewed, for anybody, until they are. */
#define RN_STOP_LIMIT_MS 100U
/* Ends remembered, so that a look that was overtaken by one of them does not
 * show a run of nobody's. */
#define RN_RECENT_MAX 64U
/* The worker's clock may run slow by this part of a hundred. */
#define RN_DRIFT_PERCENT 2U

/* Local time until the worker has ended what it was told at `at` ms to keep
 * for one lease. */
#define RN_LEASE_EXPIRY_MS                                                    \
    (RN_LEASE_MS + RN_LEASE_MS * RN_DRIFT_PERCENT / 100 + 20U)

/* ms of the longest lease a worker grants, its clock's drift included. */
#define RN_LEASE_MAX_MS 1040U

/* The newest run's weight in the share of failed ones. */
#define RN_FAIL_WEIGHT 8U

/* The share of runs that failed, after one more has ended. */
static inline uint32_t
rn_fail_average(uint32_t permille, bool failed)
{
    return (permille * (RN_FAIL_WEIGHT - 1) + (failed ? 1000 : 0)) /
           RN_FAIL_WEIGHT;
}

struct rn_key {
    uint64_t job;
    uint64_t run;
    uint64_t index;
};

enum rn_state {
    RN_QUEUED,
    RN_STARTING, /* told to start, no answer yet */
    RN_UNSURE,   /* the answer was lost */
    RN_RUNNING,
    RN_STOPPING
};

struct rn_run {
    struct rn_key key;
    uint64_t entry;
    uint64_t session;
    uint32_t millicores;
    uint32_t memory_mb;
    uint32_t gpus;
    uint32_t est_ms;
    uint32_t priority;
    char *spec;
    enum rn_state state;
    bool reported;      /* a look has shown it */
    bool session_ended; /* its session is over */
    uint64_t received_ms;
    uint64_t wait_until_ms; /* of waiting here */
    uint64_t sent_ms;       /* its start, then its last stop */
    uint64_t conclusive_ms; /* a look asked after this tells all about it */
    uint64_t session_ended_ms;
    uint64_t started_ms;
    uint32_t progress_percent;
    uint64_t progress_ms; /* when it was last seen */
    UT_hash_handle hh;
};

enum rn_start_result {
    RN_START_OK,
    RN_START_REFUSED,     /* certainly not started */
    RN_START_UNREACHABLE, /* the same, as no connection came about */
    RN_START_FENCED,      /* not started: a higher fence has been there */
    RN_START_LOST
};

/* What a look showed. */
struct rn_poll_run {
    struct rn_key key;
    uint32_t percent;
};

struct rn_outcome {
    uint64_t seq;
    struct rn_key key;
    dw_end outcome;
};

struct rn_poll {
    uint64_t sent_ms;
    bool immediate; /* beside the one that waits */
    bool ok;
    bool unreachable; /* no connection came about */
    uint64_t worker_clock_ms;
    uint64_t incarnation;
    const struct rn_poll_run *running;
    size_t running_count;
    const struct rn_outcome *outcomes;
    size_t outcome_count;
};

/* What every order to the worker carries. */
struct rn_terms {
    uint64_t
        lease_until_ms; /* of the lease, in the worker's clock; 0: as it is */
    uint64_t fence;     /* the worker does nothing for a lower one */
};

struct rn_poll_request {
    uint64_t ack; /* ends up to this one have been taken note of */
    uint32_t wait_ms;
    bool immediate; /* beside the one that waits */
};

/* How decisions are carried out. */
struct rn_ops {
    void (*start)(
        void *ctx, const struct rn_run *r, const struct rn_terms *terms);
    void (*stop)(
        void *ctx, const struct rn_key *key, const struct rn_terms *terms);
    void (*poll)(void *ctx, const struct rn_poll_request *ask,
        const struct rn_terms *terms);
    void (*ended)(
        void *ctx, const struct rn_run *r, dw_end how, uint32_t ran_ms);
};

struct rn_stats {
    uint64_t started;
    uint64_t done;
    uint64_t failed;
    uint64_t lost_starts;
    uint64_t lease_expired;
    uint64_t orphans;
    uint64_t no_capacity;
    uint64_t worker_restarts;
};

struct runner {
    const struct rn_ops *ops;
    void *ctx;
    struct rn_run *runs;
    uint64_t started_ms;
    bool capacity_known;
    bool draining;
    uint64_t
        worker_exit_ms; /* the worker may be gone from then on; 0: stays */
    uint32_t millicores;
    uint32_t memory_mb;
    uint32_t gpus;
    int64_t used_millicores;
    int64_t used_memory_mb;
    int64_t used_gpus;
    uint64_t incarnation;
    uint64_t fence;
    uint64_t unknown_lease_until_ms; /* a lease of unknown length may last
                                        until then */
    uint64_t incarnation_seen_ms;    /* when we learned it */
    uint64_t worker_clock_ms;        /* the worker's */
    uint64_t worker_clock_at_ms;     /* ours, when it came */
    uint64_t lease_expiry_ms; /* the worker holds nothing of ours after it */
    uint64_t ack;
    uint64_t ack_sent; /* in the look under way */
    uint64_t ack_confirmed;
    uint64_t poll_ms;      /* when the look under way was asked; 0: none */
    uint64_t last_poll_ms; /* when the last look was asked */
    uint32_t polls_failed; /* in a row */
    bool silent;           /* the worker did not answer lately */
    bool immediate_pending;
    struct rn_key recent[RN_RECENT_MAX];
    size_t recent_next;
    size_t orphans; /* runs of an earlier agent, as last shown */
    bool leaving;   /* this agent ends: start nothing more */
    uint64_t capacity_changed_ms;
    bool polled;             /* a look has succeeded */
    bool clean;              /* nothing of an earlier agent runs there */
    uint32_t speed_permille; /* usual; 1000: runs end as estimated */
    uint32_t pace_permille;  /* at present */
    uint32_t fail_permille;  /* of runs that ended lately */
    uint64_t work_est_us;    /* seen since it was learned last */
    uint64_t work_elapsed_ms;
    struct rn_stats stats;
};

void rn_init(
    struct runner *r, uint64_t now, const struct rn_ops *ops, void *ctx);
void rn_free(struct runner *r);

/* Orders of an entry. */
void rn_order(struct runner *r, uint64_t now, uint64_t entry, uint64_t session,
    const dw_run_group *group, const dw_run *run);
void rn_stop(struct runner *r, uint64_t now, const dw_run_ref *ref);
/* A session has ended: nothing of it may run on. */
void rn_session_ended(struct runner *r, uint64_t now, uint64_t session);

/* What the worker said. */
void rn_set_capacity(struct runner *r, uint64_t now, uint32_t millicores,
    uint32_t memory_mb, uint32_t gpus, uint64_t born_ms);
void rn_set_draining(struct runner *r, uint64_t now, bool draining,
    bool leaves, uint64_t left_ms);
/* This agent is about to end: what waits goes back. */
void rn_leave(struct runner *r, uint64_t now);
void rn_start_answered(struct runner *r, uint64_t now,
    const struct rn_key *key, enum rn_start_result result, uint64_t clock_ms);
void rn_stop_answered(
    struct runner *r, uint64_t now, const struct rn_key *key, bool answered);
void rn_poll_answered(
    struct runner *r, uint64_t now, const struct rn_poll *look);
void rn_tick(struct runner *r, uint64_t now);

/* Queries. */
bool rn_serving(const struct runner *r);
/* The worker has been told of every end that was taken. */
bool rn_outcomes_acked(const struct runner *r);
size_t rn_active_count(const struct runner *r);
/* Runs of an entry's earlier sessions. */
size_t rn_leftover_count(
    const struct runner *r, uint64_t entry, uint64_t session);
void rn_get_capacity(const struct runner *r, uint64_t now, dw_room *room);

#ifdef __cplusplus
}
#endif

#endif
