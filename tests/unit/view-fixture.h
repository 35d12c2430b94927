#pragma once

#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"
#include "state/config-view.h"
#include "state/target-table.h"

/* Builders of configuration views and target tables for tests. */

#define FIXTURE_SERVICE "jibu-live"
#define FIXTURE_SLOTS 2 /* of each target */
/* Time at which the tests act on a target table, us. */
#define FIXTURE_NOW_US (1000 * USEC_PER_SEC)

/* Returns a new view of revision 1 with one service that has "count" targets:
 * t00 at 10.0.0.1, t01 at 10.0.0.2, and so on, all on port 8080. The caller
 * frees it with config_view_destroy(). */
static inline struct config_view *
fixture_view(size_t count)
{
    struct config_view *view = config_view_new(1);
    struct service_view *sv = &view->services[0];

    snprintf(sv->id, sizeof(sv->id), "%s", FIXTURE_SERVICE);
    sv->targets = calloc(count + 1, sizeof(*sv->targets));
    sv->target_count = count;
    for (size_t i = 0; i < count; i++) {
        struct target_view *tv = &sv->targets[i];

        snprintf(tv->id, sizeof(tv->id), "t%02zu", i);
        tv->hash = (uint32_t)id_hash(tv->id) & 0xffffff;
        tv->addr = 0x0a000001 + (uint32_t)i;
        tv->port = 8080;
        tv->slots = FIXTURE_SLOTS;
        tv->connections = 2000;
    }
    return view;
}

/* Returns a new table to which fixture_view(count) was applied at time 0. At
 * FIXTURE_NOW_US the cold start of every target is over. All targets are
 * verified. The caller frees the table with target_table_destroy(). */
static inline struct target_table *
fixture_table(size_t count)
{
    struct target_table *table = target_table_new();
    struct config_view *view = fixture_view(count);
    struct service_targets *svc;

    target_table_apply_view(table, view, 0);
    config_view_destroy(view);
    svc = target_table_service(table, FIXTURE_SERVICE);
    for (size_t i = 0; i < svc->count; i++) {
        svc->targets[i]->health.verified = true;
    }
    return table;
}
