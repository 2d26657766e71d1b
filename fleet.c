#include "fleet.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "num.h"
#include "runner.h"
#include "str.h"

/*
 * A worker that fails PROBATION_PERMILLE of its runs is put on probation: it
 * gets one run at a time.  From UNRELIABLE_PERMILLE on it is still useful when
 * healthy workers are full, but is picked last and gets only tasks that have
 * not failed yet, as their attempts are limited.  Faulty tasks fail on every
 * worker, so a worker only counts as unreliable if its share also exceeds
 * UNRELIABLE_FACTOR times the mean.
 */
#define PROBATION_PERMILLE 750U
#define UNRELIABLE_PERMILLE 150U
#define UNRELIABLE_FACTOR 2U
/* A worker at this percentage of the median speed, or below, is slow.  Healthy
 * machines differ by 0.8 to 1.25; slow ones take four to eight times as long.
 */
#define SLOW_PERCENT 40U
/* ms between single runs that probe an idle slow worker. */
#define PROBE_INTERVAL_MS 500U
/* ms of the first probation, which doubles up to the maximum. */
#define PROBATION_MIN_MS 500U
#define PROBATION_MAX_MS 4000U

void
fl_init(struct fleet *f, uint64_t seed, const char *domain)
{
    *f = (struct fleet){0};
    f->seed = seed;
    f->median_speed_permille = 1000;
    str_copy(f->domain, sizeof(f->domain), str_of(domain));
}

struct fl_agent *
fl_find(struct fleet *f, uint64_t id)
{
    struct fl_agent *a;

    HASH_FIND(hh, f->agents, &id, sizeof(id), a);
    return a;
}

struct fl_agent *
fl_add(struct fleet *f, uint64_t id, const char *name, const char *domain,
    const char *service)
{
    struct fl_agent *a = fl_find(f, id);

    if (a == NULL) {
        a = dw_zero(1, sizeof(*a));
        a->id = id;
        sess_init(&a->sess);
        HASH_ADD(hh, f->agents, id, sizeof(a->id), a);
    }
    str_copy(a->name, sizeof(a->name), str_of(name));
    str_copy(a->domain, sizeof(a->domain), str_of(domain));
    str_copy(a->service, sizeof(a->service), str_of(service));
    return a;
}

static void
drop_pending(struct fl_agent *a, uint64_t acked_seq)
{
    while (a->pending != NULL && a->pending->seq <= acked_seq) {
        struct fl_pending *p = a->pending;

        a->pending = p->next;
        free(p);
    }
}

void
fl_close(struct fl_agent *a)
{
    drop_pending(a, UINT64_MAX);
    msg_free(a->batch);
    a->batch = NULL;
    a->batch_millicores = a->batch_memory_mb = a->batch_gpus = 0;
    a->session_open = false;
    a->demand = (dw_want){0, 0, 0, 0};
    a->active_runs = 0;
    a->tail = (struct tl_worker){0};
    memset(&a->status, 0, sizeof(a->status));
    sess_end(&a->sess);
}

void
fl_remove(struct fleet *f, struct fl_agent *a)
{
    fl_close(a);
    assert(f->agents != NULL);
    HASH_DEL(f->agents, a);
    free(a);
}

void
fl_free(struct fleet *f)
{
    struct fl_agent *a;
    struct fl_agent *tmp;

    HASH_ITER (hh, f->agents, a, tmp) {
        fl_remove(f, a);
    }
}

void
fl_set_withdrawn(struct fleet *f, const char *const *domains, size_t n)
{
    struct fl_agent *a;

    for (a = f->agents; a != NULL; a = a->hh.next) {
        a->withdrawn = false;
        for (size_t i = 0; i < n; i++) {
            a->withdrawn |= strcmp(a->domain, domains[i]) == 0;
        }
    }
}

/* --- selection of agents to keep sessions with --- */

/* To be selected only if there are not enough others. */
static bool
is_last_resort(const struct fl_agent *a, uint64_t now)
{
    return a->withdrawn || a->status.draining ||
           (!a->session_open && a->selected_ms != 0 &&
               now - a->selected_ms > FL_NO_REPLY_MS);
}

