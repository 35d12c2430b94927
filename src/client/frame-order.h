#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/list.h"

/* Reorder buffer for the numbered frames of a stream: each frame is delivered
 * once, and only after the frame before it. Frames that arrive early are
 * buffered. */

/* Maximum number of early frames in the buffer. */
#define FRAME_ORDER_BUFFERED_MAX 256

struct frame_order {
    bool started;         /* "last" is valid */
    uint64_t last;        /* number of the frame delivered last */
    struct list buffered; /* owned copies of early frames, by number */
    size_t buffered_count;
};

enum frame_push_result {
    FRAME_DELIVERED, /* with the buffered frames that follow it */
    FRAME_DUPLICATE,
    FRAME_EARLY, /* earlier frames are missing */
};

/* Called for each frame in order. "data" is valid only during the callback.
 * Returns false to stop the delivery. */
typedef bool (*frame_order_cb)(void *ctx, uint64_t id, const uint8_t *data,
                               size_t size);

void frame_order_init(struct frame_order *order);
void frame_order_fini(struct frame_order *order);

/* Processes a received frame. The first frame determines where the order
 * starts, unless frame_order_resume() was called. An early frame is copied; it
 * is dropped when the buffer is full or memory is short, and is received again
 * when the gap is repaired. Sets "stopped" to whether "cb" returned false. */
enum frame_push_result frame_order_push(struct frame_order *order, uint64_t id,
                                        const uint8_t *data, size_t size,
                                        frame_order_cb cb, void *ctx,
                                        bool *stopped);

/* Sets the order to continue after frame number "last". */
void frame_order_resume(struct frame_order *order, uint64_t last);

/* Returns true when a frame is buffered, which means that an earlier frame is
 * missing. */
bool frame_order_has_gap(const struct frame_order *order);

/* Skips the missing frames before the first buffered one, and stores the
 * numbers of the first and last skipped frame. There must be a gap. Call
 * frame_order_drain() afterwards to deliver the buffered frames. */
void frame_order_skip_gap(struct frame_order *order, uint64_t *first,
                          uint64_t *last);
/* Delivers the buffered frames up to the next gap. Returns false when "cb"
 * did. */
bool frame_order_drain(struct frame_order *order, frame_order_cb cb,
                       void *ctx);

/* Discards the buffered frames and accepts any number as the next frame, for
 * a stream whose numbering restarts. */
void frame_order_reset(struct frame_order *order);
