#pragma once

#include <event2/event.h>

#include "base/random.h"
#include "protocol/packet.h"
#include "transport/udp-socket.h"

/* A CoAP server for tests of the client, which runs in the event loop of the
 * test. It can drop, duplicate and delay datagrams in both directions, chosen
 * by the random source of the test. */
struct fake_server;

/* Each probability applies to every datagram; 0 disables the fault. */
struct fake_faults {
    unsigned drop_percent;
    unsigned duplicate_percent;
    unsigned delay_percent;
    uint32_t delay_ms; /* maximum delay; the random delays also reorder the
                        * datagrams */
};

/* Called for each valid packet that the server receives. "from" and "packet"
 * are valid during the call only. */
typedef void (*fake_server_cb)(void *ctx, struct fake_server *server,
                               const struct endpoint *from,
                               const struct packet *packet);

/* Binds a free port of the loopback address, without faults; aborts when it
 * finds none. "base" and "random" must outlive the server. */
struct fake_server *fake_server_new(struct event_base *base,
                                    struct random *random, fake_server_cb cb,
                                    void *ctx);
/* Also drops the datagrams that are delayed. */
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
