#include "job-int.h"

#include "quota.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* Tasks placed for one customer before another is considered. */
#define QUANTUM_TASKS 64
/* Virtual time of one task at weight 1. */
#define VTIME_UNIT 1000000U
/* Between two scans of the running jobs. */
#define SCAN_MS 50
/* Between resends of the revokes of a stopping job. */
#define REVOKE_RESEND_MS 500
/* Unexpired records visited in one search for expired ones. */
#define EXPIRY_SCAN_MAX 256
/* Period over which the drain rate is measured. */
#define RATE_WINDOW_MS 500

void
jobs_init(struct jobs *j, const struct job_cfg *cfg, const struct view *view,
    struct place *place, uint64_t self)
{
    memset(j, 0, sizeof(*j));
    j->cfg = *cfg;
    j->view = view;
    j->place = place;
    j->self = self;
}

static void
free_results(struct jobs *j, struct job *job)
{
    for (uint32_t i = 0; i < job->task_count; i++) {
        free(job->tasks[i].outcome.body.dw_bytes_val);
        job->tasks[i].outcome.body.dw_bytes_val = NULL;
        job->tasks[i].outcome.body.dw_bytes_len = 0;
    }
    j->kept_bytes -= job->answer_bytes;
    job->answer_bytes = 0;
    job->answer_kept = false;
}

static void
free_inputs(struct job *job)
{
    for (uint32_t i = 0; i < job->task_count; i++) {
        xdr_free((xdrproc_t)xdr_dw_task, &job->tasks[i].task);
        memset(&job->tasks[i].task, 0, sizeof(job->tasks[i].task));
        job->tasks[i].task.index = i;
    }
}

static void
detach_from_customer(struct jobs *j, struct job *job)
{
    if (job->cust == NULL) {
        return;
    }
    for (uint32_t i = 0; i < job->task_count; i++) {
        if (job->tasks[i].outcome.state == DW_T_OFFERED) {
            place_offer_settled(j->place, job->tasks[i].host, 1);
        }
    }
    DL_DELETE(job->cust->jobs, job);
    job->cust->outstanding -= job->outstanding;
    j->waiting -= job->waiting;
    job->cust = NULL;
}

void
job_free(struct jobs *j, struct job *job)
{
    struct job_waiter *w;
    struct job_waiter *tmp;

    HASH_DEL(j->jobs, job);
    detach_from_customer(j, job);
    free_results(j, job);
    free_inputs(job);
    LL_FOREACH_SAFE (job->waiters, w, tmp) {
        free(w);
    }
    free(job->tasks);
    free(job);
}

void
jobs_free(struct jobs *j)
{
    struct job *job;
    struct job *tmp;
    struct job_cust *c;
    struct job_cust *ct;

    HASH_ITER (hh, j->jobs, job, tmp) {
        job_free(j, job);
    }
    HASH_ITER (hh, j->customers, c, ct) {
        HASH_DEL(j->customers, c);
        free(c);
    }
}

struct job *
job_find(const struct jobs *j, struct str customer, struct str key)
{
    struct subkey sk;
    struct job *job;

    if (!sk_make(&sk, customer, key)) {
        return NULL;
    }
    HASH_FIND(hh, j->jobs, sk.p, sk.len, job);
    return job;
}

struct job *
job_add(struct jobs *j, uint64_t now, const struct subkey *sk,
    uint32_t partition, uint32_t task_count)
{
    struct job *job = dw_zero(1, sizeof(*job));

    job->sk = *sk;
    job->partition = partition;
    job->admitted_ms = now;
    job->task_count = task_count;
    job->tasks = dw_zero(task_count, sizeof(job->tasks[0]));
    for (uint32_t i = 0; i < task_count; i++) {
        job->tasks[i].task.index = i;
        job->tasks[i].outcome.index = i;
    }
    HASH_ADD_KEYPTR(hh, j->jobs, job->sk.p, job->sk.len, job);
    return job;
}

