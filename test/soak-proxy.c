/* A loopback proxy that resets, delays or silences connections. */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "soak.h"

#define SLOW_S 0.02
/* All connections of a large run may be opened between two loop iterations. */
#define LISTEN_BACKLOG 1024

/* One direction of a proxied connection. */
struct direction {
    ev_io io;
    ev_timer delayed_read;
    int from;
    int to;
    bool dropping;  /* drops all bytes from now on */
    bool cut;       /* and does not pass on that its sender closes */
    bool to_client; /* from the server to the client */
    struct pair *pair;
};

/* A client's connection and the proxy's own to the server. */
struct pair {
    struct direction directions[2];
    ev_io connected; /* until the server's connection is made or refused */
    ev_timer late_close;
    bool reset_late;  /* late_close is a TCP reset */
    bool last_answer; /* is closed after the next bytes from the server */
    char request[64]; /* the start of the client's unanswered request */
    struct proxy *proxy;
    struct pair *prev;
    struct pair *next;
};

struct proxy {
    struct ev_loop *loop;
    ev_io accept;
    int fd;
    char addr[16];
    char to_addr[16];
    uint16_t from;
    uint16_t to;
    enum proxy_mode mode;
    uint32_t cut_interval; /* see px_set_cut() */
    uint32_t pieces;       /* sent by the server, for cut_interval */
    struct pair *pairs;
};

/* Closes the connection whose bytes come from this direction. */
static void
close_end(struct direction *d, bool reset)
{
    struct linger abort_on_close = {1, 0};

    ev_io_stop(d->pair->proxy->loop, &d->io);
    ev_timer_stop(d->pair->proxy->loop, &d->delayed_read);
    if (d->from < 0) {
        return;
    }
    if (reset) {
        setsockopt(d->from, SOL_SOCKET, SO_LINGER, &abort_on_close,
            sizeof(abort_on_close));
    }
    close(d->from);
    d->from = -1;
}

static void
free_pair(struct pair *p, bool reset)
{
    ev_io_stop(p->proxy->loop, &p->connected);
    ev_timer_stop(p->proxy->loop, &p->late_close);
    close_end(&p->directions[0], reset);
    close_end(&p->directions[1], reset);
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
drops_bytes(const struct direction *d)
{
    enum proxy_mode mode = d->pair->proxy->mode;

    return d->dropping || mode == PROXY_SILENT ||
           (mode == PROXY_ONE_WAY && d->to_client);
}

/* True if the connection is to be closed in place of this piece. */
static bool
cuts_piece(const struct direction *d)
{
    struct proxy *p = d->pair->proxy;

    return d->to_client && p->cut_interval != 0 &&
           ++p->pieces % p->cut_interval == 0;
}

static void
note_request(struct direction *d, struct str bytes)
{
    if (!d->to_client && bytes.n > 5 && memcmp(bytes.p, "POST ", 5) == 0) {
        str_copy(d->pair->request, sizeof(d->pair->request), bytes);
    }
}

/* Closes the client's end only.  What the server sends is dropped. */
static void
drop_client(struct pair *pair, bool reset)
{
    close_end(&pair->directions[0], reset);
    pair->directions[1].dropping = true;
}

static void
on_sender_closed(struct direction *d, bool reset)
{
    if (d->cut) {
        drop_client(d->pair, reset);
        return;
    }
    free_pair(d->pair, reset);
}

/* Bytes of a silent direction are read and dropped, as by a middlebox that has
 * lost the state of the connection. */
static void
forward_bytes(struct direction *d)
{
    char bytes[65536];
    ssize_t n = recv(d->from, bytes, sizeof(bytes), MSG_DONTWAIT);
    ssize_t written = 0;

    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n <= 0) {
        on_sender_closed(d, n < 0);
        return;
    }
    note_request(d, str_make(bytes, (size_t)n));
    if (drops_bytes(d)) {
        d->dropping = true;
        return;
    }
    if (cuts_piece(d)) {
        free_pair(d->pair,
            d->pair->proxy->pieces / d->pair->proxy->cut_interval % 2);
        return;
    }
    while (written < n) {
        ssize_t sent =
            send(d->to, bytes + written, (size_t)(n - written), MSG_NOSIGNAL);

        if (sent <= 0) {
            free_pair(d->pair, true);
            return;
        }
        written += sent;
    }
    if (d->to_client) {
        d->pair->request[0] = '\0'; /* answered: a fault would hit the next */
    }
    if (d->to_client && d->pair->last_answer) {
        free_pair(d->pair, false);
    }
}

static void
on_delayed_read(struct ev_loop *loop, ev_timer *t, int revents)
{
    struct direction *d = t->data;

    (void)revents;
    ev_io_start(loop, &d->io);
    forward_bytes(d);
}

static void
on_io(struct ev_loop *loop, ev_io *io, int revents)
{
    struct direction *d = io->data;

    (void)revents;
    if (d->pair->proxy->mode == PROXY_SLOW) {
        ev_io_stop(loop, io);
        ev_timer_set(&d->delayed_read, SLOW_S, 0);
        ev_timer_start(loop, &d->delayed_read);
        return;
    }
    forward_bytes(d);
}

