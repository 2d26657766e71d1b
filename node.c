#include "node.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Between two tries to write this process's own entry. */
#define MEMBER_TXN_MS 300
/* Before this process enters itself again after it was taken off the list. */
#define RELIST_MIN_MS 250
#define RELIST_MAX_MS 30000
/* Between two questions to a predecessor for its ledger. */
#define LEDGER_MS 100
/* While tasks wait, so many hosts are asked for their load so often. */
#define LOAD_ASKS 4
#define LOADS_MS 50

typedef void (*handler)(struct node *n, uint64_t now, uint64_t from,
    dw_msg *msg, struct acts *out);

void
node_defaults(struct node_cfg *cfg)
{
    memset(cfg, 0, sizeof(*cfg));
    cfg->mbr = (struct mbr_cfg){
        .period_ms = 500, .timeout_ms = 150, .suspect_ms = 1500, .fanout = 3};
    cfg->sync = (struct sync_cfg){
        .pull_ms = 500, .read_ms = 1000, .fresh_ms = 3000, .per_reader = 8};
    cfg->place = (struct place_cfg){.policy = PLACE_MOST_FREE,
        .queue_allow = 2,
        .sample = 2,
        .scan_max = 0,
        .stale_ms = 500,
        .hints = 4,
        .probation_permille = 500,
        .probation_min_ms = 1000,
        .probation_max_ms = 60000};
    cfg->host = (struct host_cfg){.slots = 8,
        .millicores = 64000,
        .memory_mb = 131072,
        .queue_max = 64,
        .retention_ms = 600000,
        .resend_ms = 300,
        .bypass_ms = 500};
    cfg->job = (struct job_cfg){.retention_ms = 600000,
        .refuse_ms = 14000,
        .max_age_ms = 10000,
        .clock_skew_ms = 5000,
        .resend_ms = 200,
        .move_ms = 1000,
        .grace_ms = 1000,
        .waiting_max = 20000,
        .kept_bytes_max = 32U << 20,
        .answer_bytes_max = 4U << 20};
    cfg->own = (struct own_cfg){.quiet_ms = 3500,
        .retention_ms = 600000,
        .resend_ms = 300,
        .plan_interval_ms = 300,
        .stable_ms = 3000,
        .handover_max = 4,
        .leaving_handover_max = 256,
        .handover_timeout_ms = 3000};
    cfg->lend = (struct lend_cfg){.valid_ms = 10000,
        .renew_ms = 1000,
        .settle_ms = 3500,
        .hold_ms = 60000,
        .wait_ms = 1000};
    cfg->front = (struct front_cfg){.hold_ms = 10000,
        .resend_ms = 1000,
        .retry_min_ms = 20,
        .retry_max_ms = 500,
        .grace_ms = 2000,
        .requests_max = 20000};
}

void
node_init(struct node *n, const struct node_cfg *cfg)
{
    memset(n, 0, sizeof(*n));
    n->cfg = *cfg;
    n->self = cfg->me.id;
    n->agent = cfg->me.role == VIEW_AGENT;
    n->cfg.front.lend = cfg->lend;
    n->cfg.front.max_age_ms = cfg->job.max_age_ms;
    view_init(&n->view);
    mbr_init(&n->mbr, &cfg->mbr, n->self, cfg->seed);
    sync_init(&n->sync, &cfg->sync, n->self, str_of(cfg->me.domain), &n->view,
        &n->mbr);
    place_init(&n->place, &cfg->place, mix64(cfg->seed, 7));
    host_init(&n->host, &cfg->host, &n->view, n->self);
    jobs_init(&n->jobs, &cfg->job, &n->view, &n->place, n->self);
    own_init(
        &n->own, &cfg->own, n->self, &n->view, &n->mbr, &n->sync, &n->jobs);
    lend_homes_init(&n->homes, &cfg->lend);
    front_init(&n->front, &n->cfg.front, &n->view, n->self);
}

