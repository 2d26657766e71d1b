#include <inttypes.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include "daemon.h"

enum metric_kind { COUNTER, GAUGE };

static const char *const kind_names[] = {
    [COUNTER] = "counter",
    [GAUGE] = "gauge",
};

static const char *const message_type_names[32] = {
    [DW_SUBMIT] = "submit",
    [DW_ANSWER] = "answer",
    [DW_OFFER] = "offer",
    [DW_OFFERED] = "offered",
    [DW_RESULT] = "result",
    [DW_RESULT_ACK] = "result_ack",
    [DW_REVOKE] = "revoke",
    [DW_REVOKED] = "revoked",
    [DW_FENCE] = "fence",
    [DW_RECORDS] = "records",
    [DW_HANDOVER] = "handover",
    [DW_HANDED] = "handed",
    [DW_PULL] = "pull",
    [DW_STATE] = "state",
    [DW_PING] = "ping",
    [DW_PING_ACK] = "ping_ack",
    [DW_PING_REQ] = "ping_req",
    [DW_BORROW] = "borrow",
    [DW_LENT] = "lent",
    [DW_CANCEL] = "cancel",
    [DW_LEDGER_ASK] = "ledger_ask",
    [DW_LEDGER] = "ledger",
};

static void
add_metric(
    struct buf *b, enum metric_kind kind, const char *name, uint64_t value)
{
    buf_addf(b, "# TYPE dunlinweir_%s %s\ndunlinweir_%s %" PRIu64 "\n", name,
        kind_names[kind], name, value);
}

static void
add_link(struct daemon *d, struct buf *b)
{
    const struct link_stats *s = link_stats(d->link);

    add_metric(b, COUNTER, "messages_sent_total", s->sent);
    add_metric(b, COUNTER, "messages_received_total", s->received);
    add_metric(b, COUNTER, "bytes_sent_total", s->sent_bytes);
    add_metric(b, COUNTER, "bytes_received_total", s->received_bytes);
    add_metric(b, COUNTER, "messages_dropped_full_total", s->dropped_full);
    add_metric(b, COUNTER, "messages_dropped_old_total", s->dropped_old);
    add_metric(b, COUNTER, "messages_dropped_other_total", s->dropped_other);
    add_metric(
        b, COUNTER, "connections_replaced_total", s->connections_replaced);
    add_metric(b, COUNTER, "hellos_total", s->hellos);
    add_metric(b, COUNTER, "links_closed_late_total", s->closed_late);
    add_metric(b, COUNTER, "links_closed_crowded_total", s->closed_crowded);
    add_metric(b, COUNTER, "links_closed_memory_total", s->closed_memory);
    add_metric(b, GAUGE, "backlog_bytes", link_queued_bytes(d->link));
    buf_add(b, STR("# TYPE dunlinweir_messages counter\n"));
    for (size_t i = 0; i < 32; i++) {
        if (message_type_names[i] != NULL) {
            buf_addf(b,
                "dunlinweir_messages{type=\"%s\"} %" PRIu64 "\n"
                "dunlinweir_message_bytes{type=\"%s\"} %" PRIu64 "\n",
                message_type_names[i], s->sent_by_type[i],
                message_type_names[i], s->sent_bytes_by_type[i]);
        }
    }
}

static void
add_web_metric(void *ctx, const char *name, uint64_t value)
{
    char full[64];

    snprintf(full, sizeof(full), "callers_%s_total", name);
    add_metric(ctx, COUNTER, full, value);
}

static void
add_jobs(const struct node *n, struct buf *b)
{
    const struct job_stats *s = &n->jobs.stats;

    add_metric(b, COUNTER, "jobs_admitted_total", s->admitted);
    add_metric(b, COUNTER, "jobs_attached_total", s->attached);
    add_metric(b, COUNTER, "jobs_refused_total", s->refused);
    add_metric(b, COUNTER, "jobs_unsure_total", s->records_lost);
    add_metric(b, COUNTER, "jobs_moved_on_total", s->redirected);
    add_metric(b, COUNTER, "jobs_complete_total", s->complete);
    add_metric(b, COUNTER, "jobs_failed_total", s->failed);
    add_metric(b, COUNTER, "jobs_not_run_total", s->not_run);
    add_metric(b, COUNTER, "offers_total", s->offers);
    add_metric(b, COUNTER, "offered_tasks_total", s->offered_tasks);
    add_metric(b, COUNTER, "reoffers_total", s->reoffers);
    add_metric(b, COUNTER, "moves_total", s->moves);
    add_metric(b, COUNTER, "late_results_total", s->late_results);
    add_metric(b, GAUGE, "jobs_known", HASH_COUNT(n->jobs.jobs));
    add_metric(b, GAUGE, "jobs_running", jobs_running(&n->jobs));
    add_metric(b, GAUGE, "tasks_waiting", n->jobs.waiting);
    add_metric(b, GAUGE, "answers_kept_bytes", n->jobs.kept_bytes);
}

