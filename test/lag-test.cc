/* Entries that get too little processor time for the requests that arrive. */
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <vector>

#include "intake.h"
#include "lag.h"

namespace {

constexpr uint64_t SECOND = 1000000;

/* Starts a pass every 10 ms, which takes the given fraction of that time, and
 * a probe every 20 ms. */
struct Process {
    lag l = {};
    uint64_t now = SECOND;

    void
    run(uint64_t for_us, double utilization, double probe_us)
    {
        uint64_t end = now + for_us;

        for (int i = 0; now < end; i++) {
            uint64_t pass = (uint64_t)(10000 * utilization);

            lg_pass_start(&l, now);
            if (i % 2 == 0) {
                lg_record_probe(&l, now, (uint64_t)probe_us, 1);
            }
            lg_pass_end(&l, now + pass);
            now += 10000;
        }
    }
    /* us until it is out of rotation or back, at most 60 s. */
    uint64_t
    until(bool out, double utilization, double probe_us)
    {
        uint64_t start = now;

        while (lg_is_out_of_rotation(&l) != out && now < start + 60 * SECOND) {
            run(10000, utilization, probe_us);
        }
        return now - start;
    }
};

} // namespace

TEST(Lag, EntryThatBecomesSlowLeavesTheRotationSoon)
{
    Process p;

    p.run(10 * SECOND, 0.3, 100);
    EXPECT_FALSE(lg_is_out_of_rotation(&p.l));
    EXPECT_LT(p.until(true, 1, 600), SECOND / 2);
}

/* Guards against all entries leaving the rotation in a burst, as each has so
 * many jobs that a scan of all of them takes long. */
TEST(Lag, ManyJobsDoNotMakeAnEntrySlow)
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

TEST(Lag, SlowEntryWithSpareTimeStaysInRotation)
{
    Process p;

    p.run(10 * SECOND, 0.1, 100);
    p.run(10 * SECOND, 0.5, 600);
    EXPECT_FALSE(lg_is_out_of_rotation(&p.l));
}

/* Guards against an entry that returns at once and is overloaded again before
 * the load balancer has seen it ready, over and over: without requests it
 * keeps up, however slow it is. */
TEST(Lag, ReturnsOnlyWhenAsFastAsUsual)
{
    Process p;

    p.run(10 * SECOND, 0.3, 100);
    p.until(true, 1, 600);
    p.run(7 * SECOND, 0.1, 600);
    EXPECT_TRUE(lg_is_out_of_rotation(&p.l));
    EXPECT_LT(p.until(false, 0.1, 100), 2 * SECOND);
}

TEST(Lag, ReturnsEventuallyEvenIfItStaysSlow)
{
    Process p;

    p.run(10 * SECOND, 0.3, 100);
    p.until(true, 1, 600);
    EXPECT_LT(p.until(false, 0.1, 600), 12 * SECOND);
}

/* Guards against entries that leave the rotation although all are overloaded:
 * they cannot relieve one another. */
TEST(Lag, NoneIsOutOfRotationForLongIfAllAreOverloaded)
{
    Process p;
    uint64_t out = 0;

    p.run(10 * SECOND, 0.3, 100);
    for (int i = 0; i < 6000; i++) {
        p.run(10000, 1, 100); /* requests also reach entries out of rotation */
        out += lg_is_out_of_rotation(&p.l);
    }
    EXPECT_LT(out, 6000u / 6);
}

TEST(Lag, BurstOfMessagesIsNoReasonToLeaveTheRotation)
{
    Process p;

    p.run(10 * SECOND, 0.3, 100);
    p.run(SECOND / 4, 1, 100);
    EXPECT_FALSE(lg_is_out_of_rotation(&p.l));
}

TEST(Lag, BusyEntryAsksForFewerReportsAndForwardsMore)
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

/* us of processor time: to read a request or send an answer, to start a
 * request, and for the messages of its runs. */
constexpr double READ_US = 20;
constexpr double START_US = 30;
constexpr double RUNS_US = 60;

/* An entry that reads all requests that have arrived in each pass of its event
 * loop. */
struct SlowProcessEntry {
    double share; /* of a processor */
    double requests_per_s;
    intake t = {};
    uint64_t now = SECOND;
    double next_arrival_us = SECOND;
    double runs_us = 0; /* due for the runs of started requests */
    std::vector<uint64_t> arrived_us;
    uint64_t longest_pass = 0;
    uint64_t longest_wait = 0;
    size_t requests = 0;
    size_t started = 0;
    size_t refused = 0;

