#include "quota.h"

#include "num.h"

#include <stdlib.h>
#include <string.h>

#define MILLI 1000U
/* A request without a reply is repeated after this time. */
#define BORROW_RETRY_MS 200
/* Between requests while the lender has nothing more to lend. */
#define SHORTAGE_BACKOFF_MS 50
/* Period over which the rate of starts is measured. */
#define RATE_WINDOW_MS 1000
/* An account that is unused for longer returns everything. */
#define IDLE_RETURN_MS 5000
/* How long all borrowers hold only what they need after one of them got less
 * than it requested. */
#define SCARCE_MS 3000

/* --- the lender's side --- */

void
quota_lender_init(struct quota_lender *lender, const struct quota_cfg *cfg)
{
    memset(lender, 0, sizeof(*lender));
    lender->cfg = *cfg;
}

static void
free_ledger(struct quota_lender *lender, struct quota_ledger *ledger)
{
    struct quota_loan *l = ledger->loans;

    while (l != NULL) {
        struct quota_loan *next = l->next;

        free(l);
        l = next;
    }
    HASH_DEL(lender->ledgers, ledger);
    free(ledger);
}

void
quota_lender_free(struct quota_lender *lender)
{
    struct quota_ledger *ledger;
    struct quota_ledger *tmp;

    HASH_ITER (hh, lender->ledgers, ledger, tmp) {
        free_ledger(lender, ledger);
    }
}

static struct quota_ledger *
find_ledger(const struct quota_lender *lender, struct str customer)
{
    struct quota_ledger *ledger;

    HASH_FIND(hh, lender->ledgers, customer.p, customer.n, ledger);
    return ledger;
}

void
quota_freeze_ledger(
    struct quota_lender *lender, uint64_t now, struct str customer)
{
    struct quota_ledger *ledger = find_ledger(lender, customer);

    if (ledger != NULL && ledger->frozen_ms == 0) {
        ledger->frozen_ms = now;
    }
}

void
quota_lender_tick(struct quota_lender *lender, uint64_t now)
{
    struct quota_ledger *ledger;
    struct quota_ledger *tmp;

    HASH_ITER (hh, lender->ledgers, ledger, tmp) {
        if (ledger->frozen_ms != 0 &&
            now - ledger->frozen_ms >= lender->cfg.valid_ms) {
            free_ledger(lender, ledger);
        }
    }
}

static bool
is_complete(const struct quota_lender *lender,
    const struct quota_ledger *ledger, uint64_t now)
{
    return ledger->opened_ms == 0 ||
           now - ledger->opened_ms >=
               (uint64_t)lender->cfg.settle_ms + lender->cfg.valid_ms;
}

bool
quota_ledger_complete(
    const struct quota_lender *lender, uint64_t now, struct str customer)
{
    const struct quota_ledger *ledger = find_ledger(lender, customer);

    return ledger != NULL && is_complete(lender, ledger, now);
}

void
quota_request_ledger(struct quota_lender *lender, uint64_t now, uint64_t from,
    struct str customer, struct acts *out)
{
    struct quota_ledger *ledger = find_ledger(lender, customer);
    const struct quota_loan *l;
    dw_ledger *m;
    u_int n = 0;

    /* A ledger that is not frozen may change after the reply, unknown to the
     * successor. */
    if (ledger == NULL || ledger->frozen_ms == 0 ||
        !is_complete(lender, ledger, ledger->frozen_ms)) {
        return;
    }
    /* The successor that received it may have lent since; a copy for another
     * one would be out of date. */
    if (ledger->handed_to != 0 && ledger->handed_to != from) {
        return;
    }
    ledger->handed_to = from;
    for (l = ledger->loans; l != NULL; l = l->next) {
        n++;
    }
    m = &act_send(out, from, DW_LEDGER)->dw_msg_u.ledger;
    m->customer = str_to_bytes(customer);
    m->level = ledger->level;
    m->loans.loans_val = dw_zero(n, sizeof(dw_loan));
    for (l = ledger->loans; l != NULL; l = l->next) {
        dw_loan *o = &m->loans.loans_val[m->loans.loans_len++];

        o->borrower = l->borrower;
        o->seq = l->seq;
        o->share = l->share;
        o->left_ms = num_remaining_ms(l->expires_ms, now);
        o->expired = l->expired;
    }
}

