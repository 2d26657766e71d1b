/*
 * lag - overload detection of an entry
 *
 * A process with a small share of a processor, or on a machine that has become
 * slow, may get more work than it can do.  Then the passes of its event loop
 * get longer, its sessions expire and requests are answered too late.  So the
 * entry measures itself: its utilization, which is the fraction of time spent
 * in passes, and the time of a regular item of work (the probe) against the
 * usual one.
 *
 * An overloaded entry leaves the load balancer's rotation.  It returns when it
 * has caught up and is about as fast as usual.  An entry that is overloaded
 * but not slow gets too much work; then all entries may, and none can relieve
 * the others, so the fraction of time that it is out of rotation is bounded.
 *
 * Source: Welsh, Culler, Brewer: SEDA, SOSP 2001 (delay as the signal).
 */
#ifndef LAG_H
#define LAG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Times are us of one steady clock. */
struct lag {
    uint64_t pass_start_us; /* of this pass */
    uint64_t pass_end_us;   /* of the pass before; 0: none yet */
    double utilization;     /* recent fraction of time spent in passes */
    uint32_t probe_count;
    double forward_due; /* requests due to be forwarded, with fraction */
    double recent_us;   /* recent mean time of an item of the probe */
    double baseline_us; /* its usual time */
    uint64_t last_probe_us;
    bool out_of_rotation;
    bool removed_slow; /* it left the rotation because it was slow */
    uint64_t rotation_changed_us; /* when it last left or returned; 0: never */
    uint64_t overloaded_since_us; /* 0: not overloaded */
};

/* Longest interval, in ms, that an agent is asked to keep between its reports
 * of changed capacity. */
#define LG_REPORT_INTERVAL_MAX_MS 100U

/* A pass of the event loop starts, or ends.  At its end the process may leave
 * the rotation or return. */
void lg_pass_start(struct lag *l, uint64_t now_us);
void lg_pass_end(struct lag *l, uint64_t now_us);
/* Records that a regular piece of work took took_us in total for a number of
 * items. */
void lg_record_probe(
    struct lag *l, uint64_t now_us, uint64_t took_us, size_t items);

/* Called for each request that arrives; true if another entry should start
 * it. */
bool lg_should_forward(struct lag *l);

/* Queries, as of the last pass. */
/* Out of the load balancer's rotation. */
bool lg_is_out_of_rotation(const struct lag *l);
/* Far slower than usual. */
bool lg_is_slow(const struct lag *l);
/* Utilization is below one half: the entry accepts forwarded requests and does
 * not need to forward its own. */
bool lg_has_spare_time(const struct lag *l);
/* Fraction of arriving requests that other entries should start. */
double lg_forward_share(const struct lag *l);
/* ms that agents are asked to keep between reports of changed capacity. */
uint32_t lg_report_interval_ms(const struct lag *l);

#ifdef __cplusplus
}
#endif

#endif
