#include "state/forward-view.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/clock.h"
#include "state/address-claims.h"
#include "state/cookie-owners.h"

/* Any number; another one would not be compatible with other builds. Neither
 * form of a cookie is 0. */
#define OPENING_COOKIE_MASK 0x5bd1e995U

struct forward_view {
    struct forward_view_callbacks cb;
    GHashTable *routes;  /* key of addr and port -> struct forward_route */
    GHashTable *targets; /* id -> struct forward_target */
    struct cookie_owners *cookies;
    GHashTable *services; /* interned name -> struct forward_service */
    GHashTable *domains;  /* interned name -> struct forward_domain */
    struct address_claims *claims;
    GHashTable *held;            /* id -> struct held_record */
    struct list removed_routes;  /* oldest first */
    struct list removed_targets; /* oldest first */
    struct list lapsed;          /* struct forward_target */
    size_t removed_route_count;  /* length of "removed_routes" */
    size_t removed_target_count; /* length of "removed_targets" */
    size_t order_count;          /* orders in "targets" that are in effect */
    /* Position up to which the view is complete. */
    struct store_position position;
    struct store_position
        content; /* position of the newest change contained */
    struct store_position routes_position; /* of the current list of routes */
    uint64_t routes_version; /* of the configuration with these routes */
    /* Positions of the current and former lists of routes relative to which a
     * delta can be computed, oldest first. */
    GArray *lists;
    /* Latest position at which a target was removed that is no longer in
     * "removed_targets". */
    struct store_position pruned;
    /* Until when the forms of cookies are not final, us; 0: they are */
    uint64_t forms_guessed_until;
    bool era_changes;    /* the delta being applied begins a new era */
    uint64_t generation; /* number of deltas applied so far */
};

/* A record of a new era that is older than the known one of its target. */
struct held_record {
    struct target_record record;
    uint64_t until; /* when the target writes no more, us */
};

uint32_t
forward_cookie_of(const char *id, unsigned form)
{
    uint32_t hash = (uint32_t)XXH64(id, strlen(id), form);

    return hash == 0 || hash == OPENING_COOKIE_MASK ? 1 : hash;
}

uint32_t
forward_cookie(const char *id)
{
    return forward_cookie_of(id, 0);
}

uint32_t
forward_opening_cookie(uint32_t cookie)
{
    return cookie ^ OPENING_COOKIE_MASK;
}

bool
forward_target_is_replaced(const struct forward_target *target)
{
    return target->claimed_at != 0 &&
           target->observations.alive_at <= target->claimed_at;
}

const char *
forward_target_domain_name(const struct forward_target *target)
{
    return target->record.domain == NULL ? "" : target->record.domain;
}

static guint
route_key_hash(gconstpointer key)
{
    uint64_t value;

    memcpy(&value, key, sizeof(value));
    return (guint)XXH64(&value, sizeof(value), 0);
}

static uint64_t
route_key(uint32_t addr, uint16_t port)
{
    return (uint64_t)addr << 16 | port;
}

static void
route_free(gpointer data)
{
    struct forward_route *route = data;

    if (route->past != NULL) {
        g_array_free(route->past, TRUE);
    }
    route_record_clear(&route->record);
    g_free(route);
}

static void
service_free(gpointer data)
{
    struct forward_service *service = data;

    g_ptr_array_free(service->targets, TRUE);
    free(service);
}

static void
notify_changed(struct forward_view *view, struct forward_target *target)
{
    if (view->cb.target_changed != NULL) {
        view->cb.target_changed(view->cb.ctx, target);
    }
}

struct forward_view *
forward_view_new(const struct forward_view_callbacks *cb)
{
    struct forward_view *view = calloc(1, sizeof(*view));

    if (view == NULL) {
        return NULL;
    }
    view->cb = *cb;
    view->routes =
        g_hash_table_new_full(route_key_hash, g_int64_equal, NULL, route_free);
    view->targets = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free);
    view->cookies = cookie_owners_new();
    view->services = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
                                           service_free);
    view->domains =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    view->claims = address_claims_new();
    view->held = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    view->lists = g_array_new(FALSE, FALSE, sizeof(struct store_position));
    list_init(&view->removed_routes);
    list_init(&view->removed_targets);
    list_init(&view->lapsed);
    return view;
}

