#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/list.h"
#include "state/target-signs.h"
#include "state/view-news.h"

/* The routes and targets in force at a forwarder. A target is replaced only by
 * a later revision of its entry, and the list of routes by a later list, so
 * news may arrive in any order and from anybody. What was removed is kept for
 * some time: a peer has to learn of it, and a packet may still name it. */

#define FORWARD_REMOVED_MAX 4096 /* removed records kept of each kind */
#define ROUTE_PAST_MAX 4         /* services that a route had before */
#define ROUTE_LISTS_MAX 64       /* lists since which changes can be told */

struct forward_service {
    const char *name;   /* interned */
    GPtrArray *targets; /* struct forward_target, those not gone */
};

struct route_past {
    const char *service;
    uint64_t until; /* last in force, us */
};

/* There are many, few of which ever change their services. */
struct forward_route {
    struct list removed_link;
    uint64_t key; /* of address and port */
    struct route_record record;
    uint64_t revision;       /* of the list that last changed it */
    uint64_t seen;           /* generation of the last whole list */
    struct route_past *past; /* ROUTE_PAST_MAX, or NULL: it had no other */
    size_t past_next;
};

/* How a target's entry stands in the store. */
enum target_presence {
    TARGET_PRESENT,
    TARGET_LAPSED, /* its entry went while the store was away; it may live */
    TARGET_GONE,
};

struct forward_target {
    struct list link; /* while lapsed or gone, in the list of those */
    struct target_record record;
    uint64_t held_until; /* of a lapsed one, us */
    uint64_t cold_until; /* us */
    uint32_t cookie;
    uint8_t presence; /* enum target_presence */
    bool shadowed;    /* an older target has its cookie: it gets no new flow */
    uint64_t seen;    /* generation of the last whole list */
    struct target_signs signs;
    struct forward_service *service;
};

/* What the view asks and tells. */
struct forward_view_callbacks {
    /* Until when the target of an entry that went at "now" is to be held; 0
     * when it is gone. */
    uint64_t (*hold_until)(void *ctx, const struct forward_target *target,
                           uint64_t now);
    /* A target appeared, changed or went. NULL: nobody listens. */
    void (*target_changed)(void *ctx, const struct forward_target *target);
    void *ctx;
};

struct forward_view;

struct forward_view *forward_view_new(const struct forward_view_callbacks *cb);
void forward_view_destroy(struct forward_view *view);

/* Takes what is newer. Returns false when "news" starts behind what is held,
 * or changes another list of routes, so that something in between may be
 * missing; nothing is taken then. */
bool forward_view_apply(struct forward_view *view,
                        const struct view_news *news, uint64_t now);
/* Fills "news" for one who is complete up to the revision "from" and holds the
 * list of routes of the revision "routes_from". */
void forward_view_since(const struct forward_view *view, uint64_t from,
                        uint64_t routes_from, uint64_t now,
                        struct view_news *news);
/* Lets go of lapsed targets whose time is over. */
void forward_view_tick(struct forward_view *view, uint64_t now);

/* The store's revision up to which everything is known; 0: nothing is. */
uint64_t forward_view_revision(const struct forward_view *view);
/* That of the list of routes; 0: none. */
uint64_t forward_view_routes_revision(const struct forward_view *view);
/* Routes are known, and targets. */
bool forward_view_usable(const struct forward_view *view);
size_t forward_view_route_count(const struct forward_view *view);
size_t forward_view_target_count(const struct forward_view *view);

/* Each returns NULL when there is none in force. */
struct forward_route *forward_view_route(const struct forward_view *view,
                                         uint32_t addr, uint16_t port);
struct forward_service *forward_view_service(const struct forward_view *view,
                                             const char *name);
/* By cookie; also one that is gone. */
struct forward_target *forward_view_target(const struct forward_view *view,
                                           uint32_t cookie);

/* The 32 bits that name a target in callers' packets; never 0. */
uint32_t forward_cookie(const char *id);
/* Whether the route has, or had since "since", a share of the service. */
bool forward_route_had(const struct forward_route *route, const char *service,
                       uint64_t since);
