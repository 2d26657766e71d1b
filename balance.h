/*
 * balance - predicted waits of entries, and the entry that queues a request
 *
 * Each entry predicts how long a new job would wait here, by service and
 * priority, and reports these waits to its origins (see relay.h).  An origin
 * whose own wait exceeds that of a peer by more than a margin forwards
 * arriving requests to the peer.
 *
 * Forwarding to a peer begins at a higher margin than it ends at, and each
 * request that is forwarded counts as part of the peer's queue until the
 * peer's reports, which are smoothed, include it.  Otherwise entries would
 * send their requests back and forth, or all to the peer that reported the
 * shortest wait.
 *
 * Source: Mitzenmacher, How Useful Is Old Information?, IEEE TPDS 2000 (load
 * reports that are out of date draw all requests to one server).
 */
#ifndef BALANCE_H
#define BALANCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "proto.h"
#include "str.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Services and priorities that are told apart; the bound of dw_waits.rows. */
#define BL_ROWS_MAX 64U
/* Bytes of a service's name with its NUL; jobs of services with a longer name
 * are not forwarded by wait. */
#define BL_NAME_MAX 64U
/* ms between two reports: at least, and at most. */
#define BL_REPORT_MIN_MS 50U
#define BL_REPORT_MAX_MS 500U
/* ms after which a report is too old: two reports in a row were lost. */
#define BL_REPORT_EXPIRY_MS 1000U
/* Own wait in ms at which peers are needed: half the least difference at which
 * forwarding begins, so that sessions are open in time. */
#define BL_NEED_PEERS_MS 50U
/* Priority of a row that applies to all jobs of the service, and wait in ms
 * that stands for a service without workers. */
#define BL_ANY_PRIORITY UINT32_MAX
#define BL_NO_WORKERS_MS 10000U

/* The predicted wait of a job that arrives now. */
struct bl_row {
    char service[BL_NAME_MAX];
    uint32_t priority;
    double wait_ms;
    double jobs; /* that wait now */
};

/* Services and priorities without a row have a wait of 0.  An entry that knows
 * no workers of a service refuses its jobs, so that none waits there: it
 * reports BL_NO_WORKERS_MS for BL_ANY_PRIORITY. */
struct bl_waits {
    struct bl_row rows[BL_ROWS_MAX];
    size_t count;
    uint64_t updated_ms; /* 0: never */
};

/* What one origin was told. */
struct bl_report {
    uint32_t seq; /* of the last report; 0: none in this session */
    uint64_t sent_ms;
    struct bl_waits *sent; /* NULL: none */
};

/* What one peer reported, and what was forwarded to it since. */
struct bl_peer {
    uint64_t session;
    uint32_t seq;
    uint64_t received_ms; /* 0: no report in this session */
    struct bl_peer_row {
        struct bl_row row;
        double added_ms; /* wait due to requests sent to the peer which its
                          * reports do not include yet */
        bool forwarding; /* it has begun and not ended */
    } rows[BL_ROWS_MAX];
    size_t count;
};

/* Records the wait of a further waiting job; the longest one counts. */
void bl_add(
    struct bl_waits *w, struct str service, uint32_t priority, double wait_ms);
/* Moves smoothed waits towards those predicted now. */
void bl_update(
    struct bl_waits *w, uint64_t now, const struct bl_waits *predicted);
/* A report is due: the waits have changed, or the last one is old. */
bool bl_report_due(
    const struct bl_report *t, uint64_t now, const struct bl_waits *own);
/* Fills in a report, which is sent at once; m refers to own.  The caller frees
 * the array of rows. */
void bl_fill_report(struct bl_report *t, uint64_t now, struct bl_waits *own,
    uint64_t session, dw_msg *m);
/* Starts anew, for a new session. */
void bl_reset_report(struct bl_report *t);
/* Handles a peer's report; false if it is of another session or not newer than
 * the last one. */
bool bl_receive(
    struct bl_peer *p, uint64_t now, uint64_t session, const dw_waits *m);
/* A request is forwarded to the peer because of its wait. */
void bl_forwarded(struct bl_peer *p, const struct bl_waits *own,
    struct str service, uint32_t priority);
/* Decides whether requests of this service and priority go to the peer, and
 * gives its expected wait.  The answer depends on the answer before. */
bool bl_should_forward(struct bl_peer *p, uint64_t now,
    const struct bl_waits *own, struct str service, uint32_t priority,
    double *wait_ms);

/* Queries. */
/* The row of BL_ANY_PRIORITY, or else that of the priority; NULL: none. */
const struct bl_row *bl_find(
    const struct bl_waits *w, struct str service, uint32_t priority);
/* The longest wait of all rows. */
uint32_t bl_longest_ms(const struct bl_waits *w);

#ifdef __cplusplus
}
#endif

#endif