struct job_cust *
job_get_customer(struct jobs *j, struct str name)
{
    struct job_cust *c;

    HASH_FIND(hh, j->customers, name.p, name.n, c);
    if (c == NULL) {
        c = dw_zero(1, sizeof(*c));
        str_copy(c->name, sizeof(c->name), name);
        HASH_ADD_KEYPTR(hh, j->customers, c->name, name.n, c);
    }
    return c;
}

size_t
jobs_running(const struct jobs *j)
{
    const struct job_cust *c;
    size_t n = 0;

    for (c = j->customers; c != NULL; c = c->hh.next) {
        const struct job *job;
        size_t k;

        DL_COUNT(c->jobs, job, k);
        n += k;
    }
    return n;
}

/* --- answering --- */

bool
job_state_is_final(dw_tstate st)
{
    return st == DW_T_DONE || st == DW_T_ERROR || st == DW_T_NOT_STARTED ||
           st == DW_T_UNKNOWN || st == DW_T_STOPPED;
}

bool
job_state_is_outstanding(dw_tstate st)
{
    return st == DW_T_OFFERED || st == DW_T_QUEUED || st == DW_T_RUNNING;
}

/* The answer of a failed job reports each task's state but no results: an
 * answer is complete or failed, never partial. */
static void
fill_outcomes(const struct job *job, dw_answer *a)
{
    bool complete = job->state == DW_A_COMPLETE && job->answer_kept;

    a->tasks.tasks_val = dw_zero(job->task_count, sizeof(dw_outcome));
    a->tasks.tasks_len = job->task_count;
    for (uint32_t i = 0; i < job->task_count; i++) {
        dw_outcome *o = &a->tasks.tasks_val[i];

        *o = job->tasks[i].outcome;
        o->index = i;
        o->body = complete
                      ? str_to_bytes(str_bytes(&job->tasks[i].outcome.body))
                      : str_to_bytes(STR(""));
    }
}

dw_answer *
job_send_answer(uint64_t to, uint64_t request, uint32_t partition,
    dw_astate state, uint32_t retry_ms, const char *reason, struct acts *out)
{
    dw_answer *a = &act_send(out, to, DW_ANSWER)->dw_msg_u.answer;

    a->request = request;
    a->partition = partition;
    a->state = state;
    a->retry_ms = retry_ms;
    a->refund = true;
    a->reason = str_to_bytes(str_of(reason));
    return a;
}

void
job_answer_request(const struct job *job, uint64_t now, uint64_t to,
    uint64_t request, struct acts *out)
{
    dw_astate state = job->state;
    const char *reason = job->reason;
    uint32_t retry = 0;
    dw_answer *a;

    if (job->refused) {
        retry = job->expires_ms > now ? (uint32_t)(job->expires_ms - now) : 1;
    }
    if (state == DW_A_COMPLETE && !job->answer_kept) {
        state = DW_A_FAILED;
        reason = "answer_dropped";
    }
    a = job_send_answer(
        to, request, job->partition, state, retry, reason, out);
    a->refund = state == DW_A_NOT_RUN || request != job->admit_request;
    if (state == DW_A_COMPLETE || state == DW_A_FAILED) {
        fill_outcomes(job, a);
    }
}

static void
answer_waiters(struct job *job, uint64_t now, struct acts *out)
{
    struct job_waiter *w;
    struct job_waiter *tmp;

    LL_FOREACH_SAFE (job->waiters, w, tmp) {
        job_answer_request(job, now, w->entry, w->request, out);
        LL_DELETE(job->waiters, w);
        free(w);
    }
}

bool
job_attach(struct jobs *j, struct job *job, uint64_t entry, uint64_t request)
{
    struct job_waiter *w;

    LL_FOREACH (job->waiters, w) {
        if (w->entry == entry && w->request == request) {
            return false;
        }
    }
    w = dw_zero(1, sizeof(*w));
    w->entry = entry;
    w->request = request;
    LL_PREPEND(job->waiters, w);
    j->stats.attached++;
    return true;
}

/* --- ending --- */

