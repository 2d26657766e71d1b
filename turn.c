#include "turn.h"

#include <math.h>
#include <string.h>
#include <utlist.h>

#include "coord-int.h"
#include "num.h"

/* The part of the cores that a job leaves free if all other work is tighter
 * than it: some short jobs' tasks, as they come at a time. */
#define ROOM_LEFT 0.05
/* ms in which half of the work that came is forgotten as inflow: about as
 * long as jobs can wait. */
#define INFLOW_HALF_MS 1000.0
/* A job is taken to get this part of the cores at least. */
#define LEAST_PART 0.05
/* ms after which refused callers may come back, at the soonest and latest. */
#define RETRY_MIN_MS 500U
#define RETRY_MAX_MS 10000U
/* ms between telling an agent that something begins or ceases to wait, and of
 * how much it is. */
#define WANT_SOON_MS 2U
#define WANT_MS 10U

/* --- order --- */

/*
 * With more work than cores, the order of objectives alone makes every job
 * late: the oldest, which have missed theirs, go before those that could
 * still meet it.
 */
enum turn
tn_of(const struct co_job *j, uint64_t now)
{
    if (j->begun) {
        return TURN_BEGUN;
    }
    return now + j->longest_ms <= j->objective_ms ? TURN_ON_TIME : TURN_LATE;
}

/* --- room for what will come --- */

bool
tn_leaves_room(const struct coord *c, uint64_t now, const struct co_job *j,
    int64_t free_millicores, int64_t capacity)
{
    enum turn turn = tn_of(j, now);
    double tighter;

    if (turn == TURN_BEGUN) {
        return false;
    }
    tighter = turn == TURN_LATE ? 1 : sl_tighter(&c->mix, j->slack_ms);
    return (double)free_millicores < tighter * ROOM_LEFT * (double)capacity;
}

static double
inflow(const struct coord *c, uint64_t now)
{
    return c->inflow * exp2(-(double)(now - c->inflow_ms) / INFLOW_HALF_MS);
}

void
tn_note_job(
    struct coord *c, uint64_t now, struct co_job *j, const struct gs_guess *g)
{
    double work = 0;

    j->slack_ms = (uint32_t)num_minus(g->objective_ms, g->run_ms);
    if (j->slack_ms == 0) {
        return; /* it is late already and makes nobody wait */
    }
    for (uint32_t i = 0; i < j->count; i++) {
        work += (double)co_task_work(&j->tasks[i]);
    }
    sl_note(&c->mix, now, j->slack_ms, work);
    /* A sum that halves in that time is so many times the rate. */
    c->inflow = inflow(c, now) + work * log(2) / INFLOW_HALF_MS;
    c->inflow_ms = now;
}

/* --- refusing what will not be served --- */

/* The cores that this entry's jobs can count on: those that its runs hold now,
 * what is free, and workers that are on their way back. */
static double
cores_ahead(struct coord *c, uint64_t now)
{
    int64_t coming = fl_expected(&c->fleet, now) - fl_capacity(&c->fleet, now);

    return (double)c->out_millicores + (double)fl_free_room(&c->fleet, now) +
           (double)coming;
}

static double
waiting_work(const struct co_job *j)
{
    double work = 0;

    for (uint32_t i = 0; i < j->count; i++) {
        if (j->tasks[i].state == CO_WAITING) {
            work += (double)co_task_work(&j->tasks[i]);
        }
    }
    return work;
}

/*
 * ms until its turn, with so much work ahead.  Tighter work that comes goes
 * before it too; that it goes on coming is known for about as long as it has
 * come, so for a longer wait it is not counted.
 */
static double
wait_ms(const struct coord *c, uint64_t now, const struct co_job *j,
    enum turn turn, double work, double cores)
{
    double overtaking = turn == TURN_ON_TIME
                            ? inflow(c, now) * sl_tighter(&c->mix, j->slack_ms)
                            : 0;
    double rate = fmax(cores - overtaking, cores * LEAST_PART);
    double soon = rate * INFLOW_HALF_MS;

    return work <= soon ? work / rate : INFLOW_HALF_MS + (work - soon) / cores;
}

