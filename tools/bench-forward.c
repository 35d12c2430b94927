/* Compares the processor time of the forward path with that of a plain UDP
 * relay, in one thread: a burst of packets is sent, then the event loop
 * forwards all of them. Only the loop is timed. Prints the packets per second
 * of one core and their ratio for several numbers of targets, routes and
 * flows. */

#include <arpa/inet.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <event2/event.h>
#include <sodium.h>

#include "base/clock.h"
#include "daemon/forward-task.h"
#include "platform/packet-header.h"

#define LOOPBACK_ADDR 0x7f000001U
#define LINK_MBPS 10000 /* not a limit of what is measured */
#define FORWARD_PORT 17172
#define SINK_PORT 17173
#define BURST_SIZE 32 /* packets in a burst */
#define BURST_COUNT 4000
#define ROUND_COUNT 5 /* repetitions, whose median is printed */
/* 198.18.0.1: address of the first 1000 routes, which differ in the port; each
 * further 1000 routes have the next address */
#define FIRST_ROUTE_ADDR 0xc6120001U
#define PACKET_SIZE 231 /* bytes: 31 of header and 200 of data */
#define RATE_COUNT 2    /* relay and forward */
/* Sizes of the views whose memory is measured */
#define VIEW_TARGET_COUNT 150000
#define VIEW_ROUTE_COUNT 10000

static const struct {
    size_t targets;
    size_t routes;
    size_t flows;
} cases[] = {
    {100, 100, 1000},   {1000, 100, 1000},     {10000, 100, 1000},
    {100, 10000, 1000}, {10000, 10000, 16000},
};

static uint64_t
retain_never(void *ctx, const struct forward_target *target, uint64_t now)
{
    return 0;
}

static void
ignore_unknown_target(void *ctx)
{
}

static double
one_forwarder(void *ctx)
{
    return 1.0;
}

static uint64_t
zero_view_age(void *ctx)
{
    return 0;
}

static void
ignore_observed_target(void *ctx, struct forward_target *target)
{
}

static double
thread_cpu_seconds(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
    return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static int
bind_socket(uint16_t port)
{
    struct sockaddr_in sin = {.sin_family = AF_INET, .sin_port = htons(port)};
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);

    sin.sin_addr.s_addr = htonl(LOOPBACK_ADDR);
    if (fd < 0 || bind(fd, (struct sockaddr *)&sin, sizeof(sin)) < 0) {
        perror("bind");
        exit(1);
    }
    return fd;
}

static void
target_id(size_t i, char out[TARGET_ID_SIZE])
{
    snprintf(out, TARGET_ID_SIZE, "i-%010zx", i);
}

static struct forward_view *
make_view(size_t targets, size_t routes)
{
    const struct forward_view_callbacks cb = {.retain_until = retain_never};
    struct forward_view *view = forward_view_new(&cb);
    const struct route_share share = {g_intern_string("s"), 1};
    struct view_delta delta;

    view_delta_init(&delta);
    delta.to.revision = 1;
    delta.routes_complete = true;
    delta.targets_complete = true;
    delta.routes_position.revision = 1;
    for (size_t i = 0; i < routes; i++) {
        struct route_record route = {
            .addr = FIRST_ROUTE_ADDR + (uint32_t)(i / 1000),
            .port = (uint16_t)(1000 + i % 1000),
        };

        route_record_add_share(&route, &share);
        g_array_append_val(delta.routes, route);
    }
    for (size_t i = 0; i < targets; i++) {
        struct target_record target = {
            .service = g_intern_string("s"),
            .domain = g_intern_string("a"),
            .addr = LOOPBACK_ADDR,
            .port = SINK_PORT,
            .slots = 2,
            .created.revision = 1,
            .position.revision = 1,
        };

        target_id(i, target.id);
        g_array_append_val(delta.targets, target);
    }
    forward_view_apply(view, &delta, clock_monotonic_us());
    view_delta_clear(&delta);
    return view;
}

