#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/random.h"
#include "coordination/gossip-message.h"
#include "coordination/membership.h"
#include "state/config-store.h"
#include "state/domain-min-revisions.h"

/* Synchronizes the configuration and the domain floors between balancers. (The
 * floor of a failure domain is the store revision up to which all its
 * balancers have applied the configuration.) Changes are pushed to a few
 * random members of the balancer's failure domain, which relay them in the
 * same way. A balancer that reads a change from the store also pushes it to a
 * few members of other failure domains. Changes that a balancer misses are
 * detected by comparing checksums, carried by every message, and repaired by
 * comparing digests and pulling the differing resources (Demers et al.,
 * "Epidemic algorithms for replicated database maintenance", 1987). Times are
 * monotonic, in microseconds. */

/* Maximum number of balancers of a failure domain that watch the store. */
#define CONFIG_SYNC_WATCHERS_MAX 2

struct config_sync;

struct config_sync_callbacks {
    gossip_send_cb send;
    /* A newer version of a resource, from the store or a peer, was stored. */
    void (*applied)(void *ctx, const struct resource *r, uint64_t revision);
    /* The configuration is now complete up to "revision", which is higher than
     * before. */
    void (*completed)(void *ctx, uint64_t revision);
    /* A domain floor has risen, or a domain was added. */
    void (*floors_raised)(void *ctx);
    void *ctx;
};

/* Copies "cb"; the other arguments stay owned by the caller and must outlive
 * the result. Returns NULL when out of memory; release the result with
 * config_sync_destroy(). */
struct config_sync *config_sync_new(struct config_store *cs,
                                    struct membership *ms,
                                    struct domain_min_revisions *floors,
                                    const struct config_sync_callbacks *cb,
                                    struct random *random, uint64_t now);
void config_sync_destroy(struct config_sync *sync);

/* Stores a resource read from the platform's store at this revision, unless
 * the stored version is at least as new. Returns CONFIG_APPLIED if it was
 * stored; the next config_sync_flush() then pushes it to peers. */
enum config_result config_sync_offer(struct config_sync *sync,
                                     const struct resource *r,
                                     uint64_t revision);
/* Pushes to peers the resources that were stored since the last push. */
void config_sync_flush(struct config_sync *sync);
/* Every resource in the platform's store has been passed to
 * config_sync_offer(): the configuration is complete. */
void config_sync_mark_complete(struct config_sync *sync);
/* Raises a failure domain's floor, read from the platform's store or computed
 * here, and sends it to peers later. A floor that is not higher than the known
 * one has no effect. */
void config_sync_raise_floor(struct config_sync *sync, const char *domain,
                             uint64_t revision);

/* Handles received DELTA, DIGEST, LEAF_DIGEST, VERSIONS and PULL messages, and
 * the summary and the floors in messages of all kinds. */
void config_sync_receive(struct config_sync *sync,
                         const struct gossip_message *m, uint64_t now);
/* Sends the pushes, refresh requests and comparisons that are due. */
void config_sync_tick(struct config_sync *sync, uint64_t now);

/* Fills in the summary of this balancer's configuration before a message is
 * sent. */
void config_sync_fill_summary(const struct config_sync *sync,
                              struct gossip_message *m);

/* The store revision up to which this balancer's configuration is complete; 0:
 * not known. It is always the revision of a resource; other writes to the
 * store do not change it. */
uint64_t config_sync_revision(const struct config_sync *sync);

/* Whether this balancer is one of the watchers of its failure domain. */
bool config_sync_is_watcher(const struct config_sync *sync, uint64_t now);

/* Salt of the rendezvous ranks that choose the watchers and the reporter. */
uint64_t config_sync_watcher_salt(const struct config_sync *sync);

/* To be called after a pause of the process: asks peers whether the
 * configuration is still current. */
void config_sync_request_refresh(struct config_sync *sync, uint64_t now);
/* False from config_sync_request_refresh() until a peer has answered and a
 * message with the same configuration checksum has arrived. */
bool config_sync_is_refreshed(const struct config_sync *sync);
