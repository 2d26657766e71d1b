/*
 * catchup - an entry that has just started learns what the others know
 *
 * Claims and tombstones are soft state that goes to the entries known at the
 * time.  An entry that starts asks those that the store lists for theirs
 * (DW_JOIN) and starts no request until all have replied (DW_JOINED), are
 * known to be dead, or CU_TIMEOUT_MS has passed.
 *
 * Entries that register later ask in their turn.  Times are ms of one steady
 * clock.
 */
#ifndef CATCHUP_H
#define CATCHUP_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "proto.h"

#ifdef __cplusplus
extern "C" {
#endif

/* ms until an entry that has not replied is asked again, and until requests
 * are started without its reply: it may have lost power, but be listed. */
#define CU_RETRY_MS 60U
#define CU_TIMEOUT_MS 300U
/* Entries that are also asked for what they heard of others, which may be
 * gone.
 */
#define CU_ALL_FROM 2U

struct cu_peer;

struct cu_ops {
    /* Sends DW_JOIN to an entry; the caller adds its address. */
    void (*ask)(void *ctx, uint64_t to, uint32_t nonce, bool all);
    /* For the log: replies came from so many of those asked. */
    void (*ready)(void *ctx, uint32_t replies, uint32_t asked, uint64_t ms);
};

struct catchup {
    const struct cu_ops *ops;
    void *ctx;
    uint32_t nonce;
    struct cu_peer *peers;
    uint32_t asked;
    uint32_t replies;
    uint64_t begun_ms; /* 0: the store has not listed the entries yet */
    bool ready;
};

void cu_init(
    struct catchup *c, const struct cu_ops *ops, void *ctx, uint32_t nonce);
void cu_free(struct catchup *c);
/* An entry that the store lists; counts only before cu_begin(). */
void cu_add_entry(struct catchup *c, uint64_t id);
/* All entries that the store lists have been added. */
void cu_begin(struct catchup *c, uint64_t now);
/* The process of an entry is dead. */
void cu_entry_dead(struct catchup *c, uint64_t now, uint64_t id);
/* A reply of an entry came; to be called when its contents are in force. */
void cu_receive(
    struct catchup *c, uint64_t now, uint64_t from, uint32_t nonce);
/* Asks again; to be called regularly. */
void cu_tick(struct catchup *c, uint64_t now);
/* Requests may be started. */
bool cu_is_ready(const struct catchup *c);

#ifdef __cplusplus
}
#endif

#endif
