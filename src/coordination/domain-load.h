#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/forward-view.h"

/* Load of the services by failure domain, as the fleet knows it, and the
 * shares of new flows that each domain gets. Each balancer counts the requests
 * that it forwards, and tells its peers what its own failure domain sends to
 * the targets of each domain. It has no socket and no clock. Times are
 * monotonic, in microseconds.
 *
 * Answers the load of callers of one failure domain that exceeds the room of
 * its targets while those of other domains are idle. */

/* Maximum number of records in one message. */
#define DOMAIN_LOAD_RECORDS_MAX 40
/* Age from which a record is of no use, and not told any more. */
#define DOMAIN_LOAD_AGE_MAX_US 2000000ULL
/* Interval between two messages to peers while a domain is used by so much
 * that its load may exceed its room soon, and otherwise. */
#define DOMAIN_LOAD_BUSY_INTERVAL_US 250000ULL
#define DOMAIN_LOAD_CALM_INTERVAL_US 1000000ULL
/* Number of peers that a message is sent to. */
#define DOMAIN_LOAD_PEERS 3

/* Requests a second that the callers of one failure domain send to the targets
 * of a service in another, or in the same one; or the time that a request of a
 * service takes. */
struct domain_load_record {
    uint32_t key; /* hash of the service and the two domains, or of it alone */
    uint32_t rate;   /* requests per 1000 s, or microseconds per request */
    uint32_t age_ms; /* time since the rate was measured */
};

/* Share of the new flows of a service that the targets of a failure domain
 * get. */
struct domain_share {
    const char *domain; /* interned */
    double share;       /* 0 to 1; the shares of a service add up to 1 */
};

struct domain_load;

/* "domain" is the failure domain of this balancer, interned. Returns NULL when
 * out of memory. */
struct domain_load *domain_load_new(const char *domain);
void domain_load_destroy(struct domain_load *dl);

/* Calls "cb" when new flows of a service begin to be shared with other failure
 * domains, and when that ends. "utilization" is that of the own domain by its
 * own callers. */
void domain_load_on_change(struct domain_load *dl,
                           void (*cb)(void *ctx, const char *service,
                                      bool sharing, double utilization),
                           void *ctx);

/* A request was forwarded to a target or, with "opening", the first opening
 * packet (SYN) of a flow. Only requests are load; the openings tell how many
 * of them come on new flows, which alone can go elsewhere. */
void domain_load_on_forward(struct domain_load *dl,
                            const struct forward_target *target, bool opening,
                            uint64_t now);
/* A flow was refused for lack of room. Its request counts as load of the own
 * domain, or the load would seem to end when refusing begins. */
void domain_load_on_refused(struct domain_load *dl, const char *service,
                            uint64_t now);
/* A request was answered "took_us" after it was forwarded. The time that an
 * opening packet takes to the target and back is taken off, where it is known.
 */
void domain_load_on_answer(struct domain_load *dl,
                           const struct forward_target *target,
                           uint64_t took_us, uint64_t now);

/* Updates the rates and the shares. To be called every DOMAIN_LOAD_TICK_US.
 * "domain_hosts" is the number of live balancers in this failure domain, this
 * one included: the routers spread the callers evenly over them. */
#define DOMAIN_LOAD_TICK_US 100000ULL
void domain_load_tick(struct domain_load *dl, const struct forward_view *view,
                      double domain_hosts, uint64_t now);

/* Whether the load of any domain that is known here is worth telling often. */
bool domain_load_is_busy(const struct domain_load *dl);
/* Fills "out" with the newest records, those of the own domain first, at most
 * "max", and returns their number. */
size_t domain_load_export(struct domain_load *dl,
                          struct domain_load_record *out, size_t max,
                          uint64_t now);
/* Takes over the records of a peer that are newer than those known here, and
 * averages what peers of the own domain have just measured with what this
 * balancer has. */
void domain_load_receive(struct domain_load *dl,
                         const struct domain_load_record *records,
                         size_t count, uint64_t now);

/* Returns the shares of the failure domains in the new flows of a service that
 * enter through this balancer, and their number. They are owned by "dl" and
 * valid until the next tick. Returns NULL when the load of the own domain does
 * not call for other domains, or nothing is known: the own domain is then
 * preferred. */
const struct domain_share *
domain_load_shares(const struct domain_load *dl,
                   const struct forward_service *service, size_t *count);
/* Requests of the callers of all failure domains, divided by the number that
 * the targets of the service can run in the same time; 0 when nothing is
 * known. */
double domain_load_utilization(const struct domain_load *dl,
                               const struct forward_service *service);
/* The same for the targets of one failure domain. */
double domain_load_domain_utilization(const struct domain_load *dl,
                                      const struct forward_service *service,
                                      const char *domain);

/* What is known of the targets of a service in all failure domains. A domain
 * whose callers are unknown counts with its room, so that the load is rather
 * underestimated. */
struct domain_load_state {
    double demand;         /* requests/s of all callers known */
    double room;           /* requests/s that the targets can run */
    double time_us;        /* that a request takes, as contained in "room" */
    double new_flows;      /* part of the requests that come on new flows */
    uint64_t age_us;       /* time since the last tick */
    uint64_t measuring_us; /* time since the start or the last pause */
};

/* Returns false when the load or the room is unknown. */
bool domain_load_state(const struct domain_load *dl, const char *service,
                       uint64_t now, struct domain_load_state *state);

/* What is known of the targets of a service in one failure domain. */
struct domain_load_info {
    const char *service; /* interned */
    const char *domain;  /* interned */
    double sent; /* requests/s that the own domain's callers send there */
    double room; /* requests/s that the targets can run; 0: unknown */
    double utilization; /* by the callers of all domains */
    double share;       /* of the new flows here; 0: none or no shares */
};

/* Calls "cb" for each service and failure domain with targets or load. */
void domain_load_each(const struct domain_load *dl,
                      void (*cb)(void *ctx,
                                 const struct domain_load_info *info),
                      void *ctx);
