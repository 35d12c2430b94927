/* Callers of flows behind routers that may forward each packet to a different
 * balancer. Each caller sends its requests one after the other and opens a new
 * flow when needed. At the end the program prints a line "RESULT COUNT" for
 * each kind of result, and a line "target ID COUNT" for each target that
 * answered requests. */

#include <arpa/inet.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/event.h>
#include <glib.h>

#include "base/clock.h"
#include "flow-end.h"
#include "flow-wire.h"
#include "standin-common.h"

#define OPENING_COPIES 3 /* copies of an opening packet (SYN) */
/* Interval between two checks of the flows' timers. */
#define TICK_INTERVAL_MS 10
#define OPENING_TIMEOUT_US 1400000 /* time within which a flow must open */
#define CALLER_PORT_FIRST 20000    /* caller port of the first flow */

/* Time from the start of an opening to each copy of the opening packet. */
static const uint64_t opening_delays_us[OPENING_COPIES] = {0, 200000, 600000};

enum state {
    OPENING, /* opening packets are sent, no answer yet */
    IDLE,    /* pause before the next request */
    WAITING, /* a request was sent, no answer yet */
    ENDED,   /* all requests have ended */
};

enum result {
    ANSWERED,
    REFUSED,    /* reset before the flow was open */
    UNOPENED,   /* no answer to the opening packets */
    RESET,      /* an open flow was reset that waits for an answer */
    IDLE_RESET, /* an open flow was reset between two requests; not the result
                 * of a request */
    TIMED_OUT,
    FULL,  /* the target had no room for the request */
    WRONG, /* malformed, from another service or to another request */
    RESULT_COUNT,
};

static const char *const result_names[] = {
    "answered",   "refused",   "unopened", "reset",
    "idle-reset", "timed-out", "full",     "wrong"};

/* A caller that has one flow at a time. */
struct flow {
    enum state state;
    uint16_t port;      /* caller port of the current flow */
    uint32_t first_seq; /* sequence number of the opening packet */
    struct flow_end end;
    int opening_copies;      /* copies of the opening packet sent so far */
    int request_index;       /* index of the current request */
    int answered_on_flow;    /* requests answered on the current flow */
    int refusals;            /* refused openings for the current request */
    uint64_t state_since_us; /* when the state began, monotonic, us */
    size_t balancer;         /* index of the balancer used with --steady */
    bool accept_lost;        /* the first answer to its opening is lost */
    char request_text[64];   /* text of the current request */
};

static char *bind_text;
static char **balancer_texts;
static char *route_text;
static char *service;
static int flow_count = 10;
static int request_count = 10;
static int gap_ms = 50;
static int spread_ms;
static int deadline_ms = 3000;
static int request_size;  /* minimum size of a request, bytes */
static int flow_requests; /* answers after which a flow is closed; 0: never */
static gboolean print_events;
static int retries; /* maximum retries of a request whose flow was refused */
static int seed = 1;
static gboolean steady;
static int move_request; /* 0: flows do not move */
static int move_answers; /* 0: the same */
static gboolean move_copies;
static int lose_every; /* 0: no answer is lost */
static char *label = "x";

