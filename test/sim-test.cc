/* Complete simulated days; the decision modules are those of the daemon. */
#include <gtest/gtest.h>

#include <string>

#include "sess.h"
#include "sim.h"

namespace {

struct Day {
    sim_deployment d;
    sim_result r;

    Day(uint64_t seed, const sim_ranges &ranges)
    {
        sim_draw(&d, seed, &ranges);
        sim_run_day(&d, &r);
    }
    ~Day()
    {
        sim_result_free(&r);
    }
    std::string
    violations() const
    {
        return r.violations.n > 0 ? std::string(r.violations.p, r.violations.n)
                                  : "";
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

    EXPECT_EQ(one.r.score, two.r.score);
    EXPECT_EQ(one.r.messages, two.r.messages);
    EXPECT_EQ(one.r.runs, two.r.runs);
    EXPECT_NE(one.r.messages, other.r.messages);
}

/* Each fault in turn, together with drawn ones: no worker over its
 * capacity, no task twice at a time, no wrong "not run". */
TEST(Sim, GuaranteesHoldUnderEachFault)
{
    for (int kind = 0; kind < SIM_FAULT_KINDS; kind++) {
        sim_ranges ranges = short_days();

        ranges.fault_always[kind] = true;
        for (uint64_t seed = 1; seed <= 3; seed++) {
            Day day(seed, ranges);

            EXPECT_EQ(day.violations(), "")
                << sim_fault_names[kind] << " seed " << seed;
            EXPECT_GT(day.r.total.in_time, 0u);
        }
    }
}

/* Guards against ways that are compared on different days: what one of them
 * makes of a request must not change the requests that follow. */
TEST(Sim, SettingsDoNotChangeTheRequests)
{
    sim_ranges ranges = short_days();
    sim_deployment d;
    sim_result r[2];

    ranges.tail_share = 0.03;
    ranges.tail_factor = 7;
    sim_draw(&d, 1, &ranges);
    for (int i = 0; i < 2; i++) {
        d.settings.moves = i == 0 ? SC_MOVES_PACE : SC_MOVES_DISTRIBUTION;
        sim_run_day(&d, &r[i]);
    }
    EXPECT_NE(r[0].messages, r[1].messages) << "the ways do not differ";
    for (uint32_t k = 0; k < d.kind_count; k++) {
        EXPECT_EQ(r[0].kind[k].requests, r[1].kind[k].requests) << k;
    }
    sim_result_free(&r[0]);
    sim_result_free(&r[1]);
}

TEST(Sim, EveryRequestHasAnOutcome)
{
    sim_ranges ranges = short_days();

    ranges.fault_always[SIM_POWER_LOSS] = true;
    for (uint64_t seed = 1; seed <= 4; seed++) {
        Day day(seed, ranges);
        const sim_totals &totals = day.r.total;

        EXPECT_LE(totals.in_time + totals.late + totals.refused + totals.lost,
            totals.requests);
        EXPECT_GT(totals.lost, 0u) << "a power loss loses requests";
    }
}

namespace {

/* Entries with little processor time in two domains; one turns slow
 * in the middle of the day. */
sim_deployment
day_of_small_entries(uint64_t seed)
{
    sim_ranges ranges = short_days();
    sim_deployment d;

    ranges.workers_min = ranges.workers_max = 24;
    ranges.domains_max = 2;
    ranges.entries_min = ranges.entries_max = 2;
    ranges.load_min = ranges.load_max = 0.4;
    ranges.requests_per_s_max = 500;
    ranges.entry_cores_min = ranges.entry_cores_max = 0.12;
    ranges.faults_min = ranges.faults_max = 0;
    ranges.fault_always[SIM_ENTRY_SLOW] = true;
    sim_draw(&d, seed, &ranges);
    /* Ample worker capacity: only the entries are short of processor time. */
    d.requests_per_s = 700;
    for (uint32_t i = 0; i < d.worker_count; i++) {
        d.millicores[i] *= 8;
    }
    d.fault[0].start_ms = 5000;
    d.fault[0].duration_ms = 7000;
    d.fault[0].factor = 6;
    return d;
}

uint64_t
not_in_time(const sim_result &r)
{
    return r.total.late + r.total.refused + r.total.lost;
}

} // namespace

/* Guards against callers of an entry on a slow machine waiting until their
 * deadlines while other entries have processor time left. */
TEST(Sim, AnEntryThatTurnsSlowCostsItsCallersLittle)
{
    uint64_t with_forwarding = 0;
    uint64_t without_forwarding = 0;
    uint64_t forwarded = 0;

    for (uint64_t seed = 2; seed <= 3; seed++) {
        sim_deployment d = day_of_small_entries(seed);
        sim_result r;

        sim_run_day(&d, &r);
        EXPECT_EQ(r.sessions_lost, 0u) << "seed " << seed;
        EXPECT_EQ(r.violations.n, 0u) << "seed " << seed;
        with_forwarding += not_in_time(r);
        forwarded += r.forwarded;
        sim_result_free(&r);
        d.no_forwarding = d.always_in_rotation = true;
        sim_run_day(&d, &r);
        without_forwarding += not_in_time(r);
        sim_result_free(&r);
    }
    EXPECT_GT(forwarded, 0u);
    EXPECT_LT(with_forwarding, without_forwarding / 2);
}

/* Guards against an overloaded entry reading more requests than it can handle:
 * its loop passes then take seconds, its sessions end and its callers are
 * answered too late. */
TEST(Sim, AnEntryWithHalfOfTheProcessorItNeedsServesWhatItCan)
{
    for (uint64_t seed = 1; seed <= 4; seed++) {
        sim_deployment d = day_of_small_entries(seed);
        sim_result r;

        d.entry_count = 1;
        d.fault_count = 0;
        d.requests_per_s = 150;
        d.entry_cores[0] = 0.02;
        sim_run_day(&d, &r);
        EXPECT_EQ(r.sessions_lost, 0u) << "seed " << seed;
        EXPECT_LT(r.longest_pass_us, 1000 * (uint64_t)SESS_LEASE_MS)
            << "seed " << seed;
        EXPECT_GT(r.total.in_time + r.total.late, r.total.requests / 3)
            << "seed " << seed;
        EXPECT_EQ(r.refused_late, 0u) << "seed " << seed;
        EXPECT_EQ(r.violations.n, 0u) << "seed " << seed;
        sim_result_free(&r);
    }
}
