#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/resource.h"

/* What the data task needs of the configuration in force: the services of
 * the own failure domain with their usable targets, and the token keys. The
 * control task builds a whole new view after each change and hands its
 * ownership to the data task; a view is never changed after that. */

struct target_view {
    char id[ID_SIZE];
    uint64_t version;
    uint32_t hash; /* low 24 bits of id_hash(), never 0 */
    uint32_t addr; /* IPv4, host byte order */
    uint16_t port;
    uint32_t slots;
    uint32_t connections;
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
    bool host_draining; /* this host is declared draining: no new work */
    uint64_t sequence;  /* rises by one with each view of this process */
    size_t service_count;
    struct service_view *services; /* sorted by id */
    struct key_ring keys;
};

struct config_view *config_view_new(size_t service_count);
void config_view_destroy(struct config_view *view);
