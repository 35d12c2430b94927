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
static struct target_state *tested;
static struct random random_source;

static int
setup(void **state)
{
    print_message("seed %d\n", SEED);
    random_seed(&random_source, SEED);
    table = fixture_table(TARGETS);
    svc = target_table_service(table, FIXTURE_SERVICE);
    tested = svc->targets[0];
    return 0;
}

static int
teardown(void **state)
{
    target_table_destroy(table);
    return 0;
}

/* Returns whether the tested target is usable. Whether probes and ejections
 * are trusted for this depends on all targets of the service. */
static bool
is_usable(uint64_t now)
{
    struct health_trust trust = health_trust_of(svc->targets, svc->count, now);

    return health_usable(tested, &trust, now);
}

/* An event at the tested target. */
enum health_event {
    END,           /* end of the sequence */
    FAIL,          /* a real request failed */
    SUCCEED,       /* a real request was answered */
    PROBE_OK,      /* the health endpoint names the service */
    PROBE_LOST,    /* the health endpoint does not answer */
    PROBE_WRONG,   /* the health endpoint names another service */
    PROBE_LEAVING, /* the health endpoint reports that the target leaves */
    WAIT,  /* 3 s pass, which exceeds the first back-off with any jitter */
    START, /* a request is sent to the target */
};

#define EVENTS_MAX 10

/* Sequences of events at one target of fourteen, and whether it is usable
 * after them. */
static const struct {
    const char *name;
    enum health_event events[EVENTS_MAX];
    bool usable;
} sequences[] = {
    {"no event", {END}, true},
    {"one failure", {FAIL}, true},
    {"two failures twice, with a success between",
     {FAIL, FAIL, SUCCEED, FAIL, FAIL},
     true},
    {"three failures", {FAIL, FAIL, FAIL}, false},
    {"a good probe does not end the ejection",
     {FAIL, FAIL, FAIL, PROBE_OK},
     false},
    {"after the back-off", {FAIL, FAIL, FAIL, WAIT}, true},
    {"one trial at a time", {FAIL, FAIL, FAIL, WAIT, START}, false},
    {"trial fails", {FAIL, FAIL, FAIL, WAIT, START, FAIL}, false},
    {"trial succeeds", {FAIL, FAIL, FAIL, WAIT, START, SUCCEED}, true},
    {"one failure after a successful trial",
     {FAIL, FAIL, FAIL, WAIT, START, SUCCEED, FAIL},
     true},
    {"one lost probe", {PROBE_LOST}, true},
    {"three lost probes", {PROBE_LOST, PROBE_LOST, PROBE_LOST}, false},
    {"a good probe after lost ones",
     {PROBE_LOST, PROBE_LOST, PROBE_LOST, PROBE_OK},
     true},
    {"wrong service", {PROBE_WRONG}, false},
    {"wrong service, then lost", {PROBE_WRONG, PROBE_LOST, SUCCEED}, false},
    {"right service again", {PROBE_WRONG, PROBE_OK}, true},
    {"reports leaving", {PROBE_LEAVING}, false},
    {"reports leaving, then not", {PROBE_LEAVING, PROBE_OK}, true},
};

static uint64_t
apply_event(enum health_event event, uint64_t now)
{
    struct health_probe probe = {
        .answered = event != PROBE_LOST,
        .names_service = event != PROBE_WRONG,
        .leaving = event == PROBE_LEAVING,
    };

    switch (event) {
    case FAIL:
        health_on_failure(tested, &random_source, now);
        break;
    case SUCCEED:
        health_on_success(tested);
        break;
    case START:
        health_on_start(tested, now);
        break;
    case WAIT:
        now += 3 * USEC_PER_SEC;
        break;
    default:
        health_on_probe(tested, &probe, now);
        break;
    }
    return now;
}

