#pragma once

#include <stddef.h>
#include <stdint.h>

/* Checks of properties that the codecs must keep for any input. The fuzzers
 * and the unit test share them. A check calls abort() when a property does not
 * hold; input that the codec rejects passes. */

#define CODEC_INPUT_MAX 2048 /* largest datagram read from a socket, bytes */

/* A packet that parses can be built again, and building is stable: parsing the
 * built packet and building it once more gives the same bytes. */
void check_packet(const uint8_t *data, size_t size);

/* A token opens only if it was sealed with the key: sealing the opened token
 * again gives the same bytes. */
void check_token(const uint8_t *data, size_t size);

/* An envelope that parses can be built again, and the built envelope parses to
 * the same fields and the same packet. */
void check_envelope(const uint8_t *data, size_t size);
