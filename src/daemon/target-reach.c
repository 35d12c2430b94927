#include "daemon/target-reach.h"

#include <stdlib.h>

#include <glib.h>

#define LOG_MODULE "forward"
#include "base/clock.h"
#include "base/log.h"
#include "transport/reach-check.h"

/* Time for which a result is valid: a host that was down may be up again. */
#define VALID_US (1 * USEC_PER_SEC)

struct entry {
    struct target_reach_table *table;
    uint32_t cookie;
    char id[TARGET_ID_SIZE];
    struct reach_check *check; /* NULL: none is under way */
    enum target_reach reach;
    uint64_t checked_at;
};

struct target_reach_table {
    struct event_base *base;
    GHashTable *entries; /* cookie -> struct entry, owned */
    uint64_t checks;
    target_reach_cb cb;
    void *ctx;
};

static void
entry_free(gpointer data)
{
    struct entry *e = data;

    reach_check_destroy(e->check);
    g_free(e);
}

struct target_reach_table *
target_reach_new(struct event_base *base, target_reach_cb cb, void *ctx)
{
    struct target_reach_table *table = calloc(1, sizeof(*table));

    if (table == NULL) {
        return NULL;
    }
    table->base = base;
    table->entries = g_hash_table_new_full(NULL, NULL, NULL, entry_free);
    table->cb = cb;
    table->ctx = ctx;
    return table;
}

void
target_reach_destroy(struct target_reach_table *table)
{
    if (table == NULL) {
        return;
    }
    g_hash_table_destroy(table->entries);
    free(table);
}

static struct entry *
find_entry(const struct target_reach_table *table, uint32_t cookie)
{
    return g_hash_table_lookup(table->entries, GUINT_TO_POINTER(cookie));
}

static bool
is_valid(const struct entry *e, uint64_t now)
{
    return e->checked_at != 0 && now < e->checked_at + VALID_US;
}

static void
on_checked(void *ctx, enum reach_result result)
{
    struct entry *e = ctx;

    reach_check_destroy(e->check);
    e->check = NULL;
    e->checked_at = clock_monotonic_us();
    switch (result) {
    case REACH_ANSWERED:
        e->reach = TARGET_REACH_UP;
        break;
    case REACH_REFUSED:
    case REACH_NO_ANSWER:
        e->reach = TARGET_REACH_DOWN;
        break;
    case REACH_NOT_CHECKED:
        e->reach = TARGET_REACH_UNKNOWN;
        break;
    }
    log_fields(
        LOG_LEVEL_INFO, LOG_MODULE,
        LOG_FIELDS({"target", e->id}, {"result", reach_result_name(result)}),
        "target_checked");
    e->table->cb(e->table->ctx, e->cookie);
}

void
target_reach_check(struct target_reach_table *table,
                   const struct forward_target *target, uint64_t now)
{
    const struct endpoint to = {target->record.addr, target->record.port};
    struct entry *e = find_entry(table, target->cookie);

    if (e != NULL && (e->check != NULL || is_valid(e, now))) {
        return;
    }
    if (e == NULL) {
        e = g_new0(struct entry, 1);
        e->table = table;
        e->cookie = target->cookie;
        g_strlcpy(e->id, target->record.id, sizeof(e->id));
        g_hash_table_insert(table->entries, GUINT_TO_POINTER(e->cookie), e);
    }
    e->check = reach_check_new(table->base, &to, on_checked, e);
    if (e->check == NULL) {
        LOG_WARN("cannot check whether target %s answers: out of memory",
                 e->id);
        return;
    }
    table->checks++;
}

enum target_reach
target_reach_get(const struct target_reach_table *table, uint32_t cookie,
                 uint64_t now)
{
    const struct entry *e = find_entry(table, cookie);

    return e != NULL && is_valid(e, now) ? e->reach : TARGET_REACH_UNKNOWN;
}

uint64_t
target_reach_checks(const struct target_reach_table *table)
{
    return table->checks;
}

void
target_reach_expire(struct target_reach_table *table, uint64_t now)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, table->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct entry *e = value;

        if (e->check == NULL && !is_valid(e, now)) {
            g_hash_table_iter_remove(&iter);
        }
    }
}
