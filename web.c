#include "web.h"

#include <arpa/inet.h>
#include <errno.h>
#include <jansson.h>
#include <microhttpd.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>
#include <utlist.h>

#include "num.h"

/* Of the library for a connection: a header, and room to parse it. */
#define POOL_BYTES 32768U
/* Of the kernel for what a connection has received and what it is to send. */
#define RECEIVE_BYTES 16384
#define SEND_BYTES 65536
/* Most that a connection holds without being asked for a body or a reply. */
#define UNPARSED_MAX_BYTES (POOL_BYTES + RECEIVE_BYTES)
/* ms between measurements of what connections hold unparsed, while all of them
 * together could exceed the limit. */
#define MEASURE_MS 50U
/* Connections accepted beyond the limit, while others are being closed. */
#define ACCEPT_AHEAD 64U
/* ms between checks for connections that take too long. */
#define LATE_CHECK_MS 500U
/* Idle timeout of connections during a drain. */
#define DRAIN_IDLE_S 1U
/* s between checks of connections with unread bytes behind a request, which
 * can't be watched for reading until the request is answered. */
#define UNREAD_CHECK_S 0.05
/* A silent connection is probed after KEEPALIVE_S and each KEEPALIVE_S from
 * then on; it ends when KEEPALIVE_PROBES were not answered, so after 3 s. */
#define KEEPALIVE_S 1
#define KEEPALIVE_PROBES 2

/* One open connection. */
struct web_conn {
    struct web *w;
    struct MHD_Connection *conn;
    struct sd_conn use;
    struct web_req *req;  /* the current one; NULL if there is none */
    size_t owned_bytes;   /* header, body and reply of the request */
    uint64_t parsed;      /* bytes received that were parsed */
    size_t large_bytes;   /* owned by a large request that is handled */
    bool closing;         /* the library has yet to notice */
    uint64_t answered_ms; /* when its latest request was; 0: none was */
    struct web_conn *prev;
    struct web_conn *next;
};

struct web_req {
    struct web *w;
    struct MHD_Connection *conn;
    const char *method;
    char *path;
    struct buf body;
    bool handled; /* passed to the handler, or rejected */
    bool replied;
    bool disconnected;   /* by the caller, before the reply */
    enum web_end end;    /* how it disconnected */
    bool suspended;      /* by libmicrohttpd, until the reply */
    ev_io disconnect_io; /* detects a disconnect; active while suspended
                            unless bytes follow */
    bool bytes_follow;   /* w->unread_timer detects a disconnect */
    struct MHD_Response *response; /* not yet queued; else NULL */
    unsigned status;
    void *ctx;
    struct web_req *prev; /* in web.suspended */
    struct web_req *next;
};

struct web {
    struct ev_loop *loop;
    struct web_cfg cfg;
    struct MHD_Daemon *mhd;
    ev_io io;
    ev_timer timer;
    ev_prepare prepare;    /* the end of a loop iteration */
    ev_timer unread_timer; /* active while bytes follow a suspended request */
    web_handle_fn handle;
    web_disconnect_fn disconnected;
    void *ctx;
    size_t open; /* requests */
    struct web_stats stats;
    bool draining;
    struct web_conn *conns;
    uint32_t conn_count; /* without those that are closing */
    size_t owned_bytes;  /* of these connections */
    size_t large_bytes;  /* of large requests that are handled */
    size_t held_bytes;   /* owned_bytes, with what is not parsed as measured */
    uint64_t measured_ms;
    uint64_t late_checked_ms;
    struct web_req *suspended;
    bool work_pending;      /* something to read or send */
    bool close_after_reply; /* see web_set_close_after_reply() */
};

/* The clock of TCP_INFO's times, which stands while the machine is suspended.
 */
