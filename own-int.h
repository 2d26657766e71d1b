/*
 * own-int - what own.c and ownmap.c share
 *
 * Internal to the own module; others include own.h.  ownmap.c decides which
 * member should own which partition and writes the map; own.c takes
 * partitions over and hands them over.
 */
#ifndef OWN_INT_H
#define OWN_INT_H

#include "own.h"

/* ms for which the answer to who should own what is kept, and between looks
 * at what to hand over while nothing has changed. */
#define TARGET_INTERVAL_MS 1000

/* The member may own partitions: an agent that stays, in a domain in
 * service, and not known to be dead. */
bool own_eligible(const struct own *o, const struct view_member *m);
/* Work out anew who should own what, if members or the map have changed. */
void own_refresh_targets(struct own *o, uint64_t now);
/* A write of the map that fails if it has changed since it was read. */
struct txn *own_begin_map_txn(struct own *o, struct acts *out);
/* Put the map into t; the members in also are lost by this very write. */
void own_put_map(const struct own *o, uint64_t now, struct txn *t,
    const struct view_part *parts, uint64_t epoch, const uint64_t *also,
    size_t also_count);
/* The store's key of a member. */
void own_member_key(char *out, size_t cap, uint64_t id);
/* Write the map anew if that is due and this process's to do. */
void own_maybe_plan(struct own *o, uint64_t now, struct acts *out);

#endif
