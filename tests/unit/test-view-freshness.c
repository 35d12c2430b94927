#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/clock.h"
#include "coordination/target-lapse.h"
#include "coordination/view-freshness.h"

#define START (100 * USEC_PER_SEC)
#define MS USEC_PER_MSEC
#define BOUND (3 * USEC_PER_SEC)
#define NEVER UINT64_MAX

/* Who asks the store at which age of the view: the first always, the last
 * before a quarter of the bound is left. */
static void
test_turns(void **state)
{
    static const struct {
        double position;
        uint64_t spread_ms;
        uint64_t age_ms;
        bool asks;
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

        freshness_init(&f, BOUND, START);
        freshness_confirm(&f, START);
        freshness_confirm_better_rank(&f, START);
        assert_int_equal(freshness_should_watch(&f, cases[i].position,
                                                cases[i].spread_ms * MS,
                                                START + cases[i].age_ms * MS),
                         cases[i].asks);
    }
}

/* Whatever the bound is, the last in rank asks within it, and the first's
 * watch ends before the second's turn. */
static void
test_limits(void **state)
{
    static const uint64_t bounds_ms[] = {200, 500, 1000, 3000, 5000, 60000};

    for (size_t i = 0; i < sizeof(bounds_ms) / sizeof(*bounds_ms); i++) {
        struct freshness f;

        freshness_init(&f, bounds_ms[i] * MS, START);
        assert_true(f.limits.watch_wait_us < f.limits.takeover_us);
        assert_true(f.limits.takeover_us <= f.limits.last_takeover_us);
        if (bounds_ms[i] >= 1000) {
            assert_true(f.limits.last_takeover_us <=
                        bounds_ms[i] * MS * 3 / 4);
        }
    }
}

/* News of a balancer of worse rank keep the view fresh, but not the watch from
 * being taken over; a pause makes everything unknown. */
static void
test_ages(void **state)
{
    struct freshness f;

    freshness_init(&f, BOUND, START);
    assert_true(freshness_age(&f, START) == NEVER);
    assert_true(freshness_should_pull(&f, START));
    assert_false(freshness_should_watch(&f, 0.3, 0, START + 100 * MS));
    assert_true(freshness_confirm(&f, START + 500 * MS));
    assert_false(freshness_confirm(&f, START + 400 * MS));
    assert_int_equal(freshness_age(&f, START + 700 * MS), 200 * MS);
    assert_int_equal(freshness_age(&f, START), 0);
    assert_false(freshness_should_pull(&f, START + 700 * MS));
    assert_true(freshness_should_pull(&f, START + 2200 * MS));
    freshness_confirm(&f, START + 5000 * MS);
    assert_true(freshness_should_watch(&f, 0.3, 0, START + 5000 * MS));
    freshness_reset(&f);
    assert_true(freshness_age(&f, START + 5000 * MS) == NEVER);
    assert_true(freshness_should_watch(&f, 0.9, 0, START + 5000 * MS));
}

/* An old view is confirmed at once, not at the end of a long wait. */
static void
test_wait(void **state)
{
    struct freshness f;

    freshness_init(&f, BOUND, START);
    assert_int_equal(freshness_watch_wait(&f, START), 0);
    freshness_confirm(&f, START);
    assert_int_equal(freshness_watch_wait(&f, START + 100 * MS),
                     f.limits.watch_wait_us);
    assert_int_equal(freshness_watch_wait(&f, START + 1600 * MS), 0);
}

/* Which entries are held that went "went_ms" after an answer of the store that
 * came "age_ms" after the one before. */
static void
test_absence(void **state)
{
    static const struct {
        uint64_t age_ms; /* NEVER: the first answer */
        uint64_t went_ms;
        bool draining;
        bool held;
    } cases[] = {
        {100, 0, false, false},     {2400, 0, false, false},
        {2600, 0, false, true},     {2600, 1500, false, true},
        {2600, 2400, false, false}, {2600, 0, true, false},
        {NEVER, 0, false, false},   {20000, 0, false, true},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        struct target_lapse a;
        uint64_t age = cases[i].age_ms == NEVER ? NEVER : cases[i].age_ms * MS;
        uint64_t now = START + cases[i].went_ms * MS;
        uint64_t until;

        target_lapse_init(&a, 2500 * MS);
        target_lapse_store_answered(&a, age, START);
        until = target_lapse_keep_until(&a, cases[i].draining, now);
        assert_int_equal(until > now, cases[i].held);
        if (until > now) {
            assert_true(until >= START + 2000 * MS);
            assert_true(until <= START + 3000 * MS);
        }
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_turns),   cmocka_unit_test(test_limits),
        cmocka_unit_test(test_ages),    cmocka_unit_test(test_wait),
        cmocka_unit_test(test_absence),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
