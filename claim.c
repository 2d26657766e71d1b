#include "claim.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "num.h"
#include "str.h"

/* A job that this entry has. */
struct cl_own {
    uint64_t job;
    uint64_t since_ms;
    enum dw_claim_kind kind;
    uint64_t round; /* in which it was held last */
    bool announced;
    bool due; /* to be announced now */
    UT_hash_handle hh;
};

/* A claim of another entry. */
struct cl_known {
    uint64_t job;
    uint64_t since_ms;
    uint64_t heard_ms;
    enum dw_claim_kind kind;
    bool conflict; /* logged */
    UT_hash_handle hh;
};

struct cl_peer {
    uint64_t id;
    uint64_t seq; /* of its newest message */
    uint64_t heard_ms;
    struct cl_known *claims; /* oldest first */
    UT_hash_handle hh;
};

/* A request that waits until no other entry claims its job. */
struct cl_waiting {
    uint64_t job;
    void *handle;
    uint64_t since_ms;
    uint64_t deadline_ms;
    uint64_t told_ms; /* when DW_MOVED was last sent */
    struct cl_waiting *prev;
    struct cl_waiting *next;
};

/* --- lookups --- */

static struct cl_own *
find_own(const struct claims *c, uint64_t job)
{
    struct cl_own *o;

    HASH_FIND(hh, c->own, &job, sizeof(job), o);
    return o;
}

static struct cl_known *
find_known(const struct cl_peer *p, uint64_t job)
{
    struct cl_known *k;

    HASH_FIND(hh, p->claims, &job, sizeof(job), k);
    return k;
}

static struct cl_waiting *
find_waiting(const struct claims *c, uint64_t job)
{
    struct cl_waiting *w;

    DL_FOREACH (c->waiting, w) {
        if (w->job == job) {
            return w;
        }
    }
    return NULL;
}

/* The first entry after `after` that claims the job; NULL: none. */
static struct cl_peer *
next_claimant(
    const struct claims *c, uint64_t job, const struct cl_peer *after)
{
    struct cl_peer *p = after == NULL ? c->peers : after->hh.next;

    while (p != NULL && find_known(p, job) == NULL) {
        p = p->hh.next;
    }
    return p;
}

/* --- removal --- */

static void
forget_own(struct claims *c, struct cl_own *o)
{
    HASH_DEL(c->own, o);
    free(o);
}

static void
forget_known(struct cl_peer *p, struct cl_known *k)
{
    HASH_DEL(p->claims, k);
    free(k);
}

static void
forget_peer(struct claims *c, struct cl_peer *p)
{
    while (p->claims != NULL) {
        forget_known(p, p->claims);
    }
    HASH_DEL(c->peers, p);
    free(p);
}

static void *
remove_waiting(struct claims *c, struct cl_waiting *w)
{
    void *handle = w->handle;

    DL_DELETE(c->waiting, w);
    free(w);
    return handle;
}

static void
refuse(struct claims *c, struct cl_waiting *w, const char *reason)
{
    c->ops->refuse(c->ctx, remove_waiting(c, w), reason);
}

/* --- requests that wait --- */

static void
tell_claimants(struct claims *c, uint64_t now, struct cl_waiting *w)
{
    struct cl_peer *p = NULL;
    dw_msg m;

    memset(&m, 0, sizeof(m));
    m.type = DW_MOVED;
    m.dw_msg_u.moved.job = w->job;
    m.dw_msg_u.moved.age_ms = (u_int)(now - w->since_ms);
    while ((p = next_claimant(c, w->job, p)) != NULL) {
        c->ops->send(c->ctx, p->id, &m);
    }
    w->told_ms = now;
}

bool
cl_wait(struct claims *c, uint64_t now, uint64_t job, void *handle,
    uint64_t deadline_ms)
{
    struct cl_peer *p = next_claimant(c, job, NULL);
    struct cl_waiting *w;

    if (p == NULL) {
        return false;
    }
    c->ops->note(c->ctx, "request_waits", job, p->id,
        num_sub_sat(now, find_known(p, job)->since_ms));
    c->stats.waited++;
    w = dw_zero(1, sizeof(*w));
    w->job = job;
    w->handle = handle;
    w->since_ms = now;
    w->deadline_ms = deadline_ms;
    DL_APPEND(c->waiting, w);
    tell_claimants(c, now, w);
    return true;
}

