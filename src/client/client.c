#include "client/client.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "base/timeval.h"
#include "client/backoff.h"

#define COAP_TOKEN_SIZE 8 /* bytes; at least 4: RFC 7252 section 5.3.1 */
/* Number of CoAP tokens of answered exchanges that the client stores, to
 * acknowledge copies of their answers. */
#define ANSWERED_TOKENS_MAX 64
/* Maximum delay between two transmissions of a request, as a multiple of the
 * timeout in effect. */
#define RETRANSMIT_DELAY_MAX_FACTOR 16

_Static_assert(COAP_TOKEN_SIZE == sizeof(uint64_t), "tokens are map keys");

struct client {
    struct event_base *base;
    struct udp_socket *sock;
    struct random *random;
    struct endpoint via[CLIENT_ENTRY_ADDRESSES_MAX];
    size_t via_count;
    uint64_t ack_timeout_us;
    uint64_t acked_timeout_us;
    uint16_t message_id;
    GHashTable *by_token;                   /* &exchange->token -> exchange */
    GHashTable *by_message_id;              /* message id -> exchange */
    uint64_t answered[ANSWERED_TOKENS_MAX]; /* ring of CoAP tokens */
    size_t answered_next; /* index of the entry to overwrite next */
    struct client_counters counters;
};

struct exchange {
    struct client *client;
    uint64_t token; /* the CoAP token's bytes */
    struct packet request;
    uint64_t deadline_us;
    uint64_t delay_us;         /* from this transmission to the next one */
    uint64_t acked_timeout_us; /* from an empty ACK to the next transmission */
    size_t via;                /* index of the entry address used last */
    unsigned retransmitted;    /* retransmissions of "request" */
    bool acked;                /* an empty ACK was received for "request" */
    bool answered;             /* the last answer was not a notification */
    struct event *timer;
    exchange_cb cb;
    void *ctx;
};

static void on_datagram(void *ctx, const struct endpoint *from, uint8_t *data,
                        size_t size, uint64_t queued_us);

static uint64_t
timeout_or_default(uint32_t ms, uint32_t default_ms)
{
    return (ms == 0 ? default_ms : ms) * USEC_PER_MSEC;
}

struct client *
client_new(struct event_base *base, const struct client_options *options,
           struct status *st)
{
    static const struct endpoint any = {0, 0};
    struct client *client = calloc(1, sizeof(*client));

    assert(options->via_count > 0 &&
           options->via_count <= CLIENT_ENTRY_ADDRESSES_MAX);
    if (client == NULL) {
        status_set(st, ERR_NO_MEMORY, "client: out of memory");
        return NULL;
    }
    client->base = base;
    client->random = options->random;
    client->via_count = options->via_count;
    memcpy(client->via, options->via,
           options->via_count * sizeof(*options->via));
    client->ack_timeout_us =
        timeout_or_default(options->ack_timeout_ms, CLIENT_ACK_TIMEOUT_MS);
    client->acked_timeout_us = timeout_or_default(options->acked_timeout_ms,
                                                  CLIENT_TIMEOUT_AFTER_ACK_MS);
    client->message_id = (uint16_t)random_next(client->random);
    client->by_token = g_hash_table_new(g_int64_hash, g_int64_equal);
    client->by_message_id = g_hash_table_new(NULL, NULL);
    client->sock = udp_socket_new(base, NULL, &any, on_datagram, client, st);
    if (client->sock == NULL) {
        client_destroy(client);
        return NULL;
    }
    return client;
}

void
client_destroy(struct client *client)
{
    if (client == NULL) {
        return;
    }
    assert(g_hash_table_size(client->by_token) == 0);
    g_hash_table_destroy(client->by_token);
    g_hash_table_destroy(client->by_message_id);
    udp_socket_destroy(client->sock);
    free(client);
}

struct event_base *
client_base(const struct client *client)
{
    return client->base;
}

struct random *
client_random(const struct client *client)
{
    return client->random;
}

const struct client_counters *
client_counters(const struct client *client)
{
    return &client->counters;
}

static void
send_datagram(struct client *client, const struct endpoint *to,
              const uint8_t *data, size_t size)
{
    udp_socket_send(client->sock, to, data, size);
    client->counters.sent++;
}

/* Sends an empty ACK or RST for a message, RFC 7252 sections 4.2 and 4.3. */
static void
send_empty(struct client *client, const struct endpoint *to,
           enum packet_type type, uint16_t message_id)
{
    struct packet p = {
        .type = type, .code = CODE_EMPTY, .message_id = message_id};
    uint8_t data[8];
    size_t size = packet_build(&p, data, sizeof(data));

    send_datagram(client, to, data, size);
}

/* Sends ex->request. The deadline option is relative to the time of sending,
 * so it is updated for each transmission. Returns false when the request does
 * not fit a datagram. */
