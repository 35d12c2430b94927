#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "base/random.h"
#include "route-fixture.h"
#include "state/forward-view.h"

#define COUNT(array) (sizeof(array) / sizeof(*(array)))
#define SEED 20261203
#define NOW_US (100 * USEC_PER_SEC)
/* Time for which a lapsed target is kept */
#define LAPSED_US (2 * USEC_PER_SEC)
#define FLOW_MAX_US (60 * USEC_PER_SEC)
#define SPLIT_SERVICES 90 /* services of a route */

static struct forward_view *view;
/* Whether the store was unavailable when entries of targets were removed */
static bool store_was_unavailable;

static uint64_t
retain_until(void *ctx, const struct forward_target *target, uint64_t now)
{
    return store_was_unavailable && !target->record.draining ? now + LAPSED_US
                                                             : 0;
}

static const struct forward_view_callbacks callbacks = {.retain_until =
                                                            retain_until};

static int
setup(void **state)
{
    store_was_unavailable = false;
    view = forward_view_new(&callbacks);
    return view == NULL;
}

static int
teardown(void **state)
{
    store_was_unavailable = false;
    forward_view_destroy(view);
    return 0;
}

static struct route_record
route(uint16_t port, const char *service, uint32_t timeout_ms)
{
    return (struct route_record){
        .addr = 0xc6120001,
        .port = port,
        .timeout_ms = timeout_ms,
        .shares = fixture_share(service, 0),
    };
}

static struct target_record
target(const char *id, const char *service, uint64_t revision)
{
    struct target_record t = {
        .service = g_intern_string(service),
        .domain = g_intern_string("a"),
        .slots = 2,
        .created.revision = revision,
        .position.revision = revision,
    };

    snprintf(t.id, sizeof(t.id), "%s", id);
    return t;
}

static void
add_route(struct view_delta *delta, struct route_record r)
{
    view_delta_add_route(delta, &r);
}

static void
add_target(struct view_delta *delta, struct target_record t)
{
    g_array_append_val(delta->targets, t);
}

/* Applies a delta from the revision "from" to "revision" with a complete list
 * of routes. Returns false when the view refuses it. */
static bool
apply_list_at(struct forward_view *v, uint64_t from, uint64_t revision,
              const struct route_record *routes, size_t count, uint64_t now)
{
    struct view_delta delta;
    bool applied;

    view_delta_init(&delta);
    delta.from.revision = from;
    delta.to.revision = revision;
    delta.routes_complete = true;
    delta.routes_position.revision = revision;
    for (size_t i = 0; i < count; i++) {
        view_delta_add_route(&delta, &routes[i]);
    }
    applied = forward_view_apply(v, &delta, now);
    view_delta_clear(&delta);
    return applied;
}

static bool
apply_list(struct forward_view *v, uint64_t from, uint64_t revision,
           const struct route_record *routes, size_t count)
{
    return apply_list_at(v, from, revision, routes, count, NOW_US);
}

static bool
apply_target(uint64_t from, struct target_record t, uint64_t now)
{
    struct view_delta delta;
    bool applied;

    view_delta_init(&delta);
    delta.from =
        (struct store_position){.era = t.position.era, .revision = from};
    delta.to = t.position;
    add_target(&delta, t);
    applied = forward_view_apply(view, &delta, now);
    view_delta_clear(&delta);
    return applied;
}

/* Sends the changes of the view "from" that the view "to" lacks, as one
 * forwarder does to another. */
static bool
send_delta(const struct forward_view *from, struct forward_view *to)
{
    struct view_delta delta;
    bool applied;

    view_delta_init(&delta);
    forward_view_delta_since(from, forward_view_position(to),
                             forward_view_routes_position(to), NOW_US, &delta);
    applied = forward_view_apply(to, &delta, NOW_US);
    view_delta_clear(&delta);
    return applied;
}

static const char *
service_of_route(uint16_t port)
{
    const struct forward_route *r = forward_view_route(view, 0xc6120001, port);

    return route_record_share(&r->record, 0)->service;
}

/* A list of routes replaces an older one. An older list changes nothing. */
static void
test_route_lists(void **state)
{
    const struct route_record first[] = {route(80, "s", 100),
                                         route(81, "t", 100)};
    const struct route_record second[] = {route(80, "t", 100)};

    assert_null(forward_view_route(view, 0xc6120001, 80));
    assert_true(apply_list(view, 0, 5, first, 2));
    assert_int_equal(forward_view_route_count(view), 2);
    assert_string_equal(service_of_route(80), "s");
    assert_true(apply_list(view, 5, 6, second, 1));
    assert_int_equal(forward_view_route_count(view), 1);
    assert_null(forward_view_route(view, 0xc6120001, 81));
    assert_string_equal(service_of_route(80), "t");
    assert_true(apply_list(view, 0, 5, first, 2));
    assert_int_equal(forward_view_route_count(view), 1);
}

/* A route remembers its former services and when it lost them, because flows
 * to them may still be open. */
static void
test_former_services(void **state)
{
    const struct route_record first[] = {route(80, "s", 100)};
    const struct route_record second[] = {route(80, "t", 100)};
    const struct forward_route *r;

    apply_list(view, 0, 5, first, 1);
    apply_list(view, 5, 6, second, 1);
    r = forward_view_route(view, 0xc6120001, 80);
    assert_true(forward_route_had_service(r, g_intern_string("t"), NOW_US));
    assert_true(forward_route_had_service(r, g_intern_string("s"), NOW_US));
    assert_false(
        forward_route_had_service(r, g_intern_string("s"), NOW_US + 1));
    assert_false(forward_route_had_service(r, g_intern_string("u"), 0));
}

/* All services that a route loses at once are remembered, and forgotten when
 * no flow to them can be open any more. */
