#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>

#include "base/random.h"
#include "base/settings.h"

/* Takes addresses to join at from the platform's host list, which lags behind
 * and so is no more than a hint. */
struct host_list;

typedef void (*host_list_cb)(void *ctx, uint32_t addr, uint16_t port);

/* Returns NULL when memory is short. "settings" and "random" stay the
 * caller's. */
struct host_list *host_list_new(struct event_base *base,
                                const struct settings *settings,
                                struct random *random, host_list_cb cb,
                                void *ctx);
void host_list_destroy(struct host_list *hl);

/* Reads the list when it is time to: soon while addresses are "needed", and
 * seldom else. A balancer that has peers does not "follow" it, so that the
 * calls do not grow with the fleet. */
void host_list_tick(struct host_list *hl, bool needed, bool follow,
                    uint64_t now);
