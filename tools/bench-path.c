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

/* Measures one path in a closed loop: a fixed number of requests is
 * outstanding at any time. Prints the answers per second and the latency as
 * one line of JSON. */

/* Deadline of the requests of MODE_COAP. A run ends at the latest this long
 * after the time of --seconds, even when answers are missing. */
#define DEADLINE_MS 10000
/* Maximum size of the body of an answer in MODE_HTTP, in bytes */
#define BODY_SIZE_MAX 1048576
/* Maximum size of a datagram sent in MODE_FLOWS and MODE_RELAY, in bytes */
#define REQUEST_SIZE_MAX 512
#define SEED 1

enum mode {
    /* GETs over HTTP directly to a target */
    MODE_HTTP,
    /* GETs over CoAP through a balancer */
    MODE_COAP,
    /* Flow set-ups: POSTs without a flow token. An answer with the Echo
     * option, which carries a new token, counts as success. */
    MODE_FLOWS,
    /* GETs of a block with the token of a flow whose home is the balancer of
     * --home */
    MODE_RELAY,
};

static char *mode_name = "coap";
static char *to = NULL;
static char *home = NULL;
static char *service = "default";
static char *path = "/echo/bench";
static int outstanding = 16;
static int seconds = 5;
static gint64 count_max = 0; /* 0: no limit */

static const GOptionEntry options[] = {
    {"mode", 0, 0, G_OPTION_ARG_STRING, &mode_name,
     "http, coap, flows or relay", "MODE"},
    {"to", 0, 0, G_OPTION_ARG_STRING, &to, "Address that requests are sent to",
     "IP:PORT"},
    {"home", 0, 0, G_OPTION_ARG_STRING, &home,
     "Balancer on which mode relay opens its flow", "IP:PORT"},
    {"service", 0, 0, G_OPTION_ARG_STRING, &service, "Service", "ID"},
    {"path", 0, 0, G_OPTION_ARG_STRING, &path, "Path", "PATH"},
    {"outstanding", 0, 0, G_OPTION_ARG_INT, &outstanding,
     "Number of requests that are outstanding at any time", "N"},
    {"seconds", 0, 0, G_OPTION_ARG_INT, &seconds, "Duration", "S"},
    {"count", 0, 0, G_OPTION_ARG_INT64, &count_max,
     "Stop after this number of requests", "N"},
    {NULL},
};

struct bench {
    struct event_base *base;
    enum mode mode;
    struct endpoint destination; /* --to */
    struct random random;
    struct client *client;        /* MODE_COAP, otherwise NULL */
    struct target_client *target; /* MODE_HTTP, otherwise NULL */
    struct udp_socket *sock;  /* MODE_FLOWS and MODE_RELAY, otherwise NULL */
    struct histogram latency; /* microseconds, of successful requests */
    uint64_t sent;
    uint64_t answered;
    uint64_t failed;
    uint64_t started_us;
    uint64_t end_us;     /* no requests are sent from this time on */
    uint16_t message_id; /* CoAP message ID of the next datagram */
    /* MODE_RELAY: token of the flow, empty until open_flow() */
    uint8_t echo[PACKET_ECHO_MAX];
    uint8_t echo_len;
};

/* Sends one request after the other; there is one worker per outstanding
 * request. */
struct worker {
    struct bench *bench;
    struct client_flow *flow; /* MODE_COAP, otherwise NULL */
    uint64_t sent_us;         /* when the current request was sent */
};

static void send_request(struct worker *worker);

static bool
is_finished(const struct bench *b)
{
    return clock_monotonic_us() >= b->end_us ||
           (count_max > 0 && b->sent >= (uint64_t)count_max);
}

/* Counts a request that has ended. Sends the next one of the worker or, after
 * the end of the run, leaves the event loop once no request is outstanding. */
