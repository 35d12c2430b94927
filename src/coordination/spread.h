#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/random.h"
#include "coordination/gossip-message.h"
#include "coordination/membership.h"
#include "state/config-store.h"
#include "state/domain-floors.h"

/* Spreads the configuration between balancers. News is pushed to a few random
 * members of the own failure domain, which pass it on in the same way; what
 * that misses is found by comparing checksums, carried by every message, and
 * repaired by comparing digests and pulling what differs (Demers et al.,
 * "Epidemic algorithms for replicated database maintenance", 1987). */

#define SPREAD_WATCHERS 2 /* balancers of a domain that watch the store */

struct spread;

struct spread_callbacks {
    gossip_send_cb send;
    /* A higher version of a resource was taken, from the store or a peer. */
    void (*applied)(void *ctx, const struct resource *r, uint64_t revision);
    /* The revision up to which the configuration is complete has risen. */
    void (*completed)(void *ctx, uint64_t revision);
    void (*floors_raised)(void *ctx);
    void *ctx;
};

/* The store, the members and the floors stay the caller's and must outlive
 * it. Returns NULL when memory is short. */
struct spread *spread_new(struct config_store *cs, struct membership *ms,
                          struct domain_floors *floors,
                          const struct spread_callbacks *cb,
                          struct random *random, uint64_t now);
void spread_destroy(struct spread *sp);

/* Takes a resource read from the platform's store. It is pushed to peers at
 * the next spread_flush(). */
enum config_result spread_offer(struct spread *sp, const struct resource *r,
                                uint64_t revision);
void spread_flush(struct spread *sp);
/* Everything that the platform's store holds has been offered. */
void spread_complete(struct spread *sp);
/* Takes a failure domain's floor read from the platform's store. */
void spread_offer_floor(struct spread *sp, const char *domain,
                        uint64_t revision);

/* Handles DELTA, DIGEST, LEAF_DIGEST, VERSIONS and PULL, and the summary that
 * every message carries. */
void spread_receive(struct spread *sp, const struct gossip_message *m,
                    uint64_t now);
void spread_tick(struct spread *sp, uint64_t now);

/* Fills the summary of a message about to be sent. */
void spread_summary(const struct spread *sp, struct gossip_message *m);

/* The revision up to which this balancer's configuration is complete, 0 when
 * that is not known. It is always the revision of a resource: other writes to
 * the store do not count. */
uint64_t spread_revision(const struct spread *sp);

/* Whether the own balancer is one of the watchers of its domain. */
bool spread_is_watcher(const struct spread *sp, uint64_t now);

/* The salt of the ranks that decide on watchers and the reporter. */
uint64_t spread_watcher_salt(const struct spread *sp);

/* After a pause: true once a peer, heard since, holds the same
 * configuration. */
void spread_ask_refresh(struct spread *sp, uint64_t now);
bool spread_is_refreshed(const struct spread *sp);
