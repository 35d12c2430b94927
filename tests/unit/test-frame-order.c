#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "base/random.h"
#include "client/frame-order.h"

#define ARRAY_LENGTH(array) (sizeof(array) / sizeof(*(array)))
#define SEED 7
#define FRAME_COUNT 100

struct order_case {
    const char *name;
    int resume;      /* last frame before resuming, -1: new stream */
    const char *in;  /* received frames; the letter is the number, a = 1 */
    const char *out; /* delivered frames */
    bool has_gap;    /* a frame is missing at the end */
};

static const struct order_case cases[] = {
    {"in order", -1, "abc", "abc", false},
    {"starts with any number", -1, "cde", "cde", false},
    {"duplicates", -1, "aabbca", "abc", false},
    {"one early frame", -1, "acb", "abc", false},
    {"two early frames", -1, "adcb", "abcd", false},
    {"duplicates of a buffered frame", -1, "acccb", "abc", false},
    {"gap", -1, "acd", "a", true},
    {"resumed", 2, "abcd", "cd", false},
    {"gap after resuming", 1, "cd", "", true},
};

struct sink {
    char text[FRAME_COUNT + 1]; /* delivered frames */
    size_t len;
    size_t stop_at; /* number of frames after which to stop, 0: never */
};

static bool
on_frame(void *ctx, uint64_t id, const uint8_t *data, size_t size)
{
    struct sink *sink = ctx;

    assert_int_equal(size, 1);
    sink->text[sink->len] = (char)data[0];
    sink->len++;
    return sink->len != sink->stop_at;
}

static enum frame_push_result
push(struct frame_order *order, uint64_t id, struct sink *sink)
{
    uint8_t data = (uint8_t)('a' + id - 1);
    bool stopped;

    return frame_order_push(order, id, &data, 1, on_frame, sink, &stopped);
}

static void
test_delivery_order(void **state)
{
    for (size_t i = 0; i < ARRAY_LENGTH(cases); i++) {
        struct frame_order order;
        struct sink sink = {.len = 0};

        frame_order_init(&order);
        if (cases[i].resume >= 0) {
            frame_order_resume(&order, (uint64_t)cases[i].resume);
        }
        for (const char *p = cases[i].in; *p != '\0'; p++) {
            push(&order, (uint64_t)*p - 'a' + 1, &sink);
        }
        if (strcmp(sink.text, cases[i].out) != 0 ||
            frame_order_has_gap(&order) != cases[i].has_gap) {
            fail_msg("%s: %s", cases[i].name, sink.text);
        }
        frame_order_fini(&order);
    }
}

/* Missing frames that were skipped are duplicates when they arrive later. */
static void
test_skipped_gap(void **state)
{
    struct frame_order order;
    struct sink sink = {.len = 0};
    uint64_t first;
    uint64_t last;

    frame_order_init(&order);
    push(&order, 1, &sink);
    push(&order, 4, &sink);
    push(&order, 5, &sink);
    frame_order_skip_gap(&order, &first, &last);
    assert_int_equal(first, 2);
    assert_int_equal(last, 3);
    assert_true(frame_order_drain(&order, on_frame, &sink));
    assert_string_equal(sink.text, "ade");
    assert_int_equal(push(&order, 3, &sink), FRAME_DUPLICATE);
    frame_order_fini(&order);
}

/* Frames that arrive in random order and more than once are delivered once and
 * in order. */
static void
test_random_order(void **state)
{
    struct frame_order order;
    struct sink sink = {.len = 0};
    struct random random;

    printf("seed %d\n", SEED);
    random_seed(&random, SEED);
    frame_order_init(&order);
    frame_order_resume(&order, 0);
    while (order.last < FRAME_COUNT) {
        push(&order, 1 + random_below(&random, FRAME_COUNT), &sink);
    }
    assert_int_equal(sink.len, FRAME_COUNT);
    assert_false(frame_order_has_gap(&order));
    frame_order_fini(&order);
}

/* The number of early frames in the buffer is bounded. */
static void
test_buffer_limit(void **state)
{
    struct frame_order order;
    struct sink sink = {.len = 0};

    frame_order_init(&order);
    frame_order_resume(&order, 0);
    for (uint64_t id = 2; id < 3 * FRAME_ORDER_BUFFERED_MAX; id++) {
        push(&order, id, &sink);
    }
    assert_int_equal(order.buffered_count, FRAME_ORDER_BUFFERED_MAX);
    frame_order_fini(&order);
}

/* When the callback stops the delivery, frames that are buffered after it are
 * not delivered. */
static void
test_stopped_delivery(void **state)
{
    struct frame_order order;
    struct sink sink = {.stop_at = 2};
    uint8_t data = 0;
    bool stopped;

    frame_order_init(&order);
    frame_order_resume(&order, 0);
    push(&order, 2, &sink);
    push(&order, 3, &sink);
    frame_order_push(&order, 1, &data, 1, on_frame, &sink, &stopped);
    assert_true(stopped);
    assert_int_equal(sink.len, 2);
    frame_order_fini(&order);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_delivery_order),
        cmocka_unit_test(test_skipped_gap),
        cmocka_unit_test(test_random_order),
        cmocka_unit_test(test_buffer_limit),
        cmocka_unit_test(test_stopped_delivery),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