static dw_astate
final_state(const struct job *job)
{
    uint32_t done = 0;
    uint32_t unstarted = 0;

    for (uint32_t i = 0; i < job->task_count; i++) {
        done += job->tasks[i].outcome.state == DW_T_DONE;
        unstarted += job->tasks[i].outcome.state == DW_T_NOT_STARTED;
    }
    if (done == job->task_count) {
        return DW_A_COMPLETE;
    }
    return unstarted == job->task_count ? DW_A_NOT_RUN : DW_A_FAILED;
}

void
job_trim_answers(struct jobs *j)
{
    struct job *job;

    for (job = j->jobs; job != NULL && j->kept_bytes > j->cfg.kept_bytes_max;
         job = job->hh.next) {
        if (job->answer_kept) {
            free_results(j, job);
        }
    }
}

void
job_set_reason(struct job *job, const char *reason)
{
    if (job->reason[0] == '\0') {
        str_copy(job->reason, sizeof(job->reason), str_of(reason));
    }
}

static void
count_final_state(struct jobs *j, dw_astate state)
{
    if (state == DW_A_COMPLETE) {
        j->stats.complete++;
    }
    else if (state == DW_A_NOT_RUN) {
        j->stats.not_run++;
    }
    else {
        j->stats.failed++;
    }
}

static void
finish_job(struct jobs *j, uint64_t now, struct job *job, struct acts *out)
{
    detach_from_customer(j, job);
    job->outstanding = 0;
    job->waiting = 0;
    job->state = final_state(job);
    if (job->state == DW_A_NOT_RUN && !j->may_admit) {
        /* With a stale view, a new owner may have taken over and run this
         * key; see own.h. */
        job->state = DW_A_UNKNOWN;
        job_set_reason(job, "not_fresh");
    }
    job->ended_ms = now;
    job->expires_ms = now + j->cfg.retention_ms;
    job->answer_kept = job->state == DW_A_COMPLETE;
    if (job->answer_bytes > j->cfg.answer_bytes_max) {
        job->state = DW_A_FAILED;
        job_set_reason(job, "answer_too_large");
    }
    if (job->state == DW_A_NOT_RUN && !job->cancelled) {
        job->refused = true;
        job->expires_ms = now + j->cfg.refuse_ms;
    }
    if (!job->answer_kept) {
        free_results(j, job);
    }
    count_final_state(j, job->state);
    act_submission_event(out, sk_customer(&job->sk), sk_key(&job->sk),
        "owner: job of %u tasks ended: answer %d %s after %llu ms",
        job->task_count, (int)job->state, job->reason,
        (unsigned long long)(now - job->admitted_ms));
    answer_waiters(job, now, out);
    free_inputs(job);
    job_trim_answers(j);
}

static void
finish_if_done(struct jobs *j, uint64_t now, struct job *job, struct acts *out)
{
    if (job->cust != NULL && job->outstanding == 0 && job->waiting == 0) {
        finish_job(j, now, job, out);
    }
}

/* Changes a task's state and the counts derived from it. */
static void
set_task_state(struct jobs *j, struct job *job, struct job_task *t,
    uint64_t now, dw_tstate state)
{
    dw_tstate old = t->outcome.state;

    if (old == state) {
        return;
    }
    if (old == DW_T_OFFERED) {
        place_offer_settled(j->place, t->host, 1);
    }
    t->outcome.state = state;
    t->state_since_ms = now;
    t->revoking = false;
    if (job->cust == NULL) {
        return;
    }
    if (job_state_is_outstanding(old) && !job_state_is_outstanding(state)) {
        job->outstanding--;
        job->cust->outstanding--;
    }
    if (!job_state_is_outstanding(old) && job_state_is_outstanding(state)) {
        job->outstanding++;
        job->cust->outstanding++;
    }
    if (old == DW_T_WAITING) {
        job->waiting--;
        j->waiting--;
        j->window_idle |= j->waiting == 0;
    }
    if (state == DW_T_WAITING) {
        job->waiting++;
        j->waiting++;
    }
    if (job_state_is_final(state)) {
        j->window_ended++;
    }
}