/* Builds a packet of an open flow with the header that the platform uses. */
static void
make_packet(uint8_t out[PACKET_SIZE], size_t flow, size_t route, size_t target,
            uint32_t seq)
{
    const uint32_t addr = FIRST_ROUTE_ADDR + (uint32_t)(route / 1000);
    const uint16_t port = (uint16_t)(1000 + route % 1000);
    char id[TARGET_ID_SIZE];

    memset(out, 0, PACKET_SIZE);
    out[0] = (uint8_t)(port >> 8);
    out[1] = (uint8_t)port;
    for (int i = 0; i < 4; i++) {
        out[2 + i] = (uint8_t)(addr >> (24 - 8 * i));
        out[8 + i] = (uint8_t)((0x64400000U + flow / 50000) >> (24 - 8 * i));
        out[19 + i] = (uint8_t)(seq >> (24 - 8 * i));
        out[23 + i] = (uint8_t)(seq >> (24 - 8 * i));
    }
    out[6] = (uint8_t)((flow % 50000 + 1024) >> 8);
    out[7] = (uint8_t)(flow % 50000 + 1024);
    out[17] = PACKET_SIZE - 31;
    out[18] = 32; /* ACK */
    target_id(target, id);
    platform_packet_format.set_cookie(out, forward_cookie(id));
}

static void
send_burst(int fd, const struct sockaddr_in *to, size_t flows, size_t routes,
           size_t targets, uint32_t *sent_count)
{
    uint8_t packet[PACKET_SIZE];

    for (int i = 0; i < BURST_SIZE; i++) {
        size_t flow = *sent_count % flows;

        make_packet(packet, flow, flow % routes, flow % targets,
                    1000 + *sent_count * 200);
        (*sent_count)++;
        if (sendto(fd, packet, sizeof(packet), 0, (const struct sockaddr *)to,
                   sizeof(*to)) < 0) {
            perror("sendto");
            exit(1);
        }
    }
}

/* Receives the datagrams of a burst and sends each to "to": the minimum work
 * of any relay. */
static void
relay_all(int fd, const struct sockaddr_in *to)
{
    uint8_t data[2048];
    ssize_t size;

    while ((size = recv(fd, data, sizeof(data), 0)) > 0) {
        if (sendto(fd, data, (size_t)size, 0, (const struct sockaddr *)to,
                   sizeof(*to)) < 0) {
            perror("sendto");
            exit(1);
        }
    }
}

/* Returns the packets per second of processor time of a plain relay. */
static double
relay_rate(int sender, const struct sockaddr_in *to,
           const struct sockaddr_in *sink)
{
    int fd = bind_socket(FORWARD_PORT);
    double spent = 0;
    uint32_t sent_count = 0;

    for (int i = 0; i < BURST_COUNT; i++) {
        double start;

        send_burst(sender, to, 1000, 100, 100, &sent_count);
        start = thread_cpu_seconds();
        relay_all(fd, sink);
        spent += thread_cpu_seconds() - start;
    }
    close(fd);
    return BURST_SIZE * BURST_COUNT / spent;
}

/* Returns the packets per second of processor time of the forward task. Ends
 * the program when a packet is not forwarded. */
static double
forward_rate(int sender, const struct sockaddr_in *to, size_t targets,
             size_t routes, size_t flows)
{
    const struct forward_settings settings = {
        .host = "h",
        .domain = "a",
        .packets = {LOOPBACK_ADDR, FORWARD_PORT},
        .flow_max_us = 60 * USEC_PER_SEC,
    };
    const struct forward_callbacks cb = {
        .unknown_target = ignore_unknown_target,
        .view_age_us = zero_view_age,
        .forwarder_count = one_forwarder,
        .target_observed = ignore_observed_target};
    struct event_base *base = event_base_new();
    struct forward_view *view = make_view(targets, routes);
    struct own_delay own_delay;
    struct domain_load *load = domain_load_new(g_intern_string("a"));
    const struct forward_parts parts = {
        .view = view, .own_delay = &own_delay, .load = load};
    struct status st;
    struct forward_task *task = forward_task_new(
        base, &settings, &platform_packet_format, &parts, &cb, &st);
    double spent = 0;
    uint32_t sent_count = 0;

    if (task == NULL) {
        fprintf(stderr, "%s\n", st.message);
        exit(1);
    }
    own_delay_init(&own_delay, LINK_MBPS, 100 * USEC_PER_MSEC,
                   clock_monotonic_us());
    for (int i = 0; i < BURST_COUNT; i++) {
        double start;

        send_burst(sender, to, flows, routes, targets, &sent_count);
        start = thread_cpu_seconds();
        event_base_loop(base, EVLOOP_NONBLOCK);
        spent += thread_cpu_seconds() - start;
    }
    if (forward_task_counters(task)->packets_forwarded !=
        (uint64_t)BURST_SIZE * BURST_COUNT) {
        fprintf(
            stderr, "only %llu of %d packets were forwarded\n",
            (unsigned long long)forward_task_counters(task)->packets_forwarded,
            BURST_SIZE * BURST_COUNT);
        exit(1);
    }
    forward_task_destroy(task);
    domain_load_destroy(load);
    forward_view_destroy(view);
    event_base_free(base);
    return BURST_SIZE * BURST_COUNT / spent;
}

