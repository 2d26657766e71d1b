/*
 * contract - a customer's limits, parsed from and formatted as JSON
 *
 * Every limit on a customer's work follows from the contract.  The JSON fields
 * have the names of the fields of struct contract.
 */
#ifndef CONTRACT_H
#define CONTRACT_H

#include <stdbool.h>
#include <stdint.h>

#include "err.h"
#include "str.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CT_NAME_MAX 64 /* bytes, with the terminating NUL */
#define CT_HASH_HEX 64 /* hexadecimal digits of a SHA-256 */

struct contract {
    char customer[CT_NAME_MAX];
    char token_sha256[CT_HASH_HEX + 1]; /* of the bearer token; "": none */
    uint32_t rate;                      /* task starts per second */
    uint32_t burst;                     /* task starts at once */
    uint32_t running;                   /* tasks running at once */
    uint32_t queued;         /* tasks waiting, in addition to those running */
    uint32_t max_tasks;      /* tasks in one job */
    uint32_t max_runtime_ms; /* declared run time of one task */
    uint32_t guaranteed;     /* slots the customer gets under contention */
    uint32_t weight;         /* relative share of the remaining slots */
    uint32_t max_millicores; /* declared by one task */
    uint32_t max_memory_mb;  /* declared by one task */
};

enum ct_status {
    CT_OK,
    CT_BAD_JSON,
    CT_BAD_FIELD,
    CT_OVERCOMMITTED /* more slots guaranteed than can be kept */
};

/* A failure domain, for ct_guarantees_fit(). */
struct ct_domain {
    char name[CT_NAME_MAX];
    uint32_t slots; /* of all its backend servers */
};

/*
 * Parse a contract.  Fields left out get their defaults.  An unknown
 * field, a wrong type or a value out of range is an error; the message names
 * the field and the permitted range.
 */
enum ct_status ct_parse(struct contract *c, struct str json, struct err *e);
/* Append c as one JSON object. */
void ct_format(const struct contract *c, struct buf *out);

/*
 * Can `guaranteed` slots, the sum over all contracts, be kept with the largest
 * failure domain withdrawn?  CT_OVERCOMMITTED: no; the message has the
 * figures.
 */
enum ct_status ct_guarantees_fit(uint64_t guaranteed,
    const struct ct_domain *ds, size_t count, struct err *e);

/* Is this a valid name of a customer or failure domain: 1 to 63 of a-z 0-9 '-'
 * '_' '.'? */
bool ct_name_valid(struct str name);
/* The SHA-256 of a bearer token in lower-case hexadecimal. */
void ct_token_hash(struct str token, char out[CT_HASH_HEX + 1]);

#ifdef __cplusplus
}
#endif

#endif
