#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/clock.h"
#include "base/list.h"
#include "state/target-observations.h"
#include "state/view-delta.h"

/* The view of a forwarder: its routes and targets. A target is replaced only
 * by a later change of its entry, and the list of routes only by a later list,
 * so deltas may arrive in any order and from any peer. Removed routes and
 * targets are kept for some time, since peers have to learn of the removal and
 * packets may still refer to a removed target. Times are those of a monotonic
 * clock in microseconds.
 *
 * After the store was restored from a copy, in a new era, its entries may be
 * older than the view. Such a record does not replace the known one, but is
 * held: if the store keeps it for HELD_RECORD_US without a removal, the target
 * is alive and has written the same again. An older configuration is not held:
 * the known one stays in use until the operator writes it again, or a later
 * one. */

/* Maximum number of removed routes, and of removed targets, that are kept. */
#define FORWARD_REMOVED_MAX 4096
/* Maximum number of lists of routes, including the current one, relative to
 * which a delta can be computed. */
#define ROUTE_LISTS_MAX 64
/* Time for which the forms of cookies are not final that a balancer has given
 * to the targets of its first view, whose history it does not know. A peer
 * that knows the forms answers within this time. */
#define FORMS_GUESSED_US (1 * USEC_PER_SEC)
/* Time for which a record of a new era that is older than the known one is
 * held. The store removes the entry of a target within this time after its
 * last write. */
#define HELD_RECORD_US (5 * USEC_PER_SEC)

struct forward_service {
    const char *name;   /* interned */
    GPtrArray *targets; /* struct forward_target, present or lapsed */
    /* See struct route_share; 0: there is no limit. */
    uint32_t cold_limit;
};

/* A failure domain of targets. */
struct forward_domain {
    const char *name;   /* interned */
    const char *region; /* interned; NULL: unknown */
    /* The operator has ordered to send no new flows to its targets, since
     * "emptied_at" on the clock of this host, by the change "emptied_by". */
    bool emptied;
    uint64_t emptied_at;
    struct store_position emptied_by;
    /* Openings that this host would have sent to its targets but for the last
     * order, counted by the forward task. */
    uint64_t kept_away;
};

/* A service that a route no longer has. */
struct route_past_service {
    const char *service; /* interned */
    uint64_t until;      /* when the route lost the service, us */
};

struct forward_route {
    struct list removed_link; /* in the list of removed routes, if removed */
    uint64_t key;             /* address and port, key of the hash table */
    struct route_record record;
    /* Position of the list of routes that last changed the route. */
    struct store_position position;
    /* Generation of the last applied delta that contained the route. */
    uint64_t seen_generation;
    /* Former services, struct route_past_service. NULL if there are none; it
     * is allocated on demand, as there are many routes and few ever change
     * their services. */
    GArray *past;
};

/* State of a target's entry in the store. */
enum target_presence {
    TARGET_PRESENT,
    TARGET_LAPSED, /* removed while the store was unavailable; the target may
                    * be alive and is still used */
    TARGET_GONE,   /* removed */
};

struct forward_target {
    struct list link; /* in the list of lapsed or of removed targets; unlinked
                       * while present */
    struct target_record record;
    uint64_t lapsed_until; /* when a lapsed target becomes TARGET_GONE, us */
    /* End of the target's last cold start, us; 0: none was seen */
    uint64_t cold_until;
    uint32_t cookie;     /* forward_cookie_of() the id and the form; 0: none is
                          * free, and it gets no flows */
    uint8_t cookie_form; /* see state/cookie-owners.h */
    uint8_t presence;    /* enum target_presence */
    /* When another entry was found to claim this target's address, us; 0:
     * none does. See state/address-claims.h. */
    uint64_t claimed_at;
    struct store_position claimed_by; /* creation of that entry */
    /* Generation of the last applied delta that contained the target. */
    uint64_t seen_generation;
    struct target_observations observations;
    struct forward_service *service; /* NULL while gone */
    struct forward_domain *domain;   /* NULL: unknown */
};

struct forward_view_callbacks {
    /* Called when the view learns that a target's entry was removed from the
     * store. Returns the time until which the target is kept as TARGET_LAPSED;
     * with a time that is not after "now", such as 0, the target becomes
     * TARGET_GONE at once. */
    uint64_t (*retain_until)(void *ctx, const struct forward_target *target,
                             uint64_t now);
    /* Called after a target was added, changed, removed or replaced; may be
     * NULL. */
    void (*target_changed)(void *ctx, struct forward_target *target);
    /* Called after the order to empty a failure domain was given or taken
     * back; may be NULL. */
    void (*domain_changed)(void *ctx, const struct forward_domain *domain);
    void *ctx;
    /* Maximum lifetime of a flow; the former services of routes are known for
     * at least as long. */
    uint64_t flow_max_us;
};

struct forward_view;

/* Returns an empty view; "cb" is copied. Returns NULL when out of memory. */
struct forward_view *forward_view_new(const struct forward_view_callbacks *cb);
void forward_view_destroy(struct forward_view *view);

