#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "transport/store-client.h"

/* The messages of the etcd v3 JSON gateway that the store client uses: keys
 * and values in base64, 64-bit numbers as strings, absent fields at their
 * default. */

/* Entries with their own copies of key and value. */
struct store_entries {
    struct store_entry *items;
    size_t count;
    size_t capacity;
};

void store_entries_clear(struct store_entries *entries);
/* Adds an empty entry, whose texts the list frees. Returns NULL when memory is
 * short. */
struct store_entry *store_entries_append(struct store_entries *entries);

/* The builders return a text that the caller frees, NULL when memory is
 * short. */

/* A range read from "key" on; "end" is exclusive and NULL for one key.
 * "revision" 0 reads the newest. */
char *store_json_range(const char *key, const char *end, uint64_t revision,
                       size_t limit);
/* A put of one key if its mod_revision is "expected". */
char *store_json_cas(const char *key, const char *value, size_t value_len,
                     uint64_t expected);
char *store_json_watch(const char *key, const char *end,
                       uint64_t start_revision);

/* Answer to a range read; entries are appended. */
struct store_range_answer {
    uint64_t revision;
    bool more; /* there are keys behind the last one returned */
};
bool store_json_parse_range(const char *text, size_t len,
                            struct store_range_answer *answer,
                            struct store_entries *entries);

struct store_cas_answer {
    uint64_t revision;
    bool succeeded;
};
bool store_json_parse_cas(const char *text, size_t len,
                          struct store_cas_answer *answer);

/* One line of a watch. */
struct store_watch_line {
    uint64_t revision;
    bool canceled;
    bool compacted; /* canceled because the start revision is gone */
};
bool store_json_parse_watch(const char *text, size_t len,
                            struct store_watch_line *line,
                            struct store_entries *entries);

/* Writes the end of the range of all keys that start with "prefix". */
void store_prefix_end(const char *prefix, char out[STORE_KEY_SIZE]);
