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
    struct domain_min_revisions min_revisions;
    /* Number of targets that the last build put in quarantine. */
    size_t quarantine_count;
    /* The last quarantine that was reported for target t9. */
    struct view_quarantine quarantine_of_t9;
};

static void
on_quarantine(void *ctx, const struct view_quarantine *q)
{
    struct fixture *f = ctx;

    f->quarantine_count++;
    if (strcmp(q->target, "t9") == 0) {
        f->quarantine_of_t9 = *q;
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
    f->quarantine_count = 0;
    return view_builder_build(f->cs, &f->min_revisions, domain, 1,
                              on_quarantine, f);
}

/* The view of a failure domain contains the services of this domain, in order
 * of their ids, with their targets that are not deleted. */
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
    assert_int_equal(f.quarantine_count, 0);
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
    const char *former_domains; /* of the service that had the address */
    uint64_t former_service_revision;
    bool service_deleted;
    bool target_deleted; /* the former target, at revision 20 */
    /* Minimum revision that all balancers of a domain have applied; 0: the
     * domain has not reported. */
    uint64_t karen_min_revision;
    uint64_t westlands_min_revision;
    /* Domain that the new target in quarantine waits for; "" while the former
     * target exists, NULL when the new target is in the view. */
    const char *awaited_domain;
};

static const struct quarantine_case quarantine_cases[] = {
    {"former target exists", "karen", 10, false, false, 99, 99, ""},
    {"former target deleted, domain has not applied it", "karen", 10, false,
     true, 19, 99, "karen"},
    {"former target deleted, domain has applied it", "karen", 10, false, true,
     20, 99, NULL},
    {"second domain has not applied the deletion", "karen,westlands", 10,
     false, true, 20, 19, "westlands"},
    {"both domains have applied the deletion", "karen,westlands", 10, false,
     true, 20, 20, NULL},
    {"second domain has not reported", "karen,westlands", 10, false, true, 20,
     0, "westlands"},
    {"second domain may use an older version of the service", "karen", 15,
     false, true, 20, 14, "westlands"},
    {"second domain has applied the version that excludes it", "karen", 15,
     false, true, 20, 15, NULL},
    {"service deleted, domain has not applied it", "karen", 30, true, false,
     29, 99, "karen"},
    {"service deleted, domain has applied it", "karen", 30, true, false, 30,
     99, NULL},
};

/* A target whose address belongs, or belonged, to a target of another service
 * stays out of the view until every failure domain that may still use the
 * former target has applied its removal. Otherwise a balancer could send the
 * flows of one service to a target of another. Target t9 has the address of
 * the former target t1; target t8 has an address of its own. */
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
        if (c->karen_min_revision != 0) {
            domain_min_revisions_raise(&f.min_revisions, "karen",
                                       c->karen_min_revision);
        }
        if (c->westlands_min_revision != 0) {
            domain_min_revisions_raise(&f.min_revisions, "westlands",
                                       c->westlands_min_revision);
        }
        view = build(&f, "karen");
        for (size_t k = 0; k < view->service_count; k++) {
            if (strcmp(view->services[k].id, "faq") == 0) {
                assert_int_equal(view->services[k].target_count,
                                 c->awaited_domain == NULL ? 2 : 1);
            }
        }
        if (c->awaited_domain != NULL) {
            assert_string_equal(f.quarantine_of_t9.target, "t9");
            assert_int_equal(f.quarantine_count,
                             c->target_deleted || c->service_deleted ? 1 : 2);
            assert_string_equal(f.quarantine_of_t9.former_service, "rigctl");
            assert_string_equal(f.quarantine_of_t9.former_target, "t1");
            assert_string_equal(f.quarantine_of_t9.domain, c->awaited_domain);
        }
        config_view_destroy(view);
        config_store_destroy(f.cs);
    }
}

struct filter_case {
    const char *name;
    struct resource resource;
    bool may_affect;
};

/* The view of domain karen contains service live with target t1 at address 1.
 * The filter must pass the resources that could change this view, and no
 * others. */
static void
test_filter(void **state)
{
    struct resource ring = {.kind = RESOURCE_KEY_RING, .id = "tokens"};
    struct resource own_host = {.kind = RESOURCE_HOST, .id = "h1"};
    struct resource host = {.kind = RESOURCE_HOST, .id = "h2"};
    const struct filter_case cases[] = {
        {"service of the view", make_service("live", 2, "karen"), true},
        {"service of the view moves to another domain",
         make_service("live", 2, "westlands"), true},
        {"new service of the domain", make_service("export", 1, "karen"),
         true},
        {"service of another domain", make_service("other", 1, "westlands"),
         false},
        {"target of the view", make_target("live", "t1", 2, 1, false), true},
        {"new target of the view's service",
         make_target("live", "t2", 1, 2, false), true},
        {"target of the view deleted", make_target("live", "t1", 2, 1, true),
         true},
        {"target of another domain's service",
         make_target("other", "t1", 1, 2, false), false},
        {"target of another domain's service, at an address of the view",
         make_target("other", "t1", 1, 1, false), true},
        {"key ring", ring, true},
        {"own host", own_host, true},
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
            cases[i].may_affect);
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