void
node_free(struct node *n)
{
    struct node_cust *c;
    struct node_cust *tmp;

    HASH_ITER (hh, n->custs, c, tmp) {
        HASH_DEL(n->custs, c);
        free(c);
    }
    front_free(&n->front);
    lend_homes_free(&n->homes);
    own_free(&n->own);
    jobs_free(&n->jobs);
    host_free(&n->host);
    place_free(&n->place);
    sync_free(&n->sync);
    mbr_free(&n->mbr);
    view_free(&n->view);
}

/* --- gates --- */

bool
node_fresh(const struct node *n, uint64_t now)
{
    return n->bypass_gate || sync_fresh(&n->sync, now);
}

bool
node_may_start(const struct node *n, uint64_t now)
{
    return n->agent && !n->leaving && node_fresh(n, now) &&
           view_member(&n->view, n->self) != NULL &&
           view_domain_in_service(&n->view, n->cfg.me.domain);
}

/* Every input passes here first: decisions below use these two. */
static void
set_gates(struct node *n, uint64_t now)
{
    n->jobs.may_admit = node_fresh(n, now);
    n->host.may_start = node_may_start(n, now);
}

/* --- following the view --- */

static bool
is_home(const struct node *n, const char *customer)
{
    return front_home(&n->view, str_of(customer)) == n->self;
}

static struct node_cust *
note_customer(struct node *n, const char *name)
{
    struct node_cust *c;

    HASH_FIND_STR(n->custs, name, c);
    if (c == NULL) {
        c = dw_zero(1, sizeof(*c));
        str_copy(c->name, sizeof(c->name), str_of(name));
        /* Written while we were its home: nobody has lent from it before. */
        c->first = n->was_listed;
        if (!c->first) {
            c->home = front_home_without(&n->view, str_of(name), n->self);
        }
        HASH_ADD_STR(n->custs, name, c);
    }
    return c;
}

/*
 * The predecessor may be asked for its ledger only if it was the home until
 * now: our state was current within T, and within T no home between it and
 * us can have begun to lend (see lend_cfg.settle_ms), unless it was given
 * the ledger, which is given only once.
 */
static void
follow_home(struct node *n, uint64_t now, const struct contract *contract,
    struct node_cust *c)
{
    uint64_t home = front_home(&n->view, str_of(c->name));

    if (home != n->self) {
        c->first = false;
        c->prev = 0;
        lend_freeze(&n->homes, now, str_of(c->name));
    }
    else if (c->home != n->self) {
        c->prev = node_fresh(n, now) ? c->home : 0;
        c->asked_ms = 0;
        lend_home_open(&n->homes, now, contract, c->first);
    }
    c->home = home;
}

static void
follow_homes(struct node *n, uint64_t now)
{
    const struct view_contract *vc;

    for (vc = n->view.contracts; vc != NULL; vc = vc->hh.next) {
        follow_home(n, now, &vc->c, note_customer(n, vc->c.customer));
    }
}

/* Ask predecessors for their ledgers until they answer or are gone. */
static void
ask_ledgers(struct node *n, uint64_t now, struct acts *out)
{
    struct node_cust *c;

    for (c = n->custs; c != NULL; c = c->hh.next) {
        dw_msg *m;

        if (c->prev == 0 || now - c->asked_ms < LEDGER_MS) {
            continue;
        }
        if (view_member(&n->view, c->prev) == NULL ||
            lend_whole(&n->homes, now, str_of(c->name))) {
            c->prev = 0;
            continue;
        }
        c->asked_ms = now;
        m = act_send(out, c->prev, DW_LEDGER_ASK);
        m->dw_msg_u.ledger_ask.customer = str_to_bytes(str_of(c->name));
    }
}

/* Agents that were listed and are not any more will never answer. */
static void
lose_hosts(struct node *n, uint64_t now, struct acts *out)
{
    struct place_host *h;
    struct place_host *tmp;

    HASH_ITER (hh, n->place.hosts, h, tmp) {
        if (view_member(&n->view, h->id) == NULL) {
            jobs_host_lost(&n->jobs, now, h->id, out);
        }
    }
}

