#include "base/random.h"

#include <assert.h>

#define DOUBLE_MANTISSA_BITS 53

static uint64_t
rotate_left(uint64_t x, int k)
{
    return (x << k) | (x >> (64 - k));
}

/* One step of the splitmix64 generator: advances the state and returns its
 * next number. */
static uint64_t
splitmix_next(uint64_t *state)
{
    uint64_t z = (*state += 0x9e3779b97f4a7c15ULL);

    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

void
random_seed(struct random *r, uint64_t seed)
{
    for (int i = 0; i < 4; i++) {
        r->s[i] = splitmix_next(&seed);
    }
}

/* xoshiro256** by Blackman and Vigna ("Scrambled linear pseudorandom number
 * generators", 2018). */
uint64_t
random_next(struct random *r)
{
    uint64_t *s = r->s;
    uint64_t result = rotate_left(s[1] * 5, 7) * 9;
    uint64_t t = s[1] << 17;

    s[2] ^= s[0];
    s[3] ^= s[1];
    s[1] ^= s[2];
    s[0] ^= s[3];
    s[2] ^= t;
    s[3] = rotate_left(s[3], 45);
    return result;
}

/* Scales the upper 32 random bits by a multiplication instead of taking a
 * remainder; the bias is below 2^-32. */
uint32_t
random_below(struct random *r, uint32_t bound)
{
    assert(bound > 0);
    return (uint32_t)(((random_next(r) >> 32) * bound) >> 32);
}

double
random_unit(struct random *r)
{
    return (double)(random_next(r) >> (64 - DOUBLE_MANTISSA_BITS)) /
           (double)(1ULL << DOUBLE_MANTISSA_BITS);
}

uint64_t
random_mix(uint64_t a, uint64_t b)
{
    uint64_t state = a ^ rotate_left(b * 0x9e3779b97f4a7c15ULL, 32);

    return splitmix_next(&state);
}
