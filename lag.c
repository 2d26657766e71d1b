#include "lag.h"

#include <math.h>

/* Time constants of the moving averages, in us. */
#define UTILIZATION_DECAY_US 200000.0
#define PROBE_DECAY_US 200000.0
#define BASELINE_DECAY_US 20000000.0
/* Utilization above which the process is overloaded: lower if it is slow, as
 * other entries do better then; and below which it has caught up. */
#define OVERLOADED 0.9
#define OVERLOADED_SLOW 0.7
#define CAUGHT_UP 0.5
/* us for which a process that is not slow must be overloaded before it leaves
 * the rotation: a burst of messages is over sooner. */
#define OVERLOADED_MIN_US 300000U
/* Probes after which the usual time is known. */
#define MIN_PROBES 100U
/* Multiple of the usual probe time above which the process is slow, and below
 * which it is as fast as usual again. */
#define SLOW_FACTOR 2.5
#define USUAL_FACTOR 1.5
/* Least us out of rotation: the load balancer checks once a second and needs
 * two checks.  Most us for a process that stays slow but has caught up: only
 * load shows whether it becomes overloaded again. */
#define OUT_MIN_US 2500000U
#define OUT_MAX_US 10000000U
/* Least us in rotation after a return, unless the process is slow. */
#define IN_MIN_US 20000000U
/* Utilization below which there is time for requests of other entries. */
#define SPARE_TIME_MAX 0.5
/* Utilization above which agents are asked to report less often, and the
 * number of steps from there to OVERLOADED, so that not every small change is
 * sent to them. */
#define INTERVAL_FROM 0.4
#define INTERVAL_STEPS 4
/* Utilization above which requests are forwarded to other entries. */
#define FORWARD_FROM 0.6

/* What remains of 1 after for_us of exponential decay. */
static double
decayed(double for_us, double decay_us)
{
    return exp(-for_us / decay_us);
}

void
lg_pass_start(struct lag *l, uint64_t now_us)
{
    l->pass_start_us = now_us;
    if (l->pass_end_us != 0) {
        l->utilization *=
            decayed((double)(now_us - l->pass_end_us), UTILIZATION_DECAY_US);
    }
}

/* Updates a moving average; the first values have equal weight. */
static void
update_mean(
    double *mean, double value, uint32_t n, double for_us, double decay_us)
{
    double weight = fmax(1.0 / (n + 1), 1 - decayed(for_us, decay_us));

    *mean += weight * (value - *mean);
}

/* The usual time is learned only while the process is neither overloaded nor
 * slow. */
void
lg_record_probe(struct lag *l, uint64_t now_us, uint64_t took_us, size_t items)
{
    double since = (double)(now_us - l->last_probe_us);
    double item_us = (double)took_us / (double)items;

    l->last_probe_us = now_us;
    update_mean(&l->recent_us, item_us, l->probe_count, since, PROBE_DECAY_US);
    if (!l->out_of_rotation && l->utilization < OVERLOADED && !lg_is_slow(l)) {
        update_mean(&l->baseline_us, l->recent_us, l->probe_count, since,
            BASELINE_DECAY_US);
    }
    l->probe_count++;
}

static bool
must_leave(const struct lag *l, uint64_t now_us)
{
    if (lg_is_slow(l)) {
        return l->utilization > OVERLOADED_SLOW;
    }
    return l->overloaded_since_us != 0 &&
           now_us - l->overloaded_since_us >= OVERLOADED_MIN_US &&
           (l->rotation_changed_us == 0 ||
               now_us - l->rotation_changed_us > IN_MIN_US);
}

static bool
may_return(const struct lag *l, uint64_t now_us)
{
    uint64_t out_us = now_us - l->rotation_changed_us;

    if (!l->removed_slow) {
        return out_us >= OUT_MIN_US;
    }
    if (out_us < OUT_MIN_US || l->utilization > CAUGHT_UP) {
        return false;
    }
    return out_us > OUT_MAX_US || l->recent_us < USUAL_FACTOR * l->baseline_us;
}

static void
update_rotation(struct lag *l, uint64_t now_us)
{
    if (l->utilization < OVERLOADED) {
        l->overloaded_since_us = 0;
    }
    else if (l->overloaded_since_us == 0) {
        l->overloaded_since_us = now_us;
    }
    if (l->out_of_rotation ? may_return(l, now_us) : must_leave(l, now_us)) {
        l->out_of_rotation = !l->out_of_rotation;
        l->removed_slow = l->out_of_rotation && lg_is_slow(l);
        l->rotation_changed_us = now_us;
    }
}

void
lg_pass_end(struct lag *l, uint64_t now_us)
{
    double pass = (double)(now_us - l->pass_start_us);

    if (l->pass_start_us == 0) {
        return;
    }
    l->utilization =
        1 - decayed(pass, UTILIZATION_DECAY_US) * (1 - l->utilization);
    l->pass_end_us = now_us;
    update_rotation(l, now_us);
}

bool
lg_is_out_of_rotation(const struct lag *l)
{
    return l->out_of_rotation;
}

bool
lg_is_slow(const struct lag *l)
{
    return l->probe_count >= MIN_PROBES &&
           l->recent_us > SLOW_FACTOR * l->baseline_us;
}

bool
lg_has_spare_time(const struct lag *l)
{
    return l->utilization < SPARE_TIME_MAX;
}

/* Position of the utilization between from and OVERLOADED, 0 to 1. */
static double
overload_progress(const struct lag *l, double from)
{
    return fmin(fmax(l->utilization - from, 0) / (OVERLOADED - from), 1);
}

double
lg_forward_share(const struct lag *l)
{
    return l->out_of_rotation && lg_is_slow(l)
               ? 1
               : overload_progress(l, FORWARD_FROM);
}

bool
lg_should_forward(struct lag *l)
{
    l->forward_due += lg_forward_share(l);
    if (l->forward_due < 1) {
        return false;
    }
    l->forward_due -= 1;
    return true;
}

uint32_t
lg_report_interval_ms(const struct lag *l)
{
    return (uint32_t)(INTERVAL_STEPS * overload_progress(l, INTERVAL_FROM)) *
           LG_REPORT_INTERVAL_MAX_MS / INTERVAL_STEPS;
}
