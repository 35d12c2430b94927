#include "state/flow-times.h"

#include <stdlib.h>

#include "base/list.h"
#include "state/metrics-text.h"
#include "state/resource.h"

#define OTHER_SERVICE "other"
#define METRIC_NAME "flow_seconds"

static const char *const phase_names[FLOW_PHASE_COUNT] = {
    [FLOW_PHASE_OPEN] = "open",
    [FLOW_PHASE_ANSWER] = "answer",
};

/* The histograms of one service and priority. */
struct histogram_set {
    struct list link;
    const char *service; /* interned, or OTHER_SERVICE */
    uint8_t priority;
    /* NULL until the first value of the phase is recorded. */
    struct histogram *histograms[FLOW_PHASE_COUNT];
};

struct flow_times {
    struct list sets; /* struct histogram_set, last used first; searched
                       * linearly since there are few */
    size_t count;     /* length of "sets" */
    struct histogram_set other; /* used when "sets" is full or a set cannot be
                                 * allocated */
};

struct flow_times *
flow_times_new(void)
{
    struct flow_times *times = calloc(1, sizeof(*times));

    if (times == NULL) {
        return NULL;
    }
    list_init(&times->sets);
    times->other.service = OTHER_SERVICE;
    return times;
}

static void
free_histograms(struct histogram_set *set)
{
    for (int phase = 0; phase < FLOW_PHASE_COUNT; phase++) {
        free(set->histograms[phase]);
    }
}

void
flow_times_destroy(struct flow_times *times)
{
    if (times == NULL) {
        return;
    }
    list_for_each_safe (it, &times->sets) {
        struct histogram_set *set =
            container_of(it, struct histogram_set, link);

        free_histograms(set);
        free(set);
    }
    free_histograms(&times->other);
    free(times);
}

static struct histogram_set *
find_set(const struct flow_times *times, const char *service, uint8_t priority)
{
    list_for_each (it, &times->sets) {
        struct histogram_set *set =
            container_of(it, struct histogram_set, link);

        if (set->service == service && set->priority == priority) {
            return set;
        }
    }
    return NULL;
}

/* Finds or adds a set. Returns "other" when the maximum is reached or when out
 * of memory. */
static struct histogram_set *
get_set(struct flow_times *times, const char *service, uint8_t priority)
{
    struct histogram_set *set = find_set(times, service, priority);

    if (set != NULL) {
        list_remove(&set->link);
        list_push_front(&times->sets, &set->link);
        return set;
    }
    if (times->count == FLOW_TIMES_MAX) {
        return &times->other;
    }
    set = calloc(1, sizeof(*set));
    if (set == NULL) {
        return &times->other;
    }
    set->service = service;
    set->priority = priority;
    list_push_front(&times->sets, &set->link);
    times->count++;
    return set;
}

void
flow_times_record(struct flow_times *times, const char *service,
                  uint8_t priority, enum flow_phase phase, uint64_t value_us)
{
    struct histogram_set *set = get_set(times, service, priority);
    struct histogram **h = &set->histograms[phase];

    if (*h == NULL) {
        *h = calloc(1, sizeof(**h));
    }
    if (*h != NULL) {
        histogram_record(*h, value_us);
    }
}

const struct histogram *
flow_times_get(const struct flow_times *times, const char *service,
               uint8_t priority, enum flow_phase phase)
{
    const struct histogram_set *set = find_set(times, service, priority);

    return set == NULL ? times->other.histograms[phase]
                       : set->histograms[phase];
}

static void
print_set(const struct histogram_set *set, FILE *f)
{
    char service[METRICS_LABEL_SIZE(ID_SIZE)];
    char labels[sizeof(service) + 64];

    metrics_escape_label(set->service, service, sizeof(service));
    for (int phase = 0; phase < FLOW_PHASE_COUNT; phase++) {
        if (set->histograms[phase] == NULL) {
            continue;
        }
        snprintf(labels, sizeof(labels),
                 "service=\"%s\",priority=\"%u\",phase=\"%s\"", service,
                 set->priority, phase_names[phase]);
        metrics_print_histogram(f, METRIC_NAME, labels,
                                set->histograms[phase]);
    }
}

void
flow_times_print(const struct flow_times *times, FILE *f)
{
    fputs("# HELP " METRICS_PREFIX METRIC_NAME " Time that callers wait\n", f);
    fputs("# TYPE " METRICS_PREFIX METRIC_NAME " histogram\n", f);
    list_for_each (it, &times->sets) {
        print_set(container_of(it, struct histogram_set, link), f);
    }
    print_set(&times->other, f);
}
