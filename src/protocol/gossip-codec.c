#include "protocol/gossip-codec.h"

#include <string.h>

#include <msgpack.h>

/* Format bytes of the msgpack specification. */
#define POSITIVE_FIXINT_MAX 0x7f
#define FIXSTR_MIN 0xa0
#define FIXSTR_MAX 0xbf
#define FORMAT_BIN8 0xc4
#define FORMAT_BIN32 0xc6
#define FORMAT_UINT8 0xcc
#define FORMAT_UINT64 0xcf
#define FORMAT_STR8 0xd9
#define FORMAT_STR32 0xdb

/* Fixed-size buffer that the msgpack packer writes to. */
struct output_buffer {
    uint8_t *data;
    size_t size;
    size_t len;
    bool failed; /* the message does not fit or cannot be encoded */
    msgpack_packer packer;
};

static int
output_write(void *ctx, const char *bytes, size_t len)
{
    struct output_buffer *out = ctx;

    if (len > out->size - out->len) {
        out->failed = true;
        return -1;
    }
    memcpy(out->data + out->len, bytes, len);
    out->len += len;
    return 0;
}

static void
put_number(struct output_buffer *out, uint64_t value)
{
    msgpack_pack_uint64(&out->packer, value);
}

static void
put_text(struct output_buffer *out, const char *text)
{
    size_t len = strnlen(text, ID_SIZE - 1);

    msgpack_pack_str(&out->packer, len);
    msgpack_pack_str_body(&out->packer, text, len);
}

static void
put_binary(struct output_buffer *out, const void *data, size_t size)
{
    msgpack_pack_bin(&out->packer, size);
    msgpack_pack_bin_body(&out->packer, data, size);
}

/* Writes a number as eight bytes, little-endian. Hashes are written like this
 * because msgpack would need nine bytes for most of them, and fixed-size bytes
 * are faster to encode and decode and shorter in arrays. */
static void
store_u64(uint8_t *out, uint64_t value)
{
    for (int i = 0; i < 8; i++) {
        out[i] = (uint8_t)(value >> (8 * i));
    }
}

static uint64_t
load_u64(const uint8_t *in)
{
    uint64_t value = 0;

    for (int i = 0; i < 8; i++) {
        value |= (uint64_t)in[i] << (8 * i);
    }
    return value;
}

static void
put_member(struct output_buffer *out, const struct member_info *info)
{
    put_text(out, info->id);
    put_text(out, info->domain);
    put_number(out, info->addr);
    put_number(out, info->port);
    put_number(out, info->incarnation);
    put_number(out, info->state);
}

static void
put_digest(struct output_buffer *out, const struct config_digest *digest)
{
    uint8_t bytes[CONFIG_BUCKETS * 8];

    for (size_t i = 0; i < CONFIG_BUCKETS; i++) {
        store_u64(bytes + i * 8, digest->buckets[i]);
    }
    put_binary(out, bytes, sizeof(bytes));
}

/* Writes each name hash as eight fixed bytes and each version, which is
 * usually small, as a msgpack integer. */
static void
put_versions(struct output_buffer *out, const struct gossip_message *m)
{
    put_number(out, m->version_count);
    for (size_t i = 0; i < m->version_count; i++) {
        uint8_t hash[8];

        store_u64(hash, m->versions[i].name_hash);
        put_binary(out, hash, sizeof(hash));
        put_number(out, m->versions[i].version);
    }
}

static void
put_service(struct output_buffer *out, const struct service *s)
{
    put_text(out, s->tenant);
    put_number(out, s->port);
    put_number(out, s->deadline_ms);
    put_number(out, s->body_limit);
    put_number(out, s->tenant_in_path);
    put_number(out, s->domain_count);
    for (size_t i = 0; i < s->domain_count; i++) {
        put_text(out, s->domains[i]);
    }
}

static void
put_target(struct output_buffer *out, const struct target *t)
{
    put_text(out, t->service);
    put_text(out, t->domain);
    put_number(out, t->addr);
    put_number(out, t->port);
    put_number(out, t->slots);
    put_number(out, t->connections);
    put_number(out, t->state);
}

static void
put_key_ring(struct output_buffer *out, const struct key_ring *ring)
{
    put_number(out, ring->count);
    for (size_t i = 0; i < ring->count; i++) {
        put_number(out, ring->keys[i].id);
        put_binary(out, ring->keys[i].secret, KEY_SECRET_SIZE);
    }
}

