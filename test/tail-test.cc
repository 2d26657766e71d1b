/* Long tasks and slow workers told apart. */
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "coord.h"
#include "sim.h"

namespace {

struct State {
    tl_state s;

    State()
    {
        tl_init(&s);
    }
    ~State()
    {
        tl_free(&s);
    }
    /* Of 100 runs, 97 take their estimate and 3 seven times as long. */
    void
    learn(int runs)
    {
        for (int i = 0; i < runs; i++) {
            tl_learn(&s, nullptr, i % 33 == 32 ? 7 : 0.8 + 0.01 * (i % 40));
        }
    }
};

} // namespace

/* Guards against judging a worker by a single run, however long it is, and
 * against missing several that are all four to five times too long. */
TEST(Tail, EvidenceOfRuns)
{
    struct {
        const char *name;
        std::vector<double> ended;
        double least;
        double most;
    } cases[] = {
        {"usual", {1, 0.9, 1.1}, -9, 0},
        {"one long task", {7}, -9, TL_SLOW},
        {"one among others", {1, 1, 7, 1}, -9, 0.1},
        {"all slow", {4.5, 4, 5, 4.2}, TL_SLOW, 99},
        {"recovered", {4.5, 4, 5, 4.2, 1, 1, 1, 1, 1}, -9, 0},
    };
    State st;

    st.learn(400);
    for (auto &c : cases) {
        tl_worker w = {};
        uint64_t job = 0;

        for (double ratio : c.ended) {
            job++;
            tl_run_ended(&w, &st.s.all, 1000 + 10 * job, job, ratio);
        }
        EXPECT_GE(w.ended, c.least) << c.name;
        EXPECT_LE(w.ended, c.most) << c.name;
    }
}

/* Guards against counting the error of one job's estimate several times. */
TEST(Tail, RunsOfOneJobCountOnce)
{
    State st;
    tl_worker one = {};
    tl_worker many = {};

    st.learn(400);
    tl_run_ended(&one, &st.s.all, 1000, 1, 4);
    tl_add_running(&one, 1, 3);
    for (int i = 0; i < 9; i++) {
        tl_run_ended(&many, &st.s.all, 1000, 1, 4);
        tl_add_running(&many, 1, 3 + i);
    }
    EXPECT_EQ(one.ended, many.ended);
    EXPECT_EQ(one.running, many.running);
}

/* Guards against the report of a worker with few runs, of which one is long,
 * being taken as that of a slow worker. */
TEST(Tail, EvidenceOfReports)
{
    struct {
        tl_report report;
        double least;
        double most;
    } cases[] = {
        {{0.14, 1, 1}, 0, 0},    /* only the run in question */
        {{0.57, 2, 1}, -99, 0},  /* one of two is long */
        {{0.71, 3, 0}, -99, 0},  /* one of three */
        {{0.24, 9, 1}, 5, 99},   /* all are slow */
        {{0.05, 9, 1}, 5, 99},   /* no progress */
        {{0.57, 9, 1}, -99, 5},  /* half of nine */
        {{1.00, 9, 1}, -99, -5}, /* sound */
    };
    State st;

    st.learn(400);
    for (auto &c : cases) {
        double evidence = tl_evidence_report(&st.s.all, &c.report);

        EXPECT_GE(evidence, c.least) << c.report.pace << " " << c.report.runs;
        EXPECT_LE(evidence, c.most) << c.report.pace << " " << c.report.runs;
    }
}

/* Guards against moving a task that is long itself: it would take as long
 * again.  On a slow worker a run gains until most of it is done. */
TEST(Tail, ForecastOfARun)
{
    struct {
        double elapsed;
        double suspect;
        double trust;
        bool gains;
    } cases[] = {
        {0.5, 0.5, 0, false}, {2, 2, 0, false}, {5, 5, 0, false},
        {0.5, 0.5, 0.9, true}, {2, 2, 0.9, true},
        {0.9, 0.05, 0.9, false}, /* nearly done when it became slow */
    };
    State st;

    st.learn(800);
    for (auto &c : cases) {
        tl_run run = {c.elapsed, c.suspect, 1, 0.22, 0.1};
        tl_forecast f = tl_expect(&st.s.all, &run, c.trust);

        EXPECT_EQ(f.remaining > 1.3 * f.elsewhere, c.gains)
            << c.elapsed << " " << c.trust;
    }
}

