/* HTTP server over loopback sockets: disconnecting callers and draining. */
#include <gtest/gtest.h>

#include <cerrno>
#include <cstring>
#include <linux/filter.h>
#include <string>
#include <vector>

#include "ports.hh"
#include "web.h"

namespace {

class Web : public testing::Test {
  protected:
    struct ev_loop *loop = ev_loop_new(0);
    struct ::web *w = nullptr;
    web_req *held_request = nullptr;
    bool hold_all = false; /* not only requests for /hold */
    int disconnects = 0;
    enum web_end end = WEB_END_NONE; /* of the latest disconnect */
    int handled = 0;                 /* requests passed to the handler */
    std::vector<uint32_t> unread_ms; /* of the requests that were handled */
    uint16_t port = free_port();
    sd_limits limits = {400, 1000, 30, 0, 0, 0};

    void
    SetUp() override
    {
        web_cfg cfg = {"127.0.0.1", port, limits};
        err e = {""};

        ASSERT_EQ(
            web_open(&w, loop, &cfg, on_request, on_disconnect, this, &e),
            WEB_OK)
            << e.msg;
    }
    void
    TearDown() override
    {
        if (held_request != nullptr) {
            web_reply(held_request, 200, "text/plain", STR("late"), 0);
        }
        web_close(w);
        ev_loop_destroy(loop);
    }
    static void
    on_request(void *ctx, web_req *r)
    {
        uint32_t ms = 0;

        EXPECT_TRUE(web_unread_ms(r, &ms));
        static_cast<Web *>(ctx)->unread_ms.push_back(ms);
        static_cast<Web *>(ctx)->handled++;
        if (strcmp(web_path(r), "/hold") == 0 ||
            static_cast<Web *>(ctx)->hold_all) {
            static_cast<Web *>(ctx)->held_request = r;
            return;
        }
        web_reply(r, 200, "text/plain", STR("ok"), 0);
    }
    static void
    on_disconnect(void *ctx, web_req *r)
    {
        static_cast<Web *>(ctx)->end = web_end(r);
        static_cast<Web *>(ctx)->disconnects++;
        static_cast<Web *>(ctx)->held_request = nullptr;
    }
    int
    connect_server()
    {
        sockaddr_in sa = loopback(port);
        int fd = socket(AF_INET, SOCK_STREAM, 0);

        EXPECT_EQ(connect(fd, (sockaddr *)&sa, sizeof(sa)), 0);
        return fd;
    }
    void
    send_get(int fd, const char *path)
    {
        std::string text =
            std::string("GET ") + path + " HTTP/1.1\r\nHost: x\r\n\r\n";

        EXPECT_EQ(write(fd, text.data(), text.size()), (ssize_t)text.size());
    }
    /* Run the loop until done() or some seconds have passed. */
    template <typename F>
    bool
    until(F done)
    {
        ev_tstamp end = ev_time() + 10;

        while (!done() && ev_time() < end) {
            ev_timer t;

            ev_timer_init(
                &t, [](struct ev_loop *, ev_timer *, int) {}, 0.01, 0);
            ev_timer_start(loop, &t);
            ev_run(loop, EVRUN_ONCE);
            ev_timer_stop(loop, &t);
        }
        return done();
    }
    /* Run the loop; returns the number of its passes. */
    unsigned
    run_for(ev_tstamp seconds)
    {
        unsigned before = ev_iteration(loop);
        ev_tstamp end = ev_time() + seconds;

        until([&] { return ev_time() >= end; });
        return ev_iteration(loop) - before;
    }
    /* A connection on which a body of this length was sent, but for its last
     * missing bytes. */
    int
    send_body(size_t length, size_t missing = 0)
    {
        std::string text = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                           std::to_string(length) + "\r\n\r\n" +
                           std::string(length - missing, ' ');
        int fd = connect_server();
        size_t sent = 0;

        EXPECT_TRUE(until([&] {
            ssize_t n = send(fd, text.data() + sent, text.size() - sent,
                MSG_DONTWAIT | MSG_NOSIGNAL);

            sent += n > 0 ? (size_t)n : 0;
            return sent == text.size();
        }));
        return fd;
    }
    /* Read until the text contains word or the connection is closed. */
    std::string
    read_until(int fd, const char *word)
    {
        std::string all;

        until([&] {
            char text[1000];
            ssize_t n = recv(fd, text, sizeof(text), MSG_DONTWAIT);

            if (n > 0) {
                all.append(text, (size_t)n);
            }
            return n == 0 || all.find(word) != std::string::npos;
        });
        return all;
    }
};

} // namespace

