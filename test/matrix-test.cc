/*
 * Fault matrix: every kind of fault at every step of a request's path, each
 * followed by a check of all promises.
 *
 * A steady load runs on two entries and six agents in three failure domains;
 * a third of the submissions are resubmitted at once through the other entry.
 * The fault is injected when the step is first seen under load.  Then the load
 * ends and the fleet has time to recover.
 */
#include <gtest/gtest.h>

#include <cstring>

#include "fleet.hh"

namespace {

/* The processes that take part in the step, one of which gets the fault. */
struct Participants {
    size_t from; /* index of the sender */
    size_t to;   /* index of the receiver */
};

struct Step {
    const char *name;
    dw_mtype type;     /* of the message that marks the step; 0: the start
                          of a task */
    bool needs_leave;  /* an agent must stop for it */
    bool needs_change; /* the configuration must change for it */
};

const Step steps[] = {
    {"spend", DW_BORROW, false, false},
    {"route", DW_SUBMIT, false, false},
    {"offer", DW_OFFER, false, false},
    {"record", DW_OFFERED, false, false},
    {"start", static_cast<dw_mtype>(0), false, false},
    {"result", DW_RESULT, false, false},
    {"answer", DW_ANSWER, false, false},
    {"hand_over", DW_HANDOVER, true, false},
    {"handed", DW_HANDED, true, false},
    {"configure", DW_STATE, false, true},
};

struct Fault {
    const char *name;
    void (*inject)(Fleet &f, const Participants &p);
};

void
crash_sender(Fleet &f, const Participants &p)
{
    f.crash(p.from);
}

void
crash_receiver(Fleet &f, const Participants &p)
{
    f.crash(p.to);
}

void
restart_receiver(Fleet &f, const Participants &p)
{
    f.restart(p.to);
}

void
crash_both(Fleet &f, const Participants &p)
{
    f.crash(p.from);
    f.crash(p.to);
}

void
pause_sender_1(Fleet &f, const Participants &p)
{
    f.pause(p.from, 1000);
}

void
pause_receiver_1(Fleet &f, const Participants &p)
{
    f.pause(p.to, 1000);
}

void
pause_sender_5(Fleet &f, const Participants &p)
{
    f.pause(p.from, 5000);
}

void
pause_receiver_5(Fleet &f, const Participants &p)
{
    f.pause(p.to, 5000);
}

void
pause_sender_30(Fleet &f, const Participants &p)
{
    f.pause(p.from, 30000);
}

void
pause_receiver_30(Fleet &f, const Participants &p)
{
    f.pause(p.to, 30000);
}

/* The open connection stops delivering; a new one works 2.5 s later. */
void
silent_pair(Fleet &f, const Participants &p)
{
    f.cut(p.from, p.to);
    f.at(2500, [&f, p] { f.cut(p.from, p.to, false); });
}

void
cut_off_sender(Fleet &f, const Participants &p)
{
    f.cut_off(p.from);
    f.procs[p.from]->store_unreachable = true;
    f.at(12000, [&f, p] {
        f.cut_off(p.from, false);
        f.procs[p.from]->store_unreachable = false;
    });
}

void
cut_off_receiver(Fleet &f, const Participants &p)
{
    cut_off_sender(f, Participants{p.to, p.from});
}

/* The peers cannot be reached, but the store can. */
void
cut_from_peers(Fleet &f, const Participants &p)
{
    f.cut_off(p.to);
    f.at(12000, [&f, p] { f.cut_off(p.to, false); });
}

void
store_down(Fleet &f, const Participants &)
{
    f.store.down = true;
    f.at(15000, [&f] { f.store.down = false; });
}

void
store_slow(Fleet &f, const Participants &)
{
    f.store.slow_ms = 900;
    f.at(15000, [&f] { f.store.slow_ms = 0; });
}

void
store_loses_answers(Fleet &f, const Participants &)
{
    f.store.answer_loss_rate = 0.7;
    f.at(15000, [&f] { f.store.answer_loss_rate = 0; });
}

void
messages_lost(Fleet &f, const Participants &)
{
    f.net.loss_rate = 0.2;
    f.at(5000, [&f] { f.net.loss_rate = 0; });
}

void
messages_late(Fleet &f, const Participants &)
{
    f.net.delay_rate = 0.2;
    f.net.delay_max_ms = 4000;
    f.net.repeat_rate = 0.2;
    f.at(8000, [&f] {
        f.net.delay_rate = 0;
        f.net.repeat_rate = 0;
    });
}

void
domain_out(Fleet &f, const Participants &p)
{
    std::string d = f.procs[p.to]->domain;

    f.domain(d, false);
    f.at(12000, [&f, d] { f.domain(d, true); });
}

/* The domain is withdrawn while one of its processes is cut off. */
void
domain_out_and_cut_off(Fleet &f, const Participants &p)
{
    domain_out(f, p);
    cut_off_receiver(f, p);
}

void
domain_out_and_paused(Fleet &f, const Participants &p)
{
    domain_out(f, p);
    f.pause(p.to, 5000);
}

/* The sender is paused for long enough that its partitions are taken over;
 * meanwhile the receiver crashes, too. */
void
pause_and_crash(Fleet &f, const Participants &p)
{
    f.pause(p.from, 9000);
    f.at(6000, [&f, p] { f.crash(p.to); });
}

void
pause_and_store_down(Fleet &f, const Participants &p)
{
    f.pause(p.from, 6000);
    store_down(f, p);
}

/* Operators withdraw and restore one failure domain in quick succession, while
 * the store loses answers. */
void
operators_race(Fleet &f, const Participants &p)
{
    std::string d = f.procs[p.to]->domain;

    store_loses_answers(f, p);
    f.domain(d, false);
    f.domain(d, true);
    f.domain(d, false);
    f.at(10000, [&f, d] { f.domain(d, true); });
}

void
backend_leaves(Fleet &f, const Participants &p)
{
    size_t i = p.to < f.entries() ? f.entries() : p.to;

    f.backend_leave(i);
}

void
worker_fails_all(Fleet &f, const Participants &p)
{
    f.procs[p.to]->fails_all_tasks = true;
}

void
planned_stop_sender(Fleet &f, const Participants &p)
{
    f.leave(p.from);
}

void
planned_stop_receiver(Fleet &f, const Participants &p)
{
    f.leave(p.to);
}

void
cancel_wave(Fleet &f, const Participants &)
{
    size_t n = f.requests.size();

    for (size_t i = 0; i < n; i++) {
        const Request r = f.requests[i];

        if (r.kind == FRONT_SUBMIT && r.answers.empty()) {
            f.submit(i % 2, r.customer, r.key, r.tasks, 0, 5000, FRONT_CANCEL);
        }
    }
}

void
burst(Fleet &f, const Participants &)
{
    for (int i = 0; i < 40; i++) {
        f.submit(i % 2, "one", "burst" + std::to_string(i), 10, 200);
    }
}

void
domain_lost(Fleet &f, const Participants &p)
{
    for (size_t i = 0; i < f.procs.size(); i++) {
        if (f.procs[i]->domain == f.procs[p.to]->domain) {
            f.crash(i);
        }
    }
}

void
restart_all(Fleet &f, const Participants &)
{
    for (size_t i = 0; i < f.procs.size(); i++) {
        f.at(500 * (i + 1), [&f, i] {
            if (f.procs[i]->up) {
                f.restart(i);
            }
        });
    }
}

const Fault faults[] = {
    {"crash_sender", crash_sender},
    {"crash_receiver", crash_receiver},
    {"restart_receiver", restart_receiver},
    {"crash_both", crash_both},
    {"pause_sender_1", pause_sender_1},
    {"pause_receiver_1", pause_receiver_1},
    {"pause_sender_5", pause_sender_5},
    {"pause_receiver_5", pause_receiver_5},
    {"pause_sender_30", pause_sender_30},
    {"pause_receiver_30", pause_receiver_30},
    {"silent_pair", silent_pair},
    {"cut_off_sender", cut_off_sender},
    {"cut_off_receiver", cut_off_receiver},
    {"cut_from_peers", cut_from_peers},
    {"store_down", store_down},
    {"store_slow", store_slow},
    {"store_loses_answers", store_loses_answers},
    {"messages_lost", messages_lost},
    {"messages_late", messages_late},
    {"domain_out", domain_out},
    {"domain_out_and_cut_off", domain_out_and_cut_off},
    {"domain_out_and_paused", domain_out_and_paused},
    {"pause_and_crash", pause_and_crash},
    {"pause_and_store_down", pause_and_store_down},
    {"operators_race", operators_race},
    {"backend_leaves", backend_leaves},
    {"worker_fails_all", worker_fails_all},
    {"planned_stop_sender", planned_stop_sender},
    {"planned_stop_receiver", planned_stop_receiver},
    {"cancel_wave", cancel_wave},
    {"burst", burst},
    {"domain_lost", domain_lost},
    {"restart_all", restart_all},
};

class Matrix
    : public testing::TestWithParam<std::tuple<const Fault *, const Step *>> {
};

void
load(Fleet &f, int jobs)
{
    for (int i = 0; i < jobs; i++) {
        f.at((uint64_t)i * 60, [&f, i] {
            std::string key = "k" + std::to_string(i);
            uint32_t tasks = 1 + i % 9;
            uint32_t ms = i % 10 == 0 ? 3000 : 120;

            f.submit(i % 2, "one", key, tasks, ms, 15000);
            if (i % 3 == 0) {
                f.submit((i + 1) % 2, "one", key, tasks, ms, 15000);
            }
        });
    }
}

/* Injects the fault once, when the step is first seen. */
void
inject_at_step(Fleet &f, const Fault *fault, const Step *step, bool &injected)
{
    auto inject = [&f, fault, &injected](size_t from, size_t to) {
        if (!injected) {
            injected = true;
            f.at(0, [&f, fault, from, to] {
                fault->inject(f, Participants{from, to});
            });
        }
    };

    if (step->type == 0) {
        f.on_task_start = [&f, inject](Proc &p, const std::string &) {
            Proc *owner = f.proc_of(f.owner_of("one", "k0"));

            inject(f.index_of(p),
                owner != nullptr ? f.index_of(*owner) : f.index_of(p));
        };
        return;
    }
    f.on_message = [&f, inject, step](
                       Proc &from, Proc *to, const dw_msg *msg) {
        if (msg->type == step->type && to != nullptr) {
            inject(f.index_of(from), f.index_of(*to));
        }
    };
}

TEST_P(Matrix, PromisesHold)
{
    const Fault *fault = std::get<0>(GetParam());
    const Step *step = std::get<1>(GetParam());
    Fleet f(str_hash(str_of(fault->name), str_hash(str_of(step->name), 0)));
    bool injected = false;

    ASSERT_TRUE(f.settle());
    f.contract("one");
    f.run(6000);
    inject_at_step(f, fault, step, injected);
    load(f, 60);
    if (step->needs_leave) {
        f.at(1500, [&f] { f.leave(f.entries()); });
    }
    if (step->needs_change) {
        f.at(1500, [&f] { f.contract("two"); });
    }
    f.run(50000);
    ASSERT_TRUE(injected) << "the step was never seen";
    f.check();
    EXPECT_EQ(f.violations_text(), "");
}

std::vector<const Fault *>
fault_list()
{
    std::vector<const Fault *> v;

    for (auto &x : faults) {
        v.push_back(&x);
    }
    return v;
}

std::vector<const Step *>
step_list()
{
    std::vector<const Step *> v;

    for (auto &x : steps) {
        v.push_back(&x);
    }
    return v;
}

INSTANTIATE_TEST_SUITE_P(All, Matrix,
    testing::Combine(
        testing::ValuesIn(fault_list()), testing::ValuesIn(step_list())),
    [](const testing::TestParamInfo<Matrix::ParamType> &i) {
        return std::string(std::get<0>(i.param)->name) + "_at_" +
               std::get<1>(i.param)->name;
    });

} // namespace
