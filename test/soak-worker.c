/* A worker, as the platform's pages tell it: runs under one lease, stops,
 * ends listed until acknowledged, a fence, a new life after a crash. */
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "num.h"
#include "soak.h"

#define RUNS_MAX 64
#define ENDS_MAX 512
#define PAST_MAX 1024
#define WAITS_MAX 16
#define LATER_MAX 64
#define MILLICORES 16000
#define LEASE_MAX_MS 1000U
#define STOP_MS 50U

struct task {
    uint64_t job;
    uint32_t index;
};

struct run {
    struct task task;
    uint64_t run;
    uint32_t millicores;
    uint64_t ends_ms;
    uint64_t begun_ms;
    bool stopping;
};

struct end {
    uint64_t number;
    struct task task;
    uint64_t run;
    const char *how;
};

struct wait {
    struct web_req *r;
    uint64_t until_ms;
};

/* An order that is carried out late. */
struct later {
    uint64_t at_ms;
    bool stop;
    char *body;
};

struct fake_worker {
    struct soak *s;
    struct web *web;
    const struct fw_events *events;
    void *ctx;
    uint64_t now;
    uint64_t up_ms; /* down until then */
    uint64_t born_ms;
    uint64_t life_ms; /* when this life began, own time */
    uint64_t until_ms;
    uint64_t fence;
    uint64_t seq;
    uint64_t next_end;
    uint32_t mute;
    uint32_t late;
    uint32_t slow;
    struct run runs[RUNS_MAX];
    size_t run_count;
    struct end ends[ENDS_MAX];
    size_t end_count;
    struct end past[PAST_MAX]; /* stopped or ended here: lower runs refused */
    size_t past_count;
    struct wait waits[WAITS_MAX];
    size_t wait_count;
    struct later laters[LATER_MAX];
    size_t later_count;
    struct web_req *muted[LATER_MAX];
    size_t muted_count;
};

static uint64_t
clock_of(const struct fake_worker *w)
{
    /* As slow as it may be. */
    return 1 + (w->now - w->life_ms) * 98 / 100;
}

static bool
same(const struct task *a, const struct task *b)
{
    return a->job == b->job && a->index == b->index;
}

static struct run *
find(struct fake_worker *w, const struct task *t)
{
    for (size_t i = 0; i < w->run_count; i++) {
        if (same(&w->runs[i].task, t)) {
            return &w->runs[i];
        }
    }
    return NULL;
}

static void
remember(struct fake_worker *w, const struct task *t, uint64_t run)
{
    struct end *p = &w->past[w->past_count++ % PAST_MAX];

    p->task = *t;
    p->run = run;
}

static uint64_t
highest(const struct fake_worker *w, const struct task *t)
{
    uint64_t run = 0;

    for (size_t i = 0; i < PAST_MAX; i++) {
        if (same(&w->past[i].task, t)) {
            run = num_max(run, w->past[i].run);
        }
    }
    return run;
}

static void
end_run(struct fake_worker *w, struct run *r, const char *how)
{
    struct end *e = &w->ends[w->end_count < ENDS_MAX ? w->end_count++ : 0];
    bool done = strcmp(how, "done") == 0;

    e->number = w->next_end++;
    e->task = r->task;
    e->run = r->run;
    e->how = how;
    remember(w, &r->task, r->run);
    w->events->end(w->ctx, w, r->task.job, r->task.index, done);
    *r = w->runs[--w->run_count];
}

static void
renew(struct fake_worker *w, uint64_t until)
{
    until = num_min(until, clock_of(w) + LEASE_MAX_MS);
    w->until_ms = num_max(w->until_ms, until);
}

/* --- decoding --- */

struct order {
    struct task task;
    uint64_t run;
    uint64_t until_ms;
    uint64_t fence;
    uint64_t ack;
    uint64_t wait_ms;
};

static uint64_t
number(const json_t *o, const char *name)
{
    return (uint64_t)json_integer_value(json_object_get(o, name));
}

