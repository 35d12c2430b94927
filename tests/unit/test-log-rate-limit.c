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

#define LINE_COUNT 100000 /* more lines than fit into the buffer of a pipe */

static void
test_lines_per_second(void **state)
{
    struct log_rate_limit limit = {.per_second = 3};
    uint64_t now = 7 * USEC_PER_SEC;

    for (int i = 0; i < 10; i++) {
        assert_int_equal(log_rate_limit_allow(&limit, now), i < 3);
    }
    assert_int_equal(log_rate_limit_take_left_out(&limit), 7);
    assert_int_equal(log_rate_limit_take_left_out(&limit), 0);
    assert_true(log_rate_limit_allow(&limit, now + USEC_PER_SEC));
    assert_int_equal(log_rate_limit_take_left_out(&limit), 0);
}

/* The log goes to a pipe that nothing reads. When the pipe is full, log lines
 * are dropped and counted and do not block the process. */
static void
test_blocked_lines_are_dropped(void **state)
{
    int pipe_fds[2];
    int saved_stderr = dup(STDERR_FILENO);

    assert_int_equal(pipe(pipe_fds), 0);
    dup2(pipe_fds[1], STDERR_FILENO);
    log_drop_when_blocked();
    for (int i = 0; i < LINE_COUNT; i++) {
        LOG_INFO("line %d", i);
    }
    dup2(saved_stderr, STDERR_FILENO);
    close(pipe_fds[0]);
    close(pipe_fds[1]);
    assert_true(log_lines_lost() > 0);
    assert_true(log_lines_lost() < LINE_COUNT);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_lines_per_second),
        cmocka_unit_test(test_blocked_lines_are_dropped),
    };

    alarm(20); /* kills the test when a write blocks */
    return cmocka_run_group_tests(tests, NULL, NULL);
}
