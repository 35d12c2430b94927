#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "kv-history.h"
#include "standin-common.h"

#define LISTED_SIZE 64

static void
test_endpoints(void **state)
{
    const struct {
        const char *text;
        bool ok;
        uint16_t port;
    } cases[] = {
        {"127.0.0.1:80", true, 80},
        {"127.0.0.1:65535", true, 65535},
        {"127.0.0.1:65536", false, 0},
        {"127.0.0.1:0", false, 0},
        {"127.0.0.1", false, 0},
        {"host:80", false, 0},
        {"1.2.3.4.5.6.7.8.9:80", false, 0},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        struct standin_endpoint ep;

        assert_int_equal(standin_endpoint_parse(cases[i].text, &ep),
                         cases[i].ok);
        if (cases[i].ok) {
            assert_int_equal(ep.port, cases[i].port);
        }
    }
}

static void
test_base64(void **state)
{
    const struct {
        const char *text;
        const char *encoded;
    } cases[] = {
        {"", ""}, {"a", "YQ=="}, {"ab/", "YWIv"}, {"\x7f\x01", "fwE="}};

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        size_t size;
        char *encoded =
            standin_base64_encode(cases[i].text, strlen(cases[i].text));
        char *decoded = standin_base64_decode(cases[i].encoded, &size);

        assert_string_equal(encoded, cases[i].encoded);
        assert_string_equal(decoded, cases[i].text);
        free(encoded);
        free(decoded);
    }
    assert_null(standin_base64_decode("?", &(size_t){0}));
}

/* Equal seeds give equal numbers, and standin_random_exp() has the requested
 * mean within 2 %. */
static void
test_random_seed_and_mean(void **state)
{
    struct standin_random a = {7};
    struct standin_random b = {7};
    struct standin_random c = {8};
    const int draws = 100000;
    double sum = 0;

    print_message("seed 7\n");
    assert_int_equal(standin_random_next(&a), standin_random_next(&b));
    assert_int_not_equal(standin_random_next(&a), standin_random_next(&c));
    for (int i = 0; i < draws; i++) {
        sum += standin_random_exp(&a, 10.0);
    }
    assert_true(sum / draws > 9.8 && sum / draws < 10.2);
}

/* Appends the key, followed by "+", or by "-" when the entry is deleted. */
static void
list_entry(void *ctx, const struct kv_entry *entry)
{
    char *text = ctx; /* of LISTED_SIZE bytes */
    size_t len = strlen(text);

    snprintf(text + len, LISTED_SIZE - len, "%s%s", entry->key,
             entry->value != NULL ? "+" : "-");
}

static void
test_ranges(void **state)
{
    const struct {
        const char *key;
        const char *end;    /* exclusive; NULL: only "key", "": no end */
        size_t limit;       /* 0: none */
        size_t count;       /* of matching entries, also beyond the limit */
        const char *listed; /* by list_entry() */
    } cases[] = {
        {"a", NULL, 0, 1, "a+"},      {"a", "b", 0, 2, "a+ab+"},
        {"a", "", 0, 4, "a+ab+b+c+"}, {"a", "", 2, 4, "a+ab+"},
        {"x", NULL, 0, 0, ""},        {"aa", "b", 0, 1, "ab+"},
    };
    struct kv_history *kv = kv_history_new();

    kv_history_put(kv, "c", "1");
    kv_history_put(kv, "a", "1");
    kv_history_put(kv, "b", "1");
    kv_history_put(kv, "ab", "1");
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        char listed[LISTED_SIZE] = "";

        assert_int_equal(kv_history_range(kv, cases[i].key, cases[i].end,
                                          cases[i].limit, list_entry, listed),
                         cases[i].count);
        assert_string_equal(listed, cases[i].listed);
    }
    kv_history_destroy(kv);
}

static void
test_changes_and_rollback(void **state)
{
    struct kv_history *kv = kv_history_new();
    char listed[LISTED_SIZE] = "";

    kv_history_put(kv, "a", "1"); /* revision 1 */
    kv_history_put(kv, "a", "2");
    kv_history_put(kv, "b", "1");
    kv_history_put(kv, "a", NULL); /* revision 4 */
    kv_history_put(kv, "a", "3");
    assert_int_equal(kv_history_get(kv, "a")->version, 1);
    assert_int_equal(kv_history_get(kv, "a")->create_revision, 5);
    kv_history_changes(kv, 2, "a", "", list_entry, listed);
    assert_string_equal(listed, "a+b+a-a+");

    assert_true(kv_history_rollback(kv, 2));
    assert_int_equal(kv_history_revision(kv), 2);
    assert_string_equal(kv_history_get(kv, "a")->value, "2");
    assert_int_equal(kv_history_get(kv, "a")->version, 2);
    assert_null(kv_history_get(kv, "b"));
    assert_false(kv_history_rollback(kv, 3));

    kv_history_compact(kv, 2);
    assert_int_equal(kv_history_compact_revision(kv), 2);
    assert_false(kv_history_rollback(kv, 1));
    kv_history_destroy(kv);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_endpoints),
        cmocka_unit_test(test_base64),
        cmocka_unit_test(test_random_seed_and_mean),
        cmocka_unit_test(test_ranges),
        cmocka_unit_test(test_changes_and_rollback),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