/* --- placing --- */

void
job_copy_task(dw_task *dst, const dw_task *src)
{
    *dst = *src;
    dst->kind = str_to_bytes(str_bytes(&src->kind));
    dst->payload = str_to_bytes(str_bytes(&src->payload));
}

/* Offers those tasks of `picked` that go to `host`, in one message. */
static void
send_offer(struct jobs *j, uint64_t now, struct job *job, uint64_t host,
    const uint32_t *picked, u_int n, struct acts *out)
{
    dw_offer *o = &act_send(out, host, DW_OFFER)->dw_msg_u.offer;

    o->partition = job->partition;
    o->epoch = j->parts[job->partition].epoch;
    o->customer = str_to_bytes(sk_customer(&job->sk));
    o->key = str_to_bytes(sk_key(&job->sk));
    o->count = job->task_count;
    o->deadline_ms = num_remaining_ms(job->deadline_ms, now);
    o->items.items_val = dw_zero(n, sizeof(dw_offer_item));
    for (u_int i = 0; i < n; i++) {
        struct job_task *t = &job->tasks[picked[i]];

        if (t->host != host) {
            continue;
        }
        o->items.items_val[o->items.items_len].attempt = t->attempt;
        job_copy_task(&o->items.items_val[o->items.items_len].task, &t->task);
        o->items.items_len++;
        t->sent_ms = now;
    }
    j->stats.offers++;
    j->stats.offered_tasks += o->items.items_len;
}

static void
send_offers(struct jobs *j, uint64_t now, struct job *job,
    const uint32_t *picked, u_int n, struct acts *out)
{
    for (u_int i = 0; i < n; i++) {
        uint64_t host = job->tasks[picked[i]].host;
        bool sent = false;

        for (u_int k = 0; k < i; k++) {
            sent |= job->tasks[picked[k]].host == host;
        }
        if (!sent) {
            send_offer(j, now, job, host, picked, n, out);
        }
    }
}

static bool
can_offer(const struct jobs *j, const struct job *job)
{
    return job->waiting > 0 && job->outstanding < job->width &&
           !job->stopping && j->parts[job->partition].gate == JOB_OPEN;
}

bool
job_below_guarantee(const struct jobs *j, const struct job_cust *c)
{
    const struct view_contract *vc = view_contract(j->view, str_of(c->name));

    return vc != NULL && c->outstanding < vc->c.guaranteed;
}

/*
 * The first task goes to another host than the owner's own, where there is
 * one: if this process and its host die together, a new owner must still
 * find a start record of the job, or it could admit a resubmission as new.
 */
static u_int
place_tasks(struct jobs *j, uint64_t now, struct job *job, uint32_t *picked)
{
    u_int n = 0;

    for (uint32_t i = 0;
         i < job->task_count && n < QUANTUM_TASKS && can_offer(j, job); i++) {
        struct job_task *t = &job->tasks[i];
        struct place_need need = {t->task.millicores, t->task.memory_mb,
            job_below_guarantee(j, job->cust)};
        uint64_t host;

        if (t->outcome.state != DW_T_WAITING) {
            continue;
        }
        host = place_pick(j->place, now, &need, i == 0 ? j->self : 0);
        if (host == 0) {
            break;
        }
        t->host = host;
        t->attempt++;
        set_task_state(j, job, t, now, DW_T_OFFERED);
        picked[n++] = i;
    }
    return n;
}

static struct job *
first_offerable(const struct jobs *j, const struct job_cust *c)
{
    struct job *job;

    DL_FOREACH (c->jobs, job) {
        if (can_offer(j, job)) {
            return job;
        }
    }
    return NULL;
}

static bool
comes_before(
    const struct jobs *j, const struct job_cust *a, const struct job_cust *b)
{
    bool ga = job_below_guarantee(j, a);
    bool gb = job_below_guarantee(j, b);

    if (ga != gb) {
        return ga;
    }
    return a->vtime < b->vtime;
}