static void
add_share(dw_share *sum, const dw_share *s)
{
    sum->rate += s->rate;
    sum->burst += s->burst;
    sum->running += s->running;
    sum->pending += s->pending;
}

static void
sum_loans(const struct quota_ledger *ledger, dw_share *sum)
{
    const struct quota_loan *l;

    memset(sum, 0, sizeof(*sum));
    for (l = ledger->loans; l != NULL; l = l->next) {
        add_share(sum, &l->share);
    }
}

void
quota_loan_sum(
    const struct quota_lender *lender, struct str customer, dw_share *sum)
{
    const struct quota_ledger *ledger = find_ledger(lender, customer);

    memset(sum, 0, sizeof(*sum));
    if (ledger != NULL) {
        sum_loans(ledger, sum);
    }
}

static struct quota_loan *
get_loan(struct quota_ledger *ledger, uint64_t borrower)
{
    struct quota_loan *l;

    for (l = ledger->loans; l != NULL; l = l->next) {
        if (l->borrower == borrower) {
            return l;
        }
    }
    l = dw_zero(1, sizeof(*l));
    l->borrower = borrower;
    l->next = ledger->loans;
    ledger->loans = l;
    return l;
}

/*
 * A borrower that did not renew may have died, but the tasks it admitted may
 * still run: their slots stay counted for as long as a task may take.
 */
static void
expire_loans(
    struct quota_lender *lender, struct quota_ledger *ledger, uint64_t now)
{
    struct quota_loan **at = &ledger->loans;

    while (*at != NULL) {
        struct quota_loan *l = *at;

        if (now >= l->expires_ms) {
            l->share.rate = 0;
            l->share.burst = 0;
            l->expired = true;
        }
        if (now >= l->expires_ms + lender->cfg.slot_hold_ms) {
            *at = l->next;
            free(l);
        }
        else {
            at = &l->next;
        }
    }
}

/* The bucket that is not on loan refills at the rate that is not on loan, up
 * to the burst that is not on loan. */
static void
refill_ledger(
    struct quota_ledger *ledger, uint64_t now, const struct contract *c)
{
    uint64_t rate;
    uint64_t cap;
    dw_share lent;

    sum_loans(ledger, &lent);
    rate = num_sub_sat((uint64_t)c->rate * MILLI, lent.rate);
    cap = num_sub_sat(c->burst, lent.burst) * MILLI;
    ledger->level = num_min(
        cap, ledger->level + rate * (now - ledger->refilled_ms) / MILLI);
    ledger->refilled_ms = now;
}

static struct quota_ledger *
get_ledger(struct quota_lender *lender, uint64_t now, const struct contract *c,
    bool never_lent)
{
    struct str name = str_of(c->customer);
    struct quota_ledger *ledger = find_ledger(lender, name);

    if (ledger != NULL && ledger->frozen_ms == 0) {
        return ledger;
    }
    if (ledger != NULL) {
        /* Another process was the lender meanwhile; its loans are not in this
         * ledger. */
        free_ledger(lender, ledger);
    }
    ledger = dw_zero(1, sizeof(*ledger));
    str_copy(ledger->customer, sizeof(ledger->customer), name);
    ledger->opened_ms = now;
    ledger->refilled_ms = now;
    if (never_lent) {
        ledger->opened_ms = 0;
        ledger->level = (uint64_t)c->burst * MILLI;
    }
    HASH_ADD_KEYPTR(hh, lender->ledgers, ledger->customer, name.n, ledger);
    return ledger;
}

void
quota_open_ledger(struct quota_lender *lender, uint64_t now,
    const struct contract *c, bool never_lent)
{
    get_ledger(lender, now, c, never_lent);
}