static bool
read_order(struct order *out, struct str text)
{
    json_t *o = json_loadb(text.p, text.n, 0, NULL);
    const char *task = json_string_value(json_object_get(o, "task"));

    memset(out, 0, sizeof(*out));
    if (o == NULL) {
        return false;
    }
    if (task != NULL) {
        str_hex64(str_make(task, 16), &out->task.job);
        out->task.index = (uint32_t)strtoul(task + 21, NULL, 10);
    }
    out->run = number(o, "run_id");
    out->until_ms = number(o, "until_ms");
    out->fence = number(o, "fencing_token");
    out->ack = number(o, "ack_cursor");
    out->wait_ms = number(o, "wait_ms");
    json_decref(o);
    return true;
}

static bool
fenced(struct fake_worker *w, const struct order *o)
{
    if (o->fence < w->fence) {
        return true;
    }
    w->fence = o->fence;
    return false;
}

/* --- orders --- */

static void
check_room(struct fake_worker *w, uint32_t more)
{
    uint32_t used = more;

    for (size_t i = 0; i < w->run_count; i++) {
        used += w->runs[i].millicores;
    }
    if (used > MILLICORES) {
        w->events->broken(w->ctx, "a worker is over its capacity");
    }
}

#define TASK_MILLICORES 2000U

/* The reason of a refusal, NULL if it runs. */
static const char *
start(struct fake_worker *w, const struct order *o)
{
    struct run *r = find(w, &o->task);

    if (fenced(w, o)) {
        return "fence";
    }
    if (o->until_ms < clock_of(w)) {
        return "late";
    }
    renew(w, o->until_ms);
    if (r != NULL) {
        return r->run == o->run ? NULL : "old";
    }
    if (o->run <= highest(w, &o->task)) {
        return "old";
    }
    if (w->run_count == RUNS_MAX) {
        return "room";
    }
    check_room(w, TASK_MILLICORES);
    r = &w->runs[w->run_count++];
    memset(r, 0, sizeof(*r));
    r->task = o->task;
    r->run = o->run;
    r->millicores = TASK_MILLICORES;
    r->begun_ms = w->now;
    r->ends_ms = w->now + (uint64_t)w->slow * w->events->time(w->ctx,
                                                  o->task.job, o->task.index);
    w->events->start(w->ctx, w, o->task.job, o->task.index);
    return NULL;
}

static void
stop(struct fake_worker *w, const struct order *o)
{
    struct run *r = find(w, &o->task);

    if (fenced(w, o)) {
        return;
    }
    remember(w, &o->task, o->run);
    if (r != NULL && r->run <= o->run && !r->stopping) {
        r->stopping = true;
        r->ends_ms = w->now + soak_random(w->s, STOP_MS);
    }
}

static void
answer(struct fake_worker *w, struct web_req *r, const char *reason)
{
    struct buf b = {0};

    buf_addf(&b, "{\"clock_ms\":%" PRIu64 "%s%s%s}", clock_of(w),
        reason != NULL ? ",\"reason\":\"" : "", reason != NULL ? reason : "",
        reason != NULL ? "\"" : "");
    web_reply(
        r, reason != NULL ? 409 : 200, "application/json", buf_str(&b), 0);
    buf_free(&b);
}

static json_t *
task_name(const struct task *t)
{
    char text[64];

    snprintf(text, sizeof(text), "%016" PRIx64 ".0.0.%u", t->job, t->index);
    return json_string(text);
}

static uint32_t
percent(const struct fake_worker *w, const struct run *r)
{
    uint64_t whole = num_max(r->ends_ms - r->begun_ms, 1);

    return (uint32_t)num_min(99, (w->now - r->begun_ms) * 100 / whole);
}

static void
answer_look(struct fake_worker *w, struct web_req *r)
{
    json_t *running = json_array();
    json_t *finished = json_array();
    json_t *o;
    char *text;

    for (size_t i = 0; i < w->run_count; i++) {
        json_array_append_new(running,
            json_pack("[o, I, s, i]", task_name(&w->runs[i].task),
                (json_int_t)w->runs[i].run, "", (int)percent(w, &w->runs[i])));
    }
    for (size_t i = 0; i < w->end_count; i++) {
        const struct end *e = &w->ends[i];

        json_array_append_new(finished,
            json_pack("[I, o, I, s, s]", (json_int_t)e->number,
                task_name(&e->task), (json_int_t)e->run, e->how, ""));
    }
    o = json_pack("{s:I, s:I, s:o, s:o}", "clock_ms", (json_int_t)clock_of(w),
        "born", (json_int_t)w->born_ms, "running", running, "finished",
        finished);
    text = json_dumps(o, JSON_COMPACT);
    web_reply(r, 200, "application/json", str_of(text), 0);
    free(text);
    json_decref(o);
}

