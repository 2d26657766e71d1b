/*
 * weblog - log lines and metrics on the clients that a server closed
 */
#ifndef WEBLOG_H
#define WEBLOG_H

#include "web.h"

#ifdef __cplusplus
extern "C" {
#endif

/* What was logged last; starts as {0}. */
struct wl_log {
    struct web_stats logged;
    uint64_t logged_ms;
};

/* Logs what the server has closed since the last line, at most once a second.
 * port is the name of its port, now ms of a monotonic clock. */
void wl_tick(
    struct wl_log *l, uint64_t now, const char *port, const struct web *w);
/* Calls add with the name and value of each counter. */
void wl_each(const struct web *w,
    void (*add)(void *ctx, const char *name, uint64_t value), void *ctx);

#ifdef __cplusplus
}
#endif

#endif
