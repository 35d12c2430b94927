#include "base/settings.h"

#include <errno.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cyaml/cyaml.h>

#include "base/address.h"
#include "base/identifier.h"
#include "base/yaml-lines.h"

#define DEFAULT_PORT_RELAY 7401
#define DEFAULT_PORT_GOSSIP 7402
#define DEFAULT_PORT_API 7403
#define DEFAULT_LOG_LEVEL "info"
#define DEFAULT_LOG_FORMAT "text"
#define DEFAULT_FLOWS 300000
#define DEFAULT_QUEUE 256
#define DEFAULT_ANSWER_BYTES (8U << 20)
#define DEFAULT_DRAIN_TIMEOUT_MS (300U * 1000)

/* Largest values accepted in a file. */
#define FLOWS_MAX 4000000U
#define QUEUE_MAX 65536U
#define ANSWER_BYTES_MAX (256U << 20)
#define DRAIN_TIMEOUT_MS_MAX (24U * 3600 * 1000)
#define ENDPOINTS_MAX 16
#define SEEDS_MAX 64

/* Bytes of a key path such as "seeds[1].port" with its NUL. */
#define KEY_PATH_SIZE 64

/* The schema gives libcyaml the keys and the types of their values. All other
 * checks follow after loading, so that their messages can say what is
 * expected. */

/* The type of the unnamed structure that is a field of struct settings. */
#define SECTION(name) __typeof__(((struct settings *)0)->name)

#define REQUIRED CYAML_FLAG_DEFAULT
#define OPTIONAL CYAML_FLAG_OPTIONAL

/* The name of a field is also the text of its key in the file. */
#define STRING_FIELD(key, flags, section)                                     \
    CYAML_FIELD_STRING_PTR(#key, flags, section, key, 0, CYAML_UNLIMITED)
#define UINT_FIELD(key, section) CYAML_FIELD_UINT(#key, OPTIONAL, section, key)

static const cyaml_schema_field_t host_fields[] = {
    STRING_FIELD(id, REQUIRED, SECTION(host)),
    STRING_FIELD(domain, REQUIRED, SECTION(host)),
    STRING_FIELD(address, REQUIRED, SECTION(host)),
    CYAML_FIELD_END,
};

static const cyaml_schema_field_t ports_fields[] = {
    UINT_FIELD(relay, SECTION(ports)),
    UINT_FIELD(gossip, SECTION(ports)),
    UINT_FIELD(api, SECTION(ports)),
    CYAML_FIELD_END,
};

static const cyaml_schema_field_t endpoint_fields[] = {
    STRING_FIELD(address, REQUIRED, struct settings_endpoint),
    CYAML_FIELD_UINT("port", REQUIRED, struct settings_endpoint, port),
    CYAML_FIELD_END,
};

static const cyaml_schema_value_t endpoint_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct settings_endpoint,
                        endpoint_fields),
};

static const cyaml_schema_field_t platform_fields[] = {
    CYAML_FIELD_SEQUENCE("endpoints", CYAML_FLAG_POINTER, SECTION(platform),
                         endpoints, &endpoint_schema, 0, CYAML_UNLIMITED),
    CYAML_FIELD_END,
};

static const cyaml_schema_field_t log_fields_schema[] = {
    STRING_FIELD(level, OPTIONAL, SECTION(log)),
    STRING_FIELD(format, OPTIONAL, SECTION(log)),
    CYAML_FIELD_END,
};

static const cyaml_schema_field_t limits_fields[] = {
    UINT_FIELD(flows, SECTION(limits)),
    UINT_FIELD(queue, SECTION(limits)),
    UINT_FIELD(answer_bytes, SECTION(limits)),
    UINT_FIELD(drain_timeout_ms, SECTION(limits)),
    CYAML_FIELD_END,
};

