/* Sessions: order, freshness, leases. */
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "sess.h"

namespace {

dw_msg *
new_report()
{
    dw_msg *m = (dw_msg *)dw_zero(1, sizeof(*m));

    m->type = DW_REPORT;
    return m;
}

/* Two ends that have heard one another at time `now`. */
struct Pair {
    sess a;
    sess b;

    explicit Pair(uint64_t now)
    {
        dw_msg m = {};

        m.type = DW_REPORT;
        sess_init(&a);
        sess_init(&b);
        sess_begin(&a, 7);
        sess_begin(&b, 7);
        sess_stamp(&a, now, &m);
        sess_take(&b, now, &m.dw_msg_u.report.head);
        sess_stamp(&b, now, &m);
        sess_take(&a, now, &m.dw_msg_u.report.head);
        sess_stamp(&a, now, &m);
        sess_take(&b, now, &m.dw_msg_u.report.head);
    }
    ~Pair()
    {
        sess_end(&a);
        sess_end(&b);
    }
};

} // namespace

TEST(Sess, LostAndRepeatedMessagesAreTakenOnceInOrder)
{
    Pair p(1000);
    dw_msg *one = new_report();
    dw_msg *two = new_report();
    uint64_t later = 1000 + SESS_RESEND_MS;

    sess_keep(&p.a, 1000, one); /* lost */
    sess_keep(&p.a, 1001, two);
    EXPECT_EQ(sess_take(&p.b, 1002, &two->dw_msg_u.report.head), SESS_BEAT);
    EXPECT_EQ(sess_again(&p.a, 1003, nullptr), nullptr);
    EXPECT_EQ(sess_again(&p.a, later, nullptr), one);
    EXPECT_EQ(sess_take(&p.b, later, &one->dw_msg_u.report.head), SESS_TAKE);
    EXPECT_EQ(sess_again(&p.a, later, one), two);
    EXPECT_EQ(sess_take(&p.b, later, &two->dw_msg_u.report.head), SESS_TAKE);
    EXPECT_EQ(sess_take(&p.b, later, &two->dw_msg_u.report.head), SESS_BEAT);
    EXPECT_EQ(sess_again(&p.a, later, two), nullptr);
}

/* A task runs twice: an agent that was frozen wakes, finds an order of before
 * in its buffer and starts it, while the entry has long started it elsewhere.
 * The order echoes the agent's clock of before the freeze. */
TEST(Sess, WhatWaitedThroughAFreezeIsDropped)
{
    Pair p(1000);
    dw_msg *m = new_report();

    sess_keep(&p.a, 1010, m);
    EXPECT_TRUE(sess_live(&p.b, 1000 + SESS_LEASE_MS - 1));
    EXPECT_FALSE(sess_live(&p.b, 1000 + SESS_LEASE_MS));
    EXPECT_EQ(sess_take(&p.b, 1000 + SESS_LEASE_MS, &m->dw_msg_u.report.head),
        SESS_DROP);
}

TEST(Sess, MessagesOfAnotherSessionAreDropped)
{
    Pair p(1000);
    dw_msg *m = new_report();

    sess_keep(&p.a, 1000, m);
    sess_begin(&p.b, 8);
    EXPECT_EQ(sess_take(&p.b, 1001, &m->dw_msg_u.report.head), SESS_DROP);
}

/* The entry may restart runs when sess_over_at() has passed (with the lease
 * of the worker added): by then the agent must have ended the session, on its
 * own clock, whatever was lost on the way. */
TEST(Sess, TheReceiversLeaseEndsBeforeTheSenderCountsOnIt)
{
    for (uint64_t sent = 1000; sent < 1000 + SESS_LEASE_MS; sent += 37) {
        Pair p(1000);
        dw_msg m = {};

        m.type = DW_REPORT;
        sess_stamp(&p.a, sent, &m);
        sess_take(&p.b, sent + 20, &m.dw_msg_u.report.head);
        EXPECT_FALSE(sess_live(&p.b, sess_over_at(&p.a))) << sent;
    }
}
