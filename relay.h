/*
 * relay - forwards requests that another entry starts instead of this one
 *
 * Reading a request and forwarding it costs an entry a fourth of what
 * coordinating its job costs.  So an overloaded entry (the origin) forwards
 * requests that it has not started to peer entries with spare processor time,
 * and returns their answers to the callers.  A request has one owner at any
 * time: once it has been sent, only the peer may start it, and only the peer
 * can report that it has not run.
 *
 * With scheduling.balance = "wait", peers also report their predicted waits
 * (balance.h), and a request that has just arrived from a caller may go to a
 * peer with a shorter one.
 *
 * Origin and peer keep a session (sess.h).  A peer whose lease of the origin
 * expires ends the origin's jobs, as their callers may have lost their
 * connections and send again; an origin whose lease of the peer expires
 * answers that the job was given up.  The lease plus the time that an entry's
 * runs live on after it is shorter than callers wait before they send again.
 */
#ifndef RELAY_H
#define RELAY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

#include "balance.h"
#include "coord.h"
#include "proto.h"
#include "runner.h"
#include "sess.h"
#include "str.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Peers that an origin keeps sessions with. */
#define RL_PEERS_MAX 4U
/* The same if requests are also forwarded by wait. */
#define RL_WAIT_PEERS_MAX 6U
/* ms after the last need for peers until an origin closes its sessions. */
#define RL_IDLE_CLOSE_MS 3000U
/* ms between an origin's messages: it may read late, and the peer must get a
 * fresh echo within the lease. */
#define RL_HEARTBEAT_MS 50U
/* ms for which a peer may be silent or not accept requests until it is
 * replaced, and ms after which it may be selected again. */
#define RL_REPLACE_MS 1000U
#define RL_RETRY_MS 5000U

/* ms by which a peer's loop may be late in ending an origin entry's jobs. */
#define RL_PEER_LATE_MS 150U
/* Requests are forwarded only if callers wait at least this many ms for an
 * answer before they resend a request.  Within this time a peer that lost
 * contact with this entry has ended the job, and agents that lost contact with
 * the peer have ended its runs, so a resent job never runs twice at a time. */
#define RL_RESEND_MS                                                          \
    (SESS_LEASE_MS + SESS_LEASE_MS + RN_STOP_LIMIT_MS + RN_LEASE_EXPIRY_MS +  \
        RL_PEER_LATE_MS)
/* Cancelled requests that are kept; the oldest are forgotten first. */
#define RL_CANCELLED_MAX 4096U

struct rl_forwarded;
struct rl_cancelled;

/* What became of a request that may be a copy of a forwarded one. */
enum rl_copy {
    RL_NO_COPY,
    RL_COPY_SENT, /* to the peer that has the first one */
    RL_COPY_LOST  /* that peer can't be reached and may still run it */
};

/* Another entry, to which requests may be forwarded. */
struct rl_peer {
    uint64_t id;
    struct sess sess;
    bool selected; /* this entry keeps a session with it */
    bool session_open;
    bool accepting;             /* it accepts requests, as last reported */
    uint32_t busy_permille;     /* its processor use, as last reported */
    uint64_t config_version;    /* in force there, as last reported */
    uint64_t opened_ms;         /* when the session's number was assigned */
    uint64_t last_accepting_ms; /* when selected, or last accepting */
    uint64_t retry_at_ms;       /* not selected again before */
    uint64_t forwarded_since_report; /* requests since its last report */
    struct rl_forwarded *forwarded;  /* requests not answered yet */
    struct bl_peer waits;            /* as last reported */
    dw_msg *batch;                   /* collected since the last flush */
    UT_hash_handle hh;
};

/* A request that was accepted from its origin entry. */
struct rl_accepted {
    uint64_t ref; /* assigned by the origin */
    struct rl_origin *origin;
    char *host;
    char *path;
    struct buf body;
    uint32_t remaining_ms; /* when received, until its caller stops waiting */
    void *data;            /* free for the user of this module */
    struct rl_accepted *prev;
    struct rl_accepted *next;
};

/* Another entry, which forwards requests to this one. */
struct rl_origin {
    uint64_t id;
    struct sess sess;
    uint64_t newest_session; /* number; sessions that have ended are not
                              * accepted again */
    bool session_open;
    uint64_t started_ms; /* of the session */
    uint64_t ended_ms;
    struct rl_accepted *accepted; /* requests not answered yet */
    struct bl_report waits;       /* as last reported to it */
    dw_msg *batch;                /* replies collected since the last flush */
    UT_hash_handle hh;
};

