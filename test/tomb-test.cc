/* Jobs that were cancelled at one entry and have to end at all. */
#include <gtest/gtest.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "act.h"
#include "tomb.h"

namespace {

constexpr uint64_t JOB = 7;

struct Net;

struct Entry {
    Net *net;
    uint64_t id;
    std::unique_ptr<tombs> t = std::make_unique<tombs>();
    std::set<uint64_t> running;
    std::set<uint64_t> ended; /* starts nothing of these */
    std::vector<std::pair<uint64_t, tb_result>> answers; /* time, result */
};

/* Entries 1 to n that know each other; messages arrive at once. */
struct Net {
    uint64_t now = 50000;
    std::vector<std::unique_ptr<Entry>> entries;
    std::set<uint64_t> cut; /* entries that hear and say nothing */
    std::vector<bool> lose; /* the next messages: whether it is lost */
    size_t sent = 0;

    explicit Net(size_t n);
    ~Net();
    Entry &
    at(uint64_t id)
    {
        return *entries[id - 1];
    }
    void deliver(Entry *from, uint64_t to, const dw_msg *m);
    void
    run(uint64_t ms)
    {
        for (uint64_t end = now + ms; now < end; now += 10) {
            for (auto &e : entries) {
                tb_flush(e->t.get(), now);
            }
        }
    }
    void
    cancel(uint64_t id, uint64_t job = JOB)
    {
        bool found = at(id).running.erase(job) != 0;

        at(id).ended.insert(job);
        tb_add(at(id).t.get(), now, job);
        tb_settle(at(id).t.get(), now, job, &at(id), found);
    }
};

Entry *
self(void *ctx)
{
    return static_cast<Entry *>(ctx);
}

const tb_ops ops = {[](void *ctx, uint64_t to, const dw_msg *m) {
                        self(ctx)->net->deliver(self(ctx), to, m);
                    },
    [](void *ctx, uint64_t job, uint64_t) {
        self(ctx)->ended.insert(job);
        return self(ctx)->running.erase(job) != 0;
    },
    [](void *ctx, void *, uint64_t, tb_result result) {
        self(ctx)->answers.push_back({self(ctx)->net->now, result});
    }};

Net::Net(size_t n)
{
    for (uint64_t id = 1; id <= n; id++) {
        entries.push_back(std::make_unique<Entry>());
        at(id).net = this;
        at(id).id = id;
        tb_init(at(id).t.get(), &ops, &at(id));
        tb_set_listed(at(id).t.get());
        for (uint64_t other = 1; other <= n; other++) {
            if (other != id) {
                tb_add_entry(at(id).t.get(), other);
            }
        }
    }
}

Net::~Net()
{
    for (auto &e : entries) {
        tb_free(e->t.get());
    }
}

void
Net::deliver(Entry *from, uint64_t to, const dw_msg *m)
{
    dw_msg *copy;

    if (sent < lose.size() && lose[sent++]) {
        return;
    }
    if (cut.count(to) != 0 || cut.count(from->id) != 0) {
        return;
    }
    copy = msg_clone(m);
    if (m->type == DW_TOMBS) {
        tb_receive(at(to).t.get(), now, from->id, &copy->dw_msg_u.tombs);
    }
    else {
        tb_receive_ack(
            at(to).t.get(), now, from->id, &copy->dw_msg_u.tombs_ack);
    }
    msg_free(copy);
}

} // namespace

/* Guards against a task that runs on because its DELETE reached another entry,
 * whatever message gets lost. */
TEST(Tomb, JobIsCancelledFromAnotherEntry)
{
    static const struct {
        const char *name;
        uint64_t runs_at; /* 0: nowhere */
        std::vector<bool> lose;
        std::set<uint64_t> cut;
        tb_result result;
        uint64_t answered_ms; /* at the latest */
    } cases[] = {
        {"at the same entry", 1, {}, {}, TB_STOPPED, 10},
        {"at another", 2, {}, {}, TB_STOPPED, 10},
        {"nowhere", 0, {}, {}, TB_ABSENT, 10},
        {"message lost", 2, {true}, {}, TB_STOPPED, 110},
        {"acknowledgement lost", 2, {false, true}, {}, TB_STOPPED, 110},
        {"twice", 2, {true, false, false, true}, {}, TB_STOPPED, 320},
        {"an entry is cut off", 2, {}, {3}, TB_STOPPED, 510},
        {"its entry is cut off", 2, {}, {2}, TB_UNHEARD, 510},
    };

    for (const auto &c : cases) {
        SCOPED_TRACE(c.name);
        Net net(3);
        uint64_t start = net.now;

        if (c.runs_at != 0) {
            net.at(c.runs_at).running.insert(JOB);
        }
        net.lose = c.lose;
        net.cut = c.cut;
        net.cancel(1);
        net.run(1000);
        ASSERT_EQ(net.at(1).answers.size(), 1U);
        EXPECT_EQ(net.at(1).answers[0].second, c.result);
        EXPECT_LE(net.at(1).answers[0].first, start + c.answered_ms);
        net.cut.clear();
        net.run(1000);
        for (auto &e : net.entries) {
            EXPECT_EQ(e->ended.count(JOB), 1U) << e->id;
            EXPECT_TRUE(e->running.empty()) << e->id;
        }
        /* Nothing is told again once all have acknowledged it. */
        net.lose.assign(1, true);
        net.sent = 0;
        net.run(5000);
        EXPECT_EQ(net.sent, 0U);
    }
}

