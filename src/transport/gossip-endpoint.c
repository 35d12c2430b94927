#include "transport/gossip-endpoint.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <sodium.h>
#include <zmq.h>

#include "base/address.h"
#include "base/clock.h"
#include "base/list.h"
#include "transport/zmq-watch.h"

#define ENDPOINT_TEXT_SIZE 64
#define CONNECT_TEXT_SIZE 96
/* Maximum size of a received message, in bytes. ZeroMQ closes a connection
 * that sends a larger one. */
#define MESSAGE_SIZE_MAX (1 << 20)
/* Maximum number of messages that ZeroMQ queues per connection. */
#define SEND_QUEUE_MESSAGES_MAX 1000
#define RECEIVE_QUEUE_MESSAGES_MAX 1000
/* ZMTP heartbeats, which detect a connection whose peer no longer responds. */
#define HEARTBEAT_INTERVAL_MS 3000
#define HEARTBEAT_TIMEOUT_MS 6000
#define CONNECT_TIMEOUT_MS 2000 /* limit of one TCP connection attempt */
/* Range of the delay before ZeroMQ reconnects. */
#define RECONNECT_MIN_MS 100
#define RECONNECT_MAX_MS 2000
/* Maximum number of open connections to peers. */
#define CONNECTIONS_MAX 128
/* A connection is closed after this long without a message sent on it.
 * Neighbors exchange heartbeats every second; connections to other peers are
 * seldom needed again. */
#define CONNECTION_IDLE_US (5 * USEC_PER_SEC)
/* A connection that a peer has opened is used while a message has arrived on
 * it within this time. Neighbors send one each second. */
#define INCOMING_FRESH_US (2500 * USEC_PER_MSEC)
/* Time after which an incoming connection without messages is forgotten. */
#define INCOMING_FORGET_US (10 * USEC_PER_SEC)
/* Routing id of a connection: a mark that ids chosen by ZeroMQ do not begin
 * with, the opener's address and port in network byte order, and a random
 * number. An id is never used again: libzmq 4.3.4 stops at an assertion when a
 * connection whose id a newer one has taken over breaks. */
#define ROUTING_ID_MARK 'P'
#define ROUTING_ID_PEER_SIZE 7
#define ROUTING_ID_NONCE_SIZE 8
#define ROUTING_ID_SIZE (ROUTING_ID_PEER_SIZE + ROUTING_ID_NONCE_SIZE)

/* The newest connection that a peer has opened. */
struct incoming_connection {
    uint8_t id[ROUTING_ID_SIZE];
    uint64_t opened_at;   /* time of the first message, us */
    uint64_t received_at; /* time of the last message, us */
};

/* A connection that this balancer has opened to one peer. */
struct peer_connection {
    struct list link;
    struct gossip_endpoint *ep; /* not owned */
    struct zmq_watch *watch;
    bool receiving; /* messages are being received from it */
    bool closed;    /* to be freed once "receiving" ends */
    uint32_t addr;  /* host byte order */
    uint16_t port;
    uint64_t last_used_us; /* when a message was last sent; 0 if never */
    uint64_t received_at;  /* time of the last message, us; 0 if none */
    void *socket;          /* ZeroMQ DEALER socket, owned */
};

struct gossip_endpoint {
    uint32_t addr;        /* own address; source of the connections to peers */
    uint32_t public_addr; /* address and port that peers know */
    uint16_t public_port;
    struct event_base *base;
    void *zmq_ctx;
    void *router; /* ZeroMQ ROUTER socket of the connections from peers */
    /* Connections that peers have opened: key of address and port -> struct
     * incoming_connection */
    GHashTable *incoming;
    struct zmq_watch *watch;
    gossip_endpoint_cb cb;
    void *ctx;
    struct list connections; /* to peers, least recently used first */
    size_t connection_count;
    struct gossip_endpoint_counters counters;
};

static void
set_option(void *socket, int option, int value)
{
    zmq_setsockopt(socket, option, &value, sizeof(value));
}

static void
set_options(void *socket)
{
    int64_t size_max = MESSAGE_SIZE_MAX;

    set_option(socket, ZMQ_LINGER, 0);
    set_option(socket, ZMQ_SNDHWM, SEND_QUEUE_MESSAGES_MAX);
    set_option(socket, ZMQ_RCVHWM, RECEIVE_QUEUE_MESSAGES_MAX);
    set_option(socket, ZMQ_HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS);
    set_option(socket, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS);
    zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &size_max, sizeof(size_max));
}

