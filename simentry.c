/* Entries: what they read, begin, send and answer, and what of a processor
 * that takes. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "num.h"
#include "sim-int.h"

/* us from an entry's start until it has read the store. */
#define READ_STORE_US 20000U
/* us of a core: taking a message, sending one, reading a request, answering
 * it, beginning its job, a tick, the rest of a pass. */
#define MESSAGE_US 12.0
#define SEND_US 6.0
#define REQUEST_US 20.0
#define ANSWER_US 20.0
#define BEGIN_US 30.0
#define TICK_WORK_US 40.0
#define PASS_US 10.0
/* us between the balancer's looks, and how many have to fail. */
#define LOOK_US 1000000U
#define LOOKS_TO_LEAVE 2U

/* --- its processor --- */

static bool
has_processor(const struct sim_entry *e)
{
    return e->s->d->entry_cpu[e->index] > 0;
}

static void
spend(struct sim_entry *e, double core_us)
{
    if (has_processor(e)) {
        e->spent_us += core_us * e->slow / e->s->d->entry_cpu[e->index];
    }
}

static uint64_t
spent_us(const struct sim_entry *e)
{
    return (uint64_t)e->spent_us;
}

static uint64_t
present_us(const struct sim_entry *e)
{
    return e->s->now_us + spent_us(e);
}

static void
answer_arrives(struct sim *s, void *data)
{
    sim_answered(s, data);
    free(data);
}

/* --- who waits --- */

static struct sim_caller *
new_caller(struct sim_entry *e, struct sim_job *j, struct rl_taken *t)
{
    struct sim_caller *who = dw_zero(1, sizeof(*who));

    who->job = j;
    who->try = j->try;
    who->taken = t;
    if (t == NULL) {
        j->caller = who;
    }
    DL_APPEND(e->callers, who);
    return who;
}

static void
free_caller(struct sim_entry *e, struct sim_caller *who)
{
    if (who->job->caller == who) {
        who->job->caller = NULL;
    }
    DL_DELETE(e->callers, who);
    free(who);
}

/* --- what coord wants done --- */

static void
entry_send(void *ctx, uint64_t to, const dw_msg *msg)
{
    struct sim_entry *e = ctx;

    spend(e, SEND_US);
    sim_send(e->s, spent_us(e), e->id, to, msg);
}

static void
entry_answer(void *ctx, void *handle, enum co_outcome how, const char *reason,
    uint32_t retry_ms)
{
    struct sim_entry *e = ctx;
    struct sim_caller *who = handle;
    struct sim_answer *a;

    if (who->taken != NULL) {
        rl_reply(who->taken, how, reason, retry_ms);
        free_caller(e, who);
        return;
    }
    spend(e, ANSWER_US);
    a = dw_zero(1, sizeof(*a));
    a->job = who->job;
    a->try = who->try;
    a->how = how;
    a->retry_ms = retry_ms;
    a->next = e->answers;
    e->answers = a;
    free_caller(e, who);
}

static void
entry_note(void *ctx, const struct co_job *job, const char *text)
{
    struct sim_entry *e = ctx;
    const struct sim_job *j = sim_job_of(e->s, job->id);
    uint32_t longest = 1;

    if (j == NULL || strcmp(text, "done") != 0) {
        return;
    }
    for (uint32_t i = 0; i < j->count; i++) {
        longest = (uint32_t)num_max(longest, j->task_us[i] / 1000);
    }
    sim_note_estimate(e->s, (uint32_t)job->longest_ms, longest);
}

static void
entry_note_refusal(void *ctx, const struct co_submit *sub,
    const struct gs_guess *g, const char *why, uint64_t waiting_ms)
{
    (void)ctx;
    (void)sub;
    (void)g;
    (void)why;
    (void)waiting_ms;
}

static void
entry_note_run(
    void *ctx, const struct co_job *job, uint32_t index, const char *what)
{
    (void)ctx;
    (void)job;
    (void)index;
    (void)what;
}

static void
entry_note_agent(void *ctx, const struct fl_agent *a, const char *what)
{
    struct sim_entry *e = ctx;

    (void)a;
    e->s->out->sessions_lost += strcmp(what, "agent_silent") == 0;
}

