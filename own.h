/*
 * own - partition ownership: assignment, takeover, hand-over
 *
 * The partition map is stored in the store and changes by compare-and-swap
 * only.  The live agent with the lowest id plans it: partitions whose owner
 * is dead or removed get a new owner under a higher epoch.  A live owner that
 * should no longer own a partition hands it over itself.
 *
 * A partition taken over without a hand-over opens only when the lost owner
 * can no longer start or admit anything (its copy of the state is too old, or
 * its process is known to be dead), after readers in a majority of failure
 * domains hold the new map, and after hosts were fenced and reported their
 * start records: all live hosts, or after 2 * quiet_ms more than half of them.
 * While records are missing, an unknown key is answered UNKNOWN.
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

/* Settings. */
struct own_cfg {
    uint32_t quiet_ms;         /* T and a margin: after this an owner without
                                  contact starts and admits nothing */
    uint32_t retention_ms;     /* W: how long hosts keep start records */
    uint32_t resend_ms;        /* between resends of fences and chunks */
    uint32_t plan_interval_ms; /* least time between two plans */
    uint32_t stable_ms;        /* a member must be listed this long before
                                  partitions are handed over to it */
    uint32_t handover_max;     /* partitions in hand-over at once */
    uint32_t leaving_handover_max; /* the same if this process may own none */
    uint32_t handover_timeout_ms;  /* a hand-over not transferred by then is
                                     aborted */
    bool no_fence; /* tests only: open without the hosts' start records */
};

/* What this process does with a partition. */
enum own_state {
    OWN_NONE,       /* not the owner */
    OWN_RECOVERING, /* taken over; closed until records are recovered */
    OWN_OPEN,
    OWN_HANDING_OVER /* frozen; the records go to the new owner */
};

#define OWN_STATES 4

/* What a transaction was for; the `ref` of ACT_TXN. */
enum own_txn { OWN_TXN_MAP = 1 };

/* A partition, as this process knows it. */
struct own_part {
    enum own_state state;
    uint64_t owner; /* as of the map last seen */
    uint64_t epoch;
    uint64_t quiet_at_ms; /* earlier owners start nothing from then on */
    /* Hand-over by this process (OWN_HANDING_OVER). */
    uint64_t handover_to; /* id of the new owner */
    uint64_t chunk_sent_ms;
    uint64_t handover_start_ms;
    uint32_t chunk;   /* number of the chunk being sent */
    uint32_t nonce;   /* identifies the hand-over; also in the map */
    bool transferred; /* the new owner has every chunk */
    bool committing;  /* a map write was sent; whether it took effect shows
                         only in the map */
    /* Hand-over to this process; in_from is 0 if there is none. */
    uint64_t in_from; /* id of the present owner */
    uint32_t in_nonce;
    uint32_t in_chunk;               /* number of the next chunk */
    bool in_complete;                /* every chunk has arrived */
    uint64_t in_incomplete_until_ms; /* see job_part.incomplete_until_ms */
    uint64_t in_received_ms;         /* last chunk */
};

/* A fenced host that has not sent all its start records yet. */
struct own_fenced {
    uint64_t host;
    uint32_t next_chunk;
};

/* A takeover of all partitions that one map change gave to this process. */
struct own_takeover {
    uint64_t epoch;
    uint64_t rev;   /* of the view that the map came with */
    uint32_t nonce; /* of its fences; hosts return it with the records */
    uint64_t started_ms;
    uint64_t sent_ms; /* fences last sent */
    uint32_t *parts;  /* partition numbers */
    size_t part_count;
    struct own_fenced *unanswered; /* hosts with records to come */
    size_t unanswered_count;
    size_t host_count; /* hosts fenced at first */
    uint64_t *removed; /* hosts that may hold records but are not listed */
    size_t removed_count;
    uint64_t prev_owner;
    bool mixed_owners; /* the partitions were of several owners */
    bool opened;       /* partitions opened; missing records are awaited */
    struct own_takeover *next;
};

/* An agent that was removed less than retention_ms ago, with its records. */
struct own_loss {
    uint64_t id;
    uint64_t removed_ms;
};

/* Counts since the process started. */
struct own_stats {
    uint64_t plans; /* maps written as the planner */
    uint64_t takeovers;
    uint64_t handed_over; /* partitions */
    uint64_t received;    /* partitions received by hand-over */
    uint64_t handovers_aborted;
};

/* Ownership as this process knows it. */
struct own {
    struct own_cfg cfg;
    uint64_t self; /* id of this process */
    const struct view *view;
    const struct mbr *mbr;
    struct sync *sync;
    struct jobs *jobs;
    struct own_part parts[VIEW_PARTS];
    size_t counts[OWN_STATES]; /* partitions by state */
    size_t incoming;           /* hand-overs being received */
    bool has_orphans;          /* the map names owners that are not listed */
    uint64_t map_epoch;        /* of the map last seen; 0 before the first */
    uint64_t map_mod;          /* its modification revision */
    struct own_takeover *takeovers;
    uint32_t nonce;          /* last one used */
    uint64_t planned_ms;     /* last plan considered, or map write to leave */
    uint64_t checked_ms;     /* last search for lost owners */
    uint64_t target_rev;     /* view that targets[] was computed from */
    uint64_t target_version; /* mbr.version that it was computed from */
    bool targets_unstable;   /* some member was not yet listed stable_ms */
    uint64_t target_ms;      /* when targets[] was computed; 0: never */
    uint64_t handover_rev;   /* view when hand-overs were last considered */
    uint64_t handover_ms;
    uint64_t targets[VIEW_PARTS]; /* id of each partition's proper owner */
    bool txn_pending;             /* a map write awaits its result */
    uint64_t commit_sent_ms;      /* last map write for hand-overs */
    bool leaving;                 /* own_leave() was called */
    struct own_loss *losses;
    size_t loss_count;
    uint64_t *agents; /* ids of the agents in the last view */
    size_t agent_count;
    uint64_t *agent_seen_ms; /* when each was first listed */
    struct own_stats stats;
};

/* Keeps the pointers. */
void own_init(struct own *o, const struct own_cfg *cfg, uint64_t self,
    const struct view *view, const struct mbr *mbr, struct sync *sync,
    struct jobs *jobs);
void own_free(struct own *o);

/* Call after each change of the view. */
void own_view_changed(struct own *o, uint64_t now, struct acts *out);
/* Resends, timeouts; with may_plan (the freshness gate) also plans the map
 * and starts hand-overs. */
void own_tick(struct own *o, uint64_t now, bool may_plan, struct acts *out);
/* A host's reply to a fence: a chunk of its start records. */
void own_records(struct own *o, uint64_t now, uint64_t from,
    const dw_records *r, struct acts *out);
/* A chunk of a hand-over to this process. */
void own_handover(struct own *o, uint64_t now, uint64_t from,
    const dw_handover *h, struct acts *out);
/* The acknowledgement of a chunk that this process sent. */
void own_handed(struct own *o, uint64_t now, uint64_t from, const dw_handed *h,
    struct acts *out);
/* The result of a transaction OWN_TXN_MAP. */
void own_txn_done(struct own *o, uint64_t now, enum txn_status status);
/* This process leaves: starts to hand all partitions over. */
void own_leave(struct own *o);
/* Deletes this member from the store; call it once own_empty(). */
void own_remove_self(struct own *o, uint64_t now, struct acts *out);

/* Number of partitions in a state. */
size_t own_count(const struct own *o, enum own_state state);
/* No partition is owned here, so none would need a takeover. */
bool own_empty(const struct own *o);

#ifdef __cplusplus
}
#endif

#endif
