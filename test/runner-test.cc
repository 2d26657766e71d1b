/* An agent's account of the runs on its worker. */
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "runner.h"

namespace {

struct Recorder {
    std::vector<rn_key> starts;
    std::vector<rn_key> stops;
    std::vector<rn_terms> polls;
    std::vector<std::pair<rn_key, dw_end>> outcomes;
    uint64_t fence = 0;
};

void
record_start(void *ctx, const rn_run *r, const rn_terms *t)
{
    static_cast<Recorder *>(ctx)->starts.push_back(r->key);
    static_cast<Recorder *>(ctx)->fence = t->fence;
}

void
record_stop(void *ctx, const rn_key *k, const rn_terms *)
{
    static_cast<Recorder *>(ctx)->stops.push_back(*k);
}

void
record_poll(void *ctx, const rn_poll_request *, const rn_terms *t)
{
    static_cast<Recorder *>(ctx)->polls.push_back(*t);
}

void
record_outcome(void *ctx, const rn_run *r, dw_end outcome, uint32_t)
{
    static_cast<Recorder *>(ctx)->outcomes.push_back({r->key, outcome});
}

bool
sessions_checked(void *, uint64_t)
{
    return true;
}

const rn_ops recorder_ops = {
    record_start, record_stop, record_poll, record_outcome, sessions_checked};

/* A runner whose worker has 10 cores and has answered a poll. */
struct Fixture {
    runner r;
    Recorder sent;
    uint64_t now = 5000;

    Fixture()
    {
        rn_init(&r, now, &recorder_ops, &sent);
        poll({}, {});
        rn_set_capacity(&r, now, 10000, 1000, 0, 77);
    }
    ~Fixture()
    {
        rn_free(&r);
    }
    void
    poll(std::vector<rn_poll_run> running, std::vector<rn_outcome> outcomes,
        uint64_t incarnation = 77)
    {
        rn_poll p = {};

        p.sent_ms = now;
        p.ok = true;
        p.worker_clock_ms = now;
        p.incarnation = incarnation;
        p.running = running.data();
        p.running_count = running.size();
        p.outcomes = outcomes.data();
        p.outcome_count = outcomes.size();
        now++;
        rn_poll_answered(&r, now, &p);
    }
    void
    order(uint64_t job, uint32_t millicores, uint64_t session = 1)
    {
        dw_run_group g = {};
        dw_run run = {};

        g.job = job;
        run.run = 1;
        run.millicores = millicores;
        run.memory_mb = 1;
        run.est_ms = 50;
        run.wait_ms = 40;
        rn_order(&r, now, 9, session, &g, &run);
    }
    void
    started(uint64_t job, rn_start_result result)
    {
        rn_key k = {job, 1, 0};

        rn_start_answered(&r, now, &k, result, now);
    }
    dw_room
    capacity()
    {
        dw_room out;

        rn_get_capacity(&r, now, &out);
        return out;
    }
};

} // namespace

TEST(Runner, CapacityIsNeverExceededAndStoppingRunsCount)
{
    Fixture a;
    dw_run_ref ref = {1, 0, 1};

    a.order(1, 6000);
    a.started(1, RN_START_OK);
    a.order(2, 6000);
    EXPECT_EQ(a.sent.starts.size(), 1u);
    ASSERT_EQ(a.sent.outcomes.size(), 1u);
    EXPECT_EQ(a.sent.outcomes[0].second, DW_END_FULL);
    EXPECT_EQ(a.capacity().free_millicores, 4000);
    rn_stop(&a.r, a.now, &ref);
    EXPECT_EQ(a.sent.stops.size(), 1u);
    a.order(3, 6000);
    EXPECT_EQ(a.sent.starts.size(), 1u);
    EXPECT_EQ(a.capacity().free_millicores, 4000);
    a.poll({}, {{1, {1, 1, 0}, DW_END_STOPPED}});
    EXPECT_EQ(a.capacity().free_millicores, 10000);
    a.order(4, 6000);
    EXPECT_EQ(a.sent.starts.size(), 2u);
}

/* Guards against a task that runs twice: the answer to its start is lost, the
 * agent reports it as not run, and the start arrives late.  The worker refuses
 * the late start only after it has answered a stop. */
