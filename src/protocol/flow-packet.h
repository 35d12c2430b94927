#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* What the forwarder reads of a packet of a flow. The layout on the wire is
 * the deployment's: whoever knows it gives a struct flow_packet_format. */

enum flow_flag {
    FLOW_SYN = 1 << 0,
    FLOW_ACK = 1 << 1,
    FLOW_FIN = 1 << 2,
    FLOW_RST = 1 << 3,
};

struct flow_packet {
    uint32_t src_addr; /* IPv4, host byte order */
    uint32_t dst_addr;
    uint16_t src_port;
    uint16_t dst_port;
    unsigned flags;  /* enum flow_flag */
    uint32_t cookie; /* what the sender last received on the flow */
    uint32_t seq;
    uint32_t ack;    /* of a SYN: which copy it is, 0 for the first */
    uint16_t length; /* bytes of data */
};

#define FLOW_PACKET_MAX 1500 /* bytes, header included */
#define FLOW_TAG_SIZE 8      /* bytes in front that name the target */

struct flow_packet_format {
    /* Returns false for anything that is not a whole packet. */
    bool (*parse)(const uint8_t *data, size_t size,
                  struct flow_packet *packet);
    void (*set_cookie)(uint8_t *data, uint32_t cookie);
    /* Writes a reset in answer to "packet", from its destination to its
     * sender, and returns its size. "out" holds FLOW_PACKET_MAX bytes. */
    size_t (*make_reset)(const struct flow_packet *packet, uint8_t *out);
};
