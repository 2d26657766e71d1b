/*
 * host - starting tasks on this agent's backend server, at most once
 *
 * Owners offer tasks; the host queues them, starts those that fit its slots,
 * cores and memory, and resends each outcome until the partition's owner has
 * acknowledged it.  It keeps a start record of every task offered to it, for
 * the resubmission window (W).  It refuses a second start of a recorded task,
 * and any offer under an epoch older than the newest known for the partition.
 */
#ifndef HOST_H
#define HOST_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "act.h"
#include "subkey.h"
#include "view.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Settings and the size of the backend server. */
struct host_cfg {
    uint32_t slots; /* tasks running at once */
    uint32_t millicores;
    uint32_t memory_mb;
    uint32_t queue_max;    /* most tasks queued here; tasks within a
                              guarantee may exceed it */
    uint32_t retention_ms; /* W: how long start records are kept */
    uint32_t resend_ms;    /* between resends of an unacknowledged result */
    uint32_t bypass_ms;    /* how long smaller tasks may start before a
                              queued one that does not fit */
    bool trust_declared;   /* experiments: use declared sizes only */
    bool no_records;       /* tests only: accept tasks that are recorded */
    bool no_epochs;        /* tests only: accept offers under an old epoch */
};

/* The start record of one task. */
struct host_task_rec {
    uint32_t index;
    uint32_t attempt; /* the newest one known here */
    dw_tstate state;
};

/* The start records of one submission. */
struct host_rec {
    struct subkey sk;
    uint32_t partition;
    uint32_t job_task_count; /* tasks of the job, here and elsewhere */
    uint64_t last_used_ms;
    struct host_task_rec *tasks; /* tasks offered to this host */
    size_t task_rec_count;
    UT_hash_handle hh;
};

/* One task from its offer until its result is acknowledged. */
struct host_run {
    uint64_t ref; /* names the run in ACT_START, ACT_STOP and results */
    struct host_rec *rec;
    uint64_t epoch; /* of the offer */
    uint32_t attempt;
    dw_task task;
    dw_tstate state;
    dw_outcome outcome;
    uint32_t millicores; /* reserved: the larger of declared and measured */
    uint32_t memory_mb;
    uint64_t queued_ms;
    uint64_t started_ms;  /* 0: not started */
    uint64_t deadline_ms; /* it is not started from then on */
    uint64_t sent_ms;     /* result last sent */
    bool stopping;        /* ACT_STOP was issued */
    struct host_cust *cust;
    struct host_run *prev; /* in the customer's queue */
    struct host_run *next;
    UT_hash_handle hh;
};

/* A customer's queue at this host. */
struct host_cust {
    char name[CT_NAME_MAX];
    struct host_run *queue; /* in order of arrival */
    uint32_t queued;
    uint32_t running;
    uint64_t vtime; /* virtual time of weighted fair queueing */
    UT_hash_handle hh;
};

/* Measured use of tasks of one kind. */
struct host_kind {
    char name[CT_NAME_MAX];
    uint32_t millicores;
    uint32_t memory_mb;
    uint32_t run_ms; /* not used */
    uint32_t samples;
    UT_hash_handle hh;
};

/* Counts since the process started. */
struct host_stats {
    uint64_t started;
    uint64_t ended;
    uint64_t refused_duplicate; /* offers of a task already recorded */
    uint64_t refused_epoch;     /* offers and revokes under an old epoch */
    uint64_t refused_full;      /* queue full, or not serving */
    uint64_t released;          /* queued tasks that ended unstarted */
    uint64_t resent;            /* results */
};

/* The tasks of one backend server. */
struct host {
    struct host_cfg cfg;
    const struct view *view;
    uint64_t next_ref;
    bool may_start; /* freshness gate, set by the caller before a call */
    bool serving;   /* the backend server accepts work */
    uint64_t announced_ms; /* the backend server's last announcement; 0: none;
                              set by the caller */
    struct host_rec *recs; /* by submission key; ordered by last offer or
                              revoke */
    struct host_run *runs; /* by ref */
    struct host_cust *customers;
    struct host_kind *kinds;
    uint64_t epochs[VIEW_PARTS]; /* newest epoch seen, by partition */
    uint32_t busy;               /* tasks running */
    uint32_t queued;
    uint32_t used_millicores; /* reserved for running tasks */
    uint32_t used_memory_mb;
    uint32_t error_permille; /* failed tasks, moving average */
    uint64_t vtime;          /* of the customer last served */
    uint64_t fleet_slots;    /* slots of all agents in service */
    uint64_t last_scan_ms;
    struct host_stats stats;
};

/* Keeps `view`.  `self`, the id of this process, makes refs unique. */
void host_init(struct host *h, const struct host_cfg *cfg,
    const struct view *view, uint64_t self);
void host_free(struct host *h);

/* Handlers of messages from owners.  Each offer and revoke is replied to with
 * the state of the tasks that it names. */
void host_offer(struct host *h, uint64_t now, uint64_t from,
    const dw_offer *offer, struct acts *out);
/* Releases queued tasks; with revoke->stop also stops running ones. */
void host_revoke(struct host *h, uint64_t now, uint64_t from,
    const dw_revoke *revoke, struct acts *out);
/* Raises the epoch of partitions, releases their queued tasks and sends their
 * start records to the new owner. */
void host_fence(struct host *h, uint64_t now, uint64_t from,
    const dw_fence *fence, struct acts *out);
/* An owner has received results: removes their runs. */
void host_result_acked(struct host *h, const dw_result_ack *ack);

/* A started task has ended: DONE, ERROR, STOPPED or UNKNOWN, or NOT_STARTED
 * if the request certainly never left this process. */
void host_task_ended(struct host *h, uint64_t now, uint64_t ref,
    dw_tstate state, uint32_t code, struct str body, struct acts *out);
/* The measured use of a task of this kind; may come after its end. */
void host_task_usage(
    struct host *h, struct str kind, uint32_t millicores, uint32_t memory_mb);
/* Whether the backend server accepts work, and its slots (0: as before).  If
 * it does not, all queued tasks are released. */
void host_set_serving(struct host *h, uint64_t now, bool serving,
    uint32_t slots, struct acts *out);
/* Returns all queued tasks to their owners as NOT_STARTED. */
void host_release(struct host *h, uint64_t now, struct acts *out);
/* Starts what fits, resends results, removes expired records. */
void host_tick(struct host *h, uint64_t now, struct acts *out);
/* Call after each change of the view: updates fleet_slots, from which the
 * host's part of a customer's guaranteed slots is computed. */
void host_view_changed(struct host *h);

/* Queries. */
/* NULL if there is no such run. */
const struct host_run *host_find_run(const struct host *h, uint64_t ref);
/* Fills in the slots, the free capacity and the failure rate. */
void host_load(const struct host *h, dw_load *load);
/* Tasks queued or running, and results not acknowledged. */
size_t host_pending(const struct host *h);

#ifdef __cplusplus
}
#endif

#endif
