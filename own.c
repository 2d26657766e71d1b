#include "own-int.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define CHUNK_JOBS 64
/* A hand-over received but never confirmed by the map is dropped. */
#define IN_MS 30000
#define SWAP_AGAIN_MS 1000

void
own_init(struct own *o, const struct own_cfg *cfg, uint64_t self,
    const struct view *view, const struct mbr *mbr, struct sync *sync,
    struct jobs *jobs)
{
    memset(o, 0, sizeof(*o));
    o->cfg = *cfg;
    o->self = self;
    o->view = view;
    o->mbr = mbr;
    o->sync = sync;
    o->jobs = jobs;
    o->nonce = (uint32_t)mix64(self, 4) | 1;
    o->counts[OWN_NOT] = VIEW_PARTS;
}

static void
free_round(struct own_round *r)
{
    free(r->parts);
    free(r->waits);
    free(r->gone);
    free(r);
}

void
own_free(struct own *o)
{
    while (o->rounds != NULL) {
        struct own_round *r = o->rounds;

        o->rounds = r->next;
        free_round(r);
    }
    free(o->losses);
    free(o->known);
    free(o->seen_ms);
}

size_t
own_count(const struct own *o, enum own_state state)
{
    return o->counts[state];
}

static void
set_state(struct own *o, uint32_t p, enum own_state state)
{
    o->counts[o->parts[p].state]--;
    o->counts[state]++;
    o->parts[p].state = state;
}

bool
own_empty(const struct own *o)
{
    return own_count(o, OWN_NOT) == VIEW_PARTS;
}

void
own_leave(struct own *o)
{
    o->leaving = true;
    o->target_ms = 0;
    o->gave_ms = 0;
    o->gave_rev = 0;
}

/* --- losses --- */

static void
add_loss(struct own *o, uint64_t now, uint64_t id)
{
    for (size_t i = 0; i < o->loss_count; i++) {
        if (o->losses[i].id == id) {
            return;
        }
    }
    o->losses = dw_grow(o->losses, (o->loss_count + 1) * sizeof(o->losses[0]));
    o->losses[o->loss_count].id = id;
    o->losses[o->loss_count].ms = now;
    o->loss_count++;
}

static void
drop_loss(struct own *o, uint64_t id)
{
    for (size_t i = 0; i < o->loss_count; i++) {
        if (o->losses[i].id == id) {
            o->losses[i] = o->losses[--o->loss_count];
            return;
        }
    }
}

static void
forget_losses(struct own *o, uint64_t now)
{
    size_t n = 0;

    for (size_t i = 0; i < o->loss_count; i++) {
        if (now - o->losses[i].ms < o->cfg.record_ms) {
            o->losses[n++] = o->losses[i];
        }
    }
    o->loss_count = n;
}

static bool
in_list(const uint64_t *list, size_t n, uint64_t id)
{
    for (size_t i = 0; i < n; i++) {
        if (list[i] == id) {
            return true;
        }
    }
    return false;
}

/* Agents that the view no longer lists took their start records along. */
static void
follow_agents(struct own *o, uint64_t now)
{
    const struct view_member *m;
    size_t max = HASH_COUNT(o->view->members) + 1;
    uint64_t *known = dw_zero(max, sizeof(*known));
    uint64_t *seen = dw_zero(max, sizeof(*seen));
    size_t n = 0;

    for (size_t i = 0; i < o->known_count; i++) {
        if (view_member(o->view, o->known[i]) == NULL) {
            add_loss(o, now, o->known[i]);
        }
        else {
            known[n] = o->known[i];
            seen[n++] = o->seen_ms[i];
        }
    }
    for (m = o->view->members; m != NULL; m = m->hh.next) {
        if (m->role == VIEW_AGENT && !in_list(known, n, m->id)) {
            known[n] = m->id;
            seen[n++] = now;
            /* The same process: it still has its records. */
            drop_loss(o, m->id);
        }
    }
    free(o->known);
    free(o->seen_ms);
    o->known = known;
    o->seen_ms = seen;
    o->known_count = n;
}

/* --- taking over --- */