static void
test_many_former_services(void **state)
{
    struct forward_view_callbacks cb = callbacks;
    struct route_record split = route(80, "s", 100);
    const struct route_record one = route(80, "s", 100);
    const struct forward_route *r;
    struct forward_view *v;
    char name[16];

    cb.flow_max_us = FLOW_MAX_US;
    v = forward_view_new(&cb);
    for (uint64_t round = 0; round < 3; round++) {
        uint64_t now = NOW_US + round * (FLOW_MAX_US + 1);

        split.shares = NULL;
        for (int i = 0; i < SPLIT_SERVICES; i++) {
            struct route_share share = {.weight = 1};

            snprintf(name, sizeof(name), "s%d-%d", (int)round, i);
            share.service = g_intern_string(name);
            route_record_add_share(&split, &share);
        }
        assert_true(
            apply_list_at(v, 2 * round, 2 * round + 1, &split, 1, now));
        assert_true(
            apply_list_at(v, 2 * round + 1, 2 * round + 2, &one, 1, now));
        r = forward_view_route(v, 0xc6120001, 80);
        for (int i = 0; i < SPLIT_SERVICES; i++) {
            snprintf(name, sizeof(name), "s%d-%d", (int)round, i);
            assert_true(
                forward_route_had_service(r, g_intern_string(name), now));
        }
        assert_int_equal(r->past->len, SPLIT_SERVICES + (round > 0 ? 1 : 0));
        route_record_clear(&split);
    }
    forward_view_destroy(v);
}

/* A forwarder has received two lists of routes with the same content. A peer
 * has received a list between them with a changed route, and the second list
 * reverts that change. The delta for the peer must contain the route, although
 * it is the same in both lists of the forwarder. Seen on jibu-edge-grown
 * scale-2, where a balancer returned to an older configuration. */
static void
test_reverted_change(void **state)
{
    const struct route_record a[] = {route(80, "s", 100)};
    const struct route_record b[] = {route(80, "s", 200)};
    struct forward_view *peer = forward_view_new(&callbacks);

    apply_list(view, 0, 10, a, 1);
    apply_list(peer, 0, 10, a, 1);
    apply_list(peer, 10, 20, b, 1); /* not received by "view" */
    apply_list(view, 10, 30, a, 1);
    assert_true(send_delta(view, peer));
    assert_int_equal(forward_view_position(peer).revision, 30);
    assert_int_equal(
        forward_view_route(peer, 0xc6120001, 80)->record.timeout_ms, 100);
    forward_view_destroy(peer);
}

/* A delta relative to another list of routes than that of the receiver is
 * refused. */
static void
test_delta_of_other_list(void **state)
{
    const struct route_record a[] = {route(80, "s", 100)};
    struct view_delta delta;

    apply_list(view, 0, 10, a, 1);
    view_delta_init(&delta);
    delta.from.revision = 10;
    delta.to.revision = 30;
    delta.routes_base.revision = 20;
    delta.routes_position.revision = 30;
    assert_false(forward_view_apply(view, &delta, NOW_US));
    assert_int_equal(forward_view_position(view).revision, 10);
    delta.routes_base.revision = 10;
    assert_true(forward_view_apply(view, &delta, NOW_US));
    view_delta_clear(&delta);
}

/* A delta that starts after the revision of the view is refused, because the
 * changes between them may be missing. */
static void
test_missing_changes(void **state)
{
    assert_true(apply_target(0, target("i-1", "s", 5), NOW_US));
    assert_false(apply_target(6, target("i-2", "s", 8), NOW_US));
    assert_int_equal(forward_view_position(view).revision, 5);
    assert_true(apply_target(5, target("i-2", "s", 8), NOW_US));
    assert_int_equal(forward_view_target_count(view), 2);
}

/* A target that changes from present to draining and then to removed. */
static void
test_target_states(void **state)
{
    uint32_t cookie = forward_cookie("i-1");
    struct target_record t = target("i-1", "s", 5);
    const char *service = t.service;

    assert_true(apply_target(0, t, NOW_US));
    assert_int_equal(forward_view_service(view, service)->targets->len, 1);
    t.position.revision = 6;
    t.draining = true;
    assert_true(apply_target(5, t, NOW_US));
    assert_true(forward_view_target(view, cookie)->record.draining);
    t.position.revision = 7;
    t.removed = true;
    assert_true(apply_target(6, t, NOW_US));
    assert_int_equal(forward_view_target(view, cookie)->presence, TARGET_GONE);
    assert_int_equal(forward_view_service(view, service)->targets->len, 0);
    assert_int_equal(forward_view_target_count(view), 0);
}

/* A target whose entry was removed while the store was unavailable is used
 * until the entry returns or LAPSED_US have passed. A target that was draining
 * is gone at once. */
static void
test_lapsed_target(void **state)
{
    static const struct {
        bool store_unavailable;
        bool draining;
        bool entry_returns;
        enum target_presence after_removal;
        enum target_presence after_expiry;
    } cases[] = {
        {false, false, false, TARGET_GONE, TARGET_GONE},
        {true, false, false, TARGET_LAPSED, TARGET_GONE},
        {true, true, false, TARGET_GONE, TARGET_GONE},
        {true, false, true, TARGET_LAPSED, TARGET_PRESENT},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        struct target_record t = target("i-1", "s", 5);
        const struct forward_target *stored;

        t.draining = cases[i].draining;
        store_was_unavailable = cases[i].store_unavailable;
        apply_target(0, t, NOW_US);
        t.position.revision = 6;
        t.removed = true;
        apply_target(5, t, NOW_US);
        stored = forward_view_target(view, forward_cookie("i-1"));
        assert_int_equal(stored->presence, cases[i].after_removal);
        assert_int_equal(forward_view_service(view, t.service)->targets->len,
                         cases[i].after_removal == TARGET_LAPSED ? 1 : 0);
        forward_view_expire_lapsed(view, NOW_US + LAPSED_US - 1);
        assert_int_equal(stored->presence, cases[i].after_removal);
        if (cases[i].entry_returns) {
            t = target("i-1", "s", 7);
            apply_target(6, t, NOW_US + LAPSED_US - 1);
        }
        forward_view_expire_lapsed(view, NOW_US + LAPSED_US);
        assert_int_equal(stored->presence, cases[i].after_expiry);
        teardown(state);
        setup(state);
    }
}

/* Finds two ids with the same cookie. */
static void
find_equal_cookies(char first[ID_SIZE], char second[ID_SIZE])
{
    GHashTable *seen = g_hash_table_new(g_direct_hash, g_direct_equal);

    for (unsigned i = 1;; i++) {
        gpointer key;
        unsigned other;

        snprintf(second, ID_SIZE, "i-%08x", i);
        key = GUINT_TO_POINTER(forward_cookie(second));
        other = GPOINTER_TO_UINT(g_hash_table_lookup(seen, key));
        if (other != 0) {
            snprintf(first, ID_SIZE, "i-%08x", other);
            break;
        }
        g_hash_table_insert(seen, key, GUINT_TO_POINTER(i));
    }
    g_hash_table_destroy(seen);
}

