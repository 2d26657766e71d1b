/*
 * job-int - declarations shared by job.c, jobadmit.c and jobhandover.c
 *
 * Internal to the job module; others include job.h.
 */
#ifndef JOB_INT_H
#define JOB_INT_H

#include "job.h"
#include "num.h"

/* Reason of a job that is known from hosts' start records only. */
#define OWNER_LOST "owner_lost"
/* Retry delay in a MOVED answer, while the owner is not ready. */
#define MOVED_RETRY_MS 50

/* Adds a record with task_count tasks in state WAITING. */
struct job *job_add(struct jobs *j, uint64_t now, const struct subkey *sk,
    uint32_t partition, uint32_t task_count);
/* NULL if there is no record of the key. */
struct job *job_find(
    const struct jobs *j, struct str customer, struct str key);
/* As job_find(), but removes an expired record and returns NULL. */
struct job *job_find_unexpired(
    struct jobs *j, uint64_t now, struct str customer, struct str key);
/* Removes the record and frees it. */
void job_free(struct jobs *j, struct job *job);
/* Sets the reason unless one is set: the first cause is reported. */
void job_set_reason(struct job *job, const char *reason);
/* The task has ended or will not start. */
bool job_state_is_final(dw_tstate st);
/* The task was offered to a host and has not ended. */
bool job_state_is_outstanding(dw_tstate st);
/* Deep copy. */
void job_copy_task(dw_task *dst, const dw_task *src);
/* Finds the customer's entry or adds one. */
struct job_cust *job_get_customer(struct jobs *j, struct str name);
/* Drops the oldest kept answers while they exceed kept_bytes_max.  Their
 * records stay. */
void job_trim_answers(struct jobs *j);
/* NULL if job is NULL or has no such task. */
struct job_task *job_task_at(struct job *job, uint32_t index);
/* Sends an answer without outcomes; the caller may add them. */
dw_answer *job_send_answer(uint64_t to, uint64_t request, uint32_t partition,
    dw_astate state, uint32_t retry_ms, const char *reason, struct acts *out);
/* Answers one request with the state and outcomes of an ended job. */
void job_answer_request(const struct job *job, uint64_t now, uint64_t to,
    uint64_t request, struct acts *out);
/* Registers a request for the job's answer; false if it is registered. */
bool job_attach(
    struct jobs *j, struct job *job, uint64_t entry, uint64_t request);
/* The customer has fewer tasks outstanding than its guaranteed slots. */
bool job_below_guarantee(const struct jobs *j, const struct job_cust *c);
/* Offers waiting tasks, customer by customer, while hosts have capacity. */
void job_dispatch(struct jobs *j, uint64_t now, struct acts *out);
/* A submission or poll under the key of an existing record. */
void job_resubmitted(struct jobs *j, uint64_t now, struct job *job,
    const dw_submit *s, uint64_t from, struct acts *out);

#endif
