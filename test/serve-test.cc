/*
 * Entries, agents and workers together under faults, without sockets.  Under
 * all faults, no task runs twice at a time, no worker is sent more than it
 * can hold, and answers are correct.
 */
#include <gtest/gtest.h>

#include <cstdlib>

#include "world.hh"

namespace {

constexpr size_t ENTRIES = 2;
constexpr size_t AGENTS = 4;

/* Jobs of two kinds, at about two thirds of the workers' capacity. */
void
traffic(World &w, uint64_t ms)
{
    for (uint64_t t = 0; t < ms; t += 40) {
        w.after(t, [&w] { w.submit(4, 60); });
        if (t % 160 == 0) {
            w.after(t + 7, [&w] { w.submit(3, 300); });
        }
    }
}

struct Tally {
    size_t calls = 0;
    size_t completed = 0;
};

Tally
tally(const World &w, uint64_t from)
{
    Tally t;

    for (auto &c : w.calls) {
        if (c.second->sent_at >= from) {
            t.calls++;
            t.completed += c.second->completed;
        }
    }
    return t;
}

std::string
first_violation(const World &w)
{
    return w.violations.empty() ? "" : w.violations[0];
}

struct FaultCase {
    const char *name;
    void (*inject)(World &w);
    double min_completed; /* share of jobs, including those during the fault */
};

void
late_orders(World &w)
{
    for (auto &f : w.workers) {
        f->late_order_share = 0.08;
    }
    w.after(6000, [&w] {
        for (auto &f : w.workers) {
            f->late_order_share = 0;
        }
    });
}

void
lost_answers(World &w)
{
    for (auto &f : w.workers) {
        f->lost_answer_share = 0.1;
    }
    w.after(6000, [&w] {
        for (auto &f : w.workers) {
            f->lost_answer_share = 0;
        }
    });
}

const FaultCase faults[] = {
    {"none", [](World &) {}, 1.0},
    {"late_orders", late_orders, 0.95},
    {"lost_answers", lost_answers, 0.95},
    {"agent_killed", [](World &w) { w.kill_agent(0, 400); }, 0.97},
    {"agent_killed_for_long", [](World &w) { w.kill_agent(1, 4000); }, 0.97},
    {"agent_frozen", [](World &w) { w.freeze_agent(0, 3500); }, 0.95},
    {"agent_frozen_longer_than_the_lease",
        [](World &w) { w.freeze_agent(0, 500); }, 0.95},
    {"agent_frozen_almost_for_the_lease",
        [](World &w) { w.freeze_agent(0, SESS_LEASE_MS - 20); }, 0.95},
    {"entry_killed", [](World &w) { w.kill_entry(0, 600); }, 0.85},
    {"entry_frozen", [](World &w) { w.freeze_entry(0, 3500); }, 0.5},
    {"entry_frozen_briefly", [](World &w) { w.freeze_entry(0, 600); }, 0.9},
    {"cut_both_ways", [](World &w) { w.cut(0, 0, true, true, 3000); }, 0.95},
    {"cut_to_agent", [](World &w) { w.cut(0, 0, true, false, 3000); }, 0.95},
    {"cut_to_entry", [](World &w) { w.cut(0, 0, false, true, 3000); }, 0.95},
    {"cut_near_the_lease",
        [](World &w) { w.cut(0, 0, true, true, SESS_LEASE_MS + 5); }, 0.95},
    {"worker_crashes", [](World &w) { w.crash_worker(0, 1500); }, 0.95},
    {"worker_restarts_at_once", [](World &w) { w.crash_worker(0, 3); }, 0.95},
    {"worker_drains", [](World &w) { w.drain_worker(0); }, 0.99},
    {"worker_fails_all",
        [](World &w) {
            w.workers[0]->fails_all = true;
            w.after(4000, [&w] { w.workers[0]->fails_all = false; });
        },
        0.9},
};

/* Twenty seeds each: the fault is injected into steady traffic; after it all
 * jobs complete again.  Entries forward the given share of requests to one
 * another. */
void
check_promises(const FaultCase &f, double forward_share)
{
    Tally during;

    for (uint64_t seed = 1; seed <= 20; seed++) {
        World w(seed, ENTRIES, AGENTS);
        uint64_t started_ms = w.now;

        w.forward_share = forward_share;
        traffic(w, 14000);
        w.run(1500 + seed * 13);
        if (forward_share > 0) {
            EXPECT_GT(w.forwarded, 10u);
        }
        f.inject(w);
        w.run(8500);
        uint64_t recovered = w.now;
        w.run(8000);
        EXPECT_EQ(first_violation(w), "") << f.name << " seed " << seed;
        Tally all = tally(w, started_ms);
        Tally after = tally(w, recovered);
        during.calls += all.calls;
        during.completed += all.completed;
        EXPECT_EQ(after.completed, after.calls) << f.name << " seed " << seed;
    }
    EXPECT_GE((double)during.completed / (double)during.calls, f.min_completed)
        << f.name;
}

std::string
name_of(const testing::TestParamInfo<FaultCase> &i)
{
    return i.param.name;
}

} // namespace

class Fault : public testing::TestWithParam<FaultCase> {};

TEST_P(Fault, PromisesHold)
{
    check_promises(GetParam(), 0);
}

