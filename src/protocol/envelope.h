#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The relay envelope. A balancer that receives a CoAP datagram for a flow of
 * another balancer wraps it in an envelope and sends it to that balancer, the
 * flow's home, which acknowledges it with an envelope of its own. Each
 * envelope is one msgpack array in one UDP datagram. */

/* Maximum number of bytes that the envelope adds to the relayed datagram. */
#define ENVELOPE_OVERHEAD_MAX 64

enum envelope_kind {
    ENVELOPE_RELAY = 1,    /* carries a caller's datagram to the home */
    ENVELOPE_ACCEPTED = 2, /* reply: the home handles the datagram */
    ENVELOPE_REJECTED = 3, /* reply: the home cannot serve the service port */
};

struct envelope {
    enum envelope_kind kind;
    uint32_t relay_id; /* chosen by the relaying balancer; copied to a reply */
    uint32_t caller_addr;  /* IPv4, host byte order; 0 in a reply */
    uint16_t caller_port;  /* 0 in a reply */
    uint16_t service_port; /* port that received the datagram; 0 in a reply */
    /* Incarnation of the home that the flow token names; in a reply, of the
     * balancer that replies. */
    uint64_t incarnation;
    const uint8_t *packet; /* the relayed datagram, not owned */
    size_t packet_len;     /* more than 0 only for ENVELOPE_RELAY */
};

/* Encodes an envelope into "data", which holds "size" bytes. Returns the
 * number of bytes written, or 0 when the envelope does not fit. */
size_t envelope_build(const struct envelope *e, uint8_t *data, size_t size);
/* Decodes an envelope; e->packet then points into "data". Returns false, with
 * "e" partly filled, unless "data" is exactly one well-formed envelope that
 * carries a datagram if and only if it is an ENVELOPE_RELAY. */
bool envelope_parse(struct envelope *e, const uint8_t *data, size_t size);
