/* State that the entry daemon reads from the platform's store: operator state
 * (also from other entries while the store is unreachable), members, and run
 * time estimates. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "entryd-int.h"
#include "log.h"
#include "num.h"
#include "platform/wire.h"
#include "proc.h"

/* ms that a watch of the operators' keys waits.  A connection may silently
 * stop working, and changes must be in force within two seconds. */
#define WATCH_OPERATORS_MS 800U
/* ms that a watch of the members waits.  Sessions detect failed members, so
 * this only delays new ones. */
#define WATCH_MEMBERS_MS 2000U

/* --- operator state --- */

#define CONFIG_KEY "op/config"

/* The name is cut off after SH_NAME_MAX - 1 bytes. */
static bool
has_route(void *ctx, const char *name)
{
    const struct rt_table *t = ctx;

    for (size_t i = 0; i < t->count; i++) {
        if (strncmp(t->routes[i].name, name, SH_NAME_MAX - 1) == 0) {
            return true;
        }
    }
    return false;
}

/* The operators' limit holds below that of the settings, which protects the
 * process. */
static void
apply_limits(struct entry *e)
{
    uint32_t max = e->s->conf->callers.body_max;
    uint32_t operators = e->routes.body_max;

    web_set_body_max(
        e->callers, operators != 0 ? (uint32_t)num_min(operators, max) : max);
}

static void
apply_config(struct entry *e, struct str text)
{
    struct rt_table loaded;
    struct err why = {""};
    size_t left_out;
    uint64_t version;

    if (wire_read_config(&loaded, text, &left_out, &why) != WIRE_OK) {
        log_event(LOG_LEVEL_ERROR, "config_refused", "error=\"%s\"", why.msg);
        return;
    }
    if (left_out > 0) {
        log_event(LOG_LEVEL_WARN, "config_routes_left_out",
            "count=%zu last=\"%s\"", left_out, why.msg);
    }
    version = loaded.version;
    if (rt_replace(&e->routes, &loaded)) {
        co_remove_routes(&e->coord, has_route, &e->routes);
        apply_limits(e);
        log_event(LOG_LEVEL_INFO, "config_in_force",
            "version=%" PRIu64 " routes=%zu", version, e->routes.count);
    }
}

static void
apply_withdrawn(struct entry *e)
{
    fl_set_withdrawn(&e->coord.fleet,
        (const char *const *)e->opstate.withdrawn, e->opstate.withdrawn_count);
}

static void
operators_item(struct entry *e, const struct kv_item *it)
{
    const char *domain = it->key + sizeof(SV_EVACUATE_PREFIX) - 1;

    if (strcmp(it->key, CONFIG_KEY) == 0 && !it->deleted) {
        ost_set_config(&e->opstate, it->value, it->rev);
        apply_config(e, it->value);
    }
    else if (strncmp(it->key, SV_EVACUATE_PREFIX,
                 sizeof(SV_EVACUATE_PREFIX) - 1) == 0) {
        ost_set_domain(&e->opstate, domain, !it->deleted, it->rev);
        log_event(LOG_LEVEL_INFO, it->deleted ? "domain_back" : "domain_out",
            "domain=%s rev=%" PRIu64, domain, it->rev);
    }
}

static void
operators_snapshot(
    void *ctx, const struct kv_item *items, size_t n, uint64_t rev)
{
    struct entry *e = ctx;

    ost_clear_domains(&e->opstate);
    for (size_t i = 0; i < n; i++) {
        operators_item(e, &items[i]);
    }
    ost_set_known_rev(&e->opstate, rev);
    apply_withdrawn(e);
}

static void
operators_change(void *ctx, const struct kv_item *it)
{
    struct entry *e = ctx;

    operators_item(e, it);
    ost_set_known_rev(&e->opstate, it->rev);
    apply_withdrawn(e);
}

static void
log_store(bool available, const char *message)
{
    log_event(available ? LOG_LEVEL_INFO : LOG_LEVEL_WARN,
        available ? "store_regained" : "store_lost", "message=\"%s\"",
        message);
}

static void
operators_confirmed(void *ctx)
{
    struct entry *e = ctx;

    e->opstate.confirmed_ms = proc_now();
    ost_set_known_rev(&e->opstate, follow_rev(e->operators));
}