static struct forward_target *
find_present(const struct forward_view *v, const char *id)
{
    const GPtrArray *present =
        forward_view_service(v, g_intern_string("s"))->targets;

    for (guint i = 0; i < present->len; i++) {
        struct forward_target *t = g_ptr_array_index(present, i);

        if (strcmp(t->record.id, id) == 0) {
            return t;
        }
    }
    return NULL;
}

/* Of two targets with equal hashes, the older one has the first form of the
 * cookie, regardless of the order in which they are received, and the newer
 * one keeps its other form when the older one is gone. */
static void
test_equal_cookies(void **state)
{
    char older[ID_SIZE];
    char newer[ID_SIZE];
    struct target_record a;
    struct target_record b;
    uint32_t cookie;

    find_equal_cookies(older, newer);
    cookie = forward_cookie(older);
    assert_int_equal(cookie, forward_cookie(newer));
    assert_int_not_equal(cookie, forward_cookie_of(newer, 1));
    for (int order = 0; order < 2; order++) {
        struct view_delta delta;

        a = target(older, "s", 5);
        b = target(newer, "s", 6);
        view_delta_init(&delta);
        delta.to.revision = 6;
        add_target(&delta, order == 0 ? a : b);
        add_target(&delta, order == 0 ? b : a);
        forward_view_apply(view, &delta, NOW_US);
        view_delta_clear(&delta);
        for (int step = 0; step < 2; step++) {
            const struct forward_target *found =
                forward_view_target(view, cookie);

            assert_string_equal(found->record.id, older);
            found = forward_view_target(view, forward_cookie_of(newer, 1));
            assert_string_equal(found->record.id, newer);
            assert_int_equal(found->cookie, forward_cookie_of(newer, 1));
            a.position.revision = 7;
            a.removed = true;
            apply_target(6, a, NOW_US);
            b.position.revision = 8;
            apply_target(7, b, NOW_US);
        }
        teardown(state);
        setup(state);
    }
}

/* Where a balancer learns the changes of the table below from. */
enum view_source {
    FOLLOWS,       /* it has followed the store from the start */
    FROM_SNAPSHOT, /* it starts from a complete list of one that has */
    FROM_STORE,    /* it starts from the entries in the store, and has the
                    * answer of a peer that has followed */
    SOURCE_COUNT,
};

/* Returns a new view of a balancer that starts now, while "view" has followed
 * the store. "entries" are those in the store. */
static struct forward_view *
start_view(enum view_source source, const struct target_record *entries,
           size_t count, uint64_t now)
{
    struct forward_view *v = forward_view_new(&callbacks);
    struct view_delta delta;

    view_delta_init(&delta);
    if (source == FROM_STORE) {
        delta.to = forward_view_position(view);
        delta.targets_complete = true;
        g_array_append_vals(delta.targets, entries, (guint)count);
        assert_true(forward_view_apply(v, &delta, now));
    }
    view_delta_clear(&delta);
    assert_true(send_delta(view, v));
    return v;
}

/* The entry of a target that cannot reach the store is removed, and created
 * again afterwards. No balancer sends packets of its open flows to the other
 * target meanwhile, and both get new flows. */
static void
test_cookie_of_open_flows_stays_with_target_that_may_live(void **state)
{
    static const struct {
        const char *name;
        uint64_t after_us; /* since the removal of the older one */
        uint64_t created;  /* position of its entry; 0: it has none */
    } steps[] = {
        {"removed", 0, 0},
        {"removed for longer than a flow lasts", FLOW_MAX_US + 1, 0},
        {"created again", FLOW_MAX_US + 2, 20},
        {"and for longer than a flow lasts", 2 * FLOW_MAX_US + 3, 20},
        {"removed again", 2 * FLOW_MAX_US + 4, 0},
    };
    char older[ID_SIZE];
    char newer[ID_SIZE];
    struct target_record a;
    struct target_record b;

    find_equal_cookies(older, newer);
    a = target(older, "s", 5);
    b = target(newer, "s", 6);
    apply_target(0, a, NOW_US);
    apply_target(5, b, NOW_US);
    for (size_t i = 0; i < COUNT(steps); i++) {
        uint64_t now = NOW_US + steps[i].after_us;

        a.removed = steps[i].created == 0;
        if (!a.removed) {
            a.created.revision = steps[i].created;
        }
        a.position.revision = 20 + i;
        apply_target(forward_view_position(view).revision, a, now);
        forward_view_expire_lapsed(view, now);
        for (enum view_source source = FOLLOWS; source < SOURCE_COUNT;
             source++) {
            const struct target_record entries[] = {b, a};
            struct forward_view *v =
                source == FOLLOWS
                    ? view
                    : start_view(source, entries, a.removed ? 1 : 2, now);
            const struct forward_target *found =
                forward_view_target(v, forward_cookie(older));

            /* A balancer that has started does not know a target without an
             * entry: it drops packets of its flows. */
            if ((found != NULL && strcmp(found->record.id, older) != 0) ||
                (found == NULL && (source == FOLLOWS || !a.removed))) {
                fail_msg("%s, source %d: found %s", steps[i].name, source,
                         found == NULL ? "none" : found->record.id);
            }
            assert_int_equal(find_present(v, newer)->cookie,
                             forward_cookie_of(newer, 1));
            if (source != FOLLOWS) {
                forward_view_destroy(v);
            }
        }
    }
}

/* The newer of two targets with equal hashes keeps its cookie at a balancer
 * that starts while the entries of both are away. */
static void
test_form_of_cookie_outlasts_the_entry(void **state)
{
    struct forward_view *started = forward_view_new(&callbacks);
    char older[ID_SIZE];
    char newer[ID_SIZE];
    struct target_record a;
    struct target_record b;

    find_equal_cookies(older, newer);
    a = target(older, "s", 5);
    b = target(newer, "s", 6);
    apply_target(0, target("i-keep", "s", 4), NOW_US);
    apply_target(4, a, NOW_US);
    apply_target(5, b, NOW_US);
    a.removed = true;
    a.position.revision = 7;
    apply_target(6, a, NOW_US);
    b.removed = true;
    b.position.revision = 8;
    apply_target(7, b, NOW_US);
    assert_true(send_delta(view, started));
    b = target(newer, "s", 9);
    apply_target(8, b, NOW_US);
    a = target(older, "s", 10);
    apply_target(9, a, NOW_US);
    assert_true(send_delta(view, started));
    assert_int_equal(find_present(started, newer)->cookie,
                     forward_cookie_of(newer, 1));
    assert_int_equal(find_present(started, older)->cookie,
                     forward_cookie(older));
    forward_view_destroy(started);
}

