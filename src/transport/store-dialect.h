#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/http.h>

#include "transport/store-json.h"

/* How a key-value service is spoken to over HTTP/1.1. The client of
 * transport/store-client.h does the rest: attempts, back-off, time limits. */

/* A request to be sent; store_request_clear() frees the texts. */
struct store_request {
    enum evhttp_cmd_type method;
    char *path; /* with the query */
    char *body; /* NULL: none */
};

/* A page of a read of one key, or of all keys that start with it. */
struct store_range {
    const char *key;
    bool prefix;
    const char *after; /* last key of the page before, NULL: first page */
    uint64_t revision; /* of the first page, 0: first page */
    size_t limit;      /* keys of a page */
    bool stale;        /* an answer that is some seconds old will do */
};

struct store_dialect {
    /* A watch is answered once with what there is, and asked again; otherwise
     * it is one answer that goes on line by line. */
    bool watch_polls;
    /* HTTP status of a write whose condition does not hold, 0: in the body. */
    int conflict_status;

    /* The builders return false when memory is short. */
    bool (*range)(struct store_request *request,
                  const struct store_range *range);
    bool (*cas)(struct store_request *request, const char *key,
                const char *value, size_t value_len, uint64_t expected);
    bool (*watch)(struct store_request *request, const char *prefix,
                  uint64_t start_revision, uint64_t wait_us);

    /* The parsers return false for anything malformed. */
    bool (*parse_range)(const char *text, size_t len,
                        struct store_range_answer *answer,
                        struct store_entries *entries);
    bool (*parse_cas)(const char *text, size_t len,
                      struct store_cas_answer *answer);
    bool (*parse_watch)(const char *text, size_t len,
                        struct store_watch_line *line,
                        struct store_entries *entries);
};

void store_request_clear(struct store_request *request);

/* The etcd v3 JSON gateway. */
extern const struct store_dialect store_dialect_gateway;
