/*
 * str - length-counted strings and growing buffers
 *
 * A struct str points at bytes it does not own.  A struct buf owns its bytes
 * and keeps a NUL behind them.  Allocation never returns NULL: a process that
 * is out of memory aborts, as it could keep no promise after.
 */
#ifndef STR_H
#define STR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "proto.h"

#ifdef __cplusplus
extern "C" {
#endif

struct str {
    const char *p;
    size_t n;
};

struct buf {
    char *p;
    size_t n;
    size_t cap;
};

/* A literal as a struct str; the literal's NUL is not counted. */
#define STR(lit) str_make((lit), sizeof(lit) - 1)

struct str str_make(const char *p, size_t n);
/* Wrap a NUL-terminated string; NULL gives the empty string. */
struct str str_of(const char *z);
struct str str_bytes(const dw_bytes *b);
bool str_eq(struct str a, struct str b);
bool str_is(struct str a, const char *z);
uint64_t str_hash(struct str s, uint64_t seed);
/* Copy into dst of size cap, cut short if need be; always ends in NUL. */
void str_copy(char *dst, size_t cap, struct str s);
/* A NUL-terminated copy; free(3) it. */
char *str_dup(struct str s);
/* A copy for a message; xdr_free(3) of the message frees it. */
dw_bytes str_to_bytes(struct str s);
/* Parse 16 hexadecimal digits; false if s is anything else. */
bool str_hex64(struct str s, uint64_t *out);
/* A log line has the field as a whole word: an id must not match the head of
 * a longer one. */
bool str_has_field(const char *text, const char *field);

void buf_add(struct buf *b, struct str s);
void buf_addf(struct buf *b, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
struct str buf_str(const struct buf *b);
void buf_free(struct buf *b);

void *dw_alloc(size_t n);
void *dw_zero(size_t count, size_t size);
void *dw_grow(void *p, size_t n);

/* Mix two numbers into one hash; used for rendezvous scores. */
uint64_t mix64(uint64_t a, uint64_t b);

#ifdef __cplusplus
}
#endif

#endif