/* Guards against confidence without experience after a restart, and against a
 * distribution that no longer follows its route. */
TEST(Tail, DistributionBeginsWideAndFollows)
{
    State st;

    EXPECT_GT(tl_survival(&st.s.all, 2.5), 0.03);
    EXPECT_GT(tl_survival(&st.s.all, 20), 0.001);
    for (int i = 0; i < 1000; i++) {
        tl_learn(&st.s, nullptr, 1);
    }
    EXPECT_LT(tl_survival(&st.s.all, 2.5), 0.01);
    for (int i = 0; i < 3000; i++) {
        tl_learn(&st.s, nullptr, 4);
    }
    EXPECT_GT(tl_survival(&st.s.all, 2.5), 0.8);
    EXPECT_LT(st.s.all.runs, TL_RUNS_MAX);
}

/* Guards against memory that grows with the names that callers choose. */
TEST(Tail, RoutesAreBounded)
{
    State st;

    for (unsigned i = 0; i < TL_ROUTES_MAX; i++) {
        EXPECT_NE(tl_route_of(&st.s, std::to_string(i).c_str()), nullptr);
    }
    EXPECT_EQ(tl_route_of(&st.s, "another"), nullptr);
    EXPECT_NE(tl_route_of(&st.s, "7"), nullptr);
    EXPECT_EQ(tl_dist_of(&st.s, nullptr), &st.s.all);
}

TEST(Tail, BudgetOfMoves)
{
    State st;
    double made = 0;

    for (uint64_t now = 1000; now < 1100; now++) {
        made += tl_take_move(&st.s, now);
    }
    EXPECT_EQ(made, TL_MOVES_BURST);
    for (uint64_t now = 1100; now < 11000; now += 20) {
        made += tl_take_move(&st.s, now);
    }
    EXPECT_NEAR(made, TL_MOVES_BURST + 10 * TL_MOVES_PER_S, 1);
}

/* Guards against repeating moves of tasks that are long on every worker. */
TEST(Tail, TrustFollowsOutcomesOfMoves)
{
    State st;
    double first = tl_move_trust(&st.s, 1000);
    double low;

    for (int i = 0; i < 30; i++) {
        tl_move_ended(&st.s, 1000, true);
    }
    low = tl_move_trust(&st.s, 1000);
    EXPECT_GT(first, 0.8);
    EXPECT_LT(low, 0.3);
    EXPECT_GT(tl_move_trust(&st.s, 61000), 0.8);
    for (int i = 0; i < 100; i++) {
        tl_move_ended(&st.s, 1000, false);
    }
    EXPECT_GT(tl_move_trust(&st.s, 1000), low);
}

namespace {

void
on_send(void *, uint64_t, const dw_msg *)
{
}
void
on_answer(void *, void *, co_outcome, const char *, uint32_t)
{
}
void
on_log_job(void *, const co_job *, const char *)
{
}
void
on_log_refusal(void *, const struct co_submit *, const struct es_estimate *,
    const char *, uint64_t)
{
}
void
on_job_failed(void *, uint64_t)
{
}
void
on_log_run(void *, const co_job *, uint32_t, const char *, const char *)
{
}
void
on_log_agent(void *, const fl_agent *, const char *)
{
}

void
on_log_outlived(void *, const co_outliving *, uint64_t, const char *)
{
}
const co_ops ops = {on_send, on_answer, on_job_failed, on_log_job,
    on_log_refusal, on_log_run, on_log_agent, on_log_outlived};

int caller;

/* An entry with agent 3; more agents join later.  Each has 10 cores. */
struct Entry {
    coord c;
    uint64_t now = 1000;
    std::map<uint64_t, uint64_t> report_seq; /* by agent */

