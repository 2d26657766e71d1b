/*
 * runner - an agent's exact account of the runs on its worker
 *
 * Only this agent starts runs on its worker, so its reservations are exact: a
 * run holds its resources from before its start is sent until its end is
 * certain, also while it is being stopped.  All runs depend on one lease on
 * the worker, which is renewed a short time ahead: if this process freezes or
 * dies, the worker ends every run within RN_LEASE_MS.
 *
 * Times named now and *_ms are ms of this process's monotonic clock unless
 * stated otherwise.
 *
 * A start whose answer is lost is sent again to the same worker, which
 * executes one of the two.  The end of a run is not reported while such a
 * start may still be executed, as its entry would place the task on another
 * worker.
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

/* Length of the worker's lease in ms; several times RN_POLL_MS. */
#define RN_LEASE_MS 300U
/* ms that a poll waits on the worker for an outcome, and so the longest time
 * between renewals of the lease.  Outcomes are learned by polls only: when
 * polls get lost, a longer wait delays answers. */
#define RN_POLL_MS 40U
/* ms beyond the wait until a poll counts as lost; answers take 1 to 5. */
#define RN_POLL_MARGIN_MS 15U
/* Polls lost in a row after which the worker counts as silent. */
#define RN_SILENT_POLLS 3U
/* ms between polls while nothing runs. */
#define RN_IDLE_POLL_MS 500U
/* ms from a poll to the next that rn_tick() sends while the worker is silent,
 * has or may have runs (also of an earlier agent) or lacks an
 * acknowledgement. */
#define RN_RETRY_POLL_MS 25U
/* ms without an answer until a start or stop counts as lost; answers take 1
 * to 5.  A lost start costs a task of 60 ms this time, a poll and a second
 * start, and the task still meets an objective of 180 ms. */
#define RN_ANSWER_TIMEOUT_MS 20U
/* ms within which runs of an ended session must have stopped; after that the
 * lease is not renewed, for any run, until they have. */
#define RN_STOP_LIMIT_MS 100U
/* The same for a run that its entry has stopped, as the job's caller may
 * submit it to another entry (resend.h).  Longer than a usual stop, which
 * takes up to 100 ms on a loaded machine: until it is over, no run is started
 * either. */
#define RN_ORDERED_STOP_LIMIT_MS 150U
/* Ended runs remembered: the answer of a poll that was sent before the end was
 * known does not report the run as unknown, and a report that proves untrue is
 * noticed after seconds without contact, at some hundred runs a second. */
#define RN_ENDS_MAX 1024U
/* The worker's clock may run slow by this percentage. */
#define RN_DRIFT_PERCENT 2U

/* ms of local time from a renewal until the worker has certainly ended all
 * runs, unless the lease was renewed again. */
#define RN_LEASE_EXPIRY_MS                                                    \
    (RN_LEASE_MS + RN_LEASE_MS * RN_DRIFT_PERCENT / 100 + 20U)

/* ms for which a start without an answer may still be executed.  The worker
 * refuses it once its lease is over; but one that has restarted under its
 * former id measures that time on a new clock, and knows neither the stop nor
 * the fence. */
#define RN_LATE_START_MS 15000U

/* Longest lease in ms that a worker grants, its clock's drift included. */
#define RN_LEASE_MAX_MS 1040U

#define RN_WORKER_ID_MAX 64U /* bytes, including the terminating NUL */

/* The average of failures takes 1/RN_FAIL_WEIGHT from the newest run. */
#define RN_FAIL_WEIGHT 8U

/* Moving average of failed runs in permille, after one more has ended. */
static inline uint32_t
rn_fail_average(uint32_t permille, bool failed)
{
    return (permille * (RN_FAIL_WEIGHT - 1) + (failed ? 1000 : 0)) /
           RN_FAIL_WEIGHT;
}

