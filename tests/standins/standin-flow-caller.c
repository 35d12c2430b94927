/* Callers of flows behind routers that may hand any packet to any balancer.
 * Each flow makes requests one after the other; what became of them is printed
 * at the end, a line each: what, how many. */

#include <arpa/inet.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/event.h>
#include <glib.h>

#include "base/clock.h"
#include "flow-wire.h"
#include "standin-common.h"

#define OPEN_COPIES 3
#define TICK_MS 10
#define RESEND_US 200000
#define RESEND_MAX_US 1600000
#define OPEN_LIMIT_US 1400000
#define FIRST_PORT 20000

static const uint64_t copy_after_us[OPEN_COPIES] = {0, 200000, 600000};

enum state {
    OPENING,
    IDLE,
    WAITING,
    ENDED,
};

enum result {
    ANSWERED,
    REFUSED,  /* reset before the flow was open */
    UNOPENED, /* no answer to the opening */
    RESET,    /* of an open flow */
    TIMED_OUT,
    WRONG, /* an answer of another service or to another request */
    RESULT_COUNT,
};

static const char *const result_names[] = {"answered", "refused",   "unopened",
                                           "reset",    "timed-out", "wrong"};

struct flow {
    enum state state;
    uint16_t port;
    uint32_t echo;
    uint32_t seq;
    uint32_t ack;
    int copies;
    int request;
    int on_flow;     /* requests answered on this one */
    int tries;       /* of the request that were refused */
    uint64_t since;  /* of the state, us */
    uint64_t resend; /* next, us */
    uint64_t interval;
    size_t via; /* balancer of steady routers */
    char text[64];
};

static char *bind_text;
static char **via_texts;
static char *route_text;
static char *service;
static int flow_count = 10;
static int request_count = 10;
static int gap_ms = 50;
static int deadline_ms = 3000;
static int flow_requests; /* after which a flow is closed, 0: never */
static gboolean print_events;
static int retries; /* of a request whose flow was refused */
static int seed = 1;
static gboolean steady;
static char *label = "x";

static const GOptionEntry options[] = {
    {"bind", 0, 0, G_OPTION_ARG_STRING, &bind_text, "Own address", "A:PORT"},
    {"via", 0, 0, G_OPTION_ARG_STRING_ARRAY, &via_texts, "A balancer, each",
     "A:PORT"},
    {"route", 0, 0, G_OPTION_ARG_STRING, &route_text, "Route", "A:PORT"},
    {"service", 0, 0, G_OPTION_ARG_STRING, &service, "Expected", "NAME"},
    {"flows", 0, 0, G_OPTION_ARG_INT, &flow_count, "At once", "N"},
    {"requests", 0, 0, G_OPTION_ARG_INT, &request_count, "Of a flow", "N"},
    {"flow-requests", 0, 0, G_OPTION_ARG_INT, &flow_requests,
     "Answered before another flow is opened", "N"},
    {"events", 0, 0, G_OPTION_ARG_NONE, &print_events,
     "A line for each request as it ends", NULL},
    {"gap-ms", 0, 0, G_OPTION_ARG_INT, &gap_ms, "Between requests", "MS"},
    {"deadline-ms", 0, 0, G_OPTION_ARG_INT, &deadline_ms, "Of one", "MS"},
    {"retries", 0, 0, G_OPTION_ARG_INT, &retries, "After a refusal", "N"},
    {"seed", 0, 0, G_OPTION_ARG_INT, &seed, "Of the routers", "N"},
    {"steady", 0, 0, G_OPTION_ARG_NONE, &steady,
     "A flow stays with one balancer", NULL},
    {"label", 0, 0, G_OPTION_ARG_STRING, &label, "In requests", "TEXT"},
    {NULL},
};

static int sock;
static struct standin_endpoint route;
static uint32_t sender; /* of the packet that is being handled */
static struct in_addr own;
static struct in_addr route_addr;
static GArray *vias; /* struct standin_endpoint */
static struct flow *flows;
static struct standin_random random_source;
static unsigned results[RESULT_COUNT];
static GHashTable *by_target; /* id -> count */
static struct event_base *base;

static void
send_packet(struct flow *flow, uint8_t flags, uint32_t seq, uint32_t ack,
            const char *text)
{
    struct wire_packet p = {.src = ntohl(own.s_addr),
                            .sport = flow->port,
                            .dst = ntohl(route_addr.s_addr),
                            .dport = route.port,
                            .echo = flow->echo,
                            .flags = flags,
                            .seq = seq,
                            .ack = ack};
    const struct standin_endpoint *to;
    uint8_t out[WIRE_PACKET_MAX];
    struct in_addr addr;
    size_t via = flow->via;

    if (!steady) {
        via = standin_random_next(&random_source) % vias->len;
    }
    to = &g_array_index(vias, struct standin_endpoint, via);
    inet_pton(AF_INET, to->address, &addr);
    if (text != NULL) {
        p.len = (uint16_t)strlen(text);
        memcpy(p.data, text, p.len);
    }
    wire_send(sock, ntohl(addr.s_addr), to->port, out, wire_write(&p, out));
}

