#include "front.h"

#include "job.h"
#include "num.h"

#include <stdlib.h>
#include <string.h>

#define SCAN_MS 10
#define SHARE_RETRY_MS 50
#define HOME_SEED 0x686f6d65U

void
front_init(struct front *f, const struct front_cfg *cfg,
    const struct view *view, uint64_t self)
{
    memset(f, 0, sizeof(*f));
    f->cfg = *cfg;
    f->view = view;
    f->seed = mix64(self, 5);
    lend_accounts_init(&f->accounts, &cfg->lend);
}

static void
free_req(struct front *f, struct front_req *r)
{
    HASH_DEL(f->reqs, r);
    msg_free(r->msg);
    free(r);
}

void
front_free(struct front *f)
{
    struct front_req *r;
    struct front_req *tmp;

    HASH_ITER (hh, f->reqs, r, tmp) {
        free_req(f, r);
    }
    lend_accounts_free(&f->accounts);
}

size_t
front_waiting(const struct front *f)
{
    return HASH_COUNT(f->reqs);
}

uint64_t
front_home(const struct view *v, struct str customer)
{
    return front_home_without(v, customer, 0);
}

uint64_t
front_home_without(const struct view *v, struct str customer, uint64_t without)
{
    uint64_t h = str_hash(customer, HOME_SEED);
    const struct view_member *best = NULL;
    const struct view_member *m;

    for (m = v->members; m != NULL; m = m->hh.next) {
        if (m->role != VIEW_AGENT || m->leaving || m->id == without) {
            continue;
        }
        if (best == NULL ||
            mix64(m->name_hash, h) > mix64(best->name_hash, h)) {
            best = m;
        }
    }
    return best != NULL ? best->id : 0;
}

static struct front_req *
find(const struct front *f, uint64_t request)
{
    struct front_req *r;

    HASH_FIND(hh, f->reqs, &request, sizeof(request), r);
    return r;
}

static uint64_t
next_random(struct front *f)
{
    f->seed = mix64(f->seed, 6);
    return f->seed;
}

static void
give_back(struct front *f, uint64_t now, struct front_req *r, bool refund)
{
    if (r->has_spend) {
        lend_return(&f->accounts, now, sk_customer(&r->sk), &r->spend, refund);
        r->has_spend = false;
    }
}

/* --- sending --- */

static void
send_cancel(struct front_req *r, uint64_t owner, struct acts *out)
{
    dw_cancel *c = &act_send(out, owner, DW_CANCEL)->dw_msg_u.cancel;

    c->request = r->request;
    c->partition = r->msg->dw_msg_u.submit.partition;
    c->customer = str_to_bytes(sk_customer(&r->sk));
    c->key = str_to_bytes(sk_key(&r->sk));
}

/* From here on the request may attach but not start. */
static void
set_lookup(dw_submit *s, const char *reason)
{
    s->lookup = true;
    free(s->reason.dw_bytes_val);
    s->reason = str_to_bytes(str_of(reason));
}

/*
 * A request that is too old may have a twin that was refused, and whose
 * refusal has lapsed: the caller was told "not run", so it must not start.
 */
static void
send_submit(const struct front *f, struct front_req *r, uint64_t now,
    uint64_t owner, struct acts *out)
{
    dw_submit *s = &r->msg->dw_msg_u.submit;
    dw_msg *copy;

    s->age_ms = (uint32_t)(now - r->received_ms);
    if (s->age_ms > f->cfg.max_age_ms && !s->lookup) {
        set_lookup(s, JOB_TOO_OLD);
    }
    s->deadline_ms = num_remaining_ms(r->deadline_ms, now);
    s->width = r->has_spend ? r->spend.running : 0;
    copy = msg_clone(r->msg);
    if (copy != NULL) {
        dw_msg *m = act_send(out, owner, DW_SUBMIT);

        *m = *copy;
        free(copy);
    }
}

static void
send_req(struct front *f, uint64_t now, struct front_req *r, struct acts *out)
{
    uint64_t owner = f->view->parts[r->msg->dw_msg_u.submit.partition].owner;

    r->next_ms = now + f->cfg.resend_ms;
    if (owner == 0) {
        r->next_ms = now + f->cfg.retry_min_ms;
        return;
    }
    f->stats.sends++;
    f->stats.resends += r->sent_to != 0;
    r->sent_to = owner;
    if (r->kind == FRONT_CANCEL) {
        send_cancel(r, owner, out);
    }
    else {
        send_submit(f, r, now, owner, out);
    }
}

/* --- limits --- */

/*
 * Out of budget, the request still goes to the owner: the key may belong to
 * a job that ran, and only the owner can say "not run".  It may attach
 * there but not start.
 */
static void
send_lookup(struct front *f, uint64_t now, struct front_req *r,
    uint32_t retry_ms, struct acts *out)
{
    dw_submit *s = &r->msg->dw_msg_u.submit;

    r->needs_share = false;
    s->refuse_ms = retry_ms;
    set_lookup(s, lend_reason(&f->accounts, sk_customer(&r->sk)));
    f->stats.over_limit++;
    send_req(f, now, r, out);
}

static void
try_share(struct front *f, uint64_t now, struct front_req *r, struct acts *out)
{
    struct str name = sk_customer(&r->sk);
    uint32_t tasks = r->msg->dw_msg_u.submit.tasks.tasks_len;
    uint32_t retry_ms = 0;

    switch (lend_spend(&f->accounts, now, name, front_home(f->view, name),
        tasks, &r->spend, &retry_ms, out)) {
    case LEND_OK:
        r->needs_share = false;
        r->has_spend = true;
        send_req(f, now, r, out);
        return;
    case LEND_WAIT:
        if (now < r->share_until_ms) {
            f->stats.waits++;
            return;
        }
        break;
    case LEND_REFUSED:
        break;
    }
    send_lookup(f, now, r, retry_ms, out);
}

