/*
 * entryd - the entry daemon on the users' platform
 *
 * Performs the I/O for coord, which makes the decisions.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "entryd-int.h"
#include "log.h"
#include "num.h"
#include "proc.h"
#include "qpolicy.h"

/* ms after SIGTERM during which new connections are accepted: the load
 * balancer sends them until two readiness checks, one second apart, failed. */
#define ACCEPT_AFTER_TERM_MS 2600U
/* A pause of the process in ms after which requests that waited unread are
 * stale: their callers have retried at another entry. */
#define STALE_MS CO_MAX_PAUSE_MS
/* Requests read within so many ms, or so many calls of the web server, after
 * such a pause are stale; the calls may take longer than the window. */
#define STALE_WINDOW_MS 40U
#define STALE_PASSES 4U

static bool
is_ready(const struct entry *e)
{
    return !e->s->stop.begun && e->routes.version != 0 &&
           !lg_is_out_of_rotation(&e->lag) &&
           fl_total(&e->coord.fleet, proc_now(), NULL, 1).capacity > 0;
}

/* Failed readiness checks after which the load balancer sends no new
 * connections. */
#define CHECKS_TO_DEREGISTER 2U

static void
on_ready_check(void *ctx, struct web_req *r)
{
    struct entry *e = ctx;
    bool ready = is_ready(e);

    /* Connections are not closed earlier, as callers that reconnect would be
     * sent here again. */
    if (!ready && ++e->failed_checks == CHECKS_TO_DEREGISTER) {
        web_set_close_after_reply(e->callers, true);
    }
    if (ready && e->failed_checks > 0) {
        e->failed_checks = 0;
        web_set_close_after_reply(e->callers, false);
    }
    ec_reply(r, ready ? 200 : 503, "{}");
}

static void
on_ready_check_disconnected(void *ctx, struct web_req *r)
{
    (void)ctx;
    (void)r;
}

/* --- the role --- */

static int
open_web(struct entry *e, struct web **out, const char *endpoint,
    const struct sd_limits *limits, web_handle_fn handle,
    web_disconnect_fn on_disconnect, struct err *err)
{
    struct conf_endpoint at;
    struct web_cfg cfg = {at.addr, 0, *limits};

    conf_endpoint(&at, endpoint);
    cfg.port = at.port;
    return web_open(out, e->s->loop, &cfg, handle, on_disconnect, e, err) ==
                   WEB_OK
               ? 0
               : -1;
}

static void
on_loop_pass(struct ev_loop *loop, ev_check *w, int revents)
{
    struct entry *e = w->data;

    (void)loop;
    (void)revents;
    lg_pass_start(&e->lag, proc_now_us());
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
    ej_open(e);
    co_init(&e->coord, &ec_co_ops, e, s->seed, s->conf->node.me.domain,
        s->conf->node.me.addr, s->conf->node.me.port);
    e->coord.settings = s->conf->sched;
    e->coord.tasks_max = s->conf->tasks_max;
    if (open_web(e, &e->callers, p->callers_listen, &s->conf->callers,
            ec_request, ec_caller_left, err) != 0 ||
        open_web(e, &e->ready, p->readiness_listen, &s->conf->ports,
            on_ready_check, on_ready_check_disconnected, err) != 0) {
        return -1;
    }
    ev_check_init(&e->pass_check, on_loop_pass);
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
    ev_timer_stop(s->loop, &e->resume_timer);
    it_free(&e->intake);
    cl_free(&e->claims);
    tb_free(&e->tombs);
    ej_close(e);
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
    ost_free(&e->opstate);
    free(e);
}

/* ms between log lines with the fleet's load as this entry knows it. */
#define LOAD_LOG_INTERVAL_MS 1000U

/* Records the estimates of the fleet's unplaced work, one line a service. */
static void
log_demand(const struct entry *e, uint64_t now)
{
    const struct dm_view *v = &e->coord.demand;
    const struct dm_service *s;

    for (s = v->services; s != NULL; s = s->hh.next) {
        struct dm_estimate est = dm_estimate(v, now, s->name);

        if (est.known) {
            log_event(LOG_LEVEL_INFO, "demand",
                "service=%s age_ms=%u entries=%.1f cores=%.0f held=%.0f"
                " free=%.0f soon=%.0f own=%.3f",
                s->name, est.age_ms, est.waiting_entries, est.cores, est.held,
                est.free, est.soon_free, est.own_part);
        }
    }
}

