/*
 * view - a process's copy of the store's state
 *
 * One revision stream holds members, contracts, failure domains and the
 * partition map.  A view only ever moves to a higher revision, so an older
 * answer, late or from a peer that lags, changes nothing.
 *
 * Keys, below "/dunlinweir/":
 *   last            text of no meaning; every transaction writes it, so its
 *                   modification revision is the stream's newest
 *   member/ID       one process: where it listens, its failure domain
 *   contract/NAME   see contract.h
 *   domain/NAME     {"in":true}
 *   map             the partition map
 */
#ifndef VIEW_H
#define VIEW_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "contract.h"
#include "proto.h"
#include "str.h"

#ifdef __cplusplus
extern "C" {
#endif

#define VIEW_PREFIX "/dunlinweir/"
#define VIEW_LAST VIEW_PREFIX "last"
#define VIEW_MAP VIEW_PREFIX "map"
#define VIEW_MEMBER VIEW_PREFIX "member/"
#define VIEW_CONTRACT VIEW_PREFIX "contract/"
#define VIEW_DOMAIN VIEW_PREFIX "domain/"
/* Outside the prefix, so that reading the state does not read its past. */
#define VIEW_AUDIT "/dunlinweir-audit/"

/* Partitions of the submission keys; fixed when the map is created. */
#define VIEW_PARTS 1024
/* Deletions remembered, so that peers can be sent changes only. */
#define VIEW_DELETIONS_MAX 256
/* Losses of agents that a map tells of. */
#define VIEW_LOSSES_MAX 64

enum view_role { VIEW_ENTRY, VIEW_AGENT };

struct view_kv {
    char *key;
    char *value;
    uint64_t mod;
    UT_hash_handle hh;
};

struct view_member {
    uint64_t id;
    enum view_role role;
    bool leaving;
    char name[CT_NAME_MAX];
    char addr[48];
    uint16_t port;
    uint16_t http;
    char domain[CT_NAME_MAX];
    char rack[CT_NAME_MAX];
    uint32_t slots;
    uint64_t name_hash;
    uint64_t mod;
    UT_hash_handle hh;
};

struct view_contract {
    struct contract c;
    uint64_t mod;
    UT_hash_handle hh;
};

struct view_domain {
    char name[CT_NAME_MAX];
    bool in_service;
    uint64_t mod;
    UT_hash_handle hh;
};

/* nonce is that of the hand-over by which the owner got the partition, or 0
 * when it was taken over from an owner that could not hand over. */
struct view_part {
    uint64_t owner;
    uint64_t epoch;
    uint32_t nonce;
};

struct view_deletion {
    char *key;
    uint64_t rev;
};

/* An agent that went away within W: its start records are lost.  The age is
 * as of the writing of the map. */
struct view_loss {
    uint64_t id;
    uint32_t age_ms;
};

struct view {
    uint64_t rev;
    struct view_kv *kvs;
    struct view_member *members;
    struct view_contract *contracts;
    struct view_domain *domains;
    bool have_map;
    uint64_t map_mod;
    uint64_t map_epoch;
    struct view_part parts[VIEW_PARTS];
    struct view_loss losses[VIEW_LOSSES_MAX];
    size_t loss_count;
    struct view_deletion deletions[VIEW_DELETIONS_MAX];
    size_t deletion_count;
    uint64_t deletion_floor;
};

void view_init(struct view *v);
void view_free(struct view *v);

/*
 * Adopt a message's changes if its revision is above ours.  A whole state
 * replaces everything; changes must start at or below our revision, which
 * the asker sees to by asking with it.  Returns true if the view moved.
 */
bool view_apply(struct view *v, const dw_state *s);
/* Fill s with what changed after revision `since`, or with everything. */
void view_changes(const struct view *v, uint64_t since, dw_state *s);

/* Queries; NULL where there is none. */
const struct view_member *view_member(const struct view *v, uint64_t id);
const struct view_contract *view_contract(
    const struct view *v, struct str name);
const struct view_kv *view_kv(const struct view *v, const char *key);
/* A failure domain that nobody wrote about is in service. */
bool view_domain_in_service(const struct view *v, const char *name);
/* All failure domains known, in service or not. */
size_t view_list_domains(
    const struct view *v, const char *names[], size_t max);
uint32_t view_partition(struct str customer, struct str key);

/* JSON of a member or a map, as the store keeps it. */
void view_format_member(const struct view_member *m, struct buf *out);
void view_format_map(const struct view_part *parts, uint64_t epoch,
    const struct view_loss *losses, size_t loss_count, struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
