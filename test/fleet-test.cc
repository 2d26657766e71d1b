/* Placement of runs and selection of agents. */
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "fleet.h"

namespace {

struct Fleet3 {
    fleet f;
    uint64_t now = 1000;

    Fleet3()
    {
        fl_init(&f, 1, "kolding");
        for (uint64_t id = 1; id <= 3; id++) {
            fl_agent *a = fl_add(&f, id, "a", "kolding", "s");

            a->session_open = true;
            a->sess.number = 1;
            a->sess.own_clock_echo_ms = now;
            set_capacity(id, 10000, 1000);
        }
        fl_update_stats(&f, now);
    }
    ~Fleet3()
    {
        fl_free(&f);
    }
    void
    set_capacity(uint64_t id, int free, uint32_t pace)
    {
        dw_room status = {};

        status.serving = true;
        status.left_ms = UINT32_MAX;
        status.millicores = 10000;
        status.memory_mb = 100;
        status.free_millicores = free;
        status.free_memory_mb = 100;
        status.speed_permille = 1000;
        status.pace_permille = pace;
        fl_update_status(fl_find(&f, id), 0, &status);
    }
    uint64_t
    pick(uint32_t est_ms, uint32_t waited_ms, bool failed = false)
    {
        fl_requirements req = {
            "s", 1000, 1, 0, est_ms, waited_ms, failed, false, 0};
        fl_agent *a = fl_pick(&f, now, &req);

        return a != nullptr ? a->id : 0;
    }
};

} // namespace

/* Guards against a slow worker making all jobs late: two fast workers are full
 * and a slow one is free.  A task waits for a fast one while that is expected
 * to end sooner. */
TEST(Fleet3, ASlowWorkerIsPickedOnlyWhenWaitingCostsMore)
{
    Fleet3 t;

    t.set_capacity(1, 0, 1000);
    t.set_capacity(2, 0, 1000);
    t.set_capacity(3, 10000, 150);
    fl_find(&t.f, 3)->active_runs = 1;
    EXPECT_EQ(t.pick(100, 0), 0u);
    EXPECT_EQ(t.pick(100, 500), 0u);
    EXPECT_EQ(t.pick(100, 600), 3u);
    t.set_capacity(1, 5000, 1000);
    EXPECT_EQ(t.pick(100, 600), 1u);
}

/* Without a run, the recovery of a slow worker would go unnoticed. */
TEST(Fleet3, AnIdleSlowWorkerIsProbed)
{
    Fleet3 t;

    t.set_capacity(1, 0, 1000);
    t.set_capacity(2, 0, 1000);
    t.set_capacity(3, 10000, 150);
    EXPECT_EQ(t.pick(100, 0), 3u);
    fl_find(&t.f, 3)->run_sent_ms = t.now;
    EXPECT_EQ(t.pick(100, 0), 0u);
}

TEST(Fleet3, AWorkerThatFailsEverythingIsOnProbation)
{
    Fleet3 t;
    fl_agent *a = fl_find(&t.f, 3);

    t.set_capacity(1, 0, 1000);
    t.set_capacity(2, 0, 1000);
    for (int i = 0; i < 12; i++) {
        fl_run_ended(a, t.now, DW_END_FAILED);
    }
    EXPECT_EQ(t.pick(100, 0), 0u);
    t.now = a->probation_until_ms;
    a->sess.own_clock_echo_ms = t.now;
    EXPECT_EQ(t.pick(100, 0), 3u); /* one at a time */
    a->active_runs = 1;
    EXPECT_EQ(t.pick(100, 0), 0u);
    fl_run_ended(a, t.now, DW_END_DONE);
    EXPECT_EQ(t.pick(100, 0), 3u);
}

/* Guards against refusals while cores are free: a fifth of the workers failed
 * part of their runs during a burst and were put on probation. */
TEST(Fleet3, AWorkerThatFailsPartOfItsRunsIsPickedLast)
{
    Fleet3 t;
    fl_agent *a = fl_find(&t.f, 3);

    t.set_capacity(3, 10000, 1250);
    for (int i = 0; i < 30; i++) {
        fl_run_ended(a, t.now, i % 5 < 2 ? DW_END_FAILED : DW_END_DONE);
    }
    fl_update_stats(&t.f, t.now);
    EXPECT_NE(t.pick(100, 0), 3u);
    t.set_capacity(1, 0, 1000);
    t.set_capacity(2, 0, 1000);
    EXPECT_EQ(t.pick(100, 0), 3u);
    EXPECT_EQ(t.pick(100, 0, true), 0u);
}

