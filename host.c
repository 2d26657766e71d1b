#include "host.h"

#include "num.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* Start records in one message to a new owner. */
#define RECORDS_CHUNK 256
/* Virtual time of one task at weight 1. */
#define VTIME_UNIT 1000000U
/* Weight of one task in the moving average of failures: 1/ERROR_WINDOW. */
#define ERROR_WINDOW 16
/* Between two scans of the runs and records. */
#define SCAN_INTERVAL_MS 50

void
host_init(struct host *h, const struct host_cfg *cfg, const struct view *view,
    uint64_t self)
{
    memset(h, 0, sizeof(*h));
    h->cfg = *cfg;
    h->view = view;
    h->next_ref = mix64(self, 3) & 0xffffffff00000000U;
}

static void
free_run(struct host *h, struct host_run *r)
{
    HASH_DEL(h->runs, r);
    xdr_free((xdrproc_t)xdr_dw_task, &r->task);
    xdr_free((xdrproc_t)xdr_dw_outcome, &r->outcome);
    free(r);
}

static void
free_rec(struct host *h, struct host_rec *rec)
{
    HASH_DEL(h->recs, rec);
    free(rec->tasks);
    free(rec);
}

void
host_free(struct host *h)
{
    struct host_run *r;
    struct host_run *rt;
    struct host_rec *rec;
    struct host_rec *rect;
    struct host_cust *c;
    struct host_cust *ct;
    struct host_kind *k;
    struct host_kind *kt;

    HASH_ITER (hh, h->runs, r, rt) {
        free_run(h, r);
    }
    HASH_ITER (hh, h->recs, rec, rect) {
        free_rec(h, rec);
    }
    HASH_ITER (hh, h->customers, c, ct) {
        HASH_DEL(h->customers, c);
        free(c);
    }
    HASH_ITER (hh, h->kinds, k, kt) {
        HASH_DEL(h->kinds, k);
        free(k);
    }
}

const struct host_run *
host_find_run(const struct host *h, uint64_t ref)
{
    struct host_run *r;

    HASH_FIND(hh, h->runs, &ref, sizeof(ref), r);
    return r;
}

static struct host_run *
find_run(struct host *h, uint64_t ref)
{
    return (struct host_run *)host_find_run(h, ref);
}

static struct host_rec *
find_rec(struct host *h, const struct subkey *sk)
{
    struct host_rec *rec;

    HASH_FIND(hh, h->recs, sk->p, sk->len, rec);
    return rec;
}

/* Finds or adds a record and moves it to the end, so that records are ordered
 * by their last offer or revoke. */
static struct host_rec *
use_rec(struct host *h, uint64_t now, const struct subkey *sk,
    uint32_t partition, uint32_t count)
{
    struct host_rec *rec = find_rec(h, sk);

    if (rec == NULL) {
        rec = dw_zero(1, sizeof(*rec));
        rec->sk = *sk;
        rec->partition = partition;
        rec->job_task_count = count;
    }
    else {
        HASH_DEL(h->recs, rec);
    }
    rec->last_used_ms = now;
    HASH_ADD_KEYPTR(hh, h->recs, rec->sk.p, rec->sk.len, rec);
    return rec;
}

static struct host_task_rec *
find_task_rec(struct host_rec *rec, uint32_t index)
{
    for (size_t i = 0; i < rec->task_rec_count; i++) {
        if (rec->tasks[i].index == index) {
            return &rec->tasks[i];
        }
    }
    return NULL;
}

static struct host_task_rec *
add_task_rec(struct host_rec *rec, uint32_t index)
{
    struct host_task_rec *tr;

    rec->tasks =
        dw_grow(rec->tasks, (rec->task_rec_count + 1) * sizeof(rec->tasks[0]));
    tr = &rec->tasks[rec->task_rec_count++];
    memset(tr, 0, sizeof(*tr));
    tr->index = index;
    return tr;
}