struct candidate {
    struct fl_agent *agent;
    bool last_resort;
    bool local;         /* in the entry's own failure domain */
    uint64_t name_hash; /* unlike the id, survives a restart */
};

/* The same in all entries, so that they order agents alike. */
#define NAME_HASH_SEED 0x6167656e74U

/* By service, local agents first.  last_resort is not compared: one worker
 * that drains would change the positions of all others. */
static int
compare_candidates(const void *a, const void *b)
{
    const struct candidate *x = a;
    const struct candidate *y = b;
    int order = strcmp(x->agent->service, y->agent->service);

    if (order != 0) {
        return order;
    }
    if (x->local != y->local) {
        return x->local ? -1 : 1;
    }
    if (x->name_hash != y->name_hash) {
        return x->name_hash < y->name_hash ? -1 : 1;
    }
    return (x->agent->id > y->agent->id) - (x->agent->id < y->agent->id);
}

/* Selects up to max of n, starting where the selection of the entry with the
 * preceding rank ends, so that all agents are selected about equally often.
 * Returns the number selected. */
static size_t
select_from(
    struct candidate *c, size_t n, uint32_t rank, size_t max, bool last_resort)
{
    size_t at = n > 0 ? (size_t)rank * FL_LOCAL_MAX % n : 0;
    size_t selected = 0;

    for (size_t k = 0; k < n && selected < max; k++) {
        if (!c[at].agent->selected && (last_resort || !c[at].last_resort)) {
            c[at].agent->selected = true;
            selected++;
        }
        at = at + 1 < n ? at + 1 : 0;
    }
    return selected;
}

static void
update_selected_ms(struct fl_agent *a, uint64_t now)
{
    if (now - a->selected_ms > FL_RETRY_MS || a->session_open) {
        a->selected_ms = 0;
    }
    if (a->selected && a->selected_ms == 0) {
        a->selected_ms = now;
    }
}

/* Selects among the agents of one service, sorted by compare_candidates(). */
static void
select_for_service(
    struct fleet *f, uint64_t now, struct candidate *c, size_t n)
{
    size_t local = 0;
    size_t selected;

    for (size_t i = 0; i < n; i++) {
        c[i].agent->selected = false;
        local += c[i].local;
    }
    selected = select_from(c, local, f->local_rank, FL_LOCAL_MAX, false);
    selected += select_from(
        c + local, n - local, f->rank, FL_SELECTED_MAX - selected, false);
    /* A shortage of remote agents is made up by local ones, and any shortage
     * by agents of last resort. */
    selected += select_from(
        c, local, f->local_rank, FL_SELECTED_MAX - selected, false);
    select_from(c, n, f->rank, FL_SELECTED_MAX - selected, true);
    for (size_t i = 0; i < n; i++) {
        update_selected_ms(c[i].agent, now);
    }
}

void
fl_set_rank(struct fleet *f, uint32_t local_rank, uint32_t rank)
{
    f->local_rank = local_rank;
    f->rank = rank;
}

void
fl_select(struct fleet *f, uint64_t now)
{
    size_t count = HASH_COUNT(f->agents);
    struct candidate *c;
    struct fl_agent *a;
    size_t n = 0;
    size_t first = 0;

    f->all_selected = count <= FL_SELECTED_MAX || now < f->select_all_until_ms;
    if (f->all_selected) {
        for (a = f->agents; a != NULL; a = a->hh.next) {
            a->selected = true;
        }
        return;
    }
    if (f->selected_ms != 0 && now - f->selected_ms < FL_SELECT_INTERVAL_MS) {
        return;
    }
    f->selected_ms = now;
    c = dw_zero(count, sizeof(*c));
    for (a = f->agents; a != NULL; a = a->hh.next) {
        c[n++] = (struct candidate){a, is_last_resort(a, now),
            strcmp(a->domain, f->domain) == 0,
            str_hash(str_of(a->name), NAME_HASH_SEED)};
    }
    qsort(c, n, sizeof(*c), compare_candidates);
    for (size_t i = 1; i <= n; i++) {
        if (i == n ||
            strcmp(c[i].agent->service, c[first].agent->service) != 0) {
            select_for_service(f, now, c + first, i - first);
            first = i;
        }
    }
    free(c);
}