void
forward_view_destroy(struct forward_view *view)
{
    if (view == NULL) {
        return;
    }
    g_hash_table_destroy(view->routes);
    cookie_owners_destroy(view->cookies);
    g_hash_table_destroy(view->targets);
    g_hash_table_destroy(view->services);
    g_hash_table_destroy(view->domains);
    address_claims_destroy(view->claims);
    g_hash_table_destroy(view->held);
    g_array_free(view->lists, TRUE);
    free(view);
}

struct store_position
forward_view_position(const struct forward_view *view)
{
    return view->position;
}

struct store_position
forward_view_content_position(const struct forward_view *view)
{
    return view->content;
}

struct store_position
forward_view_routes_position(const struct forward_view *view)
{
    return view->routes_position;
}

uint64_t
forward_view_routes_version(const struct forward_view *view)
{
    return view->routes_version;
}

size_t
forward_view_held_count(const struct forward_view *view)
{
    return g_hash_table_size(view->held);
}

size_t
forward_view_route_count(const struct forward_view *view)
{
    return g_hash_table_size(view->routes) - view->removed_route_count;
}

size_t
forward_view_target_count(const struct forward_view *view)
{
    return g_hash_table_size(view->targets) - view->removed_target_count -
           view->order_count;
}

size_t
forward_view_other_forms(const struct forward_view *view)
{
    return view->forms_guessed_until != 0
               ? 0
               : cookie_owners_other_forms(view->cookies);
}

bool
forward_view_usable(const struct forward_view *view)
{
    return forward_view_route_count(view) > 0 &&
           forward_view_target_count(view) > 0;
}

static struct forward_route *
find_route(const struct forward_view *view, uint32_t addr, uint16_t port)
{
    uint64_t key = route_key(addr, port);

    return g_hash_table_lookup(view->routes, &key);
}

struct forward_route *
forward_view_route(const struct forward_view *view, uint32_t addr,
                   uint16_t port)
{
    struct forward_route *route = find_route(view, addr, port);

    return route == NULL || route->record.removed ? NULL : route;
}

struct forward_service *
forward_view_service(const struct forward_view *view, const char *name)
{
    return g_hash_table_lookup(view->services, name);
}

struct forward_domain *
forward_view_domain(const struct forward_view *view, const char *name)
{
    return g_hash_table_lookup(view->domains, name);
}

static struct forward_domain *
domain_get(struct forward_view *view, const char *name)
{
    struct forward_domain *domain = g_hash_table_lookup(view->domains, name);

    if (domain == NULL) {
        domain = g_new0(struct forward_domain, 1);
        domain->name = name;
        g_hash_table_insert(view->domains, (gpointer)name, domain);
    }
    return domain;
}

void
forward_view_clear_regions(struct forward_view *view)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, view->domains);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct forward_domain *domain = value;

        domain->region = NULL;
    }
}

void
forward_view_set_region(struct forward_view *view, const char *domain,
                        const char *region)
{
    domain_get(view, domain)->region = region;
}

bool
forward_view_has_emptied(const struct forward_view *view)
{
    return view->order_count > 0;
}

struct forward_target *
forward_view_target(const struct forward_view *view, uint32_t cookie)
{
    return cookie_owners_find(view->cookies, cookie);
}

bool
forward_route_had_service(const struct forward_route *route,
                          const char *service, uint64_t since)
{
    if (!route->record.removed &&
        route_record_has_service(&route->record, service)) {
        return true;
    }
    for (guint i = 0; route->past != NULL && i < route->past->len; i++) {
        const struct route_past_service *past =
            &g_array_index(route->past, struct route_past_service, i);

        if (past->service == service && past->until >= since) {
            return true;
        }
    }
    return false;
}

/* Adds a former service to a route, in the place of one whose flows have all
 * ended if there is one. */
