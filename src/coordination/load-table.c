#include "coordination/load-table.h"

#include <stdlib.h>

#include <glib.h>

#include "base/clock.h"

/* Records that a table keeps at most; one takes some 70 bytes. */
#define LOAD_TABLE_MAX 512
/* Rates of records are per 1000 s. */
#define RATE_UNITS 1000.0

struct load_entry {
    uint32_t key;
    uint32_t rate; /* requests per 1000 s */
    uint64_t at;   /* when it was measured, us */
};

struct load_table {
    GHashTable *entries; /* key -> struct load_entry */
};

struct load_table *
load_table_new(void)
{
    struct load_table *t = calloc(1, sizeof(*t));

    if (t != NULL) {
        t->entries =
            g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    }
    return t;
}

void
load_table_destroy(struct load_table *t)
{
    if (t != NULL) {
        g_hash_table_destroy(t->entries);
        free(t);
    }
}

static struct load_entry *
find(const struct load_table *t, uint32_t key)
{
    return g_hash_table_lookup(t->entries, GUINT_TO_POINTER(key));
}

/* Removes the oldest record if it is older than "at". Returns whether there is
 * room for another one. */
static bool
make_room(struct load_table *t, uint64_t at)
{
    const struct load_entry *oldest = NULL;
    GHashTableIter iter;
    gpointer value;

    if (g_hash_table_size(t->entries) < LOAD_TABLE_MAX) {
        return true;
    }
    g_hash_table_iter_init(&iter, t->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct load_entry *e = value;

        if (oldest == NULL || e->at < oldest->at) {
            oldest = e;
        }
    }
    if (oldest == NULL || oldest->at >= at) {
        return false;
    }
    g_hash_table_remove(t->entries, GUINT_TO_POINTER(oldest->key));
    return true;
}

void
load_table_update(struct load_table *t, uint32_t key, uint32_t rate,
                  uint64_t at)
{
    struct load_entry *e = find(t, key);

    if (e == NULL) {
        if (!make_room(t, at)) {
            return;
        }
        e = g_new0(struct load_entry, 1);
        e->key = key;
        g_hash_table_insert(t->entries, GUINT_TO_POINTER(key), e);
    }
    else if (e->at >= at) {
        return;
    }
    e->rate = rate;
    e->at = at;
}

bool
load_table_rate(const struct load_table *t, uint32_t key, uint64_t since,
                double *rate)
{
    const struct load_entry *e = find(t, key);

    if (e == NULL || e->at < since) {
        return false;
    }
    *rate = e->rate / RATE_UNITS;
    return true;
}

static gboolean
is_older(gpointer key, gpointer value, gpointer since)
{
    const struct load_entry *e = value;

    return e->at < *(const uint64_t *)since;
}

void
load_table_expire(struct load_table *t, uint64_t since)
{
    g_hash_table_foreach_remove(t->entries, is_older, &since);
}

static int
compare_ages(gconstpointer a, gconstpointer b)
{
    const struct load_entry *x = *(const struct load_entry *const *)a;
    const struct load_entry *y = *(const struct load_entry *const *)b;

    return (x->at < y->at) - (x->at > y->at);
}

size_t
load_table_newest(const struct load_table *t, struct domain_load_record *out,
                  size_t max, uint64_t now)
{
    GPtrArray *sorted = g_ptr_array_sized_new(LOAD_TABLE_MAX);
    GHashTableIter iter;
    gpointer value;
    size_t count;

    g_hash_table_iter_init(&iter, t->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_ptr_array_add(sorted, value);
    }
    g_ptr_array_sort(sorted, compare_ages);
    count = sorted->len < max ? sorted->len : max;
    for (size_t i = 0; i < count; i++) {
        const struct load_entry *e = g_ptr_array_index(sorted, i);
        uint64_t age = now > e->at ? now - e->at : 0;

        out[i] = (struct domain_load_record){
            .key = e->key,
            .rate = e->rate,
            .age_ms = (uint32_t)(age / USEC_PER_MSEC)};
    }
    g_ptr_array_free(sorted, TRUE);
    return count;
}

size_t
load_table_count(const struct load_table *t)
{
    return g_hash_table_size(t->entries);
}
