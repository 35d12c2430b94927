#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "state/resource.h"

/* A delta: changes to the view of a forwarder, read from the store or received
 * from a peer. All revisions are those of the store. Each target record has
 * the revision of its last change. The store keeps all routes in one entry, so
 * only the list of routes as a whole has a revision; a delta of routes is
 * relative to another list, identified by its revision. Names of services and
 * failure domains are interned (g_intern_string()) and compared by pointer. */

/* Maximum number of services that share the flows of a route. */
#define ROUTE_SHARES_MAX 8
#define TARGET_TAG_SIZE 8 /* bytes */
/* Bytes of a target id with the final NUL; a UUID with a prefix fits. */
#define TARGET_ID_SIZE 40

/* A service that receives a share of the flows of a route. */
struct route_share {
    const char *service; /* interned */
    uint32_t weight;     /* relative to the other shares of the route */
};

struct route_record {
    uint32_t addr; /* address for callers, IPv4 in host byte order */
    uint16_t port; /* port for callers */
    bool removed;
    uint8_t priority; /* 0 is the most urgent */
    /* Request timeout and latency objective of the route. A forwarder only
     * compares them and passes them on to peers. */
    uint32_t timeout_ms;
    uint32_t latency_objective_ms;
    size_t share_count;
    struct route_share shares[ROUTE_SHARES_MAX];
};

struct target_record {
    char id[TARGET_ID_SIZE];
    const char *service; /* interned */
    const char *domain;  /* interned; NULL: unknown */
    /* Identifies the target; prepended to each packet sent to it. */
    uint8_t tag[TARGET_TAG_SIZE];
    uint32_t addr;    /* IPv4, host byte order */
    uint32_t slots;   /* requests that the target runs at the same time */
    uint32_t cold_ms; /* remaining time of the target's cold start */
    uint16_t port;
    bool draining;
    bool removed;
    uint64_t created;  /* revision at which the target's entry was created */
    uint64_t revision; /* revision of the last change of its entry */
};

struct view_delta {
    /* The delta may be applied to a view that is complete up to revision
     * "from" or later; afterwards the view is complete up to "to". */
    uint64_t from;
    uint64_t to;
    /* "routes" or "targets" is a complete list: any route or target that is
     * not in it has been removed. */
    bool routes_complete;
    bool targets_complete;
    /* Revision of the list of routes to which "routes" is a delta; not used
     * when "routes" is a complete list. */
    uint64_t routes_base_revision;
    /* Revision of the list of routes after the delta; 0: no list. */
    uint64_t routes_revision;
    GArray *routes;  /* struct route_record */
    GArray *targets; /* struct target_record */
};

/* Initializes a delta without records. The caller frees the records with
 * view_delta_clear(). */
void view_delta_init(struct view_delta *delta);
/* Frees the records. The delta has to be initialized again before its next
 * use. */
void view_delta_clear(struct view_delta *delta);
