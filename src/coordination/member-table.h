#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/list.h"
#include "coordination/gossip-message.h"

/* The members that this balancer knows, itself left out. */

#define MEMBER_TABLE_CHAINS 256
/* Refutations raise an incarnation by one; a new process starts with the wall
 * clock in microseconds, which is further off. */
#define MEMBER_REFUTATIONS_MAX 10000

struct member {
    struct list link;  /* all members */
    struct list chain; /* hash chain */
    struct member_info info;
    uint64_t hash;     /* id_hash(id) */
    uint64_t since;    /* state entered, us */
    uint64_t heard;    /* last message from it, us; 0: never */
    uint64_t revision; /* configuration that it claims to hold */
    uint64_t checksum; /* of that configuration */
    bool reported;     /* "applied" was reported to us */
    bool unforwarded;  /* and we have not yet passed it on */
    uint64_t applied;  /* revision that it has in force */
    uint64_t behind;   /* since when it lacks something, us; 0: it does not */
    bool local;        /* of the own failure domain */
    bool neighbor;     /* gets heartbeats from us */
    bool pruned;       /* has our news from others: gets announcements only */
    unsigned rumors;   /* times still to be passed on */
    uint64_t next_ping;
    uint64_t ping_nonce; /* outstanding heartbeat; 0: none */
    uint64_t ping_sent;
    bool probed; /* others were asked to ping it */
};

struct member_table {
    struct list all;
    struct list chains[MEMBER_TABLE_CHAINS];
    size_t count;
};

void member_table_init(struct member_table *table);
void member_table_clear(struct member_table *table);
struct member *member_table_find(const struct member_table *table,
                                 const char *id);
/* Returns NULL when memory is short. */
struct member *member_table_add(struct member_table *table,
                                const struct member_info *info, bool local);
void member_table_remove(struct member_table *table, struct member *m);
size_t member_table_count(const struct member_table *table,
                          enum member_state state, bool local);
size_t member_table_bytes(const struct member_table *table);
