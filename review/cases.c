/* The order of events of each case; see the claim.txt beside each run.sh.
 * "moved-cancel" and "foreign-heartbeat" have no case; see REPORT.md. */
#include <inttypes.h>

#include "stage.h"

/* Jobs of a case; one each CASE_INTERVAL_MS. */
#define CASE_JOBS 5
#define CASE_INTERVAL_MS 2000U

/* --- a late copy of the request of a cancelled job --- */

/* The work of `quote-price` in the site file: 4 tasks of 900 ms. */
#define QUOTE_TASKS 4
#define QUOTE_RUN_MS 900U
#define QUOTE_DEADLINE_MS 4500U
/* Its client cancels it that long after its first task has started. */
#define CANCEL_AFTER_MS 200U
/* When the copy arrives, after the 2xx for the job: "seconds". */
#define COPY_AFTER_MS 4000U

enum { COPY_POSTED, COPY_CANCELLED, COPY_SENT };

static struct job *case_jobs[CASE_JOBS];
static size_t case_count;

/* Adds the next job when its time has come; NULL: not now. */
static struct job *
next_job(struct stage *s, uint64_t t, uint32_t tasks, uint32_t run_ms,
    uint32_t deadline_ms)
{
    if (case_count == CASE_JOBS || t < (1 + case_count) * CASE_INTERVAL_MS) {
        return NULL;
    }
    case_jobs[case_count] = st_add_job(s, tasks, run_ms, deadline_ms);
    return case_jobs[case_count++];
}

static void
late_copy_tick(struct stage *s, uint64_t t)
{
    struct job *j =
        next_job(s, t, QUOTE_TASKS, QUOTE_RUN_MS, QUOTE_DEADLINE_MS);

    if (j != NULL) {
        st_post(s, j, (int)(case_count % STAGE_ENTRIES));
    }
    for (size_t i = 0; i < case_count; i++) {
        int entry = (int)((i + 1) % STAGE_ENTRIES);

        j = case_jobs[i];
        if (j->step == COPY_POSTED && j->first_start_ms != 0 &&
            s->now >= j->first_start_ms + CANCEL_AFTER_MS) {
            st_delete(s, j, entry);
            j->step = COPY_CANCELLED;
        }
        else if (j->step == COPY_CANCELLED && s->trouble && j->status == 200 &&
                 j->cancel_ack_ms != 0 &&
                 s->now >= j->answered_ms + COPY_AFTER_MS) {
            /* To the same daemon, as the client's zone has only this one. */
            st_post(s, j, entry);
            j->step = COPY_SENT;
        }
    }
}

/* --- a client that moved to another zone cancels its job --- */

/* The largest `quote-price`: tasks of 3,600 ms, far_factor times as long on
 * another rack than that of their data. */
#define LONG_TASKS 4
#define LONG_RUN_MS 5400U
#define LONG_DEADLINE_MS 12000U
#define LONG_JOBS_LENGTH_MS 20000U

enum { LONG_POSTED, LONG_CANCELLED };

static void
moved_cancel_tick(struct stage *s, uint64_t t)
{
    struct job *j = next_job(s, t, LONG_TASKS, LONG_RUN_MS, LONG_DEADLINE_MS);

    if (j != NULL) {
        st_post(s, j, (int)(case_count % STAGE_ENTRIES));
    }
    for (size_t i = 0; i < case_count; i++) {
        int entry = (int)((i + 1) % STAGE_ENTRIES);

        j = case_jobs[i];
        if (j->step == LONG_POSTED && j->first_start_ms != 0 &&
            s->now >= j->first_start_ms + CANCEL_AFTER_MS) {
            /* The open connection stays with its daemon; a new one is
             * forwarded to a daemon in the zone where the client is now. */
            st_delete(s, j, s->trouble ? (entry + 1) % STAGE_ENTRIES : entry);
            j->step = LONG_CANCELLED;
        }
    }
}

/* --- an order without an answer, and a zone that loses power --- */

#define LOSS_ROUNDS 3
#define LOSS_INTERVAL_MS 11000U
#define LOSS_JOBS 3 /* at the same time, a round */
#define LOSS_TASKS 8
/* Orders to the runners of the zone get no answer for that long. */
#define LATE_FOR_MS 40U
#define LOSS_AFTER_MS 300U
#define LOSS_FOR_MS 2000U
#define LOSS_LENGTH_MS 38000U