static void
add_gone(struct own_round *r, uint64_t id)
{
    r->gone = dw_grow(r->gone, (r->gone_count + 1) * sizeof(uint64_t));
    r->gone[r->gone_count++] = id;
}

static void
begin_round(struct own *o, uint64_t now, struct own_round *r)
{
    const struct view_member *m;

    r->epoch = o->view->map_epoch;
    r->rev = o->view->rev;
    r->nonce = ++o->nonce;
    r->started_ms = now;
    r->waits = dw_zero(HASH_COUNT(o->view->members) + 1, sizeof(r->waits[0]));
    for (m = o->view->members; m != NULL; m = m->hh.next) {
        if (m->role == VIEW_AGENT) {
            r->waits[r->wait_count++].host = m->id;
        }
    }
    r->host_count = r->wait_count;
    for (size_t i = 0; i < o->loss_count; i++) {
        if (r->mixed || o->losses[i].id != r->prev) {
            add_gone(r, o->losses[i].id);
        }
    }
    r->next = o->rounds;
    o->rounds = r;
    o->stats.takeovers++;
}

static void
send_fences(uint64_t now, struct own_round *r, struct acts *out)
{
    r->sent_ms = now;
    for (size_t i = 0; i < r->wait_count; i++) {
        dw_fence *f =
            &act_send(out, r->waits[i].host, DW_FENCE)->dw_msg_u.fence;

        f->nonce = r->nonce;
        f->epoch = r->epoch;
        f->partitions.partitions_len = (u_int)r->part_count;
        f->partitions.partitions_val =
            dw_zero(r->part_count, sizeof(uint32_t));
        memcpy(f->partitions.partitions_val, r->parts,
            r->part_count * sizeof(uint32_t));
    }
}

/* When the owner before this one is certainly silent. */
static uint64_t
quiet_at(const struct own *o, uint64_t now, const struct own_part *part,
    bool map_skipped)
{
    const struct mbr_peer *peer = mbr_peer(o->mbr, part->owner);
    uint64_t at = now + o->cfg.quiet_ms;

    if (peer != NULL && peer->conn_refused && !map_skipped) {
        return part->quiet_at;
    }
    return at > part->quiet_at ? at : part->quiet_at;
}

/* A hand-over that was received whole, and that the map confirms. */
static bool
was_handed(const struct own_part *part, const struct view_part *vp)
{
    return vp->nonce != 0 && part->in_whole && part->in_nonce == vp->nonce;
}

static void
became_owner(struct own *o, uint64_t now, uint32_t p, uint64_t prev,
    bool first_map, struct own_round *r)
{
    struct own_part *part = &o->parts[p];
    const struct view_part *vp = &o->view->parts[p];

    if (was_handed(part, vp) || first_map) {
        set_state(o, p, OWN_OPEN);
        jobs_open(o->jobs, now, p, vp->epoch,
            part->in_whole ? part->in_unsure : 0, now);
        o->stats.received += part->in_whole;
        return;
    }
    jobs_drop(o->jobs, p);
    set_state(o, p, OWN_RECOVERING);
    r->parts = dw_grow(r->parts, (r->part_count + 1) * sizeof(uint32_t));
    r->mixed |= r->part_count > 0 && r->prev != prev;
    r->prev = prev;
    r->parts[r->part_count++] = p;
}

static void
lost_partition(struct own *o, uint32_t p)
{
    if (o->parts[p].state == OWN_GIVING) {
        o->stats.given++;
    }
    set_state(o, p, OWN_NOT);
    jobs_drop(o->jobs, p);
}

static void
end_incoming(struct own *o, uint32_t p)
{
    o->incoming -= o->parts[p].in_from != 0;
    o->parts[p].in_whole = false;
    o->parts[p].in_from = 0;
}

