/* The parts of the platform's path one by one: tables of cases, and the
 * small situations that a whole world meets too seldom. */
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "coord.h"
#include "fleet.h"
#include "guess.h"
#include "news.h"
#include "platform/wire.h"
#include "route.h"
#include "runner.h"
#include "sess.h"

/* --- wire --- */

struct JobCase {
    const char *text;
    wire_status status;
    const char *words;
};

#define STEP "{\"count\":2,\"cpu\":500,\"mem_mb\":64,\"est_runtime_ms\":90}"
#define JOB(steps)                                                            \
    "{\"task_spec\":\"x\",\"best_effort\":true,\"steps\":" steps "}"

static const JobCase jobs[] = {
    {JOB("[" STEP "]"), WIRE_OK, ""},
    {JOB("[{\"count\":1}]"), WIRE_OK, ""},
    {JOB("[{\"count\":1,\"gang\":false,\"requires\":\"\"}]"), WIRE_OK, ""},
    {"", WIRE_BAD, "line"},
    {"[]", WIRE_BAD, "object"},
    {"{\"task_spec\":\"x\"", WIRE_BAD, "line 1"},
    {"{\"best_effort\":true,\"steps\":[" STEP "]}", WIRE_BAD, "task_spec"},
    {"{\"task_spec\":5,\"best_effort\":true,\"steps\":[]}", WIRE_BAD,
        "task_spec"},
    {JOB("[]"), WIRE_BAD, "steps"},
    {JOB("5"), WIRE_BAD, "steps"},
    {JOB("[5]"), WIRE_BAD, "steps"},
    {JOB("[{}]"), WIRE_BAD, "count"},
    {JOB("[{\"count\":0}]"), WIRE_BAD, "count"},
    {JOB("[{\"count\":-1}]"), WIRE_BAD, "count"},
    {JOB("[{\"count\":1.5}]"), WIRE_BAD, "count"},
    {JOB("[{\"count\":99999999}]"), WIRE_BAD, "count"},
    {JOB("[{\"count\":1,\"cpu\":\"a\"}]"), WIRE_BAD, "cpu"},
    {JOB("[{\"count\":1,\"gang\":true}]"), WIRE_UNSUPPORTED, "gang"},
    {JOB("[{\"count\":1,\"requires\":\"gpu\"}]"), WIRE_UNSUPPORTED,
        "requires"},
    {JOB("[{\"count\":1,\"long_running\":true}]"), WIRE_UNSUPPORTED,
        "long_running"},
    {JOB("[" STEP "," STEP "]"), WIRE_UNSUPPORTED, "several"},
    {"{\"task_spec\":\"x\",\"steps\":[" STEP "]}", WIRE_UNSUPPORTED,
        "best_effort"},
};

TEST(Wire, EachJobIsTakenOrNamesThePlace)
{
    for (auto &c : jobs) {
        wire_job j;
        err e = {""};

        ASSERT_EQ(wire_read_job(&j, str_of(c.text), &e), c.status) << c.text;
        EXPECT_NE(strstr(e.msg, c.words), nullptr) << c.text << ": " << e.msg;
        if (c.status == WIRE_OK) {
            wire_job_free(&j);
        }
    }
}

struct BeatCase {
    const char *text;
    bool ok;
};

static const BeatCase beats[] = {
    {"{\"service\":\"s\",\"state\":\"ready\",\"seq_no\":4,\"born\":17,"
     "\"free_capacity\":{\"cpu\":16000,\"mem_mb\":32768,\"gpus\":0}}",
        true},
    {"{\"service\":\"s\",\"state\":\"draining\",\"remaining_ms\":900,"
     "\"free_capacity\":{\"cpu\":1,\"mem_mb\":1}}",
        true},
    {"{\"service\":\"s\",\"state\":\"asleep\","
     "\"free_capacity\":{\"cpu\":1,\"mem_mb\":1}}",
        false},
    {"{\"service\":7,\"state\":\"ready\","
     "\"free_capacity\":{\"cpu\":1,\"mem_mb\":1}}",
        false},
    {"{\"service\":\"s\",\"state\":\"ready\"}", false},
    {"{\"service\":\"s\",\"state\":\"ready\","
     "\"free_capacity\":{\"cpu\":\"1\",\"mem_mb\":1}}",
        false},
    {"\xff\xfe", false},
    {"", false},
};

