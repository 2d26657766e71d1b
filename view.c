#include "view.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MEMBER_SEED 0x6d656d62U
#define KEY_SEED 0x6b657973U

typedef void (*apply_fn)(
    struct view *v, struct str name, struct str value, uint64_t mod);

void
view_init(struct view *v)
{
    memset(v, 0, sizeof(*v));
}

static void
drop_members(struct view *v)
{
    struct view_member *m;
    struct view_member *tmp;

    HASH_ITER (hh, v->members, m, tmp) {
        HASH_DEL(v->members, m);
        free(m);
    }
}

static void
drop_contracts(struct view *v)
{
    struct view_contract *c;
    struct view_contract *tmp;

    HASH_ITER (hh, v->contracts, c, tmp) {
        HASH_DEL(v->contracts, c);
        free(c);
    }
}

static void
drop_domains(struct view *v)
{
    struct view_domain *d;
    struct view_domain *tmp;

    HASH_ITER (hh, v->domains, d, tmp) {
        HASH_DEL(v->domains, d);
        free(d);
    }
}

static void
drop_kv(struct view *v, struct view_kv *kv)
{
    HASH_DEL(v->kvs, kv);
    free(kv->key);
    free(kv->value);
    free(kv);
}

static void
drop_all(struct view *v)
{
    struct view_kv *kv;
    struct view_kv *tmp;

    drop_members(v);
    drop_contracts(v);
    drop_domains(v);
    HASH_ITER (hh, v->kvs, kv, tmp) {
        drop_kv(v, kv);
    }
    v->have_map = false;
    v->map_mod = 0;
}

static void
drop_deletions(struct view *v)
{
    for (size_t i = 0; i < v->deletion_count; i++) {
        free(v->deletions[i].key);
    }
    v->deletion_count = 0;
}

void
view_free(struct view *v)
{
    drop_all(v);
    drop_deletions(v);
}

static void
copy_text(json_t *o, const char *name, char *dst, size_t cap)
{
    str_copy(dst, cap, str_of(json_string_value(json_object_get(o, name))));
}

static uint32_t
get_number(json_t *o, const char *name)
{
    return (uint32_t)json_integer_value(json_object_get(o, name));
}

static void
apply_member(struct view *v, struct str name, struct str value, uint64_t mod)
{
    struct view_member *m;
    uint64_t id;
    json_t *o;

    if (!str_hex64(name, &id)) {
        return;
    }
    HASH_FIND(hh, v->members, &id, sizeof(id), m);
    if (value.p == NULL) {
        if (m != NULL) {
            HASH_DEL(v->members, m);
            free(m);
        }
        return;
    }
    o = json_loadb(value.p, value.n, 0, NULL);
    if (o == NULL) {
        return;
    }
    if (m == NULL) {
        m = dw_zero(1, sizeof(*m));
        m->id = id;
        HASH_ADD(hh, v->members, id, sizeof(m->id), m);
    }
    copy_text(o, "name", m->name, sizeof(m->name));
    copy_text(o, "addr", m->addr, sizeof(m->addr));
    copy_text(o, "domain", m->domain, sizeof(m->domain));
    copy_text(o, "rack", m->rack, sizeof(m->rack));
    m->port = (uint16_t)get_number(o, "port");
    m->http = (uint16_t)get_number(o, "http");
    m->slots = get_number(o, "slots");
    m->leaving = json_is_true(json_object_get(o, "leaving"));
    m->role = strcmp(json_string_value(json_object_get(o, "role")) != NULL
                         ? json_string_value(json_object_get(o, "role"))
                         : "",
                  "agent") == 0
                  ? VIEW_AGENT
                  : VIEW_ENTRY;
    m->name_hash = str_hash(str_of(m->name), MEMBER_SEED);
    m->mod = mod;
    json_decref(o);
}

