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
lg_pass_begins(struct lag *l, uint64_t now_us)
{
    l->began_us = now_us;
    if (l->ended_us != 0) {
        l->busy *= faded((double)(now_us - l->ended_us), BUSY_US);
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
lg_probe(struct lag *l, uint64_t now_us, uint64_t took_us, size_t items)
{
    double since = (double)(now_us - l->probed_us);
    double item_us = (double)took_us / (double)items;

    l->probed_us = now_us;
    learn(&l->probe_us, item_us, l->probes, since, PROBE_US);
    if (!l->out && l->busy < BEHIND && !lg_is_slow(l)) {
        learn(&l->usual_us, l->probe_us, l->probes, since, USUAL_US);
    }
    l->probes++;
}

static bool
must_leave(const struct lag *l, uint64_t now_us)
{
    if (lg_is_slow(l)) {
        return l->busy > BEHIND_SLOW;
    }
    return l->late_us != 0 && now_us - l->late_us >= BEHIND_US &&
           (l->turned_us == 0 || now_us - l->turned_us > IN_MIN_US);
}

static bool
may_return(const struct lag *l, uint64_t now_us)
{
    uint64_t out = now_us - l->turned_us;

    if (!l->left_slow) {
        return out >= OUT_MIN_US;
    }
    if (out < OUT_MIN_US || l->busy > CAUGHT_UP) {
        return false;
    }
    return out > OUT_MAX_US || l->probe_us < USUAL * l->usual_us;
}

static void
decide(struct lag *l, uint64_t now_us)
{
    if (l->busy < BEHIND) {
        l->late_us = 0;
    }
    else if (l->late_us == 0) {
        l->late_us = now_us;
    }
    if (l->out ? may_return(l, now_us) : must_leave(l, now_us)) {
        l->out = !l->out;
        l->left_slow = l->out && lg_is_slow(l);
        l->turned_us = now_us;
    }
}

void
lg_pass_ends(struct lag *l, uint64_t now_us)
{
    double pass = (double)(now_us - l->began_us);

    if (l->began_us == 0) {
        return;
    }
    l->busy = 1 - faded(pass, BUSY_US) * (1 - l->busy);
    l->ended_us = now_us;
    decide(l, now_us);
}

bool
lg_is_out(const struct lag *l)
{
    return l->out;
}

bool
lg_is_slow(const struct lag *l)
{
    return l->probes >= PROBES_MIN && l->probe_us > SLOW * l->usual_us;
}

bool
lg_has_time(const struct lag *l)
{
    return l->busy < HAS_TIME;
}

/* How far it is from a part of the time busy to being behind, 0 to 1. */
static double
toward_behind(const struct lag *l, double from)
{
    return fmin(fmax(l->busy - from, 0) / (BEHIND - from), 1);
}

double
lg_give_part(const struct lag *l)
{
    return l->out && lg_is_slow(l) ? 1 : toward_behind(l, GIVE_FROM);
}

bool
lg_gives(struct lag *l)
{
    l->give_due += lg_give_part(l);
    if (l->give_due < 1) {
        return false;
    }
    l->give_due -= 1;
    return true;
}

uint32_t
lg_pause_ms(const struct lag *l)
{
    return (uint32_t)(PAUSE_STEPS * toward_behind(l, PAUSE_FROM)) *
           LG_PAUSE_MAX_MS / PAUSE_STEPS;
}
