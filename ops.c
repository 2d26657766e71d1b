/*
 * The operators' HTTP interface: contracts, failure domains, status, audit.
 *
 * Each change is one transaction: it compares the key's revision with the one
 * that the operator read, and writes the new value and an audit entry
 * together.  If the store's answer is lost, the audit entries are read back:
 * the change was written if there is one with its id.
 */
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "daemon.h"
#include "proc.h"
#include "log.h"

#define CONTRACTS_PATH "/v1/contracts"
#define DOMAINS_PATH "/v1/domains"
#define TEXT_MAX 128
#define VERIFY_RETRY_MS 200
/* After this the operator gets the reply that the outcome is unknown. */
#define VERIFY_TIMEOUT_MS 8000
/* Longest wait until all live processes hold the change. */
#define PROPAGATION_TIMEOUT_MS 10000
#define REV_REQUEST_INTERVAL_MS 100
/* After every PRUNE_INTERVAL_CHANGES changes, up to PRUNE_BATCH_MAX of the
 * oldest audit entries beyond the configured number are deleted. */
#define PRUNE_INTERVAL_CHANGES 16
#define PRUNE_BATCH_MAX 64

enum op_state {
    OP_WRITING,    /* the transaction was sent */
    OP_RETRYING,   /* its answer was lost; the audit read is to be sent */
    OP_READING,    /* reading the audit entries to find its outcome */
    OP_PROPAGATING /* written; waiting until enough processes hold it */
};

/* An operator's request in progress: a change, or a query of the store. */
struct op {
    struct daemon *d;
    struct web_req *r; /* NULL once the operator has disconnected */
    enum op_state state;
    bool store_pending; /* a store call will call back with this op */
    /* The store reported a conflict: with this change's own earlier write
     * whose answer was lost, or with another change. */
    bool conflicted;
    bool wait_in_force; /* reply once all live processes hold the change */
    struct txn *txn;
    char id[32];
    char target[TEXT_MAX];   /* the changed key without VIEW_PREFIX */
    uint64_t written_rev;    /* store revision of the change */
    uint64_t phase_start_ms; /* of writing, later of propagating */
    uint64_t next_ms;        /* next action, if no store call is pending */
    struct op *prev;
    struct op *next;
};

static struct op *
new_op(struct daemon *d, struct web_req *r)
{
    struct op *op = dw_zero(1, sizeof(*op));

    op->d = d;
    op->r = r;
    op->next = d->ops;
    if (d->ops != NULL) {
        d->ops->prev = op;
    }
    d->ops = op;
    web_set_ctx(r, op);
    return op;
}

static void
free_op(struct op *op)
{
    if (op->prev != NULL) {
        op->prev->next = op->next;
    }
    else {
        op->d->ops = op->next;
    }
    if (op->next != NULL) {
        op->next->prev = op->prev;
    }
    if (op->r != NULL) {
        web_set_ctx(op->r, NULL);
    }
    txn_free(op->txn);
    free(op);
}

static void
reply_json(struct web_req *r, unsigned status, json_t *o)
{
    char *text = json_dumps(o, JSON_COMPACT);

    web_reply(r, status, "application/json", str_of(text), 0);
    free(text);
    json_decref(o);
}

static void
finish_with_problem(
    struct op *op, unsigned status, const char *kind, const char *detail)
{
    struct web_req *r = op->r;

    log_event(LOG_LEVEL_WARN, "change_failed", "id=%s target=%s problem=%s",
        op->id, op->target, kind);
    if (r != NULL) {
        web_set_ctx(r, NULL);
        op->r = NULL;
        web_problem(r, status, kind, detail, 0);
    }
    free_op(op);
}

/* --- writing and verifying --- */

static void write_change(struct op *op);

static void
finish_unverified(struct op *op)
{
    struct buf b = {0};

    buf_addf(&b,
        "the store did not answer in time; it is not known whether change "
        "%s was written: look for it with `dunlinweir audit`",
        op->id);
    finish_with_problem(op, 504, "not_settled", b.p);
    buf_free(&b);
}

/* Return the newest audit entry for the op's target, or NULL.  If the op's own
 * entry is present, set *own, and *rev to its revision. */
