#include "client/frame-order.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

struct held_frame {
    struct list link; /* sorted by id */
    uint64_t id;
    size_t size;
    uint8_t data[];
};

static struct held_frame *
frame_of(struct list *link)
{
    return container_of(link, struct held_frame, link);
}

static void
held_free(struct frame_order *order, struct held_frame *frame)
{
    list_remove(&frame->link);
    order->held_count--;
    free(frame);
}

void
frame_order_init(struct frame_order *order)
{
    order->started = false;
    order->last = 0;
    order->held_count = 0;
    list_init(&order->held);
}

void
frame_order_reset(struct frame_order *order)
{
    list_for_each_safe (it, &order->held) {
        held_free(order, frame_of(it));
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

/* Holds a copy of an early frame; one that is held already is left alone. */
static void
hold(struct frame_order *order, uint64_t id, const uint8_t *data, size_t size)
{
    struct list *after = order->held.prev;
    struct held_frame *frame;

    while (after != &order->held && frame_of(after)->id > id) {
        after = after->prev;
    }
    if (order->held_count == FRAME_ORDER_HELD_MAX ||
        (after != &order->held && frame_of(after)->id == id)) {
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
    order->held_count++;
}

bool
frame_order_drain(struct frame_order *order, frame_cb cb, void *ctx)
{
    bool go_on = true;

    list_for_each_safe (it, &order->held) {
        struct held_frame *frame = frame_of(it);

        if (!go_on || frame->id != order->last + 1) {
            break;
        }
        order->last = frame->id;
        go_on = cb(ctx, frame->id, frame->data, frame->size);
        held_free(order, frame);
    }
    return go_on;
}

enum frame_verdict
frame_order_push(struct frame_order *order, uint64_t id, const uint8_t *data,
                 size_t size, frame_cb cb, void *ctx, bool *stopped)
{
    *stopped = false;
    if (order->started && id <= order->last) {
        return FRAME_DUPLICATE;
    }
    if (order->started && id > order->last + 1) {
        hold(order, id, data, size);
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
    return !list_empty(&order->held);
}

void
frame_order_skip(struct frame_order *order, uint64_t *first, uint64_t *last)
{
    assert(frame_order_has_gap(order));
    *first = order->last + 1;
    *last = frame_of(order->held.next)->id - 1;
    order->last = *last;
}
