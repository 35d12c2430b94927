#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "transport/store-client.h"

/* Builds and parses the messages of the etcd v3 JSON gateway that the store
 * client uses. Keys and values are in base64, 64-bit numbers are strings, and
 * an absent field has its default value. */

/* A list of entries that owns their keys and values. All fields 0 is an empty
 * list. */
struct store_entries {
    struct store_entry *items;
    size_t count;
    size_t capacity;
};

/* Frees all entries; the list is empty then and can be used again. */
void store_entries_clear(struct store_entries *entries);
/* Appends an entry whose fields are 0. The key and value that the caller sets
 * must come from malloc(); the list frees them. Returns NULL if out of
 * memory. */
struct store_entry *store_entries_append(struct store_entries *entries);

/* The three builders below return the text of a request, which the caller
 * frees, or NULL if out of memory. The parsers return false if the text is
 * malformed or memory is short. */

/* Range read from "key" up to, but not including, "end"; only "key" if "end"
 * is NULL. "revision" 0 reads the newest revision, "limit" 0 sets no limit. */
char *store_json_range(const char *key, const char *end, uint64_t revision,
                       size_t limit);
/* Write of one key, or with "value" NULL its removal, on the condition that
 * its mod_revision is "expected". */
char *store_json_cas(const char *key, const char *value, size_t value_len,
                     uint64_t expected);
/* Watch of the keys from "key" up to, but not including, "end". */
char *store_json_watch(const char *key, const char *end,
                       uint64_t start_revision);

/* Answer to a range read. The parser appends the entries to the list. */
struct store_range_answer {
    uint64_t revision; /* revision of the store */
    bool more;         /* the range has keys after the last one returned */
};
bool store_json_parse_range(const char *text, size_t len,
                            struct store_range_answer *answer,
                            struct store_entries *entries);

/* Answer to a conditional write. */
struct store_cas_answer {
    uint64_t revision; /* revision of the store; if written, the key's too */
    bool succeeded;    /* the condition held and the value was written */
};
bool store_json_parse_cas(const char *text, size_t len,
                          struct store_cas_answer *answer);

/* One line of a watch. The parser appends the changes to the list. */
struct store_watch_line {
    uint64_t revision; /* the line reports changes up to this one */
    bool canceled;     /* the store has ended the watch */
    bool compacted;    /* the reason is that the start revision is compacted */
};
bool store_json_parse_watch(const char *text, size_t len,
                            struct store_watch_line *line,
                            struct store_entries *entries);

/* Writes the exclusive end of the range of all keys that start with "prefix":
 * the prefix with its last byte incremented. */
void store_prefix_end(const char *prefix, char out[STORE_KEY_SIZE]);
