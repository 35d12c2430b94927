#include "daemon/fetch.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "daemon/answer.h"
#include "daemon/inbound.h"
#include "daemon/work.h"
#include "protocol/http-map.h"
#include "state/object-cache.h"

/* Size of a chunk, the part of a body that one request reads from a target.
 * The last chunk of a body may be shorter. */
#define CHUNK_BYTES 65536
/* Maximum total size of the cached chunks. */
#define CACHE_BYTES_MAX (16 * 1048576)
/* Size in bytes of a cache key: the service id and the path with the query. */
#define KEY_SIZE (ID_SIZE + PACKET_PATH_MAX + PACKET_QUERY_MAX + 4)
#define HTTP_PARTIAL_CONTENT 206
#define HTTP_RANGE_NOT_SATISFIABLE 416

struct fetches {
    struct data_task *task;
    struct list running;   /* struct fetch, oldest first */
    GHashTable *by_caller; /* struct caller -> struct waiter */
    struct object_cache cache;
};

/* One read from a target, on behalf of one caller or of all callers that wait
 * for blocks of the same chunk. */
struct fetch {
    struct work work;
    struct list link;
    struct fetches *fetches;
    struct list waiters; /* struct waiter */
    uint64_t first;      /* offset of the chunk in the body, in bytes */
    bool blockwise;      /* for a block after the first */
    char key[KEY_SIZE];
    char service[ID_SIZE];
    char tenant[ID_SIZE];
    char path[PACKET_PATH_MAX + PACKET_QUERY_MAX + 2]; /* with the query */
};

/* A caller that waits for a fetch. */
struct waiter {
    struct list link;
    struct caller caller;
    struct packet_block block; /* to send to the caller */
    /* The request came without a flow token. The answer gets one when further
     * blocks follow. */
    bool needs_token;
    uint32_t service_hash;
};

/* A body, or a part of one, that was received from a target. */
struct body {
    uint8_t code;       /* CoAP */
    int content_format; /* -1: none */
    uint8_t etag[OBJECT_ETAG_SIZE];
    uint64_t first; /* offset of "data" in the whole body, in bytes */
    uint64_t total; /* size of the whole body, in bytes */
    const uint8_t *data;
    size_t size; /* of "data", in bytes */
};

/* A caller's message is identified by its endpoint and message id (RFC 7252
 * section 4.5). */
static guint
caller_hash(gconstpointer key)
{
    const struct caller *caller = key;

    return caller->addr.addr * 31 + (guint)caller->addr.port * 65537 +
           caller->message_id;
}

static gboolean
caller_equal(gconstpointer key_a, gconstpointer key_b)
{
    const struct caller *a = key_a;
    const struct caller *b = key_b;

    return a->message_id == b->message_id && a->addr.addr == b->addr.addr &&
           a->addr.port == b->addr.port;
}

struct fetches *
fetches_new(struct data_task *task)
{
    struct fetches *fetches = calloc(1, sizeof(*fetches));

    if (fetches == NULL) {
        return NULL;
    }
    fetches->task = task;
    list_init(&fetches->running);
    fetches->by_caller = g_hash_table_new(caller_hash, caller_equal);
    if (!object_cache_init(&fetches->cache, CACHE_BYTES_MAX)) {
        free(fetches);
        return NULL;
    }
    return fetches;
}

static void
fetch_free(struct fetch *fetch)
{
    list_for_each_safe (it, &fetch->waiters) {
        struct waiter *waiter = container_of(it, struct waiter, link);

        g_hash_table_remove(fetch->fetches->by_caller, &waiter->caller);
        list_remove(it);
        free(waiter);
    }
    list_remove(&fetch->link);
    free(fetch);
}

void
fetches_destroy(struct fetches *fetches)
{
    if (fetches == NULL) {
        return;
    }
    list_for_each_safe (it, &fetches->running) {
        struct fetch *fetch = container_of(it, struct fetch, link);

        dispatch_cancel(&fetches->task->dispatch, &fetch->work.job,
                        clock_monotonic_us());
        fetch_free(fetch);
    }
    g_hash_table_destroy(fetches->by_caller);
    object_cache_clear(&fetches->cache);
    free(fetches);
}

bool
fetches_idle(const struct fetches *fetches)
{
    return list_empty(&fetches->running);
}

static uint64_t
block_offset(const struct packet_block *block)
{
    return (uint64_t)block->num << (block->szx + 4);
}

/* Sends a waiter the block that it asked for. The body must contain the block
 * or end before it. */