/* A caller disconnects while its request waits.  If this goes undetected, its
 * work continues needlessly. */
TEST_F(Web, ADisconnectIsDetectedWhileTheRequestWaits)
{
    int fd = connect_server();

    send_get(fd, "/hold");
    ASSERT_TRUE(until([&] { return held_request != nullptr; }));
    close(fd);
    EXPECT_TRUE(until([&] { return disconnects == 1; }));
    EXPECT_TRUE(until([&] { return web_open_requests(w) == 0; }));
}

TEST_F(Web, ADelayedReplyIsSent)
{
    int fd = connect_server();

    send_get(fd, "/hold");
    ASSERT_TRUE(until([&] { return held_request != nullptr; }));
    web_reply(held_request, 200, "text/plain", STR("late"), 0);
    held_request = nullptr;
    EXPECT_NE(read_until(fd, "late").find("late"), std::string::npos);
    EXPECT_EQ(disconnects, 0);
    close(fd);
}

/* A planned stop must not cut off a request that arrives seconds after the
 * signal on a connection left open: a drain closes idle connections. */
TEST_F(Web, ADrainClosesIdleConnectionsAndSendsConnectionClose)
{
    int idle = connect_server();
    int busy = connect_server();

    send_get(idle, "/");
    EXPECT_NE(read_until(idle, "ok").find("ok"), std::string::npos);
    send_get(busy, "/hold");
    ASSERT_TRUE(until([&] { return held_request != nullptr; }));
    web_drain(w);
    char byte;
    EXPECT_TRUE(
        until([&] { return recv(idle, &byte, 1, MSG_DONTWAIT) == 0; }));
    web_reply(held_request, 200, "text/plain", STR("late"), 0);
    held_request = nullptr;
    std::string reply = read_until(busy, "late");
    EXPECT_NE(reply.find("late"), std::string::npos);
    EXPECT_NE(reply.find("close"), std::string::npos) << reply;
    close(idle);
    close(busy);
}

/* Guards against a request that is acted upon although only part of it was
 * received, or that is passed to the handler twice. */
TEST_F(Web, OnlyACompleteRequestIsHandledAndOnce)
{
    static const struct {
        const char *name;
        const char *text; /* the connection is closed after it */
        int handled;
    } cases[] = {
        {"part of the header", "POST / HTTP/1.1\r\nHost: x\r\n", 0},
        {"no body", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n",
            0},
        {"part of the body",
            "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nabc", 0},
        {"complete",
            "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nabcd", 1},
        {"chunks without their end",
            "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            "4\r\nabcd\r\n",
            0},
        {"part of a chunk",
            "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            "4\r\nab",
            0},
        {"chunks",
            "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            "4\r\nabcd\r\n0\r\n\r\n",
            1},
        {"two at once, the second in part",
            "GET / HTTP/1.1\r\nHost: x\r\n\r\nGET / HTTP/1.1\r\n", 1},
        {"two at once",
            "GET / HTTP/1.1\r\nHost: x\r\n\r\nGET / HTTP/1.1\r\nHost: "
            "x\r\n\r\n",
            2},
    };

    for (const auto &c : cases) {
        SCOPED_TRACE(c.name);
        int fd = connect_server();

        handled = 0;
        EXPECT_EQ(write(fd, c.text, strlen(c.text)), (ssize_t)strlen(c.text));
        /* All of it is read before the end, unless it is incomplete. */
        until([&] { return web_open_requests(w) > 0 || handled > 0; });
        shutdown(fd, SHUT_WR);
        EXPECT_TRUE(until([&] { return web_open_requests(w) == 0; }));
        read_until(fd, "no such text");
        EXPECT_EQ(handled, c.handled);
        close(fd);
    }
}

