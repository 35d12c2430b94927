#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/list.h"

/* Resources that operators declare. Each lives under its own key in the
 * platform's store. */

#define ID_SIZE 64             /* bytes of an id with the final NUL */
#define WRITE_ID_SIZE 33       /* 16 random bytes in hex, and the NUL */
#define SERVICE_DOMAINS_MAX 16 /* failure domains a service may span */
#define KEY_RING_KEYS_MAX 4
#define KEY_SECRET_SIZE 32 /* bytes */
#define RECENT_WRITES_MAX 8

enum resource_kind {
    RESOURCE_SERVICE,
    RESOURCE_TARGET,
    RESOURCE_HOST,
    RESOURCE_KEY_RING,
    RESOURCE_KIND_COUNT,
};

/* Declared state of a target or a host. */
enum admin_state {
    ADMIN_ACTIVE,
    ADMIN_DRAINING,
};

enum traffic_class {
    CLASS_COMMAND,     /* may not be repeated */
    CLASS_INTERACTIVE, /* short answers */
    CLASS_DOWNLOAD,    /* block-wise bodies */
    CLASS_STREAM,      /* observe */
    CLASS_COUNT,
};

struct service {
    char tenant[ID_SIZE];
    uint16_t port; /* on every entry host of its domains */
    size_t domain_count;
    char domains[SERVICE_DOMAINS_MAX][ID_SIZE];
    uint32_t deadline_ms; /* default for requests that name none */
    uint32_t body_limit;  /* bytes of a request body */
    bool tenant_in_path;  /* first path segment names the tenant */
};

struct target {
    char service[ID_SIZE];
    char domain[ID_SIZE];
    uint32_t addr; /* IPv4, host byte order */
    uint16_t port;
    uint32_t slots;       /* requests that it runs at once */
    uint32_t connections; /* connections that it accepts in all */
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
    size_t count; /* the first key seals, all are accepted */
    struct key_ring_key keys[KEY_RING_KEYS_MAX];
};

/* One resource with its version. Owned by the store or list it is linked
 * into. */
struct resource {
    struct list link;
    enum resource_kind kind;
    char id[ID_SIZE];
    /* A tombstone. It keeps its fields: the address of a deleted target must
     * be known until no balancer can still use it. */
    bool deleted;
    uint64_t version; /* rises by one with each accepted write, from 1 */
    size_t write_count;
    char writes[RECENT_WRITES_MAX][WRITE_ID_SIZE]; /* newest first */
    union {
        struct service service;
        struct target target;
        struct host host;
        struct key_ring key_ring;
    };
};

const char *resource_kind_name(enum resource_kind kind);
bool resource_kind_from_name(const char *name, enum resource_kind *kind);
const char *admin_state_name(enum admin_state state);
const char *traffic_class_name(enum traffic_class class);

/* Stable hash of an id (xxHash), used in tokens and for rendezvous ranks. */
uint64_t id_hash(const char *id);
