/*
 * fleet - the agents as one entry sees them: sessions, free capacity, choice
 *
 * An entry keeps a session with every agent that it selects.  Each report
 * gives the free capacity of the agent's worker and acknowledges the orders
 * that this figure covers; orders sent later are subtracted here.  Orders
 * that other entries have sent since the report are not known.
 */
#ifndef FLEET_H
#define FLEET_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "proto.h"
#include "sess.h"
#include "tail.h"
#include "withdraw.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Bytes of a name, with its terminating NUL. */
#define FL_NAME_MAX 64
/* ms between attempts to open a session; a round trip takes 2 to 6 ms. */
#define FL_OPEN_RETRY_MS 150U
/* ms after which a session that has not opened gets a new number. */
#define FL_OPEN_TIMEOUT_MS 1000U

/*
 * Agents of one service that an entry keeps sessions with.  Sessions between
 * all pairs would grow with the square of the fleet, and entries that all see
 * the same free cores overcommit them and have runs returned.  Half of the
 * agents are local, which keeps most traffic within the failure domain.
 */
#define FL_SELECTED_MAX 24U
#define FL_LOCAL_MAX 12U
/* ms for which all agents are selected after a task arrived that no selected
 * worker can hold. */
#define FL_SELECT_ALL_MS 60000U
/* ms after which an agent without an open session is no longer expected to
 * return; a fleet that lost power is back within 500 ms. */
#define FL_RECOVERY_MS 1000U
/* ms between selections. */
#define FL_SELECT_INTERVAL_MS 200U
/* ms without an open session after which a selected agent is replaced by
 * another, and ms, counted from the same time, after which it may be selected
 * again. */
#define FL_NO_REPLY_MS 2000U
#define FL_RETRY_MS 12000U

/* Resources of the orders in one message that the agent's last report did not
 * cover. */
struct fl_pending {
    struct fl_pending *next;
    uint64_t seq; /* of the message */
    int64_t millicores;
    int64_t memory_mb;
    int64_t gpus;
};

/* An agent and its worker.  Times are ms of this process's clock. */
struct fl_agent {
    uint64_t id;
    char name[FL_NAME_MAX];
    char domain[FL_NAME_MAX];
    char service[FL_NAME_MAX]; /* run by its worker */
    bool member;               /* listed in the platform's store */
    bool session_open;
    bool leftover;  /* in its last report: runs of an earlier session may be
                     * left there */
    bool withdrawn; /* its failure domain is */
    struct wd_told told;  /* what it was told of that */
    bool selected;        /* this entry keeps a session with it */
    uint64_t selected_ms; /* when selected, or last seen with an open session;
                           * kept while an agent that did not reply waits to be
                           * retried; 0: not selected */
    struct sess sess;
    uint64_t opened_ms;    /* when the session's number was assigned */
    uint64_t closed_ms;    /* since when the session is not open; 0: it is */
    uint64_t open_sent_ms; /* last attempt to open the session */
    dw_room status;        /* of the worker, as last reported */
    struct fl_pending *pending; /* in the order of seq */
    int64_t free_millicores;    /* reported free capacity less pending orders
                                 * and the batch; may be negative */
    int64_t free_memory_mb;
    int64_t free_gpus;
    uint64_t run_sent_ms;        /* last run that was sent */
    uint32_t active_runs;        /* of this entry, waiting or running there */
    uint32_t fail_permille;      /* of this entry's recent runs there */
    uint64_t probation_until_ms; /* no run is sent until then */
    uint32_t probation_ms;   /* length of the last probation; 0: none since a
                              * run succeeded */
    struct tl_worker tail;   /* with moves = "distribution" */
    dw_want demand;          /* unplaced work, as last sent to the agent */
    uint64_t demand_sent_ms; /* when it was sent */
    dw_msg *batch;           /* orders collected since the last flush */
    uint64_t batch_millicores;
    uint64_t batch_memory_mb;
    uint64_t batch_gpus;
    UT_hash_handle hh;
};

/* All agents known to an entry. */
struct fleet {
    struct fl_agent *agents;
    uint64_t seed;                /* of random choices */
    char domain[FL_NAME_MAX];     /* the entry's own failure domain */
    uint32_t local_rank;          /* of this entry among those of its domain */
    uint32_t rank;                /* of this entry among all */
    uint64_t selected_ms;         /* last selection */
    uint64_t select_all_until_ms; /* all agents are selected until then */
    bool all_selected;            /* all agents are selected now */
    uint32_t mean_fail_permille;  /* failed runs, mean of usable workers */
    uint32_t median_speed_permille; /* median of usable workers */
    bool slow_by_evidence; /* a slow pace alone makes no worker slow */
};

