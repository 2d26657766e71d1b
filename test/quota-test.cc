/*
 * The shares that entries hold never sum above the contract, also if messages
 * are lost, late or repeated.
 */
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstring>
#include <map>
#include <memory>
#include <random>

#include "quota.h"

namespace {

quota_cfg
config()
{
    return quota_cfg{.valid_ms = 10000,
        .renew_ms = 1000,
        .settle_ms = 3500,
        .slot_hold_ms = 60000,
        .wait_ms = 1000};
}

contract
limits(uint32_t rate, uint32_t burst, uint32_t running)
{
    contract c = {};

    strcpy(c.customer, "one");
    c.rate = rate;
    c.burst = burst;
    c.running = running;
    c.queued = 2 * running;
    return c;
}

uint64_t
lender_of(void *, struct str)
{
    return 100;
}

/* One lender and some entries, connected by a network that may lose, repeat
 * and delay messages. */
struct Bench {
    quota_lender lender;
    std::vector<quota_accounts> entries;
    contract c;
    uint64_t now = 1000000;
    std::mt19937_64 random;
    double loss = 0; /* probability, also of a repeat */
    std::multimap<uint64_t, std::pair<uint64_t, dw_msg *>> network;

    Bench(uint64_t seed, size_t n, const contract &limit)
        : entries(n), c(limit), random(seed)
    {
        quota_cfg cfg = config();

        quota_lender_init(&lender, &cfg);
        for (auto &e : entries) {
            quota_accounts_init(&e, &cfg);
        }
    }

    ~Bench()
    {
        for (auto &message : network) {
            msg_free(message.second.second);
        }
        quota_lender_free(&lender);
        for (auto &e : entries) {
            quota_accounts_free(&e);
        }
    }

    void
    send(acts *as, uint64_t from)
    {
        act *a;

        while ((a = acts_take(as)) != nullptr) {
            int copies = (random() % 1000 < loss * 1000)   ? 0
                         : (random() % 1000 < loss * 1000) ? 2
                                                           : 1;
            for (int i = 0; i < copies; i++) {
                uint64_t delay_ms = loss > 0 && random() % 10 == 0
                                        ? random() % 3000
                                        : 1 + random() % 3;
                uint64_t peer = a->to == 100 ? from : a->to;

                network.insert({now + delay_ms, {peer, msg_clone(a->msg)}});
            }
            act_free(a);
        }
    }

    void
    deliver(uint64_t peer, dw_msg *m)
    {
        acts as;

        acts_init(&as);
        if (m->type == DW_BORROW) {
            quota_borrow(
                &lender, now, peer, &c, true, &m->dw_msg_u.borrow, &as);
        }
        else {
            quota_loan_reply(&entries[peer], now, 100, &m->dw_msg_u.lent);
        }
        send(&as, peer);
        msg_free(m);
    }

    void
    step()
    {
        now++;
        while (!network.empty() && network.begin()->first <= now) {
            auto message = network.begin()->second;

            network.erase(network.begin());
            deliver(message.first, message.second);
        }
        for (size_t i = 0; i < entries.size() && now % 10 == 0; i++) {
            acts as;

            acts_init(&as);
            quota_accounts_tick(&entries[i], now, lender_of, nullptr, &as);
            send(&as, i);
        }
    }

