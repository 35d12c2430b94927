#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/list.h"
#include "coordination/gossip-message.h"

/* The members that this balancer knows, without the balancer itself. */

#define MEMBER_TABLE_CHAINS 256 /* hash chains of the table */
/* Maximum increase of an incarnation within one process. A refutation raises
 * it by one; a new process starts with the wall clock in microseconds, so a
 * larger increase means that the host has started a new process. */
#define MEMBER_REFUTATIONS_MAX 10000

struct member {
    struct list link;  /* all members */
    struct list chain; /* hash chain */
    struct member_info info;
    uint64_t hash; /* id_hash(id) */
    /* Start of the current state, us; for a suspect not before the end of the
     * last pause of this process */
    uint64_t state_since;
    uint64_t last_message_at; /* time of its last message, us; 0: none */
    /* Store revision up to which its configuration is complete, according to
     * its last message; 0: it does not know */
    uint64_t revision;
    uint64_t checksum; /* checksum of that configuration */
    bool reported;     /* "applied" was received in a report */
    /* Its last report was not yet forwarded to the reporter. */
    bool unforwarded;
    uint64_t applied; /* revision that it has applied, if "reported" */
    /* Time at which it fell behind the newest known revision, wall clock, us;
     * 0: it has applied that revision */
    uint64_t behind_since;
    bool local;    /* in the failure domain of this balancer */
    bool neighbor; /* this balancer sends heartbeats to it */
    /* It gets view deltas sooner from other peers: this balancer sends it only
     * announcements. */
    bool pruned;
    bool newcomer;   /* it may have missed deltas that were sent before */
    unsigned rumors; /* number of messages that still have to carry "info" */
    uint64_t next_ping;  /* earliest next heartbeat, us */
    uint64_t ping_nonce; /* nonce of the unanswered heartbeat; 0: none */
    uint64_t ping_sent;  /* time at which that heartbeat was sent, us */
    bool probed;         /* other members were asked to ping it too */
};

struct member_table {
    struct list all; /* in the order in which rumors are sent */
    struct list chains[MEMBER_TABLE_CHAINS];
    size_t count;
};

void member_table_init(struct member_table *table);
/* Removes and frees all members. */
void member_table_clear(struct member_table *table);
/* Returns NULL when the member is not known. The table owns the result. */
struct member *member_table_find(const struct member_table *table,
                                 const char *id);
/* Adds a copy of "info"; the caller makes sure that the id is not present yet.
 * The table owns the result. Returns NULL when out of memory. */
struct member *member_table_add(struct member_table *table,
                                const struct member_info *info, bool local);
/* Removes and frees a member. */
void member_table_remove(struct member_table *table, struct member *m);
/* Counts the members in "state" that are in the failure domain of this
 * balancer ("local") or in all the others. */
size_t member_table_count(const struct member_table *table,
                          enum member_state state, bool local);
/* Memory in use, in bytes. */
size_t member_table_bytes(const struct member_table *table);
