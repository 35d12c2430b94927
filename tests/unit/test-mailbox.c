#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include <event2/event.h>
#include <zmq.h>

#include "transport/mailbox.h"

struct received {
    unsigned count;
    uint32_t sum; /* of the numbers in the messages */
};

static void
on_message(void *ctx, uint32_t type, const void *data, size_t size)
{
    struct received *received = ctx;
    uint32_t number;

    assert_int_equal(size, sizeof(number));
    memcpy(&number, data, sizeof(number));
    received->count++;
    received->sum += number;
}

/* mailbox_drain() hands over the messages that are still queued when the event
 * loop ends, because they may point to memory that has to be freed. */
static void
test_drain_after_event_loop(void **state)
{
    void *zmq_ctx = zmq_ctx_new();
    struct event_base *base = event_base_new();
    struct received delivered = {0};
    struct received drained = {0};
    struct status st;
    struct mailbox *receiver =
        mailbox_new(zmq_ctx, base, "test", true, on_message, &delivered, &st);
    struct mailbox *sender =
        mailbox_new(zmq_ctx, base, "test", false, on_message, &delivered, &st);

    for (uint32_t i = 1; i <= 3; i++) {
        assert_true(mailbox_send(sender, 7, &i, sizeof(i)));
    }
    mailbox_drain(receiver, on_message, &drained);
    assert_int_equal(drained.count, 3);
    assert_int_equal(drained.sum, 6);
    assert_int_equal(delivered.count, 0);
    mailbox_drain(receiver, on_message, &drained);
    mailbox_drain(NULL, on_message, &drained);
    assert_int_equal(drained.count, 3);
    mailbox_destroy(sender);
    mailbox_destroy(receiver);
    event_base_free(base);
    zmq_ctx_term(zmq_ctx);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_drain_after_event_loop),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
