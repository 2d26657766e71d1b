/* The choice of a worker. */
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
