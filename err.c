#include "err.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

void
err_set(struct err *e, const char *fmt, ...)
{
    va_list ap;

    if (e == NULL) {
        return;
    }
    va_start(ap, fmt);
    vsnprintf(e->msg, sizeof(e->msg), fmt, ap);
    va_end(ap);
}

void
err_prefix(struct err *e, const char *fmt, ...)
{
    char previous[ERR_MSG_MAX];
    va_list ap;
    size_t n;

    if (e == NULL) {
        return;
    }
    memcpy(previous, e->msg, sizeof(previous));
    va_start(ap, fmt);
    vsnprintf(e->msg, sizeof(e->msg), fmt, ap);
    va_end(ap);
    n = strlen(e->msg);
    snprintf(e->msg + n, sizeof(e->msg) - n, ": %s", previous);
}