    Entry()
    {
        co_init(&c, &ops, nullptr, 1, "kolding", "10.0.0.1", 1);
        c.settings.moves = SC_MOVES_DISTRIBUTION;
        add(3);
    }
    ~Entry()
    {
        co_free(&c);
    }
    void
    add(uint64_t id)
    {
        fl_agent *a =
            fl_add(&c.fleet, id, std::to_string(id).c_str(), "kolding", "s");

        a->member = true;
        a->session_open = true;
        a->sess.number = id;
        a->sess.own_clock_echo_ms = now;
        a->status.serving = true;
        a->status.left_ms = UINT32_MAX;
        a->status.speed_permille = 1000;
        a->status.pace_permille = 1000;
        a->status.millicores = 10000;
        a->status.memory_mb = 10000;
        a->status.free_memory_mb = 10000;
        set_free(id, 10000);
    }
    void
    set_free(uint64_t id, int millicores)
    {
        fl_agent *a = fl_find(&c.fleet, id);

        a->status.free_millicores = millicores;
        fl_update_status(a, a->sess.send_seq, &a->status);
    }
    void
    submit(uint64_t id, uint32_t millicores = 1000, size_t count = 1,
        uint32_t run_ms = 100)
    {
        std::vector<co_task_spec> tasks(count, {millicores, 10, 0, run_ms});
        struct co_submit s = {};

        s.id = id;
        s.wall_ms = 50;
        s.spec = STR("x");
        s.service = "s";
        s.max_attempts = 2;
        s.route_name = "r";
        s.route = {3000, 200};
        s.timeout_ms = 15 * run_ms;
        s.tasks = tasks.data();
        s.task_count = count;
        co_submit(&c, now, &s, &caller);
        co_flush(&c, now);
    }
    void
    end(uint64_t agent, uint64_t id, dw_end how, uint32_t ran_ms)
    {
        fl_agent *a = fl_find(&c.fleet, agent);
        dw_run_end e = {{id, 0, task(id)->run}, how, ran_ms};
        dw_report r = {};

        r.head.session = a->sess.number;
        r.head.clock_ms = r.head.echo_ms = now;
        r.head.ack = a->sess.send_seq;
        r.head.seq = ++report_seq[agent];
        r.room = a->status;
        r.ends.ends_val = &e;
        r.ends.ends_len = 1;
        co_report(&c, now, agent, &r);
        co_flush(&c, now);
    }
    co_task *
    task(uint64_t id)
    {
        co_job *j;

        HASH_FIND(hh, c.jobs, &id, sizeof(id), j);
        return j != nullptr ? &j->tasks[0] : nullptr;
    }
    /* Ticks for so many ms, with the pace that agent 3 reports. */
    void
    pass(uint32_t ms, uint32_t pace_permille)
    {
        fl_find(&c.fleet, 3)->status.pace_permille = pace_permille;
        for (uint64_t until = now + ms; now < until;) {
            now += 10;
            for (fl_agent *a = c.fleet.agents; a != nullptr;
                 a = (fl_agent *)a->hh.next) {
                a->sess.own_clock_echo_ms = now;
            }
            co_tick(&c, now);
        }
    }
    /* So many jobs of one task run on agent 3, then four agents join. */
    void
    start(uint64_t jobs)
    {
        pass(10, 1000);
        for (uint64_t id = 1; id <= jobs; id++) {
            submit(id);
            ASSERT_EQ(task(id)->agent, 3u);
        }
        set_free(3, 10000 - 1000 * (int)jobs);
        for (uint64_t id = 4; id < 8; id++) {
            add(id);
        }
    }
};

} // namespace

/* Guards against moving a long task off a sound worker because its pace, as
 * reported, is that of this task.  The entry has just started: the prior
 * decides. */
TEST(Tail, LongTaskAloneIsNotMoved)
{
    for (uint32_t elapsed_ms : {200, 400, 700, 2000}) {
        Entry e;

        e.start(1);
        e.pass(elapsed_ms, 140);
        EXPECT_EQ(e.c.stats.moved, 0u) << elapsed_ms;
    }
}

TEST(Tail, LongTaskIsNotMovedAfterOthersEnded)
{
    Entry e;

    e.start(6);
    e.pass(100, 1000);
    for (uint64_t id = 2; id <= 6; id++) {
        e.end(3, id, DW_END_DONE, 100);
    }
    e.set_free(3, 9000);
    e.pass(600, 140);
    EXPECT_EQ(e.c.stats.moved, 0u);
}

/* Guards against leaving runs on a worker that has become slow, as its other
 * runs show, also right after a restart. */
