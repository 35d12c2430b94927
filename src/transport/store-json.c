#include "transport/store-json.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>
#include <sodium.h>

/* Number of entries that a list has room for when it is first allocated. */
#define ENTRIES_FIRST_CAPACITY 64

static void
entry_clear(struct store_entry *entry)
{
    free((char *)entry->key);
    free((char *)entry->value);
}

void
store_entries_clear(struct store_entries *entries)
{
    for (size_t i = 0; i < entries->count; i++) {
        entry_clear(&entries->items[i]);
    }
    free(entries->items);
    free(entries->odd_key);
    memset(entries, 0, sizeof(*entries));
}

struct store_entry *
store_entries_append(struct store_entries *entries)
{
    struct store_entry *entry;

    if (entries->count == entries->capacity) {
        size_t capacity = entries->capacity == 0 ? ENTRIES_FIRST_CAPACITY
                                                 : 2 * entries->capacity;
        struct store_entry *items =
            realloc(entries->items, capacity * sizeof(*items));

        if (items == NULL) {
            return NULL;
        }
        entries->items = items;
        entries->capacity = capacity;
    }
    entry = &entries->items[entries->count];
    memset(entry, 0, sizeof(*entry));
    entries->count++;
    free(entries->odd_key);
    entries->odd_key = NULL;
    return entry;
}

void
store_entries_add_fault(struct store_entries *entries,
                        enum store_item_fault fault, const char *key,
                        size_t key_len)
{
    char *text = g_utf8_make_valid(key == NULL ? "" : key, (gssize)key_len);

    entries->faults++;
    entries->fault = fault;
    g_strlcpy(entries->fault_key, text, sizeof(entries->fault_key));
    g_free(text);
    if (fault == STORE_ITEM_VALUE) {
        return;
    }
    free(entries->odd_key);
    entries->odd_key = key == NULL ? NULL : g_memdup2(key, key_len);
    entries->odd_key_len = key_len;
}

static json_t *
json_base64(const char *data, size_t len)
{
    size_t size =
        sodium_base64_encoded_len(len, sodium_base64_VARIANT_ORIGINAL);
    char *text = malloc(size);
    json_t *json;

    if (text == NULL) {
        return NULL;
    }
    sodium_bin2base64(text, size, (const unsigned char *)data, len,
                      sodium_base64_VARIANT_ORIGINAL);
    json = json_string(text);
    free(text);
    return json;
}

static json_t *
json_key(const char *key)
{
    return json_base64(key, strlen(key));
}

static json_t *
json_u64(uint64_t value)
{
    char text[24];

    snprintf(text, sizeof(text), "%llu", (unsigned long long)value);
    return json_string(text);
}

/* Reads a 64-bit number, which may be a JSON string or a JSON number. Returns
 * 0 if it is absent. */
static uint64_t
get_u64_or_zero(const json_t *object, const char *name)
{
    const json_t *value = json_object_get(object, name);

    if (json_is_string(value)) {
        return strtoull(json_string_value(value), NULL, 10);
    }
    return (uint64_t)json_integer_value(value);
}

/* Decodes a base64 member into a new text with a final NUL, which the caller
 * frees; "len" does not count the NUL. An absent member gives an empty text.
 * Returns NULL if the member is malformed or memory is short. */
static char *
get_base64(const json_t *object, const char *name, size_t *len)
{
    const json_t *value = json_object_get(object, name);
    size_t text_len = json_string_length(value);
    unsigned char *data = malloc(text_len + 1);

    *len = 0;
    if (data == NULL) {
        return NULL;
    }
    if (text_len > 0 &&
        sodium_base642bin(data, text_len, json_string_value(value), text_len,
                          NULL, len, NULL,
                          sodium_base64_VARIANT_ORIGINAL) != 0) {
        free(data);
        return NULL;
    }
    data[*len] = '\0';
    return (char *)data;
}

/* Serializes "json" and drops the reference to it. Returns NULL for NULL. */
static char *
dump_and_decref(json_t *json)
{
    char *text = json == NULL ? NULL : json_dumps(json, JSON_COMPACT);

    json_decref(json);
    return text;
}

static json_t *
range_json(const char *key, size_t key_len, const char *end)
{
    json_t *json = json_pack("{s:o}", "key", json_base64(key, key_len));

    if (json != NULL && end != NULL) {
        json_object_set_new(json, "range_end", json_key(end));
    }
    return json;
}

char *
store_json_range(const char *key, size_t key_len, const char *end,
                 uint64_t revision, size_t limit)
{
    json_t *json = range_json(key, key_len, end);

    if (json != NULL && limit > 0) {
        json_object_set_new(json, "limit", json_u64(limit));
    }
    if (json != NULL && revision > 0) {
        json_object_set_new(json, "revision", json_u64(revision));
    }
    return dump_and_decref(json);
}

char *
store_json_cas(const char *key, const char *value, size_t value_len,
               uint64_t expected)
{
    json_t *change =
        value == NULL
            ? json_pack("{s:{s:o}}", "request_delete_range", "key",
                        json_key(key))
            : json_pack("{s:{s:o, s:o}}", "request_put", "key", json_key(key),
                        "value", json_base64(value, value_len));
    json_t *json =
        json_pack("{s:[{s:o, s:s, s:s, s:o}], s:[o]}", "compare", "key",
                  json_key(key), "target", "MOD", "result", "EQUAL",
                  "mod_revision", json_u64(expected), "success", change);

    return dump_and_decref(json);
}

