#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The data of a stand-in store: the history of all changes, and the current
 * entry of each key. Each change has a revision; the first change has revision
 * 1. Keys are text; values are bytes, with a NUL after the last one. */

struct kv_entry {
    char *key;
    char *value;              /* NULL for a deletion */
    size_t value_len;         /* bytes without the final NUL */
    uint64_t create_revision; /* revision that created the key */
    uint64_t mod_revision;    /* revision of this change */
    uint64_t written_at; /* time of this change, us of the monotonic clock */
    uint64_t version; /* 1 when the key is created, plus 1 for each change */
};

struct kv_history;

/* Called for each entry of a range by key, or for each change by revision. The
 * entry belongs to the history. */
typedef void (*kv_entry_cb)(void *ctx, const struct kv_entry *entry);

struct kv_history *kv_history_new(void);
void kv_history_destroy(struct kv_history *kv);
/* The revision of the newest change; 0 while there is none. */
uint64_t kv_history_revision(const struct kv_history *kv);
/* The revision of the newest change that was written at "time" or before, 0
 * when there is none. */
uint64_t kv_history_revision_at(const struct kv_history *kv, uint64_t time);
/* The revision of the last compaction; 0 before the first. */
uint64_t kv_history_compact_revision(const struct kv_history *kv);

/* The current entry of a key, owned by the history; NULL if the key is absent
 * or deleted. */
const struct kv_entry *kv_history_get(const struct kv_history *kv,
                                      const char *key);
/* Calls "cb" for the current entries of the keys in [key, end), for at most
 * "limit" of them (0: no limit). With "end" NULL the range is "key" alone;
 * with the empty string as "end" it is all keys from "key" on. Returns the
 * number of keys in the range, which may exceed "limit". */
size_t kv_history_range(const struct kv_history *kv, const char *key,
                        const char *end, size_t limit, kv_entry_cb cb,
                        void *ctx);
/* Calls "cb" for each change to a key in [key, end) whose revision is
 * "revision" or higher. The range is given as for kv_history_range(). */
void kv_history_changes(const struct kv_history *kv, uint64_t revision,
                        const char *key, const char *end, kv_entry_cb cb,
                        void *ctx);

/* Writes the text "value" to a key as a new revision; NULL deletes the key. */
void kv_history_put(struct kv_history *kv, const char *key, const char *value);
/* Writes "len" bytes to a key as a new revision. */
void kv_history_put_bytes(struct kv_history *kv, const char *key,
                          const char *value, size_t len);
/* Compacts the history up to "revision", which only sets the compact revision:
 * the stand-ins refuse watches of compacted changes, but the changes stay in
 * memory. A revision beyond the newest change, or one that is not newer than
 * the compact revision, is ignored. */
void kv_history_compact(struct kv_history *kv, uint64_t revision);
/* Removes all changes after "revision" and restores the keys as of
 * "revision". Returns false if "revision" lies before the compact revision or
 * after the newest change. */
bool kv_history_rollback(struct kv_history *kv, uint64_t revision);
