/*
 * httpc - HTTP client using libcurl's multi interface on a libev loop
 */
#ifndef HTTPC_H
#define HTTPC_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "str.h"

#ifdef __cplusplus
extern "C" {
#endif

struct httpc;
struct httpc_req;

enum httpc_status {
    HTTPC_OK,       /* a complete response, of any HTTP status */
    HTTPC_NOT_SENT, /* no connection, or before_send() returned false */
    HTTPC_FAILED_AFTER_SEND, /* failed after sending: it may have arrived */
    HTTPC_TIMEOUT            /* after sending: it may have arrived */
};

/* The result of a call, valid only during done(). */
struct httpc_result {
    enum httpc_status status;
    long http_status; /* 0 if there was no response */
    struct str body;
    const char *error; /* libcurl's message, for the log */
    /* Copies of the request that were sent; above 1 only if idempotent. */
    uint32_t sends;
};

typedef void (*httpc_done_fn)(void *ctx, const struct httpc_result *result);
/* Called immediately before the request is written; false cancels it, with
 * the result HTTPC_NOT_SENT. */
typedef bool (*httpc_before_send_fn)(void *ctx);
/* Called with each piece of the response body, which is then not collected. */
typedef void (*httpc_data_fn)(void *ctx, struct str piece);

struct httpc_call {
    const char *method; /* as in "POST" */
    const char *url;
    const char *const *headers;  /* "Name: value", NULL at the end */
    struct str body;             /* of the request; copied */
    uint32_t timeout_ms;         /* of the whole call; 0: none */
    uint32_t connect_timeout_ms; /* 0: libcurl's default */
    size_t body_max;             /* of the response in bytes; 0: 8 MB */
    /* The request may take effect more than once, and the response to any copy
     * is as good as another: if a connection breaks, a copy may be sent on
     * another one.  Always so for GET. */
    bool idempotent;
    httpc_done_fn done;
    httpc_before_send_fn before_send; /* may be NULL */
    httpc_data_fn data;               /* may be NULL */
    void *ctx;
};

/* host_connections is the maximum number of connections to each host. */
struct httpc *httpc_new(struct ev_loop *loop, uint32_t host_connections);
/* Cancel all calls and free the client. */
void httpc_free(struct httpc *h);
/* Start a call; done() is called exactly once unless the call is cancelled.
 * Must not be called from httpc_data_fn or httpc_before_send_fn. */
struct httpc_req *httpc_start(struct httpc *h, const struct httpc_call *call);
/* Cancel a call; done() is not called. */
void httpc_cancel(struct httpc_req *r);
/* Copies sent beyond the first of each call, since httpc_new(). */
uint64_t httpc_copies(const struct httpc *h);

#ifdef __cplusplus
}
#endif

#endif