static struct job *
next_job(const struct jobs *j)
{
    struct job_cust *c;
    struct job *best = NULL;

    for (c = j->customers; c != NULL; c = c->hh.next) {
        struct job *job = first_offerable(j, c);

        if (job != NULL && (best == NULL || comes_before(j, c, best->cust))) {
            best = job;
        }
    }
    return best;
}

static void
charge_customer(struct jobs *j, struct job_cust *c, u_int n)
{
    const struct view_contract *vc = view_contract(j->view, str_of(c->name));
    uint32_t w = vc != NULL ? vc->c.weight : 1;

    if (c->vtime < j->vtime) {
        c->vtime = j->vtime;
    }
    j->vtime = c->vtime;
    c->vtime += (uint64_t)n * VTIME_UNIT / w;
}

void
job_dispatch(struct jobs *j, uint64_t now, struct acts *out)
{
    uint32_t picked[QUANTUM_TASKS];
    struct job *job;

    while (j->waiting > 0 && (job = next_job(j)) != NULL) {
        u_int n = place_tasks(j, now, job, picked);

        if (n == 0) {
            return;
        }
        charge_customer(j, job->cust, n);
        send_offers(j, now, job, picked, n, out);
    }
}

/* --- stopping --- */

/* Revokes the job's tasks at a host; with `stop` also running ones.  With
 * `only_revoking`, only those that the caller has set to revoking. */
static void
send_revoke(struct jobs *j, uint64_t now, struct job *job, uint64_t host,
    bool stop, bool only_revoking, struct acts *out)
{
    dw_revoke *r = &act_send(out, host, DW_REVOKE)->dw_msg_u.revoke;

    r->partition = job->partition;
    r->epoch = j->parts[job->partition].epoch;
    r->customer = str_to_bytes(sk_customer(&job->sk));
    r->key = str_to_bytes(sk_key(&job->sk));
    r->stop = stop;
    r->marks.marks_val = dw_zero(job->task_count, sizeof(dw_mark));
    for (uint32_t i = 0; i < job->task_count; i++) {
        struct job_task *t = &job->tasks[i];
        dw_mark *m = &r->marks.marks_val[r->marks.marks_len];

        if (t->host != host || !job_state_is_outstanding(t->outcome.state) ||
            (only_revoking && !t->revoking)) {
            continue;
        }
        m->index = i;
        m->attempt = t->attempt;
        t->revoking = true;
        t->sent_ms = now;
        r->marks.marks_len++;
    }
}

/* Sends one revoke to each host that has an outstanding task of the job. */
static void
revoke_all(
    struct jobs *j, uint64_t now, struct job *job, bool stop, struct acts *out)
{
    for (uint32_t i = 0; i < job->task_count; i++) {
        bool sent = !job_state_is_outstanding(job->tasks[i].outcome.state);

        for (uint32_t k = 0; k < i && !sent; k++) {
            sent = job_state_is_outstanding(job->tasks[k].outcome.state) &&
                   job->tasks[k].host == job->tasks[i].host;
        }
        if (!sent) {
            send_revoke(j, now, job, job->tasks[i].host, stop, false, out);
        }
    }
}

/* Starts no more tasks of the job; with `stop` also stops running ones. */
static void
stop_job(struct jobs *j, uint64_t now, struct job *job, const char *reason,
    bool stop, struct acts *out)
{
    job_set_reason(job, reason);
    job->stopping = true;
    for (uint32_t i = 0; i < job->task_count; i++) {
        if (job->tasks[i].outcome.state == DW_T_WAITING) {
            set_task_state(j, job, &job->tasks[i], now, DW_T_NOT_STARTED);
        }
    }
    revoke_all(j, now, job, stop, out);
    finish_if_done(j, now, job, out);
}

void
jobs_cancel(struct jobs *j, uint64_t now, uint64_t from, const dw_cancel *c,
    struct acts *out)
{
    struct str name = str_bytes(&c->customer);
    struct str key = str_bytes(&c->key);
    struct job *job;

