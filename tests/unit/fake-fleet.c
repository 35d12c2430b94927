#include "fake-fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "protocol/gossip-codec.h"
#include "protocol/snapshot-codec.h"
#include "protocol/view-codec.h"
#include "route-fixture.h"

/* Delay of a message: the minimum plus a random part below the range */
#define DELAY_MIN_US 500
#define DELAY_RANGE_US 2000
/* Time that the store takes to answer a call */
#define STORE_LATENCY_US 5000
/* A shorter pause is not noticed, as in daemon/pause-detector.c. */
#define PAUSE_MIN_US (750 * USEC_PER_MSEC)
/* Balancer i has the address SUBNET_ADDR + 1 + i. */
#define SUBNET_ADDR 0x0a000000U
#define PORT 7720
#define SEED_COUNT 3 /* the first balancers are the seeds */

/* A message in transit. */
struct delivery {
    uint64_t due_at; /* arrival at the receiver */
    size_t from;     /* index of the sender */
    size_t to;       /* index of the receiver */
    size_t size;
    uint8_t *data; /* owned */
};

/* The time of a balancer's clock, which stops while its host is suspended. */
static uint64_t
clock_of(const struct fleet_node *node)
{
    return node->fleet->now - node->suspended_us;
}

static gboolean
is_link_idle(gpointer key, gpointer value, gpointer now)
{
    return *(uint64_t *)value + FLEET_LINK_IDLE_US < *(uint64_t *)now;
}

/* Whether a balancer sends to a peer on the connection that the peer has
 * opened, by the rule of transport/gossip-endpoint.c. */
static bool
uses_link_of_peer(const struct fleet_node *node, uint32_t addr)
{
    const struct fleet *fleet = node->fleet;
    size_t index = addr - SUBNET_ADDR - 1;
    const uint64_t *used;

    if (index >= fleet->node_count || !fleet->nodes[index].running) {
        return false;
    }
    used = g_hash_table_lookup(fleet->nodes[index].links,
                               GUINT_TO_POINTER(node->self.addr));
    return used != NULL && *used + FLEET_LINK_FRESH_US >= fleet->now &&
           (addr < node->self.addr ||
            !g_hash_table_contains(node->links, GUINT_TO_POINTER(addr)));
}

/* Records that a balancer sends to a peer over its connection, which is opened
 * if there is none. Also closes its idle connections and updates links_max. */
static void
record_link_use(struct fleet_node *node, uint32_t addr)
{
    uint64_t *used;

    if (uses_link_of_peer(node, addr)) {
        return;
    }
    used = g_new(uint64_t, 1);
    *used = node->fleet->now;
    g_hash_table_insert(node->links, GUINT_TO_POINTER(addr), used);
    g_hash_table_foreach_remove(node->links, is_link_idle, &node->fleet->now);
    if (g_hash_table_size(node->links) > node->links_max) {
        node->links_max = g_hash_table_size(node->links);
    }
}

static void
send_message(struct fleet_node *node, uint32_t addr, const uint8_t *data,
             size_t size)
{
    struct fleet *fleet = node->fleet;
    size_t to = addr - SUBNET_ADDR - 1;
    struct delivery *d;

    record_link_use(node, addr);
    node->messages_out++;
    node->bytes_out += size;
    if (to >= fleet->node_count ||
        fleet->nodes[to].partition != node->partition ||
        random_unit(&fleet->random) < fleet->loss) {
        return;
    }
    d = g_new0(struct delivery, 1);
    d->due_at = fleet->now + fleet->delay_us + DELAY_MIN_US +
                random_below(&fleet->random, DELAY_RANGE_US);
    d->from = node->index;
    d->to = to;
    d->size = size;
    d->data = g_memdup2(data, size);
    g_queue_push_tail(fleet->deliveries, d);
}

static void
send_gossip(void *ctx, uint32_t addr, uint16_t port,
            const struct gossip_message *m)
{
    static uint8_t data[GOSSIP_MESSAGE_SIZE_MAX];

    send_message(ctx, addr, data, gossip_encode(m, data, sizeof(data)));
}