static uint64_t
clock_ms(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

static int
fd_of(struct MHD_Connection *conn)
{
    return MHD_get_connection_info(conn, MHD_CONNECTION_INFO_CONNECTION_FD)
        ->connect_fd;
}

static struct web_conn *
web_conn_of(struct MHD_Connection *conn)
{
    return MHD_get_connection_info(conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
        ->socket_context;
}

/* --- connections --- */

static void
set_phase(struct web_conn *c, enum sd_phase phase)
{
    c->use.phase = phase;
    c->use.since_ms = clock_ms();
}

/* Adds to what a connection owns; bytes may be negative. */
static void
add_owned(struct web_conn *c, ssize_t bytes)
{
    if (c->closing) {
        return;
    }
    c->owned_bytes += (size_t)bytes;
    c->use.bytes += (size_t)bytes;
    c->w->owned_bytes += (size_t)bytes;
    c->w->held_bytes += (size_t)bytes;
}

static void
release_reserve(struct web_conn *c)
{
    c->w->large_bytes -= c->large_bytes;
    c->large_bytes = 0;
}

static void
forget_bytes(struct web_conn *c)
{
    release_reserve(c);
    c->w->owned_bytes -= c->owned_bytes;
    c->w->held_bytes -= c->use.bytes;
    c->owned_bytes = 0;
    c->use.bytes = 0;
}

/* Closes the connection from outside the library, which notices the end of
 * what it can read.  The reset frees what is still to be sent. */
static void
close_conn(struct web_conn *c)
{
    static const struct linger reset = {1, 0};
    int fd = fd_of(c->conn);

    forget_bytes(c);
    if (c->req != NULL && !c->req->handled) {
        buf_free(&c->req->body);
    }
    c->closing = true;
    c->w->conn_count--;
    c->w->work_pending = true;
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    shutdown(fd, SHUT_RDWR);
}

/* The connection that is to be closed first; NULL if none may be. */
static struct web_conn *
first_to_close(const struct web *w, enum sd_need need)
{
    uint64_t now = clock_ms();
    struct web_conn *first = NULL;
    struct web_conn *c;

    DL_FOREACH (w->conns, c) {
        if (!c->closing && sd_may_close(&c->use, need) &&
            (first == NULL || sd_goes_first(now, &c->use, &first->use))) {
            first = c;
        }
    }
    return first;
}

/* The newest connection may be the one that has to go. */
static void
make_room(struct web *w)
{
    struct web_conn *c;

    while (w->conn_count > w->cfg.limits.connections_max &&
           (c = first_to_close(w, SD_NEED_CONNECTION)) != NULL) {
        w->stats.crowded++;
        close_conn(c);
    }
}

static size_t
memory_max(const struct web *w)
{
    return (size_t)w->cfg.limits.memory_mb << 20;
}

/* True if the request may be handled, from when on it can't be closed for the
 * sake of others.  Large ones get half of the memory; what is left is enough
 * for a small one on each connection. */
static bool
reserve_for_handling(struct web_conn *c)
{
    struct web *w = c->w;
    size_t half = memory_max(w) / 2;

    if (half == 0 || c->owned_bytes <= half / w->cfg.limits.connections_max) {
        return true;
    }
    if (w->large_bytes + c->owned_bytes > half) {
        return false;
    }
    c->large_bytes = c->owned_bytes;
    w->large_bytes += c->large_bytes;
    return true;
}

static void
free_memory(struct web *w)
{
    struct web_conn *c;

    while (memory_max(w) != 0 && w->held_bytes > memory_max(w) &&
           (c = first_to_close(w, SD_NEED_MEMORY)) != NULL) {
        w->stats.memory++;
        close_conn(c);
    }
}

/* Bytes that the connection has received and not parsed, in the library or in
 * the kernel; 0 if the system does not tell. */
static size_t
unparsed_bytes(const struct web_conn *c)
{
    struct tcp_info t = {0};
    socklen_t n = sizeof(t);

    if (getsockopt(fd_of(c->conn), IPPROTO_TCP, TCP_INFO, &t, &n) != 0) {
        return 0;
    }
    return (size_t)num_min(
        num_sub_sat(t.tcpi_bytes_received, c->parsed), UNPARSED_MAX_BYTES);
}

/* Measures what is not parsed, if it may matter, and frees memory. */
static void
check_memory(struct web *w)
{
    size_t most = w->owned_bytes + (size_t)w->conn_count * UNPARSED_MAX_BYTES;
    struct web_conn *c;
    uint64_t now;

    if (memory_max(w) == 0 || most <= memory_max(w)) {
        return;
    }
    now = clock_ms();
    if (now - w->measured_ms < MEASURE_MS) {
        return;
    }
    w->measured_ms = now;
    w->held_bytes = 0;
    DL_FOREACH (w->conns, c) {
        if (!c->closing) {
            c->use.bytes = c->owned_bytes + unparsed_bytes(c);
            w->held_bytes += c->use.bytes;
        }
    }
    free_memory(w);
}

static void
close_late(struct web *w)
{
    uint64_t now = clock_ms();
    struct web_conn *c;

    if (now - w->late_checked_ms < LATE_CHECK_MS) {
        return;
    }
    w->late_checked_ms = now;
    DL_FOREACH (w->conns, c) {
        if (!c->closing && sd_is_late(&w->cfg.limits, now, &c->use)) {
            w->stats.late++;
            close_conn(c);
        }
    }
}

/* --- the library's loop --- */

static void
arm_timer(struct web *w)
{
    MHD_UNSIGNED_LONG_LONG ms;

    ev_timer_stop(w->loop, &w->timer);
    if (MHD_get_timeout(w->mhd, &ms) == MHD_YES) {
        ev_timer_set(&w->timer, (double)ms / 1000.0, 0.0);
        ev_timer_start(w->loop, &w->timer);
    }
}

static void
run_mhd(struct web *w)
{
    w->work_pending = false;
    MHD_run(w->mhd);
    check_memory(w);
    arm_timer(w);
}

void
web_flush(struct web *w)
{
    if (w->work_pending) {
        run_mhd(w);
    }
}

/*
 * MHD_run() visits every connection to read requests and send replies.  It is
 * therefore called once at the end of a loop iteration: a call for each reply
 * would leave a busy entry no time for other work.
 */
static void
on_io(struct ev_loop *loop, ev_io *io, int revents)
{
    struct web *w = io->data;

    (void)loop;
    (void)revents;
    w->work_pending = true;
}

static void
on_timer(struct ev_loop *loop, ev_timer *t, int revents)
{
    struct web *w = t->data;

    (void)loop;
    (void)revents;
    w->work_pending = true;
}

static void
on_prepare(struct ev_loop *loop, ev_prepare *p, int revents)
{
    (void)loop;
    (void)revents;
    close_late(p->data);
    web_flush(p->data);
}

static void *
on_request_start(void *ctx, const char *uri, struct MHD_Connection *conn)
{
    struct web_req *r = dw_zero(1, sizeof(*r));
    const char *query = strchr(uri, '?');

    r->w = ctx;
    r->conn = conn;
    r->path = str_dup(
        query != NULL ? str_make(uri, (size_t)(query - uri)) : str_of(uri));
    r->w->open++;
    web_conn_of(conn)->req = r;
    set_phase(web_conn_of(conn), SD_HEADER);
    return r;
}

static void
on_request_completed(void *ctx, struct MHD_Connection *conn, void **req_ctx,
    enum MHD_RequestTerminationCode how)
{
    struct web *w = ctx;
    struct web_req *r = *req_ctx;
    struct web_conn *c = web_conn_of(conn);

    (void)how;
    if (r == NULL) {
        return;
    }
    set_phase(c, SD_IDLE);
    c->answered_ms = c->use.since_ms;
    c->req = NULL;
    release_reserve(c);
    add_owned(c, -(ssize_t)c->owned_bytes);
    if (r->suspended) {
        ev_io_stop(w->loop, &r->disconnect_io);
        DL_DELETE(w->suspended, r);
    }
    if (r->handled && !r->replied && !r->disconnected) {
        r->end = WEB_END_LIBRARY;
        w->disconnected(w->ctx, r);
    }
    if (r->response != NULL) {
        MHD_destroy_response(r->response);
    }
    w->open--;
    buf_free(&r->body);
    free(r->path);
    free(r);
    *req_ctx = NULL;
}

static enum MHD_Result
queue_reply(struct web_req *r)
{
    enum MHD_Result res = MHD_queue_response(r->conn, r->status, r->response);

    set_phase(web_conn_of(r->conn), SD_REPLYING);
    MHD_destroy_response(r->response);
    r->response = NULL;
    return res;
}

static void
resume(struct web_req *r)
{
    r->suspended = false;
    DL_DELETE(r->w->suspended, r);
    MHD_resume_connection(r->conn);
    r->w->work_pending = true;
}

static enum web_end
end_of_error(int error)
{
    return error == ETIMEDOUT || error == EHOSTUNREACH || error == ENETUNREACH
               ? WEB_END_TIMED_OUT
               : WEB_END_RESET;
}

static enum web_end
end_behind_bytes(int fd, int revents)
{
    int error = 0;
    socklen_t n = sizeof(error);

    if ((revents & POLLERR) != 0) {
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &n);
        return end_of_error(error);
    }
    return (revents & (POLLRDHUP | POLLHUP)) != 0 ? WEB_END_CLOSED
                                                  : WEB_END_NONE;
}

/* Sets *bytes_follow if bytes wait in the socket, behind which recv() does not
 * see the end. */
static enum web_end
find_end(int fd, bool *bytes_follow)
{
    struct pollfd p = {fd, POLLIN | POLLRDHUP, 0};
    char byte;
    ssize_t n;

    *bytes_follow = false;
    if (poll(&p, 1, 0) <= 0) {
        return WEB_END_NONE;
    }
    n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n > 0) {
        *bytes_follow = true;
        return end_behind_bytes(fd, p.revents);
    }
    if (n == 0) {
        return WEB_END_CLOSED;
    }
    return errno == EAGAIN || errno == EINTR ? WEB_END_NONE
                                             : end_of_error(errno);
}