TEST(Wire, AnnouncementsOfOtherWritersNameNoWorker)
{
    for (auto &c : beats) {
        wire_beat b;
        err e = {""};

        EXPECT_EQ(wire_read_beat(&b, str_of(c.text), &e) == WIRE_OK, c.ok)
            << c.text;
    }
}

TEST(Wire, ABadRouteIsLeftOutAndTheOthersHold)
{
    rt_table t;
    size_t left_out;
    err e = {""};
    const char *text =
        "{\"version\":7,\"routes\":["
        "{\"name\":\"a\",\"hostname\":\"h\",\"prefix\":\"/a/\","
        "\"service\":\"s\",\"slo_ms\":60,\"attempts\":2,\"stretch\":1.6},"
        "{\"name\":\"b\",\"hostname\":5,\"prefix\":\"/b/\"},"
        "{\"name\":\"c\",\"hostname\":\"h\",\"prefix\":\"/c/\","
        "\"service\":\"s\"}],\"limits\":{\"max_body_bytes\":1000}}";

    ASSERT_EQ(wire_read_config(&t, str_of(text), &left_out, &e), WIRE_OK);
    EXPECT_EQ(t.version, 7u);
    EXPECT_EQ(t.count, 2u);
    EXPECT_EQ(left_out, 1u);
    EXPECT_EQ(t.routes[0].stretch_milli, 1600u);
    EXPECT_EQ(t.body_max, 1000u);
    EXPECT_NE(strstr(e.msg, "routes[1]: hostname"), nullptr) << e.msg;
    rt_free(&t);
}

TEST(Wire, ALookShowsRunsAndEnds)
{
    wire_look l;
    err e = {""};
    const char *text =
        "{\"clock_ms\":9,\"born\":3,\"running\":["
        "[\"5c0e7a21d94b36f8.0.0.17\",2,\"\",41],[\"odd\",1,\"\",0]],"
        "\"finished\":[[58,\"5c0e7a21d94b36f8.0.0.9\",1,\"done\",\"\"],"
        "[59,\"5c0e7a21d94b36f8.0.0.8\",1,\"vanished\",\"\"]]}";

    ASSERT_EQ(wire_read_look(&l, str_of(text), &e), WIRE_OK);
    ASSERT_EQ(l.look.running_count, 1u);
    EXPECT_EQ(l.running[0].key.job, 0x5c0e7a21d94b36f8u);
    EXPECT_EQ(l.running[0].key.index, 17u);
    EXPECT_EQ(l.running[0].percent, 41u);
    ASSERT_EQ(l.look.end_count, 2u);
    EXPECT_EQ(l.ends[0].how, DW_END_DONE);
    EXPECT_EQ(l.ends[1].number, 59u); /* still taken note of */
    EXPECT_EQ(l.ends[1].key.job, 0u);
    wire_look_free(&l);
}

static const struct {
    const char *text;
    bool ok;
} ids[] = {
    {"5c0e7a21d94b36f8", true},
    {"5C0E7A21D94B36F8", false},
    {"5c0e7a21d94b36f", false},
    {"5c0e7a21d94b36f8/", false},
    {"", false},
};

TEST(Wire, JobIds)
{
    for (auto &c : ids) {
        uint64_t id;

        EXPECT_EQ(wire_job_id(str_of(c.text), &id), c.ok) << c.text;
    }
}

/* --- route --- */

static rt_table
table_of(
    uint64_t version, std::vector<std::pair<const char *, const char *>> v)
{
    rt_table t = {};

    t.version = version;
    for (auto &r : v) {
        rt_route *to = rt_add(&t);

        to->name = str_dup(str_of(r.second));
        to->host = str_dup(str_of(r.first));
        to->prefix = str_dup(str_of(r.second));
        to->prefix_n = strlen(r.second);
        to->service = str_dup(STR("s"));
    }
    return t;
}

static const struct {
    const char *host;
    const char *path;
    const char *prefix; /* NULL: none */
} matches[] = {
    {"h.example", "/a/1", "/a/"},
    {"h.example", "/a/b/1", "/a/b/"},
    {"H.Example", "/a/1", "/a/"},
    {"h.example:8080", "/a/1", "/a/"},
    {"g.example", "/a/1", nullptr},
    {"h.example.org", "/a/1", nullptr},
    {"h.example", "/b/1", nullptr},
    {"h.example", "/a", nullptr},
    {"", "/a/1", nullptr},
};

