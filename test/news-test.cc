/* What operators want, learned from other entries. */
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "news.h"

namespace {

struct News {
    news n = {};

    ~News()
    {
        nw_free(&n);
    }
};

/* What b learns when it asks a; false if a has nothing newer. */
bool
ask(News &a, News &b)
{
    dw_msg question;
    dw_msg answer;
    bool took;

    nw_question(&b.n, &question);
    if (!nw_answer(&a.n, &question.dw_msg_u.news, &answer)) {
        return false;
    }
    took = nw_take(&b.n, &answer.dw_msg_u.news);
    xdr_free((xdrproc_t)xdr_dw_msg, &answer);
    return took;
}

} // namespace

/* A caller gets 404 for a route that was added long ago: the store turned
 * this entry away for longer than a change may take, and nobody was asked. */
TEST(News, AnEntryWithoutTheStoreLearnsFromAnother)
{
    News a;
    News b;

    nw_config(&a.n, STR("{1}"), 10);
    nw_domain(&a.n, "aarhus", true, 12);
    nw_seen(&a.n, 15);
    nw_config(&b.n, STR("{0}"), 5);
    nw_seen(&b.n, 9);
    EXPECT_TRUE(ask(a, b));
    EXPECT_EQ(std::string(b.n.config.p, b.n.config.n), "{1}");
    ASSERT_EQ(b.n.withdrawn_count, 1u);
    EXPECT_STREQ(b.n.withdrawn[0], "aarhus");
    EXPECT_FALSE(ask(a, b)); /* nothing newer */
    nw_domain(&a.n, "aarhus", false, 20);
    EXPECT_TRUE(ask(a, b));
    EXPECT_EQ(b.n.withdrawn_count, 0u);
}

TEST(News, WhoKnowsLessAnswersNothing)
{
    News a;
    News b;

    nw_config(&a.n, STR("{0}"), 5);
    nw_seen(&a.n, 9);
    nw_config(&b.n, STR("{1}"), 10);
    nw_seen(&b.n, 15);
    EXPECT_FALSE(ask(a, b));
    EXPECT_EQ(std::string(b.n.config.p, b.n.config.n), "{1}");
}

TEST(News, AskedOnlyWhileTheStoreIsAway)
{
    News a;

    nw_store(&a.n, 1000, true);
    EXPECT_FALSE(nw_must_ask(&a.n, 9000));
    nw_store(&a.n, 9000, false);
    EXPECT_FALSE(nw_must_ask(&a.n, 9000 + NW_ASK_MS - 1));
    EXPECT_TRUE(nw_must_ask(&a.n, 9000 + NW_ASK_MS));
    EXPECT_FALSE(nw_must_ask(&a.n, 9000 + NW_ASK_MS + 1));
    nw_store(&a.n, 9900, true);
    EXPECT_FALSE(nw_must_ask(&a.n, 20000));
}
