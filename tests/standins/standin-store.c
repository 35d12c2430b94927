/* A stand-in for a key-value store with an etcd gateway (JSON over HTTP), with
 * a list of hosts at /v1/hosts. Commands at /control bring about failures. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <glib.h>

#include "base/clock.h"
#include "base/list.h"
#include "kv-history.h"
#include "standin-common.h"

/* Interval between two progress notifications of a watch, by default. */
#define PROGRESS_INTERVAL_DEFAULT_MS 1000
/* Time until a new host list is visible to clients, by default. */
#define HOSTS_LAG_DEFAULT_MS 2000
#define HTTP_UNAVAILABLE 503

enum down_mode {
    DOWN_NO,
    DOWN_CLOSE, /* connections are closed without an answer */
    DOWN_503,   /* every call is answered 503 */
    DOWN_HANG,  /* calls are accepted and never answered */
};

/* Calls since the start, by kind. */
struct call_counts {
    json_int_t range;
    json_int_t txn;
    json_int_t put;
    json_int_t watch;
    json_int_t hosts;
    json_int_t writes; /* keys written or deleted by calls */
};

/* An open watch of the keys in [key, end). */
struct watch {
    struct list link;
    struct evhttp_request *req;
    char *key;
    char *end;              /* NULL: "key" alone */
    uint64_t next_revision; /* of the first change not sent yet */
};

struct store {
    struct event_base *base;
    struct kv_history *kv;
    struct list watches;
    struct event *progress_timer; /* next progress notifications */
    json_t *hosts;                /* host list that clients see */
    json_t *pending_hosts;        /* list that replaces it later, or NULL */
    struct event *hosts_timer;    /* time of the replacement */
    struct call_counts counts;

    enum down_mode down;
    int slow_ms;         /* delay of each call; 0: none */
    int lose_answers;    /* writes left that are executed but not answered */
    bool watches_silent; /* watches stay open and send nothing */
    int hosts_lag_ms;    /* time until a new host list is visible */
};

static struct store store;

/* A call that is delayed by the failure "slow". */
struct delayed_call {
    struct evhttp_request *req;
    standin_request_cb handler;
    struct event *timer;
};

static json_t *
u64_json(uint64_t value)
{
    return json_sprintf("%llu", (unsigned long long)value);
}

/* Reads a 64-bit number. The JSON form of protocol buffers writes it as a
 * string; plain numbers are accepted as well. */
static uint64_t
json_u64_value(const json_t *value)
{
    if (json_is_string(value)) {
        return strtoull(json_string_value(value), NULL, 10);
    }
    return (uint64_t)json_integer_value(value);
}

static uint64_t
get_u64(const json_t *object, const char *name)
{
    return json_u64_value(json_object_get(object, name));
}

/* Returns a field by either of the two names that the gateway accepts. */
static json_t *
get_field(const json_t *object, const char *snake, const char *camel)
{
    json_t *value = json_object_get(object, snake);

    return value != NULL ? value : json_object_get(object, camel);
}

/* Decodes a base64 field. Returns NULL if it is absent or malformed; the
 * caller frees the text with free(). */
static char *
get_base64(const json_t *object, const char *snake, const char *camel)
{
    const char *text = json_string_value(get_field(object, snake, camel));
    size_t size;

    return text != NULL ? standin_base64_decode(text, &size) : NULL;
}

static json_t *
base64_json(const char *text)
{
    char *encoded = standin_base64_encode(text, strlen(text));
    json_t *value = json_string(encoded);

    free(encoded);
    return value;
}

static json_t *
header_json(void)
{
    return json_pack("{s:s, s:s, s:o, s:s}", "cluster_id", "1", "member_id",
                     "1", "revision", u64_json(kv_history_revision(store.kv)),
                     "raft_term", "1");
}

static json_t *
entry_json(const struct kv_entry *entry)
{
    json_t *kv = json_pack("{s:o, s:o}", "key", base64_json(entry->key),
                           "mod_revision", u64_json(entry->mod_revision));

    if (entry->value != NULL) {
        json_object_set_new(kv, "create_revision",
                            u64_json(entry->create_revision));
        json_object_set_new(kv, "version", u64_json(entry->version));
        json_object_set_new(kv, "value", base64_json(entry->value));
    }
    return kv;
}

static void
append_entry(void *ctx, const struct kv_entry *entry)
{
    json_array_append_new(ctx, entry_json(entry));
}