static void
follow_part(struct own *o, uint64_t now, uint32_t p, bool first_map,
    bool skipped, struct own_round *r)
{
    struct own_part *part = &o->parts[p];
    const struct view_part *vp = &o->view->parts[p];
    uint64_t prev = part->owner;

    if (part->owner == vp->owner && part->epoch == vp->epoch) {
        if (part->state == OWN_GIVING && part->swapping) {
            /* The map moved without our swap, so the swap has failed. */
            part->swapping = false;
        }
        return;
    }
    if (!first_map && vp->nonce == 0) {
        part->quiet_at = quiet_at(o, now, part, skipped);
    }
    if (part->owner == o->self && vp->owner != o->self) {
        lost_partition(o, p);
    }
    part->owner = vp->owner;
    part->epoch = vp->epoch;
    if (vp->owner != o->self && part->in_from != 0) {
        jobs_drop(o->jobs, p);
    }
    if (vp->owner == o->self) {
        became_owner(o, now, p, prev, first_map, r);
    }
    end_incoming(o, p);
}

static void
follow_map(struct own *o, uint64_t now, struct acts *out)
{
    struct own_round *r = dw_zero(1, sizeof(*r));
    bool first_map = o->view->map_epoch == 1;
    bool skipped = o->view->map_epoch != o->map_epoch + 1;

    for (uint32_t p = 0; p < VIEW_PARTS; p++) {
        follow_part(o, now, p, first_map, skipped, r);
    }
    o->map_epoch = o->view->map_epoch;
    o->map_mod = o->view->map_mod;
    for (size_t i = 0; i < o->view->loss_count; i++) {
        uint32_t age = o->view->losses[i].age_ms;

        add_loss(o, now > age ? now - age : 0, o->view->losses[i].id);
    }
    if (r->part_count == 0) {
        free_round(r);
        return;
    }
    begin_round(o, now, r);
    act_event(out,
        "what=takeover partitions=%zu epoch=%" PRIu64 " from=%016" PRIx64,
        r->part_count, r->epoch, r->prev);
    send_fences(now, r, out);
}

void
own_view_changed(struct own *o, uint64_t now, struct acts *out)
{
    follow_agents(o, now);
    o->orphans = false;
    for (size_t p = 0; p < VIEW_PARTS && o->view->have_map; p++) {
        o->orphans |= view_member(o->view, o->view->parts[p].owner) == NULL;
    }
    if (o->view->have_map && o->view->map_mod != o->map_mod) {
        follow_map(o, now, out);
    }
}

static void
drop_wait(struct own_round *r, size_t i)
{
    r->waits[i] = r->waits[--r->wait_count];
}

/* A host that is not listed any more will not answer; one that is listed
 * again still has its records, and is asked again. */
static void
follow_hosts(struct own *o, struct own_round *r)
{
    for (size_t i = r->wait_count; i > 0; i--) {
        uint64_t host = r->waits[i - 1].host;

        if (view_member(o->view, host) == NULL) {
            drop_wait(r, i - 1);
            add_gone(r, host);
        }
    }
    for (size_t i = r->gone_count; i > 0; i--) {
        uint64_t host = r->gone[i - 1];

        if (view_member(o->view, host) != NULL) {
            r->gone[i - 1] = r->gone[--r->gone_count];
            r->waits =
                dw_grow(r->waits, (r->wait_count + 1) * sizeof(r->waits[0]));
            r->waits[r->wait_count].host = host;
            r->waits[r->wait_count++].next_chunk = 0;
        }
    }
}

static bool
still_ours(const struct own *o, const struct own_round *r, uint32_t p)
{
    return o->parts[p].state == OWN_RECOVERING &&
           o->parts[p].epoch == r->epoch;
}

/* Records may come late, too, while the partition is open but unsure. */
static bool
takes_records(const struct own *o, const struct own_round *r, uint32_t p)
{
    return still_ours(o, r, p) || (r->open && o->parts[p].state == OWN_OPEN &&
                                      o->parts[p].epoch == r->epoch);
}

static uint64_t
round_quiet_at(const struct own *o, const struct own_round *r)
{
    uint64_t at = 0;

    for (size_t i = 0; i < r->part_count; i++) {
        const struct own_part *part = &o->parts[r->parts[i]];

        if (still_ours(o, r, r->parts[i]) && part->quiet_at > at) {
            at = part->quiet_at;
        }
    }
    return at;
}

/* Records are complete if every host answered and every agent lost within W
 * has come back, besides the one whose partitions these were. */
static bool
complete(const struct own *o, const struct own_round *r)
{
    return o->cfg.no_fence || (r->wait_count == 0 && r->gone_count == 0);
}

