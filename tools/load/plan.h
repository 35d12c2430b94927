#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/random.h"

/* Schedule of the requests of a run. It depends on the options and the seed
 * alone, so that the same seed gives the same arrivals no matter how the
 * system under test behaves. */

#define TRAFFIC_MAX 16          /* maximum number of --traffic, and of --via */
#define TRAFFIC_SERVICE_SIZE 64 /* bytes of an id with the final NUL */

enum traffic_kind {
    TRAFFIC_GET,
    TRAFFIC_POST,     /* commands, compared with the targets' journals */
    TRAFFIC_DOWNLOAD, /* bodies of a given size */
    TRAFFIC_WATCH,    /* streams of readings, watched for the whole run */
    TRAFFIC_KIND_COUNT,
};

/* One kind of traffic to one service. */
struct traffic {
    char service[TRAFFIC_SERVICE_SIZE];
    enum traffic_kind kind;
    double rate; /* arrivals per second; number of watches */
    /* A later answer or reading counts as late. Also the silence timeout of a
     * watch. */
    uint32_t deadline_ms;
    /* Bytes of a download; readings per second of a watch, 0: the default. */
    uint32_t size;
};

struct arrival {
    uint64_t at_us;   /* from the start of the run */
    unsigned traffic; /* index of the traffic in the plan */
    unsigned session; /* index of the session that sends it */
    uint64_t number;  /* number of the arrival in the run, from 1 */
};

struct plan {
    const struct traffic *traffic; /* the caller's; outlives the plan */
    size_t traffic_count;
    unsigned sessions; /* number of sessions to choose from */
    uint64_t duration_us;
    /* One generator per traffic, so that changing the rate of one traffic does
     * not change the arrivals of the others. */
    struct random random[TRAFFIC_MAX];
    double next_us[TRAFFIC_MAX]; /* next arrival, from the start of the run */
    uint64_t number;             /* number of the last arrival, 0: none yet */
};

const char *traffic_kind_name(enum traffic_kind kind);

/* Parses "SERVICE:KIND:RATE:DEADLINE_MS[:SIZE]". Returns false when the text
 * is malformed, or the rate or deadline is out of range. */
bool traffic_parse(const char *text, struct traffic *traffic);

/* "traffic" must outlive the plan. "sessions" is the number of sessions that
 * arrivals are spread over. */
void plan_init(struct plan *plan, const struct traffic *traffic, size_t count,
               unsigned sessions, uint64_t duration_us, uint64_t seed);

/* Sets "arrival" to the next one in order of time. Returns false when it would
 * be after the end of the run. Watches are not arrivals. */
bool plan_next(struct plan *plan, struct arrival *arrival);
