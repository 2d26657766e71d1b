/* Entries' sessions with one agent. */
#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <map>
#include <string>
#include <vector>

#include "agent.h"

namespace {

void
no_stop(void *, const rn_key *, const rn_terms *)
{
}

/* Reports sent, and the free capacity last reported to each entry. */
struct Recorder {
    size_t sent = 0;
    std::vector<uint64_t> started;                  /* jobs */
    std::vector<std::pair<uint64_t, dw_end>> ended; /* jobs */
    std::map<uint64_t, int> free_millicores;
    /* Held, entries, waiting and the first row's millicores of the last
     * DW_SUPPLY. */
    std::map<uint64_t, std::vector<uint32_t>> supplied;
    uint64_t lease_until_ms = 0;    /* latest end that a poll asked for */
    std::map<uint64_t, bool> clean; /* as last reported to each entry */
};

void
record_start(void *ctx, const rn_run *run, const rn_terms *)
{
    static_cast<Recorder *>(ctx)->started.push_back(run->key.job);
}

void
record_poll(void *ctx, const rn_poll_request *, const rn_terms *t)
{
    Recorder *r = static_cast<Recorder *>(ctx);

    r->lease_until_ms = std::max(r->lease_until_ms, t->lease_until_ms);
}

void
record_sent(void *ctx, uint64_t to, const dw_msg *m)
{
    Recorder *r = static_cast<Recorder *>(ctx);

    if (m->type == DW_SUPPLY) {
        const dw_supply &s = m->dw_msg_u.supply;

        r->supplied[to] = {s.held, s.entries, s.waiting,
            s.rows.rows_len != 0 ? s.rows.rows_val[0].millicores : 0};
        return;
    }
    r->sent++;
    r->free_millicores[to] = m->dw_msg_u.report.room.free_millicores;
    r->clean[to] = m->dw_msg_u.report.clean;
}

void
no_reconnect(void *, uint64_t)
{
}

void
record_run_ended(void *ctx, const rn_run *run, dw_end outcome, uint32_t)
{
    static_cast<Recorder *>(ctx)->ended.push_back({run->key.job, outcome});
}

void
no_session_event(void *, uint64_t, const char *, uint64_t)
{
}

void
no_event(void *, const rn_event *)
{
}

const ag_ops ops = {
    {record_start, no_stop, record_poll, nullptr, no_event, nullptr},
    record_sent, no_reconnect, record_run_ended, no_session_event};

struct Sessions {
    agent a;
    uint64_t now = 1000;
    Recorder recorded;

    Sessions()
    {
        ag_init(&a, now, &ops, &recorded);
    }
    ~Sessions()
    {
        ag_free(&a);
    }
    void
    heartbeat(uint64_t entry, dw_want demand = {0, 0, 0, 0})
    {
        dw_orders o;

        memset(&o, 0, sizeof(o));
        o.head.session = 7;
        o.head.clock_ms = now;
        o.head.echo_ms = now;
        o.want = demand;
        ag_handle_orders(&a, now, entry, &o);
    }
    /* The entry reports one row, or none. */
    void
    report(uint64_t entry, const dw_backlog *row, uint64_t session = 7,
        u_int held = 0)
    {
        dw_demand d = {session, 1, held, 1,
            {row != nullptr, const_cast<dw_backlog *>(row)}};

        ag_handle_demand(&a, now, entry, &d);
    }
    /* Makes the worker one of 10 cores with the given part free. */
    void
    set_free(int64_t free_millicores)
    {
        if (!a.runner.capacity_known) {
            rn_poll p = {};

            rn_set_capacity(&a.runner, now, 10000, 1000, 0, 5);
            p.sent_ms = now;
            p.ok = true;
            p.worker_clock_ms = 1;
            p.incarnation = 5;
            now++;
            rn_poll_answered(&a.runner, now, &p);
        }
        a.runner.used_millicores = 10000 - free_millicores;
        a.runner.capacity_changed_ms = now;
    }
    /* The entry orders task 0 of a job, the first message of its session. */
    void
    order(uint64_t entry, uint64_t job)
    {
        char spec[] = "spec";
        dw_run run = {};
        dw_run_group group = {};
        dw_orders o = {};

        run.run = 1;
        run.millicores = 1000;
        run.wait_ms = 40;
        group.job = job;
        group.spec.dw_bytes_val = spec;
        group.runs.runs_len = 1;
        group.runs.runs_val = &run;
        o.head = {7, now, now, 1, 0};
        o.groups.groups_len = 1;
        o.groups.groups_val = &group;
        ag_handle_orders(&a, now, entry, &o);
    }
    /* An entry, or the store, says whether the domain is withdrawn. */
    void
    tell_domain(uint64_t rev, bool withdrawn, u_int age_ms = 0)
    {
        dw_withdrawn w = {rev, age_ms, withdrawn};

        ag_handle_withdrawn(&a, now, &w);
    }
    /* The worker, whose clock is the agent's, shows the job's task running. */
    void
    poll_shows(uint64_t job)
    {
        rn_poll_run running = {{job, 1, 0}, 5};
        rn_poll p = {};

        p.sent_ms = now;
        p.ok = true;
        p.worker_clock_ms = now;
        p.incarnation = 5;
        p.running = &running;
        p.running_count = 1;
        rn_poll_answered(&a.runner, now, &p);
    }
    /* Free capacity that the last flush reported to an entry; -1 if none. */
    int
    reported(uint64_t entry)
    {
        return recorded.free_millicores.count(entry) != 0
                   ? recorded.free_millicores[entry]
                   : -1;
    }
    void
    flush()
    {
        recorded.free_millicores.clear();
        ag_flush(&a, now);
    }
};

} // namespace

