/*
 * sync - replication of the store's state, and the age of this copy
 *
 * A few readers in each failure domain read the store; all other processes
 * pull from a reader of their own failure domain.  A copy is confirmed as of a
 * time if the store, read after that time, had nothing newer.  Ages are sent
 * as durations and added up at each hop, so clocks of different processes are
 * never compared.
 *
 * While readers in a majority of all failure domains report the store
 * unreachable and hold nothing newer than this copy, no change can have been
 * accepted (see sync_majority_rev()), so their reports confirm the copy too.
 */
#ifndef SYNC_H
#define SYNC_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "act.h"
#include "member.h"
#include "view.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SYNC_DOMAINS_MAX 64

/* Settings. */
struct sync_cfg {
    uint32_t pull_ms;  /* between pulls from a reader */
    uint32_t read_ms;  /* between a reader's checks of the store's revision */
    uint32_t fresh_ms; /* T: maximum age of the copy at which work may start */
    uint32_t per_reader; /* members that one reader serves */
};

/* A process that pulled from us. */
struct sync_puller {
    uint64_t id;
    uint64_t rev;      /* revision of its copy, as far as known */
    uint64_t heard_ms; /* its last pull */
    UT_hash_handle hh;
};

/* The last answer from a reader of another failure domain. */
struct sync_domain {
    char domain[CT_NAME_MAX];
    uint64_t pull_sent_ms; /* our clock when the answered pull was sent */
    uint64_t rev;          /* of the reader's copy */
    bool store_down;       /* its last read of the store failed */
};

struct sync {
    struct sync_cfg cfg;
    uint64_t self;            /* id of this process */
    char domain[CT_NAME_MAX]; /* its failure domain */
    struct view *view;        /* the copy */
    struct mbr *mbr;
    bool ever_confirmed;
    uint64_t confirmed_ms; /* the copy was up to date at that time */
    bool store_down;       /* our last read of the store failed */
    bool read_pending;     /* a read of the store was sent and not answered */
    bool read_again;       /* a change was reported during that read */
    uint64_t last_read_ms; /* when the last read was sent */
    uint64_t last_pull_ms;
    uint64_t last_domain_pull_ms; /* from other failure domains */
    uint64_t last_answer_ms;      /* of any reader */
    uint32_t pull_rotation;       /* selects among readers */
    uint64_t majority_rev;        /* as reported by our reader */
    bool is_reader;               /* cached; see sync_is_reader() */
    uint64_t reader_view_rev; /* view and members that is_reader holds for */
    uint64_t reader_state_version;
    struct sync_puller *pullers;
    struct sync_domain domains[SYNC_DOMAINS_MAX];
    size_t domain_count;
};

void sync_init(struct sync *s, const struct sync_cfg *cfg, uint64_t self,
    struct str domain, struct view *view, struct mbr *mbr);
void sync_free(struct sync *s);

/* Sends due pulls and reads; call periodically. */
void sync_tick(struct sync *s, uint64_t now, struct acts *out);
/* Message handlers; they return true if the view moved. */
bool sync_handle_pull(struct sync *s, uint64_t now, uint64_t from,
    const dw_pull *pull, struct acts *out);
bool sync_handle_state(
    struct sync *s, uint64_t now, uint64_t from, const dw_state *state);
/* Result of ACT_READ_CHECK: the store's revision was `rev` at some time after
 * requested_ms. */
void sync_store_checked(
    struct sync *s, uint64_t requested_ms, uint64_t rev, struct acts *out);
/* Result of ACT_READ_ALL: the store's complete content, read after
 * requested_ms. Returns true if the view moved. */
bool sync_store_read(struct sync *s, uint64_t now, uint64_t requested_ms,
    const dw_state *all, struct acts *out);
/* The store did not answer a read. */
void sync_store_failed(struct sync *s);
/* Reads the store at once, as something has changed there; readers only. */
void sync_read_now(struct sync *s, uint64_t now, struct acts *out);
/* Sends new changes to the processes that pulled from us lately. */
void sync_push(struct sync *s, uint64_t now, struct acts *out);
/* Requests a process's revision; the answer shows in sync_peer_rev(). */
void sync_request_rev(
    struct sync *s, uint64_t now, uint64_t id, struct acts *out);

/* Queries. */
/* The copy is at most T old, so work may start. */
bool sync_fresh(const struct sync *s, uint64_t now);
/* Age of the copy in ms; UINT32_MAX if it was never confirmed. */
uint32_t sync_age(const struct sync *s, uint64_t now);
/* This process reads the store for its failure domain. */
bool sync_is_reader(struct sync *s);
/* The highest revision that readers in a majority of failure domains hold; 0
 * if too few have reported. */
uint64_t sync_majority_rev(struct sync *s);
/* Highest revision known to be held by a process; 0 if it is not known. */
uint64_t sync_peer_rev(const struct sync *s, uint64_t id);

#ifdef __cplusplus
}
#endif

#endif