TEST(Runner, LostStartIsResolvedByPollAndStop)
{
    Fixture a;
    rn_key k = {1, 1, 0};

    a.order(1, 1000);
    a.now += RN_ANSWER_TIMEOUT_MS;
    a.started(1, RN_START_LOST);
    EXPECT_TRUE(a.sent.outcomes.empty());
    a.now += 2;
    a.poll({}, {});
    ASSERT_EQ(a.sent.stops.size(), 1u);
    EXPECT_TRUE(a.sent.outcomes.empty());
    rn_stop_answered(&a.r, a.now, &k, true);
    EXPECT_TRUE(a.sent.outcomes.empty());
    a.now += 2;
    a.poll({}, {});
    ASSERT_EQ(a.sent.outcomes.size(), 1u);
    EXPECT_EQ(a.sent.outcomes[0].second, DW_END_NOT_RUN);
}

TEST(Runner, StartedRunContinuesWhenOnlyTheAnswerIsLost)
{
    Fixture a;

    a.order(1, 1000);
    a.now += RN_ANSWER_TIMEOUT_MS;
    a.started(1, RN_START_LOST);
    a.now += 2;
    a.poll({{{1, 1, 0}, 30}}, {});
    EXPECT_TRUE(a.sent.stops.empty());
    a.poll({}, {{1, {1, 1, 0}, DW_END_DONE}});
    ASSERT_EQ(a.sent.outcomes.size(), 1u);
    EXPECT_EQ(a.sent.outcomes[0].second, DW_END_DONE);
}

/* Guards against a dead worker that attracts all tasks, as it fails starts in
 * a millisecond and so seems free.  After a failed connection the agent must
 * report it as not serving. */
TEST(Runner, UnreachableWorkerGetsNoStarts)
{
    Fixture a;

    EXPECT_TRUE(a.capacity().serving);
    a.order(1, 1000);
    a.started(1, RN_START_UNREACHABLE);
    EXPECT_EQ(a.sent.outcomes[0].second, DW_END_NOT_RUN);
    EXPECT_FALSE(a.capacity().serving);
    a.poll({}, {});
    EXPECT_TRUE(a.capacity().serving);
}

/* Guards against a run that continues beside its successor: its session has
 * ended, the stop was lost, and the lease is renewed for other runs. */
TEST(Runner, LeaseIsNotRenewedWhileARunOfAnEndedSessionMayRun)
{
    Fixture a;

    a.order(1, 1000, 1);
    a.started(1, RN_START_OK);
    a.order(2, 1000, 2);
    a.started(2, RN_START_OK);
    rn_session_ended(&a.r, a.now, 1, a.now);
    a.now += RN_STOP_LIMIT_MS + 1;
    a.poll({{{1, 1, 0}, 5}, {{2, 1, 0}, 5}}, {});
    ASSERT_FALSE(a.sent.polls.empty());
    EXPECT_EQ(a.sent.polls.back().lease_until_ms, 0u);
    a.poll({{{2, 1, 0}, 5}}, {{1, {1, 1, 0}, DW_END_STOPPED}});
    EXPECT_NE(a.sent.polls.back().lease_until_ms, 0u);
}

/* Guards against a start meant for a former incarnation of the worker that
 * arrives late and runs beside the task's next run. */
TEST(Runner, WorkerRestartRaisesTheFenceAndWaitsForTheLongestLease)
{
    Fixture a;

    a.order(1, 1000);
    a.started(1, RN_START_OK);
    uint64_t fence = a.sent.fence;
    a.poll({}, {}, 99);
    EXPECT_FALSE(a.capacity().serving);
    rn_set_capacity(&a.r, a.now, 10000, 1000, 0, 99);
    a.now += 5;
    a.poll({}, {}, 99);
    EXPECT_EQ(a.sent.outcomes.size(), 1u);
    EXPECT_FALSE(a.capacity().serving);
    a.now += RN_LEASE_MAX_MS + 1;
    rn_tick(&a.r, a.now);
    EXPECT_TRUE(a.capacity().serving);
    a.order(2, 1000);
    EXPECT_GT(a.sent.fence, fence);
}

/* Runs of a dead agent are still on the worker.  The new agent does not know
 * their size, so it starts nothing beside them. */
