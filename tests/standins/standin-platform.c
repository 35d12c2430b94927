/* The platform's store by its published calls: range and key reads, watches
 * that wait, conditional writes. Orders at /control make it fail: silent,
 * busy, resetting connections, for all or for those that reach it by one of
 * its addresses. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <jansson.h>

#include "base/list.h"
#include "kv-history.h"
#include "standin-common.h"

#define PAGE_ITEMS 500
#define WAIT_MS_MAX 30000
#define STATUS_CONFLICT 412
#define STATUS_GONE 410
#define STATUS_TOO_MANY 429

enum mode {
    MODE_OK,
    MODE_SILENT,
    MODE_BUSY,
    MODE_MANY,
    MODE_RESET,
};

static const char *const mode_names[] = {"ok", "silent", "busy", "many",
                                         "reset"};

/* A watch that waits, or a call that is never answered. */
struct held {
    struct list link;
    struct evhttp_request *req;
    struct event *timer;
    char *prefix; /* NULL: never answered */
    uint64_t after;
    char address[INET_ADDRSTRLEN];
};

static char **listen_texts;
static struct event_base *base;
static struct kv_history *kv;
static struct list held;
static enum mode mode;
static char mode_address[INET_ADDRSTRLEN]; /* empty: all */
static uint64_t stale_by;                  /* revisions */
static unsigned calls;
static unsigned stale_calls;

static const GOptionEntry options[] = {
    {"listen", 0, 0, G_OPTION_ARG_STRING_ARRAY, &listen_texts,
     "An address, each", "A:PORT"},
    {NULL},
};

/* The own address by which a request came. */
static void
local_address(struct evhttp_request *req, char out[INET_ADDRSTRLEN])
{
    struct evhttp_connection *conn = evhttp_request_get_connection(req);
    evutil_socket_t fd =
        bufferevent_getfd(evhttp_connection_get_bufferevent(conn));
    struct sockaddr_in sin;
    socklen_t len = sizeof(sin);

    out[0] = '\0';
    if (getsockname(fd, (struct sockaddr *)&sin, &len) == 0) {
        evutil_inet_ntop(AF_INET, &sin.sin_addr, out, INET_ADDRSTRLEN);
    }
}

static bool
fails(const char *address)
{
    return mode != MODE_OK &&
           (mode_address[0] == '\0' || strcmp(mode_address, address) == 0);
}

static json_t *
item_json(const struct kv_entry *entry)
{
    json_t *json;
    char *value;

    if (entry->value == NULL) {
        return json_pack("{s:s,s:I,s:b}", "key", entry->key, "revision",
                         (json_int_t)entry->mod_revision, "tombstone", 1);
    }
    value = standin_base64_encode(entry->value, strlen(entry->value));
    json =
        json_pack("{s:s,s:s,s:I,s:I,s:i}", "key", entry->key, "value", value,
                  "revision", (json_int_t)entry->mod_revision, "created",
                  (json_int_t)entry->create_revision, "lease", 0);
    free(value);
    return json;
}

static void
add_item(void *ctx, const struct kv_entry *entry)
{
    json_array_append_new(ctx, item_json(entry));
}

static void
take_older(void *ctx, const struct kv_entry *entry)
{
    const struct kv_entry **last = ctx;

    if (entry->mod_revision + stale_by <= kv_history_revision(kv)) {
        *last = entry;
    }
}

/* An item as it was some revisions ago, if it was there. */
static void
add_old_item(void *ctx, const struct kv_entry *entry)
{
    const struct kv_entry *last = NULL;

    kv_history_changes(kv, 0, entry->key, NULL, take_older, &last);
    if (last != NULL && last->value != NULL) {
        add_item(ctx, last);
    }
}

static json_int_t
as_of(void)
{
    return (json_int_t)kv_history_revision(kv);
}

/* The end of the range of all keys that start with "prefix"; keys are text. */
static char *
prefix_end(const char *prefix)
{
    return prefix[0] == '\0' ? g_strdup("\x7f")
                             : g_strdup_printf("%s\x7f", prefix);
}

static const char *
query_get(const struct evkeyvalq *query, const char *name)
{
    const char *value = evhttp_find_header(query, name);

    return value == NULL ? "" : value;
}

