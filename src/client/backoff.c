#include "client/backoff.h"

#include "base/clock.h"

#define ACK_RANDOM_FACTOR 1.5 /* RFC 7252 section 4.8 */
/* Maximum random addition to the wait after a refusal, as a fraction of it. */
#define REFUSAL_JITTER_MAX_FACTOR 0.5
/* Minimum wait after a refusal, without the random addition. */
#define REFUSAL_WAIT_MIN_US (100 * USEC_PER_MSEC)
/* Initial and maximum retry delay, before random scaling. */
#define RETRY_DELAY_BASE_US (200 * USEC_PER_MSEC)
#define RETRY_DELAY_MAX_US (5 * USEC_PER_SEC)

uint64_t
backoff_initial_us(struct random *random, uint64_t base_us)
{
    double factor = 1.0 + (ACK_RANDOM_FACTOR - 1.0) * random_unit(random);

    return (uint64_t)((double)base_us * factor);
}

uint64_t
backoff_next_us(uint64_t delay_us, uint64_t max_us)
{
    return delay_us > max_us / 2 ? max_us : delay_us * 2;
}

uint64_t
backoff_after_refusal_us(struct random *random, uint32_t max_age_s)
{
    uint64_t wait_us = max_age_s * USEC_PER_SEC;
    double jitter_us;

    if (wait_us < REFUSAL_WAIT_MIN_US) {
        wait_us = REFUSAL_WAIT_MIN_US;
    }
    jitter_us =
        (double)wait_us * REFUSAL_JITTER_MAX_FACTOR * random_unit(random);
    return wait_us + (uint64_t)jitter_us;
}

uint64_t
backoff_retry_us(struct random *random, unsigned tries)
{
    uint64_t delay_us = RETRY_DELAY_BASE_US;

    for (unsigned i = 0; i < tries && delay_us < RETRY_DELAY_MAX_US; i++) {
        delay_us = backoff_next_us(delay_us, RETRY_DELAY_MAX_US);
    }
    return (uint64_t)((double)delay_us * (1.0 + random_unit(random)) / 2.0);
}
