#include "job-int.h"

#include "quota.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* Records a refusal, so that a copy of the request that arrives through
 * another entry gets the same answer and does not run. */
static void
record_refusal(struct jobs *j, uint64_t now, const struct subkey *sk,
    const dw_submit *s, const char *reason, uint64_t from, struct acts *out)
{
    struct job *job = job_add(j, now, sk, s->partition, 0);
    uint32_t ms =
        s->refuse_ms > j->cfg.refuse_ms ? s->refuse_ms : j->cfg.refuse_ms;

    job->state = DW_A_NOT_RUN;
    job->body_hash = s->body_hash;
    job->refused = true;
    job->expires_ms = now + ms;
    job_set_reason(job, reason);
    j->stats.refused++;
    act_submission_event(
        out, sk_customer(sk), sk_key(sk), "owner: refused: %s", reason);
    job_answer_request(job, now, from, s->request, out);
}

static bool
never_fits(const struct jobs *j, const dw_submit *s)
{
    for (u_int i = 0; i < s->tasks.tasks_len; i++) {
        const dw_task *t = &s->tasks.tasks_val[i];
        struct place_need need = {t->millicores, t->memory_mb, false};

        if (place_never_fits(j->place, &need)) {
            return true;
        }
    }
    return false;
}

/* Expected wait of a new task: waiting tasks over the drain rate; 0 if not
 * known. */
static uint64_t
expected_wait_ms(const struct jobs *j)
{
    if (j->waiting == 0 || j->drain_rate_milli == 0) {
        return 0;
    }
    return (uint64_t)j->waiting * 1000000 / j->drain_rate_milli;
}

/* The customer has a guaranteed slot that no outstanding task uses. */
static bool
has_unused_guarantee(const struct jobs *j, const dw_bytes *name)
{
    struct str s = str_bytes(name);
    struct job_cust *c;

    HASH_FIND(hh, j->customers, s.p, s.n, c);
    if (c == NULL) {
        const struct view_contract *vc = view_contract(j->view, s);

        return vc != NULL && vc->c.guaranteed > 0;
    }
    return job_below_guarantee(j, c);
}

/* The reason that the entry gave for a lookup, if it is a known one. */
static const char *
lookup_reason(const dw_submit *s)
{
    static const char *const reasons[] = {
        QUOTA_OVER_LIMIT, QUOTA_SETTLING, JOB_TOO_OLD};

    for (size_t i = 0; i < sizeof(reasons) / sizeof(reasons[0]); i++) {
        if (str_is(str_bytes(&s->reason), reasons[i])) {
            return reasons[i];
        }
    }
    return QUOTA_OVER_LIMIT;
}

/* NULL if the job may be admitted. */
static const char *
refusal_reason(const struct jobs *j, const dw_submit *s)
{
    if (s->lookup) {
        return lookup_reason(s);
    }
    if (never_fits(j, s)) {
        return "never_fits";
    }
    if (j->waiting + s->tasks.tasks_len > j->cfg.waiting_max) {
        return "overloaded";
    }
    /* Guaranteed slots do not wait behind other customers' tasks. */
    if (!j->cfg.no_early_refusal && !has_unused_guarantee(j, &s->customer) &&
        expected_wait_ms(j) > s->deadline_ms) {
        return "deadline_cannot_be_met";
    }
    return NULL;
}

static void
admit(struct jobs *j, uint64_t now, const struct subkey *sk,
    const dw_submit *s, uint64_t from, struct acts *out)
{
    struct job *job = job_add(j, now, sk, s->partition, s->tasks.tasks_len);

    job->state = DW_A_RUNNING;
    job->body_hash = s->body_hash;
    job->deadline_ms = now + s->deadline_ms;
    job->width = s->width > 0 ? s->width : 1;
    job->cust = job_get_customer(j, sk_customer(sk));
    DL_APPEND(job->cust->jobs, job);
    for (uint32_t i = 0; i < job->task_count; i++) {
        job_copy_task(&job->tasks[i].task, &s->tasks.tasks_val[i]);
        job->tasks[i].task.index = i;
        job->tasks[i].state_since_ms = now;
    }
    job->waiting = job->task_count;
    j->waiting += job->task_count;
    j->stats.admitted++;
    job->admit_request = s->request;
    job_attach(j, job, from, s->request);
    act_submission_event(out, sk_customer(sk), sk_key(sk),
        "owner: admitted %u tasks in partition %u, epoch %llu",
        job->task_count, s->partition,
        (unsigned long long)j->parts[s->partition].epoch);
    job_dispatch(j, now, out);
}

