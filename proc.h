/*
 * proc - clocks, random numbers, signals and limits of a process
 *
 * The modules that make decisions get the time as an argument; only those that
 * do I/O read these clocks.
 */
#ifndef PROC_H
#define PROC_H

#include <ev.h>
#include <stdint.h>

/* Monotonic time in ms (CLOCK_BOOTTIME).  It also advances while the machine
 * is suspended, as leases held elsewhere expire meanwhile. */
uint64_t proc_now(void);
/* The same clock in us, to measure the process's own processing times. */
uint64_t proc_now_us(void);
/* Wall-clock time in ms since 1970. */
uint64_t proc_wall(void);
/* A random id from getrandom(2); never 0. */
uint64_t proc_random_id(void);
/* Call fn on the loop when signum is received; ctx is in the watcher's data.
 */
void proc_watch_signal(struct ev_loop *loop, ev_signal *w, int signum,
    void (*fn)(struct ev_loop *, ev_signal *, int), void *ctx);
/* Raise the limit of open files to its maximum and ignore SIGPIPE, so that
 * writing to a closed connection returns an error. */
void proc_raise_limits(void);

/* Close internet sockets that were inherited from the process that started
 * this one.  As long as they are open here, their peers see no end of the
 * connection.  To be called before anything is opened. */
void proc_close_inherited_sockets(void);

#endif
