#include "coordination/flow-identity.h"

#include <stddef.h>

#include "base/clock.h"
#include "coordination/passive-health.h"

/* When the caller sends each copy of its opening packet, after the first, and
 * when it abandons the attempt. */
static const uint64_t sent_at_us[] = {0, 200 * USEC_PER_MSEC,
                                      600 * USEC_PER_MSEC};
#define ABANDONED_AT_US (1400 * USEC_PER_MSEC)

enum opening_wait
flow_identity_wait(uint32_t copy, uint64_t waited_us)
{
    const size_t count = sizeof(sent_at_us) / sizeof(*sent_at_us);

    if (copy >= count) {
        return OPENING_CURRENT;
    }
    if (sent_at_us[copy] + waited_us > ABANDONED_AT_US) {
        return OPENING_GIVEN_UP;
    }
    return copy + 1 < count &&
                   sent_at_us[copy] + waited_us > sent_at_us[copy + 1]
               ? OPENING_REPLACED
               : OPENING_CURRENT;
}

enum opening_kind
flow_identity_opening(const struct recent_flow *flow,
                      const struct flow_packet *packet, uint64_t arrived)
{
    uint32_t sent = flow->seq_end - (packet->seq + 1);

    if (flow->open) {
        return sent <= FLOW_IDENTITY_WINDOW ? OPENING_LATE : OPENING_NEW;
    }
    if (flow->offered == 0 || sent != 0) {
        return OPENING_NEW;
    }
    return packet->ack == 0 ||
                   arrived < flow->sent_at + PASSIVE_HEALTH_MISS_MIN_US
               ? OPENING_REPEAT
               : OPENING_COPY;
}

struct recent_flow_key
flow_identity_key(const struct flow_packet *packet)
{
    return (struct recent_flow_key){
        .caller_addr = packet->src_addr,
        .caller_port = packet->src_port,
        .route_addr = packet->dst_addr,
        .route_port = packet->dst_port,
    };
}

bool
flow_identity_continues(const struct recent_flow *flow,
                        const struct flow_packet *packet)
{
    uint32_t ahead = packet->ack - flow->ack;
    uint32_t behind = flow->ack - packet->ack;

    return flow->open &&
           (ahead <= FLOW_IDENTITY_WINDOW || behind <= FLOW_IDENTITY_WINDOW);
}

bool
flow_identity_may_continue(const struct recent_flow *flow,
                           const struct flow_packet *packet)
{
    /* The difference of two numbers of a flow that has carried less than
     * 2 GiB. */
    int32_t ahead = (int32_t)(packet->ack - flow->ack);

    return flow->open && ahead >= -(int32_t)FLOW_IDENTITY_WINDOW;
}
