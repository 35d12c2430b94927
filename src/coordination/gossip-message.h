#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/config-store.h"
#include "state/domain-floors.h"
#include "state/resource.h"

/* Messages between balancers, in decoded form; protocol/gossip-codec.h puts
 * them on the wire. All are one-way: an answer is a message of its own to the
 * sender's address. */

#define GOSSIP_MEMBERS_MAX 32   /* members carried by one message */
#define GOSSIP_VERSIONS_MAX 256 /* (name, version) pairs */
#define GOSSIP_RESOURCES_MAX 16 /* whole resources */

/* Ordered by strength: at one incarnation the higher state wins. */
enum member_state {
    MEMBER_ALIVE,
    MEMBER_SUSPECT, /* did not answer, also not through others */
    MEMBER_DEAD,    /* suspected for long; it may still be running */
    MEMBER_LEFT,    /* stopped on purpose, or declared removed */
};

struct member_info {
    char id[ID_SIZE];
    char domain[ID_SIZE];
    uint32_t addr; /* IPv4, host byte order */
    uint16_t port; /* of its gossip endpoint */
    uint64_t incarnation;
    enum member_state state;
};

enum gossip_kind {
    GOSSIP_PING = 1, /* "nonce" comes back in an ack */
    GOSSIP_ACK,
    GOSSIP_PROBE,       /* please ping members[0] and pass its ack on */
    GOSSIP_JOIN,        /* please send all members you know */
    GOSSIP_MEMBERS,     /* members only */
    GOSSIP_DELTA,       /* resources */
    GOSSIP_DIGEST,      /* the sender's 64 digest buckets */
    GOSSIP_LEAF_DIGEST, /* 64 parts of the one bucket "prefix" */
    GOSSIP_VERSIONS,    /* all versions under "prefix" */
    GOSSIP_PULL,        /* please send the resources of versions[] */
    GOSSIP_REPORT, /* revision that the sender, and others, have in force */
    GOSSIP_KIND_END,
};

struct gossip_version {
    uint64_t name_hash;
    uint64_t version;
};

struct gossip_resource {
    struct resource resource;
    uint64_t revision; /* the store's at that write */
};

struct gossip_message {
    enum gossip_kind kind;
    struct member_info sender;
    uint64_t nonce;

    /* The sender's configuration: the store's revision up to which it is
     * known to be complete, 0 when it is not; and the checksum of all it
     * holds. */
    uint64_t revision;
    uint64_t checksum;
    uint64_t floor_sum; /* of the domains' floors that it knows */

    size_t member_count;
    struct member_info members[GOSSIP_MEMBERS_MAX];

    size_t floor_count;
    struct domain_floor floors[DOMAIN_FLOORS_MAX];

    uint64_t applied; /* GOSSIP_REPORT: revision in force at the sender */

    /* GOSSIP_DIGEST, GOSSIP_LEAF_DIGEST */
    struct config_digest digest;

    /* Names whose hash, taken modulo 1 << prefix_bits, is "prefix". */
    uint32_t prefix;
    uint8_t prefix_bits;

    /* GOSSIP_REPORT: reports passed on, by report_key() and revision. */
    size_t version_count;
    struct gossip_version versions[GOSSIP_VERSIONS_MAX];

    size_t resource_count;
    struct gossip_resource resources[GOSSIP_RESOURCES_MAX];
};

/* Sends a message to a peer's gossip endpoint. It may be lost, doubled or
 * overtaken. "m" is the caller's and is encoded during the call. */
typedef void (*gossip_send_cb)(void *ctx, uint32_t addr, uint16_t port,
                               const struct gossip_message *m);
