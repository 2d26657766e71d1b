#include "relay.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "num.h"

/* ms after its session that a giver is forgotten; messages of an earlier
 * session are too old to be taken long before. */
#define FORGET_MS 60000U
/* Taken to make its taker so much busier, until that tells. */
#define GIVEN_PERMILLE 10U

#define PATH_SEED 0x70617468U

/* Of a reply's reason, one word. */
#define REASON_MAX 64U

static const dw_how hows[] = {
    [CO_COMPLETED] = DW_HOW_COMPLETED,
    [CO_FAILED] = DW_HOW_FAILED,
    [CO_GAVE_UP] = DW_HOW_GAVE_UP,
    [CO_NOT_RUN] = DW_HOW_NOT_RUN,
};

/* What is not understood may have run. */
static enum co_outcome
outcome_of(dw_how how)
{
    for (size_t i = 0; i < sizeof(hows) / sizeof(hows[0]); i++) {
        if (hows[i] == how) {
            return (enum co_outcome)i;
        }
    }
    return CO_GAVE_UP;
}

struct rl_given {
    uint64_t ref;
    void *handle;
    uint64_t path_hash;
    struct rl_given *prev;
    struct rl_given *next;
};

/* --- the giver's side --- */

static struct rl_taker *
find_taker(const struct relay *r, uint64_t id)
{
    struct rl_taker *t;

    HASH_FIND(hh, r->takers, &id, sizeof(id), t);
    return t;
}

static void
remove_given(struct rl_taker *t, struct rl_given *g)
{
    DL_DELETE(t->given, g);
    free(g);
}

/* What it was given may run there; nobody else can say that it has not. */
static void
end_taker(struct relay *r, uint64_t now, struct rl_taker *t, const char *why)
{
    if (t->live) {
        r->ops->note(r->ctx, t->id, why, now - t->sess.heard_ms);
    }
    t->live = false;
    t->willing = false;
    msg_free(t->batch);
    t->batch = NULL;
    sess_end(&t->sess);
    while (t->given != NULL) {
        void *handle = t->given->handle;

        remove_given(t, t->given);
        r->ops->answer(r->ctx, handle, CO_GAVE_UP, "taker_lost", 0);
    }
}

static void
free_taker(struct relay *r, struct rl_taker *t)
{
    while (t->given != NULL) {
        remove_given(t, t->given);
    }
    msg_free(t->batch);
    sess_end(&t->sess);
    HASH_DEL(r->takers, t);
    free(t);
}

void
rl_entry_in(struct relay *r, uint64_t id)
{
    struct rl_taker *t = find_taker(r, id);

    if (t != NULL || id == r->self) {
        return;
    }
    t = dw_zero(1, sizeof(*t));
    t->id = id;
    sess_init(&t->sess);
    HASH_ADD(hh, r->takers, id, sizeof(t->id), t);
}

void
rl_entry_out(struct relay *r, uint64_t id)
{
    struct rl_taker *t = find_taker(r, id);

    /* The session shows better than the list who lives. */
    if (t != NULL && !t->live) {
        free_taker(r, t);
    }
}

void
rl_need(struct relay *r, uint64_t now)
{
    r->needed_ms = now;
}

static dw_relay *
batch_for(struct rl_taker *t)
{
    if (t->batch == NULL) {
        t->batch = dw_zero(1, sizeof(*t->batch));
        t->batch->type = DW_RELAY;
    }
    return &t->batch->dw_msg_u.relay;
}

static uint32_t
expected_busy(const struct rl_taker *t)
{
    return t->busy_permille + (uint32_t)t->given_since * GIVEN_PERMILLE;
}

/* The least busy; none that knows an older configuration. */
static struct rl_taker *
pick_taker(const struct relay *r, uint64_t now)
{
    struct rl_taker *best = NULL;
    struct rl_taker *t;

    for (t = r->takers; t != NULL; t = t->hh.next) {
        if (t->live && t->willing && sess_live(&t->sess, now) &&
            t->version >= r->state.version &&
            (best == NULL || expected_busy(t) < expected_busy(best))) {
            best = t;
        }
    }
    return best;
}

bool
rl_give(struct relay *r, uint64_t now, void *handle, struct str host,
    struct str path, struct str body, uint32_t left_ms)
{
    struct rl_taker *t = pick_taker(r, now);
    struct rl_given *g;
    dw_relay *m;
    dw_request *q;

