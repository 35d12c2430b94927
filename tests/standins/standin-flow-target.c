/* A target of flows. It answers each request with its service, its id and the
 * request's text, and writes each request that it runs to a journal. The id
 * comes from the command line and differs for each start. */

#include <arpa/inet.h>
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>

#include "base/clock.h"
#include "flow-end.h"
#include "flow-wire.h"
#include "standin-common.h"

#define WORK_MS_MAX 10000       /* maximum of the option --work-ms */
#define ANSWER_SIZE_MAX 1000000 /* maximum of the option --answer-bytes */
/* Distance between the first sequence numbers of two flows. */
#define FLOW_SEQ_STEP 1000003
#define TICK_INTERVAL_MS 10

struct flow {
    uint64_t key[2]; /* addresses and ports, see make_key() */
    struct flow_end end;
    struct wire_packet reply; /* addresses and ports of our packets */
    bool open;                /* the end of the handshake has arrived */
    uint64_t resend_at;       /* of the answer to the opening packet, us */
    unsigned resends;         /* of that answer */
    bool ended;               /* the caller has closed the flow */
};

/* A request that is being run, or waits for a slot. */
struct pending_answer {
    struct event *timer;
    uint64_t key[2]; /* of the flow, which may end before the answer */
    char *answer;
};

static char *listen_text;
static char *health_text;
static char *id;
static char *service;
static char *journal_path;
static int caller_port;
static int work_ms;
static int slots;       /* requests that run at once, 0: any number */
static int queue_max;   /* requests that wait for a slot; more are refused */
static int answer_size; /* minimum size of an answer, bytes */
static gboolean refuse;
static gboolean run_twice;
static gboolean mix_answers;

static const GOptionEntry options[] = {
    {"listen", 0, 0, G_OPTION_ARG_STRING, &listen_text, "Address", "A:PORT"},
    {"health", 0, 0, G_OPTION_ARG_STRING, &health_text,
     "Address of health checks, TCP; that of --listen if left out", "A:PORT"},
    {"id", 0, 0, G_OPTION_ARG_STRING, &id, "Id of the target", "ID"},
    {"service", 0, 0, G_OPTION_ARG_STRING, &service, "Service of the target",
     "NAME"},
    {"journal", 0, 0, G_OPTION_ARG_FILENAME, &journal_path, "Runs", "FILE"},
    {"caller-port", 0, 0, G_OPTION_ARG_INT, &caller_port,
     "Port at which callers receive", "PORT"},
    {"work-ms", 0, 0, G_OPTION_ARG_INT, &work_ms, "Time that a request takes",
     "MS"},
    {"slots", 0, 0, G_OPTION_ARG_INT, &slots,
     "Requests that run at once, 0: any number", "N"},
    {"queue", 0, 0, G_OPTION_ARG_INT, &queue_max,
     "Requests that wait for a slot; more are refused", "N"},
    {"answer-bytes", 0, 0, G_OPTION_ARG_INT, &answer_size,
     "Minimum size of an answer", "N"},
    {"refuse", 0, 0, G_OPTION_ARG_NONE, &refuse,
     "Answer each opening packet with a reset", NULL},
    {"run-twice", 0, 0, G_OPTION_ARG_NONE, &run_twice,
     "Fault: journal each request as run twice", NULL},
    {"mix-answers", 0, 0, G_OPTION_ARG_NONE, &mix_answers,
     "Fault: answer with the text of the previous request", NULL},
    {NULL},
};

static int sock;
static uint64_t tag; /* number at the end of the id */
static FILE *journal;
static GHashTable *flows; /* key -> struct flow */
static GQueue *waiting;   /* struct pending_answer without a slot */
static int running;       /* requests that are being run */
static uint32_t next_seq; /* first sequence number of the next flow */
static struct event_base *base;

/* Appends a line to the journal: monotonic time in milliseconds, event,
 * service, id of the target, text, and flow. */
static void
journal_write(const char *event, const char *text, const struct wire_packet *p)
{
    struct timespec ts;

    clock_gettime(CLOCK_MONOTONIC, &ts);
    fprintf(journal, "%lld %s %s %s %s %x:%u:%u\n",
            (long long)ts.tv_sec * 1000 + ts.tv_nsec / 1000000, event, service,
            id, text, p->src, p->sport, p->dport);
    fflush(journal);
}

