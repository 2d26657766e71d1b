/*
 * job - jobs of the partitions that this process owns
 *
 * Admits jobs, offers their tasks to hosts, collects the outcomes and answers
 * the entries.  The owner of a partition keeps one record for each submission
 * key: running, ended with its answer kept, ended with its answer dropped, or
 * refused.  A resubmission under a known key attaches to the record and
 * starts nothing.  All times are in ms of this process's monotonic clock
 * unless stated otherwise.
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

/* Refusal reason: the request is older than job_cfg.max_age_ms. */
#define JOB_TOO_OLD "too_old"

/* Settings. */
struct job_cfg {
    uint32_t retention_ms;   /* W: how long the records of ended jobs stay */
    uint32_t refuse_ms;      /* R: least time that a refusal stays recorded */
    uint32_t max_age_ms;     /* an older request is not admitted; must be
                                below refuse_ms */
    uint32_t clock_skew_ms;  /* bound on callers' clocks, for UUIDv7 keys */
    uint32_t resend_ms;      /* between resends of an unanswered offer */
    uint32_t move_ms;        /* a task queued this long may be moved */
    uint32_t grace_ms;       /* after a job's deadline, time for the outcomes
                                of stopped tasks to arrive */
    uint32_t waiting_max;    /* tasks not yet offered, over all jobs here */
    uint64_t kept_bytes_max; /* answers kept for resubmissions, in total */
    uint64_t answer_bytes_max; /* results of one job */
    bool no_moves;             /* experiments: never move queued tasks */
    bool no_early_refusal;     /* experiments: admit jobs whose deadline
                                  cannot be met */
};

/* Whether this process may admit and change jobs of a partition. */
enum job_gate {
    JOB_CLOSED, /* not the owner, or still recovering records */
    JOB_OPEN,
    JOB_FROZEN /* in hand-over: records must not change here */
};

/* A partition, as far as this process owns it. */
struct job_part {
    enum job_gate gate;
    uint64_t epoch;
    uint64_t incomplete_until_ms;  /* records of earlier owners may be missing
                                      until then; 0: none are */
    uint64_t uuid7_cutoff_wall_ms; /* wall clock; a UUIDv7 key created later,
                                      allowing for skew, is unused */
};

/* A task of a job, as its owner knows it. */
struct job_task {
    dw_task task;
    dw_outcome outcome; /* .state is the task's current state */
    uint32_t attempt;   /* goes up each time a host is chosen */
    uint64_t host;      /* id of the host it was last offered to */
    uint64_t sent_ms;   /* last offer or revoke sent */
    uint64_t state_since_ms;
    bool revoking; /* a revoke was sent and not yet replied to */
};

/* A request of an entry that gets the job's answer. */
struct job_waiter {
    uint64_t entry;
    uint64_t request;
    struct job_waiter *next;
};

struct job_cust;

/* The record of one submission key. */
struct job {
    struct subkey sk;
    uint32_t partition;
    uint64_t body_hash;     /* of the submitted body; 0: not known */
    uint64_t admit_request; /* the request whose starts were charged */
    dw_astate state;
    bool refused;     /* NOT_RUN; the key may be admitted after expires_ms */
    bool answer_kept; /* the results are still in memory */
    bool stopping;    /* starts no more tasks: error, cancel or deadline */
    bool cancelled;
    char reason[64]; /* why the job stopped or was refused; "" if not */
    uint64_t admitted_ms;
    uint64_t ended_ms;
    uint64_t expires_ms; /* when the record of an ended job is removed */
    uint64_t deadline_ms;
    uint32_t width;       /* most tasks outstanding at once */
    uint32_t outstanding; /* tasks offered, queued or running */
    uint32_t waiting;     /* tasks to be offered */
    uint32_t task_count;
    struct job_task *tasks; /* task_count of them, by index */
    uint64_t answer_bytes;  /* results held in tasks[] */
    struct job_waiter *waiters;
    struct job_cust *cust; /* NULL unless the job is running */
    struct job *prev;      /* in the customer's list of running jobs */
    struct job *next;
    UT_hash_handle hh;
};

/* A customer's running jobs and its share of the offers. */
struct job_cust {
    char name[CT_NAME_MAX];
    struct job *jobs;
    uint32_t outstanding;
    uint64_t vtime; /* virtual time of weighted fair queueing */
    UT_hash_handle hh;
};

