#include "lend.h"

#include "num.h"

#include <stdlib.h>
#include <string.h>

#define MILLI 1000U
/* A question without an answer is asked again after this long. */
#define REASK_MS 200
#define HOLD_MS 50
#define WINDOW_MS 1000
/* An account unused for longer gives everything back. */
#define IDLE_MS 5000
/* After a borrower got less than it wanted, all hold only what they need. */
#define SCARCE_MS 3000

/* --- the home's side --- */

void
lend_homes_init(struct lend_homes *hs, const struct lend_cfg *cfg)
{
    memset(hs, 0, sizeof(*hs));
    hs->cfg = *cfg;
}

static void
free_home(struct lend_homes *hs, struct lend_home *h)
{
    struct lend_loan *l = h->loans;

    while (l != NULL) {
        struct lend_loan *next = l->next;

        free(l);
        l = next;
    }
    HASH_DEL(hs->homes, h);
    free(h);
}

void
lend_homes_free(struct lend_homes *hs)
{
    struct lend_home *h;
    struct lend_home *tmp;

    HASH_ITER (hh, hs->homes, h, tmp) {
        free_home(hs, h);
    }
}

static struct lend_home *
find_home(const struct lend_homes *hs, struct str customer)
{
    struct lend_home *h;

    HASH_FIND(hh, hs->homes, customer.p, customer.n, h);
    return h;
}

void
lend_freeze(struct lend_homes *hs, uint64_t now, struct str customer)
{
    struct lend_home *h = find_home(hs, customer);

    if (h != NULL && h->frozen_ms == 0) {
        h->frozen_ms = now;
    }
}

void
lend_homes_tick(struct lend_homes *hs, uint64_t now)
{
    struct lend_home *h;
    struct lend_home *tmp;

    HASH_ITER (hh, hs->homes, h, tmp) {
        if (h->frozen_ms != 0 && now - h->frozen_ms >= hs->cfg.valid_ms) {
            free_home(hs, h);
        }
    }
}

static bool
is_whole(const struct lend_homes *hs, const struct lend_home *h, uint64_t now)
{
    return h->since_ms == 0 ||
           now - h->since_ms >= (uint64_t)hs->cfg.settle_ms + hs->cfg.valid_ms;
}

bool
lend_whole(const struct lend_homes *hs, uint64_t now, struct str customer)
{
    const struct lend_home *h = find_home(hs, customer);

    return h != NULL && is_whole(hs, h, now);
}

void
lend_ledger_asked(struct lend_homes *hs, uint64_t now, uint64_t from,
    struct str customer, struct acts *out)
{
    struct lend_home *h = find_home(hs, customer);
    const struct lend_loan *l;
    dw_ledger *m;
    u_int n = 0;

