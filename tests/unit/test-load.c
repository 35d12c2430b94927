#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "plan.h"
#include "tally.h"
#include "verify.h"

#define SEED 42
#define DURATION_US (100 * USEC_PER_SEC)

static void
test_traffic_parse(void **state)
{
    const struct {
        const char *text;
        bool ok;
    } cases[] = {
        {"rigctl:post:5:1000", true},
        {"rigctl:download:0.5:1000:4096", true},
        {"rigctl:push:5:1000", false},
        {"rigctl:post:0:1000", false},
        {"rigctl:post:50000:1000", false},
        {"rigctl:post:5:0", false},
        {"rigctl:post:5", false},
        {"rigctl:post:5:1000:1:2", false},
        {"rigctl:watch:5:1000:1000000", true},
        {"rigctl:watch:5:1000:1000001", false},
        {"rigctl:download:5:1000:1000001", true},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        struct traffic traffic;

        assert_int_equal(traffic_parse(cases[i].text, &traffic), cases[i].ok);
    }
}

static void
parse_traffic_options(struct traffic *traffic)
{
    assert_true(traffic_parse("a:get:100:500", &traffic[0]));
    assert_true(traffic_parse("a:post:10:500", &traffic[1]));
    assert_true(traffic_parse("a:watch:5:500", &traffic[2]));
}

static void
test_same_seed_same_arrivals(void **state)
{
    struct traffic traffic[3];
    struct plan plans[2];
    struct plan other;
    struct arrival a;
    struct arrival b;
    uint64_t counts[3] = {0};
    uint64_t last = 0;
    bool differs = false;

    print_message("seed %d\n", SEED);
    parse_traffic_options(traffic);
    plan_init(&plans[0], traffic, 3, 10, DURATION_US, SEED);
    plan_init(&plans[1], traffic, 3, 10, DURATION_US, SEED);
    plan_init(&other, traffic, 3, 10, DURATION_US, SEED + 1);
    while (plan_next(&plans[0], &a)) {
        assert_true(plan_next(&plans[1], &b));
        assert_memory_equal(&a, &b, sizeof(a));
        assert_true(a.at_us >= last && a.at_us < DURATION_US);
        assert_true(a.session < 10);
        last = a.at_us;
        counts[a.traffic]++;
        differs = differs || (plan_next(&other, &b) && b.at_us != a.at_us);
    }
    assert_false(plan_next(&plans[1], &b));
    assert_true(differs);
    /* 10000 and 1000 arrivals are expected in 100 s. The bounds are four
     * standard deviations away. */
    assert_in_range(counts[0], 9600, 10400);
    assert_in_range(counts[1], 874, 1126);
    assert_int_equal(counts[2], 0);
}

/* Changing the rate of one traffic option does not change the arrivals of the
 * others. */
static void
test_arrivals_are_independent(void **state)
{
    struct traffic traffic[2];
    struct plan plan;
    struct arrival arrival;
    uint64_t first[2] = {0};

    assert_true(traffic_parse("a:get:100:500", &traffic[0]));
    for (int run = 0; run < 2; run++) {
        assert_true(traffic_parse(run == 0 ? "a:post:10:500" : "a:post:90:500",
                                  &traffic[1]));
        plan_init(&plan, traffic, 2, 10, DURATION_US, SEED);
        do {
            assert_true(plan_next(&plan, &arrival));
        } while (arrival.traffic != 0);
        first[run] = arrival.at_us;
    }
    assert_int_equal(first[0], first[1]);
}

