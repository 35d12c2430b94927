#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/resource-name.h"
#include "state/resource.h"

/* In-memory copy of the configuration on this balancer: every resource,
 * including tombstones, indexed by the hash of its name. Resources are stored
 * packed, in about a hundred bytes each; the ids of their recent writes are
 * not stored. */

/* Number of buckets of a digest, and its binary logarithm. */
#define CONFIG_BUCKET_BITS 6
#define CONFIG_BUCKETS (1 << CONFIG_BUCKET_BITS)

/* Revision of a resource that was read from the platform's store after that
 * had been reset to an older state (restored from a backup, for example): such
 * a revision can't be compared with revisions from before the reset. */
#define CONFIG_REVISION_UNKNOWN UINT64_MAX

enum config_result {
    CONFIG_APPLIED,
    CONFIG_SAME,    /* the same version is already stored */
    CONFIG_OLDER,   /* a higher version is stored; update refused */
    CONFIG_DIFFERS, /* the same version is stored with other contents; update
                     * refused */
    CONFIG_NO_MEMORY,
};

/* Summary of a store, by which two peers find out where their stores differ
 * without sending all versions. Each bucket is the exclusive or of the hashes
 * of the (name, version) pairs in it. */
struct config_digest {
    uint64_t buckets[CONFIG_BUCKETS];
};

struct config_store;

/* Called for each resource. "r" is valid only during the call. "revision" is
 * the revision of the platform's store at which the resource was written, or
 * CONFIG_REVISION_UNKNOWN. Returning false stops the iteration. */
typedef bool (*config_store_cb)(void *ctx, const struct resource *r,
                                uint64_t revision);

/* Returns NULL when out of memory. */
struct config_store *config_store_new(void);
void config_store_destroy(struct config_store *cs);

/* Stores a copy of "r" if its version is higher than the stored version.
 * "revision" is the mod_revision of that write in the platform's store. If the
 * same version is stored with CONFIG_REVISION_UNKNOWN, "revision" replaces
 * that. */
enum config_result config_store_apply(struct config_store *cs,
                                      const struct resource *r,
                                      uint64_t revision);

/* Copies the resource "name" to "out". Returns false when it was never stored;
 * for a deleted resource it returns true and the tombstone. "revision" may be
 * NULL. */
bool config_store_get(const struct config_store *cs, const char *name,
                      struct resource *out, uint64_t *revision);

/* As config_store_get(), by the hash of the name. */
bool config_store_get_by_hash(const struct config_store *cs,
                              uint64_t name_hash, struct resource *out,
                              uint64_t *revision);

/* Returns the stored version of the resource whose name has the given hash, 0
 * when there is none. */
uint64_t config_store_version(const struct config_store *cs,
                              uint64_t name_hash);

void config_store_each(const struct config_store *cs, config_store_cb cb,
                       void *ctx);
void config_store_each_of_kind(const struct config_store *cs,
                               enum resource_kind kind, config_store_cb cb,
                               void *ctx);

/* Called with the name hash and the version of a resource. */
typedef void (*config_version_cb)(void *ctx, uint64_t name_hash,
                                  uint64_t version);
/* Calls "cb" for every resource, including tombstones, whose name hash modulo
 * 1 << bits is "prefix". */
void config_store_each_version(const struct config_store *cs, unsigned bits,
                               uint32_t prefix, config_version_cb cb,
                               void *ctx);

const struct config_digest *config_store_digest(const struct config_store *cs);
/* Computes the digest of a single bucket, which is divided into
 * CONFIG_BUCKETS buckets in turn: bucket i of "out" covers the names whose
 * hash modulo CONFIG_BUCKETS * CONFIG_BUCKETS is
 * i * CONFIG_BUCKETS + bucket. */
void config_store_leaf_digest(const struct config_store *cs, uint32_t bucket,
                              struct config_digest *out);
/* Returns a hash of the digest, 0 when the store is empty. Two stores with the
 * same names and versions have the same checksum. */
uint64_t config_store_checksum(const struct config_store *cs);

/* Number of resources, including tombstones. */
size_t config_store_count(const struct config_store *cs);
/* Highest known revision of all resources stored so far, 0 when none is
 * known. */
uint64_t config_store_revision(const struct config_store *cs);
/* Number of updates refused with CONFIG_OLDER. */
uint64_t config_store_older_count(const struct config_store *cs);
/* Memory used by the store, bytes. */
size_t config_store_bytes(const struct config_store *cs);

/* Whether the operator has set the host "id" to draining. */
bool config_store_host_is_draining(const struct config_store *cs,
                                   const char *id);
