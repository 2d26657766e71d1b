#include "relay.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "num.h"

/* ms after the end of its session until an origin and its newest session
 * number are forgotten; messages of that session are too old to be accepted
 * long before. */
#define FORGET_MS 60000U
/* Processor use that a forwarded request is assumed to add to its peer until
 * the peer's next report. */
#define FORWARDED_PERMILLE 10U

/* Expected processor use up to which requests are forwarded to a peer because
 * of its wait; at this use it stops accepting. */
#define WAIT_BUSY_PERMILLE 500U

#define PATH_HASH_SEED 0x70617468U

/* Bytes of a reply's reason, which is one word, with its NUL. */
#define REASON_MAX 64U

static const dw_how outcome_codes[] = {
    [CO_COMPLETED] = DW_HOW_COMPLETED,
    [CO_FAILED] = DW_HOW_FAILED,
    [CO_GAVE_UP] = DW_HOW_GAVE_UP,
    [CO_NOT_RUN] = DW_HOW_NOT_RUN,
};

/* An unknown code does not rule out that the request has run. */
static enum co_outcome
outcome_of(dw_how code)
{
    for (size_t i = 0; i < sizeof(outcome_codes) / sizeof(outcome_codes[0]);
         i++) {
        if (outcome_codes[i] == code) {
            return (enum co_outcome)i;
        }
    }
    return CO_GAVE_UP;
}

struct rl_forwarded {
    uint64_t ref;
    void *handle;
    uint64_t path_hash;
    struct rl_forwarded *prev;
    struct rl_forwarded *next;
};

/* A cancelled request: its peer stops the tasks, which takes a while. */
struct rl_cancelled {
    uint64_t path_hash;
    uint64_t peer;
    uint64_t at_ms;
    UT_hash_handle hh;
};

/* --- origin side --- */

static struct rl_peer *
find_peer(const struct relay *r, uint64_t id)
{
    struct rl_peer *p;

    HASH_FIND(hh, r->peers, &id, sizeof(id), p);
    return p;
}

static void
remove_forwarded(struct rl_peer *p, struct rl_forwarded *f)
{
    DL_DELETE(p->forwarded, f);
    free(f);
}

/* Requests forwarded to the peer may have run: only the peer could report that
 * they have not. */
static void
end_peer_session(
    struct relay *r, uint64_t now, struct rl_peer *p, const char *reason)
{
    if (p->session_open) {
        r->ops->note(r->ctx, p->id, reason, now - p->sess.peer_clock_at_ms);
    }
    p->session_open = false;
    p->accepting = false;
    msg_free(p->batch);
    p->batch = NULL;
    sess_end(&p->sess);
    p->waits = (struct bl_peer){0};
    while (p->forwarded != NULL) {
        void *handle = p->forwarded->handle;

        remove_forwarded(p, p->forwarded);
        r->ops->answer(r->ctx, handle, CO_GAVE_UP, "taker_lost", 0);
    }
}

static void
free_peer(struct relay *r, struct rl_peer *p)
{
    while (p->forwarded != NULL) {
        remove_forwarded(p, p->forwarded);
    }
    msg_free(p->batch);
    sess_end(&p->sess);
    HASH_DEL(r->peers, p);
    free(p);
}

void
rl_add_entry(struct relay *r, uint64_t id)
{
    struct rl_peer *p = find_peer(r, id);

    if (p != NULL || id == r->self) {
        return;
    }
    p = dw_zero(1, sizeof(*p));
    p->id = id;
    sess_init(&p->sess);
    HASH_ADD(hh, r->peers, id, sizeof(p->id), p);
}

void
rl_remove_entry(struct relay *r, uint64_t id)
{
    struct rl_peer *p = find_peer(r, id);

    /* An open session is better evidence that the entry is alive than the
     * list. */
    if (p != NULL && !p->session_open) {
        free_peer(r, p);
    }
}

void
rl_broadcast(const struct relay *r, const dw_msg *m)
{
    const struct rl_peer *p;

    for (p = r->peers; p != NULL; p = p->hh.next) {
        r->ops->send(r->ctx, p->id, m);
    }
}

void
rl_need_peers(struct relay *r, uint64_t now)
{
    r->peers_needed_ms = now;
}

static dw_relay *
batch_for(struct rl_peer *p)
{
    if (p->batch == NULL) {
        p->batch = dw_zero(1, sizeof(*p->batch));
        p->batch->type = DW_RELAY;
    }
    return &p->batch->dw_msg_u.relay;
}