/* NULL if the task is neither queued nor running nor awaits its ack. */
static struct host_run *
find_task_run(struct host *h, const struct host_rec *rec, uint32_t index)
{
    struct host_run *r;

    for (r = h->runs; r != NULL; r = r->hh.next) {
        if (r->rec == rec && r->task.index == index) {
            return r;
        }
    }
    return NULL;
}

static void
set_run_state(struct host_run *r, dw_tstate state)
{
    struct host_task_rec *tr = find_task_rec(r->rec, r->task.index);

    r->state = state;
    if (tr != NULL && tr->attempt == r->attempt) {
        tr->state = state;
    }
}

void
host_load(const struct host *h, dw_load *load)
{
    load->slots = h->cfg.slots;
    load->busy = h->busy;
    load->queued = h->queued;
    load->millicores = h->cfg.millicores;
    load->memory_mb = h->cfg.memory_mb;
    load->free_millicores = h->used_millicores < h->cfg.millicores
                                ? h->cfg.millicores - h->used_millicores
                                : 0;
    load->free_memory_mb = h->used_memory_mb < h->cfg.memory_mb
                               ? h->cfg.memory_mb - h->used_memory_mb
                               : 0;
    load->error_permille = h->error_permille;
    load->serving = h->serving;
}

size_t
host_pending(const struct host *h)
{
    return HASH_COUNT(h->runs);
}

void
host_view_changed(struct host *h)
{
    const struct view_member *m;

    h->fleet_slots = 0;
    for (m = h->view->members; m != NULL; m = m->hh.next) {
        if (m->role == VIEW_AGENT &&
            view_domain_in_service(h->view, m->domain)) {
            h->fleet_slots += m->slots;
        }
    }
}

/* --- customer queues --- */

static struct host_cust *
get_customer(struct host *h, struct str name)
{
    struct host_cust *c;

    HASH_FIND(hh, h->customers, name.p, name.n, c);
    if (c == NULL) {
        c = dw_zero(1, sizeof(*c));
        str_copy(c->name, sizeof(c->name), name);
        HASH_ADD_KEYPTR(hh, h->customers, c->name, name.n, c);
    }
    return c;
}

static void
enqueue(struct host *h, struct host_run *r)
{
    struct host_cust *c = r->cust;

    if (c->queue == NULL && c->running == 0 && c->vtime < h->vtime) {
        /* A customer without tasks here accumulates no credit: it does not go
         * before others for the time that it was idle. */
        c->vtime = h->vtime;
    }
    DL_APPEND(c->queue, r);
    c->queued++;
    h->queued++;
}

static void
dequeue(struct host *h, struct host_run *r)
{
    DL_DELETE(r->cust->queue, r);
    r->cust->queued--;
    h->queued--;
}

/* The customer runs fewer tasks here than the host's part of its guaranteed
 * slots: guaranteed * slots / fleet_slots. */
static bool
below_guarantee(const struct host *h, const struct host_cust *c)
{
    const struct view_contract *vc = view_contract(h->view, str_of(c->name));

    if (vc == NULL || h->fleet_slots == 0) {
        return false;
    }
    return c->running * h->fleet_slots <
           (uint64_t)vc->c.guaranteed * h->cfg.slots;
}

static uint32_t
weight(const struct host *h, const struct host_cust *c)
{
    const struct view_contract *vc = view_contract(h->view, str_of(c->name));

    return vc != NULL ? vc->c.weight : 1;
}

/* --- measured use --- */

static struct host_kind *
get_kind(struct host *h, struct str name, bool add)
{
    struct str cut = name;
    struct host_kind *k;

    if (cut.n >= CT_NAME_MAX) {
        cut.n = CT_NAME_MAX - 1;
    }
    HASH_FIND(hh, h->kinds, cut.p, cut.n, k);
    if (k == NULL && add) {
        k = dw_zero(1, sizeof(*k));
        str_copy(k->name, sizeof(k->name), cut);
        HASH_ADD_KEYPTR(hh, h->kinds, k->name, cut.n, k);
    }
    return k;
}

