#include "place.h"

#include <limits.h>
#include <stdlib.h>
#include <string.h>

/* Samples drawn, at most, until one has a host with a free slot. */
#define SAMPLE_ROUNDS 4
/* Hosts examined in one search for stale loads or for free slots. */
#define EXAMINED_MAX 64
/* A load older than this is requested again while tasks wait. */
#define LOAD_REFRESH_MS 100
/* Hosts examined for the failure rate of the fleet. */
#define FLEET_RATE_HOSTS 64

typedef struct place_host *(*pick_fn)(struct place *p, uint64_t now,
    const struct place_need *need, uint64_t avoid);

void
place_init(struct place *p, const struct place_cfg *cfg, uint64_t seed)
{
    memset(p, 0, sizeof(*p));
    p->cfg = *cfg;
    p->rng_state = seed;
}

static void
remove_host(struct place *p, struct place_host *h)
{
    HASH_DEL(p->hosts, h);
    free(h);
}

void
place_free(struct place *p)
{
    struct place_host *h;
    struct place_host *tmp;

    HASH_ITER (hh, p->hosts, h, tmp) {
        remove_host(p, h);
    }
    free(p->in_service);
    p->in_service = NULL;
}

static struct place_host *
find_host(const struct place *p, uint64_t id)
{
    struct place_host *h;

    HASH_FIND(hh, p->hosts, &id, sizeof(id), h);
    return h;
}

static void
sync_member(struct place *p, const struct view *v, const struct mbr *m,
    const struct view_member *vm)
{
    const struct mbr_peer *peer = mbr_peer(m, vm->id);
    struct place_host *h = find_host(p, vm->id);

    if (h == NULL) {
        h = dw_zero(1, sizeof(*h));
        h->id = vm->id;
        HASH_ADD(hh, p->hosts, id, sizeof(h->id), h);
    }
    if (!h->have_load) {
        h->load.slots = vm->slots;
        h->load.serving = true;
    }
    if (!h->have_load && peer != NULL && peer->have_load) {
        h->load = peer->load;
        h->load_ms = peer->heard_ms;
        h->have_load = true;
    }
    str_copy(h->rack, sizeof(h->rack), str_of(vm->rack));
    h->in_service = mbr_state(m, vm->id) == DW_M_ALIVE && !vm->leaving &&
                    view_domain_in_service(v, vm->domain);
}

void
place_sync_members(struct place *p, const struct view *v, const struct mbr *m)
{
    const struct view_member *vm;
    struct place_host *h;
    struct place_host *tmp;
    size_t n = 0;

    HASH_ITER (hh, p->hosts, h, tmp) {
        if (view_member(v, h->id) == NULL) {
            remove_host(p, h);
        }
    }
    for (vm = v->members; vm != NULL; vm = vm->hh.next) {
        if (vm->role == VIEW_AGENT) {
            sync_member(p, v, m, vm);
        }
    }
    p->in_service = dw_grow(
        p->in_service, HASH_COUNT(p->hosts) * sizeof(p->in_service[0]));
    for (h = p->hosts; h != NULL; h = h->hh.next) {
        if (h->in_service) {
            h->index = (uint32_t)n;
            p->in_service[n++] = h;
        }
    }
    p->count = n;
}

/*
 * A worker that fails every task is always idle and would attract all work.
 * The threshold depends on the fleet's failure rate, so that a customer whose
 * tasks fail everywhere puts no host on probation.
 */
static bool
far_above_fleet(const struct place *p, const struct place_host *h)
{
    uint64_t sum = 0;
    uint64_t n = 0;

    for (size_t i = 0; i < p->count && n < FLEET_RATE_HOSTS; i++) {
        if (p->in_service[i] != h && p->in_service[i]->have_load) {
            sum += p->in_service[i]->load.error_permille;
            n++;
        }
    }
    return n > 0 && h->load.error_permille >= p->cfg.probation_permille &&
           h->load.error_permille > 2 * (sum / n) + 100;
}

static void
update_probation(struct place *p, uint64_t now, struct place_host *h)
{
    if (!far_above_fleet(p, h)) {
        h->probation_ms = 0;
        h->probation_until_ms = 0;
        h->probing = false;
        return;
    }
    if (h->probation_until_ms > now) {
        return;
    }
    h->probation_ms =
        h->probation_ms == 0 ? p->cfg.probation_min_ms : 2 * h->probation_ms;
    if (h->probation_ms > p->cfg.probation_max_ms) {
        h->probation_ms = p->cfg.probation_max_ms;
    }
    h->probation_until_ms = now + h->probation_ms;
    h->probing = true;
}