static uint32_t
expected_busy(const struct rl_peer *p)
{
    return p->busy_permille +
           (uint32_t)p->forwarded_since_report * FORWARDED_PERMILLE;
}

/* It accepts requests and its configuration is not older than this entry's. */
static bool
is_usable(const struct relay *r, uint64_t now, const struct rl_peer *p)
{
    return p->session_open && p->accepting && sess_live(&p->sess, now) &&
           p->config_version >= r->state.config_version;
}

/* The least busy peer that may be used. */
static struct rl_peer *
pick_peer(const struct relay *r, uint64_t now)
{
    struct rl_peer *best = NULL;
    struct rl_peer *p;

    for (p = r->peers; p != NULL; p = p->hh.next) {
        if (is_usable(r, now, p) &&
            (best == NULL || expected_busy(p) < expected_busy(best))) {
            best = p;
        }
    }
    return best;
}

static void
forward_to(struct relay *r, struct rl_peer *p, void *handle, struct str host,
    struct str path, struct str body, uint32_t remaining_ms)
{
    struct rl_forwarded *f;
    dw_relay *m;
    dw_request *q;

    f = dw_zero(1, sizeof(*f));
    f->ref = ++r->next_ref;
    f->handle = handle;
    f->path_hash = str_hash(path, PATH_HASH_SEED);
    DL_APPEND(p->forwarded, f);
    p->forwarded_since_report++;
    m = batch_for(p);
    m->requests.requests_val = dw_grow(
        m->requests.requests_val, (m->requests.requests_len + 1) * sizeof(*q));
    q = &m->requests.requests_val[m->requests.requests_len++];
    q->ref = f->ref;
    q->host = str_to_bytes(host);
    q->path = str_to_bytes(path);
    q->body = str_to_bytes(body);
    q->left_ms = remaining_ms;
}

bool
rl_forward(struct relay *r, uint64_t now, void *handle, struct str host,
    struct str path, struct str body, uint32_t remaining_ms)
{
    struct rl_peer *p = pick_peer(r, now);

    if (p != NULL) {
        forward_to(r, p, handle, host, path, body, remaining_ms);
    }
    return p != NULL;
}

static struct rl_forwarded *
find_forwarded(const struct relay *r, struct str path, struct rl_peer **peer)
{
    uint64_t hash = str_hash(path, PATH_HASH_SEED);
    struct rl_peer *p;
    struct rl_forwarded *f;

    for (p = r->peers; p != NULL; p = p->hh.next) {
        DL_FOREACH (p->forwarded, f) {
            if (f->path_hash == hash) {
                *peer = p;
                return f;
            }
        }
    }
    return NULL;
}

static struct rl_cancelled *
find_cancelled(const struct relay *r, uint64_t now, struct str path)
{
    uint64_t hash = str_hash(path, PATH_HASH_SEED);
    struct rl_cancelled *k;

    HASH_FIND(hh, r->cancelled, &hash, sizeof(hash), k);
    return k != NULL && now - k->at_ms < RL_RESEND_MS ? k : NULL;
}

static void
forget_cancelled(struct relay *r, struct rl_cancelled *k)
{
    HASH_DEL(r->cancelled, k);
    free(k);
}

static void
remember_cancelled(
    struct relay *r, uint64_t now, uint64_t path_hash, uint64_t peer)
{
    struct rl_cancelled *k;

    HASH_FIND(hh, r->cancelled, &path_hash, sizeof(path_hash), k);
    if (k != NULL) {
        forget_cancelled(r, k);
    }
    else if (HASH_COUNT(r->cancelled) >= RL_CANCELLED_MAX) {
        forget_cancelled(r, r->cancelled);
    }
    k = dw_zero(1, sizeof(*k));
    k->path_hash = path_hash;
    k->peer = peer;
    k->at_ms = now;
    HASH_ADD(hh, r->cancelled, path_hash, sizeof(k->path_hash), k);
}

static void
expire_cancelled(struct relay *r, uint64_t now)
{
    while (r->cancelled != NULL && now - r->cancelled->at_ms >= RL_RESEND_MS) {
        forget_cancelled(r, r->cancelled);
    }
}

bool
rl_may_run_elsewhere(const struct relay *r, uint64_t now, struct str path)
{
    struct rl_peer *p;

    return find_forwarded(r, path, &p) != NULL ||
           find_cancelled(r, now, path) != NULL;
}

