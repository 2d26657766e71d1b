/*
 * str - length-counted strings and growing buffers
 *
 * A struct str points to bytes that it does not own.  A struct buf owns its
 * bytes and keeps a NUL after them.  Allocation never returns NULL: a process
 * that is out of memory aborts, as it could no longer meet its guarantees.
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

/* n bytes at p, which need not end with NUL. */
struct str {
    const char *p;
    size_t n;
};

/* A growing buffer; starts as {0}. */
struct buf {
    char *p;    /* NULL until the first bytes are added */
    size_t n;   /* bytes used, without the NUL */
    size_t cap; /* bytes allocated */
};

/* A string literal as a struct str, without its NUL. */
#define STR(lit) str_make((lit), sizeof(lit) - 1)

struct str str_make(const char *p, size_t n);
/* Wrap a NUL-terminated string; NULL gives the empty string. */
struct str str_of(const char *z);
/* The bytes of a message's field. */
struct str str_bytes(const dw_bytes *b);
bool str_eq(struct str a, struct str b);
bool str_is(struct str a, const char *z);
/* XXH3 with a seed; the result is the same in all processes. */
uint64_t str_hash(struct str s, uint64_t seed);
/* Copy into dst of cap bytes, truncating if necessary; always ends with NUL.
 */
void str_copy(char *dst, size_t cap, struct str s);
/* A NUL-terminated copy; free(3) it. */
char *str_dup(struct str s);
/* A copy for a field of a message; xdr_free(3) of the message frees it. */
dw_bytes str_to_bytes(struct str s);
/* Parse exactly 16 lower-case hexadecimal digits; false for anything else. */
bool str_hex64(struct str s, uint64_t *out);
/* True if a log line has field, such as "job=ID", as a complete word.  An id
 * does not match a longer one that begins with it. */
bool str_has_field(const char *text, const char *field);

/* Append a string, or formatted text as by printf(3). */
void buf_add(struct buf *b, struct str s);
void buf_addf(struct buf *b, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
/* The contents; valid until the buffer changes. */
struct str buf_str(const struct buf *b);
/* Free the bytes; the buffer is empty and may be used again. */
void buf_free(struct buf *b);

/* malloc(3), calloc(3) and realloc(3) that abort if memory is exhausted. */
void *dw_alloc(size_t n);
void *dw_zero(size_t count, size_t size);
void *dw_grow(void *p, size_t n);

/* Hash of two numbers; used for rendezvous hashing. */
uint64_t mix64(uint64_t a, uint64_t b);

#ifdef __cplusplus
}
#endif

#endif
