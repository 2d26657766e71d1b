#include "log.h"

#include <errno.h>
#include <fcntl.h>
#include <log4c.h>
#include <poll.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "str.h"

#define LINE_MAX_LEN 1024
#define CATEGORY "dunlinweir"

/* Standard output: lines wait here until log_flush(). */
#define PENDING_MAX 65536U
/* A pipe that poll(2) calls writable takes this much without blocking. */
#define WRITE_MAX 4096U

/*
 * Lines of one event a second.  What went well is kept as samples only, so
 * that under load the decisions that refuse, repeat, stop or move work stay
 * whole and the processor serves callers.
 */
#define LIMIT_USUAL 50U
#define LIMIT_SAMPLE 5U
#define KINDS_MAX 64U

struct kind {
    const char *event;
    time_t second;
    unsigned taken;
    unsigned left_out;
};

static const char *const samples[] = {
    "job_done", "run_done", "run_full", "request_given"};

static struct kind kinds[KINDS_MAX];
static size_t kind_count;
static bool to_stdout;
static char pending[PENDING_MAX];
static size_t pending_n;
static unsigned long lost;

/* The last lines, as strings one after the other.  A string that did not fit
 * at the end went to the front; what it ran into is forgotten. */
static char recent[LOG_RECENT_MAX_BYTES];
static size_t recent_at;   /* where the next goes */
static size_t recent_last; /* behind the newest at the end; 0: none there */

static FILE *stream;
static char path[256];
static char line[LINE_MAX_LEN + 128];
static log4c_category_t *category;

static const int priorities[] = {
    [LOG_LEVEL_ERROR] = LOG4C_PRIORITY_ERROR,
    [LOG_LEVEL_WARN] = LOG4C_PRIORITY_WARN,
    [LOG_LEVEL_INFO] = LOG4C_PRIORITY_INFO,
    [LOG_LEVEL_DEBUG] = LOG4C_PRIORITY_DEBUG,
};

static const char *
level_name(int priority)
{
    switch (priority) {
    case LOG4C_PRIORITY_ERROR:
        return "error";
    case LOG4C_PRIORITY_WARN:
        return "warn";
    case LOG4C_PRIORITY_INFO:
        return "info";
    default:
        return "debug";
    }
}

static const char *
format_line(const log4c_layout_t *layout, const log4c_logging_event_t *ev)
{
    struct tm tm;
    char when[32];
    time_t t = ev->evt_timestamp.tv_sec;

    (void)layout;
    gmtime_r(&t, &tm);
    strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%S", &tm);
    snprintf(line, sizeof(line), "time=%s.%03ldZ level=%s %s\n", when,
        (long)ev->evt_timestamp.tv_usec / 1000, level_name(ev->evt_priority),
        ev->evt_msg);
    return line;
}

static void
keep_line(const char *text)
{
    size_t n = strlen(text);

    if (pending_n + n + 1 > PENDING_MAX) {
        lost++;
        return;
    }
    memcpy(pending + pending_n, text, n + 1);
    pending_n += n;
}

/* A reader that stopped reading, or has gone, costs lines and no request. */
void
log_flush(void)
{
    struct pollfd p = {STDOUT_FILENO, POLLOUT, 0};

    while (
        pending_n > 0 && poll(&p, 1, 0) == 1 && (p.revents & POLLOUT) != 0) {
        size_t n = pending_n < WRITE_MAX ? pending_n : WRITE_MAX;
        ssize_t done = write(STDOUT_FILENO, pending, n);

        if (done <= 0) {
            return;
        }
        pending_n -= (size_t)done;
        memmove(pending, pending + done, pending_n);
    }
}

unsigned long
log_lines_lost(void)
{
    return lost;
}

static void
remember_line(const char *text)
{
    size_t n = strlen(text) + 1;

    if (recent_at + n > LOG_RECENT_MAX_BYTES) {
        recent_last = recent_at;
        recent_at = 0;
    }
    memcpy(recent + recent_at, text, n);
    recent_at += n;
}

/* Strings from `from` up to `to`; the first may have lost its head. */
static void
each_line(size_t from, size_t to, const char *field,
    void (*fn)(void *ctx, const char *text), void *ctx)
{
    while (from < to) {
        const char *text = recent + from;

        if (str_has_field(text, field)) {
            fn(ctx, text);
        }
        from += strlen(text) + 1;
    }
}

