/*
 * base64 - bytes as text and back, over nettle's codec (RFC 4648, padded)
 */
#ifndef BASE64_H
#define BASE64_H

#include <stddef.h>

#include "str.h"

void base64_add(struct buf *b, struct str s);
/* NULL if z is not base64; else bytes to free(3), NUL added. */
char *base64_read(const char *z, size_t *n);

#endif
