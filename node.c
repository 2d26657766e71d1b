#include "node.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Between two attempts to write this process's member record. */
#define MEMBER_TXN_INTERVAL_MS 300
/* Before this process lists itself again after it was removed from the list.
 */
#define RELIST_MIN_MS 250
#define RELIST_MAX_MS 30000
/* Between two requests to a predecessor for its ledger. */
#define LEDGER_RETRY_MS 100
/* While tasks wait, the loads of this many hosts are requested at this
 * interval. */
#define LOAD_REQUESTS_MAX 4
#define LOAD_REQUEST_INTERVAL_MS 50

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
    cfg->quota = (struct quota_cfg){.valid_ms = 10000,
        .renew_ms = 1000,
        .settle_ms = 3500,
        .slot_hold_ms = 60000,
        .wait_ms = 1000};
    cfg->front = (struct front_cfg){.owner_timeout_ms = 10000,
        .resend_ms = 1000,
        .retry_min_ms = 20,
        .retry_max_ms = 500,
        .answer_grace_ms = 2000,
        .requests_max = 20000};
}

void
node_init(struct node *n, const struct node_cfg *cfg)
{
    memset(n, 0, sizeof(*n));
    n->cfg = *cfg;
    n->self = cfg->me.id;
    n->agent = cfg->me.role == VIEW_AGENT;
    n->cfg.front.quota = cfg->quota;
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
    quota_lender_init(&n->lender, &cfg->quota);
    front_init(&n->front, &n->cfg.front, &n->view, n->self);
}

void
node_free(struct node *n)
{
    struct node_customer *c;
    struct node_customer *tmp;

    HASH_ITER (hh, n->customers, c, tmp) {
        HASH_DEL(n->customers, c);
        free(c);
    }
    front_free(&n->front);
    quota_lender_free(&n->lender);
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
    return n->bypass_freshness || sync_fresh(&n->sync, now);
}

bool
node_may_start(const struct node *n, uint64_t now)
{
    return n->agent && !n->leaving && node_fresh(n, now) &&
           view_member(&n->view, n->self) != NULL &&
           view_domain_in_service(&n->view, n->cfg.me.domain);
}

/* Called first with every input; the decisions of jobs and host use these two
 * gates. */
static void
update_gates(struct node *n, uint64_t now)
{
    n->jobs.may_admit = node_fresh(n, now);
    n->host.may_start = node_may_start(n, now);
}

/* --- changes of the view --- */

static bool
is_lender(const struct node *n, const char *customer)
{
    return front_lender(&n->view, str_of(customer)) == n->self;
}

static struct node_customer *
get_customer(struct node *n, const char *name)
{
    struct node_customer *c;

    HASH_FIND_STR(n->customers, name, c);
    if (c == NULL) {
        c = dw_zero(1, sizeof(*c));
        str_copy(c->name, sizeof(c->name), str_of(name));
        /* The contract appeared while this process was a member: if it is the
         * lender, nobody has lent from it before. */
        c->never_lent = n->was_listed;
        if (!c->never_lent) {
            c->lender = front_lender_without(&n->view, str_of(name), n->self);
        }
        HASH_ADD_STR(n->customers, name, c);
    }
    return c;
}

/*
 * The predecessor's ledger may be requested only if it was the lender until
 * now.  That holds if the state here was current within T: no lender between
 * it and this process can have started to lend within T (see
 * quota_cfg.settle_ms), unless it received the ledger, which is handed over
 * only once.
 */
static void
update_lender(struct node *n, uint64_t now, const struct contract *contract,
    struct node_customer *c)
{
    uint64_t lender = front_lender(&n->view, str_of(c->name));

    if (lender != n->self) {
        c->never_lent = false;
        c->predecessor = 0;
        quota_freeze_ledger(&n->lender, now, str_of(c->name));
    }
    else if (c->lender != n->self) {
        c->predecessor = node_fresh(n, now) ? c->lender : 0;
        c->ledger_requested_ms = 0;
        quota_open_ledger(&n->lender, now, contract, c->never_lent);
    }
    c->lender = lender;
}

static void
update_lenders(struct node *n, uint64_t now)
{
    const struct view_contract *vc;

    for (vc = n->view.contracts; vc != NULL; vc = vc->hh.next) {
        update_lender(n, now, &vc->c, get_customer(n, vc->c.customer));
    }
}

/* Request ledgers of predecessors until they reply or are removed. */
static void
request_ledgers(struct node *n, uint64_t now, struct acts *out)
{
    struct node_customer *c;

    for (c = n->customers; c != NULL; c = c->hh.next) {
        dw_msg *m;

        if (c->predecessor == 0 ||
            now - c->ledger_requested_ms < LEDGER_RETRY_MS) {
            continue;
        }
        if (view_member(&n->view, c->predecessor) == NULL ||
            quota_ledger_complete(&n->lender, now, str_of(c->name))) {
            c->predecessor = 0;
            continue;
        }
        c->ledger_requested_ms = now;
        m = act_send(out, c->predecessor, DW_LEDGER_ASK);
        m->dw_msg_u.ledger_ask.customer = str_to_bytes(str_of(c->name));
    }
}

