/* Entries' sessions with one agent. */
#include <gtest/gtest.h>

#include <cstring>
#include <map>
#include <string>
#include <vector>

#include "agent.h"

namespace {

void
no_start(void *, const rn_run *, const rn_terms *)
{
}

void
no_stop(void *, const rn_key *, const rn_terms *)
{
}

void
no_look(void *, const rn_ask *, const rn_terms *)
{
}

/* What entries were told last. */
struct Told {
    size_t sent = 0;
    std::map<uint64_t, int> free_millicores;
};

void
note_sent(void *ctx, uint64_t to, const dw_msg *m)
{
    Told *t = static_cast<Told *>(ctx);

    t->sent++;
    t->free_millicores[to] = m->dw_msg_u.report.room.free_millicores;
}

void
no_reconnect(void *, uint64_t)
{
}

void
no_end(void *, const rn_run *, dw_end, uint32_t)
{
}

void
no_session(void *, uint64_t, const char *, uint64_t)
{
}

const ag_ops ops = {{no_start, no_stop, no_look, nullptr}, note_sent,
    no_reconnect, no_end, no_session};

struct Sessions {
    agent a;
    uint64_t now = 1000;
    Told told;

    Sessions()
    {
        ag_init(&a, now, &ops, &told);
    }
    ~Sessions()
    {
        ag_free(&a);
    }
    void
    beat(uint64_t entry, dw_want want = {0, 0, 0, 0})
    {
        dw_orders o;

        memset(&o, 0, sizeof(o));
        o.head.session = 7;
        o.head.clock_ms = now;
        o.head.echo_ms = now;
        o.want = want;
        ag_orders(&a, now, entry, &o);
    }
    /* A worker of 10 cores that is known and has so many free. */
    void
    room(int64_t free_millicores)
    {
        if (!a.runner.have_room) {
            rn_look l = {};

            rn_room(&a.runner, now, 10000, 1000, 0, 5);
            l.asked_ms = now;
            l.ok = true;
            l.clock_ms = 1;
            l.born_ms = 5;
            now++;
            rn_looked(&a.runner, now, &l);
        }
        a.runner.used_millicores = 10000 - free_millicores;
        a.runner.room_changed_ms = now;
    }
    /* What a flush lets an entry hear; -1 if nothing. */
    int
    hears(uint64_t entry)
    {
        return told.free_millicores.count(entry) != 0
                   ? told.free_millicores[entry]
                   : -1;
    }
    void
    flush()
    {
        told.free_millicores.clear();
        ag_flush(&a, now);
    }
};

} // namespace

/* Entries are replaced all the time, each under a new id: an agent that
 * remembered all would tell its room less often each day. */
TEST(Agent, EntriesThatAreGoneAreForgotten)
{
    Sessions s;

    for (uint64_t entry = 1; entry <= 500; entry++) {
        s.beat(entry);
        EXPECT_EQ(s.a.open_count, 1u);
        s.now += SESS_LEASE_MS + 1;
        ag_tick(&s.a, s.now);
        EXPECT_EQ(s.a.open_count, 0u);
    }
    EXPECT_LE(ag_entries(&s.a), AG_FORGET_MS / SESS_LEASE_MS + 1);
    s.now += AG_FORGET_MS + 1;
    ag_tick(&s.a, s.now);
    EXPECT_EQ(ag_entries(&s.a), 0u);
}

TEST(Agent, AnEntryOfTwoSessionsCountsOnce)
{
    Sessions s;
    dw_orders o;

    s.beat(1);
    memset(&o, 0, sizeof(o));
    o.head.session = 8;
    ag_orders(&s.a, s.now, 1, &o);
    EXPECT_EQ(s.a.open_count, 1u);
    ag_refused(&s.a, s.now, 1);
    EXPECT_EQ(s.a.open_count, 0u);
}

/* The nearest entry takes each core that comes free and gives it to its late
 * jobs, as it hears of it first; the jobs of another, which could still be in
 * time, wait until they are late as well. */
TEST(Agent, RoomIsShownFirstToWhomItCanServeInTime)
{
    Sessions s;

    s.room(0);
    s.beat(1, {0, 20000, 2000, 0});
    s.beat(2, {4000, 0, 2000, 0});
    s.beat(3);
    s.flush();
    s.now++;
    s.room(4000);
    s.flush();
    EXPECT_EQ(s.hears(2), 4000);
    EXPECT_LE(s.hears(1), 0);
    EXPECT_LE(s.hears(3), 0);
}

TEST(Agent, WhoHasMostWaitingComesFirst)
{
    Sessions s;

    s.room(0);
    s.beat(1, {3000, 0, 1000, 0});
    s.beat(2, {9000, 0, 1000, 0});
    s.flush();
    s.now++;
    s.room(10000);
    s.flush();
    EXPECT_EQ(s.hears(2), 10000);
    EXPECT_EQ(s.hears(1), 1000);
}

/* Cores stand idle: the entry that they are shown to has only tasks that do
 * not fit, or none any more, and the others are not told. */
TEST(Agent, RoomThatIsNotUsedGoesToOthers)
{
    Sessions s;

    s.room(0);
    s.beat(1, {20000, 0, 6000, 0});
    s.beat(2, {0, 2000, 1000, 0});
    s.flush();
    s.now++;
    s.room(2000); /* too little for entry 1 */
    s.flush();
    EXPECT_EQ(s.hears(2), 2000);
    s.room(6000);
    s.flush();
    EXPECT_EQ(s.hears(1), 6000);
    s.now += AG_SHOWN_MS + 1;
    s.flush();
    EXPECT_EQ(s.hears(2), 6000);
}

TEST(Agent, WhileNobodyWaitsAllSeeTheRoom)
{
    Sessions s;

    s.room(7000);
    s.beat(1);
    s.beat(2);
    s.now += 50;
    s.room(7000);
    s.flush();
    EXPECT_EQ(s.hears(1), 7000);
    EXPECT_EQ(s.hears(2), 7000);
}

/* An entry spends most of its time on reports of room that changes and is
 * not short. */
TEST(Agent, AmpleRoomIsToldWithTheNextBeatScarceRoomSoon)
{
    Sessions s;

    s.room(9000);
    s.beat(1);
    s.now += SESS_HEARTBEAT_MS;
    s.flush();
    s.room(8000);
    s.now += 2 * AG_ROOM_MS_PER_ENTRY;
    s.flush();
    EXPECT_EQ(s.hears(1), -1);
    s.now += SESS_HEARTBEAT_MS;
    s.flush();
    EXPECT_EQ(s.hears(1), 8000);
    s.now++;
    s.room(2000);
    s.now += 2 * AG_ROOM_MS_PER_ENTRY;
    s.flush();
    EXPECT_EQ(s.hears(1), 2000);
}

/* An entry that is behind reads what it could do without. */
TEST(Agent, AnEntryThatIsBehindIsToldLessOften)
{
    Sessions s;

    s.room(3000);
    s.beat(1, {0, 0, 0, 100});
    s.now += SESS_HEARTBEAT_MS;
    s.flush();
    s.now++;
    s.room(2000);
    s.now += 50;
    s.flush();
    EXPECT_EQ(s.hears(1), -1);
    s.now += 50;
    s.flush();
    EXPECT_EQ(s.hears(1), 2000);
}