static json_t *
find_audit_entry(
    const dw_state *all, const struct op *op, bool *own, uint64_t *rev)
{
    json_t *newest = NULL;
    uint64_t newest_mod = 0;

    for (u_int i = 0; i < all->kvs.kvs_len; i++) {
        const dw_kv *kv = &all->kvs.kvs_val[i];
        json_t *o = json_loadb(
            kv->value.dw_value_val, kv->value.dw_value_len, 0, NULL);
        const char *id = json_string_value(json_object_get(o, "id"));
        const char *target = json_string_value(json_object_get(o, "target"));

        if (id != NULL && strcmp(id, op->id) == 0) {
            *own = true;
            *rev = kv->mod;
        }
        if (target != NULL && strcmp(target, op->target) == 0 &&
            kv->mod > newest_mod) {
            newest_mod = kv->mod;
            json_decref(newest);
            newest = json_incref(o);
        }
        json_decref(o);
    }
    return newest;
}

static void
reply_conflict(struct op *op, json_t *newest_entry)
{
    char *text = json_dumps(newest_entry, JSON_COMPACT);
    struct buf b = {0};

    buf_addf(&b,
        "%s was changed by another operator in the meantime%s%s; read it "
        "again and repeat the change if it is still needed",
        op->target, text != NULL ? ": " : "", text != NULL ? text : "");
    finish_with_problem(op, 409, "conflict", b.p);
    buf_free(&b);
    free(text);
}

static void
start_propagation(struct op *op, uint64_t rev)
{
    op->written_rev = rev;
    op->state = OP_PROPAGATING;
    op->phase_start_ms = proc_now();
    op->next_ms = 0;
    node_store_hint(&op->d->node, op->phase_start_ms, &op->d->acts);
    carry_out(op->d);
}

static void
on_verify_read(void *ctx, enum store_status st, const dw_state *all)
{
    struct op *op = ctx;
    bool own = false;
    uint64_t rev = 0;
    json_t *newest_entry;

    op->store_pending = false;
    if (st != STORE_OK) {
        op->state = OP_RETRYING;
        op->next_ms = proc_now() + VERIFY_RETRY_MS;
        return;
    }
    newest_entry = find_audit_entry(all, op, &own, &rev);
    if (own) {
        start_propagation(op, rev);
    }
    else if (op->conflicted) {
        reply_conflict(op, newest_entry);
    }
    else {
        /* Not written yet.  If the first attempt is still in transit, only
         * one of the two can take effect: the transaction requires that its
         * audit entry does not exist. */
        write_change(op);
    }
    json_decref(newest_entry);
}

static void
verify_change(struct op *op)
{
    op->state = OP_READING;
    op->store_pending = true;
    op->d->store->ops->read(op->d->store, VIEW_AUDIT, on_verify_read, op);
}

static void
on_txn_done(void *ctx, enum store_status st, uint64_t rev)
{
    struct op *op = ctx;

    op->store_pending = false;
    switch (st) {
    case STORE_OK:
        start_propagation(op, rev);
        break;
    case STORE_CONFLICT:
        /* With its own earlier write if an answer was lost, or with another
         * change. */
        op->conflicted = true;
        verify_change(op);
        break;
    case STORE_UNREACHABLE:
    case STORE_UNKNOWN:
        op->state = OP_RETRYING;
        op->next_ms = proc_now() + VERIFY_RETRY_MS;
        break;
    }
}

static void
write_change(struct op *op)
{
    op->state = OP_WRITING;
    op->store_pending = true;
    op->d->store->ops->txn(op->d->store, op->txn, on_txn_done, op);
}

/* --- pruning audit entries --- */

static int
newest_first(const void *a, const void *b)
{
    uint64_t x = ((const dw_kv *)a)->mod;
    uint64_t y = ((const dw_kv *)b)->mod;

    return x < y ? 1 : x > y ? -1 : 0;
}

static void
on_pruned(void *ctx, enum store_status st, uint64_t rev)
{
    (void)ctx;
    (void)rev;
    log_event(LOG_LEVEL_INFO, "audit_pruned", "ok=%d", st == STORE_OK);
}