/* Entries are replaced all the time, each under a new id: if an agent counted
 * all of them, it would report its capacity less often every day. */
TEST(Agent, EndedEntriesAreForgotten)
{
    Sessions s;

    for (uint64_t entry = 1; entry <= 500; entry++) {
        s.heartbeat(entry);
        EXPECT_EQ(s.a.open_count, 1u);
        s.now += SESS_LEASE_MS + 1;
        ag_tick(&s.a, s.now);
        EXPECT_EQ(s.a.open_count, 0u);
    }
    EXPECT_LE(ag_entry_count(&s.a), AG_FORGET_MS / SESS_LEASE_MS + 1);
    s.now += AG_FORGET_MS + 1;
    ag_tick(&s.a, s.now);
    EXPECT_EQ(ag_entry_count(&s.a), 0u);
}

TEST(Agent, EntryWithTwoSessionsCountsOnce)
{
    Sessions s;
    dw_orders o;

    s.heartbeat(1);
    memset(&o, 0, sizeof(o));
    o.head.session = 8;
    ag_handle_orders(&s.a, s.now, 1, &o);
    EXPECT_EQ(s.a.open_count, 1u);
    ag_entry_dead(&s.a, s.now, 1);
    EXPECT_EQ(s.a.open_count, 0u);
}

/* Guards against the nearest entry taking each core that comes free for its
 * late jobs, as it learns of it first, while jobs of another entry that can
 * still meet their objective wait until they are late as well. */
TEST(Agent, CapacityIsOfferedFirstToJobsThatCanMeetTheirObjective)
{
    Sessions s;

    s.set_free(0);
    s.heartbeat(1, {0, 20000, 2000, 0});
    s.heartbeat(2, {4000, 0, 2000, 0});
    s.heartbeat(3);
    s.flush();
    s.now++;
    s.set_free(4000);
    s.flush();
    EXPECT_EQ(s.reported(2), 4000);
    EXPECT_LE(s.reported(1), 0);
    EXPECT_LE(s.reported(3), 0);
}

TEST(Agent, EntryWithMostDemandComesFirst)
{
    Sessions s;

    s.set_free(0);
    s.heartbeat(1, {3000, 0, 1000, 0});
    s.heartbeat(2, {9000, 0, 1000, 0});
    s.flush();
    s.now++;
    s.set_free(10000);
    s.flush();
    EXPECT_EQ(s.reported(2), 10000);
    EXPECT_EQ(s.reported(1), 1000);
}

/* Guards against idle cores: the entry that they are offered to has no task
 * left that fits, and they are not reported to the others. */
TEST(Agent, UnusedCapacityIsOfferedToOthers)
{
    Sessions s;

    s.set_free(0);
    s.heartbeat(1, {20000, 0, 6000, 0});
    s.heartbeat(2, {0, 2000, 1000, 0});
    s.flush();
    s.now++;
    s.set_free(2000); /* too little for entry 1 */
    s.flush();
    EXPECT_EQ(s.reported(2), 2000);
    s.set_free(6000);
    s.flush();
    EXPECT_EQ(s.reported(1), 6000);
    s.now += AG_OFFER_MS + 1;
    s.flush();
    EXPECT_EQ(s.reported(2), 6000);
}

/* The entry with the longest queue would get all scarce cores, also those for
 * work of others that is due earlier. */
