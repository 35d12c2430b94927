#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/event.h>
#include <glib.h>

#include "base/clock.h"
#include "base/random.h"
#include "client/client-flow.h"
#include "state/histogram.h"
#include "transport/target-client.h"
#include "transport/udp-socket.h"

/* Measures one path in a closed loop: so many requests are always
 * outstanding. Prints requests a second and the latency as one JSON line. */

#define DEADLINE_MS 10000
#define BODY_MAX 1048576 /* bytes */
#define REQUEST_SIZE 512 /* bytes */
#define SEED 1

enum mode {
    MODE_HTTP,  /* GETs at a target, no balancer */
    MODE_COAP,  /* GETs through a balancer */
    MODE_FLOWS, /* flow set-ups: a POST without a token is challenged */
    MODE_RELAY, /* GETs of a block that go to the home of a flow */
};

static char *mode_name = "coap";
static char *to = NULL;
static char *home = NULL;
static char *service = "default";
static char *path = "/echo/bench";
static int outstanding = 16;
static int seconds = 5;
static gint64 count_max = 0;

static const GOptionEntry options[] = {
    {"mode", 0, 0, G_OPTION_ARG_STRING, &mode_name,
     "http, coap, flows or relay", "MODE"},
    {"to", 0, 0, G_OPTION_ARG_STRING, &to, "Where requests go", "IP:PORT"},
    {"home", 0, 0, G_OPTION_ARG_STRING, &home,
     "Balancer that the flow of a relayed GET is opened on", "IP:PORT"},
    {"service", 0, 0, G_OPTION_ARG_STRING, &service, "Service", "ID"},
    {"path", 0, 0, G_OPTION_ARG_STRING, &path, "Path", "PATH"},
    {"outstanding", 0, 0, G_OPTION_ARG_INT, &outstanding,
     "Requests outstanding", "N"},
    {"seconds", 0, 0, G_OPTION_ARG_INT, &seconds, "Duration", "S"},
    {"count", 0, 0, G_OPTION_ARG_INT64, &count_max,
     "Ends after so many answers", "N"},
    {NULL},
};

struct bench {
    struct event_base *base;
    enum mode mode;
    struct endpoint where;
    struct random random;
    struct client *client;
    struct target_client *target;
    struct udp_socket *sock;
    struct histogram latency;
    uint64_t sent;
    uint64_t answered;
    uint64_t failed;
    uint64_t started_us;
    uint64_t end_us;
    uint16_t message_id;
    uint8_t echo[PACKET_ECHO_MAX]; /* the relayed flow's token */
    uint8_t echo_len;
};

/* One of the requests that are always outstanding. */
struct lane {
    struct bench *bench;
    struct client_flow *flow;
    uint64_t sent_us;
};

static void send_one(struct lane *lane);

static bool
is_over(const struct bench *b)
{
    return clock_monotonic_us() >= b->end_us ||
           (count_max > 0 && b->sent >= (uint64_t)count_max);
}

static void
finish(struct lane *lane, bool ok)
{
    struct bench *b = lane->bench;

    if (ok) {
        b->answered++;
        histogram_record(&b->latency, clock_monotonic_us() - lane->sent_us);
    }
    else {
        b->failed++;
    }
    if (!is_over(b)) {
        send_one(lane);
        return;
    }
    if (b->answered + b->failed == b->sent) {
        event_base_loopbreak(b->base);
    }
}

static void
on_http(void *ctx, enum error_kind kind, bool sent,
        const struct target_response *response)
{
    finish(ctx, kind == ERR_NONE && response->http_status == 200);
}

static void
on_coap(void *ctx, const struct call_result *result)
{
    finish(ctx, result->outcome == CALL_ANSWERED &&
                    result->answer->code == CODE_CONTENT);
}

static void
send_http(struct lane *lane)
{
    struct target_request request = {
        .method = "GET", .path = path, .service = service};

    if (target_client_call(lane->bench->target, &request, on_http, NULL,
                           lane) == NULL) {
        finish(lane, false);
    }
}

