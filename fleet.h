/*
 * fleet - the agents as an entry sees them: sessions, room, choice
 *
 * An entry keeps a session with every agent.  Each report tells the room on
 * the agent's worker as of the last order that the agent had taken, so what
 * is under way is known exactly; what other entries sent meanwhile is not.
 */
#ifndef FLEET_H
#define FLEET_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "proto.h"
#include "sess.h"

#ifdef __cplusplus
extern "C" {
#endif

#define FL_NAME_MAX 64
/* ms between attempts to open a session; a round trip takes 2 to 6. */
#define FL_OPEN_MS 150U
/* ms that an opening session is waited for before it gets a new number. */
#define FL_STALE_MS 1000U

/*
 * Agents of one service that an entry keeps sessions with.  Sessions between
 * all pairs would grow with the square of the fleet, and entries that all see
 * the same free cores send one another's runs back.  Half of them near keep
 * most bytes within the domain.
 */
#define FL_CHOSEN_MAX 24U
#define FL_NEAR_MAX 12U
/* ms for which all are kept once a task has come that none of these holds. */
#define FL_WIDE_MS 60000U
/* ms after which an agent whose session is not open is not expected back: a
 * fleet that lost power is there within half a second. */
#define FL_RETURN_MS 1000U
/* ms between choices. */
#define FL_CHOOSE_MS 200U
/* ms without an answer after which another agent is chosen in its place, and
 * ms after which it is tried again. */
#define FL_UNANSWERED_MS 2000U
#define FL_TRY_AGAIN_MS 12000U

/* Orders sent that the agent's last report did not cover. */
struct fl_pending {
    struct fl_pending *next;
    uint64_t seq;
    int64_t millicores;
    int64_t memory_mb;
    int64_t gpus;
};

struct fl_agent {
    uint64_t id;
    char name[FL_NAME_MAX];
    char domain[FL_NAME_MAX];
    char service[FL_NAME_MAX]; /* what its worker runs */
    bool member;               /* entered in the platform's store */
    bool live;                 /* the session is open */
    bool withdrawn;
    bool chosen;        /* this entry keeps a session with it */
    uint64_t wanted_ms; /* since when it has been chosen or tried in vain */
    struct sess sess;
    uint64_t opened_ms; /* when the session's number was given */
    uint64_t silent_ms; /* since when the session is not open; 0: it is */
    uint64_t tried_ms;
    dw_room room;
    struct fl_pending *pending;
    int64_t free_millicores; /* room less what is under way */
    int64_t free_memory_mb;
    int64_t free_gpus;
    uint64_t probed_ms;     /* when a run was sent last */
    uint32_t out;           /* runs there, as this entry knows */
    uint32_t fail_permille; /* of runs that ended there lately */
    uint64_t sick_until_ms;
    uint32_t sick_ms;
    dw_want want;     /* what could not be placed there, as told last */
    uint64_t want_ms; /* when */
    dw_msg *batch;    /* orders collected since the last flush */
    uint64_t batch_millicores;
    uint64_t batch_memory_mb;
    uint64_t batch_gpus;
    UT_hash_handle hh;
};

struct fleet {
    struct fl_agent *agents;
    uint64_t seed;
    char domain[FL_NAME_MAX]; /* the entry's own */
    uint32_t near_rank;       /* of this entry among those of its domain */
    uint32_t rank;            /* among all */
    uint64_t chose_ms;
    uint64_t wide_until_ms; /* keep sessions with all until then */
    bool whole;             /* all agents are chosen */
    uint32_t fail_permille; /* mean of usable workers */
    uint32_t speed;         /* median of usable workers, permille */
};

struct fl_need {
    const char *service;
    uint32_t millicores;
    uint32_t memory_mb;
    uint32_t gpus;
    uint32_t est_ms;
    uint32_t waited_ms; /* so far */
    bool failed;        /* it has failed before */
    bool quick;         /* only where it is not slow */
    uint64_t avoid;     /* an agent where it failed before; 0: none */
};

/* The workers of a service together, in millicores. */
struct fl_sum {
    int64_t capacity; /* of usable workers */
    int64_t free;     /* of these, in whole tasks; on slow workers, as much as
                       * a sound one does in that time */
    int64_t coming;   /* of workers that may be back soon */
    double pace;      /* of this entry's runs there, 1: usual speed */
};

void fl_init(struct fleet *f, uint64_t seed, const char *domain);
void fl_free(struct fleet *f);
struct fl_agent *fl_find(struct fleet *f, uint64_t id);
struct fl_agent *fl_add(struct fleet *f, uint64_t id, const char *name,
    const char *domain, const char *service);
void fl_remove(struct fleet *f, struct fl_agent *a);
void fl_withdraw(struct fleet *f, const char *const *domains, size_t n);
/* Tell which of the entries this one is, so that they choose in turns. */
void fl_set_rank(struct fleet *f, uint32_t near_rank, uint32_t rank);
/* Choose the agents to keep sessions with. */
void fl_choose(struct fleet *f, uint64_t now);
/* End the session with an agent that is not chosen any more. */
void fl_leave_out(struct fl_agent *a, uint64_t now);
/* A task came that none of the chosen holds: choose all for a while.  False
 * if all were chosen anyway. */
bool fl_widen(struct fleet *f, uint64_t now);
/* Begin a session; beats go out until it is answered. */
void fl_open(struct fleet *f, uint64_t now, struct fl_agent *a);
void fl_close(struct fl_agent *a);
/* Note the room that came with acknowledgement ack. */
void fl_room(struct fl_agent *a, uint64_t ack, const dw_room *room);
/* A run has been put into the agent's next message. */
void fl_reserve(struct fl_agent *a, uint64_t now, const struct fl_need *need);
/* The collected orders went out as message seq. */
void fl_sent(struct fl_agent *a, uint64_t seq);
/* How a run ended there; sick workers get probes only. */
void fl_note_end(struct fl_agent *a, uint64_t now, dw_end how);
/* Learn the median speed and the mean failures of usable workers. */
void fl_learn(struct fleet *f, uint64_t now);
/* The best agent with room, NULL if there is none. */
struct fl_agent *fl_pick(
    struct fleet *f, uint64_t now, const struct fl_need *need);

/* Queries. */
/* Its present speed is far below what workers usually have. */
bool fl_slow(const struct fleet *f, const struct fl_agent *a);
/* Nothing of this entry is on its way there or back. */
bool fl_idle(const struct fl_agent *a);
bool fl_usable(const struct fl_agent *a, uint64_t now);
/* The workers of a service (NULL: of all), for tasks of task_millicores (1: of
 * any size). */
struct fl_sum fl_sum_up(const struct fleet *f, uint64_t now,
    const char *service, uint32_t task_millicores);
/* No usable worker could hold it, were it empty; false if none is known. */
bool fl_never_fits(
    const struct fleet *f, uint64_t now, const struct fl_need *need);

#ifdef __cplusplus
}
#endif

#endif
