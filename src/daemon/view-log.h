#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "base/store-position.h"
#include "coordination/cold-claim.h"
#include "coordination/member-table.h"
#include "state/forward-view.h"

/* Log lines about the view of a forwarding balancer, its peers and its calls
 * to the store. */

/* Logs the state of a peer. */
void view_log_member(const struct member *m);
/* Logs that the view has entered a new era of the store, and what of the
 * store's copy is older than the view. */
void view_log_new_era(const struct forward_view *view,
                      struct store_position position);
/* Logs whether new flows of a service are shared with other failure domains.
 */
void view_log_sharing(const char *service, bool sharing, double utilization);
/* Logs whether a failure domain is emptied. */
void view_log_domain(const struct forward_domain *domain);
/* Logs the state of a target. */
void view_log_target(const struct forward_target *target);
/* Logs the result of a call for the claim of a cold target. */
void view_log_claim(const char *target_id, enum cold_claim_action action,
                    const struct status *st);
/* Logs that this balancer begins to watch the store after "position". The view
 * is "age_us" old, UINT64_MAX: its age is not known. */
void view_log_watch(struct store_position position, uint64_t age_us);
/* Logs an answer to a watch with so many changes, which was asked for
 * "asked_us" ago. */
void view_log_changes(struct store_position position, size_t count,
                      uint64_t asked_us);
