/*
 * link - messages between dunlinweird processes
 *
 * Each message is one ONC RPC call (RFC 5531) without a reply.  Most go over
 * TCP with record marking; small ones that need no order go by UDP.  A
 * connection carries a HELLO call with a reply when it is opened and when
 * nothing else shows that the other side still receives; a connection that
 * is silent then is replaced.  Any message may be lost: the modules send
 * again.
 */
#ifndef LINK_H
#define LINK_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "err.h"
#include "proto.h"
#include "str.h"

#ifdef __cplusplus
extern "C" {
#endif

#define LINK_PROGRAM 0x20d11e14U
#define LINK_VERSION 1U
/* A message that was longer on its way is dropped, as what it says may have
 * been answered for otherwise since. */
#define LINK_TRANSIT_MS 3000U
#define LINK_RECORD_MAX (16U << 20)

enum link_status { LINK_OK, LINK_BAD_ADDRESS, LINK_NO_SOCKET };

struct link;

struct link_addr {
    const char *addr; /* numeric */
    uint16_t port;
};

struct link_events {
    /* The message may be altered; the link frees it. */
    void (*message)(void *ctx, uint64_t from, dw_msg *msg);
    /* The process's port refuses, or another process answers there. */
    void (*refused)(void *ctx, uint64_t id);
    /* Where a process listens; false if not known. */
    bool (*resolve)(void *ctx, uint64_t id, struct link_addr *out);
};

struct link_stats {
    uint64_t sent;
    uint64_t received;
    uint64_t sent_bytes;
    uint64_t received_bytes;
    uint64_t sent_by_type[32];
    uint64_t bytes_by_type[32];
    uint64_t dropped_full;  /* the peer does not read */
    uint64_t dropped_old;   /* too long on the way */
    uint64_t dropped_other; /* meant for another incarnation, or damaged */
    uint64_t replaced;      /* connections found silent */
    uint64_t hellos;
};

/* Listen on addr and port for both TCP and UDP. */
enum link_status link_open(struct link **out, struct ev_loop *loop,
    uint64_t self, const char *addr, uint16_t port,
    const struct link_events *events, void *ctx, struct err *e);
void link_close(struct link *l);
/* Queue a message.  It is lost if the peer cannot be reached. */
void link_send(struct link *l, uint64_t to, const dw_msg *msg);
/* Close the connection to a peer: the next message opens a new one. */
void link_drop(struct link *l, uint64_t to);
const struct link_stats *link_stats(const struct link *l);
/* Bytes queued for all peers. */
size_t link_backlog(const struct link *l);

#ifdef __cplusplus
}
#endif

#endif
