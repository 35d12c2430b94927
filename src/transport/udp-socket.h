#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/event.h>

#include "base/status.h"

/* A bound UDP socket driven from an event loop. */
struct udp_socket;

/* Buffers into which datagrams are received. One serves all sockets of a loop,
 * so that a socket by itself is small; a socket that is given none makes its
 * own. */
struct udp_batch;

struct udp_batch *udp_batch_new(void);
/* The sockets that use it must be gone. */
void udp_batch_destroy(struct udp_batch *batch);

/* An IPv4 endpoint in host byte order. */
struct endpoint {
    uint32_t addr;
    uint16_t port;
};

/* Called for each datagram; "data" is valid during the call, and until the end
 * of the batch for what the call queues. It may be written to.
 * "queued_us" is how long the datagram waited in the kernel's queue, in
 * microseconds, 0 when the kernel did not say. */
typedef void (*udp_socket_cb)(void *ctx, const struct endpoint *from,
                              uint8_t *data, size_t size, uint64_t queued_us);

struct udp_socket *udp_socket_new(struct event_base *base,
                                  struct udp_batch *batch,
                                  const struct endpoint *local,
                                  udp_socket_cb cb, void *ctx,
                                  struct status *st);
void udp_socket_destroy(struct udp_socket *sock);

/* Sends a datagram. Returns false when the kernel did not take it. */
bool udp_socket_send(struct udp_socket *sock, const struct endpoint *to,
                     const uint8_t *data, size_t size);

/* Queues a datagram that is put together from two parts, which have to stay
 * until it is sent: at the end of the batch of received datagrams that is
 * being handled, or by udp_socket_flush(). */
void udp_socket_queue(struct udp_socket *sock, const struct endpoint *to,
                      const uint8_t *head, size_t head_size,
                      const uint8_t *data, size_t size);
void udp_socket_flush(struct udp_socket *sock);
/* How many of them the kernel did not take. */
uint64_t udp_socket_unsent(const struct udp_socket *sock);

/* Parses a dotted IPv4 address into host byte order. */
bool endpoint_parse_addr(const char *text, uint32_t *addr);
/* Writes "a.b.c.d:port". */
void endpoint_format(const struct endpoint *ep, char *out, size_t size);
