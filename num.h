/*
 * num - small arithmetic on unsigned numbers
 */
#ifndef NUM_H
#define NUM_H

#include <stdint.h>

static inline uint64_t
num_min(uint64_t a, uint64_t b)
{
    return a < b ? a : b;
}

static inline uint64_t
num_max(uint64_t a, uint64_t b)
{
    return a > b ? a : b;
}

/* Saturating subtraction: a - b, or 0 if b is greater. */
static inline uint64_t
num_sub_sat(uint64_t a, uint64_t b)
{
    return a > b ? a - b : 0;
}

/* Time in ms from now until a deadline, 0 if it has passed, limited to the 32
 * bits of a message's field. */
static inline uint32_t
num_remaining_ms(uint64_t deadline_ms, uint64_t now)
{
    return (uint32_t)num_min(num_sub_sat(deadline_ms, now), UINT32_MAX);
}

#endif
