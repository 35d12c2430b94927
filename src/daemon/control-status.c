#include "daemon/control.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "status"
#include "base/clock.h"
#include "base/log.h"
#include "protocol/status-json.h"

static void
format_key(const struct control_task *task, char key[STORE_KEY_SIZE])
{
    snprintf(key, STORE_KEY_SIZE, STORE_PREFIX "status/%s",
             task->settings->host.domain);
}

static void
finish(struct control_task *task, const struct status *st,
       uint64_t mod_revision)
{
    if (st->kind == ERR_NONE) {
        task->status_revision = mod_revision;
    }
    else {
        LOG_DBG("status not written: %s", st->message);
    }
    report_written(task->report, st->kind == ERR_NONE, clock_monotonic_us());
}

/* Another reporter may have written meanwhile, or an answer was lost: the
 * revision is read again before the next try. */
static void
on_read_again(void *ctx, const struct status *st, uint64_t revision,
              const struct store_entry *entries, size_t count)
{
    struct control_task *task = ctx;

    if (st->kind == ERR_NONE) {
        task->status_revision = count > 0 ? entries[0].mod_revision : 0;
    }
    report_written(task->report, false, clock_monotonic_us());
}

static void
on_written(void *ctx, const struct status *st, uint64_t mod_revision)
{
    struct control_task *task = ctx;
    char key[STORE_KEY_SIZE];

    if (st->kind == ERR_CONFLICT || st->kind == ERR_STORE_UNKNOWN) {
        format_key(task, key);
        store_client_range(task->store, key, false, on_read_again, task);
        return;
    }
    finish(task, st, mod_revision);
}

static void
write_status(void *ctx, const struct domain_status *status)
{
    struct control_task *task = ctx;
    char key[STORE_KEY_SIZE];
    char *text = status_json_build(status);

    if (text == NULL) {
        report_written(task->report, false, clock_monotonic_us());
        return;
    }
    format_key(task, key);
    store_client_cas(task->store, key, text, strlen(text),
                     task->status_revision, on_written, task);
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

    task->report = report_new(task->members, task->spread, task->config,
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
control_status_seen(struct control_task *task, const char *domain,
                    const struct store_entry *entry)
{
    struct domain_status status;

    if (!status_json_parse(&status, entry->value, entry->value_len)) {
        LOG_WARN("the status of %s cannot be read", domain);
        return;
    }
    spread_offer_floor(task->spread, domain, status.floor);
    if (strcmp(domain, task->settings->host.domain) == 0) {
        task->status_revision = entry->mod_revision;
        report_seen(task->report, &status, clock_monotonic_us());
    }
}