static void
format_endpoint(char out[ENDPOINT_TEXT_SIZE], uint32_t addr, uint16_t port)
{
    char text[ADDRESS_TEXT_SIZE];

    address_format(addr, text);
    snprintf(out, ENDPOINT_TEXT_SIZE, "tcp://%s:%u", text, port);
}

static uint64_t
peer_key(uint32_t addr, uint16_t port)
{
    return (uint64_t)addr << 16 | port;
}

/* Makes the routing id of a new connection. */
static void
make_routing_id(const struct gossip_endpoint *ep, uint8_t id[ROUTING_ID_SIZE])
{
    uint64_t key = peer_key(ep->public_addr, ep->public_port);

    id[0] = ROUTING_ID_MARK;
    for (int i = 1; i < ROUTING_ID_PEER_SIZE; i++) {
        id[i] = (uint8_t)(key >> (8 * (ROUTING_ID_PEER_SIZE - 1 - i)));
    }
    randombytes_buf(id + ROUTING_ID_PEER_SIZE, ROUTING_ID_NONCE_SIZE);
}

/* Records that a message has arrived on the connection with a routing id. An
 * id that ZeroMQ chose itself, because the opener announced none, is
 * ignored. */
static void
note_incoming(struct gossip_endpoint *ep, const uint8_t *id, size_t size)
{
    struct incoming_connection *in;
    uint64_t key = 0;

    if (size != ROUTING_ID_SIZE || id[0] != ROUTING_ID_MARK) {
        return;
    }
    for (int i = 1; i < ROUTING_ID_PEER_SIZE; i++) {
        key = key << 8 | id[i];
    }
    in = g_hash_table_lookup(ep->incoming, &key);
    if (in == NULL) {
        in = g_new0(struct incoming_connection, 1);
        g_hash_table_insert(ep->incoming, g_memdup2(&key, sizeof(key)), in);
    }
    in->received_at = clock_monotonic_us();
    if (memcmp(in->id, id, ROUTING_ID_SIZE) != 0) {
        memcpy(in->id, id, ROUTING_ID_SIZE);
        in->opened_at = in->received_at;
    }
}

static void
deliver(struct gossip_endpoint *ep, zmq_msg_t *part)
{
    ep->counters.messages_in++;
    ep->counters.bytes_in += zmq_msg_size(part);
    ep->cb(ep->ctx, zmq_msg_data(part), zmq_msg_size(part));
}

/* Receives one message from a peer that has connected to this balancer. The
 * part before the payload is the connection's routing id. Returns false if no
 * message is waiting. */
static bool
receive_message(struct gossip_endpoint *ep)
{
    zmq_msg_t part;
    bool first = true;
    bool more = true;

    while (more) {
        zmq_msg_init(&part);
        if (zmq_msg_recv(&part, ep->router, ZMQ_DONTWAIT) < 0) {
            zmq_msg_close(&part);
            return false;
        }
        more = zmq_msg_more(&part) != 0;
        if (first) {
            note_incoming(ep, zmq_msg_data(&part), zmq_msg_size(&part));
        }
        else if (!more) {
            deliver(ep, &part);
        }
        first = false;
        zmq_msg_close(&part);
    }
    return true;
}

/* Receives all waiting messages; transport/zmq-watch.h says why none may be
 * left over. */
static void
on_readable(void *ctx)
{
    struct gossip_endpoint *ep = ctx;

    while (receive_message(ep)) {
    }
}

static void
free_connection(struct peer_connection *conn)
{
    zmq_watch_destroy(conn->watch);
    zmq_close(conn->socket);
    free(conn);
}

/* Receives all waiting messages from a peer that this balancer has connected
 * to. A callback may close the connection. */
static void
on_connection_readable(void *ctx)
{
    struct peer_connection *conn = ctx;
    zmq_msg_t part;

    conn->receiving = true;
    while (!conn->closed) {
        zmq_msg_init(&part);
        if (zmq_msg_recv(&part, conn->socket, ZMQ_DONTWAIT) < 0) {
            zmq_msg_close(&part);
            break;
        }
        conn->received_at = clock_monotonic_us();
        deliver(conn->ep, &part);
        zmq_msg_close(&part);
    }
    conn->receiving = false;
    if (conn->closed) {
        free_connection(conn);
    }
}

static bool
open_router(struct gossip_endpoint *ep, uint32_t addr, uint16_t port,
            struct status *st)
{
    char endpoint[ENDPOINT_TEXT_SIZE];

