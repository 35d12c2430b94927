#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/event.h>

#include "base/status.h"

/* Exchanges messages with other balancers over ZeroMQ on TCP. A DEALER socket
 * per peer that this balancer has connected to, and one ROUTER socket for all
 * peers that have connected to it, carry messages both ways, so that two peers
 * need one connection. Each connection announces the address of its opener,
 * by which the other side finds it. Queues are bounded: a message that does
 * not fit, or whose peer cannot be reached, is dropped. */
struct gossip_endpoint;

/* Called once per received message. "data" is valid during the call only. */
typedef void (*gossip_endpoint_cb)(void *ctx, const uint8_t *data,
                                   size_t size);

/* Binds the receiving socket to "addr" (IPv4, host byte order) and "port".
 * "addr" is also the source address of connections to peers. "zmq_ctx" and
 * "base" remain the caller's and must outlive the endpoint. Returns NULL with
 * "st" set on failure. */
struct gossip_endpoint *gossip_endpoint_new(void *zmq_ctx,
                                            struct event_base *base,
                                            uint32_t addr, uint16_t port,
                                            gossip_endpoint_cb cb, void *ctx,
                                            struct status *st);
void gossip_endpoint_destroy(struct gossip_endpoint *ep);
/* Sets the address that peers know this balancer by, if it is not the one that
 * the endpoint is bound to. To be called before the first message. */
void gossip_endpoint_set_public(struct gossip_endpoint *ep, uint32_t addr,
                                uint16_t port);

/* Sends a copy of the message to the peer at "addr" (host byte order) and
 * "port"; opens a connection if there is none. "now" is in microseconds and
 * marks the connection as used. Returns false if the message was dropped. */
bool gossip_endpoint_send(struct gossip_endpoint *ep, uint32_t addr,
                          uint16_t port, const uint8_t *data, size_t size,
                          uint64_t now);
/* Closes the connection to a peer, if there is one, drops the messages still
 * queued on it and does not use the one that the peer has opened. The next
 * message to the peer opens a new connection. */
void gossip_endpoint_disconnect(struct gossip_endpoint *ep, uint32_t addr,
                                uint16_t port);
/* Closes the connections to peers to which no message was sent for 5 s. "now"
 * comes from the same clock as in gossip_endpoint_send(). */
void gossip_endpoint_close_idle(struct gossip_endpoint *ep, uint64_t now);

/* Totals since the endpoint was created, for the metrics. Bytes are those of
 * message payloads. "out" counts messages that ZeroMQ has queued. */
struct gossip_endpoint_counters {
    uint64_t bytes_in;
    uint64_t bytes_out;
    uint64_t messages_in;
    uint64_t messages_out;
    uint64_t dropped; /* messages for which gossip_endpoint_send() failed */
};
/* Number of connections that this balancer has opened. */
size_t gossip_endpoint_connection_count(const struct gossip_endpoint *ep);
const struct gossip_endpoint_counters *
gossip_endpoint_counters(const struct gossip_endpoint *ep);