    /* Not frozen, it may lend on: the asker would not know of that. */
    if (h == NULL || h->frozen_ms == 0 || !is_whole(hs, h, h->frozen_ms)) {
        return;
    }
    /* Given once, it may have been lent from; a second copy would be old. */
    if (h->given_to != 0 && h->given_to != from) {
        return;
    }
    h->given_to = from;
    for (l = h->loans; l != NULL; l = l->next) {
        n++;
    }
    m = &act_send(out, from, DW_LEDGER)->dw_msg_u.ledger;
    m->customer = str_to_bytes(customer);
    m->level = h->level;
    m->loans.loans_val = dw_zero(n, sizeof(dw_loan));
    for (l = h->loans; l != NULL; l = l->next) {
        dw_loan *o = &m->loans.loans_val[m->loans.loans_len++];

        o->borrower = l->borrower;
        o->seq = l->seq;
        o->share = l->share;
        o->left_ms = num_remaining_ms(l->until_ms, now);
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
sum_loans(const struct lend_home *h, dw_share *sum)
{
    const struct lend_loan *l;

    memset(sum, 0, sizeof(*sum));
    for (l = h->loans; l != NULL; l = l->next) {
        add_share(sum, &l->share);
    }
}

void
lend_home_sum(const struct lend_homes *hs, struct str customer, dw_share *sum)
{
    const struct lend_home *h = find_home(hs, customer);

    memset(sum, 0, sizeof(*sum));
    if (h != NULL) {
        sum_loans(h, sum);
    }
}

static struct lend_loan *
loan_of(struct lend_home *h, uint64_t borrower)
{
    struct lend_loan *l;

    for (l = h->loans; l != NULL; l = l->next) {
        if (l->borrower == borrower) {
            return l;
        }
    }
    l = dw_zero(1, sizeof(*l));
    l->borrower = borrower;
    l->next = h->loans;
    h->loans = l;
    return l;
}

/*
 * A borrower that fell silent may have died, but the tasks it let in may
 * still run: their slots stay counted for as long as a task may take.
 */
static void
expire_loans(struct lend_homes *hs, struct lend_home *h, uint64_t now)
{
    struct lend_loan **at = &h->loans;

    while (*at != NULL) {
        struct lend_loan *l = *at;

        if (now >= l->until_ms) {
            l->share.rate = 0;
            l->share.burst = 0;
            l->expired = true;
        }
        if (now >= l->until_ms + hs->cfg.hold_ms) {
            *at = l->next;
            free(l);
        }
        else {
            at = &l->next;
        }
    }
}

/* The part not lent fills at the rate not lent, up to the burst not lent. */
static void
fill_pool(struct lend_home *h, uint64_t now, const struct contract *c)
{
    uint64_t rate;
    uint64_t cap;
    dw_share lent;

    sum_loans(h, &lent);
    rate = num_sub_sat((uint64_t)c->rate * MILLI, lent.rate);
    cap = num_sub_sat(c->burst, lent.burst) * MILLI;
    h->level = num_min(cap, h->level + rate * (now - h->filled_ms) / MILLI);
    h->filled_ms = now;
}

static struct lend_home *
home_for(
    struct lend_homes *hs, uint64_t now, const struct contract *c, bool first)
{
    struct str name = str_of(c->customer);
    struct lend_home *h = find_home(hs, name);

    if (h != NULL && h->frozen_ms == 0) {
        return h;
    }
    if (h != NULL) {
        /* Home again, after another was: what that one lent is not here. */
        free_home(hs, h);
    }
    h = dw_zero(1, sizeof(*h));
    str_copy(h->customer, sizeof(h->customer), name);
    h->since_ms = now;
    h->filled_ms = now;
    if (first) {
        h->since_ms = 0;
        h->level = (uint64_t)c->burst * MILLI;
    }
    HASH_ADD_KEYPTR(hh, hs->homes, h->customer, name.n, h);
    return h;
}

void
lend_home_open(
    struct lend_homes *hs, uint64_t now, const struct contract *c, bool first)
{
    home_for(hs, now, c, first);
}

void
lend_ledger(struct lend_homes *hs, uint64_t now, const struct contract *c,
    const dw_ledger *m)
{
    struct lend_home *h = home_for(hs, now, c, false);

    if (is_whole(hs, h, now)) {
        return;
    }
    h->since_ms = 0;
    h->level = m->level;
    h->filled_ms = now;
    for (u_int i = 0; i < m->loans.loans_len; i++) {
        const dw_loan *from = &m->loans.loans_val[i];
        struct lend_loan *l = loan_of(h, from->borrower);

        if (l->seq >= from->seq && l->seq != 0) {
            continue;
        }
        l->seq = from->seq;
        l->share = from->share;
        l->until_ms = now + from->left_ms;
        l->expired = from->expired;
    }
}

/* Part of what is not lent, or nothing while old loans may be out. */
static void
grant(struct lend_home *h, const struct contract *c, const dw_share *want,
    dw_share *g)
{
    dw_share lent;

    sum_loans(h, &lent);
    g->rate =
        num_min(want->rate, num_sub_sat((uint64_t)c->rate * MILLI, lent.rate));
    g->burst = num_min(want->burst, num_sub_sat(c->burst, lent.burst));
    g->level = num_min(want->level, h->level);
    g->running = num_min(want->running, num_sub_sat(c->running, lent.running));
    g->pending = num_min(want->pending,
        num_sub_sat((uint64_t)c->running + c->queued, lent.pending));
    h->level -= g->level;
}

/* A contract that was cut: the borrower must give back what is too much. */
static void
cut_back(const dw_share *lent, const struct contract *c, dw_share *held)
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
send_lent(uint64_t to, const dw_borrow *b, const dw_share *now_held,
    uint32_t valid_ms, bool rebuilding, bool exhausted, bool scarce,
    struct acts *out)
{
    dw_lent *l = &act_send(out, to, DW_LENT)->dw_msg_u.lent;

    l->customer = str_to_bytes(str_bytes(&b->customer));
    l->seq = b->seq;
    l->grant = *now_held;
    l->valid_ms = valid_ms;
    l->rebuilding = rebuilding;
    l->exhausted = exhausted;
    l->scarce = scarce;
}

static bool
is_short(const dw_share *g, const dw_share *want)
{
    return g->rate < want->rate || g->burst < want->burst ||
           g->level < want->level || g->running < want->running ||
           g->pending < want->pending;
}

void
lend_asked(struct lend_homes *hs, uint64_t now, uint64_t from,
    const struct contract *c, bool first, const dw_borrow *b, struct acts *out)
{
    struct lend_home *h = home_for(hs, now, c, first);
    uint64_t age = now - h->since_ms;
    uint64_t settled = hs->cfg.settle_ms;
    bool rebuilding = age < settled + hs->cfg.valid_ms && h->since_ms != 0;
    struct lend_loan *l;
    bool exhausted;
    dw_share held = b->held;
    dw_share lent;
    dw_share g = {0};

    if (h->since_ms != 0 && age < settled) {
        /* The old home may still lend; renewing could count a share twice. */
        send_lent(from, b, &held, 0, true, false, false, out);
        return;
    }
    fill_pool(h, now, c);
    expire_loans(hs, h, now);
    l = loan_of(h, from);
    if (b->seq <= l->seq && l->seq != 0) {
        return;
    }
    l->seq = b->seq;
    if (!rebuilding && l->expired) {
        /* Its rate may be lent to another by now; its slots are not. */
        held.rate = 0;
        held.burst = 0;
    }
    l->expired = false;
    l->share = held;
    sum_loans(h, &lent);
    cut_back(&lent, c, &held);
    l->share = held;
    if (!rebuilding) {
        h->level = num_min(h->level + b->given_level,
            num_sub_sat(c->burst, lent.burst) * MILLI);
        grant(h, c, &b->want, &g);
    }
    add_share(&l->share, &g);
    l->until_ms = now + hs->cfg.valid_ms;
    held = l->share;
    held.level = g.level;
    exhausted = is_short(&g, &b->want);
    if (exhausted && !rebuilding) {
        h->scarce_until = now + SCARCE_MS;
    }
    send_lent(from, b, &held, hs->cfg.valid_ms, rebuilding, exhausted,
        now < h->scarce_until, out);
}

/* --- the borrower's side --- */

void
lend_accounts_init(struct lend_accounts *as, const struct lend_cfg *cfg)
{
    memset(as, 0, sizeof(*as));
    as->cfg = *cfg;
}

void
lend_accounts_free(struct lend_accounts *as)
{
    struct lend_account *a;
    struct lend_account *tmp;

    HASH_ITER (hh, as->accounts, a, tmp) {
        HASH_DEL(as->accounts, a);
        free(a);
    }
}

static struct lend_account *
find_account(const struct lend_accounts *as, struct str customer)
{
    struct lend_account *a;

    HASH_FIND(hh, as->accounts, customer.p, customer.n, a);
    return a;
}

static struct lend_account *
account(struct lend_accounts *as, uint64_t now, struct str customer)
{
    struct lend_account *a = find_account(as, customer);

    if (a == NULL) {
        a = dw_zero(1, sizeof(*a));
        str_copy(a->customer, sizeof(a->customer), customer);
        a->filled_ms = now;
        a->window_ms = now;
        /* Above whatever an earlier account of this process has used. */
        a->seq = (uint32_t)(now & 0x3fffffff);
        HASH_ADD_KEYPTR(hh, as->accounts, a->customer, customer.n, a);
    }
    return a;
}

/* Fill the bucket up to now, but not beyond the loan's end. */
static void
fill(struct lend_account *a, uint64_t now)
{
    uint64_t to = num_min(now, a->until_ms);

    if (to > a->filled_ms) {
        a->held.level = num_min(a->held.burst * MILLI,
            a->held.level + a->held.rate * (to - a->filled_ms) / MILLI);
    }
    a->filled_ms = now;
}

/* Follow the demand up at once and down slowly. */
static void
measure(struct lend_account *a, uint64_t now)
{
    uint64_t ms = now - a->window_ms;
    uint64_t seen;

    if (ms < WINDOW_MS) {
        return;
    }
    seen = a->spent * MILLI * MILLI / ms;
    a->demand = seen > a->demand ? seen : (3 * a->demand + seen) / 4;
    a->peak_tasks = a->peak_tasks * 3 / 4;
    a->peak_running = num_max(a->peak_running * 3 / 4, a->running_used);
    a->peak_pending = num_max(a->peak_pending * 3 / 4, a->pending_used);
    a->spent = 0;
    a->window_ms = now;
}

static void
note_need(struct lend_account *a, uint32_t tasks)
{
    a->peak_tasks = num_max(a->peak_tasks, tasks);
    a->peak_running = num_max(a->peak_running, a->running_used + tasks);
    a->peak_pending = num_max(a->peak_pending, a->pending_used + tasks);
}

/* What to hold: the peak of what is needed, with room to spare unless others
 * are short of it. */
static void
target(const struct lend_account *a, uint64_t times, dw_share *t)
{
    t->rate = times * (a->demand + a->peak_tasks * MILLI / 4);
    t->burst = times * (a->demand / MILLI / 2 + a->peak_tasks);
    t->level = t->burst * MILLI;
    t->running = times * a->peak_running;
    t->pending = times * a->peak_pending;
}

static void
want(const struct lend_account *a, dw_share *w)
{
    dw_share t;

    target(a, a->scarce ? 1 : 2, &t);
    w->rate = num_sub_sat(t.rate, a->held.rate);
    w->burst = num_sub_sat(t.burst, a->held.burst);
    w->level = num_sub_sat(t.level, a->held.level);
    w->running = num_sub_sat(t.running, a->held.running);
    w->pending = num_sub_sat(t.pending, a->held.pending);
}

/* Give back what is held far above need; slots in use are kept. */
static void
give_back(struct lend_account *a, uint64_t now, uint64_t *level)
{
    dw_share t = {0};

    if (now - a->used_ms <= IDLE_MS) {
        target(a, a->scarce ? 1 : 4, &t);
    }
    *level = 0;
    a->held.rate = num_min(a->held.rate, t.rate);
    if (a->held.burst > t.burst) {
        uint64_t keep = num_min(a->held.level, t.burst * MILLI);

        *level = a->held.level - keep;
        a->held.level = keep;
        a->held.burst = t.burst;
    }
    a->held.running =
        num_min(a->held.running, num_max(a->running_used, t.running));
    a->held.pending =
        num_min(a->held.pending, num_max(a->pending_used, t.pending));
}

static void
ask(struct lend_account *a, uint64_t now, uint64_t home, struct acts *out)
{
    uint64_t level;
    dw_borrow *b;

    if (home == 0) {
        return;
    }
    if (now >= a->until_ms) {
        /* The home may have lent it on; only slots in use still count. */
        memset(&a->held, 0, sizeof(a->held));
        a->held.running = a->running_used;
        a->held.pending = a->pending_used;
    }
    give_back(a, now, &level);
    b = &act_send(out, home, DW_BORROW)->dw_msg_u.borrow;
    b->customer = str_to_bytes(str_of(a->customer));
    b->seq = ++a->seq;
    b->held = a->held;
    b->given_level = level;
    want(a, &b->want);
    a->asking = true;
    a->denied = false;
    a->asked_ms = now;
    a->home = home;
}

static bool
covers(struct lend_account *a, uint64_t now, uint32_t tasks)
{
    return now < a->until_ms && a->held.level / MILLI >= tasks &&
           a->held.running > a->running_used &&
           num_sub_sat(a->held.pending, a->pending_used) >= tasks;
}

/* When the missing starts will have come, at the rate held. */
static uint32_t
come_back_ms(const struct lend_account *a, uint32_t tasks)
{
    uint64_t rate = num_max(a->held.rate, MILLI);
    uint64_t lack = num_sub_sat((uint64_t)tasks * MILLI, a->held.level);
    uint64_t ms = lack * MILLI / rate;

    return (uint32_t)(ms < 100 ? 100 : ms > 60000 ? 60000 : ms);
}

enum lend_verdict
lend_spend(struct lend_accounts *as, uint64_t now, struct str customer,
    uint64_t home, uint32_t tasks, struct lend_charge *spend,
    uint32_t *retry_ms, struct acts *out)
{
    struct lend_account *a = account(as, now, customer);

    a->used_ms = now;
    fill(a, now);
    measure(a, now);
    note_need(a, tasks);
    if (covers(a, now, tasks)) {
        spend->starts = tasks;
        spend->pending = tasks;
        spend->running =
            (uint32_t)num_min(tasks, a->held.running - a->running_used);
        a->held.level -= (uint64_t)tasks * MILLI;
        a->running_used += spend->running;
        a->pending_used += spend->pending;
        a->spent += tasks;
        return LEND_OK;
    }
    *retry_ms = come_back_ms(a, tasks);
    if (a->denied && tasks >= a->asked_tasks && !a->rebuilding &&
        now - a->asked_ms < REASK_MS) {
        return LEND_REFUSED;
    }
    if (now >= a->hold_until &&
        (!a->asking || now - a->asked_ms >= REASK_MS)) {
        a->asked_tasks = tasks;
        ask(a, now, home, out);
    }
    return LEND_WAIT;
}

const char *
lend_reason(const struct lend_accounts *as, struct str customer)
{
    const struct lend_account *a = find_account(as, customer);

    return a != NULL && a->rebuilding ? LEND_SETTLING : LEND_OVER;
}

void
lend_return(struct lend_accounts *as, uint64_t now, struct str customer,
    const struct lend_charge *spend, bool refund)
{
    struct lend_account *a = find_account(as, customer);

    if (a == NULL) {
        return;
    }
    fill(a, now);
    a->running_used = num_sub_sat(a->running_used, spend->running);
    a->pending_used = num_sub_sat(a->pending_used, spend->pending);
    if (refund) {
        a->held.level = num_min(a->held.burst * MILLI,
            a->held.level + (uint64_t)spend->starts * MILLI);
        a->spent = num_sub_sat(a->spent, spend->starts);
    }
}

bool
lend_got(
    struct lend_accounts *as, uint64_t now, uint64_t from, const dw_lent *l)
{
    struct lend_account *a = find_account(as, str_bytes(&l->customer));
    uint64_t level;

    if (a == NULL || l->seq != a->seq || from != a->home || !a->asking) {
        return false;
    }
    fill(a, now);
    a->asking = false;
    a->rebuilding = l->rebuilding;
    a->scarce = l->scarce;
    if (l->rebuilding || l->exhausted) {
        a->hold_until = now + HOLD_MS;
    }
    if (l->valid_ms == 0) {
        return true;
    }
    level = a->held.level;
    a->held = l->grant;
    a->held.level = num_min(a->held.burst * MILLI, level + l->grant.level);
    /* From the question, as the home counts from after it. */
    a->until_ms = a->asked_ms + l->valid_ms;
    a->denied =
        l->exhausted && a->asked_tasks > 0 && !covers(a, now, a->asked_tasks);
    if (!a->denied) {
        a->asked_tasks = 0;
    }
    return true;
}

void
lend_tick(struct lend_accounts *as, uint64_t now, lend_home_fn home_of,
    void *ctx, struct acts *out)
{
    struct lend_account *a;
    struct lend_account *tmp;

    HASH_ITER (hh, as->accounts, a, tmp) {
        uint64_t wait = a->asking ? REASK_MS : as->cfg.renew_ms;

        fill(a, now);
        measure(a, now);
        if (now - a->used_ms > IDLE_MS && a->running_used == 0 &&
            a->pending_used == 0 && now > a->until_ms) {
            HASH_DEL(as->accounts, a);
            free(a);
            continue;
        }
        if (a->seq > 0 && now - a->asked_ms >= wait) {
            ask(a, now, home_of(ctx, str_of(a->customer)), out);
        }
    }
}
