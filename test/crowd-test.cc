/*
 * Crowds of clients against the daemon's ports: what each process holds for
 * them stays within the memory and the descriptors of its machine, and others
 * are answered beside them and afterwards.
 *
 * Nothing here depends on the speed of the machine.  Each test needs the
 * machine for itself, so this is a program of its own; see test-crowd.
 */
#include "process.hh"

#include <algorithm>
#include <cerrno>
#include <dirent.h>
#include <functional>
#include <memory>
#include <vector>

#include "link.h"

namespace {

/* Memory of the smallest machines of each role, in MB, and the descriptors
 * that a process may have for sockets. */
const size_t ENTRY_MB = 160;
const size_t AGENT_MB = 128;
const size_t STANDALONE_MB = 256;
const size_t DESCRIPTORS = 3900;

const size_t KB = 1024;
const size_t MB = 1024 * KB;
/* Limits of a request that the platform's pages state. */
const size_t BODY_MAX = 256 * KB;

enum Role { ENTRY, AGENT, STANDALONE };
enum Port { CALLERS, READINESS, METRICS, ANNOUNCE, LINK, API };

/* What each client sends: head, then unit again and again for size bytes. */
struct Sends {
    std::string head;
    std::string unit;
    size_t size;
    size_t piece = 64 * KB; /* bytes a write */
};

struct Case {
    const char *name;
    Role role;
    Port port;
    size_t clients;
    Sends sends;
};

std::string
post(const std::string &header)
{
    return "POST /a/0123456789abcdef HTTP/1.1\r\nHost: x\r\n" + header +
           "\r\n\r\n";
}

std::string
with_length(size_t n)
{
    return post("Content-Length: " + std::to_string(n));
}

/* A body of n bytes of which the last few do not come. */
Sends
body(size_t n, size_t missing)
{
    return {with_length(n), std::string(KB, ' '), n - missing};
}

Sends
body_in_pieces(size_t n, size_t missing)
{
    Sends s = body(n, missing);

    s.piece = 4 * KB;
    return s;
}

/* A record of the link that claims n bytes, of which size come. */
Sends
record(size_t n, size_t size)
{
    uint32_t mark = htonl((uint32_t)n | 0x80000000U);

