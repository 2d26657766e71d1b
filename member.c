#include "member.h"

#include <stdlib.h>
#include <string.h>

/* An update is sent this many times the log2 of the number of peers. */
#define UPDATE_SENDS_FACTOR 3
#define UPDATES_MAX 8
/* ms between checks for suspects to declare dead. */
#define SUSPECT_CHECK_MS 50

void
mbr_init(
    struct mbr *m, const struct mbr_cfg *cfg, uint64_t self, uint64_t seed)
{
    memset(m, 0, sizeof(*m));
    m->cfg = *cfg;
    m->self = self;
    m->random_state = seed;
}

void
mbr_free(struct mbr *m)
{
    struct mbr_peer *p;
    struct mbr_peer *tmp;

    HASH_ITER (hh, m->peers, p, tmp) {
        HASH_DEL(m->peers, p);
        free(p);
    }
    free(m->probe_order);
    m->probe_order = NULL;
}

static uint64_t
next_random(struct mbr *m)
{
    m->random_state = mix64(m->random_state, 1);
    return m->random_state;
}

static struct mbr_peer *
find_peer(const struct mbr *m, uint64_t id)
{
    struct mbr_peer *p;

    HASH_FIND(hh, m->peers, &id, sizeof(id), p);
    return p;
}

const struct mbr_peer *
mbr_peer(const struct mbr *m, uint64_t id)
{
    return find_peer(m, id);
}

dw_alive
mbr_state(const struct mbr *m, uint64_t id)
{
    const struct mbr_peer *p = find_peer(m, id);

    if (id == m->self) {
        return DW_M_ALIVE;
    }
    return p != NULL ? p->state : DW_M_DEAD;
}

static uint32_t
update_sends(const struct mbr *m)
{
    uint32_t n = UPDATE_SENDS_FACTOR;

    for (size_t k = m->probe_order_count; k > 1; k /= 2) {
        n += UPDATE_SENDS_FACTOR;
    }
    return n;
}

static bool
set_state(struct mbr *m, struct mbr_peer *p, uint64_t now, dw_alive state,
    uint32_t incarnation)
{
    bool changed = p->state != state;

    if (!changed && p->incarnation == incarnation) {
        return false;
    }
    if (changed) {
        p->state_since_ms = now;
        p->conn_refused = false;
        m->state_version++;
    }
    p->state = state;
    p->incarnation = incarnation;
    p->sends_left = update_sends(m);
    return changed;
}

static void
shuffle(struct mbr *m)
{
    for (size_t i = m->probe_order_count; i > 1; i--) {
        size_t j = next_random(m) % i;
        uint64_t id = m->probe_order[i - 1];

        m->probe_order[i - 1] = m->probe_order[j];
        m->probe_order[j] = id;
    }
    m->probe_order_next = 0;
}

static void
rebuild_order(struct mbr *m)
{
    struct mbr_peer *p;
    size_t n = 0;

    m->probe_order =
        dw_grow(m->probe_order, HASH_COUNT(m->peers) * sizeof(uint64_t));
    for (p = m->peers; p != NULL; p = p->hh.next) {
        m->probe_order[n++] = p->id;
    }
    m->probe_order_count = n;
    shuffle(m);
}

static uint32_t
later_incarnation(uint32_t incarnation, uint64_t mod)
{
    return (uint32_t)mod > incarnation ? (uint32_t)mod : incarnation;
}

/*
 * When a process was declared dead, removed and has registered again, gossip
 * of processes that do not know this yet still reports it dead; it would be
 * removed a second time.  Incarnations start at the modification revision of
 * the process's key, so reports on an earlier registration are outdated.
 */
static void
update_peer(struct mbr *m, const struct view_member *vm, uint64_t now)
{
    struct mbr_peer *p = find_peer(m, vm->id);

    if (p == NULL) {
        p = dw_zero(1, sizeof(*p));
        p->id = vm->id;
        p->state_since_ms = now;
        HASH_ADD(hh, m->peers, id, sizeof(p->id), p);
    }
    if (vm->mod > p->mod) {
        p->mod = vm->mod;
        set_state(
            m, p, now, DW_M_ALIVE, later_incarnation(p->incarnation, vm->mod));
    }
}

