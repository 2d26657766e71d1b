/* A stand-in for the platform's key-value store, as its documentation
 * describes it. */
#include <inttypes.h>
#include <jansson.h>
#include <nettle/base64.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "soak.h"

#define ITEMS_MAX 2048
#define EVENTS_MAX 4096
#define LEASES_MAX 2048
#define WATCHES_MAX 2048

struct item {
    char key[128];
    char *value; /* base64 */
    uint64_t rev;
    uint64_t create_rev;
    uint64_t lease;
    bool deleted;
};

struct lease {
    uint64_t id; /* 0: unused */
    uint64_t ttl_ms;
    uint64_t ends_ms;
};

/* A long poll for events that has no answer yet. */
struct watch {
    struct web_req *r;
    char prefix[128];
    uint64_t after; /* revision */
    uint64_t until_ms;
};

struct fake_store {
    struct web *web;
    enum store_mode mode;
    int32_t proxy_offset; /* from an agent's port to its proxy's */
    uint64_t now;
    uint64_t rev;
    uint64_t next_lease;
    struct item items[ITEMS_MAX];
    size_t item_count;
    struct item events[EVENTS_MAX]; /* ring buffer with copies of the values */
    size_t event_count;
    struct lease leases[LEASES_MAX];
    size_t lease_count;
    struct watch watches[WATCHES_MAX];
    size_t watch_count;
    struct web_req *silent[WATCHES_MAX]; /* held back in STORE_SILENT */
    size_t silent_count;
};

static void
reply_json(struct web_req *r, unsigned status, json_t *o)
{
    char *text = json_dumps(o, JSON_COMPACT);

    web_reply(r, status, "application/json", str_of(text), 0);
    free(text);
    json_decref(o);
}

/* --- items --- */

static struct item *
find_item(struct fake_store *f, const char *key)
{
    for (size_t i = 0; i < f->item_count; i++) {
        if (!f->items[i].deleted && strcmp(f->items[i].key, key) == 0) {
            return &f->items[i];
        }
    }
    return NULL;
}

static void
record_event(struct fake_store *f, const struct item *it)
{
    struct item *e = &f->events[f->event_count++ % EVENTS_MAX];

    free(e->value);
    *e = *it;
    e->value = it->value != NULL ? str_dup(str_of(it->value)) : NULL;
}

static struct item *
new_item(struct fake_store *f)
{
    size_t i = 0;

    while (i < f->item_count && !f->items[i].deleted) {
        i++;
    }
    if (i == ITEMS_MAX) {
        fprintf(stderr, "soak: the store is full\n");
        exit(2);
    }
    f->item_count += i == f->item_count;
    memset(&f->items[i], 0, sizeof(f->items[i]));
    return &f->items[i];
}

static void
put_item(
    struct fake_store *f, const char *key, const char *base64, uint64_t lease)
{
    struct item *it = find_item(f, key);

    if (it == NULL) {
        it = new_item(f);
        str_copy(it->key, sizeof(it->key), str_of(key));
        it->create_rev = f->rev;
    }
    free(it->value);
    it->value = str_dup(str_of(base64));
    it->rev = f->rev;
    it->lease = lease;
    record_event(f, it);
}

static void
delete_item(struct fake_store *f, const char *key)
{
    struct item *it = find_item(f, key);

    if (it != NULL) {
        it->deleted = true;
        it->rev = f->rev;
        free(it->value);
        it->value = NULL;
        record_event(f, it);
    }
}

void
fs_put(struct fake_store *f, const char *key, const char *value)
{
    size_t n = strlen(value);
    char *text = dw_zero(1, BASE64_ENCODE_RAW_LENGTH(n) + 1);

    base64_encode_raw(text, n, (const uint8_t *)value);
    f->rev++;
    put_item(f, key, text, 0);
    free(text);
}

void
fs_remove(struct fake_store *f, const char *key)
{
    f->rev++;
    delete_item(f, key);
}

/*
 * The value with the agent's port replaced by its proxy's, so that connections
 * of entries pass through the proxy.  An agent that reads its own key gets the
 * value as it wrote it.
 */
static json_t *
proxied_value(const struct fake_store *f, const struct item *it)
{
    char text[512] = "";
    char out[600];
    char encoded[900] = "";
    struct base64_decode_ctx ctx;
    char id[32];
    char addr[64];
    char rest[256];
    unsigned port;
    size_t n = 0;

    if (strncmp(it->key, "dunlinweir/a", 12) != 0 || strlen(it->value) > 600) {
        return json_string(it->value);
    }
    base64_decode_init(&ctx);
    base64_decode_update(
        &ctx, &n, (uint8_t *)text, strlen(it->value), it->value);
    text[n] = '\0';
    if (sscanf(text, "1 %31s %63s %u %255[^\n]", id, addr, &port, rest) != 4) {
        return json_string(it->value);
    }
    snprintf(out, sizeof(out), "1 %s %s %d %s", id, addr,
        (int)port + f->proxy_offset, rest);
    base64_encode_raw(encoded, strlen(out), (const uint8_t *)out);
    encoded[BASE64_ENCODE_RAW_LENGTH(strlen(out))] = '\0';
    return json_string(encoded);
}

