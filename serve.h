/*
 * serve - process runtime shared by both roles on the users' platform
 *
 * Runs one event loop on one thread: the link, the client of the platform's
 * store, this process's registration in the store, signals, and the table of
 * peers.  The role (entry or agent) makes the decisions.
 */
#ifndef SERVE_H
#define SERVE_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "conf.h"
#include "httpc.h"
#include "leave.h"
#include "link.h"
#include "platform/kv.h"
#include "web.h"
#include "weblog.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Prefix of the project's keys in the platform's store. */
#define SV_KEY_PREFIX "dunlinweir/"
/* Prefix of the operators' keys for withdrawn failure domains. */
#define SV_EVACUATE_PREFIX "op/evacuate/"
#define SV_NAME_MAX 64 /* bytes, including the terminating NUL */

/* Another process, as registered in the store or as reported by itself. */
struct sv_peer {
    uint64_t id;
    char name[SV_NAME_MAX];
    char domain[SV_NAME_MAX];
    char service[SV_NAME_MAX];
    char addr[SV_NAME_MAX];
    uint16_t port;
    bool is_agent;
    bool registered;    /* in the store */
    uint64_t absent_ms; /* when its registration vanished */
    UT_hash_handle hh;
};

struct serve;

/* Callbacks of a role.  Times are monotonic, in ms (see proc_now()). */
struct sv_role {
    const char *name;
    /* 0, or -1 with e set. */
    int (*open)(struct serve *s, struct err *e);
    void (*close)(struct serve *s);
    /* Called every 20 ms. */
    void (*tick)(struct serve *s, uint64_t now);
    /* Called at the end of each pass of the loop. */
    void (*flush)(struct serve *s, uint64_t now);
    /* A message from a peer. */
    void (*message)(
        struct serve *s, uint64_t now, uint64_t from, const dw_msg *m);
    /* The peer's port refused a connection: its process is down. */
    void (*refused)(struct serve *s, uint64_t now, uint64_t id);
    /* A planned stop starts. */
    void (*leave)(struct serve *s, uint64_t now);
    /* The time of the planned stop is over: answers all that still waits. */
    void (*give_up)(struct serve *s, uint64_t now);
    /* True if the process can exit without cutting off any work. */
    bool (*done)(struct serve *s, uint64_t now);
    /* The loop resumed after a pause of paused_ms. */
    void (*resumed)(struct serve *s, uint64_t now, uint64_t paused_ms);
    /* Append counters and gauges as text. */
    void (*metrics)(struct serve *s, struct buf *b);
};

/* A counter or gauge, served at the metrics address. */
struct sv_metric {
    const char *name;
    uint64_t value;
};

struct serve {
    struct ev_loop *loop;
    struct conf *conf;
    const char *conf_path;
    const struct sv_role *role;
    void *state;   /* of the role */
    uint64_t id;   /* of this process, new at each start */
    uint64_t seed; /* of random choices */
    struct link *link;
    struct httpc *http; /* client connections to the store */
    struct kv *kv;
    struct web *metrics_web;
    struct wl_log metrics_log;
    struct sv_peer *peers;
    uint64_t started_ms;
    uint64_t last_pass_ms; /* start of the last pass of the loop */
    uint64_t pauses;       /* longer than PAUSE_MS */
    struct lv_stop stop;   /* planned */
    /* This process's registration in the store. */
    uint64_t lease;   /* 0: none */
    bool registering; /* a write is under way */
    bool registered;
    uint64_t renewed_ms;  /* when the last renewal or attempt began */
    uint64_t verified_ms; /* when the registration was read back last */
    uint64_t conf_checked_ms;
    uint64_t conf_mtime_ns; /* of the settings file, as last seen */
    ev_timer tick;
    ev_prepare prepare;
    ev_check check;
    ev_signal term;
    ev_signal intr;
    ev_signal hup;
};

/* Run until SIGTERM or SIGINT and the planned stop; returns the exit code. */
int sv_run(struct conf *c, const char *path, const struct sv_role *role);

/* Append one line "name value" for each metric. */
void sv_add_metrics(struct buf *b, const struct sv_metric *rows, size_t n);
/* Append a line for each counter of a server; port is its port's name. */
void sv_add_web_metrics(struct buf *b, const char *port, const struct web *w);
/* The peer of this id; if there is none, it is added (add), or NULL. */
struct sv_peer *sv_peer(struct serve *s, uint64_t id, bool add);
/* Set where the peer listens, as it said itself. */
void sv_set_address(struct sv_peer *p, const dw_bytes *address, uint32_t port);
/* Decode a registration; false if it is malformed or not a registration. */
bool sv_read_peer(struct sv_peer *out, const char *key, struct str value);

extern const struct sv_role sv_entry;
extern const struct sv_role sv_agent;

#ifdef __cplusplus
}
#endif

#endif
