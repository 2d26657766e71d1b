/* Jobs that one entry has and a caller sends to another. */
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "act.h"
#include "claim.h"

namespace {

constexpr uint64_t JOB = 7;
constexpr uint64_t FOREVER = 1000000;

struct Net;

/* An entry: its jobs, and what became of its requests. */
struct Entry {
    Net *net;
    uint64_t id;
    claims c = {};
    bool paused = false;
    uint64_t stop_ms = 60; /* until the runs of a job that it gives up end */
    struct Job {
        uint64_t since;
        dw_claim_kind kind;
        uint64_t ends_at;
    };
    std::map<uint64_t, Job> jobs;
    std::vector<std::string> given_up; /* reasons */
    std::vector<std::string> answers;  /* "started" or the reason */
    uint64_t answered_at = 0;
    std::map<std::string, int> events;
    int messages = 0;
};

/* Entries 1 to n; messages arrive at once, or are lost. */
struct Net {
    uint64_t now = 10000;
    std::vector<std::unique_ptr<Entry>> entries;
    bool cut = false;
    bool lose_moved = false;
    bool lose_over = false;
    dw_msg *kept = nullptr; /* a claim that arrives late */

    explicit Net(size_t n);
    ~Net();
    Entry &
    at(uint64_t id)
    {
        return *entries[id - 1];
    }
    void deliver(Entry *from, uint64_t to, const dw_msg *m);
    void run(uint64_t ms);
    void
    hold(uint64_t id, uint64_t age_ms, dw_claim_kind kind = DW_CLAIM_RUNS,
        uint64_t job = JOB)
    {
        at(id).jobs[job] = {now - age_ms, kind, FOREVER};
    }
    /* A caller's request; true: it waits. */
    bool
    request(uint64_t id, uint64_t deadline_ms = 9000)
    {
        return cl_wait(&at(id).c, now, JOB, &at(id), now + deadline_ms);
    }
};

Entry *
self(void *ctx)
{
    return static_cast<Entry *>(ctx);
}

void
send_one(void *ctx, uint64_t to, const dw_msg *m)
{
    self(ctx)->net->deliver(self(ctx), to, m);
}

void
send_all(void *ctx, const dw_msg *m)
{
    for (auto &e : self(ctx)->net->entries) {
        if (e.get() != ctx) {
            send_one(ctx, e->id, m);
        }
    }
}

void
hold_all(void *ctx, claims *c)
{
    for (auto &j : self(ctx)->jobs) {
        cl_hold(c, j.first, j.second.since, j.second.kind);
    }
}

void
answered(Entry *e, const char *how)
{
    e->answers.push_back(how);
    e->answered_at = e->net->now;
}

void
start(void *ctx, void *)
{
    answered(self(ctx), "started");
    self(ctx)->jobs[JOB] = {self(ctx)->net->now, DW_CLAIM_RUNS, FOREVER};
}

void
refuse(void *ctx, void *, const char *reason)
{
    answered(self(ctx), reason);
}

void
give_up(void *ctx, uint64_t job, const char *reason)
{
    Entry *e = self(ctx);

    e->given_up.push_back(reason);
    e->jobs[job] = {e->net->now, DW_CLAIM_ENDS, e->net->now + e->stop_ms};
}

void
note(void *ctx, const char *event, uint64_t, uint64_t, uint64_t)
{
    self(ctx)->events[event]++;
}

const cl_ops ops = {
    send_all, send_one, hold_all, start, refuse, give_up, note};

Net::Net(size_t n)
{
    for (size_t i = 0; i < n; i++) {
        entries.push_back(std::make_unique<Entry>());
        entries[i]->net = this;
        entries[i]->id = i + 1;
        cl_init(&entries[i]->c, &ops, entries[i].get(), i + 1);
    }
}

Net::~Net()
{
    for (auto &e : entries) {
        cl_free(&e->c);
    }
    msg_free(kept);
}

void
Net::deliver(Entry *from, uint64_t to, const dw_msg *m)
{
    Entry &e = at(to);

    from->messages++;
    if (cut || e.paused || (lose_moved && m->type == DW_MOVED) ||
        (lose_over && m->type == DW_CLAIMS &&
            m->dw_msg_u.claims.over.over_len > 0)) {
        return;
    }
    if (m->type == DW_MOVED) {
        cl_receive_moved(&e.c, now, from->id, &m->dw_msg_u.moved);
        return;
    }
    if (kept == nullptr) {
        kept = msg_clone(m);
    }
    cl_receive_claims(&e.c, now, from->id, &m->dw_msg_u.claims);
}

void
Net::run(uint64_t ms)
{
    for (uint64_t end = now + ms; now < end;) {
        now += 20;
        for (auto &e : entries) {
            for (auto j = e->jobs.begin(); j != e->jobs.end();) {
                j = j->second.ends_at <= now ? e->jobs.erase(j) : next(j);
            }
            if (!e->paused) {
                cl_tick(&e->c, now);
            }
        }
    }
}

/* Entry 1 has a job whose caller comes to entry 2. */
struct WaitCase {
    const char *name; /* the failure that it guards against, if missed */
    void (*before)(Net &);
    void (*after)(Net &);    /* right after the request */
    const char *answer;      /* "": none */
    uint64_t from_ms, to_ms; /* when, after the request */
    const char *given_up;    /* by entry 1; "": not */
};

void
nothing(Net &)
{
}

const WaitCase wait_cases[] = {
    {"close_unseen", nothing, nothing, "started", 60, 140, "caller_moved"},
    {"stops_take_long", [](Net &n) { n.at(1).stop_ms = 1900; }, nothing,
        "started", 1900, 2000, "caller_moved"},
    {"job_ends_by_itself", [](Net &n) { n.lose_moved = true; },
        [](Net &n) { n.at(1).jobs[JOB].ends_at = n.now + 200; }, "started",
        200, 340, ""},
    {"withdrawal_lost", [](Net &n) { n.lose_over = true; },
        [](Net &n) {
            n.run(200);
            n.lose_over = false;
        },
        "started", 200, 340, "caller_moved"},
    /* Entry 1 may have died after its last message. */
    {"claimant_silent", [](Net &n) { n.cut = true; }, nothing, "started",
        RS_RUNS_OVER_MS, CL_EXPIRY_MS + 40, ""},
    {"deadline", [](Net &n) { n.at(1).stop_ms = FOREVER; }, nothing,
        "deadline", 3000, 3040, "caller_moved"},
    {"caller_leaves_while_waiting", nothing,
        [](Net &n) { EXPECT_TRUE(cl_caller_left(&n.at(2).c, &n.at(2))); }, "",
        0, 0, "caller_moved"},
    {"pause_while_waiting", [](Net &n) { n.at(1).stop_ms = FOREVER; },
        [](Net &n) {
            n.at(2).paused = true;
            n.run(CO_MAX_PAUSE_MS + 100);
            n.at(2).paused = false;
        },
        "paused", CO_MAX_PAUSE_MS + 100, CO_MAX_PAUSE_MS + 140,
        "caller_moved"},
    /* A pause of entry 2 is no silence of entry 1. */
    {"pause_and_lost_messages",
        [](Net &n) {
            n.cut = true;
            n.run(1300);
        },
        [](Net &n) {
            n.at(2).paused = true;
            n.run(CO_MAX_PAUSE_MS - 50);
            n.at(2).paused = false;
            n.cut = false;
        },
        "started", CO_MAX_PAUSE_MS, CO_MAX_PAUSE_MS + 200, "caller_moved"},
    {"leaving", [](Net &n) { n.at(1).stop_ms = FOREVER; },
        [](Net &n) { cl_refuse_all(&n.at(2).c, "leaving"); }, "leaving", 0, 0,
        "caller_moved"},
};

std::string
only(const std::vector<std::string> &v)
{
    EXPECT_LE(v.size(), 1U);
    return v.empty() ? "" : v[0];
}

} // namespace