static void
put_resource(struct output_buffer *out, const struct gossip_resource *gr)
{
    const struct resource *r = &gr->resource;

    put_number(out, r->kind);
    put_text(out, r->id);
    put_number(out, r->version);
    put_number(out, r->deleted);
    put_number(out, gr->revision);
    switch (r->kind) {
    case RESOURCE_SERVICE:
        put_service(out, &r->service);
        break;
    case RESOURCE_TARGET:
        put_target(out, &r->target);
        break;
    case RESOURCE_HOST:
        put_text(out, r->host.domain);
        put_number(out, r->host.addr);
        put_number(out, r->host.state);
        break;
    case RESOURCE_KEY_RING:
        put_key_ring(out, &r->key_ring);
        break;
    case RESOURCE_KIND_COUNT:
        out->failed = true;
    }
}

static void
put_body(struct output_buffer *out, const struct gossip_message *m)
{
    switch (m->kind) {
    case GOSSIP_DIGEST:
    case GOSSIP_LEAF_DIGEST:
        put_number(out, m->prefix_bits);
        put_number(out, m->prefix);
        put_digest(out, &m->digest);
        break;
    case GOSSIP_VERSIONS:
    case GOSSIP_PULL:
        put_number(out, m->prefix_bits);
        put_number(out, m->prefix);
        put_versions(out, m);
        break;
    case GOSSIP_DELTA:
        put_number(out, m->resource_count);
        for (size_t i = 0; i < m->resource_count; i++) {
            put_resource(out, &m->resources[i]);
        }
        break;
    case GOSSIP_REPORT:
        put_number(out, m->applied);
        put_versions(out, m);
        break;
    default:
        break;
    }
}

size_t
gossip_encode(const struct gossip_message *m, uint8_t *data, size_t size)
{
    struct output_buffer out = {.size = size};

    out.data = data;
    msgpack_packer_init(&out.packer, &out, output_write);
    put_number(&out, GOSSIP_FORMAT_VERSION);
    put_number(&out, m->kind);
    put_member(&out, &m->sender);
    put_number(&out, m->nonce);
    put_number(&out, m->revision);
    put_number(&out, m->checksum);
    put_number(&out, m->floor_sum);
    put_number(&out, m->member_count);
    for (size_t i = 0; i < m->member_count; i++) {
        put_member(&out, &m->members[i]);
    }
    put_number(&out, m->floor_count);
    for (size_t i = 0; i < m->floor_count; i++) {
        put_text(&out, m->floors[i].domain);
        put_number(&out, m->floors[i].revision);
    }
    put_body(&out, m);
    return out.failed ? 0 : out.len;
}

/* Read position in a message being decoded. After the first error "failed"
 * stays set and the get functions return zeros. */
struct decoder {
    const uint8_t *data;
    size_t size;
    size_t pos;
    bool failed;
};

/* Returns true when the format byte of the next object lies in first..last or,
 * for formats that contain a short value or length, in
 * short_first..short_last; otherwise sets "failed". The format byte must be
 * checked before msgpack_unpack_next() is called, because that function would
 * allocate an array or map of any length that a forged message declares. */
static bool
next_format_is(struct decoder *in, uint8_t short_first, uint8_t short_last,
               uint8_t first, uint8_t last)
{
    uint8_t format;

    if (in->failed || in->pos >= in->size) {
        in->failed = true;
        return false;
    }
    format = in->data[in->pos];
    if ((format >= short_first && format <= short_last) ||
        (format >= first && format <= last)) {
        return true;
    }
    in->failed = true;
    return false;
}

static bool
read_object(struct decoder *in, msgpack_unpacked *result)
{
    msgpack_unpack_return ret = msgpack_unpack_next(
        result, (const char *)in->data, in->size, &in->pos);

    if (ret != MSGPACK_UNPACK_SUCCESS && ret != MSGPACK_UNPACK_EXTRA_BYTES) {
        in->failed = true;
        return false;
    }
    return true;
}

