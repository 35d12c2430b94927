#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/random.h"
#include "coordination/view-freshness.h"
#include "coordination/view-sync.h"
#include "state/forward-view.h"

/* Decides when this balancer reads the platform's store, and what. At the
 * start everything is read once; afterwards a watch is kept while it is this
 * balancer's turn (coordination/view-freshness.h). */

struct view_reader;

struct view_reader_callbacks {
    /* Read everything; with "stale" an answer that is some seconds old will
     * do. Ends with view_reader_on_read(). */
    void (*read)(void *ctx, bool stale);
    /* Ask for what came after the revision "after"; the store may hold its
     * answer back for "wait_us". Ends with view_reader_on_watch(). */
    void (*watch)(void *ctx, uint64_t after, uint64_t wait_us);
    /* Give up the watch under way. */
    void (*stop_watch)(void *ctx);
    void *ctx;
};

enum view_reader_end {
    VIEW_READER_ANSWERED,
    VIEW_READER_FAILED,    /* no answer, or a refusal */
    VIEW_READER_COMPACTED, /* the store has forgotten that revision */
};

/* The others are the caller's. Returns NULL when memory is short. */
struct view_reader *view_reader_new(struct forward_view *view,
                                    struct freshness *freshness,
                                    struct view_sync *sync,
                                    struct random *random,
                                    const struct view_reader_callbacks *cb);
void view_reader_destroy(struct view_reader *reader);

void view_reader_start(struct view_reader *reader);
/* "news" hold what was read, and are read only if it was answered. */
void view_reader_on_read(struct view_reader *reader, enum view_reader_end end,
                         const struct view_news *news, uint64_t now);
void view_reader_on_watch(struct view_reader *reader, enum view_reader_end end,
                          const struct view_news *news, uint64_t now);
void view_reader_tick(struct view_reader *reader, uint64_t now);
/* This balancer stops: the store is left to the others. */
void view_reader_leave(struct view_reader *reader);

bool view_reader_is_watching(const struct view_reader *reader);
