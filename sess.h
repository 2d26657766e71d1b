/*
 * sess - a session between two processes: liveness, order, no losses
 *
 * A session carries messages over the link, which may lose them, in order and
 * once each.  Each message echoes the receiver's clock, so both sides know
 * without comparing clocks how recently the other was alive.  A session that
 * heard nothing fresh for SESS_LEASE_MS is over for good: the entry's runs at
 * the agent are stopped, and the entry counts them as lost once the agent
 * cannot act on them any more (sess_over_at()).
 *
 * Source: Gray and Cheriton: Leases, SOSP 1989 (without common clocks).
 */
#ifndef SESS_H
#define SESS_H

#include <stdbool.h>
#include <stdint.h>

#include "act.h"

#ifdef __cplusplus
extern "C" {
#endif

/* ms; survives two lost heartbeats and a processor quota's pause. */
#define SESS_LEASE_MS 350U
/* ms between messages when there is nothing to say. */
#define SESS_BEAT_MS 100U
/* ms without an acknowledgement until messages are sent again: an
 * acknowledgement travels with the next heartbeat at the latest. */
#define SESS_RESEND_MS 150U

enum sess_verdict {
    SESS_DROP, /* of another session, too old, or out of order */
    SESS_BEAT, /* nothing new but its age */
    SESS_TAKE  /* the next message; act on what it says */
};

struct sess_item;

struct sess {
    uint64_t number; /* 0: none */
    uint64_t their_clock;
    uint64_t heard_ms;  /* when their_clock was learned */
    uint64_t echoed_ms; /* heard_ms of the newest clock that we echoed */
    uint64_t fresh_ms;  /* our clock as the other last echoed it */
    uint64_t sent_ms;
    uint64_t out_seq;
    uint64_t acked;
    uint64_t in_seq;
    struct sess_item *head; /* not acknowledged, oldest first */
    struct sess_item **tail;
};

void sess_init(struct sess *s);
/* Drop what was not acknowledged and begin anew. */
void sess_begin(struct sess *s, uint64_t number);
void sess_end(struct sess *s);
/* Make ready a message that may be lost; send it now. */
void sess_stamp(struct sess *s, uint64_t now, dw_msg *msg);
/* Make ready a message that must arrive; send it now.  The session owns it
 * until it is acknowledged. */
void sess_keep(struct sess *s, uint64_t now, dw_msg *msg);
/* The next message to send again, after msg or the first; NULL when done. */
dw_msg *sess_again(struct sess *s, uint64_t now, const dw_msg *msg);
/* Send again all that is due, to a peer. */
void sess_resend(struct sess *s, uint64_t now, uint64_t to,
    void (*send)(void *ctx, uint64_t to, const dw_msg *msg), void *ctx);
enum sess_verdict sess_take(struct sess *s, uint64_t now, const dw_head *head);

/* Queries. */
/* The other side was alive within the lease. */
bool sess_live(const struct sess *s, uint64_t now);
bool sess_beat_due(const struct sess *s, uint64_t now);
/* From when on the other side acts on nothing that this one sent. */
uint64_t sess_over_at(const struct sess *s);

#ifdef __cplusplus
}
#endif

#endif