TEST(Tail, RunsOnASlowWorkerAreMoved)
{
    Entry e;

    e.start(6);
    e.pass(400, 60);
    EXPECT_GE(e.c.stats.moved, 3u);
    EXPECT_EQ(e.c.stats.moved, e.c.stats.moved_report + e.c.stats.moved_runs);
}

/* Guards against never finding a slow worker because other tasks are ten times
 * as large, so that its cores seem to hold less than one run. */
TEST(Tail, SlowWorkerIsFoundBesideLargerTasks)
{
    Entry e;

    e.c.tail.task_millicores = 100000;
    e.start(4);
    e.pass(1000, 50);
    EXPECT_TRUE(fl_is_slow(&e.c.fleet, fl_find(&e.c.fleet, 3)));
}

/* Guards against decisions that differ from earlier versions by default. */
TEST(Tail, NothingIsLearnedByDefault)
{
    Entry e;

    e.c.settings.moves = SC_MOVES_PACE;
    e.start(6);
    e.pass(400, 200);
    EXPECT_FALSE(e.c.fleet.slow_by_evidence);
    EXPECT_EQ(e.c.tail.routes, nullptr);
    EXPECT_EQ(e.c.stats.moved_report + e.c.stats.moved_runs, 0u);
}

/* Guards against taking the last cores from a job that could end in time. */
TEST(Tail, CoresWantedByAJobInTimeAreNotUsed)
{
    Entry e;

    e.start(6);
    for (uint64_t id = 3; id < 8; id++) {
        e.set_free(id, id == 3 ? 4000 : 1500);
    }
    e.submit(99, 5000, 4, 2000);
    ASSERT_EQ(e.task(99)->state, CO_WAITING);
    e.pass(400, 60);
    EXPECT_EQ(e.c.stats.moved, 0u);
    EXPECT_GT(e.c.stats.moves_wanted, 0u);
}

/* Guards against not noticing that a moved task was long, not its worker
 * slow. */
TEST(Tail, SecondRunAsLongIsLearned)
{
    Entry e;
    double before = tl_move_trust(&e.c.tail, e.now);
    uint64_t id = 1;

    e.start(6);
    e.pass(400, 60);
    while (id <= 6 && !e.task(id)->moving) {
        id++;
    }
    ASSERT_LE(id, 6u);
    e.end(3, id, DW_END_STOPPED, 400);
    ASSERT_EQ(e.task(id)->state, CO_DISPATCHED);
    ASSERT_NE(e.task(id)->agent, 3u);
    e.pass(700, 60);
    e.end(e.task(id)->agent, id, DW_END_DONE, 700);
    EXPECT_EQ(e.c.stats.moves_as_long, 1u);
    EXPECT_EQ(e.c.stats.moves_of_use, 0u);
    EXPECT_LT(tl_move_trust(&e.c.tail, e.now), before);
}

/* Guards against counting a move as useless because the second run is compared
 * with another estimate than the first. */
TEST(Tail, SecondRunIsComparedByTheSameEstimate)
{
    Entry e;
    uint64_t id = 1;

    e.start(6);
    for (co_job *j = e.c.jobs; j != nullptr; j = (co_job *)j->hh.next) {
        j->longest_run_ms = 2 * j->tasks[0].spec.est_ms;
    }
    e.pass(600, 60);
    while (id <= 6 && !e.task(id)->moving) {
        id++;
    }
    ASSERT_LE(id, 6u);
    e.end(3, id, DW_END_STOPPED, 600);
    ASSERT_EQ(e.task(id)->state, CO_DISPATCHED);
    e.pass(200, 60);
    e.end(e.task(id)->agent, id, DW_END_DONE, 200);
    EXPECT_EQ(e.c.stats.moves_as_long, 0u);
}

