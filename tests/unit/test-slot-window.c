#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "coordination/slot-window.h"
#include "view-fixture.h"

#define SEED 11
#define LATENCY_US (50 * USEC_PER_MSEC)

static struct target_table *table;
static struct target_state *t;
static struct random random_source;

static int
setup(void **state)
{
    print_message("seed %d\n", SEED);
    random_seed(&random_source, SEED);
    table = fixture_table(1);
    t = target_table_service(table, FIXTURE_SERVICE)->targets[0];
    t->latency_us = LATENCY_US;
    return 0;
}

static int
teardown(void **state)
{
    target_table_destroy(table);
    return 0;
}

/* Whether another request may be sent, by window size and requests in
 * flight, when the pause is over and when it is not. */
static void
test_open(void **state)
{
    static const struct {
        double size;
        uint32_t in_flight;
        bool after_pause;
        bool during_pause;
    } cases[] = {
        {0.25, 0, true, false}, {0.25, 1, false, false},
        {1.0, 0, true, true},   {1.0, 1, true, false},
        {1.5, 1, true, false},  {1.5, 2, false, false},
        {2.0, 1, true, true},   {2.0, 2, false, false},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        t->window.size = cases[i].size;
        t->in_flight = cases[i].in_flight;
        t->window.probe_us = FIXTURE_NOW;
        assert_int_equal(slot_window_is_open(t, FIXTURE_NOW),
                         cases[i].after_pause);
        assert_int_equal(slot_window_is_open(t, FIXTURE_NOW - 1),
                         cases[i].during_pause);
        if (cases[i].after_pause && !cases[i].during_pause) {
            assert_int_equal(slot_window_opens_us(t, FIXTURE_NOW - 1),
                             FIXTURE_NOW);
        }
    }
    t->in_flight = 2;
    assert_int_equal(slot_window_opens_us(t, FIXTURE_NOW), UINT64_MAX);
    t->in_flight = 0;
}

/* A window below one request is a share of the time: with requests of one
 * latency, back to back whenever the window is open. */
static void
test_share_of_time(void **state)
{
    static const double sizes[] = {0.0625, 0.25, 0.5, 0.75};

    for (size_t i = 0; i < sizeof(sizes) / sizeof(*sizes); i++) {
        uint64_t now = FIXTURE_NOW;
        unsigned sent = 0;
        double busy;

        t->window.size = sizes[i];
        t->window.probe_us = now;
        while (now < FIXTURE_NOW + 100 * USEC_PER_SEC) {
            assert_true(slot_window_is_open(t, now));
            target_request_begin(t);
            slot_window_on_start(t, now);
            sent++;
            now += LATENCY_US;
            target_request_end(t);
            now = slot_window_opens_us(t, now);
        }
        busy = (double)(sent * LATENCY_US) / (100.0 * USEC_PER_SEC);
        assert_true(busy > sizes[i] * 0.9);
        assert_true(busy < sizes[i] * 1.1);
    }
}

/* Which way an answer or a refusal moves a window of one request. */
static void
test_adapts(void **state)
{
    static const struct {
        const char *name;
        bool shed;
        uint32_t running, queued;
        int direction;
    } cases[] = {
        {"shed", true, 2, 0, -1},
        {"queue at the target", false, 2, 3, -1},
        {"free slots", false, 0, 0, 1},
        {"one free slot", false, 1, 0, 1},
        {"all slots busy, none waits", false, 2, 0, 1},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        print_message("case: %s\n", cases[i].name);
        t->window.size = 1;
        target_record_load(t, cases[i].running, FIXTURE_SLOTS, cases[i].queued,
                           FIXTURE_NOW);
        if (cases[i].shed) {
            slot_window_on_shed(t, &random_source, FIXTURE_NOW);
        }
        else {
            slot_window_on_answer(t, FIXTURE_NOW);
        }
        assert_int_equal((t->window.size > 1) - (t->window.size < 1),
                         cases[i].direction);
    }
}

/* Without any report the answers alone open the window. */
static void
test_without_reports(void **state)
{
    t->window.size = 0.25;
    for (int i = 0; i < 20; i++) {
        slot_window_on_answer(t, FIXTURE_NOW);
    }
    assert_true(t->window.size >= FIXTURE_SLOTS);
}

/* A report that always names a queue, as a stale one does, neither holds the
 * window open wide nor closes it: it settles where the queue would last about
 * one round of the slots. */
static void
test_reported_queue_settles(void **state)
{
    static const struct {
        double start;
        uint32_t queued;
        double least, most;
    } cases[] = {
        {2, 1, 1, 1},
        {0.0625, 1, 1, 1},
        {2, 8, 0.2, 0.3},
        {0.0625, 8, 0.2, 0.3},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        t->window.size = cases[i].start;
        for (int n = 0; n < 100; n++) {
            target_record_load(t, 2, FIXTURE_SLOTS, cases[i].queued,
                               FIXTURE_NOW);
            slot_window_on_answer(t, FIXTURE_NOW);
        }
        assert_true(t->window.size >= cases[i].least);
        assert_true(t->window.size <= cases[i].most);
    }
}

/* However long a target sheds, it is tried again within seconds, and free
 * slots open the window up to the target's slots and no further. */
static void
test_bounds(void **state)
{
    uint64_t now = FIXTURE_NOW;

    for (int i = 0; i < 100; i++) {
        target_request_begin(t);
        slot_window_on_start(t, now);
        target_request_end(t);
        slot_window_on_shed(t, &random_source, now);
        assert_true(slot_window_opens_us(t, now) <= now + 2 * USEC_PER_SEC);
        now = slot_window_opens_us(t, now);
        assert_true(slot_window_is_open(t, now));
    }
    for (int i = 0; i < 100; i++) {
        target_record_load(t, 0, FIXTURE_SLOTS, 0, now);
        slot_window_on_answer(t, now);
    }
    assert_true(t->window.size <= FIXTURE_SLOTS);
    assert_true(t->window.size >= 1);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_open, setup, teardown),
        cmocka_unit_test_setup_teardown(test_share_of_time, setup, teardown),
        cmocka_unit_test_setup_teardown(test_adapts, setup, teardown),
        cmocka_unit_test_setup_teardown(test_without_reports, setup, teardown),
        cmocka_unit_test_setup_teardown(test_reported_queue_settles, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_bounds, setup, teardown),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
