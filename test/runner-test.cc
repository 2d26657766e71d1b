/* An agent's account of its worker, step by step. */
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "runner.h"

namespace {

struct Told {
    std::vector<rn_key> starts;
    std::vector<rn_key> stops;
    std::vector<rn_terms> looks;
    std::vector<std::pair<rn_key, dw_end>> ends;
    uint64_t fence = 0;
};

void
told_start(void *ctx, const rn_run *r, const rn_terms *t)
{
    static_cast<Told *>(ctx)->starts.push_back(r->key);
    static_cast<Told *>(ctx)->fence = t->fence;
}

void
told_stop(void *ctx, const rn_key *k, const rn_terms *)
{
    static_cast<Told *>(ctx)->stops.push_back(*k);
}

void
told_look(void *ctx, const rn_poll_request *, const rn_terms *t)
{
    static_cast<Told *>(ctx)->looks.push_back(*t);
}

void
told_ended(void *ctx, const rn_run *r, dw_end how, uint32_t)
{
    static_cast<Told *>(ctx)->ends.push_back({r->key, how});
}

const rn_ops told_ops = {told_start, told_stop, told_look, told_ended};

/* A runner whose worker of 10 cores has been looked at. */
struct Agent {
    runner r;
    Told told;
    uint64_t now = 5000;

