/* The fleet's unplaced work: rows, sums, estimate, messages. */
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <vector>

#include "world.hh"

namespace {

/* DW_DEMAND sent, by agent. */
using Sent = std::map<uint64_t, std::vector<std::shared_ptr<dw_msg>>>;

const co_ops entry_ops = {[](void *ctx, uint64_t to, const dw_msg *m) {
                              if (m->type == DW_DEMAND) {
                                  (*static_cast<Sent *>(ctx))[to].emplace_back(
                                      msg_clone(m), msg_free);
                              }
                          },
    [](void *, void *, co_outcome, const char *, uint32_t) {},
    [](void *, uint64_t) {}, [](void *, const co_job *, const char *) {},
    [](void *, const struct co_submit *, const es_estimate *, const char *,
        uint64_t) {},
    [](void *, const co_job *, uint32_t, const char *, const char *) {},
    [](void *, const fl_agent *, const char *) {},
    [](void *, const co_outliving *, uint64_t, const char *) {}};

/* An entry with sessions to agents 1 to n, whose workers are full. */
struct Entry {
    coord c;
    Sent sent;
    uint64_t now = 10000;

    explicit Entry(size_t agents, sc_demand mode = SC_DEMAND_FLEET)
    {
        co_init(&c, &entry_ops, &sent, 1, "d0", "10.0.0.1", 1);
        c.settings.demand = mode;
        for (uint64_t id = 1; id <= agents; id++) {
            fl_add(&c.fleet, id, "a", "d0", "s")->member = true;
        }
        co_tick(&c, now);
        for (uint64_t id = 1; id <= agents; id++) {
            dw_report r = {};

            r.head.session = session(id);
            r.head.clock_ms = r.head.echo_ms = now;
            r.room.millicores = 10000;
            r.room.memory_mb = 100;
            r.room.serving = true;
            co_report(&c, now, id, &r);
        }
        run(20);
    }
    ~Entry()
    {
        co_free(&c);
    }
    /* A job whose objective is 900 ms away. */
    void
    submit(uint64_t id, size_t tasks, uint32_t millicores = 1000,
        uint32_t task_ms = 100)
    {
        std::vector<co_task_spec> specs(tasks, {millicores, 10, 0, task_ms});
        struct co_submit s = {id, now, STR("spec"), "s", 2, 1, "r",
            {1000, 900 - task_ms}, 60000, specs.data(), tasks, false};

        c.last_capacity_ms = now;
        co_submit(&c, now, &s, this);
    }
    /* Time passes in the steps of the daemon's loop. */
    void
    run(uint64_t ms)
    {
        for (uint64_t end = now + ms; now < end; now += 20) {
            dm_flush(&c, now);
        }
    }
    uint64_t
    session(uint64_t agent)
    {
        fl_agent *a = fl_find(&c.fleet, agent);

        return a != nullptr ? a->sess.number : 0;
    }
    const dw_demand &
    last(uint64_t agent)
    {
        return sent[agent].back()->dw_msg_u.demand;
    }
    /* The agent reports a row of the urgency and priority of submit(), of
     * tasks of 100 ms of two other entries. */
    void
    supply(uint64_t agent, uint32_t seq, uint32_t millicores,
        uint64_t session_offset = 0)
    {
        dw_backlog row = {5, 2, millicores / 10, millicores};
        dw_supply s = {session(agent) + session_offset, seq, 0, 2, 2, 3000,
            100, 300, {1, &row}};

        dm_handle_supply(&c, now, agent, &s);
    }
    void
    supply_all(uint64_t agents, uint32_t millicores)
    {
        for (uint64_t agent = 1; agent <= agents; agent++) {
            supply(agent, 1, millicores);
        }
    }
    struct dm_estimate
    estimate() const
    {
        return dm_estimate(&c.demand, now, "s");
    }
};

/* Passes message seq with these rows to the source. */
bool
receive(dm_source *s, uint64_t now, uint32_t seq, std::vector<dw_backlog> rows)
{
    dw_demand d = {7, seq, 100, 24, {(u_int)rows.size(), rows.data()}};

    return dm_source_receive(s, now, &d);
}

} // namespace

/* A job in the wrong bucket would get another entry's cores. */
TEST(Demand, UrgencyDoublesFromBucketToBucket)
{
    const std::vector<std::pair<int64_t, uint32_t>> cases = {{INT64_MIN, 8},
        {0, 8}, {1, 0}, {49, 0}, {50, 1}, {99, 1}, {100, 2}, {200, 3},
        {400, 4}, {800, 5}, {1600, 6}, {3199, 6}, {3200, 7}, {INT64_MAX, 7}};

    for (auto &c : cases) {
        EXPECT_EQ(dm_urgency(c.first), c.second) << c.first;
    }
}

