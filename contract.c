#include "contract.h"

#include <jansson.h>
#include <nettle/sha2.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

/* A numeric field of struct contract. */
struct field {
    const char *name;
    size_t offset;
    uint32_t min;
    uint32_t max;
    uint32_t initial; /* if the JSON leaves it out */
};

static const struct field fields[] = {
    {"rate", offsetof(struct contract, rate), 1, 1000000, 100},
    {"burst", offsetof(struct contract, burst), 1, 1000000, 500},
    {"running", offsetof(struct contract, running), 1, 1000000, 100},
    {"queued", offsetof(struct contract, queued), 0, 10000000, 1000},
    {"max_tasks", offsetof(struct contract, max_tasks), 1, DW_MAX_TASKS,
        DW_MAX_TASKS},
    {"max_runtime_ms", offsetof(struct contract, max_runtime_ms), 1, 600000,
        30000},
    {"guaranteed", offsetof(struct contract, guaranteed), 0, 1000000, 0},
    {"weight", offsetof(struct contract, weight), 1, 1000, 1},
    {"max_millicores", offsetof(struct contract, max_millicores), 1, 1024000,
        64000},
    {"max_memory_mb", offsetof(struct contract, max_memory_mb), 1, 4194304,
        131072},
};

#define FIELD_COUNT (sizeof(fields) / sizeof(fields[0]))

static uint32_t *
field_ptr(struct contract *c, const struct field *f)
{
    return (uint32_t *)((char *)c + f->offset);
}

static const struct field *
find_field(const char *name)
{
    for (size_t i = 0; i < FIELD_COUNT; i++) {
        if (strcmp(fields[i].name, name) == 0) {
            return &fields[i];
        }
    }
    return NULL;
}

bool
ct_name_valid(struct str name)
{
    if (name.n == 0 || name.n >= CT_NAME_MAX) {
        return false;
    }
    for (size_t i = 0; i < name.n; i++) {
        char c = name.p[i];

        if (!((c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') ||
                (c != '\0' && strchr("-_.", c) != NULL))) {
            return false;
        }
    }
    return true;
}

static bool
hash_valid(const char *z)
{
    return strlen(z) == CT_HASH_HEX &&
           strspn(z, "0123456789abcdef") == CT_HASH_HEX;
}

static enum ct_status
read_number(
    struct contract *c, const struct field *f, const json_t *v, struct err *e)
{
    json_int_t n = json_integer_value(v);

    if (!json_is_integer(v) || n < f->min || n > f->max) {
        err_set(e, "contract field '%s': want a whole number from %u to %u",
            f->name, f->min, f->max);
        return CT_BAD_FIELD;
    }
    *field_ptr(c, f) = (uint32_t)n;
    return CT_OK;
}

static enum ct_status
read_text(struct contract *c, const char *name, const json_t *v, struct err *e)
{
    const char *z = json_string_value(v);

    if (strcmp(name, "customer") == 0) {
        if (z == NULL || !ct_name_valid(str_of(z))) {
            err_set(e, "contract field 'customer': want 1 to 63 of a-z 0-9 "
                       "'-' '_' '.'");
            return CT_BAD_FIELD;
        }
        str_copy(c->customer, sizeof(c->customer), str_of(z));
        return CT_OK;
    }
    if (z == NULL || !hash_valid(z)) {
        err_set(e, "contract field 'token_sha256': want 64 lower-case "
                   "hexadecimal digits");
        return CT_BAD_FIELD;
    }
    str_copy(c->token_sha256, sizeof(c->token_sha256), str_of(z));
    return CT_OK;
}

static enum ct_status
read_field(
    struct contract *c, const char *name, const json_t *v, struct err *e)
{
    const struct field *f = find_field(name);

    if (f != NULL) {
        return read_number(c, f, v, e);
    }
    if (strcmp(name, "customer") == 0 || strcmp(name, "token_sha256") == 0) {
        return read_text(c, name, v, e);
    }
    err_set(e, "contract field '%s' is not known", name);
    return CT_BAD_FIELD;
}

enum ct_status
ct_parse(struct contract *c, struct str json, struct err *e)
{
    enum ct_status st = CT_OK;
    json_error_t je;
    json_t *root = json_loadb(json.p, json.n, JSON_REJECT_DUPLICATES, &je);
    const char *name;
    json_t *v;

    memset(c, 0, sizeof(*c));
    if (!json_is_object(root)) {
        err_set(e, "contract: line %d column %d: %s", je.line, je.column,
            root == NULL ? je.text : "want an object");
        json_decref(root);
        return CT_BAD_JSON;
    }
    for (size_t i = 0; i < FIELD_COUNT; i++) {
        *field_ptr(c, &fields[i]) = fields[i].initial;
    }
    json_object_foreach (root, name, v) {
        if (st == CT_OK) {
            st = read_field(c, name, v, e);
        }
    }
    if (st == CT_OK && c->customer[0] == '\0') {
        err_set(e, "contract field 'customer' is missing");
        st = CT_BAD_FIELD;
    }
    if (st == CT_OK && c->guaranteed > c->running) {
        err_set(e, "contract field 'guaranteed': %u is above 'running' (%u)",
            c->guaranteed, c->running);
        st = CT_BAD_FIELD;
    }
    json_decref(root);
    return st;
}

void
ct_format(const struct contract *c, struct buf *out)
{
    buf_addf(out, "{\"customer\":\"%s\"", c->customer);
    if (c->token_sha256[0] != '\0') {
        buf_addf(out, ",\"token_sha256\":\"%s\"", c->token_sha256);
    }
    for (size_t i = 0; i < FIELD_COUNT; i++) {
        buf_addf(out, ",\"%s\":%u", fields[i].name,
            *field_ptr((struct contract *)c, &fields[i]));
    }
    buf_add(out, STR("}"));
}

enum ct_status
ct_guarantees_fit(uint64_t guaranteed, const struct ct_domain *ds,
    size_t count, struct err *e)
{
    const struct ct_domain *largest = NULL;
    uint64_t total = 0;
    uint64_t remaining;

    for (size_t i = 0; i < count; i++) {
        total += ds[i].slots;
        if (largest == NULL || ds[i].slots > largest->slots) {
            largest = &ds[i];
        }
    }
    remaining = total - (largest != NULL ? largest->slots : 0);
    if (guaranteed <= remaining) {
        return CT_OK;
    }
    err_set(e,
        "guaranteed slots of all contracts would be %llu, but with the "
        "largest failure domain (%s, %u slots) withdrawn only %llu of %llu "
        "slots remain",
        (unsigned long long)guaranteed,
        largest != NULL ? largest->name : "none",
        largest != NULL ? largest->slots : 0, (unsigned long long)remaining,
        (unsigned long long)total);
    return CT_OVERCOMMITTED;
}

void
ct_token_hash(struct str token, char out[CT_HASH_HEX + 1])
{
    uint8_t digest[SHA256_DIGEST_SIZE];
    struct sha256_ctx ctx;

    sha256_init(&ctx);
    sha256_update(&ctx, token.n, (const uint8_t *)token.p);
    sha256_digest(&ctx, sizeof(digest), digest);
    for (size_t i = 0; i < sizeof(digest); i++) {
        snprintf(out + 2 * i, 3, "%02x", digest[i]);
    }
}