/*
 * Others took this process off the list, as they cannot hear it, though it
 * reaches the store.  Entering itself again at once would go on for as long
 * as that lasts, with a takeover each time; so each time it waits longer.
 */
static void
wait_to_relist(struct node *n, uint64_t now, bool listed)
{
    if (listed) {
        n->listed_ms = now;
        return;
    }
    n->relist_ms =
        now - n->listed_ms >= RELIST_MAX_MS ? RELIST_MIN_MS : 2 * n->relist_ms;
    if (n->relist_ms < RELIST_MIN_MS) {
        n->relist_ms = RELIST_MIN_MS;
    }
    if (n->relist_ms > RELIST_MAX_MS) {
        n->relist_ms = RELIST_MAX_MS;
    }
    n->relist_at = now + n->relist_ms;
}

static void
on_view(struct node *n, uint64_t now, struct acts *out)
{
    bool listed = view_member(&n->view, n->self) != NULL;

    set_gates(n, now);
    /* Before members that left are forgotten: a lost owner may be one whose
     * death is proved. */
    own_view_changed(&n->own, now, out);
    mbr_update_members(&n->mbr, &n->view, now);
    lose_hosts(n, now, out);
    place_sync_members(&n->place, &n->view, &n->mbr);
    host_view_changed(&n->host);
    follow_homes(n, now);
    if (n->was_listed != listed) {
        act_event(out, "what=%s revision=%" PRIu64,
            listed ? "listed" : "not_listed", n->view.rev);
        wait_to_relist(n, now, listed);
    }
    if (n->was_listed && !listed && !n->leaving) {
        /* Held dead: owners have counted our queue as lost. */
        host_release(&n->host, now, out);
    }
    if (!view_domain_in_service(&n->view, n->cfg.me.domain)) {
        host_release(&n->host, now, out);
    }
    n->was_listed = listed;
    front_view_changed(&n->front, now, out);
    sync_push(&n->sync, now, out);
}

static void
on_members(struct node *n, uint64_t now, struct acts *out)
{
    struct mbr_peer *p;

    place_sync_members(&n->place, &n->view, &n->mbr);
    for (p = n->mbr.peers; p != NULL; p = p->hh.next) {
        if (p->state == DW_M_DEAD && p->conn_refused) {
            jobs_host_lost(&n->jobs, now, p->id, out);
        }
    }
}

/* --- this process's own entry --- */

static void
member_txn(struct node *n, uint64_t now, bool leaving, struct acts *out)
{
    struct view_member me = n->cfg.me;
    const struct view_member *listed = view_member(&n->view, n->self);
    struct buf key = {0};
    struct buf value = {0};
    struct txn *t = act_txn(out, NODE_TXN_MEMBER);

    me.leaving = leaving;
    me.slots = n->host.cfg.slots;
    buf_addf(&key, VIEW_MEMBER "%016" PRIx64, n->self);
    view_format_member(&me, &value);
    txn_compare(t, key.p, listed != NULL ? listed->mod : 0);
    txn_put(t, key.p, value.p);
    buf_free(&key);
    buf_free(&value);
    buf_addf(&key, VIEW_DOMAIN "%s", me.domain);
    if (view_kv(&n->view, key.p) == NULL) {
        txn_compare(t, key.p, 0);
        txn_put(t, key.p, "{\"in\":true}");
    }
    buf_free(&key);
    n->member_txn = true;
    n->member_txn_ms = now;
}

static void
drop_self(struct node *n, uint64_t now, struct acts *out)
{
    const struct view_member *me = view_member(&n->view, n->self);

    if (me == NULL) {
        n->removed = n->told_leaving;
        return;
    }
    if (n->agent && !own_empty(&n->own) && n->view.have_map) {
        return;
    }
    if (front_waiting(&n->front) == 0 && host_pending(&n->host) == 0) {
        own_remove_self(&n->own, now, out);
    }
}

