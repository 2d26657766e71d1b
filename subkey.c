#include "subkey.h"

#include <string.h>

#define UUID_LEN 36

bool
sk_key_ok(struct str key)
{
    if (key.n == 0 || key.n > SK_KEY_MAX) {
        return false;
    }
    for (size_t i = 0; i < key.n; i++) {
        if (key.p[i] <= ' ' || key.p[i] >= 0x7f || key.p[i] == '"' ||
            key.p[i] == '\\') {
            return false;
        }
    }
    return true;
}

bool
sk_make(struct subkey *sk, struct str customer, struct str key)
{
    if (customer.n >= CT_NAME_MAX || key.n > SK_KEY_MAX) {
        return false;
    }
    sk->customer_len = (uint16_t)customer.n;
    sk->len = (uint16_t)(customer.n + 1 + key.n);
    if (customer.n > 0) {
        memcpy(sk->p, customer.p, customer.n);
    }
    sk->p[customer.n] = '\0';
    if (key.n > 0) {
        memcpy(sk->p + customer.n + 1, key.p, key.n);
    }
    return true;
}

struct str
sk_customer(const struct subkey *sk)
{
    return str_make(sk->p, sk->customer_len);
}

struct str
sk_key(const struct subkey *sk)
{
    return str_make(
        sk->p + sk->customer_len + 1, (size_t)sk->len - sk->customer_len - 1);
}

static bool
has_uuid_format(struct str key)
{
    for (size_t i = 0; i < key.n; i++) {
        bool dash = i == 8 || i == 13 || i == 18 || i == 23;

        if (dash != (key.p[i] == '-')) {
            return false;
        }
        if (!dash && strchr("0123456789abcdef", key.p[i]) == NULL) {
            return false;
        }
    }
    return true;
}

bool
sk_uuid7_ms(struct str key, uint64_t *ms)
{
    char hex[16];
    uint64_t v;

    if (key.n != UUID_LEN || !has_uuid_format(key) || key.p[14] != '7') {
        return false;
    }
    memcpy(hex, key.p, 8);
    memcpy(hex + 8, key.p + 9, 4);
    memset(hex + 12, '0', 4);
    if (!str_hex64(str_make(hex, sizeof(hex)), &v)) {
        return false;
    }
    *ms = v >> 16;
    return true;
}