static void
send_block(struct data_task *task, struct waiter *waiter,
           const struct body *body)
{
    struct packet answer = {.code = body->code};
    uint64_t offset = block_offset(&waiter->block);
    size_t block = (size_t)1 << (waiter->block.szx + 4);
    size_t available;

    if (offset > 0 && offset >= body->total) {
        answer_error(task, &waiter->caller, ERR_BAD_OPTION, OUTCOME_NONE,
                     RETRY_NO_ADVICE_MS);
        return;
    }
    available = body->size - (size_t)(offset - body->first);
    answer.payload = body->data + (offset - body->first);
    answer.payload_len = available < block ? available : block;
    if (body->content_format >= 0) {
        answer.fields |= FIELD_CONTENT_FORMAT;
        answer.content_format = (uint16_t)body->content_format;
    }
    if (body->total > block || waiter->block.num > 0) {
        answer.fields |= FIELD_BLOCK2 | FIELD_ETAG | FIELD_SIZE2;
        answer.block2 = waiter->block;
        answer.block2.more = offset + answer.payload_len < body->total;
        memcpy(answer.etag, body->etag, sizeof(body->etag));
        answer.etag_len = sizeof(body->etag);
        answer.size2 = (uint32_t)body->total;
        if (waiter->needs_token && answer.block2.more) {
            /* With the token, the requests for further blocks go to this
             * process, which has the chunk in its cache. */
            answer_add_token(task, &answer, waiter->service_hash,
                             clock_monotonic_us());
        }
    }
    answer_send(task, &waiter->caller, &answer);
}

static void
fail_waiters(struct fetch *fetch, enum error_kind kind,
             uint32_t retry_after_ms)
{
    list_for_each (it, &fetch->waiters) {
        struct waiter *waiter = container_of(it, struct waiter, link);

        answer_error(fetch->fetches->task, &waiter->caller, kind, OUTCOME_NONE,
                     retry_after_ms);
    }
}

static void
on_failed(struct work *work, enum error_kind kind, bool not_run,
          uint32_t retry_after_ms)
{
    struct fetch *fetch = container_of(work, struct fetch, work);

    fail_waiters(fetch, kind, retry_after_ms);
    fetch_free(fetch);
}

/* Fills "body" from the response of a target; the data stays owned by the
 * response. Returns false when the response is not the requested part of a
 * body, or is one of several parts but has no ETag. */
static bool
parse_response(const struct fetch *fetch,
               const struct target_response *response, struct body *body)
{
    struct content_range range;

    memset(body, 0, sizeof(*body));
    body->data = response->body;
    body->size = response->body_len;
    body->total = response->body_len;
    body->code = http_map_status(response->http_status, CODE_GET);
    body->content_format =
        response->content_type == NULL
            ? -1
            : http_map_content_format(response->content_type);
    http_map_etag(response->etag, response->body, response->body_len,
                  body->etag);
    if (response->http_status == HTTP_RANGE_NOT_SATISFIABLE) {
        /* An empty body cannot satisfy any range, not even one that begins
         * at its first byte. */
        body->code = fetch->first == 0 ? CODE_CONTENT : CODE_BAD_REQUEST;
        body->size = 0;
        body->total = 0;
        return true;
    }
    if (response->http_status != HTTP_PARTIAL_CONTENT) {
        return true;
    }
    if (response->content_range == NULL ||
        !http_map_parse_content_range(response->content_range, &range) ||
        range.first != fetch->first ||
        range.last - range.first + 1 != response->body_len) {
        return false;
    }
    if (response->etag == NULL && range.total != response->body_len) {
        /* Parts without an ETag may belong to different versions. */
        return false;
    }
    body->first = range.first;
    body->total = range.total;
    return true;
}

/* Caches a part of a body that is longer than the largest block. "target" is
 * the hash of the target that sent it. */
static void
cache_chunk(struct fetch *fetch, const struct body *body, uint32_t target)
{
    struct object version = {
        .total = body->total,
        .content_format = body->content_format,
        .target = target,
    };

    if (body->code != CODE_CONTENT ||
        body->total <= (1U << (PACKET_SZX_MAX + 4))) {
        return;
    }
    memcpy(version.etag, body->etag, sizeof(version.etag));
    object_cache_put(&fetch->fetches->cache, fetch->key, &version, body->first,
                     body->data, body->size, clock_monotonic_us());
}

/* Whether the request of a waiter can be answered from a body, which is the
 * case when the body contains the start of the requested block or ends before
 * it. */
