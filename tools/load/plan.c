#include "plan.h"

#include <assert.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

#define RATE_MAX 20000.0       /* arrivals per second, or watches */
#define DEADLINE_MAX_MS 600000 /* ten minutes */
/* Maximum readings per second of a watch: their interval is in microseconds.
 */
#define READING_RATE_MAX 1000000

static const char *const kind_names[] = {
    [TRAFFIC_GET] = "get",
    [TRAFFIC_POST] = "post",
    [TRAFFIC_DOWNLOAD] = "download",
    [TRAFFIC_WATCH] = "watch",
};

const char *
traffic_kind_name(enum traffic_kind kind)
{
    assert(kind < TRAFFIC_KIND_COUNT);
    return kind_names[kind];
}

static bool
kind_from_name(const char *name, enum traffic_kind *kind)
{
    for (int i = 0; i < TRAFFIC_KIND_COUNT; i++) {
        if (strcmp(name, kind_names[i]) == 0) {
            *kind = (enum traffic_kind)i;
            return true;
        }
    }
    return false;
}

/* Splits text at colons in place. Returns the number of parts, or 0 when there
 * are more than "max". */
static size_t
split(char *text, char **parts, size_t max)
{
    size_t count = 0;
    char *rest = text;
    char *part;

    while (count < max && (part = strsep(&rest, ":")) != NULL) {
        parts[count] = part;
        count++;
    }
    return rest == NULL ? count : 0;
}

bool
traffic_parse(const char *text, struct traffic *traffic)
{
    char copy[256];
    char *parts[5];
    size_t count;

    if ((size_t)snprintf(copy, sizeof(copy), "%s", text) >= sizeof(copy)) {
        return false;
    }
    count = split(copy, parts, 5);
    if (count < 4 || strlen(parts[0]) >= sizeof(traffic->service) ||
        !kind_from_name(parts[1], &traffic->kind)) {
        return false;
    }
    snprintf(traffic->service, sizeof(traffic->service), "%s", parts[0]);
    traffic->rate = strtod(parts[2], NULL);
    traffic->deadline_ms = (uint32_t)strtoul(parts[3], NULL, 10);
    traffic->size = count > 4 ? (uint32_t)strtoul(parts[4], NULL, 10) : 0;
    return traffic->rate > 0 && traffic->rate <= RATE_MAX &&
           traffic->deadline_ms > 0 &&
           traffic->deadline_ms <= DEADLINE_MAX_MS &&
           (traffic->kind != TRAFFIC_WATCH ||
            traffic->size <= READING_RATE_MAX);
}

/* Draws the time between two arrivals of a Poisson process with the rate of
 * traffic "i". */
static double
draw_interarrival_us(struct plan *plan, size_t i)
{
    double unit = random_unit(&plan->random[i]);

    return -log(1.0 - unit) / plan->traffic[i].rate * (double)USEC_PER_SEC;
}

void
plan_init(struct plan *plan, const struct traffic *traffic, size_t count,
          unsigned sessions, uint64_t duration_us, uint64_t seed)
{
    assert(count <= TRAFFIC_MAX && sessions > 0);
    memset(plan, 0, sizeof(*plan));
    plan->traffic = traffic;
    plan->traffic_count = count;
    plan->sessions = sessions;
    plan->duration_us = duration_us;
    for (size_t i = 0; i < count; i++) {
        random_seed(&plan->random[i], random_mix(seed, i));
        /* Watches last for the whole run; run_watches_start() starts them. */
        plan->next_us[i] = traffic[i].kind == TRAFFIC_WATCH
                               ? INFINITY
                               : draw_interarrival_us(plan, i);
    }
}

bool
plan_next(struct plan *plan, struct arrival *arrival)
{
    size_t first = 0;

    for (size_t i = 1; i < plan->traffic_count; i++) {
        if (plan->next_us[i] < plan->next_us[first]) {
            first = i;
        }
    }
    if (plan->traffic_count == 0 ||
        plan->next_us[first] >= (double)plan->duration_us) {
        return false;
    }
    plan->number++;
    arrival->at_us = (uint64_t)plan->next_us[first];
    arrival->traffic = (unsigned)first;
    arrival->session = random_below(&plan->random[first], plan->sessions);
    arrival->number = plan->number;
    plan->next_us[first] += draw_interarrival_us(plan, first);
    return true;
}
