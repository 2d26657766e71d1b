#include "tomb.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "num.h"
#include "str.h"

/* Bound of dw_tombs.tombs. */
#define STONES_PER_MESSAGE 48U

struct tb_peer {
    uint64_t id;
    uint64_t acked;     /* it has all up to this number */
    uint64_t sent;      /* last number sent */
    uint64_t sent_ms;   /* when */
    uint64_t resend_ms; /* until it is sent again */
    uint64_t received;  /* the last number of the peer's own that came */
    bool dead;          /* its port refused a connection since it was heard */
    uint64_t absent_ms; /* not registered since; 0: is registered */
    UT_hash_handle hh;
};

/* A request to cancel that is not answered yet. */
struct tb_pending {
    uint64_t number; /* of its tombstone */
    uint64_t job;
    void *handle;
    uint64_t deadline_ms;
    bool stopped;
    struct tb_pending *prev;
    struct tb_pending *next;
};

/* --- entries --- */

static struct tb_peer *
find_peer(const struct tombs *t, uint64_t id)
{
    struct tb_peer *p;

    HASH_FIND(hh, t->peers, &id, sizeof(id), p);
    return p;
}

static struct tb_peer *
get_peer(struct tombs *t, uint64_t id)
{
    struct tb_peer *p = find_peer(t, id);

    if (p == NULL) {
        p = dw_zero(1, sizeof(*p));
        p->id = id;
        p->resend_ms = TB_RESEND_MS;
        HASH_ADD(hh, t->peers, id, sizeof(p->id), p);
    }
    return p;
}

void
tb_add_entry(struct tombs *t, uint64_t id)
{
    get_peer(t, id)->absent_ms = 0;
}

void
tb_entry_dead(struct tombs *t, uint64_t id)
{
    struct tb_peer *p = find_peer(t, id);

    if (p != NULL) {
        p->dead = true;
    }
}

void
tb_entry_absent(struct tombs *t, uint64_t now, uint64_t id)
{
    struct tb_peer *p = find_peer(t, id);

    if (p != NULL && p->absent_ms == 0) {
        p->absent_ms = num_max(now, 1);
    }
}

void
tb_set_listed(struct tombs *t)
{
    t->listed = true;
}

static void
forget_absent(struct tombs *t, uint64_t now)
{
    struct tb_peer *p;
    struct tb_peer *tmp;

    HASH_ITER (hh, t->peers, p, tmp) {
        if (p->absent_ms != 0 &&
            num_sub_sat(now, p->absent_ms) >= TB_KEEP_MS) {
            HASH_DEL(t->peers, p);
            free(p);
        }
    }
}

/* --- requests to cancel --- */

/* All entries that are present have the tombstone. */
static bool
is_told(const struct tombs *t, uint64_t number)
{
    const struct tb_peer *p;

    if (!t->listed) {
        return false;
    }
    for (p = t->peers; p != NULL; p = p->hh.next) {
        if (p->absent_ms == 0 && !p->dead && p->acked < number) {
            return false;
        }
    }
    return true;
}

static void
answer(struct tombs *t, struct tb_pending *w, bool told)
{
    enum tb_result result = w->stopped ? TB_STOPPED
                            : told     ? TB_ABSENT
                                       : TB_UNHEARD;
    struct tb_pending copy = *w;

    t->stats.unheard += result == TB_UNHEARD;
    DL_DELETE(t->pending, w);
    free(w);
    t->ops->settled(t->ctx, copy.handle, copy.job, result);
}

static void
answer_pending(struct tombs *t, uint64_t now)
{
    struct tb_pending *w;
    struct tb_pending *tmp;

    DL_FOREACH_SAFE (t->pending, w, tmp) {
        bool told = is_told(t, w->number);

        if (told || now >= w->deadline_ms) {
            answer(t, w, told);
        }
    }
}

void
tb_settle(
    struct tombs *t, uint64_t now, uint64_t job, void *handle, bool stopped)
{
    struct tb_pending *w = dw_zero(1, sizeof(*w));

    w->number = t->next - 1;
    w->job = job;
    w->handle = handle;
    w->deadline_ms = now + TB_SETTLE_MS;
    w->stopped = stopped;
    DL_APPEND(t->pending, w);
}

bool
tb_caller_left(struct tombs *t, const void *handle)
{
    struct tb_pending *w;

    DL_FOREACH (t->pending, w) {
        if (w->handle == handle) {
            DL_DELETE(t->pending, w);
            free(w);
            return true;
        }
    }
    return false;
}

static void
mark_stopped(struct tombs *t, uint64_t job)
{
    struct tb_pending *w;

    DL_FOREACH (t->pending, w) {
        w->stopped |= w->job == job;
    }
}

/* --- own tombstones --- */

static struct tb_stone *
stone(struct tombs *t, uint64_t number)
{
    return &t->stones[number % TB_KEPT_MAX];
}

void
tb_add(struct tombs *t, uint64_t now, uint64_t job)
{
    if (t->next - t->first == TB_KEPT_MAX) {
        t->first++;
    }
    *stone(t, t->next) = (struct tb_stone){job, now};
    t->next++;
    t->stats.added++;
}

static void
drop_old(struct tombs *t, uint64_t now)
{
    while (t->first < t->next &&
           num_sub_sat(now, stone(t, t->first)->ended_ms) >= TB_KEEP_MS) {
        t->first++;
    }
}