static void
on_prune_read(void *ctx, enum store_status st, const dw_state *all)
{
    struct daemon *d = ctx;
    struct txn *t;

    if (st != STORE_OK || all->kvs.kvs_len <= d->conf.audit_entries_max) {
        return;
    }
    qsort(all->kvs.kvs_val, all->kvs.kvs_len, sizeof(dw_kv), newest_first);
    t = txn_new();
    for (u_int i = d->conf.audit_entries_max;
         i < all->kvs.kvs_len && t->put_count < PRUNE_BATCH_MAX; i++) {
        char *key = str_dup(str_bytes(&all->kvs.kvs_val[i].key));

        txn_put(t, key, NULL);
        free(key);
    }
    d->store->ops->txn(d->store, t, on_pruned, d);
    txn_free(t);
}

/* Not after each change, as pruning reads all audit entries. */
static void
prune_if_due(struct daemon *d)
{
    if (++d->changes % PRUNE_INTERVAL_CHANGES == 0) {
        d->store->ops->read(d->store, VIEW_AUDIT, on_prune_read, d);
    }
}

/* --- propagation --- */

/* The names of live processes that do not hold the change yet; each is sent a
 * request for its revision. */
static json_t *
list_outdated(struct op *op, uint64_t now)
{
    struct node *n = &op->d->node;
    const struct view_member *m;
    json_t *list = json_array();

    for (m = n->view.members; m != NULL; m = m->hh.next) {
        if (mbr_state(&n->mbr, m->id) != DW_M_DEAD &&
            sync_peer_rev(&n->sync, m->id) < op->written_rev) {
            json_array_append_new(list, json_string(m->name));
            sync_request_rev(&n->sync, now, m->id, &op->d->acts);
        }
    }
    return list;
}

static void
finish_accepted(struct op *op, json_t *outdated, uint64_t now)
{
    struct web_req *r = op->r;
    bool in_force = outdated != NULL && json_array_size(outdated) == 0;
    json_t *o = json_pack("{s:b, s:s, s:I, s:I}", "accepted", 1, "change",
        op->id, "revision", (json_int_t)op->written_rev, "ms",
        (json_int_t)(now - op->phase_start_ms));

    if (op->wait_in_force) {
        json_object_set_new(o, "in_force", json_boolean(in_force));
        json_object_set(o, "behind", outdated);
    }
    log_event(LOG_LEVEL_INFO, "change_accepted",
        "id=%s target=%s revision=%" PRIu64, op->id, op->target,
        op->written_rev);
    prune_if_due(op->d);
    if (r != NULL) {
        web_set_ctx(r, NULL);
        op->r = NULL;
        reply_json(r, 200, o);
    }
    else {
        json_decref(o);
    }
    free_op(op);
}

/*
 * A change is accepted once readers in a majority of failure domains hold it.
 * A process that continues during a store outage gets its state from at least
 * one of these domains, so it cannot miss an accepted change.
 */
static void
tick_propagation(struct op *op, uint64_t now)
{
    bool timed_out = now - op->phase_start_ms >= PROPAGATION_TIMEOUT_MS;
    json_t *outdated;

    if (sync_majority_rev(&op->d->node.sync) < op->written_rev) {
        if (timed_out) {
            finish_with_problem(op, 504, "not_held",
                "the change is written but no majority of failure domains "
                "holds it yet; it comes into force when they reconnect");
        }
        return;
    }
    if (!op->wait_in_force) {
        finish_accepted(op, NULL, now);
        return;
    }
    outdated = list_outdated(op, now);
    if (json_array_size(outdated) == 0 || timed_out) {
        finish_accepted(op, outdated, now);
    }
    json_decref(outdated);
}

static void
tick_op(struct op *op, uint64_t now)
{
    if (op->store_pending || now < op->next_ms) {
        return;
    }
    if (op->state == OP_PROPAGATING) {
        op->next_ms = now + (op->wait_in_force ? REV_REQUEST_INTERVAL_MS : 10);
        tick_propagation(op, now);
        return;
    }
    if (now - op->phase_start_ms >= VERIFY_TIMEOUT_MS) {
        finish_unverified(op);
        return;
    }
    verify_change(op);
}

void
ops_tick(struct daemon *d, uint64_t now)
{
    struct op *op = d->ops;

    while (op != NULL) {
        struct op *next = op->next;

        tick_op(op, now);
        op = next;
    }
}

