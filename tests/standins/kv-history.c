#include "kv-history.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"

struct kv_history {
    GPtrArray *changes; /* struct kv_entry; index is the revision - 1 */
    GTree *keys;        /* key -> its current entry, owned by "changes" */
    uint64_t compact_revision;
};

static void
entry_free(void *data)
{
    struct kv_entry *entry = data;

    g_free(entry->key);
    g_free(entry->value);
    g_free(entry);
}

static gint
key_compare(gconstpointer a, gconstpointer b, gpointer ctx)
{
    return strcmp(a, b);
}

struct kv_history *
kv_history_new(void)
{
    struct kv_history *kv = g_new0(struct kv_history, 1);

    kv->changes = g_ptr_array_new_with_free_func(entry_free);
    kv->keys = g_tree_new_full(key_compare, NULL, NULL, NULL);
    return kv;
}

void
kv_history_destroy(struct kv_history *kv)
{
    if (kv == NULL) {
        return;
    }
    g_tree_destroy(kv->keys);
    g_ptr_array_free(kv->changes, TRUE);
    g_free(kv);
}

uint64_t
kv_history_revision(const struct kv_history *kv)
{
    return kv->changes->len;
}

uint64_t
kv_history_revision_at(const struct kv_history *kv, uint64_t time)
{
    uint64_t revision = kv->changes->len;

    while (revision > 0) {
        const struct kv_entry *entry =
            g_ptr_array_index(kv->changes, revision - 1);

        if (entry->written_at <= time) {
            break;
        }
        revision--;
    }
    return revision;
}

uint64_t
kv_history_compact_revision(const struct kv_history *kv)
{
    return kv->compact_revision;
}

const struct kv_entry *
kv_history_get(const struct kv_history *kv, const char *key)
{
    return g_tree_lookup(kv->keys, key);
}

/* The range is given as for kv_history_range(). */
static bool
key_in_range(const char *key, const char *first, const char *end)
{
    if (end == NULL) {
        return strcmp(key, first) == 0;
    }
    if (strcmp(key, first) < 0) {
        return false;
    }
    return *end == '\0' || strcmp(key, end) < 0;
}

/* State of a call of kv_history_range(). */
struct range_query {
    const char *key;
    const char *end;
    size_t limit;
    size_t count; /* keys found in the range so far */
    kv_entry_cb cb;
    void *ctx;
};

static gboolean
range_visit(gpointer key, gpointer value, gpointer data)
{
    struct range_query *query = data;

    if (key_in_range(key, query->key, query->end)) {
        if (query->limit == 0 || query->count < query->limit) {
            query->cb(query->ctx, value);
        }
        query->count++;
    }
    return FALSE;
}

size_t
kv_history_range(const struct kv_history *kv, const char *key, const char *end,
                 size_t limit, kv_entry_cb cb, void *ctx)
{
    struct range_query query = {key, end, limit, 0, cb, ctx};

    g_tree_foreach(kv->keys, range_visit, &query);
    return query.count;
}

void
kv_history_changes(const struct kv_history *kv, uint64_t revision,
                   const char *key, const char *end, kv_entry_cb cb, void *ctx)
{
    uint64_t first = revision == 0 ? 1 : revision;

    for (uint64_t r = first; r <= kv->changes->len; r++) {
        const struct kv_entry *entry = g_ptr_array_index(kv->changes, r - 1);

        if (key_in_range(entry->key, key, end)) {
            cb(ctx, entry);
        }
    }
}

/* Makes a change the current entry of its key, or removes a deleted key. */
static void
apply_change(struct kv_history *kv, struct kv_entry *entry)
{
    if (entry->value == NULL) {
        g_tree_remove(kv->keys, entry->key);
    }
    else {
        g_tree_replace(kv->keys, entry->key, entry);
    }
}

void
kv_history_put(struct kv_history *kv, const char *key, const char *value)
{
    kv_history_put_bytes(kv, key, value, value == NULL ? 0 : strlen(value));
}

void
kv_history_put_bytes(struct kv_history *kv, const char *key, const char *value,
                     size_t len)
{
    const struct kv_entry *old = kv_history_get(kv, key);
    struct kv_entry *entry = g_new0(struct kv_entry, 1);

    entry->key = g_strdup(key);
    entry->value = value == NULL ? NULL : g_malloc0(len + 1);
    if (value != NULL) {
        memcpy(entry->value, value, len);
    }
    entry->value_len = len;
    entry->mod_revision = kv->changes->len + 1;
    entry->written_at = clock_monotonic_us();
    entry->create_revision =
        old != NULL ? old->create_revision : entry->mod_revision;
    entry->version = old != NULL ? old->version + 1 : 1;
    g_ptr_array_add(kv->changes, entry);
    apply_change(kv, entry);
}

void
kv_history_compact(struct kv_history *kv, uint64_t revision)
{
    if (revision > kv->compact_revision && revision <= kv->changes->len) {
        kv->compact_revision = revision;
    }
}

bool
kv_history_rollback(struct kv_history *kv, uint64_t revision)
{
    if (revision > kv->changes->len || revision < kv->compact_revision) {
        return false;
    }
    g_tree_destroy(kv->keys);
    kv->keys = g_tree_new_full(key_compare, NULL, NULL, NULL);
    g_ptr_array_set_size(kv->changes, (gint)revision);
    for (guint i = 0; i < kv->changes->len; i++) {
        apply_change(kv, g_ptr_array_index(kv->changes, i));
    }
    return true;
}
