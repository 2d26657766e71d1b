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

/* ms the worker's lease is renewed ahead; several times RN_LOOK_MS. */
#define RN_LEASE_MS 300U
/* ms that a look waits for an end, which is how often the lease is renewed
 * at least.  Ends are learned by looks only: while one in some is lost,
 * longer ones hold answers back. */
#define RN_LOOK_MS 40U
/* ms beyond that until a look counts as lost; answers take 1 to 5. */
#define RN_LOOK_MARGIN_MS 15U
/* Looks lost in a row after which the worker counts as silent. */
#define RN_SILENT_LOOKS 3U
/* ms between looks while nothing runs. */
#define RN_IDLE_MS 500U
/* ms between looks at a worker that did not answer the last, or whose earlier
 * runs are waited for. */
#define RN_RETRY_MS 25U
/* ms without an answer until a start or stop counts as lost; answers take 1
 * to 5.  A lost start costs a task of 60 ms this, a look, a stop and a second
 * start, and still meets an aim of 180 ms. */
#define RN_ANSWER_MS 20U
/* ms in which runs of an ended session must be gone; after that the lease is
 * not renewed, for anybody, until they are. */
#define RN_STOP_MS 100U
/* Ends remembered, so that a look that was overtaken by one of them does not
 * show a run of nobody's. */
#define RN_RECENT 64U
/* The worker's clock may run slow by this part of a hundred. */
#define RN_DRIFT_PERCENT 2U

/* Local time until the worker has ended what it was told at `at` ms to keep
 * for one lease. */
#define RN_LAPSE_MS (RN_LEASE_MS + RN_LEASE_MS * RN_DRIFT_PERCENT / 100 + 20U)

/* ms of the longest lease a worker grants, its clock's drift included. */
#define RN_LONGEST_MS 1040U

/* The newest run's weight in the share of failed ones. */
#define RN_FAIL_WEIGHT 8U

/* The share of runs that failed, after one more has ended. */
static inline uint32_t
rn_fail_share(uint32_t permille, bool failed)
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
    bool seen;   /* a look has shown it */
    bool forced; /* its session is over */
    uint64_t come_ms;
    uint64_t give_up_ms; /* of waiting here */
    uint64_t sent_ms;    /* its start, then its last stop */
    uint64_t settle_ms;  /* a look asked after this tells all about it */
    uint64_t forced_ms;
    uint64_t started_ms;
    uint32_t percent;
    uint64_t percent_ms; /* when it was last seen */
    UT_hash_handle hh;
};

enum rn_start_result {
    RN_START_OK,
    RN_START_REFUSED,   /* certainly not started */
    RN_START_UNREACHED, /* the same, as no connection came about */
    RN_START_FENCED,    /* not started: a higher fence has been there */
    RN_START_LOST
};

/* What a look showed. */
struct rn_shown {
    struct rn_key key;
    uint32_t percent;
};

struct rn_end {
    uint64_t number;
    struct rn_key key;
    dw_end how;
};

struct rn_look {
    uint64_t asked_ms;
    bool quick; /* beside the one that waits */
    bool ok;
    bool unreached; /* no connection came about */
    uint64_t clock_ms;
    uint64_t born_ms;
    const struct rn_shown *running;
    size_t running_count;
    const struct rn_end *ends;
    size_t end_count;
};

/* What every order to the worker carries. */
struct rn_terms {
    uint64_t until_ms; /* of the lease, in the worker's clock; 0: as it is */
    uint64_t fence;    /* the worker does nothing for a lower one */
};

struct rn_ask {
    uint64_t ack; /* ends up to this one have been taken note of */
    uint32_t wait_ms;
    bool quick; /* beside the one that waits */
};

/* How decisions are carried out. */
struct rn_ops {
    void (*start)(
        void *ctx, const struct rn_run *r, const struct rn_terms *terms);
    void (*stop)(
        void *ctx, const struct rn_key *key, const struct rn_terms *terms);
    void (*look)(
        void *ctx, const struct rn_ask *ask, const struct rn_terms *terms);
    void (*ended)(
        void *ctx, const struct rn_run *r, dw_end how, uint32_t ran_ms);
};

struct rn_stats {
    uint64_t started;
    uint64_t done;
    uint64_t failed;
    uint64_t lost_starts;
    uint64_t lapsed;
    uint64_t orphans;
    uint64_t full;
    uint64_t reborn;
};

struct runner {
    const struct rn_ops *ops;
    void *ctx;
    struct rn_run *runs;
    uint64_t begun_ms;
    bool have_room;
    bool draining;
    uint64_t leaves_ms; /* the worker may be gone from then on; 0: stays */
    uint32_t millicores;
    uint32_t memory_mb;
    uint32_t gpus;
    int64_t used_millicores;
    int64_t used_memory_mb;
    int64_t used_gpus;
    uint64_t born_ms;
    uint64_t fence;
    uint64_t wild_ms;     /* a lease of unknown length may last until then */
    uint64_t born_at_ms;  /* when we learned it */
    uint64_t clock_ms;    /* the worker's */
    uint64_t clock_at_ms; /* ours, when it came */
    uint64_t lapse_ms;    /* the worker holds nothing of ours after it */
    uint64_t ack;
    uint64_t ack_asked; /* in the look under way */
    uint64_t ack_told;
    uint64_t look_ms;      /* when the look under way was asked; 0: none */
    uint64_t asked_ms;     /* when the last look was asked */
    uint32_t looks_failed; /* in a row */
    bool silent;           /* the worker did not answer lately */
    bool quick_out;
    struct rn_key recent[RN_RECENT];
    size_t recent_at;
    size_t orphans; /* runs of an earlier agent, as last shown */
    bool leaving;   /* this agent ends: start nothing more */
    uint64_t room_changed_ms;
    bool looked;             /* a look has succeeded */
    bool clean;              /* nothing of an earlier agent runs there */
    uint32_t speed_permille; /* usual; 1000: runs end as estimated */
    uint32_t pace_permille;  /* at present */
    uint32_t fail_permille;  /* of runs that ended lately */
    uint64_t work_us;        /* seen since it was learned last */
    uint64_t work_ms;
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
void rn_session_over(struct runner *r, uint64_t now, uint64_t session);

/* What the worker said. */
void rn_room(struct runner *r, uint64_t now, uint32_t millicores,
    uint32_t memory_mb, uint32_t gpus, uint64_t born_ms);
void rn_draining(struct runner *r, uint64_t now, bool draining, bool leaves,
    uint64_t left_ms);
/* This agent is about to end: what waits goes back. */
void rn_leave(struct runner *r, uint64_t now);
void rn_started(struct runner *r, uint64_t now, const struct rn_key *key,
    enum rn_start_result result, uint64_t clock_ms);
void rn_stopped(
    struct runner *r, uint64_t now, const struct rn_key *key, bool answered);
void rn_looked(struct runner *r, uint64_t now, const struct rn_look *look);
void rn_tick(struct runner *r, uint64_t now);

/* Queries. */
bool rn_serving(const struct runner *r);
/* The worker has been told of every end that was taken. */
bool rn_quiet(const struct runner *r);
size_t rn_active(const struct runner *r);
/* Runs of an entry's earlier sessions. */
size_t rn_leftover(const struct runner *r, uint64_t entry, uint64_t session);
void rn_tell_room(const struct runner *r, uint64_t now, dw_room *room);

#ifdef __cplusplus
}
#endif

#endif
