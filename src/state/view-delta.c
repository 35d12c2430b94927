#include "state/view-delta.h"

#include <string.h>

void
view_delta_init(struct view_delta *delta)
{
    memset(delta, 0, sizeof(*delta));
    delta->routes = g_array_new(FALSE, TRUE, sizeof(struct route_record));
    delta->targets = g_array_new(FALSE, TRUE, sizeof(struct target_record));
}

void
view_delta_clear(struct view_delta *delta)
{
    g_array_free(delta->routes, TRUE);
    g_array_free(delta->targets, TRUE);
    memset(delta, 0, sizeof(*delta));
}
