#include "fake-net.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "protocol/gossip-codec.h"

#define ADDR_BASE 0x7f100000U /* address of the first node */
#define PORT 7402
#define SEED_COUNT 3 /* the first nodes are the seeds */
/* Simulated time between two runs of each node */
#define STEP_US (10 * USEC_PER_MSEC)
/* Default of fake_node.apply_delay_us */
#define APPLY_DELAY_US (5 * USEC_PER_MSEC)
/* Wall clock at simulated time 0 */
#define WALL_BASE_US 1700000000000000ULL

/* A message in transit. */
struct fake_packet {
    uint64_t due_at;     /* arrival at the receiver */
    uint64_t send_order; /* number in sending order, decides between packets
                          * with equal "due_at" */
    size_t to;           /* index of the receiver */
    size_t from;         /* index of the sender */
    size_t size;
    uint8_t data[];
};

static uint64_t next_send_order;

static bool
arrives_before(const struct fake_packet *a, const struct fake_packet *b)
{
    return a->due_at != b->due_at ? a->due_at < b->due_at
                                  : a->send_order < b->send_order;
}

static void
heap_push(struct fake_net *net, struct fake_packet *p)
{
    size_t i = net->heap_count;

    if (i == net->packet_heap_capacity) {
        net->packet_heap_capacity = net->packet_heap_capacity == 0
                                        ? 1024
                                        : net->packet_heap_capacity * 2;
        net->heap =
            realloc(net->heap, net->packet_heap_capacity * sizeof(void *));
    }
    net->heap_count++;
    while (i > 0 && arrives_before(p, net->heap[(i - 1) / 2])) {
        net->heap[i] = net->heap[(i - 1) / 2];
        i = (i - 1) / 2;
    }
    net->heap[i] = p;
}

static struct fake_packet *
heap_pop(struct fake_net *net)
{
    struct fake_packet *top = net->heap[0];
    struct fake_packet *last = net->heap[net->heap_count - 1];
    size_t i = 0;

    net->heap_count--;
    for (;;) {
        size_t child = 2 * i + 1;

        if (child >= net->heap_count) {
            break;
        }
        if (child + 1 < net->heap_count &&
            arrives_before(net->heap[child + 1], net->heap[child])) {
            child++;
        }
        if (!arrives_before(net->heap[child], last)) {
            break;
        }
        net->heap[i] = net->heap[child];
        i = child;
    }
    net->heap[i] = last;
    return top;
}

static void
schedule_packet(struct fake_net *net, size_t from, size_t to,
                const uint8_t *data, size_t size)
{
    struct fake_packet *p = malloc(sizeof(*p) + size);
    uint64_t delay_range_us = net->delay_max_us - net->delay_min_us;

    p->due_at = net->now + net->delay_min_us +
                (delay_range_us > 0
                     ? random_below(&net->random, (uint32_t)delay_range_us)
                     : 0);
    p->send_order = next_send_order;
    next_send_order++;
    p->from = from;
    p->to = to;
    p->size = size;
    memcpy(p->data, data, size);
    heap_push(net, p);
}

static void
send_gossip(void *ctx, uint32_t addr, uint16_t port,
            const struct gossip_message *m)
{
    struct fake_node *node = ctx;
    struct fake_net *net = node->net;
    size_t to = addr - ADDR_BASE;
    uint8_t data[GOSSIP_MESSAGE_SIZE_MAX];
    size_t size = gossip_encode(m, data, sizeof(data));

    if (size == 0) {
        abort();
    }
    node->bytes_out += size;
    node->messages_out++;
    if (to >= net->node_count || random_unit(&net->random) < net->loss) {
        return;
    }
    schedule_packet(net, node->index, to, data, size);
    if (random_unit(&net->random) < net->duplication) {
        schedule_packet(net, node->index, to, data, size);
    }
}

static void
on_member_changed(void *ctx, const struct member *m)
{
}

static void
on_paused(void *ctx, uint64_t gap_us)
{
    struct fake_node *node = ctx;

    node->pauses++;
    config_sync_request_refresh(node->config_sync, node->net->now);
}

static void
on_reconnect(void *ctx, uint32_t addr, uint16_t port)
{
}

static void
on_fill_summary(void *ctx, struct gossip_message *m)
{
    struct fake_node *node = ctx;

    config_sync_fill_summary(node->config_sync, m);
}

static void
on_applied(void *ctx, const struct resource *r, uint64_t revision)
{
}

/* Schedules the time at which the node's data task applies the new
 * configuration. Keeps a time that is already scheduled. */
static void
on_completed(void *ctx, uint64_t revision)
{
    struct fake_node *node = ctx;

    if (node->apply_at == 0 && node->apply_delay_us != UINT64_MAX) {
        node->apply_at = node->net->now + node->apply_delay_us;
    }
}

static void
on_floors_raised(void *ctx)
{
}