/* Agents that were removed from the member list will never reply. */
static void
report_lost_hosts(struct node *n, uint64_t now, struct acts *out)
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
 * Others removed this process from the list because they cannot reach it,
 * though it reaches the store.  If it listed itself again at once, this would
 * repeat for as long as the fault lasts, with a takeover each time; so the
 * wait doubles each time.
 */
static void
set_relist_backoff(struct node *n, uint64_t now, bool listed)
{
    if (listed) {
        n->listed_ms = now;
        return;
    }
    n->relist_backoff_ms = now - n->listed_ms >= RELIST_MAX_MS
                               ? RELIST_MIN_MS
                               : 2 * n->relist_backoff_ms;
    if (n->relist_backoff_ms < RELIST_MIN_MS) {
        n->relist_backoff_ms = RELIST_MIN_MS;
    }
    if (n->relist_backoff_ms > RELIST_MAX_MS) {
        n->relist_backoff_ms = RELIST_MAX_MS;
    }
    n->relist_at_ms = now + n->relist_backoff_ms;
}

static void
on_view_changed(struct node *n, uint64_t now, struct acts *out)
{
    bool listed = view_member(&n->view, n->self) != NULL;

    update_gates(n, now);
    /* Called before mbr_update_members() removes the peers that are no longer
     * listed: a takeover is faster if the lost owner's port is known to refuse
     * connections. */
    own_view_changed(&n->own, now, out);
    mbr_update_members(&n->mbr, &n->view, now);
    report_lost_hosts(n, now, out);
    place_sync_members(&n->place, &n->view, &n->mbr);
    host_view_changed(&n->host);
    update_lenders(n, now);
    if (n->was_listed != listed) {
        act_event(out, "what=%s revision=%" PRIu64,
            listed ? "listed" : "not_listed", n->view.rev);
        set_relist_backoff(n, now, listed);
    }
    if (n->was_listed && !listed && !n->leaving) {
        /* Others considered this process dead: owners have counted its queue
         * as lost. */
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
on_members_changed(struct node *n, uint64_t now, struct acts *out)
{
    struct mbr_peer *p;

    place_sync_members(&n->place, &n->view, &n->mbr);
    for (p = n->mbr.peers; p != NULL; p = p->hh.next) {
        if (p->state == DW_M_DEAD && p->conn_refused) {
            jobs_host_lost(&n->jobs, now, p->id, out);
        }
    }
}

/* --- this process's member record --- */

static void
write_member(struct node *n, uint64_t now, bool leaving, struct acts *out)
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
    n->member_txn_pending = true;
    n->member_txn_sent_ms = now;
}

static void
remove_self(struct node *n, uint64_t now, struct acts *out)
{
    const struct view_member *me = view_member(&n->view, n->self);

    if (me == NULL) {
        n->removed = n->leaving_stored;
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
update_membership(struct node *n, uint64_t now, struct acts *out)
{
    const struct view_member *me = view_member(&n->view, n->self);

    if (n->member_txn_pending || !n->sync.ever_confirmed ||
        now - n->member_txn_sent_ms < MEMBER_TXN_INTERVAL_MS) {
        return;
    }
    if (me == NULL && !n->leaving) {
        if (now >= n->relist_at_ms) {
            write_member(n, now, false, out);
        }
    }
    else if (me != NULL && n->leaving && !me->leaving) {
        write_member(n, now, true, out);
    }
    else if (n->leaving) {
        n->leaving_stored |= me != NULL && me->leaving;
        remove_self(n, now, out);
    }
}

void
node_leave(struct node *n, uint64_t now, struct acts *out)
{
    if (n->leaving) {
        return;
    }
    n->leaving = true;
    update_gates(n, now);
    own_leave(&n->own);
    host_release(&n->host, now, out);
}

bool
node_done(const struct node *n)
{
    /* Others may have considered this process dead and removed it from the
     * list, while its backend server still runs tasks. */
    return n->leaving && n->removed && front_waiting(&n->front) == 0 &&
           n->host.busy == 0 && n->host.queued == 0;
}

/* --- load hints --- */

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
 * An owner learns a host's load only from its own exchanges with it, which
 * are too rare to show what other owners have placed there.  So every message
 * about tasks carries the loads of a few hosts.
 */
static void
attach_load_hints(struct node *n, uint64_t now, struct acts *out)
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

/* While tasks wait here, find hosts with free capacity. */
static void
request_loads(struct node *n, uint64_t now, struct acts *out)
{
    uint64_t ids[LOAD_REQUESTS_MAX];
    size_t count;

    if (n->jobs.waiting == 0 ||
        now - n->loads_requested_ms < LOAD_REQUEST_INTERVAL_MS) {
        return;
    }
    n->loads_requested_ms = now;
    count = place_stale_hosts(&n->place, now, ids, LOAD_REQUESTS_MAX);
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
    update_gates(n, now);
    if (mbr_tick(&n->mbr, now, out)) {
        on_members_changed(n, now, out);
    }
    sync_tick(&n->sync, now, out);
    update_gates(n, now);
    update_membership(n, now, out);
    if (n->agent) {
        request_ledgers(n, now, out);
        quota_lender_tick(&n->lender, now);
        own_tick(&n->own, now, node_fresh(n, now), out);
        jobs_tick(&n->jobs, now, out);
        request_loads(n, now, out);
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
        on_view_changed(n, now, out);
    }
}

HANDLER(on_ping)
{
    const struct mbr_peer *p;

    if (mbr_handle_message(&n->mbr, now, from, msg, out)) {
        on_members_changed(n, now, out);
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
    struct node_customer *c;

    /* A lender whose state is out of date could lend at the same time as its
     * successor. */
    if (vc == NULL || !node_fresh(n, now) || !is_lender(n, vc->c.customer)) {
        return;
    }
    c = get_customer(n, vc->c.customer);
    quota_borrow(&n->lender, now, from, &vc->c, c->never_lent, b, out);
}

HANDLER(on_lent)
{
    front_loan_reply(&n->front, now, from, &msg->dw_msg_u.lent, out);
}

HANDLER(on_ledger_ask)
{
    struct str customer = str_bytes(&msg->dw_msg_u.ledger_ask.customer);

    quota_request_ledger(&n->lender, now, from, customer, out);
}

HANDLER(on_ledger)
{
    const dw_ledger *l = &msg->dw_msg_u.ledger;
    const struct view_contract *vc =
        view_contract(&n->view, str_bytes(&l->customer));
    struct node_customer *c;

    (void)out;
    if (vc == NULL || !node_fresh(n, now) || !is_lender(n, vc->c.customer)) {
        return;
    }
    c = get_customer(n, vc->c.customer);
    if (c->predecessor == from) {
        c->predecessor = 0;
        quota_import_ledger(&n->lender, now, &vc->c, l);
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

    update_gates(n, now);
    if (hints_of(msg) != NULL) {
        place_apply_hints(&n->place, now, hints_of(msg));
    }
    if (type < sizeof(handlers) / sizeof(handlers[0]) &&
        handlers[type] != NULL) {
        handlers[type](n, now, from, msg, out);
    }
    if (n->agent) {
        attach_load_hints(n, now, out);
    }
}

void
node_connection_refused(
    struct node *n, uint64_t now, uint64_t id, struct acts *out)
{
    update_gates(n, now);
    if (mbr_conn_refused(&n->mbr, now, id)) {
        on_members_changed(n, now, out);
    }
}

/* --- the store --- */

void
node_store_checked(struct node *n, uint64_t now, uint64_t requested_ms,
    uint64_t rev, struct acts *out)
{
    sync_store_checked(&n->sync, requested_ms, rev, out);
    update_gates(n, now);
}

void
node_store_read(struct node *n, uint64_t now, uint64_t requested_ms,
    const dw_state *all, struct acts *out)
{
    bool changed = sync_store_read(&n->sync, now, requested_ms, all, out);

    if (changed) {
        on_view_changed(n, now, out);
    }
    update_gates(n, now);
}

void
node_store_read_failed(struct node *n)
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
    update_gates(n, now);
    if (ref == NODE_TXN_MAP) {
        own_txn_done(&n->own, now, status);
    }
    if (ref == NODE_TXN_MEMBER) {
        n->member_txn_pending = false;
    }
    sync_read_now(&n->sync, now, out);
}

/* --- callers and the backend server --- */

enum front_status
node_request(struct node *n, uint64_t now, uint64_t request,
    enum front_kind kind, dw_msg *msg, uint32_t age_ms, uint32_t deadline_ms,
    struct acts *out)
{
    update_gates(n, now);
    return front_request(
        &n->front, now, request, kind, msg, age_ms, deadline_ms, out);
}

void
node_caller_disconnected(struct node *n, uint64_t now, uint64_t request)
{
    front_caller_disconnected(&n->front, now, request);
}

void
node_task_ended(struct node *n, uint64_t now, uint64_t ref, dw_tstate state,
    uint32_t code, struct str body, struct acts *out)
{
    update_gates(n, now);
    host_task_ended(&n->host, now, ref, state, code, body, out);
    attach_load_hints(n, now, out);
}

void
node_backend_status(struct node *n, uint64_t now, bool serving, uint32_t slots,
    struct acts *out)
{
    update_gates(n, now);
    host_set_serving(&n->host, now, serving, slots, out);
}

void
node_task_usage(
    struct node *n, struct str kind, uint32_t millicores, uint32_t memory_mb)
{
    host_task_usage(&n->host, kind, millicores, memory_mb);
}