static void
tend_membership(struct node *n, uint64_t now, struct acts *out)
{
    const struct view_member *me = view_member(&n->view, n->self);

    if (n->member_txn || !n->sync.ever_confirmed ||
        now - n->member_txn_ms < MEMBER_TXN_MS) {
        return;
    }
    if (me == NULL && !n->leaving) {
        if (now >= n->relist_at) {
            member_txn(n, now, false, out);
        }
    }
    else if (me != NULL && n->leaving && !me->leaving) {
        member_txn(n, now, true, out);
    }
    else if (n->leaving) {
        n->told_leaving |= me != NULL && me->leaving;
        drop_self(n, now, out);
    }
}

void
node_leave(struct node *n, uint64_t now, struct acts *out)
{
    if (n->leaving) {
        return;
    }
    n->leaving = true;
    set_gates(n, now);
    own_leave(&n->own);
    host_release(&n->host, now, out);
}

bool
node_done(const struct node *n)
{
    /* Others may have held us dead and taken us off the list already, while
     * our backend server is still at work. */
    return n->leaving && n->removed && front_waiting(&n->front) == 0 &&
           n->host.busy == 0 && n->host.queued == 0;
}

/* --- loads told along --- */

static dw_hints *
hints_of(dw_msg *m)
{
    switch (m->type) {
    case DW_OFFER:
        return &m->dw_msg_u.offer.hints;
    case DW_OFFERED:
    case DW_REVOKED:
        return &m->dw_msg_u.offered.hints;
    case DW_RESULT:
        return &m->dw_msg_u.result.hints;
    default:
        return NULL;
    }
}

/*
 * An owner hears of a host's load only in its own exchanges with it, far too
 * seldom to know what other owners have put there.  So every message of the
 * work itself tells a few loads along.
 */
static void
tell_loads(struct node *n, uint64_t now, struct acts *out)
{
    struct act *a;
    dw_load own = {0};

    host_load(&n->host, &own);
    place_set_load(&n->place, now, n->self, &own);
    for (a = out->head; a != NULL; a = a->next) {
        dw_hints *h = a->kind == ACT_SEND ? hints_of(a->msg) : NULL;

        if (h != NULL && a->to != n->self && h->dw_hints_len == 0) {
            place_fill_hints(&n->place, now, a->to, h);
        }
    }
}

/* Tasks wait here: find out where there is room by now. */
static void
ask_loads(struct node *n, uint64_t now, struct acts *out)
{
    uint64_t ids[LOAD_ASKS];
    size_t count;

    if (n->jobs.waiting == 0 || now - n->loads_ms < LOADS_MS) {
        return;
    }
    n->loads_ms = now;
    count = place_stale_hosts(&n->place, now, ids, LOAD_ASKS);
    for (size_t i = 0; i < count; i++) {
        mbr_request_load(&n->mbr, ids[i], out);
    }
}

/* --- time --- */

void
node_tick(struct node *n, uint64_t now, uint64_t wall_ms, struct acts *out)
{
    n->jobs.wall_ms = wall_ms;
    n->mbr.rev = n->view.rev;
    host_load(&n->host, &n->mbr.load);
    set_gates(n, now);
    if (mbr_tick(&n->mbr, now, out)) {
        on_members(n, now, out);
    }
    sync_tick(&n->sync, now, out);
    set_gates(n, now);
    tend_membership(n, now, out);
    if (n->agent) {
        ask_ledgers(n, now, out);
        lend_homes_tick(&n->homes, now);
        own_tick(&n->own, now, node_fresh(n, now), out);
        jobs_tick(&n->jobs, now, out);
        ask_loads(n, now, out);
        host_tick(&n->host, now, out);
    }
    front_tick(&n->front, now, out);
}

/* --- messages --- */

