#include "client/backoff.h"

#include "base/clock.h"

#define ACK_RANDOM_FACTOR 1.5 /* RFC 7252 section 4.8 */
#define REFUSAL_JITTER 0.5    /* of the time asked for */
#define REFUSAL_LEAST_US (100 * USEC_PER_MSEC)
#define RETRY_BASE_US (200 * USEC_PER_MSEC)
#define RETRY_CAP_US (5 * USEC_PER_SEC)

uint64_t
backoff_first_us(struct random *random, uint64_t base)
{
    double factor = 1.0 + (ACK_RANDOM_FACTOR - 1.0) * random_unit(random);

    return (uint64_t)((double)base * factor);
}

uint64_t
backoff_next_us(uint64_t delay, uint64_t cap)
{
    return delay > cap / 2 ? cap : delay * 2;
}

uint64_t
backoff_refusal_us(struct random *random, uint32_t max_age_s)
{
    uint64_t wait = max_age_s * USEC_PER_SEC;
    double jitter;

    if (wait < REFUSAL_LEAST_US) {
        wait = REFUSAL_LEAST_US;
    }
    jitter = (double)wait * REFUSAL_JITTER * random_unit(random);
    return wait + (uint64_t)jitter;
}

/* Doubles with each try; the result lies between a half and the whole of the
 * doubled base. */
uint64_t
backoff_retry_us(struct random *random, unsigned tries)
{
    uint64_t delay = RETRY_BASE_US;

    for (unsigned i = 0; i < tries && delay < RETRY_CAP_US; i++) {
        delay = backoff_next_us(delay, RETRY_CAP_US);
    }
    return (uint64_t)((double)delay * (1.0 + random_unit(random)) / 2.0);
}