static void
send_view(void *ctx, const struct member_info *const *peers, size_t count,
          const struct view_message *m)
{
    size_t size;
    uint8_t *data = view_encode(m, &size);

    for (size_t i = 0; i < count; i++) {
        send_message(ctx, peers[i]->addr, data, size);
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
on_slow_targets(void *ctx, const struct slow_target_record *records,
                size_t count, bool relay)
{
    struct fleet_node *node = ctx;

    target_speed_receive(node->speed, records, count, relay, clock_of(node));
}

static void
send_slow_targets(struct fleet_node *node, enum target_speed_reach reach,
                  uint64_t now)
{
    struct slow_target_record records[SLOW_TARGET_RECORDS_MAX];
    size_t count = target_speed_export(node->speed, records,
                                       SLOW_TARGET_RECORDS_MAX, reach, now);

    if (count > 0) {
        view_sync_send_slow_targets(node->sync, records, count,
                                    reach == TARGET_SPEED_ALL, now);
    }
}

static void
on_member_changed(void *ctx, const struct member *m)
{
    struct fleet_node *node = ctx;

    view_sync_on_member(node->sync, m);
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
on_retain_until(void *ctx, const struct forward_target *target, uint64_t now)
{
    struct fleet_node *node = ctx;

    return target_lapse_keep_until(&node->target_lapse,
                                   target->record.draining, now);
}

static void
start_call(struct fleet_node *node, bool is_read, bool is_stale)
{
    node->calls++;
    node->calling = true;
    node->call_is_read = is_read;
    node->call_is_stale = is_stale;
    node->call_is_snapshot = false;
    node->call_sent_at = node->fleet->now;
    node->answer_at = 0;
}

static void
on_read(void *ctx, bool stale)
{
    struct fleet_node *node = ctx;

    node->call_wait_us = 0;
    node->full_reads++;
    start_call(node, true, stale);
}

static void
on_read_snapshot(void *ctx)
{
    struct fleet_node *node = ctx;

    node->call_wait_us = 0;
    start_call(node, true, true);
    node->call_is_snapshot = true;
}

static void
on_watch(void *ctx, struct store_position after, uint64_t wait_us)
{
    struct fleet_node *node = ctx;

    node->call_after = after;
    node->call_wait_us = wait_us;
    start_call(node, false, false);
}

static void
on_ask_peers(void *ctx)
{
    struct fleet_node *node = ctx;

    for (uint32_t i = 0; i < SEED_COUNT; i++) {
        if (SUBNET_ADDR + 1 + i != node->self.addr) {
            view_sync_pull_from(node->sync, SUBNET_ADDR + 1 + i, PORT,
                                clock_of(node));
        }
    }
    view_sync_pull(node->sync, clock_of(node));
}

static void
on_stop_watch(void *ctx)
{
    struct fleet_node *node = ctx;

    node->calling = false;
}

void
fleet_target_id(size_t target, char id[TARGET_ID_SIZE])
{
    snprintf(id, TARGET_ID_SIZE, "i-%zu", target);
}

struct store_position
fleet_position(const struct fleet *fleet)
{
    return (struct store_position){.era = fleet->era,
                                   .revision = fleet->revision};
}

static const struct fleet_change *
change_at(const struct fleet *fleet, uint64_t revision)
{
    return &g_array_index(fleet->changes, struct fleet_change, revision);
}

/* Returns the order that a revision gave or took back. */
static struct target_record
order_at_revision(const struct fleet *fleet, uint64_t revision)
{
    const struct fleet_change *change = change_at(fleet, revision);
    struct target_record t = {
        .kind = RECORD_EMPTIED_DOMAIN,
        .service = g_intern_string("-"),
        .domain = change->emptied_domain,
        .draining = true,
        .removed = change->removed,
        .created = {.era = fleet->era, .revision = revision},
        .position = {.era = fleet->era, .revision = revision},
    };

    emptied_domain_id(change->emptied_domain, t.id);
    return t;
}

/* Returns the target entry that a revision wrote. */
static struct target_record
target_at_revision(const struct fleet *fleet, uint64_t revision)
{
    const struct fleet_change *change = change_at(fleet, revision);
    struct target_record t = {
        .service = g_intern_string("s"),
        .domain = g_intern_string("a"),
        .slots = 2,
        .draining = change->draining,
        .created = {.era = fleet->era, .revision = change->target + 1},
        .position = {.era = fleet->era, .revision = revision},
        .sequence = change->sequence,
    };

    fleet_target_id(change->target, t.id);
    return t;
}

/* Adds the only route. */
static void
add_routes(const struct fleet *fleet, struct view_delta *delta)
{
    const struct route_record route = {
        .addr = SUBNET_ADDR,
        .port = PORT,
        .shares = fixture_share("s", 0),
    };

    view_delta_add_route(delta, &route);
    delta->routes_complete = true;
    delta->routes_position =
        (struct store_position){.era = fleet->era, .revision = 1};
    delta->routes_version = 1;
}

/* Whether a list of all entries as of the revision "to" contains what a
 * revision wrote: not if that was an order that has been taken back. */
static bool
is_listed(const struct fleet *fleet, uint64_t revision, uint64_t to)
{
    const char *domain = change_at(fleet, revision)->emptied_domain;

    for (uint64_t r = revision; domain != NULL && r <= to; r++) {
        if (change_at(fleet, r)->emptied_domain == domain &&
            change_at(fleet, r)->removed) {
            return false;
        }
    }
    return true;
}

/* Fills "delta" with the store's answer to the call in progress. The entry of
 * a target that was written several times may be included with each of them.
 */
static void
fill_delta(const struct fleet_node *node, struct view_delta *delta)
{
    const struct fleet *fleet = node->fleet;
    uint64_t to = node->answer_revision;
    uint64_t from = node->call_is_read ? 0 : node->call_after.revision;

    if (node->call_is_read && node->call_is_stale) {
        to = to > fleet->stale_by ? to - fleet->stale_by : 0;
    }
    delta->to = (struct store_position){.era = fleet->era, .revision = to};
    delta->targets_complete = node->call_is_read;
    if (node->call_is_read) {
        add_routes(fleet, delta);
    }
    for (uint64_t r = from + 1; r <= to; r++) {
        struct target_record t = change_at(fleet, r)->emptied_domain == NULL
                                     ? target_at_revision(fleet, r)
                                     : order_at_revision(fleet, r);

        if (!change_at(fleet, r)->is_snapshot &&
            (!node->call_is_read || is_listed(fleet, r, to))) {
            g_array_append_val(delta->targets, t);
        }
    }
}

/* Passes the snapshot in the store to a balancer, if there is a valid one. */
static void
complete_snapshot_read(struct fleet_node *node)
{
    const struct fleet *fleet = node->fleet;
    struct view_delta delta;
    bool valid;

    view_delta_init(&delta);
    valid = fleet->snapshot != NULL &&
            snapshot_decode(fleet->snapshot, fleet->snapshot_size, &delta);
    if (fleet->snapshot != NULL) {
        view_snapshot_on_seen(&node->snapshot, fleet->snapshot_position,
                              valid ? &delta : NULL);
    }
    valid = valid && delta.to.era == fleet->era;
    view_reader_on_snapshot(node->reader, valid ? &delta : NULL,
                            view_snapshot_is_outdated(&node->snapshot,
                                                      delta.targets->len,
                                                      fleet_position(fleet)),
                            fleet->era, clock_of(node));
    view_delta_clear(&delta);
}

/* Notifies a balancer of a snapshot that the answer to a watch or to a read of
 * all entries contains. */
static void
see_snapshot(struct fleet_node *node)
{
    const struct fleet *fleet = node->fleet;
    struct view_delta delta;
    bool valid;

    if (fleet->snapshot == NULL) {
        view_snapshot_on_seen(&node->snapshot, fleet->snapshot_position, NULL);
        return;
    }
    if (store_position_equal(fleet->snapshot_position,
                             node->snapshot.key_position)) {
        return;
    }
    view_delta_init(&delta);
    valid = snapshot_decode(fleet->snapshot, fleet->snapshot_size, &delta);
    view_snapshot_on_seen(&node->snapshot, fleet->snapshot_position,
                          valid ? &delta : NULL);
    view_delta_clear(&delta);
}

static void
complete_call(struct fleet_node *node, enum view_reader_result result)
{
    uint64_t now = clock_of(node);
    struct view_delta delta;

    node->calling = false;
    if (node->call_is_snapshot && result != VIEW_READER_ANSWERED) {
        view_reader_on_snapshot(node->reader, NULL, false, 0, now);
        return;
    }
    if (node->call_is_snapshot) {
        complete_snapshot_read(node);
        return;
    }
    if (result == VIEW_READER_ANSWERED) {
        view_snapshot_on_store_answer(&node->snapshot, now);
        see_snapshot(node);
    }
    view_delta_init(&delta);
    if (result == VIEW_READER_ANSWERED) {
        fill_delta(node, &delta);
    }
    if (node->call_is_read) {
        view_reader_on_read(node->reader, result, &delta, now);
    }
    else {
        view_reader_on_watch(node->reader, result, &delta,
                             node->answer_revision ==
                                 node->call_after.revision,
                             node->fleet->era, now);
    }
    view_delta_clear(&delta);
}

/* Whether the store answers a call with an error. */
static bool
is_call_refused(const struct fleet_node *node)
{
    return node->store_mode == FLEET_STORE_REFUSES &&
           node->fleet->now >= node->call_sent_at + STORE_LATENCY_US;
}

/* Simulates the store for the call in progress, also while the caller is
 * paused. The store answers a read at once, and a watch when there is a newer
 * revision or its wait has ended. The answer contains nothing newer, and
 * arrives STORE_LATENCY_US and the delay of the caller's path later. */
static void
run_store(struct fleet_node *node)
{
    const struct fleet *fleet = node->fleet;
    bool due = node->call_is_read || fleet->era != node->call_after.era ||
               fleet->revision > node->call_after.revision ||
               fleet->now >= node->call_sent_at + node->call_wait_us;

    if (fleet->store_down || node->store_mode != FLEET_STORE_ANSWERS) {
        node->answer_at = 0;
        return;
    }
    if (node->answer_at != 0 && node->answer_era != fleet->era) {
        node->answer_at = 0;
    }
    if (due && node->answer_at == 0) {
        node->answer_at =
            fleet->now + STORE_LATENCY_US + node->answer_delay_us;
        node->answer_revision = fleet->revision;
        node->answer_era = fleet->era;
    }
}

/* Ends the call in progress if its answer has arrived, or if it has failed. */
static void
end_store_call(struct fleet_node *node)
{
    const struct fleet *fleet = node->fleet;

    if (node->answer_at != 0 && fleet->now >= node->answer_at) {
        bool compacted = !node->call_is_read &&
                         (node->call_after.era != fleet->era ||
                          node->call_after.revision < fleet->compacted);

        complete_call(node, compacted ? VIEW_READER_COMPACTED
                                      : VIEW_READER_ANSWERED);
        return;
    }
    if (is_call_refused(node) || fleet->now >= node->call_sent_at +
                                                   node->call_wait_us +
                                                   FLEET_CALL_TIMEOUT_US) {
        complete_call(node, VIEW_READER_FAILED);
    }
}

static void
end_snapshot_call(struct fleet_node *node)
{
    g_free(node->snapshot_data);
    node->snapshot_data = NULL;
    node->snapshot_call = VIEW_SNAPSHOT_NONE;
}

/* Simulates the store for a call that checks or writes the snapshot. */
static void
run_snapshot_call(struct fleet_node *node)
{
    struct fleet *fleet = node->fleet;
    bool available =
        !fleet->store_down && node->store_mode == FLEET_STORE_ANSWERS;
    uint64_t waited = clock_of(node) - node->snapshot_sent_at;

    if (waited < (available ? STORE_LATENCY_US : FLEET_CALL_TIMEOUT_US)) {
        return;
    }
    if (node->snapshot_call == VIEW_SNAPSHOT_READ) {
        if (available) {
            see_snapshot(node);
        }
        view_snapshot_on_read(&node->snapshot, available, clock_of(node));
    }
    else if (!available) {
        view_snapshot_on_write(&node->snapshot, VIEW_SNAPSHOT_FAILED,
                               (struct store_position){0}, clock_of(node));
    }
    else if (!store_position_equal(node->snapshot_expected,
                                   fleet->snapshot_position)) {
        view_snapshot_on_write(&node->snapshot, VIEW_SNAPSHOT_CONFLICT,
                               (struct store_position){0}, clock_of(node));
    }
    else {
        fleet_put_snapshot(fleet, node->snapshot_data, node->snapshot_size);
        view_snapshot_on_write(&node->snapshot, VIEW_SNAPSHOT_WRITTEN,
                               fleet->snapshot_position, clock_of(node));
    }
    end_snapshot_call(node);
}

/* Starts the call for the snapshot that is due. */
static void
update_snapshot(struct fleet_node *node, uint64_t now)
{
    if (!view_reader_is_watching(node->reader)) {
        return;
    }
    node->snapshot_call = view_snapshot_due(&node->snapshot, node->view, now);
    if (node->snapshot_call == VIEW_SNAPSHOT_NONE) {
        return;
    }
    node->calls++;
    node->snapshot_sent_at = now;
    node->snapshot_expected = node->snapshot.key_position;
    if (node->snapshot_call == VIEW_SNAPSHOT_WRITE) {
        node->snapshot_data =
            snapshot_encode(node->view, now, &node->snapshot_size);
    }
}

static void
end_pause(struct fleet_node *node)
{
    uint64_t length_us = node->fleet->now - node->frozen_at;

    node->frozen_until = 0;
    if (node->suspends) {
        node->suspended_us += length_us;
        view_reader_on_suspended(node->reader, length_us);
    }
    if (node->suspends || length_us > PAUSE_MIN_US) {
        on_paused(node, length_us);
    }
}

static void
run_node(struct fleet_node *node)
{
    uint64_t now;

    if (node->calling) {
        run_store(node);
    }
    if (node->fleet->now < node->frozen_until) {
        return;
    }
    if (node->frozen_until != 0) {
        end_pause(node);
    }
    now = clock_of(node);
    if (node->calling) {
        end_store_call(node);
    }
    if (node->snapshot_call != VIEW_SNAPSHOT_NONE) {
        run_snapshot_call(node);
    }
    if ((node->fleet->now / FLEET_STEP_US + node->index) %
            (FLEET_SPEED_US / FLEET_STEP_US) ==
        0) {
        send_slow_targets(node, TARGET_SPEED_ALL, now);
        send_slow_targets(node, TARGET_SPEED_DOMAIN_SOON, now);
        send_slow_targets(node, TARGET_SPEED_DOMAIN, now);
    }
    if ((node->fleet->now / FLEET_STEP_US + node->index) %
            (MEMBERSHIP_TICK_US / FLEET_STEP_US) ==
        0) {
        membership_tick(node->members, now);
        view_sync_tick(node->sync, now);
        forward_view_expire_lapsed(node->view, now);
        forward_view_expire_held(node->view, node->freshness.confirmed_at,
                                 now);
        view_reader_tick(node->reader, now);
        if (node->snapshot_call == VIEW_SNAPSHOT_NONE) {
            update_snapshot(node, now);
        }
    }
}

static void
receive_message(struct fleet_node *node, const uint8_t *data, size_t size)
{
    static struct gossip_message gossip;
    struct view_message m;
    uint64_t now = clock_of(node);

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

/* Delivers the messages that are due. Messages to a paused process stay
 * queued until it resumes. */
static void
deliver_due(struct fleet *fleet)
{
    GList *next;

    for (GList *it = fleet->deliveries->head; it != NULL; it = next) {
        struct delivery *d = it->data;
        struct fleet_node *to = &fleet->nodes[d->to];

        next = it->next;
        if (d->due_at > fleet->now ||
            (to->running && fleet->now < to->frozen_until)) {
            continue;
        }
        g_queue_unlink(fleet->deliveries, it);
        if (to->running && fleet->nodes[d->from].partition == to->partition) {
            receive_message(to, d->data, d->size);
        }
        next = fleet->deliveries->head == NULL ? NULL : next;
        g_free(d->data);
        g_free(d);
        g_list_free_1(it);
    }
}

void
fleet_step(struct fleet *fleet)
{
    fleet->now += FLEET_STEP_US;
    deliver_due(fleet);
    for (size_t i = 0; i < fleet->node_count; i++) {
        if (fleet->nodes[i].running) {
            run_node(&fleet->nodes[i]);
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

static void
add_change(struct fleet *fleet, struct fleet_change change)
{
    fleet->revision++;
    change.written_at = fleet->now;
    g_array_append_val(fleet->changes, change);
}

void
fleet_write_target(struct fleet *fleet, size_t target, bool draining)
{
    fleet->sequence++;
    add_change(fleet, (struct fleet_change){.target = target,
                                            .draining = draining,
                                            .sequence = fleet->sequence});
}

void
fleet_write_order(struct fleet *fleet, const char *domain, bool emptied)
{
    add_change(fleet,
               (struct fleet_change){.emptied_domain = g_intern_string(domain),
                                     .removed = !emptied});
}

void
fleet_write(struct fleet *fleet)
{
    fleet_write_target(fleet, (fleet->revision + 1) % FLEET_TARGET_COUNT,
                       false);
}

void
fleet_restore(struct fleet *fleet, uint64_t revision)
{
    fleet->era++;
    fleet->revision = revision;
    g_array_set_size(fleet->changes, (guint)revision + 1);
    if (fleet->snapshot_position.revision > revision) {
        g_free(fleet->snapshot);
        fleet->snapshot = NULL;
        fleet->snapshot_position.revision = 0;
    }
    fleet->snapshot_position.era = fleet->era;
}

void
fleet_put_snapshot(struct fleet *fleet, const uint8_t *data, size_t size)
{
    add_change(fleet, (struct fleet_change){.is_snapshot = true});
    g_free(fleet->snapshot);
    fleet->snapshot = data == NULL ? NULL : g_memdup2(data, size);
    fleet->snapshot_size = size;
    fleet->snapshot_position = fleet_position(fleet);
    if (data == NULL) {
        fleet->snapshot_position.revision = 0;
    }
    fleet->snapshot_writes++;
}

static void
create_control_plane(struct fleet_node *node)
{
    const struct membership_callbacks members_cb = {
        .send = send_gossip,
        .changed = on_member_changed,
        .paused = on_paused,
        .reconnect = on_reconnect,
        .ctx = node,
    };
    const struct forward_view_callbacks view_cb = {
        .retain_until = on_retain_until, .ctx = node};
    const struct view_sync_callbacks sync_cb = {.send = send_view,
                                                .changed = on_changed,
                                                .reported = on_reported,
                                                .slow_targets =
                                                    on_slow_targets,
                                                .ctx = node};
    const struct view_reader_callbacks reader_cb = {
        .read_snapshot = on_read_snapshot,
        .read = on_read,
        .ask_peers = on_ask_peers,
        .watch = on_watch,
        .stop_watch = on_stop_watch,
        .ctx = node,
    };
    uint64_t now = clock_of(node);

    freshness_init(&node->freshness, node->fleet->bound_us, now);
    target_lapse_init(&node->target_lapse,
                      node->freshness.limits.watch_wait_us + USEC_PER_SEC);
    node->members =
        membership_new(&node->self, &members_cb, &node->random, now);
    for (uint32_t i = 0; i < SEED_COUNT; i++) {
        membership_add_seed(node->members, SUBNET_ADDR + 1 + i, PORT);
    }
    view_snapshot_init(&node->snapshot);
    node->speed = target_speed_new(node->index);
    node->view = forward_view_new(&view_cb);
    node->sync = view_sync_new(node->view, node->members, &node->freshness,
                               &node->target_lapse, &node->random, &sync_cb);
    node->reader = view_reader_new(node->view, node->members, &node->freshness,
                                   node->sync, &node->random, &reader_cb);
    view_reader_start(node->reader);
}

void
fleet_start_node(struct fleet *fleet, size_t index)
{
    struct fleet_node *node = &fleet->nodes[index];

    node->running = true;
    node->frozen_until = 0;
    node->last_fault_at = fleet->now;
    node->self.incarnation = fleet->now;
    node->links =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    node->links_max = 0;
    create_control_plane(node);
}

void
fleet_kill_node(struct fleet *fleet, size_t index)
{
    struct fleet_node *node = &fleet->nodes[index];

    node->running = false;
    node->calling = false;
    end_snapshot_call(node);
    node->last_fault_at = fleet->now;
    view_reader_destroy(node->reader);
    view_sync_destroy(node->sync);
    target_speed_destroy(node->speed);
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
    fleet->deliveries = g_queue_new();
    fleet->changes = g_array_new(FALSE, TRUE, sizeof(struct fleet_change));
    g_array_set_size(fleet->changes, 1);
    random_seed(&fleet->random, seed);
    for (int i = 0; i < FLEET_TARGET_COUNT; i++) {
        fleet_write(fleet);
    }
    for (size_t i = 0; i < nodes; i++) {
        struct fleet_node *node = &fleet->nodes[i];

        node->fleet = fleet;
        node->index = i;
        random_seed(&node->random, seed + 1 + i);
        snprintf(node->self.id, sizeof(node->self.id), "host-%zu", i);
        snprintf(node->self.domain, sizeof(node->self.domain), "domain-%zu",
                 i % domains);
        node->self.addr = SUBNET_ADDR + 1 + (uint32_t)i;
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
    while ((d = g_queue_pop_head(fleet->deliveries)) != NULL) {
        g_free(d->data);
        g_free(d);
    }
    g_queue_free(fleet->deliveries);
    g_array_free(fleet->changes, TRUE);
    g_free(fleet->snapshot);
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
