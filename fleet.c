#include "fleet.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "num.h"
#include "runner.h"
#include "str.h"

/*
 * A worker that fails this share of its runs gets one run at a time.  One
 * that fails less is still of use when the sound ones are full: it comes last
 * in the choice, and takes only tasks that have not failed yet, as attempts
 * are few.  Bad tasks fail everywhere; so a share counts only where it is
 * far above the mean of all.
 */
#define SICK_PERMILLE 750U
#define RISKY_PERMILLE 150U
#define RISKY_TIMES 2U
/* A worker at this part of the usual speed, or below, is slow.  Machines
 * differ by 0.8 to 1.25; slow ones take four to eight times as long. */
#define SLOW_PERCENT 40U
/* ms between single runs that try a slow worker without runs. */
#define PROBE_MS 500U
/* ms of the first probation; it doubles up to the longest. */
#define SICK_MIN_MS 500U
#define SICK_MAX_MS 4000U

void
fl_init(struct fleet *f, uint64_t seed, const char *domain)
{
    *f = (struct fleet){0};
    f->seed = seed;
    f->speed = 1000;
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
drop_pending(struct fl_agent *a, uint64_t upto)
{
    while (a->pending != NULL && a->pending->seq <= upto) {
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
    a->live = false;
    a->want = (dw_want){0, 0, 0, 0};
    a->out = 0;
    memset(&a->room, 0, sizeof(a->room));
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
fl_withdraw(struct fleet *f, const char *const *domains, size_t n)
{
    struct fl_agent *a;

    for (a = f->agents; a != NULL; a = a->hh.next) {
        a->withdrawn = false;
        for (size_t i = 0; i < n; i++) {
            a->withdrawn |= strcmp(a->domain, domains[i]) == 0;
        }
    }
}

/* --- whom to keep sessions with --- */

/* Not worth a session while there are others. */
static bool
on_standby(const struct fl_agent *a, uint64_t now)
{
    return a->withdrawn || a->room.draining ||
           (!a->live && a->wanted_ms != 0 &&
               now - a->wanted_ms > FL_UNANSWERED_MS);
}

struct candidate {
    struct fl_agent *agent;
    bool standby;
    bool near;      /* in the entry's own domain */
    uint64_t score; /* by its name, which a restart keeps */
};

/* One order of agents for all entries. */
#define RANK_SEED 0x6167656e74U

/* By service, near before far.  Standby does not count here: one worker that
 * drains would move all others to other places. */
static int
by_rank(const void *a, const void *b)
{
    const struct candidate *x = a;
    const struct candidate *y = b;
    int order = strcmp(x->agent->service, y->agent->service);

    if (order != 0) {
        return order;
    }
    if (x->near != y->near) {
        return x->near ? -1 : 1;
    }
    if (x->score != y->score) {
        return x->score < y->score ? -1 : 1;
    }
    return (x->agent->id > y->agent->id) - (x->agent->id < y->agent->id);
}

/* Choose up to `most` of n, beginning where the entries before this one end:
 * so each agent is chosen about as often as any other. */
static size_t
choose_from(
    struct candidate *c, size_t n, uint32_t rank, size_t most, bool standby)
{
    size_t at = n > 0 ? (size_t)rank * FL_NEAR_MAX % n : 0;
    size_t chosen = 0;

    for (size_t k = 0; k < n && chosen < most; k++) {
        if (!c[at].agent->chosen && (standby || !c[at].standby)) {
            c[at].agent->chosen = true;
            chosen++;
        }
        at = at + 1 < n ? at + 1 : 0;
    }
    return chosen;
}

static void
note_wanted(struct fl_agent *a, uint64_t now)
{
    if (now - a->wanted_ms > FL_TRY_AGAIN_MS || a->live) {
        a->wanted_ms = 0;
    }
    if (a->chosen && a->wanted_ms == 0) {
        a->wanted_ms = now;
    }
}

/* Of one service, in the order of by_rank(). */
static void
choose_some(struct fleet *f, uint64_t now, struct candidate *c, size_t n)
{
    size_t near = 0;
    size_t chosen;

    for (size_t i = 0; i < n; i++) {
        c[i].agent->chosen = false;
        near += c[i].near;
    }
    chosen = choose_from(c, near, f->near_rank, FL_NEAR_MAX, false);
    chosen += choose_from(
        c + near, n - near, f->rank, FL_CHOSEN_MAX - chosen, false);
    /* What one part lacks the other fills, and those on standby the rest. */
    chosen +=
        choose_from(c, near, f->near_rank, FL_CHOSEN_MAX - chosen, false);
    choose_from(c, n, f->rank, FL_CHOSEN_MAX - chosen, true);
    for (size_t i = 0; i < n; i++) {
        note_wanted(c[i].agent, now);
    }
}

void
fl_set_rank(struct fleet *f, uint32_t near_rank, uint32_t rank)
{
    f->near_rank = near_rank;
    f->rank = rank;
}

void
fl_choose(struct fleet *f, uint64_t now)
{
    size_t count = HASH_COUNT(f->agents);
    struct candidate *c;
    struct fl_agent *a;
    size_t n = 0;
    size_t from = 0;

    f->whole = count <= FL_CHOSEN_MAX || now < f->wide_until_ms;
    if (f->whole) {
        for (a = f->agents; a != NULL; a = a->hh.next) {
            a->chosen = true;
        }
        return;
    }
    if (f->chose_ms != 0 && now - f->chose_ms < FL_CHOOSE_MS) {
        return;
    }
    f->chose_ms = now;
    c = dw_zero(count, sizeof(*c));
    for (a = f->agents; a != NULL; a = a->hh.next) {
        c[n++] = (struct candidate){a, on_standby(a, now),
            strcmp(a->domain, f->domain) == 0,
            str_hash(str_of(a->name), RANK_SEED)};
    }
    qsort(c, n, sizeof(*c), by_rank);
    for (size_t i = 1; i <= n; i++) {
        if (i == n ||
            strcmp(c[i].agent->service, c[from].agent->service) != 0) {
            choose_some(f, now, c + from, i - from);
            from = i;
        }
    }
    free(c);
}

bool
fl_widen(struct fleet *f, uint64_t now)
{
    if (f->whole) {
        return false;
    }
    f->wide_until_ms = now + FL_WIDE_MS;
    return true;
}

void
fl_leave_out(struct fl_agent *a, uint64_t now)
{
    /* Asked again at once it would say the same, and so each time. */
    if (a->room.draining) {
        a->wanted_ms = now - FL_UNANSWERED_MS - 1;
    }
    else if (a->live) {
        a->wanted_ms = 0;
    }
    fl_close(a);
}

bool
fl_idle(const struct fl_agent *a)
{
    return a->out == 0 && a->batch == NULL && a->sess.head == NULL;
}

void
fl_open(struct fleet *f, uint64_t now, struct fl_agent *a)
{
    /* Rising, so that an agent knows a session's successor from a message
     * of an earlier one; the chance tells entries apart. */
    f->seed = mix64(f->seed, now);
    sess_begin(&a->sess, (now << 16) | (f->seed & 0xffff));
    a->opened_ms = now;
}

/* What is free, less all orders that the room does not cover. */
static void
count_free(struct fl_agent *a)
{
    const struct fl_pending *p;

    a->free_millicores =
        a->room.free_millicores - (int64_t)a->batch_millicores;
    a->free_memory_mb = a->room.free_memory_mb - (int64_t)a->batch_memory_mb;
    a->free_gpus = a->room.free_gpus - (int64_t)a->batch_gpus;
    for (p = a->pending; p != NULL; p = p->next) {
        a->free_millicores -= p->millicores;
        a->free_memory_mb -= p->memory_mb;
        a->free_gpus -= p->gpus;
    }
}

void
fl_room(struct fl_agent *a, uint64_t ack, const dw_room *room)
{
    a->room = *room;
    drop_pending(a, ack);
    count_free(a);
}

void
fl_reserve(struct fl_agent *a, uint64_t now, const struct fl_need *need)
{
    a->batch_millicores += need->millicores;
    a->batch_memory_mb += need->memory_mb;
    a->batch_gpus += need->gpus;
    a->out++;
    a->probed_ms = now;
    count_free(a);
}

void
fl_sent(struct fl_agent *a, uint64_t seq)
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
fl_note_end(struct fl_agent *a, uint64_t now, dw_end how)
{
    if (a->out > 0) {
        a->out--;
    }
    if (how != DW_END_DONE && how != DW_END_FAILED) {
        return;
    }
    a->fail_permille = rn_fail_average(a->fail_permille, how == DW_END_FAILED);
    if (how == DW_END_DONE) {
        a->sick_ms = 0;
        a->sick_until_ms = 0;
    }
    else if (a->fail_permille >= SICK_PERMILLE && a->sick_until_ms <= now) {
        a->sick_ms = (uint32_t)num_min(
            a->sick_ms == 0 ? SICK_MIN_MS : 2 * a->sick_ms, SICK_MAX_MS);
        a->sick_until_ms = now + a->sick_ms;
    }
}

bool
fl_usable(const struct fl_agent *a, uint64_t now)
{
    return a->live && sess_live(&a->sess, now) && a->room.serving &&
           !a->room.draining && !a->withdrawn;
}

static bool
has_room(const struct fl_agent *a, const struct fl_need *need)
{
    return a->free_millicores >= (int64_t)need->millicores &&
           a->free_memory_mb >= (int64_t)need->memory_mb &&
           a->free_gpus >= (int64_t)need->gpus;
}

/* Of runs that ended there lately: this entry's, or all entries', which the
 * agent tells. */
static uint32_t
fail_share(const struct fl_agent *a)
{
    return (uint32_t)num_max(a->fail_permille, a->room.fail_permille);
}

/* A worker on probation gets one run at a time. */
static bool
on_probation(const struct fl_agent *a, uint64_t now)
{
    if (a->sick_until_ms > now || (a->sick_ms > 0 && a->out > 0)) {
        return true;
    }
    /* Others have seen it fail: each entry tries it by itself. */
    return a->room.fail_permille >= SICK_PERMILLE &&
           (a->out > 0 || now - a->probed_ms < SICK_MIN_MS);
}

static void
learn_failures(struct fleet *f, uint64_t now)
{
    const struct fl_agent *a;
    uint64_t sum = 0;
    uint64_t n = 0;

    for (a = f->agents; a != NULL; a = a->hh.next) {
        if (fl_usable(a, now)) {
            sum += fail_share(a);
            n++;
        }
    }
    f->fail_permille = n > 0 ? (uint32_t)(sum / n) : 0;
}

static bool
is_risky(const struct fleet *f, const struct fl_agent *a)
{
    return fail_share(a) >= RISKY_PERMILLE &&
           fail_share(a) > RISKY_TIMES * f->fail_permille;
}

/* More than speed and free cores together can make up for. */
#define RISKY_PENALTY 5.0

/* Speed first, then the freer; a little chance keeps entries from choosing
 * the same worker in the same moment. */
static double
score(struct fleet *f, const struct fl_agent *a)
{
    double free_part =
        (double)a->free_millicores / (double)num_max(a->room.millicores, 1);
    uint32_t speed =
        fl_slow(f, a) ? a->room.pace_permille : a->room.speed_permille;
    double chance;

    f->seed = mix64(f->seed, a->id);
    chance = (double)(f->seed & 0xff) / 256.0;
    return (double)speed / 1000.0 + 0.5 * free_part + 0.1 * chance -
           (is_risky(f, a) ? RISKY_PENALTY : 0.0);
}

static int
by_number(const void *a, const void *b)
{
    uint32_t x = *(const uint32_t *)a;
    uint32_t y = *(const uint32_t *)b;

    return (x > y) - (x < y);
}

/* Workers looked at for the median; more tell nothing new. */
#define MEDIAN_MAX 128U

static void
learn_speed(struct fleet *f, uint64_t now)
{
    const struct fl_agent *a;
    uint32_t speeds[MEDIAN_MAX];
    size_t n = 0;

    for (a = f->agents; a != NULL && n < MEDIAN_MAX; a = a->hh.next) {
        if (fl_usable(a, now)) {
            speeds[n++] = a->room.speed_permille;
        }
    }
    qsort(speeds, n, sizeof(speeds[0]), by_number);
    f->speed = n > 0 ? speeds[n / 2] : 1000;
}

void
fl_learn(struct fleet *f, uint64_t now)
{
    learn_speed(f, now);
    learn_failures(f, now);
}

bool
fl_slow(const struct fleet *f, const struct fl_agent *a)
{
    return (uint64_t)a->room.pace_permille * 100 <=
           (uint64_t)f->speed * SLOW_PERCENT;
}

/*
 * While some workers are slow the others are full, and the slow ones look
 * free.  Waiting for a sound one costs less than running on a slow one, for
 * as long as the wait is shorter than what the slow run takes longer.
 */
static bool
worth_waiting(const struct fleet *f, const struct fl_agent *a, uint64_t now,
    const struct fl_need *need)
{
    uint64_t there =
        (uint64_t)need->est_ms * 1000 / num_max(a->room.pace_permille, 1);
    uint64_t usual = (uint64_t)need->est_ms * 1000 / num_max(f->speed, 1);

    if (!fl_slow(f, a)) {
        return false;
    }
    if (!need->quick && a->out == 0 && now - a->probed_ms >= PROBE_MS) {
        return false; /* or it would never be seen to be sound again */
    }
    return need->quick || need->waited_ms < there - usual;
}

static bool
may_take(const struct fleet *f, const struct fl_agent *a, uint64_t now,
    const struct fl_need *need)
{
    return fl_usable(a, now) && strcmp(a->service, need->service) == 0 &&
           has_room(a, need) && !on_probation(a, now) &&
           !worth_waiting(f, a, now, need) &&
           (a->room.left_ms == UINT32_MAX ||
               need->est_ms <= a->room.left_ms) &&
           !(need->quick && a->id == need->avoid) &&
           !(need->failed && is_risky(f, a));
}

struct fl_agent *
fl_pick(struct fleet *f, uint64_t now, const struct fl_need *need)
{
    struct fl_agent *best = NULL;
    struct fl_agent *a;
    double best_score = 0;

    for (a = f->agents; a != NULL; a = a->hh.next) {
        double s;

        if (!may_take(f, a, now, need)) {
            continue;
        }
        s = score(f, a) - (a->id == need->avoid ? 10.0 : 0.0);
        if (best == NULL || s > best_score) {
            best = a;
            best_score = s;
        }
    }
    return best;
}

/* What a core there does, 1: as much as usual. */
static double
relative_pace(const struct fleet *f, const struct fl_agent *a)
{
    return fl_slow(f, a) ? (double)a->room.pace_permille / f->speed : 1;
}

/* Rests of workers that hold no task are no room. */
static double
whole_tasks(int64_t free_millicores, uint32_t task_millicores)
{
    int64_t task = (int64_t)num_max(task_millicores, 1);

    return free_millicores < task
               ? 0
               : (double)(free_millicores - free_millicores % task);
}

static bool
is_coming_back(const struct fl_agent *a, uint64_t now)
{
    return a->chosen && a->member && !a->withdrawn && !a->live &&
           a->silent_ms != 0 && now - a->silent_ms < FL_RETURN_MS;
}

struct fl_sum
fl_sum_up(const struct fleet *f, uint64_t now, const char *service,
    uint32_t task_millicores)
{
    struct fl_sum sum = {0, 0, 0, 1};
    const struct fl_agent *a;
    int64_t usable = 0;
    int64_t coming = 0;
    double free_millicores = 0;
    double runs = 0;
    double paced = 0;

    for (a = f->agents; a != NULL; a = a->hh.next) {
        if (service != NULL && strcmp(a->service, service) != 0) {
            continue;
        }
        if (!fl_usable(a, now)) {
            coming += is_coming_back(a, now);
            continue;
        }
        usable++;
        sum.capacity += a->room.millicores;
        free_millicores += relative_pace(f, a) *
                           whole_tasks(a->free_millicores, task_millicores);
        runs += a->out;
        paced += a->out * relative_pace(f, a);
    }
    sum.free = (int64_t)free_millicores;
    /* As large as the others. */
    sum.coming = usable > 0 ? sum.capacity / usable * coming : 0;
    sum.pace = runs > 0 ? paced / runs : 1;
    return sum;
}

bool
fl_never_fits(const struct fleet *f, uint64_t now, const struct fl_need *need)
{
    const struct fl_agent *a;
    bool any = false;

    for (a = f->agents; a != NULL; a = a->hh.next) {
        if (!fl_usable(a, now) || strcmp(a->service, need->service) != 0) {
            continue;
        }
        any = true;
        if (a->room.millicores >= need->millicores &&
            a->room.memory_mb >= need->memory_mb &&
            a->room.gpus >= need->gpus) {
            return false;
        }
    }
    return any;
}