TEST(Runner, RunsOfAnEarlierAgentAreStoppedFirst)
{
    Recorder sent;
    runner r;
    rn_poll p = {};
    rn_poll_run foreign = {{5, 5, 0}, 10};
    dw_room capacity;

    rn_init(&r, 100, &recorder_ops, &sent);
    p.sent_ms = 100;
    p.ok = true;
    p.worker_clock_ms = 9;
    p.incarnation = 77;
    p.running = &foreign;
    p.running_count = 1;
    rn_poll_answered(&r, 101, &p);
    rn_set_capacity(&r, 101, 10000, 1000, 0, 77);
    rn_get_capacity(&r, 102, &capacity);
    EXPECT_FALSE(capacity.serving);
    ASSERT_EQ(sent.stops.size(), 1u);
    p.sent_ms = 150;
    p.running_count = 0;
    rn_poll_answered(&r, 151, &p);
    rn_get_capacity(&r, 152, &capacity);
    EXPECT_TRUE(capacity.serving);
    rn_free(&r);
}

TEST(Runner, DrainingWorkerFinishesRunsAndGetsNoStarts)
{
    Fixture a;

    a.order(1, 1000);
    a.started(1, RN_START_OK);
    rn_set_draining(&a.r, a.now, true, true, 2000);
    a.order(2, 1000);
    EXPECT_EQ(a.sent.starts.size(), 1u);
    ASSERT_EQ(a.sent.outcomes.size(), 1u);
    EXPECT_EQ(a.sent.outcomes[0].second, DW_END_FULL);
    EXPECT_TRUE(a.capacity().draining);
    a.poll({}, {{1, {1, 1, 0}, DW_END_DONE}});
    EXPECT_EQ(a.sent.outcomes.size(), 2u);
}

/* Guards against a failing worker that every entry must detect by attempts of
 * its own tasks, and against blaming a restarted worker for failures of its
 * former incarnation. */
TEST(Runner, FailureAverageIsReportedAndResetByAWorkerRestart)
{
    Fixture a;

    for (uint64_t job = 1; job <= 20; job++) {
        a.order(job, 1000);
        a.started(job, RN_START_OK);
        a.poll({}, {{job, {job, 1, 0}, DW_END_FAILED}});
    }
    EXPECT_GT(a.capacity().fail_permille, 800u);
    a.order(21, 1000);
    a.started(21, RN_START_OK);
    a.poll({}, {{21, {21, 1, 0}, DW_END_DONE}});
    EXPECT_LT(a.capacity().fail_permille, 900u);
    a.poll({}, {}, 78);
    EXPECT_EQ(a.capacity().fail_permille, 0u);
}

/* Guards against a late start of an earlier agent on the same worker: it would
 * run beside the starts of this agent, over the worker's capacity.  The worker
 * refuses it if this agent's fence is higher. */
TEST(Runner, FenceOfALaterAgentOnTheSameWorkerIsHigher)
{
    Recorder sent;
    runner r;
    uint64_t fence = 0;

    for (uint64_t started_ms : {100, 101, 900}) {
        rn_init(&r, started_ms, &recorder_ops, &sent);
        rn_set_capacity(&r, started_ms + 5, 10000, 1000, 0, 77);
        rn_tick(&r, started_ms + 600);
        EXPECT_GT(sent.polls.back().fence, fence);
        fence = sent.polls.back().fence;
        rn_free(&r);
    }
}

/* Guards against a run of an earlier agent beside its repetition: the poll
 * that showed nothing was sent while a late start was still within its lease,
 * and its answer came afterwards. */
TEST(Runner, OnlyAPollSentAfterTheLongestLeaseShowsThatNothingIsLeft)
{
    Recorder sent;
    runner r;
    rn_poll p = {};

    rn_init(&r, 100, &recorder_ops, &sent);
    p.sent_ms = 100 + RN_LEASE_EXPIRY_MS - 10;
    p.ok = true;
    p.worker_clock_ms = 9;
    p.incarnation = 77;
    rn_poll_answered(&r, 100 + RN_LEASE_EXPIRY_MS + 10, &p);
    EXPECT_FALSE(r.clean);
    p.sent_ms = 100 + RN_LEASE_EXPIRY_MS + 11;
    rn_poll_answered(&r, p.sent_ms + 2, &p);
    EXPECT_TRUE(r.clean);
    rn_free(&r);
}

