/*
 * withdraw - whether an agent's failure domain is withdrawn
 *
 * An agent starts tasks for any entry with a session, also for one that has
 * not heard of a withdrawal: entries may be unable to reach both the
 * platform's store and other entries.  So the agent has the last word.  Each
 * entry tells its agents the state of their domain as of a revision of the
 * store (DW_WITHDRAWN), whenever it changes and while the store confirms it;
 * the newest revision counts.  An agent that has sessions but has not been
 * told of a confirmation for WD_STALE_MS reads the store itself.
 *
 * While neither is possible, the last known state stays in force: the store
 * may be away for all, and tasks go on.  Times are ms of one steady clock.
 */
#ifndef WITHDRAW_H
#define WITHDRAW_H

#include <stdbool.h>
#include <stdint.h>

#include "proto.h"

#ifdef __cplusplus
extern "C" {
#endif

/* ms between an entry's messages to an agent while nothing changes. */
#define WD_TELL_MS 1500U
/* ms without a confirmation after which an agent reads the store: more than an
 * entry's watch and WD_TELL_MS take, and a withdrawal must be in force within
 * 5 s of its acknowledgement. */
#define WD_STALE_MS 2600U
/* ms between an agent's reads. */
#define WD_READ_MS 1000U

/* An agent's knowledge. */
struct wd_state {
    uint64_t rev; /* of the store; 0: nothing known yet */
    bool withdrawn;
    uint64_t confirmed_ms; /* when the store had this state */
    uint64_t read_ms;      /* last read */
    uint64_t reads;        /* since the start */
};

/* What an entry has told one agent. */
struct wd_told {
    uint64_t session;
    bool withdrawn;
    uint64_t told_ms;
    uint64_t confirmed_ms; /* then */
};

/* Nothing is known yet; no read is due before WD_STALE_MS. */
void wd_init(struct wd_state *s, uint64_t now);
/* The state as of a revision, which the store had age_ms ago.  True: it has
 * changed. */
bool wd_update(struct wd_state *s, uint64_t now, uint64_t rev, uint64_t age_ms,
    bool withdrawn);
/* The agent should read the store now; counts as a read. */
bool wd_read_due(struct wd_state *s, uint64_t now);
/* An entry should tell the agent now; counts as told.  confirmed_ms: when the
 * store last confirmed the state to the entry. */
bool wd_tell_due(struct wd_told *t, uint64_t now, uint64_t session,
    bool withdrawn, uint64_t confirmed_ms);

#ifdef __cplusplus
}
#endif

#endif
