#include "daemon/target-links.h"

#include <stdlib.h>

#include "base/clock.h"

/* The client of a target that was not used for this long is closed; a host
 * knows many more targets than it has work for. */
#define LINK_IDLE_US (5 * USEC_PER_SEC)
#define SWEEP_US (1 * USEC_PER_SEC)

struct target_links {
    struct data_task *task;
    uint64_t next_sweep_us;
    GHashTable *by_target; /* struct target_state -> struct link, owned */
};

struct link {
    struct target_state *target; /* with a reference */
    struct target_client *client;
    uint64_t used_us;
};

static void
link_free(void *arg)
{
    struct link *link = arg;

    target_client_destroy(link->client);
    target_unref(link->target);
    free(link);
}

struct target_links *
target_links_new(struct data_task *task)
{
    struct target_links *links = calloc(1, sizeof(*links));

    if (links == NULL) {
        return NULL;
    }
    links->task = task;
    links->by_target = g_hash_table_new_full(NULL, NULL, NULL, link_free);
    return links;
}

void
target_links_destroy(struct target_links *links)
{
    if (links == NULL) {
        return;
    }
    g_hash_table_destroy(links->by_target);
    free(links);
}

static struct target_client *
make_client(struct target_links *links, struct target_state *t)
{
    struct endpoint where = {.addr = t->addr, .port = t->port};
    struct data_task *task = links->task;

    return target_client_new(task->base, &where, t->connections_max,
                             task->settings->limits.answer_bytes);
}

struct target_client *
target_links_get(struct target_links *links, struct target_state *t)
{
    struct link *link = g_hash_table_lookup(links->by_target, t);

    if (link != NULL) {
        link->used_us = clock_monotonic_us();
        return link->client;
    }
    link = calloc(1, sizeof(*link));
    if (link == NULL) {
        return NULL;
    }
    link->client = make_client(links, t);
    if (link->client == NULL) {
        free(link);
        return NULL;
    }
    link->target = target_ref(t);
    link->used_us = clock_monotonic_us();
    g_hash_table_insert(links->by_target, t, link);
    return link->client;
}

static bool
is_unused(const struct link *link, uint64_t now)
{
    if (target_client_busy(link->client) > 0) {
        return false;
    }
    return link->target->removed || now - link->used_us >= LINK_IDLE_US;
}

void
target_links_sweep(struct target_links *links, uint64_t now)
{
    GHashTableIter iter;
    void *value;

    if (now < links->next_sweep_us) {
        return;
    }
    links->next_sweep_us = now + SWEEP_US;
    g_hash_table_iter_init(&iter, links->by_target);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct link *link = value;

        link->target->connections = target_client_open(link->client);
        if (is_unused(link, now)) {
            link->target->connections = 0;
            g_hash_table_iter_remove(&iter);
        }
    }
}