static void
add_past_service(const struct forward_view *view, struct forward_route *route,
                 const char *service, uint64_t now)
{
    const struct route_past_service added = {service, now};

    if (route->past == NULL) {
        route->past = g_array_new(FALSE, FALSE, sizeof(added));
    }
    for (guint i = 0; i < route->past->len; i++) {
        struct route_past_service *past =
            &g_array_index(route->past, struct route_past_service, i);

        if (past->service == service ||
            now - past->until > view->cb.flow_max_us) {
            *past = added;
            return;
        }
    }
    g_array_append_val(route->past, added);
}

/* Adds the services that the route is about to lose to its former services. */
static void
remember_past_services(const struct forward_view *view,
                       struct forward_route *route,
                       const struct route_record *next, uint64_t now)
{
    if (route->record.removed) {
        return;
    }
    for (size_t i = 0; i < route_record_share_count(&route->record); i++) {
        const char *service = route_record_share(&route->record, i)->service;

        if (next->removed || !route_record_has_service(next, service)) {
            add_past_service(view, route, service, now);
        }
    }
}

static void
set_route(struct forward_view *view, struct forward_route *route,
          const struct route_record *record, uint64_t now)
{
    struct route_record next = route_record_copy(record);

    if (route->record.removed && !record->removed) {
        list_remove(&route->removed_link);
        view->removed_route_count--;
    }
    if (!route->record.removed && record->removed) {
        list_push_back(&view->removed_routes, &route->removed_link);
        view->removed_route_count++;
    }
    remember_past_services(view, route, record, now);
    address_claims_change_route(view->claims, &route->record, record);
    route_record_clear(&route->record);
    route->record = next;
}

static struct forward_service *
service_get(struct forward_view *view, const char *name)
{
    struct forward_service *service =
        g_hash_table_lookup(view->services, name);

    if (service == NULL) {
        service = g_new0(struct forward_service, 1);
        service->name = name;
        service->targets = g_ptr_array_new();
        g_hash_table_insert(view->services, (gpointer)name, service);
    }
    return service;
}

/* Takes over the limits of the services that a route names. */
static void
set_cold_limits(struct forward_view *view, const struct route_record *record)
{
    for (size_t i = 0; i < route_record_share_count(record); i++) {
        const struct route_share *share = route_record_share(record, i);

        if (share->cold_limit > 0 ||
            g_hash_table_contains(view->services, share->service)) {
            service_get(view, share->service)->cold_limit = share->cold_limit;
        }
    }
}

static struct forward_route *
add_route(struct forward_view *view, const struct route_record *record)
{
    struct forward_route *route = g_new0(struct forward_route, 1);

    route->key = route_key(record->addr, record->port);
    list_init(&route->removed_link);
    route->record.addr = record->addr;
    route->record.port = record->port;
    g_hash_table_insert(view->routes, &route->key, route);
    return route;
}

/* Applies one route of a complete list of routes or of a delta to the current
 * list. The route keeps its position if the record does not change it. */
static void
apply_route(struct forward_view *view, const struct route_record *record,
            struct store_position list, uint64_t now)
{
    struct forward_route *route = find_route(view, record->addr, record->port);

    if (route == NULL) {
        if (record->removed) {
            return;
        }
        route = add_route(view, record);
    }
    route->seen_generation = view->generation;
    if (store_position_is_none(route->position) ||
        !route_record_equal(&route->record, record)) {
        set_route(view, route, record, now);
        route->position = list;
    }
    if (!record->removed) {
        set_cold_limits(view, record);
    }
}

/* Removes the routes that are not in the complete list just applied. */
static void
remove_unlisted_routes(struct forward_view *view, struct store_position list,
                       uint64_t now)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, view->routes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct forward_route *route = value;
        struct route_record gone = route->record;

        if (route->seen_generation == view->generation || gone.removed) {
            continue;
        }
        gone.removed = true;
        set_route(view, route, &gone, now);
        route->position = list;
    }
}

static void
record_content(struct forward_view *view, struct store_position position)
{
    view->content = store_position_max(view->content, position);
}

/* Makes the list of routes of a delta the current one and remembers its
 * position, so that deltas relative to this list can be computed later. */
