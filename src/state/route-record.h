#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/* A service that receives a share of the flows of a route. */
struct route_share {
    const char *service; /* interned */
    uint32_t weight;     /* relative to the other shares of the route */
    /* Openings that a target of the service bears during its cold start, in
     * openings per 1000 s; 0: no limit is configured. The same in all shares
     * of a service. */
    uint32_t cold_limit;
};

struct route_record {
    uint32_t addr; /* address for callers, IPv4 in host byte order */
    uint16_t port; /* port for callers */
    bool removed;
    uint8_t priority; /* 0 is the most urgent */
    bool repeatable;  /* its requests may be run more than once */
    /* Request timeout and latency objective of the route. A forwarder only
     * compares them and passes them on to peers. */
    uint32_t timeout_ms;
    uint32_t latency_objective_ms;
    /* struct route_share; NULL: none. Copies of a record have a reference to
     * the same array, which does not change once the record is complete. */
    GArray *shares;
    /* Regions in which the requests of the route may run: names separated by
     * commas, interned; NULL: any. */
    const char *regions;
};

/* Returns a copy that the caller clears with route_record_clear(). */
struct route_record route_record_copy(const struct route_record *record);
/* Frees what the record holds. It has no shares afterwards. */
void route_record_clear(struct route_record *record);
/* Adds a share to a record that is not copied yet. */
void route_record_add_share(struct route_record *record,
                            const struct route_share *share);
size_t route_record_share_count(const struct route_record *record);
/* The result is valid as long as the record. */
const struct route_share *route_record_share(const struct route_record *record,
                                             size_t index);
bool route_record_has_service(const struct route_record *record,
                              const char *service);
/* Whether two records of a route say the same. */
bool route_record_equal(const struct route_record *a,
                        const struct route_record *b);
