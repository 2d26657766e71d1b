#include "turn.h"

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
enum turn
tn_of(const struct co_job *j, uint64_t now)
{
    if (j->begun) {
        return TURN_BEGUN;
    }
    if (now + j->longest_ms <= j->objective_ms) {
        return TURN_ON_TIME;
    }
    return now + co_least_ms(j) < j->use_ms ? TURN_LATE : TURN_SPARE;
}

/* --- room for what will come --- */

void
tn_look(struct tn_room *room, const struct coord *c, uint64_t now,
    const struct co_job *j)
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
    enum turn turn = tn_of(j, now);

    if (turn == TURN_BEGUN) {
        return 0;
    }
    return ROOM_LEFT * (double)sum->capacity *
           (turn == TURN_ON_TIME ? sl_tighter(&j->load->mix, j->slack_ms) : 1);
}

bool
tn_leaves_room(
    const struct tn_room *room, uint64_t now, const struct co_job *j)
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

    for (uint32_t i = 0; i < j->count; i++) {
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
tn_note_job(uint64_t now, struct co_job *j, const struct gs_guess *g)
{
    struct co_load *l = j->load;
    double work;

    j->slack_ms = (uint32_t)num_sub_sat(g->objective_ms, g->run_ms);
    if (j->slack_ms == 0) {
        return; /* it is late already and makes nobody wait */
    }
    work = waiting_of(j).work;
    sl_note(&l->mix, now, j->slack_ms, work);
    in_note(&l->inflow, now, g->objective_ms, work);
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
line_of(const struct coord *c, uint64_t now, const struct co_load *l)
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
    line.cores = (double)l->out_millicores * line.sum.pace +
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
        wait = (work + in_before(&j->load->inflow, now, objective, wait)) /
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
    double done = (double)(now + co_least_ms(j)) + wait;

    switch (tn_of(j, now)) {
    case TURN_BEGUN:
        return false;
    case TURN_SPARE:
        return done > (double)j->deadline_ms || !fits_beside(line, now, j);
    case TURN_ON_TIME:
    case TURN_LATE:
    case TURN_COUNT:
        break;
    }
    return done > (double)num_min(j->deadline_ms, j->use_ms);
}

/* Those of one kind of turn. */
static void
shed(struct coord *c, uint64_t now, enum turn turn, const struct co_load *l,
    struct line *line)
{
    struct co_job *j;
    struct co_job *tmp;

    DL_FOREACH_SAFE (c->queue, j, tmp) {
        struct waiting w;

        if (j->load != l || tn_of(j, now) != turn) {
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
tn_shed(struct coord *c, uint64_t now)
{
    const struct co_load *l;

    for (l = c->loads; l != NULL; l = l->hh.next) {
        struct line line;

        if (l->waiting_work == 0) {
            continue;
        }
        line = line_of(c, now, l);
        for (int turn = 0; turn < TURN_COUNT && line.cores > 0; turn++) {
            shed(c, now, (enum turn)turn, l, &line);
        }
    }
}

/*
 * Callers that are refused together would come back together, and be refused
 * again: so each is told another time, from when what waits now has gone.
 */
uint32_t
tn_retry_ms(struct coord *c, uint64_t now, const struct co_load *load)
{
    struct line line = line_of(c, now, load);
    double wait = line.cores > 0 ? (double)load->waiting_work / line.cores : 0;
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
    dw_want w = {0, 0, 0, c->room_pause_ms};
    struct tn_room room = {0};
    const struct co_job *j;

    for (j = c->queue; j != NULL; j = j->next) {
        if (strcmp(j->load->service, service) != 0) {
            continue;
        }
        tn_look(&room, c, now, j);
        if (!tn_leaves_room(&room, now, j)) {
            add_want(&w, j, tn_of(j, now) <= TURN_ON_TIME);
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
               is_far(a->want.pause_ms, w->pause_ms) ||
               is_far(a->want.late, w->late) || a->want.least != w->least);
}
