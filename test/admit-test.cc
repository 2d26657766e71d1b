/* Admission on arrival: prediction, corrections, and days under overload. */
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "admit.h"
#include "sim.h"

namespace {

const struct dm_estimate unknown = {};

/* A worker of 10 cores; work of one core-second is 1e6. */
am_queue
queue_of(double ahead, double on_time, double urgent_rate, double total_rate)
{
    return {10000, ahead, on_time, urgent_rate, total_rate};
}

struct dm_estimate
estimate_of(uint32_t urgency, double work, double cores)
{
    struct dm_estimate e = {};

    e.known = true;
    e.age_ms = 120;
    e.cores = cores;
    e.work[urgency][0] = work;
    return e;
}

} // namespace

/* Guards against waits that leave out later urgent arrivals, or that a job
 * falls behind all others once it has missed its objective. */
TEST(Admit, WaitFollowsTheWorkAheadAndWhatArrives)
{
    struct {
        const char *name;
        am_queue queue;
        double on_time_ms;
        double wait_ms;
    } cases[] = {
        {"work over cores", queue_of(1e6, 1e6, 0, 0), 1000, 100},
        {"urgent arrivals take half", queue_of(1e6, 1e6, 5000, 5000), 1000,
            200},
        {"late: the rest drains beside half of the arrivals",
            queue_of(2e6, 4e6, 0, 5000), 100, 100 + 700},
        {"late, and arrivals take all cores", queue_of(2e6, 2e6, 0, 11000),
            100, 100 + 2.1e6 / 200},
        {"no cores", {0, 1, 1, 0, 0}, 100, AM_WAIT_MAX_MS},
    };

    for (const auto &c : cases) {
        am_job j = {c.on_time_ms, 3000, 1200, 0, 0};

        EXPECT_NEAR(am_wait_ms(&c.queue, &unknown, &j), c.wait_ms, 1)
            << c.name;
    }
}

/* Guards against an entry with a short queue that admits jobs which the other
 * entries' more urgent work delays, and against the use of an estimate that is
 * unknown. */
TEST(Admit, EstimateOfTheFleetReplacesTheOwnQueueOnlyWhenKnown)
{
    am_queue own = queue_of(1e5, 1e5, 0, 0);
    am_job j = {1000, 3000, 1000, 0, 0}; /* urgency 5: from 800 to 1600 ms */
    struct {
        const char *name;
        struct dm_estimate estimate;
        double wait_ms;
    } cases[] = {
        {"more urgent", estimate_of(0, 1e7, 100000), 100},
        {"as urgent: half is ahead", estimate_of(5, 1e7, 100000), 50},
        {"less urgent", estimate_of(6, 1e7, 100000), 0},
        {"late", estimate_of(DM_URGENCY_LATE, 1e7, 100000), 0},
        {"without cores", estimate_of(0, 1e7, 0), 10},
        {"unknown", unknown, 10},
    };

    for (const auto &c : cases) {
        EXPECT_NEAR(am_wait_ms(&own, &c.estimate, &j), c.wait_ms, 0.1)
            << c.name;
    }
}

/* Guards against an estimate by which a job waits for work that the fleet's
 * free cores take at once, or in which its own work takes no time. */
TEST(Admit, EstimateCountsFreeCoresAndTheOwnWork)
{
    am_queue own = queue_of(1e5, 1e5, 0, 0);
    am_job j = {1000, 3000, 1000, 2e6, 20000};
    struct dm_estimate e = estimate_of(0, 8e6, 100000);

    e.millicores[0][0] = 80000;
    EXPECT_NEAR(am_wait_ms(&own, &e, &j), 100, 0.1);
    e.free = 50000; /* half of the work starts at once */
    EXPECT_NEAR(am_wait_ms(&own, &e, &j), 50, 0.1);
    e.free = 100000;
    EXPECT_NEAR(am_wait_ms(&own, &e, &j), 0, 0.1);
}

/* Guards against a prediction that is always too long and refuses jobs that
 * would have been served: outcomes shorten it. */
