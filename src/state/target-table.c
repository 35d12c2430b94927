#include "state/target-table.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/* Weight of the newest sample in the average latency. */
#define LATENCY_EWMA_WEIGHT 0.125
/* Initial size of a target's window, requests in flight. */
#define WINDOW_INITIAL 1.0

struct target_table *
target_table_new(void)
{
    struct target_table *table = calloc(1, sizeof(*table));

    if (table == NULL) {
        return NULL;
    }
    list_init(&table->services);
    list_init(&table->removed);
    return table;
}

static void
service_targets_destroy(struct service_targets *svc)
{
    list_remove(&svc->link);
    free(svc->targets);
    free(svc);
}

void
target_table_destroy(struct target_table *table)
{
    if (table == NULL) {
        return;
    }
    list_for_each_safe (it, &table->services) {
        struct service_targets *svc =
            container_of(it, struct service_targets, link);

        for (size_t i = 0; i < svc->count; i++) {
            free(svc->targets[i]);
        }
        service_targets_destroy(svc);
    }
    list_for_each_safe (it, &table->removed) {
        list_remove(it);
        free(container_of(it, struct target_state, link));
    }
    free(table);
}

static struct target_state *
target_new(const char *service, const struct target_view *tv, uint64_t now)
{
    struct target_state *t = calloc(1, sizeof(*t));

    if (t == NULL) {
        return NULL;
    }
    list_init(&t->link);
    t->refs = 1;
    memcpy(t->id, tv->id, sizeof(t->id));
    memcpy(t->service, service, sizeof(t->service));
    t->hash = tv->hash;
    t->addr = tv->addr;
    t->port = tv->port;
    t->first_seen_us = now;
    t->window.size = WINDOW_INITIAL;
    return t;
}

bool
target_is_leaving(const struct target_state *t)
{
    return t->removed || t->draining || t->reports_leaving;
}

struct target_state *
target_ref(struct target_state *t)
{
    t->refs++;
    return t;
}

/* The table holds a reference as long as the target is in the view. */
void
target_unref(struct target_state *t)
{
    assert(t->refs > 0);
    t->refs--;
    if (t->refs == 0) {
        list_remove(&t->link);
        free(t);
    }
}

/* Moves a target to the list of removed ones and releases the table's
 * reference, which frees the target if there is no other. */
static void
target_mark_removed(struct target_table *table, struct target_state *t)
{
    t->removed = true;
    list_push_back(&table->removed, &t->link);
    target_unref(t);
}

struct service_targets *
target_table_service(struct target_table *table, const char *service)
{
    list_for_each (it, &table->services) {
        struct service_targets *svc =
            container_of(it, struct service_targets, link);

        if (strcmp(svc->id, service) == 0) {
            return svc;
        }
    }
    return NULL;
}

static int
compare_target_id(const void *key, const void *item)
{
    const struct target_state *const *t = item;

    return strcmp(key, (*t)->id);
}

struct target_state *
service_targets_find(const struct service_targets *svc, const char *id)
{
    struct target_state **found;

    if (svc->count == 0) {
        return NULL;
    }
    found = bsearch(id, svc->targets, svc->count,
                    sizeof(struct target_state *), compare_target_id);
    return found != NULL ? *found : NULL;
}

struct target_state *
service_targets_by_hash(const struct service_targets *svc, uint32_t hash)
{
    for (size_t i = 0; hash != 0 && i < svc->count; i++) {
        if (svc->targets[i]->hash == hash) {
            return svc->targets[i];
        }
    }
    return NULL;
}

/* Finds the runtime state that a target of the new view keeps. Returns NULL if
 * the target is new or has another address. */
static struct target_state *
find_existing(const struct service_targets *old, const struct target_view *tv)
{
    struct target_state *t = NULL;

    if (old != NULL) {
        t = service_targets_find(old, tv->id);
    }
    if (t == NULL || t->addr != tv->addr || t->port != tv->port) {
        return NULL;
    }
    return t;
}

/* Frees a list made by build_service() with the target states created for it,
 * but not those shared with the old list. */
static void
discard_service(struct service_targets *svc, const struct service_targets *old)
{
    for (size_t i = 0; i < svc->count; i++) {
        struct target_state *t = svc->targets[i];

        if (old == NULL || service_targets_find(old, t->id) != t) {
            free(t);
        }
    }
    service_targets_destroy(svc);
}

/* Builds the target list of a service of the new view from existing and new
 * target states, without changing the old list. Returns NULL when out of
 * memory. */
