/* Whole days in virtual time, with the deciding modules as they are. */
#include <gtest/gtest.h>

#include <string>

#include "sim.h"

namespace {

struct Day {
    sim_deployment d;
    sim_result r;

    Day(uint64_t seed, const sim_ranges &ranges)
    {
        sim_draw(&d, seed, &ranges);
        sim_play(&d, &r);
    }
    ~Day()
    {
        sim_result_free(&r);
    }
    std::string
    broken() const
    {
        return r.broken.n > 0 ? std::string(r.broken.p, r.broken.n) : "";
    }
};

sim_ranges
short_days()
{
    sim_ranges r;

    sim_ranges_init(&r);
    r.length_ms = 16000;
    r.workers_max = 8;
    r.entries_max = 1;
    return r;
}

} // namespace

TEST(Sim, TheSameSeedGivesTheSameDay)
{
    sim_ranges ranges = short_days();
    Day one(7, ranges);
    Day two(7, ranges);
    Day other(8, ranges);

    EXPECT_EQ(one.r.worth, two.r.worth);
    EXPECT_EQ(one.r.messages, two.r.messages);
    EXPECT_EQ(one.r.runs, two.r.runs);
    EXPECT_NE(one.r.messages, other.r.messages);
}

/* Each trouble in turn, with others drawn beside it: no worker over its
 * capacity, no task twice at a time, no untrue "not run". */
TEST(Sim, PromisesHoldUnderEachTrouble)
{
    for (int kind = 0; kind < SIM_TROUBLE_KINDS; kind++) {
        sim_ranges ranges = short_days();

        ranges.every[kind] = true;
        for (uint64_t seed = 1; seed <= 3; seed++) {
            Day day(seed, ranges);

            EXPECT_EQ(day.broken(), "")
                << sim_trouble_names[kind] << " seed " << seed;
            EXPECT_GT(day.r.whole.in_time, 0u);
        }
    }
}

TEST(Sim, EveryRequestHasAnEnd)
{
    sim_ranges ranges = short_days();

    ranges.every[SIM_DARK] = true;
    for (uint64_t seed = 1; seed <= 4; seed++) {
        Day day(seed, ranges);
        const sim_sum &w = day.r.whole;

        EXPECT_LE(w.in_time + w.late + w.refused + w.lost, w.asked);
        EXPECT_GT(w.lost, 0u) << "the dark is felt";
    }
}
