/* Entries of the simulation: event loop, processor time, forwarding, balancer
 * and store. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "num.h"
#include "qpolicy.h"
#include "sim-int.h"

/* Time from an entry's start until it has read the store. */
#define READ_STORE_US 20000U
/* Core time to receive a message, send one, read a request, answer it, submit
 * its job, for a tick, and for the rest of a pass of the event loop. */
#define RECEIVE_COST_US 12.0
#define SEND_COST_US 6.0
#define REQUEST_COST_US 20.0
#define ANSWER_COST_US 20.0
#define SUBMIT_COST_US 30.0
#define TICK_COST_US 40.0
#define PASS_COST_US 10.0
/* The balancer's health checks: interval, and failures in a row after which an
 * entry leaves the rotation. */
#define CHECK_INTERVAL_US 1000000U
#define FAILED_CHECKS_MAX 2U

/* --- processor time --- */

static bool
has_processor(const struct sim_entry *e)
{
    return e->s->d->entry_cores[e->index] > 0;
}

static void
use_core_us(struct sim_entry *e, double core_us)
{
    if (has_processor(e)) {
        e->spent_us += core_us * e->slowdown / e->s->d->entry_cores[e->index];
    }
}

static uint64_t
spent_us(const struct sim_entry *e)
{
    return (uint64_t)e->spent_us;
}

static uint64_t
loop_time_us(const struct sim_entry *e)
{
    return e->s->now_us + spent_us(e);
}

static void
deliver_answer(struct sim *s, void *data)
{
    sim_answered(s, data);
    free(data);
}

/* --- waiters --- */

static struct sim_waiter *
new_waiter(
    struct sim_entry *e, struct sim_job *j, struct rl_accepted *forwarded)
{
    struct sim_waiter *waiter = dw_zero(1, sizeof(*waiter));

    waiter->job = j;
    waiter->attempt = j->attempt;
    waiter->forwarded = forwarded;
    if (forwarded == NULL) {
        j->waiter = waiter;
    }
    DL_APPEND(e->waiters, waiter);
    return waiter;
}

static void
free_waiter(struct sim_entry *e, struct sim_waiter *waiter)
{
    if (waiter->job->waiter == waiter) {
        waiter->job->waiter = NULL;
    }
    DL_DELETE(e->waiters, waiter);
    free(waiter);
}

/* --- callbacks of coord --- */

static void
entry_send(void *ctx, uint64_t to, const dw_msg *msg)
{
    struct sim_entry *e = ctx;

    use_core_us(e, SEND_COST_US);
    sim_send(e->s, spent_us(e), e->id, to, msg);
}

static void
entry_answer(void *ctx, void *handle, enum co_outcome outcome,
    const char *reason, uint32_t retry_ms)
{
    struct sim_entry *e = ctx;
    struct sim_waiter *waiter = handle;
    struct sim_answer *a;

    if (waiter->forwarded != NULL) {
        rl_reply(waiter->forwarded, outcome, reason, retry_ms);
        free_waiter(e, waiter);
        return;
    }
    use_core_us(e, ANSWER_COST_US);
    a = dw_zero(1, sizeof(*a));
    a->job = waiter->job;
    a->attempt = waiter->attempt;
    a->outcome = outcome;
    a->retry_ms = retry_ms;
    a->next = e->answers;
    e->answers = a;
    free_waiter(e, waiter);
}

static void
entry_note(void *ctx, const struct co_job *job, const char *text)
{
    struct sim_entry *e = ctx;
    const struct sim_job *j = sim_job_by_id(e->s, job->id);
    uint32_t longest = 1;

    if (j == NULL || strcmp(text, "done") != 0) {
        return;
    }
    for (uint32_t i = 0; i < j->task_count; i++) {
        longest = (uint32_t)num_max(longest, j->task_us[i] / 1000);
    }
    sim_record_estimate(e->s, (uint32_t)job->longest_task_ms, longest);
}

static void
entry_note_refusal(void *ctx, const struct co_submit *sub,
    const struct es_estimate *estimate, const char *reason,
    uint64_t waiting_ms)
{
    (void)ctx;
    (void)sub;
    (void)estimate;
    (void)reason;
    (void)waiting_ms;
}

static void
entry_note_run(void *ctx, const struct co_job *job, uint32_t index,
    const char *what, const char *how)
{
    (void)ctx;
    (void)job;
    (void)index;
    (void)what;
    (void)how;
}

static void
entry_note_agent(void *ctx, const struct fl_agent *a, const char *what)
{
    struct sim_entry *e = ctx;

    (void)a;
    e->s->result->sessions_lost += strcmp(what, "agent_silent") == 0;
}

