#include "daemon/target-links.h"

#include <stdlib.h>

struct target_links {
    struct data_task *task;
    GHashTable *by_target; /* struct target_state -> struct link, owned */
};

struct link {
    struct target_state *target; /* with a reference */
    struct target_client *client;
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
    g_hash_table_insert(links->by_target, t, link);
    return link->client;
}

void
target_links_sweep(struct target_links *links)
{
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, links->by_target);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct link *link = value;

        link->target->connections = target_client_open(link->client);
        if (link->target->removed && target_client_busy(link->client) == 0) {
            g_hash_table_iter_remove(&iter);
        }
    }
}
