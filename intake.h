/*
 * intake - requests that have come and wait to be begun
 *
 * Reading a request costs little, beginning it much more.  So requests wait
 * here, and a pass of the loop begins as many as it has time for after the
 * messages, timers and answers of that pass.  One that would wait longer than
 * an entry may keep it is refused when it comes, before its body is looked at;
 * one that has waited longer, as the process got less of the processor than it
 * counted on, is refused when its turn comes.
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

/* us that a request may wait to be begun. */
#define IT_MAX_WAIT_US 150000U
/* us of a pass in which requests are begun, at least one in each. */
#define IT_PASS_BUDGET_US 20000U

struct it_request;

struct intake {
    struct it_request *head;
    size_t count;
    double
        start_cost_us; /* what beginning a request takes, mean of the latest */
    double other_cost_us; /* what the rest of a pass takes, likewise */
    uint64_t
        pass_start_us; /* when this pass began to begin requests; 0: not yet */
    uint64_t dequeued_us; /* when the last was taken; 0: none in this pass */
    uint64_t pass_end_us;
};

enum it_action {
    IT_NONE,  /* none waits, or this pass has no time for more */
    IT_START, /* begin it */
    IT_REFUSE /* it has waited too long */
};

void it_free(struct intake *t);
/* A request has come.  False: refuse it, it would wait too long. */
bool it_add(struct intake *t, uint64_t now_us, void *handle);
/* Its caller has gone; false if it does not wait here. */
bool it_remove(struct intake *t, const void *handle);
/* One that has waited too long, to be refused; NULL if there is none. */
void *it_pop_expired(struct intake *t, uint64_t now_us);
/* The next of this pass; called until IT_NONE. */
enum it_action it_next(struct intake *t, uint64_t now_us, void **handle);

/* Queries. */
size_t it_count(const struct intake *t);
/* us that a request which comes now would wait. */
double it_expected_wait_us(const struct intake *t);

#ifdef __cplusplus
}
#endif

#endif
