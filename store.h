/*
 * store - client of the platform's key-value service
 *
 * The operations are a table of function pointers, so that support for another
 * service takes one file.  This one uses the etcd v3 JSON gateway: range, txn
 * with compare, and watch.  There keys and values are base64 and 64-bit
 * numbers are decimal strings.
 */
#ifndef STORE_H
#define STORE_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "act.h"
#include "httpc.h"
#include "proto.h"

#ifdef __cplusplus
extern "C" {
#endif

enum store_status {
    STORE_OK,
    STORE_CONFLICT,    /* a comparison failed; nothing was written */
    STORE_UNREACHABLE, /* unreachable: nothing was read or written */
    STORE_UNKNOWN      /* the write may have taken effect or may yet */
};

/* rev is the modification revision of the key VIEW_LAST, which every write
 * changes; 0 if the key does not exist. */
typedef void (*store_check_fn)(void *ctx, enum store_status st, uint64_t rev);
/* all holds every key with the prefix, audit entries included, and is valid
 * only during the call; NULL unless st is STORE_OK. */
typedef void (*store_read_fn)(
    void *ctx, enum store_status st, const dw_state *all);
/* rev is the transaction's revision if st is STORE_OK. */
typedef void (*store_txn_fn)(void *ctx, enum store_status st, uint64_t rev);
/* Something may have changed; the caller reads to see what. */
typedef void (*store_change_fn)(void *ctx);

struct store;

/* The operations of a kind of store.  fn is called later with the result. */
struct store_ops {
    /* Read the newest revision only. */
    void (*check)(struct store *s, store_check_fn fn, void *ctx);
    /* Read all keys with the prefix. */
    void (*read)(
        struct store *s, const char *prefix, store_read_fn fn, void *ctx);
    /* Apply t's writes if all its comparisons hold. */
    void (*txn)(
        struct store *s, const struct txn *t, store_txn_fn fn, void *ctx);
    /* Call fn after changes to keys with the prefix, until unwatch().  Only
     * one watch at a time; one that fails is opened again, and changes in the
     * meantime may go unreported. */
    void (*watch)(
        struct store *s, const char *prefix, store_change_fn fn, void *ctx);
    void (*unwatch)(struct store *s);
    void (*free)(struct store *s);
};

/* Counters since the store was created. */
struct store_stats {
    uint64_t reads;    /* check() and read() */
    uint64_t txns;     /* transactions sent */
    uint64_t watches;  /* watches opened */
    uint64_t failures; /* calls that failed, watches not included */
};

/* The common first member of every kind of store. */
struct store {
    const struct store_ops *ops;
    struct store_stats stats;
};

/* url as in "http://127.0.0.1:2379"; timeout_ms applies to each call and to
 * connecting.  Free with ops->free(). */
struct store *store_etcd(struct ev_loop *loop, struct httpc *http,
    const char *url, uint32_t timeout_ms);

#ifdef __cplusplus
}
#endif

#endif
