#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "protocol/sse-parser.h"

#define SEEN_SIZE 256

static const struct {
    const char *name;
    const char *input;
    const char *seen; /* "id=data;" for each event, "-" without an id */
    bool ok;
} cases[] = {
    {"one", "id: 7\ndata: a\n\n", "7=a;", true},
    {"two", "id: 7\ndata: a\n\nid: 8\ndata: b\n\n", "7=a;8=b;", true},
    {"carriage returns", "id: 7\r\ndata: a\r\n\r\n", "7=a;", true},
    {"no space", "id:7\ndata:a\n\n", "7=a;", true},
    {"data of two lines", "data: a\ndata: b\n\n", "-=a\nb;", true},
    {"comment and unknown field", ": hi\nretry: 5\nid: 1\ndata: x\n\n", "1=x;",
     true},
    {"no data", "id: 7\n\ndata: b\n\n", "-=b;", true},
    {"unfinished", "id: 7\ndata: a\n", "", true},
    {"id is not a number", "id: x\ndata: a\n\n", "", false},
};

static void
on_event(void *ctx, const struct sse_event *event)
{
    char *seen = ctx;
    size_t len = strlen(seen);
    char id[24] = "-";

    if (event->has_id) {
        snprintf(id, sizeof(id), "%llu", (unsigned long long)event->id);
    }
    snprintf(seen + len, SEEN_SIZE - len, "%s=%.*s;", id, (int)event->data_len,
             event->data);
}

/* Every case is fed whole, and again byte by byte. */
static void
test_cases(void **state)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        size_t len = strlen(cases[i].input);

        for (size_t step = 1; step <= len; step += len - 1) {
            struct sse_parser parser;
            char seen[SEEN_SIZE] = "";
            bool ok = true;

            sse_parser_init(&parser);
            for (size_t at = 0; at < len && ok; at += step) {
                ok = sse_parser_feed(
                    &parser, (const uint8_t *)cases[i].input + at,
                    step < len - at ? step : len - at, on_event, seen);
            }
            assert_int_equal(ok, cases[i].ok);
            assert_string_equal(seen, cases[i].seen);
        }
    }
}

static void
test_limits(void **state)
{
    static char big[SSE_LINE_MAX + 2];
    struct sse_parser parser;
    char seen[SEEN_SIZE] = "";

    memset(big, 'a', sizeof(big));
    sse_parser_init(&parser);
    assert_false(sse_parser_feed(&parser, (const uint8_t *)big, sizeof(big),
                                 on_event, seen));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_cases),
        cmocka_unit_test(test_limits),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
