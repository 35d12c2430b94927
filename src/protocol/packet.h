#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"

/* CoAP messages (RFC 7252) as the system uses them: a decoded form with the
 * options that it understands. libcoap parses and encodes the options. */

#define PACKET_SIZE_MAX 1472 /* bytes of a datagram, no IP fragmentation */
#define PACKET_TOKEN_MAX 8   /* bytes, RFC 7252 section 3 */
#define PACKET_PATH_MAX 256  /* bytes with the final NUL, "/a/b" form */
#define PACKET_QUERY_MAX 256 /* bytes with the final NUL, "a=1&b=2" form */
#define PACKET_ECHO_MAX 40   /* bytes, RFC 9175 section 2.2.1 */
#define PACKET_ETAG_MAX 8    /* bytes, RFC 7252 section 5.10 */
#define PACKET_SZX_MAX 6     /* blocks of 1024 bytes, RFC 7959 section 2.2 */
#define PACKET_TAG_MAX 8     /* bytes, RFC 9175 section 3.2.1 */

/* Elective options of our own, from the experimental range of RFC 7252
 * section 12.2. */
#define PACKET_OPTION_DEADLINE 65000 /* uint, milliseconds left */
#define PACKET_OPTION_OUTCOME 65004  /* uint, enum packet_outcome */

enum packet_type {
    PACKET_CON = 0,
    PACKET_NON = 1,
    PACKET_ACK = 2,
    PACKET_RST = 3,
};

/* Codes as class << 5 | detail. */
#define PACKET_CODE(class, detail) ((class) << 5 | (detail))

enum packet_code {
    CODE_EMPTY = 0,
    CODE_GET = 1,
    CODE_POST = 2,
    CODE_PUT = 3,
    CODE_DELETE = 4,
    CODE_FETCH = 5,
    CODE_PATCH = 6,
    CODE_IPATCH = 7,
    CODE_CREATED = PACKET_CODE(2, 1),
    CODE_DELETED = PACKET_CODE(2, 2),
    CODE_VALID = PACKET_CODE(2, 3),
    CODE_CHANGED = PACKET_CODE(2, 4),
    CODE_CONTENT = PACKET_CODE(2, 5),
    CODE_CONTINUE = PACKET_CODE(2, 31),
    CODE_BAD_REQUEST = PACKET_CODE(4, 0),
    CODE_UNAUTHORIZED = PACKET_CODE(4, 1),
    CODE_BAD_OPTION = PACKET_CODE(4, 2),
    CODE_FORBIDDEN = PACKET_CODE(4, 3),
    CODE_NOT_FOUND = PACKET_CODE(4, 4),
    CODE_METHOD_NOT_ALLOWED = PACKET_CODE(4, 5),
    CODE_INCOMPLETE = PACKET_CODE(4, 8),
    CODE_CONFLICT = PACKET_CODE(4, 9),
    CODE_PRECONDITION_FAILED = PACKET_CODE(4, 12),
    CODE_TOO_LARGE = PACKET_CODE(4, 13),
    CODE_TOO_MANY_REQUESTS = PACKET_CODE(4, 29),
    CODE_INTERNAL_ERROR = PACKET_CODE(5, 0),
    CODE_BAD_GATEWAY = PACKET_CODE(5, 2),
    CODE_UNAVAILABLE = PACKET_CODE(5, 3),
    CODE_GATEWAY_TIMEOUT = PACKET_CODE(5, 4),
};

/* What a refusal says of the request (value of PACKET_OPTION_OUTCOME). */
enum packet_outcome {
    OUTCOME_NONE = 0,
    OUTCOME_NOT_RUN = 1, /* it was not run, and never will be */
    OUTCOME_UNKNOWN = 2, /* it may have run */
};

/* Which optional fields of a packet are present. */
enum packet_field {
    FIELD_ECHO = 1 << 0,
    FIELD_REQUEST_TAG = 1 << 1,
    FIELD_OBSERVE = 1 << 2,
    FIELD_BLOCK1 = 1 << 3,
    FIELD_BLOCK2 = 1 << 4,
    FIELD_SIZE1 = 1 << 5,
    FIELD_SIZE2 = 1 << 6,
    FIELD_ETAG = 1 << 7,
    FIELD_MAX_AGE = 1 << 8,
    FIELD_CONTENT_FORMAT = 1 << 9,
    FIELD_ACCEPT = 1 << 10,
    FIELD_DEADLINE = 1 << 11,
    FIELD_OUTCOME = 1 << 12,
};

/* A Block1 or Block2 value (RFC 7959 section 2.2). The size of a block in
 * bytes is 1 << (szx + 4). */
struct packet_block {
    uint32_t num;
    bool more;
    uint8_t szx;
};

struct packet {
    enum packet_type type;
    uint8_t code;
    uint16_t message_id;
    uint8_t token[PACKET_TOKEN_MAX];
    uint8_t token_len;

    unsigned fields;              /* enum packet_field */
    char path[PACKET_PATH_MAX];   /* "" or "/seg/seg", percent-encoded */
    char query[PACKET_QUERY_MAX]; /* "" or "k=v&k=v", percent-encoded */
    uint8_t echo[PACKET_ECHO_MAX];
    uint8_t echo_len;
    uint8_t request_tag[PACKET_TAG_MAX];
    uint8_t request_tag_len;
    uint8_t etag[PACKET_ETAG_MAX];
    uint8_t etag_len;
    uint32_t observe; /* RFC 7641: 0 register, 1 deregister, else sequence */
    struct packet_block block1;
    struct packet_block block2;
    uint32_t size1;
    uint32_t size2;
    uint32_t max_age_s;
    uint32_t deadline_ms;
    uint16_t content_format;
    uint16_t accept;
    enum packet_outcome outcome;

    const uint8_t *payload; /* points into the parsed or the caller's buffer */
    size_t payload_len;
};

/* Decodes a datagram. Returns ERR_NONE, ERR_BAD_PACKET (to be dropped) or
 * ERR_BAD_OPTION (a critical option that we do not know, or a malformed one;
 * the header and token are decoded, so a 4.02 can be sent). Uri-Host and
 * Uri-Port are understood and ignored. */
enum error_kind packet_parse(struct packet *p, const uint8_t *data,
                             size_t size);

/* Encodes a packet; options go in ascending order. Returns the size, or 0
 * when it does not fit. */
size_t packet_build(const struct packet *p, uint8_t *data, size_t size);

/* Copies a path and a query, which may be NULL. Returns false when they do not
 * fit. */
bool packet_set_uri(struct packet *p, const char *path, const char *query);

/* Fills the header of an answer to "request": an ACK for a CON, a NON for a
 * NON, with its token; "message_id" is used for a NON. */
void packet_init_answer(struct packet *answer, const struct packet *request,
                        uint8_t code, uint16_t message_id);

/* True for methods that may be repeated safely: all but POST and PATCH. */
bool packet_method_is_repeatable(uint8_t code);
bool packet_is_request(const struct packet *p);

/* Reads a Request-Tag as a big-endian number, 0 when absent. */
uint64_t packet_request_id(const struct packet *p);
void packet_set_request_id(struct packet *p, uint64_t id);