static const struct co_ops entry_ops = {entry_send, entry_answer, entry_note,
    entry_note_refusal, entry_note_run, entry_note_agent};

static void
flush(struct sim_entry *e)
{
    struct sim_answer *list = NULL;

    co_flush(&e->c, sim_ms(e->s));
    rl_flush(&e->relay, sim_ms(e->s));
    while (e->answers != NULL) {
        struct sim_answer *a = e->answers;

        e->answers = a->next;
        a->next = list;
        list = a;
    }
    while (list != NULL) {
        struct sim_answer *a = list;

        list = a->next;
        if (has_processor(e)) {
            sim_at(e->s, spent_us(e), answer_arrives, a);
        }
        else {
            sim_answered(e->s, a);
            free(a);
        }
    }
}

/* --- requests that others begin --- */

static void
begin_job(struct sim_entry *e, struct sim_caller *who)
{
    struct co_submit sub = sim_submission(e->s, who->job);

    spend(e, BEGIN_US);
    co_submit(&e->c, sim_ms(e->s), &sub, who);
    free((void *)sub.tasks);
}

static void
begin_taken(void *ctx, struct rl_taken *t)
{
    struct sim_entry *e = ctx;
    struct sim_job *j = sim_job_of(e->s, strtoull(t->path, NULL, 10));
    struct sim_caller *who = new_caller(e, j, t);

    t->data = who;
    if (!it_add(&e->intake, present_us(e), who)) {
        rl_reply(t, CO_NOT_RUN, "behind", 1000);
        free_caller(e, who);
    }
}

static void
leave_taken(void *ctx, struct rl_taken *t)
{
    struct sim_entry *e = ctx;

    if (!it_drop(&e->intake, t->data)) {
        co_leave(&e->c, sim_ms(e->s), t->data);
    }
    free_caller(e, t->data);
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
    entry_send, begin_taken, leave_taken, entry_answer, note_relay};

static bool
give(struct sim_entry *e, struct sim_caller *who)
{
    char path[32];

    snprintf(path, sizeof(path), "%llu", (unsigned long long)who->job->id);
    if (e->s->d->entries_keep ||
        !rl_give(&e->relay, sim_ms(e->s), who, STR("host"), str_of(path),
            STR("body"),
            (uint32_t)(num_sub_sat(who->job->deadline_us, e->s->now_us) /
                       1000))) {
        return false;
    }
    e->s->out->given++;
    return true;
}

/* --- passes of its loop --- */

static void
take_message(struct sim_entry *e, uint64_t from, dw_msg *m)
{
    uint64_t now = sim_ms(e->s);

    spend(e, MESSAGE_US);
    if (m->type == DW_REPORT) {
        co_report(&e->c, now, from, &m->dw_msg_u.report);
    }
    else if (m->type == DW_RELAY) {
        rl_take(&e->relay, now, from, &m->dw_msg_u.relay);
    }
    else if (m->type == DW_RELAYED) {
        rl_replies(&e->relay, now, from, &m->dw_msg_u.relayed);
    }
    msg_free(m);
}

static void
take_request(struct sim_entry *e, struct sim_job *j)
{
    struct sim_caller *who;

    spend(e, REQUEST_US);
    if (j == NULL) {
        return; /* its caller has left */
    }
    who = new_caller(e, j, NULL);
    if (lg_gives(&e->lag) && give(e, who)) {
        return;
    }
    if (!it_add(&e->intake, present_us(e), who) && !give(e, who)) {
        entry_answer(e, who, CO_NOT_RUN, "behind", 1000);
    }
}

static void
take_inputs(struct sim_entry *e, bool requests)
{
    struct sim_input **at = &e->inputs;

    while (*at != NULL) {
        struct sim_input *in = *at;

        if ((in->msg == NULL) != requests) {
            at = &in->next;
            continue;
        }
        *at = in->next;
        if (in->msg != NULL) {
            take_message(e, in->from, in->msg);
        }
        else {
            take_request(e, sim_open_try(e->s, in->job, in->try));
        }
        free(in);
    }
    e->inputs_tail = at;
}

