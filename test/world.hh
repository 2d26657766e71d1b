/*
 * world - a test cluster of entries, agents and workers in one process
 *
 * The decision modules are those of the daemon; the network, the workers and
 * the callers are small fakes driven by one random seed.  Times are in ms.
 *
 * At each start, the world checks that no worker gets more than its capacity
 * and that no task runs twice at a time; at each answer of "not run", that no
 * task was started.
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
#include "catchup.h"
#include "claim.h"
#include "coord.h"
#include "relay.h"

/* A worker: carries out the orders of its agent. */
struct FakeWorker {
    struct Run {
        uint32_t millicores;
        uint64_t ends_at; /* UINT64_MAX: hangs */
        bool fails;
        bool stopping;
    };
    uint32_t millicores = 64000;
    uint64_t incarnation = 0; /* time of the last start */
    uint64_t started_at = 0;
    bool up = true;
    uint64_t lease_until = 0; /* in the worker's clock */
    uint64_t fence = 0;       /* highest fencing number seen */
    uint64_t next_outcome = 1;
    std::map<std::string, std::pair<rn_key, Run>> runs; /* by task */
    /* Highest run that ended or was stopped, by task. */
    std::map<std::string, uint64_t> highest_run;
    std::vector<rn_outcome> outcomes; /* not acknowledged yet */
    /* Faults. */
    /* Share of orders that are carried out seconds late. */
    double late_order_share = 0;
    /* Share of orders that are carried out at once, but their answer is lost.
     */
    double lost_answer_share = 0;
    /* Share of stops that get lost. */
    double lost_stop_share = 0;
    /* Share of starts that are refused, as by an unhealthy worker. */
    double refusal_share = 0;
    double slowdown = 1; /* tasks take this many times as long */
    bool fails_all = false;
    bool hangs = false;
};

struct World;

/* An agent process.  Each restart gives it a new id; while it is frozen, its
 * events wait in unread. */
struct FakeAgent {
    World *w = nullptr;
    size_t index = 0;
    uint64_t id = 0;
    bool up = false;
    uint64_t frozen_until = 0;
    agent agent_state;
    uint64_t poll_call = 0;
    std::vector<std::function<void()>> unread;
};

/* An entry process; see FakeAgent. */
struct FakeEntry {
    World *w = nullptr;
    size_t index = 0;
    uint64_t id = 0;
    bool up = false;
    uint64_t frozen_until = 0;
    uint64_t wall_offset_ms = 0; /* its time of day is later by this much */
    coord coord_state;
    relay relay_state;
    claims claims_state;
    catchup catchup_state;
    std::vector<std::function<void()>> held; /* requests, until it is ready */
    std::vector<std::function<void()>> unread;
    std::vector<std::function<void()>> answers;
};

struct Call;

/* Waits for a job: a caller, or the origin entry of a forwarded request. */
struct FakeWaiter {
    Call *call;
    rl_accepted *forwarded; /* null: a caller */
    bool waited = false;    /* another entry claimed the job */
};

/* A request of a caller, which may resend it to another entry. */
struct Call {
    uint64_t id;
    std::vector<uint32_t> task_ms; /* run time of each task */
    uint64_t sent_at;
    uint64_t deadline;
    size_t entry;      /* index of the entry that got the last send */
    uint64_t entry_id; /* its process */
    FakeWaiter *waiter = nullptr; /* at that entry */
    bool awaiting_answer = false; /* to the last send */
    uint32_t sends = 0;
    uint32_t broken_sends = 0; /* sends whose connection broke, the first n */
    uint32_t answers = 0;
    bool done = false;
    bool completed = false;
    bool started = false; /* a task has been started */
    bool refused = false;
};

struct World {
    explicit World(uint64_t seed, size_t entries, size_t agents,
        const sc_settings &settings = {});
    ~World();

    /* Faults.  A killed process is restarted after for_ms. */
    void kill_agent(size_t i, uint64_t for_ms);
    void kill_entry(size_t i, uint64_t for_ms);
    void freeze_agent(size_t i, uint64_t for_ms);
    /* mid_pass: after its tick, before it places tasks. */
    void freeze_entry(size_t i, uint64_t for_ms, bool mid_pass = false);
    /* Drops the messages between two processes, in the given directions. */
    void cut(size_t entry, size_t agent, bool to_agent, bool to_entry,
        uint64_t for_ms);
    /* Drops the messages from one entry to another. */
    void drop_entry_messages(size_t from, size_t to, uint64_t for_ms);
    /* The machine loses power: unlike after a kill, no connection to it is
     * refused, so that peers have to notice its silence. */
    void power_off_entry(size_t i, uint64_t for_ms);
    /* Resets a connection attempt of the entry to an agent that is alive. */
    void refuse_connection(size_t entry, size_t agent);
    /* Breaks the connections of callers that wait at an entry; they send again
     * after resend_ms, to any entry or to the same one.  The entry is told,
     * unless its network is cut off. */
    void break_callers(size_t entry, uint64_t resend_ms,
        bool same_entry = false, bool told = true);
    void crash_worker(size_t i, uint64_t for_ms);
    /* A planned stop: the worker drains, then restarts. */
    void drain_worker(size_t i);