    if (t == NULL) {
        return false;
    }
    g = dw_zero(1, sizeof(*g));
    g->ref = ++r->next_ref;
    g->handle = handle;
    g->path_hash = str_hash(path, PATH_SEED);
    DL_APPEND(t->given, g);
    t->given_since++;
    m = batch_for(t);
    m->requests.requests_val = dw_grow(
        m->requests.requests_val, (m->requests.requests_len + 1) * sizeof(*q));
    q = &m->requests.requests_val[m->requests.requests_len++];
    q->ref = g->ref;
    q->host = str_to_bytes(host);
    q->path = str_to_bytes(path);
    q->body = str_to_bytes(body);
    q->left_ms = left_ms;
    return true;
}

void *
rl_find(const struct relay *r, struct str path)
{
    uint64_t hash = str_hash(path, PATH_SEED);
    const struct rl_taker *t;
    const struct rl_given *g;

    for (t = r->takers; t != NULL; t = t->hh.next) {
        DL_FOREACH (t->given, g) {
            if (g->path_hash == hash) {
                return g->handle;
            }
        }
    }
    return NULL;
}

static void
tell_left(struct rl_taker *t, uint64_t ref)
{
    dw_relay *m = batch_for(t);

    m->left.left_val = dw_grow(
        m->left.left_val, (m->left.left_len + 1) * sizeof(*m->left.left_val));
    m->left.left_val[m->left.left_len++] = ref;
}

bool
rl_drop(struct relay *r, const void *handle)
{
    struct rl_taker *t;
    struct rl_given *g;

    for (t = r->takers; t != NULL; t = t->hh.next) {
        DL_FOREACH (t->given, g) {
            if (g->handle == handle) {
                tell_left(t, g->ref);
                remove_given(t, g);
                return true;
            }
        }
    }
    return false;
}

static void
take_reply(struct relay *r, struct rl_taker *t, const dw_reply *reply)
{
    struct rl_given *g;
    char reason[REASON_MAX];
    void *handle;

    DL_FOREACH (t->given, g) {
        if (g->ref == reply->ref) {
            break;
        }
    }
    if (g == NULL) {
        return;
    }
    handle = g->handle;
    remove_given(t, g);
    str_copy(reason, sizeof(reason), str_bytes(&reply->reason));
    r->ops->answer(
        r->ctx, handle, outcome_of(reply->how), reason, reply->retry_ms);
}

void
rl_replies(struct relay *r, uint64_t now, uint64_t from, const dw_relayed *m)
{
    struct rl_taker *t = find_taker(r, from);
    enum sess_verdict v;

    if (t == NULL) {
        return;
    }
    v = sess_take(&t->sess, now, &m->head);
    if (v == SESS_DROP) {
        return;
    }
    if (!t->live) {
        t->live = true;
        r->ops->note(r->ctx, t->id, "taker_live", 0);
    }
    t->willing = m->willing;
    t->busy_permille = m->busy_permille;
    t->version = m->config;
    t->given_since = 0;
    if (m->willing) {
        t->useful_ms = now;
    }
    for (u_int i = 0; v == SESS_TAKE && i < m->replies.replies_len; i++) {
        take_reply(r, t, &m->replies.replies_val[i]);
    }
}

static void
send_beat(struct relay *r, uint64_t now, struct rl_taker *t)
{
    dw_msg m;

    memset(&m, 0, sizeof(m));
    m.type = DW_RELAY;
    sess_stamp(&t->sess, now, &m);
    r->ops->send(r->ctx, t->id, &m);
}

static void
tend_taker(struct relay *r, uint64_t now, struct rl_taker *t)
{
    if (t->live && !sess_live(&t->sess, now)) {
        end_taker(r, now, t, "taker_silent");
    }
    if (!t->chosen) {
        return;
    }
    if (now - t->useful_ms > RL_USELESS_MS && t->given == NULL) {
        t->chosen = false;
        t->avoid_until_ms = now + RL_AVOID_MS;
        end_taker(r, now, t, "taker_left_out");
        return;
    }
    if (!t->live &&
        (t->sess.number == 0 || now - t->opened_ms > SESS_LEASE_MS)) {
        sess_begin(&t->sess, (now << 16) | (mix64(r->self, t->id) & 0xffff));
        t->opened_ms = now;
    }
    if (now - t->sess.sent_ms >= RL_BEAT_MS) {
        send_beat(r, now, t);
    }
    sess_resend(&t->sess, now, t->id, r->ops->send, r->ctx);
}

