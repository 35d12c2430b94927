#include "protocol/packet.h"

#include <assert.h>
#include <string.h>

#include <coap3/coap.h>

#include "protocol/uri-text.h"

#define HEADER_SIZE 4 /* bytes, RFC 7252 section 3 */
#define COAP_VERSION 1
#define PAYLOAD_MARKER 0xff
#define OPTION_NUMBER_MAX 65535
#define UINT_OPTION_MAX 4      /* bytes of a 32-bit uint option */
#define BLOCK_OPTION_MAX 3     /* bytes, RFC 7959 section 2.1 */
#define BLOCK_SZX_RESERVED 7   /* RFC 7959 section 2.2 */
#define BLOCK_NUM_MAX 0xfffffU /* 20 bits */
#define OBSERVE_OPTION_MAX 3   /* bytes, RFC 7641 section 2 */
#define URI_SEGMENT_MAX 255    /* bytes, RFC 7252 section 5.10 */
#define U16_OPTION_MAX 2       /* bytes of a 16-bit uint option */
#define CODE_CLASS(code) ((code) >> 5)

/* Returns true when RFC 7252 section 12.1 defines the class of the code. */
static bool
code_class_is_known(uint8_t code)
{
    unsigned class = CODE_CLASS(code);

    return class == 0 || class == 2 || class == 4 || class == 5;
}

/* Decodes the fixed header and the token (RFC 7252 section 3). Returns the
 * number of bytes read, or 0 on a message format error. */
static size_t
parse_header(struct packet *p, const uint8_t *data, size_t size)
{
    uint8_t token_len;

    if (size < HEADER_SIZE || data[0] >> 6 != COAP_VERSION) {
        return 0;
    }
    token_len = data[0] & 0x0f;
    if (token_len > PACKET_TOKEN_MAX ||
        size < (size_t)HEADER_SIZE + token_len) {
        return 0;
    }
    if (!code_class_is_known(data[1])) {
        return 0;
    }
    p->type = (enum packet_type)(data[0] >> 4 & 0x03);
    p->code = data[1];
    p->message_id = (uint16_t)(data[2] << 8 | data[3]);
    p->token_len = token_len;
    memcpy(p->token, data + HEADER_SIZE, token_len);
    return HEADER_SIZE + token_len;
}

/* Decodes the value of a uint option (RFC 7252 section 3.2), which must not
 * have more than four bytes. */
static uint32_t
decode_uint(const coap_option_t *opt)
{
    uint32_t value = 0;

    for (size_t i = 0; i < opt->length; i++) {
        value = value << 8 | opt->value[i];
    }
    return value;
}

static bool
parse_u32(struct packet *p, enum packet_field field, uint32_t *out,
          const coap_option_t *opt, size_t max_len)
{
    if (opt->length > max_len || (p->fields & field) != 0) {
        return false;
    }
    *out = decode_uint(opt);
    p->fields |= field;
    return true;
}

static bool
parse_u16(struct packet *p, enum packet_field field, uint16_t *out,
          const coap_option_t *opt)
{
    uint32_t value;

    if (!parse_u32(p, field, &value, opt, U16_OPTION_MAX)) {
        return false;
    }
    *out = (uint16_t)value;
    return true;
}

static bool
parse_block(struct packet *p, enum packet_field field,
            struct packet_block *out, const coap_option_t *opt)
{
    uint32_t value;

    if (opt->length > BLOCK_OPTION_MAX || (p->fields & field) != 0) {
        return false;
    }
    value = decode_uint(opt);
    if ((value & 0x07) == BLOCK_SZX_RESERVED) {
        return false;
    }
    out->num = value >> 4;
    out->more = (value & 0x08) != 0;
    out->szx = value & 0x07;
    p->fields |= field;
    return true;
}

static bool
parse_opaque(struct packet *p, enum packet_field field, uint8_t *out,
             uint8_t *out_len, const coap_option_t *opt, size_t min_len,
             size_t max_len)
{
    if (opt->length < min_len || opt->length > max_len ||
        (p->fields & field) != 0) {
        return false;
    }
    memcpy(out, opt->value, opt->length);
    *out_len = (uint8_t)opt->length;
    p->fields |= field;
    return true;
}

static bool
parse_outcome(struct packet *p, const coap_option_t *opt)
{
    uint32_t value;

    if (opt->length > 1 || (p->fields & FIELD_OUTCOME) != 0) {
        return false;
    }
    value = decode_uint(opt);
    if (value != OUTCOME_NOT_RUN && value != OUTCOME_UNKNOWN) {
        return false;
    }
    p->outcome = (enum packet_outcome)value;
    p->fields |= FIELD_OUTCOME;
    return true;
}

