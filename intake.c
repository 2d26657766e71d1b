#include "intake.h"

#include <stdlib.h>
#include <utlist.h>

#include "str.h"

/* Means are over about so many of the latest. */
#define MEAN_OF 16.0

struct it_request {
    void *handle;
    uint64_t come_us;
    struct it_request *prev;
    struct it_request *next;
};

static void
remove_request(struct intake *t, struct it_request *r)
{
    DL_DELETE(t->first, r);
    t->count--;
    free(r);
}

void
it_free(struct intake *t)
{
    while (t->first != NULL) {
        remove_request(t, t->first);
    }
}

static void
learn(double *mean, uint64_t us)
{
    *mean += ((double)us - *mean) / MEAN_OF;
}

double
it_wait_us(const struct intake *t)
{
    double work = (double)t->count * t->begin_us;

    return work + work / IT_PASS_US * t->rest_us;
}

bool
it_add(struct intake *t, uint64_t now_us, void *handle)
{
    struct it_request *r;

    if (it_wait_us(t) > IT_WAIT_US) {
        return false;
    }
    r = dw_zero(1, sizeof(*r));
    r->handle = handle;
    r->come_us = now_us;
    DL_APPEND(t->first, r);
    t->count++;
    return true;
}

bool
it_drop(struct intake *t, const void *handle)
{
    struct it_request *r;

    DL_FOREACH (t->first, r) {
        if (r->handle == handle) {
            remove_request(t, r);
            return true;
        }
    }
    return false;
}

void *
it_late(struct intake *t, uint64_t now_us)
{
    struct it_request *r = t->first;
    void *handle = NULL;

    if (r != NULL && now_us - r->come_us > IT_WAIT_US) {
        handle = r->handle;
        remove_request(t, r);
    }
    return handle;
}

/* The pass has begun all that it will. */
static enum it_turn
end_pass(struct intake *t, uint64_t now_us)
{
    t->pass_us = 0;
    t->taken_us = 0;
    t->rest_from_us = now_us;
    return IT_NONE;
}

enum it_turn
it_next(struct intake *t, uint64_t now_us, void **handle)
{
    struct it_request *r = t->first;

    if (t->taken_us != 0) {
        learn(&t->begin_us, now_us - t->taken_us);
    }
    if (r == NULL) {
        return end_pass(t, now_us);
    }
    if (t->pass_us == 0) {
        t->pass_us = now_us;
        /* It has waited since the pass before, so there was no idle time. */
        if (t->rest_from_us != 0 && r->come_us < t->rest_from_us) {
            learn(&t->rest_us, now_us - t->rest_from_us);
        }
    }
    else if (now_us - t->pass_us >= IT_PASS_US) {
        return end_pass(t, now_us);
    }
    *handle = it_late(t, now_us);
    if (*handle != NULL) {
        t->taken_us = 0;
        return IT_REFUSE;
    }
    *handle = r->handle;
    t->taken_us = now_us;
    remove_request(t, r);
    return IT_BEGIN;
}

size_t
it_count(const struct intake *t)
{
    return t->count;
}
