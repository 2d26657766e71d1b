/*
 * explain - collects one job's log lines from the logs of many processes
 */
#ifndef EXPLAIN_H
#define EXPLAIN_H

#include <stddef.h>
#include <stdio.h>

/*
 * Copy those lines of in that have the field job=ID to out, sorted by their
 * time= field, and return their number.  The times are by the clocks of the
 * machines that wrote the lines, so the order is only as exact as these are
 * synchronized.
 */
size_t explain_lines(FILE *in, const char *id, FILE *out);

#endif
