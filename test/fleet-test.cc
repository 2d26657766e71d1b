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
        fl_init(&f, 1, "kolding");
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

/* --- whom to keep sessions with --- */

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
        fl_choose(&f, now);
    }
    ~Many()
    {
        fl_free(&f);
    }
    size_t
    chosen(const char *domain = nullptr)
    {
        size_t n = 0;

        for (fl_agent *a = f.agents; a != nullptr;
             a = static_cast<fl_agent *>(a->hh.next)) {
            n += a->chosen &&
                 (domain == nullptr || strcmp(a->domain, domain) == 0);
        }
        return n;
    }
    void
    answer_all()
    {
        for (fl_agent *a = f.agents; a != nullptr;
             a = static_cast<fl_agent *>(a->hh.next)) {
            a->live = a->chosen;
        }
    }
    void
    pass(uint64_t ms)
    {
        now += ms;
        fl_choose(&f, now);
    }
};

} // namespace

TEST(Many, ASmallFleetIsKeptWhole)
{
    Many m(FL_CHOSEN_MAX);

    EXPECT_EQ(m.chosen(), FL_CHOSEN_MAX);
}

/* Sessions between all pairs took half of an entry's processor at 300. */
TEST(Many, ALargeFleetIsKeptInPartHalfOfItNear)
{
    Many m(300);

    EXPECT_EQ(m.chosen(), FL_CHOSEN_MAX);
    EXPECT_GE(m.chosen("kolding"), FL_NEAR_MAX);
    EXPECT_LT(m.chosen("kolding"), FL_CHOSEN_MAX);
    m.answer_all();
    m.pass(10000);
    EXPECT_EQ(m.chosen(), FL_CHOSEN_MAX);
}

/* Agents must not be left out by all entries, nor chosen by all: chosen by
 * chance, a few of 300 had no entry and some had eight. */
TEST(Many, EntriesChooseInTurns)
{
    std::vector<size_t> times(301);

    for (uint32_t rank = 0; rank < 43; rank++) {
        Many m(300);

        fl_set_rank(&m.f, rank, rank);
        m.pass(FL_CHOOSE_MS);
        for (size_t i = 1; i <= 300; i++) {
            times[i] += fl_find(&m.f, i)->chosen;
        }
    }
    for (size_t i = 1; i <= 300; i++) {
        size_t each = 43 * FL_NEAR_MAX / (i % Many::DOMAINS == 0 ? 75 : 225);

        EXPECT_GE(times[i], each);
        EXPECT_LE(times[i], each + 1);
    }
}

/* The entry's own domain goes out of service: others take its part, and it is
 * chosen again when it is back. */
TEST(Many, AWithdrawnDomainGivesItsPartToOthers)
{
    Many m(300);
    const char *out[] = {"kolding"};

    m.answer_all();
    fl_withdraw(&m.f, out, 1);
    m.pass(FL_CHOOSE_MS);
    EXPECT_EQ(m.chosen("kolding"), 0u);
    EXPECT_EQ(m.chosen(), FL_CHOSEN_MAX);
    fl_withdraw(&m.f, nullptr, 0);
    m.pass(FL_CHOOSE_MS);
    EXPECT_GE(m.chosen("kolding"), FL_NEAR_MAX);
}

/* A cut leaves the entry with agents that do not answer: it would serve with
 * the rest alone, though it reaches others. */
TEST(Many, AgentsThatDoNotAnswerAreReplacedAndTriedAgain)
{
    Many m(300);
    fl_agent *dead = nullptr;

    m.answer_all();
    for (fl_agent *a = m.f.agents; a != nullptr;
         a = static_cast<fl_agent *>(a->hh.next)) {
        if (a->chosen) {
            dead = a;
        }
    }
    dead->live = false;
    m.pass(FL_UNANSWERED_MS);
    m.pass(FL_CHOOSE_MS);
    EXPECT_FALSE(dead->chosen);
    EXPECT_EQ(m.chosen(), FL_CHOSEN_MAX);
    m.pass(FL_TRY_AGAIN_MS);
    m.pass(FL_CHOOSE_MS);
    EXPECT_TRUE(dead->chosen);
}

/* One worker of all has an accelerator, and is not among the chosen: the task
 * must not be refused as one that never fits. */