static bool
parse_path_segment(struct packet *p, const coap_option_t *opt)
{
    if (opt->length > URI_SEGMENT_MAX) {
        return false;
    }
    return uri_path_append(p->path, sizeof(p->path), opt->value, opt->length);
}

static bool
parse_query_argument(struct packet *p, const coap_option_t *opt)
{
    if (opt->length > URI_SEGMENT_MAX) {
        return false;
    }
    return uri_query_append(p->query, sizeof(p->query), opt->value,
                            opt->length);
}

/* Decodes one option into the packet. Returns false for an option that is
 * unknown, has a length or value outside its definition, or is repeated
 * although it may occur only once. RFC 7252 sections 5.4.3 and 5.4.5 treat all
 * three cases like an unknown option. */
static bool
parse_option(struct packet *p, uint32_t number, const coap_option_t *opt)
{
    switch (number) {
    case COAP_OPTION_URI_HOST:
        return opt->length >= 1 && opt->length <= URI_SEGMENT_MAX;
    case COAP_OPTION_URI_PORT:
        return opt->length <= U16_OPTION_MAX;
    case COAP_OPTION_ETAG:
        return parse_opaque(p, FIELD_ETAG, p->etag, &p->etag_len, opt, 1,
                            PACKET_ETAG_MAX);
    case COAP_OPTION_OBSERVE:
        return parse_u32(p, FIELD_OBSERVE, &p->observe, opt,
                         OBSERVE_OPTION_MAX);
    case COAP_OPTION_URI_PATH:
        return parse_path_segment(p, opt);
    case COAP_OPTION_CONTENT_FORMAT:
        return parse_u16(p, FIELD_CONTENT_FORMAT, &p->content_format, opt);
    case COAP_OPTION_MAXAGE:
        return parse_u32(p, FIELD_MAX_AGE, &p->max_age_s, opt,
                         UINT_OPTION_MAX);
    case COAP_OPTION_URI_QUERY:
        return parse_query_argument(p, opt);
    case COAP_OPTION_ACCEPT:
        return parse_u16(p, FIELD_ACCEPT, &p->accept, opt);
    case COAP_OPTION_BLOCK2:
        return parse_block(p, FIELD_BLOCK2, &p->block2, opt);
    case COAP_OPTION_BLOCK1:
        return parse_block(p, FIELD_BLOCK1, &p->block1, opt);
    case COAP_OPTION_SIZE2:
        return parse_u32(p, FIELD_SIZE2, &p->size2, opt, UINT_OPTION_MAX);
    case COAP_OPTION_SIZE1:
        return parse_u32(p, FIELD_SIZE1, &p->size1, opt, UINT_OPTION_MAX);
    case COAP_OPTION_ECHO:
        return parse_opaque(p, FIELD_ECHO, p->echo, &p->echo_len, opt, 1,
                            PACKET_ECHO_MAX);
    case COAP_OPTION_RTAG:
        return parse_opaque(p, FIELD_REQUEST_TAG, p->request_tag,
                            &p->request_tag_len, opt, 0,
                            PACKET_REQUEST_TAG_MAX);
    case PACKET_OPTION_DEADLINE:
        return parse_u32(p, FIELD_DEADLINE, &p->deadline_ms, opt,
                         UINT_OPTION_MAX);
    case PACKET_OPTION_OUTCOME:
        return parse_outcome(p, opt);
    default:
        return false;
    }
}

/* Options with odd numbers are critical (RFC 7252 section 5.4.6). */
static bool
option_is_critical(uint32_t number)
{
    return (number & 1) != 0;
}

/* Decodes options and payload. coap_opt_parse() checks that an option ends
 * within the remaining bytes; this function checks that the sum of the deltas
 * is a valid option number. The options after a bad one are still read,
 * because a message format error takes precedence over a bad option. */
static enum error_kind
parse_options_and_payload(struct packet *p, const uint8_t *data, size_t size)
{
    enum error_kind result = ERR_NONE;
    uint32_t number = 0;
    size_t pos = 0;

    while (pos < size && data[pos] != PAYLOAD_MARKER) {
        coap_option_t opt;
        size_t consumed = coap_opt_parse(data + pos, size - pos, &opt);

        number += opt.delta;
        if (consumed == 0 || consumed > size - pos ||
            number > OPTION_NUMBER_MAX) {
            return ERR_BAD_PACKET;
        }
        if (!parse_option(p, number, &opt) && option_is_critical(number)) {
            result = ERR_BAD_OPTION;
        }
        pos += consumed;
    }
    if (pos == size) {
        return result;
    }
    pos++;
    if (pos == size) {
        /* A payload marker without a payload is a message format error (RFC
         * 7252 section 3). */
        return ERR_BAD_PACKET;
    }
    p->payload = data + pos;
    p->payload_len = size - pos;
    return result;
}