static void
look(struct fake_worker *w, struct web_req *r, const struct order *o)
{
    size_t kept = 0;

    if (fenced(w, o)) {
        answer(w, r, "fence");
        return;
    }
    if (o->until_ms != 0) {
        renew(w, o->until_ms);
    }
    for (size_t i = 0; i < w->end_count; i++) {
        if (w->ends[i].number > o->ack) {
            w->ends[kept++] = w->ends[i];
        }
    }
    w->end_count = kept;
    if (o->wait_ms == 0 || w->end_count > 0 || w->wait_count == WAITS_MAX) {
        answer_look(w, r);
        return;
    }
    w->waits[w->wait_count].r = r;
    w->waits[w->wait_count++].until_ms = w->now + o->wait_ms;
}

static bool
ends_with(const char *z, const char *tail)
{
    size_t n = strlen(z);
    size_t t = strlen(tail);

    return n >= t && strcmp(z + n - t, tail) == 0;
}

static void
carry_out(
    struct fake_worker *w, struct web_req *r, struct str body, bool is_stop)
{
    struct order o;
    const char *reason = NULL;

    if (!read_order(&o, body)) {
        if (r != NULL) {
            web_reply(r, 400, "application/json", STR("{}"), 0);
        }
        return;
    }
    if (is_stop) {
        stop(w, &o);
    }
    else {
        reason = start(w, &o);
    }
    if (r != NULL) {
        answer(w, r, reason);
    }
}

/* The caller gets no answer before its own time is up. */
static void
stay_mute(struct fake_worker *w, struct web_req *r)
{
    if (w->muted_count < LATER_MAX) {
        w->muted[w->muted_count++] = r;
    }
    else {
        web_reply(r, 503, "application/json", STR("{}"), 0);
    }
}

static void
on_request(void *ctx, struct web_req *r)
{
    struct fake_worker *w = ctx;
    struct order o;
    bool is_stop = ends_with(web_path(r), "/run-stop");
    uint32_t luck = (uint32_t)soak_random(w->s, 1000);

    if (w->now < w->up_ms) {
        stay_mute(w, r);
    }
    else if (ends_with(web_path(r), "/hold")) {
        if (luck < w->mute + w->late) {
            stay_mute(w, r);
        }
        else if (read_order(&o, web_body(r))) {
            look(w, r, &o);
        }
    }
    else if (luck < w->late && w->later_count < LATER_MAX) {
        struct later *l = &w->laters[w->later_count++];

        l->at_ms = w->now + 2000 + soak_random(w->s, 6000);
        l->stop = is_stop;
        l->body = str_dup(web_body(r));
        stay_mute(w, r);
    }
    else if (luck < w->late + w->mute) {
        carry_out(w, NULL, web_body(r), is_stop);
        stay_mute(w, r);
    }
    else {
        carry_out(w, r, web_body(r), is_stop);
    }
}

static void
on_gone(void *ctx, struct web_req *r)
{
    struct fake_worker *w = ctx;

    for (size_t i = 0; i < w->wait_count; i++) {
        if (w->waits[i].r == r) {
            w->waits[i] = w->waits[--w->wait_count];
            return;
        }
    }
    for (size_t i = 0; i < w->muted_count; i++) {
        if (w->muted[i] == r) {
            w->muted[i] = w->muted[--w->muted_count];
            return;
        }
    }
}

/* --- time --- */

static void
tick_runs(struct fake_worker *w)
{
    bool lapsed = w->run_count > 0 && clock_of(w) > w->until_ms;

    for (size_t i = 0; i < w->run_count;) {
        struct run *r = &w->runs[i];

        if (lapsed) {
            end_run(w, r, "lapsed");
        }
        else if (w->now >= r->ends_ms) {
            end_run(w, r, r->stopping ? "stopped" : "done");
        }
        else {
            i++;
        }
    }
}

