#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "coordination/balance.h"
#include "coordination/health.h"
#include "coordination/slot-window.h"
#include "view-fixture.h"

#define SEED 13
#define TARGETS 4
#define PICKS 2000

static struct target_table *table;
static struct service_targets *svc;
static struct random random_source;

static int
setup(void **state)
{
    print_message("seed %d\n", SEED);
    random_seed(&random_source, SEED);
    table = fixture_table(TARGETS);
    svc = target_table_service(table, FIXTURE_SERVICE);
    return 0;
}

static int
teardown(void **state)
{
    for (size_t i = 0; i < svc->count; i++) {
        svc->targets[i]->in_flight = 0;
    }
    target_table_destroy(table);
    return 0;
}

static const char *const policy_names[] = {
    "load", "two_choices", "least_local", "round_robin", "random",
};

/* Ways to make a target unusable for new requests. */
static void
make_leaving(struct target_state *t)
{
    t->draining = true;
}

static void
make_reports_leaving(struct target_state *t)
{
    t->reports_leaving = true;
}

static void
make_unverified(struct target_state *t)
{
    t->health.verified = false;
}

static void
make_wrong_service(struct target_state *t)
{
    t->health.wrong_service = true;
}

static void
make_ejected(struct target_state *t)
{
    t->health.ejected_until_us = FIXTURE_NOW_US + 1;
}

static void
make_full(struct target_state *t)
{
    t->in_flight = FIXTURE_SLOTS;
}

static const struct {
    const char *name;
    void (*change)(struct target_state *t);
    bool excluded_when_all;     /* not picked even when all targets are so */
    enum balance_result result; /* of a pick when all targets are so */
} unusable_cases[] = {
    {"leaving", make_leaving, true, BALANCE_NO_TARGET},
    {"reports leaving", make_reports_leaving, true, BALANCE_NO_TARGET},
    {"unverified", make_unverified, true, BALANCE_NO_TARGET},
    {"wrong service", make_wrong_service, true, BALANCE_NO_TARGET},
    {"ejected", make_ejected, false, BALANCE_PICKED},
    {"full", make_full, true, BALANCE_FULL},
};

/* Fails when the policy picks the target for any of PICKS requests that are
 * bound to it. */
static void
check_never_picked(const char *policy, const struct target_state *unusable)
{
    struct balance_request request = {.class = CLASS_INTERACTIVE};
    enum balance_result result;
    struct balance b;

    assert_true(balance_init(&b, policy, &random_source));
    b.follow_bound = true;
    request.bound = unusable->hash;
    for (int i = 0; i < PICKS; i++) {
        struct target_state *t;

        request.flow_hash = (uint64_t)i;
        t = balance_pick(&b, svc, &request, FIXTURE_NOW_US, &result);
        assert_non_null(t);
        assert_ptr_not_equal(t, unusable);
    }
}

static void
test_unusable_targets(void **state)
{
    size_t policies = sizeof(policy_names) / sizeof(*policy_names);

    for (size_t i = 0; i < sizeof(unusable_cases) / sizeof(*unusable_cases);
         i++) {
        struct balance_request request = {.class = CLASS_INTERACTIVE};
        enum balance_result result;
        struct balance b;

        print_message("case: %s\n", unusable_cases[i].name);
        unusable_cases[i].change(svc->targets[1]);
        for (size_t p = 0; p < policies; p++) {
            check_never_picked(policy_names[p], svc->targets[1]);
        }
        for (size_t t = 0; t < svc->count; t++) {
            unusable_cases[i].change(svc->targets[t]);
        }
        assert_true(balance_init(&b, "load", &random_source));
        balance_pick(&b, svc, &request, FIXTURE_NOW_US, &result);
        assert_int_equal(result, unusable_cases[i].result);
        teardown(state);
        setup(state);
    }
}

/* A target that the request was already sent to is not picked again; after all
 * targets have been tried, none is picked. */
static void
test_tried_targets(void **state)
{
    struct balance_request request = {.class = CLASS_INTERACTIVE};
    enum balance_result result;
    struct balance b;

    assert_true(balance_init(&b, "load", &random_source));
    for (size_t i = 0; i < TARGETS; i++) {
        struct target_state *t =
            balance_pick(&b, svc, &request, FIXTURE_NOW_US, &result);

        assert_non_null(t);
        for (size_t k = 0; k < request.tried_count; k++) {
            assert_ptr_not_equal(t, request.tried[k]);
        }
        request.tried[request.tried_count] = t;
        request.tried_count++;
    }
    assert_null(balance_pick(&b, svc, &request, FIXTURE_NOW_US, &result));
    assert_int_equal(result, BALANCE_NO_TARGET);
}