static const cyaml_schema_field_t settings_fields[] = {
    CYAML_FIELD_MAPPING("host", REQUIRED, struct settings, host, host_fields),
    CYAML_FIELD_MAPPING("ports", OPTIONAL, struct settings, ports,
                        ports_fields),
    CYAML_FIELD_MAPPING("platform", REQUIRED, struct settings, platform,
                        platform_fields),
    CYAML_FIELD_SEQUENCE("seeds", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                         struct settings, seeds, &endpoint_schema, 0,
                         CYAML_UNLIMITED),
    CYAML_FIELD_MAPPING("log", OPTIONAL, struct settings, log,
                        log_fields_schema),
    CYAML_FIELD_MAPPING("limits", OPTIONAL, struct settings, limits,
                        limits_fields),
    CYAML_FIELD_END,
};

static const cyaml_schema_value_t settings_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, struct settings, settings_fields),
};

/* What libcyaml has logged about a file that it failed to load: first the
 * reason, then a backtrace of entries such as
 * "in mapping field 'x' (line: 3, column: 5)", the innermost one first. */
struct load_log {
    char reason[128];         /* "" until the reason is logged */
    char path[KEY_PATH_SIZE]; /* key path composed from the backtrace */
    unsigned line;            /* of the innermost entry, from 1; 0: unknown */
};

/* Prepends the key or index of the next outer backtrace entry to the key path.
 */
static void
prepend_to_path(struct load_log *log, const char *part)
{
    char inner[KEY_PATH_SIZE];
    const char *dot = log->path[0] == '\0' || log->path[0] == '[' ? "" : ".";
    int len;

    memcpy(inner, log->path, sizeof(inner));
    len = snprintf(log->path, sizeof(log->path), "%s%s", part, dot);
    if (len >= 0 && (size_t)len < sizeof(log->path)) {
        snprintf(log->path + len, sizeof(log->path) - (size_t)len, "%s",
                 inner);
    }
}

/* Returns the line number given in a backtrace entry, or 0 without one. */
static unsigned
backtrace_line(const char *text)
{
    const char *at = strstr(text, "(line: ");

    if (at == NULL) {
        return 0;
    }
    return (unsigned)strtoul(at + strlen("(line: "), NULL, 10);
}

static void
add_backtrace_entry(struct load_log *log, const char *text)
{
    const char *field = strstr(text, "in mapping field '");
    const char *entry = strstr(text, "in sequence entry '");
    char part[KEY_PATH_SIZE];

    if (log->line == 0) {
        log->line = backtrace_line(text);
    }
    if (field != NULL) {
        field += strlen("in mapping field '");
        snprintf(part, sizeof(part), "%.*s", (int)strcspn(field, "'"), field);
        prepend_to_path(log, part);
    }
    else if (entry != NULL) {
        entry += strlen("in sequence entry '");
        /* libcyaml counts entries from 1. */
        snprintf(part, sizeof(part), "[%lu]", strtoul(entry, NULL, 10) - 1);
        prepend_to_path(log, part);
    }
}

/* Log callback of libcyaml, called for each line of its log. */
static void
on_cyaml_log(cyaml_log_t level, void *ctx, const char *fmt, va_list args)
{
    struct load_log *log = ctx;
    char text[256];
    const char *body = text;

    vsnprintf(text, sizeof(text), fmt, args);
    text[strcspn(text, "\n")] = '\0';
    if (strncmp(body, "Load: ", strlen("Load: ")) == 0) {
        body += strlen("Load: ");
    }
    if (strstr(body, "(line: ") != NULL) {
        add_backtrace_entry(log, body);
    }
    else if (log->reason[0] == '\0' && strstr(body, "Backtrace") == NULL) {
        snprintf(log->reason, sizeof(log->reason), "%.*s",
                 (int)sizeof(log->reason) - 1, body);
    }
}

/* Returns the key that follows "prefix" in the reason, or NULL when the reason
 * does not begin with "prefix". */
static const char *
key_after_prefix(const struct load_log *log, const char *prefix)
{
    size_t len = strlen(prefix);

    return strncmp(log->reason, prefix, len) == 0 ? log->reason + len : NULL;
}

/* Completes the key path of a missing or an unknown key. For a missing key,
 * the backtrace of libcyaml ends with the key before it; for an unknown key,
 * it ends with the mapping that contains it. */
