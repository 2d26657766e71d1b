/*
 * process - a dunlinweird process under test, on loopback
 */
#ifndef PROCESS_HH
#define PROCESS_HH

#include <gtest/gtest.h>

#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <poll.h>
#include <string>
#include <sys/prctl.h>
#include <sys/wait.h>

#include "ports.hh"

namespace process {

/* A connection to a port on loopback; -1 if it is refused. */
inline int
connect_to(uint16_t port)
{
    sockaddr_in sa = loopback(port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    if (connect(fd, (sockaddr *)&sa, sizeof(sa)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/* What arrives until word, the end of the connection or some seconds. */
inline std::string
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

/* A daemon, which ends with this object at the latest. */
struct Daemon {
    pid_t pid = 0;
    std::string settings;
    std::string log;

    Daemon()
    {
        static int number = 0;

        settings = testing::TempDir() + "daemon-" + std::to_string(getpid()) +
                   "-" + std::to_string(number++) + ".toml";
        log = settings + ".log";
    }
    ~Daemon()
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
    path()
    {
        char self[512] = "";

        EXPECT_GT(readlink("/proc/self/exe", self, sizeof(self) - 1), 0);
        return std::string(self).substr(0, strrchr(self, '/') - self) +
               "/dunlinweird";
    }
    /* last_port is the one that the daemon opens last. */
    void
    start(const std::string &text, uint16_t last_port)
    {
        std::string program = path();

        std::ofstream(settings) << text;
        pid = fork();
        ASSERT_GE(pid, 0);
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            dup2(open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600), 2);
            execl(program.c_str(), program.c_str(), "-f", settings.c_str(),
                nullptr);
            _exit(127);
        }
        for (int i = 0; i < 500; i++) {
            int fd = connect_to(last_port);

            if (fd >= 0) {
                close(fd);
                return;
            }
            usleep(10000);
        }
        FAIL() << "the daemon does not start";
    }
    bool
    lives() const
    {
        return waitpid(pid, nullptr, WNOHANG) == 0;
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
};

/* A counter or gauge of the process whose metrics address has this port. */
inline uint64_t
metric(uint16_t port, const char *name)
{
    int fd = connect_to(port);
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

} // namespace process

#endif