void
quota_import_ledger(struct quota_lender *lender, uint64_t now,
    const struct contract *c, const dw_ledger *m)
{
    struct quota_ledger *ledger = get_ledger(lender, now, c, false);

    if (is_complete(lender, ledger, now)) {
        return;
    }
    ledger->opened_ms = 0;
    ledger->level = m->level;
    ledger->refilled_ms = now;
    for (u_int i = 0; i < m->loans.loans_len; i++) {
        const dw_loan *loan = &m->loans.loans_val[i];
        struct quota_loan *l = get_loan(ledger, loan->borrower);

        if (l->seq >= loan->seq && l->seq != 0) {
            continue;
        }
        l->seq = loan->seq;
        l->share = loan->share;
        l->expires_ms = now + loan->left_ms;
        l->expired = loan->expired;
    }
}

/* Grant what is requested, as far as it is not on loan. */
static void
grant(struct quota_ledger *ledger, const struct contract *c,
    const dw_share *demand, dw_share *granted)
{
    dw_share lent;

    sum_loans(ledger, &lent);
    granted->rate = num_min(
        demand->rate, num_sub_sat((uint64_t)c->rate * MILLI, lent.rate));
    granted->burst = num_min(demand->burst, num_sub_sat(c->burst, lent.burst));
    granted->level = num_min(demand->level, ledger->level);
    granted->running =
        num_min(demand->running, num_sub_sat(c->running, lent.running));
    granted->pending = num_min(demand->pending,
        num_sub_sat((uint64_t)c->running + c->queued, lent.pending));
    ledger->level -= granted->level;
}

/* If the contract was reduced below what is on loan, reduce the borrower's
 * share in proportion. */
static void
scale_to_contract(
    const dw_share *lent, const struct contract *c, dw_share *held)
{
    if (lent->rate > (uint64_t)c->rate * MILLI) {
        held->rate = held->rate * ((uint64_t)c->rate * MILLI) / lent->rate;
    }
    if (lent->burst > c->burst) {
        held->burst = held->burst * c->burst / lent->burst;
    }
    if (lent->running > c->running) {
        held->running = held->running * c->running / lent->running;
    }
    if (lent->pending > (uint64_t)c->running + c->queued) {
        held->pending =
            held->pending * ((uint64_t)c->running + c->queued) / lent->pending;
    }
}

static void
send_loan(uint64_t to, const dw_borrow *b, const dw_share *held,
    uint32_t valid_ms, bool rebuilding, bool exhausted, bool scarce,
    struct acts *out)
{
    dw_lent *l = &act_send(out, to, DW_LENT)->dw_msg_u.lent;

    l->customer = str_to_bytes(str_bytes(&b->customer));
    l->seq = b->seq;
    l->grant = *held;
    l->valid_ms = valid_ms;
    l->rebuilding = rebuilding;
    l->exhausted = exhausted;
    l->scarce = scarce;
}

static bool
falls_short(const dw_share *granted, const dw_share *demand)
{
    return granted->rate < demand->rate || granted->burst < demand->burst ||
           granted->level < demand->level ||
           granted->running < demand->running ||
           granted->pending < demand->pending;
}

void
quota_borrow(struct quota_lender *lender, uint64_t now, uint64_t from,
    const struct contract *c, bool never_lent, const dw_borrow *b,
    struct acts *out)
{
    struct quota_ledger *ledger = get_ledger(lender, now, c, never_lent);
    uint64_t age = now - ledger->opened_ms;
    uint64_t settle_ms = lender->cfg.settle_ms;
    bool rebuilding =
        age < settle_ms + lender->cfg.valid_ms && ledger->opened_ms != 0;
    struct quota_loan *l;
    bool exhausted;
    dw_share held = b->held;
    dw_share lent;
    dw_share granted = {0};