static void
entry_note_outlived(
    void *ctx, const struct co_outliving *o, uint64_t ms, const char *how)
{
    (void)ctx;
    (void)o;
    (void)ms;
    (void)how;
}

static void
entry_job_failed(void *ctx, uint64_t job)
{
    (void)ctx;
    (void)job;
}

static const struct co_ops entry_ops = {entry_send, entry_answer,
    entry_job_failed, entry_note, entry_note_refusal, entry_note_run,
    entry_note_agent, entry_note_outlived};

static void
flush(struct sim_entry *e)
{
    struct sim_answer *oldest_first = NULL;

    co_flush(&e->coord, sim_now_ms(e->s));
    rl_flush(&e->relay, sim_now_ms(e->s));
    while (e->answers != NULL) {
        struct sim_answer *a = e->answers;

        e->answers = a->next;
        a->next = oldest_first;
        oldest_first = a;
    }
    while (oldest_first != NULL) {
        struct sim_answer *a = oldest_first;

        oldest_first = a->next;
        if (has_processor(e)) {
            sim_schedule(e->s, spent_us(e), deliver_answer, a);
        }
        else {
            sim_answered(e->s, a);
            free(a);
        }
    }
}

/* --- forwarding --- */

static void
submit_job(struct sim_entry *e, struct sim_waiter *waiter)
{
    struct co_submit sub = sim_submission(e->s, waiter->job);

    use_core_us(e, SUBMIT_COST_US);
    co_submit(&e->coord, sim_now_ms(e->s), &sub, waiter);
    free((void *)sub.tasks);
}

static void
begin_forwarded(void *ctx, struct rl_accepted *forwarded)
{
    struct sim_entry *e = ctx;
    struct sim_job *j =
        sim_job_by_id(e->s, strtoull(forwarded->path, NULL, 10));
    struct sim_waiter *waiter = new_waiter(e, j, forwarded);

    forwarded->data = waiter;
    if (!has_processor(e)) {
        submit_job(e, waiter);
    }
    else if (!it_add(&e->intake, loop_time_us(e), waiter)) {
        rl_reply(forwarded, CO_NOT_RUN, "behind", 1000);
        free_waiter(e, waiter);
    }
}

static void
cancel_forwarded(void *ctx, struct rl_accepted *forwarded)
{
    struct sim_entry *e = ctx;

    if (!it_remove(&e->intake, forwarded->data)) {
        co_caller_left(&e->coord, sim_now_ms(e->s), forwarded->data);
    }
    free_waiter(e, forwarded->data);
}

static void
note_relay(void *ctx, uint64_t entry, const char *what, uint64_t ms)
{
    (void)ctx;
    (void)entry;
    (void)what;
    (void)ms;
}

static const struct rl_ops rl_ops = {
    entry_send, begin_forwarded, cancel_forwarded, entry_answer, note_relay};

static uint32_t
remaining_ms(const struct sim_entry *e, const struct sim_job *j)
{
    return (uint32_t)(num_sub_sat(j->deadline_us, e->s->now_us) / 1000);
}

static bool
forward(struct sim_entry *e, struct sim_waiter *waiter)
{
    char path[32];

    snprintf(path, sizeof(path), "%llu", (unsigned long long)waiter->job->id);
    if (e->s->d->no_forwarding ||
        !rl_forward(&e->relay, sim_now_ms(e->s), waiter, STR("host"),
            str_of(path), STR("body"), remaining_ms(e, waiter->job))) {
        return false;
    }
    e->s->result->forwarded++;
    return true;
}

static bool
balances(const struct sim_entry *e)
{
    return e->coord.settings.balance == SC_BALANCE_WAIT &&
           !e->s->d->no_forwarding;
}

static bool
is_of_job(const void *waiter, const void *job)
{
    return ((const struct sim_waiter *)waiter)->job == job;
}

/* The request, or a copy of it, waits or runs here. */
static bool
is_owned_here(const struct sim_entry *e, const struct sim_job *j)
{
    return it_find(&e->intake, is_of_job, j) != NULL ||
           co_knows_job(&e->coord, j->id);
}

/* A copy of a request that this entry forwarded goes to the same entry. */
static bool
forward_copy(struct sim_entry *e, struct sim_waiter *waiter)
{
    char path[32];

    snprintf(path, sizeof(path), "%llu", (unsigned long long)waiter->job->id);
    switch (rl_forward_copy(&e->relay, sim_now_ms(e->s), waiter, STR("host"),
        str_of(path), STR("body"), remaining_ms(e, waiter->job))) {
    case RL_NO_COPY:
        return false;
    case RL_COPY_SENT:
        e->s->result->forwarded++;
        break;
    case RL_COPY_LOST:
        entry_answer(e, waiter, CO_GAVE_UP, "taker_lost", 0);
        break;
    }
    return true;
}

