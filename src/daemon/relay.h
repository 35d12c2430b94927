#pragma once

#include "daemon/data.h"

/* Hands packets to the home that their token names, and takes those for which
 * this process is the home. The home answers the caller itself and
 * acknowledges the relay. */

struct relays *relays_new(struct data_task *task);
void relays_destroy(struct relays *relays);

/* Relays a packet. When the home does not acknowledge, the request is
 * answered as of unknown outcome, or served here when it may be repeated. */
void relays_forward(struct relays *relays, const struct inbound *in);

/* Hands a request that has no home yet to a peer, which takes it as its own.
 * For the planned stop, during which no flow can be opened here. */
void relays_hand_over(struct relays *relays, const struct inbound *in);

/* A datagram on the relay socket. */
void relays_on_datagram(struct relays *relays, const struct endpoint *from,
                        const uint8_t *data, size_t size,
                        uint64_t received_us);
void relays_tick(struct relays *relays, uint64_t now);
bool relays_idle(const struct relays *relays);
