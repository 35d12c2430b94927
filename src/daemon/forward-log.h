#pragma once

#include <stdint.h>

#include "base/log-budget.h"
#include "protocol/flow-packet.h"
#include "state/forward-view.h"

/* Lines about what became of flows. Each kind has a budget a second; what goes
 * beyond it is counted, and the count is written each second. */

enum forward_log_kind {
    FORWARD_LOG_PLACED, /* a new flow got its target */
    FORWARD_LOG_MOVED,  /* a copy of its opening got another */
    FORWARD_LOG_RESET,
    FORWARD_LOG_DROPPED,
    FORWARD_LOG_KIND_COUNT,
};

struct forward_log {
    struct log_budget budgets[FORWARD_LOG_KIND_COUNT];
};

/* What a decision rested on. */
struct forward_log_inputs {
    uint64_t revision; /* of the view */
    uint64_t age_us;   /* of the view; UINT64_MAX: not known */
};

void forward_log_init(struct forward_log *log);

/* "load" is that of the target before this flow. */
void forward_log_placed(struct forward_log *log,
                        const struct flow_packet *packet,
                        const struct forward_target *target, double load,
                        const struct forward_log_inputs *inputs, uint64_t now);
void forward_log_reset(struct forward_log *log,
                       const struct flow_packet *packet, const char *cause,
                       const struct forward_log_inputs *inputs, uint64_t now);
void forward_log_dropped(struct forward_log *log,
                         const struct flow_packet *packet, const char *cause,
                         const struct forward_log_inputs *inputs,
                         uint64_t now);
/* To be called once a second: tells what was left out. */
void forward_log_tick(struct forward_log *log);
