/*
 * trail - event history of submissions, for `dunlinweir explain`
 *
 * A ring buffer of events in memory; the oldest are overwritten.
 */
#ifndef TRAIL_H
#define TRAIL_H

#include <stdint.h>

#include "str.h"

#ifdef __cplusplus
extern "C" {
#endif

struct trail;

/* max is the capacity in events. */
struct trail *trail_new(size_t max);
void trail_free(struct trail *t);
/* Add an event of customer's submission key.  wall_ms is the time in ms
 * since the epoch; text is truncated to 159 bytes. */
void trail_add(struct trail *t, uint64_t wall_ms, struct str customer,
    struct str key, struct str text);
/* Append one submission's events, oldest first, as a JSON array of
 * {"ms","text"}. */
void trail_format(const struct trail *t, struct str customer, struct str key,
    struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