static void
end_request(struct web_req *r, enum web_end end)
{
    ev_io_stop(r->w->loop, &r->disconnect_io);
    r->end = end;
    r->w->disconnected(r->w->ctx, r);
    r->disconnected = true;
    resume(r);
}

/* The library does not watch a suspended connection, so a disconnected caller
 * would go unnoticed and its work would continue needlessly. */
static void
on_disconnect(struct ev_loop *loop, ev_io *io, int revents)
{
    struct web_req *r = io->data;
    enum web_end end = find_end(io->fd, &r->bytes_follow);

    (void)revents;
    if (end != WEB_END_NONE) {
        end_request(r, end);
    }
    else if (r->bytes_follow) {
        ev_io_stop(loop, io);
        if (!ev_is_active(&r->w->unread_timer)) {
            ev_timer_again(loop, &r->w->unread_timer);
        }
    }
}

static void
on_unread_timer(struct ev_loop *loop, ev_timer *t, int revents)
{
    struct web *w = t->data;
    struct web_req *r;
    struct web_req *next;
    bool found = false;

    (void)revents;
    DL_FOREACH_SAFE (w->suspended, r, next) {
        bool bytes_follow;
        enum web_end end;

        /* The handler may have answered next when r ended. */
        if (!r->bytes_follow || !r->suspended) {
            continue;
        }
        end = find_end(fd_of(r->conn), &bytes_follow);
        if (end != WEB_END_NONE) {
            end_request(r, end);
        }
        else {
            found = true;
        }
    }
    if (!found) {
        ev_timer_stop(loop, t);
    }
}

