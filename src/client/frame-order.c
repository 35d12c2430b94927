#include "client/frame-order.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

struct buffered_frame {
    struct list link; /* sorted by id */
    uint64_t id;
    size_t size;
    uint8_t data[];
};

static struct buffered_frame *
frame_from_link(struct list *link)
{
    return container_of(link, struct buffered_frame, link);
}

static void
buffered_frame_free(struct frame_order *order, struct buffered_frame *frame)
{
    list_remove(&frame->link);
    order->buffered_count--;
    free(frame);
}

void
frame_order_init(struct frame_order *order)
{
    order->started = false;
    order->last = 0;
    order->buffered_count = 0;
    list_init(&order->buffered);
}

void
frame_order_reset(struct frame_order *order)
{
    list_for_each_safe (it, &order->buffered) {
        buffered_frame_free(order, frame_from_link(it));
    }
    order->started = false;
}

void
frame_order_fini(struct frame_order *order)
{
    frame_order_reset(order);
}

void
frame_order_resume(struct frame_order *order, uint64_t last)
{
    order->started = true;
    order->last = last;
}

/* Buffers a copy of an early frame. A frame that is buffered already is
 * ignored, and one that does not fit is dropped. */
static void
buffer_frame(struct frame_order *order, uint64_t id, const uint8_t *data,
             size_t size)
{
    struct list *after = order->buffered.prev;
    struct buffered_frame *frame;

    while (after != &order->buffered && frame_from_link(after)->id > id) {
        after = after->prev;
    }
    if (order->buffered_count == FRAME_ORDER_BUFFERED_MAX ||
        (after != &order->buffered && frame_from_link(after)->id == id)) {
        return;
    }
    frame = malloc(sizeof(*frame) + size);
    if (frame == NULL) {
        return;
    }
    frame->id = id;
    frame->size = size;
    memcpy(frame->data, data, size);
    list_insert_after(after, &frame->link);
    order->buffered_count++;
}

bool
frame_order_drain(struct frame_order *order, frame_order_cb cb, void *ctx)
{
    bool proceed = true;

    list_for_each_safe (it, &order->buffered) {
        struct buffered_frame *frame = frame_from_link(it);

        if (!proceed || frame->id != order->last + 1) {
            break;
        }
        order->last = frame->id;
        proceed = cb(ctx, frame->id, frame->data, frame->size);
        buffered_frame_free(order, frame);
    }
    return proceed;
}

enum frame_push_result
frame_order_push(struct frame_order *order, uint64_t id, const uint8_t *data,
                 size_t size, frame_order_cb cb, void *ctx, bool *stopped)
{
    *stopped = false;
    if (order->started && id <= order->last) {
        return FRAME_DUPLICATE;
    }
    if (order->started && id > order->last + 1) {
        buffer_frame(order, id, data, size);
        return FRAME_EARLY;
    }
    order->started = true;
    order->last = id;
    *stopped = !cb(ctx, id, data, size) || !frame_order_drain(order, cb, ctx);
    return FRAME_DELIVERED;
}

bool
frame_order_has_gap(const struct frame_order *order)
{
    return !list_empty(&order->buffered);
}

void
frame_order_skip_gap(struct frame_order *order, uint64_t *first,
                     uint64_t *last)
{
    assert(frame_order_has_gap(order));
    *first = order->last + 1;
    *last = frame_from_link(order->buffered.next)->id - 1;
    order->last = *last;
}