/* Identifies one run of task `index` of a job. */
struct rn_key {
    uint64_t job;
    uint64_t run;
    uint64_t index;
};

enum rn_state {
    RN_QUEUED,   /* waits here, holds no resources */
    RN_STARTING, /* start sent, not answered yet */
    RN_UNSURE,   /* the answer to the start was lost */
    RN_RUNNING,
    RN_STOPPING, /* stop sent, end not certain yet */
    RN_HELD      /* over, but an open start may still be executed */
};

/* What shows that a run has ended. */
enum rn_evidence {
    RN_EVIDENCE_NONE,
    RN_EVIDENCE_LISTED,         /* the worker lists its end */
    RN_EVIDENCE_REFUSED,        /* the worker refused the start */
    RN_EVIDENCE_FENCED,         /* refused: it has seen a higher fence */
    RN_EVIDENCE_UNREACHABLE,    /* no connection for the start */
    RN_EVIDENCE_ABSENT_STOPPED, /* a stop was answered, and a poll sent after
                                   it did not show the run */
    RN_EVIDENCE_ABSENT,         /* it ran, and a poll does not show it */
    RN_EVIDENCE_LEASE,          /* the lease ran out without renewal */
    RN_EVIDENCE_NOT_SENT,       /* no start was sent: no capacity */
    RN_EVIDENCE_DROPPED,        /* no start was sent: stopped while queued */
    RN_EVIDENCE_COUNT
};

/* A run that an entry ordered, until its end is certain. */
struct rn_run {
    struct rn_key key;
    uint64_t entry;   /* id of the entry that ordered it */
    uint64_t session; /* of that entry with this agent */
    uint32_t millicores;
    uint32_t memory_mb;
    uint32_t gpus;
    uint32_t est_ms; /* estimated run time */
    uint32_t priority;
    char *spec; /* the job's task specification */
    enum rn_state state;
    enum rn_evidence evidence; /* of its end; set before `ended` is called */
    dw_end outcome;            /* set with evidence */
    bool reported;             /* a poll has shown it running */
    uint64_t received_ms;
    uint64_t wait_until_ms; /* refused as full if it is still queued then */
    uint64_t sent_ms;       /* when its start, later its last stop, was sent */
    uint32_t starts;        /* sent */
    uint32_t open_starts;   /* of these, neither answered nor known to have
                               been executed */
    uint64_t late_until_ms; /* open starts may be executed until then */
    bool unnamed;           /* a start of it did not name its worker */
    bool unwanted;          /* stopped by its entry, or its session ended */
    /* A poll sent after this time decides whether the run exists; UINT64_MAX
     * while a stop has not been answered. */
    uint64_t conclusive_ms;
    /* The lease is not renewed after this time while the run may be on the
     * worker; 0: no limit. */
    uint64_t gone_by_ms;
    uint64_t started_ms;       /* when its start was sent; 0: not confirmed */
    uint32_t progress_percent; /* as the worker last reported */
    uint64_t progress_ms;      /* when that report arrived */
    struct rn_run *prev;       /* in runner.held */
    struct rn_run *next;
    UT_hash_handle hh;
};

/* Result of a start request. */
enum rn_start_result {
    RN_START_OK,
    RN_START_REFUSED,     /* certainly not started */
    RN_START_UNREACHABLE, /* not started: connection failed */
    RN_START_FENCED,      /* not started: worker has seen a higher fence */
    RN_START_LOST         /* no answer: may have started, may start later */
};

/* A run that a poll showed running. */
struct rn_poll_run {
    struct rn_key key;
    uint32_t percent; /* progress */
};

/* How a run ended, as the worker reports it. */
struct rn_outcome {
    uint64_t seq; /* ascending within one incarnation of the worker */
    struct rn_key key;
    dw_end outcome;
};

