#include "daemon/control.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "config"
#include "base/clock.h"
#include "base/log.h"
#include "daemon/messages.h"

#define ENDPOINT_TEXT_SIZE 64

/* Schedules on_publish() for the next iteration of the event loop, so that
 * changes that arrive together lead to one view. */
static void
schedule_publish(struct control_task *task)
{
    event_active(task->publish, EV_TIMEOUT, 0);
}

static void
on_resource_applied(void *ctx, const struct resource *r, uint64_t revision)
{
    struct control_task *task = ctx;
    char name[RESOURCE_NAME_SIZE];

    resource_name(r, name);
    control_event(task, r->deleted ? "deleted" : "version", name,
                  "version %llu of revision %llu",
                  (unsigned long long)r->version,
                  (unsigned long long)revision);
    if (task->quarantined > 0 ||
        view_filter_may_affect(&task->view_filter, task->settings->host.domain,
                               task->settings->host.id, r)) {
        task->view_stale = true;
        schedule_publish(task);
    }
}

static void
set_applied(struct control_task *task, uint64_t revision)
{
    task->applied = revision;
    report_applied(task->report, revision);
}

/* Called when the configuration has become complete up to "revision". If that
 * does not change the view, the current view counts as built at that
 * revision. */
static void
on_completed(void *ctx, uint64_t revision)
{
    struct control_task *task = ctx;

    if (task->view_sequence == 0) {
        schedule_publish(task);
        return;
    }
    if (task->view_stale) {
        return;
    }
    task->view_revision = revision;
    if (task->view_applied) {
        set_applied(task, revision);
    }
}

/* Called when the minimum revision of a failure domain has risen, which may
 * end a quarantine. */
static void
on_floors_raised(void *ctx)
{
    struct control_task *task = ctx;

    if (task->quarantined > 0) {
        task->view_stale = true;
        schedule_publish(task);
    }
}

static bool
same_quarantine(const struct view_quarantine *a,
                const struct view_quarantine *b)
{
    return strcmp(a->target, b->target) == 0 &&
           strcmp(a->service, b->service) == 0 &&
           strcmp(a->domain, b->domain) == 0;
}

static bool
was_quarantined(const struct control_task *task,
                const struct view_quarantine *q)
{
    for (size_t i = 0; i < CONTROL_QUARANTINE_MAX; i++) {
        if (same_quarantine(&task->quarantine_before[i], q)) {
            return true;
        }
    }
    return false;
}

static bool
is_quarantined(const struct control_task *task,
               const struct view_quarantine *q)
{
    for (size_t i = 0; i < task->quarantined && i < CONTROL_QUARANTINE_MAX;
         i++) {
        if (strcmp(task->quarantine[i].target, q->target) == 0 &&
            strcmp(task->quarantine[i].service, q->service) == 0) {
            return true;
        }
    }
    return false;
}

static void
on_quarantine(void *ctx, const struct view_quarantine *q)
{
    struct control_task *task = ctx;

    if (task->quarantined < CONTROL_QUARANTINE_MAX) {
        task->quarantine[task->quarantined] = *q;
    }
    task->quarantined++;
    if (was_quarantined(task, q)) {
        return;
    }
    if (q->domain[0] == '\0') {
        control_event(task, "quarantine", q->target,
                      "address is declared by target %s of %s too",
                      q->former_target, q->former_service);
        return;
    }
    control_event(task, "quarantine", q->target,
                  "waits for %s to drop target %s of %s", q->domain,
                  q->former_target, q->former_service);
}

/* Records an event for each target that has left quarantine with the view just
 * built. */
static void
report_quarantine_ended(struct control_task *task)
{
    for (size_t i = 0; i < CONTROL_QUARANTINE_MAX; i++) {
        const struct view_quarantine *q = &task->quarantine_before[i];

        if (q->target[0] != '\0' && !is_quarantined(task, q)) {
            control_event(task, "quarantine_over", q->target,
                          "its address was given up everywhere");
        }
    }
}

