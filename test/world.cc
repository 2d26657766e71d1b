#include "world.hh"

#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "qpolicy.h"

namespace {

/* One-way latency of a call to a worker, and of a message between machines. */
constexpr uint64_t CALL_MS = 1;
constexpr uint64_t MESSAGE_MS = 1;
/* Time until a caller resends a request whose connection broke. */
constexpr uint64_t RESEND_MS = 1300;
/* Delay of a late report: several later ones arrive before it. */
constexpr uint64_t LATE_WAITS_MS = 300;
/* Longest extra delay of a message. */
constexpr uint64_t LATE_MESSAGE_MS = 800;
/* A daemon that stood still for longer expires leases before it reads. */
constexpr uint64_t PAUSE_MS = 300;

std::string
task_of(const rn_key &key)
{
    return std::to_string(key.job) + "." + std::to_string(key.index);
}

/* --- callbacks of agents --- */

FakeAgent *
self(void *ctx)
{
    return static_cast<FakeAgent *>(ctx);
}

/* Delivers an answer to the agent process that sent the call, if it still
 * runs. */
void
to_agent(FakeAgent *a, uint64_t id, uint64_t ms, std::function<void()> fn)
{
    a->w->after(ms, [a, id, fn] {
        if (a->up && a->id == id) {
            a->w->on_agent(a, fn);
        }
    });
}

void
do_start(void *ctx, const rn_run *run, const rn_terms *lease_terms)
{
    FakeAgent *a = self(ctx);
    World *w = a->w;
    FakeWorker *f = w->workers[a->index].get();
    rn_key key = run->key;
    uint64_t id = a->id;
    rn_terms terms = *lease_terms;
    uint32_t millicores = run->millicores;
    uint32_t ms = 1;
    auto call = w->calls.find(key.job);

    if (call != w->calls.end()) {
        ms = call->second->task_ms[key.index];
    }
    auto report_lost = [a, id, key] {
        to_agent(a, id, RN_ANSWER_TIMEOUT_MS, [a, key] {
            rn_start_answered(
                &a->agent_state.runner, a->w->now, &key, RN_START_LOST, 0);
        });
    };
    if (w->chance() < f->late_order_share) {
        w->after(2000 + w->rng() % 10000, [w, a, key, millicores, ms, terms] {
            rn_start_result r;
            w->worker_start(a->index, key, millicores, ms, terms, &r);
        });
        report_lost();
        return;
    }
    bool answer_lost = w->chance() < f->lost_answer_share;
    w->after(CALL_MS, [=] {
        rn_start_result result = RN_START_UNREACHABLE;

        if (f->up) {
            w->worker_start(a->index, key, millicores, ms, terms, &result);
        }
        if (answer_lost) {
            report_lost();
            return;
        }
        uint64_t clock = f->up ? w->worker_clock(*f) : 0;
        to_agent(a, id, CALL_MS, [a, key, result, clock] {
            rn_start_answered(
                &a->agent_state.runner, a->w->now, &key, result, clock);
        });
    });
}

void
do_stop(void *ctx, const rn_key *order_key, const rn_terms *lease_terms)
{
    FakeAgent *a = self(ctx);
    World *w = a->w;
    FakeWorker *f = w->workers[a->index].get();
    rn_key key = *order_key;
    rn_terms terms = *lease_terms;
    uint64_t id = a->id;
    bool late = w->chance() < f->late_order_share;

    if (f->lost_stop_share > 0 && w->chance() < f->lost_stop_share) {
        to_agent(a, id, RN_ANSWER_TIMEOUT_MS, [a, key] {
            rn_stop_answered(&a->agent_state.runner, a->w->now, &key, false);
        });
        return;
    }
    w->after(late ? 2000 + w->rng() % 10000 : CALL_MS, [=] {
        bool up = f->up;

        if (up) {
            w->worker_stop(a->index, key, terms);
        }
        to_agent(a, id, CALL_MS, [a, key, up, late] {
            rn_stop_answered(
                &a->agent_state.runner, a->w->now, &key, up && !late);
        });
    });
    if (late) {
        to_agent(a, id, RN_ANSWER_TIMEOUT_MS, [a, key] {
            rn_stop_answered(&a->agent_state.runner, a->w->now, &key, false);
        });
    }
}

/* A long poll; answered is also set when the agent has given it up. */
struct PollCall {
    bool answered = false;
    uint64_t sent_ms;
    bool immediate;
};

void
answer_poll(FakeAgent *a, uint64_t id, std::shared_ptr<PollCall> call)
{
    World *w = a->w;
    FakeWorker *f = w->workers[a->index].get();
    auto running = std::make_shared<std::vector<rn_poll_run>>();
    auto outcomes = std::make_shared<std::vector<rn_outcome>>(f->outcomes);
    uint64_t clock = w->worker_clock(*f);
    uint64_t incarnation = f->incarnation;

    if (call->answered) {
        return;
    }
    call->answered = true;
    for (auto &r : f->runs) {
        running->push_back({r.second.first, 0});
    }
    to_agent(a, id, CALL_MS, [=] {
        rn_poll answer = {};

        answer.sent_ms = call->sent_ms;
        answer.immediate = call->immediate;
        answer.ok = true;
        answer.worker_clock_ms = clock;
        answer.incarnation = incarnation;
        answer.running = running->data();
        answer.running_count = running->size();
        answer.outcomes = outcomes->data();
        answer.outcome_count = outcomes->size();
        rn_poll_answered(&a->agent_state.runner, w->now, &answer);
    });
}

void
wait_poll(
    FakeAgent *a, uint64_t id, std::shared_ptr<PollCall> call, uint64_t until)
{
    World *w = a->w;
    FakeWorker *f = w->workers[a->index].get();

    if (!f->up) {
        return;
    }
    if (!f->outcomes.empty() || w->now >= until) {
        answer_poll(a, id, call);
        return;
    }
    w->after(1, [=] { wait_poll(a, id, call, until); });
}

void
do_poll(void *ctx, const rn_poll_request *request, const rn_terms *lease_terms)
{
    rn_terms terms = *lease_terms;
    uint64_t ack = request->ack;
    uint32_t wait_ms = request->wait_ms;
    bool immediate = request->immediate;
    FakeAgent *a = self(ctx);
    World *w = a->w;
    FakeWorker *f = w->workers[a->index].get();
    uint64_t id = a->id;
    auto call = std::make_shared<PollCall>();
    bool lost = w->chance() < f->late_order_share + f->lost_answer_share;

    call->sent_ms = w->now;
    call->immediate = immediate;
    w->after(CALL_MS, [=] {
        if (!f->up || lost || w->fenced(*f, terms.fence)) {
            return;
        }
        w->renew(*f, terms.lease_until_ms);
        while (!f->outcomes.empty() && f->outcomes.front().seq <= ack) {
            f->outcomes.erase(f->outcomes.begin());
        }
        wait_poll(a, id, call, w->now + wait_ms);
    });
    w->after(wait_ms + RN_POLL_MARGIN_MS, [=] {
        if (call->answered) {
            return;
        }
        call->answered = true;
        if (!a->up || a->id != id) {
            return;
        }
        w->on_agent(a, [=] {
            rn_poll answer = {};

            answer.sent_ms = call->sent_ms;
            answer.immediate = immediate;
            answer.unreachable = !f->up;
            rn_poll_answered(&a->agent_state.runner, w->now, &answer);
        });
    });
}

void
agent_send(void *ctx, uint64_t to, const dw_msg *m)
{
    FakeAgent *a = self(ctx);

    a->w->deliver(a->id, to, m);
}

void
agent_reconnect(void *, uint64_t)
{
}

void
agent_note_outcome(void *ctx, const rn_run *r, dw_end outcome, uint32_t)
{
    FakeAgent *a = self(ctx);

    a->w->trace("agent %zu: task %s run %lu ended %d in state %d", a->index,
        task_of(r->key).c_str(), r->key.run, outcome, r->state);
}

void
agent_note_session(void *ctx, uint64_t entry, const char *what, uint64_t ms)
{
    FakeAgent *a = self(ctx);

    a->w->trace(
        "agent %zu: entry %lu %s, silent %lu", a->index, entry, what, ms);
}

void
agent_note_event(void *ctx, const rn_event *e)
{
    FakeAgent *a = self(ctx);

    a->w->trace("agent %zu: worker event %d, %zu active", a->index, e->kind,
        e->active);
}

const ag_ops agent_ops = {
    {do_start, do_stop, do_poll, nullptr, agent_note_event, nullptr},
    agent_send, agent_reconnect, agent_note_outcome, agent_note_session};

/* --- callbacks of entries --- */

void
entry_send(void *ctx, uint64_t to, const dw_msg *m)
{
    FakeEntry *e = static_cast<FakeEntry *>(ctx);

    e->w->deliver(e->id, to, m);
}

void
entry_answer(
    void *ctx, void *handle, co_outcome outcome, const char *, uint32_t)
{
    FakeEntry *e = static_cast<FakeEntry *>(ctx);
    FakeWaiter *waiter = static_cast<FakeWaiter *>(handle);
    Call *c = waiter->call;
    uint64_t id = e->id;

    if (outcome == CO_NOT_RUN && waiter->waited) {
        outcome = CO_GAVE_UP;
    }
    if (waiter->forwarded != nullptr) {
        rl_reply(waiter->forwarded, outcome, "", 0);
    }
    else {
        if (c->waiter == waiter) {
            c->waiter = nullptr;
        }
        e->answers.push_back(
            [e, c, id, outcome] { e->w->answered(c, id, outcome); });
    }
}

/* --- forwarded requests --- */

void
begin_forwarded(void *ctx, rl_accepted *forwarded)
{
    FakeEntry *e = static_cast<FakeEntry *>(ctx);
    Call *c = e->w->calls.at(strtoull(forwarded->path, nullptr, 10)).get();
    FakeWaiter *waiter = e->w->new_waiter(c, forwarded);

    forwarded->data = waiter;
    e->w->forwarded++;
    e->w->forwards.push_back({e->w->now, c->entry, e->index});
    e->w->submit_at(e, c, waiter);
}

void
cancel_forwarded(void *ctx, rl_accepted *forwarded)
{
    FakeEntry *e = static_cast<FakeEntry *>(ctx);
    FakeWaiter *waiter = static_cast<FakeWaiter *>(forwarded->data);

    if (!cl_caller_left(&e->claims_state, waiter)) {
        co_caller_left(&e->coord_state, e->w->now, waiter);
    }
}

void
relay_note(void *ctx, uint64_t entry, const char *what, uint64_t)
{
    FakeEntry *e = static_cast<FakeEntry *>(ctx);

    e->w->trace("entry %zu: entry %lu %s", e->index, entry, what);
}

const rl_ops relay_ops = {
    entry_send, begin_forwarded, cancel_forwarded, entry_answer, relay_note};

void
entry_note(void *, const co_job *, const char *)
{
}

void
entry_job_failed(void *, uint64_t)
{
}

void
entry_note_refusal(void *, const struct co_submit *,
    const struct es_estimate *, const char *, uint64_t)
{
}

void
entry_note_run(void *, const co_job *, uint32_t, const char *, const char *)
{
}

void
entry_note_agent(void *, const fl_agent *, const char *)
{
}

void
entry_note_outlived(void *, const co_outliving *, uint64_t, const char *)
{
}

/* --- claims --- */

void
claims_broadcast(void *ctx, const dw_msg *m)
{
    rl_broadcast(&static_cast<FakeEntry *>(ctx)->relay_state, m);
}

void
claims_hold(void *ctx, claims *c)
{
    cl_hold_jobs(c, &static_cast<FakeEntry *>(ctx)->coord_state);
}

void
claims_start(void *ctx, void *handle)
{
    FakeEntry *e = static_cast<FakeEntry *>(ctx);
    FakeWaiter *waiter = static_cast<FakeWaiter *>(handle);

    e->w->submit_at(e, waiter->call, waiter);
}

void
claims_refuse(void *ctx, void *handle, const char *reason)
{
    entry_answer(ctx, handle, CO_GAVE_UP, reason, 0);
}

void
claims_give_up(void *ctx, uint64_t job, const char *reason)
{
    FakeEntry *e = static_cast<FakeEntry *>(ctx);

    co_give_up_job(&e->coord_state, e->w->now, job, reason);
}

void
claims_note(
    void *ctx, const char *event, uint64_t job, uint64_t entry, uint64_t ms)
{
    FakeEntry *e = static_cast<FakeEntry *>(ctx);

    e->w->trace("entry %zu: %s job %lu entry %lu ms %lu", e->index, event, job,
        entry, ms);
}

const cl_ops claims_ops = {claims_broadcast, entry_send, claims_hold,
    claims_start, claims_refuse, claims_give_up, claims_note};

/* --- entries that start --- */

void
catchup_ask(void *ctx, uint64_t to, uint32_t nonce, bool all)
{
    dw_msg m = {};

    m.type = DW_JOIN;
    m.dw_msg_u.join.nonce = nonce;
    m.dw_msg_u.join.all = all;
    entry_send(ctx, to, &m);
}

void
catchup_ready(void *ctx, uint32_t, uint32_t, uint64_t)
{
    FakeEntry *e = static_cast<FakeEntry *>(ctx);

    for (auto &request : e->held) {
        e->w->after(0, request);
    }
    e->held.clear();
}

const cu_ops catchup_ops = {catchup_ask, catchup_ready};

/* The newcomer gets what this entry announces from now on. */
void
reply_to_join(FakeEntry *e, uint64_t from, const dw_join *join)
{
    dw_msg m = {};
    dw_joined *out = &m.dw_msg_u.joined;

    rl_add_entry(&e->relay_state, from);
    m.type = DW_JOINED;
    out->nonce = join->nonce;
    cl_fill_joined(&e->claims_state, e->w->now, join->all, out);
    entry_send(e, from, &m);
    free(out->claims.claims_val);
    free(out->heard.heard_val);
}

void
receive_joined(FakeEntry *e, uint64_t from, const dw_joined *m)
{
    cl_receive_joined(&e->claims_state, e->w->now, from, m);
    cu_receive(&e->catchup_state, e->w->now, from, m->nonce);
}

const co_ops entry_ops = {entry_send, entry_answer, entry_job_failed,
    entry_note, entry_note_refusal, entry_note_run, entry_note_agent,
    entry_note_outlived};

} // namespace

