/* An agent's account of the runs on its worker. */
#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

#include "runner.h"

namespace {

struct Recorder {
    std::vector<rn_key> starts;
    std::vector<rn_key> stops;
    std::vector<rn_terms> polls;
    std::vector<std::pair<rn_key, dw_end>> outcomes;
    std::vector<rn_evidence> evidence; // of each outcome
    std::vector<rn_event> events;
    uint64_t fence = 0;
    std::string worker_id; /* of the last start */
};

void
record_start(void *ctx, const rn_run *r, const rn_terms *t)
{
    static_cast<Recorder *>(ctx)->starts.push_back(r->key);
    static_cast<Recorder *>(ctx)->fence = t->fence;
    static_cast<Recorder *>(ctx)->worker_id =
        std::string(t->worker_id.p, t->worker_id.n);
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
    static_cast<Recorder *>(ctx)->evidence.push_back(r->evidence);
}

void
record_event(void *ctx, const rn_event *e)
{
    static_cast<Recorder *>(ctx)->events.push_back(*e);
}

bool
sessions_checked(void *, uint64_t)
{
    return true;
}

const rn_ops recorder_ops = {record_start, record_stop, record_poll,
    record_outcome, record_event, sessions_checked};

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

/* The entry stops run 1 of job 1. */
void
stop_ordered(Fixture &a)
{
    dw_run_ref ref = {1, 0, 1};

    rn_stop(&a.r, a.now, &ref);
}

/* The answer to a start of job 1 is lost, a poll does not show the run, and
 * the start is sent again. */
void
lose_start(Fixture &a)
{
    a.order(1, 1000);
    a.now += RN_ANSWER_TIMEOUT_MS;
    a.started(1, RN_START_LOST);
    EXPECT_TRUE(a.sent.outcomes.empty());
    a.now += 2;
    a.poll({}, {});
    EXPECT_EQ(a.sent.starts.size(), 2u);
}

} // namespace

/* Guards against agents that run out of memory: jobs of many small tasks fit
 * their worker by the thousand. */
TEST(Runner, RunsBeyondTheirNumberAreRefused)
{
    Fixture a;
    dw_room room;

    a.r.runs_max = 2;
    a.order(1, 1);
    rn_get_capacity(&a.r, a.now, &room);
    EXPECT_EQ(room.free_millicores, 9999);
    a.order(2, 1);
    rn_get_capacity(&a.r, a.now, &room);
    EXPECT_EQ(room.free_millicores, 0);
    a.order(3, 1);
    EXPECT_EQ(a.sent.starts.size(), 2u);
    ASSERT_EQ(a.sent.outcomes.size(), 1u);
    EXPECT_EQ(a.sent.outcomes[0].second, DW_END_FULL);
    EXPECT_EQ(HASH_COUNT(a.r.runs), 2u);
}

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
 * agent reports it as not run, and the start arrives late.  It is sent again
 * instead; after a stop the report waits until it cannot arrive any more. */
TEST(Runner, LostStartIsSentAgainAndNotReportedAsNotRun)
{
    Fixture a;
    rn_key k = {1, 1, 0};
    uint64_t sent_ms;

    lose_start(a);
    sent_ms = a.now;
    ASSERT_EQ(a.sent.starts.size(), 2u);
    EXPECT_EQ(memcmp(&a.sent.starts[1], &a.sent.starts[0], sizeof(k)), 0);
    a.now += RN_ANSWER_TIMEOUT_MS;
    a.started(1, RN_START_LOST);
    stop_ordered(a);
    ASSERT_EQ(a.sent.stops.size(), 1u);
    rn_stop_answered(&a.r, a.now, &k, true);
    a.now += 2;
    a.poll({}, {});
    EXPECT_EQ(rn_held_count(&a.r), 1u);
    EXPECT_EQ(a.capacity().free_millicores, 10000);
    a.now = sent_ms + RN_LATE_START_MS - 1;
    rn_tick(&a.r, a.now);
    EXPECT_TRUE(a.sent.outcomes.empty());
    a.now++;
    rn_tick(&a.r, a.now);
    ASSERT_EQ(a.sent.outcomes.size(), 1u);
    EXPECT_EQ(a.sent.outcomes[0].second, DW_END_NOT_RUN);
}

/* Guards against a refusal of the second start that is taken for one of the
 * first, which runs. */