static uint32_t
update_usage(uint32_t old, uint32_t measured, uint32_t samples)
{
    /* Raised at once and lowered slowly, as too low an estimate overloads
     * the worker. */
    if (samples == 0 || measured > old) {
        return measured;
    }
    return old - (old - measured) / 8;
}

void
host_task_usage(
    struct host *h, struct str kind, uint32_t millicores, uint32_t memory_mb)
{
    struct host_kind *k = get_kind(h, kind, true);

    k->millicores = update_usage(k->millicores, millicores, k->samples);
    k->memory_mb = update_usage(k->memory_mb, memory_mb, k->samples);
    k->samples++;
}

/* The worker starts all that it is sent, so only the agent protects it from
 * overload.  A task larger than the worker is capped to the worker's size:
 * it still runs, alone. */
static void
set_run_usage(struct host *h, struct host_run *r)
{
    const struct host_kind *k = get_kind(h, str_bytes(&r->task.kind), false);

    r->millicores = r->task.millicores;
    r->memory_mb = r->task.memory_mb;
    if (k != NULL && !h->cfg.trust_declared) {
        r->millicores = (uint32_t)num_max(r->millicores, k->millicores);
        r->memory_mb = (uint32_t)num_max(r->memory_mb, k->memory_mb);
    }
    r->millicores = (uint32_t)num_min(r->millicores, h->cfg.millicores);
    r->memory_mb = (uint32_t)num_min(r->memory_mb, h->cfg.memory_mb);
}

static bool
fits(const struct host *h, const struct host_run *r)
{
    return h->used_millicores + r->millicores <= h->cfg.millicores &&
           h->used_memory_mb + r->memory_mb <= h->cfg.memory_mb;
}

/* --- results --- */

static void
send_result(struct host *h, uint64_t now, struct host_run *r, struct acts *out)
{
    uint64_t owner = h->view->parts[r->rec->partition].owner;
    dw_result *res = &act_send(out, owner, DW_RESULT)->dw_msg_u.result;

    res->partition = r->rec->partition;
    res->customer = str_to_bytes(sk_customer(&r->rec->sk));
    res->key = str_to_bytes(sk_key(&r->rec->sk));
    host_load(h, &res->load);
    res->refs.refs_val = dw_zero(1, sizeof(u_quad_t));
    res->refs.refs_len = 1;
    res->refs.refs_val[0] = r->ref;
    res->tasks.tasks_val = dw_zero(1, sizeof(dw_outcome));
    res->tasks.tasks_len = 1;
    res->tasks.tasks_val[0] = r->outcome;
    res->tasks.tasks_val[0].body = str_to_bytes(str_bytes(&r->outcome.body));
    r->sent_ms = now;
}

static void
finish_run(struct host *h, uint64_t now, struct host_run *r, dw_tstate state,
    uint32_t code, struct str body, struct acts *out)
{
    set_run_state(r, state);
    r->outcome.index = r->task.index;
    r->outcome.attempt = r->attempt;
    r->outcome.state = state;
    r->outcome.code = code;
    r->outcome.ran_ms =
        r->started_ms > 0 ? (uint32_t)(now - r->started_ms) : 0;
    r->outcome.body = str_to_bytes(body);
    r->rec->last_used_ms = now;
    act_submission_event(out, sk_customer(&r->rec->sk), sk_key(&r->rec->sk),
        "host: task %u attempt %u ended in state %d, code %u, after %u ms",
        r->task.index, r->attempt, (int)state, code, r->outcome.ran_ms);
    send_result(h, now, r, out);
}

static void
release_run(struct host *h, uint64_t now, struct host_run *r, struct acts *out)
{
    dequeue(h, r);
    h->stats.released++;
    finish_run(h, now, r, DW_T_NOT_STARTED, 0, STR(""), out);
}

void
host_result_acked(struct host *h, const dw_result_ack *ack)
{
    for (u_int i = 0; i < ack->refs.refs_len; i++) {
        struct host_run *r = find_run(h, ack->refs.refs_val[i]);

        if (r != NULL && r->state != DW_T_QUEUED && r->state != DW_T_RUNNING) {
            free_run(h, r);
        }
    }
}

