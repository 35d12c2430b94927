#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/list.h"

/* Resources of the configuration, written by operators. Each has a key of its
 * own in the platform's store. */

#define ID_SIZE 64             /* bytes of an id with the final NUL */
#define WRITE_ID_SIZE 33       /* 16 random bytes in hex, and the NUL */
#define SERVICE_DOMAINS_MAX 16 /* failure domains of a service */
#define KEY_RING_KEYS_MAX 4
#define KEY_SECRET_SIZE 32 /* bytes */
/* Number of recent writes whose ids are stored with a resource. */
#define RECENT_WRITES_MAX 8

enum resource_kind {
    RESOURCE_SERVICE,
    RESOURCE_TARGET,
    RESOURCE_HOST,
    RESOURCE_KEY_RING,
    RESOURCE_KIND_COUNT,
};

/* State of a target or a host as set by the operator. */
enum admin_state {
    ADMIN_ACTIVE,
    ADMIN_DRAINING,
};

enum traffic_class {
    CLASS_COMMAND,     /* requests that must not be run twice */
    CLASS_INTERACTIVE, /* requests with short answers */
    CLASS_DOWNLOAD,    /* bodies read in blocks (RFC 7959) */
    CLASS_STREAM,      /* notifications (CoAP Observe, RFC 7641) */
    CLASS_COUNT,
};

struct service {
    char tenant[ID_SIZE];
    uint16_t port; /* port for callers on the balancers of the domains */
    size_t domain_count;
    char domains[SERVICE_DOMAINS_MAX][ID_SIZE];
    uint32_t deadline_ms; /* default for requests without a deadline */
    uint32_t body_limit;  /* maximum size of a request body, bytes */
    bool tenant_in_path;  /* the first path segment is the tenant */
};

struct target {
    char service[ID_SIZE];
    char domain[ID_SIZE];
    uint32_t addr; /* IPv4, host byte order */
    uint16_t port;
    uint32_t slots;       /* requests that it runs at the same time */
    uint32_t connections; /* maximum connections that it accepts */
    enum admin_state state;
};

struct host {
    char domain[ID_SIZE];
    uint32_t addr; /* IPv4, host byte order */
    enum admin_state state;
};

struct key_ring_key {
    uint8_t id;
    uint8_t secret[KEY_SECRET_SIZE];
};

struct key_ring {
    /* New tokens are authenticated with the first key; tokens with any of the
     * keys are accepted. */
    size_t count;
    struct key_ring_key keys[KEY_RING_KEYS_MAX];
};

/* A version of a resource. It is owned by the store or list that it is linked
 * into. */
struct resource {
    struct list link;
    enum resource_kind kind;
    char id[ID_SIZE];
    /* True for a tombstone. A tombstone keeps the fields of the resource: the
     * address of a deleted target must be known until no balancer can use it
     * any more. */
    bool deleted;
    uint64_t version; /* starts at 1 and rises by 1 with each accepted write */
    size_t write_count; /* number of ids in "writes" */
    /* Ids of the most recent writes, newest first. */
    char writes[RECENT_WRITES_MAX][WRITE_ID_SIZE];
    union {
        struct service service;
        struct target target;
        struct host host;
        struct key_ring key_ring;
    };
};

const char *resource_kind_name(enum resource_kind kind);
/* Sets "kind" from its name. Returns false for an unknown name. */
bool resource_kind_from_name(const char *name, enum resource_kind *kind);
const char *admin_state_name(enum admin_state state);
const char *traffic_class_name(enum traffic_class class);

/* Hash of an id or name (XXH64 with seed 0). Tokens and rendezvous hashing use
 * it, so all balancers must compute the same value. */
uint64_t id_hash(const char *id);
