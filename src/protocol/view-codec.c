#include "protocol/view-codec.h"

#include <stdlib.h>
#include <string.h>

#include <msgpack.h>
#include <zlib.h>

#include "protocol/msgpack-bounds.h"

/* Number of msgpack array elements that encode one object of each type. */
#define MESSAGE_FIELD_COUNT 15
#define OBSERVATION_FIELD_COUNT 3
#define LOAD_FIELD_COUNT 3
#define SLOW_TARGET_FIELD_COUNT 3
#define OPEN_FLOW_FIELD_COUNT 5
#define PORT_BITS 16
/* Bits of what a request has shown: its kind, and below it a value, or a
 * weight and the caller. */
#define OUTCOME_KIND_SHIFT 24
#define OUTCOME_VALUE_MASK 0xffffffU
#define OUTCOME_WEIGHT_SHIFT 16
#define ROUTE_FIELD_COUNT 8
/* Further elements of a route that has regions or limits of cold starts.
 * Balancers that do not know them ignore them. */
#define ROUTE_EXTRA_FIELD_COUNT 2
/* Without the form of the cookie, which few targets have. */
#define TARGET_FIELD_COUNT 14

/* Number of array elements of a compressed message: the version, the size of
 * the plain message and its compressed bytes. */
#define COMPRESSED_FIELD_COUNT 3

/* Minimum size in bytes of a message that is compressed. Smaller ones fit into
 * one packet anyway. */
#define COMPRESS_SIZE_MIN 1024
/* Parameters of zlib. Records resemble their neighbors, so a window of 4 KB
 * finds nearly all matches; with these values compression needs 24 KB of
 * memory and decompression 12 KB. */
#define COMPRESS_LEVEL 1
#define COMPRESS_WINDOW_BITS 12
#define COMPRESS_MEMORY_LEVEL 5

static void
put_number(msgpack_packer *pk, uint64_t value)
{
    msgpack_pack_uint64(pk, value);
}

static void
put_position(msgpack_packer *pk, struct store_position position)
{
    put_number(pk, store_position_to_number(position));
}

static void
put_bool(msgpack_packer *pk, bool value)
{
    put_number(pk, value ? 1 : 0);
}

static void
put_text(msgpack_packer *pk, const char *text)
{
    size_t len = text == NULL ? 0 : strlen(text);

    msgpack_pack_str(pk, len);
    msgpack_pack_str_body(pk, text == NULL ? "" : text, len);
}

/* Whether a route needs the elements that most routes do not have. */
static bool
has_extra_fields(const struct route_record *r)
{
    for (size_t i = 0; i < route_record_share_count(r); i++) {
        if (route_record_share(r, i)->cold_limit > 0) {
            return true;
        }
    }
    return r->regions != NULL;
}

static void
put_route(msgpack_packer *pk, const struct route_record *r)
{
    size_t share_count = route_record_share_count(r);
    bool extra = has_extra_fields(r);

    msgpack_pack_array(pk, ROUTE_FIELD_COUNT +
                               (extra ? ROUTE_EXTRA_FIELD_COUNT : 0));
    put_number(pk, r->addr);
    put_number(pk, r->port);
    put_bool(pk, r->removed);
    put_number(pk, r->timeout_ms);
    put_number(pk, r->latency_objective_ms);
    put_number(pk, r->priority);
    msgpack_pack_array(pk, 2 * share_count);
    for (size_t i = 0; i < share_count; i++) {
        put_text(pk, route_record_share(r, i)->service);
        put_number(pk, route_record_share(r, i)->weight);
    }
    put_bool(pk, r->repeatable);
    if (extra) {
        put_text(pk, r->regions);
        msgpack_pack_array(pk, share_count);
        for (size_t i = 0; i < share_count; i++) {
            put_number(pk, route_record_share(r, i)->cold_limit);
        }
    }
}

static void
put_target(msgpack_packer *pk, const struct target_record *t)
{
    bool other_form = t->cookie_form > 0;

    msgpack_pack_array(pk, TARGET_FIELD_COUNT + (other_form ? 1U : 0U));
    put_text(pk, t->id);
    put_text(pk, t->service);
    put_text(pk, t->domain);
    msgpack_pack_bin(pk, TARGET_TAG_SIZE);
    msgpack_pack_bin_body(pk, t->tag, TARGET_TAG_SIZE);
    put_number(pk, t->addr);
    put_number(pk, t->port);
    put_number(pk, t->slots);
    put_bool(pk, t->draining);
    put_bool(pk, t->removed);
    put_number(pk, t->cold_ms);
    put_position(pk, t->created);
    put_position(pk, t->position);
    put_number(pk, t->born);
    put_number(pk, t->sequence);
    if (other_form) {
        put_number(pk, t->cookie_form);
    }
}