static void
complete_key_path(struct load_log *log)
{
    const char *missing =
        key_after_prefix(log, "Missing required mapping field: ");
    const char *unknown = key_after_prefix(log, "Unexpected key: ");
    char *dot = strrchr(log->path, '.');
    size_t len = strlen(log->path);

    if (missing != NULL) {
        len = dot == NULL ? 0 : (size_t)(dot + 1 - log->path);
        snprintf(log->path + len, sizeof(log->path) - len, "%s", missing);
        snprintf(log->reason, sizeof(log->reason), "required, but missing");
    }
    else if (unknown != NULL) {
        snprintf(log->path + len, sizeof(log->path) - len, "%s%s",
                 len == 0 ? "" : ".", unknown);
        snprintf(log->reason, sizeof(log->reason), "unknown key");
    }
}

/* Replaces a reason such as "Invalid UINT value: '70000'", which contains a
 * type name of libcyaml. All values that libcyaml checks here are unsigned
 * numbers. */
static void
reword_invalid_number(struct load_log *log)
{
    const char *value = strstr(log->reason, " value: ");
    char text[64];

    if (strncmp(log->reason, "Invalid ", strlen("Invalid ")) != 0 ||
        value == NULL) {
        return;
    }
    snprintf(text, sizeof(text), "%s", value + strlen(" value: "));
    snprintf(log->reason, sizeof(log->reason),
             "%s is not a number in the range of this key", text);
}

/* Replaces the line taken from the backtrace, which may be that of the
 * preceding value, by the line of the value itself where that is found. */
static void
correct_line(struct load_log *log, const char *file)
{
    struct yaml_lines *lines = yaml_lines_new(file);
    size_t line = lines == NULL ? 0 : yaml_lines_find(lines, log->path);

    if (line > 0) {
        log->line = (unsigned)line;
    }
    yaml_lines_destroy(lines);
}

static void
set_load_failure(struct status *st, const char *path,
                 const struct load_log *log, cyaml_err_t err)
{
    const char *reason =
        log->reason[0] != '\0' ? log->reason : cyaml_strerror(err);

    if (log->line == 0) {
        status_set(st, ERR_SETTINGS, "%s: %s", path, reason);
    }
    else if (log->path[0] == '\0') {
        status_set(st, ERR_SETTINGS, "%s:%u: %s", path, log->line, reason);
    }
    else {
        status_set(st, ERR_SETTINGS, "%s:%u: %s: %s", path, log->line,
                   log->path, reason);
    }
}

/* Loads a file with libcyaml, without defaults and further checks. Returns
 * NULL with "st" set when that fails or the file is empty. */
static struct settings *
load_file(const char *path, struct status *st)
{
    struct load_log log = {.line = 0};
    const cyaml_config_t config = {
        .log_fn = on_cyaml_log,
        .log_ctx = &log,
        .log_level = CYAML_LOG_ERROR,
        .mem_fn = cyaml_mem,
    };
    cyaml_data_t *data = NULL;
    cyaml_err_t err;

    if (access(path, R_OK) < 0) {
        status_set(st, ERR_SETTINGS, "%s: %s", path, strerror(errno));
        return NULL;
    }
    err = cyaml_load_file(path, &config, &settings_schema, &data, NULL);
    if (err != CYAML_OK) {
        complete_key_path(&log);
        reword_invalid_number(&log);
        correct_line(&log, path);
        set_load_failure(st, path, &log, err);
        return NULL;
    }
    if (data == NULL) {
        status_set(st, ERR_SETTINGS, "%s: the file is empty", path);
    }
    return (struct settings *)data;
}

/* Context of the checks of a loaded file. The checks end at the first value
 * that is not accepted. */
struct check {
    const char *file;               /* path of the file */
    const struct yaml_lines *lines; /* line numbers of the values */
    struct status *st;              /* receives the error */
};

/* Sets the error for the value at a key path. Always returns false, so that a
 * check can end with "return reject(...)". */
static bool reject(const struct check *c, const char *path, const char *fmt,
                   ...) __attribute__((format(printf, 3, 4)));

