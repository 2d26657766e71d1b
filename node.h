/*
 * node - one process's deciding modules, joined
 *
 * Every input (a message, a store answer, a caller's request, a task's end,
 * the passing of time) is a call with the present time; every output is an
 * action.  Nothing here does I/O, so the daemon and the tests drive the same
 * code.
 */
#ifndef NODE_H
#define NODE_H

#include <stdbool.h>
#include <stdint.h>

#include "act.h"
#include "front.h"
#include "host.h"
#include "job.h"
#include "quota.h"
#include "member.h"
#include "own.h"
#include "place.h"
#include "sync.h"
#include "view.h"

#ifdef __cplusplus
extern "C" {
#endif

/* What a transaction was for; in ACT_TXN's ref. */
enum node_txn {
    NODE_TXN_MAP = OWN_TXN_MAP,
    NODE_TXN_MEMBER = 2, /* this process's own entry */
    NODE_TXN_CALLER = 16 /* and above: the daemon's own */
};

struct node_cfg {
    struct view_member me; /* id, role, name, addresses, failure domain */
    uint64_t seed;
    struct mbr_cfg mbr;
    struct sync_cfg sync;
    struct place_cfg place;
    struct host_cfg host;
    struct job_cfg job;
    struct own_cfg own;
    struct quota_cfg quota;
    struct front_cfg front;
};

/* What the home of a customer must know of the past. */
struct node_customer {
    char name[CT_NAME_MAX];
    bool never_lent; /* there was never another home */
    uint64_t lender; /* as of the view last seen; 0: none */
    uint64_t
        predecessor; /* the home before this process; 0: not to be asked */
    uint64_t ledger_requested_ms;
    UT_hash_handle hh;
};

struct node {
    struct node_cfg cfg;
    uint64_t self;
    bool agent;
    struct view view;
    struct mbr mbr;
    struct sync sync;
    struct place place;
    struct host host;
    struct jobs jobs;
    struct own own;
    struct quota_lender lender;
    struct front front;
    struct node_customer *customers;
    bool leaving;
    bool leaving_stored; /* the store has it */
    bool removed;        /* this process is off the list */
    bool member_txn_pending;
    uint64_t member_txn_sent_ms;
    uint64_t listed_ms;         /* since when this process is on the list */
    uint64_t relist_backoff_ms; /* wait before entering itself again */
    uint64_t relist_at_ms;
    uint64_t loads_requested_ms;
    bool was_listed;
    bool bypass_freshness; /* tests only: what the freshness gate is for */
};

/* Defaults for every setting but `me` and `seed`. */
void node_defaults(struct node_cfg *cfg);
void node_init(struct node *n, const struct node_cfg *cfg);
void node_free(struct node *n);

/* Time passes; call it every 10 to 50 ms. */
void node_tick(
    struct node *n, uint64_t now, uint64_t wall_ms, struct acts *out);
/* A message; its parts may be taken, the caller still frees it. */
void node_message(struct node *n, uint64_t now, uint64_t from, dw_msg *msg,
    struct acts *out);
/* A process's port refuses connections: it is gone. */
void node_connection_refused(
    struct node *n, uint64_t now, uint64_t id, struct acts *out);

/* The store. */
void node_store_checked(struct node *n, uint64_t now, uint64_t asked_ms,
    uint64_t rev, struct acts *out);
void node_store_read(struct node *n, uint64_t now, uint64_t asked_ms,
    const dw_state *all, struct acts *out);
void node_store_read_failed(struct node *n);
void node_store_hint(struct node *n, uint64_t now, struct acts *out);
void node_txn_done(struct node *n, uint64_t now, uint64_t ref,
    enum txn_status status, struct acts *out);

/* Callers, at an entry. */
enum front_status node_request(struct node *n, uint64_t now, uint64_t request,
    enum front_kind kind, dw_msg *msg, uint32_t age_ms, uint32_t deadline_ms,
    struct acts *out);
void node_caller_disconnected(struct node *n, uint64_t now, uint64_t request);

/* The backend server, at an agent. */
void node_task_ended(struct node *n, uint64_t now, uint64_t ref,
    dw_tstate state, uint32_t code, struct str body, struct acts *out);
void node_backend_status(struct node *n, uint64_t now, bool serving,
    uint32_t slots, struct acts *out);
void node_task_usage(
    struct node *n, struct str kind, uint32_t millicores, uint32_t memory_mb);

/* Leave: hand over, finish, get off the list. */
void node_leave(struct node *n, uint64_t now, struct acts *out);

/* Queries. */
/* May a task start here now?  Asked again right before the request goes. */
bool node_may_start(const struct node *n, uint64_t now);
/* May this process admit work and answer for it? */
bool node_fresh(const struct node *n, uint64_t now);
/* Everything is handed over and answered; the process may exit. */
bool node_done(const struct node *n);

#ifdef __cplusplus
}
#endif

#endif
