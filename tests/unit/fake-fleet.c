#include "fake-fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "protocol/gossip-codec.h"
#include "protocol/view-codec.h"

#define DELAY_MIN_US 500
#define DELAY_SPREAD_US 2000
#define STORE_US 5000 /* of an answer */
#define SUBNET 0x0a000000U
#define PORT 7720
#define SEEDS 3
#define TARGETS 64

struct delivery {
    uint64_t at;
    size_t from;
    size_t to;
    size_t size;
    uint8_t *data;
};

static gboolean
is_idle(gpointer key, gpointer value, gpointer now)
{
    return *(uint64_t *)value + FLEET_LINK_IDLE_US < *(uint64_t *)now;
}

/* Counts the connections that a balancer would have open for sending. */
static void
note_link(struct fleet_node *node, uint32_t addr)
{
    uint64_t *used = g_new(uint64_t, 1);

    *used = node->fleet->now;
    g_hash_table_insert(node->links, GUINT_TO_POINTER(addr), used);
    g_hash_table_foreach_remove(node->links, is_idle, &node->fleet->now);
    if (g_hash_table_size(node->links) > node->links_peak) {
        node->links_peak = g_hash_table_size(node->links);
    }
}

static void
send_bytes(struct fleet_node *node, uint32_t addr, const uint8_t *data,
           size_t size)
{
    struct fleet *fleet = node->fleet;
    size_t to = addr - SUBNET - 1;
    struct delivery *d;

    note_link(node, addr);
    node->messages_out++;
    node->bytes_out += size;
    if (to >= fleet->node_count || fleet->nodes[to].side != node->side ||
        random_unit(&fleet->random) < fleet->loss) {
        return;
    }
    d = g_new0(struct delivery, 1);
    d->at = fleet->now + DELAY_MIN_US +
            random_below(&fleet->random, DELAY_SPREAD_US);
    d->from = node->index;
    d->to = to;
    d->size = size;
    d->data = g_memdup2(data, size);
    g_queue_push_tail(fleet->wire, d);
}

static void
send_gossip(void *ctx, uint32_t addr, uint16_t port,
            const struct gossip_message *m)
{
    static uint8_t data[GOSSIP_MESSAGE_SIZE_MAX];

    send_bytes(ctx, addr, data, gossip_encode(m, data, sizeof(data)));
}

static void
send_view(void *ctx, const struct member_info *const *peers, size_t count,
          const struct view_message *m)
{
    size_t size;
    uint8_t *data = view_encode(m, &size);

    for (size_t i = 0; i < count; i++) {
        send_bytes(ctx, peers[i]->addr, data, size);
    }
    free(data);
}

static void
on_changed(void *ctx)
{
}

static void
on_reported(void *ctx, uint32_t cookie, unsigned misses, uint64_t sent_at)
{
}

static void
on_member_changed(void *ctx, const struct member *m)
{
}

static void
on_paused(void *ctx, uint64_t gap_us)
{
    struct fleet_node *node = ctx;

    freshness_reset(&node->freshness);
}

static void
on_reconnect(void *ctx, uint32_t addr, uint16_t port)
{
}

static uint64_t
on_hold_until(void *ctx, const struct forward_target *target, uint64_t now)
{
    struct fleet_node *node = ctx;

    return target_lapse_keep_until(&node->absence, target->record.draining,
                                   now);
}

static void
start_call(struct fleet_node *node, bool is_read, bool is_stale)
{
    node->calls++;
    node->calling = true;
    node->call_is_read = is_read;
    node->call_is_stale = is_stale;
    node->call_sent = node->fleet->now;
    node->answer_at = 0;
}

static void
on_read_wanted(void *ctx, bool stale)
{
    struct fleet_node *node = ctx;

    node->call_wait = 0;
    start_call(node, true, stale);
}

static void
on_watch_wanted(void *ctx, uint64_t after, uint64_t wait_us)
{
    struct fleet_node *node = ctx;

    node->call_after = after;
    node->call_wait = wait_us;
    start_call(node, false, false);
}

static void
on_stop_watch(void *ctx)
{
    struct fleet_node *node = ctx;

    node->calling = false;
}

/* The entry of the target that a revision wrote. */
static struct target_record
entry_at(uint64_t revision)
{
    struct target_record t = {
        .service = g_intern_string("s"),
        .domain = g_intern_string("a"),
        .slots = 2,
        .created = revision % TARGETS + 1,
        .revision = revision,
    };

    snprintf(t.id, sizeof(t.id), "i-%llu",
             (unsigned long long)(revision % TARGETS));
    return t;
}

