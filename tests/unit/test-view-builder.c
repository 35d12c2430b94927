#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "config-fixture.h"
#include "coordination/view-builder.h"
#include "coordination/view-filter.h"

struct fixture {
    struct config_store *cs;
    struct domain_min_revisions floors;
    size_t quarantined;
    struct view_quarantine last;
};

static void
on_quarantine(void *ctx, const struct view_quarantine *q)
{
    struct fixture *f = ctx;

    f->quarantined++;
    if (strcmp(q->target, "t9") == 0) {
        f->last = *q;
    }
}

static void
apply(struct fixture *f, struct resource r, uint64_t revision)
{
    assert_int_equal(config_store_apply(f->cs, &r, revision), CONFIG_APPLIED);
}

static struct config_view *
build(struct fixture *f, const char *domain)
{
    f->quarantined = 0;
    return view_builder_build(f->cs, &f->floors, domain, 1, on_quarantine, f);
}

static void
test_view_of_domain(void **state)
{
    struct fixture f = {.cs = config_store_new()};
    struct resource ring = {.kind = RESOURCE_KEY_RING, .version = 1};
    struct config_view *view = build(&f, "karen");

    assert_int_equal(view->service_count, 0);
    config_view_destroy(view);

    snprintf(ring.id, sizeof(ring.id), "%s", "tokens");
    ring.key_ring.count = 1;
    apply(&f, ring, 1);
    apply(&f, make_service("export", 1, "karen"), 2);
    apply(&f, make_service("live", 1, "westlands,karen"), 3);
    apply(&f, make_service("other", 1, "westlands"), 4);
    apply(&f, make_target("live", "t2", 1, 2, false), 5);
    apply(&f, make_target("live", "t1", 4, 1, false), 6);
    apply(&f, make_target("live", "t3", 2, 3, true), 7);
    apply(&f, make_target("other", "t4", 1, 4, false), 8);
    apply(&f, make_target("nowhere", "t5", 1, 5, false), 9);
    view = build(&f, "karen");
    assert_int_equal(f.quarantined, 0);
    assert_int_equal(view->keys.count, 1);
    assert_int_equal(view->service_count, 2);
    assert_string_equal(view->services[0].id, "export");
    assert_int_equal(view->services[0].target_count, 0);
    assert_string_equal(view->services[1].id, "live");
    assert_int_equal(view->services[1].target_count, 2);
    assert_string_equal(view->services[1].targets[0].id, "t1");
    assert_int_equal(view->services[1].targets[0].version, 4);
    assert_string_equal(view->services[1].targets[1].id, "t2");
    assert_int_not_equal(view->services[1].targets[0].hash, 0);
    config_view_destroy(view);
    config_store_destroy(f.cs);
}

struct quarantine_case {
    const char *name;
    const char *former_domains; /* of the former service */
    uint64_t former_service_revision;
    bool service_deleted;
    bool target_deleted; /* at revision 20 */
    uint64_t karen;      /* floors; 0: not known */
    uint64_t westlands;
    const char *waits_for; /* NULL: admitted */
};

static const struct quarantine_case quarantine_cases[] = {
    {"still declared", "karen", 10, false, false, 99, 99, ""},
    {"removed, not in force", "karen", 10, false, true, 19, 99, "karen"},
    {"removed, in force", "karen", 10, false, true, 20, 99, NULL},
    {"second domain lags", "karen,westlands", 10, false, true, 20, 19,
     "westlands"},
    {"both in force", "karen,westlands", 10, false, true, 20, 20, NULL},
    {"a domain that never reported", "karen,westlands", 10, false, true, 20, 0,
     "westlands"},
    {"a domain that may run the older service", "karen", 15, false, true, 20,
     14, "westlands"},
    {"a domain that no longer runs it", "karen", 15, false, true, 20, 15,
     NULL},
    {"service deleted, not in force", "karen", 30, true, false, 29, 99,
     "karen"},
    {"service deleted, in force", "karen", 30, true, false, 30, 99, NULL},
};