    return {std::string((const char *)&mark, sizeof(mark)),
        std::string(KB, '\0'), size};
}

const Sends NOTHING = {"", "", 0};
const Sends CHUNKS = {post("Transfer-Encoding: chunked"),
    "10000\r\n" + std::string(64 * KB, ' ') + "\r\n", 4 * MB};
const Sends HEADERS = {
    "GET / HTTP/1.1\r\n", "X-" + std::string(400, 'a') + ": b\r\n", 54 * KB};
const Sends REQUEST_LINE = {"GET /", std::string(KB, 'a'), 54 * KB};

const Case cases[] = {
    {"body_one_byte_short", ENTRY, CALLERS, 700, body(BODY_MAX, 1)},
    {"large_body_one_byte_short", ENTRY, CALLERS, 300, body(MB, 1)},
    {"body_in_pieces", ENTRY, CALLERS, 700, body_in_pieces(BODY_MAX, KB)},
    {"whole_body", ENTRY, CALLERS, 700, body(BODY_MAX, 0)},
    {"announced_body_far_over_the_limit", ENTRY, CALLERS, 300,
        {with_length(16384 * MB), std::string(KB, ' '), 4 * MB}},
    {"chunks_far_over_the_limit", ENTRY, CALLERS, 300, CHUNKS},
    {"headers_without_end", ENTRY, CALLERS, 3200, HEADERS},
    {"request_line_without_end", ENTRY, CALLERS, 3200, REQUEST_LINE},
    {"silent", ENTRY, CALLERS, 3200, NOTHING},
    {"readiness_body_one_byte_short", ENTRY, READINESS, 700,
        body(BODY_MAX, 1)},
    {"readiness_silent", ENTRY, READINESS, 3200, NOTHING},
    {"metrics_silent", ENTRY, METRICS, 64, NOTHING},
    {"link_records", ENTRY, LINK, 64, record(16 * MB - KB, 4 * MB)},
    {"link_silent", ENTRY, LINK, 4200, NOTHING},
    {"announce_body_one_byte_short", AGENT, ANNOUNCE, 700, body(64 * KB, 1)},
    {"announce_silent", AGENT, ANNOUNCE, 200, NOTHING},
    {"agent_link_records", AGENT, LINK, 64, record(16 * MB - KB, 4 * MB)},
    {"api_body_one_byte_short", STANDALONE, API, 400, body(MB, 1)},
    {"api_silent", STANDALONE, API, 400, NOTHING},
};

void
PrintTo(const Case &c, std::ostream *out)
{
    *out << c.name;
}

/* --- a crowd --- */

struct Client {
    int fd;
    size_t sent = 0;
    bool open = true;
};

/* Sends the next piece; false if nothing could be sent. */
bool
send_piece(Client &c, const Sends &s)
{
    const char *from = s.head.data() + c.sent;
    size_t n = s.head.size() - std::min(c.sent, s.head.size());

    if (n == 0) {
        size_t body = c.sent - s.head.size();
        size_t at = s.unit.empty() ? 0 : body % s.unit.size();

        from = s.unit.data() + at;
        n = std::min({s.unit.size() - at, s.size - body, s.piece});
    }
    if (!c.open || n == 0) {
        return false;
    }
    ssize_t done = send(c.fd, from, n, MSG_DONTWAIT | MSG_NOSIGNAL);
    c.open = done > 0 || errno == EAGAIN || errno == EINPROGRESS ||
             errno == ENOTCONN;
    c.sent += done > 0 ? (size_t)done : 0;
    return done > 0;
}

struct Crowd {
    std::vector<Client> clients;

    Crowd(uint16_t port, size_t n)
    {
        sockaddr_in sa = loopback(port);

        for (size_t i = 0; i < n; i++) {
            int fd =
                socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

            EXPECT_GE(fd, 0);
            EXPECT_TRUE(connect(fd, (sockaddr *)&sa, sizeof(sa)) == 0 ||
                        errno == EINPROGRESS);
            clients.push_back({fd});
        }
    }
    ~Crowd()
    {
        for (const Client &c : clients) {
            close(c.fd);
        }
    }
    /* Each client sends one write at a time, in turn, until nothing more can
     * be sent; calls observe() between the turns. */
    void
    send_all(const Sends &s, const std::function<void()> &observe)
    {
        const int idle_max = 100; /* turns in which nothing was sent */

        for (int idle = 0; idle < idle_max; idle++) {
            size_t n = 0;

            for (Client &c : clients) {
                for (int i = 0; i < 64 && send_piece(c, s); i++) {
                    n++;
                }
            }
            observe();
            if (n > 0) {
                idle = 0;
            }
            else {
                usleep(10000);
            }
        }
    }
};

/* --- the process --- */

size_t
status_kb(pid_t pid, const char *field)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/status");
    std::string line;

    while (std::getline(in, line)) {
        if (line.compare(0, strlen(field), field) == 0) {
            return strtoul(&line[strlen(field)], nullptr, 10);
        }
    }
    return 0;
}

size_t
descriptors(pid_t pid)
{
    std::string path = "/proc/" + std::to_string(pid) + "/fd";
    DIR *d = opendir(path.c_str());
    size_t n = 0;

    while (d != nullptr && readdir(d) != nullptr) {
        n++;
    }
    if (d != nullptr) {
        closedir(d);
    }
    return n;
}

/* Bytes that the ports' connections have received and the process has not
 * read. */