/* Forwards a request that has just arrived to an entry with a shorter wait. */
static bool
forward_by_wait(struct sim_entry *e, struct sim_waiter *waiter)
{
    const struct sim_job *j = waiter->job;
    char path[32];

    if (!balances(e)) {
        return false;
    }
    snprintf(path, sizeof(path), "%llu", (unsigned long long)j->id);
    if (!rl_forward_by_wait(&e->relay, sim_now_ms(e->s), waiter,
            STR(SIM_SERVICE), e->s->d->kind[j->kind].priority, STR("host"),
            str_of(path), STR("body"), remaining_ms(e, j))) {
        return false;
    }
    e->s->result->forwarded++;
    return true;
}

static void
add_wait(void *ctx, const char *service, uint32_t priority, double wait_ms)
{
    bl_add(ctx, str_of(service), priority, wait_ms);
}

static void
update_waits(struct sim_entry *e, uint64_t now)
{
    struct bl_waits waits = {.count = 0};

    qp_predict_waits(&e->coord, now, add_wait, &waits);
    qp_report_no_workers(&e->coord, now, SIM_SERVICE, add_wait, &waits);
    rl_set_waits(&e->relay, now, &waits);
}

/* --- event loop --- */

static void
handle_message(struct sim_entry *e, uint64_t from, dw_msg *m)
{
    uint64_t now = sim_now_ms(e->s);

    use_core_us(e, RECEIVE_COST_US);
    if (m->type == DW_OPEN) {
        co_open_starts(&e->coord, from, &m->dw_msg_u.open);
    }
    else if (m->type == DW_REPORT) {
        co_report(&e->coord, now, from, &m->dw_msg_u.report);
    }
    else if (m->type == DW_SUPPLY) {
        dm_handle_supply(&e->coord, now, from, &m->dw_msg_u.supply);
    }
    else if (m->type == DW_RELAY) {
        rl_receive_requests(&e->relay, now, from, &m->dw_msg_u.relay);
    }
    else if (m->type == DW_RELAYED) {
        rl_receive_replies(&e->relay, now, from, &m->dw_msg_u.relayed);
    }
    else if (m->type == DW_WAITS) {
        rl_receive_waits(&e->relay, now, from, &m->dw_msg_u.waits);
    }
    msg_free(m);
}

static void
handle_request(struct sim_entry *e, struct sim_job *j)
{
    struct sim_waiter *waiter;

    use_core_us(e, REQUEST_COST_US);
    if (j == NULL) {
        return; /* its caller has disconnected */
    }
    waiter = new_waiter(e, j, NULL);
    if (is_owned_here(e, j)) {
        if (!it_add(&e->intake, loop_time_us(e), waiter)) {
            entry_answer(e, waiter, CO_GAVE_UP, "behind", 1000);
        }
        return;
    }
    if (forward_copy(e, waiter) ||
        (lg_should_forward(&e->lag) && forward(e, waiter)) ||
        forward_by_wait(e, waiter)) {
        return;
    }
    if (!it_add(&e->intake, loop_time_us(e), waiter) && !forward(e, waiter)) {
        entry_answer(e, waiter, CO_NOT_RUN, "behind", 1000);
    }
}

static void
handle_inputs(struct sim_entry *e, bool requests)
{
    struct sim_input **link = &e->inputs;

    while (*link != NULL) {
        struct sim_input *in = *link;

        if ((in->msg == NULL) != requests) {
            link = &in->next;
            continue;
        }
        *link = in->next;
        if (in->msg != NULL) {
            handle_message(e, in->from, in->msg);
        }
        else {
            handle_request(e, sim_job_awaiting(e->s, in->job, in->attempt));
        }
        free(in);
    }
    e->inputs_tail = link;
}

static void
tick(struct sim_entry *e)
{
    struct rl_state state = {
        lg_has_spare_time(&e->lag) && !lg_is_out_of_rotation(&e->lag),
        (uint32_t)(e->lag.utilization * 1000), 0};
    uint64_t now = sim_now_ms(e->s);
    double spent_before_us = e->spent_us;

    rl_set_state(&e->relay, &state);
    if (!lg_has_spare_time(&e->lag) && !e->s->d->no_forwarding) {
        rl_need_peers(&e->relay, now);
    }
    if (balances(e)) {
        update_waits(e, now);
    }
    rl_tick(&e->relay, now);
    use_core_us(e, TICK_COST_US);
    co_tick(&e->coord, now);
    lg_record_probe(&e->lag, loop_time_us(e),
        (uint64_t)(e->spent_us - spent_before_us), 1);
    if (es_save_due(&e->coord.run_times, now)) {
        buf_free(&e->s->saved_estimates[e->index]);
        es_save(&e->coord.run_times, &e->s->saved_estimates[e->index]);
    }
}

