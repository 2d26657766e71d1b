#include "own-int.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Records in one message of a hand-over. */
#define CHUNK_JOBS 64
/* After this, a received hand-over that the map has not confirmed is
 * dropped. */
#define INCOMING_TIMEOUT_MS 30000
/* Between repeats of a map write whose result was lost. */
#define COMMIT_RETRY_MS 1000

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
    o->counts[OWN_NONE] = VIEW_PARTS;
}

static void
free_takeover(struct own_takeover *tk)
{
    free(tk->parts);
    free(tk->unanswered);
    free(tk->removed);
    free(tk);
}

void
own_free(struct own *o)
{
    while (o->takeovers != NULL) {
        struct own_takeover *tk = o->takeovers;

        o->takeovers = tk->next;
        free_takeover(tk);
    }
    free(o->losses);
    free(o->agents);
    free(o->agent_seen_ms);
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
    return own_count(o, OWN_NONE) == VIEW_PARTS;
}

void
own_leave(struct own *o)
{
    o->leaving = true;
    o->target_ms = 0;
    o->handover_ms = 0;
    o->handover_rev = 0;
}

/* --- removed agents --- */

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
    o->losses[o->loss_count].removed_ms = now;
    o->loss_count++;
}

static void
remove_loss(struct own *o, uint64_t id)
{
    for (size_t i = 0; i < o->loss_count; i++) {
        if (o->losses[i].id == id) {
            o->losses[i] = o->losses[--o->loss_count];
            return;
        }
    }
}

static void
expire_losses(struct own *o, uint64_t now)
{
    size_t n = 0;

    for (size_t i = 0; i < o->loss_count; i++) {
        if (now - o->losses[i].removed_ms < o->cfg.retention_ms) {
            o->losses[n++] = o->losses[i];
        }
    }
    o->loss_count = n;
}

static bool
contains(const uint64_t *list, size_t n, uint64_t id)
{
    for (size_t i = 0; i < n; i++) {
        if (list[i] == id) {
            return true;
        }
    }
    return false;
}

/* The start records of an agent that the view no longer lists are lost. */
static void
update_agents(struct own *o, uint64_t now)
{
    const struct view_member *m;
    size_t max = HASH_COUNT(o->view->members) + 1;
    uint64_t *known = dw_zero(max, sizeof(*known));
    uint64_t *seen = dw_zero(max, sizeof(*seen));
    size_t n = 0;

    for (size_t i = 0; i < o->agent_count; i++) {
        if (view_member(o->view, o->agents[i]) == NULL) {
            add_loss(o, now, o->agents[i]);
        }
        else {
            known[n] = o->agents[i];
            seen[n++] = o->agent_seen_ms[i];
        }
    }
    for (m = o->view->members; m != NULL; m = m->hh.next) {
        if (m->role == VIEW_AGENT && !contains(known, n, m->id)) {
            known[n] = m->id;
            seen[n++] = now;
            /* Listed again under the same id: the same process, which still
             * has its records. */
            remove_loss(o, m->id);
        }
    }
    free(o->agents);
    free(o->agent_seen_ms);
    o->agents = known;
    o->agent_seen_ms = seen;
    o->agent_count = n;
}

/* --- taking over --- */

static void
add_removed(struct own_takeover *tk, uint64_t id)
{
    tk->removed =
        dw_grow(tk->removed, (tk->removed_count + 1) * sizeof(uint64_t));
    tk->removed[tk->removed_count++] = id;
}

static void
begin_takeover(struct own *o, uint64_t now, struct own_takeover *tk)
{
    const struct view_member *m;

    tk->epoch = o->view->map_epoch;
    tk->rev = o->view->rev;
    tk->nonce = ++o->nonce;
    tk->started_ms = now;
    tk->unanswered =
        dw_zero(HASH_COUNT(o->view->members) + 1, sizeof(tk->unanswered[0]));
    for (m = o->view->members; m != NULL; m = m->hh.next) {
        if (m->role == VIEW_AGENT) {
            tk->unanswered[tk->unanswered_count++].host = m->id;
        }
    }
    tk->host_count = tk->unanswered_count;
    for (size_t i = 0; i < o->loss_count; i++) {
        if (tk->mixed_owners || o->losses[i].id != tk->prev_owner) {
            add_removed(tk, o->losses[i].id);
        }
    }
    tk->next = o->takeovers;
    o->takeovers = tk;
    o->stats.takeovers++;
}

