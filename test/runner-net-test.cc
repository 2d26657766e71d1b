/*
 * The runner against a worker behind a network with faults.
 *
 * The worker follows the platform's protocol: lease, fence, late and old
 * starts, stops, ends that are listed until they are acknowledged, restarts
 * that forget everything, start the clock anew and change the worker's id or
 * keep it; starts and renewals for another id are refused.  The network
 * delays, loses, reorders and repeats calls, and executes them seconds late.
 * The agent is paused, restarted and loses sessions.
 *
 * Invariant: a run that was reported as ended neither runs nor starts on the
 * worker, nor does one whose session ended or whose agent died, after the time
 * that entries wait then; and the worker is never over its capacity.
 *
 * DW_SEEDS sets the number of seeds of each table, DW_SEED runs a single one.
 */
#include <gtest/gtest.h>

#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "runner.h"
#include "sess.h"

namespace {

constexpr uint64_t RUN_MS = 6000;
constexpr uint64_t TICK_MS = 20;
constexpr uint32_t CAPACITY = 4000;
constexpr uint64_t LEASE_LIMIT_MS = 1000; /* max_hold_ms of the worker */
constexpr size_t PAGE = 500;
constexpr uint64_t NEVER = UINT64_MAX;

/* Probabilities in permille of each call, or of each 10 ms. */
struct Faults {
    uint32_t slow_answers; /* of 2 to 18 ms each way, so that calls overtake */
    uint32_t lost_requests;
    uint32_t lost_answers;
    uint32_t resets;     /* the connection breaks after the request arrived */
    uint32_t late_calls; /* executed 20 ms to 3 s later, half of them
                             within 400 ms */
    uint32_t copies;     /* the request is sent twice */
    uint32_t refusals;   /* 503 */
    uint32_t agent_pauses;
    uint32_t agent_restarts;
    uint32_t worker_restarts;
    uint32_t session_ends;
    uint32_t outages; /* for 50 to 1200 ms; see enum Outage */
    uint32_t stops;
    bool slow_clock; /* the worker's clock is 2 % slow */
    /* A call in transit reaches the next incarnation of the worker. */
    bool calls_outlive_worker;
    /* The result of a repeated request is that of its second copy, as the HTTP
     * client reported it at the incident of 3 December 2026. */
    bool copy_decides;
    bool new_ids; /* a restarted worker has a new id */
    /* Only what makes this agent's entry place a task again must be true: a
     * task that is done is not, nor is one that the entry has stopped before
     * its end is reported. */
    bool placements_only;
};

struct WorkerRun {
    rn_key key;
    uint32_t millicores;
    uint64_t ends_ms;
    dw_end how;
};

enum class Call { START, STOP, POLL };

struct Request {
    Call what;
    rn_key key;
    rn_terms terms;
    uint32_t millicores;
    uint64_t ack;
    uint32_t wait_ms;
    std::string worker_id; /* copied from terms */
};

struct Answer {
    int status;
    bool fenced;
    uint64_t clock_ms;
    uint64_t incarnation;
    std::vector<rn_poll_run> running;
    std::vector<rn_outcome> outcomes;
};

/* What an outage of the network loses. */
enum class Outage { NONE, REQUESTS, ANSWERS, STOPS };

using Reply = std::function<void(const Answer &)>;
using Task = std::pair<uint64_t, uint64_t>;

Task
task_of(const rn_key &k)
{
    return {k.job, k.index};
}

struct WaitingPoll {
    uint64_t until_ms;
    uint64_t ack;
    Reply reply;
};

struct Worker {
    bool up = true;
    std::string id;
    uint64_t incarnation = 0;
    uint64_t born_ms = 0; /* in simulated time */
    uint64_t fence = 0;
    uint64_t lease_until = 0; /* by its clock */
    uint64_t next_seq = 1;
    std::map<Task, WorkerRun> runs;
    std::map<Task, uint64_t> highest;
    std::vector<rn_outcome> outcomes;
    std::vector<WaitingPoll> waiting;
};

struct Net;

struct KeyLess {
    bool
    operator()(const rn_key &a, const rn_key &b) const
    {
        return std::tie(a.job, a.run, a.index) <
               std::tie(b.job, b.run, b.index);
    }
};

struct Net {
    std::mt19937_64 rng;
    Faults f;
    uint64_t now = 1000;
    std::multimap<uint64_t, std::function<void()>> events;
    Worker w;