/* --- the world --- */

World::World(uint64_t seed, size_t entry_count, size_t agent_count,
    const sc_settings &sched)
    : settings(sched), rng(seed)
{
    for (size_t i = 0; i < agent_count; i++) {
        workers.push_back(std::make_unique<FakeWorker>());
        workers[i]->incarnation = now;
        workers[i]->started_at = now;
        agents.push_back(std::make_unique<FakeAgent>());
        agents[i]->w = this;
        agents[i]->index = i;
    }
    for (size_t i = 0; i < entry_count; i++) {
        entries.push_back(std::make_unique<FakeEntry>());
        entries[i]->w = this;
        entries[i]->index = i;
        start_entry(i);
    }
    for (size_t i = 0; i < agent_count; i++) {
        start_agent(i);
    }
    run(1500);
}

World::~World()
{
    for (auto &a : agents) {
        if (a->up) {
            ag_free(&a->agent_state);
        }
    }
    for (auto &e : entries) {
        if (e->up) {
            co_free(&e->coord_state);
            rl_free(&e->relay_state);
            cl_free(&e->claims_state);
            cu_free(&e->catchup_state);
        }
    }
}

void
World::trace(const char *fmt, ...)
{
    static const bool enabled = getenv("DW_TRACE") != nullptr;
    va_list ap;

    if (enabled) {
        printf("%lu ", (unsigned long)now);
        va_start(ap, fmt);
        vprintf(fmt, ap);
        va_end(ap);
        printf("\n");
    }
}

