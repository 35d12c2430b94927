#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/list.h"

/* Puts the numbered frames of a stream in order: each is delivered once, and
 * none before the one that precedes it. Frames that come early are held. */

#define FRAME_ORDER_BUFFERED_MAX 256

struct frame_order {
    bool started;  /* "last" counts */
    uint64_t last; /* number of the frame delivered last */
    struct list buffered;
    size_t buffered_count;
};

enum frame_push_result {
    FRAME_DELIVERED, /* and those held behind it */
    FRAME_DUPLICATE,
    FRAME_EARLY, /* frames before it are missing */
};

/* Called for each frame in order. Returns false to stop. */
typedef bool (*frame_cb)(void *ctx, uint64_t id, const uint8_t *data,
                         size_t size);

void frame_order_init(struct frame_order *order);
void frame_order_fini(struct frame_order *order);

/* Takes a frame. The first one of all starts the order, unless
 * frame_order_resume() did. An early one is dropped when too many are held
 * already; it comes again when the gap is repaired. "stopped" is set when
 * "cb" returned false. */
enum frame_push_result frame_order_push(struct frame_order *order, uint64_t id,
                                        const uint8_t *data, size_t size,
                                        frame_cb cb, void *ctx, bool *stopped);

/* Starts the order after frame "last". */
void frame_order_resume(struct frame_order *order, uint64_t last);

/* True when a frame is held, hence one is missing before it. */
bool frame_order_has_gap(const struct frame_order *order);

/* Gives up the frames missing before the first one held; their numbers go to
 * "first" and "last". frame_order_drain() then delivers what is held. */
void frame_order_skip_gap(struct frame_order *order, uint64_t *first,
                          uint64_t *last);
/* Delivers what is next in order. Returns false when "cb" did. */
bool frame_order_drain(struct frame_order *order, frame_cb cb, void *ctx);

/* Forgets everything: the numbers begin anew. */
void frame_order_reset(struct frame_order *order);
