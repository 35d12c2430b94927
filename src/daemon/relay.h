#pragma once

#include "daemon/data.h"

/* Forwards packets between balancers. The home of a request is the balancer
 * process that its flow token names; only that process may deliver a request
 * that must not run twice. A balancer that receives a packet for another home
 * forwards it there in an envelope. The home acknowledges the envelope and
 * answers the caller itself. */

/* Allocates the relays of a data task, which must outlive them. Returns NULL
 * when memory is short. */
struct relays *relays_new(struct data_task *task);
void relays_destroy(struct relays *relays);

/* Forwards a request to the home that its token names. When the home rejects
 * or does not acknowledge it, or when it was already forwarded here or cannot
 * be sent, a GET or FETCH is served here, and the answer to any other request
 * is that its outcome is unknown. */
void relays_forward_to_home(struct relays *relays, const struct inbound *in);

/* Forwards a request without a token to a randomly chosen peer, which handles
 * it as if the caller had sent it there. Used during a planned stop or while
 * the host is draining, when no flow can be opened here. At least one peer
 * must be known. */
void relays_forward_to_peer(struct relays *relays, const struct inbound *in);

/* Handles a datagram received on the relay socket: a forwarded packet, or the
 * acknowledgement of one. Malformed datagrams are ignored. */
void relays_on_datagram(struct relays *relays, const struct endpoint *from,
                        const uint8_t *data, size_t size,
                        uint64_t received_us);

/* Sends unacknowledged packets again and abandons those that were sent the
 * maximum number of times. "now" is in microseconds of the monotonic clock. */
void relays_tick(struct relays *relays, uint64_t now);

/* Returns true when no packet waits for an acknowledgement. */
bool relays_idle(const struct relays *relays);
