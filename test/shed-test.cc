/* Which connections are closed, and when: no sockets. */
#include <gtest/gtest.h>

#include "shed.h"

namespace {

const uint64_t NOW = 100000;

sd_conn
conn(sd_phase phase, uint64_t age_ms, size_t bytes = 0)
{
    return {phase, NOW - age_ms, bytes};
}

} // namespace

/* Guards against ordinary clients that lose their place to those that send
 * nothing, half a request or never read. */
TEST(Shed, TheOneOfLeastUseGoesFirst)
{
    static const struct {
        const char *name;
        sd_conn first;
        sd_conn later;
    } cases[] = {
        {"the older silent one", conn(SD_NEW, 5000), conn(SD_NEW, 4000)},
        {"silent before idle", conn(SD_NEW, 1500), conn(SD_IDLE, 9000)},
        {"half a body before idle", conn(SD_BODY, 1500, 9),
            conn(SD_IDLE, 9000)},
        {"half a header before idle", conn(SD_HEADER, 1500),
            conn(SD_IDLE, 9000)},
        {"half a request line behind a request, before idle",
            conn(SD_IDLE, 1500, 100), conn(SD_IDLE, 9000)},
        {"idle before one that has just connected", conn(SD_IDLE, 10),
            conn(SD_NEW, 900)},
        {"idle before a body that is coming", conn(SD_IDLE, 10),
            conn(SD_BODY, 900, 9)},
        {"the longest idle", conn(SD_IDLE, 20), conn(SD_IDLE, 10)},
        {"a reply that is not read, before idle", conn(SD_REPLYING, 1500, 9),
            conn(SD_IDLE, 9000)},
        {"half a body before a reply that is not read", conn(SD_BODY, 1500, 9),
            conn(SD_REPLYING, 9000, 9)},
        {"what is coming before a reply that is read", conn(SD_BODY, 10, 9),
            conn(SD_REPLYING, 900, 9)},
        {"a body that began earlier, however large", conn(SD_BODY, 500, 9),
            conn(SD_BODY, 400, 900)},
    };

    for (const auto &c : cases) {
        SCOPED_TRACE(c.name);
        EXPECT_TRUE(sd_goes_first(NOW, &c.first, &c.later));
        EXPECT_FALSE(sd_goes_first(NOW, &c.later, &c.first));
    }
}

/* Guards against requests that are cut off while they are worked on. */
TEST(Shed, ARequestThatIsHandledIsNotClosed)
{
    sd_limits limits = {0, 0, 1, 1, 1, 0};

    for (int phase = SD_NEW; phase < SD_PHASES; phase++) {
        sd_conn c = conn((sd_phase)phase, 90000, 5);

        EXPECT_EQ(sd_may_close(&c, SD_NEED_MEMORY), phase != SD_HANDLED);
        EXPECT_EQ(sd_may_close(&c, SD_NEED_CONNECTION), phase != SD_HANDLED);
        EXPECT_EQ(sd_is_late(&limits, NOW, &c), phase != SD_HANDLED);
        c.bytes = 0;
        EXPECT_FALSE(sd_may_close(&c, SD_NEED_MEMORY));
    }
}

/* Guards against connections that a byte now and then keeps open for good. */
TEST(Shed, EachPhaseHasItsLimit)
{
    static const sd_limits limits = {0, 0, 30, 10, 60, 0};
    static const struct {
        sd_phase phase;
        uint32_t limit_ms;
    } cases[] = {
        {SD_NEW, 30000},
        {SD_IDLE, 30000},
        {SD_HEADER, 10000},
        {SD_BODY, 60000},
        {SD_REPLYING, 60000},
    };
    static const sd_limits none = {};

    for (const auto &c : cases) {
        SCOPED_TRACE(c.phase);
        sd_conn in_time = conn(c.phase, c.limit_ms);
        sd_conn late = conn(c.phase, c.limit_ms + 1);

        EXPECT_FALSE(sd_is_late(&limits, NOW, &in_time));
        EXPECT_TRUE(sd_is_late(&limits, NOW, &late));
        EXPECT_FALSE(sd_is_late(&none, NOW, &late));
    }
}

/* Guards against a clock value that is older than the connection. */
TEST(Shed, TimesAheadOfTheClockAreNew)
{
    static const sd_limits limits = {0, 0, 1, 1, 1, 0};
    sd_conn ahead = {SD_BODY, NOW + 5, 9};
    sd_conn idle = conn(SD_IDLE, 0);

    EXPECT_FALSE(sd_is_late(&limits, NOW, &ahead));
    EXPECT_TRUE(sd_goes_first(NOW, &idle, &ahead));
}
