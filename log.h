/*
 * log - structured log lines through log4c
 *
 * A line is `time=... level=... event=NAME key=value ...`.  It is written to
 * a file, to standard error, or by log_flush() to standard output, which never
 * blocks: lines that do not fit the buffer are dropped and counted.  Each
 * event has a limit of lines per second; a later line of the same event is
 * preceded by event=left_out with the number suppressed.  The most recent
 * lines are kept in memory for log_recent().
 */
#ifndef LOG_H
#define LOG_H

#include "err.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Size of the memory for recent lines. */
#define LOG_RECENT_MAX_BYTES 262144U

enum log_level {
    LOG_LEVEL_ERROR,
    LOG_LEVEL_WARN,
    LOG_LEVEL_INFO,
    LOG_LEVEL_DEBUG
};

enum log_status { LOG_OK, LOG_BAD_FILE, LOG_BAD_LIBRARY };

/* file is a path; "" means standard error, "-" standard output.  Lines less
 * severe than level are not logged.  On an error e describes it. */
enum log_status log_open(
    const char *file, enum log_level level, struct err *e);
/* Reopen the file, as after a rotation, and set the level.  If the file cannot
 * be opened, the old one stays in use. */
enum log_status log_reopen(enum log_level level, struct err *e);
void log_close(void);
/* Write buffered lines to standard output as far as it does not block. */
void log_flush(void);
/* Call fn, oldest line first, for each recent line that contains field as a
 * whole word, as in "job=5c0e".  The newest logged lines are kept, up to
 * LOG_RECENT_MAX_BYTES in total. */
void log_recent(
    const char *field, void (*fn)(void *ctx, const char *text), void *ctx);
/* Lines dropped because standard output was not read. */
unsigned long log_lines_lost(void);
/* Log one line.  event must stay valid for the life of the process.  fmt is
 * the fields, as in "id=%s ms=%u". */
void log_event(enum log_level level, const char *event, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

#ifdef __cplusplus
}
#endif

#endif
