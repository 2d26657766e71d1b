#include "link.h"

#include <arpa/inet.h>
#include <endian.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uthash.h>

#include "frame.h"
#include "log.h"
#include "proc.h"

#define DATAGRAM_MAX_BYTES 1200U
/* Limit of the send queue to one peer. */
#define QUEUE_MAX_BYTES (16U << 20)
/* A peer's clock value older than this is requested again before sending. */
#define ECHO_AGE_MAX_MS 1000U
/* A message that stayed in the send queue for longer is dropped. */
#define QUEUE_AGE_MAX_MS 1500U
/* With a message unconfirmed for this long a HELLO is sent ... */
#define PROBE_AFTER_MS 300U
/* ... and without a reply in this time the connection is closed. */
#define HELLO_TIMEOUT_MS 1000U
#define CONNECT_TIMEOUT_MS 1000U
/* A connection on which nothing was sent for this long is closed. */
#define IDLE_TIMEOUT_MS 60000U
/* No new attempt is made for this long after a refused connection. */
#define REFUSED_RETRY_MS 200U
/* Bytes read from a connection before others get their turn; a multiple of
 * the chunk that is read at a time. */
#define READ_MAX_BYTES (1U << 20)
/* A larger buffer is freed when it is empty. */
#define BUFFER_KEPT_BYTES 65536U
/* ms between log lines on connections that were closed. */
#define CLOSINGS_LOG_MS 1000U
/* Interval of the checks for timeouts. */
#define TICK_S 0.1

/* CONN_HELLO: connected, the first HELLO has no reply yet. */
enum conn_state { CONN_CLOSED, CONN_CONNECTING, CONN_HELLO, CONN_READY };

/* Another process and the outgoing connection to it. */
struct peer {
    uint64_t id;
    enum conn_state state;
    int fd;
    ev_io io;
    struct link *link;
    uint64_t connect_started_ms; /* start of the connection attempt */
    uint64_t hello_sent_ms;      /* a HELLO without a reply; 0 if none */
    uint32_t hello_xid;
    uint64_t last_send_ms;     /* last message queued */
    uint64_t unconfirmed_ms;   /* oldest message not confirmed; 0 if none */
    uint64_t peer_clock_ms;    /* newest clock value received */
    uint64_t peer_clock_at_ms; /* receipt of the newest peer_clock_ms */
    uint64_t refused_at_ms;    /* last refused connection; 0 if none */
    struct frame *head; /* send queue; the first may be partly written */
    struct frame **tail;
    size_t queued_bytes; /* in the send queue */
    struct buf in;       /* received, not yet parsed */
    UT_hash_handle hh;
};

/* An accepted connection. */
struct inbound {
    int fd;
    ev_io io;
    struct sd_conn use;
    struct link *link;
    struct buf in; /* received, not yet parsed */
    struct inbound *prev;
    struct inbound *next;
};

struct link {
    struct ev_loop *loop;
    uint64_t self;
    const struct link_events *events;
    void *ctx;
    int tcp_fd;
    int udp_fd;
    ev_io accept_io;
    ev_io udp_io;
    ev_timer timer;
    uint32_t xid; /* of the newest call */
    struct peer *peers;
    struct sd_limits limits; /* of inbounds */
    struct inbound *inbounds;
    uint32_t inbound_count;
    size_t inbound_bytes; /* that they hold */
    uint64_t closings_logged_ms;
    uint64_t closings_logged;
    size_t queued_bytes; /* in the send queues of all peers */
    struct link_stats stats;
};

const struct link_stats *
link_stats(const struct link *l)
{
    return &l->stats;
}

size_t
link_queued_bytes(const struct link *l)
{
    return l->queued_bytes;
}

/* --- peers --- */

static void on_peer_io(struct ev_loop *loop, ev_io *w, int revents);