double
World::chance()
{
    return (double)(rng() >> 11) / 9007199254740992.0;
}

void
World::after(uint64_t ms, std::function<void()> fn)
{
    events.push({now + ms, next_sequence++, std::move(fn)});
}

/* Events of a frozen process wait until it continues. */
void
World::on_agent(FakeAgent *a, std::function<void()> fn)
{
    if (now < a->frozen_until) {
        a->unread.push_back(std::move(fn));
        return;
    }
    fn();
    ag_flush(&a->agent_state, now);
}

void
World::on_entry(FakeEntry *e, std::function<void()> fn)
{
    if (now < e->frozen_until) {
        e->unread.push_back(std::move(fn));
        return;
    }
    fn();
    co_flush(&e->coord_state, now);
    rl_flush(&e->relay_state, now);
    auto answers = std::move(e->answers);
    e->answers.clear();
    for (auto &deliver_answer : answers) {
        deliver_answer();
    }
}

void
World::start_agent(size_t i)
{
    FakeAgent *a = agents[i].get();

    a->id = next_id++;
    a->up = true;
    a->frozen_until = 0;
    a->unread.clear();
    ag_init(&a->agent_state, now, &agent_ops, a);
    rn_set_capacity(&a->agent_state.runner, now, workers[i]->millicores,
        1000000, 0, workers[i]->incarnation);
    for (auto &e : entries) {
        if (e->up) {
            fl_add(&e->coord_state.fleet, a->id,
                ("agent-" + std::to_string(a->index)).c_str(), "domain", "s")
                ->member = true;
        }
    }
    uint64_t id = a->id;
    after(1, [this, a, id] { tick_agent(a, id); });
    after(5, [this, a, id] { worker_heartbeat(a, id); });
}