static void
record_list(struct forward_view *view, const struct view_delta *delta)
{
    view->routes_position = delta->routes_position;
    view->routes_version = delta->routes_version;
    record_content(view, delta->routes_position);
    if (view->lists->len == ROUTE_LISTS_MAX) {
        g_array_remove_index(view->lists, 0);
    }
    g_array_append_val(view->lists, delta->routes_position);
}

static struct store_position
list_position(const struct forward_view *view, guint index)
{
    return g_array_index(view->lists, struct store_position, index);
}

/* Forgets the lists of routes before "position": deltas relative to them can
 * no longer be computed. */
static void
drop_lists_before(struct forward_view *view, struct store_position position)
{
    while (view->lists->len > 0 &&
           store_position_is_after(position, list_position(view, 0))) {
        g_array_remove_index(view->lists, 0);
    }
}

static bool
knows_list(const struct forward_view *view, struct store_position position)
{
    for (guint i = 0; i < view->lists->len; i++) {
        if (store_position_equal(list_position(view, i), position)) {
            return true;
        }
    }
    return false;
}

/* Whether the list of routes that a delta leads to is newer than the current
 * one. In different eras the version decides; an equal one is the same list,
 * written again in the later era. */
static bool
list_is_newer(const struct forward_view *view, const struct view_delta *delta)
{
    struct store_position list = delta->routes_position;

    if (list.era == view->routes_position.era) {
        return store_position_is_after(list, view->routes_position);
    }
    return list.era > view->routes_position.era
               ? delta->routes_version >= view->routes_version
               : delta->routes_version > view->routes_version;
}

/* Whether the routes of a delta are a newer complete list, or a delta to the
 * current list. */
static bool
routes_are_newer(const struct forward_view *view,
                 const struct view_delta *delta)
{
    return list_is_newer(view, delta) &&
           (delta->routes_complete ||
            store_position_equal(delta->routes_base, view->routes_position));
}

static void
apply_routes(struct forward_view *view, const struct view_delta *delta,
             uint64_t now)
{
    if (!routes_are_newer(view, delta)) {
        return;
    }
    for (guint i = 0; i < delta->routes->len; i++) {
        apply_route(view,
                    &g_array_index(delta->routes, struct route_record, i),
                    delta->routes_position, now);
    }
    if (delta->routes_complete) {
        remove_unlisted_routes(view, delta->routes_position, now);
    }
    record_list(view, delta);
}

static void
set_service(struct forward_view *view, struct forward_target *target,
            const char *name)
{
    struct forward_service *service =
        name == NULL ? NULL : service_get(view, name);

    if (target->service == service) {
        return;
    }
    if (target->service != NULL) {
        g_ptr_array_remove_fast(target->service->targets, target);
    }
    target->service = service;
    if (service != NULL) {
        g_ptr_array_add(service->targets, target);
    }
}

static bool
is_order(const struct target_record *record)
{
    return record->kind != RECORD_TARGET;
}

static void
set_presence(struct forward_view *view, struct forward_target *target,
             enum target_presence presence)
{
    if (target->presence == presence) {
        return;
    }
    if (target->presence == TARGET_GONE) {
        view->removed_target_count--;
    }
    address_claims_touch(view->claims, &target->record);
    list_remove(&target->link);
    target->presence = presence;
    if (presence == TARGET_LAPSED) {
        list_push_back(&view->lapsed, &target->link);
    }
    if (presence == TARGET_GONE) {
        list_push_back(&view->removed_targets, &target->link);
        view->removed_target_count++;
        set_service(view, target, NULL);
    }
}

/* Puts the order of a record into effect, or with "emptied" false ends it. */
static void
set_emptied(struct forward_view *view, struct forward_target *order,
            bool emptied, uint64_t now)
{
    struct forward_domain *domain = order->domain;

    assert(domain != NULL);
    if (domain->emptied != emptied) {
        domain->emptied = emptied;
        domain->emptied_at = now;
        domain->emptied_by = order->record.position;
        if (emptied) {
            domain->kept_away = 0;
            view->order_count++;
        }
        else {
            view->order_count--;
        }
        if (view->cb.domain_changed != NULL) {
            view->cb.domain_changed(view->cb.ctx, domain);
        }
    }
    set_presence(view, order, emptied ? TARGET_PRESENT : TARGET_GONE);
}

