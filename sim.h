/*
 * sim - discrete-event simulation of entries, agents, workers and callers
 *
 * The decision modules (coord, fleet, sess, agent, runner and those below
 * them) are the ones of the daemon.  Workers, callers, the store's list of
 * agents and the network are models driven by one seed: the same deployment
 * gives the same sequence of events.
 *
 * One simulated run of a deployment is called a day, whatever its length.
 * The simulation counts time in us, because messages within a failure domain
 * take less than a millisecond; the decision modules get whole milliseconds.
 */
#ifndef SIM_H
#define SIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "schedconf.h"
#include "str.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SIM_DOMAINS_MAX 5U
#define SIM_ENTRIES_MAX 64U
#define SIM_WORKERS_MAX 1000U
#define SIM_KINDS_MAX 4U
#define SIM_FAULTS_MAX 8U
/* Length of the windows in which results are also counted. */
#define SIM_WINDOW_MS 2000U

/* How callers choose their deadline; see sim_kind.timeout_ms. */
enum sim_patience {
    SIM_PATIENCE_OF_WORK, /* timeout_ms plus a multiple of the objective */
    SIM_PATIENCE_FIXED,   /* the same for all requests of a kind */
    SIM_PATIENCE_LOOSE,   /* log-normal, from short to long waits */
    SIM_PATIENCE_COUNT
};

/* A kind of request; each has a route of its own.  The objective of a request
 * is stretch_milli / 1000 times its longest task plus slo_ms. */
struct sim_kind {
    double share;          /* of all requests, 0 to 1 */
    double value;          /* of a request with mean work, answered in time */
    double run_median_ms;  /* median run time of a task */
    double run_log_sigma;  /* of its logarithm, from job to job */
    double tasks_mean;     /* tasks of a request */
    uint32_t tasks_max;    /* tasks of a request */
    uint32_t millicores;   /* of a task */
    double declared_ratio; /* median of declared over true run time */
    double declared_log_sigma; /* of the logarithm of that ratio */
    uint32_t stretch_milli;    /* in thousandths */
    uint32_t slo_ms;
    uint32_t timeout_ms; /* base of the callers' deadline */
    uint32_t attempts;   /* most runs of a task */
    uint32_t priority;   /* as submitted to the entry */
};

/* Faults and load changes that are injected into a day.  "x" is
 * sim_fault.factor, "a share" is sim_fault.share. */
enum sim_fault_kind {
    SIM_BURST,        /* x times the request rate, of one kind or of all */
    SIM_POWER_LOSS,   /* every process dies */
    SIM_WITHDRAWN,    /* a failure domain is withdrawn: no more starts */
    SIM_SLOW,         /* a share of the workers takes x times as long */
    SIM_HANG,         /* tasks on a share of the workers make no progress */
    SIM_FAIL,         /* a share of the workers fails all runs */
    SIM_CRASH,        /* a share of the workers dies */
    SIM_LATE_ORDERS,  /* a share of the orders is carried out late */
    SIM_LEAVE,        /* a share of the callers leaves early */
    SIM_WIDE_JOBS,    /* x times the tasks per request, of one kind */
    SIM_FAILING_JOBS, /* a share of the jobs fails in every run */
    SIM_ENTRY_KILL,   /* one entry dies and is restarted */
    SIM_ENTRY_SLOW,   /* one entry's processor is x times slower */
    SIM_FAULT_KINDS
};

/* Names of the faults in experiment files and reports. */
extern const char *const sim_fault_names[SIM_FAULT_KINDS];

struct sim_fault {
    enum sim_fault_kind kind;
    uint32_t start_ms; /* from the first request */
    uint32_t duration_ms;
    double share;    /* of workers, callers, orders or jobs, 0 to 1 */
    double factor;   /* size of the effect; see enum sim_fault_kind */
    uint32_t target; /* index of the kind of request, domain or entry */
    bool all_kinds;  /* of request, instead of target */
};

/* Weights of the parts of a day's score; see sim_compute_result() in
 * simcaller.c. */
struct sim_weights {
    double day;          /* share of the value earned over the whole day */
    double windows;      /* mean of that share in the two worst windows */
    double kind;         /* that share for the worst kind of request */
    double served_nines; /* share of requests served, late or not, in nines */
};