static void
send_stones(struct tombs *t, uint64_t now, struct tb_peer *p, uint64_t number)
{
    dw_tomb rows[STONES_PER_MESSAGE];
    dw_msg m;
    dw_tombs *out = &m.dw_msg_u.tombs;

    memset(&m, 0, sizeof(m));
    m.type = DW_TOMBS;
    out->first = number;
    out->base = num_max(p->acked, t->first - 1);
    out->tombs.tombs_val = rows;
    while (number < t->next && out->tombs.tombs_len < STONES_PER_MESSAGE) {
        const struct tb_stone *s = stone(t, number++);

        rows[out->tombs.tombs_len++] =
            (dw_tomb){s->job, (u_int)num_sub_sat(now, s->ended_ms)};
    }
    p->sent = num_max(p->sent, number - 1);
    t->ops->send(t->ctx, p->id, &m);
}

static void
send_due(struct tombs *t, uint64_t now, struct tb_peer *p)
{
    uint64_t window_end;
    uint64_t number;

    p->acked = num_max(p->acked, t->first - 1);
    p->sent = num_max(p->sent, p->acked);
    if (p->sent > p->acked && num_sub_sat(now, p->sent_ms) >= p->resend_ms) {
        p->sent = p->acked;
        p->resend_ms = num_min(2 * p->resend_ms, TB_RESEND_MAX_MS);
    }
    window_end = num_min(p->acked + TB_WINDOW, t->next - 1);
    while ((number = p->sent + 1) <= window_end) {
        send_stones(t, now, p, number);
        p->sent_ms = now;
    }
}

/* --- messages --- */

static bool
was_stopped(const struct tombs *t, uint64_t job)
{
    for (size_t i = 0; i < TB_STOPPED_KEPT; i++) {
        if (t->stopped[i] == job) {
            return true;
        }
    }
    return false;
}

/* True if the job was in progress here, also when an earlier acknowledgement
 * of the tombstone said so. */
static bool
apply(struct tombs *t, const dw_tomb *tomb)
{
    if (t->ops->apply(t->ctx, tomb->job, tomb->age_ms)) {
        t->stopped[t->stats.stopped++ % TB_STOPPED_KEPT] = tomb->job;
        return true;
    }
    return was_stopped(t, tomb->job);
}

static void
send_ack(struct tombs *t, const struct tb_peer *p, u_quad_t *stopped, u_int n)
{
    dw_msg m;

    memset(&m, 0, sizeof(m));
    m.type = DW_TOMBS_ACK;
    m.dw_msg_u.tombs_ack.last = p->received;
    m.dw_msg_u.tombs_ack.stopped.stopped_val = stopped;
    m.dw_msg_u.tombs_ack.stopped.stopped_len = n;
    t->ops->send(t->ctx, p->id, &m);
}

void
tb_receive(struct tombs *t, uint64_t now, uint64_t from, const dw_tombs *m)
{
    bool is_known = find_peer(t, from) != NULL;
    struct tb_peer *p = get_peer(t, from);
    u_quad_t stopped[STONES_PER_MESSAGE];
    u_int n = 0;

    if (!is_known) {
        p->absent_ms = num_max(now, 1); /* until its registration is seen */
    }
    for (u_int i = 0; i < m->tombs.tombs_len; i++) {
        const dw_tomb *tomb = &m->tombs.tombs_val[i];

        t->stats.received += m->first + i > p->received;
        if (apply(t, tomb)) {
            stopped[n++] = tomb->job;
        }
    }
    /* After a gap the message counts only when those before it have come. */
    if (m->first <= num_max(p->received, m->base) + 1) {
        p->received = num_max(p->received, m->first + m->tombs.tombs_len - 1);
    }
    send_ack(t, p, stopped, n);
}

void
tb_receive_ack(
    struct tombs *t, uint64_t now, uint64_t from, const dw_tombs_ack *m)
{
    struct tb_peer *p = find_peer(t, from);

    if (p == NULL || m->last >= t->next) {
        return;
    }
    for (u_int i = 0; i < m->stopped.stopped_len; i++) {
        mark_stopped(t, m->stopped.stopped_val[i]);
    }
    p->dead = false;
    if (m->last > p->acked) {
        p->acked = m->last;
        p->resend_ms = TB_RESEND_MS;
        p->sent_ms = now;
    }
    answer_pending(t, now);
}

/* --- all --- */

void
tb_init(struct tombs *t, const struct tb_ops *ops, void *ctx)
{
    *t = (struct tombs){0};
    t->ops = ops;
    t->ctx = ctx;
    t->first = 1;
    t->next = 1;
}

void
tb_free(struct tombs *t)
{
    struct tb_peer *p;
    struct tb_peer *tmp;

    HASH_ITER (hh, t->peers, p, tmp) {
        HASH_DEL(t->peers, p);
        free(p);
    }
    while (t->pending != NULL) {
        struct tb_pending *w = t->pending;

        DL_DELETE(t->pending, w);
        free(w);
    }
}

void
tb_flush(struct tombs *t, uint64_t now)
{
    struct tb_peer *p;

    drop_old(t, now);
    forget_absent(t, now);
    for (p = t->peers; p != NULL; p = p->hh.next) {
        send_due(t, now, p);
    }
    answer_pending(t, now);
}
