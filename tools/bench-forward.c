/* Processor time of the forward path against a bare UDP relay, in one thread:
 * a burst is sent, then the loop runs until it is through, and only that is
 * timed. Prints packets a second of one core and the ratio, at several numbers
 * of targets, routes and flows. */

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

#define LOOPBACK 0x7f000001U
#define FORWARD_PORT 17172
#define SINK_PORT 17173
#define BURST 32
#define BURSTS 4000
#define ROUNDS 5 /* the median counts */
#define ROUTE_ADDR 0xc6120001U
#define PACKET_SIZE 231 /* bytes, 200 of data */
#define RESULT_COUNT 2
#define VIEW_TARGETS 150000
#define VIEW_ROUTES 10000

static const struct {
    size_t targets;
    size_t routes;
    size_t flows;
} cases[] = {
    {100, 100, 1000},   {1000, 100, 1000},     {10000, 100, 1000},
    {100, 10000, 1000}, {10000, 10000, 16000},
};

static uint64_t
hold_never(void *ctx, const struct forward_target *target, uint64_t now)
{
    return 0;
}

static void
ignore_unknown(void *ctx)
{
}

static uint64_t
always_new(void *ctx)
{
    return 0;
}

static void
ignore_missed(void *ctx, struct forward_target *target)
{
}

static double
thread_seconds(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
    return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static int
bound_socket(uint16_t port)
{
    struct sockaddr_in sin = {.sin_family = AF_INET, .sin_port = htons(port)};
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);

    sin.sin_addr.s_addr = htonl(LOOPBACK);
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
    const struct forward_view_callbacks cb = {.retain_until = hold_never};
    struct forward_view *view = forward_view_new(&cb);
    struct view_delta news;

    view_delta_init(&news);
    news.to = 1;
    news.routes_complete = true;
    news.targets_complete = true;
    news.routes_revision = 1;
    for (size_t i = 0; i < routes; i++) {
        const struct route_record route = {
            .addr = ROUTE_ADDR + (uint32_t)(i / 1000),
            .port = (uint16_t)(1000 + i % 1000),
            .share_count = 1,
            .shares = {{g_intern_string("s"), 1}},
        };

        g_array_append_val(news.routes, route);
    }
    for (size_t i = 0; i < targets; i++) {
        struct target_record target = {
            .service = g_intern_string("s"),
            .domain = g_intern_string("a"),
            .addr = LOOPBACK,
            .port = SINK_PORT,
            .slots = 2,
            .created = 1,
            .revision = 1,
        };

        target_id(i, target.id);
        g_array_append_val(news.targets, target);
    }
    forward_view_apply(view, &news, clock_monotonic_us());
    view_delta_clear(&news);
    return view;
}

/* A packet of an open flow, laid out as the platform's header is. */
static void
make_packet(uint8_t out[PACKET_SIZE], size_t flow, size_t route, size_t target,
            uint32_t seq)
{
    const uint32_t addr = ROUTE_ADDR + (uint32_t)(route / 1000);
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
           size_t targets, uint32_t *counter)
{
    uint8_t packet[PACKET_SIZE];

    for (int i = 0; i < BURST; i++) {
        size_t flow = *counter % flows;

        make_packet(packet, flow, flow % routes, flow % targets,
                    1000 + *counter * 200);
        (*counter)++;
        if (sendto(fd, packet, sizeof(packet), 0, (const struct sockaddr *)to,
                   sizeof(*to)) < 0) {
            perror("sendto");
            exit(1);
        }
    }
}

/* What every way has to do: take a datagram and send it on. */
static void
relay(int fd, const struct sockaddr_in *to)
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

static double
time_relay(int sender, const struct sockaddr_in *to,
           const struct sockaddr_in *sink)
{
    int fd = bound_socket(FORWARD_PORT);
    double spent = 0;
    uint32_t counter = 0;

    for (int i = 0; i < BURSTS; i++) {
        double start;

        send_burst(sender, to, 1000, 100, 100, &counter);
        start = thread_seconds();
        relay(fd, sink);
        spent += thread_seconds() - start;
    }
    close(fd);
    return BURST * BURSTS / spent;
}

