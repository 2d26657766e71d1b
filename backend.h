/*
 * backend - client of the backend server and the worker beside this agent
 *
 * Two tables of function pointers, each with an HTTP implementation.  The
 * backend server runs tasks; the worker holds the leases they run under,
 * stops them and reports their resource usage with a delay.
 *
 * Backend server:  POST URL/run, payload in, result out; headers Task-Ref,
 * Task-Kind, Task-Customer, Task-Key, Task-Index, Lease-Ms.
 * Worker:  POST URL/leases {"lease_ms","refs"};  POST URL/stop/REF;
 * GET URL/usage?since=N.
 */
#ifndef BACKEND_H
#define BACKEND_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "host.h"
#include "httpc.h"

#ifdef __cplusplus
extern "C" {
#endif

struct backend;

struct backend_events {
    /* Called immediately before the request is sent; false cancels it. */
    bool (*may_start)(void *ctx, uint64_t ref);
    /* The outcome of a task; code is the HTTP status, body the result. */
    void (*ended)(void *ctx, uint64_t ref, dw_tstate state, uint32_t code,
        struct str body);
    /* Resource usage that the worker reported for a kind of task. */
    void (*usage)(
        void *ctx, struct str kind, uint32_t millicores, uint32_t memory_mb);
};

struct backend_server_ops {
    void (*run)(struct backend *b, const struct host_run *r);
};

struct backend_worker_ops {
    /* Renew the leases of all running tasks. */
    void (*renew)(struct backend *b);
    void (*stop)(struct backend *b, uint64_t ref);
    /* Request usage reported since the last request. */
    void (*usage)(struct backend *b);
};

struct backend_cfg {
    uint32_t lease_ms;
    uint32_t timeout_ms; /* of requests to the worker */
};

struct backend *backend_new(struct ev_loop *loop, struct httpc *http,
    const struct backend_cfg *cfg, const struct backend_events *events,
    void *ctx);
void backend_free(struct backend *b);
/* Set the base URLs; either may be "" while it is unknown. */
void backend_set_urls(
    struct backend *b, const char *server, const char *worker);
/* Start a task; backend_events.ended reports its outcome. */
void backend_run(struct backend *b, const struct host_run *r);
/* Request that the worker stops a task. */
void backend_stop(struct backend *b, uint64_t ref);

#ifdef __cplusplus
}
#endif

#endif