template <size_t N>
size_t
unread_bytes(const uint16_t (&ports)[N])
{
    std::ifstream in("/proc/net/tcp");
    std::string line;
    size_t sum = 0;

    while (std::getline(in, line)) {
        unsigned local;
        unsigned state;
        unsigned long rx;

        if (sscanf(line.c_str(), " %*d: %*8x:%4x %*8x:%*4x %2x %*8x:%8lx",
                &local, &state, &rx) == 3 &&
            state != 0x0a /* listening */ &&
            std::find(ports, ports + N, local) != ports + N) {
            sum += rx;
        }
    }
    return sum;
}

/* --- the tests --- */

class Process : public testing::Test {
  protected:
    process::Daemon daemon;
    uint16_t ports[API + 1];
    size_t peak_kb = 0; /* memory, with what is received and not read */
    size_t peak_descriptors = 0;

    Process()
    {
        for (uint16_t &port : ports) {
            port = free_port();
        }
    }
    std::string
    endpoint(const char *key, Port port) const
    {
        return std::string(key) +
               " = \"127.0.0.1:" + std::to_string(ports[port]) + "\"\n";
    }
    std::string
    settings(Role role) const
    {
        std::string s = std::string("[process]\nrole = \"") +
                        (role == AGENT ? "agent" : "entry") +
                        "\"\nname = \"p1\"\ndomain = \"d1\"\n"
                        "address = \"127.0.0.1\"\nport = " +
                        std::to_string(ports[LINK]) + "\n";
        std::string store =
            "\"http://127.0.0.1:" + std::to_string(free_port()) + "\"\n";

        if (role == STANDALONE) {
            return s + "http_port = " + std::to_string(ports[API]) +
                   "\n[callers]\nconnections = 200\n[store]\nurl = " + store;
        }
        s += "[platform]\nstore = " + store + endpoint("metrics", METRICS);
        return role == ENTRY ? s + endpoint("callers", CALLERS) +
                                   endpoint("readiness", READINESS)
                             : s + endpoint("announce", ANNOUNCE) +
                                   "worker = \"127.0.0.1:" +
                                   std::to_string(free_port()) +
                                   "\"\nservice = \"s1\"\n";
    }
    void
    observe()
    {
        peak_kb = std::max(peak_kb,
            status_kb(daemon.pid, "VmRSS:") + unread_bytes(ports) / KB);
        peak_descriptors = std::max(peak_descriptors, descriptors(daemon.pid));
    }
    void
    start(Role role)
    {
        static const Port last_port[] = {
            [ENTRY] = READINESS, [AGENT] = ANNOUNCE, [STANDALONE] = API};

        daemon.start(settings(role), ports[last_port[role]]);
    }
    void
    expect_within_machine(Role role)
    {
        static const size_t memory_mb[] = {[ENTRY] = ENTRY_MB,
            [AGENT] = AGENT_MB,
            [STANDALONE] = STANDALONE_MB};

        EXPECT_LT(status_kb(daemon.pid, "VmHWM:") / KB, memory_mb[role]);
        EXPECT_LT(peak_kb / KB, memory_mb[role]);
        EXPECT_LT(peak_descriptors, DESCRIPTORS);
        printf(
            "peak: %zu MB, %zu descriptors\n", peak_kb / KB, peak_descriptors);
    }
    std::string
    ordinary_request(Port port) const
    {
        static const uint32_t hello[] = {0x80000000U | 40, 1, 0, 2,
            LINK_PROGRAM, LINK_VERSION, DW_HELLO, 0, 0, 0, 0};
        std::string s;

        switch (port) {
        case CALLERS:
            return with_length(2) + "{}";
        case ANNOUNCE:
            return "POST /dunlinweir/Instances.Heartbeat/w1 HTTP/1.1\r\n"
                   "Host: x\r\nContent-Length: 2\r\n\r\n{}";
        case LINK:
            for (uint32_t word : hello) {
                word = htonl(word);
                s.append((const char *)&word, sizeof(word));
            }
            return s;
        case API:
            return "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
        default:
            return "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
        }
    }
    /* Sends a request again, as callers do, if its connection breaks. */
    bool
    is_answered(Port port) const
    {
        std::string text = ordinary_request(port);
        const int attempts = 3;

        for (int i = 0; i < attempts; i++) {
            int fd = process::connect_to(ports[port]);
            pollfd p = {fd, POLLIN, 0};
            char reply[9] = "";

            if (fd >= 0) {
                send(fd, text.data(), text.size(), MSG_NOSIGNAL);
                if (poll(&p, 1, 5000) > 0 &&
                    recv(fd, reply, sizeof(reply), MSG_WAITALL) < 9) {
                    reply[0] = '\0';
                }
                close(fd);
            }
            if (port == LINK ? reply[0] != '\0'
                             : memcmp(reply, "HTTP/1.1 ", 9) == 0) {
                return true;
            }
        }
        return false;
    }
};

