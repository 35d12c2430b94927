#pragma once

#include <stdio.h>
#include <string.h>

#include "state/resource.h"

/* Builders of resources for tests. Fields that have no parameter get fixed
 * valid values. */

/* "domains" is a comma-separated list of failure domains; an empty string
 * gives a service without domains. */
static inline struct resource
make_service(const char *id, uint64_t version, const char *domains)
{
    struct resource r = {.kind = RESOURCE_SERVICE, .version = version};
    char list[256];
    char *save = NULL;

    snprintf(r.id, sizeof(r.id), "%s", id);
    snprintf(r.service.tenant, sizeof(r.service.tenant), "t-%.60s", id);
    r.service.port = 5683;
    r.service.deadline_ms = 2000;
    r.service.body_limit = 4096;
    snprintf(list, sizeof(list), "%s", domains);
    for (char *d = strtok_r(list, ",", &save); d != NULL;
         d = strtok_r(NULL, ",", &save)) {
        snprintf(r.service.domains[r.service.domain_count], ID_SIZE, "%s", d);
        r.service.domain_count++;
    }
    return r;
}

/* "addr" is an IPv4 address. "deleted" makes the resource a tombstone. */
static inline struct resource
make_target(const char *service, const char *id, uint64_t version,
            uint32_t addr, bool deleted)
{
    struct resource r = {
        .kind = RESOURCE_TARGET, .version = version, .deleted = deleted};

    snprintf(r.id, sizeof(r.id), "%s", id);
    snprintf(r.target.service, sizeof(r.target.service), "%s", service);
    snprintf(r.target.domain, sizeof(r.target.domain), "karen");
    r.target.addr = addr;
    r.target.port = 8080;
    r.target.slots = 2;
    r.target.connections = 2000;
    return r;
}
