/*
 * contract - a customer's contract: its limits, read and written as JSON
 *
 * Every limit on a customer's work follows from the contract.  Units are in
 * the field names; a rate is task starts per second.
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

#define CT_NAME_MAX 64
#define CT_HASH_HEX 64

struct contract {
    char customer[CT_NAME_MAX];
    char token_sha256[CT_HASH_HEX + 1];
    uint32_t rate;           /* task starts per second */
    uint32_t burst;          /* task starts at once */
    uint32_t running;        /* tasks running at once */
    uint32_t queued;         /* tasks waiting beyond those running */
    uint32_t max_tasks;      /* tasks in one job */
    uint32_t max_runtime_ms; /* declared run time of one task */
    uint32_t guaranteed;     /* slots kept under contention */
    uint32_t weight;         /* share beyond the guaranteed slots */
    uint32_t max_millicores; /* declared by one task */
    uint32_t max_memory_mb;  /* declared by one task */
};

enum ct_status {
    CT_OK,
    CT_BAD_JSON,
    CT_BAD_FIELD,
    CT_OVERCOMMITTED /* the guaranteed slots do not fit */
};

/* A failure domain's slots, for ct_guarantees_fit(). */
struct ct_domain {
    char name[CT_NAME_MAX];
    uint32_t slots;
};

/*
 * Read a contract.  Fields left out get their defaults; an unknown field, a
 * wrong type or a value out of range is refused with a message that names
 * the field and the range.
 */
enum ct_status ct_parse(struct contract *c, struct str json, struct err *e);
/* Append c as one JSON object. */
void ct_format(const struct contract *c, struct buf *out);

/*
 * Can the sum of guaranteed slots still be kept with the largest failure
 * domain withdrawn?  The message has the arithmetic.
 */
enum ct_status ct_guarantees_fit(uint64_t guaranteed,
    const struct ct_domain *ds, size_t count, struct err *e);

/* Names of customers and failure domains: a-z 0-9 - _ . up to 63 bytes. */
bool ct_name_valid(struct str name);
/* Lower-case hexadecimal SHA-256 of a bearer token. */
void ct_token_hash(struct str token, char out[CT_HASH_HEX + 1]);

#ifdef __cplusplus
}
#endif

#endif
