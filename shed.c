#include "shed.h"

bool
sd_is_late(const struct sd_limits *l, uint64_t now, const struct sd_conn *c)
{
    const uint32_t limits_s[SD_PHASES] = {
        [SD_NEW] = l->idle_s,
        [SD_IDLE] = l->idle_s,
        [SD_HEADER] = l->header_s,
        [SD_BODY] = l->request_s,
        [SD_REPLYING] = l->request_s,
    };
    uint64_t limit_ms = (uint64_t)limits_s[c->phase] * 1000;

    return limit_ms != 0 && now > c->since_ms && now - c->since_ms > limit_ms;
}

bool
sd_may_close(const struct sd_conn *c, enum sd_need need)
{
    return c->phase != SD_HANDLED &&
           (need == SD_NEED_CONNECTION || c->bytes > 0);
}

/* Lower ranks are closed first. */
static int
rank(uint64_t now, const struct sd_conn *c)
{
    bool stuck = now > c->since_ms && now - c->since_ms > SD_PATIENCE_MS;

    switch (c->phase) {
    case SD_NEW:
    case SD_HEADER:
    case SD_BODY:
        return stuck ? 0 : 3;
    case SD_IDLE:
        /* It has sent a part of a request line, or of what came before it. */
        return stuck && c->bytes > 0 ? 0 : 2;
    case SD_REPLYING:
        return stuck ? 1 : 4;
    default:
        return 5;
    }
}

bool
sd_goes_first(uint64_t now, const struct sd_conn *a, const struct sd_conn *b)
{
    int rank_a = rank(now, a);
    int rank_b = rank(now, b);

    return rank_a != rank_b ? rank_a < rank_b : a->since_ms < b->since_ms;
}