static struct peer *
find_peer(struct link *l, uint64_t id, bool add)
{
    struct peer *p;

    HASH_FIND(hh, l->peers, &id, sizeof(id), p);
    if (p == NULL && add) {
        p = dw_zero(1, sizeof(*p));
        p->id = id;
        p->fd = -1;
        p->link = l;
        p->tail = &p->head;
        HASH_ADD(hh, l->peers, id, sizeof(p->id), p);
    }
    return p;
}

static void
discard_queue(struct peer *p)
{
    while (p->head != NULL) {
        struct frame *f = p->head;

        p->head = f->next;
        free(f);
    }
    p->tail = &p->head;
    p->link->queued_bytes -= p->queued_bytes;
    p->queued_bytes = 0;
}

static void
close_conn(struct peer *p)
{
    if (p->fd >= 0) {
        ev_io_stop(p->link->loop, &p->io);
        close(p->fd);
    }
    p->fd = -1;
    p->state = CONN_CLOSED;
    p->hello_sent_ms = 0;
    p->unconfirmed_ms = 0;
    p->in.n = 0;
    discard_queue(p);
}

static void
free_peer(struct peer *p)
{
    close_conn(p);
    buf_free(&p->in);
    HASH_DEL(p->link->peers, p);
    free(p);
}

static void
set_write_events(struct peer *p, bool on)
{
    int events = on ? EV_READ | EV_WRITE : EV_READ;

    if (p->io.events == events) {
        return;
    }
    ev_io_stop(p->link->loop, &p->io);
    ev_io_set(&p->io, p->fd, events);
    ev_io_start(p->link->loop, &p->io);
}

static void
push_front(struct peer *p, struct frame *f)
{
    f->next = p->head;
    p->head = f;
    if (f->next == NULL) {
        p->tail = &f->next;
    }
    p->queued_bytes += f->size;
    p->link->queued_bytes += f->size;
}

static void
push_back(struct peer *p, struct frame *f)
{
    *p->tail = f;
    p->tail = &f->next;
    p->queued_bytes += f->size;
    p->link->queued_bytes += f->size;
}

static void
pop_front(struct peer *p)
{
    struct frame *f = p->head;

    p->head = f->next;
    if (p->head == NULL) {
        p->tail = &p->head;
    }
    p->queued_bytes -= f->size;
    p->link->queued_bytes -= f->size;
    free(f);
}

static void
send_hello(struct peer *p, uint64_t now, bool first)
{
    struct frame *f;

    if (p->hello_sent_ms != 0) {
        return;
    }
    p->hello_sent_ms = now;
    p->hello_xid = ++p->link->xid;
    f = frame_hello(proc_now(), p->hello_xid);
    p->link->stats.hellos++;
    if (first) {
        push_front(p, f);
    }
    else {
        push_back(p, f);
    }
}

/*
 * True if the first frame of the queue can be written now.  A message carries
 * the peer's newest clock value, stored at the moment of writing; if that is
 * too old, a HELLO is sent first and the message waits for its reply.  A
 * message that waited long in the queue is dropped instead, because the echoed
 * timestamp would make it appear younger than it is.
 */
static bool
prepare_first(struct peer *p, uint64_t now)
{
    struct frame *f = p->head;
    uint64_t echo;

    if (f->echo_offset == 0 || f->written > 0) {
        return true;
    }
    if (p->state != CONN_READY ||
        now - p->peer_clock_at_ms > ECHO_AGE_MAX_MS) {
        if (p->hello_sent_ms == 0) {
            send_hello(p, now, true);
            return true;
        }
        return false;
    }
    echo = htobe64(p->peer_clock_ms);
    memcpy(f->bytes + f->echo_offset, &echo, sizeof(echo));
    return true;
}

static void
drop_expired(struct peer *p, uint64_t now)
{
    while (p->head != NULL && p->head->echo_offset != 0 &&
           p->head->written == 0 &&
           now - p->head->created_ms > QUEUE_AGE_MAX_MS) {
        p->link->stats.dropped_old++;
        pop_front(p);
    }
}

