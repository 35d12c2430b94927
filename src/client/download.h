#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "client/call.h"
#include "client/client-flow.h"

/* A GET whose answer may be longer than a datagram: Block2 (RFC 7959) with
 * several blocks in flight. Blocks are joined only when their ETag and the
 * length agree; when the resource changes meanwhile, the download begins
 * anew. */

#define DOWNLOAD_WINDOW_MAX 16 /* blocks in flight or held */

/* Where the body goes. Both functions return false to give up. */
struct download_sink {
    /* A body begins, the first time or anew: what came before is void.
     * "total" is its length in bytes, 0 when the server did not say. */
    bool (*begin)(void *ctx, uint64_t total);
    /* The next bytes of the body, in order. */
    bool (*data)(void *ctx, const uint8_t *data, size_t size);
    void *ctx;
};

struct download_request {
    const char *path;     /* percent-encoded, copied */
    const char *query;    /* or NULL, copied */
    uint32_t deadline_ms; /* from now, for the whole body */
    unsigned window;      /* blocks in flight at most, 0: the default */
    /* A short answer is expected: the first request goes without Block2, which
     * a balancer takes for the start of a download and queues behind others.
     */
    bool interactive;
};

struct download_result {
    enum call_outcome outcome;
    uint8_t code;           /* of the answer that decided it, 0: none */
    const uint8_t *payload; /* of that answer when it is an error */
    size_t payload_len;
    bool whole;        /* the sink has the whole body of one version */
    uint64_t size;     /* bytes given to the sink since it last began */
    unsigned restarts; /* times that the version changed */
};

/* Called once; the download is freed afterwards. */
typedef void (*download_cb)(void *ctx, const struct download_result *result);

struct download;

/* Returns NULL, and "cb" is not called, when memory is short or path and query
 * do not fit a request. */
struct download *download_start(struct client_flow *flow,
                                const struct download_request *request,
                                const struct download_sink *sink,
                                download_cb cb, void *ctx);
/* Ends a download with CALL_CANCELLED, before this returns. Not to be called
 * by the sink, which returns false instead. */
void download_cancel(struct download *dl);
