/*
 * web - HTTP server using libmicrohttpd on a libev loop
 *
 * A handler calls web_reply() at once or later; meanwhile the connection is
 * suspended.  Sockets are read and replies are sent once at the end of each
 * loop iteration, before the loop waits for events.  Malformed, oversized and
 * slow requests are rejected here without affecting other callers.
 */
#ifndef WEB_H
#define WEB_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "err.h"
#include "shed.h"
#include "str.h"

#ifdef __cplusplus
extern "C" {
#endif

struct web;
/* A request, valid until its reply or its web_disconnect_fn call. */
struct web_req;

struct web_cfg {
    const char *addr; /* numeric IPv4 address to listen on */
    uint16_t port;
    /* A body over body_max gets status 413 if its header announces it, else
     * its connection is closed.  At another limit connections are closed as
     * shed.h says. */
    struct sd_limits limits;
};

enum web_status { WEB_OK, WEB_NO_SOCKET };

/* Counters since web_open(). */
struct web_stats {
    uint64_t too_large; /* requests whose body exceeds limits.body_max */
    uint64_t late;      /* connections closed, as a phase took too long */
    uint64_t crowded;   /* closed to make room for new ones */
    uint64_t memory;    /* closed to free memory */
};

/* How a caller disconnected before its reply. */
enum web_end {
    WEB_END_NONE,      /* it has not */
    WEB_END_CLOSED,    /* it closed the connection, or its sending side */
    WEB_END_RESET,     /* the connection was reset */
    WEB_END_TIMED_OUT, /* the caller's host does not answer */
    WEB_END_LIBRARY    /* the HTTP library ended the request */
};

/* Called with each complete request.  The handler must call web_reply() or
 * web_problem() exactly once, now or later, unless web_disconnect_fn
 * is called for r. */
typedef void (*web_handle_fn)(void *ctx, struct web_req *r);
/* Called if the caller disconnects before its reply; r must not be used
 * afterwards. */
typedef void (*web_disconnect_fn)(void *ctx, struct web_req *r);

/* Listen as cfg says.  On an error *out is not set and e describes it. */
enum web_status web_open(struct web **out, struct ev_loop *loop,
    const struct web_cfg *cfg, web_handle_fn handle,
    web_disconnect_fn disconnected, void *ctx, struct err *e);
/* Read pending requests and send pending replies.  The loop does this itself
 * before it waits. */
void web_flush(struct web *w);
/* Accept no new connections; open ones are still served. */
void web_stop_accepting(struct web *w);
/* Prepare a shutdown: send each reply from now on with "Connection: close", so
 * that callers reconnect elsewhere, and close connections that are idle for a
 * second, because a request on one that stayed open would arrive too late to
 * be served. */
void web_drain(struct web *w);
/* While on, send each reply with "Connection: close", so that callers
 * reconnect elsewhere. */
void web_set_close_after_reply(struct web *w, bool on);
/* Change limits.body_max, also for requests that are being received. */
void web_set_body_max(struct web *w, uint32_t bytes);
/* Requests being received, handled or replied to. */
size_t web_open_requests(const struct web *w);
const struct web_stats *web_stats(const struct web *w);
/* Open connections. */
uint32_t web_connections(const struct web *w);
/* Send pending replies and stop the server. */
void web_close(struct web *w);

/* Accessors of a request; strings are valid as long as the request. */
const char *web_method(const struct web_req *r);
/* Without the query. */
const char *web_path(const struct web_req *r);
/* NULL if the request has no such header. */
const char *web_header(const struct web_req *r, const char *name);
/* A parameter of the query string; NULL if absent. */
const char *web_query(const struct web_req *r, const char *name);
struct str web_body(const struct web_req *r);
/* Frees the body, which is then empty: its request may wait for a long time.
 */
void web_release_body(struct web_req *r);
/* True if the caller's address is in 127.0.0.0/8. */
bool web_is_local(const struct web_req *r);

/* ms since the request's last bytes arrived, or since the connection's request
 * before was answered if that is later.  False if the system does not tell. */
bool web_unread_ms(const struct web_req *r, uint32_t *out);
/* If the caller of an unanswered request has closed the connection or its
 * sending side, or reset it, close the connection without a reply and without
 * calling web_disconnect_fn; true then, and r must not be used after
 * the return to the server.  A request is read although its caller has left if
 * both wait in the socket. */
bool web_drop_if_left(struct web_req *r);
/* Valid in web_disconnect_fn and after web_drop_if_left(). */
enum web_end web_end(const struct web_req *r);

/* A pointer for the handler's own state, initially NULL. */
void web_set_ctx(struct web_req *r, void *ctx);
void *web_ctx(const struct web_req *r);

/* Reply to r; the body is copied.  type is the media type, as in
 * "application/json".  retry_s is the Retry-After header in seconds, 0 for
 * none. */
void web_reply(struct web_req *r, unsigned status, const char *type,
    struct str body, uint32_t retry_s);
/* Reply with problem details as application/problem+json.  kind becomes the
 * title and, after "urn:dunlinweir:", the type.
 * Source: RFC 9457. */
void web_problem(struct web_req *r, unsigned status, const char *kind,
    const char *detail, uint32_t retry_s);

#ifdef __cplusplus
}
#endif

#endif
