/*
 * member - failure detection and gossip between all processes (SWIM)
 *
 * Each period a process pings one other; without an answer it asks a few to
 * ping in its place, then suspects, then holds the process dead.  A process
 * that hears it is suspected refutes with a higher round.  Every message
 * carries a few updates: state, load, revision.
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

struct mbr_cfg {
    uint32_t period_ms;  /* one ping each */
    uint32_t timeout_ms; /* then others are asked to ping */
    uint32_t suspect_ms; /* from suspect to dead */
    uint32_t fanout;     /* how many others are asked */
};

struct mbr_peer {
    uint64_t id;
    uint32_t incarnation;
    uint64_t mod; /* of its entry in the view */
    dw_alive state;
    bool conn_refused; /* dead for certain: its port refuses connections */
    uint64_t state_since_ms;
    uint64_t heard_ms;
    uint64_t rev;
    dw_load load;
    bool have_load;
    uint32_t sends_left;
    UT_hash_handle hh;
};

struct mbr {
    struct mbr_cfg cfg;
    uint64_t self;
    uint32_t incarnation;
    uint64_t rev;
    dw_load load;
    struct mbr_peer *peers;
    uint64_t *probe_order;
    size_t probe_order_count;
    size_t probe_order_next;
    uint64_t random_state;
    uint32_t seq;
    uint64_t probe_target;
    uint64_t probe_ms;
    bool indirect_sent;
    uint64_t last_tick_ms;
    uint64_t suspects_checked_ms;
    uint64_t state_version; /* goes up whenever a state changes */
};

void mbr_init(
    struct mbr *m, const struct mbr_cfg *cfg, uint64_t self, uint64_t seed);
void mbr_free(struct mbr *m);

/* Follow the view's list of members. */
void mbr_update_members(struct mbr *m, const struct view *v, uint64_t now);
/* Ping, suspect, declare dead.  Returns true if a peer's state changed. */
bool mbr_tick(struct mbr *m, uint64_t now, struct acts *out);
/* Handle a ping, its answer or a request to ping; true as above. */
bool mbr_handle_message(struct mbr *m, uint64_t now, uint64_t from,
    const dw_msg *msg, struct acts *out);
/* The peer's port refused a connection: its process is gone. */
bool mbr_conn_refused(struct mbr *m, uint64_t now, uint64_t id);
/* Ask a peer for its load; its answer is an ordinary DW_PING_ACK. */
void mbr_request_load(struct mbr *m, uint64_t id, struct acts *out);

/* Queries.  A process not known is dead; this one is alive. */
dw_alive mbr_state(const struct mbr *m, uint64_t id);
const struct mbr_peer *mbr_peer(const struct mbr *m, uint64_t id);

#ifdef __cplusplus
}
#endif

#endif