/* Requirements of a run on the worker that it is placed on. */
struct fl_requirements {
    const char *service;
    uint32_t millicores;
    uint32_t memory_mb;
    uint32_t gpus;
    uint32_t est_ms;      /* estimated run time at usual speed */
    uint32_t waited_ms;   /* since the job arrived */
    bool failed;          /* an earlier run of the task failed */
    bool fast_only;       /* exclude slow workers and avoid_agent */
    uint64_t avoid_agent; /* an earlier run failed or was slow there; 0:
                           * none */
};

/* Totals over the workers of a service, in millicores. */
struct fl_totals {
    int64_t capacity;   /* of usable workers */
    int64_t free;       /* of these, rounded down to tasks; on a slow worker,
                         * scaled by its pace */
    int64_t recovering; /* of workers that may be back soon */
    double mean_pace;   /* of this entry's runs there; 1: usual speed */
    double paced_capacity; /* capacity, weighted by the workers' pace */
};

void fl_init(struct fleet *f, uint64_t seed, const char *domain);
void fl_free(struct fleet *f);
/* The agent with this id, or NULL. */
struct fl_agent *fl_find(struct fleet *f, uint64_t id);
/* Adds an agent, or updates the names of a known one. */
struct fl_agent *fl_add(struct fleet *f, uint64_t id, const char *name,
    const char *domain, const char *service);
void fl_remove(struct fleet *f, struct fl_agent *a);
/* Sets the withdrawn failure domains; those not listed are in service. */
void fl_set_withdrawn(struct fleet *f, const char *const *domains, size_t n);
/* Sets this entry's rank, by which entries spread over the agents. */
void fl_set_rank(struct fleet *f, uint32_t local_rank, uint32_t rank);
/* Selects the agents to keep sessions with. */
void fl_select(struct fleet *f, uint64_t now);
/* Closes the session with an agent that is no longer selected. */
void fl_deselect(struct fl_agent *a, uint64_t now);
/* Selects all agents for FL_SELECT_ALL_MS, as no selected worker can hold a
 * task.  False if all were selected already. */
bool fl_select_all(struct fleet *f, uint64_t now);
/* Starts a session under a new number.  It is open once the agent replies;
 * the caller sends heartbeats until then. */
void fl_open(struct fleet *f, uint64_t now, struct fl_agent *a);
/* Ends the session and discards the batch and all counts that belong to it. */
void fl_close(struct fl_agent *a);
/* Stores the worker's status from a report that acknowledged messages up to
 * ack. */
void fl_update_status(struct fl_agent *a, uint64_t ack, const dw_room *status);
/* Subtracts a run that was added to the agent's batch. */
void fl_reserve(
    struct fl_agent *a, uint64_t now, const struct fl_requirements *req);
/* The batch was sent as message seq. */
void fl_batch_sent(struct fl_agent *a, uint64_t seq);
/* Records a run's outcome.  A worker whose runs mostly fail goes on probation:
 * it gets single runs, at growing intervals, until one succeeds. */
void fl_run_ended(struct fl_agent *a, uint64_t now, dw_end outcome);
/* Updates the median speed and the mean failure share of usable workers. */
void fl_update_stats(struct fleet *f, uint64_t now);
/* The best agent that can take the run now, or NULL. */
struct fl_agent *fl_pick(
    struct fleet *f, uint64_t now, const struct fl_requirements *req);

/* Queries. */
/* The worker's present pace is far below the median speed; with
 * slow_by_evidence, this is also not due to long tasks. */
bool fl_is_slow(const struct fleet *f, const struct fl_agent *a);
/* The agent holds no run of this entry, and no message to it is collected or
 * unacknowledged. */
bool fl_is_idle(const struct fl_agent *a);
/* The agent may be sent runs: its session is alive, its worker serves and does
 * not drain, its failure domain is not withdrawn. */
bool fl_is_usable(const struct fl_agent *a, uint64_t now);
/* Totals over the workers of a service (NULL: of all).  Free capacity is
 * counted in tasks of task_millicores (1: of any size). */
struct fl_totals fl_total(const struct fleet *f, uint64_t now,
    const char *service, uint32_t task_millicores);
/* No usable worker of the service could hold the run even if empty; false if
 * no usable worker is known. */
bool fl_never_fits(
    const struct fleet *f, uint64_t now, const struct fl_requirements *req);

#ifdef __cplusplus
}
#endif

#endif