/* Guards against a 503, which says that a request had no effect, for one that
 * is being worked on: a caller that closes only its sending side still reads,
 * and got it in place of no response. */
TEST_F(Web, ADisconnectedCallerGetsNoResponse)
{
    int fd = connect_server();
    char byte;
    ssize_t n = -1;

    send_get(fd, "/hold");
    ASSERT_TRUE(until([&] { return held_request != nullptr; }));
    shutdown(fd, SHUT_WR);
    ASSERT_TRUE(until([&] { return disconnects == 1; }));
    until([&] {
        n = recv(fd, &byte, 1, MSG_DONTWAIT);
        return n >= 0 || errno != EAGAIN;
    });
    EXPECT_LE(n, 0);
    EXPECT_EQ(disconnects, 1);
    EXPECT_TRUE(until([&] { return web_open_requests(w) == 0; }));
    close(fd);
}

/* Guards against a process that aborts at the end of a planned stop: a request
 * without a reply is still waiting. */
TEST_F(Web, ClosesWhileARequestWaits)
{
    int fd = connect_server();
    char byte;

    send_get(fd, "/hold");
    ASSERT_TRUE(until([&] { return held_request != nullptr; }));
    web_close(w);
    held_request = nullptr;
    EXPECT_EQ(recv(fd, &byte, 1, 0), 0);
    EXPECT_EQ(disconnects, 0);
    close(fd);
    SetUp();
}

/* Guards against work that begins after its caller has left, as the loop has
 * not come to the close yet, and against one that is dropped though its caller
 * waits. */
TEST_F(Web, ARequestIsDroppedIfItsCallerHasLeft)
{
    enum { NONE = -1, RESET = -2 };
    static const struct {
        const char *name;
        const char *behind; /* sent after the request */
        int how;            /* shutdown() argument, or NONE or RESET */
        enum web_end end;
    } cases[] = {
        {"waits", "", NONE, WEB_END_NONE},
        {"bytes follow", "GET", NONE, WEB_END_NONE},
        {"closed", "", SHUT_RDWR, WEB_END_CLOSED},
        {"sending side closed", "", SHUT_WR, WEB_END_CLOSED},
        {"closed behind bytes", "GET", SHUT_WR, WEB_END_CLOSED},
        {"reset", "", RESET, WEB_END_RESET},
        {"reset behind bytes", "GET", RESET, WEB_END_RESET},
    };

    for (const auto &c : cases) {
        SCOPED_TRACE(c.name);
        int fd = connect_server();
        linger reset = {1, 0};

        held_request = nullptr;
        send_get(fd, "/hold");
        ASSERT_TRUE(until([&] { return held_request != nullptr; }));
        EXPECT_EQ(
            write(fd, c.behind, strlen(c.behind)), (ssize_t)strlen(c.behind));
        if (c.how == RESET) {
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
            close(fd);
        }
        else if (c.how != NONE) {
            shutdown(fd, c.how);
        }
        EXPECT_EQ(web_drop_if_left(held_request), c.end != WEB_END_NONE);
        EXPECT_EQ(web_end(held_request), c.end);
        if (c.end == WEB_END_NONE) {
            web_reply(held_request, 200, "text/plain", STR("late"), 0);
            EXPECT_NE(read_until(fd, "late").find("late"), std::string::npos);
        }
        held_request = nullptr;
        if (c.how != RESET) {
            close(fd);
        }
        EXPECT_TRUE(until([&] { return web_open_requests(w) == 0; }));
    }
    EXPECT_EQ(disconnects, 0);
}

/* Guards against work that continues after its caller has left, as bytes that
 * the caller sent behind the request hide the close. */
TEST_F(Web, ADisconnectBehindUnreadBytesIsDetected)
{
    for (bool reset : {false, true}) {
        SCOPED_TRACE(reset ? "reset" : "closed");
        int fd = connect_server();
        linger option = {reset, 0};
        int before = disconnects;

        send_get(fd, "/hold");
        ASSERT_TRUE(until([&] { return held_request != nullptr; }));
        EXPECT_EQ(write(fd, "\r\n", 2), 2);
        run_for(0.03);
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
        close(fd);
        EXPECT_TRUE(until([&] { return disconnects == before + 1; }));
        EXPECT_TRUE(until([&] { return web_open_requests(w) == 0; }));
    }
}