static uint64_t
get_number(struct decoder *in, uint64_t max)
{
    msgpack_unpacked result;
    uint64_t value = 0;

    if (!next_format_is(in, 0, POSITIVE_FIXINT_MAX, FORMAT_UINT8,
                        FORMAT_UINT64)) {
        return 0;
    }
    msgpack_unpacked_init(&result);
    if (read_object(in, &result)) {
        value = result.data.via.u64;
    }
    msgpack_unpacked_destroy(&result);
    if (value > max) {
        in->failed = true;
        return 0;
    }
    return value;
}

/* Reads a string. A string of ID_SIZE bytes or more, or one that contains a
 * NUL, is an error. */
static void
get_text(struct decoder *in, char out[ID_SIZE])
{
    msgpack_unpacked result;
    const msgpack_object_str *str = &result.data.via.str;

    out[0] = '\0';
    if (!next_format_is(in, FIXSTR_MIN, FIXSTR_MAX, FORMAT_STR8,
                        FORMAT_STR32)) {
        return;
    }
    msgpack_unpacked_init(&result);
    /* msgpack gives an empty string no pointer. */
    if (read_object(in, &result) && str->size > 0) {
        if (str->size >= ID_SIZE ||
            memchr(str->ptr, '\0', str->size) != NULL) {
            in->failed = true;
        }
        else {
            memcpy(out, str->ptr, str->size);
            out[str->size] = '\0';
        }
    }
    msgpack_unpacked_destroy(&result);
}

/* Reads a binary. Any size but exactly "size" bytes is an error. */
static void
get_binary(struct decoder *in, void *out, size_t size)
{
    msgpack_unpacked result;
    const msgpack_object_bin *bin = &result.data.via.bin;

    memset(out, 0, size);
    if (!next_format_is(in, FORMAT_BIN8, FORMAT_BIN8, FORMAT_BIN8,
                        FORMAT_BIN32)) {
        return;
    }
    msgpack_unpacked_init(&result);
    if (read_object(in, &result)) {
        if (bin->size == size) {
            memcpy(out, bin->ptr, size);
        }
        else {
            in->failed = true;
        }
    }
    msgpack_unpacked_destroy(&result);
}

static void
get_member(struct decoder *in, struct member_info *info)
{
    get_text(in, info->id);
    get_text(in, info->domain);
    info->addr = (uint32_t)get_number(in, UINT32_MAX);
    info->port = (uint16_t)get_number(in, UINT16_MAX);
    info->incarnation = get_number(in, UINT64_MAX);
    info->state = (enum member_state)get_number(in, MEMBER_LEFT);
    if (info->id[0] == '\0') {
        in->failed = true;
    }
}

static void
get_digest(struct decoder *in, struct config_digest *digest)
{
    uint8_t bytes[CONFIG_BUCKETS * 8];

    get_binary(in, bytes, sizeof(bytes));
    for (size_t i = 0; i < CONFIG_BUCKETS; i++) {
        digest->buckets[i] = load_u64(bytes + i * 8);
    }
}

static void
get_versions(struct decoder *in, struct gossip_message *m)
{
    m->version_count = get_number(in, GOSSIP_VERSIONS_MAX);
    for (size_t i = 0; i < m->version_count; i++) {
        uint8_t hash[8];

        get_binary(in, hash, sizeof(hash));
        m->versions[i].name_hash = load_u64(hash);
        m->versions[i].version = get_number(in, UINT64_MAX);
    }
}

static enum admin_state
get_admin_state(struct decoder *in)
{
    return (enum admin_state)get_number(in, ADMIN_DRAINING);
}

static void
get_service(struct decoder *in, struct service *s)
{
    get_text(in, s->tenant);
    s->port = (uint16_t)get_number(in, UINT16_MAX);
    s->deadline_ms = (uint32_t)get_number(in, UINT32_MAX);
    s->body_limit = (uint32_t)get_number(in, UINT32_MAX);
    s->tenant_in_path = get_number(in, 1) != 0;
    s->domain_count = get_number(in, SERVICE_DOMAINS_MAX);
    for (size_t i = 0; i < s->domain_count; i++) {
        get_text(in, s->domains[i]);
    }
}

static void
get_target(struct decoder *in, struct target *t)
{
    get_text(in, t->service);
    get_text(in, t->domain);
    t->addr = (uint32_t)get_number(in, UINT32_MAX);
    t->port = (uint16_t)get_number(in, UINT16_MAX);
    t->slots = (uint32_t)get_number(in, UINT32_MAX);
    t->connections = (uint32_t)get_number(in, UINT32_MAX);
    t->state = get_admin_state(in);
}

