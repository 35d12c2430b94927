#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/event.h>

#include "base/status.h"

/* A bound UDP socket driven from an event loop. */
struct udp_socket;

/* Buffers into which datagrams are received. All sockets of an event loop can
 * share one, which saves memory per socket. */
struct udp_batch;

/* Returns NULL if out of memory. */
struct udp_batch *udp_batch_new(void);
/* All sockets that use the batch must have been destroyed before. */
void udp_batch_destroy(struct udp_batch *batch);

/* An IPv4 endpoint in host byte order. */
struct endpoint {
    uint32_t addr;
    uint16_t port;
};

/* Called for each received datagram. "data" may be modified and is
 * valid during the call; what the call passes to udp_socket_queue() stays
 * valid until it is sent at the end of the batch.
 * "queued_us" is the time that the datagram waited in the kernel's queue, in
 * microseconds; 0 if unknown. */
typedef void (*udp_socket_cb)(void *ctx, const struct endpoint *from,
                              uint8_t *data, size_t size, uint64_t queued_us);

/* Opens a socket bound to "local" and starts to receive. Without a "batch"
 * (NULL) the socket creates and owns one; a given one remains the caller's.
 * Returns NULL with "st" set if the address cannot be bound or memory is
 * short. */
struct udp_socket *udp_socket_new(struct event_base *base,
                                  struct udp_batch *batch,
                                  const struct endpoint *local,
                                  udp_socket_cb cb, void *ctx,
                                  struct status *st);
void udp_socket_destroy(struct udp_socket *sock);

/* Sends a datagram at once. Returns false if the kernel did not accept it. */
bool udp_socket_send(struct udp_socket *sock, const struct endpoint *to,
                     const uint8_t *data, size_t size);

/* Queues a datagram that consists of "head" followed by "data". Neither is
 * copied: both must remain valid until the datagram is sent, which happens at
 * the end of the current batch of received datagrams, in udp_socket_flush(),
 * or when the queue is full. */
void udp_socket_queue(struct udp_socket *sock, const struct endpoint *to,
                      const uint8_t *head, size_t head_size,
                      const uint8_t *data, size_t size);
/* Sends all queued datagrams. Those that the kernel does not accept are lost,
 * as on a network, and counted. */
void udp_socket_flush(struct udp_socket *sock);
/* Returns the number of queued datagrams that the kernel did not accept. */
uint64_t udp_socket_unsent_count(const struct udp_socket *sock);

/* Parses a dotted IPv4 address into host byte order. Returns false if "text"
 * is not one. */
bool endpoint_parse_addr(const char *text, uint32_t *addr);
/* Writes "a.b.c.d:port". */
void endpoint_format(const struct endpoint *ep, char *out, size_t size);
