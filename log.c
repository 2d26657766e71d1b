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

#define LINE_MAX_BYTES 1024
#define CATEGORY "dunlinweir"

/* Lines for standard output are buffered until log_flush(). */
#define PENDING_MAX_BYTES 65536U
/* A pipe that poll(2) reports writable accepts this much without blocking:
 * PIPE_BUF on Linux. */
#define WRITE_MAX_BYTES 4096U

/*
 * Limits of one event's lines per second.  Events that report success are only
 * sampled, so that under load the decisions to refuse, retry, stop or move
 * work are logged completely and processor time remains for callers.
 */
#define LINES_PER_SECOND 50U
#define SAMPLED_LINES_PER_SECOND 5U
/* Further events share the last element. */
#define EVENT_RATES_MAX 64U

/* The lines of one event in the current second. */
struct event_rate {
    const char *event;
    time_t second;
    unsigned written;
    unsigned suppressed;
};

static const char *const sampled_events[] = {
    "job_done", "run_done", "run_full", "request_given"};

static struct event_rate event_rates[EVENT_RATES_MAX];
static size_t event_rate_count;
static bool to_stdout;
static char pending[PENDING_MAX_BYTES];
static size_t pending_bytes;
static unsigned long lines_lost;

/* A ring of the most recent lines as consecutive NUL-terminated strings.  A
 * string that does not fit at the end is stored at the front and overwrites
 * the oldest ones. */
static char recent[LOG_RECENT_MAX_BYTES];
static size_t recent_next; /* where the next line is stored */
static size_t recent_wrap; /* end of the older lines; 0 if none */

static FILE *stream;
static char path[256];
static char line[LINE_MAX_BYTES + 128];
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
queue_line(const char *text)
{
    size_t n = strlen(text);

    if (pending_bytes + n + 1 > PENDING_MAX_BYTES) {
        lines_lost++;
        return;
    }
    memcpy(pending + pending_bytes, text, n + 1);
    pending_bytes += n;
}

/* A reader that stops or exits costs log lines but never blocks a request. */
void
log_flush(void)
{
    struct pollfd p = {STDOUT_FILENO, POLLOUT, 0};

    while (pending_bytes > 0 && poll(&p, 1, 0) == 1 &&
           (p.revents & POLLOUT) != 0) {
        size_t n =
            pending_bytes < WRITE_MAX_BYTES ? pending_bytes : WRITE_MAX_BYTES;
        ssize_t done = write(STDOUT_FILENO, pending, n);

        if (done <= 0) {
            return;
        }
        pending_bytes -= (size_t)done;
        memmove(pending, pending + done, pending_bytes);
    }
}

unsigned long
log_lines_lost(void)
{
    return lines_lost;
}

static void
add_recent(const char *text)
{
    size_t n = strlen(text) + 1;

    if (recent_next + n > LOG_RECENT_MAX_BYTES) {
        recent_wrap = recent_next;
        recent_next = 0;
    }
    memcpy(recent + recent_next, text, n);
    recent_next += n;
}

/* Call fn for the strings in [from, to) that contain field. */
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
    size_t oldest = recent_next;

    /* Skip the rest of the line that is partly overwritten. */
    while (oldest < recent_wrap && recent[oldest] != '\0') {
        oldest++;
    }
    each_line(oldest + 1, recent_wrap, field, fn, ctx);
    each_line(0, recent_next, field, fn, ctx);
}

static int
append_line(log4c_appender_t *appender, const log4c_logging_event_t *ev)
{
    (void)appender;
    add_recent(ev->evt_rendered_msg);
    if (to_stdout) {
        queue_line(ev->evt_rendered_msg);
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
        err_set(e, "log4c_init failed");
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

static struct event_rate *
find_event_rate(const char *event)
{
    size_t i;

    for (i = 0; i < event_rate_count; i++) {
        if (strcmp(event_rates[i].event, event) == 0) {
            return &event_rates[i];
        }
    }
    if (event_rate_count < EVENT_RATES_MAX) {
        event_rates[event_rate_count].event = event;
        return &event_rates[event_rate_count++];
    }
    return &event_rates[EVENT_RATES_MAX - 1];
}

static unsigned
line_limit(const char *event)
{
    for (size_t i = 0; i < sizeof(sampled_events) / sizeof(sampled_events[0]);
         i++) {
        if (strcmp(sampled_events[i], event) == 0) {
            return SAMPLED_LINES_PER_SECOND;
        }
    }
    return LINES_PER_SECOND;
}

/* False if the event reached its limit for this second.  *suppressed is set to
 * the number suppressed before, if this is the first line of a new second. */
static bool
within_limit(const char *event, unsigned *suppressed)
{
    struct event_rate *rate = find_event_rate(event);
    time_t now = time(NULL);

    if (rate->second != now) {
        *suppressed = rate->suppressed;
        rate->second = now;
        rate->written = 0;
        rate->suppressed = 0;
    }
    if (rate->written >= line_limit(event)) {
        rate->suppressed++;
        return false;
    }
    rate->written++;
    return true;
}

void
log_event(enum log_level level, const char *event, const char *fmt, ...)
{
    char text[LINE_MAX_BYTES];
    unsigned suppressed = 0;
    va_list ap;
    int n;

    if (category == NULL ||
        !log4c_category_is_priority_enabled(category, priorities[level])) {
        return;
    }
    if (!within_limit(event, &suppressed)) {
        return;
    }
    if (suppressed > 0) {
        log4c_category_log(category, priorities[level],
            "event=left_out of=%s count=%u", event, suppressed);
    }
    n = snprintf(text, sizeof(text), "event=%s ", event);
    va_start(ap, fmt);
    vsnprintf(text + n, sizeof(text) - (size_t)n, fmt, ap);
    va_end(ap);
    log4c_category_log(category, priorities[level], "%s", text);
}
