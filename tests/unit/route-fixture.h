#pragma once

#include <assert.h>

#include "state/route-record.h"

/* Shares of routes for tests. They are kept until the test program ends, so
 * records that have them need not be cleared. */

#define FIXTURE_SHARE_LISTS_MAX 64

/* Returns a list of one share with the weight 1, the same for the same
 * arguments. */
static inline GArray *
fixture_share(const char *service, uint32_t cold_limit)
{
    static GArray *lists[FIXTURE_SHARE_LISTS_MAX];
    const struct route_share share = {g_intern_string(service), 1, cold_limit};

    for (size_t i = 0; i < FIXTURE_SHARE_LISTS_MAX; i++) {
        const struct route_share *known;

        if (lists[i] == NULL) {
            lists[i] = g_array_new(FALSE, FALSE, sizeof(share));
            g_array_append_val(lists[i], share);
        }
        known = &g_array_index(lists[i], struct route_share, 0);
        if (known->service == share.service &&
            known->cold_limit == cold_limit) {
            return lists[i];
        }
    }
    abort();
}
