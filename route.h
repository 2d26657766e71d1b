/*
 * route - which customer's route a caller's request matches
 *
 * The table holds the operators' configuration, always complete and of one
 * version.  A newer version replaces it at once; an older one never does.
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
    char *host;             /* matched without regard to case */
    char *prefix;           /* of the path */
    size_t prefix_len;      /* bytes */
    char *service;          /* run by the workers that serve it */
    uint32_t timeout_ms;    /* read from the configuration, otherwise unused */
    uint32_t slo_ms;        /* objective: added to the stretched work */
    uint32_t stretch_milli; /* factor on the longest chain of work, in
                             * thousandths */
    uint32_t priority;      /* 0 comes first */
    uint32_t attempts;      /* failed runs of a task after which it fails */
};

struct rt_table {
    uint64_t version; /* 0: none yet */
    struct rt_route *routes;
    size_t count;
    uint32_t body_max; /* bytes of a request's body; 0: not limited here */
};

/* Adds an empty route, to be filled in by the caller. */
struct rt_route *rt_add(struct rt_table *t);
void rt_free(struct rt_table *t);
/* Replaces the table by a newer one, which is left empty; false, and newer is
 * freed, if its version is not higher. */
bool rt_replace(struct rt_table *t, struct rt_table *newer);

/* Queries. */
/* The route with the longest prefix of the path at this host, or NULL.  A port
 * in host is ignored. */
const struct rt_route *rt_match(
    const struct rt_table *t, struct str host, struct str path);

#ifdef __cplusplus
}
#endif

#endif
