#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base/store-position.h"
#include "state/resource.h"
#include "state/route-record.h"

/* A delta: changes to the view of a forwarder, read from the store or received
 * from a peer. All positions are those of the store. Each target record has
 * the position of its last change. The store keeps all routes in one entry, so
 * only the list of routes as a whole has a position; a delta of routes is
 * relative to another list, identified by its position. Names of services and
 * failure domains are interned (g_intern_string()) and compared by pointer.
 *
 * Positions of different eras do not tell which of two records is newer, since
 * a store that was restored shows old ones again. What their writers state
 * does: a target its start and the sequence number of its writes, the operator
 * the version of the configuration. */

#define TARGET_TAG_SIZE 8 /* bytes */
/* Bytes of a target id with the final NUL; a UUID with a prefix fits. */
#define TARGET_ID_SIZE 40

/* What a record describes. */
enum record_kind {
    RECORD_TARGET,
    /* The operator's order to send no new flows to the targets of the failure
     * domain "domain". It is in effect until it is removed. Its "id" is that
     * of emptied_domain_id(), its "service" a placeholder, and no field that
     * describes a target is set. It is a target record because it needs the
     * same history of positions, removals and eras, and because balancers that
     * do not know orders then pass it on like a draining target. */
    RECORD_EMPTIED_DOMAIN,
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
    uint8_t kind; /* enum record_kind; see target_record_set_kind() */
    uint8_t
        cookie_form; /* see state/cookie-owners.h; 0 in the store's entry */
    bool draining;
    bool removed;
    /* When the target's entry was created, and its last change. */
    struct store_position created;
    struct store_position position;
    /* Stated by the target: its start, 0 when it is not told, and a number
     * that rises with its writes. A removed record keeps the last ones. */
    uint64_t born;
    uint64_t sequence;
};

struct view_delta {
    /* The delta may be applied to a view that is complete up to the position
     * "from" or later; afterwards the view is complete up to "to". Unless
     * "targets" is a complete list, the view has to be of the same era. */
    struct store_position from;
    struct store_position to;
    /* "routes" or "targets" is a complete list: any route or target that is
     * not in it has been removed. A complete list of targets may have two
     * records of a target, of which the one of the later era is older by what
     * the target states (see struct forward_view). */
    bool routes_complete;
    bool targets_complete;
    /* Position of the list of routes to which "routes" is a delta; not used
     * when "routes" is a complete list. */
    struct store_position routes_base;
    /* Position of the list of routes after the delta; none: no list. */
    struct store_position routes_position;
    /* Version that the operator gave the configuration with this list. */
    uint64_t routes_version;
    GArray *routes;  /* struct route_record, which it owns */
    GArray *targets; /* struct target_record */
};

/* Initializes a delta without records. The caller frees the records with
 * view_delta_clear(). */
void view_delta_init(struct view_delta *delta);
/* Adds a copy of a route. */
void view_delta_add_route(struct view_delta *delta,
                          const struct route_record *route);
/* Returns whether "list", names separated by commas, contains "name". */
bool region_list_contains(const char *list, const char *name);
/* Makes the id of the order to empty a failure domain. It begins with a
 * character that no id of a target begins with. */
void emptied_domain_id(const char *domain, char id[TARGET_ID_SIZE]);
/* Sets the kind of a record, which its id and failure domain tell. Returns
 * false when the id is neither that of a target nor that of the order for the
 * domain. */
bool target_record_set_kind(struct target_record *record);
/* Frees the records. The delta has to be initialized again before its next
 * use. */
void view_delta_clear(struct view_delta *delta);
