/* Entries' sessions with one agent. */
#include <gtest/gtest.h>

#include <cstring>
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

void
count_sent(void *ctx, uint64_t, const dw_msg *)
{
    ++*static_cast<size_t *>(ctx);
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

const ag_ops ops = {{no_start, no_stop, no_look, nullptr}, count_sent,
    no_reconnect, no_end, no_session};

struct Sessions {
    agent a;
    uint64_t now = 1000;
    size_t sent = 0;

    Sessions()
    {
        ag_init(&a, now, &ops, &sent);
    }
    ~Sessions()
    {
        ag_free(&a);
    }
    void
    beat(uint64_t entry)
    {
        dw_orders o;

        memset(&o, 0, sizeof(o));
        o.head.session = 7;
        o.head.clock_ms = now;
        o.head.echo_ms = now;
        ag_orders(&a, now, entry, &o);
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