static void
watch_disconnect(struct web_req *r)
{
    ev_io_init(&r->disconnect_io, on_disconnect, fd_of(r->conn), EV_READ);
    r->disconnect_io.data = r;
    ev_io_start(r->w->loop, &r->disconnect_io);
}

static enum MHD_Result
handle_complete(struct web_req *r)
{
    if (r->disconnected) {
        /* Close the connection.  A caller that has closed only its sending
         * side would believe any response. */
        return MHD_NO;
    }
    if (r->replied) {
        return queue_reply(r);
    }
    if (r->handled) {
        return MHD_YES;
    }
    if (!reserve_for_handling(web_conn_of(r->conn))) {
        r->w->stats.memory++;
        return MHD_NO;
    }
    r->handled = true;
    set_phase(web_conn_of(r->conn), SD_HANDLED);
    r->w->handle(r->w->ctx, r);
    if (r->disconnected) {
        return MHD_NO;
    }
    if (r->replied) {
        return queue_reply(r);
    }
    r->suspended = true;
    DL_APPEND(r->w->suspended, r);
    MHD_suspend_connection(r->conn);
    watch_disconnect(r);
    return MHD_YES;
}

/* The length of the body that the header of r announces; 0 if it has none. */
static unsigned long long
announced_length(const struct web_req *r)
{
    const char *text = web_header(r, MHD_HTTP_HEADER_CONTENT_LENGTH);

    return text != NULL ? strtoull(text, NULL, 10) : 0;
}

