/*
 * resend - how long runs may outlast the connection of their caller
 *
 * A caller whose connection breaks sends its job to another entry
 * platform.resend_ms later.  By then the first entry's runs must be over, as
 * the second one may not know of them (claim.h).  Each sum below is that of
 * one chain of faults, all at their worst.
 */
#ifndef RESEND_H
#define RESEND_H

#include <assert.h>

#include "coord.h"
#include "relay.h"
#include "runner.h"
#include "sess.h"

/* Default of platform.resend_ms: what callers of all deployments wait. */
#define RS_RESEND_MS 1300U
/* ms that scheduling, the network and the callers' timers may take beside the
 * sums; processes of a loaded machine run 20 to 40 ms late. */
#define RS_MARGIN_MS 100U

/* The entry resumes from a pause, orders runs and is lost: then the session's
 * lease, the time to stop the runs and the worker's lease pass. */
#define RS_ORPHAN_MS                                                          \
    (CO_MAX_PAUSE_MS + SESS_LEASE_MS + RN_STOP_LIMIT_MS + RN_LEASE_EXPIRY_MS)
/* The entry resumes from a pause and sees that the caller has left: its stop
 * reaches the agent within the session's lease, stays unanswered, and the
 * worker's lease passes. */
#define RS_STOPPED_MS                                                         \
    (CO_MAX_PAUSE_MS + SESS_LEASE_MS + RN_ORDERED_STOP_LIMIT_MS +             \
        RN_LEASE_EXPIRY_MS)
/* Settings must have callers wait for longer. */
#define RS_RUNS_OVER_MS                                                       \
    ((RS_ORPHAN_MS > RS_STOPPED_MS ? RS_ORPHAN_MS : RS_STOPPED_MS) +          \
        RS_MARGIN_MS)

static_assert(RS_RUNS_OVER_MS < RS_RESEND_MS, "entry paused, lost or told");
/* The margin of forwarded requests is RL_PEER_LATE_MS. */
static_assert(RL_PEER_LATE_MS >= RS_MARGIN_MS && RL_RESEND_MS < RS_RESEND_MS,
    "forwarded request");

#endif
