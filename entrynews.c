/* What the store and other entries tell an entry on the users' platform: what
 * operators want, who is there, what jobs take. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "entryd-int.h"
#include "log.h"
#include "platform/wire.h"
#include "proc.h"

/* ms a watch of the operators' part waits: a connection may fall silent for
 * good, and changes must be in force within two seconds. */
#define WATCH_OPERATORS_MS 800U
/* ms a watch of the members waits; sessions show who lives, so this only
 * delays newcomers. */
#define WATCH_MEMBERS_MS 2000U

/* --- what operators want --- */

#define CONFIG_KEY "op/config"
#define EVACUATE_PREFIX "op/evacuate/"

static void
take_config(struct entry *e, struct str text)
{
    struct rt_table fresh;
    struct err why = {""};
    size_t left_out;
    uint64_t version;

    if (wire_read_config(&fresh, text, &left_out, &why) != WIRE_OK) {
        log_event(LOG_LEVEL_ERROR, "config_refused", "error=\"%s\"", why.msg);
        return;
    }
    if (left_out > 0) {
        log_event(LOG_LEVEL_WARN, "config_routes_left_out",
            "count=%zu last=\"%s\"", left_out, why.msg);
    }
    version = fresh.version;
    if (rt_replace(&e->routes, &fresh)) {
        log_event(LOG_LEVEL_INFO, "config_in_force",
            "version=%" PRIu64 " routes=%zu", version, e->routes.count);
    }
}

static void
tell_withdrawn(struct entry *e)
{
    fl_set_withdrawn(&e->coord.fleet, (const char *const *)e->news.withdrawn,
        e->news.withdrawn_count);
}

static void
operators_item(struct entry *e, const struct kv_item *it)
{
    const char *domain = it->key + sizeof(EVACUATE_PREFIX) - 1;

    if (strcmp(it->key, CONFIG_KEY) == 0 && !it->deleted) {
        ost_set_config(&e->news, it->value, it->rev);
        take_config(e, it->value);
    }
    else if (strncmp(it->key, EVACUATE_PREFIX, sizeof(EVACUATE_PREFIX) - 1) ==
             0) {
        ost_set_domain(&e->news, domain, !it->deleted, it->rev);
        log_event(LOG_LEVEL_INFO, it->deleted ? "domain_back" : "domain_out",
            "domain=%s rev=%" PRIu64, domain, it->rev);
    }
}

static void
operators_whole(void *ctx, const struct kv_item *items, size_t n, uint64_t rev)
{
    struct entry *e = ctx;

    ost_clear_domains(&e->news);
    for (size_t i = 0; i < n; i++) {
        operators_item(e, &items[i]);
    }
    ost_set_known_rev(&e->news, rev);
    tell_withdrawn(e);
}

static void
operators_change(void *ctx, const struct kv_item *it)
{
    struct entry *e = ctx;

    operators_item(e, it);
    ost_set_known_rev(&e->news, it->rev);
    tell_withdrawn(e);
}

static void
note_store(bool answers, const char *message)
{
    log_event(answers ? LOG_LEVEL_INFO : LOG_LEVEL_WARN,
        answers ? "store_regained" : "store_lost", "message=\"%s\"", message);
}

static void
operators_state(void *ctx, bool answers, const char *message)
{
    struct entry *e = ctx;

    ost_set_store_state(&e->news, proc_now(), answers);
    note_store(answers, message);
}

/* Entries other than this one, in the order of their ids after ours, so that
 * not all ask the same. */
#define ASKED_MAX 2U

void
en_ask_others(struct entry *e)
{
    struct sv_peer *p;
    uint32_t asked = 0;
    dw_msg m;

    ost_make_request(&e->news, &m);
    for (p = e->s->peers; p != NULL && asked < ASKED_MAX; p = p->hh.next) {
        if (!p->is_agent && p->entered && p->id != e->s->id &&
            p->id != e->asked_last) {
            link_send(e->s->link, p->id, &m);
            e->asked_last = p->id;
            asked++;
        }
    }
}

void
en_take_news(struct entry *e, uint64_t from, const dw_news *told)
{
    dw_msg answer;

    if (told->question) {
        ost_set_known_rev(
            &e->news, e->news.store_up ? follow_rev(e->operators) : 0);
        if (ost_make_reply(&e->news, told, &answer)) {
            link_send(e->s->link, from, &answer);
            xdr_free((xdrproc_t)xdr_dw_msg, &answer);
        }
    }
    else if (ost_apply_reply(&e->news, told)) {
        log_event(LOG_LEVEL_INFO, "news_from_entry",
            "entry=%016" PRIx64 " as_of=%" PRIu64, from,
            (uint64_t)told->as_of);
        take_config(e, buf_str(&e->news.config));
        tell_withdrawn(e);
    }
}