static void
send_fences(uint64_t now, struct own_takeover *tk, struct acts *out)
{
    tk->sent_ms = now;
    for (size_t i = 0; i < tk->unanswered_count; i++) {
        dw_fence *f =
            &act_send(out, tk->unanswered[i].host, DW_FENCE)->dw_msg_u.fence;

        f->nonce = tk->nonce;
        f->epoch = tk->epoch;
        f->partitions.partitions_len = (u_int)tk->part_count;
        f->partitions.partitions_val =
            dw_zero(tk->part_count, sizeof(uint32_t));
        memcpy(f->partitions.partitions_val, tk->parts,
            tk->part_count * sizeof(uint32_t));
    }
}

/* The time from which on the previous owner starts and admits nothing.  If its
 * process is known to be dead, and no owner in between was missed, there is no
 * need to wait quiet_ms. */
static uint64_t
prev_owner_quiet_at(const struct own *o, uint64_t now,
    const struct own_part *part, bool map_skipped)
{
    const struct mbr_peer *peer = mbr_peer(o->mbr, part->owner);
    uint64_t at = now + o->cfg.quiet_ms;

    if (peer != NULL && peer->conn_refused && !map_skipped) {
        return part->quiet_at_ms;
    }
    return at > part->quiet_at_ms ? at : part->quiet_at_ms;
}

/* All chunks of the hand-over arrived, and the map confirms it. */
static bool
was_handed_over(const struct own_part *part, const struct view_part *vp)
{
    return vp->nonce != 0 && part->in_complete && part->in_nonce == vp->nonce;
}

static void
gained_partition(struct own *o, uint64_t now, uint32_t p, uint64_t prev,
    bool first_map, struct own_takeover *tk)
{
    struct own_part *part = &o->parts[p];
    const struct view_part *vp = &o->view->parts[p];

    if (was_handed_over(part, vp) || first_map) {
        set_state(o, p, OWN_OPEN);
        jobs_open_partition(o->jobs, now, p, vp->epoch,
            part->in_complete ? part->in_incomplete_until_ms : 0, now);
        o->stats.received += part->in_complete;
        return;
    }
    jobs_drop_partition(o->jobs, p);
    set_state(o, p, OWN_RECOVERING);
    tk->parts = dw_grow(tk->parts, (tk->part_count + 1) * sizeof(uint32_t));
    tk->mixed_owners |= tk->part_count > 0 && tk->prev_owner != prev;
    tk->prev_owner = prev;
    tk->parts[tk->part_count++] = p;
}

static void
lost_partition(struct own *o, uint32_t p)
{
    if (o->parts[p].state == OWN_HANDING_OVER) {
        o->stats.handed_over++;
    }
    set_state(o, p, OWN_NONE);
    jobs_drop_partition(o->jobs, p);
}

static void
clear_incoming(struct own *o, uint32_t p)
{
    o->incoming -= o->parts[p].in_from != 0;
    o->parts[p].in_complete = false;
    o->parts[p].in_from = 0;
}

static void
update_part(struct own *o, uint64_t now, uint32_t p, bool first_map,
    bool skipped, struct own_takeover *tk)
{
    struct own_part *part = &o->parts[p];
    const struct view_part *vp = &o->view->parts[p];
    uint64_t prev = part->owner;

    if (part->owner == vp->owner && part->epoch == vp->epoch) {
        if (part->state == OWN_HANDING_OVER && part->committing) {
            /* Another write changed the map, so this one failed. */
            part->committing = false;
        }
        return;
    }
    if (!first_map && vp->nonce == 0) {
        part->quiet_at_ms = prev_owner_quiet_at(o, now, part, skipped);
    }
    if (part->owner == o->self && vp->owner != o->self) {
        lost_partition(o, p);
    }
    part->owner = vp->owner;
    part->epoch = vp->epoch;
    if (vp->owner != o->self && part->in_from != 0) {
        jobs_drop_partition(o->jobs, p);
    }
    if (vp->owner == o->self) {
        gained_partition(o, now, p, prev, first_map, tk);
    }
    clear_incoming(o, p);
}