static double
time_forward(int sender, const struct sockaddr_in *to, size_t targets,
             size_t routes, size_t flows)
{
    const struct forward_settings settings = {
        .host = "h",
        .domain = "a",
        .packets = {LOOPBACK, FORWARD_PORT},
        .flow_max_us = 60 * USEC_PER_SEC,
    };
    const struct forward_callbacks cb = {.unknown_target = ignore_unknown,
                                         .view_age_us = always_new,
                                         .target_missed = ignore_missed};
    struct event_base *base = event_base_new();
    struct forward_view *view = make_view(targets, routes);
    struct status st;
    struct forward_task *task = forward_task_new(
        base, &settings, &platform_packet_format, view, &cb, &st);
    double spent = 0;
    uint32_t counter = 0;

    if (task == NULL) {
        fprintf(stderr, "%s\n", st.message);
        exit(1);
    }
    for (int i = 0; i < BURSTS; i++) {
        double start;

        send_burst(sender, to, flows, routes, targets, &counter);
        start = thread_seconds();
        event_base_loop(base, EVLOOP_NONBLOCK);
        spent += thread_seconds() - start;
    }
    if (forward_task_counters(task)->packets_forwarded !=
        (uint64_t)BURST * BURSTS) {
        fprintf(
            stderr, "only %llu of %d packets were passed on\n",
            (unsigned long long)forward_task_counters(task)->packets_forwarded,
            BURST * BURSTS);
        exit(1);
    }
    forward_task_destroy(task);
    forward_view_destroy(view);
    event_base_free(base);
    return BURST * BURSTS / spent;
}

/* Memory of a view, and how long a peer's change and a whole answer take. */
static void
print_view_costs(void)
{
    size_t before = mallinfo2().uordblks;
    struct forward_view *few = make_view(1, 1);
    size_t base = mallinfo2().uordblks;
    struct forward_view *targets = make_view(VIEW_TARGETS, 1);
    size_t with_targets = mallinfo2().uordblks;
    struct forward_view *routes = make_view(1, VIEW_ROUTES);
    size_t with_routes = mallinfo2().uordblks;
    struct view_delta news;
    double start;

    printf("memory: %.0f bytes a target, %.0f a route\n",
           (double)(with_targets - base - (base - before)) / VIEW_TARGETS,
           (double)(with_routes - with_targets - (base - before)) /
               VIEW_ROUTES);
    view_delta_init(&news);
    start = thread_seconds();
    forward_view_delta_since(targets, 1, 1, clock_monotonic_us(), &news);
    printf("what changed of %d targets: %.1f ms\n", VIEW_TARGETS,
           (thread_seconds() - start) * 1000.0);
    view_delta_clear(&news);
    forward_view_destroy(few);
    forward_view_destroy(targets);
    forward_view_destroy(routes);
}

static int
compare(const void *a, const void *b)
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
    int sink_fd = bound_socket(SINK_PORT);

    to.sin_addr.s_addr = htonl(LOOPBACK);
    sink.sin_addr.s_addr = htonl(LOOPBACK);
    if (sodium_init() < 0) {
        return 1;
    }
    printf("targets routes flows  relay/s forward/s ratio (median of %d)\n",
           ROUNDS);
    for (size_t c = 0; c < sizeof(cases) / sizeof(*cases); c++) {
        double rates[RESULT_COUNT][ROUNDS];

        for (int i = 0; i < ROUNDS; i++) {
            rates[0][i] = time_relay(sender, &to, &sink);
            rates[1][i] = time_forward(sender, &to, cases[c].targets,
                                       cases[c].routes, cases[c].flows);
        }
        for (int i = 0; i < RESULT_COUNT; i++) {
            qsort(rates[i], ROUNDS, sizeof(double), compare);
        }
        printf("%7zu %6zu %5zu %8.0f %9.0f %5.2f\n", cases[c].targets,
               cases[c].routes, cases[c].flows, rates[0][ROUNDS / 2],
               rates[1][ROUNDS / 2],
               rates[1][ROUNDS / 2] / rates[0][ROUNDS / 2]);
    }
    print_view_costs();
    close(sender);
    close(sink_fd);
    return 0;
}