static void
test_percentiles(void **state)
{
    const struct {
        double share;
        uint64_t time_us;
    } cases[] = {{0.5, 50}, {0.99, 99}, {1.0, 100}, {0.0, 1}};
    struct tally tally = {.started = 102};

    for (uint64_t t = 100; t >= 1; t--) {
        tally_add(&tally, RESULT_ANSWERED, t, 90);
    }
    tally_add(&tally, RESULT_TIMEOUT, 1, 90);
    tally_add(&tally, RESULT_UNKNOWN, 1, 90);
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        assert_int_equal(tally_percentile(&tally, cases[i].share),
                         cases[i].time_us);
    }
    assert_int_equal(tally_in_time(&tally), 90);
    assert_true(tally_late_share(&tally) > 0.1176);
    assert_true(tally_late_share(&tally) < 0.1177);
    tally_clear(&tally);
    assert_int_equal(tally_percentile(&tally, 0.5), 0);
}

static void
test_spread(void **state)
{
    const double values[] = {1, 3};
    struct spread spread;

    spread_compute(values, 2, &spread);
    assert_true(spread.mean == 2 && spread.busiest_over_mean == 1.5 &&
                spread.variation == 0.5);
    spread_compute(values, 0, &spread);
    assert_true(spread.busiest_over_mean == 0);
}

/* Each case is one command, with the number of its executions in the journal
 * and the result that its caller got. */
static void
test_commands_against_journals(void **state)
{
    const struct {
        const char *name;
        unsigned executions;
        bool has_result; /* false: the caller got no result */
        enum result result;
        /* Offset in struct verify_counts of the counter that must be 1 */
        size_t counter_offset;
    } cases[] = {
        {"executed twice", 2, true, RESULT_ANSWERED,
         offsetof(struct verify_counts, doubled)},
        {"lost, answered", 0, true, RESULT_ANSWERED,
         offsetof(struct verify_counts, lost)},
        {"lost, answer to another request", 0, true, RESULT_WRONG,
         offsetof(struct verify_counts, lost)},
        {"reported as not run, not executed", 0, true, RESULT_NOT_RUN,
         offsetof(struct verify_counts, not_run_true)},
        {"reported as not run, executed", 1, true, RESULT_NOT_RUN,
         offsetof(struct verify_counts, not_run_false)},
        {"unknown outcome, executed", 1, true, RESULT_UNKNOWN,
         offsetof(struct verify_counts, unknown_ran)},
        {"timeout, not executed", 0, true, RESULT_TIMEOUT,
         offsetof(struct verify_counts, unknown_not_run)},
        {"no result, executed", 1, false, RESULT_ANSWERED,
         offsetof(struct verify_counts, unknown_ran)},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        struct verify verify;
        struct verify_counts counts;

        verify_init(&verify);
        verify_add_command(&verify, "/run/1");
        if (cases[i].has_result) {
            verify_set_result(&verify, "/run/1", cases[i].result);
        }
        for (unsigned n = 0; n < cases[i].executions; n++) {
            verify_journal_line(&verify, "1 begin POST 0a /run/1 t-1\n");
            verify_journal_line(&verify, "2 end POST 0a /run/1 t-1\n");
        }
        verify_count(&verify, &counts);
        print_message("%s\n", cases[i].name);
        assert_int_equal(
            *(uint64_t *)((char *)&counts + cases[i].counter_offset), 1);
        assert_int_equal(counts.sent, 1);
        assert_int_equal(counts.ran, cases[i].executions > 0);
        verify_clear(&verify);
    }
}

static void
test_misdirected_and_foreign_lines(void **state)
{
    struct verify verify;

    verify_init(&verify);
    verify_journal_line(&verify, "1 misdirected POST - /run/1 t-1\n");
    verify_journal_line(&verify, "1 begin POST 0a /run/2 t-1\n");
    verify_journal_line(&verify, "broken line\n");
    assert_int_equal(verify.misdirected, 1);
    assert_int_equal(verify.foreign, 1);
    verify_clear(&verify);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_traffic_parse),
        cmocka_unit_test(test_same_seed_same_arrivals),
        cmocka_unit_test(test_arrivals_are_independent),
        cmocka_unit_test(test_percentiles),
        cmocka_unit_test(test_spread),
        cmocka_unit_test(test_commands_against_journals),
        cmocka_unit_test(test_misdirected_and_foreign_lines),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