TEST(Route, LongestPrefixOfTheHost)
{
    rt_table t = table_of(1, {{"h.example", "/a/"}, {"h.example", "/a/b/"}});

    for (auto &m : matches) {
        const rt_route *r = rt_match(&t, str_of(m.host), str_of(m.path));

        EXPECT_STREQ(r != nullptr ? r->prefix : nullptr, m.prefix)
            << m.host << m.path;
    }
    rt_free(&t);
}

/* A caller gets 404 for a route it was just served by: an older version came
 * after the newer one, by a slow reader or a peer, and must not be taken. */
TEST(Route, AnOlderVersionIsNeverTaken)
{
    rt_table t = table_of(5, {{"h", "/new/"}});
    rt_table older = table_of(4, {{"h", "/old/"}});
    rt_table newer = table_of(9, {{"h", "/newest/"}});

    EXPECT_FALSE(rt_adopt(&t, &older));
    EXPECT_NE(rt_match(&t, STR("h"), STR("/new/1")), nullptr);
    EXPECT_TRUE(rt_adopt(&t, &newer));
    EXPECT_NE(rt_match(&t, STR("h"), STR("/newest/1")), nullptr);
    rt_free(&t);
}

/* --- sess --- */

namespace {

dw_msg *
new_report()
{
    dw_msg *m = (dw_msg *)dw_zero(1, sizeof(*m));

    m->type = DW_REPORT;
    return m;
}

/* Two ends that have heard one another at time `now`. */
struct Pair {
    sess a;
    sess b;

    explicit Pair(uint64_t now)
    {
        dw_msg m = {};

        m.type = DW_REPORT;
        sess_init(&a);
        sess_init(&b);
        sess_begin(&a, 7);
        sess_begin(&b, 7);
        sess_stamp(&a, now, &m);
        sess_take(&b, now, &m.dw_msg_u.report.head);
        sess_stamp(&b, now, &m);
        sess_take(&a, now, &m.dw_msg_u.report.head);
        sess_stamp(&a, now, &m);
        sess_take(&b, now, &m.dw_msg_u.report.head);
    }
    ~Pair()
    {
        sess_end(&a);
        sess_end(&b);
    }
};

} // namespace

TEST(Sess, LostAndRepeatedMessagesAreTakenOnceInOrder)
{
    Pair p(1000);
    dw_msg *one = new_report();
    dw_msg *two = new_report();
    uint64_t later = 1000 + SESS_RESEND_MS;

    sess_keep(&p.a, 1000, one); /* lost */
    sess_keep(&p.a, 1001, two);
    EXPECT_EQ(sess_take(&p.b, 1002, &two->dw_msg_u.report.head), SESS_BEAT);
    EXPECT_EQ(sess_again(&p.a, 1003, nullptr), nullptr);
    EXPECT_EQ(sess_again(&p.a, later, nullptr), one);
    EXPECT_EQ(sess_take(&p.b, later, &one->dw_msg_u.report.head), SESS_TAKE);
    EXPECT_EQ(sess_again(&p.a, later, one), two);
    EXPECT_EQ(sess_take(&p.b, later, &two->dw_msg_u.report.head), SESS_TAKE);
    EXPECT_EQ(sess_take(&p.b, later, &two->dw_msg_u.report.head), SESS_BEAT);
    EXPECT_EQ(sess_again(&p.a, later, two), nullptr);
}

/* A task runs twice: an agent that was frozen wakes, finds an order of before
 * in its buffer and starts it, while the entry has long started it elsewhere.
 * The order echoes the agent's clock of before the freeze. */
TEST(Sess, WhatWaitedThroughAFreezeIsDropped)
{
    Pair p(1000);
    dw_msg *m = new_report();

    sess_keep(&p.a, 1010, m);
    EXPECT_TRUE(sess_live(&p.b, 1000 + SESS_LEASE_MS - 1));
    EXPECT_FALSE(sess_live(&p.b, 1000 + SESS_LEASE_MS));
    EXPECT_EQ(sess_take(&p.b, 1000 + SESS_LEASE_MS, &m->dw_msg_u.report.head),
        SESS_DROP);
}

TEST(Sess, MessagesOfAnotherSessionAreDropped)
{
    Pair p(1000);
    dw_msg *m = new_report();

    sess_keep(&p.a, 1000, m);
    sess_begin(&p.b, 8);
    EXPECT_EQ(sess_take(&p.b, 1001, &m->dw_msg_u.report.head), SESS_DROP);
}

