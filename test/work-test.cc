/* Placement, moves, early refusal, fairness and return of capacity under
 * load, as seen by callers. */
#include <gtest/gtest.h>

#include <cstring>

#include "fleet.hh"

namespace {

void
set_up(Fleet &f)
{
    ASSERT_TRUE(f.settle());
    f.contract("one");
    f.run(6000);
}

/* A task larger than every worker must be refused at once, not wait for its
 * deadline. */
TEST(Work, NeverFitsIsRefusedAtOnce)
{
    Fleet f(1);

    set_up(f);
    f.memory_mb = 200000;
    size_t r = f.submit(0, "one", "huge", 1, 50);
    f.memory_mb = 131072;
    size_t fits = f.submit(0, "one", "large", 1, 50);
    f.run(1000);
    ASSERT_TRUE(f.answered(r) && f.answered(fits));
    EXPECT_EQ(f.answer(r).state, DW_A_NOT_RUN);
    EXPECT_EQ(f.answer(r).reason, "never_fits");
    EXPECT_LT(f.answer(r).at - f.requests[r].at, 100U);
    EXPECT_EQ(f.answer(fits).state, DW_A_COMPLETE);
    f.check();
    EXPECT_EQ(f.violations_text(), "");
}

/* Work that cannot meet its deadline must be refused early, with "not run" and
 * a retry delay, rather than fail late. */
TEST(Work, EarlyRefusalIsTrueAndAtOnce)
{
    Fleet f(2);
    size_t refused = 0;

    set_up(f);
    for (int i = 0; i < 120; i++) {
        f.at((uint64_t)i * 25, [&f, i] {
            f.submit(i % 2, "one", "k" + std::to_string(i), 20, 400, 3000);
        });
    }
    f.run(20000);
    for (size_t i = 0; i < f.requests.size(); i++) {
        const Answer &a = f.answer(i);

        if (a.reason != "deadline_cannot_be_met") {
            continue;
        }
        refused++;
        EXPECT_EQ(a.state, DW_A_NOT_RUN);
        EXPECT_GT(a.retry_ms, 0U);
        EXPECT_LT(a.at - f.requests[i].at, 500U);
    }
    EXPECT_GT(refused, 0U);
    f.check();
    EXPECT_EQ(f.violations_text(), "");
}

/* A few small jobs, then a burst of large ones.  The drain rate of an idle
 * fleet reflects its low demand; taken for its capacity, it would make the
 * expected wait too long and refuse the burst. */
TEST(Work, AQuietFleetRefusesNothingEarly)
{
    Fleet f(8);

    set_up(f);
    for (int i = 0; i < 60; i++) {
        f.at((uint64_t)i * 300, [&f, i] {
            f.submit(0, "one", "slow" + std::to_string(i), 1, 20, 3000);
        });
    }
    for (int i = 0; i < 12; i++) {
        f.at(9000 + (uint64_t)i * 3, [&f, i] {
            f.submit(i % 2, "one", "big" + std::to_string(i), 100, 20, 3000);
        });
    }
    f.run(25000);
    for (size_t i = 0; i < f.requests.size(); i++) {
        EXPECT_EQ(f.answer(i).state, DW_A_COMPLETE) << f.answer(i).reason;
    }
    f.check();
    EXPECT_EQ(f.violations_text(), "");
}

/* A worker that fails every task is always idle and would attract all work.
 * On probation it gets single tasks only.  Returns the failed answers. */
size_t
failed_answers(bool probation)
{
    Fleet f(3);
    size_t failed = 0;

    f.configure = [probation](node_cfg &c) {
        c.place.probation_permille = probation ? 500 : 100000;
    };
    set_up(f);
    f.agent(2).fails_all_tasks = true;
    for (int i = 0; i < 400; i++) {
        f.at((uint64_t)i * 25, [&f, i] {
            f.submit(i % 2, "one", "k" + std::to_string(i), 1, 100);
        });
    }
    f.run(20000);
    for (size_t i = 0; i < f.requests.size(); i++) {
        failed += f.answer(i).state == DW_A_FAILED;
    }
    f.check();
    EXPECT_EQ(f.violations_text(), "");
    return failed;
}

TEST(Work, ProbationOfAWorkerThatFailsEverything)
{
    size_t with = failed_answers(true);
    size_t without = failed_answers(false);

    EXPECT_LT(with * 2, without) << with << " with, " << without << " without";
}

/* While one customer floods the fleet, another's guaranteed slots must serve
 * it without waiting behind the flood. */
TEST(Work, GuaranteedSlotsUnderAFlood)
{
    Fleet f(4);
    uint64_t longest_ms = 0;

    set_up(f);
    f.contract("small", 1000, 1000, 12);
    f.run(6000);
    for (int i = 0; i < 60; i++) {
        f.submit(i % 2, "one", "flood" + std::to_string(i), 40, 500, 60000);
    }
    for (int i = 0; i < 20; i++) {
        f.at(1000 + (uint64_t)i * 200, [&f, i] {
            f.submit(i % 2, "small", "s" + std::to_string(i), 2, 100, 20000);
        });
    }
    f.run(60000);
    for (size_t i = 60; i < f.requests.size(); i++) {
        ASSERT_EQ(f.answer(i).state, DW_A_COMPLETE) << f.answer(i).reason;
        longest_ms = std::max(longest_ms, f.answer(i).at - f.requests[i].at);
    }
    /* Running tasks are not preempted: one of 500 ms may come first. */
    EXPECT_LT(longest_ms, 1500U);
    f.check();
    EXPECT_EQ(f.violations_text(), "");
}

/* The workers of a failure domain that returns to service must get tasks
 * within seconds, and never more than their slots (checked by Fleet). */
TEST(Work, ADomainReturnsToWork)
{
    Fleet f(5);
    size_t early_starts = 0;

    set_up(f);
    f.domain("domain2", false);
    f.run(3000);
    f.domain("domain2", true);
    uint64_t returned_ms = f.now;

    for (int i = 0; i < 100; i++) {
        f.at((uint64_t)i * 50, [&f, i] {
            f.submit(i % 2, "one", "k" + std::to_string(i), 4, 200);
        });
    }
    f.run(15000);
    for (auto &s : f.starts) {
        early_starts += s.second[0].domain == "domain2" &&
                        s.second[0].at < returned_ms + 3000;
    }
    EXPECT_GT(early_starts, 10U);
    f.check();
    EXPECT_EQ(f.violations_text(), "");
}

/* All agents restart one after another under load: no task may start twice,
 * and every caller must get a complete answer. */
TEST(Work, PlannedRestartOfAllUnderLoad)
{
    Fleet f(6, 3, 6);
    size_t complete = 0;

    set_up(f);
    for (int i = 0; i < 600; i++) {
        f.at((uint64_t)i * 100,
            [&f, i] { f.submit(0, "one", "k" + std::to_string(i), 2, 150); });
    }
    for (size_t i = 0; i < 6; i++) {
        f.at(2000 + i * 9000, [&f, i] { f.leave(f.entries() + i); });
        f.at(2000 + i * 9000 + 6000, [&f, i] {
            EXPECT_FALSE(f.agent(i).up) << "did not leave in 6 s";
            if (!f.agent(i).up) {
                f.restart(f.entries() + i);
            }
        });
    }
    f.run(90000);
    for (size_t i = 0; i < f.requests.size(); i++) {
        ASSERT_TRUE(f.answered(i)) << i;
        complete += f.answer(i).state == DW_A_COMPLETE;
    }
    EXPECT_EQ(complete, 600U);
    f.check();
    EXPECT_EQ(f.violations_text(), "");
}

/* Many running and waiting jobs are cancelled: each request must be answered,
 * and a task reported as not started must never start (checked by Fleet). */
TEST(Work, CancelWave)
{
    Fleet f(7);

    set_up(f);
    for (int i = 0; i < 40; i++) {
        f.submit(i % 2, "one", "k" + std::to_string(i), 10, 1000, 60000);
    }
    f.run(700);
    for (int i = 0; i < 40; i++) {
        f.submit((i + 1) % 2, "one", "k" + std::to_string(i), 10, 0, 5000,
            FRONT_CANCEL);
    }
    f.run(20000);
    for (size_t i = 0; i < f.requests.size(); i++) {
        ASSERT_TRUE(f.answered(i)) << i;
        EXPECT_NE(f.answer(i).state, DW_A_COMPLETE);
    }
    f.check();
    EXPECT_EQ(f.violations_text(), "");
}

} // namespace