void
log_recent(
    const char *field, void (*fn)(void *ctx, const char *text), void *ctx)
{
    size_t oldest = recent_at;

    /* The string that was run into is not whole any more. */
    while (oldest < recent_last && recent[oldest] != '\0') {
        oldest++;
    }
    each_line(oldest + 1, recent_last, field, fn, ctx);
    each_line(0, recent_at, field, fn, ctx);
}

static int
append_line(log4c_appender_t *appender, const log4c_logging_event_t *ev)
{
    (void)appender;
    remember_line(ev->evt_rendered_msg);
    if (to_stdout) {
        keep_line(ev->evt_rendered_msg);
        return 0;
    }
    if (stream == NULL) {
        return 0;
    }
    fputs(ev->evt_rendered_msg, stream);
    return fflush(stream);
}

static const log4c_layout_type_t layout_type = {"dunlinweir_kv", format_line};
static const log4c_appender_type_t appender_type = {
    "dunlinweir_stream", NULL, append_line, NULL};

static enum log_status
open_stream(struct err *e)
{
    FILE *f;

    to_stdout = strcmp(path, "-") == 0;
    if (to_stdout) {
        return LOG_OK;
    }
    f = path[0] != '\0' ? fopen(path, "ae") : stderr;
    if (f == NULL) {
        err_set(e, "log file %s: %s", path, strerror(errno));
        return LOG_BAD_FILE;
    }
    if (stream != NULL && stream != stderr) {
        fclose(stream);
    }
    stream = f;
    return LOG_OK;
}

enum log_status
log_open(const char *file, enum log_level level, struct err *e)
{
    log4c_appender_t *appender;
    log4c_layout_t *layout;

    snprintf(path, sizeof(path), "%s", file);
    log4c_layout_type_set(&layout_type);
    log4c_appender_type_set(&appender_type);
    if (log4c_init() != 0) {
        err_set(e, "log4c does not start");
        return LOG_BAD_LIBRARY;
    }
    layout = log4c_layout_get("kv");
    log4c_layout_set_type(layout, &layout_type);
    appender = log4c_appender_get("stream");
    log4c_appender_set_type(appender, &appender_type);
    log4c_appender_set_layout(appender, layout);
    category = log4c_category_get(CATEGORY);
    log4c_category_set_appender(category, appender);
    log4c_category_set_additivity(category, 0);
    return log_reopen(level, e);
}

enum log_status
log_reopen(enum log_level level, struct err *e)
{
    log4c_category_set_priority(category, priorities[level]);
    return open_stream(e);
}

void
log_close(void)
{
    log_flush();
    if (stream != NULL && stream != stderr) {
        fclose(stream);
    }
    stream = NULL;
    log4c_fini();
    category = NULL;
}

static struct kind *
kind_of(const char *event)
{
    size_t i;

    for (i = 0; i < kind_count; i++) {
        if (strcmp(kinds[i].event, event) == 0) {
            return &kinds[i];
        }
    }
    if (kind_count < KINDS_MAX) {
        kinds[kind_count].event = event;
        return &kinds[kind_count++];
    }
    return &kinds[KINDS_MAX - 1];
}

static unsigned
limit_of(const char *event)
{
    for (size_t i = 0; i < sizeof(samples) / sizeof(samples[0]); i++) {
        if (strcmp(samples[i], event) == 0) {
            return LIMIT_SAMPLE;
        }
    }
    return LIMIT_USUAL;
}

/* False if the event has had its lines of this second. */
static bool
may_write(const char *event, unsigned *left_out)
{
    struct kind *k = kind_of(event);
    time_t now = time(NULL);

    if (k->second != now) {
        *left_out = k->left_out;
        k->second = now;
        k->taken = 0;
        k->left_out = 0;
    }
    if (k->taken >= limit_of(event)) {
        k->left_out++;
        return false;
    }
    k->taken++;
    return true;
}

void
log_event(enum log_level level, const char *event, const char *fmt, ...)
{
    char text[LINE_MAX_LEN];
    unsigned left_out = 0;
    va_list ap;
    int n;

    if (category == NULL ||
        !log4c_category_is_priority_enabled(category, priorities[level])) {
        return;
    }
    if (!may_write(event, &left_out)) {
        return;
    }
    if (left_out > 0) {
        log4c_category_log(category, priorities[level],
            "event=left_out of=%s count=%u", event, left_out);
    }
    n = snprintf(text, sizeof(text), "event=%s ", event);
    va_start(ap, fmt);
    vsnprintf(text + n, sizeof(text) - (size_t)n, fmt, ap);
    va_end(ap);
    log4c_category_log(category, priorities[level], "%s", text);
}