static void
apply_contract(struct view *v, struct str name, struct str value, uint64_t mod)
{
    char customer[CT_NAME_MAX];
    struct view_contract *c;
    struct contract read;

    str_copy(customer, sizeof(customer), name);
    HASH_FIND_STR(v->contracts, customer, c);
    if (value.p == NULL) {
        if (c != NULL) {
            HASH_DEL(v->contracts, c);
            free(c);
        }
        return;
    }
    if (ct_parse(&read, value, NULL) != CT_OK) {
        return;
    }
    if (c == NULL) {
        c = dw_zero(1, sizeof(*c));
        str_copy(c->c.customer, sizeof(c->c.customer), name);
        HASH_ADD_STR(v->contracts, c.customer, c);
    }
    memcpy((char *)&c->c + sizeof(c->c.customer),
        (char *)&read + sizeof(read.customer),
        sizeof(read) - sizeof(read.customer));
    c->mod = mod;
}

static void
apply_domain(struct view *v, struct str name, struct str value, uint64_t mod)
{
    char domain[CT_NAME_MAX];
    struct view_domain *d;
    json_t *o;

    str_copy(domain, sizeof(domain), name);
    HASH_FIND_STR(v->domains, domain, d);
    if (value.p == NULL) {
        if (d != NULL) {
            HASH_DEL(v->domains, d);
            free(d);
        }
        return;
    }
    if (d == NULL) {
        d = dw_zero(1, sizeof(*d));
        str_copy(d->name, sizeof(d->name), name);
        HASH_ADD_STR(v->domains, name, d);
    }
    o = json_loadb(value.p, value.n, 0, NULL);
    d->in_service = o == NULL || !json_is_false(json_object_get(o, "in"));
    d->mod = mod;
    json_decref(o);
}

static void
apply_part(struct view_part *p, json_t *owners, json_t *row)
{
    json_t *owner = json_array_get(
        owners, (size_t)json_integer_value(json_array_get(row, 0)));
    uint64_t id = 0;

    str_hex64(str_of(json_string_value(owner)), &id);
    p->owner = id;
    p->epoch = (uint64_t)json_integer_value(json_array_get(row, 1));
    p->nonce = (uint32_t)json_integer_value(json_array_get(row, 2));
}

static void
apply_losses(struct view *v, json_t *list)
{
    size_t i;
    json_t *row;

    v->loss_count = 0;
    json_array_foreach (list, i, row) {
        struct view_loss *l = &v->losses[v->loss_count];

        if (v->loss_count < VIEW_LOSSES_MAX &&
            str_hex64(
                str_of(json_string_value(json_array_get(row, 0))), &l->id)) {
            l->age_ms = (uint32_t)json_integer_value(json_array_get(row, 1));
            v->loss_count++;
        }
    }
}

static void
apply_map(struct view *v, struct str name, struct str value, uint64_t mod)
{
    json_t *o;
    json_t *parts;

    (void)name;
    if (value.p == NULL) {
        v->have_map = false;
        return;
    }
    o = json_loadb(value.p, value.n, 0, NULL);
    parts = json_object_get(o, "parts");
    if (json_array_size(parts) == VIEW_PARTS) {
        for (size_t i = 0; i < VIEW_PARTS; i++) {
            apply_part(&v->parts[i], json_object_get(o, "owners"),
                json_array_get(parts, i));
        }
        apply_losses(v, json_object_get(o, "lost"));
        v->have_map = true;
        v->map_mod = mod;
        v->map_epoch =
            (uint64_t)json_integer_value(json_object_get(o, "epoch"));
    }
    json_decref(o);
}

static const struct {
    const char *prefix;
    apply_fn fn;
} appliers[] = {
    {VIEW_MEMBER, apply_member},
    {VIEW_CONTRACT, apply_contract},
    {VIEW_DOMAIN, apply_domain},
    {VIEW_MAP, apply_map},
};

static void
apply_typed(struct view *v, struct str key, struct str value, uint64_t mod)
{
    for (size_t i = 0; i < sizeof(appliers) / sizeof(appliers[0]); i++) {
        size_t n = strlen(appliers[i].prefix);

        if (key.n >= n && memcmp(key.p, appliers[i].prefix, n) == 0) {
            appliers[i].fn(v, str_make(key.p + n, key.n - n), value, mod);
            return;
        }
    }
}