static void
send_coap(struct lane *lane)
{
    struct call_request request = {.method = CODE_GET,
                                   .path = path,
                                   .content_format = -1,
                                   .deadline_ms = DEADLINE_MS};

    if (client_flow_call(lane->flow, &request, on_coap, lane) == NULL) {
        finish(lane, false);
    }
}

/* Sends a request whose CoAP token tells the lane, so that its answer needs
 * no table. */
static void
send_datagram(struct bench *b, uint16_t number, struct packet *request,
              const struct endpoint *where)
{
    uint8_t data[REQUEST_SIZE];
    size_t size;

    request->type = PACKET_NON;
    request->message_id = b->message_id;
    request->token[0] = (uint8_t)(number >> 8);
    request->token[1] = (uint8_t)number;
    request->token_len = 2;
    b->message_id++;
    size = packet_build(request, data, sizeof(data));
    udp_socket_send(b->sock, where, data, size);
}

static void
send_flow(struct lane *lane, uint16_t number, const struct endpoint *where)
{
    struct packet request = {.code = CODE_POST, .path = "/run/bench"};

    send_datagram(lane->bench, number, &request, where);
}

static void
send_relayed(struct lane *lane, uint16_t number)
{
    struct bench *b = lane->bench;
    struct packet request = {.code = CODE_GET,
                             .fields = FIELD_ECHO | FIELD_BLOCK2,
                             .block2 = {.szx = 6},
                             .echo_len = b->echo_len};

    memcpy(request.echo, b->echo, b->echo_len);
    g_strlcpy(request.path, path, sizeof(request.path));
    send_datagram(b, number, &request, &b->where);
}

static struct lane *lanes;

static void
on_datagram(void *ctx, const struct endpoint *from, uint8_t *data, size_t size,
            uint64_t queued_us)
{
    struct bench *b = ctx;
    struct packet answer;
    uint16_t number;

    if (packet_parse(&answer, data, size) != ERR_NONE ||
        answer.token_len != 2) {
        return;
    }
    number = (uint16_t)(answer.token[0] << 8 | answer.token[1]);
    if (number >= outstanding) {
        return;
    }
    if (b->mode == MODE_RELAY && b->echo_len == 0) {
        memcpy(b->echo, answer.echo, answer.echo_len);
        b->echo_len = answer.echo_len;
        event_base_loopbreak(b->base);
        return;
    }
    finish(&lanes[number], b->mode == MODE_FLOWS
                               ? (answer.fields & FIELD_ECHO) != 0
                               : answer.code == CODE_CONTENT);
}

static void
send_one(struct lane *lane)
{
    struct bench *b = lane->bench;

    b->sent++;
    lane->sent_us = clock_monotonic_us();
    switch (b->mode) {
    case MODE_HTTP:
        send_http(lane);
        break;
    case MODE_COAP:
        send_coap(lane);
        break;
    case MODE_FLOWS:
        send_flow(lane, (uint16_t)(lane - lanes), &b->where);
        break;
    case MODE_RELAY:
        send_relayed(lane, (uint16_t)(lane - lanes));
        break;
    }
}

static bool
parse_endpoint(const char *text, struct endpoint *where)
{
    char addr[32];
    unsigned port;

    if (text == NULL || sscanf(text, "%31[0-9.]:%u", addr, &port) != 2) {
        return false;
    }
    where->port = (uint16_t)port;
    return endpoint_parse_addr(addr, &where->addr);
}

static bool
open_path(struct bench *b, struct status *st)
{
    struct client_options client_options = {
        .via = &b->where, .via_count = 1, .random = &b->random};
    struct endpoint any = {.addr = 0x7f000001};

    switch (b->mode) {
    case MODE_HTTP:
        b->target = target_client_new(b->base, &b->where,
                                      (uint32_t)outstanding, BODY_MAX);
        return b->target != NULL;
    case MODE_COAP:
        b->client = client_new(b->base, &client_options, st);
        return b->client != NULL;
    case MODE_FLOWS:
    case MODE_RELAY:
        b->sock = udp_socket_new(b->base, NULL, &any, on_datagram, b, st);
        return b->sock != NULL;
    }
    return false;
}

