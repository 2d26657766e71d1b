/* The policy under load: placing, moving, refusing, fairness, recovery of
 * capacity.  Each case says what a caller sees. */
#include <gtest/gtest.h>

#include <cstring>

#include "fleet.hh"

namespace {

void
ready(Fleet &f)
{
    ASSERT_TRUE(f.settle());
    f.contract("one");
    f.run(6000);
}

/* No worker could ever hold the task: the caller hears so at once. */
TEST(Work, NeverFitsIsRefusedAtOnce)
{
    Fleet f(1);

    ready(f);
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

/* More work than the deadline leaves time for is refused early: the caller
 * gets "not run" and a time to come back, not a late failure. */
TEST(Work, EarlyRefusalIsTrueAndAtOnce)
{
    Fleet f(2);
    size_t refused = 0;

    ready(f);
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

/* A quiet fleet, then one large job and another: neither is refused for a
 * wait that only looks long, as little was asked for before. */
TEST(Work, AQuietFleetRefusesNothingEarly)
{
    Fleet f(8);

    ready(f);
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

/* One worker fails everything it is given.  Being idle it would draw all
 * work to itself; on probation it gets a few probes. */
size_t
failed_answers(bool probation)
{
    Fleet f(3);
    size_t failed = 0;

    f.configure = [probation](node_cfg &c) {
        c.place.sick_permille = probation ? 500 : 100000;
    };
    ready(f);
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

/* A customer floods the fleet; another's guaranteed slots serve it all the
 * same, at once. */
TEST(Work, GuaranteedSlotsUnderAFlood)
{
    Fleet f(4);
    uint64_t worst = 0;

    ready(f);
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
        worst = std::max(worst, f.answer(i).at - f.requests[i].at);
    }
    /* A running task of 500 ms is never stopped, so one may be in front. */
    EXPECT_LT(worst, 1500U);
    f.check();
    EXPECT_EQ(f.violations_text(), "");
}

/* A domain returns: its workers are at work within seconds, and no worker
 * ever has more tasks than slots (checked by the fleet). */
TEST(Work, ADomainReturnsToWork)
{
    Fleet f(5);
    size_t early = 0;

    ready(f);
    f.domain("domain2", false);
    f.run(3000);
    f.domain("domain2", true);
    uint64_t back = f.now;

    for (int i = 0; i < 100; i++) {
        f.at((uint64_t)i * 50, [&f, i] {
            f.submit(i % 2, "one", "k" + std::to_string(i), 4, 200);
        });
    }
    f.run(15000);
    for (auto &s : f.starts) {
        early +=
            s.second[0].domain == "domain2" && s.second[0].at < back + 3000;
    }
    EXPECT_GT(early, 10U);
    f.check();
    EXPECT_EQ(f.violations_text(), "");
}

/* All agents are restarted one after another under load: nothing is started
 * twice, and every caller gets a whole answer. */
TEST(Work, PlannedRestartOfAllUnderLoad)
{
    Fleet f(6, 3, 6);
    size_t complete = 0;

    ready(f);
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

/* A wave of cancels over running and waiting jobs: each is answered, and
 * what was told "not started" never starts. */
TEST(Work, CancelWave)
{
    Fleet f(7);

    ready(f);
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
