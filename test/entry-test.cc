/* Entry processes on the users' platform and callers that leave, or wait while
 * the process stands still.  There is no store, so that what is started is
 * refused as "no_configuration". */
#include <gtest/gtest.h>

#include <vector>

#include "process.hh"

using process::connect_to;
using process::read_until;

namespace {

class Entry : public testing::Test {
  protected:
    uint16_t callers = free_port();
    uint16_t metrics = free_port();
    uint16_t readiness = free_port();
    process::Daemon daemon;

    void
    start()
    {
        daemon.start(
            "[process]\nrole = \"entry\"\nname = \"e1\"\n"
            "domain = \"kolding\"\naddress = \"127.0.0.1\"\n"
            "port = " +
                std::to_string(free_port()) +
                "\n[platform]\nstore = \"http://127.0.0.1:" +
                std::to_string(free_port()) +
                "\"\ncallers = \"127.0.0.1:" + std::to_string(callers) +
                "\"\nreadiness = \"127.0.0.1:" + std::to_string(readiness) +
                "\"\nmetrics = \"127.0.0.1:" + std::to_string(metrics) +
                "\"\n",
            readiness);
    }
    /* A connection on which a job has been submitted. */
    int
    submit(int id)
    {
        int fd = connect_to(callers);
        char text[200];
        int n = snprintf(text, sizeof(text),
            "POST /a/%016x HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}",
            id);

        EXPECT_GE(fd, 0);
        EXPECT_EQ(write(fd, text, (size_t)n), n);
        return fd;
    }
};

} // namespace

/* Guards against jobs that start after their callers have left: they closed or
 * reset their connections while the requests waited unread. */
TEST_F(Entry, RequestsOfCallersThatHaveLeftAreDropped)
{
    start();
    kill(daemon.pid, SIGSTOP);
    for (int i = 0; i < 20; i++) {
        int fd = submit(i);
        linger reset = {1, 0};

        if (i % 2 == 1) {
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        }
        close(fd);
    }
    int fd = submit(20);
    kill(daemon.pid, SIGCONT);
    EXPECT_NE(read_until(fd, "}").find(" 503 "), std::string::npos);
    close(fd);
    EXPECT_GE(process::metric(metrics, "dw_requests_read_after_close"), 10U);
    /* One that was taken on is given up when the close is noticed. */
    EXPECT_EQ(daemon.lines_with("event=caller_left"), 0U);
}

/* Guards against jobs that start at two entries: a request waited unread while
 * the process stood still, so its caller may have sent it elsewhere, but was
 * read some time after the pause. */
TEST_F(Entry, RequestsThatWaitedThroughAPauseAreRefused)
{
    const int count = 800;
    std::vector<int> fds;

    start();
    kill(daemon.pid, SIGSTOP);
    for (int i = 0; i < count; i++) {
        fds.push_back(submit(i));
    }
    usleep(700000);
    kill(daemon.pid, SIGCONT);
    int paused = 0;
    for (int fd : fds) {
        std::string reply = read_until(fd, "}");

        paused += reply.find(" 503 ") != std::string::npos &&
                  reply.find("paused") != std::string::npos;
        close(fd);
    }
    EXPECT_EQ(paused, count);
    /* What is read just after the pause is refused as well. */
    std::string later;
    for (int i = 0; i < 100; i++) {
        int fd = submit(count + i);

        later = read_until(fd, "}");
        close(fd);
        if (later.find("paused") == std::string::npos) {
            break;
        }
        EXPECT_NE(later.find(" 503 "), std::string::npos);
        usleep(10000);
    }
    EXPECT_NE(later.find("no_configuration"), std::string::npos);
}

/* Guards against jobs that run on after their callers have left: a daemon that
 * inherited a caller's connection holds it open for as long as it lives. */
TEST_F(Entry, InheritedConnectionsAreClosed)
{
    uint16_t port = free_port();
    int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in sa = {};

    sa.sin_family = AF_INET;
    sa.sin_port = htons(port);
    sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ASSERT_EQ(bind(listener, (sockaddr *)&sa, sizeof(sa)), 0);
    ASSERT_EQ(listen(listener, 1), 0);
    int caller = connect_to(port);
    int served = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    fcntl(caller, F_SETFD, 0);
    start();
    close(caller);
    pollfd p = {served, POLLIN, 0};
    char byte;
    ASSERT_EQ(poll(&p, 1, 5000), 1);
    EXPECT_EQ(recv(served, &byte, 1, 0), 0);
    EXPECT_EQ(kill(daemon.pid, 0), 0);
    close(served);
    close(listener);
}

/* Guards against callers that stay with an entry that cannot serve them, while
 * the load balancer has taken it out of rotation. */
TEST_F(Entry, ConnectionsAreClosedWhenItIsOutOfRotation)
{
    start();
    for (int checks = 0; checks < 3; checks++) {
        int fd = submit(checks);

        EXPECT_EQ(
            read_until(fd, "}").find("Connection: close") != std::string::npos,
            checks == 2);
        close(fd);
        fd = connect_to(readiness);
        const char *check = "GET /x HTTP/1.1\r\nHost: x\r\n\r\n";
        EXPECT_EQ(write(fd, check, strlen(check)), (ssize_t)strlen(check));
        EXPECT_NE(read_until(fd, "}").find(" 503 "), std::string::npos);
        close(fd);
    }
}