/* After a takeover with records missing, an unknown key may have run under
 * an earlier owner, unless it was created when that owner could no longer
 * admit jobs. */
static bool
may_have_run(const struct jobs *j, uint64_t now, const struct job_part *p,
    struct str key)
{
    uint64_t created_wall_ms;

    if (p->incomplete_until_ms <= now) {
        return false;
    }
    return !sk_uuid7_ms(key, &created_wall_ms) ||
           created_wall_ms <= p->uuid7_cutoff_wall_ms + j->cfg.clock_skew_ms;
}

void
job_resubmitted(struct jobs *j, uint64_t now, struct job *job,
    const dw_submit *s, uint64_t from, struct acts *out)
{
    if (!s->poll && s->body_hash != 0 && job->body_hash != 0 &&
        s->body_hash != job->body_hash) {
        job_send_answer(from, s->request, s->partition, DW_A_MISMATCH, 0,
            "key_reused", out);
        return;
    }
    if (job->state != DW_A_RUNNING) {
        j->stats.attached++;
        job_answer_request(job, now, from, s->request, out);
        return;
    }
    /* A repeated request is answered RUNNING, so that the entry knows that
     * it is registered. */
    if (s->poll || !job_attach(j, job, from, s->request)) {
        job_send_answer(
            from, s->request, s->partition, DW_A_RUNNING, 0, "", out);
    }
}

/* A submission or poll under a key without a record. */
static void
submit_unknown(struct jobs *j, uint64_t now, const struct subkey *sk,
    const dw_submit *s, uint64_t from, struct acts *out)
{
    const struct job_part *p = &j->parts[s->partition];
    const char *reason;

    if (may_have_run(j, now, p, sk_key(sk))) {
        j->stats.records_lost++;
        job_send_answer(from, s->request, s->partition, DW_A_UNKNOWN,
            (uint32_t)(p->incomplete_until_ms - now), "records_lost", out);
        return;
    }
    if (s->poll) {
        job_send_answer(
            from, s->request, s->partition, DW_A_UNKNOWN, 0, "not_found", out);
        return;
    }
    if (!s->lookup && s->age_ms > j->cfg.max_age_ms) {
        /* A refusal recorded for it may have expired; see
         * record_refusal(). */
        j->stats.redirected++;
        job_send_answer(from, s->request, s->partition, DW_A_MOVED,
            MOVED_RETRY_MS, JOB_TOO_OLD, out);
        return;
    }
    reason = refusal_reason(j, s);
    if (reason != NULL) {
        record_refusal(j, now, sk, s, reason, from, out);
        return;
    }
    admit(j, now, sk, s, from, out);
}

struct job *
job_find_unexpired(
    struct jobs *j, uint64_t now, struct str customer, struct str key)
{
    struct job *job = job_find(j, customer, key);

    if (job != NULL && job->state != DW_A_RUNNING && job->expires_ms <= now) {
        job_free(j, job);
        return NULL;
    }
    return job;
}

void
jobs_submit(struct jobs *j, uint64_t now, uint64_t from, const dw_submit *s,
    struct acts *out)
{
    struct str name = str_bytes(&s->customer);
    struct str key = str_bytes(&s->key);
    struct subkey sk;
    struct job *job;

    if (s->partition >= VIEW_PARTS || !sk_make(&sk, name, key)) {
        return;
    }
    if (j->parts[s->partition].gate != JOB_OPEN || !j->may_admit) {
        j->stats.redirected++;
        job_send_answer(from, s->request, s->partition, DW_A_MOVED,
            MOVED_RETRY_MS, "not_ready", out);
        return;
    }
    job = job_find_unexpired(j, now, name, key);
    if (job != NULL) {
        job_resubmitted(j, now, job, s, from, out);
    }
    else {
        submit_unknown(j, now, &sk, s, from, out);
    }
}