void
World::tick_agent(FakeAgent *a, uint64_t id)
{
    if (!a->up || a->id != id) {
        return;
    }
    if (now >= a->frozen_until) {
        ag_tick(&a->agent_state, now);
        ag_flush(&a->agent_state, now);
    }
    after(20, [this, a, id] { tick_agent(a, id); });
}

void
World::update_waits(FakeEntry *e)
{
    bl_waits waits = {};

    qp_predict_waits(
        &e->coord_state, now,
        [](void *ctx, const char *service, uint32_t priority, double wait_ms) {
            bl_add(static_cast<bl_waits *>(ctx), str_of(service), priority,
                wait_ms);
        },
        &waits);
    rl_set_waits(&e->relay_state, now, &waits);
}

bool
World::forward_by_wait(FakeEntry *e, Call *c, FakeWaiter *waiter)
{
    std::string path = std::to_string(c->id);

    return e->coord_state.settings.balance == SC_BALANCE_WAIT &&
           rl_forward_by_wait(&e->relay_state, now, waiter, STR("s"), 0,
               STR("host"), str_make(path.data(), path.size()), STR("body"),
               (uint32_t)(c->deadline - now));
}

/* The relay first: requests of silent origin entries must be dropped before
 * coord places their tasks again. */
void
World::tick_both(FakeEntry *e)
{
    rl_state state = {true, 0, 1};

    rl_set_state(&e->relay_state, &state);
    if (forward_share > 0) {
        rl_need_peers(&e->relay_state, now);
    }
    if (e->coord_state.settings.balance == SC_BALANCE_WAIT) {
        update_waits(e);
    }
    rl_tick(&e->relay_state, now);
    co_tick(&e->coord_state, now);
    cl_regained(&e->claims_state, co_regained_ms(&e->coord_state));
    cl_tick(&e->claims_state, now);
    cu_tick(&e->catchup_state, now);
}

/* The worker reports every 1.5 s. */
void
World::worker_heartbeat(FakeAgent *a, uint64_t id)
{
    FakeWorker *w = workers[a->index].get();

    if (!a->up || a->id != id) {
        return;
    }
    if (w->up) {
        on_agent(a, [this, a, w] {
            rn_set_capacity(&a->agent_state.runner, now, w->millicores,
                1000000, 0, w->incarnation);
        });
    }
    after(1500, [this, a, id] { worker_heartbeat(a, id); });
}

void
World::start_entry(size_t i)
{
    FakeEntry *e = entries[i].get();

    e->id = next_id++;
    e->up = true;
    e->frozen_until = 0;
    e->unread.clear();
    co_init(&e->coord_state, &entry_ops, e, rng(), "d0", "10.0.0.1", 1);
    e->coord_state.settings = settings;
    rl_init(&e->relay_state, &relay_ops, e, e->id);
    cl_init(&e->claims_state, &claims_ops, e, e->id);
    cu_init(&e->catchup_state, &catchup_ops, e, (uint32_t)e->id);
    e->held.clear();
    for (auto &other : entries) {
        if (other->up && other->id != e->id) {
            rl_add_entry(&e->relay_state, other->id);
            cu_add_entry(&e->catchup_state, other->id);
            entry_discovered(e, other.get());
        }
    }
    cu_begin(&e->catchup_state, now);
    for (auto &a : agents) {
        if (a->up) {
            fl_add(&e->coord_state.fleet, a->id,
                ("agent-" + std::to_string(a->index)).c_str(), "domain", "s")
                ->member = true;
        }
    }
    uint64_t id = e->id;
    after(1, [this, e, id] { tick_entry(e, id); });
}

void
World::entry_discovered(FakeEntry *e, FakeEntry *other)
{
    uint64_t id = e->id;
    uint64_t other_id = other->id;
    auto add = [other, id, other_id] {
        if (other->up && other->id == other_id) {
            rl_add_entry(&other->relay_state, id);
            cl_entry_added(&other->claims_state);
        }
    };

    if (discovery_ms == 0) {
        add();
    }
    else {
        after(rng() % discovery_ms, add);
    }
}

void
World::tick_entry(FakeEntry *e, uint64_t id)
{
    if (!e->up || e->id != id) {
        return;
    }
    if (now >= e->frozen_until) {
        on_entry(e, [this, e] { tick_both(e); });
    }
    after(20, [this, e, id] { tick_entry(e, id); });
}

/* --- the network --- */

