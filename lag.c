#include "lag.h"

#include <math.h>

/* us in which what was measured fades to a third. */
#define BUSY_US 200000.0
#define PROBE_US 200000.0
#define USUAL_US 20000000.0
/* Parts of the time busy, above which the process is behind, the lower one if
 * it is slow, as others do better then; and below which it has caught up. */
#define BEHIND 0.9
#define BEHIND_SLOW 0.7
#define CAUGHT_UP 0.5
/* us for which it must be too busy if it is not slow: a burst of messages is
 * over sooner. */
#define BEHIND_US 300000U
/* Probes before what is usual is known. */
#define PROBES_MIN 100U
/* Times the usual from which on the process is slow, and below which it is
 * not any more. */
#define SLOW 2.5
#define USUAL 1.5
/* us to stay out at least, as the balancer looks once a second and wants two
 * looks; at most, as only load shows whether it would be behind again. */
#define OUT_MIN_US 2500000U
#define OUT_MAX_US 10000000U
/* us in rotation after a time out, unless the process is slow. */
#define IN_MIN_US 20000000U
/* Part of the time busy below which there is time for others. */
#define HAS_TIME 0.5
/* Part of the time busy from which on agents are asked to report less, and
 * steps between there and BEHIND, so that they are not told of each little
 * change. */
#define PAUSE_FROM 0.4
#define PAUSE_STEPS 4

/* Part of the time busy from which on requests are given to others. */
#define GIVE_FROM 0.6

/* What is left of 1 after a time. */
static double
faded(double for_us, double in_us)
{
    return exp(-for_us / in_us);
}

void
lg_pass_start(struct lag *l, uint64_t now_us)
{
    l->pass_start_us = now_us;
    if (l->pass_end_us != 0) {
        l->utilization *= faded((double)(now_us - l->pass_end_us), BUSY_US);
    }
}

/* The first values count alike. */
static void
learn(double *mean, double value, uint32_t n, double for_us, double in_us)
{
    double weight = fmax(1.0 / (n + 1), 1 - faded(for_us, in_us));

    *mean += weight * (value - *mean);
}

/* The usual time is learned while there is nothing unusual. */
void
lg_record_probe(struct lag *l, uint64_t now_us, uint64_t took_us, size_t items)
{
    double since = (double)(now_us - l->last_probe_us);
    double item_us = (double)took_us / (double)items;

    l->last_probe_us = now_us;
    learn(&l->recent_us, item_us, l->probe_count, since, PROBE_US);
    if (!l->out_of_rotation && l->utilization < BEHIND && !lg_is_slow(l)) {
        learn(&l->baseline_us, l->recent_us, l->probe_count, since, USUAL_US);
    }
    l->probe_count++;
}

static bool
must_leave(const struct lag *l, uint64_t now_us)
{
    if (lg_is_slow(l)) {
        return l->utilization > BEHIND_SLOW;
    }
    return l->overloaded_since_us != 0 &&
           now_us - l->overloaded_since_us >= BEHIND_US &&
           (l->rotation_changed_us == 0 ||
               now_us - l->rotation_changed_us > IN_MIN_US);
}

static bool
may_return(const struct lag *l, uint64_t now_us)
{
    uint64_t out = now_us - l->rotation_changed_us;

    if (!l->removed_slow) {
        return out >= OUT_MIN_US;
    }
    if (out < OUT_MIN_US || l->utilization > CAUGHT_UP) {
        return false;
    }
    return out > OUT_MAX_US || l->recent_us < USUAL * l->baseline_us;
}

static void
decide(struct lag *l, uint64_t now_us)
{
    if (l->utilization < BEHIND) {
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
    l->utilization = 1 - faded(pass, BUSY_US) * (1 - l->utilization);
    l->pass_end_us = now_us;
    decide(l, now_us);
}

bool
lg_is_out_of_rotation(const struct lag *l)
{
    return l->out_of_rotation;
}

bool
lg_is_slow(const struct lag *l)
{
    return l->probe_count >= PROBES_MIN &&
           l->recent_us > SLOW * l->baseline_us;
}

bool
lg_has_spare_time(const struct lag *l)
{
    return l->utilization < HAS_TIME;
}

/* How far it is from a part of the time busy to being behind, 0 to 1. */
static double
toward_behind(const struct lag *l, double from)
{
    return fmin(fmax(l->utilization - from, 0) / (BEHIND - from), 1);
}

double
lg_forward_share(const struct lag *l)
{
    return l->out_of_rotation && lg_is_slow(l) ? 1
                                               : toward_behind(l, GIVE_FROM);
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
    return (uint32_t)(PAUSE_STEPS * toward_behind(l, PAUSE_FROM)) *
           LG_REPORT_INTERVAL_MAX_MS / PAUSE_STEPS;
}