static const GOptionEntry options[] = {
    {"bind", 0, 0, G_OPTION_ARG_STRING, &bind_text, "Local address", "A:PORT"},
    {"via", 0, 0, G_OPTION_ARG_STRING_ARRAY, &balancer_texts,
     "Address of a balancer; may be repeated", "A:PORT"},
    {"route", 0, 0, G_OPTION_ARG_STRING, &route_text, "Route", "A:PORT"},
    {"service", 0, 0, G_OPTION_ARG_STRING, &service, "Expected", "NAME"},
    {"flows", 0, 0, G_OPTION_ARG_INT, &flow_count, "Concurrent flows", "N"},
    {"requests", 0, 0, G_OPTION_ARG_INT, &request_count,
     "Requests of each caller", "N"},
    {"flow-requests", 0, 0, G_OPTION_ARG_INT, &flow_requests,
     "Answers after which the flow is replaced by a new one; 0: never", "N"},
    {"events", 0, 0, G_OPTION_ARG_NONE, &print_events,
     "Print a line for each request that ends", NULL},
    {"gap-ms", 0, 0, G_OPTION_ARG_INT, &gap_ms, "Pause between requests",
     "MS"},
    {"spread-ms", 0, 0, G_OPTION_ARG_INT, &spread_ms,
     "Time over which the first flows are opened", "MS"},
    {"deadline-ms", 0, 0, G_OPTION_ARG_INT, &deadline_ms,
     "Time limit of a request", "MS"},
    {"request-bytes", 0, 0, G_OPTION_ARG_INT, &request_size,
     "Minimum size of a request", "N"},
    {"retries", 0, 0, G_OPTION_ARG_INT, &retries,
     "Retries of a request whose flow is refused", "N"},
    {"seed", 0, 0, G_OPTION_ARG_INT, &seed,
     "Seed of the random number generator", "N"},
    {"steady", 0, 0, G_OPTION_ARG_NONE, &steady,
     "Send all packets of a flow to one balancer", NULL},
    {"move-request", 0, 0, G_OPTION_ARG_INT, &move_request,
     "With --steady: once this request of each caller was sent, its flow goes "
     "by the next balancer; 0: never",
     "N"},
    {"move-answers", 0, 0, G_OPTION_ARG_INT, &move_answers,
     "With --steady: each flow goes by the next balancer after this many "
     "answers; 0: never",
     "N"},
    {"move-copies", 0, 0, G_OPTION_ARG_NONE, &move_copies,
     "With --steady: a copy of an opening makes the flow go by the next "
     "balancer",
     NULL},
    {"lose-accepts", 0, 0, G_OPTION_ARG_INT, &lose_every,
     "Every N-th flow loses the first answer to its opening packet; 0: none",
     "N"},
    {"label", 0, 0, G_OPTION_ARG_STRING, &label,
     "First part of the text of each request", "TEXT"},
    {NULL},
};

static int sock;
static struct standin_endpoint route;
/* Source address of the packet being handled, host byte order; 0: none. */
static uint32_t packet_sender;
static struct in_addr local_addr;
static struct in_addr route_addr;
static GArray *balancers; /* struct standin_endpoint */
/* With --steady: index of the balancer that is out of rotation; the number of
 * balancers: none. Each SIGUSR1 takes the next one out, in place of the one
 * before; SIGUSR2 brings all in. */
static size_t out_of_rotation;
static struct flow *flows;
static struct standin_random random_source;
static unsigned results[RESULT_COUNT];
static GHashTable *answers_by_target; /* id -> number of correct answers */
static struct event_base *base;

/* Sends a packet of a flow by way of a random balancer or, with --steady, of
 * the flow's own balancer. */
static void
send_packet(void *ctx, struct wire_packet *p)
{
    const struct flow *flow = ctx;
    const struct standin_endpoint *to;
    uint8_t out[WIRE_PACKET_MAX];
    struct in_addr addr;
    size_t via = flow->balancer;

    p->src = ntohl(local_addr.s_addr);
    p->sport = flow->port;
    p->dst = ntohl(route_addr.s_addr);
    p->dport = route.port;
    if (!steady) {
        via = standin_random_next(&random_source) % balancers->len;
    }
    else if (via == out_of_rotation) {
        via = (via + 1) % balancers->len;
    }
    to = &g_array_index(balancers, struct standin_endpoint, via);
    inet_pton(AF_INET, to->address, &addr);
    wire_send(sock, ntohl(addr.s_addr), to->port, out,
              wire_packet_encode(p, out));
}

static void
send_opening(struct flow *flow)
{
    struct wire_packet p = {.flags = WIRE_SYN,
                            .seq = flow->first_seq,
                            /* The ack field numbers the copies. */
                            .ack = (uint32_t)flow->opening_copies};

    send_packet(flow, &p);
}

/* Begins a new flow at time "now", which may lie in the future. The opening
 * packets are sent by tick_flow(). */
static void
open_flow(struct flow *flow, uint64_t now)
{
    static uint16_t next_port = CALLER_PORT_FIRST;
    static int opened;

    opened++;
    flow->accept_lost = lose_every > 0 && opened % lose_every == 0;
    flow->state = OPENING;
    flow->port = next_port;
    next_port = next_port == UINT16_MAX ? CALLER_PORT_FIRST : next_port + 1;
    flow->answered_on_flow = 0;
    flow_end_clear(&flow->end);
    flow->first_seq = (uint32_t)standin_random_next(&random_source);
    flow->opening_copies = 0;
    flow->state_since_us = now;
    flow->balancer = standin_random_next(&random_source) % balancers->len;
}

static void
set_state(struct flow *flow, enum state state, uint64_t now)
{
    flow->state = state;
    flow->state_since_us = now;
}

/* With --events, prints a line for a request that has ended: monotonic time in
 * milliseconds, result, flow, source address of the packet that ended the
 * request (0 if a timer did), and the request's text. */