enum rl_copy
rl_forward_copy(struct relay *r, uint64_t now, void *handle, struct str host,
    struct str path, struct str body, uint32_t remaining_ms)
{
    struct rl_peer *p = NULL;
    const struct rl_cancelled *k;

    if (find_forwarded(r, path, &p) == NULL) {
        k = find_cancelled(r, now, path);
        if (k == NULL) {
            return RL_NO_COPY;
        }
        p = find_peer(r, k->peer);
    }
    if (p == NULL || !p->session_open) {
        return RL_COPY_LOST;
    }
    forward_to(r, p, handle, host, path, body, remaining_ms);
    return RL_COPY_SENT;
}

/* The peer with the shortest wait of those to which requests of this kind may
 * be forwarded and which would start it before its caller leaves; peers with
 * equal waits take turns. */
static struct rl_peer *
pick_by_wait(const struct relay *r, uint64_t now, struct str service,
    uint32_t priority, uint32_t remaining_ms)
{
    struct rl_peer *best = NULL;
    double best_ms = 0;
    struct rl_peer *p;

    for (p = r->peers; p != NULL; p = p->hh.next) {
        double wait_ms = 0;

        if (!is_usable(r, now, p) || expected_busy(p) >= WAIT_BUSY_PERMILLE ||
            !bl_should_forward(
                &p->waits, now, &r->own_waits, service, priority, &wait_ms) ||
            wait_ms >= remaining_ms) {
            continue;
        }
        if (best == NULL || wait_ms < best_ms ||
            (wait_ms <= best_ms &&
                mix64(r->next_ref, p->id) < mix64(r->next_ref, best->id))) {
            best = p;
            best_ms = wait_ms;
        }
    }
    return best;
}

bool
rl_forward_by_wait(struct relay *r, uint64_t now, void *handle,
    struct str service, uint32_t priority, struct str host, struct str path,
    struct str body, uint32_t remaining_ms)
{
    struct rl_peer *p = pick_by_wait(r, now, service, priority, remaining_ms);

    if (p == NULL) {
        return false;
    }
    forward_to(r, p, handle, host, path, body, remaining_ms);
    bl_forwarded(&p->waits, &r->own_waits, service, priority);
    r->forwarded_by_wait++;
    return true;
}

void
rl_receive_waits(
    struct relay *r, uint64_t now, uint64_t from, const dw_waits *m)
{
    struct rl_peer *p = find_peer(r, from);

    if (p != NULL && p->session_open &&
        bl_receive(&p->waits, now, p->sess.number, m)) {
        r->reports_received++;
    }
    else {
        r->reports_ignored++;
    }
}

void *
rl_find(const struct relay *r, struct str path)
{
    struct rl_peer *p;
    const struct rl_forwarded *f = find_forwarded(r, path, &p);

    return f != NULL ? f->handle : NULL;
}

static void
add_cancellation(struct rl_peer *p, uint64_t ref)
{
    dw_relay *m = batch_for(p);

    m->left.left_val = dw_grow(
        m->left.left_val, (m->left.left_len + 1) * sizeof(*m->left.left_val));
    m->left.left_val[m->left.left_len++] = ref;
}

bool
rl_cancel(struct relay *r, uint64_t now, const void *handle)
{
    struct rl_peer *p;
    struct rl_forwarded *f;

    for (p = r->peers; p != NULL; p = p->hh.next) {
        DL_FOREACH (p->forwarded, f) {
            if (f->handle == handle) {
                add_cancellation(p, f->ref);
                remember_cancelled(r, now, f->path_hash, p->id);
                remove_forwarded(p, f);
                return true;
            }
        }
    }
    return false;
}

void
rl_give_up(struct relay *r, uint64_t now, const char *reason)
{
    struct rl_peer *p;

    for (p = r->peers; p != NULL; p = p->hh.next) {
        while (p->forwarded != NULL) {
            void *handle = p->forwarded->handle;

            rl_cancel(r, now, handle);
            r->ops->answer(r->ctx, handle, CO_GAVE_UP, reason, 0);
        }
    }
}

static void
handle_reply(struct relay *r, struct rl_peer *p, const dw_reply *reply)
{
    struct rl_forwarded *f;
    char reason[REASON_MAX];
    void *handle;

    DL_FOREACH (p->forwarded, f) {
        if (f->ref == reply->ref) {
            break;
        }
    }
    if (f == NULL) {
        return;
    }
    handle = f->handle;
    remove_forwarded(p, f);
    str_copy(reason, sizeof(reason), str_bytes(&reply->reason));
    r->ops->answer(
        r->ctx, handle, outcome_of(reply->how), reason, reply->retry_ms);
}

