#include "protocol/snapshot-codec.h"

#include <string.h>

#include "protocol/view-codec.h"

uint8_t *
snapshot_encode(const struct forward_view *view, uint64_t now, size_t *size)
{
    struct view_message m;
    uint8_t *data;

    memset(&m, 0, sizeof(m));
    m.kind = VIEW_DELTA;
    view_delta_init(&m.delta);
    forward_view_delta_since(view, (struct store_position){0},
                             (struct store_position){0}, now, &m.delta);
    data = view_encode(&m, size);
    view_delta_clear(&m.delta);
    return data;
}

bool
snapshot_decode(const uint8_t *data, size_t size, struct view_delta *delta)
{
    struct view_message m = {.delta = *delta};
    bool valid = view_decode(&m, data, size);

    *delta = m.delta;
    return valid && m.kind == VIEW_DELTA && delta->targets_complete &&
           delta->routes_complete;
}
