#include "daemon/relay.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "daemon/answer.h"
#include "daemon/service-ports.h"
#include "protocol/envelope.h"

/* Interval between two transmissions of a packet that its receiver has not
 * acknowledged. */
#define RELAY_RETRY_INTERVAL_US (100 * USEC_PER_MSEC)
/* Maximum number of transmissions of a packet. The relay is abandoned one
 * interval after the last, 400 ms after the first. */
#define RELAY_SEND_MAX 4
/* Maximum number of packets that wait for an acknowledgement. */
#define RELAYS_PENDING_MAX 20000

struct relays {
    struct data_task *task;
    struct list pending; /* struct relay */
    GHashTable *by_id;   /* relay id -> struct relay */
    uint32_t next_id;
};

/* A packet that was forwarded to another balancer and is not acknowledged
 * yet. */
struct relay {
    struct list link;
    uint32_t id;
    struct endpoint to; /* relay address of the other balancer */
    bool has_token;     /* "token" is valid */
    unsigned sent_count;
    uint64_t due_us; /* time of the next transmission */
    struct caller caller;
    struct flow_token token;
    size_t raw_len;
    uint8_t raw[]; /* the caller's datagram */
};

struct relays *
relays_new(struct data_task *task)
{
    struct relays *relays = calloc(1, sizeof(*relays));

    if (relays == NULL) {
        return NULL;
    }
    relays->task = task;
    relays->by_id = g_hash_table_new(NULL, NULL);
    relays->next_id = (uint32_t)random_next(&task->random);
    list_init(&relays->pending);
    return relays;
}

static void
relay_free(struct relays *relays, struct relay *relay)
{
    g_hash_table_remove(relays->by_id, GUINT_TO_POINTER(relay->id));
    list_remove(&relay->link);
    free(relay);
}

void
relays_destroy(struct relays *relays)
{
    if (relays == NULL) {
        return;
    }
    list_for_each_safe (it, &relays->pending) {
        relay_free(relays, container_of(it, struct relay, link));
    }
    g_hash_table_destroy(relays->by_id);
    free(relays);
}

bool
relays_idle(const struct relays *relays)
{
    return list_empty(&relays->pending);
}

static void
send_relay(struct relays *relays, struct relay *relay, uint64_t now)
{
    struct envelope envelope = {
        .kind = ENVELOPE_RELAY,
        .relay_id = relay->id,
        .caller_addr = relay->caller.addr.addr,
        .caller_port = relay->caller.addr.port,
        .service_port = relay->caller.service_port,
        .incarnation = relay->token.incarnation,
        .packet = relay->raw,
        .packet_len = relay->raw_len,
    };
    uint8_t data[PACKET_SIZE_MAX + ENVELOPE_OVERHEAD_MAX];
    size_t size = envelope_build(&envelope, data, sizeof(data));

    if (size > 0) {
        udp_socket_send(relays->task->relay_sock, &relay->to, data, size);
    }
    relay->sent_count++;
    relay->due_us = now + RELAY_RETRY_INTERVAL_US;
}

/* Serves or refuses a request that could not be forwarded. Only the home knows
 * that a request with a token was not run, so the outcome of such a request is
 * unknown here. A request without a token is never delivered, so it was not
 * run. */
static void
serve_or_refuse(struct relays *relays, const struct inbound *in)
{
    data_count_error(relays->task, ERR_HOME_LOST);
    if (in->packet.code == CODE_GET || in->packet.code == CODE_FETCH) {
        struct inbound without_token = *in;

        /* The token names a lost home. The request is served as if it had no
         * token, so that the answer has a new one; otherwise each block of a
         * download would again wait for the lost home. */
        without_token.has_token = false;
        relays->task->handlers->serve_repeatable(relays->task, &without_token);
        return;
    }
    if (!in->has_token) {
        answer_error(relays->task, &in->caller, ERR_STOPPING, OUTCOME_NOT_RUN,
                     RETRY_ELSEWHERE_MS);
        return;
    }
    answer_error(relays->task, &in->caller, ERR_HOME_LOST, OUTCOME_UNKNOWN,
                 RETRY_NO_ADVICE_MS);
}

