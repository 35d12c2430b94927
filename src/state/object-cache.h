#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/list.h"

/* Chunks of bodies that callers read block by block. Bounded in bytes and in
 * time since the last use; the chunks of one object are of one version. */

#define OBJECT_ETAG_SIZE 8 /* bytes */

struct object_chunk {
    struct list link;
    uint64_t first; /* offset in the body, bytes */
    size_t size;
    uint8_t data[];
};

struct object {
    struct list lru;
    char *key;
    uint8_t etag[OBJECT_ETAG_SIZE];
    uint64_t total; /* bytes of the whole body */
    int content_format;
    uint32_t target; /* hash of the target that it was read from */
    uint64_t used_us;
    size_t bytes;
    struct list chunks;
};

struct object_cache {
    GHashTable *by_key;
    struct list lru; /* least recently used first */
    size_t bytes;
    size_t bytes_max;
};

bool object_cache_init(struct object_cache *cache, size_t bytes_max);
void object_cache_clear(struct object_cache *cache);

/* NULL when the object is not held. */
struct object *object_cache_find(struct object_cache *cache, const char *key,
                                 uint64_t now);

/* Adds a chunk; chunks of another version are dropped. The chunk stays valid
 * until the next call that changes the cache. Returns NULL when memory is
 * short. */
struct object_chunk *object_cache_put(struct object_cache *cache,
                                      const char *key,
                                      const struct object *version,
                                      uint64_t first, const uint8_t *data,
                                      size_t size, uint64_t now);

/* The chunk that holds "offset", or NULL. */
struct object_chunk *object_chunk_at(const struct object *object,
                                     uint64_t offset);

/* Drops objects that were not used for a while. */
void object_cache_expire(struct object_cache *cache, uint64_t now);