/* The library closes the connection after a reply that is sent before the
 * body. */
static enum MHD_Result
reject_too_large(struct web_req *r)
{
    r->w->stats.too_large++;
    r->handled = true;
    web_problem(r, MHD_HTTP_CONTENT_TOO_LARGE, "body_too_large",
        "the request body exceeds this server's limit", 0);
    return queue_reply(r);
}

static enum MHD_Result
on_header(struct web_req *r)
{
    struct web_conn *c = web_conn_of(r->conn);
    size_t size = MHD_get_connection_info(
        r->conn, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE)
                      ->header_size;

    c->use.phase = SD_BODY;
    c->parsed += size;
    add_owned(c, (ssize_t)size);
    return announced_length(r) > r->w->cfg.limits.body_max
               ? reject_too_large(r)
               : MHD_YES;
}

/* MHD_NO, which closes the connection, if the body is too large: in chunks it
 * does not announce its length, and a reply can't be sent before its end. */
static enum MHD_Result
add_to_body(struct web_req *r, struct str piece)
{
    struct web_conn *c = web_conn_of(r->conn);
    size_t before = r->body.cap;

    if (r->body.n + piece.n > r->w->cfg.limits.body_max) {
        r->w->stats.too_large++;
        buf_free(&r->body);
        return MHD_NO;
    }
    buf_add(&r->body, piece);
    c->parsed += piece.n;
    add_owned(c, (ssize_t)(r->body.cap - before));
    free_memory(r->w);
    return c->closing ? MHD_NO : MHD_YES;
}

static enum MHD_Result
on_access(void *ctx, struct MHD_Connection *conn, const char *url,
    const char *method, const char *version, const char *data, size_t *size,
    void **req_ctx)
{
    struct web_req *r = *req_ctx;

    (void)ctx;
    (void)url;
    (void)version;
    if (web_conn_of(conn)->closing) {
        return MHD_NO;
    }
    if (r->method == NULL) {
        r->method = method;
        return on_header(r);
    }
    if (*size > 0) {
        struct str piece = str_make(data, *size);

        *size = 0;
        return add_to_body(r, piece);
    }
    return handle_complete(r);
}

static void
set_drain_timeout(struct web_conn *c)
{
    MHD_set_connection_option(
        c->conn, MHD_CONNECTION_OPTION_TIMEOUT, DRAIN_IDLE_S);
}

/* Ends connections to hosts that vanish without closing them.  There is no
 * TCP_USER_TIMEOUT, as that also ends connections of callers that read their
 * reply slowly.  Without these options such a request lasts until its
 * deadline, so a failure to set them is ignored. */
static void
probe_when_silent(int fd)
{
    static const struct {
        int level;
        int name;
        int value;
    } options[] = {
        {IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_S},
        {IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_S},
        {IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES},
        {SOL_SOCKET, SO_KEEPALIVE, 1},
    };

    for (size_t i = 0; i < sizeof(options) / sizeof(options[0]); i++) {
        setsockopt(fd, options[i].level, options[i].name, &options[i].value,
            sizeof(options[i].value));
    }
}

static void
on_connection(void *ctx, struct MHD_Connection *conn, void **socket_ctx,
    enum MHD_ConnectionNotificationCode what)
{
    struct web *w = ctx;
    struct web_conn *c = *socket_ctx;

    if (what == MHD_CONNECTION_NOTIFY_CLOSED) {
        forget_bytes(c);
        w->conn_count -= !c->closing;
        DL_DELETE(w->conns, c);
        free(c);
        return;
    }
    c = dw_zero(1, sizeof(*c));
    c->w = w;
    c->conn = conn;
    *socket_ctx = c;
    set_phase(c, SD_NEW);
    DL_APPEND(w->conns, c);
    w->conn_count++;
    probe_when_silent(fd_of(conn));
    if (w->draining) {
        set_drain_timeout(c);
    }
    make_room(w);
}

