#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "platform/packet-header.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* The length of a parsed packet does not exceed the size of the datagram, and
 * the reset built to answer the packet parses as a reset addressed to the
 * packet's sender. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct flow_packet packet;
    struct flow_packet answer;
    uint8_t out[FLOW_PACKET_SIZE_MAX];

    if (!platform_packet_format.parse(data, size, &packet)) {
        return 0;
    }
    if (packet.length > size ||
        !platform_packet_format.parse(
            out, platform_packet_format.make_reset(&packet, out), &answer) ||
        answer.flags != FLOW_RST || answer.dst_addr != packet.src_addr ||
        answer.dst_port != packet.src_port) {
        abort();
    }
    return 0;
}
