/*
 * entryd-int - what the parts of the entry on the users' platform share
 */
#ifndef ENTRYD_INT_H
#define ENTRYD_INT_H

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

/* Who waits for a job: a caller here, or another entry for one there. */
struct caller {
    struct web_req *req; /* NULL: the other */
    struct rl_accepted *taken;
};

struct entry {
    struct serve *s;
    struct coord coord;
    struct rk_table ranks;
    struct rt_table routes;
    struct web *callers;
    struct web *ready;
    struct follow *operators;
    struct follow *members;
    struct relay relay;
    uint64_t given;
    uint64_t taken;
    struct opstate news;
    struct hist answer_ms; /* from a request to its answer */
    uint64_t asked_last;   /* the entry asked for news last */
    uint64_t load_line_ms;
    bool accepting;
    struct intake intake;
    struct lag lag;
    bool was_out;          /* of rotation, as logged last */
    uint32_t missed_looks; /* of the balancer since it is out */
    uint64_t turned_away;
    ev_check pass_check;
    ev_timer more; /* requests are left over for the next pass */
    uint32_t stale_runs;
    uint64_t stale_ms; /* requests read before this time waited too long */
};

/* --- entrycall.c: callers, and entries that give or take requests --- */
extern const struct co_ops ec_co_ops;
extern const struct rl_ops ec_rl_ops;
void ec_open(struct entry *e);
/* A caller's request has come whole; its caller has gone. */
void ec_request(void *ctx, struct web_req *r);
void ec_gone(void *ctx, struct web_req *r);
/* Read what callers have sent and send what they were answered. */
void ec_run(struct entry *e);
/* Begin the requests that this pass of the loop has time for. */
void ec_begin(struct entry *e, uint64_t now);
void ec_reply(struct web_req *r, unsigned status, const char *text);

/* --- entrynews.c: what the store and other entries tell --- */
void en_open(struct entry *e);
void en_take_news(struct entry *e, uint64_t from, const dw_news *told);
void en_ask_others(struct entry *e);
/* What jobs take is kept for whoever starts next. */
void en_keep_times(struct entry *e, uint64_t now);

#endif