    format_endpoint(endpoint, addr, port);
    ep->router = zmq_socket(ep->zmq_ctx, ZMQ_ROUTER);
    if (ep->router == NULL) {
        status_set(st, ERR_SYSTEM,
                   "gossip: cannot create the receiving socket: %s",
                   zmq_strerror(errno));
        return false;
    }
    set_options(ep->router);
    /* Reports a message to a peer that is not connected. */
    set_option(ep->router, ZMQ_ROUTER_MANDATORY, 1);
    if (zmq_bind(ep->router, endpoint) < 0) {
        status_set(st, ERR_SYSTEM, "gossip: cannot bind %s: %s", endpoint,
                   zmq_strerror(errno));
        return false;
    }
    return true;
}

struct gossip_endpoint *
gossip_endpoint_new(void *zmq_ctx, struct event_base *base, uint32_t addr,
                    uint16_t port, gossip_endpoint_cb cb, void *ctx,
                    struct status *st)
{
    struct gossip_endpoint *ep = calloc(1, sizeof(*ep));

    if (ep == NULL) {
        status_set(st, ERR_NO_MEMORY, "gossip: out of memory");
        return NULL;
    }
    ep->addr = addr;
    ep->public_addr = addr;
    ep->public_port = port;
    ep->base = base;
    ep->incoming =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    ep->zmq_ctx = zmq_ctx;
    ep->cb = cb;
    ep->ctx = ctx;
    list_init(&ep->connections);
    if (!open_router(ep, addr, port, st)) {
        gossip_endpoint_destroy(ep);
        return NULL;
    }
    ep->watch = zmq_watch_new(base, ep->router, on_readable, ep);
    if (ep->watch == NULL) {
        status_set(st, ERR_NO_MEMORY, "gossip: out of memory");
        gossip_endpoint_destroy(ep);
        return NULL;
    }
    return ep;
}

static void
close_connection(struct gossip_endpoint *ep, struct peer_connection *conn)
{
    list_remove(&conn->link);
    ep->connection_count--;
    conn->closed = true;
    if (!conn->receiving) {
        free_connection(conn);
    }
}

void
gossip_endpoint_set_public(struct gossip_endpoint *ep, uint32_t addr,
                           uint16_t port)
{
    ep->public_addr = addr;
    ep->public_port = port;
}

void
gossip_endpoint_destroy(struct gossip_endpoint *ep)
{
    if (ep == NULL) {
        return;
    }
    list_for_each_safe (it, &ep->connections) {
        close_connection(ep, container_of(it, struct peer_connection, link));
    }
    g_hash_table_destroy(ep->incoming);
    zmq_watch_destroy(ep->watch);
    if (ep->router != NULL) {
        zmq_close(ep->router);
    }
    free(ep);
}

static struct peer_connection *
find_connection(const struct gossip_endpoint *ep, uint32_t addr, uint16_t port)
{
    list_for_each (it, &ep->connections) {
        struct peer_connection *conn =
            container_of(it, struct peer_connection, link);

        if (conn->addr == addr && conn->port == port) {
            return conn;
        }
    }
    return NULL;
}

/* Writes "tcp://SOURCE:0;PEER:PORT". The source is set so that, on a host with
 * several addresses, connections still come from the address by which peers
 * know this balancer. */
static void
format_connect_endpoint(const struct gossip_endpoint *ep, uint32_t addr,
                        uint16_t port, char out[CONNECT_TEXT_SIZE])
{
    char source[ADDRESS_TEXT_SIZE];
    char peer[ADDRESS_TEXT_SIZE];

    address_format(ep->addr, source);
    address_format(addr, peer);
    snprintf(out, CONNECT_TEXT_SIZE, "tcp://%s:0;%s:%u", source, peer, port);
}