/* Guards against a loop that spins while bytes wait behind a request, and
 * against a second request that gets no response. */
TEST_F(Web, APipelinedRequestWaitsForTheFirstAndIsServed)
{
    int fd = connect_server();

    send_get(fd, "/hold");
    ASSERT_TRUE(until([&] { return held_request != nullptr; }));
    send_get(fd, "/");
    EXPECT_LT(run_for(0.3), 100U);
    EXPECT_EQ(handled, 1);
    web_reply(held_request, 200, "text/plain", STR("late"), 0);
    held_request = nullptr;
    EXPECT_NE(read_until(fd, "ok").find("late"), std::string::npos);
    EXPECT_EQ(handled, 2);
    EXPECT_EQ(disconnects, 0);
    /* It could not be read before the first was answered. */
    EXPECT_LT(unread_ms[1], 250U);
    close(fd);
}

/* Guards against requests taken for new ones that are read long after a pause
 * of the process, as a call of the HTTP library accepts a few connections
 * only. */
TEST_F(Web, TheTimeThatARequestWaitedUnreadIsKnown)
{
    std::vector<int> fds;

    for (int i = 0; i < 300; i++) {
        fds.push_back(connect_server());
        send_get(fds.back(), "/");
    }
    usleep(300000);
    EXPECT_TRUE(until([&] { return handled == 300; }));
    for (uint32_t ms : unread_ms) {
        EXPECT_GE(ms, 250U);
    }
    send_get(fds[0], "/");
    EXPECT_TRUE(until([&] { return handled == 301; }));
    EXPECT_LT(unread_ms.back(), 250U);
    for (int fd : fds) {
        close(fd);
    }
}

/* Guards against work that continues for a caller whose host has vanished. */
TEST_F(Web, AVanishedHostIsDetected)
{
    /* This socket drops what it receives, so nothing is acknowledged. */
    sock_filter drop = {BPF_RET | BPF_K, 0, 0, 0};
    sock_fprog program = {1, &drop};
    int fd = connect_server();

    send_get(fd, "/hold");
    ASSERT_TRUE(until([&] { return held_request != nullptr; }));
    ASSERT_EQ(setsockopt(
                  fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)),
        0);
    EXPECT_TRUE(until([&] { return disconnects == 1; }));
    EXPECT_EQ(end, WEB_END_TIMED_OUT);
    close(fd);
}

/* Guards against a body far over the limit that is read to its end, or kept
 * for as long as its client likes. */
TEST_F(Web, ABodyOverTheLimitIsRejectedBeforeItsEnd)
{
    static const struct {
        const char *name;
        std::string text;  /* the body is not complete */
        const char *reply; /* NULL: the connection is closed */
        uint64_t too_large;
    } cases[] = {
        {"announced",
            "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1001\r\n\r\n",
            " 413 ", 1},
        {"announced, more than a number holds",
            "POST / HTTP/1.1\r\nHost: x\r\n"
            "Content-Length: 18446744073709551000\r\n\r\n",
            " 413 ", 1},
        {"in chunks",
            "POST / HTTP/1.1\r\nHost: x\r\n"
            "Transfer-Encoding: chunked\r\n\r\n3e9\r\n" +
                std::string(1001, 'a') + "\r\n",
            nullptr, 1},
    };

    for (const auto &c : cases) {
        SCOPED_TRACE(c.name);
        uint64_t before = web_stats(w)->too_large;
        int fd = connect_server();

        EXPECT_EQ(
            write(fd, c.text.data(), c.text.size()), (ssize_t)c.text.size());
        std::string reply = read_until(fd, "no such text");
        EXPECT_EQ(reply.find(c.reply != nullptr ? c.reply : "HTTP") !=
                      std::string::npos,
            c.reply != nullptr)
            << reply;
        EXPECT_EQ(web_stats(w)->too_large, before + c.too_large);
        EXPECT_EQ(web_open_requests(w), 0U);
        close(fd);
    }
    EXPECT_EQ(handled, 0);
}

