#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "state/resource.h"

/* Changes of what a forwarder holds, read from the store or told by a peer.
 * Each target has the store's revision at its last change. Routes come as one
 * list, so only the list has one: what changed in it is told against another
 * list, named by its revision. Names
 * of services and failure domains are interned (g_intern_string()), so equal
 * ones are the same pointer. */

#define ROUTE_SHARES_MAX 8
#define TARGET_TAG_SIZE 8
#define TARGET_ID_SIZE 40 /* with the NUL; a UUID with a prefix fits */

struct route_share {
    const char *service;
    uint32_t weight;
};

struct route_record {
    uint32_t addr; /* where callers reach it: IPv4, host byte order */
    uint16_t port;
    bool removed;
    uint8_t priority; /* 0 is the most urgent */
    uint32_t timeout_ms;
    uint32_t aim_ms;
    size_t share_count;
    struct route_share shares[ROUTE_SHARES_MAX];
};

struct target_record {
    char id[TARGET_ID_SIZE];
    const char *service;
    const char *domain;
    uint8_t tag[TARGET_TAG_SIZE]; /* names it in front of packets */
    uint32_t addr;
    uint32_t slots;   /* requests that it runs at once */
    uint32_t cold_ms; /* time for which it is still slow */
    uint16_t port;
    bool draining;
    bool removed;
    uint64_t created;  /* revision at which its entry appeared */
    uint64_t revision; /* of its last change */
};

struct view_news {
    uint64_t from; /* for one who is complete up to here, */
    uint64_t to;   /* complete up to here afterwards */
    /* All that there is: what is not named is gone. */
    bool routes_whole;
    bool targets_whole;
    uint64_t routes_from; /* unless whole: the list that "routes" changes */
    uint64_t routes_revision; /* of the newest list; 0: none */
    GArray *routes;           /* struct route_record */
    GArray *targets;          /* struct target_record */
};

void view_news_init(struct view_news *news);
void view_news_clear(struct view_news *news);