static json_t *
item_json(const struct fake_store *f, const struct item *it, bool as_written)
{
    json_t *o = json_object();

    json_object_set_new(o, "key", json_string(it->key));
    json_object_set_new(o, "revision", json_integer((json_int_t)it->rev));
    if (it->deleted) {
        json_object_set_new(o, "tombstone", json_true());
        return o;
    }
    json_object_set_new(o, "value",
        as_written ? json_string(it->value) : proxied_value(f, it));
    json_object_set_new(
        o, "create_rev", json_integer((json_int_t)it->create_rev));
    json_object_set_new(o, "lease", json_integer((json_int_t)it->lease));
    return o;
}

/* --- requests --- */

static void
get_key(struct fake_store *f, struct web_req *r)
{
    const char *key = web_query(r, "key");
    struct item *it = key != NULL ? find_item(f, key) : NULL;
    json_t *o;

    if (it == NULL) {
        web_reply(r, 404, "application/json", STR("{}"), 0);
        return;
    }
    o = item_json(f, it, true);
    json_object_set_new(o, "current_rev", json_integer((json_int_t)f->rev));
    reply_json(r, 200, o);
}

static void
get_range(struct fake_store *f, struct web_req *r)
{
    const char *prefix = web_query(r, "prefix");
    json_t *rows = json_array();

    for (size_t i = 0; i < f->item_count; i++) {
        const struct item *it = &f->items[i];

        if (!it->deleted && strncmp(it->key, prefix, strlen(prefix)) == 0) {
            json_array_append_new(rows, item_json(f, it, false));
        }
    }
    reply_json(r, 200,
        json_pack("{s:o, s:b, s:I}", "items", rows, "more_pages", 0,
            "current_rev", (json_int_t)f->rev));
}

static bool
answer_watch(struct fake_store *f, const struct watch *w, bool even_if_empty)
{
    json_t *rows = json_array();
    size_t first =
        f->event_count > EVENTS_MAX ? f->event_count - EVENTS_MAX : 0;

    for (size_t i = first; i < f->event_count; i++) {
        const struct item *e = &f->events[i % EVENTS_MAX];

        if (e->rev > w->after &&
            strncmp(e->key, w->prefix, strlen(w->prefix)) == 0) {
            json_array_append_new(rows, item_json(f, e, false));
        }
    }
    if (json_array_size(rows) == 0 && !even_if_empty) {
        json_decref(rows);
        return false;
    }
    reply_json(w->r, 200,
        json_pack(
            "{s:o, s:I}", "events", rows, "current_rev", (json_int_t)f->rev));
    return true;
}

static void
start_watch(struct fake_store *f, struct web_req *r)
{
    struct watch w = {.r = r};

    str_copy(w.prefix, sizeof(w.prefix), str_of(web_query(r, "prefix")));
    w.after = strtoull(web_query(r, "after"), NULL, 10);
    w.until_ms = f->now + strtoull(web_query(r, "wait_ms"), NULL, 10);
    if (!answer_watch(f, &w, false)) {
        if (f->watch_count == WATCHES_MAX) {
            web_reply(r, 429, "application/json", STR("{}"), 0);
            return;
        }
        f->watches[f->watch_count++] = w;
    }
}

static void
run_txn(struct fake_store *f, struct web_req *r)
{
    struct str body = web_body(r);
    json_t *o = json_loadb(body.p, body.n, 0, NULL);
    size_t i;
    json_t *row;

    f->rev++;
    json_array_foreach (json_object_get(o, "puts"), i, row) {
        put_item(f, json_string_value(json_object_get(row, "key")),
            json_string_value(json_object_get(row, "value")),
            (uint64_t)json_integer_value(json_object_get(row, "lease")));
    }
    json_array_foreach (json_object_get(o, "remove"), i, row) {
        delete_item(f, json_string_value(row));
    }
    json_decref(o);
    reply_json(r, 200, json_pack("{s:I}", "revision", (json_int_t)f->rev));
}

static void
grant_lease(struct fake_store *f, struct web_req *r)
{
    struct str body = web_body(r);
    json_t *o = json_loadb(body.p, body.n, 0, NULL);
    struct lease *l = &f->leases[f->lease_count++ % LEASES_MAX];

    l->id = ++f->next_lease;
    l->ttl_ms = (uint64_t)json_integer_value(json_object_get(o, "ttl_ms"));
    l->ends_ms = f->now + l->ttl_ms;
    json_decref(o);
    reply_json(r, 200,
        json_pack("{s:I, s:I}", "lease", (json_int_t)l->id, "ttl_ms",
            (json_int_t)l->ttl_ms));
}

