#include "balance.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Forwarding begins if the own wait is BEGIN_RATIO times the peer's and
 * BEGIN_MS longer; it ends if it is not END_RATIO times the peer's or not
 * END_MS longer.  Two predictions for the same queue differ by up to END_MS.
 */
#define BEGIN_RATIO 2.0
#define BEGIN_MS 100.0
#define END_RATIO 1.2
#define END_MS 20.0
/* A wait has changed if it differs by this fraction of the longer one, and by
 * so many ms, which is the interval between predictions. */
#define CHANGE_FRACTION 0.25
#define CHANGE_MS 20.0
/* ms that a forwarded request adds to the peer's wait if none waits here. */
#define ADDED_MS 10.0
/* Time constant in ms of smoothed waits.  The wait that is predicted from the
 * cores which an entry holds at one moment varies by more than BEGIN_RATIO
 * while the load of all entries is equal. */
#define SMOOTHING_MS 200.0

static bool
is_row(const struct bl_row *r, struct str service, uint32_t priority)
{
    return r->priority == priority && str_eq(service, str_of(r->service));
}

static const struct bl_row *
find_exact(const struct bl_waits *w, struct str service, uint32_t priority)
{
    for (size_t i = 0; i < w->count; i++) {
        if (is_row(&w->rows[i], service, priority)) {
            return &w->rows[i];
        }
    }
    return NULL;
}

const struct bl_row *
bl_find(const struct bl_waits *w, struct str service, uint32_t priority)
{
    const struct bl_row *r = find_exact(w, service, BL_ANY_PRIORITY);

    return r != NULL ? r : find_exact(w, service, priority);
}

uint32_t
bl_longest_ms(const struct bl_waits *w)
{
    double longest = 0;

    for (size_t i = 0; i < w->count; i++) {
        longest = fmax(longest, w->rows[i].wait_ms);
    }
    return (uint32_t)longest;
}

/* NULL if there are too many rows, or the name is too long. */
static struct bl_row *
get_row(struct bl_waits *w, struct str service, uint32_t priority)
{
    struct bl_row *r = (struct bl_row *)find_exact(w, service, priority);

    if (r == NULL && w->count < BL_ROWS_MAX && service.n < BL_NAME_MAX) {
        r = &w->rows[w->count++];
        *r = (struct bl_row){.priority = priority};
        str_copy(r->service, sizeof(r->service), service);
    }
    return r;
}

void
bl_add(
    struct bl_waits *w, struct str service, uint32_t priority, double wait_ms)
{
    struct bl_row *r = get_row(w, service, priority);

    if (r != NULL) {
        r->jobs++;
        r->wait_ms = fmax(r->wait_ms, fmin(wait_ms, UINT32_MAX));
    }
}

static void
move_row(struct bl_row *r, const struct bl_row *to, double part)
{
    r->wait_ms += part * ((to != NULL ? to->wait_ms : 0) - r->wait_ms);
    r->jobs += part * ((to != NULL ? to->jobs : 0) - r->jobs);
}

void
bl_update(struct bl_waits *w, uint64_t now, const struct bl_waits *predicted)
{
    double part = 1 - exp(-(double)(now - w->updated_ms) / SMOOTHING_MS);
    size_t kept = 0;

    for (size_t i = 0; i < predicted->count; i++) {
        const struct bl_row *p = &predicted->rows[i];

        get_row(w, str_of(p->service), p->priority);
    }
    for (size_t i = 0; i < w->count; i++) {
        struct bl_row *r = &w->rows[i];

        move_row(r, find_exact(predicted, str_of(r->service), r->priority),
            r->priority == BL_ANY_PRIORITY ? 1 : part);
        if (r->wait_ms >= 1) {
            w->rows[kept++] = *r;
        }
    }
    w->count = kept;
    w->updated_ms = now;
}

/* --- reports to origins --- */

static double
wait_of(const struct bl_waits *w, const struct bl_row *like)
{
    const struct bl_row *r =
        find_exact(w, str_of(like->service), like->priority);

    return r != NULL ? r->wait_ms : 0;
}

/* A wait in a has changed from that in b. */
static bool
has_changed(const struct bl_waits *a, const struct bl_waits *b)
{
    for (size_t i = 0; i < a->count; i++) {
        double x = a->rows[i].wait_ms;
        double y = wait_of(b, &a->rows[i]);
        double longer = fmax(x, y);
        double difference = fabs(x - y);

        if (difference >= CHANGE_MS &&
            difference >= CHANGE_FRACTION * longer) {
            return true;
        }
    }
    return false;
}

bool
bl_report_due(
    const struct bl_report *t, uint64_t now, const struct bl_waits *own)
{
    uint64_t age_ms = now - t->sent_ms;

    if (t->sent == NULL || age_ms >= BL_REPORT_MAX_MS) {
        return true;
    }
    return age_ms >= BL_REPORT_MIN_MS &&
           (has_changed(own, t->sent) || has_changed(t->sent, own));
}

