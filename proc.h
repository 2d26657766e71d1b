/*
 * proc - what every process of dunlinweir needs from its system
 *
 * Clocks, random numbers, signals on the loop, limits.  The deciding modules
 * get the time as an argument; only those that carry out ask for it here.
 */
#ifndef PROC_H
#define PROC_H

#include <ev.h>
#include <stdint.h>

/* Present time in ms.  It goes on while a suspended machine sleeps, as leases
 * elsewhere run on meanwhile. */
uint64_t proc_now(void);
/* The same in us, for what the process itself takes. */
uint64_t proc_now_us(void);
/* Time of day in ms since 1970. */
uint64_t proc_wall(void);
/* Never 0. */
uint64_t proc_random_id(void);
void proc_watch_signal(struct ev_loop *loop, ev_signal *w, int signum,
    void (*fn)(struct ev_loop *, ev_signal *, int), void *ctx);
/* As many descriptors as may be had; a write to a closed connection is an
 * error, not a signal. */
void proc_raise_limits(void);

#endif
