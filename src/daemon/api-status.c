#include <stdlib.h>
#include <string.h>

#include "daemon/api.h"
#include "daemon/store-reader.h"

#define STATUS_PREFIX STORE_PREFIX "status/"

static json_t *
find_domain(const json_t *status, const char *domain)
{
    json_t *domains = json_object_get(status, "domains");

    for (size_t i = 0; i < json_array_size(domains); i++) {
        json_t *item = json_array_get(domains, i);
        const char *name = json_string_value(json_object_get(item, "domain"));

        if (name != NULL && strcmp(name, domain) == 0) {
            return item;
        }
    }
    return NULL;
}

/* Merges the status that a failure domain's reporter wrote to the store into
 * the control task's status. Values from the control task are kept, so its
 * complete entry for this host's failure domain does not change. The exception
 * is "floor", the revision that all balancers of the domain have applied,
 * which becomes the greater of the two. */
static void
merge_stored_status(json_t *status, const char *domain, json_t *stored)
{
    json_t *known = find_domain(status, domain);
    json_int_t floor;

    if (known == NULL) {
        json_array_append(json_object_get(status, "domains"), stored);
        return;
    }
    floor = json_integer_value(json_object_get(known, "floor"));
    json_object_update_missing(known, stored);
    if (json_integer_value(json_object_get(stored, "floor")) > floor) {
        json_object_set(known, "floor", json_object_get(stored, "floor"));
    }
}

/* Merges the statuses read from the store into the control task's status and
 * sends the answer. When the store cannot be read, the answer says so and has
 * only the control task's status. */
static void
on_stored_statuses(void *ctx, const struct status *st,
                   struct store_position position,
                   const struct store_entry *entries, size_t count)
{
    struct api_call *call = ctx;
    char *text;

    for (size_t i = 0; i < count; i++) {
        json_t *stored =
            json_loadb(entries[i].value, entries[i].value_len, 0, NULL);

        if (json_is_object(stored)) {
            merge_stored_status(
                call->status, entries[i].key + strlen(STATUS_PREFIX), stored);
        }
        json_decref(stored);
    }
    if (st->kind != ERR_NONE) {
        json_object_set_new(call->status, "store", json_string("down"));
    }
    text = json_dumps(call->status, JSON_COMPACT);
    api_call_reply(call, HTTP_OK, text, text == NULL ? 0 : strlen(text));
    free(text);
}

static void
on_own_status(struct api_call *call, const struct msg_api_answer *answer)
{
    struct status st;

    call->status = json_loadb(answer->text == NULL ? "" : answer->text,
                              answer->text_len, 0, NULL);
    if (!json_is_object(call->status)) {
        status_set(&st, ERR_STALE_VIEW, "the control task has no status");
        api_call_fail(call, &st);
        return;
    }
    store_client_range(call->task->store, STATUS_PREFIX, true,
                       on_stored_statuses, call);
}

void
api_status_start(struct api_call *call)
{
    struct msg_api_request request = {.query = API_QUERY_STATUS};

    api_call_query_control(call, &request, on_own_status);
}