/* Builds a view and sends it to the data task. Nothing is published until the
 * configuration has been complete once: an incomplete one could admit an
 * address that a missing resource excludes. */
static void
on_publish(evutil_socket_t fd, short what, void *arg)
{
    struct control_task *task = arg;
    struct msg_config_view msg;

    if (config_sync_revision(task->config_sync) == 0 ||
        (task->view_sequence > 0 && !task->view_stale)) {
        return;
    }
    memcpy(task->quarantine_before, task->quarantine,
           sizeof(task->quarantine));
    memset(task->quarantine, 0, sizeof(task->quarantine));
    task->quarantined = 0;
    msg.view = view_builder_build(
        task->config, &task->floors, task->settings->host.domain,
        task->view_sequence + 1, on_quarantine, task);
    if (msg.view == NULL) {
        LOG_ERR("cannot build a view: out of memory; keeping the previous one "
                "until the next change");
        return;
    }
    msg.view->host_draining =
        config_store_host_is_draining(task->config, task->settings->host.id);
    view_filter_set(&task->view_filter, msg.view);
    if (!mailbox_send(task->data, MSG_CONFIG_VIEW, &msg, sizeof(msg))) {
        config_view_destroy(msg.view);
        return;
    }
    report_quarantine_ended(task);
    task->view_sequence++;
    task->view_stale = false;
    task->view_applied = false;
    task->view_revision = config_sync_revision(task->config_sync);
}

void
control_config_view_applied(struct control_task *task, uint64_t sequence)
{
    if (sequence != task->view_sequence || task->view_stale) {
        return;
    }
    task->view_applied = true;
    set_applied(task, task->view_revision);
    LOG_DBG("the data task has applied view %llu, up to revision %llu",
            (unsigned long long)sequence, (unsigned long long)task->applied);
}

static void
report_rejected_version(struct control_task *task, const struct resource *r,
                        enum config_result result)
{
    char name[RESOURCE_NAME_SIZE];

    resource_name(r, name);
    control_event(
        task, "store_regressed", name, "refused version %llu of the store: %s",
        (unsigned long long)r->version,
        result == CONFIG_DIFFERS ? "this version is held with other contents"
                                 : "a higher version is held");
}

static void
on_store_resource(void *ctx, const struct resource *r, uint64_t revision)
{
    struct control_task *task = ctx;
    enum config_result result =
        config_sync_offer(task->config_sync, r, revision);

    if (result == CONFIG_OLDER || result == CONFIG_DIFFERS) {
        report_rejected_version(task, r, result);
    }
}

static void
on_store_status(void *ctx, const char *domain, const struct store_entry *entry)
{
    control_status_received(ctx, domain, entry);
}

static void
end_refresh(struct control_task *task)
{
    task->refresh_pending = false;
    task->refresh_from_store = false;
    mailbox_send(task->data, MSG_VIEW_REFRESHED, NULL, 0);
}

static void
on_store_complete(void *ctx)
{
    struct control_task *task = ctx;

    config_sync_mark_complete(task->config_sync);
    /* Data from a watch does not end a refresh that waits for a peer, because
     * it may have been in the socket since before the pause. */
    if (task->refresh_pending && task->refresh_from_store) {
        end_refresh(task);
    }
}

static void
on_store_regressed(void *ctx, uint64_t known, uint64_t found)
{
    struct control_task *task = ctx;

    control_event(task, "store_regressed", "store",
                  "revision %llu after %llu: only higher versions are taken",
                  (unsigned long long)found, (unsigned long long)known);
}

static void
on_store_reachable(void *ctx, bool reachable, const char *message)
{
    struct control_task *task = ctx;

    control_event(task, reachable ? "store_up" : "store_down", "store", "%s",
                  message);
}

static struct store_client *
open_store(struct control_task *task, struct status *st)
{
    const struct settings *settings = task->settings;
    unsigned count = settings->platform.endpoints_count;
    char texts[count + 1][ENDPOINT_TEXT_SIZE];
    const char *endpoints[count + 1];

    for (unsigned i = 0; i < count; i++) {
        snprintf(texts[i], sizeof(texts[i]), "%s:%u",
                 settings->platform.endpoints[i].address,
                 settings->platform.endpoints[i].port);
        endpoints[i] = texts[i];
    }
    return store_client_new(task->base, endpoints, count, st);
}