enum error_kind
packet_parse(struct packet *p, const uint8_t *data, size_t size)
{
    size_t header;

    memset(p, 0, sizeof(*p));
    header = parse_header(p, data, size);
    if (header == 0) {
        return ERR_BAD_PACKET;
    }
    if (p->code == CODE_EMPTY) {
        /* An empty message has only the four bytes of the header (RFC 7252
         * section 4.1). */
        return size == HEADER_SIZE ? ERR_NONE : ERR_BAD_PACKET;
    }
    return parse_options_and_payload(p, data + header, size - header);
}

/* A datagram being encoded. After the first failure "failed" stays set and no
 * further option or payload is written. */
struct writer {
    uint8_t *data;
    size_t size;
    size_t len;
    uint32_t last_number; /* number of the last option written, 0 at first */
    bool failed;
};

/* Writes an option. Options must be written in ascending order of their
 * numbers, because each number is encoded as the difference from the previous
 * one. */
static void
put_option(struct writer *w, uint32_t number, const uint8_t *value, size_t len)
{
    size_t written;

    assert(number >= w->last_number);
    if (w->failed) {
        return;
    }
    written = coap_opt_encode(w->data + w->len, w->size - w->len,
                              (uint16_t)(number - w->last_number), value, len);
    if (written == 0) {
        w->failed = true;
        return;
    }
    w->len += written;
    w->last_number = number;
}

/* Writes a uint option in the minimum number of bytes, which is 0 for the
 * value zero (RFC 7252 section 3.2). */
static void
put_uint(struct writer *w, uint32_t number, uint32_t value)
{
    uint8_t bytes[UINT_OPTION_MAX];
    size_t len = 0;

    for (int shift = 24; shift >= 0; shift -= 8) {
        if (len > 0 || value >> shift != 0) {
            bytes[len] = (uint8_t)(value >> shift);
            len++;
        }
    }
    put_option(w, number, bytes, len);
}

static void
put_block(struct writer *w, uint32_t number, const struct packet_block *block)
{
    assert(block->num <= BLOCK_NUM_MAX);
    assert(block->szx < BLOCK_SZX_RESERVED);
    put_uint(w, number,
             block->num << 4 | (block->more ? 0x08 : 0) | block->szx);
}

/* Splits a path or query at "separator" and writes each part, percent-decoded,
 * as an option of its own. */
static void
put_uri_parts(struct writer *w, uint32_t number, const char *text,
              char separator)
{
    uint8_t part[URI_SEGMENT_MAX];
    const char *next = text;

    while (next != NULL && !w->failed) {
        size_t len;

        if (!uri_part_decode(&next, separator, part, sizeof(part), &len)) {
            w->failed = true;
            return;
        }
        put_option(w, number, part, len);
    }
}

static void
put_path(struct writer *w, const char *path)
{
    if (path[0] == '\0' || strcmp(path, "/") == 0) {
        return;
    }
    if (path[0] != '/') {
        w->failed = true;
        return;
    }
    put_uri_parts(w, COAP_OPTION_URI_PATH, path + 1, '/');
}

static void
put_query(struct writer *w, const char *query)
{
    if (query[0] != '\0') {
        put_uri_parts(w, COAP_OPTION_URI_QUERY, query, '&');
    }
}

static void
put_options_etag_to_max_age(struct writer *w, const struct packet *p)
{
    if ((p->fields & FIELD_ETAG) != 0) {
        put_option(w, COAP_OPTION_ETAG, p->etag, p->etag_len);
    }
    if ((p->fields & FIELD_OBSERVE) != 0) {
        put_uint(w, COAP_OPTION_OBSERVE, p->observe & 0xffffff);
    }
    put_path(w, p->path);
    if ((p->fields & FIELD_CONTENT_FORMAT) != 0) {
        put_uint(w, COAP_OPTION_CONTENT_FORMAT, p->content_format);
    }
    if ((p->fields & FIELD_MAX_AGE) != 0) {
        put_uint(w, COAP_OPTION_MAXAGE, p->max_age_s);
    }
}

static void
put_options_query_to_size1(struct writer *w, const struct packet *p)
{
    put_query(w, p->query);
    if ((p->fields & FIELD_ACCEPT) != 0) {
        put_uint(w, COAP_OPTION_ACCEPT, p->accept);
    }
    if ((p->fields & FIELD_BLOCK2) != 0) {
        put_block(w, COAP_OPTION_BLOCK2, &p->block2);
    }
    if ((p->fields & FIELD_BLOCK1) != 0) {
        put_block(w, COAP_OPTION_BLOCK1, &p->block1);
    }
    if ((p->fields & FIELD_SIZE2) != 0) {
        put_uint(w, COAP_OPTION_SIZE2, p->size2);
    }
    if ((p->fields & FIELD_SIZE1) != 0) {
        put_uint(w, COAP_OPTION_SIZE1, p->size1);
    }
}