    /* A new request of so many tasks of ms each, half to one and a half. */
    void submit(uint32_t tasks, uint32_t ms);
    /* Runs fn in ms from now. */
    void after(uint64_t ms, std::function<void()> fn);
    /* Advances the time. */
    void run(uint64_t ms);
    /* Uniformly distributed in [0, 1). */
    double chance();
    /* Prints if DW_TRACE is set. */
    void trace(const char *fmt, ...) __attribute__((format(printf, 2, 3)));

    /* ms that callers wait for an answer, over all their sends. */
    uint64_t caller_wait_ms = 3000;
    /* Share of requests that an entry forwards to another. */
    double forward_share = 0;
    /* The longest time until other entries learn of one that has started. */
    uint64_t discovery_ms = 0;
    /* Share of requests that go to entry 0, beyond its equal share. */
    double extra_share = 0;
    /* Shares of the reports of waits that are lost, doubled, or late by
     * LATE_WAITS_MS. */
    double lost_waits = 0;
    double doubled_waits = 0;
    double late_waits = 0;
    /* Shares of the other messages that are doubled, or late by up to
     * LATE_MESSAGE_MS. */
    double doubled_messages = 0;
    double late_messages = 0;

    sc_settings settings; /* of all entries */
    uint64_t now = 1000;
    std::vector<std::unique_ptr<FakeWorker>> workers;
    std::vector<std::unique_ptr<FakeAgent>> agents;
    std::vector<std::unique_ptr<FakeEntry>> entries;
    std::vector<std::unique_ptr<FakeWaiter>> waiters;
    std::map<uint64_t, std::unique_ptr<Call>> calls;
    std::vector<std::string> violations; /* of the guarantees above */
    uint64_t starts = 0;
    uint64_t messages = 0;
    uint64_t forwarded = 0; /* requests between entries */
    struct Forwarded {
        uint64_t at;
        size_t from, to; /* index of the entry */
    };
    std::vector<Forwarded> forwards; /* when they arrived at the peer */

    /* Used by the fakes. */
    struct Event {
        uint64_t at;
        uint64_t sequence;
        std::function<void()> fn;
        bool
        operator<(const Event &o) const
        {
            return at != o.at ? at > o.at : sequence > o.sequence;
        }
    };
    void start_agent(size_t i);
    void start_entry(size_t i);
    void entry_discovered(FakeEntry *e, FakeEntry *other);
    void tick_agent(FakeAgent *a, uint64_t id);
    void worker_heartbeat(FakeAgent *a, uint64_t id);
    void tick_entry(FakeEntry *e, uint64_t id);
    void tick_both(FakeEntry *e);
    void deliver_waits(uint64_t from, uint64_t to, const dw_msg *m);
    void update_waits(FakeEntry *e);
    bool forward_by_wait(FakeEntry *e, Call *c, FakeWaiter *waiter);
    void deliver(uint64_t from, uint64_t to, const dw_msg *m);
    void send_call(Call *c);
    void send_call_to(Call *c, size_t i);
    void request_arrives(FakeEntry *e, Call *c, uint32_t send);
    void deliver_copy(
        uint64_t from, uint64_t to, std::shared_ptr<dw_msg> copy);
    void caller_left(FakeEntry *e, FakeWaiter *waiter);
    void stop_entry(size_t i, uint64_t for_ms, bool power_loss);
    FakeWaiter *new_waiter(Call *c, rl_accepted *forwarded);
    void submit_at(FakeEntry *e, Call *c, FakeWaiter *waiter);
    void answered(Call *c, uint64_t entry_id, co_outcome outcome);
    void worker_tick(FakeWorker &w);
    /* True if a new run was started. */
    bool worker_start(size_t i, const rn_key &key, uint32_t millicores,
        uint32_t ms, rn_terms terms, rn_start_result *result);
    void worker_stop(size_t i, const rn_key &key, rn_terms terms);
    bool fenced(FakeWorker &w, uint64_t fence);
    void renew(FakeWorker &w, uint64_t until);
    void end_run(FakeWorker &w, const std::string &task, dw_end outcome);
    uint64_t worker_clock(const FakeWorker &w) const;
    void on_agent(FakeAgent *a, std::function<void()> fn);
    void on_entry(FakeEntry *e, std::function<void()> fn);

    std::mt19937_64 rng;
    std::priority_queue<Event> events;
    uint64_t next_sequence = 0;
    uint64_t next_id = 1;
    /* Connections that drop messages: process ids of sender, receiver. */
    std::set<std::pair<uint64_t, uint64_t>> dropped_links;
};

#endif
