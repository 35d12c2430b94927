#pragma once

#include <event2/event.h>

#include "base/random.h"
#include "protocol/packet.h"
#include "transport/udp-socket.h"

/* A CoAP server for tests of the client, in the same event loop. It drops,
 * duplicates and delays datagrams of both directions by a seeded random
 * source. */
struct fake_server;

struct fake_faults {
    unsigned drop_percent;
    unsigned duplicate_percent;
    unsigned delay_percent;
    uint32_t delay_ms; /* at most; delayed datagrams overtake each other */
};

typedef void (*fake_server_cb)(void *ctx, struct fake_server *server,
                               const struct endpoint *from,
                               const struct packet *packet);

struct fake_server *fake_server_new(struct event_base *base,
                                    struct random *random, fake_server_cb cb,
                                    void *ctx);
void fake_server_destroy(struct fake_server *server);

struct endpoint fake_server_endpoint(const struct fake_server *server);
void fake_server_set_faults(struct fake_server *server,
                            const struct fake_faults *faults);
/* A silent server receives nothing and sends nothing. */
void fake_server_set_silent(struct fake_server *server, bool silent);

void fake_server_send(struct fake_server *server, const struct endpoint *to,
                      const struct packet *packet);
/* A separate response (RFC 7252 section 5.2.2): an empty ACK at once. */
void fake_server_ack(struct fake_server *server, const struct endpoint *to,
                     const struct packet *request);
