#include "shares.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "num.h"
#include "str.h"

#define BUCKETS_PER_DOUBLING 8.0
/* Weight of the latest job in struct sh_work at which all are scaled. */
#define WEIGHT_MAX 1e6
/* A deficit is at most this many mean jobs of the route, so that a route whose
 * jobs fit nowhere for a while does not take all cores afterwards. */
#define DEFICIT_JOBS_MAX 8.0
/* Jobs of a route until its largest tenth is known. */
#define LARGE_JOBS_LEAST 20.0
/* Jobs after which outcomes count half. */
#define OUTCOME_HALF_JOBS 200.0
/* Large jobs go first below this multiple of their floor: outcomes are known
 * only when jobs end. */
#define LARGE_MARGIN 1.2
/* ms without a job after which a route does not count as one that competes. */
#define ROUTE_IDLE_MS 10000U
/* Steps of priority after which the weight is halved no more. */
#define PRIORITY_STEPS_MAX 16U

/* --- distribution of work --- */

static uint32_t
bucket_of(double work)
{
    return (uint32_t)fmin(
        BUCKETS_PER_DOUBLING * log2(fmax(work, 1)), SH_BUCKETS - 1);
}

/* Weights grow from job to job; before they get too large, all are scaled. */
static void
rescale(struct sh_work *w)
{
    for (uint32_t i = 0; i < SH_BUCKETS; i++) {
        w->count[i] /= w->weight;
    }
    w->total /= w->weight;
    w->weight = 1;
}

static void
record_work(struct sh_work *w, double work)
{
    w->weight = w->weight > 0 ? w->weight * exp2(1 / SH_HALF_JOBS) : 1;
    if (w->weight > WEIGHT_MAX) {
        rescale(w);
    }
    w->count[bucket_of(work)] += w->weight;
    w->total += w->weight;
    w->mean += (work - w->mean) * w->weight / w->total;
}

/* The quantile of work, interpolated within its bucket. */
static double
work_quantile(const struct sh_work *w, double quantile)
{
    double rest = quantile * w->total;
    uint32_t i = 0;

    while (i < SH_BUCKETS - 1 && rest > w->count[i]) {
        rest -= w->count[i++];
    }
    return exp2((i + rest / fmax(w->count[i], 1e-9)) / BUCKETS_PER_DOUBLING);
}

static bool
is_large(const struct sh_work *w, double work)
{
    return w->total >= LARGE_JOBS_LEAST * w->weight &&
           work > work_quantile(w, SH_LARGE_QUANTILE);
}

/* --- routes --- */

static struct sh_route *
add_route(struct sh_shares *s, const char *name)
{
    struct sh_route *r = NULL;

    for (uint32_t i = 0; i < s->route_count && r == NULL; i++) {
        r = s->routes[i].name[0] == '\0' ? &s->routes[i] : NULL;
    }
    if (r == NULL && s->route_count < SH_ROUTES_MAX) {
        r = &s->routes[s->route_count++];
    }
    if (r == NULL) {
        return &s->routes[SH_ROUTES_MAX - 1];
    }
    *r = (struct sh_route){0};
    str_copy(r->name, sizeof(r->name), str_of(name));
    return r;
}

static struct sh_route *
get_route(struct sh_shares *s, const char *name)
{
    for (uint32_t i = 0; i < s->route_count; i++) {
        if (strncmp(s->routes[i].name, name, SH_NAME_MAX - 1) == 0) {
            return &s->routes[i];
        }
    }
    return add_route(s, name);
}

struct sh_route *
sh_job_arrived(struct sh_shares *s, uint64_t now, const char *name,
    uint32_t priority, const struct es_objective *objective, double work,
    bool *large)
{
    struct sh_route *r = get_route(s, *name != '\0' ? name : "-");

    r->priority = priority;
    r->objective = *objective;
    r->removed = false;
    r->arrived_ms = now;
    r->jobs++;
    *large = is_large(&r->work, work);
    record_work(&r->work, work);
    return r;
}

static void
drop_if_unused(struct sh_route *r)
{
    if (r->removed && r->jobs == 0) {
        *r = (struct sh_route){0};
    }
}

static void
record_outcome(struct sh_outcomes *o, bool served)
{
    double keep = exp2(-1 / OUTCOME_HALF_JOBS);

    o->served = o->served * keep + served;
    o->ended = o->ended * keep + 1;
}

void
sh_job_ended(struct sh_shares *s, struct sh_route *r, bool large, bool served)
{
    r->jobs--;
    /* Without a lack of cores all jobs are served: these outcomes would hide
     * the ones under a lack. */
    if (s->sharing) {
        record_outcome(&r->all, served);
        if (large) {
            record_outcome(&r->large, served);
        }
    }
    drop_if_unused(r);
}

