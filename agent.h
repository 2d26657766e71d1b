/*
 * agent - entries' sessions with the agent of one worker
 *
 * Each entry has one session here.  When it falls silent or its process is
 * dead, its runs are stopped; ends go back by the session that ordered them.
 * Every report tells the room on the worker.
 *
 * When there is more work than cores, each core that comes free would go to
 * the entry that hears of it first, which is the nearest: its late jobs before
 * those that could still be in time elsewhere.  So entries tell what they
 * could not place, and while that is more than the room, an agent shows room
 * to one that wants it: first for jobs that can be in time, and to the one
 * with most of them, which evens out their queues.
 *
 * An entry that is behind with its own work asks for fewer reports that only
 * tell a changed room, and gets ends of runs in fewer.
 */
#ifndef AGENT_H
#define AGENT_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "proto.h"
#include "runner.h"
#include "sess.h"

#ifdef __cplusplus
extern "C" {
#endif

/* ms between reports to one entry that only tell a changed room, for each
 * entry there is: what all entries cost stays the same. */
#define AG_CAPACITY_MS_PER_ENTRY 5U
/* From this part of the cores free on, room is told with the next beat. */
#define AG_AMPLE_DIVISOR 3
/* Ends wait for this part of the pause that an entry asks for. */
#define AG_OUTCOMES_DIVISOR 4U
/* ms after its session that an entry is forgotten; messages of an earlier
 * session are too old to be taken long before. */
#define AG_FORGET_MS 60000U

/* ms after which room that an entry wanted, was shown and did not use is
 * shown to others again; a round trip takes 2 to 6. */
#define AG_OFFER_MS 20U

/* One entry, as the agent sees it. */
struct ag_entry {
    uint64_t id;
    struct sess sess;
    uint64_t
        newest_session; /* session number; an ended one is not begun again */
    bool open;
    uint64_t opened_ms;
    uint64_t closed_ms;
    dw_want demand;
    int64_t reported_millicores; /* free, as told last */
    uint64_t
        offered_ms; /* since when it has room that it wants; 0: it has not */
    dw_msg *batch;  /* ends collected since the last flush */
    UT_hash_handle hh;
};

struct ag_ops {
    struct rn_ops worker; /* ended is not called */
    void (*send)(void *ctx, uint64_t to, const dw_msg *msg);
    /* Nothing came from there for long: connect anew. */
    void (*reconnect)(void *ctx, uint64_t to);
    void (*run_ended)(
        void *ctx, const struct rn_run *run, dw_end how, uint32_t ran_ms);
    void (*session_event)(
        void *ctx, uint64_t entry, const char *what, uint64_t silent_ms);
};

struct agent {
    const struct ag_ops *ops;
    void *ctx;
    struct runner runner;
    struct ag_entry *entries;
    uint32_t open_count; /* of entries */
    bool leaving;
};

void ag_init(
    struct agent *a, uint64_t now, const struct ag_ops *ops, void *ctx);
void ag_free(struct agent *a);
void ag_handle_orders(
    struct agent *a, uint64_t now, uint64_t from, const dw_orders *o);
/* The entry's process is dead. */
void ag_entry_dead(struct agent *a, uint64_t now, uint64_t id);
void ag_tick(struct agent *a, uint64_t now);
/* Send what was collected. */
void ag_flush(struct agent *a, uint64_t now);
void ag_leave(struct agent *a, uint64_t now);

/* Queries. */
/* Nothing runs, and everybody was told of every end. */
bool ag_done(const struct agent *a, uint64_t now);
/* Entries that are remembered, open or not. */
size_t ag_entry_count(const struct agent *a);

#ifdef __cplusplus
}
#endif

#endif
