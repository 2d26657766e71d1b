#include "guess.h"

#include <stdbool.h>

#include "num.h"

/* Declared times off by 40 % lie within these bounds of the true ones for
 * all but one in some hundred jobs. */
#define LEAST_PERCENT 40U
#define MOST_PERCENT 250U

static uint32_t
objective_of(const struct gs_route *r, uint32_t run_ms)
{
    return (uint32_t)((uint64_t)run_ms * r->stretch_milli / 1000) + r->slo_ms;
}

/* The run time that a deadline tells; 0 if it tells none. */
static uint32_t
told_by(const struct gs_route *r, uint32_t left_ms)
{
    uint64_t objective = num_minus(left_ms, r->timeout_ms) / GS_USE_OBJECTIVES;

    if (objective <= r->slo_ms || r->stretch_milli == 0) {
        return 0;
    }
    return (uint32_t)((objective - r->slo_ms) * 1000 / r->stretch_milli);
}

static bool
is_below(uint32_t told_ms, uint32_t declared_ms)
{
    return (uint64_t)told_ms * 100 < (uint64_t)declared_ms * LEAST_PERCENT;
}

static bool
is_above(uint32_t told_ms, uint32_t declared_ms)
{
    return (uint64_t)told_ms * 100 > (uint64_t)declared_ms * MOST_PERCENT;
}

struct gs_guess
gs_times(const struct gs_route *r, uint32_t declared_ms, uint32_t left_ms)
{
    uint32_t told = told_by(r, left_ms);
    struct gs_guess g;

    g.run_ms = declared_ms;
    g.use_ms = left_ms;
    if (is_below(told, declared_ms)) {
        /* Its caller has waited before, or waits for less than the work
         * takes: what objective it had has passed. */
        g.objective_ms = 0;
        return g;
    }
    if (!is_above(told, declared_ms)) {
        g.run_ms = told;
        g.use_ms = left_ms - r->timeout_ms;
    }
    /* Otherwise the caller has a habit of its own: while it waits, an answer
     * is taken to be of use. */
    g.objective_ms = objective_of(r, g.run_ms);
    return g;
}