/* Handles the removal of a target's entry from the store at "position". */
static void
on_entry_removed(struct forward_view *view, struct forward_target *target,
                 struct store_position position, uint64_t now)
{
    target->record.removed = true;
    target->record.position = position;
    if (is_order(&target->record)) {
        set_emptied(view, target, false, now);
        return;
    }
    target->lapsed_until = view->cb.retain_until(view->cb.ctx, target, now);
    set_presence(view, target,
                 target->lapsed_until > now ? TARGET_LAPSED : TARGET_GONE);
    notify_changed(view, target);
}

static struct forward_target *
add_target(struct forward_view *view, const struct target_record *record)
{
    struct forward_target *target = g_new0(struct forward_target, 1);

    list_init(&target->link);
    memcpy(target->record.id, record->id, sizeof(target->record.id));
    g_hash_table_insert(view->targets, target->record.id, target);
    return target;
}

static void
set_target(struct forward_view *view, struct forward_target *target,
           const struct target_record *record, uint64_t now)
{
    if (record->removed) {
        if (target->record.removed) {
            target->record.position = record->position;
        }
        else {
            on_entry_removed(view, target, record->position, now);
        }
        return;
    }
    if (!store_position_equal(record->created, target->record.created) &&
        !store_position_is_none(target->record.created) &&
        target->presence == TARGET_GONE) {
        /* A new entry uses the id of a removed target. */
        memset(&target->observations, 0, sizeof(target->observations));
    }
    address_claims_touch(view->claims, &target->record);
    address_claims_touch(view->claims, record);
    target->record = *record;
    if (target->record.cookie_form < target->cookie_form) {
        target->record.cookie_form = target->cookie_form;
    }
    target->domain =
        record->domain == NULL ? NULL : domain_get(view, record->domain);
    if (is_order(record)) {
        set_emptied(view, target, true, now);
        return;
    }
    if (record->cold_ms > 0 || target->cold_until > now) {
        target->cold_until = now + record->cold_ms * USEC_PER_MSEC;
    }
    set_presence(view, target, TARGET_PRESENT);
    set_service(view, target, record->service);
    cookie_owners_add(view->cookies, target, view->position);
    notify_changed(view, target);
}

/* Whether "a" is later than "b", or with "or_equal" the same, by what their
 * target states. */
static bool
stated_later(const struct target_record *a, const struct target_record *b,
             bool or_equal)
{
    if (a->born != b->born) {
        return a->born > b->born;
    }
    return a->sequence > b->sequence ||
           (or_equal && a->sequence == b->sequence);
}

/* Whether a record of a later era replaces one of an earlier era. The later
 * one may stem from the copy that the store was restored from. A removal does
 * not: it happened in the later era. */
static bool
replaces_earlier_era(const struct target_record *later,
                     const struct target_record *earlier)
{
    return later->removed || is_order(later) ||
           stated_later(later, earlier, !earlier->removed);
}

static bool
record_is_newer(const struct target_record *record,
                const struct target_record *known)
{
    if (record->position.era == known->position.era) {
        return store_position_is_after(record->position, known->position);
    }
    return record->position.era > known->position.era
               ? replaces_earlier_era(record, known)
               : !replaces_earlier_era(known, record);
}

static void
hold_record(struct forward_view *view, const struct target_record *record,
            uint64_t now)
{
    struct held_record *held = g_hash_table_lookup(view->held, record->id);

    if (held != NULL &&
        store_position_equal(held->record.position, record->position)) {
        return;
    }
    held = g_new(struct held_record, 1);
    held->record = *record;
    held->until = now + HELD_RECORD_US;
    g_hash_table_replace(view->held, held->record.id, held);
}

/* Adds a removed target, so that a copy of its entry in a later era does not
 * make it present. */
static void
add_removed_target(struct forward_view *view,
                   const struct target_record *record)
{
    struct forward_target *target = add_target(view, record);

    target->record = *record;
    target->seen_generation = view->generation;
    if (record->domain != NULL) {
        target->domain = domain_get(view, record->domain);
    }
    set_presence(view, target, TARGET_GONE);
    if (!is_order(record)) {
        cookie_owners_add(view->cookies, target, view->position);
    }
}

