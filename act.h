/*
 * act - what a deciding module wants done
 *
 * A deciding module does no I/O: it appends actions to a list, and the daemon
 * (or a test) carries them out in order.  Messages handed to a list belong to
 * it until taken; act_free() frees what nobody took.
 */
#ifndef ACT_H
#define ACT_H

#include <stdbool.h>
#include <stdint.h>

#include "proto.h"
#include "str.h"

#ifdef __cplusplus
extern "C" {
#endif

enum act_kind {
    ACT_SEND,   /* send msg to the process `to` */
    ACT_START,  /* start task `ref` on the backend server */
    ACT_STOP,   /* stop the running task `ref` */
    ACT_ANSWER, /* give msg (an answer) to the waiting caller `ref` */
    ACT_TXN,    /* try txn `ref` on the store */
    ACT_READ,   /* read the store; `ref` is an enum act_read */
    ACT_EVENT   /* keep `text` for explain */
};

enum act_read {
    ACT_READ_CHECK, /* only the newest revision */
    ACT_READ_ALL    /* every key */
};

/* One key of a transaction; a NULL value deletes. */
struct txn_put {
    char *key;
    char *value;
};

/* The key must have this modification revision; 0 means it must not exist. */
struct txn_cmp {
    char *key;
    uint64_t mod;
};

struct txn {
    struct txn_cmp *cmps;
    size_t cmp_count;
    struct txn_put *puts;
    size_t put_count;
};

/* How a transaction ended.  After TXN_UNKNOWN it may or may not have
 * happened, and may still happen. */
enum txn_status { TXN_OK, TXN_CONFLICT, TXN_UNKNOWN };

struct act {
    enum act_kind kind;
    uint64_t to;
    uint64_t ref;
    dw_msg *msg;
    struct txn *txn;
    char *customer;
    char *key;
    char *text;
    struct act *next;
};

struct acts {
    struct act *head;
    struct act **tail;
};

void acts_init(struct acts *as);
/* Take the first action, or NULL; the taker calls act_free(). */
struct act *acts_take(struct acts *as);
void acts_clear(struct acts *as);
void act_free(struct act *a);

/* Append a message; fill in what the returned pointer shows. */
dw_msg *act_send(struct acts *as, uint64_t to, dw_mtype type);
/* Append an answer for the waiting caller; the list owns answer's parts. */
void act_answer(struct acts *as, uint64_t request, dw_answer *answer);
void act_ref(struct acts *as, enum act_kind kind, uint64_t ref);
struct txn *act_txn(struct acts *as, uint64_t ref);
void act_submission_event(struct acts *as, struct str customer, struct str key,
    const char *fmt, ...) __attribute__((format(printf, 4, 5)));

/* An event worth a line in the log, of no one submission. */
void act_event(struct acts *as, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

struct txn *txn_new(void);
void txn_free(struct txn *t);
void txn_compare(struct txn *t, const char *key, uint64_t mod);
/* value NULL deletes the key. */
void txn_put(struct txn *t, const char *key, const char *value);

void msg_free(dw_msg *m);
/* A deep copy through the codec; NULL when m does not encode. */
dw_msg *msg_clone(const dw_msg *m);
/* Encoded length in bytes; 0 when m does not encode. */
size_t msg_size(const dw_msg *m);

#ifdef __cplusplus
}
#endif

#endif
