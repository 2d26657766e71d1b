/*
 * quota - limits of a contract, lent to entries as shares
 *
 * Each customer has a lender, an agent that divides the contract's limits
 * into shares and lends them for a bounded time.  The shares on loan never
 * sum above the limits; a message that is lost or late can only leave a share
 * unused for a while.  An entry charges a job against its own share, over all
 * limits in one decision and without a round trip.
 *
 * A new lender imports its predecessor's ledger.  If the predecessor has
 * died, the new lender grants nothing new until every loan of the old one has
 * expired.  It does renew what borrowers report that they hold, because the
 * sum of those shares was bounded.
 *
 * Units: in a share, rate is in thousandths of a task start per second, level
 * (the token bucket's content) in thousandths of a start, burst in starts;
 * running and pending (running or waiting) are in tasks.  Times named *_ms
 * are on the monotonic clock that is passed in as `now`.
 *
 * Source: the all-or-nothing charge over several limits and the refund follow
 * the idea of redlimit; see docs/DESIGN.md for the measurements.
 */
#ifndef QUOTA_H
#define QUOTA_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "act.h"
#include "contract.h"

#ifdef __cplusplus
extern "C" {
#endif

struct quota_cfg {
    uint32_t valid_ms;     /* duration of a loan */
    uint32_t renew_ms;     /* between renewals; well below valid_ms */
    uint32_t settle_ms;    /* after taking over, a lender renews no loan for
                              this long: T (sync_cfg.fresh_ms) and a margin */
    uint32_t slot_hold_ms; /* after a loan expired its slots stay counted for
                              this long: tasks admitted by a borrower that is
                              no longer heard from may still run */
    uint32_t wait_ms;      /* how long a request may wait for a share */
};

/* Reasons of a refusal: the limit is reached, or the lender is new and does
 * not know yet what its predecessor has lent. */
#define QUOTA_OVER_LIMIT "over_limit"
#define QUOTA_SETTLING "limits_settling"

/* --- the lender's side --- */

struct quota_loan {
    uint64_t borrower; /* id of the entry */
    uint32_t seq;      /* of the last request handled */
    dw_share share;    /* level is not used here */
    uint64_t expires_ms;
    bool expired; /* only running and pending still count */
    struct quota_loan *next;
};

/* A customer's loans, kept by its lender. */
struct quota_ledger {
    char customer[CT_NAME_MAX];
    uint64_t opened_ms;   /* when this process became the lender; 0: the
                             ledger is known to be complete */
    uint64_t frozen_ms;   /* when another process became the lender; 0: this
                             one is */
    uint64_t handed_to;   /* the successor that received the ledger, the only
                             one that may; 0: none yet */
    uint64_t refilled_ms; /* when level was last brought up to date */
    uint64_t level;       /* of the part of the bucket that is not on loan */
    uint64_t scarce_until_ms; /* until then borrowers hold only what they
                                 need */
    struct quota_loan *loans;
    UT_hash_handle hh;
};

struct quota_lender {
    struct quota_cfg cfg;
    struct quota_ledger *ledgers; /* by customer */
};

void quota_lender_init(
    struct quota_lender *lender, const struct quota_cfg *cfg);
void quota_lender_free(struct quota_lender *lender);
/*
 * A borrower's request: records and renews what it holds, and grants more as
 * far as there is any.  `c` is the contract in force here; `never_lent` is
 * true if the customer never had another lender, so nothing can be on loan.
 */
void quota_borrow(struct quota_lender *lender, uint64_t now, uint64_t from,
    const struct contract *c, bool never_lent, const dw_borrow *b,
    struct acts *out);
/* This process becomes the customer's lender. */
void quota_open_ledger(struct quota_lender *lender, uint64_t now,
    const struct contract *c, bool never_lent);
/* This process is no longer the customer's lender: it lends nothing, but
 * keeps the ledger for valid_ms, because the successor requests it. */
void quota_freeze_ledger(
    struct quota_lender *lender, uint64_t now, struct str customer);
/* The successor requests the ledger.  Answered only if the ledger is complete
 * and frozen, and only to one successor. */
void quota_request_ledger(struct quota_lender *lender, uint64_t now,
    uint64_t from, struct str customer, struct acts *out);
/* Adopt the predecessor's ledger, unless the one here is complete. */
void quota_import_ledger(struct quota_lender *lender, uint64_t now,
    const struct contract *c, const dw_ledger *m);
/* Does the ledger hold every loan that may be in use? */
bool quota_ledger_complete(
    const struct quota_lender *lender, uint64_t now, struct str customer);
/* Free the ledgers that were frozen valid_ms ago. */
void quota_lender_tick(struct quota_lender *lender, uint64_t now);
/* Sum of all loans, without level; for tests and status. */
void quota_loan_sum(
    const struct quota_lender *lender, struct str customer, dw_share *sum);

/* --- the borrower's side --- */

enum quota_verdict {
    QUOTA_OK,
    QUOTA_WAIT,   /* a share was requested; retry when the reply comes */
    QUOTA_REFUSED /* the limit is reached */
};

/* What an entry holds of a customer's limits. */
struct quota_account {
    char customer[CT_NAME_MAX];
    dw_share held;
    uint64_t running_used; /* of held.running */
    uint64_t pending_used; /* of held.pending */
    uint64_t refilled_ms;  /* when held.level was last brought up to date */
    uint64_t expires_ms;   /* end of the loan */
    uint64_t requested_ms; /* when the last request was sent */
    uint64_t last_used_ms; /* last quota_acquire() */
    uint64_t lender;       /* that the last request was sent to */
    uint32_t seq;          /* of the last request */
    uint64_t backoff_until_ms; /* no request before: the lender had nothing
                                  to lend */
    bool request_pending;      /* no reply yet */
    bool denied;               /* the last reply did not cover the request */
    uint32_t requested_tasks;  /* the largest job the request was for */
    bool rebuilding;        /* the lender is new and grants nothing new yet */
    bool scarce;            /* other borrowers got less than they requested */
    uint64_t peak_tasks;    /* tasks of the largest job; decays */
    uint64_t peak_running;  /* slots needed at once; decays */
    uint64_t peak_pending;  /* the same of pending */
    uint64_t window_starts; /* task starts since window_begin_ms */
    uint64_t window_begin_ms;
    uint64_t start_rate; /* starts per second, times 1000, smoothed */
    UT_hash_handle hh;
};

struct quota_accounts {
    struct quota_cfg cfg;
    struct quota_account *accounts; /* by customer */
};

/* What a job was charged; quota_release() undoes it. */
struct quota_charge {
    uint32_t starts;
    uint32_t running; /* slots */
    uint32_t pending; /* tasks */
};

void quota_accounts_init(
    struct quota_accounts *as, const struct quota_cfg *cfg);
void quota_accounts_free(struct quota_accounts *as);
/*
 * Charge `tasks` starts, as many pending tasks and between one and `tasks`
 * running slots, or nothing at all.  If the share does not cover that,
 * retry_ms is set to when the caller should retry, and a larger share is
 * requested from the process `lender`.
 */
enum quota_verdict quota_acquire(struct quota_accounts *as, uint64_t now,
    struct str customer, uint64_t lender, uint32_t tasks,
    struct quota_charge *charge, uint32_t *retry_ms, struct acts *out);
/* Why the last quota_acquire() was refused: one of the reasons above. */
const char *quota_refusal_reason(
    const struct quota_accounts *as, struct str customer);
/* The job has its answer; `refund` returns the starts, too. */
void quota_release(struct quota_accounts *as, uint64_t now,
    struct str customer, const struct quota_charge *charge, bool refund);
/* The lender's reply; returns false if it is out of date. */
bool quota_loan_reply(
    struct quota_accounts *as, uint64_t now, uint64_t from, const dw_lent *l);
/* Returns the id of the customer's lender; 0: none. */
typedef uint64_t (*quota_lender_fn)(void *ctx, struct str customer);
/* Renew loans and return what is not used. */
void quota_accounts_tick(struct quota_accounts *as, uint64_t now,
    quota_lender_fn lender_of, void *ctx, struct acts *out);

#ifdef __cplusplus
}
#endif

#endif