/* Answer of a poll, or its failure. */
struct rn_poll {
    uint64_t sent_ms; /* when the poll was sent */
    bool immediate;   /* sent beside the poll that waits for an outcome */
    bool ok; /* answered; if not, fields below unreachable are unset */
    bool unreachable; /* failed as no connection could be made */
    bool fenced;      /* refused: the worker has seen a higher fence */
    bool partial; /* a run that is in neither list may exist or have ended */
    uint64_t worker_clock_ms;
    uint64_t incarnation; /* start time of the worker's program, ms */
    const struct rn_poll_run *running;
    size_t running_count;
    const struct rn_outcome *outcomes; /* not acknowledged, oldest first */
    size_t outcome_count;
};

/* Sent with every request to the worker. */
struct rn_terms {
    /* New end of the lease by the worker's clock; 0 leaves it unchanged. */
    uint64_t lease_until_ms;
    /* Fencing number; the worker refuses one lower than it has seen. */
    uint64_t fence;
    /* The worker for which a start or a renewal is meant; any other refuses
     * it. Empty: not known, and in other requests.  Valid during the call. */
    struct str worker_id;
};

struct rn_poll_request {
    uint64_t ack;     /* outcomes up to this number were processed */
    uint32_t wait_ms; /* how long the worker may wait for an outcome */
    bool immediate;   /* sent beside the poll that waits for an outcome */
};

/* An ended run, as it was reported. */
struct rn_end {
    struct rn_key key;
    dw_end outcome;
    enum rn_evidence evidence;
    uint64_t ended_ms; /* when its end was certain */
    bool contradicted; /* already told */
};

enum rn_event_kind {
    RN_EVENT_SILENT,    /* contact with the worker is lost */
    RN_EVENT_ANSWERS,   /* a poll is answered again */
    RN_EVENT_RESTARTED, /* the worker has a new incarnation */
    RN_EVENT_ORPHANS,   /* runs that are not known here appeared there */
    RN_EVENT_NO_ORPHANS,
    RN_EVENT_END_CONTRADICTED, /* the worker lists another outcome than was
                                  reported */
    RN_EVENT_ALIVE,            /* it shows a run that was reported as ended */
    RN_EVENT_START_REPEATED,   /* a start was lost and is sent again */
    RN_EVENT_HELD              /* the report of an end waits for open starts */
};

/* A change in what is known of the worker, or proof that a report was untrue,
 * for logs; fields that a kind does
 * not name are 0. */
struct rn_event {
    enum rn_event_kind kind;
    size_t active;         /* runs that hold resources */
    uint64_t unheard_ms;   /* since its last answer; SILENT, ANSWERS,
                              RESTARTED */
    uint32_t polls_failed; /* in a row; SILENT, ANSWERS */
    size_t outcomes;       /* that the answer brought; ANSWERS */
    uint64_t former;       /* incarnation; RESTARTED */
    uint64_t incarnation;  /* RESTARTED */
    size_t orphans;        /* ORPHANS */
    struct rn_key key;     /* of the first orphan, or of the run; ORPHANS,
                              START_REPEATED, HELD */
    uint32_t open_starts;  /* START_REPEATED, HELD */
    uint64_t hold_ms;      /* until the report, at most; HELD */
    struct rn_end end;     /* as reported; END_CONTRADICTED, ALIVE */
    uint64_t since_ms;     /* since that end; END_CONTRADICTED, ALIVE */
    dw_end outcome;        /* as listed; END_CONTRADICTED; of the run; HELD */
    uint32_t percent;      /* progress of the run; ALIVE */
};

/*
 * Requests to the worker and the report of outcomes.  start, stop and poll
 * return at once; their results come back by rn_start_answered(),
 * rn_stop_answered() and rn_poll_answered().
 */
