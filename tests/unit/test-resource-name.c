#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "state/resource-name.h"

/* An id of the maximum length */
#define ID_63 "a23456789012345678901234567890123456789012345678901234567890123"
/* The id of this name is one character too long. */
#define NAME_WITH_ID_64                                                       \
    "host/a234567890123456789012345678901234567890123456789012345678901234"

static void
test_round_trips(void **state)
{
    static const char *const names[] = {
        "service/rigctl",  "target/rigctl/t-1.x_2",   "host/" ID_63,
        "key_ring/tokens", "target/" ID_63 "/" ID_63,
    };

    for (size_t i = 0; i < sizeof(names) / sizeof(*names); i++) {
        struct resource r;
        char name[RESOURCE_NAME_SIZE];

        assert_true(resource_name_parse(&r, names[i]));
        resource_name(&r, name);
        assert_string_equal(name, names[i]);
    }
}

static void
test_invalid_names(void **state)
{
    static const char *const names[] = {
        "",           "service",       "service/",      "service//",
        "service/a/", "service/a/b",   "target/a",      "target/a/",
        "target//a",  "target/a/b/c",  "status/hall-a", "service/a b",
        "service/-a", NAME_WITH_ID_64,
    };

    for (size_t i = 0; i < sizeof(names) / sizeof(*names); i++) {
        struct resource r;

        if (resource_name_parse(&r, names[i])) {
            fail_msg("%s was accepted", names[i]);
        }
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_round_trips),
        cmocka_unit_test(test_invalid_names),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
