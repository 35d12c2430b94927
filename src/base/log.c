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

#define LOG_LINE_SIZE 2048
#define LOG_MESSAGE_SIZE 1024

static enum log_level min_level = LOG_LEVEL_INFO;
static enum log_format line_format = LOG_FORMAT_TEXT;
static bool never_wait;
static _Atomic uint64_t lines_lost;

static const char *const level_names[] = {
    [LOG_LEVEL_DEBUG] = "debug",
    [LOG_LEVEL_INFO] = "info",
    [LOG_LEVEL_WARN] = "warn",
    [LOG_LEVEL_ERROR] = "error",
};

/* A line under construction; what does not fit is cut. */
struct line {
    char data[LOG_LINE_SIZE];
    size_t len;
};

void
log_init(enum log_level level, enum log_format format)
{
    min_level = level;
    line_format = format;
}

/* Maps a level's name to its value. Returns false for an unknown name. */
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
line_put(struct line *line, const char *text)
{
    size_t len = strlen(text);
    /* One byte stays free for the newline. */
    size_t room = sizeof(line->data) - 1 - line->len;

    if (len > room) {
        len = room;
    }
    memcpy(line->data + line->len, text, len);
    line->len += len;
}

/* Writes text as a quoted string; control characters, quotes and backslashes
 * are escaped as in JSON. */
static void
line_put_quoted(struct line *line, const char *text)
{
    char escaped[8];

    line_put(line, "\"");
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
        line_put(line, escaped);
    }
    line_put(line, "\"");
}

static void
line_put_time(struct line *line)
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
    line_put(line, stamp);
}

static void
line_put_json(struct line *line, enum log_level level, const char *module,
              const struct log_field *fields, const char *message)
{
    line_put(line, "{\"time\":\"");
    line_put_time(line);
    line_put(line, "\",\"level\":\"");
    line_put(line, level_names[level]);
    line_put(line, "\",\"module\":\"");
    line_put(line, module);
    line_put(line, "\",\"message\":");
    line_put_quoted(line, message);
    for (const struct log_field *f = fields; f != NULL && f->key != NULL;
         f++) {
        line_put(line, ",\"");
        line_put(line, f->key);
        line_put(line, "\":");
        line_put_quoted(line, f->value);
    }
    line_put(line, "}");
}

static void
line_put_text(struct line *line, enum log_level level, const char *module,
              const struct log_field *fields, const char *message)
{
    line_put_time(line);
    line_put(line, " ");
    line_put(line, level_names[level]);
    line_put(line, " ");
    line_put(line, module);
    line_put(line, ": ");
    line_put(line, message);
    for (const struct log_field *f = fields; f != NULL && f->key != NULL;
         f++) {
        line_put(line, " ");
        line_put(line, f->key);
        line_put(line, "=");
        line_put_quoted(line, f->value);
    }
}

/* Waits for the reader unless it must not. */
static bool
line_write(const struct line *line)
{
    struct pollfd output = {.fd = STDERR_FILENO, .events = POLLOUT};

    /* The mode of the descriptor is shared with other processes, so it is
     * asked instead of being set not to block. A pipe that takes anything
     * takes a line: they are shorter than PIPE_BUF. */
    if (never_wait &&
        (poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0)) {
        return false;
    }
    return write(STDERR_FILENO, line->data, line->len) >= 0;
}

void
log_never_wait(void)
{
    never_wait = true;
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
        line_put_json(&line, level, module, fields, message);
    }
    else {
        line_put_text(&line, level, module, fields, message);
    }
    line.data[line.len] = '\n';
    line.len++;
    if (!line_write(&line)) {
        /* There is nowhere left to report to; metrics tell of it. */
        atomic_fetch_add(&lines_lost, 1);
    }
}