#define HANDLER(name)                                                         \
    static void name(struct node *n, uint64_t now, uint64_t from,             \
        dw_msg *msg, struct acts *out)

HANDLER(on_submit)
{
    jobs_submit(&n->jobs, now, from, &msg->dw_msg_u.submit, out);
}

HANDLER(on_answer)
{
    front_answer(&n->front, now, from, msg, out);
}

HANDLER(on_offer)
{
    host_offer(&n->host, now, from, &msg->dw_msg_u.offer, out);
}

HANDLER(on_offered)
{
    jobs_offer_reply(&n->jobs, now, from, &msg->dw_msg_u.offered, out);
}

HANDLER(on_result)
{
    jobs_result(&n->jobs, now, from, &msg->dw_msg_u.result, out);
}

HANDLER(on_result_ack)
{
    (void)now;
    (void)from;
    (void)out;
    host_result_acked(&n->host, &msg->dw_msg_u.result_ack);
}

HANDLER(on_revoke)
{
    host_revoke(&n->host, now, from, &msg->dw_msg_u.revoke, out);
}

HANDLER(on_fence)
{
    host_fence(&n->host, now, from, &msg->dw_msg_u.fence, out);
}

HANDLER(on_records)
{
    own_records(&n->own, now, from, &msg->dw_msg_u.records, out);
}

HANDLER(on_handover)
{
    own_handover(&n->own, now, from, &msg->dw_msg_u.handover, out);
}

HANDLER(on_handed)
{
    own_handed(&n->own, now, from, &msg->dw_msg_u.handed, out);
}

HANDLER(on_pull)
{
    sync_handle_pull(&n->sync, now, from, &msg->dw_msg_u.pull, out);
}

HANDLER(on_state)
{
    if (sync_handle_state(&n->sync, now, from, &msg->dw_msg_u.state)) {
        on_view(n, now, out);
    }
}

HANDLER(on_ping)
{
    const struct mbr_peer *p;

    if (mbr_handle_message(&n->mbr, now, from, msg, out)) {
        on_members(n, now, out);
    }
    p = mbr_peer(&n->mbr, from);
    if (p != NULL && p->have_load) {
        place_set_load(&n->place, now, from, &p->load);
    }
}

HANDLER(on_borrow)
{
    const dw_borrow *b = &msg->dw_msg_u.borrow;
    const struct view_contract *vc =
        view_contract(&n->view, str_bytes(&b->customer));
    struct node_cust *c;

    /* A home cut off from the state could lend beside its successor. */
    if (vc == NULL || !node_fresh(n, now) || !is_home(n, vc->c.customer)) {
        return;
    }
    c = note_customer(n, vc->c.customer);
    lend_asked(&n->homes, now, from, &vc->c, c->first, b, out);
}

HANDLER(on_lent)
{
    front_lent(&n->front, now, from, &msg->dw_msg_u.lent, out);
}

HANDLER(on_ledger_ask)
{
    struct str customer = str_bytes(&msg->dw_msg_u.ledger_ask.customer);

    lend_ledger_asked(&n->homes, now, from, customer, out);
}

HANDLER(on_ledger)
{
    const dw_ledger *l = &msg->dw_msg_u.ledger;
    const struct view_contract *vc =
        view_contract(&n->view, str_bytes(&l->customer));
    struct node_cust *c;

    (void)out;
    if (vc == NULL || !node_fresh(n, now) || !is_home(n, vc->c.customer)) {
        return;
    }
    c = note_customer(n, vc->c.customer);
    if (c->prev == from) {
        c->prev = 0;
        lend_ledger(&n->homes, now, &vc->c, l);
    }
}

HANDLER(on_cancel)
{
    jobs_cancel(&n->jobs, now, from, &msg->dw_msg_u.cancel, out);
}