static void
put_options_echo_to_outcome(struct writer *w, const struct packet *p)
{
    if ((p->fields & FIELD_ECHO) != 0) {
        put_option(w, COAP_OPTION_ECHO, p->echo, p->echo_len);
    }
    if ((p->fields & FIELD_REQUEST_TAG) != 0) {
        put_option(w, COAP_OPTION_RTAG, p->request_tag, p->request_tag_len);
    }
    if ((p->fields & FIELD_DEADLINE) != 0) {
        put_uint(w, PACKET_OPTION_DEADLINE, p->deadline_ms);
    }
    if ((p->fields & FIELD_OUTCOME) != 0) {
        put_uint(w, PACKET_OPTION_OUTCOME, p->outcome);
    }
}

static void
put_header(struct writer *w, const struct packet *p)
{
    assert(p->token_len <= PACKET_TOKEN_MAX);
    if (w->size < (size_t)HEADER_SIZE + p->token_len) {
        w->failed = true;
        return;
    }
    w->data[0] =
        (uint8_t)(COAP_VERSION << 6 | (unsigned)p->type << 4 | p->token_len);
    w->data[1] = p->code;
    w->data[2] = (uint8_t)(p->message_id >> 8);
    w->data[3] = (uint8_t)p->message_id;
    memcpy(w->data + HEADER_SIZE, p->token, p->token_len);
    w->len = HEADER_SIZE + p->token_len;
}

static void
put_payload(struct writer *w, const struct packet *p)
{
    if (w->failed || p->payload_len == 0) {
        return;
    }
    if (w->size - w->len < 1 + p->payload_len) {
        w->failed = true;
        return;
    }
    w->data[w->len] = PAYLOAD_MARKER;
    memcpy(w->data + w->len + 1, p->payload, p->payload_len);
    w->len += 1 + p->payload_len;
}

size_t
packet_build(const struct packet *p, uint8_t *data, size_t size)
{
    struct writer w = {.size = size};

    w.data = data;
    put_header(&w, p);
    if (p->code != CODE_EMPTY) {
        put_options_etag_to_max_age(&w, p);
        put_options_query_to_size1(&w, p);
        put_options_echo_to_outcome(&w, p);
        put_payload(&w, p);
    }
    return w.failed ? 0 : w.len;
}

static bool
copy_text(char *out, size_t size, const char *text)
{
    size_t len = text == NULL ? 0 : strlen(text);

    if (len >= size) {
        return false;
    }
    memcpy(out, text == NULL ? "" : text, len + 1);
    return true;
}

bool
packet_set_uri(struct packet *p, const char *path, const char *query)
{
    return copy_text(p->path, sizeof(p->path), path) &&
           copy_text(p->query, sizeof(p->query), query);
}

void
packet_init_answer(struct packet *answer, const struct packet *request,
                   uint8_t code, uint16_t message_id)
{
    memset(answer, 0, sizeof(*answer));
    answer->code = code;
    answer->token_len = request->token_len;
    memcpy(answer->token, request->token, request->token_len);
    if (request->type == PACKET_CON) {
        answer->type = PACKET_ACK;
        answer->message_id = request->message_id;
        return;
    }
    answer->type = PACKET_NON;
    answer->message_id = message_id;
}

bool
packet_method_is_idempotent(uint8_t code)
{
    return code != CODE_POST && code != CODE_PATCH;
}

bool
packet_is_request(const struct packet *p)
{
    return CODE_CLASS(p->code) == 0 && p->code != CODE_EMPTY;
}

uint64_t
packet_request_id(const struct packet *p)
{
    uint64_t id = 0;

    if ((p->fields & FIELD_REQUEST_TAG) == 0) {
        return 0;
    }
    for (size_t i = 0; i < p->request_tag_len; i++) {
        id = id << 8 | p->request_tag[i];
    }
    return id;
}

void
packet_set_request_id(struct packet *p, uint64_t id)
{
    assert(id > 0);
    p->request_tag_len = 0;
    for (int shift = 56; shift >= 0; shift -= 8) {
        if (p->request_tag_len > 0 || id >> shift != 0) {
            p->request_tag[p->request_tag_len] = (uint8_t)(id >> shift);
            p->request_tag_len++;
        }
    }
    p->fields |= FIELD_REQUEST_TAG;
}
