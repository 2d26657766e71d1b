#include "demand.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "coord-int.h"
#include "num.h"

/* The messages hold work in millicores x s. */
#define MS_PER_S 1000U

uint32_t
dm_urgency(int64_t left_ms)
{
    uint32_t u = 0;

    if (left_ms <= 0) {
        return DM_URGENCY_LATE;
    }
    while (u < DM_URGENCY_LATE - 1 && left_ms >= (int64_t)DM_URGENCY_FIRST_MS
                                                     << u) {
        u++;
    }
    return u;
}

/* --- rows --- */

static bool
has_work(const struct dm_rows *rows)
{
    static const struct dm_rows none;

    return memcmp(rows, &none, sizeof(none)) != 0;
}

/* One is at least twice the other, or only one is 0. */
static bool
differs_twofold(uint64_t a, uint64_t b)
{
    return a != b && (a >= 2 * b || b >= 2 * a);
}

static uint64_t
total_millicores(const struct dm_rows *rows)
{
    uint64_t sum = 0;

    for (uint32_t u = 0; u < DM_URGENCIES; u++) {
        for (uint32_t p = 0; p < DM_PRIORITIES; p++) {
            sum += rows->millicores[u][p];
        }
    }
    return sum;
}

/* A row that matters has changed by a factor of two. */
static bool
rows_changed(const struct dm_rows *a, const struct dm_rows *b)
{
    uint64_t least =
        num_max(total_millicores(a), total_millicores(b)) / DM_ROW_DIVISOR;

    for (uint32_t u = 0; u < DM_URGENCIES; u++) {
        for (uint32_t p = 0; p < DM_PRIORITIES; p++) {
            bool matters =
                num_max(a->millicores[u][p], b->millicores[u][p]) >= least;

            if (matters && (differs_twofold(a->work[u][p], b->work[u][p]) ||
                               differs_twofold(a->millicores[u][p],
                                   b->millicores[u][p]))) {
                return true;
            }
        }
    }
    return false;
}

/* x / divisor, rounded; at least 1 unless x is 0, so that work does not vanish
 * by the division. */
static uint32_t
divide(uint64_t x, uint64_t divisor)
{
    uint64_t q = (x + divisor / 2) / divisor;

    return x == 0 ? 0 : (uint32_t)num_min(num_max(q, 1), UINT32_MAX);
}

/* x / divisor, rounded down.  The remainder is kept in *carry and counts in
 * the next call, so that the quotients of all calls add up to the whole. */
static uint32_t
divide_with_carry(uint64_t x, uint64_t divisor, uint64_t *carry)
{
    uint64_t sum = x + *carry;

    *carry = sum % divisor;
    return (uint32_t)num_min(sum / divisor, UINT32_MAX);
}

/* Puts the rows, divided by divisor, into a message's array.  Returns their
 * number.  The millicores of a row are at least 1, so that an entry that waits
 * is seen to wait; its work may be 0. */
static u_int
encode_rows(const struct dm_rows *rows, uint32_t divisor,
    uint64_t carry[DM_URGENCIES][DM_PRIORITIES], dw_backlog **out_rows)
{
    dw_backlog *out =
        dw_zero((size_t)DM_URGENCIES * DM_PRIORITIES, sizeof(*out));
    u_int n = 0;

    for (uint32_t u = 0; u < DM_URGENCIES; u++) {
        for (uint32_t p = 0; p < DM_PRIORITIES; p++) {
            if (rows->millicores[u][p] == 0) {
                continue;
            }
            out[n++] = (dw_backlog){u, p,
                divide_with_carry(rows->work[u][p],
                    (uint64_t)divisor * MS_PER_S, &carry[u][p]),
                divide(rows->millicores[u][p], divisor)};
        }
    }
    *out_rows = out;
    return n;
}