static void
operators_availability(void *ctx, bool available, const char *message)
{
    struct entry *e = ctx;

    ost_set_store_state(&e->opstate, proc_now(), available);
    log_store(available, message);
}

/* Entries queried at a time, in the order of the peer table.  The entry that
 * was sent the latest query is skipped. */
#define QUERIES_MAX 2U

void
en_query_peers(struct entry *e)
{
    struct sv_peer *p;
    uint32_t queries = 0;
    dw_msg m;

    ost_make_request(&e->opstate, &m);
    for (p = e->s->peers; p != NULL && queries < QUERIES_MAX; p = p->hh.next) {
        if (!p->is_agent && p->registered && p->id != e->s->id &&
            p->id != e->last_queried) {
            link_send(e->s->link, p->id, &m);
            e->last_queried = p->id;
            queries++;
        }
    }
}

void
en_operator_state(struct entry *e, uint64_t from, const dw_news *msg)
{
    dw_msg answer;

    if (msg->question) {
        ost_set_known_rev(
            &e->opstate, e->opstate.store_up ? follow_rev(e->operators) : 0);
        if (ost_make_reply(&e->opstate, msg, &answer)) {
            link_send(e->s->link, from, &answer);
            xdr_free((xdrproc_t)xdr_dw_msg, &answer);
        }
    }
    else if (ost_apply_reply(&e->opstate, msg)) {
        log_event(LOG_LEVEL_INFO, "news_from_entry",
            "entry=%016" PRIx64 " as_of=%" PRIu64, from, (uint64_t)msg->as_of);
        apply_config(e, buf_str(&e->opstate.config));
        apply_withdrawn(e);
    }
}

static const struct follow_events operators_events = {operators_snapshot,
    operators_change, operators_confirmed, operators_availability};

/* --- withdrawn domains, for agents --- */

static void
tell_agent(struct entry *e, uint64_t now, const struct fl_agent *a)
{
    dw_msg m;

    memset(&m, 0, sizeof(m));
    m.type = DW_WITHDRAWN;
    m.dw_msg_u.withdrawn.as_of = e->opstate.known_rev;
    m.dw_msg_u.withdrawn.age_ms =
        (u_int)num_min(now - e->opstate.confirmed_ms, UINT32_MAX);
    m.dw_msg_u.withdrawn.withdrawn = a->withdrawn;
    link_send(e->s->link, a->id, &m);
}

void
en_tell_agents(struct entry *e, uint64_t now)
{
    struct fl_agent *a;

    if (e->opstate.confirmed_ms == 0) {
        return;
    }
    for (a = e->coord.fleet.agents; a != NULL; a = a->hh.next) {
        if (a->session_open && wd_tell_due(&a->told, now, a->sess.number,
                                   a->withdrawn, e->opstate.confirmed_ms)) {
            tell_agent(e, now, a);
        }
    }
}

/* --- members --- */

static void
update_rank(struct entry *e)
{
    const struct view_member *me = &e->s->conf->node.me;
    struct rk_rank rank =
        rk_rank_of(&e->ranks, proc_now(), me->name, me->domain);

    fl_set_rank(&e->coord.fleet, rank.local, rank.total);
}

static void
add_member(struct entry *e, const struct sv_peer *peer)
{
    struct sv_peer *p = sv_peer(e->s, peer->id, true);
    UT_hash_handle hh = p->hh;
    struct fl_agent *a;

    *p = *peer;
    p->hh = hh;
    if (!p->is_agent) {
        rk_mark_present(&e->ranks, p->name, p->domain);
        update_rank(e);
        rl_add_entry(&e->relay, p->id);
        cl_entry_added(&e->claims);
        if (p->id != e->s->id) {
            tb_add_entry(&e->tombs, p->id);
            cu_add_entry(&e->catchup, p->id);
        }
        return;
    }
    a = fl_add(&e->coord.fleet, p->id, p->name, p->domain, p->service);
    a->member = true;
}

/* --- run time estimates, saved for entries that start later --- */

#define ESTIMATES_PREFIX SV_KEY_PREFIX "times/"

static void
on_estimates_saved(void *ctx, const struct kv_response *r)
{
    (void)ctx;
    if (r->status != KV_OK) {
        log_event(
            LOG_LEVEL_WARN, "times_not_kept", "error=\"%s\"", r->message);
    }
}

