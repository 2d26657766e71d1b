/*
 * own - who owns which partition: assignment, takeover, hand-over
 *
 * The partition map lives in the store and changes by compare-and-swap only.
 * The live agent with the lowest id plans it: partitions of members that are
 * dead or gone get new owners under a higher epoch.  An owner that should
 * no longer own a partition hands it over itself.
 *
 * A partition taken over without hand-over opens only when the lost owner
 * cannot start or admit anything any more (its copy of the state is too old,
 * or its process is proved dead), and after every live host was fenced and
 * has told its start records.
 */
#ifndef OWN_H
#define OWN_H

#include <stdbool.h>
#include <stdint.h>

#include "act.h"
#include "job.h"
#include "member.h"
#include "sync.h"
#include "view.h"

#ifdef __cplusplus
extern "C" {
#endif

struct own_cfg {
    uint32_t quiet_ms;     /* T and a margin: a lost owner is silent after */
    uint32_t retention_ms; /* W */
    uint32_t resend_ms;    /* fences and hand-overs */
    uint32_t plan_interval_ms; /* least time between two plans */
    uint32_t stable_ms;    /* a member must live this long before partitions
                              are handed to it */
    uint32_t handover_max; /* partitions in hand-over at once */
    uint32_t leaving_handover_max; /* the same while leaving */
    uint32_t handover_timeout_ms;  /* an unanswered hand-over is taken back */
    bool no_fence;                 /* tests only: what the fence is for */
};

enum own_state { OWN_NONE, OWN_RECOVERING, OWN_OPEN, OWN_HANDING_OVER };

#define OWN_STATES 4

/* What a transaction was for; in ACT_TXN's ref. */
enum own_txn { OWN_TXN_MAP = 1 };

struct own_part {
    enum own_state state;
    uint64_t owner; /* as of the map last seen */
    uint64_t epoch;
    uint64_t quiet_at_ms; /* earlier owners are silent from then on */
    /* giving */
    uint64_t handover_to;
    uint64_t chunk_sent_ms; /* when the last chunk was sent */
    uint64_t handover_start_ms;
    uint32_t chunk;
    uint32_t nonce;
    bool transferred; /* the new owner has everything */
    bool committing;  /* a swap was tried; only the map can tell the rest */
    /* taking */
    uint64_t in_from;
    uint32_t in_nonce;
    uint32_t in_chunk;
    bool in_complete;
    uint64_t in_incomplete_until_ms;
    uint64_t in_received_ms;
};

/* A host that was fenced, and how much of its answer has come. */
struct own_fenced {
    uint64_t host;
    uint32_t next_chunk;
};

/* One takeover: all partitions that came with one map. */
struct own_takeover {
    uint64_t epoch;
    uint64_t rev;
    uint32_t nonce;
    uint64_t started_ms;
    uint64_t sent_ms;
    uint32_t *parts;
    size_t part_count;
    struct own_fenced *unanswered; /* hosts that have not answered */
    size_t unanswered_count;
    size_t host_count;
    uint64_t *removed; /* hosts that may hold records but are not listed */
    size_t removed_count;
    uint64_t prev_owner; /* whose partitions these were */
    bool mixed_owners;   /* of several owners */
    bool opened;         /* if still kept, some records are missing */
    struct own_takeover *next;
};

/* A member that went away within W. */
struct own_loss {
    uint64_t id;
    uint64_t removed_ms;
};

struct own_stats {
    uint64_t plans;
    uint64_t takeovers;
    uint64_t handed_over;
    uint64_t received;
    uint64_t handovers_aborted;
};

struct own {
    struct own_cfg cfg;
    uint64_t self;
    const struct view *view;
    const struct mbr *mbr;
    struct sync *sync;
    struct jobs *jobs;
    struct own_part parts[VIEW_PARTS];
    size_t counts[OWN_STATES]; /* of parts by state */
    size_t incoming;           /* parts that a hand-over is coming for */
    bool has_orphans;          /* the map names owners that are gone */
    uint64_t map_epoch;        /* of the map last seen; 0 before the first */
    uint64_t map_mod;
    struct own_takeover *takeovers;
    uint32_t nonce;
    uint64_t planned_ms;
    uint64_t checked_ms;
    uint64_t target_rev;     /* view that want[] was computed for */
    uint64_t target_version; /* and states of members */
    bool targets_unstable;   /* some member was not steady yet */
    uint64_t target_ms;
    uint64_t handover_rev; /* when hand-overs were last begun */
    uint64_t handover_ms;
    uint64_t targets[VIEW_PARTS];
    bool txn_pending;
    uint64_t commit_sent_ms;
    bool leaving;
    struct own_loss *losses;
    size_t loss_count;
    uint64_t *agents; /* agents of the last view */
    size_t agent_count;
    uint64_t *agent_seen_ms;
    struct own_stats stats;
};

void own_init(struct own *o, const struct own_cfg *cfg, uint64_t self,
    const struct view *view, const struct mbr *mbr, struct sync *sync,
    struct jobs *jobs);
void own_free(struct own *o);

/* Follow a view that has moved. */
void own_view_changed(struct own *o, uint64_t now, struct acts *out);
/* `may_plan` is the freshness gate. */
void own_tick(struct own *o, uint64_t now, bool may_plan, struct acts *out);
void own_records(struct own *o, uint64_t now, uint64_t from,
    const dw_records *r, struct acts *out);
void own_handover(struct own *o, uint64_t now, uint64_t from,
    const dw_handover *h, struct acts *out);
void own_handed(struct own *o, uint64_t now, uint64_t from, const dw_handed *h,
    struct acts *out);
void own_txn_done(struct own *o, uint64_t now, enum txn_status status);
/* This process leaves: hand everything over. */
void own_leave(struct own *o);
/* Take this member off the list, once own_empty(). */
void own_remove_self(struct own *o, uint64_t now, struct acts *out);

/* Queries. */
size_t own_count(const struct own *o, enum own_state state);
/* Nothing is left here that another would have to take over. */
bool own_empty(const struct own *o);

#ifdef __cplusplus
}
#endif

#endif
