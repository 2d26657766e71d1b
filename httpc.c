#include "httpc.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_BODY_MAX_BYTES (8U << 20)

struct httpc {
    struct ev_loop *loop;
    CURLM *multi;
    ev_timer timer;
    ev_prepare prepare;
    struct httpc_req *reqs;
    uint64_t copies; /* see httpc_copies() */
};

struct httpc_req {
    struct httpc *h;
    CURL *easy;
    struct curl_slist *headers;
    struct buf out; /* request body */
    struct buf in;  /* response body */
    size_t body_max;
    bool idempotent;
    httpc_done_fn done;
    httpc_before_send_fn before_send;
    httpc_data_fn data;
    void *ctx;
    uint32_t sends; /* copies of the request that were sent */
    char error[CURL_ERROR_SIZE];
    struct httpc_req *prev;
    struct httpc_req *next;
};

struct socket_watch {
    ev_io io;
    curl_socket_t fd;
    struct httpc *h;
};

static void
free_req(struct httpc_req *r)
{
    if (r->prev != NULL) {
        r->prev->next = r->next;
    }
    else {
        r->h->reqs = r->next;
    }
    if (r->next != NULL) {
        r->next->prev = r->prev;
    }
    curl_multi_remove_handle(r->h->multi, r->easy);
    curl_easy_cleanup(r->easy);
    curl_slist_free_all(r->headers);
    buf_free(&r->out);
    buf_free(&r->in);
    free(r);
}

static enum httpc_status
status_of(const struct httpc_req *r, CURLcode code)
{
    if (code == CURLE_OK) {
        return HTTPC_OK;
    }
    if (r->sends == 0) {
        return HTTPC_NOT_SENT;
    }
    return code == CURLE_OPERATION_TIMEDOUT ? HTTPC_TIMEOUT
                                            : HTTPC_FAILED_AFTER_SEND;
}

static void
finish(struct httpc_req *r, CURLcode code)
{
    struct httpc_result result;

    result.status = status_of(r, code);
    result.sends = r->sends;
    result.http_status = 0;
    curl_easy_getinfo(r->easy, CURLINFO_RESPONSE_CODE, &result.http_status);
    result.body = buf_str(&r->in);
    result.error = r->error[0] != '\0' ? r->error : curl_easy_strerror(code);
    r->done(r->ctx, &result);
    free_req(r);
}

static void
finish_completed(struct httpc *h)
{
    CURLMsg *m;
    int left;

    while ((m = curl_multi_info_read(h->multi, &left)) != NULL) {
        struct httpc_req *r;
        CURLcode code = m->data.result;

        if (m->msg != CURLMSG_DONE) {
            continue;
        }
        curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, &r);
        finish(r, code);
    }
}

static void
socket_action(struct httpc *h, curl_socket_t fd, int mask)
{
    int running;

    curl_multi_socket_action(h->multi, fd, mask, &running);
    finish_completed(h);
}

static void
on_io(struct ev_loop *loop, ev_io *w, int revents)
{
    struct socket_watch *watch = w->data;
    int mask = 0;

    (void)loop;
    if (revents & EV_READ) {
        mask |= CURL_CSELECT_IN;
    }
    if (revents & EV_WRITE) {
        mask |= CURL_CSELECT_OUT;
    }
    socket_action(watch->h, watch->fd, mask);
}

static void
on_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct httpc *h = w->data;

    (void)loop;
    (void)revents;
    socket_action(h, CURL_SOCKET_TIMEOUT, 0);
}

static int
set_timer(CURLM *multi, long ms, void *ctx)
{
    struct httpc *h = ctx;

    (void)multi;
    ev_timer_stop(h->loop, &h->timer);
    if (ms >= 0) {
        ev_timer_set(&h->timer, (double)ms / 1000.0, 0.0);
        ev_timer_start(h->loop, &h->timer);
    }
    return 0;
}

static int
watch_socket(CURL *easy, curl_socket_t fd, int what, void *ctx, void *sock)
{
    struct httpc *h = ctx;
    struct socket_watch *watch = sock;
    int events = 0;

    (void)easy;
    if (watch != NULL) {
        ev_io_stop(h->loop, &watch->io);
    }
    if (what == CURL_POLL_REMOVE) {
        free(watch);
        curl_multi_assign(h->multi, fd, NULL);
        return 0;
    }
    if (watch == NULL) {
        watch = dw_zero(1, sizeof(*watch));
        watch->h = h;
        watch->fd = fd;
        curl_multi_assign(h->multi, fd, watch);
    }
    events |= what & CURL_POLL_IN ? EV_READ : 0;
    events |= what & CURL_POLL_OUT ? EV_WRITE : 0;
    ev_io_init(&watch->io, on_io, fd, events);
    watch->io.data = watch;
    ev_io_start(h->loop, &watch->io);
    return 0;
}