/* The number of removed targets that are kept is bounded. A peer whose
 * revision is older than the oldest of them gets the complete list. */
static void
test_removals_are_bounded(void **state)
{
    struct forward_view *peer = forward_view_new(&callbacks);
    uint64_t revision = 1;
    struct target_record gone = target("i-gone", "s", 2);

    apply_target(0, target("i-keep", "s", revision), NOW_US);
    apply_target(1, gone, NOW_US);
    assert_true(send_delta(view, peer));
    gone.removed = true;
    gone.position.revision = 3;
    apply_target(2, gone, NOW_US);
    revision = 3;
    for (int i = 0; i < FORWARD_REMOVED_MAX + 100; i++) {
        char id[ID_SIZE];
        struct target_record t;

        snprintf(id, sizeof(id), "i-%06x", i);
        t = target(id, "s", revision + 1);
        apply_target(revision, t, NOW_US);
        t.position.revision = revision + 2;
        t.removed = true;
        apply_target(revision + 1, t, NOW_US);
        revision += 2;
    }
    assert_null(forward_view_target(view, forward_cookie("i-gone")));
    assert_true(send_delta(view, peer));
    assert_int_equal(forward_view_position(peer).revision, revision);
    assert_int_equal(forward_view_target_count(peer), 1);
    forward_view_destroy(peer);
}

/* The record of an order to empty a failure domain. */
static struct target_record
order(const char *domain, struct store_position position, bool removed)
{
    struct target_record t = {
        .kind = RECORD_EMPTIED_DOMAIN,
        .service = g_intern_string("-"),
        .domain = g_intern_string(domain),
        .draining = true,
        .removed = removed,
        .created = position,
        .position = position,
    };

    emptied_domain_id(domain, t.id);
    return t;
}

static bool
is_emptied(const struct forward_view *v, const char *name)
{
    const struct forward_domain *domain =
        forward_view_domain(v, g_intern_string(name));

    return domain != NULL && domain->emptied;
}

/* Steps of an order's history, as the view learns them. */
enum order_step {
    END,       /* of the history */
    SET,       /* a change: the order is given */
    TAKEN,     /* a change: it is taken back */
    SET_TAKEN, /* both in one delta, as between two polls */
    TAKEN_SET,
    LISTED,             /* a list of all entries contains it */
    UNLISTED,           /* a list of all entries lacks it */
    RESTORED_LISTED,    /* the store is restored from a copy with it */
    RESTORED_UNLISTED,  /* the store is restored from a copy without it */
    RESTORED_NEXT_LIST, /* the list after that also lacks it */
    PEER,               /* a peer that has missed some steps catches up */
};

/* Applies a step to the view at the next position. */
static void
apply_step(enum order_step step, struct store_position *at)
{
    bool list = step >= LISTED;
    struct view_delta delta;

    view_delta_init(&delta);
    if (step == RESTORED_LISTED || step == RESTORED_UNLISTED) {
        at->era++;
        at->revision = 10;
    }
    at->revision++;
    if (step == TAKEN || step == TAKEN_SET) {
        add_target(&delta, order("a", *at, true));
        at->revision += step == TAKEN_SET;
    }
    if (step == SET || step == SET_TAKEN || step == TAKEN_SET ||
        step == LISTED || step == RESTORED_LISTED) {
        add_target(&delta, order("a", *at, false));
    }
    if (step == SET_TAKEN) {
        at->revision++;
        add_target(&delta, order("a", *at, true));
    }
    delta.targets_complete = list;
    delta.from =
        list ? (struct store_position){0} : forward_view_position(view);
    delta.to = *at;
    assert_true(forward_view_apply(view, &delta, NOW_US));
    view_delta_clear(&delta);
}

/* Whether the order is in effect after each step: at the view, at a peer that
 * gets each delta, at one that starts, and at one that has missed steps. */
static void
test_order_histories(void **state)
{
    static const struct {
        const char *name;
        enum order_step steps[8];
        const char *emptied; /* after each step, 0 or 1 */
    } cases[] = {
        {"given and taken back", {SET, TAKEN, SET}, "101"},
        {"given twice", {SET, SET, TAKEN}, "110"},
        {"within one delta", {SET_TAKEN, TAKEN_SET, SET_TAKEN}, "010"},
        {"by lists", {LISTED, LISTED, UNLISTED, LISTED}, "1101"},
        {"a list without it takes it back", {SET, UNLISTED}, "10"},
        {"taken back before it was known", {UNLISTED, TAKEN, SET}, "001"},
        {"lost by the store",
         {SET, RESTORED_UNLISTED, RESTORED_NEXT_LIST},
         "111"},
        {"lost, taken back without an entry",
         {SET, RESTORED_UNLISTED, TAKEN},
         "110"},
        {"lost, written again and taken back",
         {SET, RESTORED_UNLISTED, SET, TAKEN},
         "1110"},
        {"lost, written again, then not in a list",
         {SET, RESTORED_UNLISTED, SET, UNLISTED},
         "1110"},
        {"in the copy", {SET, RESTORED_LISTED, TAKEN}, "110"},
        {"in the copy, then not in a list",
         {SET, RESTORED_LISTED, UNLISTED},
         "110"},
        {"taken back, in the copy again",
         {SET, TAKEN, RESTORED_LISTED, TAKEN},
         "1010"},
        {"taken back, not in the copy",
         {SET, TAKEN, RESTORED_UNLISTED},
         "100"},
        {"lost twice", {SET, RESTORED_UNLISTED, RESTORED_UNLISTED}, "111"},
        {"a peer misses the restore and the end",
         {SET, PEER, RESTORED_UNLISTED, SET, TAKEN},
         "11110"},
        {"a peer misses two restores",
         {SET, PEER, RESTORED_UNLISTED, SET, TAKEN, RESTORED_UNLISTED},
         "111100"},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        struct forward_view *peer = forward_view_new(&callbacks);
        struct forward_view *late = forward_view_new(&callbacks);
        struct store_position at = {.revision = 40};

        print_message("%s\n", cases[i].name);
        assert_true(apply_target(0, target("i-1", "s", 40), NOW_US));
        for (size_t k = 0; cases[i].steps[k] != END; k++) {
            struct forward_view *fresh = forward_view_new(&callbacks);
            bool emptied = cases[i].emptied[k] == '1';

            if (cases[i].steps[k] == PEER) {
                assert_true(send_delta(view, late));
            }
            else {
                apply_step(cases[i].steps[k], &at);
            }
            assert_true(send_delta(view, peer));
            assert_true(send_delta(view, fresh));
            assert_int_equal(is_emptied(view, "a"), emptied);
            assert_int_equal(is_emptied(peer, "a"), emptied);
            assert_int_equal(is_emptied(fresh, "a"), emptied);
            assert_int_equal(forward_view_has_emptied(view), emptied);
            forward_view_destroy(fresh);
        }
        assert_true(send_delta(view, late));
        assert_int_equal(is_emptied(late, "a"), is_emptied(view, "a"));
        assert_int_equal(forward_view_held_count(view), 0);
        forward_view_destroy(late);
        forward_view_destroy(peer);
        teardown(state);
        setup(state);
    }
}

