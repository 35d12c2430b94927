#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <string.h>

#include "view-fixture.h"

/* A change of a view with three targets, and the state of target t01 after the
 * changed view was applied. */
struct view_case {
    const char *name;
    void (*change)(struct config_view *view);
    bool keeps_state; /* t01 keeps its live state */
    bool leaving;     /* t01 gets no new requests */
    size_t count;     /* targets of FIXTURE_SERVICE; 0 without this service */
};

static void
change_nothing(struct config_view *view)
{
}

static void
change_address(struct config_view *view)
{
    view->services[0].targets[1].addr = 0x0a0000ff;
}

static void
change_port(struct config_view *view)
{
    view->services[0].targets[1].port = 9090;
}

static void
change_service(struct config_view *view)
{
    view->services[0].id[0] = 'x';
}

static void
change_state(struct config_view *view)
{
    view->services[0].targets[1].state = ADMIN_DRAINING;
}

static void
remove_target(struct config_view *view)
{
    view->services[0].targets[1] = view->services[0].targets[2];
    view->services[0].target_count = 2;
}

static void
remove_service(struct config_view *view)
{
    free(view->services[0].targets);
    view->services[0].targets = NULL;
    view->service_count = 0;
}

static const struct view_case view_cases[] = {
    {"no change", change_nothing, true, false, 3},
    {"address changed", change_address, false, true, 3},
    {"port changed", change_port, false, true, 3},
    {"service id changed", change_service, false, true, 0},
    {"draining", change_state, true, true, 3},
    {"target removed", remove_target, false, true, 2},
    {"service removed", remove_service, false, true, 0},
};

/* While a request runs, the state of its target remains valid whatever the
 * next view contains. The table keeps the live state of a target (latency,
 * health, requests in flight) only if its service, id, address and port are
 * unchanged. */
static void
test_apply_view(void **state)
{
    for (size_t i = 0; i < sizeof(view_cases) / sizeof(*view_cases); i++) {
        const struct view_case *c = &view_cases[i];
        struct target_table *table = fixture_table(3);
        struct config_view *view = fixture_view(3);
        struct service_targets *svc =
            target_table_service(table, FIXTURE_SERVICE);
        struct target_state *t = svc->targets[1];
        struct target_state *found;

        print_message("case: %s\n", c->name);
        target_request_begin(t);
        target_record_latency(t, 777, FIXTURE_NOW_US);
        c->change(view);
        assert_true(target_table_apply_view(table, view, FIXTURE_NOW_US));
        config_view_destroy(view);

        svc = target_table_service(table, FIXTURE_SERVICE);
        assert_int_equal(svc != NULL ? svc->count : 0, c->count);
        found = svc != NULL ? service_targets_find(svc, "t01") : NULL;
        assert_int_equal(found != NULL && found == t, c->keeps_state);
        assert_int_equal(t->removed, !c->keeps_state);
        assert_int_equal(t->in_flight, 1);
        assert_int_equal(target_is_leaving(t), c->leaving);
        if (found != NULL && found != t) {
            assert_false(found->health.verified);
            assert_int_equal(found->in_flight, 0);
        }
        target_request_end(t);
        assert_int_equal(list_empty(&table->removed), true);
        target_table_destroy(table);
    }
}

static void
test_find_by_hash(void **state)
{
    struct target_table *table = fixture_table(3);
    struct service_targets *svc = target_table_service(table, FIXTURE_SERVICE);
    uint32_t hash = (uint32_t)id_hash("t02") & 0xffffff;

    assert_ptr_equal(service_targets_by_hash(svc, hash), svc->targets[2]);
    assert_null(service_targets_by_hash(svc, 0));
    assert_null(service_targets_by_hash(svc, hash + 1));
    assert_null(service_targets_find(svc, "t03"));
    target_table_destroy(table);
}

/* The load that a target reports, less the requests in flight from this table,
 * is the load that other balancers cause; it is never below 0. */
static void
test_load_of_others(void **state)
{
    static const struct {
        uint32_t running, queued, in_flight, others;
    } cases[] = {{0, 0, 0, 0}, {2, 1, 1, 2}, {1, 0, 1, 0}, {0, 0, 2, 0}};
    struct target_table *table = fixture_table(1);
    struct target_state *t =
        target_table_service(table, FIXTURE_SERVICE)->targets[0];

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        t->in_flight = cases[i].in_flight;
        target_record_load(t, cases[i].running, 2, cases[i].queued, 5);
        assert_int_equal(t->load.others, cases[i].others);
    }
    t->in_flight = 0;
    target_table_destroy(table);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_apply_view),
        cmocka_unit_test(test_find_by_hash),
        cmocka_unit_test(test_load_of_others),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
