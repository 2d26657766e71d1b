/*
 * admit - refusal on arrival, by the predicted wait
 *
 * While a service lacks cores, a job that arrives either is refused at once or
 * keeps its place.  Its wait is predicted from the work ahead of it and the
 * cores: that of all entries where the estimate is known, otherwise that of
 * this entry's queue.  Two effects make a wait longer than that:
 *
 * - Work that arrives later and has an earlier objective goes first.
 * - A job that can no longer meet its objective falls behind all that can.
 *   From then on only those cores drain the work ahead that arrivals leave.
 *
 * The prediction is corrected by outcomes: by route, a decaying distribution
 * of the ratio of actual to predicted wait.  Of a job that is refused after it
 * waited only a lower bound of the wait is known; it counts in the buckets
 * above, in proportion to their weight (redistribution to the right).
 *
 * Source: Efron: The two sample problem with censored data, Proc. 5th Berkeley
 * Symposium, 1967.
 */
#ifndef ADMIT_H
#define ADMIT_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "demand.h"
#include "hist.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Buckets of the ratio, two for each doubling; the middle one holds 1. */
#define AM_BUCKETS 21U
/* Routes with a distribution of their own; further ones share one. */
#define AM_ROUTES_MAX 256U
/* Quantile, in permille, of the wait by which a job is refused.  A lower one
 * admits jobs that are refused late, a higher one refuses jobs that could have
 * been served. */
#define AM_QUANTILE_PERMILLE 250U
/* Bound on a predicted wait, in ms. */
#define AM_WAIT_MAX_MS 60000.0

/* Ratios of actual to predicted wait of one route. */
struct am_ratios {
    double weight[AM_BUCKETS]; /* outcomes as of decayed_ms */
    uint64_t decayed_ms;       /* time up to which they have been decayed */
};

struct am_route {
    char *name;
    struct am_ratios ratios;
    UT_hash_handle hh;
};

/* Why a job was refused. */
enum am_reason { AM_ADMISSION, AM_CAPACITY_LOST, AM_NO_TURN, AM_REASONS };
extern const char *const am_reason_names[];

/* An entry's corrections and counters; zero at the start. */
struct am_state {
    struct am_route *routes;
    struct am_ratios others; /* of routes beyond AM_ROUTES_MAX */
    uint64_t refused[AM_REASONS];
    uint64_t kept_for_free_cores; /* jobs that would have been refused */
    struct hist predicted;        /* waits of admitted jobs */
    struct hist actual;           /* of these, where they were placed */
};

/* What an entry knows of its own queue.  Work is in millicores x ms. */
struct am_queue {
    double cores;       /* expected millicores */
    double ahead;       /* work of jobs that are placed before this one */
    double on_time;     /* work of all jobs that can meet their objective */
    double urgent_rate; /* arriving work per ms that goes first */
    double total_rate;  /* all arriving work per ms */
};

/* The job that arrives; times from now, in ms. */
struct am_job {
    double on_time_ms; /* until which it must start to meet its objective */
    double useful_ms;  /* until which it must start to be of use */
    double objective_ms;
    double work;       /* of its own tasks, in millicores x ms */
    double millicores; /* of its own tasks */
};

struct am_prediction {
    double wait_ms;      /* uncorrected */
    double corrected_ms; /* times the quantile of the ratio */
    bool estimated;      /* from the estimate, not from the own queue */
    uint32_t age_ms;     /* of the estimate */
    bool refuse;
};

/* Predicts the wait from the estimate if it is known, or else the queue. */
double am_wait_ms(const struct am_queue *q, const struct dm_estimate *e,
    const struct am_job *j);
/* Predicts and corrects the wait of a job of the route, and decides. */
struct am_prediction am_decide(struct am_state *s, uint64_t now,
    const char *route, const struct am_queue *q, const struct dm_estimate *e,
    const struct am_job *j);

/* A job of the route was placed after waiting, or was given up then. */
void am_placed(struct am_state *s, uint64_t now, const char *route,
    double predicted_ms, double actual_ms);
void am_given_up(struct am_state *s, uint64_t now, const char *route,
    double predicted_ms, double waited_ms);

/* The ratio at this quantile, from the outcomes and a wide prior around 1. */
double am_ratio_quantile(
    const struct am_ratios *r, uint64_t now, uint32_t permille);
/* The workers have lost capacity since the job was admitted. */
bool am_capacity_lost(double admitted_capacity, double capacity);
/* ms after which a refused caller should retry: the time until there will be
 * capacity, and up to as much again by jitter (0 to 1). */
uint32_t am_retry_after_ms(
    const struct am_prediction *p, const struct am_job *j, double jitter);

void am_free(struct am_state *s);

#ifdef __cplusplus
}
#endif

#endif
