/*
 * daemon - what the I/O modules of dunlinweird share
 *
 * Internal: the loop, the node that decides, and the sides that carry its
 * actions out.  One loop on one thread; nothing here blocks.  Calls go one
 * way: dunlinweird (loop, events), api and ops (callers, operators), metric,
 * carry; an answer goes up by the function pointer that is handed down.
 */
#ifndef DAEMON_H
#define DAEMON_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "back.h"
#include "conf.h"
#include "httpc.h"
#include "link.h"
#include "node.h"
#include "store.h"
#include "trail.h"
#include "web.h"

struct op;

struct daemon {
    struct ev_loop *loop;
    const char *conf_path;
    struct conf conf;
    struct node node;
    struct link *link;
    struct httpc *http;      /* the store */
    struct httpc *back_http; /* the backend server and the worker */
    struct store *store;
    struct back *back;
    struct web *web;
    struct trail *trail;
    struct acts acts;
    /* Gives an answer to the caller that waits for it. */
    void (*answer)(struct daemon *d, uint64_t request, const dw_answer *a);
    bool carrying_out;
    ev_timer tick;
    ev_signal term;
    ev_signal intr;
    ev_signal hup;
    uint64_t next_request;
    struct waiter *waiters; /* callers, by request id */
    struct op *ops;         /* operators' changes on their way */
    uint64_t changes;       /* accepted by this entry */
    bool leaving;
    uint64_t leave_ms;
    uint64_t started_ms;
    uint64_t pauses; /* times the loop stood still for long */
    uint64_t ticked_ms;
};

/* carry.c: do what the node has decided; call it after every input to it */
void carry_out(struct daemon *d);

/* api.c: the callers' and operators' HTTP interface */
void api_handle(void *ctx, struct web_req *r);
void api_caller_left(void *ctx, struct web_req *r);
/* Give an answer to the caller that waits for it. */
void api_answer(struct daemon *d, uint64_t request, const dw_answer *a);

/* ops.c: operators' changes */
void ops_handle(struct daemon *d, struct web_req *r);
void ops_caller_left(struct daemon *d, struct web_req *r);
void ops_tick(struct daemon *d, uint64_t now);
/* True if the path is the operators'. */
bool ops_is_path(const char *path);

/* metric.c: counters as Prometheus text */
void metric_format(struct daemon *d, uint64_t now, struct buf *out);

#endif