void
rl_receive_replies(
    struct relay *r, uint64_t now, uint64_t from, const dw_relayed *m)
{
    struct rl_peer *p = find_peer(r, from);
    enum sess_verdict v;

    if (p == NULL) {
        return;
    }
    v = sess_receive(&p->sess, now, &m->head);
    if (v == SESS_DROP) {
        return;
    }
    if (!p->session_open) {
        p->session_open = true;
        r->ops->note(r->ctx, p->id, "taker_live", 0);
    }
    p->accepting = m->willing;
    p->busy_permille = m->busy_permille;
    p->config_version = m->config;
    p->forwarded_since_report = 0;
    if (m->willing) {
        p->last_accepting_ms = now;
    }
    for (u_int i = 0; v == SESS_DELIVER && i < m->replies.replies_len; i++) {
        handle_reply(r, p, &m->replies.replies_val[i]);
    }
}

static void
send_heartbeat(struct relay *r, uint64_t now, struct rl_peer *p)
{
    dw_msg m;

    memset(&m, 0, sizeof(m));
    m.type = DW_RELAY;
    sess_fill_head(&p->sess, now, &m);
    r->ops->send(r->ctx, p->id, &m);
}

static void
tick_peer(struct relay *r, uint64_t now, struct rl_peer *p)
{
    if (p->session_open && !sess_live(&p->sess, now)) {
        end_peer_session(r, now, p, "taker_silent");
    }
    if (!p->selected) {
        return;
    }
    if (now - p->last_accepting_ms > RL_REPLACE_MS && p->forwarded == NULL) {
        p->selected = false;
        p->retry_at_ms = now + RL_RETRY_MS;
        end_peer_session(r, now, p, "taker_left_out");
        return;
    }
    if (!p->session_open &&
        (p->sess.number == 0 || now - p->opened_ms > SESS_LEASE_MS)) {
        sess_begin(&p->sess, (now << 16) | (mix64(r->self, p->id) & 0xffff));
        p->opened_ms = now;
    }
    if (now - p->sess.last_sent_ms >= RL_HEARTBEAT_MS) {
        send_heartbeat(r, now, p);
    }
    sess_resend(&p->sess, now, p->id, r->ops->send, r->ctx);
}

/* The next entry to select as a peer; each entry tries the others in an order
 * of its own. */
static struct rl_peer *
next_candidate(const struct relay *r, uint64_t now)
{
    struct rl_peer *best = NULL;
    uint64_t least_hash = 0;
    struct rl_peer *p;

    for (p = r->peers; p != NULL; p = p->hh.next) {
        uint64_t hash = mix64(r->self, p->id);

        if (!p->selected && now >= p->retry_at_ms &&
            (best == NULL || hash < least_hash)) {
            best = p;
            least_hash = hash;
        }
    }
    return best;
}

static void
select_peers(struct relay *r, uint64_t now)
{
    bool needed =
        r->peers_needed_ms != 0 && now - r->peers_needed_ms < RL_IDLE_CLOSE_MS;
    uint32_t limit = r->balancing ? RL_WAIT_PEERS_MAX : RL_PEERS_MAX;
    struct rl_peer *p;
    uint32_t selected = 0;

    for (p = r->peers; p != NULL; p = p->hh.next) {
        if (p->selected && !needed && p->forwarded == NULL) {
            p->selected = false;
            end_peer_session(r, now, p, "taker_not_needed");
        }
        selected += p->selected;
    }
    while (needed && selected < limit) {
        p = next_candidate(r, now);
        if (p == NULL) {
            break;
        }
        p->selected = true;
        p->last_accepting_ms = now;
        selected++;
    }
}

/* --- peer side --- */

static void
free_accepted(struct rl_accepted *a)
{
    DL_DELETE(a->origin->accepted, a);
    free(a->host);
    free(a->path);
    buf_free(&a->body);
    free(a);
}

static void
end_origin_session(
    struct relay *r, uint64_t now, struct rl_origin *o, const char *reason)
{
    if (o->session_open) {
        r->ops->note(r->ctx, o->id, reason, now - o->sess.own_clock_echo_ms);
    }
    o->session_open = false;
    o->ended_ms = now;
    msg_free(o->batch);
    o->batch = NULL;
    bl_reset_report(&o->waits);
    sess_end(&o->sess);
    while (o->accepted != NULL) {
        r->ops->cancel(r->ctx, o->accepted);
        free_accepted(o->accepted);
    }
}

