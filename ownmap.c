#include "own-int.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Between two searches for dead owners. */
#define CHECK_INTERVAL_MS 50
/* A member whose last message is older does not show that its failure domain
 * can be reached. */
#define HEARD_MAX_AGE_MS 3000

static bool
is_stable(const struct own *o, uint64_t now, const struct view_member *m)
{
    for (size_t i = 0; i < o->agent_count; i++) {
        if (o->agents[i] == m->id) {
            return now - o->agent_seen_ms[i] >= o->cfg.stable_ms;
        }
    }
    return false;
}

bool
own_eligible(const struct own *o, const struct view_member *m)
{
    if (m->role != VIEW_AGENT || m->leaving ||
        !view_domain_in_service(o->view, m->domain)) {
        return false;
    }
    if (m->id == o->self) {
        return !o->leaving;
    }
    return mbr_state(o->mbr, m->id) != DW_M_DEAD;
}

/* Rendezvous hashing: the member with the highest hash for a partition. */
static uint64_t
best_owner(const struct own *o, const struct view_member **ms, size_t n,
    uint32_t partition)
{
    const struct view_member *best = NULL;
    uint64_t best_hash = 0;

    (void)o;
    for (size_t i = 0; i < n; i++) {
        uint64_t hash = mix64(ms[i]->name_hash, partition);

        if (best == NULL || hash > best_hash) {
            best = ms[i];
            best_hash = hash;
        }
    }
    return best != NULL ? best->id : 0;
}

/* Allocates a list of the eligible members; the caller frees it. */
static size_t
eligible_list(const struct own *o, uint64_t now, bool only_stable,
    const struct view_member ***out)
{
    const struct view_member **ms =
        dw_zero(HASH_COUNT(o->view->members) + 1, sizeof(*ms));
    const struct view_member *m;
    size_t n = 0;

    for (m = o->view->members; m != NULL; m = m->hh.next) {
        if (own_eligible(o, m) && (!only_stable || is_stable(o, now, m))) {
            ms[n++] = m;
        }
    }
    *out = ms;
    return n;
}

/* Costs members times partitions, so results are kept while nothing changed.
 */
void
own_refresh_targets(struct own *o, uint64_t now)
{
    const struct view_member **ms;
    size_t all;
    size_t n;

    if (o->target_ms != 0 && o->target_rev == o->view->rev &&
        o->target_version == o->mbr->state_version &&
        (!o->targets_unstable || now - o->target_ms < TARGET_INTERVAL_MS)) {
        return;
    }
    all = eligible_list(o, now, false, &ms);
    free(ms);
    n = eligible_list(o, now, true, &ms);
    o->targets_unstable = n != all;
    for (uint32_t p = 0; p < VIEW_PARTS; p++) {
        o->targets[p] = best_owner(o, ms, n, p);
    }
    free(ms);
    o->target_rev = o->view->rev;
    o->target_version = o->mbr->state_version;
    o->target_ms = now;
}

/* --- writing the map --- */

/* A message arrived from the member itself.  It is not enough that the member
 * is not detected dead: a process that is cut off detects its peers one by
 * one, so some still count as alive. */
static bool
heard_recently(const struct own *o, uint64_t now, uint64_t id)
{
    const struct mbr_peer *p = mbr_peer(o->mbr, id);

    return id == o->self || (p != NULL && p->heard_ms != 0 &&
                                now - p->heard_ms < HEARD_MAX_AGE_MS);
}

static bool
hears_domain_majority(const struct own *o, uint64_t now)
{
    const char *names[SYNC_DOMAINS_MAX];
    size_t total = view_list_domains(o->view, names, SYNC_DOMAINS_MAX);
    size_t heard = 0;

    for (size_t i = 0; i < total; i++) {
        const struct view_member *m;

        for (m = o->view->members; m != NULL; m = m->hh.next) {
            if (strcmp(m->domain, names[i]) == 0 &&
                heard_recently(o, now, m->id)) {
                heard++;
                break;
            }
        }
    }
    return heard >= total / 2 + 1;
}

struct txn *
own_begin_map_txn(struct own *o, struct acts *out)
{
    struct txn *t = act_txn(out, OWN_TXN_MAP);

    txn_compare(t, VIEW_MAP, o->view->have_map ? o->view->map_mod : 0);
    o->txn_pending = true;
    return t;
}

