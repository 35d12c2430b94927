/* A stand-in for the platform's store with the calls of its public API: range
 * and key reads, watches, and conditional writes. Commands at /control make it
 * fail: it does not answer, reports overload or resets connections, for all
 * clients or only for those that connect to one of its addresses; or it comes
 * back, in a new era, from a copy some time old. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <jansson.h>

#include "base/clock.h"
#include "base/list.h"
#include "kv-history.h"
#include "standin-common.h"

#define WATCH_WAIT_MAX_MS 30000 /* maximum time that a watch may wait */
#define STATUS_PRECONDITION_FAILED 412
#define STATUS_GONE 410
#define STATUS_TOO_MANY_REQUESTS 429

enum mode {
    MODE_OK,
    MODE_SILENT, /* calls are not answered */
    MODE_BUSY,   /* calls are answered 503 */
    MODE_MANY,   /* calls are answered 429 */
    MODE_RESET,  /* connections are closed without an answer */
};

static const char *const mode_names[] = {"ok", "silent", "busy", "many",
                                         "reset"};

/* A watch that waits for changes, or a call that is never answered. */
struct pending_call {
    struct list link;
    struct evhttp_request *req;
    struct event *timer; /* end of a watch; NULL: never answered */
    char *prefix;        /* of the watched keys; NULL: never answered */
    uint64_t after;      /* the watch reports changes after this revision */
    char address[INET_ADDRSTRLEN]; /* local address of the connection */
    bool late; /* to be answered late, from before a restore */
};

static char **listen_texts;
static struct event_base *base;
static struct kv_history *kv;
static struct list pending_calls;
static enum mode mode;
/* Local address whose calls the mode applies to; empty: all. */
static char mode_address[INET_ADDRSTRLEN];
/* Age of the data in answers to serializable reads, in revisions. */
static uint64_t stale_by;
/* Number of times that the store was restored; announced in each answer
 * unless "no_era_header" is set. */
static gint64 era;
static gboolean no_era_header;
static int page_items_max = 500; /* in a range answer */
/* Bytes that stand in answers in the place of an item, GBytes. The value of
 * the item's key is RAW_MARK and the index. "%R" in them is the revision. */
static GPtrArray *raw_items;
#define RAW_MARK "\1RAW"
#define RAW_REVISION "%R"
/* A restore in progress: the revision to return to, the one before, the time
 * after the return until the watches of before are answered (0: they are
 * reset), and the timer of the return and then of those answers. */
static struct {
    uint64_t revision;
    uint64_t revision_before;
    int late_ms;
    struct event *timer;
} restore;
static unsigned call_count;
static unsigned stale_call_count; /* serializable reads */

static const GOptionEntry options[] = {
    {"listen", 0, 0, G_OPTION_ARG_STRING_ARRAY, &listen_texts,
     "Address; may be repeated", "A:PORT"},
    {"era", 0, 0, G_OPTION_ARG_INT64, &era, "Era at the start", "N"},
    {"no-era-header", 0, 0, G_OPTION_ARG_NONE, &no_era_header,
     "Do not announce eras", NULL},
    {"page-items", 0, 0, G_OPTION_ARG_INT, &page_items_max,
     "Maximum number of items in an answer", "N"},
    {NULL},
};

/* The local address of the connection on which a request arrived. */
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

/* True if the mode makes calls at a local address fail. */
static bool
mode_applies(const char *address)
{
    return mode != MODE_OK &&
           (mode_address[0] == '\0' || strcmp(mode_address, address) == 0);
}

static void
add_era_header(struct evhttp_request *req)
{
    char text[24];

    if (!no_era_header) {
        snprintf(text, sizeof(text), "%lld", (long long)era);
        evhttp_add_header(evhttp_request_get_output_headers(req), "Store-Era",
                          text);
    }
}

static json_t *
item_json(const struct kv_entry *entry)
{
    json_t *json;
    char *value;

    if (entry->value != NULL && g_str_has_prefix(entry->value, RAW_MARK)) {
        return json_sprintf("%s/%llu/", entry->value,
                            (unsigned long long)entry->mod_revision);
    }
    if (entry->value == NULL) {
        return json_pack("{s:s,s:I,s:b}", "key", entry->key, "revision",
                         (json_int_t)entry->mod_revision, "tombstone", 1);
    }
    value = standin_base64_encode(entry->value, entry->value_len);
    json =
        json_pack("{s:s,s:s,s:I,s:I,s:i}", "key", entry->key, "value", value,
                  "revision", (json_int_t)entry->mod_revision, "created",
                  (json_int_t)entry->create_revision, "lease", 0);
    free(value);
    return json;
}

