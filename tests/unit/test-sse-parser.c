#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "protocol/sse-parser.h"

#define EVENTS_SIZE 256

static const struct {
    const char *name;
    const char *input;
    /* "id=data;" for each event; id is "-" if the event has none. */
    const char *events;
    bool ok; /* the parser accepts the input */
} cases[] = {
    {"one event", "id: 7\ndata: a\n\n", "7=a;", true},
    {"two events", "id: 7\ndata: a\n\nid: 8\ndata: b\n\n", "7=a;8=b;", true},
    {"carriage returns", "id: 7\r\ndata: a\r\n\r\n", "7=a;", true},
    {"no space after the colon", "id:7\ndata:a\n\n", "7=a;", true},
    {"data of two lines", "data: a\ndata: b\n\n", "-=a\nb;", true},
    {"comment and unknown field", ": hi\nretry: 5\nid: 1\ndata: x\n\n", "1=x;",
     true},
    {"an event without data is dropped with its id", "id: 7\n\ndata: b\n\n",
     "-=b;", true},
    {"no empty line at the end of the event", "id: 7\ndata: a\n", "", true},
    {"id is not a number", "id: x\ndata: a\n\n", "", false},
};

static void
on_event(void *ctx, const struct sse_event *event)
{
    char *events = ctx;
    size_t len = strlen(events);
    char id[24] = "-";

    if (event->has_id) {
        snprintf(id, sizeof(id), "%llu", (unsigned long long)event->id);
    }
    snprintf(events + len, EVENTS_SIZE - len, "%s=%.*s;", id,
             (int)event->data_len, event->data);
}

/* Feeds the input of each case byte by byte, and then again as a whole. */
static void
test_events(void **state)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        size_t len = strlen(cases[i].input);

        for (size_t piece_size = 1; piece_size <= len; piece_size += len - 1) {
            struct sse_parser parser;
            char events[EVENTS_SIZE] = "";
            bool ok = true;

            sse_parser_init(&parser);
            for (size_t pos = 0; pos < len && ok; pos += piece_size) {
                ok = sse_parser_feed(
                    &parser, (const uint8_t *)cases[i].input + pos,
                    piece_size < len - pos ? piece_size : len - pos, on_event,
                    events);
            }
            assert_int_equal(ok, cases[i].ok);
            assert_string_equal(events, cases[i].events);
        }
    }
}

/* A line longer than SSE_LINE_MAX bytes is refused. */
static void
test_line_too_long(void **state)
{
    static char line[SSE_LINE_MAX + 2];
    struct sse_parser parser;
    char events[EVENTS_SIZE] = "";

    memset(line, 'a', sizeof(line));
    sse_parser_init(&parser);
    assert_false(sse_parser_feed(&parser, (const uint8_t *)line, sizeof(line),
                                 on_event, events));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_events),
        cmocka_unit_test(test_line_too_long),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
