/* Coordination of best-effort jobs by one entry. */
#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

#include "coord.h"

namespace {

struct Callers {
    std::vector<std::pair<void *, co_outcome>> answers;
    std::vector<std::string> reasons;
    std::set<uint32_t> retry_times; /* ms */
    std::vector<dw_msg *> sent;
    std::vector<std::pair<uint64_t, std::string>> again; // run, how
    std::vector<uint64_t> failed;                        /* jobs */

    ~Callers()
    {
        for (auto *m : sent) {
            msg_free(m);
        }
    }
};

void
on_send(void *ctx, uint64_t, const dw_msg *m)
{
    static_cast<Callers *>(ctx)->sent.push_back(msg_clone(m));
}

void
on_answer(void *ctx, void *handle, co_outcome outcome, const char *reason,
    uint32_t retry_ms)
{
    static_cast<Callers *>(ctx)->answers.push_back({handle, outcome});
    static_cast<Callers *>(ctx)->reasons.push_back(reason);
    if (outcome == CO_NOT_RUN) {
        static_cast<Callers *>(ctx)->retry_times.insert(retry_ms);
    }
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
on_log_run(void *ctx, const co_job *j, uint32_t index, const char *event,
    const char *how)
{
    if (std::string(event) == "run_again") {
        static_cast<Callers *>(ctx)->again.push_back(
            {j->tasks[index].run, how});
    }
}

void
on_job_failed(void *ctx, uint64_t job)
{
    static_cast<Callers *>(ctx)->failed.push_back(job);
}

void
on_log_agent(void *, const fl_agent *, const char *)
{
}

void
on_log_outlived(void *, const co_outliving *, uint64_t, const char *)
{
}

const co_ops callers_ops = {on_send, on_answer, on_job_failed, on_log_job,
    on_log_refusal, on_log_run, on_log_agent, on_log_outlived};

/* An entry with one agent, 3, of 10 cores. */
struct Entry {
    coord c;
    Callers callers;
    uint64_t now = 1000;
    uint64_t report_seq = 0;
    uint64_t agent_id = 3;

    Entry()
    {
        co_init(&c, &callers_ops, &callers, 1, "kolding", "10.0.0.1", 1);
        fl_add(&c.fleet, 3, "a", "kolding", "s")->member = true;
        co_tick(&c, now);
        report({});
        co_tick(&c, now);
        report({});
    }
    ~Entry()
    {
        co_free(&c);
    }
    fl_agent *
    agent()
    {
        return fl_find(&c.fleet, agent_id);
    }
    void
    report(std::vector<dw_run_end> outcomes, bool clean = false,
        std::vector<dw_run_ref> open = {})
    {
        dw_open starts = {
            agent()->sess.number, now, {(u_int)open.size(), open.data()}};
        dw_report r = {};

        r.clean = clean;
        r.head.session = agent()->sess.number;
        r.head.clock_ms = now;
        r.head.echo_ms = now;
        r.head.ack = agent()->sess.send_seq;
        r.head.seq = outcomes.empty() ? 0 : ++report_seq;
        r.room.serving = true;
        r.room.left_ms = UINT32_MAX;
        r.room.speed_permille = 1000;
        r.room.pace_permille = 1000;
        r.room.millicores = 10000;
        r.room.memory_mb = 1000;
        r.room.free_millicores = 10000;
        r.room.free_memory_mb = 1000;
        r.ends.ends_val = outcomes.data();
        r.ends.ends_len = (u_int)outcomes.size();
        co_open_starts(&c, agent_id, &starts);
        co_report(&c, now, agent_id, &r);
        co_flush(&c, now);
    }
    /* The agent's worker reported this many free millicores. */
    void
    set_free(int millicores)
    {
        dw_room status = agent()->status;

        status.free_millicores = millicores;
        fl_update_status(agent(), agent()->sess.send_seq, &status);
    }
    void
    submit(uint64_t id, size_t count, void *handle, uint32_t timeout_ms = 1500,
        uint32_t run_ms = 100, uint32_t stretch_milli = 1000,
        bool flush = true)
    {
        std::vector<co_task_spec> tasks(count, {1000, 10, 0, run_ms});
        struct co_submit s = {};

        s.id = id;
        s.wall_ms = 50;
        s.spec = STR("x");
        s.service = "s";
        s.max_attempts = 2;
        s.route_name = "r";
        s.route = {stretch_milli, 100}; /* an objective of 200 ms */
        s.timeout_ms = timeout_ms;
        s.tasks = tasks.data();
        s.task_count = count;
        co_submit(&c, now, &s, handle);
        if (flush) {
            co_flush(&c, now);
        }
    }
    /* Jobs take half their declared time; callers wait for 3 s. */
    void
    learn()
    {
        for (uint32_t id = 10; id < 60; id++) {
            uint32_t run_ms = 30 + id % 40;

            submit(id, 1, this, 3000, 2 * run_ms);
            report({{{id, 0, run_of(id)}, DW_END_DONE, run_ms}});
        }
        ASSERT_EQ(c.stats.completed, 50u);
    }
    uint64_t
    run_of(uint64_t id)
    {
        co_job *j;

        HASH_FIND(hh, c.jobs, &id, sizeof(id), j);
        return j != nullptr ? j->tasks[0].run : 0;
    }
};

int caller;

} // namespace

TEST(Coord, CompletedWhenEveryTaskIsDone)
{
    Entry e;

    e.submit(5, 2, &caller);
    e.report({{{5, 0, 51}, DW_END_DONE, 9}});
    EXPECT_TRUE(e.callers.answers.empty());
    e.report({{{5, 1, 51}, DW_END_DONE, 9}});
    ASSERT_EQ(e.callers.answers.size(), 1u);
    EXPECT_EQ(e.callers.answers[0].second, CO_COMPLETED);
}

TEST(Coord, FailedOnlyAfterTheAllowedNumberOfFailures)
{
    Entry e;

    e.submit(5, 1, &caller);
    e.report({{{5, 0, 51}, DW_END_FAILED, 9}});
    EXPECT_TRUE(e.callers.answers.empty());
    e.report({{{5, 0, e.run_of(5)}, DW_END_FAILED, 9}});
    ASSERT_EQ(e.callers.answers.size(), 1u);
    EXPECT_EQ(e.callers.answers[0].second, CO_FAILED);
}

/* Guards against reporting a job as failed although no task of it failed,
 * because its time ran out or the entry resumed after a freeze. */
TEST(Coord, TimeoutIsNotReportedAsFailure)
{
    Entry e;

    e.submit(5, 1, &caller, 300);
    e.now += 300;
    co_tick(&e.c, e.now);
    ASSERT_EQ(e.callers.answers.size(), 1u);
    EXPECT_EQ(e.callers.answers[0].second, CO_GAVE_UP);
}

TEST(Coord, EveryJobIsGivenUpAfterAPause)
{
    Entry e;

    e.submit(5, 1, &caller, 9000);
    e.now += 2000;
    co_tick(&e.c, e.now);
    ASSERT_EQ(e.callers.answers.size(), 1u);
    EXPECT_EQ(e.callers.answers[0].second, CO_GAVE_UP);
}

/* Guards against callers without an answer when a planned stop ends. */
TEST(Coord, EveryJobIsAnsweredWhenTheEntryLeaves)
{
    Entry e;

    e.submit(5, 2, &caller);
    e.set_free(0);
    e.submit(6, 2, &caller, 1500, 100, 1000, false);
    co_give_up_all(&e.c, e.now, "leaving");
    ASSERT_EQ(e.callers.answers.size(), 2u);
    EXPECT_EQ(e.callers.answers[0].second, CO_GAVE_UP);
    EXPECT_EQ(e.callers.answers[1].second, CO_NOT_RUN);
    EXPECT_EQ(co_job_count(&e.c), 0u);
}

TEST(Coord, SecondRequestAttachesAndStartsNothing)
{
    Entry e;
    int other;

    e.submit(5, 1, &caller);
    e.submit(5, 1, &other);
    EXPECT_EQ(e.c.stats.runs, 1u);
    e.report({{{5, 0, 51}, DW_END_DONE, 9}});
    EXPECT_EQ(e.callers.answers.size(), 2u);
    e.submit(5, 1, &caller); /* after the job completed */
    EXPECT_EQ(e.c.stats.runs, 1u);
    EXPECT_EQ(e.callers.answers.size(), 3u);
}

TEST(Coord, JobEndsWhenItsLastCallerDisconnects)
{
    Entry e;

    e.submit(5, 1, &caller);
    size_t sent = e.callers.sent.size();
    co_caller_left(&e.c, e.now, &caller);
    co_flush(&e.c, e.now);
    ASSERT_EQ(e.callers.sent.size(), sent + 1);
    EXPECT_EQ(e.callers.sent.back()->dw_msg_u.orders.stops.stops_len, 1u);
    EXPECT_EQ(co_job_count(&e.c), 0u);
}

/* Guards against entries that run out of memory: callers submit jobs of many
 * tasks and leave at once. */
TEST(Coord, JobsBeyondTheNumberOfTasksAreRefused)
{
    Entry e;
    int other;

    e.c.tasks_max = 5;
    e.submit(5, 3, &caller);
    EXPECT_EQ(e.c.task_count, 3u);
    e.submit(6, 3, &other);
    ASSERT_EQ(e.callers.answers.size(), 1u);
    EXPECT_EQ(e.callers.answers[0].second, CO_NOT_RUN);
    EXPECT_EQ(e.callers.reasons[0], "too_many_tasks");
    /* Its runs count until they have ended. */
    co_caller_left(&e.c, e.now, &caller);
    co_flush(&e.c, e.now);
    EXPECT_EQ(co_job_count(&e.c), 0u);
    EXPECT_EQ(e.c.task_count, 3u);
    e.submit(7, 2, &other);
    EXPECT_EQ(co_job_count(&e.c), 1u);
    EXPECT_EQ(e.c.task_count, 5u);
    e.now += 20000;
    co_tick(&e.c, e.now);
    EXPECT_EQ(e.c.task_count, 0u);
}

/* Guards against entries that stand still while the runs of many jobs end
 * whose callers have left: each end must find its run. */
TEST(Coord, EachOfManyRunsThatOutliveTheirJobsIsFound)
{
    const uint32_t count = 1000;
    const uint64_t jobs = 9;
    Entry e;
    std::vector<co_task_spec> tasks(count, {1, 0, 0, 100});
    std::vector<dw_run_end> ends;
    int callers[jobs];

    for (uint64_t id = 1; id <= jobs; id++) {
        struct co_submit s = {};

        s.id = id;
        s.spec = STR("x");
        s.service = "s";
        s.route_name = "r";
        s.route = {1000, 100};
        s.timeout_ms = 1500;
        s.tasks = tasks.data();
        s.task_count = count;
        co_submit(&e.c, e.now, &s, &callers[id - 1]);
        co_flush(&e.c, e.now);
        for (uint32_t i = 0; i < count; i++) {
            ends.push_back({{id, i, e.run_of(id)}, DW_END_STOPPED, 0});
        }
        co_caller_left(&e.c, e.now, &callers[id - 1]);
        co_flush(&e.c, e.now);
    }
    EXPECT_EQ(e.c.task_count, jobs * count);
    e.report(ends);
    EXPECT_EQ(e.c.task_count, 0u);
}

/* Guards against a job that goes on for a broken connection when the caller
 * sends it to another entry after the copy's connection has broken, too. */
TEST(Coord, JobEndsWhenItsNewestCallerDisconnects)
{
    Entry e;
    int copies[2];

    e.submit(5, 1, &caller);
    e.submit(5, 1, &copies[0]);
    e.submit(5, 1, &copies[1]);
    co_caller_left(&e.c, e.now, &copies[0]);
    EXPECT_TRUE(co_has_job(&e.c, 5));
    co_caller_left(&e.c, e.now, &copies[1]);
    EXPECT_FALSE(co_has_job(&e.c, 5));
    ASSERT_EQ(e.callers.answers.size(), 1u);
    EXPECT_EQ(e.callers.answers[0],
        std::make_pair(static_cast<void *>(&caller), CO_GAVE_UP));
    co_flush(&e.c, e.now);
    EXPECT_EQ(e.callers.sent.back()->dw_msg_u.orders.stops.stops_len, 1u);
}

/* Guards against running a task twice: its agent stops reporting, and the
 * entry starts it on another one while the first, or its worker, still runs
 * it.  An agent that has reconnected is believed for longer. */
TEST(Coord, RunOfASilentAgentIsRetriedOnlyAfterItEnded)
{
    for (bool reconnects : {false, true}) {
        Entry e;

        e.submit(5, 1, &caller, 9000);
        uint64_t first = e.run_of(5);
        uint64_t ended_ms = sess_peer_expiry_ms(&e.agent()->sess) +
                            RN_STOP_LIMIT_MS + RN_LEASE_EXPIRY_MS;

        while (e.now + 20 < ended_ms) {
            e.now += 20;
            co_tick(&e.c, e.now);
            if (reconnects && e.agent()->sess.number != 0 &&
                !e.agent()->session_open) {
                e.report({}); /* earlier runs may remain */
            }
            EXPECT_EQ(e.run_of(5), first) << e.now;
            EXPECT_EQ(e.c.stats.lost, 0u) << e.now;
        }
        e.now = ended_ms + 20;
        co_tick(&e.c, e.now);
        EXPECT_EQ(e.c.stats.lost, reconnects ? 0u : 1u);
        e.report({}, true);
        co_tick(&e.c, e.now);
        co_flush(&e.c, e.now);
        EXPECT_EQ(e.run_of(5), first) << "no agent was heard until now";
        e.now += CO_REGAIN_HOLD_MS;
        co_tick(&e.c, e.now);
        e.report({}, true);
        EXPECT_EQ(e.c.stats.lost, 1u);
        EXPECT_GT(e.run_of(5), first);
        ASSERT_EQ(e.callers.again.size(), 1u);
        EXPECT_EQ(e.callers.again[0],
            std::make_pair(first, std::string("session_over")));
    }
}

/* Guards against a log that names the run after the one that ended, and not
 * how that one ended: a task ran twice, and no line of its entry told that its
 * first run had been reported as not run. */
TEST(Coord, RepeatedRunIsLoggedWithHowItEnded)
{
    const std::pair<dw_end, const char *> ends[] = {{DW_END_LOST, "lost"},
        {DW_END_STOPPED, "stopped"}, {DW_END_NOT_RUN, "not_run"}};

    for (const auto &[outcome, how] : ends) {
        Entry e;

        e.submit(5, 1, &caller);
        e.report({{{5, 0, 51}, outcome, 9}});
        ASSERT_EQ(e.callers.again.size(), 1u) << how;
        EXPECT_EQ(e.callers.again[0],
            std::make_pair(uint64_t{51}, std::string(how)));
    }
}

TEST(Coord, RefusalOnArrivalStartsNothingAndNamesTheReason)
{
    Entry e;

    e.submit(5, 1, &caller, 20);
    ASSERT_EQ(e.callers.answers.size(), 1u);
    EXPECT_EQ(e.callers.answers[0].second, CO_NOT_RUN);
    EXPECT_EQ(e.callers.reasons[0], "too_late");
    EXPECT_EQ(e.c.stats.runs, 0u);
}

/* Guards against making every job late at saturation, which serving jobs by
 * objective alone does: jobs that can still meet theirs go first. */
TEST(Coord, JobsOnTimeGoBeforeLateOnesAtSaturation)
{
    Entry e;
    int late;
    int on_time;

    fl_update_status(e.agent(), e.agent()->sess.send_seq, &e.agent()->status);
    e.agent()->status.free_millicores = 0;
    fl_update_status(e.agent(), e.agent()->sess.send_seq, &e.agent()->status);
    e.submit(1, 1, &late);
    e.now += 150; /* 50 of 200 ms left for 100 ms of work: late */
    e.agent()->sess.own_clock_echo_ms = e.now;
    e.submit(2, 1, &on_time);
    EXPECT_EQ(e.c.stats.runs, 0u);
    e.agent()->status.free_millicores = 1000;
    fl_update_status(e.agent(), e.agent()->sess.send_seq, &e.agent()->status);
    co_flush(&e.c, e.now);
    EXPECT_EQ(e.c.stats.runs, 1u);
    EXPECT_EQ(e.run_of(2), 51u);
    EXPECT_EQ(e.run_of(1), 50u);
}

/* A run on a worker that became slow restarts on one with free capacity. */
TEST(Coord, RunOnASlowWorkerMoves)
{
    Entry e;
    dw_run_end stopped;

    e.submit(5, 1, &caller, 9000);
    fl_agent *other = fl_add(&e.c.fleet, 4, "b", "aarhus", "s");
    other->session_open = true;
    other->member = true;
    other->sess.number = 9;
    other->sess.own_clock_echo_ms = e.now + 100;
    other->status = e.agent()->status;
    fl_update_status(other, 0, &other->status);
    e.now += 60;
    e.agent()->sess.own_clock_echo_ms = e.now;
    e.agent()->status.pace_permille = 100;
    co_tick(&e.c, e.now);
    EXPECT_EQ(e.c.stats.moved, 1u);
    stopped = {{5, 0, 51}, DW_END_STOPPED, 60};
    e.report({stopped});
    e.agent()->status.pace_permille = 100;
    EXPECT_EQ(e.run_of(5), 52u);
}

/* The only worker that could hold a task may not be among the selected: all
 * agents are selected first, and a task is refused only if none of them can
 * hold it. */
TEST(Coord, NeverFitsOnlyAfterAllAgentsWereSelected)
{
    Entry e;

    for (uint64_t id = 10; id < 60; id++) {
        fl_add(&e.c.fleet, id, "b", "aarhus", "s")->member = true;
    }
    e.now += FL_SELECT_INTERVAL_MS;
    e.agent()->sess.own_clock_echo_ms = e.now;
    co_tick(&e.c, e.now);
    ASSERT_TRUE(e.agent()->selected);
    e.agent()->status.millicores = 500;
    e.agent()->free_millicores = 500;
    e.submit(7, 1, &caller);
    EXPECT_TRUE(e.callers.answers.empty());
    EXPECT_EQ(e.c.stats.widened, 1u);
    e.now += FL_SELECT_INTERVAL_MS;
    e.agent()->sess.own_clock_echo_ms = e.now;
    co_tick(&e.c, e.now);
    e.submit(8, 1, &caller);
    ASSERT_EQ(e.callers.answers.size(), 1u);
    EXPECT_EQ(e.callers.answers[0].second, CO_NOT_RUN);
    EXPECT_EQ(e.callers.reasons[0], "never_fits");
}

/* Long tasks that take the last free cores hold them while short jobs, which
 * cannot wait, find none.  While much of the work is short, a long job that
 * can wait leaves some cores free and is placed when more are. */
TEST(Coord, JobWithSlackLeavesCapacityForMoreUrgentOnes)
{
    Entry e;
    int others;
    int longer;

    e.agent()->status.millicores = 100000;
    for (uint64_t id = 10; id < 40; id++) {
        e.set_free(10000);
        e.submit(id, 1, &others); /* can wait 100 ms */
    }
    uint64_t runs = e.c.stats.runs;
    e.set_free(2000);
    e.submit(99, 1, &longer, 9000, 800, 2000); /* can wait 900 ms */
    EXPECT_EQ(e.c.stats.runs, runs);
    e.submit(100, 1, &others);
    EXPECT_EQ(e.c.stats.runs, runs + 1);
    e.set_free(10000);
    co_flush(&e.c, e.now);
    EXPECT_EQ(e.c.stats.runs, runs + 2);
}

/* Guards against jobs that wait under overload until their time has run out,
 * with their callers waiting in vain: those that cannot be served in time are
 * refused on arrival, the others are kept. */
TEST(Coord, JobsThatCannotBeServedInTimeAreRefusedAtOnce)
{
    Entry e;

    e.submit(1, 10, &caller); /* all ten cores, for 100 ms */
    e.set_free(0);
    for (uint64_t id = 100; id < 300; id++) {
        e.submit(id, 1, &caller); /* 150 fit into the 1500 ms allowed */
    }
    EXPECT_GT(co_unstarted_count(&e.c), 130u);
    EXPECT_LT(co_unstarted_count(&e.c), 160u);
    ASSERT_EQ(e.callers.answers.size(), 200 - co_unstarted_count(&e.c));
    for (size_t i = 0; i < e.callers.answers.size(); i++) {
        EXPECT_EQ(e.callers.answers[i].second, CO_NOT_RUN);
        EXPECT_EQ(e.callers.reasons[i], "no_turn");
    }
}

/* Guards against refusing callers because of an estimate of when they first
 * sent their request, while cores are idle. */
TEST(Coord, StaleRequestIsServedWhereCoresAreFree)
{
    Entry e;

    e.learn();
    e.submit(99, 1, &caller, 1200); /* estimated: first sent 1800 ms ago */
    EXPECT_EQ(e.c.stats.runs, 51u);
    EXPECT_EQ(e.run_of(99), 51u);
}

/* Guards against a job whose answer is likely of no use taking cores from
 * others, or keeping its caller waiting. */
TEST(Coord, StaleRequestIsRefusedAtOnceWhereCoresAreScarce)
{
    Entry e;

    e.learn();
    e.submit(98, 10, &caller, 3000);
    e.set_free(0);
    e.callers.reasons.clear();
    e.submit(99, 1, &caller, 1200);
    ASSERT_EQ(e.callers.reasons.size(), 1u);
    EXPECT_EQ(e.callers.reasons[0], "no_turn");
    EXPECT_EQ(e.c.stats.not_run, 1u);
}

/* Guards against jobs that wait until their callers leave: an entry without
 * runs of its own did not estimate their waiting time. */
TEST(Coord, JobsThatWaitForOtherEntriesRunsAreRefusedAtOnce)
{
    Entry e;

    e.set_free(0);
    for (uint64_t id = 100; id < 200; id++) {
        e.submit(id, 1, &caller);
    }
    EXPECT_GT(co_unstarted_count(&e.c), 5u);
    EXPECT_LT(co_unstarted_count(&e.c), 20u);
    EXPECT_EQ(e.callers.answers.size(), 100 - co_unstarted_count(&e.c));
}

/* Guards against callers that are refused together, retry together and are
 * refused again, as all were given the same retry time. */
TEST(Coord, RefusedCallersGetDifferentRetryTimes)
{
    Entry e;

    e.submit(1, 10, &caller);
    e.set_free(0);
    for (uint64_t id = 100; id < 300; id++) {
        e.submit(id, 1, &caller);
    }
    ASSERT_GT(e.callers.answers.size(), 40u);
    EXPECT_GT(e.callers.retry_times.size(), 20u);
    EXPECT_GE(*e.callers.retry_times.begin(), 500u);
    EXPECT_GT(*e.callers.retry_times.rbegin(),
        *e.callers.retry_times.begin() + *e.callers.retry_times.begin() / 2);
}

/* Guards against jobs that wait although their predicted wait is too long, and
 * against their callers returning together. */
TEST(Coord, AdmissionOnArrivalRefusesByThePredictedWait)
{
    Entry e;

    e.c.settings.admission = SC_ADMIT_ARRIVAL;
    e.submit(1, 10, &caller); /* all ten cores, for 100 ms */
    e.set_free(0);
    for (uint64_t id = 100; id < 500; id++) {
        e.submit(id, 1, &caller);
    }
    ASSERT_GT(e.callers.answers.size(), 100u);
    EXPECT_GT(co_unstarted_count(&e.c), 50u);
    EXPECT_EQ(e.c.admission.refused[AM_ADMISSION], e.callers.answers.size());
    for (size_t i = 0; i < e.callers.answers.size(); i++) {
        EXPECT_EQ(e.callers.answers[i].second, CO_NOT_RUN);
        EXPECT_EQ(e.callers.reasons[i], "admission");
    }
    EXPECT_GT(e.callers.retry_times.size(), 20u);
}

/* Guards against admitted jobs that are refused for another reason than a loss
 * of capacity while they can meet their objective. */
TEST(Coord, AdmittedJobsAreRefusedWhereCapacityWasLost)
{
    Entry e;

    e.c.settings.admission = SC_ADMIT_ARRIVAL;
    e.submit(1, 10, &caller);
    e.set_free(0);
    for (uint64_t id = 100; id < 130; id++) {
        e.submit(id, 1, &caller, 1500, 100, 9000); /* objective of 1 s */
    }
    ASSERT_EQ(co_unstarted_count(&e.c), 30u);
    co_tick(&e.c, e.now);
    EXPECT_EQ(e.callers.answers.size(), 0u);
    e.agent()->status.pace_permille = 50;
    co_tick(&e.c, e.now);
    ASSERT_GT(e.callers.reasons.size(), 0u);
    EXPECT_EQ(e.callers.reasons[0], "capacity_lost");
    EXPECT_LT(e.callers.reasons.size(), 30u);
}

/* Guards against a refusal while a worker has free cores on which the job
 * would end in time, also if that worker is slow. */
TEST(Coord, AdmissionRefusesNoJobWhileCoresAreFree)
{
    Entry e;

    e.c.settings.admission = SC_ADMIT_ARRIVAL;
    e.agent()->status.pace_permille = 400;
    e.set_free(3000);
    e.submit(1, 1, &caller);
    EXPECT_EQ(e.callers.answers.size(), 0u);
    EXPECT_EQ(e.c.stats.runs, 1u);
}

/* Predictions of route "r" become so long that its jobs are refused, while a
 * slow worker has cores for two tasks. */
static void
predict_long_waits(Entry &e)
{
    e.c.settings.admission = SC_ADMIT_ARRIVAL;
    for (int i = 0; i < 100; i++) {
        am_given_up(&e.c.admission, e.now, "r", 100, 3000);
    }
    e.agent()->status.pace_permille = 400;
    e.set_free(2000);
}

/* Guards against a run and its stop in one message, of which the agent handles
 * stops first, so that the run would be left without an owner. */
TEST(Coord, JobKeptForFreeCoresIsPlacedOnlyByTheFlush)
{
    Entry e;

    predict_long_waits(e);
    e.submit(1, 2, &caller, 1500, 100, 1000, false);
    EXPECT_EQ(e.callers.answers.size(), 0u);
    EXPECT_EQ(e.c.admission.kept_for_free_cores, 1u);
    EXPECT_EQ(e.c.stats.runs, 0u);
    EXPECT_EQ(e.agent()->batch, nullptr);
    co_flush(&e.c, e.now);
    EXPECT_GT(e.c.stats.runs, 0u);
}

/* Guards against a job that is kept, and started in part, where the worker's
 * memory suffices for one of its two tasks. */
TEST(Coord, JobIsNotKeptForCoresWithoutMemory)
{
    Entry e;

    predict_long_waits(e);
    e.agent()->free_memory_mb = 15;
    e.submit(1, 2, &caller);
    ASSERT_EQ(e.callers.answers.size(), 1u);
    EXPECT_EQ(e.callers.answers[0].second, CO_NOT_RUN);
    EXPECT_EQ(e.c.stats.runs, 0u);
}

/* Guards against a job that takes the free cores ahead of a more urgent one
 * that waits. */
TEST(Coord, JobIsNotKeptForCoresOfMoreUrgentJobs)
{
    Entry e;

    predict_long_waits(e);
    e.submit(1, 2, &caller, 1500, 100, 1000, false);
    e.submit(2, 2, &caller, 1500, 100, 2000, false);
    ASSERT_EQ(e.callers.answers.size(), 1u);
    EXPECT_EQ(e.callers.answers[0].second, CO_NOT_RUN);
    co_flush(&e.c, e.now);
    EXPECT_GT(e.run_of(1), 0u);
}

/* Guards against refusals on arrival while no worker is known yet, as after a
 * start, though jobs are held until workers return. */
TEST(Coord, AdmissionHoldsJobsWhileNoWorkerIsUsable)
{
    Entry e;

    e.c.settings.admission = SC_ADMIT_ARRIVAL;
    e.agent()->status.serving = false;
    e.submit(1, 1, &caller);
    EXPECT_EQ(e.callers.answers.size(), 0u);
    EXPECT_EQ(co_unstarted_count(&e.c), 1u);
}

/* Guards against a loss of capacity being reported where another entry's runs
 * took the free cores. */
TEST(Coord, CoresTakenByOtherEntriesAreNoLossOfCapacity)
{
    Entry e;

    e.c.settings.admission = SC_ADMIT_ARRIVAL;
    e.submit(1, 5, &caller);
    e.set_free(5000);
    for (uint64_t id = 100; id < 230; id++) {
        e.submit(id, 1, &caller, 1500, 100, 9000, false);
    }
    size_t held = co_unstarted_count(&e.c);
    ASSERT_GT(held, 80u);
    e.set_free(0);
    co_tick(&e.c, e.now);
    EXPECT_EQ(e.c.admission.refused[AM_CAPACITY_LOST], 0u);
    EXPECT_EQ(co_unstarted_count(&e.c), held);
}

/* A fleet recovers from a power loss: one worker of eleven has answered, the
 * others are known from the store.  Work that exceeds this one's capacity is
 * kept. */
TEST(Coord, ReturningWorkersCountAsCapacity)
{
    Entry e;

    for (uint64_t id = 10; id < 20; id++) {
        fl_add(&e.c.fleet, id, "b", "aarhus", "s")->member = true;
    }
    co_tick(&e.c, e.now);
    e.submit(1, 10, &caller);
    e.set_free(0);
    for (uint64_t id = 100; id < 300; id++) {
        e.submit(id, 1, &caller);
    }
    EXPECT_EQ(co_unstarted_count(&e.c), 200u);
    EXPECT_TRUE(e.callers.answers.empty());
}

/* Guards against a job that an entry starts although it has just refused its
 * request, as it is leaving, behind or has stood still: a run of a former copy
 * is still being stopped. */
TEST(Coord, RefusedCopyOfAJobThatWasGivenUpStartsNothing)
{
    Entry e;
    int copy;

    e.submit(5, 1, &caller);
    co_caller_left(&e.c, e.now, &caller);
    EXPECT_TRUE(co_answer_copy(&e.c, 5, &copy, "leaving"));
    EXPECT_EQ(co_job_count(&e.c), 0u);
    ASSERT_EQ(e.callers.answers.size(), 1u);
    EXPECT_EQ(e.callers.answers[0].second, CO_GAVE_UP);
    EXPECT_FALSE(co_answer_copy(&e.c, 6, &copy, "leaving"));
}

/* Guards against a job that starts again after its end was answered: a copy of
 * its request arrives seconds later. */
TEST(Coord, LateCopyOfAnEndedJobGetsItsAnswer)
{
    const struct {
        void (*end)(Entry &e);
        co_outcome outcome;
    } cases[] = {
        {[](Entry &e) {
             e.report({{{5, 0, 51}, DW_END_DONE, 9}});
         },
            CO_COMPLETED},
        {[](Entry &e) {
             e.report({{{5, 0, 51}, DW_END_FAILED, 9}});
             e.report({{{5, 0, 52}, DW_END_FAILED, 9}});
         },
            CO_FAILED},
        {[](Entry &e) { co_cancel(&e.c, e.now, 5); }, CO_FAILED},
    };

    for (auto &c : cases) {
        Entry e;
        int copy;

        e.submit(5, 1, &caller);
        c.end(e);
        ASSERT_EQ(e.callers.answers.size(), 1u);
        for (int i = 0; i < 20; i++) {
            e.now += 200;
            e.report({});
            co_tick(&e.c, e.now);
        }
        e.submit(5, 1, &copy);
        EXPECT_EQ(co_job_count(&e.c), 0u);
        ASSERT_EQ(e.callers.answers.size(), 2u);
        EXPECT_EQ(e.callers.answers[1].second, c.outcome);
    }
}

/* Guards against the same for a job that ran at another entry. */
TEST(Coord, LateCopyOfAForwardedJobThatWasCancelledStartsNothing)
{
    Entry e;

    co_record_cancelled(&e.c, e.now, 5);
    e.submit(5, 1, &caller);
    EXPECT_EQ(co_job_count(&e.c), 0u);
    ASSERT_EQ(e.callers.answers.size(), 1u);
    EXPECT_EQ(e.callers.answers[0].second, CO_FAILED);
}

/* Guards against a completed job whose late copy is answered as failed, as it
 * was cancelled after its end. */
TEST(Coord, CancellingACompletedJobKeepsItsOutcome)
{
    Entry e;

    e.submit(5, 1, &caller);
    e.report({{{5, 0, 51}, DW_END_DONE, 9}});
    co_record_cancelled(&e.c, e.now, 5);
    e.submit(5, 1, &caller);
    ASSERT_EQ(e.callers.answers.size(), 2u);
    EXPECT_EQ(e.callers.answers[1].second, CO_COMPLETED);
}

/* Guards against a job that failed and runs again at an entry that was not
 * told. */
TEST(Coord, FailedJobIsTold)
{
    Entry e;

    e.submit(5, 1, &caller);
    e.report({{{5, 0, 51}, DW_END_FAILED, 9}});
    e.report({{{5, 0, 52}, DW_END_FAILED, 9}});
    EXPECT_EQ(e.callers.failed, std::vector<uint64_t>{5});
}

/* The agent of a run of job 5 falls silent for 2.4 s. */
static void
lose_agent(Entry &e)
{
    e.agent()->member = false;
    for (int i = 0; i < 12; i++) {
        e.now += 200;
        co_tick(&e.c, e.now);
    }
}

/* Guards against a second run beside a late start: its worker restarted under
 * its id, and its agent, which knew of the open start, is dead. */
TEST(Coord, RunWithAnOpenStartWaitsForALaterAgentOfItsWorker)
{
    Entry e;

    e.submit(5, 1, &caller, 20000);
    e.report({}, false, {{5, 0, 51}});
    lose_agent(e);
    EXPECT_EQ(e.callers.again.size(), 0u);
    e.agent_id = 4;
    e.report_seq = 0;
    fl_add(&e.c.fleet, 4, "a", "kolding", "s")->member = true;
    co_tick(&e.c, e.now);
    EXPECT_EQ(e.callers.again.size(), 0u);
    e.report({});
    co_tick(&e.c, e.now);
    EXPECT_EQ(e.callers.again.size(), 1u);
}

/* Guards against a wait for a start that was confirmed after all. */
TEST(Coord, RunWhoseStartIsConfirmedIsRepeatedAfterTheLeases)
{
    Entry e;

    e.submit(5, 1, &caller, 20000);
    e.report({}, false, {{5, 0, 51}});
    e.now += 10;
    e.report({});
    lose_agent(e);
    EXPECT_EQ(e.callers.again.size(), 1u);
}