static bool
open_config_sync(struct control_task *task, struct status *st)
{
    const struct config_sync_callbacks cb = {
        .send = control_peers_send,
        .applied = on_resource_applied,
        .completed = on_completed,
        .floors_raised = on_floors_raised,
        .ctx = task,
    };

    task->config_sync =
        config_sync_new(task->config, task->members, &task->floors, &cb,
                        &task->random, clock_monotonic_us());
    if (task->config_sync == NULL) {
        status_set(st, ERR_NO_MEMORY, "control: out of memory");
        return false;
    }
    return true;
}

static bool
open_reader(struct control_task *task, struct status *st)
{
    const struct store_reader_callbacks cb = {
        .resource = on_store_resource,
        .domain_status = on_store_status,
        .complete = on_store_complete,
        .regressed = on_store_regressed,
        .reachable = on_store_reachable,
        .ctx = task,
    };

    task->store = open_store(task, st);
    if (task->store == NULL) {
        return false;
    }
    task->reader = store_reader_new(task->base, task->store, &cb);
    if (task->reader == NULL) {
        status_set(st, ERR_NO_MEMORY, "control: out of memory");
        return false;
    }
    return true;
}

/* Creates the configuration store, the exchange with peers and the reader of
 * the platform's store. The list of members must exist. */
bool
control_config_open(struct control_task *task, struct status *st)
{
    task->config = config_store_new();
    task->publish = event_new(task->base, -1, 0, on_publish, task);
    if (task->config == NULL || task->publish == NULL) {
        status_set(st, ERR_NO_MEMORY, "control: out of memory");
        return false;
    }
    return open_config_sync(task, st) && open_reader(task, st);
}

/* Ends a refresh once a peer that was asked after the pause has turned out to
 * have the same configuration. */
static void
end_refresh_if_confirmed(struct control_task *task)
{
    if (task->refresh_pending && config_sync_is_refreshed(task->config_sync)) {
        end_refresh(task);
    }
}

static void
check_isolation(struct control_task *task, uint64_t now)
{
    bool isolated = membership_isolated(task->members, now) &&
                    !store_reader_is_reachable(task->reader);

    if (isolated == task->isolated) {
        return;
    }
    task->isolated = isolated;
    control_event(
        task, isolated ? "isolated" : "connected", task->settings->host.id,
        isolated ? "neither peers nor store answer; goes on with revision %llu"
                 : "at revision %llu",
        (unsigned long long)config_sync_revision(task->config_sync));
}

void
control_config_tick(struct control_task *task, uint64_t now)
{
    config_sync_tick(task->config_sync, now);
    if (config_sync_is_watcher(task->config_sync, now)) {
        store_reader_start(task->reader,
                           config_sync_revision(task->config_sync));
    }
    else {
        store_reader_stop(task->reader);
    }
    end_refresh_if_confirmed(task);
    check_isolation(task, now);
}

void
control_config_refresh(struct control_task *task)
{
    const struct member *peer;

    task->refresh_pending = true;
    config_sync_request_refresh(task->config_sync, clock_monotonic_us());
    if (membership_sample(task->members, true, &peer, 1) == 0 &&
        membership_sample(task->members, false, &peer, 1) == 0) {
        /* No peer to compare with, so the whole store is read. */
        task->refresh_from_store = true;
        store_reader_stop(task->reader);
        store_reader_start(task->reader, 0);
    }
}

void
control_config_close(struct control_task *task)
{
    if (task->reader != NULL) {
        store_reader_stop(task->reader);
    }
    store_client_destroy(task->store);
    store_reader_destroy(task->reader);
    view_filter_clear(&task->view_filter);
    config_sync_destroy(task->config_sync);
    config_store_destroy(task->config);
    if (task->publish != NULL) {
        event_free(task->publish);
    }
}