/* With the default settings an agent's traffic must not grow. */
TEST(Demand, NothingIsSentByDefault)
{
    Entry e(4, SC_DEMAND_OWN);

    e.submit(1, 8);
    e.run(2000);
    EXPECT_TRUE(e.sent.empty());
    EXPECT_FALSE(e.estimate().known);
}

/* If the agents' parts did not add up to the entry's work, the sums would
 * count it several times or lose it.  A small task must neither vanish by the
 * division nor be rounded up to work that cannot be done in time. */
TEST(Demand, PartsOfAllAgentsAddUpToTheWork)
{
    const struct {
        uint64_t agents;
        size_t tasks;
        uint32_t millicores;
        uint32_t task_ms;
    } cases[] = {{4, 8, 1000, 100}, {24, 1, 100, 50}, {24, 1, 480, 500}};

    for (auto &c : cases) {
        Entry e(c.agents);
        uint64_t all = c.tasks * c.millicores * c.task_ms / 1000;
        uint64_t work = 0;

        e.submit(1, c.tasks, c.millicores, c.task_ms);
        e.run(20);
        for (uint64_t agent = 1; agent <= c.agents; agent++) {
            dm_source s = {};

            ASSERT_EQ(e.sent[agent].size(), 1u);
            ASSERT_EQ(e.last(agent).rows.rows_len, 1u);
            const dw_backlog &row = e.last(agent).rows.rows_val[0];
            EXPECT_EQ(row.urgency, 5u);
            EXPECT_EQ(row.priority, 2u);
            EXPECT_EQ(row.millicores, c.tasks * c.millicores / c.agents);
            EXPECT_GE(row.work, all / c.agents);
            EXPECT_LE(row.work, (all + c.agents - 1) / c.agents);
            work += row.work;
            EXPECT_TRUE(dm_source_receive(&s, e.now, &e.last(agent)));
            EXPECT_TRUE(s.waits);
        }
        EXPECT_EQ(work, all);
    }
}

/* Small tasks whose work is rounded would be ranked as impossible to meet, and
 * would get cores after all others. */
TEST(Demand, RankAllowsForRoundedWork)
{
    const struct {
        dw_backlog row;
        uint32_t rank;
    } cases[] = {
        {{1, 0, 1, 4}, 4}, /* 100 millicores of 50 ms, by 24 agents */
        {{1, 0, 0, 4}, 4},
        {{1, 3, 100, 1000}, 7},  /* at least 99 ms */
        {{1, 3, 101, 1000}, 39}, /* at least 100 ms */
        {{7, 1, 9000, 1000}, 29},
        {{8, 1, 1, 1000}, 37},
    };

    for (auto &c : cases) {
        dm_source s = {};

        EXPECT_TRUE(receive(&s, 5000, 1, {c.row}));
        EXPECT_EQ(dm_source_rank(&s, 5000), c.rank) << c.row.work;
    }
}

/* An agent that is not told that it gets no more reports counts the last rows
 * for a second; cores that take no new runs would be expected to free up. */
TEST(Demand, AgentsOutOfUseGetAnEmptyReportAndDoNotCount)
{
    const struct {
        const char *name;
        void (*change)(fl_agent *);
        double cores;
    } cases[] = {
        {"deselected", [](fl_agent *a) { a->selected = false; }, 40000},
        {"withdrawn", [](fl_agent *a) { a->withdrawn = true; }, 30000},
        {"failed", [](fl_agent *a) { a->status.serving = false; }, 30000},
        {"draining", [](fl_agent *a) { a->status.draining = true; }, 30000},
    };

    for (auto &c : cases) {
        Entry e(4);

        e.submit(1, 8);
        e.run(20);
        e.supply_all(4, 1000);
        EXPECT_DOUBLE_EQ(e.estimate().cores, 40000);
        c.change(fl_find(&e.c.fleet, 1));
        e.run(400);
        EXPECT_EQ(e.sent[1].size(), 2u) << c.name;
        EXPECT_EQ(e.last(1).rows.rows_len, 0u) << c.name;
        EXPECT_EQ(e.last(1).held, 0u) << c.name;
        EXPECT_DOUBLE_EQ(e.estimate().cores, c.cores) << c.name;
    }
}

/* Reports more often than agreed cost the agents too much; less often, they
 * are taken for those of a dead entry.  Agents that are not told that the work
 * is gone would offer cores by rows that no longer exist. */