static json_t *
run_range(const json_t *request)
{
    char *key = get_base64(request, "key", "key");
    char *end = get_base64(request, "range_end", "rangeEnd");
    size_t limit = get_u64(request, "limit");
    json_t *kvs = json_array();
    json_t *answer = json_pack("{s:o}", "header", header_json());
    size_t count = 0;

    if (key != NULL) {
        count = kv_history_range(store.kv, key, end, limit, append_entry, kvs);
    }
    json_object_set_new(answer, "count", u64_json(count));
    if (count > json_array_size(kvs)) {
        json_object_set_new(answer, "more", json_true());
    }
    json_object_set_new(answer, "kvs", kvs);
    free(key);
    free(end);
    return answer;
}

static json_t *
run_put(const json_t *request)
{
    char *key = get_base64(request, "key", "key");
    char *value = get_base64(request, "value", "value");

    if (key != NULL) {
        kv_history_put(store.kv, key, value != NULL ? value : "");
        store.counts.writes++;
    }
    free(key);
    free(value);
    return json_pack("{s:o}", "header", header_json());
}

static json_t *
run_delete(const json_t *request)
{
    char *key = get_base64(request, "key", "key");
    bool present = key != NULL && kv_history_get(store.kv, key) != NULL;

    if (present) {
        kv_history_put(store.kv, key, NULL);
        store.counts.writes++;
    }
    free(key);
    return json_pack("{s:o, s:o}", "header", header_json(), "deleted",
                     u64_json(present ? 1 : 0));
}

/* Reads the two numbers of a comparison: that of the key's entry (0 if the key
 * is absent) and the expected one. */
static void
compare_operands(const json_t *compare, const struct kv_entry *entry,
                 uint64_t *actual, uint64_t *expected)
{
    const char *target = json_string_value(json_object_get(compare, "target"));

    if (target != NULL && strcmp(target, "MOD") == 0) {
        *expected =
            json_u64_value(get_field(compare, "mod_revision", "modRevision"));
        *actual = entry != NULL ? entry->mod_revision : 0;
        return;
    }
    if (target != NULL && strcmp(target, "CREATE") == 0) {
        *expected = json_u64_value(
            get_field(compare, "create_revision", "createRevision"));
        *actual = entry != NULL ? entry->create_revision : 0;
        return;
    }
    *expected = get_u64(compare, "version");
    *actual = entry != NULL ? entry->version : 0;
}

static bool
compare_holds(const json_t *compare)
{
    const char *result = json_string_value(json_object_get(compare, "result"));
    char *key = get_base64(compare, "key", "key");
    uint64_t expected;
    uint64_t actual;

    compare_operands(compare,
                     key != NULL ? kv_history_get(store.kv, key) : NULL,
                     &actual, &expected);
    free(key);
    if (result != NULL && strcmp(result, "GREATER") == 0) {
        return actual > expected;
    }
    if (result != NULL && strcmp(result, "LESS") == 0) {
        return actual < expected;
    }
    if (result != NULL && strcmp(result, "NOT_EQUAL") == 0) {
        return actual != expected;
    }
    return actual == expected;
}

static json_t *
run_operation(const json_t *op)
{
    json_t *request = get_field(op, "request_put", "requestPut");

    if (request != NULL) {
        return json_pack("{s:o}", "response_put", run_put(request));
    }
    request = get_field(op, "request_delete_range", "requestDeleteRange");
    if (request != NULL) {
        return json_pack("{s:o}", "response_delete_range",
                         run_delete(request));
    }
    request = get_field(op, "request_range", "requestRange");
    return json_pack("{s:o}", "response_range", run_range(request));
}

static json_t *
run_txn(const json_t *request)
{
    const json_t *compares = json_object_get(request, "compare");
    json_t *responses = json_array();
    json_t *answer = json_object();
    bool succeeded = true;
    const json_t *ops;

    for (size_t i = 0; i < json_array_size(compares); i++) {
        succeeded = succeeded && compare_holds(json_array_get(compares, i));
    }
    ops = json_object_get(request, succeeded ? "success" : "failure");
    for (size_t i = 0; i < json_array_size(ops); i++) {
        json_array_append_new(responses,
                              run_operation(json_array_get(ops, i)));
    }
    json_object_set_new(answer, "header", header_json());
    /* The gateway leaves out fields that have their default value. */
    if (succeeded) {
        json_object_set_new(answer, "succeeded", json_true());
    }
    json_object_set_new(answer, "responses", responses);
    return answer;
}

static void
watch_send(struct watch *watch, json_t *result)
{
    struct evbuffer *out = evbuffer_new();
    json_t *line = json_pack("{s:o}", "result", result);
    char *text = json_dumps(line, JSON_COMPACT);

    evbuffer_add_printf(out, "%s\n", text);
    evhttp_send_reply_chunk(watch->req, out);
    evbuffer_free(out);
    free(text);
    json_decref(line);
}

