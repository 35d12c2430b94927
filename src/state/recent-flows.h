#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/list.h"

/* A bounded table of the flows whose packets this forwarder has recently seen,
 * by which it distinguishes new packets from copies and retransmissions.
 * Packets are forwarded without it: they carry their target's cookie. Times
 * are those of a monotonic clock in microseconds. */

/* Maximum number of targets recorded for a flow: those of the opening packet
 * (SYN) and its two copies, and the one that an opening packet of the same
 * caller from another port was last sent to. */
#define RECENT_TRIED_MAX 4

/* Addresses are IPv4 in host byte order. */
struct recent_flow_key {
    uint32_t caller_addr;
    uint32_t route_addr;
    uint16_t caller_port; /* 0: the caller's last opening packet to the route,
                           * from whichever port */
    uint16_t route_port;
};

struct recent_flow {
    struct list link; /* in the table's list, least recently seen first */
    struct recent_flow_key key;
    uint64_t seen_at;   /* when the last packet was seen, us */
    uint64_t sent_at;   /* when the last opening packet or request was
                         * forwarded, us */
    uint64_t opened_at; /* when the flow was first seen open, us */
    uint32_t cookie;    /* cookie of the flow's target, 0: not known yet */
    uint32_t offered;   /* cookie of the target that the last opening packet
                         * was sent to, 0: none */
    uint32_t seq_end;   /* end of the caller's data, as a sequence number */
    uint32_t ack;       /* highest acknowledgement number of the caller */
    bool open;       /* the caller received an answer to its opening packet */
    bool waiting;    /* the request sent at "sent_at" is not answered yet */
    bool closing;    /* the caller has sent its last byte (FIN) */
    bool copied;     /* a copy of its opening packet was seen, or two targets
                      * are known to have accepted it */
    uint8_t repeats; /* retransmissions of that request */
    uint8_t wait_noted; /* see target_speed_on_waiting() */
    uint8_t tried_count;
    uint32_t tried[RECENT_TRIED_MAX]; /* cookies of the targets tried so far */
};

struct recent_flows;

/* "max" is the maximum number of flows. Returns NULL when out of memory. */
struct recent_flows *recent_flows_new(size_t max);
void recent_flows_destroy(struct recent_flows *flows);

/* Returns NULL when the flow is not in the table. The flow is owned by the
 * table and valid until it is removed. */
struct recent_flow *recent_flows_find(struct recent_flows *flows,
                                      const struct recent_flow_key *key);
/* Finds or adds a flow and records that it was seen at "now". If the table is
 * full, adding a flow removes the least recently seen one. */
struct recent_flow *recent_flows_touch(struct recent_flows *flows,
                                       const struct recent_flow_key *key,
                                       uint64_t now);
void recent_flows_remove(struct recent_flows *flows, struct recent_flow *flow);
/* Removes the flows last seen before "since". */
void recent_flows_expire(struct recent_flows *flows, uint64_t since);
/* Iterate over all flows, least recently seen first; both return NULL at the
 * end. */
struct recent_flow *recent_flows_first(struct recent_flows *flows);
struct recent_flow *recent_flows_next(struct recent_flows *flows,
                                      const struct recent_flow *flow);
/* Iterate in the other direction, most recently seen first. */
struct recent_flow *recent_flows_last(struct recent_flows *flows);
struct recent_flow *recent_flows_previous(struct recent_flows *flows,
                                          const struct recent_flow *flow);
size_t recent_flows_count(const struct recent_flows *flows);