    runner r;
    bool agent_up = false;
    uint64_t generation = 0;
    uint64_t paused_until = 0;
    uint64_t paused_since = 0;
    std::vector<std::function<void()>> inbox; /* of the paused agent */
    uint64_t sessions[2] = {1, 2};
    uint64_t next_session = 3;
    uint64_t next_job = 1;
    uint64_t next_run = 1;
    /* Runs ordered and not reported, with their sessions. */
    std::map<rn_key, uint64_t, KeyLess> open;
    /* From when on a run must not run on the worker. */
    std::map<rn_key, uint64_t, KeyLess> gone;
    /* Of the dead agent.  Entries take it as proof that these are gone when
     * the next agent reports that nothing is left. */
    std::vector<rn_key> former;
    std::vector<std::string> violations;
    uint64_t done = 0;
    Outage outage = Outage::NONE;
    uint64_t outage_until = 0;

    Net(uint64_t seed, const Faults &faults);
    ~Net();
    void run();

    bool
    happens(uint32_t permille)
    {
        return permille > 0 && rng() % 1000 < permille;
    }
    uint64_t
    between(uint64_t low, uint64_t high)
    {
        return low + rng() % (high - low + 1);
    }
    void
    after(uint64_t ms, std::function<void()> fn)
    {
        events.emplace(now + ms, std::move(fn));
    }

    /* The worker. */
    uint64_t worker_clock() const;
    void start_worker();
    void announce_worker(uint64_t within_ms);
    void crash_worker();
    void end_run(Task t, dw_end how);
    void step_worker();
    void execute(const Request &q, Reply reply);
    int execute_start(const Request &q);
    Answer answer(int status) const;
    Answer list(uint64_t ack);

    /* The network. */
    void send(const Request &q, uint32_t timeout_ms,
        std::function<void(const Answer *, bool reached)> done_fn);
    void deliver(const Request &q, uint64_t sent_to, Reply reply);