static bool
contains_block(const struct body *body, const struct waiter *waiter)
{
    uint64_t offset = block_offset(&waiter->block);

    if (offset >= body->total) {
        return true;
    }
    return offset >= body->first && offset < body->first + body->size;
}

static void
answer_waiters(struct fetch *fetch, const struct body *body)
{
    struct data_task *task = fetch->fetches->task;

    list_for_each (it, &fetch->waiters) {
        struct waiter *waiter = container_of(it, struct waiter, link);

        if (contains_block(body, waiter)) {
            send_block(task, waiter, body);
        }
        else {
            answer_error(task, &waiter->caller, ERR_TARGET_BAD_ANSWER,
                         OUTCOME_NONE, RETRY_NO_ADVICE_MS);
        }
    }
}

static void
on_response(void *ctx, enum error_kind kind, bool sent,
            const struct target_response *response)
{
    struct work *work = ctx;
    struct fetch *fetch = container_of(work, struct fetch, work);
    uint32_t target = work->job.target->hash;
    struct body body;

    if (!work_report_result(fetch->fetches->task, work, kind, sent,
                            response)) {
        return;
    }
    work_record_times(fetch->fetches->task, work);
    if (!parse_response(fetch, response, &body)) {
        fail_waiters(fetch, ERR_TARGET_BAD_ANSWER, RETRY_NO_ADVICE_MS);
        fetch_free(fetch);
        return;
    }
    if (response->etag != NULL) {
        /* A body without an ETag from the target is not cached, because it
         * may be intended for this caller only. */
        cache_chunk(fetch, &body, target);
    }
    answer_waiters(fetch, &body);
    fetch_free(fetch);
}

static bool
on_send(struct work *work)
{
    struct fetch *fetch = container_of(work, struct fetch, work);
    struct target_request request = {
        .method = "GET",
        .path = fetch->path,
        .service = fetch->service,
        .deadline_ms = work_deadline_ms(work, clock_monotonic_us()),
        .range_first = fetch->first,
        .range_last = fetch->first + CHUNK_BYTES - 1,
    };

    return work_send_request(fetch->fetches->task, work, &request,
                             on_response);
}

static const struct work_ops fetch_ops = {
    .send = on_send,
    .failed = on_failed,
};

static bool
add_waiter(struct fetch *fetch, const struct inbound *in,
           const struct packet_block *block)
{
    struct waiter *waiter = calloc(1, sizeof(*waiter));

    if (waiter == NULL) {
        return false;
    }
    waiter->caller = in->caller;
    waiter->block = *block;
    waiter->needs_token = !in->has_token;
    waiter->service_hash = in->port->view->hash;
    list_push_back(&fetch->waiters, &waiter->link);
    g_hash_table_insert(fetch->fetches->by_caller, &waiter->caller, waiter);
    return true;
}

/* Returns the running fetch of the chunk at an offset, or NULL. Only fetches
 * for a block after the first are shared, since the ETag of such blocks shows
 * that they belong to one version. */
static struct fetch *
find_running_fetch(struct fetches *fetches, const char *key, uint64_t first)
{
    list_for_each (it, &fetches->running) {
        struct fetch *fetch = container_of(it, struct fetch, link);

        if (fetch->blockwise && fetch->first == first &&
            strcmp(fetch->key, key) == 0) {
            return fetch;
        }
    }
    return NULL;
}

static struct fetch *
fetch_new(struct fetches *fetches, const struct inbound *in, const char *key,
          const struct packet_block *block)
{
    struct fetch *fetch = calloc(1, sizeof(*fetch));

    if (fetch == NULL) {
        return NULL;
    }
    list_init(&fetch->waiters);
    list_init(&fetch->link);
    fetch->work.ops = &fetch_ops;
    fetch->fetches = fetches;
    fetch->blockwise = block->num > 0;
    fetch->first = block_offset(block) / CHUNK_BYTES * CHUNK_BYTES;
    memcpy(fetch->service, in->port->service, sizeof(fetch->service));
    snprintf(fetch->key, sizeof(fetch->key), "%s", key);
    inbound_tenant(in, fetch->tenant);
    inbound_path(in, fetch->path, sizeof(fetch->path));
    if (!add_waiter(fetch, in, block)) {
        fetch_free(fetch);
        return NULL;
    }
    list_push_back(&fetches->running, &fetch->link);
    return fetch;
}

/* Starts a fetch of the chunk that contains a block. "object" is the cached
 * object of the body, or NULL; a later block is read from the target that the
 * object came from. */
