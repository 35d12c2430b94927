#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <string.h>

#include "base/clock.h"
#include "coordination/admission.h"

#define SEED 19
#define START_US (1000 * USEC_PER_SEC)
#define FAR_DEADLINE_US (START_US + 3600 * USEC_PER_SEC)
#define QUEUE_MAX 32 /* maximum number of waiting requests of a class */
#define ENTRY_COUNT 64

static struct admission *adm;
static struct random random_source;
static struct admission_entry entries[ENTRY_COUNT];
/* First letter of the tenant of each entry, to check the order of starts */
static char tenants[ENTRY_COUNT];

static int
setup(void **state)
{
    struct admission_limits limits = {.queue = QUEUE_MAX};

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

/* Queues entries[index] for the tenant. */
static enum error_kind
enqueue(int index, const char *tenant, enum traffic_class class,
        uint64_t deadline, uint64_t now, uint32_t *retry_after)
{
    tenants[index] = tenant[0];
    return admission_enqueue(adm, &entries[index], tenant, class, deadline,
                             now, retry_after);
}

/* Checks the order in which queued requests start. Each character of
 * "arrivals" is a request of the tenant of that name: an upper-case letter is
 * a command, a lower-case letter an interactive request, a digit a download.
 */
static void
test_start_order(void **state)
{
    static const struct {
        const char *name;
        const char *arrivals;
        const char *start_order;
    } cases[] = {
        {"one tenant, in order of arrival", "aaa", "aaa"},
        {"tenants take turns", "aaaabc", "abcaaa"},
        {"commands first", "aB", "Ba"},
        {"downloads last", "1aB", "Ba1"},
        {"a download is not starved", "1aaaaaaaaaaaaaaaab",
         "abaaaaaaaaaaaaaa1a"},
        {"tenants take turns in each class", "aabAAB", "ABAaba"},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        char starts[ENTRY_COUNT] = {0};
        struct admission_entry *entry;
        size_t len = 0;
        uint32_t retry_after;

        print_message("case: %s\n", cases[i].name);
        for (size_t n = 0; cases[i].arrivals[n] != '\0'; n++) {
            char tenant[2] = {cases[i].arrivals[n], '\0'};
            enum traffic_class class = CLASS_INTERACTIVE;

            if (tenant[0] <= '9') {
                class = CLASS_DOWNLOAD;
            }
            else if (tenant[0] <= 'Z') {
                class = CLASS_COMMAND;
            }
            assert_int_equal(enqueue((int)n, tenant, class, FAR_DEADLINE_US,
                                     START_US, &retry_after),
                             ERR_NONE);
        }
        while ((entry = admission_peek(adm)) != NULL) {
            starts[len] = tenants[entry - entries];
            len++;
            admission_start(adm, entry);
        }
        assert_string_equal(starts, cases[i].start_order);
        teardown(state);
        setup(state);
    }
}

/* One tenant can use at most half of the queue. When its requests are refused,
 * those of another tenant, and its own of another class, are still queued. */
static void
test_tenant_cannot_fill_queue(void **state)
{
    uint32_t retry_after = 0;
    int queued = 0;

    while (queued < ENTRY_COUNT &&
           enqueue(queued, "greedy", CLASS_INTERACTIVE, FAR_DEADLINE_US,
                   START_US, &retry_after) == ERR_NONE) {
        queued++;
    }
    assert_in_range(queued, 1, QUEUE_MAX / 2);
    assert_true(retry_after > 0);
    assert_int_equal(enqueue(queued, "modest", CLASS_INTERACTIVE,
                             FAR_DEADLINE_US, START_US, &retry_after),
                     ERR_NONE);
    assert_int_equal(enqueue(queued + 1, "greedy", CLASS_COMMAND,
                             FAR_DEADLINE_US, START_US, &retry_after),
                     ERR_NONE);
}

/* With requests of many tenants, at least half of the queue is used and its
 * limit is not exceeded. */
static void
test_queue_is_bounded(void **state)
{
    uint32_t retry_after;

    for (int i = 0; i < ENTRY_COUNT; i++) {
        char tenant[2] = {(char)('A' + i), '\0'};

        enqueue(i, tenant, CLASS_INTERACTIVE, FAR_DEADLINE_US, START_US,
                &retry_after);
    }
    assert_in_range(admission_waiting_count(adm, CLASS_INTERACTIVE),
                    QUEUE_MAX / 2, QUEUE_MAX);
}

/* Completes 400 interactive requests, one every "gap_us" and each after
 * "duration_us", so that the admission knows the rate and the duration. The
 * queue is never empty meanwhile, and "waiting" requests remain in it. Returns
 * the time of the last completion. */
static uint64_t
run_until_rate_known(uint64_t gap_us, uint64_t duration_us, int waiting)
{
    uint64_t now = START_US;
    uint32_t retry_after;
    int last = 0;

    for (int i = 0; i < 400; i++) {
        char tenant[2] = {(char)('a' + i % 16), '\0'};
        struct admission_entry *entry;

        while (admission_waiting_count(adm, CLASS_INTERACTIVE) <
               (uint32_t)waiting + 1) {
            while (entries[last % ENTRY_COUNT].tenant != NULL) {
                last++;
            }
            if (enqueue(last % ENTRY_COUNT, tenant, CLASS_INTERACTIVE,
                        FAR_DEADLINE_US, now, &retry_after) != ERR_NONE) {
                fail_msg(
                    "request refused before the completion rate is known");
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
find_free_entry(void)
{
    int i = 0;

    while (entries[i].tenant != NULL) {
        i++;
    }
    return i;
}

/* Empties the queue and then queues ten requests of ten tenants at once. */
static void
replace_with_burst(uint64_t now)
{
    struct admission_entry *entry;
    uint32_t retry_after;

    while ((entry = admission_peek(adm)) != NULL) {
        admission_remove(adm, entry);
    }
    for (int i = 0; i < 10; i++) {
        char tenant[2] = {(char)('a' + i), '\0'};

        assert_int_equal(enqueue(find_free_entry(), tenant, CLASS_INTERACTIVE,
                                 FAR_DEADLINE_US, now, &retry_after),
                         ERR_NONE);
    }
}

/* With ten requests waiting and a completion every 20 ms, a new request waits
 * about 200 ms and then runs for 50 ms. A request that can be answered before
 * its deadline is queued; one that can't is refused at once, with a retry
 * delay in proportion to the wait. If the queue of ten is not a burst but has
 * not been empty for seconds, requests with a later deadline are refused too:
 * the wait in a standing queue is limited to a few mean durations. */
static void
test_late_request_is_refused(void **state)
{
    static const struct {
        uint64_t left_ms;
        enum error_kind burst;    /* expected after a burst */
        enum error_kind standing; /* expected with a standing queue */
    } cases[] = {
        {0, ERR_DEADLINE, ERR_DEADLINE},   {60, ERR_DEADLINE, ERR_DEADLINE},
        {150, ERR_DEADLINE, ERR_DEADLINE}, {240, ERR_DEADLINE, ERR_DEADLINE},
        {500, ERR_NONE, ERR_DEADLINE},     {2000, ERR_NONE, ERR_DEADLINE},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases) * 2; i++) {
        bool burst = i % 2 == 0;
        enum error_kind want =
            burst ? cases[i / 2].burst : cases[i / 2].standing;
        uint64_t now =
            run_until_rate_known(20 * USEC_PER_MSEC, 50 * USEC_PER_MSEC, 10);
        uint32_t retry_after = 0;

        if (burst) {
            replace_with_burst(now);
        }
        assert_int_equal(enqueue(find_free_entry(), "z", CLASS_INTERACTIVE,
                                 now + cases[i / 2].left_ms * USEC_PER_MSEC,
                                 now, &retry_after),
                         want);
        if (want != ERR_NONE) {
            assert_in_range(retry_after, 50, 1000);
        }
        teardown(state);
        setup(state);
    }
}

/* The timeout of an attempt is half of the time left until the deadline, but
 * not less than a long request of the class takes (here all take 50 ms), and
 * never more than the time left. */
static void
test_attempt_timeout(void **state)
{
    static const struct {
        uint64_t left_ms;
        uint64_t timeout_min_ms;
        uint64_t timeout_max_ms;
    } cases[] = {{0, 0, 0}, {40, 40, 40}, {80, 50, 80}, {1000, 500, 500}};
    uint64_t now =
        run_until_rate_known(20 * USEC_PER_MSEC, 50 * USEC_PER_MSEC, 4);

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        uint64_t timeout = admission_attempt_timeout_us(
            adm, CLASS_INTERACTIVE, now + cases[i].left_ms * USEC_PER_MSEC,
            now);

        assert_in_range(timeout, cases[i].timeout_min_ms * USEC_PER_MSEC,
                        cases[i].timeout_max_ms * USEC_PER_MSEC);
    }
}

/* When no request has completed for 2 s, the estimated wait is longer: a new
 * request is refused for its deadline although the queue has space. */
static void
test_stalled_queue(void **state)
{
    uint64_t now =
        run_until_rate_known(10 * USEC_PER_MSEC, 10 * USEC_PER_MSEC, 4);
    uint32_t retry_after;

    now += 2 * USEC_PER_SEC;
    assert_int_equal(enqueue(find_free_entry(), "z", CLASS_INTERACTIVE,
                             now + USEC_PER_SEC, now, &retry_after),
                     ERR_DEADLINE);
}

/* A waiting request that can no longer be answered in time is returned as
 * expired, wherever in the queue it is. */
static void
test_expired_requests(void **state)
{
    uint32_t retry_after;

    enqueue(0, "a", CLASS_INTERACTIVE, START_US + 500, START_US, &retry_after);
    enqueue(1, "a", CLASS_INTERACTIVE, START_US + 100, START_US, &retry_after);
    enqueue(2, "b", CLASS_DOWNLOAD, START_US + 300, START_US, &retry_after);
    assert_null(admission_take_expired(adm, START_US + 100));
    assert_true(admission_next_expiry_us(adm) <= START_US + 100);
    assert_ptr_equal(admission_take_expired(adm, START_US + 101), &entries[1]);
    assert_null(admission_take_expired(adm, START_US + 101));
    assert_true(admission_next_expiry_us(adm) <= START_US + 300);
    assert_ptr_equal(admission_take_expired(adm, START_US + 600), &entries[0]);
    assert_ptr_equal(admission_take_expired(adm, START_US + 600), &entries[2]);
    assert_null(admission_take_expired(adm, START_US + 600));
    assert_null(admission_peek(adm));
}

/* A tenant whose requests use slots for 400 ms gets fewer turns than another
 * waiting tenant, whose requests use them for 100 ms. */
static void
test_long_requests_get_fewer_turns(void **state)
{
    uint32_t retry_after;
    int heavy = 0;
    int light = 0;

    for (int i = 0; i < 400; i++) {
        struct admission_entry *entry;
        bool is_heavy;

        for (int n = 0; n < 8; n++) {
            if (entries[n].tenant == NULL) {
                enqueue(n, n < 4 ? "heavy" : "light", CLASS_DOWNLOAD,
                        FAR_DEADLINE_US, START_US, &retry_after);
            }
        }
        entry = admission_peek(adm);
        is_heavy = tenants[entry - entries] == 'h';
        admission_start(adm, entry);
        admission_completed(adm, CLASS_DOWNLOAD, is_heavy ? "heavy" : "light",
                            is_heavy ? 400000 : 100000, START_US);
        heavy += is_heavy ? 1 : 0;
        light += is_heavy ? 0 : 1;
    }
    /* If both got the same slot time, the ratio would be four. */
    assert_true(light > 2 * heavy);
    assert_true(light < 8 * heavy);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_start_order, setup, teardown),
        cmocka_unit_test_setup_teardown(test_tenant_cannot_fill_queue, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_queue_is_bounded, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_late_request_is_refused, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_attempt_timeout, setup, teardown),
        cmocka_unit_test_setup_teardown(test_stalled_queue, setup, teardown),
        cmocka_unit_test_setup_teardown(test_expired_requests, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_long_requests_get_fewer_turns,
                                        setup, teardown),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
