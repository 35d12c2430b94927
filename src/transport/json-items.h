#pragma once

#include <stddef.h>

#include <jansson.h>

/* Reads answers that consist of a JSON object with a list of items, of which
 * some may be no JSON: keys of other writers can contain bytes that are no
 * text, and numbers or nesting beyond what the parser takes. Such an item does
 * not keep the others from being read. */

/* Called for an item that cannot be parsed. "key" are the "key_len" bytes of
 * its key, NULL when it has none that can be found. */
typedef void (*json_items_bad_cb)(void *ctx, const char *key, size_t key_len);
/* Called for each item that can be parsed. */
typedef void (*json_items_cb)(void *ctx, const json_t *item);

struct json_items_callbacks {
    json_items_cb item;
    json_items_bad_cb bad;
    void *ctx;
};

/* Calls back for each element of the list "name" in the answer, in order, and
 * returns the answer, in which the list may be empty. Returns NULL, possibly
 * after some calls, when the answer is no JSON object beside its items. The
 * caller releases the result with json_decref(). Without such a list in the
 * answer, there are no calls. */
json_t *json_items_load(const char *text, size_t len, const char *name,
                        const struct json_items_callbacks *cb);
