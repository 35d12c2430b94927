#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/list.h"
#include "state/config-view.h"
#include "state/resource.h"

/* Runtime state of the targets of the applied configuration, as seen by this
 * balancer. It is owned by the data task. Times are those of a monotonic clock
 * in microseconds. */

/* Last load report of a target (X-Load header or health endpoint). */
struct target_load {
    bool known;       /* false: no report yet, the other fields are 0 */
    uint64_t at_us;   /* when the report was received */
    uint32_t running; /* requests that the target is running */
    uint32_t slots;   /* requests that it can run at the same time */
    uint32_t queued;  /* requests in its queue */
    uint32_t others;  /* running and queued requests of other balancers */
};

/* The share of a target's slots that this balancer may use. The rules are in
 * coordination/slot-window.h. */
struct target_window {
    /* Maximum number of requests in flight. The fractional part is the share
     * of time during which one more request may be in flight. */
    double size;
    uint64_t probe_us; /* the fractional part may be used from this time on */
};

/* Health of a target as seen by this balancer. The rules are in
 * coordination/health.h. */
struct target_health {
    bool verified;             /* the health endpoint named the service */
    bool wrong_service;        /* it named another service, so the target is
                                * never used */
    bool probe_bad;            /* the last probes failed */
    uint32_t probe_failures;   /* consecutive failed probes */
    uint32_t failures;         /* consecutive failed requests */
    uint32_t ejections;        /* consecutive ejections, for the back-off */
    uint64_t ejected_until_us; /* 0: not ejected */
    bool trial; /* the ejection is over and the outcome of the next request
                 * decides whether the target is ejected again */
};

struct target_state {
    struct list link; /* in target_table.removed, once removed */
    unsigned refs;    /* reference count, including the table's reference */
    char id[ID_SIZE];
    char service[ID_SIZE];
    uint32_t hash; /* hash of the id in flow tokens, see struct target_view */
    uint32_t addr; /* IPv4, host byte order */
    uint16_t port;
    uint32_t slots;           /* configured; see struct target */
    uint32_t connections_max; /* configured; see struct target */
    bool removed;         /* not in the view any more: requests in progress may
                           * finish, new ones are not sent */
    bool draining;        /* set by the operator: receives no new work */
    bool reports_leaving; /* reported by its health endpoint: the target is
                           * leaving and receives no new work */
    bool warming;         /* reported by its health endpoint: the target is
                           * still warming up */
    uint64_t first_seen_us; /* when the target with this address and port was
                             * added to the view */

    uint32_t in_flight;     /* requests of this balancer that use a slot */
    uint32_t streams;       /* streams of this balancer */
    uint32_t connections;   /* open connections of this balancer */
    double latency_us;      /* EWMA over answered requests, 0: none yet */
    uint64_t latency_at_us; /* time of the last latency sample */
    struct target_load load;
    struct target_window window;
    struct target_health health;
};

/* The targets of one service in the current view, sorted by id. */
struct service_targets {
    struct list link; /* in target_table.services */
    char id[ID_SIZE];
    size_t count;
    struct target_state **targets;
    double mean_others; /* EWMA of the requests of other balancers per slot */
};

struct target_table {
    struct list services; /* struct service_targets */
    struct list removed;  /* struct target_state, removed but referenced */
};

/* Returns NULL when out of memory. */
struct target_table *target_table_new(void);
/* Frees the table and all targets, including those still referenced: nothing
 * may use them afterwards. */
void target_table_destroy(struct target_table *table);

/* Updates the table to a new view, of which no reference is kept. A target
 * that stays the same (service, id, address and port) keeps its runtime state.
 * A target that is not in the view any more is marked removed and is freed
 * with its last reference. A struct service_targets is valid as long as its
 * service is in the view. Returns false when out of memory; the table is then
 * unchanged. */
bool target_table_apply_view(struct target_table *table,
                             const struct config_view *view, uint64_t now);

/* Find a service or a target by its id. Return NULL when there is none. */
struct service_targets *target_table_service(struct target_table *table,
                                             const char *service);
struct target_state *service_targets_find(const struct service_targets *svc,
                                          const char *id);
/* Finds a target by the hash in a flow token. Returns NULL for 0 and for an
 * unknown hash. */
struct target_state *service_targets_by_hash(const struct service_targets *svc,
                                             uint32_t hash);

/* True when no new work may be sent to the target: it was removed, is draining
 * or reports that it is leaving. */
bool target_is_leaving(const struct target_state *t);

/* Adds a reference and returns "t". */
struct target_state *target_ref(struct target_state *t);
/* Releases a reference; the last one frees the target. */
void target_unref(struct target_state *t);

/* Called when a request starts and ends to use a slot of the target. The
 * request holds a reference in between. */
void target_request_begin(struct target_state *t);
void target_request_end(struct target_state *t);

/* Stores a load report of the target. For a report in the answer to a request,
 * target_request_end() must be called first: "others" is computed from the
 * requests of this balancer that are still in flight. */
void target_record_load(struct target_state *t, uint32_t running,
                        uint32_t slots, uint32_t queued, uint64_t now);
/* Adds the latency of an answered request to the average. */
void target_record_latency(struct target_state *t, uint64_t latency_us,
                           uint64_t now);