/* Guards against a job that runs at two entries, or is never started. */
TEST(Claim, RequestForAClaimedJobWaits)
{
    for (const WaitCase &c : wait_cases) {
        Net n(2);
        SCOPED_TRACE(c.name);

        n.hold(1, 0);
        n.run(1300);
        c.before(n);
        uint64_t asked = n.now;
        ASSERT_TRUE(n.request(2, 3000));
        c.after(n);
        n.run(4000);
        EXPECT_EQ(only(n.at(2).answers), c.answer);
        EXPECT_EQ(only(n.at(1).given_up), c.given_up);
        if (*c.answer != '\0') {
            EXPECT_GE(n.at(2).answered_at, asked + c.from_ms);
            EXPECT_LE(n.at(2).answered_at, asked + c.to_ms);
        }
        EXPECT_EQ(cl_waiting_count(&n.at(2).c), 0U);
    }
}

/* Guards against requests that wait for a job that is over. */
TEST(Claim, RequestForAJobThatIsOverStarts)
{
    Net n(2);

    n.hold(1, 0);
    n.run(1000);
    EXPECT_TRUE(cl_may_run(&n.at(2).c, JOB));
    n.at(1).jobs.clear();
    n.run(CL_ROUND_MS + 20);
    EXPECT_FALSE(cl_may_run(&n.at(2).c, JOB));
    EXPECT_FALSE(n.request(2));
    /* A claim that arrives after its withdrawal. */
    cl_receive_claims(&n.at(2).c, n.now, 1, &n.kept->dw_msg_u.claims);
    EXPECT_FALSE(n.request(2));
}

