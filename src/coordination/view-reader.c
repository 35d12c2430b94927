#include "coordination/view-reader.h"

#include <stdlib.h>

#include "base/backoff.h"
#include "base/clock.h"
#include "coordination/watch-order.h"

/* Bounds of the back-off after a failed call to the store. */
#define BACKOFF_MIN_US (100 * USEC_PER_MSEC)
#define BACKOFF_MAX_US (2 * USEC_PER_SEC)
/* Mean interval, over all balancers that can reach each other, between two
 * calls while the store does not answer: a hundredth of the 2,000 reads per
 * second that the smallest store of the users can serve. The balancer that
 * gets the first answer notifies the others. */
#define ATTEMPT_INTERVAL_US (50 * USEC_PER_MSEC)
/* Minimum time from an answer with changes to the next call. Changes within
 * this time are fetched by one call, so there are at most five such calls per
 * second. It is small compared with the time within which a change has to be
 * in effect. */
#define WATCH_MIN_INTERVAL_US (200 * USEC_PER_MSEC)

/* Time for which a balancer that has started from an outdated snapshot waits
 * for its peers. */
#define CATCH_UP_DELAY_US (100 * USEC_PER_MSEC)
/* Time for which a balancer that meets a new era of the store waits for what
 * its peers know, before it reads the store, which may have lost that. */
#define PEERS_FIRST_US (100 * USEC_PER_MSEC)
/* The same for a balancer without a view when no peer has answered at all: it
 * would use the copy as it is. Packets that arrive meanwhile are kept for
 * longer than that (EARLY_WAIT_MAX_US in daemon/forward-task.c). */
#define PEERS_FIRST_AT_START_US (300 * USEC_PER_MSEC)

struct view_reader {
    struct forward_view *view;
    const struct membership *members;
    struct freshness *freshness;
    struct view_sync *sync;
    struct random *random;
    struct view_reader_callbacks cb;
    struct backoff backoff;
    uint64_t not_before;  /* earliest next call, us */
    uint64_t catch_up_at; /* when to read what the snapshot lacks, 0: never */
    uint64_t began_at;    /* when the last read of all or watch began, us */
    uint64_t wait_us;     /* of the last watch */
    bool watching;        /* a watch is running */
    bool reading;         /* a read is running */
    bool reading_stale;   /* the read may return data some seconds old */
    bool first_read_done; /* the first read has ended */
    bool read_all_needed; /* everything has to be read again */
    bool read_snapshot_needed; /* the snapshot has to be read again */
    /* Position of the view when the last watch began */
    struct store_position watched;
    uint64_t awaited_era; /* last one for which peers were asked, 0: none */
    bool awaiting_peers;  /* the read waits for their answers */
    uint64_t asked_at;    /* when they were asked, us */
    /* Answers of peers without a view until then; see
     * view_sync_empty_answers(). */
    uint64_t empty_answers;
    bool leaving;
};

struct view_reader *
view_reader_new(struct forward_view *view, const struct membership *members,
                struct freshness *freshness, struct view_sync *sync,
                struct random *random, const struct view_reader_callbacks *cb)
{
    struct view_reader *reader = calloc(1, sizeof(*reader));

    if (reader == NULL) {
        return NULL;
    }
    reader->view = view;
    reader->members = members;
    reader->freshness = freshness;
    reader->sync = sync;
    reader->random = random;
    reader->cb = *cb;
    backoff_init(&reader->backoff, BACKOFF_MIN_US, BACKOFF_MAX_US);
    return reader;
}

void
view_reader_destroy(struct view_reader *reader)
{
    free(reader);
}

bool
view_reader_is_watching(const struct view_reader *reader)
{
    return reader->watching;
}

uint64_t
view_reader_began_at(const struct view_reader *reader)
{
    return reader->began_at;
}

/* The first read may return stale data. Such a read costs the store a tenth of
 * a current one, and newer data follows from the peers or the first watch. Not
 * after the store was restored: the changes that follow may be older than the
 * restore, but would have positions of the new era, and a removal among them
 * would count against what was written later in the earlier era. */
static void
read_all(struct view_reader *reader, uint64_t now)
{
    reader->began_at = now;
    reader->read_all_needed = false;
    reader->reading = true;
    reader->reading_stale =
        !reader->first_read_done && reader->awaited_era == 0;
    reader->cb.read(reader->cb.ctx, reader->reading_stale);
}