/* Applies a record, or holds it when it is of a later era than the known one
 * but older. */
static void
apply_record(struct forward_view *view, struct forward_target *target,
             const struct target_record *record, uint64_t now)
{
    const struct target_record known = target->record;

    if (!record_is_newer(record, &known)) {
        if (record->position.era > known.position.era) {
            hold_record(view, record, now);
        }
        return;
    }
    g_hash_table_remove(view->held, record->id);
    set_target(view, target, record, now);
    record_content(view, record->position);
    if (known.position.era > record->position.era) {
        hold_record(view, &known, now);
    }
}

static void
apply_target(struct forward_view *view, const struct target_record *record,
             bool complete, uint64_t now)
{
    struct forward_target *target =
        g_hash_table_lookup(view->targets, record->id);

    if (target == NULL && record->removed) {
        if (complete) {
            add_removed_target(view, record);
        }
        return;
    }
    if (target == NULL) {
        target = add_target(view, record);
    }
    target->seen_generation = view->generation;
    apply_record(view, target, record, now);
}

/* Whether a record that a complete list of the position "list" lacks stays:
 * an order that a restored store has lost is in effect until the operator
 * writes it again and takes it back, because a domain may be switched off on
 * the strength of it. */
static bool
outlasts_era(const struct target_record *record, struct store_position list)
{
    return is_order(record) && record->position.era < list.era;
}

static void
remove_unlisted_targets(struct forward_view *view,
                        struct store_position position, uint64_t now)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, view->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct forward_target *target = value;

        if (target->seen_generation != view->generation) {
            g_hash_table_remove(view->held, target->record.id);
        }
        if (target->seen_generation != view->generation &&
            !target->record.removed &&
            !outlasts_era(&target->record, position) &&
            !store_position_is_after(target->record.position, position)) {
            on_entry_removed(view, target, position, now);
            record_content(view, position);
        }
    }
}

static void
on_address_lost(void *ctx, struct forward_target *target)
{
    notify_changed(ctx, target);
}

static void
update_claims(struct forward_view *view, uint64_t now)
{
    address_claims_update(view->claims, view->targets, on_address_lost, view,
                          now);
}

static void
apply_targets(struct forward_view *view, const struct view_delta *delta,
              uint64_t now)
{
    for (guint i = 0; i < delta->targets->len; i++) {
        apply_target(view,
                     &g_array_index(delta->targets, struct target_record, i),
                     delta->targets_complete, now);
    }
    if (delta->targets_complete) {
        remove_unlisted_targets(view, delta->to, now);
    }
}

static void
trim_removed_routes(struct forward_view *view)
{
    while (view->removed_route_count > FORWARD_REMOVED_MAX) {
        struct forward_route *route = container_of(
            view->removed_routes.next, struct forward_route, removed_link);
        uint64_t key = route_key(route->record.addr, route->record.port);

        drop_lists_before(view, route->position);
        list_remove(&route->removed_link);
        view->removed_route_count--;
        g_hash_table_remove(view->routes, &key);
    }
}

static void
trim_removed_targets(struct forward_view *view)
{
    while (view->removed_target_count > FORWARD_REMOVED_MAX) {
        struct forward_target *target = container_of(
            view->removed_targets.next, struct forward_target, link);

        view->pruned =
            store_position_max(view->pruned, target->record.position);
        g_hash_table_remove(view->held, target->record.id);
        list_remove(&target->link);
        view->removed_target_count--;
        cookie_owners_remove(view->cookies, target);
        g_hash_table_remove(view->targets, target->record.id);
    }
}

/* Returns the targets to which this view has given another form than the
 * first, and takes their cookies away. */
static GPtrArray *
release_guessed_forms(struct forward_view *view)
{
    GPtrArray *released = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, view->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct forward_target *target = value;

        if (target->cookie_form > 0) {
            cookie_owners_remove(view->cookies, target);
            target->cookie_form = 0;
            target->record.cookie_form = 0;
            g_ptr_array_add(released, target);
        }
    }
    return released;
}

