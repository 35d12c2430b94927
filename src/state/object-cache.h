#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/list.h"

/* Cache for response bodies that callers read in blocks (CoAP Block2, RFC
 * 7959). An object is one body, of which the chunks that were read from its
 * target are stored. All chunks of an object belong to the same version of the
 * body. The cache is bounded in bytes and in the time since the last use of an
 * object. */

#define OBJECT_ETAG_SIZE 8 /* bytes */

struct object_chunk {
    struct list link;
    uint64_t first; /* offset within the body, bytes */
    size_t size;    /* bytes of "data" */
    uint8_t data[];
};

struct object {
    struct list lru; /* link in cache->lru */
    char *key;       /* owned by the object */
    uint8_t etag[OBJECT_ETAG_SIZE];
    uint64_t total;     /* bytes of the complete body */
    int content_format; /* CoAP Content-Format, -1: none */
    uint32_t target;    /* hash of the target that it was read from */
    uint64_t used_us;   /* monotonic time of the last use */
    size_t bytes;       /* size of all chunks */
    struct list chunks; /* struct object_chunk, in order of arrival */
};

struct object_cache {
    GHashTable *by_key; /* key -> struct object */
    struct list lru;    /* struct object, least recently used first */
    size_t bytes;       /* size of all chunks of all objects */
    size_t bytes_max;   /* upper bound of "bytes", exceeded only by a single
                         * chunk that is larger */
};

/* The caller frees the contents with object_cache_clear(). Returns false when
 * out of memory. */
bool object_cache_init(struct object_cache *cache, size_t bytes_max);
/* Frees all objects and the index. The cache has to be initialized again
 * before its next use. */
void object_cache_clear(struct object_cache *cache);

/* Returns the object and marks it as used at "now" (monotonic, us), or NULL
 * when it is not in the cache. */
struct object *object_cache_find(struct object_cache *cache, const char *key,
                                 uint64_t now);

/* Adds a copy of "data" as a chunk of the object "key", at offset "first" of
 * its body. "version" provides the etag, total, content_format and target of
 * the body; chunks with another etag or total are dropped. The returned chunk
 * is valid until the next call that changes the cache. Returns NULL when out
 * of memory. */
struct object_chunk *object_cache_put(struct object_cache *cache,
                                      const char *key,
                                      const struct object *version,
                                      uint64_t first, const uint8_t *data,
                                      size_t size, uint64_t now);

/* Returns the chunk that contains the byte at "offset", or NULL. */
struct object_chunk *object_chunk_at(const struct object *object,
                                     uint64_t offset);

/* Drops the objects that have not been used for 10 s. */
void object_cache_expire(struct object_cache *cache, uint64_t now);
