#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Incremental parser for Server-Sent Events (WHATWG HTML, section 9.2.6). It
 * ignores comments and all fields but "id" and "data". */

#define SSE_DATA_MAX 1024 /* bytes of an event's data; more is an error */
/* Bytes of a line, field name and final NUL included. */
#define SSE_LINE_MAX (SSE_DATA_MAX + 16)

struct sse_event {
    uint64_t id; /* value of the "id" field, a decimal number */
    bool has_id; /* false when the event has no "id" field */
    /* The "data" lines joined by newlines, without a final NUL. Owned by the
     * parser and valid during the callback. */
    const char *data;
    size_t data_len;
};

typedef void (*sse_event_cb)(void *ctx, const struct sse_event *event);

struct sse_parser {
    char line[SSE_LINE_MAX]; /* the line being received */
    size_t line_len;
    /* The event being received. */
    char data[SSE_DATA_MAX];
    size_t data_len;
    uint64_t id;
    bool has_id;
    bool has_data;
};

void sse_parser_init(struct sse_parser *parser);

/* Parses the next "size" bytes of the stream, which may end anywhere, and
 * calls "cb" with "ctx" for each event that they complete. Returns false when
 * a line or an event exceeds its limit or an id is not a number; the parser
 * must not be used afterwards. */
bool sse_parser_feed(struct sse_parser *parser, const uint8_t *data,
                     size_t size, sse_event_cb cb, void *ctx);