static void
assign_cookie(struct forward_view *view, struct forward_target *target)
{
    uint32_t before = target->cookie;

    cookie_owners_add(view->cookies, target, view->position);
    if (target->cookie != before) {
        notify_changed(view, target);
    }
}

static bool
has_other_forms(const struct view_delta *delta)
{
    for (guint i = 0; i < delta->targets->len; i++) {
        if (g_array_index(delta->targets, struct target_record, i)
                .cookie_form > 0) {
            return true;
        }
    }
    return false;
}

/* Takes over the forms of cookies that a peer knows. They stay the same when a
 * target's entry changes, so the records may be older than the known ones. */
static void
learn_forms(struct forward_view *view, const struct view_delta *delta)
{
    GPtrArray *released = NULL;

    if (!has_other_forms(delta)) {
        return;
    }
    if (view->forms_guessed_until != 0) {
        released = release_guessed_forms(view);
        view->forms_guessed_until = 0;
    }
    for (guint i = 0; i < delta->targets->len; i++) {
        const struct target_record *record =
            &g_array_index(delta->targets, struct target_record, i);
        struct forward_target *target =
            g_hash_table_lookup(view->targets, record->id);

        if (target != NULL && record->cookie_form > target->cookie_form) {
            target->record.cookie_form = record->cookie_form;
            assign_cookie(view, target);
        }
    }
    for (guint i = 0; released != NULL && i < released->len; i++) {
        assign_cookie(view, g_ptr_array_index(released, i));
    }
    if (released != NULL) {
        g_ptr_array_free(released, TRUE);
    }
}

/* Applies one record of a list that is not newer than the view, if the view
 * has a record of a later era that does not replace it. An unknown target is
 * not added: its entry may have been removed since. An order is, where the
 * list is as new as the view. */
static void
merge_earlier_target(struct forward_view *view,
                     const struct target_record *record, bool list_is_as_new,
                     uint64_t now)
{
    struct forward_target *target =
        g_hash_table_lookup(view->targets, record->id);

    if (target == NULL && is_order(record) && !record->removed &&
        list_is_as_new) {
        target = add_target(view, record);
        target->seen_generation = view->generation;
        apply_record(view, target, record, now);
        return;
    }
    if (target != NULL && record->position.era < target->record.position.era) {
        apply_record(view, target, record, now);
    }
}

void
forward_view_merge_earlier(struct forward_view *view,
                           const struct view_delta *delta, uint64_t now)
{
    learn_forms(view, delta);
    if (!delta->targets_complete) {
        return;
    }
    view->era_changes = false;
    view->generation++;
    if (delta->routes_position.era < view->routes_position.era) {
        apply_routes(view, delta, now);
    }
    for (guint i = 0; i < delta->targets->len; i++) {
        merge_earlier_target(
            view, &g_array_index(delta->targets, struct target_record, i),
            store_position_equal(delta->to, view->position), now);
    }
    update_claims(view, now);
}

bool
forward_view_apply(struct forward_view *view, const struct view_delta *delta,
                   uint64_t now)
{
    bool empty = store_position_is_none(view->position);
    bool era_changes = !empty && delta->to.era > view->position.era;
    uint64_t conflicts = cookie_owners_conflicts(view->cookies);

    learn_forms(view, delta);
    if (!delta->targets_complete &&
        (era_changes ||
         store_position_is_after(delta->from, view->position))) {
        return false;
    }
    if (!empty && !store_position_is_after(delta->to, view->position)) {
        forward_view_merge_earlier(view, delta, now);
        return true;
    }
    if (list_is_newer(view, delta) && !routes_are_newer(view, delta)) {
        return false;
    }
    view->era_changes = era_changes;
    view->generation++;
    apply_routes(view, delta, now);
    apply_targets(view, delta, now);
    update_claims(view, now);
    if (empty && cookie_owners_conflicts(view->cookies) != conflicts) {
        view->forms_guessed_until = now + FORMS_GUESSED_US;
    }
    view->position = delta->to;
    trim_removed_routes(view);
    trim_removed_targets(view);
    return true;
}

static uint32_t
cold_left_ms(const struct forward_target *target, uint64_t now)
{
    return target->cold_until > now
               ? (uint32_t)((target->cold_until - now) / USEC_PER_MSEC)
               : 0;
}

