/* Membership: which processes are declared dead, and the consequences. */
#include <gtest/gtest.h>

#include <cstdio>
#include <string>

#include "fleet.hh"

static std::string
hex(uint64_t id)
{
    char text[20];

    snprintf(text, sizeof(text), "%016llx", (unsigned long long)id);
    return text;
}

static bool
listed(Fleet &f, uint64_t id)
{
    for (auto &p : f.procs) {
        if (p->up && !p->paused && p->n.self != id) {
            return view_member(&p->n.view, id) != nullptr;
        }
    }
    return false;
}

/* An agent is paused, declared dead and removed; then it resumes and registers
 * again.  Guards against a second removal by gossip that still reports it
 * dead. */
TEST(Member, AgentRemovedDuringAPauseRegistersOnce)
{
    for (uint64_t seed = 1; seed <= 8; seed++) {
        Fleet f(seed, 3, 10);
        int removals = 0;
        bool was_listed = true;

        ASSERT_TRUE(f.settle());
        f.run(3000);
        uint64_t id = f.agent(5).n.self;

        f.pause(f.entries() + 5, 10000);
        for (int i = 0; i < 3000; i++) {
            f.run(10);
            bool is_listed = listed(f, id);

            removals += was_listed && !is_listed;
            was_listed = is_listed;
        }
        EXPECT_EQ(removals, 1) << "seed " << seed;
        EXPECT_TRUE(was_listed) << "seed " << seed;
    }
}

/* An owner dies while another agent that holds start records is paused and
 * removed.  Keys that may have run are answered as unknown until that agent
 * has returned and sent its records; then answers are definite again. */
TEST(Member, ReturningHostMakesRecordsCompleteAgain)
{
    Fleet f(3);

    ASSERT_TRUE(f.settle());
    f.contract("one");
    f.run(6000);
    f.submit(0, "one", "old", 1, 50);
    f.run(1000);

    Proc *owner = f.proc_of(f.owner_of("one", "old"));
    size_t paused = f.index_of(*owner) == 2 ? 3 : 2;

    f.pause(paused, 14000);
    f.run(5000);
    f.crash(f.index_of(*owner));
    f.run(8000);
    size_t during = f.submit(1, "one", "never-used", 1, 50);
    f.run(1000);
    ASSERT_TRUE(f.answered(during));
    EXPECT_EQ(f.answer(during).reason, "records_lost");
    f.run(8000);
    size_t after = f.submit(1, "one", "never-used-2", 1, 50);
    size_t again = f.submit(1, "one", "old", 1, 50);
    f.run(3000);
    ASSERT_TRUE(f.answered(after) && f.answered(again));
    EXPECT_EQ(f.answer(after).state, DW_A_COMPLETE) << f.answer(after).reason;
    EXPECT_EQ(f.answer(again).reason, "owner_lost");
    f.check();
    EXPECT_EQ(f.violations_text(), "");
}

/* A process is cut off from all others but still reaches the store.  It
 * declares all of them dead, but must not remove them from the store. */
TEST(Member, ProcessWithoutAMajorityRemovesNobody)
{
    for (uint64_t seed = 1; seed <= 3; seed++) {
        Fleet f(seed);
        size_t lowest = f.entries();

        ASSERT_TRUE(f.settle());
        f.run(3000);
        for (size_t i = f.entries(); i < f.procs.size(); i++) {
            if (f.procs[i]->n.self < f.procs[lowest]->n.self) {
                lowest = i;
            }
        }
        int registrations = 0;
        bool was_listed = true;

        f.cut_off(lowest);
        for (int i = 0; i < 3000; i++) {
            f.run(10);
            bool is_listed = f.procs[lowest]->n.was_listed;

            registrations += is_listed && !was_listed;
            was_listed = is_listed;
        }
        for (size_t i = 0; i < f.procs.size(); i++) {
            std::string key = VIEW_MEMBER + hex(f.procs[i]->n.self);

            if (i != lowest) {
                EXPECT_EQ(f.store.kvs.count(key), 1U)
                    << f.procs[i]->name << " seed " << seed;
            }
        }
        /* Nor may it register itself again and again. */
        EXPECT_LE(registrations, 7) << "seed " << seed;
    }
}