static void
open_round(struct own *o, uint64_t now, struct own_round *r, struct acts *out)
{
    uint64_t unsure = complete(o, r) ? 0 : now + o->cfg.record_ms;

    for (size_t i = 0; i < r->part_count; i++) {
        uint32_t p = r->parts[i];

        if (still_ours(o, r, p)) {
            set_state(o, p, OWN_OPEN);
            jobs_open(o->jobs, now, p, r->epoch, unsure, o->parts[p].quiet_at);
        }
    }
    r->open = true;
    act_event(out,
        "what=takeover_open epoch=%" PRIu64 " ms=%" PRIu64
        " hosts_missing=%zu",
        r->epoch, now - r->started_ms, r->wait_count + r->gone_count);
}

/* Hosts in most domains are fenced: an old owner working on through an
 * outage of the store would hear of the new epoch from one of them. */
static bool
fenced_enough(const struct own *o, const struct own_round *r, uint64_t now)
{
    if (r->wait_count == 0 || o->cfg.no_fence) {
        return true;
    }
    return now - r->started_ms >= 2 * (uint64_t)o->cfg.quiet_ms &&
           r->wait_count < (r->host_count + 1) / 2;
}

/* The missing records have come after all. */
static void
clear_unsure(struct own *o, uint64_t now, const struct own_round *r)
{
    for (size_t i = 0; i < r->part_count; i++) {
        uint32_t p = r->parts[i];

        if (o->parts[p].state == OWN_OPEN && o->parts[p].epoch == r->epoch) {
            jobs_open(o->jobs, now, p, r->epoch, 0, now);
        }
    }
}

static bool
tend_round(struct own *o, uint64_t now, struct own_round *r, struct acts *out)
{
    follow_hosts(o, r);
    if (r->wait_count > 0 && now - r->sent_ms >= o->cfg.resend_ms) {
        send_fences(now, r, out);
    }
    if (!r->open && now >= round_quiet_at(o, r) && fenced_enough(o, r, now) &&
        sync_majority_rev(o->sync) >= r->rev) {
        open_round(o, now, r, out);
    }
    if (r->open && complete(o, r)) {
        clear_unsure(o, now, r);
        act_event(out, "what=takeover_sure epoch=%" PRIu64, r->epoch);
        return true;
    }
    return r->open && now - r->started_ms >= o->cfg.record_ms;
}

static void
tend_rounds(struct own *o, uint64_t now, struct acts *out)
{
    struct own_round **at = &o->rounds;

    while (*at != NULL) {
        struct own_round *r = *at;

        if (tend_round(o, now, r, out)) {
            *at = r->next;
            free_round(r);
        }
        else {
            at = &r->next;
        }
    }
}

/* A host has answered once all its chunks came in order; else the next
 * fence makes it tell everything again. */
static void
note_chunk(struct own_round *r, size_t i, const dw_records *rs)
{
    struct own_wait *w = &r->waits[i];

    if (rs->chunk == 0) {
        w->next_chunk = 0;
    }
    if (rs->chunk != w->next_chunk) {
        return;
    }
    w->next_chunk++;
    if (rs->last) {
        drop_wait(r, i);
    }
}

void
own_records(struct own *o, uint64_t now, uint64_t from, const dw_records *rs,
    struct acts *out)
{
    struct own_round *r;

    (void)out;
    for (r = o->rounds; r != NULL && r->nonce != rs->nonce; r = r->next) {
    }
    if (r == NULL) {
        return;
    }
    for (u_int i = 0; i < rs->records.records_len; i++) {
        const dw_record *rec = &rs->records.records_val[i];

        if (!o->cfg.no_fence && rec->partition < VIEW_PARTS &&
            takes_records(o, r, rec->partition)) {
            jobs_record(o->jobs, now, rec);
        }
    }
    for (size_t i = r->wait_count; i > 0; i--) {
        if (r->waits[i - 1].host == from) {
            note_chunk(r, i - 1, rs);
        }
    }
}

/* --- handing over --- */

