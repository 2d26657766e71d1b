/* What an entry that has just started waits for. */
#include <gtest/gtest.h>

#include <map>
#include <vector>

#include "catchup.h"

namespace {

struct Starting {
    catchup c = {};
    uint64_t now = 1000;
    std::map<uint64_t, int> asked;     /* by entry */
    std::map<uint64_t, int> asked_all; /* the same */
    int ready = 0;

    Starting();
    ~Starting()
    {
        cu_free(&c);
    }
    void
    begin(size_t entries)
    {
        for (uint64_t id = 1; id <= entries; id++) {
            cu_add_entry(&c, id);
        }
        cu_begin(&c, now);
    }
    void
    run(uint64_t ms)
    {
        for (uint64_t end = now + ms; now < end; now += 20) {
            cu_tick(&c, now);
        }
    }
};

const cu_ops ops = {[](void *ctx, uint64_t to, uint32_t, bool all) {
                        Starting *s = static_cast<Starting *>(ctx);

                        s->asked[to]++;
                        s->asked_all[to] += all;
                    },
    [](void *ctx, uint32_t, uint32_t, uint64_t) {
        static_cast<Starting *>(ctx)->ready++;
    }};

Starting::Starting()
{
    cu_init(&c, &ops, this, 9);
}

} // namespace

/* Guards against a job that starts twice, as an entry starts requests before
 * it knows what the others have. */
TEST(Catchup, WaitsForAllEntriesThatAreThere)
{
    Starting s;

    s.run(1000);
    EXPECT_FALSE(cu_is_ready(&s.c)); /* the store has not listed them */
    s.begin(4);
    EXPECT_EQ(s.asked.size(), 4U);
    EXPECT_EQ(s.asked_all[1] + s.asked_all[2], 2);
    EXPECT_EQ(s.asked_all[3] + s.asked_all[4], 0);
    cu_receive(&s.c, s.now, 1, 9);
    cu_receive(&s.c, s.now, 1, 9);
    cu_receive(&s.c, s.now, 3, 8); /* for an earlier process */
    s.run(80);
    EXPECT_EQ(s.asked[1], 1);
    EXPECT_EQ(s.asked[3], 2);
    cu_receive(&s.c, s.now, 3, 9);
    EXPECT_FALSE(cu_is_ready(&s.c));
    cu_entry_dead(&s.c, s.now, 2); /* what it heard comes from the last one */
    EXPECT_GT(s.asked_all[4], 0);
    EXPECT_FALSE(cu_is_ready(&s.c));
    cu_receive(&s.c, s.now, 4, 9);
    EXPECT_TRUE(cu_is_ready(&s.c));
    s.run(1000);
    EXPECT_EQ(s.ready, 1);
}

/* Guards against an entry that serves nobody because another one has lost
 * power, or that waits though it is alone. */
TEST(Catchup, DoesNotWaitForEntriesThatAreSilent)
{
    Starting alone;
    Starting s;

    alone.begin(0);
    EXPECT_TRUE(cu_is_ready(&alone.c));
    s.begin(2);
    cu_receive(&s.c, s.now, 2, 9);
    s.run(CU_TIMEOUT_MS - 20);
    EXPECT_FALSE(cu_is_ready(&s.c));
    s.run(60);
    EXPECT_TRUE(cu_is_ready(&s.c));
}
