#include "state/recent-flows.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <xxhash.h>

struct recent_flows {
    GHashTable *table; /* key -> struct recent_flow */
    struct list order; /* least recently seen first */
    size_t max;
};

static guint
key_hash(gconstpointer key)
{
    return (guint)XXH64(key, sizeof(struct recent_flow_key), 0);
}

static gboolean
key_equal(gconstpointer a, gconstpointer b)
{
    return memcmp(a, b, sizeof(struct recent_flow_key)) == 0;
}

struct recent_flows *
recent_flows_new(size_t max)
{
    struct recent_flows *flows = calloc(1, sizeof(*flows));

    if (flows == NULL) {
        return NULL;
    }
    flows->max = max;
    flows->table = g_hash_table_new_full(key_hash, key_equal, NULL, g_free);
    list_init(&flows->order);
    return flows;
}

void
recent_flows_destroy(struct recent_flows *flows)
{
    if (flows == NULL) {
        return;
    }
    g_hash_table_destroy(flows->table);
    free(flows);
}

size_t
recent_flows_count(const struct recent_flows *flows)
{
    return g_hash_table_size(flows->table);
}

struct recent_flow *
recent_flows_find(struct recent_flows *flows,
                  const struct recent_flow_key *key)
{
    return g_hash_table_lookup(flows->table, key);
}

void
recent_flows_remove(struct recent_flows *flows, struct recent_flow *flow)
{
    list_remove(&flow->link);
    g_hash_table_remove(flows->table, &flow->key);
}

static struct recent_flow *
oldest(struct recent_flows *flows)
{
    return container_of(flows->order.next, struct recent_flow, link);
}

struct recent_flow *
recent_flows_touch(struct recent_flows *flows,
                   const struct recent_flow_key *key, uint64_t now)
{
    struct recent_flow *flow = recent_flows_find(flows, key);

    if (flow == NULL) {
        if (recent_flows_count(flows) >= flows->max) {
            recent_flows_remove(flows, oldest(flows));
        }
        flow = g_new0(struct recent_flow, 1);
        flow->key = *key;
        list_init(&flow->link);
        g_hash_table_insert(flows->table, &flow->key, flow);
    }
    list_remove(&flow->link);
    list_push_back(&flows->order, &flow->link);
    flow->seen_at = now;
    return flow;
}

void
recent_flows_expire(struct recent_flows *flows, uint64_t since)
{
    while (!list_empty(&flows->order) && oldest(flows)->seen_at < since) {
        recent_flows_remove(flows, oldest(flows));
    }
}

struct recent_flow *
recent_flows_first(struct recent_flows *flows)
{
    return list_empty(&flows->order) ? NULL : oldest(flows);
}

struct recent_flow *
recent_flows_next(struct recent_flows *flows, const struct recent_flow *flow)
{
    return flow->link.next == &flows->order
               ? NULL
               : container_of(flow->link.next, struct recent_flow, link);
}

struct recent_flow *
recent_flows_last(struct recent_flows *flows)
{
    return list_empty(&flows->order)
               ? NULL
               : container_of(flows->order.prev, struct recent_flow, link);
}

struct recent_flow *
recent_flows_previous(struct recent_flows *flows,
                      const struct recent_flow *flow)
{
    return flow->link.prev == &flows->order
               ? NULL
               : container_of(flow->link.prev, struct recent_flow, link);
}
