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

/* A field of a log line. Fields are written after the message as key=value,
 * or as members of the JSON object. */
struct log_field {
    const char *key;
    const char *value;
};

/* Sets the least level written and the format. Called once, before the tasks
 * start. */
void log_init(enum log_level level, enum log_format format);
/* From now on a line that cannot be written at once is lost and counted: a
 * reader that has stopped must not stop the process. */
void log_never_wait(void);
uint64_t log_lines_lost(void);
bool log_level_from_name(const char *name, enum log_level *level);

/* Writes one line to stderr with a single write, so that lines of several
 * threads do not mix. "fields" ends with a member whose key is NULL. */
void log_fields(enum log_level level, const char *module,
                const struct log_field *fields, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

/* Each source file that logs defines LOG_MODULE before including this. */
#define LOG_ERR(...) log_fields(LOG_LEVEL_ERROR, LOG_MODULE, NULL, __VA_ARGS__)
#define LOG_WARN(...) log_fields(LOG_LEVEL_WARN, LOG_MODULE, NULL, __VA_ARGS__)
#define LOG_INFO(...) log_fields(LOG_LEVEL_INFO, LOG_MODULE, NULL, __VA_ARGS__)
#define LOG_DBG(...) log_fields(LOG_LEVEL_DEBUG, LOG_MODULE, NULL, __VA_ARGS__)

/* The field list of log_fields(), ended for the caller:
 * log_fields(LOG_LEVEL_INFO, LOG_MODULE, LOG_FIELDS({"service", id}), "...")
 */
#define LOG_FIELDS(...) ((const struct log_field[]){__VA_ARGS__, {NULL, NULL}})
