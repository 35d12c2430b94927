#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/event.h>

#include "base/status.h"
#include "state/resource.h"
#include "transport/store-client.h"

/* Reads the configuration from the platform's store and follows its changes:
 * a range read or, when a revision is known already, only a watch from there
 * on. Runs in the control task while this balancer is a watcher. */

#define STORE_PREFIX "pimentohaven/v1/"

struct store_reader;

struct store_reader_callbacks {
    /* "revision" is CONFIG_REVISION_UNKNOWN while the store is behind what
     * was seen of it before. */
    void (*resource)(void *ctx, const struct resource *r, uint64_t revision);
    /* A value under status/, which a domain's reporter wrote. */
    void (*domain_status)(void *ctx, const char *domain,
                          const struct store_entry *entry);
    /* Everything that the store holds by now was passed on. */
    void (*complete)(void *ctx);
    /* The store's revision is below one seen before. */
    void (*regressed)(void *ctx, uint64_t known, uint64_t found);
    /* The store answers again, or has stopped answering. */
    void (*reachable)(void *ctx, bool reachable, const char *message);
    void *ctx;
};

/* Returns NULL when memory is short. The client stays the caller's. */
struct store_reader *store_reader_new(struct event_base *base,
                                      struct store_client *client,
                                      const struct store_reader_callbacks *cb);
void store_reader_destroy(struct store_reader *reader);

/* Starts, unless it runs already. "known" is the revision up to which the
 * configuration is complete, 0 for none. */
void store_reader_start(struct store_reader *reader, uint64_t known);
void store_reader_stop(struct store_reader *reader);
bool store_reader_is_reachable(const struct store_reader *reader);
