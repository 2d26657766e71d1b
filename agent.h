/*
 * agent - entries' sessions with the agent of one worker
 *
 * Each entry has one session here.  When an entry falls silent or its process
 * is dead, its runs are stopped; outcomes return by the session that ordered
 * the runs.  Every report contains the worker's capacity.
 *
 * Under overload, each core that comes free would go to the entry that learns
 * of it first, which is the nearest one: its late jobs would run before jobs
 * of other entries that can still meet their objective.  So entries report
 * their demand (work that they could not place), and while demand exceeds
 * free capacity, an agent offers capacity only to entries with demand: first
 * for jobs that can meet their objective, and among those to the entry with
 * the most of them, which balances the queues of the entries.  Entries that
 * report their unplaced work by urgency (demand.h) are ordered by that first.
 *
 * An overloaded entry requests fewer reports that only show changed capacity,
 * and gets outcomes of runs in fewer reports.
 *
 * Times are ms of this process's monotonic clock unless stated otherwise.
 */
#ifndef AGENT_H
#define AGENT_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "demand.h"
#include "proto.h"
#include "runner.h"
#include "sess.h"
#include "withdraw.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Minimum ms between reports to one entry that only show changed capacity, per
 * entry with an open session: the total cost of reports stays the same. */
#define AG_CAPACITY_MS_PER_ENTRY 5U
/* With at least 1/AG_AMPLE_DIVISOR of the cores free, a change of capacity is
 * reported with the next heartbeat only. */
#define AG_AMPLE_DIVISOR 3
/* Outcomes are held back for 1/AG_OUTCOMES_DIVISOR of the pause between
 * reports that an entry requests. */
#define AG_OUTCOMES_DIVISOR 4U
/* ms after the end of its session until an entry is forgotten; messages of
 * that session are rejected as too old long before. */
#define AG_FORGET_MS 60000U

/* ms after which capacity that was offered to an entry with demand and not
 * used is offered to others; a round trip takes 2 to 6. */
#define AG_OFFER_MS 20U

/* Runs of which an entry is told that they have an open start; more than a
 * worker runs. */
#define AG_OPEN_MAX 64U

/* An entry and its session with this agent. */
struct ag_entry {
    uint64_t id;
    struct sess sess;
    uint64_t newest_session; /* highest number seen; lower ones stay ended */
    bool open;               /* the session has begun and not ended */
    uint64_t opened_ms;
    uint64_t closed_ms;
    dw_want demand;              /* as last reported by the entry */
    int64_t reported_millicores; /* free, as last reported to the entry */
    uint64_t offered_ms;         /* since when it has been offered capacity for
                                    its demand; 0: no offer */
    struct dm_source source;     /* its unplaced work by urgency */
    dw_msg *batch;               /* report with outcomes, not sent yet */
    UT_hash_handle hh;
};

/* Carries out what the agent decides. */
struct ag_ops {
    /* Requests to the worker; the other functions are not called. */
    struct rn_ops worker;
    /* Sends msg to an entry; it may be lost.  The agent keeps owning msg. */
    void (*send)(void *ctx, uint64_t to, const dw_msg *msg);
    /* Opens a new connection to an entry whose session expired in silence. */
    void (*reconnect)(void *ctx, uint64_t to);
    /* For logs and counters: a run ended; it took ran_ms. */
    void (*run_ended)(
        void *ctx, const struct rn_run *run, dw_end outcome, uint32_t ran_ms);
    /* For logs: a session ended.  silent_ms is the time without a fresh
     * message, 0 if the entry's process is dead. */
    void (*session_event)(
        void *ctx, uint64_t entry, const char *event, uint64_t silent_ms);
};

struct agent {
    const struct ag_ops *ops;
    void *ctx; /* passed to ops */
    struct runner runner;
    struct ag_entry *entries;
    uint32_t open_count;      /* entries with an open session */
    bool leaving;             /* shutting down */
    struct wd_state domain;   /* whether its failure domain is withdrawn */
    uint64_t demand_received; /* DW_DEMAND that counted, since the start */
    uint64_t demand_ignored;  /* DW_DEMAND that were duplicate or late */
    uint64_t supply_sent;     /* DW_SUPPLY */
};

void ag_init(
    struct agent *a, uint64_t now, const struct ag_ops *ops, void *ctx);
void ag_free(struct agent *a);
/* Handles a message from an entry; a new session number begins a session and
 * ends the former one. */
void ag_handle_orders(
    struct agent *a, uint64_t now, uint64_t from, const dw_orders *o);
/* Handles an entry's unplaced work by urgency; only in an open session. */
void ag_handle_demand(
    struct agent *a, uint64_t now, uint64_t from, const dw_demand *d);
/* Handles an entry's word on this agent's failure domain, or what the store
 * says; true if the domain was withdrawn or is back. */
bool ag_handle_withdrawn(struct agent *a, uint64_t now, const dw_withdrawn *w);
/* The store should be read now, as no entry has confirmed the state of the
 * domain for long; counts as a read. */
bool ag_must_read_domain(struct agent *a, uint64_t now);
/* The entry's process is dead: ends its session. */
void ag_entry_dead(struct agent *a, uint64_t now, uint64_t id);
/* Sends what is due, ends expired sessions; call periodically. */
void ag_tick(struct agent *a, uint64_t now);
/* Sends collected outcomes and changed capacity; call after each event. */
void ag_flush(struct agent *a, uint64_t now);
/* Begins shutdown: starts nothing more and reports that to all entries. */
void ag_leave(struct agent *a, uint64_t now);

/* Queries. */
/* Nothing runs, and every outcome has been acknowledged. */
bool ag_done(const struct agent *a, uint64_t now);
/* Entries remembered, with an open session or without. */
size_t ag_entry_count(const struct agent *a);

#ifdef __cplusplus
}
#endif

#endif
