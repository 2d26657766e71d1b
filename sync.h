/*
 * sync - spreading of the store's state, and how fresh this copy is
 *
 * A few readers in each failure domain read the store; everybody else asks
 * a reader of its own failure domain.  A copy is confirmed as of an instant
 * when the store, asked after it, had nothing newer.  Ages travel as
 * durations, added up on the way, so no two clocks are ever compared.
 *
 * While readers in a majority of all failure domains report the store
 * unreachable and hold nothing newer than we do, nobody can have had a
 * change accepted (see sync_majority_rev()), so hearing them confirms the
 * copy too.
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

struct sync_cfg {
    uint32_t pull_ms;    /* between questions to a reader */
    uint32_t read_ms;    /* between a reader's cheap reads of the store */
    uint32_t fresh_ms;   /* T: the greatest age at which work may start */
    uint32_t per_reader; /* members a reader serves */
};

/* A process that asked us, and what it holds. */
struct sync_puller {
    uint64_t id;
    uint64_t rev;
    uint64_t heard_ms;
    UT_hash_handle hh;
};

/* The reader last heard in a failure domain. */
struct sync_domain {
    char domain[CT_NAME_MAX];
    uint64_t pull_sent_ms; /* our clock when the answered question left */
    uint64_t rev;
    bool store_down;
};

struct sync {
    struct sync_cfg cfg;
    uint64_t self;
    char domain[CT_NAME_MAX];
    struct view *view;
    struct mbr *mbr;
    bool ever_confirmed;
    uint64_t confirmed_ms;
    bool store_down;       /* our last read of the store failed */
    bool read_pending;     /* a read is out */
    bool read_again;       /* a change was told of meanwhile */
    uint64_t last_read_ms; /* when the last read left */
    uint64_t last_pull_ms;
    uint64_t last_domain_pull_ms;
    uint64_t last_answer_ms;
    uint32_t pull_rotation;
    uint64_t majority_rev; /* as our reader told */
    bool is_reader;        /* cached; see sync_is_reader() */
    uint64_t reader_view_rev;
    uint64_t reader_state_version;
    struct sync_puller *pullers;
    struct sync_domain domains[SYNC_DOMAINS_MAX];
    size_t domain_count;
};

void sync_init(struct sync *s, const struct sync_cfg *cfg, uint64_t self,
    struct str domain, struct view *view, struct mbr *mbr);
void sync_free(struct sync *s);

void sync_tick(struct sync *s, uint64_t now, struct acts *out);
/* Handlers; true if the view moved. */
bool sync_handle_pull(struct sync *s, uint64_t now, uint64_t from,
    const dw_pull *pull, struct acts *out);
bool sync_handle_state(
    struct sync *s, uint64_t now, uint64_t from, const dw_state *state);
/* The store's revision was `rev` at some time after asked_ms. */
void sync_store_checked(
    struct sync *s, uint64_t asked_ms, uint64_t rev, struct acts *out);
/* The store's whole content, read after asked_ms. */
bool sync_store_read(struct sync *s, uint64_t now, uint64_t asked_ms,
    const dw_state *all, struct acts *out);
void sync_store_failed(struct sync *s);
/* Ask the store again at once, as something has changed there. */
void sync_read_now(struct sync *s, uint64_t now, struct acts *out);
/* Send what is new to those who asked us lately. */
void sync_push(struct sync *s, uint64_t now, struct acts *out);
/* Ask one process for its revision; it shows in sync_peer_rev(). */
void sync_request_rev(
    struct sync *s, uint64_t now, uint64_t id, struct acts *out);

/* Queries. */
bool sync_fresh(const struct sync *s, uint64_t now);
/* Age of the copy in ms; UINT32_MAX if it was never confirmed. */
uint32_t sync_age(const struct sync *s, uint64_t now);
bool sync_is_reader(struct sync *s);
/* The highest revision that readers in a majority of domains hold. */
uint64_t sync_majority_rev(struct sync *s);
uint64_t sync_peer_rev(const struct sync *s, uint64_t id);

#ifdef __cplusplus
}
#endif

#endif
