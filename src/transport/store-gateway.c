#include "transport/store-dialect.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

void
store_request_clear(struct store_request *request)
{
    free(request->path);
    free(request->body);
    memset(request, 0, sizeof(*request));
}

/* Fills in a POST request, which takes ownership of "body". Returns false if
 * out of memory, also when "body" is NULL because it could not be built. */
static bool
post(struct store_request *request, const char *path, char *body)
{
    request->method = EVHTTP_REQ_POST;
    request->path = strdup(path);
    request->body = body;
    return request->path != NULL && body != NULL;
}

static bool
build_range(struct store_request *request, const struct store_range *range)
{
    char end[STORE_KEY_SIZE];
    GString *first = g_string_new(range->key);
    char *body;

    store_prefix_end(range->key, end);
    if (range->after != NULL) {
        /* Start at the lowest possible key above "after", which is "after"
         * followed by "\1": a key with NUL would be left out. */
        g_string_truncate(first, 0);
        g_string_append_len(first, range->after, (gssize)range->after_len);
        g_string_append_c(first, '\1');
    }
    body = store_json_range(first->str, first->len, range->prefix ? end : NULL,
                            range->revision, range->prefix ? range->limit : 0);
    g_string_free(first, TRUE);
    return post(request, "/v3/kv/range", body);
}

static bool
build_cas(struct store_request *request, const char *key, const char *value,
          size_t value_len, uint64_t expected)
{
    return post(request, "/v3/kv/txn",
                store_json_cas(key, value, value_len, expected));
}

static bool
build_watch(struct store_request *request, const char *prefix,
            uint64_t start_revision, uint64_t wait_us)
{
    char end[STORE_KEY_SIZE];

    store_prefix_end(prefix, end);
    return post(request, "/v3/watch",
                store_json_watch(prefix, end, start_revision));
}

const struct store_dialect store_dialect_etcd_gateway = {
    .range = build_range,
    .cas = build_cas,
    .watch = build_watch,
    .parse_range = store_json_parse_range,
    .parse_cas = store_json_parse_cas,
    .parse_watch = store_json_parse_watch,
};
