/*
 * opstate - operator state as an entry knows it: the configuration and the
 * withdrawn failure domains
 *
 * The platform's store is the source.  An entry that cannot reach the store
 * requests the state from other entries, which may have a newer one: the store
 * may refuse single machines for longer than a change may take to be in force.
 */
#ifndef OPSTATE_H
#define OPSTATE_H

#include <stdbool.h>
#include <stdint.h>

#include "act.h"
#include "str.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Withdrawn failure domains; any beyond are not recorded. */
#define OST_DOMAINS_MAX 64U
/* ms without the store until other entries are queried, and between queries: a
 * change must be in force within 2 s. */
#define OST_REQUEST_MS 500U

/* Revisions are those of the store. */
struct opstate {
    uint64_t known_rev;   /* all changes up to this revision are known */
    uint64_t changed_rev; /* of the newest change */
    struct buf config;    /* its text; empty: none yet */
    char *withdrawn[OST_DOMAINS_MAX]; /* names of failure domains */
    size_t withdrawn_count;
    bool store_up;          /* the store answers this entry */
    uint64_t store_lost_ms; /* when it stopped answering */
    uint64_t confirmed_ms;  /* when it answered last; 0: never */
    uint64_t requested_ms;  /* last request to other entries */
};

void ost_free(struct opstate *s);
/* Sets the configuration of a revision. */
void ost_set_config(struct opstate *s, struct str text, uint64_t rev);
/* Marks a failure domain as withdrawn, or as back in service, at a revision.
 */
void ost_set_domain(
    struct opstate *s, const char *domain, bool withdrawn, uint64_t rev);
/* Marks no domain as withdrawn, before a complete snapshot is entered. */
void ost_clear_domains(struct opstate *s);
/* All changes up to this revision have been entered. */
void ost_set_known_rev(struct opstate *s, uint64_t rev);
/* Notes whether the store answers. */
void ost_set_store_state(struct opstate *s, uint64_t now, bool up);
/* True if other entries should be queried now, as the store has not answered
 * for OST_REQUEST_MS; counts them as queried. */
bool ost_request_due(struct opstate *s, uint64_t now);
/* Fills in a request to another entry. */
void ost_make_request(const struct opstate *s, dw_msg *out);
/* Fills in the reply to a request; false if this entry has no configuration or
 * nothing newer. */
bool ost_make_reply(
    const struct opstate *s, const dw_news *request, dw_msg *out);
/* Replaces the state by that of a reply; false if the reply is not newer. */
bool ost_apply_reply(struct opstate *s, const dw_news *reply);

#ifdef __cplusplus
}
#endif

#endif
