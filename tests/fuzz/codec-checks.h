#pragma once

#include <stddef.h>
#include <stdint.h>

/* Properties that the codecs hold for any input. Each aborts when one does
 * not, so that the fuzzer and the unit test can share them. */

#define CODEC_INPUT_MAX 2048 /* bytes that a socket hands over at most */

/* What is parsed can be built, and building it is stable: a packet that was
 * built parses to one that builds to the same bytes. */
void check_packet(const uint8_t *data, size_t size);

/* Only what the key sealed opens: sealing the token again gives the same
 * bytes. */
void check_token(const uint8_t *data, size_t size);

/* What is parsed builds to an envelope of the same contents. */
void check_envelope(const uint8_t *data, size_t size);
