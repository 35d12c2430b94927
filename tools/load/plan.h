#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/random.h"

/* What a run sends and when: drawn from the seed alone, so that the same seed
 * gives the same arrivals whatever the system does. */

#define TRAFFIC_MAX 16
#define TRAFFIC_SERVICE_SIZE 64 /* bytes with the final NUL */

enum traffic_kind {
    TRAFFIC_GET,
    TRAFFIC_POST,
    TRAFFIC_DOWNLOAD,
    TRAFFIC_WATCH,
    TRAFFIC_KIND_COUNT,
};

/* One kind of traffic to one service. */
struct traffic {
    char service[TRAFFIC_SERVICE_SIZE];
    enum traffic_kind kind;
    double rate;          /* arrivals a second; of a watch: how many */
    uint32_t deadline_ms; /* after which an answer is late */
    uint32_t size;        /* bytes of a download; readings a second */
};

struct arrival {
    uint64_t at_us;   /* from the start of the run */
    unsigned traffic; /* index */
    unsigned session; /* index */
    uint64_t number;  /* of the arrival, from 1 */
};

struct plan {
    const struct traffic *traffic;
    size_t traffic_count;
    unsigned sessions;
    uint64_t duration_us;
    struct random random[TRAFFIC_MAX]; /* one for each, so that a change of
                                        * one leaves the others alone */
    double next_us[TRAFFIC_MAX];
    uint64_t number;
};

const char *traffic_kind_name(enum traffic_kind kind);

/* Reads "SERVICE:KIND:RATE:DEADLINE_MS[:SIZE]". */
bool traffic_parse(const char *text, struct traffic *traffic);

void plan_init(struct plan *plan, const struct traffic *traffic, size_t count,
               unsigned sessions, uint64_t duration_us, uint64_t seed);

/* The next arrival in order of time. False when the run is over. */
bool plan_next(struct plan *plan, struct arrival *arrival);