static void
fill_news(const struct fleet_node *node, struct view_delta *news)
{
    const struct fleet *fleet = node->fleet;
    uint64_t to = fleet->revision;
    uint64_t from = node->call_is_read ? 0 : node->call_after;

    if (node->call_is_read && node->call_is_stale) {
        to = to > fleet->stale_by ? to - fleet->stale_by : 0;
    }
    if (to > TARGETS && from < to - TARGETS) {
        from = to - TARGETS;
    }
    news->from = 0;
    news->to = to;
    news->targets_complete = node->call_is_read;
    for (uint64_t r = from + 1; r <= to; r++) {
        struct target_record t = entry_at(r);

        g_array_append_val(news->targets, t);
    }
}

static void
end_call(struct fleet_node *node, enum view_reader_result end)
{
    uint64_t now = node->fleet->now;
    struct view_delta news;

    node->calling = false;
    view_delta_init(&news);
    if (end == VIEW_READER_ANSWERED) {
        fill_news(node, &news);
    }
    if (node->call_is_read) {
        view_reader_on_read(node->reader, end, &news, now);
    }
    else {
        view_reader_on_watch(node->reader, end, &news, now);
    }
    view_delta_clear(&news);
}

/* The store answers a watch when there is something new, or its wait is
 * over. */
static void
step_call(struct fleet_node *node)
{
    struct fleet *fleet = node->fleet;
    uint64_t waited = fleet->now - node->call_sent;
    bool due = node->call_is_read || fleet->revision > node->call_after ||
               waited >= node->call_wait;

    if (fleet->down || node->path == STORE_SILENT) {
        node->answer_at = 0;
        if (waited >= node->call_wait + FLEET_CALL_LIMIT_US) {
            end_call(node, VIEW_READER_FAILED);
        }
        return;
    }
    if (node->path == STORE_REFUSES) {
        if (waited >= STORE_US) {
            end_call(node, VIEW_READER_FAILED);
        }
        return;
    }
    if (due && node->answer_at == 0) {
        node->answer_at = fleet->now + STORE_US;
    }
    if (node->answer_at == 0 || fleet->now < node->answer_at) {
        return;
    }
    if (!node->call_is_read && node->call_after < fleet->compacted) {
        end_call(node, VIEW_READER_COMPACTED);
        return;
    }
    end_call(node, VIEW_READER_ANSWERED);
}

static void
step_node(struct fleet_node *node)
{
    uint64_t now = node->fleet->now;

    if (now < node->frozen_until) {
        return;
    }
    if (node->frozen_until != 0) {
        node->frozen_until = 0;
        on_paused(node, now - node->frozen_at);
    }
    if (node->calling) {
        step_call(node);
    }
    if ((now / FLEET_STEP_US + node->index) %
            (MEMBERSHIP_TICK_US / FLEET_STEP_US) ==
        0) {
        membership_tick(node->members, now);
        view_sync_tick(node->sync, now);
        forward_view_expire_lapsed(node->view, now);
        view_reader_tick(node->reader, now);
    }
}

static void
receive(struct fleet_node *node, const uint8_t *data, size_t size)
{
    static struct gossip_message gossip;
    struct view_message m;
    uint64_t now = node->fleet->now;

    if (!view_is_message(data, size)) {
        if (gossip_decode(&gossip, data, size)) {
            membership_receive(node->members, &gossip, now);
        }
        return;
    }
    memset(&m, 0, sizeof(m));
    view_delta_init(&m.delta);
    if (view_decode(&m, data, size)) {
        node->records_in += m.delta.targets->len;
        view_sync_receive(node->sync, &m, now);
    }
    view_delta_clear(&m.delta);
}

/* Hands over what is due. What is for a frozen process waits. */
static void
deliver(struct fleet *fleet)
{
    GList *next;

    for (GList *it = fleet->wire->head; it != NULL; it = next) {
        struct delivery *d = it->data;
        struct fleet_node *to = &fleet->nodes[d->to];

        next = it->next;
        if (d->at > fleet->now ||
            (to->running && fleet->now < to->frozen_until)) {
            continue;
        }
        g_queue_unlink(fleet->wire, it);
        if (to->running && fleet->nodes[d->from].side == to->side) {
            receive(to, d->data, d->size);
        }
        next = fleet->wire->head == NULL ? NULL : next;
        g_free(d->data);
        g_free(d);
        g_list_free_1(it);
    }
}

void
fleet_step(struct fleet *fleet)
{
    fleet->now += FLEET_STEP_US;
    deliver(fleet);
    for (size_t i = 0; i < fleet->node_count; i++) {
        if (fleet->nodes[i].running) {
            step_node(&fleet->nodes[i]);
        }
    }
}

void
fleet_run(struct fleet *fleet, uint64_t us)
{
    for (uint64_t end = fleet->now + us; fleet->now < end;) {
        fleet_step(fleet);
    }
}