    /* The agent and its entries. */
    void start_agent();
    void kill_agent();
    void to_agent(uint64_t to, std::function<void()> fn);
    void step_agent();
    void resume();
    void end_session(size_t i);
    void order();
    void must_end(const rn_key &key, uint64_t at);
    void check();
};

/* --- the worker --- */

uint64_t
Net::worker_clock() const
{
    uint64_t ms = now - w.born_ms;

    return 10 + (f.slow_clock ? ms * 98 / 100 : ms);
}

void
Net::start_worker()
{
    uint64_t incarnation = 1000000 + now;

    w = Worker();
    w.id = f.new_ids ? "worker-" + std::to_string(incarnation) : "worker";
    w.incarnation = incarnation;
    w.born_ms = now;
    announce_worker(40);
}

/* The agent of that time gets a heartbeat of the present incarnation. */
void
Net::announce_worker(uint64_t within_ms)
{
    uint64_t incarnation = w.incarnation;
    std::string id = w.id;

    after(between(0, within_ms), [this, incarnation, id] {
        to_agent(generation, [this, incarnation, id] {
            rn_set_worker_id(&r, now, incarnation, str_of(id.c_str()));
            rn_set_capacity(&r, now, CAPACITY, 1000, 0, incarnation);
        });
    });
}

void
Net::crash_worker()
{
    w.up = false;
    w.runs.clear();
    w.waiting.clear(); /* these polls time out */
    after(between(1, 400), [this] { start_worker(); });
}

void
Net::end_run(Task t, dw_end how)
{
    w.highest[t] = std::max(w.highest[t], w.runs[t].key.run);
    w.outcomes.push_back({w.next_seq++, w.runs[t].key, how});
    w.runs.erase(t);
}

Answer
Net::answer(int status) const
{
    Answer a = {};

    a.status = status;
    a.clock_ms = worker_clock();
    a.incarnation = w.incarnation;
    return a;
}

Answer
Net::list(uint64_t ack)
{
    Answer a = answer(200);

    while (!w.outcomes.empty() && w.outcomes.front().seq <= ack) {
        w.outcomes.erase(w.outcomes.begin());
    }
    for (auto &it : w.runs) {
        a.running.push_back({it.second.key, 50});
    }
    for (size_t i = 0; i < w.outcomes.size() && i < PAGE; i++) {
        a.outcomes.push_back(w.outcomes[i]);
    }
    return a;
}

void
Net::step_worker()
{
    std::vector<Task> ended;

    if (!w.up) {
        return;
    }
    for (auto &it : w.runs) {
        if (worker_clock() > w.lease_until || now >= it.second.ends_ms) {
            ended.push_back(it.first);
        }
    }
    for (Task t : ended) {
        end_run(
            t, worker_clock() > w.lease_until ? DW_END_LOST : w.runs[t].how);
    }
    std::vector<WaitingPoll> waiting = std::move(w.waiting);
    w.waiting.clear();
    for (WaitingPoll &p : waiting) {
        if (now >= p.until_ms || !w.outcomes.empty()) {
            p.reply(list(p.ack));
        }
        else {
            w.waiting.push_back(p);
        }
    }
}

int
Net::execute_start(const Request &q)
{
    Task t = task_of(q.key);
    auto it = w.runs.find(t);
    uint64_t until =
        std::min(q.terms.lease_until_ms, worker_clock() + LEASE_LIMIT_MS);

    if (q.terms.lease_until_ms < worker_clock()) {
        return 409;
    }
    w.lease_until = std::max(w.lease_until, until);
    if (it != w.runs.end()) {
        return it->second.key.run == q.key.run ? 200 : 409;
    }
    if (w.highest.count(t) != 0 && q.key.run <= w.highest[t]) {
        return 409;
    }
    w.runs[t] = {q.key, q.millicores,
        now + (happens(50) ? between(500, 3000) : between(5, 150)),
        happens(100) ? DW_END_FAILED : DW_END_DONE};
    return 200;
}

void
Net::execute(const Request &q, Reply reply)
{
    Task t = task_of(q.key);

    if (q.terms.fence < w.fence) {
        Answer a = answer(409);

        a.fenced = true;
        reply(a);
        return;
    }
    if (!q.worker_id.empty() && q.worker_id != w.id) {
        reply(answer(421));
        return;
    }
    w.fence = q.terms.fence;
    if (q.what == Call::START) {
        reply(answer(execute_start(q)));
    }
    else if (q.what == Call::STOP) {
        auto it = w.runs.find(t);

        w.highest[t] = std::max(w.highest[t], q.key.run);
        if (it != w.runs.end() && it->second.key.run <= q.key.run) {
            it->second.ends_ms =
                std::min(it->second.ends_ms, now + between(0, 50));
            it->second.how = DW_END_STOPPED;
        }
        reply(answer(200));
    }
    else {
        if (q.terms.lease_until_ms != 0) {
            w.lease_until =
                std::max(w.lease_until, std::min(q.terms.lease_until_ms,
                                            worker_clock() + LEASE_LIMIT_MS));
        }
        if (q.wait_ms == 0 || !list(q.ack).outcomes.empty()) {
            reply(list(q.ack));
        }
        else {
            w.waiting.push_back({now + q.wait_ms, q.ack, reply});
        }
    }
}

/* --- the network --- */

/* Executes a call that was sent to the incarnation `sent_to`. */
void
Net::deliver(const Request &q, uint64_t sent_to, Reply reply)
{
    if (w.up && (sent_to == w.incarnation || f.calls_outlive_worker)) {
        execute(q, reply);
    }
}

/* done_fn gets the answer, or NULL and whether the worker was reached. */
void
Net::send(const Request &q, uint32_t timeout_ms,
    std::function<void(const Answer *, bool reached)> done_fn)
{
    uint64_t to = generation;
    uint64_t sent_to = w.incarnation;
    auto answered = std::make_shared<bool>(false);
    uint64_t forth = 1;
    uint64_t back = 1;
    Reply none = [](const Answer &) {};
    auto finish = [=](const Answer *a, bool reached) {
        auto copy = a != nullptr ? std::make_shared<Answer>(*a) : nullptr;

        if (*answered) {
            return;
        }
        *answered = true;
        to_agent(to, [=] { done_fn(copy.get(), reached); });
    };

    if (!w.up) {
        after(1, [=] { finish(nullptr, false); });
        return;
    }
    if (happens(f.slow_answers)) {
        forth = between(1, 18);
        back = between(1, 18);
    }
    Reply reply = [=](const Answer &a) {
        after(back, [=] { finish(&a, true); });
    };
    after(timeout_ms, [=] { finish(nullptr, true); });
    if (now < outage_until && outage == Outage::ANSWERS) {
        after(forth, [=] { deliver(q, sent_to, none); });
        return;
    }
    if (now < outage_until &&
        (outage == Outage::REQUESTS || q.what == Call::STOP)) {
        return;
    }
    if (happens(f.lost_requests)) {
        return;
    }
    if (happens(f.refusals)) {
        after(forth, [=] {
            if (w.up) {
                reply(answer(503));
            }
        });
    }
    else if (happens(f.late_calls)) {
        after(between(20, happens(500) ? 400 : 3000),
            [=] { deliver(q, sent_to, none); });
    }
    else if (happens(f.copies)) {
        after(forth, [=] { deliver(q, sent_to, none); });
        if (f.copy_decides) {
            after(forth + 1, [=] { reply(answer(503)); });
        }
        else {
            after(forth + 1, [=] { deliver(q, sent_to, none); });
        }
    }
    else if (happens(f.resets)) {
        after(forth, [=] { deliver(q, sent_to, none); });
        after(between(0, forth), [=] { finish(nullptr, true); });
    }
    else if (happens(f.lost_answers)) {
        after(forth, [=] { deliver(q, sent_to, none); });
    }
    else {
        after(forth, [=] { deliver(q, sent_to, reply); });
    }
}

/* --- the agent --- */

void
send_start(void *ctx, const rn_run *run, const rn_terms *terms)
{
    Net *n = static_cast<Net *>(ctx);
    rn_key key = run->key;

    n->send({Call::START, key, *terms, run->millicores, 0, 0,
                std::string(terms->worker_id.p, terms->worker_id.n)},
        RN_ANSWER_TIMEOUT_MS, [=](const Answer *a, bool reached) {
            rn_start_result result = !reached           ? RN_START_UNREACHABLE
                                     : a == nullptr     ? RN_START_LOST
                                     : a->status == 200 ? RN_START_OK
                                     : a->fenced        ? RN_START_FENCED
                                                        : RN_START_REFUSED;

            rn_start_answered(
                &n->r, n->now, &key, result, a != nullptr ? a->clock_ms : 0);
        });
}

void
send_stop(void *ctx, const rn_key *k, const rn_terms *terms)
{
    Net *n = static_cast<Net *>(ctx);
    rn_key key = *k;

    n->send({Call::STOP, key, *terms, 0, 0, 0, ""}, RN_ANSWER_TIMEOUT_MS,
        [=](const Answer *a, bool) {
            rn_stop_answered(
                &n->r, n->now, &key, a != nullptr && a->status == 200);
        });
}

void
send_poll(void *ctx, const rn_poll_request *q, const rn_terms *terms)
{
    Net *n = static_cast<Net *>(ctx);
    bool immediate = q->immediate;
    uint64_t sent_ms = n->now;

    n->send({Call::POLL, {}, *terms, 0, q->ack, q->wait_ms,
                std::string(terms->worker_id.p, terms->worker_id.n)},
        immediate ? RN_ANSWER_TIMEOUT_MS : q->wait_ms + RN_POLL_MARGIN_MS,
        [=](const Answer *a, bool reached) {
            rn_poll p = {};

            p.sent_ms = sent_ms;
            p.immediate = immediate;
            p.unreachable = !reached;
            if (a != nullptr && a->status == 200) {
                p.ok = true;
                p.worker_clock_ms = a->clock_ms;
                p.incarnation = a->incarnation;
                p.running = a->running.data();
                p.running_count = a->running.size();
                p.outcomes = a->outcomes.data();
                p.outcome_count = a->outcomes.size();
            }
            rn_poll_answered(&n->r, n->now, &p);
        });
}

void
run_ended(void *ctx, const rn_run *run, dw_end how, uint32_t)
{
    Net *n = static_cast<Net *>(ctx);

    n->done += how == DW_END_DONE;
    if (how == DW_END_DONE && n->f.placements_only) {
        n->open.erase(run->key);
        return;
    }
    n->must_end(run->key, n->now);
}

void
ignore_event(void *, const rn_event *)
{
}

/* resume() ends the sessions before the agent acts. */
bool
sessions_checked(void *, uint64_t)
{
    return true;
}

const rn_ops net_ops = {send_start, send_stop, send_poll, run_ended,
    ignore_event, sessions_checked};

void
Net::must_end(const rn_key &key, uint64_t at)
{
    auto it = gone.find(key);

    open.erase(key);
    if (it == gone.end() || it->second > at) {
        gone[key] = at;
    }
}

void
Net::start_agent()
{
    generation++;
    agent_up = true;
    paused_until = 0;
    inbox.clear();
    sessions[0] = next_session++;
    sessions[1] = next_session++;
    rn_init(&r, now, &net_ops, this);
    announce_worker(100);
}

/* Entries wait for RN_LEASE_EXPIRY_MS when an agent's process is dead. */
void
Net::kill_agent()
{
    auto runs = open;

    for (auto &it : runs) {
        must_end(it.first, now + RN_LEASE_EXPIRY_MS);
        former.push_back(it.first);
    }
    agent_up = false;
    rn_free(&r);
    after(between(1, 200), [this] { start_agent(); });
}

void
Net::to_agent(uint64_t to, std::function<void()> fn)
{
    if (!agent_up || to != generation) {
        return;
    }
    if (now < paused_until) {
        inbox.push_back(fn);
        return;
    }
    fn();
}

/* An entry counts the session's end from the last echo that it heard. */
void
Net::resume()
{
    std::vector<std::function<void()>> messages = std::move(inbox);
    bool expired = now - paused_since >= SESS_LEASE_MS;

    inbox.clear();
    paused_until = 0;
    if (expired) {
        auto runs = open;

        for (auto &it : runs) {
            must_end(it.first, paused_since + SESS_LEASE_MS +
                                   RN_STOP_LIMIT_MS + RN_LEASE_EXPIRY_MS);
        }
        for (uint64_t &s : sessions) {
            rn_session_ended(&r, now, s, paused_since + SESS_LEASE_MS);
            s = next_session++;
        }
    }
    std::shuffle(messages.begin(), messages.end(), rng);
    for (auto &fn : messages) {
        fn();
    }
}

void
Net::end_session(size_t i)
{
    auto runs = open;

    for (auto &it : runs) {
        if (it.second == sessions[i]) {
            must_end(it.first, now + RN_STOP_LIMIT_MS + RN_LEASE_EXPIRY_MS);
        }
    }
    rn_session_ended(&r, now, sessions[i], now);
    sessions[i] = next_session++;
}

void
Net::order()
{
    uint64_t session = sessions[rng() % 2];
    dw_run_group g = {};
    dw_run run = {};

    g.job = next_job++;
    run.run = next_run++;
    run.millicores = (u_int)between(500, 2000);
    run.memory_mb = 1;
    run.est_ms = 60;
    run.wait_ms = 40;
    open[{g.job, run.run, 0}] = session;
    rn_order(&r, now, 9, session, &g, &run);
}

void
Net::step_agent()
{
    if (!agent_up) {
        return;
    }
    if (paused_until != 0 && now >= paused_until) {
        resume();
    }
    if (now < paused_until) {
        return;
    }
    if (r.clean && !former.empty()) {
        for (const rn_key &key : former) {
            gone[key] = std::min(gone[key], now);
        }
        former.clear();
    }
    if (rng() % 8 == 0) {
        order();
    }
    if (now % TICK_MS == 0) {
        rn_tick(&r, now);
    }
    if (now % 10 != 0) {
        return;
    }
    if (happens(f.stops) && !open.empty()) {
        rn_key k = open.begin()->first;
        dw_run_ref ref = {k.job, (u_int)k.index, k.run};

        if (!f.placements_only) {
            must_end(k, now + RN_ORDERED_STOP_LIMIT_MS + RN_LEASE_EXPIRY_MS);
        }
        rn_stop(&r, now, &ref);
    }
    if (now >= outage_until && happens(f.outages)) {
        outage = static_cast<Outage>(between(1, 3));
        outage_until = now + between(50, 1200);
    }
    if (happens(f.session_ends)) {
        end_session(rng() % 2);
    }
    if (happens(f.agent_pauses)) {
        paused_since = now;
        paused_until = now + between(2, 900);
    }
    else if (happens(f.agent_restarts)) {
        kill_agent();
    }
}

/* --- the invariant --- */

void
Net::check()
{
    uint32_t used = 0;

    for (auto &it : w.runs) {
        const WorkerRun &run = it.second;
        auto g = gone.find(run.key);

        used += run.millicores;
        if (g != gone.end() && now > g->second) {
            violations.push_back("run " + std::to_string(run.key.run) +
                                 " at " + std::to_string(now) +
                                 ", had to end at " +
                                 std::to_string(g->second));
            g->second = NEVER; /* once a run */
        }
    }
    if (used > CAPACITY) {
        violations.push_back("over capacity at " + std::to_string(now));
    }
}

Net::Net(uint64_t seed, const Faults &faults) : rng(seed), f(faults)
{
    start_worker();
    start_agent();
}

Net::~Net()
{
    if (agent_up) {
        rn_free(&r);
    }
}

void
Net::run()
{
    for (uint64_t end = now + RUN_MS; now < end; now++) {
        while (!events.empty() && events.begin()->first <= now) {
            std::function<void()> fn = std::move(events.begin()->second);

            events.erase(events.begin());
            fn();
        }
        step_worker();
        step_agent();
        check();
        if (w.up && now % 10 == 0 && happens(f.worker_restarts)) {
            crash_worker();
        }
    }
}

uint64_t
seed_count(uint64_t standard)
{
    const char *count = getenv("DW_SEEDS");

    return count != nullptr ? strtoull(count, nullptr, 10) : standard;
}

/* Runs seeds until the first with a violation; returns what it saw. */
std::string
explore(const Faults &f, uint64_t seeds, uint64_t *done = nullptr)
{
    const char *single = getenv("DW_SEED");
    uint64_t first = single != nullptr ? strtoull(single, nullptr, 10) : 1;

    seeds = single != nullptr ? 1 : seeds;
    for (uint64_t seed = first; seed < first + seeds; seed++) {
        Net n(seed, f);

        n.run();
        if (done != nullptr) {
            *done += n.done;
        }
        if (!n.violations.empty()) {
            return "seed " + std::to_string(seed) + ": " + n.violations[0];
        }
    }
    return "";
}

struct Kind {
    const char *name;
    Faults f;
};

Faults
with(std::function<void(Faults &)> set)
{
    Faults f = {};

    f.stops = 20;
    set(f);
    return f;
}

std::vector<Kind>
kinds()
{
    return {
        {"none", with([](Faults &) {})},
        {"slow answers", with([](Faults &f) { f.slow_answers = 300; })},
        {"lost requests", with([](Faults &f) { f.lost_requests = 50; })},
        {"lost answers", with([](Faults &f) { f.lost_answers = 50; })},
        {"resets", with([](Faults &f) { f.resets = 50; })},
        {"late calls", with([](Faults &f) { f.late_calls = 50; })},
        {"copies", with([](Faults &f) { f.copies = 50; })},
        {"refusals", with([](Faults &f) { f.refusals = 50; })},
        {"slow clock", with([](Faults &f) {
             f.slow_clock = true;
             f.lost_answers = 50;
         })},
        {"session ends", with([](Faults &f) { f.session_ends = 50; })},
        {"outages, session ends", with([](Faults &f) {
             f.outages = 20;
             f.session_ends = 30;
         })},
        {"outages, slow clock", with([](Faults &f) {
             f.outages = 20;
             f.slow_clock = true;
         })},
        {"agent pauses", with([](Faults &f) { f.agent_pauses = 15; })},
        {"agent restarts", with([](Faults &f) { f.agent_restarts = 15; })},
        {"late calls, agent restarts", with([](Faults &f) {
             f.slow_answers = 300;
             f.late_calls = 50;
             f.agent_restarts = 15;
         })},
        {"worker restarts", with([](Faults &f) { f.worker_restarts = 10; })},
        {"worker restarts, agent pauses", with([](Faults &f) {
             f.slow_answers = 300;
             f.worker_restarts = 10;
             f.agent_pauses = 15;
         })},
        {"all on one worker", with([](Faults &f) {
             f = {300, 20, 20, 20, 20, 20, 20, 8, 4, 0, 15, 5, 20, true, false,
                 false, false, false};
         })},
        {"all", with([](Faults &f) {
             f = {300, 20, 20, 20, 20, 20, 20, 8, 4, 5, 15, 5, 20, true, false,
                 false, false, false};
         })},
    };
}

} // namespace

