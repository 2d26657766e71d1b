/* Shares of routes while a service lacks cores. */
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "shares.h"
#include "sim.h"

namespace {

constexpr es_objective OBJECTIVE = {1600, 60};

struct Shares {
    sh_shares s = {};
    uint64_t now = 1000;

    sh_route *
    job(const char *name, uint32_t priority, double work,
        bool *large = nullptr)
    {
        bool unused;

        return sh_job_arrived(&s, now, name, priority, &OBJECTIVE, work,
            large != nullptr ? large : &unused);
    }
    /* Jobs wait, or none does, for ms. */
    void
    run(uint64_t ms, bool waiting)
    {
        for (uint64_t end = now + ms; now < end; now += 10) {
            sh_update(&s, now, waiting);
        }
    }
};

/* Orders long backlogs of routes, each with its own size of jobs, and returns
 * the work of each among the first tenth of all work. */
std::vector<double>
first_work(
    const std::vector<uint32_t> &priorities, const std::vector<double> &sizes)
{
    constexpr double BACKLOG = 4e6;
    Shares t;
    std::vector<double> work(sizes.size());
    std::vector<sh_item> items;
    double sum = 0;

    for (size_t i = 0; i < sizes.size(); i++) {
        sh_route *r =
            t.job(("r" + std::to_string(i)).c_str(), priorities[i], sizes[i]);

        items.resize(items.size() + (size_t)(BACKLOG / sizes[i]),
            {nullptr, r, sizes[i], SH_ON_TIME, false, SH_BY_SHARE});
    }
    sh_order(&t.s, items.data(), items.size());
    for (const sh_item &i : items) {
        if (sum < BACKLOG / 10) {
            work[(size_t)(i.route - t.s.routes)] += i.work;
            sum += i.work;
        }
    }
    return work;
}

} // namespace

/* Guards against shares by jobs instead of work: wide jobs would get more. */
TEST(Shares, WorkIsDividedByWeightWhateverTheSizeOfJobs)
{
    struct {
        std::vector<uint32_t> priorities;
        std::vector<double> sizes;
        std::vector<double> shares;
    } cases[] = {
        {{0, 0}, {100, 100}, {0.5, 0.5}},
        {{0, 0}, {100, 1000}, {0.5, 0.5}},
        {{0, 1}, {100, 700}, {7. / 12, 5. / 12}},
        {{1, 0}, {100, 700}, {5. / 12, 7. / 12}},
        {{0, 1, 2}, {4000, 100, 900}, {0.452, 0.310, 0.238}},
        {{5, 90}, {100, 100}, {0.75, 0.25}},
    };

    for (const auto &c : cases) {
        std::vector<double> work = first_work(c.priorities, c.sizes);
        double sum = 0;

        for (double w : work) {
            sum += w;
        }
        for (size_t i = 0; i < work.size(); i++) {
            EXPECT_NEAR(work[i] / sum, c.shares[i], 0.02) << i;
        }
    }
}

/* Guards against policies that flip with each short queue. */
TEST(Shares, LackOfCoresMustLast)
{
    Shares t;

    t.job("a", 0, 100);
    t.job("b", 1, 100);
    t.run(SH_ON_MS - 20, true);
    EXPECT_FALSE(sh_applies(&t.s, t.now));
    t.run(20, false);
    t.run(SH_ON_MS - 20, true);
    EXPECT_FALSE(sh_applies(&t.s, t.now));
    t.run(40, true);
    EXPECT_TRUE(sh_applies(&t.s, t.now));
    EXPECT_TRUE(sh_take_switch(&t.s));
    EXPECT_FALSE(sh_take_switch(&t.s));
    t.run(SH_OFF_MS - 20, false);
    t.run(20, true);
    EXPECT_TRUE(sh_applies(&t.s, t.now));
    t.run(SH_OFF_MS + 20, false);
    EXPECT_FALSE(sh_applies(&t.s, t.now));
    EXPECT_TRUE(sh_take_switch(&t.s));
    EXPECT_EQ(t.s.stats.switches, 2u);
}

