/* Phases of a planned stop. */
#include <gtest/gtest.h>

#include <vector>

#include "leave.h"

namespace {

constexpr uint64_t MAX_MS = 5800;

struct Step {
    uint64_t at_ms; /* since the stop began */
    bool done;
    lv_action action;
};

struct StopCase {
    const char *name;
    std::vector<Step> steps;
};

const StopCase stop_cases[] = {
    {"Done", {{20, false, LV_WAIT}, {900, true, LV_EXIT}}},
    {"AnswersWritten", {{MAX_MS - LV_ANSWER_MS - 1, false, LV_WAIT},
                           {MAX_MS - LV_ANSWER_MS, false, LV_GIVE_UP},
                           {MAX_MS - LV_ANSWER_MS + 20, false, LV_WAIT},
                           {MAX_MS - LV_ANSWER_MS + 40, true, LV_EXIT}}},
    {"AnswersNotRead",
        {{MAX_MS - LV_ANSWER_MS, false, LV_GIVE_UP},
            {MAX_MS - 1, false, LV_WAIT}, {MAX_MS, false, LV_EXIT}}},
    {"PausedUntilTheEnd",
        {{20, false, LV_WAIT}, {MAX_MS + 30, false, LV_GIVE_UP},
            {MAX_MS + 50, false, LV_WAIT},
            {MAX_MS + 30 + LV_WRITE_MS, false, LV_EXIT}}},
    {"DoneAfterAPause", {{MAX_MS + 30, true, LV_EXIT}}},
};

} // namespace

/* Guards against callers whose connection ends without an answer: the stop's
 * time is over, or the process stood still until then. */
TEST(Leave, WhatStillWaitsIsAnsweredBeforeTheExit)
{
    for (const StopCase &c : stop_cases) {
        lv_stop s = {};

        EXPECT_EQ(lv_next(&s, 100000, true), LV_WAIT) << c.name;
        lv_begin(&s, 100000, MAX_MS);
        for (const Step &step : c.steps) {
            EXPECT_EQ(lv_next(&s, 100000 + step.at_ms, step.done), step.action)
                << c.name << " at " << step.at_ms;
        }
    }
}