TEST(Demand, ReportsKeepTheirIntervals)
{
    Entry e(3);

    e.submit(1, 1);
    e.run(40);
    e.submit(2, 9);
    e.run(40);
    EXPECT_EQ(e.sent[1].size(), 1u) << "within 100 ms";
    e.run(100);
    EXPECT_EQ(e.sent[1].size(), 1u) << "without an order in between";
    fl_find(&e.c.fleet, 1)->sess.send_seq += DM_ORDERS_MIN;
    e.run(20);
    EXPECT_EQ(e.sent[1].size(), 2u) << "after a change";
    e.now += 10000; /* late from now on: the row changes once */
    e.run(100);
    e.sent.clear();
    e.run(2000);
    EXPECT_GE(e.sent[1].size(), 3u);
    EXPECT_LE(e.sent[1].size(), 5u);
    co_cancel(&e.c, e.now, 1);
    co_cancel(&e.c, e.now, 2);
    e.sent.clear();
    e.run(2000);
    ASSERT_EQ(e.sent[1].size(), 1u) << "once when there is none left";
    EXPECT_EQ(e.last(1).rows.rows_len, 0u);
}

/* Too few or too old reports, also those of a dead agent, must not replace the
 * entry's own queue. */
TEST(Demand, EstimateNeedsThreeFreshReports)
{
    Entry e(4);

    e.supply(1, 1, 1000);
    e.supply(2, 1, 1000);
    EXPECT_FALSE(e.estimate().known);
    e.supply(3, 1, 1000);
    EXPECT_TRUE(e.estimate().known);
    e.now += 600;
    e.supply(1, 2, 1000);
    EXPECT_EQ(e.estimate().age_ms, 600u);
    e.now += 500;
    EXPECT_FALSE(e.estimate().known) << "two reports are too old";
    e.supply(2, 2, 1000);
    e.supply(3, 2, 1000);
    EXPECT_TRUE(e.estimate().known);
    co_agent_dead(&e.c, e.now, 1);
    e.run(20);
    EXPECT_FALSE(e.estimate().known);
}

/* Three of six agents stand for all six.  The entry's own work is reported to
 * the selected agents alone: scaled, it would count twice.  Work that it has
 * got or lost since its last report must not be taken for that of others. */
TEST(Demand, EstimateScalesOtherEntriesWork)
{
    for (size_t tasks_after : {0, 12, 36}) {
        Entry e(6);
        bool waits = tasks_after != 0;

        e.submit(1, 12);
        e.run(20);
        if (tasks_after != 12) {
            co_cancel(&e.c, e.now, 1);
        }
        if (tasks_after > 12) {
            e.submit(2, tasks_after);
        }
        e.run(20);
        e.supply_all(3, 3000);
        struct dm_estimate est = e.estimate();
        double own = (double)tasks_after * 1000;
        EXPECT_EQ(e.sent[1].size(), 1u);
        EXPECT_DOUBLE_EQ(est.millicores[5][2], 3000 * 6 + own);
        EXPECT_DOUBLE_EQ(est.work[5][2], 300000.0 * 6 + own * 100);
        EXPECT_DOUBLE_EQ(est.own_part, own / (3000 * 6 + own));
        EXPECT_DOUBLE_EQ(est.waiting_entries, 2 + (waits ? 1 : 0));
        EXPECT_DOUBLE_EQ(est.held, 3000 * 6);
        EXPECT_DOUBLE_EQ(est.free, 600);
        EXPECT_DOUBLE_EQ(est.soon_free, 1800);
        EXPECT_DOUBLE_EQ(est.cores, 60000);
    }
}

/* Late, duplicate and foreign reports must not replace newer ones. */
TEST(Demand, OutdatedSuppliesAreIgnored)
{
    Entry e(3);

    for (uint64_t agent = 1; agent <= 3; agent++) {
        e.supply(agent, 2, 3000);
        e.supply(agent, 2, 9000);
        e.supply(agent, 1, 9000);
        e.supply(agent, 3, 9000, 1);
    }
    e.supply(99, 1, 9000);
    EXPECT_DOUBLE_EQ(e.estimate().millicores[5][2], 9000);
    EXPECT_EQ(e.c.demand.stats.ignored, 10u);
}

/* An entry that fell silent must leave the sums; a late report must not change
 * them; an entry must learn that they became zero. */