static bool
reject(const struct check *c, const char *path, const char *fmt, ...)
{
    char reason[160];
    size_t line = yaml_lines_find(c->lines, path);
    va_list args;

    va_start(args, fmt);
    vsnprintf(reason, sizeof(reason), fmt, args);
    va_end(args);
    if (line > 0) {
        status_set(c->st, ERR_SETTINGS, "%s:%zu: %s: %s", c->file, line, path,
                   reason);
    }
    else {
        status_set(c->st, ERR_SETTINGS, "%s: %s: %s", c->file, path, reason);
    }
    return false;
}

static bool
check_identifier(const struct check *c, const char *path, const char *value)
{
    if (identifier_is_valid(value)) {
        return true;
    }
    return reject(c, path,
                  "expected 1 to %d letters, digits, \".\", \"_\" or \"-\", "
                  "starting with a letter or digit",
                  IDENTIFIER_LENGTH_MAX);
}

static bool
check_address(const struct check *c, const char *path, const char *value)
{
    uint32_t addr;

    if (!address_parse(value, &addr)) {
        return reject(c, path, "\"%.32s\" is not a dotted IPv4 address",
                      value);
    }
    if (!address_is_unicast(addr)) {
        return reject(c, path, "%s is not the address of one host", value);
    }
    return true;
}

static bool
check_port(const struct check *c, const char *path, unsigned value)
{
    if (value > 0) {
        return true;
    }
    return reject(c, path, "a port is a number from 1 to 65535");
}

/* Sets an optional number to its default when the file does not contain it, or
 * else checks its range. An absent key leaves the value 0 as well, but only a
 * 0 that is written in the file has a line number, and is rejected. */
static bool
check_limit(const struct check *c, const char *path, uint32_t *value,
            uint32_t default_value, uint32_t min, uint32_t max)
{
    if (*value == 0 && yaml_lines_find(c->lines, path) == 0) {
        *value = default_value;
        return true;
    }
    if (*value < min || *value > max) {
        return reject(c, path, "%u is outside %u to %u", *value, min, max);
    }
    return true;
}

/* Like check_limit(), for a port. */
static bool
check_default_port(const struct check *c, const char *path, uint16_t *value,
                   uint16_t default_value)
{
    if (*value == 0 && yaml_lines_find(c->lines, path) == 0) {
        *value = default_value;
        return true;
    }
    return check_port(c, path, *value);
}

/* Checks one entry of the list at the key path "list", which also must not
 * repeat an earlier entry. */
static bool
check_endpoint(const struct check *c, const char *list, unsigned index,
               const struct settings_endpoint *endpoints)
{
    const struct settings_endpoint *e = &endpoints[index];
    char path[KEY_PATH_SIZE];

    snprintf(path, sizeof(path), "%s[%u].address", list, index);
    if (!check_address(c, path, e->address)) {
        return false;
    }
    snprintf(path, sizeof(path), "%s[%u].port", list, index);
    if (!check_port(c, path, e->port)) {
        return false;
    }
    for (unsigned i = 0; i < index; i++) {
        if (e->port == endpoints[i].port &&
            strcmp(e->address, endpoints[i].address) == 0) {
            snprintf(path, sizeof(path), "%s[%u]", list, index);
            return reject(c, path, "same address and port as %s[%u]", list, i);
        }
    }
    return true;
}

static bool
check_endpoints(const struct check *c, const char *list,
                const struct settings_endpoint *endpoints, unsigned count,
                unsigned max)
{
    if (count > max) {
        return reject(c, list, "%u entries, at most %u", count, max);
    }
    for (unsigned i = 0; i < count; i++) {
        if (!check_endpoint(c, list, i, endpoints)) {
            return false;
        }
    }
    return true;
}

static bool
check_host(const struct check *c, struct settings *s)
{
    return check_identifier(c, "host.id", s->host.id) &&
           check_identifier(c, "host.domain", s->host.domain) &&
           check_address(c, "host.address", s->host.address);
}

