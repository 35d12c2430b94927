#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/random.h"
#include "state/target-table.h"

/* Limits the share of a target's slots that this balancer uses. Each balancer
 * adapts its own window to the answers that it receives: additive increase
 * with each answer, multiplicative decrease when the target sheds a request,
 * and a gradual move to a moderate size while the target reports a queue. The
 * windows of all balancers together converge on the number of slots of the
 * target without any message between the balancers. With more balancers than
 * slots, a window is smaller than one request and becomes a share of time: the
 * balancer sends one request at a time and pauses in proportion after a
 * refusal or a reported queue. */

/* Whether a request may be sent now. */
bool slot_window_is_open(const struct target_state *t, uint64_t now);

/* Returns the time at which a closed window opens without a further answer,
 * "now" when it is open, and UINT64_MAX when it needs an answer to open. */
uint64_t slot_window_opens_us(const struct target_state *t, uint64_t now);

/* A request was sent. To be called after target_request_begin(). */
void slot_window_on_start(struct target_state *t, uint64_t now);

/* The target answered. To be called after target_request_end() and
 * target_record_load(). */
void slot_window_on_answer(struct target_state *t, uint64_t now);

/* The target refused a request without running it (503, not run). */
void slot_window_on_shed(struct target_state *t, struct random *random,
                         uint64_t now);