bool
fl_select_all(struct fleet *f, uint64_t now)
{
    if (f->all_selected) {
        return false;
    }
    f->select_all_until_ms = now + FL_SELECT_ALL_MS;
    return true;
}

void
fl_deselect(struct fl_agent *a, uint64_t now)
{
    /* Not selected again for FL_RETRY_MS - FL_NO_REPLY_MS: it would still be
     * draining, and the session would be closed and opened repeatedly. */
    if (a->status.draining) {
        a->selected_ms = now - FL_NO_REPLY_MS - 1;
    }
    else if (a->session_open) {
        a->selected_ms = 0;
    }
    fl_close(a);
}

bool
fl_is_idle(const struct fl_agent *a)
{
    return a->active_runs == 0 && a->batch == NULL && a->sess.head == NULL;
}

void
fl_open(struct fleet *f, uint64_t now, struct fl_agent *a)
{
    /* Numbers rise, so that an agent can tell a new session from a message of
     * an earlier one; the random bits keep the numbers of entries apart. */
    f->seed = mix64(f->seed, now);
    sess_begin(&a->sess, (now << 16) | (f->seed & 0xffff));
    a->opened_ms = now;
}

/* Reported free capacity less all orders that the report does not cover. */
static void
compute_free(struct fl_agent *a)
{
    const struct fl_pending *p;

    a->free_millicores =
        a->status.free_millicores - (int64_t)a->batch_millicores;
    a->free_memory_mb = a->status.free_memory_mb - (int64_t)a->batch_memory_mb;
    a->free_gpus = a->status.free_gpus - (int64_t)a->batch_gpus;
    for (p = a->pending; p != NULL; p = p->next) {
        a->free_millicores -= p->millicores;
        a->free_memory_mb -= p->memory_mb;
        a->free_gpus -= p->gpus;
    }
}

void
fl_update_status(struct fl_agent *a, uint64_t ack, const dw_room *status)
{
    a->status = *status;
    drop_pending(a, ack);
    compute_free(a);
}

void
fl_reserve(struct fl_agent *a, uint64_t now, const struct fl_requirements *req)
{
    a->batch_millicores += req->millicores;
    a->batch_memory_mb += req->memory_mb;
    a->batch_gpus += req->gpus;
    a->active_runs++;
    a->run_sent_ms = now;
    compute_free(a);
}

void
fl_batch_sent(struct fl_agent *a, uint64_t seq)
{
    struct fl_pending *p = dw_zero(1, sizeof(*p));
    struct fl_pending **at = &a->pending;

    p->seq = seq;
    p->millicores = (int64_t)a->batch_millicores;
    p->memory_mb = (int64_t)a->batch_memory_mb;
    p->gpus = (int64_t)a->batch_gpus;
    a->batch_millicores = a->batch_memory_mb = a->batch_gpus = 0;
    while (*at != NULL) {
        at = &(*at)->next;
    }
    *at = p;
}

void
fl_run_ended(struct fl_agent *a, uint64_t now, dw_end outcome)
{
    if (a->active_runs > 0) {
        a->active_runs--;
    }
    if (outcome != DW_END_DONE && outcome != DW_END_FAILED) {
        return;
    }
    a->fail_permille =
        rn_fail_average(a->fail_permille, outcome == DW_END_FAILED);
    if (outcome == DW_END_DONE) {
        a->probation_ms = 0;
        a->probation_until_ms = 0;
    }
    else if (a->fail_permille >= PROBATION_PERMILLE &&
             a->probation_until_ms <= now) {
        a->probation_ms = (uint32_t)num_min(
            a->probation_ms == 0 ? PROBATION_MIN_MS : 2 * a->probation_ms,
            PROBATION_MAX_MS);
        a->probation_until_ms = now + a->probation_ms;
    }
}

bool
fl_is_usable(const struct fl_agent *a, uint64_t now)
{
    return a->session_open && sess_live(&a->sess, now) && a->status.serving &&
           !a->status.draining && !a->withdrawn;
}

static bool
has_free_capacity(const struct fl_agent *a, const struct fl_requirements *req)
{
    return a->free_millicores >= (int64_t)req->millicores &&
           a->free_memory_mb >= (int64_t)req->memory_mb &&
           a->free_gpus >= (int64_t)req->gpus;
}

