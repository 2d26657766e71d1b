/*
 * relay - requests that another entry begins in place of this one
 *
 * Reading a request and passing it on costs an entry a fourth of what
 * coordinating its job does.  So one that is behind gives requests that it has
 * not begun to entries that have time, and passes their answers back.  A
 * request has one place at any time: once it was sent, only the taker may
 * begin it, and nobody but the taker can say that it has not run.
 *
 * Giver and taker keep a session (sess.h).  A taker that does not hear its
 * giver within the lease ends the giver's jobs, as their callers may have lost
 * their connections and send again; a giver that does not hear its taker
 * answers that the job was given up.  The lease, and what an entry's runs
 * live on after it, are shorter than callers wait before they send again.
 */
#ifndef RELAY_H
#define RELAY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

#include "coord.h"
#include "proto.h"
#include "sess.h"
#include "str.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Takers that a giver keeps sessions with. */
#define RL_TAKERS 4U
/* ms without need after which a giver closes its sessions. */
#define RL_KEEP_MS 3000U
/* ms between a giver's messages: it may read late, and the taker must hear of
 * it within the lease. */
#define RL_BEAT_MS 50U
/* ms that a taker may be unwilling or silent before another is tried, and
 * after which it may be tried again. */
#define RL_USELESS_MS 1000U
#define RL_AVOID_MS 5000U

struct rl_given;

/* Another entry, to which requests may be given. */
struct rl_taker {
    uint64_t id;
    struct sess sess;
    bool chosen;
    bool live;
    bool willing;
    uint32_t busy_permille;
    uint64_t version; /* of its configuration */
    uint64_t opened_ms;
    uint64_t useful_ms; /* when it was chosen, or willing last */
    uint64_t avoid_until_ms;
    uint64_t given_since; /* requests since it told how busy it is */
    struct rl_given *given;
    dw_msg *batch;
    UT_hash_handle hh;
};

/* A request that another entry gave. */
struct rl_taken {
    uint64_t ref;
    struct rl_giver *giver;
    char *host;
    char *path;
    struct buf body;
    uint32_t left_ms;
    void *data; /* the holder's own */
    struct rl_taken *prev;
    struct rl_taken *next;
};

/* Another entry, which gives requests. */
struct rl_giver {
    uint64_t id;
    struct sess sess;
    uint64_t newest; /* session number; an ended one is not begun again */
    bool open;
    uint64_t begun_ms;
    uint64_t ended_ms;
    struct rl_taken *taken;
    dw_msg *batch;
    UT_hash_handle hh;
};

struct rl_ops {
    void (*send)(void *ctx, uint64_t to, const dw_msg *m);
    /* Begin it; it ends with rl_reply() or leave(). */
    void (*begin)(void *ctx, struct rl_taken *t);
    /* Nobody waits for it any more; it must not be used after. */
    void (*leave)(void *ctx, struct rl_taken *t);
    /* The answer to a request that was given away. */
    void (*answer)(void *ctx, void *handle, enum co_outcome how,
        const char *reason, uint32_t retry_ms);
    void (*note)(void *ctx, uint64_t entry, const char *what, uint64_t ms);
};

/* What this entry tells its givers. */
struct rl_state {
    bool willing;
    uint32_t busy_permille;
    uint64_t version;
};

struct relay {
    const struct rl_ops *ops;
    void *ctx;
    uint64_t self;
    uint64_t next_ref;
    uint64_t needed_ms; /* when takers were needed last; 0: never */
    struct rl_state state;
    struct rl_taker *takers;
    struct rl_giver *givers;
};

void rl_init(
    struct relay *r, const struct rl_ops *ops, void *ctx, uint64_t self);
void rl_free(struct relay *r);
/* An entry is there, or gone from the list of entries. */
void rl_entry_in(struct relay *r, uint64_t id);
void rl_entry_out(struct relay *r, uint64_t id);
/* Takers are, or may soon be, needed. */
void rl_need(struct relay *r, uint64_t now);
/* What is told to givers from now on. */
void rl_tell(struct relay *r, const struct rl_state *state);
/* Give a request away; false if nobody takes it. */
bool rl_give(struct relay *r, uint64_t now, void *handle, struct str host,
    struct str path, struct str body, uint32_t left_ms);
/* The handle of a request for this path that was given away, or NULL. */
void *rl_find(const struct relay *r, struct str path);
/* Its caller has left; false if it was not given away. */
bool rl_drop(struct relay *r, const void *handle);
/* The answer to a request that was taken; t must not be used after. */
void rl_reply(struct rl_taken *t, enum co_outcome how, const char *reason,
    uint32_t retry_ms);
void rl_take(struct relay *r, uint64_t now, uint64_t from, const dw_relay *m);
void rl_replies(
    struct relay *r, uint64_t now, uint64_t from, const dw_relayed *m);
/* The process is dead, as its port refuses. */
void rl_refused(struct relay *r, uint64_t now, uint64_t id);
void rl_tick(struct relay *r, uint64_t now);
/* Send what was collected. */
void rl_flush(struct relay *r, uint64_t now);

/* Queries. */
/* Every giver has been told of every end. */
bool rl_done(const struct relay *r);

#ifdef __cplusplus
}
#endif

#endif
