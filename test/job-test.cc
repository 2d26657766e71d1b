/* What the owner of a job concludes from a host's word on one attempt of a
 * task. */
#include <gtest/gtest.h>

#include <memory>

#include "job.h"

extern "C" {
#include "job-int.h"
}

namespace {

const uint64_t HOST = 7;
const uint64_t NOW = 100000;

dw_bytes
bytes(struct str s)
{
    dw_bytes b;

    b.dw_bytes_len = (u_int)s.n;
    b.dw_bytes_val = const_cast<char *>(s.p);
    return b;
}

/* An owner without hosts: tasks to be placed stay in state WAITING. */
struct Owner {
    struct view view;
    struct place place;
    std::unique_ptr<struct jobs> jobs{new struct jobs};
    struct acts out;

    Owner()
    {
        place_cfg pc = {};
        job_cfg jc = {};

        jc.retention_ms = 600000;
        jc.answer_bytes_max = 1 << 20;
        jc.kept_bytes_max = 1 << 20;
        view_init(&view);
        place_init(&place, &pc, 1);
        jobs_init(jobs.get(), &jc, &view, &place, 1);
        acts_init(&out);
        jobs->may_admit = true;
        jobs_open_partition(jobs.get(), NOW, 0, 1, 0, NOW);
    }
    ~Owner()
    {
        acts_clear(&out);
        jobs_free(jobs.get());
        place_free(&place);
        view_free(&view);
    }
    /* A running job with one task, offered to HOST. */
    void
    add_job(uint32_t attempt)
    {
        dw_job job = {};
        dw_job_task task = {};

        task.attempt = attempt;
        task.host = HOST;
        task.outcome.state = DW_T_OFFERED;
        job.customer = bytes(STR("c"));
        job.key = bytes(STR("k"));
        job.state = DW_A_RUNNING;
        job.deadline_ms = 60000;
        job.width = 1;
        job.tasks.tasks_len = 1;
        job.tasks.tasks_val = &task;
        jobs_import(jobs.get(), NOW, 0, &job);
    }
    void
    result(uint32_t attempt, dw_tstate state)
    {
        dw_result r = {};
        dw_outcome o = {};
        u_quad_t ref = attempt;

        o.attempt = attempt;
        o.state = state;
        r.customer = bytes(STR("c"));
        r.key = bytes(STR("k"));
        r.refs.refs_len = 1;
        r.refs.refs_val = &ref;
        r.tasks.tasks_len = 1;
        r.tasks.tasks_val = &o;
        jobs_result(jobs.get(), NOW, HOST, &r, &out);
    }
    void
    record(uint32_t attempt, dw_tstate state)
    {
        dw_record r = {};
        dw_mark m = {0, attempt, state};

        r.customer = bytes(STR("c"));
        r.key = bytes(STR("k"));
        r.count = 1;
        r.marks.marks_len = 1;
        r.marks.marks_val = &m;
        jobs_restore_record(jobs.get(), NOW, &r);
    }
    const struct job *
    job()
    {
        return job_find(jobs.get(), STR("c"), STR("k"));
    }
    dw_tstate
    state()
    {
        return job()->tasks[0].outcome.state;
    }
};

} // namespace

/* Guards against a task that runs twice: a host's result of the first attempt,
 * resent as its acknowledgement was late, was taken for that of the second
 * attempt at the same host, and the task was placed a third time. */
TEST(Job, ResultSpeaksForItsAttemptOnly)
{
    static const struct {
        const char *name;
        uint32_t attempt; /* of the result; the task is at its second */
        dw_tstate result;
        dw_tstate state;
    } cases[] = {
        {"released, first attempt", 1, DW_T_NOT_STARTED, DW_T_OFFERED},
        {"released", 2, DW_T_NOT_STARTED, DW_T_WAITING},
        {"done", 2, DW_T_DONE, DW_T_DONE},
    };

    for (const auto &c : cases) {
        SCOPED_TRACE(c.name);
        Owner o;

        o.add_job(2);
        o.result(c.attempt, c.result);
        EXPECT_EQ(o.state(), c.state);
        o.result(c.attempt, c.result);
        EXPECT_EQ(o.state(), c.state);
    }
}

/* Guards against a task that is placed again although it may have run: only
 * NOT_STARTED gives it back. */
TEST(Job, TaskThatMayHaveRunIsNotPlacedAgain)
{
    static const struct {
        dw_tstate result;
        dw_astate answer;
    } cases[] = {
        {DW_T_UNKNOWN, DW_A_FAILED},
        {DW_T_ERROR, DW_A_FAILED},
        {DW_T_STOPPED, DW_A_FAILED},
    };

    for (const auto &c : cases) {
        SCOPED_TRACE(c.result);
        Owner o;

        o.add_job(1);
        o.result(1, c.result);
        EXPECT_EQ(o.state(), c.result);
        EXPECT_EQ(o.job()->state, c.answer);
        EXPECT_EQ(o.jobs->stats.offers, 0u);
    }
}

/* Guards against "not started" in the answer for a task that ran: its record
 * of the attempt that a host gave back was taken for that of the task, while
 * another host runs the task or its records are lost with the owner. */
TEST(Job, AttemptGivenBackDoesNotSpeakForTheTask)
{
    static const struct {
        const char *name;
        struct {
            uint32_t attempt;
            dw_tstate state;
        } records[2];
        dw_tstate result; /* of attempt 2, afterwards; WAITING: none */
        dw_tstate state;
    } cases[] = {
        {"given back", {{1, DW_T_NOT_STARTED}, {1, DW_T_NOT_STARTED}},
            DW_T_WAITING, DW_T_UNKNOWN},
        {"then running", {{1, DW_T_NOT_STARTED}, {2, DW_T_RUNNING}},
            DW_T_WAITING, DW_T_UNKNOWN},
        {"then running, other order",
            {{2, DW_T_RUNNING}, {1, DW_T_NOT_STARTED}}, DW_T_WAITING,
            DW_T_UNKNOWN},
        {"then done", {{1, DW_T_NOT_STARTED}, {2, DW_T_DONE}}, DW_T_WAITING,
            DW_T_DONE},
        {"then done, other order", {{2, DW_T_DONE}, {1, DW_T_NOT_STARTED}},
            DW_T_WAITING, DW_T_DONE},
        {"then running, done later",
            {{1, DW_T_NOT_STARTED}, {2, DW_T_RUNNING}}, DW_T_DONE, DW_T_DONE},
        {"then running, given back later",
            {{1, DW_T_NOT_STARTED}, {2, DW_T_RUNNING}}, DW_T_NOT_STARTED,
            DW_T_UNKNOWN},
    };

    for (const auto &c : cases) {
        SCOPED_TRACE(c.name);
        Owner o;

        for (const auto &r : c.records) {
            o.record(r.attempt, r.state);
        }
        if (c.result != DW_T_WAITING) {
            o.result(2, c.result);
        }
        EXPECT_EQ(o.state(), c.state);
    }
}
