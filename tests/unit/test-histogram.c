#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <stdlib.h>
#include <string.h>

#include "base/random.h"
#include "state/histogram.h"

#define SEED 7

/* Checks the number of values counted below 2 to the power of "bits". */
static void
test_counts_below_powers_of_two(void **state)
{
    static const struct {
        uint64_t value;
        unsigned bits;
        uint64_t below;
    } cases[] = {
        {0, 0, 1},      {1, 0, 0},      {15, 4, 1},          {16, 4, 0},
        {16, 5, 1},     {1023, 10, 1},  {1024, 10, 0},       {1024, 11, 1},
        {~0ULL, 36, 1}, {~0ULL, 35, 0}, {1ULL << 35, 35, 0},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        struct histogram h = {0};

        histogram_record(&h, cases[i].value);
        assert_int_equal(histogram_count_below(&h, cases[i].bits),
                         cases[i].below);
    }
}

static int
compare_u64(const void *a, const void *b)
{
    uint64_t x = *(const uint64_t *)a;
    uint64_t y = *(const uint64_t *)b;

    return x < y ? -1 : x > y;
}

/* Over seven orders of magnitude, quantiles differ from the exact ones by at
 * most 1/32 of the exact one plus 1. Merging a histogram with itself changes
 * no quantile. */
static void
test_quantile_error(void **state)
{
    enum { COUNT = 10000 };
    static uint64_t values[COUNT];
    struct histogram h = {0};
    struct histogram merged = {0};
    struct random random;

    print_message("seed %d\n", SEED);
    random_seed(&random, SEED);
    for (int i = 0; i < COUNT; i++) {
        values[i] = random_next(&random) >> (36 + random_below(&random, 25));
        histogram_record(&h, values[i]);
    }
    histogram_merge(&merged, &h);
    histogram_merge(&merged, &h);
    assert_int_equal(merged.count, 2 * COUNT);
    qsort(values, COUNT, sizeof(*values), compare_u64);
    for (int permille = 1; permille <= 1000; permille++) {
        size_t rank = (size_t)permille * COUNT / 1000;
        double exact = (double)values[rank - 1];
        double estimate = (double)histogram_quantile(&h, permille / 1000.0);

        assert_true(estimate >= exact * (1 - 1 / 32.0) - 1);
        assert_true(estimate <= exact * (1 + 1 / 32.0) + 1);
        assert_int_equal(histogram_quantile(&merged, permille / 1000.0),
                         estimate);
    }
}

static void
test_empty_histogram(void **state)
{
    struct histogram h = {0};

    assert_int_equal(histogram_quantile(&h, 0.99), 0);
    assert_int_equal(histogram_count_below(&h, 36), 0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_counts_below_powers_of_two),
        cmocka_unit_test(test_quantile_error),
        cmocka_unit_test(test_empty_histogram),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
