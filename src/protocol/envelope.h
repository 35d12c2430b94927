#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The relay envelope, one msgpack message a UDP datagram, between a balancer
 * that received a packet and the packet's home. */

#define ENVELOPE_OVERHEAD 64 /* bytes added to the packet, at most */

enum envelope_kind {
    ENVELOPE_RELAY = 1,    /* a caller's datagram, for its home */
    ENVELOPE_ACCEPTED = 2, /* the home has taken or answered it */
    ENVELOPE_REJECTED = 3, /* the home has another incarnation or is gone */
};

struct envelope {
    enum envelope_kind kind;
    uint32_t relay_id;    /* chosen by the relaying balancer, echoed back */
    uint32_t caller_addr; /* IPv4, host byte order */
    uint16_t caller_port;
    uint16_t service_port; /* port on which the packet was received */
    uint64_t incarnation;  /* of the home that is meant, or that answers */
    const uint8_t *packet; /* the datagram; empty unless ENVELOPE_RELAY */
    size_t packet_len;
};

/* Returns the size, or 0 when it does not fit. */
size_t envelope_build(const struct envelope *e, uint8_t *data, size_t size);
/* "packet" points into "data" afterwards. */
bool envelope_parse(struct envelope *e, const uint8_t *data, size_t size);
