/* An entry's rank among all entries. */
#include <gtest/gtest.h>

#include "rank.h"

namespace {

struct Five {
    rk_table t = {};
    uint64_t now = 1000;

    Five()
    {
        for (const char *name : {"e1", "e2", "e3", "e4", "e5"}) {
            rk_mark_present(&t, name, name[1] % 2 == 1 ? "kolding" : "aarhus");
        }
    }
    ~Five()
    {
        rk_free(&t);
    }
    rk_rank
    rank(const char *name)
    {
        return rk_rank_of(&t, now, name, "kolding");
    }
};

} // namespace

TEST(Rank, RanksFollowNamesAndDomains)
{
    Five f;

    EXPECT_EQ(f.rank("e1").total, 0u);
    EXPECT_EQ(f.rank("e5").total, 4u);
    EXPECT_EQ(f.rank("e5").local, 2u);
}

/* Guards against entries that close half of their sessions under load when
 * other entries are cut off from the store and come back. */
TEST(Rank, TemporarilyAbsentEntryKeepsTheRanksOfOthers)
{
    Five f;

    rk_mark_absent(&f.t, f.now, "e2");
    f.now += 10000;
    EXPECT_EQ(f.rank("e5").total, 4u);
    rk_mark_absent(&f.t, f.now, nullptr); /* the store is read again */
    rk_mark_present(&f.t, "e1", "kolding");
    EXPECT_EQ(f.rank("e5").total, 4u);
    rk_mark_present(&f.t, "e2", "aarhus");
    EXPECT_EQ(f.rank("e5").total, 4u);
}

TEST(Rank, EntryAbsentForLongIsRemoved)
{
    Five f;

    rk_mark_absent(&f.t, f.now, "e2");
    f.now += RK_KEEP_MS + 1;
    EXPECT_EQ(f.rank("e5").total, 3u);
    EXPECT_EQ(f.rank("e5").local, 2u);
}