static bool
check_ports(const struct check *c, struct settings *s)
{
    if (!check_default_port(c, "ports.relay", &s->ports.relay,
                            DEFAULT_PORT_RELAY) ||
        !check_default_port(c, "ports.gossip", &s->ports.gossip,
                            DEFAULT_PORT_GOSSIP) ||
        !check_default_port(c, "ports.api", &s->ports.api, DEFAULT_PORT_API)) {
        return false;
    }
    /* The relay port is a UDP port and may equal one of the TCP ports. */
    if (s->ports.gossip == s->ports.api) {
        return reject(c, "ports.api", "%u is also the gossip port",
                      s->ports.api);
    }
    return true;
}

static bool
check_endpoint_lists(const struct check *c, struct settings *s)
{
    if (s->platform.endpoints_count == 0) {
        return reject(c, "platform.endpoints", "at least one is needed");
    }
    return check_endpoints(c, "platform.endpoints", s->platform.endpoints,
                           s->platform.endpoints_count, ENDPOINTS_MAX) &&
           check_endpoints(c, "seeds", s->seeds, s->seeds_count, SEEDS_MAX);
}

static bool
set_default_text(char **value, const char *default_value)
{
    if (*value == NULL) {
        *value = strdup(default_value);
    }
    return *value != NULL;
}

static bool
check_log(const struct check *c, struct settings *s)
{
    enum log_level level;

    if (!set_default_text(&s->log.level, DEFAULT_LOG_LEVEL) ||
        !set_default_text(&s->log.format, DEFAULT_LOG_FORMAT)) {
        status_set(c->st, ERR_NO_MEMORY, "%s: out of memory", c->file);
        return false;
    }
    if (!log_level_from_name(s->log.level, &level)) {
        return reject(c, "log.level",
                      "\"%.32s\" is none of debug, info, warn, error",
                      s->log.level);
    }
    if (strcmp(s->log.format, "text") != 0 &&
        strcmp(s->log.format, "json") != 0) {
        return reject(c, "log.format", "\"%.32s\" is none of text, json",
                      s->log.format);
    }
    return true;
}

static bool
check_limits(const struct check *c, struct settings *s)
{
    return check_limit(c, "limits.flows", &s->limits.flows, DEFAULT_FLOWS, 1,
                       FLOWS_MAX) &&
           check_limit(c, "limits.queue", &s->limits.queue, DEFAULT_QUEUE, 1,
                       QUEUE_MAX) &&
           check_limit(c, "limits.answer_bytes", &s->limits.answer_bytes,
                       DEFAULT_ANSWER_BYTES, 1, ANSWER_BYTES_MAX) &&
           check_limit(c, "limits.drain_timeout_ms",
                       &s->limits.drain_timeout_ms, DEFAULT_DRAIN_TIMEOUT_MS,
                       1, DRAIN_TIMEOUT_MS_MAX);
}

static bool
check_all(const struct check *c, struct settings *s)
{
    return check_host(c, s) && check_ports(c, s) &&
           check_endpoint_lists(c, s) && check_log(c, s) && check_limits(c, s);
}

struct settings *
settings_load(const char *path, struct status *st)
{
    struct settings *settings = load_file(path, st);
    struct yaml_lines *lines;
    struct check c = {.file = path, .st = st};
    bool valid;

    if (settings == NULL) {
        return NULL;
    }
    lines = yaml_lines_new(path);
    if (lines == NULL) {
        status_set(st, ERR_SETTINGS, "%s: cannot be read again", path);
        settings_destroy(settings);
        return NULL;
    }
    c.lines = lines;
    valid = check_all(&c, settings);
    yaml_lines_destroy(lines);
    if (!valid) {
        settings_destroy(settings);
        return NULL;
    }
    status_set_ok(st);
    return settings;
}

/* The default texts, which strdup() allocated, are freed by libcyaml together
 * with the texts that it allocated itself. */
void
settings_destroy(struct settings *settings)
{
    const cyaml_config_t config = {.mem_fn = cyaml_mem};

    if (settings != NULL) {
        cyaml_free(&config, &settings_schema, settings, 0);
    }
}