/* Prints the memory per target and per route of a view, and the processor time
 * to compute the delta for a peer whose view is up to date. */
static void
print_view_costs(void)
{
    size_t before = mallinfo2().uordblks;
    struct forward_view *minimal = make_view(1, 1);
    size_t base = mallinfo2().uordblks;
    struct forward_view *targets = make_view(VIEW_TARGET_COUNT, 1);
    size_t with_targets = mallinfo2().uordblks;
    struct forward_view *routes = make_view(1, VIEW_ROUTE_COUNT);
    size_t with_routes = mallinfo2().uordblks;
    struct store_position position = {.revision = 1};
    struct view_delta delta;
    double start;

    printf("memory: %.0f bytes per target, %.0f per route\n",
           (double)(with_targets - base - (base - before)) / VIEW_TARGET_COUNT,
           (double)(with_routes - with_targets - (base - before)) /
               VIEW_ROUTE_COUNT);
    view_delta_init(&delta);
    start = thread_cpu_seconds();
    forward_view_delta_since(targets, position, position, clock_monotonic_us(),
                             &delta);
    printf("delta of a view with %d targets: %.1f ms\n", VIEW_TARGET_COUNT,
           (thread_cpu_seconds() - start) * 1000.0);
    view_delta_clear(&delta);
    forward_view_destroy(minimal);
    forward_view_destroy(targets);
    forward_view_destroy(routes);
}

static int
compare_doubles(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return x < y ? -1 : x > y;
}

int
main(void)
{
    struct sockaddr_in to = {.sin_family = AF_INET,
                             .sin_port = htons(FORWARD_PORT)};
    struct sockaddr_in sink = {.sin_family = AF_INET,
                               .sin_port = htons(SINK_PORT)};
    int sender = socket(AF_INET, SOCK_DGRAM, 0);
    int sink_fd = bind_socket(SINK_PORT);

    to.sin_addr.s_addr = htonl(LOOPBACK_ADDR);
    sink.sin_addr.s_addr = htonl(LOOPBACK_ADDR);
    if (sodium_init() < 0) {
        return 1;
    }
    printf("targets routes flows  relay/s forward/s ratio (median of %d)\n",
           ROUND_COUNT);
    for (size_t c = 0; c < sizeof(cases) / sizeof(*cases); c++) {
        double rates[RATE_COUNT][ROUND_COUNT];

        for (int i = 0; i < ROUND_COUNT; i++) {
            rates[0][i] = relay_rate(sender, &to, &sink);
            rates[1][i] = forward_rate(sender, &to, cases[c].targets,
                                       cases[c].routes, cases[c].flows);
        }
        for (int i = 0; i < RATE_COUNT; i++) {
            qsort(rates[i], ROUND_COUNT, sizeof(double), compare_doubles);
        }
        printf("%7zu %6zu %5zu %8.0f %9.0f %5.2f\n", cases[c].targets,
               cases[c].routes, cases[c].flows, rates[0][ROUND_COUNT / 2],
               rates[1][ROUND_COUNT / 2],
               rates[1][ROUND_COUNT / 2] / rates[0][ROUND_COUNT / 2]);
    }
    print_view_costs();
    close(sender);
    close(sink_fd);
    return 0;
}