static void
init_direction(struct pair *pair, int i, int from, int to)
{
    struct direction *d = &pair->directions[i];
    int one = 1;

    d->from = from;
    d->to = to;
    d->pair = pair;
    d->to_client = i == 1;
    setsockopt(from, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    ev_io_init(&d->io, on_io, from, EV_READ);
    d->io.data = d;
    ev_init(&d->delayed_read, on_delayed_read);
    d->delayed_read.data = d;
}

static struct sockaddr_in
address(const char *addr, uint16_t port)
{
    struct sockaddr_in sa = {0};

    sa.sin_family = AF_INET;
    sa.sin_port = htons(port);
    inet_pton(AF_INET, addr, &sa.sin_addr);
    return sa;
}

static void
on_late_close(struct ev_loop *loop, ev_timer *t, int revents)
{
    struct pair *pair = t->data;

    (void)loop;
    (void)revents;
    free_pair(pair, pair->reset_late);
}

/* If the server refuses the connection, the client's is reset: a refusal
 * proves to an entry that the server is dead. */
static void
on_connected(struct ev_loop *loop, ev_io *io, int revents)
{
    struct pair *pair = io->data;
    int error = 0;
    socklen_t n = sizeof(error);

    (void)revents;
    getsockopt(io->fd, SOL_SOCKET, SO_ERROR, &error, &n);
    if (error != 0) {
        free_pair(pair, true);
        return;
    }
    ev_io_stop(loop, io);
    ev_io_start(loop, &pair->directions[0].io);
    ev_io_start(loop, &pair->directions[1].io);
}

static void
on_accept(struct ev_loop *loop, ev_io *io, int revents)
{
    struct proxy *p = io->data;
    int client = accept4(p->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    struct sockaddr_in sa = address(p->to_addr, p->to);
    struct pair *pair;
    int server;

    (void)revents;
    if (client < 0) {
        return;
    }
    server = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    pair = dw_zero(1, sizeof(*pair));
    pair->proxy = p;
    pair->next = p->pairs;
    if (pair->next != NULL) {
        pair->next->prev = pair;
    }
    p->pairs = pair;
    init_direction(pair, 0, client, server);
    init_direction(pair, 1, server, client);
    ev_init(&pair->late_close, on_late_close);
    pair->late_close.data = pair;
    ev_io_init(&pair->connected, on_connected, server, EV_WRITE);
    pair->connected.data = pair;
    /* The server may be this process: a blocking connect() to a listener
     * whose backlog is full would never return. */
    if (connect(server, (struct sockaddr *)&sa, sizeof(sa)) != 0 &&
        errno != EINPROGRESS) {
        free_pair(pair, true);
        return;
    }
    ev_io_start(loop, &pair->connected);
}

static void
start_listening(struct proxy *p)
{
    struct sockaddr_in sa = address(p->addr, p->from);
    int one = 1;

    p->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    setsockopt(p->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(p->fd, (struct sockaddr *)&sa, sizeof(sa)) != 0 ||
        listen(p->fd, LISTEN_BACKLOG) != 0) {
        fprintf(stderr, "soak: port %u: %s\n", p->from, strerror(errno));
        exit(2);
    }
    ev_io_init(&p->accept, on_accept, p->fd, EV_READ);
    p->accept.data = p;
    ev_io_start(p->loop, &p->accept);
}

static void
stop_listening(struct proxy *p)
{
    ev_io_stop(p->loop, &p->accept);
    close(p->fd);
}

void
px_set_mode(struct proxy *p, enum proxy_mode mode)
{
    if (mode == PROXY_REFUSE && p->mode != PROXY_REFUSE) {
        stop_listening(p);
    }
    else if (mode != PROXY_REFUSE && p->mode == PROXY_REFUSE) {
        start_listening(p);
    }
    p->mode = mode;
}

void
px_set_cut(struct proxy *p, uint32_t n)
{
    p->cut_interval = n;
}

void
px_reset(struct proxy *p)
{
    while (p->pairs != NULL) {
        free_pair(p->pairs, true);
    }
}

static struct pair *
find_pair(struct proxy *p, const char *path)
{
    struct pair *pair = p->pairs;

    while (pair != NULL && (pair->directions[0].from < 0 ||
                               strstr(pair->request, path) == NULL)) {
        pair = pair->next;
    }
    return pair;
}

static void
cut(struct direction *d)
{
    d->dropping = true;
    d->cut = true;
}

/* Bytes that follow a request: the start of another one, never completed. */
static void
pipeline(struct pair *pair)
{
    static const char bytes[] = "POST /q/";

    pair->last_answer = true;
    if (send(pair->directions[0].to, bytes, sizeof(bytes) - 1, MSG_NOSIGNAL) <
        0) {
        free_pair(pair, true);
    }
}

bool
px_break(struct proxy *p, const char *path, enum conn_fault fault, uint32_t ms)
{
    struct pair *pair = find_pair(p, path);

    if (pair == NULL) {
        return false;
    }
    switch (fault) {
    case CONN_RESET:
        free_pair(pair, true);
        break;
    case CONN_LATE_CLOSE:
        pair->reset_late = ms % 2 != 0;
        ev_timer_set(&pair->late_close, (double)ms / 1000.0, 0);
        ev_timer_start(p->loop, &pair->late_close);
        /* fall through */
    case CONN_UNSEEN_CLOSE:
        drop_client(pair, true);
        break;
    case CONN_CUT_TO_SERVER:
        cut(&pair->directions[0]);
        break;
    case CONN_CUT_TO_CLIENT:
        pair->directions[1].dropping = true;
        break;
    case CONN_PIPELINED:
        pipeline(pair);
        break;
    }
    return true;
}

struct proxy *
px_new(struct ev_loop *loop, const char *addr, uint16_t from, uint16_t to,
    bool same_addr)
{
    struct proxy *p = dw_zero(1, sizeof(*p));

    p->loop = loop;
    str_copy(p->addr, sizeof(p->addr), str_of(addr));
    str_copy(p->to_addr, sizeof(p->to_addr),
        str_of(same_addr ? addr : "127.0.0.1"));
    p->from = from;
    p->to = to;
    start_listening(p);
    return p;
}

void
px_free(struct proxy *p)
{
    px_reset(p);
    if (p->mode != PROXY_REFUSE) {
        stop_listening(p);
    }
    free(p);
}