/* Connections inherit this.  A failure leaves larger buffers. */
static void
limit_buffers(int listen_fd)
{
    static const int receive = RECEIVE_BYTES;
    static const int send = SEND_BYTES;

    setsockopt(listen_fd, SOL_SOCKET, SO_RCVBUF, &receive, sizeof(receive));
    setsockopt(listen_fd, SOL_SOCKET, SO_SNDBUF, &send, sizeof(send));
}

enum web_status
web_open(struct web **out, struct ev_loop *loop, const struct web_cfg *cfg,
    web_handle_fn handle, web_disconnect_fn disconnected, void *ctx,
    struct err *e)
{
    struct web *w = dw_zero(1, sizeof(*w));
    const union MHD_DaemonInfo *info;
    struct sockaddr_in sa = {0};

    w->loop = loop;
    w->cfg = *cfg;
    w->handle = handle;
    w->disconnected = disconnected;
    w->ctx = ctx;
    sa.sin_family = AF_INET;
    sa.sin_port = htons(cfg->port);
    if (inet_pton(AF_INET, cfg->addr, &sa.sin_addr) == 1) {
        w->mhd = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME,
            cfg->port, NULL, NULL, on_access, w, MHD_OPTION_SOCK_ADDR,
            (struct sockaddr *)&sa, MHD_OPTION_URI_LOG_CALLBACK,
            on_request_start, w, MHD_OPTION_NOTIFY_COMPLETED,
            on_request_completed, w, MHD_OPTION_NOTIFY_CONNECTION,
            on_connection, w, MHD_OPTION_CONNECTION_LIMIT,
            cfg->limits.connections_max + ACCEPT_AHEAD,
            MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)POOL_BYTES,
            MHD_OPTION_CONNECTION_TIMEOUT, cfg->limits.idle_s,
            MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
    }
    if (w->mhd == NULL) {
        err_set(e, "HTTP %s:%u: %s", cfg->addr, cfg->port, strerror(errno));
        free(w);
        return WEB_NO_SOCKET;
    }
    info = MHD_get_daemon_info(w->mhd, MHD_DAEMON_INFO_EPOLL_FD);
    limit_buffers(
        MHD_get_daemon_info(w->mhd, MHD_DAEMON_INFO_LISTEN_FD)->listen_fd);
    ev_io_init(&w->io, on_io, info->epoll_fd, EV_READ);
    w->io.data = w;
    ev_io_start(loop, &w->io);
    ev_init(&w->timer, on_timer);
    w->timer.data = w;
    ev_init(&w->unread_timer, on_unread_timer);
    w->unread_timer.repeat = UNREAD_CHECK_S;
    w->unread_timer.data = w;
    ev_prepare_init(&w->prepare, on_prepare);
    ev_set_priority(&w->prepare, EV_MINPRI);
    w->prepare.data = w;
    ev_prepare_start(loop, &w->prepare);
    *out = w;
    return WEB_OK;
}

void
web_stop_accepting(struct web *w)
{
    MHD_socket fd;

    /* Accept connections that are already established. */
    run_mhd(w);
    fd = MHD_quiesce_daemon(w->mhd);

    if (fd != MHD_INVALID_SOCKET) {
        close(fd);
    }
}

void
web_drain(struct web *w)
{
    struct web_conn *c;

    w->draining = true;
    DL_FOREACH (w->conns, c) {
        set_drain_timeout(c);
    }
    arm_timer(w);
}

void
web_set_close_after_reply(struct web *w, bool on)
{
    w->close_after_reply = on;
}

void
web_set_body_max(struct web *w, uint32_t bytes)
{
    w->cfg.limits.body_max = bytes;
}

size_t
web_open_requests(const struct web *w)
{
    return w->open;
}

uint32_t
web_connections(const struct web *w)
{
    return w->conn_count;
}

const struct web_stats *
web_stats(const struct web *w)
{
    return &w->stats;
}

