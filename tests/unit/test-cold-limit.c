#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/clock.h"
#include "base/random.h"
#include "coordination/cold-limit.h"

#define SEED 20261204
#define START_US (100 * USEC_PER_SEC)
#define MS USEC_PER_MSEC

/* The number of openings is rounded down, so that it never exceeds the limit.
 */
static void
test_openings(void **state)
{
    static const struct {
        uint32_t per_1000_s;
        double overage, slack;
        size_t openings;
    } cases[] = {
        {5000, 1.5, 5, 12},
        {4000, 1.0, 0, 4},
        {900, 1.0, 0, 0},
        {100, 1.5, 5, 5},
        {0, 1.5, 0.99, 0},
        {5000, 0, 0, 0},
        {UINT32_MAX, 1e6, 0, 100000},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        assert_int_equal(cold_limit_openings(cases[i].per_1000_s,
                                             cases[i].overage, cases[i].slack),
                         cases[i].openings);
    }
}

/* Openings are wanted in bursts and pauses of random length. No span of a
 * window has more than the limit, and nearly all of it is used. */
static void
test_any_window(void **state)
{
    static const size_t limits[] = {0, 1, 5, 12, 40};

    for (size_t i = 0; i < sizeof(limits) / sizeof(*limits); i++) {
        struct cold_limit limit = {0};
        struct random random;
        uint64_t sent[4096];
        size_t count = 0;
        uint64_t now = START_US;

        random_seed(&random, SEED);
        while (now < START_US + 60 * USEC_PER_SEC) {
            bool pause = random_below(&random, 500) == 0;

            now += random_below(&random, pause ? 2000 * MS : 2 * MS);
            if (cold_limit_allows(&limit, limits[i], now)) {
                cold_limit_on_open(&limit, now);
                sent[count++] = now;
            }
        }
        for (size_t n = limits[i]; n < count; n++) {
            assert_true(sent[n] - sent[n - limits[i]] >= COLD_LIMIT_WINDOW_US);
        }
        assert_true(count >= limits[i] * 60 / 2);
        cold_limit_clear(&limit);
    }
}

/* A limit that is lowered applies to what was sent before. */
static void
test_lowered_limit(void **state)
{
    struct cold_limit limit = {0};

    for (int i = 0; i < 10; i++) {
        assert_true(cold_limit_allows(&limit, 10, START_US));
        cold_limit_on_open(&limit, START_US);
    }
    assert_false(cold_limit_allows(&limit, 5, START_US + 1000 * MS));
    assert_true(cold_limit_allows(&limit, 5, START_US + COLD_LIMIT_WINDOW_US));
    cold_limit_clear(&limit);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_openings),
        cmocka_unit_test(test_any_window),
        cmocka_unit_test(test_lowered_limit),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