static void
count_domain(void *ctx, const struct forward_domain *domain)
{
    (*(unsigned *)ctx)++;
}

static void
count_emptied(void *ctx, const struct forward_domain *domain)
{
    *(unsigned *)ctx += domain->emptied;
}

/* Orders concern the domains that they name only, count as no targets, and may
 * name a domain that nobody knows yet. */
static void
test_orders_of_domains(void **state)
{
    struct target_record t = target("i-1", "s", 5);
    unsigned changes = 0;
    unsigned emptied = 0;
    const struct forward_view_callbacks counting = {
        .retain_until = retain_until,
        .domain_changed = count_domain,
        .ctx = &changes};
    const struct forward_target *stored;

    forward_view_destroy(view);
    view = forward_view_new(&counting);
    for (uint64_t i = 0; i < 3; i++) {
        static const char *const names[] = {"b", "c", "c"};
        struct store_position at = {.revision = i + 1};

        assert_true(apply_target(i, order(names[i], at, false), NOW_US + i));
    }
    assert_int_equal(changes, 2);
    assert_false(forward_view_usable(view));
    assert_int_equal(forward_view_target_count(view), 0);
    forward_view_each_domain(view, count_emptied, &emptied);
    assert_int_equal(emptied, 2);
    assert_int_equal(
        forward_view_domain(view, g_intern_string("c"))->emptied_at,
        NOW_US + 1);

    assert_true(apply_target(3, t, NOW_US));
    stored = forward_view_target(view, forward_cookie(t.id));
    assert_false(stored->domain->emptied);
    t.domain = g_intern_string("b");
    t.position.revision = 6;
    assert_true(apply_target(5, t, NOW_US));
    assert_true(stored->domain->emptied);
    assert_int_equal(forward_view_target_count(view), 1);
    assert_true(apply_target(
        6, order("b", (struct store_position){.revision = 7}, true), NOW_US));
    assert_false(stored->domain->emptied);
    assert_true(is_emptied(view, "c"));
    assert_int_equal(changes, 3);
}

/* The regions are those that were set last; a failure domain that is no longer
 * among them is in none. */
static void
test_regions_replaced(void **state)
{
    static const struct {
        const char *region_a; /* NULL: not set */
        const char *region_b;
    } cases[] = {
        {"north", "south"}, {"east", "south"}, {NULL, "south"}, {NULL, NULL}};

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        const char *names[] = {g_intern_string("a"), g_intern_string("b")};
        const char *regions[] = {g_intern_string(cases[i].region_a),
                                 g_intern_string(cases[i].region_b)};

        forward_view_clear_regions(view);
        for (size_t n = 0; n < 2; n++) {
            if (regions[n] != NULL) {
                forward_view_set_region(view, names[n], regions[n]);
            }
        }
        for (size_t n = 0; n < 2; n++) {
            assert_ptr_equal(forward_view_domain(view, names[n])->region,
                             regions[n]);
        }
    }
}

/* A model of the store that changes at random, and forwarders that read from
 * it and from each other in random order. Every CHECK_INTERVAL_STEPS steps,
 * after a further exchange, all of them must have the content of the store.
 * The revision of a forwarder must never decrease. */
#define MODEL_PEERS 4
#define MODEL_ROUTES 6
#define MODEL_TARGETS 8
#define MODEL_ORDERS 2 /* of these, orders to empty a failure domain */
#define MODEL_STEPS 3000
#define CHECK_INTERVAL_STEPS 50

/* Content of the store. */
struct model {
    uint64_t revision;
    uint64_t routes_revision; /* of the list of routes, 0: none */
    bool present[MODEL_ROUTES];
    uint32_t timeouts_ms[MODEL_ROUTES];
    struct target_record targets[MODEL_TARGETS];
};

/* Makes one random change. */
static void
model_change(struct model *m, struct random *random)
{
    char id[ID_SIZE];
    size_t i;

    m->revision++;
    if (random_below(random, 2) == 0) {
        i = random_below(random, MODEL_ROUTES);
        m->present[i] = random_below(random, 3) != 0;
        m->timeouts_ms[i] = random_below(random, 3);
        m->routes_revision = m->revision;
        return;
    }
    i = random_below(random, MODEL_TARGETS);
    if (m->targets[i].position.revision == 0 || m->targets[i].removed) {
        snprintf(id, sizeof(id), "i-%zu", i);
        m->targets[i] =
            i < MODEL_ORDERS
                ? order(id, (struct store_position){.revision = m->revision},
                        false)
                : target(id, "s", m->revision);
    }
    else if (random_below(random, 2) == 0) {
        m->targets[i].removed = true;
    }
    else {
        m->targets[i].draining = !m->targets[i].draining;
    }
    m->targets[i].position.revision = m->revision;
}

/* Fills "delta" with everything if "complete" is true, as a read of the store
 * does, else with the changes after the revision "from", as a watch does. */
static void
model_read(const struct model *m, uint64_t from, bool complete,
           struct view_delta *delta)
{
    delta->from.revision = complete ? 0 : from;
    delta->to.revision = m->revision;
    delta->targets_complete = complete;
    if (m->routes_revision > 0 && (complete || m->routes_revision > from)) {
        delta->routes_complete = true;
        delta->routes_position.revision = m->routes_revision;
        for (uint16_t i = 0; i < MODEL_ROUTES; i++) {
            if (m->present[i]) {
                add_route(delta, route(i, "s", m->timeouts_ms[i]));
            }
        }
    }
    for (size_t i = 0; i < MODEL_TARGETS; i++) {
        const struct target_record *t = &m->targets[i];

        if (t->position.revision > 0 &&
            (complete ? !t->removed : t->position.revision > from)) {
            add_target(delta, *t);
        }
    }
}