/* Adds the rows of a message.  Rows of an unknown urgency are left out. */
static void
decode_rows(struct dm_rows *rows, const dw_backlog *in, u_int n)
{
    for (u_int i = 0; i < n; i++) {
        uint32_t p = (uint32_t)num_min(in[i].priority, DM_PRIORITIES - 1);

        if (in[i].urgency < DM_URGENCIES) {
            rows->work[in[i].urgency][p] += (uint64_t)in[i].work * MS_PER_S;
            rows->millicores[in[i].urgency][p] += in[i].millicores;
        }
    }
}

static void
add_rows(struct dm_rows *to, const struct dm_rows *rows)
{
    for (uint32_t u = 0; u < DM_URGENCIES; u++) {
        for (uint32_t p = 0; p < DM_PRIORITIES; p++) {
            to->work[u][p] += rows->work[u][p];
            to->millicores[u][p] += rows->millicores[u][p];
        }
    }
}

/* --- the entry's side: what it reports --- */

static struct dm_service *
get_service(struct dm_view *v, const char *name)
{
    struct dm_service *s;

    HASH_FIND_STR(v->services, name, s);
    if (s == NULL) {
        s = dw_zero(1, sizeof(*s));
        s->name = str_dup(str_of(name));
        HASH_ADD_KEYPTR(hh, v->services, s->name, strlen(s->name), s);
    }
    return s;
}

static void
free_peer(struct dm_view *v, struct dm_peer *p)
{
    HASH_DEL(v->peers, p);
    free(p);
}

void
dm_view_free(struct dm_view *v)
{
    struct dm_service *s;
    struct dm_service *s_tmp;
    struct dm_peer *p;
    struct dm_peer *p_tmp;

    HASH_ITER (hh, v->peers, p, p_tmp) {
        free_peer(v, p);
    }
    HASH_ITER (hh, v->services, s, s_tmp) {
        HASH_DEL(v->services, s);
        free(s->name);
        free(s);
    }
}

static void
add_job(struct dm_rows *rows, uint64_t now, const struct co_job *j)
{
    uint32_t u = dm_urgency((int64_t)(j->objective_ms - now));
    uint32_t p = (uint32_t)num_min(j->priority, DM_PRIORITIES - 1);

    for (uint32_t i = 0; i < j->task_count; i++) {
        if (j->tasks[i].state == CO_WAITING) {
            rows->work[u][p] += co_task_work(&j->tasks[i]);
            rows->millicores[u][p] += j->tasks[i].spec.millicores;
        }
    }
}

/* The worker takes new runs; assumed of an agent without an open session. */
static bool
in_service(const struct fl_agent *a)
{
    return !a->withdrawn &&
           (!a->session_open || (a->status.serving && !a->status.draining));
}

/* The agent gets the entry's unplaced work, and its reports count. */
static bool
is_reported_to(const struct fl_agent *a)
{
    return a->selected && a->session_open && in_service(a);
}

static void
update_services(struct coord *c, uint64_t now)
{
    struct dm_view *v = &c->demand;
    const struct co_service_load *l;
    const struct fl_agent *a;
    struct dm_service *s;

    for (s = v->services; s != NULL; s = s->hh.next) {
        memset(&s->own, 0, sizeof(s->own));
        s->held = s->agents = s->reported_to = 0;
    }
    for (l = c->loads; l != NULL; l = l->hh.next) {
        get_service(v, l->service)->held = l->dispatched_millicores;
    }
    for (const struct co_job *j = c->queue; j != NULL; j = j->next) {
        add_job(&get_service(v, j->load->service)->own, now, j);
    }
    for (a = c->fleet.agents; a != NULL; a = a->hh.next) {
        s = get_service(v, a->service);
        s->agents += a->member && in_service(a);
        s->reported_to += is_reported_to(a);
    }
}

/* The agent's state in its present session. */
static struct dm_peer *
get_peer(struct dm_view *v, const struct fl_agent *a)
{
    struct dm_peer *p;

    HASH_FIND(hh, v->peers, &a->id, sizeof(a->id), p);
    if (p != NULL && p->session != a->sess.number) {
        free_peer(v, p);
        p = NULL;
    }
    if (p == NULL) {
        p = dw_zero(1, sizeof(*p));
        p->id = a->id;
        p->session = a->sess.number;
        p->service = get_service(v, a->service);
        HASH_ADD(hh, v->peers, id, sizeof(p->id), p);
    }
    return p;
}

