#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "coordination/health.h"
#include "view-fixture.h"

#define SEED 17
#define TARGETS 14

static struct target_table *table;
static struct service_targets *svc;
static struct target_state *t;
static struct random random_source;

static int
setup(void **state)
{
    print_message("seed %d\n", SEED);
    random_seed(&random_source, SEED);
    table = fixture_table(TARGETS);
    svc = target_table_service(table, FIXTURE_SERVICE);
    t = svc->targets[0];
    return 0;
}

static int
teardown(void **state)
{
    target_table_destroy(table);
    return 0;
}

static bool
usable(uint64_t now)
{
    struct health_trust trust = health_trust_of(svc->targets, svc->count, now);

    return health_usable(t, &trust, now);
}

enum step {
    END,
    FAIL,       /* a real request failed */
    SUCCEED,    /* a real request was answered */
    PROBE_OK,   /* the endpoint says all is well */
    PROBE_LOST, /* it does not answer */
    PROBE_WRONG,
    PROBE_LEAVING,
    WAIT, /* longer than the longest first back-off */
    START,
};

#define STEPS_MAX 10

/* Sequences of events at one target of fourteen, and whether it is usable
 * after them. */
static const struct {
    const char *name;
    enum step steps[STEPS_MAX];
    bool usable;
} sequences[] = {
    {"untouched", {END}, true},
    {"one failure", {FAIL}, true},
    {"failures with success between", {FAIL, FAIL, SUCCEED, FAIL, FAIL}, true},
    {"ejected", {FAIL, FAIL, FAIL}, false},
    {"a good probe does not lift it", {FAIL, FAIL, FAIL, PROBE_OK}, false},
    {"the back-off ends", {FAIL, FAIL, FAIL, WAIT}, true},
    {"one trial at a time", {FAIL, FAIL, FAIL, WAIT, START}, false},
    {"trial fails", {FAIL, FAIL, FAIL, WAIT, START, FAIL}, false},
    {"trial succeeds", {FAIL, FAIL, FAIL, WAIT, START, SUCCEED}, true},
    {"after the trial one failure is borne",
     {FAIL, FAIL, FAIL, WAIT, START, SUCCEED, FAIL},
     true},
    {"lost probe", {PROBE_LOST}, true},
    {"lost probes", {PROBE_LOST, PROBE_LOST, PROBE_LOST}, false},
    {"probes come back", {PROBE_LOST, PROBE_LOST, PROBE_LOST, PROBE_OK}, true},
    {"wrong service", {PROBE_WRONG}, false},
    {"wrong service, then lost", {PROBE_WRONG, PROBE_LOST, SUCCEED}, false},
    {"right service again", {PROBE_WRONG, PROBE_OK}, true},
    {"reports leaving", {PROBE_LEAVING}, false},
    {"reports leaving, then not", {PROBE_LEAVING, PROBE_OK}, true},
};

static uint64_t
run_step(enum step step, uint64_t now)
{
    struct health_probe probe = {
        .answered = step != PROBE_LOST,
        .names_service = step != PROBE_WRONG,
        .leaving = step == PROBE_LEAVING,
    };

    switch (step) {
    case FAIL:
        health_on_failure(t, &random_source, now);
        break;
    case SUCCEED:
        health_on_success(t);
        break;
    case START:
        health_on_start(t, now);
        break;
    case WAIT:
        now += 3 * USEC_PER_SEC;
        break;
    default:
        health_on_probe(t, &probe, now);
        break;
    }
    return now;
}

static void
test_sequences(void **state)
{
    for (size_t i = 0; i < sizeof(sequences) / sizeof(*sequences); i++) {
        uint64_t now = FIXTURE_NOW;

        print_message("case: %s\n", sequences[i].name);
        for (const enum step *s = sequences[i].steps; *s != END; s++) {
            now = run_step(*s, now);
        }
        assert_int_equal(usable(now), sequences[i].usable);
        teardown(state);
        setup(state);
    }
}