void
own_put_map(const struct own *o, uint64_t now, struct txn *t,
    const struct view_part *parts, uint64_t epoch, const uint64_t *also,
    size_t also_count)
{
    struct view_loss losses[VIEW_LOSSES_MAX];
    struct buf b = {0};
    size_t n = 0;

    for (size_t i = 0; i < also_count && n < VIEW_LOSSES_MAX; i++) {
        losses[n].id = also[i];
        losses[n++].age_ms = 0;
    }
    for (size_t i = 0; i < o->loss_count && n < VIEW_LOSSES_MAX; i++) {
        losses[n].id = o->losses[i].id;
        losses[n++].age_ms = (uint32_t)(now - o->losses[i].removed_ms);
    }
    view_format_map(parts, epoch, losses, n, &b);
    txn_put(t, VIEW_MAP, b.p);
    buf_free(&b);
}

void
own_member_key(char *out, size_t cap, uint64_t id)
{
    struct buf b = {0};

    buf_addf(&b, VIEW_MEMBER "%016" PRIx64, id);
    str_copy(out, cap, buf_str(&b));
    buf_free(&b);
}

/* Adds the removal of dead members to t; writes the ids of the agents among
 * them to agents[] and returns their number. */
static size_t
delete_dead_members(struct own *o, struct txn *t, uint64_t *agents)
{
    const struct view_member *m;
    char key[128];
    size_t n = 0;

    for (m = o->view->members; m != NULL; m = m->hh.next) {
        if (mbr_state(o->mbr, m->id) == DW_M_DEAD) {
            own_member_key(key, sizeof(key), m->id);
            txn_compare(t, key, m->mod);
            txn_put(t, key, NULL);
            if (m->role == VIEW_AGENT && n < VIEW_LOSSES_MAX) {
                agents[n++] = m->id;
            }
        }
    }
    return n;
}

static bool
any_member_dead(const struct own *o)
{
    const struct view_member *m;

    for (m = o->view->members; m != NULL; m = m->hh.next) {
        if (mbr_state(o->mbr, m->id) == DW_M_DEAD) {
            return true;
        }
    }
    return false;
}

/* The owner is not listed or is detected dead. */
static bool
is_orphaned(const struct own *o, uint64_t owner)
{
    return view_member(o->view, owner) == NULL ||
           mbr_state(o->mbr, owner) == DW_M_DEAD;
}

static bool
needs_plan(const struct own *o)
{
    return !o->view->have_map || o->has_orphans || any_member_dead(o);
}

static bool
is_lowest(const struct own *o, const struct view_member **ms, size_t n)
{
    for (size_t i = 0; i < n; i++) {
        if (ms[i]->id < o->self) {
            return false;
        }
    }
    return n > 0;
}

static void
write_plan(struct own *o, uint64_t now, const struct view_member **ms,
    size_t n, struct acts *out)
{
    struct view_part parts[VIEW_PARTS];
    uint64_t dead[VIEW_LOSSES_MAX];
    size_t dead_count;
    uint64_t epoch = o->view->have_map ? o->view->map_epoch + 1 : 1;
    struct txn *t = own_begin_map_txn(o, out);

    memcpy(parts, o->view->parts, sizeof(parts));
    for (uint32_t p = 0; p < VIEW_PARTS; p++) {
        if (o->view->have_map && !is_orphaned(o, parts[p].owner)) {
            continue;
        }
        parts[p].owner = best_owner(o, ms, n, p);
        parts[p].epoch = epoch;
        parts[p].nonce = 0;
    }
    dead_count = delete_dead_members(o, t, dead);
    for (size_t i = 0; i < dead_count; i++) {
        act_event(out, "what=remove_dead agent=%016" PRIx64, dead[i]);
    }
    own_put_map(o, now, t, parts, epoch, dead, dead_count);
    o->stats.plans++;
}

/*
 * A process that is cut off from most others but reaches the store would
 * detect all of them dead and take their partitions.  So only a process that
 * hears from a majority of failure domains writes the map.
 */
void
own_maybe_plan(struct own *o, uint64_t now, struct acts *out)
{
    const struct view_member **ms;
    size_t n;

    if (o->txn_pending || now - o->planned_ms < o->cfg.plan_interval_ms ||
        now - o->checked_ms < CHECK_INTERVAL_MS) {
        return;
    }
    o->checked_ms = now;
    if (view_member(o->view, o->self) == NULL || !needs_plan(o) ||
        (o->view->have_map && !hears_domain_majority(o, now))) {
        return;
    }
    o->planned_ms = now;
    n = eligible_list(o, now, false, &ms);
    if (is_lowest(o, ms, n)) {
        write_plan(o, now, ms, n, out);
    }
    free(ms);
}
