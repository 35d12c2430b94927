#pragma once

#include <stdbool.h>

#include "base/status.h"
#include "state/config-store.h"
#include "state/resource.h"

/* Parses the paths of the operators' HTTP API. */

#define KEY_RING_ID "tokens" /* id of the only key ring */

enum api_route_kind {
    ROUTE_RESOURCE, /* /v1/services/<id>, /v1/targets/<service>/<id>, ... */
    ROUTE_LIST,     /* /v1/services, /v1/targets, /v1/targets/<service>, ... */
    ROUTE_WRITE,    /* /v1/writes/<id> */
    ROUTE_STATUS,   /* /v1/status */
    ROUTE_EVENTS,   /* /v1/events */
    ROUTE_METRICS,  /* /metrics */
};

struct api_route {
    enum api_route_kind kind;
    enum resource_kind resource; /* for ROUTE_RESOURCE and ROUTE_LIST */
    /* Service of a target, or of a list of one service's targets; empty
     * otherwise. */
    char service[ID_SIZE];
    char id[ID_SIZE]; /* for ROUTE_RESOURCE and ROUTE_WRITE */
    /* For ROUTE_RESOURCE the resource's name, for ROUTE_LIST the prefix that
     * names must have: target/<service>/, or empty for all. */
    char name[RESOURCE_NAME_SIZE];
};

/* Parses a path without its query. Returns false with ERR_NOT_FOUND when the
 * API has no such path or an id in it is malformed. */
bool api_route_parse(struct api_route *route, const char *path,
                     struct status *st);
