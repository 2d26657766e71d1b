/* Times of jobs from what callers say: a table of cases. */
#include <gtest/gtest.h>

#include "guess.h"

static const struct {
    const char *what;
    uint32_t declared_ms;
    uint32_t left_ms;
    gs_guess want;
} guesses[] = {
    /* 1500 of timeout and three objectives of 1.6 x 200 + 60 ms */
    {"declared too long", 320, 1500 + 3 * 380, {200, 380, 1140}},
    {"declared too short", 120, 1500 + 3 * 380, {200, 380, 1140}},
    {"declared far off: a client with a habit of its own", 20, 1500 + 3 * 380,
        {20, 92, 2640}},
    {"no time beyond the timeout", 100, 1500, {100, 0, 1500}},
    {"a client about to leave", 100, 18, {100, 0, 18}},
    {"sent again: less time is left", 200, 1500 + 300, {200, 0, 1800}},
    {"nothing declared", 0, 1500 + 600, {0, 60, 2100}},
};

TEST(Guess, RunTimesFromDeadlines)
{
    const gs_route r = {1600, 60, 1500};

    for (auto &c : guesses) {
        gs_guess g = gs_times(&r, c.declared_ms, c.left_ms);

        EXPECT_EQ(g.run_ms, c.want.run_ms) << c.what;
        EXPECT_EQ(g.objective_ms, c.want.objective_ms) << c.what;
        EXPECT_EQ(g.use_ms, c.want.use_ms) << c.what;
    }
}
