/*
 * dwload - shared parts of the load and experiment tool
 *
 * Internal.  dwload.c runs an experiment: it submits the jobs and injects the
 * faults.  dwtrace.c generates the jobs and their ideal schedule, dwfleet.c
 * starts and stops the processes, and dwreport.c checks the answers against
 * the starts counted by the stand-in backend servers and writes the report.
 */
#ifndef DWLOAD_H
#define DWLOAD_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "err.h"
#include "httpc.h"
#include "proto.h"
#include "str.h"

#define LD_FAULTS_MAX 64
#define LD_PROCS_MAX 256
#define LD_NAME_MAX 32
#define LD_DOMAINS 3

enum ld_fault_kind {
    LD_FAULT_KILL,       /* SIGKILL; restarted after duration_ms if above 0 */
    LD_FAULT_PAUSE,      /* SIGSTOP, then SIGCONT after duration_ms */
    LD_FAULT_STOP,       /* SIGTERM; restarted after duration_ms if above 0 */
    LD_FAULT_DOMAIN_OUT, /* failure domain withdrawn for duration_ms */
    LD_FAULT_STORE_DOWN, /* the store drops every request */
    LD_FAULT_STORE_SLOW, /* the store delays every reply */
    LD_FAULT_STORE_LOSE, /* half of the transactions lose their reply */
    LD_FAULT_WORKER_FAILS, /* the backend server fails every task */
    LD_FAULT_CANCEL_WAVE,  /* cancel every submitted job without an answer */
    LD_FAULT_KINDS
};

struct ld_fault {
    uint32_t kind;            /* enum ld_fault_kind */
    uint32_t start_ms;        /* since the start of the experiment */
    uint32_t duration_ms;     /* 0: not cleared */
    char target[LD_NAME_MAX]; /* process or failure domain */
};

/* Settings of an experiment; see dwload(1). */
struct ld_experiment {
    char name[LD_NAME_MAX];
    uint32_t seed;
    uint32_t base_port;
    uint32_t entries;
    uint32_t agents;
    uint32_t slots; /* of each backend server */
    uint32_t customers;
    uint32_t idle_calls; /* above 0: only send this many single requests, one
                           after another, to an idle fleet */
    uint32_t calls; /* number of jobs; 0: as many as arrive in `seconds` */
    uint32_t seconds;
    uint32_t load_permille;   /* mean use of all slots */
    uint32_t single_permille; /* share of jobs that have one task */
    uint32_t job_min;         /* tasks of the other jobs */
    uint32_t job_max;
    uint32_t run_min_ms; /* run time of a task */
    uint32_t run_median_ms;
    uint32_t run_max_ms;
    uint32_t burst_every_ms;    /* 0: no bursts */
    uint32_t burst_calls;       /* jobs in a burst */
    uint32_t resubmit_permille; /* share sent again to another entry */
    uint32_t resubmit_ms;     /* longest delay of a resubmission; 0: at once */
    uint32_t cancel_permille; /* share of jobs cancelled by the caller */
    uint32_t misdeclared_permille; /* share that uses far more than declared */
    uint32_t deadline_ms;          /* of each job, from its submission */
    char extra[512];               /* lines added to every daemon's settings */
    struct ld_fault faults[LD_FAULTS_MAX];
    size_t fault_count;
};

/* The state in the answer to a submission. */
enum ld_answer_state {
    LD_ANSWER_NONE, /* no answer yet */
    LD_ANSWER_COMPLETE,
    LD_ANSWER_FAILED,
    LD_ANSWER_NOT_RUN,
    LD_ANSWER_UNKNOWN,
    LD_ANSWER_REFUSED, /* by the HTTP interface, such as 503 entry_full */
    LD_ANSWER_STATES
};

/* One submission of a job to one entry.  Times are in ms since the start of
 * the experiment. */
struct ld_submission {
    uint32_t entry;
    double sent_ms; /* 0: not sent */
    double answered_ms;
    enum ld_answer_state state;
    char reason[32];
    bool results_match; /* has the result of every task, and of no other job */
};

/* A job that a caller submits.  Times are in ms since the start of the
 * experiment. */
struct ld_job {
    double arrival_ms; /* planned; the submission may be later */
    uint32_t customer;
    uint32_t task_count;
    uint32_t *run_ms; /* of each task */
    char key[40];     /* idempotency key; empty before the first submission */
    bool misdeclared; /* uses far more than it declares */
    bool cancel_sent; /* the cancel request was sent */
    double cancel_at_ms;   /* 0: never */
    double resubmit_at_ms; /* 0: never */
    struct ld_submission submissions[2];
    double ideal_response_ms; /* response time with the ideal schedule */
};

/* The jobs of an experiment, in the order of arrival. */
struct ld_trace {
    struct ld_job *jobs;
    size_t job_count;
    uint64_t task_count; /* of all jobs */
};

/* A process of the fleet: the store "store", agent "aN", backend server "bN"
 * or entry "eN". */
struct ld_proc {
    char name[LD_NAME_MAX];
    char *argv[6]; /* allocated; ends with NULL */
    pid_t pid;
    uint32_t http_port;
    uint32_t domain; /* index; see ld_domain_name() */
};

struct ld_fleet {
    const struct ld_experiment *x;
    char dir[128]; /* settings, logs and report */
    struct ld_proc procs[LD_PROCS_MAX];
    size_t count;
};

/* dwtrace.c */
/* Generate the jobs from the experiment's seed. */
void ld_trace_generate(struct ld_trace *t, const struct ld_experiment *x);
/* Set ideal_response_ms of all jobs: a first-come queue for the same slots
 * without overhead, with the same failure domains withdrawn. */
void ld_trace_schedule_ideal(
    struct ld_trace *t, const struct ld_experiment *x);
void ld_trace_free(struct ld_trace *t);
/* Format a UUIDv7 from the wall clock and random bits. */
void ld_format_key(
    char out[40], uint64_t wall_ms, uint64_t random_a, uint64_t random_b);
/* Failure domains are numbered in turn: domain modulo LD_DOMAINS. */
const char *ld_domain_name(uint32_t domain);

/* dwfleet.c */
/* Start all processes, wait until they are ready and write the contracts.
 * Return 0, or -1 with e set. */
int ld_fleet_start(struct ld_fleet *f, const struct ld_experiment *x,
    const char *dir, struct err *e);
/* Kill all processes with SIGKILL. */
void ld_fleet_stop(struct ld_fleet *f);
/* NULL if there is no such process. */
struct ld_proc *ld_fleet_find(struct ld_fleet *f, const char *name);
/* Start the process, or start it again.  Return 0, or -1 with errno. */
int ld_fleet_spawn(struct ld_fleet *f, struct ld_proc *p);
/* A blocking HTTP request, for set-up and the final check.  Return the HTTP
 * status, or 0 if there was no response.  `token` and `out` may be NULL. */
long ld_http_request(const char *method, const char *url, const char *token,
    struct str body, struct buf *out);

/* dwreport.c */
/* Check the answers and write report.md, the CSV files and a gnuplot script to
 * dir.  Return the number of violations.  start_boot_ms is the boot clock when
 * the experiment started. */
size_t ld_report_load(const struct ld_experiment *x, struct ld_trace *t,
    struct ld_fleet *f, const char *dir, double elapsed_ms,
    uint64_t start_boot_ms);
/* Write the report of an idle fleet: response times in ms of direct requests
 * to a backend server and of the same requests through an entry; negative if
 * the request failed.  Return the number of failed pairs. */
size_t ld_report_idle(const struct ld_experiment *x, const double *direct,
    const double *through, size_t n, const char *dir);

#endif