class Crowds : public Process, public testing::WithParamInterface<Case> {};

} // namespace

/* Guards against processes that are ended for their memory or their
 * descriptors, or answer nobody, as clients send requests that are too large,
 * incomplete or nothing at all. */
TEST_P(Crowds, OthersAreAnsweredAndTheProcessStaysWithinItsMachine)
{
    const Case &c = GetParam();

    start(c.role);
    ASSERT_TRUE(is_answered(c.port));
    {
        Crowd crowd(ports[c.port], c.clients);

        crowd.send_all(c.sends, [this] { observe(); });
        EXPECT_TRUE(is_answered(c.port)) << "beside the crowd";
        observe();
        ASSERT_TRUE(daemon.lives());
    }
    expect_within_machine(c.role);
    EXPECT_TRUE(is_answered(c.port)) << "after the crowd";
    ASSERT_TRUE(daemon.lives());
}

INSTANTIATE_TEST_SUITE_P(, Crowds, testing::ValuesIn(cases),
    [](const testing::TestParamInfo<Case> &i) {
        return std::string(i.param.name);
    });

/* Guards against limits that hold for each way and each port alone, but not
 * for all of them at once. */
TEST_F(Process, MixedCrowdsAtAllPortsLeaveItWithinItsMachine)
{
    const size_t part = 4; /* of each crowd */
    const Port ordinary[] = {CALLERS, READINESS, METRICS, LINK};

    start(ENTRY);
    {
        std::vector<std::unique_ptr<Crowd>> crowds;
        std::vector<const Sends *> sends;

        for (const Case &c : cases) {
            if (c.role == ENTRY) {
                crowds.emplace_back(
                    new Crowd(ports[c.port], c.clients / part));
                sends.push_back(&c.sends);
            }
        }
        for (size_t i = 0; i < crowds.size(); i++) {
            crowds[i]->send_all(*sends[i], [this] { observe(); });
        }
        for (Port port : ordinary) {
            EXPECT_TRUE(is_answered(port)) << "beside, port " << port;
        }
        observe();
        ASSERT_TRUE(daemon.lives());
    }
    expect_within_machine(ENTRY);
    for (Port port : ordinary) {
        EXPECT_TRUE(is_answered(port)) << "afterwards, port " << port;
    }
    ASSERT_TRUE(daemon.lives());
}

/* Guards against limits that a single request inside the platform's meets. */
TEST_F(Process, ARequestOfTheLargestSizeIsServedInCalm)
{
    std::string text = with_length(BODY_MAX) + std::string(BODY_MAX, ' ');

    start(ENTRY);
    int fd = process::connect_to(ports[CALLERS]);
    EXPECT_EQ(send(fd, text.data(), text.size(), MSG_NOSIGNAL),
        (ssize_t)text.size());
    /* There is no store, so what is read whole is refused for that. */
    EXPECT_NE(process::read_until(fd, "}").find("no_configuration"),
        std::string::npos);
    close(fd);
}
