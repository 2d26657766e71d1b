#include "sync.h"

#include <stdlib.h>
#include <string.h>

#define READERS_MIN 2
#define READERS_MAX 16
/* ms after its last pull until a process gets no more pushes. */
#define PULLER_TIMEOUT_MS 5000
#define PULLS_UNANSWERED_MAX 3
/* Readers pull from other failure domains less often, by this factor, than
 * members pull from readers: changes are pushed, and during an outage once a
 * second is enough. */
#define DOMAIN_PULL_FACTOR 2

void
sync_init(struct sync *s, const struct sync_cfg *cfg, uint64_t self,
    struct str domain, struct view *view, struct mbr *mbr)
{
    memset(s, 0, sizeof(*s));
    s->cfg = *cfg;
    s->self = self;
    str_copy(s->domain, sizeof(s->domain), domain);
    s->view = view;
    s->mbr = mbr;
}

void
sync_free(struct sync *s)
{
    struct sync_puller *p;
    struct sync_puller *tmp;

    HASH_ITER (hh, s->pullers, p, tmp) {
        HASH_DEL(s->pullers, p);
        free(p);
    }
}

static uint64_t
reader_score(const struct view_member *m)
{
    return mix64(m->id, 0x72656164U);
}

static void
insert_reader(const struct view_member *best[], size_t max, size_t *n,
    const struct view_member *m)
{
    size_t i = *n;

    if (i == max && reader_score(best[i - 1]) >= reader_score(m)) {
        return;
    }
    if (i == max) {
        i--;
    }
    else {
        (*n)++;
    }
    while (i > 0 && reader_score(best[i - 1]) < reader_score(m)) {
        best[i] = best[i - 1];
        i--;
    }
    best[i] = m;
}

/* Selects the readers of a failure domain; all processes with the same view
 * and membership select the same ones. */
static size_t
select_readers(const struct sync *s, const char *domain,
    const struct view_member *best[READERS_MAX])
{
    const struct view_member *m;
    size_t members = 0;
    size_t needed;
    size_t n = 0;

    for (m = s->view->members; m != NULL; m = m->hh.next) {
        if (strcmp(m->domain, domain) == 0 &&
            mbr_state(s->mbr, m->id) != DW_M_DEAD) {
            members++;
            insert_reader(best, READERS_MAX, &n, m);
        }
    }
    needed = (members + s->cfg.per_reader - 1) / s->cfg.per_reader;
    needed = needed < READERS_MIN ? READERS_MIN : needed;
    return n < needed ? n : needed;
}

static bool
compute_is_reader(const struct sync *s)
{
    const struct view_member *best[READERS_MAX];
    size_t n = select_readers(s, s->domain, best);

    for (size_t i = 0; i < n; i++) {
        if (best[i]->id == s->self) {
            return true;
        }
    }
    /* A process that the view does not list yet reads the store itself, as no
     * other can read for it. */
    return view_member(s->view, s->self) == NULL;
}

bool
sync_is_reader(struct sync *s)
{
    if (s->reader_view_rev != s->view->rev || s->view->rev == 0 ||
        s->reader_state_version != s->mbr->state_version) {
        s->is_reader = compute_is_reader(s);
        s->reader_view_rev = s->view->rev;
        s->reader_state_version = s->mbr->state_version;
    }
    return s->is_reader;
}

static void
confirm(struct sync *s, uint64_t at)
{
    if (!s->ever_confirmed || at > s->confirmed_ms) {
        s->confirmed_ms = at;
    }
    s->ever_confirmed = true;
}

uint32_t
sync_age(const struct sync *s, uint64_t now)
{
    uint64_t age;

    if (!s->ever_confirmed) {
        return UINT32_MAX;
    }
    age = now > s->confirmed_ms ? now - s->confirmed_ms : 0;
    return age < UINT32_MAX ? (uint32_t)age : UINT32_MAX;
}

bool
sync_fresh(const struct sync *s, uint64_t now)
{
    return s->ever_confirmed && sync_age(s, now) <= s->cfg.fresh_ms;
}

static struct sync_domain *
add_domain(struct sync *s, const char *domain)
{
    for (size_t i = 0; i < s->domain_count; i++) {
        if (strcmp(s->domains[i].domain, domain) == 0) {
            return &s->domains[i];
        }
    }
    if (s->domain_count == SYNC_DOMAINS_MAX) {
        return NULL;
    }
    str_copy(s->domains[s->domain_count].domain, CT_NAME_MAX, str_of(domain));
    return &s->domains[s->domain_count++];
}

static const struct sync_domain *
find_domain(const struct sync *s, const char *domain)
{
    for (size_t i = 0; i < s->domain_count; i++) {
        if (strcmp(s->domains[i].domain, domain) == 0) {
            return &s->domains[i];
        }
    }
    return NULL;
}

static int
descending(const void *a, const void *b)
{
    uint64_t x = *(const uint64_t *)a;
    uint64_t y = *(const uint64_t *)b;

    return x < y ? 1 : x > y ? -1 : 0;
}

