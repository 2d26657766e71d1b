/*
 * base64 - base64 with padding (RFC 4648), by nettle
 */
#ifndef BASE64_H
#define BASE64_H

#include <stddef.h>

#include "str.h"

/* Append s, encoded, to b. */
void base64_add(struct buf *b, struct str s);
/* Decode z: *n bytes and a NUL after them, to be freed with free(3); NULL if z
 * is not base64. */
char *base64_read(const char *z, size_t *n);

#endif