    if (c->partition >= VIEW_PARTS ||
        j->parts[c->partition].gate != JOB_OPEN || !j->may_admit) {
        job_send_answer(from, c->request, c->partition, DW_A_MOVED,
            MOVED_RETRY_MS, "not_ready", out);
        return;
    }
    job = job_find_unexpired(j, now, name, key);
    if (job == NULL) {
        job_send_answer(
            from, c->request, c->partition, DW_A_UNKNOWN, 0, "not_found", out);
        return;
    }
    if (job->state != DW_A_RUNNING) {
        job_answer_request(job, now, from, c->request, out);
        return;
    }
    job_attach(j, job, from, c->request);
    if (!job->cancelled) {
        job->cancelled = true;
        stop_job(j, now, job, "cancelled", true, out);
    }
    job_dispatch(j, now, out);
}

/* --- replies and results --- */

struct job_task *
job_task_at(struct job *job, uint32_t index)
{
    return job != NULL && index < job->task_count ? &job->tasks[index] : NULL;
}

static void
requeue_task(struct jobs *j, uint64_t now, struct job *job, struct job_task *t)
{
    set_task_state(
        j, job, t, now, job->stopping ? DW_T_NOT_STARTED : DW_T_WAITING);
}

/* Ignores a mark that is not about the task's current attempt and host. */
static void
apply_mark(struct jobs *j, uint64_t now, uint64_t from, struct job *job,
    const dw_mark *m)
{
    struct job_task *t = job_task_at(job, m->index);

    if (t == NULL || t->host != from || t->attempt != m->attempt ||
        !job_state_is_outstanding(t->outcome.state)) {
        return;
    }
    if (m->state == DW_T_NOT_STARTED) {
        requeue_task(j, now, job, t);
    }
    else if (m->state == DW_T_QUEUED || m->state == DW_T_RUNNING) {
        set_task_state(j, job, t, now, m->state);
    }
}

void
jobs_offer_reply(struct jobs *j, uint64_t now, uint64_t from,
    const dw_offered *o, struct acts *out)
{
    struct job *job = job_find(j, str_bytes(&o->customer), str_bytes(&o->key));

    place_set_load(j->place, now, from, &o->load);
    if (o->partition >= VIEW_PARTS ||
        j->parts[o->partition].gate != JOB_OPEN) {
        return;
    }
    if (job != NULL && job->state == DW_A_RUNNING) {
        for (u_int i = 0; i < o->marks.marks_len; i++) {
            apply_mark(j, now, from, job, &o->marks.marks_val[i]);
        }
        finish_if_done(j, now, job, out);
    }
    job_dispatch(j, now, out);
}

static void
store_outcome(struct jobs *j, uint64_t now, struct job *job,
    struct job_task *t, const dw_outcome *o)
{
    set_task_state(j, job, t, now, o->state);
    t->outcome.code = o->code;
    t->outcome.ran_ms = o->ran_ms;
    place_task_ended(j->place, o->ran_ms);
    t->outcome.body = str_to_bytes(str_bytes(&o->body));
    job->answer_bytes += o->body.dw_bytes_len;
    j->kept_bytes += o->body.dw_bytes_len;
}

/* Ignores an outcome of an earlier attempt, which a host sends until it is
 * acknowledged: the current one may run at the same host. */
static void
apply_outcome(struct jobs *j, uint64_t now, uint64_t from, struct job *job,
    const dw_outcome *o, struct acts *out)
{
    struct job_task *t = job_task_at(job, o->index);

    if (t == NULL || t->host != from || t->attempt != o->attempt ||
        !job_state_is_outstanding(t->outcome.state)) {
        j->stats.late_results++;
        return;
    }
    if (o->state == DW_T_NOT_STARTED) {
        requeue_task(j, now, job, t);
        return;
    }
    store_outcome(j, now, job, t, o);
    if (o->state != DW_T_DONE && !job->stopping) {
        stop_job(j, now, job, "task_failed", false, out);
    }
}