static bool
gets_no_turn(const struct co_job *j, uint64_t now, double wait)
{
    uint64_t least = j->longest_ms * CO_LEAST_PERCENT / 100;
    uint64_t until = num_min(j->deadline_ms, j->use_ms);

    return (double)(now + least) + wait > (double)until;
}

/* Those of one kind of turn; work is what goes before them.  The work that
 * goes before what comes after. */
static double
shed(struct coord *c, uint64_t now, enum turn turn, double work, double cores)
{
    struct co_job *j;
    struct co_job *tmp;

    DL_FOREACH_SAFE (c->queue, j, tmp) {
        if (tn_of(j, now) != turn) {
            continue;
        }
        if (turn != TURN_BEGUN &&
            gets_no_turn(j, now, wait_ms(c, now, j, turn, work, cores))) {
            co_give_up(c, now, j, "no_turn");
            continue;
        }
        work += waiting_work(j);
    }
    return work;
}

/*
 * When more comes than the cores can do, the last in line would wait until
 * their time has run out, and their callers with them.  How long a job waits
 * can be told from the work ahead of it, the tighter work that comes
 * meanwhile, and the cores; what cannot end in use is refused at once, so
 * that its caller can do something else.
 */
void
tn_shed(struct coord *c, uint64_t now)
{
    double cores = cores_ahead(c, now);
    double work = 0;

    if (c->queue == NULL || cores <= 0) {
        return;
    }
    for (int turn = 0; turn < TURN_COUNT; turn++) {
        work = shed(c, now, (enum turn)turn, work, cores);
    }
}

/*
 * Callers that are refused together would come back together, and be refused
 * again: so each is told another time, from when what waits now has gone.
 */
uint32_t
tn_retry_ms(struct coord *c, uint64_t now)
{
    double cores = cores_ahead(c, now);
    double wait = cores > 0 ? (double)c->waiting_work / cores : 0;
    double chance;

    c->fleet.seed = mix64(c->fleet.seed, now);
    chance = (double)(c->fleet.seed & 0xff) / 256.0;
    wait = fmin(fmax(wait, RETRY_MIN_MS), RETRY_MAX_MS);
    return (uint32_t)(wait * (1 + chance));
}

/* --- what waits, told to agents --- */

static void
add_want(dw_want *w, const struct co_job *j, bool urgent)
{
    for (uint32_t i = 0; i < j->count; i++) {
        const struct co_task *t = &j->tasks[i];

        if (t->state != CO_WAITING) {
            continue;
        }
        w->least = w->least == 0
                       ? t->spec.millicores
                       : (uint32_t)num_min(w->least, t->spec.millicores);
        if (urgent) {
            w->urgent += t->spec.millicores;
        }
        else {
            w->late += t->spec.millicores;
        }
    }
}

dw_want
tn_want(struct coord *c, uint64_t now, const char *service)
{
    dw_want w = {0, 0, 0};
    int64_t free_millicores;
    int64_t capacity;
    const struct co_job *j;

    if (c->queue == NULL) {
        return w;
    }
    free_millicores = fl_free_room(&c->fleet, now);
    capacity = fl_capacity(&c->fleet, now);
    for (j = c->queue; j != NULL; j = j->next) {
        if (strcmp(j->service, service) == 0 &&
            !tn_leaves_room(c, now, j, free_millicores, capacity)) {
            add_want(&w, j, tn_of(j, now) != TURN_LATE);
        }
    }
    return w;
}

/* Twice as much or half. */
static bool
is_far(uint32_t a, uint32_t b)
{
    return a > 2 * (uint64_t)b || b > 2 * (uint64_t)a;
}

/* Agents must hear soon of what begins or ceases to wait, and now and then of
 * how much it is. */
bool
tn_must_tell(const struct fl_agent *a, uint64_t now, const dw_want *w)
{
    if (!a->live) {
        return false;
    }
    if ((a->want.urgent == 0) != (w->urgent == 0) ||
        (a->want.late == 0) != (w->late == 0)) {
        return now - a->want_ms >= WANT_SOON_MS;
    }
    return now - a->want_ms >= WANT_MS &&
           (is_far(a->want.urgent, w->urgent) ||
               is_far(a->want.late, w->late) || a->want.least != w->least);
}