static void
tick_waits(struct fake_worker *w)
{
    for (size_t i = 0; i < w->wait_count;) {
        struct wait wait = w->waits[i];

        if (w->end_count > 0 || w->now >= wait.until_ms) {
            w->waits[i] = w->waits[--w->wait_count];
            answer_look(w, wait.r);
            i = 0;
            continue;
        }
        i++;
    }
}

static void
tick_laters(struct fake_worker *w)
{
    for (size_t i = 0; i < w->later_count;) {
        struct later l = w->laters[i];

        if (w->now >= l.at_ms) {
            w->laters[i] = w->laters[--w->later_count];
            carry_out(w, NULL, str_of(l.body), l.stop);
            free(l.body);
            continue;
        }
        i++;
    }
}

void
fw_tick(struct fake_worker *w, uint64_t now)
{
    w->now = now;
    if (now < w->up_ms) {
        return;
    }
    tick_runs(w);
    tick_waits(w);
    tick_laters(w);
}

/* --- control --- */

static void
begin_life(struct fake_worker *w, uint64_t at_ms)
{
    w->born_ms = 1700000000000U + at_ms;
    w->life_ms = at_ms;
    w->until_ms = 0;
    w->fence = 0;
    w->seq = 0;
    w->next_end = 1;
    w->run_count = 0;
    w->end_count = 0;
    w->past_count = 0;
    memset(w->past, 0, sizeof(w->past));
}

void
fw_crash(struct fake_worker *w, uint64_t now, uint32_t for_ms)
{
    if (now < w->up_ms) {
        return;
    }
    for (size_t i = 0; i < w->run_count; i++) {
        w->events->end(
            w->ctx, w, w->runs[i].task.job, w->runs[i].task.index, false);
    }
    begin_life(w, now + for_ms);
    w->up_ms = now + for_ms;
}

void
fw_lossy(struct fake_worker *w, uint32_t mute, uint32_t late)
{
    w->mute = mute;
    w->late = late;
}

void
fw_slow(struct fake_worker *w, uint32_t times)
{
    w->slow = times;
}

bool
fw_runs(const struct fake_worker *w, uint64_t job, uint32_t index)
{
    struct task t = {job, index};

    return find((struct fake_worker *)w, &t) != NULL;
}

void
fw_announce(struct fake_worker *w, struct buf *out)
{
    if (w->now < w->up_ms) {
        return;
    }
    buf_addf(out,
        "{\"service\":\"s\",\"state\":\"ready\",\"seq_no\":%" PRIu64
        ",\"born\":%" PRIu64 ",\"free_capacity\":{\"cpu\":%d,"
        "\"mem_mb\":1000,\"gpus\":0}}",
        ++w->seq, w->born_ms, MILLICORES);
}

struct fake_worker *
fw_new(struct soak *s, struct ev_loop *loop, uint16_t port,
    const struct fw_events *events, void *ctx)
{
    struct fake_worker *w = dw_zero(1, sizeof(*w));
    struct web_cfg cfg = {"127.0.0.1", port, 200, 1 << 16, 120};
    struct err e = {""};

    w->s = s;
    w->events = events;
    w->ctx = ctx;
    w->slow = 1;
    begin_life(w, 0);
    if (web_open(&w->web, loop, &cfg, on_request, on_gone, w, &e) != WEB_OK) {
        fprintf(stderr, "soak: %s\n", e.msg);
        exit(2);
    }
    return w;
}

void
fw_free(struct fake_worker *w)
{
    while (w->wait_count > 0) {
        web_reply(w->waits[--w->wait_count].r, 503, "application/json",
            STR("{}"), 0);
    }
    while (w->muted_count > 0) {
        web_reply(
            w->muted[--w->muted_count], 503, "application/json", STR("{}"), 0);
    }
    web_close(w->web);
    for (size_t i = 0; i < w->later_count; i++) {
        free(w->laters[i].body);
    }
    free(w);
}