static void
drop_closed_peers(struct coord *c)
{
    struct dm_peer *p;
    struct dm_peer *tmp;

    HASH_ITER (hh, c->demand.peers, p, tmp) {
        const struct fl_agent *a = fl_find(&c->fleet, p->id);

        if (a == NULL || !a->session_open || a->sess.number != p->session) {
            free_peer(&c->demand, p);
        }
    }
}

static bool
demand_due(const struct dm_peer *p, uint64_t now, uint64_t last_order)
{
    const struct dm_rows *own = &p->service->own;
    bool waits = has_work(own);

    if (p->seq == 0) {
        return waits;
    }
    if (now - p->sent_ms < DM_DEMAND_MIN_MS) {
        return false;
    }
    if (waits != has_work(&p->sent)) {
        return true;
    }
    return waits && (now - p->sent_ms >= DM_DEMAND_MAX_MS ||
                        (last_order - p->sent_order >= DM_ORDERS_MIN &&
                            rows_changed(&p->sent, own)));
}

static void
send_demand(
    struct coord *c, uint64_t now, struct dm_peer *p, uint64_t last_order)
{
    struct dm_service *s = p->service;
    dw_msg m;
    dw_demand *d = &m.dw_msg_u.demand;

    memset(&m, 0, sizeof(m));
    m.type = DW_DEMAND;
    d->session = p->session;
    d->seq = ++p->seq;
    d->agents = s->reported_to;
    memset(&p->sent, 0, sizeof(p->sent));
    if (p->reported_to) {
        d->held = divide(s->held, s->reported_to);
        d->rows.rows_len =
            encode_rows(&s->own, s->reported_to, s->carry, &d->rows.rows_val);
        p->sent = s->own;
    }
    p->sent_ms = now;
    p->sent_order = last_order;
    c->demand.stats.sent++;
    c->ops->send(c->ctx, p->id, &m);
    free(d->rows.rows_val);
}

void
dm_flush(struct coord *c, uint64_t now)
{
    const struct fl_agent *a;

    if (c->settings.demand != SC_DEMAND_FLEET ||
        now - c->demand.checked_ms < DM_CHECK_MS) {
        return;
    }
    c->demand.checked_ms = now;
    update_services(c, now);
    drop_closed_peers(c);
    for (a = c->fleet.agents; a != NULL; a = a->hh.next) {
        struct dm_peer *p;

        if (!a->session_open) {
            continue;
        }
        p = get_peer(&c->demand, a);
        p->reported_to = is_reported_to(a);
        /* An agent that is no longer reported to gets an empty report, or it
         * would count the last rows until they are DM_VALID_MS old. */
        if (p->reported_to ? demand_due(p, now, a->sess.send_seq)
                           : has_work(&p->sent)) {
            send_demand(c, now, p, a->sess.send_seq);
        }
    }
}

/* --- the entry's side: what it learns --- */

void
dm_handle_supply(
    struct coord *c, uint64_t now, uint64_t from, const dw_supply *s)
{
    const struct fl_agent *a = fl_find(&c->fleet, from);
    struct dm_peer *p;

    HASH_FIND(hh, c->demand.peers, &from, sizeof(from), p);
    if (a == NULL || p == NULL || p->session != s->session ||
        s->seq <= p->supply_seq) {
        c->demand.stats.ignored++;
        return;
    }
    c->demand.stats.received++;
    p->supply_seq = s->seq;
    p->supply_ms = now;
    p->sums_age_ms = s->age_ms;
    p->waiting = s->waiting;
    p->held = s->held;
    p->free_millicores = s->free_millicores;
    p->soon_millicores = s->soon_millicores;
    p->capacity = a->status.millicores;
    memset(&p->sums, 0, sizeof(p->sums));
    decode_rows(&p->sums, s->rows.rows_val, s->rows.rows_len);
}