static void
put_observation(msgpack_packer *pk, uint32_t cookie, uint32_t misses,
                uint64_t age_us)
{
    put_number(pk, cookie);
    put_number(pk, misses);
    put_number(pk, age_us);
}

/* Appends the observations and more with the cookie 0, which no target has:
 * the times of the store's answer and of the message, with the clock as
 * misses, and the version of the list of routes. There they are ignored by
 * balancers that do not know them, or that take the last one for the version;
 * an array of more than 15 elements they would not take for a view message. */
static void
put_observations(msgpack_packer *pk, const struct view_message *m)
{
    size_t count = m->observation_count;
    bool fits = count + 3 <= VIEW_OBSERVATIONS_MAX;
    bool has_times = fits && m->sent.clock != 0;
    bool has_version = fits && (has_times || m->delta.routes_version != 0);

    msgpack_pack_array(pk, OBSERVATION_FIELD_COUNT *
                               (count + (has_times ? 2 : 0) + has_version));
    for (size_t i = 0; i < count; i++) {
        put_observation(pk, m->observations[i].cookie,
                        m->observations[i].misses,
                        m->observations[i].sent_age_us);
    }
    if (has_times) {
        put_observation(pk, 0, m->answered.clock, m->answered.us);
        put_observation(pk, 0, m->sent.clock, m->sent.us);
    }
    if (has_version) {
        put_observation(pk, 0, 0, m->delta.routes_version);
    }
}

/* Appends the records of load, in the place of the observations. */
static void
put_load(msgpack_packer *pk, const struct view_message *m)
{
    msgpack_pack_array(pk, LOAD_FIELD_COUNT * m->load_count);
    for (size_t i = 0; i < m->load_count; i++) {
        put_number(pk, m->load[i].key);
        put_number(pk, m->load[i].rate);
        put_number(pk, m->load[i].age_ms);
    }
}

/* Encodes what a request has shown as one number. That of an answer is its
 * time alone. Those of other outcomes exceed any time: builds that know times
 * only take them for a very long one, and so send the target fewer flows. */
static uint32_t
pack_outcome(const struct slow_target_record *r)
{
    uint32_t kind = (uint32_t)r->kind << OUTCOME_KIND_SHIFT;

    switch (r->kind) {
    case OUTCOME_ANSWERED:
        return r->ratio;
    case OUTCOME_LONG:
        return kind | (r->ratio & OUTCOME_VALUE_MASK);
    default:
        return kind | (uint32_t)r->weight << OUTCOME_WEIGHT_SHIFT | r->caller;
    }
}

static void
put_slow_targets(msgpack_packer *pk, const struct view_message *m)
{
    msgpack_pack_array(pk, SLOW_TARGET_FIELD_COUNT * m->slow_target_count);
    for (size_t i = 0; i < m->slow_target_count; i++) {
        put_number(pk, m->slow_targets[i].cookie);
        put_number(pk, pack_outcome(&m->slow_targets[i]));
        put_number(pk, m->slow_targets[i].age_ms);
    }
}

static void
put_open_flows(msgpack_packer *pk, const struct view_message *m)
{
    msgpack_pack_array(pk, OPEN_FLOW_FIELD_COUNT * m->open_flow_count);
    for (size_t i = 0; i < m->open_flow_count; i++) {
        const struct open_flow_record *r = &m->open_flows[i];

        put_number(pk, r->caller_addr);
        put_number(pk, r->route_addr);
        put_number(pk, (uint32_t)r->caller_port << PORT_BITS | r->route_port);
        put_number(pk, r->cookie);
        put_number(pk, r->ack);
    }
}