void
sh_remove_routes(struct sh_shares *s, sh_keep_fn keep, void *ctx)
{
    for (uint32_t i = 0; i < s->route_count; i++) {
        struct sh_route *r = &s->routes[i];

        if (r->name[0] != '\0' && !keep(ctx, r->name)) {
            r->removed = true;
            drop_if_unused(r);
        }
    }
}

/* --- lack of cores --- */

bool
sh_update(struct sh_shares *s, uint64_t now, bool waiting)
{
    uint32_t limit_ms = s->sharing ? SH_OFF_MS : SH_ON_MS;

    if (waiting != s->waiting) {
        s->waiting = waiting;
        s->changed_ms = now;
    }
    if (waiting == s->sharing || now - s->changed_ms < limit_ms) {
        return false;
    }
    s->sharing = waiting;
    s->stats.switches++;
    return true;
}

bool
sh_take_switch(struct sh_shares *s)
{
    bool changed = s->was_sharing != s->sharing;

    s->was_sharing = s->sharing;
    return changed;
}

static bool
competes(const struct sh_route *r, uint64_t now)
{
    return r->name[0] != '\0' &&
           (r->jobs > 0 || now - r->arrived_ms < ROUTE_IDLE_MS);
}

static bool
differ(const struct sh_route *a, const struct sh_route *b)
{
    return a->priority != b->priority ||
           a->objective.stretch_milli != b->objective.stretch_milli ||
           a->objective.slo_ms != b->objective.slo_ms;
}

bool
sh_applies(const struct sh_shares *s, uint64_t now)
{
    const struct sh_route *first = NULL;

    for (uint32_t i = 0; s->sharing && i < s->route_count; i++) {
        const struct sh_route *r = &s->routes[i];

        if (!competes(r, now)) {
            continue;
        }
        if (first != NULL && differ(first, r)) {
            return true;
        }
        first = first == NULL ? r : first;
    }
    return false;
}

/* --- shares --- */

/* Sums over the backlogged routes. */
struct totals {
    double weight;
    uint32_t routes;
    uint32_t priority; /* the first */
};

static double
weight_of(const struct sh_route *r, uint32_t first_priority)
{
    uint64_t steps = num_min(r->priority - first_priority, PRIORITY_STEPS_MAX);

    return exp2(-(double)steps);
}

static struct totals
get_totals(const struct sh_shares *s)
{
    struct totals t = {0, 0, UINT32_MAX};

    for (uint32_t i = 0; i < s->route_count; i++) {
        if (s->routes[i].backlogged) {
            t.priority = (uint32_t)num_min(t.priority, s->routes[i].priority);
            t.routes++;
        }
    }
    for (uint32_t i = 0; i < s->route_count; i++) {
        if (s->routes[i].backlogged) {
            t.weight += weight_of(&s->routes[i], t.priority);
        }
    }
    return t;
}

static double
share_of(const struct totals *t, const struct sh_route *r)
{
    return (1 - SH_EQUAL_PART) * weight_of(r, t->priority) / t->weight +
           SH_EQUAL_PART / t->routes;
}

double
sh_share(const struct sh_shares *s, const struct sh_route *r)
{
    struct totals t = get_totals(s);

    return r->backlogged ? share_of(&t, r) : 0;
}

double
sh_floor(const struct sh_shares *s)
{
    struct totals t = get_totals(s);

    return t.routes > 0 ? SH_EQUAL_PART / t.routes : 0;
}

/* --- order --- */

/* Work that must be dealt out to all routes, each by its share, until the
 * route may take this much. */
static double
work_until(double deficit, double share, double work)
{
    return fmax(0, (work - deficit) / share);
}

static double
bound_deficit(const struct sh_route *r, double deficit)
{
    double most = DEFICIT_JOBS_MAX * r->work.mean;

    return fmin(fmax(deficit, -most), most);
}

/* The state of a route while an order is made. */
struct cursor {
    struct sh_route *route;
    double share;
    double deficit; /* millicores x ms that it may still take */
    double served;  /* work taken */
    size_t large;   /* item to take by the floor for large jobs; item_count:
                     * none */
    size_t next[SH_LAST + 1]; /* first item not taken, by class */
};

struct ordering {
    struct cursor cursors[SH_ROUTES_MAX];
    uint32_t count;
    double served; /* by all routes */
    double floor;
    const struct sh_item *items;
    const bool *taken;
    size_t item_count;
};

static bool
is_large_due(const struct sh_route *r)
{
    const struct sh_outcomes *all = &r->all;
    const struct sh_outcomes *large = &r->large;

    return large->served * all->ended <
           LARGE_MARGIN * SH_LARGE_RATIO * all->served * large->ended;
}

/* The first item of the route in a class that is not taken; item_count:
 * none. */