void
ops_caller_left(struct daemon *d, struct web_req *r)
{
    struct op *op;

    for (op = d->ops; op != NULL; op = op->next) {
        if (op->r == r) {
            /* The change continues: it may be written already. */
            op->r = NULL;
        }
    }
}

/* --- starting a change --- */

static const char *
header_or_default(
    const struct web_req *r, const char *name, const char *fallback)
{
    const char *v = web_header(r, name);

    return v != NULL && v[0] != '\0' ? v : fallback;
}

static char *
format_audit_entry(const struct op *op, const struct web_req *r,
    const char *before, const char *after)
{
    json_t *o =
        json_pack("{s:s, s:s, s:s, s:s, s:s?, s:s?, s:I}", "id", op->id, "who",
            header_or_default(r, "Dunlinweir-Who", "unknown"), "why",
            header_or_default(r, "Dunlinweir-Why", ""), "target", op->target,
            "before", before, "after", after, "ms", (json_int_t)proc_wall());
    char *text;

    if (o == NULL) {
        return str_dup(STR("{}"));
    }
    text = json_dumps(o, JSON_COMPACT);
    json_decref(o);
    return text;
}

/* The key's revision that the change is based on: the If-Match header, or else
 * what this entry holds; 0 if the key does not exist. */
static uint64_t
expected_mod(const struct web_req *r, const struct view_kv *kv)
{
    const char *h = web_header(r, "If-Match");

    if (h != NULL) {
        return strtoull(h, NULL, 10);
    }
    return kv != NULL ? kv->mod : 0;
}

static void
start_change(
    struct daemon *d, struct web_req *r, const char *key, const char *value)
{
    const struct view_kv *kv = view_kv(&d->node.view, key);
    struct op *op = new_op(d, r);
    char audit_key[TEXT_MAX];
    char *entry;

    op->phase_start_ms = proc_now();
    op->wait_in_force = web_query(r, "wait") != NULL;
    snprintf(op->id, sizeof(op->id), "%016" PRIx64,
        mix64(d->node.self ^ proc_wall(), ++d->next_request));
    str_copy(
        op->target, sizeof(op->target), str_of(key + strlen(VIEW_PREFIX)));
    snprintf(audit_key, sizeof(audit_key), VIEW_AUDIT "%s", op->id);
    op->txn = txn_new();
    txn_compare(op->txn, key, expected_mod(r, kv));
    txn_compare(op->txn, audit_key, 0);
    txn_put(op->txn, key, value);
    entry = format_audit_entry(op, r, kv != NULL ? kv->value : NULL, value);
    txn_put(op->txn, audit_key, entry);
    free(entry);
    write_change(op);
}

/* A change needs the store and a current state of this entry; reply with the
 * problem if either is missing. */
static bool
check_can_change(struct daemon *d, struct web_req *r)
{
    if (d->node.sync.store_down || !node_fresh(&d->node, proc_now())) {
        web_problem(r, 503, "store_down",
            "the platform's store cannot be reached or this entry's state "
            "is not current; nothing was changed",
            1);
        return false;
    }
    return true;
}

/* --- contracts --- */

/* Fill out with each domain's name and its agents' slots; return the number of
 * domains. */
static size_t
count_domain_slots(const struct view *v, struct ct_domain *out, size_t max)
{
    const char *names[SYNC_DOMAINS_MAX];
    size_t total = view_list_domains(v, names, SYNC_DOMAINS_MAX);
    size_t n = 0;

    for (size_t i = 0; i < total && n < max; i++) {
        const struct view_member *m;

        str_copy(out[n].name, sizeof(out[n].name), str_of(names[i]));
        out[n].slots = 0;
        for (m = v->members; m != NULL; m = m->hh.next) {
            if (m->role == VIEW_AGENT && strcmp(m->domain, names[i]) == 0) {
                out[n].slots += m->slots;
            }
        }
        n++;
    }
    return n;
}

/* Guaranteed slots of all customers, if c replaces its customer's contract. */
static uint64_t
total_guaranteed(const struct view *v, const struct contract *c)
{
    const struct view_contract *vc;
    uint64_t sum = c->guaranteed;

    for (vc = v->contracts; vc != NULL; vc = vc->hh.next) {
        if (strcmp(vc->c.customer, c->customer) != 0) {
            sum += vc->c.guaranteed;
        }
    }
    return sum;
}