    if (ledger->opened_ms != 0 && age < settle_ms) {
        /* The old lender may still lend; renewing could count a share
         * twice. */
        send_loan(from, b, &held, 0, true, false, false, out);
        return;
    }
    refill_ledger(ledger, now, c);
    expire_loans(lender, ledger, now);
    l = get_loan(ledger, from);
    if (b->seq <= l->seq && l->seq != 0) {
        return;
    }
    l->seq = b->seq;
    if (!rebuilding && l->expired) {
        /* Its rate may be on loan to another by now; its slots are not. */
        held.rate = 0;
        held.burst = 0;
    }
    l->expired = false;
    l->share = held;
    sum_loans(ledger, &lent);
    scale_to_contract(&lent, c, &held);
    l->share = held;
    if (!rebuilding) {
        ledger->level = num_min(ledger->level + b->given_level,
            num_sub_sat(c->burst, lent.burst) * MILLI);
        grant(ledger, c, &b->want, &granted);
    }
    add_share(&l->share, &granted);
    l->expires_ms = now + lender->cfg.valid_ms;
    held = l->share;
    held.level = granted.level;
    exhausted = falls_short(&granted, &b->want);
    if (exhausted && !rebuilding) {
        ledger->scarce_until_ms = now + SCARCE_MS;
    }
    send_loan(from, b, &held, lender->cfg.valid_ms, rebuilding, exhausted,
        now < ledger->scarce_until_ms, out);
}

/* --- the borrower's side --- */

void
quota_accounts_init(struct quota_accounts *as, const struct quota_cfg *cfg)
{
    memset(as, 0, sizeof(*as));
    as->cfg = *cfg;
}

void
quota_accounts_free(struct quota_accounts *as)
{
    struct quota_account *a;
    struct quota_account *tmp;

    HASH_ITER (hh, as->accounts, a, tmp) {
        HASH_DEL(as->accounts, a);
        free(a);
    }
}

static struct quota_account *
find_account(const struct quota_accounts *as, struct str customer)
{
    struct quota_account *a;

    HASH_FIND(hh, as->accounts, customer.p, customer.n, a);
    return a;
}

static struct quota_account *
get_account(struct quota_accounts *as, uint64_t now, struct str customer)
{
    struct quota_account *a = find_account(as, customer);

    if (a == NULL) {
        a = dw_zero(1, sizeof(*a));
        str_copy(a->customer, sizeof(a->customer), customer);
        a->refilled_ms = now;
        a->window_begin_ms = now;
        /* Above every number that an earlier account of this process used. */
        a->seq = (uint32_t)(now & 0x3fffffff);
        HASH_ADD_KEYPTR(hh, as->accounts, a->customer, customer.n, a);
    }
    return a;
}

/* Refill the bucket up to now, but not beyond the end of the loan. */
static void
refill(struct quota_account *a, uint64_t now)
{
    uint64_t end = num_min(now, a->expires_ms);

    if (end > a->refilled_ms) {
        a->held.level = num_min(a->held.burst * MILLI,
            a->held.level + a->held.rate * (end - a->refilled_ms) / MILLI);
    }
    a->refilled_ms = now;
}

/* Estimate the demand: it rises at once and decays slowly. */
static void
measure_demand(struct quota_account *a, uint64_t now)
{
    uint64_t ms = now - a->window_begin_ms;
    uint64_t rate;

    if (ms < RATE_WINDOW_MS) {
        return;
    }
    rate = a->window_starts * MILLI * MILLI / ms;
    a->start_rate =
        rate > a->start_rate ? rate : (3 * a->start_rate + rate) / 4;
    a->peak_tasks = a->peak_tasks * 3 / 4;
    a->peak_running = num_max(a->peak_running * 3 / 4, a->running_used);
    a->peak_pending = num_max(a->peak_pending * 3 / 4, a->pending_used);
    a->window_starts = 0;
    a->window_begin_ms = now;
}

