/* A loopback proxy that resets, delays or silences what passes. */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "soak.h"

#define SLOW_S 0.02

/* One direction of a pair. */
struct half {
    ev_io io;
    ev_timer later;
    int from;
    int to;
    bool deaf; /* stays silent for good */
    bool back; /* from the agent to the entry */
    struct pair *pair;
};

struct pair {
    struct half halves[2];
    struct proxy *proxy;
    struct pair *prev;
    struct pair *next;
};

struct proxy {
    struct ev_loop *loop;
    ev_io accept;
    int fd;
    uint16_t to;
    enum proxy_mode mode;
    struct pair *pairs;
};

static void
free_pair(struct pair *p, bool reset)
{
    struct linger hard = {1, 0};

    for (int i = 0; i < 2; i++) {
        ev_io_stop(p->proxy->loop, &p->halves[i].io);
        ev_timer_stop(p->proxy->loop, &p->halves[i].later);
        if (reset) {
            setsockopt(
                p->halves[i].from, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
        }
        close(p->halves[i].from);
    }
    if (p->prev != NULL) {
        p->prev->next = p->next;
    }
    else {
        p->proxy->pairs = p->next;
    }
    if (p->next != NULL) {
        p->next->prev = p->prev;
    }
    free(p);
}

static bool
is_silent(const struct half *h)
{
    enum proxy_mode mode = h->pair->proxy->mode;

    return h->deaf || mode == PROXY_SILENT ||
           (mode == PROXY_ONE_WAY && h->back);
}

/* Bytes of a silent direction are taken and lost, as by something between
 * that has lost track of the connection. */
static void
move(struct half *h)
{
    char bytes[65536];
    ssize_t n = recv(h->from, bytes, sizeof(bytes), MSG_DONTWAIT);
    ssize_t done = 0;

    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n <= 0) {
        free_pair(h->pair, n < 0);
        return;
    }
    if (is_silent(h)) {
        h->deaf = true;
        return;
    }
    while (done < n) {
        ssize_t sent =
            send(h->to, bytes + done, (size_t)(n - done), MSG_NOSIGNAL);

        if (sent <= 0) {
            free_pair(h->pair, true);
            return;
        }
        done += sent;
    }
}

static void
on_later(struct ev_loop *loop, ev_timer *t, int revents)
{
    struct half *h = t->data;

    (void)revents;
    ev_io_start(loop, &h->io);
    move(h);
}

static void
on_io(struct ev_loop *loop, ev_io *io, int revents)
{
    struct half *h = io->data;

    (void)revents;
    if (h->pair->proxy->mode == PROXY_SLOW) {
        ev_io_stop(loop, io);
        ev_timer_set(&h->later, SLOW_S, 0);
        ev_timer_start(loop, &h->later);
        return;
    }
    move(h);
}

static void
init_half(struct proxy *p, struct pair *pair, int i, int from, int to)
{
    struct half *h = &pair->halves[i];
    int one = 1;

    h->from = from;
    h->to = to;
    h->pair = pair;
    h->back = i == 1;
    setsockopt(from, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    ev_io_init(&h->io, on_io, from, EV_READ);
    h->io.data = h;
    ev_init(&h->later, on_later);
    h->later.data = h;
    ev_io_start(p->loop, &h->io);
}

static struct sockaddr_in
address(uint16_t port)
{
    struct sockaddr_in sa = {0};

    sa.sin_family = AF_INET;
    sa.sin_port = htons(port);
    sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return sa;
}

/* A dead agent's port refuses; so must the proxy's, as that is a proof. */
static void
on_accept(struct ev_loop *loop, ev_io *io, int revents)
{
    struct proxy *p = io->data;
    int in = accept4(p->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    struct sockaddr_in sa = address(p->to);
    struct linger hard = {1, 0};
    struct pair *pair;
    int out;

    (void)loop;
    (void)revents;
    if (in < 0) {
        return;
    }
    out = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(out, (struct sockaddr *)&sa, sizeof(sa)) != 0) {
        setsockopt(in, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
        close(in);
        close(out);
        return;
    }
    fcntl(out, F_SETFL, O_NONBLOCK);
    pair = dw_zero(1, sizeof(*pair));
    pair->proxy = p;
    pair->next = p->pairs;
    if (pair->next != NULL) {
        pair->next->prev = pair;
    }
    p->pairs = pair;
    init_half(p, pair, 0, in, out);
    init_half(p, pair, 1, out, in);
}

void
px_mode(struct proxy *p, enum proxy_mode mode)
{
    p->mode = mode;
}

void
px_reset(struct proxy *p)
{
    while (p->pairs != NULL) {
        free_pair(p->pairs, true);
    }
}

struct proxy *
px_new(struct ev_loop *loop, uint16_t from, uint16_t to)
{
    struct proxy *p = dw_zero(1, sizeof(*p));
    struct sockaddr_in sa = address(from);
    int one = 1;

    p->loop = loop;
    p->to = to;
    p->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    setsockopt(p->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(p->fd, (struct sockaddr *)&sa, sizeof(sa)) != 0 ||
        listen(p->fd, 64) != 0) {
        fprintf(stderr, "soak: port %u: %s\n", from, strerror(errno));
        exit(2);
    }
    ev_io_init(&p->accept, on_accept, p->fd, EV_READ);
    p->accept.data = p;
    ev_io_start(loop, &p->accept);
    return p;
}

void
px_free(struct proxy *p)
{
    px_reset(p);
    ev_io_stop(p->loop, &p->accept);
    close(p->fd);
    free(p);
}
