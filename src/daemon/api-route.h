#pragma once

#include <stdbool.h>

#include "base/status.h"
#include "state/config-store.h"
#include "state/resource.h"

/* The paths of the operators' API. */

#define KEY_RING_ID "tokens" /* the one key ring */

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
    enum resource_kind resource;   /* of a resource or a list */
    char service[ID_SIZE];         /* of a target, or of a list of targets */
    char id[ID_SIZE];              /* of a resource or a write */
    char name[RESOURCE_NAME_SIZE]; /* of a resource, or prefix of a list */
};

/* Reads a path. On failure returns false with ERR_NOT_FOUND or
 * ERR_INVALID. */
bool api_route_parse(struct api_route *route, const char *path,
                     struct status *st);
