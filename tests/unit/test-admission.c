#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <string.h>

#include "base/clock.h"
#include "coordination/admission.h"

#define SEED 19
#define NOW (1000 * USEC_PER_SEC)
#define FAR (NOW + 3600 * USEC_PER_SEC)
#define QUEUE 32
#define ENTRIES 64

static struct admission *adm;
static struct random random_source;
static struct admission_entry entries[ENTRIES];
static char tenants[ENTRIES]; /* first letter of the tenant, for order */

static int
setup(void **state)
{
    struct admission_limits limits = {.queue = QUEUE};

    print_message("seed %d\n", SEED);
    random_seed(&random_source, SEED);
    adm = admission_new(&limits, &random_source);
    memset(entries, 0, sizeof(entries));
    return adm != NULL ? 0 : -1;
}

static int
teardown(void **state)
{
    struct admission_entry *entry;

    while ((entry = admission_peek(adm)) != NULL) {
        admission_remove(adm, entry);
    }
    admission_destroy(adm);
    return 0;
}

static enum error_kind
offer(int index, const char *tenant, enum traffic_class class,
      uint64_t deadline, uint64_t now, uint32_t *retry_after)
{
    tenants[index] = tenant[0];
    return admission_enqueue(adm, &entries[index], tenant, class, deadline,
                             now, retry_after);
}

/* Who starts in which order; each letter of "offers" is a request of that
 * tenant, upper case a command, lower case an interactive request, a digit a
 * download. */
static void
test_order(void **state)
{
    static const struct {
        const char *name;
        const char *offers;
        const char *starts;
    } cases[] = {
        {"first come", "aaa", "aaa"},
        {"fair among tenants", "aaaabc", "abcaaa"},
        {"commands first", "aB", "Ba"},
        {"downloads last", "1aB", "Ba1"},
        {"a download is not starved", "1aaaaaaaaaaaaaaaab",
         "abaaaaaaaaaaaaaa1a"},
        {"fair in each class", "aabAAB", "ABAaba"},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        char starts[ENTRIES] = {0};
        struct admission_entry *entry;
        size_t len = 0;
        uint32_t retry_after;

        print_message("case: %s\n", cases[i].name);
        for (size_t n = 0; cases[i].offers[n] != '\0'; n++) {
            char tenant[2] = {cases[i].offers[n], '\0'};
            enum traffic_class class = CLASS_INTERACTIVE;

            if (tenant[0] <= '9') {
                class = CLASS_DOWNLOAD;
            }
            else if (tenant[0] <= 'Z') {
                class = CLASS_COMMAND;
            }
            assert_int_equal(
                offer((int)n, tenant, class, FAR, NOW, &retry_after),
                ERR_NONE);
        }
        while ((entry = admission_peek(adm)) != NULL) {
            starts[len] = tenants[entry - entries];
            len++;
            admission_start(adm, entry);
        }
        assert_string_equal(starts, cases[i].starts);
        teardown(state);
        setup(state);
    }
}

/* One tenant cannot fill the queue, and others still find a place then. */
static void
test_queue_is_shared(void **state)
{
    uint32_t retry_after = 0;
    int taken = 0;

    while (taken < ENTRIES && offer(taken, "greedy", CLASS_INTERACTIVE, FAR,
                                    NOW, &retry_after) == ERR_NONE) {
        taken++;
    }
    assert_in_range(taken, 1, QUEUE / 2);
    assert_true(retry_after > 0);
    assert_int_equal(
        offer(taken, "modest", CLASS_INTERACTIVE, FAR, NOW, &retry_after),
        ERR_NONE);
    assert_int_equal(
        offer(taken + 1, "greedy", CLASS_COMMAND, FAR, NOW, &retry_after),
        ERR_NONE);
}