static void
on_estimates_lease(void *ctx, const struct kv_response *r)
{
    struct entry *e = ctx;
    struct buf key = {0};
    struct buf value = {0};

    if (r->status != KV_OK || r->lease == 0) {
        on_estimates_saved(ctx, r);
        return;
    }
    buf_addf(&key, ESTIMATES_PREFIX "%s", e->s->conf->node.me.name);
    es_save(&e->coord.run_times, &value);
    if (value.n > 0) {
        kv_put(
            e->s->kv, key.p, buf_str(&value), r->lease, on_estimates_saved, e);
    }
    buf_free(&key);
    buf_free(&value);
}

void
en_save_estimates(struct entry *e, uint64_t now)
{
    if (es_save_due(&e->coord.run_times, now)) {
        kv_lease_grant(e->s->kv, ES_SAVED_TTL_MS, on_estimates_lease, e);
    }
}

static void
load_estimates(struct entry *e, const struct kv_item *it)
{
    if (!it->deleted && !es_load(&e->coord.run_times, it->value)) {
        log_event(LOG_LEVEL_WARN, "times_unreadable", "key=%s", it->key);
    }
}

/* A missing key does not mean that the process is down; sessions show that. */
static void
remove_member(struct entry *e, const char *key)
{
    const char *name = key + sizeof(SV_KEY_PREFIX) - 1;
    struct sv_peer *p;
    struct sv_peer *tmp;

    HASH_ITER (hh, e->s->peers, p, tmp) {
        struct fl_agent *a = fl_find(&e->coord.fleet, p->id);

        if (strcmp(p->name, name) != 0) {
            continue;
        }
        if (p->registered) {
            p->registered = false;
            p->absent_ms = proc_now();
        }
        if (!p->is_agent) {
            rl_remove_entry(&e->relay, p->id);
            tb_entry_absent(&e->tombs, proc_now(), p->id);
        }
        if (a != NULL) {
            a->member = false;
        }
    }
    rk_mark_absent(&e->ranks, proc_now(), name);
}

static void
members_change(void *ctx, const struct kv_item *it)
{
    struct entry *e = ctx;
    struct sv_peer peer;

    if (strncmp(it->key, SV_KEY_PREFIX, sizeof(SV_KEY_PREFIX) - 1) != 0) {
        return;
    }
    if (strncmp(it->key, ESTIMATES_PREFIX, sizeof(ESTIMATES_PREFIX) - 1) ==
        0) {
        load_estimates(e, it);
        return;
    }
    remove_member(e, it->key);
    if (it->deleted) {
        return;
    }
    if (!sv_read_peer(&peer, it->key, it->value)) {
        log_event(LOG_LEVEL_WARN, "member_unreadable", "key=%s", it->key);
        return;
    }
    add_member(e, &peer);
    apply_withdrawn(e);
}

static void
members_snapshot(
    void *ctx, const struct kv_item *items, size_t n, uint64_t rev)
{
    struct entry *e = ctx;
    struct fl_agent *a;
    const struct sv_peer *p;

    (void)rev;
    for (p = e->s->peers; p != NULL; p = p->hh.next) {
        tb_entry_absent(&e->tombs, proc_now(), p->id);
    }
    for (a = e->coord.fleet.agents; a != NULL; a = a->hh.next) {
        a->member = false;
    }
    rk_mark_absent(&e->ranks, proc_now(), NULL);
    for (size_t i = 0; i < n; i++) {
        members_change(e, &items[i]);
    }
    tb_set_listed(&e->tombs);
    cu_begin(&e->catchup, proc_now());
}

static void
members_availability(void *ctx, bool available, const char *message)
{
    (void)ctx;
    log_store(available, message);
}

static const struct follow_events members_events = {
    members_snapshot, members_change, NULL, members_availability};

void
en_open(struct entry *e)
{
    e->opstate.store_up = true;
    e->operators = follow_new(
        e->s->loop, e->s->kv, "op/", WATCH_OPERATORS_MS, &operators_events, e);
    e->members = follow_new(e->s->loop, e->s->kv, SV_KEY_PREFIX,
        WATCH_MEMBERS_MS, &members_events, e);
}