void
front_lent(struct front *f, uint64_t now, uint64_t from, const dw_lent *l,
    struct acts *out)
{
    struct str name = str_bytes(&l->customer);
    struct front_req *r;
    struct front_req *tmp;

    if (!lend_got(&f->accounts, now, from, l)) {
        return;
    }
    HASH_ITER (hh, f->reqs, r, tmp) {
        if (r->needs_share && str_eq(sk_customer(&r->sk), name)) {
            try_share(f, now, r, out);
        }
    }
}

/* --- requests --- */

enum front_status
front_request(struct front *f, uint64_t now, uint64_t request,
    enum front_kind kind, dw_msg *msg, uint32_t age_ms, uint32_t deadline_ms,
    struct acts *out)
{
    dw_submit *s = &msg->dw_msg_u.submit;
    struct front_req *r;

    if (HASH_COUNT(f->reqs) >= f->cfg.requests_max) {
        msg_free(msg);
        return FRONT_BUSY;
    }
    r = dw_zero(1, sizeof(*r));
    r->request = request;
    r->kind = kind;
    r->msg = msg;
    sk_make(&r->sk, str_bytes(&s->customer), str_bytes(&s->key));
    s->request = request;
    s->partition = view_partition(sk_customer(&r->sk), sk_key(&r->sk));
    s->poll = kind == FRONT_POLL;
    r->received_ms = now > age_ms ? now - age_ms : 0;
    r->heard_ms = now;
    r->deadline_ms = now + deadline_ms;
    r->share_until_ms = now + f->cfg.lend.wait_ms;
    HASH_ADD(hh, f->reqs, request, sizeof(r->request), r);
    f->stats.requests++;
    if (kind == FRONT_SUBMIT) {
        r->needs_share = true;
        try_share(f, now, r, out);
    }
    else {
        send_req(f, now, r, out);
    }
    return FRONT_OK;
}

void
front_gone(struct front *f, uint64_t now, uint64_t request)
{
    struct front_req *r = find(f, request);

    if (r != NULL) {
        /* The job may run on: its starts stay charged. */
        give_back(f, now, r, false);
        free_req(f, r);
    }
}

static void
hold(struct front *f, uint64_t now, struct front_req *r, uint32_t retry_ms)
{
    uint32_t base = r->retry_ms == 0 ? f->cfg.retry_min_ms : 2 * r->retry_ms;

    if (base < retry_ms) {
        base = retry_ms;
    }
    r->retry_ms = base > f->cfg.retry_max_ms ? f->cfg.retry_max_ms : base;
    /* Full jitter: requests held by one failure do not return together. */
    r->next_ms = now + 1 + next_random(f) % r->retry_ms;
    f->stats.held++;
}

void
front_answer(struct front *f, uint64_t now, uint64_t from, dw_msg *msg,
    struct acts *out)
{
    dw_answer *a = &msg->dw_msg_u.answer;
    struct front_req *r = find(f, a->request);

    if (r == NULL) {
        f->stats.late_answers++;
        return;
    }
    if (a->state == DW_A_MOVED) {
        if (from == r->sent_to) {
            hold(f, now, r, a->retry_ms);
        }
        return;
    }
    r->heard_ms = now;
    r->retry_ms = 0;
    if (a->state == DW_A_RUNNING && r->kind != FRONT_POLL) {
        return;
    }
    give_back(f, now, r, a->refund);
    act_answer(out, r->request, a);
    free_req(f, r);
}

void
front_view_changed(struct front *f, uint64_t now, struct acts *out)
{
    struct front_req *r;
    struct front_req *tmp;

    HASH_ITER (hh, f->reqs, r, tmp) {
        uint64_t owner =
            f->view->parts[r->msg->dw_msg_u.submit.partition].owner;

        if (!r->needs_share && owner != r->sent_to) {
            send_req(f, now, r, out);
        }
    }
}

static void
give_up(struct front *f, uint64_t now, struct front_req *r, struct acts *out)
{
    dw_answer a = {0};

    a.state = DW_A_UNKNOWN;
    a.reason = str_to_bytes(STR("owner_unreachable"));
    a.retry_ms = f->cfg.retry_max_ms;
    f->stats.gave_up++;
    act_note(out, sk_customer(&r->sk), sk_key(&r->sk),
        "entry: no word from the owner, answered unknown");
    give_back(f, now, r, false);
    act_answer(out, r->request, &a);
    free_req(f, r);
}

static void
tend(struct front *f, uint64_t now, struct front_req *r, struct acts *out)
{
    if (now - r->heard_ms >= f->cfg.hold_ms ||
        now >= r->deadline_ms + f->cfg.grace_ms) {
        give_up(f, now, r, out);
        return;
    }
    if (r->needs_share) {
        if (now >= r->share_until_ms || now >= r->next_ms) {
            r->next_ms = now + SHARE_RETRY_MS;
            try_share(f, now, r, out);
        }
        return;
    }
    if (now >= r->next_ms) {
        send_req(f, now, r, out);
    }
}

static uint64_t
home_of(void *ctx, struct str customer)
{
    return front_home(((struct front *)ctx)->view, customer);
}

void
front_tick(struct front *f, uint64_t now, struct acts *out)
{
    struct front_req *r;
    struct front_req *tmp;

    if (now - f->scanned_ms < SCAN_MS) {
        return;
    }
    f->scanned_ms = now;
    HASH_ITER (hh, f->reqs, r, tmp) {
        tend(f, now, r, out);
    }
    lend_tick(&f->accounts, now, home_of, f, out);
}