/* Records the capacity on which admission decisions were based. */
static void
log_load(struct entry *e, uint64_t now)
{
    const struct coord *c = &e->coord;
    size_t jobs = co_job_count(c);

    if (now - e->load_logged_ms < LOAD_LOG_INTERVAL_MS) {
        return;
    }
    e->load_logged_ms = now;
    if (jobs > 0) {
        struct fl_totals sum = fl_total(&c->fleet, now, NULL, 1);

        log_event(LOG_LEVEL_INFO, "load",
            "jobs=%zu pending=%zu waiting_ms=%" PRIu64 " capacity=%" PRId64
            " free=%" PRId64,
            jobs, co_unstarted_count(c), co_queued_ms(c, now), sum.capacity,
            sum.free);
        log_demand(e, now);
    }
}

/* Sharing switches at most twice in SH_OFF_MS per service. */
static void
log_sharing(struct entry *e, uint64_t now)
{
    const struct co_service_load *l;

    for (l = e->coord.loads; l != NULL; l = l->hh.next) {
        if (l->shares != NULL && sh_take_switch(l->shares)) {
            log_event(LOG_LEVEL_INFO,
                l->shares->sharing ? "sharing_on" : "sharing_off",
                "service=%s jobs=%zu waiting_ms=%" PRIu64, l->service,
                co_unstarted_count(&e->coord), co_queued_ms(&e->coord, now));
        }
    }
}

static void
log_overload(struct entry *e)
{
    bool out = lg_is_out_of_rotation(&e->lag);

    if (out == e->logged_overloaded) {
        return;
    }
    e->logged_overloaded = out;
    e->failed_checks = 0;
    web_set_close_after_reply(e->callers, false);
    log_event(out ? LOG_LEVEL_WARN : LOG_LEVEL_INFO,
        out ? "behind" : "caught_up",
        "busy=%.2f item_us=%.1f usual_us=%.1f waiting=%zu", e->lag.utilization,
        e->lag.recent_us, e->lag.baseline_us, it_count(&e->intake));
}

static void
add_wait(void *ctx, const char *service, uint32_t priority, double wait_ms)
{
    bl_add(ctx, str_of(service), priority, wait_ms);
}

static void
update_waits(struct entry *e, uint64_t now)
{
    struct bl_waits waits = {.count = 0};

    qp_predict_waits(&e->coord, now, add_wait, &waits);
    /* Also of services that this entry has had no job of. */
    for (size_t i = 0; i < e->routes.count; i++) {
        qp_report_no_workers(
            &e->coord, now, e->routes.routes[i].service, add_wait, &waits);
    }
    rl_set_waits(&e->relay, now, &waits);
}

/* Logs how many requests were forwarded by wait since the last line. */
static void
log_balance(struct entry *e, uint64_t now)
{
    uint64_t given = e->relay.forwarded_by_wait - e->balance_logged;

    if (given == 0 || now - e->balance_logged_ms < LOAD_LOG_INTERVAL_MS) {
        return;
    }
    log_event(LOG_LEVEL_INFO, "balance",
        "given=%" PRIu64 " wait_ms=%" PRIu32 " unstarted=%zu", given,
        bl_longest_ms(&e->relay.own_waits), co_unstarted_count(&e->coord));
    e->balance_logged = e->relay.forwarded_by_wait;
    e->balance_logged_ms = now;
}

static void
update_relay(struct entry *e, uint64_t now)
{
    struct rl_state state = {is_ready(e) && lg_has_spare_time(&e->lag),
        (uint32_t)(e->lag.utilization * 1000), e->routes.version};

    rl_set_state(&e->relay, &state);
    if (!lg_has_spare_time(&e->lag)) {
        rl_need_peers(&e->relay, now);
    }
    if (e->coord.settings.balance == SC_BALANCE_WAIT) {
        update_waits(e, now);
        log_balance(e, now);
    }
    rl_tick(&e->relay, now);
}