/* An address that is, or was, another service's stays out of the view until
 * every domain that may use it has the removal in force (I5). */
static void
test_quarantine(void **state)
{
    for (size_t i = 0;
         i < sizeof(quarantine_cases) / sizeof(*quarantine_cases); i++) {
        const struct quarantine_case *c = &quarantine_cases[i];
        struct fixture f = {.cs = config_store_new()};
        struct resource former = make_service("rigctl", 1, c->former_domains);
        struct config_view *view;

        print_message("%s\n", c->name);
        former.deleted = c->service_deleted;
        apply(&f, former, c->former_service_revision);
        apply(&f, make_service("faq", 1, "karen"), 11);
        apply(&f, make_target("rigctl", "t1", 2, 7, c->target_deleted), 20);
        apply(&f, make_target("faq", "t9", 1, 7, false), 21);
        apply(&f, make_target("faq", "t8", 1, 8, false), 22);
        if (c->karen != 0) {
            domain_min_revisions_raise(&f.floors, "karen", c->karen);
        }
        if (c->westlands != 0) {
            domain_min_revisions_raise(&f.floors, "westlands", c->westlands);
        }
        view = build(&f, "karen");
        for (size_t k = 0; k < view->service_count; k++) {
            if (strcmp(view->services[k].id, "faq") == 0) {
                assert_int_equal(view->services[k].target_count,
                                 c->waits_for == NULL ? 2 : 1);
            }
        }
        if (c->waits_for != NULL) {
            assert_string_equal(f.last.target, "t9");
            assert_int_equal(f.quarantined,
                             c->target_deleted || c->service_deleted ? 1 : 2);
            assert_string_equal(f.last.former_service, "rigctl");
            assert_string_equal(f.last.former_target, "t1");
            assert_string_equal(f.last.domain, c->waits_for);
        }
        config_view_destroy(view);
        config_store_destroy(f.cs);
    }
}

struct filter_case {
    const char *name;
    struct resource resource;
    bool concerns;
};

/* The view of karen holds service live with target t1 at address 1. Whatever
 * could change it concerns it, and nothing else. */
static void
test_filter(void **state)
{
    struct resource ring = {.kind = RESOURCE_KEY_RING, .id = "tokens"};
    struct resource own_host = {.kind = RESOURCE_HOST, .id = "h1"};
    struct resource host = {.kind = RESOURCE_HOST, .id = "h2"};
    const struct filter_case cases[] = {
        {"its service", make_service("live", 2, "karen"), true},
        {"its service leaves", make_service("live", 2, "westlands"), true},
        {"a new service", make_service("export", 1, "karen"), true},
        {"a foreign service", make_service("other", 1, "westlands"), false},
        {"its target", make_target("live", "t1", 2, 1, false), true},
        {"its new target", make_target("live", "t2", 1, 2, false), true},
        {"its target deleted", make_target("live", "t1", 2, 1, true), true},
        {"a foreign target", make_target("other", "t1", 1, 2, false), false},
        {"a foreign target of the same address",
         make_target("other", "t1", 1, 1, false), true},
        {"the keys", ring, true},
        {"the own host", own_host, true},
        {"another host", host, false},
    };
    struct fixture f = {.cs = config_store_new()};
    struct view_filter filter = {0};
    struct config_view *view;

    apply(&f, make_service("live", 1, "karen"), 1);
    apply(&f, make_target("live", "t1", 1, 1, false), 2);
    view = build(&f, "karen");
    assert_true(
        view_filter_may_affect(&filter, "karen", "h1", &cases[3].resource));
    assert_true(view_filter_set(&filter, view));
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        print_message("%s\n", cases[i].name);
        assert_int_equal(
            view_filter_may_affect(&filter, "karen", "h1", &cases[i].resource),
            cases[i].concerns);
    }
    view_filter_clear(&filter);
    config_view_destroy(view);
    config_store_destroy(f.cs);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_view_of_domain),
        cmocka_unit_test(test_quarantine),
        cmocka_unit_test(test_filter),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
