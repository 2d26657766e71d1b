#include "qpolicy.h"

#include <math.h>
#include <string.h>
#include <utlist.h>

#include "coord-int.h"
#include "num.h"

/* The part of the cores that a job leaves free if all other work is tighter
 * than it: some short jobs' tasks, as they come at a time. */
#define ROOM_LEFT 0.05
/* An entry's jobs are taken to get this part of the cores at least, where all
 * are held by other entries' runs. */
#define LEAST_PART 0.05
/* Times that the work which comes while a job waits is added to its wait. */
#define WAIT_ROUNDS 8
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
enum qp_class
qp_class_of(const struct co_job *j, uint64_t now)
{
    if (j->started) {
        return QP_STARTED;
    }
    if (now + j->longest_task_ms <= j->objective_ms) {
        return QP_ON_TIME;
    }
    return now + co_fastest_ms(j) < j->useful_until_ms ? QP_LATE : QP_STALE;
}

/* --- room for what will come --- */

void
qp_update_capacity(struct qp_capacity *room, const struct coord *c,
    uint64_t now, const struct co_job *j)
{
    uint32_t task = j->tasks[0].spec.millicores;

    if (room->load != j->load || room->task_millicores != task) {
        room->load = j->load;
        room->task_millicores = task;
        room->sum = fl_sum_up(&c->fleet, now, j->load->service, task);
    }
}

/* Millicores that it leaves free. */
static double
room_left(const struct fl_sum *sum, uint64_t now, const struct co_job *j)
{
    enum qp_class turn = qp_class_of(j, now);

    if (turn == QP_STARTED) {
        return 0;
    }
    return ROOM_LEFT * (double)sum->capacity *
           (turn == QP_ON_TIME
                   ? sl_more_urgent_share(&j->load->slack, j->slack_ms)
                   : 1);
}

bool
qp_must_hold_back(
    const struct qp_capacity *room, uint64_t now, const struct co_job *j)
{
    return (double)room->sum.free < room_left(&room->sum, now, j);
}

/* What of a job waits. */
struct waiting {
    double work; /* millicores x ms */
    double millicores;
    uint32_t least; /* millicores of its smallest task; 0: nothing waits */
};

static struct waiting
waiting_of(const struct co_job *j)
{
    struct waiting w = {0, 0, 0};

    for (uint32_t i = 0; i < j->task_count; i++) {
        const struct co_task *t = &j->tasks[i];

        if (t->state == CO_WAITING) {
            w.work += (double)co_task_work(t);
            w.millicores += t->spec.millicores;
            w.least = w.least == 0
                          ? t->spec.millicores
                          : (uint32_t)num_min(w.least, t->spec.millicores);
        }
    }
    return w;
}

void
qp_record_job(uint64_t now, struct co_job *j, const struct gs_guess *g)
{
    struct co_service_load *l = j->load;
    double work;

    j->slack_ms = (uint32_t)num_minus(g->objective_ms, g->run_ms);
    if (j->slack_ms == 0) {
        return; /* it is late already and makes nobody wait */
    }
    work = waiting_of(j).work;
    sl_record(&l->slack, now, j->slack_ms, work);
    in_record(&l->inflow, now, g->objective_ms, work);
}

/* --- refusing what will not be served --- */

/* What the jobs of one service can count on, and what of it is taken by those
 * that go before. */
struct line {
    struct fl_sum sum;
    double cores; /* millicores, by usual speed */
    double work;
    double millicores;
};

/* Cores that are held by this entry's runs now, free ones, and workers that
 * are on their way back. */
static struct line
line_of(const struct coord *c, uint64_t now, const struct co_service_load *l)
{
    struct line line = {{0, 0, 0, 0}, 0, 0, 0};
    uint32_t least = 0;
    const struct co_job *j;

    for (j = c->queue; j != NULL; j = j->next) {
        uint32_t own = j->load == l ? waiting_of(j).least : 0;

        if (own != 0 && (least == 0 || own < least)) {
            least = own;
        }
    }
    line.sum = fl_sum_up(&c->fleet, now, l->service, least);
    line.cores = (double)l->dispatched_millicores * line.sum.pace +
                 (double)line.sum.free + (double)line.sum.coming;
    line.cores = fmax(line.cores, LEAST_PART * (double)line.sum.capacity);
    return line;
}