/* Write frames until the socket would block. */
static void
flush_peer(struct peer *p)
{
    for (;;) {
        struct frame *f;
        ssize_t n;
        uint64_t now = proc_now();

        drop_expired(p, now);
        if (p->head == NULL || !prepare_first(p, now)) {
            break;
        }
        f = p->head;
        n = send(
            p->fd, f->bytes + f->written, f->size - f->written, MSG_NOSIGNAL);
        if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
            set_write_events(p, true);
            return;
        }
        if (n < 0) {
            close_conn(p);
            return;
        }
        f->written += (size_t)n;
        p->link->stats.sent_bytes += (uint64_t)n;
        if (f->written < f->size) {
            set_write_events(p, true);
            return;
        }
        pop_front(p);
    }
    set_write_events(p, false);
}

static void
report_refused(struct peer *p, uint64_t now)
{
    p->refused_at_ms = now;
    close_conn(p);
    p->link->events->refused(p->link->ctx, p->id);
}

static bool
fill_address(const struct link_addr *at, struct sockaddr_in *sa)
{
    memset(sa, 0, sizeof(*sa));
    sa->sin_family = AF_INET;
    sa->sin_port = htons(at->port);
    return inet_pton(AF_INET, at->addr, &sa->sin_addr) == 1;
}