static void
remember_deletion(struct view *v, struct str key, uint64_t rev)
{
    if (v->deletion_count == VIEW_DELETIONS_MAX) {
        v->deletion_floor = v->deletions[0].rev;
        free(v->deletions[0].key);
        memmove(&v->deletions[0], &v->deletions[1],
            (VIEW_DELETIONS_MAX - 1) * sizeof(v->deletions[0]));
        v->deletion_count--;
    }
    v->deletions[v->deletion_count].key = str_dup(key);
    v->deletions[v->deletion_count].rev = rev;
    v->deletion_count++;
}

static void
apply_put(struct view *v, struct str key, struct str value, uint64_t mod)
{
    struct view_kv *kv;

    HASH_FIND(hh, v->kvs, key.p, key.n, kv);
    if (kv != NULL && kv->mod == mod) {
        return;
    }
    if (kv == NULL) {
        kv = dw_zero(1, sizeof(*kv));
        kv->key = str_dup(key);
        HASH_ADD_KEYPTR(hh, v->kvs, kv->key, key.n, kv);
    }
    free(kv->value);
    kv->value = str_dup(value);
    kv->mod = mod;
    apply_typed(v, key, value, mod);
}

static void
apply_delete(struct view *v, struct str key, uint64_t rev)
{
    struct view_kv *kv;

    HASH_FIND(hh, v->kvs, key.p, key.n, kv);
    if (kv == NULL) {
        return;
    }
    remember_deletion(v, key, rev);
    apply_typed(v, key, str_make(NULL, 0), rev);
    drop_kv(v, kv);
}

/* Deletes the keys that a complete state does not list. */
static void
delete_unlisted(struct view *v, const dw_state *s)
{
    struct view listing;
    struct view_kv *kv;
    struct view_kv *tmp;

    view_init(&listing);
    for (u_int i = 0; i < s->kvs.kvs_len; i++) {
        struct str key = str_bytes(&s->kvs.kvs_val[i].key);
        struct view_kv *listed = dw_zero(1, sizeof(*listed));

        listed->key = str_dup(key);
        HASH_ADD_KEYPTR(hh, listing.kvs, listed->key, key.n, listed);
    }
    HASH_ITER (hh, v->kvs, kv, tmp) {
        struct view_kv *found;

        HASH_FIND(hh, listing.kvs, kv->key, strlen(kv->key), found);
        if (found == NULL) {
            apply_delete(v, str_of(kv->key), s->rev);
        }
    }
    view_free(&listing);
}

bool
view_apply(struct view *v, const dw_state *s)
{
    if (s->rev <= v->rev) {
        return false;
    }
    if (s->whole) {
        delete_unlisted(v, s);
    }
    for (u_int i = 0; i < s->kvs.kvs_len; i++) {
        const dw_kv *kv = &s->kvs.kvs_val[i];
        struct str key = str_bytes(&kv->key);
        struct str value =
            str_make(kv->value.dw_value_val, kv->value.dw_value_len);

        if (kv->deleted) {
            apply_delete(v, key, kv->mod);
        }
        else {
            apply_put(v, key, value, kv->mod);
        }
    }
    if (s->whole && v->rev == 0) {
        v->deletion_floor = s->rev;
    }
    v->rev = s->rev;
    return true;
}

static void
fill_kv(dw_kv *out, const char *key, const char *value, uint64_t mod)
{
    out->key = str_to_bytes(str_of(key));
    out->mod = mod;
    out->deleted = value == NULL;
    if (value != NULL) {
        out->value.dw_value_len = (u_int)strlen(value);
        out->value.dw_value_val = str_dup(str_of(value));
    }
}

void
view_changes(const struct view *v, uint64_t since, dw_state *s)
{
    size_t max = HASH_COUNT(v->kvs) + v->deletion_count;
    struct view_kv *kv;
    struct view_kv *tmp;
    u_int n = 0;

    s->rev = v->rev;
    s->whole = since < v->deletion_floor;
    if (since >= v->rev) {
        s->whole = false;
        return;
    }
    s->kvs.kvs_val = dw_zero(max, sizeof(dw_kv));
    HASH_ITER (hh, v->kvs, kv, tmp) {
        if (s->whole || kv->mod > since) {
            fill_kv(&s->kvs.kvs_val[n++], kv->key, kv->value, kv->mod);
        }
    }
    for (size_t i = 0; i < v->deletion_count && !s->whole; i++) {
        struct view_kv *live;

        if (v->deletions[i].rev <= since) {
            continue;
        }
        HASH_FIND_STR(v->kvs, v->deletions[i].key, live);
        if (live == NULL) {
            fill_kv(&s->kvs.kvs_val[n++], v->deletions[i].key, NULL,
                v->deletions[i].rev);
        }
    }
    s->kvs.kvs_len = n;
}

