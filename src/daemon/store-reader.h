#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/event.h>

#include "base/status.h"
#include "state/resource.h"
#include "transport/store-client.h"

/* Reads the configuration from the platform's store and watches its changes.
 * It begins with a range read, or with a watch alone when the configuration is
 * already complete up to a known revision. Runs in the control task while this
 * balancer is a watcher. */

/* Prefix of all keys of the balancers in the platform's store. */
#define STORE_PREFIX "pimentohaven/v1/"

struct store_reader;

/* Resources, entries and texts are valid only during the call of a callback.
 */
struct store_reader_callbacks {
    /* A resource was read. "revision" is CONFIG_REVISION_UNKNOWN while the
     * revision of the store is below one seen before. */
    void (*resource)(void *ctx, const struct resource *r, uint64_t revision);
    /* A value under status/ was read: the status of a failure domain, written
     * by its reporter. */
    void (*domain_status)(void *ctx, const char *domain,
                          const struct store_entry *entry);
    /* All resources in the store have been reported. */
    void (*complete)(void *ctx);
    /* The revision "found" of the store is below "known", one seen before. */
    void (*regressed)(void *ctx, uint64_t known, uint64_t found);
    /* Called for the first answer or error and whenever the store becomes
     * reachable or unreachable. "message" is the error, else empty. */
    void (*reachable)(void *ctx, bool reachable, const char *message);
    void *ctx;
};

/* Returns NULL when memory is short. "cb" is copied. "base" and "client"
 * remain owned by the caller; the client must be destroyed before the reader,
 * which its callbacks refer to. */
struct store_reader *store_reader_new(struct event_base *base,
                                      struct store_client *client,
                                      const struct store_reader_callbacks *cb);
void store_reader_destroy(struct store_reader *reader);

/* Starts the reader if it is not running. "known" is the revision up to which
 * the configuration is complete, 0 for none. */
void store_reader_start(struct store_reader *reader, uint64_t known);
void store_reader_stop(struct store_reader *reader);
/* Whether the store was reachable when last reported; false before the first
 * report. */
bool store_reader_is_reachable(const struct store_reader *reader);
