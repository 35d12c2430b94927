#include "codec-checks.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/envelope.h"
#include "protocol/packet.h"
#include "protocol/token.h"

/* Maximum size of a packet or envelope built from an input, bytes.
 * Percent-encoding can triple the size of a path. */
#define BUILT_SIZE_MAX (4 * CODEC_INPUT_MAX)

static void
require(int condition, const char *property)
{
    if (!condition) {
        fprintf(stderr, "property does not hold: %s\n", property);
        abort();
    }
}

static void
check_packet_fields(const struct packet *p, const uint8_t *data, size_t size)
{
    require(p->token_len <= PACKET_TOKEN_MAX, "CoAP token fits");
    require(p->echo_len <= PACKET_ECHO_MAX, "Echo fits");
    require(p->request_tag_len <= PACKET_REQUEST_TAG_MAX, "Request-Tag fits");
    require(p->etag_len <= PACKET_ETAG_MAX, "ETag fits");
    require(memchr(p->path, '\0', sizeof(p->path)) != NULL, "path ends");
    require(memchr(p->query, '\0', sizeof(p->query)) != NULL, "query ends");
    require(
        p->payload_len == 0 ||
            (p->payload >= data && p->payload + p->payload_len == data + size),
        "payload is the end of the datagram");
}

void
check_packet(const uint8_t *data, size_t size)
{
    uint8_t first[BUILT_SIZE_MAX];
    uint8_t second[BUILT_SIZE_MAX];
    struct packet p;
    size_t first_size;
    size_t second_size;

    if (packet_parse(&p, data, size) != ERR_NONE) {
        return;
    }
    check_packet_fields(&p, data, size);
    first_size = packet_build(&p, first, sizeof(first));
    require(first_size > 0, "a parsed packet can be built");
    require(packet_parse(&p, first, first_size) == ERR_NONE,
            "a built packet can be parsed");
    second_size = packet_build(&p, second, sizeof(second));
    require(first_size == second_size &&
                memcmp(first, second, first_size) == 0,
            "building is stable");
}

void
check_token(const uint8_t *data, size_t size)
{
    static const struct key_ring ring = {
        .count = 1, .keys = {{.id = 7, .secret = "a secret of the tests"}}};
    uint8_t sealed[TOKEN_SIZE];
    struct flow_token token;

    if (!token_open(&token, &ring, data, size)) {
        return;
    }
    require(size == TOKEN_SIZE, "a token has its size");
    token_seal(&token, &ring, sealed);
    require(memcmp(sealed, data, TOKEN_SIZE) == 0, "only sealed tokens open");
}

void
check_envelope(const uint8_t *data, size_t size)
{
    uint8_t built[BUILT_SIZE_MAX];
    struct envelope a;
    struct envelope b;
    size_t built_size;

    if (!envelope_parse(&a, data, size)) {
        return;
    }
    built_size = envelope_build(&a, built, sizeof(built));
    require(built_size > 0 &&
                built_size <= a.packet_len + ENVELOPE_OVERHEAD_MAX,
            "a parsed envelope can be built");
    require(envelope_parse(&b, built, built_size),
            "a built envelope can be parsed");
    require(a.kind == b.kind && a.relay_id == b.relay_id &&
                a.caller_addr == b.caller_addr &&
                a.caller_port == b.caller_port &&
                a.service_port == b.service_port &&
                a.incarnation == b.incarnation && a.packet_len == b.packet_len,
            "fields are kept");
    require(a.packet_len == 0 || memcmp(a.packet, b.packet, a.packet_len) == 0,
            "the packet is kept");
}