static void
answer_range(struct evhttp_request *req, const struct evkeyvalq *query)
{
    const char *prefix = query_get(query, "prefix");
    const char *after = query_get(query, "after");
    bool stale = strcmp(query_get(query, "serializable"), "1") == 0;
    char *first = g_strdup_printf("%s%s", after[0] != '\0' ? after : prefix,
                                  after[0] != '\0' ? "\1" : "");
    char *end = prefix_end(prefix);
    json_t *items = json_array();
    size_t total;

    stale_calls += stale;
    total = kv_history_range(kv, first, end, PAGE_ITEMS,
                             stale ? add_old_item : add_item, items);
    standin_reply_json(req, HTTP_OK,
                       json_pack("{s:o,s:b,s:I}", "items", items, "hasMore",
                                 total > PAGE_ITEMS, "asOf", as_of()));
    g_free(first);
    g_free(end);
}

static void
answer_key(struct evhttp_request *req, const struct evkeyvalq *query)
{
    const struct kv_entry *entry = kv_history_get(kv, query_get(query, "key"));
    json_t *json;

    if (entry == NULL) {
        evhttp_send_error(req, HTTP_NOTFOUND, NULL);
        return;
    }
    json = item_json(entry);
    json_object_set_new(json, "asOf", json_integer(as_of()));
    standin_reply_json(req, HTTP_OK, json);
}

static void
held_free(struct held *h)
{
    list_remove(&h->link);
    if (h->timer != NULL) {
        event_free(h->timer);
    }
    g_free(h->prefix);
    g_free(h);
}

static json_t *
events_after(const char *prefix, uint64_t after)
{
    char *end = prefix_end(prefix);
    json_t *events = json_array();

    kv_history_changes(kv, after + 1, prefix, end, add_item, events);
    g_free(end);
    return events;
}

static void
answer_watch(struct held *h)
{
    struct evhttp_request *req = h->req;
    json_t *events = events_after(h->prefix, h->after);

    held_free(h);
    standin_reply_json(
        req, HTTP_OK,
        json_pack("{s:o,s:I}", "events", events, "asOf", as_of()));
}

static void
on_watch_over(evutil_socket_t fd, short what, void *ctx)
{
    struct held *h = ctx;

    /* A watch that waits when the store goes silent hears nothing more. */
    if (!fails(h->address)) {
        answer_watch(h);
    }
}

/* Answers the watches that have something new. */
static void
wake_watches(void)
{
    list_for_each_safe (it, &held) {
        struct held *h = container_of(it, struct held, link);
        json_t *events;
        bool news;

        if (h->prefix == NULL || fails(h->address)) {
            continue;
        }
        events = events_after(h->prefix, h->after);
        news = json_array_size(events) > 0;
        json_decref(events);
        if (news) {
            answer_watch(h);
        }
    }
}

static void
on_closed(struct evhttp_connection *conn, void *ctx)
{
    list_for_each_safe (it, &held) {
        struct held *h = container_of(it, struct held, link);

        if (evhttp_request_get_connection(h->req) == conn) {
            held_free(h);
        }
    }
}

static struct held *
hold(struct evhttp_request *req, const char *prefix, const char *address)
{
    struct held *h = g_new0(struct held, 1);

    h->req = req;
    h->prefix = prefix == NULL ? NULL : g_strdup(prefix);
    g_strlcpy(h->address, address, sizeof(h->address));
    list_push_back(&held, &h->link);
    evhttp_connection_set_closecb(evhttp_request_get_connection(req),
                                  on_closed, NULL);
    return h;
}

static void
start_watch(struct evhttp_request *req, const struct evkeyvalq *query,
            const char *address)
{
    uint64_t after = strtoull(query_get(query, "after"), NULL, 10);
    long wait = strtol(query_get(query, "waitMs"), NULL, 10);
    struct timeval delay;
    struct held *h;

    if (wait < 0 || wait > WAIT_MS_MAX) {
        evhttp_send_error(req, HTTP_BADREQUEST, NULL);
        return;
    }
    if (after < kv_history_compact_revision(kv)) {
        evhttp_send_error(req, STATUS_GONE, NULL);
        return;
    }
    h = hold(req, query_get(query, "prefix"), address);
    h->after = after;
    h->timer = event_new(base, -1, 0, on_watch_over, h);
    delay.tv_sec = wait / 1000;
    delay.tv_usec = wait % 1000 * 1000;
    event_add(h->timer, &delay);
    wake_watches();
}

static bool
condition_holds(const json_t *row)
{
    const char *key = json_string_value(json_object_get(row, "key"));
    const struct kv_entry *entry =
        key == NULL ? NULL : kv_history_get(kv, key);
    uint64_t revision = entry == NULL ? 0 : entry->mod_revision;

    return key != NULL && revision == (uint64_t)json_integer_value(
                                          json_object_get(row, "revision"));
}