/* Entries of an older version do not know the message. */
void
World::deliver_waits(uint64_t from, uint64_t to, const dw_msg *m)
{
    std::shared_ptr<dw_msg> copy(msg_clone(m), msg_free);
    int copies = doubled_waits > 0 && chance() < doubled_waits ? 2 : 1;

    if (lost_waits > 0 && chance() < lost_waits) {
        return;
    }
    for (int i = 0; i < copies; i++) {
        bool late = late_waits > 0 && chance() < late_waits;

        after(late ? LATE_WAITS_MS : MESSAGE_MS, [this, from, to, copy] {
            for (auto &e : entries) {
                FakeEntry *p = e.get();

                if (p->up && p->id == to &&
                    p->coord_state.settings.balance == SC_BALANCE_WAIT) {
                    on_entry(p, [this, p, from, copy] {
                        rl_receive_waits(
                            &p->relay_state, now, from, &copy->dw_msg_u.waits);
                    });
                }
            }
        });
    }
}

void
World::deliver(uint64_t from, uint64_t to, const dw_msg *m)
{
    messages++;
    if (dropped_links.count({from, to}) != 0) {
        return;
    }
    if (m->type == DW_WAITS) {
        deliver_waits(from, to, m);
        return;
    }
    std::shared_ptr<dw_msg> copy(msg_clone(m), msg_free);
    int copies = doubled_messages > 0 && chance() < doubled_messages ? 2 : 1;

    for (int i = 0; i < copies; i++) {
        bool late = late_messages > 0 && chance() < late_messages;

        after(MESSAGE_MS + (late ? rng() % LATE_MESSAGE_MS : 0),
            [this, from, to, copy] { deliver_copy(from, to, copy); });
    }
}

void
World::deliver_copy(uint64_t from, uint64_t to, std::shared_ptr<dw_msg> copy)
{
    for (auto &e : entries) {
        FakeEntry *p = e.get();
        if (p->up && p->id == to && copy->type == DW_REPORT) {
            on_entry(p, [this, p, from, copy] {
                co_report(&p->coord_state, now, from, &copy->dw_msg_u.report);
            });
        }
        else if (p->up && p->id == to && copy->type == DW_OPEN) {
            on_entry(p, [p, from, copy] {
                co_open_starts(&p->coord_state, from, &copy->dw_msg_u.open);
            });
        }
        else if (p->up && p->id == to && copy->type == DW_SUPPLY) {
            on_entry(p, [this, p, from, copy] {
                dm_handle_supply(
                    &p->coord_state, now, from, &copy->dw_msg_u.supply);
            });
        }
        else if (p->up && p->id == to && copy->type == DW_RELAY) {
            on_entry(p, [this, p, from, copy] {
                rl_receive_requests(
                    &p->relay_state, now, from, &copy->dw_msg_u.relay);
            });
        }
        else if (p->up && p->id == to && copy->type == DW_RELAYED) {
            on_entry(p, [this, p, from, copy] {
                rl_receive_replies(
                    &p->relay_state, now, from, &copy->dw_msg_u.relayed);
            });
        }
        else if (p->up && p->id == to && copy->type == DW_CLAIMS) {
            on_entry(p, [this, p, from, copy] {
                cl_receive_claims(
                    &p->claims_state, now, from, &copy->dw_msg_u.claims);
            });
        }
        else if (p->up && p->id == to && copy->type == DW_JOIN) {
            on_entry(p, [p, from, copy] {
                reply_to_join(p, from, &copy->dw_msg_u.join);
            });
        }
        else if (p->up && p->id == to && copy->type == DW_JOINED) {
            on_entry(p, [p, from, copy] {
                receive_joined(p, from, &copy->dw_msg_u.joined);
            });
        }
        else if (p->up && p->id == to && copy->type == DW_MOVED) {
            on_entry(p, [this, p, from, copy] {
                cl_receive_moved(
                    &p->claims_state, now, from, &copy->dw_msg_u.moved);
            });
        }
    }
    for (auto &a : agents) {
        FakeAgent *p = a.get();
        if (p->up && p->id == to && copy->type == DW_ORDERS) {
            on_agent(p, [this, p, from, copy] {
                ag_handle_orders(
                    &p->agent_state, now, from, &copy->dw_msg_u.orders);
            });
        }
        else if (p->up && p->id == to && copy->type == DW_DEMAND) {
            on_agent(p, [this, p, from, copy] {
                ag_handle_demand(
                    &p->agent_state, now, from, &copy->dw_msg_u.demand);
            });
        }
    }
}

void
World::cut(
    size_t entry, size_t agent, bool to_agent, bool to_entry, uint64_t for_ms)
{
    std::pair<uint64_t, uint64_t> agent_link = {
        entries[entry]->id, agents[agent]->id};
    std::pair<uint64_t, uint64_t> entry_link = {
        agent_link.second, agent_link.first};

    trace("cut entry %zu agent %zu: %d %d for %lu", entry, agent, to_agent,
        to_entry, for_ms);
    if (to_agent) {
        dropped_links.insert(agent_link);
    }
    if (to_entry) {
        dropped_links.insert(entry_link);
    }
    after(for_ms, [this, agent_link, entry_link] {
        dropped_links.erase(agent_link);
        dropped_links.erase(entry_link);
    });
}

void
World::refuse_connection(size_t entry, size_t agent)
{
    FakeEntry *e = entries[entry].get();
    uint64_t id = agents[agent]->id;

    trace("entry %zu: connection to agent %zu refused", entry, agent);
    on_entry(e, [this, e, id] {
        if (e->up) {
            co_agent_dead(&e->coord_state, now, id);
        }
    });
}