static void
open_flow(struct flow *flow, uint64_t now)
{
    static uint16_t next_port = FIRST_PORT;

    flow->state = OPENING;
    flow->port = next_port;
    next_port = next_port == UINT16_MAX ? FIRST_PORT : next_port + 1;
    flow->on_flow = 0;
    flow->echo = 0;
    flow->seq = (uint32_t)standin_random_next(&random_source);
    flow->copies = 0;
    flow->since = now;
    flow->via = standin_random_next(&random_source) % vias->len;
}

static void
set_state(struct flow *flow, enum state state, uint64_t now)
{
    flow->state = state;
    flow->since = now;
}

/* A line for each request that ends: when, how, on which flow, and who sent
 * the packet that ended it. */
static void
print_event(const struct flow *flow, enum result result, uint64_t now)
{
    if (print_events) {
        printf("event %" PRIu64 " %s %x:%u:%u %x %s-%td-%d\n", now / 1000,
               result_names[result], ntohl(own.s_addr), flow->port, route.port,
               sender, label, flow - flows, flow->request);
        fflush(stdout);
    }
}

static void
close_flow(struct flow *flow)
{
    send_packet(flow, WIRE_FIN | WIRE_ACK, flow->seq, flow->ack, NULL);
}

/* A request has ended; the next one goes on the same flow or on a new one. */
static void
end_request(struct flow *flow, enum result result, uint64_t now)
{
    print_event(flow, result, now);
    if (result == REFUSED && flow->tries < retries) {
        flow->tries++;
        open_flow(flow, now);
        return;
    }
    flow->tries = 0;
    results[result]++;
    flow->request++;
    if (flow->request == request_count) {
        if (result == ANSWERED) {
            close_flow(flow);
        }
        set_state(flow, ENDED, now);
    }
    else if (result == ANSWERED) {
        flow->on_flow++;
        if (flow->on_flow == flow_requests) {
            close_flow(flow);
            open_flow(flow, now + (uint64_t)gap_ms * 1000);
        }
        else {
            set_state(flow, IDLE, now);
        }
    }
    else {
        open_flow(flow, now + (uint64_t)gap_ms * 1000);
    }
}

static void
send_request(struct flow *flow, uint64_t now)
{
    snprintf(flow->text, sizeof(flow->text), "%s-%td-%d", label, flow - flows,
             flow->request);
    set_state(flow, WAITING, now);
    flow->interval = RESEND_US;
    flow->resend = now + flow->interval;
    send_packet(flow, WIRE_ACK, flow->seq, flow->ack, flow->text);
}

static void
on_answer(struct flow *flow, const struct wire_packet *p, uint64_t now)
{
    char from[64] = "";
    char id[64] = "";
    char text[64] = "";
    char data[WIRE_DATA_MAX + 1];
    bool wrong;

    memcpy(data, p->data, p->len);
    data[p->len] = '\0';
    wrong = sscanf(data, "%63s %63s %63s", from, id, text) != 3 ||
            strcmp(text, flow->text) != 0 ||
            (service != NULL && strcmp(from, service) != 0);
    flow->seq += (uint32_t)strlen(flow->text);
    flow->ack += p->len;
    if (!wrong) {
        gpointer count = g_hash_table_lookup(by_target, id);

        g_hash_table_insert(by_target, g_strdup(id),
                            GINT_TO_POINTER(GPOINTER_TO_INT(count) + 1));
    }
    send_packet(flow, WIRE_ACK, flow->seq, flow->ack, NULL);
    end_request(flow, wrong ? WRONG : ANSWERED, now);
}

static void
on_packet(const struct wire_packet *p, uint64_t now)
{
    for (int i = 0; i < flow_count; i++) {
        struct flow *flow = &flows[i];

        if (flow->port != p->dport || flow->state == ENDED) {
            continue;
        }
        if ((p->flags & WIRE_RST) != 0) {
            end_request(flow, flow->state == OPENING ? REFUSED : RESET, now);
            return;
        }
        flow->echo = p->echo;
        if (flow->state == OPENING && (p->flags & WIRE_SYN) != 0) {
            flow->seq++;
            flow->ack = p->seq + 1;
            send_request(flow, now);
        }
        else if (flow->state == WAITING && p->len > 0 && p->seq == flow->ack) {
            on_answer(flow, p, now);
        }
        return;
    }
}