/*
 * ms until its turn.  What comes meanwhile with an earlier objective goes
 * before it too.
 */
static double
wait_ms(const struct line *line, uint64_t now, const struct co_job *j)
{
    double room = (double)(line->sum.free + line->sum.coming);
    double ahead = line->millicores + waiting_of(j).millicores;
    double objective = (double)j->objective_ms - (double)now;
    double work;
    double wait;

    if (ahead <= room) {
        return 0;
    }
    work = line->work * fmin(1, (ahead - room) / fmax(line->millicores, 1));
    wait = work / line->cores;
    for (int i = 0; i < WAIT_ROUNDS && wait < objective; i++) {
        wait =
            (work + in_work_before(&j->load->inflow, now, objective, wait)) /
            line->cores;
    }
    return wait;
}

/* There is room for it now, and will be for those that it must not delay. */
static bool
fits_beside(const struct line *line, uint64_t now, const struct co_job *j)
{
    double room = (double)(line->sum.free + line->sum.coming);

    return room - line->millicores - waiting_of(j).millicores >=
           room_left(&line->sum, now, j);
}

static bool
gets_no_turn(const struct line *line, uint64_t now, const struct co_job *j)
{
    double wait = wait_ms(line, now, j);
    double done = (double)(now + co_fastest_ms(j)) + wait;

    switch (qp_class_of(j, now)) {
    case QP_STARTED:
        return false;
    case QP_STALE:
        return done > (double)j->deadline_ms || !fits_beside(line, now, j);
    case QP_ON_TIME:
    case QP_LATE:
    case QP_COUNT:
        break;
    }
    return done > (double)num_min(j->deadline_ms, j->useful_until_ms);
}

/* Those of one kind of turn. */
static void
shed(struct coord *c, uint64_t now, enum qp_class turn,
    const struct co_service_load *l, struct line *line)
{
    struct co_job *j;
    struct co_job *tmp;

    DL_FOREACH_SAFE (c->queue, j, tmp) {
        struct waiting w;

        if (j->load != l || qp_class_of(j, now) != turn) {
            continue;
        }
        if (gets_no_turn(line, now, j)) {
            co_give_up(c, now, j, "no_turn");
            continue;
        }
        w = waiting_of(j);
        line->work += w.work;
        line->millicores += w.millicores;
    }
}

/*
 * When more comes than the cores can do, the last in line would wait until
 * their time has run out, and their callers with them.  How long a job waits
 * can be told from the work ahead of it, the tighter work that comes
 * meanwhile, and the cores; what cannot end in use is refused at once, so
 * that its caller can do something else.
 */
void
qp_shed(struct coord *c, uint64_t now)
{
    const struct co_service_load *l;

    for (l = c->loads; l != NULL; l = l->hh.next) {
        struct line line;

        if (l->queued_work == 0) {
            continue;
        }
        line = line_of(c, now, l);
        for (int turn = 0; turn < QP_COUNT && line.cores > 0; turn++) {
            shed(c, now, (enum qp_class)turn, l, &line);
        }
    }
}

/*
 * Callers that are refused together would come back together, and be refused
 * again: so each is told another time, from when what waits now has gone.
 */
uint32_t
qp_retry_after_ms(
    struct coord *c, uint64_t now, const struct co_service_load *load)
{
    struct line line = line_of(c, now, load);
    double wait = line.cores > 0 ? (double)load->queued_work / line.cores : 0;
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
    for (uint32_t i = 0; i < j->task_count; i++) {
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
qp_demand(struct coord *c, uint64_t now, const char *service)
{
    dw_want w = {0, 0, 0, c->report_interval_ms};
    struct qp_capacity room = {0};
    const struct co_job *j;

    for (j = c->queue; j != NULL; j = j->next) {
        if (strcmp(j->load->service, service) != 0) {
            continue;
        }
        qp_update_capacity(&room, c, now, j);
        if (!qp_must_hold_back(&room, now, j)) {
            add_want(&w, j, qp_class_of(j, now) <= QP_ON_TIME);
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
qp_must_report_demand(const struct fl_agent *a, uint64_t now, const dw_want *w)
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
               is_far(a->want.pause_ms, w->pause_ms) ||
               is_far(a->want.late, w->late) || a->want.least != w->least);
}
