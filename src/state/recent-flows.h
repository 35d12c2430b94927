#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/list.h"

/* The flows whose packets this forwarder has seen lately, bounded. No packet
 * needs it to find its target; it tells copies and retransmissions from new
 * packets. */

/* Targets given to the copies of one opening: three, and that of an opening
 * from another port that was refused. */
#define RECENT_TRIED_MAX 4

struct recent_flow_key {
    uint32_t caller_addr;
    uint32_t route_addr;
    uint16_t caller_port;
    uint16_t route_port;
};

struct recent_flow {
    struct list link; /* least recently seen first */
    struct recent_flow_key key;
    uint64_t seen;    /* last packet, us */
    uint64_t sent_at; /* last opening or request passed on, us */
    uint32_t cookie;  /* of its target, 0: none yet */
    uint32_t seq_end; /* end of the data seen so far */
    uint32_t ack;     /* highest seen */
    bool open;        /* the caller has had an answer to its opening */
    bool waiting;     /* for a sign of life after "sent_at" */
    uint8_t repeats;  /* of the same data, without progress */
    uint8_t tried_count;
    uint32_t tried[RECENT_TRIED_MAX]; /* cookies */
};

struct recent_flows;

struct recent_flows *recent_flows_new(size_t max);
void recent_flows_destroy(struct recent_flows *flows);

struct recent_flow *recent_flows_find(struct recent_flows *flows,
                                      const struct recent_flow_key *key);
/* Finds or adds a flow and notes that it was seen; when full, the one that was
 * silent for longest has to go. */
struct recent_flow *recent_flows_touch(struct recent_flows *flows,
                                       const struct recent_flow_key *key,
                                       uint64_t now);
void recent_flows_remove(struct recent_flows *flows, struct recent_flow *flow);
/* Drops those not seen since "since". */
void recent_flows_expire(struct recent_flows *flows, uint64_t since);
/* All flows, least recently seen first; NULL ends them. */
struct recent_flow *recent_flows_first(struct recent_flows *flows);
struct recent_flow *recent_flows_next(struct recent_flows *flows,
                                      const struct recent_flow *flow);
size_t recent_flows_count(const struct recent_flows *flows);
