#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/list.h"
#include "base/random.h"
#include "base/status.h"
#include "state/resource.h"

/* The requests of one service that wait for a slot: a bounded queue per
 * class, fair among the tenants of a class (deficit round robin, Shreedhar
 * and Varghese 1995). A request that cannot start in time is refused when it
 * arrives. Streams hold no slot and are not queued. */

/* Embedded in the request that waits. */
struct admission_entry {
    struct list link; /* in its tenant's queue; empty when not queued */
    struct admission_tenant *tenant;
    uint64_t queued_us;
    uint64_t start_by_us; /* latest useful start */
};

struct admission_limits {
    uint32_t queue; /* requests waiting per class */
};

struct admission;

struct admission *admission_new(const struct admission_limits *limits,
                                struct random *random);
/* The queues must be empty. */
void admission_destroy(struct admission *adm);

/* Queues a request of a tenant that has to be answered by "deadline_us".
 * Returns ERR_NONE, or ERR_OVERLOADED or ERR_DEADLINE with the time after
 * which it is worth asking again; the entry is not queued then. */
enum error_kind admission_offer(struct admission *adm,
                                struct admission_entry *entry,
                                const char *tenant, enum traffic_class class,
                                uint64_t deadline_us, uint64_t now,
                                uint32_t *retry_after_ms);

/* The request that starts next, or NULL when none waits; it stays queued until
 * admission_start() takes it out for a target that was found. */
struct admission_entry *admission_peek(struct admission *adm);
void admission_start(struct admission *adm, struct admission_entry *entry);

/* Puts a started request that its target did not run back at the head of its
 * tenant's queue. It was admitted once and is not tested again. Returns false
 * when memory is short. */
bool admission_requeue(struct admission *adm, struct admission_entry *entry,
                       const char *tenant, enum traffic_class class,
                       uint64_t now);

/* Takes out one request that can no longer be answered in time, or NULL. To
 * be refused as not run. Call it until NULL before admission_peek(), and at
 * admission_next_expiry_us() at the latest. */
struct admission_entry *admission_expired(struct admission *adm, uint64_t now);

/* Not later than the next expiry; UINT64_MAX when nothing waits. */
uint64_t admission_next_expiry_us(const struct admission *adm);

/* Takes out a cancelled request. */
void admission_remove(struct admission *adm, struct admission_entry *entry);

/* A request of the tenant that held a slot for "duration_us" has ended. Not to
 * be called for one that its target did not run. */
void admission_completed(struct admission *adm, enum traffic_class class,
                         const char *tenant, uint64_t duration_us,
                         uint64_t now);

/* Time after which an attempt of a request that may be repeated is given up
 * for another target. */
uint64_t admission_attempt_timeout_us(const struct admission *adm,
                                      enum traffic_class class,
                                      uint64_t deadline_us, uint64_t now);

uint32_t admission_waiting(const struct admission *adm,
                           enum traffic_class class);
/* Time after which a refused request of the class is worth sending again. */
uint32_t admission_retry_after_ms(struct admission *adm,
                                  enum traffic_class class, uint64_t now);
