#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The fields of a flow's packet that the forwarder reads. The byte layout
 * depends on the deployment: the platform's code parses and writes it and
 * provides the functions in a struct flow_packet_format. */

enum flow_flag {
    FLOW_SYN = 1 << 0,
    FLOW_ACK = 1 << 1,
    FLOW_FIN = 1 << 2,
    FLOW_RST = 1 << 3,
};

struct flow_packet {
    uint32_t src_addr; /* IPv4, host byte order */
    uint32_t dst_addr; /* IPv4, host byte order */
    uint16_t src_port;
    uint16_t dst_port;
    unsigned flags;  /* bitwise OR of enum flow_flag */
    uint32_t cookie; /* echo of the cookie last received on the flow */
    uint32_t seq;    /* sequence number of the first byte of data */
    /* Next sequence number that the sender expects; in a SYN: number of copies
     * sent before this one. */
    uint32_t ack;
    uint16_t length; /* bytes of data after the header */
};

/* Maximum size of a packet, bytes, header included. */
#define FLOW_PACKET_SIZE_MAX 1500

struct flow_packet_format {
    /* Decodes a packet. Returns false when "data" is not exactly one packet.
     */
    bool (*parse)(const uint8_t *data, size_t size,
                  struct flow_packet *packet);
    /* Overwrites the cookie in a packet that parse() accepted. */
    void (*set_cookie)(uint8_t *data, uint32_t cookie);
    /* Writes a reset (RST) that answers "packet", addressed from its
     * destination to its source. "out" holds FLOW_PACKET_SIZE_MAX bytes.
     * Returns the size of the reset. */
    size_t (*make_reset)(const struct flow_packet *packet, uint8_t *out);
};
