#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/random.h"
#include "coordination/gossip-message.h"
#include "coordination/member-table.h"

/* Group membership and failure detection: finds out which balancers exist and
 * which of them answer. It uses heartbeats to a bounded number of neighbors,
 * indirect probes, suspicion with incarnation numbers, and updates piggybacked
 * on the heartbeats (SWIM: Das, Gupta and Motivala, "SWIM: Scalable
 * Weakly-consistent Infection-style Process Group Membership Protocol", 2002).
 * A balancer keeps all members of its own failure domain, and a bounded sample
 * of each other domain. No safety property depends on the membership: when it
 * is wrong, work is only delayed. Times are monotonic, in microseconds. */

struct membership;

struct membership_callbacks {
    gossip_send_cb send;
    /* A member was added or changed state. "m" is valid during the call. */
    void (*changed)(void *ctx, const struct member *m);
    /* This process was suspended for about "gap_us" microseconds. */
    void (*paused)(void *ctx, uint64_t gap_us);
    /* A peer did not answer a heartbeat in time. Its connection may be broken
     * without an error, so the callee may open a new one. */
    void (*reconnect)(void *ctx, uint32_t addr, uint16_t port);
    /* Fills in the configuration summary of a message before it is sent. NULL:
     * messages carry none. */
    void (*summary)(void *ctx, struct gossip_message *m);
    void *ctx;
};

/* Copies "self" and "cb"; "random" must outlive the result. The incarnation in
 * "self" must be higher than that of any earlier process of this host; the
 * wall clock at the start is. Returns NULL when out of memory; release the
 * result with membership_destroy(). */
struct membership *membership_new(const struct member_info *self,
                                  const struct membership_callbacks *cb,
                                  struct random *random, uint64_t now);
void membership_destroy(struct membership *ms);

/* Adds the address of a balancer to join through, from the settings or the
 * platform's host list. This balancer's address and known seeds are ignored;
 * when the list is full, an earlier seed is replaced. */
void membership_add_seed(struct membership *ms, uint32_t addr, uint16_t port);
/* True until a peer has sent its members, and while the balancer is isolated
 * (membership_isolated()). */
bool membership_needs_seeds(const struct membership *ms, uint64_t now);

/* Handles a received message: all of a PING, ACK, PROBE, JOIN or MEMBERS
 * message, but only the sender and the members of a message of another kind.
 * Returns the sender's entry, owned by the table, or NULL when the sender is
 * not kept in the table. */
struct member *membership_receive(struct membership *ms,
                                  const struct gossip_message *m,
                                  uint64_t now);

/* Interval at which the caller runs membership_tick(). */
#define MEMBERSHIP_TICK_US 100000ULL
/* Sends the heartbeats, probes and exchanges that are due, and updates the
 * states of members that did not answer. */
void membership_tick(struct membership *ms, uint64_t now);

/* Notifies the neighbors of the planned stop of this balancer. */
void membership_leave(struct membership *ms, uint64_t now);

/* Marks a dead member as left, because the operator declared its host removed.
 * A member that is not dead keeps its state. */
void membership_declare_removed(struct membership *ms, const char *id,
                                uint64_t now);

/* Adds a member of this balancer's failure domain that no peer has reported
 * yet but that must be waited for. It starts as dead, without an address. No
 * effect when the member is already known. */
void membership_expect(struct membership *ms, const char *id, uint64_t now);

/* True once a peer has sent its members, or 2 s after the start. */
bool membership_settled(const struct membership *ms, uint64_t now);
/* True when members or seeds are known but no message from a member in the
 * table has arrived for 5 s. */
bool membership_isolated(const struct membership *ms, uint64_t now);

const struct member_info *membership_self(const struct membership *ms);
const struct member_table *membership_table(const struct membership *ms);

/* Rank of this balancer among the live members of its failure domain in the
 * order of their rendezvous hashes with "salt"; 0 is first. */
size_t membership_rank(const struct membership *ms, uint64_t salt);
/* Returns the live member of this balancer's failure domain that ranks first
 * by rendezvous hash with "salt", owned by the table, or NULL when that is
 * this balancer itself. */
const struct member *membership_first_ranked(const struct membership *ms,
                                             uint64_t salt);

/* Picks up to "max" distinct live members at random, from this balancer's
 * failure domain ("local") or from all the others. Returns how many were
 * stored in "out"; they stay owned by the table. */
size_t membership_sample(struct membership *ms, bool local,
                         const struct member **out, size_t max);
