/*
 * estimate - run times of a job's tasks, learned from earlier jobs of its
 * route
 *
 * Declared run times are inaccurate: they vary at random, and on some routes
 * all are off by the same factor.  Three estimation methods run side by side,
 * and each is checked against the run times that are then measured: the
 * declared time itself; a line fitted through declared and measured times; and
 * a line through the time that callers are ready to wait and measured times,
 * as many callers set their deadline by the work that they request.  The
 * method with the least error is used; until one is better, the declared time.
 *
 * Callers that got no answer send the request again with what remains of their
 * time.  If much less remains than callers of similar jobs start with, a
 * request was sent before, and its objective counts from then.
 *
 * Lines are fitted by the Theil-Sen estimator, which up to a quarter of
 * outliers does not affect.  Source: Sen, Estimates of the regression
 * coefficient based on Kendall's tau, JASA 63, 1968.
 */
#ifndef ESTIMATE_H
#define ESTIMATE_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "str.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Latest jobs of a route that lines are fitted through. */
#define ES_SAMPLES_MAX 64U
/* Multiple of the objective up to which an answer is late but still useful, as
 * the platform defines it. */
#define ES_USEFUL_OBJECTIVES 3U

/* A route's objective for the time to the answer. */
struct es_objective {
    uint32_t stretch_milli; /* factor on the longest chain of work, in
                             * thousandths */
    uint32_t slo_ms;        /* added to the stretched work */
};

/* What is known of a job when it arrives. */
struct es_input {
    uint32_t declared_ms;  /* declared run time of its longest task */
    uint32_t remaining_ms; /* until its caller stops waiting */
};

struct es_estimate {
    uint32_t run_ms;       /* of the longest task at usual speed */
    uint32_t objective_ms; /* time left for it; 0: it has passed */
    uint32_t useful_ms;    /* time left in which an answer is useful */
};

/* A completed job. */
struct es_sample {
    struct es_input input;
    uint32_t run_ms; /* of its longest task, measured, at usual speed */
};

/* y = intercept + slope * x. */
struct es_line {
    double intercept;
    double slope;
};

/* Methods to estimate a run time: as declared, by the line through declared
 * times, by the line through remaining times. */
enum es_method { ES_DECLARED, ES_FROM_DECLARED, ES_FROM_DEADLINE, ES_METHODS };

/* The model of one route. */
struct es_model {
    char *route;
    uint64_t jobs;     /* learned from, by this and earlier processes */
    uint32_t own_jobs; /* of these, by this process */
    struct es_line run_by_declared;       /* ln(run ms) by ln(declared ms) */
    struct es_line run_by_remaining;      /* run ms by remaining ms */
    struct es_line remaining_by_declared; /* remaining ms by declared ms */
    double remaining_spread_ms; /* median distance from the last line */
    double error[ES_METHODS];   /* weighted mean of |ln(estimate / measured)|,
                                 * dominated by recent jobs */
    struct es_sample samples[ES_SAMPLES_MAX]; /* ring of the latest own jobs */
    UT_hash_handle hh;
};

struct es_table {
    struct es_model *models;
    uint64_t jobs_learned; /* by this process */
    uint64_t jobs_saved;   /* jobs_learned at the last save */
    uint64_t saved_ms;     /* time of the last save, at first that of the first
                            * es_save_due(); 0: not called yet */
    uint64_t save_interval_ms;
};

void es_free(struct es_table *t);
/* The model of a route, added if new; NULL if there are too many. */
struct es_model *es_model_of(struct es_table *t, const char *route);
/* Learns from a completed job whose longest task took run_ms at usual
 * speed. */
void es_learn(struct es_table *t, struct es_model *m,
    const struct es_input *input, uint32_t run_ms);
/* Loads models that es_save() wrote in this or another process, where they
 * rest on more jobs; false if a line of the text is malformed. */
bool es_load(struct es_table *t, struct str text);

/* Queries. */
/* Estimates a job's times; m is NULL if there is no model of the route. */
struct es_estimate es_estimate_job(const struct es_model *m,
    const struct es_objective *o, const struct es_input *input);
/* The method with the least error; m may be NULL. */
enum es_method es_best_method(const struct es_model *m);
/* ms that saved models should be stored for; a multiple of the save interval.
 */
#define ES_SAVED_TTL_MS 600000U
/* True if the models should be saved now, for processes that start later: soon
 * after the first job, then at growing intervals.  Counts them as saved. */
bool es_save_due(struct es_table *t, uint64_t now);

/* Appends the models as text, one line each, for es_load(). */
void es_save(const struct es_table *t, struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
