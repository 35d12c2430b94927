#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "state/target-signs.h"

/* What the callers' packets tell of a target. The answers go past us, so a
 * sign of life is a caller that goes on; none is one that tries again. */

/* A request, or an opening, was passed on. */
void passive_health_sent(struct target_signs *signs, uint64_t now);
/* A caller has had an answer from it. */
void passive_health_answered(struct target_signs *signs, uint64_t now);
/* A caller that was sent there at "sent_at" tries again without an answer. */
void passive_health_missed(struct target_signs *signs, uint64_t sent_at,
                           uint64_t now);
/* Whether new flows should go elsewhere if they can. Now and then one is let
 * through to see; passive_health_tried() notes that it was. */
bool passive_health_avoid(const struct target_signs *signs, uint64_t now);
void passive_health_tried(struct target_signs *signs, uint64_t now);
/* Requests of the last seconds, decayed. */
double passive_health_load(const struct target_signs *signs, uint64_t now);
