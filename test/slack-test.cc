/* Share of recent work that is more urgent than a job. */
#include <gtest/gtest.h>

#include "slack.h"

TEST(Slack, WorkWithLessSlackIsMoreUrgent)
{
    sl_histogram h = {};

    EXPECT_EQ(sl_more_urgent_share(&h, 100), 0);
    sl_record(&h, 1000, 100, 3);
    sl_record(&h, 1000, 800, 1);
    EXPECT_EQ(sl_more_urgent_share(&h, 100), 0);
    EXPECT_DOUBLE_EQ(sl_more_urgent_share(&h, 800), 0.75);
    EXPECT_DOUBLE_EQ(sl_more_urgent_share(&h, UINT32_MAX), 1);
}

/* Work that arrived an hour ago must not count any more. */
TEST(Slack, OldWorkDecays)
{
    sl_histogram h = {};

    sl_record(&h, 1000, 100, 1000);
    sl_record(&h, 3601000, 800, 1);
    EXPECT_LT(sl_more_urgent_share(&h, 800), 0.01);
}