static void
start_relay(struct relays *relays, const struct inbound *in,
            const struct endpoint *to)
{
    struct relay *relay;

    if (in->caller.relayed ||
        g_hash_table_size(relays->by_id) >= RELAYS_PENDING_MAX) {
        serve_or_refuse(relays, in);
        return;
    }
    relay = calloc(1, sizeof(*relay) + in->raw_len);
    if (relay == NULL) {
        serve_or_refuse(relays, in);
        return;
    }
    data_count(relays->task, COUNTER_PACKETS_RELAYED);
    relay->id = relays->next_id;
    relays->next_id++;
    relay->to = *to;
    relay->caller = in->caller;
    relay->has_token = in->has_token;
    relay->token = in->token;
    relay->raw_len = in->raw_len;
    memcpy(relay->raw, in->raw, in->raw_len);
    list_push_back(&relays->pending, &relay->link);
    g_hash_table_insert(relays->by_id, GUINT_TO_POINTER(relay->id), relay);
    send_relay(relays, relay, clock_monotonic_us());
}

void
relays_forward_to_home(struct relays *relays, const struct inbound *in)
{
    struct endpoint home = {
        .addr = in->token.home_addr,
        .port = in->token.home_port,
    };

    start_relay(relays, in, &home);
}

void
relays_forward_to_peer(struct relays *relays, const struct inbound *in)
{
    struct data_task *task = relays->task;
    uint32_t pick = random_below(&task->random, task->peers.count);
    struct endpoint peer = {
        .addr = task->peers.addrs[pick],
        .port = task->settings->ports.relay,
    };

    start_relay(relays, in, &peer);
}

/* Ends a relay that failed: parses the stored packet again and serves or
 * refuses the request here. */
static void
abandon_relay(struct relays *relays, struct relay *relay)
{
    struct inbound in = {
        .caller = relay->caller,
        .port = service_ports_find(relays->task->ports,
                                   relay->caller.service_port),
        .has_token = relay->has_token,
        .token = relay->token,
        .raw = relay->raw,
        .raw_len = relay->raw_len,
    };

    if (in.port != NULL && in.port->view != NULL &&
        packet_parse(&in.packet, relay->raw, relay->raw_len) == ERR_NONE) {
        serve_or_refuse(relays, &in);
    }
    relay_free(relays, relay);
}

static void
send_ack(struct relays *relays, const struct endpoint *to,
         const struct envelope *relay, enum envelope_kind kind)
{
    struct envelope ack = {
        .kind = kind,
        .relay_id = relay->relay_id,
        .incarnation = relays->task->home.incarnation,
    };
    uint8_t data[ENVELOPE_OVERHEAD_MAX];
    size_t size = envelope_build(&ack, data, sizeof(data));

    if (size > 0) {
        udp_socket_send(relays->task->relay_sock, to, data, size);
    }
}

/* Handles a packet that another balancer forwarded to this one. */
static void
receive_relayed(struct relays *relays, const struct endpoint *from,
                const struct envelope *envelope, uint64_t received_us)
{
    struct data_task *task = relays->task;
    const struct service_port *port =
        service_ports_find(task->ports, envelope->service_port);
    struct endpoint caller = {
        .addr = envelope->caller_addr,
        .port = envelope->caller_port,
    };

    if (port == NULL || port->view == NULL) {
        send_ack(relays, from, envelope, ENVELOPE_REJECTED);
        return;
    }
    send_ack(relays, from, envelope, ENVELOPE_ACCEPTED);
    task->handlers->datagram(task, port, &caller, envelope->packet,
                             envelope->packet_len, received_us, true);
}

/* Handles the answer of another balancer to a packet forwarded there. */
static void
on_ack(struct relays *relays, const struct envelope *envelope)
{
    struct relay *relay = g_hash_table_lookup(
        relays->by_id, GUINT_TO_POINTER(envelope->relay_id));

    if (relay == NULL) {
        return;
    }
    if (envelope->kind == ENVELOPE_REJECTED) {
        abandon_relay(relays, relay);
        return;
    }
    relay_free(relays, relay);
}

void
relays_on_datagram(struct relays *relays, const struct endpoint *from,
                   const uint8_t *data, size_t size, uint64_t received_us)
{
    struct envelope envelope;

    if (!envelope_parse(&envelope, data, size)) {
        return;
    }
    if (envelope.kind == ENVELOPE_RELAY) {
        receive_relayed(relays, from, &envelope, received_us);
        return;
    }
    on_ack(relays, &envelope);
}

void
relays_tick(struct relays *relays, uint64_t now)
{
    list_for_each_safe (it, &relays->pending) {
        struct relay *relay = container_of(it, struct relay, link);

        if (now < relay->due_us) {
            continue;
        }
        if (relay->sent_count >= RELAY_SEND_MAX) {
            abandon_relay(relays, relay);
        }
        else {
            send_relay(relays, relay, now);
        }
    }
}