/* Checks that a view has the content of the store. */
static void
model_check(const struct model *m, const struct forward_view *v)
{
    size_t present_count = 0;

    for (uint16_t i = 0; i < MODEL_ROUTES; i++) {
        const struct forward_route *r = forward_view_route(v, 0xc6120001, i);

        assert_int_equal(r != NULL, m->present[i]);
        if (r != NULL) {
            assert_int_equal(r->record.timeout_ms, m->timeouts_ms[i]);
        }
    }
    for (size_t i = 0; i < MODEL_TARGETS; i++) {
        const struct target_record *t = &m->targets[i];
        const struct forward_target *stored =
            t->position.revision == 0
                ? NULL
                : forward_view_target(v, forward_cookie(t->id));

        if (i < MODEL_ORDERS) {
            assert_int_equal(t->position.revision > 0 &&
                                 is_emptied(v, t->domain),
                             t->position.revision > 0 && !t->removed);
            continue;
        }
        if (t->position.revision == 0 || t->removed) {
            assert_true(stored == NULL || stored->presence == TARGET_GONE);
            continue;
        }
        present_count++;
        assert_non_null(stored);
        assert_int_equal(stored->presence, TARGET_PRESENT);
        assert_int_equal(stored->record.draining, t->draining);
    }
    assert_int_equal(forward_view_target_count(v), present_count);
}

static void
test_convergence(void **state)
{
    struct forward_view *views[MODEL_PEERS];
    struct model model = {0};
    struct random random;

    random_seed(&random, SEED);
    for (size_t i = 0; i < MODEL_PEERS; i++) {
        views[i] = forward_view_new(&callbacks);
    }
    for (int step = 1; step <= MODEL_STEPS; step++) {
        size_t i = random_below(&random, MODEL_PEERS);
        size_t j = random_below(&random, MODEL_PEERS);
        uint64_t before = forward_view_position(views[i]).revision;
        struct view_delta delta;

        switch (random_below(&random, 5)) {
        case 0:
        case 1:
            model_change(&model, &random);
            break;
        case 2: /* a read of the whole store, or a watch */
            view_delta_init(&delta);
            model_read(&model, before, random_below(&random, 3) == 0, &delta);
            assert_true(forward_view_apply(views[i], &delta, NOW_US));
            view_delta_clear(&delta);
            break;
        default:
            send_delta(views[j], views[i]);
            break;
        }
        assert_true(forward_view_position(views[i]).revision >= before);
        if (step % CHECK_INTERVAL_STEPS != 0) {
            continue;
        }
        view_delta_init(&delta);
        model_read(&model, 0, true, &delta);
        forward_view_apply(views[i], &delta, NOW_US);
        view_delta_clear(&delta);
        for (size_t k = 0; k < MODEL_PEERS; k++) {
            assert_true(send_delta(views[i], views[k]));
            model_check(&model, views[k]);
        }
    }
    for (size_t i = 0; i < MODEL_PEERS; i++) {
        forward_view_destroy(views[i]);
    }
}

/* A target whose address a newer target has is gone, even if its entry is
 * still there. The order in which the two entries arrive does not matter for
 * the older one; a target with its own address is not concerned. */
static void
test_replaced_target(void **state)
{
    struct target_record old = target("i-1", "s", 5);
    struct target_record other = target("i-2", "s", 6);
    struct target_record newer = target("i-3", "t", 9);
    const struct route_record routes[] = {route(80, "s", 100),
                                          route(81, "t", 100)};

    apply_list(view, 0, 4, routes, 2);
    old.addr = newer.addr = 0x0a000001;
    old.port = newer.port = other.port = 8080;
    other.addr = 0x0a000002;
    apply_target(4, old, NOW_US);
    apply_target(5, other, NOW_US);
    assert_false(forward_target_is_replaced(
        forward_view_target(view, forward_cookie("i-1"))));
    apply_target(6, newer, NOW_US);
    assert_true(forward_target_is_replaced(
        forward_view_target(view, forward_cookie("i-1"))));
    assert_false(forward_target_is_replaced(
        forward_view_target(view, forward_cookie("i-2"))));
    assert_false(forward_target_is_replaced(
        forward_view_target(view, forward_cookie("i-3"))));
    old.removed = true;
    old.position.revision = 10;
    apply_target(9, old, NOW_US);
    assert_true(forward_target_is_replaced(
        forward_view_target(view, forward_cookie("i-1"))));
}

/* State of a target's record: state as seen in the store, and what the target
 * states of its write. */
enum seen { MISSING, READY, DRAINING, REMOVED };

/* Returns the state of a target as used for new flows. */
static enum seen
state_of(const struct forward_view *v, const char *id)
{
    const struct forward_target *t =
        forward_view_target(v, forward_cookie(id));

    if (t == NULL) {
        return MISSING;
    }
    if (t->presence == TARGET_GONE) {
        return REMOVED;
    }
    return t->record.draining ? DRAINING : READY;
}

static struct target_record
written_target(enum seen seen, uint64_t era, uint64_t revision, uint64_t born,
               uint64_t sequence)
{
    struct target_record t = target("i-1", "s", revision);

    t.created.era = t.position.era = era;
    t.draining = seen == DRAINING;
    t.removed = seen == REMOVED;
    t.born = seen == REMOVED ? 0 : born;
    t.sequence = seen == REMOVED ? 0 : sequence;
    return t;
}

/* Applies a list of all entries at a position; no record: an empty list. */
static void
apply_copy(struct forward_view *v, const struct target_record *t, uint64_t era,
           uint64_t revision, uint64_t version, uint64_t now)
{
    const struct route_record r = route(80, "s", (uint32_t)version);
    struct view_delta delta;

    view_delta_init(&delta);
    delta.to = (struct store_position){.era = era, .revision = revision};
    delta.targets_complete = true;
    delta.routes_complete = true;
    delta.routes_position = delta.to;
    delta.routes_version = version;
    add_route(&delta, r);
    if (t != NULL) {
        add_target(&delta, *t);
    }
    assert_true(forward_view_apply(v, &delta, now));
    view_delta_clear(&delta);
}