static void
on_readable(evutil_socket_t fd, short what, void *ctx)
{
    uint8_t data[WIRE_PACKET_MAX];
    struct sockaddr_in from = {0};
    socklen_t from_len = sizeof(from);
    struct wire_packet p;
    ssize_t size;

    while ((size = recvfrom(sock, data, sizeof(data), 0,
                            (struct sockaddr *)&from, &from_len)) > 0) {
        sender = ntohl(from.sin_addr.s_addr);
        if (wire_read(data, (size_t)size, &p)) {
            on_packet(&p, clock_monotonic_us());
        }
    }
    sender = 0;
}

static void
tick_flow(struct flow *flow, uint64_t now)
{
    uint64_t age = now - flow->since;

    if (now < flow->since) {
        return;
    }
    switch (flow->state) {
    case OPENING:
        if (flow->copies < OPEN_COPIES && age >= copy_after_us[flow->copies]) {
            send_packet(flow, WIRE_SYN, flow->seq, (uint32_t)flow->copies,
                        NULL);
            flow->copies++;
        }
        else if (age > OPEN_LIMIT_US) {
            end_request(flow, UNOPENED, now);
        }
        break;
    case IDLE:
        if (age >= (uint64_t)gap_ms * 1000) {
            send_request(flow, now);
        }
        break;
    case WAITING:
        if (age > (uint64_t)deadline_ms * 1000) {
            end_request(flow, TIMED_OUT, now);
        }
        else if (now >= flow->resend) {
            flow->interval = flow->interval * 2 > RESEND_MAX_US
                                 ? RESEND_MAX_US
                                 : flow->interval * 2;
            flow->resend = now + flow->interval;
            send_packet(flow, WIRE_ACK, flow->seq, flow->ack, flow->text);
        }
        break;
    default:
        break;
    }
}

static void
on_tick(evutil_socket_t fd, short what, void *ctx)
{
    uint64_t now = clock_monotonic_us();
    int left = 0;

    for (int i = 0; i < flow_count; i++) {
        tick_flow(&flows[i], now);
        left += flows[i].state != ENDED;
    }
    if (left == 0) {
        event_base_loopbreak(base);
    }
}

static void
print_results(void)
{
    GHashTableIter iter;
    gpointer key;
    gpointer value;

    for (int i = 0; i < RESULT_COUNT; i++) {
        printf("%s %u\n", result_names[i], results[i]);
    }
    g_hash_table_iter_init(&iter, by_target);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        printf("target %s %d\n", (char *)key, GPOINTER_TO_INT(value));
    }
}

static bool
parse_arguments(int argc, char **argv, struct standin_endpoint *bound)
{
    GOptionContext *context = g_option_context_new("- callers of flows");
    bool parsed;

    g_option_context_add_main_entries(context, options, NULL);
    parsed = g_option_context_parse(context, &argc, &argv, NULL);
    g_option_context_free(context);
    if (!parsed || bind_text == NULL || route_text == NULL ||
        via_texts == NULL || flow_count < 1 || request_count < 1 ||
        !standin_endpoint_parse(bind_text, bound) ||
        !standin_endpoint_parse(route_text, &route)) {
        return false;
    }
    vias = g_array_new(FALSE, FALSE, sizeof(struct standin_endpoint));
    for (char **text = via_texts; *text != NULL; text++) {
        struct standin_endpoint ep;

        if (!standin_endpoint_parse(*text, &ep)) {
            return false;
        }
        g_array_append_val(vias, ep);
    }
    return true;
}

int
main(int argc, char **argv)
{
    const struct timeval interval = {0, TICK_MS * 1000};
    struct standin_endpoint bound;
    struct event *readable;
    struct event *tick;

    if (!parse_arguments(argc, argv, &bound)) {
        fprintf(stderr, "bad arguments, see --help\n");
        return 2;
    }
    random_source.state = (uint64_t)seed;
    inet_pton(AF_INET, bound.address, &own);
    inet_pton(AF_INET, route.address, &route_addr);
    by_target = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    flows = g_new0(struct flow, flow_count);
    base = standin_base_new();
    sock = wire_socket(bound.address, bound.port);
    for (int i = 0; i < flow_count; i++) {
        open_flow(&flows[i], clock_monotonic_us());
    }
    readable = event_new(base, sock, EV_READ | EV_PERSIST, on_readable, NULL);
    tick = event_new(base, -1, EV_PERSIST, on_tick, NULL);
    event_add(readable, NULL);
    event_add(tick, &interval);
    event_base_dispatch(base);
    print_results();
    return 0;
}
