/*
 * place - choice of the host that a task is offered to
 *
 * Keeps each host's load as last reported, plus what this owner has offered
 * since.  All hosts of a small fleet are compared; of a large one a random
 * sample.
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
    PLACE_RANDOM,     /* a random usable host; experiments */
    PLACE_ROUND_ROBIN /* usable hosts in turn; experiments */
};

/* Settings. */
struct place_cfg {
    enum place_policy policy;
    uint32_t queue_allow; /* tasks offered beyond a host's free slots */
    uint32_t sample;      /* hosts compared in a large fleet */
    uint32_t scan_max;    /* in fleets up to this size, all are compared */
    uint32_t stale_ms;    /* the tasks of an older load are counted as partly
                             or all ended */
    uint32_t hints;       /* loads of other hosts in one message, at
                             most */
    uint32_t probation_permille; /* least share of failed tasks for which a
                                    host is put on probation */
    uint32_t probation_min_ms;   /* first probation; doubles each time */
    uint32_t probation_max_ms;
};

/* A host as this process knows it. */
struct place_host {
    uint64_t id;
    char rack[CT_NAME_MAX];
    bool in_service; /* alive, not leaving, failure domain in service */
    bool have_load;
    uint64_t load_ms; /* when `load` was reported */
    dw_load load;
    uint32_t offered; /* tasks offered from here and not replied to */
    uint64_t probation_until_ms; /* gets no tasks until then */
    uint32_t probation_ms;       /* length of the last probation */
    bool probing;                /* after a probation: one task at a time */
    uint32_t index;              /* in in_service[] */
    UT_hash_handle hh;
};

/* All hosts. */
struct place {
    struct place_cfg cfg;
    struct place_host *hosts;       /* by id */
    struct place_host **in_service; /* `count` of them */
    size_t count;
    size_t next_index; /* for PLACE_ROUND_ROBIN */
    uint64_t rng_state;
    uint32_t mean_run_ms; /* of ended tasks, moving average */
};

/* What a task requires of its host. */
struct place_need {
    uint32_t millicores;
    uint32_t memory_mb;
    bool guaranteed; /* within a guarantee: the host starts it before other
                        customers' queued tasks, so a long queue does not
                        matter */
};

/* `seed` is of the random generator; equal seeds give equal choices. */
void place_init(struct place *p, const struct place_cfg *cfg, uint64_t seed);
void place_free(struct place *p);
/* Updates the hosts from the members, failure domains and failure
 * detection. */
void place_sync_members(
    struct place *p, const struct view *v, const struct mbr *m);
/* A host reported its load. */
void place_set_load(
    struct place *p, uint64_t now, uint64_t id, const dw_load *load);
/* A task ended after `ms`.  The mean run time decides how fast the tasks of an
 * old load are counted as ended. */
void place_task_ended(struct place *p, uint32_t ms);
/* Writes the ids of at most max hosts whose load is to be requested to ids[],
 * and returns their number. */
size_t place_stale_hosts(
    struct place *p, uint64_t now, uint64_t *ids, size_t max);
/* Adds recently reported loads to a message to `to`, another process, which
 * may not have received them. */
void place_fill_hints(
    struct place *p, uint64_t now, uint64_t to, dw_hints *hints);
/* Uses those hints that are newer than the loads known here. */
void place_apply_hints(struct place *p, uint64_t now, const dw_hints *hints);
/* Chooses a host and counts the task as offered to it.  Returns its id, or 0
 * if none has free capacity.  `avoid` (0: none) is chosen only if no other
 * host has a free slot. */
uint64_t place_pick(struct place *p, uint64_t now,
    const struct place_need *need, uint64_t avoid);
/* A reply to n offered tasks arrived, or is no longer awaited. */
void place_offer_settled(struct place *p, uint64_t id, uint32_t n);

/* Queries. */
/* The task exceeds the size of every host in service, and all their sizes are
 * known. */
bool place_never_fits(const struct place *p, const struct place_need *need);
/* See place_host.in_service. */
bool place_in_service(const struct place *p, uint64_t id);
/* Estimated free slots of a host, less the tasks offered to it; may be
 * negative. */
int32_t place_free_slots(const struct place *p, uint64_t now, uint64_t id);
/*
 * Whether one task queued at host `queued_at` should move to another.  Every
 * owner sees the same free slots, so the decision is random: over all owners,
 * about as many tasks move as there are free slots.
 */
bool place_should_move(struct place *p, uint64_t now, uint64_t queued_at);
/* Slots of all hosts in service. */
uint32_t place_total_slots(const struct place *p);

#ifdef __cplusplus
}
#endif

#endif