/* --- starting --- */

static void
start(struct host *h, uint64_t now, struct host_run *r, struct acts *out)
{
    struct host_cust *c = r->cust;

    dequeue(h, r);
    set_run_state(r, DW_T_RUNNING);
    r->started_ms = now;
    r->rec->last_used_ms = now;
    c->running++;
    c->vtime += VTIME_UNIT / weight(h, c);
    h->vtime = c->vtime;
    h->busy++;
    h->used_millicores += r->millicores;
    h->used_memory_mb += r->memory_mb;
    h->stats.started++;
    act_submission_event(out, sk_customer(&r->rec->sk), sk_key(&r->rec->sk),
        "host: task %u attempt %u started", r->task.index, r->attempt);
    act_ref(out, ACT_START, r->ref);
}

static void
expire_queue(
    struct host *h, uint64_t now, struct host_cust *c, struct acts *out)
{
    struct host_run *r;
    struct host_run *tmp;

    DL_FOREACH_SAFE (c->queue, r, tmp) {
        if (now >= r->deadline_ms) {
            release_run(h, now, r, out);
        }
    }
}

/* The customer's first queued task that fits.  Sets *blocked if a task has
 * waited bypass_ms for capacity: then no other may start before it. */
static struct host_run *
first_fit(const struct host *h, uint64_t now, const struct host_cust *c,
    bool *blocked)
{
    struct host_run *r;

    DL_FOREACH (c->queue, r) {
        if (fits(h, r)) {
            return r;
        }
        if (now - r->queued_ms >= h->cfg.bypass_ms) {
            *blocked = true;
            return NULL;
        }
    }
    return NULL;
}

static bool
comes_before(
    const struct host *h, const struct host_cust *a, const struct host_cust *b)
{
    bool ga = below_guarantee(h, a);
    bool gb = below_guarantee(h, b);

    if (ga != gb) {
        return ga;
    }
    return a->vtime < b->vtime;
}

static struct host_run *
next_run(struct host *h, uint64_t now, struct acts *out)
{
    struct host_cust *c;
    struct host_run *best = NULL;
    bool blocked = false;

    for (c = h->customers; c != NULL; c = c->hh.next) {
        struct host_run *r;

        expire_queue(h, now, c, out);
        if (c->queue == NULL) {
            continue;
        }
        r = first_fit(h, now, c, &blocked);
        if (blocked) {
            return NULL;
        }
        if (r != NULL && (best == NULL || comes_before(h, c, best->cust))) {
            best = r;
        }
    }
    return best;
}

static void
dispatch(struct host *h, uint64_t now, struct acts *out)
{
    while (h->may_start && h->serving && h->queued > 0 &&
           h->busy < h->cfg.slots) {
        struct host_run *r = next_run(h, now, out);

        if (r == NULL) {
            return;
        }
        start(h, now, r, out);
    }
}

/* --- offers --- */

static void
add_run(struct host *h, uint64_t now, struct host_rec *rec,
    const dw_offer *offer, const dw_offer_item *item)
{
    struct host_run *r = dw_zero(1, sizeof(*r));

    r->ref = ++h->next_ref;
    r->rec = rec;
    r->epoch = offer->epoch;
    r->attempt = item->attempt;
    r->task = item->task;
    r->task.kind = str_to_bytes(str_bytes(&item->task.kind));
    r->task.payload = str_to_bytes(str_bytes(&item->task.payload));
    r->state = DW_T_QUEUED;
    r->queued_ms = now;
    r->deadline_ms = now + offer->deadline_ms;
    r->cust = get_customer(h, sk_customer(&rec->sk));
    set_run_usage(h, r);
    HASH_ADD(hh, h->runs, ref, sizeof(r->ref), r);
    enqueue(h, r);
}