TEST(Runner, RefusedRepetitionProvesNothing)
{
    const rn_start_result refusals[] = {
        RN_START_REFUSED, RN_START_FENCED, RN_START_UNREACHABLE};

    for (rn_start_result refusal : refusals) {
        Fixture a;

        lose_start(a);
        a.started(1, refusal);
        EXPECT_TRUE(a.sent.outcomes.empty()) << refusal;
        a.poll({{{1, 1, 0}, 30}}, {});
        a.poll({}, {{1, {1, 1, 0}, DW_END_DONE}});
        ASSERT_EQ(a.sent.outcomes.size(), 1u) << refusal;
        EXPECT_EQ(a.sent.outcomes[0].second, DW_END_DONE) << refusal;
    }
}

/* Guards against a worker that is asked again without a pause while it refuses
 * the start. */
TEST(Runner, RefusedRepetitionWaits)
{
    Fixture a;

    lose_start(a);
    a.started(1, RN_START_REFUSED);
    a.now += 2;
    a.poll({}, {});
    EXPECT_EQ(a.sent.starts.size(), 2u);
    a.now += RN_ANSWER_TIMEOUT_MS;
    a.poll({}, {});
    EXPECT_EQ(a.sent.starts.size(), 3u);
}

struct StopLimitCase {
    const char *name;
    void (*stop)(Fixture &a);
    uint64_t limit_ms;
};

const StopLimitCase stop_limit_cases[] = {
    {"Stopped", stop_ordered, RN_ORDERED_STOP_LIMIT_MS},
    {"SessionOver",
        [](Fixture &a) { rn_session_ended(&a.r, a.now, 1, a.now); },
        RN_STOP_LIMIT_MS},
    {"StoppedThenSessionOver",
        [](Fixture &a) {
            stop_ordered(a);
            rn_session_ended(&a.r, a.now, 1, a.now);
        },
        RN_STOP_LIMIT_MS},
    {"SessionOverThenStopped",
        [](Fixture &a) {
            rn_session_ended(&a.r, a.now, 1, a.now);
            stop_ordered(a);
        },
        RN_STOP_LIMIT_MS},
};

/* Guards against a run that its entry does not want any more and that is kept
 * alive by renewals for others while its stops get no answer. */
TEST(Runner, LeaseIsNotRenewedForARunThatMustBeGone)
{
    for (const StopLimitCase &c : stop_limit_cases) {
        Fixture a;
        uint64_t stopped_ms;

        a.order(1, 1000);
        a.started(1, RN_START_OK);
        a.order(2, 1000, 2);
        a.started(2, RN_START_OK);
        stopped_ms = a.now;
        c.stop(a);
        while (a.now <= stopped_ms + c.limit_ms) {
            a.sent.polls.clear();
            a.poll({{{1, 1, 0}, 30}, {{2, 1, 0}, 30}}, {});
            a.now += 20;
            rn_tick(&a.r, a.now);
        }
        a.sent.polls.clear();
        a.poll({{{1, 1, 0}, 30}, {{2, 1, 0}, 30}}, {});
        ASSERT_FALSE(a.sent.polls.empty()) << c.name;
        EXPECT_EQ(a.sent.polls.back().lease_until_ms, 0u) << c.name;
        EXPECT_LE(a.r.lease_expiry_ms,
            stopped_ms + c.limit_ms + RN_LEASE_EXPIRY_MS + 10)
            << c.name;
    }
}

struct HoldCase {
    const char *name;
    void (*end)(Fixture &a);
    bool held;
};

static void
set_incarnation_id(Fixture &a, uint64_t incarnation, const char *id)
{
    rn_set_worker_id(&a.r, a.now, incarnation, str_of(id));
}

