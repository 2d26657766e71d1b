/*
 * claim - tells entries which jobs the others have, so that a job that its
 * caller sends to another entry does not run at both
 *
 * An entry does not always learn that its caller has gone, and runs the job
 * on; the caller sends it to another entry.  So each entry announces the jobs
 * that it has had for some time (claims), again and again until they are over.
 * An entry that would start a job that another one claims lets the request
 * wait and tells the claimant (DW_MOVED), which gives the job up and withdraws
 * its claim once its runs are certainly over.  Then the request is started, or
 * once the claimant has been silent for so long that its runs are over.
 *
 * If two entries have a job, its caller is with the one that has the newer
 * request; the other one gives it up.
 *
 * Claims are soft state: an entry that has just started, or gets no messages
 * from the claimant, does not know them.  See docs/design/claims.md.
 *
 * Times are ms of one steady clock.
 */
#ifndef CLAIM_H
#define CLAIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

#include "coord.h"
#include "proto.h"
#include "resend.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Age in ms from which a job is announced.  Callers send a job again 1,300 ms
 * after their connection broke: the claim is known by then if one of its first
 * two messages arrives. */
#define CL_MIN_AGE_MS 400U
/* ms between repeated announcements. */
#define CL_ANNOUNCE_MS 400U
/* ms between looks for new and ended jobs, and between DW_MOVED messages. */
#define CL_ROUND_MS 100U
/* ms after which a claim is over if its entry is not heard: it may have died
 * right before the next announcement, and its runs outlive it. */
#define CL_EXPIRY_MS (CL_ANNOUNCE_MS + RS_RUNS_OVER_MS)
/* ms between ticks above which this entry did not listen: the time does not
 * count as silence of the others. */
#define CL_TICK_GAP_MS 100U
/* Claims announced at a time, and known of an entry: of more jobs, the newest
 * are left out, as callers send the others again sooner.  Withdrawals that
 * wait to be sent; the oldest are dropped. */
#define CL_ANNOUNCED_MAX 512U
#define CL_KNOWN_MAX 1024U
#define CL_OVER_MAX 512U

struct claims;
struct cl_own;
struct cl_peer;
struct cl_waiting;

struct cl_ops {
    /* Sends a message to all known entries, or to one. */
    void (*broadcast)(void *ctx, const dw_msg *m);
    void (*send)(void *ctx, uint64_t to, const dw_msg *m);
    /* Calls cl_hold() for each job that this entry has, see cl_hold_jobs(). */
    void (*hold)(void *ctx, struct claims *c);
    /* Starts a request that has waited; the claim is over. */
    void (*start)(void *ctx, void *handle);
    /* Answers a request that has waited: tasks of its job may have run. */
    void (*refuse)(void *ctx, void *handle, const char *reason);
    /* Gives up a job, if it is in progress here. */
    void (*give_up)(void *ctx, uint64_t job, const char *reason);
    /* An event for the log; ms since the claimed job's request was read. */
    void (*note)(void *ctx, const char *event, uint64_t job, uint64_t entry,
        uint64_t ms);
};

struct cl_stats {
    uint64_t sent;      /* claims, counted once an announcement */
    uint64_t waited;    /* requests */
    uint64_t conflicts; /* jobs that another entry had as well */
};

struct claims {
    const struct cl_ops *ops;
    void *ctx;
    uint64_t self; /* id of this entry */
    struct cl_own *own;
    struct cl_peer *peers;      /* entries that have announced claims */
    struct cl_waiting *waiting; /* requests, oldest first */
    uint64_t over[CL_OVER_MAX]; /* to be withdrawn */
    size_t over_count;
    uint64_t seq; /* of the last announcement */
    uint64_t round;
    uint64_t round_ms;     /* of the last round */
    uint64_t announced_ms; /* last announcement of all */
    uint64_t last_tick_ms;
    uint64_t regained_ms; /* see cl_regained() */
    bool wanted;          /* another entry waits for a claim of this one */
    struct cl_stats stats;
};

void cl_init(
    struct claims *c, const struct cl_ops *ops, void *ctx, uint64_t self);
void cl_free(struct claims *c);

/* An entry was added to those that are known: all claims are announced at the
 * next tick. */
void cl_entry_added(struct claims *c);
/* Adds the claims of this entry to the reply to one that has just started, if
 * all those of other entries as well.  From then on that entry has to get all
 * announcements. */
void cl_fill_joined(struct claims *c, uint64_t now, bool all, dw_joined *out);
/* Handles the claims in such a reply of the entry from. */
void cl_receive_joined(
    struct claims *c, uint64_t now, uint64_t from, const dw_joined *m);
/* This entry may have been cut off until regained_ms (0: it has not): all
 * claims are announced at the next tick, once for each such time. */
void cl_regained(struct claims *c, uint64_t regained_ms);
/* This entry has a job; since_ms: when its request was read, or when the job
 * was given up.  To be called by ops->hold(). */
void cl_hold(struct claims *c, uint64_t job, uint64_t since_ms,
    enum dw_claim_kind kind);
/* The same for each job of a coordinator. */
void cl_hold_jobs(struct claims *c, const struct coord *coord);
/* To be called before a job that is not in progress here is started.  True:
 * another entry claims it; the request waits until ops->start() or
 * ops->refuse(), at deadline_ms at the latest. */
bool cl_wait(struct claims *c, uint64_t now, uint64_t job, void *handle,
    uint64_t deadline_ms);
/* The caller of a request that waits has gone; false if it does not wait. */
bool cl_caller_left(struct claims *c, const void *handle);
/* Removes a request for the job that waits, and returns its handle; NULL if
 * there is none. */
void *cl_take(struct claims *c, uint64_t job);
/* Refuses all requests that wait. */
void cl_refuse_all(struct claims *c, const char *reason);
/* Handle messages of the entry from. */
void cl_receive_claims(
    struct claims *c, uint64_t now, uint64_t from, const dw_claims *m);
void cl_receive_moved(
    struct claims *c, uint64_t now, uint64_t from, const dw_moved *m);
/* Expires claims, starts requests and sends announcements; to be called
 * regularly. */
void cl_tick(struct claims *c, uint64_t now);

/* Queries. */
/* Another entry claims the job, or a request for it waits here. */
bool cl_may_run(const struct claims *c, uint64_t job);
/* A request for the job waits here. */
bool cl_is_waiting(const struct claims *c, uint64_t job);
/* Requests that wait. */
size_t cl_waiting_count(const struct claims *c);
/* Claims of other entries. */
size_t cl_known_count(const struct claims *c);

#ifdef __cplusplus
}
#endif

#endif