struct rl_ops {
    void (*send)(void *ctx, uint64_t to, const dw_msg *m);
    /* Starts an accepted request; it ends with rl_reply() or cancel(). */
    void (*start)(void *ctx, struct rl_accepted *a);
    /* Nobody waits for it any more; it must not be used afterwards. */
    void (*cancel)(void *ctx, struct rl_accepted *a);
    /* The answer to a request that was forwarded. */
    void (*answer)(void *ctx, void *handle, enum co_outcome outcome,
        const char *reason, uint32_t retry_ms);
    /* An event for the log; ms since the entry was last heard, 0 for a session
     * that opens. */
    void (*note)(void *ctx, uint64_t entry, const char *event, uint64_t ms);
};

/* What this entry reports to its origins. */
struct rl_state {
    bool accepting;
    uint32_t busy_permille;
    uint64_t config_version;
};

struct relay {
    const struct rl_ops *ops;
    void *ctx;
    uint64_t self; /* id of this entry */
    uint64_t next_ref;
    uint64_t peers_needed_ms; /* last call of rl_need_peers(); 0: never */
    struct rl_state state;
    /* Forwarding by wait; see rl_set_waits(). */
    bool balancing;
    struct bl_waits own_waits;
    uint64_t forwarded_by_wait; /* requests, since the start */
    uint64_t reports_sent;
    uint64_t reports_received;
    uint64_t reports_ignored; /* late, doubled or of an ended session */
    struct rl_peer *peers;
    struct rl_origin *origins;
    /* Cancelled in the last RL_RESEND_MS, oldest first, by path hash. */
    struct rl_cancelled *cancelled;
};

void rl_init(
    struct relay *r, const struct rl_ops *ops, void *ctx, uint64_t self);
void rl_free(struct relay *r);
/* An entry was added to, or removed from, the list of entries. */
void rl_add_entry(struct relay *r, uint64_t id);
void rl_remove_entry(struct relay *r, uint64_t id);
/* Sends a message to all entries of the list; it may get lost. */
void rl_broadcast(const struct relay *r, const dw_msg *m);
/* Peers are needed, or may be soon. */
void rl_need_peers(struct relay *r, uint64_t now);
/* Sets the state that is reported to origins from now on. */
void rl_set_state(struct relay *r, const struct rl_state *state);
/* Forwards a copy of a request that is forwarded, or was cancelled in the last
 * RL_RESEND_MS, to the same peer: it may still run the tasks.  To be called
 * before rl_forward(), rl_forward_by_wait() and before a start here. */
enum rl_copy rl_forward_copy(struct relay *r, uint64_t now, void *handle,
    struct str host, struct str path, struct str body, uint32_t remaining_ms);
/* The peer that a copy would be sent to may run the request. */
bool rl_may_run_elsewhere(
    const struct relay *r, uint64_t now, struct str path);
/* Forwards a request, which is sent at the next rl_flush(); false if no peer
 * accepts it. */
bool rl_forward(struct relay *r, uint64_t now, void *handle, struct str host,
    struct str path, struct str body, uint32_t remaining_ms);
/* Turns forwarding by wait on and updates the waits of this entry with those
 * predicted now; to be called before each rl_tick(). */
void rl_set_waits(struct relay *r, uint64_t now, const struct bl_waits *waits);
/* Forwards a request that has just arrived, as rl_forward(), if a peer has a
 * sufficiently shorter wait.  Never to be called for a request that was
 * forwarded to this entry. */
bool rl_forward_by_wait(struct relay *r, uint64_t now, void *handle,
    struct str service, uint32_t priority, struct str host, struct str path,
    struct str body, uint32_t remaining_ms);
/* Handles a peer's report of its waits. */
void rl_receive_waits(
    struct relay *r, uint64_t now, uint64_t from, const dw_waits *m);
/* The handle of a forwarded request for this path, or NULL. */
void *rl_find(const struct relay *r, struct str path);
/* Cancels a forwarded request, as its caller has disconnected; false if it was
 * not forwarded. */
bool rl_cancel(struct relay *r, uint64_t now, const void *handle);
/* Cancels all forwarded requests and answers them as given up. */
void rl_give_up(struct relay *r, uint64_t now, const char *reason);
/* Answers an accepted request; a must not be used afterwards. */
void rl_reply(struct rl_accepted *a, enum co_outcome outcome,
    const char *reason, uint32_t retry_ms);
/* Handles a message from an origin. */
void rl_receive_requests(
    struct relay *r, uint64_t now, uint64_t from, const dw_relay *m);
/* Handles a message from a peer. */
void rl_receive_replies(
    struct relay *r, uint64_t now, uint64_t from, const dw_relayed *m);
/* The process is known to be dead, as its port refuses connections. */
void rl_process_dead(struct relay *r, uint64_t now, uint64_t id);
/* Expires sessions, selects peers, sends heartbeats and resends messages. */
void rl_tick(struct relay *r, uint64_t now);
/* Sends the collected requests and replies. */
void rl_flush(struct relay *r, uint64_t now);

/* Queries. */
/* Every origin has acknowledged all replies. */
bool rl_replies_delivered(const struct relay *r);

#ifdef __cplusplus
}
#endif

#endif