/*
 * A recorded task is never accepted a second time: an owner that got no reply
 * resends the same attempt and gets the task's state.  Only a task returned
 * unstarted may be offered again, and only under a higher attempt, so that a
 * late copy of the first offer cannot start it.
 */
static dw_tstate
accept_item(struct host *h, uint64_t now, struct host_rec *rec,
    const dw_offer *offer, const dw_offer_item *item)
{
    struct host_task_rec *tr = find_task_rec(rec, item->task.index);

    if (tr != NULL && !h->cfg.no_records &&
        (tr->state != DW_T_NOT_STARTED || item->attempt <= tr->attempt)) {
        h->stats.refused_duplicate++;
        return tr->state;
    }
    if (tr == NULL) {
        tr = add_task_rec(rec, item->task.index);
    }
    tr->attempt = item->attempt;
    if (!h->serving ||
        (h->queued >= h->cfg.queue_max &&
            !below_guarantee(h, get_customer(h, sk_customer(&rec->sk))))) {
        tr->state = DW_T_NOT_STARTED;
        h->stats.refused_full++;
        return tr->state;
    }
    tr->state = DW_T_QUEUED;
    add_run(h, now, rec, offer, item);
    return tr->state;
}

static dw_offered *
begin_reply(struct host *h, uint64_t to, dw_mtype type, uint32_t partition,
    uint64_t epoch, const struct subkey *sk, u_int marks, struct acts *out)
{
    /* DW_OFFERED and DW_REVOKED have the same layout. */
    dw_offered *o = &act_send(out, to, type)->dw_msg_u.offered;

    o->partition = partition;
    o->epoch = epoch;
    o->customer = str_to_bytes(sk_customer(sk));
    o->key = str_to_bytes(sk_key(sk));
    o->marks.marks_val = dw_zero(marks, sizeof(dw_mark));
    o->marks.marks_len = marks;
    (void)h;
    return o;
}

void
host_offer(struct host *h, uint64_t now, uint64_t from, const dw_offer *offer,
    struct acts *out)
{
    struct subkey sk;
    struct host_rec *rec;
    dw_offered *o;

    if (offer->partition >= VIEW_PARTS ||
        !sk_make(&sk, str_bytes(&offer->customer), str_bytes(&offer->key))) {
        return;
    }
    /*
     * An owner that was paused or cut off may still send offers after its
     * partition was taken over, for tasks that now run elsewhere.  The new
     * owner's fence raised the epoch here before that owner admitted any.
     */
    if (!h->cfg.no_epochs &&
        (offer->epoch < h->epochs[offer->partition] ||
            offer->epoch < h->view->parts[offer->partition].epoch)) {
        h->stats.refused_epoch++;
        return;
    }
    h->epochs[offer->partition] = offer->epoch;
    rec = use_rec(h, now, &sk, offer->partition, offer->count);
    o = begin_reply(h, from, DW_OFFERED, offer->partition, offer->epoch, &sk,
        offer->items.items_len, out);
    for (u_int i = 0; i < offer->items.items_len; i++) {
        const dw_offer_item *item = &offer->items.items_val[i];

        o->marks.marks_val[i].index = item->task.index;
        o->marks.marks_val[i].attempt = item->attempt;
        o->marks.marks_val[i].state = accept_item(h, now, rec, offer, item);
    }
    dispatch(h, now, out);
    host_load(h, &o->load);
}

/* The task's state afterwards; WAITING if this attempt is not known here. */
static dw_tstate
revoke_task(struct host *h, uint64_t now, struct host_rec *rec,
    const dw_mark *mark, bool stop, struct acts *out)
{
    struct host_task_rec *tr =
        rec != NULL ? find_task_rec(rec, mark->index) : NULL;
    struct host_run *r;

    if (tr == NULL || tr->attempt < mark->attempt) {
        return DW_T_WAITING;
    }
    r = find_task_run(h, rec, mark->index);
    if (r != NULL && r->state == DW_T_QUEUED && tr->attempt == mark->attempt) {
        dequeue(h, r);
        set_run_state(r, DW_T_NOT_STARTED);
        free_run(h, r);
        h->stats.released++;
    }
    else if (r != NULL && r->state == DW_T_RUNNING && stop && !r->stopping) {
        r->stopping = true;
        act_ref(out, ACT_STOP, r->ref);
    }
    (void)now;
    return tr->state;
}