static void
apply_map(struct own *o, uint64_t now, struct acts *out)
{
    struct own_takeover *tk = dw_zero(1, sizeof(*tk));
    bool first_map = o->view->map_epoch == 1;
    /* Owners of the maps in between are not known. */
    bool skipped = o->view->map_epoch != o->map_epoch + 1;

    for (uint32_t p = 0; p < VIEW_PARTS; p++) {
        update_part(o, now, p, first_map, skipped, tk);
    }
    o->map_epoch = o->view->map_epoch;
    o->map_mod = o->view->map_mod;
    for (size_t i = 0; i < o->view->loss_count; i++) {
        uint32_t age = o->view->losses[i].age_ms;

        add_loss(o, now > age ? now - age : 0, o->view->losses[i].id);
    }
    if (tk->part_count == 0) {
        free_takeover(tk);
        return;
    }
    begin_takeover(o, now, tk);
    act_event(out,
        "what=takeover partitions=%zu epoch=%" PRIu64 " from=%016" PRIx64,
        tk->part_count, tk->epoch, tk->prev_owner);
    send_fences(now, tk, out);
}

void
own_view_changed(struct own *o, uint64_t now, struct acts *out)
{
    update_agents(o, now);
    o->has_orphans = false;
    for (size_t p = 0; p < VIEW_PARTS && o->view->have_map; p++) {
        o->has_orphans |=
            view_member(o->view, o->view->parts[p].owner) == NULL;
    }
    if (o->view->have_map && o->view->map_mod != o->map_mod) {
        apply_map(o, now, out);
    }
}

static void
remove_unanswered(struct own_takeover *tk, size_t i)
{
    tk->unanswered[i] = tk->unanswered[--tk->unanswered_count];
}

/* A host that is no longer listed will not answer; one that is listed again
 * still has its records and is fenced again. */
static void
update_fenced_hosts(struct own *o, struct own_takeover *tk)
{
    for (size_t i = tk->unanswered_count; i > 0; i--) {
        uint64_t host = tk->unanswered[i - 1].host;

        if (view_member(o->view, host) == NULL) {
            remove_unanswered(tk, i - 1);
            add_removed(tk, host);
        }
    }
    for (size_t i = tk->removed_count; i > 0; i--) {
        uint64_t host = tk->removed[i - 1];

        if (view_member(o->view, host) != NULL) {
            tk->removed[i - 1] = tk->removed[--tk->removed_count];
            tk->unanswered = dw_grow(tk->unanswered,
                (tk->unanswered_count + 1) * sizeof(tk->unanswered[0]));
            tk->unanswered[tk->unanswered_count].host = host;
            tk->unanswered[tk->unanswered_count++].next_chunk = 0;
        }
    }
}

static bool
still_recovering(
    const struct own *o, const struct own_takeover *tk, uint32_t p)
{
    return o->parts[p].state == OWN_RECOVERING &&
           o->parts[p].epoch == tk->epoch;
}

/* Late records are accepted while the partition is open with records
 * missing. */
static bool
accepts_records(const struct own *o, const struct own_takeover *tk, uint32_t p)
{
    return still_recovering(o, tk, p) ||
           (tk->opened && o->parts[p].state == OWN_OPEN &&
               o->parts[p].epoch == tk->epoch);
}

static uint64_t
takeover_quiet_at(const struct own *o, const struct own_takeover *tk)
{
    uint64_t at = 0;

    for (size_t i = 0; i < tk->part_count; i++) {
        const struct own_part *part = &o->parts[tk->parts[i]];

        if (still_recovering(o, tk, tk->parts[i]) && part->quiet_at_ms > at) {
            at = part->quiet_at_ms;
        }
    }
    return at;
}

