#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <stdbool.h>

#include "coordination/retry-budget.h"

/* Retries are limited to a tenth of the requests, and a few more from the
 * initial budget, however many are asked for. */
static void
test_share_of_requests(void **state)
{
    static const struct {
        int requests;
        int retries_max;
        int retries_min;
    } cases[] = {{0, 3, 1}, {1000, 110, 95}, {100000, 10010, 9990}};

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        struct retry_budget rb;
        int retries = 0;

        retry_budget_init(&rb);
        for (int n = 0; n < cases[i].requests; n++) {
            retry_budget_deposit(&rb);
            retries += retry_budget_withdraw(&rb) ? 1 : 0;
        }
        while (retry_budget_withdraw(&rb)) {
            retries++;
        }
        assert_in_range(retries, cases[i].retries_min, cases[i].retries_max);
    }
}

/* After any number of requests without retries, the budget allows no more than
 * a short burst of retries. */
static void
test_burst_after_requests_without_retries(void **state)
{
    struct retry_budget rb;
    int burst = 0;

    retry_budget_init(&rb);
    for (int n = 0; n < 100000; n++) {
        retry_budget_deposit(&rb);
    }
    while (retry_budget_withdraw(&rb)) {
        burst++;
    }
    assert_in_range(burst, 1, 10);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_share_of_requests),
        cmocka_unit_test(test_burst_after_requests_without_retries),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
