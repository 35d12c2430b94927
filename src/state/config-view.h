#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/resource.h"

/* The part of the applied configuration that the data task needs: the services
 * of this balancer's failure domain with their usable targets, and the token
 * keys. After each change the control task builds a complete new view and
 * passes ownership of it to the data task; from then on the view is
 * read-only. */

struct target_view {
    char id[ID_SIZE];
    uint64_t version;
    uint32_t hash; /* low 24 bits of id_hash(), never 0 */
    uint32_t addr; /* IPv4, host byte order */
    uint16_t port;
    uint32_t slots;       /* requests that the target runs at the same time */
    uint32_t connections; /* maximum connections that the target accepts */
    enum admin_state state;
    char domain[ID_SIZE];
};

struct service_view {
    char id[ID_SIZE];
    uint64_t version;
    uint32_t hash; /* low 32 bits of id_hash() */
    struct service service;
    size_t target_count;
    struct target_view *targets; /* sorted by id */
};

struct config_view {
    bool host_draining; /* the operator set this host to draining: it accepts
                         * no new work */
    uint64_t sequence;  /* number of this view, counted within the process */
    size_t service_count;
    struct service_view *services; /* sorted by id */
    struct key_ring keys;
};

/* Returns a view with "service_count" services, all fields zero, or NULL when
 * out of memory. */
struct config_view *config_view_new(size_t service_count);
/* Frees a view with its services and targets. */
void config_view_destroy(struct config_view *view);