static void
tick(struct sim_entry *e)
{
    struct rl_state state = {lg_has_time(&e->lag) && !lg_is_out(&e->lag),
        (uint32_t)(e->lag.busy * 1000), 0};
    uint64_t now = sim_ms(e->s);
    double before = e->spent_us;

    rl_tell(&e->relay, &state);
    if (!lg_has_time(&e->lag) && !e->s->d->entries_keep) {
        rl_need(&e->relay, now);
    }
    rl_tick(&e->relay, now);
    spend(e, TICK_WORK_US);
    co_tick(&e->c, now);
    lg_probe(&e->lag, present_us(e), (uint64_t)(e->spent_us - before), 1);
    if (gs_keep_due(&e->c.times, now)) {
        buf_free(&e->s->times[e->index]);
        gs_save(&e->c.times, &e->s->times[e->index]);
    }
}

static void
begin_requests(struct sim_entry *e)
{
    enum it_turn turn;
    void *who;

    for (;;) {
        turn = it_next(&e->intake, present_us(e), &who);
        if (turn == IT_NONE) {
            break;
        }
        if (turn == IT_REFUSE) {
            entry_answer(e, who, CO_NOT_RUN, "behind", 1000);
        }
        else {
            begin_job(e, who);
        }
    }
}

/* Messages, timers, requests, placing, answers: the order of the daemon's. */
static void
pass(struct sim *s, void *data)
{
    struct sim_alive *p = data;
    struct sim_entry *e = sim_entry_of(s, p->id);

    if (e == NULL) {
        free(p);
        return;
    }
    if (e->inputs == NULL && it_count(&e->intake) == 0 &&
        s->now_us < e->tick_us) {
        e->working = false;
        free(p);
        return;
    }
    e->spent_us = 0;
    lg_pass_begins(&e->lag, s->now_us);
    spend(e, PASS_US);
    take_inputs(e, false);
    if (s->now_us >= e->tick_us) {
        tick(e);
        e->tick_us = s->now_us + SIM_TICK_US;
    }
    begin_requests(e);
    e->c.room_pause_ms = lg_pause_ms(&e->lag);
    flush(e);
    take_inputs(e, true);
    lg_pass_ends(&e->lag, present_us(e));
    s->out->longest_pass_us = num_max(s->out->longest_pass_us, spent_us(e));
    sim_at(s, num_max(spent_us(e), 1), pass, p);
}

static void
work(struct sim_entry *e)
{
    if (!e->working) {
        e->working = true;
        sim_at(e->s, 0, pass, sim_alive(e->id));
    }
}

static void
add_input(struct sim_entry *e, struct sim_input *in)
{
    *e->inputs_tail = in;
    e->inputs_tail = &in->next;
    work(e);
}

void
sim_entry_message(struct sim_entry *e, uint64_t from, dw_msg *msg)
{
    struct sim_input *in;

    if (!has_processor(e)) {
        take_message(e, from, msg);
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
        begin_job(e, new_caller(e, j, NULL));
        flush(e);
        return;
    }
    in = dw_zero(1, sizeof(*in));
    in->job = j->id;
    in->try = j->try;
    add_input(e, in);
}

void
sim_entry_left(struct sim_entry *e, struct sim_job *j)
{
    struct sim_caller *who = j->caller;

    if (who == NULL) {
        return; /* not read yet */
    }
    if (!it_drop(&e->intake, who) && !rl_drop(&e->relay, who)) {
        co_leave(&e->c, sim_ms(e->s), who);
    }
    free_caller(e, who);
    if (!has_processor(e)) {
        flush(e);
    }
}

/* --- the balancer --- */

static void
look(struct sim *s, void *data)
{
    struct sim_alive *p = data;
    struct sim_entry *e = sim_entry_of(s, p->id);

    if (e == NULL) {
        free(p);
        return;
    }
    e->missed_looks =
        lg_is_out(&e->lag) && !s->d->entries_stay ? e->missed_looks + 1 : 0;
    sim_at(s, LOOK_US, look, p);
}

bool
sim_entry_in_rotation(const struct sim_entry *e)
{
    return e->id != 0 && e->missed_looks < LOOKS_TO_LEAVE;
}