static void
renew_lease(struct fake_store *f, struct web_req *r, uint64_t id)
{
    for (size_t i = 0; i < LEASES_MAX; i++) {
        struct lease *l = &f->leases[i];

        if (l->id == id && l->ends_ms > f->now) {
            l->ends_ms = f->now + l->ttl_ms;
            web_reply(r, 200, "application/json", STR("{}"), 0);
            return;
        }
    }
    web_reply(r, 404, "application/json", STR("{}"), 0);
}

#define BASE "/dunlinweir/kv-"

static const struct {
    const char *path;
    void (*fn)(struct fake_store *f, struct web_req *r);
} calls[] = {
    {BASE "key", get_key},
    {BASE "range", get_range},
    {BASE "watch", start_watch},
    {BASE "txn", run_txn},
    {BASE "lease", grant_lease},
};

static void
on_request(void *ctx, struct web_req *r)
{
    struct fake_store *f = ctx;

    if (f->mode == STORE_SILENT && f->silent_count < WATCHES_MAX) {
        f->silent[f->silent_count++] = r;
        return;
    }
    if (f->mode != STORE_SERVES) {
        web_reply(r, 503, "application/json", STR("{}"), 0);
        return;
    }
    for (size_t i = 0; i < sizeof(calls) / sizeof(calls[0]); i++) {
        if (strcmp(web_path(r), calls[i].path) == 0) {
            calls[i].fn(f, r);
            return;
        }
    }
    if (strncmp(web_path(r), BASE "keep/", sizeof(BASE "keep/") - 1) == 0) {
        renew_lease(
            f, r, strtoull(web_path(r) + sizeof(BASE "keep/") - 1, NULL, 10));
        return;
    }
    web_reply(r, 404, "application/json", STR("{}"), 0);
}

static void
on_disconnect(void *ctx, struct web_req *r)
{
    struct fake_store *f = ctx;

    for (size_t i = 0; i < f->watch_count; i++) {
        if (f->watches[i].r == r) {
            f->watches[i] = f->watches[--f->watch_count];
            return;
        }
    }
    for (size_t i = 0; i < f->silent_count; i++) {
        if (f->silent[i] == r) {
            f->silent[i] = f->silent[--f->silent_count];
            return;
        }
    }
}

/* Requests held back are not carried out: they are refused when the mode
 * changes. */
static void
refuse_silent(struct fake_store *f)
{
    while (f->silent_count > 0) {
        struct web_req *r = f->silent[--f->silent_count];

        web_reply(r, 503, "application/json", STR("{}"), 0);
    }
}

void
fs_set_mode(struct fake_store *f, enum store_mode mode)
{
    f->mode = mode;
    if (mode != STORE_SILENT) {
        refuse_silent(f);
    }
}

static void
expire_leases(struct fake_store *f)
{
    for (size_t i = 0; i < LEASES_MAX; i++) {
        struct lease *l = &f->leases[i];

        if (l->id == 0 || l->ends_ms > f->now) {
            continue;
        }
        f->rev++;
        for (size_t k = 0; k < f->item_count; k++) {
            if (!f->items[k].deleted && f->items[k].lease == l->id) {
                delete_item(f, f->items[k].key);
            }
        }
        l->id = 0;
    }
}

void
fs_tick(struct fake_store *f, uint64_t now)
{
    f->now = now;
    if (f->mode != STORE_SERVES) {
        return;
    }
    expire_leases(f);
    for (size_t i = 0; i < f->watch_count;) {
        struct watch w = f->watches[i];

        if (answer_watch(f, &w, now >= w.until_ms)) {
            /* Sending the answer may have removed other watches. */
            for (size_t k = 0; k < f->watch_count; k++) {
                if (f->watches[k].r == w.r) {
                    f->watches[k] = f->watches[--f->watch_count];
                    break;
                }
            }
            i = 0;
            continue;
        }
        i++;
    }
}

struct fake_store *
fs_new(struct ev_loop *loop, uint16_t port, int32_t proxy_offset)
{
    struct fake_store *f = dw_zero(1, sizeof(*f));
    struct web_cfg cfg = {"127.0.0.1", port, {4000, 1 << 20, 120, 0, 0, 0}};
    struct err e = {""};

    f->rev = 1;
    f->proxy_offset = proxy_offset;
    if (web_open(&f->web, loop, &cfg, on_request, on_disconnect, f, &e) !=
        WEB_OK) {
        fprintf(stderr, "soak: %s\n", e.msg);
        exit(2);
    }
    return f;
}

void
fs_free(struct fake_store *f)
{
    while (f->watch_count > 0) {
        struct watch w = f->watches[--f->watch_count];

        web_reply(w.r, 503, "application/json", STR("{}"), 0);
    }
    refuse_silent(f);
    web_close(f->web);
    for (size_t i = 0; i < ITEMS_MAX; i++) {
        free(f->items[i].value);
    }
    for (size_t i = 0; i < EVENTS_MAX; i++) {
        free(f->events[i].value);
    }
    free(f);
}
