#pragma once

#include <event2/event.h>

#include "base/random.h"
#include "protocol/packet.h"
#include "transport/udp-socket.h"

/* A CoAP server for tests of the client. It runs in the event loop of the test
 * and can drop, duplicate and delay datagrams in both directions, with random
 * numbers from the random source of the test. */
struct fake_server;

/* The probabilities of the faults, in percent; 0 disables a fault. A datagram
 * that is not dropped may be duplicated, and each copy may be delayed. */
struct fake_faults {
    unsigned drop_percent;
    unsigned duplicate_percent;
    unsigned delay_percent;
    uint32_t delay_ms; /* maximum delay, below 1000; the random delays also
                        * reorder the datagrams */
};

/* Called for each valid packet that the server receives. "from" and "packet"
 * are valid during the call only. */
typedef void (*fake_server_cb)(void *ctx, struct fake_server *server,
                               const struct endpoint *from,
                               const struct packet *packet);

/* Creates a server without faults on a free port of the loopback address, and
 * aborts when it finds no such port. "base" and "random" must outlive the
 * server, which the caller frees with fake_server_destroy(). */
struct fake_server *fake_server_new(struct event_base *base,
                                    struct random *random, fake_server_cb cb,
                                    void *ctx);
/* Closes the socket and drops the datagrams that are still delayed. */
void fake_server_destroy(struct fake_server *server);

struct endpoint fake_server_endpoint(const struct fake_server *server);
void fake_server_set_faults(struct fake_server *server,
                            const struct fake_faults *faults);
/* While silent, the server drops the datagrams that are due to be received or
 * sent, also those whose delay ends meanwhile. */
void fake_server_set_silent(struct fake_server *server, bool silent);

/* Sends a packet, subject to the faults. Aborts when the packet cannot be
 * encoded. */
void fake_server_send(struct fake_server *server, const struct endpoint *to,
                      const struct packet *packet);
/* Sends an empty ACK for a request that is answered later by a separate
 * response (RFC 7252 section 5.2.2). */
void fake_server_ack(struct fake_server *server, const struct endpoint *to,
                     const struct packet *request);
