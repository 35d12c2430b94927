#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* First bytes of an array of at most 15 elements. */
#define MSGPACK_FIXARRAY_MIN 0x90
#define MSGPACK_FIXARRAY_MAX 0x9f

/* Returns true when the message is long enough for every length that it
 * declares, and has only formats that occur in view messages. This must be
 * checked before decoding, because msgpack allocates memory for all elements
 * of an array before it reads them. */
bool msgpack_bounds_fit(const uint8_t *data, size_t size);
