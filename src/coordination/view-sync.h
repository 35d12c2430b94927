#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/random.h"
#include "coordination/domain-load.h"
#include "coordination/membership.h"
#include "coordination/target-lapse.h"
#include "coordination/view-freshness.h"
#include "coordination/view-message.h"
#include "state/forward-view.h"

/* Synchronizes the views of all balancers. A balancer that gets an answer from
 * the store sends the changes to the others at once. A balancer that finds
 * that it lacks changes, or receives nothing for too long, pulls from a peer.
 * All data is ordered by the store's position, so messages may be lost,
 * duplicated or reordered. A delta of an earlier era of the store is dropped,
 * but for what a complete list knows better than the copy that the store was
 * restored from; one of a later era is applied only as a complete list. Times
 * are monotonic, in microseconds. */

struct view_sync;

struct view_sync_callbacks {
    /* Sends one message, encoded once during the call, to "count" peers. */
    void (*send)(void *ctx, const struct member_info *const *peers,
                 size_t count, const struct view_message *m);
    /* The view has changed, or the store has confirmed it. */
    void (*changed)(void *ctx);
    /* A peer has reported that the target with this cookie did not answer
     * "misses" requests; the first unanswered one was sent at "sent_at". No
     * misses: the target was alive at "sent_at"; OBSERVATION_SILENT: the peer
     * regards it as silent. */
    void (*reported)(void *ctx, uint32_t cookie, unsigned misses,
                     uint64_t sent_at);
    /* A peer has sent records of load by failure domain; may be NULL. */
    void (*load_told)(void *ctx, const struct domain_load_record *records,
                      size_t count, uint64_t now);
    /* A peer has told how long targets take; with "relay" the other peers may
     * lack it. May be NULL. */
    void (*slow_targets)(void *ctx, const struct slow_target_record *records,
                         size_t count, bool relay);
    /* A peer has told where flows are open that two targets may have accepted;
     * with "relay" the other peers may lack it. May be NULL. */
    void (*open_flows)(void *ctx, const struct open_flow_record *records,
                       size_t count, bool relay);
    void *ctx;
};

/* Copies "cb"; the other arguments stay owned by the caller and must outlive
 * the result. Returns NULL when out of memory; release the result with
 * view_sync_destroy(). */
struct view_sync *
view_sync_new(struct forward_view *view, struct membership *members,
              struct freshness *freshness, struct target_lapse *lapse,
              struct random *random, const struct view_sync_callbacks *cb);
void view_sync_destroy(struct view_sync *vs);

/* Applies an answer of the store, which gave it at "at" or later. With
 * "confirms" set it contains all changes until "at": it confirms the view and
 * is sent to the peers. Otherwise it may be stale. Returns false, and applies
 * nothing, when changes between the view and "delta" may be missing: the
 * caller has to read everything again. */
bool view_sync_store_answered(struct view_sync *vs,
                              const struct view_delta *delta, bool confirms,
                              uint64_t at, uint64_t now);
/* Handles a received message. */
void view_sync_receive(struct view_sync *vs, const struct view_message *m,
                       uint64_t now);
/* Sends observations of targets that do not answer to the peers. */
void view_sync_send_observations(struct view_sync *vs,
                                 const struct observation_record *observations,
                                 size_t count, uint64_t now);
/* Sends records of load by failure domain to DOMAIN_LOAD_PEERS neighbors at
 * random, among them one in another failure domain if there is any. "count" is
 * at most DOMAIN_LOAD_RECORDS_MAX. */
void view_sync_send_load(struct view_sync *vs,
                         const struct domain_load_record *records,
                         size_t count);
/* Tells the peers how long targets take. Without "wide" a larger fleet tells
 * only those of its own failure domain. */
void view_sync_send_slow_targets(struct view_sync *vs,
                                 const struct slow_target_record *records,
                                 size_t count, bool wide, uint64_t now);
/* Tells the peers where flows are open, at most OPEN_FLOW_RECORDS_MAX. A
 * larger fleet tells only those of its own failure domain, to which the
 * routers hand its flows. */
void view_sync_send_open_flows(struct view_sync *vs,
                               const struct open_flow_record *records,
                               size_t count, uint64_t now);
/* Asks a random live peer for all changes that this view lacks. */
void view_sync_pull(struct view_sync *vs, uint64_t now);
/* Asks one peer, which need not be a known member, for the same. */
void view_sync_pull_from(struct view_sync *vs, uint32_t addr, uint16_t port,
                         uint64_t now);
/* A member has been added or has changed its state. */
void view_sync_on_member(struct view_sync *vs, const struct member *member);
/* Sends announcements that are due, and pulls when the view is overdue. */
void view_sync_tick(struct view_sync *vs, uint64_t now);

/* Number of deltas dropped because they were of an earlier era. */
uint64_t view_sync_dropped_deltas(const struct view_sync *vs);
/* Number of answers of peers that have no view themselves. */
uint64_t view_sync_empty_answers(const struct view_sync *vs);
