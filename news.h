/*
 * news - what operators want, as an entry knows it, and from whom
 *
 * The platform's store is the source.  An entry that does not reach it asks
 * other entries, who may know more: the store may turn single machines away
 * for longer than a change may take to be in force.
 */
#ifndef NEWS_H
#define NEWS_H

#include <stdbool.h>
#include <stdint.h>

#include "act.h"
#include "str.h"

#ifdef __cplusplus
extern "C" {
#endif

#define NW_DOMAINS_MAX 64U
/* ms without the store after which others are asked, and between questions:
 * a change must be in force within two seconds. */
#define NW_ASK_MS 500U

struct news {
    uint64_t as_of;    /* revision up to which all is known */
    uint64_t changed;  /* revision of the newest change */
    struct buf config; /* the text; empty: none yet */
    char *withdrawn[NW_DOMAINS_MAX];
    size_t withdrawn_count;
    bool answers; /* the store does */
    uint64_t lost_ms;
    uint64_t asked_ms;
};

void nw_free(struct news *n);
/* A configuration, or a domain out or back, at a revision. */
void nw_config(struct news *n, struct str text, uint64_t rev);
void nw_domain(struct news *n, const char *domain, bool out, uint64_t rev);
/* No domain is out; before a whole reading of the store is entered. */
void nw_clear_domains(struct news *n);
/* All up to this revision has been entered. */
void nw_seen(struct news *n, uint64_t rev);
void nw_store(struct news *n, uint64_t now, bool answers);
/* The store has been away for long: ask others now, if true. */
bool nw_must_ask(struct news *n, uint64_t now);
/* Fill in a question. */
void nw_question(const struct news *n, dw_msg *out);
/* Answer a question; false if the asker knows as much. */
bool nw_answer(const struct news *n, const dw_news *asked, dw_msg *out);
/* Take an answer; true if it was newer. */
bool nw_take(struct news *n, const dw_news *told);

#ifdef __cplusplus
}
#endif

#endif
