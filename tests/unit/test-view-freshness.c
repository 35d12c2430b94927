#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/clock.h"
#include "coordination/target-lapse.h"
#include "coordination/view-freshness.h"

#define START_US (100 * USEC_PER_SEC)
#define MS USEC_PER_MSEC
/* Time within which a change in the store has to be in effect. */
#define BOUND_US (3 * USEC_PER_SEC)
#define AGE_UNKNOWN UINT64_MAX /* no answer of the store is known */

/* Whether a balancer watches the store, depending on its rank and on the age
 * of its view: the first in rank always watches, and the last starts when the
 * age is 3/4 of BOUND_US. A longer spread time delays all ranks but the first.
 */
static void
test_takeover_by_rank(void **state)
{
    static const struct {
        double position; /* place in the order of ranks, from 0 to below 1 */
        uint64_t spread_ms;
        uint64_t age_ms;
        bool watches;
    } cases[] = {
        {0.0, 0, 0, true},        {0.0, 0, 1000, true},
        {0.1, 0, 1000, false},    {0.1, 0, 1690, false},
        {0.1, 0, 1800, true},     {0.5, 0, 1900, false},
        {0.5, 0, 2000, true},     {0.99, 0, 2100, false},
        {0.99, 0, 2250, true},    {0.99, 100, 2250, true},
        {0.1, 4000, 2000, false}, {0.1, 4000, 2200, true},
        {0.5, 4000, 3600, false}, {0.5, 4000, 3800, true},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        struct freshness f;

        freshness_init(&f, BOUND_US, START_US);
        freshness_confirm(&f, START_US);
        freshness_confirm_better_rank(&f, START_US);
        assert_int_equal(freshness_should_watch(
                             &f, cases[i].position, cases[i].spread_ms * MS,
                             START_US + cases[i].age_ms * MS),
                         cases[i].watches);
    }
}

/* For every bound the watch of the first in rank ends before the second in
 * rank takes over, and for bounds of at least 1 s the last in rank takes
 * over by the time that 3/4 of the bound has passed. */
static void
test_takeover_limits(void **state)
{
    static const uint64_t bounds_ms[] = {200, 500, 1000, 3000, 5000, 60000};

    for (size_t i = 0; i < sizeof(bounds_ms) / sizeof(*bounds_ms); i++) {
        struct freshness f;

        freshness_init(&f, bounds_ms[i] * MS, START_US);
        assert_true(f.limits.watch_wait_us < f.limits.takeover_us);
        assert_true(f.limits.takeover_us <= f.limits.last_takeover_us);
        if (bounds_ms[i] >= 1000) {
            assert_true(f.limits.last_takeover_us <=
                        bounds_ms[i] * MS * 3 / 4);
        }
    }
}

/* A notification from a balancer of worse rank lowers the age of the view, but
 * does not keep this balancer from taking over the watch. After a reset,
 * which follows a pause of the process, the age is unknown. */
static void
test_age_and_takeover(void **state)
{
    struct freshness f;

    freshness_init(&f, BOUND_US, START_US);
    assert_true(freshness_age(&f, START_US) == AGE_UNKNOWN);
    assert_true(freshness_should_pull(&f, START_US));
    assert_false(freshness_should_watch(&f, 0.3, 0, START_US + 100 * MS));
    assert_true(freshness_confirm(&f, START_US + 500 * MS));
    assert_false(freshness_confirm(&f, START_US + 400 * MS));
    assert_int_equal(freshness_age(&f, START_US + 700 * MS), 200 * MS);
    assert_int_equal(freshness_age(&f, START_US), 0);
    assert_false(freshness_should_pull(&f, START_US + 700 * MS));
    assert_true(freshness_should_pull(&f, START_US + 2200 * MS));
    freshness_confirm(&f, START_US + 5000 * MS);
    assert_true(freshness_should_watch(&f, 0.3, 0, START_US + 5000 * MS));
    freshness_reset(&f);
    assert_true(freshness_age(&f, START_US + 5000 * MS) == AGE_UNKNOWN);
    assert_true(freshness_should_watch(&f, 0.9, 0, START_US + 5000 * MS));
}

/* The view is confirmed again when it is as old as a watch may take: if it is
 * older or its age is unknown, the store must answer at once (a wait of 0). */
static void
test_watch_wait(void **state)
{
    static const struct {
        uint64_t age_ms;
        uint64_t wait_ms;
    } cases[] = {
        {0, 1500}, {5, 1500}, {50, 1500}, {100, 1400}, {800, 700},
        {1499, 1}, {1500, 0}, {1600, 0},  {5000, 0},
    };
    struct freshness f;

    freshness_init(&f, BOUND_US, START_US);
    assert_int_equal(freshness_watch_wait(&f, START_US), 0);
    freshness_confirm(&f, START_US);
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        assert_int_equal(
            freshness_watch_wait(&f, START_US + cases[i].age_ms * MS),
            cases[i].wait_ms * MS);
    }
}

/* Whether a target stays in use after its entry vanished from the store. The
 * store answered at START_US, "age_ms" after its previous answer, and the
 * entry vanished "vanished_after_ms" after START_US. */
static void
test_vanished_entries(void **state)
{
    static const struct {
        uint64_t age_ms; /* AGE_UNKNOWN: there was no previous answer */
        uint64_t vanished_after_ms;
        bool draining;
        bool kept;
    } cases[] = {
        {100, 0, false, false},         {2400, 0, false, false},
        {2600, 0, false, true},         {2600, 1500, false, true},
        {2600, 2400, false, false},     {2600, 0, true, false},
        {AGE_UNKNOWN, 0, false, false}, {20000, 0, false, true},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        struct target_lapse lapse;
        uint64_t age = cases[i].age_ms == AGE_UNKNOWN ? AGE_UNKNOWN
                                                      : cases[i].age_ms * MS;
        uint64_t now = START_US + cases[i].vanished_after_ms * MS;
        uint64_t until;

        target_lapse_init(&lapse, 2500 * MS);
        target_lapse_store_answered(&lapse, age, START_US);
        until = target_lapse_keep_until(&lapse, cases[i].draining, now);
        assert_int_equal(until > now, cases[i].kept);
        if (until > now) {
            assert_true(until >= START_US + 2000 * MS);
            assert_true(until <= START_US + 3000 * MS);
        }
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_takeover_by_rank),
        cmocka_unit_test(test_takeover_limits),
        cmocka_unit_test(test_age_and_takeover),
        cmocka_unit_test(test_watch_wait),
        cmocka_unit_test(test_vanished_entries),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