static void
entry_tick(struct serve *s, uint64_t now)
{
    struct entry *e = s->state;
    uint64_t start_us;

    update_relay(e, now);
    start_us = proc_now_us();
    co_tick(&e->coord, now);
    lg_record_probe(&e->lag, proc_now_us(), proc_now_us() - start_us,
        FL_SELECTED_MAX + co_job_count(&e->coord));
    cl_regained(&e->claims, co_regained_ms(&e->coord));
    cl_tick(&e->claims, now);
    cu_tick(&e->catchup, now);
    en_tell_agents(e, now);
    en_save_estimates(e, now);
    log_load(e, now);
    log_sharing(e, now);
    wl_tick(&e->callers_log, now, "callers", e->callers);
    wl_tick(&e->ready_log, now, "readiness", e->ready);
    if (ost_request_due(&e->opstate, now)) {
        en_query_peers(e);
    }
    if (s->stop.begun && e->accepting &&
        now - s->stop.begun_ms > ACCEPT_AFTER_TERM_MS) {
        e->accepting = false;
        web_stop_accepting(e->callers);
    }
}

static void
entry_flush(struct serve *s, uint64_t now)
{
    struct entry *e = s->state;

    /* Requests that arrive while there is time are started in this pass. */
    if (lg_has_spare_time(&e->lag)) {
        ec_flush(e);
    }
    ec_start_queued(e, now);
    e->coord.report_interval_ms = lg_report_interval_ms(&e->lag);
    co_flush(&e->coord, now);
    rl_flush(&e->relay, now);
    tb_flush(&e->tombs, now);
    ec_flush(e);
    lg_pass_end(&e->lag, proc_now_us());
    log_overload(e);
}

static void
entry_message(struct serve *s, uint64_t now, uint64_t from, const dw_msg *m)
{
    struct entry *e = s->state;

    if (m->type == DW_REPORT) {
        co_report(&e->coord, now, from, &m->dw_msg_u.report);
    }
    else if (m->type == DW_OPEN) {
        co_open_starts(&e->coord, from, &m->dw_msg_u.open);
    }
    else if (m->type == DW_SUPPLY) {
        dm_handle_supply(&e->coord, now, from, &m->dw_msg_u.supply);
    }
    else if (m->type == DW_RELAY) {
        rl_receive_requests(&e->relay, now, from, &m->dw_msg_u.relay);
    }
    else if (m->type == DW_RELAYED) {
        rl_receive_replies(&e->relay, now, from, &m->dw_msg_u.relayed);
    }
    else if (m->type == DW_WAITS) {
        rl_receive_waits(&e->relay, now, from, &m->dw_msg_u.waits);
    }
    else if (m->type == DW_CLAIMS) {
        cl_receive_claims(&e->claims, now, from, &m->dw_msg_u.claims);
    }
    else if (m->type == DW_MOVED) {
        cl_receive_moved(&e->claims, now, from, &m->dw_msg_u.moved);
    }
    else if (m->type == DW_TOMBS) {
        tb_receive(&e->tombs, now, from, &m->dw_msg_u.tombs);
    }
    else if (m->type == DW_TOMBS_ACK) {
        tb_receive_ack(&e->tombs, now, from, &m->dw_msg_u.tombs_ack);
    }
    else if (m->type == DW_JOIN) {
        ej_join(e, now, from, &m->dw_msg_u.join);
    }
    else if (m->type == DW_JOINED) {
        ej_joined(e, now, from, &m->dw_msg_u.joined);
    }
    else if (m->type == DW_NEWS) {
        en_operator_state(e, from, &m->dw_msg_u.news);
    }
}

static void
entry_refused(struct serve *s, uint64_t now, uint64_t id)
{
    struct entry *e = s->state;

    co_agent_dead(&e->coord, now, id);
    rl_process_dead(&e->relay, now, id);
    tb_entry_dead(&e->tombs, id);
    cu_entry_dead(&e->catchup, now, id);
}

static void
entry_leave(struct serve *s, uint64_t now)
{
    struct entry *e = s->state;

    (void)now;
    web_drain(e->callers);
}

static void
entry_give_up(struct serve *s, uint64_t now)
{
    ec_give_up(s->state, now);
}

static bool
entry_done(struct serve *s, uint64_t now)
{
    struct entry *e = s->state;

    (void)now;
    return !e->accepting && co_job_count(&e->coord) == 0 &&
           it_count(&e->intake) == 0 && cl_waiting_count(&e->claims) == 0 &&
           rl_replies_delivered(&e->relay) &&
           web_open_requests(e->callers) == 0;
}

static void
entry_resumed(struct serve *s, uint64_t now, uint64_t paused_ms)
{
    struct entry *e = s->state;

    if (paused_ms >= STALE_MS) {
        e->stale_until_ms = now + STALE_WINDOW_MS;
        e->stale_passes = STALE_PASSES;
    }
}