TEST(Fleet3, NothingIsSentToAWithdrawnDomainOrADrainingWorker)
{
    Fleet3 t;
    const char *withdrawn[] = {"kolding"};

    fl_set_withdrawn(&t.f, withdrawn, 1);
    EXPECT_EQ(t.pick(100, 0), 0u);
    fl_set_withdrawn(&t.f, nullptr, 0);
    EXPECT_NE(t.pick(100, 0), 0u);
    for (uint64_t id = 1; id <= 3; id++) {
        fl_find(&t.f, id)->status.draining = true;
    }
    EXPECT_EQ(t.pick(100, 0), 0u);
}

/* --- selection of agents --- */

namespace {

/* An entry in kolding; agents spread over four domains. */
struct Many {
    static constexpr size_t DOMAINS = 4;
    fleet f;
    uint64_t now = 1000;

    explicit Many(size_t agents, uint64_t seed = 1)
    {
        static const char *const domains[] = {
            "kolding", "aarhus", "herning", "vejle"};

        fl_init(&f, seed, "kolding");
        for (size_t i = 1; i <= agents; i++) {
            fl_agent *a = fl_add(&f, i, "a", domains[i % DOMAINS], "s");

            a->member = true;
        }
        fl_select(&f, now);
    }
    ~Many()
    {
        fl_free(&f);
    }
    size_t
    selected(const char *domain = nullptr)
    {
        size_t n = 0;

        for (fl_agent *a = f.agents; a != nullptr;
             a = static_cast<fl_agent *>(a->hh.next)) {
            n += a->selected &&
                 (domain == nullptr || strcmp(a->domain, domain) == 0);
        }
        return n;
    }
    void
    open_all()
    {
        for (fl_agent *a = f.agents; a != nullptr;
             a = static_cast<fl_agent *>(a->hh.next)) {
            a->session_open = a->selected;
        }
    }
    void
    advance(uint64_t ms)
    {
        now += ms;
        fl_select(&f, now);
    }
};

} // namespace

TEST(Many, OfASmallFleetAllAreSelected)
{
    Many m(FL_SELECTED_MAX);

    EXPECT_EQ(m.selected(), FL_SELECTED_MAX);
}

/* Guards against sessions between all pairs, which took half of an entry's
 * processor at 300 agents. */
TEST(Many, OfALargeFleetSomeAreSelectedHalfOfThemLocal)
{
    Many m(300);

    EXPECT_EQ(m.selected(), FL_SELECTED_MAX);
    EXPECT_GE(m.selected("kolding"), FL_LOCAL_MAX);
    EXPECT_LT(m.selected("kolding"), FL_SELECTED_MAX);
    m.open_all();
    m.advance(10000);
    EXPECT_EQ(m.selected(), FL_SELECTED_MAX);
}

/* Guards against agents that no entry or too many entries select: with random
 * selection, a few of 300 agents had no entry and some had eight. */
TEST(Many, EntriesSelectAgentsEvenly)
{
    std::vector<size_t> times(301);

    for (uint32_t rank = 0; rank < 43; rank++) {
        Many m(300);

        fl_set_rank(&m.f, rank, rank);
        m.advance(FL_SELECT_INTERVAL_MS);
        for (size_t i = 1; i <= 300; i++) {
            times[i] += fl_find(&m.f, i)->selected;
        }
    }
    for (size_t i = 1; i <= 300; i++) {
        size_t expected =
            43 * FL_LOCAL_MAX / (i % Many::DOMAINS == 0 ? 75 : 225);

        EXPECT_GE(times[i], expected);
        EXPECT_LE(times[i], expected + 1);
    }
}

/* The entry's own domain is withdrawn: agents of other domains replace its own
 * until it is back in service. */
TEST(Many, AgentsOfAWithdrawnDomainAreReplaced)
{
    Many m(300);
    const char *withdrawn[] = {"kolding"};

    m.open_all();
    fl_set_withdrawn(&m.f, withdrawn, 1);
    m.advance(FL_SELECT_INTERVAL_MS);
    EXPECT_EQ(m.selected("kolding"), 0u);
    EXPECT_EQ(m.selected(), FL_SELECTED_MAX);
    fl_set_withdrawn(&m.f, nullptr, 0);
    m.advance(FL_SELECT_INTERVAL_MS);
    EXPECT_GE(m.selected("kolding"), FL_LOCAL_MAX);
}

/* Guards against an entry that, after a network cut, uses only the selected
 * agents that still reply, although it can reach others. */
TEST(Many, AgentsThatDoNotReplyAreReplacedAndRetried)
{
    Many m(300);
    fl_agent *silent = nullptr;

    m.open_all();
    for (fl_agent *a = m.f.agents; a != nullptr;
         a = static_cast<fl_agent *>(a->hh.next)) {
        if (a->selected) {
            silent = a;
        }
    }
    silent->session_open = false;
    m.advance(FL_NO_REPLY_MS);
    m.advance(FL_SELECT_INTERVAL_MS);
    EXPECT_FALSE(silent->selected);
    EXPECT_EQ(m.selected(), FL_SELECTED_MAX);
    m.advance(FL_RETRY_MS);
    m.advance(FL_SELECT_INTERVAL_MS);
    EXPECT_TRUE(silent->selected);
}

