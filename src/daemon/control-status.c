#include "daemon/control.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#define LOG_MODULE "status"
#include "base/clock.h"
#include "base/log.h"
#include "protocol/domain-status-json.h"

/* Key of this failure domain's status in the platform's store. */
static void
format_key(const struct control_task *task, char key[STORE_KEY_SIZE])
{
    snprintf(key, STORE_KEY_SIZE, STORE_PREFIX "status/%s",
             task->settings->host.domain);
}

static void
finish_write(struct control_task *task, const struct status *st,
             uint64_t revision)
{
    if (st->kind == ERR_NONE) {
        task->status_revision = revision;
    }
    else {
        LOG_DBG("cannot write the status of the failure domain: %s",
                st->message);
    }
    report_on_write_done(task->report, st->kind == ERR_NONE,
                         clock_monotonic_us());
}

/* Handles the read after a write that met a conflict or whose outcome is
 * unknown: another reporter may have written, or the answer was lost. The next
 * attempt uses the revision read here. */
static void
on_revision_read(void *ctx, const struct status *st,
                 struct store_position position,
                 const struct store_entry *entries, size_t count)
{
    struct control_task *task = ctx;

    if (st->kind == ERR_NONE) {
        task->status_revision = count > 0 ? entries[0].modified.revision : 0;
    }
    report_on_write_done(task->report, false, clock_monotonic_us());
}

static void
on_written(void *ctx, const struct status *st, struct store_position modified)
{
    struct control_task *task = ctx;
    char key[STORE_KEY_SIZE];

    if (st->kind == ERR_CONFLICT || st->kind == ERR_STORE_UNKNOWN) {
        format_key(task, key);
        store_client_range(task->store, key, false, on_revision_read, task);
        return;
    }
    finish_write(task, st, modified.revision);
}

static void
write_status(void *ctx, const struct domain_status *status)
{
    struct control_task *task = ctx;
    char key[STORE_KEY_SIZE];
    char *text = domain_status_json_build(status);

    if (text == NULL) {
        report_on_write_done(task->report, false, clock_monotonic_us());
        return;
    }
    format_key(task, key);
    store_client_cas(
        task->store, key, text, strlen(text),
        (struct store_position){.revision = task->status_revision}, on_written,
        task);
    free(text);
}

bool
control_status_open(struct control_task *task, struct status *st)
{
    const struct report_callbacks cb = {
        .send = control_peers_send,
        .write = write_status,
        .ctx = task,
    };

    task->report = report_new(task->members, task->config_sync, task->config,
                              &task->floors, &cb, &task->random);
    if (task->report == NULL) {
        status_set(st, ERR_NO_MEMORY, "control: out of memory");
        return false;
    }
    return true;
}

void
control_status_tick(struct control_task *task, uint64_t now)
{
    report_tick(task->report, now, clock_wall_us());
}

void
control_status_close(struct control_task *task)
{
    report_destroy(task->report);
}

void
control_status_received(struct control_task *task, const char *domain,
                        const struct store_entry *entry)
{
    struct domain_status status;

    if (!domain_status_json_parse(&status, entry->value, entry->value_len)) {
        LOG_WARN("ignoring the status of failure domain %s in the store: it "
                 "cannot be decoded",
                 domain);
        return;
    }
    config_sync_raise_floor(task->config_sync, domain, status.floor);
    if (strcmp(domain, task->settings->host.domain) == 0) {
        task->status_revision = entry->modified.revision;
        report_on_stored_status(task->report, &status, clock_monotonic_us());
    }
}

/* The full status of this failure domain; NULL when memory is short. */
static json_t *
build_own_domain(struct control_task *task)
{
    struct domain_status status;
    char *text;
    json_t *json;

    report_status(task->report, &status, clock_monotonic_us(),
                  clock_wall_us());
    text = domain_status_json_build(&status);
    json = text == NULL ? NULL : json_loads(text, 0, NULL);
    free(text);
    return json;
}

static void
add_floor(json_t *domains, const char *domain, uint64_t floor)
{
    json_array_append_new(domains, json_pack("{s:s, s:I}", "domain", domain,
                                             "floor", (json_int_t)floor));
}

/* Failure domains that a service lists but that have never reported a minimum
 * revision. */
struct unreported {
    const struct domain_min_revisions *floors; /* domains that have reported */
    struct domain_min_revisions found; /* the others, with revision 0 */
};

static bool
find_unreported(void *ctx, const struct resource *r, uint64_t revision)
{
    struct unreported *u = ctx;

    for (size_t i = 0; i < r->service.domain_count && !r->deleted; i++) {
        const char *domain = r->service.domains[i];

        if (domain_min_revisions_get(u->floors, domain) == 0) {
            domain_min_revisions_raise(&u->found, domain, 0);
        }
    }
    return true;
}

/* Only the reporter knows the full status of its failure domain. For other
 * domains, and on a balancer that is not the reporter, only the minimum
 * revisions are known; the status in the platform's store lists the hosts that
 * have not applied a revision yet. */
static json_t *
build_domains(struct control_task *task)
{
    json_t *domains = json_array();
    const char *own = task->settings->host.domain;
    bool reporter = report_is_reporter(task->report);
    struct unreported unreported = {.floors = &task->floors};

    if (reporter) {
        json_array_append_new(domains, build_own_domain(task));
    }
    for (size_t i = 0; i < task->floors.count; i++) {
        const struct domain_min_revision *floor = &task->floors.entries[i];

        if (!reporter || strcmp(floor->domain, own) != 0) {
            add_floor(domains, floor->domain, floor->revision);
        }
    }
    config_store_each_of_kind(task->config, RESOURCE_SERVICE, find_unreported,
                              &unreported);
    for (size_t i = 0; i < unreported.found.count; i++) {
        add_floor(domains, unreported.found.entries[i].domain, 0);
    }
    return domains;
}

/* Only the watchers of a failure domain connect to the store to read the
 * configuration. */
static const char *
store_state(const struct control_task *task)
{
    if (!config_sync_is_watcher(task->config_sync, clock_monotonic_us())) {
        return "not watched here";
    }
    return store_reader_is_reachable(task->reader) ? "up" : "down";
}

char *
control_status_json(struct control_task *task)
{
    json_t *json = json_pack(
        "{s:s, s:s, s:I, s:s, s:I, s:o}", "host", task->settings->host.id,
        "host_domain", task->settings->host.domain, "revision",
        (json_int_t)config_store_revision(task->config), "store",
        store_state(task), "quarantined", (json_int_t)task->quarantined,
        "domains", build_domains(task));
    char *text = json == NULL ? NULL : json_dumps(json, JSON_COMPACT);

    json_decref(json);
    return text;
}