/* Whether all guarantees can still be kept with c, or the operator overrides
 * the check; reply with the problem otherwise. */
static bool
check_guarantees(struct daemon *d, struct web_req *r, const struct contract *c)
{
    struct ct_domain ds[SYNC_DOMAINS_MAX];
    size_t n = count_domain_slots(&d->node.view, ds, SYNC_DOMAINS_MAX);
    struct err e = {""};

    if (c->guaranteed == 0 || web_query(r, "override") != NULL ||
        ct_guarantees_fit(total_guaranteed(&d->node.view, c), ds, n, &e) ==
            CT_OK) {
        return true;
    }
    web_problem(r, 409, "not_keepable", e.msg, 0);
    return false;
}

static void
put_contract(struct daemon *d, struct web_req *r, const char *name)
{
    struct contract c;
    struct err e = {""};
    struct buf key = {0};
    struct buf value = {0};

    if (ct_parse(&c, web_body(r), &e) != CT_OK) {
        web_problem(r, 400, "bad_contract", e.msg, 0);
        return;
    }
    if (strcmp(c.customer, name) != 0) {
        web_problem(r, 400, "bad_contract",
            "contract field 'customer' differs from the name in the path", 0);
        return;
    }
    if (!check_can_change(d, r) || !check_guarantees(d, r, &c)) {
        return;
    }
    buf_addf(&key, VIEW_CONTRACT "%s", name);
    ct_format(&c, &value);
    start_change(d, r, key.p, value.p);
    buf_free(&key);
    buf_free(&value);
}

static json_t *
contract_json(const struct view_contract *vc)
{
    struct buf b = {0};
    json_t *o;

    ct_format(&vc->c, &b);
    o = json_loadb(b.p, b.n, 0, NULL);
    json_object_set_new(o, "mod", json_integer((json_int_t)vc->mod));
    buf_free(&b);
    return o;
}

static void
list_contracts(struct daemon *d, struct web_req *r)
{
    const struct view_contract *vc;
    json_t *list = json_array();

    for (vc = d->node.view.contracts; vc != NULL; vc = vc->hh.next) {
        json_array_append_new(list, contract_json(vc));
    }
    reply_json(r, 200, list);
}

static void
handle_contract(struct daemon *d, struct web_req *r, const char *name)
{
    const struct view_contract *vc =
        view_contract(&d->node.view, str_of(name));
    struct buf key = {0};

    if (strcmp(web_method(r), "PUT") == 0) {
        put_contract(d, r, name);
        return;
    }
    if (vc == NULL) {
        web_problem(r, 404, "no_such_contract", name, 0);
        return;
    }
    if (strcmp(web_method(r), "GET") == 0) {
        reply_json(r, 200, contract_json(vc));
        return;
    }
    if (strcmp(web_method(r), "DELETE") != 0) {
        web_problem(r, 405, "bad_method", "want GET, PUT or DELETE", 0);
        return;
    }
    if (check_can_change(d, r)) {
        buf_addf(&key, VIEW_CONTRACT "%s", name);
        start_change(d, r, key.p, NULL);
        buf_free(&key);
    }
}

/* --- failure domains --- */

static json_t *
domain_json(const struct view *v, const char *name)
{
    const struct view_member *m;
    int agents = 0;
    int slots = 0;

    for (m = v->members; m != NULL; m = m->hh.next) {
        if (m->role == VIEW_AGENT && strcmp(m->domain, name) == 0) {
            agents++;
            slots += (int)m->slots;
        }
    }
    return json_pack("{s:s, s:b, s:i, s:i}", "name", name, "in",
        view_domain_in_service(v, name), "agents", agents, "slots", slots);
}

static void
list_domains(struct daemon *d, struct web_req *r)
{
    const char *names[SYNC_DOMAINS_MAX];
    size_t n = view_list_domains(&d->node.view, names, SYNC_DOMAINS_MAX);
    json_t *list = json_array();

    for (size_t i = 0; i < n; i++) {
        json_array_append_new(list, domain_json(&d->node.view, names[i]));
    }
    reply_json(r, 200, list);
}