/* A revoke may arrive before its offer, which travels on another connection.
 * The record makes the offer be refused. */
static dw_tstate
block_offer(struct host_rec *rec, const dw_mark *mark)
{
    struct host_task_rec *tr = find_task_rec(rec, mark->index);

    if (tr == NULL) {
        tr = add_task_rec(rec, mark->index);
    }
    tr->attempt = mark->attempt;
    tr->state = DW_T_NOT_STARTED;
    return tr->state;
}

void
host_revoke(struct host *h, uint64_t now, uint64_t from,
    const dw_revoke *revoke, struct acts *out)
{
    struct subkey sk;
    struct host_rec *rec;
    dw_offered *o;

    if (revoke->partition >= VIEW_PARTS ||
        !sk_make(&sk, str_bytes(&revoke->customer), str_bytes(&revoke->key))) {
        return;
    }
    if (revoke->epoch < h->epochs[revoke->partition]) {
        h->stats.refused_epoch++;
        return;
    }
    rec = use_rec(h, now, &sk, revoke->partition, 0);
    o = begin_reply(h, from, DW_REVOKED, revoke->partition, revoke->epoch, &sk,
        revoke->marks.marks_len, out);
    for (u_int i = 0; i < revoke->marks.marks_len; i++) {
        const dw_mark *mark = &revoke->marks.marks_val[i];
        dw_tstate st = revoke_task(h, now, rec, mark, revoke->stop, out);

        o->marks.marks_val[i] = *mark;
        o->marks.marks_val[i].state =
            st == DW_T_WAITING ? block_offer(rec, mark) : st;
    }
    dispatch(h, now, out);
    host_load(h, &o->load);
}

/* --- fencing --- */

static void
fence_partition(struct host *h, uint32_t partition, uint64_t epoch)
{
    struct host_run *r;
    struct host_run *tmp;

    h->epochs[partition] = epoch;
    HASH_ITER (hh, h->runs, r, tmp) {
        if (r->rec->partition == partition && r->epoch < epoch &&
            r->state == DW_T_QUEUED) {
            dequeue(h, r);
            set_run_state(r, DW_T_NOT_STARTED);
            free_run(h, r);
            h->stats.released++;
        }
    }
}

static void
fill_record(dw_record *out, const struct host_rec *rec, uint64_t now)
{
    out->partition = rec->partition;
    out->customer = str_to_bytes(sk_customer(&rec->sk));
    out->key = str_to_bytes(sk_key(&rec->sk));
    out->count = rec->job_task_count;
    out->age_ms = (uint32_t)(now - rec->last_used_ms);
    out->marks.marks_val = dw_zero(rec->task_rec_count, sizeof(dw_mark));
    out->marks.marks_len = (u_int)rec->task_rec_count;
    for (size_t i = 0; i < rec->task_rec_count; i++) {
        out->marks.marks_val[i].index = rec->tasks[i].index;
        out->marks.marks_val[i].attempt = rec->tasks[i].attempt;
        out->marks.marks_val[i].state = rec->tasks[i].state;
    }
}

static dw_records *
new_chunk(uint64_t to, const dw_fence *fence, u_int chunk, struct acts *out)
{
    dw_records *rs = &act_send(out, to, DW_RECORDS)->dw_msg_u.records;

    rs->nonce = fence->nonce;
    rs->chunk = chunk;
    rs->records.records_val = dw_zero(RECORDS_CHUNK, sizeof(dw_record));
    return rs;
}

void
host_fence(struct host *h, uint64_t now, uint64_t from, const dw_fence *fence,
    struct acts *out)
{
    bool fenced[VIEW_PARTS] = {false};
    struct host_rec *rec;
    dw_records *rs;
    u_int chunk = 0;