static int
open_socket(int type)
{
    return socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

static void
connect_peer(struct peer *p, uint64_t now)
{
    struct link_addr at;
    struct sockaddr_in sa;
    int one = 1;

    if (now - p->refused_at_ms < REFUSED_RETRY_MS ||
        !p->link->events->resolve(p->link->ctx, p->id, &at) ||
        !fill_address(&at, &sa)) {
        discard_queue(p);
        return;
    }
    p->fd = open_socket(SOCK_STREAM);
    if (p->fd < 0) {
        discard_queue(p);
        return;
    }
    setsockopt(p->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    p->state = CONN_CONNECTING;
    p->connect_started_ms = now;
    ev_io_init(&p->io, on_peer_io, p->fd, EV_READ | EV_WRITE);
    p->io.data = p;
    ev_io_start(p->link->loop, &p->io);
    send_hello(p, now, true);
    if (connect(p->fd, (struct sockaddr *)&sa, sizeof(sa)) != 0 &&
        errno != EINPROGRESS) {
        if (errno == ECONNREFUSED) {
            report_refused(p, now);
        }
        else {
            close_conn(p);
        }
    }
}

static void
connect_done(struct peer *p, uint64_t now)
{
    int err = 0;
    socklen_t n = sizeof(err);

    getsockopt(p->fd, SOL_SOCKET, SO_ERROR, &err, &n);
    if (err == ECONNREFUSED) {
        report_refused(p, now);
        return;
    }
    if (err != 0) {
        close_conn(p);
        return;
    }
    p->state = CONN_HELLO;
    flush_peer(p);
}

static void
on_hello_reply(struct peer *p, uint64_t now, const dw_hello *hello)
{
    if (hello->id != p->id) {
        /* A later incarnation listens there, so process p->id has ended. */
        report_refused(p, now);
        return;
    }
    p->hello_sent_ms = 0;
    p->unconfirmed_ms = 0;
    p->peer_clock_ms = hello->clock_ms;
    p->peer_clock_at_ms = now;
    p->state = CONN_READY;
    flush_peer(p);
}

static void
handle_reply(struct peer *p, uint64_t now, char *bytes, size_t n)
{
    struct rpc_msg reply;
    dw_hello hello;
    XDR x;
    bool ok;

    memset(&reply, 0, sizeof(reply));
    memset(&hello, 0, sizeof(hello));
    reply.acpted_rply.ar_verf = _null_auth;
    reply.acpted_rply.ar_results.where = (caddr_t)&hello;
    reply.acpted_rply.ar_results.proc = (xdrproc_t)xdr_dw_hello;
    xdrmem_create(&x, bytes, (u_int)n, XDR_DECODE);
    ok = xdr_replymsg(&x, &reply) && reply.rm_direction == REPLY &&
         reply.rm_reply.rp_stat == MSG_ACCEPTED &&
         reply.acpted_rply.ar_stat == SUCCESS && reply.rm_xid == p->hello_xid;
    xdr_destroy(&x);
    if (ok) {
        on_hello_reply(p, now, &hello);
    }
}

/* --- records --- */

/* Get the next complete record in b at *offset and advance *offset past it.
 * False if it is incomplete; *bad is set if the mark is invalid or the record
 * larger than max. */
static bool
next_record(const struct buf *b, size_t max, size_t *offset,
    struct str *record, bool *bad)
{
    uint32_t mark;
    size_t n;

    if (b->n - *offset < sizeof(mark)) {
        return false;
    }
    memcpy(&mark, b->p + *offset, sizeof(mark));
    mark = ntohl(mark);
    n = mark & ~FRAME_LAST;
    if ((mark & FRAME_LAST) == 0 || n > max) {
        *bad = true;
        return false;
    }
    if (b->n - *offset - sizeof(mark) < n) {
        return false;
    }
    *record = str_make(b->p + *offset + sizeof(mark), n);
    *offset += sizeof(mark) + n;
    return true;
}

static void
discard_front(struct buf *b, size_t n)
{
    b->n -= n;
    if (b->n == 0 && b->cap > BUFFER_KEPT_BYTES) {
        buf_free(b);
    }
    else if (n > 0) {
        memmove(b->p, b->p + n, b->n);
    }
}

/* Read until the socket would block, or READ_MAX_BYTES, so that a fast sender
 * does not keep the loop; false if the connection has ended. */
static bool
read_all(int fd, struct buf *b, struct link_stats *stats)
{
    char chunk[65536];
    size_t left = READ_MAX_BYTES;

    while (left > 0) {
        ssize_t n = recv(fd, chunk, sizeof(chunk), 0);

        if (n < 0) {
            return errno == EAGAIN || errno == EINTR;
        }
        if (n == 0) {
            return false;
        }
        stats->received_bytes += (uint64_t)n;
        buf_add(b, str_make(chunk, (size_t)n));
        if ((size_t)n < sizeof(chunk)) {
            return true;
        }
        left -= (size_t)n;
    }
    return true;
}

static void
on_peer_io(struct ev_loop *loop, ev_io *w, int revents)
{
    struct peer *p = w->data;
    uint64_t now = proc_now();
    struct str record;
    size_t offset = 0;
    bool bad = false;

    (void)loop;
    if (p->state == CONN_CONNECTING) {
        connect_done(p, now);
        return;
    }
    if (revents & EV_READ) {
        if (!read_all(p->fd, &p->in, &p->link->stats)) {
            close_conn(p);
            /* If the process has died, its port refuses the connection.  This
             * proves it dead, so that its partitions can be taken over without
             * waiting for a timeout. */
            connect_peer(p, now);
            return;
        }
        while (p->fd >= 0 && next_record(&p->in, LINK_RECORD_MAX_BYTES,
                                 &offset, &record, &bad)) {
            handle_reply(p, now, (char *)record.p, record.n);
        }
        if (bad) {
            close_conn(p);
        }
        if (p->fd < 0) {
            return;
        }
        discard_front(&p->in, offset);
    }
    if (revents & EV_WRITE) {
        flush_peer(p);
    }
}

/* --- receiving --- */

/*
 * The echoed timestamp is this process's clock as last received by the sender,
 * so the message has been in transit for no longer than the difference.  An
 * older message may be a copy whose sender has given up on it and reported
 * another outcome.
 */
static bool
is_expired(const dw_envelope *env, uint64_t now)
{
    return env->echo_ms > now || now - env->echo_ms > LINK_TRANSIT_MAX_MS;
}

static void
update_peer(struct link *l, uint64_t now, const dw_envelope *env, bool stream)
{
    struct peer *p = find_peer(l, env->from, false);

    if (p == NULL) {
        return;
    }
    if (env->clock_ms > p->peer_clock_ms) {
        p->peer_clock_ms = env->clock_ms;
        p->peer_clock_at_ms = now;
    }
    /* Only a message received on a connection confirms one. */
    if (stream && p->unconfirmed_ms != 0 &&
        env->echo_ms >= p->unconfirmed_ms) {
        p->unconfirmed_ms = 0;
    }
}

static void
deliver(struct link *l, dw_envelope *env, bool stream)
{
    uint64_t now = proc_now();

    if (env->to != l->self) {
        l->stats.dropped_other++;
        return;
    }
    update_peer(l, now, env, stream);
    if (stream && is_expired(env, now)) {
        l->stats.dropped_old++;
        return;
    }
    l->stats.received++;
    l->events->message(l->ctx, env->from, &env->msg);
}

/* Decode and deliver one call; *hello_xid is set if it is a HELLO, which needs
 * a reply.  False if it is malformed. */
static bool
handle_call(
    struct link *l, char *bytes, size_t n, bool stream, uint32_t *hello_xid)
{
    struct rpc_msg call;
    dw_envelope env;
    char cred[2 * MAX_AUTH_BYTES];
    XDR x;
    bool ok;

    memset(&call, 0, sizeof(call));
    memset(&env, 0, sizeof(env));
    call.rm_call.cb_cred.oa_base = cred;
    call.rm_call.cb_verf.oa_base = cred + MAX_AUTH_BYTES;
    xdrmem_create(&x, bytes, (u_int)n, XDR_DECODE);
    ok = xdr_callmsg(&x, &call) && call.rm_call.cb_prog == LINK_PROGRAM &&
         call.rm_call.cb_vers == LINK_VERSION;
    if (ok && call.rm_call.cb_proc == DW_HELLO) {
        *hello_xid = call.rm_xid;
    }
    else if (ok) {
        ok = xdr_dw_envelope(&x, &env) &&
             (uint32_t)env.msg.type == call.rm_call.cb_proc;
        if (ok) {
            deliver(l, &env, stream);
        }
        xdr_free((xdrproc_t)xdr_dw_envelope, &env);
    }
    xdr_destroy(&x);
    if (!ok) {
        l->stats.dropped_other++;
    }
    return ok;
}

static void
free_inbound(struct inbound *in)
{
    struct link *l = in->link;

    l->inbound_count--;
    l->inbound_bytes -= in->use.bytes;
    ev_io_stop(l->loop, &in->io);
    close(in->fd);
    if (in->prev != NULL) {
        in->prev->next = in->next;
    }
    else {
        l->inbounds = in->next;
    }
    if (in->next != NULL) {
        in->next->prev = in->prev;
    }
    buf_free(&in->in);
    free(in);
}

/* --- limits of accepted connections --- */

static void
set_use(struct inbound *in, enum sd_phase phase, uint64_t now)
{
    size_t bytes = in->in.cap;

    in->link->inbound_bytes += bytes - in->use.bytes;
    in->use = (struct sd_conn){phase, now, bytes};
}

static struct inbound *
first_to_close(const struct link *l, uint64_t now, enum sd_need need)
{
    struct inbound *first = NULL;
    struct inbound *in;

    for (in = l->inbounds; in != NULL; in = in->next) {
        if (sd_may_close(&in->use, need) &&
            (first == NULL || sd_goes_first(now, &in->use, &first->use))) {
            first = in;
        }
    }
    return first;
}

static bool
is_scarce(const struct link *l, enum sd_need need)
{
    return need == SD_NEED_CONNECTION
               ? l->inbound_count > l->limits.connections_max
               : l->inbound_bytes > (size_t)l->limits.memory_mb << 20;
}

static void
free_resources(struct link *l, uint64_t now, enum sd_need need)
{
    uint64_t *closed = need == SD_NEED_CONNECTION ? &l->stats.closed_crowded
                                                  : &l->stats.closed_memory;
    struct inbound *in;

    while (is_scarce(l, need) && (in = first_to_close(l, now, need)) != NULL) {
        ++*closed;
        free_inbound(in);
    }
}

static void
close_late(struct link *l, uint64_t now)
{
    struct inbound *in;
    struct inbound *next;

    for (in = l->inbounds; in != NULL; in = next) {
        next = in->next;
        if (sd_is_late(&l->limits, now, &in->use)) {
            l->stats.closed_late++;
            free_inbound(in);
        }
    }
}

static void
log_closings(struct link *l, uint64_t now)
{
    const struct link_stats *s = &l->stats;
    uint64_t sum = s->closed_late + s->closed_crowded + s->closed_memory;

    if (sum == l->closings_logged ||
        now - l->closings_logged_ms < CLOSINGS_LOG_MS) {
        return;
    }
    l->closings_logged = sum;
    l->closings_logged_ms = now;
    log_event(LOG_LEVEL_WARN, "links_closed",
        "late_total=%" PRIu64 " crowded_total=%" PRIu64
        " memory_total=%" PRIu64 " connections=%u bytes=%zu",
        s->closed_late, s->closed_crowded, s->closed_memory, l->inbound_count,
        l->inbound_bytes);
}

static void
reply_hello(struct inbound *in, uint32_t xid)
{
    char out[128];
    size_t n =
        frame_hello_reply(in->link->self, proc_now(), xid, out, sizeof(out));

    /* If the reply does not fit the socket's buffer, the peer does not read;
     * it closes the connection itself once its HELLO times out. */
    if (send(in->fd, out, n, MSG_NOSIGNAL) == (ssize_t)n) {
        in->link->stats.sent_bytes += n;
    }
}

static void
on_inbound_io(struct ev_loop *loop, ev_io *w, int revents)
{
    struct inbound *in = w->data;
    struct link *l = in->link;
    uint64_t now = proc_now();
    bool open = read_all(in->fd, &in->in, &l->stats);
    struct str record;
    size_t offset = 0;
    bool bad = false;

    (void)loop;
    (void)revents;
    while (!bad &&
           next_record(&in->in, l->limits.body_max, &offset, &record, &bad)) {
        uint32_t xid = 0;

        bad = !handle_call(in->link, (char *)record.p, record.n, true, &xid);
        if (xid != 0) {
            reply_hello(in, xid);
        }
    }
    if (!open || bad) {
        free_inbound(in);
        return;
    }
    discard_front(&in->in, offset);
    /* The time of a record counts from its first byte. */
    set_use(in, in->in.n > 0 ? SD_BODY : SD_IDLE,
        offset == 0 && in->use.phase == SD_BODY ? in->use.since_ms : now);
    free_resources(l, now, SD_NEED_MEMORY);
}

static void
on_accept(struct ev_loop *loop, ev_io *w, int revents)
{
    struct link *l = w->data;
    int one = 1;
    int fd;

    (void)loop;
    (void)revents;
    while ((fd = accept4(
                l->tcp_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
        struct inbound *in = dw_zero(1, sizeof(*in));

        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        in->fd = fd;
        in->link = l;
        in->next = l->inbounds;
        if (in->next != NULL) {
            in->next->prev = in;
        }
        l->inbounds = in;
        l->inbound_count++;
        set_use(in, SD_NEW, proc_now());
        ev_io_init(&in->io, on_inbound_io, fd, EV_READ);
        in->io.data = in;
        ev_io_start(l->loop, &in->io);
        free_resources(l, proc_now(), SD_NEED_CONNECTION);
    }
}

static void
on_datagram(struct ev_loop *loop, ev_io *w, int revents)
{
    struct link *l = w->data;
    char bytes[2048];
    ssize_t n;

    (void)loop;
    (void)revents;
    while ((n = recv(l->udp_fd, bytes, sizeof(bytes), 0)) > 0) {
        uint32_t xid = 0;

        l->stats.received_bytes += (uint64_t)n;
        handle_call(l, bytes, (size_t)n, false, &xid);
    }
}

/* --- sending --- */

static void
count_sent(struct link *l, dw_mtype type, size_t n)
{
    size_t t = (size_t)type % 32;

    l->stats.sent++;
    l->stats.sent_by_type[t]++;
    l->stats.sent_bytes_by_type[t] += n;
}

static void
send_datagram(struct link *l, uint64_t to, const struct frame *f)
{
    struct link_addr at;
    struct sockaddr_in sa;

    if (!l->events->resolve(l->ctx, to, &at) || !fill_address(&at, &sa)) {
        return;
    }
    if (sendto(l->udp_fd, f->bytes + FRAME_MARK_SIZE,
            f->size - FRAME_MARK_SIZE, 0, (struct sockaddr *)&sa,
            sizeof(sa)) > 0) {
        l->stats.sent_bytes += f->size - FRAME_MARK_SIZE;
    }
}

static void
send_stream(struct link *l, uint64_t to, uint64_t now, struct frame *f)
{
    struct peer *p = find_peer(l, to, true);

    if (p->queued_bytes + f->size > QUEUE_MAX_BYTES) {
        l->stats.dropped_full++;
        free(f);
        return;
    }
    p->last_send_ms = now;
    if (p->unconfirmed_ms == 0) {
        p->unconfirmed_ms = now;
    }
    push_back(p, f);
    if (p->state == CONN_CLOSED) {
        connect_peer(p, now);
    }
    else if (p->state == CONN_READY) {
        flush_peer(p);
    }
}

void
link_send(struct link *l, uint64_t to, const dw_msg *msg)
{
    uint64_t now = proc_now();
    struct frame *f = frame_message(l->self, to, now, ++l->xid, msg);

    if (f == NULL) {
        l->stats.dropped_other++;
        log_event(
            LOG_LEVEL_ERROR, "message_not_encoded", "type=%d", (int)msg->type);
        return;
    }
    count_sent(l, msg->type, f->size);
    if (frame_may_be_datagram(msg->type) && f->size <= DATAGRAM_MAX_BYTES) {
        send_datagram(l, to, f);
        free(f);
        return;
    }
    send_stream(l, to, now, f);
}

void
link_disconnect(struct link *l, uint64_t to)
{
    struct peer *p = find_peer(l, to, false);

    if (p != NULL) {
        close_conn(p);
    }
}

/* --- time --- */

static void
check_peer(struct peer *p, uint64_t now)
{
    if (p->state == CONN_CLOSED) {
        return;
    }
    if (p->state == CONN_CONNECTING &&
        now - p->connect_started_ms > CONNECT_TIMEOUT_MS) {
        close_conn(p);
        return;
    }
    /*
     * A middlebox may have lost the state of an open connection: sends
     * succeed, nothing arrives and no error is reported, while new
     * connections work.  The HELLO without a reply detects this.
     */
    if (p->hello_sent_ms != 0 && now - p->hello_sent_ms > HELLO_TIMEOUT_MS) {
        p->link->stats.connections_replaced++;
        log_event(LOG_LEVEL_INFO, "connection_replaced", "peer=%016llx",
            (unsigned long long)p->id);
        close_conn(p);
        return;
    }
    if (p->state == CONN_READY && p->unconfirmed_ms != 0 &&
        now - p->unconfirmed_ms > PROBE_AFTER_MS) {
        send_hello(p, now, false);
        flush_peer(p);
        return;
    }
    if (p->queued_bytes == 0 && now - p->last_send_ms > IDLE_TIMEOUT_MS) {
        close_conn(p);
    }
}

static void
on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct link *l = w->data;
    uint64_t now = proc_now();
    struct peer *p;
    struct peer *tmp;

    (void)loop;
    (void)revents;
    close_late(l, now);
    log_closings(l, now);
    HASH_ITER (hh, l->peers, p, tmp) {
        struct link_addr at;

        check_peer(p, now);
        if (p->state == CONN_CLOSED &&
            now - p->last_send_ms > IDLE_TIMEOUT_MS &&
            !l->events->resolve(l->ctx, p->id, &at)) {
            free_peer(p);
        }
    }
}

/* --- opening --- */

static enum link_status
bind_socket(int fd, const struct sockaddr_in *sa, const struct link_addr *at,
    const char *kind, struct err *e)
{
    int one = 1;

    if (fd < 0) {
        err_set(e, "%s socket: %s", kind, strerror(errno));
        return LINK_NO_SOCKET;
    }
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(fd, (const struct sockaddr *)sa, sizeof(*sa)) != 0) {
        err_set(e, "%s %s:%u: %s", kind, at->addr, at->port, strerror(errno));
        return LINK_NO_SOCKET;
    }
    return LINK_OK;
}

static enum link_status
open_sockets(struct link *l, const struct link_addr *at, struct err *e)
{
    struct sockaddr_in sa;
    enum link_status st;
    int size = 4 << 20;

    if (!fill_address(at, &sa)) {
        err_set(e, "address '%s' is not a numeric IPv4 address", at->addr);
        return LINK_BAD_ADDRESS;
    }
    l->tcp_fd = open_socket(SOCK_STREAM);
    st = bind_socket(l->tcp_fd, &sa, at, "TCP", e);
    if (st != LINK_OK) {
        return st;
    }
    if (listen(l->tcp_fd, 1024) != 0) {
        err_set(e, "TCP %s:%u: %s", at->addr, at->port, strerror(errno));
        return LINK_NO_SOCKET;
    }
    l->udp_fd = open_socket(SOCK_DGRAM);
    if (l->udp_fd >= 0) {
        setsockopt(l->udp_fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    }
    return bind_socket(l->udp_fd, &sa, at, "UDP", e);
}

enum link_status
link_open(struct link **out, struct ev_loop *loop, uint64_t self,
    const struct link_addr *at, const struct sd_limits *limits,
    const struct link_events *events, void *ctx, struct err *e)
{
    struct link *l = dw_zero(1, sizeof(*l));
    enum link_status st;

    l->loop = loop;
    l->self = self;
    l->limits = *limits;
    l->events = events;
    l->ctx = ctx;
    l->tcp_fd = -1;
    l->udp_fd = -1;
    ev_init(&l->accept_io, on_accept);
    ev_init(&l->udp_io, on_datagram);
    ev_init(&l->timer, on_tick);
    /* Process received messages before timeouts, as they may confirm a
     * connection that would otherwise be closed. */
    ev_set_priority(&l->timer, -1);
    st = open_sockets(l, at, e);
    if (st != LINK_OK) {
        link_close(l);
        return st;
    }
    ev_io_set(&l->accept_io, l->tcp_fd, EV_READ);
    l->accept_io.data = l;
    ev_io_start(loop, &l->accept_io);
    ev_io_set(&l->udp_io, l->udp_fd, EV_READ);
    l->udp_io.data = l;
    ev_io_start(loop, &l->udp_io);
    ev_timer_set(&l->timer, TICK_S, TICK_S);
    l->timer.data = l;
    ev_timer_start(loop, &l->timer);
    *out = l;
    return LINK_OK;
}

void
link_close(struct link *l)
{
    struct peer *p;
    struct peer *tmp;

    HASH_ITER (hh, l->peers, p, tmp) {
        free_peer(p);
    }
    while (l->inbounds != NULL) {
        free_inbound(l->inbounds);
    }
    ev_io_stop(l->loop, &l->accept_io);
    ev_io_stop(l->loop, &l->udp_io);
    ev_timer_stop(l->loop, &l->timer);
    if (l->tcp_fd >= 0) {
        close(l->tcp_fd);
    }
    if (l->udp_fd >= 0) {
        close(l->udp_fd);
    }
    free(l);
}