static void
finish_request(struct worker *worker, bool ok)
{
    struct bench *b = worker->bench;

    if (ok) {
        b->answered++;
        histogram_record(&b->latency, clock_monotonic_us() - worker->sent_us);
    }
    else {
        b->failed++;
    }
    if (!is_finished(b)) {
        send_request(worker);
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
    finish_request(ctx, kind == ERR_NONE && response->http_status == 200);
}

static void
on_coap(void *ctx, const struct call_result *result)
{
    finish_request(ctx, result->outcome == CALL_ANSWERED &&
                            result->answer->code == CODE_CONTENT);
}

static void
send_http(struct worker *worker)
{
    struct target_request request = {
        .method = "GET", .path = path, .service = service};

    if (target_client_call(worker->bench->target, &request, on_http, NULL,
                           worker) == NULL) {
        finish_request(worker, false);
    }
}

static void
send_coap(struct worker *worker)
{
    struct call_request request = {.method = CODE_GET,
                                   .path = path,
                                   .content_format = -1,
                                   .deadline_ms = DEADLINE_MS};

    if (client_flow_call(worker->flow, &request, on_coap, worker) == NULL) {
        finish_request(worker, false);
    }
}

/* Sends a request whose CoAP token is the index of the worker, so that no
 * table is needed to find the worker of an answer. */
static void
send_datagram(struct bench *b, uint16_t worker_index, struct packet *request,
              const struct endpoint *destination)
{
    uint8_t data[REQUEST_SIZE_MAX];
    size_t size;

    request->type = PACKET_NON;
    request->message_id = b->message_id;
    request->token[0] = (uint8_t)(worker_index >> 8);
    request->token[1] = (uint8_t)worker_index;
    request->token_len = 2;
    b->message_id++;
    size = packet_build(request, data, sizeof(data));
    udp_socket_send(b->sock, destination, data, size);
}

static void
send_flow(struct worker *worker, uint16_t worker_index,
          const struct endpoint *destination)
{
    struct packet request = {.code = CODE_POST, .path = "/run/bench"};

    send_datagram(worker->bench, worker_index, &request, destination);
}

static void
send_relayed(struct worker *worker, uint16_t worker_index)
{
    struct bench *b = worker->bench;
    struct packet request = {.code = CODE_GET,
                             .fields = FIELD_ECHO | FIELD_BLOCK2,
                             .block2 = {.szx = 6},
                             .echo_len = b->echo_len};

    memcpy(request.echo, b->echo, b->echo_len);
    g_strlcpy(request.path, path, sizeof(request.path));
    send_datagram(b, worker_index, &request, &b->destination);
}

static struct worker *workers;

static void
on_datagram(void *ctx, const struct endpoint *from, uint8_t *data, size_t size,
            uint64_t queued_us)
{
    struct bench *b = ctx;
    struct packet answer;
    uint16_t worker_index;

    if (packet_parse(&answer, data, size) != ERR_NONE ||
        answer.token_len != 2) {
        return;
    }
    worker_index = (uint16_t)(answer.token[0] << 8 | answer.token[1]);
    if (worker_index >= outstanding) {
        return;
    }
    if (b->mode == MODE_RELAY && b->echo_len == 0) {
        memcpy(b->echo, answer.echo, answer.echo_len);
        b->echo_len = answer.echo_len;
        event_base_loopbreak(b->base);
        return;
    }
    finish_request(&workers[worker_index],
                   b->mode == MODE_FLOWS ? (answer.fields & FIELD_ECHO) != 0
                                         : answer.code == CODE_CONTENT);
}

static void
send_request(struct worker *worker)
{
    struct bench *b = worker->bench;

    b->sent++;
    worker->sent_us = clock_monotonic_us();
    switch (b->mode) {
    case MODE_HTTP:
        send_http(worker);
        break;
    case MODE_COAP:
        send_coap(worker);
        break;
    case MODE_FLOWS:
        send_flow(worker, (uint16_t)(worker - workers), &b->destination);
        break;
    case MODE_RELAY:
        send_relayed(worker, (uint16_t)(worker - workers));
        break;
    }
}

static bool
parse_endpoint(const char *text, struct endpoint *endpoint)
{
    char addr[32];
    unsigned port;

    if (text == NULL || sscanf(text, "%31[0-9.]:%u", addr, &port) != 2) {
        return false;
    }
    endpoint->port = (uint16_t)port;
    return endpoint_parse_addr(addr, &endpoint->addr);
}

/* Creates the client or socket of the mode. Returns false when that fails;
 * "st" is not set in MODE_HTTP. */
static bool
open_path(struct bench *b, struct status *st)
{
    struct client_options client_options = {
        .via = &b->destination, .via_count = 1, .random = &b->random};
    struct endpoint any = {.addr = 0x7f000001};

    switch (b->mode) {
    case MODE_HTTP:
        b->target = target_client_new(b->base, &b->destination,
                                      (uint32_t)outstanding, BODY_SIZE_MAX);
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
    double elapsed_s = (double)(clock_monotonic_us() - b->started_us) / 1e6;

    printf("{\"mode\":\"%s\",\"outstanding\":%d,\"seconds\":%.2f,"
           "\"answered\":%" PRIu64 ",\"failed\":%" PRIu64
           ",\"per_second\":%.0f,\"p50_us\":%" PRIu64 ",\"p99_us\":%" PRIu64
           "}\n",
           mode_name, outstanding, elapsed_s, b->answered, b->failed,
           (double)b->answered / elapsed_s,
           histogram_quantile(&b->latency, 0.5),
           histogram_quantile(&b->latency, 0.99));
}

/* The request that opens the flow was not answered in time. */
static void
on_open_timeout(evutil_socket_t fd, short what, void *arg)
{
    struct bench *b = arg;

    event_base_loopbreak(b->base);
}

/* Opens a flow on the balancer of --home. The requests of MODE_RELAY carry the
 * token of this flow. Returns false when --home is not an address or no answer
 * with a token arrives within 2 s. */
static bool
open_flow(struct bench *b)
{
    struct timeval timeout = {.tv_sec = 2};
    struct worker worker = {.bench = b};
    struct endpoint destination;
    struct event *timer;

    if (!parse_endpoint(home, &destination)) {
        return false;
    }
    timer = evtimer_new(b->base, on_open_timeout, b);
    event_add(timer, &timeout);
    send_flow(&worker, 0, &destination);
    event_base_dispatch(b->base);
    event_free(timer);
    return b->echo_len > 0;
}

static void
run(struct bench *b)
{
    struct timeval timeout = {.tv_sec = seconds + DEADLINE_MS / 1000};

    workers = calloc((size_t)outstanding, sizeof(*workers));
    if (b->mode == MODE_RELAY && !open_flow(b)) {
        return;
    }
    b->started_us = clock_monotonic_us();
    b->end_us = b->started_us + (uint64_t)seconds * USEC_PER_SEC;
    for (int i = 0; i < outstanding; i++) {
        workers[i].bench = b;
        if (b->mode == MODE_COAP) {
            workers[i].flow = client_flow_new(b->client);
        }
        send_request(&workers[i]);
    }
    event_base_loopexit(b->base, &timeout);
    event_base_dispatch(b->base);
    print_result(b);
    for (int i = 0; i < outstanding; i++) {
        if (workers[i].flow != NULL) {
            client_flow_destroy(workers[i].flow);
        }
    }
    free(workers);
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
    if (!parse_mode(&bench.mode) || !parse_endpoint(to, &bench.destination) ||
        outstanding < 1 || outstanding > UINT16_MAX) {
        fprintf(stderr,
                "bench-path: --mode must be http, coap, flows or relay, "
                "--to an address and port, --outstanding 1 to 65535\n");
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
