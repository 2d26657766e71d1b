/*
 * Properties over random interleavings: RapidCheck draws a script of faults
 * and load, which several nodes run in one process.  RC_PARAMS sets another
 * seed or more runs; the seed of a failure is printed.
 *
 * Guard tests: with one safeguard disabled, the same property must fail.
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
    STORE_DOWN,
    STORE_LOSES,
    DOMAIN_OUT,
    BACKEND_LEAVES,
    KINDS
};

struct Fault {
    int kind;
    uint64_t at;       /* ms after the load started */
    size_t target;     /* index of the process, modulo their number */
    size_t peer;       /* of its peer, the same way */
    uint64_t duration; /* ms */
};

void
showValue(const Fault &fault, std::ostream &os)
{
    os << "{kind " << fault.kind << " at " << fault.at << " target "
       << fault.target << " peer " << fault.peer << " for " << fault.duration
       << "}";
}

std::ostream &
operator<<(std::ostream &os, const Fault &fault)
{
    showValue(fault, os);
    return os;
}

rc::Gen<Fault>
random_fault()
{
    return rc::gen::build<Fault>(
        rc::gen::set(&Fault::kind, rc::gen::inRange<int>(0, KINDS)),
        rc::gen::set(&Fault::at, rc::gen::inRange<uint64_t>(0, 8000)),
        rc::gen::set(&Fault::target, rc::gen::inRange<size_t>(0, 8)),
        rc::gen::set(&Fault::peer, rc::gen::inRange<size_t>(0, 8)),
        rc::gen::set(
            &Fault::duration, rc::gen::inRange<uint64_t>(200, 20000)));
}

void
inject(Fleet &f, const Fault &fault)
{
    size_t n = f.procs.size();
    size_t target = fault.target % n;
    size_t peer = fault.peer % n;
    Proc &p = *f.procs[target];

    if (!p.up) {
        return;
    }
    switch (fault.kind) {
    case CRASH:
        f.crash(target);
        f.at(fault.duration, [&f, target] { f.restart(target); });
        break;
    case RESTART:
        f.restart(target);
        break;
    case PAUSE:
        f.pause(target, fault.duration);
        break;
    case LEAVE:
        f.leave(target);
        break;
    case CUT:
        f.cut(target, peer);
        f.at(fault.duration,
            [&f, target, peer] { f.cut(target, peer, false); });
        break;
    case CUT_OFF:
        f.cut_off(target);
        p.store_unreachable = fault.peer % 2 == 0;
        f.at(fault.duration, [&f, target] {
            f.cut_off(target, false);
            f.procs[target]->store_unreachable = false;
        });
        break;
    case STORE_DOWN:
        f.store.down = true;
        f.at(fault.duration, [&f] { f.store.down = false; });
        break;
    case STORE_LOSES:
        f.store.answer_loss_rate = 0.5;
        f.at(fault.duration, [&f] { f.store.answer_loss_rate = 0; });
        break;
    case DOMAIN_OUT:
        f.domain(p.domain, false);
        f.at(fault.duration,
            [&f, target] { f.domain(f.procs[target]->domain, true); });
        break;
    case BACKEND_LEAVES:
        if (target >= f.entries()) {
            f.backend_leave(target);
        }
        break;
    default:
        break;
    }
}

void
load(Fleet &f, int jobs, uint64_t gap_ms)
{
    for (int i = 0; i < jobs; i++) {
        f.at((uint64_t)i * gap_ms, [&f, i] {
            std::string key = "k" + std::to_string(i);

            f.submit(i % 2, "one", key, 1 + i % 5, 40 + i % 7 * 60, 12000);
        });
        /* Callers stop waiting and resubmit through another entry. */
        if (i % 2 == 0) {
            f.at((uint64_t)i * gap_ms + 200 + i % 5 * 700, [&f, i] {
                f.submit((i + 1) % 2, "one", "k" + std::to_string(i),
                    1 + i % 5, 40 + i % 7 * 60, 12000);
            });
        }
    }
}

/* The safeguards that are disabled. */
struct Disabled {
    bool epoch = false;
    bool fence = false;
    bool records = false;
};

/* Runs a script; returns the violations found. */
std::string
run_script(uint64_t seed, const std::vector<Fault> &script, double loss,
    const Disabled &disabled)
{
    Fleet f(seed);

    f.configure = [&disabled](node_cfg &c) {
        c.own.no_fence = disabled.fence;
        if (disabled.fence) {
            c.own.quiet_ms = 0;
        }
        c.host.no_epochs = disabled.epoch;
        c.host.no_records = disabled.records;
    };
    if (!f.settle()) {
        return "the fleet does not settle";
    }
    f.contract("one");
    f.run(4000);
    f.net.loss_rate = loss;
    f.net.repeat_rate = loss;
    f.net.delay_rate = loss;
    load(f, 50, 100);
    for (auto &fault : script) {
        f.at(fault.at, [&f, fault] { inject(f, fault); });
    }
    f.run(9000);
    f.net.loss_rate = 0;
    f.net.repeat_rate = 0;
    f.net.delay_rate = 0;
    f.run(40000);
    f.check();
    return f.violations_text();
}

int
runs()
{
    const char *v = getenv("PROPERTY_RUNS");

    return v != nullptr ? atoi(v) : 60;
}

