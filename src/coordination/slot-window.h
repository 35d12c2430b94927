#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/random.h"
#include "state/target-table.h"

/* The share of a target's slots that this balancer uses. Every balancer
 * adapts its own window to the answers it gets: additive increase with each
 * answer, multiplicative decrease when the target sheds a request, and a drift
 * to a moderate size while the target reports a queue. The windows of all
 * balancers together settle round the target's slots without a message between
 * them. With more balancers than slots a window is below one request; it is
 * then a share of the time: the balancer uses the target one request at a time
 * and leaves a pause in proportion after a refusal or a reported queue. */

/* True when a request may be sent now. */
bool slot_window_open(const struct target_state *t, uint64_t now);

/* When a window that is closed now opens by time alone; UINT64_MAX when it
 * takes an answer. */
uint64_t slot_window_opens_us(const struct target_state *t, uint64_t now);

/* A request was sent; call it after target_start(). */
void slot_window_on_start(struct target_state *t, uint64_t now);

/* The target answered; call it after target_finish() and
 * target_record_load(). */
void slot_window_on_answer(struct target_state *t, uint64_t now);

/* The target refused to run the request (503, not run). */
void slot_window_on_shed(struct target_state *t, struct random *random,
                         uint64_t now);