static void
add_host(const struct node *n, struct buf *b)
{
    const struct host_stats *s = &n->host.stats;

    add_metric(b, COUNTER, "tasks_started_total", s->started);
    add_metric(b, COUNTER, "tasks_ended_total", s->ended);
    add_metric(b, COUNTER, "offers_refused_again_total", s->refused_duplicate);
    add_metric(b, COUNTER, "offers_refused_epoch_total", s->refused_epoch);
    add_metric(b, COUNTER, "offers_refused_full_total", s->refused_full);
    add_metric(b, COUNTER, "tasks_released_total", s->released);
    add_metric(b, COUNTER, "results_resent_total", s->resent);
    add_metric(b, GAUGE, "slots", n->host.cfg.slots);
    add_metric(b, GAUGE, "tasks_running", n->host.busy);
    add_metric(b, GAUGE, "tasks_queued", n->host.queued);
    add_metric(b, GAUGE, "start_records", HASH_COUNT(n->host.recs));
    add_metric(b, GAUGE, "backend_serving", n->host.serving);
    add_metric(b, GAUGE, "errors_permille", n->host.error_permille);
}

static void
add_front(const struct node *n, struct buf *b)
{
    const struct front_stats *s = &n->front.stats;

    add_metric(b, COUNTER, "requests_total", s->requests);
    add_metric(b, COUNTER, "request_sends_total", s->sends);
    add_metric(b, COUNTER, "request_resends_total", s->resends);
    add_metric(b, COUNTER, "requests_over_limit_total", s->over_limit);
    add_metric(b, COUNTER, "requests_held_total", s->backoffs);
    add_metric(b, COUNTER, "requests_given_up_total", s->gave_up);
    add_metric(b, COUNTER, "answers_late_total", s->late_answers);
    add_metric(b, COUNTER, "share_waits_total", s->quota_waits);
    add_metric(b, GAUGE, "requests_waiting", front_waiting(&n->front));
}

static void
add_state(struct daemon *d, uint64_t now, struct buf *b)
{
    struct node *n = &d->node;

    add_metric(b, GAUGE, "revision", n->view.rev);
    add_metric(b, GAUGE, "state_age_ms", sync_age(&n->sync, now));
    add_metric(b, GAUGE, "may_start", node_may_start(n, now));
    add_metric(b, GAUGE, "reader", sync_is_reader(&n->sync));
    add_metric(b, GAUGE, "store_down", n->sync.store_down);
    add_metric(b, GAUGE, "members", HASH_COUNT(n->view.members));
    add_metric(b, GAUGE, "partitions_open", own_count(&n->own, OWN_OPEN));
    add_metric(
        b, GAUGE, "partitions_recovering", own_count(&n->own, OWN_RECOVERING));
    add_metric(
        b, GAUGE, "partitions_giving", own_count(&n->own, OWN_HANDING_OVER));
    add_metric(b, COUNTER, "takeovers_total", n->own.stats.takeovers);
    add_metric(b, COUNTER, "partitions_given_total", n->own.stats.handed_over);
    add_metric(b, COUNTER, "partitions_received_total", n->own.stats.received);
    add_metric(b, COUNTER, "handovers_given_up_total",
        n->own.stats.handovers_aborted);
    add_metric(b, COUNTER, "map_plans_total", n->own.stats.plans);
    add_metric(b, COUNTER, "store_reads_total", d->store->stats.reads);
    add_metric(b, COUNTER, "store_txns_total", d->store->stats.txns);
    add_metric(b, COUNTER, "store_watches_total", d->store->stats.watches);
    add_metric(b, COUNTER, "store_failures_total", d->store->stats.failures);
    add_metric(b, COUNTER, "loop_pauses_total", d->pauses);
}

static uint64_t
resident_kb(void)
{
    FILE *f = fopen("/proc/self/statm", "re");
    unsigned long long size = 0;
    unsigned long long resident = 0;

    if (f != NULL) {
        if (fscanf(f, "%llu %llu", &size, &resident) != 2) {
            resident = 0;
        }
        fclose(f);
    }
    return resident * (uint64_t)sysconf(_SC_PAGESIZE) / 1024;
}

static void
add_process(struct daemon *d, uint64_t now, struct buf *b)
{
    struct rusage u;

    getrusage(RUSAGE_SELF, &u);
    add_metric(b, COUNTER, "cpu_us_total",
        (uint64_t)(u.ru_utime.tv_sec + u.ru_stime.tv_sec) * 1000000 +
            (uint64_t)(u.ru_utime.tv_usec + u.ru_stime.tv_usec));
    add_metric(b, GAUGE, "resident_kb", resident_kb());
    add_metric(b, COUNTER, "uptime_ms", now - d->started_ms);
}

void
metric_format(struct daemon *d, uint64_t now, struct buf *out)
{
    add_process(d, now, out);
    add_state(d, now, out);
    add_link(d, out);
    add_front(&d->node, out);
    wl_each(d->web, add_web_metric, out);
    if (d->node.agent) {
        add_jobs(&d->node, out);
        add_host(&d->node, out);
    }
}