/* The Makefile fixes RapidCheck's seed, so that the result is the same every
 * time. */
TEST(Property, PromisesHoldUnderRandomFaults)
{
    rc::detail::TestParams params = rc::detail::configuration().testParams;

    params.maxSuccess = runs();
    params.maxSize = 8;
    auto result = rc::detail::checkTestable(
        [](uint64_t seed) {
            auto script = *rc::gen::container<std::vector<Fault>>(
                *rc::gen::inRange<size_t>(0, 5), random_fault());
            int loss = *rc::gen::element(0, 0, 1, 10);

            RC_ASSERT(
                run_script(seed, script, loss / 100.0, Disabled()) == "");
        },
        rc::detail::TestMetadata(), params);
    rc::detail::printResultMessage(result, std::cerr);
    std::cerr << std::endl;
    EXPECT_TRUE(result.is<rc::detail::SuccessResult>());
}

/* Pauses an agent for long enough that its partitions are taken over, and
 * meanwhile another one.  Without fences this must fail. */
std::vector<Fault>
takeover_script(uint64_t seed)
{
    size_t target = 2 + seed % 6;

    return {Fault{PAUSE, 1500, target, 0, 4000 + seed % 5 * 1000},
        Fault{PAUSE, 1600, 2 + (seed + 1) % 6, 0, 3000}};
}

/* Number of seeds with which the script gives this violation. */
size_t
failures(const Disabled &disabled, std::vector<Fault> (*script)(uint64_t),
    const char *violation)
{
    size_t n = 0;

    for (uint64_t seed = 1; seed <= 12; seed++) {
        std::string got = run_script(seed, script(seed), 0.05, disabled);

        n += got.find(violation) != std::string::npos;
    }
    return n;
}

std::vector<Fault>
no_script(uint64_t)
{
    return {};
}

/* An owner and a host of one failure domain are cut off together during a long
 * job, and the domain is withdrawn.  Neither learns of it.  Without the
 * freshness gate the owner continues to offer and the host to start tasks. */
std::string
isolated_domain(uint64_t seed, bool gate)
{
    Fleet f(seed);

    f.after_input = [gate](Proc &p) { p.n.bypass_freshness = !gate; };
    EXPECT_TRUE(f.settle());
    f.contract("one");
    f.run(4000);
    f.submit(0, "one", "long", 400, 500, 60000);
    f.run(300);

    size_t owner = f.index_of(*f.proc_of(f.owner_of("one", "long")));
    size_t host = owner - 2 < 3 ? owner + 3 : owner - 3;

    for (size_t i : {owner, host}) {
        f.cut_off(i);
        f.procs[i]->store_unreachable = true;
    }
    f.cut(owner, host, false);
    f.domain(f.procs[owner]->domain, false);
    f.run(20000);
    return f.violations_text();
}

TEST(Guard, FreshnessGate)
{
    for (uint64_t seed = 1; seed <= 4; seed++) {
        EXPECT_EQ(isolated_domain(seed, true), "") << "seed " << seed;
        EXPECT_NE(isolated_domain(seed, false).find("after it was withdrawn"),
            std::string::npos)
            << "seed " << seed;
    }
}

/* Messages are repeated and replies lost.  Without start records a host
 * treats the second copy of an offer as a new task. */
TEST(Guard, StartRecords)
{
    Disabled disabled;

    disabled.records = true;
    EXPECT_EQ(failures(Disabled(), no_script, "started twice"), 0U);
    EXPECT_GT(failures(disabled, no_script, "started twice"), 0U);
}

/* All slots are busy, so a job waits at its owner and no host has a record of
 * it.  The owner is paused, its partitions are taken over, the caller
 * resubmits and the new owner admits the job as new.  Then the old owner
 * resumes.  Without epochs hosts accept its offer, too. */
std::string
waiting_duplicate(uint64_t seed, bool epochs)
{
    Fleet f(seed);
    int filled = 0;
    int duplicates = 0;

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
    for (int i = 0; duplicates < 10; i++) {
        std::string key = "twin" + std::to_string(i);

        if (f.owner_of("one", key) == old_owner.n.self) {
            f.submit(0, "one", key, 1, 300, 60000);
            f.at(7000, [&f, key] { f.submit(1, "one", key, 1, 300, 60000); });
            duplicates++;
        }
    }
    f.run(200);
    f.pause(f.index_of(old_owner), 11000);
    f.run(60000);
    f.check();
    return f.violations_text();
}

TEST(Guard, Epochs)
{
    size_t violations = 0;

    for (uint64_t seed = 1; seed <= 6; seed++) {
        EXPECT_EQ(waiting_duplicate(seed, true), "") << "seed " << seed;
        violations += waiting_duplicate(seed, false).find("started twice") !=
                      std::string::npos;
    }
    EXPECT_GT(violations, 0U);
}

/* An owner is paused, its partitions are taken over, callers resubmit.
 * Without fences and their replies the new owner does not know what the old
 * one has started, and starts it again. */
TEST(Guard, Fences)
{
    Disabled disabled;

    disabled.fence = true;
    EXPECT_EQ(failures(Disabled(), takeover_script, "started twice"), 0U);
    EXPECT_GT(failures(disabled, takeover_script, "started twice"), 0U);
}

} // namespace