struct sim_deployment {
    uint64_t seed;
    struct sim_weights weights;
    uint32_t length_ms;    /* time in which requests arrive */
    uint32_t domain_count; /* failure domains; index modulo this is the
                              domain of an entry or worker */
    uint32_t entry_count;
    uint32_t worker_count;
    uint32_t kind_count;
    uint32_t fault_count;
    uint32_t millicores[SIM_WORKERS_MAX]; /* capacity of each worker */
    double speed[SIM_WORKERS_MAX];        /* of each worker; 1 is nominal */
    /* Share of the callers of its domain, relative to the other entries. */
    double entry_weight[SIM_ENTRIES_MAX];
    double entry_cores[SIM_ENTRIES_MAX]; /* 0: its processing takes no time */
    bool no_forwarding;                  /* between entries */
    bool always_in_rotation; /* overloaded entries stay with the balancer */
    struct sc_settings settings; /* of all entries */
    struct sim_kind kind[SIM_KINDS_MAX];
    struct sim_fault fault[SIM_FAULTS_MAX];
    double requests_per_s;
    double task_log_sigma; /* of task run times within a job */
    double tail_share; /* of the tasks, that take tail_factor times as long */
    double tail_factor;
    /* One-way latencies. */
    uint32_t cross_domain_latency_us;
    uint32_t local_latency_us;  /* within a failure domain */
    uint32_t caller_latency_us; /* between a caller and an entry */
    uint32_t worker_latency_us; /* between an agent and its worker */
    uint32_t restart_max_ms; /* longest time until a dead process restarts */
    uint32_t resend_ms; /* until callers resend after a broken connection */
    double retry_share; /* of refused callers, that retry after the advised
                           time */
    double run_failure_share; /* of runs, that fail without another fault */
    enum sim_patience patience;
};

/* Outcomes of the requests of a day, a window or a kind. */
struct sim_totals {
    uint64_t requests;
    uint64_t in_time; /* answered within the objective */
    uint64_t late;    /* answered later, but still of use */
    uint64_t refused;
    uint64_t lost;        /* no answer, an answer too late, or a failure */
    double value_offered; /* of all requests but those whose caller left */
    double value_earned;
};

struct sim_result {
    struct sim_totals total;
    struct sim_totals kind[SIM_KINDS_MAX];
    struct sim_totals *window; /* free with sim_result_free() */
    size_t window_count;
    double score;          /* weighted by sim_deployment.weights */
    uint64_t refused_late; /* later than a quarter of the objective */
    uint64_t refused_early;
    uint64_t runs;
    uint64_t
        rejected_full;  /* runs that agents rejected for lack of capacity */
    uint64_t moved;     /* runs moved to another agent */
    uint64_t messages;  /* between entries and agents */
    uint64_t forwarded; /* requests, from entry to entry */
    uint64_t sessions_lost;   /* of entries with agents that fell silent */
    uint64_t longest_pass_us; /* of an entry's event loop */
    double worst_entry;    /* refused fraction of the worst entry over that of
                            * all; 0: nothing was refused */
    double estimate_error; /* mean of |ln(estimated over true run time)| */
    uint64_t estimates;    /* number of estimates in that mean */
    struct buf violations; /* of the scheduler's guarantees, one a line */
};

/* Draws a random deployment and its faults within the given ranges. */
struct sim_ranges;
void sim_draw(
    struct sim_deployment *d, uint64_t seed, const struct sim_ranges *r);

/* Simulates one day of a deployment and returns its result in *out. */
void sim_run_day(const struct sim_deployment *d, struct sim_result *out);
void sim_result_free(struct sim_result *r);

/* Bounds within which deployments are drawn.  Names that end in _min and _max
 * are inclusive bounds of the field of sim_deployment or sim_kind. */
struct sim_ranges {
    uint32_t length_ms;
    uint32_t domains_max;
    uint32_t workers_min;
    uint32_t workers_max;
    uint32_t entries_min; /* per domain */
    uint32_t entries_max;
    double load_min; /* requested cores over all cores */
    double load_max;
    /* Instead of more requests than this, tasks take longer. */
    double requests_per_s_max;
    uint32_t task_millicores_min;
    uint32_t task_millicores_max;
    double speed_min;  /* of a worker */
    double speed_max;  /* 0: two sizes of workers, the larger up to 1.4 */
    double tail_share; /* of the tasks; 0: no run times are drawn longer */
    double tail_factor;
    double entry_cores_min; /* per entry */
    double entry_cores_max; /* 0: processing in entries takes no time */
    bool no_forwarding;
    bool always_in_rotation;
    struct sc_settings settings;
    double burst_factor_max; /* of the request rate, in SIM_BURST */
    uint32_t faults_min;     /* drawn faults per day */
    uint32_t faults_max;
    bool fault_drawn[SIM_FAULT_KINDS];       /* may be drawn */
    bool patience_drawn[SIM_PATIENCE_COUNT]; /* may be drawn */
    bool fault_always[SIM_FAULT_KINDS];      /* part of every day */
    struct sim_weights weights;
};

/* Sets the defaults. */
void sim_ranges_init(struct sim_ranges *r);

#ifdef __cplusplus
}
#endif

#endif