/* The entry may restart runs when sess_over_at() has passed (with the lease
 * of the worker added): by then the agent must have ended the session, on its
 * own clock, whatever was lost on the way. */
TEST(Sess, TheReceiversLeaseEndsBeforeTheSenderCountsOnIt)
{
    for (uint64_t sent = 1000; sent < 1000 + SESS_LEASE_MS; sent += 37) {
        Pair p(1000);
        dw_msg m = {};

        m.type = DW_REPORT;
        sess_stamp(&p.a, sent, &m);
        sess_take(&p.b, sent + 20, &m.dw_msg_u.report.head);
        EXPECT_FALSE(sess_live(&p.b, sess_over_at(&p.a))) << sent;
    }
}

/* --- runner --- */

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
told_look(void *ctx, const rn_ask *, const rn_terms *t)
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
        rn_room(&r, now, 10000, 1000, 0, 77);
    }
    ~Agent()
    {
        rn_free(&r);
    }
    void
    look(std::vector<rn_shown> running, std::vector<rn_end> ends,
        uint64_t born = 77)
    {
        rn_look l = {};

        l.asked_ms = now;
        l.ok = true;
        l.clock_ms = now;
        l.born_ms = born;
        l.running = running.data();
        l.running_count = running.size();
        l.ends = ends.data();
        l.end_count = ends.size();
        now++;
        rn_looked(&r, now, &l);
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

        rn_started(&r, now, &k, result, now);
    }
    dw_room
    room()
    {
        dw_room out;

        rn_tell_room(&r, now, &out);
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
    a.now += RN_ANSWER_MS;
    a.started(1, RN_START_LOST);
    EXPECT_TRUE(a.told.ends.empty());
    a.now += 2;
    a.look({}, {});
    ASSERT_EQ(a.told.stops.size(), 1u);
    EXPECT_TRUE(a.told.ends.empty());
    rn_stopped(&a.r, a.now, &k, true);
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
    a.now += RN_ANSWER_MS;
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
    a.started(1, RN_START_UNREACHED);
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
    rn_session_over(&a.r, a.now, 1);
    a.now += RN_STOP_MS + 1;
    a.look({{{1, 1, 0}, 5}, {{2, 1, 0}, 5}}, {});
    ASSERT_FALSE(a.told.looks.empty());
    EXPECT_EQ(a.told.looks.back().until_ms, 0u);
    a.look({{{2, 1, 0}, 5}}, {{1, {1, 1, 0}, DW_END_STOPPED}});
    EXPECT_NE(a.told.looks.back().until_ms, 0u);
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
    rn_room(&a.r, a.now, 10000, 1000, 0, 99);
    a.now += 5;
    a.look({}, {}, 99);
    EXPECT_EQ(a.told.ends.size(), 1u);
    EXPECT_FALSE(a.room().serving);
    a.now += RN_LONGEST_MS + 1;
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
    rn_look l = {};
    rn_shown foreign = {{5, 5, 0}, 10};
    dw_room room;

    rn_init(&r, 100, &told_ops, &told);
    l.asked_ms = 100;
    l.ok = true;
    l.clock_ms = 9;
    l.born_ms = 77;
    l.running = &foreign;
    l.running_count = 1;
    rn_looked(&r, 101, &l);
    rn_room(&r, 101, 10000, 1000, 0, 77);
    rn_tell_room(&r, 102, &room);
    EXPECT_FALSE(room.serving);
    ASSERT_EQ(told.stops.size(), 1u);
    l.asked_ms = 150;
    l.running_count = 0;
    rn_looked(&r, 151, &l);
    rn_tell_room(&r, 152, &room);
    EXPECT_TRUE(room.serving);
    rn_free(&r);
}

TEST(Runner, ADrainingWorkerFinishesAndTakesNothing)
{
    Agent a;

    a.order(1, 1000);
    a.started(1, RN_START_OK);
    rn_draining(&a.r, a.now, true, true, 2000);
    a.order(2, 1000);
    EXPECT_EQ(a.told.starts.size(), 1u);
    ASSERT_EQ(a.told.ends.size(), 1u);
    EXPECT_EQ(a.told.ends[0].second, DW_END_FULL);
    EXPECT_TRUE(a.room().draining);
    a.look({}, {{1, {1, 1, 0}, DW_END_DONE}});
    EXPECT_EQ(a.told.ends.size(), 2u);
}

/* --- coord --- */

namespace {

struct Callers {
    std::vector<std::pair<void *, co_outcome>> answers;
    std::vector<std::string> reasons;
    std::vector<dw_msg *> sent;

