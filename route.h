/*
 * route - which customer's queue a caller's request belongs to
 *
 * The operators' configuration, whole and of one version.  A newer one takes
 * its place at once; an older one never does.
 */
#ifndef ROUTE_H
#define ROUTE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "str.h"

#ifdef __cplusplus
extern "C" {
#endif

struct rt_route {
    char *name;
    char *host;
    char *prefix;
    size_t prefix_n;
    char *service;
    uint32_t timeout_ms;
    uint32_t slo_ms;        /* on top of the stretched work */
    uint32_t stretch_milli; /* thousandths of the longest chain of work */
    uint32_t priority;      /* 0 comes first */
    uint32_t attempts;      /* failed runs of a task, after which it fails */
};

struct rt_table {
    uint64_t version; /* 0: none yet */
    struct rt_route *routes;
    size_t count;
    uint32_t body_max;
};

/* Add an empty route. */
struct rt_route *rt_add(struct rt_table *t);
void rt_free(struct rt_table *t);
/* Take over a newer table; false, and fresh is freed, if it is not newer. */
bool rt_adopt(struct rt_table *t, struct rt_table *fresh);

/* Queries. */
/* The route with the longest prefix of the path at this host, NULL if none.
 * A port in host is ignored. */
const struct rt_route *rt_match(
    const struct rt_table *t, struct str host, struct str path);

#ifdef __cplusplus
}
#endif

#endif
