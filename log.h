/*
 * log - structured log lines through log4c
 *
 * A line is `time=... level=... event=NAME key=value ...`.  It goes to a
 * file, to standard error, or by log_flush() to standard output, which never
 * blocks: what a reader does not take is left out and counted.  Each event
 * has a limit a second; how much was left out is told the second after.  The
 * last lines are remembered, for whoever asks the process what it did.
 */
#ifndef LOG_H
#define LOG_H

#include "err.h"

#ifdef __cplusplus
extern "C" {
#endif

#define LOG_RECENT_MAX_BYTES 262144U

enum log_level {
    LOG_LEVEL_ERROR,
    LOG_LEVEL_WARN,
    LOG_LEVEL_INFO,
    LOG_LEVEL_DEBUG
};

enum log_status { LOG_OK, LOG_BAD_FILE, LOG_BAD_LIBRARY };

/* file "" means standard error, "-" standard output. */
enum log_status log_open(
    const char *file, enum log_level level, struct err *e);
/* Open the file anew, as after a rotation, and set the level. */
enum log_status log_reopen(enum log_level level, struct err *e);
void log_close(void);
/* Write what the reader of standard output takes, without waiting. */
void log_flush(void);
/* Call fn for each line that is still remembered and has field, as in
 * "job=5c0e", oldest first.  What went to the log is remembered while
 * LOG_RECENT_MAX_BYTES bytes hold it. */
void log_recent(
    const char *field, void (*fn)(void *ctx, const char *text), void *ctx);
/* Lines that were left out because the reader took none. */
unsigned long log_lines_lost(void);
/* fmt gives the fields, as in "id=%s ms=%u". */
void log_event(enum log_level level, const char *event, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

#ifdef __cplusplus
}
#endif

#endif