static void
add_routes_since(const struct forward_view *view, struct store_position from,
                 struct view_delta *delta)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, view->routes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct forward_route *route = value;

        if (delta->routes_complete
                ? !route->record.removed
                : store_position_is_after(route->position, from)) {
            view_delta_add_route(delta, &route->record);
        }
    }
}

/* Whether a complete list contains a record. Removed orders are in it, because
 * a peer that has missed the removal keeps the order across eras, and removed
 * targets whose cookie has another form, since they may return. */
static bool
belongs_in_list(const struct forward_view *view,
                const struct target_record *record)
{
    return !record->removed || is_order(record) || record->cookie_form > 0 ||
           g_hash_table_contains(view->held, record->id);
}

static void
add_targets_since(const struct forward_view *view, struct store_position from,
                  uint64_t now, struct view_delta *delta)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, view->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct forward_target *target = value;
        struct target_record record = target->record;

        if (view->forms_guessed_until != 0) {
            record.cookie_form = 0;
        }
        if ((!store_position_is_after(record.position, from) &&
             record.cookie_form == 0) ||
            (delta->targets_complete && !belongs_in_list(view, &record))) {
            continue;
        }
        record.cold_ms = cold_left_ms(target, now);
        g_array_append_val(delta->targets, record);
    }
}

/* Adds the held records, each after the known one of its target. */
static void
add_held_records(const struct forward_view *view, struct view_delta *delta)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, view->held);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct held_record *held = value;

        g_array_append_val(delta->targets, held->record);
    }
}

void
forward_view_delta_since(const struct forward_view *view,
                         struct store_position from,
                         struct store_position routes_base, uint64_t now,
                         struct view_delta *delta)
{
    bool complete = store_position_is_none(from) ||
                    from.era != view->position.era ||
                    store_position_is_after(view->pruned, from);

    delta->from = complete ? (struct store_position){0} : from;
    delta->to = view->position;
    delta->targets_complete = complete;
    delta->routes_position = view->routes_position;
    delta->routes_version = view->routes_version;
    add_targets_since(view, delta->from, now, delta);
    if (complete) {
        add_held_records(view, delta);
    }
    /* Without routes the delta fits those that hold this list only. */
    delta->routes_base = view->routes_position;
    if (routes_base.era != view->routes_position.era ||
        store_position_is_after(view->routes_position, routes_base)) {
        delta->routes_complete = !knows_list(view, routes_base);
        delta->routes_base = routes_base;
        add_routes_since(view, routes_base, delta);
    }
}

void
forward_view_expire_held(struct forward_view *view, uint64_t confirmed_at,
                         uint64_t now)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, view->held);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct held_record *held = value;
        struct forward_target *target =
            g_hash_table_lookup(view->targets, held->record.id);

        if (confirmed_at <= held->until) {
            continue;
        }
        if (target != NULL) {
            set_target(view, target, &held->record, now);
            record_content(view, held->record.position);
        }
        g_hash_table_iter_remove(&iter);
    }
    update_claims(view, now);
}

void
forward_view_expire_lapsed(struct forward_view *view, uint64_t now)
{
    if (now >= view->forms_guessed_until) {
        view->forms_guessed_until = 0;
    }
    list_for_each_safe (it, &view->lapsed) {
        struct forward_target *target =
            container_of(it, struct forward_target, link);

        if (now >= target->lapsed_until) {
            set_presence(view, target, TARGET_GONE);
            notify_changed(view, target);
        }
    }
    update_claims(view, now);
}

void
forward_view_each_service(const struct forward_view *view,
                          void (*cb)(void *ctx,
                                     const struct forward_service *service),
                          void *ctx)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, view->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct forward_service *service = value;

        if (service->targets->len > 0 &&
            address_claims_has_service(view->claims, service->name)) {
            cb(ctx, service);
        }
    }
}

void
forward_view_each_domain(const struct forward_view *view,
                         void (*cb)(void *ctx,
                                    const struct forward_domain *domain),
                         void *ctx)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, view->domains);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        cb(ctx, value);
    }
}