/* A start was lost, the next one was confirmed. */
static const HoldCase hold_cases[] = {
    {"Done",
        [](Fixture &a) {
            a.poll({}, {{1, {1, 1, 0}, DW_END_DONE}});
        },
        false},
    {"Failed",
        [](Fixture &a) {
            a.poll({}, {{1, {1, 1, 0}, DW_END_FAILED}});
        },
        true},
    {"SessionOver",
        [](Fixture &a) {
            rn_session_ended(&a.r, a.now, 1, a.now);
            a.poll({}, {{1, {1, 1, 0}, DW_END_STOPPED}});
        },
        true},
    {"FailedOnALeavingAgent",
        [](Fixture &a) {
            rn_leave(&a.r, a.now);
            a.poll({}, {{1, {1, 1, 0}, DW_END_FAILED}});
        },
        false},
    {"FailedBeforeTheWorkerGetsANewId",
        [](Fixture &a) {
            a.poll({}, {{1, {1, 1, 0}, DW_END_FAILED}});
            set_incarnation_id(a, 78, "i-2");
            rn_tick(&a.r, a.now);
        },
        false},
    {"FailedBeforeTheWorkerRestartsUnderItsId",
        [](Fixture &a) {
            a.poll({}, {{1, {1, 1, 0}, DW_END_FAILED}});
            set_incarnation_id(a, 78, "i-1");
            rn_tick(&a.r, a.now);
        },
        true},
};

/* Guards against a task that is placed elsewhere while a lost start of it may
 * be executed by a worker that restarts under its id; and against answers that
 * wait for nothing. */
TEST(Runner, EndIsHeldWhileALostStartMayBeExecuted)
{
    for (const HoldCase &c : hold_cases) {
        Fixture a;

        set_incarnation_id(a, 77, "i-1");
        lose_start(a);
        a.started(1, RN_START_OK);
        c.end(a);
        EXPECT_EQ(rn_held_count(&a.r), c.held ? 1u : 0u) << c.name;
        EXPECT_EQ(a.sent.outcomes.size(), c.held ? 0u : 1u) << c.name;
    }
}

/* Guards against a run that is given up when the lease runs out, though its
 * lost start may be executed: it starts when the worker answers again. */