static void
append_event(void *ctx, const struct kv_entry *entry)
{
    json_t *event = json_pack("{s:o}", "kv", entry_json(entry));

    if (entry->value == NULL) {
        json_object_set_new(event, "type", json_string("DELETE"));
    }
    json_array_append_new(ctx, event);
}

/* Sends the changes that a watch has not been sent yet. While watches are
 * silent or the store is down, the changes are deferred. */
static void
watch_deliver(struct watch *watch)
{
    json_t *events = json_array();

    if (store.watches_silent || store.down != DOWN_NO) {
        json_decref(events);
        return;
    }
    kv_history_changes(store.kv, watch->next_revision, watch->key, watch->end,
                       append_event, events);
    watch->next_revision = kv_history_revision(store.kv) + 1;
    if (json_array_size(events) == 0) {
        json_decref(events);
        return;
    }
    watch_send(watch, json_pack("{s:o, s:o}", "header", header_json(),
                                "events", events));
}

static void
deliver_watches(void)
{
    list_for_each (it, &store.watches) {
        watch_deliver(container_of(it, struct watch, link));
    }
}

static void
on_watch_closed(struct evhttp_connection *conn, void *ctx)
{
    struct watch *watch = ctx;

    list_remove(&watch->link);
    evhttp_send_reply_end(watch->req);
    g_free(watch->key);
    g_free(watch->end);
    g_free(watch);
}

/* Sends a progress notification on each watch, so that a client can detect a
 * watch that has stopped sending. */
static void
send_progress_notifications(evutil_socket_t fd, short what, void *ctx)
{
    if (store.watches_silent || store.down != DOWN_NO) {
        return;
    }
    list_for_each (it, &store.watches) {
        watch_send(container_of(it, struct watch, link),
                   json_pack("{s:o}", "header", header_json()));
    }
}

static void
watch_start(struct evhttp_request *req, const json_t *create)
{
    struct watch *watch = g_new0(struct watch, 1);
    uint64_t start = get_u64(create, "start_revision");
    uint64_t compacted = kv_history_compact_revision(store.kv);
    char *key = get_base64(create, "key", "key");
    char *end = get_base64(create, "range_end", "rangeEnd");

    watch->req = req;
    watch->key = g_strdup(key != NULL ? key : "");
    watch->end = g_strdup(end);
    watch->next_revision =
        start != 0 ? start : kv_history_revision(store.kv) + 1;
    free(key);
    free(end);
    list_push_back(&store.watches, &watch->link);
    evhttp_add_header(evhttp_request_get_output_headers(req), "Content-Type",
                      "application/json");
    evhttp_send_reply_start(req, HTTP_OK, NULL);
    standin_request_watch_close(req, on_watch_closed, watch);
    watch_send(watch,
               json_pack("{s:o, s:b}", "header", header_json(), "created", 1));
    if (start != 0 && start <= compacted) {
        watch_send(watch,
                   json_pack("{s:o, s:b, s:o, s:s}", "header", header_json(),
                             "canceled", 1, "compact_revision",
                             u64_json(compacted), "cancel_reason",
                             "required revision is compacted"));
        /* A canceled watch stays open; the changes so far are not sent. */
        watch->next_revision = UINT64_MAX;
        return;
    }
    watch_deliver(watch);
}

/* Answers a call that wrote "written" keys. If the failure "lose_answers" is
 * active and a key was written, closes the connection instead. */
static void
reply_write(struct evhttp_request *req, json_t *answer, json_int_t written)
{
    if (written > 0 && store.lose_answers > 0) {
        store.lose_answers--;
        json_decref(answer);
        standin_request_abort(req);
        return;
    }
    standin_reply_json(req, HTTP_OK, answer);
}