TEST(Shares, RoutesThatDoNotDifferKeepTheOrderByObjective)
{
    Shares t;

    t.job("a", 1, 100);
    t.job("b", 1, 900);
    t.run(2 * SH_ON_MS, true);
    EXPECT_FALSE(sh_applies(&t.s, t.now));
    t.job("c", 2, 100);
    EXPECT_TRUE(sh_applies(&t.s, t.now));
}

/* Guards against cores reserved for a route without waiting jobs. */
TEST(Shares, UnusedShareGoesToTheOthers)
{
    Shares t;
    sh_route *a = t.job("a", 0, 100);
    sh_route *b = t.job("b", 1, 100);
    sh_item items[] = {{nullptr, b, 100, SH_ON_TIME, false, SH_BY_SHARE}};

    sh_order(&t.s, items, 1);
    EXPECT_EQ(sh_share(&t.s, a), 0);
    EXPECT_DOUBLE_EQ(sh_share(&t.s, b), 1);
}

/* Guards against a burst of one route that delays all others. */
TEST(Shares, FewJobsOfOneRouteAreNotBehindABurstOfAnother)
{
    Shares t;
    sh_route *a = t.job("a", 1, 100);
    sh_route *b = t.job("b", 1, 100);
    std::vector<sh_item> items(
        1000, {nullptr, a, 100, SH_ON_TIME, false, SH_BY_SHARE});

    items.resize(1010, {nullptr, b, 100, SH_ON_TIME, false, SH_BY_SHARE});
    sh_order(&t.s, items.data(), items.size());
    EXPECT_EQ(std::count_if(items.begin(), items.begin() + 22,
                  [&](const sh_item &i) { return i.route == b; }),
        10);
}

TEST(Shares, StartedJobsComeFirstAndStaleOnesLast)
{
    Shares t;
    sh_route *a = t.job("a", 0, 100);
    sh_route *b = t.job("b", 1, 100);
    int id[4];
    sh_item items[] = {{&id[0], b, 9000, SH_FIRST, false, SH_BY_SHARE},
        {&id[1], b, 100, SH_ON_TIME, false, SH_BY_SHARE},
        {&id[2], a, 100, SH_LATE, false, SH_BY_SHARE},
        {&id[3], a, 100, SH_LAST, false, SH_BY_SHARE}};

    sh_order(&t.s, items, 4);
    for (int i = 0; i < 4; i++) {
        EXPECT_EQ(items[i].job, &id[i]);
    }
}

/* Guards against a route whose jobs are late because they never get a turn,
 * and get none because they are late. */
TEST(Shares, LateJobsOfARouteBelowItsFloorComeAmongThoseOnTime)
{
    Shares t;
    sh_route *a = t.job("a", 0, 100);
    sh_route *b = t.job("b", 3, 100);
    std::vector<sh_item> items(
        100, {nullptr, a, 100, SH_ON_TIME, false, SH_BY_SHARE});

    items.resize(200, {nullptr, b, 100, SH_LATE, false, SH_BY_SHARE});
    sh_order(&t.s, items.data(), items.size());
    EXPECT_NEAR(sh_floor(&t.s), SH_EQUAL_PART / 2, 1e-9);
    EXPECT_GE(std::count_if(items.begin(), items.begin() + 100,
                  [&](const sh_item &i) { return i.route == b; }),
        100 * SH_EQUAL_PART / 2 - 1);
}

/* Guards against large jobs that wait until the small ones are done. */
TEST(Shares, FirstLargeJobComesFirstWhileLargeJobsAreServedLess)
{
    Shares t;
    sh_route *a = t.job("a", 0, 100);
    int found = 0;
    int id[3];

    t.run(2 * SH_ON_MS, true);
    for (int i = 0; i < 1000; i++) {
        bool large = false;

        t.job("a", 0, 100 + i * 37 % 100, &large);
        found += large;
        sh_job_ended(&t.s, a, large, !large);
    }
    EXPECT_GT(found, 60);
    EXPECT_LT(found, 140);
    sh_item items[] = {{&id[0], a, 100, SH_ON_TIME, false, SH_BY_SHARE},
        {&id[1], a, 900, SH_ON_TIME, true, SH_BY_SHARE},
        {&id[2], a, 900, SH_ON_TIME, true, SH_BY_SHARE}};

    sh_order(&t.s, items, 3);
    EXPECT_EQ(items[0].job, &id[1]);
    EXPECT_EQ(items[0].turn, SH_BY_LARGE_FLOOR);
    EXPECT_EQ(items[1].job, &id[0]);
}

