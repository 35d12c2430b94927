#pragma once

#include <stdint.h>

#include "coordination/gossip-message.h"
#include "transport/gossip-endpoint.h"

/* Encodes a message and sends it to a peer, whose IPv4 address and port are in
 * host byte order. Delivery is not guaranteed: the gossip protocol detects and
 * repairs losses. A message that is too long is logged and dropped. */
void gossip_send_message(struct gossip_endpoint *ep, uint32_t addr,
                         uint16_t port, const struct gossip_message *m);