static const struct follow_events operators_events = {
    operators_whole, operators_change, operators_state};

/* --- members --- */

static void
find_rank(struct entry *e)
{
    const struct view_member *me = &e->s->conf->node.me;
    struct rk_rank place =
        rk_rank_of(&e->ranks, proc_now(), me->name, me->domain);

    fl_set_rank(&e->coord.fleet, place.local, place.total);
}

static void
member_in(struct entry *e, const struct sv_peer *told)
{
    struct sv_peer *p = sv_peer(e->s, told->id, true);
    UT_hash_handle hh = p->hh;
    struct fl_agent *a;

    *p = *told;
    p->hh = hh;
    if (!p->is_agent) {
        rk_mark_present(&e->ranks, p->name, p->domain);
        find_rank(e);
        rl_add_entry(&e->relay, p->id);
        return;
    }
    a = fl_add(&e->coord.fleet, p->id, p->name, p->domain, p->service);
    a->member = true;
}

/* --- what jobs take, kept for whoever starts next --- */

#define TIMES_PREFIX SV_PREFIX "times/"

static void
on_times_kept(void *ctx, const struct kv_answer *a)
{
    (void)ctx;
    if (a->status != KV_OK) {
        log_event(
            LOG_LEVEL_WARN, "times_not_kept", "error=\"%s\"", a->message);
    }
}

static void
on_times_lease(void *ctx, const struct kv_answer *a)
{
    struct entry *e = ctx;
    struct buf key = {0};
    struct buf value = {0};

    if (a->status != KV_OK || a->lease == 0) {
        on_times_kept(ctx, a);
        return;
    }
    buf_addf(&key, TIMES_PREFIX "%s", e->s->conf->node.me.name);
    es_save(&e->coord.run_times, &value);
    if (value.n > 0) {
        kv_put(e->s->kv, key.p, buf_str(&value), a->lease, on_times_kept, e);
    }
    buf_free(&key);
    buf_free(&value);
}

void
en_keep_times(struct entry *e, uint64_t now)
{
    if (es_save_due(&e->coord.run_times, now)) {
        kv_lease(e->s->kv, ES_SAVED_TTL_MS, on_times_lease, e);
    }
}

static void
times_change(struct entry *e, const struct kv_item *it)
{
    if (!it->deleted && !es_load(&e->coord.run_times, it->value)) {
        log_event(LOG_LEVEL_WARN, "times_unreadable", "key=%s", it->key);
    }
}

/* A key that vanished says little: a session shows better who lives. */
static void
member_out(struct entry *e, const char *key)
{
    const char *name = key + sizeof(SV_PREFIX) - 1;
    struct sv_peer *p;
    struct sv_peer *tmp;

    HASH_ITER (hh, e->s->peers, p, tmp) {
        struct fl_agent *a = fl_find(&e->coord.fleet, p->id);

        if (strcmp(p->name, name) != 0) {
            continue;
        }
        p->entered = false;
        if (!p->is_agent) {
            rl_remove_entry(&e->relay, p->id);
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
    struct sv_peer told;

    if (strncmp(it->key, SV_PREFIX, sizeof(SV_PREFIX) - 1) != 0) {
        return;
    }
    if (strncmp(it->key, TIMES_PREFIX, sizeof(TIMES_PREFIX) - 1) == 0) {
        times_change(e, it);
        return;
    }
    member_out(e, it->key);
    if (it->deleted) {
        return;
    }
    if (!sv_read_peer(&told, it->key, it->value)) {
        log_event(LOG_LEVEL_WARN, "member_unreadable", "key=%s", it->key);
        return;
    }
    member_in(e, &told);
    tell_withdrawn(e);
}

static void
members_whole(void *ctx, const struct kv_item *items, size_t n, uint64_t rev)
{
    struct entry *e = ctx;
    struct fl_agent *a;

    (void)rev;
    for (a = e->coord.fleet.agents; a != NULL; a = a->hh.next) {
        a->member = false;
    }
    rk_mark_absent(&e->ranks, proc_now(), NULL);
    for (size_t i = 0; i < n; i++) {
        members_change(e, &items[i]);
    }
}

static void
members_state(void *ctx, bool answers, const char *message)
{
    (void)ctx;
    note_store(answers, message);
}

static const struct follow_events members_events = {
    members_whole, members_change, members_state};

void
en_open(struct entry *e)
{
    e->news.store_up = true;
    e->operators = follow_new(
        e->s->loop, e->s->kv, "op/", WATCH_OPERATORS_MS, &operators_events, e);
    e->members = follow_new(
        e->s->loop, e->s->kv, SV_PREFIX, WATCH_MEMBERS_MS, &members_events, e);
}