/* Guards against two entries that start a job when a third withdraws it. */
TEST(Claim, OneOfTwoWaitingRequestsStarts)
{
    Net n(3);

    n.at(1).stop_ms = 2500;
    n.hold(1, 0);
    n.run(1300);
    ASSERT_TRUE(n.request(2));
    n.run(1300);
    ASSERT_TRUE(n.request(3));
    n.run(2000);
    EXPECT_EQ(only(n.at(2).answers), "caller_moved");
    EXPECT_EQ(only(n.at(3).answers), "started");
}

/* Both entries have the job, as none heard the other. */
struct ConflictCase {
    const char *name;
    uint64_t age_1, age_2;
    dw_claim_kind kind_1;
    const char *given_up_1, *given_up_2;
};

const ConflictCase conflict_cases[] = {
    {"first_is_older", 2000, 700, DW_CLAIM_RUNS, "claim_conflict", ""},
    {"second_is_older", 700, 2000, DW_CLAIM_RUNS, "", "claim_conflict"},
    {"same_age", 900, 900, DW_CLAIM_RUNS, "claim_conflict", ""},
    {"runs_of_the_first_are_ending", 2000, 700, DW_CLAIM_ENDS, "", ""},
    {"runs_of_the_first_end_as_the_second_is_older", 700, 2000, DW_CLAIM_ENDS,
        "", ""},
};

/* Guards against a job that goes on at both entries, or at none. */
TEST(Claim, OlderRequestGivesWay)
{
    for (const ConflictCase &c : conflict_cases) {
        Net n(2);
        SCOPED_TRACE(c.name);

        n.at(1).stop_ms = n.at(2).stop_ms = FOREVER;
        n.hold(1, c.age_1, c.kind_1);
        n.hold(2, c.age_2);
        n.run(2000);
        EXPECT_EQ(only(n.at(1).given_up), c.given_up_1);
        EXPECT_EQ(only(n.at(2).given_up), c.given_up_2);
        EXPECT_EQ(n.at(1).events["claim_conflict"] +
                      n.at(2).events["claim_conflict"],
            c.kind_1 == DW_CLAIM_RUNS ? 2 : 1);
    }
}

/* Guards against a job that is given up for an old message of its caller's
 * earlier entry. */
TEST(Claim, LateWordOfAnOlderRequestIsIgnored)
{
    Net n(2);
    dw_moved m = {JOB, 2000};

    n.hold(1, 500);
    n.run(200);
    cl_receive_moved(&n.at(1).c, n.now, 2, &m);
    EXPECT_TRUE(n.at(1).given_up.empty());
}

/* Guards against an entry that has just started and starts a claimed job. */
TEST(Claim, NewEntryGetsAllClaimsAtOnce)
{
    Net n(2);

    n.cut = true;
    n.hold(1, 1000);
    n.run(100);
    n.cut = false;
    n.run(40);
    EXPECT_FALSE(cl_may_run(&n.at(2).c, JOB));
    cl_entry_added(&n.at(1).c);
    n.run(20);
    EXPECT_TRUE(cl_may_run(&n.at(2).c, JOB));
}

/* Guards against traffic of deployments that have short tasks only. */
TEST(Claim, ShortJobsAreNotAnnounced)
{
    Net n(2);

    for (int i = 0; i < 20; i++) {
        n.hold(1, 0);
        n.run(CL_MIN_AGE_MS - 40);
        n.at(1).jobs.clear();
        n.run(CL_ROUND_MS);
    }
    EXPECT_EQ(n.at(1).messages, 0);
}

/* Guards against messages that are not sent as datagrams (of 1,200 bytes, with
 * their headers), and state that grows without limit. */
TEST(Claim, SizesAreBounded)
{
    Net n(2);

    for (uint64_t job = 100; job < 100 + 3 * CL_KNOWN_MAX; job++) {
        n.hold(1, 1000, DW_CLAIM_RUNS, job);
    }
    n.run(200);
    EXPECT_LE(cl_known_count(&n.at(2).c), CL_KNOWN_MAX);
    EXPECT_EQ(n.kept->dw_msg_u.claims.claims.claims_len, 48U);
    EXPECT_LE(xdr_sizeof((xdrproc_t)xdr_dw_msg, n.kept), 1000U);
    n.at(1).jobs.clear();
    n.run(200);
    EXPECT_LE(n.at(2).c.peers == nullptr ? 0 : cl_known_count(&n.at(2).c),
        CL_KNOWN_MAX);
}