/* Guards against a task that runs twice: the agent reports a run as ended, or
 * its session has ended for long enough, while the worker runs it. */
TEST(RunnerNet, ReportedRunsAreGone)
{
    for (const Kind &k : kinds()) {
        uint64_t done = 0;

        EXPECT_EQ(explore(k.f, seed_count(60), &done), "") << k.name;
        EXPECT_GT(done, 0u) << k.name;
    }
}

/* Shows that the exploration finds the fault of 3 December 2026: the refusal
 * of a request's second copy counts as that of the start. */
TEST(RunnerNet, RefusedCopyOfAStartIsFound)
{
    Faults f = with([](Faults &x) {
        x.copies = 50;
        x.copy_decides = true;
    });

    EXPECT_NE(explore(f, 20), "");
}

namespace {

/* Calls reach the next incarnation of the worker. */
std::vector<Kind>
outliving_calls()
{
    return {
        {"late calls", with([](Faults &f) {
             f.late_calls = 50;
             f.worker_restarts = 10;
             f.calls_outlive_worker = true;
         })},
        {"with agent restarts", with([](Faults &f) {
             f.late_calls = 50;
             f.worker_restarts = 10;
             f.agent_restarts = 15;
             f.calls_outlive_worker = true;
         })},
        {"with agent pauses", with([](Faults &f) {
             f.late_calls = 50;
             f.worker_restarts = 10;
             f.agent_pauses = 15;
             f.calls_outlive_worker = true;
         })},
    };
}

} // namespace

/* Guards against a run that was reported as ended and then starts on the next
 * incarnation of the worker: a call to the former one is executed by it before
 * it has seen the new fence. */
TEST(RunnerNet, CallsToAFormerIncarnationStartNothing)
{
    for (const Kind &k : outliving_calls()) {
        EXPECT_EQ(explore(k.f, seed_count(60)), "") << k.name;
    }
}

/* Guards against two runs of a task: the agent reports a run as over, the task
 * is placed elsewhere, and a lost start of the run is executed by the next
 * incarnation of the worker. */
TEST(RunnerNet, TaskStaysWhileALostStartMayBeExecuted)
{
    Kind k = outliving_calls()[0];

    k.f.placements_only = true;
    EXPECT_EQ(explore(k.f, seed_count(400)), "") << k.name;
}

/* Guards against the same with a worker that has a new id at each restart. */
TEST(RunnerNet, CallsToAFormerWorkerIdStartNothing)
{
    for (Kind &k : outliving_calls()) {
        k.f.new_ids = true;
        EXPECT_EQ(explore(k.f, seed_count(60)), "") << k.name;
    }
}
