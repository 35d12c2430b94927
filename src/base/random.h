#pragma once

#include <stdint.h>

/* A pseudorandom number generator (xoshiro256**) for decisions and tests. It
 * must not be used for secrets, which come from libsodium. */
struct random {
    uint64_t s[4]; /* state of the generator, set by random_seed() */
};

/* Initializes a generator; equal seeds give equal sequences. */
void random_seed(struct random *r, uint64_t seed);
/* Returns the next number; all 64 bits are random. */
uint64_t random_next(struct random *r);

/* Returns a number from 0 to bound - 1; "bound" must not be 0. */
uint32_t random_below(struct random *r, uint32_t bound);

/* Returns a number in [0, 1). */
double random_unit(struct random *r);

/* Hashes two 64-bit values into one. No random state is involved: the same
 * values always give the same result, as rendezvous hashing requires. */
uint64_t random_mix(uint64_t a, uint64_t b);