/* Adds an agent's sums, which are those of the other entries. */
static void
add_sums(struct dm_estimate *e, const struct dm_peer *p, uint64_t now)
{
    for (uint32_t u = 0; u < DM_URGENCIES; u++) {
        for (uint32_t k = 0; k < DM_PRIORITIES; k++) {
            e->work[u][k] += (double)p->sums.work[u][k];
            e->millicores[u][k] += (double)p->sums.millicores[u][k];
        }
    }
    e->held += p->held;
    e->waiting_entries += p->waiting;
    e->free += p->free_millicores;
    e->soon_free += p->soon_millicores;
    e->cores += p->capacity;
    e->age_ms = (uint32_t)num_max(
        e->age_ms, num_min(now - p->supply_ms + p->sums_age_ms, UINT32_MAX));
}

/* Scales the sums to the whole service and adds this entry's own work. */
static void
scale(struct dm_estimate *e, const struct dm_service *s, double ratio)
{
    double own = 0;
    double all = 0;

    for (uint32_t u = 0; u < DM_URGENCIES; u++) {
        for (uint32_t p = 0; p < DM_PRIORITIES; p++) {
            e->work[u][p] = e->work[u][p] * ratio + (double)s->own.work[u][p];
            e->millicores[u][p] =
                e->millicores[u][p] * ratio + (double)s->own.millicores[u][p];
            own += (double)s->own.work[u][p];
            all += e->work[u][p];
        }
    }
    e->held = e->held * ratio + (double)s->held;
    /* An entry is counted by each agent that it reports to; the others are
     * assumed to report to as many as this one. */
    e->waiting_entries = e->waiting_entries * ratio / fmax(s->reported_to, 1) +
                         (has_work(&s->own) ? 1 : 0);
    e->free *= ratio;
    e->soon_free *= ratio;
    e->cores *= ratio;
    e->own_part = all > 0 ? own / all : 0;
}

struct dm_estimate
dm_estimate(const struct dm_view *v, uint64_t now, const char *service)
{
    static const struct dm_estimate unknown;
    struct dm_estimate e = unknown;
    const struct dm_service *s;
    const struct dm_peer *p;
    uint32_t reports = 0;

    HASH_FIND_STR(v->services, service, s);
    if (s == NULL) {
        return unknown;
    }
    for (p = v->peers; p != NULL; p = p->hh.next) {
        if (p->service == s && p->reported_to && p->supply_seq != 0 &&
            now - p->supply_ms <= DM_VALID_MS) {
            add_sums(&e, p, now);
            reports++;
        }
    }
    if (reports < DM_REPORTS_MIN) {
        return unknown;
    }
    e.known = true;
    scale(&e, s, (double)num_max(s->agents, reports) / reports);
    return e;
}

/* --- the agent's side --- */

/* Tasks of the row can still end within their objective.  The work in a
 * message is up to one unit more than the entry's part, which for small tasks
 * is many times their run time; the least work that it can stand for counts.
 */
static bool
can_be_met(const struct dm_rows *rows, uint32_t u, uint32_t p)
{
    uint64_t run_ms =
        num_sub_sat(rows->work[u][p], MS_PER_S) / rows->millicores[u][p];

    return u == DM_URGENCY_LATE - 1 ||
           (u < DM_URGENCY_LATE - 1 && run_ms < (uint64_t)DM_URGENCY_FIRST_MS
                                                    << u);
}

/* Rows that cannot be met any more come after all others. */
static uint32_t
rank_of(const struct dm_rows *rows)
{
    uint32_t rank = (DM_URGENCIES + 1) * DM_PRIORITIES;

    for (uint32_t u = 0; u < DM_URGENCIES; u++) {
        for (uint32_t p = 0; p < DM_PRIORITIES; p++) {
            if (rows->millicores[u][p] != 0) {
                uint32_t at = can_be_met(rows, u, p) ? u : DM_URGENCIES;

                rank = (uint32_t)num_min(rank, at * DM_PRIORITIES + p);
            }
        }
    }
    return rank;
}

