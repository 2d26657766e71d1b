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

static const char *const type_names[32] = {
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
add(struct buf *b, enum metric_kind kind, const char *name, uint64_t value)
{
    buf_addf(b, "# TYPE dunlinweir_%s %s\ndunlinweir_%s %" PRIu64 "\n", name,
        kind_names[kind], name, value);
}

static void
add_link(struct daemon *d, struct buf *b)
{
    const struct link_stats *s = link_stats(d->link);

    add(b, COUNTER, "messages_sent_total", s->sent);
    add(b, COUNTER, "messages_received_total", s->received);
    add(b, COUNTER, "bytes_sent_total", s->sent_bytes);
    add(b, COUNTER, "bytes_received_total", s->received_bytes);
    add(b, COUNTER, "messages_dropped_full_total", s->dropped_full);
    add(b, COUNTER, "messages_dropped_old_total", s->dropped_old);
    add(b, COUNTER, "messages_dropped_other_total", s->dropped_other);
    add(b, COUNTER, "connections_replaced_total", s->connections_replaced);
    add(b, COUNTER, "hellos_total", s->hellos);
    add(b, GAUGE, "backlog_bytes", link_queued_bytes(d->link));
    buf_add(b, STR("# TYPE dunlinweir_messages counter\n"));
    for (size_t i = 0; i < 32; i++) {
        if (type_names[i] != NULL) {
            buf_addf(b,
                "dunlinweir_messages{type=\"%s\"} %" PRIu64 "\n"
                "dunlinweir_message_bytes{type=\"%s\"} %" PRIu64 "\n",
                type_names[i], s->sent_by_type[i], type_names[i],
                s->sent_bytes_by_type[i]);
        }
    }
}

static void
add_jobs(const struct node *n, struct buf *b)
{
    const struct job_stats *s = &n->jobs.stats;

    add(b, COUNTER, "jobs_admitted_total", s->admitted);
    add(b, COUNTER, "jobs_attached_total", s->attached);
    add(b, COUNTER, "jobs_refused_total", s->refused);
    add(b, COUNTER, "jobs_unsure_total", s->unsure);
    add(b, COUNTER, "jobs_moved_on_total", s->moved_on);
    add(b, COUNTER, "jobs_complete_total", s->complete);
    add(b, COUNTER, "jobs_failed_total", s->failed);
    add(b, COUNTER, "jobs_not_run_total", s->not_run);
    add(b, COUNTER, "offers_total", s->offers);
    add(b, COUNTER, "offered_tasks_total", s->offered_tasks);
    add(b, COUNTER, "reoffers_total", s->reoffers);
    add(b, COUNTER, "moves_total", s->moves);
    add(b, COUNTER, "late_results_total", s->late_results);
    add(b, GAUGE, "jobs_known", HASH_COUNT(n->jobs.jobs));
    add(b, GAUGE, "jobs_running", jobs_running(&n->jobs));
    add(b, GAUGE, "tasks_waiting", n->jobs.waiting);
    add(b, GAUGE, "answers_kept_bytes", n->jobs.kept);
}

static void
add_host(const struct node *n, struct buf *b)
{
    const struct host_stats *s = &n->host.stats;

    add(b, COUNTER, "tasks_started_total", s->started);
    add(b, COUNTER, "tasks_ended_total", s->ended);
    add(b, COUNTER, "offers_refused_again_total", s->refused_again);
    add(b, COUNTER, "offers_refused_epoch_total", s->refused_epoch);
    add(b, COUNTER, "offers_refused_full_total", s->refused_full);
    add(b, COUNTER, "tasks_released_total", s->released);
    add(b, COUNTER, "results_resent_total", s->resent);
    add(b, GAUGE, "slots", n->host.cfg.slots);
    add(b, GAUGE, "tasks_running", n->host.busy);
    add(b, GAUGE, "tasks_queued", n->host.queued);
    add(b, GAUGE, "start_records", HASH_COUNT(n->host.recs));
    add(b, GAUGE, "backend_serving", n->host.serving);
    add(b, GAUGE, "errors_permille", n->host.error_permille);
}

static void
add_front(const struct node *n, struct buf *b)
{
    const struct front_stats *s = &n->front.stats;

    add(b, COUNTER, "requests_total", s->requests);
    add(b, COUNTER, "request_sends_total", s->sends);
    add(b, COUNTER, "request_resends_total", s->resends);
    add(b, COUNTER, "requests_over_limit_total", s->over_limit);
    add(b, COUNTER, "requests_held_total", s->held);
    add(b, COUNTER, "requests_given_up_total", s->gave_up);
    add(b, COUNTER, "answers_late_total", s->late_answers);
    add(b, COUNTER, "share_waits_total", s->waits);
    add(b, GAUGE, "requests_waiting", front_waiting(&n->front));
}

static void
add_state(struct daemon *d, uint64_t now, struct buf *b)
{
    struct node *n = &d->node;

    add(b, GAUGE, "revision", n->view.rev);
    add(b, GAUGE, "state_age_ms", sync_age(&n->sync, now));
    add(b, GAUGE, "may_start", node_may_start(n, now));
    add(b, GAUGE, "reader", sync_is_reader(&n->sync));
    add(b, GAUGE, "store_down", n->sync.down);
    add(b, GAUGE, "members", HASH_COUNT(n->view.members));
    add(b, GAUGE, "partitions_open", own_count(&n->own, OWN_OPEN));
    add(b, GAUGE, "partitions_recovering", own_count(&n->own, OWN_RECOVERING));
    add(b, GAUGE, "partitions_giving", own_count(&n->own, OWN_GIVING));
    add(b, COUNTER, "takeovers_total", n->own.stats.takeovers);
    add(b, COUNTER, "partitions_given_total", n->own.stats.given);
    add(b, COUNTER, "partitions_received_total", n->own.stats.received);
    add(b, COUNTER, "handovers_given_up_total", n->own.stats.give_ups);
    add(b, COUNTER, "map_plans_total", n->own.stats.plans);
    add(b, COUNTER, "store_reads_total", d->store->stats.reads);
    add(b, COUNTER, "store_txns_total", d->store->stats.txns);
    add(b, COUNTER, "store_watches_total", d->store->stats.watches);
    add(b, COUNTER, "store_failures_total", d->store->stats.failures);
    add(b, COUNTER, "loop_pauses_total", d->pauses);
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
    add(b, COUNTER, "cpu_us_total",
        (uint64_t)(u.ru_utime.tv_sec + u.ru_stime.tv_sec) * 1000000 +
            (uint64_t)(u.ru_utime.tv_usec + u.ru_stime.tv_usec));
    add(b, GAUGE, "resident_kb", resident_kb());
    add(b, COUNTER, "uptime_ms", now - d->started_ms);
}

void
metric_format(struct daemon *d, uint64_t now, struct buf *out)
{
    add_process(d, now, out);
    add_state(d, now, out);
    add_link(d, out);
    add_front(&d->node, out);
    if (d->node.agent) {
        add_jobs(&d->node, out);
        add_host(&d->node, out);
    }
}
