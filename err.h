/*
 * err - an error message that goes with a status
 *
 * A function that fails returns a status of its module's enum and sets a
 * struct err to a message for the user: what failed, where, and which value is
 * allowed.
 */
#ifndef ERR_H
#define ERR_H

#ifdef __cplusplus
extern "C" {
#endif

#define ERR_MSG_MAX 512 /* bytes with the NUL; longer messages are cut */

struct err {
    char msg[ERR_MSG_MAX];
};

/* Set the message, formatted as by printf(3).  Does nothing if e is NULL. */
void err_set(struct err *e, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
/* Prepend text and ": " to the message that a called function set. */
void err_prefix(struct err *e, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

#ifdef __cplusplus
}
#endif

#endif
