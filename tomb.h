/*
 * tomb - tells all entries which jobs were cancelled or have failed
 *
 * A copy of a job's request may arrive seconds after its answer, and a caller
 * may cancel a job, at another entry than the one that has or had the job.  So
 * an entry tells each other one of the jobs that ended here (tombstones) until
 * it acknowledges them.  An entry that hears of one ends the job if it is in
 * progress there, and starts no copy of it for as long as it keeps ended jobs.
 *
 * A request to cancel is answered when all entries have acknowledged the
 * tombstone, so that no loss of this entry can undo the answer; after
 * TB_SETTLE_MS it is answered without those that are not heard.
 *
 * Completed jobs are not told: a copy that runs again at another entry is
 * allowed, and a message a job would exceed what control may use.
 * See docs/design/tombstones.md.
 *
 * Times are ms of one steady clock; that of tb_flush() may be some ms before
 * those of calls that came first.
 */
#ifndef TOMB_H
#define TOMB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

#include "proto.h"

#ifdef __cplusplus
extern "C" {
#endif

/* ms for which a tombstone is told to entries that have not acknowledged it;
 * copies arrive seconds after an answer. */
#define TB_KEEP_MS 20000U
/* Tombstones of this entry that are kept; the oldest are dropped. */
#define TB_KEPT_MAX 4096U
/* Tombstones sent to an entry ahead of its acknowledgement. */
#define TB_WINDOW 192U
/* ms until tombstones are sent again; doubles without an acknowledgement. */
#define TB_RESEND_MS 100U
#define TB_RESEND_MAX_MS 800U
/* ms until a request to cancel is answered without the entries that have not
 * acknowledged it. */
#define TB_SETTLE_MS 500U
/* Jobs stopped for other entries that are told again if an acknowledgement got
 * lost. */
#define TB_STOPPED_KEPT 64U

struct tb_peer;
struct tb_pending;

/* What is known when a request to cancel is answered. */
enum tb_result {
    TB_STOPPED, /* the job was in progress here or at another entry */
    TB_ABSENT,  /* no entry had it in progress */
    TB_UNHEARD  /* the same, but not all entries have acknowledged */
};

struct tb_ops {
    /* Sends a message to an entry; it may be lost. */
    void (*send)(void *ctx, uint64_t to, const dw_msg *m);
    /* The job ended at another entry, ms ago.  Ends it here, and requests for
     * it that wait; true if it was in progress. */
    bool (*apply)(void *ctx, uint64_t job, uint64_t ms);
    /* Answers a request to cancel. */
    void (*settled)(
        void *ctx, void *handle, uint64_t job, enum tb_result result);
};

struct tb_stats {
    uint64_t added;    /* jobs that ended here */
    uint64_t received; /* jobs that ended elsewhere */
    uint64_t stopped;  /* of received: were in progress here */
    uint64_t unheard;  /* TB_UNHEARD */
};

/* A job that ended here. */
struct tb_stone {
    uint64_t job;
    uint64_t ended_ms;
};

struct tombs {
    const struct tb_ops *ops;
    void *ctx;
    struct tb_stone stones[TB_KEPT_MAX]; /* ring; number n is at n modulo
                                          * TB_KEPT_MAX */
    uint64_t first;                      /* oldest that is kept */
    uint64_t next;                       /* number of the next one */
    uint64_t stopped[TB_STOPPED_KEPT];   /* ring of jobs, for other entries */
    bool listed;                         /* see tb_set_listed() */
    struct tb_peer *peers;
    struct tb_pending *pending; /* requests to cancel, oldest first */
    struct tb_stats stats;
};

void tb_init(struct tombs *t, const struct tb_ops *ops, void *ctx);
void tb_free(struct tombs *t);
/* An entry is registered and has to be told. */
void tb_add_entry(struct tombs *t, uint64_t id);
/* Its registration has vanished: it is not waited for, and told for TB_KEEP_MS
 * more. */
void tb_entry_absent(struct tombs *t, uint64_t now, uint64_t id);
/* Its port refuses connections: it is not waited for until it is heard. */
void tb_entry_dead(struct tombs *t, uint64_t id);
/* The store has listed the entries: before that, no request is answered. */
void tb_set_listed(struct tombs *t);
/* A job was cancelled or has failed here; told at the next tb_flush(). */
void tb_add(struct tombs *t, uint64_t now, uint64_t job);
/* Calls ops->settled() for a request to cancel the job, now or later; stopped:
 * the job was in progress here.  To be called after tb_add(). */
void tb_settle(
    struct tombs *t, uint64_t now, uint64_t job, void *handle, bool stopped);
/* The sender of the request has gone; false if it is not pending. */
bool tb_caller_left(struct tombs *t, const void *handle);
/* Handle messages of the entry from. */
void tb_receive(
    struct tombs *t, uint64_t now, uint64_t from, const dw_tombs *m);
void tb_receive_ack(
    struct tombs *t, uint64_t now, uint64_t from, const dw_tombs_ack *m);
/* Sends what is new or has to be sent again, and answers requests whose time
 * is over; to be called in each pass of the loop. */
void tb_flush(struct tombs *t, uint64_t now);

#ifdef __cplusplus
}
#endif

#endif
