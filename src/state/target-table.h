#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/list.h"
#include "state/config-view.h"
#include "state/resource.h"

/* Live state of the targets of the configuration in force, as one balancer
 * sees them. Belongs to the data task. */

/* Last load report of a target (X-Load header or health endpoint). */
struct target_load {
    bool known;
    uint64_t at_us;
    uint32_t running;
    uint32_t slots;
    uint32_t queued;
    uint32_t others; /* running and queued requests of other balancers */
};

/* The share of a target's slots that this balancer may use; the rules are in
 * coordination/slot-window.h. */
struct target_window {
    double size;       /* requests in flight; below 1: share of the time */
    uint64_t probe_us; /* the fractional part may be used from then on */
};

/* Health as seen from here; the rules are in coordination/health.h. */
struct target_health {
    bool verified;      /* the endpoint at this address named the service */
    bool wrong_service; /* it named another one: never used */
    bool probe_bad;     /* the last probes failed */
    uint32_t probe_failures;
    uint32_t failures;         /* consecutive, on real requests */
    uint32_t ejections;        /* consecutive, for the back-off */
    uint64_t ejected_until_us; /* 0: not ejected */
    bool trial;                /* one request decides after an ejection */
};

struct target_state {
    struct list link; /* in target_table.removed, once removed */
    unsigned refs;
    char id[ID_SIZE];
    char service[ID_SIZE];
    uint32_t hash;
    uint32_t addr; /* IPv4, host byte order */
    uint16_t port;
    uint32_t slots;
    uint32_t connections_max;
    bool removed;  /* no longer in the view; only what runs may finish */
    bool draining; /* declared: takes no new work */
    bool reports_leaving; /* its health endpoint says so */
    bool warming;         /* says that it is still warming up */
    uint64_t first_seen_us;

    uint32_t in_flight;     /* requests from here that hold a slot */
    uint32_t streams;       /* streams from here */
    uint32_t connections;   /* open from here */
    double latency_us;      /* EWMA of answered requests, 0: none yet */
    uint64_t latency_at_us; /* of the last sample */
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
    double mean_others; /* requests of other balancers a slot, EWMA */
};

struct target_table {
    struct list services; /* struct service_targets */
    struct list removed;  /* struct target_state still referred to */
};

struct target_table *target_table_new(void);
void target_table_destroy(struct target_table *table);

/* Takes over a new view. A target that stays (same service, id, address and
 * port) keeps its live state; one that is gone is marked removed and is freed
 * with its last reference. A struct service_targets is valid as long as its
 * service is in the view. Returns false when memory is short; the table is
 * unchanged then. */
bool target_table_apply_view(struct target_table *table,
                             const struct config_view *view, uint64_t now);

struct service_targets *target_table_service(struct target_table *table,
                                             const char *service);
struct target_state *service_targets_find(const struct service_targets *svc,
                                          const char *id);
/* Finds by the hash in a flow token; NULL for 0 or an unknown one. */
struct target_state *service_targets_by_hash(const struct service_targets *svc,
                                             uint32_t hash);

/* True when no new work may go to the target. */
bool target_is_leaving(const struct target_state *t);

struct target_state *target_ref(struct target_state *t);
void target_unref(struct target_state *t);

/* A request begins to use a slot of the target (with a reference), and
 * ends. */
void target_start(struct target_state *t);
void target_finish(struct target_state *t);

/* Records X-Load. Call it after target_finish() of the request that carried
 * it, so that "others" leaves out just what runs from here. */
void target_record_load(struct target_state *t, uint32_t running,
                        uint32_t slots, uint32_t queued, uint64_t now);
void target_record_latency(struct target_state *t, uint64_t latency_us,
                           uint64_t now);
