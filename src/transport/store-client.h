#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/event.h>

#include "base/backoff.h"
#include "base/status.h"
#include "base/store-position.h"

/* Client of the store, the platform's key-value service, over HTTP/1.1. A
 * struct store_dialect defines the requests and answers of the service's
 * protocol; the default is the etcd v3 JSON gateway. A client must be used
 * from one task (thread) only. All callbacks run from the event loop. */

#define STORE_KEY_SIZE 192 /* maximum size of a key, bytes with final NUL */

struct store_client;
struct store_dialect;

/* A key with its value; valid during the callback only. */
struct store_entry {
    const char *key;
    struct store_position modified; /* the key's last change */
    struct store_position created; /* none if the dialect does not report it */
    const char *value;             /* NULL if the key was deleted */
    size_t value_len;
};

/* Returns the entry of a key with the newest position, NULL when there is
 * none. The answer to a watch may contain several changes of a key. */
const struct store_entry *
store_entries_find_newest(const struct store_entry *entries, size_t count,
                          const char *key);

/* Result of a range read. On success "position" is the point in the store's
 * history that the entries show (see store_client_range_stale() for an
 * exception); on failure there are no entries and its revision is 0.
 * ERR_NOT_FOUND means that a single key does not exist, with a dialect whose
 * store says so by its HTTP status; "position" then has the store's era. */
typedef void (*store_range_cb)(void *ctx, const struct status *st,
                               struct store_position position,
                               const struct store_entry *entries,
                               size_t count);

/* Result of a compare-and-swap. The kind of "st" is
 * ERR_NONE: written, "modified" is the key's new position;
 * ERR_CONFLICT: not written, the key's position is not the expected one;
 * ERR_STORE_DOWN: the store failed, and nothing can have been written;
 * ERR_STORE_UNKNOWN: the value may have been written or not, because the
 * answer was lost, is malformed, reports a server error or comes from a later
 * era than that of the condition. */
typedef void (*store_cas_cb)(void *ctx, const struct status *st,
                             struct store_position modified);

/* Reports the changes that a watch has received, up to and including
 * "position". A call without entries only shows that the watch works. An
 * entry whose key was deleted from the store has a NULL value. A failure ends
 * the watch; ERR_NOT_FOUND means that the start revision was compacted, or is
 * of an earlier era than the store's, and the keys have to be read again with
 * a range read. */
typedef void (*store_watch_cb)(void *ctx, const struct status *st,
                               struct store_position position,
                               const struct store_entry *entries,
                               size_t count);

/* Limits of a client; store_client_set_options() replaces the defaults. */
struct store_client_options {
    uint64_t call_timeout_us; /* limit of one attempt of a read or a write */
    /* A watch fails when nothing arrives for this long. For a dialect that
     * polls, "watch_wait_us" is added to this time. */
    uint64_t watch_idle_timeout_us;
    /* How long the store may delay its answer to a poll while there are no
     * changes; used only by a dialect that polls. */
    uint64_t watch_wait_us;
    /* Range of the delay between attempts. */
    uint64_t backoff_min_us;
    uint64_t backoff_max_us;
    /* Maximum number of attempts per page of a read and per write. A write is
     * attempted again only if no byte of it was sent. */
    unsigned attempts;
    uint64_t random_seed; /* seeds the jitter of the delays */
};

/* "endpoints" are strings of the form "a.b.c.d:port", which are copied; there
 * must be at least one. The client begins with a random one and goes to the
 * next after a failure. Returns NULL with "st" set on failure. */
struct store_client *store_client_new(struct event_base *base,
                                      const char *const *endpoints,
                                      size_t endpoint_count,
                                      struct status *st);
/* Replaces the endpoints. Attempts in progress end at the former ones; the
 * watch fails, and its callback runs, so that it is started anew. Returns
 * false with "st" set, and changes nothing, when they are malformed. Must not
 * be called from within a callback. */
bool store_client_move(struct store_client *sc, const char *const *endpoints,
                       size_t endpoint_count, struct status *st);
/* Ends all operations without running their callbacks. Must not be called from
 * within a callback. */
void store_client_destroy(struct store_client *sc);

/* Fills in the default limits and a random seed. */
void store_client_options_default(struct store_client_options *options);
/* Replaces the limits, from the next attempt, page or poll on. */
void store_client_set_options(struct store_client *sc,
                              const struct store_client_options *options);

/* Replaces the dialect; must be called before the first operation. The dialect
 * is not copied and must outlive the client. */
void store_client_set_dialect(struct store_client *sc,
                              const struct store_dialect *dialect);
/* Sets "watch_wait_us" from the next poll of the watch on. */
void store_client_set_watch_wait(struct store_client *sc, uint64_t wait_us);

/* Reads the key "key" or, if "prefix" is set, all keys that start with it.
 * Keys are read in pages; the callback runs once with all of them. */
void store_client_range(struct store_client *sc, const char *key, bool prefix,
                        store_range_cb cb, void *ctx);

/* Like store_client_range(), but the answer may be some seconds old. The
 * reported revision is one up to which the entries are known to be complete; 0
 * if there are no entries. */
void store_client_range_stale(struct store_client *sc, const char *key,
                              bool prefix, store_range_cb cb, void *ctx);

/* Writes "value" if the key's position is "expected"; revision 0 stands for a
 * key that does not exist. A condition of another era than that of the store's
 * newest answer is not sent, but ends as ERR_CONFLICT: a restored store gives
 * out revisions again, so the condition could hold by chance. "key" and
 * "value" are copied. */
void store_client_cas(struct store_client *sc, const char *key,
                      const char *value, size_t value_len,
                      struct store_position expected, store_cas_cb cb,
                      void *ctx);

/* Removes the key if its position is "expected"; otherwise like
 * store_client_cas(), with the position of the removal. */
void store_client_remove(struct store_client *sc, const char *key,
                         struct store_position expected, store_cas_cb cb,
                         void *ctx);

/* Watches all keys that start with "prefix" for changes after the position
 * "after". A client has at most one watch: this call stops the previous one
 * without running its callback. The watch fails if nothing arrives for
 * "watch_idle_timeout_us". After failures a watch starts with a back-off
 * delay, so that the caller may start a new one as soon as one fails. */
void store_client_watch(struct store_client *sc, const char *prefix,
                        struct store_position after, store_watch_cb cb,
                        void *ctx);
/* Ends the watch, if there is one, without running its callback. */
void store_client_watch_stop(struct store_client *sc);

/* Returns the newest position that the store has reported with any answer.
 * Unlike the position of a stale read it may be newer than the entries
 * read. */
struct store_position store_client_position(const struct store_client *sc);
/* The store has reported "position" to others: answers of earlier eras are
 * dropped, and a current answer with a lower revision shows that it was
 * restored. */
void store_client_expect(struct store_client *sc,
                         struct store_position position);
/* Returns the number of answers that were dropped because they came from an
 * earlier era than one already known. */
uint64_t store_client_dropped_answers(const struct store_client *sc);
/* Number of items in the store's answers that were left out, or used without
 * their value, because they could not be read. */
uint64_t store_client_item_faults(const struct store_client *sc);
/* Returns the number of HTTP requests started so far. A watch counts as one,
 * or as one per poll if the dialect polls. */
uint64_t store_client_call_count(const struct store_client *sc);
