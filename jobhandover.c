/*
 * Records of a partition when its owner changes: opening, dropping, export
 * and import in a hand-over, recovery from hosts' start records.
 */
#include "job-int.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

void
jobs_open_partition(struct jobs *j, uint64_t now, uint32_t partition,
    uint64_t epoch, uint64_t incomplete_until_ms, uint64_t quiet_ms)
{
    struct job_part *p = &j->parts[partition];

    p->gate = JOB_OPEN;
    p->epoch = epoch;
    p->incomplete_until_ms = incomplete_until_ms;
    p->uuid7_cutoff_wall_ms =
        j->wall_ms - (now > quiet_ms ? now - quiet_ms : 0);
}

void
jobs_set_gate(struct jobs *j, uint32_t partition, enum job_gate gate)
{
    j->parts[partition].gate = gate;
}

void
jobs_drop_partition(struct jobs *j, uint32_t partition)
{
    struct job *job;
    struct job *tmp;

    HASH_ITER (hh, j->jobs, job, tmp) {
        if (job->partition == partition) {
            job_free(j, job);
        }
    }
    j->parts[partition].gate = JOB_CLOSED;
}

void
jobs_restore_record(struct jobs *j, uint64_t now, const dw_record *rec)
{
    struct subkey sk;
    struct job *job;

    if (!sk_make(&sk, str_bytes(&rec->customer), str_bytes(&rec->key)) ||
        rec->count > DW_MAX_TASKS || rec->age_ms >= j->cfg.retention_ms) {
        return;
    }
    job = job_find(j, sk_customer(&sk), sk_key(&sk));
    if (job == NULL) {
        job = job_add(j, now, &sk, rec->partition, rec->count);
        job->state = DW_A_FAILED;
        job_set_reason(job, OWNER_LOST);
        for (uint32_t i = 0; i < job->task_count; i++) {
            job->tasks[i].outcome.state = DW_T_UNKNOWN;
        }
    }
    else if (job->state != DW_A_FAILED ||
             strcmp(job->reason, OWNER_LOST) != 0) {
        /* Admitted here after the takeover, under a key that was unused. */
        return;
    }
    job->expires_ms = now + j->cfg.retention_ms - rec->age_ms;
    for (u_int i = 0; i < rec->marks.marks_len; i++) {
        const dw_mark *m = &rec->marks.marks_val[i];
        struct job_task *t = job_task_at(job, m->index);

        /* A running task's outcome is not known yet; see amend_recovered().
         * NOT_STARTED speaks for one attempt: another host may have started a
         * later one, and its records may be lost with the owner. */
        if (t != NULL && job_state_is_final(m->state) &&
            m->state != DW_T_NOT_STARTED) {
            t->outcome.state = m->state;
        }
    }
}

static void
export_job(const struct job *job, uint64_t now, dw_job *o)
{
    o->customer = str_to_bytes(sk_customer(&job->sk));
    o->key = str_to_bytes(sk_key(&job->sk));
    o->body_hash = job->body_hash;
    o->admit_request = job->admit_request;
    o->age_ms = (uint32_t)(now - job->admitted_ms);
    o->deadline_ms = job->state == DW_A_RUNNING
                         ? num_remaining_ms(job->deadline_ms, now)
                         : num_remaining_ms(job->expires_ms, now);
    o->width = job->width;
    o->state = job->state;
    o->refused = job->refused;
    o->kept = job->answer_kept;
    o->cancelled = job->cancelled;
    o->reason = str_to_bytes(str_of(job->reason));
    o->tasks.tasks_len = job->task_count;
    o->tasks.tasks_val = dw_zero(job->task_count, sizeof(dw_job_task));
    for (uint32_t i = 0; i < job->task_count; i++) {
        const struct job_task *t = &job->tasks[i];
        dw_job_task *ot = &o->tasks.tasks_val[i];

        job_copy_task(&ot->task, &t->task);
        ot->outcome = t->outcome;
        ot->outcome.body = str_to_bytes(str_bytes(&t->outcome.body));
        ot->attempt = t->attempt;
        ot->host = t->host;
    }
}

u_int
jobs_export(struct jobs *j, uint64_t now, uint32_t partition, size_t skip,
    dw_job *into, u_int max)
{
    struct job *job;
    u_int n = 0;

    for (job = j->jobs; job != NULL && n < max; job = job->hh.next) {
        if (job->partition != partition) {
            continue;
        }
        if (skip > 0) {
            skip--;
            continue;
        }
        export_job(job, now, &into[n++]);
    }
    return n;
}

static void
import_task(struct jobs *j, uint64_t now, struct job *job, struct job_task *t,
    const dw_job_task *it)
{
    job_copy_task(&t->task, &it->task);
    t->outcome = it->outcome;
    t->outcome.body = str_to_bytes(str_bytes(&it->outcome.body));
    t->attempt = it->attempt;
    t->host = it->host;
    t->sent_ms = now;
    t->state_since_ms = now;
    job->answer_bytes += it->outcome.body.dw_bytes_len;
    j->kept_bytes += it->outcome.body.dw_bytes_len;
    if (job->state != DW_A_RUNNING) {
        return;
    }
    if (t->outcome.state == DW_T_WAITING) {
        job->waiting++;
        j->waiting++;
    }
    if (job_state_is_outstanding(t->outcome.state)) {
        job->outstanding++;
        job->cust->outstanding++;
    }
}

void
jobs_import(
    struct jobs *j, uint64_t now, uint32_t partition, const dw_job *from)
{
    struct subkey sk;
    struct job *job;

    if (!sk_make(&sk, str_bytes(&from->customer), str_bytes(&from->key)) ||
        job_find(j, sk_customer(&sk), sk_key(&sk)) != NULL) {
        return;
    }
    job = job_add(j, now, &sk, partition, from->tasks.tasks_len);
    job->state = from->state;
    job->body_hash = from->body_hash;
    job->admit_request = from->admit_request;
    job->admitted_ms = now > from->age_ms ? now - from->age_ms : 0;
    job->width = from->width;
    job->refused = from->refused;
    job->answer_kept = from->kept;
    job->cancelled = from->cancelled;
    str_copy(job->reason, sizeof(job->reason), str_bytes(&from->reason));
    job->stopping = job->state == DW_A_RUNNING && job->reason[0] != '\0';
    if (job->state == DW_A_RUNNING) {
        job->deadline_ms = now + from->deadline_ms;
        job->cust = job_get_customer(j, sk_customer(&sk));
        DL_APPEND(job->cust->jobs, job);
    }
    else {
        job->expires_ms = now + from->deadline_ms;
    }
    for (uint32_t i = 0; i < job->task_count; i++) {
        import_task(j, now, job, &job->tasks[i], &from->tasks.tasks_val[i]);
    }
    job_trim_answers(j);
}