/* Guards against a run that continues beside its successor: it was reported as
 * not run by mistake, and polls that show it are taken for ones that crossed
 * its end. */
TEST(Runner, RunThatALaterPollShowsIsStoppedThoughItWasReported)
{
    Fixture a;

    a.order(1, 1000);
    a.now += 3;
    a.started(1, RN_START_REFUSED);
    a.now -= 2; /* this poll was sent before the end was known */
    a.poll({{{1, 1, 0}, 5}}, {});
    EXPECT_TRUE(a.sent.stops.empty());
    a.now += 5;
    a.poll({{{1, 1, 0}, 5}}, {});
    EXPECT_EQ(a.sent.stops.size(), 1u);
    EXPECT_FALSE(a.capacity().serving);
}

/* Guards against a lease far in the future by the clock of a restarted worker:
 * the answer to a start, sent by the former incarnation, is read late. */
TEST(Runner, ClockOfAFormerIncarnationIsIgnored)
{
    Fixture a;
    rn_key k = {1, 1, 0};

    a.order(1, 1000);
    a.now += 2;
    rn_set_capacity(&a.r, a.now, 10000, 1000, 0, 99);
    rn_start_answered(&a.r, a.now, &k, RN_START_OK, 5000000);
    EXPECT_EQ(a.r.worker_clock_ms, 0u);
}

/* Guards against a run that starts on a restarted worker after it was reported
 * as lost: a late start is executed until the worker has seen the new fence.
 */
TEST(Runner, RestartedWorkerResolvesRunsOnceItKnowsTheNewFence)
{
    Fixture a;

    a.order(1, 1000);
    a.started(1, RN_START_OK);
    a.now += 5;
    a.poll({}, {}, 99); /* sent with the former fence */
    EXPECT_TRUE(a.sent.outcomes.empty());
    a.now += 5;
    a.poll({}, {}, 99);
    ASSERT_EQ(a.sent.outcomes.size(), 1u);
    EXPECT_EQ(a.sent.outcomes[0].second, DW_END_LOST);
}

/* Guards against a run that is reported as lost while it may run: calls with a
 * time by the former clock may have given the restarted worker its longest
 * lease. */
TEST(Runner, LeaseOfARestartedWorkerMayBeTheLongest)
{
    Fixture a;

    a.order(1, 1000);
    a.started(1, RN_START_OK);
    a.now += 5;
    a.poll({{{1, 1, 0}, 5}}, {}, 99);
    a.now += RN_LEASE_MAX_MS - 10;
    rn_tick(&a.r, a.now);
    EXPECT_TRUE(a.sent.outcomes.empty());
    a.now += 30;
    rn_tick(&a.r, a.now);
    EXPECT_EQ(a.sent.outcomes.size(), 1u);
}

/* Guards against a run that is reported as lost, and repeated, though it has
 * ended done: its end is on the next page of the poll. */
TEST(Runner, PartialPollIsNoEvidenceThatARunIsGone)
{
    Fixture a;
    rn_poll p = {};

    a.order(1, 1000);
    a.started(1, RN_START_OK);
    p.sent_ms = a.now + 5;
    p.ok = true;
    p.partial = true;
    p.worker_clock_ms = a.now;
    p.incarnation = 77;
    a.now += 7;
    rn_poll_answered(&a.r, a.now, &p);
    EXPECT_TRUE(a.sent.outcomes.empty());
    EXPECT_EQ(rn_active_count(&a.r), 1u);
}

/* Guards against an agent that gets no poll answered for good: its machine was
 * started again, so that its fence is lower than its predecessor's. */
TEST(Runner, FencedPollRaisesTheFence)
{
    Fixture a;
    rn_poll p = {};
    uint64_t fence;

    a.now += RN_IDLE_POLL_MS;
    rn_tick(&a.r, a.now);
    ASSERT_EQ(a.sent.polls.size(), 1u);
    fence = a.sent.polls[0].fence;
    p.sent_ms = a.now;
    p.fenced = true;
    a.now += 30;
    rn_poll_answered(&a.r, a.now, &p);
    a.now += RN_IDLE_POLL_MS;
    rn_tick(&a.r, a.now);
    ASSERT_EQ(a.sent.polls.size(), 2u);
    EXPECT_GT(a.sent.polls[1].fence, fence);
}
