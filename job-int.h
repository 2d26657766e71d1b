/*
 * job-int - what job.c, jobadmit.c and jobmove.c share
 *
 * Internal to the job module; others include job.h.
 */
#ifndef JOB_INT_H
#define JOB_INT_H

#include "job.h"
#include "num.h"

/* The reason of a job that is known from start records only. */
#define OWNER_LOST "owner_lost"
/* How soon an entry asks again that was told the owner is not ready. */
#define MOVED_RETRY_MS 50

struct job *job_add(struct jobs *j, uint64_t now, const struct subkey *sk,
    uint32_t partition, uint32_t count);
struct job *job_find(
    const struct jobs *j, struct str customer, struct str key);
void job_free(struct jobs *j, struct job *job);
void job_set_reason(struct job *job, const char *reason);
bool job_state_is_final(dw_tstate st);
bool job_state_is_outstanding(dw_tstate st);
void job_copy_task(dw_task *dst, const dw_task *src);
struct job_cust *job_get_customer(struct jobs *j, struct str name);
void job_trim_answers(struct jobs *j);
struct job_task *job_task_at(struct job *job, uint32_t index);
dw_answer *job_send_answer(uint64_t to, uint64_t request, uint32_t partition,
    dw_astate state, uint32_t retry_ms, const char *reason, struct acts *out);
void job_answer_request(const struct job *job, uint64_t now, uint64_t to,
    uint64_t request, struct acts *out);
bool job_attach(
    struct jobs *j, struct job *job, uint64_t entry, uint64_t request);
bool job_below_guarantee(const struct jobs *j, const struct job_cust *c);
void job_dispatch(struct jobs *j, uint64_t now, struct acts *out);
void job_resubmitted(struct jobs *j, uint64_t now, struct job *job,
    const dw_submit *s, uint64_t from, struct acts *out);
struct job *job_find_unexpired(
    struct jobs *j, uint64_t now, struct str customer_name, struct str key);

#endif
