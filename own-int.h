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

#define TARGET_MS 1000

bool own_eligible(const struct own *o, const struct view_member *m);
void own_refresh_targets(struct own *o, uint64_t now);
struct txn *own_begin_map_txn(struct own *o, struct acts *out);
void own_put_map(const struct own *o, uint64_t now, struct txn *t,
    const struct view_part *parts, uint64_t epoch, const uint64_t *also,
    size_t also_count);
void own_member_key(char *out, size_t cap, uint64_t id);
void own_maybe_plan(struct own *o, uint64_t now, struct acts *out);

#endif
