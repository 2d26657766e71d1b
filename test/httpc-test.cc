/* The HTTP client against a scripted server on loopback that breaks
 * connections. */
#include <gtest/gtest.h>

#include <cstring>
#include <ev.h>
#include <list>
#include <string>
#include <vector>

#include "httpc.h"
#include "ports.hh"

namespace {

/* What the server does once it has received a complete request. */
enum Act {
    ANSWER_200,
    ANSWER_503,
    RESET,            /* resets the connection without a response */
    RESET_AND_REFUSE, /* the same, and refuses new connections */
    CLOSE             /* closes the connection without a response */
};

struct Connection {
    struct Server *server;
    int fd;
    ev_io io;
    std::string in;
};

/* Performs one act of its script for each request, on any connection. */
struct Server {
    struct ev_loop *loop;
    std::vector<Act> script;
    int listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    ev_io accept_io;
    std::list<Connection> connections;
    size_t received = 0; /* complete requests */
    uint16_t port = 0;

    Server(struct ev_loop *l, std::vector<Act> acts)
        : loop(l), script(std::move(acts))
    {
        sockaddr_in sa = {};
        socklen_t n = sizeof(sa);

        sa.sin_family = AF_INET;
        sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(bind(listen_fd, (sockaddr *)&sa, sizeof(sa)), 0);
        EXPECT_EQ(listen(listen_fd, 10), 0);
        getsockname(listen_fd, (sockaddr *)&sa, &n);
        port = ntohs(sa.sin_port);
        ev_io_init(&accept_io, on_accept, listen_fd, EV_READ);
        accept_io.data = this;
        ev_io_start(loop, &accept_io);
    }
    ~Server()
    {
        refuse();
        while (!connections.empty()) {
            drop(connections.front(), false);
        }
    }
    void
    refuse()
    {
        if (listen_fd >= 0) {
            ev_io_stop(loop, &accept_io);
            close(listen_fd);
            listen_fd = -1;
        }
    }
    void
    drop(Connection &c, bool reset)
    {
        struct linger abort_on_close = {1, 0};

        ev_io_stop(loop, &c.io);
        if (reset) {
            setsockopt(c.fd, SOL_SOCKET, SO_LINGER, &abort_on_close,
                sizeof(abort_on_close));
        }
        close(c.fd);
        connections.remove_if([&](const Connection &o) { return &o == &c; });
    }
    static void
    on_accept(struct ev_loop *loop, ev_io *w, int)
    {
        Server *s = static_cast<Server *>(w->data);
        int fd = accept4(w->fd, nullptr, nullptr, SOCK_NONBLOCK);

        if (fd < 0) {
            return;
        }
        s->connections.push_back({s, fd, {}, ""});
        ev_io_init(&s->connections.back().io, on_readable, fd, EV_READ);
        s->connections.back().io.data = &s->connections.back();
        ev_io_start(loop, &s->connections.back().io);
    }
    /* Requests of these tests have a body of one byte. */
    static void
    on_readable(struct ev_loop *, ev_io *w, int)
    {
        Connection *c = static_cast<Connection *>(w->data);
        char bytes[4096];
        ssize_t n = recv(c->fd, bytes, sizeof(bytes), 0);
        size_t end;

        if (n <= 0) {
            c->server->drop(*c, false);
            return;
        }
        c->in.append(bytes, (size_t)n);
        end = c->in.find("\r\n\r\n");
        if (end != std::string::npos && c->in.size() > end + 4) {
            c->in.clear();
            c->server->act(*c);
        }
    }
    void
    act(Connection &c)
    {
        Act a = received < script.size() ? script[received] : ANSWER_200;

        received++;
        if (a == ANSWER_200 || a == ANSWER_503) {
            std::string text = std::string("HTTP/1.1 ") +
                               (a == ANSWER_200 ? "200 OK" : "503 Busy") +
                               "\r\nContent-Length: 2\r\n\r\n{}";

            EXPECT_GT(send(c.fd, text.data(), text.size(), MSG_NOSIGNAL), 0);
            return;
        }
        if (a == RESET_AND_REFUSE) {
            refuse();
        }
        drop(c, a != CLOSE);
    }
};

struct Result {
    httpc_status status;
    long http_status;
};

struct Client {
    struct ev_loop *loop;
    struct httpc *http;
    std::vector<Result> results;
    bool timed_out = false;

    explicit Client(struct ev_loop *l) : loop(l), http(httpc_new(l, 6))
    {
    }
    ~Client()
    {
        httpc_free(http);
    }
    static void
    on_done(void *ctx, const httpc_result *r)
    {
        Client *c = static_cast<Client *>(ctx);

        c->results.push_back({r->status, r->http_status});
        ev_break(c->loop, EVBREAK_ALL);
    }
    static void
    on_timeout(struct ev_loop *loop, ev_timer *t, int)
    {
        static_cast<Client *>(t->data)->timed_out = true;
        ev_break(loop, EVBREAK_ALL);
    }
    void
    run()
    {
        ev_timer t;

        ev_timer_init(&t, on_timeout, 10, 0);
        t.data = this;
        ev_timer_start(loop, &t);
        ev_run(loop, 0);
        ev_timer_stop(loop, &t);
    }
    /* Sends a request and waits for its result. */
    Result
    call(uint16_t port, const char *method)
    {
        std::string url = "http://127.0.0.1:" + std::to_string(port) + "/x";
        httpc_call h = {};

        h.method = method;
        h.url = url.c_str();
        h.body = STR("x");
        h.timeout_ms = 2000;
        h.connect_timeout_ms = 2000;
        h.done = on_done;
        h.ctx = this;
        httpc_start(http, &h);
        run();
        return results.empty() ? Result{HTTPC_NOT_SENT, 0} : results.back();
    }
};

} // namespace

/* Guards against a task that runs twice: its start is received, the connection
 * breaks, libcurl sends a second copy, and the refusal of that copy is taken
 * for a refusal of the start. */
TEST(Httpc, CallThatChangesStateIsSentOnce)
{
    static const struct {
        const char *name;
        Act broken; /* after the request was received */
        Act next;
    } cases[] = {
        {"reset, the copy is refused", RESET, ANSWER_503},
        {"reset, the copy succeeds", RESET, ANSWER_200},
        {"reset, no new connection", RESET_AND_REFUSE, ANSWER_200},
        {"closed, the copy is refused", CLOSE, ANSWER_503},
    };

    for (const auto &c : cases) {
        SCOPED_TRACE(c.name);
        struct ev_loop *loop = ev_loop_new(0);
        {
            Server server(loop, {ANSWER_200, c.broken, c.next});
            Client client(loop);
            Result r;

            EXPECT_EQ(client.call(server.port, "POST").status, HTTPC_OK);
            r = client.call(server.port, "POST");
            EXPECT_EQ(r.status, HTTPC_FAILED_AFTER_SEND);
            EXPECT_EQ(r.http_status, 0);
            EXPECT_EQ(server.received, 2u);
            EXPECT_FALSE(client.timed_out);
        }
        ev_loop_destroy(loop);
    }
}

/* Guards against a start reported as lost although it was never sent. */
TEST(Httpc, RefusedConnectionMeansNotSent)
{
    struct ev_loop *loop = ev_loop_new(0);
    {
        Server server(loop, {});
        Client client(loop);

        server.refuse();
        EXPECT_EQ(client.call(server.port, "POST").status, HTTPC_NOT_SENT);
        EXPECT_EQ(server.received, 0u);
    }
    ev_loop_destroy(loop);
}
