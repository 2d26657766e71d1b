/*
 * shed - which connections a server closes to stay within its limits
 *
 * Clients may connect and send nothing, send a request and stop before its
 * end, or not read their reply.  Each of them holds a connection and memory
 * that others need.  A connection is closed when one step of it takes too
 * long, and earlier if a limit on the sum over all connections is reached.
 * Then those go first that are least likely to be of use: what has made no
 * progress for a while, then idle connections, then what has just begun, and
 * among them the oldest, as an ordinary request is received within
 * milliseconds.  A request that is being handled is never cut off.
 *
 * Times are ms of one monotonic clock.
 */
#ifndef SHED_H
#define SHED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* ms after which a connection whose request is incomplete, or whose reply is
 * not read, is the first to be closed if others need its place. */
#define SD_PATIENCE_MS 1000U

/* What a connection is doing. */
enum sd_phase {
    SD_NEW,      /* it has sent no request line yet */
    SD_IDLE,     /* its latest request was answered */
    SD_HEADER,   /* it is sending the header of a request */
    SD_BODY,     /* it is sending the body */
    SD_HANDLED,  /* its request is complete and has no reply yet */
    SD_REPLYING, /* it is receiving a reply */
    SD_PHASES
};

/* What is scarce. */
enum sd_need { SD_NEED_CONNECTION, SD_NEED_MEMORY };

struct sd_conn {
    enum sd_phase phase;
    uint64_t since_ms; /* when the phase began; SD_BODY: as its header */
    size_t bytes;      /* memory that it holds */
};

/* Limits of a server.  A time or memory_mb of 0 is no limit. */
struct sd_limits {
    uint32_t connections_max;
    uint32_t body_max;  /* bytes of a request's body */
    uint32_t idle_s;    /* without a request line */
    uint32_t header_s;  /* from the request line to the end of the header */
    uint32_t request_s; /* from the request line to the end of the body, and
                           for the reply */
    uint32_t memory_mb; /* held for all connections together */
};

/* The phase has taken longer than it may. */
bool sd_is_late(
    const struct sd_limits *l, uint64_t now, const struct sd_conn *c);
/* The connection may be closed for the sake of others. */
bool sd_may_close(const struct sd_conn *c, enum sd_need need);
/* a is closed before b; both may be closed. */
bool sd_goes_first(
    uint64_t now, const struct sd_conn *a, const struct sd_conn *b);

#ifdef __cplusplus
}
#endif

#endif