TEST(Admit, OutcomesCorrectThePrediction)
{
    am_state s = {};
    am_queue q = queue_of(3e7, 3e7, 0, 0); /* 3000 ms */
    am_job j = {5000, 500, 5000, 0, 0};

    EXPECT_TRUE(am_decide(&s, 1000, "r", &q, &unknown, &j).refuse);
    for (int i = 0; i < 50; i++) {
        am_placed(&s, 1000, "r", 3000, 300);
    }
    EXPECT_FALSE(am_decide(&s, 1000, "r", &q, &unknown, &j).refuse);
    EXPECT_TRUE(am_decide(&s, 1000, "other", &q, &unknown, &j).refuse);
    EXPECT_EQ(s.actual.count, 50u);
    EXPECT_EQ(s.predicted.count, 1u);
    am_free(&s);
}

/* Guards against a distribution of served jobs alone: those that were given up
 * would have waited longer than they did. */
TEST(Admit, JobsGivenUpCountAsLongerWaits)
{
    am_state s = {};

    for (int i = 0; i < 50; i++) {
        am_placed(&s, 1000, "r", 1000, 500);
    }
    double before = am_ratio_quantile(&s.routes->ratios, 1000, 500);
    for (int i = 0; i < 150; i++) {
        am_given_up(&s, 1000, "r", 1000, 1000);
    }
    EXPECT_LT(before, 0.8);
    EXPECT_GT(am_ratio_quantile(&s.routes->ratios, 1000, 500), 1);
    am_free(&s);
}

/* Guards against refusals that go on after the overload: a route of which all
 * jobs are refused has no outcomes, so old ones must lose their weight. */
TEST(Admit, CorrectionsFadeAndAreLostByARestart)
{
    am_state s = {};
    am_ratios fresh = {};

    for (int i = 0; i < 100; i++) {
        am_given_up(&s, 1000, "r", 100, 3000);
    }
    EXPECT_GT(am_ratio_quantile(&s.routes->ratios, 1000, 250), 8);
    EXPECT_LT(am_ratio_quantile(&s.routes->ratios, 60000, 250), 1);
    EXPECT_NEAR(am_ratio_quantile(&fresh, 60000, 500), 1, 0.01);
    EXPECT_LT(am_ratio_quantile(&fresh, 60000, 100), 0.5);
    EXPECT_GT(am_ratio_quantile(&fresh, 60000, 900), 2);
    am_free(&s);
}

/* Guards against callers that are told to return before there is capacity, or
 * all at once. */
TEST(Admit, RetryTimeFollowsTheWaitAndIsSpread)
{
    struct {
        double corrected_ms, useful_ms, jitter;
        uint32_t retry_ms;
    } cases[] = {
        {600, 500, 0, 500},
        {4000, 1000, 0, 3000},
        {4000, 1000, 0.5, 4500},
        {AM_WAIT_MAX_MS, 1000, 0, 10000},
    };

    for (const auto &c : cases) {
        am_prediction p = {c.corrected_ms, c.corrected_ms, false, 0, true};
        am_job j = {0, c.useful_ms, 0, 0, 0};

        EXPECT_EQ(am_retry_after_ms(&p, &j, c.jitter), c.retry_ms);
    }
}

/* Guards against admitted jobs that are refused though no worker left. */
TEST(Admit, CapacityIsLostOnlyIfCoresAreClearlyFewer)
{
    EXPECT_FALSE(am_capacity_lost(1000, 1000));
    EXPECT_FALSE(am_capacity_lost(1000, 950));
    EXPECT_FALSE(am_capacity_lost(1000, 2000));
    EXPECT_TRUE(am_capacity_lost(1000, 857)); /* a seventh of the workers */
}