/* Every host answered, and every agent removed within W is listed again,
 * except for the one whose partitions these were. */
static bool
records_complete(const struct own *o, const struct own_takeover *tk)
{
    return o->cfg.no_fence ||
           (tk->unanswered_count == 0 && tk->removed_count == 0);
}

static void
open_takeover(
    struct own *o, uint64_t now, struct own_takeover *tk, struct acts *out)
{
    uint64_t incomplete_until_ms =
        records_complete(o, tk) ? 0 : now + o->cfg.retention_ms;

    for (size_t i = 0; i < tk->part_count; i++) {
        uint32_t p = tk->parts[i];

        if (still_recovering(o, tk, p)) {
            set_state(o, p, OWN_OPEN);
            jobs_open_partition(o->jobs, now, p, tk->epoch,
                incomplete_until_ms, o->parts[p].quiet_at_ms);
        }
    }
    tk->opened = true;
    act_event(out,
        "what=takeover_open epoch=%" PRIu64 " ms=%" PRIu64
        " hosts_missing=%zu",
        tk->epoch, now - tk->started_ms,
        tk->unanswered_count + tk->removed_count);
}

/* Every host is fenced, or after 2 * quiet_ms more than half of them.  An old
 * owner that continues to work during an outage of the store then learns of
 * the new epoch from one of these. */
static bool
fenced_enough(const struct own *o, const struct own_takeover *tk, uint64_t now)
{
    if (tk->unanswered_count == 0 || o->cfg.no_fence) {
        return true;
    }
    return now - tk->started_ms >= 2 * (uint64_t)o->cfg.quiet_ms &&
           tk->unanswered_count < (tk->host_count + 1) / 2;
}

/* The missing records have arrived: unknown keys may be admitted. */
static void
mark_records_complete(
    struct own *o, uint64_t now, const struct own_takeover *tk)
{
    for (size_t i = 0; i < tk->part_count; i++) {
        uint32_t p = tk->parts[i];

        if (o->parts[p].state == OWN_OPEN && o->parts[p].epoch == tk->epoch) {
            jobs_open_partition(o->jobs, now, p, tk->epoch, 0, now);
        }
    }
}

/* Returns true once the takeover is finished and can be freed. */
static bool
advance_takeover(
    struct own *o, uint64_t now, struct own_takeover *tk, struct acts *out)
{
    update_fenced_hosts(o, tk);
    if (tk->unanswered_count > 0 && now - tk->sent_ms >= o->cfg.resend_ms) {
        send_fences(now, tk, out);
    }
    if (!tk->opened && now >= takeover_quiet_at(o, tk) &&
        fenced_enough(o, tk, now) && sync_majority_rev(o->sync) >= tk->rev) {
        open_takeover(o, now, tk, out);
    }
    if (tk->opened && records_complete(o, tk)) {
        mark_records_complete(o, now, tk);
        act_event(out, "what=takeover_sure epoch=%" PRIu64, tk->epoch);
        return true;
    }
    return tk->opened && now - tk->started_ms >= o->cfg.retention_ms;
}

static void
advance_takeovers(struct own *o, uint64_t now, struct acts *out)
{
    struct own_takeover **at = &o->takeovers;

    while (*at != NULL) {
        struct own_takeover *tk = *at;

        if (advance_takeover(o, now, tk, out)) {
            *at = tk->next;
            free_takeover(tk);
        }
        else {
            at = &tk->next;
        }
    }
}

/* A host has answered once all its chunks arrived in order; otherwise it
 * sends everything again on the next fence. */
static void
count_chunk(struct own_takeover *tk, size_t i, const dw_records *rs)
{
    struct own_fenced *fenced = &tk->unanswered[i];

    if (rs->chunk == 0) {
        fenced->next_chunk = 0;
    }
    if (rs->chunk != fenced->next_chunk) {
        return;
    }
    fenced->next_chunk++;
    if (rs->last) {
        remove_unanswered(tk, i);
    }
}

void
own_records(struct own *o, uint64_t now, uint64_t from, const dw_records *rs,
    struct acts *out)
{
    struct own_takeover *tk;