/* The queue never holds more than its bound. */
static void
test_queue_is_bounded(void **state)
{
    uint32_t retry_after;

    for (int i = 0; i < ENTRIES; i++) {
        char tenant[2] = {(char)('A' + i), '\0'};

        offer(i, tenant, CLASS_INTERACTIVE, FAR, NOW, &retry_after);
    }
    assert_in_range(admission_waiting_count(adm, CLASS_INTERACTIVE), QUEUE / 2,
                    QUEUE);
}

/* Lets the queue drain at one start each "gap_us" until the rate is known;
 * leaves "waiting" requests. */
static uint64_t
learn_rate(uint64_t gap_us, uint64_t duration_us, int waiting)
{
    uint64_t now = NOW;
    uint32_t retry_after;
    int last = 0;

    for (int i = 0; i < 400; i++) {
        char tenant[2] = {(char)('a' + i % 16), '\0'};
        struct admission_entry *entry;

        while (admission_waiting_count(adm, CLASS_INTERACTIVE) <
               (uint32_t)waiting + 1) {
            while (entries[last % ENTRIES].tenant != NULL) {
                last++;
            }
            if (offer(last % ENTRIES, tenant, CLASS_INTERACTIVE, FAR, now,
                      &retry_after) != ERR_NONE) {
                fail_msg("refused while learning");
            }
        }
        now += gap_us;
        entry = admission_peek(adm);
        admission_start(adm, entry);
        admission_completed(adm, CLASS_INTERACTIVE, "a", duration_us, now);
    }
    return now;
}

static int
free_entry(void)
{
    int i = 0;

    while (entries[i].tenant != NULL) {
        i++;
    }
    return i;
}

/* Empties the queue and puts ten requests of ten tenants there at once. */
static void
offer_burst(uint64_t now)
{
    struct admission_entry *entry;
    uint32_t retry_after;

    while ((entry = admission_peek(adm)) != NULL) {
        admission_remove(adm, entry);
    }
    for (int i = 0; i < 10; i++) {
        char tenant[2] = {(char)('a' + i), '\0'};

        assert_int_equal(offer(free_entry(), tenant, CLASS_INTERACTIVE, FAR,
                               now, &retry_after),
                         ERR_NONE);
    }
}

/* With ten requests waiting and a completion each 20 ms the wait is about
 * 200 ms; a request takes 50 ms then. What can be answered in time is taken,
 * what cannot is refused at once with a time in proportion. A queue of the
 * same length that has stood for seconds takes less than a burst: its wait is
 * kept to some durations. */
static void
test_deadline(void **state)
{
    static const struct {
        uint64_t left_ms;
        enum error_kind burst;
        enum error_kind standing;
    } cases[] = {
        {0, ERR_DEADLINE, ERR_DEADLINE},   {60, ERR_DEADLINE, ERR_DEADLINE},
        {150, ERR_DEADLINE, ERR_DEADLINE}, {240, ERR_DEADLINE, ERR_DEADLINE},
        {500, ERR_NONE, ERR_DEADLINE},     {2000, ERR_NONE, ERR_DEADLINE},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases) * 2; i++) {
        bool burst = i % 2 == 0;
        enum error_kind want =
            burst ? cases[i / 2].burst : cases[i / 2].standing;
        uint64_t now = learn_rate(20 * USEC_PER_MSEC, 50 * USEC_PER_MSEC, 10);
        uint32_t retry_after = 0;

        if (burst) {
            offer_burst(now);
        }
        assert_int_equal(offer(free_entry(), "z", CLASS_INTERACTIVE,
                               now + cases[i / 2].left_ms * USEC_PER_MSEC, now,
                               &retry_after),
                         want);
        if (want != ERR_NONE) {
            assert_in_range(retry_after, 50, 1000);
        }
        teardown(state);
        setup(state);
    }
}

/* An attempt has half of the time left, but a request that is merely long is
 * not given up: a class with requests of 50 ms knows that after a few. */
