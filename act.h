/*
 * act - list of actions requested by modules that do no I/O
 *
 * Modules that make decisions do no I/O: they append actions to a list, and
 * the daemon (or a test) carries them out in order.  The list owns its actions
 * and their messages until they are taken; acts_clear() frees the rest.
 *
 * Also here: transactions on the store, and helpers for messages.
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
    ACT_ANSWER, /* return msg (an answer) to the waiting caller `ref` */
    ACT_TXN,    /* try transaction txn, numbered `ref`, on the store */
    ACT_READ,   /* read the store; `ref` is an enum act_read */
    ACT_EVENT   /* record `text` for explain and the log */
};

enum act_read {
    ACT_READ_CHECK, /* only its newest revision */
    ACT_READ_ALL    /* all keys */
};

/* A write of a transaction; a NULL value deletes the key. */
struct txn_put {
    char *key;
    char *value;
};

/* A condition of a transaction: the key must have modification revision mod;
 * 0 means it must not exist. */
struct txn_cmp {
    char *key;
    uint64_t mod;
};

/* The writes happen together, and only if all conditions hold. */
struct txn {
    struct txn_cmp *cmps;
    size_t cmp_count;
    struct txn_put *puts;
    size_t put_count;
};

/* Result of a transaction.  TXN_CONFLICT: a condition did not hold.
 * TXN_UNKNOWN: it may or may not have happened, and may still happen. */
enum txn_status { TXN_OK, TXN_CONFLICT, TXN_UNKNOWN };

/* An action; which fields are set depends on its kind. */
struct act {
    enum act_kind kind;
    uint64_t to;  /* id of a process */
    uint64_t ref; /* see enum act_kind */
    dw_msg *msg;
    struct txn *txn;
    char *customer; /* of the event's submission; "" if of none */
    char *key;
    char *text;
    struct act *next;
};

/* Actions, oldest first. */
struct acts {
    struct act *head;
    struct act **tail;
};

void acts_init(struct acts *as);
/* Removes and returns the first action, or NULL; free it with act_free(). */
struct act *acts_take(struct acts *as);
/* Frees all actions of the list. */
void acts_clear(struct acts *as);
void act_free(struct act *a);

/* Appends a message to a process and returns it, zeroed but for its type, to
 * be filled in. */
dw_msg *act_send(struct acts *as, uint64_t to, dw_mtype type);
/* Appends an answer to the waiting caller; moves the content of *answer to
 * the list and zeroes it. */
void act_answer(struct acts *as, uint64_t request, dw_answer *answer);
/* Appends an action that has no parameter but ref. */
void act_ref(struct acts *as, enum act_kind kind, uint64_t ref);
/* Appends a transaction and returns it, empty, to be filled in. */
struct txn *act_txn(struct acts *as, uint64_t ref);
/* Appends an event of one submission; cut at 255 bytes. */
void act_submission_event(struct acts *as, struct str customer, struct str key,
    const char *fmt, ...) __attribute__((format(printf, 4, 5)));

/* Appends an event that belongs to no submission; cut at 255 bytes. */
void act_event(struct acts *as, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

struct txn *txn_new(void);
/* NULL is allowed. */
void txn_free(struct txn *t);
/* Adds a condition; key is copied. */
void txn_compare(struct txn *t, const char *key, uint64_t mod);
/* Adds a write; key and value are copied.  NULL as value deletes the key. */
void txn_put(struct txn *t, const char *key, const char *value);

/* NULL is allowed. */
void msg_free(dw_msg *m);
/* Deep copy by encoding and decoding; NULL if m cannot be encoded. */
dw_msg *msg_clone(const dw_msg *m);
/* Encoded length in bytes; 0 if m cannot be encoded. */
size_t msg_size(const dw_msg *m);

#ifdef __cplusplus
}
#endif

#endif