static void
handle_store_call(struct evhttp_request *req, void *ctx)
{
    const char *path = evhttp_request_get_uri(req);
    json_t *body = standin_request_json(req);
    json_int_t writes = store.counts.writes;

    if (strcmp(path, "/v1/hosts") == 0) {
        store.counts.hosts++;
        standin_reply_json(req, HTTP_OK, json_incref(store.hosts));
    }
    else if (body == NULL) {
        evhttp_send_error(req, HTTP_BADREQUEST, "not JSON");
    }
    else if (strcmp(path, "/v3/kv/range") == 0) {
        store.counts.range++;
        standin_reply_json(req, HTTP_OK, run_range(body));
    }
    else if (strcmp(path, "/v3/kv/txn") == 0) {
        json_t *answer = run_txn(body);

        store.counts.txn++;
        reply_write(req, answer, store.counts.writes - writes);
    }
    else if (strcmp(path, "/v3/kv/put") == 0) {
        json_t *answer = run_put(body);

        store.counts.put++;
        reply_write(req, answer, store.counts.writes - writes);
    }
    else if (strcmp(path, "/v3/watch") == 0) {
        store.counts.watch++;
        watch_start(req, get_field(body, "create_request", "createRequest"));
    }
    else {
        evhttp_send_error(req, HTTP_NOTFOUND, NULL);
    }
    json_decref(body);
    deliver_watches();
}

static void
delayed_call_run(evutil_socket_t fd, short what, void *ctx)
{
    struct delayed_call *call = ctx;

    event_free(call->timer);
    call->handler(call->req, NULL);
    g_free(call);
}

static void
delay_call(struct evhttp_request *req, int delay_ms)
{
    struct delayed_call *call = g_new0(struct delayed_call, 1);
    struct timeval delay = {delay_ms / 1000, delay_ms % 1000 * 1000};

    call->req = req;
    call->handler = handle_store_call;
    call->timer = evtimer_new(store.base, delayed_call_run, call);
    evtimer_add(call->timer, &delay);
}

static void
close_watches(void)
{
    list_for_each (it, &store.watches) {
        standin_request_abort(container_of(it, struct watch, link)->req);
    }
}

/* Sets how the store is down. An unknown mode is ignored without an error. */
static void
set_down(const char *mode)
{
    static const char *const names[] = {
        [DOWN_NO] = "no",
        [DOWN_CLOSE] = "close",
        [DOWN_503] = "503",
        [DOWN_HANG] = "hang",
    };

    for (size_t i = 0; i < sizeof(names) / sizeof(*names); i++) {
        if (strcmp(mode, names[i]) == 0) {
            store.down = (enum down_mode)i;
        }
    }
    if (store.down == DOWN_CLOSE || store.down == DOWN_503) {
        close_watches();
    }
}

static void
publish_pending_hosts(evutil_socket_t fd, short what, void *ctx)
{
    if (store.pending_hosts != NULL) {
        json_decref(store.hosts);
        store.hosts = store.pending_hosts;
        store.pending_hosts = NULL;
    }
}

static void
set_hosts(struct evhttp_request *req)
{
    json_t *body = standin_request_json(req);
    struct timeval lag = {store.hosts_lag_ms / 1000,
                          store.hosts_lag_ms % 1000 * 1000};

    if (!json_is_array(json_object_get(body, "hosts"))) {
        json_decref(body);
        evhttp_send_error(req, HTTP_BADREQUEST, "no list of hosts");
        return;
    }
    json_decref(store.pending_hosts);
    store.pending_hosts = body;
    if (store.hosts_lag_ms == 0) {
        publish_pending_hosts(-1, 0, NULL);
    }
    else {
        evtimer_add(store.hosts_timer, &lag);
    }
    standin_reply_json(req, HTTP_OK, json_pack("{s:b}", "ok", 1));
}

/* Writes all members of a JSON object as keys. Values that are not strings are
 * written as JSON text. */
static void
put_all(const json_t *object)
{
    const char *key;
    json_t *value;

    json_object_foreach((json_t *)object, key, value)
    {
        char *text = json_is_string(value)
                         ? g_strdup(json_string_value(value))
                         : json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);

        kv_history_put(store.kv, key, text);
        free(text);
    }
}

static bool
control_rollback(const json_t *command)
{
    if (!kv_history_rollback(store.kv, get_u64(command, "rollback"))) {
        return false;
    }
    close_watches();
    return true;
}

/* Executes one member of a control command. Unknown members are rejected, so
 * that a misspelled failure is not mistaken for an active one. */
static bool
control_member(const json_t *command, const char *name, const json_t *value)
{
    int number = (int)json_integer_value(value);

    if (strcmp(name, "down") == 0 && json_is_string(value)) {
        set_down(json_string_value(value));
    }
    else if (strcmp(name, "slow") == 0) {
        store.slow_ms = number;
    }
    else if (strcmp(name, "lose_answers") == 0) {
        store.lose_answers = number;
    }
    else if (strcmp(name, "drop_watches_silently") == 0) {
        store.watches_silent = json_is_true(value);
    }
    else if (strcmp(name, "hosts_lag_ms") == 0) {
        store.hosts_lag_ms = number;
    }
    else if (strcmp(name, "rollback") == 0) {
        return control_rollback(command);
    }
    else if (strcmp(name, "compact") == 0) {
        kv_history_compact(store.kv, get_u64(command, "compact"));
    }
    else if (strcmp(name, "put") == 0) {
        put_all(value);
    }
    else {
        return false;
    }
    return true;
}

