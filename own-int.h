/*
 * own-int - declarations shared by own.c and ownmap.c
 *
 * Internal to the own module; others include own.h.  ownmap.c decides which
 * member should own which partition and writes the map; own.c takes
 * partitions over and hands them over.
 */
#ifndef OWN_INT_H
#define OWN_INT_H

#include "own.h"

/* How long targets[] are used while members are not stable yet, and least
 * time between searches for partitions to hand over in an unchanged view. */
#define TARGET_INTERVAL_MS 1000

/* The member may own partitions: an agent that is not leaving, in a failure
 * domain in service, and not known to be dead. */
bool own_eligible(const struct own *o, const struct view_member *m);
/* Recomputes targets[] if members or the map have changed. */
void own_refresh_targets(struct own *o, uint64_t now);
/* Begins a map write that fails if the map has changed since it was read. */
struct txn *own_begin_map_txn(struct own *o, struct acts *out);
/* Adds the map to t; the members in `also` are removed by this write and
 * listed as losses with those known. */
void own_put_map(const struct own *o, uint64_t now, struct txn *t,
    const struct view_part *parts, uint64_t epoch, const uint64_t *also,
    size_t also_count);
/* The store's key of a member. */
void own_member_key(char *out, size_t cap, uint64_t id);
/* Replaces dead and removed owners in the map, if this process is the planner
 * and a plan is due. */
void own_maybe_plan(struct own *o, uint64_t now, struct acts *out);

#endif
