#include "state/view-news.h"

#include <string.h>

void
view_news_init(struct view_news *delta)
{
    memset(delta, 0, sizeof(*delta));
    delta->routes = g_array_new(FALSE, TRUE, sizeof(struct route_record));
    delta->targets = g_array_new(FALSE, TRUE, sizeof(struct target_record));
}

void
view_news_clear(struct view_news *delta)
{
    g_array_free(delta->routes, TRUE);
    g_array_free(delta->targets, TRUE);
    memset(delta, 0, sizeof(*delta));
}