/* The highest value that a majority of `total` reaches, given n values; 0 if n
 * is no majority. */
static uint64_t
majority_value(uint64_t *values, size_t n, size_t total)
{
    size_t needed = total / 2 + 1;

    if (n < needed) {
        return 0;
    }
    qsort(values, n, sizeof(values[0]), descending);
    return values[needed - 1];
}

/*
 * During an outage of the store, only reports of a majority may allow work to
 * continue: a change counts as accepted once readers in a majority of failure
 * domains hold it, and the two majorities share a reader that would have
 * reported the change.
 */
static void
confirm_by_outage(struct sync *s, uint64_t now)
{
    const char *names[SYNC_DOMAINS_MAX];
    uint64_t confirmed_at[SYNC_DOMAINS_MAX];
    size_t total = view_list_domains(s->view, names, SYNC_DOMAINS_MAX);
    size_t n = 0;
    uint64_t at;

    if (!s->store_down || s->view->rev == 0) {
        return;
    }
    for (size_t i = 0; i < total; i++) {
        const struct sync_domain *d = find_domain(s, names[i]);

        if (strcmp(names[i], s->domain) == 0) {
            confirmed_at[n++] = now;
        }
        else if (d != NULL && d->store_down && d->rev <= s->view->rev) {
            confirmed_at[n++] = d->pull_sent_ms;
        }
    }
    at = majority_value(confirmed_at, n, total);
    if (at > 0) {
        confirm(s, at);
    }
}

uint64_t
sync_majority_rev(struct sync *s)
{
    const char *names[SYNC_DOMAINS_MAX];
    uint64_t revs[SYNC_DOMAINS_MAX];
    size_t total = view_list_domains(s->view, names, SYNC_DOMAINS_MAX);
    size_t n = 0;

    if (!sync_is_reader(s)) {
        return s->majority_rev;
    }
    for (size_t i = 0; i < total; i++) {
        const struct sync_domain *d = find_domain(s, names[i]);

        if (strcmp(names[i], s->domain) == 0) {
            revs[n++] = s->view->rev;
        }
        else if (d != NULL) {
            revs[n++] = d->rev;
        }
    }
    return majority_value(revs, n, total);
}

static void
send_pull(
    struct sync *s, uint64_t now, uint64_t to, bool mesh, struct acts *out)
{
    dw_pull *p = &act_send(out, to, DW_PULL)->dw_msg_u.pull;

    p->asked_ms = now;
    p->rev = s->view->rev;
    p->mesh = mesh;
}

void
sync_request_rev(struct sync *s, uint64_t now, uint64_t id, struct acts *out)
{
    send_pull(s, now, id, true, out);
}

/* After PULLS_UNANSWERED_MAX pulls without an answer, uses another reader. */
static void
pull_reader(struct sync *s, uint64_t now, struct acts *out)
{
    const struct view_member *best[READERS_MAX];
    size_t n = select_readers(s, s->domain, best);

    if (now - s->last_answer_ms >
        PULLS_UNANSWERED_MAX * (uint64_t)s->cfg.pull_ms) {
        s->pull_rotation++;
        s->last_answer_ms = now;
    }
    for (size_t i = 0; i < n; i++) {
        size_t k = (s->self + s->pull_rotation + i) % n;

        if (best[k]->id != s->self) {
            send_pull(s, now, best[k]->id, false, out);
            return;
        }
    }
}

static void
pull_domains(struct sync *s, uint64_t now, struct acts *out)
{
    const char *names[SYNC_DOMAINS_MAX];
    size_t total = view_list_domains(s->view, names, SYNC_DOMAINS_MAX);

    s->pull_rotation++;
    for (size_t i = 0; i < total; i++) {
        const struct view_member *best[READERS_MAX];
        size_t n;

        if (strcmp(names[i], s->domain) == 0) {
            continue;
        }
        n = select_readers(s, names[i], best);
        if (n > 0) {
            send_pull(
                s, now, best[(s->self + s->pull_rotation) % n]->id, true, out);
        }
    }
}

static void
read_store(struct sync *s, uint64_t now, enum act_read scope, struct acts *out)
{
    if (s->read_pending) {
        s->read_again |= scope == ACT_READ_ALL;
        return;
    }
    s->read_pending = true;
    s->last_read_ms = now;
    act_ref(out, ACT_READ, scope);
}

void
sync_tick(struct sync *s, uint64_t now, struct acts *out)
{
    bool reader = sync_is_reader(s);

    if (reader && now - s->last_read_ms >= s->cfg.read_ms) {
        read_store(
            s, now, s->view->rev == 0 ? ACT_READ_ALL : ACT_READ_CHECK, out);
    }
    if (now - s->last_pull_ms < s->cfg.pull_ms) {
        return;
    }
    s->last_pull_ms = now;
    if (reader && now - s->last_domain_pull_ms >=
                      DOMAIN_PULL_FACTOR * (uint64_t)s->cfg.pull_ms) {
        s->last_domain_pull_ms = now;
        pull_domains(s, now, out);
    }
    if (!reader || s->store_down) {
        pull_reader(s, now, out);
    }
    if (reader) {
        confirm_by_outage(s, now);
    }
}