static void
start_fetch(struct fetches *fetches, const struct inbound *in, const char *key,
            const struct packet_block *block, const struct object *object)
{
    struct data_task *task = fetches->task;
    struct dispatch_service *svc =
        dispatch_find(&task->dispatch, in->port->service);
    struct fetch *fetch =
        svc == NULL ? NULL : fetch_new(fetches, in, key, block);
    struct job *job;

    if (fetch == NULL) {
        answer_error(task, &in->caller, ERR_NO_MEMORY, OUTCOME_NONE,
                     RETRY_NO_ADVICE_MS);
        return;
    }
    job = &fetch->work.job;
    job->class = (in->packet.fields & FIELD_BLOCK2) != 0 ? CLASS_DOWNLOAD
                                                         : CLASS_INTERACTIVE;
    job->repeatable = true;
    job->tenant = fetch->tenant;
    job->deadline_us = inbound_deadline_us(in);
    job->flow_hash =
        (uint64_t)in->caller.addr.addr << 16 | in->caller.addr.port;
    if (object != NULL && block->num > 0) {
        job->bound = object->target;
        job->pinned = true;
    }
    dispatch_submit(&task->dispatch, svc, job, clock_monotonic_us());
}

/* Answers a request from a cached chunk. */
static void
answer_from_chunk(struct fetches *fetches, const struct inbound *in,
                  const struct packet_block *block,
                  const struct object *object,
                  const struct object_chunk *chunk)
{
    struct waiter waiter = {
        .caller = in->caller,
        .block = *block,
    };
    struct body body = {
        .code = CODE_CONTENT,
        .content_format = object->content_format,
        .first = chunk->first,
        .total = object->total,
        .data = chunk->data,
        .size = chunk->size,
    };

    memcpy(body.etag, object->etag, sizeof(body.etag));
    send_block(fetches->task, &waiter, &body);
}

/* Returns the block that a request asks for: the first one when it has no
 * Block2 option. */
static struct packet_block
requested_block(const struct packet *p)
{
    struct packet_block block = {.szx = PACKET_SZX_MAX};

    if ((p->fields & FIELD_BLOCK2) != 0) {
        block = p->block2;
        block.more = false;
    }
    if (block.szx > PACKET_SZX_MAX) {
        /* The size exponent 7 is reserved (RFC 7959 section 2.2). A server may
         * lower the block size, but only in answer to a request for the first
         * block. */
        block.szx = PACKET_SZX_MAX;
    }
    return block;
}

void
fetches_handle(struct fetches *fetches, const struct inbound *in)
{
    struct packet_block block = requested_block(&in->packet);
    uint64_t offset = block_offset(&block);
    struct object *object = NULL;
    struct object_chunk *chunk = NULL;
    struct fetch *fetch = NULL;
    struct waiter *waiter =
        g_hash_table_lookup(fetches->by_caller, &in->caller);
    char path[PACKET_PATH_MAX + PACKET_QUERY_MAX + 2];
    char key[KEY_SIZE];

    if (waiter != NULL) {
        data_count(fetches->task, COUNTER_PACKETS_DUPLICATE);
        if (waiter->caller.acked) {
            answer_send_ack(fetches->task, &waiter->caller);
        }
        return;
    }
    inbound_path(in, path, sizeof(path));
    snprintf(key, sizeof(key), "%s %s", in->port->service, path);
    if (block.num > 0) {
        object = object_cache_find(&fetches->cache, key, clock_monotonic_us());
        chunk = object == NULL ? NULL : object_chunk_at(object, offset);
        fetch = find_running_fetch(fetches, key,
                                   offset / CHUNK_BYTES * CHUNK_BYTES);
    }
    if (chunk != NULL) {
        answer_from_chunk(fetches, in, &block, object, chunk);
        return;
    }
    if (fetch != NULL && add_waiter(fetch, in, &block)) {
        return;
    }
    start_fetch(fetches, in, key, &block, object);
}

static void
ack_waiters(struct fetch *fetch, uint64_t now)
{
    list_for_each (it, &fetch->waiters) {
        struct waiter *waiter = container_of(it, struct waiter, link);

        if (!waiter->caller.acked &&
            now - waiter->caller.received_us >= ANSWER_ACK_DELAY_US) {
            answer_send_ack(fetch->fetches->task, &waiter->caller);
        }
    }
}

void
fetches_tick(struct fetches *fetches, uint64_t now)
{
    object_cache_expire(&fetches->cache, now);
    list_for_each (it, &fetches->running) {
        ack_waiters(container_of(it, struct fetch, link), now);
    }
}
