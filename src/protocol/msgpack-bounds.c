#include "protocol/msgpack-bounds.h"

/* Format bytes of the msgpack specification. */
#define POSITIVE_FIXINT_MAX 0x7f
#define FIXSTR_MIN 0xa0
#define FIXSTR_MAX 0xbf
#define FORMAT_BIN8 0xc4
#define FORMAT_BIN16 0xc5
#define FORMAT_BIN32 0xc6
#define FORMAT_UINT8 0xcc
#define FORMAT_UINT64 0xcf
#define FORMAT_STR8 0xd9
#define FORMAT_STR16 0xda
#define FORMAT_STR32 0xdb
#define FORMAT_ARRAY16 0xdc
#define FORMAT_ARRAY32 0xdd

static uint64_t
load_big_endian(const uint8_t *data, size_t size)
{
    uint64_t number = 0;

    for (size_t i = 0; i < size; i++) {
        number = number << 8 | data[i];
    }
    return number;
}

/* Interprets the format byte of an object. *length_size is the number of bytes
 * after it that hold a length. When it is 0, *elements is the number of array
 * elements and *bytes the number of bytes of content that follow the format
 * byte. Returns false for formats that occur in no view message. */
static bool
read_format(uint8_t format, size_t *length_size, uint64_t *elements,
            uint64_t *bytes)
{
    *length_size = 0;
    *elements = 0;
    *bytes = 0;
    if (format <= POSITIVE_FIXINT_MAX) {
        return true;
    }
    if (format >= MSGPACK_FIXARRAY_MIN && format <= MSGPACK_FIXARRAY_MAX) {
        *elements = format - MSGPACK_FIXARRAY_MIN;
        return true;
    }
    if (format >= FIXSTR_MIN && format <= FIXSTR_MAX) {
        *bytes = format - FIXSTR_MIN;
        return true;
    }
    if (format >= FORMAT_UINT8 && format <= FORMAT_UINT64) {
        *bytes = 1U << (format - FORMAT_UINT8);
        return true;
    }
    if (format == FORMAT_BIN8 || format == FORMAT_STR8) {
        *length_size = 1;
        return true;
    }
    if (format == FORMAT_BIN16 || format == FORMAT_STR16) {
        *length_size = 2;
        return true;
    }
    if (format == FORMAT_BIN32 || format == FORMAT_STR32) {
        *length_size = 4;
        return true;
    }
    if (format == FORMAT_ARRAY16 || format == FORMAT_ARRAY32) {
        *length_size = format == FORMAT_ARRAY16 ? 2 : 4;
        return true;
    }
    return false;
}

bool
msgpack_bounds_fit(const uint8_t *data, size_t size)
{
    uint64_t pending = 1; /* objects that must still follow */
    size_t pos = 0;

    while (pending > 0) {
        size_t length_size;
        uint64_t elements;
        uint64_t bytes;
        uint8_t format;

        if (pos == size ||
            !read_format(data[pos], &length_size, &elements, &bytes)) {
            return false;
        }
        format = data[pos];
        pos++;
        if (length_size > size - pos) {
            return false;
        }
        if (length_size > 0 && format < FORMAT_ARRAY16) {
            bytes = load_big_endian(data + pos, length_size);
        }
        else if (length_size > 0) {
            elements = load_big_endian(data + pos, length_size);
        }
        pos += length_size;
        pending += elements - 1;
        if (bytes > size - pos || pending > size - pos) {
            return false;
        }
        pos += bytes;
        if (pending > size - pos) {
            return false;
        }
    }
    return true;
}
