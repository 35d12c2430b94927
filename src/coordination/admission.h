#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/list.h"
#include "base/random.h"
#include "base/status.h"
#include "state/resource.h"

/* Admission control of one service: a bounded queue per traffic class holds
 * the requests that wait for a slot of a target. The tenants of a class share
 * the slots fairly (deficit round robin, Shreedhar and Varghese 1995). A
 * request that cannot start in time is refused when it arrives. Streams use no
 * slot and are not queued. */

/* Queue entry, embedded in the structure of the waiting request. Times are of
 * the monotonic clock. */
struct admission_entry {
    /* In admission_tenant.entries; an empty list when not queued */
    struct list link;
    /* Queue that holds the entry */
    struct admission_tenant *tenant;
    uint64_t queued_us;
    /* The entry expires when it has not started by then. */
    uint64_t start_by_us;
};

struct admission_limits {
    uint32_t queue; /* maximum number of waiting requests per class */
};

struct admission;

/* Returns NULL when out of memory. "random" must outlive the result. */
struct admission *admission_new(const struct admission_limits *limits,
                                struct random *random);
/* Accepts NULL. The queues must be empty. */
void admission_destroy(struct admission *adm);

/* Queues a request of a tenant that must be answered by "deadline_us"
 * (monotonic clock). The class must come before CLASS_STREAM. Returns ERR_NONE
 * when the request is queued. Returns ERR_OVERLOADED (no space for this
 * tenant), ERR_DEADLINE (the estimated wait is too long) or ERR_NO_MEMORY when
 * it is not; "retry_after_ms" then receives the delay after which the request
 * is worth sending again. */
enum error_kind admission_enqueue(struct admission *adm,
                                  struct admission_entry *entry,
                                  const char *tenant, enum traffic_class class,
                                  uint64_t deadline_us, uint64_t now,
                                  uint32_t *retry_after_ms);

/* Returns the request that starts next, or NULL when none waits. It stays
 * queued until admission_start() removes it, once a target has been found. */
struct admission_entry *admission_peek(struct admission *adm);
/* Removes the entry from its queue for its start and charges its tenant. */
void admission_start(struct admission *adm, struct admission_entry *entry);

/* Puts a started request back at the head of its tenant's queue, because its
 * target did not run it. The request was admitted before, so its deadline and
 * the space in the queue are not checked again. Returns false when out of
 * memory. */
bool admission_requeue(struct admission *adm, struct admission_entry *entry,
                       const char *tenant, enum traffic_class class,
                       uint64_t now);

/* Removes one request that can no longer be answered in time from its queue
 * and returns it, or NULL when there is none. The owner refuses it as not run.
 * To be called until it returns NULL before admission_peek(), and at
 * admission_next_expiry_us() at the latest. */
struct admission_entry *admission_take_expired(struct admission *adm,
                                               uint64_t now);

/* Lower bound of the time of the next expiry (monotonic clock); the request
 * that it was computed for may have left the queue since. UINT64_MAX when
 * there is nothing to expire. */
uint64_t admission_next_expiry_us(const struct admission *adm);

/* Removes a request that will not start, such as a cancelled one, from its
 * queue. Its tenant is not charged. */
void admission_remove(struct admission *adm, struct admission_entry *entry);

/* Records that a request of the tenant has ended after it used a slot for
 * "duration_us". Not to be called for a request that its target did not
 * run. */
void admission_completed(struct admission *adm, enum traffic_class class,
                         const char *tenant, uint64_t duration_us,
                         uint64_t now);

/* Time after which an attempt of a repeatable request is abandoned in favor of
 * another target; never beyond "deadline_us". A class that is not queued gets
 * all of the time until the deadline. */
uint64_t admission_attempt_timeout_us(const struct admission *adm,
                                      enum traffic_class class,
                                      uint64_t deadline_us, uint64_t now);

uint32_t admission_waiting_count(const struct admission *adm,
                                 enum traffic_class class);
/* Delay after which a refused request of the class is worth sending again. */
uint32_t admission_retry_after_ms(struct admission *adm,
                                  enum traffic_class class, uint64_t now);
