#include "base/log.h"

#include <poll.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/clock.h"

#define LOG_LINE_SIZE 2048    /* bytes of a line with its newline */
#define LOG_MESSAGE_SIZE 1024 /* bytes of a message with its NUL */

static enum log_level min_level = LOG_LEVEL_INFO;
static enum log_format line_format = LOG_FORMAT_TEXT;
static bool drop_when_blocked;
static _Atomic uint64_t lines_lost;

static const char *const level_names[] = {
    [LOG_LEVEL_DEBUG] = "debug",
    [LOG_LEVEL_INFO] = "info",
    [LOG_LEVEL_WARN] = "warn",
    [LOG_LEVEL_ERROR] = "error",
};

/* A line that is being composed. Text that does not fit is cut off. */
struct line {
    char data[LOG_LINE_SIZE]; /* without a final NUL */
    size_t len;
};

void
log_init(enum log_level level, enum log_format format)
{
    min_level = level;
    line_format = format;
}

bool
log_level_from_name(const char *name, enum log_level *level)
{
    for (size_t i = 0; i < sizeof(level_names) / sizeof(*level_names); i++) {
        if (strcmp(name, level_names[i]) == 0) {
            *level = (enum log_level)i;
            return true;
        }
    }
    return false;
}

static void
line_append(struct line *line, const char *text)
{
    size_t len = strlen(text);
    /* The last byte is reserved for the newline. */
    size_t room = sizeof(line->data) - 1 - line->len;

    if (len > room) {
        len = room;
    }
    memcpy(line->data + line->len, text, len);
    line->len += len;
}

/* Appends a text in double quotes. Control characters, quotes and backslashes
 * are escaped as in JSON. */
static void
line_append_quoted(struct line *line, const char *text)
{
    char escaped[8];

    line_append(line, "\"");
    for (const char *p = text; *p != '\0'; p++) {
        unsigned char c = (unsigned char)*p;

        if (c < 0x20) {
            snprintf(escaped, sizeof(escaped), "\\u%04x", c);
        }
        else if (c == '"' || c == '\\') {
            snprintf(escaped, sizeof(escaped), "\\%c", c);
        }
        else {
            snprintf(escaped, sizeof(escaped), "%c", c);
        }
        line_append(line, escaped);
    }
    line_append(line, "\"");
}

/* Appends the current time in UTC with milliseconds, as in
 * "2024-01-31T12:00:00.000Z". */
static void
line_append_time(struct line *line)
{
    uint64_t now = clock_wall_us();
    time_t sec = (time_t)(now / USEC_PER_SEC);
    struct tm tm;
    char text[64];
    char stamp[96];

    gmtime_r(&sec, &tm);
    strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &tm);
    snprintf(stamp, sizeof(stamp), "%s.%03uZ", text,
             (unsigned)(now % USEC_PER_SEC / USEC_PER_MSEC));
    line_append(line, stamp);
}

static void
line_append_json(struct line *line, enum log_level level, const char *module,
                 const struct log_field *fields, const char *message)
{
    line_append(line, "{\"time\":\"");
    line_append_time(line);
    line_append(line, "\",\"level\":\"");
    line_append(line, level_names[level]);
    line_append(line, "\",\"module\":\"");
    line_append(line, module);
    line_append(line, "\",\"message\":");
    line_append_quoted(line, message);
    for (const struct log_field *f = fields; f != NULL && f->key != NULL;
         f++) {
        line_append(line, ",\"");
        line_append(line, f->key);
        line_append(line, "\":");
        line_append_quoted(line, f->value);
    }
    line_append(line, "}");
}

static void
line_append_text(struct line *line, enum log_level level, const char *module,
                 const struct log_field *fields, const char *message)
{
    line_append_time(line);
    line_append(line, " ");
    line_append(line, level_names[level]);
    line_append(line, " ");
    line_append(line, module);
    line_append(line, ": ");
    line_append(line, message);
    for (const struct log_field *f = fields; f != NULL && f->key != NULL;
         f++) {
        line_append(line, " ");
        line_append(line, f->key);
        line_append(line, "=");
        line_append_quoted(line, f->value);
    }
}

/* Writes a line to stderr and may block until there is room for it, unless
 * lines are to be dropped instead. Returns false when the line was not
 * written. */
static bool
line_write(const struct line *line)
{
    struct pollfd output = {.fd = STDERR_FILENO, .events = POLLOUT};

    /* O_NONBLOCK would also apply to other processes that share the open file
     * description, so poll() checks for room instead. A pipe that is writable
     * has room for a whole line, because lines are shorter than PIPE_BUF. */
    if (drop_when_blocked &&
        (poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0)) {
        return false;
    }
    return write(STDERR_FILENO, line->data, line->len) >= 0;
}

void
log_drop_when_blocked(void)
{
    drop_when_blocked = true;
}

uint64_t
log_lines_lost(void)
{
    return atomic_load(&lines_lost);
}

void
log_fields(enum log_level level, const char *module,
           const struct log_field *fields, const char *fmt, ...)
{
    struct line line = {.len = 0};
    char message[LOG_MESSAGE_SIZE];
    va_list args;

    if (level < min_level) {
        return;
    }
    va_start(args, fmt);
    vsnprintf(message, sizeof(message), fmt, args);
    va_end(args);

    if (line_format == LOG_FORMAT_JSON) {
        line_append_json(&line, level, module, fields, message);
    }
    else {
        line_append_text(&line, level, module, fields, message);
    }
    line.data[line.len] = '\n';
    line.len++;
    if (!line_write(&line)) {
        /* The failure itself cannot be logged; a metric reports the count. */
        atomic_fetch_add(&lines_lost, 1);
    }
}