void
World::break_callers(
    size_t entry, uint64_t resend_ms, bool same_entry, bool told)
{
    FakeEntry *e = entries[entry].get();

    trace("entry %zu: callers' connections break", entry);
    for (auto &p : calls) {
        Call *c = p.second.get();
        uint64_t id = e->id;

        if (!c->awaiting_answer || c->entry_id != id) {
            continue;
        }
        FakeWaiter *waiter = c->waiter;
        c->waiter = nullptr;
        c->broken_sends = c->sends;
        c->awaiting_answer = false;
        if (waiter != nullptr && told) {
            on_entry(e, [this, e, waiter] { caller_left(e, waiter); });
        }
        if (now + resend_ms < c->deadline) {
            after(resend_ms, [this, c, entry, same_entry] {
                if (same_entry) {
                    send_call_to(c, entry);
                }
                else {
                    send_call(c);
                }
            });
        }
    }
}

void
World::drop_entry_messages(size_t from, size_t to, uint64_t for_ms)
{
    std::pair<uint64_t, uint64_t> link = {entries[from]->id, entries[to]->id};

    trace("cut entry %zu to entry %zu for %lu", from, to, for_ms);
    dropped_links.insert(link);
    after(for_ms, [this, link] { dropped_links.erase(link); });
}

/* --- processes --- */

void
World::kill_agent(size_t i, uint64_t for_ms)
{
    trace("kill_agent %zu for %lu", i, for_ms);
    FakeAgent *a = agents[i].get();
    uint64_t id = a->id;

    if (!a->up) {
        return;
    }
    a->up = false;
    ag_free(&a->agent_state);
    for (auto &p : entries) {
        FakeEntry *e = p.get();
        uint64_t entry_id = e->id;
        after(MESSAGE_MS, [this, e, entry_id, id] {
            if (e->up && e->id == entry_id) {
                on_entry(e, [this, e, id] {
                    fl_agent *f = fl_find(&e->coord_state.fleet, id);
                    if (f != nullptr) {
                        f->member = false;
                    }
                    co_agent_dead(&e->coord_state, now, id);
                });
            }
        });
    }
    after(for_ms, [this, i] { start_agent(i); });
}

void
World::kill_entry(size_t i, uint64_t for_ms)
{
    trace("kill_entry %zu for %lu", i, for_ms);
    stop_entry(i, for_ms, false);
}

void
World::power_off_entry(size_t i, uint64_t for_ms)
{
    trace("power_off_entry %zu for %lu", i, for_ms);
    stop_entry(i, for_ms, true);
}

void
World::stop_entry(size_t i, uint64_t for_ms, bool power_loss)
{
    FakeEntry *e = entries[i].get();
    uint64_t id = e->id;

    if (!e->up) {
        return;
    }
    e->up = false;
    e->answers.clear();
    co_free(&e->coord_state);
    rl_free(&e->relay_state);
    cl_free(&e->claims_state);
    cu_free(&e->catchup_state);
    for (auto &c : calls) {
        Call *call = c.second.get();
        if (call->awaiting_answer && call->entry_id == id) {
            call->awaiting_answer = false;
            call->waiter = nullptr;
            if (now + RESEND_MS < call->deadline) {
                after(RESEND_MS, [this, call] { send_call(call); });
            }
        }
    }
    for (auto &p : agents) {
        FakeAgent *a = p.get();
        uint64_t agent_id = a->id;
        after(MESSAGE_MS, [this, a, agent_id, id, power_loss] {
            if (!power_loss && a->up && a->id == agent_id) {
                on_agent(a, [this, a, id] {
                    ag_entry_dead(&a->agent_state, now, id);
                });
            }
        });
    }
    for (auto &p : entries) {
        FakeEntry *other = p.get();
        uint64_t other_id = other->id;
        after(MESSAGE_MS, [this, other, other_id, id, power_loss] {
            if (!power_loss && other->up && other->id == other_id) {
                on_entry(other, [this, other, id] {
                    rl_process_dead(&other->relay_state, now, id);
                });
            }
        });
    }
    after(for_ms, [this, i] { start_entry(i); });
}

void
World::freeze_agent(size_t i, uint64_t for_ms)
{
    trace("freeze_agent %zu for %lu", i, for_ms);
    FakeAgent *a = agents[i].get();
    uint64_t id = a->id;

    if (!a->up || now < a->frozen_until) {
        return;
    }
    a->frozen_until = now + for_ms;
    after(for_ms, [this, a, id, for_ms] {
        if (!a->up || a->id != id) {
            return;
        }
        a->frozen_until = 0;
        if (for_ms > PAUSE_MS) {
            ag_tick(&a->agent_state, now);
        }
        auto unread = std::move(a->unread);
        a->unread.clear();
        for (auto &fn : unread) {
            fn();
        }
        ag_tick(&a->agent_state, now);
        ag_flush(&a->agent_state, now);
    });
}

void
World::freeze_entry(size_t i, uint64_t for_ms, bool mid_pass)
{
    trace("freeze_entry %zu for %lu", i, for_ms);
    FakeEntry *e = entries[i].get();
    uint64_t id = e->id;

    if (!e->up || now < e->frozen_until) {
        return;
    }
    e->frozen_until = now + for_ms;
    after(for_ms, [this, e, id, mid_pass] {
        if (!e->up || e->id != id) {
            return;
        }
        e->frozen_until = 0;
        if (mid_pass) {
            co_flush(&e->coord_state, now);
            rl_flush(&e->relay_state, now);
        }
        auto unread = std::move(e->unread);
        e->unread.clear();
        for (auto &fn : unread) {
            fn();
        }
        on_entry(e, [this, e] { tick_both(e); });
    });
}

/* --- workers --- */

uint64_t
World::worker_clock(const FakeWorker &w) const
{
    return 1 + (now - w.started_at) * 98 / 100;
}

