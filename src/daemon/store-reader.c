#include "daemon/store-reader.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "store"
#include "base/log.h"
#include "protocol/resource-json.h"
#include "state/config-store.h"
#include "state/resource-name.h"

/* Delay before a failed range read is repeated. */
#define RETRY_DELAY_MS 1000
#define STATUS_KEY_PREFIX "status/"

struct store_reader {
    struct store_client *client;
    struct store_reader_callbacks cb;
    struct event *retry;
    bool active;  /* between store_reader_start() and store_reader_stop() */
    bool reading; /* a range read is in progress */
    bool reachable;
    bool reachable_reported;   /* the callback was called at least once */
    bool regressed;            /* the store is below highest_revision */
    uint64_t highest_revision; /* highest revision of the store seen so far */
    uint64_t watch_from;       /* revision at which the next watch starts */
};

static void read_all(struct store_reader *reader);
static void watch(struct store_reader *reader);

static void
on_retry(evutil_socket_t fd, short what, void *arg)
{
    struct store_reader *reader = arg;

    if (reader->active && !reader->reading) {
        read_all(reader);
    }
}

struct store_reader *
store_reader_new(struct event_base *base, struct store_client *client,
                 const struct store_reader_callbacks *cb)
{
    struct store_reader *reader = calloc(1, sizeof(*reader));

    if (reader == NULL) {
        return NULL;
    }
    reader->client = client;
    reader->cb = *cb;
    reader->retry = event_new(base, -1, 0, on_retry, reader);
    if (reader->retry == NULL) {
        free(reader);
        return NULL;
    }
    return reader;
}

void
store_reader_destroy(struct store_reader *reader)
{
    if (reader == NULL) {
        return;
    }
    event_free(reader->retry);
    free(reader);
}

static void
set_reachable(struct store_reader *reader, bool reachable, const char *message)
{
    if (reader->reachable_reported && reader->reachable == reachable) {
        return;
    }
    reader->reachable_reported = true;
    reader->reachable = reachable;
    reader->cb.reachable(reader->cb.ctx, reachable, message);
}

static void
deliver_resource(struct store_reader *reader, const char *name,
                 const struct store_entry *entry)
{
    struct resource r;
    struct status st;

    if (!resource_name_parse(&r, name)) {
        LOG_WARN("ignoring key %s of the store: not the name of a resource",
                 entry->key);
        return;
    }
    if (!resource_json_parse(&r, RESOURCE_JSON_STORE, entry->value,
                             entry->value_len, &st)) {
        LOG_WARN("ignoring key %s of the store: %s", entry->key, st.message);
        return;
    }
    reader->cb.resource(reader->cb.ctx, &r,
                        reader->regressed ? CONFIG_REVISION_UNKNOWN
                                          : entry->modified.revision);
}

static void
deliver_entry(struct store_reader *reader, const struct store_entry *entry)
{
    const char *name = entry->key + strlen(STORE_PREFIX);

    if (strncmp(entry->key, STORE_PREFIX, strlen(STORE_PREFIX)) != 0 ||
        entry->value == NULL) {
        return;
    }
    if (strncmp(name, STATUS_KEY_PREFIX, strlen(STATUS_KEY_PREFIX)) == 0) {
        reader->cb.domain_status(reader->cb.ctx,
                                 name + strlen(STATUS_KEY_PREFIX), entry);
        return;
    }
    deliver_resource(reader, name, entry);
}

/* Records the revision of the store. If it is below one seen before, the store
 * has lost writes, e.g. because it was restored from a backup. Its resources
 * are then applied only where their version is higher, and it cannot show that
 * the configuration is complete. Returns true if the store has just caught up
 * with the highest revision seen. */
static bool
note_revision(struct store_reader *reader, uint64_t revision)
{
    if (revision < reader->highest_revision) {
        if (!reader->regressed) {
            reader->regressed = true;
            reader->cb.regressed(reader->cb.ctx, reader->highest_revision,
                                 revision);
        }
        return false;
    }
    reader->highest_revision = revision;
    if (reader->regressed) {
        reader->regressed = false;
        return true;
    }
    return false;
}

static void
schedule_retry(struct store_reader *reader)
{
    struct timeval delay = {.tv_sec = RETRY_DELAY_MS / 1000};

    event_add(reader->retry, &delay);
}

static void
on_range(void *ctx, const struct status *st, struct store_position position,
         const struct store_entry *entries, size_t count)
{
    struct store_reader *reader = ctx;

    reader->reading = false;
    if (st->kind != ERR_NONE) {
        set_reachable(reader, false, st->message);
        schedule_retry(reader);
        return;
    }
    set_reachable(reader, true, "");
    note_revision(reader, position.revision);
    for (size_t i = 0; i < count; i++) {
        deliver_entry(reader, &entries[i]);
    }
    if (!reader->regressed) {
        reader->cb.complete(reader->cb.ctx);
    }
    reader->watch_from = position.revision + 1;
    if (reader->active) {
        watch(reader);
    }
}

static void
read_all(struct store_reader *reader)
{
    reader->reading = true;
    store_client_range(reader->client, STORE_PREFIX, true, on_range, reader);
}

static void
on_watch(void *ctx, const struct status *st, struct store_position position,
         const struct store_entry *entries, size_t count)
{
    struct store_reader *reader = ctx;
    bool was_regressed = reader->regressed;
    bool caught_up;

    if (!reader->active) {
        return;
    }
    if (st->kind == ERR_NOT_FOUND) {
        read_all(reader);
        return;
    }
    if (st->kind != ERR_NONE) {
        set_reachable(reader, false, st->message);
        watch(reader);
        return;
    }
    set_reachable(reader, true, "");
    caught_up = note_revision(reader, position.revision);
    if (caught_up || reader->regressed != was_regressed) {
        /* The meaning of the revisions has changed: reads everything again. */
        store_client_watch_stop(reader->client);
        read_all(reader);
        return;
    }
    for (size_t i = 0; i < count; i++) {
        deliver_entry(reader, &entries[i]);
    }
    if (position.revision >= reader->watch_from) {
        reader->watch_from = position.revision + 1;
    }
    if (!reader->regressed) {
        reader->cb.complete(reader->cb.ctx);
    }
}

static void
watch(struct store_reader *reader)
{
    store_client_watch(
        reader->client, STORE_PREFIX,
        (struct store_position){.revision = reader->watch_from - 1}, on_watch,
        reader);
}

void
store_reader_start(struct store_reader *reader, uint64_t known)
{
    if (reader->active) {
        return;
    }
    reader->active = true;
    if (known > reader->highest_revision) {
        reader->highest_revision = known;
    }
    if (reader->reading) {
        return;
    }
    if (known == 0 || reader->regressed) {
        read_all(reader);
        return;
    }
    reader->watch_from = known + 1;
    watch(reader);
}

void
store_reader_stop(struct store_reader *reader)
{
    if (!reader->active) {
        return;
    }
    reader->active = false;
    event_del(reader->retry);
    store_client_watch_stop(reader->client);
}

bool
store_reader_is_reachable(const struct store_reader *reader)
{
    return reader->reachable;
}
