/*
 * world - entries, agents and workers of the platform's path in one process
 *
 * The deciding code is the product's own; the network, the workers and the
 * callers are small fakes that follow one random seed.  The world checks at
 * each start that no worker is given more than it holds and that no task runs
 * twice at a time, and at each answer that it is true.
 */
#ifndef WORLD_HH
#define WORLD_HH

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "agent.h"
#include "coord.h"
#include "relay.h"

/* What a worker is told by its agent, and does. */
struct FakeWorker {
    struct Run {
        uint32_t millicores;
        uint64_t ends_at;
        bool fails;
        bool stopping;
    };
    uint32_t millicores = 64000;
    uint64_t born = 0;
    uint64_t started_at = 0;
    bool up = true;
    uint64_t until = 0;
    uint64_t fence = 0;
    uint64_t next_end = 1;
    std::map<std::string, std::pair<rn_key, Run>> runs; /* by task */
    std::map<std::string, uint64_t> highest; /* run stopped or ended */
    std::vector<rn_outcome> ends;
    /* Faults. */
    double late = 0; /* share of orders carried out seconds later */
    double mute = 0; /* share carried out at once, the answer lost */
    double slow = 1; /* times as long */
    bool fails_all = false;
    bool hangs = false;
};

struct World;

struct FakeAgent {
    World *w = nullptr;
    size_t index = 0;
    uint64_t id = 0;
    bool up = false;
    uint64_t frozen_until = 0;
    agent a;
    uint64_t look_call = 0;
    std::vector<std::function<void()>> unread;
};

struct FakeEntry {
    World *w = nullptr;
    size_t index = 0;
    uint64_t id = 0;
    bool up = false;
    uint64_t frozen_until = 0;
    coord c;
    relay r;
    std::vector<std::function<void()>> unread;
    std::vector<std::function<void()>> answers;
};

struct Call;

/* Who waits for a job: a caller here, or another entry for one there. */
struct FakeCaller {
    Call *call;
    rl_accepted *taken;
};

/* One call of a caller: it may be sent again elsewhere. */
struct Call {
    uint64_t id;
    std::vector<uint32_t> task_ms;
    uint64_t sent_at;
    uint64_t deadline;
    size_t entry;
    uint64_t entry_id;
    FakeCaller *caller = nullptr; /* at that entry */
    bool open = false;
    uint32_t sends = 0;
    uint32_t answers = 0;
    bool done = false;
    bool completed = false;
    bool started = false; /* a task of it ran */
    bool refused = false;
};

struct World {
    explicit World(uint64_t seed, size_t entries, size_t agents);
    ~World();

    /* Faults; times in ms from now. */
    void kill_agent(size_t i, uint64_t for_ms);
    void kill_entry(size_t i, uint64_t for_ms);
    void freeze_agent(size_t i, uint64_t for_ms);
    void freeze_entry(size_t i, uint64_t for_ms);
    void cut(size_t entry, size_t agent, bool to_agent, bool to_entry,
        uint64_t for_ms);
    /* Between two entries. */
    void cut_entries(size_t from, size_t to, uint64_t for_ms);
    /* The machine has no power: nobody is told by its port. */
    void darken_entry(size_t i, uint64_t for_ms);
    void crash_worker(size_t i, uint64_t for_ms);
    void drain_worker(size_t i);

    void submit(uint32_t tasks, uint32_t ms);
    void after(uint64_t ms, std::function<void()> fn);
    void run(uint64_t ms);
    double chance();
    /* Prints if DW_TRACE is set. */
    void trace(const char *fmt, ...) __attribute__((format(printf, 2, 3)));

    double give_part = 0; /* of the requests that an entry gives to another */

    uint64_t now = 1000;
    std::vector<std::unique_ptr<FakeWorker>> workers;
    std::vector<std::unique_ptr<FakeAgent>> agents;
    std::vector<std::unique_ptr<FakeEntry>> entries;
    std::vector<std::unique_ptr<FakeCaller>> callers;
    std::map<uint64_t, std::unique_ptr<Call>> calls;
    std::vector<std::string> broken; /* promises, in words */
    uint64_t starts = 0;
    uint64_t messages = 0;
    uint64_t given = 0; /* requests, from entry to entry */

    /* For the fakes. */
    struct Event {
        uint64_t at;
        uint64_t order;
        std::function<void()> fn;
        bool
        operator<(const Event &o) const
        {
            return at != o.at ? at > o.at : order > o.order;
        }
    };
    void start_agent(size_t i);
    void start_entry(size_t i);
    void tick_agent(FakeAgent *a, uint64_t id);
    void beat_agent(FakeAgent *a, uint64_t id);
    void tick_entry(FakeEntry *e, uint64_t id);
    void tick_both(FakeEntry *e);
    void deliver(uint64_t from, uint64_t to, const dw_msg *m);
    void send_call(Call *c);
    void end_entry(size_t i, uint64_t for_ms, bool dark);
    FakeCaller *new_caller(Call *c, rl_accepted *t);
    void submit_at(FakeEntry *e, Call *c, FakeCaller *who);
    void answered(Call *c, uint64_t entry_id, co_outcome how);
    void worker_tick(FakeWorker &w);
    bool worker_start(size_t i, const rn_key &key, uint32_t millicores,
        uint32_t ms, rn_terms terms, rn_start_result *result);
    void worker_stop(size_t i, const rn_key &key, rn_terms terms);
    bool fenced(FakeWorker &w, uint64_t fence);
    void renew(FakeWorker &w, uint64_t until);
    void end_run(FakeWorker &w, const std::string &task, dw_end how);
    uint64_t worker_clock(const FakeWorker &w) const;
    void on_agent(FakeAgent *a, std::function<void()> fn);
    void on_entry(FakeEntry *e, std::function<void()> fn);

    std::mt19937_64 rng;
    std::priority_queue<Event> events;
    uint64_t order = 0;
    uint64_t next_id = 1;
    std::set<std::pair<uint64_t, uint64_t>> cuts; /* from, to: process ids */
};

#endif
