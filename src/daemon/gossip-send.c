#include "daemon/gossip-send.h"

#define LOG_MODULE "gossip"
#include "base/clock.h"
#include "base/log.h"
#include "protocol/gossip-codec.h"

void
gossip_send_message(struct gossip_endpoint *ep, uint32_t addr, uint16_t port,
                    const struct gossip_message *m)
{
    uint8_t data[GOSSIP_MESSAGE_SIZE_MAX];
    size_t size = gossip_encode(m, data, sizeof(data));

    if (size == 0) {
        LOG_WARN(
            "dropping a gossip message of kind %d: it exceeds the size limit",
            m->kind);
        return;
    }
    gossip_endpoint_send(ep, addr, port, data, size, clock_monotonic_us());
}