/* The store was restored from a copy. What the target states decides between
 * the known record and that of the copy, whatever the revisions. A record that
 * the copy holds back is used if the store keeps it. */
static void
test_copy_of_target(void **state)
{
    static const struct {
        const char *name;
        enum seen known;
        uint64_t known_born, known_sequence;
        enum seen copy;
        uint64_t copy_born, copy_sequence;
        enum seen at_once;
        enum seen later; /* when the store has kept the entry */
    } cases[] = {
        {"the same", READY, 1, 5, READY, 1, 5, READY, READY},
        {"drains since", DRAINING, 1, 9, READY, 1, 5, DRAINING, READY},
        {"drained and ready again", READY, 1, 9, DRAINING, 1, 5, READY,
         DRAINING},
        {"newer in the copy", READY, 1, 5, DRAINING, 1, 6, DRAINING, DRAINING},
        {"another start", DRAINING, 1, 9, READY, 2, 1, READY, READY},
        {"left since", REMOVED, 1, 5, READY, 1, 5, REMOVED, READY},
        {"left, and wrote since", REMOVED, 1, 5, READY, 1, 6, READY, READY},
        {"not in the copy", READY, 1, 5, MISSING, 0, 0, READY, REMOVED},
        {"drains, not in the copy", DRAINING, 1, 5, MISSING, 0, 0, REMOVED,
         REMOVED},
        {"unknown before", MISSING, 0, 0, READY, 1, 5, READY, READY},
        {"nothing stated", DRAINING, 0, 0, READY, 0, 0, READY, READY},
    };

    store_was_unavailable = true;
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        struct target_record known = written_target(
            cases[i].known == REMOVED ? READY : cases[i].known, 0, 40,
            cases[i].known_born, cases[i].known_sequence);
        struct target_record copy = written_target(
            cases[i].copy, 1, 10, cases[i].copy_born, cases[i].copy_sequence);
        struct target_record gone = written_target(REMOVED, 0, 41, 0, 0);
        uint64_t later = NOW_US + HELD_RECORD_US + LAPSED_US;

        print_message("%s\n", cases[i].name);
        apply_copy(view, cases[i].known == MISSING ? NULL : &known, 0, 40, 1,
                   NOW_US);
        if (cases[i].known == REMOVED) {
            store_was_unavailable = false;
            apply_target(40, gone, NOW_US);
            store_was_unavailable = true;
        }
        apply_copy(view, cases[i].copy == MISSING ? NULL : &copy, 1, 12, 1,
                   NOW_US);
        assert_int_equal(state_of(view, "i-1"), cases[i].at_once);
        forward_view_expire_lapsed(view, later);
        forward_view_expire_held(view, later, later);
        assert_int_equal(state_of(view, "i-1"), cases[i].later);
        assert_int_equal(forward_view_held_count(view), 0);
        teardown(state);
        setup(state);
        store_was_unavailable = true;
    }
}

/* A held record is not used before the store has confirmed the view again, and
 * not at all once the target has written again or was removed. */
static void
test_held_record(void **state)
{
    const struct target_record known = written_target(DRAINING, 0, 40, 1, 9);
    const struct target_record copy = written_target(READY, 1, 10, 1, 5);
    const uint64_t until = NOW_US + HELD_RECORD_US;
    struct target_record next;

    apply_copy(view, &known, 0, 40, 1, NOW_US);
    apply_copy(view, &copy, 1, 12, 1, NOW_US);
    assert_int_equal(forward_view_held_count(view), 1);
    /* The store is away: its last answer was before the end. */
    forward_view_expire_held(view, until - 1, until + USEC_PER_SEC);
    assert_int_equal(state_of(view, "i-1"), DRAINING);
    next = written_target(DRAINING, 1, 13, 1, 10);
    assert_true(apply_target(12, next, NOW_US));
    assert_int_equal(forward_view_held_count(view), 0);
    forward_view_expire_held(view, 2 * until, 2 * until);
    assert_int_equal(state_of(view, "i-1"), DRAINING);
}

/* What a peer tells after the copy was read is older by position, but not by
 * what the target and the operator state. This holds also where the balancer
 * that started from the copy has read it as late as its peer, or later; but an
 * order is then taken from a list that is as new only, since it may have been
 * taken back. */
static void
test_peer_knows_more(void **state)
{
    static const struct {
        uint64_t revision; /* at which the balancer has read the copy */
        bool emptied;      /* the lost order is in effect afterwards */
    } cases[] = {{12, true}, {14, true}, {16, false}};
    const struct target_record known = written_target(DRAINING, 0, 40, 1, 9);
    const struct target_record copy = written_target(READY, 1, 10, 1, 5);
    const char *domain = g_intern_string("a");
    struct target_record order = target("", "s", 41);

    order.kind = RECORD_EMPTIED_DOMAIN;
    emptied_domain_id(domain, order.id);
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        struct forward_view *peer = forward_view_new(&callbacks);
        struct view_delta delta;

        apply_copy(view, &known, 0, 40, 9, NOW_US);
        assert_true(apply_target(40, order, NOW_US));
        apply_copy(view, &copy, 1, 14, 5, NOW_US);
        apply_copy(peer, &copy, 1, cases[i].revision, 5, NOW_US);
        assert_int_equal(state_of(peer, "i-1"), READY);
        view_delta_init(&delta);
        forward_view_delta_since(view, (struct store_position){0},
                                 (struct store_position){0}, NOW_US, &delta);
        assert_int_equal(delta.targets->len, 3);
        assert_true(forward_view_apply(peer, &delta, NOW_US));
        view_delta_clear(&delta);
        assert_int_equal(state_of(peer, "i-1"), DRAINING);
        assert_int_equal(forward_view_held_count(peer), 1);
        assert_int_equal(forward_view_routes_version(peer), 9);
        assert_int_equal(forward_view_domain(peer, domain) != NULL &&
                             forward_view_domain(peer, domain)->emptied,
                         cases[i].emptied);
        forward_view_destroy(peer);
        teardown(state);
        setup(state);
    }
}

/* A balancer that enters a new era and keeps its routes tells those that hold
 * them all targets and no routes. One that has just started holds none, and
 * refuses that: it would have targets without routes from then on. */
