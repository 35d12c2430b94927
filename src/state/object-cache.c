#include "state/object-cache.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

/* Time since the last use after which an object is dropped. */
#define OBJECT_IDLE_TIMEOUT_US (10 * USEC_PER_SEC)

bool
object_cache_init(struct object_cache *cache, size_t bytes_max)
{
    memset(cache, 0, sizeof(*cache));
    list_init(&cache->lru);
    cache->bytes_max = bytes_max;
    cache->by_key = g_hash_table_new(g_str_hash, g_str_equal);
    return cache->by_key != NULL;
}

static void
drop_chunk(struct object_cache *cache, struct object *object,
           struct object_chunk *chunk)
{
    object->bytes -= chunk->size;
    cache->bytes -= chunk->size;
    list_remove(&chunk->link);
    free(chunk);
}

static void
drop_chunk_at(struct object_cache *cache, struct object *object,
              uint64_t first)
{
    list_for_each_safe (it, &object->chunks) {
        struct object_chunk *chunk =
            container_of(it, struct object_chunk, link);

        if (chunk->first == first) {
            drop_chunk(cache, object, chunk);
            return;
        }
    }
}

static void
drop_chunks(struct object_cache *cache, struct object *object)
{
    list_for_each_safe (it, &object->chunks) {
        drop_chunk(cache, object, container_of(it, struct object_chunk, link));
    }
}

static void
drop_object(struct object_cache *cache, struct object *object)
{
    drop_chunks(cache, object);
    g_hash_table_remove(cache->by_key, object->key);
    list_remove(&object->lru);
    free(object->key);
    free(object);
}

void
object_cache_clear(struct object_cache *cache)
{
    list_for_each_safe (it, &cache->lru) {
        drop_object(cache, container_of(it, struct object, lru));
    }
    g_hash_table_destroy(cache->by_key);
}

static void
mark_used(struct object_cache *cache, struct object *object, uint64_t now)
{
    object->used_us = now;
    list_remove(&object->lru);
    list_push_back(&cache->lru, &object->lru);
}

struct object *
object_cache_find(struct object_cache *cache, const char *key, uint64_t now)
{
    struct object *object = g_hash_table_lookup(cache->by_key, key);

    if (object != NULL) {
        mark_used(cache, object, now);
    }
    return object;
}

static struct object *
object_new(struct object_cache *cache, const char *key)
{
    struct object *object = calloc(1, sizeof(*object));

    if (object == NULL) {
        return NULL;
    }
    object->key = strdup(key);
    if (object->key == NULL) {
        free(object);
        return NULL;
    }
    list_init(&object->lru);
    list_init(&object->chunks);
    g_hash_table_insert(cache->by_key, object->key, object);
    return object;
}

/* Copies the metadata of the body; drops all chunks if they are of another
 * version. */
static void
set_version(struct object_cache *cache, struct object *object,
            const struct object *version)
{
    if (memcmp(object->etag, version->etag, sizeof(object->etag)) != 0 ||
        object->total != version->total) {
        drop_chunks(cache, object);
    }
    memcpy(object->etag, version->etag, sizeof(object->etag));
    object->total = version->total;
    object->content_format = version->content_format;
    object->target = version->target;
}

/* Drops the least recently used objects, except "keep", until "size" more
 * bytes fit. */
static void
evict_objects(struct object_cache *cache, size_t size,
              const struct object *keep)
{
    list_for_each_safe (it, &cache->lru) {
        struct object *object = container_of(it, struct object, lru);

        if (cache->bytes + size <= cache->bytes_max) {
            return;
        }
        if (object != keep) {
            drop_object(cache, object);
        }
    }
}

/* Drops the oldest chunks of the object until "size" more bytes fit. A caller
 * reads a body from its start to its end, so it has already read those. */
static void
evict_chunks(struct object_cache *cache, struct object *object, size_t size)
{
    /* False positive: the analyzer does not recognize that list_remove() has
     * unlinked the freed chunk.
     * NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
    list_for_each_safe (it, &object->chunks) {
        if (cache->bytes + size <= cache->bytes_max) {
            return;
        }
        drop_chunk(cache, object, container_of(it, struct object_chunk, link));
    }
}

struct object_chunk *
object_cache_put(struct object_cache *cache, const char *key,
                 const struct object *version, uint64_t first,
                 const uint8_t *data, size_t size, uint64_t now)
{
    struct object *object = g_hash_table_lookup(cache->by_key, key);
    struct object_chunk *chunk;

    if (object == NULL) {
        object = object_new(cache, key);
    }
    if (object == NULL) {
        return NULL;
    }
    mark_used(cache, object, now);
    set_version(cache, object, version);
    drop_chunk_at(cache, object, first);
    evict_objects(cache, size, object);
    evict_chunks(cache, object, size);
    chunk = malloc(sizeof(*chunk) + size);
    if (chunk == NULL) {
        return NULL;
    }
    chunk->first = first;
    chunk->size = size;
    memcpy(chunk->data, data, size);
    list_push_back(&object->chunks, &chunk->link);
    object->bytes += size;
    cache->bytes += size;
    return chunk;
}

struct object_chunk *
object_chunk_at(const struct object *object, uint64_t offset)
{
    list_for_each (it, &object->chunks) {
        struct object_chunk *chunk =
            container_of(it, struct object_chunk, link);

        if (offset >= chunk->first && offset < chunk->first + chunk->size) {
            return chunk;
        }
    }
    return NULL;
}

void
object_cache_expire(struct object_cache *cache, uint64_t now)
{
    list_for_each_safe (it, &cache->lru) {
        struct object *object = container_of(it, struct object, lru);

        if (now - object->used_us < OBJECT_IDLE_TIMEOUT_US) {
            return;
        }
        drop_object(cache, object);
    }
}