static bool
domain_exists(const struct view *v, const char *name)
{
    const char *names[SYNC_DOMAINS_MAX];
    size_t n = view_list_domains(v, names, SYNC_DOMAINS_MAX);

    for (size_t i = 0; i < n; i++) {
        if (strcmp(names[i], name) == 0) {
            return true;
        }
    }
    return false;
}

static void
put_domain(struct daemon *d, struct web_req *r, const char *name)
{
    struct str body = web_body(r);
    json_t *o = json_loadb(body.p, body.n, 0, NULL);
    json_t *in = json_object_get(o, "in");
    struct buf key = {0};

    if (!json_is_boolean(in)) {
        web_problem(r, 400, "bad_domain",
            "want {\"in\":true} or "
            "{\"in\":false}",
            0);
    }
    else if (check_can_change(d, r)) {
        buf_addf(&key, VIEW_DOMAIN "%s", name);
        start_change(d, r, key.p,
            json_is_true(in) ? "{\"in\":true}" : "{\"in\":false}");
        buf_free(&key);
    }
    json_decref(o);
}

static void
handle_domain(struct daemon *d, struct web_req *r, const char *name)
{
    if (!domain_exists(&d->node.view, name)) {
        web_problem(r, 404, "no_such_domain", name, 0);
    }
    else if (strcmp(web_method(r), "PUT") == 0) {
        put_domain(d, r, name);
    }
    else if (strcmp(web_method(r), "GET") == 0) {
        reply_json(r, 200, domain_json(&d->node.view, name));
    }
    else {
        web_problem(r, 405, "bad_method", "want GET or PUT", 0);
    }
}

/* --- status and audit --- */

static const char *const member_state_names[] = {
    [DW_M_ALIVE] = "alive",
    [DW_M_SUSPECT] = "suspect",
    [DW_M_DEAD] = "dead",
};

static json_t *
member_json(struct daemon *d, const struct view_member *m)
{
    const struct mbr_peer *p = mbr_peer(&d->node.mbr, m->id);
    const dw_load *load = p != NULL ? &p->load : &d->node.mbr.load;
    size_t parts = 0;
    char id[20];

    snprintf(id, sizeof(id), "%016" PRIx64, m->id);
    for (size_t i = 0; i < VIEW_PARTS; i++) {
        parts += d->node.view.parts[i].owner == m->id;
    }
    return json_pack("{s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:s,s:b,s:i,s:i,s:i,s:i}",
        "id", id, "name", m->name, "role",
        m->role == VIEW_AGENT ? "agent" : "entry", "domain", m->domain,
        "address", m->addr, "port", (int)m->port, "http", (int)m->http,
        "state", member_state_names[mbr_state(&d->node.mbr, m->id)], "leaving",
        m->leaving, "partitions", (int)parts, "slots", (int)m->slots, "busy",
        (int)load->busy, "queued", (int)load->queued);
}

static void
get_status(struct daemon *d, struct web_req *r)
{
    struct node *n = &d->node;
    const struct view_member *m;
    json_t *members = json_array();
    uint64_t now = proc_now();

    for (m = n->view.members; m != NULL; m = m->hh.next) {
        json_array_append_new(members, member_json(d, m));
    }
    reply_json(r, 200,
        json_pack("{s:s,s:I,s:I,s:b,s:b,s:I,s:I,s:o}", "name", n->cfg.me.name,
            "revision", (json_int_t)n->view.rev, "age_ms",
            (json_int_t)sync_age(&n->sync, now), "fresh", node_fresh(n, now),
            "store_down", n->sync.store_down, "majority",
            (json_int_t)sync_majority_rev(&n->sync), "epoch",
            (json_int_t)n->view.map_epoch, "members", members));
}

/* A pending read of the audit entries. */
struct audit_query {
    struct daemon *d;
    struct op *op; /* holds the request, so that its caller may disconnect */
    size_t limit;  /* most entries in the reply */
};

