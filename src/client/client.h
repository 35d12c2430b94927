#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/event.h>

#include "base/random.h"
#include "base/status.h"
#include "protocol/packet.h"
#include "transport/udp-socket.h"

/* A CoAP client (RFC 7252) on one UDP socket, with its exchanges. A request is
 * sent to one of the service's entry addresses. Its answer is matched by CoAP
 * token and accepted from any address: a balancer that is not the home of a
 * flow forwards the request to the home, which answers from its own address.
 */

/* Maximum number of entry addresses of a client. */
#define CLIENT_ENTRY_ADDRESSES_MAX 32
/* Default time from sending a request to its first retransmission when no ACK
 * arrives: ACK_TIMEOUT, RFC 7252 section 4.8. */
#define CLIENT_ACK_TIMEOUT_MS 2000
/* Default time from an empty ACK to the next transmission of the request. */
#define CLIENT_TIMEOUT_AFTER_ACK_MS 4000

struct client;

struct client_options {
    const struct endpoint *via; /* entry addresses, copied */
    size_t via_count;           /* 1 to CLIENT_ENTRY_ADDRESSES_MAX */
    /* Time to the first retransmission, before random jitter. 0: default */
    uint32_t ack_timeout_ms;
    /* Time from an empty ACK until the request is sent again, because the
     * balancer that sent the ACK may have died. 0: default */
    uint32_t acked_timeout_ms;
    struct random *random; /* not owned; must outlive the client */
};

struct client_counters {
    uint64_t sent; /* datagrams sent, including empty ACKs and Resets */
    uint64_t retransmitted; /* retransmitted requests, included in "sent" */
    uint64_t received;      /* datagrams received */
    uint64_t malformed;     /* received datagrams that could not be parsed */
    uint64_t unmatched;     /* received answers that match no exchange */
};

/* Creates a client with a UDP socket on any free port. Returns NULL and sets
 * "st" on failure. */
struct client *client_new(struct event_base *base,
                          const struct client_options *options,
                          struct status *st);
/* Frees the client. All its exchanges must have been stopped. Must not be
 * called from an exchange callback. */
void client_destroy(struct client *client);

struct event_base *client_base(const struct client *client);
struct random *client_random(const struct client *client);
const struct client_counters *client_counters(const struct client *client);

/* A request in progress, with its retransmissions and answers. */
struct exchange;

/* Called for each answer that has the CoAP token of the exchange, and with
 * "answer" NULL when the deadline passes before an answer that ends the
 * retransmission. The callback may stop the exchange. "answer" is valid only
 * during the callback. */
typedef void (*exchange_cb)(void *ctx, struct exchange *ex,
                            const struct packet *answer);

/* Sends a request as a confirmable message with a new message id and CoAP
 * token. "deadline_us" is a monotonic time; each transmission carries the
 * milliseconds left until then. "request" is copied, but its payload must stay
 * valid until the exchange is stopped. The request is retransmitted until an
 * answer arrives or the deadline passes, where RFC 7252 section 4.2 ends after
 * MAX_RETRANSMIT: other calls of the flow may wait for the answer. A
 * non-confirmable notification does not count as one. The
 * exchange receives answers until the caller ends it with exchange_stop().
 * Returns NULL when out of memory or when the request does not fit a datagram.
 */
struct exchange *exchange_start(struct client *client,
                                const struct packet *request,
                                uint64_t deadline_us, exchange_cb cb,
                                void *ctx);

/* Sends another request in an exchange, under the same CoAP token, to renew an
 * observation (RFC 7641 section 3.3.1). Returns false when the request does
 * not fit a datagram. */
bool exchange_renew(struct exchange *ex, const struct packet *request,
                    uint64_t deadline_us);

/* Overrides client_options.acked_timeout_ms for one exchange. */
void exchange_set_acked_timeout(struct exchange *ex, uint64_t timeout_us);

/* Ends and frees an exchange. A later answer is rejected with a Reset. If the
 * exchange has received a final answer, a later copy of it is acknowledged
 * instead. */
void exchange_stop(struct exchange *ex);

/* Returns the number of retransmissions of the request sent last. */
unsigned exchange_retransmitted(const struct exchange *ex);
