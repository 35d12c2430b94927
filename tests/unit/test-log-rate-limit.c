#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <unistd.h>

#include <cmocka.h>

#include "base/clock.h"
#include "base/log-rate-limit.h"
#define LOG_MODULE "test"
#include "base/log.h"

#define PIPE_LINES 100000 /* more than any pipe holds */

static void
test_budget(void **state)
{
    struct log_rate_limit budget = {.per_second = 3};
    uint64_t now = 7 * USEC_PER_SEC;

    for (int i = 0; i < 10; i++) {
        assert_int_equal(log_rate_limit_allow(&budget, now), i < 3);
    }
    assert_int_equal(log_rate_limit_take_left_out(&budget), 7);
    assert_int_equal(log_rate_limit_take_left_out(&budget), 0);
    assert_true(log_rate_limit_allow(&budget, now + USEC_PER_SEC));
    assert_int_equal(log_rate_limit_take_left_out(&budget), 0);
}

/* A reader that has stopped does not stop the process; the lines are lost and
 * counted. */
static void
test_nobody_reads(void **state)
{
    int ends[2];
    int saved = dup(STDERR_FILENO);

    assert_int_equal(pipe(ends), 0);
    dup2(ends[1], STDERR_FILENO);
    log_drop_when_blocked();
    for (int i = 0; i < PIPE_LINES; i++) {
        LOG_INFO("line %d", i);
    }
    dup2(saved, STDERR_FILENO);
    close(ends[0]);
    close(ends[1]);
    assert_true(log_lines_lost() > 0);
    assert_true(log_lines_lost() < PIPE_LINES);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_budget),
        cmocka_unit_test(test_nobody_reads),
    };

    alarm(20); /* a write that waits ends the test */
    return cmocka_run_group_tests(tests, NULL, NULL);
}