/* Guards against a table that fills up with the routes of former
 * configurations. */
TEST(Shares, RouteThatLeavesTheConfigurationIsForgottenWithItsLastJob)
{
    Shares t;
    sh_route *a = t.job("a", 0, 100);
    auto only_b = [](void *, const char *name) {
        return std::string(name) == "b";
    };

    t.job("b", 1, 100);
    sh_remove_routes(&t.s, only_b, nullptr);
    EXPECT_STREQ(a->name, "a");
    sh_job_ended(&t.s, a, false, true);
    EXPECT_STREQ(a->name, "");
    EXPECT_EQ(t.job("c", 1, 100), a);
    for (int i = 0; i < 200; i++) {
        EXPECT_NE(t.job(("x" + std::to_string(i)).c_str(), 0, 1), nullptr);
    }
    EXPECT_EQ(t.s.route_count, SH_ROUTES_MAX);
}

namespace {

struct Kind {
    uint32_t priority;
    double tasks;
    double run_ms;
    double rate; /* of jobs per s */
};

/* The first load profile of hard-load.md. */
const std::vector<Kind> kinds = {
    {0, 8, 60, 206}, {2, 4, 900, 37.5}, {1, 2, 200, 600}};
constexpr double TASK_MILLICORES = 3400;
constexpr double MILLICORES = 73 * 9 * TASK_MILLICORES;

struct Waiting {
    uint64_t arrived_ms;
    size_t kind;
    sh_route *route;
    double work;
    double run_ms;
    bool marked_large;
    bool largest; /* one of the largest tenth of its kind */
};

struct Counts {
    double jobs = 0;
    double served = 0;
    double work = 0;
    double served_work = 0;
    double largest = 0;
    double largest_served = 0;
};

/* An entry with all cores, which refuses the last jobs of the order as
 * qp_shed() does, and places the others by class and objective. */
struct Replay {
    Shares t;
    std::mt19937 random{1};
    std::vector<Waiting> queue;
    std::multimap<uint64_t, double> running; /* millicores by end */
    double free = MILLICORES;
    bool hard = false;
    std::vector<Counts> counts = std::vector<Counts>(kinds.size());

    void
    arrive(size_t kind, double ms)
    {
        const Kind &k = kinds[kind];
        double rate =
            k.rate * (hard ? 1.1 : 1) * (hard && kind == 1 ? 2.6 : 1);
        int n = std::poisson_distribution<int>(rate * ms / 1000)(random);

        for (int i = 0; i < n; i++) {
            double tasks =
                1 + std::geometric_distribution<int>(1 / k.tasks)(random);
            Waiting w = {t.now, kind, nullptr,
                tasks * TASK_MILLICORES * k.run_ms, k.run_ms, false, false};

            /* A tenth has more than this many tasks. */
            w.largest = tasks > 1 + std::log(0.1) / std::log1p(-1 / k.tasks);
            w.route = t.job(std::to_string(kind).c_str(), k.priority, w.work,
                &w.marked_large);
            queue.push_back(w);
            if (hard) {
                counts[kind].jobs++;
                counts[kind].work += w.work;
                counts[kind].largest += w.largest;
            }
        }
    }
    double
    objective(const Waiting &w) const
    {
        return 1.6 * w.run_ms + 60;
    }
    sh_class
    class_of(const Waiting &w) const
    {
        double end = (double)(t.now - w.arrived_ms) + w.run_ms;

        return end <= objective(w)      ? SH_ON_TIME
               : end < 3 * objective(w) ? SH_LATE
                                        : SH_LAST;
    }
    void
    end(const Waiting &w, bool served)
    {
        Counts &c = counts[w.kind];

        sh_job_ended(&t.s, w.route, w.marked_large, served);
        if (hard && served) {
            c.served++;
            c.served_work += w.work;
            c.largest_served += w.largest;
        }
    }
    void
    sort_queue()
    {
        std::stable_sort(queue.begin(), queue.end(),
            [&](const Waiting &a, const Waiting &b) {
                return std::make_pair((int)class_of(a),
                           (double)a.arrived_ms + objective(a)) <
                       std::make_pair((int)class_of(b),
                           (double)b.arrived_ms + objective(b));
            });
    }
    void
    shed()
    {
        std::vector<sh_item> items;
        std::vector<Waiting> kept;
        double ahead = 0;

        for (Waiting &w : queue) {
            items.push_back({&w, w.route, w.work, class_of(w), w.marked_large,
                SH_BY_SHARE});
        }
        if (sh_applies(&t.s, t.now)) {
            sh_order(&t.s, items.data(), items.size());
        }
        for (const sh_item &i : items) {
            const Waiting &w = *(const Waiting *)i.job;

            if ((double)(t.now - w.arrived_ms) + w.run_ms +
                    ahead / MILLICORES >
                3 * objective(w)) {
                end(w, false);
                continue;
            }
            ahead += w.work;
            kept.push_back(w);
        }
        queue = kept;
        sort_queue();
    }
    void
    place()
    {
        size_t n = 0;

        while (n < queue.size() && free > 0) {
            const Waiting &w = queue[n++];
            double millicores = w.work / w.run_ms;

            free -= millicores;
            running.emplace(t.now + (uint64_t)w.run_ms, millicores);
            end(w, true);
        }
        queue.erase(queue.begin(), queue.begin() + (long)n);
    }
    void
    run(uint64_t ms)
    {
        for (uint64_t end_ms = t.now + ms; t.now < end_ms; t.now += 10) {
            while (!running.empty() && running.begin()->first <= t.now) {
                free += running.begin()->second;
                running.erase(running.begin());
            }
            for (size_t k = 0; k < kinds.size(); k++) {
                arrive(k, 10);
            }
            sort_queue();
            shed();
            place();
            sh_update(&t.s, t.now, !queue.empty());
        }
    }
};

} // namespace

