#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The store's data: every change since the last compaction, and the keys at
 * the newest revision. Keys are text; values are text without NUL. */

struct kv_entry {
    char *key;
    char *value; /* NULL for a deletion */
    uint64_t create_revision;
    uint64_t mod_revision;
    uint64_t version; /* puts since the key was made */
};

struct kv_history;

/* Called for each key of a range, in order. */
typedef void (*kv_entry_cb)(void *ctx, const struct kv_entry *entry);

struct kv_history *kv_history_new(void);
void kv_history_destroy(struct kv_history *kv);
uint64_t kv_history_revision(const struct kv_history *kv);
uint64_t kv_history_compact_revision(const struct kv_history *kv);

/* The newest entry of a key; NULL when it is absent. */
const struct kv_entry *kv_history_get(const struct kv_history *kv,
                                      const char *key);
/* Calls "cb" for the keys in [key, end), at most "limit" (0: all). "end" is
 * NULL for the one key, and "\0" for all keys from "key" on. Returns how many
 * there are in all. */
size_t kv_history_range(const struct kv_history *kv, const char *key,
                        const char *end, size_t limit, kv_entry_cb cb,
                        void *ctx);
/* Calls "cb" for the changes from "revision" on in [key, end). */
void kv_history_changes(const struct kv_history *kv, uint64_t revision,
                        const char *key, const char *end, kv_entry_cb cb,
                        void *ctx);

/* Writes a key as a new revision; a NULL value deletes it. */
void kv_history_put(struct kv_history *kv, const char *key, const char *value);
/* Forgets the changes up to "revision" included. */
void kv_history_compact(struct kv_history *kv, uint64_t revision);
/* Returns to the state at "revision". False when that is compacted or not
 * yet reached. */
bool kv_history_rollback(struct kv_history *kv, uint64_t revision);
