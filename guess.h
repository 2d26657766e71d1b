/*
 * guess - how long a job's tasks run, and until when its answer is of use
 *
 * Declared run times are off by 40 %.  A caller's deadline knows better: it
 * was measured to be the route's timeout plus the time in which an answer is
 * of use, which is three objectives, and an objective is the stretched run
 * time plus the route's allowance (docs/DESIGN.md, "Deadlines").  Where the
 * two disagree by more than estimates are off, the declared time holds; and
 * where less time is left than that, the caller has tried before.
 *
 * After a loss of power all callers of some two seconds come at once, those
 * that try again with those that come now.  Served as they come, nearly all
 * are late; the objective of a request that is sent again has passed, so
 * that those which come now are served in time before it.
 */
#ifndef GUESS_H
#define GUESS_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* An answer is late but of use for so many objectives. */
#define GS_USE_OBJECTIVES 3U

struct gs_route {
    uint32_t stretch_milli; /* thousandths of the longest chain of work */
    uint32_t slo_ms;        /* on top of the stretched work */
    uint32_t timeout_ms;
};

struct gs_guess {
    uint32_t run_ms;       /* of the longest task at usual speed */
    uint32_t objective_ms; /* from now; 0: it has passed */
    uint32_t use_ms;       /* from now; an answer later is of no use */
};

struct gs_guess gs_times(
    const struct gs_route *r, uint32_t declared_ms, uint32_t left_ms);

#ifdef __cplusplus
}
#endif

#endif