/* Guards against an answer that waits for an entry that is gone. */
TEST(Tomb, EntriesThatAreGoneAreNotWaitedFor)
{
    Net net(3);

    net.cut = {3};
    tb_entry_absent(net.at(1).t.get(), net.now, 3);
    net.cancel(1);
    net.run(20);
    ASSERT_EQ(net.at(1).answers.size(), 1U);
    EXPECT_EQ(net.at(1).answers[0].second, TB_ABSENT);
    net.cut.clear();
    net.run(1000);
    EXPECT_EQ(net.at(3).ended.count(JOB), 1U);
}

/* Guards against an entry that is never told again, as a connection to it was
 * refused while it lived. */
TEST(Tomb, EntryThatRefusedAConnectionIsToldAndWaitedForAgain)
{
    Net net(2);

    net.cut = {2};
    tb_entry_dead(net.at(1).t.get(), 2);
    net.cancel(1);
    net.run(20);
    ASSERT_EQ(net.at(1).answers.size(), 1U);
    EXPECT_EQ(net.at(1).answers[0].second, TB_ABSENT);
    net.cut.clear();
    net.run(2 * TB_KEEP_MS);
    net.at(2).running.insert(2 * JOB);
    net.cancel(1, 2 * JOB);
    net.run(20);
    ASSERT_EQ(net.at(1).answers.size(), 2U);
    EXPECT_EQ(net.at(1).answers[1].second, TB_STOPPED);
}

/* Guards against a tombstone that is dropped at once and told to nobody: its
 * request was read after the time of this pass of the loop was taken. */
TEST(Tomb, TimeOfAPassMayBeBeforeThatOfARequest)
{
    Net net(2);
    tombs *t = net.at(1).t.get();

    net.at(2).running.insert(JOB);
    net.now++;
    net.cancel(1);
    tb_entry_absent(t, net.now, 2);
    tb_flush(t, net.now - 1);
    net.run(20);
    ASSERT_EQ(net.at(1).answers.size(), 1U);
    EXPECT_EQ(net.at(1).answers[0].second, TB_STOPPED);
}

/* Guards against an entry that answers for others before it knows which there
 * are. */
TEST(Tomb, NothingIsSettledBeforeTheEntriesAreListed)
{
    Net net(2);
    tombs *t = net.at(1).t.get();

    tb_free(t);
    tb_init(t, &ops, &net.at(1));
    net.at(2).running.insert(JOB);
    net.cancel(1);
    net.run(100);
    EXPECT_TRUE(net.at(1).answers.empty());
    tb_add_entry(t, 2);
    tb_set_listed(t);
    net.run(10);
    ASSERT_EQ(net.at(1).answers.size(), 1U);
    EXPECT_EQ(net.at(1).answers[0].second, TB_STOPPED);
}

/* Guards against tombstones that are skipped while many messages get lost, and
 * against more than TB_WINDOW under way to an entry that is not heard. */
TEST(Tomb, ManyTombstonesAllArrive)
{
    Net net(2);
    size_t n = 1000;

    for (uint64_t i = 0; i < 400; i++) {
        net.lose.push_back(i * 2654435761U % 8 < 3);
    }
    for (uint64_t job = 1; job <= n; job++) {
        tb_add(net.at(1).t.get(), net.now, job);
    }
    net.run(15000);
    EXPECT_EQ(net.at(2).ended.size(), n);

    net.lose.assign(100, true);
    net.sent = 0;
    for (uint64_t job = 1; job <= n; job++) {
        tb_add(net.at(1).t.get(), net.now, 2 * n + job);
    }
    net.run(20);
    EXPECT_EQ(net.sent, 4U);
}
