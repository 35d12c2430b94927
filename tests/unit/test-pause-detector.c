#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/clock.h"
#include "daemon/pause-detector.h"

#define INTERVAL_US (50 * USEC_PER_MSEC)
#define START_US (100 * USEC_PER_SEC)
#define BOOT_LEAD_US (7 * USEC_PER_SEC)

/* A pause is seen at the first check after it, once, and by its whole length:
 * what was asked for before it is not taken for current. */
static void
test_pauses(void **state)
{
    static const struct {
        const char *name;
        uint64_t monotonic_ms; /* since the last check */
        uint64_t suspended_ms;
        uint64_t length_ms;
        uint64_t uncounted_ms;
    } cases[] = {
        {"a tick", 50, 0, 0, 0},
        {"a late tick", 700, 0, 0, 0},
        {"a pause", 760, 0, 760, 0},
        {"a long pause", 5000, 0, 5000, 0},
        {"clocks read at different times", 50, 100, 0, 0},
        {"a suspension", 40, 2000, 2040, 2000},
        {"a pause with a suspension", 900, 300, 1200, 300},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        struct pause_detector pd;
        struct pause pause;
        uint64_t now = START_US + cases[i].monotonic_ms * USEC_PER_MSEC;
        uint64_t boot_now =
            now + BOOT_LEAD_US + cases[i].suspended_ms * USEC_PER_MSEC;

        print_message("%s\n", cases[i].name);
        pause_detector_init(&pd, INTERVAL_US, START_US,
                            START_US + BOOT_LEAD_US);
        pause = pause_detector_check(&pd, now, boot_now);
        assert_int_equal(pause.length_us, cases[i].length_ms * USEC_PER_MSEC);
        assert_int_equal(pause.suspended_us,
                         cases[i].uncounted_ms * USEC_PER_MSEC);
        pause = pause_detector_check(&pd, now, boot_now);
        assert_int_equal(pause.length_us, 0);
        assert_int_equal(pause.suspended_us, 0);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_pauses),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
