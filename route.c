#include "route.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

struct rt_route *
rt_add(struct rt_table *t)
{
    struct rt_route *r;

    t->routes = dw_grow(t->routes, (t->count + 1) * sizeof(*t->routes));
    r = &t->routes[t->count++];
    memset(r, 0, sizeof(*r));
    return r;
}

void
rt_free(struct rt_table *t)
{
    for (size_t i = 0; i < t->count; i++) {
        free(t->routes[i].name);
        free(t->routes[i].host);
        free(t->routes[i].prefix);
        free(t->routes[i].service);
    }
    free(t->routes);
    memset(t, 0, sizeof(*t));
}

bool
rt_adopt(struct rt_table *t, struct rt_table *fresh)
{
    if (fresh->version <= t->version) {
        rt_free(fresh);
        return false;
    }
    rt_free(t);
    *t = *fresh;
    memset(fresh, 0, sizeof(*fresh));
    return true;
}

static bool
host_is(const struct rt_route *r, struct str host)
{
    const char *colon = memchr(host.p, ':', host.n);
    size_t n = colon != NULL ? (size_t)(colon - host.p) : host.n;

    return strlen(r->host) == n && strncasecmp(r->host, host.p, n) == 0;
}

const struct rt_route *
rt_match(const struct rt_table *t, struct str host, struct str path)
{
    const struct rt_route *best = NULL;

    for (size_t i = 0; i < t->count; i++) {
        const struct rt_route *r = &t->routes[i];

        if (r->prefix_n <= path.n &&
            memcmp(r->prefix, path.p, r->prefix_n) == 0 &&
            (best == NULL || r->prefix_n > best->prefix_n) &&
            host_is(r, host)) {
            best = r;
        }
    }
    return best;
}