TEST(Agent, EntryWithMostUrgentRowsComesFirst)
{
    const struct {
        dw_backlog small; /* of entry 1, which has less demand */
        dw_backlog large; /* of entry 2 */
        uint64_t first;
    } cases[] = {
        {{1, 2, 30, 1000}, {4, 0, 60, 2000}, 1},
        {{4, 0, 30, 1000}, {1, 2, 60, 2000}, 2},
        {{2, 0, 30, 1000}, {2, 1, 60, 2000}, 1},
        {{2, 1, 30, 1000}, {2, 1, 60, 2000}, 2}, /* equal: by amount */
        {{0, 0, 90, 1000}, {4, 2, 60, 2000}, 2}, /* 90 ms in under 50 ms */
        {{8, 0, 30, 1000}, {4, 2, 60, 2000}, 2},
    };

    for (auto &c : cases) {
        Sessions s;

        s.set_free(0);
        s.heartbeat(1, {1000, 0, 1000, 0});
        s.heartbeat(2, {2000, 0, 1000, 0});
        s.report(1, &c.small);
        s.report(2, &c.large);
        s.flush();
        s.now++;
        s.set_free(1000);
        s.flush();
        EXPECT_EQ(s.reported(c.first), 1000);
        EXPECT_LE(s.reported(3 - c.first), 0);
    }
}

/* An entry that got its own rows back would take those that it has placed
 * since for work of others.  It must be answered also if it alone waits, or
 * its estimate is unknown. */
TEST(Agent, SupplyLeavesOutItsReceiver)
{
    Sessions s;
    const std::vector<std::vector<uint32_t>> expected = {
        {230, 2, 0, 0}, {220, 2, 1, 1000}, {210, 2, 1, 1000}};
    dw_backlog row = {4, 0, 30, 1000};

    s.set_free(0);
    for (uint64_t entry = 1; entry <= 3; entry++) {
        s.heartbeat(entry);
        s.report(entry, entry == 1 ? &row : nullptr, 7, 90 + entry * 10);
    }
    ag_tick(&s.a, s.now);
    for (uint64_t entry = 1; entry <= 3; entry++) {
        EXPECT_EQ(s.recorded.supplied[entry], expected[entry - 1]) << entry;
    }
}

/* Rows of an ended session belong to a process that may be gone. */
TEST(Agent, RowsEndWithTheirSession)
{
    Sessions s;
    dw_backlog row = {0, 0, 30, 1000};

    s.heartbeat(1);
    s.report(1, &row, 6);
    s.report(2, &row);
    EXPECT_EQ(s.a.demand_ignored, 2u) << "other session, unknown entry";
    s.report(1, &row);
    EXPECT_EQ(s.a.demand_received, 1u);
    EXPECT_EQ(dm_source_rank(&s.a.entries->source, s.now), 0u);
    ag_entry_dead(&s.a, s.now, 1);
    EXPECT_EQ(dm_source_rank(&s.a.entries->source, s.now), DM_RANK_UNKNOWN);
}

TEST(Agent, CapacityIsReportedToAllWithoutDemand)
{
    Sessions s;

    s.set_free(7000);
    s.heartbeat(1);
    s.heartbeat(2);
    s.now += 50;
    s.set_free(7000);
    s.flush();
    EXPECT_EQ(s.reported(1), 7000);
    EXPECT_EQ(s.reported(2), 7000);
}

/* Guards against an entry that spends most of its time reading reports of
 * changes while capacity is not scarce. */
TEST(Agent, AmpleCapacityIsReportedWithTheNextHeartbeatScarceCapacitySoon)
{
    Sessions s;

    s.set_free(9000);
    s.heartbeat(1);
    s.now += SESS_HEARTBEAT_MS;
    s.flush();
    s.set_free(8000);
    s.now += 2 * AG_CAPACITY_MS_PER_ENTRY;
    s.flush();
    EXPECT_EQ(s.reported(1), -1);
    s.now += SESS_HEARTBEAT_MS;
    s.flush();
    EXPECT_EQ(s.reported(1), 8000);
    s.now++;
    s.set_free(2000);
    s.now += 2 * AG_CAPACITY_MS_PER_ENTRY;
    s.flush();
    EXPECT_EQ(s.reported(1), 2000);
}

/* Guards against an overloaded entry that reads reports of little use. */
TEST(Agent, OverloadedEntryGetsFewerReports)
{
    Sessions s;

    s.set_free(3000);
    s.heartbeat(1, {0, 0, 0, 100});
    s.now += SESS_HEARTBEAT_MS;
    s.flush();
    s.now++;
    s.set_free(2000);
    s.now += 50;
    s.flush();
    EXPECT_EQ(s.reported(1), -1);
    s.now += 50;
    s.flush();
    EXPECT_EQ(s.reported(1), 2000);
}

/* Guards against a run that continues beside its successor: the agent stood
 * still when its entry's lease ended, renews the worker's lease once more
 * before or after it notices, and its stops get lost. */
