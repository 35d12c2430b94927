#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "base/clock.h"
#include "fake-fleet.h"

#define SEED 20261205
#define BOUND_US (3 * USEC_PER_SEC)
#define START_US (10 * USEC_PER_SEC)
#define SILENT_US (12 * USEC_PER_SEC)

/* Each message adds its delay once, on a path of few hops. */
#define HOPS_MAX 6

/* What a balancer takes for the time of the store's last answer must not
 * become later as messages about it travel between balancers. */
static void
test_silent_store_is_not_confirmed_by_peers(void **state)
{
    static const struct {
        const char *name;
        size_t nodes;
        uint64_t delay_us;
        double loss;
    } cases[] = {
        {"a small fleet", 8, 0, 0},
        {"a small fleet, slow messages", 8, 400 * USEC_PER_MSEC, 0},
        {"a larger fleet", 40, 0, 0},
        {"a larger fleet, slow messages", 40, 200 * USEC_PER_MSEC, 0},
        {"a larger fleet, very slow messages", 40, 700 * USEC_PER_MSEC, 0},
        {"a larger fleet, slow and lost messages", 40, 400 * USEC_PER_MSEC,
         0.1},
    };

    unsigned fail_count = 0;

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        struct fleet *fleet = fleet_new(cases[i].nodes, 2, BOUND_US, SEED + i);
        uint64_t silent_at;
        uint64_t latest = 0;

        fleet_run(fleet, START_US);
        fleet->delay_us = cases[i].delay_us;
        fleet->loss = cases[i].loss;
        fleet_run(fleet, START_US);
        for (size_t k = 0; k < cases[i].nodes; k++) {
            fleet->nodes[k].store_mode = FLEET_STORE_SILENT;
        }
        silent_at = fleet->now;
        fleet_run(fleet, SILENT_US);
        for (size_t k = 0; k < cases[i].nodes; k++) {
            uint64_t at = fleet->nodes[k].freshness.confirmed_at;

            latest = at > latest ? at : latest;
        }
        printf("%s: confirmed %.2f s after the store's last answer\n",
               cases[i].name,
               latest > silent_at
                   ? (double)(latest - silent_at) / (double)USEC_PER_SEC
                   : 0.0);
        if (latest > silent_at + HOPS_MAX * cases[i].delay_us) {
            fail_count++;
        }
        fleet_destroy(fleet);
    }
    assert_int_equal(fail_count, 0);
}

/* What waited for a paused balancer tells of answers from before the pause. */
static void
test_pause_does_not_confirm(void **state)
{
    static const struct {
        const char *name;
        size_t nodes;
        size_t paused; /* so many are paused, the last ones */
    } cases[] = {
        {"one of a small fleet", 8, 1},
        {"most of a small fleet", 8, 6},
        {"one of a larger fleet", 40, 1},
        {"most of a larger fleet", 40, 35},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        struct fleet *fleet = fleet_new(cases[i].nodes, 2, BOUND_US, SEED + i);
        uint64_t silent_at;

        fleet_run(fleet, START_US);
        for (size_t k = 0; k < cases[i].paused; k++) {
            struct fleet_node *node = &fleet->nodes[cases[i].nodes - 1 - k];

            node->frozen_at = fleet->now;
            node->frozen_until = fleet->now + SILENT_US;
        }
        fleet_run(fleet, BOUND_US);
        for (size_t k = 0; k < cases[i].nodes; k++) {
            fleet->nodes[k].store_mode = FLEET_STORE_SILENT;
        }
        silent_at = fleet->now;
        fleet_run(fleet, SILENT_US);
        print_message("%s\n", cases[i].name);
        for (size_t k = 0; k < cases[i].nodes; k++) {
            assert_true(fleet->nodes[k].freshness.confirmed_at <= silent_at);
        }
        fleet_destroy(fleet);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_silent_store_is_not_confirmed_by_peers),
        cmocka_unit_test(test_pause_does_not_confirm),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
