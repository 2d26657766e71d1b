/*
 * daemon - internal interface of the I/O modules of dunlinweird
 *
 * The event loop, the node that makes the decisions, and the modules that
 * perform its actions.  One loop on one thread; nothing here blocks.  Modules
 * call only those later in this list: dunlinweird (loop, events), api and ops
 * (callers, operators), metric, actexec.  Answers return to api by the
 * function pointer answer.
 */
#ifndef DAEMON_H
#define DAEMON_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "backend.h"
#include "conf.h"
#include "httpc.h"
#include "leave.h"
#include "link.h"
#include "node.h"
#include "store.h"
#include "trail.h"
#include "web.h"
#include "weblog.h"

struct op;

struct daemon {
    struct ev_loop *loop;
    const char *conf_path;
    struct conf conf;
    struct node node;
    struct link *link;
    struct httpc *http;         /* client connections to the store */
    struct httpc *backend_http; /* connections to backend server and worker */
    struct store *store;
    struct backend *backend;
    struct web *web;
    struct wl_log web_log;
    struct trail *trail;
    struct acts acts; /* decided by the node, not yet carried out */
    /* Sends an answer to the caller that waits for it. */
    void (*answer)(struct daemon *d, uint64_t request, const dw_answer *a);
    bool executing; /* carry_out() is active */
    ev_timer tick;
    ev_signal term;
    ev_signal intr;
    ev_signal hup;
    uint64_t next_request;
    struct waiter *waiters; /* callers, by request id */
    struct op *ops;         /* operators' changes under way */
    uint64_t changes;       /* operators' changes accepted by this entry */
    struct lv_stop stop;    /* planned */
    uint64_t started_ms;
    uint64_t pauses;       /* of the loop, longer than PAUSE_MS */
    uint64_t last_tick_ms; /* 0: none yet */
};

/* actexec.c: carry out the node's actions; call it after each node input */
void carry_out(struct daemon *d);

/* api.c: the callers' and operators' HTTP interface */
void api_handle(void *ctx, struct web_req *r);
void api_caller_left(void *ctx, struct web_req *r);
/* Send an answer to the caller that waits for it. */
void api_answer(struct daemon *d, uint64_t request, const dw_answer *a);

/* ops.c: operators' changes */
void ops_handle(struct daemon *d, struct web_req *r);
void ops_caller_left(struct daemon *d, struct web_req *r);
void ops_tick(struct daemon *d, uint64_t now);
/* True if the path belongs to the operators' interface. */
bool ops_is_path(const char *path);

/* metric.c: counters as Prometheus text */
void metric_format(struct daemon *d, uint64_t now, struct buf *out);

#endif
