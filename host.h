/*
 * host - starting tasks on this worker's backend server, at most once
 *
 * Owners offer tasks; the host queues them, starts what fits its slots,
 * cores and memory, and reports each end until the partition's owner has
 * acknowledged it.  It keeps a start record for every task it was offered,
 * for the resubmission window, and refuses a second start of the same task
 * as well as any offer under an epoch older than the newest it has seen for
 * the partition.
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

struct host_cfg {
    uint32_t slots;
    uint32_t millicores;
    uint32_t memory_mb;
    uint32_t queue_max;    /* tasks waiting here */
    uint32_t retention_ms; /* W: how long start records are kept */
    uint32_t resend_ms;    /* until a result is acknowledged */
    uint32_t bypass_ms;    /* a larger task may be passed over this long */
    bool trust_declared;   /* do not learn sizes; to compare with */
    bool no_records;       /* tests only: what the start records are for */
    bool no_epochs;        /* tests only: what the epochs are for */
};

struct host_task_rec {
    uint32_t index;
    uint32_t attempt;
    dw_tstate state;
};

/* The start records of one submission. */
struct host_rec {
    struct subkey sk;
    uint32_t partition;
    uint32_t job_task_count; /* tasks of the whole job */
    uint64_t last_used_ms;
    struct host_task_rec *tasks;
    size_t task_rec_count;
    UT_hash_handle hh;
};

/* One task from its offer until its result is acknowledged. */
struct host_run {
    uint64_t ref;
    struct host_rec *rec;
    uint64_t epoch;
    uint32_t attempt;
    dw_task task;
    dw_tstate state;
    dw_outcome outcome;
    uint32_t millicores; /* counted: the larger of declared and learned */
    uint32_t memory_mb;
    uint64_t queued_ms;
    uint64_t started_ms;
    uint64_t deadline_ms;
    uint64_t sent_ms;
    bool stopping;
    struct host_cust *cust;
    struct host_run *prev;
    struct host_run *next;
    UT_hash_handle hh;
};

/* A customer's queue here. */
struct host_cust {
    char name[CT_NAME_MAX];
    struct host_run *queue;
    uint32_t queued;
    uint32_t running;
    uint64_t vtime; /* weighted service received */
    UT_hash_handle hh;
};

/* What tasks of one kind were seen to use. */
struct host_kind {
    char name[CT_NAME_MAX];
    uint32_t millicores;
    uint32_t memory_mb;
    uint32_t run_ms;
    uint32_t samples;
    UT_hash_handle hh;
};

struct host_stats {
    uint64_t started;
    uint64_t ended;
    uint64_t refused_duplicate; /* offers of a task already recorded */
    uint64_t refused_epoch;     /* offers under an old epoch */
    uint64_t refused_full;
    uint64_t released; /* queued tasks given back unstarted */
    uint64_t resent;
};

struct host {
    struct host_cfg cfg;
    const struct view *view;
    uint64_t next_ref;
    bool may_start; /* the freshness gate, set by the caller before a call */
    bool serving;   /* the backend server takes work */
    uint64_t announced_ms; /* when it last said so; 0: never */
    struct host_rec *recs;
    struct host_run *runs;
    struct host_cust *customers;
    struct host_kind *kinds;
    uint64_t epochs[VIEW_PARTS];
    uint32_t busy;
    uint32_t queued;
    uint32_t used_millicores;
    uint32_t used_memory_mb;
    uint32_t error_permille;
    uint64_t vtime;
    uint64_t fleet_slots;
    uint64_t last_scan_ms;
    struct host_stats stats;
};

void host_init(struct host *h, const struct host_cfg *cfg,
    const struct view *view, uint64_t self);
void host_free(struct host *h);

/* Messages from owners. */
void host_offer(struct host *h, uint64_t now, uint64_t from,
    const dw_offer *offer, struct acts *out);
void host_revoke(struct host *h, uint64_t now, uint64_t from,
    const dw_revoke *revoke, struct acts *out);
void host_fence(struct host *h, uint64_t now, uint64_t from,
    const dw_fence *fence, struct acts *out);
void host_result_acked(struct host *h, const dw_result_ack *ack);

/* The backend server has ended a task: DONE, ERROR, STOPPED, UNKNOWN, or
 * NOT_STARTED when it is certain that the request never left. */
void host_task_ended(struct host *h, uint64_t now, uint64_t ref,
    dw_tstate state, uint32_t code, struct str body, struct acts *out);
/* What a task was seen to use; reports lag behind its end. */
void host_task_usage(
    struct host *h, struct str kind, uint32_t millicores, uint32_t memory_mb);
/* The backend server announces itself or leaves. */
void host_set_serving(struct host *h, uint64_t now, bool serving,
    uint32_t slots, struct acts *out);
/* Give every task not started back to its owner. */
void host_release(struct host *h, uint64_t now, struct acts *out);
/* Start what fits, resend results, forget old records. */
void host_tick(struct host *h, uint64_t now, struct acts *out);
/* Follow the fleet's size, which the guaranteed shares are taken from. */
void host_view_changed(struct host *h);

/* Queries. */
const struct host_run *host_find_run(const struct host *h, uint64_t ref);
void host_load(const struct host *h, dw_load *load);
/* Tasks queued or running, and results not acknowledged. */
size_t host_pending(const struct host *h);

#ifdef __cplusplus
}
#endif

#endif
