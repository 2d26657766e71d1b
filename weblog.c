#include "weblog.h"

#include <inttypes.h>
#include <string.h>

#include "log.h"

#define LOG_INTERVAL_MS 1000U

void
wl_tick(struct wl_log *l, uint64_t now, const char *port, const struct web *w)
{
    const struct web_stats *s = web_stats(w);
    const struct web_stats *was = &l->logged;

    if (now - l->logged_ms < LOG_INTERVAL_MS ||
        memcmp(s, was, sizeof(*s)) == 0) {
        return;
    }
    log_event(LOG_LEVEL_WARN, "clients_closed",
        "port=%s late=%" PRIu64 " crowded=%" PRIu64 " memory=%" PRIu64
        " too_large=%" PRIu64 " connections=%u",
        port, s->late - was->late, s->crowded - was->crowded,
        s->memory - was->memory, s->too_large - was->too_large,
        web_connections(w));
    l->logged = *s;
    l->logged_ms = now;
}

void
wl_each(const struct web *w,
    void (*add)(void *ctx, const char *name, uint64_t value), void *ctx)
{
    const struct web_stats *s = web_stats(w);

    add(ctx, "closed_late", s->late);
    add(ctx, "closed_crowded", s->crowded);
    add(ctx, "closed_memory", s->memory);
    add(ctx, "too_large", s->too_large);
}
