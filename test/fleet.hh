/*
 * fleet - several nodes (node.h) in one process, for tests
 *
 * Simulates the network, which delays, loses and repeats messages and can be
 * cut; the store, which goes down, is slow or loses answers; and backend
 * servers that run each task for a given time.  Everything follows from one
 * random seed.  After a run check() compares the tasks that were started with
 * the answers.  Times are simulated milliseconds.
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

/* A start of a task. */
struct Start {
    uint64_t at;
    size_t proc; /* index of the agent */
    std::string domain;
};

/* An answer that a caller received; tasks and bodies are by task index. */
struct Answer {
    uint64_t at;
    dw_astate state;
    std::string reason;
    uint32_t retry_ms;
    std::vector<dw_tstate> tasks;
    std::vector<std::string> bodies;
};

/* A caller's request and its answers. */
struct Request {
    uint64_t id;
    size_t entry; /* index */
    std::string customer;
    std::string key;
    uint32_t tasks; /* their number */
    front_kind kind;
    uint64_t at;
    bool entry_died = false; /* no answer is due */
    std::vector<Answer> answers;
};

/* A process: its node and what the simulation knows about it. */
struct Proc {
    node n;
    bool up = false;
    bool paused = false;
    bool backend_leaving = false; /* the backend server is in planned stop */
    bool fails_all_tasks = false; /* the backend server fails every task */
    bool store_unreachable = false;
    uint64_t backend_left_at = 0;
    uint64_t left_at = 0;  /* when its planned stop ended; 0: not yet */
    uint64_t last_rev = 0; /* of its view, to detect a step back */
    std::string name;
    std::string domain;
    std::vector<std::function<void()>>
        deferred;                            /* inputs while it is paused */
    std::map<uint64_t, std::string> running; /* task name by ref */
    size_t running_max = 0;                  /* greatest size of running */
};

struct Net {
    double loss_rate = 0;   /* probability that a message is lost */
    double repeat_rate = 0; /* that it is sent twice */
    double delay_rate = 0;  /* that it is delayed by up to delay_max_ms more */
    uint64_t delay_max_ms = 2000;
    uint64_t delay_ms = 1; /* of every message */
};

struct Value {
    std::string value;
    uint64_t mod; /* revision of the last change */
};

struct Store {
    std::map<std::string, Value> kvs;
    uint64_t rev = 1; /* revision */
    bool down = false;
    double answer_loss_rate = 0; /* probability; the write is done */
    uint64_t slow_ms = 0;        /* added to every operation */
    uint64_t txns = 0;           /* count */
    uint64_t reads = 0;          /* count */
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
    std::map<std::string, std::vector<Start>> starts; /* by task name,
                                                       "customer key index" */
    std::vector<std::string> violations; /* of the promises, one line each */
    uint64_t messages = 0;               /* sent between processes */
    std::map<int, uint64_t> messages_by_type; /* dw_mtype */
    uint32_t memory_mb = 0; /* that the tasks of submit() declare */
    /* Changes the settings of processes that start after it was set. */
    std::function<void(node_cfg &)> configure;
    /* Called for a process after each of its inputs; may add violations. */
    std::function<void(Proc &)> after_input;
    /* Called for every message sent: sender, receiver (nullptr if it is down),
     * message. */
    std::function<void(Proc &, Proc *, const dw_msg *)> on_message;
    /* Called when a task starts, with its name. */
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
    /* Runs until done() is true or ms have passed; returns done(). */
    bool run_until(const std::function<bool()> &done, uint64_t ms);
    /* Calls fn in_ms from now. */
    void at(uint64_t in_ms, std::function<void()> fn);
    /* Runs until every process that is up is a member and fresh, and every
     * partition is open; false if that takes longer than ms. */
    bool settle(uint64_t ms = 20000);

    /* Writes a contract to the store. */
    void contract(const std::string &customer, uint32_t rate = 100000,
        uint32_t running = 10000, uint32_t guaranteed = 0);
    /* Withdraws or restores a failure domain. */
    void domain(const std::string &name, bool in);
    /* Is an operator's change accepted: does a majority hold the revision? */
    bool accepted(uint64_t rev);

    /* Sends a request through an entry; returns its index in requests. */
    size_t submit(size_t entry, const std::string &customer,
        const std::string &key, uint32_t tasks = 1, uint32_t run_ms = 50,
        uint32_t deadline_ms = 20000, front_kind kind = FRONT_SUBMIT);
    /* `request` is an index in requests. */
    bool answered(size_t request) const;
    /* The first answer; throws if there is none. */
    const Answer &answer(size_t request) const;
    /* Id of the owner of the key's partition, as a running process knows it;
     * 0: not known. */
    uint64_t owner_of(const std::string &customer, const std::string &key);
    /* The running process with this id; nullptr: none. */
    Proc *proc_of(uint64_t id);
    /* In procs. */
    size_t index_of(const Proc &p) const;

    /* Faults; i is an index in procs. */
    void crash(size_t i);
    /* Crashes the process and starts it as a new incarnation. */
    void restart(size_t i);
    /* Inputs are processed at the end of the pause. */
    void pause(size_t i, uint64_t ms);
    /* Planned stop. */
    void leave(size_t i);
    /* Cuts (or restores) the network between two processes. */
    void cut(size_t a, size_t b, bool on = true);
    /* Cuts a process off from all others, but not from the store. */
    void cut_off(size_t i, bool on = true);
    /* Planned stop of the agent's backend server. */
    void backend_leave(size_t i);

    /* Checks the promises; each violation is a line in violations. */
    void check();
    std::string violations_text() const;

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
    std::map<std::string, uint64_t>
        withdrawn_since; /* withdrawn failure domains: since when */

    double
    chance()
    {
        return std::uniform_real_distribution<>(0, 1)(random);
    }
    void start(size_t i);
    void tick(size_t i, uint64_t id);
    void input(size_t i, uint64_t id, const std::function<void(acts *)> &fn);
    void execute(Proc &p, acts *as);
    void send(Proc &from, uint64_t to, const dw_msg *msg);
    void deliver(size_t to, uint64_t to_id, uint64_t from,
        const std::shared_ptr<dw_msg> &owned, uint64_t sent_at);
    void start_task(Proc &p, uint64_t ref);
    void run_task(size_t i, uint64_t id, uint64_t ref);
    void do_txn(Proc &p, const txn *t, uint64_t ref);
    void do_read(Proc &p, uint64_t what);
    void record_answer(uint64_t request, const dw_answer *a);
    bool apply(const txn *t);
    void await_accepted(const std::string &name, uint64_t rev);
    void check_request(const Request &r);
    void check_starts();
};

#endif