void
fleet_write(struct fleet *fleet)
{
    fleet->revision++;
    g_array_append_val(fleet->written_at, fleet->now);
}

static void
open_node(struct fleet_node *node)
{
    const struct membership_callbacks members_cb = {
        .send = send_gossip,
        .changed = on_member_changed,
        .paused = on_paused,
        .reconnect = on_reconnect,
        .ctx = node,
    };
    const struct forward_view_callbacks view_cb = {
        .retain_until = on_hold_until, .ctx = node};
    const struct view_sync_callbacks sync_cb = {.send = send_view,
                                                .changed = on_changed,
                                                .reported = on_reported,
                                                .ctx = node};
    const struct view_reader_callbacks reader_cb = {.read = on_read_wanted,
                                                    .watch = on_watch_wanted,
                                                    .stop_watch =
                                                        on_stop_watch,
                                                    .ctx = node};
    uint64_t now = node->fleet->now;

    freshness_init(&node->freshness, node->fleet->bound_us, now);
    target_lapse_init(&node->absence,
                      node->freshness.limits.watch_wait_us + USEC_PER_SEC);
    node->members =
        membership_new(&node->self, &members_cb, &node->random, now);
    for (uint32_t i = 0; i < SEEDS; i++) {
        membership_add_seed(node->members, SUBNET + 1 + i, PORT);
    }
    node->view = forward_view_new(&view_cb);
    node->sync = view_sync_new(node->view, node->members, &node->freshness,
                               &node->absence, &node->random, &sync_cb);
    node->reader = view_reader_new(node->view, &node->freshness, node->sync,
                                   &node->random, &reader_cb);
    view_reader_start(node->reader);
}

void
fleet_start_node(struct fleet *fleet, size_t index)
{
    struct fleet_node *node = &fleet->nodes[index];

    node->running = true;
    node->frozen_until = 0;
    node->disturbed_at = fleet->now;
    node->self.incarnation = fleet->now;
    node->links =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    node->links_peak = 0;
    open_node(node);
}

void
fleet_kill_node(struct fleet *fleet, size_t index)
{
    struct fleet_node *node = &fleet->nodes[index];

    node->running = false;
    node->calling = false;
    node->disturbed_at = fleet->now;
    view_reader_destroy(node->reader);
    view_sync_destroy(node->sync);
    forward_view_destroy(node->view);
    membership_destroy(node->members);
    g_hash_table_destroy(node->links);
}

struct fleet *
fleet_new(size_t nodes, size_t domains, uint64_t bound_us, uint64_t seed)
{
    struct fleet *fleet = g_new0(struct fleet, 1);

    fleet->now = 1000 * USEC_PER_SEC;
    fleet->bound_us = bound_us;
    fleet->node_count = nodes;
    fleet->nodes = g_new0(struct fleet_node, nodes);
    fleet->wire = g_queue_new();
    fleet->written_at = g_array_new(FALSE, TRUE, sizeof(uint64_t));
    g_array_set_size(fleet->written_at, 1);
    random_seed(&fleet->random, seed);
    fleet_write(fleet);
    for (size_t i = 0; i < nodes; i++) {
        struct fleet_node *node = &fleet->nodes[i];

        node->fleet = fleet;
        node->index = i;
        random_seed(&node->random, seed + 1 + i);
        snprintf(node->self.id, sizeof(node->self.id), "host-%zu", i);
        snprintf(node->self.domain, sizeof(node->self.domain), "domain-%zu",
                 i % domains);
        node->self.addr = SUBNET + 1 + (uint32_t)i;
        node->self.port = PORT;
        fleet_start_node(fleet, i);
    }
    return fleet;
}

void
fleet_destroy(struct fleet *fleet)
{
    struct delivery *d;

    for (size_t i = 0; i < fleet->node_count; i++) {
        if (fleet->nodes[i].running) {
            fleet_kill_node(fleet, i);
        }
    }
    while ((d = g_queue_pop_head(fleet->wire)) != NULL) {
        g_free(d->data);
        g_free(d);
    }
    g_queue_free(fleet->wire);
    g_array_free(fleet->written_at, TRUE);
    g_free(fleet->nodes);
    g_free(fleet);
}

uint64_t
fleet_calls(const struct fleet *fleet)
{
    uint64_t calls = 0;

    for (size_t i = 0; i < fleet->node_count; i++) {
        calls += fleet->nodes[i].calls;
    }
    return calls;
}

struct fleet_node *
fleet_watcher(struct fleet *fleet)
{
    for (size_t i = 0; i < fleet->node_count; i++) {
        if (fleet->nodes[i].running &&
            view_reader_is_watching(fleet->nodes[i].reader)) {
            return &fleet->nodes[i];
        }
    }
    return NULL;
}