/* Appends the bytes of an item, for the text of the string that marks it. */
static void
append_raw_item(struct evbuffer *out, const char *mark)
{
    unsigned index = 0;
    unsigned long long revision = 0;
    const GBytes *bytes;
    const char *data;
    const char *place;
    size_t size;

    if (sscanf(mark, "%u/%llu", &index, &revision) != 2 ||
        index >= raw_items->len) {
        return;
    }
    bytes = g_ptr_array_index(raw_items, index);
    data = g_bytes_get_data((GBytes *)bytes, &size);
    while ((place = memmem(data, size, RAW_REVISION, strlen(RAW_REVISION))) !=
           NULL) {
        evbuffer_add(out, data, (size_t)(place - data));
        evbuffer_add_printf(out, "%llu", revision);
        size -= (size_t)(place - data) + strlen(RAW_REVISION);
        data = place + strlen(RAW_REVISION);
    }
    evbuffer_add(out, data, size);
}

/* Answers a call with items. */
static void
reply_items(struct evhttp_request *req, json_t *body)
{
    static const char mark[] = "\"\\u0001RAW";
    char *text = json_dumps(body, JSON_COMPACT);
    struct evbuffer *out = evbuffer_new();
    const char *rest = text;
    const char *place;

    while ((place = strstr(rest, mark)) != NULL) {
        evbuffer_add(out, rest, (size_t)(place - rest));
        append_raw_item(out, place + strlen(mark));
        rest = strchr(place + 1, '"') + 1;
    }
    evbuffer_add(out, rest, strlen(rest));
    evhttp_send_reply(req, HTTP_OK, NULL, out);
    evbuffer_free(out);
    free(text);
    json_decref(body);
}

/* Writes a key whose item is the bytes that are given in base64. */
static bool
put_raw_item(const char *key, const char *item)
{
    char value[32];
    size_t size;
    char *bytes;

    if (key == NULL || item == NULL) {
        return false;
    }
    bytes = standin_base64_decode(item, &size);
    snprintf(value, sizeof(value), RAW_MARK "%u", raw_items->len);
    g_ptr_array_add(raw_items,
                    g_bytes_new_with_free_func(bytes, size, free, bytes));
    kv_history_put(kv, key, value);
    return true;
}

static void
add_item(void *ctx, const struct kv_entry *entry)
{
    json_array_append_new(ctx, item_json(entry));
}

/* Stores an entry in "ctx" if it is at least "stale_by" revisions old. */
static void
keep_old_entry(void *ctx, const struct kv_entry *entry)
{
    const struct kv_entry **last = ctx;

    if (entry->mod_revision + stale_by <= kv_history_revision(kv)) {
        *last = entry;
    }
}

/* Adds a key as it was "stale_by" revisions ago, if it existed then. */
static void
add_old_item(void *ctx, const struct kv_entry *entry)
{
    const struct kv_entry *last = NULL;

    kv_history_changes(kv, 0, entry->key, NULL, keep_old_entry, &last);
    if (last != NULL && last->value != NULL) {
        add_item(ctx, last);
    }
}

static json_int_t
current_revision(void)
{
    return (json_int_t)kv_history_revision(kv);
}

/* The end of the range of all keys that start with "prefix"; keys are ASCII
 * text. The caller frees it with g_free(). */
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

    stale_call_count += stale;
    total = kv_history_range(kv, first, end, (size_t)page_items_max,
                             stale ? add_old_item : add_item, items);
    reply_items(req, json_pack("{s:o,s:b,s:I}", "items", items, "hasMore",
                               total > (size_t)page_items_max, "asOf",
                               current_revision()));
    g_free(first);
    g_free(end);
}

static void
answer_key(struct evhttp_request *req, const struct evkeyvalq *query)
{
    const struct kv_entry *entry = kv_history_get(kv, query_get(query, "key"));
    json_t *json;

    if (entry == NULL) {
        evhttp_send_reply(req, HTTP_NOTFOUND, NULL, NULL);
        return;
    }
    json = item_json(entry);
    json_object_set_new(json, "asOf", json_integer(current_revision()));
    standin_reply_json(req, HTTP_OK, json);
}

