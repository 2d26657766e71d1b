/* Decoding of the platform's messages, as tables of cases. */
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "platform/wire.h"

struct JobCase {
    const char *text;
    wire_status status;
    const char *words;
};

#define STEP "{\"count\":2,\"cpu\":500,\"mem_mb\":64,\"est_runtime_ms\":90}"
#define JOB(steps)                                                            \
    "{\"task_spec\":\"x\",\"best_effort\":true,\"steps\":" steps "}"

static const JobCase job_cases[] = {
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

TEST(Wire, AcceptsAJobOrNamesTheInvalidField)
{
    for (auto &c : job_cases) {
        wire_job j;
        err e = {""};

        ASSERT_EQ(wire_read_job(&j, str_of(c.text), &e), c.status) << c.text;
        EXPECT_NE(strstr(e.msg, c.words), nullptr) << c.text << ": " << e.msg;
        if (c.status == WIRE_OK) {
            wire_job_free(&j);
        }
    }
}

static std::string
job_text(const std::string &spec, const std::string &more)
{
    return "{\"task_spec\":\"" + spec +
           "\",\"best_effort\":true,\"steps\":[{\"count\":1,\"cpu\":500}]" +
           more + "}";
}

static std::string
repeat(const char *text, size_t n)
{
    std::string s;

    while (n-- > 0) {
        s += text;
    }
    return s;
}

/* Guards against processes that stand still or run out of memory: parsed, a
 * message of many small values takes 80 times its text, and each run of a job
 * has a copy of its specification at an agent. */
TEST(Wire, RefusesJobsThatTakeFarMoreMemoryThanTheirText)
{
    static const struct {
        const char *name;
        std::string text;
        wire_status status;
    } cases[] = {
        {"the longest specification", job_text(repeat("a", 4000), ""),
            WIRE_OK},
        {"one byte more", job_text(repeat("a", 4001), ""), WIRE_BAD},
        {"commas, brackets and quotes in it",
            job_text(
                repeat(",", 2000) + repeat("\\\"", 900) + repeat("[", 1100),
                ""),
            WIRE_OK},
        {"many values",
            job_text("a", ",\"x\":[" + repeat("{},", 40000) + "0]"),
            WIRE_UNSUPPORTED},
        {"many steps",
            "{\"task_spec\":\"a\",\"steps\":[" +
                repeat("{\"count\":1},", 20000) + "{\"count\":1}]}",
            WIRE_UNSUPPORTED},
        {"deep", repeat("[", 5000), WIRE_UNSUPPORTED},
        {"some values that are not known",
            job_text("a", ",\"x\":[" + repeat("0,", 1000) + "0]"), WIRE_OK},
    };

    for (const auto &c : cases) {
        SCOPED_TRACE(c.name);
        wire_job j;
        err e = {""};

        EXPECT_EQ(
            wire_read_job(&j, str_make(c.text.data(), c.text.size()), &e),
            c.status)
            << e.msg;
        if (c.status == WIRE_OK) {
            wire_job_free(&j);
        }
    }
}

struct HeartbeatCase {
    const char *text;
    bool ok;
};

static const HeartbeatCase heartbeat_cases[] = {
    {"{\"service\":\"s\",\"state\":\"ready\",\"seq_no\":4,\"born\":17,"
     "\"free_capacity\":{\"cpu\":16000,\"mem_mb\":32768,\"gpus\":0}}",
        true},
    {"{\"service\":\"s\",\"state\":\"draining\",\"remaining_ms\":900,"
     "\"born\":17,\"free_capacity\":{\"cpu\":1,\"mem_mb\":1}}",
        true},
    {"{\"service\":\"s\",\"state\":\"ready\","
     "\"free_capacity\":{\"cpu\":1,\"mem_mb\":1}}",
        false},
    {"{\"service\":\"s\",\"state\":\"ready\",\"born\":1.5,"
     "\"free_capacity\":{\"cpu\":1,\"mem_mb\":1}}",
        false},
    {"{\"service\":\"s\",\"state\":\"asleep\",\"born\":17,"
     "\"free_capacity\":{\"cpu\":1,\"mem_mb\":1}}",
        false},
    {"{\"service\":7,\"state\":\"ready\",\"born\":17,"
     "\"free_capacity\":{\"cpu\":1,\"mem_mb\":1}}",
        false},
    {"{\"service\":\"s\",\"state\":\"ready\",\"born\":17}", false},
    {"{\"service\":\"s\",\"state\":\"ready\",\"born\":17,"
     "\"free_capacity\":{\"cpu\":\"1\",\"mem_mb\":1}}",
        false},
    {"\xff\xfe", false},
    {"", false},
};

TEST(Wire, RejectsMalformedHeartbeats)
{
    for (auto &c : heartbeat_cases) {
        wire_heartbeat hb;
        err e = {""};

        EXPECT_EQ(
            wire_read_heartbeat(&hb, str_of(c.text), &e) == WIRE_OK, c.ok)
            << c.text;
    }
}

/* Guards against a fence, a capacity or an id that another writer's heartbeat
 * sets: no later agent of that worker could give it orders. */
TEST(Wire, HeartbeatsOfOtherWritersAreToldApart)
{
    const uint64_t wall_ms = 1796379910018U;
    const uint64_t day_ms = 86400000;
    const struct {
        const char *service;
        const char *id;
        uint64_t born_ms;
        const char *words; /* of the error; NULL: accepted */
    } cases[] = {
        {"s", "i-1", wall_ms - 1000, nullptr},
        {"s", "i-1", wall_ms + day_ms, nullptr}, /* the clock was set back */
        {"other", "i-1", wall_ms, "service"},
        {"s", "", wall_ms, "id"},
        {"s", "i-1", wall_ms + day_ms + 1, "born"},
        {"s", "i-1", wall_ms * 1000, "born"},
        {"s", "i-1", INT64_MAX, "born"},
        {"s", "i-1", 0, "born"},
    };

    for (auto &c : cases) {
        wire_heartbeat hb = {};
        err e = {""};
        enum wire_status st;

        str_copy(hb.service, sizeof(hb.service), str_of(c.service));
        hb.started_ms = c.born_ms;
        st = wire_check_heartbeat(&hb, str_of(c.id), "s", wall_ms, &e);
        EXPECT_EQ(st, c.words == nullptr ? WIRE_OK : WIRE_BAD) << e.msg;
        EXPECT_NE(strstr(e.msg, c.words ? c.words : ""), nullptr) << e.msg;
    }
}

struct WorkerIdCase {
    std::string path;
    std::string id;
};

/* Guards against a header line that a worker's id splits in two, and against
 * an id that is cut short and so refused by its own worker. */
TEST(Wire, WorkerIdIsReadFromThePathOfAHeartbeat)
{
    const WorkerIdCase cases[] = {
        {"/beat/i-7f3a91c2", "i-7f3a91c2"},
        {"/beat/10.0.0.1:80~a", "10.0.0.1:80~a"},
        {"/beat/a b", ""},
        {"/beat/\x7f", ""},
        {"/beat/\xc3\xa4", ""},
        {"/beat/" + std::string(RN_WORKER_ID_MAX - 1, 'a'),
            std::string(RN_WORKER_ID_MAX - 1, 'a')},
        {"/beat/" + std::string(RN_WORKER_ID_MAX, 'a'), ""},
        {"/beat/a/b", ""},
        {"/beat/a\r\nX: 1", ""},
        {"/beat/", ""},
        {"/beat", ""},
        {"/else/i-7f3a91c2", ""},
    };

    for (const WorkerIdCase &c : cases) {
        struct str id = wire_worker_id(str_of(c.path.c_str()), STR("/beat/"));

        EXPECT_EQ(std::string(id.p, id.n), c.id) << c.path;
    }
}

TEST(Wire, StartNamesItsWorkerIfItIsKnown)
{
    rn_terms terms = {1, 2, STR("i-1")};
    rn_terms unknown = {1, 2, STR("")};
    buf b = {};

    wire_put_worker_header(&b, &unknown);
    EXPECT_EQ(b.n, 0u);
    wire_put_worker_header(&b, &terms);
    EXPECT_STREQ(b.p, "Expect-Instance: i-1");
    buf_free(&b);
}

TEST(Wire, LeavesOutAnInvalidRouteAndKeepsTheOthers)
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

/* Guards against a run that is taken for gone since its end is on the next
 * page or its row cannot be read. */
TEST(Wire, PollThatMayLackARunIsPartial)
{
    std::string full;

    for (int i = 1; i <= 500; i++) {
        full += (i > 1 ? ",[" : "[") + std::to_string(i) +
                ",\"5c0e7a21d94b36f8.0.0.9\",1,\"done\",\"\"]";
    }
    const struct {
        std::string running;
        std::string finished;
        bool partial;
    } cases[] = {
        {"", "", false},
        {"[\"5c0e7a21d94b36f8.0.0.17\",2,\"\",41]", "", false},
        {"[\"5c0e7a21d94b36f8.0.0.17\",\"2\",\"\",41]", "", true},
        {"", full, true},
    };

    for (auto &c : cases) {
        wire_poll poll;
        err e = {""};
        std::string text = "{\"clock_ms\":9,\"born\":3,\"running\":[" +
                           c.running + "],\"finished\":[" + c.finished + "]}";

        ASSERT_EQ(wire_read_poll(&poll, str_of(text.c_str()), &e), WIRE_OK);
        EXPECT_EQ(poll.result.partial, c.partial) << c.running;
        wire_poll_free(&poll);
    }
}

TEST(Wire, ReadsRunsAndOutcomesOfAPoll)
{
    wire_poll poll;
    err e = {""};
    const char *text =
        "{\"clock_ms\":9,\"born\":3,\"running\":["
        "[\"5c0e7a21d94b36f8.0.0.17\",2,\"\",41],[\"odd\",1,\"\",0]],"
        "\"finished\":[[58,\"5c0e7a21d94b36f8.0.0.9\",1,\"done\",\"\"],"
        "[59,\"5c0e7a21d94b36f8.0.0.8\",1,\"vanished\",\"\"]]}";

    ASSERT_EQ(wire_read_poll(&poll, str_of(text), &e), WIRE_OK);
    ASSERT_EQ(poll.result.running_count, 1u);
    EXPECT_EQ(poll.running[0].key.job, 0x5c0e7a21d94b36f8u);
    EXPECT_EQ(poll.running[0].key.index, 17u);
    EXPECT_EQ(poll.running[0].percent, 41u);
    ASSERT_EQ(poll.result.outcome_count, 2u);
    EXPECT_EQ(poll.outcomes[0].outcome, DW_END_DONE);
    /* An unknown outcome is kept, without a key, to be acknowledged. */
    EXPECT_EQ(poll.outcomes[1].seq, 59u);
    EXPECT_EQ(poll.outcomes[1].key.job, 0u);
    wire_poll_free(&poll);
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

TEST(Wire, AcceptsOnlyLowerCaseJobIds)
{
    for (auto &c : ids) {
        uint64_t id;

        EXPECT_EQ(wire_job_id(str_of(c.text), &id), c.ok) << c.text;
    }
}