enum { LOSS_WAITING, LOSS_POSTED, LOSS_ANSWERING, LOSS_STRUCK };

static int loss_round;
static int loss_step;

static void
set_late(struct stage *s, int zone, bool on)
{
    for (int i = 0; i < STAGE_AGENTS; i++) {
        if (st_zone_of(i) == zone) {
            fw_set_loss(s->workers[i], 0, on ? 1000 : 0);
        }
    }
}

static void
power_loss_tick(struct stage *s, uint64_t t)
{
    /* One zone a round; an entry of another coordinates the job. */
    int zone = 2 - loss_round % 3;
    uint64_t at = 2000 + (uint64_t)loss_round * LOSS_INTERVAL_MS;

    if (loss_round == LOSS_ROUNDS || t < at) {
        return;
    }
    if (loss_step == LOSS_WAITING) {
        if (s->trouble) {
            st_record(s, "orders in zone %d get no answer for %u ms", zone,
                LATE_FOR_MS);
            set_late(s, zone, true);
        }
        for (int i = 0; i < LOSS_JOBS; i++) {
            st_post(s,
                st_add_job(s, LOSS_TASKS, LONG_RUN_MS, LONG_DEADLINE_MS),
                (zone + 1) % STAGE_ENTRIES);
        }
        loss_step = LOSS_POSTED;
    }
    else if (loss_step == LOSS_POSTED && t >= at + LATE_FOR_MS) {
        set_late(s, zone, false);
        loss_step = LOSS_ANSWERING;
    }
    else if (loss_step == LOSS_ANSWERING && t >= at + LOSS_AFTER_MS) {
        if (s->trouble) {
            st_zone_loss(s, zone, LOSS_FOR_MS);
        }
        loss_step = LOSS_STRUCK;
    }
    else if (loss_step == LOSS_STRUCK && t >= at + LOSS_INTERVAL_MS - 1000) {
        loss_step = LOSS_WAITING;
        loss_round++;
    }
}

/* --- a heartbeat of another writer, and a restart of all processes --- */

#define FOREIGN_AT_MS 3000U
#define KILL_AT_MS 8000U
#define DOWN_MS 600U
#define FOREIGN_LENGTH_MS 36000U
/* A service that is not named to the system; `born` in microseconds. */
#define FOREIGN_HEARTBEAT                                                     \
    "{\"service\":\"other\",\"state\":\"ready\",\"seq_no\":7,"                \
    "\"born\":1796379910018000,"                                              \
    "\"free_capacity\":{\"cpu\":1000,\"mem_mb\":10,\"gpus\":0}}"

enum { FOREIGN_WAITING, FOREIGN_SENT, FOREIGN_KILLED };

static int foreign_step;

static void
foreign_heartbeat_tick(struct stage *s, uint64_t t)
{
    if (foreign_step == FOREIGN_WAITING && t >= FOREIGN_AT_MS) {
        for (int i = 0; s->trouble && i < STAGE_AGENTS; i++) {
            st_send_heartbeat(s, i, "i-other", STR(FOREIGN_HEARTBEAT));
        }
        foreign_step = FOREIGN_SENT;
    }
    else if (foreign_step == FOREIGN_SENT && t >= KILL_AT_MS) {
        for (int i = 0; i < STAGE_AGENTS; i++) {
            st_kill(s, &s->agents[i], DOWN_MS);
        }
        for (int i = 0; i < STAGE_ENTRIES; i++) {
            st_kill(s, &s->entries[i], DOWN_MS);
        }
        s->back_ms = s->now + DOWN_MS;
        foreign_step = FOREIGN_KILLED;
    }
}

static const struct scenario scenarios[] = {
    {"foreign-heartbeat", FOREIGN_LENGTH_MS, foreign_heartbeat_tick, NULL},
    {"power-loss", LOSS_LENGTH_MS, power_loss_tick, NULL},
    {"moved-cancel", LONG_JOBS_LENGTH_MS, moved_cancel_tick, NULL},
    {"late-copy", 22000, late_copy_tick, NULL},
};

int
main(int argc, char **argv)
{
    return st_main(
        argc, argv, scenarios, sizeof(scenarios) / sizeof(scenarios[0]));
}
