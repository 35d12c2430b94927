#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/flow-token.h"
#include "state/resource.h"

/* Encoding of the flow token, which callers get and send back as the value of
 * the Echo option (RFC 9175). The token names the flow's home, which is the
 * balancer that serves the flow, and the flow's slot there. A keyed MAC
 * (libsodium) authenticates it, so that every balancer can route a packet to
 * the home by the token alone, without a table of flows. It is not encrypted.
 * The process must call sodium_init() before it starts its threads. */

#define TOKEN_SIZE 39 /* bytes of an encoded token with its MAC */

/* Encodes a token and authenticates it with the first key of the ring, which
 * must not be empty. The target must fit in 24 bits and the incarnation in
 * 40. */
void token_seal(const struct flow_token *token, const struct key_ring *keys,
                uint8_t out[TOKEN_SIZE]);

/* Verifies and decodes a token. Returns false for a wrong size, a key id that
 * is not in the ring or a MAC that does not match. The MACs are compared in
 * constant time. */
bool token_open(struct flow_token *token, const struct key_ring *keys,
                const uint8_t *data, size_t size);

/* Returns true when a token that token_open() accepts was sealed with a key
 * other than the first of the ring, the one that token_seal() uses. */
bool token_uses_old_key(const struct key_ring *keys,
                        const uint8_t data[TOKEN_SIZE]);
