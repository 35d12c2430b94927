#include "daemon/control.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "daemon/control-api.h"
#include "daemon/messages.h"
#include "protocol/resource-json.h"

/* Maximum number of events in an answer when the request sets no limit. */
#define EVENTS_LIMIT_DEFAULT 100

/* Serializes and releases "json". The caller frees the text; NULL when memory
 * is short. */
static char *
json_to_text(json_t *json)
{
    char *text = json_dumps(json, JSON_COMPACT);

    json_decref(json);
    return text;
}

static void
answer_resource(struct control_task *task, const struct msg_api_request *req,
                struct msg_api_answer *answer)
{
    struct resource r;

    if (!config_store_get(task->config, req->name, &r, NULL)) {
        answer->kind = ERR_NOT_FOUND;
        return;
    }
    answer->version = r.version;
    if (r.deleted) {
        answer->kind = ERR_NOT_FOUND;
    }
    answer->text = resource_json_build(&r, RESOURCE_JSON_OPERATOR);
}

/* The first names of a listing, sorted. The page is bounded, so insertion into
 * a sorted array is fast enough. */
struct page {
    const struct msg_api_request *req;
    size_t count;
    size_t capacity; /* maximum of "count"; "names" has room for one more */
    char (*names)[RESOURCE_NAME_SIZE];
};

static bool
add_name(void *ctx, const struct resource *r, uint64_t revision)
{
    struct page *page = ctx;
    const struct msg_api_request *req = page->req;
    char name[RESOURCE_NAME_SIZE];
    size_t pos;

    resource_name(r, name);
    if (r->deleted || strcmp(name, req->after) <= 0 ||
        strncmp(name, req->name, strlen(req->name)) != 0) {
        return true;
    }
    pos = page->count;
    while (pos > 0 && strcmp(page->names[pos - 1], name) > 0) {
        pos--;
    }
    if (pos == page->capacity) {
        return true;
    }
    if (page->count < page->capacity) {
        page->count++;
    }
    memmove(page->names[pos + 1], page->names[pos],
            (page->count - pos - 1) * sizeof(page->names[0]));
    memcpy(page->names[pos], name, sizeof(name));
    return true;
}

static json_t *
page_items(struct control_task *task, const struct page *page, size_t count)
{
    json_t *items = json_array();

    for (size_t i = 0; i < count; i++) {
        struct resource r;
        char *text;

        if (!config_store_get(task->config, page->names[i], &r, NULL)) {
            continue;
        }
        text = resource_json_build(&r, RESOURCE_JSON_OPERATOR);
        if (text != NULL) {
            json_array_append_new(items, json_loads(text, 0, NULL));
            free(text);
        }
    }
    return items;
}

static void
answer_list(struct control_task *task, const struct msg_api_request *req,
            struct msg_api_answer *answer)
{
    size_t limit = req->limit > 0 ? req->limit : 1;
    /* One name more than the limit shows whether there is a next page. */
    struct page page = {.req = req, .capacity = limit + 1};
    json_t *next;
    json_t *json;

    page.names = calloc(page.capacity + 1, sizeof(page.names[0]));
    if (page.names == NULL) {
        answer->kind = ERR_NO_MEMORY;
        return;
    }
    config_store_each_of_kind(task->config, req->kind, add_name, &page);
    next =
        page.count > limit ? json_string(page.names[limit - 1]) : json_null();
    json = json_pack(
        "{s:o, s:o}", "items",
        page_items(task, &page, page.count > limit ? limit : page.count),
        "next", next);
    answer->text = json_to_text(json);
    free(page.names);
}

static void
answer_events(struct control_task *task, const struct msg_api_request *req,
              struct msg_api_answer *answer)
{
    uint32_t limit = req->limit > 0 ? req->limit : EVENTS_LIMIT_DEFAULT;
    const struct event_entry *e = event_ring_after(task->events, req->since);
    json_t *events = json_array();
    uint64_t last = req->since;

    for (uint32_t i = 0; i < limit && e != NULL; i++) {
        last = e->number;
        json_array_append_new(
            events, json_pack("{s:I, s:I, s:s, s:s, s:s}", "number",
                              (json_int_t)e->number, "time_us",
                              (json_int_t)e->wall_us, "kind", e->kind,
                              "subject", e->subject, "cause", e->cause));
        e = event_ring_after(task->events, last);
    }
    answer->text = json_to_text(
        json_pack("{s:o, s:I}", "events", events, "next", (json_int_t)last));
}

/* Applies a resource that this balancer's API task has written to the store
 * and sends it to peers, without waiting for the watch to deliver it. */
static void
offer_accepted_write(struct control_task *task,
                     const struct msg_api_request *req)
{
    if (req->resource != NULL) {
        config_sync_offer(task->config_sync, req->resource, req->revision);
        config_sync_flush(task->config_sync);
    }
}

void
control_query_handle(struct control_task *task, const void *data, size_t size)
{
    struct msg_api_request req;
    struct msg_api_answer answer = {.kind = ERR_NONE};

    if (size != sizeof(req)) {
        return;
    }
    memcpy(&req, data, sizeof(req));
    answer.id = req.id;
    switch (req.query) {
    case API_QUERY_RESOURCE:
        answer_resource(task, &req, &answer);
        break;
    case API_QUERY_LIST:
        answer_list(task, &req, &answer);
        break;
    case API_QUERY_EVENTS:
        answer_events(task, &req, &answer);
        break;
    case API_QUERY_WRITE_ACCEPTED:
        offer_accepted_write(task, &req);
        break;
    case API_QUERY_STATUS:
        answer.text = control_status_json(task);
        break;
    case API_QUERY_METRICS:
        /* Answered once the data task has sent its own metrics. */
        control_metrics_request(task, req.id);
        return;
    }
    free(req.resource);
    answer.text_len = answer.text == NULL ? 0 : strlen(answer.text);
    if (!mailbox_send(task->api, MSG_API_ANSWER, &answer, sizeof(answer))) {
        free(answer.text);
    }
}
