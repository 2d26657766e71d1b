/*
 * Faults after which an entry places tasks again, or a caller sends a job
 * again, while an earlier run may be at work.  No task may run twice at a
 * time, and "not run" must be true.
 */
#include <gtest/gtest.h>

#include <cstdlib>

#include "world.hh"

namespace {

constexpr size_t ENTRIES = 3;
constexpr size_t AGENTS = 4;

void
for_a_while(World &w, double FakeWorker::*share, double value, uint64_t ms)
{
    for (auto &f : w.workers) {
        (*f).*share = value;
    }
    w.after(ms, [&w, share] {
        for (auto &f : w.workers) {
            (*f).*share = 0;
        }
    });
}

size_t
some(World &w, size_t n)
{
    return w.rng() % n;
}

void
refused_while_alive(World &w)
{
    w.refuse_connection(some(w, ENTRIES), some(w, AGENTS));
}

/* A packet filter: the connection is refused and nothing passes. */
void
refused_and_cut(World &w)
{
    size_t e = some(w, ENTRIES);
    size_t a = some(w, AGENTS);

    w.cut(e, a, true, true, 300 + w.rng() % 1500);
    w.after(
        w.rng() % SESS_LEASE_MS, [&w, e, a] { w.refuse_connection(e, a); });
}

/* The lease of a session ends while its agent stands still. */
void
agent_pauses_at_the_lease(World &w)
{
    size_t a = some(w, AGENTS);

    w.cut(some(w, ENTRIES), a, true, true, 300 + w.rng() % 1500);
    w.after(100 + w.rng() % SESS_LEASE_MS,
        [&w, a] { w.freeze_agent(a, 50 + w.rng() % 300); });
}

/* Messages are lost for longer or shorter than the lease. */
void
sessions_reopen(World &w)
{
    w.cut(some(w, ENTRIES), some(w, AGENTS), w.rng() % 2, w.rng() % 2,
        w.rng() % (2 * SESS_LEASE_MS));
}

void
entry_pauses(World &w)
{
    w.freeze_entry(some(w, ENTRIES), 50 + w.rng() % 1200);
}

/* The callers have gone when it continues, but it is not told. */
void
entry_pauses_and_is_lost(World &w)
{
    size_t e = some(w, ENTRIES);
    uint64_t ms = SESS_LEASE_MS + w.rng() % 700;

    if (!w.entries[e]->up || w.now < w.entries[e]->frozen_until) {
        return;
    }
    w.freeze_entry(e, ms);
    w.break_callers(e, 1300, false, false);
    w.after(ms + 5 + w.rng() % 100, [&w, e] { w.power_off_entry(e, 500); });
}

void
stops_lost(World &w)
{
    for_a_while(w, &FakeWorker::lost_stop_share, 0.5 + 0.5 * w.chance(), 600);
}

void
starts_refused(World &w)
{
    for_a_while(w, &FakeWorker::refusal_share, 0.5 * w.chance(), 600);
}

void
messages_doubled_and_late(World &w)
{
    w.doubled_messages = 0.2;
    w.late_messages = 0.1;
    w.after(900, [&w] { w.doubled_messages = w.late_messages = 0; });
}

void
callers_send_again(World &w)
{
    w.break_callers(some(w, ENTRIES), 1300);
}

/* Something else holds the socket open, or the close is lost. */
void
callers_leave_unseen(World &w)
{
    w.break_callers(some(w, ENTRIES), 1300, false, false);
}

/* For less than the time after which callers send a job again, less the age at
 * which it is announced. */
void
entries_lose_messages(World &w)
{
    size_t from = some(w, ENTRIES);

    w.drop_entry_messages(
        from, (from + 1 + some(w, ENTRIES - 1)) % ENTRIES, w.rng() % 600);
}

/* A proxy or a client library repeats requests by itself. */
void
callers_repeat_at_once(World &w)
{
    w.break_callers(some(w, ENTRIES), 1, true);
}

void
none(World &)
{
}

/* An entry that stands still learns late that its callers have gone; its first
 * messages after that are lost, and a worker's stops stay unanswered while its
 * polls are answered. */
void
late_break_and_stops_lost(World &w)
{
    size_t e = some(w, ENTRIES);
    size_t a = some(w, AGENTS);
    uint64_t ms = 100 + w.rng() % 250;

    w.workers[a]->lost_stop_share = 1;
    w.freeze_entry(e, ms);
    w.break_callers(e, 1300);
    w.after(
        ms - 5, [&w, e, a] { w.cut(e, a, true, false, 10 + w.rng() % 60); });
    w.after(1600, [&w, a] { w.workers[a]->lost_stop_share = 0; });
}

/* Each pause is too short to be noticed; callers leave in either, which the
 * entry reads at its end, or is lost before it does. */
void
entry_pauses_twice(World &w)
{
    size_t e = some(w, ENTRIES);
    uint64_t first_ms = 100 + w.rng() % (CO_MAX_PAUSE_MS - 120);
    uint64_t second_ms = 100 + w.rng() % (CO_MAX_PAUSE_MS - 120);
    uint64_t both_ms = first_ms + 1 + second_ms;

    w.freeze_entry(e, first_ms);
    w.after(first_ms + 1 + w.rng() % 25,
        [&w, e, second_ms] { w.freeze_entry(e, second_ms); });
    w.after(w.rng() % both_ms, [&w, e] { w.break_callers(e, 1300); });
    if (w.rng() % 2) {
        w.after(
            both_ms + w.rng() % 50, [&w, e] { w.power_off_entry(e, 500); });
    }
}

/* An entry stands still between its check for a pause and placing tasks. */
void
entry_pauses_mid_pass(World &w)
{
    size_t e = some(w, ENTRIES);

    w.submit(8, 700);
    w.freeze_entry(e, 50 + w.rng() % 1800, true);
    w.break_callers(e, 1300);
}

/* The entry hears neither its agents nor that its callers have gone; or no
 * other entry either. */
void
cut_off(World &w, bool from_entries)
{
    size_t e = some(w, ENTRIES);
    uint64_t ms = 2 * SESS_LEASE_MS + w.rng() % 1500;

    if (!w.dropped_links.empty()) {
        return;
    }
    for (size_t a = 0; a < AGENTS; a++) {
        w.cut(e, a, true, true, ms);
    }
    for (size_t other = 0; from_entries && other < ENTRIES; other++) {
        if (other != e) {
            w.drop_entry_messages(e, other, ms);
            w.drop_entry_messages(other, e, ms);
        }
    }
    w.after(w.rng() % SESS_LEASE_MS,
        [&w, e] { w.break_callers(e, 1300, false, false); });
}

void
entry_cut_off(World &w)
{
    cut_off(w, false);
}

void
entry_isolated(World &w)
{
    cut_off(w, true);
}

/* A copy arrives while the first connection still counts as open; then the
 * copy's connection breaks as well. */
void
copies_break(World &w)
{
    size_t e = some(w, ENTRIES);

    w.submit(3, 2200);
    w.after(100, [&w, e] { w.break_callers(e, 1, true, false); });
    w.after(150 + w.rng() % 300, [&w, e] { w.break_callers(e, 1300); });
}

/* The waiter of such a copy is another entry. */
void
forwarded_copies_break(World &w)
{
    w.forward_share = 0.5;
    copies_break(w);
}

void
agent_killed(World &w)
{
    w.kill_agent(some(w, AGENTS), 50 + w.rng() % 1000);
}

void
entry_killed(World &w)
{
    w.kill_entry(some(w, ENTRIES), 20 + w.rng() % 600);
}

struct AgainCase {
    const char *name;
    std::vector<void (*)(World &)> faults;
    uint32_t task_ms = 700; /* mean; above 1,300 tasks outlast the time after
                               which callers send a job again */
    uint64_t pause_ms = 60; /* between jobs */
    uint64_t caller_wait_ms = 3000;
    double forward_share = 0;
    uint64_t discovery_ms = 0;
};

const AgainCase cases[] = {
    {"connection_refused_by_a_live_agent", {refused_while_alive, stops_lost}},
    {"connection_refused_and_cut", {refused_and_cut}},
    {"agent_pauses_at_the_lease", {agent_pauses_at_the_lease, stops_lost}},
    {"sessions_reopen", {sessions_reopen, stops_lost}},
    {"entry_pauses", {entry_pauses}},
    {"entry_pauses_and_is_lost", {entry_pauses_and_is_lost}},
    {"entry_pauses_twice", {entry_pauses_twice, none}, 1800, 200},
    {"entry_pauses_mid_pass", {entry_pauses_mid_pass, sessions_reopen}},
    {"starts_refused", {starts_refused, sessions_reopen}},
    {"messages_doubled_and_late", {messages_doubled_and_late}},
    {"callers_send_again", {callers_send_again, sessions_reopen}},
    {"callers_repeat_at_once", {callers_repeat_at_once, sessions_reopen}},
    {"late_break_and_stops_lost", {late_break_and_stops_lost, none, none},
        1800, 200},
    {"entry_cut_off", {entry_cut_off, none, none}},
    {"entry_isolated", {entry_isolated, none, none}},
    {"copies_break", {copies_break}},
    {"forwarded_copies_break", {forwarded_copies_break}},
    {"callers_leave_unseen", {callers_leave_unseen}, 2500, 60, 9000},
    {"callers_leave_unseen_and_sessions_reopen",
        {callers_leave_unseen, sessions_reopen}, 2500, 60, 9000},
    {"callers_leave_unseen_and_entry_pauses",
        {callers_leave_unseen, entry_pauses}, 2500, 60, 9000},
    {"callers_leave_unseen_late_messages",
        {callers_leave_unseen, messages_doubled_and_late}, 2500, 60, 9000},
    {"callers_leave_unseen_forwarded", {callers_leave_unseen}, 2500, 60, 9000,
        0.4},
    {"callers_leave_unseen_messages_lost",
        {callers_leave_unseen, entries_lose_messages}, 2500, 60, 9000},
    {"callers_leave_unseen_entry_starts", {callers_leave_unseen, entry_killed},
        2500, 60, 9000, 0, 700},
    {"all_but_refused",
        {sessions_reopen, agent_pauses_at_the_lease, entry_pauses, stops_lost,
            starts_refused, messages_doubled_and_late, callers_send_again,
            callers_repeat_at_once, agent_killed}},
    {"all", {sessions_reopen, agent_pauses_at_the_lease, entry_pauses,
                stops_lost, starts_refused, messages_doubled_and_late,
                callers_send_again, callers_repeat_at_once, agent_killed,
                refused_while_alive, refused_and_cut}},
};

std::string
name_of(const testing::TestParamInfo<AgainCase> &i)
{
    return i.param.name;
}

/* Keeps the bytes of the table out of the list of tests. */
void
PrintTo(const AgainCase &c, std::ostream *os)
{
    *os << c.name;
}

uint64_t
seed_count()
{
    const char *count = getenv("DW_SEEDS");

    return count != nullptr ? strtoull(count, nullptr, 10) : 30;
}

std::string
first_violation(const World &w)
{
    return w.violations.empty() ? "" : w.violations[0];
}

} // namespace

class Again : public testing::TestWithParam<AgainCase> {};

/* Guards against a task that runs twice at a time because an earlier run of it
 * was taken for over.  The clocks of the entries differ by seconds. */
TEST_P(Again, NoTaskRunsTwice)
{
    const AgainCase &c = GetParam();

    for (uint64_t seed = 1; seed <= seed_count(); seed++) {
        World w(seed, ENTRIES, AGENTS);

        w.caller_wait_ms = c.caller_wait_ms;
        w.forward_share = c.forward_share;
        w.discovery_ms = c.discovery_ms;
        for (size_t i = 0; i < ENTRIES; i++) {
            w.entries[i]->wall_offset_ms = i * 3000;
        }
        for (uint64_t t = 0; t < 9000; t += c.pause_ms) {
            w.after(t, [&w, &c] { w.submit(3, c.task_ms); });
        }
        w.run(500);
        for (int k = 0; k < 12; k++) {
            w.run(100 + w.rng() % 900);
            c.faults[w.rng() % c.faults.size()](w);
            c.faults[w.rng() % c.faults.size()](w);
        }
        w.run(4000);
        EXPECT_EQ(first_violation(w), "") << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(Served, Again, testing::ValuesIn(cases), name_of);