static void
test_targets_without_routes(void **state)
{
    const struct target_record known = written_target(READY, 0, 40, 1, 9);
    const struct target_record copy = written_target(READY, 1, 10, 1, 5);
    struct forward_view *peer = forward_view_new(&callbacks);
    struct store_position before;
    struct view_delta delta;

    apply_copy(view, &known, 0, 40, 9, NOW_US);
    before = forward_view_position(view);
    apply_copy(view, &copy, 1, 12, 5, NOW_US);
    view_delta_init(&delta);
    forward_view_delta_since(view, before, forward_view_routes_position(view),
                             NOW_US, &delta);
    assert_true(delta.targets_complete);
    assert_int_equal(delta.routes->len, 0);
    assert_false(forward_view_apply(peer, &delta, NOW_US));
    view_delta_clear(&delta);
    assert_true(send_delta(view, peer));
    assert_true(forward_view_usable(peer));
    forward_view_destroy(peer);
}

/* A target that left is told to a balancer that has met only the copy. */
static void
test_peer_knows_removal(void **state)
{
    const struct target_record known = written_target(READY, 0, 40, 1, 9);
    const struct target_record gone = written_target(REMOVED, 0, 41, 0, 0);
    const struct target_record copy = written_target(READY, 1, 10, 1, 5);
    struct forward_view *peer = forward_view_new(&callbacks);

    apply_copy(view, &known, 0, 40, 1, NOW_US);
    assert_true(apply_target(40, gone, NOW_US));
    apply_copy(view, &copy, 1, 14, 1, NOW_US);
    assert_int_equal(state_of(view, "i-1"), REMOVED);
    assert_true(send_delta(view, peer));
    assert_int_equal(state_of(peer, "i-1"), REMOVED);
    forward_view_destroy(peer);
}

/* The operator's version orders the configurations of two eras. */
static void
test_copy_of_routes(void **state)
{
    static const struct {
        uint64_t known, copy, in_effect;
    } cases[] = {{9, 5, 9}, {9, 9, 9}, {5, 9, 9}};

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        apply_copy(view, NULL, 0, 40, cases[i].known, NOW_US);
        apply_copy(view, NULL, 1, 12, cases[i].copy, NOW_US);
        assert_int_equal(
            forward_view_route(view, 0xc6120001, 80)->record.timeout_ms,
            cases[i].in_effect);
        assert_int_equal(forward_view_routes_version(view),
                         cases[i].in_effect);
        /* Written again, and then a later one. */
        apply_copy(view, NULL, 1, 13, cases[i].known, NOW_US);
        assert_int_equal(forward_view_routes_version(view), cases[i].known);
        apply_copy(view, NULL, 1, 14, 20, NOW_US);
        assert_int_equal(
            forward_view_route(view, 0xc6120001, 80)->record.timeout_ms, 20);
        teardown(state);
        setup(state);
    }
}

/* A delta of a later era that is no complete list is refused, one of an
 * earlier era is ignored, also where its revision is higher. */
static void
test_delta_of_other_era(void **state)
{
    const struct target_record known = written_target(READY, 1, 40, 1, 9);
    struct target_record later = written_target(DRAINING, 2, 50, 1, 10);
    struct target_record earlier = written_target(DRAINING, 0, 90, 1, 10);

    apply_copy(view, &known, 1, 40, 1, NOW_US);
    {
        struct view_delta delta;

        view_delta_init(&delta);
        delta.to = later.position;
        add_target(&delta, later);
        assert_false(forward_view_apply(view, &delta, NOW_US));
        delta.to = earlier.position;
        g_array_set_size(delta.targets, 0);
        add_target(&delta, earlier);
        assert_true(forward_view_apply(view, &delta, NOW_US));
        view_delta_clear(&delta);
    }
    assert_int_equal(state_of(view, "i-1"), READY);
    assert_int_equal(forward_view_position(view).era, 1);
}

/* An entry of a left target that a copy brings back takes no address away from
 * the target that has it now. */
static void
test_copy_of_moved_address(void **state)
{
    struct target_record now_there = written_target(READY, 0, 40, 1, 9);
    struct target_record old = written_target(READY, 1, 10, 1, 5);
    const struct route_record routes[] = {route(80, "s", 100)};
    struct view_delta delta;

    apply_list(view, 0, 4, routes, 1);
    snprintf(old.id, sizeof(old.id), "i-0");
    now_there.addr = old.addr = 0x0a000001;
    now_there.port = old.port = 8080;
    apply_copy(view, &now_there, 0, 40, 1, NOW_US);
    store_was_unavailable = true;
    view_delta_init(&delta);
    delta.to = (struct store_position){.era = 1, .revision = 12};
    delta.targets_complete = true;
    add_target(&delta, old);
    assert_true(forward_view_apply(view, &delta, NOW_US));
    view_delta_clear(&delta);
    assert_false(forward_target_is_replaced(
        forward_view_target(view, forward_cookie("i-1"))));
    assert_int_equal(state_of(view, "i-1"), READY);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_route_lists, setup, teardown),
        cmocka_unit_test_setup_teardown(test_many_former_services, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_former_services, setup, teardown),
        cmocka_unit_test_setup_teardown(test_reverted_change, setup, teardown),
        cmocka_unit_test_setup_teardown(test_delta_of_other_list, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_missing_changes, setup, teardown),
        cmocka_unit_test_setup_teardown(test_target_states, setup, teardown),
        cmocka_unit_test_setup_teardown(test_lapsed_target, setup, teardown),
        cmocka_unit_test_setup_teardown(test_equal_cookies, setup, teardown),
        cmocka_unit_test_setup_teardown(
            test_cookie_of_open_flows_stays_with_target_that_may_live, setup,
            teardown),
        cmocka_unit_test_setup_teardown(test_form_of_cookie_outlasts_the_entry,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(test_removals_are_bounded, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_replaced_target, setup, teardown),
        cmocka_unit_test_setup_teardown(test_copy_of_target, setup, teardown),
        cmocka_unit_test_setup_teardown(test_held_record, setup, teardown),
        cmocka_unit_test_setup_teardown(test_peer_knows_more, setup, teardown),
        cmocka_unit_test_setup_teardown(test_targets_without_routes, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_peer_knows_removal, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_copy_of_routes, setup, teardown),
        cmocka_unit_test_setup_teardown(test_delta_of_other_era, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_copy_of_moved_address, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_order_histories, setup, teardown),
        cmocka_unit_test_setup_teardown(test_orders_of_domains, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_regions_replaced, setup,
                                        teardown),
        cmocka_unit_test(test_convergence),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
