/*
 * stage - a small deployment on loopback for the cases of this review
 *
 * One process stands in for the platform's store, the runners and the clients
 * (the store, the runners and the proxy are those of test/).  It fills in the
 * templates of deploy/ as the platform does, starts dunlinweird with the
 * command of deploy/system.toml as separate processes, each on a loopback
 * address of its own, and writes to record.txt what was sent, answered and
 * run.
 */
#ifndef STAGE_H
#define STAGE_H

#include <ev.h>
#include <stdio.h>

#include "../test/soak.h"

/* As in the pages: three zones with one edge machine each, 11 runners. */
#define STAGE_ENTRIES 3
#define STAGE_AGENTS 11
#define STAGE_JOBS_MAX 4096
#define STAGE_TASKS_MAX 8

/* Bounds of the sites pv-dunlin and vfh-orderbook, in ms. */
#define GRACE_MS 6000U
#define RETRANSMIT_MS 1300U
#define CONTACT_MS 3000U
#define CANCEL_MS 3000U
#define STOP_MS 50U
#define RECOVERY_MS 12000U

struct stage;

/* A process of the system under test and its machine. */
struct machine {
    struct stage *s;
    char name[32];
    char ip[20];
    const char *zone;
    bool is_agent;
    pid_t pid;           /* 0: down */
    uint64_t restart_ms; /* when the platform starts it again; 0: is up */
};

/* A job of a client. */
struct job {
    struct stage *s;
    uint64_t id;
    uint32_t tasks;
    uint32_t run_ms;
    uint32_t deadline_ms; /* Deadline-Remaining of its requests */
    bool ordinary;        /* one of the usual load */
    uint64_t sent_ms;     /* the first request */
    uint32_t posts;       /* requests sent */
    uint32_t answers;     /* requests answered */
    long status;          /* of the last answer to a POST; 0: none */
    bool completed;
    uint64_t answered_ms; /* of the last answer */
    uint32_t starts;
    uint64_t first_start_ms;
    uint64_t cancel_sent_ms; /* 0: not cancelled */
    uint64_t cancel_ack_ms;  /* when its DELETE had 2xx or 410; 0: not yet */
    long cancel_status;
    uint32_t starts_after_cancel; /* later than CANCEL_MS after the ack */
    uint32_t runs_on;             /* tasks at work STOP_MS after that */
    bool on[STAGE_TASKS_MAX];     /* counted in runs_on */
    struct httpc_req *request;    /* of the last POST; NULL: ended */
    int step;                     /* free for the scenario */
};

/* What a case does; times are ms since the start of the traffic. */
struct scenario {
    const char *name;
    uint64_t length_ms;
    /* Called every 5 ms. */
    void (*tick)(struct stage *s, uint64_t t);
    /* A run started; may be NULL. */
    void (*started)(
        struct stage *s, struct job *j, int worker, const struct fw_run *r);
};

struct stage {
    struct ev_loop *loop;
    struct httpc *http;
    uint64_t epoch_ms; /* start of the traffic */
    uint64_t now;
    uint64_t random;
    bool trouble;
    const char *bin;
    char dir[256];
    FILE *record;
    const struct scenario *scenario;
    uint16_t store_port;
    uint16_t workers_port;
    struct fake_store *store;
    struct fw_server *worker_server;
    struct fake_worker *workers[STAGE_AGENTS];
    struct proxy *worker_proxies[STAGE_AGENTS];
    struct machine entries[STAGE_ENTRIES];
    struct machine agents[STAGE_AGENTS];
    struct job jobs[STAGE_JOBS_MAX];
    size_t job_count;
    uint64_t next_beat_ms;
    uint64_t next_ordinary_ms;
    int turn;       /* of the entries, for the usual load */
    uint64_t twice; /* starts of a task that is at work elsewhere */
    uint64_t not_run_but_started;
    bool crashed;     /* a process ended by itself */
    uint64_t back_ms; /* when all processes were back after the final fault; 0:
                       * there was none */
    ev_timer tick;
};

/* Writes a line to record.txt. */
void st_record(struct stage *s, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
struct job *st_add_job(
    struct stage *s, uint32_t tasks, uint32_t run_ms, uint32_t deadline_ms);
/* Sends the job's POST, or the same once more, to an entry. */
void st_post(struct stage *s, struct job *j, int entry);
/* Sends the job's DELETE to an entry. */
void st_delete(struct stage *s, struct job *j, int entry);
/* The client closes the connection of its last POST. */
void st_leave(struct stage *s, struct job *j);
/* Sends a heartbeat to an agent. */
void st_send_heartbeat(
    struct stage *s, int agent, const char *id, struct str body);
/* Kills a process; the platform starts it again after down_ms. */
void st_kill(struct stage *s, struct machine *m, uint32_t down_ms);
/* The zone of an agent and its runner, or of an entry, 0 to 2. */
static inline int
st_zone_of(int i)
{
    return i % 3;
}
/* A zone is without power for for_ms: its processes and runners end.  The
 * runners start again 200 ms after that, some under the id that they had, the
 * processes after 1,000 ms. */
void st_zone_loss(struct stage *s, int zone, uint32_t for_ms);
/* Runs the scenario of that name; the exit status of the case. */
int st_main(int argc, char **argv, const struct scenario *scenarios, size_t n);

#endif
