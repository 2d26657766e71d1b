/*
 * fleet - several nodes of the deciding code in one process, for tests
 *
 * Small fakes at the interfaces: a network that delays, loses, repeats and
 * cuts, a store that goes down, is slow or loses answers, backend servers
 * that run tasks for a time.  Everything follows one random seed.  After a
 * run check() compares what was started with what was answered.
 */
#ifndef FLEET_HH
#define FLEET_HH

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "node.h"

struct Start {
    uint64_t at;
    size_t proc;
    std::string domain;
};

struct Answer {
    uint64_t at;
    dw_astate state;
    std::string reason;
    uint32_t retry_ms;
    std::vector<dw_tstate> tasks;
    std::vector<std::string> bodies;
};

struct Request {
    uint64_t id;
    size_t entry;
    std::string customer;
    std::string key;
    uint32_t tasks;
    front_kind kind;
    uint64_t at;
    bool entry_died = false;
    std::vector<Answer> answers;
};

struct Proc {
    node n;
    bool up = false;
    bool paused = false;
    bool backend_leaving = false;
    bool fails_all_tasks = false;
    bool store_unreachable = false;
    uint64_t backend_left_at = 0;
    uint64_t left_at = 0;
    uint64_t last_rev = 0;
    std::string name;
    std::string domain;
    std::vector<std::function<void()>> deferred; /* while paused */
    std::map<uint64_t, std::string> running;     /* ref to task name */
    size_t running_max = 0;
};

struct Net {
    double loss_rate = 0;
    double repeat_rate = 0;
    double delay_rate = 0; /* delayed by up to late_ms */
    uint64_t delay_max_ms = 2000;
    uint64_t delay_ms = 1;
};

struct Value {
    std::string value;
    uint64_t mod;
};

struct Store {
    std::map<std::string, Value> kvs;
    uint64_t rev = 1;
    bool down = false;
    double answer_loss_rate = 0;
    uint64_t slow_ms = 0;
    uint64_t txns = 0;
    uint64_t reads = 0;
};

class Fleet {
  public:
    explicit Fleet(uint64_t seed, size_t entries = 2, size_t agents = 6,
        size_t domains = 3);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    uint64_t now = 1000000;
    Net net;
    Store store;
    std::vector<std::unique_ptr<Proc>> procs; /* entries, then agents */
    std::vector<Request> requests;
    std::map<std::string, std::vector<Start>> starts; /* "customer key i" */
    std::vector<std::string> violations;              /* what check() found */
    uint64_t messages = 0;
    std::map<int, uint64_t> messages_by_type;
    uint32_t memory_mb = 0; /* declared by the tasks of submit() */
    /* Settings for processes started from here on. */
    std::function<void(node_cfg &)> configure;
    /* Look at every node after each event; may add to faults. */
    std::function<void(Proc &)> after_input;
    /* Look at every message that leaves, its sender and receiver. */
    std::function<void(Proc &, Proc *, const dw_msg *)> on_message;
    /* Called as a task starts. */
    std::function<void(Proc &, const std::string &)> on_task_start;

    size_t
    entries() const
    {
        return entry_count;
    }
    size_t
    agents() const
    {
        return procs.size() - entry_count;
    }
    Proc &
    entry(size_t i)
    {
        return *procs[i];
    }
    Proc &
    agent(size_t i)
    {
        return *procs[entry_count + i];
    }

    void run(uint64_t ms);
    /* Run until done() or ms have passed; true if it was done. */
    bool run_until(const std::function<bool()> &done, uint64_t ms);
    void at(uint64_t in_ms, std::function<void()> fn);
    /* Run until every live process is listed and fresh, and every partition
     * open. */
    bool settle(uint64_t ms = 20000);

    void contract(const std::string &customer, uint32_t rate = 100000,
        uint32_t running = 10000, uint32_t guaranteed = 0);
    void domain(const std::string &name, bool in);
    /* An operator's accepted change: written and held by a majority. */
    bool accepted(uint64_t rev);

    /* Returns the index into requests. */
    size_t submit(size_t entry, const std::string &customer,
        const std::string &key, uint32_t tasks = 1, uint32_t run_ms = 50,
        uint32_t deadline_ms = 20000, front_kind kind = FRONT_SUBMIT);
    bool answered(size_t request) const;
    const Answer &answer(size_t request) const;
    uint64_t owner_of(const std::string &customer, const std::string &key);
    Proc *proc_of(uint64_t id);
    size_t index_of(const Proc &p) const;

    void crash(size_t i);
    /* The same process again, as a new incarnation. */
    void restart(size_t i);
    void pause(size_t i, uint64_t ms);
    void leave(size_t i);
    void cut(size_t a, size_t b, bool on = true);
    void cut_off(size_t i, bool on = true); /* from all others */
    void backend_leave(size_t i);

    /* The promises; each breach is a line in faults. */
    void check();
    std::string faults_text() const;

  private:
    struct Event {
        uint64_t at;
        uint64_t seq;
        std::function<void()> fn;
        bool
        operator<(const Event &o) const
        {
            return at != o.at ? at > o.at : seq > o.seq;
        }
    };
    std::priority_queue<Event> events;
    uint64_t seq = 0;
    std::mt19937_64 random;
    size_t entry_count;
    size_t domain_count;
    uint64_t next_id = 0;
    uint64_t next_request = 1;
    std::set<std::pair<size_t, size_t>> cuts;
    std::map<std::string, uint64_t> out_since; /* failure domains */

    double
    chance()
    {
        return std::uniform_real_distribution<>(0, 1)(random);
    }
    void start(size_t i);
    void tick(size_t i, uint64_t id);
    void input(size_t i, uint64_t id, const std::function<void(acts *)> &fn);
    void carry_out(Proc &p, acts *as);
    void send(Proc &from, uint64_t to, const dw_msg *msg);
    void deliver(size_t to, uint64_t to_id, uint64_t from,
        const std::shared_ptr<dw_msg> &owned, uint64_t sent_at);
    void start_task(Proc &p, uint64_t ref);
    void run_task(size_t i, uint64_t id, uint64_t ref);
    void do_txn(Proc &p, const txn *t, uint64_t ref);
    void do_read(Proc &p, uint64_t what);
    void take_answer(uint64_t request, const dw_answer *a);
    bool apply(const txn *t);
    void await_accepted(const std::string &name, uint64_t rev);
    void check_request(const Request &r);
    void check_starts();
};

#endif