static bool
is_fresh(const struct dm_source *s, uint64_t now)
{
    return s->seq != 0 && now - s->received_ms <= DM_VALID_MS;
}

bool
dm_source_receive(struct dm_source *s, uint64_t now, const dw_demand *demand)
{
    if (demand->seq <= s->seq) {
        return false;
    }
    s->seq = demand->seq;
    s->received_ms = now;
    s->held = demand->held;
    memset(&s->rows, 0, sizeof(s->rows));
    decode_rows(&s->rows, demand->rows.rows_val, demand->rows.rows_len);
    s->waits = has_work(&s->rows);
    s->rank = rank_of(&s->rows);
    return true;
}

uint32_t
dm_source_rank(const struct dm_source *s, uint64_t now)
{
    return s->waits && is_fresh(s, now) ? s->rank : DM_RANK_UNKNOWN;
}

void
dm_sums_add(struct dm_sums *sums, const struct dm_source *s, uint64_t now)
{
    if (!is_fresh(s, now)) {
        return;
    }
    add_rows(&sums->rows, &s->rows);
    sums->held += s->held;
    sums->entries++;
    sums->waiting += s->waits;
    sums->age_ms = (uint32_t)num_max(sums->age_ms, now - s->received_ms);
}

bool
dm_supply_possible(const struct dm_source *s, uint64_t now)
{
    return s->seq != 0 && (is_fresh(s, now) || s->supplied_waits) &&
           now - s->supplied_ms >= DM_SUPPLY_MS;
}

bool
dm_supply_due(
    const struct dm_source *s, uint64_t now, const struct dm_sums *sums)
{
    uint64_t interval_ms =
        num_min(num_max(DM_SUPPLY_MS, DM_SUPPLY_MS_PER_ENTRY * sums->entries),
            DM_VALID_MS / 2);

    if (now - s->supplied_ms < interval_ms) {
        return false;
    }
    return sums->waiting > 0 ? is_fresh(s, now) : s->supplied_waits;
}

uint64_t
dm_soon_millicores(const struct runner *r, uint64_t now)
{
    const struct rn_run *run;
    uint64_t sum = 0;

    for (run = r->runs; run != NULL; run = run->hh.next) {
        uint64_t expected_ms =
            (uint64_t)run->est_ms * 1000 / num_max(r->pace_permille, 1);
        uint64_t ran_ms = now - run->started_ms;
        /* A run that is overdue is expected to take as long again as it is
         * overdue: it may hang. */
        uint64_t left_ms =
            ran_ms > expected_ms ? ran_ms - expected_ms : expected_ms - ran_ms;

        if (run->state == RN_RUNNING && run->started_ms != 0 &&
            left_ms <= DM_SOON_MS) {
            sum += run->millicores;
        }
    }
    return sum;
}

dw_msg *
dm_make_supply(struct dm_source *s, uint64_t now, uint64_t session,
    const struct dm_sums *sums, const struct dm_sums *others,
    const struct runner *r)
{
    uint64_t carry[DM_URGENCIES][DM_PRIORITIES] = {0};
    dw_msg *m = dw_zero(1, sizeof(*m));
    dw_supply *out = &m->dw_msg_u.supply;
    dw_room room;

    rn_get_capacity(r, now, &room);
    m->type = DW_SUPPLY;
    out->session = session;
    out->seq = ++s->supply_seq;
    out->age_ms = others->age_ms;
    out->entries = others->entries;
    out->waiting = others->waiting;
    out->held = (u_int)num_min(others->held, UINT32_MAX);
    if (room.serving) {
        out->free_millicores =
            room.free_millicores > 0 ? (u_int)room.free_millicores : 0;
        out->soon_millicores = (u_int)dm_soon_millicores(r, now);
    }
    out->rows.rows_len =
        encode_rows(&others->rows, 1, carry, &out->rows.rows_val);
    s->supplied_ms = now;
    s->supplied_waits = sums->waiting > 0;
    return m;
}