static void
record_demand(struct quota_account *a, uint32_t tasks)
{
    a->peak_tasks = num_max(a->peak_tasks, tasks);
    a->peak_running = num_max(a->peak_running, a->running_used + tasks);
    a->peak_pending = num_max(a->peak_pending, a->pending_used + tasks);
}

/* The share to hold: `times` the peak demand.  Above 1 it allows for growth;
 * it is 1 while other borrowers get less than they request. */
static void
target_share(const struct quota_account *a, uint64_t times, dw_share *target)
{
    target->rate = times * (a->start_rate + a->peak_tasks * MILLI / 4);
    target->burst = times * (a->start_rate / MILLI / 2 + a->peak_tasks);
    target->level = target->burst * MILLI;
    target->running = times * a->peak_running;
    target->pending = times * a->peak_pending;
}

static void
missing_share(const struct quota_account *a, dw_share *missing)
{
    dw_share target;

    target_share(a, a->scarce ? 1 : 2, &target);
    missing->rate = num_sub_sat(target.rate, a->held.rate);
    missing->burst = num_sub_sat(target.burst, a->held.burst);
    missing->level = num_sub_sat(target.level, a->held.level);
    missing->running = num_sub_sat(target.running, a->held.running);
    missing->pending = num_sub_sat(target.pending, a->held.pending);
}

/* Return what is held far above the demand; slots in use are kept.  *level is
 * set to the part of the bucket that is returned. */
static void
return_surplus(struct quota_account *a, uint64_t now, uint64_t *level)
{
    dw_share target = {0};

    if (now - a->last_used_ms <= IDLE_RETURN_MS) {
        target_share(a, a->scarce ? 1 : 4, &target);
    }
    *level = 0;
    a->held.rate = num_min(a->held.rate, target.rate);
    if (a->held.burst > target.burst) {
        uint64_t keep = num_min(a->held.level, target.burst * MILLI);

        *level = a->held.level - keep;
        a->held.level = keep;
        a->held.burst = target.burst;
    }
    a->held.running =
        num_min(a->held.running, num_max(a->running_used, target.running));
    a->held.pending =
        num_min(a->held.pending, num_max(a->pending_used, target.pending));
}

static void
send_borrow(
    struct quota_account *a, uint64_t now, uint64_t lender, struct acts *out)
{
    uint64_t level;
    dw_borrow *b;

    if (lender == 0) {
        return;
    }
    if (now >= a->expires_ms) {
        /* The share may be on loan to another; only slots in use still
         * count. */
        memset(&a->held, 0, sizeof(a->held));
        a->held.running = a->running_used;
        a->held.pending = a->pending_used;
    }
    return_surplus(a, now, &level);
    b = &act_send(out, lender, DW_BORROW)->dw_msg_u.borrow;
    b->customer = str_to_bytes(str_of(a->customer));
    b->seq = ++a->seq;
    b->held = a->held;
    b->given_level = level;
    missing_share(a, &b->want);
    a->request_pending = true;
    a->denied = false;
    a->requested_ms = now;
    a->lender = lender;
}

static bool
covers(struct quota_account *a, uint64_t now, uint32_t tasks)
{
    return now < a->expires_ms && a->held.level / MILLI >= tasks &&
           a->held.running > a->running_used &&
           num_sub_sat(a->held.pending, a->pending_used) >= tasks;
}

/* Time until the bucket holds enough for `tasks`, at the rate held. */
static uint32_t
retry_after_ms(const struct quota_account *a, uint32_t tasks)
{
    uint64_t rate = num_max(a->held.rate, MILLI);
    uint64_t deficit = num_sub_sat((uint64_t)tasks * MILLI, a->held.level);
    uint64_t ms = deficit * MILLI / rate;

    return (uint32_t)(ms < 100 ? 100 : ms > 60000 ? 60000 : ms);
}

