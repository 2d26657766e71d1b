/*
 * subkey - identifies a submission: customer and idempotency key
 */
#ifndef SUBKEY_H
#define SUBKEY_H

#include <stdbool.h>
#include <stdint.h>

#include "contract.h"
#include "str.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SK_KEY_MAX 200 /* bytes */

/* Customer, NUL and key as one array of bytes, usable as a hash table key. */
struct subkey {
    uint16_t len;          /* bytes used in p */
    uint16_t customer_len; /* without the NUL */
    char p[CT_NAME_MAX + SK_KEY_MAX + 1];
};

/* True if key is 1 to SK_KEY_MAX bytes of printable ASCII without spaces,
 * double quotes or backslashes. */
bool sk_key_ok(struct str key);
/* Set sk from its two parts; false if either is too long. */
bool sk_make(struct subkey *sk, struct str customer, struct str key);
/* The two parts; they point into sk. */
struct str sk_customer(const struct subkey *sk);
struct str sk_key(const struct subkey *sk);
/* Set *ms to the time in a UUID version 7, wall-clock ms since 1970; false if
 * key is anything else. */
bool sk_uuid7_ms(struct str key, uint64_t *ms);

#ifdef __cplusplus
}
#endif

#endif