bool
cl_caller_left(struct claims *c, const void *handle)
{
    struct cl_waiting *w;

    DL_FOREACH (c->waiting, w) {
        if (w->handle == handle) {
            remove_waiting(c, w);
            return true;
        }
    }
    return false;
}

void *
cl_take(struct claims *c, uint64_t job)
{
    struct cl_waiting *w = find_waiting(c, job);

    return w != NULL ? remove_waiting(c, w) : NULL;
}

void
cl_refuse_all(struct claims *c, const char *reason)
{
    while (c->waiting != NULL) {
        refuse(c, c->waiting, reason);
    }
}

/* A request that can be answered or started now; NULL: none. */
static struct cl_waiting *
next_ready(const struct claims *c, uint64_t now)
{
    struct cl_waiting *w;

    DL_FOREACH (c->waiting, w) {
        if (now >= w->deadline_ms || next_claimant(c, w->job, NULL) == NULL) {
            return w;
        }
    }
    return NULL;
}

static void
tick_waiting(struct claims *c, uint64_t now)
{
    struct cl_waiting *w;

    while ((w = next_ready(c, now)) != NULL) {
        if (now >= w->deadline_ms) {
            refuse(c, w, "deadline");
        }
        else {
            c->ops->start(c->ctx, remove_waiting(c, w));
        }
    }
    DL_FOREACH (c->waiting, w) {
        if (now - w->told_ms >= CL_ROUND_MS) {
            tell_claimants(c, now, w);
        }
    }
}

/* --- giving way --- */

/* Entries judge by ages that they received, which messages make younger: both
 * may give way, but never none. */
static bool
gives_way(const struct claims *c, uint64_t own_since_ms, uint64_t other,
    uint64_t other_since_ms)
{
    return own_since_ms < other_since_ms ||
           (own_since_ms == other_since_ms && c->self < other);
}

static void
give_way(struct claims *c, uint64_t now, struct cl_own *o, uint64_t other,
    const char *reason)
{
    void *handle;

    c->wanted = true;
    if (o->kind == DW_CLAIM_RUNS) {
        c->ops->note(c->ctx, "caller_moved", o->job, other,
            num_sub_sat(now, o->since_ms));
        c->ops->give_up(c->ctx, o->job, reason);
    }
    o->kind = DW_CLAIM_ENDS;
    while ((handle = cl_take(c, o->job)) != NULL) {
        c->ops->refuse(c->ctx, handle, reason);
    }
}

/* Another entry claims a job that this one may have as well. */
static void
check_conflict(struct claims *c, uint64_t now, const struct cl_peer *p,
    struct cl_known *k)
{
    struct cl_own *o = find_own(c, k->job);
    bool both;

    if (o == NULL || o->kind == DW_CLAIM_ENDS) {
        return;
    }
    both = o->kind == DW_CLAIM_RUNS && k->kind != DW_CLAIM_WAITS;
    if (both && !k->conflict) {
        k->conflict = true;
        c->stats.conflicts++;
        c->ops->note(c->ctx, "claim_conflict", k->job, p->id,
            num_sub_sat(now, o->since_ms));
    }
    if (k->kind == DW_CLAIM_ENDS) {
        return;
    }
    if (gives_way(c, o->since_ms, p->id, k->since_ms)) {
        give_way(c, now, o, p->id, both ? "claim_conflict" : "caller_moved");
    }
    else if (both) {
        o->due = true; /* the other one gives way when it hears of this */
    }
}

/* --- claims of other entries --- */

static void
hold_all(struct claims *c)
{
    const struct cl_waiting *w;

    DL_FOREACH (c->waiting, w) {
        cl_hold(c, w->job, w->since_ms, DW_CLAIM_WAITS);
    }
    c->ops->hold(c->ctx, c);
}