/* An outcome that arrives for a job known from start records only; see
 * jobs_restore_record(). */
static void
amend_recovered(struct job *job, const dw_outcome *o)
{
    struct job_task *t = job_task_at(job, o->index);

    if (t != NULL && job->state == DW_A_FAILED &&
        t->outcome.state == DW_T_UNKNOWN && o->state != DW_T_NOT_STARTED) {
        t->outcome.state = o->state;
        t->outcome.code = o->code;
        t->outcome.ran_ms = o->ran_ms;
    }
}

static void
send_ack(uint64_t to, const dw_result *r, struct acts *out)
{
    dw_result_ack *a = &act_send(out, to, DW_RESULT_ACK)->dw_msg_u.result_ack;

    a->refs.refs_len = r->refs.refs_len;
    a->refs.refs_val = dw_zero(r->refs.refs_len, sizeof(u_quad_t));
    if (r->refs.refs_len > 0) {
        memcpy(a->refs.refs_val, r->refs.refs_val,
            r->refs.refs_len * sizeof(u_quad_t));
    }
}

void
jobs_result(struct jobs *j, uint64_t now, uint64_t from, const dw_result *r,
    struct acts *out)
{
    struct job *job;

    place_set_load(j->place, now, from, &r->load);
    if (r->partition >= VIEW_PARTS ||
        j->parts[r->partition].gate != JOB_OPEN) {
        /* Not acknowledged: the host resends it to the next owner. */
        return;
    }
    job = job_find(j, str_bytes(&r->customer), str_bytes(&r->key));
    for (u_int i = 0; i < r->tasks.tasks_len && job != NULL; i++) {
        if (job->state == DW_A_RUNNING) {
            apply_outcome(j, now, from, job, &r->tasks.tasks_val[i], out);
        }
        else {
            amend_recovered(job, &r->tasks.tasks_val[i]);
        }
    }
    send_ack(from, r, out);
    if (job != NULL && job->state == DW_A_RUNNING) {
        finish_if_done(j, now, job, out);
    }
    job_dispatch(j, now, out);
}

/* --- timers and lost hosts --- */

typedef void (*job_fn)(struct jobs *j, uint64_t now, struct job *job,
    uint64_t arg, struct acts *out);

static void
for_each_running(
    struct jobs *j, uint64_t now, job_fn fn, uint64_t arg, struct acts *out)
{
    struct job_cust *c;

    for (c = j->customers; c != NULL; c = c->hh.next) {
        struct job *job;
        struct job *tmp;

        DL_FOREACH_SAFE (c->jobs, job, tmp) {
            if (j->parts[job->partition].gate == JOB_OPEN) {
                fn(j, now, job, arg, out);
            }
        }
    }
}

static void
fail_tasks_of_host(struct jobs *j, uint64_t now, struct job *job,
    uint64_t host, struct acts *out)
{
    bool lost = false;

    for (uint32_t i = 0; i < job->task_count; i++) {
        struct job_task *t = &job->tasks[i];

        if (t->host == host && job_state_is_outstanding(t->outcome.state)) {
            set_task_state(j, job, t, now, DW_T_UNKNOWN);
            lost = true;
        }
    }
    if (lost) {
        stop_job(j, now, job, "host_lost", false, out);
    }
}

void
jobs_host_lost(struct jobs *j, uint64_t now, uint64_t host, struct acts *out)
{
    for_each_running(j, now, fail_tasks_of_host, host, out);
    job_dispatch(j, now, out);
}

static void
resend_offers(struct jobs *j, uint64_t now, struct job *job, struct acts *out)
{
    uint32_t picked[DW_MAX_TASKS];
    u_int n = 0;

    for (uint32_t i = 0; i < job->task_count; i++) {
        struct job_task *t = &job->tasks[i];

        if (t->outcome.state == DW_T_OFFERED && !t->revoking &&
            now - t->sent_ms >= j->cfg.resend_ms) {
            picked[n++] = i;
        }
    }
    if (n > 0) {
        j->stats.reoffers += n;
        send_offers(j, now, job, picked, n, out);
    }
}

