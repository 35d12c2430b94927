#include "daemon/target-clients.h"

#include <stdlib.h>

#include "base/clock.h"

/* Time after its last use at which the client of a target is freed. Clients
 * are not kept longer because a host knows many more targets than it sends
 * requests to. */
#define CLIENT_IDLE_TIMEOUT_US (5 * USEC_PER_SEC)
/* Interval between two searches for unused clients. */
#define SWEEP_INTERVAL_US (1 * USEC_PER_SEC)

struct target_clients {
    struct data_task *task;
    uint64_t next_sweep_us;
    GHashTable *by_target; /* struct target_state -> struct entry, owned */
};

struct entry {
    struct target_state *target;  /* holds a reference */
    struct target_client *client; /* owned */
    uint64_t used_us;             /* time of the last use */
};

static void
entry_free(void *arg)
{
    struct entry *entry = arg;

    target_client_destroy(entry->client);
    target_unref(entry->target);
    free(entry);
}

struct target_clients *
target_clients_new(struct data_task *task)
{
    struct target_clients *clients = calloc(1, sizeof(*clients));

    if (clients == NULL) {
        return NULL;
    }
    clients->task = task;
    clients->by_target = g_hash_table_new_full(NULL, NULL, NULL, entry_free);
    return clients;
}

void
target_clients_destroy(struct target_clients *clients)
{
    if (clients == NULL) {
        return;
    }
    g_hash_table_destroy(clients->by_target);
    free(clients);
}

static struct target_client *
create_client(struct target_clients *clients, struct target_state *t)
{
    struct endpoint address = {.addr = t->addr, .port = t->port};
    struct data_task *task = clients->task;

    return target_client_new(task->base, &address, t->connections_max,
                             task->settings->limits.answer_bytes);
}

struct target_client *
target_clients_get(struct target_clients *clients, struct target_state *t)
{
    struct entry *entry = g_hash_table_lookup(clients->by_target, t);

    if (entry != NULL) {
        entry->used_us = clock_monotonic_us();
        return entry->client;
    }
    entry = calloc(1, sizeof(*entry));
    if (entry == NULL) {
        return NULL;
    }
    entry->client = create_client(clients, t);
    if (entry->client == NULL) {
        free(entry);
        return NULL;
    }
    entry->target = target_ref(t);
    entry->used_us = clock_monotonic_us();
    g_hash_table_insert(clients->by_target, t, entry);
    return entry->client;
}

static bool
is_unused(const struct entry *entry, uint64_t now)
{
    if (target_client_busy_count(entry->client) > 0) {
        return false;
    }
    return entry->target->removed ||
           now - entry->used_us >= CLIENT_IDLE_TIMEOUT_US;
}

void
target_clients_free_unused(struct target_clients *clients, uint64_t now)
{
    GHashTableIter iter;
    void *value;

    if (now < clients->next_sweep_us) {
        return;
    }
    clients->next_sweep_us = now + SWEEP_INTERVAL_US;
    g_hash_table_iter_init(&iter, clients->by_target);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct entry *entry = value;

        entry->target->connections = target_client_open_count(entry->client);
        if (is_unused(entry, now)) {
            entry->target->connections = 0;
            g_hash_table_iter_remove(&iter);
        }
    }
}
