/*
 * web - HTTP server by libmicrohttpd on the libev loop
 *
 * A handler answers at once with web_reply() or later, while the connection
 * is suspended; answers leave before the loop waits again.  What comes is
 * read at the end of a pass of the loop.  Malformed, oversized and slow
 * requests are ended here and cost no one else.
 */
#ifndef WEB_H
#define WEB_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "err.h"
#include "str.h"

#ifdef __cplusplus
extern "C" {
#endif

struct web;
struct web_req;

struct web_cfg {
    const char *addr;
    uint16_t port;
    uint32_t connections_max;
    uint32_t body_max;
    uint32_t idle_s; /* a caller silent for longer is cut off */
};

enum web_status { WEB_OK, WEB_NO_SOCKET };

/* A whole request has come.  The handler must see to one web_reply(). */
typedef void (*web_handle_fn)(void *ctx, struct web_req *r);
/* The caller has gone before its reply; r must not be used after. */
typedef void (*web_disconnect_fn)(void *ctx, struct web_req *r);

enum web_status web_open(struct web **out, struct ev_loop *loop,
    const struct web_cfg *cfg, web_handle_fn handle, web_disconnect_fn gone,
    void *ctx, struct err *e);
/* Read what has come and send what was answered; done by itself before the
 * loop waits. */
void web_flush(struct web *w);
/* Take no new connections; those open are served. */
void web_stop_accepting(struct web *w);
/* Ask callers, with each answer from now on, to connect anew elsewhere, and
 * close connections that are idle for a second: what comes on one that stays
 * open would come too late to be served. */
void web_drain(struct web *w);
/* Ask callers, with each answer while it is on, to connect anew elsewhere. */
void web_set_close_after_reply(struct web *w, bool on);
size_t web_open_requests(const struct web *w);
void web_close(struct web *w);

/* Queries of a request. */
const char *web_method(const struct web_req *r);
const char *web_path(const struct web_req *r);
/* NULL if the request has none. */
const char *web_header(const struct web_req *r, const char *name);
const char *web_query(const struct web_req *r, const char *name);
struct str web_body(const struct web_req *r);
/* The caller is on this machine's loopback address. */
bool web_is_local(const struct web_req *r);

/* A place for the handler's own state; NULL at first. */
void web_set_ctx(struct web_req *r, void *ctx);
void *web_ctx(const struct web_req *r);

/* type as in "application/json"; retry_s 0 leaves Retry-After out. */
void web_reply(struct web_req *r, unsigned status, const char *type,
    struct str body, uint32_t retry_s);
/* A problem of RFC 9457, application/problem+json. */
void web_problem(struct web_req *r, unsigned status, const char *kind,
    const char *detail, uint32_t retry_s);

#ifdef __cplusplus
}
#endif

#endif
