/*
 * view - a process's copy of the store's state
 *
 * Members, contracts, failure domains and the partition map share one sequence
 * of revisions.  A view only moves to higher revisions, so an old state, from
 * a late message or an outdated peer, changes nothing.
 *
 * Keys, below "/dunlinweir/":
 *   last            arbitrary text; every transaction writes it, so its
 *                   modification revision is the newest of all keys
 *   member/ID       one process: its addresses and failure domain
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
/* Outside the prefix, so that reading the state does not read the audit log.
 */
#define VIEW_AUDIT "/dunlinweir-audit/"

/* Number of partitions of submission keys; fixed when the map is created. */
#define VIEW_PARTS 1024
/* Deletions remembered, so that peers can be sent changes instead of the
 * complete state. */
#define VIEW_DELETIONS_MAX 256
/* Lost agents that a map lists. */
#define VIEW_LOSSES_MAX 64

enum view_role { VIEW_ENTRY, VIEW_AGENT };

/* A key of the store; mod, here and below, is its modification revision. */
struct view_kv {
    char *key;
    char *value;
    uint64_t mod;
    UT_hash_handle hh;
};

/* A process that the store lists. */
struct view_member {
    uint64_t id;
    enum view_role role;
    bool leaving; /* shuts down as planned */
    char name[CT_NAME_MAX];
    char addr[48];
    uint16_t port;            /* for messages of other processes */
    uint16_t http;            /* port of its HTTP interface */
    char domain[CT_NAME_MAX]; /* failure domain */
    char rack[CT_NAME_MAX];
    uint32_t slots;     /* tasks that an agent runs at a time */
    uint64_t name_hash; /* seed of the weights by which owners are chosen */
    uint64_t mod;
    UT_hash_handle hh;
};

/* A customer's contract. */
struct view_contract {
    struct contract c;
    uint64_t mod;
    UT_hash_handle hh;
};

/* A failure domain that the store lists. */
struct view_domain {
    char name[CT_NAME_MAX];
    bool in_service; /* false: withdrawn */
    uint64_t mod;
    UT_hash_handle hh;
};

/* A partition of the map. */
struct view_part {
    uint64_t owner; /* id of the process */
    uint64_t epoch; /* map epoch in which the owner got it */
    uint32_t nonce; /* of the hand-over by which the owner got it; 0: taken
                       over from an owner that could not hand over */
};

struct view_deletion {
    char *key;
    uint64_t rev; /* revision that deleted it */
};

/* An agent that was removed within W, the time that start records are kept:
 * its records are lost. */
struct view_loss {
    uint64_t id;
    uint32_t age_ms; /* of the loss, when the map was written */
};

struct view {
    uint64_t rev; /* revision of this copy; 0: empty */
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
    struct view_deletion deletions[VIEW_DELETIONS_MAX]; /* oldest first */
    size_t deletion_count;
    uint64_t deletion_floor; /* deletions up to this revision are forgotten */
};

void view_init(struct view *v);
void view_free(struct view *v);

/*
 * Applies a state message if its revision is higher than ours.  A complete
 * state replaces everything; changes must start at or below our revision,
 * which holds because a request for changes contains it.  Returns true if the
 * view moved to a higher revision.
 */
bool view_apply(struct view *v, const dw_state *s);
/* Fills s with the changes after revision `since`, or with the complete state
 * if deletions since then are forgotten. */
void view_changes(const struct view *v, uint64_t since, dw_state *s);

/* Queries; NULL if not found.  Pointers are valid until the view changes. */
const struct view_member *view_member(const struct view *v, uint64_t id);
const struct view_contract *view_contract(
    const struct view *v, struct str name);
const struct view_kv *view_kv(const struct view *v, const char *key);
/* A failure domain that the store does not list is in service. */
bool view_domain_in_service(const struct view *v, const char *name);
/* Lists all known failure domains, in service or not, without duplicates; the
 * names belong to the view.  Returns how many, at most max. */
size_t view_list_domains(
    const struct view *v, const char *names[], size_t max);
/* Partition of a submission key, below VIEW_PARTS. */
uint32_t view_partition(struct str customer, struct str key);

/* Appends the JSON of a member or a map, as it is stored. */
void view_format_member(const struct view_member *m, struct buf *out);
void view_format_map(const struct view_part *parts, uint64_t epoch,
    const struct view_loss *losses, size_t loss_count, struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