static void
get_key_ring(struct decoder *in, struct key_ring *ring)
{
    ring->count = get_number(in, KEY_RING_KEYS_MAX);
    for (size_t i = 0; i < ring->count; i++) {
        ring->keys[i].id = (uint8_t)get_number(in, UINT8_MAX);
        get_binary(in, ring->keys[i].secret, KEY_SECRET_SIZE);
    }
}

static void
get_resource(struct decoder *in, struct gossip_resource *gr)
{
    struct resource *r = &gr->resource;

    memset(r, 0, sizeof(*r));
    list_init(&r->link);
    r->kind = (enum resource_kind)get_number(in, RESOURCE_KIND_COUNT - 1);
    get_text(in, r->id);
    r->version = get_number(in, UINT64_MAX);
    r->deleted = get_number(in, 1) != 0;
    gr->revision = get_number(in, UINT64_MAX);
    switch (r->kind) {
    case RESOURCE_SERVICE:
        get_service(in, &r->service);
        break;
    case RESOURCE_TARGET:
        get_target(in, &r->target);
        break;
    case RESOURCE_HOST:
        get_text(in, r->host.domain);
        r->host.addr = (uint32_t)get_number(in, UINT32_MAX);
        r->host.state = get_admin_state(in);
        break;
    case RESOURCE_KEY_RING:
        get_key_ring(in, &r->key_ring);
        break;
    case RESOURCE_KIND_COUNT:
        break;
    }
    if (r->id[0] == '\0' || r->version == 0) {
        in->failed = true;
    }
}

static void
get_body(struct decoder *in, struct gossip_message *m)
{
    switch (m->kind) {
    case GOSSIP_DIGEST:
    case GOSSIP_LEAF_DIGEST:
        m->prefix_bits = (uint8_t)get_number(in, 2 * CONFIG_BUCKET_BITS);
        m->prefix = (uint32_t)get_number(in, UINT32_MAX);
        get_digest(in, &m->digest);
        break;
    case GOSSIP_VERSIONS:
    case GOSSIP_PULL:
        m->prefix_bits = (uint8_t)get_number(in, 2 * CONFIG_BUCKET_BITS);
        m->prefix = (uint32_t)get_number(in, UINT32_MAX);
        get_versions(in, m);
        break;
    case GOSSIP_DELTA:
        m->resource_count = get_number(in, GOSSIP_RESOURCES_MAX);
        for (size_t i = 0; i < m->resource_count; i++) {
            get_resource(in, &m->resources[i]);
        }
        break;
    case GOSSIP_REPORT:
        m->applied = get_number(in, UINT64_MAX);
        get_versions(in, m);
        break;
    default:
        break;
    }
    if (m->prefix >> m->prefix_bits != 0) {
        in->failed = true;
    }
}

bool
gossip_decode(struct gossip_message *m, const uint8_t *data, size_t size)
{
    struct decoder in = {.data = data, .size = size};

    if (get_number(&in, GOSSIP_FORMAT_VERSION) != GOSSIP_FORMAT_VERSION) {
        return false;
    }
    m->kind = (enum gossip_kind)get_number(&in, GOSSIP_KIND_END - 1);
    get_member(&in, &m->sender);
    m->nonce = get_number(&in, UINT64_MAX);
    m->revision = get_number(&in, UINT64_MAX);
    m->checksum = get_number(&in, UINT64_MAX);
    m->floor_sum = get_number(&in, UINT64_MAX);
    m->prefix = 0;
    m->prefix_bits = 0;
    m->version_count = 0;
    m->resource_count = 0;
    m->member_count = get_number(&in, GOSSIP_MEMBERS_MAX);
    for (size_t i = 0; i < m->member_count; i++) {
        get_member(&in, &m->members[i]);
    }
    m->floor_count = get_number(&in, DOMAIN_MIN_REVISIONS_MAX);
    for (size_t i = 0; i < m->floor_count; i++) {
        get_text(&in, m->floors[i].domain);
        m->floors[i].revision = get_number(&in, UINT64_MAX);
    }
    get_body(&in, m);
    return !in.failed && m->kind != 0;
}