static void
send_chunk(struct own *o, uint64_t now, uint32_t p, struct acts *out)
{
    struct own_part *part = &o->parts[p];
    dw_handover *h = &act_send(out, part->to, DW_HANDOVER)->dw_msg_u.handover;
    uint64_t unsure = o->jobs->parts[p].unsure_until;

    h->partition = p;
    h->epoch = part->nonce;
    h->chunk = part->chunk;
    h->unsure_ms = unsure > now ? (uint32_t)(unsure - now) : 0;
    h->jobs.jobs_val = dw_zero(CHUNK_JOBS, sizeof(dw_job));
    h->jobs.jobs_len = jobs_export(o->jobs, now, p,
        (size_t)part->chunk * CHUNK_JOBS, h->jobs.jobs_val, CHUNK_JOBS);
    h->last = h->jobs.jobs_len < CHUNK_JOBS;
    part->give_ms = now;
}

static void
begin_giving(
    struct own *o, uint64_t now, uint32_t p, uint64_t to, struct acts *out)
{
    struct own_part *part = &o->parts[p];

    set_state(o, p, OWN_GIVING);
    part->to = to;
    part->began_ms = now;
    part->chunk = 0;
    part->nonce = ++o->nonce;
    part->handed = false;
    part->swapping = false;
    jobs_gate(o->jobs, p, JOB_FROZEN);
    send_chunk(o, now, p, out);
}

/* Taking a partition back is safe only while no swap was tried: a swap whose
 * answer was lost may still happen, and both would own it. */
static void
take_back(struct own *o, uint32_t p)
{
    set_state(o, p, OWN_OPEN);
    jobs_gate(o->jobs, p, JOB_OPEN);
    o->stats.give_ups++;
}

static void
tend_giving(struct own *o, uint64_t now, uint32_t p, struct acts *out)
{
    struct own_part *part = &o->parts[p];

    if (part->swapping) {
        return;
    }
    if (part->handed && mbr_state(o->mbr, part->to) != DW_M_DEAD) {
        return;
    }
    if (now - part->began_ms >= o->cfg.give_up_ms ||
        mbr_state(o->mbr, part->to) == DW_M_DEAD) {
        take_back(o, p);
        return;
    }
    if (now - part->give_ms >= o->cfg.resend_ms) {
        send_chunk(o, now, p, out);
    }
}

static bool
should_give(const struct own *o, uint32_t p, uint64_t *to)
{
    const struct own_part *part = &o->parts[p];

    *to = o->want[p];
    return part->state == OWN_OPEN && *to != 0 && *to != o->self &&
           mbr_state(o->mbr, *to) == DW_M_ALIVE;
}

static void
give_some(struct own *o, uint64_t now, struct acts *out)
{
    const struct view_member *me = view_member(o->view, o->self);
    bool leaving = me == NULL || !own_eligible(o, me);
    size_t max = leaving ? o->cfg.leave_max : o->cfg.give_max;
    size_t n = own_count(o, OWN_GIVING);
    uint64_t to;

    if (!o->view->have_map || n >= max || o->sync->store_down ||
        (o->gave_rev == o->view->rev && now - o->gave_ms < TARGET_MS)) {
        return;
    }
    o->gave_rev = o->view->rev;
    o->gave_ms = now;
    own_refresh_targets(o, now);
    for (uint32_t p = 0; p < VIEW_PARTS && n < max; p++) {
        if (should_give(o, p, &to)) {
            begin_giving(o, now, p, to, out);
            n++;
        }
    }
}

/* All partitions that are handed go into one swap.  One whose answer was
 * lost is tried again, unchanged, until the map shows what became of it. */
static void
maybe_swap(struct own *o, uint64_t now, struct acts *out)
{
    struct view_part parts[VIEW_PARTS];
    uint64_t epoch = o->view->map_epoch + 1;
    bool fresh = false;
    size_t n = 0;

    if (o->txn_out || !o->view->have_map || o->counts[OWN_GIVING] == 0) {
        return;
    }
    memcpy(parts, o->view->parts, sizeof(parts));
    for (uint32_t p = 0; p < VIEW_PARTS; p++) {
        struct own_part *part = &o->parts[p];

        if (part->state != OWN_GIVING || !part->handed) {
            continue;
        }
        fresh |= !part->swapping;
        parts[p].owner = part->to;
        parts[p].epoch = epoch;
        parts[p].nonce = part->nonce;
        part->swapping = true;
        n++;
    }
    if (n > 0 && (fresh || now - o->swapped_ms >= SWAP_AGAIN_MS)) {
        o->swapped_ms = now;
        own_put_map(o, now, own_begin_map_txn(o, out), parts, epoch, NULL, 0);
    }
}

