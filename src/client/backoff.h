#pragma once

#include <stdint.h>

#include "base/random.h"

/* Retry delays of the CoAP client, in microseconds. The delays have random
 * jitter so that callers that failed at the same time do not all retry at the
 * same time. */

/* Returns the time to the first retransmission: "base_us" times a random
 * factor between 1 and ACK_RANDOM_FACTOR, RFC 7252 section 4.2. */
uint64_t backoff_initial_us(struct random *random, uint64_t base_us);

/* Returns twice the delay, at most "max_us". Adds no jitter. */
uint64_t backoff_next_us(uint64_t delay_us, uint64_t max_us);

/* Returns the time to wait after a refusal with a Max-Age of "max_age_s"
 * seconds: at least Max-Age (and at least 100 ms), and up to 50 % more. */
uint64_t backoff_after_refusal_us(struct random *random, uint32_t max_age_s);

/* Returns the time to wait before the next attempt after "tries" earlier
 * retries, when no answer stated a Max-Age. The delay starts at 200 ms,
 * doubles with each retry up to 5 s, and is then scaled by a random factor
 * between 0.5 and 1. */
uint64_t backoff_retry_us(struct random *random, unsigned tries);
