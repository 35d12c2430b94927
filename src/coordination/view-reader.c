#include "coordination/view-reader.h"

#include <stdlib.h>

#include "base/backoff.h"
#include "base/clock.h"

#define BACKOFF_MIN_US (100 * USEC_PER_MSEC)
#define BACKOFF_MAX_US (2 * USEC_PER_SEC)
/* While the store does not answer, one of all balancers that hear each other
 * tries it in each interval: a hundredth of the 2,000 reads a second that the
 * smallest store of the users takes. The first answer is soon known to all. */
#define ATTEMPT_INTERVAL_US (50 * USEC_PER_MSEC)
/* Changes that follow within it are fetched with one call: small against the
 * bound on changes, and at most five calls a second. */
#define WATCH_PACE_US (200 * USEC_PER_MSEC)

struct view_reader {
    struct forward_view *view;
    struct freshness *freshness;
    struct view_sync *sync;
    struct random *random;
    struct view_reader_callbacks cb;
    struct backoff backoff;
    uint64_t not_before; /* next call after a failure, us */
    bool watching;
    bool reading;
    bool reading_stale; /* the answer under way may be an old one */
    bool read_before;   /* the first read has ended */
    bool read_wanted;   /* everything has to be read again */
    bool leaving;
};

struct view_reader *
view_reader_new(struct forward_view *view, struct freshness *freshness,
                struct view_sync *sync, struct random *random,
                const struct view_reader_callbacks *cb)
{
    struct view_reader *reader = calloc(1, sizeof(*reader));

    if (reader == NULL) {
        return NULL;
    }
    reader->view = view;
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

/* The first read may return something old: it costs a tenth, and what is newer
 * follows from the peers or the first watch. */
static void
read_all(struct view_reader *reader)
{
    reader->read_wanted = false;
    reader->reading = true;
    reader->reading_stale = !reader->read_before;
    reader->cb.read(reader->cb.ctx, reader->reading_stale);
}

void
view_reader_start(struct view_reader *reader)
{
    read_all(reader);
}

/* The time in which each of those that hear each other has one attempt. */
static uint64_t
attempts_spread(const struct view_reader *reader, uint64_t now)
{
    return (uint64_t)(view_sync_reach(reader->sync, now) *
                      (double)ATTEMPT_INTERVAL_US);
}

static void
note_failure(struct view_reader *reader, uint64_t now)
{
    uint64_t delay = backoff_next(&reader->backoff, reader->random);
    uint64_t share = (uint64_t)((double)attempts_spread(reader, now) *
                                (0.5 + random_unit(reader->random)));

    reader->not_before = now + (delay > share ? delay : share);
}

void
view_reader_on_read(struct view_reader *reader, enum view_reader_end end,
                    const struct view_news *news, uint64_t now)
{
    reader->reading = false;
    reader->read_before = true;
    if (end != VIEW_READER_ANSWERED) {
        reader->read_wanted = true;
        note_failure(reader, now);
        return;
    }
    backoff_reset(&reader->backoff);
    view_sync_store_answered(reader->sync, news, !reader->reading_stale, now);
}

static bool
should_watch(const struct view_reader *reader, uint64_t now)
{
    return !reader->leaving && reader->read_before &&
           freshness_should_watch(reader->freshness,
                                  view_sync_position(reader->sync, now),
                                  attempts_spread(reader, now), now);
}

static void
start_watch(struct view_reader *reader, uint64_t now)
{
    reader->watching = true;
    reader->cb.watch(reader->cb.ctx, forward_view_revision(reader->view),
                     freshness_watch_wait(reader->freshness, now));
}

void
view_reader_on_watch(struct view_reader *reader, enum view_reader_end end,
                     const struct view_news *news, uint64_t now)
{
    reader->watching = false;
    if (end == VIEW_READER_COMPACTED) {
        reader->read_wanted = true;
        return;
    }
    if (end == VIEW_READER_FAILED) {
        note_failure(reader, now);
        return;
    }
    backoff_reset(&reader->backoff);
    if (!view_sync_store_answered(reader->sync, news, true, now)) {
        reader->read_wanted = true;
        return;
    }
    if (news->routes->len + news->targets->len > 0) {
        reader->not_before = now + WATCH_PACE_US;
    }
    else if (should_watch(reader, now)) {
        start_watch(reader, now);
    }
}

void
view_reader_tick(struct view_reader *reader, uint64_t now)
{
    if (reader->reading || reader->watching || reader->leaving ||
        now < reader->not_before) {
        return;
    }
    if (reader->read_wanted) {
        read_all(reader);
        return;
    }
    if (!should_watch(reader, now)) {
        return;
    }
    if (forward_view_revision(reader->view) == 0) {
        read_all(reader);
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
