#include "catchup.h"

#include <stdlib.h>

#include "num.h"
#include "str.h"

struct cu_peer {
    uint64_t id;
    bool all; /* also asked for what it heard of others */
    uint64_t asked_ms;
    UT_hash_handle hh;
};

static struct cu_peer *
find_peer(const struct catchup *c, uint64_t id)
{
    struct cu_peer *p;

    HASH_FIND(hh, c->peers, &id, sizeof(id), p);
    return p;
}

static void
forget_peer(struct catchup *c, struct cu_peer *p)
{
    HASH_DEL(c->peers, p);
    free(p);
}

static void
check_ready(struct catchup *c, uint64_t now)
{
    if (c->ready || c->begun_ms == 0 ||
        (c->peers != NULL && now - c->begun_ms < CU_TIMEOUT_MS)) {
        return;
    }
    c->ready = true;
    c->ops->ready(c->ctx, c->replies, c->asked, now - c->begun_ms);
}

static void
ask(struct catchup *c, uint64_t now, struct cu_peer *p)
{
    p->asked_ms = now;
    c->ops->ask(c->ctx, p->id, c->nonce, p->all);
}

void
cu_init(struct catchup *c, const struct cu_ops *ops, void *ctx, uint32_t nonce)
{
    *c = (struct catchup){0};
    c->ops = ops;
    c->ctx = ctx;
    c->nonce = nonce;
}

void
cu_free(struct catchup *c)
{
    while (c->peers != NULL) {
        forget_peer(c, c->peers);
    }
}

void
cu_add_entry(struct catchup *c, uint64_t id)
{
    struct cu_peer *p;

    if (c->begun_ms != 0 || find_peer(c, id) != NULL) {
        return;
    }
    p = dw_zero(1, sizeof(*p));
    p->id = id;
    p->all = c->asked < CU_ALL_FROM;
    HASH_ADD(hh, c->peers, id, sizeof(p->id), p);
    c->asked++;
}

void
cu_begin(struct catchup *c, uint64_t now)
{
    struct cu_peer *p;

    if (c->begun_ms != 0) {
        return;
    }
    c->begun_ms = num_max(now, 1);
    for (p = c->peers; p != NULL; p = p->hh.next) {
        ask(c, now, p);
    }
    check_ready(c, now);
}

/* What it was asked for beyond its own is asked of another entry. */
static void
pass_on_all(struct catchup *c, uint64_t now)
{
    struct cu_peer *p;

    for (p = c->peers; p != NULL; p = p->hh.next) {
        if (!p->all) {
            p->all = true;
            ask(c, now, p);
            return;
        }
    }
}

void
cu_entry_dead(struct catchup *c, uint64_t now, uint64_t id)
{
    struct cu_peer *p = find_peer(c, id);
    bool all;

    if (p == NULL || c->begun_ms == 0) {
        return;
    }
    all = p->all;
    forget_peer(c, p);
    if (all) {
        pass_on_all(c, now);
    }
    check_ready(c, now);
}

void
cu_receive(struct catchup *c, uint64_t now, uint64_t from, uint32_t nonce)
{
    struct cu_peer *p = find_peer(c, from);

    if (p == NULL || nonce != c->nonce) {
        return;
    }
    forget_peer(c, p);
    c->replies++;
    check_ready(c, now);
}

void
cu_tick(struct catchup *c, uint64_t now)
{
    struct cu_peer *p;

    if (c->ready || c->begun_ms == 0) {
        return;
    }
    for (p = c->peers; p != NULL; p = p->hh.next) {
        if (now - p->asked_ms >= CU_RETRY_MS) {
            ask(c, now, p);
        }
    }
    check_ready(c, now);
}

bool
cu_is_ready(const struct catchup *c)
{
    return c->ready;
}