static void
do_txn(struct evhttp_request *req)
{
    json_t *json = standin_request_json(req);
    const json_t *row;
    size_t i;

    json_array_foreach(json_object_get(json, "expected"), i, row)
    {
        if (!condition_holds(row)) {
            json_decref(json);
            standin_reply_json(req, STATUS_CONFLICT,
                               json_pack("{s:[]}", "items"));
            return;
        }
    }
    json_array_foreach(json_object_get(json, "puts"), i, row)
    {
        size_t size;
        char *value = standin_base64_decode(
            json_string_value(json_object_get(row, "value")), &size);

        kv_history_put(kv, json_string_value(json_object_get(row, "key")),
                       value);
        free(value);
    }
    json_decref(json);
    standin_reply_json(req, HTTP_OK, json_pack("{s:I}", "revision", as_of()));
    wake_watches();
}

static bool
set_mode(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(mode_names); i++) {
        if (name != NULL && strcmp(name, mode_names[i]) == 0) {
            mode = (enum mode)i;
            return true;
        }
    }
    return false;
}

static bool
take_member(const json_t *order, const char *name, const json_t *value)
{
    if (strcmp(name, "put") == 0) {
        kv_history_put(kv, json_string_value(value),
                       json_string_value(json_object_get(order, "value")));
        return true;
    }
    if (strcmp(name, "delete") == 0) {
        kv_history_put(kv, json_string_value(value), NULL);
        return true;
    }
    if (strcmp(name, "mode") == 0) {
        return set_mode(json_string_value(value));
    }
    if (strcmp(name, "address") == 0) {
        g_strlcpy(mode_address, json_string_value(value),
                  sizeof(mode_address));
        return true;
    }
    if (strcmp(name, "stale") == 0) {
        stale_by = (uint64_t)json_integer_value(value);
        return true;
    }
    if (strcmp(name, "compact") == 0) {
        kv_history_compact(kv, kv_history_revision(kv));
        return true;
    }
    return strcmp(name, "value") == 0;
}

static void
handle_control(struct evhttp_request *req, const char *path)
{
    if (strcmp(path, "/control/stats") == 0) {
        standin_reply_json(req, HTTP_OK,
                           json_pack("{s:i,s:i,s:I}", "calls", calls, "stale",
                                     stale_calls, "revision", as_of()));
        return;
    }
    standin_take_order(req, take_member);
    wake_watches();
}

/* Fails a call as the mode says. */
static void
fail_call(struct evhttp_request *req, const char *address)
{
    switch (mode) {
    case MODE_BUSY:
        evhttp_send_error(req, HTTP_SERVUNAVAIL, NULL);
        break;
    case MODE_MANY:
        evhttp_send_error(req, STATUS_TOO_MANY, NULL);
        break;
    case MODE_RESET:
        standin_request_abort(req);
        break;
    default:
        hold(req, NULL, address);
        break;
    }
}

static void
handle_call(struct evhttp_request *req, const char *path,
            const struct evkeyvalq *query)
{
    char address[INET_ADDRSTRLEN];

    local_address(req, address);
    calls++;
    if (fails(address)) {
        fail_call(req, address);
    }
    else if (strcmp(path, "/api/kv-range") == 0) {
        answer_range(req, query);
    }
    else if (strcmp(path, "/api/kv-key") == 0) {
        answer_key(req, query);
    }
    else if (strcmp(path, "/api/kv-watch") == 0) {
        start_watch(req, query, address);
    }
    else if (strcmp(path, "/api/kv-txn") == 0) {
        do_txn(req);
    }
    else {
        evhttp_send_error(req, HTTP_NOTFOUND, NULL);
    }
}

static void
on_request(struct evhttp_request *req, void *ctx)
{
    const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(req);
    const char *path = evhttp_uri_get_path(uri);
    const char *text = evhttp_uri_get_query(uri);
    struct evkeyvalq query = {0};

    evhttp_parse_query_str(text == NULL ? "" : text, &query);
    if (strncmp(path, "/control/", strlen("/control/")) == 0) {
        handle_control(req, path);
    }
    else {
        handle_call(req, path, &query);
    }
    evhttp_clear_headers(&query);
}

int
main(int argc, char **argv)
{
    GOptionContext *context = g_option_context_new("- the platform's store");

    g_option_context_add_main_entries(context, options, NULL);
    if (!g_option_context_parse(context, &argc, &argv, NULL) ||
        listen_texts == NULL) {
        fprintf(stderr, "bad arguments, see --help\n");
        return 2;
    }
    g_option_context_free(context);
    list_init(&held);
    kv = kv_history_new();
    base = standin_base_new();
    for (char **text = listen_texts; *text != NULL; text++) {
        standin_http_new(base, *text, on_request, NULL);
    }
    event_base_dispatch(base);
    kv_history_destroy(kv);
    return 0;
}
