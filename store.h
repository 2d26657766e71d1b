/*
 * store - the platform's key-value service
 *
 * Behind a table of function pointers, so that another store costs one file.
 * This one speaks the etcd v3 JSON gateway: range, txn with compare, watch.
 * Keys and values are base64 in it, 64-bit numbers are decimal strings.
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
    STORE_UNKNOWN      /* a write may have taken effect, or still may */
};

/* The stream's newest revision. */
typedef void (*store_check_fn)(void *ctx, enum store_status st, uint64_t rev);
/* Everything below a prefix; audit entries included. */
typedef void (*store_read_fn)(
    void *ctx, enum store_status st, const dw_state *all);
/* rev is the transaction's revision when it is STORE_OK. */
typedef void (*store_txn_fn)(void *ctx, enum store_status st, uint64_t rev);
typedef void (*store_change_fn)(void *ctx);

struct store;

struct store_ops {
    void (*check)(struct store *s, store_check_fn fn, void *ctx);
    void (*read)(
        struct store *s, const char *prefix, store_read_fn fn, void *ctx);
    void (*txn)(
        struct store *s, const struct txn *t, store_txn_fn fn, void *ctx);
    /* Call fn whenever something below the prefix changes. */
    void (*watch)(
        struct store *s, const char *prefix, store_change_fn fn, void *ctx);
    void (*unwatch)(struct store *s);
    void (*free)(struct store *s);
};

struct store_stats {
    uint64_t reads;
    uint64_t txns;
    uint64_t watches;
    uint64_t failures;
};

/* The members every kind of store begins with. */
struct store {
    const struct store_ops *ops;
    struct store_stats stats;
};

/* url as in "http://127.0.0.1:2379". */
struct store *store_etcd(struct ev_loop *loop, struct httpc *http,
    const char *url, uint32_t timeout_ms);

#ifdef __cplusplus
}
#endif

#endif
