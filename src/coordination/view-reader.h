#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/random.h"
#include "coordination/view-freshness.h"
#include "coordination/view-sync.h"
#include "state/forward-view.h"

/* Decides when this balancer reads the platform's store, and what it reads. At
 * the start it reads the snapshot (coordination/view-snapshot.h), and
 * everything if there is none; afterwards it keeps a watch on the store
 * while coordination/view-freshness.h says that it has to. */

struct view_reader;

struct view_reader_callbacks {
    /* Starts to read the snapshot. The owner passes the result to
     * view_reader_on_snapshot(). */
    void (*read_snapshot)(void *ctx);
    /* Starts to read everything. With "stale" set, the store may answer with
     * data that is some seconds old. The owner passes the result to
     * view_reader_on_read(). */
    void (*read)(void *ctx, bool stale);
    /* Asks peers for all that they know, since the store has a new era. Their
     * answers go to the view. */
    void (*ask_peers)(void *ctx);
    /* Starts a watch for changes after the position "after". The store may
     * delay its answer for "wait_us" microseconds. The owner passes the result
     * to view_reader_on_watch(). */
    void (*watch)(void *ctx, struct store_position after, uint64_t wait_us);
    /* Cancels the current watch. view_reader_on_watch() is not called. */
    void (*stop_watch)(void *ctx);
    void *ctx;
};

enum view_reader_result {
    VIEW_READER_ANSWERED,
    VIEW_READER_FAILED,    /* no answer, or an error */
    VIEW_READER_COMPACTED, /* the store does not have the changes after that
                            * position, or is in a later era */
};

/* Copies "cb"; the other arguments stay owned by the caller and must outlive
 * the result. Returns NULL when out of memory; release the result with
 * view_reader_destroy(). */
struct view_reader *
view_reader_new(struct forward_view *view, const struct membership *members,
                struct freshness *freshness, struct view_sync *sync,
                struct random *random, const struct view_reader_callbacks *cb);
void view_reader_destroy(struct view_reader *reader);

/* Starts the first read. */
void view_reader_start(struct view_reader *reader);
/* The read of the snapshot has ended at "now". "delta" contains it; NULL when
 * there is none or it cannot be read. With "outdated" set, it lacks many
 * changes; if no peer brings them soon, they are read. "era" is that of the
 * store. */
void view_reader_on_snapshot(struct view_reader *reader,
                             const struct view_delta *delta, bool outdated,
                             uint64_t era, uint64_t now);
/* The read or the watch has ended at "now", in microseconds. "delta" contains
 * the answer; it is used only with VIEW_READER_ANSWERED and may else be
 * NULL. "waited" tells that the store had no change, so that it gave its
 * answer at the end of the wait. "era" is the latest one that the store is
 * known to have. */
void view_reader_on_read(struct view_reader *reader,
                         enum view_reader_result result,
                         const struct view_delta *delta, uint64_t now);
void view_reader_on_watch(struct view_reader *reader,
                          enum view_reader_result result,
                          const struct view_delta *delta, bool waited,
                          uint64_t era, uint64_t now);
/* The host was suspended for "us" microseconds, which the clock of "now" does
 * not count. */
void view_reader_on_suspended(struct view_reader *reader, uint64_t us);
/* Starts the read or watch that is due, unless one is running. */
void view_reader_tick(struct view_reader *reader, uint64_t now);
/* This balancer stops: cancels the watch and starts no read or watch again. */
void view_reader_leave(struct view_reader *reader);

bool view_reader_is_watching(const struct view_reader *reader);
/* When the current or last read of all or watch began, in microseconds. */
uint64_t view_reader_began_at(const struct view_reader *reader);