static struct cl_peer *
get_peer(struct claims *c, uint64_t id)
{
    struct cl_peer *p;

    HASH_FIND(hh, c->peers, &id, sizeof(id), p);
    if (p == NULL) {
        p = dw_zero(1, sizeof(*p));
        p->id = id;
        HASH_ADD(hh, c->peers, id, sizeof(p->id), p);
    }
    return p;
}

/* NULL: no space for it. */
static struct cl_known *
get_known(struct cl_peer *p, uint64_t job)
{
    struct cl_known *k = find_known(p, job);

    if (k == NULL && HASH_COUNT(p->claims) < CL_KNOWN_MAX) {
        k = dw_zero(1, sizeof(*k));
        k->job = job;
        HASH_ADD(hh, p->claims, job, sizeof(k->job), k);
    }
    return k;
}

void
cl_receive_claims(
    struct claims *c, uint64_t now, uint64_t from, const dw_claims *m)
{
    struct cl_peer *p = get_peer(c, from);

    if (m->seq <= p->seq) {
        return;
    }
    p->seq = m->seq;
    p->heard_ms = now;
    if (m->claims.claims_len > 0) {
        hold_all(c); /* also jobs that came since the last round */
    }
    for (u_int i = 0; i < m->over.over_len; i++) {
        struct cl_known *k = find_known(p, m->over.over_val[i]);

        if (k != NULL) {
            forget_known(p, k);
        }
    }
    for (u_int i = 0; i < m->claims.claims_len; i++) {
        const dw_claim *claim = &m->claims.claims_val[i];
        struct cl_known *k = get_known(p, claim->job);

        if (k == NULL) {
            continue;
        }
        k->since_ms = num_sub_sat(now, claim->age_ms);
        k->heard_ms = now;
        k->kind = claim->kind;
        check_conflict(c, now, p, k);
    }
}

static void
receive_heard(struct claims *c, uint64_t now, const dw_heard *m)
{
    uint64_t heard_ms = num_sub_sat(now, m->silent_ms);
    struct cl_peer *p;
    struct cl_known *k;

    if (m->entry == c->self) {
        return;
    }
    p = get_peer(c, m->entry);
    k = get_known(p, m->claim.job);
    if (k == NULL || k->heard_ms >= heard_ms) {
        return;
    }
    p->heard_ms = num_max(p->heard_ms, heard_ms);
    k->since_ms = num_sub_sat(now, m->claim.age_ms);
    k->heard_ms = heard_ms;
    k->kind = m->claim.kind;
}

void
cl_receive_joined(
    struct claims *c, uint64_t now, uint64_t from, const dw_joined *m)
{
    dw_claims claims = {
        m->seq, {m->claims.claims_len, m->claims.claims_val}, {0, NULL}};

    cl_receive_claims(c, now, from, &claims);
    for (u_int i = 0; i < m->heard.heard_len; i++) {
        receive_heard(c, now, &m->heard.heard_val[i]);
    }
}

static void
expire_known(struct claims *c, uint64_t now, uint64_t deaf_ms)
{
    struct cl_peer *p;
    struct cl_peer *p_tmp;
    struct cl_known *k;
    struct cl_known *k_tmp;

    HASH_ITER (hh, c->peers, p, p_tmp) {
        HASH_ITER (hh, p->claims, k, k_tmp) {
            k->heard_ms = num_min(now, k->heard_ms + deaf_ms);
            if (now - k->heard_ms >= CL_EXPIRY_MS) {
                forget_known(p, k);
            }
        }
        if (p->claims == NULL && now - p->heard_ms >= CL_EXPIRY_MS) {
            forget_peer(c, p);
        }
    }
}

/* --- own claims --- */

static void
add_over(struct claims *c, uint64_t job)
{
    for (size_t i = 0; i < c->over_count; i++) {
        if (c->over[i] == job) {
            return;
        }
    }
    if (c->over_count == CL_OVER_MAX) {
        memmove(
            &c->over[0], &c->over[1], (CL_OVER_MAX - 1) * sizeof(c->over[0]));
        c->over_count--;
    }
    c->over[c->over_count++] = job;
}