static void
print_event(const struct flow *flow, enum result result, uint64_t now)
{
    if (print_events) {
        printf("event %" PRIu64 " %s %x:%u:%u %x %s-%td-%d\n", now / 1000,
               result_names[result], ntohl(local_addr.s_addr), flow->port,
               route.port, packet_sender, label, flow - flows,
               flow->request_index);
        fflush(stdout);
    }
}

static void
close_flow(struct flow *flow)
{
    struct wire_packet p = {0};

    flow_end_fill(&flow->end, &p);
    p.flags = WIRE_FIN | WIRE_ACK;
    send_packet(flow, &p);
}

/* Counts the result of a request and prepares the next request, on the same
 * flow or on a new one. A refused request is retried first if it has retries
 * left. */
static void
end_request(struct flow *flow, enum result result, uint64_t now)
{
    print_event(flow, result, now);
    if (result == REFUSED && flow->refusals < retries) {
        flow->refusals++;
        open_flow(flow, now);
        return;
    }
    flow->refusals = 0;
    results[result]++;
    flow->request_index++;
    if (flow->request_index == request_count) {
        if (result == ANSWERED) {
            close_flow(flow);
        }
        set_state(flow, ENDED, now);
    }
    else if (result == ANSWERED || result == FULL) {
        flow->answered_on_flow++;
        if (flow->answered_on_flow == flow_requests) {
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

/* Replaces a flow that was reset between two requests. The next request is
 * sent on the new flow, after the pause. */
static void
replace_idle_flow(struct flow *flow, uint64_t now)
{
    uint64_t next = flow->state_since_us + (uint64_t)gap_ms * 1000;

    print_event(flow, RESET, now);
    results[IDLE_RESET]++;
    open_flow(flow, next > now ? next : now);
}

static void
send_request(struct flow *flow, uint64_t now)
{
    GString *request = g_string_new(NULL);

    snprintf(flow->request_text, sizeof(flow->request_text), "%s-%td-%d",
             label, flow - flows, flow->request_index);
    set_state(flow, WAITING, now);
    if (move_answers > 0 && flow->answered_on_flow == move_answers) {
        flow->balancer = (flow->balancer + 1) % balancers->len;
    }
    g_string_printf(request, "%s ", flow->request_text);
    while (request->len + 1 < (size_t)request_size) {
        g_string_append_c(request, '.');
    }
    g_string_append_c(request, '\n');
    flow_end_write(&flow->end, request->str, request->len);
    g_string_free(request, TRUE);
    flow_end_flush(&flow->end, false, now, send_packet, flow);
    if (move_request > 0 && flow->request_index == move_request) {
        flow->balancer = (flow->balancer + 1) % balancers->len;
    }
}

static void
on_answer(struct flow *flow, const char *answer, uint64_t now)
{
    char from[512] = "";
    char id[64] = "";
    char text[64] = "";
    bool wrong;

    flow_end_flush(&flow->end, true, now, send_packet, flow);
    if (strcmp(answer, "full") == 0) {
        end_request(flow, FULL, now);
        return;
    }
    wrong = sscanf(answer, "%511s %63s %63s", from, id, text) != 3 ||
            strcmp(text, flow->request_text) != 0 ||
            (service != NULL && strcmp(from, service) != 0);
    if (!wrong) {
        gpointer count = g_hash_table_lookup(answers_by_target, id);

        g_hash_table_insert(answers_by_target, g_strdup(id),
                            GINT_TO_POINTER(GPOINTER_TO_INT(count) + 1));
    }
    end_request(flow, wrong ? WRONG : ANSWERED, now);
}

/* Handles data and acknowledgements of an open flow. */
static void
on_data(struct flow *flow, const struct wire_packet *p, uint64_t now)
{
    char *answer;

    if ((p->flags & WIRE_SYN) != 0) {
        /* Another target has answered the opening too: the last echo that was
         * received on the flow counts. */
        flow->end.echo = p->echo;
        return;
    }
    (void)flow_end_receive(&flow->end, p, now);
    answer = flow_end_take_line(&flow->end);
    if (answer != NULL && flow->state == WAITING) {
        on_answer(flow, answer, now);
    }
    else {
        flow_end_flush(&flow->end, false, now, send_packet, flow);
    }
    g_free(answer);
}

static void
on_packet(const struct wire_packet *p, uint64_t now)
{
    for (int i = 0; i < flow_count; i++) {
        struct flow *flow = &flows[i];

        if (flow->port != p->dport || flow->state == ENDED) {
            continue;
        }
        if ((p->flags & WIRE_RST) != 0 && flow->state == IDLE) {
            replace_idle_flow(flow, now);
        }
        else if ((p->flags & WIRE_RST) != 0) {
            end_request(flow, flow->state == OPENING ? REFUSED : RESET, now);
        }
        else if (flow->state != OPENING) {
            on_data(flow, p, now);
        }
        else if (flow->accept_lost) {
            flow->accept_lost = false;
        }
        else if ((p->flags & WIRE_SYN) != 0 && p->ack == flow->first_seq + 1) {
            flow_end_init(&flow->end, flow->first_seq + 1, p->seq + 1);
            flow->end.echo = p->echo;
            send_request(flow, now);
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
        packet_sender = ntohl(from.sin_addr.s_addr);
        if (wire_packet_decode(data, (size_t)size, &p)) {
            on_packet(&p, clock_monotonic_us());
        }
    }
    packet_sender = 0;
}

/* Handles the timers of a flow: copies of the opening packet, the pause
 * between requests, resends and time limits. */
static void
tick_flow(struct flow *flow, uint64_t now)
{
    uint64_t age = now - flow->state_since_us;

    if (now < flow->state_since_us) {
        return;
    }
    switch (flow->state) {
    case OPENING:
        if (flow->opening_copies < OPENING_COPIES &&
            age >= opening_delays_us[flow->opening_copies]) {
            if (move_copies && flow->opening_copies > 0) {
                flow->balancer = (flow->balancer + 1) % balancers->len;
            }
            send_opening(flow);
            flow->opening_copies++;
        }
        else if (age > OPENING_TIMEOUT_US) {
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
        else if (flow_end_tick(&flow->end, now)) {
            flow_end_flush(&flow->end, false, now, send_packet, flow);
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
    int unfinished = 0;

    for (int i = 0; i < flow_count; i++) {
        tick_flow(&flows[i], now);
        unfinished += flows[i].state != ENDED;
    }
    if (unfinished == 0) {
        event_base_loopbreak(base);
    }
}

static void
on_rotation(evutil_socket_t fd, short what, void *ctx)
{
    out_of_rotation = fd == SIGUSR2
                          ? balancers->len
                          : (out_of_rotation + 1) % (balancers->len + 1);
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
    g_hash_table_iter_init(&iter, answers_by_target);
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
        balancer_texts == NULL || flow_count < 1 || request_count < 1 ||
        request_size < 0 || !standin_endpoint_parse(bind_text, bound) ||
        !standin_endpoint_parse(route_text, &route)) {
        return false;
    }
    balancers = g_array_new(FALSE, FALSE, sizeof(struct standin_endpoint));
    for (char **text = balancer_texts; *text != NULL; text++) {
        struct standin_endpoint ep;

        if (!standin_endpoint_parse(*text, &ep)) {
            return false;
        }
        g_array_append_val(balancers, ep);
    }
    return true;
}

int
main(int argc, char **argv)
{
    const struct timeval interval = {0, TICK_INTERVAL_MS * 1000};
    struct standin_endpoint bound;
    struct event *readable;
    struct event *tick;
    struct event *next_out;
    struct event *all_in;

    if (!parse_arguments(argc, argv, &bound)) {
        fprintf(stderr, "invalid or missing arguments, see --help\n");
        return 2;
    }
    random_source.state = (uint64_t)seed;
    inet_pton(AF_INET, bound.address, &local_addr);
    inet_pton(AF_INET, route.address, &route_addr);
    answers_by_target =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    flows = g_new0(struct flow, flow_count);
    base = standin_base_new();
    out_of_rotation = balancers->len;
    next_out = evsignal_new(base, SIGUSR1, on_rotation, NULL);
    all_in = evsignal_new(base, SIGUSR2, on_rotation, NULL);
    evsignal_add(next_out, NULL);
    evsignal_add(all_in, NULL);
    sock = wire_socket_open(bound.address, bound.port);
    for (int i = 0; i < flow_count; i++) {
        open_flow(&flows[i], clock_monotonic_us() +
                                 (uint64_t)spread_ms * 1000 * i / flow_count);
    }
    readable = event_new(base, sock, EV_READ | EV_PERSIST, on_readable, NULL);
    tick = event_new(base, -1, EV_PERSIST, on_tick, NULL);
    event_add(readable, NULL);
    event_add(tick, &interval);
    event_base_dispatch(base);
    print_results();
    return 0;
}