static void
begin_queued_jobs(struct sim_entry *e)
{
    enum it_action action;
    void *waiter;

    for (;;) {
        action = it_next(&e->intake, loop_time_us(e), &waiter);
        if (action == IT_NONE) {
            break;
        }
        if (action == IT_REFUSE) {
            entry_answer(e, waiter, CO_NOT_RUN, "behind", 1000);
        }
        else {
            submit_job(e, waiter);
        }
    }
}

/* Messages, timers, queued requests, placing and answers, new requests: in the
 * order of the daemon. */
static void
loop_pass(struct sim *s, void *data)
{
    struct sim_process_ref *p = data;
    struct sim_entry *e = sim_entry_by_id(s, p->id);

    if (e == NULL) {
        free(p);
        return;
    }
    if (e->inputs == NULL && it_count(&e->intake) == 0 &&
        s->now_us < e->tick_us) {
        e->pass_scheduled = false;
        free(p);
        return;
    }
    e->spent_us = 0;
    lg_pass_start(&e->lag, s->now_us);
    use_core_us(e, PASS_COST_US);
    handle_inputs(e, false);
    if (s->now_us >= e->tick_us) {
        tick(e);
        e->tick_us = s->now_us + SIM_TICK_US;
    }
    begin_queued_jobs(e);
    e->coord.report_interval_ms = lg_report_interval_ms(&e->lag);
    flush(e);
    handle_inputs(e, true);
    lg_pass_end(&e->lag, loop_time_us(e));
    s->result->longest_pass_us =
        num_max(s->result->longest_pass_us, spent_us(e));
    sim_schedule(s, num_max(spent_us(e), 1), loop_pass, p);
}

static void
schedule_pass(struct sim_entry *e)
{
    if (!e->pass_scheduled) {
        e->pass_scheduled = true;
        sim_schedule(e->s, 0, loop_pass, sim_process_ref(e->id));
    }
}

static void
add_input(struct sim_entry *e, struct sim_input *in)
{
    *e->inputs_tail = in;
    e->inputs_tail = &in->next;
    schedule_pass(e);
}

void
sim_entry_message(struct sim_entry *e, uint64_t from, dw_msg *msg)
{
    struct sim_input *in;

    if (!has_processor(e)) {
        handle_message(e, from, msg);
        flush(e);
        return;
    }
    in = dw_zero(1, sizeof(*in));
    in->from = from;
    in->msg = msg;
    add_input(e, in);
}

void
sim_entry_request(struct sim_entry *e, struct sim_job *j)
{
    struct sim_input *in;

    if (!has_processor(e)) {
        struct sim_waiter *waiter = new_waiter(e, j, NULL);

        if (co_knows_job(&e->coord, j->id) ||
            (!forward_copy(e, waiter) && !forward_by_wait(e, waiter))) {
            submit_job(e, waiter);
        }
        flush(e);
        return;
    }
    in = dw_zero(1, sizeof(*in));
    in->job = j->id;
    in->attempt = j->attempt;
    add_input(e, in);
}

void
sim_entry_cancel(struct sim_entry *e, struct sim_job *j)
{
    struct sim_waiter *waiter = j->waiter;

    if (waiter == NULL) {
        return; /* not read yet */
    }
    if (!it_remove(&e->intake, waiter) &&
        !rl_cancel(&e->relay, sim_now_ms(e->s), waiter)) {
        co_caller_left(&e->coord, sim_now_ms(e->s), waiter);
    }
    free_waiter(e, waiter);
    if (!has_processor(e)) {
        flush(e);
    }
}

/* --- balancer --- */

static void
health_check(struct sim *s, void *data)
{
    struct sim_process_ref *p = data;
    struct sim_entry *e = sim_entry_by_id(s, p->id);

    if (e == NULL) {
        free(p);
        return;
    }
    e->failed_checks =
        lg_is_out_of_rotation(&e->lag) && !s->d->always_in_rotation
            ? e->failed_checks + 1
            : 0;
    sim_schedule(s, CHECK_INTERVAL_US, health_check, p);
}

bool
sim_entry_in_rotation(const struct sim_entry *e)
{
    return e->id != 0 && e->failed_checks < FAILED_CHECKS_MAX;
}

