#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>

#include "base/random.h"
#include "base/settings.h"

/* Reads gossip addresses of other balancers from the platform's host list. The
 * list may be outdated, so the caller tries to join at an address but cannot
 * rely on a balancer being there. */
struct host_list;

/* Called for each host taken from the list, with the IPv4 address (host byte
 * order) and port of its gossip endpoint. */
typedef void (*host_list_cb)(void *ctx, uint32_t addr, uint16_t port);

/* Returns NULL when memory is short. "base", "settings" and "random" remain
 * owned by the caller and must outlive the list. */
struct host_list *host_list_new(struct event_base *base,
                                const struct settings *settings,
                                struct random *random, host_list_cb cb,
                                void *ctx);
/* Cancels a read in progress and frees the list. Does nothing for NULL. */
void host_list_destroy(struct host_list *hl);

/* Reads the list when a read is due: every few seconds while "needed", which
 * means that there is no peer, and every few minutes with "follow". Without
 * either, the list is not read. "follow" is for watchers only, so that the
 * number of calls does not grow with the number of balancers. "now" is in
 * microseconds of the monotonic clock. */
void host_list_tick(struct host_list *hl, bool needed, bool follow,
                    uint64_t now);