void
place_set_load(struct place *p, uint64_t now, uint64_t id, const dw_load *load)
{
    struct place_host *h = find_host(p, id);

    if (h == NULL) {
        return;
    }
    h->load = *load;
    h->load_ms = now;
    h->have_load = true;
    update_probation(p, now, h);
}

static int32_t
free_slots(const struct place *p, uint64_t now, const struct place_host *h)
{
    int32_t used = (int32_t)h->load.busy + (int32_t)h->load.queued;

    uint64_t age = now - h->load_ms;
    uint64_t drained = 2 * (uint64_t)p->mean_run_ms;

    /* The tasks of an old load may have ended by now, sooner the shorter tasks
     * are.  Used unchanged, an old load would leave slots idle; ignored, hosts
     * with long tasks would be overloaded. */
    if (age > p->cfg.stale_ms) {
        used = age < drained
                   ? used * (int32_t)(drained - age) / (int32_t)drained
                   : 0;
    }
    return (int32_t)h->load.slots - used - (int32_t)h->offered;
}

/* The host's total size, not its free part. */
static bool
is_large_enough(const struct place_host *h, const struct place_need *need)
{
    return !h->have_load || (h->load.millicores >= need->millicores &&
                                h->load.memory_mb >= need->memory_mb);
}

static bool
usable(const struct place *p, uint64_t now, const struct place_host *h,
    const struct place_need *need)
{
    if (!h->in_service || !h->load.serving || !is_large_enough(h, need)) {
        return false;
    }
    if (h->probation_until_ms > now || (h->probing && h->offered > 0)) {
        return false;
    }
    if (need->guaranteed) {
        /* The host starts it before other customers' queued tasks. */
        return h->offered < h->load.slots;
    }
    return free_slots(p, now, h) + (int32_t)p->cfg.queue_allow > 0;
}

/* Higher is better; INT_MIN if the host cannot take the task now. */
static int32_t
score(const struct place *p, uint64_t now, const struct place_host *h,
    const struct place_need *need, uint64_t avoid)
{
    int32_t n;

    if (!usable(p, now, h, need)) {
        return INT_MIN;
    }
    n = free_slots(p, now, h) * 2;
    if (h->have_load && (h->load.free_millicores < need->millicores ||
                            h->load.free_memory_mb < need->memory_mb)) {
        n -= (int32_t)h->load.slots;
    }
    if (h->id == avoid) {
        /* Ranked after every host with a free slot, before every full one. */
        n = n > 0 ? 0 : n - 1;
    }
    return n;
}

static uint64_t
next_random(struct place *p)
{
    p->rng_state = mix64(p->rng_state, 2);
    return p->rng_state;
}

static struct place_host *
scan(struct place *p, uint64_t now, const struct place_need *need,
    uint64_t avoid)
{
    struct place_host *best = NULL;
    int32_t best_score = INT_MIN;
    size_t start = p->count > 0 ? next_random(p) % p->count : 0;

    for (size_t i = 0; i < p->count; i++) {
        struct place_host *h = p->in_service[(start + i) % p->count];
        int32_t s = score(p, now, h, need, avoid);

        if (s > best_score) {
            best = h;
            best_score = s;
        }
    }
    return best;
}

static struct place_host *
sample(struct place *p, uint64_t now, const struct place_need *need,
    uint64_t avoid)
{
    struct place_host *best = NULL;
    int32_t best_score = INT_MIN;

    for (uint32_t i = 0; i < p->cfg.sample * SAMPLE_ROUNDS; i++) {
        struct place_host *h = p->in_service[next_random(p) % p->count];
        int32_t s = score(p, now, h, need, avoid);

        if (s > best_score) {
            best = h;
            best_score = s;
        }
        if (i + 1 >= p->cfg.sample && best_score > 0) {
            break;
        }
    }
    return best;
}

static struct place_host *
pick_most_free(struct place *p, uint64_t now, const struct place_need *need,
    uint64_t avoid)
{
    return p->count <= p->cfg.scan_max ? scan(p, now, need, avoid)
                                       : sample(p, now, need, avoid);
}

static struct place_host *
next_usable(
    struct place *p, uint64_t now, const struct place_need *need, size_t start)
{
    for (size_t i = 0; i < p->count; i++) {
        struct place_host *h = p->in_service[(start + i) % p->count];

        if (usable(p, now, h, need)) {
            return h;
        }
    }
    return NULL;
}

static struct place_host *
pick_random(struct place *p, uint64_t now, const struct place_need *need,
    uint64_t avoid)
{
    (void)avoid;
    return next_usable(p, now, need, next_random(p) % p->count);
}

static struct place_host *
pick_round_robin(struct place *p, uint64_t now, const struct place_need *need,
    uint64_t avoid)
{
    (void)avoid;
    return next_usable(p, now, need, p->next_index++ % p->count);
}

