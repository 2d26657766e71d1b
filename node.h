/*
 * node - the decision logic of one process, an entry or an agent
 *
 * It connects the modules that decide.  Every input (a message, a reply of
 * the store, a caller's request, a task's outcome, the passing of time) is a
 * call with the current time; every output is an action (act.h).  Nothing
 * here does I/O, so the daemon and the tests drive the same code.
 *
 * Times and durations are in milliseconds; `now` and points in time are on
 * the monotonic clock.
 */
#ifndef NODE_H
#define NODE_H

#include <stdbool.h>
#include <stdint.h>

#include "act.h"
#include "front.h"
#include "host.h"
#include "job.h"
#include "member.h"
#include "own.h"
#include "place.h"
#include "quota.h"
#include "sync.h"
#include "view.h"

#ifdef __cplusplus
extern "C" {
#endif

/* The purpose of a transaction, passed as the ref of ACT_TXN. */
enum node_txn {
    NODE_TXN_MAP = OWN_TXN_MAP,
    NODE_TXN_MEMBER = 2, /* this process's member record */
    NODE_TXN_CALLER = 16 /* and above: transactions of the daemon */
};

struct node_cfg {
    struct view_member me; /* id, role, name, addresses, failure domain */
    uint64_t seed;         /* of the random generators */
    struct mbr_cfg mbr;
    struct sync_cfg sync;
    struct place_cfg place;
    struct host_cfg host;
    struct job_cfg job;
    struct own_cfg own;
    struct quota_cfg quota;
    struct front_cfg front;
};

/* A customer's lender as seen by this process, and what this process must
 * know of earlier lenders before it lends. */
struct node_customer {
    char name[CT_NAME_MAX];
    bool never_lent;      /* the customer never had another lender */
    uint64_t lender;      /* in the view last seen; 0: none */
    uint64_t predecessor; /* the lender before this process, while its ledger
                             is to be requested; else 0 */
    uint64_t ledger_requested_ms; /* when the last request was sent */
    UT_hash_handle hh;
};

struct node {
    struct node_cfg cfg;
    uint64_t self; /* id of this process */
    bool agent;    /* else an entry */
    struct view view;
    struct mbr mbr;
    struct sync sync;
    struct place place;
    struct host host;
    struct jobs jobs;
    struct own own;
    struct quota_lender lender;
    struct front front;
    struct node_customer *customers; /* by name */
    bool leaving;                    /* node_leave() was called */
    bool leaving_stored;             /* the store holds that it is leaving */
    bool removed;                    /* off the member list after that */
    bool member_txn_pending;         /* of this process's member record */
    uint64_t member_txn_sent_ms;
    uint64_t listed_ms;         /* when it was last added to the list */
    uint64_t relist_backoff_ms; /* wait before it lists itself again */
    uint64_t relist_at_ms;      /* end of that wait */
    uint64_t loads_requested_ms;
    bool was_listed;       /* in the view last seen */
    bool bypass_freshness; /* tests only: shows what the freshness gate
                              prevents */
};

/* Defaults for every setting but `me` and `seed`. */
void node_defaults(struct node_cfg *cfg);
/* Copies cfg. */
void node_init(struct node *n, const struct node_cfg *cfg);
void node_free(struct node *n);

/* To be called every 10 to 50 ms.  wall_ms is the wall clock, ms since
 * 1970. */
void node_tick(
    struct node *n, uint64_t now, uint64_t wall_ms, struct acts *out);
/* A message from the process `from`.  Parts of it may be moved out; the caller
 * still frees it. */
void node_message(struct node *n, uint64_t now, uint64_t from, dw_msg *msg,
    struct acts *out);
/* The port of the process `id` refuses connections: the process is dead. */
void node_connection_refused(
    struct node *n, uint64_t now, uint64_t id, struct acts *out);

/*
 * Replies of the store.  requested_ms is when the request was sent.
 * node_store_checked() has only the store's revision, node_store_read() the
 * complete state; node_store_read_failed(): either request failed.
 */
void node_store_checked(struct node *n, uint64_t now, uint64_t requested_ms,
    uint64_t rev, struct acts *out);
void node_store_read(struct node *n, uint64_t now, uint64_t requested_ms,
    const dw_state *all, struct acts *out);
void node_store_read_failed(struct node *n);
/* The store may have changed: check it soon. */
void node_store_hint(struct node *n, uint64_t now, struct acts *out);
/* The transaction `ref` (enum node_txn) has ended. */
void node_txn_done(struct node *n, uint64_t now, uint64_t ref,
    enum txn_status status, struct acts *out);

/* Callers, at an entry; see front.h. */
enum front_status node_request(struct node *n, uint64_t now, uint64_t request,
    enum front_kind kind, dw_msg *msg, uint32_t age_ms, uint32_t deadline_ms,
    struct acts *out);
void node_caller_disconnected(struct node *n, uint64_t now, uint64_t request);

/* The backend server, at an agent. */
/* The outcome of the run `ref`: its state and the backend server's status code
 * and body. */
void node_task_ended(struct node *n, uint64_t now, uint64_t ref,
    dw_tstate state, uint32_t code, struct str body, struct acts *out);
/* Whether the backend server accepts tasks, and its slots; 0 slots: keep the
 * number. */
void node_backend_status(struct node *n, uint64_t now, bool serving,
    uint32_t slots, struct acts *out);
/* The observed usage of a task of this kind; arrives after its end. */
void node_task_usage(
    struct node *n, struct str kind, uint32_t millicores, uint32_t memory_mb);

/* Planned stop: hand partitions over, finish the tasks, leave the member
 * list. */
void node_leave(struct node *n, uint64_t now, struct acts *out);

/* Queries. */
/* May a task start here now?  Checked once more right before the request is
 * sent to the backend server. */
bool node_may_start(const struct node *n, uint64_t now);
/* Is the state fresh enough to admit work and answer for it? */
bool node_fresh(const struct node *n, uint64_t now);
/* After node_leave(): all is handed over and answered, the process may
 * exit. */
bool node_done(const struct node *n);

#ifdef __cplusplus
}
#endif

#endif
