#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/event.h>

#include "base/status.h"

/* Messages between balancers over ZeroMQ on TCP: a ROUTER socket receives,
 * one DEALER socket for each peer sends. Queues are bounded; what does not
 * fit, or goes to a peer that cannot be reached, is dropped. */
struct gossip_endpoint;

typedef void (*gossip_endpoint_cb)(void *ctx, const uint8_t *data,
                                   size_t size);

/* "addr" in host byte order. Returns NULL with "st" set. */
struct gossip_endpoint *gossip_endpoint_new(void *zmq_ctx,
                                            struct event_base *base,
                                            uint32_t addr, uint16_t port,
                                            gossip_endpoint_cb cb, void *ctx,
                                            struct status *st);
void gossip_endpoint_destroy(struct gossip_endpoint *ep);

/* Returns false when the message was dropped. */
bool gossip_endpoint_send(struct gossip_endpoint *ep, uint32_t addr,
                          uint16_t port, const uint8_t *data, size_t size,
                          uint64_t now);
/* Gives up the connection to a peer; the next message opens another. */
void gossip_endpoint_reset(struct gossip_endpoint *ep, uint32_t addr,
                           uint16_t port);
/* Closes connections that were not used for some time. */
void gossip_endpoint_close_idle(struct gossip_endpoint *ep, uint64_t now);

/* Sums for the metrics. */
struct gossip_endpoint_counters {
    uint64_t bytes_in;
    uint64_t bytes_out;
    uint64_t messages_in;
    uint64_t messages_out;
    uint64_t dropped;
};
const struct gossip_endpoint_counters *
gossip_endpoint_counters(const struct gossip_endpoint *ep);
