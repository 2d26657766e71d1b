#include "proc.h"

#include <dirent.h>
#include <signal.h>
#include <stdbool.h>
#include <stdlib.h>
#include <sys/random.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

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

static bool
is_internet_socket(int fd)
{
    int domain;
    socklen_t n = sizeof(domain);

    return getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &n) == 0 &&
           (domain == AF_INET || domain == AF_INET6);
}

/* Other descriptors stay open: preloaded libraries may have opened some, which
 * close_range(2) would take from them. */
void
proc_close_inherited_sockets(void)
{
    DIR *dir = opendir("/proc/self/fd");
    const struct dirent *entry;

    if (dir == NULL) {
        return;
    }
    while ((entry = readdir(dir)) != NULL) {
        int fd = atoi(entry->d_name);

        if (fd > STDERR_FILENO && is_internet_socket(fd)) {
            close(fd);
        }
    }
    closedir(dir);
}
