#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/forward-view.h"

/* The snapshot: a compact copy of the view in one key of the store, from which
 * a balancer that starts gets its routes and targets with one small read. It
 * answers the load of a start of the whole fleet: the operators' configuration
 * takes up to some hundred kilobytes a balancer, which is the larger part of a
 * second on a slow link, or on the store's link for some hundred balancers.
 *
 * The balancer that watches the store writes the snapshot after changes. A
 * snapshot may be some seconds old, like the answer to a stale read; a
 * balancer that starts from it gets the changes since then from its peers or
 * from the first watch. Several writers need no agreement: each write is
 * conditional on the last one that the writer knows. All times are monotonic,
 * in microseconds. */

struct view_snapshot {
    /* Position of the key; revision 0: it does not exist. */
    struct store_position key_position;
    bool key_known; /* key_position was read, not assumed */
    /* The newest change that the snapshot in the store contains. */
    struct store_position content;
    struct store_position writing_content; /* same of the write in progress */
    uint64_t answered_at; /* last answer of the store; 0: none */
    bool calling;         /* a read or write is in progress */
    uint64_t not_before;  /* earliest next call */
};

enum view_snapshot_call {
    VIEW_SNAPSHOT_NONE,
    VIEW_SNAPSHOT_READ,  /* read the key, whose position is not known */
    VIEW_SNAPSHOT_WRITE, /* write if the key still has "key_position" */
};

enum view_snapshot_result {
    VIEW_SNAPSHOT_WRITTEN,
    VIEW_SNAPSHOT_CONFLICT, /* the key has changed */
    VIEW_SNAPSHOT_FAILED,   /* not written, or the outcome is unknown */
};

void view_snapshot_init(struct view_snapshot *s);
/* The store has answered a watch or a read. Calls are due for a few seconds
 * after that only: in an outage of the store none are added to those of the
 * balancers that try to watch it. */
void view_snapshot_on_store_answer(struct view_snapshot *s, uint64_t now);
/* Returns the call that is due at a balancer that watches the store, and
 * records it as in progress. */
enum view_snapshot_call view_snapshot_due(struct view_snapshot *s,
                                          const struct forward_view *view,
                                          uint64_t now);
/* The write has ended; "key_position" is valid when it was written. */
void view_snapshot_on_write(struct view_snapshot *s,
                            enum view_snapshot_result result,
                            struct store_position key_position, uint64_t now);
/* The read has ended. Without "answered" the store has failed; otherwise
 * view_snapshot_on_seen() was called before. */
void view_snapshot_on_read(struct view_snapshot *s, bool answered,
                           uint64_t now);
/* The key was seen in a read or a watch, at "key_position"; "delta" is its
 * content, NULL when it was removed or cannot be decoded. A read that does not
 * find the key has revision 0. */
void view_snapshot_on_seen(struct view_snapshot *s,
                           struct store_position key_position,
                           const struct view_delta *delta);

/* Whether the snapshot that was seen lacks so many changes that they have to
 * be fetched at once: the store is at the position "store" now, and the
 * snapshot has "targets" targets. */
bool view_snapshot_is_outdated(const struct view_snapshot *s, size_t targets,
                               struct store_position store);
