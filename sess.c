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
drop_oldest(struct sess *s)
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
        drop_oldest(s);
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
sess_fill_head(struct sess *s, uint64_t now, dw_msg *msg)
{
    dw_head *h = head_of(msg);

    h->session = s->number;
    h->clock_ms = now;
    h->echo_ms = s->peer_clock_ms;
    h->ack = s->recv_seq;
    s->echoed_at_ms = s->peer_clock_at_ms;
    s->last_sent_ms = now;
}

void
sess_enqueue(struct sess *s, uint64_t now, dw_msg *msg)
{
    struct sess_item *it = dw_zero(1, sizeof(*it));

    it->msg = msg;
    it->sent_ms = now;
    *s->tail = it;
    s->tail = &it->next;
    sess_fill_head(s, now, msg);
    head_of(msg)->seq = ++s->send_seq;
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
sess_next_resend(struct sess *s, uint64_t now, const dw_msg *msg)
{
    struct sess_item *it = item_after(s, msg);

    if (it == NULL || (msg == NULL && now - it->sent_ms < SESS_RESEND_MS)) {
        return NULL;
    }
    /* Clocks and acknowledgement are brought up to date. */
    sess_fill_head(s, now, it->msg);
    it->sent_ms = now;
    return it->msg;
}

void
sess_resend(struct sess *s, uint64_t now, uint64_t to,
    void (*send)(void *ctx, uint64_t to, const dw_msg *msg), void *ctx)
{
    dw_msg *m;

    for (m = sess_next_resend(s, now, NULL); m != NULL;
         m = sess_next_resend(s, now, m)) {
        send(ctx, to, m);
    }
}

enum sess_verdict
sess_receive(struct sess *s, uint64_t now, const dw_head *head)
{
    if (head->session != s->number || s->number == 0) {
        return SESS_DROP;
    }
    if (head->clock_ms > s->peer_clock_ms) {
        s->peer_clock_ms = head->clock_ms;
        s->peer_clock_at_ms = now;
    }
    /*
     * A process that was suspended finds old messages in its buffer.  They
     * echo its clock from before the suspension: acting on them would start
     * runs that the sender has counted as lost and started elsewhere.
     */
    if (head->echo_ms + SESS_LEASE_MS <= now) {
        return SESS_DROP;
    }
    s->own_clock_echo_ms = num_max(s->own_clock_echo_ms, head->echo_ms);
    while (s->head != NULL && s->acked_seq < head->ack) {
        s->acked_seq++;
        drop_oldest(s);
    }
    if (head->seq == 0) {
        return SESS_NO_DATA;
    }
    if (head->seq != s->recv_seq + 1) {
        return SESS_NO_DATA;
    }
    s->recv_seq++;
    return SESS_DELIVER;
}

bool
sess_live(const struct sess *s, uint64_t now)
{
    return s->own_clock_echo_ms != 0 &&
           s->own_clock_echo_ms + SESS_LEASE_MS > now;
}

bool
sess_heartbeat_due(const struct sess *s, uint64_t now)
{
    return s->number != 0 && now - s->last_sent_ms >= SESS_HEARTBEAT_MS;
}

uint64_t
sess_peer_expiry_ms(const struct sess *s)
{
    return s->echoed_at_ms + SESS_LEASE_MS;
}