    for (u_int i = 0; i < fence->partitions.partitions_len; i++) {
        uint32_t p = fence->partitions.partitions_val[i];

        if (p < VIEW_PARTS && fence->epoch >= h->epochs[p]) {
            fence_partition(h, p, fence->epoch);
            fenced[p] = true;
        }
    }
    rs = new_chunk(from, fence, chunk++, out);
    for (rec = h->recs; rec != NULL; rec = rec->hh.next) {
        if (!fenced[rec->partition]) {
            continue;
        }
        if (rs->records.records_len == RECORDS_CHUNK) {
            rs = new_chunk(from, fence, chunk++, out);
        }
        fill_record(
            &rs->records.records_val[rs->records.records_len++], rec, now);
    }
    rs->last = true;
}

/* --- outcomes and timers --- */

static void
update_error_rate(struct host *h, bool error)
{
    uint32_t sample = error ? 1000 : 0;

    h->error_permille =
        (h->error_permille * (ERROR_WINDOW - 1) + sample) / ERROR_WINDOW;
}

void
host_task_ended(struct host *h, uint64_t now, uint64_t ref, dw_tstate state,
    uint32_t code, struct str body, struct acts *out)
{
    struct host_run *r = find_run(h, ref);

    if (r == NULL || r->state != DW_T_RUNNING) {
        return;
    }
    r->cust->running--;
    h->busy--;
    h->used_millicores -= r->millicores;
    h->used_memory_mb -= r->memory_mb;
    h->stats.ended++;
    if (state == DW_T_NOT_STARTED) {
        h->stats.started--;
    }
    if (state != DW_T_STOPPED) {
        update_error_rate(h, state != DW_T_DONE);
    }
    finish_run(h, now, r, state, code, body, out);
    dispatch(h, now, out);
}

void
host_release(struct host *h, uint64_t now, struct acts *out)
{
    struct host_run *r;
    struct host_run *tmp;

    HASH_ITER (hh, h->runs, r, tmp) {
        if (r->state == DW_T_QUEUED) {
            release_run(h, now, r, out);
        }
    }
}

void
host_set_serving(struct host *h, uint64_t now, bool serving, uint32_t slots,
    struct acts *out)
{
    h->serving = serving;
    if (slots > 0) {
        h->cfg.slots = slots;
    }
    if (!serving) {
        host_release(h, now, out);
    }
    dispatch(h, now, out);
}

static void
resend_results(struct host *h, uint64_t now, struct acts *out)
{
    struct host_run *r;
    struct host_run *tmp;

    HASH_ITER (hh, h->runs, r, tmp) {
        if (r->state == DW_T_QUEUED || r->state == DW_T_RUNNING ||
            now - r->sent_ms < h->cfg.resend_ms) {
            continue;
        }
        if (now - r->rec->last_used_ms >= h->cfg.retention_ms) {
            free_run(h, r);
            continue;
        }
        h->stats.resent++;
        send_result(h, now, r, out);
    }
}

static bool
rec_in_use(const struct host *h, const struct host_rec *rec)
{
    const struct host_run *r;

    for (r = h->runs; r != NULL; r = r->hh.next) {
        if (r->rec == rec) {
            return true;
        }
    }
    return false;
}

static void
remove_expired_recs(struct host *h, uint64_t now)
{
    struct host_rec *rec;
    struct host_rec *tmp;

    HASH_ITER (hh, h->recs, rec, tmp) {
        if (now - rec->last_used_ms < h->cfg.retention_ms) {
            return;
        }
        if (!rec_in_use(h, rec)) {
            free_rec(h, rec);
        }
    }
}

void
host_tick(struct host *h, uint64_t now, struct acts *out)
{
    dispatch(h, now, out);
    if (now - h->last_scan_ms < SCAN_INTERVAL_MS) {
        return;
    }
    h->last_scan_ms = now;
    resend_results(h, now, out);
    remove_expired_recs(h, now);
}
