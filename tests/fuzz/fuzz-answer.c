#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "platform/store-calls.h"
#include "transport/store-dialect.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Aborts unless each entry has a key, and a value that ends with NUL or none,
 * and the list tells of the items with a fault. */
static void
check_entries(const struct store_entries *entries)
{
    for (size_t i = 0; i < entries->count; i++) {
        const struct store_entry *e = &entries->items[i];

        if (e->key == NULL || e->key[0] == '\0' ||
            e->modified.revision > STORE_REVISION_MAX ||
            (e->value != NULL && e->value[e->value_len] != '\0')) {
            abort();
        }
    }
    if (entries->odd_key != NULL && entries->faults == 0) {
        abort();
    }
}

static void
check_range(const struct store_dialect *dialect, const char *text, size_t len)
{
    struct store_range_answer range = {.revision = 0};
    struct store_entries entries = {.count = 0};
    struct store_request request = {.path = NULL};

    dialect->parse_range(text, len, &range, &entries);
    check_entries(&entries);
    if (entries.odd_key != NULL) {
        const struct store_range next = {.key = "",
                                         .prefix = true,
                                         .after = entries.odd_key,
                                         .after_len = entries.odd_key_len};

        dialect->range(&request, &next);
        store_request_clear(&request);
    }
    store_entries_clear(&entries);
}

static void
check_watch(const struct store_dialect *dialect, const char *text, size_t len)
{
    struct store_watch_line line = {.revision = 0};
    struct store_entries entries = {.count = 0};

    dialect->parse_watch(text, len, &line, &entries);
    check_entries(&entries);
    store_entries_clear(&entries);
}

/* Any answer of the store gives only entries with a key, and the request for
 * the page after it can be built. The length of the input selects the dialect
 * and the kind of the answer. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static const struct store_dialect *const dialects[] = {
        &platform_store_dialect, &store_dialect_etcd_gateway};
    const struct store_dialect *dialect = dialects[size % 2];

    if (size / 2 % 2 == 0) {
        check_range(dialect, (const char *)data, size);
    }
    else {
        check_watch(dialect, (const char *)data, size);
    }
    return 0;
}