void
mbr_update_members(struct mbr *m, const struct view *v, uint64_t now)
{
    const struct view_member *vm;
    struct mbr_peer *p;
    struct mbr_peer *tmp;

    HASH_ITER (hh, m->peers, p, tmp) {
        if (view_member(v, p->id) == NULL) {
            HASH_DEL(m->peers, p);
            free(p);
        }
    }
    for (vm = v->members; vm != NULL; vm = vm->hh.next) {
        if (vm->id == m->self) {
            m->incarnation = later_incarnation(m->incarnation, vm->mod);
        }
        else {
            update_peer(m, vm, now);
        }
    }
    m->state_version++;
    rebuild_order(m);
}

static void
fill_update(const struct mbr_peer *p, dw_update *u)
{
    u->id = p->id;
    u->round = p->incarnation;
    u->state = p->state;
    u->rev = p->rev;
    u->load = p->load;
}

/* Our own update; the receiver's if it is suspected or declared dead here, so
 * that it can refute that; then updates with sends left. */
static void
fill_updates(struct mbr *m, uint64_t to, dw_ping *ping)
{
    struct mbr_peer *receiver = find_peer(m, to);
    struct mbr_peer *p;
    dw_update *u = dw_zero(UPDATES_MAX, sizeof(*u));
    u_int n = 0;

    u[n].id = m->self;
    u[n].round = m->incarnation;
    u[n].rev = m->rev;
    u[n].load = m->load;
    n++;
    if (receiver != NULL && receiver->state != DW_M_ALIVE) {
        fill_update(receiver, &u[n++]);
    }
    for (p = m->peers; p != NULL && n < UPDATES_MAX; p = p->hh.next) {
        if (p->sends_left == 0 || p->id == to) {
            continue;
        }
        p->sends_left--;
        fill_update(p, &u[n++]);
    }
    ping->updates.updates_val = u;
    ping->updates.updates_len = n;
}

static dw_ping *
send_ping(struct mbr *m, uint64_t to, dw_mtype type, struct acts *out)
{
    /* The three ping messages share one layout. */
    dw_ping *ping = &act_send(out, to, type)->dw_msg_u.ping;

    fill_updates(m, to, ping);
    return ping;
}

static uint64_t
next_probe_target(struct mbr *m)
{
    for (size_t tries = 0; tries < m->probe_order_count; tries++) {
        const struct mbr_peer *p;

        if (m->probe_order_next >= m->probe_order_count) {
            shuffle(m);
        }
        p = find_peer(m, m->probe_order[m->probe_order_next++]);
        if (p != NULL && !p->conn_refused) {
            return p->id;
        }
    }
    return 0;
}

static void
send_indirect_probes(struct mbr *m, struct acts *out)
{
    for (uint32_t i = 0; i < m->cfg.fanout && m->probe_order_count > 1; i++) {
        uint64_t id = m->probe_order[next_random(m) % m->probe_order_count];
        const struct mbr_peer *p = find_peer(m, id);
        dw_ping *ping;

        if (p == NULL || p->state != DW_M_ALIVE || id == m->probe_target) {
            continue;
        }
        ping = send_ping(m, id, DW_PING_REQ, out);
        ping->seq = m->seq;
        ping->target = m->probe_target;
        ping->origin = m->self;
    }
    m->indirect_sent = true;
}

static bool
fail_probe(struct mbr *m, uint64_t now)
{
    struct mbr_peer *p = find_peer(m, m->probe_target);

    m->probe_target = 0;
    if (p == NULL || p->state != DW_M_ALIVE) {
        return false;
    }
    return set_state(m, p, now, DW_M_SUSPECT, p->incarnation);
}

static void
start_probe(struct mbr *m, uint64_t now, struct acts *out)
{
    dw_ping *ping;

    m->probe_target = next_probe_target(m);
    m->probe_ms = now;
    m->indirect_sent = false;
    if (m->probe_target == 0) {
        return;
    }
    ping = send_ping(m, m->probe_target, DW_PING, out);
    ping->seq = ++m->seq;
    ping->target = m->probe_target;
    ping->origin = m->self;
}

static bool
expire_suspects(struct mbr *m, uint64_t now)
{
    struct mbr_peer *p;
    bool changed = false;

    for (p = m->peers; p != NULL; p = p->hh.next) {
        if (p->state == DW_M_SUSPECT &&
            now - p->state_since_ms >= m->cfg.suspect_ms) {
            changed |= set_state(m, p, now, DW_M_DEAD, p->incarnation);
        }
    }
    return changed;
}

/*
 * After a pause of this process, answers wait unread while its timers have
 * expired: it would declare all peers dead at once.  So every suspicion starts
 * again; a process that is really dead is detected one period later.
 */
