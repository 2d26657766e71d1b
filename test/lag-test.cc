/* An entry that gets too little of a processor for what comes. */
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <vector>

#include "intake.h"
#include "lag.h"

namespace {

constexpr uint64_t SECOND = 1000000;

/* Passes of 10 ms in all, of which part is busy; a probe each 20 ms. */
struct Process {
    lag l = {};
    uint64_t now = SECOND;

    void
    run(uint64_t for_us, double busy, double probe_us)
    {
        uint64_t end = now + for_us;

        for (int i = 0; now < end; i++) {
            uint64_t pass = (uint64_t)(10000 * busy);

            lg_pass_start(&l, now);
            if (i % 2 == 0) {
                lg_record_probe(&l, now, (uint64_t)probe_us, 1);
            }
            lg_pass_end(&l, now + pass);
            now += 10000;
        }
    }
    /* us until it is in the state, at most 60 s. */
    uint64_t
    until(bool out, double busy, double probe_us)
    {
        uint64_t began = now;

        while (lg_is_out_of_rotation(&l) != out && now < began + 60 * SECOND) {
            run(10000, busy, probe_us);
        }
        return now - began;
    }
};

} // namespace

TEST(Lag, AnEntryThatTurnsSlowLeavesBeforeItsCallersFindOut)
{
    Process p;

    p.run(10 * SECOND, 0.3, 100);
    EXPECT_FALSE(lg_is_out_of_rotation(&p.l));
    EXPECT_LT(p.until(true, 1, 600), SECOND / 2);
}

/* All entries leave the rotation in a burst, as each has so many jobs that a
 * look at all of them takes long. */
TEST(Lag, ManyJobsMakeNoEntrySlow)
{
    lag l = {};
    uint64_t now = SECOND;

    for (int i = 0; i < 500; i++, now += 20000) {
        lg_record_probe(&l, now, 100, 24);
    }
    for (int i = 0; i < 100; i++, now += 20000) {
        lg_record_probe(&l, now, 1000, 240);
    }
    EXPECT_FALSE(lg_is_slow(&l));
    for (int i = 0; i < 100; i++, now += 20000) {
        lg_record_probe(&l, now, 6000, 240);
    }
    EXPECT_TRUE(lg_is_slow(&l));
}

TEST(Lag, ASlowEntryWithTimeToSpareStays)
{
    Process p;

    p.run(10 * SECOND, 0.1, 100);
    p.run(10 * SECOND, 0.5, 600);
    EXPECT_FALSE(lg_is_out_of_rotation(&p.l));
}

/* It comes back at once, is behind again before it has been seen to be ready,
 * and so on: without requests it keeps up, however slow it is. */
TEST(Lag, ItIsBackOnlyWhenItIsAsFastAsUsual)
{
    Process p;

    p.run(10 * SECOND, 0.3, 100);
    p.until(true, 1, 600);
    p.run(7 * SECOND, 0.1, 600);
    EXPECT_TRUE(lg_is_out_of_rotation(&p.l));
    EXPECT_LT(p.until(false, 0.1, 100), 2 * SECOND);
}

TEST(Lag, ItIsTriedAgainThoughItNeverGetsAsFastAsItWas)
{
    Process p;

    p.run(10 * SECOND, 0.3, 100);
    p.until(true, 1, 600);
    EXPECT_LT(p.until(false, 0.1, 600), 12 * SECOND);
}

/* All entries have too much to do: out of rotation they could not help one
 * another. */
TEST(Lag, WhereAllHaveTooMuchToDoNoneIsOutForLong)
{
    Process p;
    uint64_t out = 0;

    p.run(10 * SECOND, 0.3, 100);
    for (int i = 0; i < 6000; i++) {
        p.run(10000, 1, 100); /* as those out of rotation get callers too */
        out += lg_is_out_of_rotation(&p.l);
    }
    EXPECT_LT(out, 6000u / 6);
}

TEST(Lag, ABurstOfMessagesIsNoReasonToLeave)
{
    Process p;

    p.run(10 * SECOND, 0.3, 100);
    p.run(SECOND / 4, 1, 100);
    EXPECT_FALSE(lg_is_out_of_rotation(&p.l));
}

TEST(Lag, ABusyEntryAsksForLessAndGivesMore)
{
    Process p;

    p.run(5 * SECOND, 0.3, 100);
    EXPECT_EQ(lg_report_interval_ms(&p.l), 0u);
    EXPECT_EQ(lg_forward_share(&p.l), 0);
    p.run(5 * SECOND, 0.75, 100);
    EXPECT_GT(lg_report_interval_ms(&p.l), 0u);
    EXPECT_GT(lg_forward_share(&p.l), 0.2);
    EXPECT_LT(lg_forward_share(&p.l), 0.8);
    p.run(5 * SECOND, 1, 100);
    EXPECT_EQ(lg_report_interval_ms(&p.l), LG_REPORT_INTERVAL_MAX_MS);
    EXPECT_EQ(lg_forward_share(&p.l), 1);
}