static size_t
find_item(const struct ordering *o, struct cursor *u, enum sh_class cls)
{
    size_t i = u->next[cls];

    while (i < o->item_count && (o->taken[i] || o->items[i].cls != cls ||
                                    o->items[i].route != u->route)) {
        i++;
    }
    u->next[cls] = i;
    return i;
}

/* The first large item of the route that is on time, else its first late
 * one. */
static size_t
find_large_item(const struct ordering *o, const struct sh_route *r)
{
    for (size_t i = 0; i < o->item_count; i++) {
        const struct sh_item *item = &o->items[i];

        if (item->route == r && item->large &&
            (item->cls == SH_ON_TIME || item->cls == SH_LATE)) {
            return i;
        }
    }
    return o->item_count;
}

/* The item that the route would take next while jobs of a class are taken. */
static size_t
next_item(const struct ordering *o, struct cursor *u, enum sh_class cls,
    enum sh_turn *turn)
{
    size_t i;

    if (u->large < o->item_count) {
        *turn = SH_BY_LARGE_FLOOR;
        return u->large;
    }
    *turn = SH_BY_SHARE;
    i = find_item(o, u, cls);
    if (i == o->item_count && cls == SH_ON_TIME &&
        u->served < o->floor * o->served) {
        *turn = SH_BY_FLOOR;
        i = find_item(o, u, SH_LATE);
    }
    return i;
}

/* Deals out work to all routes and charges one of them. */
static void
charge(struct ordering *o, struct cursor *u, double work)
{
    double dealt = work_until(u->deficit, u->share, work);

    for (uint32_t k = 0; k < o->count; k++) {
        struct cursor *v = &o->cursors[k];

        v->deficit = bound_deficit(v->route, v->deficit + dealt * v->share);
    }
    u->deficit -= work;
    u->served += work;
    o->served += work;
}

/* Takes the next item of a class; item_count: none is left. */
static size_t
take_next(struct ordering *o, enum sh_class cls, enum sh_turn *turn)
{
    struct cursor *best = NULL;
    size_t best_item = o->item_count;
    double least = INFINITY;

    for (uint32_t k = 0; k < o->count; k++) {
        struct cursor *u = &o->cursors[k];
        enum sh_turn t;
        size_t i = next_item(o, u, cls, &t);
        double until;

        if (i == o->item_count) {
            continue;
        }
        until = work_until(u->deficit, u->share, o->items[i].work);
        if (until < least || (until <= least && i < best_item)) {
            best = u;
            best_item = i;
            least = until;
            *turn = t;
        }
    }
    if (best != NULL) {
        if (*turn == SH_BY_LARGE_FLOOR) {
            best->large = o->item_count;
        }
        charge(o, best, o->items[best_item].work);
    }
    return best_item;
}

static void
mark_backlogged(struct sh_shares *s, const struct sh_item *items, size_t count)
{
    for (uint32_t i = 0; i < s->route_count; i++) {
        s->routes[i].backlogged = false;
    }
    for (size_t i = 0; i < count; i++) {
        items[i].route->backlogged = true;
    }
}

static void
begin_ordering(struct ordering *o, struct sh_shares *s,
    const struct sh_item *items, const bool *taken, size_t count)
{
    struct totals t = get_totals(s);

    *o = (struct ordering){.items = items,
        .taken = taken,
        .item_count = count,
        .floor = sh_floor(s)};
    for (uint32_t i = 0; i < s->route_count; i++) {
        struct sh_route *r = &s->routes[i];

        if (r->backlogged) {
            o->cursors[o->count++] = (struct cursor){r, share_of(&t, r), 0, 0,
                is_large_due(r) ? find_large_item(o, r) : count, {0}};
        }
    }
}

void
sh_order(struct sh_shares *s, struct sh_item *items, size_t count)
{
    struct sh_item *out = dw_zero(count + 1, sizeof(*out));
    bool *taken = dw_zero(count + 1, sizeof(*taken));
    struct ordering o;
    size_t n = 0;

    mark_backlogged(s, items, count);
    begin_ordering(&o, s, items, taken, count);
    /* Jobs that have started have had their turn. */
    for (size_t i = 0; i < count; i++) {
        if (items[i].cls == SH_FIRST) {
            taken[i] = true;
            out[n++] = items[i];
        }
    }
    for (int cls = SH_ON_TIME; cls <= SH_LAST; cls++) {
        enum sh_turn turn = SH_BY_SHARE;
        size_t i;

        while ((i = take_next(&o, (enum sh_class)cls, &turn)) < count) {
            taken[i] = true;
            out[n] = items[i];
            out[n++].turn = turn;
        }
    }
    memcpy(items, out, n * sizeof(*items));
    free(taken);
    free(out);
}
