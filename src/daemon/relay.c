#include "daemon/relay.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "daemon/answer.h"
#include "daemon/service-ports.h"
#include "protocol/envelope.h"

#define RELAY_RETRY_US (100 * USEC_PER_MSEC)
#define RELAY_SEND_MAX 4 /* the home is given up 400 ms after the first */
#define RELAYS_MAX 20000

struct relays {
    struct data_task *task;
    struct list pending; /* struct relay */
    GHashTable *by_id;   /* relay id -> struct relay */
    uint32_t next_id;
};

/* A packet that its home has not acknowledged yet. */
struct relay {
    struct list link;
    uint32_t id;
    struct endpoint to;
    bool has_token;
    unsigned sent_count;
    uint64_t due_us;
    struct caller caller;
    struct flow_token token;
    size_t raw_len;
    uint8_t raw[];
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
    uint8_t data[PACKET_SIZE_MAX + ENVELOPE_OVERHEAD];
    size_t size = envelope_build(&envelope, data, sizeof(data));

    if (size > 0) {
        udp_socket_send(relays->task->relay_sock, &relay->to, data, size);
    }
    relay->sent_count++;
    relay->due_us = now + RELAY_RETRY_US;
}

/* Serves or refuses what could not be handed on. Only a home may say "not run"
 * of a request with a token; one without is never delivered. */
static void
give_up(struct relays *relays, const struct inbound *in)
{
    data_count_error(relays->task, ERR_HOME_LOST);
    if (in->packet.code == CODE_GET || in->packet.code == CODE_FETCH) {
        struct inbound homeless = *in;

        /* The token leads nowhere, so the answer brings another one; else
         * each block of a download would wait for the lost home again. */
        homeless.has_token = false;
        relays->task->handlers->serve_repeatable(relays->task, &homeless);
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
forward(struct relays *relays, const struct inbound *in,
        const struct endpoint *to)
{
    struct relay *relay;

    if (in->caller.relayed || g_hash_table_size(relays->by_id) >= RELAYS_MAX) {
        give_up(relays, in);
        return;
    }
    relay = calloc(1, sizeof(*relay) + in->raw_len);
    if (relay == NULL) {
        give_up(relays, in);
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
relays_forward(struct relays *relays, const struct inbound *in)
{
    struct endpoint home = {
        .addr = in->token.home_addr,
        .port = in->token.home_port,
    };

    forward(relays, in, &home);
}

void
relays_hand_over(struct relays *relays, const struct inbound *in)
{
    struct data_task *task = relays->task;
    uint32_t pick = random_below(&task->random, task->peers.count);
    struct endpoint peer = {
        .addr = task->peers.addrs[pick],
        .port = task->settings->ports.relay,
    };

    forward(relays, in, &peer);
}

/* Parses a kept packet again and gives it up. */
static void
fail_relay(struct relays *relays, struct relay *relay)
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
        give_up(relays, &in);
    }
    relay_free(relays, relay);
}

static void
acknowledge(struct relays *relays, const struct endpoint *to,
            const struct envelope *relay, enum envelope_kind kind)
{
    struct envelope ack = {
        .kind = kind,
        .relay_id = relay->relay_id,
        .incarnation = relays->task->home.incarnation,
    };
    uint8_t data[ENVELOPE_OVERHEAD];
    size_t size = envelope_build(&ack, data, sizeof(data));

    if (size > 0) {
        udp_socket_send(relays->task->relay_sock, to, data, size);
    }
}

static void
take(struct relays *relays, const struct endpoint *from,
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
        acknowledge(relays, from, envelope, ENVELOPE_REJECTED);
        return;
    }
    acknowledge(relays, from, envelope, ENVELOPE_ACCEPTED);
    task->handlers->datagram(task, port, &caller, envelope->packet,
                             envelope->packet_len, received_us, true);
}

static void
on_ack(struct relays *relays, const struct envelope *envelope)
{
    struct relay *relay = g_hash_table_lookup(
        relays->by_id, GUINT_TO_POINTER(envelope->relay_id));

    if (relay == NULL) {
        return;
    }
    if (envelope->kind == ENVELOPE_REJECTED) {
        fail_relay(relays, relay);
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
        take(relays, from, &envelope, received_us);
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
            fail_relay(relays, relay);
        }
        else {
            send_relay(relays, relay, now);
        }
    }
}
