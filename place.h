/*
 * place - which worker gets a task next
 *
 * Knows each host's load as last heard, less what this owner has offered
 * since.  Small fleets are scanned; large ones are sampled.
 *
 * Source: Ousterhout et al.: Sparrow, SOSP 2013 (sampling, late binding).
 */
#ifndef PLACE_H
#define PLACE_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "member.h"
#include "view.h"

#ifdef __cplusplus
extern "C" {
#endif

enum place_policy {
    PLACE_MOST_FREE,  /* most free slots; the default */
    PLACE_RANDOM,     /* any host in service; to compare with */
    PLACE_ROUND_ROBIN /* each in turn; to compare with */
};

struct place_cfg {
    enum place_policy policy;
    uint32_t queue_allow;        /* tasks offered beyond a host's free slots */
    uint32_t sample;             /* hosts looked at in a large fleet */
    uint32_t scan_max;           /* fleets up to this size are scanned */
    uint32_t stale_ms;           /* an older load is taken to have drained */
    uint32_t hints;              /* loads of other hosts told in a message */
    uint32_t probation_permille; /* tasks failing at a host on probation */
    uint32_t probation_min_ms;   /* first probation; doubles each time */
    uint32_t probation_max_ms;
};

struct place_host {
    uint64_t id;
    char rack[CT_NAME_MAX];
    bool in_service;
    bool have_load;
    uint64_t load_ms;
    dw_load load;
    uint32_t offered; /* items whose reply has not come */
    uint64_t probation_until_ms;
    uint32_t probation_ms;
    bool probing;
    uint32_t index;
    UT_hash_handle hh;
};

struct place {
    struct place_cfg cfg;
    struct place_host *hosts;
    struct place_host **in_service;
    size_t count;
    size_t next_index;
    uint64_t rng_state;
    uint32_t mean_run_ms; /* of tasks that ended lately */
};

/* What a task needs. */
struct place_need {
    uint32_t millicores;
    uint32_t memory_mb;
    bool guaranteed; /* goes first at the host, so it may queue where others
                        must not */
};

void place_init(struct place *p, const struct place_cfg *cfg, uint64_t seed);
void place_free(struct place *p);
/* Follow members, failure domains and failure detection. */
void place_sync_members(
    struct place *p, const struct view *v, const struct mbr *m);
void place_set_load(
    struct place *p, uint64_t now, uint64_t id, const dw_load *load);
/* A task has run for so long; loads are believed in accordingly. */
void place_task_ended(struct place *p, uint32_t ms);
/* Hosts whose load is not known as of lately, at most max of them. */
size_t place_stale_hosts(
    struct place *p, uint64_t now, uint64_t *ids, size_t max);
/* Loads heard lately, for another owner that may not have heard them. */
void place_fill_hints(
    struct place *p, uint64_t now, uint64_t to, dw_hints *hints);
void place_apply_hints(struct place *p, uint64_t now, const dw_hints *hints);
/* Choose a host and count the task as offered there; 0 if none has room.
 * `avoid` is chosen only where no other host has a free slot. */
uint64_t place_pick(struct place *p, uint64_t now,
    const struct place_need *need, uint64_t avoid);
/* A reply to `n` offered items came, or never will. */
void place_offer_settled(struct place *p, uint64_t id, uint32_t n);

/* Queries. */
/* No host in service could ever hold the task, and all are known. */
bool place_never_fits(const struct place *p, const struct place_need *need);
bool place_in_service(const struct place *p, uint64_t id);
/* Free slots of a host as known here. */
int32_t place_free_slots(const struct place *p, uint64_t now, uint64_t id);
/*
 * Should one task queued at host `than` go elsewhere?  Every owner sees the
 * same free slots, so each draws: about as many tasks move, over all owners,
 * as there are free slots.
 */
bool place_should_move(struct place *p, uint64_t now, uint64_t than);
/* Slots of all hosts in service. */
uint32_t place_total_slots(const struct place *p);

#ifdef __cplusplus
}
#endif

#endif
