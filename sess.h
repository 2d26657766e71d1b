/*
 * sess - a session between two processes: liveness and reliable, ordered
 * delivery
 *
 * A session carries messages over the link, which may lose them, and delivers
 * each once and in order.  Each message echoes the receiver's clock, so both
 * sides know how recently the other was alive without comparing clocks.  A
 * session that received no fresh echo for SESS_LEASE_MS is over for good: the
 * agent stops the entry's runs, and the entry counts them as lost once the
 * agent can no longer act on its messages (sess_peer_expiry_ms()).
 *
 * Source: Gray and Cheriton: Leases, SOSP 1989 (here without synchronised
 * clocks).
 */
#ifndef SESS_H
#define SESS_H

#include <stdbool.h>
#include <stdint.h>

#include "act.h"

#ifdef __cplusplus
extern "C" {
#endif

/* ms; survives two lost heartbeats and the pause of a processor quota. */
#define SESS_LEASE_MS 350U
/* ms between messages on an idle session. */
#define SESS_HEARTBEAT_MS 100U
/* ms without an acknowledgement after which messages are sent again; an
 * acknowledgement comes with the next heartbeat at the latest. */
#define SESS_RESEND_MS 150U

enum sess_verdict {
    SESS_DROP,    /* of another session or too old; ignore it */
    SESS_NO_DATA, /* fresh, but a heartbeat, a duplicate or out of order */
    SESS_DELIVER  /* the next message in order; process its contents */
};

struct sess_item;

/* One side of a session.  Times are ms of this process's clock. */
struct sess {
    uint64_t number;           /* 0: none */
    uint64_t peer_clock_ms;    /* the peer's clock, as last received */
    uint64_t peer_clock_at_ms; /* when it was received */
    uint64_t echoed_at_ms;     /* peer_clock_at_ms of the newest clock that was
                                * echoed */
    uint64_t own_clock_echo_ms; /* newest own clock that the peer echoed */
    uint64_t last_sent_ms;
    uint64_t send_seq;      /* of the last message enqueued */
    uint64_t acked_seq;     /* of the last message acknowledged */
    uint64_t recv_seq;      /* of the last message delivered */
    struct sess_item *head; /* unacknowledged messages, oldest first */
    struct sess_item **tail;
};

/* Prepares the structure; there is no session yet. */
void sess_init(struct sess *s);
/* Discards unacknowledged messages and starts a new session. */
void sess_begin(struct sess *s, uint64_t number);
/* Ends the session and discards unacknowledged messages. */
void sess_end(struct sess *s);
/* Fills in the head of a message that may be lost; the caller sends it at
 * once. */
void sess_fill_head(struct sess *s, uint64_t now, dw_msg *msg);
/* Fills in the head of a message that must be delivered and keeps it, as its
 * owner, until it is acknowledged; the caller sends it at once. */
void sess_enqueue(struct sess *s, uint64_t now, dw_msg *msg);
/* The next message to send again, with an updated head: after msg or, if msg
 * is NULL, the oldest one if it is due.  NULL if there is none. */
dw_msg *sess_next_resend(struct sess *s, uint64_t now, const dw_msg *msg);
/* If the oldest unacknowledged message is due, sends it and all later ones
 * again to the process `to`. */
void sess_resend(struct sess *s, uint64_t now, uint64_t to,
    void (*send)(void *ctx, uint64_t to, const dw_msg *msg), void *ctx);
/* Processes the head of a received message; the verdict says what to do with
 * its contents. */
enum sess_verdict sess_receive(
    struct sess *s, uint64_t now, const dw_head *head);

/* Queries. */
/* The peer was certainly alive within the lease. */
bool sess_live(const struct sess *s, uint64_t now);
/* Nothing was sent for SESS_HEARTBEAT_MS. */
bool sess_heartbeat_due(const struct sess *s, uint64_t now);
/* The time from which the peer acts on no message sent so far. */
uint64_t sess_peer_expiry_ms(const struct sess *s);

#ifdef __cplusplus
}
#endif

#endif