/* Permille of recent runs there that failed: this entry's, or all entries' as
 * reported by the agent. */
static uint32_t
fail_share(const struct fl_agent *a)
{
    return (uint32_t)num_max(a->fail_permille, a->status.fail_permille);
}

/* A worker on probation gets one run at a time. */
static bool
on_probation(const struct fl_agent *a, uint64_t now)
{
    if (a->probation_until_ms > now ||
        (a->probation_ms > 0 && a->active_runs > 0)) {
        return true;
    }
    /* It failed runs of other entries: each entry probes it separately. */
    return a->status.fail_permille >= PROBATION_PERMILLE &&
           (a->active_runs > 0 || now - a->run_sent_ms < PROBATION_MIN_MS);
}

static void
update_mean_failures(struct fleet *f, uint64_t now)
{
    const struct fl_agent *a;
    uint64_t sum = 0;
    uint64_t n = 0;

    for (a = f->agents; a != NULL; a = a->hh.next) {
        if (fl_is_usable(a, now)) {
            sum += fail_share(a);
            n++;
        }
    }
    f->mean_fail_permille = n > 0 ? (uint32_t)(sum / n) : 0;
}

static bool
is_unreliable(const struct fleet *f, const struct fl_agent *a)
{
    return fail_share(a) >= UNRELIABLE_PERMILLE &&
           fail_share(a) > UNRELIABLE_FACTOR * f->mean_fail_permille;
}

/* Exceeds what speed and free cores can add to a score. */
#define UNRELIABLE_PENALTY 5.0

/* Speed counts most, then the free share; the random part keeps entries from
 * picking the same worker at the same moment. */
static double
score(struct fleet *f, const struct fl_agent *a)
{
    double free_part =
        (double)a->free_millicores / (double)num_max(a->status.millicores, 1);
    uint32_t speed =
        fl_is_slow(f, a) ? a->status.pace_permille : a->status.speed_permille;
    double random_part;

    f->seed = mix64(f->seed, a->id);
    random_part = (double)(f->seed & 0xff) / 256.0;
    return (double)speed / 1000.0 + 0.5 * free_part + 0.1 * random_part -
           (is_unreliable(f, a) ? UNRELIABLE_PENALTY : 0.0);
}

static int
compare_uint32(const void *a, const void *b)
{
    uint32_t x = *(const uint32_t *)a;
    uint32_t y = *(const uint32_t *)b;

    return (x > y) - (x < y);
}

/* Workers sampled for the median; more would hardly change it. */
#define MEDIAN_MAX 128U

static void
update_median_speed(struct fleet *f, uint64_t now)
{
    const struct fl_agent *a;
    uint32_t speeds[MEDIAN_MAX];
    size_t n = 0;

    for (a = f->agents; a != NULL && n < MEDIAN_MAX; a = a->hh.next) {
        if (fl_is_usable(a, now)) {
            speeds[n++] = a->status.speed_permille;
        }
    }
    qsort(speeds, n, sizeof(speeds[0]), compare_uint32);
    f->median_speed_permille = n > 0 ? speeds[n / 2] : 1000;
}

void
fl_update_stats(struct fleet *f, uint64_t now)
{
    update_median_speed(f, now);
    update_mean_failures(f, now);
}

bool
fl_is_slow(const struct fleet *f, const struct fl_agent *a)
{
    return (uint64_t)a->status.pace_permille * 100 <=
               (uint64_t)f->median_speed_permille * SLOW_PERCENT &&
           (!f->slow_by_evidence || a->tail.suspect);
}

/*
 * While some workers are slow, the others are full and only the slow ones have
 * free capacity.  Waiting for a fast worker is worthwhile as long as the wait
 * is shorter than the extra time that the run takes on the slow one.
 */