INSTANTIATE_TEST_SUITE_P(Served, Fault, testing::ValuesIn(faults), name_of);

/* Half of the requests are started by another entry than received them. */
const FaultCase relay_faults[] = {
    {"none", [](World &) {}, 1.0},
    {"killed", [](World &w) { w.kill_entry(0, 600); }, 0.85},
    {"unreachable", [](World &w) { w.power_off_entry(0, 900); }, 0.8},
    {"frozen_briefly", [](World &w) { w.freeze_entry(0, 600); }, 0.85},
    {"frozen_longer_than_the_lease", [](World &w) { w.freeze_entry(0, 400); },
        0.85},
    {"frozen_for_long", [](World &w) { w.freeze_entry(0, 3500); }, 0.5},
    {"cut_from_origin_to_peer",
        [](World &w) { w.drop_entry_messages(0, 1, 3000); }, 0.85},
    {"cut_from_peer_to_origin",
        [](World &w) { w.drop_entry_messages(1, 0, 3000); }, 0.85},
    {"cut_near_the_lease",
        [](World &w) {
            w.drop_entry_messages(0, 1, SESS_LEASE_MS + 5);
            w.drop_entry_messages(1, 0, SESS_LEASE_MS + 5);
        },
        0.85},
    {"unreachable_while_an_agent_is_cut_off",
        [](World &w) {
            w.power_off_entry(0, 900);
            w.after(SESS_LEASE_MS, [&w] { w.cut(1, 0, true, true, 2000); });
        },
        0.75},
};

class RelayFault : public testing::TestWithParam<FaultCase> {};

/* Guards against a task that runs twice: its job was forwarded to another
 * entry, which continues with it after the first has failed and the caller has
 * sent the request again. */
TEST_P(RelayFault, PromisesHold)
{
    check_promises(GetParam(), 0.5);
}

INSTANTIATE_TEST_SUITE_P(
    Served, RelayFault, testing::ValuesIn(relay_faults), name_of);

/* The same under overlapping faults of entries, agents and the links between
 * them. */
TEST(Served, RelayFaultsThatOverlap)
{
    const char *count = getenv("DW_SEEDS");
    uint64_t seeds = count != nullptr ? strtoull(count, nullptr, 10) : 30;

    for (uint64_t seed = 500; seed < 500 + seeds; seed++) {
        World w(seed, 3, AGENTS);

        w.forward_share = 0.5;
        traffic(w, 26000);
        for (int k = 0; k < 40; k++) {
            w.run(100 + w.rng() % 800);
            size_t e = w.rng() % 3;
            size_t other = (e + 1 + w.rng() % 2) % 3;
            size_t a = w.rng() % AGENTS;
            switch (w.rng() % 7) {
            case 0:
                w.freeze_agent(a, 100 + w.rng() % 1500);
                break;
            case 1:
                w.freeze_entry(e, 100 + w.rng() % 1500);
                break;
            case 2:
                w.cut(e, a, w.rng() % 2, w.rng() % 2, w.rng() % 1500);
                break;
            case 3:
                w.drop_entry_messages(e, other, w.rng() % 1500);
                break;
            case 4:
                w.kill_entry(e, 300 + w.rng() % 1000);
                break;
            case 5:
                w.power_off_entry(e, 300 + w.rng() % 1000);
                break;
            default:
                w.kill_agent(a, 300 + w.rng() % 1000);
            }
        }
        w.run(12000);
        EXPECT_EQ(first_violation(w), "") << "seed " << seed;
    }
}

/* Overlapping faults of all kinds, two every 0.2 to 1.1 s, for 20 s.  DW_SEEDS
 * sets the number of seeds, 30 by default; DW_SEED runs a single one. */
TEST(Served, FaultsThatOverlap)
{
    const char *count = getenv("DW_SEEDS");
    const char *single = getenv("DW_SEED");
    uint64_t seeds = count != nullptr ? strtoull(count, nullptr, 10) : 30;
    uint64_t first = 100;

    if (single != nullptr) {
        first = strtoull(single, nullptr, 10);
        seeds = 1;
    }
    for (uint64_t seed = first; seed < first + seeds; seed++) {
        World w(seed, ENTRIES, AGENTS);

        traffic(w, 26000);
        for (int k = 0; k < 30; k++) {
            w.run(200 + w.rng() % 900);
            faults[w.rng() % (sizeof(faults) / sizeof(faults[0]))].inject(w);
            size_t e = w.rng() % ENTRIES;
            size_t a = w.rng() % AGENTS;
            switch (w.rng() % 6) {
            case 0:
                w.freeze_agent(a, 100 + w.rng() % 2000);
                break;
            case 1:
                w.freeze_entry(e, 100 + w.rng() % 2000);
                break;
            case 2:
                w.cut(e, a, w.rng() % 2, w.rng() % 2, w.rng() % 1500);
                break;
            case 3:
                w.kill_agent(a, 300 + w.rng() % 1000);
                break;
            case 4:
                w.kill_entry(e, 300 + w.rng() % 1000);
                break;
            default:
                w.crash_worker(a, w.rng() % 800);
            }
        }
        w.run(12000);
        EXPECT_EQ(first_violation(w), "") << "seed " << seed;
    }
}