static guint
key_hash(gconstpointer key)
{
    const uint64_t *k = key;

    return (guint)(k[0] * 31 + k[1] * 17);
}

static gboolean
key_equal(gconstpointer a, gconstpointer b)
{
    return memcmp(a, b, 2 * sizeof(uint64_t)) == 0;
}

static void
make_key(const struct wire_packet *p, uint64_t key[2])
{
    key[0] = (uint64_t)p->src << 32 | p->dst;
    key[1] = (uint64_t)p->sport << 16 | p->dport;
}

static void
send_packet(const struct wire_packet *p)
{
    uint8_t out[WIRE_PACKET_MAX];
    size_t size = wire_packet_encode(p, out);

    wire_send(sock, p->dst, (uint16_t)caller_port, out, size);
}

/* Returns a packet without data to the sender of "p". */
static struct wire_packet
reply_to(const struct wire_packet *p, uint8_t flags)
{
    return (struct wire_packet){.src = p->dst,
                                .sport = p->dport,
                                .dst = p->src,
                                .dport = p->sport,
                                .echo = p->echo,
                                .flags = flags};
}

static void
flow_free(gpointer data)
{
    struct flow *flow = data;

    flow_end_clear(&flow->end);
    g_free(flow);
}

/* Sends a packet of a flow. */
static void
send_of_flow(void *ctx, struct wire_packet *p)
{
    const struct flow *flow = ctx;

    p->src = flow->reply.src;
    p->sport = flow->reply.sport;
    p->dst = flow->reply.dst;
    p->dport = flow->reply.dport;
    send_packet(p);
}

static void
flush(struct flow *flow, bool at_once)
{
    flow_end_flush(&flow->end, at_once, clock_monotonic_us(), send_of_flow,
                   flow);
}

/* Answers the opening packet of a flow. */
static void
accept_flow(struct flow *flow)
{
    struct wire_packet out = {.flags = WIRE_SYN | WIRE_ACK,
                              .seq = flow->end.seq - 1,
                              .ack = flow->end.ack,
                              .echo = flow->end.echo};

    send_of_flow(flow, &out);
}

/* Answers the opening packet again until the flow is open. */
static void
repeat_accept(struct flow *flow, uint64_t now)
{
    if (now < flow->resend_at) {
        return;
    }
    if (flow->resends == FLOW_END_RESENDS_MAX) {
        flow->ended = true;
        return;
    }
    flow->resends++;
    flow->resend_at =
        now + MIN((uint64_t)FLOW_END_RESEND_MIN_US << flow->resends,
                  (uint64_t)FLOW_END_RESEND_MAX_US);
    accept_flow(flow);
}

static void
on_opening_packet(const struct wire_packet *p)
{
    struct wire_packet out = reply_to(p, WIRE_RST);
    struct flow *flow;
    uint64_t key[2];

    if (refuse) {
        journal_write("refuse", "-", p);
        send_packet(&out);
        return;
    }
    make_key(p, key);
    flow = g_hash_table_lookup(flows, key);
    if (flow == NULL) {
        flow = g_new0(struct flow, 1);
        memcpy(flow->key, key, sizeof(key));
        flow->reply = reply_to(p, 0);
        flow_end_init(&flow->end, next_seq + 1, p->seq + 1);
        flow->resend_at = clock_monotonic_us() + FLOW_END_RESEND_MIN_US;
        next_seq += FLOW_SEQ_STEP;
        g_hash_table_insert(flows, flow->key, flow);
        journal_write("open", "-", p);
    }
    else if (flow->end.ack != p->seq + 1) {
        return;
    }
    /* Each copy of the opening packet (SYN) is answered, as the answer to an
     * earlier copy may be lost. */
    flow->end.echo = p->echo;
    accept_flow(flow);
}

static void start_waiting(void);

/* Sends the answer to a request whose time has passed. */
static void
on_work_done(evutil_socket_t fd, short what, void *ctx)
{
    struct pending_answer *pending = ctx;
    struct flow *flow = g_hash_table_lookup(flows, pending->key);

    running--;
    if (flow != NULL) {
        flow_end_write(&flow->end, pending->answer, strlen(pending->answer));
        flush(flow, false);
    }
    event_free(pending->timer);
    g_free(pending->answer);
    g_free(pending);
    start_waiting();
}

