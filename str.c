#include "str.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

void *
dw_alloc(size_t n)
{
    void *p = malloc(n > 0 ? n : 1);

    if (p == NULL) {
        abort();
    }
    return p;
}

void *
dw_zero(size_t count, size_t size)
{
    void *p = calloc(count > 0 ? count : 1, size > 0 ? size : 1);

    if (p == NULL) {
        abort();
    }
    return p;
}

void *
dw_grow(void *p, size_t n)
{
    void *q = realloc(p, n > 0 ? n : 1);

    if (q == NULL) {
        abort();
    }
    return q;
}

struct str
str_make(const char *p, size_t n)
{
    struct str s = {p, n};

    return s;
}

struct str
str_of(const char *z)
{
    return str_make(z != NULL ? z : "", z != NULL ? strlen(z) : 0);
}

struct str
str_bytes(const dw_bytes *b)
{
    return str_make(b->dw_bytes_val, b->dw_bytes_len);
}

bool
str_eq(struct str a, struct str b)
{
    return a.n == b.n && (a.n == 0 || memcmp(a.p, b.p, a.n) == 0);
}

bool
str_is(struct str a, const char *z)
{
    return str_eq(a, str_of(z));
}

uint64_t
str_hash(struct str s, uint64_t seed)
{
    return XXH3_64bits_withSeed(s.p, s.n, seed);
}

void
str_copy(char *dst, size_t cap, struct str s)
{
    size_t n = s.n < cap - 1 ? s.n : cap - 1;

    if (n > 0) {
        memcpy(dst, s.p, n);
    }
    dst[n] = '\0';
}

char *
str_dup(struct str s)
{
    char *z = dw_alloc(s.n + 1);

    str_copy(z, s.n + 1, s);
    return z;
}

dw_bytes
str_to_bytes(struct str s)
{
    dw_bytes b = {0, NULL};

    if (s.n > 0) {
        b.dw_bytes_len = (u_int)s.n;
        b.dw_bytes_val = dw_alloc(s.n);
        memcpy(b.dw_bytes_val, s.p, s.n);
    }
    return b;
}

static int
hex_digit(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    return -1;
}

bool
str_hex64(struct str s, uint64_t *out)
{
    uint64_t v = 0;

    if (s.n != 16) {
        return false;
    }
    for (size_t i = 0; i < s.n; i++) {
        int d = hex_digit(s.p[i]);

        if (d < 0) {
            return false;
        }
        v = v << 4 | (uint64_t)d;
    }
    *out = v;
    return true;
}

static void
buf_reserve(struct buf *b, size_t more)
{
    size_t need = b->n + more + 1;

    if (need <= b->cap) {
        return;
    }
    b->cap = need > 2 * b->cap ? need : 2 * b->cap;
    b->p = dw_grow(b->p, b->cap);
}

void
buf_add(struct buf *b, struct str s)
{
    buf_reserve(b, s.n);
    if (s.n > 0) {
        memcpy(b->p + b->n, s.p, s.n);
    }
    b->n += s.n;
    b->p[b->n] = '\0';
}

void
buf_addf(struct buf *b, const char *fmt, ...)
{
    va_list ap;
    int n;

    va_start(ap, fmt);
    n = vsnprintf(NULL, 0, fmt, ap);
    va_end(ap);
    if (n < 0) {
        return;
    }
    buf_reserve(b, (size_t)n);
    va_start(ap, fmt);
    vsnprintf(b->p + b->n, (size_t)n + 1, fmt, ap);
    va_end(ap);
    b->n += (size_t)n;
}

struct str
buf_str(const struct buf *b)
{
    return str_make(b->p != NULL ? b->p : "", b->n);
}

void
buf_free(struct buf *b)
{
    free(b->p);
    memset(b, 0, sizeof(*b));
}

uint64_t
mix64(uint64_t a, uint64_t b)
{
    uint64_t z = a + 0x9e3779b97f4a7c15U * (b + 1);

    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9U;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebU;
    return z ^ (z >> 31);
}

bool
str_has_field(const char *text, const char *field)
{
    size_t n = strlen(field);
    const char *at;

    for (at = strstr(text, field); at != NULL; at = strstr(at + 1, field)) {
        char before = at == text ? ' ' : at[-1];
        char after = at[n];

        if (before == ' ' &&
            (after == ' ' || after == '\n' || after == '\0')) {
            return true;
        }
    }
    return false;
}
