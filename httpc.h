/*
 * httpc - HTTP requests to others, by libcurl multi on the libev loop
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
    HTTPC_OK,
    HTTPC_NOT_SENT,  /* refused or prevented: nothing has left */
    HTTPC_CONN_LOST, /* it may have arrived */
    HTTPC_TIMEOUT    /* it may have arrived */
};

struct httpc_result {
    enum httpc_status status;
    long http_status; /* HTTP status, 0 if none */
    struct str body;
    const char *error; /* of the library, for the log */
};

typedef void (*httpc_done_fn)(void *ctx, const struct httpc_result *done);
/* Called right before the request is written; false keeps it from going. */
typedef bool (*httpc_before_send_fn)(void *ctx);
/* Called with each piece of the answer, in place of keeping it. */
typedef void (*httpc_data_fn)(void *ctx, struct str piece);

struct httpc_call {
    const char *method;
    const char *url;
    const char *const *headers; /* "Name: value", NULL at the end */
    struct str body;
    uint32_t timeout_ms;         /* 0: none */
    uint32_t connect_timeout_ms; /* 0: the library's */
    size_t body_max;             /* of the answer; 0: 8 MB */
    httpc_done_fn done;
    httpc_before_send_fn before_send; /* may be NULL */
    httpc_data_fn data;               /* may be NULL */
    void *ctx;
};

struct httpc *httpc_new(struct ev_loop *loop, uint32_t host_connections);
void httpc_free(struct httpc *h);
/* Start a call; done() is called exactly once unless it is cancelled. */
struct httpc_req *httpc_start(struct httpc *h, const struct httpc_call *call);
/* Drop a call; done() is not called. */
void httpc_cancel(struct httpc_req *r);

#ifdef __cplusplus
}
#endif

#endif
