#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include <glib.h>

#include "base/clock.h"
#include "client/watch.h"
#include "runner-private.h"

#define READING_RATE_DEFAULT 10 /* readings per second */
#define QUERY_SIZE 32           /* bytes of a URI query with the final NUL */

/* A stream that is watched for the whole run. The target stand-ins derive the
 * number of a reading from the wall clock: number times interval is the time
 * at which the reading was due. */
struct stream_watch {
    struct list link;
    struct runner *runner;
    struct session *session;
    const struct traffic *traffic;
    struct tally *tally;
    struct watch *watch;  /* NULL once it has ended */
    uint64_t interval_us; /* time between two readings */
    uint64_t first_id; /* number of the reading due when the watch started */
    uint64_t next_id;  /* number of the expected reading, 0: none received */
};

static uint64_t
deadline_us(const struct stream_watch *sw)
{
    return sw->traffic->deadline_ms * USEC_PER_MSEC;
}

static void
count_failures(struct stream_watch *sw, enum result result, uint64_t count)
{
    sw->tally->started += count;
    sw->tally->results[result] += count;
    sw->session->broken = true;
}

static void
on_frame(struct stream_watch *sw, uint64_t id)
{
    uint64_t now = clock_wall_us();
    uint64_t due = id * sw->interval_us;

    if (sw->next_id != 0 && id < sw->next_id) {
        count_failures(sw, RESULT_WRONG, 1);
        return;
    }
    if (sw->next_id != 0 && id > sw->next_id) {
        count_failures(sw, RESULT_TIMEOUT, id - sw->next_id);
    }
    sw->next_id = id + 1;
    sw->tally->started++;
    tally_add(sw->tally, RESULT_ANSWERED, now > due ? now - due : 0,
              deadline_us(sw));
}

static bool
on_event(void *ctx, const struct watch_event *event)
{
    struct stream_watch *sw = ctx;

    switch (event->kind) {
    case WATCH_FRAME:
        on_frame(sw, event->id);
        return true;
    case WATCH_LOST:
        /* on_frame() counts the lost readings when the next one arrives. */
        return true;
    case WATCH_RESET:
        count_failures(sw, RESULT_WRONG, 1);
        return true;
    case WATCH_ENDED:
        count_failures(sw, RESULT_ERROR, 1);
        sw->tally->codes[event->code]++;
        sw->watch = NULL;
        return false;
    }
    return true;
}

static void
start_stream_watch(struct runner *runner, size_t traffic, unsigned number)
{
    struct stream_watch *sw = g_new0(struct stream_watch, 1);
    char path[PATH_SIZE];
    char query[QUERY_SIZE];
    const struct watch_request request = {
        .path = path,
        .query = query,
        .silence_ms = runner->options->traffic[traffic].deadline_ms,
    };
    uint32_t rate = runner->options->traffic[traffic].size;

    rate = rate == 0 ? READING_RATE_DEFAULT : rate;
    sw->runner = runner;
    sw->session = &runner->sessions[number % runner->options->sessions];
    sw->traffic = &runner->options->traffic[traffic];
    sw->tally = &runner->tallies[traffic];
    sw->interval_us = USEC_PER_SEC / rate;
    sw->first_id = clock_wall_us() / sw->interval_us;
    snprintf(path, sizeof(path), "/stream/%" PRIu64 "-%u",
             runner->options->seed, number);
    snprintf(query, sizeof(query), "rate=%" PRIu32, rate);
    list_push_back(&runner->watches, &sw->link);
    sw->watch = watch_start(
        session_get_client(runner, sw->session, sw->traffic->service)->flow,
        &request, on_event, sw);
    if (sw->watch == NULL) {
        fprintf(stderr, "cannot start a watch\n");
        exit(EXIT_FAILURE);
    }
}

void
run_watches_start(struct runner *runner)
{
    for (size_t i = 0; i < runner->options->traffic_count; i++) {
        const struct traffic *traffic = &runner->options->traffic[i];

        if (traffic->kind != TRAFFIC_WATCH) {
            continue;
        }
        for (unsigned n = 0; n < (unsigned)traffic->rate; n++) {
            start_stream_watch(runner, i, n);
        }
    }
}

/* Counts as timeouts the readings that were not received although they were
 * due longer ago than the deadline. */
static void
count_missing_readings(struct stream_watch *sw)
{
    uint64_t due = (clock_wall_us() - deadline_us(sw)) / sw->interval_us;
    uint64_t next = sw->next_id != 0 ? sw->next_id : sw->first_id;

    if (next < due) {
        count_failures(sw, RESULT_TIMEOUT, due - next);
    }
}

void
run_watches_stop(struct runner *runner)
{
    list_for_each_safe (it, &runner->watches) {
        struct stream_watch *sw = container_of(it, struct stream_watch, link);

        count_missing_readings(sw);
        if (sw->watch != NULL) {
            watch_stop(sw->watch);
        }
        list_remove(&sw->link);
        g_free(sw);
    }
}
