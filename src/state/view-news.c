#include "state/view-news.h"

#include <string.h>

/* Starts with no records. view_news_clear() frees what they take. */
void
view_news_init(struct view_news *news)
{
    memset(news, 0, sizeof(*news));
    news->routes = g_array_new(FALSE, TRUE, sizeof(struct route_record));
    news->targets = g_array_new(FALSE, TRUE, sizeof(struct target_record));
}

void
view_news_clear(struct view_news *news)
{
    g_array_free(news->routes, TRUE);
    g_array_free(news->targets, TRUE);
    memset(news, 0, sizeof(*news));
}
