#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "platform/records.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Whatever an entry holds, what is read of it keeps within its bounds. The
 * first byte chooses the kind of entry. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct store_entry entry = {.mod_revision = 7, .create_revision = 5};
    struct view_delta news;
    char *value;

    if (size == 0) {
        return 0;
    }
    value = calloc(1, size);
    memcpy(value, data + 1, size - 1);
    entry.key = data[0] % 2 == 0 ? "op/config" : "servers/i-7f3a91c2";
    entry.value = value;
    entry.value_len = size - 1;
    view_delta_init(&news);
    platform_add_entry(&news, &entry);
    for (guint i = 0; i < news.routes->len; i++) {
        const struct route_record *route =
            &g_array_index(news.routes, struct route_record, i);

        if (route->share_count == 0 || route->share_count > ROUTE_SHARES_MAX ||
            route->port == 0) {
            abort();
        }
    }
    for (guint i = 0; i < news.targets->len; i++) {
        const struct target_record *target =
            &g_array_index(news.targets, struct target_record, i);

        if (target->service == NULL ||
            (!target->removed && target->port == 0)) {
            abort();
        }
    }
    view_delta_clear(&news);
    free(value);
    return 0;
}
