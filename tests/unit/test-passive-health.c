#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "coordination/passive-health.h"

#define START (100 * USEC_PER_SEC)
#define MS USEC_PER_MSEC

enum step {
    END,
    MISS,      /* the caller sent again after 200 ms */
    EARLY,     /* it was passed on late, so the repeat says nothing */
    QUEUED,    /* the repeat came early and waited here */
    ANSWER,    /* a caller went on */
    REPORT,    /* a peer saw a miss */
    REPORT_2,  /* or two */
    OLD,       /* of something sent before the last answer */
    WAIT,      /* three seconds */
    WAIT_LONG, /* six seconds */
};

/* Runs one step; "now" moves on. Returns whether the target fell silent. */
static bool
run(struct target_observations *signs, enum step step, uint64_t *now)
{
    uint64_t sent = *now;

    *now += 200 * MS;
    switch (step) {
    case MISS:
        return passive_health_on_miss(signs, sent, *now, *now);
    case EARLY:
        return passive_health_on_miss(signs, *now - 100 * MS, *now, *now);
    case QUEUED:
        return passive_health_on_miss(signs, sent, sent + 10 * MS, *now);
    case ANSWER:
        passive_health_on_answer(signs, *now);
        return false;
    case REPORT:
        return passive_health_on_peer_misses(signs, 1, sent, *now);
    case REPORT_2:
        return passive_health_on_peer_misses(signs, 2, sent, *now);
    case OLD:
        return passive_health_on_peer_misses(signs, 3, START - 1, *now);
    case WAIT:
        *now += 3 * USEC_PER_SEC;
        return false;
    case WAIT_LONG:
        *now += 6 * USEC_PER_SEC;
        return false;
    default:
        return false;
    }
}

static void
test_sequences(void **state)
{
    static const struct {
        enum step steps[8];
        bool avoid;
        bool silent;
        unsigned times; /* that it fell silent */
    } cases[] = {
        {{END}, false, false, 0},
        {{MISS}, false, false, 0},
        {{MISS, MISS}, true, false, 0},
        {{MISS, MISS, MISS}, true, true, 1},
        {{MISS, MISS, MISS, MISS, MISS}, true, true, 1},
        {{MISS, MISS, ANSWER, MISS}, false, false, 0},
        {{MISS, MISS, MISS, ANSWER}, false, false, 1},
        {{MISS, MISS, MISS, ANSWER, MISS, MISS, MISS}, true, true, 2},
        {{EARLY, EARLY, EARLY}, false, false, 0},
        {{QUEUED, QUEUED, QUEUED}, false, false, 0},
        {{MISS, REPORT}, true, false, 0},
        {{MISS, REPORT_2}, true, true, 1},
        {{REPORT, REPORT_2}, true, true, 1},
        {{ANSWER, OLD}, false, false, 0},
        {{MISS, MISS, WAIT}, false, false, 0},
        {{MISS, MISS, MISS, WAIT}, false, true, 1},
        {{MISS, MISS, WAIT_LONG, MISS}, false, false, 0},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        struct target_observations signs = {0};
        uint64_t now = START;
        unsigned times = 0;

        for (const enum step *s = cases[i].steps; *s != END; s++) {
            times += run(&signs, *s, &now);
        }
        if (signs.silent != cases[i].silent || times != cases[i].times ||
            passive_health_should_avoid(&signs, now) != cases[i].avoid) {
            fail_msg("case %zu: silent %d, %u times, avoided %d", i,
                     signs.silent, times,
                     passive_health_should_avoid(&signs, now));
        }
    }
}

/* After the time in which it is avoided one flow in each second goes there. */
static void
test_trials(void **state)
{
    struct target_observations signs = {0};
    uint64_t now = START;

    run(&signs, MISS, &now);
    run(&signs, MISS, &now);
    run(&signs, WAIT, &now);
    assert_false(passive_health_should_avoid(&signs, now));
    passive_health_on_trial(&signs, now);
    assert_true(passive_health_should_avoid(&signs, now));
    now += USEC_PER_SEC;
    assert_false(passive_health_should_avoid(&signs, now));
}

/* When an opening without an answer makes its target doubtful: "after_ms" is
 * the time since the first, "usual_ms" that of earlier ones. */
static void
test_doubt(void **state)
{
    static const struct {
        uint64_t usual_ms; /* 0: none seen */
        uint64_t after_ms;
        bool answered; /* some caller had an answer meanwhile */
        bool doubtful;
    } cases[] = {
        {0, 10, false, false}, {0, 40, false, true},    {7, 20, false, false},
        {7, 40, false, true},  {50, 100, false, false}, {50, 250, false, true},
        {7, 40, true, false},  {7, 1100, false, false},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        struct target_observations signs = {0};

        if (cases[i].usual_ms > 0) {
            passive_health_on_opening_answer(&signs, cases[i].usual_ms * MS,
                                             START);
        }
        passive_health_on_opening(&signs, START);
        passive_health_on_opening(&signs, START + 5 * MS);
        if (cases[i].answered) {
            passive_health_on_answer(&signs, START + 6 * MS);
        }
        assert_int_equal(
            passive_health_is_suspect(&signs, START + cases[i].after_ms * MS),
            cases[i].doubtful);
    }
}

/* After a second one opening goes there to see; without an answer to that it
 * is doubtful again. */
static void
test_doubt_returns(void **state)
{
    struct target_observations signs = {0};

    passive_health_on_opening(&signs, START);
    assert_true(passive_health_is_suspect(&signs, START + 900 * MS));
    assert_false(passive_health_is_suspect(&signs, START + 1000 * MS));
    passive_health_on_opening(&signs, START + 1000 * MS);
    assert_false(passive_health_is_suspect(&signs, START + 1010 * MS));
    assert_true(passive_health_is_suspect(&signs, START + 1040 * MS));
}

/* The count of requests fades, at any spacing of the looks at it. */
static void
test_load(void **state)
{
    struct target_observations signs = {0};
    uint64_t now = START;

    for (int i = 0; i < 100; i++) {
        passive_health_on_forward(&signs, now);
    }
    assert_true(passive_health_load(&signs, now) > 99.0);
    assert_true(passive_health_load(&signs, now + 2 * USEC_PER_SEC) < 40.0);
    assert_true(passive_health_load(&signs, now + 2 * USEC_PER_SEC) > 30.0);
    assert_true(passive_health_load(&signs, now + 30 * USEC_PER_SEC) < 0.1);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_sequences), cmocka_unit_test(test_trials),
        cmocka_unit_test(test_doubt),     cmocka_unit_test(test_doubt_returns),
        cmocka_unit_test(test_load),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