void
own_handover(struct own *o, uint64_t now, uint64_t from, const dw_handover *h,
    struct acts *out)
{
    struct own_part *part = &o->parts[h->partition % VIEW_PARTS];
    uint32_t nonce = (uint32_t)h->epoch;
    dw_handed *ack;

    if (h->partition >= VIEW_PARTS || part->owner != from || o->leaving) {
        return;
    }
    if (part->in_from != from || part->in_nonce != nonce) {
        jobs_drop(o->jobs, h->partition);
        o->incoming += part->in_from == 0;
        part->in_from = from;
        part->in_nonce = nonce;
        part->in_chunk = 0;
        part->in_whole = false;
    }
    if (h->chunk == part->in_chunk && !part->in_whole) {
        for (u_int i = 0; i < h->jobs.jobs_len; i++) {
            jobs_import(o->jobs, now, h->partition, &h->jobs.jobs_val[i]);
        }
        part->in_chunk++;
        part->in_whole = h->last;
        part->in_ms = now;
        part->in_unsure = h->unsure_ms > 0 ? now + h->unsure_ms : 0;
    }
    if (h->chunk >= part->in_chunk) {
        return;
    }
    ack = &act_send(out, from, DW_HANDED)->dw_msg_u.handed;
    ack->partition = h->partition;
    ack->epoch = h->epoch;
    ack->chunk = h->chunk;
    ack->last = h->last;
}

void
own_handed(struct own *o, uint64_t now, uint64_t from, const dw_handed *h,
    struct acts *out)
{
    struct own_part *part = &o->parts[h->partition % VIEW_PARTS];

    if (h->partition >= VIEW_PARTS || part->state != OWN_GIVING ||
        part->to != from || h->epoch != part->nonce ||
        h->chunk != part->chunk || part->handed) {
        return;
    }
    if (h->last) {
        part->handed = true;
        maybe_swap(o, now, out);
        return;
    }
    part->chunk++;
    send_chunk(o, now, h->partition, out);
}

void
own_remove_self(struct own *o, uint64_t now, struct acts *out)
{
    const struct view_member *me = view_member(o->view, o->self);
    char key[128];
    struct txn *t;

    if (me == NULL || o->txn_out || !o->view->have_map ||
        now - o->planned_ms < o->cfg.plan_ms) {
        return;
    }
    o->planned_ms = now;
    t = own_begin_map_txn(o, out);
    own_member_key(key, sizeof(key), o->self);
    txn_compare(t, key, me->mod);
    txn_put(t, key, NULL);
    own_put_map(o, now, t, o->view->parts, o->view->map_epoch, &o->self, 1);
}

static void
drop_stale_import(struct own *o, uint64_t now, uint32_t p)
{
    struct own_part *part = &o->parts[p];

    if (part->in_from != 0 && part->owner != o->self &&
        now - part->in_ms >= IN_MS) {
        jobs_drop(o->jobs, p);
        end_incoming(o, p);
    }
}

void
own_txn_done(struct own *o, uint64_t now, enum txn_status status)
{
    (void)now;
    (void)status;
    /* The map itself tells what became of it; see follow_part(). */
    o->txn_out = false;
}

void
own_tick(struct own *o, uint64_t now, bool may_plan, struct acts *out)
{
    forget_losses(o, now);
    tend_rounds(o, now, out);
    for (uint32_t p = 0;
         p < VIEW_PARTS && o->counts[OWN_GIVING] + o->incoming > 0; p++) {
        if (o->parts[p].state == OWN_GIVING) {
            tend_giving(o, now, p, out);
        }
        drop_stale_import(o, now, p);
    }
    if (may_plan) {
        own_maybe_plan(o, now, out);
        give_some(o, now, out);
        maybe_swap(o, now, out);
    }
}