TEST(Agent, WorkersLeaseIsNotRenewedLongAfterTheSessionsLease)
{
    for (uint64_t paused_ms : {0, 50, 90, 150, 200, 260, 290}) {
        Sessions s;
        uint64_t over_ms;

        s.set_free(10000);
        s.order(1, 3);
        rn_key key = {3, 1, 0};
        rn_start_answered(&s.a.runner, s.now, &key, RN_START_OK, s.now);
        over_ms = s.now + SESS_LEASE_MS;
        while (s.now < over_ms - 20) {
            s.now += 20;
            s.poll_shows(3);
            ag_tick(&s.a, s.now);
        }
        s.now += paused_ms;
        while (s.now < over_ms + 800) {
            s.now += 20;
            s.poll_shows(3);
            ag_tick(&s.a, s.now);
        }
        EXPECT_GE(s.recorded.lease_until_ms, over_ms) << paused_ms;
        EXPECT_LE(s.recorded.lease_until_ms,
            over_ms + RN_STOP_LIMIT_MS + RN_LEASE_MS)
            << paused_ms;
    }
}

/* Guards against an entry that waits until its job's deadline: its agent's
 * worker was lost soon after the agent started, all runs have ended with the
 * lease, and the agent still reports that some may be left. */
TEST(Agent, RunsThatEndedWithTheLeaseAreNotLeftOver)
{
    Sessions s;
    uint64_t end_ms;
    rn_poll failed = {};
    rn_key key = {3, 1, 0};
    dw_orders o;

    s.set_free(10000);
    s.order(1, 3);
    rn_start_answered(&s.a.runner, s.now, &key, RN_START_OK, s.now);
    end_ms = s.now + 3000;
    failed.unreachable = true;
    while (s.now < end_ms) {
        s.now += 20;
        failed.sent_ms = s.now - 10;
        rn_poll_answered(&s.a.runner, s.now, &failed);
        ag_tick(&s.a, s.now);
    }
    EXPECT_EQ(rn_active_count(&s.a.runner), 0u);
    memset(&o, 0, sizeof(o));
    o.head = {8, s.now, s.now, 0, 0};
    ag_handle_orders(&s.a, s.now, 1, &o);
    ag_tick(&s.a, s.now);
    EXPECT_TRUE(s.recorded.clean[1]);
}

/* Guards against starts in a withdrawn domain by an entry that is cut off from
 * the store and from other entries, and does not know. */
TEST(Agent, WithdrawnDomainGetsNoStarts)
{
    Sessions s;

    s.set_free(10000);
    s.tell_domain(100, false);
    s.order(1, 71);
    EXPECT_EQ(s.recorded.started, std::vector<uint64_t>{71});
    s.tell_domain(110, true); /* another entry knows */
    s.order(2, 72);
    EXPECT_EQ(s.recorded.started, std::vector<uint64_t>{71});
    ASSERT_EQ(s.recorded.ended.size(), 1U);
    EXPECT_EQ(s.recorded.ended[0].first, 72U);
    EXPECT_EQ(s.recorded.ended[0].second, DW_END_FULL); /* it has not run */
    EXPECT_FALSE(rn_serving(&s.a.runner));
    EXPECT_EQ(rn_active_count(&s.a.runner), 1U); /* the first goes on */
    s.tell_domain(105, false);                   /* late */
    EXPECT_FALSE(rn_serving(&s.a.runner));
    s.tell_domain(120, false);
    s.order(3, 73);
    EXPECT_EQ(s.recorded.started, (std::vector<uint64_t>{71, 73}));
}

/* Guards against the same where no entry knows, and against reads by agents
 * that have been told, or that no entry has a session with. */
TEST(Agent, DomainIsReadIfNoEntryConfirmsIt)
{
    Sessions s;

    s.now += 10 * WD_STALE_MS;
    EXPECT_FALSE(ag_must_read_domain(&s.a, s.now));
    s.heartbeat(1);
    s.tell_domain(100, false);
    s.now += WD_STALE_MS - 1;
    s.heartbeat(1);
    EXPECT_FALSE(ag_must_read_domain(&s.a, s.now));
    s.now++;
    EXPECT_TRUE(ag_must_read_domain(&s.a, s.now));
    EXPECT_FALSE(ag_must_read_domain(&s.a, s.now));
    s.now += WD_READ_MS; /* the read failed */
    EXPECT_TRUE(ag_must_read_domain(&s.a, s.now));
    s.tell_domain(110, true);
    s.now += WD_READ_MS;
    s.tell_domain(110, true, 5000); /* an entry with old knowledge */
    EXPECT_FALSE(ag_must_read_domain(&s.a, s.now));
}