namespace {

/* us of processor time: reading a request or sending an answer, beginning a
 * request, and the messages of its runs. */
constexpr double READ_US = 20;
constexpr double BEGIN_US = 30;
constexpr double RUNS_US = 60;

/* An entry that takes requests in as they come, pass after pass. */
struct SmallEntry {
    double share; /* of a processor */
    double per_s;
    intake t = {};
    uint64_t now = SECOND;
    double next = SECOND;
    double runs_us = 0; /* due for requests that were begun */
    std::vector<uint64_t> come;
    uint64_t longest_pass = 0;
    uint64_t longest_wait = 0;
    size_t asked = 0;
    size_t begun = 0;
    size_t refused = 0;

    SmallEntry(double share, double per_s) : share(share), per_s(per_s)
    {
    }
    ~SmallEntry()
    {
        it_free(&t);
    }
    void
    work(double us)
    {
        now += (uint64_t)(us / share);
    }
    void
    take_in()
    {
        while (next <= (double)now) {
            work(READ_US);
            come.push_back((uint64_t)next);
            asked++;
            next += SECOND / per_s;
            if (!it_add(&t, now, (void *)come.size())) {
                work(READ_US);
                refused++;
            }
        }
    }
    void
    begin_some()
    {
        void *handle;

        for (;;) {
            it_action turn = it_next(&t, now, &handle);

            if (turn == IT_NONE) {
                return;
            }
            longest_wait =
                std::max(longest_wait, now - come[(size_t)handle - 1]);
            if (turn == IT_REFUSE) {
                work(READ_US);
                refused++;
                continue;
            }
            work(BEGIN_US);
            runs_us += RUNS_US + READ_US;
            begun++;
        }
    }
    void
    run(uint64_t for_us)
    {
        uint64_t end = now + for_us;

        while (now < end) {
            uint64_t began = now;

            work(runs_us);
            runs_us = 0;
            begin_some();
            take_in();
            longest_pass = std::max(longest_pass, now - began);
            if (it_count(&t) == 0 && runs_us <= 0) {
                now = std::max(now, (uint64_t)std::ceil(next));
            }
        }
    }
    double
    most() const
    {
        return share * SECOND / (2 * READ_US + BEGIN_US + RUNS_US);
    }
};

} // namespace

/* The entry reads all that comes and answers nothing: one pass of its loop
 * takes seconds, and its sessions end meanwhile. */
TEST(Intake, MoreThanItCanDoIsRefusedAndTheRestServedInTime)
{
    SmallEntry e(0.02, 260);

    e.run(7 * SECOND);
    EXPECT_LT(e.longest_pass, 200000u);
    EXPECT_LT(e.longest_wait, IT_MAX_WAIT_US + 200000);
    /* Refusing costs something too. */
    EXPECT_GT((double)e.begun, 0.6 * 7 * e.most());
    EXPECT_GE(e.begun + e.refused + it_count(&e.t), e.asked);
}

TEST(Intake, WhatItCanDoIsNotRefused)
{
    SmallEntry e(0.02, 110);

    e.run(7 * SECOND);
    EXPECT_EQ(e.refused, 0u);
    EXPECT_GE(e.begun + it_count(&e.t), e.asked);
}

TEST(Intake, ABurstThatItCanDoInTimeIsNotRefused)
{
    SmallEntry e(0.12, 100);

    e.run(SECOND);
    for (size_t i = 0; i < 60; i++) {
        e.come.push_back(e.now);
        EXPECT_TRUE(it_add(&e.t, e.now, (void *)e.come.size())) << i;
    }
    e.run(SECOND);
    EXPECT_EQ(e.refused, 0u);
}

TEST(Intake, ACallerThatLeavesIsForgotten)
{
    intake t = {};
    int one;
    int two;
    void *handle;

    EXPECT_TRUE(it_add(&t, 1, &one));
    EXPECT_TRUE(it_add(&t, 1, &two));
    EXPECT_TRUE(it_remove(&t, &one));
    EXPECT_FALSE(it_remove(&t, &one));
    EXPECT_EQ(it_next(&t, 2, &handle), IT_START);
    EXPECT_EQ(handle, &two);
    EXPECT_EQ(it_next(&t, 3, &handle), IT_NONE);
    it_free(&t);
}
