/*
 * rank - this entry's rank among all entries
 *
 * Entries choose their agents round-robin by rank, so an entry whose rank
 * changes closes half of its sessions.  Entries are ranked by name, which a
 * restart keeps.  An entry that disappears keeps its rank for a while, as most
 * come back.
 */
#ifndef RANK_H
#define RANK_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#ifdef __cplusplus
extern "C" {
#endif

#define RK_NAME_MAX 64
/* ms for which an entry that has disappeared keeps its rank: longer than it
 * may be cut off from the store, and than a process takes to restart. */
#define RK_KEEP_MS 60000U

/* An entry, known by its name. */
struct rk_entry {
    char name[RK_NAME_MAX];
    char domain[RK_NAME_MAX];
    bool present;             /* in the store, as last read */
    uint64_t absent_since_ms; /* if not present */
    UT_hash_handle hh;
};

struct rk_table {
    struct rk_entry *entries;
};

/* Numbers of entries that come before an entry by name. */
struct rk_rank {
    uint32_t local; /* of its failure domain */
    uint32_t total; /* of all domains */
};

void rk_free(struct rk_table *t);
/* Adds an entry, or notes that it is back. */
void rk_mark_present(struct rk_table *t, const char *name, const char *domain);
/* Notes that an entry (NULL: every entry) has disappeared. */
void rk_mark_absent(struct rk_table *t, uint64_t now, const char *name);
/* The rank of an entry of a domain.  Removes entries that have been absent for
 * more than RK_KEEP_MS. */
struct rk_rank rk_rank_of(
    struct rk_table *t, uint64_t now, const char *name, const char *domain);

#ifdef __cplusplus
}
#endif

#endif