enum quota_verdict
quota_acquire(struct quota_accounts *as, uint64_t now, struct str customer,
    uint64_t lender, uint32_t tasks, struct quota_charge *charge,
    uint32_t *retry_ms, struct acts *out)
{
    struct quota_account *a = get_account(as, now, customer);

    a->last_used_ms = now;
    refill(a, now);
    measure_demand(a, now);
    record_demand(a, tasks);
    if (covers(a, now, tasks)) {
        charge->starts = tasks;
        charge->pending = tasks;
        charge->running =
            (uint32_t)num_min(tasks, a->held.running - a->running_used);
        a->held.level -= (uint64_t)tasks * MILLI;
        a->running_used += charge->running;
        a->pending_used += charge->pending;
        a->window_starts += tasks;
        return QUOTA_OK;
    }
    *retry_ms = retry_after_ms(a, tasks);
    if (a->denied && tasks >= a->requested_tasks && !a->rebuilding &&
        now - a->requested_ms < BORROW_RETRY_MS) {
        return QUOTA_REFUSED;
    }
    if (now >= a->backoff_until_ms &&
        (!a->request_pending || now - a->requested_ms >= BORROW_RETRY_MS)) {
        a->requested_tasks = tasks;
        send_borrow(a, now, lender, out);
    }
    return QUOTA_WAIT;
}

const char *
quota_refusal_reason(const struct quota_accounts *as, struct str customer)
{
    const struct quota_account *a = find_account(as, customer);

    return a != NULL && a->rebuilding ? QUOTA_SETTLING : QUOTA_OVER_LIMIT;
}

void
quota_release(struct quota_accounts *as, uint64_t now, struct str customer,
    const struct quota_charge *charge, bool refund)
{
    struct quota_account *a = find_account(as, customer);

    if (a == NULL) {
        return;
    }
    refill(a, now);
    a->running_used = num_sub_sat(a->running_used, charge->running);
    a->pending_used = num_sub_sat(a->pending_used, charge->pending);
    if (refund) {
        a->held.level = num_min(a->held.burst * MILLI,
            a->held.level + (uint64_t)charge->starts * MILLI);
        a->window_starts = num_sub_sat(a->window_starts, charge->starts);
    }
}

bool
quota_loan_reply(
    struct quota_accounts *as, uint64_t now, uint64_t from, const dw_lent *l)
{
    struct quota_account *a = find_account(as, str_bytes(&l->customer));
    uint64_t level;

    if (a == NULL || l->seq != a->seq || from != a->lender ||
        !a->request_pending) {
        return false;
    }
    refill(a, now);
    a->request_pending = false;
    a->rebuilding = l->rebuilding;
    a->scarce = l->scarce;
    if (l->rebuilding || l->exhausted) {
        a->backoff_until_ms = now + SHORTAGE_BACKOFF_MS;
    }
    if (l->valid_ms == 0) {
        return true;
    }
    level = a->held.level;
    a->held = l->grant;
    a->held.level = num_min(a->held.burst * MILLI, level + l->grant.level);
    /* Counted from the request; the lender counts from its receipt, which is
     * later. */
    a->expires_ms = a->requested_ms + l->valid_ms;
    a->denied = l->exhausted && a->requested_tasks > 0 &&
                !covers(a, now, a->requested_tasks);
    if (!a->denied) {
        a->requested_tasks = 0;
    }
    return true;
}

void
quota_accounts_tick(struct quota_accounts *as, uint64_t now,
    quota_lender_fn lender_of, void *ctx, struct acts *out)
{
    struct quota_account *a;
    struct quota_account *tmp;

    HASH_ITER (hh, as->accounts, a, tmp) {
        uint64_t wait =
            a->request_pending ? BORROW_RETRY_MS : as->cfg.renew_ms;

        refill(a, now);
        measure_demand(a, now);
        if (now - a->last_used_ms > IDLE_RETURN_MS && a->running_used == 0 &&
            a->pending_used == 0 && now > a->expires_ms) {
            HASH_DEL(as->accounts, a);
            free(a);
            continue;
        }
        if (a->seq > 0 && now - a->requested_ms >= wait) {
            send_borrow(a, now, lender_of(ctx, str_of(a->customer)), out);
        }
    }
}
