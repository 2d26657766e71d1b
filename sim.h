/*
 * sim - entries, agents, workers and callers in virtual time
 *
 * The deciding modules coord, fleet, sess, agent and runner are the product's
 * own; workers, callers, the store's list of agents and the network between
 * them are models that follow one seed.  The same deployment gives the same
 * day, event by event.
 *
 * Time is kept in us, as messages within a domain take less than a
 * millisecond; the modules see whole milliseconds.
 */
#ifndef SIM_H
#define SIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "str.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SIM_DOMAINS_MAX 5U
#define SIM_ENTRIES_MAX 64U
#define SIM_WORKERS_MAX 1000U
#define SIM_KINDS_MAX 4U
#define SIM_TROUBLES_MAX 8U
#define SIM_WINDOW_MS 2000U

/* What callers take as their deadline. */
enum sim_patience {
    SIM_PATIENCE_OF_WORK, /* a wait and a multiple of their objective */
    SIM_PATIENCE_FIXED,   /* the same for all of a kind */
    SIM_PATIENCE_LOOSE,   /* anything from a short to a long wait */
    SIM_PATIENCE_COUNT
};

/* A kind of request, which is a route of its own. */
struct sim_kind {
    double share;        /* of all requests */
    double worth;        /* of a request of mean work, served in time */
    double run_ms;       /* median run time of a task */
    double run_sigma;    /* of its logarithm, from job to job */
    double width;        /* mean number of tasks */
    uint32_t width_max;  /* of tasks */
    uint32_t millicores; /* of a task */
    double declared;     /* declared run time over the true one, median */
    double declared_sigma;
    uint32_t stretch_milli;
    uint32_t slo_ms;
    uint32_t timeout_ms;
    uint32_t attempts;
    uint32_t priority;
};

enum sim_trouble_kind {
    SIM_BURST,       /* x times the requests, of one kind or of all */
    SIM_DARK,        /* every process loses power */
    SIM_WITHDRAWN,   /* a domain takes no more work */
    SIM_SLOW,        /* a share of the workers takes x times as long */
    SIM_HANG,        /* tasks on a share of the workers stand still */
    SIM_FAIL,        /* a share of the workers fails all runs */
    SIM_CRASH,       /* a share of the workers dies */
    SIM_LATE_ORDERS, /* a share x of the orders is carried out late */
    SIM_LEAVE,       /* a share of the callers leaves early */
    SIM_LARGE,       /* x times the width, of one kind */
    SIM_HOPELESS,    /* a share of the jobs fails whenever run */
    SIM_ENTRY_KILL,  /* one entry dies and comes back */
    SIM_ENTRY_SLOW,  /* one entry's processor is x times slower */
    SIM_TROUBLE_KINDS
};

extern const char *const sim_trouble_names[SIM_TROUBLE_KINDS];

struct sim_trouble {
    enum sim_trouble_kind kind;
    uint32_t at_ms;
    uint32_t for_ms;
    double share;    /* of workers, callers or jobs */
    double x;        /* how much */
    uint32_t target; /* kind of request, domain or entry */
    bool all;        /* kinds of request */
};

/* What a day's worth consists of. */
struct sim_goal {
    double whole;        /* weight of the whole day's part */
    double windows;      /* of the two worst windows */
    double kind;         /* of the worst kind of request */
    double served_nines; /* of the share served, late or not, by nines */
};

struct sim_deployment {
    uint64_t seed;
    struct sim_goal goal;
    uint32_t length_ms;
    uint32_t domains;
    uint32_t entries;
    uint32_t workers;
    uint32_t kinds;
    uint32_t troubles;
    uint32_t millicores[SIM_WORKERS_MAX];
    double speed[SIM_WORKERS_MAX];
    double entry_share[SIM_ENTRIES_MAX]; /* of its domain's callers */
    double entry_cpu[SIM_ENTRIES_MAX];   /* cores; 0: its work takes no time */
    bool entries_keep;                   /* give no requests to one another */
    bool entries_stay;                   /* in the balancer's rotation */
    struct sim_kind kind[SIM_KINDS_MAX];
    struct sim_trouble trouble[SIM_TROUBLES_MAX];
    double per_s;    /* requests */
    double uneven;   /* sigma of task times within a job */
    uint32_t far_us; /* one way between domains */
    uint32_t near_us;
    uint32_t client_us;
    uint32_t call_us;   /* one way between an agent and its worker */
    uint32_t start_ms;  /* longest time until a dead process runs again */
    uint32_t resend_ms; /* until callers send an unanswered request again */
    double returns;     /* share of callers that come back as told */
    double fails;       /* share of runs that fail by themselves */
    enum sim_patience patience;
};

/* What became of the requests of one window or kind. */
struct sim_sum {
    uint64_t asked;
    uint64_t in_time;
    uint64_t late;
    uint64_t refused;
    uint64_t lost; /* no answer, one that came too late, failed */
    double owed;
    double earned;
};

struct sim_result {
    struct sim_sum whole;
    struct sim_sum kind[SIM_KINDS_MAX];
    struct sim_sum *window; /* free(3) it */
    size_t windows;
    double worth;          /* by the goal */
    uint64_t held_in_vain; /* refused after a quarter of the objective */
    uint64_t refused_at_once;
    uint64_t runs;
    uint64_t bounced; /* sent back by a full agent */
    uint64_t moved;
    uint64_t messages;
    uint64_t given;           /* requests, from entry to entry */
    uint64_t sessions_lost;   /* that entries had with agents */
    uint64_t longest_pass_us; /* of an entry's loop */
    double run_error;         /* mean of |ln(estimated over true run time)| */
    uint64_t estimates;
    struct buf broken; /* promises, in words, a line each */
};

/* Draw a deployment of the kinds described, and its troubles. */
struct sim_ranges;
void sim_draw(
    struct sim_deployment *d, uint64_t seed, const struct sim_ranges *r);

/* Play it to the end. */
void sim_play(const struct sim_deployment *d, struct sim_result *out);
void sim_result_free(struct sim_result *r);

/* Bounds within which deployments are drawn. */
struct sim_ranges {
    uint32_t length_ms;
    uint32_t domains_max;
    uint32_t workers_min;
    uint32_t workers_max;
    uint32_t entries_min; /* of a domain */
    uint32_t entries_max;
    double load_min; /* requested cores over all cores */
    double load_max;
    double per_s_max; /* requests; beyond it run times are longer */
    uint32_t task_millicores_min;
    uint32_t task_millicores_max;
    double cpu_min; /* cores of an entry; 0: its work takes no time */
    double cpu_max;
    bool keep;        /* entries give no requests to one another */
    bool stay;        /* nor leave the balancer's rotation */
    double burst_max; /* times the usual requests */
    uint32_t troubles_min;
    uint32_t troubles_max;
    bool trouble[SIM_TROUBLE_KINDS];   /* may be drawn */
    bool patience[SIM_PATIENCE_COUNT]; /* may be drawn */
    bool every[SIM_TROUBLE_KINDS];     /* is part of each day */
    struct sim_goal goal;
};

void sim_ranges_init(struct sim_ranges *r);

#ifdef __cplusplus
}
#endif

#endif
