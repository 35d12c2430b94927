#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/random.h"
#include "coordination/gossip-message.h"
#include "coordination/member-table.h"

/* Which balancers there are and which of them answer: heartbeats to a bounded
 * number of neighbours, indirect probes, suspicion and incarnation numbers,
 * updates carried by the heartbeats (SWIM: Das, Gupta and Motivala, "SWIM:
 * Scalable Weakly-consistent Infection-style Process Group Membership
 * Protocol", 2002). The own failure domain is known whole, the others by a
 * bounded sample. No safety rests on it: a wrong view costs time. */

struct membership;

struct membership_callbacks {
    gossip_send_cb send;
    /* A member appeared or changed state. */
    void (*changed)(void *ctx, const struct member *m);
    /* The own process stood still for "gap_us". */
    void (*paused)(void *ctx, uint64_t gap_us);
    /* A peer does not answer: its connection may have gone silent. */
    void (*reconnect)(void *ctx, uint32_t addr, uint16_t port);
    /* Fills the configuration summary of a message about to be sent. */
    void (*summary)(void *ctx, struct gossip_message *m);
    void *ctx;
};

/* "self" is copied; its incarnation must be higher than that of an earlier
 * process of this host, such as the wall clock at start. Returns NULL when
 * memory is short. */
struct membership *membership_new(const struct member_info *self,
                                  const struct membership_callbacks *cb,
                                  struct random *random, uint64_t now);
void membership_destroy(struct membership *ms);

/* An address to join at, from the settings or the platform's host list. */
void membership_add_seed(struct membership *ms, uint32_t addr, uint16_t port);
/* True while no peer has answered, or none does any more. */
bool membership_needs_seeds(const struct membership *ms, uint64_t now);

/* Handles PING, ACK, PROBE, JOIN, MEMBERS, and the sender and members of every
 * other kind. Returns the sender's entry, or NULL when there is no room. */
struct member *membership_receive(struct membership *ms,
                                  const struct gossip_message *m,
                                  uint64_t now);

/* To be called every MEMBERSHIP_TICK_US or so. */
#define MEMBERSHIP_TICK_US 100000ULL
void membership_tick(struct membership *ms, uint64_t now);

/* Tells the neighbours that this balancer stops on purpose. */
void membership_leave(struct membership *ms, uint64_t now);

/* Takes a member that will not come back as left: the operator declared its
 * host removed. */
void membership_declare_removed(struct membership *ms, const char *id,
                                uint64_t now);

/* Adds a member known from elsewhere that is waited for until it is heard
 * of; it starts as dead. */
void membership_expect(struct membership *ms, const char *id, uint64_t now);

/* True once a peer has sent its members, or enough time has gone by. */
bool membership_settled(const struct membership *ms, uint64_t now);
/* True when no peer was heard for some time though some are known. */
bool membership_isolated(const struct membership *ms, uint64_t now);

const struct member_info *membership_self(const struct membership *ms);
const struct member_table *membership_table(const struct membership *ms);

/* Rank of the own balancer among the live ones of its failure domain, by
 * rendezvous hash with "salt"; 0 is first. */
size_t membership_rank(const struct membership *ms, uint64_t salt);
/* The live member of the own failure domain that ranks first, self included;
 * NULL means self. */
const struct member *membership_first(const struct membership *ms,
                                      uint64_t salt);

/* Draws up to "max" distinct live members, of the own failure domain or of
 * the others. Returns their number. */
size_t membership_draw(struct membership *ms, bool local,
                       const struct member **out, size_t max);
