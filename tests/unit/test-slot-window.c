#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "coordination/slot-window.h"
#include "view-fixture.h"

#define SEED 11
#define LATENCY_US (50 * USEC_PER_MSEC) /* of every request */

static struct target_table *table;
static struct target_state *target;
static struct random random_source;

static int
setup(void **state)
{
    print_message("seed %d\n", SEED);
    random_seed(&random_source, SEED);
    table = fixture_table(1);
    target = target_table_service(table, FIXTURE_SERVICE)->targets[0];
    target->latency_us = LATENCY_US;
    return 0;
}

static int
teardown(void **state)
{
    target_table_destroy(table);
    return 0;
}

/* Whether another request may be sent, depending on the size of the window and
 * the number of requests in flight. A pause lasts until "probe_us"; after it,
 * one request more than the whole part of the size may be in flight, up to the
 * number of slots. */
static void
test_is_open(void **state)
{
    static const struct {
        double size; /* of the window, in requests */
        uint32_t in_flight;
        bool open_after_pause;
        bool open_during_pause;
    } cases[] = {
        {0.25, 0, true, false}, {0.25, 1, false, false},
        {1.0, 0, true, true},   {1.0, 1, true, false},
        {1.5, 1, true, false},  {1.5, 2, false, false},
        {2.0, 1, true, true},   {2.0, 2, false, false},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        target->window.size = cases[i].size;
        target->in_flight = cases[i].in_flight;
        target->window.probe_us = FIXTURE_NOW_US;
        assert_int_equal(slot_window_is_open(target, FIXTURE_NOW_US),
                         cases[i].open_after_pause);
        assert_int_equal(slot_window_is_open(target, FIXTURE_NOW_US - 1),
                         cases[i].open_during_pause);
        if (cases[i].open_after_pause && !cases[i].open_during_pause) {
            assert_int_equal(slot_window_opens_us(target, FIXTURE_NOW_US - 1),
                             FIXTURE_NOW_US);
        }
    }
    target->in_flight = 2;
    assert_int_equal(slot_window_opens_us(target, FIXTURE_NOW_US), UINT64_MAX);
    target->in_flight = 0;
}

/* A window below one request limits the share of time during which a request
 * is in flight. All requests have the same latency, and the next one is sent
 * as soon as the window is open. */
static void
test_window_below_one_request(void **state)
{
    static const double sizes[] = {0.0625, 0.25, 0.5, 0.75};

    for (size_t i = 0; i < sizeof(sizes) / sizeof(*sizes); i++) {
        uint64_t now = FIXTURE_NOW_US;
        unsigned sent = 0;
        double busy_share;

        target->window.size = sizes[i];
        target->window.probe_us = now;
        while (now < FIXTURE_NOW_US + 100 * USEC_PER_SEC) {
            assert_true(slot_window_is_open(target, now));
            target_request_begin(target);
            slot_window_on_start(target, now);
            sent++;
            now += LATENCY_US;
            target_request_end(target);
            now = slot_window_opens_us(target, now);
        }
        busy_share = (double)(sent * LATENCY_US) / (100.0 * USEC_PER_SEC);
        assert_true(busy_share > sizes[i] * 0.9);
        assert_true(busy_share < sizes[i] * 1.1);
    }
}

/* Whether an answer or a refusal increases or decreases a window of one
 * request. */
static void
test_direction_of_change(void **state)
{
    static const struct {
        const char *name;
        bool shed; /* the target refuses the request; false: it answers */
        uint32_t running, queued; /* requests at the target, as reported */
        int direction;            /* sign of the change of the window */
    } cases[] = {
        {"request shed", true, 2, 0, -1},
        {"queue at the target", false, 2, 3, -1},
        {"all slots free", false, 0, 0, 1},
        {"one free slot", false, 1, 0, 1},
        {"all slots busy, no queue", false, 2, 0, 1},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        print_message("case: %s\n", cases[i].name);
        target->window.size = 1;
        target_record_load(target, cases[i].running, FIXTURE_SLOTS,
                           cases[i].queued, FIXTURE_NOW_US);
        if (cases[i].shed) {
            slot_window_on_shed(target, &random_source, FIXTURE_NOW_US);
        }
        else {
            slot_window_on_answer(target, FIXTURE_NOW_US);
        }
        assert_int_equal((target->window.size > 1) - (target->window.size < 1),
                         cases[i].direction);
    }
}

/* When the target reports no load, answers alone open the window. */
static void
test_without_reports(void **state)
{
    target->window.size = 0.25;
    for (int i = 0; i < 20; i++) {
        slot_window_on_answer(target, FIXTURE_NOW_US);
    }
    assert_true(target->window.size >= FIXTURE_SLOTS);
}

/* When each report shows a queue, as stale reports may, the window neither
 * stays large nor closes. It settles at one request, or at the number of slots
 * divided by the length of the queue when that is less. */
static void
test_reported_queue_settles(void **state)
{
    static const struct {
        double size_start;
        uint32_t queued;
        double size_min, size_max; /* bounds of the size after 100 answers */
    } cases[] = {
        {2, 1, 1, 1},
        {0.0625, 1, 1, 1},
        {2, 8, 0.2, 0.3},
        {0.0625, 8, 0.2, 0.3},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        target->window.size = cases[i].size_start;
        for (int n = 0; n < 100; n++) {
            target_record_load(target, 2, FIXTURE_SLOTS, cases[i].queued,
                               FIXTURE_NOW_US);
            slot_window_on_answer(target, FIXTURE_NOW_US);
        }
        assert_true(target->window.size >= cases[i].size_min);
        assert_true(target->window.size <= cases[i].size_max);
    }
}

/* However often a target sheds requests, the next request is sent to it within
 * 2 s. While it reports free slots, the window grows to at most the number of
 * its slots. */
static void
test_bounds(void **state)
{
    uint64_t now = FIXTURE_NOW_US;

    for (int i = 0; i < 100; i++) {
        target_request_begin(target);
        slot_window_on_start(target, now);
        target_request_end(target);
        slot_window_on_shed(target, &random_source, now);
        assert_true(slot_window_opens_us(target, now) <=
                    now + 2 * USEC_PER_SEC);
        now = slot_window_opens_us(target, now);
        assert_true(slot_window_is_open(target, now));
    }
    for (int i = 0; i < 100; i++) {
        target_record_load(target, 0, FIXTURE_SLOTS, 0, now);
        slot_window_on_answer(target, now);
    }
    assert_true(target->window.size <= FIXTURE_SLOTS);
    assert_true(target->window.size >= 1);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_is_open, setup, teardown),
        cmocka_unit_test_setup_teardown(test_window_below_one_request, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_direction_of_change, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_without_reports, setup, teardown),
        cmocka_unit_test_setup_teardown(test_reported_queue_settles, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_bounds, setup, teardown),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