char *
store_json_watch(const char *key, const char *end, uint64_t start_revision)
{
    json_t *create = range_json(key, strlen(key), end);

    if (create == NULL) {
        return NULL;
    }
    json_object_set_new(create, "start_revision", json_u64(start_revision));
    json_object_set_new(create, "progress_notify", json_true());
    return dump_and_decref(json_pack("{s:o}", "create_request", create));
}

/* Reads a revision. Returns false when it is too large for a position. */
static bool
get_revision(const json_t *object, const char *name, uint64_t *revision)
{
    *revision = get_u64_or_zero(object, name);
    return *revision <= STORE_REVISION_MAX;
}

/* Whether a key is text that fits into a buffer for keys. */
static bool
is_usable_key(const char *key, size_t len)
{
    return key != NULL && len > 0 && len < STORE_KEY_SIZE &&
           g_utf8_validate(key, (gssize)len, NULL);
}

/* Appends a key and its value. One that has no usable key or revision is left
 * out, and an unreadable value counts as empty. Returns false if out of
 * memory. */
static bool
append_kv(const json_t *kv, bool deleted, struct store_entries *entries)
{
    size_t key_len;
    char *key = get_base64(kv, "key", &key_len);
    uint64_t revision;
    struct store_entry *entry;

    if (!is_usable_key(key, key_len) ||
        !get_revision(kv, "mod_revision", &revision)) {
        store_entries_add_fault(
            entries,
            is_usable_key(key, key_len) ? STORE_ITEM_REVISION : STORE_ITEM_KEY,
            key, key_len);
        free(key);
        return true;
    }
    entry = store_entries_append(entries);
    if (entry == NULL) {
        free(key);
        return false;
    }
    entry->key = key;
    entry->modified.revision = revision;
    if (deleted) {
        return true;
    }
    entry->value = get_base64(kv, "value", &entry->value_len);
    if (entry->value == NULL) {
        store_entries_add_fault(entries, STORE_ITEM_VALUE, key, key_len);
        entry->value = calloc(1, 1);
        entry->value_len = 0;
    }
    return entry->value != NULL;
}

static bool
parse_range(const json_t *json, struct store_range_answer *answer,
            struct store_entries *entries)
{
    const json_t *kvs = json_object_get(json, "kvs");

    const json_t *header = json_object_get(json, "header");

    if (!json_is_object(header) ||
        !get_revision(header, "revision", &answer->revision)) {
        return false;
    }
    answer->more = json_is_true(json_object_get(json, "more"));
    for (size_t i = 0; i < json_array_size(kvs); i++) {
        if (!append_kv(json_array_get(kvs, i), false, entries)) {
            return false;
        }
    }
    return true;
}

bool
store_json_parse_range(const char *text, size_t len,
                       struct store_range_answer *answer,
                       struct store_entries *entries)
{
    json_t *json = json_loadb(text, len, 0, NULL);
    bool parsed = parse_range(json, answer, entries);

    json_decref(json);
    return parsed;
}

bool
store_json_parse_cas(const char *text, size_t len,
                     struct store_cas_answer *answer)
{
    json_t *json = json_loadb(text, len, 0, NULL);
    const json_t *header = json_object_get(json, "header");
    bool parsed = json_is_object(header) &&
                  get_revision(header, "revision", &answer->revision);

    if (parsed) {
        answer->succeeded = json_is_true(json_object_get(json, "succeeded"));
    }
    json_decref(json);
    return parsed;
}

static bool
parse_watch(const json_t *result, struct store_watch_line *line,
            struct store_entries *entries)
{
    const json_t *events = json_object_get(result, "events");

    if (!json_is_object(result) ||
        !get_revision(json_object_get(result, "header"), "revision",
                      &line->revision)) {
        return false;
    }
    line->canceled = json_is_true(json_object_get(result, "canceled"));
    line->compacted = get_u64_or_zero(result, "compact_revision") > 0;
    for (size_t i = 0; i < json_array_size(events); i++) {
        const json_t *event = json_array_get(events, i);
        const char *type = json_string_value(json_object_get(event, "type"));
        bool deleted = type != NULL && strcmp(type, "DELETE") == 0;

        if (!append_kv(json_object_get(event, "kv"), deleted, entries)) {
            return false;
        }
    }
    return true;
}

bool
store_json_parse_watch(const char *text, size_t len,
                       struct store_watch_line *line,
                       struct store_entries *entries)
{
    json_t *json = json_loadb(text, len, 0, NULL);
    bool parsed = parse_watch(json_object_get(json, "result"), line, entries);

    json_decref(json);
    return parsed;
}

void
store_prefix_end(const char *prefix, char out[STORE_KEY_SIZE])
{
    size_t len = strlen(prefix);

    snprintf(out, STORE_KEY_SIZE, "%s", prefix);
    if (len > 0) {
        out[len - 1]++;
    }
}
