#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"

/* CoAP messages (RFC 7252) in decoded form, with the options that the balancer
 * and its clients use. libcoap parses and encodes the individual options. */

#define PACKET_SIZE_MAX 1472 /* bytes; not fragmented at an IP MTU of 1500 */
#define PACKET_TOKEN_MAX 8   /* bytes, RFC 7252 section 3 */
#define PACKET_PATH_MAX 256  /* bytes of "/a/b", final NUL included */
#define PACKET_QUERY_MAX 256 /* bytes of "a=1&b=2", final NUL included */
#define PACKET_ECHO_MAX 40   /* bytes of Echo, RFC 9175 section 2.2.1 */
#define PACKET_ETAG_MAX 8    /* bytes, RFC 7252 section 5.10 */
#define PACKET_SZX_MAX 6     /* blocks of 1024 bytes, RFC 7959 section 2.2 */
#define PACKET_REQUEST_TAG_MAX                                                \
    8 /* bytes of Request-Tag, RFC 9175 section 3.2.1 */

/* Numbers of two elective options that this project defines, from the range
 * for experimental use (RFC 7252 section 12.2). */
#define PACKET_OPTION_DEADLINE 65000 /* uint, milliseconds left */
#define PACKET_OPTION_OUTCOME 65004  /* uint, enum packet_outcome */

enum packet_type {
    PACKET_CON = 0,
    PACKET_NON = 1,
    PACKET_ACK = 2,
    PACKET_RST = 3,
};

/* Value of the CoAP code "class.detail", such as 4.04. */
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

/* What an error answer says about the rejected request: the value of
 * PACKET_OPTION_OUTCOME. */
enum packet_outcome {
    OUTCOME_NONE = 0,    /* no statement; the option is absent */
    OUTCOME_NOT_RUN = 1, /* no target has run the request or will run it */
    OUTCOME_UNKNOWN = 2, /* a target may have run the request */
};

/* Bits of packet.fields: which optional fields of a packet are present. */
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

/* Value of a Block1 or Block2 option (RFC 7959 section 2.2). */
struct packet_block {
    uint32_t num; /* block number, from 0 */
    bool more;    /* more blocks follow */
    uint8_t szx;  /* size exponent: a block has 1 << (szx + 4) bytes */
};

struct packet {
    enum packet_type type;
    uint8_t code;
    uint16_t message_id;
    uint8_t token[PACKET_TOKEN_MAX];
    uint8_t token_len;

    unsigned fields;              /* bitwise OR of enum packet_field */
    char path[PACKET_PATH_MAX];   /* "" or "/seg/seg", percent-encoded */
    char query[PACKET_QUERY_MAX]; /* "" or "k=v&k=v", percent-encoded */
    uint8_t echo[PACKET_ECHO_MAX];
    uint8_t echo_len;
    uint8_t request_tag[PACKET_REQUEST_TAG_MAX];
    uint8_t request_tag_len;
    uint8_t etag[PACKET_ETAG_MAX];
    uint8_t etag_len;
    /* RFC 7641: in a request 0 to register and 1 to deregister, in a
     * notification the sequence number (24 bits). */
    uint32_t observe;
    struct packet_block block1;
    struct packet_block block2;
    uint32_t size1; /* bytes of the request body, RFC 7959 section 4 */
    uint32_t size2; /* bytes of the answer's body, RFC 7959 section 4 */
    uint32_t max_age_s;
    uint32_t deadline_ms;    /* time left until the deadline */
    uint16_t content_format; /* Content-Format number */
    uint16_t accept;         /* Content-Format number */
    enum packet_outcome outcome;

    /* Not owned: points into the datagram given to packet_parse(), or to
     * memory of the code that builds the packet. */
    const uint8_t *payload;
    size_t payload_len;
};

/* Decodes a datagram. Returns
 * - ERR_NONE;
 * - ERR_BAD_PACKET when it is not a CoAP message, for the receiver to drop;
 * - ERR_BAD_OPTION when a critical option is unknown, malformed or too long,
 * or is repeated although it may occur only once. The header and the token are
 * decoded, so that the receiver can answer with 4.02 (Bad Option). Uri-Host
 * and Uri-Port are accepted and ignored. */
enum error_kind packet_parse(struct packet *p, const uint8_t *data,
                             size_t size);

/* Encodes a packet into "data", which holds "size" bytes. Returns the number
 * of bytes written, or 0 when the packet does not fit or its path or query is
 * malformed or has a part of more than 255 bytes. An empty message
 * (CODE_EMPTY) is written as header and token only. */
size_t packet_build(const struct packet *p, uint8_t *data, size_t size);

/* Copies a percent-encoded path and query into the packet; each may be NULL
 * for none. Returns false when one does not fit. */
bool packet_set_uri(struct packet *p, const char *path, const char *query);

/* Clears "answer" and fills its header as an answer to "request", with the
 * request's token: an ACK with the request's message ID if the request is a
 * CON (RFC 7252 section 5.2.1), otherwise a NON with "message_id" (section
 * 5.2.3). */
void packet_init_answer(struct packet *answer, const struct packet *request,
                        uint8_t code, uint16_t message_id);

/* Returns true for methods that are idempotent, so that a request may be sent
 * again when its outcome is unknown: all but POST and PATCH (RFC 7252 section
 * 5.8, RFC 8132 sections 2 and 3). */
bool packet_method_is_idempotent(uint8_t code);
bool packet_is_request(const struct packet *p);

/* Returns the Request-Tag as a big-endian number, or 0 when it is absent or
 * empty. */
uint64_t packet_request_id(const struct packet *p);
/* Sets the Request-Tag to "id", which must not be 0, big-endian without
 * leading zero bytes. */
void packet_set_request_id(struct packet *p, uint64_t id);
