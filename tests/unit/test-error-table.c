#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "protocol/error-table.h"

#define COAP_CODE_CLASS(code) ((code) >> 5)

/* Every kind of error has a row in the table, and the fields of a row are
 * consistent. */
static void
test_rows_are_consistent(void **state)
{
    for (int kind = 0; kind < ERR_KIND_COUNT; kind++) {
        const struct error_answer *row = error_answer((enum error_kind)kind);

        assert_non_null(row->text);
        if (kind == ERR_NONE) {
            continue;
        }
        assert_in_range(row->http_status, 400, 504);
        if (row->coap_code == 0) {
            assert_int_equal(row->outcome, OUTCOME_NONE);
            continue;
        }
        assert_in_range(COAP_CODE_CLASS(row->coap_code), 4, 5);
        if (row->outcome == OUTCOME_UNKNOWN) {
            assert_int_equal(COAP_CODE_CLASS(row->coap_code), 5);
        }
    }
}

/* Kinds of errors for which a wrong outcome would be unsafe. */
static const struct {
    enum error_kind kind;
    enum packet_outcome outcome;
} expected_outcomes[] = {
    {ERR_TARGET_REFUSED, OUTCOME_NOT_RUN},
    {ERR_OVERLOADED, OUTCOME_NOT_RUN},
    {ERR_STOPPING, OUTCOME_NOT_RUN},
    {ERR_TOKEN_EXPIRED, OUTCOME_NOT_RUN},
    {ERR_TARGET_LOST, OUTCOME_UNKNOWN},
    {ERR_TARGET_TIMEOUT, OUTCOME_UNKNOWN},
    {ERR_TARGET_BAD_ANSWER, OUTCOME_UNKNOWN},
    {ERR_HOME_LOST, OUTCOME_UNKNOWN},
    {ERR_NO_MEMORY, OUTCOME_UNKNOWN},
    {ERR_BAD_OPTION, OUTCOME_NONE},
    {ERR_WRONG_SERVICE, OUTCOME_NONE},
    {ERR_TOO_LARGE, OUTCOME_NONE},
};

static void
test_outcomes_are_safe(void **state)
{
    for (size_t i = 0;
         i < sizeof(expected_outcomes) / sizeof(*expected_outcomes); i++) {
        assert_int_equal(error_answer(expected_outcomes[i].kind)->outcome,
                         expected_outcomes[i].outcome);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_rows_are_consistent),
        cmocka_unit_test(test_outcomes_are_safe),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
