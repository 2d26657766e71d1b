/*
 * front - an entry's requests, from the caller's message to the answer
 *
 * A request is charged to its contract, sent to the owner of its partition
 * and resent until that owner answers.  While the partition map changes, it
 * is retried with a back-off for a bounded time; after that the caller gets
 * the answer that the outcome is unknown.  Each request has its own id, and
 * an answer goes only to the caller that waits for that id.
 *
 * Times named *_ms are milliseconds: settings are durations, fields of a
 * request are on the monotonic clock that is passed in as `now`.
 */
#ifndef FRONT_H
#define FRONT_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "act.h"
#include "quota.h"
#include "subkey.h"
#include "view.h"

#ifdef __cplusplus
extern "C" {
#endif

struct front_cfg {
    uint32_t owner_timeout_ms; /* after so long without a reply from an
                                  owner the answer is "unknown" */
    uint32_t max_age_ms;       /* an older request may attach to a job that
                                  exists, but not start one */
    uint32_t resend_ms;        /* between resends of a request that got no
                                  reply */
    uint32_t retry_min_ms;     /* first back-off after an owner was not ready;
                                  it doubles */
    uint32_t retry_max_ms;     /* longest back-off */
    uint32_t answer_grace_ms;  /* after the deadline, for the owner's answer to
                                  arrive */
    uint32_t requests_max;     /* most requests without an answer */
    struct quota_cfg quota;
};

enum front_kind { FRONT_SUBMIT, FRONT_POLL, FRONT_CANCEL };

struct front_req {
    uint64_t request; /* id */
    enum front_kind kind;
    struct subkey sk; /* customer and the caller's key */
    dw_msg *msg;      /* a DW_SUBMIT; owned by the request */
    bool needs_quota; /* not charged yet, so not sent yet */
    bool charged;     /* charge is set and not released */
    struct quota_charge charge;
    uint64_t received_ms; /* earliest time at which it may have arrived */
    uint64_t deadline_ms;
    uint64_t quota_wait_until_ms; /* after this it is sent without a charge */
    uint64_t last_reply_ms;       /* of an owner; at first the arrival */
    uint64_t next_try_ms;         /* to send, or to charge if needs_quota */
    uint32_t backoff_ms;          /* 0: the last reply was not DW_A_MOVED */
    uint64_t sent_to;             /* the owner last sent to; 0: none */
    UT_hash_handle hh;
};

struct front_stats {
    uint64_t requests;
    uint64_t sends; /* messages to owners, with resends */
    uint64_t resends;
    uint64_t quota_waits;  /* attempts to charge that had to wait */
    uint64_t over_limit;   /* requests sent without a charge */
    uint64_t backoffs;     /* replies of owners that were not ready */
    uint64_t gave_up;      /* requests answered "unknown" here */
    uint64_t late_answers; /* for requests that no longer exist */
};

struct front {
    struct front_cfg cfg;
    const struct view *view;
    struct quota_accounts accounts;
    struct front_req *reqs; /* by id */
    uint64_t seed;          /* state of the random generator */
    uint64_t last_scan_ms;
    struct front_stats stats;
};

enum front_status { FRONT_OK, FRONT_BUSY };

/* Keeps `view`.  `self`, the id of this process, seeds the back-off. */
void front_init(struct front *f, const struct front_cfg *cfg,
    const struct view *view, uint64_t self);
void front_free(struct front *f);

/*
 * Accept a request that may have waited for up to age_ms before this process
 * read it; its deadline is in deadline_ms from now.  msg is a DW_SUBMIT whose
 * customer, key, body_hash and tasks are set; the front owns it from here.
 * The answer comes as an ACT_ANSWER with the request's id.  FRONT_BUSY: too
 * many requests wait here, nothing was sent.
 */
enum front_status front_request(struct front *f, uint64_t now,
    uint64_t request, enum front_kind kind, dw_msg *msg, uint32_t age_ms,
    uint32_t deadline_ms, struct acts *out);
/* Answers all requests as unknown: this process leaves. */
void front_give_up_all(struct front *f, uint64_t now, struct acts *out);
/* The caller has disconnected; nobody waits for the answer. */
void front_caller_disconnected(
    struct front *f, uint64_t now, uint64_t request);
/* An owner's DW_ANSWER. */
void front_answer(struct front *f, uint64_t now, uint64_t from, dw_msg *msg,
    struct acts *out);
/* A lender's reply: charges the requests that wait for it. */
void front_loan_reply(struct front *f, uint64_t now, uint64_t from,
    const dw_lent *l, struct acts *out);
/* The partition map has changed: resend to the new owners at once. */
void front_view_changed(struct front *f, uint64_t now, struct acts *out);
/* Resends, retries and timeouts; renews the loans of the quota accounts. */
void front_tick(struct front *f, uint64_t now, struct acts *out);

/* Queries. */
/* Number of requests without an answer. */
size_t front_waiting(const struct front *f);
/* Id of the customer's lender, the agent that lends its limits; 0: none. */
uint64_t front_lender(const struct view *v, struct str customer);
/* The same, computed as if the agent `without` were not a member. */
uint64_t front_lender_without(
    const struct view *v, struct str customer, uint64_t without);

#ifdef __cplusplus
}
#endif

#endif