static void
free_origin(struct relay *r, struct rl_origin *o)
{
    while (o->accepted != NULL) {
        free_accepted(o->accepted);
    }
    msg_free(o->batch);
    bl_reset_report(&o->waits);
    sess_end(&o->sess);
    HASH_DEL(r->origins, o);
    free(o);
}

static struct rl_origin *
find_origin(struct relay *r, uint64_t id, bool add)
{
    struct rl_origin *o;

    HASH_FIND(hh, r->origins, &id, sizeof(id), o);
    if (o == NULL && add) {
        o = dw_zero(1, sizeof(*o));
        o->id = id;
        sess_init(&o->sess);
        HASH_ADD(hh, r->origins, id, sizeof(o->id), o);
    }
    return o;
}

static void
accept_request(struct relay *r, struct rl_origin *o, const dw_request *q)
{
    struct rl_accepted *a = dw_zero(1, sizeof(*a));

    a->ref = q->ref;
    a->origin = o;
    a->host = str_dup(str_bytes(&q->host));
    a->path = str_dup(str_bytes(&q->path));
    buf_add(&a->body, str_bytes(&q->body));
    a->remaining_ms = q->left_ms;
    DL_APPEND(o->accepted, a);
    r->ops->start(r->ctx, a);
}

static void
cancel_request(struct relay *r, struct rl_origin *o, uint64_t ref)
{
    struct rl_accepted *a;

    DL_FOREACH (o->accepted, a) {
        if (a->ref == ref) {
            r->ops->cancel(r->ctx, a);
            free_accepted(a);
            return;
        }
    }
}

static void
fill_state(const struct relay *r, dw_relayed *m)
{
    m->willing = r->state.accepting;
    m->busy_permille = r->state.busy_permille;
    m->config = r->state.config_version;
}

static void
send_state(struct relay *r, uint64_t now, struct rl_origin *o)
{
    dw_msg m;

    memset(&m, 0, sizeof(m));
    m.type = DW_RELAYED;
    fill_state(r, &m.dw_msg_u.relayed);
    sess_fill_head(&o->sess, now, &m);
    r->ops->send(r->ctx, o->id, &m);
}

static void
start_session(
    struct relay *r, uint64_t now, struct rl_origin *o, const dw_head *head)
{
    if (o->sess.number != 0) {
        end_origin_session(r, now, o, "giver_anew");
    }
    sess_begin(&o->sess, head->session);
    o->newest_session = head->session;
    o->started_ms = now;
    o->session_open = true;
}

void
rl_receive_requests(
    struct relay *r, uint64_t now, uint64_t from, const dw_relay *m)
{
    struct rl_origin *o = find_origin(r, from, true);
    enum sess_verdict v;

    if (m->head.session > o->newest_session) {
        start_session(r, now, o, &m->head);
    }
    v = sess_receive(&o->sess, now, &m->head);
    if (v == SESS_DELIVER) {
        for (u_int i = 0; i < m->requests.requests_len; i++) {
            accept_request(r, o, &m->requests.requests_val[i]);
        }
        for (u_int i = 0; i < m->left.left_len; i++) {
            cancel_request(r, o, m->left.left_val[i]);
        }
    }
    /* An origin that reads late needs a recent clock to echo. */
    if (v != SESS_DROP ||
        (o->session_open && o->sess.own_clock_echo_ms == 0)) {
        send_state(r, now, o);
    }
}

void
rl_reply(struct rl_accepted *a, enum co_outcome outcome, const char *reason,
    uint32_t retry_ms)
{
    struct rl_origin *o = a->origin;
    dw_relayed *m;
    dw_reply *reply;

    if (o->batch == NULL) {
        o->batch = dw_zero(1, sizeof(*o->batch));
        o->batch->type = DW_RELAYED;
    }
    m = &o->batch->dw_msg_u.relayed;
    m->replies.replies_val = dw_grow(
        m->replies.replies_val, (m->replies.replies_len + 1) * sizeof(*reply));
    reply = &m->replies.replies_val[m->replies.replies_len++];
    reply->ref = a->ref;
    reply->how = outcome_codes[outcome];
    reply->retry_ms = retry_ms;
    reply->reason = str_to_bytes(str_of(reason));
    free_accepted(a);
}