static void
on_audit(void *ctx, enum store_status st, const dw_state *all)
{
    struct audit_query *q = ctx;
    struct op *op = q->op;
    json_t *list = json_array();

    if (st != STORE_OK) {
        json_decref(list);
        finish_with_problem(
            op, 503, "store_down", "the platform's store cannot be reached");
        free(q);
        return;
    }
    qsort(all->kvs.kvs_val, all->kvs.kvs_len, sizeof(dw_kv), newest_first);
    for (u_int i = 0; i < all->kvs.kvs_len && i < q->limit; i++) {
        const dw_kv *kv = &all->kvs.kvs_val[i];
        json_t *o = json_loadb(
            kv->value.dw_value_val, kv->value.dw_value_len, 0, NULL);

        json_object_set_new(o, "revision", json_integer((json_int_t)kv->mod));
        json_array_append_new(list, o);
    }
    if (op->r != NULL) {
        struct web_req *r = op->r;

        web_set_ctx(r, NULL);
        op->r = NULL;
        reply_json(r, 200, list);
    }
    else {
        json_decref(list);
    }
    free_op(op);
    free(q);
}

static void
get_audit(struct daemon *d, struct web_req *r)
{
    struct audit_query *q = dw_zero(1, sizeof(*q));
    struct op *op = new_op(d, r);
    const char *limit = web_query(r, "limit");

    op->store_pending = true;
    str_copy(op->target, sizeof(op->target), STR("audit"));
    q->d = d;
    q->op = op;
    q->limit = limit != NULL ? strtoul(limit, NULL, 10) : 50;
    d->store->ops->read(d->store, VIEW_AUDIT, on_audit, q);
}

static void
get_trail(struct daemon *d, struct web_req *r, const char *rest)
{
    const char *slash = strchr(rest, '/');
    struct buf b = {0};

    if (slash == NULL) {
        web_problem(r, 400, "bad_path", "want /v1/trail/CUSTOMER/KEY", 0);
        return;
    }
    trail_format(d->trail, str_make(rest, (size_t)(slash - rest)),
        str_of(slash + 1), &b);
    web_reply(r, 200, "application/json", buf_str(&b), 0);
    buf_free(&b);
}

/* --- routing --- */

typedef void (*collection_fn)(struct daemon *d, struct web_req *r);
typedef void (*item_fn)(struct daemon *d, struct web_req *r, const char *name);

static const struct {
    const char *path;
    collection_fn list;
    item_fn item;
} routes[] = {
    {CONTRACTS_PATH, list_contracts, handle_contract},
    {DOMAINS_PATH, list_domains, handle_domain},
    {"/v1/status", get_status, NULL},
    {"/v1/audit", get_audit, NULL},
    {"/v1/trail", NULL, get_trail},
};

#define ROUTE_COUNT (sizeof(routes) / sizeof(routes[0]))

/* Index of the route of path, or ROUTE_COUNT; *rest is what follows the
 * route's path. */
static size_t
find_route(const char *path, const char **rest)
{
    for (size_t i = 0; i < ROUTE_COUNT; i++) {
        size_t n = strlen(routes[i].path);

        if (strncmp(path, routes[i].path, n) == 0 &&
            (path[n] == '\0' || path[n] == '/')) {
            *rest = path + n;
            return i;
        }
    }
    return ROUTE_COUNT;
}

bool
ops_is_path(const char *path)
{
    const char *rest;

    return find_route(path, &rest) < ROUTE_COUNT;
}

static bool
is_operator(const struct daemon *d, const struct web_req *r)
{
    const char *h = web_header(r, "Authorization");
    const char *token = d->conf.operator_token;

    return token[0] != '\0' && h != NULL && strncmp(h, "Bearer ", 7) == 0 &&
           strcmp(h + 7, token) == 0;
}

void
ops_handle(struct daemon *d, struct web_req *r)
{
    const char *rest = "";
    size_t i = find_route(web_path(r), &rest);

    if (!is_operator(d, r)) {
        web_problem(r, 401, "bad_credentials",
            "want the bearer token of the operators", 0);
    }
    else if (rest[0] == '/' && routes[i].item != NULL) {
        if (i < 2 && !ct_name_valid(str_of(rest + 1))) {
            web_problem(
                r, 400, "bad_name", "want 1 to 63 of a-z 0-9 '-' '_' '.'", 0);
            return;
        }
        routes[i].item(d, r, rest + 1);
    }
    else if (rest[0] == '\0' && routes[i].list != NULL) {
        routes[i].list(d, r);
    }
    else {
        web_problem(r, 404, "no_such_path", web_path(r), 0);
    }
}