static struct service_targets *
build_service(const struct service_targets *old, const struct service_view *sv,
              uint64_t now)
{
    struct service_targets *svc = calloc(1, sizeof(*svc));

    if (svc == NULL) {
        return NULL;
    }
    list_init(&svc->link);
    memcpy(svc->id, sv->id, sizeof(svc->id));
    svc->targets = calloc(sv->target_count + 1, sizeof(struct target_state *));
    for (size_t i = 0; svc->targets != NULL && i < sv->target_count; i++) {
        struct target_state *t = find_existing(old, &sv->targets[i]);

        if (t == NULL) {
            t = target_new(sv->id, &sv->targets[i], now);
        }
        if (t == NULL) {
            break;
        }
        svc->targets[i] = t;
        svc->count++;
    }
    if (svc->targets == NULL || svc->count < sv->target_count) {
        discard_service(svc, old);
        return NULL;
    }
    return svc;
}

/* Builds the target lists of all services of the new view and adds them to
 * "built". Returns false when out of memory; the table is then unchanged. */
static bool
build_services(struct target_table *table, const struct config_view *view,
               struct list *built, uint64_t now)
{
    for (size_t i = 0; i < view->service_count; i++) {
        const struct service_view *sv = &view->services[i];
        struct service_targets *svc =
            build_service(target_table_service(table, sv->id), sv, now);

        if (svc != NULL) {
            list_push_back(built, &svc->link);
            continue;
        }
        list_for_each_safe (it, built) {
            svc = container_of(it, struct service_targets, link);
            discard_service(svc, target_table_service(table, svc->id));
        }
        return false;
    }
    return true;
}

static const struct service_view *
find_service_view(const struct config_view *view, const char *id)
{
    for (size_t i = 0; i < view->service_count; i++) {
        if (strcmp(view->services[i].id, id) == 0) {
            return &view->services[i];
        }
    }
    return NULL;
}

/* Copies the configured values that may change while a target keeps its
 * runtime state. */
static void
update_configured(struct service_targets *svc, const struct service_view *sv)
{
    for (size_t i = 0; i < svc->count; i++) {
        struct target_state *t = svc->targets[i];
        const struct target_view *tv = &sv->targets[i];

        t->slots = tv->slots;
        t->connections_max = tv->connections;
        t->draining = tv->state == ADMIN_DRAINING;
    }
}

/* Marks as removed the targets of "old" that are not in the new list "svc",
 * which is NULL when the service was removed. */
static void
remove_unlisted(struct target_table *table, const struct service_targets *old,
                const struct service_targets *svc)
{
    for (size_t i = 0; i < old->count; i++) {
        struct target_state *t = old->targets[i];

        if (svc == NULL || service_targets_find(svc, t->id) != t) {
            target_mark_removed(table, t);
        }
    }
}

/* Replaces the target list of a service by the new one. The struct
 * service_targets of an existing service keeps its address; only its targets
 * are replaced. */
static void
replace_service(struct target_table *table, struct service_targets *svc,
                const struct config_view *view)
{
    struct service_targets *old = target_table_service(table, svc->id);

    update_configured(svc, find_service_view(view, svc->id));
    list_remove(&svc->link);
    if (old == NULL) {
        list_push_back(&table->services, &svc->link);
        return;
    }
    remove_unlisted(table, old, svc);
    free(old->targets);
    old->targets = svc->targets;
    old->count = svc->count;
    free(svc);
}

bool
target_table_apply_view(struct target_table *table,
                        const struct config_view *view, uint64_t now)
{
    struct list built;

    list_init(&built);
    if (!build_services(table, view, &built, now)) {
        return false;
    }
    list_for_each_safe (it, &built) {
        replace_service(table, container_of(it, struct service_targets, link),
                        view);
    }
    list_for_each_safe (it, &table->services) {
        struct service_targets *svc =
            container_of(it, struct service_targets, link);

        if (find_service_view(view, svc->id) == NULL) {
            remove_unlisted(table, svc, NULL);
            service_targets_destroy(svc);
        }
    }
    return true;
}

void
target_request_begin(struct target_state *t)
{
    t->in_flight++;
    target_ref(t);
}

void
target_request_end(struct target_state *t)
{
    assert(t->in_flight > 0);
    t->in_flight--;
    target_unref(t);
}

void
target_record_load(struct target_state *t, uint32_t running, uint32_t slots,
                   uint32_t queued, uint64_t now)
{
    uint32_t busy = running + queued;

    t->load = (struct target_load){
        .known = true,
        .at_us = now,
        .running = running,
        .slots = slots,
        .queued = queued,
        .others = busy > t->in_flight ? busy - t->in_flight : 0,
    };
}

void
target_record_latency(struct target_state *t, uint64_t latency_us,
                      uint64_t now)
{
    double sample = (double)latency_us;

    t->latency_at_us = now;
    if (t->latency_us == 0) {
        t->latency_us = sample;
        return;
    }
    t->latency_us += LATENCY_EWMA_WEIGHT * (sample - t->latency_us);
}
