/*
 * rig-2 - a small deployment on loopback for the cases of the second review
 *
 * Starts the daemons with the command of deploy/system.toml and the templates
 * of deploy/, each machine on a loopback address of its own, and stands in for
 * the platform's store, the runners, the operator and the clients, as
 * PROTOCOL.md and DEPLOY.md describe them.  One thread; a case is a sequence
 * of calls with pump() between them.  What is sent, answered and run goes to
 * the record.
 */
#ifndef RIG_2_H
#define RIG_2_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include <ev.h>

#include "httpc.h"
#include "str.h"
#include "web.h"

#define RIG_MACHINES 12
#define RIG_RUNS 128
#define RIG_CALLS 512

/* Bounds of the small deployments, in ms. */
#define CONTACT_MS 3000U
#define ACK_MS 4000U
#define CANCEL_MS 3000U
#define STOP_MS 50U
#define DRAIN_MS 2000U
#define CONFIG_MS 2000U
#define HEARTBEAT_MS 1500U
#define MAX_HOLD_MS 1000U
#define GRACE_S 6U

/* Machines: entries first, then agents. */
struct machine {
    int index;
    bool is_agent;
    char name[24];
    char zone[16];
    char ip[24];
    pid_t pid; /* 0: does not run */
    uint64_t started_ms;
    uint64_t start_ms; /* when the platform starts it again; 0: it does not */
    uint64_t down_ms;  /* from its end until the platform starts it again */
    uint64_t kill_ms;  /* end of grace_s; 0: no SIGTERM was sent */
    struct worker *worker; /* of an agent */
    struct web *store;     /* the store's address as this machine sees it */
};

/* A task at work on a worker. */
struct run {
    char task[64];
    int64_t run_id;
    uint64_t started_ms;
    uint64_t ends_ms;
    int64_t cpu;
    bool stopping;
};

/* A request of a client. */
struct call {
    struct httpc_req *req; /* NULL: it has ended */
    char what[64];
    uint64_t sent_ms;
    uint64_t ended_ms;
    bool ended;
    bool complete; /* an HTTP response came */
    long status;
    char body[200];
};

struct rig {
    struct ev_loop *loop;
    struct httpc *http;
    uint64_t epoch_ms;
    uint64_t now; /* ms since the epoch of the test */
    const char *dir;
    const char *daemon; /* the word of `run` in deploy/system.toml */
    FILE *record;
    bool trouble;
    int net; /* second byte of the addresses */
    int entries;
    int agents;
    struct machine machines[RIG_MACHINES];
    struct call calls[RIG_CALLS];
    int call_count;
    int cut_off; /* machine cut off from the store and other entries; -1 */
    void (*on_start)(struct rig *r, struct worker *w, const struct run *run);
};

/* --- rig --- */
extern struct rig rig;
void rig_open(int entries, int agents);
/* Runs the loop for ms. */
void pump(uint64_t ms);
/* Runs the loop until the condition holds; false after ms. */
bool pump_until(bool (*holds)(void *ctx), void *ctx, uint64_t ms);
void note(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/* Ends the program with the status: 0 held, 1 broken, 2 could not run. */
void finish(int status, const char *fmt, ...)
    __attribute__((format(printf, 2, 3), noreturn));
void start_machine(struct machine *m);
/* SIGTERM, SIGKILL after grace_s, and a start after the end. */
void term_machine(struct machine *m);
struct machine *entry(int i);
struct machine *agent(int i);
/* All entries are ready, all workers known. */
void await_ready(void);
/* A whole HTTP request from the platform's balancer to an entry. */
struct call *send_call(struct machine *m, const char *method, const char *path,
    const char *body, uint32_t deadline_ms);
bool call_ended(void *call);

/* --- the store --- */
void store_put(const char *key, const char *value);
void store_remove(const char *key);
bool store_has(const char *key);
void store_tick(void);
void store_open(struct machine *m);

/* --- runners --- */
struct worker *worker_new(struct machine *m, int64_t cpu);
void worker_tick(struct worker *w);
int worker_runs_of(const struct worker *w, const char *job);
bool worker_has_run(const struct worker *w, const char *task);
/* Of 1,000 starts and stops, how many get no answer and are carried out 2 to
 * 12 s later. */
void worker_set_late(struct worker *w, int permille);
/* It is without power for ms, and starts again under the id that it had. */
void worker_lose_power(struct worker *w, uint32_t ms);
/* All that is at work. */
int worker_run_count(const struct worker *w);
int worker_starts_of(const struct worker *w, const char *job);
void worker_drain(struct worker *w, uint32_t left_ms);
uint64_t worker_drain_ack_ms(const struct worker *w);
void worker_leave(struct worker *w);
/* The heartbeat's body with the field left out (NULL: none). */
void worker_heartbeat_body(struct worker *w, struct buf *out,
    const char *left_out, const char *state, uint64_t seq_no);
/* A call at the agent's control address; counts: it is the runner's own. */
void worker_post_control(
    struct worker *w, const char *call, struct str body, bool counts);
const char *worker_id(const struct worker *w);

#endif
