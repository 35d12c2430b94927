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
#include <glib.h>

#include "flow-wire.h"
#include "standin-common.h"

#define WORK_MS_MAX 10000 /* maximum of the option --work-ms */

struct flow {
    uint64_t key[2];       /* addresses and ports, see make_key() */
    uint32_t expected_seq; /* sequence number of the caller's next byte */
    uint32_t seq;          /* sequence number of our next byte */
    /* Sent again if the caller resends the request. */
    struct wire_packet last_answer;
    bool answered; /* the last answer has been sent */
    bool ended;    /* the caller has closed the flow */
};

/* An answer that is sent when the time of the request has passed. */
struct pending_answer {
    struct event *timer;
    struct flow *flow; /* unused; the flow is looked up by its key */
    uint64_t key[2];   /* of the flow, which may end before the answer */
};

static char *listen_text;
static char *id;
static char *service;
static char *journal_path;
static int caller_port;
static int work_ms;
static gboolean refuse;
static gboolean run_twice;
static gboolean mix_answers;

static const GOptionEntry options[] = {
    {"listen", 0, 0, G_OPTION_ARG_STRING, &listen_text, "Address", "A:PORT"},
    {"id", 0, 0, G_OPTION_ARG_STRING, &id, "Id of the target", "ID"},
    {"service", 0, 0, G_OPTION_ARG_STRING, &service, "Service of the target",
     "NAME"},
    {"journal", 0, 0, G_OPTION_ARG_FILENAME, &journal_path, "Runs", "FILE"},
    {"caller-port", 0, 0, G_OPTION_ARG_INT, &caller_port,
     "Port at which callers receive", "PORT"},
    {"work-ms", 0, 0, G_OPTION_ARG_INT, &work_ms, "Time that a request takes",
     "MS"},
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
static GHashTable *flows;        /* key -> struct flow */
static uint32_t next_seq = 1000; /* first sequence number of the next flow */
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
on_opening_packet(const struct wire_packet *p)
{
    struct wire_packet out = reply_to(p, WIRE_SYN | WIRE_ACK);
    struct flow *flow;
    uint64_t key[2];

    if (refuse) {
        out.flags = WIRE_RST;
        journal_write("refuse", "-", p);
        send_packet(&out);
        return;
    }
    make_key(p, key);
    flow = g_hash_table_lookup(flows, key);
    if (flow == NULL) {
        flow = g_new0(struct flow, 1);
        memcpy(flow->key, key, sizeof(key));
        flow->expected_seq = p->seq + 1;
        flow->seq = next_seq + 1;
        next_seq += 100000;
        g_hash_table_insert(flows, flow->key, flow);
        journal_write("open", "-", p);
    }
    else if (flow->expected_seq != p->seq + 1) {
        return;
    }
    /* Each copy of the opening packet (SYN) is answered, as the answer to an
     * earlier copy may be lost. */
    out.seq = flow->seq - 1;
    out.ack = flow->expected_seq;
    send_packet(&out);
}

/* Sends the answer to a request whose time has passed. */
static void
on_work_done(evutil_socket_t fd, short what, void *ctx)
{
    struct pending_answer *pending_answer = ctx;
    struct flow *flow = g_hash_table_lookup(flows, pending_answer->key);

    if (flow != NULL) {
        flow->answered = true;
        send_packet(&flow->last_answer);
    }
    event_free(pending_answer->timer);
    g_free(pending_answer);
}

/* Writes a request to the journal and schedules its answer. */
static void
run_request(struct flow *flow, const struct wire_packet *p)
{
    struct pending_answer *pending_answer = g_new0(struct pending_answer, 1);
    const struct timeval delay = {work_ms / 1000, (work_ms % 1000) * 1000};
    static char last_text[WIRE_DATA_MAX + 1];
    char text[WIRE_DATA_MAX + 1];

    memcpy(text, p->data, p->len);
    text[p->len] = '\0';
    journal_write("run", text, p);
    if (run_twice) {
        journal_write("run", text, p);
    }
    if (mix_answers) {
        g_strlcpy(text, last_text, sizeof(text));
        memcpy(last_text, p->data, p->len);
        last_text[p->len] = '\0';
    }
    flow->expected_seq += p->len;
    flow->answered = false;
    flow->last_answer = reply_to(p, WIRE_ACK);
    flow->last_answer.seq = flow->seq;
    flow->last_answer.ack = flow->expected_seq;
    flow->last_answer.len =
        (uint16_t)snprintf((char *)flow->last_answer.data, WIRE_DATA_MAX,
                           "%s %s %s", service, id, text);
    flow->seq += flow->last_answer.len;
    memcpy(pending_answer->key, flow->key, sizeof(pending_answer->key));
    pending_answer->timer =
        event_new(base, -1, 0, on_work_done, pending_answer);
    event_add(pending_answer->timer, &delay);
}

static void
on_packet(const struct wire_packet *p)
{
    uint64_t key[2];
    struct wire_packet out;
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
    if (flow == NULL || flow->ended) {
        out = reply_to(p, WIRE_RST);
        out.seq = p->ack;
        journal_write("unknown-flow", "-", p);
        send_packet(&out);
        return;
    }
    if (p->len > 0 && p->seq == flow->expected_seq) {
        run_request(flow, p);
    }
    else if (p->len > 0 && flow->answered) {
        send_packet(&flow->last_answer);
    }
    if ((p->flags & WIRE_FIN) != 0) {
        out = reply_to(p, WIRE_FIN | WIRE_ACK);
        out.seq = flow->seq;
        out.ack = p->seq + p->len + 1;
        send_packet(&out);
        flow->ended = true;
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

int
main(int argc, char **argv)
{
    GOptionContext *context = g_option_context_new("- a target of flows");
    struct standin_endpoint ep;
    struct event *readable;

    g_option_context_add_main_entries(context, options, NULL);
    if (!g_option_context_parse(context, &argc, &argv, NULL) ||
        listen_text == NULL || id == NULL || service == NULL ||
        journal_path == NULL || work_ms < 0 || work_ms > WORK_MS_MAX ||
        !standin_endpoint_parse(listen_text, &ep)) {
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
    flows = g_hash_table_new_full(key_hash, key_equal, NULL, g_free);
    base = standin_base_new();
    sock = wire_socket_open(ep.address, ep.port);
    readable = event_new(base, sock, EV_READ | EV_PERSIST, on_readable, NULL);
    event_add(readable, NULL);
    event_base_dispatch(base);
    event_free(readable);
    fclose(journal);
    return 0;
}
