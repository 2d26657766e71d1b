/*
 * serve - what both roles share on the users' platform
 *
 * One loop on one thread: the link, the client of the platform's store, this
 * process's entry there, signals, and the table of peers.  The role decides.
 */
#ifndef SERVE_H
#define SERVE_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "conf.h"
#include "httpc.h"
#include "link.h"
#include "platform/kv.h"
#include "web.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SV_PREFIX "dunlinweir/"
#define SV_NAME_MAX 64

/* Another process, as entered in the store or told by itself. */
struct sv_peer {
    uint64_t id;
    char name[SV_NAME_MAX];
    char domain[SV_NAME_MAX];
    char service[SV_NAME_MAX];
    char addr[SV_NAME_MAX];
    uint16_t port;
    bool is_agent;
    bool entered; /* stands in the store */
    UT_hash_handle hh;
};

struct serve;

struct sv_role {
    const char *name;
    int (*open)(struct serve *s, struct err *e);
    void (*close)(struct serve *s);
    /* Each 20 ms, and whenever a pass of the loop is over. */
    void (*tick)(struct serve *s, uint64_t now);
    void (*flush)(struct serve *s, uint64_t now);
    void (*message)(
        struct serve *s, uint64_t now, uint64_t from, const dw_msg *m);
    void (*refused)(struct serve *s, uint64_t now, uint64_t id);
    void (*leave)(struct serve *s, uint64_t now);
    /* Nothing is left that would be cut off. */
    bool (*done)(struct serve *s, uint64_t now);
    /* The machine stood still for so long. */
    void (*woke)(struct serve *s, uint64_t now, uint64_t slept_ms);
    /* Counters and gauges as text. */
    void (*metrics)(struct serve *s, struct buf *b);
};

/* A counter or gauge of the metrics address. */
struct sv_row {
    const char *name;
    uint64_t value;
};

struct serve {
    struct ev_loop *loop;
    struct conf *conf;
    const char *conf_path;
    const struct sv_role *role;
    void *state;
    uint64_t id;
    uint64_t seed;
    struct link *link;
    struct httpc *http; /* the store */
    struct kv *kv;
    struct web *metrics_web;
    struct sv_peer *peers;
    uint64_t started_ms;
    uint64_t woke_ms; /* of the pass before */
    uint64_t pauses;
    bool leaving;
    uint64_t leave_ms;
    /* Our entry in the store. */
    uint64_t lease;
    bool entering;
    bool entered;
    uint64_t keep_ms;
    uint64_t check_ms;
    uint64_t conf_look_ms;
    uint64_t conf_seen; /* when the settings file was written, as read last */
    ev_timer tick;
    ev_prepare prepare;
    ev_check check;
    ev_signal term;
    ev_signal intr;
    ev_signal hup;
};

/* Run until told to leave; the exit code. */
int sv_run(struct conf *c, const char *path, const struct sv_role *role);

void sv_add_rows(struct buf *b, const struct sv_row *rows, size_t n);
struct sv_peer *sv_peer(struct serve *s, uint64_t id, bool add);
/* Decode an entry of the store; false if it is none of ours. */
bool sv_read_peer(struct sv_peer *out, const char *key, struct str value);

extern const struct sv_role sv_entry;
extern const struct sv_role sv_agent;

#ifdef __cplusplus
}
#endif

#endif
