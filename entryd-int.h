/*
 * entryd-int - internal interface of the entry daemon on the users' platform
 *
 * entryd.c is the role (see serve.h), entrycall.c handles requests of callers
 * and of other entries, entryjoin.c lets an entry that starts learn what the
 * others know, entrystore.c applies the contents of the platform's store.
 */
#ifndef ENTRYD_INT_H
#define ENTRYD_INT_H

#include "catchup.h"
#include "claim.h"
#include "coord.h"
#include "hist.h"
#include "intake.h"
#include "lag.h"
#include "opstate.h"
#include "platform/follow.h"
#include "rank.h"
#include "relay.h"
#include "route.h"
#include "serve.h"
#include "tomb.h"

/* The recipient of an answer: an HTTP caller of this entry, or another entry
 * that forwarded the request. */
struct caller {
    struct web_req *req; /* NULL if the request was forwarded to this entry */
    struct rl_accepted *forwarded; /* NULL if the caller is local */
    uint64_t read_ms;        /* when the request of a local caller was read */
    uint64_t waits_since_ms; /* another entry claimed its job; 0: never */
};

struct entry {
    struct serve *s;
    struct coord coord;
    struct rk_table ranks;
    struct rt_table routes;
    struct web *callers; /* HTTP server for jobs */
    struct web *ready;   /* HTTP server of the readiness check */
    struct wl_log callers_log;
    struct wl_log ready_log;
    struct follow *operators; /* configuration and withdrawn domains */
    struct follow *members;   /* registrations and run time estimates */
    struct relay relay;
    struct claims claims;
    struct tombs tombs;
    struct catchup catchup;
    uint64_t forwarded_out; /* requests forwarded to other entries */
    uint64_t forwarded_in;  /* requests received from other entries */
    struct opstate opstate;
    struct hist answer_ms;   /* from the arrival of a request to its answer */
    struct hist unread_ms;   /* requests: from the last bytes' arrival to their
                                reading */
    struct hist outlived_ms; /* runs: from their job's end to their own */
    uint64_t read_after_close; /* requests whose caller had left */
    uint64_t last_queried; /* entry whose operator state was requested last */
    uint64_t load_logged_ms;
    uint64_t balance_logged; /* requests forwarded by wait, when logged */
    uint64_t balance_logged_ms;
    bool accepting; /* new connections of callers */
    struct intake intake;
    struct lag lag;
    bool logged_overloaded; /* the state that was logged last */
    uint32_t failed_checks; /* readiness checks, in a row */
    uint64_t shed_requests; /* refused because of overload */
    ev_check pass_check;    /* at the start of each pass of the loop */
    ev_timer resume_timer;  /* active while requests wait for the next pass */
    /* Requests are stale (waited through a pause of the process) if they are
     * read within this number of ec_flush() calls, or before this time. */
    uint32_t stale_passes;
    uint64_t stale_until_ms;
};

/* --- entrycall.c: requests of callers, forwarded requests --- */
extern const struct co_ops ec_co_ops;
extern const struct rl_ops ec_rl_ops;
extern const struct cl_ops ec_cl_ops;
extern const struct tb_ops ec_tb_ops;
/* A job was cancelled or has failed at another entry, ms ago: ends it here,
 * and requests for it that wait; true if it was in progress. */
bool ec_end_job(struct entry *e, uint64_t job, uint64_t ms);
void ec_open(struct entry *e);
/* Callbacks of the callers' server: a request was received completely; the
 * caller of an unanswered request closed its connection. */
void ec_request(void *ctx, struct web_req *r);
void ec_caller_left(void *ctx, struct web_req *r);
/* Read pending requests from callers and send pending answers. */
void ec_flush(struct entry *e);
/* Start as many queued requests as this pass of the loop has time for. */
void ec_start_queued(struct entry *e, uint64_t now);
/* Answer everything that waits: a planned stop is nearly over. */
void ec_give_up(struct entry *e, uint64_t now);
/* Reply with a JSON body. */
void ec_reply(struct web_req *r, unsigned status, const char *text);

/* --- entryjoin.c: an entry that has just started --- */
void ej_open(struct entry *e);
void ej_close(struct entry *e);
/* Handle messages of another entry. */
void ej_join(struct entry *e, uint64_t now, uint64_t from, const dw_join *m);
void ej_joined(
    struct entry *e, uint64_t now, uint64_t from, const dw_joined *m);

/* --- entrystore.c: operator state, members, run time estimates --- */
/* Start following the store. */
void en_open(struct entry *e);
/* Handle another entry's request for, or report of, operator state. */
void en_operator_state(struct entry *e, uint64_t from, const dw_news *msg);
/* Request operator state from a few other entries. */
void en_query_peers(struct entry *e);
/* Tell agents, if due, whether their failure domains are withdrawn. */
void en_tell_agents(struct entry *e, uint64_t now);
/* Save the run time estimates to the store, if due, for entries that start
 * later. */
void en_save_estimates(struct entry *e, uint64_t now);

#endif