const struct view_member *
view_member(const struct view *v, uint64_t id)
{
    struct view_member *m;

    HASH_FIND(hh, v->members, &id, sizeof(id), m);
    return m;
}

const struct view_contract *
view_contract(const struct view *v, struct str name)
{
    struct view_contract *c;

    HASH_FIND(hh, v->contracts, name.p, name.n, c);
    return c;
}

const struct view_kv *
view_kv(const struct view *v, const char *key)
{
    struct view_kv *kv;

    HASH_FIND_STR(v->kvs, key, kv);
    return kv;
}

bool
view_domain_in_service(const struct view *v, const char *name)
{
    struct view_domain *d;

    HASH_FIND_STR(v->domains, name, d);
    return d == NULL || d->in_service;
}

static size_t
add_unique_name(const char *names[], size_t n, size_t max, const char *name)
{
    for (size_t i = 0; i < n; i++) {
        if (strcmp(names[i], name) == 0) {
            return n;
        }
    }
    if (n < max) {
        names[n++] = name;
    }
    return n;
}

size_t
view_list_domains(const struct view *v, const char *names[], size_t max)
{
    struct view_domain *d;
    struct view_member *m;
    size_t n = 0;

    for (d = v->domains; d != NULL; d = d->hh.next) {
        n = add_unique_name(names, n, max, d->name);
    }
    for (m = v->members; m != NULL; m = m->hh.next) {
        n = add_unique_name(names, n, max, m->domain);
    }
    return n;
}

uint32_t
view_partition(struct str customer, struct str key)
{
    uint64_t h = str_hash(key, str_hash(customer, KEY_SEED));

    return (uint32_t)(h % VIEW_PARTS);
}

void
view_format_member(const struct view_member *m, struct buf *out)
{
    buf_addf(out,
        "{\"name\":\"%s\",\"role\":\"%s\",\"addr\":\"%s\",\"port\":%u,"
        "\"http\":%u,\"domain\":\"%s\",\"rack\":\"%s\",\"slots\":%u,"
        "\"leaving\":%s}",
        m->name, m->role == VIEW_AGENT ? "agent" : "entry", m->addr, m->port,
        m->http, m->domain, m->rack, m->slots, m->leaving ? "true" : "false");
}

static size_t
owner_index(uint64_t *owners, size_t *count, uint64_t id)
{
    for (size_t i = 0; i < *count; i++) {
        if (owners[i] == id) {
            return i;
        }
    }
    owners[*count] = id;
    return (*count)++;
}

void
view_format_map(const struct view_part *parts, uint64_t epoch,
    const struct view_loss *losses, size_t loss_count, struct buf *out)
{
    uint64_t owners[VIEW_PARTS];
    size_t count = 0;

    buf_addf(out, "{\"epoch\":%" PRIu64 ",\"parts\":[", epoch);
    for (size_t i = 0; i < VIEW_PARTS; i++) {
        buf_addf(out, "%s[%zu,%" PRIu64 ",%u]", i > 0 ? "," : "",
            owner_index(owners, &count, parts[i].owner), parts[i].epoch,
            parts[i].nonce);
    }
    buf_add(out, STR("],\"owners\":["));
    for (size_t i = 0; i < count; i++) {
        buf_addf(out, "%s\"%016" PRIx64 "\"", i > 0 ? "," : "", owners[i]);
    }
    buf_add(out, STR("],\"lost\":["));
    for (size_t i = 0; i < loss_count; i++) {
        buf_addf(out, "%s[\"%016" PRIx64 "\",%u]", i > 0 ? "," : "",
            losses[i].id, losses[i].age_ms);
    }
    buf_add(out, STR("]}"));
}