static void
put_message(msgpack_packer *pk, const struct view_message *m)
{
    const struct view_delta *delta = &m->delta;

    msgpack_pack_array(pk, MESSAGE_FIELD_COUNT);
    put_number(pk, VIEW_FORMAT_VERSION);
    put_number(pk, m->kind);
    put_number(pk, m->sender_addr);
    put_number(pk, m->sender_port);
    put_bool(pk, m->relay_to_neighbors);
    /* Age plus one, so that 0 stands for a message without confirmation. */
    put_number(pk, m->confirmed ? m->age_us + 1 : 0);
    put_number(pk, m->position);
    put_position(pk, delta->from);
    put_position(pk, delta->to);
    put_position(pk, delta->routes_base);
    put_position(pk, delta->routes_position);
    put_number(pk, (delta->routes_complete ? 1U : 0U) |
                       (delta->targets_complete ? 2U : 0U));
    msgpack_pack_array(pk, delta->routes->len);
    for (guint i = 0; i < delta->routes->len; i++) {
        put_route(pk, &g_array_index(delta->routes, struct route_record, i));
    }
    msgpack_pack_array(pk, delta->targets->len);
    for (guint i = 0; i < delta->targets->len; i++) {
        put_target(pk,
                   &g_array_index(delta->targets, struct target_record, i));
    }
    if (m->kind == VIEW_LOAD) {
        put_load(pk, m);
    }
    else if (m->kind == VIEW_SLOW_TARGETS) {
        put_slow_targets(pk, m);
    }
    else if (m->kind == VIEW_OPEN_FLOWS) {
        put_open_flows(pk, m);
    }
    else {
        put_observations(pk, m);
    }
}

/* Compresses "plain". Returns the number of bytes written to "out", 0 when
 * they do not fit into "out_size" bytes or memory is short. */
static size_t
deflate_bytes(const uint8_t *plain, size_t plain_size, uint8_t *out,
              size_t out_size)
{
    z_stream stream = {.next_in = (uint8_t *)plain,
                       .avail_in = (uInt)plain_size,
                       .avail_out = (uInt)out_size};
    int result;

    stream.next_out = out;
    if (deflateInit2(&stream, COMPRESS_LEVEL, Z_DEFLATED, COMPRESS_WINDOW_BITS,
                     COMPRESS_MEMORY_LEVEL, Z_DEFAULT_STRATEGY) != Z_OK) {
        return 0;
    }
    result = deflate(&stream, Z_FINISH);
    deflateEnd(&stream);
    return result == Z_STREAM_END ? stream.total_out : 0;
}

/* Decompresses "in" into exactly "plain_size" bytes. Returns false for bytes
 * that are not a complete stream of this size. */
static bool
inflate_bytes(const uint8_t *in, size_t in_size, uint8_t *plain,
              size_t plain_size)
{
    z_stream stream = {.next_in = (uint8_t *)in,
                       .avail_in = (uInt)in_size,
                       .avail_out = (uInt)plain_size};
    int result;

    stream.next_out = plain;
    if (inflateInit2(&stream, COMPRESS_WINDOW_BITS) != Z_OK) {
        return false;
    }
    result = inflate(&stream, Z_FINISH);
    inflateEnd(&stream);
    return result == Z_STREAM_END && stream.total_out == plain_size;
}

/* Replaces an encoded message by its compressed form. Leaves it as it is when
 * that would not be smaller or memory is short. */
static void
compress_message(msgpack_sbuffer *buffer)
{
    uint8_t *packed = malloc(buffer->size);
    size_t packed_size =
        packed == NULL ? 0
                       : deflate_bytes((const uint8_t *)buffer->data,
                                       buffer->size, packed, buffer->size);
    size_t plain_size = buffer->size;
    msgpack_packer pk;

    if (packed_size > 0) {
        msgpack_sbuffer_clear(buffer);
        msgpack_packer_init(&pk, buffer, msgpack_sbuffer_write);
        msgpack_pack_array(&pk, COMPRESSED_FIELD_COUNT);
        put_number(&pk, VIEW_FORMAT_COMPRESSED);
        put_number(&pk, plain_size);
        msgpack_pack_bin(&pk, packed_size);
        msgpack_pack_bin_body(&pk, packed, packed_size);
    }
    free(packed);
}

