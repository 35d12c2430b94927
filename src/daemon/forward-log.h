#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/log-rate-limit.h"
#include "coordination/target-speed.h"
#include "protocol/flow-packet.h"
#include "state/forward-view.h"

/* Log lines about flows: placed, moved, reset or dropped. Each kind has a
 * limit of lines per second. Lines beyond it are counted, and the count is
 * logged once a second. */

enum forward_log_kind {
    FORWARD_LOG_PLACED,  /* a new flow was assigned a target */
    FORWARD_LOG_MOVED,   /* a retransmitted opening packet (SYN) was assigned a
                          * target */
    FORWARD_LOG_RESET,   /* the caller was sent a reset */
    FORWARD_LOG_ENDED,   /* the same, and its flow was open */
    FORWARD_LOG_COOKIE,  /* an open flow's packet names another target */
    FORWARD_LOG_SLOW,    /* a target has become slow */
    FORWARD_LOG_FAILING, /* a target has become failing */
    FORWARD_LOG_DEAD,    /* a target counts as dead */
    FORWARD_LOG_DROPPED, /* a packet was not forwarded, without a reset */
    FORWARD_LOG_KIND_COUNT,
};

struct forward_log {
    struct log_rate_limit rate_limits[FORWARD_LOG_KIND_COUNT];
};

/* State of the view on which a decision was based. */
struct forward_view_info {
    struct store_position position; /* up to which it is complete */
    uint64_t age_us;                /* UINT64_MAX: unknown */
};

/* What the reset of an open flow, or the death of a target, was decided from.
 * Times are ages in microseconds; 0: none. */
struct forward_evidence {
    const char *cause;       /* a name from forward_reset_name() */
    const char *target;      /* id; "unknown" */
    uint64_t alive_age_us;   /* since the last packet that it has answered */
    uint64_t verdict_age_us; /* since it counts as silent */
    unsigned misses;         /* packets that it has not acknowledged */
    const char *reach;       /* a name from target_reach_name() */
};

/* State of an open flow as known here. Ages are in microseconds. */
struct forward_flow_state {
    bool first;           /* this packet is the first one seen here */
    bool waiting;         /* a request waits for its answer */
    unsigned repeats;     /* of the request */
    uint64_t sent_age_us; /* since the last opening packet or request */
    uint64_t open_age_us; /* since the flow is known to be open */
};

void forward_log_init(struct forward_log *log);

/* The time "now" of the following functions is in microseconds of the
 * monotonic clock. */

/* Logs the target of an opening packet. "load" is the load of the target
 * before this flow (passive_health_load()). */
void forward_log_placed(struct forward_log *log,
                        const struct flow_packet *packet,
                        const struct forward_target *target, double load,
                        const struct forward_view_info *view_info,
                        uint64_t now);
/* Logs that a caller was sent a reset. "cause" is a name from
 * forward_reset_name(). */
void forward_log_reset(struct forward_log *log,
                       const struct flow_packet *packet, const char *cause,
                       const struct forward_view_info *view_info,
                       uint64_t now);
/* Logs that an open flow was ended with a reset. */
void forward_log_ended(struct forward_log *log,
                       const struct flow_packet *packet,
                       const struct forward_evidence *evidence,
                       const struct forward_flow_state *state,
                       const struct forward_view_info *view_info,
                       uint64_t now);
/* Logs that a target counts as dead, so that its open flows are ended. */
void forward_log_dead(struct forward_log *log,
                      const struct forward_evidence *evidence, uint64_t now);
/* Logs that a packet of a flow that is open at a target named another one. */
void forward_log_cookie_changed(struct forward_log *log,
                                const struct flow_packet *packet,
                                const char *target,
                                const struct forward_flow_state *state,
                                uint64_t now);
/* Logs that a packet was dropped. "cause" is a name from
 * forward_drop_name(). */
void forward_log_dropped(struct forward_log *log,
                         const struct flow_packet *packet, const char *cause,
                         const struct forward_view_info *view_info,
                         uint64_t now);
/* Logs that a target has become slow, how much, and who found out. */
void forward_log_slow(struct forward_log *log,
                      const struct forward_target *target,
                      const struct target_speed *speed, uint64_t now);
/* Logs that a target fails most of its requests, and who found out. */
void forward_log_failing(struct forward_log *log,
                         const struct forward_target *target,
                         const struct target_speed *speed, uint64_t now);
/* Logs how many lines were suppressed since the last call. To be called once a
 * second. */
void forward_log_tick(struct forward_log *log);