void
cl_receive_moved(
    struct claims *c, uint64_t now, uint64_t from, const dw_moved *m)
{
    struct cl_own *o = find_own(c, m->job);

    if (o == NULL) {
        add_over(c, m->job); /* the withdrawal was lost */
        return;
    }
    c->wanted = true;
    if (o->kind != DW_CLAIM_ENDS &&
        gives_way(c, o->since_ms, from, num_sub_sat(now, m->age_ms))) {
        give_way(c, now, o, from, "caller_moved");
    }
}

/* A job may be held in several ways: it is in progress, or a request for it
 * waits, while runs of it are ending. */
void
cl_hold(
    struct claims *c, uint64_t job, uint64_t since_ms, enum dw_claim_kind kind)
{
    struct cl_own *o = find_own(c, job);
    bool first;

    if (o == NULL) {
        o = dw_zero(1, sizeof(*o));
        o->job = job;
        HASH_ADD(hh, c->own, job, sizeof(o->job), o);
    }
    first = o->round != c->round;
    if (first || kind > o->kind ||
        (kind == o->kind && since_ms > o->since_ms)) {
        o->due |= o->announced && kind != o->kind;
        o->kind = kind;
        o->since_ms = since_ms;
    }
    o->round = c->round;
}

void
cl_hold_jobs(struct claims *c, const struct coord *coord)
{
    const struct co_job *j;
    const struct co_outliving *o;

    for (j = coord->jobs; j != NULL; j = j->hh.next) {
        cl_hold(c, j->id, j->arrived_ms, DW_CLAIM_RUNS);
    }
    for (o = coord->outliving; o != NULL; o = o->hh.next) {
        cl_hold(c, o->job, o->since_ms, DW_CLAIM_ENDS);
    }
}

/* Marks the claims to be announced now; the number of them.  Those of new jobs
 * right after a round only, as the job may be over since. */
static size_t
mark_due(struct claims *c, uint64_t now)
{
    bool all = now - c->announced_ms >= CL_ANNOUNCE_MS;
    bool is_new = c->round_ms == now;
    struct cl_own *o;
    size_t n = 0;

    if (all) {
        c->announced_ms = now;
    }
    for (o = c->own; o != NULL; o = o->hh.next) {
        o->due |= o->announced ? all
                               : is_new && num_sub_sat(now, o->since_ms) >=
                                               CL_MIN_AGE_MS;
        o->due = o->due && n < CL_ANNOUNCED_MAX;
        n += o->due;
    }
    return n;
}

/* The next due claim, and the number of them that are left. */
static struct cl_own *
take_due(struct cl_own *o, size_t *due)
{
    while (o != NULL && *due > 0 && !o->due) {
        o = o->hh.next;
    }
    if (o == NULL || *due == 0) {
        return NULL;
    }
    o->due = false;
    --*due;
    return o;
}

#define CLAIMS_PER_MESSAGE 48U
#define OVER_PER_MESSAGE 16U

static dw_claim
make_claim(uint64_t now, struct cl_own *o)
{
    dw_claim claim = {o->job, (u_int)num_sub_sat(now, o->since_ms), o->kind};

    o->announced = true;
    return claim;
}

static void
announce(struct claims *c, uint64_t now)
{
    size_t due = mark_due(c, now);
    size_t over = 0;
    struct cl_own *o = c->own;

    while (due > 0 || over < c->over_count) {
        dw_claim rows[CLAIMS_PER_MESSAGE];
        dw_msg m;
        dw_claims *out = &m.dw_msg_u.claims;

        memset(&m, 0, sizeof(m));
        m.type = DW_CLAIMS;
        out->seq = ++c->seq;
        out->claims.claims_val = rows;
        while (out->claims.claims_len < CLAIMS_PER_MESSAGE &&
               (o = take_due(o, &due)) != NULL) {
            rows[out->claims.claims_len++] = make_claim(now, o);
        }
        out->over.over_val = (u_quad_t *)&c->over[over];
        out->over.over_len =
            (u_int)num_min(OVER_PER_MESSAGE, c->over_count - over);
        over += out->over.over_len;
        c->stats.sent += out->claims.claims_len;
        c->ops->broadcast(c->ctx, &m);
    }
    c->over_count = 0;
}