void
view_reader_start(struct view_reader *reader)
{
    reader->read_snapshot_needed = false;
    reader->reading = true;
    reader->cb.read_snapshot(reader->cb.ctx);
}

/* Asks the peers for their view when the store answers from an era that this
 * view has not met. The copy from which the store was restored may be older
 * than what they know. Returns whether to wait for them. */
static bool
ask_peers_first(struct view_reader *reader, uint64_t era, uint64_t now)
{
    if (era <= forward_view_position(reader->view).era ||
        era <= reader->awaited_era) {
        return false;
    }
    reader->awaited_era = era;
    reader->awaiting_peers = true;
    reader->asked_at = now;
    reader->empty_answers = view_sync_empty_answers(reader->sync);
    reader->not_before = now + PEERS_FIRST_US;
    reader->cb.ask_peers(reader->cb.ctx);
    return true;
}

/* Whether a peer has brought a view of the awaited era, so that nothing needs
 * to be read. */
static bool
peers_have_answered(const struct view_reader *reader)
{
    return reader->awaiting_peers &&
           forward_view_position(reader->view).era >= reader->awaited_era;
}

/* Whether a balancer that has just started waits longer for its peers: none
 * has answered yet. A fleet that starts as a whole does not wait, since a peer
 * without a view answers that it has none. */
static bool
waits_for_any_peer(const struct view_reader *reader, uint64_t now)
{
    return reader->awaiting_peers &&
           now < reader->asked_at + PEERS_FIRST_AT_START_US &&
           store_position_is_none(forward_view_position(reader->view)) &&
           view_sync_empty_answers(reader->sync) == reader->empty_answers;
}

void
view_reader_on_snapshot(struct view_reader *reader,
                        const struct view_delta *delta, bool outdated,
                        uint64_t era, uint64_t now)
{
    reader->reading = false;
    if (ask_peers_first(reader, era, now)) {
        reader->read_snapshot_needed = true;
        return;
    }
    if (delta == NULL) {
        read_all(reader, now);
        return;
    }
    reader->first_read_done = true;
    reader->catch_up_at = outdated ? now + CATCH_UP_DELAY_US : 0;
    view_sync_store_answered(reader->sync, delta, false, now, now);
}

/* Time in microseconds in which this balancer and each one that it can reach
 * make one call each, at a total rate of one call per ATTEMPT_INTERVAL_US. */
static uint64_t
attempt_cycle_us(const struct view_reader *reader, uint64_t now)
{
    return (uint64_t)(watch_order_estimate_reachable(reader->members, now) *
                      (double)ATTEMPT_INTERVAL_US);
}

static void
schedule_retry(struct view_reader *reader, uint64_t now)
{
    uint64_t delay = backoff_next(&reader->backoff, reader->random);
    uint64_t cycle_us = (uint64_t)((double)attempt_cycle_us(reader, now) *
                                   (0.5 + random_unit(reader->random)));

    reader->not_before = now + (delay > cycle_us ? delay : cycle_us);
}

void
view_reader_on_read(struct view_reader *reader, enum view_reader_result result,
                    const struct view_delta *delta, uint64_t now)
{
    reader->reading = false;
    if (result == VIEW_READER_ANSWERED &&
        ask_peers_first(reader, delta->to.era, now)) {
        reader->read_all_needed = true;
        return;
    }
    reader->first_read_done = true;
    if (result != VIEW_READER_ANSWERED) {
        reader->read_all_needed = true;
        schedule_retry(reader, now);
        return;
    }
    backoff_reset(&reader->backoff);
    view_sync_store_answered(reader->sync, delta, !reader->reading_stale,
                             reader->began_at, now);
    if (!reader->reading_stale) {
        /* The others are told of this answer. Who has better rank and is there
         * watches the store from now on. */
        freshness_confirm_better_rank(reader->freshness, reader->began_at);
    }
}

static bool
should_watch(const struct view_reader *reader, uint64_t now)
{
    return !reader->leaving && reader->first_read_done &&
           freshness_should_watch(reader->freshness,
                                  watch_order_position(reader->members, now),
                                  attempt_cycle_us(reader, now), now);
}

