#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/resource-name.h"
#include "state/resource.h"

/* The configuration that this balancer knows: every resource by its name,
 * tombstones included. Records are packed, about a hundred bytes each; the
 * ids of recent writes are not kept. */

#define CONFIG_BUCKET_BITS 6
#define CONFIG_BUCKETS (1 << CONFIG_BUCKET_BITS)

/* Revision of a resource read from a store that had gone back to an older
 * state: it cannot be compared with revisions from before. */
#define CONFIG_REVISION_UNKNOWN UINT64_MAX

enum config_result {
    CONFIG_APPLIED,
    CONFIG_SAME,    /* this version is held already */
    CONFIG_OLDER,   /* a higher version is held; refused */
    CONFIG_DIFFERS, /* this version is held with other contents; refused */
    CONFIG_NO_MEMORY,
};

/* Summary of a store, for cheap comparison between two peers. Each bucket is
 * the exclusive or of the hashes of its (name, version) pairs. */
struct config_digest {
    uint64_t buckets[CONFIG_BUCKETS];
};

struct config_store;

/* Called for each resource; "r" is valid during the call only. Returning
 * false ends the walk. "revision" is the store's at the write. */
typedef bool (*config_store_cb)(void *ctx, const struct resource *r,
                                uint64_t revision);

/* Returns NULL when memory is short. */
struct config_store *config_store_new(void);
void config_store_destroy(struct config_store *cs);

/* Takes a copy of "r" when its version is higher than the one held.
 * "revision" is the store's mod_revision of that write; it also replaces an
 * unknown one of the version held. */
enum config_result config_store_apply(struct config_store *cs,
                                      const struct resource *r,
                                      uint64_t revision);

/* Looks a resource up by name. Returns false when it was never seen; a
 * tombstone is found. "revision" may be NULL. */
bool config_store_get(const struct config_store *cs, const char *name,
                      struct resource *out, uint64_t *revision);

bool config_store_get_by_hash(const struct config_store *cs,
                              uint64_t name_hash, struct resource *out,
                              uint64_t *revision);

/* Version held under the hash of a name, 0 when none. */
uint64_t config_store_version(const struct config_store *cs,
                              uint64_t name_hash);

void config_store_each(const struct config_store *cs, config_store_cb cb,
                       void *ctx);
void config_store_each_of_kind(const struct config_store *cs,
                               enum resource_kind kind, config_store_cb cb,
                               void *ctx);
/* Walks the versions of all names whose hash modulo 1 << bits is "prefix". */
typedef void (*config_version_cb)(void *ctx, uint64_t name_hash,
                                  uint64_t version);
void config_store_each_version(const struct config_store *cs, unsigned bits,
                               uint32_t prefix, config_version_cb cb,
                               void *ctx);

const struct config_digest *config_store_digest(const struct config_store *cs);
/* Digest of the parts of one bucket: part i has the names whose hash modulo
 * CONFIG_BUCKETS * CONFIG_BUCKETS is i * CONFIG_BUCKETS + bucket. */
void config_store_leaf_digest(const struct config_store *cs, uint32_t bucket,
                              struct config_digest *out);
/* One number for the whole store, 0 when it is empty. */
uint64_t config_store_checksum(const struct config_store *cs);

size_t config_store_count(const struct config_store *cs);
/* Highest known revision among the resources held, 0 for none. */
uint64_t config_store_revision(const struct config_store *cs);
/* Updates refused because a higher version is held. */
uint64_t config_store_older_count(const struct config_store *cs);
/* Bytes of memory in use. */
size_t config_store_bytes(const struct config_store *cs);

/* Whether a host is declared draining. */
bool config_store_host_is_draining(const struct config_store *cs,
                                   const char *id);