/* Looks for new and ended jobs. */
static void
run_round(struct claims *c, uint64_t now)
{
    struct cl_own *o;
    struct cl_own *tmp;
    bool ending = false;

    c->round_ms = now;
    c->round++;
    hold_all(c);
    HASH_ITER (hh, c->own, o, tmp) {
        if (o->round == c->round) {
            ending |= o->kind == DW_CLAIM_ENDS && o->announced;
            continue;
        }
        if (o->announced) {
            add_over(c, o->job);
        }
        forget_own(c, o);
    }
    c->wanted &= ending;
}

static void
list_own(struct claims *c, uint64_t now, dw_joined *out)
{
    struct cl_own *o;

    out->claims.claims_val =
        dw_zero(HASH_COUNT(c->own), sizeof(*out->claims.claims_val));
    for (o = c->own; o != NULL; o = o->hh.next) {
        out->claims.claims_val[out->claims.claims_len++] = make_claim(now, o);
    }
}

static void
list_heard(const struct claims *c, uint64_t now, dw_joined *out)
{
    const struct cl_peer *p;
    const struct cl_known *k;

    out->heard.heard_val =
        dw_zero(cl_known_count(c), sizeof(*out->heard.heard_val));
    for (p = c->peers; p != NULL; p = p->hh.next) {
        for (k = p->claims; k != NULL; k = k->hh.next) {
            out->heard.heard_val[out->heard.heard_len++] = (dw_heard){p->id,
                {k->job, (u_int)num_sub_sat(now, k->since_ms), k->kind},
                (u_int)(now - k->heard_ms)};
        }
    }
}

void
cl_fill_joined(struct claims *c, uint64_t now, bool all, dw_joined *out)
{
    run_round(c, now);
    out->seq = ++c->seq;
    list_own(c, now, out);
    if (all) {
        list_heard(c, now, out);
    }
}

void
cl_entry_added(struct claims *c)
{
    c->announced_ms = 0;
}

void
cl_regained(struct claims *c, uint64_t regained_ms)
{
    if (regained_ms != 0 && regained_ms != c->regained_ms) {
        c->regained_ms = regained_ms;
        c->announced_ms = 0;
    }
}

/* --- both --- */

void
cl_init(struct claims *c, const struct cl_ops *ops, void *ctx, uint64_t self)
{
    *c = (struct claims){0};
    c->ops = ops;
    c->ctx = ctx;
    c->self = self;
}

void
cl_free(struct claims *c)
{
    while (c->own != NULL) {
        forget_own(c, c->own);
    }
    while (c->peers != NULL) {
        forget_peer(c, c->peers);
    }
    while (c->waiting != NULL) {
        remove_waiting(c, c->waiting);
    }
}

void
cl_tick(struct claims *c, uint64_t now)
{
    uint64_t gap = c->last_tick_ms != 0 ? now - c->last_tick_ms : 0;

    c->last_tick_ms = now;
    if (gap > CO_MAX_PAUSE_MS) {
        cl_refuse_all(c, "paused");
    }
    expire_known(c, now, gap > CL_TICK_GAP_MS ? gap : 0);
    tick_waiting(c, now);
    if (c->wanted || now - c->round_ms >= CL_ROUND_MS) {
        run_round(c, now);
    }
    announce(c, now);
}

bool
cl_is_waiting(const struct claims *c, uint64_t job)
{
    return find_waiting(c, job) != NULL;
}

bool
cl_may_run(const struct claims *c, uint64_t job)
{
    return cl_is_waiting(c, job) || next_claimant(c, job, NULL) != NULL;
}

size_t
cl_waiting_count(const struct claims *c)
{
    const struct cl_waiting *w;
    size_t n;

    DL_COUNT(c->waiting, w, n);
    return n;
}

size_t
cl_known_count(const struct claims *c)
{
    const struct cl_peer *p;
    size_t n = 0;

    for (p = c->peers; p != NULL; p = p->hh.next) {
        n += HASH_COUNT(p->claims);
    }
    return n;
}
