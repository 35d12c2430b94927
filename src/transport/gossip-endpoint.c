#include "transport/gossip-endpoint.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>

#include <zmq.h>

#include "base/address.h"
#include "base/clock.h"
#include "base/list.h"
#include "transport/zmq-watch.h"

#define ENDPOINT_TEXT_SIZE 64
#define CONNECT_TEXT_SIZE 96
#define MESSAGE_SIZE_MAX                                                      \
    (1 << 20) /* bytes; a larger one ends its connection */
#define SEND_QUEUE_MESSAGES 1000
#define RECEIVE_QUEUE_MESSAGES 1000
#define HEARTBEAT_INTERVAL_MS 3000 /* ZMTP heartbeats, for silent links */
#define HEARTBEAT_TIMEOUT_MS 6000
#define CONNECT_TIMEOUT_MS 2000
#define RECONNECT_MIN_MS 100
#define RECONNECT_MAX_MS 2000
#define LINKS_MAX 128
/* Neighbours exchange heartbeats each second; other links are seldom needed
 * again. */
#define LINK_IDLE_US (5 * USEC_PER_SEC)

/* A connection for sending to one peer. */
struct gossip_link {
    struct list link;
    uint32_t addr;
    uint16_t port;
    uint64_t used; /* us */
    void *socket;
};

struct gossip_endpoint {
    uint32_t addr; /* own; connections to peers come from it */
    void *zmq_ctx;
    void *router;
    struct zmq_watch *watch;
    gossip_endpoint_cb cb;
    void *ctx;
    struct list links; /* least recently used first */
    size_t link_count;
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
    set_option(socket, ZMQ_SNDHWM, SEND_QUEUE_MESSAGES);
    set_option(socket, ZMQ_RCVHWM, RECEIVE_QUEUE_MESSAGES);
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

/* Receives one message: the sender's identity, which is not used, and the
 * payload. Returns false when there is none. */
static bool
receive_one(struct gossip_endpoint *ep)
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
        if (!first && !more) {
            ep->counters.messages_in++;
            ep->counters.bytes_in += zmq_msg_size(&part);
            ep->cb(ep->ctx, zmq_msg_data(&part), zmq_msg_size(&part));
        }
        first = false;
        zmq_msg_close(&part);
    }
    return true;
}

/* See transport/zmq-watch.h for why everything is received. */
static void
drain(void *ctx)
{
    struct gossip_endpoint *ep = ctx;

    while (receive_one(ep)) {
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
        status_set(st, ERR_SYSTEM, "gossip: %s", zmq_strerror(errno));
        return false;
    }
    set_options(ep->router);
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
    ep->zmq_ctx = zmq_ctx;
    ep->cb = cb;
    ep->ctx = ctx;
    list_init(&ep->links);
    if (!open_router(ep, addr, port, st)) {
        gossip_endpoint_destroy(ep);
        return NULL;
    }
    ep->watch = zmq_watch_new(base, ep->router, drain, ep);
    if (ep->watch == NULL) {
        status_set(st, ERR_NO_MEMORY, "gossip: out of memory");
        gossip_endpoint_destroy(ep);
        return NULL;
    }
    return ep;
}

static void
close_link(struct gossip_endpoint *ep, struct gossip_link *link)
{
    list_remove(&link->link);
    ep->link_count--;
    zmq_close(link->socket);
    free(link);
}

void
gossip_endpoint_destroy(struct gossip_endpoint *ep)
{
    if (ep == NULL) {
        return;
    }
    list_for_each_safe (it, &ep->links) {
        close_link(ep, container_of(it, struct gossip_link, link));
    }
    zmq_watch_destroy(ep->watch);
    if (ep->router != NULL) {
        zmq_close(ep->router);
    }
    free(ep);
}

static struct gossip_link *
find_link(const struct gossip_endpoint *ep, uint32_t addr, uint16_t port)
{
    list_for_each (it, &ep->links) {
        struct gossip_link *link = container_of(it, struct gossip_link, link);

        if (link->addr == addr && link->port == port) {
            return link;
        }
    }
    return NULL;
}

/* Writes "tcp://SOURCE:0;PEER:PORT": peers see the address that they know this
 * balancer by, also on a host that has several. */
static void
format_connection(const struct gossip_endpoint *ep, uint32_t addr,
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

    if (socket == NULL) {
        return NULL;
    }
    set_options(socket);
    set_option(socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
    set_option(socket, ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS);
    set_option(socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
    format_connection(ep, addr, port, endpoint);
    if (zmq_connect(socket, endpoint) < 0) {
        zmq_close(socket);
        return NULL;
    }
    return socket;
}

static struct gossip_link *
open_link(struct gossip_endpoint *ep, uint32_t addr, uint16_t port)
{
    struct gossip_link *link = calloc(1, sizeof(*link));

    if (link == NULL) {
        return NULL;
    }
    link->socket = connect_socket(ep, addr, port);
    if (link->socket == NULL) {
        free(link);
        return NULL;
    }
    link->addr = addr;
    link->port = port;
    if (ep->link_count == LINKS_MAX) {
        close_link(ep, container_of(ep->links.next, struct gossip_link, link));
    }
    list_push_back(&ep->links, &link->link);
    ep->link_count++;
    return link;
}

bool
gossip_endpoint_send(struct gossip_endpoint *ep, uint32_t addr, uint16_t port,
                     const uint8_t *data, size_t size, uint64_t now)
{
    struct gossip_link *link = find_link(ep, addr, port);

    if (link == NULL) {
        link = open_link(ep, addr, port);
    }
    if (link == NULL || zmq_send(link->socket, data, size, ZMQ_DONTWAIT) < 0) {
        ep->counters.dropped++;
        return false;
    }
    link->used = now;
    list_remove(&link->link);
    list_push_back(&ep->links, &link->link);
    ep->counters.messages_out++;
    ep->counters.bytes_out += size;
    return true;
}

void
gossip_endpoint_reset(struct gossip_endpoint *ep, uint32_t addr, uint16_t port)
{
    struct gossip_link *link = find_link(ep, addr, port);

    if (link != NULL) {
        close_link(ep, link);
    }
}

void
gossip_endpoint_close_idle(struct gossip_endpoint *ep, uint64_t now)
{
    list_for_each_safe (it, &ep->links) {
        struct gossip_link *link = container_of(it, struct gossip_link, link);

        if (now < link->used + LINK_IDLE_US) {
            return;
        }
        close_link(ep, link);
    }
}

const struct gossip_endpoint_counters *
gossip_endpoint_counters(const struct gossip_endpoint *ep)
{
    return &ep->counters;
}
