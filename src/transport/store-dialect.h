#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/http.h>

#include "transport/store-json.h"

/* The protocol of a key-value service over HTTP/1.1: builders of its requests
 * and parsers of its answers. transport/store-client.h does what is common to
 * all protocols: attempts, back-off and timeouts. */

/* A request to be sent. It owns the texts; store_request_clear() frees them.
 */
struct store_request {
    enum evhttp_cmd_type method;
    char *path; /* with the query */
    char *body; /* NULL for none */
};

/* One page of a read of one key, or of all keys that start with it. */
struct store_range {
    const char *key;
    bool prefix; /* read all keys that start with "key" */
    /* Last key of the previous page; NULL for the first. It may be any bytes.
     */
    const char *after;
    size_t after_len;
    /* 0 for the first page; then the revision up to which the pages read so
     * far are complete, at which a dialect may read this page. */
    uint64_t revision;
    size_t limit; /* maximum number of keys in the page */
    bool stale;   /* the answer may be some seconds old */
};

struct store_dialect {
    /* True if the store answers each watch request once, with the changes so
     * far, after which the client sends the next request (polling). False if
     * it streams the changes line by line in a single answer. */
    bool watch_polls;
    /* HTTP status of the answer to a write whose condition does not hold; 0 if
     * the body of an answer with status 200 says so. */
    int conflict_status;
    /* Header of each answer with the store's era; NULL if the protocol has
     * none, so that the era is always 0. A store that does not send it has not
     * been restored since revisions last went back. */
    const char *era_header;

    /* The builders fill in "request" and return false if out of memory; the
     * caller clears the request in either case. "wait_us" is how long the
     * store may delay the answer to a poll while there are no changes. With
     * "value" NULL the key is removed. */
    bool (*range)(struct store_request *request,
                  const struct store_range *range);
    bool (*cas)(struct store_request *request, const char *key,
                const char *value, size_t value_len, uint64_t expected);
    bool (*watch)(struct store_request *request, const char *prefix,
                  uint64_t start_revision, uint64_t wait_us);

    /* The parsers return false if the answer is malformed or memory is short.
     * Entries are appended, also before a failure. An item that is malformed
     * does not make the answer so; see store_entries_add_fault(). */
    bool (*parse_range)(const char *text, size_t len,
                        struct store_range_answer *answer,
                        struct store_entries *entries);
    bool (*parse_cas)(const char *text, size_t len,
                      struct store_cas_answer *answer);
    bool (*parse_watch)(const char *text, size_t len,
                        struct store_watch_line *line,
                        struct store_entries *entries);
};

/* Frees the texts of a request and sets all fields to 0. */
void store_request_clear(struct store_request *request);

/* Dialect of the etcd v3 JSON gateway. */
extern const struct store_dialect store_dialect_etcd_gateway;