uint8_t *
view_encode(const struct view_message *m, size_t *size)
{
    msgpack_sbuffer buffer;
    msgpack_packer pk;

    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&pk, &buffer, msgpack_sbuffer_write);
    put_message(&pk, m);
    if (buffer.size > VIEW_MESSAGE_SIZE_MAX) {
        msgpack_sbuffer_destroy(&buffer);
        return NULL;
    }
    if (buffer.size >= COMPRESS_SIZE_MIN) {
        compress_message(&buffer);
    }
    *size = buffer.size;
    return (uint8_t *)msgpack_sbuffer_release(&buffer);
}

/* Reads the elements of an array in order. After the first element that is
 * missing or of an unexpected type or value, "failed" stays set and the take
 * functions return zeros or NULL. */
struct array_reader {
    const msgpack_object *next;
    size_t left; /* elements from "next" to the end of the array */
    bool failed;
};

/* Returns the next element, or NULL when it is missing or of another type. */
static const msgpack_object *
take_object(struct array_reader *r, msgpack_object_type type)
{
    const msgpack_object *object = r->next;

    if (r->failed || r->left == 0 || object->type != type) {
        r->failed = true;
        return NULL;
    }
    r->next++;
    r->left--;
    return object;
}

static uint64_t
take_number(struct array_reader *r, uint64_t max)
{
    const msgpack_object *object =
        take_object(r, MSGPACK_OBJECT_POSITIVE_INTEGER);

    if (object == NULL || object->via.u64 > max) {
        r->failed = true;
        return 0;
    }
    return object->via.u64;
}

static struct store_position
take_position(struct array_reader *r)
{
    return store_position_from_number(take_number(r, UINT64_MAX));
}

/* Takes a number that a balancer of before eras does not send; 0 then. */
static uint64_t
take_added_number(struct array_reader *r)
{
    return r->left == 0 ? 0 : take_number(r, UINT64_MAX);
}

/* Takes a string of less than "size" bytes without NUL. msgpack gives an empty
 * string no pointer. */
static void
take_text(struct array_reader *r, char *out, size_t size)
{
    const msgpack_object *object = take_object(r, MSGPACK_OBJECT_STR);

    out[0] = '\0';
    if (object == NULL || object->via.str.size >= size) {
        r->failed = true;
        return;
    }
    if (object->via.str.size == 0) {
        return;
    }
    if (memchr(object->via.str.ptr, '\0', object->via.str.size) != NULL) {
        r->failed = true;
        return;
    }
    memcpy(out, object->via.str.ptr, object->via.str.size);
    out[object->via.str.size] = '\0';
}

/* Takes a string of any length and interns it. Returns NULL for an empty one
 * or on failure. */
static const char *
take_name(struct array_reader *r)
{
    const msgpack_object *object = take_object(r, MSGPACK_OBJECT_STR);
    const char *name;
    char *text;

    if (object == NULL || object->via.str.size == 0) {
        return NULL;
    }
    if (memchr(object->via.str.ptr, '\0', object->via.str.size) != NULL) {
        r->failed = true;
        return NULL;
    }
    text = g_strndup(object->via.str.ptr, object->via.str.size);
    name = g_intern_string(text);
    g_free(text);
    return name;
}

/* Returns a reader for the elements of an array that is the next element. */
static struct array_reader
take_array(struct array_reader *r)
{
    const msgpack_object *object = take_object(r, MSGPACK_OBJECT_ARRAY);
    struct array_reader inner = {.failed = object == NULL};

    if (object != NULL) {
        inner.next = object->via.array.ptr;
        inner.left = object->via.array.size;
    }
    return inner;
}

static void
take_shares(struct array_reader *r, struct route_record *route)
{
    struct array_reader shares = take_array(r);

    if (shares.left % 2 != 0) {
        r->failed = true;
        return;
    }
    while (shares.left > 0 && !shares.failed) {
        struct route_share share = {.service = take_name(&shares)};

        share.weight = (uint32_t)take_number(&shares, UINT32_MAX);
        shares.failed = shares.failed || share.service == NULL;
        route_record_add_share(route, &share);
    }
    r->failed = r->failed || shares.failed;
}

/* Takes the regions and the limits of cold starts of a route, which most
 * routes do not have. */
static void
take_extra_fields(struct array_reader *fields, struct route_record *route)
{
    struct array_reader limits;

    if (fields->left == 0) {
        return;
    }
    route->regions = take_name(fields);
    limits = take_array(fields);
    for (size_t i = 0; i < route_record_share_count(route); i++) {
        g_array_index(route->shares, struct route_share, i).cold_limit =
            (uint32_t)take_number(&limits, UINT32_MAX);
    }
    fields->failed = fields->failed || limits.failed;
}