/* Whether this balancer has started from a snapshot that lacks changes, and no
 * peer has sent them. After a restart of all balancers no peer has them. */
static bool
should_catch_up(struct view_reader *reader, uint64_t now)
{
    if (reader->catch_up_at == 0 || now < reader->catch_up_at) {
        return false;
    }
    reader->catch_up_at = 0;
    return freshness_age(reader->freshness, now) == UINT64_MAX;
}

static void
start_watch(struct view_reader *reader, uint64_t now)
{
    reader->began_at = now;
    reader->wait_us = freshness_watch_wait(reader->freshness, now);
    reader->watching = true;
    reader->watched = forward_view_position(reader->view);
    reader->cb.watch(reader->cb.ctx, reader->watched, reader->wait_us);
}

/* Returns the earliest time at which the store may have given the answer to
 * the watch: it may have waited since then for this process, or been late on
 * its way. */
static uint64_t
earliest_answer_at(const struct view_reader *reader, bool waited, uint64_t now)
{
    uint64_t wait_end = reader->began_at + reader->wait_us;

    return waited && now >= wait_end ? wait_end : reader->began_at;
}

/* Returns when to watch again after an answer with changes at "now": changes
 * that come in quick succession are fetched by one call, but the view is
 * confirmed as often as without changes. */
static uint64_t
next_watch_at(const struct view_reader *reader, uint64_t now)
{
    uint64_t due = reader->began_at + reader->freshness->limits.watch_wait_us;
    uint64_t next = now + WATCH_MIN_INTERVAL_US;

    return next < due ? next : due;
}

void
view_reader_on_watch(struct view_reader *reader,
                     enum view_reader_result result,
                     const struct view_delta *delta, bool waited, uint64_t era,
                     uint64_t now)
{
    reader->watching = false;
    if (result == VIEW_READER_COMPACTED &&
        store_position_is_after(forward_view_position(reader->view),
                                reader->watched)) {
        /* The peers have brought what the watch could not. */
        backoff_reset(&reader->backoff);
        return;
    }
    if (result == VIEW_READER_COMPACTED) {
        ask_peers_first(reader, era, now);
        reader->read_all_needed = true;
        return;
    }
    if (result == VIEW_READER_FAILED) {
        schedule_retry(reader, now);
        return;
    }
    backoff_reset(&reader->backoff);
    if (!view_sync_store_answered(reader->sync, delta, true,
                                  earliest_answer_at(reader, waited, now),
                                  now)) {
        reader->read_all_needed = true;
        return;
    }
    if (delta->routes->len + delta->targets->len > 0) {
        reader->not_before = next_watch_at(reader, now);
    }
    if (now >= reader->not_before && should_watch(reader, now)) {
        start_watch(reader, now);
    }
}

void
view_reader_on_suspended(struct view_reader *reader, uint64_t us)
{
    reader->began_at -= us < reader->began_at ? us : reader->began_at;
}

void
view_reader_tick(struct view_reader *reader, uint64_t now)
{
    if (reader->reading || reader->watching || reader->leaving) {
        return;
    }
    if (peers_have_answered(reader)) {
        reader->awaiting_peers = false;
        reader->read_all_needed = false;
        reader->read_snapshot_needed = false;
        reader->first_read_done = true;
        reader->not_before = now;
    }
    if (now < reader->not_before || waits_for_any_peer(reader, now)) {
        return;
    }
    reader->awaiting_peers = false;
    if (reader->read_snapshot_needed &&
        store_position_is_none(forward_view_position(reader->view))) {
        view_reader_start(reader);
        return;
    }
    if (reader->read_snapshot_needed) {
        reader->read_snapshot_needed = false;
        reader->first_read_done = true;
        reader->read_all_needed = true;
    }
    if (reader->read_all_needed) {
        read_all(reader, now);
        return;
    }
    if (!should_catch_up(reader, now) && !should_watch(reader, now)) {
        return;
    }
    if (store_position_is_none(forward_view_position(reader->view))) {
        read_all(reader, now);
        return;
    }
    start_watch(reader, now);
}

void
view_reader_leave(struct view_reader *reader)
{
    reader->leaving = true;
    if (reader->watching) {
        reader->watching = false;
        reader->cb.stop_watch(reader->cb.ctx);
    }
}