/* Each entry asks others in an order of its own. */
static struct rl_taker *
next_candidate(const struct relay *r, uint64_t now)
{
    struct rl_taker *best = NULL;
    uint64_t least = 0;
    struct rl_taker *t;

    for (t = r->takers; t != NULL; t = t->hh.next) {
        uint64_t score = mix64(r->self, t->id);

        if (!t->chosen && now >= t->avoid_until_ms &&
            (best == NULL || score < least)) {
            best = t;
            least = score;
        }
    }
    return best;
}

static void
choose_takers(struct relay *r, uint64_t now)
{
    bool needed = r->needed_ms != 0 && now - r->needed_ms < RL_KEEP_MS;
    struct rl_taker *t;
    uint32_t chosen = 0;

    for (t = r->takers; t != NULL; t = t->hh.next) {
        if (t->chosen && !needed && t->given == NULL) {
            t->chosen = false;
            end_taker(r, now, t, "taker_not_needed");
        }
        chosen += t->chosen;
    }
    while (needed && chosen < RL_TAKERS) {
        t = next_candidate(r, now);
        if (t == NULL) {
            break;
        }
        t->chosen = true;
        t->useful_ms = now;
        chosen++;
    }
}

/* --- the taker's side --- */

static void
free_taken(struct rl_taken *t)
{
    DL_DELETE(t->giver->taken, t);
    free(t->host);
    free(t->path);
    buf_free(&t->body);
    free(t);
}

static void
end_giver(struct relay *r, uint64_t now, struct rl_giver *g, const char *why)
{
    if (g->open) {
        r->ops->note(r->ctx, g->id, why, now - g->sess.fresh_ms);
    }
    g->open = false;
    g->ended_ms = now;
    msg_free(g->batch);
    g->batch = NULL;
    sess_end(&g->sess);
    while (g->taken != NULL) {
        r->ops->leave(r->ctx, g->taken);
        free_taken(g->taken);
    }
}

static void
free_giver(struct relay *r, struct rl_giver *g)
{
    while (g->taken != NULL) {
        free_taken(g->taken);
    }
    msg_free(g->batch);
    sess_end(&g->sess);
    HASH_DEL(r->givers, g);
    free(g);
}

static struct rl_giver *
find_giver(struct relay *r, uint64_t id, bool add)
{
    struct rl_giver *g;

    HASH_FIND(hh, r->givers, &id, sizeof(id), g);
    if (g == NULL && add) {
        g = dw_zero(1, sizeof(*g));
        g->id = id;
        sess_init(&g->sess);
        HASH_ADD(hh, r->givers, id, sizeof(g->id), g);
    }
    return g;
}

static void
take_request(struct relay *r, struct rl_giver *g, const dw_request *q)
{
    struct rl_taken *t = dw_zero(1, sizeof(*t));

    t->ref = q->ref;
    t->giver = g;
    t->host = str_dup(str_bytes(&q->host));
    t->path = str_dup(str_bytes(&q->path));
    buf_add(&t->body, str_bytes(&q->body));
    t->left_ms = q->left_ms;
    DL_APPEND(g->taken, t);
    r->ops->begin(r->ctx, t);
}

static void
caller_left(struct relay *r, struct rl_giver *g, uint64_t ref)
{
    struct rl_taken *t;

    DL_FOREACH (g->taken, t) {
        if (t->ref == ref) {
            r->ops->leave(r->ctx, t);
            free_taken(t);
            return;
        }
    }
}

static void
fill_state(const struct relay *r, dw_relayed *m)
{
    m->willing = r->state.willing;
    m->busy_permille = r->state.busy_permille;
    m->config = r->state.version;
}

static void
send_state(struct relay *r, uint64_t now, struct rl_giver *g)
{
    dw_msg m;

    memset(&m, 0, sizeof(m));
    m.type = DW_RELAYED;
    fill_state(r, &m.dw_msg_u.relayed);
    sess_stamp(&g->sess, now, &m);
    r->ops->send(r->ctx, g->id, &m);
}

static void
begin_session(
    struct relay *r, uint64_t now, struct rl_giver *g, const dw_head *head)
{
    if (g->sess.number != 0) {
        end_giver(r, now, g, "giver_anew");
    }
    sess_begin(&g->sess, head->session);
    g->newest = head->session;
    g->begun_ms = now;
    g->open = true;
}