    (void)out;
    for (tk = o->takeovers; tk != NULL && tk->nonce != rs->nonce;
         tk = tk->next) {
    }
    if (tk == NULL) {
        return;
    }
    for (u_int i = 0; i < rs->records.records_len; i++) {
        const dw_record *rec = &rs->records.records_val[i];

        if (!o->cfg.no_fence && rec->partition < VIEW_PARTS &&
            accepts_records(o, tk, rec->partition)) {
            jobs_restore_record(o->jobs, now, rec);
        }
    }
    for (size_t i = tk->unanswered_count; i > 0; i--) {
        if (tk->unanswered[i - 1].host == from) {
            count_chunk(tk, i - 1, rs);
        }
    }
}

/* --- handing over --- */

static void
send_chunk(struct own *o, uint64_t now, uint32_t p, struct acts *out)
{
    struct own_part *part = &o->parts[p];
    dw_handover *h =
        &act_send(out, part->handover_to, DW_HANDOVER)->dw_msg_u.handover;
    uint64_t incomplete_until_ms = o->jobs->parts[p].incomplete_until_ms;

    h->partition = p;
    h->epoch = part->nonce;
    h->chunk = part->chunk;
    h->unsure_ms =
        incomplete_until_ms > now ? (uint32_t)(incomplete_until_ms - now) : 0;
    h->jobs.jobs_val = dw_zero(CHUNK_JOBS, sizeof(dw_job));
    h->jobs.jobs_len = jobs_export(o->jobs, now, p,
        (size_t)part->chunk * CHUNK_JOBS, h->jobs.jobs_val, CHUNK_JOBS);
    h->last = h->jobs.jobs_len < CHUNK_JOBS;
    part->chunk_sent_ms = now;
}

static void
begin_handover(
    struct own *o, uint64_t now, uint32_t p, uint64_t to, struct acts *out)
{
    struct own_part *part = &o->parts[p];

    set_state(o, p, OWN_HANDING_OVER);
    part->handover_to = to;
    part->handover_start_ms = now;
    part->chunk = 0;
    part->nonce = ++o->nonce;
    part->transferred = false;
    part->committing = false;
    jobs_set_gate(o->jobs, p, JOB_FROZEN);
    send_chunk(o, now, p, out);
}

/* Safe only before a map write was sent: a write whose result was lost may
 * still take effect, and the partition would have two owners. */
static void
abort_handover(struct own *o, uint32_t p)
{
    set_state(o, p, OWN_OPEN);
    jobs_set_gate(o->jobs, p, JOB_OPEN);
    o->stats.handovers_aborted++;
}

static void
advance_handover(struct own *o, uint64_t now, uint32_t p, struct acts *out)
{
    struct own_part *part = &o->parts[p];

    if (part->committing) {
        return;
    }
    if (part->transferred &&
        mbr_state(o->mbr, part->handover_to) != DW_M_DEAD) {
        return;
    }
    if (now - part->handover_start_ms >= o->cfg.handover_timeout_ms ||
        mbr_state(o->mbr, part->handover_to) == DW_M_DEAD) {
        abort_handover(o, p);
        return;
    }
    if (now - part->chunk_sent_ms >= o->cfg.resend_ms) {
        send_chunk(o, now, p, out);
    }
}

static bool
should_hand_over(const struct own *o, uint32_t p, uint64_t *to)
{
    const struct own_part *part = &o->parts[p];

    *to = o->targets[p];
    return part->state == OWN_OPEN && *to != 0 && *to != o->self &&
           mbr_state(o->mbr, *to) == DW_M_ALIVE;
}

