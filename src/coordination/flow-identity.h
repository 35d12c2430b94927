#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "protocol/flow-packet.h"
#include "state/recent-flows.h"

/* Tells which flow a packet belongs to, from what is recorded of the flow with
 * its addresses and ports. A caller repeats its opening packet (SYN), so two
 * targets may answer it. The flow is open at the one whose answer the caller
 * took, but the caller returns the cookie that it received last, which may be
 * the other one's. */

/* Maximum distance between two sequence or acknowledgement numbers of one
 * flow: what either end may have in flight, several times. */
#define FLOW_IDENTITY_WINDOW 76800U

/* A flow that two targets may have accepted, and the one that its caller took,
 * as balancers tell each other: the routers may hand it to any of them. */
struct open_flow_record {
    uint32_t caller_addr; /* IPv4 in host byte order */
    uint32_t route_addr;
    uint16_t caller_port;
    uint16_t route_port;
    uint32_t cookie; /* of the target, see struct forward_target */
    uint32_t ack;    /* acknowledgement number of the caller */
};
/* Maximum number of them in one message. */
#define OPEN_FLOW_RECORDS_MAX 16

/* What an opening packet is to the recorded flow. */
enum opening_kind {
    OPENING_NEW,    /* it begins another flow */
    OPENING_COPY,   /* the target has not answered the last one in time */
    OPENING_REPEAT, /* it shows nothing about the target: the network has
                     * doubled it, or it waited on this host */
    OPENING_LATE,   /* the flow is open */
};

/* What has become of an opening packet that waited on this host, because the
 * process was suspended or the host is overloaded. */
enum opening_wait {
    OPENING_CURRENT,  /* the caller waits for its answer */
    OPENING_REPLACED, /* the caller has sent the next copy */
    OPENING_GIVEN_UP, /* the caller has abandoned the attempt */
};

/* "copy" is the number of the copy, from 0; one that the caller does not send
 * counts as current. */
enum opening_wait flow_identity_wait(uint32_t copy, uint64_t waited_us);
/* "arrived" is when the kernel received the packet. */
enum opening_kind flow_identity_opening(const struct recent_flow *flow,
                                        const struct flow_packet *packet,
                                        uint64_t arrived);
struct recent_flow_key flow_identity_key(const struct flow_packet *packet);
/* Whether a packet that is no opening packet continues the recorded flow,
 * whatever target it names: it acknowledges the numbers of the target that the
 * flow is open at. */
bool flow_identity_continues(const struct recent_flow *flow,
                             const struct flow_packet *packet);
/* Whether it may continue the recorded flow, however much the caller has
 * received since. The numbers of another flow with the same addresses and
 * ports pass in half of all cases: only for packets whose cookie does not
 * tell. */
bool flow_identity_may_continue(const struct recent_flow *flow,
                                const struct flow_packet *packet);
