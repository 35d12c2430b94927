#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "client/call.h"
#include "client/client-flow.h"

/* A GET whose answer may be longer than a datagram. Uses Block2 (RFC 7959)
 * with several block requests in flight. Blocks are joined only if their ETags
 * and the total length agree. If the resource changes during the download, the
 * download starts again from the first block. */

/* Maximum number of blocks that are requested or received but not yet
 * delivered to the sink. */
#define DOWNLOAD_WINDOW_BLOCKS_MAX 16

/* Receiver of the body. Both functions return false to cancel the download. */
struct download_sink {
    /* Called before the first bytes of the body, and again whenever the
     * download restarts: the receiver must then discard the bytes that it
     * received before. "total" is the length of the body in bytes, 0 when the
     * server did not send it. */
    bool (*begin)(void *ctx, uint64_t total);
    /* Called with the next bytes of the body, in order. "data" is valid only
     * during the call. */
    bool (*data)(void *ctx, const uint8_t *data, size_t size);
    void *ctx;
};

struct download_request {
    const char *path;     /* percent-encoded, copied */
    const char *query;    /* percent-encoded without "?", or NULL, copied */
    uint32_t deadline_ms; /* time from now, covers the whole body */
    unsigned window;      /* maximum number of blocks in flight,
                           * 0 or too large: DOWNLOAD_WINDOW_BLOCKS_MAX */
    /* A short answer is expected. The first request is sent without Block2,
     * because a balancer treats a request with Block2 as the start of a
     * download and queues it behind other requests. */
    bool interactive;
};

struct download_result {
    enum call_outcome outcome;
    uint8_t code;           /* code of the answer that determined the outcome,
                             * 0: none */
    const uint8_t *payload; /* of that answer if it is not 2.05, else NULL */
    size_t payload_len;
    bool whole;        /* the answer is complete: the sink received the whole
                        * body of one version, or block 0 was answered with a
                        * final error */
    uint64_t size;     /* bytes passed to the sink since its last begin() */
    unsigned restarts; /* number of restarts from the first block */
};

/* Called exactly once; the download is freed when the callback returns.
 * "result" is valid only during the callback. */
typedef void (*download_cb)(void *ctx, const struct download_result *result);

struct download;

/* Starts a download. "sink" is copied. Returns NULL without calling "cb" when
 * out of memory or when path and query do not fit a request. Otherwise "cb" is
 * called exactly once, after this function has returned. */
struct download *download_start(struct client_flow *flow,
                                const struct download_request *request,
                                const struct download_sink *sink,
                                download_cb cb, void *ctx);
/* Finishes a download with CALL_CANCELLED. The callback is called before this
 * function returns. Must not be called by the sink, which returns false
 * instead. */
void download_cancel(struct download *dl);
