#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "client/call.h"
#include "client/client-flow.h"

/* Receives a live stream: an observation (RFC 7641) whose notifications carry
 * the number of their frame in the ETag option. Each numbered frame is
 * delivered once and in order. A gap is repaired by registering again with the
 * number of the frame delivered last ("last-event-id" in the query). The
 * registration is renewed before it expires, and replaced by one at another
 * balancer when its balancer is stopping or no frames arrive. */

enum watch_event_kind {
    WATCH_FRAME, /* one frame of the stream */
    WATCH_LOST,  /* frames "id" to "last_id" are no longer available */
    WATCH_RESET, /* the numbering of the stream restarted */
    WATCH_ENDED, /* the stream ended; no further event follows */
};

struct watch_event {
    enum watch_event_kind kind;
    bool has_id;         /* "id" is valid */
    uint64_t id;         /* number of the frame, or of the first lost frame */
    uint64_t last_id;    /* WATCH_LOST: number of the last lost frame */
    const uint8_t *data; /* the frame, or the payload of the answer that ended
                          * the stream; valid only during the callback */
    size_t size;
    enum call_outcome outcome; /* WATCH_ENDED: why the stream ended */
    uint8_t code; /* WATCH_ENDED: code of the answer that ended the stream,
                   * 0: none */
};

/* Called for each event. Returns false to stop the watch, which is then freed
 * without a further event. After WATCH_ENDED the watch is freed in any case.
 * Must not call watch_stop(). */
typedef bool (*watch_cb)(void *ctx, const struct watch_event *event);

struct watch_request {
    const char *path;  /* percent-encoded, copied */
    const char *query; /* percent-encoded without "?", or NULL, copied */
    bool resume;       /* start after frame "last_id" */
    uint64_t last_id;
    /* Time without a new frame after which the watch registers at another
     * balancer. 0: 15 s */
    uint32_t silence_ms;
    uint32_t timeout_ms; /* from now until the watch ends, 0: never */
};

struct watch_counters {
    uint64_t frames;        /* frames delivered */
    uint64_t duplicates;    /* frames numbered at or below the last delivered
                             * one */
    uint64_t repairs;       /* registrations sent to repair a gap */
    uint64_t registrations; /* registrations and renewals sent */
    uint64_t moves;         /* registrations meant to reach another balancer */
};

struct watch;

/* Starts a watch. Returns NULL without calling "cb" when out of memory or when
 * path and query, with the position that the watch appends, do not fit a
 * request. "cb" is not called before this function returns. */
struct watch *watch_start(struct client_flow *flow,
                          const struct watch_request *request, watch_cb cb,
                          void *ctx);
/* Deregisters the observation and frees the watch without a further event. */
void watch_stop(struct watch *watch);

const struct watch_counters *watch_counters(const struct watch *watch);
