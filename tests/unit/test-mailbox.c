#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include <event2/event.h>
#include <zmq.h>

#include "transport/mailbox.h"

struct seen {
    unsigned count;
    uint32_t sum; /* of the numbers that the messages hold */
};

static void
on_message(void *ctx, uint32_t type, const void *data, size_t size)
{
    struct seen *seen = ctx;
    uint32_t number;

    assert_int_equal(size, sizeof(number));
    memcpy(&number, data, sizeof(number));
    seen->count++;
    seen->sum += number;
}

/* What nobody has taken when the loop ends can be taken afterwards: such
 * messages may own memory. */
static void
test_left_over(void **state)
{
    void *zmq_ctx = zmq_ctx_new();
    struct event_base *base = event_base_new();
    struct seen taken = {0};
    struct seen left = {0};
    struct status st;
    struct mailbox *to =
        mailbox_new(zmq_ctx, base, "test", true, on_message, &taken, &st);
    struct mailbox *from =
        mailbox_new(zmq_ctx, base, "test", false, on_message, &taken, &st);

    for (uint32_t i = 1; i <= 3; i++) {
        assert_true(mailbox_send(from, 7, &i, sizeof(i)));
    }
    mailbox_drain(to, on_message, &left);
    assert_int_equal(left.count, 3);
    assert_int_equal(left.sum, 6);
    assert_int_equal(taken.count, 0);
    mailbox_drain(to, on_message, &left);
    mailbox_drain(NULL, on_message, &left);
    assert_int_equal(left.count, 3);
    mailbox_destroy(from);
    mailbox_destroy(to);
    event_base_free(base);
    zmq_ctx_term(zmq_ctx);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_left_over),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