static bool
transmit(struct exchange *ex, uint64_t now)
{
    struct client *client = ex->client;
    uint8_t data[PACKET_SIZE_MAX];
    size_t size;

    ex->request.fields |= FIELD_DEADLINE;
    ex->request.deadline_ms =
        (uint32_t)((ex->deadline_us - now) / USEC_PER_MSEC);
    size = packet_build(&ex->request, data, sizeof(data));
    if (size == 0) {
        return false;
    }
    send_datagram(client, &client->via[ex->via], data, size);
    return true;
}

/* Sets the timer for the next transmission or the deadline, whichever comes
 * first. */
static void
set_timer(struct exchange *ex, uint64_t now)
{
    uint64_t left = ex->deadline_us > now ? ex->deadline_us - now : 0;
    uint64_t wait = left;
    struct timeval tv;

    if (ex->delay_us < left) {
        wait = ex->delay_us;
    }
    tv = timeval_from_us(wait);
    event_add(ex->timer, &tv);
}

/* Sends the request again, to the next entry address, because the balancer at
 * the previous one may have died. */
static void
retransmit(struct exchange *ex, uint64_t now)
{
    struct client *client = ex->client;
    uint64_t base = ex->acked ? ex->acked_timeout_us : client->ack_timeout_us;

    ex->via = (ex->via + 1) % client->via_count;
    ex->retransmitted++;
    client->counters.retransmitted++;
    transmit(ex, now);
    ex->delay_us =
        backoff_next_us(ex->delay_us, base * RETRANSMIT_DELAY_MAX_FACTOR);
    set_timer(ex, now);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
    struct exchange *ex = arg;
    uint64_t now = clock_monotonic_us();

    if (now + USEC_PER_MSEC > ex->deadline_us) {
        ex->cb(ex->ctx, ex, NULL);
        return;
    }
    retransmit(ex, now);
}

/* Chooses a random CoAP token that no other exchange of the client uses. */
static void
choose_token(struct exchange *ex)
{
    do {
        ex->token = random_next(ex->client->random);
    } while (g_hash_table_contains(ex->client->by_token, &ex->token));
}

static void
set_message_id(struct exchange *ex)
{
    ex->client->message_id++;
    ex->request.message_id = ex->client->message_id;
}

static void
exchange_free(struct exchange *ex)
{
    if (ex->timer != NULL) {
        event_free(ex->timer);
    }
    free(ex);
}

static struct exchange *
exchange_alloc(struct client *client)
{
    struct exchange *ex = calloc(1, sizeof(*ex));

    if (ex == NULL) {
        return NULL;
    }
    ex->timer = evtimer_new(client->base, on_timer, ex);
    if (ex->timer == NULL) {
        free(ex);
        return NULL;
    }
    ex->client = client;
    ex->acked_timeout_us = client->acked_timeout_us;
    ex->via = random_below(client->random, (uint32_t)client->via_count);
    return ex;
}

/* Removes the exchange from the map of message ids. Message ids wrap around
 * after 65536 requests, so the id may already belong to another exchange. */
static void
forget_message_id(struct exchange *ex)
{
    GHashTable *ids = ex->client->by_message_id;
    void *id = GUINT_TO_POINTER(ex->request.message_id);

    if (g_hash_table_lookup(ids, id) == ex) {
        g_hash_table_remove(ids, id);
    }
}

/* Sends a request for the first time, under the CoAP token of the exchange. */
static bool
send_request(struct exchange *ex, const struct packet *request,
             uint64_t deadline_us)
{
    struct client *client = ex->client;
    uint64_t now = clock_monotonic_us();

    forget_message_id(ex);
    ex->request = *request;
    ex->request.type = PACKET_CON;
    memcpy(ex->request.token, &ex->token, COAP_TOKEN_SIZE);
    ex->request.token_len = COAP_TOKEN_SIZE;
    set_message_id(ex);
    ex->deadline_us = deadline_us > now ? deadline_us : now;
    ex->delay_us = backoff_initial_us(client->random, client->ack_timeout_us);
    ex->retransmitted = 0;
    ex->acked = false;
    if (!transmit(ex, now)) {
        return false;
    }
    g_hash_table_insert(client->by_message_id,
                        GUINT_TO_POINTER(ex->request.message_id), ex);
    set_timer(ex, now);
    return true;
}

struct exchange *
exchange_start(struct client *client, const struct packet *request,
               uint64_t deadline_us, exchange_cb cb, void *ctx)
{
    struct exchange *ex = exchange_alloc(client);

    if (ex == NULL) {
        return NULL;
    }
    ex->cb = cb;
    ex->ctx = ctx;
    choose_token(ex);
    if (!send_request(ex, request, deadline_us)) {
        exchange_free(ex);
        return NULL;
    }
    g_hash_table_insert(client->by_token, &ex->token, ex);
    return ex;
}