/* --- the store --- */

static void
tell_withdrawn(struct sim_entry *e)
{
    char names[SIM_DOMAINS_MAX][FL_NAME_MAX];
    const char *list[SIM_DOMAINS_MAX];
    size_t n = 0;

    for (uint32_t i = 0; i < e->s->d->domains; i++) {
        if (e->s->withdrawn[i]) {
            sim_domain_name(names[n], sizeof(names[n]), i);
            list[n] = names[n];
            n++;
        }
    }
    fl_withdraw(&e->c.fleet, list, n);
}

static void
tell_members(struct sim_entry *e)
{
    struct fl_agent *a;
    char name[FL_NAME_MAX];
    char domain[FL_NAME_MAX];

    for (a = e->c.fleet.agents; a != NULL; a = a->hh.next) {
        a->member = false;
    }
    for (uint32_t i = 0; i < e->s->d->workers; i++) {
        if (e->s->entered[i] == 0) {
            continue;
        }
        snprintf(name, sizeof(name), "worker-%u", i);
        sim_domain_name(domain, sizeof(domain), sim_domain(e->s, i));
        a = fl_add(&e->c.fleet, e->s->entered[i], name, domain, SIM_SERVICE);
        a->member = true;
    }
    for (uint32_t i = 0; i < e->s->d->entries; i++) {
        if (e->s->entries[i].id != 0) {
            rl_entry_in(&e->relay, e->s->entries[i].id);
        }
    }
    tell_withdrawn(e);
}

void
sim_read_store(struct sim *s, void *data)
{
    struct sim_alive *p = data;
    struct sim_entry *e = sim_entry_of(s, p->id);

    if (e != NULL) {
        tell_members(e);
        for (uint32_t i = 0; i < s->d->entries; i++) {
            gs_load(&e->c.times, buf_str(&s->times[i]));
        }
        flush(e);
    }
    free(p);
}

/* --- lives --- */

static void
tick_entry(struct sim *s, void *data)
{
    struct sim_alive *p = data;
    struct sim_entry *e = sim_entry_of(s, p->id);

    if (e == NULL) {
        free(p);
        return;
    }
    if (has_processor(e)) {
        work(e);
    }
    else {
        tick(e);
        flush(e);
    }
    sim_at(s, SIM_TICK_US, tick_entry, p);
}

void
sim_entry_start(struct sim *s, struct sim_entry *e)
{
    char domain[FL_NAME_MAX];

    sim_domain_name(domain, sizeof(domain), sim_domain(s, e->index));
    e->id = sim_new_id(s, e->index | SIM_ENTRY_BIT);
    e->answers = NULL;
    e->inputs = NULL;
    e->inputs_tail = &e->inputs;
    e->working = false;
    e->tick_us = 0;
    e->missed_looks = 0;
    e->lag = (struct lag){0};
    e->intake = (struct intake){0};
    co_init(&e->c, &entry_ops, e, gsl_rng_get(s->rng), domain, "10.0.0.1", 1);
    rl_init(&e->relay, &rl_ops, e, e->id);
    fl_set_rank(&e->c.fleet, e->index / s->d->domains, e->index);
    sim_at(s, READ_STORE_US, sim_read_store, sim_alive(e->id));
    sim_at(s, (uint64_t)(sim_chance(s) * SIM_TICK_US), tick_entry,
        sim_alive(e->id));
    if (has_processor(e)) {
        sim_at(s, (uint64_t)(sim_chance(s) * LOOK_US), look, sim_alive(e->id));
    }
}

static void
drop_inputs(struct sim_entry *e)
{
    while (e->inputs != NULL) {
        struct sim_input *in = e->inputs;

        e->inputs = in->next;
        msg_free(in->msg);
        free(in);
    }
}

void
sim_entry_end(struct sim *s, struct sim_entry *e)
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
    drop_inputs(e);
    it_free(&e->intake);
    rl_free(&e->relay);
    s->out->runs += e->c.stats.runs;
    s->out->moved += e->c.stats.moved;
    co_free(&e->c);
    while (e->callers != NULL) {
        free_caller(e, e->callers);
    }
    sim_cut(s, id);
}
