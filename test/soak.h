/*
 * soak - the real daemons under faults from outside, on our own stand-ins
 *
 * One process plays the platform's store, the workers and the callers, and
 * starts, signals and restarts dunlinweird processes.  Connections from
 * entries to agents, and from each process to the store, pass through proxies
 * that reset, delay or silence them.  It checks the promises from what callers
 * and workers see.
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

#define SOAK_AGENTS_MAX 64
#define SOAK_ENTRIES_MAX 8
#define SOAK_TASKS_MAX 8

struct soak;

/* --- random numbers from one seed --- */

uint64_t soak_random(struct soak *s, uint64_t below);

/* --- the platform's store; soak-store.c --- */

enum store_mode { STORE_SERVES, STORE_REFUSES, STORE_SILENT };

struct fake_store;

struct fake_store *fs_new(
    struct ev_loop *loop, uint16_t port, int32_t proxy_offset);
void fs_free(struct fake_store *f);
void fs_mode(struct fake_store *f, enum store_mode mode);
/* What operators write. */
void fs_put(struct fake_store *f, const char *key, const char *value);
void fs_remove(struct fake_store *f, const char *key);
void fs_tick(struct fake_store *f, uint64_t now);

/* --- workers; soak-worker.c --- */

struct fake_worker;

/* What checks need to know of a start or an end. */
typedef void (*fw_start_fn)(
    void *ctx, struct fake_worker *w, uint64_t job, uint32_t index);
typedef void (*fw_end_fn)(
    void *ctx, struct fake_worker *w, uint64_t job, uint32_t index, bool done);
/* How long a task runs in ms. */
typedef uint32_t (*fw_time_fn)(void *ctx, uint64_t job, uint32_t index);
typedef void (*fw_broken_fn)(void *ctx, const char *what);

struct fw_events {
    fw_start_fn start;
    fw_end_fn end;
    fw_time_fn time;
    fw_broken_fn broken;
};

struct fake_worker *fw_new(struct soak *s, struct ev_loop *loop, uint16_t port,
    const struct fw_events *events, void *ctx);
void fw_free(struct fake_worker *w);
void fw_tick(struct fake_worker *w, uint64_t now);
void fw_crash(struct fake_worker *w, uint64_t now, uint32_t for_ms);
/* Of 1000 orders: answers lost, and carried out seconds late. */
void fw_lossy(struct fake_worker *w, uint32_t mute, uint32_t late);
void fw_slow(struct fake_worker *w, uint32_t times);
bool fw_runs(const struct fake_worker *w, uint64_t job, uint32_t index);
/* An announcement of itself. */
void fw_announce(struct fake_worker *w, struct buf *out);

/* --- the proxy; soak-proxy.c --- */

enum proxy_mode { PROXY_PASS, PROXY_SILENT, PROXY_ONE_WAY, PROXY_SLOW };

struct proxy;

struct proxy *px_new(struct ev_loop *loop, uint16_t from, uint16_t to);
void px_free(struct proxy *p);
/* Open connections keep their mode when it goes back to PROXY_PASS from
 * PROXY_SILENT: they stay silent for good, new ones work. */
void px_mode(struct proxy *p, enum proxy_mode mode);
void px_reset(struct proxy *p);

#endif
