#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/operator-write.h"
#include "daemon/api.h"

#define ANSWER_BODY_SIZE 256 /* bytes of the JSON body */

/* Returns the outcome of a write as it is named in the answer, and sets
 * "version". "r" is the resource that the write was for, NULL when its key is
 * absent, and "base" the version that the resource had before the write.
 *
 * "accepted": the resource lists the write's id; "version" is that of the
 * write. Otherwise "version" is the current one. "pending": the version has
 * not changed, so the write may still be carried out. "not_written": later
 * versions do not list the id, although there are few enough that it would
 * still be listed. "unknown": the stored resource cannot tell. */
static const char *
find_write_outcome(const struct resource *r, const char *write_id,
                   uint64_t base, uint64_t *version)
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
on_key_read_for_outcome(void *ctx, const struct status *st,
                        struct store_position position,
                        const struct store_entry *entries, size_t count)
{
    struct api_call *call = ctx;
    const char *base = http_exchange_query(call->exchange, "base");
    struct resource *r = NULL;
    uint64_t version;
    const char *outcome;
    char body[ANSWER_BODY_SIZE];

    if (st->kind != ERR_NONE) {
        api_call_fail(call, st);
        return;
    }
    if (count > 0) {
        r = api_resource_from_entry(&entries[0]);
    }
    outcome = find_write_outcome(
        r, call->route.id,
        base == NULL ? UINT64_MAX : strtoull(base, NULL, 10), &version);
    free(r);
    snprintf(body, sizeof(body),
             "{\"write_id\":\"%s\",\"outcome\":\"%s\",\"version\":%" PRIu64
             "}",
             call->route.id, outcome, version);
    api_call_reply(call, HTTP_OK, body, strlen(body));
}

/* Serves GET /v1/writes/<id>?resource=<name>&base=<version>. The resource is
 * read from the store, so that every balancer can answer, not only the one
 * that received the write. */
void
api_write_outcome_start(struct api_call *call)
{
    const char *name = http_exchange_query(call->exchange, "resource");
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
    store_client_range(call->task->store, key, false, on_key_read_for_outcome,
                       call);
}