static void
take_route(struct array_reader *r, struct route_record *route)
{
    struct array_reader fields = take_array(r);

    memset(route, 0, sizeof(*route));
    route->addr = (uint32_t)take_number(&fields, UINT32_MAX);
    route->port = (uint16_t)take_number(&fields, UINT16_MAX);
    route->removed = take_number(&fields, 1) == 1;
    route->timeout_ms = (uint32_t)take_number(&fields, UINT32_MAX);
    route->latency_objective_ms = (uint32_t)take_number(&fields, UINT32_MAX);
    route->priority = (uint8_t)take_number(&fields, UINT8_MAX);
    take_shares(&fields, route);
    route->repeatable = take_added_number(&fields) == 1;
    take_extra_fields(&fields, route);
    r->failed = r->failed || fields.failed;
}

static void
take_tag(struct array_reader *r, uint8_t tag[TARGET_TAG_SIZE])
{
    const msgpack_object *object = take_object(r, MSGPACK_OBJECT_BIN);

    if (object == NULL || object->via.bin.size != TARGET_TAG_SIZE) {
        r->failed = true;
        return;
    }
    memcpy(tag, object->via.bin.ptr, TARGET_TAG_SIZE);
}

static void
take_target(struct array_reader *r, struct target_record *t)
{
    struct array_reader fields = take_array(r);

    memset(t, 0, sizeof(*t));
    take_text(&fields, t->id, sizeof(t->id));
    t->service = take_name(&fields);
    t->domain = take_name(&fields);
    take_tag(&fields, t->tag);
    t->addr = (uint32_t)take_number(&fields, UINT32_MAX);
    t->port = (uint16_t)take_number(&fields, UINT16_MAX);
    t->slots = (uint32_t)take_number(&fields, UINT32_MAX);
    t->draining = take_number(&fields, 1) == 1;
    t->removed = take_number(&fields, 1) == 1;
    t->cold_ms = (uint32_t)take_number(&fields, UINT32_MAX);
    t->created = take_position(&fields);
    t->position = take_position(&fields);
    t->born = take_added_number(&fields);
    t->sequence = take_added_number(&fields);
    t->cookie_form =
        fields.left == 0 ? 0 : (uint8_t)take_number(&fields, UINT8_MAX);
    r->failed = r->failed || fields.failed || t->id[0] == '\0' ||
                t->service == NULL || store_position_is_none(t->position) ||
                !target_record_set_kind(t);
}

static void
take_records(struct array_reader *r, struct view_delta *delta)
{
    struct array_reader routes = take_array(r);
    struct array_reader targets = take_array(r);
    struct route_record route;
    struct target_record target;

    while (routes.left > 0 && !routes.failed) {
        take_route(&routes, &route);
        g_array_append_val(delta->routes, route);
    }
    while (targets.left > 0 && !targets.failed) {
        take_target(&targets, &target);
        g_array_append_val(delta->targets, target);
    }
    r->failed = r->failed || routes.failed || targets.failed;
}

static void
take_observations(struct array_reader *r, struct view_message *m)
{
    struct array_reader fields = take_array(r);

    if (fields.left % OBSERVATION_FIELD_COUNT != 0 ||
        fields.left / OBSERVATION_FIELD_COUNT > VIEW_OBSERVATIONS_MAX) {
        r->failed = true;
        return;
    }
    m->observation_count = 0;
    while (fields.left > 0 && !fields.failed) {
        struct observation_record record = {
            .cookie = (uint32_t)take_number(&fields, UINT32_MAX),
            .misses = (uint32_t)take_number(&fields, UINT32_MAX),
            .sent_age_us = take_number(&fields, UINT64_MAX),
        };

        if (record.cookie == 0 && record.misses != 0) {
            m->answered = m->sent;
            m->sent = (struct clock_time){record.misses, record.sent_age_us};
        }
        else if (record.cookie == 0) {
            m->delta.routes_version = record.sent_age_us;
        }
        else {
            m->observations[m->observation_count] = record;
            m->observation_count++;
        }
    }
    r->failed = r->failed || fields.failed;
}

