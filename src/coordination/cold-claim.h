#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/store-position.h"
#include "coordination/view-freshness.h"
#include "state/forward-view.h"

/* Which host opens flows to a target during its cold start. A service may
 * limit the openings that a cold target bears in any second, summed over all
 * hosts. So one host claims the target, by a conditional write of a key of the
 * store that must not exist, and it alone opens flows there, within the limit
 * of coordination/cold-limit.h. All others pass over the target until it is
 * warm. Without a claim, or when it is not known whether a write was done, the
 * target gets nothing: that costs one target for the rest of its cold start
 * and no call for a flow. docs/design/cold-targets.md compares other ways.
 *
 * Answers the load of a failure domain whose targets all return cold, with
 * hosts that are cut off, killed, frozen or new meanwhile. It has no socket
 * and no clock; the owner makes the calls. Times are monotonic, in
 * microseconds.
 *
 * A claim passes to another host only by its removal, after the cold start, or
 * when a restored store has lost it. So a host uses its claims only while the
 * store has confirmed its view lately (after a pause it first has to), and
 * claims nothing in a new era of the store for longer than that. */

#define COLD_CLAIM_KEY_PREFIX "pimentohaven/cold/"
/* Size of a key and of a value with the final NUL. */
#define COLD_CLAIM_KEY_SIZE (sizeof(COLD_CLAIM_KEY_PREFIX) + TARGET_ID_SIZE)
#define COLD_CLAIM_OWNER_SIZE 96

struct cold_claims;

struct cold_claims_options {
    const char *domain; /* failure domain of this host, interned */
    /* Value of the keys; names this process, unlike any other or earlier one.
     */
    char owner[COLD_CLAIM_OWNER_SIZE];
    /* See struct forward_settings. */
    double overage;
    double slack;
    /* Time without a confirmation by the store after which claims are not used
     * until the next one. */
    uint64_t confirm_max_us;
};

/* "options" is copied; "view" and "freshness" must outlive the result. */
struct cold_claims *cold_claims_new(const struct forward_view *view,
                                    const struct freshness *freshness,
                                    const struct cold_claims_options *options);
void cold_claims_destroy(struct cold_claims *claims);
/* Applies changed limits; "options->domain" and "owner" must be the same. */
void cold_claims_set_options(struct cold_claims *claims,
                             const struct cold_claims_options *options);

/* A target was added or changed. */
void cold_claims_on_target(struct cold_claims *claims,
                           const struct forward_target *target, uint64_t now);

enum cold_claim_action {
    COLD_CLAIM_WRITE,  /* write the key if it does not exist */
    COLD_CLAIM_READ,   /* read the key: it is not known what a write did */
    COLD_CLAIM_REMOVE, /* remove the key if it still has "position" */
};

struct cold_claim_call {
    enum cold_claim_action action;
    char id[TARGET_ID_SIZE]; /* of the target */
    char key[COLD_CLAIM_KEY_SIZE];
    struct store_position position; /* of the key: the condition */
};

enum cold_claim_result {
    COLD_CLAIM_DONE,     /* written, removed, or read */
    COLD_CLAIM_CONFLICT, /* the condition does not hold; nothing was done */
    COLD_CLAIM_FAILED,   /* nothing was done */
    COLD_CLAIM_UNKNOWN,  /* it may have been done, or may be done later */
};

/* Returns true with the next call that is due, which then counts as begun; to
 * be called until it returns false. "rank" returns the rank of this host among
 * the live hosts of its failure domain for a salt, 0 for the first; see
 * membership_rank(). "settled": the members are known, see
 * membership_settled(). */
bool cold_claims_next(struct cold_claims *claims,
                      size_t (*rank)(void *ctx, uint64_t salt), void *ctx,
                      bool settled, struct cold_claim_call *call,
                      uint64_t now);
/* A write or removal has ended; "position" is that of the written key. */
void cold_claims_on_result(struct cold_claims *claims, const char *id,
                           enum cold_claim_result result,
                           struct store_position position, uint64_t now);
/* A read has ended: with COLD_CLAIM_DONE "value" is that of the key, NULL when
 * it does not exist. */
void cold_claims_on_read(struct cold_claims *claims, const char *id,
                         enum cold_claim_result result, const char *value,
                         size_t value_len, struct store_position position,
                         uint64_t now);

/* Whether a target is in its cold start and its service limits the openings.
 */
bool cold_claims_is_limited(const struct forward_target *target, uint64_t now);
/* Whether this host may open a flow to such a target now. */
bool cold_claims_allow(struct cold_claims *claims,
                       const struct forward_target *target, uint64_t now);
/* An opening packet (SYN), or a copy of one, was sent to a target. Does
 * nothing for NULL. */
void cold_claims_on_open(struct cold_claims *claims,
                         const struct forward_target *target, uint64_t now);

struct cold_claims_counters {
    uint64_t held;     /* claims that this host has now */
    uint64_t won;      /* since the start */
    uint64_t lost;     /* another host has claimed the target */
    uint64_t openings; /* to claimed targets during their cold starts */
    uint64_t withheld; /* choices for which a claimed target was passed over
                        * because its limit was reached */
};
void cold_claims_counters(const struct cold_claims *claims,
                          struct cold_claims_counters *c);