bool
exchange_renew(struct exchange *ex, const struct packet *request,
               uint64_t deadline_us)
{
    return send_request(ex, request, deadline_us);
}

void
exchange_set_acked_timeout(struct exchange *ex, uint64_t timeout_us)
{
    ex->acked_timeout_us = timeout_us;
}

static void
remember_answered(struct client *client, uint64_t token)
{
    client->answered[client->answered_next] = token;
    client->answered_next = (client->answered_next + 1) % ANSWERED_TOKENS_MAX;
}

static bool
was_answered(const struct client *client, uint64_t token)
{
    for (size_t i = 0; i < ANSWERED_TOKENS_MAX; i++) {
        if (client->answered[i] == token) {
            return true;
        }
    }
    return false;
}

void
exchange_stop(struct exchange *ex)
{
    struct client *client = ex->client;

    if (ex->answered) {
        remember_answered(client, ex->token);
    }
    g_hash_table_remove(client->by_token, &ex->token);
    forget_message_id(ex);
    exchange_free(ex);
}

unsigned
exchange_retransmitted(const struct exchange *ex)
{
    return ex->retransmitted;
}

/* Handles an empty ACK: the answer will follow in a separate message (RFC 7252
 * section 5.2.2), so the request is retransmitted after a longer timeout. */
static void
on_empty_ack(struct client *client, uint16_t message_id)
{
    struct exchange *ex = g_hash_table_lookup(client->by_message_id,
                                              GUINT_TO_POINTER(message_id));

    if (ex == NULL || ex->acked ||
        !event_pending(ex->timer, EV_TIMEOUT, NULL)) {
        return;
    }
    ex->acked = true;
    ex->delay_us = backoff_initial_us(client->random, ex->acked_timeout_us);
    set_timer(ex, clock_monotonic_us());
}

/* Replies to an answer that matches no exchange. A Reset tells the sender to
 * end an observation (RFC 7641 section 3.6) or to stop retransmitting a late
 * answer. */
static void
on_unmatched(struct client *client, const struct endpoint *from,
             const struct packet *p, uint64_t token)
{
    client->counters.unmatched++;
    if (p->type == PACKET_CON && p->token_len == COAP_TOKEN_SIZE &&
        was_answered(client, token)) {
        send_empty(client, from, PACKET_ACK, p->message_id);
        return;
    }
    if (p->type == PACKET_CON || p->type == PACKET_NON) {
        send_empty(client, from, PACKET_RST, p->message_id);
    }
}

/* Returns true for an answer that shows that the request sent last arrived. A
 * non-confirmable notification does not, nor does a copy of the answer to an
 * earlier request. */
static bool
ends_retransmission(const struct exchange *ex, const struct packet *p)
{
    return p->type == PACKET_CON ||
           (p->type == PACKET_ACK && p->message_id == ex->request.message_id);
}

static void
on_answer(struct client *client, const struct endpoint *from,
          const struct packet *p)
{
    struct exchange *ex = NULL;
    uint64_t token = 0;

    if (p->token_len == COAP_TOKEN_SIZE) {
        memcpy(&token, p->token, COAP_TOKEN_SIZE);
        ex = g_hash_table_lookup(client->by_token, &token);
    }
    if (ex == NULL) {
        on_unmatched(client, from, p, token);
        return;
    }
    if (p->type == PACKET_CON) {
        send_empty(client, from, PACKET_ACK, p->message_id);
    }
    if (ends_retransmission(ex, p)) {
        event_del(ex->timer);
    }
    /* A notification does not end its exchange. */
    ex->answered = (p->fields & FIELD_OBSERVE) == 0;
    ex->cb(ex->ctx, ex, p);
}

static bool
is_answer(const struct packet *p)
{
    return p->code != CODE_EMPTY && !packet_is_request(p) &&
           p->type != PACKET_RST;
}

/* Ignores a Reset in reply to a request: its sender does not know the request,
 * but another balancer may be processing it. */
static void
on_datagram(void *ctx, const struct endpoint *from, uint8_t *data, size_t size,
            uint64_t queued_us)
{
    struct client *client = ctx;
    struct packet p;

    client->counters.received++;
    switch (packet_parse(&p, data, size)) {
    case ERR_NONE:
        break;
    case ERR_BAD_OPTION:
        /* An unknown or malformed critical option: rejected as RFC 7252
         * section 5.4.1 requires. */
        if (p.type == PACKET_CON) {
            send_empty(client, from, PACKET_RST, p.message_id);
        }
        client->counters.malformed++;
        return;
    default:
        client->counters.malformed++;
        return;
    }
    if (p.code == CODE_EMPTY && p.type == PACKET_ACK) {
        on_empty_ack(client, p.message_id);
        return;
    }
    if (is_answer(&p)) {
        on_answer(client, from, &p);
        return;
    }
    if (p.type == PACKET_CON) {
        send_empty(client, from, PACKET_RST, p.message_id);
    }
}
