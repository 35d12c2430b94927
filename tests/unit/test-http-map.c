#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "protocol/http-map.h"
#include "protocol/packet.h"

static void
test_response_status(void **state)
{
    static const struct {
        int status;
        uint8_t method;
        uint8_t code;
    } cases[] = {
        {200, CODE_GET, CODE_CONTENT},
        {206, CODE_GET, CODE_CONTENT},
        {200, CODE_POST, CODE_CHANGED},
        {204, CODE_PUT, CODE_CHANGED},
        {204, CODE_DELETE, CODE_DELETED},
        {201, CODE_POST, CODE_CREATED},
        {404, CODE_GET, CODE_NOT_FOUND},
        /* A target's 401 must not be taken for the balancer's challenge. */
        {401, CODE_POST, CODE_FORBIDDEN},
        {418, CODE_GET, CODE_BAD_REQUEST},
        {503, CODE_GET, CODE_UNAVAILABLE},
        {599, CODE_GET, CODE_BAD_GATEWAY},
        {302, CODE_GET, CODE_BAD_GATEWAY},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        assert_int_equal(http_map_status(cases[i].status, cases[i].method),
                         cases[i].code);
    }
}

static void
test_content_range(void **state)
{
    static const struct {
        const char *value;
        bool ok;
        struct content_range range;
    } cases[] = {
        {"bytes 0-99/1234", true, {0, 99, 1234}},
        {"bytes 0-0/1", true, {0, 0, 1}},
        {"bytes 5-4/10", false, {0}},
        {"bytes 0-10/10", false, {0}},
        {"bytes 0-99/*", false, {0}},
        {"bytes 0-99/1234x", false, {0}},
        {"0-99/1234", false, {0}},
        {"", false, {0}},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        struct content_range range;

        assert_int_equal(http_map_parse_content_range(cases[i].value, &range),
                         cases[i].ok);
        if (cases[i].ok) {
            assert_memory_equal(&range, &cases[i].range, sizeof(range));
        }
    }
}

static void
test_load_report(void **state)
{
    struct load_report load;

    assert_true(http_map_parse_load("1/2/3", &load));
    assert_int_equal(load.running, 1);
    assert_int_equal(load.slots, 2);
    assert_int_equal(load.queued, 3);
    assert_false(http_map_parse_load("1/2", &load));
    assert_false(http_map_parse_load("a/b/c", &load));
    assert_false(http_map_parse_load("1/2/3/4", &load));
}

static void
test_content_format(void **state)
{
    assert_int_equal(http_map_content_format("text/plain; charset=utf-8"), 0);
    assert_int_equal(http_map_content_format("application/json"), 50);
    assert_int_equal(http_map_content_format("application/jso"), -1);
    assert_int_equal(http_map_content_format("image/png"), -1);
}

static void
test_etag(void **state)
{
    uint8_t first[8];
    uint8_t second[8];

    http_map_etag("\"v1\"", NULL, 0, first);
    http_map_etag("\"v2\"", NULL, 0, second);
    assert_memory_not_equal(first, second, sizeof(first));
    http_map_etag(NULL, (const uint8_t *)"x", 1, first);
    http_map_etag(NULL, (const uint8_t *)"x", 1, second);
    assert_memory_equal(first, second, sizeof(first));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_response_status),
        cmocka_unit_test(test_content_range),
        cmocka_unit_test(test_load_report),
        cmocka_unit_test(test_content_format),
        cmocka_unit_test(test_etag),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