static void
start_work(struct pending_answer *pending)
{
    const struct timeval delay = {work_ms / 1000, (work_ms % 1000) * 1000};

    running++;
    pending->timer = event_new(base, -1, 0, on_work_done, pending);
    event_add(pending->timer, &delay);
}

static void
start_waiting(void)
{
    while (!g_queue_is_empty(waiting) && (slots == 0 || running < slots)) {
        start_work(g_queue_pop_head(waiting));
    }
}

/* Returns the answer to a request, a line of at least "answer_size" bytes. */
static char *
make_answer(const char *text)
{
    GString *answer = g_string_new(NULL);

    g_string_printf(answer, "%s %s %s ", service, id, text);
    while (answer->len + 1 < (size_t)answer_size) {
        g_string_append_c(answer, '.');
    }
    g_string_append_c(answer, '\n');
    return g_string_free(answer, FALSE);
}

/* Writes a request to the journal and schedules its answer, or refuses it when
 * too many wait. */
static void
run_request(struct flow *flow, const char *text, const struct wire_packet *p)
{
    struct pending_answer *pending;
    static char last_text[WIRE_DATA_MAX + 1];
    char answer_text[WIRE_DATA_MAX + 1];

    if (slots > 0 && (int)g_queue_get_length(waiting) >= queue_max &&
        running >= slots) {
        journal_write("full", text, p);
        flow_end_write(&flow->end, "full\n", strlen("full\n"));
        return;
    }
    journal_write("run", text, p);
    if (run_twice) {
        journal_write("run", text, p);
    }
    g_strlcpy(answer_text, mix_answers ? last_text : text,
              sizeof(answer_text));
    g_strlcpy(last_text, text, sizeof(last_text));
    pending = g_new0(struct pending_answer, 1);
    memcpy(pending->key, flow->key, sizeof(pending->key));
    pending->answer = make_answer(answer_text);
    g_queue_push_tail(waiting, pending);
    start_waiting();
}

/* Runs the requests that have arrived whole: lines that begin with their text.
 */
static void
run_requests(struct flow *flow, const struct wire_packet *p)
{
    char *line;

    while ((line = flow_end_take_line(&flow->end)) != NULL) {
        line[strcspn(line, " ")] = '\0';
        run_request(flow, line, p);
        g_free(line);
    }
}

static void
close_flow(struct flow *flow, const struct wire_packet *p)
{
    struct wire_packet out = {0};

    flow_end_fill(&flow->end, &out);
    out.flags = WIRE_FIN | WIRE_ACK;
    out.ack = p->seq + p->len + 1;
    send_of_flow(flow, &out);
    flow->ended = true;
}

/* Answers a packet of a flow that this target does not hold, or that it has
 * offered to accept while another target opened it. */
static void
on_unknown_flow(const struct wire_packet *p)
{
    struct wire_packet out = reply_to(p, WIRE_RST);

    out.seq = p->ack;
    journal_write("unknown-flow", "-", p);
    send_packet(&out);
}

static void
on_packet(const struct wire_packet *p)
{
    uint64_t key[2];
    struct flow *flow;

    if ((p->flags & WIRE_SYN) != 0) {
        on_opening_packet(p);
        return;
    }
    make_key(p, key);
    flow = g_hash_table_lookup(flows, key);
    if ((p->flags & WIRE_RST) != 0) {
        g_hash_table_remove(flows, key);
        return;
    }
    if (flow != NULL && flow->ended && p->len == 0) {
        return;
    }
    if (flow == NULL || flow->ended ||
        (!flow->open && p->ack != flow->end.seq)) {
        on_unknown_flow(p);
        return;
    }
    if (!flow->open) {
        flow->open = true;
        journal_write("established", "-", p);
    }
    (void)flow_end_receive(&flow->end, p, clock_monotonic_us());
    run_requests(flow, p);
    flush(flow, false);
    if ((p->flags & WIRE_FIN) != 0) {
        close_flow(flow, p);
    }
}

/* Sends again what callers have not acknowledged. */
static void
on_tick(evutil_socket_t fd, short what, void *ctx)
{
    uint64_t now = clock_monotonic_us();
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, flows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct flow *flow = value;

        if (!flow->ended && !flow->open) {
            repeat_accept(flow, now);
        }
        if (flow->ended || flow->end.resend_at == 0) {
            continue;
        }
        if (!flow_end_tick(&flow->end, now)) {
            flow->ended = true;
            continue;
        }
        flush(flow, false);
    }
}