    SlowProcessEntry(double share, double requests_per_s)
        : share(share), requests_per_s(requests_per_s)
    {
    }
    ~SlowProcessEntry()
    {
        it_free(&t);
    }
    void
    work(double us)
    {
        now += (uint64_t)(us / share);
    }
    void
    read_requests()
    {
        while (next_arrival_us <= (double)now) {
            work(READ_US);
            arrived_us.push_back((uint64_t)next_arrival_us);
            requests++;
            next_arrival_us += SECOND / requests_per_s;
            if (!it_add(&t, now, (void *)arrived_us.size())) {
                work(READ_US);
                refused++;
            }
        }
    }
    void
    start_requests()
    {
        void *handle;

        for (;;) {
            it_action action = it_next(&t, now, &handle);

            if (action == IT_NONE) {
                return;
            }
            longest_wait =
                std::max(longest_wait, now - arrived_us[(size_t)handle - 1]);
            if (action == IT_REFUSE) {
                work(READ_US);
                refused++;
                continue;
            }
            work(START_US);
            runs_us += RUNS_US + READ_US;
            started++;
        }
    }
    void
    run(uint64_t for_us)
    {
        uint64_t end = now + for_us;

        while (now < end) {
            uint64_t start = now;

            work(runs_us);
            runs_us = 0;
            start_requests();
            read_requests();
            longest_pass = std::max(longest_pass, now - start);
            if (it_count(&t) == 0 && runs_us <= 0) {
                now = std::max(now, (uint64_t)std::ceil(next_arrival_us));
            }
        }
    }
    double
    capacity_per_s() const
    {
        return share * SECOND / (2 * READ_US + START_US + RUNS_US);
    }
};

} // namespace

/* Guards against an entry that reads all requests and answers none: one pass
 * of its loop takes seconds, and its sessions expire meanwhile. */
TEST(Intake, ExcessRequestsAreRefusedAndTheRestServedInTime)
{
    SlowProcessEntry e(0.02, 260);

    e.run(7 * SECOND);
    EXPECT_LT(e.longest_pass, 200000u);
    EXPECT_LT(e.longest_wait, IT_MAX_WAIT_US + 200000);
    /* Refusals take processor time, too. */
    EXPECT_GT((double)e.started, 0.6 * 7 * e.capacity_per_s());
    EXPECT_GE(e.started + e.refused + it_count(&e.t), e.requests);
}

TEST(Intake, NothingIsRefusedBelowCapacity)
{
    SlowProcessEntry e(0.02, 110);

    e.run(7 * SECOND);
    EXPECT_EQ(e.refused, 0u);
    EXPECT_GE(e.started + it_count(&e.t), e.requests);
}

TEST(Intake, BurstThatCanBeServedInTimeIsNotRefused)
{
    SlowProcessEntry e(0.12, 100);

    e.run(SECOND);
    for (size_t i = 0; i < 60; i++) {
        e.arrived_us.push_back(e.now);
        EXPECT_TRUE(it_add(&e.t, e.now, (void *)e.arrived_us.size())) << i;
    }
    e.run(SECOND);
    EXPECT_EQ(e.refused, 0u);
}

TEST(Intake, RequestOfACallerThatLeftIsRemoved)
{
    intake t = {};
    int first;
    int second;
    void *handle;

    EXPECT_TRUE(it_add(&t, 1, &first));
    EXPECT_TRUE(it_add(&t, 1, &second));
    EXPECT_TRUE(it_remove(&t, &first));
    EXPECT_FALSE(it_remove(&t, &first));
    EXPECT_EQ(it_next(&t, 2, &handle), IT_START);
    EXPECT_EQ(handle, &second);
    EXPECT_EQ(it_next(&t, 3, &handle), IT_NONE);
    it_free(&t);
}

/* Guards against a second owner of a request: a copy must be found while the
 * first waits. */
TEST(Intake, WaitingRequestIsFound)
{
    intake t = {};
    int requests[] = {5, 7, 7};
    int key = 7;
    auto same = [](const void *a, const void *b) {
        return *static_cast<const int *>(a) == *static_cast<const int *>(b);
    };

    for (int &r : requests) {
        EXPECT_TRUE(it_add(&t, 1, &r));
    }
    EXPECT_EQ(it_find(&t, same, &key), &requests[1]);
    EXPECT_TRUE(it_remove(&t, &requests[1]));
    EXPECT_EQ(it_find(&t, same, &key), &requests[2]);
    EXPECT_TRUE(it_remove(&t, &requests[2]));
    EXPECT_EQ(it_find(&t, same, &key), nullptr);
    it_free(&t);
}
