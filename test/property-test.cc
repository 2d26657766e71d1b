/*
 * Properties over random interleavings: RapidCheck draws a script of faults
 * and load, several nodes run it in one process.  RC_PARAMS gives another
 * seed or more runs; the seed of a failure is printed.
 *
 * Guards: with one safeguard taken out, the same property must fail.
 */
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstring>

#include "fleet.hh"

namespace {

enum Kind {
    CRASH,
    RESTART,
    PAUSE,
    LEAVE,
    CUT,
    CUT_OFF,
    STORE_UNREACHABLE,
    STORE_LOSES,
    DOMAIN_OUT,
    BACKEND_LEAVES,
    KINDS
};

struct Blow {
    int kind;
    uint64_t at;
    size_t who;
    size_t whom;
    uint64_t length;
};

void
showValue(const Blow &b, std::ostream &os)
{
    os << "{kind " << b.kind << " at " << b.at << " who " << b.who << " whom "
       << b.whom << " for " << b.length << "}";
}

std::ostream &
operator<<(std::ostream &os, const Blow &b)
{
    showValue(b, os);
    return os;
}

rc::Gen<Blow>
blows()
{
    return rc::gen::build<Blow>(
        rc::gen::set(&Blow::kind, rc::gen::inRange<int>(0, KINDS)),
        rc::gen::set(&Blow::at, rc::gen::inRange<uint64_t>(0, 8000)),
        rc::gen::set(&Blow::who, rc::gen::inRange<size_t>(0, 8)),
        rc::gen::set(&Blow::whom, rc::gen::inRange<size_t>(0, 8)),
        rc::gen::set(&Blow::length, rc::gen::inRange<uint64_t>(200, 20000)));
}

void
strike(Fleet &f, const Blow &b)
{
    size_t n = f.procs.size();
    size_t who = b.who % n;
    size_t whom = b.whom % n;
    Proc &p = *f.procs[who];

    if (!p.up) {
        return;
    }
    switch (b.kind) {
    case CRASH:
        f.crash(who);
        f.at(b.length, [&f, who] { f.restart(who); });
        break;
    case RESTART:
        f.restart(who);
        break;
    case PAUSE:
        f.pause(who, b.length);
        break;
    case LEAVE:
        f.leave(who);
        break;
    case CUT:
        f.cut(who, whom);
        f.at(b.length, [&f, who, whom] { f.cut(who, whom, false); });
        break;
    case CUT_OFF:
        f.cut_off(who);
        p.store_cut = b.whom % 2 == 0;
        f.at(b.length, [&f, who] {
            f.cut_off(who, false);
            f.procs[who]->store_cut = false;
        });
        break;
    case STORE_UNREACHABLE:
        f.store.down = true;
        f.at(b.length, [&f] { f.store.down = false; });
        break;
    case STORE_LOSES:
        f.store.lose = 0.5;
        f.at(b.length, [&f] { f.store.lose = 0; });
        break;
    case DOMAIN_OUT:
        f.domain(p.domain, false);
        f.at(b.length, [&f, who] { f.domain(f.procs[who]->domain, true); });
        break;
    case BACKEND_LEAVES:
        if (who >= f.entries()) {
            f.backend_leave(who);
        }
        break;
    default:
        break;
    }
}

void
load(Fleet &f, int jobs, uint64_t gap)
{
    for (int i = 0; i < jobs; i++) {
        f.at((uint64_t)i * gap, [&f, i] {
            std::string key = "k" + std::to_string(i);

            f.submit(i % 2, "one", key, 1 + i % 5, 40 + i % 7 * 60, 12000);
        });
        /* Callers give up waiting and ask another entry. */
        if (i % 2 == 0) {
            f.at((uint64_t)i * gap + 200 + i % 5 * 700, [&f, i] {
                f.submit((i + 1) % 2, "one", "k" + std::to_string(i),
                    1 + i % 5, 40 + i % 7 * 60, 12000);
            });
        }
    }
}

/* What the guards' tests take out. */
struct Without {
    bool epoch = false;
    bool fence = false;
    bool records = false;
};

/* Run a script; returns the breaches found. */
std::string
outcome(uint64_t seed, const std::vector<Blow> &script, double loss,
    const Without &without)
{
    Fleet f(seed);

    f.configure = [&without](node_cfg &c) {
        c.own.no_fence = without.fence;
        if (without.fence) {
            c.own.quiet_ms = 0;
        }
        c.host.no_epochs = without.epoch;
        c.host.no_records = without.records;
    };
    if (!f.settle()) {
        return "the fleet does not settle";
    }
    f.contract("one");
    f.run(4000);
    f.net.loss = loss;
    f.net.repeat = loss;
    f.net.late = loss;
    load(f, 50, 100);
    for (auto &b : script) {
        f.at(b.at, [&f, b] { strike(f, b); });
    }
    f.run(9000);
    f.net.loss = 0;
    f.net.repeat = 0;
    f.net.late = 0;
    f.run(40000);
    f.check();
    return f.faults_text();
}

int
runs()
{
    const char *v = getenv("PROPERTY_RUNS");

    return v != nullptr ? atoi(v) : 60;
}

/* Draw scripts from fixed seeds; RapidCheck's own seed is fixed by the
 * Makefile, so that a verdict is the same every time. */
TEST(Property, PromisesHoldUnderRandomFaults)
{
    rc::detail::TestParams params = rc::detail::configuration().testParams;

    params.maxSuccess = runs();
    params.maxSize = 8;
    auto result = rc::detail::checkTestable(
        [](uint64_t seed) {
            auto script = *rc::gen::container<std::vector<Blow>>(
                *rc::gen::inRange<size_t>(0, 5), blows());
            int loss = *rc::gen::element(0, 0, 1, 10);

            RC_ASSERT(outcome(seed, script, loss / 100.0, Without()) == "");
        },
        rc::detail::TestMetadata(), params);
    rc::detail::printResultMessage(result, std::cerr);
    std::cerr << std::endl;
    EXPECT_TRUE(result.is<rc::detail::SuccessResult>());
}

/* Scripts in which each safeguard matters; without it they must fail. */
std::vector<Blow>
takeover_script(uint64_t seed)
{
    size_t who = 2 + seed % 6;

    return {Blow{PAUSE, 1500, who, 0, 4000 + seed % 5 * 1000},
        Blow{PAUSE, 1600, 2 + (seed + 1) % 6, 0, 3000}};
}

size_t
failures(const Without &without, std::vector<Blow> (*script)(uint64_t),
    const char *breach)
{
    size_t n = 0;

    for (uint64_t seed = 1; seed <= 12; seed++) {
        std::string got = outcome(seed, script(seed), 0.05, without);

        n += got.find(breach) != std::string::npos;
    }
    return n;
}

std::vector<Blow>
no_script(uint64_t)
{
    return {};
}

/* An owner and a host of one failure domain are cut off together, with a
 * long job under way, as the domain is taken out.  Neither hears of it.
 * Without the freshness gate the owner offers and the host starts on. */
std::string
isolated_domain(uint64_t seed, bool gate)
{
    Fleet f(seed);

    f.watch = [gate](Proc &p) { p.n.bypass_gate = !gate; };
    EXPECT_TRUE(f.settle());
    f.contract("one");
    f.run(4000);
    f.submit(0, "one", "long", 400, 500, 60000);
    f.run(300);

    size_t owner = f.index_of(*f.proc_of(f.owner_of("one", "long")));
    size_t partner = owner - 2 < 3 ? owner + 3 : owner - 3;

    for (size_t i : {owner, partner}) {
        f.cut_off(i);
        f.procs[i]->store_cut = true;
    }
    f.cut(owner, partner, false);
    f.domain(f.procs[owner]->domain, false);
    f.run(20000);
    return f.faults_text();
}

TEST(Guard, FreshnessGate)
{
    for (uint64_t seed = 1; seed <= 4; seed++) {
        EXPECT_EQ(isolated_domain(seed, true), "") << "seed " << seed;
        EXPECT_NE(
            isolated_domain(seed, false).find("taken out"), std::string::npos)
            << "seed " << seed;
    }
}

/* Messages are repeated and replies lost.  Without start records a host
 * takes the second copy of an offer for a new task. */
TEST(Guard, StartRecords)
{
    Without records;

    records.records = true;
    EXPECT_EQ(failures(Without(), no_script, "started twice"), 0U);
    EXPECT_GT(failures(records, no_script, "started twice"), 0U);
}

/* All slots are busy, so a job waits at its owner and no host has a record
 * of it.  The owner is paused, its partitions are taken over, the caller asks
 * again and the new owner takes the job for new.  Then the old owner goes on.
 * Without epochs hosts take its offer, too. */
std::string
waiting_twin(uint64_t seed, bool epochs)
{
    Fleet f(seed);
    int filled = 0;
    int twins = 0;

    f.configure = [epochs](node_cfg &c) { c.host.no_epochs = !epochs; };
    EXPECT_TRUE(f.settle());
    f.contract("one");
    f.run(6000);
    Proc &old_owner = f.agent(seed % 6);

    for (int i = 0; filled < 20; i++) {
        std::string key = "fill" + std::to_string(i);

        if (f.owner_of("one", key) != old_owner.n.self) {
            f.submit(0, "one", key, 6, 14000, 60000);
            filled++;
        }
    }
    f.run(500);
    for (int i = 0; twins < 10; i++) {
        std::string key = "twin" + std::to_string(i);

        if (f.owner_of("one", key) == old_owner.n.self) {
            f.submit(0, "one", key, 1, 300, 60000);
            f.at(7000, [&f, key] { f.submit(1, "one", key, 1, 300, 60000); });
            twins++;
        }
    }
    f.run(200);
    f.pause(f.index_of(old_owner), 11000);
    f.run(60000);
    f.check();
    return f.faults_text();
}

TEST(Guard, Epochs)
{
    size_t breaches = 0;

    for (uint64_t seed = 1; seed <= 6; seed++) {
        EXPECT_EQ(waiting_twin(seed, true), "") << "seed " << seed;
        breaches += waiting_twin(seed, false).find("started twice") !=
                    std::string::npos;
    }
    EXPECT_GT(breaches, 0U);
}

/* An owner is paused, its partitions are taken over, callers ask again.
 * Without fences and their answers the new owner knows nothing of what the
 * old one has started, and starts it again. */
TEST(Guard, Fences)
{
    Without fence;

    fence.fence = true;
    EXPECT_EQ(failures(Without(), takeover_script, "started twice"), 0U);
    EXPECT_GT(failures(fence, takeover_script, "started twice"), 0U);
}

} // namespace
