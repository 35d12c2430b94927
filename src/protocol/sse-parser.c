#include "protocol/sse-parser.h"

#include <stdlib.h>
#include <string.h>

void
sse_parser_init(struct sse_parser *parser)
{
    memset(parser, 0, sizeof(*parser));
}

/* Reports the event that an empty line has completed and begins the next one.
 * An event without data is dropped, as the standard requires. */
static void
dispatch_event(struct sse_parser *parser, sse_event_cb cb, void *ctx)
{
    if (parser->has_data) {
        struct sse_event event = {
            .id = parser->id,
            .has_id = parser->has_id,
            .data = parser->data,
            .data_len = parser->data_len,
        };

        cb(ctx, &event);
    }
    parser->data_len = 0;
    parser->has_data = false;
    parser->has_id = false;
}

/* Appends a "data" line to the event, after a newline unless it is the first
 * one. Returns false when the event's data becomes too long. */
static bool
append_data(struct sse_parser *parser, const char *value, size_t len)
{
    size_t needed = len + (parser->has_data ? 1 : 0);

    if (needed > sizeof(parser->data) - parser->data_len) {
        return false;
    }
    if (parser->has_data) {
        parser->data[parser->data_len] = '\n';
        parser->data_len++;
    }
    memcpy(parser->data + parser->data_len, value, len);
    parser->data_len += len;
    parser->has_data = true;
    return true;
}

static bool
set_id(struct sse_parser *parser, const char *value)
{
    char *end;

    parser->id = strtoull(value, &end, 10);
    parser->has_id = true;
    return end != value && *end == '\0';
}

/* Processes the complete line in parser->line, which ends with a NUL. Returns
 * false on an error. */
static bool
parse_line(struct sse_parser *parser, sse_event_cb cb, void *ctx)
{
    char *line = parser->line;
    char *value = strchr(line, ':');

    if (parser->line_len == 0) {
        dispatch_event(parser, cb, ctx);
        return true;
    }
    if (value == line || value == NULL) {
        /* A comment (":...") or a field name without a colon. */
        return true;
    }
    *value = '\0';
    value++;
    if (*value == ' ') {
        value++;
    }
    if (strcmp(line, "data") == 0) {
        return append_data(parser, value,
                           parser->line_len - (size_t)(value - line));
    }
    if (strcmp(line, "id") == 0) {
        return set_id(parser, value);
    }
    return true;
}

bool
sse_parser_feed(struct sse_parser *parser, const uint8_t *data, size_t size,
                sse_event_cb cb, void *ctx)
{
    for (size_t i = 0; i < size; i++) {
        char c = (char)data[i];

        if (c == '\r') {
            continue;
        }
        if (c == '\n') {
            parser->line[parser->line_len] = '\0';
            if (!parse_line(parser, cb, ctx)) {
                return false;
            }
            parser->line_len = 0;
            continue;
        }
        if (parser->line_len == sizeof(parser->line) - 1) {
            return false;
        }
        parser->line[parser->line_len] = c;
        parser->line_len++;
    }
    return true;
}