struct rn_ops {
    void (*start)(
        void *ctx, const struct rn_run *r, const struct rn_terms *terms);
    void (*stop)(
        void *ctx, const struct rn_key *key, const struct rn_terms *terms);
    void (*poll)(void *ctx, const struct rn_poll_request *request,
        const struct rn_terms *terms);
    /* The run's end is certain; it took ran_ms, 0 if no start was
     * confirmed. */
    void (*ended)(
        void *ctx, const struct rn_run *r, dw_end outcome, uint32_t ran_ms);
    void (*event)(void *ctx, const struct rn_event *e);
    /* False if a session has been over for RN_STOP_LIMIT_MS and
     * rn_session_ended() has not been called yet, as after a pause. */
    bool (*sessions_checked)(void *ctx, uint64_t now);
};

/* Counters since rn_init(). */
struct rn_stats {
    uint64_t started; /* starts sent */
    uint64_t done;
    uint64_t failed;
    uint64_t lost_starts;   /* starts without an answer */
    uint64_t repeated;      /* starts that were sent again */
    uint64_t held;          /* ends whose report waited for open starts */
    uint64_t lease_expired; /* runs lost because the lease ran out */
    uint64_t orphans;       /* running there but not known here */
    uint64_t no_capacity;   /* refused as full */
    uint64_t worker_restarts;
    uint64_t not_run[RN_EVIDENCE_COUNT]; /* DW_END_NOT_RUN, by evidence */
    uint64_t contradicted; /* reports of an end that proved untrue */
};

struct runner {
    const struct rn_ops *ops;
    void *ctx;
    struct rn_run *runs;
    uint32_t runs_max;   /* further ones are refused; 0: no limit */
    struct rn_run *held; /* in state RN_HELD; not in runs */
    uint64_t started_ms; /* when rn_init() was called */
    bool capacity_known; /* reported by the worker's present incarnation */
    bool draining;
    bool withdrawn;          /* its failure domain: gets no starts */
    uint64_t worker_exit_ms; /* the worker may exit from then on; 0: stays */
    uint32_t millicores;     /* total, as are the next two */
    uint32_t memory_mb;
    uint32_t gpus;
    int64_t used_millicores; /* by all runs but queued ones */
    int64_t used_memory_mb;
    int64_t used_gpus;
    uint64_t incarnation; /* of the worker; 0: not known yet */
    /* Of the incarnation that told its capacity last; empty: unknown. */
    char worker_id[RN_WORKER_ID_MAX];
    uint64_t fence;
    uint64_t fence_step; /* last added as the worker refused it; 0: none */
    /* After a restart of the worker, a lease of unknown length may last until
     * then; 0: none. */
    uint64_t unknown_lease_until_ms;
    bool former_refused; /* calls to former incarnations name another id */
    uint64_t unnamed_ms; /* last start or renewal that named no worker */
    uint64_t incarnation_seen_ms; /* when a restart was noticed; 0: none */
    uint64_t worker_clock_ms;     /* as last reported; 0: not known */
    uint64_t worker_clock_at_ms;  /* our clock when that report arrived */
    uint64_t lease_expiry_ms; /* the worker runs nothing of ours after it */
    uint64_t ack;             /* highest outcome processed */
    uint64_t ack_sent;        /* in the pending poll */
    uint64_t ack_confirmed;   /* in the last poll that was answered */
    uint64_t poll_ms;         /* when the pending poll was sent; 0: none */
    uint64_t last_poll_ms;    /* when the last poll was sent */
    uint32_t polls_failed;    /* in a row */
    bool silent;              /* no answer lately; gets no starts */
    uint64_t silent_from_ms;  /* its last answer before it fell silent */
    bool immediate_pending;
    struct rn_end ends[RN_ENDS_MAX]; /* ring of ended runs */
    size_t ends_next; /* runs ended; modulo the size, the next slot */
    size_t orphans;   /* running there but not known here, at the last poll */
    bool leaving;     /* this agent shuts down: start nothing more */
    uint64_t capacity_changed_ms;
    bool polled; /* a poll of the present incarnation has succeeded */
    bool clean;  /* no run of an earlier agent is left on the worker */
    uint32_t speed_permille;  /* long-term; 1000: runs end as estimated */
    uint32_t pace_permille;   /* short-term, same unit */
    uint32_t fail_permille;   /* moving average of failed runs */
    uint64_t work_est_us;     /* progress since the last poll, as estimated */
    uint64_t work_elapsed_ms; /* time that this progress took */
    struct rn_stats stats;
};

