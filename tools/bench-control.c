#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "config-fixture.h"
#include "coordination/view-builder.h"
#include "fake-net.h"
#include "protocol/gossip-codec.h"

/* Measures the control planes of many balancers in one process, on a fake
 * clock and network: the time from the acceptance of a change by the store
 * until all balancers have applied it, bytes and messages per balancer, store
 * calls, memory and processor time. Only processor times depend on the
 * machine.
 *
 * Usage: bench-control [spread|large|memory|messages|view|restart|all] */

#define SEED 1
/* Time from the start of the balancers to the first measurement */
#define SETTLE_US (20 * USEC_PER_SEC)
/* Time from the start to the first measurement with more than
 * LARGE_BALANCER_COUNT balancers. It is longer because the full exchange of
 * members becomes less frequent only gradually after the start. */
#define SETTLE_LARGE_US (300 * USEC_PER_SEC)
/* Duration of the measurement without changes; a third of it for more than
 * LARGE_BALANCER_COUNT balancers */
#define IDLE_US (60 * USEC_PER_SEC)
/* Number of balancers above which a run has more time to settle and less idle
 * time */
#define LARGE_BALANCER_COUNT 500
#define CHANGE_COUNT 20
/* Time after which a change that not all balancers have applied is missed. In
 * bench_restart_with() also the time that the first balancers run before the
 * last one is started. */
#define APPLY_TIMEOUT_US (60 * USEC_PER_SEC)
/* Number of resources (services and targets) in the smaller and in the larger
 * configuration that are measured */
#define RESOURCE_COUNT 30000
#define FUTURE_RESOURCE_COUNT 187000 /* 37,000 services, 150,000 targets */
/* Number of times that each message is encoded and decoded */
#define CODEC_REPEAT_COUNT 20000

/* Traffic of all balancers in a period of time. */
struct traffic {
    uint64_t bytes_out;
    uint64_t bytes_in;
    uint64_t messages_out;
    uint64_t store_calls;
    /* Bytes in and out of the balancer that has the most of them */
    uint64_t max_bytes;
};

static void
add_node_traffic(struct traffic *traffic, const struct fake_node *node)
{
    uint64_t both = node->bytes_in + node->bytes_out;

    traffic->bytes_out += node->bytes_out;
    traffic->bytes_in += node->bytes_in;
    traffic->messages_out += node->messages_out;
    traffic->store_calls += node->store_calls;
    traffic->max_bytes = both > traffic->max_bytes ? both : traffic->max_bytes;
}

/* Returns the traffic since the last call, and resets the counters. */
static struct traffic
take_traffic(struct fake_net *net)
{
    struct traffic traffic = {0};

    for (size_t i = 0; i < net->node_count; i++) {
        struct fake_node *node = &net->nodes[i];

        add_node_traffic(&traffic, node);
        node->bytes_out = 0;
        node->bytes_in = 0;
        node->messages_out = 0;
        node->store_calls = 0;
    }
    return traffic;
}