/* Applies the parts of a delta that are newer than the view. Returns false and
 * changes nothing when changes between the view and the delta may be missing:
 * the delta starts after the view's revision and is not a complete list of
 * targets, or its routes are relative to another list than that of the view.
 * Forms of cookies are taken over in any case. */
bool forward_view_apply(struct forward_view *view,
                        const struct view_delta *delta, uint64_t now);
/* Applies what a complete list of a peer knows of earlier eras and the view
 * does not: a balancer that has started from the copy of a restored store may
 * get the answer of a peer only afterwards. Other deltas are ignored. Also
 * done by forward_view_apply() with a list that is not newer than the view. */
void forward_view_merge_earlier(struct forward_view *view,
                                const struct view_delta *delta, uint64_t now);
/* Fills "delta" with the changes for a peer whose view is complete up to the
 * position "from" and has the list of routes of position "routes_base". Where
 * the changes are not known, as across eras, "delta" contains the complete
 * list of routes or of targets. "delta" must be initialized and empty. */
void forward_view_delta_since(const struct forward_view *view,
                              struct store_position from,
                              struct store_position routes_base, uint64_t now,
                              struct view_delta *delta);
/* Changes the lapsed targets whose "lapsed_until" has passed to TARGET_GONE,
 * and makes the forms of cookies final whose time has passed. */
void forward_view_expire_lapsed(struct forward_view *view, uint64_t now);
/* Makes the held records those of their targets for which the time ended
 * before "confirmed_at", when the store confirmed the view last; so a removal
 * that an outage of the store delays is not missed. */
void forward_view_expire_held(struct forward_view *view, uint64_t confirmed_at,
                              uint64_t now);

/* Position up to which the view is complete; none: the view is empty. */
struct store_position forward_view_position(const struct forward_view *view);
/* Position of the newest change that the view contains; none: there is none.
 * Unlike forward_view_position() it does not rise with changes of other
 * keys. */
struct store_position
forward_view_content_position(const struct forward_view *view);
/* Position of the list of routes; none: there is no list. */
struct store_position
forward_view_routes_position(const struct forward_view *view);
/* Version that the operator gave the configuration with these routes. */
uint64_t forward_view_routes_version(const struct forward_view *view);
/* Number of held records. */
size_t forward_view_held_count(const struct forward_view *view);
/* Number of targets whose cookie is not of the first form, 0 while the forms
 * are not final. */
size_t forward_view_other_forms(const struct forward_view *view);
/* True when the view has at least one route and one target. */
bool forward_view_usable(const struct forward_view *view);
/* Number of routes, and of targets, without the removed ones. Lapsed targets
 * are counted. */
size_t forward_view_route_count(const struct forward_view *view);
size_t forward_view_target_count(const struct forward_view *view);

/* Returns NULL when there is no such route or it was removed. */
struct forward_route *forward_view_route(const struct forward_view *view,
                                         uint32_t addr, uint16_t port);
/* Returns NULL when no target of the service was ever present. "name" must be
 * interned. */
struct forward_service *forward_view_service(const struct forward_view *view,
                                             const char *name);
/* Returns NULL when the domain is neither that of a target nor known by
 * forward_view_set_region() or an order. "name" must be interned. */
struct forward_domain *forward_view_domain(const struct forward_view *view,
                                           const char *name);
/* Makes the regions of all failure domains unknown. */
void forward_view_clear_regions(struct forward_view *view);
/* Sets the region of a failure domain. Both names must be interned. */
void forward_view_set_region(struct forward_view *view, const char *domain,
                             const char *region);
/* Whether any failure domain is emptied. */
bool forward_view_has_emptied(const struct forward_view *view);
/* Finds a target by its cookie, including lapsed and removed ones. Returns
 * NULL when there is none. */
struct forward_target *forward_view_target(const struct forward_view *view,
                                           uint32_t cookie);

/* Returns the name of a target's failure domain for logs, "" if unknown. */
const char *forward_target_domain_name(const struct forward_target *target);
/* Returns the 32-bit hash of a target's id that identifies the target in
 * packets of callers, in one of its forms; see state/cookie-owners.h. Never 0.
 */
uint32_t forward_cookie_of(const char *id, unsigned form);
/* Returns the first form, which all targets have but for equal hashes. */
uint32_t forward_cookie(const char *id);
/* Whether another target has taken over the address of this one, which then
 * no longer runs: its entry claims the address, and this target has answered
 * no packet since. */
bool forward_target_is_replaced(const struct forward_target *target);
/* Returns the other form of a cookie, which the target's opening packets have;
 * for that form, the cookie. */
uint32_t forward_opening_cookie(uint32_t cookie);
/* Returns whether the route has a share of the service now, or had one at or
 * after "since". */
bool forward_route_had_service(const struct forward_route *route,
                               const char *service, uint64_t since);

/* Call "cb" for each service that a route names and that has a target, present
 * or lapsed, and for each known failure domain. */
void forward_view_each_service(
    const struct forward_view *view,
    void (*cb)(void *ctx, const struct forward_service *service), void *ctx);
void forward_view_each_domain(const struct forward_view *view,
                              void (*cb)(void *ctx,
                                         const struct forward_domain *domain),
                              void *ctx);