static void
test_attempt_timeout(void **state)
{
    static const struct {
        uint64_t left_ms;
        uint64_t least_ms;
        uint64_t most_ms;
    } cases[] = {{0, 0, 0}, {40, 40, 40}, {80, 50, 80}, {1000, 500, 500}};
    uint64_t now = learn_rate(20 * USEC_PER_MSEC, 50 * USEC_PER_MSEC, 4);

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        uint64_t timeout = admission_attempt_timeout_us(
            adm, CLASS_INTERACTIVE, now + cases[i].left_ms * USEC_PER_MSEC,
            now);

        assert_in_range(timeout, cases[i].least_ms * USEC_PER_MSEC,
                        cases[i].most_ms * USEC_PER_MSEC);
    }
}

/* When nothing drains any more, the estimate follows: new requests are
 * refused although the queue has places. */
static void
test_stall(void **state)
{
    uint64_t now = learn_rate(10 * USEC_PER_MSEC, 10 * USEC_PER_MSEC, 4);
    uint32_t retry_after;

    now += 2 * USEC_PER_SEC;
    assert_int_equal(offer(free_entry(), "z", CLASS_INTERACTIVE,
                           now + USEC_PER_SEC, now, &retry_after),
                     ERR_DEADLINE);
}

/* A waiting request that can no longer be answered in time comes out as
 * expired, wherever it stands in the queue. */
static void
test_expiry(void **state)
{
    uint32_t retry_after;

    offer(0, "a", CLASS_INTERACTIVE, NOW + 500, NOW, &retry_after);
    offer(1, "a", CLASS_INTERACTIVE, NOW + 100, NOW, &retry_after);
    offer(2, "b", CLASS_DOWNLOAD, NOW + 300, NOW, &retry_after);
    assert_null(admission_take_expired(adm, NOW + 100));
    assert_true(admission_next_expiry_us(adm) <= NOW + 100);
    assert_ptr_equal(admission_take_expired(adm, NOW + 101), &entries[1]);
    assert_null(admission_take_expired(adm, NOW + 101));
    assert_true(admission_next_expiry_us(adm) <= NOW + 300);
    assert_ptr_equal(admission_take_expired(adm, NOW + 600), &entries[0]);
    assert_ptr_equal(admission_take_expired(adm, NOW + 600), &entries[2]);
    assert_null(admission_take_expired(adm, NOW + 600));
    assert_null(admission_peek(adm));
}

/* A tenant whose requests hold slots four times as long as the mean gets
 * fewer turns while another one waits. */
static void
test_long_requests_cost_turns(void **state)
{
    uint32_t retry_after;
    int heavy = 0;
    int light = 0;

    for (int i = 0; i < 400; i++) {
        struct admission_entry *entry;
        bool is_heavy;

        for (int n = 0; n < 8; n++) {
            if (entries[n].tenant == NULL) {
                offer(n, n < 4 ? "heavy" : "light", CLASS_DOWNLOAD, FAR, NOW,
                      &retry_after);
            }
        }
        entry = admission_peek(adm);
        is_heavy = tenants[entry - entries] == 'h';
        admission_start(adm, entry);
        admission_completed(adm, CLASS_DOWNLOAD, is_heavy ? "heavy" : "light",
                            is_heavy ? 400000 : 100000, NOW);
        heavy += is_heavy ? 1 : 0;
        light += is_heavy ? 0 : 1;
    }
    /* Equal slot time would be a ratio of four. */
    assert_true(light > 2 * heavy);
    assert_true(light < 8 * heavy);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_order, setup, teardown),
        cmocka_unit_test_setup_teardown(test_queue_is_shared, setup, teardown),
        cmocka_unit_test_setup_teardown(test_queue_is_bounded, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_deadline, setup, teardown),
        cmocka_unit_test_setup_teardown(test_attempt_timeout, setup, teardown),
        cmocka_unit_test_setup_teardown(test_stall, setup, teardown),
        cmocka_unit_test_setup_teardown(test_expiry, setup, teardown),
        cmocka_unit_test_setup_teardown(test_long_requests_cost_turns, setup,
                                        teardown),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
