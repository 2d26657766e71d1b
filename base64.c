#include "base64.h"

#include <nettle/base64.h>
#include <stdlib.h>
#include <string.h>

void
base64_add(struct buf *b, struct str s)
{
    char *out = dw_alloc(BASE64_ENCODE_RAW_LENGTH(s.n) + 1);

    base64_encode_raw(out, s.n, (const uint8_t *)s.p);
    buf_add(b, str_make(out, BASE64_ENCODE_RAW_LENGTH(s.n)));
    free(out);
}

char *
base64_read(const char *z, size_t *n)
{
    struct base64_decode_ctx ctx;
    size_t len = strlen(z);
    uint8_t *out = dw_alloc(BASE64_DECODE_LENGTH(len) + 1);

    base64_decode_init(&ctx);
    if (!base64_decode_update(&ctx, n, out, len, z) ||
        !base64_decode_final(&ctx)) {
        free(out);
        return NULL;
    }
    out[*n] = '\0';
    return (char *)out;
}