TEST(Runner, LostStartOutlastsTheLease)
{
    Fixture a;

    a.order(1, 1000);
    a.now += RN_ANSWER_TIMEOUT_MS;
    a.started(1, RN_START_LOST);
    a.now += RN_LEASE_EXPIRY_MS + 1;
    rn_tick(&a.r, a.now);
    EXPECT_TRUE(a.sent.outcomes.empty());
    a.poll({}, {});
    EXPECT_EQ(a.sent.starts.size(), 2u);
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

namespace {

void
answer_stop(Fixture &a)
{
    rn_key k = {1, 1, 0};

    rn_stop_answered(&a.r, a.now, &k, true);
    a.now += 2;
}

/* Resolves a lost start that the entry stops: the report waits until it cannot
 * be executed any more. */
void
resolve_by_stop(Fixture &a)
{
    stop_ordered(a);
    a.now += 2;
    answer_stop(a);
    a.poll({}, {});
    EXPECT_TRUE(a.sent.outcomes.empty());
    a.now += RN_LATE_START_MS;
    rn_tick(&a.r, a.now);
}

/* Orders run 2 of the task whose run 1 is active: it is queued. */
void
order_second_run(Fixture &a)
{
    dw_run_group g = {};
    dw_run run = {};

    g.job = 1;
    run.run = 2;
    run.millicores = 1000;
    run.wait_ms = 40;
    rn_order(&a.r, a.now, 9, 1, &g, &run);
}

struct EndCase {
    const char *name;
    rn_start_result start; // answer to the start of run 1
    void (*then)(Fixture &a);
    dw_end outcome;
    rn_evidence evidence;
};

const EndCase end_cases[] = {
    {"Refused", RN_START_REFUSED, nullptr, DW_END_NOT_RUN,
        RN_EVIDENCE_REFUSED},
    {"Fenced", RN_START_FENCED, nullptr, DW_END_NOT_RUN, RN_EVIDENCE_FENCED},
    {"Unreachable", RN_START_UNREACHABLE, nullptr, DW_END_NOT_RUN,
        RN_EVIDENCE_UNREACHABLE},
    {"AbsentAfterAStop", RN_START_LOST, resolve_by_stop, DW_END_NOT_RUN,
        RN_EVIDENCE_ABSENT_STOPPED},
    {"SeenThenAbsentAfterAStop", RN_START_OK,
        [](Fixture &a) {
            a.poll({{{1, 1, 0}, 5}}, {});
            stop_ordered(a);
            answer_stop(a);
            a.poll({}, {});
        },
        DW_END_LOST, RN_EVIDENCE_ABSENT_STOPPED},
    {"ConfirmedThenAbsentAfterAStop", RN_START_OK,
        [](Fixture &a) {
            stop_ordered(a);
            answer_stop(a);
            a.poll({}, {});
        },
        DW_END_LOST, RN_EVIDENCE_ABSENT_STOPPED},
    {"AbsentWithoutAStop", RN_START_OK,
        [](Fixture &a) {
            a.now += 2;
            a.poll({}, {});
        },
        DW_END_LOST, RN_EVIDENCE_ABSENT},
    {"Listed", RN_START_OK,
        [](Fixture &a) {
            a.poll({}, {{1, {1, 1, 0}, DW_END_FAILED}});
        },
        DW_END_FAILED, RN_EVIDENCE_LISTED},
    {"LeaseExpired", RN_START_OK,
        [](Fixture &a) {
            a.now += RN_LEASE_EXPIRY_MS + 100;
            rn_tick(&a.r, a.now);
        },
        DW_END_LOST, RN_EVIDENCE_LEASE},
    {"StoppedWhileQueued", RN_START_OK,
        [](Fixture &a) {
            dw_run_ref second = {1, 0, 2};

            order_second_run(a);
            rn_stop(&a.r, a.now, &second);
        },
        DW_END_STOPPED, RN_EVIDENCE_DROPPED},
    {"QueuedForTooLong", RN_START_OK,
        [](Fixture &a) {
            order_second_run(a);
            a.now += 41;
            rn_tick(&a.r, a.now);
        },
        DW_END_FULL, RN_EVIDENCE_NOT_SENT},
};

class RunnerEvidence : public testing::TestWithParam<EndCase> {};

} // namespace

/* Guards against a log that cannot tell by what an agent took a run for over:
 * runs reported as not run were found running, and no line told which of the
 * four producers of that report was wrong. */
TEST_P(RunnerEvidence, IsKnownForEveryEnd)
{
    const EndCase &c = GetParam();
    Fixture a;
    uint64_t not_run = c.outcome == DW_END_NOT_RUN;

    a.order(1, 1000);
    a.started(1, c.start);
    if (c.then != nullptr) {
        c.then(a);
    }
    ASSERT_EQ(a.sent.outcomes.size(), 1u);
    EXPECT_EQ(a.sent.outcomes[0].second, c.outcome);
    EXPECT_EQ(a.sent.evidence[0], c.evidence);
    EXPECT_EQ(a.r.stats.not_run[c.evidence], not_run);
    EXPECT_EQ(rn_not_run_count(&a.r.stats), not_run);
}

INSTANTIATE_TEST_SUITE_P(Ends, RunnerEvidence, testing::ValuesIn(end_cases),
    [](const auto &tested) { return tested.param.name; });

namespace {

void
fail_poll(Fixture &a, bool unreachable)
{
    rn_poll p = {};

    a.now += 20;
    p.sent_ms = a.now;
    p.unreachable = unreachable;
    rn_poll_answered(&a.r, a.now, &p);
}

} // namespace

/* Guards against a loss of contact that no log shows: an agent had no contact
 * with its worker for 5 s, and only the worker knew.  One line for each change
 * however many polls fail. */
TEST(RunnerEvents, LossOfTheWorkerAndItsReturnAreToldOnce)
{
    Fixture a;

    a.order(1, 1000);
    a.started(1, RN_START_OK);
    uint64_t heard = a.now;
    for (uint32_t i = 0; i < 2 * RN_SILENT_POLLS; i++) {
        fail_poll(a, false);
    }
    ASSERT_EQ(a.sent.events.size(), 1u);
    EXPECT_EQ(a.sent.events[0].kind, RN_EVENT_SILENT);
    EXPECT_EQ(a.sent.events[0].polls_failed, RN_SILENT_POLLS);
    EXPECT_EQ(a.sent.events[0].active, 1u);
    EXPECT_EQ(a.sent.events[0].unheard_ms, 20 * RN_SILENT_POLLS);
    a.poll({}, {{1, {1, 1, 0}, DW_END_DONE}});
    a.poll({}, {{1, {1, 1, 0}, DW_END_DONE}});
    ASSERT_EQ(a.sent.events.size(), 2u);
    EXPECT_EQ(a.sent.events[1].kind, RN_EVENT_ANSWERS);
    EXPECT_EQ(a.sent.events[1].outcomes, 1u);
    EXPECT_EQ(a.sent.events[1].unheard_ms, a.now - 1 - heard);
}

/* Guards against a restart of the worker that only a counter shows: lost runs
 * and a raised fence could not be told from a lost connection. */
TEST(RunnerEvents, RestartTellsBothIncarnations)
{
    Fixture a;

    a.poll({}, {}, 99);
    rn_set_capacity(&a.r, a.now, 10000, 1000, 0, 99);
    ASSERT_EQ(a.sent.events.size(), 1u);
    EXPECT_EQ(a.sent.events[0].kind, RN_EVENT_RESTARTED);
    EXPECT_EQ(a.sent.events[0].former, 77u);
    EXPECT_EQ(a.sent.events[0].incarnation, 99u);
}

/* Guards against runs that an agent finds and stops without a trace of whose
 * they were, and against a line for each poll that shows them. */
TEST(RunnerEvents, OrphansAreToldWhenTheyAppearAndWhenTheyAreGone)
{
    Fixture a;

    a.poll({{{5, 3, 2}, 1}, {{6, 3, 2}, 1}}, {});
    a.poll({{{6, 3, 2}, 2}}, {});
    ASSERT_EQ(a.sent.events.size(), 1u);
    EXPECT_EQ(a.sent.events[0].kind, RN_EVENT_ORPHANS);
    EXPECT_EQ(a.sent.events[0].orphans, 2u);
    EXPECT_EQ(a.sent.events[0].key.job, 5u);
    a.poll({}, {});
    ASSERT_EQ(a.sent.events.size(), 2u);
    EXPECT_EQ(a.sent.events[1].kind, RN_EVENT_NO_ORPHANS);
}

namespace {

/* What the worker shows after the end of run 1 was reported. */
struct LateCase {
    const char *name;
    rn_start_result start;
    void (*then)(Fixture &a); // leads to the report; nullptr: the start did
    int sent_ms;              // of the late poll, from the end of the run
    bool listed;              // the poll lists the run's end
    dw_end outcome;           // as listed
    bool told;
    bool counted = told; // as untrue
};

void
expire(Fixture &a)
{
    a.now += RN_LEASE_EXPIRY_MS + 100;
    rn_tick(&a.r, a.now);
}

void
list_done(Fixture &a)
{
    a.poll({}, {{1, {1, 1, 0}, DW_END_DONE}});
}

const LateCase late_cases[] = {
    {"RefusedButFailed", RN_START_REFUSED, nullptr, 5000, true, DW_END_FAILED,
        true},
    {"RefusedButStopped", RN_START_REFUSED, nullptr, 5, true, DW_END_STOPPED,
        true},
    {"UnreachableButDone", RN_START_UNREACHABLE, nullptr, 5, true, DW_END_DONE,
        true},
    {"ResolvedByStopButDone", RN_START_LOST, resolve_by_stop, 5, true,
        DW_END_DONE, true},
    {"OutcomeOfAnOldPollCounts", RN_START_REFUSED, nullptr, -5, true,
        DW_END_DONE, true},
    {"LeaseExpiredButDone", RN_START_OK, expire, 5, true, DW_END_DONE, true,
        false},
    {"LeaseExpiredButAlive", RN_START_OK, expire, 5, false, DW_END_DONE, true},
    {"LeaseExpiredAndLapsed", RN_START_OK, expire, 5, true, DW_END_LOST,
        false},
    {"SameOutcomeAgain", RN_START_OK, list_done, 5, true, DW_END_DONE, false},
    {"RefusedButAlive", RN_START_REFUSED, nullptr, 1, false, DW_END_DONE,
        true},
    {"ResolvedByStopButAlive", RN_START_LOST, resolve_by_stop, 900, false,
        DW_END_DONE, true},
    {"AliveInAPollSentBeforeTheEnd", RN_START_OK, list_done, -1, false,
        DW_END_DONE, false},
    {"AliveInAPollSentAtTheEnd", RN_START_OK, list_done, 0, false, DW_END_DONE,
        false},
};

class RunnerLate : public testing::TestWithParam<LateCase> {};

} // namespace

/* Guards against an untrue report that nobody notices: a run was reported as
 * not run while it ran, and its task was started again beside it.  Polls that
 * crossed the end must raise no false alarm, and repeated ones no second. */
TEST_P(RunnerLate, ReportIsComparedWithWhatTheWorkerShows)
{
    const LateCase &c = GetParam();
    Fixture a;

    a.order(1, 1000);
    a.started(1, c.start);
    if (c.then != nullptr) {
        c.then(a);
    }
    ASSERT_EQ(a.sent.outcomes.size(), 1u);
    a.sent.events.clear();
    uint64_t ended = a.now;
    for (uint64_t seq = 2; seq < 4; seq++) {
        a.now = ended + c.sent_ms;
        if (c.listed) {
            a.poll({}, {{seq, {1, 1, 0}, c.outcome}});
        }
        else {
            a.poll({{{1, 1, 0}, 7}}, {});
        }
    }
    std::vector<rn_event> told;
    for (const rn_event &e : a.sent.events) {
        if (e.kind == RN_EVENT_ALIVE || e.kind == RN_EVENT_END_CONTRADICTED) {
            told.push_back(e);
        }
    }
    ASSERT_EQ(told.size(), size_t(c.told));
    EXPECT_EQ(a.r.stats.contradicted, uint64_t(c.counted));
    EXPECT_EQ(a.sent.outcomes.size(), 1u);
    if (c.told) {
        EXPECT_EQ(told[0].kind,
            c.listed ? RN_EVENT_END_CONTRADICTED : RN_EVENT_ALIVE);
        EXPECT_EQ(told[0].end.outcome, a.sent.outcomes[0].second);
        EXPECT_EQ(told[0].end.evidence, a.sent.evidence[0]);
        EXPECT_EQ(told[0].end.key.job, 1u);
    }
}

INSTANTIATE_TEST_SUITE_P(Late, RunnerLate, testing::ValuesIn(late_cases),
    [](const auto &tested) { return tested.param.name; });

/* Guards against a proof that is lost because many runs ended between the
 * untrue report and the late outcome. */
TEST(RunnerEvents, UntrueReportIsNoticedAfterHundredsOfOtherRuns)
{
    Fixture a;

    a.order(1, 1000);
    a.started(1, RN_START_REFUSED);
    for (uint64_t job = 2; job < 2 + RN_ENDS_MAX - 1; job++) {
        a.order(job, 1000);
        a.started(job, RN_START_OK);
        a.poll({}, {{job, {job, 1, 0}, DW_END_DONE}});
    }
    a.poll({}, {{9000, {1, 1, 0}, DW_END_FAILED}});
    EXPECT_EQ(a.r.stats.contradicted, 1u);
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

/* Guards against a worker that no agent can give orders any more: its fence
 * was made from a start in microseconds. */
TEST(Runner, FarHigherFenceIsReachedWithinASecond)
{
    const uint64_t far_higher = 1796379910018000;
    Fixture a;
    uint64_t until;

    a.now += RN_IDLE_POLL_MS;
    until = a.now + 1000;
    for (rn_tick(&a.r, a.now); a.r.fence <= far_higher && a.now < until;
         rn_tick(&a.r, a.now)) {
        rn_poll p = {};

        p.sent_ms = a.now;
        p.fenced = true;
        rn_poll_answered(&a.r, a.now += 5, &p);
        a.now += RN_RETRY_POLL_MS;
    }
    EXPECT_GT(a.r.fence, far_higher);
    EXPECT_LT(a.r.fence, 1ULL << 53);
}

/* Guards against an entry that repeats a run of which a start may still be
 * executed: it is not told of it. */
TEST(Runner, OnlyRunsWithALostStartAreListedAsOpen)
{
    Fixture a;
    dw_run_ref open[4];

    a.order(1, 1000);
    a.order(2, 1000);
    EXPECT_EQ(rn_open_runs(&a.r, a.now, 1, open, 4), 0u);
    a.started(1, RN_START_LOST);
    a.started(2, RN_START_OK);
    ASSERT_EQ(rn_open_runs(&a.r, a.now, 1, open, 4), 1u);
    EXPECT_EQ(open[0].job, 1u);
    EXPECT_EQ(rn_open_runs(&a.r, a.now, 2, open, 4), 0u);
    a.now += RN_LATE_START_MS;
    EXPECT_EQ(rn_open_runs(&a.r, a.now, 1, open, 4), 0u);
}

/* Guards against a run that is reported as not run though the worker confirmed
 * its start, after the stop was sent. */
TEST(Runner, StartConfirmedAfterTheStopIsRemembered)
{
    Fixture a;

    a.order(1, 1000);
    stop_ordered(a);
    a.started(1, RN_START_OK);
    answer_stop(a);
    a.poll({}, {});
    ASSERT_EQ(a.sent.outcomes.size(), 1u);
    EXPECT_EQ(a.sent.outcomes[0].second, DW_END_LOST);
}

/* Guards against a late start that the next incarnation of the worker
 * executes: it must name the id of the incarnation that it is meant for, also
 * if a poll shows the restart before a heartbeat tells the new id. */
TEST(Runner, StartNamesTheWorkerOfItsIncarnation)
{
    Fixture a;

    a.order(1, 1000);
    EXPECT_EQ(a.sent.worker_id, "");
    rn_set_worker_id(&a.r, a.now, 77, STR("i-1"));
    a.order(2, 1000);
    EXPECT_EQ(a.sent.worker_id, "i-1");
    rn_set_worker_id(&a.r, a.now, 76, STR("i-0"));
    a.order(3, 1000);
    EXPECT_EQ(a.sent.worker_id, "i-1");

    a.poll({}, {}, 88);
    a.order(4, 1000);
    EXPECT_EQ(a.sent.starts.size(), 3u);
    rn_set_worker_id(&a.r, a.now, 88, STR("i-2"));
    rn_set_capacity(&a.r, a.now, 10000, 1000, 0, 88);
    a.now++;
    a.poll({}, {}, 88);
    a.now += RN_LEASE_MAX_MS + 1;
    a.poll({}, {}, 88);
    rn_tick(&a.r, a.now);
    a.order(5, 1000);
    ASSERT_EQ(a.sent.starts.size(), 4u);
    EXPECT_EQ(a.sent.worker_id, "i-2");
}

/* Guards against a lost start whose worker got a new id before the loss was
 * noticed: the run is resolved like one without an open start. */
TEST(Runner, StartLostToAFormerWorkerIdIsResolved)
{
    Fixture a;
    rn_key k = {1, 1, 0};

    set_incarnation_id(a, 77, "i-1");
    a.order(1, 1000);
    set_incarnation_id(a, 78, "i-2");
    a.now += RN_ANSWER_TIMEOUT_MS;
    a.started(1, RN_START_LOST);
    a.now += 2;
    a.poll({}, {}, 78);
    ASSERT_EQ(a.sent.stops.size(), 1u);
    rn_stop_answered(&a.r, a.now, &k, true);
    a.now += 2;
    a.poll({}, {}, 78);
    ASSERT_EQ(a.sent.outcomes.size(), 1u);
    EXPECT_EQ(a.sent.outcomes[0].second, DW_END_NOT_RUN);
}

struct ServeCase {
    const char *name;
    const char *former;
    const char *id;
    bool heartbeat_first; /* before a poll shows the restart */
    bool at_once;
};

/* Guards against a restarted worker that serves nothing for a second although
 * it refuses all that may come late, and against one that serves while a late
 * renewal may have given it the longest lease. */
TEST(Runner, RestartedWorkerServesWhenItsLeaseIsKnown)
{
    const ServeCase cases[] = {
        {"NewId", "i-1", "i-2", true, true},
        {"NewIdAfterAPoll", "i-1", "i-2", false, true},
        {"SameId", "i-1", "i-1", true, false},
        {"FormerIdUnknown", "", "i-2", true, false},
        {"NewIdUnknown", "i-1", "", true, true},
    };

    for (const ServeCase &c : cases) {
        Fixture a;

        set_incarnation_id(a, 77, c.former);
        a.order(1, 1000);
        a.started(1, RN_START_OK);
        a.now += 10;
        if (!c.heartbeat_first) {
            a.poll({}, {}, 78);
            a.now++;
            a.poll({}, {}, 78);
        }
        set_incarnation_id(a, 78, c.id);
        rn_set_capacity(&a.r, a.now, 10000, 1000, 0, 78);
        a.now++;
        a.poll({}, {}, 78);
        EXPECT_EQ(rn_serving(&a.r), c.at_once) << c.name;
        a.now += RN_LEASE_MAX_MS + 1;
        a.poll({}, {}, 78);
        rn_tick(&a.r, a.now);
        EXPECT_TRUE(rn_serving(&a.r)) << c.name;
    }
}
