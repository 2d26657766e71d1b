/*
 * tail - tells a long task from a slow worker
 *
 * A run that takes much longer than estimated is either a long task or on a
 * slow worker.  Which one it is, is decided from the distribution of the ratio
 * of actual to estimated run time on its route, and from the other runs on the
 * same worker.
 *
 * Ratios are counted in logarithmic buckets per route.  A wide prior with a
 * heavy tail counts as TL_PRIOR_RUNS runs; counts are halved when they reach
 * TL_RUNS_MAX, so that old runs lose their weight.
 *
 * The evidence against a worker is the logarithm of a likelihood ratio: that
 * of its runs' times if it takes TL_SLOW_FACTOR times as long as usual, over
 * that if it does not.  Ended runs add up as in Page's CUSUM test (Page,
 * Continuous inspection schemes, Biometrika 41, 1954).  Runs in progress add
 * the ratio of the densities of their age in the steady state.  The agent's
 * report gives the mean pace of all runs on the worker, of which a share must
 * be long tasks if the worker is sound; the likelihood of that share is
 * binomial.  Tasks of one job have the same error of their estimate: at most
 * one run of a job counts.
 */
#ifndef TAIL_H
#define TAIL_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Buckets per doubling of the ratio, and the number of buckets.  The first
 * bucket begins at 1/8, the last one ends at 64. */
#define TL_BUCKETS_PER_OCTAVE 4U
#define TL_BUCKETS 36U
#define TL_RATIO_MIN 0.125
/* Runs that the prior counts for. */
#define TL_PRIOR_RUNS 20.0
/* Runs at which the counts of a route are halved. */
#define TL_RUNS_MAX 800.0
/* Routes with a distribution of their own; others share one. */
#define TL_ROUTES_MAX 256U
/* Time of a run on a slow worker over its usual time; they take four to eight
 * times as long. */
#define TL_SLOW_FACTOR 4.0
/* Ratio from which a task is long. */
#define TL_LONG_RATIO 2.5
/* Evidence from which a worker with a low pace gets fewer new runs, and from
 * which runs are moved off it.  Keeping new runs off a sound worker costs
 * little, but 3 instead of 1 left more jobs behind slow workers.  At 7.5
 * instead of 6, slow workers with few runs were recognised too late. */
#define TL_SUSPECT 1.0
#define TL_SLOW 6.0
/* Moves of one entry: at once, and per second in the long run.  13 entries
 * thus move at most 143 runs while some workers are slow for 6 s. */
#define TL_MOVES_BURST 5.0
#define TL_MOVES_PER_S 1.0

/* The distribution of ratios of actual to estimated run time. */
struct tl_dist {
    double count[TL_BUCKETS]; /* of runs, the prior included */
    double runs;              /* sum of the counts, without the prior */
};

struct tl_route {
    char *name;
    struct tl_dist dist;
    UT_hash_handle hh;
};

/* What an entry has learned of run times and moves. */
struct tl_state {
    struct tl_route *routes;
    struct tl_dist all;     /* runs of all routes */
    double moves_of_use;    /* decaying count of moved runs by whether the */
    double moves_as_long;   /* second run took as long as the first */
    double task_millicores; /* of recent tasks, dominated by large ones */
    double usual_pace;      /* mean of workers' pace over their speed, at most
                             * 1: below, all runs take longer than estimated */
    double budget;          /* moves that may be made now */
    uint64_t budget_ms;     /* time of the last update; 0: none yet */
    uint64_t outcome_ms;    /* last decay of the two counts */
};

/* Evidence against one worker.  All zero at first. */
struct tl_worker {
    double ended;         /* sum over ended runs, at ended_ms */
    uint64_t ended_job;   /* job of the last run that was counted */
    uint64_t ended_ms;    /* when it ended; 0: none has */
    double running;       /* sum over runs in progress */
    uint64_t running_job; /* job of the last one of them; 0: none */
    double running_job_min;
    uint32_t running_count; /* runs of this entry */
    uint32_t running_jobs;  /* their jobs */
    double reported_runs;   /* runs that the reported pace includes */
    uint64_t reported_ms;   /* last update of that number */
    double report;          /* of the agent's last report */
    uint64_t suspect_ms; /* since when there is evidence; 0: there is none */
    bool suspect;        /* it has reached TL_SUSPECT, and not been refuted
                          * since */
};

