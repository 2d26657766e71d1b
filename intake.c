#include "intake.h"

#include <stdlib.h>
#include <utlist.h>

#include "str.h"

/* Means are over about the latest 16 values. */
#define MEAN_SAMPLES 16.0

struct it_request {
    void *handle;
    uint64_t arrived_us;
    struct it_request *prev;
    struct it_request *next;
};

static void
remove_request(struct intake *t, struct it_request *r)
{
    DL_DELETE(t->head, r);
    t->count--;
    free(r);
}

void
it_free(struct intake *t)
{
    while (t->head != NULL) {
        remove_request(t, t->head);
    }
}

static void
update_mean(double *mean, uint64_t us)
{
    *mean += ((double)us - *mean) / MEAN_SAMPLES;
}

double
it_expected_wait_us(const struct intake *t)
{
    double work = (double)t->count * t->start_cost_us;

    return work + work / IT_PASS_BUDGET_US * t->other_cost_us;
}

bool
it_add(struct intake *t, uint64_t now_us, void *handle)
{
    struct it_request *r;

    if (it_expected_wait_us(t) > IT_MAX_WAIT_US) {
        return false;
    }
    r = dw_zero(1, sizeof(*r));
    r->handle = handle;
    r->arrived_us = now_us;
    DL_APPEND(t->head, r);
    t->count++;
    return true;
}

bool
it_remove(struct intake *t, const void *handle)
{
    struct it_request *r;

    DL_FOREACH (t->head, r) {
        if (r->handle == handle) {
            remove_request(t, r);
            return true;
        }
    }
    return false;
}

void *
it_find(const struct intake *t,
    bool (*match)(const void *handle, const void *key), const void *key)
{
    const struct it_request *r;

    DL_FOREACH (t->head, r) {
        if (match(r->handle, key)) {
            return r->handle;
        }
    }
    return NULL;
}

void *
it_pop(struct intake *t)
{
    struct it_request *r = t->head;
    void *handle = NULL;

    if (r != NULL) {
        handle = r->handle;
        remove_request(t, r);
    }
    return handle;
}

void *
it_pop_expired(struct intake *t, uint64_t now_us)
{
    const struct it_request *r = t->head;

    return r != NULL && now_us - r->arrived_us > IT_MAX_WAIT_US ? it_pop(t)
                                                                : NULL;
}

/* No more requests are started in this pass. */
static enum it_action
end_pass(struct intake *t, uint64_t now_us)
{
    t->pass_start_us = 0;
    t->dequeued_us = 0;
    t->pass_end_us = now_us;
    return IT_NONE;
}

enum it_action
it_next(struct intake *t, uint64_t now_us, void **handle)
{
    struct it_request *r = t->head;

    if (t->dequeued_us != 0) {
        update_mean(&t->start_cost_us, now_us - t->dequeued_us);
    }
    if (r == NULL) {
        return end_pass(t, now_us);
    }
    if (t->pass_start_us == 0) {
        t->pass_start_us = now_us;
        /* It has waited since the pass before, so no idle time is included. */
        if (t->pass_end_us != 0 && r->arrived_us < t->pass_end_us) {
            update_mean(&t->other_cost_us, now_us - t->pass_end_us);
        }
    }
    else if (now_us - t->pass_start_us >= IT_PASS_BUDGET_US) {
        return end_pass(t, now_us);
    }
    *handle = it_pop_expired(t, now_us);
    if (*handle != NULL) {
        t->dequeued_us = 0;
        return IT_REFUSE;
    }
    *handle = r->handle;
    t->dequeued_us = now_us;
    remove_request(t, r);
    return IT_START;
}

size_t
it_count(const struct intake *t)
{
    return t->count;
}