static void
take_load(struct array_reader *r, struct view_message *m)
{
    struct array_reader fields = take_array(r);

    if (fields.left % LOAD_FIELD_COUNT != 0 ||
        fields.left / LOAD_FIELD_COUNT > DOMAIN_LOAD_RECORDS_MAX) {
        r->failed = true;
        return;
    }
    m->load_count = 0;
    while (fields.left > 0 && !fields.failed) {
        m->load[m->load_count] = (struct domain_load_record){
            .key = (uint32_t)take_number(&fields, UINT32_MAX),
            .rate = (uint32_t)take_number(&fields, UINT32_MAX),
            .age_ms = (uint32_t)take_number(&fields, UINT32_MAX),
        };
        m->load_count++;
    }
    r->failed = r->failed || fields.failed;
}

/* Decodes pack_outcome(). Returns false for a kind that this build does not
 * know. */
static bool
unpack_outcome(uint32_t packed, struct slow_target_record *r)
{
    uint32_t kind = packed >> OUTCOME_KIND_SHIFT;

    if (kind >= REQUEST_OUTCOME_END) {
        return false;
    }
    r->kind = (enum request_outcome)kind;
    if (r->kind == OUTCOME_ANSWERED || r->kind == OUTCOME_LONG) {
        r->ratio = packed & OUTCOME_VALUE_MASK;
        return true;
    }
    r->weight = (packed >> OUTCOME_WEIGHT_SHIFT) & SLOW_TARGET_WEIGHT_MAX;
    r->caller = (uint16_t)packed;
    return true;
}

/* Records of an unknown kind are left out: those of a later build. */
static void
take_slow_targets(struct array_reader *r, struct view_message *m)
{
    struct array_reader fields = take_array(r);

    if (fields.left % SLOW_TARGET_FIELD_COUNT != 0 ||
        fields.left / SLOW_TARGET_FIELD_COUNT > SLOW_TARGET_RECORDS_MAX) {
        r->failed = true;
        return;
    }
    m->slow_target_count = 0;
    while (fields.left > 0 && !fields.failed) {
        struct slow_target_record *record =
            &m->slow_targets[m->slow_target_count];
        uint32_t packed;

        *record = (struct slow_target_record){
            .cookie = (uint32_t)take_number(&fields, UINT32_MAX)};
        packed = (uint32_t)take_number(&fields, UINT32_MAX);
        record->age_ms = (uint32_t)take_number(&fields, UINT32_MAX);
        if (unpack_outcome(packed, record)) {
            m->slow_target_count++;
        }
    }
    r->failed = r->failed || fields.failed;
}

static void
take_open_flows(struct array_reader *r, struct view_message *m)
{
    struct array_reader fields = take_array(r);

    if (fields.left % OPEN_FLOW_FIELD_COUNT != 0 ||
        fields.left / OPEN_FLOW_FIELD_COUNT > OPEN_FLOW_RECORDS_MAX) {
        r->failed = true;
        return;
    }
    m->open_flow_count = 0;
    while (fields.left > 0 && !fields.failed) {
        struct open_flow_record *record = &m->open_flows[m->open_flow_count];
        uint32_t ports;

        record->caller_addr = (uint32_t)take_number(&fields, UINT32_MAX);
        record->route_addr = (uint32_t)take_number(&fields, UINT32_MAX);
        ports = (uint32_t)take_number(&fields, UINT32_MAX);
        record->caller_port = (uint16_t)(ports >> PORT_BITS);
        record->route_port = (uint16_t)ports;
        record->cookie = (uint32_t)take_number(&fields, UINT32_MAX);
        record->ack = (uint32_t)take_number(&fields, UINT32_MAX);
        m->open_flow_count++;
    }
    r->failed = r->failed || fields.failed;
}

