#include "state/config-view.h"

#include <stdlib.h>

struct config_view *
config_view_new(size_t service_count)
{
    struct config_view *view = calloc(1, sizeof(*view));

    if (view == NULL) {
        return NULL;
    }
    view->services = calloc(service_count + 1, sizeof(*view->services));
    if (view->services == NULL) {
        free(view);
        return NULL;
    }
    view->service_count = service_count;
    return view;
}

void
config_view_destroy(struct config_view *view)
{
    if (view == NULL) {
        return;
    }
    for (size_t i = 0; i < view->service_count; i++) {
        free(view->services[i].targets);
    }
    free(view->services);
    free(view);
}