static void
pending_call_free(struct pending_call *call)
{
    list_remove(&call->link);
    if (call->timer != NULL) {
        event_free(call->timer);
    }
    g_free(call->prefix);
    g_free(call);
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
answer_watch(struct pending_call *call)
{
    struct evhttp_request *req = call->req;
    json_t *events = events_after(call->prefix, call->after);

    pending_call_free(call);
    reply_items(req, json_pack("{s:o,s:I}", "events", events, "asOf",
                               current_revision()));
}

static void
on_watch_timeout(evutil_socket_t fd, short what, void *ctx)
{
    struct pending_call *call = ctx;

    /* If calls at its address fail now, the watch is not answered at the end
     * of its time. */
    if (!mode_applies(call->address) && !call->late) {
        answer_watch(call);
    }
}

/* Answers the watches whose keys have changed. */
static void
answer_changed_watches(void)
{
    list_for_each_safe (it, &pending_calls) {
        struct pending_call *call =
            container_of(it, struct pending_call, link);
        json_t *events;
        bool changed;

        if (call->prefix == NULL || call->late ||
            mode_applies(call->address)) {
            continue;
        }
        events = events_after(call->prefix, call->after);
        changed = json_array_size(events) > 0;
        json_decref(events);
        if (changed) {
            answer_watch(call);
        }
    }
}

static void
on_connection_closed(struct evhttp_connection *conn, void *ctx)
{
    list_for_each_safe (it, &pending_calls) {
        struct pending_call *call =
            container_of(it, struct pending_call, link);

        if (evhttp_request_get_connection(call->req) == conn) {
            pending_call_free(call);
        }
    }
}

/* Keeps a request open. "prefix" is NULL for a call that is never answered. */
static struct pending_call *
pending_call_add(struct evhttp_request *req, const char *prefix,
                 const char *address)
{
    struct pending_call *call = g_new0(struct pending_call, 1);

    call->req = req;
    call->prefix = prefix == NULL ? NULL : g_strdup(prefix);
    g_strlcpy(call->address, address, sizeof(call->address));
    list_push_back(&pending_calls, &call->link);
    evhttp_connection_set_closecb(evhttp_request_get_connection(req),
                                  on_connection_closed, NULL);
    return call;
}

static void
start_watch(struct evhttp_request *req, const struct evkeyvalq *query,
            const char *address)
{
    uint64_t after = strtoull(query_get(query, "after"), NULL, 10);
    long wait = strtol(query_get(query, "waitMs"), NULL, 10);
    struct timeval delay;
    struct pending_call *call;

    if (wait < 0 || wait > WATCH_WAIT_MAX_MS) {
        evhttp_send_error(req, HTTP_BADREQUEST, NULL);
        return;
    }
    if (after < kv_history_compact_revision(kv) ||
        after > kv_history_revision(kv)) {
        evhttp_send_reply(req, STATUS_GONE, NULL, NULL);
        return;
    }
    call = pending_call_add(req, query_get(query, "prefix"), address);
    call->after = after;
    call->timer = event_new(base, -1, 0, on_watch_timeout, call);
    delay.tv_sec = wait / 1000;
    delay.tv_usec = wait % 1000 * 1000;
    event_add(call->timer, &delay);
    answer_changed_watches();
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
handle_txn(struct evhttp_request *req)
{
    json_t *json = standin_request_json(req);
    const json_t *row;
    size_t i;

    json_array_foreach(json_object_get(json, "expected"), i, row)
    {
        if (!condition_holds(row)) {
            json_decref(json);
            standin_reply_json(req, STATUS_PRECONDITION_FAILED,
                               json_pack("{s:[]}", "items"));
            return;
        }
    }
    json_array_foreach(json_object_get(json, "puts"), i, row)
    {
        size_t size;
        char *value = standin_base64_decode(
            json_string_value(json_object_get(row, "value")), &size);

        kv_history_put_bytes(
            kv, json_string_value(json_object_get(row, "key")), value, size);
        free(value);
    }
    json_array_foreach(json_object_get(json, "delete"), i, row)
    {
        kv_history_put(kv, json_string_value(row), NULL);
    }
    json_decref(json);
    standin_reply_json(req, HTTP_OK,
                       json_pack("{s:I}", "revision", current_revision()));
    answer_changed_watches();
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

/* Answers the watches that began before the restore, as of then. */
static void
answer_late_watches(evutil_socket_t fd, short what, void *ctx)
{
    list_for_each_safe (it, &pending_calls) {
        struct pending_call *call =
            container_of(it, struct pending_call, link);
        struct evhttp_request *req = call->req;

        if (call->late) {
            pending_call_free(call);
            standin_reply_json(req, HTTP_OK,
                               json_pack("{s:[],s:I}", "events", "asOf",
                                         (json_int_t)restore.revision_before));
        }
    }
}

/* Resets the connections of all calls that wait. */
static void
reset_pending_calls(void)
{
    while (!list_empty(&pending_calls)) {
        struct pending_call *call =
            container_of(pending_calls.next, struct pending_call, link);
        struct evhttp_request *req = call->req;

        pending_call_free(call);
        standin_request_abort(req);
    }
}

/* The store returns from the copy. */
static void
on_restored(evutil_socket_t fd, short what, void *ctx)
{
    struct timeval late = {restore.late_ms / 1000,
                           restore.late_ms % 1000 * 1000};

    kv_history_rollback(kv, restore.revision);
    era++;
    mode = MODE_OK;
    if (restore.late_ms == 0) {
        reset_pending_calls();
        return;
    }
    event_assign(restore.timer, base, -1, 0, answer_late_watches, NULL);
    event_add(restore.timer, &late);
}

/* Lets the store be away for "away_ms" and return as it was "back_ms" before
 * this order; late answers see "restore". */
static bool
start_restore(const json_t *order)
{
    json_int_t back_ms = json_integer_value(json_object_get(order, "back_ms"));
    int away_ms = (int)json_integer_value(json_object_get(order, "away_ms"));
    struct timeval away = {away_ms / 1000, away_ms % 1000 * 1000};

    if (!json_is_object(order) || back_ms < 0 || away_ms < 0) {
        return false;
    }
    restore.revision = kv_history_revision_at(
        kv, clock_monotonic_us() - (uint64_t)back_ms * USEC_PER_MSEC);
    restore.revision_before = kv_history_revision(kv);
    restore.late_ms =
        (int)json_integer_value(json_object_get(order, "late_ms"));
    list_for_each (it, &pending_calls) {
        struct pending_call *call =
            container_of(it, struct pending_call, link);

        call->late = call->prefix != NULL && restore.late_ms > 0;
    }
    mode = MODE_SILENT;
    mode_address[0] = '\0';
    if (restore.timer == NULL) {
        restore.timer = event_new(base, -1, 0, on_restored, NULL);
    }
    event_del(restore.timer);
    event_assign(restore.timer, base, -1, 0, on_restored, NULL);
    event_add(restore.timer, &away);
    return true;
}

/* Executes one member of a control command; see standin_command_cb. */
static bool
control_member(const json_t *command, const char *name, const json_t *value)
{
    if (strcmp(name, "put") == 0) {
        kv_history_put(kv, json_string_value(value),
                       json_string_value(json_object_get(command, "value")));
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
    if (strcmp(name, "restore") == 0) {
        return start_restore(value);
    }
    if (strcmp(name, "put_raw") == 0) {
        return put_raw_item(
            json_string_value(value),
            json_string_value(json_object_get(command, "item")));
    }
    return strcmp(name, "value") == 0 || strcmp(name, "item") == 0;
}

static void
handle_control(struct evhttp_request *req, const char *path)
{
    if (strcmp(path, "/control/stats") == 0) {
        standin_reply_json(req, HTTP_OK,
                           json_pack("{s:i,s:i,s:I,s:I}", "calls", call_count,
                                     "stale", stale_call_count, "revision",
                                     current_revision(), "era",
                                     (json_int_t)era));
        return;
    }
    standin_execute_command(req, control_member);
    answer_changed_watches();
}

/* Makes a call fail according to the mode. */
static void
fail_call(struct evhttp_request *req, const char *address)
{
    switch (mode) {
    case MODE_BUSY:
        evhttp_send_reply(req, HTTP_SERVUNAVAIL, NULL, NULL);
        break;
    case MODE_MANY:
        evhttp_send_reply(req, STATUS_TOO_MANY_REQUESTS, NULL, NULL);
        break;
    case MODE_RESET:
        standin_request_abort(req);
        break;
    default:
        pending_call_add(req, NULL, address);
        break;
    }
}

static void
handle_call(struct evhttp_request *req, const char *path,
            const struct evkeyvalq *query)
{
    char address[INET_ADDRSTRLEN];

    local_address(req, address);
    add_era_header(req);
    call_count++;
    if (mode_applies(address)) {
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
        handle_txn(req);
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
    GOptionContext *context =
        g_option_context_new("- stand-in for the platform's store");

    g_option_context_add_main_entries(context, options, NULL);
    if (!g_option_context_parse(context, &argc, &argv, NULL) ||
        listen_texts == NULL) {
        fprintf(stderr, "invalid or missing arguments, see --help\n");
        return 2;
    }
    g_option_context_free(context);
    list_init(&pending_calls);
    kv = kv_history_new();
    raw_items = g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
    base = standin_base_new();
    for (char **text = listen_texts; *text != NULL; text++) {
        standin_http_new(base, *text, on_request, NULL);
    }
    event_base_dispatch(base);
    g_ptr_array_free(raw_items, TRUE);
    kv_history_destroy(kv);
    return 0;
}