static void
start_handovers(struct own *o, uint64_t now, struct acts *out)
{
    const struct view_member *me = view_member(o->view, o->self);
    bool leaving = me == NULL || !own_eligible(o, me);
    size_t max = leaving ? o->cfg.leaving_handover_max : o->cfg.handover_max;
    size_t n = own_count(o, OWN_HANDING_OVER);
    uint64_t to;

    if (!o->view->have_map || n >= max || o->sync->store_down ||
        (o->handover_rev == o->view->rev &&
            now - o->handover_ms < TARGET_INTERVAL_MS)) {
        return;
    }
    o->handover_rev = o->view->rev;
    o->handover_ms = now;
    own_refresh_targets(o, now);
    for (uint32_t p = 0; p < VIEW_PARTS && n < max; p++) {
        if (should_hand_over(o, p, &to)) {
            begin_handover(o, now, p, to, out);
            n++;
        }
    }
}

/* Writes the new owners of all transferred partitions into the map at once.
 * A write whose result was lost is repeated, unchanged, until the map shows
 * whether it took effect. */
static void
commit_handovers(struct own *o, uint64_t now, struct acts *out)
{
    struct view_part parts[VIEW_PARTS];
    uint64_t epoch = o->view->map_epoch + 1;
    bool new_transfer = false;
    size_t n = 0;

    if (o->txn_pending || !o->view->have_map ||
        o->counts[OWN_HANDING_OVER] == 0) {
        return;
    }
    memcpy(parts, o->view->parts, sizeof(parts));
    for (uint32_t p = 0; p < VIEW_PARTS; p++) {
        struct own_part *part = &o->parts[p];

        if (part->state != OWN_HANDING_OVER || !part->transferred) {
            continue;
        }
        new_transfer |= !part->committing;
        parts[p].owner = part->handover_to;
        parts[p].epoch = epoch;
        parts[p].nonce = part->nonce;
        part->committing = true;
        n++;
    }
    if (n > 0 &&
        (new_transfer || now - o->commit_sent_ms >= COMMIT_RETRY_MS)) {
        o->commit_sent_ms = now;
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
        jobs_drop_partition(o->jobs, h->partition);
        o->incoming += part->in_from == 0;
        part->in_from = from;
        part->in_nonce = nonce;
        part->in_chunk = 0;
        part->in_complete = false;
    }
    if (h->chunk == part->in_chunk && !part->in_complete) {
        for (u_int i = 0; i < h->jobs.jobs_len; i++) {
            jobs_import(o->jobs, now, h->partition, &h->jobs.jobs_val[i]);
        }
        part->in_chunk++;
        part->in_complete = h->last;
        part->in_received_ms = now;
        part->in_incomplete_until_ms =
            h->unsure_ms > 0 ? now + h->unsure_ms : 0;
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

    if (h->partition >= VIEW_PARTS || part->state != OWN_HANDING_OVER ||
        part->handover_to != from || h->epoch != part->nonce ||
        h->chunk != part->chunk || part->transferred) {
        return;
    }
    if (h->last) {
        part->transferred = true;
        commit_handovers(o, now, out);
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

    if (me == NULL || o->txn_pending || !o->view->have_map ||
        now - o->planned_ms < o->cfg.plan_interval_ms) {
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
expire_incoming(struct own *o, uint64_t now, uint32_t p)
{
    struct own_part *part = &o->parts[p];

    if (part->in_from != 0 && part->owner != o->self &&
        now - part->in_received_ms >= INCOMING_TIMEOUT_MS) {
        jobs_drop_partition(o->jobs, p);
        clear_incoming(o, p);
    }
}

void
own_txn_done(struct own *o, uint64_t now, enum txn_status status)
{
    (void)now;
    (void)status;
    /* Whether it took effect shows in the map; see update_part(). */
    o->txn_pending = false;
}

void
own_tick(struct own *o, uint64_t now, bool may_plan, struct acts *out)
{
    expire_losses(o, now);
    advance_takeovers(o, now, out);
    for (uint32_t p = 0;
         p < VIEW_PARTS && o->counts[OWN_HANDING_OVER] + o->incoming > 0;
         p++) {
        if (o->parts[p].state == OWN_HANDING_OVER) {
            advance_handover(o, now, p, out);
        }
        expire_incoming(o, now, p);
    }
    if (may_plan) {
        own_maybe_plan(o, now, out);
        start_handovers(o, now, out);
        commit_handovers(o, now, out);
    }
}
