#pragma once

#include <stdint.h>

/* A small seedable generator (xoshiro256**) for decisions and tests. Not for
 * secrets: those come from libsodium. */
struct random {
    uint64_t s[4];
};

void random_seed(struct random *r, uint64_t seed);
uint64_t random_next(struct random *r);

/* A number from 0 to bound - 1; bound must not be 0. */
uint32_t random_below(struct random *r, uint32_t bound);

/* A number in [0, 1). */
double random_unit(struct random *r);

/* Mixes two 64-bit values into one, for rendezvous ranks. */
uint64_t random_mix(uint64_t a, uint64_t b);
