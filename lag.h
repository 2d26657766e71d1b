/*
 * lag - how far an entry keeps up with what it must read and do
 *
 * A process with a small share of a processor, or one whose machine has turned
 * slow, may be given more than it can do.  Then each pass of its loop gets
 * longer, its sessions fall silent and what it took in is answered too late.
 * Here it measures itself: the part of the time that it spends in passes, and
 * what an item of work that it does anyway takes against what it usually does.
 *
 * An entry that is behind leaves the balancer's rotation.  It comes back when
 * it has caught up and is as fast as usual again.  If it is not slow, it has
 * more to do than it can; then all may have, and none can help the others, so
 * the part of the time that it may be out is bounded.
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
    uint64_t pass_start_us; /* this pass */
    uint64_t pass_end_us;   /* the pass before; 0: none yet */
    double utilization;     /* part of the time spent in passes, lately */
    uint32_t probe_count;
    double forward_due; /* requests that should have been given */
    double recent_us;   /* what an item of the probe takes, lately */
    double baseline_us; /* and usually */
    uint64_t last_probe_us;
    bool out_of_rotation;
    bool removed_slow;            /* it went out as it was slow */
    uint64_t rotation_changed_us; /* when it went out or came back last */
    uint64_t overloaded_since_us; /* since when it is too busy; 0: it is not */
};

/* ms between its reports on a changed room that an agent is asked to leave, at
 * the most. */
#define LG_REPORT_INTERVAL_MAX_MS 100U

void lg_pass_start(struct lag *l, uint64_t now_us);
void lg_pass_end(struct lag *l, uint64_t now_us);
/* A piece of work that is done regularly took this long for so many items. */
void lg_record_probe(
    struct lag *l, uint64_t now_us, uint64_t took_us, size_t items);

/* A request has come; true if another entry had better begin it. */
bool lg_should_forward(struct lag *l);

/* Queries, as of the last pass. */
/* Out of the balancer's rotation. */
bool lg_is_out_of_rotation(const struct lag *l);
/* Far slower than usual. */
bool lg_is_slow(const struct lag *l);
/* Less than half of the time busy: requests of others are welcome, and others
 * need not begin ours. */
bool lg_has_spare_time(const struct lag *l);
/* The part of the requests that come which others had better begin. */
double lg_forward_share(const struct lag *l);
/* ms that agents are asked to leave between reports on their room. */
uint32_t lg_report_interval_ms(const struct lag *l);

#ifdef __cplusplus
}
#endif

#endif