/* Counts since the process started. */
struct job_stats {
    uint64_t admitted;
    uint64_t attached;     /* requests that joined a known key's record */
    uint64_t refused;      /* refusals recorded */
    uint64_t records_lost; /* answered UNKNOWN, as records may be missing */
    uint64_t redirected;   /* answered MOVED: not ready, or too old */
    uint64_t complete;     /* jobs by final state */
    uint64_t failed;
    uint64_t not_run;
    uint64_t offers; /* offer messages, with resends */
    uint64_t offered_tasks;
    uint64_t reoffers;     /* tasks in resent offers */
    uint64_t moves;        /* queued tasks revoked to place them elsewhere */
    uint64_t late_results; /* outcomes of tasks not outstanding there */
};

/* All jobs of this process. */
struct jobs {
    struct job_cfg cfg;
    const struct view *view;
    struct place *place;
    uint64_t self;    /* id of this process */
    bool may_admit;   /* freshness gate, set by the caller before a call */
    uint64_t wall_ms; /* wall clock, set by the caller; for UUIDv7 keys */
    struct job_part parts[VIEW_PARTS];
    struct job *jobs; /* by submission key; oldest first */
    struct job_cust *customers;
    uint32_t waiting;      /* tasks to be offered, over all jobs */
    uint64_t kept_bytes;   /* results held, over all jobs */
    uint64_t vtime;        /* of the customer last served */
    uint32_t window_ended; /* tasks ended since window_start_ms */
    uint64_t window_start_ms;
    bool window_idle; /* no task was waiting at some time in the window */
    uint32_t drain_rate_milli; /* tasks ended per second, times 1000,
                                  smoothed; 0: not known */
    uint64_t last_scan_ms;
    struct job_stats stats;
};

/* Keeps the pointers; all partitions are closed. */
void jobs_init(struct jobs *j, const struct job_cfg *cfg,
    const struct view *view, struct place *place, uint64_t self);
void jobs_free(struct jobs *j);

/* Handlers of messages from entries (submit, cancel) and from hosts. */
void jobs_submit(struct jobs *j, uint64_t now, uint64_t from,
    const dw_submit *s, struct acts *out);
void jobs_cancel(struct jobs *j, uint64_t now, uint64_t from,
    const dw_cancel *c, struct acts *out);
/* The reply to an offer or to a revoke. */
void jobs_offer_reply(struct jobs *j, uint64_t now, uint64_t from,
    const dw_offered *o, struct acts *out);
/* Not acknowledged while the partition is not open here; the host then
 * resends it to the next owner. */
void jobs_result(struct jobs *j, uint64_t now, uint64_t from,
    const dw_result *r, struct acts *out);

/* The host was removed and does not return: its outstanding tasks end as
 * UNKNOWN and their jobs stop. */
void jobs_host_lost(
    struct jobs *j, uint64_t now, uint64_t host, struct acts *out);
/* Resends, deadlines, moves of queued tasks, expiry of records. */
void jobs_tick(struct jobs *j, uint64_t now, struct acts *out);

/* Changes of ownership; called by the own module. */
/* Opens a partition.  Records may be missing until incomplete_until_ms (0:
 * none are).  Earlier owners admitted nothing after quiet_ms, so a UUIDv7 key
 * created later is unused. */
void jobs_open_partition(struct jobs *j, uint64_t now, uint32_t partition,
    uint64_t epoch, uint64_t incomplete_until_ms, uint64_t quiet_ms);
void jobs_set_gate(struct jobs *j, uint32_t partition, enum job_gate gate);
/* Removes all records of a partition and closes it. */
void jobs_drop_partition(struct jobs *j, uint32_t partition);
/* Rebuilds a job's record from a host's start record, after its owner was
 * lost.  The job counts as failed ("owner_lost"). */
void jobs_restore_record(struct jobs *j, uint64_t now, const dw_record *rec);
/* Writes up to max records of a partition to into[], after skipping the first
 * `skip`.  Returns how many were written. */
u_int jobs_export(struct jobs *j, uint64_t now, uint32_t partition,
    size_t skip, dw_job *into, u_int max);
/* Adds one exported record; ignored if the key is known. */
void jobs_import(
    struct jobs *j, uint64_t now, uint32_t partition, const dw_job *from);

/* Number of running jobs. */
size_t jobs_running(const struct jobs *j);

#ifdef __cplusplus
}
#endif

#endif