/* Guards against operators whose limit on bodies has no effect. */
TEST_F(Web, ALimitOnBodiesCanBeChanged)
{
    static const struct {
        uint32_t max;
        const char *reply;
    } cases[] = {{999, " 413 "}, {1000, " 200 "}, {99, " 413 "}};

    for (const auto &c : cases) {
        SCOPED_TRACE(c.max);
        web_set_body_max(w, c.max);
        int fd = send_body(1000);
        EXPECT_NE(read_until(fd, "\r\n").find(c.reply), std::string::npos);
        close(fd);
    }
}

/* Guards against a limit that clients inside it meet. */
TEST_F(Web, ABodyOfExactlyTheLimitIsServed)
{
    int fd = send_body(1000);

    EXPECT_NE(read_until(fd, "ok").find(" 200 "), std::string::npos);
    EXPECT_EQ(web_stats(w)->too_large, 0U);
    close(fd);
}

namespace {

/* A server with low limits. */
class WebLimits : public Web {
  protected:
    WebLimits()
    {
        limits.connections_max = 2;
        limits.header_s = 1;
        limits.request_s = 1;
    }
};

} // namespace

/* Guards against connections that a byte now and then keeps open for good. */
TEST_F(WebLimits, ARequestThatComesByteByByteIsClosed)
{
    static const char *const heads[] = {"GET / HTTP/1.1\r\nX: ",
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 900\r\n\r\n"};

    for (const char *head : heads) {
        SCOPED_TRACE(head);
        uint64_t before = web_stats(w)->late;
        int fd = connect_server();

        EXPECT_EQ(write(fd, head, strlen(head)), (ssize_t)strlen(head));
        EXPECT_TRUE(until([&] {
            run_for(0.05);
            send(fd, "a", 1, MSG_NOSIGNAL);
            return web_stats(w)->late == before + 1;
        }));
        EXPECT_TRUE(until([&] { return web_open_requests(w) == 0; }));
        close(fd);
    }
    EXPECT_EQ(handled, 0);
}

/* Guards against clients that are turned away as others hold all connections
 * and send nothing, and against a request that is cut off to make room. */
TEST_F(WebLimits, ANewConnectionTakesThePlaceOfOneThatSendsNothing)
{
    int busy = connect_server();
    int silent = connect_server();
    char byte;

    send_get(busy, "/hold");
    ASSERT_TRUE(until([&] { return held_request != nullptr; }));
    int fd = connect_server();
    send_get(fd, "/");
    EXPECT_NE(read_until(fd, "ok").find(" 200 "), std::string::npos);
    EXPECT_LE(recv(silent, &byte, 1, 0), 0);
    EXPECT_EQ(web_stats(w)->crowded, 1U);
    web_reply(held_request, 200, "text/plain", STR("late"), 0);
    held_request = nullptr;
    EXPECT_NE(read_until(busy, "late").find(" 200 "), std::string::npos);
    close(busy);
    close(silent);
    close(fd);
}

namespace {

/* A server that may hold four of the largest bodies. */
class WebMemory : public Web {
  protected:
    WebMemory()
    {
        limits.body_max = 1 << 18;
        limits.memory_mb = 1;
    }
};

} // namespace

/* Guards against bodies that together take more memory than there is, and
 * against an ordinary one that gives way to those that stopped before it. */
TEST_F(WebMemory, TheOldestIncompleteBodiesMakeRoomForANewOne)
{
    std::vector<int> crowd;

    for (int i = 0; i < 12; i++) {
        crowd.push_back(send_body(limits.body_max, 1));
    }
    int fd = send_body(limits.body_max);
    EXPECT_NE(read_until(fd, "ok").find(" 200 "), std::string::npos);
    EXPECT_EQ(handled, 1);
    EXPECT_GE(web_stats(w)->memory, 9U);
    EXPECT_TRUE(until([&] { return web_open_requests(w) <= 3; }));
    for (int c : crowd) {
        close(c);
    }
    EXPECT_TRUE(until([&] { return web_connections(w) == 1; }));
    close(fd);
}

/* Guards against memory that is counted twice or never returned: then ordinary
 * requests on connections that stay open would be closed in the end. */
TEST_F(WebMemory, RequestsOneAfterTheOtherNeverReachTheLimit)
{
    int fds[3];

    for (int round = 0; round < 20; round++) {
        for (int &fd : fds) {
            fd = send_body(limits.body_max);
            EXPECT_NE(read_until(fd, "ok").find(" 200 "), std::string::npos);
            send_get(fd, "/");
            EXPECT_NE(read_until(fd, "ok").find(" 200 "), std::string::npos);
        }
        for (int fd : fds) {
            close(fd);
        }
    }
    EXPECT_EQ(handled, 120);
    EXPECT_EQ(web_stats(w)->memory, 0U);
}

/* Guards against a header inside the platform's limits that is rejected. */
TEST_F(Web, AHeaderOf16KiBIsServed)
{
    std::string text = "GET / HTTP/1.1\r\nHost: x\r\n";
    int fd = connect_server();

    while (text.size() < 16384 - 90) {
        text += "X-Field-" + std::to_string(text.size()) + ": " +
                std::string(64, 'v') + "\r\n";
    }
    text += "\r\n";
    EXPECT_EQ(write(fd, text.data(), text.size()), (ssize_t)text.size());
    EXPECT_NE(read_until(fd, "ok").find(" 200 "), std::string::npos);
    close(fd);
}

/* Guards against callers that are turned away as the bodies of requests that
 * wait for their reply are kept, though they were parsed long before. */
TEST_F(WebMemory, AReleasedBodyMakesRoom)
{
    std::vector<int> waiting;
    std::vector<web_req *> requests;

    hold_all = true;
    for (int i = 0; i < 10; i++) {
        waiting.push_back(send_body(limits.body_max));
        ASSERT_TRUE(until([&] { return held_request != nullptr; }));
        EXPECT_EQ(web_body(held_request).n, limits.body_max);
        web_release_body(held_request);
        EXPECT_EQ(web_body(held_request).n, 0U);
        requests.push_back(held_request);
        held_request = nullptr;
    }
    EXPECT_EQ(web_stats(w)->memory, 0U);
    for (size_t i = 0; i < requests.size(); i++) {
        web_reply(requests[i], 200, "text/plain", STR("ok"), 0);
        EXPECT_NE(
            read_until(waiting[i], "ok").find(" 200 "), std::string::npos);
        close(waiting[i]);
    }
}

/* Guards against ordinary callers that get no answer while large requests that
 * cannot be cut off take all memory. */
TEST_F(WebMemory, LargeRequestsThatWaitLeaveRoomForOrdinaryOnes)
{
    std::vector<int> waiting;
    const size_t sizes[] = {1 << 18, 20000, 2000};

    hold_all = true;
    for (size_t size : sizes) {
        uint64_t before = web_stats(w)->memory;

        while (web_stats(w)->memory == before && waiting.size() < 350) {
            int handled_before = handled;

            waiting.push_back(send_body(size));
            ASSERT_TRUE(until([&] {
                return handled > handled_before ||
                       web_stats(w)->memory > before;
            }));
        }
    }
    for (int i = 0; i < 30; i++) {
        int handled_before = handled;

        waiting.push_back(send_body(100));
        EXPECT_TRUE(until([&] { return handled > handled_before; }));
    }
    for (int c : waiting) {
        close(c);
    }
    EXPECT_TRUE(until([&] { return web_open_requests(w) == 0; }));
    held_request = nullptr;
}

/* Guards against memory that clients take which send requests and never read
 * a reply. */
TEST_F(WebLimits, AClientThatDoesNotReadItsRepliesIsClosed)
{
    sockaddr_in sa = loopback(port);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    int small = 4096;
    std::string requests;

    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
    ASSERT_EQ(connect(fd, (sockaddr *)&sa, sizeof(sa)), 0);
    while (requests.size() < 10000) {
        requests += "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    }
    EXPECT_TRUE(until([&] {
        send(
            fd, requests.data(), requests.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        return web_stats(w)->late > 0;
    }));
    EXPECT_TRUE(until([&] { return web_connections(w) == 0; }));
    close(fd);
}