static const handler handlers[] = {
    [DW_SUBMIT] = on_submit,
    [DW_ANSWER] = on_answer,
    [DW_OFFER] = on_offer,
    [DW_OFFERED] = on_offered,
    [DW_RESULT] = on_result,
    [DW_RESULT_ACK] = on_result_ack,
    [DW_REVOKE] = on_revoke,
    [DW_REVOKED] = on_offered,
    [DW_FENCE] = on_fence,
    [DW_RECORDS] = on_records,
    [DW_HANDOVER] = on_handover,
    [DW_HANDED] = on_handed,
    [DW_PULL] = on_pull,
    [DW_STATE] = on_state,
    [DW_PING] = on_ping,
    [DW_PING_ACK] = on_ping,
    [DW_PING_REQ] = on_ping,
    [DW_BORROW] = on_borrow,
    [DW_LENT] = on_lent,
    [DW_CANCEL] = on_cancel,
    [DW_LEDGER_ASK] = on_ledger_ask,
    [DW_LEDGER] = on_ledger,
};

void
node_message(
    struct node *n, uint64_t now, uint64_t from, dw_msg *msg, struct acts *out)
{
    size_t type = (size_t)msg->type;

    set_gates(n, now);
    if (hints_of(msg) != NULL) {
        place_apply_hints(&n->place, now, hints_of(msg));
    }
    if (type < sizeof(handlers) / sizeof(handlers[0]) &&
        handlers[type] != NULL) {
        handlers[type](n, now, from, msg, out);
    }
    if (n->agent) {
        tell_loads(n, now, out);
    }
}

void
node_refused(struct node *n, uint64_t now, uint64_t id, struct acts *out)
{
    set_gates(n, now);
    if (mbr_conn_refused(&n->mbr, now, id)) {
        on_members(n, now, out);
    }
}

/* --- the store --- */

void
node_checked(struct node *n, uint64_t now, uint64_t asked_ms, uint64_t rev,
    struct acts *out)
{
    sync_store_checked(&n->sync, asked_ms, rev, out);
    set_gates(n, now);
}

void
node_read(struct node *n, uint64_t now, uint64_t asked_ms, const dw_state *all,
    struct acts *out)
{
    bool moved = sync_store_read(&n->sync, now, asked_ms, all, out);

    if (moved) {
        on_view(n, now, out);
    }
    set_gates(n, now);
}

void
node_read_failed(struct node *n)
{
    sync_store_failed(&n->sync);
}

void
node_store_hint(struct node *n, uint64_t now, struct acts *out)
{
    sync_read_now(&n->sync, now, out);
}

void
node_txn_done(struct node *n, uint64_t now, uint64_t ref,
    enum txn_status status, struct acts *out)
{
    set_gates(n, now);
    if (ref == NODE_TXN_MAP) {
        own_txn_done(&n->own, now, status);
    }
    if (ref == NODE_TXN_MEMBER) {
        n->member_txn = false;
    }
    sync_read_now(&n->sync, now, out);
}

/* --- callers and the backend server --- */

enum front_status
node_request(struct node *n, uint64_t now, uint64_t request,
    enum front_kind kind, dw_msg *msg, uint32_t age_ms, uint32_t deadline_ms,
    struct acts *out)
{
    set_gates(n, now);
    return front_request(
        &n->front, now, request, kind, msg, age_ms, deadline_ms, out);
}

void
node_gone(struct node *n, uint64_t now, uint64_t request)
{
    front_gone(&n->front, now, request);
}

void
node_task_ended(struct node *n, uint64_t now, uint64_t ref, dw_tstate state,
    uint32_t code, struct str body, struct acts *out)
{
    set_gates(n, now);
    host_task_ended(&n->host, now, ref, state, code, body, out);
    tell_loads(n, now, out);
}

void
node_backend(struct node *n, uint64_t now, bool serving, uint32_t slots,
    struct acts *out)
{
    set_gates(n, now);
    host_set_serving(&n->host, now, serving, slots, out);
}

void
node_usage(
    struct node *n, struct str kind, uint32_t millicores, uint32_t memory_mb)
{
    host_task_usage(&n->host, kind, millicores, memory_mb);
}
