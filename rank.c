#include "rank.h"

#include <stdlib.h>
#include <string.h>

#include "str.h"

void
rk_free(struct rk_table *t)
{
    struct rk_entry *e;
    struct rk_entry *tmp;

    HASH_ITER (hh, t->entries, e, tmp) {
        HASH_DEL(t->entries, e);
        free(e);
    }
}

void
rk_mark_present(struct rk_table *t, const char *name, const char *domain)
{
    struct rk_entry *e;

    HASH_FIND_STR(t->entries, name, e);
    if (e == NULL) {
        e = dw_zero(1, sizeof(*e));
        str_copy(e->name, sizeof(e->name), str_of(name));
        HASH_ADD_STR(t->entries, name, e);
    }
    str_copy(e->domain, sizeof(e->domain), str_of(domain));
    e->present = true;
}

void
rk_mark_absent(struct rk_table *t, uint64_t now, const char *name)
{
    struct rk_entry *e;

    for (e = t->entries; e != NULL; e = e->hh.next) {
        if (e->present && (name == NULL || strcmp(e->name, name) == 0)) {
            e->present = false;
            e->absent_since_ms = now;
        }
    }
}

struct rk_rank
rk_rank_of(
    struct rk_table *t, uint64_t now, const char *name, const char *domain)
{
    struct rk_rank rank = {0, 0};
    struct rk_entry *e;
    struct rk_entry *tmp;

    HASH_ITER (hh, t->entries, e, tmp) {
        if (!e->present && now - e->absent_since_ms > RK_KEEP_MS) {
            HASH_DEL(t->entries, e);
            free(e);
        }
        else if (strcmp(e->name, name) < 0) {
            rank.total++;
            rank.local += strcmp(e->domain, domain) == 0;
        }
    }
    return rank;
}
