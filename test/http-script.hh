/*
 * http-script - an HTTP server on loopback that follows a script
 *
 * It answers requests, ignores them or breaks their connections, to show what
 * a client concludes from each.
 */
#ifndef HTTP_SCRIPT_HH
#define HTTP_SCRIPT_HH

#include <gtest/gtest.h>

#include <cstring>
#include <ev.h>
#include <list>
#include <string>
#include <vector>

#include "ports.hh"

namespace http_script {

/* What the server does once it has received a complete request. */
enum Act {
    ANSWER,
    HANG,             /* does not respond */
    RESET,            /* resets the connection without a response */
    RESET_AND_REFUSE, /* the same, and refuses new connections */
    CLOSE             /* closes the connection without a response */
};

struct Step {
    Act act;
    int status = 0; /* of the answer */
    std::string body = "{}";
};

inline const Step ANSWER_200 = {ANSWER, 200};
inline const Step ANSWER_503 = {ANSWER, 503};

/* An event loop, to be declared before what uses it. */
struct Loop {
    struct ev_loop *loop = ev_loop_new(0);

    ~Loop()
    {
        ev_loop_destroy(loop);
    }
};

struct Connection {
    struct Server *server;
    int fd;
    ev_io io;
    std::string in;
};

/* Performs one step of its script for each request, on any connection; answers
 * 200 after the last one. */
struct Server {
    struct ev_loop *loop;
    std::vector<Step> script;
    int listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    ev_io accept_io;
    std::list<Connection> connections;
    size_t received = 0; /* complete requests */
    uint16_t port = 0;

    Server(struct ev_loop *l, std::vector<Step> steps)
        : loop(l), script(std::move(steps))
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
    /* The length of the first request in `in`; 0 if it is incomplete. */
    static size_t
    request_length(const std::string &in)
    {
        size_t end = in.find("\r\n\r\n");
        size_t at = in.find("Content-Length: ");
        size_t n = end + 4;

        if (end == std::string::npos) {
            return 0;
        }
        if (at < end) {
            n += std::stoul(in.substr(at + strlen("Content-Length: ")));
        }
        return in.size() >= n ? n : 0;
    }
    static void
    on_readable(struct ev_loop *, ev_io *w, int)
    {
        Connection *c = static_cast<Connection *>(w->data);
        char bytes[4096];
        ssize_t n = recv(c->fd, bytes, sizeof(bytes), 0);

        if (n <= 0) {
            c->server->drop(*c, false);
            return;
        }
        c->in.append(bytes, (size_t)n);
        if (request_length(c->in) > 0) {
            c->in.clear();
            c->server->act(*c);
        }
    }
    void
    act(Connection &c)
    {
        Step s = received < script.size() ? script[received] : ANSWER_200;

        received++;
        if (s.act == ANSWER) {
            std::string text =
                "HTTP/1.1 " + std::to_string(s.status) +
                " X\r\nContent-Length: " + std::to_string(s.body.size()) +
                "\r\n\r\n" + s.body;

            EXPECT_GT(send(c.fd, text.data(), text.size(), MSG_NOSIGNAL), 0);
            return;
        }
        if (s.act == HANG) {
            return;
        }
        if (s.act == RESET_AND_REFUSE) {
            refuse();
        }
        drop(c, s.act != CLOSE);
    }
};

} // namespace http_script

#endif
