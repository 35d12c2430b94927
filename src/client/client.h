#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/event.h>

#include "base/random.h"
#include "base/status.h"
#include "protocol/packet.h"
#include "transport/udp-socket.h"

/* One UDP endpoint of a CoAP client (RFC 7252) with its exchanges. A request
 * goes to one of the service's entry addresses, and its answer is accepted
 * from any address by its CoAP token: a balancer that is not the home of a
 * flow hands the request on, and the home answers from its own address. */

#define CLIENT_VIA_MAX 32          /* entry addresses */
#define CLIENT_ACK_TIMEOUT_MS 2000 /* RFC 7252 section 4.8 */
#define CLIENT_ACKED_TIMEOUT_MS 4000

struct client;

struct client_options {
    const struct endpoint *via; /* copied, 1 to CLIENT_VIA_MAX of them */
    size_t via_count;
    uint32_t ack_timeout_ms; /* to the first retransmission, 0: default */
    /* How long after an empty ACK the request is sent again, because the
     * balancer that sent it may be gone; 0: default. */
    uint32_t acked_timeout_ms;
    struct random *random; /* outlives the client */
};

struct client_counters {
    uint64_t sent;          /* datagrams */
    uint64_t retransmitted; /* of these, requests sent again */
    uint64_t received;
    uint64_t malformed;
    uint64_t unmatched; /* answers to no exchange */
};

/* Returns NULL with "st" set. */
struct client *client_new(struct event_base *base,
                          const struct client_options *options,
                          struct status *st);
/* Every exchange must have been stopped. Not to be called from a callback of
 * the client. */
void client_destroy(struct client *client);

struct event_base *client_base(const struct client *client);
struct random *client_random(const struct client *client);
const struct client_counters *client_counters(const struct client *client);

/* A request on its way, with retransmission. */
struct exchange;

/* Called for each answer with the exchange's CoAP token, and with NULL when
 * the deadline passes without one. May stop the exchange. "answer" is valid
 * during the call only. */
typedef void (*exchange_cb)(void *ctx, struct exchange *ex,
                            const struct packet *answer);

/* Sends a request as a CON with a message id and a CoAP token of its own, with
 * the milliseconds left to the deadline (monotonic, microseconds). The
 * payload must stay valid until the exchange is stopped. Retransmission ends
 * with the answer, which a notification (NON) is not; the exchange goes on
 * receiving until it is stopped.
 * Returns NULL when memory is short or the request does not fit a datagram. */
struct exchange *exchange_start(struct client *client,
                                const struct packet *request,
                                uint64_t deadline_us, exchange_cb cb,
                                void *ctx);

/* Sends another request in an exchange, under the same CoAP token: a renewed
 * observation (RFC 7641 section 3.3.1). Returns false when it does not fit. */
bool exchange_renew(struct exchange *ex, const struct packet *request,
                    uint64_t deadline_us);

/* How long after an empty ACK the request is sent again, instead of the time
 * in the client's options. */
void exchange_set_acked_timeout(struct exchange *ex, uint64_t timeout_us);

/* Ends and frees an exchange. Later answers are rejected with a Reset, unless
 * an answer had come already: then a copy of it is acknowledged. */
void exchange_stop(struct exchange *ex);

/* Retransmissions so far. */
unsigned exchange_retransmitted(const struct exchange *ex);