void rn_init(
    struct runner *r, uint64_t now, const struct rn_ops *ops, void *ctx);
void rn_free(struct runner *r);

/* Orders of an entry. */
/* Starts a run at once, or reports it as DW_END_FULL if it cannot start now.
 * It is queued only while another run of its task is active here.  An order
 * that is known already changes nothing. */
void rn_order(struct runner *r, uint64_t now, uint64_t entry, uint64_t session,
    const dw_run_group *group, const dw_run *order);
/* Stops a run, if it is known here. */
void rn_stop(struct runner *r, uint64_t now, const dw_run_ref *ref);
/* Stops all runs of a session, which was over at over_ms, at the latest now;
 * queued ones are dropped without a report. */
void rn_session_ended(
    struct runner *r, uint64_t now, uint64_t session, uint64_t over_ms);

/* Reports of the worker. */
/* Capacity announced by the worker, total or free: the largest values of an
 * incarnation count as its total.  A newer incarnation means a restart. */
void rn_set_capacity(struct runner *r, uint64_t now, uint32_t millicores,
    uint32_t memory_mb, uint32_t gpus, uint64_t incarnation);
/* The id under which an incarnation announces itself; a worker that restarts
 * has a new one or keeps it.  To be called before rn_set_capacity(). */
void rn_set_worker_id(
    struct runner *r, uint64_t now, uint64_t incarnation, struct str id);
/* A worker in a withdrawn failure domain gets no starts; what runs goes on. */
void rn_set_withdrawn(struct runner *r, uint64_t now, bool withdrawn);
/* A draining worker gets no starts; if it also leaves, it exits in left_ms. */
void rn_set_draining(struct runner *r, uint64_t now, bool draining,
    bool leaves, uint64_t left_ms);
/* This agent shuts down: refuses queued runs and starts nothing more. */
void rn_leave(struct runner *r, uint64_t now);
/* clock_ms is the worker's clock, 0 if not known. */
void rn_start_answered(struct runner *r, uint64_t now,
    const struct rn_key *key, enum rn_start_result result, uint64_t clock_ms);
void rn_stop_answered(
    struct runner *r, uint64_t now, const struct rn_key *key, bool answered);
void rn_poll_answered(
    struct runner *r, uint64_t now, const struct rn_poll *poll);
/* Sends what is due: polls, repeated stops, starts; call periodically. */
void rn_tick(struct runner *r, uint64_t now);

/* Queries. */
/* The worker takes starts. */
bool rn_serving(const struct runner *r);
/* The worker has received the acknowledgement of every outcome. */
bool rn_outcomes_acked(const struct runner *r);
/* Runs that hold resources: all but queued ones. */
size_t rn_active_count(const struct runner *r);
/* Runs of an entry's earlier sessions, held ones included. */
size_t rn_leftover_count(
    const struct runner *r, uint64_t entry, uint64_t session);
/* Runs of a session of which a start has got lost and may still be executed,
 * at most n; writes their references. */
size_t rn_open_runs(const struct runner *r, uint64_t now, uint64_t session,
    dw_run_ref *out, size_t n);
/* Runs in state RN_HELD. */
size_t rn_held_count(const struct runner *r);
/* All runs reported as DW_END_NOT_RUN. */
uint64_t rn_not_run_count(const struct rn_stats *st);
/* Fills in total and free capacity, queued runs deducted, and speeds. */
void rn_get_capacity(const struct runner *r, uint64_t now, dw_room *capacity);

#ifdef __cplusplus
}
#endif

#endif