namespace {

/* The kinds of docs/design/hard-load.md (short and wide, long, short) on 24
 * workers of 32 cores and four entries, at 0.75 of the cores. */
sim_deployment
competing_kinds(uint64_t seed, sc_admission admission)
{
    const struct {
        double share;
        uint32_t tasks, run_ms, priority;
    } kinds[] = {{0.244, 8, 60, 0}, {0.045, 4, 900, 2}, {0.711, 2, 200, 1}};
    sim_ranges r;
    sim_deployment d;

    sim_ranges_init(&r);
    r.length_ms = 14000;
    r.workers_min = r.workers_max = 24;
    r.domains_max = 2;
    r.entries_min = r.entries_max = 2;
    sim_draw(&d, seed, &r);
    d.fault_count = 0;
    d.domain_count = 2;
    d.entry_count = 4;
    d.kind_count = 3;
    for (uint32_t i = 0; i < d.kind_count; i++) {
        d.kind[i] = {kinds[i].share, 1, (double)kinds[i].run_ms, 0.2,
            (double)kinds[i].tasks, kinds[i].tasks, 3400, 1, 0.3, 1600, 60,
            4000, 3, kinds[i].priority};
    }
    for (uint32_t i = 0; i < d.worker_count; i++) {
        d.millicores[i] = 32000;
        d.speed[i] = 1;
    }
    for (uint32_t i = 0; i < d.entry_count; i++) {
        d.entry_cores[i] = 0;
        d.entry_weight[i] = 1;
    }
    d.requests_per_s = 0.75 * 24 * 32 / 1.91; /* core-seconds of a request */
    d.retry_share = 0;
    d.run_failure_share = 0;
    d.settings = {};
    d.settings.admission = admission;
    return d;
}

void
add_fault(sim_deployment *d, sim_fault f)
{
    d->fault[d->fault_count++] = f;
}

/* Sums over some days. */
struct Days {
    sim_totals total = {};
    sim_totals kind[3] = {};
    uint64_t refused_late = 0;
    uint64_t refused_early = 0;
    std::string violations;

    Days(sc_admission admission, const std::vector<sim_fault> &faults)
    {
        for (uint64_t seed = 1; seed <= 4; seed++) {
            sim_deployment d = competing_kinds(seed, admission);
            sim_result r;

            for (const auto &f : faults) {
                add_fault(&d, f);
            }
            sim_run_day(&d, &r);
            add(r);
            sim_result_free(&r);
        }
    }
    void
    add(const sim_result &r)
    {
        total.requests += r.total.requests;
        total.in_time += r.total.in_time;
        total.refused += r.total.refused;
        total.lost += r.total.lost;
        for (int k = 0; k < 3; k++) {
            kind[k].requests += r.kind[k].requests;
            kind[k].in_time += r.kind[k].in_time;
            kind[k].late += r.kind[k].late;
        }
        refused_late += r.refused_late;
        refused_early += r.refused_early;
        violations.append(
            r.violations.p != nullptr ? r.violations.p : "", r.violations.n);
    }
    /* Share of the refused jobs held for over a quarter of their objective. */
    double
    late_share() const
    {
        return (double)refused_late /
               (double)(refused_late + refused_early + 1);
    }
};

/* The goals under overload, against the default. */
void
expect_early_refusals(const std::vector<sim_fault> &faults)
{
    Days before(SC_ADMIT_QUEUE, faults);
    Days after(SC_ADMIT_ARRIVAL, faults);
    double n = (double)before.total.requests;
    double m = (double)after.total.requests;

    EXPECT_EQ(after.violations, "");
    EXPECT_GT(before.refused_late + before.refused_early, 100u)
        << "the days are not overloaded";
    EXPECT_LE(after.late_share(), 0.1);
    EXPECT_GE((double)after.total.in_time / m,
        (double)before.total.in_time / n - 0.002);
    EXPECT_LE((double)after.total.lost / m, 0.008);
    for (int k = 0; k < 3; k++) {
        EXPECT_GT(after.kind[k].in_time + after.kind[k].late,
            after.kind[k].requests / 2)
            << "kind " << k << " is starved";
    }
}

} // namespace

/* Guards against jobs of the long kind that wait out their time, and against
 * starving it, when it doubles while a seventh of the workers are gone. */
TEST(AdmitDays, LongKindDoubledWithASeventhOfTheWorkersGone)
{
    expect_early_refusals({{SIM_BURST, 3000, 6000, 0, 2.6, 1, false},
        {SIM_CRASH, 3000, 6000, 1.0 / 7, 1, 0, false}});
}

/* Guards against entries that all admit what only one of them could have
 * served, when all are short of cores at once. */
TEST(AdmitDays, AllEntriesShortAtOnce)
{
    expect_early_refusals({{SIM_BURST, 3000, 3000, 0, 1.8, 0, true}});
}

/* Guards against wrong answers when corrections are lost or an entry dies with
 * admitted jobs. */
TEST(AdmitDays, GuaranteesHoldOverARestartUnderOverload)
{
    Days days(
        SC_ADMIT_ARRIVAL, {{SIM_BURST, 3000, 3000, 0, 1.8, 0, true},
                              {SIM_ENTRY_KILL, 4000, 500, 0, 1, 0, false}});

    EXPECT_EQ(days.violations, "");
    EXPECT_GT(days.total.in_time, days.total.requests / 2);
}