void
rl_take(struct relay *r, uint64_t now, uint64_t from, const dw_relay *m)
{
    struct rl_giver *g = find_giver(r, from, true);
    enum sess_verdict v;

    if (m->head.session > g->newest) {
        begin_session(r, now, g, &m->head);
    }
    v = sess_take(&g->sess, now, &m->head);
    if (v == SESS_TAKE) {
        for (u_int i = 0; i < m->requests.requests_len; i++) {
            take_request(r, g, &m->requests.requests_val[i]);
        }
        for (u_int i = 0; i < m->left.left_len; i++) {
            caller_left(r, g, m->left.left_val[i]);
        }
    }
    /* Whoever reads late needs a fresh clock to echo. */
    if (v != SESS_DROP || (g->open && g->sess.fresh_ms == 0)) {
        send_state(r, now, g);
    }
}

void
rl_reply(struct rl_taken *t, enum co_outcome how, const char *reason,
    uint32_t retry_ms)
{
    struct rl_giver *g = t->giver;
    dw_relayed *m;
    dw_reply *reply;

    if (g->batch == NULL) {
        g->batch = dw_zero(1, sizeof(*g->batch));
        g->batch->type = DW_RELAYED;
    }
    m = &g->batch->dw_msg_u.relayed;
    m->replies.replies_val = dw_grow(
        m->replies.replies_val, (m->replies.replies_len + 1) * sizeof(*reply));
    reply = &m->replies.replies_val[m->replies.replies_len++];
    reply->ref = t->ref;
    reply->how = hows[how];
    reply->retry_ms = retry_ms;
    reply->reason = str_to_bytes(str_of(reason));
    free_taken(t);
}

/* When the giver was certainly alive last. */
static uint64_t
heard(const struct rl_giver *g)
{
    return g->sess.fresh_ms != 0 ? g->sess.fresh_ms : g->begun_ms;
}

static void
tend_giver(struct relay *r, uint64_t now, struct rl_giver *g)
{
    if (!g->open) {
        return;
    }
    if (now - heard(g) >= SESS_LEASE_MS) {
        end_giver(r, now, g, "giver_silent");
        return;
    }
    sess_resend(&g->sess, now, g->id, r->ops->send, r->ctx);
    if (sess_beat_due(&g->sess, now)) {
        send_state(r, now, g);
    }
}

/* --- both --- */

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
    struct rl_taker *t;
    struct rl_taker *t_tmp;
    struct rl_giver *g;
    struct rl_giver *g_tmp;

    HASH_ITER (hh, r->takers, t, t_tmp) {
        free_taker(r, t);
    }
    HASH_ITER (hh, r->givers, g, g_tmp) {
        free_giver(r, g);
    }
}

void
rl_tell(struct relay *r, const struct rl_state *state)
{
    r->state = *state;
}

void
rl_refused(struct relay *r, uint64_t now, uint64_t id)
{
    struct rl_taker *t = find_taker(r, id);
    struct rl_giver *g = find_giver(r, id, false);

    if (t != NULL) {
        end_taker(r, now, t, "taker_dead");
    }
    if (g != NULL && g->open) {
        end_giver(r, now, g, "giver_dead");
    }
}

void
rl_tick(struct relay *r, uint64_t now)
{
    struct rl_taker *t;
    struct rl_giver *g;
    struct rl_giver *tmp;

    HASH_ITER (hh, r->givers, g, tmp) {
        tend_giver(r, now, g);
        if (!g->open && now - g->ended_ms > FORGET_MS) {
            free_giver(r, g);
        }
    }
    choose_takers(r, now);
    for (t = r->takers; t != NULL; t = t->hh.next) {
        tend_taker(r, now, t);
    }
}

void
rl_flush(struct relay *r, uint64_t now)
{
    struct rl_taker *t;
    struct rl_giver *g;

    for (t = r->takers; t != NULL; t = t->hh.next) {
        if (t->batch != NULL) {
            sess_keep(&t->sess, now, t->batch);
            r->ops->send(r->ctx, t->id, t->batch);
            t->batch = NULL;
        }
    }
    for (g = r->givers; g != NULL; g = g->hh.next) {
        if (g->batch != NULL) {
            fill_state(r, &g->batch->dw_msg_u.relayed);
            sess_keep(&g->sess, now, g->batch);
            r->ops->send(r->ctx, g->id, g->batch);
            g->batch = NULL;
        }
    }
}

bool
rl_done(const struct relay *r)
{
    const struct rl_giver *g;

    for (g = r->givers; g != NULL; g = g->hh.next) {
        if (g->open && (g->batch != NULL || g->sess.head != NULL)) {
            return false;
        }
    }
    return true;
}
