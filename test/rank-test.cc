/* An entry's place among all entries. */
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
    place(const char *name)
    {
        return rk_rank_of(&t, now, name, "kolding");
    }
};

} // namespace

TEST(Rank, PlacesFollowNamesAndDomains)
{
    Five f;

    EXPECT_EQ(f.place("e1").total, 0u);
    EXPECT_EQ(f.place("e5").total, 4u);
    EXPECT_EQ(f.place("e5").local, 2u);
}

/* Guards against entries that leave half of their sessions, amid load, when
 * others are cut from the store and come back. */
TEST(Rank, AnEntryThatVanishesForAWhileKeepsTheOthersPlaces)
{
    Five f;

    rk_mark_absent(&f.t, f.now, "e2");
    f.now += 10000;
    EXPECT_EQ(f.place("e5").total, 4u);
    rk_mark_absent(&f.t, f.now, nullptr); /* the store is read anew */
    rk_mark_present(&f.t, "e1", "kolding");
    EXPECT_EQ(f.place("e5").total, 4u);
    rk_mark_present(&f.t, "e2", "aarhus");
    EXPECT_EQ(f.place("e5").total, 4u);
}

TEST(Rank, AnEntryThatStaysAwayIsForgotten)
{
    Five f;

    rk_mark_absent(&f.t, f.now, "e2");
    f.now += RK_KEEP_MS + 1;
    EXPECT_EQ(f.place("e5").total, 3u);
    EXPECT_EQ(f.place("e5").local, 2u);
}
