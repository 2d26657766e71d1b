#include "explain.h"

#include <stdlib.h>
#include <string.h>

#include "str.h"

#define TIME_FIELD "time="

/* A log line of the job. */
struct line {
    char *text;
    const char *time; /* value of time= in text; "" if missing */
    size_t number;    /* position among the input's lines of the job */
};

static int
compare_times(const void *a, const void *b)
{
    const struct line *x = a;
    const struct line *y = b;
    int order = strncmp(x->time, y->time, strcspn(x->time, " "));

    /* Lines with equal times keep their order. */
    return order != 0 ? order : (x->number > y->number ? 1 : -1);
}

static const char *
find_time(const char *text)
{
    const char *at = strstr(text, TIME_FIELD);

    return at != NULL ? at + strlen(TIME_FIELD) : "";
}

size_t
explain_lines(FILE *in, const char *id, FILE *out)
{
    struct buf field = {0};
    struct line *lines = NULL;
    size_t count = 0;
    char *text = NULL;
    size_t cap = 0;

    buf_addf(&field, "job=%s", id);
    while (getline(&text, &cap, in) > 0) {
        if (str_has_field(text, field.p)) {
            lines = dw_grow(lines, (count + 1) * sizeof(*lines));
            lines[count].text = str_dup(str_of(text));
            lines[count].time = find_time(lines[count].text);
            lines[count].number = count;
            count++;
        }
    }
    if (count > 0) {
        qsort(lines, count, sizeof(*lines), compare_times);
    }
    for (size_t i = 0; i < count; i++) {
        fputs(lines[i].text, out);
        free(lines[i].text);
    }
    free(lines);
    free(text);
    buf_free(&field);
    return count;
}