TEST(Demand, SumsHoldFreshReportsAndSupplyFollowsThem)
{
    dm_source a = {};
    dm_source b = {};
    dm_sums sums = {};
    dm_sums later = {};
    runner r = {};

    EXPECT_FALSE(dm_supply_possible(&b, 5000)) << "has sent no DW_DEMAND";
    EXPECT_TRUE(receive(&a, 5000, 5, {{1, 0, 5, 100}, {8, 9, 7, 200}}));
    EXPECT_FALSE(receive(&a, 5500, 5, {}));
    EXPECT_FALSE(receive(&a, 5500, 4, {}));
    EXPECT_TRUE(receive(&b, 5800, 1, {{9, 0, 1, 1}})); /* no such urgency */
    dm_sums_add(&sums, &a, 6000);
    dm_sums_add(&sums, &b, 6000);
    EXPECT_EQ(sums.entries, 2u);
    EXPECT_EQ(sums.waiting, 1u);
    EXPECT_EQ(sums.held, 200u);
    EXPECT_EQ(sums.age_ms, 1000u);
    EXPECT_EQ(sums.rows.work[1][0], 5000u);
    EXPECT_EQ(sums.rows.millicores[8][3], 200u);
    EXPECT_TRUE(dm_supply_due(&b, 6000, &sums));
    msg_free(dm_make_supply(&b, 6000, 7, &sums, &sums, &r));
    EXPECT_FALSE(dm_supply_due(&b, 6199, &sums));
    EXPECT_TRUE(dm_supply_due(&b, 6200, &sums));
    dm_sums_add(&later, &a, 6200);
    dm_sums_add(&later, &b, 6200);
    EXPECT_EQ(later.waiting, 0u);
    EXPECT_TRUE(dm_supply_due(&b, 6200, &later)) << "once when they are zero";
    msg_free(dm_make_supply(&b, 6200, 7, &later, &later, &r));
    EXPECT_FALSE(dm_supply_due(&b, 6400, &later));
}

/* Cores of a run that hangs must not count as soon free for ever. */
TEST(Demand, SoonFreeCoresAreThoseOfRunsAboutToEnd)
{
    /* Start of a run of 1000 ms, and the cores that it has soon freed at
     * 10000. */
    const std::vector<std::pair<uint64_t, uint64_t>> cases = {
        {9050, 1500}, {9500, 0}, {8950, 1500}, {5000, 0}, {0, 0}};
    rn_run run = {};
    runner r = {};

    r.runs = &run;
    r.pace_permille = 1000;
    run.est_ms = 1000;
    run.state = RN_RUNNING;
    run.millicores = 1500;
    for (auto &c : cases) {
        run.started_ms = c.first;
        EXPECT_EQ(dm_soon_millicores(&r, 10000), c.second) << c.first;
    }
}

namespace {

/* Three entries on five workers, with seven times the work that these can do.
 */
struct Overloaded : World {
    explicit Overloaded(uint64_t seed)
        : World(seed, 3, 5, sc_settings{SC_DEMAND_FLEET, 0, 0, 0, 0, 0, 0})
    {
        run(3000);
        work(2000);
    }
    void
    work(uint64_t ms)
    {
        for (uint64_t end = now + ms; now < end; run(50)) {
            for (int i = 0; i < 7; i++) {
                submit(6, 400);
            }
        }
    }
    struct dm_estimate
    estimate(size_t entry)
    {
        return dm_estimate(&entries[entry]->coord_state.demand, now, "s");
    }
};

} // namespace

/* All entries short of cores at once: each must see the queues of the others,
 * within the factor of two at which a row is sent again.  The rows of a dead
 * entry must leave with its session. */
TEST(Demand, EntriesSeeEachOthersQueues)
{
    for (uint64_t seed = 1; seed <= 5; seed++) {
        Overloaded w(seed);
        double all = 0;

        for (auto &e : w.entries) {
            all += (double)e->coord_state.loads->queued_work;
        }
        for (size_t i = 0; i < 3; i++) {
            struct dm_estimate est = w.estimate(i);
            double sum = 0;

            for (auto &row : est.work) {
                sum += row[0] + row[1] + row[2] + row[3];
            }
            EXPECT_GT(sum, all / 2);
            EXPECT_LT(sum, all * 2);
            EXPECT_NEAR(est.waiting_entries, 3, 0.5);
        }
        w.kill_entry(0, 5000);
        w.work(DM_VALID_MS / 2 + 100);
        EXPECT_NEAR(w.estimate(1).waiting_entries, 2, 0.5);
        EXPECT_TRUE(w.violations.empty());
    }
}

/* An agent that dies, and links that lose all messages in one direction, must
 * leave the estimate known and the promises kept. */
TEST(Demand, LostReportsAreOutlived)
{
    for (uint64_t seed = 1; seed <= 5; seed++) {
        Overloaded w(seed);

        w.kill_agent(0, 3000);
        w.cut(0, 1, false, true, 400);
        w.cut(1, 2, true, false, 400);
        w.work(1500);
        for (size_t i = 0; i < 3; i++) {
            EXPECT_TRUE(w.estimate(i).known);
        }
        EXPECT_TRUE(w.violations.empty());
    }
}
