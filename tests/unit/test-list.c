#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/list.h"

struct item {
    int value;
    struct list link;
};

static void
test_order_and_removal(void **state)
{
    struct list head;
    struct item items[3] = {{.value = 1}, {.value = 2}, {.value = 3}};
    int digits = 0;

    list_init(&head);
    assert_true(list_empty(&head));
    for (size_t i = 0; i < 3; i++) {
        list_push_back(&head, &items[i].link);
    }
    list_remove(&items[1].link);
    /* Removing an item again has no effect. */
    list_remove(&items[1].link);
    list_push_front(&head, &items[1].link);
    list_for_each (it, &head) {
        digits = digits * 10 + container_of(it, struct item, link)->value;
    }
    assert_int_equal(digits, 213);
    list_for_each_safe (it, &head) {
        list_remove(it);
    }
    assert_true(list_empty(&head));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_order_and_removal),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