static void
on_readable(evutil_socket_t fd, short what, void *ctx)
{
    static const struct wire_packet none;
    uint8_t data[WIRE_TAG_SIZE + WIRE_PACKET_MAX];
    ssize_t size;

    while ((size = recv(sock, data, sizeof(data), 0)) > 0) {
        struct wire_packet p;
        uint64_t packet_tag = 0;

        for (int i = 0; i < WIRE_TAG_SIZE && i < size; i++) {
            packet_tag = packet_tag << 8 | data[i];
        }
        if (size < WIRE_TAG_SIZE ||
            !wire_packet_decode(data + WIRE_TAG_SIZE,
                                (size_t)size - WIRE_TAG_SIZE, &p)) {
            journal_write("malformed", "-", &none);
        }
        else if (packet_tag != 0 && packet_tag != tag) {
            journal_write("other-target", "-", &p);
        }
        else {
            on_packet(&p);
        }
    }
}

/* Reads the tag from the hexadecimal digits after the last "-" of the id. */
static void
parse_tag(void)
{
    const char *digits = strrchr(id, '-');

    for (const char *c = digits == NULL ? id : digits + 1; *c != '\0'; c++) {
        if (isxdigit((unsigned char)*c)) {
            tag = tag << 4 | (uint64_t)g_ascii_xdigit_value(*c);
        }
    }
}

/* A health check ends here: nothing in the tests reads the answer. */
static void
on_health_check(struct evconnlistener *listener, evutil_socket_t fd,
                struct sockaddr *from, int size, void *ctx)
{
    evutil_closesocket(fd);
}

static struct evconnlistener *
listen_for_health_checks(const struct standin_endpoint *ep)
{
    struct sockaddr_in sin = {.sin_family = AF_INET,
                              .sin_port = htons(ep->port)};
    struct evconnlistener *listener;

    inet_pton(AF_INET, ep->address, &sin.sin_addr);
    listener = evconnlistener_new_bind(
        base, on_health_check, NULL,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, -1,
        (struct sockaddr *)&sin, sizeof(sin));
    if (listener == NULL) {
        perror("cannot listen for health checks");
        exit(EXIT_FAILURE);
    }
    return listener;
}

int
main(int argc, char **argv)
{
    GOptionContext *context = g_option_context_new("- a target of flows");
    const struct timeval interval = {0, TICK_INTERVAL_MS * 1000};
    struct evconnlistener *listener;
    struct standin_endpoint health;
    struct standin_endpoint ep;
    struct event *readable;
    struct event *tick;

    g_option_context_add_main_entries(context, options, NULL);
    if (!g_option_context_parse(context, &argc, &argv, NULL) ||
        listen_text == NULL || id == NULL || service == NULL ||
        journal_path == NULL || work_ms < 0 || work_ms > WORK_MS_MAX ||
        slots < 0 || queue_max < 0 || answer_size < 0 ||
        answer_size > ANSWER_SIZE_MAX ||
        !standin_endpoint_parse(listen_text, &ep) ||
        !standin_endpoint_parse(
            health_text == NULL ? listen_text : health_text, &health)) {
        fprintf(stderr, "invalid or missing arguments, see --help\n");
        return 2;
    }
    g_option_context_free(context);
    parse_tag();
    journal = fopen(journal_path, "a");
    if (journal == NULL) {
        perror(journal_path);
        return 1;
    }
    flows = g_hash_table_new_full(key_hash, key_equal, NULL, flow_free);
    waiting = g_queue_new();
    /* Two targets that are offered one flow do not share sequence numbers. */
    next_seq = (uint32_t)g_str_hash(id) * 2654435761U;
    base = standin_base_new();
    sock = wire_socket_open(ep.address, ep.port);
    listener = listen_for_health_checks(&health);
    readable = event_new(base, sock, EV_READ | EV_PERSIST, on_readable, NULL);
    tick = event_new(base, -1, EV_PERSIST, on_tick, NULL);
    event_add(readable, NULL);
    event_add(tick, &interval);
    event_base_dispatch(base);
    event_free(readable);
    event_free(tick);
    evconnlistener_free(listener);
    fclose(journal);
    return 0;
}
