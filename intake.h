/*
 * intake - queue of requests that were received but not started
 *
 * Reading a request costs little, starting it much more.  So requests wait
 * here, and each pass of the event loop starts as many as it has time for,
 * after its messages, timers and answers.  A request whose expected wait is
 * too long is refused on arrival, before its body is parsed.  One that has
 * waited too long, as the process got less processor time than expected, is
 * refused when it reaches the head of the queue.
 *
 * Source: Mogul, Ramakrishnan: Eliminating Receive Livelock in an
 * Interrupt-driven Kernel, ACM TOCS 1997 (quotas, drop early).
 */
#ifndef INTAKE_H
#define INTAKE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* us for which a request may wait to be started. */
#define IT_MAX_WAIT_US 150000U
/* us of each pass in which requests are started; at least one is. */
#define IT_PASS_BUDGET_US 20000U

struct it_request;

/* Times are us of one steady clock. */
struct intake {
    struct it_request *head; /* oldest first */
    size_t count;
    double start_cost_us;   /* mean time to start a request, recently */
    double other_cost_us;   /* mean time of the rest of a pass, recently */
    uint64_t pass_start_us; /* first start in this pass; 0: not yet */
    uint64_t dequeued_us;   /* start of the last request; 0: none or refused */
    uint64_t pass_end_us;   /* end of the starts in the pass before; 0: none */
};

/* What to do next in a pass. */
enum it_action {
    IT_NONE,  /* no request waits, or the time of this pass is used up */
    IT_START, /* start the request */
    IT_REFUSE /* refuse the request: it has waited too long */
};

void it_free(struct intake *t);
/* Adds a request.  False: it would wait too long and must be refused. */
bool it_add(struct intake *t, uint64_t now_us, void *handle);
/* Removes a request whose caller has left; false if it does not wait here. */
bool it_remove(struct intake *t, const void *handle);
/* Removes and returns the oldest request; NULL if there is none. */
void *it_pop(struct intake *t);
/* Removes and returns a request that has waited too long and must be refused;
 * NULL if there is none. */
void *it_pop_expired(struct intake *t, uint64_t now_us);
/* Removes the next request of this pass; to be called until IT_NONE. */
enum it_action it_next(struct intake *t, uint64_t now_us, void **handle);

/* Queries. */
/* The oldest waiting request for which match() is true; NULL if none. */
void *it_find(const struct intake *t,
    bool (*match)(const void *handle, const void *key), const void *key);
/* Requests that wait here. */
size_t it_count(const struct intake *t);
/* us that a request which arrives now is expected to wait. */
double it_expected_wait_us(const struct intake *t);

#ifdef __cplusplus
}
#endif

#endif