static void
print_result(const struct bench *b)
{
    double took = (double)(clock_monotonic_us() - b->started_us) / 1e6;

    printf("{\"mode\":\"%s\",\"outstanding\":%d,\"seconds\":%.2f,"
           "\"answered\":%" PRIu64 ",\"failed\":%" PRIu64
           ",\"per_second\":%.0f,\"p50_us\":%" PRIu64 ",\"p99_us\":%" PRIu64
           "}\n",
           mode_name, outstanding, took, b->answered, b->failed,
           (double)b->answered / took, histogram_quantile(&b->latency, 0.5),
           histogram_quantile(&b->latency, 0.99));
}

static void
on_guard(evutil_socket_t fd, short what, void *arg)
{
    struct bench *b = arg;

    event_base_loopbreak(b->base);
}

/* Opens a flow at its home for relayed requests. */
static bool
open_flow(struct bench *b)
{
    struct timeval limit = {.tv_sec = 2};
    struct lane lane = {.bench = b};
    struct endpoint where;
    struct event *guard;

    if (!parse_endpoint(home, &where)) {
        return false;
    }
    guard = evtimer_new(b->base, on_guard, b);
    event_add(guard, &limit);
    send_flow(&lane, 0, &where);
    event_base_dispatch(b->base);
    event_free(guard);
    return b->echo_len > 0;
}

static void
run(struct bench *b)
{
    struct timeval limit = {.tv_sec = seconds + DEADLINE_MS / 1000};

    lanes = calloc((size_t)outstanding, sizeof(*lanes));
    if (b->mode == MODE_RELAY && !open_flow(b)) {
        return;
    }
    b->started_us = clock_monotonic_us();
    b->end_us = b->started_us + (uint64_t)seconds * USEC_PER_SEC;
    for (int i = 0; i < outstanding; i++) {
        lanes[i].bench = b;
        if (b->mode == MODE_COAP) {
            lanes[i].flow = client_flow_new(b->client);
        }
        send_one(&lanes[i]);
    }
    event_base_loopexit(b->base, &limit);
    event_base_dispatch(b->base);
    print_result(b);
    for (int i = 0; i < outstanding; i++) {
        if (lanes[i].flow != NULL) {
            client_flow_destroy(lanes[i].flow);
        }
    }
    free(lanes);
}

static bool
parse_mode(enum mode *mode)
{
    static const char *const names[] = {"http", "coap", "flows", "relay"};

    for (int i = 0; i < 4; i++) {
        if (strcmp(mode_name, names[i]) == 0) {
            *mode = (enum mode)i;
            return true;
        }
    }
    return false;
}

int
main(int argc, char **argv)
{
    GOptionContext *context = g_option_context_new("- measure one path");
    GError *error = NULL;
    struct bench bench = {.message_id = 1};
    struct status st = {.kind = ERR_NONE};

    g_option_context_add_main_entries(context, options, NULL);
    if (!g_option_context_parse(context, &argc, &argv, &error)) {
        fprintf(stderr, "bench-path: %s\n", error->message);
        return 2;
    }
    g_option_context_free(context);
    if (!parse_mode(&bench.mode) || !parse_endpoint(to, &bench.where) ||
        outstanding < 1 || outstanding > UINT16_MAX) {
        fprintf(stderr, "bench-path: bad --mode, --to or --outstanding\n");
        return 2;
    }
    random_seed(&bench.random, SEED);
    bench.base = event_base_new();
    if (!open_path(&bench, &st)) {
        fprintf(stderr, "bench-path: %s\n", st.message);
        return EXIT_FAILURE;
    }
    run(&bench);
    target_client_destroy(bench.target);
    if (bench.client != NULL) {
        client_destroy(bench.client);
    }
    udp_socket_destroy(bench.sock);
    event_base_free(bench.base);
    return bench.answered > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