void
sync_read_now(struct sync *s, uint64_t now, struct acts *out)
{
    if (sync_is_reader(s)) {
        read_store(s, now, ACT_READ_ALL, out);
    }
}

void
sync_store_checked(
    struct sync *s, uint64_t requested_ms, uint64_t rev, struct acts *out)
{
    s->read_pending = false;
    s->store_down = false;
    if (rev <= s->view->rev) {
        confirm(s, requested_ms);
    }
    if (rev > s->view->rev || s->read_again) {
        s->read_again = false;
        read_store(s, s->last_read_ms, ACT_READ_ALL, out);
    }
}

bool
sync_store_read(struct sync *s, uint64_t now, uint64_t requested_ms,
    const dw_state *all, struct acts *out)
{
    bool moved = view_apply(s->view, all);

    s->read_pending = false;
    s->store_down = false;
    if (s->read_again) {
        s->read_again = false;
        read_store(s, now, ACT_READ_ALL, out);
    }
    if (all->rev <= s->view->rev) {
        confirm(s, requested_ms);
    }
    return moved;
}

void
sync_store_failed(struct sync *s)
{
    s->read_pending = false;
    s->store_down = true;
}

static void
record_puller(struct sync *s, uint64_t now, uint64_t id, uint64_t rev)
{
    struct sync_puller *p;

    HASH_FIND(hh, s->pullers, &id, sizeof(id), p);
    if (p == NULL) {
        p = dw_zero(1, sizeof(*p));
        p->id = id;
        HASH_ADD(hh, s->pullers, id, sizeof(p->id), p);
    }
    p->heard_ms = now;
    p->rev = rev;
}

static dw_state *
send_state(struct sync *s, uint64_t now, uint64_t to, uint64_t since,
    struct acts *out)
{
    dw_state *st = &act_send(out, to, DW_STATE)->dw_msg_u.state;

    view_changes(s->view, since, st);
    st->age_ms = sync_age(s, now);
    st->confirmed = s->ever_confirmed;
    st->reader = sync_is_reader(s);
    st->store_down = s->store_down;
    st->majority_rev = sync_majority_rev(s);
    return st;
}

bool
sync_handle_pull(struct sync *s, uint64_t now, uint64_t from,
    const dw_pull *pull, struct acts *out)
{
    record_puller(s, now, from, pull->rev);
    send_state(s, now, from, pull->rev, out)->asked_ms = pull->asked_ms;
    return false;
}

void
sync_push(struct sync *s, uint64_t now, struct acts *out)
{
    struct sync_puller *p;
    struct sync_puller *tmp;

    HASH_ITER (hh, s->pullers, p, tmp) {
        if (now - p->heard_ms > PULLER_TIMEOUT_MS) {
            HASH_DEL(s->pullers, p);
            free(p);
        }
        else if (p->rev < s->view->rev) {
            send_state(s, now, p->id, p->rev, out);
            p->rev = s->view->rev;
        }
    }
}

/* Records the revision of another failure domain's reader and whether it
 * reaches the store.  Answers to pulls older than the last answered one are
 * ignored. */
static void
record_domain(struct sync *s, uint64_t from, const dw_state *st)
{
    const struct view_member *m = view_member(s->view, from);
    struct sync_domain *d;

    if (m == NULL || strcmp(m->domain, s->domain) == 0) {
        return;
    }
    d = add_domain(s, m->domain);
    if (d == NULL || st->asked_ms < d->pull_sent_ms) {
        return;
    }
    d->pull_sent_ms = st->asked_ms;
    d->rev = st->rev;
    d->store_down = st->store_down;
}

bool
sync_handle_state(
    struct sync *s, uint64_t now, uint64_t from, const dw_state *st)
{
    bool moved = view_apply(s->view, st);
    struct sync_puller *p;

    HASH_FIND(hh, s->pullers, &from, sizeof(from), p);
    if (p != NULL && st->rev > p->rev) {
        p->rev = st->rev;
    }
    if (p == NULL && st->asked_ms > 0) {
        record_puller(s, now, from, st->rev);
    }
    if (st->asked_ms == 0 || st->asked_ms > now || !st->reader) {
        return moved;
    }
    record_domain(s, from, st);
    s->last_answer_ms = now;
    s->majority_rev = st->majority_rev;
    if (st->confirmed && st->rev <= s->view->rev &&
        st->age_ms <= st->asked_ms) {
        confirm(s, st->asked_ms - st->age_ms);
    }
    return moved;
}

uint64_t
sync_peer_rev(const struct sync *s, uint64_t id)
{
    struct sync_puller *p;

    if (id == s->self) {
        return s->view->rev;
    }
    HASH_FIND(hh, s->pullers, &id, sizeof(id), p);
    return p != NULL ? p->rev : 0;
}
