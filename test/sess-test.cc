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

/* Both sides of a session that is alive at time `now`. */
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
        sess_fill_head(&a, now, &m);
        sess_receive(&b, now, &m.dw_msg_u.report.head);
        sess_fill_head(&b, now, &m);
        sess_receive(&a, now, &m.dw_msg_u.report.head);
        sess_fill_head(&a, now, &m);
        sess_receive(&b, now, &m.dw_msg_u.report.head);
    }
    ~Pair()
    {
        sess_end(&a);
        sess_end(&b);
    }
};

} // namespace

TEST(Sess, LostAndRepeatedMessagesAreDeliveredOnceInOrder)
{
    Pair p(1000);
    dw_msg *one = new_report();
    dw_msg *two = new_report();
    uint64_t later = 1000 + SESS_RESEND_MS;

    sess_enqueue(&p.a, 1000, one); /* lost */
    sess_enqueue(&p.a, 1001, two);
    EXPECT_EQ(
        sess_receive(&p.b, 1002, &two->dw_msg_u.report.head), SESS_NO_DATA);
    EXPECT_EQ(sess_next_resend(&p.a, 1003, nullptr), nullptr);
    EXPECT_EQ(sess_next_resend(&p.a, later, nullptr), one);
    EXPECT_EQ(
        sess_receive(&p.b, later, &one->dw_msg_u.report.head), SESS_DELIVER);
    EXPECT_EQ(sess_next_resend(&p.a, later, one), two);
    EXPECT_EQ(
        sess_receive(&p.b, later, &two->dw_msg_u.report.head), SESS_DELIVER);
    EXPECT_EQ(
        sess_receive(&p.b, later, &two->dw_msg_u.report.head), SESS_NO_DATA);
    EXPECT_EQ(sess_next_resend(&p.a, later, two), nullptr);
}

/* Guards against a task that runs twice: an agent that was frozen finds an old
 * order in its buffer and starts it, though the entry has started the task
 * elsewhere.  The order echoes the agent's clock from before the freeze. */
TEST(Sess, MessagesFromBeforeAFreezeAreDropped)
{
    Pair p(1000);
    dw_msg *m = new_report();

    sess_enqueue(&p.a, 1010, m);
    EXPECT_TRUE(sess_live(&p.b, 1000 + SESS_LEASE_MS - 1));
    EXPECT_FALSE(sess_live(&p.b, 1000 + SESS_LEASE_MS));
    EXPECT_EQ(
        sess_receive(&p.b, 1000 + SESS_LEASE_MS, &m->dw_msg_u.report.head),
        SESS_DROP);
}

TEST(Sess, MessagesOfAnotherSessionAreDropped)
{
    Pair p(1000);
    dw_msg *m = new_report();

    sess_enqueue(&p.a, 1000, m);
    sess_begin(&p.b, 8);
    EXPECT_EQ(sess_receive(&p.b, 1001, &m->dw_msg_u.report.head), SESS_DROP);
}

/* The entry may restart runs once sess_peer_expiry_ms() plus the worker's
 * lease has passed: by then the agent must have ended the session by its own
 * clock, whichever messages were lost. */
TEST(Sess, TheReceiversLeaseEndsByThePeerExpiryTime)
{
    for (uint64_t sent = 1000; sent < 1000 + SESS_LEASE_MS; sent += 37) {
        Pair p(1000);
        dw_msg m = {};

        m.type = DW_REPORT;
        sess_fill_head(&p.a, sent, &m);
        sess_receive(&p.b, sent + 20, &m.dw_msg_u.report.head);
        EXPECT_FALSE(sess_live(&p.b, sess_peer_expiry_ms(&p.a))) << sent;
    }
}