static double
cpu_seconds(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
    return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

/* Writes a new version of one target to the store. Returns the revision of the
 * store. */
static uint64_t
write_change(struct fake_net *net, uint64_t version)
{
    struct resource r = make_target("live", "t1", version, 7, false);

    return fake_net_write(net, &r);
}

static void
print_rates(const char *what, const struct fake_net *net,
            const struct traffic *traffic, uint64_t elapsed_us)
{
    double node_seconds =
        (double)net->node_count * (double)elapsed_us / (double)USEC_PER_SEC;
    double seconds = (double)elapsed_us / (double)USEC_PER_SEC;

    printf("  %-12s %7.0f B/s in + out per balancer, %7.0f for the busiest, "
           "%5.1f messages/s, %.3f store calls/s in total\n",
           what,
           (double)(traffic->bytes_in + traffic->bytes_out) / node_seconds,
           (double)traffic->max_bytes / seconds,
           (double)traffic->messages_out / node_seconds,
           (double)traffic->store_calls / seconds);
}

static int
compare_times(const void *a, const void *b)
{
    uint64_t x = *(const uint64_t *)a;
    uint64_t y = *(const uint64_t *)b;

    return x < y ? -1 : x > y;
}

/* Makes CHANGE_COUNT changes, the first with "version": one per second, or as
 * soon as the previous one has been applied if that takes longer. Prints the
 * median and the longest time until the data tasks of all balancers have
 * applied a change. A change that takes longer than APPLY_TIMEOUT_US is missed
 * and counts with that time. */
static void
time_changes(struct fake_net *net, uint64_t version)
{
    uint64_t times[CHANGE_COUNT];
    unsigned missed = 0;

    for (unsigned i = 0; i < CHANGE_COUNT; i++) {
        uint64_t took = fake_net_run_until_applied(
            net, write_change(net, version + i), APPLY_TIMEOUT_US);

        missed += took == UINT64_MAX;
        times[i] = took == UINT64_MAX ? APPLY_TIMEOUT_US : took;
        if (times[i] < USEC_PER_SEC) {
            fake_net_run(net, USEC_PER_SEC - times[i]);
        }
    }
    qsort(times, CHANGE_COUNT, sizeof(times[0]), compare_times);
    printf("  in effect after %" PRIu64 " ms (median), %" PRIu64
           " ms (worst of %d), %u missed\n",
           (uint64_t)(times[CHANGE_COUNT / 2] / USEC_PER_MSEC),
           (uint64_t)(times[CHANGE_COUNT - 1] / USEC_PER_MSEC), CHANGE_COUNT,
           missed);
}

/* Measures the traffic without changes and with one change per second, and how
 * long a change takes to reach all balancers. "loss" is the share of the
 * messages that the network loses. */
static void
bench_spread_at(size_t nodes, size_t domains, double loss)
{
    struct fake_net *net = fake_net_new(nodes, domains, SEED);
    struct resource service = make_service("live", 1, "d0,d1");
    uint64_t idle_us = nodes > LARGE_BALANCER_COUNT ? IDLE_US / 3 : IDLE_US;
    struct traffic traffic;
    uint64_t start;
    double cpu;

    fake_net_write(net, &service);
    fake_net_start_all(net);
    fake_net_run(net,
                 nodes > LARGE_BALANCER_COUNT ? SETTLE_LARGE_US : SETTLE_US);
    net->loss = loss;
    printf("%zu balancers in %zu domains, loss %.0f %%\n", nodes, domains,
           loss * 100);
    take_traffic(net);
    fake_net_run(net, idle_us);
    traffic = take_traffic(net);
    print_rates("idle", net, &traffic, idle_us);
    start = net->now;
    cpu = cpu_seconds();
    time_changes(net, 1);
    cpu = cpu_seconds() - cpu;
    traffic = take_traffic(net);
    print_rates("one change/s", net, &traffic, net->now - start);
    printf("  processor time: %.3f %% of a core per balancer\n",
           cpu * 100 /
               ((double)nodes * (double)(net->now - start) /
                (double)USEC_PER_SEC));
    fake_net_destroy(net);
}

static void
bench_spread(void)
{
    const size_t sizes[][2] = {{2, 1},  {4, 2},  {8, 4},  {16, 4},
                               {32, 4}, {64, 4}, {256, 4}};

    for (size_t i = 0; i < sizeof(sizes) / sizeof(*sizes); i++) {
        bench_spread_at(sizes[i][0], sizes[i][1], 0);
        bench_spread_at(sizes[i][0], sizes[i][1], 0.05);
    }
}

/* One domain of the size that is expected in two years, and 16 domains of 62
 * or 63 balancers. */
static void
bench_large(void)
{
    bench_spread_at(875, 1, 0);
    bench_spread_at(1000, 16, 0);
}

static void
bench_memory(void)
{
    struct config_store *cs = config_store_new();
    struct mallinfo2 before = mallinfo2();

    for (int i = 0; i < RESOURCE_COUNT; i++) {
        char id[ID_SIZE];
        struct resource r;

        snprintf(id, sizeof(id), "target-%05d", i);
        r = make_target("jibu-live", id, 1, (uint32_t)i, false);
        config_store_apply(cs, &r, (uint64_t)i);
    }
    printf("resource: %zu bytes counted, %zu bytes of heap\n",
           config_store_bytes(cs) / RESOURCE_COUNT,
           (mallinfo2().uordblks - before.uordblks) / RESOURCE_COUNT);
    config_store_destroy(cs);
    printf("member: %zu bytes; membership %zu, config sync and report %zu "
           "bytes\n",
           sizeof(struct member),
           sizeof(struct gossip_message) + sizeof(struct member_table),
           3 * sizeof(struct gossip_message));
}

static void
time_codec(const char *name, struct gossip_message *m)
{
    static uint8_t data[GOSSIP_MESSAGE_SIZE_MAX];
    static struct gossip_message out;
    size_t size = gossip_encode(m, data, sizeof(data));
    double begin = cpu_seconds();
    double encode;

    for (int i = 0; i < CODEC_REPEAT_COUNT; i++) {
        size = gossip_encode(m, data, sizeof(data));
    }
    encode = cpu_seconds() - begin;
    begin = cpu_seconds();
    for (int i = 0; i < CODEC_REPEAT_COUNT; i++) {
        gossip_decode(&out, data, size);
    }
    printf("%s: %zu bytes, encode %.2f us, decode %.2f us\n", name, size,
           encode * 1e6 / CODEC_REPEAT_COUNT,
           (cpu_seconds() - begin) * 1e6 / CODEC_REPEAT_COUNT);
}

static void
bench_messages(void)
{
    static struct gossip_message m;

    snprintf(m.sender.id, ID_SIZE, "entry-0123");
    snprintf(m.sender.domain, ID_SIZE, "industrial-area");
    m.sender.addr = 0x0a010203;
    m.sender.port = 7402;
    m.sender.incarnation = 1700000000000000ULL;
    m.nonce = UINT64_MAX;
    m.revision = 1000000;
    m.checksum = UINT64_MAX;
    m.kind = GOSSIP_PING;
    time_codec("ping", &m);
    m.kind = GOSSIP_REPORT;
    time_codec("report", &m);
    m.kind = GOSSIP_DIGEST;
    time_codec("digest", &m);
    m.kind = GOSSIP_DELTA;
    m.resource_count = 1;
    m.resources[0].resource =
        make_target("jibu-live", "jibu-live-14", 3, 0x0a010203, false);
    time_codec("delta of one target", &m);
}

/* Measures how long a balancer that starts while the store is down takes to
 * obtain the configuration from its peers. */
static void
bench_restart_with(int count)
{
    struct fake_net *net = fake_net_new(8, 2, SEED);
    uint64_t revision = 0;
    uint64_t took;
    struct traffic traffic;
    double cpu;

    for (int i = 0; i < count; i++) {
        char id[ID_SIZE];
        struct resource r;

        snprintf(id, sizeof(id), "target-%05d", i);
        r = make_target("jibu-live", id, 1, (uint32_t)i, false);
        revision = fake_net_write(net, &r);
    }
    for (size_t i = 0; i < 7; i++) {
        fake_net_start(net, i);
    }
    fake_net_run(net, APPLY_TIMEOUT_US);
    net->store_down = true;
    take_traffic(net);
    cpu = cpu_seconds();
    fake_net_start(net, 7);
    took = fake_net_run_until_applied(net, revision, APPLY_TIMEOUT_US);
    cpu = cpu_seconds() - cpu;
    printf("restart with %d resources: in effect after %" PRIu64
           " ms, %" PRIu64 " bytes in, %.0f ms of processor time in total\n",
           count, (uint64_t)(took / USEC_PER_MSEC), net->nodes[7].bytes_in,
           cpu * 1000);
    traffic = take_traffic(net);
    printf("  %" PRIu64 " bytes sent by all balancers\n", traffic.bytes_out);
    fake_net_destroy(net);
}

static void
bench_restart(void)
{
    bench_restart_with(RESOURCE_COUNT);
    bench_restart_with(FUTURE_RESOURCE_COUNT);
}

/* Adds services, each in two of 16 domains, and targets, distributed over the
 * services in turn. */
static void
fill_store(struct config_store *cs, int services, int targets)
{
    char id[ID_SIZE];
    char service[ID_SIZE];

    for (int i = 0; i < services; i++) {
        struct resource r;
        char domains[32];

        snprintf(id, sizeof(id), "service-%05d", i);
        snprintf(domains, sizeof(domains), "d%d,d%d", i % 16, (i + 1) % 16);
        r = make_service(id, 1, domains);
        config_store_apply(cs, &r, 1);
    }
    for (int i = 0; i < targets; i++) {
        struct resource r;

        snprintf(id, sizeof(id), "target-%06d", i);
        snprintf(service, sizeof(service), "service-%05d", i % services);
        r = make_target(service, id, 1, (uint32_t)i, false);
        config_store_apply(cs, &r, 1);
    }
}

/* Measures the processor time to build the view of one of 16 domains, where
 * each service is in two domains. */
static void
bench_view(void)
{
    const int sizes[][2] = {{7500, RESOURCE_COUNT - 7500},
                            {37000, FUTURE_RESOURCE_COUNT - 37000}};

    for (size_t i = 0; i < 2; i++) {
        struct config_store *cs = config_store_new();
        struct domain_min_revisions min_revisions = {0};
        size_t targets = 0;
        struct config_view *view;
        double cpu;

        fill_store(cs, sizes[i][0], sizes[i][1]);
        cpu = cpu_seconds();
        view = view_builder_build(cs, &min_revisions, "d0", 1, NULL, NULL);
        cpu = cpu_seconds() - cpu;
        for (size_t k = 0; k < view->service_count; k++) {
            targets += view->services[k].target_count;
        }
        printf("view of %zu services and %zu targets out of %zu resources "
               "(%zu bytes): %.1f ms\n",
               view->service_count, targets, config_store_count(cs),
               config_store_bytes(cs), cpu * 1000);
        config_view_destroy(view);
        config_store_destroy(cs);
    }
}

int
main(int argc, char **argv)
{
    const char *what = argc > 1 ? argv[1] : "all";
    bool all = strcmp(what, "all") == 0;

    setvbuf(stdout, NULL, _IOLBF, 0);
    printf("seed %d\n", SEED);
    if (all || strcmp(what, "spread") == 0) {
        bench_spread();
    }
    if (all || strcmp(what, "large") == 0) {
        bench_large();
    }
    if (all || strcmp(what, "memory") == 0) {
        bench_memory();
    }
    if (all || strcmp(what, "messages") == 0) {
        bench_messages();
    }
    if (all || strcmp(what, "view") == 0) {
        bench_view();
    }
    if (all || strcmp(what, "restart") == 0) {
        bench_restart();
    }
    return EXIT_SUCCESS;
}
