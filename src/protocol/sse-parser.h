#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Parser for Server-Sent Events (WHATWG HTML, section 9.2.6) that arrive in
 * pieces of any size. Only the fields "id" and "data" are used. */

#define SSE_DATA_MAX 1024 /* bytes of one event; a larger one is an error */
#define SSE_LINE_MAX (SSE_DATA_MAX + 16)

struct sse_event {
    uint64_t id; /* decimal event id */
    bool has_id;
    const char *data;
    size_t data_len;
};

typedef void (*sse_event_cb)(void *ctx, const struct sse_event *event);

struct sse_parser {
    char line[SSE_LINE_MAX];
    size_t line_len;
    char data[SSE_DATA_MAX];
    size_t data_len;
    uint64_t id;
    bool has_id;
    bool has_data;
};

void sse_parser_init(struct sse_parser *parser);

/* Consumes a piece and calls back for each whole event. Returns false when a
 * line or an event is over its limit or an id is not a number; the parser
 * must not be used after that. */
bool sse_parser_feed(struct sse_parser *parser, const uint8_t *data,
                     size_t size, sse_event_cb cb, void *ctx);