static struct domain_status *
find_status(struct fake_net *net, const char *domain)
{
    for (size_t i = 0; i < net->status_count; i++) {
        if (strcmp(net->statuses[i].domain, domain) == 0) {
            return &net->statuses[i];
        }
    }
    return NULL;
}

static void
on_status_write(void *ctx, const struct domain_status *status)
{
    struct fake_node *node = ctx;
    struct fake_net *net = node->net;
    struct domain_status *stored = find_status(net, status->domain);

    node->store_calls++;
    if (net->store_down || node->store_unreachable) {
        report_on_write_done(node->report, false, net->now);
        return;
    }
    if (stored == NULL) {
        stored = &net->statuses[net->status_count];
        net->status_count++;
    }
    *stored = *status;
    net->status_writes++;
    report_on_write_done(node->report, true, net->now);
}

struct fake_net *
fake_net_new(size_t node_count, size_t domain_count, uint64_t seed)
{
    struct fake_net *net = calloc(1, sizeof(*net));

    net->nodes = calloc(node_count, sizeof(*net->nodes));
    net->decoded = calloc(1, sizeof(*net->decoded));
    net->node_count = node_count;
    net->now = 1000 * USEC_PER_SEC;
    net->delay_min_us = 500;
    net->delay_max_us = 1500;
    random_seed(&net->random, seed);
    for (size_t i = 0; i < node_count; i++) {
        struct fake_node *node = &net->nodes[i];

        node->net = net;
        node->index = i;
        node->apply_delay_us = APPLY_DELAY_US;
        snprintf(node->self.id, ID_SIZE, "h%zu", i);
        snprintf(node->self.domain, ID_SIZE, "d%zu", i % domain_count);
        node->self.addr = ADDR_BASE + (uint32_t)i;
        node->self.port = PORT;
        random_seed(&node->random, seed * 1000003 + i);
    }
    return net;
}

static void
destroy_control_plane(struct fake_node *node)
{
    report_destroy(node->report);
    config_sync_destroy(node->config_sync);
    membership_destroy(node->members);
    config_store_destroy(node->config);
    node->report = NULL;
    node->config_sync = NULL;
    node->members = NULL;
    node->config = NULL;
}

void
fake_net_destroy(struct fake_net *net)
{
    for (size_t i = 0; i < net->node_count; i++) {
        destroy_control_plane(&net->nodes[i]);
    }
    while (net->heap_count > 0) {
        free(heap_pop(net));
    }
    free(net->heap);
    free(net->changes);
    free(net->nodes);
    free(net->decoded);
    free(net);
}

void
fake_net_start(struct fake_net *net, size_t index)
{
    struct fake_node *node = &net->nodes[index];
    const struct membership_callbacks members_cb = {
        send_gossip,  on_member_changed, on_paused,
        on_reconnect, on_fill_summary,   node};
    const struct config_sync_callbacks sync_cb = {
        send_gossip, on_applied, on_completed, on_floors_raised, node};
    const struct report_callbacks report_cb = {send_gossip, on_status_write,
                                               node};

    node->self.incarnation = WALL_BASE_US + net->now;
    node->incarnations++;
    memset(&node->min_revisions, 0, sizeof(node->min_revisions));
    node->config = config_store_new();
    node->members =
        membership_new(&node->self, &members_cb, &node->random, net->now);
    node->config_sync =
        config_sync_new(node->config, node->members, &node->min_revisions,
                        &sync_cb, &node->random, net->now);
    node->report = report_new(node->members, node->config_sync, node->config,
                              &node->min_revisions, &report_cb, &node->random);
    for (size_t i = 0; i < SEED_COUNT && i < net->node_count; i++) {
        membership_add_seed(node->members, net->nodes[i].self.addr, PORT);
    }
    node->running = true;
    node->frozen = false;
    node->watcher = false;
    node->watching = false;
    node->store_changes_read = 0;
    node->applied = 0;
    node->apply_at = 0;
}

void
fake_net_start_all(struct fake_net *net)
{
    for (size_t i = 0; i < net->node_count; i++) {
        fake_net_start(net, i);
    }
}

void
fake_net_kill(struct fake_net *net, size_t index)
{
    net->nodes[index].running = false;
    destroy_control_plane(&net->nodes[index]);
}

static void
deliver_packet(struct fake_net *net, struct fake_packet *p)
{
    struct fake_node *to = &net->nodes[p->to];
    const struct fake_node *from = &net->nodes[p->from];

    if (to->running && to->frozen) {
        /* The packet stays in the socket until the process resumes. */
        p->due_at = net->now + STEP_US;
        heap_push(net, p);
        return;
    }
    if (to->running && to->partition == from->partition) {
        to->bytes_in += p->size;
        to->messages_in++;
        if (!gossip_decode(net->decoded, p->data, p->size)) {
            abort();
        }
        to->reports_received += net->decoded->kind == GOSSIP_REPORT;
        membership_receive(to->members, net->decoded, net->now);
        config_sync_receive(to->config_sync, net->decoded, net->now);
        report_receive(to->report, net->decoded);
    }
    free(p);
}

