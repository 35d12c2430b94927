#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "coordination/domain-load.h"
#include "coordination/flow-identity.h"
#include "coordination/peer-clocks.h"
#include "coordination/target-speed.h"
#include "state/view-delta.h"

/* Decoded messages between balancers about their views; protocol/view-codec.h
 * encodes and decodes them. Every message is one-way. */

enum view_message_kind {
    VIEW_DELTA = 1, /* a delta, and when the store confirmed it */
    VIEW_PULL,      /* asks for the changes after the position "delta.from" */
    VIEW_OBSERVATIONS, /* observations of targets that do not answer */
    VIEW_ANNOUNCE,     /* the newest positions without records, so that the
                        * receiver pulls what it lacks */
    VIEW_PRUNE,        /* asks for announcements instead of deltas, because the
                        * sender gets the deltas sooner from another peer */
    VIEW_LOAD,         /* load of the services by failure domain */
    VIEW_SLOW_TARGETS, /* targets that take longer than usual */
    VIEW_OPEN_FLOWS,   /* flows that two targets may have accepted */
    VIEW_MESSAGE_KIND_END,
};

#define VIEW_OBSERVATIONS_MAX 64 /* maximum observations in one message */

/* Exclusive upper end of "position" in a message, the place of a balancer in
 * the order in which balancers watch the store: 0 is first. */
#define VIEW_POSITION_END 65536U

#define OBSERVATION_SILENT 255U

/* Observation of a target that does not answer the sender's callers, or of an
 * answer that contradicts such observations. */
struct observation_record {
    uint32_t cookie; /* of the target, see struct forward_target */
    /* Unanswered requests since the last report; 0: the target answered;
     * OBSERVATION_SILENT: the sender regards it as silent. */
    uint32_t misses;
    /* Time since the first request without an answer was sent, which may be
     * older than the last report; or time since the target is known to have
     * been alive. */
    uint64_t sent_age_us;
};

struct view_message {
    enum view_message_kind kind;
    uint32_t sender_addr; /* IPv4 of the gossip endpoint, host byte order */
    uint16_t sender_port;
    bool relay_to_neighbors; /* receiver relays the delta to its neighbors */
    bool confirmed;          /* "age_us" is valid */
    uint64_t age_us;   /* time since the store confirmed the sender's view */
    uint32_t position; /* position of the balancer that the store answered */
    /* Clocks of this balancer and of the sender, and the times by them when
     * the store answered, and when the message was sent; no clocks (id 0) in
     * messages of earlier builds */
    struct clock_time answered;
    struct clock_time sent;
    struct view_delta delta;
    size_t observation_count;
    struct observation_record observations[VIEW_OBSERVATIONS_MAX];
    size_t load_count; /* of VIEW_LOAD only */
    struct domain_load_record load[DOMAIN_LOAD_RECORDS_MAX];
    /* Of VIEW_SLOW_TARGETS; in an encoded message they take the place of the
     * observations, which it does not have. */
    size_t slow_target_count;
    struct slow_target_record slow_targets[SLOW_TARGET_RECORDS_MAX];
    /* Of VIEW_OPEN_FLOWS, in the same place */
    size_t open_flow_count;
    struct open_flow_record open_flows[OPEN_FLOW_RECORDS_MAX];
};
