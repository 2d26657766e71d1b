#include "front.h"

#include "job.h"
#include "num.h"

#include <stdlib.h>
#include <string.h>

/* Between two scans of the requests. */
#define SCAN_INTERVAL_MS 10
/* Between two attempts to charge a request that waits for a share. */
#define QUOTA_RETRY_MS 50
#define LENDER_HASH_SEED 0x686f6d65U

void
front_init(struct front *f, const struct front_cfg *cfg,
    const struct view *view, uint64_t self)
{
    memset(f, 0, sizeof(*f));
    f->cfg = *cfg;
    f->view = view;
    f->seed = mix64(self, 5);
    quota_accounts_init(&f->accounts, &cfg->quota);
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
    quota_accounts_free(&f->accounts);
}

size_t
front_waiting(const struct front *f)
{
    return HASH_COUNT(f->reqs);
}

uint64_t
front_lender(const struct view *v, struct str customer)
{
    return front_lender_without(v, customer, 0);
}

uint64_t
front_lender_without(
    const struct view *v, struct str customer, uint64_t without)
{
    uint64_t h = str_hash(customer, LENDER_HASH_SEED);
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
release_charge(struct front *f, uint64_t now, struct front_req *r, bool refund)
{
    if (r->charged) {
        quota_release(
            &f->accounts, now, sk_customer(&r->sk), &r->charge, refund);
        r->charged = false;
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

/* From here on the request may attach to a job but not start one. */
static void
make_lookup(dw_submit *s, const char *reason)
{
    s->lookup = true;
    free(s->reason.dw_bytes_val);
    s->reason = str_to_bytes(str_of(reason));
}

/*
 * Another copy of a request that is too old may have been refused, and the
 * owner may have removed the record of that refusal.  The caller got "not
 * run", so this copy may attach to a job but must not start one.
 */
static void
send_submit(const struct front *f, struct front_req *r, uint64_t now,
    uint64_t owner, struct acts *out)
{
    dw_submit *s = &r->msg->dw_msg_u.submit;
    dw_msg *copy;

    s->age_ms = (uint32_t)(now - r->received_ms);
    if (s->age_ms > f->cfg.max_age_ms && !s->lookup) {
        make_lookup(s, JOB_TOO_OLD);
    }
    s->deadline_ms = num_remaining_ms(r->deadline_ms, now);
    s->width = r->charged ? r->charge.running : 0;
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

    r->next_try_ms = now + f->cfg.resend_ms;
    if (owner == 0) {
        r->next_try_ms = now + f->cfg.retry_min_ms;
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
 * Over the limit, the request still goes to the owner: the key may belong to
 * a job that ran, and only the owner can answer "not run".  It may attach
 * there but not start.
 */
static void
send_lookup(struct front *f, uint64_t now, struct front_req *r,
    uint32_t retry_ms, struct acts *out)
{
    dw_submit *s = &r->msg->dw_msg_u.submit;

    r->needs_quota = false;
    s->refuse_ms = retry_ms;
    make_lookup(s, quota_refusal_reason(&f->accounts, sk_customer(&r->sk)));
    f->stats.over_limit++;
    send_req(f, now, r, out);
}

static void
acquire_quota(
    struct front *f, uint64_t now, struct front_req *r, struct acts *out)
{
    struct str name = sk_customer(&r->sk);
    uint32_t tasks = r->msg->dw_msg_u.submit.tasks.tasks_len;
    uint32_t retry_ms = 0;

    switch (quota_acquire(&f->accounts, now, name, front_lender(f->view, name),
        tasks, &r->charge, &retry_ms, out)) {
    case QUOTA_OK:
        r->needs_quota = false;
        r->charged = true;
        send_req(f, now, r, out);
        return;
    case QUOTA_WAIT:
        if (now < r->quota_wait_until_ms) {
            f->stats.quota_waits++;
            return;
        }
        break;
    case QUOTA_REFUSED:
        break;
    }
    send_lookup(f, now, r, retry_ms, out);
}

void
front_loan_reply(struct front *f, uint64_t now, uint64_t from,
    const dw_lent *l, struct acts *out)
{
    struct str name = str_bytes(&l->customer);
    struct front_req *r;
    struct front_req *tmp;

    if (!quota_loan_reply(&f->accounts, now, from, l)) {
        return;
    }
    HASH_ITER (hh, f->reqs, r, tmp) {
        if (r->needs_quota && str_eq(sk_customer(&r->sk), name)) {
            acquire_quota(f, now, r, out);
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
    r->last_reply_ms = now;
    r->deadline_ms = now + deadline_ms;
    r->quota_wait_until_ms = now + f->cfg.quota.wait_ms;
    HASH_ADD(hh, f->reqs, request, sizeof(r->request), r);
    f->stats.requests++;
    if (kind == FRONT_SUBMIT) {
        r->needs_quota = true;
        acquire_quota(f, now, r, out);
    }
    else {
        send_req(f, now, r, out);
    }
    return FRONT_OK;
}

void
front_caller_disconnected(struct front *f, uint64_t now, uint64_t request)
{
    struct front_req *r = find(f, request);

    if (r != NULL) {
        /* The job may continue: its starts stay charged. */
        release_charge(f, now, r, false);
        free_req(f, r);
    }
}

static void
back_off(struct front *f, uint64_t now, struct front_req *r, uint32_t retry_ms)
{
    uint32_t base =
        r->backoff_ms == 0 ? f->cfg.retry_min_ms : 2 * r->backoff_ms;

    if (base < retry_ms) {
        base = retry_ms;
    }
    r->backoff_ms = base > f->cfg.retry_max_ms ? f->cfg.retry_max_ms : base;
    /* Full jitter: requests delayed by one failure are not all retried at
     * once. */
    r->next_try_ms = now + 1 + next_random(f) % r->backoff_ms;
    f->stats.backoffs++;
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
            back_off(f, now, r, a->retry_ms);
        }
        return;
    }
    r->last_reply_ms = now;
    r->backoff_ms = 0;
    if (a->state == DW_A_RUNNING && r->kind != FRONT_POLL) {
        return;
    }
    release_charge(f, now, r, a->refund);
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

        if (!r->needs_quota && owner != r->sent_to) {
            send_req(f, now, r, out);
        }
    }
}

static void
give_up(struct front *f, uint64_t now, struct front_req *r, const char *reason,
    struct acts *out)
{
    dw_answer a = {0};

    a.state = DW_A_UNKNOWN;
    a.reason = str_to_bytes(str_of(reason));
    a.retry_ms = f->cfg.retry_max_ms;
    f->stats.gave_up++;
    act_submission_event(out, sk_customer(&r->sk), sk_key(&r->sk),
        "entry: no reply from the owner, answered unknown");
    release_charge(f, now, r, false);
    act_answer(out, r->request, &a);
    free_req(f, r);
}

void
front_give_up_all(struct front *f, uint64_t now, struct acts *out)
{
    struct front_req *r;
    struct front_req *tmp;

    HASH_ITER (hh, f->reqs, r, tmp) {
        give_up(f, now, r, "leaving", out);
    }
}

static void
handle_timeouts(
    struct front *f, uint64_t now, struct front_req *r, struct acts *out)
{
    if (now - r->last_reply_ms >= f->cfg.owner_timeout_ms ||
        now >= r->deadline_ms + f->cfg.answer_grace_ms) {
        give_up(f, now, r, "owner_unreachable", out);
        return;
    }
    if (r->needs_quota) {
        if (now >= r->quota_wait_until_ms || now >= r->next_try_ms) {
            r->next_try_ms = now + QUOTA_RETRY_MS;
            acquire_quota(f, now, r, out);
        }
        return;
    }
    if (now >= r->next_try_ms) {
        send_req(f, now, r, out);
    }
}

static uint64_t
lender_of(void *ctx, struct str customer)
{
    return front_lender(((struct front *)ctx)->view, customer);
}

void
front_tick(struct front *f, uint64_t now, struct acts *out)
{
    struct front_req *r;
    struct front_req *tmp;

    if (now - f->last_scan_ms < SCAN_INTERVAL_MS) {
        return;
    }
    f->last_scan_ms = now;
    HASH_ITER (hh, f->reqs, r, tmp) {
        handle_timeouts(f, now, r, out);
    }
    quota_accounts_tick(&f->accounts, now, lender_of, f, out);
}
