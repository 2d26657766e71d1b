/*
 * explain - the lines of one job, out of the logs of many processes
 */
#ifndef EXPLAIN_H
#define EXPLAIN_H

#include <stddef.h>
#include <stdio.h>

/* Write the lines of in that have job=ID, ordered by their time; their
 * number.  Times are of each machine's own clock. */
size_t explain_lines(FILE *in, const char *id, FILE *out);

#endif
