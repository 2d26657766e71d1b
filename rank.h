/*
 * rank - this entry's place among all entries
 *
 * Entries take agents in turns by their places, so a place that moves makes
 * the entry leave half of its sessions.  Places follow names, which a restart
 * keeps; an entry that has vanished keeps its place for a while, as most come
 * back.
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
/* ms for which an entry that has vanished keeps its place: longer than a cut
 * from the store, and than a process takes to start again. */
#define RK_KEEP_MS 60000U

struct rk_entry {
    char name[RK_NAME_MAX];
    char domain[RK_NAME_MAX];
    bool present;
    uint64_t absent_since_ms; /* since when it is not here */
    UT_hash_handle hh;
};

struct rk_table {
    struct rk_entry *entries;
};

struct rk_rank {
    uint32_t local; /* entries of the domain before this one */
    uint32_t total;
};

void rk_free(struct rk_table *t);
void rk_mark_present(struct rk_table *t, const char *name, const char *domain);
/* NULL: every entry. */
void rk_mark_absent(struct rk_table *t, uint64_t now, const char *name);
/* Forgets those that vanished long ago. */
struct rk_rank rk_rank_of(
    struct rk_table *t, uint64_t now, const char *name, const char *domain);

#ifdef __cplusplus
}
#endif

#endif
