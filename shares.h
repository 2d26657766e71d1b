/*
 * shares - shares of the routes of a service while it lacks cores
 *
 * While jobs of a service wait for cores, ordering them by objective alone
 * lets a burst of one route delay all others, and favours short jobs.  Then
 * waiting jobs are ordered by weighted deficit round robin over the routes,
 * and the last ones are refused if they cannot be served in time.  The unit is
 * work (millicores x ms), so that wide or long jobs neither gain nor lose by
 * their size.
 *
 * - The weight of a route is halved with each step of priority; a part of the
 *   cores is divided equally, so that each route has a floor: sh_floor().
 * - Late jobs of a route that has less than its floor of the work ordered so
 *   far, and no jobs on time, are ordered among those on time of the others.
 * - The largest tenth of the jobs of a route is to be served at least
 *   SH_LARGE_RATIO times as often as its route; while it is not, its first
 *   large job is ordered before its other ones.
 * - The share of a route without waiting jobs goes to the others.
 *
 * Deficits are carried over within an order, not from one order to the next.
 * Carried over by placed work, they help the worst-served route, but more jobs
 * are refused in all and fewer served in time.
 * The outcomes of large jobs are kept in memory, and lost with a restart.
 *
 * Source: Shreedhar, Varghese: Efficient Fair Queuing Using Deficit Round
 * Robin, SIGCOMM 1995.
 */
#ifndef SHARES_H
#define SHARES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "estimate.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Routes of a service with a state of their own; further ones share the
 * last. */
#define SH_ROUTES_MAX 64U
#define SH_NAME_MAX 64
/* Part of the cores that is divided equally between the routes with waiting
 * jobs; the rest is divided by weight. */
#define SH_EQUAL_PART 0.5
/* ms for which jobs must wait without a break until sharing begins, and none
 * must wait until it ends. */
#define SH_ON_MS 100U
#define SH_OFF_MS 500U
/* Least fraction of the large jobs of a route that are served, relative to
 * that of all its jobs. */
#define SH_LARGE_RATIO (2.0 / 3)
/* Jobs above this quantile of their route's work are large. */
#define SH_LARGE_QUANTILE 0.9
/* Buckets of work, eight for each doubling from one millicore x ms: enough for
 * 1024 tasks of 100 cores and 10 minutes. */
#define SH_BUCKETS 320U

/* Work of the recent jobs of a route: a distribution that halves with every
 * SH_HALF_JOBS jobs, in bounded memory. */
#define SH_HALF_JOBS 1000.0
struct sh_work {
    double count[SH_BUCKETS]; /* jobs, each weighted by its recency */
    double total;             /* of count */
    double weight;            /* of the latest job */
    double mean;              /* millicores x ms */
};

/* Recent jobs that were served, and that ended at all, decaying. */
struct sh_outcomes {
    double served;
    double ended;
};

struct sh_route {
    char name[SH_NAME_MAX]; /* empty: unused */
    uint32_t priority;
    struct es_objective objective;
    uint32_t jobs; /* in progress */
    bool removed;  /* left the configuration; dropped with its last job */
    uint64_t arrived_ms; /* of the latest job */
    struct sh_work work;
    struct sh_outcomes all;
    struct sh_outcomes large;
    bool backlogged; /* had waiting jobs when last ordered */
};

struct sh_stats {
    uint64_t switches;   /* times that sharing began or ended */
    uint64_t floor_jobs; /* late jobs taken by the floor of their route */
    uint64_t large_jobs; /* taken by the floor for large jobs */
};

/* The routes of one service. */
struct sh_shares {
    struct sh_route routes[SH_ROUTES_MAX];
    uint32_t route_count; /* slots in use, including unused ones between */
    bool sharing;
    bool was_sharing;    /* at the last sh_take_switch() */
    uint64_t changed_ms; /* since when jobs wait, or none does */
    bool waiting;        /* jobs waited at the last update */
    struct sh_stats stats;
};

/* Order classes of waiting jobs; those of a class before are taken first. */
enum sh_class { SH_FIRST, SH_ON_TIME, SH_LATE, SH_LAST };

/* Why a job has its place in the order. */
enum sh_turn { SH_BY_SHARE, SH_BY_FLOOR, SH_BY_LARGE_FLOOR };

/* A waiting job. */
struct sh_item {
    void *job;
    struct sh_route *route;
    double work; /* of its waiting tasks, in millicores x ms */
    enum sh_class cls;
    bool large;
    enum sh_turn turn; /* filled in by sh_order() */
};

/* Notes whether jobs of the service wait for cores; true if sharing begins or
 * ends. */
bool sh_update(struct sh_shares *s, uint64_t now, bool waiting);
/* Sharing has begun or ended since the last call. */
bool sh_take_switch(struct sh_shares *s);
/* Sharing is in effect: the service lacks cores and has several routes with
 * different priorities or objectives. */
bool sh_applies(const struct sh_shares *s, uint64_t now);

/* Adds a job of a route.  *large tells whether it is one of the route's
 * largest tenth.  The result is valid until sh_job_ended(). */
struct sh_route *sh_job_arrived(struct sh_shares *s, uint64_t now,
    const char *name, uint32_t priority, const struct es_objective *objective,
    double work, bool *large);
void sh_job_ended(
    struct sh_shares *s, struct sh_route *r, bool large, bool served);
/* Removes the routes for which keep() is false, once their jobs have ended. */
typedef bool (*sh_keep_fn)(void *ctx, const char *name);
void sh_remove_routes(struct sh_shares *s, sh_keep_fn keep, void *ctx);

/* Puts the items, which are in the order of their classes and, within these,
 * of their objectives, into the order in which they are to be taken. */
void sh_order(struct sh_shares *s, struct sh_item *items, size_t count);
/* The part of the cores, 0 to 1, that a backlogged route gets if all
 * backlogged ones use theirs, and the least that it gets by any priority. */
double sh_share(const struct sh_shares *s, const struct sh_route *r);
double sh_floor(const struct sh_shares *s);

#ifdef __cplusplus
}
#endif

#endif