static void
restart_suspicions(struct mbr *m, uint64_t now)
{
    struct mbr_peer *p;

    m->probe_target = 0;
    m->probe_ms = now;
    for (p = m->peers; p != NULL; p = p->hh.next) {
        if (p->state == DW_M_SUSPECT) {
            p->state_since_ms = now;
        }
    }
}

bool
mbr_tick(struct mbr *m, uint64_t now, struct acts *out)
{
    bool changed = false;

    if (m->last_tick_ms != 0 && now - m->last_tick_ms > 2 * m->cfg.period_ms) {
        restart_suspicions(m, now);
    }
    m->last_tick_ms = now;
    if (now - m->suspects_checked_ms >= SUSPECT_CHECK_MS) {
        m->suspects_checked_ms = now;
        changed = expire_suspects(m, now);
    }
    if (m->probe_target != 0 && !m->indirect_sent &&
        now - m->probe_ms >= m->cfg.timeout_ms) {
        send_indirect_probes(m, out);
    }
    if (now - m->probe_ms >= m->cfg.period_ms) {
        if (m->probe_target != 0) {
            changed |= fail_probe(m, now);
        }
        start_probe(m, now, out);
    }
    return changed;
}

static bool
supersedes(const dw_update *u, const struct mbr_peer *p)
{
    switch (u->state) {
    case DW_M_ALIVE:
        return u->round > p->incarnation;
    case DW_M_SUSPECT:
        return u->round > p->incarnation ||
               (u->round == p->incarnation && p->state == DW_M_ALIVE);
    case DW_M_DEAD:
        return u->round >= p->incarnation && p->state != DW_M_DEAD;
    }
    return false;
}

static bool
apply_update(struct mbr *m, uint64_t now, uint64_t from, const dw_update *u)
{
    struct mbr_peer *p = find_peer(m, u->id);

    if (u->id == m->self) {
        if (u->state != DW_M_ALIVE && u->round >= m->incarnation) {
            m->incarnation = u->round + 1;
        }
        return false;
    }
    if (p == NULL) {
        return false;
    }
    if (u->id == from) {
        p->heard_ms = now;
        p->rev = u->rev;
        p->load = u->load;
        p->have_load = true;
    }
    if (supersedes(u, p)) {
        return set_state(m, p, now, u->state, u->round);
    }
    return false;
}

static void
on_ping(struct mbr *m, uint64_t from, const dw_ping *ping, struct acts *out)
{
    dw_ping *ack = send_ping(m, from, DW_PING_ACK, out);

    ack->seq = ping->seq;
    ack->target = ping->target;
    ack->origin = ping->origin;
}

static void
on_ack(struct mbr *m, const dw_ping *ack, struct acts *out)
{
    dw_ping *forwarded;

    if (ack->origin != m->self) {
        forwarded = send_ping(m, ack->origin, DW_PING_ACK, out);
        forwarded->seq = ack->seq;
        forwarded->target = ack->target;
        forwarded->origin = ack->origin;
        return;
    }
    if (ack->target == m->probe_target && ack->seq == m->seq) {
        m->probe_target = 0;
    }
}

static void
on_ping_req(struct mbr *m, const dw_ping *req, struct acts *out)
{
    dw_ping *ping = send_ping(m, req->target, DW_PING, out);

    ping->seq = req->seq;
    ping->target = req->target;
    ping->origin = req->origin;
}

bool
mbr_handle_message(struct mbr *m, uint64_t now, uint64_t from,
    const dw_msg *msg, struct acts *out)
{
    const dw_ping *ping = &msg->dw_msg_u.ping;
    bool changed = false;

    for (u_int i = 0; i < ping->updates.updates_len; i++) {
        changed |= apply_update(m, now, from, &ping->updates.updates_val[i]);
    }
    if (msg->type == DW_PING) {
        on_ping(m, from, ping, out);
    }
    else if (msg->type == DW_PING_ACK) {
        on_ack(m, ping, out);
    }
    else {
        on_ping_req(m, ping, out);
    }
    return changed;
}

bool
mbr_conn_refused(struct mbr *m, uint64_t now, uint64_t id)
{
    struct mbr_peer *p = find_peer(m, id);
    bool changed;

    if (p == NULL || p->conn_refused) {
        return false;
    }
    changed = set_state(m, p, now, DW_M_DEAD, p->incarnation);
    p->conn_refused = true;
    return changed;
}

void
mbr_request_load(struct mbr *m, uint64_t id, struct acts *out)
{
    dw_ping *ping = send_ping(m, id, DW_PING, out);

    /* No probe has this number, so the answer completes none. */
    ping->seq = 0;
    ping->target = id;
    ping->origin = m->self;
}