/* Guards against refusing a task as one that never fits when the only worker
 * with an accelerator is not among the selected. */
TEST(Many, ATaskThatNoSelectedWorkerHoldsSelectsAll)
{
    Many m(200);

    EXPECT_TRUE(fl_select_all(&m.f, m.now));
    m.advance(FL_SELECT_INTERVAL_MS);
    EXPECT_EQ(m.selected(), 200u);
    EXPECT_FALSE(fl_select_all(&m.f, m.now));
    m.advance(FL_SELECT_ALL_MS);
    m.advance(FL_SELECT_INTERVAL_MS);
    EXPECT_EQ(m.selected(), FL_SELECTED_MAX);
}

/* Guards against a draining worker that changes the whole selection: when
 * workers of a large fleet drained while a domain was withdrawn, entries
 * opened and closed a hundred sessions within seconds.  A draining worker is
 * replaced by one other, and is not selected again at once. */
TEST(Many, ADrainingWorkerIsReplacedByOneOther)
{
    Many m(300);
    std::vector<bool> before(301);
    fl_agent *draining = nullptr;
    size_t changed = 0;

    fl_set_rank(&m.f, 3, 11);
    m.advance(FL_SELECT_INTERVAL_MS);
    m.open_all();
    for (size_t i = 1; i <= 300; i++) {
        before[i] = fl_find(&m.f, i)->selected;
        if (before[i]) {
            draining = fl_find(&m.f, i);
        }
    }
    draining->status.draining = true;
    m.advance(FL_SELECT_INTERVAL_MS);
    EXPECT_FALSE(draining->selected);
    for (size_t i = 1; i <= 300; i++) {
        changed += before[i] != fl_find(&m.f, i)->selected;
    }
    EXPECT_EQ(changed, 2u);
    fl_deselect(draining, m.now);
    m.advance(FL_SELECT_INTERVAL_MS);
    EXPECT_FALSE(draining->selected);
    EXPECT_EQ(m.selected(), FL_SELECTED_MAX);
}

TEST(Many, AgentsAreSelectedPerService)
{
    Many m(200);

    for (size_t i = 1; i <= 200; i++) {
        str_copy(fl_find(&m.f, i)->service, FL_NAME_MAX,
            str_of(i <= 100 ? "s" : "t"));
    }
    m.advance(FL_SELECT_INTERVAL_MS);
    EXPECT_EQ(m.selected(), 2 * FL_SELECTED_MAX);
}

/* --- free capacity --- */

/* Guards against entries that count free cores which do not suffice for a
 * task, and so keep jobs that are never placed. */
TEST(Fleet3, CoresThatHoldNoTaskAreNotCountedAsFree)
{
    Fleet3 t;

    t.set_capacity(1, 9000, 1000);
    t.set_capacity(2, 3000, 1000);
    t.set_capacity(3, 0, 1000);
    EXPECT_EQ(fl_total(&t.f, t.now, "s", 1).free, 12000);
    EXPECT_EQ(fl_total(&t.f, t.now, "s", 4000).free, 8000);
    EXPECT_EQ(fl_total(&t.f, t.now, "other", 4000).free, 0);
    EXPECT_EQ(fl_total(&t.f, t.now, "other", 4000).capacity, 0);
}

/* Guards against counting slow workers as fast ones in the estimate of the
 * wait. */
TEST(Fleet3, SlowWorkersCountAccordingToTheirPace)
{
    Fleet3 t;

    t.set_capacity(3, 10000, 200);
    EXPECT_EQ(fl_total(&t.f, t.now, "s", 1).free, 22000);
    fl_find(&t.f, 1)->active_runs = 1;
    fl_find(&t.f, 3)->active_runs = 1;
    EXPECT_NEAR(fl_total(&t.f, t.now, "s", 1).mean_pace, 0.6, 0.01);
}

/* Guards against each entry spending attempts of its own tasks to find out
 * that a worker fails all its runs. */
TEST(Fleet3, AWorkerThatFailedForOtherEntriesIsProbedByOneRun)
{
    Fleet3 t;
    fl_agent *a = fl_find(&t.f, 3);

    t.set_capacity(1, 0, 1000);
    t.set_capacity(2, 0, 1000);
    a->status.fail_permille = 900;
    a->run_sent_ms = t.now;
    EXPECT_EQ(t.pick(100, 0), 0u);
    t.now += 500;
    a->sess.own_clock_echo_ms = t.now;
    EXPECT_EQ(t.pick(100, 0), 3u);
    a->active_runs = 1;
    EXPECT_EQ(t.pick(100, 0), 0u);
    a->active_runs = 0;
    a->status.fail_permille = 0;
    EXPECT_EQ(t.pick(100, 0), 3u);
}
