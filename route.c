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
rt_replace(struct rt_table *t, struct rt_table *newer)
{
    if (newer->version <= t->version) {
        rt_free(newer);
        return false;
    }
    rt_free(t);
    *t = *newer;
    memset(newer, 0, sizeof(*newer));
    return true;
}

static bool
host_matches(const struct rt_route *r, struct str host)
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

        if (r->prefix_len <= path.n &&
            memcmp(r->prefix, path.p, r->prefix_len) == 0 &&
            (best == NULL || r->prefix_len > best->prefix_len) &&
            host_matches(r, host)) {
            best = r;
        }
    }
    return best;
}
