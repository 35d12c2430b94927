#include "protocol/envelope.h"

#include <string.h>

#include <msgpack.h>

#define ENVELOPE_FIELD_COUNT 7
/* Format bytes of the msgpack specification. */
#define FIXARRAY 0x90
#define POSITIVE_FIXINT_MAX 0x7f
#define FORMAT_BIN8 0xc4
#define FORMAT_BIN32 0xc6
#define FORMAT_UINT8 0xcc
#define FORMAT_UINT64 0xcf

/* Fixed-size buffer that the msgpack packer writes to. */
struct output_buffer {
    uint8_t *data;
    size_t size;
    size_t len;
};

static int
output_write(void *ctx, const char *bytes, size_t len)
{
    struct output_buffer *out = ctx;

    if (len > out->size - out->len) {
        return -1;
    }
    memcpy(out->data + out->len, bytes, len);
    out->len += len;
    return 0;
}

/* The envelope is an array of the fields in the order of struct envelope; the
 * relayed datagram is a msgpack binary. */
size_t
envelope_build(const struct envelope *e, uint8_t *data, size_t size)
{
    struct output_buffer out = {.size = size};
    msgpack_packer packer;
    int failed = 0;

    out.data = data;
    msgpack_packer_init(&packer, &out, output_write);
    failed |= msgpack_pack_array(&packer, ENVELOPE_FIELD_COUNT);
    failed |= msgpack_pack_uint8(&packer, (uint8_t)e->kind);
    failed |= msgpack_pack_uint32(&packer, e->relay_id);
    failed |= msgpack_pack_uint32(&packer, e->caller_addr);
    failed |= msgpack_pack_uint16(&packer, e->caller_port);
    failed |= msgpack_pack_uint16(&packer, e->service_port);
    failed |= msgpack_pack_uint64(&packer, e->incarnation);
    failed |= msgpack_pack_bin(&packer, e->packet_len);
    if (e->packet_len > 0) {
        failed |= msgpack_pack_bin_body(&packer, e->packet, e->packet_len);
    }
    return failed != 0 ? 0 : out.len;
}

/* Read position in an envelope being decoded. */
struct decoder {
    const uint8_t *data;
    size_t size;
    size_t pos;
};

/* Returns true when the next object is an unsigned integer. The format byte
 * must be checked before msgpack_unpack_next() is called, because that
 * function would allocate an array or map of any length that a forged datagram
 * declares. */
static bool
next_is_number(const struct decoder *in)
{
    uint8_t format;

    if (in->pos >= in->size) {
        return false;
    }
    format = in->data[in->pos];
    return format <= POSITIVE_FIXINT_MAX ||
           (format >= FORMAT_UINT8 && format <= FORMAT_UINT64);
}

static bool
next_is_binary(const struct decoder *in)
{
    return in->pos < in->size && in->data[in->pos] >= FORMAT_BIN8 &&
           in->data[in->pos] <= FORMAT_BIN32;
}

static bool
read_object(struct decoder *in, msgpack_unpacked *object)
{
    return msgpack_unpack_next(object, (const char *)in->data, in->size,
                               &in->pos) == MSGPACK_UNPACK_SUCCESS;
}

/* Reads an unsigned integer. Returns false when the next object is of another
 * type or the integer is greater than "max". */
static bool
read_number(struct decoder *in, uint64_t max, uint64_t *value)
{
    msgpack_unpacked object;
    bool ok;

    if (!next_is_number(in)) {
        return false;
    }
    msgpack_unpacked_init(&object);
    ok = read_object(in, &object) && object.data.via.u64 <= max;
    *value = ok ? object.data.via.u64 : 0;
    msgpack_unpacked_destroy(&object);
    return ok;
}

static bool
read_binary(struct decoder *in, const uint8_t **bytes, size_t *len)
{
    msgpack_unpacked object;
    bool ok;

    if (!next_is_binary(in)) {
        return false;
    }
    msgpack_unpacked_init(&object);
    ok = read_object(in, &object);
    if (ok) {
        /* msgpack does not copy the bytes: the pointer is into in->data. */
        *bytes = (const uint8_t *)object.data.via.bin.ptr;
        *len = object.data.via.bin.size;
    }
    msgpack_unpacked_destroy(&object);
    return ok;
}

static bool
read_kind(struct decoder *in, enum envelope_kind *kind)
{
    uint64_t value;

    if (!read_number(in, ENVELOPE_REJECTED, &value) ||
        value < ENVELOPE_RELAY) {
        return false;
    }
    *kind = (enum envelope_kind)value;
    return true;
}

static bool
read_u32(struct decoder *in, uint32_t *out)
{
    uint64_t value;
    bool ok = read_number(in, UINT32_MAX, &value);

    *out = (uint32_t)value;
    return ok;
}

static bool
read_u16(struct decoder *in, uint16_t *out)
{
    uint64_t value;
    bool ok = read_number(in, UINT16_MAX, &value);

    *out = (uint16_t)value;
    return ok;
}

bool
envelope_parse(struct envelope *e, const uint8_t *data, size_t size)
{
    struct decoder in = {.data = data, .size = size, .pos = 1};

    if (size == 0 || data[0] != (FIXARRAY | ENVELOPE_FIELD_COUNT)) {
        return false;
    }
    if (!read_kind(&in, &e->kind) || !read_u32(&in, &e->relay_id) ||
        !read_u32(&in, &e->caller_addr) || !read_u16(&in, &e->caller_port) ||
        !read_u16(&in, &e->service_port) ||
        !read_number(&in, UINT64_MAX, &e->incarnation) ||
        !read_binary(&in, &e->packet, &e->packet_len)) {
        return false;
    }
    return in.pos == size &&
           (e->packet_len > 0) == (e->kind == ENVELOPE_RELAY);
}
