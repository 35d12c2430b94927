#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/random.h"
#include "coordination/membership.h"
#include "coordination/target-absence.h"
#include "coordination/view-freshness.h"
#include "coordination/view-message.h"
#include "state/forward-view.h"

/* Keeps the views of all forwarders alike. Whoever gets an answer from the
 * store tells it to the others at once, with what changed; who finds that it
 * lacks something, or hears nothing for too long, asks a peer. Everything is
 * ordered by the store's revision, so messages may be lost, doubled or
 * overtaken. */

struct view_sync;

struct view_sync_callbacks {
    /* Sends one message to some peers; it is encoded once. */
    void (*send)(void *ctx, const struct member_info *const *peers,
                 size_t count, const struct view_message *m);
    /* The view has changed, or was confirmed. */
    void (*changed)(void *ctx);
    /* A peer has noticed misses of a target that it first sent to at
     * "sent_at". */
    void (*reported)(void *ctx, uint32_t cookie, unsigned misses,
                     uint64_t sent_at);
    void *ctx;
};

/* The others are the caller's. Returns NULL when memory is short. */
struct view_sync *
view_sync_new(struct forward_view *view, struct membership *members,
              struct freshness *freshness, struct target_absence *absence,
              struct random *random, const struct view_sync_callbacks *cb);
void view_sync_destroy(struct view_sync *vs);

/* The store has answered with "news" at "at". With "confirms" unset the answer
 * may be an old one. Returns false when something may be missing in between:
 * everything has to be read again. */
bool view_sync_store_answered(struct view_sync *vs,
                              const struct view_news *news, bool confirms,
                              uint64_t at);
void view_sync_receive(struct view_sync *vs, const struct view_message *m,
                       uint64_t now);
/* Tells the peers of targets that do not answer. */
void view_sync_report(struct view_sync *vs, const struct sign_record *signs,
                      size_t count, uint64_t now);
/* Asks some peer for what it has that is newer. */
void view_sync_ask(struct view_sync *vs, uint64_t now);
void view_sync_tick(struct view_sync *vs, uint64_t now);

/* Own place in the order of who watches the store, from 0 up to but not
 * including 1. */
double view_sync_position(const struct view_sync *vs, uint64_t now);
/* About how many balancers, itself included, lack the same news and hear each
 * other: all, if the own neighbours are heard; fewer, the fewer of them are.
 */
double view_sync_reach(const struct view_sync *vs, uint64_t now);
