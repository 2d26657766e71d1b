/*
 * entryd - the entry on the users' platform: carries out what coord decides
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "entryd-int.h"
#include "log.h"
#include "num.h"
#include "proc.h"

/* ms after SIGTERM in which new connections may still be sent here, as the
 * balancer needs two missed looks of a second each. */
#define ACCEPT_MS 2600U
/* ms a request may have waited unread while the machine stood still, after
 * which its caller has tried elsewhere. */
#define STALE_MS CO_PAUSE_MS
#define STALE_WINDOW_MS 40U
/* Runs of the web server in which that is read, however long they take. */
#define STALE_RUNS 4U
#define CALLERS_MAX 3000U
#define BODY_MAX (1U << 20)
#define IDLE_S 30U

static bool
is_ready(const struct entry *e)
{
    return !e->s->leaving && e->routes.version != 0 && !lg_is_out(&e->lag) &&
           fl_sum_up(&e->coord.fleet, proc_now(), NULL, 1).capacity > 0;
}

/* Looks of the balancer that find an entry not ready until it gets no new
 * connections. */
#define LOOKS_TO_LEAVE 2U

static void
on_ready(void *ctx, struct web_req *r)
{
    struct entry *e = ctx;

    /* Callers that connect anew sooner would come back here. */
    if (lg_is_out(&e->lag) && ++e->missed_looks == LOOKS_TO_LEAVE) {
        web_send_elsewhere(e->callers, true);
    }
    ec_reply(r, is_ready(e) ? 200 : 503, "{}");
}

static void
on_ready_gone(void *ctx, struct web_req *r)
{
    (void)ctx;
    (void)r;
}

/* --- the role --- */

static int
open_web(struct entry *e, struct web **out, const char *endpoint,
    web_handle_fn handle, web_gone_fn gone, struct err *err)
{
    struct conf_endpoint at;
    struct web_cfg cfg = {at.addr, 0, CALLERS_MAX, BODY_MAX, IDLE_S};

    conf_endpoint(&at, endpoint);
    cfg.port = at.port;
    return web_open(out, e->s->loop, &cfg, handle, gone, e, err) == WEB_OK
               ? 0
               : -1;
}

static void
on_pass(struct ev_loop *loop, ev_check *w, int revents)
{
    struct entry *e = w->data;

    (void)loop;
    (void)revents;
    lg_pass_begins(&e->lag, proc_now_us());
}

static int
entry_open(struct serve *s, struct err *err)
{
    struct entry *e = dw_zero(1, sizeof(*e));
    const struct conf_platform *p = &s->conf->platform;

    s->state = e;
    e->s = s;
    e->accepting = true;
    ec_open(e);
    co_init(&e->coord, &ec_co_ops, e, s->seed, s->conf->node.me.domain,
        s->conf->node.me.addr, s->conf->node.me.port);
    if (open_web(e, &e->callers, p->callers_listen, ec_request, ec_gone,
            err) != 0 ||
        open_web(e, &e->ready, p->readiness_listen, on_ready, on_ready_gone,
            err) != 0) {
        return -1;
    }
    ev_check_init(&e->pass_check, on_pass);
    ev_set_priority(&e->pass_check, EV_MAXPRI);
    e->pass_check.data = e;
    ev_check_start(s->loop, &e->pass_check);
    en_open(e);
    return 0;
}

static void
entry_close(struct serve *s)
{
    struct entry *e = s->state;

    if (e == NULL) {
        return;
    }
    if (e->operators != NULL) {
        follow_free(e->operators);
        follow_free(e->members);
    }
    ev_check_stop(s->loop, &e->pass_check);
    ev_timer_stop(s->loop, &e->more);
    it_free(&e->intake);
    rl_free(&e->relay);
    co_free(&e->coord);
    rk_free(&e->ranks);
    if (e->callers != NULL) {
        web_close(e->callers);
    }
    if (e->ready != NULL) {
        web_close(e->ready);
    }
    rt_free(&e->routes);
    nw_free(&e->news);
    free(e);
}

/* ms between lines that tell what the entry takes the fleet's load to be. */
#define LOAD_LINE_MS 1000U

/* What decided on a request afterwards: the room that was seen then. */
static void
note_load(struct entry *e, uint64_t now)
{
    const struct coord *c = &e->coord;
    size_t jobs = co_running(c);

    if (now - e->load_line_ms < LOAD_LINE_MS) {
        return;
    }
    e->load_line_ms = now;
    if (jobs > 0) {
        struct fl_sum sum = fl_sum_up(&c->fleet, now, NULL, 1);

        log_event(LOG_LEVEL_INFO, "load",
            "jobs=%zu pending=%zu waiting_ms=%" PRIu64 " capacity=%" PRId64
            " free=%" PRId64,
            jobs, co_pending(c), co_waiting_ms(c, now), sum.capacity,
            sum.free);
    }
}

static void
note_rotation(struct entry *e)
{
    bool out = lg_is_out(&e->lag);

    if (out == e->was_out) {
        return;
    }
    e->was_out = out;
    e->missed_looks = 0;
    web_send_elsewhere(e->callers, false);
    log_event(out ? LOG_LEVEL_WARN : LOG_LEVEL_INFO,
        out ? "behind" : "caught_up",
        "busy=%.2f item_us=%.1f usual_us=%.1f waiting=%zu", e->lag.busy,
        e->lag.probe_us, e->lag.usual_us, it_count(&e->intake));
}