void
World::crash_worker(size_t i, uint64_t for_ms)
{
    trace("crash_worker %zu for %lu", i, for_ms);
    FakeWorker *w = workers[i].get();

    if (!w->up) {
        return;
    }
    w->up = false;
    w->runs.clear();
    w->highest_run.clear();
    w->outcomes.clear();
    w->lease_until = 0;
    w->fence = 0;
    after(for_ms, [this, w] {
        w->up = true;
        w->incarnation = now;
        w->started_at = now;
        w->next_outcome = 1;
    });
}

void
World::drain_worker(size_t i)
{
    FakeAgent *a = agents[i].get();

    on_agent(a, [this, a] {
        rn_set_draining(&a->agent_state.runner, now, true, true, 2000);
    });
    after(2300, [this, i] { crash_worker(i, 3000); });
}

/* Remembers the highest fencing number; true if this one is lower. */
bool
World::fenced(FakeWorker &w, uint64_t fence)
{
    w.fence = std::max(w.fence, fence);
    return fence < w.fence;
}

/* Leases are cut to a second. */
void
World::renew(FakeWorker &w, uint64_t until)
{
    w.lease_until =
        std::max(w.lease_until, std::min(until, worker_clock(w) + 1000));
}

void
World::end_run(FakeWorker &w, const std::string &task, dw_end outcome)
{
    auto it = w.runs.find(task);
    rn_outcome listed;

    trace("worker: task %s run %lu ended %d", task.c_str(),
        it->second.first.run, outcome);
    listed.seq = w.next_outcome++;
    listed.key = it->second.first;
    listed.outcome = outcome;
    w.highest_run[task] = listed.key.run;
    w.outcomes.push_back(listed);
    w.runs.erase(it);
}

void
World::worker_tick(FakeWorker &w)
{
    bool lease_expired = !w.runs.empty() && worker_clock(w) > w.lease_until;

    for (auto it = w.runs.begin(); it != w.runs.end();) {
        auto next = std::next(it);
        const FakeWorker::Run &r = it->second.second;

        if (lease_expired) {
            end_run(w, it->first, DW_END_LOST);
        }
        else if (now >= r.ends_at) {
            end_run(w, it->first,
                r.stopping ? DW_END_STOPPED
                : r.fails  ? DW_END_FAILED
                           : DW_END_DONE);
        }
        it = next;
    }
}

bool
World::worker_start(size_t i, const rn_key &key, uint32_t millicores,
    uint32_t ms, rn_terms terms, rn_start_result *result)
{
    FakeWorker &w = *workers[i];
    std::string task = task_of(key);
    uint32_t used_millicores = millicores;

    *result = RN_START_REFUSED;
    if (!w.up) {
        *result = RN_START_UNREACHABLE;
        return false;
    }
    if (fenced(w, terms.fence)) {
        *result = RN_START_FENCED;
        return false;
    }
    if (w.refusal_share > 0 && chance() < w.refusal_share) {
        return false;
    }
    if (terms.lease_until_ms < worker_clock(w)) {
        return false; /* the lease of the order has expired */
    }
    if (w.runs.count(task) != 0) {
        *result =
            w.runs[task].first.run == key.run ? RN_START_OK : RN_START_REFUSED;
        return false;
    }
    if (w.highest_run.count(task) != 0 && key.run <= w.highest_run[task]) {
        return false; /* this run or a later one has ended or was stopped */
    }
    for (auto &r : w.runs) {
        used_millicores += r.second.second.millicores;
    }
    if (used_millicores > w.millicores) {
        violations.push_back("worker " + std::to_string(i) +
                             " over its capacity at " + std::to_string(now) +
                             " by " + task + " run " +
                             std::to_string(key.run));
    }
    for (size_t k = 0; k < workers.size(); k++) {
        if (k != i && workers[k]->up && workers[k]->runs.count(task) != 0) {
            violations.push_back(
                "task " + task + " runs twice at " + std::to_string(now) +
                ": on " + std::to_string(k) + " run " +
                std::to_string(workers[k]->runs[task].first.run) + " and on " +
                std::to_string(i) + " run " + std::to_string(key.run));
        }
    }
    renew(w, terms.lease_until_ms);
    w.runs[task] = {key,
        {millicores, w.hangs ? UINT64_MAX : now + (uint64_t)(ms * w.slowdown),
            w.fails_all, false}};
    starts++;
    trace("worker %zu: task %s run %lu starts until %lu clock %lu", i,
        task.c_str(), key.run, w.lease_until, worker_clock(w));
    auto call = calls.find(key.job);
    if (call != calls.end()) {
        call->second->started = true;
    }
    *result = RN_START_OK;
    return true;
}

void
World::worker_stop(size_t i, const rn_key &key, rn_terms terms)
{
    FakeWorker &w = *workers[i];
    std::string task = task_of(key);
    auto it = w.runs.find(task);

    if (fenced(w, terms.fence)) {
        return;
    }
    w.highest_run[task] = std::max(w.highest_run[task], key.run);
    if (it != w.runs.end() && it->second.first.run <= key.run &&
        !it->second.second.stopping) {
        it->second.second.stopping = true;
        it->second.second.ends_at = now + rng() % 50;
    }
}

/* --- callers --- */

void
World::submit(uint32_t tasks, uint32_t ms)
{
    uint64_t id = next_id++ << 20;
    auto c = std::make_unique<Call>();

    c->id = id;
    for (uint32_t i = 0; i < tasks; i++) {
        c->task_ms.push_back(ms / 2 + (uint32_t)(rng() % (ms + 1)));
    }
    c->sent_at = now;
    c->deadline = now + caller_wait_ms;
    Call *call = c.get();
    calls[id] = std::move(c);
    send_call(call);
}

void
World::send_call(Call *c)
{
    size_t i = rng() % entries.size();
    if (extra_share > 0 && chance() < extra_share) {
        i = 0;
    }
    send_call_to(c, i);
}

