#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/flow-token.h"
#include "state/resource.h"

/* The flow token: the value of the Echo option (RFC 9175). It names the
 * flow's home and its slot there and is authenticated with a keyed MAC
 * (libsodium), so any balancer can route by it without a table. The process
 * calls sodium_init() before its tasks start. */

#define TOKEN_SIZE 39 /* bytes, sealed */

/* Seals with the first key of the ring. */
void token_seal(const struct flow_token *token, const struct key_ring *keys,
                uint8_t out[TOKEN_SIZE]);

/* Verifies and decodes. Returns false for a wrong size, an unknown key or a
 * MAC that does not match; the comparison takes constant time. */
bool token_open(struct flow_token *token, const struct key_ring *keys,
                const uint8_t *data, size_t size);

/* Whether a token that opens was sealed with another key than the first, which
 * seals now. */
bool token_is_old(const struct key_ring *keys, const uint8_t data[TOKEN_SIZE]);