static void
test_sequences(void **state)
{
    for (size_t i = 0; i < sizeof(sequences) / sizeof(*sequences); i++) {
        uint64_t now = FIXTURE_NOW_US;

        print_message("case: %s\n", sequences[i].name);
        for (const enum health_event *event = sequences[i].events;
             *event != END; event++) {
            now = apply_event(*event, now);
        }
        assert_int_equal(is_usable(now), sequences[i].usable);
        teardown(state);
        setup(state);
    }
}

/* Whether a request without an answer for "waited_ms" counts as a failure, for
 * a target with a mean latency of "latency_ms", 0: it has not answered yet. */
static void
test_timeout_counts_as_failure(void **state)
{
    static const struct {
        uint64_t latency_ms;
        uint64_t waited_ms;
        bool counts;
    } cases[] = {{40, 10, false}, {40, 100, false}, {40, 500, true},
                 {0, 100, false}, {0, 500, true},   {900, 1000, true}};

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        tested->latency_us = (double)(cases[i].latency_ms * USEC_PER_MSEC);
        assert_int_equal(
            health_timeout_counts(tested, cases[i].waited_ms * USEC_PER_MSEC),
            cases[i].counts);
    }
}

/* A target that is no longer verified is not used until a probe names the
 * service again. */
static void
test_clear_verified(void **state)
{
    struct health_probe probe = {.answered = true, .names_service = true};

    assert_true(is_usable(FIXTURE_NOW_US));
    health_clear_verified(table);
    assert_false(is_usable(FIXTURE_NOW_US));
    health_on_probe(tested, &probe, FIXTURE_NOW_US);
    assert_true(is_usable(FIXTURE_NOW_US));
}

/* The back-off grows with failed trials to more than eight times the first
 * one. It never exceeds 90 s. */
static void
test_back_off_grows(void **state)
{
    uint64_t now = FIXTURE_NOW_US;
    uint64_t first_us = 0;
    uint64_t back_off_us = 0;

    for (int i = 0; i < 3; i++) {
        health_on_failure(tested, &random_source, now);
    }
    first_us = tested->health.ejected_until_us - now;
    for (int i = 0; i < 12; i++) {
        now = tested->health.ejected_until_us;
        health_on_start(tested, now);
        health_on_failure(tested, &random_source, now);
        back_off_us = tested->health.ejected_until_us - now;
        assert_true(back_off_us <= 90 * USEC_PER_SEC);
    }
    assert_true(back_off_us > 8 * first_us);
}

/* Whether a source that rates "bad" of the 14 targets as bad is trusted. */
static void
test_trust_in_sources(void **state)
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
            health_trust_of(svc->targets, TARGETS, FIXTURE_NOW_US).probes,
            cases[i].trusted);
        assert_true(
            health_trust_of(svc->targets, TARGETS, FIXTURE_NOW_US).ejections);
        for (size_t k = 0; k < cases[i].bad; k++) {
            svc->targets[k]->health.ejected_until_us = FIXTURE_NOW_US + 1;
        }
        assert_int_equal(
            health_trust_of(svc->targets, TARGETS, FIXTURE_NOW_US).ejections,
            cases[i].trusted);
        teardown(state);
        setup(state);
    }
}

/* In a small failure domain all balancers probe each target. In a large one
 * each target has HEALTH_PROBERS probers on average, within one, and no
 * balancer probes more targets than four times its share plus 16. */
static void
test_probers(void **state)
{
    enum { MEMBERS_MAX = 800, PROBED = 400 };
    static const struct {
        uint32_t live; /* number of live balancers */
        /* Bounds of the mean number of probers of a target */
        double mean_min;
        double mean_max;
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
        assert_true((double)sum / PROBED >= cases[c].mean_min);
        assert_true((double)sum / PROBED <= cases[c].mean_max);
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
        cmocka_unit_test_setup_teardown(test_timeout_counts_as_failure, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_clear_verified, setup, teardown),
        cmocka_unit_test_setup_teardown(test_trust_in_sources, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_probers, setup, teardown),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
