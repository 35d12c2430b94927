#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/random.h"
#include "coordination/domain-load.h"

/* Decides which new flows are refused while a service gets more requests than
 * its targets can run. Openings are divided into classes by the priority of
 * their route and by whether its requests may be repeated; the least urgent
 * ones are refused first. See docs/design/opening-admission.md. It has no
 * socket and no clock. Times are monotonic, in microseconds.
 *
 * Answers the load of all callers that exceeds the room of all targets: full
 * targets would refuse or cut requests of any class, also those that may not
 * be repeated. */

/* Priorities that are told apart; less urgent ones count as the last. */
#define OPENING_PRIORITIES 8
#define OPENING_CLASSES (2 * OPENING_PRIORITIES)
/* Interval between two updates of a service. */
#define OPENING_UPDATE_US (100 * USEC_PER_MSEC)
/* Time for which counts must have been taken without a pause. */
#define OPENING_MEASURING_US (5 * USEC_PER_SEC)

struct opening_admission;

/* Returns NULL when out of memory. */
struct opening_admission *opening_admission_new(void);
void opening_admission_destroy(struct opening_admission *a);

/* Calls "cb" when openings of a service begin to be refused, and when that
 * ends. */
void opening_admission_on_change(struct opening_admission *a,
                                 void (*cb)(void *ctx, const char *service,
                                            bool refusing, double utilization),
                                 void *ctx);

/* Returns the class of a route's openings, 0 for the most urgent. */
size_t opening_class(const struct route_record *route);

/* Whether OPENING_UPDATE_US have passed since the last update of a service,
 * whose name must be interned. */
bool opening_admission_is_due(const struct opening_admission *a,
                              const char *service, uint64_t now);
/* Updates the parts of the openings that are admitted. "state" is NULL when
 * the load of the service is unknown. */
void opening_admission_update(struct opening_admission *a, const char *service,
                              const struct domain_load_state *state,
                              uint64_t now);
/* Counts the first opening packet of a flow and returns whether the flow is
 * admitted. */
bool opening_admission_admits(struct opening_admission *a, const char *service,
                              const struct route_record *route,
                              struct random *random, uint64_t now);
