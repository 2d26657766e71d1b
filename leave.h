/*
 * leave - phases of a planned stop
 *
 * A process that is told to stop finishes what it has begun.  When its time is
 * nearly over it answers all that still waits, writes these answers, and
 * exits.
 *
 * Times are ms of one steady clock.
 */
#ifndef LEAVE_H
#define LEAVE_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* ms before the end of the stop at which what still waits is answered. */
#define LV_ANSWER_MS 400U
/* ms that the answers are written for, also if the process stood still until
 * the end of the stop. */
#define LV_WRITE_MS 100U

/* Starts as {0}. */
struct lv_stop {
    bool begun;
    bool gave_up; /* what still waited was answered */
    uint64_t begun_ms;
    uint64_t gave_up_ms;
    uint64_t end_ms; /* the process exits then */
};

enum lv_action {
    LV_WAIT,
    LV_GIVE_UP, /* answer all that waits; returned once */
    LV_EXIT
};

/* The stop starts and ends in max_ms at the latest. */
void lv_begin(struct lv_stop *s, uint64_t now, uint64_t max_ms);
/* What to do now.  done: nothing waits, and all answers are written. */
enum lv_action lv_next(struct lv_stop *s, uint64_t now, bool done);

#ifdef __cplusplus
}
#endif

#endif
