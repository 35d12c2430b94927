#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/config-store.h"
#include "state/domain-min-revisions.h"
#include "state/resource.h"

/* Decoded gossip messages between balancers; protocol/gossip-codec.h encodes
 * and decodes them. Every message is one-way: an answer is a separate message
 * to the sender's address. */

/* Maximum members in one message */
#define GOSSIP_MEMBERS_MAX 32
/* Maximum (name hash, version) pairs in one message */
#define GOSSIP_VERSIONS_MAX 256
/* Maximum complete resources in one message */
#define GOSSIP_RESOURCES_MAX 16

/* Ordered by precedence: of two states with the same incarnation, the one with
 * the higher value wins. */
enum member_state {
    MEMBER_ALIVE,
    MEMBER_SUSPECT, /* answered neither direct nor indirect pings */
    MEMBER_DEAD,    /* suspicion timed out; it may still be running */
    MEMBER_LEFT,    /* planned stop, or declared removed */
};

struct member_info {
    char id[ID_SIZE];
    char domain[ID_SIZE];
    uint32_t addr;        /* IPv4, host byte order */
    uint16_t port;        /* port of the gossip endpoint */
    uint64_t incarnation; /* only the member itself raises it */
    enum member_state state;
};

enum gossip_kind {
    GOSSIP_PING = 1, /* the answering ACK repeats "nonce" */
    GOSSIP_ACK,
    GOSSIP_PROBE,       /* asks the receiver to ping members[0] and to
                         * forward the ACK */
    GOSSIP_JOIN,        /* asks for all members that the receiver knows */
    GOSSIP_MEMBERS,     /* the members that the sender knows */
    GOSSIP_DELTA,       /* resources, or domain floors */
    GOSSIP_DIGEST,      /* the 64 buckets of the sender's configuration */
    GOSSIP_LEAF_DIGEST, /* the 64 parts of the bucket "prefix" */
    GOSSIP_VERSIONS,    /* versions of all names under "prefix" */
    GOSSIP_PULL,        /* asks for the resources listed in versions[] */
    GOSSIP_REPORT,      /* revisions applied by the sender and by others */
    GOSSIP_KIND_END,
};

struct gossip_version {
    uint64_t name_hash;
    uint64_t version;
};

struct gossip_resource {
    struct resource resource;
    uint64_t revision; /* store revision of the write */
};

struct gossip_message {
    enum gossip_kind kind;
    struct member_info sender;
    /* PING, PROBE: number that the ACK repeats; ACK: that number; others: 0 */
    uint64_t nonce;

    /* Summary of the sender's configuration, encoded in every message. */
    uint64_t revision;  /* store revision up to which its configuration is
                         * known to be complete; 0: not known */
    uint64_t checksum;  /* checksum of all resources that the sender stores */
    uint64_t floor_sum; /* domain_min_revisions_sum() of its domain floors */

    size_t member_count;
    struct member_info members[GOSSIP_MEMBERS_MAX];

    /* GOSSIP_DELTA, GOSSIP_DIGEST: for each failure domain the revision up to
     * which all its balancers have applied the configuration. */
    size_t floor_count;
    struct domain_min_revision floors[DOMAIN_MIN_REVISIONS_MAX];

    uint64_t applied; /* GOSSIP_REPORT: revision applied by the sender */

    /* GOSSIP_DIGEST, GOSSIP_LEAF_DIGEST */
    struct config_digest digest;

    /* GOSSIP_LEAF_DIGEST, GOSSIP_VERSIONS: the message covers the names whose
     * hash modulo (1 << prefix_bits) is "prefix". */
    uint32_t prefix;
    uint8_t prefix_bits;

    /* GOSSIP_VERSIONS, GOSSIP_PULL: hashes of resource names with versions.
     * GOSSIP_REPORT: relayed reports, each with the report key of a member as
     * "name_hash" and the revision that it applied as "version". */
    size_t version_count;
    struct gossip_version versions[GOSSIP_VERSIONS_MAX];

    /* GOSSIP_DELTA */
    size_t resource_count;
    struct gossip_resource resources[GOSSIP_RESOURCES_MAX];
};

/* Sends a message to a peer's gossip endpoint. The message may be lost,
 * duplicated or reordered. "m" stays owned by the caller; it is encoded during
 * the call. */
typedef void (*gossip_send_cb)(void *ctx, uint32_t addr, uint16_t port,
                               const struct gossip_message *m);