void
web_close(struct web *w)
{
    ev_io_stop(w->loop, &w->io);
    ev_timer_stop(w->loop, &w->timer);
    ev_timer_stop(w->loop, &w->unread_timer);
    ev_prepare_stop(w->loop, &w->prepare);
    while (w->suspended != NULL) {
        struct web_req *r = w->suspended;

        ev_io_stop(w->loop, &r->disconnect_io);
        r->disconnected = true;
        resume(r);
    }
    web_flush(w);
    MHD_stop_daemon(w->mhd);
    free(w);
}

const char *
web_method(const struct web_req *r)
{
    return r->method;
}

const char *
web_path(const struct web_req *r)
{
    return r->path;
}

const char *
web_header(const struct web_req *r, const char *name)
{
    return MHD_lookup_connection_value(r->conn, MHD_HEADER_KIND, name);
}

const char *
web_query(const struct web_req *r, const char *name)
{
    return MHD_lookup_connection_value(r->conn, MHD_GET_ARGUMENT_KIND, name);
}

struct str
web_body(const struct web_req *r)
{
    return buf_str(&r->body);
}

void
web_release_body(struct web_req *r)
{
    struct web_conn *c = web_conn_of(r->conn);

    add_owned(c, -(ssize_t)r->body.cap);
    buf_free(&r->body);
    release_reserve(c);
    /* It keeps its header, which may be large too. */
    reserve_for_handling(c);
}

bool
web_is_local(const struct web_req *r)
{
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(r->conn, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    const struct sockaddr_in *sa =
        info != NULL ? (const struct sockaddr_in *)info->client_addr : NULL;

    return sa != NULL && sa->sin_family == AF_INET &&
           (ntohl(sa->sin_addr.s_addr) >> 24) == 127;
}

bool
web_unread_ms(const struct web_req *r, uint32_t *out)
{
    uint64_t answered_ms = web_conn_of(r->conn)->answered_ms;
    struct tcp_info t = {0};
    socklen_t n = sizeof(t);

    if (getsockopt(fd_of(r->conn), IPPROTO_TCP, TCP_INFO, &t, &n) != 0) {
        return false;
    }
    *out = t.tcpi_last_data_recv;
    if (answered_ms != 0) {
        *out = (uint32_t)num_min(*out, clock_ms() - answered_ms);
    }
    return true;
}

bool
web_drop_if_left(struct web_req *r)
{
    bool bytes_follow;

    r->end = find_end(fd_of(r->conn), &bytes_follow);
    if (r->end == WEB_END_NONE) {
        return false;
    }
    r->disconnected = true;
    if (r->suspended) {
        ev_io_stop(r->w->loop, &r->disconnect_io);
        resume(r);
    }
    return true;
}

enum web_end
web_end(const struct web_req *r)
{
    return r->end;
}

void
web_set_ctx(struct web_req *r, void *ctx)
{
    r->ctx = ctx;
}

void *
web_ctx(const struct web_req *r)
{
    return r->ctx;
}

void
web_reply(struct web_req *r, unsigned status, const char *type,
    struct str body, uint32_t retry_s)
{
    char number[16];

    r->response = MHD_create_response_from_buffer(
        body.n, (void *)body.p, MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(r->response, MHD_HTTP_HEADER_CONTENT_TYPE, type);
    if (retry_s > 0) {
        snprintf(number, sizeof(number), "%u", retry_s);
        MHD_add_response_header(
            r->response, MHD_HTTP_HEADER_RETRY_AFTER, number);
    }
    if (r->w->draining || r->w->close_after_reply) {
        MHD_add_response_header(
            r->response, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    r->status = status;
    r->replied = true;
    add_owned(web_conn_of(r->conn), (ssize_t)body.n);
    if (r->suspended) {
        ev_io_stop(r->w->loop, &r->disconnect_io);
        resume(r);
    }
}

void
web_problem(struct web_req *r, unsigned status, const char *kind,
    const char *detail, uint32_t retry_s)
{
    json_t *o =
        json_pack("{s:s+, s:s, s:i, s:s}", "type", "urn:dunlinweir:", kind,
            "title", kind, "status", (int)status, "detail", detail);
    char *text = json_dumps(o, JSON_COMPACT);

    web_reply(r, status, "application/problem+json", str_of(text), retry_s);
    free(text);
    json_decref(o);
}
