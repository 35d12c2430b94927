#include "state/view-delta.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <xxhash.h>

/* First character of the id of an order, which is no printable character. */
#define ORDER_ID_MARK '\x01'

static void
clear_route(gpointer data)
{
    route_record_clear(data);
}

void
view_delta_init(struct view_delta *delta)
{
    memset(delta, 0, sizeof(*delta));
    delta->routes = g_array_new(FALSE, TRUE, sizeof(struct route_record));
    g_array_set_clear_func(delta->routes, clear_route);
    delta->targets = g_array_new(FALSE, TRUE, sizeof(struct target_record));
}

void
view_delta_add_route(struct view_delta *delta,
                     const struct route_record *route)
{
    struct route_record copy = route_record_copy(route);

    g_array_append_val(delta->routes, copy);
}

void
view_delta_clear(struct view_delta *delta)
{
    g_array_free(delta->routes, TRUE);
    g_array_free(delta->targets, TRUE);
    memset(delta, 0, sizeof(*delta));
}

bool
region_list_contains(const char *list, const char *name)
{
    size_t length = strlen(name);

    for (const char *item = list; item != NULL;) {
        const char *end = strchr(item, ',');
        size_t item_length = end == NULL ? strlen(item) : (size_t)(end - item);

        if (item_length == length && memcmp(item, name, length) == 0) {
            return true;
        }
        item = end == NULL ? NULL : end + 1;
    }
    return false;
}

void
emptied_domain_id(const char *domain, char id[TARGET_ID_SIZE])
{
    snprintf(id, TARGET_ID_SIZE, "%cemptied-%016" PRIx64, ORDER_ID_MARK,
             (uint64_t)XXH64(domain, strlen(domain), 0));
}

bool
target_record_set_kind(struct target_record *record)
{
    char id[TARGET_ID_SIZE];

    record->kind = RECORD_TARGET;
    if (record->id[0] != ORDER_ID_MARK) {
        return true;
    }
    if (record->domain == NULL) {
        return false;
    }
    emptied_domain_id(record->domain, id);
    record->kind = RECORD_EMPTIED_DOMAIN;
    return strcmp(record->id, id) == 0;
}
