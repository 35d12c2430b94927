#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "state/domain-min-revisions.h"
#include "state/event-ring.h"

#define CAPACITY 4

/* The oldest events are overwritten, and a reader sees the gap. */
static void
test_ring(void **state)
{
    struct event_ring *ring = event_ring_new(CAPACITY);
    const struct event_entry *e;
    char text[EVENT_CAUSE_SIZE * 2];

    assert_null(event_ring_after(ring, 0));
    for (uint64_t i = 1; i <= 6; i++) {
        assert_int_equal(event_ring_add(ring, i * 10, "version", "x", "y"), i);
    }
    e = event_ring_after(ring, 0);
    assert_int_equal(e->number, 3);
    assert_int_equal(e->wall_us, 30);
    assert_int_equal(event_ring_after(ring, 4)->number, 5);
    assert_null(event_ring_after(ring, 6));
    assert_null(event_ring_after(ring, 99));
    assert_int_equal(event_ring_last(ring), 6);

    memset(text, 'z', sizeof(text));
    text[sizeof(text) - 1] = '\0';
    event_ring_add(ring, 1, text, text, text);
    e = event_ring_after(ring, 6);
    assert_int_equal(strlen(e->kind), EVENT_KIND_SIZE - 1);
    assert_int_equal(strlen(e->cause), EVENT_CAUSE_SIZE - 1);
    event_ring_destroy(ring);
}

/* A floor only rises, and a full table keeps what it has. */
static void
test_floors(void **state)
{
    struct domain_min_revisions floors = {0};
    char id[ID_SIZE];

    assert_int_equal(domain_min_revisions_get(&floors, "d0"), 0);
    assert_true(domain_min_revisions_raise(&floors, "d0", 5));
    assert_false(domain_min_revisions_raise(&floors, "d0", 5));
    assert_false(domain_min_revisions_raise(&floors, "d0", 4));
    assert_true(domain_min_revisions_raise(&floors, "d0", 6));
    assert_int_equal(domain_min_revisions_get(&floors, "d0"), 6);
    for (int i = 1; i < DOMAIN_MIN_REVISIONS_MAX; i++) {
        snprintf(id, sizeof(id), "d%d", i);
        assert_true(domain_min_revisions_raise(&floors, id, 1));
    }
    assert_false(domain_min_revisions_raise(&floors, "one too many", 1));
    assert_int_equal(domain_min_revisions_get(&floors, "d0"), 6);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_ring),
        cmocka_unit_test(test_floors),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
