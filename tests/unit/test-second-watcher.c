#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "base/clock.h"
#include "fake-fleet.h"

#define SEED 20261208
#define BOUND_US (3 * USEC_PER_SEC)
#define SETTLE_US (8 * USEC_PER_SEC)
#define WRITE_INTERVAL_US (2300 * USEC_PER_MSEC)
#define WRITES 20
/* As without faults: see test_time_to_apply() in test-view-sync.c. */
#define APPLY_MAX_US (1 * USEC_PER_SEC)

/* Whether all balancers have a revision, but for one without the store, which
 * may have lost its place among the others. */
static bool
others_have(const struct fleet *fleet, uint64_t revision)
{
    for (size_t i = 0; i < fleet->node_count; i++) {
        if (fleet->nodes[i].store_mode == FLEET_STORE_ANSWERS &&
            forward_view_position(fleet->nodes[i].view).revision < revision) {
            return false;
        }
    }
    return true;
}

/* Guards against a balancer that watches the store in place of the first one
 * and stops watching, because it takes its own answer, told by others, for
 * that of a balancer of better rank. */
static void
test_second_watcher_goes_on(void **state)
{
    static const size_t sizes[] = {7, 24, 87, 160};
    unsigned fail_count = 0;

    for (size_t s = 0; s < sizeof(sizes) / sizeof(*sizes); s++) {
        struct fleet *fleet = fleet_new(sizes[s], 4, BOUND_US, SEED);
        struct fleet_node *first;
        uint64_t slowest = 0;
        uint64_t calls;

        fleet_run(fleet, SETTLE_US);
        first = fleet_watcher(fleet);
        assert_non_null(first);
        first->store_mode = FLEET_STORE_SILENT;
        fleet_run(fleet, SETTLE_US);
        calls = fleet_calls(fleet);
        for (unsigned i = 0; i < WRITES; i++) {
            uint64_t written_at = fleet->now;
            uint64_t revision;

            fleet_write(fleet);
            revision = fleet->revision;
            while (!others_have(fleet, revision)) {
                fleet_step(fleet);
                assert_true(fleet->now < written_at + 2 * BOUND_US);
            }
            if (fleet->now - written_at > slowest) {
                slowest = fleet->now - written_at;
            }
            fleet_run(fleet, written_at + WRITE_INTERVAL_US - fleet->now);
        }
        calls = fleet_calls(fleet) - calls;
        printf("%zu balancers: applied after %.2f s, %llu calls\n", sizes[s],
               (double)slowest / (double)USEC_PER_SEC,
               (unsigned long long)calls);
        fail_count += slowest > APPLY_MAX_US;
        fleet_destroy(fleet);
    }
    assert_int_equal(fail_count, 0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_second_watcher_goes_on),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
