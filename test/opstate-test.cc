/* Operator state received from other entries. */
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "opstate.h"

namespace {

struct News {
    opstate n = {};

    ~News()
    {
        ost_free(&n);
    }
};

/* b queries a for its state; false if b's did not change. */
bool
exchange(News &a, News &b)
{
    dw_msg question;
    dw_msg answer;
    bool applied;

    ost_make_request(&b.n, &question);
    if (!ost_make_reply(&a.n, &question.dw_msg_u.news, &answer)) {
        return false;
    }
    applied = ost_apply_reply(&b.n, &answer.dw_msg_u.news);
    xdr_free((xdrproc_t)xdr_dw_msg, &answer);
    return applied;
}

} // namespace

/* A caller gets 404 for a route that was added long ago: the store turned
 * down this entry for longer than a change may take, and it did not query
 * other entries. */
TEST(News, AnEntryWithoutTheStoreLearnsFromAnother)
{
    News a;
    News b;

    ost_set_config(&a.n, STR("{1}"), 10);
    ost_set_domain(&a.n, "aarhus", true, 12);
    ost_set_known_rev(&a.n, 15);
    ost_set_config(&b.n, STR("{0}"), 5);
    ost_set_known_rev(&b.n, 9);
    EXPECT_TRUE(exchange(a, b));
    EXPECT_EQ(std::string(b.n.config.p, b.n.config.n), "{1}");
    ASSERT_EQ(b.n.withdrawn_count, 1u);
    EXPECT_STREQ(b.n.withdrawn[0], "aarhus");
    EXPECT_FALSE(exchange(a, b)); /* nothing newer */
    ost_set_domain(&a.n, "aarhus", false, 20);
    EXPECT_TRUE(exchange(a, b));
    EXPECT_EQ(b.n.withdrawn_count, 0u);
}

TEST(News, AnEntryWithAnOlderStateDoesNotReply)
{
    News a;
    News b;

    ost_set_config(&a.n, STR("{0}"), 5);
    ost_set_known_rev(&a.n, 9);
    ost_set_config(&b.n, STR("{1}"), 10);
    ost_set_known_rev(&b.n, 15);
    EXPECT_FALSE(exchange(a, b));
    EXPECT_EQ(std::string(b.n.config.p, b.n.config.n), "{1}");
}

TEST(News, RequestsAreDueOnlyWhileTheStoreIsUnreachable)
{
    News a;

    ost_set_store_state(&a.n, 1000, true);
    EXPECT_FALSE(ost_request_due(&a.n, 9000));
    ost_set_store_state(&a.n, 9000, false);
    EXPECT_FALSE(ost_request_due(&a.n, 9000 + OST_REQUEST_MS - 1));
    EXPECT_TRUE(ost_request_due(&a.n, 9000 + OST_REQUEST_MS));
    EXPECT_FALSE(ost_request_due(&a.n, 9000 + OST_REQUEST_MS + 1));
    ost_set_store_state(&a.n, 9900, true);
    EXPECT_FALSE(ost_request_due(&a.n, 20000));
}
