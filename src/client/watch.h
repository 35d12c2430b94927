#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "client/call.h"
#include "client/client-flow.h"

/* A live stream: an observation (RFC 7641) whose notifications carry the
 * number of their frame as ETag. Every frame is delivered once and in order;
 * a gap is repaired by registering again after the last frame that came
 * ("last-event-id" in the query). The registration is renewed before it
 * lapses, and moved to another balancer when its own is stopping or has gone
 * silent. */

enum watch_event_kind {
    WATCH_FRAME,
    WATCH_LOST,  /* frames "id" to "last_id" cannot be had any more */
    WATCH_RESET, /* the numbers of the stream began anew */
    WATCH_ENDED, /* the last event */
};

struct watch_event {
    enum watch_event_kind kind;
    bool has_id;
    uint64_t id;
    uint64_t last_id;
    const uint8_t *data; /* the frame, or the text of an error */
    size_t size;
    enum call_outcome outcome; /* of WATCH_ENDED */
    uint8_t code;              /* of the answer that ended it, 0: none */
};

/* Returns false to stop the watch, which is freed then without a further
 * event. Must not call watch_stop(). */
typedef bool (*watch_cb)(void *ctx, const struct watch_event *event);

struct watch_request {
    const char *path;  /* percent-encoded, copied */
    const char *query; /* or NULL, copied */
    bool resume;       /* begin after frame "last_id" */
    uint64_t last_id;
    /* Without a frame for this long the stream is registered anew, 0: the
     * default. */
    uint32_t silence_ms;
    uint32_t timeout_ms; /* end after this time, 0: never */
};

struct watch_counters {
    uint64_t frames;
    uint64_t duplicates;
    uint64_t repairs;       /* registrations to repair a gap */
    uint64_t registrations; /* in all */
    uint64_t moves;         /* of these, to another balancer */
};

struct watch;

/* Returns NULL, and "cb" is not called, when memory is short or the query does
 * not fit. */
struct watch *watch_start(struct client_flow *flow,
                          const struct watch_request *request, watch_cb cb,
                          void *ctx);
/* Deregisters and frees; no event follows. */
void watch_stop(struct watch *watch);

const struct watch_counters *watch_counters(const struct watch *watch);