static bool
should_wait(const struct fleet *f, const struct fl_agent *a, uint64_t now,
    const struct fl_requirements *req)
{
    uint64_t slow_run_ms =
        (uint64_t)req->est_ms * 1000 / num_max(a->status.pace_permille, 1);
    uint64_t usual_ms =
        (uint64_t)req->est_ms * 1000 / num_max(f->median_speed_permille, 1);

    if (!fl_is_slow(f, a)) {
        return false;
    }
    if (!req->fast_only && a->active_runs == 0 &&
        now - a->run_sent_ms >= PROBE_INTERVAL_MS) {
        return false; /* a probe: only a run can show that it has recovered */
    }
    return req->fast_only || req->waited_ms < slow_run_ms - usual_ms;
}

static bool
is_eligible(const struct fleet *f, const struct fl_agent *a, uint64_t now,
    const struct fl_requirements *req)
{
    return fl_is_usable(a, now) && strcmp(a->service, req->service) == 0 &&
           has_free_capacity(a, req) && !on_probation(a, now) &&
           !should_wait(f, a, now, req) &&
           (a->status.left_ms == UINT32_MAX ||
               req->est_ms <= a->status.left_ms) &&
           !(req->fast_only && a->id == req->avoid_agent) &&
           !(req->failed && is_unreliable(f, a));
}

struct fl_agent *
fl_pick(struct fleet *f, uint64_t now, const struct fl_requirements *req)
{
    struct fl_agent *best = NULL;
    struct fl_agent *a;
    double best_score = 0;

    for (a = f->agents; a != NULL; a = a->hh.next) {
        double s;

        if (!is_eligible(f, a, now, req)) {
            continue;
        }
        s = score(f, a) - (a->id == req->avoid_agent ? 10.0 : 0.0);
        if (best == NULL || s > best_score) {
            best = a;
            best_score = s;
        }
    }
    return best;
}

/* Work per core and time; 1: as much as usual. */
static double
relative_pace(const struct fleet *f, const struct fl_agent *a)
{
    return fl_is_slow(f, a)
               ? (double)a->status.pace_permille / f->median_speed_permille
               : 1;
}

/* Free cores that do not suffice for a task are no free capacity. */
static double
round_to_tasks(int64_t free_millicores, uint32_t task_millicores)
{
    int64_t task = (int64_t)num_max(task_millicores, 1);

    return free_millicores < task
               ? 0
               : (double)(free_millicores - free_millicores % task);
}

static bool
is_recovering(const struct fl_agent *a, uint64_t now)
{
    return a->selected && a->member && !a->withdrawn && !a->session_open &&
           a->closed_ms != 0 && now - a->closed_ms < FL_RECOVERY_MS;
}

struct fl_totals
fl_total(const struct fleet *f, uint64_t now, const char *service,
    uint32_t task_millicores)
{
    struct fl_totals sum = {0, 0, 0, 1, 0};
    const struct fl_agent *a;
    int64_t usable = 0;
    int64_t recovering = 0;
    double free_millicores = 0;
    double runs = 0;
    double paced_runs = 0;

    for (a = f->agents; a != NULL; a = a->hh.next) {
        if (service != NULL && strcmp(a->service, service) != 0) {
            continue;
        }
        if (!fl_is_usable(a, now)) {
            recovering += is_recovering(a, now);
            continue;
        }
        usable++;
        sum.capacity += a->status.millicores;
        sum.paced_capacity += relative_pace(f, a) * a->status.millicores;
        free_millicores += relative_pace(f, a) *
                           round_to_tasks(a->free_millicores, task_millicores);
        runs += a->active_runs;
        paced_runs += a->active_runs * relative_pace(f, a);
    }
    sum.free = (int64_t)free_millicores;
    /* Assumes that they are as large as the usable ones. */
    sum.recovering = usable > 0 ? sum.capacity / usable * recovering : 0;
    sum.mean_pace = runs > 0 ? paced_runs / runs : 1;
    return sum;
}

bool
fl_never_fits(
    const struct fleet *f, uint64_t now, const struct fl_requirements *req)
{
    const struct fl_agent *a;
    bool any = false;

    for (a = f->agents; a != NULL; a = a->hh.next) {
        if (!fl_is_usable(a, now) || strcmp(a->service, req->service) != 0) {
            continue;
        }
        any = true;
        if (a->status.millicores >= req->millicores &&
            a->status.memory_mb >= req->memory_mb &&
            a->status.gpus >= req->gpus) {
            return false;
        }
    }
    return any;
}
