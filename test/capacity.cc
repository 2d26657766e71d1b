/*
 * capacity - cost of the control traffic as the fleet grows
 *
 * usage: capacity [NODES ...]
 *
 * Simulates fleets of NODES idle nodes in one process, in eight failure
 * domains, and prints for each size, per node: messages and KB a second
 * (encoded, with all headers), the KB a second of the node that sends most,
 * processor time and memory, and the store reads a second of the whole fleet.
 * Then the time and the traffic until a configuration change is in force
 * everywhere.
 */
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <unistd.h>

#include "fleet.hh"

static double
cpu_ms()
{
    timespec ts;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
    return ts.tv_sec * 1e3 + ts.tv_nsec / 1e6;
}

static double
resident_mb()
{
    FILE *f = fopen("/proc/self/statm", "re");
    long size = 0;
    long resident = 0;

    if (f != nullptr) {
        if (fscanf(f, "%ld %ld", &size, &resident) != 2) {
            resident = 0;
        }
        fclose(f);
    }
    return resident * (double)sysconf(_SC_PAGESIZE) / 1e6;
}

static void
measure(size_t nodes)
{
    double memory = resident_mb();
    Fleet f(1, 8, nodes - 8, 8);
    uint64_t bytes = 0;
    std::map<Proc *, uint64_t> bytes_by_proc;
    uint64_t bytes_max = 0;
    const double seconds = 10;

    if (!f.settle(60000)) {
        printf("%zu nodes: membership did not settle\n", nodes);
        return;
    }
    f.run(15000);
    memory = (resident_mb() - memory) / nodes;
    f.on_message = [&bytes, &bytes_by_proc](
                       Proc &from, Proc *, const dw_msg *m) {
        /* 72 bytes of RPC header and envelope, 28 of UDP and IP headers. */
        uint64_t n = msg_size(m) + 72 + 28;

        bytes += n;
        bytes_by_proc[&from] += n;
    };
    double cpu = cpu_ms();
    uint64_t messages = f.messages;
    uint64_t reads = f.store.reads;

    f.run((uint64_t)(seconds * 1000));
    cpu = (cpu_ms() - cpu) / seconds / nodes;
    for (auto &item : bytes_by_proc) {
        bytes_max = std::max(bytes_max, item.second);
    }
    printf("| %zu | %.1f | %.2f | %.2f | %.3f %% | %.2f | %.1f |\n", nodes,
        (f.messages - messages) / seconds / nodes,
        bytes / seconds / nodes / 1e3, bytes_max / seconds / 1e3, cpu / 10,
        memory, (f.store.reads - reads) / seconds);
    fflush(stdout);

    /* One configuration change: a new contract. */
    uint64_t change_start = f.now;
    uint64_t bytes_before = bytes;

    f.contract("new");
    uint64_t rev = f.store.rev;
    bool in_force = f.run_until(
        [&f, rev] {
            for (auto &p : f.procs) {
                if (p->n.view.rev < rev) {
                    return false;
                }
            }
            return true;
        },
        20000);
    printf("|   change | in force everywhere after %llu ms%s, %.1f KB a node "
           "in that time | | | | | |\n",
        (unsigned long long)(f.now - change_start), in_force ? "" : " (not)",
        (bytes - bytes_before) / 1e3 / nodes);
    fflush(stdout);
}

int
main(int argc, char **argv)
{
    static const size_t sizes[] = {25, 50, 100, 200, 400};

    printf("| nodes | messages/s | KB/s sent | most KB/s | core | MB | store "
           "reads/s |\n|---|---|---|---|---|---|---|\n");
    if (argc > 1) {
        for (int i = 1; i < argc; i++) {
            measure(strtoul(argv[i], nullptr, 10));
        }
        return 0;
    }
    for (size_t n : sizes) {
        measure(n);
    }
    return 0;
}
