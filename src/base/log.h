#pragma once

#include <stdbool.h>
#include <stdint.h>

enum log_level {
    LOG_LEVEL_DEBUG,
    LOG_LEVEL_INFO,
    LOG_LEVEL_WARN,
    LOG_LEVEL_ERROR,
};

enum log_format {
    LOG_FORMAT_TEXT,
    LOG_FORMAT_JSON,
};

/* A named value that is logged with a message: in text format it follows the
 * message as key="value", in JSON format it is a member of the object. */
struct log_field {
    const char *key;
    const char *value;
};

/* Sets the format, and the lowest level that is written. To be called once,
 * before other threads are started. Without a call, lines of level info and
 * above are written as text. */
void log_init(enum log_level level, enum log_format format);
/* From this call on, a line that would block the process is dropped and
 * counted. Without this call, a log reader that has stopped reading blocks
 * this process. To be called before other threads are started. */
void log_drop_when_blocked(void);
/* Returns how many lines could not be written since the process started. */
uint64_t log_lines_lost(void);
/* Maps the name of a level, such as "info", to its value. Returns false for an
 * unknown name. */
bool log_level_from_name(const char *name, enum log_level *level);

/* Formats a message and writes it with its fields as one line to stderr, by a
 * single write() so that lines of several threads do not mix. The line is
 * truncated when it is too long. "fields" ends with an element whose key is
 * NULL, or is NULL itself when there are no fields. */
void log_fields(enum log_level level, const char *module,
                const struct log_field *fields, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

/* LOG_MODULE is the module name shown in each line. A source file that logs
 * defines it before it uses these macros. */
#define LOG_ERR(...) log_fields(LOG_LEVEL_ERROR, LOG_MODULE, NULL, __VA_ARGS__)
#define LOG_WARN(...) log_fields(LOG_LEVEL_WARN, LOG_MODULE, NULL, __VA_ARGS__)
#define LOG_INFO(...) log_fields(LOG_LEVEL_INFO, LOG_MODULE, NULL, __VA_ARGS__)
#define LOG_DBG(...) log_fields(LOG_LEVEL_DEBUG, LOG_MODULE, NULL, __VA_ARGS__)

/* Builds the "fields" argument of log_fields() with its final element:
 * log_fields(LOG_LEVEL_INFO, LOG_MODULE, LOG_FIELDS({"service", id}), "...")
 */
#define LOG_FIELDS(...) ((const struct log_field[]){__VA_ARGS__, {NULL, NULL}})