/* Guards against an overload by one route, with a seventh of the workers gone,
 * at the cost of one route or of the large jobs. */
TEST(Shares, FloorsHoldWhileTheLongKindIsDoubledAndWorkersAreGone)
{
    Replay r;
    double all = 0;

    r.run(3000);
    r.free -= MILLICORES / 7;
    r.hard = true;
    r.run(7000);
    EXPECT_TRUE(r.t.s.sharing);
    for (const Counts &c : r.counts) {
        all += c.served_work;
    }
    for (const Counts &c : r.counts) {
        double floor = SH_EQUAL_PART / (double)kinds.size() * all;

        EXPECT_GE(c.served_work, std::min(floor, 0.95 * c.work));
        EXPECT_GE(
            c.largest_served / c.largest, SH_LARGE_RATIO * c.served / c.jobs);
    }
    r.hard = false;
    r.free += MILLICORES / 7;
    r.run(8000);
    EXPECT_FALSE(r.t.s.sharing);
}

/* A restarted process knows no outcomes: it must keep the floors all the
 * same. */
TEST(Shares, FloorsHoldAfterARestartDuringTheOverload)
{
    Replay r;
    double all = 0;

    r.free -= MILLICORES / 7;
    r.hard = true;
    r.run(6000);
    for (const Counts &c : r.counts) {
        all += c.served_work;
    }
    for (const Counts &c : r.counts) {
        EXPECT_GE(
            c.served_work, std::min(SH_EQUAL_PART / (double)kinds.size() * all,
                               0.95 * c.work));
    }
}

/* Guards against broken invariants of jobs with shares in effect. */
TEST(Shares, GuaranteesHoldInSimulatedOverloads)
{
    for (uint64_t seed = 1; seed <= 4; seed++) {
        sim_ranges ranges;
        sim_deployment d;
        sim_result r;

        sim_ranges_init(&ranges);
        ranges.length_ms = 12000;
        ranges.workers_max = 8;
        ranges.entries_max = 1;
        ranges.load_min = 0.9;
        ranges.load_max = 1;
        ranges.settings.shares = SC_SHARES_ROUTES;
        ranges.fault_always[SIM_BURST] = true;
        ranges.fault_always[SIM_CRASH] = true;
        sim_draw(&d, seed, &ranges);
        sim_run_day(&d, &r);
        EXPECT_EQ(r.violations.n, 0u) << "seed " << seed;
        EXPECT_GT(r.total.in_time, 0u);
        sim_result_free(&r);
    }
}
