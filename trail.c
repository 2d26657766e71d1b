#include "trail.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define TEXT_MAX 160

struct trail_event {
    uint64_t wall_ms;
    uint64_t hash; /* of customer and key */
    char text[TEXT_MAX];
};

struct trail {
    struct trail_event *notes;
    size_t max;
    size_t next;  /* index of the next event */
    size_t count; /* events stored */
};

static uint64_t
submission_hash(struct str customer, struct str key)
{
    return str_hash(key, str_hash(customer, 0));
}

struct trail *
trail_new(size_t max)
{
    struct trail *t = dw_zero(1, sizeof(*t));

    t->max = max;
    t->notes = dw_zero(max, sizeof(t->notes[0]));
    return t;
}

void
trail_free(struct trail *t)
{
    free(t->notes);
    free(t);
}

void
trail_add(struct trail *t, uint64_t wall_ms, struct str customer,
    struct str key, struct str text)
{
    struct trail_event *n = &t->notes[t->next];

    n->wall_ms = wall_ms;
    n->hash = submission_hash(customer, key);
    str_copy(n->text, sizeof(n->text), text);
    t->next = (t->next + 1) % t->max;
    t->count += t->count < t->max;
}

void
trail_format(const struct trail *t, struct str customer, struct str key,
    struct buf *out)
{
    uint64_t hash = submission_hash(customer, key);
    size_t first = (t->next + t->max - t->count) % t->max;
    json_t *list = json_array();
    char *text;

    for (size_t i = 0; i < t->count; i++) {
        const struct trail_event *n = &t->notes[(first + i) % t->max];

        if (n->hash == hash) {
            json_array_append_new(
                list, json_pack("{s:I, s:s}", "ms", (json_int_t)n->wall_ms,
                          "text", n->text));
        }
    }
    text = json_dumps(list, JSON_COMPACT);
    buf_add(out, str_of(text));
    free(text);
    json_decref(list);
}
