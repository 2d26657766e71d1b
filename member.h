/*
 * member - failure detection and gossip between all processes (SWIM)
 *
 * Each period a process pings one other.  Without an answer it asks a few
 * others to ping that process, then suspects it, and finally declares it dead.
 * A process that learns that it is suspected refutes this with a higher
 * incarnation (field round of messages).  Every message carries a few updates:
 * state, load and view revision.
 *
 * Source: Das, Gupta, Motivala: SWIM, DSN 2002.
 */
#ifndef MEMBER_H
#define MEMBER_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "act.h"
#include "view.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Settings. */
struct mbr_cfg {
    uint32_t period_ms;  /* from a ping to the next, to another process */
    uint32_t timeout_ms; /* without an answer until others are asked to ping */
    uint32_t suspect_ms; /* from suspected to declared dead */
    uint32_t fanout;     /* number of others asked to ping */
};

/* Another process that the view lists. */
struct mbr_peer {
    uint64_t id;
    uint32_t incarnation; /* that `state` refers to */
    uint64_t mod;         /* modification revision of its key in the view */
    dw_alive state;
    bool conn_refused; /* certainly dead: its port refused a connection */
    uint64_t state_since_ms;
    uint64_t heard_ms; /* last update from the process itself */
    uint64_t rev;      /* its view's revision, as of heard_ms */
    dw_load load;      /* as of heard_ms */
    bool have_load;
    uint32_t sends_left; /* messages that will still carry its update */
    UT_hash_handle hh;
};

struct mbr {
    struct mbr_cfg cfg;
    uint64_t self;        /* id of this process */
    uint32_t incarnation; /* of this process */
    uint64_t rev;         /* our view's revision; set by the caller */
    dw_load load;         /* our load; set by the caller */
    struct mbr_peer *peers;
    uint64_t *probe_order; /* ids of all peers, shuffled */
    size_t probe_order_count;
    size_t probe_order_next;
    uint64_t random_state;
    uint32_t seq;          /* of the newest probe; see mbr_request_load() */
    uint64_t probe_target; /* whose answer is awaited; 0: none */
    uint64_t probe_ms;     /* when the newest probe was due */
    bool indirect_sent;    /* others were asked to ping probe_target */
    uint64_t last_tick_ms;
    uint64_t suspects_checked_ms;
    uint64_t state_version; /* incremented whenever a peer's state changes */
};

void mbr_init(
    struct mbr *m, const struct mbr_cfg *cfg, uint64_t self, uint64_t seed);
void mbr_free(struct mbr *m);

/* Adopts the view's list of members. */
void mbr_update_members(struct mbr *m, const struct view *v, uint64_t now);
/* Sends due pings, suspects peers and declares them dead.  Returns true if a
 * peer's state changed. */
bool mbr_tick(struct mbr *m, uint64_t now, struct acts *out);
/* Handles DW_PING, DW_PING_ACK and DW_PING_REQ.  Returns true if a peer's
 * state changed. */
bool mbr_handle_message(struct mbr *m, uint64_t now, uint64_t from,
    const dw_msg *msg, struct acts *out);
/* The peer's port refused a connection, so its process is dead.  Returns true
 * if its state changed. */
bool mbr_conn_refused(struct mbr *m, uint64_t now, uint64_t id);
/* Requests a peer's load; it arrives with an ordinary DW_PING_ACK. */
void mbr_request_load(struct mbr *m, uint64_t id, struct acts *out);

/* Queries.  An unknown process counts as dead, this one as alive. */
dw_alive mbr_state(const struct mbr *m, uint64_t id);
/* NULL if not known. */
const struct mbr_peer *mbr_peer(const struct mbr *m, uint64_t id);

#ifdef __cplusplus
}
#endif

#endif
