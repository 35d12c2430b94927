#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "transport/store-client.h"

/* Builds and parses the messages of the etcd v3 JSON gateway that the store
 * client uses. Keys and values are in base64, 64-bit numbers are strings, and
 * an absent field has its default value. */

/* Why an item of an answer is left out, or used without its value. */
enum store_item_fault {
    STORE_ITEM_SYNTAX,   /* it is no JSON */
    STORE_ITEM_KEY,      /* its key is missing or no text of usable length */
    STORE_ITEM_REVISION, /* its revision is missing or out of range */
    STORE_ITEM_VALUE,    /* its value is no base64; it has an empty one */
    STORE_ITEM_FAULT_COUNT,
};

/* Bytes of a key as it is logged, with the final NUL. */
#define STORE_KEY_TEXT_SIZE 80

/* A list of entries that owns their keys and values. All fields 0 is an empty
 * list. */
struct store_entries {
    struct store_entry *items;
    size_t count;
    size_t capacity;
    /* The key of the last item, which was left out; NULL: it was not, or has
     * no key. */
    char *odd_key;
    size_t odd_key_len;
    /* Items with a fault, and the last one of them. */
    size_t faults;
    enum store_item_fault fault;
    char fault_key[STORE_KEY_TEXT_SIZE]; /* valid UTF-8 */
};

/* Frees all entries; the list is empty then and can be used again. */
void store_entries_clear(struct store_entries *entries);
/* Appends an entry whose fields are 0. The key and value that the caller sets
 * must come from malloc(); the list frees them. Returns NULL if out of
 * memory. */
struct store_entry *store_entries_append(struct store_entries *entries);
/* Records an item with a fault. But for STORE_ITEM_VALUE it is left out. "key"
 * are the "key_len" bytes of its key, NULL when they are not known. */
void store_entries_add_fault(struct store_entries *entries,
                             enum store_item_fault fault, const char *key,
                             size_t key_len);

/* The three builders below return the text of a request, which the caller
 * frees, or NULL if out of memory. The parsers return false if the text is
 * malformed or memory is short. */

/* Range read from the "key_len" bytes of "key" up to, but not including,
 * "end"; only "key" if "end" is NULL. "revision" 0 reads the newest revision,
 * "limit" 0 sets no limit. */
char *store_json_range(const char *key, size_t key_len, const char *end,
                       uint64_t revision, size_t limit);
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
