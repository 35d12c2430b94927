#pragma once

#include <stdint.h>

#include "base/random.h"

/* Delays of the client, in microseconds, all with jitter so that callers
 * which failed together do not come back together. */

#define BACKOFF_RETRANSMIT_MAX 4 /* MAX_RETRANSMIT, RFC 7252 section 4.8 */

/* Time to the first retransmission: "base" times a factor between 1 and
 * ACK_RANDOM_FACTOR, RFC 7252 section 4.2. */
uint64_t backoff_initial_us(struct random *random, uint64_t base_us);

/* Doubles a delay, up to "cap". */
uint64_t backoff_next_us(uint64_t delay_us, uint64_t max_us);

/* Time to wait after a refusal with a Max-Age: never less than it asks for,
 * and up to a half more. */
uint64_t backoff_after_refusal_us(struct random *random, uint32_t max_age_s);

/* Time to wait before try "tries" + 1 of something that gave no advice. */
uint64_t backoff_retry_us(struct random *random, unsigned tries);
