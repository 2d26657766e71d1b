/*
 * job - an owner's jobs: admission, placing, collecting, answering
 *
 * The owner of a partition keeps a record for each submission key: running,
 * ended with its answer kept, ended with the answer dropped, or refused.  A
 * resubmission attaches to the record and starts nothing.
 */
#ifndef JOB_H
#define JOB_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "act.h"
#include "place.h"
#include "subkey.h"
#include "view.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Why a request that may not start was refused. */
#define JOB_TOO_OLD "too_old"

struct job_cfg {
    uint32_t retention_ms;     /* W: how long ended jobs are remembered */
    uint32_t refuse_ms;        /* R: how long a refusal stands */
    uint32_t max_age_ms;       /* an older attempt is not admitted; below R */
    uint32_t clock_skew_ms;    /* bound on callers' clocks, for UUIDv7 keys */
    uint32_t resend_ms;        /* until an offer is replied to */
    uint32_t move_ms;          /* queued this long, a task may be moved */
    uint32_t grace_ms;         /* after the deadline, for stops to be heard */
    uint32_t waiting_max;      /* tasks waiting at this owner */
    uint64_t kept_bytes_max;   /* of answers kept for resubmissions */
    uint64_t answer_bytes_max; /* of one answer */
    bool no_moves;             /* to compare with */
    bool no_early_refusal;     /* to compare with */
};

/* Whether this process may admit jobs of a partition. */
enum job_gate {
    JOB_CLOSED, /* not the owner, or still recovering */
    JOB_OPEN,
    JOB_FROZEN /* being handed over: nothing may change here */
};

struct job_part {
    enum job_gate gate;
    uint64_t epoch;
    uint64_t incomplete_until_ms; /* records may be missing until then */
    uint64_t
        uuid7_cutoff_wall_ms; /* a UUIDv7 key made later is certainly new */
};

struct job_task {
    dw_task task;
    dw_outcome outcome; /* .state is the task's state */
    uint32_t attempt;
    uint64_t host;
    uint64_t sent_ms;
    uint64_t state_since_ms;
    bool revoking;
};

struct job_waiter {
    uint64_t entry;
    uint64_t request;
    struct job_waiter *next;
};

struct job_cust;

struct job {
    struct subkey sk;
    uint32_t partition;
    uint64_t body_hash;
    uint64_t admit_request; /* the one that the starts were charged to */
    dw_astate state;
    bool refused;     /* NOT_RUN that lapses after refuse_ms */
    bool answer_kept; /* the results are still here */
    bool stopping;    /* starts nothing more: an error, cancel or deadline */
    bool cancelled;
    char reason[64];
    uint64_t admitted_ms;
    uint64_t ended_ms;
    uint64_t expires_ms; /* when the record may be forgotten */
    uint64_t deadline_ms;
    uint32_t width;       /* tasks out at once */
    uint32_t outstanding; /* offered, queued or running */
    uint32_t waiting;     /* not offered */
    uint32_t task_count;
    struct job_task *tasks;
    uint64_t answer_bytes;
    struct job_waiter *waiters;
    struct job_cust *cust;
    struct job *prev; /* in the customer's list of running jobs */
    struct job *next;
    UT_hash_handle hh;
};

struct job_cust {
    char name[CT_NAME_MAX];
    struct job *jobs;
    uint32_t outstanding;
    uint64_t vtime;
    UT_hash_handle hh;
};

struct job_stats {
    uint64_t admitted;
    uint64_t attached;
    uint64_t refused;
    uint64_t records_lost;
    uint64_t redirected; /* told to go elsewhere or wait */
    uint64_t complete;
    uint64_t failed;
    uint64_t not_run;
    uint64_t offers;
    uint64_t offered_tasks;
    uint64_t reoffers;
    uint64_t moves;
    uint64_t late_results;
};

struct jobs {
    struct job_cfg cfg;
    const struct view *view;
    struct place *place;
    uint64_t self;
    bool may_admit;   /* the freshness gate, set by the caller */
    uint64_t wall_ms; /* wall clock, set by the caller; for UUIDv7 only */
    struct job_part parts[VIEW_PARTS];
    struct job *jobs;
    struct job_cust *customers;
    uint32_t waiting;
    uint64_t kept_bytes;
    uint64_t vtime;
    uint32_t window_ended; /* tasks ended since rate_ms */
    uint64_t window_start_ms;
    bool window_idle;          /* since rate_ms nothing waited at some time */
    uint32_t drain_rate_milli; /* tasks ended per second, times 1000 */
    uint64_t last_scan_ms;
    struct job_stats stats;
};

void jobs_init(struct jobs *j, const struct job_cfg *cfg,
    const struct view *view, struct place *place, uint64_t self);
void jobs_free(struct jobs *j);

/* Messages from entries and hosts. */
void jobs_submit(struct jobs *j, uint64_t now, uint64_t from,
    const dw_submit *s, struct acts *out);
void jobs_cancel(struct jobs *j, uint64_t now, uint64_t from,
    const dw_cancel *c, struct acts *out);
void jobs_offer_reply(struct jobs *j, uint64_t now, uint64_t from,
    const dw_offered *o, struct acts *out);
void jobs_result(struct jobs *j, uint64_t now, uint64_t from,
    const dw_result *r, struct acts *out);

/* The host is gone for good: what it held ends as unknown. */
void jobs_host_lost(
    struct jobs *j, uint64_t now, uint64_t host, struct acts *out);
void jobs_tick(struct jobs *j, uint64_t now, struct acts *out);

/* Ownership, driven by the own module. */
/* Earlier owners were silent from quiet_ms on: a key made later is new. */
void jobs_open_partition(struct jobs *j, uint64_t now, uint32_t partition,
    uint64_t epoch, uint64_t unsure_until, uint64_t quiet_ms);
void jobs_set_gate(struct jobs *j, uint32_t partition, enum job_gate gate);
/* Forget every record of a partition that is no longer ours. */
void jobs_drop_partition(struct jobs *j, uint32_t partition);
/* A start record that a host kept for a lost owner. */
void jobs_restore_record(struct jobs *j, uint64_t now, const dw_record *rec);
/* Write up to max records of a partition, from the skip-th on. */
u_int jobs_export(struct jobs *j, uint64_t now, uint32_t partition,
    size_t skip, dw_job *into, u_int max);
void jobs_import(
    struct jobs *j, uint64_t now, uint32_t partition, const dw_job *from);

/* Queries. */
size_t jobs_running(const struct jobs *j);

#ifdef __cplusplus
}
#endif

#endif