static void
entry_metrics(struct serve *s, struct buf *b)
{
    const struct entry *e = s->state;
    const struct co_stats *st = &e->coord.stats;
    struct sh_stats shares = co_share_stats(&e->coord);
    const struct am_state *am = &e->coord.admission;
    const struct sv_metric rows[] = {
        {"dw_jobs_submitted", st->submitted},
        {"dw_jobs_attached", st->attached},
        {"dw_jobs_completed", st->completed},
        {"dw_jobs_failed", st->failed},
        {"dw_jobs_gave_up", st->gave_up},
        {"dw_jobs_not_run", st->not_run},
        {"dw_jobs_caller_gone", st->caller_left},
        {"dw_jobs_running", co_job_count(&e->coord)},
        {"dw_tasks_known", e->coord.task_count},
        {"dw_runs_sent", st->runs},
        {"dw_runs_lost", st->lost},
        {"dw_runs_bounced", st->rejected},
        {"dw_runs_retried", st->retried},
        {"dw_runs_moved", st->moved},
        {"dw_runs_moved_report", st->moved_report},
        {"dw_runs_moved_runs", st->moved_runs},
        {"dw_runs_moved_ms", st->moved_run_ms},
        {"dw_moves_of_use", st->moves_of_use},
        {"dw_moves_as_long", st->moves_as_long},
        {"dw_moves_wanted", st->moves_wanted},
        {"dw_moves_budget", st->moves_budget},
        {"dw_choice_widened", st->widened},
        {"dw_demand_sent", e->coord.demand.stats.sent},
        {"dw_supply_received", e->coord.demand.stats.received},
        {"dw_supply_ignored", e->coord.demand.stats.ignored},
        {"dw_sharing_switches", shares.switches},
        {"dw_jobs_floor", shares.floor_jobs},
        {"dw_jobs_large_floor", shares.large_jobs},
        {"dw_config_version", e->routes.version},
        {"dw_requests_waiting", it_count(&e->intake)},
        {"dw_requests_turned_away", e->shed_requests},
        {"dw_requests_given", e->forwarded_out},
        {"dw_requests_taken", e->forwarded_in},
        {"dw_refused_admission", am->refused[AM_ADMISSION]},
        {"dw_refused_capacity_lost", am->refused[AM_CAPACITY_LOST]},
        {"dw_refused_no_turn", am->refused[AM_NO_TURN]},
        {"dw_kept_for_free_cores", am->kept_for_free_cores},
        {"dw_balance_given", e->relay.forwarded_by_wait},
        {"dw_balance_wait_ms", bl_longest_ms(&e->relay.own_waits)},
        {"dw_balance_reports_sent", e->relay.reports_sent},
        {"dw_balance_reports_received", e->relay.reports_received},
        {"dw_balance_reports_ignored", e->relay.reports_ignored},
        {"dw_requests_read_after_close", e->read_after_close},
        {"dw_claims_sent", e->claims.stats.sent},
        {"dw_claims_known", cl_known_count(&e->claims)},
        {"dw_requests_waited", e->claims.stats.waited},
        {"dw_claim_conflicts", e->claims.stats.conflicts},
        {"dw_tombstones", e->tombs.stats.added},
        {"dw_tombstones_received", e->tombs.stats.received},
        {"dw_tombstones_stopped", e->tombs.stats.stopped},
        {"dw_cancels_unheard", e->tombs.stats.unheard},
        {"dw_busy_permille", (uint64_t)(e->lag.utilization * 1000)},
        {"dw_behind", lg_is_out_of_rotation(&e->lag)},
    };

    sv_add_metrics(b, rows, sizeof(rows) / sizeof(rows[0]));
    sv_add_web_metrics(b, "callers", e->callers);
    sv_add_web_metrics(b, "readiness", e->ready);
    hist_format(&e->answer_ms, "dw_answer", b);
    hist_format(&e->unread_ms, "dw_unread", b);
    hist_format(&e->outlived_ms, "dw_outlived", b);
    hist_format(&am->predicted, "dw_wait_predicted", b);
    hist_format(&am->actual, "dw_wait_actual", b);
}

const struct sv_role sv_entry = {"entry", entry_open, entry_close, entry_tick,
    entry_flush, entry_message, entry_refused, entry_leave, entry_give_up,
    entry_done, entry_resumed, entry_metrics};
