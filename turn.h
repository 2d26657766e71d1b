/*
 * turn - which waiting job is served next, which leaves room, which is refused
 *
 * What an entry decides while there is more work than cores, apart from
 * sending and answering:
 *
 * - the order of jobs: tn_of();
 * - which of them leaves free cores to others that are likely to come:
 *   tn_leaves_room();
 * - which will not get its turn in time and is refused at once: tn_shed();
 * - what is told to agents of what waits: tn_want(), tn_must_tell().
 *
 * Where a job runs is fleet's to say.
 */
#ifndef TURN_H
#define TURN_H

#include "coord.h"

#ifdef __cplusplus
extern "C" {
#endif

/* In what order jobs are placed while not all can be. */
enum turn {
    TURN_BEGUN, /* parts of it hold cores already */
    TURN_ON_TIME,
    TURN_LATE,  /* its objective cannot be met any more */
    TURN_SPARE, /* by the estimate its answer is of no use; its caller waits */
    TURN_COUNT
};

enum turn tn_of(const struct co_job *j, uint64_t now);

/* The fleet's room, for tasks of one size of one service. */
struct tn_room {
    const struct co_load *load; /* NULL: not known */
    uint32_t task_millicores;
    struct fl_totals sum;
};

/* Make it the room for this job's tasks. */
void tn_look(struct tn_room *room, const struct coord *c, uint64_t now,
    const struct co_job *j);
/* It waits until more cores are free, as tighter jobs are likely to come. */
bool tn_leaves_room(
    const struct tn_room *room, uint64_t now, const struct co_job *j);

/* A job was admitted with this guess: what comes, and how long it can wait. */
void tn_note_job(uint64_t now, struct co_job *j, const struct es_estimate *g);

/* Refuse the jobs that will not get their turn in time. */
void tn_shed(struct coord *c, uint64_t now);

/* ms after which a caller that is refused now had better come back. */
uint32_t tn_retry_ms(
    struct coord *c, uint64_t now, const struct co_load *load);

/* What could not be placed, of one service. */
dw_want tn_want(struct coord *c, uint64_t now, const char *service);
/* The agent has to hear of it now. */
bool tn_must_tell(const struct fl_agent *a, uint64_t now, const dw_want *w);

#ifdef __cplusplus
}
#endif

#endif