/* The last time at which the origin was certainly alive. */
static uint64_t
last_alive_ms(const struct rl_origin *o)
{
    return o->sess.own_clock_echo_ms != 0 ? o->sess.own_clock_echo_ms
                                          : o->started_ms;
}

static void
report_waits(struct relay *r, uint64_t now, struct rl_origin *o)
{
    dw_msg m;

    memset(&m, 0, sizeof(m));
    bl_fill_report(&o->waits, now, &r->own_waits, o->sess.number, &m);
    r->ops->send(r->ctx, o->id, &m);
    free(m.dw_msg_u.waits.rows.rows_val);
    r->reports_sent++;
}

static void
tick_origin(struct relay *r, uint64_t now, struct rl_origin *o)
{
    if (!o->session_open) {
        return;
    }
    if (now - last_alive_ms(o) >= SESS_LEASE_MS) {
        end_origin_session(r, now, o, "giver_silent");
        return;
    }
    sess_resend(&o->sess, now, o->id, r->ops->send, r->ctx);
    if (sess_heartbeat_due(&o->sess, now)) {
        send_state(r, now, o);
    }
    if (r->balancing && bl_report_due(&o->waits, now, &r->own_waits)) {
        report_waits(r, now, o);
    }
}

/* --- both sides --- */

void
rl_init(struct relay *r, const struct rl_ops *ops, void *ctx, uint64_t self)
{
    *r = (struct relay){0};
    r->ops = ops;
    r->ctx = ctx;
    r->self = self;
}

void
rl_free(struct relay *r)
{
    struct rl_peer *p;
    struct rl_peer *p_tmp;
    struct rl_origin *o;
    struct rl_origin *o_tmp;

    while (r->cancelled != NULL) {
        forget_cancelled(r, r->cancelled);
    }
    HASH_ITER (hh, r->peers, p, p_tmp) {
        free_peer(r, p);
    }
    HASH_ITER (hh, r->origins, o, o_tmp) {
        free_origin(r, o);
    }
}

void
rl_set_state(struct relay *r, const struct rl_state *state)
{
    r->state = *state;
}

void
rl_set_waits(struct relay *r, uint64_t now, const struct bl_waits *waits)
{
    r->balancing = true;
    bl_update(&r->own_waits, now, waits);
    if (bl_longest_ms(&r->own_waits) >= BL_NEED_PEERS_MS) {
        rl_need_peers(r, now);
    }
}

void
rl_process_dead(struct relay *r, uint64_t now, uint64_t id)
{
    struct rl_peer *p = find_peer(r, id);
    struct rl_origin *o = find_origin(r, id, false);

    if (p != NULL) {
        end_peer_session(r, now, p, "taker_dead");
    }
    if (o != NULL && o->session_open) {
        end_origin_session(r, now, o, "giver_dead");
    }
}

void
rl_tick(struct relay *r, uint64_t now)
{
    struct rl_peer *p;
    struct rl_origin *o;
    struct rl_origin *tmp;

    HASH_ITER (hh, r->origins, o, tmp) {
        tick_origin(r, now, o);
        if (!o->session_open && now - o->ended_ms > FORGET_MS) {
            free_origin(r, o);
        }
    }
    expire_cancelled(r, now);
    select_peers(r, now);
    for (p = r->peers; p != NULL; p = p->hh.next) {
        tick_peer(r, now, p);
    }
}

void
rl_flush(struct relay *r, uint64_t now)
{
    struct rl_peer *p;
    struct rl_origin *o;

    for (p = r->peers; p != NULL; p = p->hh.next) {
        if (p->batch != NULL) {
            sess_enqueue(&p->sess, now, p->batch);
            r->ops->send(r->ctx, p->id, p->batch);
            p->batch = NULL;
        }
    }
    for (o = r->origins; o != NULL; o = o->hh.next) {
        if (o->batch != NULL) {
            fill_state(r, &o->batch->dw_msg_u.relayed);
            sess_enqueue(&o->sess, now, o->batch);
            r->ops->send(r->ctx, o->id, o->batch);
            o->batch = NULL;
        }
    }
}

bool
rl_replies_delivered(const struct relay *r)
{
    const struct rl_origin *o;

    for (o = r->origins; o != NULL; o = o->hh.next) {
        if (o->session_open && (o->batch != NULL || o->sess.head != NULL)) {
            return false;
        }
    }
    return true;
}
