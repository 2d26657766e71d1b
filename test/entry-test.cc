/* Entry processes on the users' platform and callers that leave, or wait while
 * the process stands still.  There is no store, so that what is started is
 * refused as "no_configuration". */
#include <gtest/gtest.h>

#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <poll.h>
#include <string>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <vector>

#include "ports.hh"

namespace {

class Entry : public testing::Test {
  protected:
    pid_t pid = 0;
    uint16_t callers = free_port();
    uint16_t metrics = free_port();
    uint16_t readiness = free_port();
    std::string settings;
    std::string log;

    void
    SetUp() override
    {
        settings = testing::TempDir() + "entry-test-" +
                   std::to_string(getpid()) + ".toml";
        log = settings + ".log";
        std::ofstream(settings)
            << "[process]\nrole = \"entry\"\nname = \"e1\"\n"
               "domain = \"kolding\"\naddress = \"127.0.0.1\"\nport = "
            << free_port() << "\n[platform]\n"
            << "store = \"http://127.0.0.1:" << free_port()
            << "\"\ncallers = \"127.0.0.1:" << callers
            << "\"\nreadiness = \"127.0.0.1:" << readiness
            << "\"\nmetrics = \"127.0.0.1:" << metrics << "\"\n";
    }
    void
    TearDown() override
    {
        if (pid > 0) {
            kill(pid, SIGKILL);
            waitpid(pid, nullptr, 0);
        }
        unlink(settings.c_str());
        unlink(log.c_str());
    }
    /* The daemon that was built beside this program. */
    static std::string
    daemon_path()
    {
        char self[512] = "";

        EXPECT_GT(readlink("/proc/self/exe", self, sizeof(self) - 1), 0);
        return std::string(self).substr(0, strrchr(self, '/') - self) +
               "/dunlinweird";
    }
    void
    start()
    {
        std::string path = daemon_path();

        pid = fork();
        ASSERT_GE(pid, 0);
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            dup2(open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600), 2);
            execl(path.c_str(), path.c_str(), "-f", settings.c_str(), nullptr);
            _exit(127);
        }
        for (int i = 0; i < 500; i++) {
            int fd = connect_to(readiness); /* it is opened last */

            if (fd >= 0) {
                close(fd);
                return;
            }
            usleep(10000);
        }
        FAIL() << "the daemon does not start";
    }
    static int
    connect_to(uint16_t port)
    {
        sockaddr_in sa = {};
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

        sa.sin_family = AF_INET;
        sa.sin_port = htons(port);
        sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (connect(fd, (sockaddr *)&sa, sizeof(sa)) != 0) {
            close(fd);
            return -1;
        }
        return fd;
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
    /* What arrives until word, the end of the connection or some seconds. */
    static std::string
    read_until(int fd, const char *word)
    {
        std::string all;
        pollfd p = {fd, POLLIN, 0};

        while (all.find(word) == std::string::npos && poll(&p, 1, 5000) > 0) {
            char text[4096];
            ssize_t n = recv(fd, text, sizeof(text), 0);

            if (n <= 0) {
                break;
            }
            all.append(text, (size_t)n);
        }
        return all;
    }
    /* Lines of the daemon's log that contain text. */
    size_t
    lines_with(const char *text) const
    {
        std::ifstream in(log);
        std::string line;
        size_t n = 0;

        while (std::getline(in, line)) {
            n += line.find(text) != std::string::npos;
        }
        return n;
    }
    uint64_t
    metric(const char *name)
    {
        int fd = connect_to(metrics);
        const char *text =
            "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

        EXPECT_EQ(write(fd, text, strlen(text)), (ssize_t)strlen(text));
        std::string all = read_until(fd, "no such text");
        size_t at = all.find(std::string("\n") + name + " ");

        close(fd);
        return at == std::string::npos
                   ? 0
                   : strtoull(&all[at + strlen(name) + 2], nullptr, 10);
    }
};

} // namespace

/* Guards against jobs that start after their callers have left: they closed or
 * reset their connections while the requests waited unread. */
TEST_F(Entry, RequestsOfCallersThatHaveLeftAreDropped)
{
    start();
    kill(pid, SIGSTOP);
    for (int i = 0; i < 20; i++) {
        int fd = submit(i);
        linger reset = {1, 0};

        if (i % 2 == 1) {
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        }
        close(fd);
    }
    int fd = submit(20);
    kill(pid, SIGCONT);
    EXPECT_NE(read_until(fd, "}").find(" 503 "), std::string::npos);
    close(fd);
    EXPECT_GE(metric("dw_requests_read_after_close"), 10U);
    /* One that was taken on is given up when the close is noticed. */
    EXPECT_EQ(lines_with("event=caller_left"), 0U);
}

/* Guards against jobs that start at two entries: a request waited unread while
 * the process stood still, so its caller may have sent it elsewhere, but was
 * read some time after the pause. */
TEST_F(Entry, RequestsThatWaitedThroughAPauseAreRefused)
{
    const int count = 800;
    std::vector<int> fds;

    start();
    kill(pid, SIGSTOP);
    for (int i = 0; i < count; i++) {
        fds.push_back(submit(i));
    }
    usleep(700000);
    kill(pid, SIGCONT);
    int paused = 0;
    for (int fd : fds) {
        std::string reply = read_until(fd, "}");

        paused += reply.find(" 503 ") != std::string::npos &&
                  reply.find("paused") != std::string::npos;
        close(fd);
    }
    EXPECT_EQ(paused, count);
    int fd = submit(count);
    EXPECT_NE(read_until(fd, "}").find("no_configuration"), std::string::npos);
    close(fd);
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
    EXPECT_EQ(kill(pid, 0), 0);
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