/* Simulates the watch of the store by a node: passes the changes that it has
 * not yet read, and all statuses, to its config_sync and report. A watch
 * counts as one call to the store, when it is opened. */
static void
read_store(struct fake_node *node)
{
    struct fake_net *net = node->net;

    if (!node->watcher || net->store_down || node->store_unreachable) {
        node->watching = false;
        return;
    }
    if (!node->watching) {
        node->watching = true;
        node->store_calls++;
    }
    for (; node->store_changes_read < net->change_count;
         node->store_changes_read++) {
        const struct fake_change *c = &net->changes[node->store_changes_read];

        config_sync_offer(node->config_sync, &c->resource, c->revision);
    }
    config_sync_mark_complete(node->config_sync);
    for (size_t i = 0; i < net->status_count; i++) {
        config_sync_raise_floor(node->config_sync, net->statuses[i].domain,
                                net->statuses[i].floor);
        if (strcmp(net->statuses[i].domain, node->self.domain) == 0) {
            report_on_stored_status(node->report, &net->statuses[i], net->now);
        }
    }
}

/* Runs a node that is not paused. "tick" is true once per
 * MEMBERSHIP_TICK_US. */
static void
run_node(struct fake_node *node, bool tick)
{
    struct fake_net *net = node->net;

    if (tick) {
        node->watcher = config_sync_is_watcher(node->config_sync, net->now);
    }
    read_store(node);
    if (node->apply_at != 0 && net->now >= node->apply_at) {
        node->apply_at = 0;
        node->applied = config_sync_revision(node->config_sync);
        report_applied(node->report, node->applied);
    }
    if (tick) {
        membership_tick(node->members, net->now);
        config_sync_tick(node->config_sync, net->now);
        report_tick(node->report, net->now, WALL_BASE_US + net->now);
    }
}

/* Advances the clock by STEP_US, delivers the packets that arrive until then,
 * and runs the nodes. */
static void
run_step(struct fake_net *net)
{
    uint64_t end = net->now + STEP_US;

    while (net->heap_count > 0 && net->heap[0]->due_at <= end) {
        struct fake_packet *p = heap_pop(net);

        if (p->due_at > net->now) {
            net->now = p->due_at;
        }
        deliver_packet(net, p);
    }
    net->now = end;
    for (size_t i = 0; i < net->node_count; i++) {
        struct fake_node *node = &net->nodes[i];
        /* Spreads the ticks of the nodes over the tick interval. */
        uint64_t phase = (end / STEP_US + i) % (MEMBERSHIP_TICK_US / STEP_US);

        if (node->running && !node->frozen) {
            run_node(node, phase == 0);
        }
    }
}

void
fake_net_run(struct fake_net *net, uint64_t us)
{
    uint64_t end = net->now + us;

    while (net->now < end) {
        run_step(net);
    }
}

uint64_t
fake_net_write(struct fake_net *net, const struct resource *r)
{
    if (net->change_count == net->change_capacity) {
        net->change_capacity =
            net->change_capacity == 0 ? 64 : net->change_capacity * 2;
        net->changes = realloc(net->changes,
                               net->change_capacity * sizeof(*net->changes));
    }
    net->store_revision++;
    net->changes[net->change_count].resource = *r;
    net->changes[net->change_count].revision = net->store_revision;
    net->change_count++;
    return net->store_revision;
}

bool
fake_net_has_applied(const struct fake_net *net, const char *domain,
                     uint64_t revision)
{
    for (size_t i = 0; i < net->node_count; i++) {
        const struct fake_node *node = &net->nodes[i];

        if (node->running && node->applied < revision &&
            (domain[0] == '\0' || strcmp(node->self.domain, domain) == 0)) {
            return false;
        }
    }
    return true;
}

uint64_t
fake_net_run_until_applied(struct fake_net *net, uint64_t revision,
                           uint64_t limit_us)
{
    uint64_t start = net->now;

    while (net->now - start < limit_us) {
        run_step(net);
        if (fake_net_has_applied(net, "", revision)) {
            return net->now - start;
        }
    }
    return UINT64_MAX;
}

bool
fake_net_configs_equal(const struct fake_net *net)
{
    const struct fake_node *first = NULL;

    for (size_t i = 0; i < net->node_count; i++) {
        const struct fake_node *node = &net->nodes[i];

        if (!node->running) {
            continue;
        }
        if (first == NULL) {
            first = node;
        }
        if (config_store_checksum(node->config) !=
            config_store_checksum(first->config)) {
            return false;
        }
    }
    return true;
}

uint64_t
fake_node_version(const struct fake_node *node, const char *name)
{
    return config_store_version(node->config, id_hash(name));
}

const struct domain_status *
fake_net_status(const struct fake_net *net, const char *domain)
{
    return find_status((struct fake_net *)net, domain);
}
