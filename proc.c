#include "proc.h"

#include <signal.h>
#include <sys/random.h>
#include <sys/resource.h>
#include <time.h>

static uint64_t
clock_in_ms(clockid_t id)
{
    struct timespec ts;

    clock_gettime(id, &ts);
    return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

uint64_t
proc_now(void)
{
    return clock_in_ms(CLOCK_BOOTTIME);
}

uint64_t
proc_now_us(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_BOOTTIME, &ts);
    return (uint64_t)ts.tv_sec * 1000000 + (uint64_t)ts.tv_nsec / 1000;
}

uint64_t
proc_wall(void)
{
    return clock_in_ms(CLOCK_REALTIME);
}

uint64_t
proc_random_id(void)
{
    uint64_t id = 0;

    while (id == 0) {
        if (getrandom(&id, sizeof(id), 0) != (ssize_t)sizeof(id)) {
            id = 0;
        }
    }
    return id;
}

void
proc_watch_signal(struct ev_loop *loop, ev_signal *w, int signum,
    void (*fn)(struct ev_loop *, ev_signal *, int), void *ctx)
{
    ev_signal_init(w, fn, signum);
    w->data = ctx;
    ev_signal_start(loop, w);
}

void
proc_raise_limits(void)
{
    struct rlimit r;

    if (getrlimit(RLIMIT_NOFILE, &r) == 0) {
        r.rlim_cur = r.rlim_max;
        setrlimit(RLIMIT_NOFILE, &r);
    }
    signal(SIGPIPE, SIG_IGN);
}