    Agent()
    {
        rn_init(&r, now, &told_ops, &told);
        look({}, {});
        rn_set_capacity(&r, now, 10000, 1000, 0, 77);
    }
    ~Agent()
    {
        rn_free(&r);
    }
    void
    look(std::vector<rn_poll_run> running, std::vector<rn_outcome> ends,
        uint64_t born = 77)
    {
        rn_poll l = {};

        l.sent_ms = now;
        l.ok = true;
        l.worker_clock_ms = now;
        l.incarnation = born;
        l.running = running.data();
        l.running_count = running.size();
        l.outcomes = ends.data();
        l.outcome_count = ends.size();
        now++;
        rn_poll_answered(&r, now, &l);
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
    room()
    {
        dw_room out;

        rn_get_capacity(&r, now, &out);
        return out;
    }
};

} // namespace

TEST(Runner, NeverOverCapacityWhatIsBeingStoppedIncluded)
{
    Agent a;
    dw_run_ref ref = {1, 0, 1};

    a.order(1, 6000);
    a.started(1, RN_START_OK);
    a.order(2, 6000);
    EXPECT_EQ(a.told.starts.size(), 1u);
    ASSERT_EQ(a.told.ends.size(), 1u);
    EXPECT_EQ(a.told.ends[0].second, DW_END_FULL);
    EXPECT_EQ(a.room().free_millicores, 4000);
    rn_stop(&a.r, a.now, &ref);
    EXPECT_EQ(a.told.stops.size(), 1u);
    a.order(3, 6000);
    EXPECT_EQ(a.told.starts.size(), 1u);
    EXPECT_EQ(a.room().free_millicores, 4000);
    a.look({}, {{1, {1, 1, 0}, DW_END_STOPPED}});
    EXPECT_EQ(a.room().free_millicores, 10000);
    a.order(4, 6000);
    EXPECT_EQ(a.told.starts.size(), 2u);
}

/* A task runs twice: the answer to its start was lost, the agent said it had
 * not run, and the order arrived late.  Only a stop that the worker answered
 * makes it refuse the late one. */
TEST(Runner, ALostStartIsSettledByLookAndStop)
{
    Agent a;
    rn_key k = {1, 1, 0};

    a.order(1, 1000);
    a.now += RN_ANSWER_TIMEOUT_MS;
    a.started(1, RN_START_LOST);
    EXPECT_TRUE(a.told.ends.empty());
    a.now += 2;
    a.look({}, {});
    ASSERT_EQ(a.told.stops.size(), 1u);
    EXPECT_TRUE(a.told.ends.empty());
    rn_stop_answered(&a.r, a.now, &k, true);
    EXPECT_TRUE(a.told.ends.empty());
    a.now += 2;
    a.look({}, {});
    ASSERT_EQ(a.told.ends.size(), 1u);
    EXPECT_EQ(a.told.ends[0].second, DW_END_NOT_RUN);
}

TEST(Runner, AStartWhoseAnswerAloneWasLostGoesOn)
{
    Agent a;

    a.order(1, 1000);
    a.now += RN_ANSWER_TIMEOUT_MS;
    a.started(1, RN_START_LOST);
    a.now += 2;
    a.look({{{1, 1, 0}, 30}}, {});
    EXPECT_TRUE(a.told.stops.empty());
    a.look({}, {{1, {1, 1, 0}, DW_END_DONE}});
    ASSERT_EQ(a.told.ends.size(), 1u);
    EXPECT_EQ(a.told.ends[0].second, DW_END_DONE);
}

/* All tasks go to the one worker that is dead: refused in a millisecond, it
 * looks like the freest.  After a refused connection it is told as silent. */
TEST(Runner, AWorkerThatIsNotReachedTakesNothing)
{
    Agent a;

    EXPECT_TRUE(a.room().serving);
    a.order(1, 1000);
    a.started(1, RN_START_UNREACHABLE);
    EXPECT_EQ(a.told.ends[0].second, DW_END_NOT_RUN);
    EXPECT_FALSE(a.room().serving);
    a.look({}, {});
    EXPECT_TRUE(a.room().serving);
}

/* A run goes on beside its successor: its session ended, the stop was lost,
 * and the lease was renewed for the other runs. */
TEST(Runner, NoRenewalWhileARunOfAnEndedSessionMayLive)
{
    Agent a;

    a.order(1, 1000, 1);
    a.started(1, RN_START_OK);
    a.order(2, 1000, 2);
    a.started(2, RN_START_OK);
    rn_session_ended(&a.r, a.now, 1);
    a.now += RN_STOP_LIMIT_MS + 1;
    a.look({{{1, 1, 0}, 5}, {{2, 1, 0}, 5}}, {});
    ASSERT_FALSE(a.told.looks.empty());
    EXPECT_EQ(a.told.looks.back().lease_until_ms, 0u);
    a.look({{{2, 1, 0}, 5}}, {{1, {1, 1, 0}, DW_END_STOPPED}});
    EXPECT_NE(a.told.looks.back().lease_until_ms, 0u);
}

/* A worker that starts anew under the same id: an order of the life before
 * carried out late would run beside its successor. */
TEST(Runner, RebirthRaisesTheFenceAndWaitsOutTheLongestLease)
{
    Agent a;

    a.order(1, 1000);
    a.started(1, RN_START_OK);
    uint64_t fence = a.told.fence;
    a.look({}, {}, 99);
    EXPECT_FALSE(a.room().serving);
    rn_set_capacity(&a.r, a.now, 10000, 1000, 0, 99);
    a.now += 5;
    a.look({}, {}, 99);
    EXPECT_EQ(a.told.ends.size(), 1u);
    EXPECT_FALSE(a.room().serving);
    a.now += RN_LEASE_MAX_MS + 1;
    rn_tick(&a.r, a.now);
    EXPECT_TRUE(a.room().serving);
    a.order(2, 1000);
    EXPECT_GT(a.told.fence, fence);
}

/* Runs of an agent that died are on the worker, of a size that its successor
 * does not know: nothing starts beside them. */
TEST(Runner, RunsOfAnEarlierAgentAreStoppedFirst)
{
    Told told;
    runner r;
    rn_poll l = {};
    rn_poll_run foreign = {{5, 5, 0}, 10};
    dw_room room;

    rn_init(&r, 100, &told_ops, &told);
    l.sent_ms = 100;
    l.ok = true;
    l.worker_clock_ms = 9;
    l.incarnation = 77;
    l.running = &foreign;
    l.running_count = 1;
    rn_poll_answered(&r, 101, &l);
    rn_set_capacity(&r, 101, 10000, 1000, 0, 77);
    rn_get_capacity(&r, 102, &room);
    EXPECT_FALSE(room.serving);
    ASSERT_EQ(told.stops.size(), 1u);
    l.sent_ms = 150;
    l.running_count = 0;
    rn_poll_answered(&r, 151, &l);
    rn_get_capacity(&r, 152, &room);
    EXPECT_TRUE(room.serving);
    rn_free(&r);
}

TEST(Runner, ADrainingWorkerFinishesAndTakesNothing)
{
    Agent a;

    a.order(1, 1000);
    a.started(1, RN_START_OK);
    rn_set_draining(&a.r, a.now, true, true, 2000);
    a.order(2, 1000);
    EXPECT_EQ(a.told.starts.size(), 1u);
    ASSERT_EQ(a.told.ends.size(), 1u);
    EXPECT_EQ(a.told.ends[0].second, DW_END_FULL);
    EXPECT_TRUE(a.room().draining);
    a.look({}, {{1, {1, 1, 0}, DW_END_DONE}});
    EXPECT_EQ(a.told.ends.size(), 2u);
}

/* Guards against a failing worker that each entry must find out about by its
 * own tasks' attempts, and against a new life that is blamed for the last. */
TEST(Runner, TheShareOfFailedRunsIsToldAndForgottenAtRebirth)
{
    Agent a;

    for (uint64_t job = 1; job <= 20; job++) {
        a.order(job, 1000);
        a.started(job, RN_START_OK);
        a.look({}, {{job, {job, 1, 0}, DW_END_FAILED}});
    }
    EXPECT_GT(a.room().fail_permille, 800u);
    a.order(21, 1000);
    a.started(21, RN_START_OK);
    a.look({}, {{21, {21, 1, 0}, DW_END_DONE}});
    EXPECT_LT(a.room().fail_permille, 900u);
    a.look({}, {}, 78);
    EXPECT_EQ(a.room().fail_permille, 0u);
}
