#include "sess.h"

#include <stdlib.h>

#include "num.h"

struct sess_item {
    struct sess_item *next;
    uint64_t sent_ms;
    dw_msg *msg;
};

static dw_head *
head_of(dw_msg *m)
{
    switch (m->type) {
    case DW_ORDERS:
        return &m->dw_msg_u.orders.head;
    case DW_RELAY:
        return &m->dw_msg_u.relay.head;
    case DW_RELAYED:
        return &m->dw_msg_u.relayed.head;
    default:
        return &m->dw_msg_u.report.head;
    }
}

static void
drop_first(struct sess *s)
{
    struct sess_item *it = s->head;

    s->head = it->next;
    if (s->head == NULL) {
        s->tail = &s->head;
    }
    msg_free(it->msg);
    free(it);
}

void
sess_init(struct sess *s)
{
    *s = (struct sess){0};
    s->tail = &s->head;
}

void
sess_end(struct sess *s)
{
    while (s->head != NULL) {
        drop_first(s);
    }
    sess_init(s);
}

void
sess_begin(struct sess *s, uint64_t number)
{
    sess_end(s);
    s->number = number;
}

void
sess_stamp(struct sess *s, uint64_t now, dw_msg *msg)
{
    dw_head *h = head_of(msg);

    h->session = s->number;
    h->clock_ms = now;
    h->echo_ms = s->their_clock;
    h->ack = s->in_seq;
    s->echoed_ms = s->heard_ms;
    s->sent_ms = now;
}

void
sess_keep(struct sess *s, uint64_t now, dw_msg *msg)
{
    struct sess_item *it = dw_zero(1, sizeof(*it));

    it->msg = msg;
    it->sent_ms = now;
    *s->tail = it;
    s->tail = &it->next;
    sess_stamp(s, now, msg);
    head_of(msg)->seq = ++s->out_seq;
}

static struct sess_item *
item_after(const struct sess *s, const dw_msg *msg)
{
    struct sess_item *it;

    if (msg == NULL) {
        return s->head;
    }
    for (it = s->head; it != NULL && it->msg != msg; it = it->next) {
    }
    return it != NULL ? it->next : NULL;
}

dw_msg *
sess_again(struct sess *s, uint64_t now, const dw_msg *msg)
{
    struct sess_item *it = item_after(s, msg);

    if (it == NULL || (msg == NULL && now - it->sent_ms < SESS_RESEND_MS)) {
        return NULL;
    }
    /* Clocks and acknowledgement are those of the new sending. */
    sess_stamp(s, now, it->msg);
    it->sent_ms = now;
    return it->msg;
}

void
sess_resend(struct sess *s, uint64_t now, uint64_t to,
    void (*send)(void *ctx, uint64_t to, const dw_msg *msg), void *ctx)
{
    dw_msg *m;

    for (m = sess_again(s, now, NULL); m != NULL; m = sess_again(s, now, m)) {
        send(ctx, to, m);
    }
}

enum sess_verdict
sess_take(struct sess *s, uint64_t now, const dw_head *head)
{
    if (head->session != s->number || s->number == 0) {
        return SESS_DROP;
    }
    if (head->clock_ms > s->their_clock) {
        s->their_clock = head->clock_ms;
        s->heard_ms = now;
    }
    /*
     * A process that was frozen finds old messages waiting.  Their echo is
     * its own clock of before the freeze: acting on them would start what
     * the sender has long counted as lost and started elsewhere.
     */
    if (head->echo_ms + SESS_LEASE_MS <= now) {
        return SESS_DROP;
    }
    s->fresh_ms = num_max(s->fresh_ms, head->echo_ms);
    while (s->head != NULL && s->acked < head->ack) {
        s->acked++;
        drop_first(s);
    }
    if (head->seq == 0) {
        return SESS_BEAT;
    }
    if (head->seq != s->in_seq + 1) {
        return SESS_BEAT;
    }
    s->in_seq++;
    return SESS_TAKE;
}

bool
sess_live(const struct sess *s, uint64_t now)
{
    return s->fresh_ms != 0 && s->fresh_ms + SESS_LEASE_MS > now;
}

bool
sess_beat_due(const struct sess *s, uint64_t now)
{
    return s->number != 0 && now - s->sent_ms >= SESS_BEAT_MS;
}

uint64_t
sess_over_at(const struct sess *s)
{
    return s->echoed_ms + SESS_LEASE_MS;
}