/* How long a target with answers in 40 ms, or with none yet, may be silent. */
static void
test_timeout_counts(void **state)
{
    static const struct {
        uint64_t latency_ms;
        uint64_t waited_ms;
        bool counts;
    } cases[] = {{40, 10, false}, {40, 100, false}, {40, 500, true},
                 {0, 100, false}, {0, 500, true},   {900, 1000, true}};

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        t->latency_us = (double)(cases[i].latency_ms * USEC_PER_MSEC);
        assert_int_equal(
            health_timeout_counts(t, cases[i].waited_ms * USEC_PER_MSEC),
            cases[i].counts);
    }
}

static void
test_forget_verified(void **state)
{
    struct health_probe probe = {.answered = true, .names_service = true};

    assert_true(usable(FIXTURE_NOW));
    health_clear_verified(table);
    assert_false(usable(FIXTURE_NOW));
    health_on_probe(t, &probe, FIXTURE_NOW);
    assert_true(usable(FIXTURE_NOW));
}

/* Each failed trial at least stays out longer than the one before last, up to
 * about a minute. */
static void
test_back_off_grows(void **state)
{
    uint64_t now = FIXTURE_NOW;
    uint64_t first = 0;
    uint64_t pause = 0;

    for (int i = 0; i < 3; i++) {
        health_on_failure(t, &random_source, now);
    }
    first = t->health.ejected_until_us - now;
    for (int i = 0; i < 12; i++) {
        now = t->health.ejected_until_us;
        health_on_start(t, now);
        health_on_failure(t, &random_source, now);
        pause = t->health.ejected_until_us - now;
        assert_true(pause <= 90 * USEC_PER_SEC);
    }
    assert_true(pause > 8 * first);
}

/* How many of fourteen targets look bad to a source, and whether it is still
 * trusted. */
static void
test_trust(void **state)
{
    static const struct {
        size_t bad;
        bool trusted;
    } cases[] = {{0, true}, {1, true}, {7, true}, {8, false}, {14, false}};

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        for (size_t k = 0; k < cases[i].bad; k++) {
            svc->targets[k]->health.probe_bad = true;
        }
        assert_int_equal(
            health_trust_of(svc->targets, TARGETS, FIXTURE_NOW).probes,
            cases[i].trusted);
        assert_true(
            health_trust_of(svc->targets, TARGETS, FIXTURE_NOW).ejections);
        for (size_t k = 0; k < cases[i].bad; k++) {
            svc->targets[k]->health.ejected_until_us = FIXTURE_NOW + 1;
        }
        assert_int_equal(
            health_trust_of(svc->targets, TARGETS, FIXTURE_NOW).ejections,
            cases[i].trusted);
        teardown(state);
        setup(state);
    }
}

/* A small domain's balancers all probe; in a large one a target has about the
 * wanted number of probers, and no balancer much more than its share. */
static void
test_probers(void **state)
{
    enum { MEMBERS_MAX = 800, PROBED = 400 };
    static const struct {
        uint32_t live;
        double least;
        double most;
    } cases[] = {
        {1, 1, 1}, {8, 8, 8}, {9, 3, 5}, {100, 3, 5}, {MEMBERS_MAX, 3, 5},
    };

    for (size_t c = 0; c < sizeof(cases) / sizeof(*cases); c++) {
        uint32_t live = cases[c].live;
        unsigned probes[MEMBERS_MAX] = {0};
        unsigned sum = 0;

        for (uint32_t i = 0; i < PROBED; i++) {
            struct target_state probed = {.hash = i + 1};

            for (uint32_t m = 0; m < live; m++) {
                if (health_is_prober(&probed, id_hash("member") + m, live)) {
                    probes[m]++;
                    sum++;
                }
            }
        }
        assert_true((double)sum / PROBED >= cases[c].least);
        assert_true((double)sum / PROBED <= cases[c].most);
        for (uint32_t m = 0; m < live; m++) {
            assert_true(probes[m] <= 4 * (sum / live + 4));
        }
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_sequences, setup, teardown),
        cmocka_unit_test_setup_teardown(test_back_off_grows, setup, teardown),
        cmocka_unit_test_setup_teardown(test_timeout_counts, setup, teardown),
        cmocka_unit_test_setup_teardown(test_forget_verified, setup, teardown),
        cmocka_unit_test_setup_teardown(test_trust, setup, teardown),
        cmocka_unit_test_setup_teardown(test_probers, setup, teardown),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
