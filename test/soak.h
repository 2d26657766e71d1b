/*
 * soak - fault injection test of the daemons with stand-ins around them
 *
 * One process stands in for the platform's store, the workers and the callers,
 * and starts, signals and restarts dunlinweird processes.  Connections from
 * entries to agents, from agents to workers, from each process to the store
 * and, with callers_mode, from callers to entries pass through proxies that
 * reset, delay, silence or refuse them.  It checks the guarantees by what
 * callers and workers observe: no task runs twice at a time, a job answered as
 * refused was not started, a job answered as complete ran completely, and
 * every job completes once the faults are over.
 */
#ifndef SOAK_H
#define SOAK_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "httpc.h"
#include "str.h"
#include "web.h"

#define SOAK_AGENTS_MAX 256
#define SOAK_ENTRIES_MAX 32
#define SOAK_TASKS_MAX 8

struct soak;

/* --- random numbers from one seed --- */

/* A number from 0 to below - 1. */
uint64_t soak_random(struct soak *s, uint64_t below);

/* --- stand-in for the platform's store; soak-store.c --- */

enum store_mode {
    STORE_SERVES,
    STORE_REFUSES, /* replies with status 503 */
    STORE_SILENT   /* replies only when the mode changes, with 503 */
};

struct fake_store;

/* proxy_offset is the distance from an agent's port to its proxy's. */
struct fake_store *fs_new(
    struct ev_loop *loop, uint16_t port, int32_t proxy_offset);
void fs_free(struct fake_store *f);
void fs_set_mode(struct fake_store *f, enum store_mode mode);
/* Write or delete a key, as operators do. */
void fs_put(struct fake_store *f, const char *key, const char *value);
void fs_remove(struct fake_store *f, const char *key);
/* Expire leases and answer watches; `now` in ms. */
void fs_tick(struct fake_store *f, uint64_t now);

/* --- stand-in for a worker; soak-worker.c --- */

struct fake_worker;

/* A run of a task, as a worker reports it to the test. */
struct fw_run {
    uint64_t job;
    uint32_t index;  /* of the task in the job */
    uint64_t run;    /* run number; rises with each run of the task */
    bool unanswered; /* its order was carried out, maybe late, unanswered */
};

/* A run started. */
typedef void (*fw_start_fn)(
    void *ctx, struct fake_worker *w, const struct fw_run *r);
/* A run ended.  outcome is "done", "failed", "stopped", "lapsed" or, in a
 * crash, "lost". */
typedef void (*fw_end_fn)(void *ctx, struct fake_worker *w,
    const struct fw_run *r, const char *outcome);
/* Run time of a task in ms. */
typedef uint32_t (*fw_run_time_fn)(void *ctx, uint64_t job, uint32_t index);
/* True if a run that starts now is to end as failed. */
typedef bool (*fw_fails_fn)(void *ctx, uint64_t job);
/* The worker detected a violation of a guarantee. */
typedef void (*fw_violation_fn)(void *ctx, const char *what);

struct fw_events {
    fw_start_fn start;
    fw_end_fn end;
    fw_run_time_fn run_ms;
    fw_fails_fn fails;
    fw_violation_fn violation;
};

/* The HTTP server of all workers.  It finds a request's worker by its Host
 * header: one server for each worker would take a system call for each worker
 * in each loop iteration. */
struct fw_server;

struct fw_server *fw_server_new(struct ev_loop *loop, uint16_t port);

/* host is the address and port to which the agent sends requests. */
struct fake_worker *fw_new(struct soak *s, struct fw_server *server,
    const char *host, const struct fw_events *events, void *ctx);
void fw_free(struct fake_worker *w);
void fw_tick(struct fake_worker *w, uint64_t now);
/* End all runs without an outcome and start a new incarnation after for_ms. */
void fw_crash(struct fake_worker *w, uint64_t now, uint32_t for_ms);
/* Of 1000 orders, how many lose their answer, and how many are carried out
 * seconds late without an answer. */
void fw_set_loss(
    struct fake_worker *w, uint32_t lost_permille, uint32_t late_permille);
/* Carry all stops out seconds late without an answer.  Polls are answered. */
void fw_set_late_stops(struct fake_worker *w, bool on);
/* Of 1000 starts, how many are refused with 429 or 503 and not carried out. */
void fw_set_refusals(struct fake_worker *w, uint32_t permille);
/* Multiply the run time of tasks started from now on. */
void fw_set_slowdown(struct fake_worker *w, uint32_t factor);
bool fw_is_running(const struct fake_worker *w, uint64_t job, uint32_t index);
/* Report from now on that the worker drains, for at least left_ms. */
void fw_drain(struct fake_worker *w, uint32_t left_ms);
/* When the current incarnation was told to drain; 0: not. */
uint64_t fw_drain_ms(const struct fake_worker *w);
/* Format a heartbeat for the agent; nothing while the worker is down. */
void fw_announce(struct fake_worker *w, struct buf *out);
/* The id in the path of its heartbeats. */
const char *fw_id(const struct fake_worker *w);

/* --- the proxy; soak-proxy.c --- */

enum proxy_mode {
    PROXY_PASS,
    PROXY_SILENT,  /* drops all bytes */
    PROXY_ONE_WAY, /* drops bytes from the server to the client */
    PROXY_SLOW,    /* delays all bytes */
    PROXY_REFUSE   /* accepts no connections; open ones are served */
};

/* A fault on one connection. */
enum conn_fault {
    CONN_RESET,         /* at both ends */
    CONN_UNSEEN_CLOSE,  /* reset at the client's end, open at the server's */
    CONN_LATE_CLOSE,    /* the same, but closed at the server's end later */
    CONN_CUT_TO_SERVER, /* drops bytes to the server, and the client's close */
    CONN_CUT_TO_CLIENT, /* drops bytes to the client */
    /* The server receives bytes behind the request.  The connection is closed
     * after the answer. */
    CONN_PIPELINED
};

struct proxy;

/* Listens on port `from` of addr and connects to port `to` of 127.0.0.1 or, if
 * same_addr, of addr. */
struct proxy *px_new(struct ev_loop *loop, const char *addr, uint16_t from,
    uint16_t to, bool same_addr);
void px_free(struct proxy *p);
/* A connection direction that has dropped bytes drops them for good, also
 * after the mode goes back to PROXY_PASS; new connections work. */
void px_set_mode(struct proxy *p, enum proxy_mode mode);
/* Instead of forwarding every n-th piece that the server sends, close its
 * connection, by turns with a TCP reset and in order; 0: never.  The server
 * has then read and executed a request that gets no response. */
void px_set_cut(struct proxy *p, uint32_t n);
/* A fault on the open connection whose last request has `path` in its request
 * line; false if there is none.  ms is the delay of CONN_LATE_CLOSE. */
bool px_break(
    struct proxy *p, const char *path, enum conn_fault fault, uint32_t ms);
/* Close all connections with a TCP reset. */
void px_reset(struct proxy *p);

#endif