TEST(Many, ATaskThatNoneOfTheChosenHoldsWidensTheChoice)
{
    Many m(200);

    EXPECT_TRUE(fl_widen(&m.f, m.now));
    m.pass(FL_CHOOSE_MS);
    EXPECT_EQ(m.chosen(), 200u);
    EXPECT_FALSE(fl_widen(&m.f, m.now));
    m.pass(FL_WIDE_MS);
    m.pass(FL_CHOOSE_MS);
    EXPECT_EQ(m.chosen(), FL_CHOSEN_MAX);
}

/* Workers of a large fleet drained while a domain was withdrawn: each look at
 * one of them moved the whole choice, and entries opened and left a hundred
 * sessions in some seconds.  One that drains is replaced by one, and is not
 * asked again at once. */
TEST(Many, OneThatDrainsIsReplacedByOne)
{
    Many m(300);
    std::vector<bool> before(301);
    fl_agent *drains = nullptr;
    size_t changed = 0;

    fl_set_rank(&m.f, 3, 11);
    m.pass(FL_CHOOSE_MS);
    m.answer_all();
    for (size_t i = 1; i <= 300; i++) {
        before[i] = fl_find(&m.f, i)->chosen;
        if (before[i]) {
            drains = fl_find(&m.f, i);
        }
    }
    drains->room.draining = true;
    m.pass(FL_CHOOSE_MS);
    EXPECT_FALSE(drains->chosen);
    for (size_t i = 1; i <= 300; i++) {
        changed += before[i] != fl_find(&m.f, i)->chosen;
    }
    EXPECT_EQ(changed, 2u);
    fl_leave_out(drains, m.now);
    m.pass(FL_CHOOSE_MS);
    EXPECT_FALSE(drains->chosen);
    EXPECT_EQ(m.chosen(), FL_CHOSEN_MAX);
}

TEST(Many, EachServiceHasItsOwnPart)
{
    Many m(200);

    for (size_t i = 1; i <= 200; i++) {
        str_copy(fl_find(&m.f, i)->service, FL_NAME_MAX,
            str_of(i <= 100 ? "s" : "t"));
    }
    m.pass(FL_CHOOSE_MS);
    EXPECT_EQ(m.chosen(), 2 * FL_CHOSEN_MAX);
}

/* --- room --- */

/* Guards against entries that count on rests of workers which hold no task,
 * and so keep jobs that get no turn. */
TEST(Fleet3, RestsThatHoldNoTaskAreNoRoom)
{
    Fleet3 t;

    t.room(1, 9000, 1000);
    t.room(2, 3000, 1000);
    t.room(3, 0, 1000);
    EXPECT_EQ(fl_sum_up(&t.f, t.now, "s", 1).free, 12000);
    EXPECT_EQ(fl_sum_up(&t.f, t.now, "s", 4000).free, 8000);
    EXPECT_EQ(fl_sum_up(&t.f, t.now, "other", 4000).free, 0);
    EXPECT_EQ(fl_sum_up(&t.f, t.now, "other", 4000).capacity, 0);
}

/* Guards against counting slow workers as sound ones when the wait is told. */
TEST(Fleet3, SlowWorkersCountForWhatTheyDo)
{
    Fleet3 t;

    t.room(3, 10000, 200);
    EXPECT_EQ(fl_sum_up(&t.f, t.now, "s", 1).free, 22000);
    fl_find(&t.f, 1)->out = 1;
    fl_find(&t.f, 3)->out = 1;
    EXPECT_NEAR(fl_sum_up(&t.f, t.now, "s", 1).pace, 0.6, 0.01);
}

/* Guards against each entry finding out by its own tasks' attempts that a
 * worker fails all that it starts. */
TEST(Fleet3, AWorkerThatFailedForOthersIsTriedByOneRun)
{
    Fleet3 t;
    fl_agent *a = fl_find(&t.f, 3);

    t.room(1, 0, 1000);
    t.room(2, 0, 1000);
    a->room.fail_permille = 900;
    a->probed_ms = t.now;
    EXPECT_EQ(t.pick(100, 0), 0u);
    t.now += 500;
    a->sess.fresh_ms = t.now;
    EXPECT_EQ(t.pick(100, 0), 3u);
    a->out = 1;
    EXPECT_EQ(t.pick(100, 0), 0u);
    a->out = 0;
    a->room.fail_permille = 0;
    EXPECT_EQ(t.pick(100, 0), 3u);
}