/* Late binding: revokes tasks that are queued while other hosts have free
 * slots.  One host per call, as a revoke goes to one host. */
static void
move_queued(struct jobs *j, uint64_t now, struct job *job, struct acts *out)
{
    uint64_t host = 0;

    for (uint32_t i = 0; i < job->task_count; i++) {
        struct job_task *t = &job->tasks[i];

        if (t->outcome.state != DW_T_QUEUED || t->revoking ||
            now - t->state_since_ms < j->cfg.move_ms ||
            (host != 0 && host != t->host)) {
            continue;
        }
        if (place_should_move(j->place, now, t->host)) {
            host = t->host;
            t->revoking = true;
            j->stats.moves++;
        }
    }
    if (host != 0) {
        send_revoke(j, now, job, host, false, true, out);
    }
}

/* Past the deadline and the grace period: tasks still outstanding end as
 * UNKNOWN. */
static void
finish_overdue(struct jobs *j, uint64_t now, struct job *job, struct acts *out)
{
    for (uint32_t i = 0; i < job->task_count; i++) {
        if (job_state_is_outstanding(job->tasks[i].outcome.state)) {
            set_task_state(j, job, &job->tasks[i], now, DW_T_UNKNOWN);
        }
    }
    finish_if_done(j, now, job, out);
}

static void
scan_job(struct jobs *j, uint64_t now, struct job *job, uint64_t arg,
    struct acts *out)
{
    (void)arg;
    if (!j->may_admit) {
        return;
    }
    if (now >= job->deadline_ms + j->cfg.grace_ms) {
        finish_overdue(j, now, job, out);
        return;
    }
    if (now >= job->deadline_ms && !job->stopping) {
        stop_job(j, now, job, "deadline", true, out);
        return;
    }
    if (job->stopping) {
        if (job->outstanding > 0 &&
            (now - job->admitted_ms) % REVOKE_RESEND_MS < SCAN_MS) {
            revoke_all(
                j, now, job, now >= job->deadline_ms || job->cancelled, out);
        }
        return;
    }
    resend_offers(j, now, job, out);
    if (!j->cfg.no_moves) {
        move_queued(j, now, job, out);
    }
}

static void
remove_expired(struct jobs *j, uint64_t now)
{
    struct job *job;
    struct job *tmp;
    size_t unexpired = 0;

    HASH_ITER (hh, j->jobs, job, tmp) {
        if (job->state != DW_A_RUNNING && job->expires_ms <= now) {
            job_free(j, job);
        }
        else if (++unexpired > EXPIRY_SCAN_MAX) {
            return;
        }
    }
}

static void
measure_drain_rate(struct jobs *j, uint64_t now)
{
    uint64_t ms = now - j->window_start_ms;
    uint32_t rate;

    if (ms < RATE_WINDOW_MS) {
        return;
    }
    rate = (uint32_t)((uint64_t)j->window_ended * 1000000 / ms);
    /* The rate measures the fleet's capacity only if tasks waited all the
     * time.  Otherwise it measures the demand, and a few tasks on an idle
     * fleet would give an expected wait of hours. */
    if (j->window_idle) {
        rate = 0;
    }
    j->drain_rate_milli = j->drain_rate_milli == 0 || rate == 0
                              ? rate
                              : (3 * j->drain_rate_milli + rate) / 4;
    j->window_ended = 0;
    j->window_idle = j->waiting == 0;
    j->window_start_ms = now;
}

void
jobs_tick(struct jobs *j, uint64_t now, struct acts *out)
{
    if (now - j->last_scan_ms < SCAN_MS) {
        return;
    }
    j->last_scan_ms = now;
    measure_drain_rate(j, now);
    for_each_running(j, now, scan_job, 0, out);
    remove_expired(j, now);
    job_dispatch(j, now, out);
}