struct httpc *
httpc_new(struct ev_loop *loop, uint32_t host_connections)
{
    struct httpc *h = dw_zero(1, sizeof(*h));

    h->loop = loop;
    h->multi = curl_multi_init();
    ev_init(&h->timer, on_timer);
    /* Process received responses before timeouts, as a call that has its
     * response has not timed out. */
    ev_set_priority(&h->timer, -1);
    h->timer.data = h;
    curl_multi_setopt(h->multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
    curl_multi_setopt(h->multi, CURLMOPT_SOCKETDATA, h);
    curl_multi_setopt(h->multi, CURLMOPT_TIMERFUNCTION, set_timer);
    curl_multi_setopt(h->multi, CURLMOPT_TIMERDATA, h);
    curl_multi_setopt(
        h->multi, CURLMOPT_MAX_HOST_CONNECTIONS, (long)host_connections);
    /* Otherwise libcurl closes idle connections beyond four times the number
     * of calls in progress and reopens them in the next burst. */
    curl_multi_setopt(h->multi, CURLMOPT_MAXCONNECTS, (long)host_connections);
    return h;
}

void
httpc_free(struct httpc *h)
{
    while (h->reqs != NULL) {
        free_req(h->reqs);
    }
    ev_timer_stop(h->loop, &h->timer);
    curl_multi_cleanup(h->multi);
    free(h);
}

static size_t
on_body(char *p, size_t size, size_t n, void *ctx)
{
    struct httpc_req *r = ctx;
    struct str piece = str_make(p, size * n);

    if (r->data != NULL) {
        r->data(r->ctx, piece);
        return piece.n;
    }
    if (r->in.n + piece.n > r->body_max) {
        return 0;
    }
    buf_add(&r->in, piece);
    return piece.n;
}

/* libcurl also calls this before it sends another copy of a request whose
 * connection broke.  The first copy may have been received, and the response
 * to another one would not tell what became of it. */
static int
on_before_send(void *ctx, char *to, char *from, int to_port, int from_port)
{
    struct httpc_req *r = ctx;

    (void)to;
    (void)from;
    (void)to_port;
    (void)from_port;
    if (r->sends > 0 && !r->idempotent) {
        return CURL_PREREQFUNC_ABORT;
    }
    if (r->before_send != NULL && !r->before_send(r->ctx)) {
        return CURL_PREREQFUNC_ABORT;
    }
    if (++r->sends > 1) {
        r->h->copies++;
    }
    return CURL_PREREQFUNC_OK;
}

static void
set_options(struct httpc_req *r, const struct httpc_call *call)
{
    CURL *e = r->easy;

    curl_easy_setopt(e, CURLOPT_PRIVATE, r);
    curl_easy_setopt(e, CURLOPT_URL, call->url);
    curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, call->method);
    curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(e, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(e, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(e, CURLOPT_ERRORBUFFER, r->error);
    curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(e, CURLOPT_WRITEDATA, r);
    curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_before_send);
    curl_easy_setopt(e, CURLOPT_PREREQDATA, r);
    curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, (long)call->timeout_ms);
    curl_easy_setopt(
        e, CURLOPT_CONNECTTIMEOUT_MS, (long)call->connect_timeout_ms);
    curl_easy_setopt(e, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
    if (strcmp(call->method, "GET") != 0) {
        curl_easy_setopt(e, CURLOPT_POSTFIELDS, r->out.p);
        curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE, (long)r->out.n);
    }
    curl_easy_setopt(e, CURLOPT_HTTPHEADER, r->headers);
}

struct httpc_req *
httpc_start(struct httpc *h, const struct httpc_call *call)
{
    struct httpc_req *r = dw_zero(1, sizeof(*r));

    r->h = h;
    r->easy = curl_easy_init();
    r->done = call->done;
    r->before_send = call->before_send;
    r->data = call->data;
    r->ctx = call->ctx;
    r->idempotent = call->idempotent || strcmp(call->method, "GET") == 0;
    r->body_max = call->body_max > 0 ? call->body_max : DEFAULT_BODY_MAX_BYTES;
    buf_add(&r->out, call->body);
    /* Do not wait for "100 Continue", which many servers never send. */
    r->headers = curl_slist_append(NULL, "Expect:");
    for (size_t i = 0; call->headers != NULL && call->headers[i] != NULL;
         i++) {
        r->headers = curl_slist_append(r->headers, call->headers[i]);
    }
    set_options(r, call);
    r->next = h->reqs;
    if (h->reqs != NULL) {
        h->reqs->prev = r;
    }
    h->reqs = r;
    if (curl_multi_add_handle(h->multi, r->easy) != CURLM_OK) {
        /* Fails only inside a libcurl callback, which is a programming error:
         * the call would never complete. */
        abort();
    }
    return r;
}

uint64_t
httpc_copies(const struct httpc *h)
{
    return h->copies;
}

void
httpc_cancel(struct httpc_req *r)
{
    free_req(r);
}
