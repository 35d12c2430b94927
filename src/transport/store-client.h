#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/event.h>

#include "base/backoff.h"
#include "base/status.h"

/* Client of the platform's key-value service over HTTP/1.1. How the service is
 * spoken to is a struct store_dialect, the etcd v3 JSON gateway unless another
 * is set. One client belongs to one task. */

#define STORE_KEY_SIZE 192 /* bytes with the final NUL */

struct store_client;
struct store_dialect;

/* A key with its value; valid during the callback only. */
struct store_entry {
    const char *key;
    uint64_t mod_revision;
    uint64_t create_revision; /* 0: the dialect does not tell */
    const char *value;
    size_t value_len;
};

/* Result of a range read. "revision" is the store's at that moment. */
typedef void (*store_range_cb)(void *ctx, const struct status *st,
                               uint64_t revision,
                               const struct store_entry *entries,
                               size_t count);

/* Result of a compare-and-swap: ERR_NONE with the new mod_revision;
 * ERR_CONFLICT; ERR_STORE_DOWN when nothing can have been written;
 * ERR_STORE_UNKNOWN when the answer was lost and it may have been. */
typedef void (*store_cas_cb)(void *ctx, const struct status *st,
                             uint64_t mod_revision);

/* Changes seen by a watch, up to and including "revision"; no entries is a
 * sign of life. A key that was removed from the store has a NULL value. A
 * failure ends the watch; ERR_NOT_FOUND means that the start revision was
 * compacted and a range read is needed. */
typedef void (*store_watch_cb)(void *ctx, const struct status *st,
                               uint64_t revision,
                               const struct store_entry *entries,
                               size_t count);

/* Limits of a client; store_client_set_options() replaces the defaults. */
struct store_client_options {
    uint64_t call_timeout_us;  /* one attempt of a read or a write */
    uint64_t watch_silence_us; /* a watch without a line for so long is dead */
    uint64_t watch_wait_us;    /* the store may hold a poll back for so long */
    uint64_t backoff_min_us;
    uint64_t backoff_max_us;
    unsigned attempts;    /* of a read, or of a write that was not sent */
    uint64_t random_seed; /* of the jitter */
};

/* "endpoints" are "a.b.c.d:port" strings, copied. Returns NULL with "st" set.
 */
struct store_client *store_client_new(struct event_base *base,
                                      const char *const *endpoints,
                                      size_t endpoint_count,
                                      struct status *st);
/* Ends all operations without their callbacks. Not to be called from one. */
void store_client_destroy(struct store_client *sc);

void store_client_options_default(struct store_client_options *options);
void store_client_set_options(struct store_client *sc,
                              const struct store_client_options *options);

/* Before the first call; the dialect is not copied. */
void store_client_set_dialect(struct store_client *sc,
                              const struct store_dialect *dialect);
/* Of the next poll of a watch. */
void store_client_set_watch_wait(struct store_client *sc, uint64_t wait_us);

/* Reads one key (range_end NULL) or all keys that start with "key" (prefix
 * set), in pages; the callback runs once with everything. */
void store_client_range(struct store_client *sc, const char *key, bool prefix,
                        store_range_cb cb, void *ctx);

/* The same, but the answer may be some seconds old. The revision is one up to
 * which it is whole, 0 for an empty one. */
void store_client_range_stale(struct store_client *sc, const char *key,
                              bool prefix, store_range_cb cb, void *ctx);

/* Puts "value" if the key's mod_revision is "expected"; 0 means absent. */
void store_client_cas(struct store_client *sc, const char *key,
                      const char *value, size_t value_len, uint64_t expected,
                      store_cas_cb cb, void *ctx);

/* Watches all keys that start with "prefix" from "start_revision" on. One
 * watch per client; a silent connection is found by a progress timeout. After
 * failures the watch begins with a delay, so that a caller may simply start
 * it again each time that it ends. */
void store_client_watch(struct store_client *sc, const char *prefix,
                        uint64_t start_revision, store_watch_cb cb, void *ctx);
void store_client_watch_stop(struct store_client *sc);

/* Calls made so far, a watch counted as one. */
uint64_t store_client_calls(const struct store_client *sc);