static void
handle_control(struct evhttp_request *req)
{
    standin_execute_command(req, control_member);
    deliver_watches();
}

static void
handle_stats(struct evhttp_request *req)
{
    json_int_t open = 0;

    list_for_each (it, &store.watches) {
        open++;
    }
    standin_reply_json(
        req, HTTP_OK,
        json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "range",
                  store.counts.range, "txn", store.counts.txn, "put",
                  store.counts.put, "watch", store.counts.watch, "hosts",
                  store.counts.hosts, "writes", store.counts.writes,
                  "watches_open", open, "revision",
                  (json_int_t)kv_history_revision(store.kv)));
}

static void
handle_request(struct evhttp_request *req, void *ctx)
{
    const char *path = evhttp_request_get_uri(req);

    if (strcmp(path, "/control") == 0) {
        handle_control(req);
    }
    else if (strcmp(path, "/control/hosts") == 0) {
        set_hosts(req);
    }
    else if (strcmp(path, "/control/stats") == 0) {
        handle_stats(req);
    }
    else if (store.down == DOWN_CLOSE) {
        standin_request_abort(req);
    }
    else if (store.down == DOWN_503) {
        evhttp_send_error(req, HTTP_UNAVAILABLE, "down");
    }
    else if (store.down == DOWN_HANG) {
        return;
    }
    else if (store.slow_ms > 0) {
        delay_call(req, store.slow_ms);
    }
    else {
        handle_store_call(req, NULL);
    }
}

static bool
load_file(const char *path)
{
    json_error_t error;
    json_t *object = json_load_file(path, 0, &error);

    if (!json_is_object(object)) {
        fprintf(stderr, "%s:%d: %s\n", path, error.line, error.text);
        json_decref(object);
        return false;
    }
    put_all(object);
    json_decref(object);
    return true;
}

static void
start_timers(int progress_ms)
{
    struct timeval interval = {progress_ms / 1000, progress_ms % 1000 * 1000};

    store.progress_timer = event_new(store.base, -1, EV_PERSIST,
                                     send_progress_notifications, NULL);
    event_add(store.progress_timer, &interval);
    store.hosts_timer = evtimer_new(store.base, publish_pending_hosts, NULL);
}

int
main(int argc, char **argv)
{
    char *listen = NULL;
    char *load = NULL;
    char *hosts = NULL;
    int progress_ms = PROGRESS_INTERVAL_DEFAULT_MS;
    const GOptionEntry options[] = {
        {"listen", 0, 0, G_OPTION_ARG_STRING, &listen, "Address", "IP:PORT"},
        {"load", 0, 0, G_OPTION_ARG_FILENAME, &load,
         "Initial keys, a JSON object", "FILE"},
        {"hosts", 0, 0, G_OPTION_ARG_FILENAME, &hosts, "Initial host list",
         "FILE"},
        {"hosts-lag-ms", 0, 0, G_OPTION_ARG_INT, &store.hosts_lag_ms,
         "Time until a new host list is visible", "MS"},
        {"progress-ms", 0, 0, G_OPTION_ARG_INT, &progress_ms,
         "Interval between progress notifications of a watch", "MS"},
        {NULL},
    };
    GOptionContext *context = g_option_context_new(NULL);
    GError *error = NULL;

    store.hosts_lag_ms = HOSTS_LAG_DEFAULT_MS;
    g_option_context_add_main_entries(context, options, NULL);
    if (!g_option_context_parse(context, &argc, &argv, &error) ||
        listen == NULL) {
        fprintf(stderr, "%s\n",
                error ? error->message : "option --listen is missing");
        return EXIT_FAILURE;
    }
    g_option_context_free(context);
    list_init(&store.watches);
    store.kv = kv_history_new();
    store.base = standin_base_new();
    if (load != NULL && !load_file(load)) {
        return EXIT_FAILURE;
    }
    store.hosts = hosts != NULL ? json_load_file(hosts, 0, NULL) : NULL;
    if (store.hosts == NULL) {
        store.hosts = json_pack("{s:[]}", "hosts");
    }
    start_timers(progress_ms);
    standin_http_new(store.base, listen, handle_request, NULL);
    event_base_dispatch(store.base);
    return EXIT_SUCCESS;
}