    quota_verdict
    acquire(size_t i, uint32_t tasks, quota_charge *charge)
    {
        uint32_t retry = 0;
        acts as;
        quota_verdict v;

        acts_init(&as);
        v = quota_acquire(
            &entries[i], now, STR("one"), 100, tasks, charge, &retry, &as);
        send(&as, i);
        return v;
    }
};

/* A limiter without reservations: it reads the counter, decides, and writes it
 * a round trip later.  Returns the attempts that pass. */
size_t
passed_by_shared_counter(size_t attempts, uint32_t limit)
{
    uint32_t counter = 0;
    std::vector<uint32_t> read(attempts);
    size_t passed = 0;

    for (auto &r : read) {
        r = counter;
    }
    for (auto &r : read) {
        if (r < limit) {
            counter++;
            passed++;
        }
    }
    return passed;
}

/* Guards against a limiter whose check races with its update: fifty attempts
 * at the same instant, spread over five entries.  A shared counter lets them
 * all pass, because each reads it before any writes it. */
TEST(Quota, FiftyAtOnceAgainstALimitOfFive)
{
    Bench b(1, 5, limits(1, 5, 100));
    size_t passed = 0;
    std::vector<int> waiting(50, 1);

    EXPECT_EQ(passed_by_shared_counter(50, 5), 50U);
    for (int ms = 0; ms < 900; ms++) {
        for (size_t i = 0; i < 50; i++) {
            quota_charge charge;

            if (waiting[i] == 0) {
                continue;
            }
            quota_verdict v = b.acquire(i % 5, 1, &charge);

            waiting[i] = v == QUOTA_WAIT;
            passed += v == QUOTA_OK;
        }
        b.step();
    }
    EXPECT_EQ(passed, 5U);
}

/* All or nothing: a job over one limit is not charged to the others. */
TEST(Quota, ARefusedAttemptCostsNothing)
{
    Bench b(2, 1, limits(1, 100, 10));
    quota_charge charge = {};
    size_t ok = 0;

    for (int ms = 0; ms < 1000; ms++) {
        EXPECT_NE(b.acquire(0, 31, &charge), QUOTA_OK); /* pending allows 30 */
        b.step();
    }
    for (int ms = 0; ms < 400 && ok == 0; ms++) {
        ok += b.acquire(0, 30, &charge) == QUOTA_OK;
        b.step();
    }
    EXPECT_EQ(ok, 1U);
}

/* A job answered "not run" returns its starts. */
TEST(Quota, RefundsAreSpentAgain)
{
    Bench b(3, 1, limits(1, 10, 1000));
    size_t passed = 0;

    for (int ms = 0; ms < 2000; ms++) {
        quota_charge charge = {};

        if (b.acquire(0, 10, &charge) == QUOTA_OK) {
            quota_release(&b.entries[0], b.now, STR("one"), &charge, true);
            passed++;
        }
        b.step();
    }
    EXPECT_GT(passed, 40U);
}

struct Job {
    uint64_t end;
    size_t entry;
    quota_charge charge;
};

/* Random jobs over a network that loses, repeats and delays; returns the limit
 * that was exceeded, or "". */
std::string
exceeded(uint64_t seed, double loss, uint32_t rate, uint32_t burst,
    uint32_t running)
{
    Bench b(seed, 4, limits(rate, burst, running));
    std::vector<Job> jobs;
    uint64_t started = 0;
    uint64_t begin = b.now;
    uint64_t used = 0;

    b.loss = loss;
    for (int ms = 0; ms < 12000; ms++) {
        for (size_t k = 0; k < jobs.size();) {
            if (jobs[k].end > b.now) {
                k++;
                continue;
            }
            used -= jobs[k].charge.running;
            quota_release(&b.entries[jobs[k].entry], b.now, STR("one"),
                &jobs[k].charge, false);
            jobs[k] = jobs.back();
            jobs.pop_back();
        }
        if (b.random() % 3 == 0) {
            size_t i = b.random() % 4;
            quota_charge charge = {};

            if (b.acquire(i, 1 + b.random() % 6, &charge) == QUOTA_OK) {
                started += charge.starts;
                used += charge.running;
                jobs.push_back(Job{b.now + 20 + b.random() % 200, i, charge});
            }
        }
        if (used > running) {
            return "more running than the contract allows";
        }
        if (started > burst + rate * (b.now - begin) / 1000 + 1) {
            return "more starts than the contract allows";
        }
        dw_share sum;

        quota_loan_sum(&b.lender, STR("one"), &sum);
        if (sum.rate > (uint64_t)rate * 1000 || sum.burst > burst ||
            sum.running > running) {
            return "more on loan than the contract allows";
        }
        b.step();
    }
    return started > 0 ? "" : "nothing was ever started";
}

TEST(Quota, NeverAboveTheContract)
{
    rc::detail::TestParams params = rc::detail::configuration().testParams;

    params.maxSuccess = 40;
    auto result = rc::detail::checkTestable(
        [](uint64_t seed) {
            double loss = *rc::gen::inRange(0, 30) / 100.0;
            uint32_t rate = *rc::gen::inRange<uint32_t>(1, 300);
            uint32_t burst = *rc::gen::inRange<uint32_t>(6, 100);
            uint32_t running = *rc::gen::inRange<uint32_t>(3, 60);

            RC_ASSERT(exceeded(seed, loss, rate, burst, running) == "");
        },
        rc::detail::TestMetadata(), params);
    rc::detail::printResultMessage(result, std::cerr);
    std::cerr << std::endl;
    EXPECT_TRUE(result.is<rc::detail::SuccessResult>());
}

} // namespace