static void
tend_relay(struct entry *e, uint64_t now)
{
    struct rl_state state = {is_ready(e) && lg_has_time(&e->lag),
        (uint32_t)(e->lag.busy * 1000), e->routes.version};

    rl_tell(&e->relay, &state);
    if (!lg_has_time(&e->lag)) {
        rl_need(&e->relay, now);
    }
    rl_tick(&e->relay, now);
}

static void
entry_tick(struct serve *s, uint64_t now)
{
    struct entry *e = s->state;
    uint64_t began_us;

    tend_relay(e, now);
    began_us = proc_now_us();
    co_tick(&e->coord, now);
    lg_probe(&e->lag, proc_now_us(), proc_now_us() - began_us,
        FL_CHOSEN_MAX + co_running(&e->coord));
    en_keep_times(e, now);
    note_load(e, now);
    if (nw_must_ask(&e->news, now)) {
        en_ask_others(e);
    }
    if (s->leaving && e->accepting && now - s->leave_ms > ACCEPT_MS) {
        e->accepting = false;
        web_stop_accepting(e->callers);
    }
}

static void
entry_flush(struct serve *s, uint64_t now)
{
    struct entry *e = s->state;

    /* A request that comes while there is time is begun in this pass. */
    if (lg_has_time(&e->lag)) {
        ec_run(e);
    }
    ec_begin(e, now);
    e->coord.room_pause_ms = lg_pause_ms(&e->lag);
    co_flush(&e->coord, now);
    rl_flush(&e->relay, now);
    ec_run(e);
    lg_pass_ends(&e->lag, proc_now_us());
    note_rotation(e);
}

static void
entry_message(struct serve *s, uint64_t now, uint64_t from, const dw_msg *m)
{
    struct entry *e = s->state;

    if (m->type == DW_REPORT) {
        co_report(&e->coord, now, from, &m->dw_msg_u.report);
    }
    else if (m->type == DW_RELAY) {
        rl_take(&e->relay, now, from, &m->dw_msg_u.relay);
    }
    else if (m->type == DW_RELAYED) {
        rl_replies(&e->relay, now, from, &m->dw_msg_u.relayed);
    }
    else if (m->type == DW_NEWS) {
        en_take_news(e, from, &m->dw_msg_u.news);
    }
}

static void
entry_refused(struct serve *s, uint64_t now, uint64_t id)
{
    struct entry *e = s->state;

    co_refused(&e->coord, now, id);
    rl_refused(&e->relay, now, id);
}

static void
entry_leave(struct serve *s, uint64_t now)
{
    struct entry *e = s->state;

    (void)now;
    web_drain(e->callers);
}

static bool
entry_done(struct serve *s, uint64_t now)
{
    struct entry *e = s->state;

    (void)now;
    return !e->accepting && co_running(&e->coord) == 0 &&
           it_count(&e->intake) == 0 && rl_done(&e->relay) &&
           web_open_requests(e->callers) == 0;
}

static void
entry_woke(struct serve *s, uint64_t now, uint64_t slept_ms)
{
    struct entry *e = s->state;

    if (slept_ms >= STALE_MS) {
        e->stale_ms = now + STALE_WINDOW_MS;
        e->stale_runs = STALE_RUNS;
    }
}

static void
entry_metrics(struct serve *s, struct buf *b)
{
    const struct entry *e = s->state;
    const struct co_stats *st = &e->coord.stats;
    const struct sv_row rows[] = {
        {"dw_jobs_submitted", st->submitted},
        {"dw_jobs_attached", st->attached},
        {"dw_jobs_completed", st->completed},
        {"dw_jobs_failed", st->failed},
        {"dw_jobs_gave_up", st->gave_up},
        {"dw_jobs_not_run", st->not_run},
        {"dw_jobs_caller_gone", st->gone},
        {"dw_jobs_running", co_running(&e->coord)},
        {"dw_runs_sent", st->runs},
        {"dw_runs_lost", st->lost},
        {"dw_runs_bounced", st->bounced},
        {"dw_runs_retried", st->retried},
        {"dw_runs_moved", st->moved},
        {"dw_choice_widened", st->widened},
        {"dw_config_version", e->routes.version},
        {"dw_requests_waiting", it_count(&e->intake)},
        {"dw_requests_turned_away", e->turned_away},
        {"dw_requests_given", e->given},
        {"dw_requests_taken", e->taken},
        {"dw_busy_permille", (uint64_t)(e->lag.busy * 1000)},
        {"dw_behind", lg_is_out(&e->lag)},
    };

    sv_add_rows(b, rows, sizeof(rows) / sizeof(rows[0]));
    hist_format(&e->answer_ms, "dw_answer", b);
}

const struct sv_role sv_entry = {"entry", entry_open, entry_close, entry_tick,
    entry_flush, entry_message, entry_refused, entry_leave, entry_done,
    entry_woke, entry_metrics};
