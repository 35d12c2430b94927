#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "state/domain-min-revisions.h"
#include "state/event-ring.h"

#define RING_CAPACITY 4

/* New events overwrite the oldest ones, and a reader notices the loss by a gap
 * in the event numbers. Texts that are too long are truncated. */
static void
test_overwrite_and_truncation(void **state)
{
    struct event_ring *ring = event_ring_new(RING_CAPACITY);
    const struct event_entry *event;
    char text[EVENT_CAUSE_SIZE * 2];

    assert_null(event_ring_after(ring, 0));
    for (uint64_t i = 1; i <= 6; i++) {
        assert_int_equal(event_ring_add(ring, i * 10, "version", "x", "y"), i);
    }
    event = event_ring_after(ring, 0);
    assert_int_equal(event->number, 3);
    assert_int_equal(event->wall_us, 30);
    assert_int_equal(event_ring_after(ring, 4)->number, 5);
    assert_null(event_ring_after(ring, 6));
    assert_null(event_ring_after(ring, 99));
    assert_int_equal(event_ring_last(ring), 6);

    memset(text, 'z', sizeof(text));
    text[sizeof(text) - 1] = '\0';
    event_ring_add(ring, 1, text, text, text);
    event = event_ring_after(ring, 6);
    assert_int_equal(strlen(event->kind), EVENT_KIND_SIZE - 1);
    assert_int_equal(strlen(event->cause), EVENT_CAUSE_SIZE - 1);
    event_ring_destroy(ring);
}

/* A minimum revision never decreases, and a full table ignores a new domain
 * and keeps its values. */
static void
test_min_revisions_only_rise(void **state)
{
    struct domain_min_revisions table = {0};
    char id[ID_SIZE];

    assert_int_equal(domain_min_revisions_get(&table, "d0"), 0);
    assert_true(domain_min_revisions_raise(&table, "d0", 5));
    assert_false(domain_min_revisions_raise(&table, "d0", 5));
    assert_false(domain_min_revisions_raise(&table, "d0", 4));
    assert_true(domain_min_revisions_raise(&table, "d0", 6));
    assert_int_equal(domain_min_revisions_get(&table, "d0"), 6);
    for (int i = 1; i < DOMAIN_MIN_REVISIONS_MAX; i++) {
        snprintf(id, sizeof(id), "d%d", i);
        assert_true(domain_min_revisions_raise(&table, id, 1));
    }
    assert_false(domain_min_revisions_raise(&table, "one too many", 1));
    assert_int_equal(domain_min_revisions_get(&table, "d0"), 6);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_overwrite_and_truncation),
        cmocka_unit_test(test_min_revisions_only_rise),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