namespace {

struct Route {
    uint32_t tasks;
    double run_ms;
    double per_s;
};

/* A day with three routes, as docs/design/hard-load.md describes them. */
sim_deployment
day_of(uint64_t seed, uint32_t moves, uint32_t entries, uint32_t workers,
    uint32_t cores, double slow_speed, double fast_speed, uint32_t millicores,
    const Route (&routes)[3])
{
    sim_ranges ranges;
    sim_deployment d;

    sim_ranges_init(&ranges);
    ranges.length_ms = 14000;
    ranges.faults_min = ranges.faults_max = 0;
    sim_draw(&d, seed, &ranges);
    d.settings.moves = moves;
    d.domain_count = 3;
    d.entry_count = entries;
    d.worker_count = workers;
    d.run_failure_share = 0;
    for (uint32_t i = 0; i < entries; i++) {
        d.entry_weight[i] = 1;
    }
    for (uint32_t i = 0; i < workers; i++) {
        d.millicores[i] = cores * (i % 3 == 2 ? 1500 : 1000);
        d.speed[i] = i % 3 == 2 ? fast_speed : slow_speed;
    }
    d.kind_count = 3;
    d.requests_per_s = 0;
    for (const Route &r : routes) {
        d.requests_per_s += r.per_s;
    }
    for (uint32_t k = 0; k < 3; k++) {
        sim_kind &kind = d.kind[k];

        kind = {};
        kind.share = routes[k].per_s / d.requests_per_s;
        kind.value = 1 / kind.share;
        kind.run_median_ms = routes[k].run_ms;
        kind.run_log_sigma = 0.3;
        kind.tasks_mean = routes[k].tasks;
        kind.tasks_max = 4 * routes[k].tasks;
        kind.millicores = millicores;
        kind.declared_ratio = 1;
        kind.declared_log_sigma = 0.4;
        kind.stretch_milli = 1600;
        kind.slo_ms = 60;
        kind.timeout_ms = 2000;
        kind.attempts = 3;
        kind.priority = k == 0 ? 0 : 3 - k;
    }
    return d;
}

/* The second profile at its mean load: tails on unequal workers. */
sim_deployment
day_with_tails(uint64_t seed, uint32_t moves)
{
    static const Route routes[3] = {
        {8, 51, 181}, {4, 760, 32.9}, {2, 170, 527}};
    sim_deployment d = day_of(seed, moves, 10, 61, 16, 0.7, 1.7, 1400, routes);

    d.tail_share = 0.03;
    d.tail_factor = 7;
    return d;
}

/* The first profile without its bursts; a quarter of the workers takes
 * 4.5 times as long for six seconds. */
sim_deployment
day_with_slow_workers(uint64_t seed, uint32_t moves)
{
    static const Route routes[3] = {
        {8, 60, 206}, {4, 900, 37.5}, {2, 200, 600}};
    sim_deployment d = day_of(seed, moves, 13, 73, 32, 1, 1.3, 3400, routes);

    d.fault_count = 1;
    d.fault[0] = {};
    d.fault[0].kind = SIM_SLOW;
    d.fault[0].start_ms = 5000;
    d.fault[0].duration_ms = 6000;
    d.fault[0].share = 0.25;
    d.fault[0].factor = 4.5;
    return d;
}

sim_result
result_of(const sim_deployment &d)
{
    sim_result r;

    sim_run_day(&d, &r);
    EXPECT_EQ(r.violations.n, 0u);
    sim_result_free(&r);
    return r;
}

double
earned(const sim_result &r)
{
    return r.total.value_earned / r.total.value_offered;
}

} // namespace

/* Guards against stopping long tasks on sound workers. */
TEST(Tail, QuietDayWithTailsMovesNothing)
{
    for (uint64_t seed = 1; seed <= 2; seed++) {
        sim_result by_default = result_of(day_with_tails(seed, SC_MOVES_PACE));
        sim_result r = result_of(day_with_tails(seed, SC_MOVES_DISTRIBUTION));

        EXPECT_EQ(r.moved, 0u) << seed;
        EXPECT_GE(earned(r), earned(by_default) - 0.005) << seed;
    }
}

/* Guards against runs that stay on slow workers, and against stopping more of
 * them than callers gain from. */
TEST(Tail, DayWithSlowWorkersMovesTheRunsThatGain)
{
    for (uint64_t seed = 1; seed <= 2; seed++) {
        sim_result by_default =
            result_of(day_with_slow_workers(seed, SC_MOVES_PACE));
        sim_result r =
            result_of(day_with_slow_workers(seed, SC_MOVES_DISTRIBUTION));

        EXPECT_GT(r.moved, 0u) << seed;
        EXPECT_LT(r.moved, 150u) << seed;
        EXPECT_GE(earned(r), earned(by_default) - 0.005) << seed;
    }
}