void
World::request_arrives(FakeEntry *e, Call *c, uint32_t send)
{
    uint64_t id = e->id;

    if (now >= c->deadline) {
        return;
    }
    if (!cu_is_ready(&e->catchup_state)) {
        e->held.push_back([this, e, c, id, send] {
            if (e->up && e->id == id) {
                request_arrives(e, c, send);
            }
        });
        return;
    }
    FakeWaiter *waiter = new_waiter(c, nullptr);
    std::string path = std::to_string(c->id);
    if (send > c->broken_sends) {
        c->waiter = waiter;
    }
    else {
        /* A request that is read after its connection has ended. */
        after(1, [this, e, id, waiter] {
            if (e->up && e->id == id) {
                on_entry(e, [this, e, waiter] { caller_left(e, waiter); });
            }
        });
    }
    if (co_knows_job(&e->coord_state, c->id)) {
        submit_at(e, c, waiter);
        return;
    }
    switch (rl_forward_copy(&e->relay_state, now, waiter, STR("host"),
        str_make(path.data(), path.size()), STR("body"),
        (uint32_t)(c->deadline - now))) {
    case RL_NO_COPY:
        if (cl_may_run(&e->claims_state, c->id)) {
            submit_at(e, c, waiter);
            return;
        }
        break;
    case RL_COPY_LOST:
        entry_answer(e, waiter, CO_GAVE_UP, "taker_lost", 0);
        return;
    case RL_COPY_SENT:
        return;
    }
    if (forward_share > 0 && chance() < forward_share &&
        rl_forward(&e->relay_state, now, waiter, STR("host"),
            str_make(path.data(), path.size()), STR("body"),
            (uint32_t)(c->deadline - now))) {
        return;
    }
    if (!forward_by_wait(e, c, waiter)) {
        submit_at(e, c, waiter);
    }
}

void
World::send_call_to(Call *c, size_t i)
{
    FakeEntry *e = entries[i].get();

    c->sends++;
    c->entry = i;
    c->entry_id = e->id;
    c->awaiting_answer = e->up;
    if (!e->up) {
        return;
    }
    uint64_t id = e->id;
    uint32_t send = c->sends;
    after(MESSAGE_MS, [this, e, c, id, send] {
        if (!e->up || e->id != id) {
            return;
        }
        trace("entry %zu (%lu): job %lu arrives, send %u", e->index, e->id,
            c->id, c->sends);
        on_entry(e, [this, e, c, send] { request_arrives(e, c, send); });
    });
    /* The caller leaves at its deadline. */
    after(c->deadline - now, [this, e, c, id] {
        if (!c->awaiting_answer || c->entry_id != id) {
            return;
        }
        c->awaiting_answer = false;
        if (e->up && e->id == id) {
            on_entry(e, [this, e, c] {
                if (c->waiter != nullptr) {
                    caller_left(e, c->waiter);
                }
                c->waiter = nullptr;
            });
        }
    });
}

void
World::caller_left(FakeEntry *e, FakeWaiter *waiter)
{
    if (e->up && !cl_caller_left(&e->claims_state, waiter) &&
        !rl_cancel(&e->relay_state, now, waiter)) {
        co_caller_left(&e->coord_state, now, waiter);
    }
}

/* Freed with the world: an entry that dies does not free its waiters. */
FakeWaiter *
World::new_waiter(Call *c, rl_accepted *forwarded)
{
    waiters.push_back(
        std::make_unique<FakeWaiter>(FakeWaiter{c, forwarded, false}));
    return waiters.back().get();
}

void
World::submit_at(FakeEntry *e, Call *c, FakeWaiter *waiter)
{
    std::vector<co_task_spec> specs(
        c->task_ms.size(), {6000, 64, 0, c->task_ms[0]});
    struct co_submit s = {};

    if (!co_has_job(&e->coord_state, c->id) &&
        cl_wait(&e->claims_state, now, c->id, waiter, c->deadline)) {
        waiter->waited = true;
        return;
    }
    s.may_have_run = waiter->waited;
    s.id = c->id;
    s.wall_ms = now + e->wall_offset_ms;
    s.spec = STR("spec");
    s.service = "s";
    s.max_attempts = 3;
    s.route_name = "r";
    s.route = {1000, 100};
    s.timeout_ms = (uint32_t)(c->deadline - now);
    s.tasks = specs.data();
    s.task_count = specs.size();
    co_submit(&e->coord_state, now, &s, waiter);
}

void
World::answered(Call *c, uint64_t entry_id, co_outcome outcome)
{
    trace("entry %zu: job %lu answered %d", c->entry, c->id, outcome);
    if (!c->awaiting_answer || c->entry_id != entry_id) {
        return;
    }
    c->awaiting_answer = false;
    if (outcome == CO_GAVE_UP && now + RESEND_MS < c->deadline) {
        after(RESEND_MS, [this, c] { send_call(c); });
        return;
    }
    c->answers++;
    c->done = true;
    c->completed = outcome == CO_COMPLETED;
    c->refused = outcome == CO_NOT_RUN;
    if (outcome == CO_NOT_RUN && c->started && c->sends == 1) {
        violations.push_back("job " + std::to_string(c->id) +
                             " is reported as not run, but was started");
    }
}

void
World::run(uint64_t ms)
{
    uint64_t end = now + ms;

    while (now < end) {
        now++;
        for (auto &w : workers) {
            if (w->up) {
                worker_tick(*w);
            }
        }
        while (!events.empty() && events.top().at <= now) {
            auto fn = events.top().fn;
            events.pop();
            fn();
        }
    }
}