    ~Callers()
    {
        for (auto *m : sent) {
            msg_free(m);
        }
    }
};

void
co_sent(void *ctx, uint64_t, const dw_msg *m)
{
    static_cast<Callers *>(ctx)->sent.push_back(msg_clone(m));
}

void
co_answered(
    void *ctx, void *handle, co_outcome how, const char *reason, uint32_t)
{
    static_cast<Callers *>(ctx)->answers.push_back({handle, how});
    static_cast<Callers *>(ctx)->reasons.push_back(reason);
}

void
co_noted(void *, const co_job *, const char *)
{
}

void
co_noted_refusal(void *, const struct co_submit *, const char *, uint64_t)
{
}

void
co_noted_run(void *, const co_job *, uint32_t, const char *)
{
}

void
co_noted_agent(void *, const fl_agent *, const char *)
{
}

const co_ops callers_ops = {co_sent, co_answered, co_noted, co_noted_refusal,
    co_noted_run, co_noted_agent};

/* An entry with one agent, 3, of 10 cores. */
struct Entry {
    coord c;
    Callers callers;
    uint64_t now = 1000;
    uint64_t ends = 0;

    Entry()
    {
        co_init(&c, &callers_ops, &callers, 1, "10.0.0.1", 1);
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
        return fl_find(&c.fleet, 3);
    }
    void
    report(std::vector<dw_run_end> list)
    {
        dw_report r = {};

        r.head.session = agent()->sess.number;
        r.head.clock_ms = now;
        r.head.echo_ms = now;
        r.head.ack = agent()->sess.out_seq;
        r.head.seq = list.empty() ? 0 : ++ends;
        r.room.serving = true;
        r.room.left_ms = UINT32_MAX;
        r.room.speed_permille = 1000;
        r.room.pace_permille = 1000;
        r.room.millicores = 10000;
        r.room.memory_mb = 1000;
        r.room.free_millicores = 10000;
        r.room.free_memory_mb = 1000;
        r.ends.ends_val = list.data();
        r.ends.ends_len = (u_int)list.size();
        co_report(&c, now, 3, &r);
        co_flush(&c, now);
    }
    void
    submit(uint64_t id, size_t count, void *handle, uint32_t left = 1500)
    {
        std::vector<co_task_spec> tasks(count, {1000, 10, 0, 100});
        struct co_submit s = {};

        s.id = id;
        s.wall_ms = 50;
        s.spec = STR("x");
        s.service = "s";
        s.attempts = 2;
        s.objective_ms = 200;
        s.use_ms = left;
        s.left_ms = left;
        s.tasks = tasks.data();
        s.count = count;
        co_submit(&c, now, &s, handle);
        co_flush(&c, now);
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

TEST(Coord, FailedOnlyAfterAsManyFailuresAsAllowed)
{
    Entry e;

    e.submit(5, 1, &caller);
    e.report({{{5, 0, 51}, DW_END_FAILED, 9}});
    EXPECT_TRUE(e.callers.answers.empty());
    e.report({{{5, 0, e.run_of(5)}, DW_END_FAILED, 9}});
    ASSERT_EQ(e.callers.answers.size(), 1u);
    EXPECT_EQ(e.callers.answers[0].second, CO_FAILED);
}

/* A caller is told "failed" though nothing failed: the entry woke from a
 * freeze, or time ran out.  Neither is an outcome of the job. */
TEST(Coord, TimeThatRanOutIsNoFailure)
{
    Entry e;

    e.submit(5, 1, &caller, 300);
    e.now += 300;
    co_tick(&e.c, e.now);
    ASSERT_EQ(e.callers.answers.size(), 1u);
    EXPECT_EQ(e.callers.answers[0].second, CO_GAVE_UP);
}

TEST(Coord, AfterAPauseEveryJobIsGivenUp)
{
    Entry e;

    e.submit(5, 1, &caller, 9000);
    e.now += 2000;
    co_tick(&e.c, e.now);
    ASSERT_EQ(e.callers.answers.size(), 1u);
    EXPECT_EQ(e.callers.answers[0].second, CO_GAVE_UP);
}

TEST(Coord, ASecondRequestAttachesAndStartsNothing)
{
    Entry e;
    int other;

    e.submit(5, 1, &caller);
    e.submit(5, 1, &other);
    EXPECT_EQ(e.c.stats.runs, 1u);
    e.report({{{5, 0, 51}, DW_END_DONE, 9}});
    EXPECT_EQ(e.callers.answers.size(), 2u);
    e.submit(5, 1, &caller); /* seconds later */
    EXPECT_EQ(e.c.stats.runs, 1u);
    EXPECT_EQ(e.callers.answers.size(), 3u);
}

TEST(Coord, ACallerThatLeavesEndsItsJob)
{
    Entry e;

    e.submit(5, 1, &caller);
    size_t sent = e.callers.sent.size();
    co_leave(&e.c, e.now, &caller);
    co_flush(&e.c, e.now);
    ASSERT_EQ(e.callers.sent.size(), sent + 1);
    EXPECT_EQ(e.callers.sent.back()->dw_msg_u.orders.stops.stops_len, 1u);
    EXPECT_EQ(co_running(&e.c), 0u);
}

/* A task runs twice: its agent fell silent and the entry started it elsewhere
 * while the silent one, or its worker, still had it. */
TEST(Coord, ARunOfASilentAgentIsRepeatedOnlyWhenItIsOver)
{
    Entry e;

    e.submit(5, 1, &caller, 9000);
    uint64_t first = e.run_of(5);
    uint64_t over = sess_over_at(&e.agent()->sess) + RN_STOP_MS + RN_LAPSE_MS;

    while (e.now + 20 < over) {
        e.now += 20;
        co_tick(&e.c, e.now);
        if (e.agent()->sess.number != 0 && !e.agent()->live) {
            e.report({}); /* back, but not clean */
        }
        EXPECT_EQ(e.run_of(5), first) << e.now;
    }
    e.now = over + 20;
    co_tick(&e.c, e.now);
    e.report({});
    co_tick(&e.c, e.now);
    co_flush(&e.c, e.now);
    EXPECT_GT(e.run_of(5), first);
}

TEST(Coord, RefusedOnArrivalIsTrueAndNamesWhy)
{
    Entry e;

    e.submit(5, 1, &caller, 20);
    ASSERT_EQ(e.callers.answers.size(), 1u);
    EXPECT_EQ(e.callers.answers[0].second, CO_NOT_RUN);
    EXPECT_EQ(e.callers.reasons[0], "too_late");
    EXPECT_EQ(e.c.stats.runs, 0u);
}

/* --- news --- */

namespace {

struct News {
    news n = {};

    ~News()
    {
        nw_free(&n);
    }
};

/* What b learns when it asks a; false if a has nothing newer. */
bool
ask(News &a, News &b)
{
    dw_msg question;
    dw_msg answer;
    bool took;

    nw_question(&b.n, &question);
    if (!nw_answer(&a.n, &question.dw_msg_u.news, &answer)) {
        return false;
    }
    took = nw_take(&b.n, &answer.dw_msg_u.news);
    xdr_free((xdrproc_t)xdr_dw_msg, &answer);
    return took;
}

} // namespace

/* A caller gets 404 for a route that was added long ago: the store turned
 * this entry away for longer than a change may take, and nobody was asked. */
TEST(News, AnEntryWithoutTheStoreLearnsFromAnother)
{
    News a;
    News b;

    nw_config(&a.n, STR("{1}"), 10);
    nw_domain(&a.n, "aarhus", true, 12);
    nw_seen(&a.n, 15);
    nw_config(&b.n, STR("{0}"), 5);
    nw_seen(&b.n, 9);
    EXPECT_TRUE(ask(a, b));
    EXPECT_EQ(std::string(b.n.config.p, b.n.config.n), "{1}");
    ASSERT_EQ(b.n.withdrawn_count, 1u);
    EXPECT_STREQ(b.n.withdrawn[0], "aarhus");
    EXPECT_FALSE(ask(a, b)); /* nothing newer */
    nw_domain(&a.n, "aarhus", false, 20);
    EXPECT_TRUE(ask(a, b));
    EXPECT_EQ(b.n.withdrawn_count, 0u);
}

TEST(News, WhoKnowsLessAnswersNothing)
{
    News a;
    News b;

    nw_config(&a.n, STR("{0}"), 5);
    nw_seen(&a.n, 9);
    nw_config(&b.n, STR("{1}"), 10);
    nw_seen(&b.n, 15);
    EXPECT_FALSE(ask(a, b));
    EXPECT_EQ(std::string(b.n.config.p, b.n.config.n), "{1}");
}

TEST(News, AskedOnlyWhileTheStoreIsAway)
{
    News a;

    nw_store(&a.n, 1000, true);
    EXPECT_FALSE(nw_must_ask(&a.n, 9000));
    nw_store(&a.n, 9000, false);
    EXPECT_FALSE(nw_must_ask(&a.n, 9000 + NW_ASK_MS - 1));
    EXPECT_TRUE(nw_must_ask(&a.n, 9000 + NW_ASK_MS));
    EXPECT_FALSE(nw_must_ask(&a.n, 9000 + NW_ASK_MS + 1));
    nw_store(&a.n, 9900, true);
    EXPECT_FALSE(nw_must_ask(&a.n, 20000));
}

/* --- guess --- */

static const struct {
    const char *what;
    uint32_t declared_ms;
    uint32_t left_ms;
    gs_guess want;
} guesses[] = {
    /* 1500 of timeout and three objectives of 1.6 x 200 + 60 ms */
    {"declared too long", 320, 1500 + 3 * 380, {200, 380, 1140}},
    {"declared too short", 120, 1500 + 3 * 380, {200, 380, 1140}},
    {"declared far off: a client with a habit of its own", 20, 1500 + 3 * 380,
        {20, 92, 2640}},
    {"no time beyond the timeout", 100, 1500, {100, 0, 1500}},
    {"a client about to leave", 100, 18, {100, 0, 18}},
    {"sent again: less time is left", 200, 1500 + 300, {200, 0, 1800}},
    {"nothing declared", 0, 1500 + 600, {0, 60, 2100}},
};

TEST(Guess, RunTimesFromDeadlines)
{
    const gs_route r = {1600, 60, 1500};

    for (auto &c : guesses) {
        gs_guess g = gs_times(&r, c.declared_ms, c.left_ms);

        EXPECT_EQ(g.run_ms, c.want.run_ms) << c.what;
        EXPECT_EQ(g.objective_ms, c.want.objective_ms) << c.what;
        EXPECT_EQ(g.use_ms, c.want.use_ms) << c.what;
    }
}

/* --- fleet --- */

namespace {

struct Fleet3 {
    fleet f;
    uint64_t now = 1000;

    Fleet3()
    {
        fl_init(&f, 1);
        for (uint64_t id = 1; id <= 3; id++) {
            fl_agent *a = fl_add(&f, id, "a", "kolding", "s");

            a->live = true;
            a->sess.number = 1;
            a->sess.fresh_ms = now;
            room(id, 10000, 1000);
        }
        fl_learn(&f, now);
    }
    ~Fleet3()
    {
        fl_free(&f);
    }
    void
    room(uint64_t id, int free, uint32_t pace)
    {
        dw_room r = {};

        r.serving = true;
        r.left_ms = UINT32_MAX;
        r.millicores = 10000;
        r.memory_mb = 100;
        r.free_millicores = free;
        r.free_memory_mb = 100;
        r.speed_permille = 1000;
        r.pace_permille = pace;
        fl_room(fl_find(&f, id), 0, &r);
    }
    uint64_t
    pick(uint32_t est_ms, uint32_t waited_ms, bool failed = false)
    {
        fl_need n = {"s", 1000, 1, 0, est_ms, waited_ms, failed, false, 0};
        fl_agent *a = fl_pick(&f, now, &n);

        return a != nullptr ? a->id : 0;
    }
};

} // namespace

/* All jobs are late: two workers are full and sound, one has turned slow and
 * looks free.  A task waits for a sound one while that is the shorter way. */
TEST(Fleet3, ASlowWorkerIsTakenOnlyWhenWaitingCostsMore)
{
    Fleet3 t;

    t.room(1, 0, 1000);
    t.room(2, 0, 1000);
    t.room(3, 10000, 150);
    fl_find(&t.f, 3)->out = 1;
    EXPECT_EQ(t.pick(100, 0), 0u);
    EXPECT_EQ(t.pick(100, 500), 0u);
    EXPECT_EQ(t.pick(100, 600), 3u);
    t.room(1, 5000, 1000);
    EXPECT_EQ(t.pick(100, 600), 1u);
}

/* A slow worker without runs would never be seen to be sound again. */
TEST(Fleet3, ASlowWorkerIsTriedNowAndThen)
{
    Fleet3 t;

    t.room(1, 0, 1000);
    t.room(2, 0, 1000);
    t.room(3, 10000, 150);
    EXPECT_EQ(t.pick(100, 0), 3u);
    fl_find(&t.f, 3)->probed_ms = t.now;
    EXPECT_EQ(t.pick(100, 0), 0u);
}

TEST(Fleet3, AWorkerThatFailsEverythingIsOnProbation)
{
    Fleet3 t;
    fl_agent *a = fl_find(&t.f, 3);

    t.room(1, 0, 1000);
    t.room(2, 0, 1000);
    for (int i = 0; i < 12; i++) {
        fl_note_end(a, t.now, DW_END_FAILED);
    }
    EXPECT_EQ(t.pick(100, 0), 0u);
    t.now = a->sick_until_ms;
    a->sess.fresh_ms = t.now;
    EXPECT_EQ(t.pick(100, 0), 3u); /* one at a time */
    a->out = 1;
    EXPECT_EQ(t.pick(100, 0), 0u);
    fl_note_end(a, t.now, DW_END_DONE);
    EXPECT_EQ(t.pick(100, 0), 3u);
}

/* Refused with cores free: a fifth of the workers failed part of their runs
 * during a burst and stood on probation. */
TEST(Fleet3, AWorkerThatFailsPartOfItsRunsComesLast)
{
    Fleet3 t;
    fl_agent *a = fl_find(&t.f, 3);

    t.room(3, 10000, 1250);
    for (int i = 0; i < 30; i++) {
        fl_note_end(a, t.now, i % 5 < 2 ? DW_END_FAILED : DW_END_DONE);
    }
    fl_learn(&t.f, t.now);
    EXPECT_NE(t.pick(100, 0), 3u);
    t.room(1, 0, 1000);
    t.room(2, 0, 1000);
    EXPECT_EQ(t.pick(100, 0), 3u);
    EXPECT_EQ(t.pick(100, 0, true), 0u);
}

TEST(Fleet3, NothingGoesToAWithdrawnDomainOrALeavingWorker)
{
    Fleet3 t;
    const char *out[] = {"kolding"};

    fl_withdraw(&t.f, out, 1);
    EXPECT_EQ(t.pick(100, 0), 0u);
    fl_withdraw(&t.f, nullptr, 0);
    EXPECT_NE(t.pick(100, 0), 0u);
    for (uint64_t id = 1; id <= 3; id++) {
        fl_find(&t.f, id)->room.draining = true;
    }
    EXPECT_EQ(t.pick(100, 0), 0u);
}

/* Twice the work that the cores can do: served by the oldest objective alone
 * every job is late; those that can still meet theirs go first. */
TEST(Coord, AtSaturationJobsOnTimeGoBeforeLateOnes)
{
    Entry e;
    int late;
    int fresh;

    fl_room(e.agent(), e.agent()->sess.out_seq, &e.agent()->room);
    e.agent()->room.free_millicores = 0;
    fl_room(e.agent(), e.agent()->sess.out_seq, &e.agent()->room);
    e.submit(1, 1, &late);
    e.now += 150; /* 100 ms of work, objective of 200: too late now */
    e.agent()->sess.fresh_ms = e.now;
    e.submit(2, 1, &fresh);
    EXPECT_EQ(e.c.stats.runs, 0u);
    e.agent()->room.free_millicores = 1000;
    fl_room(e.agent(), e.agent()->sess.out_seq, &e.agent()->room);
    co_flush(&e.c, e.now);
    EXPECT_EQ(e.c.stats.runs, 1u);
    EXPECT_EQ(e.run_of(2), 51u);
    EXPECT_EQ(e.run_of(1), 50u);
}

/* A run on a worker that turned slow is begun again where there is room. */
TEST(Coord, ARunOnASlowWorkerMoves)
{
    Entry e;
    dw_run_end stopped;

    e.submit(5, 1, &caller, 9000);
    fl_agent *other = fl_add(&e.c.fleet, 4, "b", "aarhus", "s");
    other->live = true;
    other->member = true;
    other->sess.number = 9;
    other->sess.fresh_ms = e.now + 100;
    other->room = e.agent()->room;
    fl_room(other, 0, &other->room);
    e.now += 60;
    e.agent()->sess.fresh_ms = e.now;
    e.agent()->room.pace_permille = 100;
    co_tick(&e.c, e.now);
    EXPECT_EQ(e.c.stats.moved, 1u);
    stopped = {{5, 0, 51}, DW_END_STOPPED, 60};
    e.report({stopped});
    e.agent()->room.pace_permille = 100;
    EXPECT_EQ(e.run_of(5), 52u);
}
