/* What entries tell agents about their failure domain. */
#include <gtest/gtest.h>

#include "withdraw.h"

/* Guards against agents that are not told in time, and against a message in
 * each pass. */
TEST(Withdraw, EntriesTellChangesAndConfirmations)
{
    static const struct {
        const char *name;
        uint64_t session;
        bool withdrawn;
        uint64_t at_ms;
        uint64_t confirmed_ms;
        bool told;
    } steps[] = {
        {"new session", 5, false, 10000, 9800, true},
        {"the same again", 5, false, 10020, 9800, false},
        {"confirmed", 5, false, 10600, 10550, false},
        {"time has passed", 5, false, 11500, 11400, true},
        {"withdrawn", 5, true, 11510, 11505, true},
        {"not confirmed since", 5, true, 20000, 11505, false},
        {"another session", 6, true, 20010, 11505, true},
        {"back", 6, false, 20020, 20015, true},
    };
    wd_told t = {};

    for (const auto &s : steps) {
        EXPECT_EQ(
            wd_tell_due(&t, s.at_ms, s.session, s.withdrawn, s.confirmed_ms),
            s.told)
            << s.name;
    }
}

/* Guards against an agent that starts and believes an entry that was cut off
 * long ago: a read is due at once. */
TEST(Withdraw, FirstWordMayBeOld)
{
    wd_state s;

    wd_init(&s, 50000);
    EXPECT_FALSE(wd_read_due(&s, 50100));
    EXPECT_FALSE(wd_update(&s, 50100, 100, WD_STALE_MS, false));
    EXPECT_TRUE(wd_read_due(&s, 50100));
    EXPECT_TRUE(wd_update(&s, 50110, 120, 0, true));
    EXPECT_FALSE(wd_read_due(&s, 51200));
}
