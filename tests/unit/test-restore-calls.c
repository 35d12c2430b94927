#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/clock.h"
#include "fake-fleet.h"

#define BOUND_US (3 * USEC_PER_SEC)
#define SETTLE_US (10 * USEC_PER_SEC)
#define AWAY_US (1500 * USEC_PER_MSEC)
#define LOST_CHANGES 40
#define SEEDS 6
#define CALLS_MAX 25

static size_t
count_in_era(const struct fleet *fleet)
{
    size_t count = 0;

    for (size_t i = 0; i < fleet->node_count; i++) {
        count += forward_view_position(fleet->nodes[i].view).era == fleet->era;
    }
    return count;
}

/* The calls in the second after the store returns from a copy do not depend on
 * how many balancers ask at once: of 160 up to 42 calls came, as each of them
 * read everything and then went on to watch the store. */
static void
test_calls_after_restore(void **state)
{
    static const size_t sizes[] = {7, 24, 80, 160};

    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        for (size_t s = 0; s < sizeof(sizes) / sizeof(*sizes); s++) {
            struct fleet *fleet = fleet_new(sizes[s], 4, BOUND_US, seed);
            uint64_t copy;
            uint64_t calls;

            fleet_run(fleet, SETTLE_US);
            copy = fleet->revision;
            for (unsigned i = 0; i < LOST_CHANGES; i++) {
                fleet_write(fleet);
            }
            fleet_run(fleet, BOUND_US);
            fleet->store_down = true;
            fleet_run(fleet, AWAY_US);
            fleet_restore(fleet, copy);
            fleet->store_down = false;
            calls = fleet_calls(fleet);
            fleet_run(fleet, USEC_PER_SEC);
            calls = fleet_calls(fleet) - calls;
            print_message("%zu balancers, seed %llu: %llu calls\n", sizes[s],
                          (unsigned long long)seed, (unsigned long long)calls);
            assert_true(calls <= CALLS_MAX);
            assert_int_equal(count_in_era(fleet), fleet->node_count);
            fleet_destroy(fleet);
        }
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_calls_after_restore),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