/* --- store --- */

static void
read_withdrawn(struct sim_entry *e)
{
    char names[SIM_DOMAINS_MAX][FL_NAME_MAX];
    const char *list[SIM_DOMAINS_MAX];
    size_t count = 0;

    for (uint32_t i = 0; i < e->s->d->domain_count; i++) {
        if (e->s->withdrawn[i]) {
            sim_domain_name(names[count], sizeof(names[count]), i);
            list[count] = names[count];
            count++;
        }
    }
    fl_set_withdrawn(&e->coord.fleet, list, count);
}

static void
read_members(struct sim_entry *e)
{
    struct fl_agent *a;
    char name[FL_NAME_MAX];
    char domain[FL_NAME_MAX];

    for (a = e->coord.fleet.agents; a != NULL; a = a->hh.next) {
        a->member = false;
    }
    for (uint32_t i = 0; i < e->s->d->worker_count; i++) {
        if (e->s->registered[i] == 0) {
            continue;
        }
        snprintf(name, sizeof(name), "worker-%u", i);
        sim_domain_name(domain, sizeof(domain), sim_domain_of(e->s, i));
        a = fl_add(
            &e->coord.fleet, e->s->registered[i], name, domain, SIM_SERVICE);
        a->member = true;
    }
    for (uint32_t i = 0; i < e->s->d->entry_count; i++) {
        if (e->s->entries[i].id != 0) {
            rl_add_entry(&e->relay, e->s->entries[i].id);
        }
    }
    read_withdrawn(e);
}

void
sim_read_store(struct sim *s, void *data)
{
    struct sim_process_ref *p = data;
    struct sim_entry *e = sim_entry_by_id(s, p->id);

    if (e != NULL) {
        read_members(e);
        for (uint32_t i = 0; i < s->d->entry_count; i++) {
            es_load(&e->coord.run_times, buf_str(&s->saved_estimates[i]));
        }
        flush(e);
    }
    free(p);
}

/* --- starts and stops --- */

static void
tick_entry(struct sim *s, void *data)
{
    struct sim_process_ref *p = data;
    struct sim_entry *e = sim_entry_by_id(s, p->id);

    if (e == NULL) {
        free(p);
        return;
    }
    if (has_processor(e)) {
        schedule_pass(e);
    }
    else {
        tick(e);
        flush(e);
    }
    sim_schedule(s, SIM_TICK_US, tick_entry, p);
}

void
sim_entry_start(struct sim *s, struct sim_entry *e)
{
    char domain[FL_NAME_MAX];

    sim_domain_name(domain, sizeof(domain), sim_domain_of(s, e->index));
    e->id = sim_new_id(s, e->index | SIM_ENTRY_BIT);
    e->answers = NULL;
    e->inputs = NULL;
    e->inputs_tail = &e->inputs;
    e->pass_scheduled = false;
    e->tick_us = 0;
    e->failed_checks = 0;
    e->lag = (struct lag){0};
    e->intake = (struct intake){0};
    co_init(
        &e->coord, &entry_ops, e, gsl_rng_get(s->rng), domain, "10.0.0.1", 1);
    e->coord.settings = s->d->settings;
    rl_init(&e->relay, &rl_ops, e, e->id);
    fl_set_rank(&e->coord.fleet, e->index / s->d->domain_count, e->index);
    sim_schedule(s, READ_STORE_US, sim_read_store, sim_process_ref(e->id));
    sim_schedule(s, (uint64_t)(sim_random(s) * SIM_TICK_US), tick_entry,
        sim_process_ref(e->id));
    if (has_processor(e)) {
        sim_schedule(s, (uint64_t)(sim_random(s) * CHECK_INTERVAL_US),
            health_check, sim_process_ref(e->id));
    }
}

static void
free_inputs(struct sim_entry *e)
{
    while (e->inputs != NULL) {
        struct sim_input *in = e->inputs;

        e->inputs = in->next;
        msg_free(in->msg);
        free(in);
    }
}

void
sim_entry_stop(struct sim *s, struct sim_entry *e)
{
    uint64_t id = e->id;

    if (id == 0) {
        return;
    }
    e->id = 0;
    while (e->answers != NULL) {
        struct sim_answer *a = e->answers;

        e->answers = a->next;
        free(a);
    }
    free_inputs(e);
    it_free(&e->intake);
    rl_free(&e->relay);
    s->result->runs += e->coord.stats.runs;
    s->result->moved += e->coord.stats.moved;
    co_free(&e->coord);
    while (e->waiters != NULL) {
        free_waiter(e, e->waiters);
    }
    sim_disconnect_callers(s, id);
}
