#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/operator-write.h"
#include "daemon/api.h"

#define BODY_SIZE 256 /* bytes of an answer */

/* Answers what became of a write from the key that it was for. "base" is the
 * version that it started from. */
static const char *
write_fate(const struct resource *r, const char *write_id, uint64_t base,
           uint64_t *version)
{
    uint64_t current = r == NULL ? 0 : r->version;

    *version = current;
    if (r != NULL && resource_version_of_write(r, write_id) > 0) {
        *version = resource_version_of_write(r, write_id);
        return "accepted";
    }
    if (current == base) {
        return "pending";
    }
    if (current > base && current <= base + RECENT_WRITES_MAX) {
        return "not_written";
    }
    return "unknown";
}

static void
on_fate_read(void *ctx, const struct status *st, uint64_t revision,
             const struct store_entry *entries, size_t count)
{
    struct api_call *call = ctx;
    const char *base = http_exchange_query(call->x, "base");
    struct resource *r = NULL;
    uint64_t version;
    const char *fate;
    char body[BODY_SIZE];

    if (st->kind != ERR_NONE) {
        api_call_fail(call, st);
        return;
    }
    if (count > 0) {
        r = api_entry_resource(&entries[0]);
    }
    fate = write_fate(r, call->route.id,
                      base == NULL ? UINT64_MAX : strtoull(base, NULL, 10),
                      &version);
    free(r);
    snprintf(body, sizeof(body),
             "{\"write_id\":\"%s\",\"outcome\":\"%s\",\"version\":%" PRIu64
             "}",
             call->route.id, fate, version);
    api_call_reply(call, HTTP_OK, body, strlen(body));
}

/* GET /v1/writes/<id>?resource=<name>&base=<version>: read from the store, so
 * that any balancer can tell. */
void
api_write_look_up(struct api_call *call)
{
    const char *name = http_exchange_query(call->x, "resource");
    struct resource r;
    char key[STORE_KEY_SIZE];
    struct status st;

    if (name == NULL || !resource_name_parse(&r, name)) {
        status_set(&st, ERR_INVALID,
                   "resource: expected the name of the resource, such as "
                   "service/rigctl");
        api_call_fail(call, &st);
        return;
    }
    api_store_key(name, key);
    store_client_range(call->task->store, key, false, on_fate_read, call);
}
