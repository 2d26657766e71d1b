/*
 * ports - free TCP and UDP ports for tests
 *
 * The ports are not fixed, as several test programs may run on one machine at
 * a time.
 */
#ifndef PORTS_HH
#define PORTS_HH

#include <arpa/inet.h>
#include <cstdint>
#include <map>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

inline sockaddr_in
loopback(uint16_t port)
{
    sockaddr_in sa = {};

    sa.sin_family = AF_INET;
    sa.sin_port = htons(port);
    sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return sa;
}

/* A TCP port on loopback that was free when the call was made. */
inline uint16_t
free_port()
{
    sockaddr_in sa = loopback(0);
    socklen_t n = sizeof(sa);
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    bind(fd, (sockaddr *)&sa, sizeof(sa));
    getsockname(fd, (sockaddr *)&sa, &n);
    close(fd);
    return ntohs(sa.sin_port);
}

/* A free port; the same one for each call with the same number. */
inline uint16_t
port_of(int number)
{
    static std::map<int, uint16_t> ports;

    if (ports.count(number) == 0) {
        ports[number] = free_port();
    }
    return ports[number];
}

#endif