/* The pace of all runs on a worker, as reported by its agent. */
struct tl_report {
    double pace;     /* relative to the worker's usual speed */
    double runs;     /* on the worker */
    double excluded; /* runs that must not count, as if they made no progress
                      * at all */
};

/* A run in progress that may be moved.  Times are in units of its estimate. */
struct tl_run {
    double elapsed;    /* at usual speed of the fleet */
    double suspect;    /* of that, since its worker is suspect */
    double speed;      /* usual speed of its worker; 1: median */
    double slow_speed; /* its present speed, if the worker is slow */
    double start;      /* cost of stopping and starting */
};

/* Expected times of a run, in units of its estimate. */
struct tl_forecast {
    double remaining; /* where it is */
    double elsewhere; /* of a second run on a worker of median speed */
};

void tl_init(struct tl_state *s);
void tl_free(struct tl_state *s);
/* Distribution of a route, added if new; NULL if there are too many. */
struct tl_route *tl_route_of(struct tl_state *s, const char *name);
/* Learns from a run on a sound worker.  r may be NULL. */
void tl_learn(struct tl_state *s, struct tl_route *r, double ratio);
/* Counts a run that ended on the worker. */
void tl_run_ended(struct tl_worker *w, const struct tl_dist *d, uint64_t now,
    uint64_t job, double ratio);
/* Sums the evidence of runs in progress, added job by job; the least of a
 * job's runs counts.  Jobs have ids other than 0. */
void tl_begin_running(struct tl_worker *w);
void tl_add_running(struct tl_worker *w, uint64_t job, double evidence);
/* Updates how many runs the worker's reported pace includes, given those that
 * are there now. */
void tl_count_reported(struct tl_worker *w, uint64_t now, double runs);
/* Learns the cores of a task. */
void tl_learn_size(struct tl_state *s, uint32_t millicores);
/* Updates whether the worker is suspect, given all evidence; 0: unknown. */
void tl_judge(struct tl_worker *w, uint64_t now, double evidence);
/* Learns whether the second run of a moved task took as long as the first. */
void tl_move_ended(struct tl_state *s, uint64_t now, bool as_long);
/* Takes one move from the budget; false if it is exhausted. */
bool tl_take_move(struct tl_state *s, uint64_t now);

/* Queries. */
/* The distribution to use for a route, which may be NULL. */
const struct tl_dist *tl_dist_of(
    const struct tl_state *s, const struct tl_route *r);
/* Share of runs whose ratio exceeds the given one. */
double tl_survival(const struct tl_dist *d, double ratio);
/* Mean ratio of the runs whose ratio exceeds the given one. */
double tl_mean_above(const struct tl_dist *d, double ratio);
/* Evidence of a run that ended, or that still runs after such a time. */
double tl_evidence_ended(const struct tl_dist *d, double ratio);
double tl_evidence_running(const struct tl_dist *d, double ratio);
/* Evidence of a sum over runs in progress. */
double tl_evidence_of_running(double sum);
/* The number of independent runs that tell as much as these runs, of which
 * some are of the same job. */
double tl_independent_runs(const struct tl_worker *w, double runs);
/* Evidence of an agent's report. */
double tl_evidence_report(const struct tl_dist *d, const struct tl_report *r);
/* Evidence of ended runs, which loses its weight with time. */
double tl_evidence_past(const struct tl_worker *w, uint64_t now);
/* All evidence against the worker. */
double tl_evidence(const struct tl_worker *w, uint64_t now);
/* Share of moves that are expected to be of use. */
double tl_move_trust(const struct tl_state *s, uint64_t now);
/* Expected times of a run; trust: probability that its worker is slow. */
struct tl_forecast tl_expect(
    const struct tl_dist *d, const struct tl_run *run, double trust);

#ifdef __cplusplus
}
#endif

#endif
