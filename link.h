/*
 * link - message transport between dunlinweird processes
 *
 * Each message is one ONC RPC call (RFC 5531) without a reply.  Most are sent
 * over TCP with record marking; small ones that need no ordering are sent as
 * UDP datagrams.  A HELLO call, which has a reply, is sent when a connection
 * is opened and when no message has confirmed that the peer still receives;
 * a connection without a reply is closed and the next message opens another.
 * Any message may be lost: the modules above retransmit.
 */
#ifndef LINK_H
#define LINK_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "err.h"
#include "proto.h"
#include "shed.h"
#include "str.h"

#ifdef __cplusplus
extern "C" {
#endif

#define LINK_PROGRAM 0x20d11e14U
#define LINK_VERSION 1U
/* A message that spent longer in transit is dropped on receipt: its sender may
 * have given up on it and reported another outcome. */
#define LINK_TRANSIT_MAX_MS 3000U
#define LINK_RECORD_MAX_BYTES (16U << 20)

enum link_status { LINK_OK, LINK_BAD_ADDRESS, LINK_NO_SOCKET };

/* One process's listening sockets and its connections to all peers. */
struct link;

/* Where a process listens, for both TCP and UDP. */
struct link_addr {
    const char *addr; /* numeric IPv4 address */
    uint16_t port;
};

/* Callbacks.  Processes are identified by id; a restarted process has a new
 * one. */
struct link_events {
    /* A message from a peer.  The callback may modify it; the link frees it
     * afterwards. */
    void (*message)(void *ctx, uint64_t from, dw_msg *msg);
    /* A process's port refuses connections, or another process answers
     * there: the process with this id is not running. */
    void (*refused)(void *ctx, uint64_t id);
    /* Look up where a process listens; false if unknown. */
    bool (*resolve)(void *ctx, uint64_t id, struct link_addr *out);
};

/* Counters since link_open(). */
struct link_stats {
    uint64_t sent;     /* messages encoded by link_send() */
    uint64_t received; /* messages delivered */
    uint64_t sent_bytes;
    uint64_t received_bytes;
    uint64_t sent_by_type[32]; /* messages, by dw_mtype */
    uint64_t sent_bytes_by_type[32];
    uint64_t dropped_full;  /* the peer's send queue was full */
    uint64_t dropped_old;   /* too long in a send queue or in transit */
    uint64_t dropped_other; /* for another process, malformed or too long */
    uint64_t connections_replaced; /* closed as the peer did not reply */
    uint64_t hellos;               /* HELLO calls sent */
    /* Accepted connections that were closed; see shed.h. */
    uint64_t closed_late;
    uint64_t closed_crowded;
    uint64_t closed_memory;
};

/* Listen on a numeric IPv4 address and port for both TCP and UDP.  self is
 * this process's id.  The limits hold for accepted connections: body_max for a
 * record, idle_s between two records, request_s for a record to be received.
 * On an error *out is not set and e describes it. */
enum link_status link_open(struct link **out, struct ev_loop *loop,
    uint64_t self, const struct link_addr *at, const struct sd_limits *limits,
    const struct link_events *events, void *ctx, struct err *e);
void link_close(struct link *l);
/* Encode and send or queue a message; msg stays the caller's.  The message is
 * lost if the peer is unreachable or does not read. */
void link_send(struct link *l, uint64_t to, const dw_msg *msg);
/* Close the connection to a peer and discard its queue; the next message opens
 * a new connection. */
void link_disconnect(struct link *l, uint64_t to);
const struct link_stats *link_stats(const struct link *l);
/* Bytes queued to all peers. */
size_t link_queued_bytes(const struct link *l);

#ifdef __cplusplus
}
#endif

#endif
