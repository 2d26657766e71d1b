/* Operator state received from other entries. */
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "opstate.h"

namespace {

struct State {
    opstate s = {};

    ~State()
    {
        ost_free(&s);
    }
};

/* b queries a for its state; false if b's did not change. */
bool
exchange(State &a, State &b)
{
    dw_msg request;
    dw_msg reply;
    bool applied;

    ost_make_request(&b.s, &request);
    if (!ost_make_reply(&a.s, &request.dw_msg_u.news, &reply)) {
        return false;
    }
    applied = ost_apply_reply(&b.s, &reply.dw_msg_u.news);
    xdr_free((xdrproc_t)xdr_dw_msg, &reply);
    return applied;
}

} // namespace

/* Guards against a 404 for a route that was added long ago: the store refused
 * this entry for longer than a change may take, and it did not query other
 * entries. */
TEST(Opstate, AnEntryWithoutTheStoreLearnsFromAnother)
{
    State a;
    State b;

    ost_set_config(&a.s, STR("{1}"), 10);
    ost_set_domain(&a.s, "aarhus", true, 12);
    ost_set_known_rev(&a.s, 15);
    ost_set_config(&b.s, STR("{0}"), 5);
    ost_set_known_rev(&b.s, 9);
    EXPECT_TRUE(exchange(a, b));
    EXPECT_EQ(std::string(b.s.config.p, b.s.config.n), "{1}");
    ASSERT_EQ(b.s.withdrawn_count, 1u);
    EXPECT_STREQ(b.s.withdrawn[0], "aarhus");
    EXPECT_FALSE(exchange(a, b)); /* nothing newer */
    ost_set_domain(&a.s, "aarhus", false, 20);
    EXPECT_TRUE(exchange(a, b));
    EXPECT_EQ(b.s.withdrawn_count, 0u);
}

TEST(Opstate, AnEntryWithAnOlderStateDoesNotReply)
{
    State a;
    State b;

    ost_set_config(&a.s, STR("{0}"), 5);
    ost_set_known_rev(&a.s, 9);
    ost_set_config(&b.s, STR("{1}"), 10);
    ost_set_known_rev(&b.s, 15);
    EXPECT_FALSE(exchange(a, b));
    EXPECT_EQ(std::string(b.s.config.p, b.s.config.n), "{1}");
}

TEST(Opstate, RequestsAreDueOnlyWhileTheStoreIsUnreachable)
{
    State a;

    ost_set_store_state(&a.s, 1000, true);
    EXPECT_FALSE(ost_request_due(&a.s, 9000));
    ost_set_store_state(&a.s, 9000, false);
    EXPECT_FALSE(ost_request_due(&a.s, 9000 + OST_REQUEST_MS - 1));
    EXPECT_TRUE(ost_request_due(&a.s, 9000 + OST_REQUEST_MS));
    EXPECT_FALSE(ost_request_due(&a.s, 9000 + OST_REQUEST_MS + 1));
    ost_set_store_state(&a.s, 9900, true);
    EXPECT_FALSE(ost_request_due(&a.s, 20000));
}