void
bl_fill_report(struct bl_report *t, uint64_t now, struct bl_waits *own,
    uint64_t session, dw_msg *m)
{
    dw_waits *out = &m->dw_msg_u.waits;

    if (t->sent == NULL) {
        t->sent = dw_zero(1, sizeof(*t->sent));
    }
    *t->sent = *own;
    t->sent_ms = now;
    m->type = DW_WAITS;
    out->session = session;
    out->seq = ++t->seq;
    out->rows.rows_val = dw_zero(BL_ROWS_MAX, sizeof(*out->rows.rows_val));
    out->rows.rows_len = (u_int)own->count;
    for (size_t i = 0; i < own->count; i++) {
        dw_wait *row = &out->rows.rows_val[i];

        row->service.dw_bytes_val = own->rows[i].service;
        row->service.dw_bytes_len = (u_int)strlen(own->rows[i].service);
        row->priority = own->rows[i].priority;
        row->wait_ms = (u_int)own->rows[i].wait_ms;
    }
}

void
bl_reset_report(struct bl_report *t)
{
    free(t->sent);
    *t = (struct bl_report){0};
}

/* --- reports of peers --- */

static struct bl_peer_row *
find_row(struct bl_peer *p, struct str service, uint32_t priority, bool add)
{
    struct bl_peer_row *r;

    for (size_t i = 0; i < p->count; i++) {
        if (is_row(&p->rows[i].row, service, priority)) {
            return &p->rows[i];
        }
    }
    if (!add || p->count == BL_ROWS_MAX || service.n >= BL_NAME_MAX) {
        return NULL;
    }
    r = &p->rows[p->count++];
    *r = (struct bl_peer_row){.row = {.priority = priority}};
    str_copy(r->row.service, sizeof(r->row.service), service);
    return r;
}

/* Takes the state of a row over to the rows of a new report.  A row that was
 * not reported is kept only if it has any. */
static void
keep_row(struct bl_peer *p, const struct bl_peer_row *old, double part)
{
    double added_ms = part * old->added_ms;
    struct bl_peer_row *r = find_row(p, str_of(old->row.service),
        old->row.priority, old->forwarding || added_ms >= 1);

    if (r != NULL) {
        r->added_ms = added_ms;
        r->forwarding = old->forwarding;
    }
}

bool
bl_receive(
    struct bl_peer *p, uint64_t now, uint64_t session, const dw_waits *m)
{
    struct bl_peer old;
    double part;

    if (m->session != session || session == 0) {
        return false;
    }
    if (p->session != session) {
        *p = (struct bl_peer){.session = session};
    }
    if (m->seq <= p->seq) {
        return false;
    }
    old = *p;
    /* The part of the wait that the peer's smoothing has not reported yet. */
    part = exp(-(double)(now - old.received_ms) / SMOOTHING_MS);
    p->seq = m->seq;
    p->received_ms = now;
    p->count = 0;
    for (u_int i = 0; i < m->rows.rows_len; i++) {
        const dw_wait *w = &m->rows.rows_val[i];
        struct bl_peer_row *r =
            find_row(p, str_bytes(&w->service), w->priority, true);

        if (r != NULL) {
            r->row.wait_ms = w->wait_ms;
        }
    }
    for (size_t i = 0; i < old.count; i++) {
        keep_row(p, &old.rows[i], part);
    }
    return true;
}

/* --- choice --- */

/* A request adds as much to the peer's wait as a waiting one does here. */
static double
wait_per_job(const struct bl_waits *own, struct str service)
{
    double longest_ms = 0;
    double jobs = 0;

    for (size_t i = 0; i < own->count; i++) {
        const struct bl_row *r = &own->rows[i];

        if (r->priority != BL_ANY_PRIORITY &&
            str_eq(service, str_of(r->service))) {
            longest_ms = fmax(longest_ms, r->wait_ms);
            jobs += r->jobs;
        }
    }
    return longest_ms > 0 ? longest_ms / fmax(jobs, 1) : ADDED_MS;
}

void
bl_forwarded(struct bl_peer *p, const struct bl_waits *own, struct str service,
    uint32_t priority)
{
    struct bl_peer_row *r = find_row(p, service, priority, true);

    if (r != NULL) {
        r->added_ms += wait_per_job(own, service);
    }
}

/* Jobs of all priorities wait for the same cores. */
static double
added_to(const struct bl_peer *p, struct str service)
{
    double added_ms = 0;

    for (size_t i = 0; i < p->count; i++) {
        if (str_eq(service, str_of(p->rows[i].row.service))) {
            added_ms += p->rows[i].added_ms;
        }
    }
    return added_ms;
}

bool
bl_should_forward(struct bl_peer *p, uint64_t now, const struct bl_waits *own,
    struct str service, uint32_t priority, double *wait_ms)
{
    const struct bl_row *here = bl_find(own, service, priority);
    struct bl_peer_row *r = find_row(p, service, priority, true);
    const struct bl_peer_row *any =
        find_row(p, service, BL_ANY_PRIORITY, false);
    double own_ms = here != NULL ? here->wait_ms : 0;
    double peer_ms;

    if (r == NULL) {
        return false;
    }
    if (p->received_ms == 0 || now - p->received_ms > BL_REPORT_EXPIRY_MS) {
        r->forwarding = false;
        return false;
    }
    peer_ms = r->row.wait_ms + added_to(p, service) +
              (any != NULL ? any->row.wait_ms : 0);
    *wait_ms = peer_ms;
    r->forwarding =
        r->forwarding
            ? own_ms > END_RATIO * peer_ms && own_ms > peer_ms + END_MS
            : own_ms >= BEGIN_RATIO * peer_ms && own_ms >= peer_ms + BEGIN_MS;
    return r->forwarding;
}