static const pick_fn pickers[] = {
    [PLACE_MOST_FREE] = pick_most_free,
    [PLACE_RANDOM] = pick_random,
    [PLACE_ROUND_ROBIN] = pick_round_robin,
};

uint64_t
place_pick(struct place *p, uint64_t now, const struct place_need *need,
    uint64_t avoid)
{
    struct place_host *h;

    if (p->count == 0) {
        return 0;
    }
    h = pickers[p->cfg.policy](p, now, need, avoid);
    if (h == NULL) {
        return 0;
    }
    h->offered++;
    return h->id;
}

void
place_offer_settled(struct place *p, uint64_t id, uint32_t n)
{
    struct place_host *h = find_host(p, id);

    if (h != NULL) {
        h->offered = h->offered > n ? h->offered - n : 0;
    }
}

void
place_task_ended(struct place *p, uint32_t ms)
{
    p->mean_run_ms =
        p->mean_run_ms == 0 ? ms : (7 * (p->mean_run_ms / 8) + ms / 8);
}

size_t
place_stale_hosts(struct place *p, uint64_t now, uint64_t *ids, size_t max)
{
    size_t start = p->count > 0 ? next_random(p) % p->count : 0;
    size_t n = 0;

    for (size_t i = 0; i < p->count && i < EXAMINED_MAX && n < max; i++) {
        const struct place_host *h = p->in_service[(start + i) % p->count];

        if (now - h->load_ms > LOAD_REFRESH_MS) {
            ids[n++] = h->id;
        }
    }
    return n;
}

/* Older loads are of little use to the receiver and are not sent. */
#define HINT_MAX_AGE_MS 300

void
place_fill_hints(struct place *p, uint64_t now, uint64_t to, dw_hints *hints)
{
    size_t start = p->count > 0 ? next_random(p) % p->count : 0;
    u_int n = 0;

    if (p->cfg.hints == 0) {
        return;
    }
    hints->dw_hints_val = dw_zero(p->cfg.hints, sizeof(dw_hint));
    for (size_t i = 0; i < p->count && n < p->cfg.hints; i++) {
        const struct place_host *h = p->in_service[(start + i) % p->count];
        dw_hint *o = &hints->dw_hints_val[n];

        if (h->id == to || !h->have_load ||
            now - h->load_ms > HINT_MAX_AGE_MS) {
            continue;
        }
        o->id = h->id;
        o->used = h->load.busy + h->load.queued;
        o->age_ms = (u_int)(now - h->load_ms);
        n++;
    }
    hints->dw_hints_len = n;
}

void
place_apply_hints(struct place *p, uint64_t now, const dw_hints *hints)
{
    for (u_int i = 0; i < hints->dw_hints_len; i++) {
        const dw_hint *hint = &hints->dw_hints_val[i];
        struct place_host *h = find_host(p, hint->id);

        if (h == NULL || !h->have_load || now < hint->age_ms ||
            now - hint->age_ms <= h->load_ms) {
            continue;
        }
        h->load.busy = hint->used < h->load.slots ? hint->used : h->load.slots;
        h->load.queued = hint->used - h->load.busy;
        h->load_ms = now - hint->age_ms;
    }
}

bool
place_never_fits(const struct place *p, const struct place_need *need)
{
    for (size_t i = 0; i < p->count; i++) {
        if (is_large_enough(p->in_service[i], need)) {
            return false;
        }
    }
    return p->count > 0;
}

bool
place_in_service(const struct place *p, uint64_t id)
{
    const struct place_host *h = find_host(p, id);

    return h != NULL && h->in_service;
}

int32_t
place_free_slots(const struct place *p, uint64_t now, uint64_t id)
{
    const struct place_host *h = find_host(p, id);

    return h != NULL ? free_slots(p, now, h) : 0;
}

bool
place_should_move(struct place *p, uint64_t now, uint64_t queued_at)
{
    size_t n = p->count < EXAMINED_MAX ? p->count : EXAMINED_MAX;
    uint64_t queued = 1;
    uint64_t free_elsewhere = 0;

    for (size_t i = 0; i < n; i++) {
        const struct place_host *h = p->in_service[i];
        int32_t slots = free_slots(p, now, h);

        if (!h->have_load || now - h->load_ms > p->cfg.stale_ms) {
            continue;
        }
        queued += h->load.queued;
        if (h->id != queued_at && h->load.serving &&
            h->probation_until_ms <= now && slots > 0) {
            free_elsewhere += (uint64_t)slots;
        }
    }
    return next_random(p) % queued < free_elsewhere;
}

uint32_t
place_total_slots(const struct place *p)
{
    uint32_t n = 0;

    for (size_t i = 0; i < p->count; i++) {
        n += p->in_service[i]->load.slots;
    }
    return n;
}