/* A stream needs no slot of a target, only a free connection. */
static void
test_stream_ignores_slots(void **state)
{
    struct balance_request request = {.class = CLASS_STREAM};
    enum balance_result result;
    struct balance b;

    assert_true(balance_init(&b, "load", &random_source));
    for (size_t i = 0; i < svc->count; i++) {
        make_full(svc->targets[i]);
        svc->targets[i]->streams = svc->targets[i]->connections_max;
    }
    assert_null(balance_pick(&b, svc, &request, FIXTURE_NOW_US, &result));
    assert_int_equal(result, BALANCE_FULL);
    svc->targets[2]->streams--;
    assert_ptr_equal(balance_pick(&b, svc, &request, FIXTURE_NOW_US, &result),
                     svc->targets[2]);
}

static void
make_busy(struct target_state *t)
{
    target_record_load(t, 2, 2, 2, FIXTURE_NOW_US);
}

static void
make_slow(struct target_state *t)
{
    t->latency_us = 400.0 * USEC_PER_MSEC;
    t->latency_at_us = FIXTURE_NOW_US;
}

static void
make_cold(struct target_state *t)
{
    t->first_seen_us = FIXTURE_NOW_US;
}

/* A target that is busy, slow or has just been added (cold) gets at most half
 * of its even share, which is a quarter of the requests. When the load report,
 * the latency or the first contact is old, the target gets about its even
 * share. */
static void
test_load_policy_avoids_targets(void **state)
{
    static const struct {
        const char *name;
        void (*change)(struct target_state *t);
        uint64_t age_us; /* time between "change" and the picks */
        int picks_min;
        int picks_max;
    } cases[] = {
        {"busy", make_busy, 0, 0, PICKS / 8},
        {"busy long ago", make_busy, 5 * USEC_PER_SEC, PICKS / 6, PICKS / 3},
        {"slow", make_slow, 0, 0, PICKS / 8},
        /* The effect of a latency ends with time, because a target that is
         * skipped for it gets no request that could show a lower one. */
        {"slow long ago", make_slow, 60 * USEC_PER_SEC, PICKS / 6, PICKS / 3},
        {"cold", make_cold, 0, 0, PICKS / 8},
        {"cold long ago", make_cold, 60 * USEC_PER_SEC, PICKS / 6, PICKS / 3},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        struct balance_request request = {.class = CLASS_INTERACTIVE};
        uint64_t now = FIXTURE_NOW_US + cases[i].age_us;
        enum balance_result result;
        struct balance b;
        int picks = 0;

        print_message("case: %s\n", cases[i].name);
        assert_true(balance_init(&b, "load", &random_source));
        for (size_t t = 0; t < svc->count; t++) {
            target_record_load(svc->targets[t], 0, 2, 0, FIXTURE_NOW_US);
            svc->targets[t]->latency_us = 50.0 * USEC_PER_MSEC;
            svc->targets[t]->latency_at_us = FIXTURE_NOW_US;
        }
        cases[i].change(svc->targets[1]);
        for (int n = 0; n < PICKS; n++) {
            request.flow_hash = (uint64_t)n;
            picks += balance_pick(&b, svc, &request, now, &result) ==
                             svc->targets[1]
                         ? 1
                         : 0;
        }
        assert_in_range(picks, cases[i].picks_min, cases[i].picks_max);
        teardown(state);
        setup(state);
    }
}

/* Which requests may be sent to target t01 as the trial after its ejection has
 * ended. Commands use it only when no other target is usable, or when the
 * ejection ended long ago. */
static void
test_trial_after_ejection(void **state)
{
    static const struct {
        const char *name;
        enum traffic_class class;
        uint64_t ended_ago_us; /* time since the end of the ejection */
        bool others_usable;
        bool may_pick;
    } cases[] = {
        {"interactive", CLASS_INTERACTIVE, USEC_PER_SEC, true, true},
        {"download", CLASS_DOWNLOAD, USEC_PER_SEC, true, true},
        {"command", CLASS_COMMAND, USEC_PER_SEC, true, false},
        {"command, no other target", CLASS_COMMAND, USEC_PER_SEC, false, true},
        {"command, ejection ended long ago", CLASS_COMMAND, 60 * USEC_PER_SEC,
         true, true},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        struct balance_request request = {.class = cases[i].class};
        enum balance_result result;
        struct balance b;
        bool picked = false;

        print_message("case: %s\n", cases[i].name);
        assert_true(balance_init(&b, "random", &random_source));
        svc->targets[1]->health.ejected_until_us =
            FIXTURE_NOW_US - cases[i].ended_ago_us;
        for (size_t t = 0; t < svc->count; t++) {
            svc->targets[t]->draining = t != 1 && !cases[i].others_usable;
        }
        for (int n = 0; n < PICKS; n++) {
            picked = picked || balance_pick(&b, svc, &request, FIXTURE_NOW_US,
                                            &result) == svc->targets[1];
        }
        assert_int_equal(picked, cases[i].may_pick);
        teardown(state);
        setup(state);
    }
}

static void
test_unknown_policy(void **state)
{
    struct balance b;

    assert_false(balance_init(&b, "fastest", &random_source));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_unusable_targets, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_tried_targets, setup, teardown),
        cmocka_unit_test_setup_teardown(test_stream_ignores_slots, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_load_policy_avoids_targets, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_trial_after_ejection, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_unknown_policy, setup, teardown),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