static void *
connect_socket(struct gossip_endpoint *ep, uint32_t addr, uint16_t port)
{
    char endpoint[CONNECT_TEXT_SIZE];
    void *socket = zmq_socket(ep->zmq_ctx, ZMQ_DEALER);
    uint8_t id[ROUTING_ID_SIZE];

    if (socket == NULL) {
        return NULL;
    }
    set_options(socket);
    make_routing_id(ep, id);
    zmq_setsockopt(socket, ZMQ_ROUTING_ID, id, sizeof(id));
    set_option(socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
    set_option(socket, ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS);
    set_option(socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
    format_connect_endpoint(ep, addr, port, endpoint);
    if (zmq_connect(socket, endpoint) < 0) {
        zmq_close(socket);
        return NULL;
    }
    return socket;
}

/* Opens a connection to a peer; closes the least recently used one first if
 * CONNECTIONS_MAX are open. Returns NULL if a socket or memory is lacking. */
static struct peer_connection *
open_connection(struct gossip_endpoint *ep, uint32_t addr, uint16_t port)
{
    struct peer_connection *conn = calloc(1, sizeof(*conn));

    if (conn == NULL) {
        return NULL;
    }
    conn->ep = ep;
    conn->socket = connect_socket(ep, addr, port);
    if (conn->socket == NULL) {
        free(conn);
        return NULL;
    }
    conn->watch =
        zmq_watch_new(ep->base, conn->socket, on_connection_readable, conn);
    if (conn->watch == NULL) {
        zmq_close(conn->socket);
        free(conn);
        return NULL;
    }
    conn->addr = addr;
    conn->port = port;
    if (ep->connection_count == CONNECTIONS_MAX) {
        close_connection(ep, container_of(ep->connections.next,
                                          struct peer_connection, link));
    }
    list_push_back(&ep->connections, &conn->link);
    ep->connection_count++;
    return conn;
}

/* Whether a message to a peer goes on the connection that the peer has opened:
 * it is in use, and there is no own one, or the own one is to become idle.
 * When both have opened one, that of the lower address stays. An own one that
 * has brought nothing since the peer opened another may lead to an earlier
 * process of the peer, and ZeroMQ takes up to RECONNECT_MAX_MS to reconnect
 * it. */
static bool
uses_incoming(const struct gossip_endpoint *ep,
              const struct peer_connection *conn, uint32_t addr, uint16_t port,
              uint64_t now)
{
    uint64_t key = peer_key(addr, port);
    const struct incoming_connection *in =
        g_hash_table_lookup(ep->incoming, &key);

    if (in == NULL || now > in->received_at + INCOMING_FRESH_US) {
        return false;
    }
    return conn == NULL || key < peer_key(ep->public_addr, ep->public_port) ||
           conn->received_at < in->opened_at;
}

/* Returns false when the peer is not connected or its queue is full. */
static bool
send_on_incoming(struct gossip_endpoint *ep, uint32_t addr, uint16_t port,
                 const uint8_t *data, size_t size)
{
    uint64_t key = peer_key(addr, port);
    const struct incoming_connection *in =
        g_hash_table_lookup(ep->incoming, &key);
    bool sent = zmq_send(ep->router, in->id, ROUTING_ID_SIZE,
                         ZMQ_SNDMORE | ZMQ_DONTWAIT) >= 0 &&
                zmq_send(ep->router, data, size, ZMQ_DONTWAIT) >= 0;

    zmq_watch_schedule_check(ep->watch);
    return sent;
}

static void
count_sent(struct gossip_endpoint *ep, size_t size)
{
    ep->counters.messages_out++;
    ep->counters.bytes_out += size;
}

bool
gossip_endpoint_send(struct gossip_endpoint *ep, uint32_t addr, uint16_t port,
                     const uint8_t *data, size_t size, uint64_t now)
{
    struct peer_connection *conn = find_connection(ep, addr, port);

    if (uses_incoming(ep, conn, addr, port, now) &&
        send_on_incoming(ep, addr, port, data, size)) {
        count_sent(ep, size);
        return true;
    }
    if (conn == NULL) {
        conn = open_connection(ep, addr, port);
    }
    if (conn == NULL || zmq_send(conn->socket, data, size, ZMQ_DONTWAIT) < 0) {
        ep->counters.dropped++;
        return false;
    }
    conn->last_used_us = now;
    list_remove(&conn->link);
    list_push_back(&ep->connections, &conn->link);
    zmq_watch_schedule_check(conn->watch);
    count_sent(ep, size);
    return true;
}

void
gossip_endpoint_disconnect(struct gossip_endpoint *ep, uint32_t addr,
                           uint16_t port)
{
    struct peer_connection *conn = find_connection(ep, addr, port);
    uint64_t key = peer_key(addr, port);

    g_hash_table_remove(ep->incoming, &key);
    if (conn != NULL) {
        close_connection(ep, conn);
    }
}

static gboolean
is_forgotten(gpointer key, gpointer value, gpointer now)
{
    const struct incoming_connection *in = value;

    return in->received_at + INCOMING_FORGET_US < *(uint64_t *)now;
}

void
gossip_endpoint_close_idle(struct gossip_endpoint *ep, uint64_t now)
{
    g_hash_table_foreach_remove(ep->incoming, is_forgotten, &now);
    list_for_each_safe (it, &ep->connections) {
        struct peer_connection *conn =
            container_of(it, struct peer_connection, link);

        if (now < conn->last_used_us + CONNECTION_IDLE_US) {
            return;
        }
        close_connection(ep, conn);
    }
}

size_t
gossip_endpoint_connection_count(const struct gossip_endpoint *ep)
{
    return ep->connection_count;
}

const struct gossip_endpoint_counters *
gossip_endpoint_counters(const struct gossip_endpoint *ep)
{
    return &ep->counters;
}