static bool
take_message(struct array_reader *r, struct view_message *m)
{
    uint64_t age_plus_one;
    uint64_t complete_flags;

    take_number(r, VIEW_FORMAT_VERSION);
    m->kind =
        (enum view_message_kind)take_number(r, VIEW_MESSAGE_KIND_END - 1);
    m->sender_addr = (uint32_t)take_number(r, UINT32_MAX);
    m->sender_port = (uint16_t)take_number(r, UINT16_MAX);
    m->relay_to_neighbors = take_number(r, 1) == 1;
    age_plus_one = take_number(r, UINT64_MAX);
    m->confirmed = age_plus_one > 0;
    m->age_us = age_plus_one > 0 ? age_plus_one - 1 : 0;
    m->position = (uint32_t)take_number(r, VIEW_POSITION_END);
    m->delta.from = take_position(r);
    m->delta.to = take_position(r);
    m->delta.routes_base = take_position(r);
    m->delta.routes_position = take_position(r);
    complete_flags = take_number(r, 3);
    m->delta.routes_complete = (complete_flags & 1) != 0;
    m->delta.targets_complete = (complete_flags & 2) != 0;
    take_records(r, &m->delta);
    if (m->kind == VIEW_LOAD) {
        take_load(r, m);
    }
    else if (m->kind == VIEW_SLOW_TARGETS) {
        take_slow_targets(r, m);
    }
    else if (m->kind == VIEW_OPEN_FLOWS) {
        take_open_flows(r, m);
    }
    else {
        take_observations(r, m);
    }
    return !r->failed && m->kind != 0;
}

bool
view_is_message(const uint8_t *data, size_t size)
{
    if (size >= 2 && data[0] >= MSGPACK_FIXARRAY_MIN &&
        data[0] <= MSGPACK_FIXARRAY_MAX) {
        return data[1] == VIEW_FORMAT_VERSION ||
               data[1] == VIEW_FORMAT_COMPRESSED;
    }
    return false;
}

/* Unpacks a message and sets "r" to read its elements. Returns false when it
 * is malformed. The caller destroys "unpacked" in either case. */
static bool
unpack_message(const uint8_t *data, size_t size, msgpack_unpacked *unpacked,
               struct array_reader *r)
{
    size_t offset = 0;

    msgpack_unpacked_init(unpacked);
    if (!msgpack_bounds_fit(data, size) ||
        msgpack_unpack_next(unpacked, (const char *)data, size, &offset) !=
            MSGPACK_UNPACK_SUCCESS ||
        unpacked->data.type != MSGPACK_OBJECT_ARRAY) {
        return false;
    }
    *r = (struct array_reader){.next = unpacked->data.via.array.ptr,
                               .left = unpacked->data.via.array.size};
    return true;
}

static bool
decode_plain(struct view_message *m, const uint8_t *data, size_t size)
{
    msgpack_unpacked unpacked;
    struct array_reader reader;
    bool valid = unpack_message(data, size, &unpacked, &reader) &&
                 take_message(&reader, m);

    msgpack_unpacked_destroy(&unpacked);
    return valid;
}

/* Decompresses the plain message in the array that "r" reads. Returns a buffer
 * of *size bytes that the caller frees, or NULL when it is malformed or memory
 * is short. */
static uint8_t *
take_compressed(struct array_reader *r, size_t *size)
{
    const msgpack_object *packed;
    uint8_t *plain;

    take_number(r, VIEW_FORMAT_COMPRESSED);
    *size = (size_t)take_number(r, VIEW_MESSAGE_SIZE_MAX);
    packed = take_object(r, MSGPACK_OBJECT_BIN);
    if (packed == NULL || *size == 0) {
        return NULL;
    }
    plain = malloc(*size);
    if (plain != NULL && !inflate_bytes((const uint8_t *)packed->via.bin.ptr,
                                        packed->via.bin.size, plain, *size)) {
        free(plain);
        return NULL;
    }
    return plain;
}

static bool
decode_compressed(struct view_message *m, const uint8_t *data, size_t size)
{
    msgpack_unpacked unpacked;
    struct array_reader reader;
    size_t plain_size = 0;
    uint8_t *plain = NULL;
    bool valid;

    if (unpack_message(data, size, &unpacked, &reader)) {
        plain = take_compressed(&reader, &plain_size);
    }
    msgpack_unpacked_destroy(&unpacked);
    /* A compressed message inside another one is refused. */
    valid = plain != NULL && view_is_message(plain, plain_size) &&
            plain[1] == VIEW_FORMAT_VERSION &&
            decode_plain(m, plain, plain_size);
    free(plain);
    return valid;
}

bool
view_decode(struct view_message *m, const uint8_t *data, size_t size)
{
    if (!view_is_message(data, size)) {
        return false;
    }
    return data[1] == VIEW_FORMAT_COMPRESSED ? decode_compressed(m, data, size)
                                             : decode_plain(m, data, size);
}
